//! What holds for each product that comes to proxies of each zone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::{ClassId, Event, HostEntry, HostId, ZoneId, Zones};

/// Of one product at one home zone: the zones that may serve it, in the order in which they are used. A later tier
/// is used only while no earlier one has a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// Never empty tiers; no tiers at all: the product is declined.
    pub tiers: Vec<Zones>,
}

impl Permit {
    /// All that may ever serve it.
    pub fn all(&self) -> Zones {
        self.tiers.iter().fold(Zones::NONE, |all, tier| all.union(*tier))
    }

    /// The zones that may serve it now, where those are the zones that have a host: of the first tier that has one.
    pub fn in_use(&self, there: Zones) -> Zones {
        let tier = self.tiers.iter().find(|tier| !tier.intersection(there).is_empty());
        tier.or(self.tiers.first()).copied().unwrap_or_default()
    }

    /// What both permit, each zone as late as the one that has it later.
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

/// A product and the zone whose proxies it comes to.
pub type Governed = (ClassId, ZoneId);

/// The zones that may serve each governed pair now.
pub type InUse = BTreeMap<Governed, Zones>;

/// What holds. A pair that is not named is not governed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    pub permits: BTreeMap<Governed, Permit>,
    /// Of a joint one: those that it has to satisfy at once. Which tier is in use is looked at for each by itself,
    /// since a zone that one of them forbids still keeps the other's later tiers shut while it has hosts.
    pub parts: Vec<Reach>,
}

impl Reach {
    /// The zones that may serve the pair.
    pub fn zones(&self, pair: Governed) -> Zones {
        self.permits.get(&pair).map_or(Zones::ALL, Permit::all)
    }

    /// What satisfies both: within this one and within the other. A pair to which nothing is left is declined.
    pub fn joint(&self, other: &Reach) -> Reach {
        let mut permits = self.permits.clone();
        for (pair, permit) in &other.permits {
            permits.entry(*pair).and_modify(|mine| *mine = mine.within(permit)).or_insert(permit.clone());
        }
        Reach { permits, parts: vec![self.clone(), other.clone()] }
    }

    /// One under which these pairs are declined, whatever has a host.
    pub fn declining(pairs: impl IntoIterator<Item = Governed>) -> Reach {
        let declined = Permit { tiers: vec![] };
        Reach { permits: pairs.into_iter().map(|pair| (pair, declined.clone())).collect(), parts: vec![] }
    }

    /// Which zones may serve each pair now. `there` are the zones with a host that the list has in service, and
    /// nothing else: not gates, loads or probes, so it changes no more often than the list does. Where no tier has a
    /// host it is the first, lest it swing when one comes back.
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

    /// Pairs that are alike: few, however many products and zones there are.
    pub fn classes(&self) -> BTreeMap<Permit, Vec<Governed>> {
        let mut classes: BTreeMap<Permit, Vec<Governed>> = BTreeMap::new();
        for (pair, permit) in &self.permits {
            classes.entry(permit.clone()).or_default().push(*pair);
        }
        classes
    }
}

/// Of a host that is listed twice only the last row counts. Decisions sort rows, by weight or otherwise, so without
/// it they could take a host to be in one zone and the judge in another, and order without end what it leaves out.
pub fn last_rows(entries: &mut Vec<HostEntry>) {
    let last: BTreeMap<HostId, usize> = entries.iter().enumerate().map(|(at, row)| (row.host, at)).collect();
    let mut at = 0..;
    entries.retain(|row| last.get(&row.host).copied() == at.next());
}

/// The zones that have a host in service.
pub fn there(hosts: &BTreeMap<ZoneId, u32>) -> Zones {
    hosts.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| *zone).collect()
}

/// What the decision module has to hear for `after` to hold where `before` did.
pub fn difference(before: &InUse, after: &InUse) -> Vec<Event> {
    let pairs: BTreeSet<Governed> = before.keys().chain(after.keys()).copied().collect();
    let of = |all: &InUse, pair| all.get(pair).copied().unwrap_or(Zones::ALL);
    let differing = pairs.iter().filter(|pair| of(before, pair) != of(after, pair));
    differing
        .map(|pair| Event::ReachRule { class: pair.0, zone: pair.1, allowed_zones: of(after, pair) })
        .collect()
}

/// Why a change can't be made without harm: a pair that would be left without a host while both hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("while both hold, product {} from zone {} has no host in a permitted zone", product.0, from.0)]
pub struct Bare {
    pub product: ClassId,
    pub from: ZoneId,
    /// What both permit; none of it has a host in service.
    pub zones: Zones,
}

/// More comes for these zones alone than their hosts carry.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{demand:.1} a second may be served in {} zone(s) alone, which carry {carries:.1}", zones.iter().count())]
pub struct Over {
    pub zones: Zones,
    /// Whose demand that is.
    pub pairs: Vec<Governed>,
    /// Txns a second, both.
    pub demand: f64,
    pub carries: f64,
}

impl Bare {
    /// What an operator can do.
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

/// Whether every pair has a host in a permitted zone, but for those that may be declined meanwhile.
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

/// Whether what comes can be served where it may: a flow from pairs to zones. Pairs that are not governed may go
/// anywhere; zones without a capacity carry nothing. All in txns a second.
///
/// # Errors
/// Zones for which more comes, that may go nowhere else, than they carry.
pub fn over(
    in_use: &InUse,
    demand: &BTreeMap<Governed, f64>,
    capacity: &BTreeMap<ZoneId, f64>,
) -> Result<(), Over> {
    /// Less than this part of all that comes is rounding.
    const SLACK: f64 = 1e-9;
    let zones_of = |pair: &Governed| in_use.get(pair).copied().unwrap_or(Zones::ALL);
    let mut kinds: BTreeMap<Zones, f64> = BTreeMap::new();
    for (pair, rate) in demand.iter().filter(|(_, rate)| **rate > 0.0) {
        let zones = zones_of(pair);
        // What is declined asks for nothing.
        if !zones.is_empty() {
            *kinds.entry(zones).or_default() += rate;
        }
    }
    let kinds: Vec<(Zones, f64)> = kinds.into_iter().collect();
    let zones: Vec<(ZoneId, f64)> = capacity.iter().map(|(zone, room)| (*zone, *room)).collect();
    let slack = SLACK * kinds.iter().map(|(_, rate)| rate).sum::<f64>().max(1.0);
    let mut flow = vec![vec![0.0; zones.len()]; kinds.len()];
    loop {
        let left = |kind: usize, flow: &[Vec<f64>]| kinds[kind].1 - flow[kind].iter().sum::<f64>();
        let room =
            |zone: usize, flow: &[Vec<f64>]| zones[zone].1 - flow.iter().map(|kind| kind[zone]).sum::<f64>();
        // Shortest path from a kind with demand left to a zone with room left, taking back on the way.
        let mut from_kind: Vec<Option<usize>> = vec![None; zones.len()];
        let mut from_zone: Vec<Option<usize>> = vec![None; kinds.len()];
        let mut seen: Vec<bool> = (0..kinds.len()).map(|kind| left(kind, &flow) > slack).collect();
        let mut queue: VecDeque<usize> = (0..kinds.len()).filter(|kind| seen[*kind]).collect();
        if queue.is_empty() {
            return Ok(());
        }
        let mut end = None;
        while let Some(kind) = queue.pop_front() {
            for zone in (0..zones.len()).filter(|zone| kinds[kind].0.contains(zones[*zone].0)) {
                if from_kind[zone].is_some() {
                    continue;
                }
                from_kind[zone] = Some(kind);
                if room(zone, &flow) > slack {
                    end = end.or(Some(zone));
                }
                for back in 0..kinds.len() {
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
            // What was reached can go nowhere else: its zones are full of nothing but it.
            let named: Zones =
                (0..zones.len()).filter(|z| from_kind[*z].is_some()).map(|z| zones[z].0).collect();
            let of = |kind: usize| seen[kind].then_some(kinds[kind]);
            let reached: Vec<(Zones, f64)> = (0..kinds.len()).filter_map(of).collect();
            let pairs = demand.iter().filter(|(_, rate)| **rate > 0.0).map(|(pair, _)| *pair);
            let pairs = pairs.filter(|pair| reached.iter().any(|(zones, _)| *zones == zones_of(pair)));
            let named_room = zones.iter().filter(|(zone, _)| named.contains(*zone)).map(|(_, room)| room);
            return Err(Over {
                zones: named,
                pairs: pairs.collect(),
                demand: reached.iter().map(|(_, rate)| rate).sum(),
                carries: named_room.sum(),
            });
        };
        let mut path = vec![];
        let (mut zone, mut amount) = (end, room(end, &flow));
        while let Some(kind) = from_kind[zone] {
            path.push((kind, zone));
            match from_zone[kind] {
                Some(back) => {
                    amount = f64::min(amount, flow[kind][back]);
                    zone = back;
                }
                None => {
                    amount = f64::min(amount, left(kind, &flow));
                    break;
                }
            }
        }
        for (kind, zone) in path {
            flow[kind][zone] += amount;
            if let Some(back) = from_zone[kind] {
                flow[kind][back] -= amount;
            }
        }
    }
}
