//! How a figure is spread over many hosts: quantiles within 1 %, of a fixed size, mergeable, and exact when a
//! host's old figure is taken out again.
//!
//! The buckets are those of DDSketch (Masson, Rim, Lee 2019): each is 2 % wider than the one below. The
//! published sketch only grows; here each host counts once, with its newest figure, so figures are taken
//! out as they are replaced, which the known implementations do not offer.

/// Loads under this are idle; all of them are one bucket.
const LEAST: f64 = 1e-3;
/// One part in a hundred either way is finer than any threshold looks.
const GROWTH: f64 = 1.02;
/// From `LEAST` by `GROWTH` to the largest load that reports may tell.
const BUCKETS: usize = 548;

#[derive(Clone, Debug)]
pub struct Spread {
    counts: Box<[u32]>,
    total: u32,
}

impl Default for Spread {
    fn default() -> Spread {
        Spread { counts: vec![0; BUCKETS].into(), total: 0 }
    }
}

impl Spread {
    pub fn total(&self) -> u32 {
        self.total
    }

    pub fn add(&mut self, figure: f64) {
        self.counts[bucket(figure)] += 1;
        self.total += 1;
    }

    /// Takes out a figure that was added before.
    pub fn remove(&mut self, figure: f64) {
        let count = &mut self.counts[bucket(figure)];
        debug_assert!(*count > 0, "{figure} was never added");
        let gone = u32::from(*count > 0);
        *count -= gone;
        self.total -= gone;
    }

    pub fn merge(&mut self, other: &Spread) {
        self.counts.iter_mut().zip(&other.counts).for_each(|(mine, theirs)| *mine += theirs);
        self.total += other.total;
    }

    /// The figure below which that part of all lies; `None` where there is none.
    pub fn quantile(&self, part: f64) -> Option<f64> {
        let rank = (part.clamp(0.0, 1.0) * f64::from(self.total.checked_sub(1)?)) as u32;
        let mut below = 0;
        let found = self.counts.iter().position(|count| {
            below += count;
            below > rank
        });
        found.map(middle)
    }
}

fn bucket(figure: f64) -> usize {
    match figure <= LEAST {
        true => 0,
        false => ((figure / LEAST).ln() / GROWTH.ln()).ceil().min((BUCKETS - 1) as f64) as usize,
    }
}

/// The figure that is off by the same part from both ends of its bucket.
fn middle(bucket: usize) -> f64 {
    match bucket {
        0 => 0.0,
        _ => LEAST * GROWTH.powi(bucket as i32) * 2.0 / (1.0 + GROWTH),
    }
}
