//! The daemon's counters, and a rate limit for log lines.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::time::Instant;

macro_rules! counters {
    ($($name:ident)*) => {
        /// The counters, registered in this order. Metrics of other modules are shown with them once they are registered
        /// in `shown`.
        pub struct Counters { $(pub $name: Count,)* pub shown: Registry }

        impl Default for Counters {
            fn default() -> Counters {
                let mut shown = Registry::default();
                $(
                    let $name = Count::default();
                    shown.register(stringify!($name), "see docs/on-call.md", $name.0.clone());
                )*
                Counters { $($name,)* shown }
            }
        }
    };
}

counters! {
    connections connections_joined connections_refused connections_shed accepts_failed collectors_closed
    lines_taken lines_skipped pings
    batches events orders replies replies_lost timers panics
    calls messages_again calls_busy calls_refused calls_unsure calls_not_sent calls_proven inquiries orders_skipped
    watches news_lines news_skipped signs joined left applied
    list_asks list_answers list_failures list_skipped list_asks_lost
    hosts_started hosts_withdrawn hosts_restored
    probes probes_passed probes_failed probes_merged probes_unsent
    reloads reloads_failed
    declined_unknown breaches fenced_calls fenced_orders
}

/// Formats the counters for people, as `name=value` separated by spaces; [`encode`] writes the same for machines.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        encode(&mut text, &self.shown)?;
        let samples =
            text.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.rsplit_once(' '));
        let told =
            samples.map(|(name, value)| format!("{}={value}", name.strip_suffix("_total").unwrap_or(name)));
        f.write_str(&told.collect::<Vec<_>>().join(" "))
    }
}

#[derive(Default)]
pub struct Count(Counter);

impl Count {
    pub fn one(&self) {
        self.more(1);
    }
    pub fn count(&self) -> u64 {
        self.0.get()
    }
    pub fn more(&self, by: usize) {
        self.0.inc_by(by as u64);
    }
}

/// Rate limit for one kind of log line: lets one line a second pass and counts the suppressed ones.
#[derive(Default)]
pub struct Seldom {
    last: Cell<Option<Instant>>,
    hidden: Cell<u64>,
}

impl Seldom {
    /// The number of lines suppressed since the last one that passed, or `None` if this one is suppressed.
    pub fn pass(&self) -> Option<u64> {
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now < last + Duration::from_secs(1)) {
            self.hidden.set(self.hidden.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.hidden.replace(0))
    }
}
