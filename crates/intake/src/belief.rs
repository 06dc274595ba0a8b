//! The estimated load of one host, and how it ages without new reports.
//!
//! An estimate without new reports goes from fresh through ageing to silent. Meanwhile it moves from the
//! host's own load to the fleet's median, and its confidence falls to 0. It stays between the two values,
//! so silence never makes a host look less loaded than the lower of its own last report and the median.

use crate::clock::ObservationTime;
use crate::report::Load;

/// An estimate from a recent report of the host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fresh {
    pub load: f64,
    pub age: f64,
}

/// An estimate between the host's last load and the fleet's median.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ageing {
    pub load: f64,
    pub age: f64,
    /// The confidence, between 1 and 0 (exclusive).
    pub sure: f64,
}

/// The host's own reports no longer count. It is taken for a median host, and no decision is based on that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Silent {
    pub median: f64,
    pub age: f64,
}

/// The estimated load of a host by freshness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadEstimate {
    Fresh(Fresh),
    Ageing(Ageing),
    Silent(Silent),
    /// The host never reported, or not since it was listed or restarted.
    Unknown,
}

/// How recent the newest report of a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    Fresh,
    Ageing,
    Silent,
}

/// A host may miss one report and send the next one late before it counts as ageing.
const MISSED_REPORTS: f64 = 1.5;
/// Milliseconds of tolerated delay: 500 for the transmission and 1000 for a pause of the reporter.
const MAX_DELAY: f64 = 1_500.0;

/// Milliseconds for which a load stays fresh after its observation, for a host that reports every `interval`
/// ms. After twice that time the host is silent.
pub fn freshness_limit(interval: f64) -> f64 {
    MAX_DELAY + MISSED_REPORTS * interval
}

/// Time constant of the smoothing, in ms. A single load is noisy and sampled loads are few; with this value
/// half of the estimate is renewed in 2 s. With a third of it, hosts under a steady load crossed the line
/// by chance alone.
const SMOOTHING_TIME: f64 = 3_000.0;

/// The smoothed load of a host and the time of its newest observation.
#[derive(Clone, Copy, Debug)]
pub struct SmoothedLoad {
    load: f64,
    /// The newest reported load, before smoothing.
    last_reported: f64,
    pub observed: ObservationTime,
    /// The observation time on the reporter's clock, which orders the reports of one process to the
    /// microsecond.
    pub at: f64,
}

impl SmoothedLoad {
    pub fn first(load: Load, observed: ObservationTime, at: f64) -> SmoothedLoad {
        SmoothedLoad { load: load.value(), last_reported: load.value(), observed, at }
    }

    pub fn load(&self) -> f64 {
        self.load
    }

    /// Difference between the newest reported load and the smoothed one.
    pub fn deviation(&self) -> f64 {
        (self.last_reported - self.load).abs()
    }

    /// Adds a load that was observed later. Its weight grows with the time since the previous one.
    pub fn update(self, load: Load, observed: ObservationTime, at: f64) -> SmoothedLoad {
        let weight = 1.0 - (-(observed.latest - self.observed.latest).max(0.0) / SMOOTHING_TIME).exp();
        SmoothedLoad {
            load: self.load + weight * (load.value() - self.load),
            last_reported: load.value(),
            observed,
            at,
        }
    }

    /// When the freshness changes next; a silent host changes only by a new report.
    pub fn next_transition(&self, now: f64, interval: f64) -> Option<f64> {
        let fresh = freshness_limit(interval);
        match self.freshness(now, interval) {
            Freshness::Fresh => Some(self.observed.latest + fresh),
            Freshness::Ageing => Some(self.observed.latest + 2.0 * fresh),
            Freshness::Silent => None,
        }
    }

    pub fn freshness(&self, now: f64, interval: f64) -> Freshness {
        let (age, fresh) = (now - self.observed.latest, freshness_limit(interval));
        match age {
            _ if age < fresh => Freshness::Fresh,
            _ if age < 2.0 * fresh => Freshness::Ageing,
            _ => Freshness::Silent,
        }
    }

    pub fn estimate(&self, now: f64, interval: f64, median: f64) -> LoadEstimate {
        let (age, fresh) = ((now - self.observed.latest).max(0.0), freshness_limit(interval));
        match self.freshness(now, interval) {
            Freshness::Fresh => LoadEstimate::Fresh(Fresh { load: self.load, age }),
            Freshness::Ageing => {
                let sure = 2.0 - age / fresh;
                LoadEstimate::Ageing(Ageing { load: median + sure * (self.load - median), age, sure })
            }
            Freshness::Silent => LoadEstimate::Silent(Silent { median, age }),
        }
    }
}
