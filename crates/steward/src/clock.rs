//! Unix time that does not jump when the machine's wall clock is stepped.

use std::time::SystemTime;

use tokio::time::Instant;

/// The wall clock read once, then advanced by the monotonic clock. Ages and deadlines are spans of real time: if the wall
/// clock were read again after a step of an hour, a host that has just started would seem an hour old and warm, or would
/// not start for an hour. An error of the wall clock at the first reading stays.
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

    /// A clock that shows this time now, in ms since 1970.
    pub fn reading(read_ms: f64) -> UnixClock {
        UnixClock { read_ms, at: Instant::now() }
    }

    /// Unix time in ms.
    pub fn now_ms(&self) -> f64 {
        self.read_ms + self.at.elapsed().as_secs_f64() * 1e3
    }
}
