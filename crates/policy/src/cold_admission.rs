//! Decides which cold hosts may be in service.
//!
//! While the warm hosts of a table serve its txns, a cold host gets what its weight says. Once they fail, proxies avoid
//! them and turn to the hosts that have just come into service, whatever the weights are. Therefore a cold host comes in
//! where the warm hosts suffice; elsewhere only if the cold hosts that come in together could take all txns.

use super::*;

/// Warm hosts are short if they would get more than this multiple of the usual txns per weight.
const SHORTAGE_LOAD: f64 = 1.5;
/// How many tries a txn causes once hosts fail: clients repeat it.
const TRIES_PER_TXN: f64 = 2.0;
/// A host in service may pass the limits by this factor before it is withdrawn again, so that small shifts of demand
/// cause no orders.
const IN_SERVICE_TOLERANCE: f64 = 1.5;
/// A host that was withdrawn again stays so for this time, in ms, until reports show what that did.
const HOLD_BACK_MS: f64 = 3_000.0;

/// Txns per second that arrive at the proxies of each table.
type DemandByTable = BTreeMap<TableKey, f64>;

/// A host that may be in service.
#[derive(Clone, Copy)]
struct Server {
    id: HostId,
    zone: ZoneId,
    place: u32,
    /// Its listed weight times the fraction of its capacity that it has.
    capacity: f64,
}

/// The hosts that may be in service.
struct Servers {
    warm: Vec<Server>,
    cold: Vec<Server>,
}

impl Controller {
    /// The cold hosts that may be in service.
    pub(crate) fn admissible_cold_hosts(&self, now: f64, view: &FleetView) -> BTreeSet<HostId> {
        let Servers { warm, cold } = self.servers(now, view);
        if cold.is_empty() {
            return BTreeSet::new();
        }
        let demands = self.demand_by_table(view);
        let warm_loads = self.warm_loads(&demands, &warm);
        let (exposed, mut admitted): (Vec<Server>, Vec<Server>) =
            cold.into_iter().partition(|host| self.lacks_warm_hosts(host, &warm_loads));
        let (alone, beside_warm): (Vec<Server>, Vec<Server>) =
            exposed.into_iter().partition(|host| self.is_alone_in_reach(host, &demands, &warm));
        admitted.extend(self.hosts_that_take_all(now, beside_warm, &self.demand_with_repeats(&demands)));
        // Where levels bound what is admitted, they protect the first hosts of a reach.
        let has_levels = self.proxy_settings.level_kind != LevelKind::Off;
        let is_half_warm = |host: &Server| {
            !self.overloaded || self.hosts[&host.id].capacity(now, &self.warmup) >= HALF_WEIGHT_CAPACITY
        };
        admitted.extend(match has_levels {
            true => alone.into_iter().filter(is_half_warm).collect(),
            false => self.hosts_that_take_all(now, alone, &demands),
        });
        admitted.into_iter().map(|host| host.id).collect()
    }

    /// Notes which cold hosts the plan holds back.
    pub(crate) fn note_hosts_held_back(&mut self, now: f64, view: &FleetView) {
        let is_held_back = |(id, host, _): &(HostId, &Host, f64)| {
            !host.gate.closed && !host.is_warm(now, &self.warmup) && view.withdrawn.contains(id)
        };
        let held_back: BTreeSet<HostId> =
            self.available(view).filter(is_held_back).map(|available| available.0).collect();
        for id in held_back.difference(&self.published.withdrawn) {
            if let Some(host) = self.hosts.get_mut(id) {
                host.held_back_until = now + HOLD_BACK_MS;
            }
        }
        self.hosts_held_back = held_back;
    }

    /// Logs which cold hosts are held back, and why.
    pub(crate) fn log_hosts_held_back(&mut self, now: f64, orders: &mut Vec<Order>) {
        let reason = if self.overloaded { "the fleet is overloaded" } else { "warm hosts are short" };
        let lasts = format!("cold hosts are held back: {reason}");
        let ended = "no cold host is held back any more";
        orders.extend(self.held_back_monitor.check(now, self.hosts_held_back.clone(), lasts, ended));
    }

    fn servers(&self, now: f64, view: &FleetView) -> Servers {
        let mut servers = Servers { warm: vec![], cold: vec![] };
        let open = self.available(view).filter(|(_, host, _)| !host.gate.closed || view.all_gated);
        for (id, host, _) in open {
            let capacity = host.weight * host.capacity(now, &self.warmup);
            let server = Server { id, zone: host.zone, place: host.place, capacity };
            let group = if host.is_warm(now, &self.warmup) { &mut servers.warm } else { &mut servers.cold };
            group.push(server);
        }
        servers
    }

    fn demand_by_table(&self, view: &FleetView) -> DemandByTable {
        let mut demands = DemandByTable::new();
        for (zone, class_demands) in &view.class_demands {
            let in_zone: Vec<&Proxy> =
                self.proxies.values().filter(|proxy| proxy.demand.zone == *zone).collect();
            for class_demand in class_demands {
                let reach = self.reach_rules.reach(*zone, class_demand.id);
                for (proxy, rate) in in_zone.iter().zip(&class_demand.rates) {
                    let node = proxy.nodes.get(&reach.tree()).copied().unwrap_or(1).max(1);
                    *demands.entry((*zone, reach, node)).or_default() += rate;
                }
            }
        }
        demands
    }

    /// The demand that is to be expected once hosts fail. The present one may contain repeats already.
    fn demand_with_repeats(&self, demands: &DemandByTable) -> DemandByTable {
        let present = demands.values().sum::<f64>().max(1e-9);
        let growth = f64::max(1.0, TRIES_PER_TXN * self.usual_load.demand() / present);
        demands.iter().map(|(table, demand)| (*table, growth * demand)).collect()
    }

    /// The largest load that a warm host of each table would have, in txns per second and weight; infinite where a table
    /// has no warm host.
    fn warm_loads(&self, demands: &DemandByTable, warm: &[Server]) -> DemandByTable {
        let loads = self.loads(demands, warm);
        let largest = |table: &TableKey| {
            let named = warm.iter().zip(&loads).filter(|(host, _)| self.share_in(table, host) > 0.0);
            named.map(|(_, load)| *load).max_by(f64::total_cmp).unwrap_or(f64::INFINITY)
        };
        demands.keys().map(|table| (*table, largest(table))).collect()
    }

    /// Whether the warm hosts fail, or would be short, in a table that names the host.
    fn lacks_warm_hosts(&self, host: &Server, warm_loads: &DemandByTable) -> bool {
        let tolerance = if self.published.withdrawn.contains(&host.id) { 1.0 } else { IN_SERVICE_TOLERANCE };
        let limit = SHORTAGE_LOAD * self.usual_load.rate() * tolerance;
        self.overloaded
            || warm_loads.iter().any(|(table, load)| *load > limit && self.share_in(table, host) > 0.0)
    }

    /// Whether no warm host may serve the txns of some table that names the host.
    fn is_alone_in_reach(&self, host: &Server, demands: &DemandByTable, warm: &[Server]) -> bool {
        let has_warm_host =
            |(home, reach, _): &TableKey| warm.iter().any(|host| reach.contains(*home, host.zone));
        demands.keys().any(|table| self.share_in(table, host) > 0.0 && !has_warm_host(table))
    }

    /// Of these hosts, those that could take all txns without the warm hosts. Hosts that come into service count on
    /// each other and on those that have just done so, not on those that have failed txns meanwhile.
    fn hosts_that_take_all(&self, now: f64, hosts: Vec<Server>, demands: &DemandByTable) -> Vec<Server> {
        let limit = self.warmup.failure_load * self.usual_load.rate();
        let (waiting, in_service): (Vec<Server>, Vec<Server>) =
            hosts.into_iter().partition(|host| self.published.withdrawn.contains(&host.id));
        let is_new = |host: &Server| now < self.hosts[&host.id].restored_at + self.warmup.failure_after;
        let is_due = |host: &Server| now >= self.hosts[&host.id].held_back_until;
        let mut admitted = self.hosts_within(limit * IN_SERVICE_TOLERANCE, demands, in_service, &[]);
        let new: Vec<Server> = admitted.iter().filter(|host| is_new(host)).copied().collect();
        let waiting = waiting.into_iter().filter(is_due).collect();
        admitted.extend(self.hosts_within(limit, demands, waiting, &new));
        admitted
    }

    /// Of these hosts, those that together with the others would have no higher load than the limit, in txns per second
    /// and capacity.
    fn hosts_within(
        &self,
        limit: f64,
        demands: &DemandByTable,
        mut hosts: Vec<Server>,
        others: &[Server],
    ) -> Vec<Server> {
        // Proxies move to tables that have hosts in service, so the load over all tables together counts too.
        let total_demands = total_demands(demands);
        loop {
            let together: Vec<Server> = hosts.iter().chain(others).copied().collect();
            let loads = self.loads(demands, &together);
            let even_loads = self.loads(&total_demands, &together);
            let count = hosts.len();
            let loads = loads.into_iter().zip(even_loads).map(|(load, even_load)| load.max(even_load));
            let within = hosts.iter().zip(loads).filter(|(_, load)| *load <= limit);
            hosts = within.map(|(host, _)| *host).collect();
            if hosts.len() == count {
                return hosts;
            }
        }
    }

    /// The load of each host in txns per second and capacity, if these hosts share the txns of all tables.
    fn loads(&self, demands: &DemandByTable, hosts: &[Server]) -> Vec<f64> {
        let mut loads = vec![0.0; hosts.len()];
        for (table, demand) in demands {
            let shares: Vec<f64> = hosts.iter().map(|host| self.share_in(table, host)).collect();
            let capacity: f64 = hosts.iter().zip(&shares).map(|(host, share)| host.capacity * share).sum();
            if capacity <= 0.0 {
                continue;
            }
            for (load, share) in loads.iter_mut().zip(shares) {
                *load += demand * share / capacity;
            }
        }
        loads
    }

    /// The fraction of its weight that the host has in the table.
    fn share_in(&self, (home, reach, node): &TableKey, host: &Server) -> f64 {
        if !includes_place(*node, host.place) || !reach.contains(*home, host.zone) {
            return 0.0;
        }
        let own_zone = f64::from(host.zone == *home);
        self.spillover.get(&(*home, *reach, host.zone)).copied().unwrap_or(own_zone)
    }
}

/// The demand as if all proxies used the tables that name all hosts.
fn total_demands(demands: &DemandByTable) -> DemandByTable {
    let mut total = DemandByTable::new();
    for ((home, reach, _), demand) in demands {
        *total.entry((*home, *reach, 1)).or_default() += demand;
    }
    total
}
