//! The plan: how much of each request class each zone admits under the level in force, maximizing the value
//! within the capacities of the hosts. It is a linear program where classes may leave their zone; the
//! greedy rule beside it serves as a fallback and for comparison.

use std::collections::BTreeMap;

use amberarch_core::{ClassId, ZoneId};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome};

/// The arrivals of a request class in a zone, as input to the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Txns per second.
    pub rate: f64,
    /// Work of one txn, in the unit of the capacities.
    pub work: f64,
    pub value: f64,
    pub least: f64,
    pub most: f64,
    /// It is served only by hosts of its own zone.
    pub own_zone: bool,
}

pub type Demands = BTreeMap<(ZoneId, ClassId), Demand>;
/// Work per second that a zone's hosts can do; infinite where no limit was observed.
pub type Capacities = BTreeMap<ZoneId, f64>;
/// Admitted share, from 0 to 1, of each request class in each zone.
pub type Shares = BTreeMap<(ZoneId, ClassId), f64>;

/// Work that crosses zones counts for this fraction less, so that at equal value it stays in its zone, yet
/// is never shed for that.
const CROSS_ZONE_PENALTY: f64 = 0.01;
/// Work above the capacities, which arises when the level allows no less, costs this many times the highest
/// value density, so that it is planned only where there is no alternative.
const OVERLOAD_COST_FACTOR: f64 = 1_000.0;

/// The shares with the highest value. Where the level keeps more than the capacities can carry, each class
/// gets its minimum.
pub fn optimal_shares(demands: &Demands, capacities: &Capacities) -> Shares {
    solve(demands, capacities).unwrap_or_else(|| greedy_shares(demands, capacities))
}

fn solve(demands: &Demands, capacities: &Capacities) -> Option<Shares> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let density = |demand: &Demand| demand.value / demand.work.max(1e-9);
    let max_density = demands.values().map(density).fold(1e-9, f64::max);
    let mut zone_flows: BTreeMap<ZoneId, Vec<(microlp::Variable, f64)>> = BTreeMap::new();
    let mut flows: BTreeMap<(ZoneId, ClassId), Vec<microlp::Variable>> = BTreeMap::new();
    for ((zone, product), demand) in demands.iter().filter(|(_, demand)| demand.rate > 0.0) {
        // A flow is the work done in one zone for arrivals in another.
        let requested_work = demand.rate * demand.work;
        let mut class_flows = Vec::new();
        // The spare capacity of a zone that was never saturated is unknown, so no foreign work is planned
        // there.
        let can_serve = |serving_zone: &ZoneId, capacity: &f64| {
            serving_zone == zone || !demand.own_zone && capacity.is_finite()
        };
        for (serving_zone, _) in
            capacities.iter().filter(|(serving_zone, capacity)| can_serve(serving_zone, capacity))
        {
            let factor = if serving_zone == zone { 1.0 } else { 1.0 - CROSS_ZONE_PENALTY };
            let flow = problem.add_var(factor * density(demand), (0.0, demand.most * requested_work));
            zone_flows.entry(*serving_zone).or_default().push((flow, 1.0));
            class_flows.push(flow);
        }
        let terms = || class_flows.iter().map(|flow| (*flow, 1.0)).collect::<Vec<_>>();
        problem.add_constraint(terms(), ComparisonOp::Le, demand.most * requested_work);
        problem.add_constraint(terms(), ComparisonOp::Ge, demand.least * requested_work);
        flows.insert((*zone, *product), class_flows);
    }
    // A zone that was never saturated has no capacity constraint.
    for (zone, capacity) in capacities.iter().filter(|(_, capacity)| capacity.is_finite()) {
        let mut terms = zone_flows.remove(zone).unwrap_or_default();
        let excess = problem.add_var(-OVERLOAD_COST_FACTOR * max_density, (0.0, f64::INFINITY));
        terms.push((excess, -1.0));
        problem.add_constraint(terms, ComparisonOp::Le, *capacity);
    }
    let SolveOutcome::Solution(solution) = problem.solve().ok()? else { return None };
    let share = |(key, demand): (&(ZoneId, ClassId), &Demand)| {
        let served =
            flows.get(key).map(|class_flows| class_flows.iter().map(|flow| solution[*flow]).sum::<f64>());
        let share = served.map_or(demand.most, |served| served / (demand.rate * demand.work).max(1e-12));
        (*key, share.clamp(demand.least, demand.most))
    };
    Some(demands.iter().map(share).collect())
}

/// Sheds zone by zone, lowest value density first, each class down to its minimum share.
pub fn greedy_shares(demands: &Demands, capacities: &Capacities) -> Shares {
    let mut shares: Shares = demands.iter().map(|(key, demand)| (*key, demand.most)).collect();
    for (zone, capacity) in capacities {
        let mut zone_demands: Vec<(&(ZoneId, ClassId), &Demand)> =
            demands.iter().filter(|((origin, _), _)| origin == zone).collect();
        zone_demands.sort_by(|a, b| (a.1.value / a.1.work).total_cmp(&(b.1.value / b.1.work)));
        let mut excess = zone_demands.iter().map(|(_, d)| d.most * d.rate * d.work).sum::<f64>() - capacity;
        for (key, demand) in zone_demands {
            let work = demand.rate * demand.work;
            let cut = f64::min(excess, (demand.most - demand.least) * work).max(0.0);
            excess -= cut;
            shares.insert(*key, demand.most - cut / work.max(1e-12));
        }
    }
    shares
}

/// Value per second of the given shares. Work above the capacities earns nothing, and may move to another
/// zone if its class allows that.
pub fn total_value(demands: &Demands, shares: &Shares, capacities: &Capacities) -> f64 {
    // The highest value of these shares is that of the optimal plan with the shares as maxima and without
    // minima.
    let bounded: Demands = demands
        .iter()
        .map(|(key, demand)| {
            (*key, Demand { least: 0.0, most: shares.get(key).copied().unwrap_or(0.0), ..*demand })
        })
        .collect();
    let optimal = solve(&bounded, capacities).unwrap_or_default();
    bounded
        .iter()
        .map(|(key, demand)| demand.rate * demand.value * optimal.get(key).copied().unwrap_or(0.0))
        .sum()
}
