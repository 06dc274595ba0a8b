//! Time values that can be hashed as part of the whole state.

use std::cmp::Ordering;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::Name;

/// A time of this member's clock, in ms; never NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ms(pub f64);

impl Ms {
    pub const NEVER: Ms = Ms(f64::INFINITY);
    /// Earlier than every other time: whatever ended then is over.
    pub const LONG_AGO: Ms = Ms(f64::NEG_INFINITY);

    pub fn plus(self, ms: f64) -> Ms {
        Ms(self.0 + ms)
    }

    pub fn min(self, other: Ms) -> Ms {
        Ms(self.0.min(other.0))
    }

    pub fn max(self, other: Ms) -> Ms {
        Ms(self.0.max(other.0))
    }
}

impl PartialOrd for Ms {
    fn partial_cmp(&self, other: &Ms) -> Option<Ordering> {
        self.0.partial_cmp(&other.0)
    }
}

impl Hash for Ms {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.to_bits().hash(state);
    }
}

/// A pseudo-random value in [0, 1); the same for the same seed, name and count.
pub(crate) fn random_fraction(seed: u64, name: &Name, count: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, name, count).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
