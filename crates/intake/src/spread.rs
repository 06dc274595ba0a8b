//! A histogram of one value per host: quantiles within 1 %, fixed size, mergeable, and exact when the old
//! value of a host is removed.
//!
//! The buckets are those of DDSketch (Masson, Rim, Lee 2019): each is 2 % wider than the one below. The
//! published sketch supports only additions. Here each host counts once, with its newest value, so values
//! are removed when they are replaced, which the known implementations do not offer.

/// Loads below this are idle and share one bucket.
const IDLE_LOAD: f64 = 1e-3;
/// An error of 1 % either way is finer than any threshold needs.
const BUCKET_GROWTH: f64 = 1.02;
/// Buckets from `IDLE_LOAD` in steps of `BUCKET_GROWTH` up to the largest load that a report may contain.
const BUCKET_COUNT: usize = 548;

/// Counts of values in logarithmic buckets.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Box<[u32]>,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { counts: vec![0; BUCKET_COUNT].into(), total: 0 }
    }
}

impl Histogram {
    pub fn total(&self) -> u32 {
        self.total
    }

    pub fn add(&mut self, value: f64) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
    }

    /// Removes a value that was added before.
    pub fn remove(&mut self, value: f64) {
        let count = &mut self.counts[bucket(value)];
        debug_assert!(*count > 0, "{value} was never added");
        let removed = u32::from(*count > 0);
        *count -= removed;
        self.total -= removed;
    }

    pub fn merge(&mut self, other: &Histogram) {
        self.counts.iter_mut().zip(&other.counts).for_each(|(own, added)| *own += added);
        self.total += other.total;
    }

    /// The value below which the given fraction of all values lies; `None` if the histogram is empty.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        let rank = (fraction.clamp(0.0, 1.0) * f64::from(self.total.checked_sub(1)?)) as u32;
        let mut below = 0;
        let found = self.counts.iter().position(|count| {
            below += count;
            below > rank
        });
        found.map(midpoint)
    }
}

fn bucket(value: f64) -> usize {
    match value <= IDLE_LOAD {
        true => 0,
        false => {
            ((value / IDLE_LOAD).ln() / BUCKET_GROWTH.ln()).ceil().min((BUCKET_COUNT - 1) as f64) as usize
        }
    }
}

/// The value with the same relative error to both ends of its bucket.
fn midpoint(bucket: usize) -> f64 {
    match bucket {
        0 => 0.0,
        _ => IDLE_LOAD * BUCKET_GROWTH.powi(bucket as i32) * 2.0 / (1.0 + BUCKET_GROWTH),
    }
}
