//! Unix time that a step of the machine's wall clock does not move.

use std::time::SystemTime;

use tokio::time::Instant;

/// The wall clock as it was read once, carried on by the monotonic clock. Guards against a wall clock that is stepped, by
/// seconds or an hour: ages and ends are spans of real time, and by a clock that is read anew a host that has just started
/// would be an hour old and warm, or not start for an hour. A wall clock that was wrong when it was read stays wrong by as
/// much.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    read_ms: f64,
    at: Instant,
}

impl UnixClock {
    /// Reads the system's clock; a time before 1970 counts as 1970.
    pub fn read() -> UnixClock {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        UnixClock::reading(since.map_or(0.0, |since| since.as_secs_f64() * 1e3))
    }

    /// A clock that shows this now, in ms since 1970.
    pub fn reading(read_ms: f64) -> UnixClock {
        UnixClock { read_ms, at: Instant::now() }
    }

    /// Unix time in ms.
    pub fn now_ms(&self) -> f64 {
        self.read_ms + self.at.elapsed().as_secs_f64() * 1e3
    }
}
