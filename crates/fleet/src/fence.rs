//! Fence between decisions and the connections to proxies: an order is sent only if the act that it was decided under
//! is still in force.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Clock;

/// Fence number: incremented with each change of the act that the controller follows. Zero: none is known yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Under(pub u64);

/// Set by the fleet thread before anyone else learns of a new act, and checked by the thread that writes orders.
pub struct Fence {
    clock: Clock,
    holds: Mutex<Held>,
}

struct Held {
    under: Under,
    until: f64,
    /// Never cleared: this incarnation has released its leases.
    shut: bool,
}

impl Fence {
    /// Starts without a known act. Orders written then reject governed request classes, which is always allowed.
    pub fn new(clock: Clock) -> Fence {
        Fence {
            clock,
            holds: Mutex::new(Held { under: Under::default(), until: f64::INFINITY, shut: false }),
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, under: Under, until: f64) {
        let mut held = self.held();
        (held.under, held.until) = (under, until);
    }

    /// Blocks all orders of this incarnation, whatever is set later.
    pub fn shut(&self) {
        self.held().shut = true;
    }

    /// Whether an order decided under that number may be written now. Reads the clock.
    pub fn open(&self, under: Under) -> bool {
        let Held { under: holds, until, shut } = *self.held();
        // The clock is read last: if the process is paused between the two reads, the later time counts.
        !shut && holds == under && self.clock.now() < until
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_decided_before_a_change_or_past_the_lease_does_not_go_out() {
        let clock = Clock::new();
        let fence = Fence::new(clock);
        assert!(fence.open(Under(0)));
        fence.set(Under(1), clock.now() + 60_000.0);
        assert!(fence.open(Under(1)) && !fence.open(Under(0)));
        fence.set(Under(1), clock.now() - 0.001);
        assert!(!fence.open(Under(1)));
    }

    /// Guards against an order that is sent after the other members were told that none will be.
    #[test]
    fn what_is_told_after_it_was_shut_opens_it_no_more() {
        let clock = Clock::new();
        let fence = Fence::new(clock);
        fence.shut();
        assert!(!fence.open(Under(0)));
        fence.set(Under(1), f64::INFINITY);
        assert!(!fence.open(Under(1)));
    }
}
