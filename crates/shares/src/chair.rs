//! The leader's side of grants. It takes the reports of controllers and answers each with its grants. All grants in force
//! together never exceed the capacity of the zones, whatever messages are lost or late and whichever controllers fail.
//!
//! - A grant counts as in force until its holder has acknowledged a later answer or the grant has expired by the slowest
//!   clock. Only then is its capacity granted again.
//! - A report is answered once a majority has confirmed this leader in a round that began after the report arrived. So
//!   all grants of a leader were issued before the next leader was elected.
//! - A new leader assumes that a controller may hold any grants until it has reported what it holds. So it grants no more
//!   than is held already until all controllers have reported, or until the longest grant has expired.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::asked::DemandTracker;
use crate::ledger::{run_id, Account, GrantSet, Ledger, Lengths};
use crate::pool::{raise_evenly, CapacityFlow, RELATIVE_TOLERANCE};
use crate::round::Round;
use crate::{Claim, Grant, Holder, Plan, Said, Seen, Tenant};

/// Minimum time between two rounds, ms: half the report interval of a controller.
const MIN_ROUND_INTERVAL_MS: f64 = 100.0;
/// Time between two rounds when nothing has changed, ms. These rounds serve the tenants that could not be reduced again yet.
const IDLE_ROUND_INTERVAL_MS: f64 = 1_000.0;

/// Inputs of the leader's side.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message from a holder.
    Heard {
        from: Holder,
        said: Said,
    },
    /// A majority has confirmed this leader in a round that began at `since`.
    Stood {
        since: f64,
    },
    /// The leader itself sees that the hosts of a zone can serve no more than this.
    Fell {
        zone: crate::Zone,
        per_s: f64,
    },
    /// The level of service in force, by its index; `None` is full service.
    Level(Option<usize>),
    /// The members. The grants of a member that was removed count until they expire.
    Holders(BTreeSet<Holder>),
    Tick,
}

/// Outputs of the leader's side.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Message to send to a holder.
    Send { to: Holder, said: Said },
    /// These tenants were reduced to their guarantee or their fair rate.
    Gave(Vec<Tenant>),
    /// Whether the capacity is below the guarantees; sent when that changes.
    Short(bool),
}

/// Issues the grants of one plan in one term of the leader.
pub struct Chair {
    term: u64,
    revision: u64,
    plan: Arc<Plan>,
    lengths: Lengths,
    holders: BTreeSet<Holder>,
    /// The holders whose grants from earlier leaders are known, and until when the others may hold any grants.
    reported: BTreeSet<Holder>,
    unknown_until: f64,
    /// By holder: the report that is not answered yet, and when it arrived.
    unanswered: BTreeMap<Holder, (u64, f64)>,
    /// By holder: the number of its latest report.
    latest: BTreeMap<Holder, u64>,
    ledger: Ledger,
    demand: DemandTracker,
    round: Round,
    /// By zone set: the fraction of the rates above the floors in the last round that has capacity.
    fraction_above_floors: Vec<f64>,
    last_round_at: f64,
    stable: bool,
    level: Option<usize>,
    shortage: bool,
    /// A later term is known: this leader issues no more grants.
    superseded: bool,
    #[cfg(feature = "seeded-bugs")]
    bug: Option<crate::Bug>,
}

impl Chair {
    /// Starts the leader of a term; `now` must not be before it was elected.
    pub fn new(
        now: f64,
        term: u64,
        revision: u64,
        plan: Arc<Plan>,
        holders: BTreeSet<Holder>,
        lengths: Lengths,
    ) -> Chair {
        Chair {
            term,
            revision,
            reported: BTreeSet::new(),
            unknown_until: now + lengths.longest(),
            unanswered: BTreeMap::new(),
            latest: BTreeMap::new(),
            ledger: Ledger::new(),
            demand: DemandTracker::new(&plan),
            round: Round::new(plan.clone()),
            fraction_above_floors: vec![],
            last_round_at: f64::NEG_INFINITY,
            stable: false,
            level: None,
            shortage: false,
            superseded: false,
            plan,
            lengths,
            holders,
            #[cfg(feature = "seeded-bugs")]
            bug: None,
        }
    }

    #[cfg(feature = "seeded-bugs")]
    /// Seeds a deliberate defect.
    pub fn with(mut self, bug: Option<crate::Bug>) -> Chair {
        self.bug = bug;
        self
    }

    /// Processes an input at `now`, in ms of the leader's clock.
    pub fn handle(&mut self, now: f64, input: Input) -> Vec<Output> {
        self.ledger.expire(now);
        match input {
            Input::Heard { from, said: Said::Seen(seen) } => return self.handle_report(now, from, &seen),
            Input::Heard { from, said: Said::Taken { round, term } } if term == self.term => {
                let run = run_id(round);
                self.ledger.retain(from, |set| run_id(set.round) != run || set.round >= round);
            }
            Input::Heard { .. } | Input::Tick => {}
            Input::Stood { since } => return self.handle_confirmation(now, since),
            Input::Fell { zone, per_s } => self.demand.limit_capacity(zone.0, per_s),
            Input::Level(level) => {
                self.demand.changed |= self.level != level;
                self.level = level;
            }
            Input::Holders(holders) => {
                self.demand.retain(|holder| holders.contains(holder));
                self.unanswered.retain(|holder, _| holders.contains(holder));
                self.holders = holders;
            }
        }
        vec![]
    }

    /// When the next grant expires.
    pub fn due(&self) -> f64 {
        self.ledger.earliest_expiry()
    }

    /// The allocated rate of each claim over all controllers, in txns per second.
    pub fn rates(&self) -> impl Iterator<Item = (Claim, f64)> + '_ {
        self.round.rates().iter().enumerate().map(|(claim, rate)| (Claim(claim as u32), *rate))
    }

    /// The fair rate by claim for the current demand, regardless of earlier rounds.
    pub fn fair(&mut self) -> Vec<f64> {
        let (demands, capacities) = (self.demand.demands(&self.plan), self.demand.capacities());
        self.round.fair(&demands, &capacities, self.level).to_vec()
    }

    /// Controllers that may still hold unknown grants of an earlier leader. No additional capacity is granted while there
    /// are any.
    pub fn unknown(&self, now: f64) -> Vec<Holder> {
        let unknown =
            self.holders.iter().filter(|holder| now < self.unknown_until && !self.reported.contains(holder));
        unknown.copied().collect()
    }

    /// By claim: the highest rate that may be in force, floors included.
    pub fn possible(&self) -> BTreeMap<Claim, f64> {
        let floor = |at: usize| self.plan.floor_fraction * self.plan.claims[at].guarantee;
        let mut possible: BTreeMap<Claim, f64> =
            (0..self.plan.claims.len()).map(|at| (Claim(at as u32), floor(at))).collect();
        for (claim, excess) in self.ledger.accounts.values().flat_map(|account| &account.max_in_force) {
            *possible.entry(Claim(*claim)).or_default() += excess;
        }
        possible
    }

    #[cfg(feature = "seeded-bugs")]
    fn has(&self, bug: crate::Bug) -> bool {
        self.bug == Some(bug)
    }

    /// Records a report. It is answered after the next confirmation by a majority.
    fn handle_report(&mut self, now: f64, from: Holder, seen: &Seen) -> Vec<Output> {
        self.superseded |= seen.term > self.term;
        if self.superseded || seen.term < self.term || !self.holders.contains(&from) {
            return vec![];
        }
        let run = run_id(seen.round);
        let outdated = self.latest.get(&from).is_some_and(|last| run_id(*last) == run && *last >= seen.round);
        if outdated || seen.plan != self.revision {
            return vec![];
        }
        self.latest.insert(from, seen.round);
        // From this report on the holder accepts no grants of earlier leaders, so what it reports is all that it holds. But
        // an earlier run may have left grants with proxies, which this run can't know.
        let runs_long_enough = seen.lived >= self.lengths.longest() * (1.0 + self.lengths.drift);
        #[cfg(feature = "seeded-bugs")]
        let runs_long_enough = runs_long_enough || self.has(crate::Bug::TrustsYoungRun);
        if now < self.unknown_until && !self.reported.contains(&from) && runs_long_enough {
            self.reported.insert(from);
            let mut excesses: BTreeMap<u32, f64> = BTreeMap::new();
            let mut rest: f64 = 0.0;
            for (grant, remaining) in &seen.held {
                let Some(claim) = self.plan.claim(grant.tenant, grant.zone) else { continue };
                let excess = (grant.per_s - self.plan.floor(claim)).max(0.0);
                let most = excesses.entry(claim.0).or_insert(0.0);
                *most = most.max(excess);
                rest = rest.max(*remaining);
            }
            // Sorts before all reports of this run.
            let (round, until) = (u64::from(run) << 32, now + self.lengths.with_margins(rest));
            let excesses = excesses.into_iter().collect();
            self.ledger.add(from, GrantSet { round, until, excesses });
        }
        let claim_rate = |of: &Grant| Some((self.plan.claim(of.tenant, of.zone)?.0, of.per_s.max(0.0)));
        let mut arrivals: Vec<(u32, f64)> = seen.demand.iter().filter_map(claim_rate).collect();
        // Holders list each claim once and in order, but a received message is not trusted to.
        arrivals.sort_by_key(|of| of.0);
        arrivals.dedup_by(|again, first| {
            let same = again.0 == first.0;
            first.1 += if same { again.1 } else { 0.0 };
            same
        });
        let capacities: Vec<(u16, f64)> =
            seen.capacity.iter().map(|(zone, per_s)| (zone.0, *per_s)).collect();
        self.demand.record_report(now, from, &arrivals, &capacities);
        self.unanswered.insert(from, (seen.round, now));
        #[cfg(feature = "seeded-bugs")]
        if self.has(crate::Bug::AnswersUnconfirmed) {
            return self.handle_confirmation(now, now + 1.0);
        }
        vec![]
    }

    /// Answers the reports that arrived before the confirmation's round began, after an allocation round if one is due.
    fn handle_confirmation(&mut self, now: f64, since: f64) -> Vec<Output> {
        if self.superseded {
            return vec![];
        }
        let answered: Vec<(Holder, u64)> = self
            .unanswered
            .iter()
            .filter(|(_, (_, arrived_at))| *arrived_at < since)
            .map(|(holder, (round, _))| (*holder, *round))
            .collect();
        let capacities = self.demand.capacities();
        let mut out = self.run_round(now, &capacities);
        if answered.is_empty() {
            return out;
        }
        let plan = self.plan.clone();
        let mut in_force = self.ledger.in_force(&plan);
        for claim in &plan.claims {
            in_force[claim.zone_set as usize] += plan.floor_fraction * claim.guarantee;
        }
        #[cfg(feature = "seeded-bugs")]
        if self.has(crate::Bug::GrantsBeforeRelease) {
            in_force.fill(0.0);
            let latest = self.ledger.accounts.values().filter_map(|account| account.sets.last());
            for (claim, excess) in latest.flat_map(|set| &set.excesses) {
                in_force[plan.claims[*claim as usize].zone_set as usize] += excess;
            }
            for claim in &plan.claims {
                in_force[claim.zone_set as usize] += plan.floor_fraction * claim.guarantee;
            }
        }
        let mut capacity_left = CapacityFlow::new(&plan.zone_sets, &capacities);
        for (zone_set, in_force) in in_force.iter().enumerate() {
            // After a drop in capacity more may be in force than fits; then nothing is left for other grants.
            let _ = capacity_left.route(zone_set, *in_force);
        }
        let may_grant_more =
            now >= self.unknown_until || self.holders.iter().all(|holder| self.reported.contains(holder));
        #[cfg(feature = "seeded-bugs")]
        let may_grant_more = may_grant_more || self.has(crate::Bug::ForgetsOldLeaders);
        for (holder, round) in answered {
            // There is nothing to renew and nothing may be granted yet. An empty answer would put the floors in force.
            let holds = self.ledger.accounts.get(&holder).is_some_and(Account::has_grants);
            if !may_grant_more && !holds {
                continue;
            }
            self.unanswered.remove(&holder);
            let said = self.answer(now, holder, round, may_grant_more.then_some(&mut capacity_left));
            out.push(Output::Send { to: holder, said });
        }
        out
    }

    /// By zone set, the fraction of the rates above the floors that has capacity in addition to the floors. Floors are
    /// admitted without a grant, even if their tenant is allocated less.
    fn fractions_above_floors(&self, capacities: &[f64]) -> Vec<f64> {
        let plan = &self.plan;
        let (mut floors, mut excesses) = (vec![0.0; plan.zone_sets.len()], vec![0.0; plan.zone_sets.len()]);
        for (claim, rate) in plan.claims.iter().zip(self.round.rates()) {
            let floor = plan.floor_fraction * claim.guarantee;
            floors[claim.zone_set as usize] += floor;
            excesses[claim.zone_set as usize] += (rate - floor).max(0.0);
        }
        let capacities: Vec<f64> =
            capacities.iter().map(|capacity| (1.0 + RELATIVE_TOLERANCE) * capacity).collect();
        let none = vec![0.0; floors.len()];
        let fit = raise_evenly(&plan.zone_sets, &capacities, &none, &floors);
        floors.iter_mut().zip(fit).for_each(|(floor, fit)| *floor *= fit.0);
        raise_evenly(&plan.zone_sets, &capacities, &floors, &excesses).into_iter().map(|fit| fit.0).collect()
    }

    /// Runs an allocation round if one is due.
    fn run_round(&mut self, now: f64, capacities: &[f64]) -> Vec<Output> {
        let plan = self.plan.clone();
        self.demand.expire_silent(now, &plan, self.lengths.longest());
        let interval =
            if self.demand.changed || !self.stable { MIN_ROUND_INTERVAL_MS } else { IDLE_ROUND_INTERVAL_MS };
        if now - self.last_round_at < interval {
            return vec![];
        }
        self.last_round_at = now;
        self.demand.changed = false;
        let demands = self.demand.demands(&plan);
        let dealt = self.round.deal(now, &demands, capacities, self.level);
        self.stable = dealt.changed.is_empty();
        self.fraction_above_floors = self.fractions_above_floors(capacities);
        let mut out = Vec::new();
        if !dealt.gave.is_empty() {
            out.push(Output::Gave(dealt.gave));
        }
        if std::mem::replace(&mut self.shortage, dealt.short) != dealt.short {
            out.push(Output::Short(dealt.short));
        }
        out
    }

    /// Answers a report with all grants of the holder. Reductions apply at once; increases are limited to the free capacity
    /// in `capacity_left`, and without it there are none.
    fn answer(
        &mut self,
        now: f64,
        holder: Holder,
        round: u64,
        mut capacity_left: Option<&mut CapacityFlow>,
    ) -> Said {
        let plan = self.plan.clone();
        let held_before = self.ledger.accounts.get(&holder).map(|account| account.max_of_run(run_id(round)));
        let mut held_before = held_before.unwrap_or_default().into_iter().peekable();
        let mut excesses: Vec<(u32, f64, f64)> = Vec::new();
        let mut increase = vec![0.0; plan.zone_sets.len()];
        for (claim, fraction) in self.demand.fractions(holder) {
            while held_before.next_if(|(other, _)| *other < claim).is_some() {}
            let current = held_before.next_if(|(other, _)| *other == claim).map_or(0.0, |(_, excess)| excess);
            let of = &plan.claims[claim as usize];
            let above_floor =
                (self.round.rates()[claim as usize] - plan.floor_fraction * of.guarantee).max(0.0);
            let target =
                fraction * above_floor * self.fraction_above_floors.get(of.zone_set as usize).unwrap_or(&0.0);
            let kept = target.min(current);
            excesses.push((claim, kept, target - kept));
            increase[of.zone_set as usize] += target - kept;
        }
        let fraction: Vec<f64> = increase
            .iter()
            .enumerate()
            .map(|(zone_set, increase)| match capacity_left.as_deref_mut() {
                Some(capacity_left) if *increase > 0.0 => match capacity_left.route(zone_set, *increase) {
                    Ok(()) => 1.0,
                    Err(cut) => (1.0 - cut.missing / increase).max(0.0),
                },
                _ => 0.0,
            })
            .collect();
        let excesses: Vec<(u32, f64)> = excesses
            .into_iter()
            .map(|(claim, kept, increase)| {
                (claim, kept + fraction[plan.claims[claim as usize].zone_set as usize] * increase)
            })
            .filter(|(_, excess)| *excess > 0.0)
            .collect();
        let grants = excesses
            .iter()
            .map(|(claim, excess)| {
                let of = plan.claims[*claim as usize];
                Grant { tenant: of.tenant, zone: of.zone, per_s: plan.floor(Claim(*claim)) + excess }
            })
            .collect();
        let until = now + self.lengths.longest();
        #[cfg(feature = "seeded-bugs")]
        let until =
            if self.has(crate::Bug::UsesHolderClock) { now + 0.8 * self.lengths.grant } else { until };
        self.ledger.add(holder, GrantSet { round, until, excesses });
        Said::Dealt { round, term: self.term, plan: self.revision, grants, lasts: self.lengths.grant }
    }
}
