//! Checks how long controllers take to become ready after a restart.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Line, Rule, Verdict, What};

/// Assumes that test doubles write `Started` when they start a controller's process and `Ready` at its first
/// answer. Each start after a `Died` of the same controller is checked; the very first start is not a
/// restart. A process that dies before it is ready counts as a late start.
pub struct Readiness {
    /// Time within which a restarted process has to be ready, ms.
    within: f64,
    died: BTreeSet<String>,
    /// Restarts that are not ready yet.
    starting: BTreeMap<String, Line>,
    slowest: f64,
    verdict: Verdict,
    last: u64,
}

impl Readiness {
    pub fn new(within: f64) -> Readiness {
        let (died, starting) = (BTreeSet::new(), BTreeMap::new());
        Readiness { within, died, starting, slowest: 0.0, verdict: Verdict::default(), last: 0 }
    }

    /// Lines have to come in the order of `at`.
    pub fn feed(&mut self, line: &Line) {
        self.last = line.at;
        match line.what {
            What::Died => {
                self.start_ended(&line.who, line.at, false);
                self.died.insert(line.who.clone());
            }
            What::Started if self.died.contains(&line.who) => {
                self.starting.insert(line.who.clone(), line.clone());
            }
            What::Ready => self.start_ended(&line.who, line.at, true),
            _ => {}
        }
    }

    fn start_ended(&mut self, who: &str, now: u64, ready: bool) {
        let Some(started) = self.starting.remove(who) else { return };
        self.verdict.looked += 1;
        let took = (now - started.at) as f64 / 1e6;
        self.slowest = self.slowest.max(took);
        if !ready || took > self.within {
            let how = if ready { "was ready" } else { "ended without being ready" };
            let says = format!("{who} {how} {took:.0} ms after its start");
            self.verdict.found(Rule::Ready, now, says, vec![started]);
        }
    }

    /// The slowest restart so far, ms.
    pub fn slowest(&self) -> f64 {
        self.slowest
    }

    /// A restart that is not ready at the end of the history counts as late only if its time limit has
    /// passed.
    pub fn finish(mut self) -> Verdict {
        let starting: Vec<(String, Line)> = std::mem::take(&mut self.starting).into_iter().collect();
        for (who, started) in starting {
            let over = (self.last - started.at) as f64 / 1e6 > self.within;
            match over {
                true => {
                    self.starting.insert(who.clone(), started);
                    self.start_ended(&who, self.last, false);
                }
                false => self.verdict.open += 1,
            }
        }
        self.verdict
    }
}
