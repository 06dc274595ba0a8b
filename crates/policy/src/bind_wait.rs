//! Logs why proxies are still unbound after a longer wait.

use std::collections::BTreeMap;

/// Shorter waits are normal while the channel is full, in ms.
const LOG_AFTER_MS: f64 = 1_000.0;
/// Interval at which a lasting wait is logged again, in ms.
const LOG_INTERVAL_MS: f64 = 1_000.0;

/// What holds an order back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Calls do not reach the relay.
    RelayUnreachable,
    /// The lines that may be queued in the channel leave no room for it.
    ChannelFull,
    /// A proxy has reached its limit of messages.
    MessageLimit,
    /// The table has no usable host.
    NoUsableHost,
    /// The table names a host outside the reach of its request classes.
    OutsideReach,
}

impl Refusal {
    fn waits_for(self) -> &'static str {
        match self {
            Refusal::RelayUnreachable => "for calls to reach the relay",
            Refusal::ChannelFull => "for room in the channel",
            Refusal::MessageLimit => "for the limit of messages per proxy",
            Refusal::NoUsableHost => "for a table with a usable host",
            Refusal::OutsideReach => "for a table within the reach of its request classes",
        }
    }
}

/// Since when some proxy has been waiting to be bound, and when that was last logged.
#[derive(Default)]
pub struct UnboundProxyMonitor {
    since: Option<f64>,
    logged_at: Option<f64>,
}

impl UnboundProxyMonitor {
    /// Returns the message to log now, given how many proxies without a table of this controller wait for
    /// which reasons and how many lines may be queued.
    pub fn check(&mut self, now: f64, waiting: &BTreeMap<Refusal, usize>, lines: f64) -> Option<String> {
        if waiting.is_empty() {
            let since = self.since.take()?;
            self.logged_at.take()?;
            return Some(format!("all proxies are bound after a wait of {:.0} ms", now - since));
        }
        let since = *self.since.get_or_insert(now);
        let due = self.logged_at.map_or(since + LOG_AFTER_MS, |logged| logged + LOG_INTERVAL_MS);
        if now < due {
            return None;
        }
        self.logged_at = Some(now);
        let reasons: Vec<String> =
            waiting.iter().map(|(refusal, count)| format!("{count} {}", refusal.waits_for())).collect();
        let waited = now - since;
        let reasons = reasons.join(", ");
        Some(format!(
            "proxies wait to be bound for {waited:.0} ms: {reasons}; \
             up to {lines:.0} lines are queued in the channel"
        ))
    }
}
