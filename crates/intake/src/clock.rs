//! Bounds on the offset of a remote clock, derived only from message timestamps and arrival times.
//!
//! A message that arrives at `now` and was sent at `remote` shows that the clocks differ by at most `now -
//! remote`, because it was not sent after it arrived. A message that repeats the number of a local message
//! sent at `sent_at` shows that they differ by at least `sent_at - remote`, because it was sent after that.
//! The true offset lies between these two bounds, however wrong the remote clock is and however long the
//! queue in between (Cristian 1989 bounds a clock reading by the same round trip). Only the smallest delay
//! of all messages counts, so a queue that fills or drains does not move the bounds.

/// Each oscillator may be off by 100 ppm, so two clocks may drift apart by twice that.
const MAX_DRIFT: f64 = 200e-6;
/// Maximum uncertainty of the offset in ms. With a round trip of half a second, the age of a report is
/// known to within a fraction of the time for which it counts as fresh. With wider bounds the clock counts
/// as unsynchronized.
const MAX_UNCERTAINTY: f64 = 500.0;

/// When something was observed, on the local clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservationTime {
    /// Lower bound; compared with the time of later probes and traffic reports.
    pub earliest: f64,
    /// Upper bound.
    pub latest: f64,
}

/// The lower and upper bound of the offset (local minus remote) of a remote clock, in ms.
#[derive(Clone, Debug)]
pub struct RemoteClock {
    low: f64,
    high: f64,
    at: f64,
}

impl Default for RemoteClock {
    fn default() -> RemoteClock {
        RemoteClock { low: f64::NEG_INFINITY, high: f64::INFINITY, at: 0.0 }
    }
}

impl RemoteClock {
    /// Updates the bounds from a message that arrived at `now`, was sent at `remote`, and came after the
    /// local message of `sent_at` was read. Returns false if the bounds contradict this: the remote clock
    /// has jumped, and the previous bounds are discarded.
    pub fn update(&mut self, now: f64, remote: f64, sent_at: Option<f64>) -> bool {
        let widened = MAX_DRIFT * (now - self.at).max(0.0);
        let (low, high) = (self.low - widened, self.high + widened);
        let (lower, upper) = (sent_at.map_or(f64::NEG_INFINITY, |sent_at| sent_at - remote), now - remote);
        let consistent = low <= upper && lower <= high;
        *self = match consistent {
            true => RemoteClock { low: low.max(lower), high: high.min(upper), at: now },
            false => RemoteClock { low: lower, high: upper, at: now },
        };
        consistent
    }

    /// Whether the offset is known to within `MAX_UNCERTAINTY`.
    pub fn synchronized(&self) -> bool {
        self.high - self.low <= MAX_UNCERTAINTY
    }

    /// Converts a remote time to local bounds; `None` while the clock is not synchronized.
    pub fn to_local(&self, now: f64, remote: f64) -> Option<ObservationTime> {
        let (earliest, latest) = (remote + self.low, remote + self.high);
        // An observation cannot be later than its arrival.
        self.synchronized().then(|| ObservationTime { earliest: earliest.min(now), latest: latest.min(now) })
    }
}
