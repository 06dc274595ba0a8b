//! Permitted zones: the orders that follow when the reach of a request class (the zones that may serve it) changes,
//! also together with gates, restarts, levels and a full channel.

use crate::fleet::{product, Fleet};
use amberarch_core::*;
use expect_test::expect;

/// Two request classes that may go anywhere, with admission levels as fractions. Host h is in zone h modulo `zones`.
fn two_products(zones: u16, hosts: u32) -> Fleet {
    let products = vec![product(Idempotency::Idempotent), product(Idempotency::NonIdempotent)];
    Fleet::with(zones, hosts, products, LevelKind::Fraction)
}

#[test]
fn a_reach_is_narrowed_in_the_reply_to_the_event() {
    let mut fleet = two_products(3, 6);
    fleet.join(0);
    fleet.run(1);
    fleet.take_trace();
    fleet.set_reach(0, 1, &[0, 2]);
    fleet.run(5);
    expect![[r#"
        1200 reach of product1 from zone0: [0, 2]
        1200 clear t33138
        1200 t33138 host0 weight 1
        1200 t33138 host2 weight 1
        1200 t33138 host3 weight 1
        1200 t33138 host5 weight 1
        1200 admit t33138 for 10: 1 AfterProof
        1200 bind proxy0 to t33138 for 10
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn a_reach_is_widened_once_the_wider_table_serves() {
    let mut fleet = two_products(3, 6);
    fleet.set_reach(0, 1, &[2]);
    fleet.join(0);
    fleet.run(3);
    fleet.take_trace();
    fleet.set_reach(0, 1, &[1, 2]);
    fleet.run(3);
    fleet.note("lifted");
    fleet.send(&[Event::ReachRule { zone: ZoneId(0), class: ClassId(1), allowed_zones: Zones::ALL }]);
    fleet.run(3);
    expect![[r#"
        1600 reach of product1 from zone0: [1, 2]
        1600 t0 host2 weight 1
        1600 t0 host5 weight 1
        1600 clear t54922
        1600 t54922 host1 weight 1
        1600 t54922 host2 weight 1
        1600 t54922 host4 weight 1
        1600 t54922 host5 weight 1
        1600 admit t54922 for 10: 1 AfterProof
        1600 bind proxy0 to t54922 for 10
        1600 clear t54921
        2200 lifted
        2200 admit t0 for 10: 1 AfterProof
        2200 bind proxy0 to t0 for 10
        2200 clear t54922
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// Neither table contains the other: the proxy leaves the old one first, whatever hosts the new one has.
#[test]
fn swapping_two_zones_never_uses_both_at_once() {
    let mut fleet = two_products(3, 6);
    fleet.set_reach(0, 0, &[1]);
    fleet.set_reach(0, 1, &[2]);
    fleet.join(0);
    fleet.run(3);
    fleet.take_trace();
    let reach = |product, zone| Event::ReachRule {
        zone: ZoneId(0),
        class: ClassId(product),
        allowed_zones: Zones::one(ZoneId(zone)),
    };
    fleet.note("swapped");
    fleet.send(&[reach(0, 2), reach(1, 1)]);
    fleet.run(3);
    expect![[r#"
        1600 swapped
        1600 admit t54921 for 10: 1 AfterProof
        1600 admit t54922 for 1: 1 AfterProof
        1600 bind proxy0 to t54921 for 10
        1600 bind proxy0 to t54922 for 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// The permitted zones take precedence over availability: no request goes to a neighbour zone that is not permitted.
#[test]
fn a_permitted_zone_that_is_lost_is_not_replaced_by_another_zone() {
    let mut fleet = two_products(3, 6);
    fleet.set_reach(0, 1, &[0, 1]);
    fleet.join(0);
    fleet.run(3);
    fleet.take_trace();
    for host in [0, 3] {
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    fleet.run(5);
    fleet.note("the other one is let go for good");
    for host in [1, 4] {
        fleet.list_host(host, Availability::Removed, None);
    }
    fleet.run(5);
    expect![[r#"
        2600 unreachable host0
        3600 unreachable host0
        4600 unreachable host0
        4600 withdraw host0
        5600 unreachable host3
        6600 unreachable host3
        7600 unreachable host3
        7600 withdraw host3
        8600 the other one is let go for good
        8600 withdraw host1
        8600 t0 host0 weight 0
        8600 t0 host1 weight 0
        8600 t0 host3 weight 0
        8600 restore host0
        8600 restore host3
        8600 withdraw host4
        8600 t0 host4 weight 0
        8600 t54921 host1 weight 0
        8600 t54921 host4 weight 0
        8600 forget host1
        8600 forget host4
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn a_class_that_may_not_use_its_own_zone_is_served_in_a_permitted_one_and_counts_there() {
    let mut fleet = Fleet::new(3, 6);
    fleet.set_reach(0, 0, &[1]);
    for proxy in [0, 3, 6, 9] {
        fleet.join(proxy);
    }
    fleet.join(1);
    fleet.run(10);
    // Zone 1 serves the four proxies of zone 0 beside its own, so its own proxies spill over to the idle zones.
    expect![[r#"
        1000 reach of product0 from zone0: [1]
        1000 clear t54921
        1000 t54921 host1 weight 1
        1000 t54921 host4 weight 1
        1000 admit t54921 for 1: 1 AfterProof
        1000 bind proxy0 to t54921 for 1
        1000 bind proxy3 to t54921 for 1
        1000 bind proxy6 to t54921 for 1
        1000 bind proxy9 to t54921 for 1
        1000 t1 host1 weight 1
        1000 t1 host4 weight 1
        1000 admit t1 for 1: 1 AfterProof
        1000 bind proxy1 to t1 for 1
        1200 t1 host0 weight 1
        1200 t1 host2 weight 1
        1200 t1 host3 weight 1
        1200 t1 host5 weight 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn a_class_confined_to_its_zone_stays_there_or_is_rejected() {
    let confined = RequestClass { home_zone_only: true, ..product(Idempotency::NonIdempotent) };
    let mut fleet = Fleet::with(2, 4, vec![product(Idempotency::Idempotent), confined], LevelKind::PerSecond);
    fleet.join(0);
    fleet.run(2);
    fleet.take_trace();
    fleet.set_reach(0, 1, &[0]);
    fleet.run(2);
    fleet.set_reach(0, 1, &[1]);
    fleet.run(2);
    expect![[r#"
        1400 reach of product1 from zone0: [0]
        1800 reach of product1 from zone0: [1]
        1800 clear t33323
        1800 admit t33323 for 10: 0 AfterProof
        1800 bind proxy0 to t33323 for 10
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn two_classes_in_a_zone_never_share_a_table_number() {
    let mut fleet = two_products(3, 6);
    fleet.set_reach(0, 0, &[0, 1]);
    fleet.set_reach(0, 1, &[0, 2]);
    fleet.set_reach(1, 1, &[0, 2]);
    fleet.join(0);
    fleet.join(1);
    fleet.run(2);
    expect![[r#"
        1000 reach of product0 from zone0: [0, 1]
        1000 reach of product1 from zone0: [0, 2]
        1000 reach of product1 from zone1: [0, 2]
        1000 clear t54921
        1000 t54921 host0 weight 1
        1000 t54921 host3 weight 1
        1000 clear t54922
        1000 t54922 host0 weight 1
        1000 t54922 host3 weight 1
        1000 admit t54921 for 1: 1 AfterProof
        1000 admit t54922 for 10: 1 AfterProof
        1000 bind proxy0 to t54921 for 1
        1000 bind proxy0 to t54922 for 10
        1000 clear t54923
        1000 t54923 host0 weight 1
        1000 t54923 host2 weight 1
        1000 t54923 host3 weight 1
        1000 t54923 host5 weight 1
        1000 admit t54923 for 10: 1 AfterProof
        1000 bind proxy1 to t54923 for 10
        1000 t1 host1 weight 1
        1000 t1 host4 weight 1
        1000 admit t1 for 1: 1 AfterProof
        1000 bind proxy1 to t1 for 1
        1200 t54921 host1 weight 1
        1200 t54921 host4 weight 1
        1200 t54922 host2 weight 1
        1200 t54922 host5 weight 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn a_class_with_an_empty_reach_is_rejected_at_once() {
    let mut fleet = two_products(2, 4);
    fleet.join(0);
    fleet.run(2);
    fleet.take_trace();
    fleet.set_reach(0, 0, &[]);
    fleet.run(2);
    fleet.set_reach(0, 0, &[0]);
    fleet.run(2);
    expect![[r#"
        1400 reach of product0 from zone0: []
        1400 clear t44122
        1400 admit t44122 for 1: 0 AfterProof
        1400 bind proxy0 to t44122 for 1
        1800 reach of product0 from zone0: [0]
        1800 t2 host0 weight 1
        1800 t2 host2 weight 1
        1800 admit t2 for 1: 1 AfterProof
        1800 bind proxy0 to t2 for 1
        1800 clear t44122
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn without_levels_an_empty_reach_leaves_an_empty_table() {
    let mut fleet = Fleet::new(2, 4);
    fleet.join(0);
    fleet.run(2);
    fleet.take_trace();
    fleet.set_reach(0, 0, &[]);
    fleet.run(2);
    expect![[r#"
        1400 reach of product0 from zone0: []
        1400 clear t44122
        1400 admit t44122 for 1: 1 AfterProof
        1400 bind proxy0 to t44122 for 1
        1400 t0 host1 weight 0
        1400 t0 host3 weight 0
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// Gates are ignored where a class may go nowhere else; the other class still avoids gated hosts.
#[test]
fn with_every_host_within_a_reach_gated_gates_are_ignored_there() {
    let mut fleet = two_products(3, 6);
    fleet.set_reach(0, 1, &[1]);
    fleet.join(0);
    fleet.run(3);
    fleet.take_trace();
    for host in [1, 4] {
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    fleet.run(3);
    let lines: Vec<&str> = fleet.trace.lines().filter(|line| !line.contains("unreachable")).collect();
    expect![[r#"
        4600 withdraw host1
        4600 t0 host2 weight 0.75
        4600 t0 host5 weight 0.75
        7600 t0 host2 weight 1
        7600 t0 host5 weight 1
        7600 restore host1"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn cold_hosts_within_a_reach_return_in_steps_and_limit_its_level() {
    let mut fleet = Fleet::with(2, 4, vec![product(Idempotency::NonIdempotent)], LevelKind::Fraction);
    fleet.set_reach(0, 0, &[1]);
    fleet.join(0);
    fleet.restart(&[1, 3], 1, 24);
    expect![[r#"
        5000 withdraw host1
        5000 t54921 host1 weight 0
        5000 withdraw host3
        5000 admit t54921 for 1: 0 AfterProof
        7600 t54921 host1 weight 0.25
        7600 t54921 host3 weight 0.25
        7600 restore host1
        7600 restore host3
        7600 admit t54921 for 1: 0.3 One
        13800 t54921 host1 weight 0.5
        13800 t54921 host3 weight 0.5
        13800 admit t54921 for 1: 0.6 One
        15000 admit t54921 for 1: 0.55 One
        20000 t54921 host1 weight 0.75
        20000 t54921 host3 weight 0.75
        20000 admit t54921 for 1: 0.85 One
        23800 admit t54921 for 1: 0.8 One
        25000 t54921 host1 weight 1
        25000 t54921 host3 weight 1
        25000 admit t54921 for 1: 1 AfterProof
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn a_large_permitted_zone_is_split_into_tables_of_its_own() {
    let mut fleet = Fleet::new(2, 48);
    fleet.set_reach(0, 0, &[1]);
    (0..8).for_each(|proxy| fleet.join(2 * proxy));
    fleet.catch_up(16);
    fleet.run(2);
    let binds: Vec<&str> = fleet.trace.lines().filter(|line| line.contains("bind")).collect();
    expect![[r#"
        1000 bind proxy0 to t54921 for 1
        1000 bind proxy2 to t54921 for 1
        1000 bind proxy4 to t54921 for 1
        1000 bind proxy6 to t54922 for 1
        1000 bind proxy8 to t54923 for 1
        1000 bind proxy10 to t54922 for 1
        1000 bind proxy14 to t54924 for 1
        1000 bind proxy12 to t54923 for 1
        1000 bind proxy0 to t54925 for 1
        1000 bind proxy2 to t54926 for 1
        1000 bind proxy4 to t54927 for 1"#]]
    .assert_eq(&binds.join("\n"));
}

/// The list moves a host to a zone that is not permitted: the host leaves the table at once, even if no other host
/// serves there.
#[test]
fn a_host_that_moves_out_of_the_reach_leaves_its_tables_first() {
    let mut fleet = two_products(2, 4);
    fleet.set_reach(0, 1, &[1]);
    fleet.join(0);
    fleet.run(2);
    fleet.take_trace();
    let moved = |host| HostEntry { zone: ZoneId(0), ..fleet.entry(host) };
    let entries = vec![moved(1), moved(3)];
    fleet.note("both hosts of zone1 are listed in zone0");
    fleet.send(&[Event::List { update: ListUpdate::Changes, entries }]);
    fleet.run(2);
    expect![[r#"
        1400 both hosts of zone1 are listed in zone0
        1400 t54921 host1 weight 0
        1400 t54921 host3 weight 0
        1400 admit t54921 for 10: 0 AfterProof
        1400 t0 host1 weight 1
        1400 t0 host3 weight 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// The channel has room for only a part of the binds: no room goes to orders that can wait.
#[test]
fn orders_that_narrow_a_reach_are_sent_before_orders_that_can_wait() {
    let mut fleet = two_products(2, 4);
    (0..30).for_each(|proxy| fleet.join(2 * proxy));
    fleet.catch_up(60);
    fleet.take_trace();
    let entry = HostEntry { weight: 2.0, ..fleet.entry(0) };
    fleet.note("more weight for host0");
    let (zone, class, allowed_zones) = (ZoneId(0), ClassId(1), Zones::one(ZoneId(1)));
    let list = Event::List { update: ListUpdate::Changes, entries: vec![entry] };
    fleet.send(&[list, Event::ReachRule { zone, class, allowed_zones }]);
    let first = binds_and_weights(&fleet.take_trace());
    fleet.note("the channel has caught up");
    fleet.catch_up(60);
    expect![[r#"
        21 binds []
        9 binds ["1000 t0 host0 weight 2"]"#]]
    .assert_eq(&format!("{first}\n{}", binds_and_weights(&fleet.take_trace())));
}

/// The number of binds of class 1, and the lines with the changed weight.
fn binds_and_weights(trace: &str) -> String {
    let binds = trace.lines().filter(|line| line.contains("bind") && line.ends_with("for 10")).count();
    let weights: Vec<&str> = trace.lines().filter(|line| line.contains("weight 2")).collect();
    format!("{binds} binds {weights:?}")
}

/// A host moved out of the reach, and there is no room yet to remove it from the table: meanwhile no other proxy is
/// bound to that table.
#[test]
fn no_proxy_is_bound_to_a_table_that_still_names_a_host_outside() {
    let mut fleet = Fleet::with_channel(2, 4, 300.0);
    fleet.set_reach(0, 0, &[1]);
    (0..21).for_each(|proxy| fleet.join(2 * proxy));
    fleet.take_trace();
    let entries = vec![HostEntry { zone: ZoneId(0), ..fleet.entry(1) }];
    fleet.note("host1 moves to zone0, and a proxy joins");
    let (proxy, zone) = (ProxyId(42), ZoneId(0));
    let joined = Event::ProxyJoined { proxy, zone, txns_per_s: 10.0, without_table: false };
    fleet.send(&[Event::List { update: ListUpdate::Changes, entries }, joined]);
    fleet.note("the channel has caught up");
    fleet.catch_up(43);
    expect![[r#"
        1000 host1 moves to zone0, and a proxy joins
        1000 the channel has caught up
        1000 t54921 host1 weight 0
        1000 bind proxy42 to t54921 for 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// The bind away from the table waits for the channel, and a gate is lifted meanwhile. Restoring the host takes far
/// less room than the bind, but has to wait for it.
#[test]
fn no_host_is_restored_in_a_table_that_a_class_has_yet_to_leave() {
    let mut fleet = Fleet::with_channel(2, 10, 30.0);
    fleet.join(0);
    for _ in 0..5 {
        fleet.run(2);
        fleet.catch_up(1);
    }
    fleet.probes(1, &[ProbeOutcome::Errored; 3]);
    fleet.catch_up(1);
    fleet.probes(1, &[ProbeOutcome::Answered; 1]);
    fleet.catch_up(1);
    // Thirteen lines wait, which leaves room for one more line, but not for a bind.
    let entries = (0..10)
        .filter(|host| *host != 1)
        .map(|host| HostEntry { weight: 2.0, ..fleet.entry(host) })
        .collect();
    fleet.send(&[Event::List { update: ListUpdate::Changes, entries }]);
    fleet.take_trace();
    fleet.note("told of zone0, and host1 of zone1 answers again");
    let (zone, class, load) = (ZoneId(0), ClassId(0), LoadReport::default());
    let probed = Event::ProbeResult { host: HostId(1), outcome: ProbeOutcome::Answered, duration: 2.0, load };
    fleet.now += 200.0;
    fleet.send(&[probed, Event::ReachRule { zone, class, allowed_zones: Zones::one(zone) }]);
    fleet.note("the channel has caught up");
    fleet.catch_up(1);
    expect![[r#"
        7000 told of zone0, and host1 of zone1 answers again
        7200 t2 host0 weight 2
        7200 t2 host2 weight 2
        7200 t2 host4 weight 2
        7200 t2 host6 weight 2
        7200 t2 host8 weight 2
        7200 admit t2 for 1: 1 AfterProof
        7200 the channel has caught up
        7200 bind proxy0 to t2 for 1
        7200 restore host1
    "#]]
    .assert_eq(&fleet.take_trace());
}

#[test]
fn bounds_levels_and_hints_hold_within_a_reach() {
    let mut fleet = two_products(2, 4);
    fleet.send(&[Event::WarmStartHint { host: HostId(1), latency_factor: 0.5, gated: false }]);
    fleet.set_reach(0, 1, &[1]);
    fleet.join(0);
    fleet.run(2);
    fleet.take_trace();
    let (zone, class, max_tries) = (ZoneId(0), ClassId(1), RetryPolicy::One);
    fleet.send(&[Event::ServiceBound { zone, class, max_share: 0.4, max_tries }]);
    fleet.run(2);
    expect![[r#"
        1400 admit t54921 for 10: 0.4 One
    "#]]
    .assert_eq(&fleet.take_trace());
}
