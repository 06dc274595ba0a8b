//! Assigns proxies to tables of their trees, and decides which hosts of other zones join a zone's tables.

use super::*;

/// The joined proxies.
type Proxies = BTreeMap<ProxyId, Proxy>;
/// The fraction of its weight that a host of the second zone has in the first zone's tables of this reach.
pub type Spillover = BTreeMap<(ZoneId, Reach, ZoneId), f64>;

/// Hosts of other zones join where a zone's own hosts carry more than the average load of the fleet. All
/// demand goes to them where the zone has no open weight or is outside the reach. Crossing zones has a cost.
/// Fractions move in steps of a quarter that stay until the difference is large, so that small shifts cause
/// no orders. The steps are finer where little of a zone's own weight is open; otherwise rounding could give
/// the first restored cold hosts all of its demand.
pub fn update_spillover(
    fractions: &mut Spillover,
    rules: &ReachRules,
    (weights, demands): (&[f64], &[f64]),
    movable: f64,
) {
    let trees = rules.trees();
    let average_load = demands.iter().sum::<f64>() / weights.iter().sum::<f64>().max(1e-9);
    let spare: Vec<f64> = weights.iter().zip(demands).map(|(w, d)| (w * average_load - d).max(0.0)).collect();
    fractions.retain(|(home, tree, _), _| trees.contains(&(*home, *tree)));
    for (home, tree) in trees {
        let place = home.0 as usize;
        let weight = if tree.contains(home, home) { weights[place] } else { 0.0 };
        let spilled = f64::min(
            0.99,
            (demands[place] - weight * average_load).max(0.0) / (movable * demands[place]).max(1e-9),
        );
        let own_share = weight * weights.len() as f64 / weights.iter().sum::<f64>().max(1e-9);
        let step = 2f64.powf(own_share.clamp(0.01, 1.0).log2().ceil()) / 4.0;
        let reachable = |other: &usize| *other != place && tree.contains(home, ZoneId(*other as u16));
        let others: Vec<usize> = (0..weights.len()).filter(reachable).collect();
        let total_spare = others.iter().map(|other| spare[*other]).sum::<f64>().max(1e-9);
        for other in others {
            let flow = spilled * spare[other] / total_spare;
            let fraction_each = flow * weight / (1.0 - spilled) / weights[other].max(1e-9);
            let exact_fraction = if weight > 0.0 { fraction_each } else { 1.0 };
            let fraction = fractions.entry((home, tree, ZoneId(other as u16))).or_insert(0.0);
            let changes = (exact_fraction - *fraction).abs() > 0.8 * step;
            *fraction =
                if changes { f64::min(1.0, (exact_fraction / step).round() * step) } else { *fraction };
        }
    }
}

/// Assigns a zone's proxies to tables: each to the least loaded of the smallest tables for which its demand
/// is at most half an average table's share. A proxy keeps its table, since moves cost handshakes, until its
/// rate no longer fits or a move evens out more than `gain` of load.
pub fn assign_proxies(
    proxies: &mut Proxies,
    (zone, tree): (ZoneId, Reach),
    class_demands: &[&ClassDemand],
    open_weight: &[f64],
    gain: f64,
) {
    let (group_count, mut loads) = (open_weight.len() as u32, TableLoads::new(open_weight));
    let total = class_demands.iter().map(|demand| demand.total).sum::<f64>().max(1e-9);
    let in_zone = proxies.iter_mut().filter(|(_, proxy)| proxy.demand.zone == zone).enumerate();
    let demand_fraction = |index: usize| {
        class_demands.iter().map(|demand| demand.rates[index]).sum::<f64>().max(1e-3 * total) / total
    };
    let mut assignments: Vec<(f64, &mut Node)> = in_zone
        .map(|(index, (_, proxy))| (demand_fraction(index), proxy.nodes.entry(tree).or_insert(0)))
        .collect();
    assignments.sort_by(|a, b| b.0.total_cmp(&a.0));
    assignments
        .iter()
        .filter(|(_, node)| **node > 0)
        .for_each(|(fraction, node)| loads.assign(**node, *fraction));
    for (fraction, node) in assignments {
        let table_demand = fraction * f64::from(tables_at_level(*node));
        let too_small = tables_at_level(*node) < group_count && table_demand <= 0.125;
        let fits = (1..2 * group_count).contains(&*node) && (gain > 1.0 || table_demand <= 1.0 && !too_small);
        let mut sizes = (0..=group_count.ilog2()).map(|bits| group_count >> bits);
        let fitting = sizes.find(|size| fraction * f64::from(*size) <= 0.5).unwrap_or(1);
        let size = if fits { tables_at_level(*node) } else { fitting };
        let load = |node: &Node| loads.load_with(*node, fraction);
        let target = (size..2 * size).min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(1);
        if !fits || loads.load_with(*node, 0.0) > load(&target) + gain {
            loads.assign(*node, if *node > 0 { -fraction } else { 0.0 });
            *node = target;
            loads.assign(target, fraction);
        }
    }
}
