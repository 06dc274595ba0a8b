//! The controller's side of grants: it reports its demand and the grants it holds, applies the grants issued by the
//! leader, and limits each request class (`product`) in each zone so that no more is admitted than granted.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use amberarch_core::{ClassId, ZoneId};

use crate::{Bound, Claim, Grant, Plan, Said, Seen, Zone};

/// Interval between reports, ms: five reports within the second in which traffic reports arrive.
pub(crate) const REPORT_INTERVAL_MS: f64 = 200.0;
/// A zone whose capacity drops below this fraction of its last value is reported at once. In a zone of a few hosts that is
/// less than the loss of one host.
const CAPACITY_DROP_RATIO: f64 = 0.8;
/// Admitted shares are rounded down to these steps, the finer one for small shares. A share is only raised if it exceeds
/// the next step by `RAISE_MARGIN`.
const SHARE_STEP: f64 = 0.05;
const FINE_SHARE_STEP: f64 = 0.01;
const RAISE_MARGIN: f64 = 0.02;
/// Shares are computed from the arrival rate smoothed over about five traffic reports. A report above `BURST_RATIO` times
/// the smoothed rate replaces it at once.
const SMOOTHING: f64 = 0.2;
const BURST_RATIO: f64 = 1.5;
/// A burst must also exceed the smoothed rate by this many standard deviations. With a few txns per second, one report in
/// four is half again as high by chance. Treated as bursts, these led to shares of more than what arrives: a guarantee of
/// 8 per second admitted only 6.
const BURST_MIN_DEVIATIONS: f64 = 4.0;

/// Inputs of the controller's side.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Recent arrival rates in txns per second, admitted or not, by the zone whose proxies received them and by request
    /// class (`product`). Pairs that are not listed had no arrivals.
    Came(Vec<(ZoneId, ClassId, f64)>),
    /// Rate that the open hosts of each zone can serve, in txns per second.
    Capacity(Vec<(ZoneId, f64)>),
    /// The consensus leader of that term is known; reports go to it.
    Chair {
        term: u64,
    },
    /// A message from the leader.
    From(Said),
    Tick,
}

/// Outputs of the controller's side.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Message to send to the leader.
    Say(Said),
    /// Limit to enforce from now on.
    Bound(Bound),
}

/// The grants of one answer that this controller has applied.
#[derive(Clone, Debug)]
struct AppliedGrants {
    term: u64,
    round: u64,
    until: f64,
    rates: BTreeMap<Claim, f64>,
}

/// The grants that one controller holds under one plan.
pub struct Held {
    started_at: f64,
    /// Number of the last report: the run in the upper 32 bits, a count in the lower.
    round: u64,
    term: u64,
    revision: u64,
    plan: Arc<Plan>,
    /// By claim, the request classes that it limits.
    products: Vec<Vec<ClassId>>,
    /// Recent reports: the number, when it was sent, and in which term.
    reports: VecDeque<(u64, f64, u64)>,
    applied: Option<AppliedGrants>,
    /// The grants that expired last, and for how long proxies may still act on them, ms.
    expired: Option<AppliedGrants>,
    linger_ms: f64,
    /// By claim: the last arrival rates, and the smoothed rates from which shares are computed.
    arrivals: BTreeMap<Claim, f64>,
    smoothed: BTreeMap<Claim, f64>,
    capacity: Vec<(ZoneId, f64)>,
    /// The shares that were emitted last. A pair that is not listed is admitted in full.
    emitted: BTreeMap<(ZoneId, ClassId), f64>,
    next_report_at: f64,
    #[cfg(feature = "seeded-bugs")]
    bug: Option<crate::Bug>,
}

/// The zones whose capacity dropped below `CAPACITY_DROP_RATIO` of what it was, with their new capacity.
pub(crate) fn capacity_drops<'a>(
    before: &'a [(ZoneId, f64)],
    now: &'a [(ZoneId, f64)],
) -> impl Iterator<Item = (ZoneId, f64)> + 'a {
    let capacity_of = |zone: ZoneId| now.iter().find(|of| of.0 == zone).map_or(0.0, |of| of.1);
    let changes = before.iter().map(move |(zone, before)| (*zone, *before, capacity_of(*zone)));
    changes.filter(|(_, before, now)| *now < CAPACITY_DROP_RATIO * before).map(|(zone, _, now)| (zone, now))
}

/// Replaces the known capacities. A zone that is no longer listed has lost all its hosts and gets 0.
pub(crate) fn update_capacity(known: &mut Vec<(ZoneId, f64)>, now: Vec<(ZoneId, f64)>) {
    let lost = known.iter().filter(|(zone, _)| now.iter().all(|of| of.0 != *zone));
    let lost: Vec<(ZoneId, f64)> = lost.map(|(zone, _)| (*zone, 0.0)).collect();
    *known = now;
    known.extend(lost);
}

/// Rounds a share to steps, given the share that was emitted last.
fn stepped_share(emitted: f64, share: f64) -> f64 {
    let round_down = |share: f64| {
        let step = if share < 4.0 * SHARE_STEP { FINE_SHARE_STEP } else { SHARE_STEP };
        // Rounded to hundredths, so that equal shares compare as equal.
        ((share / step + 1e-9).floor() * step * 100.0).round() / 100.0
    };
    let share = share.max(0.0);
    if share < emitted {
        return round_down(share);
    }
    round_down((share - RAISE_MARGIN.min(0.1 * share)).min(1.0)).max(emitted)
}

impl Held {
    /// `run` is a random number drawn at the start, so that two runs of a controller have different ones.
    pub fn new(now: f64, run: u32, revision: u64, plan: Arc<Plan>) -> Held {
        let mut held = Held {
            started_at: now,
            round: u64::from(run) << 32,
            term: 0,
            revision,
            products: vec![],
            plan,
            reports: VecDeque::new(),
            applied: None,
            expired: None,
            linger_ms: 0.0,
            arrivals: BTreeMap::new(),
            smoothed: BTreeMap::new(),
            capacity: vec![],
            emitted: BTreeMap::new(),
            next_report_at: now,
            #[cfg(feature = "seeded-bugs")]
            bug: None,
        };
        held.products = held.products_by_claim();
        held
    }

    #[cfg(feature = "seeded-bugs")]
    /// Seeds a deliberate defect.
    pub fn with(mut self, bug: Option<crate::Bug>) -> Held {
        self.bug = bug;
        self
    }

    /// Sets the time since which no earlier run can have left grants of this plan with proxies. The default is the start.
    pub fn clear_since(mut self, since: f64) -> Held {
        self.started_at = since;
        self
    }

    /// Sets how long after the expiry of a grant the last proxy may still act on it. Until then the grant is reported as
    /// held, so that a new leader that did not issue it does not grant the same capacity to others.
    pub fn lingers(mut self, lengths: &crate::Lengths) -> Held {
        self.linger_ms = lengths.slack * (1.0 + lengths.drift);
        self
    }

    fn products_by_claim(&self) -> Vec<Vec<ClassId>> {
        let mut products = vec![vec![]; self.plan.claims.len()];
        self.plan.owned().for_each(|(_, product, claim)| products[claim.0 as usize].push(product));
        products
    }

    /// Processes an input at `now`, in ms of the controller's clock.
    pub fn handle(&mut self, now: f64, heard: Heard) -> Vec<Out> {
        let mut out = Vec::new();
        match heard {
            Heard::Came(arrivals) => {
                let mut current: BTreeMap<Claim, f64> = BTreeMap::new();
                for (zone, product, per_s) in arrivals {
                    if let Some(claim) = self.plan.owner(zone, product).filter(|_| per_s > 0.0) {
                        *current.entry(claim).or_insert(0.0) += per_s;
                    }
                }
                self.smoothed.retain(|claim, _| current.contains_key(claim));
                for (claim, arrivals) in &current {
                    let smoothed = self.smoothed.entry(*claim).or_insert(*arrivals);
                    // A burst is limited at once; random fluctuation is smoothed.
                    let burst =
                        (BURST_RATIO * *smoothed).max(*smoothed + BURST_MIN_DEVIATIONS * smoothed.sqrt());
                    *smoothed = if *arrivals > burst {
                        *arrivals
                    } else {
                        *smoothed + SMOOTHING * (arrivals - *smoothed)
                    };
                }
                self.arrivals = current;
            }
            Heard::Capacity(capacity) => {
                // A drop is reported at once: until then the leader issues grants for capacity that no longer exists.
                if capacity_drops(&self.capacity, &capacity).next().is_some() {
                    self.next_report_at = now;
                }
                update_capacity(&mut self.capacity, capacity);
            }
            Heard::Chair { term } if term > self.term => {
                self.term = term;
                self.next_report_at = now;
            }
            Heard::Chair { .. } | Heard::Tick => {}
            Heard::From(Said::Dealt { round, term, plan, grants, lasts }) => {
                out.extend(self.apply_grants(now, (round, term, plan), &grants, lasts));
            }
            Heard::From(_) => {}
        }
        let in_force = self.applied.as_ref().is_some_and(|applied| applied.until > now);
        #[cfg(feature = "seeded-bugs")]
        let in_force = in_force || self.bug == Some(crate::Bug::KeepsExpiredGrants);
        if !in_force && self.applied.is_some() {
            self.expired = self.applied.take();
        }
        if now >= self.next_report_at && self.term > 0 {
            self.next_report_at = now + REPORT_INTERVAL_MS;
            out.push(Out::Say(Said::Seen(self.report(now))));
        }
        self.emit_limits(&mut out);
        out
    }

    /// When the next report is due or its grants expire.
    pub fn due(&self) -> f64 {
        let next = if self.term > 0 { self.next_report_at } else { f64::INFINITY };
        self.applied.as_ref().map_or(next, |applied| next.min(applied.until))
    }

    /// When its grants expire.
    pub fn due_of_grants(&self) -> Option<f64> {
        self.applied.as_ref().map(|applied| applied.until)
    }

    /// The claim that owns the pair in its plan.
    pub fn owner(&self, zone: ZoneId, product: ClassId) -> Option<Claim> {
        self.plan.owner(zone, product)
    }

    /// Rate of a claim that it may admit now, in txns per second.
    pub fn may(&self, now: f64, claim: Claim) -> f64 {
        let applied = self.applied.as_ref().filter(|applied| applied.until > now);
        #[cfg(feature = "seeded-bugs")]
        let applied = match self.bug {
            Some(crate::Bug::KeepsExpiredGrants) => self.applied.as_ref(),
            _ => applied,
        };
        let granted = applied.and_then(|applied| applied.rates.get(&claim)).copied().unwrap_or(0.0);
        granted.max(self.plan.floor(claim))
    }

    /// Whether grants are in force here; without them only the floors are admitted.
    pub fn granted(&self, now: f64) -> bool {
        self.applied.as_ref().is_some_and(|applied| applied.until > now)
    }

    /// Applies the grants of an answer and acknowledges them, unless the answer is outdated, has expired, or belongs to
    /// another leader or plan.
    fn apply_grants(
        &mut self,
        now: f64,
        answer: (u64, u64, u64),
        grants: &[Grant],
        lasts: f64,
    ) -> Option<Out> {
        let (round, term, plan) = answer;
        let &(_, sent_at, sent_in_term) = self.reports.iter().find(|report| report.0 == round)?;
        // The answer must come from the leader that the report was sent to, and that must be the current one.
        let fits = term == sent_in_term && term == self.term;
        #[cfg(feature = "seeded-bugs")]
        let fits = fits || self.bug == Some(crate::Bug::AcceptsOldTerms);
        let newer = self.applied.as_ref().is_none_or(|applied| (term, round) > (applied.term, applied.round));
        #[cfg(feature = "seeded-bugs")]
        let newer = newer || self.bug == Some(crate::Bug::AcceptsOldRounds);
        let until = sent_at + lasts;
        if !fits || !newer || plan != self.revision || until <= now {
            return None;
        }
        let claim = |grant: &Grant| Some((self.plan.claim(grant.tenant, grant.zone)?, grant.per_s));
        self.expired = None;
        self.applied =
            Some(AppliedGrants { term, round, until, rates: grants.iter().filter_map(claim).collect() });
        Some(Out::Say(Said::Taken { round, term }))
    }

    /// Makes the next report.
    fn report(&mut self, now: f64) -> Seen {
        self.round += 1;
        // Grants that answer older reports than these have expired.
        if self.reports.len() >= 256 {
            self.reports.pop_front();
        }
        self.reports.push_back((self.round, now, self.term));
        let grant = |(claim, per_s): (&Claim, &f64)| Grant {
            tenant: self.plan.tenant(*claim),
            zone: self.plan.zone(*claim),
            per_s: *per_s,
        };
        let lingering = self.expired.iter().filter(|expired| now < expired.until + self.linger_ms);
        let held = self.applied.iter().chain(lingering).flat_map(|applied| {
            let rest = (applied.until - now).max(0.0);
            applied.rates.iter().map(move |of| (grant(of), rest))
        });
        Seen {
            round: self.round,
            term: self.term,
            plan: self.revision,
            lived: now - self.started_at,
            demand: self.arrivals.iter().map(grant).collect(),
            capacity: self.capacity.iter().map(|(zone, per_s)| (Zone::from(*zone), *per_s)).collect(),
            held: held.collect(),
        }
    }

    /// Emits the limits that differ from those emitted last.
    fn emit_limits(&mut self, out: &mut Vec<Out>) {
        for (claim, arrivals) in &self.smoothed {
            let granted =
                self.applied.as_ref().and_then(|applied| applied.rates.get(claim)).copied().unwrap_or(0.0);
            let share = granted.max(self.plan.floor(*claim)) / arrivals.max(1e-9);
            let zone = ZoneId(self.plan.zone(*claim).0);
            for product in &self.products[claim.0 as usize] {
                let emitted = self.emitted.get(&(zone, *product)).copied().unwrap_or(1.0);
                let next = stepped_share(emitted, share);
                if next != emitted {
                    self.emitted.insert((zone, *product), next);
                    out.push(Out::Bound(Bound { zone, product: *product, share: next }));
                }
            }
        }
    }
}
