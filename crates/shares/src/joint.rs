//! The controller's side while one plan replaces another: it admits only what every plan that may be in force allows,
//! that is, the smallest share of a request class (`product`) in a zone.
//!
//! Grants of each plan are issued separately, with a ledger per plan, and messages name their plan. So the grants of one
//! plan never add up to more than the capacity, whatever happens with another plan and in any order of messages. A plan
//! that is added while another one limits this controller starts to limit it with its first grants. Until then this
//! controller is not [`Joint::ready`]: only the old plan applies here, and no controller may switch to the new plan alone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amberarch_core::{ClassId, ZoneId};

use crate::held::{capacity_drops, update_capacity, REPORT_INTERVAL_MS};
use crate::{Bound, Heard, Held, Lengths, Out, Plan, Said};

/// A plan and its policy revision; `None` for a revision without a plan.
pub type Planned = Option<(u64, Arc<Plan>)>;

/// A leader that has not heard from all controllers issues grants at the latest this long after the longest grant has
/// expired, ms. It covers two reports of a controller and a confirmation by the majority.
const GRANT_DELAY_MS: f64 = 5.0 * REPORT_INTERVAL_MS;

/// Maximum number of dropped plans that are remembered.
const MAX_DROPPED: usize = 64;

/// The state of one plan at this controller.
struct PlanState {
    revision: Option<u64>,
    held: Option<Held>,
    shares: BTreeMap<(ZoneId, ClassId), f64>,
    /// The plan limits nothing until its first grants arrive or this time is reached. `None`: it limits now.
    inactive_until: Option<f64>,
}

/// The grants that one controller holds under all plans that may be in force.
pub struct Joint {
    started_at: f64,
    lengths: Lengths,
    term: u64,
    plan_states: Vec<PlanState>,
    /// When a plan was dropped here, by revision. Proxies may still act on its grants.
    dropped: BTreeMap<u64, f64>,
    arrivals: Vec<(ZoneId, ClassId, f64)>,
    capacity: Vec<(ZoneId, f64)>,
    /// The shares that were emitted last. A pair that is not listed is admitted in full.
    emitted: BTreeMap<(ZoneId, ClassId), f64>,
}

fn revision_of(planned: &Planned) -> Option<u64> {
    planned.as_ref().map(|(revision, _)| *revision)
}

impl Joint {
    /// Starts without a plan; `now` is the start of the process.
    pub fn new(now: f64, lengths: &Lengths) -> Joint {
        Joint {
            started_at: now,
            lengths: *lengths,
            term: 0,
            plan_states: vec![],
            dropped: BTreeMap::new(),
            arrivals: vec![],
            capacity: vec![],
            emitted: BTreeMap::new(),
        }
    }

    /// Sets the plans that may be in force from now on, the previous one first. An empty list means that the plan in force
    /// is not known. `run` draws a random number that no run of any controller has used.
    pub fn plans(&mut self, now: f64, plans: &[Planned], mut run: impl FnMut() -> u32) -> Vec<Out> {
        let revisions: Vec<Option<u64>> = plans.iter().map(revision_of).collect();
        if revisions.iter().eq(self.plan_states.iter().map(|state| &state.revision)) {
            return vec![];
        }
        let mut before = std::mem::take(&mut self.plan_states);
        let mut out = Vec::new();
        let limited_before =
            before.iter().any(|state| state.inactive_until.is_none() && revisions.contains(&state.revision));
        for planned in plans {
            let known = before.iter().position(|state| state.revision == revision_of(planned));
            if let Some(known) = known {
                self.plan_states.push(before.remove(known));
                continue;
            }
            let mut state = PlanState {
                revision: revision_of(planned),
                held: None,
                shares: BTreeMap::new(),
                inactive_until: None,
            };
            if let Some((revision, plan)) = planned {
                // Proxies may still act on grants of this plan from before it was dropped here, or from an earlier process.
                let since = self.dropped.get(revision).copied().unwrap_or(self.started_at);
                let mut held =
                    Held::new(now, run(), *revision, plan.clone()).clear_since(since).lingers(&self.lengths);
                let heard = [
                    Heard::Came(self.arrivals.clone()),
                    Heard::Capacity(self.capacity.clone()),
                    Heard::Chair { term: self.term },
                ];
                for heard in heard {
                    state.store(held.handle(now, heard), &mut out);
                }
                state.held = Some(held);
                state.inactive_until =
                    limited_before.then_some(now + self.lengths.longest() + GRANT_DELAY_MS);
            }
            self.plan_states.push(state);
        }
        for revision in before.iter().filter_map(|state| state.revision) {
            self.dropped.insert(revision, now);
        }
        while self.dropped.len() > MAX_DROPPED {
            self.dropped.pop_first();
        }
        // If all remaining plans are inactive, nothing else limits this controller, so they become active.
        if self.plan_states.iter().all(|state| state.inactive_until.is_some()) {
            self.plan_states.iter_mut().for_each(|state| state.inactive_until = None);
        }
        self.emit_limits(None, &mut out);
        out
    }

    /// Passes the input to all plans, except grants, which go to the plan that they name.
    pub fn handle(&mut self, now: f64, heard: &Heard) -> Vec<Out> {
        match heard {
            Heard::Came(arrivals) => self.arrivals.clone_from(arrivals),
            Heard::Capacity(capacity) => update_capacity(&mut self.capacity, capacity.clone()),
            Heard::Chair { term } => self.term = self.term.max(*term),
            _ => {}
        }
        let (mut out, mut pairs, mut all) = (Vec::new(), BTreeSet::new(), false);
        for state in &mut self.plan_states {
            let Some(held) = &mut state.held else { continue };
            let other =
                matches!(heard, Heard::From(Said::Dealt { plan, .. }) if Some(*plan) != state.revision);
            let heard = if other { Heard::Tick } else { heard.clone() };
            let outs = held.handle(now, heard);
            let granted = held.granted(now);
            pairs.extend(state.store(outs, &mut out));
            if state.inactive_until.is_some_and(|until| granted || now >= until) {
                state.inactive_until = None;
                all = true;
            }
        }
        self.emit_limits((!all).then_some(pairs), &mut out);
        out
    }

    /// The zones whose capacity is much lower than at the last update, with their new capacity.
    pub fn fallen(&self, capacity: &[(ZoneId, f64)]) -> Vec<(ZoneId, f64)> {
        capacity_drops(&self.capacity, capacity).collect()
    }

    /// Whether what this controller admits satisfies every plan. Until then only the old plan may be in force anywhere.
    pub fn ready(&self) -> bool {
        self.plan_states.iter().all(|state| state.inactive_until.is_none())
    }

    /// Rate that this controller may admit of the claims that own the pair, in txns per second; infinite if none does.
    pub fn may(&self, now: f64, zone: ZoneId, product: ClassId) -> f64 {
        let active = self.plan_states.iter().filter(|state| state.inactive_until.is_none());
        let of = |held: &Held| held.owner(zone, product).map_or(f64::INFINITY, |claim| held.may(now, claim));
        active.filter_map(|state| state.held.as_ref()).map(of).fold(f64::INFINITY, f64::min)
    }

    /// When the next report is due, or grants or a waiting time expire.
    pub fn due(&self) -> f64 {
        let due = |state: &PlanState| {
            let held = state.held.as_ref().map_or(f64::INFINITY, Held::due);
            state.inactive_until.map_or(held, |until| held.min(until))
        };
        self.plan_states.iter().map(due).fold(f64::INFINITY, f64::min)
    }

    /// Emits the limits that differ from those emitted last, for the given pairs or for all.
    fn emit_limits(&mut self, pairs: Option<BTreeSet<(ZoneId, ClassId)>>, out: &mut Vec<Out>) {
        let pairs = pairs.unwrap_or_else(|| {
            let plan_states = self.plan_states.iter().flat_map(|state| state.shares.keys());
            plan_states.chain(self.emitted.keys()).copied().collect()
        });
        for pair in pairs {
            let active = self.plan_states.iter().filter(|state| state.inactive_until.is_none());
            let share = active.filter_map(|state| state.shares.get(&pair)).copied().fold(1.0, f64::min);
            if self.emitted.insert(pair, share).unwrap_or(1.0) != share {
                out.push(Out::Bound(Bound { zone: pair.0, product: pair.1, share }));
            }
            if share >= 1.0 {
                self.emitted.remove(&pair);
            }
        }
    }
}

impl PlanState {
    /// Stores limits and passes on messages. Returns the pairs whose limit has changed.
    fn store(&mut self, outs: Vec<Out>, messages: &mut Vec<Out>) -> Vec<(ZoneId, ClassId)> {
        let mut pairs = Vec::new();
        for out in outs {
            match out {
                Out::Bound(Bound { zone, product, share }) => {
                    self.shares.insert((zone, product), share);
                    pairs.push((zone, product));
                }
                message => messages.push(message),
            }
        }
        pairs
    }
}
