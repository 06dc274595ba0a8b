//! Builds a fleet of any size in a steady state, to measure the cost of checking a batch: its guard and, for
//! comparison, a check that evaluates the whole fleet after each batch.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::facts::Facts;
use crate::model::Guard;

const ZONES: u16 = 8;
/// Tables for each zone and class group. The first names all hosts of the group; the others split them.
const NODES: u16 = 4;
const PRODUCTS: u16 = 3;
/// The first two request classes may also use hosts of the next zone, the third only those of its own.
const CLASSES: [(ClassSet, u16); 2] = [(ClassSet(0b011), 2), (ClassSet(0b100), 1)];
const RATE: f64 = 10.0;

fn tbl(zone: u16, class: u16, node: u16) -> TableId {
    TableId(zone + ZONES * (2 * node + class))
}
fn zone_of(host: u32) -> u16 {
    (host % u32::from(ZONES)) as u16
}

fn facts() -> Facts {
    Facts {
        products: PRODUCTS,
        at_home: 0b100,
        channel: Channel {
            lines_per_s: 1e7,
            message_overhead: 3.0,
            max_backlog: 1e8,
            max_messages: 60,
            message_window: 10_000.0,
            typical_transit: 200.0,
            max_transit: 400.0,
        },
        warmup: Warmup {
            initial_capacity: 0.2,
            duration: 15_000.0,
            failure_load: 3.0,
            failure_after: 2_000.0,
        },
        grace: 2_000.0,
        bare_for: 3_000.0,
        every: 2_000.0,
        alone: true,
        per_weight: None,
    }
}

/// The orders that bring an empty fleet to the steady state.
fn all(proxies: u16, hosts: u32) -> Vec<Order> {
    let mut orders = Vec::new();
    for (zone, (class, (_, width))) in
        (0..ZONES).flat_map(|zone| (0..2).zip(CLASSES).map(move |of| (zone, of)))
    {
        let there = |host: &u32| (zone_of(*host) + ZONES - zone) % ZONES < width;
        for host in (0..hosts).filter(there) {
            let node = 1 + (host / u32::from(ZONES)) as u16 % (NODES - 1);
            let lines = [0, node].map(|node| Order::SetEntry {
                table: tbl(zone, class, node),
                host: HostId(host),
                weight: 1.0,
            });
            orders.extend(lines);
        }
    }
    for proxy in 0..proxies {
        for (class, (classes, _)) in (0..2).zip(CLASSES) {
            let table = tbl(proxy % ZONES, class, proxy / ZONES % NODES);
            orders.push(Order::Bind { proxy: ProxyId(proxy), table, classes });
        }
    }
    orders
}

/// A guard of a fleet in which all proxies have joined, reported their demand and been bound. One host in
/// fifty is cold, and the one batch sent is confirmed.
pub fn standing(proxies: u16, hosts: u32) -> Guard {
    let mut guard = Guard::new(facts());
    let listed = |host: u32| HostEntry {
        host: HostId(host),
        weight: 1.0,
        zone: ZoneId(zone_of(host)),
        pod: PodId(0),
        instance_type: InstanceTypeId(0),
        started_at: (host % 50 == 7).then_some(-3_000.0),
        availability: Availability::InService,
    };
    guard.hear(0.0, &Event::List { update: ListUpdate::Restored, entries: (0..hosts).map(listed).collect() });
    for proxy in 0..proxies {
        let (proxy, zone) = (ProxyId(proxy), ZoneId(proxy % ZONES));
        guard.hear(0.0, &Event::ProxyJoined { proxy, zone, txns_per_s: RATE, without_table: true });
        for class in (0..PRODUCTS).map(ClassId) {
            guard.hear(
                0.0,
                &Event::ProxyReport { proxy, class, txns: RATE as u32, failed: 0, covered: 2_000.0 },
            );
        }
    }
    let (host, zone, load) = (HostId(0), ZoneId(0), LoadReport::default());
    let tries = (f64::from(proxies) * RATE * 3.0 / f64::from(hosts)) as u32;
    guard.hear(
        0.0,
        &Event::HostReport { host, zone, covered: 2_000.0, tries, failed: 0, mean_latency: 10.0, load },
    );
    let place = guard.commit(0.0, &all(proxies, hosts));
    guard.answered(0.0, place);
    guard
}

/// A batch that withdraws a host and restores the one before it. Batches of this module carry no mark: nobody
/// answers marks here, and the proxies would count as behind.
pub fn gate(hosts: u32, number: u32) -> Vec<Order> {
    let host = |number: u32| HostId(number.wrapping_mul(7) % hosts);
    vec![
        Order::Withdraw { host: host(number), withdrawn: true },
        Order::Withdraw { host: host(number.wrapping_sub(1)), withdrawn: false },
    ]
}

/// A batch that changes weights of a table and binds proxies to other tables.
pub fn step(proxies: u16, hosts: u32, number: u32) -> Vec<Order> {
    let (zone, node) = ((number % u32::from(ZONES)) as u16, (number / 8) as u16 % NODES);
    let named = (0..hosts).filter(|host| zone_of(*host) == zone);
    let named =
        named.filter(|host| node == 0 || 1 + (host / u32::from(ZONES)) as u16 % (NODES - 1) == node).take(8);
    let weight = 0.5 + f64::from(number % 2);
    let mut orders: Vec<Order> =
        named.map(|host| Order::SetEntry { table: tbl(zone, 0, node), host: HostId(host), weight }).collect();
    for step in 0..4u32 {
        let proxy = (number * 37 + step * u32::from(ZONES)) % u32::from(proxies);
        let (proxy, node) = (proxy as u16, (number + step) as u16 % NODES);
        let table = tbl(proxy % ZONES, 0, node);
        orders.push(Order::Bind { proxy: ProxyId(proxy), table, classes: CLASSES[0].0 });
    }
    orders
}

/// The newest state only, without unconfirmed calls; all of it is evaluated after each batch.
#[derive(Default)]
pub struct Anew {
    lines: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    withdrawn: BTreeSet<HostId>,
    bindings: BTreeMap<(ProxyId, u64), TableId>,
    rate: f64,
    most: f64,
}

impl Anew {
    pub fn standing(proxies: u16, hosts: u32) -> Anew {
        let mut anew = Anew { rate: RATE / 2.0, most: f64::MAX, ..Anew::default() };
        all(proxies, hosts).iter().for_each(|order| anew.carry_out(order));
        anew
    }

    fn carry_out(&mut self, order: &Order) {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                self.lines.entry(*table).or_default().insert(*host, *weight);
            }
            Order::SetEntry { table, host, .. } => drop(self.lines.entry(*table).or_default().remove(host)),
            Order::Withdraw { host, withdrawn: true } => drop(self.withdrawn.insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.withdrawn.remove(host)),
            Order::Bind { proxy, table, classes } => drop(self.bindings.insert((*proxy, classes.0), *table)),
            _ => {}
        }
    }

    /// Whether every proxy has an open host and no host gets too much load.
    pub fn judge(&mut self, orders: &[Order]) -> bool {
        orders.iter().for_each(|order| self.carry_out(order));
        let mut demand: BTreeMap<TableId, f64> = BTreeMap::new();
        for ((_, products), table_id) in &self.bindings {
            *demand.entry(*table_id).or_default() += self.rate * f64::from(products.count_ones());
        }
        let (mut load, mut all) = (BTreeMap::<HostId, f64>::new(), true);
        for (table_id, demand) in demand {
            let lines = self.lines.get(&table_id).into_iter().flatten();
            let open: Vec<(&HostId, &f64)> = lines.filter(|line| !self.withdrawn.contains(line.0)).collect();
            let sum: f64 = open.iter().map(|line| *line.1).sum();
            all &= sum > 0.0;
            open.iter()
                .for_each(|(host, weight)| *load.entry(**host).or_default() += demand * **weight / sum);
        }
        all && load.values().all(|load| *load <= self.most)
    }
}
