//! Compiles the `[shares]` section into a [`Plan`]: which tenant owns which txns, the tree of tenants, their guarantees,
//! and the check that all guarantees can be kept. A plan has only indices and bit sets; tenant names are in [`Names`].

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, ZoneId, Zones};
use toml::Spanned;

use crate::pool::CapacityFlow;
use crate::unfit::{Kind, Rule, Span, Unfit};
use crate::{Holder, Section, Tenant, TenantRule, Zone};

/// The fleet that the section is compiled for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// In the order of their indices.
    pub zones: Vec<ZoneFact>,
    pub products: Vec<String>,
    /// Residency: the zones that may serve a request class (`product`) that arrives in a zone. For a pair without an
    /// entry all zones may.
    pub permits: BTreeMap<(ClassId, ZoneId), Zones>,
    /// Levels of service, from full service down.
    pub levels: Vec<String>,
}

/// A zone, its number of proxies and its capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFact {
    pub name: String,
    pub proxies: u32,
    /// Rate that its hosts can serve when all are up and warm, in txns per second.
    pub capacity_per_s: f64,
}

/// Tenant names by index, for log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names(pub Vec<String>);

impl Names {
    pub fn of(&self, tenant: Tenant) -> &str {
        self.0.get(tenant.0 as usize).map_or("?", String::as_str)
    }
}

/// Index of a claim: the txns of one tenant that arrive in one zone. It is the smallest unit of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim(pub u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClaimEntry {
    pub tenant: Tenant,
    pub zone: Zone,
    /// Index of the set of zones whose hosts may serve it.
    pub zone_set: u32,
    /// Guaranteed rate under full service, in txns per second.
    pub guarantee: f64,
}

/// Settings of a tenant. Rates are in txns per second.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TenantSettings {
    pub guarantee: f64,
    pub weight: f64,
    pub ceiling: f64,
    pub lends: bool,
    pub borrows: bool,
    pub gives_way: u32,
    pub back_within: f64,
    /// The fraction of the guarantee that holds, by level. It is 1 for levels beyond the end.
    pub level_fractions: Vec<f64>,
    at: Span,
}

/// A compiled section. Its nodes are the root, the tenants and the claims, numbered in breadth-first order.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Parent by node: the root, then the tenants, then the claims. Children of one parent are adjacent.
    pub(crate) parent: Vec<u32>,
    /// By node before the claims: the begin and end of the range of its children.
    pub(crate) children: Vec<(u32, u32)>,
    /// By node of the root and the tenants; the root has neutral settings.
    pub(crate) settings: Vec<TenantSettings>,
    pub(crate) claims: Vec<ClaimEntry>,
    pub(crate) zone_sets: Vec<Zones>,
    /// Node by tenant.
    node: Vec<u32>,
    owner: BTreeMap<(ZoneId, ClassId), Claim>,
    pub(crate) zone_count: usize,
    pub(crate) floor_fraction: f64,
    pub(crate) controllers: u16,
    pub(crate) min_reduction_interval: f64,
    pub(crate) silent_after: f64,
}

impl Plan {
    pub fn tenants(&self) -> usize {
        self.node.len()
    }
    /// All claims with their tenant and zone.
    pub fn claims(&self) -> impl Iterator<Item = (Claim, Tenant, Zone)> + '_ {
        self.claims.iter().enumerate().map(|(at, claim)| (Claim(at as u32), claim.tenant, claim.zone))
    }
    /// The claim of that tenant in that zone, if it has one.
    pub fn claim(&self, tenant: Tenant, zone: Zone) -> Option<Claim> {
        let (begin, end) = self.children[*self.node.get(tenant.0 as usize)? as usize];
        let first = self.first_claim() as u32;
        if begin < first {
            return None;
        }
        let (begin, end) = (begin - first, end - first);
        let claims = &self.claims[begin as usize..end as usize];
        let at = claims.binary_search_by_key(&zone, |claim| claim.zone).ok()?;
        Some(Claim(begin + at as u32))
    }
    /// The claim that a txn belongs to, by the zone whose proxies it arrived at and its request class (`product`).
    pub fn owner(&self, zone: ZoneId, product: ClassId) -> Option<Claim> {
        self.owner.get(&(zone, product)).copied()
    }
    /// All pairs of zone and request class (`product`) that a claim owns.
    pub fn owned(&self) -> impl Iterator<Item = (ZoneId, ClassId, Claim)> + '_ {
        self.owner.iter().map(|((zone, product), claim)| (*zone, *product, *claim))
    }
    pub fn tenant(&self, claim: Claim) -> Tenant {
        self.claims[claim.0 as usize].tenant
    }
    pub fn zone(&self, claim: Claim) -> Zone {
        self.claims[claim.0 as usize].zone
    }
    /// The zones whose hosts may serve the claim.
    pub fn reach(&self, claim: Claim) -> Zones {
        self.zone_sets[self.claims[claim.0 as usize].zone_set as usize]
    }
    /// Guaranteed rate of the claim under full service, in txns per second.
    pub fn guarantee(&self, claim: Claim) -> f64 {
        self.claims[claim.0 as usize].guarantee
    }
    /// The longest time after which the tenant must have its guarantee back, ms; infinite if not configured.
    pub fn back_within(&self, tenant: Tenant) -> f64 {
        self.settings[self.node[tenant.0 as usize] as usize].back_within
    }
    /// Rate of the claim that one controller admits without a grant, in txns per second.
    pub fn floor(&self, claim: Claim) -> f64 {
        self.floor_fraction * self.guarantee(claim) / f64::from(self.controllers)
    }
    /// Whether the floors were divided among at least as many controllers as there are.
    pub fn holds_for(&self, holders: &BTreeSet<Holder>) -> bool {
        holders.len() <= usize::from(self.controllers)
    }
    pub(crate) fn first_claim(&self) -> usize {
        self.children.len()
    }
    /// By node: the guaranteed rate under that level of service; `None` is full service.
    pub(crate) fn guarantees(&self, level: Option<usize>) -> Vec<f64> {
        let fraction = |settings: &TenantSettings| {
            level.and_then(|at| settings.level_fractions.get(at)).copied().unwrap_or(1.0)
        };
        self.settings.iter().map(|settings| settings.guarantee * fraction(settings)).collect()
    }

    /// Checks that guarantees are restored in time: the grant of a silent controller must expire first, after `longest`
    /// ms.
    ///
    /// # Errors
    /// The first tenant that requires its guarantee back sooner than that.
    pub fn fits(&self, section: &Section, longest: f64) -> Result<(), Unfit> {
        for (tenant, rule) in section.tenant.iter().enumerate() {
            let wanted = self.back_within(Tenant(tenant as u32));
            if wanted < longest {
                let at = rule.back_within_ms.as_ref().map_or(rule.name.span(), Spanned::span);
                return Err(Unfit::Slow { tenant: rule.name.get_ref().clone(), wanted, longest, at });
            }
        }
        Ok(())
    }
}

/// Tenant indices are sent on the wire, so their number is bounded.
const MOST_TENANTS: usize = 1_000_000;

/// Compiles a section: resolves names, rejects cycles and rules without effect, and checks that all guarantees can be
/// kept.
///
/// # Errors
/// The first error found; for guarantees that can't all be kept, the smallest conflicting set of rules found.
pub fn compile(section: &Section, facts: &Facts) -> Result<Plan, Unfit> {
    // A `Zones` bit set can't represent more zones.
    if facts.zones.len() > usize::from(Zones::CAPACITY) {
        return Err(Unfit::TooMany { what: "zones", most: usize::from(Zones::CAPACITY), at: 0..0 });
    }
    if section.tenant.len() > MOST_TENANTS {
        let at = section.tenant[MOST_TENANTS].name.span();
        return Err(Unfit::TooMany { what: "tenants", most: MOST_TENANTS, at });
    }
    check_values(section)?;
    let parents = resolve_parents(section)?;
    let mut plan = build_tree(section, &parents, facts)?;
    assign_owners(section, facts, &mut plan)?;
    check_guarantees_in_tree(section, &plan)?;
    check_guarantees_in_zones(section, facts, &plan)?;
    Ok(plan)
}

fn name(rule: &TenantRule) -> String {
    rule.name.get_ref().clone()
}

/// Rejects a value that does not satisfy `fits` or is not finite.
fn check_value(
    what: &'static str,
    value: &Spanned<f64>,
    fits: bool,
    expected: &'static str,
) -> Result<(), Unfit> {
    match fits && value.get_ref().is_finite() {
        true => Ok(()),
        false => {
            let found = value.get_ref().to_string();
            Err(Unfit::Figure { what, found, expected, at: value.span() })
        }
    }
}

fn check_values(section: &Section) -> Result<(), Unfit> {
    let floor = &section.floor;
    let part = *floor.part.get_ref();
    check_value("floor.part", &floor.part, (0.0..=1.0).contains(&part), "0 to 1")?;
    if *floor.stewards.get_ref() == 0 {
        let (what, found, expected) =
            ("floor.stewards", "0".into(), "the number of controllers that the fleet may have");
        return Err(Unfit::Figure { what, found, expected, at: floor.stewards.span() });
    }
    let again = &section.gives_way_again_after_ms;
    check_value("gives_way_again_after_ms", again, *again.get_ref() >= 0.0, "0 or more")?;
    let silent = &section.silent_for_ms;
    check_value("silent_for_ms", silent, *silent.get_ref() > 0.0, "more than 0")?;
    for rule in &section.tenant {
        if let Some(value) = &rule.guarantee_per_s {
            check_value("guarantee_per_s", value, *value.get_ref() >= 0.0, "0 or more")?;
        }
        if let Some(value) = &rule.weight {
            check_value("weight", value, *value.get_ref() > 0.0, "more than 0")?;
        }
        if let Some(value) = &rule.ceiling_per_s {
            check_value("ceiling_per_s", value, *value.get_ref() > 0.0, "more than 0")?;
        }
        if let Some(value) = &rule.back_within_ms {
            check_value("back_within_ms", value, *value.get_ref() > 0.0, "more than 0")?;
        }
        for at in &rule.at_level {
            let part = Spanned::new(at.span(), at.get_ref().part);
            check_value("part", &part, (0.0..1.0).contains(part.get_ref()), "0 to less than 1")?;
        }
        check_effective(rule)?;
    }
    Ok(())
}

/// Rejects rules that are valid by themselves but have no effect.
fn check_effective(rule: &TenantRule) -> Result<(), Unfit> {
    let has_guarantee = rule.guarantee_per_s.as_ref().is_some_and(|value| *value.get_ref() > 0.0);
    let is = |flag: &Option<Spanned<bool>>, what| {
        flag.as_ref().filter(|flag| *flag.get_ref() == what).map(Spanned::span)
    };
    let never = "the tenant never borrows";
    let found = [
        (
            rule.gives_way.as_ref().map(Spanned::span).filter(|_| is(&rule.borrows, false).is_some()),
            "gives_way",
            never,
        ),
        (
            rule.weight.as_ref().map(Spanned::span).filter(|_| is(&rule.borrows, false).is_some()),
            "weight",
            never,
        ),
        (
            is(&rule.lends, false).filter(|_| !has_guarantee),
            "lends = false",
            "the tenant has no guarantee to withhold",
        ),
        (
            is(&rule.borrows, false).filter(|_| !has_guarantee),
            "borrows = false",
            "without a guarantee the tenant would get nothing",
        ),
        (
            rule.back_within_ms.as_ref().map(Spanned::span).filter(|_| !has_guarantee),
            "back_within_ms",
            "the tenant has no guarantee",
        ),
        (
            rule.at_level.first().map(Spanned::span).filter(|_| !has_guarantee),
            "at_level",
            "the tenant has no guarantee",
        ),
        (
            Some(rule.name.span()).filter(|_| rule.products.as_ref().is_some_and(Vec::is_empty)),
            "products = []",
            "no txn belongs to the tenant",
        ),
        (
            Some(rule.name.span())
                .filter(|_| rule.zones.as_ref().is_some_and(Vec::is_empty) && rule.proxies.is_empty()),
            "zones = []",
            "no txn belongs to the tenant",
        ),
    ];
    match found.into_iter().find_map(|(at, rule, why)| Some((at?, rule, why))) {
        Some((at, what, why)) => Err(Unfit::Dead { tenant: name(rule), rule: what, why, at }),
        None => Ok(()),
    }
}

/// The most similar known name, if at least half of its characters are equal by position.
fn most_similar<'a>(name: &str, all: impl Iterator<Item = &'a str>) -> Option<String> {
    let alike = |other: &str| {
        let (a, b) = (name.to_lowercase(), other.to_lowercase());
        a.chars().zip(b.chars()).filter(|(a, b)| a == b).count() * 2
            / a.chars().count().max(b.chars().count()).max(1)
    };
    all.filter(|other| alike(other) >= 1).max_by_key(|other| alike(other)).map(String::from)
}

fn resolve(kind: Kind, wanted: &str, at: Span, known: &BTreeMap<&str, usize>) -> Result<usize, Unfit> {
    known.get(wanted).copied().ok_or_else(|| {
        let similar = most_similar(wanted, known.keys().copied());
        Unfit::Unknown { kind, name: wanted.into(), similar, at }
    })
}

fn resolve_parents(section: &Section) -> Result<Vec<Option<usize>>, Unfit> {
    let mut index_by_name: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, rule) in section.tenant.iter().enumerate() {
        if let Some(first) = index_by_name.insert(rule.name.get_ref(), at) {
            let first = section.tenant[first].name.span();
            return Err(Unfit::Twice { name: name(rule), at: rule.name.span(), first });
        }
    }
    let mut parents = Vec::with_capacity(section.tenant.len());
    for rule in &section.tenant {
        let found = rule
            .parent
            .as_ref()
            .map(|parent| resolve(Kind::Tenant, parent.get_ref(), parent.span(), &index_by_name));
        parents.push(found.transpose()?);
    }
    // Each tenant is visited once. State 0: not visited, 1: on the current path, 2: known to lead to a root tenant.
    let mut state = vec![0u8; parents.len()];
    for start in 0..parents.len() {
        let (mut path, mut current) = (Vec::new(), Some(start));
        while let Some(at) = current.filter(|at| state[*at] == 0) {
            state[at] = 1;
            path.push(at);
            current = parents[at];
        }
        if let Some(begin) = current.filter(|at| state[*at] == 1) {
            let cycle = path.iter().skip_while(|at| **at != begin);
            let cycle: Vec<&TenantRule> = cycle.map(|at| &section.tenant[*at]).collect();
            let at = cycle.iter().filter_map(|rule| rule.parent.as_ref()).map(Spanned::span).collect();
            return Err(Unfit::Circle { names: cycle.into_iter().map(name).collect(), at });
        }
        path.into_iter().for_each(|at| state[at] = 2);
    }
    Ok(parents)
}

fn build_tree(section: &Section, parents: &[Option<usize>], facts: &Facts) -> Result<Plan, Unfit> {
    let levels: BTreeMap<&str, usize> =
        facts.levels.iter().enumerate().map(|(at, level)| (level.as_str(), at)).collect();
    let mut child_tenants: Vec<Vec<usize>> = vec![vec![]; parents.len() + 1];
    for (tenant, parent) in parents.iter().enumerate() {
        child_tenants[parent.map_or(0, |parent| parent + 1)].push(tenant);
    }
    let root_settings = TenantSettings {
        guarantee: 0.0,
        weight: 1.0,
        ceiling: f64::INFINITY,
        lends: true,
        borrows: true,
        gives_way: 0,
        back_within: f64::INFINITY,
        level_fractions: vec![],
        at: 0..0,
    };
    let (mut parent, mut children, mut settings) = (vec![0], vec![], vec![root_settings]);
    let mut node = vec![0; parents.len()];
    // Tenants in breadth-first order, by node; the root has none.
    let (mut order, mut at) = (vec![None], 0);
    while at < order.len() {
        let tenants = &child_tenants[order[at].map_or(0, |tenant: usize| tenant + 1)];
        children.push((order.len() as u32, (order.len() + tenants.len()) as u32));
        for &tenant in tenants {
            node[tenant] = order.len() as u32;
            parent.push(at as u32);
            order.push(Some(tenant));
            settings.push(settings_of(&section.tenant[tenant], &levels)?);
        }
        at += 1;
    }
    for (tenant, rule) in
        section.tenant.iter().enumerate().filter(|(at, _)| !child_tenants[at + 1].is_empty())
    {
        let of = |what: &'static str, at: Option<Span>| at.map(|at| (what, at));
        let first = |names: &Option<Vec<Spanned<String>>>| {
            names.as_ref().map(|names| names.first().map_or(rule.name.span(), Spanned::span))
        };
        let own = of("products", first(&rule.products))
            .or(of("zones", first(&rule.zones)))
            .or(of("proxies", rule.proxies.first().map(Spanned::span)));
        if let Some((what, at)) = own {
            return Err(Unfit::Inner { tenant: name(&section.tenant[tenant]), what, at });
        }
    }
    Ok(Plan {
        parent,
        children,
        settings,
        claims: vec![],
        zone_sets: vec![],
        node,
        owner: BTreeMap::new(),
        zone_count: facts.zones.len(),
        floor_fraction: *section.floor.part.get_ref(),
        controllers: *section.floor.stewards.get_ref(),
        min_reduction_interval: *section.gives_way_again_after_ms.get_ref(),
        silent_after: *section.silent_for_ms.get_ref(),
    })
}

fn settings_of(rule: &TenantRule, levels: &BTreeMap<&str, usize>) -> Result<TenantSettings, Unfit> {
    fn value<T: Copy>(of: &Option<Spanned<T>>, else_: T) -> T {
        of.as_ref().map_or(else_, |value| *value.get_ref())
    }
    let mut level_fractions = Vec::new();
    let mut named = BTreeSet::new();
    for at in &rule.at_level {
        let level = resolve(Kind::Level, &at.get_ref().level, at.span(), levels)?;
        if !named.insert(level) {
            let (rule, tenant) = ("at_level", name(rule));
            return Err(Unfit::Dead {
                tenant,
                rule,
                why: "an earlier entry names the same level",
                at: at.span(),
            });
        }
        level_fractions.resize(level_fractions.len().max(level + 1), 1.0);
        level_fractions[level] = at.get_ref().part;
    }
    Ok(TenantSettings {
        guarantee: value(&rule.guarantee_per_s, 0.0),
        weight: value(&rule.weight, 1.0),
        ceiling: value(&rule.ceiling_per_s, f64::INFINITY),
        lends: value(&rule.lends, true),
        borrows: value(&rule.borrows, true),
        gives_way: value(&rule.gives_way, 0),
        back_within: value(&rule.back_within_ms, f64::INFINITY),
        level_fractions,
        at: rule.guarantee_per_s.as_ref().map_or(rule.name.span(), Spanned::span),
    })
}

/// The zones whose proxies receive the tenant's txns, and whether the tenant has all proxies of that zone.
fn receiving_zones(
    rule: &TenantRule,
    facts: &Facts,
    zones: &BTreeMap<&str, usize>,
) -> Result<BTreeMap<usize, bool>, Unfit> {
    let mut receiving = BTreeMap::new();
    match &rule.zones {
        Some(named) => {
            for zone in named {
                receiving.insert(resolve(Kind::Zone, zone.get_ref(), zone.span(), zones)?, true);
            }
        }
        None if rule.proxies.is_empty() => receiving.extend((0..facts.zones.len()).map(|zone| (zone, true))),
        None => {}
    }
    let mut ranges: BTreeMap<usize, Vec<(u32, u32)>> = BTreeMap::new();
    for range in &rule.proxies {
        let crate::Range { zone, from, to } = range.get_ref();
        let at = resolve(Kind::Zone, zone, range.span(), zones)?;
        let proxies = facts.zones[at].proxies;
        if from > to || *to >= proxies {
            let (found, expected) = (
                format!("{from} to {to} of {proxies}"),
                "from <= to, and both below the zone's number of proxies",
            );
            return Err(Unfit::Figure { what: "proxies", found, expected, at: range.span() });
        }
        if receiving.get(&at) == Some(&true) {
            let (tenant, why) = (name(rule), "the tenant already has all of that zone");
            return Err(Unfit::Dead { tenant, rule: "proxies", why, at: range.span() });
        }
        ranges.entry(at).or_default().push((*from, *to));
    }
    for (zone, mut ranges) in ranges {
        ranges.sort_unstable();
        let reached =
            ranges.iter().fold(0, |next, (from, to)| if *from <= next { next.max(to + 1) } else { next });
        receiving.insert(zone, reached >= facts.zones[zone].proxies);
    }
    Ok(receiving)
}

/// Assigns each pair of zone and request class (`product`) to a claim, with the zones that may serve it. Service levels
/// limit such pairs, so no pair may have two owners.
fn assign_owners(section: &Section, facts: &Facts, plan: &mut Plan) -> Result<(), Unfit> {
    let zones: BTreeMap<&str, usize> =
        facts.zones.iter().enumerate().map(|(at, zone)| (zone.name.as_str(), at)).collect();
    let products: BTreeMap<&str, usize> =
        facts.products.iter().enumerate().map(|(at, product)| (product.as_str(), at)).collect();
    let everywhere: Zones = (0..facts.zones.len() as u16).map(ZoneId).collect();
    let tenants: BTreeMap<u32, usize> = plan.node.iter().enumerate().map(|(at, node)| (*node, at)).collect();
    let mut owned: BTreeMap<(ZoneId, ClassId), (usize, bool)> = BTreeMap::new();
    let mut zone_sets: BTreeMap<Zones, u32> = BTreeMap::new();
    for node in 1..plan.children.len() {
        if plan.children[node].0 != plan.children[node].1 {
            continue;
        }
        let tenant = tenants[&(node as u32)];
        let rule = &section.tenant[tenant];
        let mut own_products = BTreeSet::new();
        match &rule.products {
            Some(named) => {
                for product in named {
                    own_products.insert(resolve(
                        Kind::Product,
                        product.get_ref(),
                        product.span(),
                        &products,
                    )?);
                }
            }
            None => own_products.extend(0..facts.products.len()),
        }
        let begin = plan.parent.len() as u32;
        for (zone, whole) in receiving_zones(rule, facts, &zones)? {
            let arrival_zone = ZoneId(zone as u16);
            let claim = Claim(plan.claims.len() as u32);
            let (mut reach, mut served) = (everywhere, false);
            for product in own_products.iter().map(|product| ClassId(*product as u16)) {
                if let Some((other, other_whole)) = owned.insert((arrival_zone, product), (tenant, whole)) {
                    let product = facts.products[usize::from(product.0)].clone();
                    return Err(shared_pair_error(
                        section,
                        (tenant, whole),
                        (other, other_whole),
                        product,
                        &facts.zones[zone].name,
                    ));
                }
                let permitted = facts
                    .permits
                    .get(&(product, arrival_zone))
                    .map_or(everywhere, |permit| permit.intersection(everywhere));
                // Txns that residency rejects need no capacity.
                if !permitted.is_empty() {
                    plan.owner.insert((arrival_zone, product), claim);
                    reach = reach.intersection(permitted);
                    served = true;
                }
            }
            if served && reach.is_empty() {
                let zone = facts.zones[zone].name.clone();
                return Err(Unfit::NoZone { tenant: name(rule), zone, at: rule.name.span() });
            }
            if served {
                let next = zone_sets.len() as u32;
                let zone_set = *zone_sets.entry(reach).or_insert(next);
                let (tenant, zone) = (Tenant(tenant as u32), Zone(zone as u16));
                plan.claims.push(ClaimEntry { tenant, zone, zone_set, guarantee: 0.0 });
                plan.parent.push(node as u32);
            }
        }
        let end = plan.parent.len() as u32;
        plan.children[node] = (begin, end);
        let guaranteed = plan.settings[node].guarantee;
        if begin == end && guaranteed > 0.0 {
            let zone = "any".into();
            return Err(Unfit::NoZone { tenant: name(rule), zone, at: rule.name.span() });
        }
        let first = plan.children.len();
        for claim in begin as usize..end as usize {
            plan.claims[claim - first].guarantee = guaranteed / f64::from(end - begin);
        }
    }
    let mut in_order: Vec<(u32, Zones)> = zone_sets.into_iter().map(|(zones, at)| (at, zones)).collect();
    in_order.sort_unstable();
    plan.zone_sets = in_order.into_iter().map(|(_, zones)| zones).collect();
    Ok(())
}

fn shared_pair_error(
    section: &Section,
    new: (usize, bool),
    old: (usize, bool),
    product: String,
    zone: &str,
) -> Unfit {
    // If one of them has only some of the zone's proxies, the error is about that one.
    let (partial, other) = if new.1 { (old, new) } else { (new, old) };
    let (rule, other_rule) = (&section.tenant[partial.0], &section.tenant[other.0]);
    let zone = zone.to_string();
    if partial.1 {
        let (first, second) = (&section.tenant[old.0], &section.tenant[new.0]);
        let at = vec![first.name.span(), second.name.span()];
        return Unfit::Shared { first: name(first), second: name(second), product, zone, at };
    }
    let range = rule.proxies.iter().find(|range| range.get_ref().zone == zone);
    let at = vec![range.map_or(rule.name.span(), Spanned::span), other_rule.name.span()];
    Unfit::PartOfZone { tenant: name(rule), other: name(other_rule), product, zone, at }
}

fn guarantee_text(section: &Section, tenant: usize, per_s: f64) -> String {
    format!("{} is guaranteed {per_s}/s", section.tenant[tenant].name.get_ref())
}

/// Checks that no parent has a guarantee or a ceiling below the sum of its children's guarantees.
fn check_guarantees_in_tree(section: &Section, plan: &Plan) -> Result<(), Unfit> {
    let tenants: BTreeMap<u32, usize> = plan.node.iter().enumerate().map(|(at, node)| (*node, at)).collect();
    // By node: the guarantees of its children with their tenants. A child without a guarantee of its own passes on those
    // of its children.
    let mut guaranteed: Vec<Vec<(f64, usize)>> = vec![vec![]; plan.children.len()];
    for node in (1..plan.children.len()).rev() {
        let (tenant, settings) = (tenants[&(node as u32)], &plan.settings[node]);
        let rule = &section.tenant[tenant];
        let mut below = std::mem::take(&mut guaranteed[node]);
        below.sort_by(|a, b| b.0.total_cmp(&a.0));
        let sum: f64 = below.iter().map(|(per_s, _)| per_s).sum();
        let own = rule.guarantee_per_s.as_ref().filter(|_| !below.is_empty() || settings.guarantee > 0.0);
        let limits = [
            own.filter(|_| !below.is_empty()).map(|own| (own.span(), *own.get_ref(), "is guaranteed")),
            rule.ceiling_per_s.as_ref().map(|ceiling| (ceiling.span(), *ceiling.get_ref(), "is limited to")),
        ];
        let own_or_below: Vec<(f64, usize)> = match own {
            Some(own) => vec![(*own.get_ref(), tenant)],
            None => below.clone(),
        };
        for (which, limit) in limits.into_iter().enumerate() {
            let Some((at, available, verb)) = limit else { continue };
            // The tenant's own guarantee is checked against its ceiling, its children's guarantees against both.
            let mut checked =
                if which == 1 && own_or_below.iter().map(|(per_s, _)| per_s).sum::<f64>() > available {
                    &own_or_below
                } else {
                    &below
                };
            if checked.is_empty() {
                checked = &own_or_below;
            }
            let sum = checked.iter().map(|(per_s, _)| per_s).sum::<f64>();
            if sum <= available * (1.0 + 1e-9) {
                continue;
            }
            let (mut promised, mut rules) =
                (0.0, vec![Rule { at, text: format!("{} {verb} {available}/s", name(rule)) }]);
            for (per_s, tenant) in checked {
                if promised > available * (1.0 + 1e-9) {
                    break;
                }
                promised += per_s;
                let at = plan.settings[plan.node[*tenant] as usize].at.clone();
                rules.push(Rule { at, text: guarantee_text(section, *tenant, *per_s) });
            }
            return Err(Unfit::Contradict { rules, promised, available, lost: vec![] });
        }
        let parent_node = plan.parent[node] as usize;
        let own = own.map(|own| (own.get_ref().max(sum), tenant)).filter(|own| own.0 > 0.0);
        match own {
            Some(own) => guaranteed[parent_node].push(own),
            None => guaranteed[parent_node].extend(below),
        }
    }
    Ok(())
}

/// The guarantee of one tenant, and the rates that it needs by zone set.
struct TenantGuarantee {
    tenant: usize,
    total: f64,
    rates: Vec<(usize, f64)>,
}

/// Checks that all guarantees fit into the zones that residency permits, after the loss of every combination of as many
/// zones as must be survived.
fn check_guarantees_in_zones(section: &Section, facts: &Facts, plan: &Plan) -> Result<(), Unfit> {
    let (mut zone_sets, guarantees) = guarantees(plan);
    let full: Vec<f64> = facts.zones.iter().map(|zone| zone.capacity_per_s.max(0.0)).collect();
    let survive = section.survive.as_ref().map_or(0, |survive| survive.get_ref().zones);
    if survive > 0 && survive >= full.len() {
        let (at, found) = (section.survive.as_ref().map_or(0..0, Spanned::span), survive.to_string());
        return Err(Unfit::Figure {
            what: "survive.zones",
            found,
            expected: "fewer than the number of zones",
            at,
        });
    }
    let all: Vec<usize> = (0..guarantees.len()).collect();
    let sums = |of: &[usize]| {
        let mut sums = vec![0.0; zone_sets.len()];
        let rates = of.iter().flat_map(|guarantee| &guarantees[*guarantee].rates);
        rates.for_each(|(zone_set, per_s)| sums[*zone_set] += per_s);
        sums
    };
    let cut =
        |of: &[usize], capacity: &[f64]| CapacityFlow::new(&zone_sets, capacity).route_all(&sums(of)).err();
    let mut smallest: Option<(Vec<usize>, Vec<usize>)> = None;
    // The case without a loss comes first: a conflict there does not depend on `survive`.
    let losses = std::iter::once(vec![])
        .chain((survive > 0).then(|| combinations(full.len(), survive)).into_iter().flatten());
    for lost in losses {
        if smallest.as_ref().is_some_and(|(_, lost)| lost.is_empty()) {
            break;
        }
        let mut capacity = full.clone();
        lost.iter().for_each(|zone: &usize| capacity[*zone] = 0.0);
        let Some(found) = cut(&all, &capacity) else { continue };
        // The largest guarantees come first, so that few are needed; then each one that is not needed is removed.
        let mut of: Vec<usize> = all.clone();
        of.retain(|at| guarantees[*at].rates.iter().any(|rate| found.zone_sets.contains(&rate.0)));
        of.sort_by(|a, b| guarantees[*b].total.total_cmp(&guarantees[*a].total));
        let (mut too_few, mut enough) = (0, of.len());
        while too_few + 1 < enough {
            let mid = (too_few + enough) / 2;
            if cut(&of[..mid], &capacity).is_some() {
                enough = mid;
            } else {
                too_few = mid;
            }
        }
        of.truncate(enough);
        for at in (0..of.len()).rev() {
            let remaining: Vec<usize> = [&of[..at], &of[at + 1..]].concat();
            if cut(&remaining, &capacity).is_some() {
                of = remaining;
            }
        }
        if smallest.as_ref().is_none_or(|(known, _)| of.len() < known.len()) {
            smallest = Some((of, lost));
        }
    }
    let Some((of, lost)) = smallest else { return Ok(()) };
    let mut capacity = full;
    lost.iter().for_each(|zone| capacity[*zone] = 0.0);
    let available = cut(&of, &capacity).map_or(0.0, |cut| cut.capacity);
    let promised = of.iter().flat_map(|guarantee| &guarantees[*guarantee].rates);
    let found = cut(&of, &capacity).map_or(vec![], |cut| cut.zone_sets);
    let promised = promised.filter(|rate| found.contains(&rate.0)).map(|rate| rate.1).sum();
    let mut rules: Vec<Rule> = of
        .iter()
        .map(|at| {
            let TenantGuarantee { tenant, total, .. } = &guarantees[*at];
            Rule {
                at: plan.settings[plan.node[*tenant] as usize].at.clone(),
                text: guarantee_text(section, *tenant, *total),
            }
        })
        .collect();
    rules.sort_by_key(|rule| rule.at.start);
    if let Some(survive) = section.survive.as_ref().filter(|_| !lost.is_empty()) {
        let count = survive.get_ref().zones;
        rules.push(Rule { at: survive.span(), text: format!("the loss of {count} zones must be survived") });
    }
    zone_sets.clear();
    let lost = lost.iter().map(|zone| facts.zones[*zone].name.clone()).collect();
    Err(Unfit::Contradict { rules, promised, available, lost })
}

/// The guarantee of each tenant beyond those of its children, and the zone sets for them: those of the plan, and for the
/// guarantee of a parent the union of the zones that its children may use.
fn guarantees(plan: &Plan) -> (Vec<Zones>, Vec<TenantGuarantee>) {
    let mut zone_sets = plan.zone_sets.clone();
    let tenants: BTreeMap<u32, usize> = plan.node.iter().enumerate().map(|(at, node)| (*node, at)).collect();
    let first = plan.first_claim();
    let mut below = vec![0.0; plan.children.len()];
    let mut reach = vec![Zones::NONE; plan.children.len()];
    let mut guarantees = Vec::new();
    for node in (1..plan.children.len()).rev() {
        let (begin, end) = plan.children[node];
        let tenant = tenants[&(node as u32)];
        let own = plan.settings[node].guarantee;
        let leaf = begin as usize >= first;
        if leaf {
            let claims = &plan.claims[begin as usize - first..end as usize - first];
            let zones = claims.iter().map(|claim| plan.zone_sets[claim.zone_set as usize]);
            reach[node] = zones.fold(Zones::NONE, Zones::union);
            if own > 0.0 {
                let rates = claims.iter().map(|claim| (claim.zone_set as usize, claim.guarantee)).collect();
                guarantees.push(TenantGuarantee { tenant, total: own, rates });
            }
        } else if own > below[node] * (1.0 + 1e-9) {
            let zone_set =
                zone_sets.iter().position(|zone_set| *zone_set == reach[node]).unwrap_or_else(|| {
                    zone_sets.push(reach[node]);
                    zone_sets.len() - 1
                });
            guarantees.push(TenantGuarantee {
                tenant,
                total: own,
                rates: vec![(zone_set, own - below[node])],
            });
        }
        let parent_node = plan.parent[node] as usize;
        below[parent_node] += own.max(below[node]);
        reach[parent_node] = reach[parent_node].union(reach[node]);
    }
    guarantees.reverse();
    (zone_sets, guarantees)
}

/// All combinations of `size` of the indices below `of`.
fn combinations(of: usize, size: usize) -> Vec<Vec<usize>> {
    if size == 0 {
        return vec![vec![]];
    }
    let longer = |set: Vec<usize>| {
        let from = set.last().map_or(0, |last| last + 1);
        (from..of).map(move |next| [&set[..], &[next]].concat()).collect::<Vec<_>>()
    };
    combinations(of, size - 1).into_iter().flat_map(longer).collect()
}
