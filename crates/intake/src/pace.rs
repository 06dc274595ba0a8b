//! How often each host is to report: a budget of reports per second, distributed over the hosts.
//!
//! Each host has a priority. The rates are weighted max-min fair: each host gets the weight of its priority
//! times one common rate, but no less than `MIN_RATE` and no more than `MAX_RATE`; the common rate is the
//! one that uses up the budget. Hosts of one priority get the same rate, so the computation runs over the
//! priorities, not over the hosts.

/// How much a host's next report can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Far from the load at which decisions change, and steady.
    Steady,
    /// Its load is changing.
    Moving,
    /// Near the load at which decisions change: the next report may cross it.
    Near,
}

/// The priorities with their weights.
pub const PRIORITIES: [(Priority, f64); 3] =
    [(Priority::Steady, 1.0), (Priority::Moving, 2.0), (Priority::Near, 4.0)];

/// Bounds of one host's rate in reports per second: an estimate ages within some seconds, and no decision
/// is made more often than twenty times per second.
const MAX_RATE: f64 = 20.0;
const MIN_RATE: f64 = 0.2;

/// Number of hosts of each priority, in the order of `PRIORITIES`.
pub type PriorityCounts = [u32; PRIORITIES.len()];

/// The rate of a host of each priority, in reports per second. Their sum is at most the budget; it is less
/// only where all hosts have `MAX_RATE`.
pub fn allocate_rates(budget: f64, counts: PriorityCounts) -> [f64; PRIORITIES.len()] {
    let hosts: u32 = counts.iter().sum();
    if hosts == 0 {
        return [MAX_RATE; PRIORITIES.len()];
    }
    // With so many hosts that not even the minimum rate fits, all get the same rate.
    let min_rate = f64::min(MIN_RATE, budget / f64::from(hosts));
    let rates = |common: f64| PRIORITIES.map(|(_, weight)| (weight * common).clamp(min_rate, MAX_RATE));
    let sum = |common: f64| -> f64 {
        rates(common).iter().zip(counts).map(|(rate, count)| rate * f64::from(count)).sum()
    };
    // The sum is piecewise linear in the common rate; it bends where a priority reaches a bound.
    let mut breakpoints: Vec<f64> =
        PRIORITIES.iter().flat_map(|(_, weight)| [min_rate / weight, MAX_RATE / weight]).collect();
    breakpoints.sort_by(f64::total_cmp);
    let after = breakpoints.iter().position(|breakpoint| sum(*breakpoint) >= budget);
    let common = match after {
        None => MAX_RATE,
        Some(0) => breakpoints[0],
        Some(after) => {
            let (from, to) = (breakpoints[after - 1], breakpoints[after]);
            let (low, high) = (sum(from), sum(to));
            from + (to - from) * (budget - low) / (high - low).max(1e-12)
        }
    };
    rates(common)
}

/// Converts a rate to an interval in ms, rounded up to a grid of quarter octaves: small changes cause no
/// messages, and the budget holds.
pub fn rounded_interval(rate: f64) -> f64 {
    let exact = 1_000.0 / rate.max(1e-6);
    2f64.powf((exact.log2() * 4.0 - 1e-9).ceil() / 4.0)
}

/// A host may exceed its rate by a quarter, because clocks, pauses and batches bunch reports together.
const RATE_TOLERANCE: f64 = 1.25;
/// Reports that may arrive at once after a pause.
const BURST: f64 = 3.0;
/// Milliseconds after a longer interval was sent for which the previous shorter one is still accepted, as
/// the message may be in transit.
const CHANGE_GRACE: f64 = 2_000.0;

/// The report interval of a host, as sent to its reporter, and the token bucket that enforces it.
#[derive(Clone, Debug)]
pub struct Pace {
    pub priority: Priority,
    /// Milliseconds between two reports.
    interval: f64,
    previous: f64,
    /// Whether the reporter of the host has been sent the interval.
    pub sent: bool,
    changed_at: f64,
    tokens: f64,
    filled_at: f64,
}

impl Pace {
    pub fn new(now: f64, interval: f64) -> Pace {
        let (priority, sent) = (Priority::Steady, false);
        Pace { priority, interval, previous: interval, sent, changed_at: now, tokens: BURST, filled_at: now }
    }

    pub fn interval(&self) -> f64 {
        self.interval
    }

    pub fn set_interval(&mut self, now: f64, interval: f64) {
        (self.previous, self.interval, self.changed_at, self.sent) = (self.interval, interval, now, true);
    }

    /// Whether one more report, observed at `observed`, is within the rate. The bucket refills by
    /// observation times, not by arrivals: of reports that a queue delayed, the newest must not be refused
    /// because of the oldest.
    pub fn admits(&mut self, observed: f64) -> bool {
        let interval = match observed - self.changed_at < CHANGE_GRACE {
            true => self.interval.min(self.previous),
            false => self.interval,
        };
        let refill = RATE_TOLERANCE * (observed - self.filled_at).max(0.0) / interval;
        (self.tokens, self.filled_at) = (BURST.min(self.tokens + refill), observed.max(self.filled_at));
        let admitted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(admitted));
        admitted
    }
}
