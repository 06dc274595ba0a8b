//! A fleet that stands, as large as wanted, for measuring what a batch costs: its guard, and beside it all of it looked
//! at anew after each batch.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::facts::Facts;
use crate::model::Guard;

const ZONES: u16 = 8;
/// Tables of a zone's class, over which its hosts are dealt; the first names them all.
const NODES: u16 = 4;
const PRODUCTS: u16 = 3;
/// The first two products may go to the next zone, the third stays.
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

/// What brings the fleet there from nothing.
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

/// All have joined, told of their demand, and been bound; a host of every fifty is cold, and one batch is a while ago.
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
    guard.hear(
        0.0,
        &Event::List { update: ListUpdate::FromSnapshot, entries: (0..hosts).map(listed).collect() },
    );
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

/// No batch here has a mark: nobody answers one, and who does not is behind.
///
/// A gate changes: a host is shut out, and the one before it let in.
pub fn gate(hosts: u32, number: u32) -> Vec<Order> {
    let host = |number: u32| HostId(number.wrapping_mul(7) % hosts);
    vec![
        Order::Withdraw { host: host(number), withdrawn: true },
        Order::Withdraw { host: host(number.wrapping_sub(1)), withdrawn: false },
    ]
}

/// Weights of a table, and proxies that move to another one.
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

/// The newest state alone, without doubts, of which all is looked at after each batch.
#[derive(Default)]
pub struct Anew {
    lines: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    out: BTreeSet<HostId>,
    uses: BTreeMap<(ProxyId, u64), TableId>,
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
            Order::Withdraw { host, withdrawn: true } => drop(self.out.insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.out.remove(host)),
            Order::Bind { proxy, table, classes } => drop(self.uses.insert((*proxy, classes.0), *table)),
            _ => {}
        }
    }

    /// Whether all proxies have something, and no host too much.
    pub fn judge(&mut self, orders: &[Order]) -> bool {
        orders.iter().for_each(|order| self.carry_out(order));
        let mut demand: BTreeMap<TableId, f64> = BTreeMap::new();
        for ((_, products), tbl) in &self.uses {
            *demand.entry(*tbl).or_default() += self.rate * f64::from(products.count_ones());
        }
        let (mut load, mut all) = (BTreeMap::<HostId, f64>::new(), true);
        for (tbl, demand) in demand {
            let lines = self.lines.get(&tbl).into_iter().flatten();
            let open: Vec<(&HostId, &f64)> = lines.filter(|line| !self.out.contains(line.0)).collect();
            let sum: f64 = open.iter().map(|line| *line.1).sum();
            all &= sum > 0.0;
            open.iter()
                .for_each(|(host, weight)| *load.entry(**host).or_default() += demand * **weight / sum);
        }
        all && load.values().all(|load| *load <= self.most)
    }
}
