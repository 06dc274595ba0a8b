//! Counters of what the intake accepted and refused, readable from any thread.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};

use amberarch_intake::{Census, Taken, REFUSALS};
use hdrhistogram::Histogram;

#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    pub fn one(&self) {
        self.more(1);
    }
    pub fn more(&self, by: u64) {
        self.0.fetch_add(by, Relaxed);
    }
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

/// Histogram of durations in microseconds, precise to 1 %.
struct Durations(Mutex<Histogram<u64>>);

impl Default for Durations {
    fn default() -> Durations {
        /// Ten minutes; longer durations are recorded as that.
        const MOST_US: u64 = 600_000_000;
        Durations(Mutex::new(Histogram::new_with_max(MOST_US, 2).expect("two digits of a range above two")))
    }
}

impl Durations {
    fn add(&self, us: f64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(us.max(0.0) as u64);
    }
    fn show(&self) -> String {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        format!("{}/{}", times.value_at_quantile(0.5), times.value_at_quantile(0.99))
    }
}

#[derive(Default)]
pub struct Counts {
    pub connections: Count,
    pub connections_refused: Count,
    pub streams: Count,
    pub streams_refused: Count,
    pub batches: Count,
    pub reports: Count,
    pub taken: Count,
    refused: [Count; REFUSALS.len()],
    pub rests: Count,
    pub messages_of_paces: Count,
    pub paces: Count,
    pub told: Count,
    /// From reading a message to updating a host's believed load.
    to_belief: Durations,
    /// From reading a message to passing its load to the decisions.
    to_decision: Durations,
    census: Mutex<Census>,
}

impl Counts {
    pub fn batch(&self, reports: usize, taken: &Taken, us: f64) {
        self.batches.one();
        self.reports.more(reports as u64);
        self.taken.more(u64::from(taken.taken));
        self.refused.iter().zip(taken.refused).for_each(|(count, by)| count.more(u64::from(by)));
        self.rests.more(u64::from(taken.rest > 0.0));
        self.to_belief.add(us);
    }

    pub fn told(&self, waited_ms: f64) {
        self.told.one();
        self.to_decision.add(1e3 * waited_ms);
    }

    pub fn set_census(&self, census: Census) {
        *self.census.lock().unwrap_or_else(PoisonError::into_inner) = census;
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let census = *self.census.lock().unwrap_or_else(PoisonError::into_inner);
        let plain = [
            ("connections", &self.connections),
            ("connections_refused", &self.connections_refused),
            ("streams", &self.streams),
            ("streams_refused", &self.streams_refused),
            ("batches", &self.batches),
            ("reports", &self.reports),
            ("taken", &self.taken),
        ];
        for (name, count) in plain {
            write!(f, "{name}={} ", count.get())?;
        }
        for (kind, count) in REFUSALS.iter().zip(&self.refused) {
            write!(f, "{kind:?}={} ", count.get())?;
        }
        write!(f, "rests={} messages_of_paces={} ", self.rests.get(), self.messages_of_paces.get())?;
        write!(f, "paces={} told={} ", self.paces.get(), self.told.get())?;
        let (belief, decision) = (self.to_belief.show(), self.to_decision.show());
        write!(f, "to_belief_us={belief} to_decision_us={decision} ")?;
        let Census { hosts, fresh, ageing, silent, reporters, link_down } = census;
        write!(f, "hosts={hosts} fresh={fresh} ageing={ageing} silent={silent} reporters={reporters} ")?;
        write!(f, "link_down={link_down}")
    }
}
