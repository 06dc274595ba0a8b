//! Rules on which zones may serve a request class.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, ClassSet, RequestClass, ZoneId, Zones};

use crate::{ClassDemand, Reach, TableKey};

/// The reach of each request class in each home zone.
pub struct ReachRules {
    zones: u16,
    all_zones: Zones,
    /// By request class: whether it must not leave its zone.
    own_zone: Vec<bool>,
    rules: BTreeMap<(ZoneId, ClassId), Zones>,
}

impl ReachRules {
    /// There is no residency rule yet for these request classes in so many zones.
    pub fn new(classes: &[RequestClass], zones: u16) -> ReachRules {
        let own_zone = classes.iter().map(|class| class.home_zone_only).collect();
        let all_zones = (0..zones).map(ZoneId).collect();
        ReachRules { zones, all_zones, own_zone, rules: BTreeMap::new() }
    }

    pub fn zones(&self) -> impl Iterator<Item = ZoneId> + Clone {
        (0..self.zones).map(ZoneId)
    }

    /// Sets a residency rule; returns whether that changes anything. [`Zones::ALL`] removes the rule.
    pub fn set(&mut self, zone: ZoneId, class: ClassId, zones: Zones) -> bool {
        match zones {
            Zones::ALL => self.rules.remove(&(zone, class)).is_some(),
            zones => self.rules.insert((zone, class), zones) != Some(zones),
        }
    }

    /// No residency rule is in force for any request class in any zone.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// The given request classes that have a residency rule in the zone.
    pub fn governed(&self, zone: ZoneId, classes: ClassSet) -> ClassSet {
        let rules = self.rules.range((zone, ClassId(0))..=(zone, ClassId(u16::MAX)));
        ClassSet(rules.fold(0, |all, ((_, id), _)| all | ClassSet::one(*id).0) & classes.0)
    }

    pub fn reach(&self, home: ZoneId, class: ClassId) -> Reach {
        let own_zone = self.own_zone.get(usize::from(class.0)).copied().unwrap_or_default();
        Reach::new(self.rules.get(&(home, class)).copied(), own_zone, home, self.all_zones)
    }

    /// All request classes.
    pub fn all_classes(&self) -> ClassSet {
        let ids = (0..self.own_zone.len() as u16).map(ClassId);
        ClassSet(ids.fold(0, |all, id| all | ClassSet::one(id).0))
    }

    /// The request classes of the home zone, grouped by their reach.
    pub fn classes_by_reach(&self, home: ZoneId) -> BTreeMap<Reach, ClassSet> {
        let mut classes = BTreeMap::new();
        for id in (0..self.own_zone.len() as u16).map(ClassId) {
            classes.entry(self.reach(home, id)).or_insert(ClassSet(0)).0 |= ClassSet::one(id).0;
        }
        classes
    }

    /// By home zone: the reaches in use, and the two that show what a zone has with and without its
    /// neighbours.
    pub fn reaches(&self) -> BTreeSet<(ZoneId, Reach)> {
        let used = |home| self.classes_by_reach(home).into_keys().chain([Reach::AnyZone, Reach::HomeZone]);
        self.zones().flat_map(|home| used(home).map(move |reach| (home, reach))).collect()
    }

    /// Whether hosts of the zone are forbidden in the table because a request class with a residency rule may
    /// use it.
    pub fn forbids(&self, table: &TableKey, zone: ZoneId) -> bool {
        let governed = || self.governed(table.0, ClassSet(u64::MAX)).0 != 0;
        !table.1.contains(table.0, zone) && (table.1 != Reach::HomeZone || governed())
    }

    /// By home zone: the tree for the hosts of all zones, and one for each further reach in use.
    pub fn trees(&self) -> BTreeSet<(ZoneId, Reach)> {
        let trees = |home| self.classes_by_reach(home).into_keys().map(move |reach| (home, reach.tree()));
        self.zones().flat_map(trees).chain(self.zones().map(|home| (home, Reach::AnyZone))).collect()
    }

    /// Txns per second that each zone has to serve, and the fraction of them that may be served elsewhere. A
    /// request class that has to leave its zone counts where it is served, in proportion to the weights
    /// there.
    pub fn zone_demands(
        &self,
        class_demands: &BTreeMap<ZoneId, Vec<ClassDemand>>,
        weights: &[f64],
    ) -> (Vec<f64>, f64) {
        let (mut demands, mut movable) = (vec![0.0; weights.len()], 0.0);
        for (home, class_demand) in class_demands.iter().flat_map(|(home, class_demands)| {
            class_demands.iter().map(move |class_demand| (*home, class_demand))
        }) {
            let reach = self.reach(home, class_demand.id);
            if reach.contains(home, home) {
                movable += if reach == Reach::HomeZone { 0.0 } else { class_demand.total };
                demands[usize::from(home.0)] += class_demand.total;
                continue;
            }
            let weight_there =
                |(zone, weight): (ZoneId, &f64)| if reach.contains(home, zone) { *weight } else { 0.0 };
            let weights_there: Vec<f64> = self.zones().zip(weights).map(weight_there).collect();
            let all = weights_there.iter().sum::<f64>().max(1e-9);
            demands
                .iter_mut()
                .zip(weights_there)
                .for_each(|(demand, weight)| *demand += class_demand.total * weight / all);
        }
        let all = demands.iter().sum::<f64>().max(1e-9);
        (demands, movable / all)
    }
}
