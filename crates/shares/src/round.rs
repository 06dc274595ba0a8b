//! One allocation round: computes the rate of each claim from demand and capacity. It keeps the rates of the previous
//! round where they are still close to fair, so that demand that fluctuates slightly changes no grants.

use std::sync::Arc;

use crate::fair::{Allocator, Component};
use crate::plan::Plan;
use crate::pool::{CapacityFlow, RELATIVE_TOLERANCE};
use crate::{Claim, Tenant};

/// A rate that is below the fair rate by less than this fraction is kept. It is well below the 1 % by which an allocation
/// may differ from the fair one, and well above the fluctuation of one-second traffic reports once demands are held in
/// bands.
const KEEP_BAND: f64 = 0.004;

/// Result of a round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dealt {
    /// Claims whose rate has changed.
    pub changed: Vec<Claim>,
    /// Tenants whose rate was reduced because they had borrowed capacity or more than their fair rate.
    pub gave: Vec<Tenant>,
    /// Whether some guarantee could not be met in full because capacity is missing.
    pub short: bool,
}

/// The allocation of a plan and its state from round to round.
#[derive(Clone, Debug)]
pub struct Round {
    plan: Arc<Plan>,
    allocator: Allocator,
    /// By claim: its allocated rate.
    rates: Vec<f64>,
    /// By tenant: when it was last reduced in favour of others.
    reduced_at: Vec<f64>,
    /// By claim: the part of its fair rate that is guaranteed.
    guaranteed_part: Vec<f64>,
    started: bool,
}

/// Why a claim needs more than it has.
#[derive(Clone, Copy, PartialEq)]
enum Need {
    None,
    /// It is below its fair rate.
    Fair,
    /// It is below its guarantee.
    Guarantee,
}

impl Round {
    pub fn new(plan: Arc<Plan>) -> Round {
        let (claims, tenants) = (plan.claims.len(), plan.tenants());
        Round {
            allocator: Allocator::new(&plan),
            rates: vec![0.0; claims],
            reduced_at: vec![f64::NEG_INFINITY; tenants],
            guaranteed_part: vec![0.0; claims],
            started: false,
            plan,
        }
    }

    /// The allocated rate by claim, in txns per second.
    pub fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// The fair rate by claim, regardless of earlier rounds. `demand` is by claim, `capacity` by zone, in txns per second.
    pub fn fair(&mut self, demand: &[f64], capacity: &[f64], level: Option<usize>) -> &[f64] {
        let guaranteed = self.plan.guarantees(level);
        self.allocator.allocate(&self.plan, demand, &guaranteed, capacity)
    }

    /// Runs a round. `demand` is by claim, `capacity` by zone, in txns per second; `level` is the level of service in
    /// force, if any.
    pub fn deal(&mut self, now: f64, demand: &[f64], capacity: &[f64], level: Option<usize>) -> Dealt {
        let plan = self.plan.clone();
        let guaranteed = plan.guarantees(level);
        let fair = &self.allocator.allocate(&plan, demand, &guaranteed, capacity).to_vec();
        let guaranteed_part = guaranteed_part(&plan, &guaranteed, fair);
        let tolerance = 1e-9 * fair.iter().sum::<f64>().max(1.0);
        let short = {
            let first = plan.first_claim();
            let is_met = |node: usize| {
                let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
                let claims = begin - first..end - first;
                let demanded: f64 = demand[claims.clone()].iter().sum();
                fair[claims].iter().sum::<f64>() >= guaranteed[node].min(demanded) * (1.0 - 1e-6) - tolerance
            };
            !(1..first).filter(|node| plan.children[*node].0 as usize >= first).all(is_met)
        };
        let mut next = Vec::with_capacity(fair.len());
        let mut needs = vec![Need::None; fair.len()];
        for (claim, &fair) in fair.iter().enumerate() {
            let before = self.rates[claim];
            let lends = plan.settings[plan.parent[plan.first_claim() + claim] as usize].lends;
            // A claim does not keep more than its demand, unless its tenant does not lend.
            let kept = if lends { before.min(demand[claim]) } else { before };
            let low = kept < fair * (1.0 - KEEP_BAND) - tolerance
                || kept < guaranteed_part[claim] * (1.0 - 1e-6) - tolerance;
            let below_guarantee = kept < guaranteed_part[claim] * (1.0 - 1e-6) - tolerance;
            if low {
                needs[claim] = if below_guarantee { Need::Guarantee } else { Need::Fair };
            }
            // Guarantees are restored first, and only for them do others have to give up capacity at once.
            next.push(match below_guarantee {
                _ if !self.started => fair,
                true => guaranteed_part[claim],
                false if low => fair,
                false => kept,
            });
        }
        let mut gave = Vec::new();
        if self.started {
            let state = Reduction {
                plan: &plan,
                components: &self.allocator.components,
                now,
                tolerance,
                guaranteed: &guaranteed,
                fair,
                guaranteed_part: &guaranteed_part,
                before: &self.rates,
                needs: &needs,
                reduced_at: &mut self.reduced_at,
                gave: &mut gave,
            };
            state.apply(&mut next, capacity);
        }
        let differs = |claim: &usize| (next[*claim] - self.rates[*claim]).abs() > tolerance;
        let changed = (0..next.len()).filter(differs).map(|claim| Claim(claim as u32)).collect();
        self.rates = next;
        self.guaranteed_part = guaranteed_part;
        self.started = true;
        Dealt { changed, gave, short }
    }

    /// Rate of the claim beyond its guarantee, in txns per second.
    pub fn borrowed(&self, claim: Claim) -> f64 {
        (self.rates[claim.0 as usize] - self.guaranteed_part[claim.0 as usize]).max(0.0)
    }
}

/// By claim, the part of its fair rate that is guaranteed by its tenant or by one of the tenant's ancestors, whichever is
/// highest.
fn guaranteed_part(plan: &Plan, guaranteed: &[f64], fair: &[f64]) -> Vec<f64> {
    let first = plan.first_claim();
    let mut sums = vec![0.0; first];
    for node in (0..first).rev() {
        let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
        sums[node] = match begin >= first {
            true => fair[begin - first..end - first].iter().sum(),
            false => sums[begin..end].iter().sum(),
        };
    }
    let mut fraction = vec![0.0; first];
    for node in 1..first {
        let own = if sums[node] > guaranteed[node] { guaranteed[node] / sums[node] } else { 1.0 };
        fraction[node] = f64::max(own, fraction[plan.parent[node] as usize]);
    }
    fair.iter()
        .enumerate()
        .map(|(claim, fair)| fraction[plan.parent[first + claim] as usize] * fair)
        .collect()
}

/// Decides which claims are reduced, and by how much, so that the new rates fit.
struct Reduction<'a> {
    plan: &'a Plan,
    components: &'a [Component],
    now: f64,
    /// Amounts up to this count as rounding errors.
    tolerance: f64,
    guaranteed: &'a [f64],
    fair: &'a [f64],
    guaranteed_part: &'a [f64],
    before: &'a [f64],
    needs: &'a [Need],
    reduced_at: &'a mut [f64],
    gave: &'a mut Vec<Tenant>,
}

impl Reduction<'_> {
    fn apply(mut self, next: &mut [f64], capacity: &[f64]) {
        let plan = self.plan;
        let first = plan.first_claim();
        // Ceilings first: an excess over a ceiling is removed among the claims below that node.
        let mut sums = vec![0.0; first];
        for node in (1..first).rev() {
            let settings = &plan.settings[node];
            let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
            sums[node] = match begin >= first {
                true => next[begin - first..end - first].iter().sum(),
                false => sums[begin..end].iter().sum(),
            };
            let most =
                if settings.borrows { settings.ceiling } else { settings.ceiling.min(self.guaranteed[node]) };
            if sums[node] > most {
                let over = sums[node] - most;
                self.free_capacity(next, &claims_below(plan, node), over);
                sums[node] = most;
            }
        }
        // Then the zones, by component. Each iteration makes one overloaded set of zones fit. Capacity is increased by the
        // tolerance, so that rounding errors do not hide another set.
        let widened: Vec<f64> =
            capacity.iter().map(|capacity| (1.0 + RELATIVE_TOLERANCE) * capacity).collect();
        for component in self.components {
            let mut fits = false;
            // A large set may be found before a smaller one that it contains, so more iterations than zone sets are allowed.
            for _ in 0..4 * (component.zone_sets.len() + 1) {
                let sums = component.sums(next);
                let Err(cut) = CapacityFlow::new(&component.zone_sets, &widened).route_all(&sums) else {
                    fits = true;
                    break;
                };
                let over = cut.zone_sets.iter().map(|zone_set| sums[*zone_set]).sum::<f64>()
                    - cut.capacity / (1.0 + RELATIVE_TOLERANCE);
                let claims = component
                    .claims
                    .iter()
                    .zip(&component.zone_set)
                    .filter(|(_, zone_set)| cut.zone_sets.contains(zone_set));
                let claims: Vec<usize> = claims.map(|(claim, _)| *claim).collect();
                if over <= 2.0 * self.tolerance {
                    fits = true;
                    break;
                }
                self.free_capacity(next, &claims, over);
            }
            if !fits {
                // All of these cuts were rounding errors. The fair rates fit, so they are used.
                for &claim in &component.claims {
                    if next[claim] > self.fair[claim] + self.tolerance {
                        self.record_reduction(claim);
                    }
                    next[claim] = self.fair[claim];
                }
            }
        }
    }

    /// Reduces those claims by `over` in total. For guarantees others are reduced at once, down to their own guarantees.
    /// For fairness, claims whose tenant was reduced recently are not reduced again yet.
    fn free_capacity(&mut self, next: &mut [f64], among: &[usize], over: f64) {
        let tolerance = self.tolerance;
        if over <= tolerance {
            return;
        }
        let increases: Vec<usize> =
            among.iter().copied().filter(|claim| self.needs[*claim] == Need::Fair).collect();
        // A tenant that was reduced recently does not take capacity from others yet; it gets only what is free.
        let (recently_reduced, others): (Vec<usize>, Vec<usize>) =
            increases.into_iter().partition(|claim| self.recently_reduced(*claim));
        let over = self.defer_increases(next, &recently_reduced, over);
        // Increases for fairness alone can wait too, so they are not part of what must be reclaimed now.
        let increase: f64 = others.iter().map(|claim| (next[*claim] - self.before[*claim]).max(0.0)).sum();
        let increase = increase.min(over);
        let must = over - increase;
        let mut left = must;
        if must > tolerance {
            left = self.reclaim(next, among, left, DownTo::Guarantee, Recent::Skip);
            left = self.reclaim(next, among, left, DownTo::Guarantee, Recent::Include);
        }
        let mut left = left.max(0.0) + increase;
        left = self.reclaim(next, among, left, DownTo::Fair, Recent::Skip);
        if left <= tolerance {
            return;
        }
        // Not enough capacity is free yet for all increases, so they share what is.
        left = self.defer_increases(next, &others, left);
        if left > tolerance {
            // The capacity does not cover all guarantees, so no claim keeps more than its fair rate.
            for claim in among.iter().copied() {
                if next[claim] > self.fair[claim] {
                    next[claim] = self.fair[claim];
                    self.record_reduction(claim);
                }
            }
        }
    }

    fn recently_reduced(&self, claim: usize) -> bool {
        let reduced_at = self.reduced_at[self.plan.claims[claim].tenant.0 as usize];
        self.now - reduced_at < self.plan.min_reduction_interval
    }

    /// Reduces the increases of these claims by `over` in total, all by the same fraction. Returns what remains of `over`.
    fn defer_increases(&self, next: &mut [f64], increases: &[usize], over: f64) -> f64 {
        let rise = |claim: usize, next: &[f64]| (next[claim] - self.before[claim]).max(0.0);
        let increase: f64 = increases.iter().map(|claim| rise(*claim, next)).sum();
        if increase <= 0.0 {
            return over;
        }
        let fraction = (over / increase).clamp(0.0, 1.0);
        increases.iter().for_each(|claim| next[*claim] -= fraction * rise(*claim, next));
        over - fraction * increase
    }

    /// Reduces as few claims as possible: by the configured order, then those with the most to spare. Returns what remains
    /// of `left`.
    fn reclaim(
        &mut self,
        next: &mut [f64],
        among: &[usize],
        mut left: f64,
        down: DownTo,
        recent: Recent,
    ) -> f64 {
        let tolerance = self.tolerance;
        if left <= tolerance {
            return left;
        }
        let mut candidates: Vec<(u32, f64, usize)> = Vec::new();
        for claim in among.iter().copied().filter(|claim| self.needs[*claim] == Need::None) {
            let to = match down {
                DownTo::Guarantee => self.guaranteed_part[claim],
                DownTo::Fair => self.fair[claim],
            };
            let spare = next[claim] - to;
            let tenant = self.plan.claims[claim].tenant;
            // A tenant that is already reduced in this round may be reduced further.
            let now = self.reduced_at[tenant.0 as usize] == self.now;
            let skipped = recent == Recent::Skip && !now && self.recently_reduced(claim);
            if spare > tolerance && !skipped {
                let order =
                    self.plan.settings[self.plan.parent[self.plan.first_claim() + claim] as usize].gives_way;
                candidates.push((order, spare, claim));
            }
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, spare, claim) in candidates {
            if left <= tolerance {
                break;
            }
            let reclaimed = spare.min(left);
            next[claim] -= reclaimed;
            left -= reclaimed;
            self.record_reduction(claim);
        }
        left
    }

    fn record_reduction(&mut self, claim: usize) {
        let tenant = self.plan.claims[claim].tenant;
        if std::mem::replace(&mut self.reduced_at[tenant.0 as usize], self.now) != self.now {
            self.gave.push(tenant);
        }
    }
}

/// The rate down to which a claim may be reduced.
#[derive(Clone, Copy, PartialEq)]
enum DownTo {
    Guarantee,
    Fair,
}

/// Whether tenants that were reduced recently may be reduced again.
#[derive(Clone, Copy, PartialEq)]
enum Recent {
    Skip,
    /// For guarantees that can't be met otherwise.
    Include,
}

/// The claims below a node.
fn claims_below(plan: &Plan, node: usize) -> Vec<usize> {
    let first = plan.first_claim();
    let (mut pending, mut found) = (vec![node], Vec::new());
    while let Some(at) = pending.pop() {
        if at >= first {
            found.push(at - first);
        } else {
            pending.extend((plan.children[at].0 as usize..plan.children[at].1 as usize).rev());
        }
    }
    found
}
