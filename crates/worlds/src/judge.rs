//! Checks the guarantees at every step from the simulation's own observations: it reads the log itself and keeps its own
//! sets of the orders in use, without relying on what any controller reports.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use amberarch_accord::{Digest, Entry, Holds, Logged, Name, Place, RevisionNo, Stage, StageNo, Term};

use crate::machine::{Bounds, Machine};

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// Two sets of orders, at controllers or proxies, that no single revision satisfies.
    Mixed {
        at: f64,
        by: usize,
        these: Bounds,
        those: Bounds,
    },
    TwoChairs {
        at: f64,
        term: Term,
        one: Name,
        other: Name,
    },
    /// Two members have different committed entries at one place, or different states after it.
    LogsDiffer {
        at: f64,
        by: usize,
        place: Place,
    },
    /// A stage that does not follow from the entries before it, or that no entry started.
    StageOutOfOrder {
        at: f64,
        by: usize,
        place: Place,
        why: &'static str,
    },
    /// The answer to an operator contradicts the log.
    ToldWrong {
        at: f64,
        by: usize,
        no: RevisionNo,
        told: &'static str,
    },
}

#[derive(Default)]
pub(crate) struct Judge {
    pub breaches: Vec<Breach>,
    leaders: BTreeMap<Term, Name>,
    entries: BTreeMap<Place, Logged>,
    /// Hash of the state after the entries up to a place, as of the first member that reached it.
    amounts: BTreeMap<Place, u64>,
    seen: BTreeMap<usize, (u64, Place)>,
    /// How far this judge has read the log, and the stage according to it.
    read: Place,
    stage: Stage,
    highest: RevisionNo,
    pub stages: BTreeMap<StageNo, Stage>,
    /// For each revision: its digest, and the stage with which it came into force.
    pub in_force: BTreeMap<RevisionNo, (Digest, StageNo)>,
    pub withdrawn: BTreeMap<RevisionNo, Digest>,
    proposed: BTreeMap<RevisionNo, Digest>,
    told: Vec<(f64, usize, RevisionNo, Digest, Option<StageNo>)>,
    /// How many controllers or proxy groups currently use each set of revisions.
    claims: BTreeMap<Bounds, usize>,
}

pub(crate) fn bounds_of(holds: Holds, staged: Option<RevisionNo>) -> Bounds {
    let mut bounds: Bounds = match holds {
        Holds::Nothing => vec![0],
        Holds::Alone(no) => vec![no.0],
        Holds::Joint { old, new } => vec![old.map_or(0, |old| old.0), new.0],
    };
    bounds.extend(staged.map(|no| no.0));
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

impl Judge {
    pub fn claim(&mut self, at: f64, by: usize, bounds: &Bounds) {
        for those in self.claims.keys() {
            if !bounds.iter().any(|no| those.contains(no)) {
                self.breaches.push(Breach::Mixed { at, by, these: bounds.clone(), those: those.clone() });
            }
        }
        *self.claims.entry(bounds.clone()).or_default() += 1;
    }

    pub fn release(&mut self, bounds: &Bounds) {
        if let Some(count) = self.claims.get_mut(bounds) {
            *count -= 1;
            if *count == 0 {
                self.claims.remove(bounds);
            }
        }
    }

    /// Checks a member after each of its steps.
    pub fn check(&mut self, at: f64, by: usize, machine: &Machine) {
        let Some(accord) = &machine.accord else { return };
        let boot = machine.boot;
        if let (term, Some(chair)) = accord.chair() {
            if *chair == accord.facts().me {
                let one = self.leaders.entry(term).or_insert_with(|| chair.clone()).clone();
                if one != *chair {
                    self.breaches.push(Breach::TwoChairs { at, term, one, other: chair.clone() });
                }
            }
        }
        let (stands, base) = accord.standing();
        let seen = self.seen.entry(by).or_insert((boot, Place(0)));
        if *seen == (boot, stands) {
            return;
        }
        let from = if seen.0 == boot { seen.1 } else { Place(0) };
        *seen = (boot, stands);
        for place in (from.0 + 1..=stands.0).map(Place) {
            // The member received this entry only as part of a snapshot and never wrote it.
            let Some(logged) = machine.written.get(&place) else { continue };
            let known = self.entries.entry(place).or_insert_with(|| logged.clone());
            if known != logged {
                self.breaches.push(Breach::LogsDiffer { at, by, place });
            }
        }
        let mut hasher = DefaultHasher::new();
        base.hash(&mut hasher);
        let amount = hasher.finish();
        if stands > Place(0) && *self.amounts.entry(stands).or_insert(amount) != amount {
            self.breaches.push(Breach::LogsDiffer { at, by, place: stands });
        }
        while let Some(logged) = self.entries.get(&Place(self.read.0 + 1)).cloned() {
            self.read = Place(self.read.0 + 1);
            self.read_entry(at, by, logged.entry);
        }
        if self.read == stands && base.stage != self.stage {
            let why = "the stage is not what the entries lead to";
            self.breaches.push(Breach::StageOutOfOrder { at, by, place: stands, why });
        }
    }

    fn read_entry(&mut self, at: f64, by: usize, entry: Entry) {
        let (place, before) = (self.read, self.stage);
        let under_way = match (before.staged, before.holds) {
            (Some(no), _) | (None, Holds::Joint { new: no, .. }) => Some(no),
            _ => None,
        };
        let mut after = before;
        match entry {
            Entry::Proposed { revision, .. } if under_way.is_none() && revision.no > self.highest => {
                self.highest = revision.no;
                self.proposed.insert(revision.no, revision.digest);
                after.staged = Some(revision.no);
            }
            Entry::Joint(no) if before.staged == Some(no) => {
                let old = match before.holds {
                    Holds::Alone(old) => Some(old),
                    _ => None,
                };
                (after.holds, after.staged) = (Holds::Joint { old, new: no }, None);
            }
            Entry::InForce(no) if under_way == Some(no) && before.staged.is_none() => {
                after.holds = Holds::Alone(no);
                if let Some(digest) = self.proposed.get(&no) {
                    self.in_force.insert(no, (*digest, StageNo(place.0)));
                }
            }
            Entry::InForce(no) if under_way != Some(no) => {}
            Entry::InForce(_) => {
                let why = "in force without having been joint";
                self.breaches.push(Breach::StageOutOfOrder { at, by, place, why });
            }
            Entry::Withdrawn { no, .. } if under_way == Some(no) => {
                if let Some(digest) = self.proposed.get(&no) {
                    self.withdrawn.insert(no, *digest);
                }
                after.staged = None;
                if let Holds::Joint { old, .. } = before.holds {
                    after.holds = old.map_or(Holds::Nothing, Holds::Alone);
                }
            }
            _ => {}
        }
        if (after.holds, after.staged) != (before.holds, before.staged) {
            after.no = StageNo(place.0);
            self.stages.insert(after.no, after);
        }
        self.stage = after;
    }

    /// Checks that the stage a controller reports to act on was in force.
    pub fn acts_on(&mut self, at: f64, by: usize, stage: &Stage) {
        if stage.no.0 <= self.read.0 && stage.no > StageNo(0) && self.stages.get(&stage.no) != Some(stage) {
            let why = "a steward acts on what never stood";
            self.breaches.push(Breach::StageOutOfOrder { at, by, place: Place(stage.no.0), why });
        }
    }

    pub fn told(&mut self, at: f64, by: usize, no: RevisionNo, digest: Digest, outcome: Option<StageNo>) {
        self.told.push((at, by, no, digest, outcome));
    }

    /// Checks the answers to operators: a revision answered as in force came into force at that stage, and a refused one
    /// never did. This happens at the end, since a controller may crash between its answer and this judge's check.
    ///
    /// A refused revision may have been proposed again: `open` tells whether a proposal of it is unanswered or unsure.
    pub fn close(&mut self, open: impl Fn(RevisionNo) -> bool) {
        for (at, by, no, digest, outcome) in std::mem::take(&mut self.told) {
            if outcome.is_none() && open(no) {
                continue;
            }
            let held = self.in_force.get(&no).filter(|(held, _)| *held == digest).map(|(_, stage)| *stage);
            if held != outcome {
                let told = if outcome.is_some() { "in force" } else { "refused" };
                self.breaches.push(Breach::ToldWrong { at, by, no, told });
            }
        }
    }

    pub fn newest(&self) -> Stage {
        self.stage
    }
}
