//! A small fleet and its guard.

use amberarch_core::*;
use amberarch_guard::*;

pub const WORST: f64 = 400.0;

pub fn facts(products: u16, at_home: u64) -> Facts {
    Facts {
        products,
        at_home,
        channel: Channel {
            lines_per_s: 1e6,
            message_overhead: 3.0,
            max_backlog: 1e6,
            max_messages: 0,
            message_window: 10_000.0,
            typical_transit: 200.0,
            max_transit: WORST,
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

pub fn in_service(host: u32, zone: u16) -> HostEntry {
    HostEntry {
        host: HostId(host),
        weight: 1.0,
        zone: ZoneId(zone),
        pod: PodId(0),
        instance_type: InstanceTypeId(0),
        started_at: None,
        availability: Availability::InService,
    }
}
pub fn list(entries: Vec<HostEntry>) -> Event {
    Event::List { update: ListUpdate::Changes, entries }
}
pub fn joined(proxy: u16, zone: u16) -> Event {
    Event::ProxyJoined { proxy: ProxyId(proxy), zone: ZoneId(zone), txns_per_s: 10.0, without_table: true }
}
/// A proxy report with this rate in txns a second for a class.
pub fn proxy_report(proxy: u16, class: u16, rate: u32) -> Event {
    Event::ProxyReport {
        proxy: ProxyId(proxy),
        class: ClassId(class),
        txns: 2 * rate,
        failed: 0,
        covered: 2_000.0,
    }
}
pub fn host_report(host: u32, rate: u32) -> Event {
    let (host, zone, load) = (HostId(host), ZoneId(0), LoadReport::default());
    Event::HostReport { host, zone, covered: 2_000.0, tries: 2 * rate, failed: 0, mean_latency: 10.0, load }
}
pub fn probed(host: u32, outcome: ProbeOutcome) -> Event {
    Event::ProbeResult { host: HostId(host), outcome, duration: 1.0, load: LoadReport::default() }
}
pub fn set_entry(table: u16, host: u32, weight: f64) -> Order {
    Order::SetEntry { table: TableId(table), host: HostId(host), weight }
}
pub fn withdraw(host: u32) -> Order {
    Order::Withdraw { host: HostId(host), withdrawn: true }
}
pub fn restore(host: u32) -> Order {
    Order::Withdraw { host: HostId(host), withdrawn: false }
}
pub fn bind(proxy: u16, table: u16) -> Order {
    Order::Bind { proxy: ProxyId(proxy), table: TableId(table), classes: ClassSet::ALL }
}
pub fn mark(number: u16) -> Order {
    Order::Mark { mark: MarkId(number), all_proxies: false }
}
pub fn applied(proxy: u16, number: u16) -> Event {
    Event::MarkApplied { proxy: ProxyId(proxy), mark: MarkId(number), duration: 1.0 }
}

/// Hosts 0 and 1 in table 0, host 2 in table 1, all in zone 0; proxies 0 to 2, of which 0 and 1 use table 0.
pub fn small_fleet() -> Guard {
    let mut guard = Guard::new(facts(1, 0));
    guard.hear(0.0, &list((0..3).map(|host| in_service(host, 0)).collect()));
    (0..3).for_each(|proxy| guard.hear(0.0, &joined(proxy, 0)));
    let orders = [
        set_entry(0, 0, 1.0),
        set_entry(0, 1, 1.0),
        set_entry(1, 2, 1.0),
        bind(0, 0),
        bind(1, 0),
        bind(2, 1),
        mark(0),
    ];
    commit_accepted(&mut guard, 0.0, &orders);
    (0..3).for_each(|proxy| guard.hear(1.0, &applied(proxy, 0)));
    guard
}

/// Asserts that the batch is accepted, and commits and confirms it.
pub fn commit_accepted(guard: &mut Guard, now: f64, orders: &[Order]) {
    assert_eq!(guard.judge(now, orders), Verdict::Accepted);
    let place = guard.commit(now, orders);
    guard.answered(now, place);
}

/// The rules that the batch violates.
pub fn rules(guard: &mut Guard, now: f64, orders: &[Order]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = guard.breaches(now, orders).into_iter().map(|breach| breach.rule).collect();
    rules.dedup();
    rules
}

/// The amended batch and its price.
pub fn mended(guard: &mut Guard, now: f64, orders: &[Order]) -> (Vec<Order>, f64) {
    match guard.judge(now, orders) {
        Verdict::Mended { orders, price, .. } => (orders, price),
        other => panic!("{other:?}"),
    }
}
