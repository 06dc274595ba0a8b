//! Jitter for the pauses between attempts, drawn by a seed, so that daemons that lost the same peer at the same time do not
//! return to it at the same time.

use std::cell::Cell;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::time::Duration;

/// The shortest pause as a fraction of the requested one. A fifth of 50 ms puts thirty daemons that redial a few tenths of
/// a millisecond apart, and no pause exceeds the requested one.
const LEAST: f64 = 0.8;
/// The number of different pauses.
const STEPS: u64 = 1_000;

/// A sequence of jittered pauses that depends on the seed.
pub struct Spread {
    seed: u64,
    drawn: Cell<u64>,
}

impl Spread {
    pub fn new(seed: u64) -> Spread {
        Spread { seed, drawn: Cell::new(0) }
    }

    /// The next pause: 0.8 to 1 times the given one.
    pub fn of(&self, pause: Duration) -> Duration {
        pause.mul_f64(LEAST + (1.0 - LEAST) * self.chance())
    }

    /// The next pause: anything up to the given one.
    pub fn up_to(&self, most: Duration) -> Duration {
        most.mul_f64(self.chance())
    }

    fn chance(&self) -> f64 {
        let drawn = self.drawn.get();
        self.drawn.set(drawn.wrapping_add(1));
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one((self.seed, drawn));
        (hash % STEPS) as f64 / STEPS as f64
    }
}
