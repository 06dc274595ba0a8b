//! The clock that leases are measured by (`CLOCK_BOOTTIME`). It advances while the process is stopped and while the
//! machine sleeps, and is never set.

use rustix::time::{clock_gettime, ClockId};

/// Counts milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ns: i128,
}

impl Clock {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Clock {
        Clock { start_ns: ns(ClockId::Boottime) }
    }

    pub fn now(&self) -> f64 {
        (ns(ClockId::Boottime) - self.start_ns) as f64 / 1e6
    }

    /// Converts a time of this clock to the machine's monotonic clock in ns, as used in histories; zero for earlier
    /// times.
    pub fn machine_ns(&self, at: f64) -> u64 {
        let ahead = ((at - self.now()) * 1e6).clamp(-9e18, 9e18);
        u64::try_from(ns(ClockId::Monotonic) + ahead as i128).unwrap_or(0)
    }
}

/// The current time of the machine's monotonic clock, in ns.
pub fn machine_ns() -> u64 {
    ns(ClockId::Monotonic) as u64
}

fn ns(clock: ClockId) -> i128 {
    let time = clock_gettime(clock);
    i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec)
}
