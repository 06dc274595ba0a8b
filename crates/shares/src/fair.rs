//! Fair allocation: weighted max-min over the tree of tenants, with floors and ceilings, within the capacity of the zones.
//!
//! The allocation has two phases. The first raises the guarantees of all claims by the same fraction until they are met
//! or their zones are full. The second raises a single value, the level of the root: each node divides its total among
//! its children, first their floors, then by weight between floor and cap. When a set of zones is full, the zone sets
//! that can use no other zones stop at that level (found by a minimum cut, as in the parametric flows of Megiddo, 1974),
//! and the rest continue.
//!
//! At a given level of the root, subtrees depend on each other only through the zones that they share. So subtrees that
//! share no zones form independent components that are allocated separately. The cost depends on the largest component,
//! not on the whole tree.

use amberarch_core::Zones;

use crate::plan::Plan;
use crate::pool::{raise_evenly, CapacityFlow, Cut, RELATIVE_TOLERANCE};

/// Component: subtrees of the root that share zones with each other and with no other subtree.
#[derive(Clone, Debug, Default)]
pub(crate) struct Component {
    /// The children of the root that belong to it.
    top_nodes: Vec<usize>,
    /// These and the tenant nodes below them, parents first.
    nodes: Vec<usize>,
    /// Indices of its claims, and by claim the index of its zone set in `zone_sets`.
    pub claims: Vec<usize>,
    pub zone_set: Vec<usize>,
    pub zone_sets: Vec<Zones>,
}

/// Working arrays of the allocation, reused from one call to the next. They are indexed by node unless noted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allocator {
    pub components: Vec<Component>,
    weight: Vec<f64>,
    floor: Vec<f64>,
    cap: Vec<f64>,
    least: Vec<f64>,
    rates: Vec<f64>,
    /// By node above the claims: sums over its children.
    floors: Vec<f64>,
    leasts: Vec<f64>,
    caps: Vec<f64>,
    /// By node above the claims: the total that was last divided among its children; NaN forces a new division.
    last_total: Vec<f64>,
    /// By node above the claims: the level by weight that was found last, as the first guess of the next search.
    levels: Vec<f64>,
    unfixed: Vec<u32>,
    /// By component: the levels of the root at which sets of zones became full in the last allocation, in order.
    level_hints: Vec<Vec<f64>>,
}

/// A level of the root, and the rate of every zone set at that level.
type LevelRates = (f64, Vec<f64>);

/// Groups the subtrees of the root into components that share zones.
fn components(plan: &Plan) -> Vec<Component> {
    let first = plan.first_claim();
    let mut top = vec![0; plan.parent.len()];
    for node in 1..plan.parent.len() {
        let parent = plan.parent[node] as usize;
        top[node] = if parent == 0 { node } else { top[parent] };
    }
    let mut reach = vec![Zones::NONE; first];
    for (at, claim) in plan.claims.iter().enumerate() {
        let top = top[first + at];
        reach[top] = reach[top].union(plan.zone_sets[claim.zone_set as usize]);
    }
    // Each subtree is merged with all earlier groups that it shares a zone with.
    let mut groups: Vec<(Zones, Vec<usize>)> = Vec::new();
    for node in
        (plan.children[0].0 as usize..plan.children[0].1 as usize).filter(|node| !reach[*node].is_empty())
    {
        let (near, others): (Vec<_>, Vec<_>) =
            groups.into_iter().partition(|group| !group.0.intersection(reach[node]).is_empty());
        groups = others;
        let mut joined = (reach[node], Vec::new());
        for (zones, top_nodes) in near {
            joined.0 = joined.0.union(zones);
            joined.1.extend(top_nodes);
        }
        joined.1.push(node);
        groups.push(joined);
    }
    let mut component_of = vec![usize::MAX; first];
    let mut components: Vec<Component> = Vec::new();
    for (at, (_, mut top_nodes)) in groups.into_iter().enumerate() {
        top_nodes.sort_unstable();
        top_nodes.iter().for_each(|top| component_of[*top] = at);
        components.push(Component { top_nodes, ..Component::default() });
    }
    for node in 1..first {
        if let Some(component) = components.get_mut(component_of[top[node]]) {
            component.nodes.push(node);
        }
    }
    let mut place = vec![usize::MAX; plan.zone_sets.len()];
    for (at, claim) in plan.claims.iter().enumerate() {
        let component = &mut components[component_of[top[first + at]]];
        let zone_set = claim.zone_set as usize;
        if place[zone_set] == usize::MAX {
            place[zone_set] = component.zone_sets.len();
            component.zone_sets.push(plan.zone_sets[zone_set]);
        }
        component.claims.push(at);
        component.zone_set.push(place[zone_set]);
    }
    components
}

impl Component {
    /// Sums of the claims' rates, by zone set of the component.
    pub fn sums(&self, claims: &[f64]) -> Vec<f64> {
        let mut sums = vec![0.0; self.zone_sets.len()];
        self.claims
            .iter()
            .zip(&self.zone_set)
            .for_each(|(claim, zone_set)| sums[*zone_set] += claims[*claim]);
        sums
    }
}

impl Allocator {
    pub fn new(plan: &Plan) -> Allocator {
        let (inner, all) = (plan.children.len(), plan.parent.len());
        let mut weight: Vec<f64> = plan.settings.iter().map(|settings| settings.weight).collect();
        weight.resize(all, 0.0);
        let zeros = |count: usize| vec![0.0; count];
        let components = components(plan);
        Allocator {
            level_hints: vec![vec![]; components.len()],
            components,
            weight,
            floor: zeros(all),
            cap: zeros(all),
            least: zeros(all),
            rates: zeros(all),
            floors: zeros(inner),
            leasts: zeros(inner),
            caps: zeros(inner),
            last_total: zeros(inner),
            levels: zeros(inner),
            unfixed: Vec::new(),
        }
    }

    /// Returns the fair rate by claim. `demand` is by claim, `guaranteed` by node under the level of service in force,
    /// `capacity` by zone.
    pub fn allocate(&mut self, plan: &Plan, demand: &[f64], guaranteed: &[f64], capacity: &[f64]) -> &[f64] {
        self.limits(plan, demand, guaranteed);
        // Guarantees may fill zones completely: rounding errors must not count as overload.
        let capacity: Vec<f64> =
            capacity.iter().map(|capacity| (1.0 + 0.5 * RELATIVE_TOLERANCE) * capacity).collect();
        let components = std::mem::take(&mut self.components);
        for (at, component) in components.iter().enumerate() {
            let mut stopped = self.fill_guarantees(plan, component, &capacity);
            self.sum_children(plan, component, guaranteed);
            let mut level_hints = std::mem::take(&mut self.level_hints[at]);
            self.fill(plan, component, &capacity, &mut stopped, &mut level_hints);
            self.level_hints[at] = level_hints;
        }
        self.components = components;
        &self.rates[plan.first_claim()..]
    }

    /// Computes the cap of each node, that is, the most it can use, and the floor of each claim: its guarantee up to its cap.
    fn limits(&mut self, plan: &Plan, demand: &[f64], guaranteed: &[f64]) {
        let first = plan.first_claim();
        for node in (0..first).rev() {
            let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
            let settings = &plan.settings[node];
            if begin >= first && end > begin {
                let each = guaranteed[node] / (end - begin) as f64;
                for claim in begin..end {
                    let demand = demand[claim - first];
                    // A tenant that does not lend gets its guarantee whether it asks for it or not.
                    self.cap[claim] = if settings.lends { demand } else { demand.max(each) };
                    self.weight[claim] = self.cap[claim].max(1e-12);
                    self.floor[claim] = each.min(self.cap[claim]);
                }
            }
            let sum: f64 = self.cap[begin..end].iter().sum();
            let most =
                if settings.borrows { settings.ceiling } else { settings.ceiling.min(guaranteed[node]) };
            self.cap[node] = sum.min(most);
        }
    }

    /// Phase 1: raises the floors of all claims by the same fraction. Returns which zone sets were stopped by full zones.
    fn fill_guarantees(&mut self, plan: &Plan, component: &Component, capacity: &[f64]) -> Vec<bool> {
        let first = plan.first_claim();
        let sums = component.sums(&self.floor[first..]);
        let fits = raise_evenly(&component.zone_sets, capacity, &vec![0.0; sums.len()], &sums);
        for (claim, zone_set) in component.claims.iter().zip(&component.zone_set) {
            let node = first + claim;
            self.least[node] = self.floor[node];
            if let (fraction, true) = fits[*zone_set] {
                // Its zones are full, so it gets no more than this.
                self.least[node] *= fraction;
                self.cap[node] = self.least[node];
            }
            self.floor[node] = self.least[node];
        }
        fits.into_iter().map(|fit| fit.1).collect()
    }

    /// Computes caps and floors of the nodes after phase 1.
    fn sum_children(&mut self, plan: &Plan, component: &Component, guaranteed: &[f64]) {
        for &node in component.nodes.iter().rev() {
            let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
            let sum = |of: &[f64]| of[begin..end].iter().sum::<f64>();
            let (caps, floors, leasts) = (sum(&self.cap), sum(&self.floor), sum(&self.least));
            self.cap[node] = self.cap[node].min(caps).max(leasts);
            self.floor[node] = floors.max(self.cap[node].min(guaranteed[node])).min(self.cap[node]);
            self.least[node] = leasts;
            (self.floors[node], self.leasts[node], self.caps[node]) = (floors, leasts, caps);
            self.last_total[node] = f64::NAN;
        }
    }

    /// Phase 2: raises the level of the root. From level 0 to 1 the floors are filled, above 1 rates grow by weight.
    /// `level_hints` are the levels found in the last allocation; they are replaced by the ones found now.
    fn fill(
        &mut self,
        plan: &Plan,
        component: &Component,
        capacity: &[f64],
        stopped: &mut [bool],
        level_hints: &mut Vec<f64>,
    ) {
        let first = plan.first_claim();
        let (mut reached, mut hint_at): (f64, usize) = (0.0, 0);
        let (mut capacity, zones) =
            (capacity.to_vec(), component.zone_sets.iter().fold(Zones::NONE, |all, zones| all.union(*zones)));
        let in_component = |zone: usize| zones.0 >> zone & 1 == 1;
        let total: f64 =
            (0..capacity.len()).filter(|zone| in_component(*zone)).map(|zone| capacity[zone]).sum();
        // Each iteration stops at least one zone set.
        for _ in 0..=component.zone_sets.len() {
            let highest =
                component.top_nodes.iter().map(|top| self.cap[*top] / self.weight[*top]).fold(0.0, f64::max);
            let most = reached.max(1.0 + highest);
            let mut now = (most, self.rates_at(plan, component, most));
            let mut begin: Option<LevelRates> = None;
            let mut last_cut: Option<Cut> = None;
            for _ in 0..=2 * component.zone_sets.len() {
                let Err(cut) = CapacityFlow::new(&component.zone_sets, &capacity).route_all(&now.1) else {
                    break;
                };
                let from = begin.get_or_insert_with(|| (reached, self.rates_at(plan, component, reached)));
                now = self.saturation_level(
                    plan,
                    component,
                    &cut,
                    from,
                    now,
                    level_hints.get(hint_at).copied(),
                );
                match level_hints.get_mut(hint_at) {
                    Some(hint) => *hint = now.0,
                    None => level_hints.push(now.0),
                }
                hint_at += 1;
                last_cut = Some(cut);
            }
            let Some(cut) = last_cut else { break };
            reached = now.0;
            // The last iteration may have left a little capacity in a set that stopped. It must not hide another full set.
            capacity.iter_mut().for_each(|capacity| *capacity += 0.25 * RELATIVE_TOLERANCE * total);
            let before = stopped.iter().filter(|stopped| **stopped).count();
            cut.zone_sets.iter().for_each(|zone_set| stopped[*zone_set] = true);
            let after = stopped.iter().filter(|stopped| **stopped).count();
            if after == stopped.len() || after == before {
                break;
            }
            for (claim, zone_set) in component.claims.iter().zip(&component.zone_set) {
                if cut.zone_sets.contains(zone_set) {
                    self.cap[first + claim] = self.rates[first + claim];
                    self.floor[first + claim] = self.rates[first + claim];
                }
                self.least[first + claim] = self.rates[first + claim];
            }
            // The next iteration starts from the rates reached so far, so that only the stopped zone sets are affected.
            reached = if reached <= 1.0 { 0.0 } else { reached };
            for &node in component.nodes.iter().rev() {
                let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
                let sum = |of: &[f64]| of[begin..end].iter().sum::<f64>();
                let (caps, floors, leasts) = (sum(&self.cap), sum(&self.floor), sum(&self.least));
                self.least[node] = self.rates[node];
                self.cap[node] = self.cap[node].min(caps);
                self.floor[node] = self.floor[node].min(self.cap[node]);
                (self.floors[node], self.leasts[node], self.caps[node]) = (floors, leasts, caps);
                self.last_total[node] = f64::NAN;
            }
        }
    }

    /// Finds the level at which the zone sets of a cut exactly fill their zones. On return all nodes have their rates at
    /// that level.
    fn saturation_level(
        &mut self,
        plan: &Plan,
        component: &Component,
        cut: &Cut,
        from: &LevelRates,
        to: LevelRates,
        hint: Option<f64>,
    ) -> LevelRates {
        /// The rates of zone sets grow with the level slower than proportionally, by about this factor.
        const SLOWDOWN: f64 = 2.0;
        let cut_rate = |sums: &[f64]| cut.zone_sets.iter().map(|zone_set| sums[*zone_set]).sum::<f64>();
        // The target is a little below the capacity, so that the result fits. If it is that full already at the start, the
        // target is a little above the start.
        let now = cut_rate(&from.1);
        let capacity = f64::max(
            (1.0 - RELATIVE_TOLERANCE) * cut.capacity,
            now + 0.2 * RELATIVE_TOLERANCE * cut.capacity,
        );
        let (mut low, mut under, mut high, mut above) =
            (from.0, now - capacity, to.0, cut_rate(&to.1) - capacity);
        if above <= 0.0 {
            let sums = self.rates_at(plan, component, high);
            return (high, sums);
        }
        // The first guess is the level of the last allocation, or the one that weights alone give. Then comes the secant
        // through the last two points, which converges fast because the function is piecewise linear. If that leaves the
        // bracket, the next guess is taken inside it.
        let weights: f64 = component.top_nodes.iter().map(|top| plan.settings[*top].weight).sum();
        let guess = if low < 1.0 { 1.0 } else { low.max(1.0 + cut.capacity / weights) };
        let mut next = hint.unwrap_or(guess);
        let mut last: Option<(f64, f64)> = None;
        for iteration in 0..80 {
            if !(low < next && next < high) {
                // Secant through the ends of the bracket, and every third time its middle, so that both ends move.
                let line = (low * above - high * under) / (above - under);
                next = if iteration % 3 == 2 { (low + high) / 2.0 } else { line };
            }
            let sums = self.rates_at(plan, component, next);
            let found = cut_rate(&sums) - capacity;
            if found.abs() <= 0.1 * RELATIVE_TOLERANCE * capacity || high - low <= 1e-14 * high {
                return (next, sums);
            }
            if found > 0.0 {
                (high, above) = (next, found);
            } else {
                (low, under) = (next, found);
            }
            let before = last.replace((next, found));
            next = match before {
                Some((level, off)) if off != found => next - found * (next - level) / (found - off),
                Some(_) => f64::NAN,
                None => next - SLOWDOWN * (next - 1.0).max(0.0) * found / capacity,
            };
        }
        let sums = self.rates_at(plan, component, low);
        (low, sums)
    }

    /// Sets the rates of all nodes of the component at that level, and returns the sums by zone set.
    fn rates_at(&mut self, plan: &Plan, component: &Component, level: f64) -> Vec<f64> {
        for &top in &component.top_nodes {
            self.rates[top] = match level {
                level if level <= 1.0 => self.least[top] + level * (self.floor[top] - self.least[top]),
                level => (self.weight[top] * (level - 1.0)).max(self.floor[top]).min(self.cap[top]),
            };
        }
        for &node in &component.nodes {
            let (begin, end) = (plan.children[node].0 as usize, plan.children[node].1 as usize);
            let total = self.rates[node];
            if std::mem::replace(&mut self.last_total[node], total) == total {
                continue;
            }
            let (least, floors) = (self.leasts[node], self.floors[node]);
            if end == begin + 1 {
                self.rates[begin] = total.min(self.cap[begin]);
            } else if total <= floors {
                let fraction =
                    if floors > least { ((total - least) / (floors - least)).max(0.0) } else { 1.0 };
                for child in begin..end {
                    self.rates[child] =
                        self.least[child] + fraction * (self.floor[child] - self.least[child]);
                }
            } else {
                self.divide(node, begin, end, total);
            }
        }
        component.sums(&self.rates[plan.first_claim()..])
    }

    /// Divides a total among children by weight, between floor and cap. The sum is piecewise linear in the level, so
    /// Newton steps from the level found last usually end after one or two steps. If they don't converge, the level is
    /// searched child by child.
    fn divide(&mut self, node: usize, begin: usize, end: usize, total: f64) {
        /// With more steps than this the iteration is cycling.
        const MAX_STEPS: usize = 8;
        let tolerance = 1e-12 * total.max(1e-9);
        if total >= self.caps[node] - tolerance {
            self.rates[begin..end].copy_from_slice(&self.cap[begin..end]);
            return;
        }
        let mut level = self.levels[node];
        for _ in 0..MAX_STEPS {
            let evaluated = evaluate_level(
                &self.weight[begin..end],
                &self.floor[begin..end],
                &self.cap[begin..end],
                level,
            );
            let off = total - evaluated.sum;
            if off.abs() <= tolerance {
                for child in begin..end {
                    self.rates[child] =
                        clamp_between(self.weight[child] * level, self.floor[child], self.cap[child]);
                }
                self.levels[node] = level;
                return;
            }
            if evaluated.weights <= 0.0 {
                break;
            }
            level = (level + off / evaluated.weights).max(0.0);
        }
        self.levels[node] = self.search_level(begin, end, total);
    }

    /// Finds the level without sorting (after Bitran and Hax, 1981): guesses it from the children that are not fixed yet,
    /// then fixes those at their floors or those at their caps, whichever deviate more in sum. Returns the level.
    fn search_level(&mut self, begin: usize, end: usize, total: f64) -> f64 {
        let mut found = 0.0;
        let mut unfixed = std::mem::take(&mut self.unfixed);
        unfixed.clear();
        unfixed.extend(begin as u32..end as u32);
        let mut left = total;
        while !unfixed.is_empty() {
            let weights: f64 = unfixed.iter().map(|child| self.weight[*child as usize]).sum();
            let level = left.max(0.0) / weights;
            found = level;
            let (mut short, mut over) = (0.0, 0.0);
            for child in &unfixed {
                let child = *child as usize;
                let share = self.weight[child] * level;
                short += (self.floor[child] - share).max(0.0);
                over += (share - self.cap[child]).max(0.0);
            }
            let (rates, weight, floor, cap) = (&mut self.rates, &self.weight, &self.floor, &self.cap);
            let tolerance = 1e-12 * total.max(1e-9);
            let balanced = (short - over).abs() <= tolerance;
            let before = unfixed.len();
            unfixed.retain(|child| {
                let child = *child as usize;
                let share = weight[child] * level;
                let (at_floor, at_cap) = (share <= floor[child], share >= cap[child]);
                rates[child] = share.max(floor[child]).min(cap[child]);
                let fixed = balanced || short > over && at_floor || over > short && at_cap;
                if fixed {
                    left -= rates[child];
                }
                !fixed
            });
            if unfixed.len() == before {
                break;
            }
        }
        self.unfixed = unfixed;
        found
    }
}

/// Sum of the children's rates at a level, and the weights of those that would get more at a higher level.
struct LevelSum {
    sum: f64,
    weights: f64,
}

fn clamp_between(share: f64, floor: f64, cap: f64) -> f64 {
    let low = if share > floor { share } else { floor };
    if low < cap {
        low
    } else {
        cap
    }
}

/// Evaluates a level. It keeps four independent sums, since a single one would wait for each addition.
fn evaluate_level(weight: &[f64], floor: &[f64], cap: &[f64], level: f64) -> LevelSum {
    const LANES: usize = 4;
    let (mut sums, mut weights) = ([0.0; LANES], [0.0; LANES]);
    let one = |(weight, floor, cap): (f64, f64, f64), sum: &mut f64, weights: &mut f64| {
        let share = weight * level;
        *sum += clamp_between(share, floor, cap);
        *weights += if (share > floor) & (share < cap) { weight } else { 0.0 };
    };
    let (mut w, mut f, mut c) =
        (weight.chunks_exact(LANES), floor.chunks_exact(LANES), cap.chunks_exact(LANES));
    for ((w, f), c) in (&mut w).zip(&mut f).zip(&mut c) {
        for lane in 0..LANES {
            one((w[lane], f[lane], c[lane]), &mut sums[lane], &mut weights[lane]);
        }
    }
    for ((w, f), c) in w.remainder().iter().zip(f.remainder()).zip(c.remainder()) {
        one((*w, *f, *c), &mut sums[0], &mut weights[0]);
    }
    LevelSum { sum: sums.iter().sum(), weights: weights.iter().sum() }
}
