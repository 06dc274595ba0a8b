//! Statistics on tries over a sliding window of time.

use std::cell::Cell;

use derive_more::{Add, AddAssign, Sum};

/// Number and outcome of tries, as far as traffic reports state them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add, AddAssign, Sum)]
pub struct TryStats {
    pub tries: f64,
    pub failed: f64,
    /// Total time of the succeeded tries, in ms.
    pub succeeded_time: f64,
    /// The time that the reports cover, in ms.
    pub covered: f64,
}

impl TryStats {
    /// `mean` is the mean time of the succeeded tries in ms, `covered` the time in ms that the report covers.
    pub fn new(tries: u32, failed: u32, mean: f64, covered: f64) -> TryStats {
        let (tries, failed) = (f64::from(tries), f64::from(failed));
        TryStats { tries, failed, succeeded_time: mean * (tries - failed), covered }
    }

    /// The fraction of tries that failed; zero where there was no try.
    pub fn failed_fraction(&self) -> f64 {
        self.failed / self.tries.max(1.0)
    }

    pub fn succeeded(&self) -> f64 {
        self.tries - self.failed
    }

    /// Succeeded tries per second. A covered time of less than one second counts as one second.
    pub fn goodput(&self) -> f64 {
        1_000.0 * self.succeeded() / self.covered.max(1_000.0)
    }

    /// Mean time of the succeeded tries, in ms.
    pub fn mean_latency(&self) -> f64 {
        self.succeeded_time / self.succeeded().max(1.0)
    }
}

/// Time resolution of a sliding window, in ms: shorter than the interval of any report.
pub const BUCKET_MS: f64 = 500.0;
/// Enough for 12 s, the longest window that is ever summed.
pub(crate) const BUCKET_COUNT: usize = 24;

/// The last 12 s in buckets of [`BUCKET_MS`]; older buckets are overwritten as time goes on. The sum that was
/// computed last is cached until something is added or the window moves, because the decisions between two
/// reports ask for the same sum.
#[derive(Default)]
pub struct SlidingWindow {
    buckets: [(i64, TryStats); BUCKET_COUNT],
    cached: Cell<Option<(i64, i64, TryStats)>>,
}

impl SlidingWindow {
    pub fn add(&mut self, now: f64, stats: TryStats) {
        let number = (now / BUCKET_MS) as i64;
        self.cached.set(None);
        let slot = &mut self.buckets[number.rem_euclid(BUCKET_COUNT as i64) as usize];
        let sum = if slot.0 == number { slot.1 } else { TryStats::default() };
        *slot = (number, sum + stats);
    }

    /// The sum of the buckets that begin after the one of `now - window`, up to the one of `now`.
    pub fn sum_last(&self, now: f64, window: f64) -> TryStats {
        let (newest, oldest) = ((now / BUCKET_MS) as i64, ((now - window) / BUCKET_MS) as i64);
        if let Some(cached) = self.cached.get().filter(|cached| (cached.0, cached.1) == (newest, oldest)) {
            return cached.2;
        }
        let within = self.buckets.iter().filter(|slot| slot.0 > oldest && slot.0 <= newest);
        let sum = within.map(|slot| slot.1).sum();
        self.cached.set(Some((newest, oldest, sum)));
        sum
    }
}

/// The median; of an even number of values the upper of the two in the middle, and zero for no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
