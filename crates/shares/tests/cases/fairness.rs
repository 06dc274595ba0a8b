use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// A tenant with one claim, directly under the root.
#[derive(Clone, Debug)]
pub struct One {
    pub reach: u8,
    pub demand: f64,
    pub weight: f64,
    pub guarantee: f64,
    pub ceiling: f64,
}

/// Tenant `t{at}` with product `p{at}` at zone a.
pub fn plan_of(capacities: &[f64], ones: &[One]) -> Option<Arc<Plan>> {
    let mut facts = facts(capacities, ones.len());
    let mut text = HEAD.to_string();
    for (at, one) in ones.iter().enumerate() {
        let zones =
            (0..capacities.len() as u16).filter(|zone| one.reach >> zone & 1 == 1).map(ZoneId).collect();
        facts.permits.insert((ClassId(at as u16), ZoneId(0)), zones);
        let mut rest = format!("products = [\"p{at}\"]\nzones = [\"a\"]\nweight = {}\n", one.weight);
        rest += &format!("guarantee_per_s = {}\n", one.guarantee);
        if one.ceiling.is_finite() {
            rest += &format!("ceiling_per_s = {}\n", one.ceiling);
        }
        text += &tenant(&format!("t{at}"), &rest);
    }
    compile(&section(&text), &facts).ok().map(Arc::new)
}

/// Maximizes the goal while each tenant's rate is between `least` and `most`. The goal is the level (by weights) or one
/// tenant's rate.
fn program(
    capacities: &[f64],
    ones: &[One],
    least: &[f64],
    most: &[f64],
    rising: &[bool],
    goal: Option<usize>,
) -> f64 {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let level = problem.add_var(if goal.is_none() { 1.0 } else { 0.0 }, (0.0, 1e6));
    let mut loads: Vec<Vec<(Variable, f64)>> = vec![vec![]; capacities.len()];
    for (at, one) in ones.iter().enumerate() {
        let mut parts = vec![];
        for zone in (0..capacities.len()).filter(|zone| one.reach >> zone & 1 == 1) {
            let flow = problem.add_var(if goal == Some(at) { 1.0 } else { 0.0 }, (0.0, f64::INFINITY));
            parts.push((flow, 1.0));
            loads[zone].push((flow, 1.0));
        }
        problem.add_constraint(parts.clone(), ComparisonOp::Ge, least[at]);
        problem.add_constraint(parts.clone(), ComparisonOp::Le, most[at]);
        if rising[at] && goal.is_none() {
            parts.push((level, -one.weight));
            problem.add_constraint(parts, ComparisonOp::Ge, 0.0);
        }
    }
    for (capacity, load) in capacities.iter().zip(loads) {
        problem.add_constraint(load, ComparisonOp::Le, *capacity);
    }
    match problem.solve() {
        Ok(SolveOutcome::Solution(solution)) => solution.objective(),
        _ => f64::NAN,
    }
}

/// Max-min allocation by linear programs: the level is raised as far as possible, tenants that can't get more are fixed,
/// and this is repeated for the others.
pub fn allocate_by_programs(capacities: &[f64], ones: &[One]) -> Vec<f64> {
    let cap: Vec<f64> = ones.iter().map(|one| one.demand.min(one.ceiling)).collect();
    let floor: Vec<f64> = ones.iter().zip(&cap).map(|(one, cap)| one.guarantee.min(*cap)).collect();
    let mut stopped: Vec<Option<f64>> = vec![None; ones.len()];
    while stopped.iter().any(Option::is_none) {
        let rising: Vec<bool> = stopped.iter().map(Option::is_none).collect();
        let least: Vec<f64> = (0..ones.len()).map(|at| stopped[at].unwrap_or(floor[at])).collect();
        let most: Vec<f64> = (0..ones.len()).map(|at| stopped[at].unwrap_or(cap[at])).collect();
        let ease = |least: &[f64]| least.iter().map(|least| (least - 1e-7).max(0.0)).collect::<Vec<_>>();
        let level = program(capacities, ones, &ease(&least), &most, &rising, None);
        let at_level =
            |at: usize| stopped[at].unwrap_or((ones[at].weight * level).max(floor[at]).min(cap[at]));
        let least: Vec<f64> = (0..ones.len()).map(at_level).collect();
        let mut one_stopped = false;
        for at in (0..ones.len()).filter(|at| rising[*at]) {
            let full = least[at] >= cap[at] - 1e-7;
            let most: Vec<f64> =
                (0..ones.len()).map(|other| if other == at { f64::INFINITY } else { most[other] }).collect();
            let can = program(capacities, ones, &ease(&least), &most, &rising, Some(at));
            if full || can <= least[at] + 1e-5 {
                stopped[at] = Some(least[at]);
                one_stopped = true;
            }
        }
        assert!(one_stopped, "no tenant is at its limit: {capacities:?} {ones:?} {least:?}");
    }
    stopped.into_iter().flatten().collect()
}

fn one() -> impl Strategy<Value = One> {
    (1u8..8, 0u32..100, 1u32..5, 0u32..20, prop::option::of(20u32..60)).prop_map(
        |(reach, demand, weight, guarantee, ceiling)| One {
            reach,
            demand: f64::from(demand),
            weight: f64::from(weight),
            guarantee: f64::from(guarantee),
            ceiling: ceiling.map_or(f64::INFINITY, f64::from),
        },
    )
}

/// The largest value that fits, by bisection; first over orders of magnitude.
fn bisect(mut low: f64, mut high: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(high) {
        return high;
    }
    while high - low > 1e-13 * (1.0 + high) {
        let wide = high > 2.0 * low + 1e-9 && high > 1e-6;
        let mid = if wide { f64::sqrt((low + 1e-9) * high) } else { (low + high) / 2.0 };
        if fits(mid) {
            low = mid;
        } else {
            high = mid;
        }
    }
    low
}

/// Whether these amounts can be served by the zones that each may use, by checking every set of zones.
pub fn fits_capacity(capacities: &[f64], reach: &[u8], amounts: &[f64]) -> bool {
    (0..1u8 << capacities.len()).all(|zones| {
        let capacity: f64 =
            (0..capacities.len()).filter(|zone| zones >> zone & 1 == 1).map(|zone| capacities[zone]).sum();
        let inside = |(reach, amount): (&u8, &f64)| if reach & !zones == 0 { *amount } else { 0.0 };
        reach.iter().zip(amounts).map(inside).sum::<f64>() <= capacity * (1.0 + 1e-6) + 1e-6
    })
}

/// A node of the reference model: an inner node with its children, or a claim with the zones that may serve it and its
/// demand.
#[derive(Clone, Debug)]
enum Node {
    Inner { weight: f64, guarantee: f64, ceiling: f64, children: Vec<Node> },
    Claim { reach: u8, demand: f64, guarantee: f64, at: usize },
}

impl Node {
    fn cap(&self, caps: &[f64]) -> f64 {
        match self {
            Node::Inner { ceiling, children, .. } => {
                children.iter().map(|child| child.cap(caps)).sum::<f64>().min(*ceiling)
            }
            Node::Claim { at, .. } => caps[*at],
        }
    }
    fn floor(&self, caps: &[f64], least: &[f64]) -> f64 {
        match self {
            Node::Inner { guarantee, children, .. } => children
                .iter()
                .map(|child| child.floor(caps, least))
                .sum::<f64>()
                .max(guarantee.min(self.cap(caps))),
            Node::Claim { at, .. } => least[*at].min(caps[*at]),
        }
    }
    fn least(&self, least: &[f64]) -> f64 {
        match self {
            Node::Inner { children, .. } => children.iter().map(|child| child.least(least)).sum(),
            Node::Claim { at, .. } => least[*at],
        }
    }
    fn weight(&self) -> f64 {
        match self {
            Node::Inner { weight, .. } => *weight,
            Node::Claim { demand, .. } => demand.max(1e-12),
        }
    }
    fn claims<'a>(&'a self, out: &mut Vec<&'a Node>) {
        match self {
            Node::Inner { children, .. } => children.iter().for_each(|child| child.claims(out)),
            Node::Claim { .. } => out.push(self),
        }
    }
    /// Divides a total down the tree by bisection, without regard to speed.
    fn deal(&self, total: f64, caps: &[f64], least: &[f64], x: &mut [f64]) {
        let Node::Inner { children, .. } = self else {
            if let Node::Claim { at, .. } = self {
                x[*at] = total;
            }
            return;
        };
        let floors: Vec<f64> = children.iter().map(|child| child.floor(caps, least)).collect();
        let leasts: Vec<f64> = children.iter().map(|child| child.least(least)).collect();
        let (floor, low) = (floors.iter().sum::<f64>(), leasts.iter().sum::<f64>());
        let parts: Vec<f64> = if total <= floor {
            let part = if floor > low { ((total - low) / (floor - low)).max(0.0) } else { 1.0 };
            floors.iter().zip(&leasts).map(|(floor, least)| least + part * (floor - least)).collect()
        } else {
            let at = |level: f64| -> Vec<f64> {
                let part =
                    |(child, floor): (&Node, &f64)| (child.weight() * level).max(*floor).min(child.cap(caps));
                children.iter().zip(&floors).map(part).collect()
            };
            at(bisect(0.0, 1e16, |level| at(level).iter().sum::<f64>() <= total))
        };
        children.iter().zip(parts).for_each(|(child, part)| child.deal(part, caps, least, x));
    }
}

/// Both phases of the allocation, each step by bisection.
fn reference(capacities: &[f64], root: &Node) -> Vec<f64> {
    let mut claims = vec![];
    root.claims(&mut claims);
    let of = |claim: &&Node| match claim {
        Node::Claim { reach, demand, guarantee, .. } => (*reach, *demand, guarantee.min(*demand)),
        Node::Inner { .. } => unreachable!(),
    };
    let reach: Vec<u8> = claims.iter().map(|claim| of(claim).0).collect();
    let mut caps: Vec<f64> = claims.iter().map(|claim| of(claim).1).collect();
    let floors: Vec<f64> = claims.iter().map(|claim| of(claim).2).collect();
    // Phase 1 raises guarantees by the same fraction. Claims whose zones are full stop, with all of the same zone set.
    let mut part: Vec<Option<f64>> = vec![None; claims.len()];
    while part.iter().any(Option::is_none) {
        let at = |common: f64| -> Vec<f64> {
            floors.iter().zip(&part).map(|(floor, part)| floor * part.unwrap_or(common)).collect()
        };
        let fraction = bisect(0.0, 1.0, |common| fits_capacity(capacities, &reach, &at(common)));
        let now = at(fraction);
        let more = |claim: usize| {
            let mut next = now.clone();
            next[claim] += 1e-4;
            fits_capacity(capacities, &reach, &next)
        };
        let stops: Vec<usize> =
            (0..claims.len()).filter(|at| part[*at].is_none() && (fraction >= 1.0 || !more(*at))).collect();
        for at in stops {
            part[at] = Some(fraction);
            if fraction < 1.0 {
                caps[at] = now[at];
            }
        }
    }
    let mut least: Vec<f64> =
        floors.iter().zip(&part).map(|(floor, part)| floor * part.unwrap_or(1.0)).collect();
    let mut stopped: Vec<bool> = part.iter().map(|part| part.is_some_and(|part| part < 1.0)).collect();
    let mut x = least.clone();
    loop {
        let most = root.cap(&caps);
        let at = |total: f64| {
            let mut x = vec![0.0; claims.len()];
            root.deal(total, &caps, &least, &mut x);
            x
        };
        let total = bisect(root.least(&least), most, |total| fits_capacity(capacities, &reach, &at(total)));
        let next = at(total);
        if total >= most {
            return next;
        }
        let more = |claim: usize| {
            let mut next = next.clone();
            next[claim] += 1e-4;
            fits_capacity(capacities, &reach, &next)
        };
        let stops: Vec<usize> = (0..claims.len()).filter(|at| !stopped[*at] && !more(*at)).collect();
        x.clone_from(&next);
        if stops.is_empty() {
            return x;
        }
        for at in stops {
            stopped[at] = true;
            caps[at] = next[at];
        }
        least.clone_from(&next);
    }
}

fn close(found: &[f64], expected: &[f64]) -> bool {
    found.iter().zip(expected).all(|(found, expected)| (found - expected).abs() <= 1e-3 * expected.max(1.0))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    #[test]
    fn an_allocation_is_as_fair_as_by_linear_programs(
        capacities in prop::collection::vec(1u32..80, 3),
        ones in prop::collection::vec(one(), 1..7),
    ) {
        let capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let Some(plan) = plan_of(&capacities, &ones) else { return Ok(()) };
        let demands: Vec<f64> = ones.iter().map(|one| one.demand).collect();
        let found = Round::new(plan).fair(&demands, &capacities, None).to_vec();
        let expected = allocate_by_programs(&capacities, &ones);
        prop_assert!(close(&found, &expected), "{found:?} {expected:?}");
    }

    /// Trees, several claims per tenant, and capacity below the guarantees.
    #[test]
    fn an_allocation_in_a_tree_equals_the_reference(
        capacities in prop::collection::vec(1u32..120, 3),
        parents in prop::collection::vec((1u32..5, prop::option::of(0u32..40), prop::option::of(40u32..90)), 1..4),
        leaves in prop::collection::vec((0usize..4, 1u32..5, 0u32..15, prop::option::of(15u32..50), prop::collection::vec((0u32..60, 1u8..8), 1..4)), 1..7),
        left in 1u32..11,
    ) {
        let capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let mut facts = facts(&capacities, leaves.len());
        let mut text = HEAD.to_string();
        let used: Vec<usize> = (0..parents.len()).filter(|parent| leaves.iter().any(|leaf| leaf.0 == *parent)).collect();
        for parent in &used {
            let (weight, guarantee, ceiling) = parents[*parent];
            let mut rest = format!("weight = {weight}\n");
            let under: u32 = leaves.iter().filter(|leaf| leaf.0 == *parent).map(|leaf| leaf.2).sum();
            if let Some(more) = guarantee { rest += &format!("guarantee_per_s = {}\n", under + more) }
            if let Some(ceiling) = ceiling { rest += &format!("ceiling_per_s = {}\n", ceiling + under + guarantee.unwrap_or(0)) }
            text += &tenant(&format!("g{parent}"), &rest);
        }
        let mut children: Vec<Vec<Node>> = vec![vec![]; parents.len() + 1];
        // The plan orders claims differently from the model, so they are matched by tenant and zone.
        let mut demands: Vec<(u32, u16, f64)> = vec![];
        for (leaf, (parent, weight, guarantee, ceiling, claims)) in leaves.iter().enumerate() {
            let top = !used.contains(parent);
            let zones: Vec<String> = (0..claims.len()).map(|zone| format!("\"{}\"", ["a", "b", "c"][zone])).collect();
            let mut rest = format!("products = [\"p{leaf}\"]\nzones = [{}]\nweight = {weight}\nguarantee_per_s = {guarantee}\n", zones.join(", "));
            if !top { rest += &format!("parent = \"g{parent}\"\n") }
            if let Some(ceiling) = ceiling { rest += &format!("ceiling_per_s = {ceiling}\n") }
            text += &tenant(&format!("t{leaf}"), &rest);
            let mut mine = vec![];
            for (zone, (demand, reach)) in claims.iter().enumerate() {
                let permit = (0..3).filter(|zone| reach >> zone & 1 == 1).map(ZoneId).collect();
                facts.permits.insert((ClassId(leaf as u16), ZoneId(zone as u16)), permit);
                let guarantee = f64::from(*guarantee) / claims.len() as f64;
                mine.push(Node::Claim { reach: *reach, demand: f64::from(*demand), guarantee, at: demands.len() });
                demands.push(((used.len() + leaf) as u32, zone as u16, f64::from(*demand)));
            }
            children[if top { parents.len() } else { *parent }].push(Node::Inner {
                weight: f64::from(*weight),
                guarantee: f64::from(*guarantee),
                ceiling: ceiling.map_or(f64::INFINITY, f64::from),
                children: mine,
            });
        }
        let Ok(plan) = compile(&section(&text), &facts) else { return Ok(()) };
        let mut root = children.pop().unwrap();
        for parent in used {
            let (weight, guarantee, ceiling) = parents[parent];
            let under: u32 = leaves.iter().filter(|leaf| leaf.0 == parent).map(|leaf| leaf.2).sum();
            root.push(Node::Inner {
                weight: f64::from(weight),
                guarantee: guarantee.map_or(0.0, |more| f64::from(under + more)),
                ceiling: ceiling.map_or(f64::INFINITY, |ceiling| f64::from(ceiling + under + guarantee.unwrap_or(0))),
                children: std::mem::take(&mut children[parent]),
            });
        }
        let root = Node::Inner { weight: 1.0, guarantee: 0.0, ceiling: f64::INFINITY, children: root };
        let capacities: Vec<f64> = capacities.iter().map(|capacity| capacity * f64::from(left) / 10.0).collect();
        // The model numbers claims in creation order, but visits its leaves in another order.
        let mut claims = vec![];
        root.claims(&mut claims);
        let order: Vec<usize> = claims.iter().map(|claim| match claim { Node::Claim { at, .. } => *at, Node::Inner { .. } => unreachable!() }).collect();
        let mut renumbered = root.clone();
        let mut next = 0;
        renumber(&mut renumbered, &mut next);
        let found = reference(&capacities, &renumbered);
        let mut expected = vec![0.0; demands.len()];
        order.iter().zip(&found).for_each(|(at, x)| expected[*at] = *x);
        let plan = Arc::new(plan);
        let by_claim: Vec<usize> = plan.claims().map(|(_, tenant, zone)| demands.iter().position(|demand| (demand.0, demand.1) == (tenant.0, zone.0)).unwrap()).collect();
        let demand: Vec<f64> = by_claim.iter().map(|at| demands[*at].2).collect();
        let expected: Vec<f64> = by_claim.iter().map(|at| expected[*at]).collect();
        let found = Round::new(plan).fair(&demand, &capacities, None).to_vec();
        prop_assert!(close(&found, &expected), "{found:?} {expected:?}");
    }
}

fn renumber(node: &mut Node, next: &mut usize) {
    match node {
        Node::Inner { children, .. } => children.iter_mut().for_each(|child| renumber(child, next)),
        Node::Claim { at, .. } => {
            *at = *next;
            *next += 1;
        }
    }
}

#[test]
fn a_guarantee_that_is_not_lent_stays_free_and_a_tenant_that_never_borrows_stays_within() {
    let text = HEAD.to_string()
        + &tenant("keeps", "products = [\"p0\"]\nguarantee_per_s = 40\nlends = false")
        + &tenant("stays", "products = [\"p1\"]\nguarantee_per_s = 20\nborrows = false")
        + &tenant("rest", "products = [\"p2\"]");
    let facts = facts(&[100.0], 3);
    let mut round = Round::new(plan(&text, &facts));
    let found = round.fair(&[0.0, 90.0, 90.0], &[100.0], None).to_vec();
    assert!(close(&found, &[40.0, 20.0, 40.0]), "{found:?}");
}

#[test]
fn under_a_level_a_fraction_of_the_guarantee_applies() {
    let text = HEAD.to_string()
        + &tenant(
            "x",
            "products = [\"p0\"]\nguarantee_per_s = 80\nat_level = [{ level = \"lean\", part = 0.25 }]",
        )
        + &tenant("y", "products = [\"p1\"]\nguarantee_per_s = 20\nweight = 3");
    let mut round = Round::new(plan(&text, &facts(&[100.0], 2)));
    let full = round.fair(&[200.0, 200.0], &[100.0], Some(0)).to_vec();
    assert!(close(&full, &[80.0, 20.0]), "{full:?}");
    let lean = round.fair(&[200.0, 200.0], &[100.0], Some(1)).to_vec();
    assert!(close(&lean, &[25.0, 75.0]), "{lean:?}");
}

#[test]
fn all_are_over_their_guarantees_at_once_and_capacity_falls_to_a_tenth() {
    let mut text = HEAD.to_string();
    for at in 0..10 {
        text += &tenant(
            &format!("t{at}"),
            &format!("products = [\"p{at}\"]\nguarantee_per_s = {}", 5 * (at + 1)),
        );
    }
    let plan = plan(&text, &facts(&[300.0, 300.0], 10));
    let demands = vec![500.0; plan.claims().count()];
    let mut round = Round::new(plan.clone());
    round.deal(0.0, &demands, &[300.0, 300.0], None);
    let sum = |round: &Round| round.rates().iter().sum::<f64>();
    assert!((sum(&round) - 600.0).abs() < 0.01, "{}", sum(&round));
    let dealt = round.deal(1_000.0, &demands, &[30.0, 30.0], None);
    assert!(dealt.short && sum(&round) <= 60.0 + 1e-6 && sum(&round) > 59.9);
    // The guarantees are 275 and the capacity is 60, so each tenant gets the same fraction of its guarantee.
    for (claim, tenant, _) in plan.claims() {
        let part = round.rates()[claim.0 as usize] / (5.0 * f64::from(tenant.0 + 1) / 2.0);
        assert!((part - 60.0 / 275.0).abs() < 0.01, "{part}");
    }
}
