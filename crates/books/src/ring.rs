//! Sums of tries over a window of time.

use std::cell::Cell;

use derive_more::{Add, AddAssign, Sum};

/// What became of so many tries, as far as sums told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add, AddAssign, Sum)]
pub struct Tally {
    pub tries: f64,
    pub voided: f64,
    /// How long the good ones took, in ms, all together.
    pub took: f64,
    /// The time that the sums cover, in ms.
    pub over: f64,
}

impl Tally {
    /// `mean` is the mean time of the good tries in ms, `over` the time in ms that the sum covers.
    pub fn new(tries: u32, voided: u32, mean: f64, over: f64) -> Tally {
        let (tries, voided) = (f64::from(tries), f64::from(voided));
        Tally { tries, voided, took: mean * (tries - voided), over }
    }

    /// The part of all tries that was voided; zero where there was none.
    pub fn voided_part(&self) -> f64 {
        self.voided / self.tries.max(1.0)
    }

    pub fn good(&self) -> f64 {
        self.tries - self.voided
    }

    /// Good tries a second; what covers less than a second counts as one.
    pub fn rate(&self) -> f64 {
        1_000.0 * self.good() / self.over.max(1_000.0)
    }

    /// Mean time of the good tries, in ms.
    pub fn mean(&self) -> f64 {
        self.took / self.good().max(1.0)
    }
}

/// How finely a ring tells times apart, in ms: finer than any sum comes.
pub const BUCKET: f64 = 500.0;
/// Enough for 12 s, the longest look back.
pub(crate) const BUCKETS: usize = 24;

/// The last 12 s in buckets of [`BUCKET`]; what is older is overwritten as time goes on.
/// What was asked for last stays known until something is added or the window moves: decisions between two sums ask for
/// the same.
#[derive(Default)]
pub struct Ring {
    buckets: [(i64, Tally); BUCKETS],
    known: Cell<Option<(i64, i64, Tally)>>,
}

impl Ring {
    pub fn add(&mut self, now: f64, tally: Tally) {
        let number = (now / BUCKET) as i64;
        self.known.set(None);
        let slot = &mut self.buckets[number.rem_euclid(BUCKETS as i64) as usize];
        let sum = if slot.0 == number { slot.1 } else { Tally::default() };
        *slot = (number, sum + tally);
    }

    /// The sum of the buckets that begin after the one of `now - span`, up to that of `now`.
    pub fn last(&self, now: f64, span: f64) -> Tally {
        let (newest, oldest) = ((now / BUCKET) as i64, ((now - span) / BUCKET) as i64);
        if let Some(known) = self.known.get().filter(|known| (known.0, known.1) == (newest, oldest)) {
            return known.2;
        }
        let within = self.buckets.iter().filter(|slot| slot.0 > oldest && slot.0 <= newest);
        let sum = within.map(|slot| slot.1).sum();
        self.known.set(Some((newest, oldest, sum)));
        sum
    }
}

/// The upper one of the two in the middle, where there are two; zero for nothing.
pub fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}
