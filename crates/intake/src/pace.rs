//! How often each host is to report: a budget of reports a second, dealt over hosts.
//!
//! Each host is in one class of need. The rates are the weighted max-min fair ones: every host gets its class's
//! weight times one common rate, but no less than the least and no more than the most; the common rate is what
//! uses the budget up. Hosts of one class get the same, so it is found over the classes, not over the hosts.

/// How much a host's next report can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// Far from every line at which decisions change, and steady.
    Steady,
    Moving,
    /// Beside a line: the next report may cross it.
    Near,
}

pub const NEEDS: [(Need, f64); 3] = [(Need::Steady, 1.0), (Need::Moving, 2.0), (Need::Near, 4.0)];

/// Reports a second of one host: a belief ages within some seconds, and no decision looks more often than
/// twenty times a second.
const MOST: f64 = 20.0;
const LEAST: f64 = 0.2;

/// How many hosts are in each class, in the order of `NEEDS`.
pub type Census = [u32; NEEDS.len()];

/// The rate of a host of each class, in reports a second. Their sum is the budget at the most; it is less only
/// where all hosts have the most that is of use.
pub fn deal(budget: f64, census: Census) -> [f64; NEEDS.len()] {
    let hosts: u32 = census.iter().sum();
    if hosts == 0 {
        return [MOST; NEEDS.len()];
    }
    // So many hosts that not even the least fits: all alike.
    let least = f64::min(LEAST, budget / f64::from(hosts));
    let rates = |common: f64| NEEDS.map(|(_, weight)| (weight * common).clamp(least, MOST));
    let sum = |common: f64| -> f64 {
        rates(common).iter().zip(census).map(|(rate, count)| rate * f64::from(count)).sum()
    };
    // The sum grows piece by piece along a straight line: the bends are where a class meets a bound.
    let mut bends: Vec<f64> = NEEDS.iter().flat_map(|(_, weight)| [least / weight, MOST / weight]).collect();
    bends.sort_by(f64::total_cmp);
    let after = bends.iter().position(|bend| sum(*bend) >= budget);
    let common = match after {
        None => MOST,
        Some(0) => bends[0],
        Some(after) => {
            let (from, to) = (bends[after - 1], bends[after]);
            let (low, high) = (sum(from), sum(to));
            from + (to - from) * (budget - low) / (high - low).max(1e-12)
        }
    };
    rates(common)
}

/// The nearest interval of a grid of quarter octaves, rounded up: small shifts tell nobody anything, and the
/// budget holds.
pub fn interval(rate: f64) -> f64 {
    let exact = 1_000.0 / rate.max(1e-6);
    2f64.powf((exact.log2() * 4.0 - 1e-9).ceil() / 4.0)
}

/// Over its pace by a quarter a host is not refused: clocks, pauses and batches bring reports together.
const SLACK: f64 = 1.25;
/// So many may come at once after a pause.
const DEPTH: f64 = 3.0;
/// For so long after a slower pace was told the faster one before it is still let through.
const ON_ITS_WAY: f64 = 2_000.0;

/// A host's pace: what its reporter was told, and what is let through by that.
#[derive(Clone, Debug)]
pub struct Pace {
    pub need: Need,
    /// Milliseconds between two reports.
    every: f64,
    before: f64,
    /// Whether the reporter that speaks for the host was told.
    pub known: bool,
    told_at: f64,
    tokens: f64,
    filled_at: f64,
}

impl Pace {
    pub fn new(now: f64, every: f64) -> Pace {
        let (need, known) = (Need::Steady, false);
        Pace { need, every, before: every, known, told_at: now, tokens: DEPTH, filled_at: now }
    }

    pub fn every(&self) -> f64 {
        self.every
    }

    pub fn tell(&mut self, now: f64, every: f64) {
        (self.before, self.every, self.told_at, self.known) = (self.every, every, now, true);
    }

    /// Whether one more report is let through, observed at `seen`. Observations are counted, not arrivals: of
    /// what a queue held back, the newest must not be refused for the oldest.
    pub fn pass(&mut self, seen: f64) -> bool {
        let every = match seen - self.told_at < ON_ITS_WAY {
            true => self.every.min(self.before),
            false => self.every,
        };
        let fresh = SLACK * (seen - self.filled_at).max(0.0) / every;
        (self.tokens, self.filled_at) = (DEPTH.min(self.tokens + fresh), seen.max(self.filled_at));
        let passes = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(passes));
        passes
    }
}
