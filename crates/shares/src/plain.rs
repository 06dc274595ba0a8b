//! Slow reference implementation of the allocation in `fair`, for comparison: every level is found by bisection, and
//! every saturated set of zones by bisecting the total, each time from the start.

use crate::plan::Plan;
use crate::pool::CapacityFlow;

const BISECTION_STEPS: usize = 50;

fn bisect(mut low: f64, mut high: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(high) {
        return high;
    }
    for _ in 0..BISECTION_STEPS {
        let mid = (low + high) / 2.0;
        if fits(mid) {
            low = mid;
        } else {
            high = mid;
        }
    }
    low
}

fn totals(plan: &Plan, rates: &[f64]) -> Vec<f64> {
    let mut sums = vec![0.0; plan.zone_sets.len()];
    plan.claims.iter().zip(rates).for_each(|(claim, rate)| sums[claim.zone_set as usize] += rate);
    sums
}

/// Aggregates from the claims to the root: `own` applies each node's limit to the sum of its children.
fn aggregate(plan: &Plan, claims: &[f64], own: impl Fn(usize, f64) -> f64) -> Vec<f64> {
    let mut of = vec![0.0; plan.first_claim()];
    of.extend_from_slice(claims);
    for node in (0..plan.first_claim()).rev() {
        let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
        of[node] = own(node, of[begin..end].iter().sum());
    }
    of
}

/// By node: the limits between which a total is divided among its children.
struct Limits {
    least: Vec<f64>,
    floor: Vec<f64>,
    cap: Vec<f64>,
    weight: Vec<f64>,
}

/// Divides `total` from the root down to the claims: proportionally up to the floors, by weight above them.
fn divide(plan: &Plan, total: f64, of: &Limits) -> Vec<f64> {
    let mut rates = vec![0.0; plan.parent.len()];
    rates[0] = total;
    for node in 0..plan.first_claim() {
        let children = plan.children[node].0 as usize..plan.children[node].1 as usize;
        let sum = |of: &[f64]| of[children.clone()].iter().sum::<f64>();
        let (least, floor) = (sum(&of.least), sum(&of.floor));
        if rates[node] <= floor {
            let fraction =
                if floor > least { ((rates[node] - least) / (floor - least)).max(0.0) } else { 1.0 };
            children.for_each(|at| rates[at] = of.least[at] + fraction * (of.floor[at] - of.least[at]));
            continue;
        }
        let at = |level: f64, at: usize| (of.weight[at] * level).max(of.floor[at]).min(of.cap[at]);
        let highest = children.clone().map(|at| of.cap[at] / of.weight[at]).fold(0.0, f64::max);
        let level = bisect(0.0, highest, |level| {
            children.clone().map(|child| at(level, child)).sum::<f64>() <= rates[node]
        });
        children.for_each(|child| rates[child] = at(level, child));
    }
    rates.split_off(plan.first_claim())
}

/// Fair rate of each claim under full service, in txns per second.
pub fn plainly(plan: &Plan, demand: &[f64], capacity: &[f64]) -> Vec<f64> {
    let guaranteed = plan.guarantees(None);
    let settings = |claim: usize| &plan.settings[plan.parent[plan.first_claim() + claim] as usize];
    let guarantee_of = |claim: usize| plan.claims[claim].guarantee;
    let demanded = |claim: usize| {
        if settings(claim).lends {
            demand[claim]
        } else {
            demand[claim].max(guarantee_of(claim))
        }
    };
    let mut cap: Vec<f64> = (0..demand.len()).map(demanded).collect();
    let weight: Vec<f64> = cap.iter().map(|cap| cap.max(1e-12)).collect();
    let floor: Vec<f64> = cap.iter().enumerate().map(|(claim, cap)| cap.min(guarantee_of(claim))).collect();
    let fits =
        |rates: &[f64]| CapacityFlow::new(&plan.zone_sets, capacity).route_all(&totals(plan, rates)).is_ok();
    // Whether each zone set is saturated, that is, can't take a little more.
    let full = |rates: &[f64]| -> Vec<bool> {
        let more = |zone_set: usize| {
            let mut sums = totals(plan, rates);
            sums[zone_set] += 1e-6 * capacity.iter().sum::<f64>();
            CapacityFlow::new(&plan.zone_sets, capacity).route_all(&sums).is_err()
        };
        (0..plan.zone_sets.len()).map(more).collect()
    };
    let mut stopped: Vec<Option<f64>> = vec![None; plan.zone_sets.len()];
    let scaled = |stopped: &[Option<f64>], common: f64| -> Vec<f64> {
        let of = |claim: usize| stopped[plan.claims[claim].zone_set as usize].unwrap_or(common);
        (0..demand.len()).map(|claim| of(claim) * floor[claim]).collect()
    };
    loop {
        let common = bisect(0.0, 1.0, |common| fits(&scaled(&stopped, common)));
        let before = stopped.iter().flatten().count();
        if common < 1.0 {
            let full = full(&scaled(&stopped, common));
            let newly_stopped =
                stopped.iter_mut().zip(full).filter(|(stopped, full)| *full && stopped.is_none());
            newly_stopped.for_each(|(stopped, _)| *stopped = Some(common));
        }
        if common >= 1.0 || stopped.iter().flatten().count() == before {
            break;
        }
    }
    let mut rates = scaled(&stopped, 1.0);
    let mut stopped: Vec<bool> = stopped.iter().map(Option::is_some).collect();
    loop {
        let is_stopped = |claim: usize| stopped[plan.claims[claim].zone_set as usize];
        (0..demand.len()).filter(|claim| is_stopped(*claim)).for_each(|claim| cap[claim] = rates[claim]);
        let limit = |node: usize, sum: f64| {
            let settings = &plan.settings[node];
            sum.min(if settings.borrows { settings.ceiling } else { settings.ceiling.min(guaranteed[node]) })
        };
        let caps = aggregate(plan, &cap, limit);
        let floors = aggregate(plan, &rates, |node, sum| sum.max(guaranteed[node].min(caps[node])));
        let mut weights: Vec<f64> = plan.settings.iter().map(|settings| settings.weight).collect();
        weights.extend_from_slice(&weight);
        let least = aggregate(plan, &rates, |_, sum| sum);
        let limits = Limits { least, floor: floors, cap: caps, weight: weights };
        let total = bisect(limits.least[0], limits.cap[0], |total| fits(&divide(plan, total, &limits)));
        rates = divide(plan, total, &limits);
        let before = stopped.iter().filter(|stopped| **stopped).count();
        if total < limits.cap[0] {
            let full = full(&rates);
            stopped.iter_mut().zip(full).for_each(|(stopped, full)| *stopped |= full);
        }
        if total >= limits.cap[0] || stopped.iter().filter(|stopped| **stopped).count() == before {
            return rates;
        }
    }
}
