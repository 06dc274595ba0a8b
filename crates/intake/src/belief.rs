//! What is believed of one host's load, and how that ages.
//!
//! A figure that is not renewed goes from fresh over ageing to silent. On the way the belief moves from the
//! host's own figure to the fleet's median and loses its weight. It stays between the two, so silence never
//! makes a host look idler than both the host itself last said and what the others say.

use crate::clock::Observed;
use crate::report::Load;

/// A host's own figure, told of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fresh {
    pub load: f64,
    pub age: f64,
}

/// Between the host's own figure and the fleet's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ageing {
    pub load: f64,
    pub age: f64,
    /// Under 1 and over 0.
    pub sure: f64,
}

/// Nothing of the host's own is left: it is taken for one of the fleet, and nothing is done by that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Silent {
    pub median: f64,
    pub age: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Belief {
    Fresh(Fresh),
    Ageing(Ageing),
    Silent(Silent),
    /// It never reported, or not since it was listed or started anew.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Fresh,
    Ageing,
    Silent,
}

/// A host may miss one report of its pace and come late with the next before it counts as ageing.
const MISSED: f64 = 1.5;
/// Half a second for the way here, one for a pause of the reporter.
const LATE: f64 = 1_500.0;

/// For how long a figure stays fresh after it was observed, for a host that reports each `every` ms. Twice as
/// long and it is silent.
pub fn fresh_for(every: f64) -> f64 {
    LATE + MISSED * every
}

/// A single figure is noise, and sampled figures are few: half of the belief is renewed in 2 s. With a third of
/// this, hosts of a steady emulated day crossed the line by chance alone.
const SMOOTH: f64 = 3_000.0;

/// The newest that is known of a host.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    load: f64,
    /// The figure that came last, before it was smoothed.
    last: f64,
    pub seen: Observed,
    /// The reporter's own time of it: it orders the reports of one process to the microsecond.
    pub at: f64,
}

impl Known {
    pub fn first(load: Load, seen: Observed, at: f64) -> Known {
        Known { load: load.figure(), last: load.figure(), seen, at }
    }

    pub fn load(&self) -> f64 {
        self.load
    }

    /// How far the last figure is from the smoothed one.
    pub fn moved(&self) -> f64 {
        (self.last - self.load).abs()
    }

    /// With one more figure, observed later: the longer after, the more it counts.
    pub fn then(self, load: Load, seen: Observed, at: f64) -> Known {
        let weight = 1.0 - (-(seen.latest - self.seen.latest).max(0.0) / SMOOTH).exp();
        Known { load: self.load + weight * (load.figure() - self.load), last: load.figure(), seen, at }
    }

    /// When it leaves the stage that it is in at `now`; a silent one leaves it by reports only.
    pub fn turns(&self, now: f64, every: f64) -> Option<f64> {
        let fresh = fresh_for(every);
        match self.stage(now, every) {
            Stage::Fresh => Some(self.seen.latest + fresh),
            Stage::Ageing => Some(self.seen.latest + 2.0 * fresh),
            Stage::Silent => None,
        }
    }

    pub fn stage(&self, now: f64, every: f64) -> Stage {
        let (age, fresh) = (now - self.seen.latest, fresh_for(every));
        match age {
            _ if age < fresh => Stage::Fresh,
            _ if age < 2.0 * fresh => Stage::Ageing,
            _ => Stage::Silent,
        }
    }

    pub fn belief(&self, now: f64, every: f64, median: f64) -> Belief {
        let (age, fresh) = ((now - self.seen.latest).max(0.0), fresh_for(every));
        match self.stage(now, every) {
            Stage::Fresh => Belief::Fresh(Fresh { load: self.load, age }),
            Stage::Ageing => {
                let sure = 2.0 - age / fresh;
                Belief::Ageing(Ageing { load: median + sure * (self.load - median), age, sure })
            }
            Stage::Silent => Belief::Silent(Silent { median, age }),
        }
    }
}
