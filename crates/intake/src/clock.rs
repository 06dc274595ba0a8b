//! Another machine's clock, known only by what it wrote on messages and when they came.
//!
//! A message that came at `now` and was sent at `theirs` shows that the clocks differ by `now - theirs` at the
//! most: it was not sent after it came. One that repeats the number of a message that left here at `left`
//! shows that they differ by `left - theirs` at the least: it was sent after that. Between the two lies the
//! truth, however wrong the other clock is and however long a queue in between stands (Cristian 1989 bounds
//! a clock's reading by the same round trip). Only the least delay of all messages counts, so a queue that
//! fills or empties moves nothing.

/// Two crystals may part by 100 millionths each.
const DRIFT: f64 = 200e-6;
/// A round trip of half a second still tells a report's age to within that, a fraction of the time for which
/// a report counts as fresh. Looser bounds prove nothing.
const PROOF: f64 = 500.0;

/// When something was observed, by our clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observed {
    /// Not before this: what a probe or sum observed later is compared with.
    pub earliest: f64,
    /// Not after this.
    pub latest: f64,
}

#[derive(Clone, Debug)]
pub struct Clock {
    low: f64,
    high: f64,
    at: f64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { low: f64::NEG_INFINITY, high: f64::INFINITY, at: 0.0 }
    }
}

impl Clock {
    /// A message came `now`, sent at `theirs`, after one had been read that left here at `left`.
    /// Returns false where that can't be: the other clock has jumped, and what was known of it is void.
    pub fn heard(&mut self, now: f64, theirs: f64, left: Option<f64>) -> bool {
        let widened = DRIFT * (now - self.at).max(0.0);
        let (low, high) = (self.low - widened, self.high + widened);
        let (least, most) = (left.map_or(f64::NEG_INFINITY, |left| left - theirs), now - theirs);
        let sound = low <= most && least <= high;
        *self = match sound {
            true => Clock { low: low.max(least), high: high.min(most), at: now },
            false => Clock { low: least, high: most, at: now },
        };
        sound
    }

    pub fn proven(&self) -> bool {
        self.high - self.low <= PROOF
    }

    /// Our time for one of theirs; `None` as long as nothing is proven.
    pub fn ours(&self, now: f64, theirs: f64) -> Option<Observed> {
        let (earliest, latest) = (theirs + self.low, theirs + self.high);
        // Nothing is observed after it has come.
        self.proven().then(|| Observed { earliest: earliest.min(now), latest: latest.min(now) })
    }
}
