//! Plans the desired state step by step: the capacity of hosts, which hosts to withdraw, which hosts of other
//! zones join, the entries of each table in use and the proxies assigned to it, and the admission levels.

use super::*;

/// The view of the fleet on which a plan is based.
#[derive(Default)]
pub struct FleetView {
    /// Hosts that may carry something, and which fraction of their listed weight.
    available: Vec<(HostId, f64)>,
    /// Every available host is gated.
    pub all_gated: bool,
    /// Reaches, by home zone, in which most of the weight of warm hosts is gated; never the reach of all
    /// hosts.
    short_reaches: BTreeSet<(ZoneId, Reach)>,
    /// Hosts that the plan withdraws.
    pub withdrawn: BTreeSet<HostId>,
    pub class_demands: BTreeMap<ZoneId, Vec<ClassDemand>>,
    pub entries: EntriesByReach,
    /// Zones with hosts that are still warming up.
    cold_zones: BTreeSet<ZoneId>,
}

impl Controller {
    pub(crate) fn desired_state(&mut self, now: f64) -> DesiredState {
        let mut view = self.fleet_view(now);
        self.update_usual_load(now, &view);
        view.withdrawn = self.hosts_to_withdraw(now, &view);
        self.note_hosts_held_back(now, &view);
        self.balance_zones(now, &view);
        view.entries = self.table_entries(&view);
        let trees = self.reach_rules.trees();
        self.proxies.values_mut().for_each(|proxy| proxy.keep(&trees));
        trees.into_iter().for_each(|tree| self.assign_tree(now, tree, &view));
        let mut desired = DesiredState::with_withdrawn(view.withdrawn.clone());
        desired.assign(&self.proxies, &self.reach_rules, &view.entries, &self.published);
        self.reach_rules.zones().for_each(|zone| self.plan_levels(now, zone, &view, &mut desired));
        desired
    }

    fn fleet_view(&self, now: f64) -> FleetView {
        let listed = self.hosts.iter().filter(|(_, host)| host.standing == Availability::InService);
        let available =
            listed.filter_map(|(id, host)| Some((*id, host.weight_fraction(now, &self.warmup)?))).collect();
        let window = f64::max(5_000.0, self.report_cover + BUCKET_MS);
        let class_demands =
            ClassDemand::by_zone(&self.classes, self.reach_rules.zones(), &self.proxies, now, window);
        let mut view = FleetView { available, class_demands, all_gated: true, ..FleetView::default() };
        let mut open = BTreeMap::new();
        for host in view.available.iter().map(|(id, _)| &self.hosts[id]) {
            let weight = if host.gate.closed { -host.weight } else { host.weight };
            view.all_gated &= host.gate.closed;
            match host.is_warm(now, &self.warmup) {
                true => *open.entry(host.zone).or_insert(0.0) += weight,
                false => drop(view.cold_zones.insert(host.zone)),
            }
        }
        let is_short = |(home, reach): &(ZoneId, Reach)| {
            let open_in_reach =
                open.iter().filter(|(zone, _)| reach.contains(*home, **zone)).map(|(_, open)| *open);
            *reach != Reach::AnyZone && open_in_reach.sum::<f64>() < 0.0
        };
        view.short_reaches = self.reach_rules.reaches().into_iter().filter(is_short).collect();
        view
    }

    pub(crate) fn available<'a>(
        &'a self,
        view: &'a FleetView,
    ) -> impl Iterator<Item = (HostId, &'a Host, f64)> {
        view.available.iter().map(|(id, fraction)| (*id, &self.hosts[id], *fraction))
    }

    /// If every host is gated, gates are ignored. The same holds within a reach that is short of hosts, where
    /// a request class must not leave it. Cold hosts are not restored there: they would get all traffic.
    fn hosts_to_withdraw(&self, now: f64, view: &FleetView) -> BTreeSet<HostId> {
        let is_used =
            |(home, reach): &&(ZoneId, Reach)| self.reach_rules.classes_by_reach(*home).contains_key(reach);
        let binding: Vec<&(ZoneId, Reach)> = view.short_reaches.iter().filter(is_used).collect();
        let admissible = self.admissible_cold_hosts(now, view);
        let in_service = |(id, host, _): &(HostId, &Host, f64)| {
            let short = view.short_reaches.contains(&(host.zone, Reach::HomeZone));
            let must_stay = || binding.iter().any(|(home, reach)| reach.contains(*home, host.zone));
            let gated = host.gate.closed && !view.all_gated && !must_stay();
            !gated && (!short && admissible.contains(id) || host.is_warm(now, &self.warmup))
        };
        let in_service: BTreeSet<HostId> =
            self.available(view).filter(in_service).map(|available| available.0).collect();
        self.hosts.keys().filter(|id| !in_service.contains(id)).copied().collect()
    }

    /// Updates the fractions of weight that hosts of other zones have in a zone's tables.
    fn balance_zones(&mut self, now: f64, view: &FleetView) {
        let zones = usize::from(self.instance.zone_count);
        let (mut weights, mut utilization) = (vec![0.0; zones], vec![Vec::new(); zones]);
        let open = |(id, host, _): &(HostId, &Host, f64)| !host.gate.closed && !view.withdrawn.contains(id);
        for (_, host, fraction) in self
            .available(view)
            .filter(open)
            .filter(|available| available.1.zone.0 < self.instance.zone_count)
        {
            weights[host.zone.0 as usize] += host.weight * fraction;
            utilization[host.zone.0 as usize].extend(host.utilization);
        }
        let (mut demands, movable) = self.reach_rules.zone_demands(&view.class_demands, &weights);
        if self.instance.proxies_by_zone && self.instance.controllers > 1 {
            // The zones of other controllers are assumed to be as loaded as ours, scaled by the utilization
            // that hosts report. The median is used because some reports may be wrong.
            let utilization: Vec<f64> = utilization.into_iter().map(median).collect();
            let home = self.instance.zone.0 as usize;
            let average_load = demands[home] / weights[home].max(1e-9);
            for (place, demand) in demands.iter_mut().enumerate() {
                let relative_load =
                    if utilization[home] > 0.0 { utilization[place] / utilization[home] } else { 1.0 };
                *demand = demand.max(average_load * relative_load * weights[place]);
            }
        }
        // Evaluated every other tick: fractions that followed every tick would react to their own effect.
        if self.plan_soon || (now / 400.0) as i64 != (self.planned_at / 400.0) as i64 {
            update_spillover(&mut self.spillover, &self.reach_rules, (&weights, &demands), movable);
        }
        let windows = self.hosts.values().flat_map(|host| host.reports.values());
        let goodput: f64 =
            windows.map(|window| window.sum_last(now, self.report_cover + BUCKET_MS).goodput()).sum();
        self.best_goodput =
            f64::max(self.best_goodput * 0.999, goodput / weights.iter().sum::<f64>().max(1e-9));
    }

    /// Gated hosts keep their entries while withdrawn, so that restoring one costs a single order.
    fn table_entries(&self, view: &FleetView) -> EntriesByReach {
        let mut entries: EntriesByReach =
            self.reach_rules.reaches().into_iter().map(|key| (key, vec![])).collect();
        for (id, host, fraction) in self.available(view) {
            let (place, open) = (host.place, !view.withdrawn.contains(&id));
            for (key, reach_entries) in &mut entries {
                let own_zone_fraction = f64::from(host.zone == key.0);
                let zone_fraction =
                    self.spillover.get(&(key.0, key.1, host.zone)).copied().unwrap_or(own_zone_fraction);
                let weight = host.weight
                    * fraction
                    * if key.1.contains(key.0, host.zone) { zone_fraction } else { 0.0 };
                let listed = !open || !host.gate.closed || view.all_gated || view.short_reaches.contains(key);
                reach_entries.extend((weight > 0.0 && listed).then_some(TableEntry {
                    host: id,
                    place,
                    weight,
                    open,
                }));
            }
        }
        entries
    }

    /// Assigns a zone's proxies to the tables of one tree. Request classes whose reach has a tree of its own
    /// get assignments of their own.
    fn assign_tree(&mut self, now: f64, (zone, tree): (ZoneId, Reach), view: &FleetView) {
        // The smallest tables have the size of those that proxies start with, or up to twice that.
        let leaves_zone = !tree.contains(zone, zone);
        let reachable = |host: &Host| host.zone == zone || leaves_zone && tree.contains(zone, host.zone);
        let listed = |host: &&Host| reachable(host) && host.standing != Availability::Removed;
        let count =
            self.hosts.values().filter(listed).count() as u32 / self.proxy_settings.bootstrap_hosts.max(1);
        let group_count = 1 << count.clamp(1, PublishedState::max_groups(self.instance.zone_count)).ilog2();
        let mut open = open_weight_by_group(&view.entries[&(zone, tree)], group_count);
        // Where a request class must not leave the zone, a table with hosts of other zones alone is not
        // assigned.
        if tree == Reach::AnyZone && self.reach_rules.classes_by_reach(zone).contains_key(&Reach::HomeZone) {
            let home_weight = open_weight_by_group(&view.entries[&(zone, Reach::HomeZone)], group_count);
            open.iter_mut()
                .zip(home_weight)
                .filter(|(_, home)| *home <= 0.0)
                .for_each(|(open, _)| *open = 0.0);
        }
        // While assignments are held, a proxy still moves away from a load at which cold hosts fail.
        let gain = if now < self.hold_tables_until { self.warmup.failure_load } else { 0.25 };
        let uses_tree = |demand: &&ClassDemand| self.reach_rules.reach(zone, demand.id).tree() == tree;
        let class_demands: Vec<&ClassDemand> = view.class_demands[&zone].iter().filter(uses_tree).collect();
        assign_proxies(&mut self.proxies, (zone, tree), &class_demands, &open, gain);
    }

    /// Guards zones whose hosts all come back cold: a budget derived from the best recent goodput limits the
    /// admission levels.
    pub(crate) fn cold_budget(&self, zone: ZoneId, view: &FleetView) -> Option<f64> {
        let classes = self.reach_rules.classes_by_reach(zone);
        // Request classes that must leave the zone are served by cold hosts elsewhere.
        let leaves_to = |reach: &Reach, to: &ZoneId| !reach.contains(zone, zone) && reach.contains(zone, *to);
        let meets_cold = |to: &ZoneId| *to == zone || classes.keys().any(|reach| leaves_to(reach, to));
        let load = |reach: &Reach| {
            let demands = view.class_demands[&zone]
                .iter()
                .filter(|demand| self.reach_rules.reach(zone, demand.id) == *reach);
            demands.map(|demand| demand.total).sum::<f64>()
                / open_weight_by_group(&view.entries[&(zone, *reach)], 1)[0].max(1e-9)
        };
        let best_goodput = if self.best_goodput > 0.0 { self.best_goodput } else { f64::INFINITY };
        let cold_budget =
            0.4 * self.warmup.failure_load * best_goodput / classes.keys().map(load).sum::<f64>().max(1e-9);
        view.cold_zones.iter().any(meets_cold).then_some(cold_budget.min(1.0))
    }
}
