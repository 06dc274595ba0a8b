//! The reach: the zones that may serve each request class that arrives at the proxies of each zone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::{ClassId, Event, HostEntry, HostId, ZoneId, Zones};

/// The zones that may serve one class at one home zone, in order of preference. A later tier is used only
/// while no earlier one has a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// No tier is empty. Without any tier, txns of the class are rejected.
    pub tiers: Vec<Zones>,
}

impl Permit {
    /// All zones of all tiers.
    pub fn all(&self) -> Zones {
        self.tiers.iter().fold(Zones::NONE, |all, tier| all.union(*tier))
    }

    /// The zones that may serve it now: the first tier that has a host in one of the zones `there`.
    pub fn in_use(&self, there: Zones) -> Zones {
        let tier = self.tiers.iter().find(|tier| !tier.intersection(there).is_empty());
        tier.or(self.tiers.first()).copied().unwrap_or_default()
    }

    /// The zones that both permit, each in the later of its two tiers.
    pub fn within(&self, other: &Permit) -> Permit {
        let rank = |permit: &Permit, zone| permit.tiers.iter().position(|tier| tier.contains(zone));
        let mut tiers: BTreeMap<usize, Zones> = BTreeMap::new();
        for zone in self.all().intersection(other.all()).iter() {
            let last = rank(self, zone).max(rank(other, zone)).unwrap_or_default();
            let tier = tiers.entry(last).or_default();
            *tier = tier.union(Zones::one(zone));
        }
        Permit { tiers: tiers.into_values().collect() }
    }
}

/// A request class and the home zone of the proxies at which it arrives.
pub type Governed = (ClassId, ZoneId);

/// The zones that may serve each governed pair now.
pub type InUse = BTreeMap<Governed, Zones>;

/// The compiled rules. A pair that is not named is not governed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    pub permits: BTreeMap<Governed, Permit>,
    /// For a joint reach: the ones that it has to satisfy at once. The tier in use is determined for each
    /// separately, because a zone that one of them forbids still keeps the other's later tiers unused
    /// while it has hosts.
    pub parts: Vec<Reach>,
}

impl Reach {
    /// The zones that may serve the pair.
    pub fn zones(&self, pair: Governed) -> Zones {
        self.permits.get(&pair).map_or(Zones::ALL, Permit::all)
    }

    /// A reach that satisfies both. Txns of a pair without a common zone are rejected.
    pub fn joint(&self, other: &Reach) -> Reach {
        let mut permits = self.permits.clone();
        for (pair, permit) in &other.permits {
            permits.entry(*pair).and_modify(|mine| *mine = mine.within(permit)).or_insert(permit.clone());
        }
        Reach { permits, parts: vec![self.clone(), other.clone()] }
    }

    /// A reach under which txns of these pairs are rejected, whichever zones have a host.
    pub fn declining(pairs: impl IntoIterator<Item = Governed>) -> Reach {
        let declined = Permit { tiers: vec![] };
        Reach { permits: pairs.into_iter().map(|pair| (pair, declined.clone())).collect(), parts: vec![] }
    }

    /// Which zones may serve each pair now. `there` are the zones with a host that the host list has in
    /// service; gates, loads and probes do not count, so the result changes no more often than the list
    /// does. Where no tier has a host the first tier is used, because otherwise the result would switch
    /// when a host comes back.
    pub fn in_use(&self, there: Zones) -> InUse {
        if self.parts.is_empty() {
            return self.permits.iter().map(|(pair, permit)| (*pair, permit.in_use(there))).collect();
        }
        let mut all = InUse::new();
        for (pair, zones) in self.parts.iter().flat_map(|part| part.in_use(there)) {
            let both = all.entry(pair).or_insert(Zones::ALL);
            *both = both.intersection(zones);
        }
        all
    }

    /// Groups pairs with the same permit. There are few groups, however many classes and zones there are.
    pub fn classes(&self) -> BTreeMap<Permit, Vec<Governed>> {
        let mut classes: BTreeMap<Permit, Vec<Governed>> = BTreeMap::new();
        for (pair, permit) in &self.permits {
            classes.entry(permit.clone()).or_default().push(*pair);
        }
        classes
    }
}

/// Keeps only the last row of a host that is listed twice. Decisions sort rows, so otherwise they could
/// place a host in one zone and the judge in another, and repeat without end orders that the judge
/// refuses.
pub fn last_rows(entries: &mut Vec<HostEntry>) {
    let last: BTreeMap<HostId, usize> = entries.iter().enumerate().map(|(at, row)| (row.host, at)).collect();
    let mut at = 0..;
    entries.retain(|row| last.get(&row.host).copied() == at.next());
}

/// The zones that have a host in service.
pub fn there(hosts: &BTreeMap<ZoneId, u32>) -> Zones {
    hosts.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| *zone).collect()
}

/// Events that change the decision module's rules from `before` to `after`.
pub fn difference(before: &InUse, after: &InUse) -> Vec<Event> {
    let pairs: BTreeSet<Governed> = before.keys().chain(after.keys()).copied().collect();
    let of = |all: &InUse, pair| all.get(pair).copied().unwrap_or(Zones::ALL);
    let differing = pairs.iter().filter(|pair| of(before, pair) != of(after, pair));
    differing
        .map(|pair| Event::ReachRule { class: pair.0, zone: pair.1, allowed_zones: of(after, pair) })
        .collect()
}

/// Why a change can't be made without harm: a pair without a host while both revisions are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("while both hold, product {} from zone {} has no host in a permitted zone", product.0, from.0)]
pub struct Bare {
    pub product: ClassId,
    pub from: ZoneId,
    /// The zones that both permit; none of them has a host in service.
    pub zones: Zones,
}

/// More txns may be served in these zones alone than their hosts have capacity for.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{demand:.1} a second may be served in {} zone(s) alone, which carry {carries:.1}", zones.iter().count())]
pub struct Over {
    pub zones: Zones,
    /// The pairs of which the demand consists.
    pub pairs: Vec<Governed>,
    /// Txns per second, as is `carries`.
    pub demand: f64,
    pub carries: f64,
}

impl Bare {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        "change in two steps that share a zone with hosts, or say `declined = true` for the product"
    }
}

impl Over {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        "permit more zones, add hosts to those that are named, or change when less comes"
    }
}

/// Checks that every pair has a host in a permitted zone, except pairs that may be rejected meanwhile.
///
/// # Errors
/// The first pair that has none.
pub fn bare(
    joint: &Reach,
    hosts: &BTreeMap<ZoneId, u32>,
    meanwhile: &BTreeSet<Governed>,
) -> Result<(), Bare> {
    let there = there(hosts);
    for (pair, zones) in joint.in_use(there) {
        if zones.intersection(there).is_empty() && !meanwhile.contains(&pair) {
            return Err(Bare { product: pair.0, from: pair.1, zones });
        }
    }
    Ok(())
}

/// Checks that all demand can be served where it is permitted, as a maximum flow from pairs to zones.
/// Pairs that are not governed may be served anywhere; zones without a capacity have none. All rates are
/// in txns per second.
///
/// # Errors
/// Zones with more demand that may be served nowhere else than they have capacity.
pub fn over(
    in_use: &InUse,
    demand: &BTreeMap<Governed, f64>,
    capacity: &BTreeMap<ZoneId, f64>,
) -> Result<(), Over> {
    /// Differences below this fraction of the total demand are rounding errors.
    const SLACK: f64 = 1e-9;
    let zones_of = |pair: &Governed| in_use.get(pair).copied().unwrap_or(Zones::ALL);
    let mut groups: BTreeMap<Zones, f64> = BTreeMap::new();
    for (pair, rate) in demand.iter().filter(|(_, rate)| **rate > 0.0) {
        let zones = zones_of(pair);
        // Rejected txns need no capacity.
        if !zones.is_empty() {
            *groups.entry(zones).or_default() += rate;
        }
    }
    let groups: Vec<(Zones, f64)> = groups.into_iter().collect();
    let zones: Vec<(ZoneId, f64)> = capacity.iter().map(|(zone, spare)| (*zone, *spare)).collect();
    let slack = SLACK * groups.iter().map(|(_, rate)| rate).sum::<f64>().max(1.0);
    let mut flow = vec![vec![0.0; zones.len()]; groups.len()];
    loop {
        let left = |group: usize, flow: &[Vec<f64>]| groups[group].1 - flow[group].iter().sum::<f64>();
        let spare = |zone: usize, flow: &[Vec<f64>]| {
            zones[zone].1 - flow.iter().map(|group| group[zone]).sum::<f64>()
        };
        // Augmenting path (breadth first) from a group with demand left to a zone with spare capacity; it
        // may take back flow assigned earlier.
        let mut from_group: Vec<Option<usize>> = vec![None; zones.len()];
        let mut from_zone: Vec<Option<usize>> = vec![None; groups.len()];
        let mut seen: Vec<bool> = (0..groups.len()).map(|group| left(group, &flow) > slack).collect();
        let mut queue: VecDeque<usize> = (0..groups.len()).filter(|group| seen[*group]).collect();
        if queue.is_empty() {
            return Ok(());
        }
        let mut end = None;
        while let Some(group) = queue.pop_front() {
            for zone in (0..zones.len()).filter(|zone| groups[group].0.contains(zones[*zone].0)) {
                if from_group[zone].is_some() {
                    continue;
                }
                from_group[zone] = Some(group);
                if spare(zone, &flow) > slack {
                    end = end.or(Some(zone));
                }
                for back in 0..groups.len() {
                    if !seen[back] && flow[back][zone] > slack {
                        (seen[back], from_zone[back]) = (true, Some(zone));
                        queue.push_back(back);
                    }
                }
            }
            if end.is_some() {
                break;
            }
        }
        let Some(end) = end else {
            // The groups reached can be served nowhere else: their zones are filled by them alone.
            let full_zones: Zones =
                (0..zones.len()).filter(|z| from_group[*z].is_some()).map(|z| zones[z].0).collect();
            let of = |group: usize| seen[group].then_some(groups[group]);
            let reached: Vec<(Zones, f64)> = (0..groups.len()).filter_map(of).collect();
            let pairs = demand.iter().filter(|(_, rate)| **rate > 0.0).map(|(pair, _)| *pair);
            let pairs = pairs.filter(|pair| reached.iter().any(|(zones, _)| *zones == zones_of(pair)));
            let full_capacity =
                zones.iter().filter(|(zone, _)| full_zones.contains(*zone)).map(|(_, spare)| spare);
            return Err(Over {
                zones: full_zones,
                pairs: pairs.collect(),
                demand: reached.iter().map(|(_, rate)| rate).sum(),
                carries: full_capacity.sum(),
            });
        };
        let mut path = vec![];
        let (mut zone, mut amount) = (end, spare(end, &flow));
        while let Some(group) = from_group[zone] {
            path.push((group, zone));
            match from_zone[group] {
                Some(back) => {
                    amount = f64::min(amount, flow[group][back]);
                    zone = back;
                }
                None => {
                    amount = f64::min(amount, left(group, &flow));
                    break;
                }
            }
        }
        for (group, zone) in path {
            flow[group][zone] += amount;
            if let Some(back) = from_zone[group] {
                flow[group][back] -= amount;
            }
        }
    }
}
