//! A fleet in steady state, with any number of proxies and hosts, all bound and answered, set up in a judge and in the
//! plain reference judge; and typical replies of the decisions for such a fleet.

use amberarch_core::*;
use amberarch_residency::{InUse, Judge, Plain};

const ZONES: u16 = 8;
/// Tables for each zone and group of request classes; the hosts are distributed over them.
const NODES: u16 = 4;
const PRODUCTS: u16 = 3;
/// Two groups of request classes: the first two classes may use the next zone as well, the third stays in its zone.
const CLASSES: [(ClassSet, u16); 2] = [(ClassSet(0b011), 2), (ClassSet(0b100), 1)];

fn table_id(zone: u16, class: usize, node: u16) -> TableId {
    TableId(zone + ZONES * (2 * node + class as u16))
}

fn may(zone: u16, width: u16) -> Zones {
    (0..width).map(|next| ZoneId((zone + next) % ZONES)).collect()
}

/// The judge of such a fleet after all proxies have answered.
pub fn standing(proxies: u16, hosts: u32) -> Judge {
    let mut judge = Judge::new(PRODUCTS, 2_000.0);
    (0..hosts).map(HostId).for_each(|host| judge.listed(0.0, host, zone_of(host), Availability::InService));
    judge.reach(0.0, reach());
    (0..proxies).for_each(|proxy| judge.joined(0.0, ProxyId(proxy), ZoneId(proxy % ZONES), true));
    judge.judge(0.0, &all(proxies, hosts)).expect("all is within the reach");
    judge.answered(judge.place());
    (0..proxies).for_each(|proxy| judge.applied(1.0, ProxyId(proxy), MarkId(0)));
    judge.settled(1.0, 0.0).expect("all have answered");
    judge
}

/// The plain judge of the same fleet.
pub fn standing_plain(proxies: u16, hosts: u32) -> Plain {
    let mut plain = Plain { products: PRODUCTS, reach: reach(), ..Plain::default() };
    plain.hosts = (0..hosts).map(|host| (HostId(host), zone_of(HostId(host)))).collect();
    plain.zones = (0..proxies).map(|proxy| (ProxyId(proxy), ZoneId(proxy % ZONES))).collect();
    for order in &all(proxies, hosts) {
        plain.carry_out(order);
    }
    plain
}

fn zone_of(host: HostId) -> ZoneId {
    ZoneId((host.0 % u32::from(ZONES)) as u16)
}

fn reach() -> InUse {
    let mut reach = InUse::new();
    for (zone, product) in (0..ZONES).flat_map(|zone| (0..PRODUCTS).map(move |product| (zone, product))) {
        let width = if product < 2 { 2 } else { 1 };
        reach.insert((ClassId(product), ZoneId(zone)), may(zone, width));
    }
    reach
}

/// The orders that set up the fleet from an empty state.
fn all(proxies: u16, hosts: u32) -> Vec<Order> {
    let mut orders = Vec::new();
    for zone in 0..ZONES {
        for (class, (_, width)) in CLASSES.iter().enumerate() {
            let zones = may(zone, *width);
            for host in (0..hosts).map(HostId).filter(|host| zones.contains(zone_of(*host))) {
                let node = (host.0 / u32::from(ZONES)) as u16 % NODES;
                orders.push(Order::SetEntry { table: table_id(zone, class, node), host, weight: 1.0 });
            }
        }
    }
    for proxy in (0..proxies).map(ProxyId) {
        for (class, (products, _)) in CLASSES.iter().enumerate() {
            let table = table_id(proxy.0 % ZONES, class, proxy.0 / ZONES % NODES);
            orders.push(Order::Bind { proxy, table, classes: *products });
        }
    }
    orders.push(Order::Mark { mark: MarkId(0), all_proxies: true });
    orders
}

/// The reply with that number, counted from one: new weights in a table, one host withdrawn and one restored, proxies
/// that move to another table of their zone, and a mark.
pub fn some_reply(proxies: u16, hosts: u32, number: u32) -> Vec<Order> {
    let (zone, node) = ((number % u32::from(ZONES)) as u16, (number / 8) as u16 % NODES);
    let mut orders = Vec::new();
    let shut = |number: u32| HostId(number.wrapping_mul(7) % hosts);
    orders.push(Order::Withdraw { host: shut(number), withdrawn: true });
    orders.push(Order::Withdraw { host: shut(number - 1), withdrawn: false });
    let own = (0..hosts).map(HostId).filter(|host| zone_of(*host) == ZoneId(zone));
    let named = own.filter(|host| (host.0 / u32::from(ZONES)) as u16 % NODES == node).take(8);
    for host in named {
        orders.push(Order::SetEntry {
            table: table_id(zone, 0, node),
            host,
            weight: 0.5 + f64::from(number % 2),
        });
    }
    for step in 0..4 {
        let proxy = (number * 37 + step * u32::from(ZONES)) % u32::from(proxies);
        let (proxy, zone) = (ProxyId(proxy as u16), proxy as u16 % ZONES);
        let node = (number as u16).wrapping_add(step as u16) % NODES;
        orders.push(Order::Bind { proxy, table: table_id(zone, 0, node), classes: CLASSES[0].0 });
    }
    orders.push(Order::Mark { mark: MarkId(number as u16), all_proxies: false });
    orders
}
