use crate::fleet::{product, Fleet};
use std::collections::BTreeMap;

use amberarch_core::*;
use expect_test::expect;

#[test]
fn a_run_of_fails_gates_and_a_run_of_passes_lifts() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.probes(0, &[ProbeOutcome::Errored, ProbeOutcome::Errored, ProbeOutcome::Errored]);
    fleet.probes(0, &[ProbeOutcome::Answered, ProbeOutcome::Answered]);
    fleet.run(6);
    expect![[r#"
        2000 errored host0
        3000 errored host0
        4000 errored host0
        4000 withdraw host0
        5000 answered host0
        6000 answered host0
        6000 restore host0
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn with_every_host_gated_gates_are_ignored() {
    let mut fleet = Fleet::new(1, 2);
    fleet.join(0);
    fleet.trace.clear();
    for _ in 0..3 {
        fleet.probes(0, &[ProbeOutcome::Unreachable]);
        fleet.probes(1, &[ProbeOutcome::Unreachable]);
    }
    expect![[r#"
        2000 unreachable host0
        3000 unreachable host1
        4000 unreachable host0
        5000 unreachable host1
        6000 unreachable host0
        6000 withdraw host0
        7000 unreachable host1
        7000 restore host0
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_drain_is_withdrawn_at_once_and_a_new_start_returns_in_steps() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.list_host(1, Availability::Draining, None);
    fleet.run(2);
    fleet.list_host(1, Availability::InService, Some(1_400.0));
    fleet.run(110);
    expect![[r#"
        1000 withdraw host1
        1000 t0 host1 weight 0
        4000 t0 host1 weight 0.25
        4000 restore host1
        4000 admit t0 for 1: 1 One
        10200 t0 host1 weight 0.5
        16400 t0 host1 weight 0.75
        21400 t0 host1 weight 1
        21400 admit t0 for 1: 1 AfterProof
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against overload after a whole zone restarts cold: its first hosts got all traffic and failed
/// (docs/incidents/nadi-campus.md).
#[test]
fn a_zone_that_restarts_cold_admits_what_its_hosts_can_serve() {
    let confined = RequestClass { home_zone_only: true, ..product(Idempotency::NonIdempotent) };
    let mut fleet = Fleet::with(2, 4, vec![confined], LevelKind::Fraction);
    fleet.join(0);
    fleet.join(1);
    fleet.restart(&[0, 2], 2, 30);
    expect![[r#"
        5000 withdraw host0
        5000 t2 host0 weight 0
        5000 withdraw host2
        7600 t2 host0 weight 0.25
        7600 t2 host2 weight 0.25
        7600 restore host0
        7600 restore host2
        7600 admit t2 for 1: 0.3 One
        13800 t2 host0 weight 0.5
        13800 t2 host2 weight 0.5
        13800 admit t2 for 1: 0.6 One
        15000 admit t2 for 1: 0.55 One
        20000 t2 host0 weight 0.75
        20000 t2 host2 weight 0.75
        20000 admit t2 for 1: 0.85 One
        23800 admit t2 for 1: 0.8 One
        25000 t2 host0 weight 1
        25000 t2 host2 weight 1
        25000 admit t2 for 1: 1 AfterProof
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against gating overloaded hosts: they were gated one by one until the remaining hosts failed as well
/// (docs/incidents/ledger-sicilia.md).
#[test]
fn a_host_that_errs_is_gated_and_an_overloaded_one_is_not() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.trace.clear();
    for _ in 0..4 {
        fleet.run(5);
        fleet.host_report(0, 0, 10, 7, 20.0);
        fleet.host_report(1, 0, 10, 7, 2_500.0);
        fleet.host_report(2, 0, 10, 0, 100.0);
        fleet.host_report(3, 0, 10, 0, 100.0);
    }
    expect![[r#"
        2200 t0 host1 weight 0.5
        3200 withdraw host0
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_zone_asked_for_more_than_its_share_gets_its_neighbours_hosts() {
    let mut fleet = Fleet::new(2, 4);
    for proxy in [0, 2, 4, 1] {
        fleet.join(proxy);
    }
    fleet.run(11);
    expect![[r#"
        1000 t0 host0 weight 1
        1000 t0 host2 weight 1
        1000 admit t0 for 1: 1 AfterProof
        1000 bind proxy0 to t0 for 1
        1000 bind proxy2 to t0 for 1
        1000 bind proxy4 to t0 for 1
        1000 t1 host1 weight 1
        1000 t1 host3 weight 1
        1000 admit t1 for 1: 1 AfterProof
        1000 bind proxy1 to t1 for 1
        1200 t0 host1 weight 0.5
        1200 t0 host3 weight 0.5
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn levels_shed_the_least_value_per_work_and_rise_again() {
    let cheap = RequestClass { value: 0.5, ..product(Idempotency::Idempotent) };
    let mut fleet = Fleet::with(1, 2, vec![cheap, product(Idempotency::NonIdempotent)], LevelKind::Fraction);
    fleet.join(0);
    fleet.trace.clear();
    for second in 0..12 {
        fleet.run(5);
        let (voided, mean) = if second < 3 { (8, 900.0) } else { (0, 100.0) };
        fleet.host_report(0, 0, 20, voided, mean);
        fleet.host_report(1, 0, 20, voided, mean);
        fleet.proxy_report(0, 0, 20);
        fleet.proxy_report(0, 1, 20);
    }
    expect![[r#"
        2200 admit t0 for 1: 0.5 One
        2200 admit t0 for 10: 1 One
        3200 admit t0 for 1: 0.2 One
        5200 admit t0 for 1: 0.25 AfterProof
        5200 admit t0 for 10: 1 AfterProof
        6200 admit t0 for 1: 0.7 AfterProof
        7200 admit t0 for 1: 1 AfterProof
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_failed_list_request_is_repeated_at_growing_intervals() {
    let mut fleet = Fleet::with_list_on_request(1, 2);
    for _ in 0..3 {
        fleet.send(&[Event::List { update: ListUpdate::Failed, entries: vec![] }]);
        fleet.run(20);
    }
    expect![[r#"
        1000 watch true
        1600 watch true
        6200 watch true
        11600 watch true
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn binds_wait_for_the_channel_and_start_over_with_a_new_stream() {
    let mut fleet = Fleet::new(1, 12);
    for proxy in 0..12 {
        fleet.join(proxy);
    }
    fleet.note("no answer to any mark yet");
    fleet.run(5);
    for proxy in 0..6 {
        fleet.send(&[Event::MarkApplied { proxy: ProxyId(proxy), mark: MarkId(proxy), duration: 300.0 }]);
    }
    fleet.note("proxy3 leaves and returns");
    fleet.send(&[Event::ProxyLeft { proxy: ProxyId(3) }]);
    fleet.join(3);
    expect![[r#"
        1000 t0 host0 weight 1
        1000 t0 host1 weight 1
        1000 t0 host2 weight 1
        1000 t0 host3 weight 1
        1000 t0 host4 weight 1
        1000 t0 host5 weight 1
        1000 t0 host6 weight 1
        1000 t0 host7 weight 1
        1000 t0 host8 weight 1
        1000 t0 host9 weight 1
        1000 t0 host10 weight 1
        1000 t0 host11 weight 1
        1000 admit t0 for 1: 1 AfterProof
        1000 bind proxy0 to t0 for 1
        1000 bind proxy1 to t0 for 1
        1000 bind proxy2 to t0 for 1
        1000 t2 host0 weight 1
        1000 t2 host1 weight 1
        1000 t2 host4 weight 1
        1000 t2 host5 weight 1
        1000 t2 host8 weight 1
        1000 t2 host9 weight 1
        1000 admit t2 for 1: 1 AfterProof
        1000 bind proxy3 to t2 for 1
        1000 t4 host2 weight 1
        1000 t4 host3 weight 1
        1000 t4 host6 weight 1
        1000 t4 host7 weight 1
        1000 t4 host10 weight 1
        1000 t4 host11 weight 1
        1000 admit t4 for 1: 1 AfterProof
        1000 bind proxy4 to t4 for 1
        1000 bind proxy5 to t2 for 1
        1000 bind proxy6 to t4 for 1
        1000 bind proxy7 to t4 for 1
        1000 bind proxy8 to t2 for 1
        1000 bind proxy9 to t4 for 1
        1000 bind proxy10 to t2 for 1
        1000 no answer to any mark yet
        2000 bind proxy11 to t4 for 1
        2000 bind proxy0 to t2 for 1
        2000 proxy3 leaves and returns
        2000 bind proxy3 to t2 for 1
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against gating a busy zone: traffic reports were late, probes of busy hosts timed out, and the whole zone was
/// gated (randomized faults on ledger-sicilia).
#[test]
fn probes_that_time_out_while_reports_are_late_do_not_gate_hosts_that_served() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    for host in 0..3 {
        fleet.host_report(host, 0, 5, 0, 200.0);
    }
    fleet.trace.clear();
    fleet.probes(0, &[ProbeOutcome::TimedOut; 4]);
    fleet.probes(1, &[ProbeOutcome::Unreachable; 3]);
    expect![[r#"
        2000 timedout host0
        3000 timedout host0
        4000 timedout host0
        5000 timedout host0
        6000 unreachable host1
        7000 unreachable host1
        8000 unreachable host1
        8000 withdraw host1
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_zone_whose_hosts_fail_uses_its_neighbours_and_is_never_without_a_host() {
    let mut fleet = Fleet::new(2, 4);
    fleet.join(0);
    fleet.trace.clear();
    for host in [0, 2] {
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    for host in [0, 2] {
        fleet.probes(host, &[ProbeOutcome::Answered; 3]);
    }
    fleet.run(15);
    expect![[r#"
        1200 t0 host1 weight 1
        1200 t0 host3 weight 1
        2000 unreachable host0
        3000 unreachable host0
        4000 unreachable host0
        4000 withdraw host0
        5000 unreachable host2
        6000 unreachable host2
        7000 unreachable host2
        7000 withdraw host2
        8000 answered host0
        9000 answered host0
        9000 t0 host0 weight 0.25
        9000 restore host0
        10000 answered host0
        11000 answered host2
        12000 answered host2
        12000 t0 host2 weight 0.25
        12000 restore host2
        13000 t0 host0 weight 1
        13000 answered host2
        16000 t0 host2 weight 1
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against a cold host that is alone in its table, which happened when a zone returned after a network cut
/// (randomized faults on ledger-sicilia).
#[test]
fn a_cold_host_is_restored_after_the_warm_ones_and_neighbours_are_removed_last() {
    let mut fleet = Fleet::new(2, 6);
    fleet.join(0);
    fleet.join(1);
    for host in [0, 2, 4] {
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    fleet.list_host(0, Availability::InService, Some(fleet.now));
    fleet.run(30);
    fleet.trace.clear();
    for host in [0, 2, 4] {
        fleet.probes(host, &[ProbeOutcome::Answered; 2]);
    }
    fleet.run(12);
    expect![[r#"
        17000 answered host0
        18000 answered host0
        19000 answered host2
        20000 answered host2
        20000 t0 host1 weight 0.4375
        20000 t0 host2 weight 0.25
        20000 t0 host3 weight 0.4375
        20000 t0 host5 weight 0.4375
        20000 restore host2
        21000 answered host4
        22000 answered host4
        22000 t0 host4 weight 0.25
        22000 restore host4
        24000 t0 host0 weight 0.5
        24000 t0 host1 weight 0.25
        24000 t0 host2 weight 1
        24000 t0 host3 weight 0.25
        24000 t0 host5 weight 0.25
        24000 restore host0
    "#]]
    .assert_eq(&fleet.trace);
}

// Guards against a cold host that gets all traffic for a moment: it was let in by the same reply as the warm ones of its
// table (randomized faults on ledger-sicilia).
#[test]
fn a_cold_host_is_restored_by_a_later_reply_than_a_warm_one() {
    let mut fleet = Fleet::new(1, 8);
    fleet.join(0);
    for host in [0, 2] {
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    fleet.list_host(0, Availability::InService, Some(fleet.now));
    fleet.run(30);
    fleet.trace.clear();
    let answered = |host| Event::ProbeResult {
        host: HostId(host),
        outcome: ProbeOutcome::Answered,
        duration: 2.0,
        load: LoadReport::default(),
    };
    for _ in 0..2 {
        fleet.run(5);
        fleet.send(&[answered(0), answered(2)]);
    }
    fleet.run(2);
    let restores = fleet.trace.lines().filter(|line| line.contains("restore"));
    expect![[r#"
        15000 restore host2
        15200 restore host0"#]]
    .assert_eq(&restores.collect::<Vec<_>>().join("\n"));
}

/// Guards against hosts that have restarted but stay gated for failures from before the restart
/// (docs/incidents/nadi-campus.md).
#[test]
fn a_restart_clears_the_failures_counted_against_a_host() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    for _ in 0..2 {
        fleet.run(5);
        fleet.host_report(0, 0, 10, 9, 20.0);
        for host in 1..4 {
            fleet.host_report(host, 0, 10, 0, 100.0);
        }
    }
    fleet.run(1);
    fleet.trace.clear();
    fleet.list_host(0, Availability::InService, Some(fleet.now - 4_000.0));
    fleet.probes(0, &[ProbeOutcome::Answered; 2]);
    fleet.run(2);
    expect![[r#"
        3200 admit t0 for 1: 1 One
        4200 answered host0
        5200 answered host0
        5200 t0 host0 weight 0.25
        5200 restore host0
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against tables with all hosts of a large zone: at full fleet size they cost a handshake per txn, and
/// connections were refused.
#[test]
fn many_hosts_are_split_into_small_tables_and_a_heavy_proxy_gets_a_wide_one() {
    let mut fleet = Fleet::new(1, 24);
    let joins = |proxy: u16, txns_per_s: f64| {
        let (proxy, zone) = (ProxyId(proxy), ZoneId(0));
        Event::ProxyJoined { proxy, zone, txns_per_s, without_table: true }
    };
    let mut events: Vec<Event> = (1..9).map(|proxy| joins(proxy, 5.0)).collect();
    events.push(joins(0, 30.0));
    fleet.send(&events);
    fleet.run(1);
    let bound: String =
        fleet.trace.lines().filter(|line| line.contains("bind")).collect::<Vec<_>>().join("\n");
    expect![[r#"
        1000 bind proxy0 to t0 for 1
        1000 bind proxy1 to t6 for 1
        1000 bind proxy2 to t8 for 1
        1000 bind proxy3 to t10 for 1
        1000 bind proxy4 to t12 for 1
        1000 bind proxy5 to t6 for 1
        1000 bind proxy6 to t8 for 1
        1000 bind proxy7 to t10 for 1
        1000 bind proxy8 to t12 for 1"#]]
    .assert_eq(&bound);
}

/// Guards against needless cross-zone traffic: at full fleet size each controller saw only the proxies of its own zone,
/// took the hosts of other zones for idle and sent a third of all txns there.
#[test]
fn zones_of_other_controllers_are_not_taken_for_idle() {
    let mut fleet = Fleet::one_of_two_controllers(2, 4);
    fleet.join(0);
    fleet.run(2);
    fleet.note("the other zone says that it is far less busy");
    let busy = |host: u32| Event::ProbeResult {
        host: HostId(host),
        outcome: ProbeOutcome::Answered,
        duration: 2.0,
        load: LoadReport { utilization: Some([0.9, 0.3][host as usize % 2]), ..LoadReport::default() },
    };
    fleet.send(&(0..4).map(busy).collect::<Vec<_>>());
    expect![[r#"
        1000 t0 host0 weight 1
        1000 t0 host2 weight 1
        1000 admit t0 for 1: 1 AfterProof
        1000 bind proxy0 to t0 for 1
        1400 the other zone says that it is far less busy
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against admission levels that fall to zero because of refused connections: at full fleet size hosts accepted
/// few connections, and the other tries failed at once.
#[test]
fn failed_tries_beside_quick_answers_lower_no_level() {
    let mut fleet = Fleet::with(1, 2, vec![product(Idempotency::Idempotent)], LevelKind::Fraction);
    fleet.join(0);
    fleet.trace.clear();
    for mean in [200.0, 200.0, 700.0, 700.0] {
        fleet.run(5);
        fleet.note(&format!("six in ten voided, the others take {mean}"));
        fleet.host_report(0, 0, 20, 12, mean);
        fleet.host_report(1, 0, 20, 12, mean);
        fleet.proxy_report(0, 0, 40);
    }
    fleet.run(2);
    expect![[r#"
        2000 six in ten voided, the others take 200
        3000 six in ten voided, the others take 200
        4000 six in ten voided, the others take 700
        5000 six in ten voided, the others take 700
        5200 admit t0 for 1: 0.75 One
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against cold hosts that return at their former weight because the orders with the reduced weight are still
/// queued (docs/incidents/ledger-sicilia-later.md).
#[test]
fn a_cold_host_waits_until_the_tables_name_its_reduced_weight() {
    let mut fleet = Fleet::new(1, 4);
    (0..10).for_each(|proxy| fleet.join(proxy));
    fleet.list_host(1, Availability::InService, Some(fleet.now));
    fleet.trace.clear();
    fleet.run(20);
    fleet.note("the channel has caught up");
    fleet.catch_up(10);
    fleet.run(3);
    expect![[r#"
        2000 bind proxy0 to t0 for 1
        5000 the channel has caught up
        5000 t0 host1 weight 0.25
        5000 restore host1
        5000 admit t0 for 1: 1 One
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against mass gating: probes returned errors at hosts that were serving, and two thirds of them were gated at
/// once (docs/incidents/ledger-sicilia-later.md).
#[test]
fn probes_that_err_everywhere_gate_a_third_and_no_host_that_serves() {
    let mut fleet = Fleet::new(1, 6);
    fleet.join(0);
    fleet.host_report(5, 0, 10, 0, 100.0);
    fleet.trace.clear();
    fleet.run(1);
    (0..6).rev().for_each(|host| fleet.probes(host, &[ProbeOutcome::Errored; 3]));
    let gates: Vec<&str> = fleet.trace.lines().filter(|line| !line.contains("errored")).collect();
    expect![[r#"
        7200 withdraw host4
        10200 withdraw host3"#]]
    .assert_eq(&gates.join("\n"));
}

/// Guards against a proxy that stays at a small table of which all hosts are gated (randomized faults on
/// nadi-campus-later).
#[test]
fn a_proxy_leaves_a_small_table_whose_hosts_are_all_gated() {
    let mut fleet = Fleet::new(1, 12);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.run(1);
    fleet.trace.clear();
    let load = LoadReport::default();
    let fails = |host| Event::ProbeResult { host, outcome: ProbeOutcome::Unreachable, duration: 2.0, load };
    let fails: Vec<Event> = [0, 1, 4, 5, 8, 9].map(HostId).map(fails).into();
    for _ in 0..3 {
        fleet.run(5);
        fleet.send(&fails);
    }
    fleet.run(5);
    expect![[r#"
        4200 withdraw host0
        4200 withdraw host1
        4200 withdraw host4
        4200 withdraw host5
        4200 withdraw host8
        4200 withdraw host9
        4200 t4 host2 weight 1
        4200 t4 host3 weight 1
        4200 t4 host6 weight 1
        4200 t4 host7 weight 1
        4200 t4 host10 weight 1
        4200 t4 host11 weight 1
        4200 bind proxy3 to t4 for 1
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// Guards against moving proxies while hosts accept few connections, as at full fleet size: each move costs the proxy
/// the connections that it has.
#[test]
fn proxies_keep_their_tables_while_few_connections_are_accepted() {
    let mut fleet = Fleet::new(1, 24);
    (0..5).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(5);
    fleet.trace.clear();
    for (voided, word) in [(12, "six in ten voided beside quick answers"), (0, "none voided")] {
        fleet.note(word);
        for _ in 0..14 {
            (0..24).for_each(|host| fleet.host_report(host, 0, 20, voided, 200.0));
            (0..5).for_each(|proxy| fleet.proxy_report(proxy, 0, [60, 10][usize::from(proxy > 0)]));
            fleet.run(5);
        }
    }
    let lines = fleet.trace.lines().filter(|line| line.contains("bind") || line.contains("voided"));
    expect![[r#"
        1000 six in ten voided beside quick answers
        15000 none voided
        25400 bind proxy1 to t6 for 1
        25400 bind proxy2 to t8 for 1"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}

/// Guards against a cold host that gets all traffic of a table: while few connections were accepted no proxy was
/// moved, so three proxies stayed at a table with a single cold host left, and it failed (scenario `join+mass`, seed
/// 4).
#[test]
fn a_table_with_one_cold_host_left_is_not_kept_while_few_connections_are_accepted() {
    let mut fleet = Fleet::new(1, 24);
    (0..9).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(9);
    let few_connections = |fleet: &mut Fleet| {
        (0..24).for_each(|host| fleet.host_report(host, 0, 40, 9, 200.0));
        (0..9).for_each(|proxy| fleet.proxy_report(proxy, 0, 20));
        fleet.run(5);
        fleet.catch_up(9);
    };
    (0..14).for_each(|_| few_connections(&mut fleet));
    fleet.trace.clear();
    fleet.note("five of the six hosts of a table leave, and the sixth has just started anew");
    let started = fleet.now - 5_000.0;
    fleet.list_host(0, Availability::InService, Some(started));
    [1, 8, 9, 16, 17].into_iter().for_each(|host| fleet.list_host(host, Availability::Draining, None));
    (0..6).for_each(|_| few_connections(&mut fleet));
    let lines = fleet.trace.lines().filter(|line| line.contains("bind") || line.contains("leave"));
    expect![[r#"
        15000 five of the six hosts of a table leave, and the sixth has just started anew
        15000 bind proxy0 to t8 for 1
        15000 bind proxy8 to t12 for 1"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}

/// Guards against proxies that stay at a small table of which all hosts of the own zone are gated, because it still
/// contains hosts of neighbour zones. Seen at full fleet size.
#[test]
fn a_table_without_open_hosts_of_its_zone_is_left_if_a_class_is_confined_to_the_zone() {
    let confined = RequestClass { home_zone_only: true, ..product(Idempotency::NonIdempotent) };
    let products = vec![product(Idempotency::Idempotent), confined];
    let mut fleet = Fleet::with(2, 24, products, LevelKind::Off);
    (0..6).for_each(|proxy| fleet.join(2 * proxy));
    fleet.catch_up(11);
    fleet.trace.clear();
    for host in (0..24).filter(|host| host % 4 == 0) {
        fleet.catch_up(11);
        fleet.probes(host, &[ProbeOutcome::Unreachable; 3]);
    }
    let lines = fleet.trace.lines().filter(|line| line.contains("withdraw") || line.contains("bind"));
    expect![[r#"
        4000 withdraw host0
        7000 withdraw host4
        10000 withdraw host8
        13000 withdraw host12
        13000 bind proxy6 to t8 for 1
        13000 bind proxy6 to t10 for 10
        16000 withdraw host16
        19000 withdraw host20
        19000 bind proxy10 to t10 for 10
        19000 bind proxy10 to t8 for 1"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}

/// The restores of hosts 0 to `restarted` in a zone of 11, by time, while all hosts in service are slow.
fn restores_while_all_are_slow(restarted: u32) -> BTreeMap<String, usize> {
    let mut fleet = Fleet::new(1, 11);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(4);
    let started = Some(fleet.now);
    (0..restarted).for_each(|host| fleet.list_host(host, Availability::InService, started));
    fleet.trace.clear();
    for _ in 0..22 {
        (restarted..11).for_each(|host| fleet.host_report(host, 0, 20, 0, 900.0));
        fleet.run(5);
        fleet.catch_up(4);
    }
    let mut restores = BTreeMap::new();
    for line in fleet.trace.lines().filter(|line| line.contains("restore host")) {
        *restores.entry(line.split(' ').next().unwrap_or_default().to_string()).or_insert(0) += 1;
    }
    restores
}

// Guards against cold hosts that get all remaining traffic because proxies avoid overloaded hosts: at half of its capacity a
// host was let in, and failed two seconds later (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn a_few_cold_hosts_stay_out_until_they_are_warm_while_all_are_slow() {
    expect![[r#"{"21000": 2}"#]].assert_eq(&format!("{:?}", restores_while_all_are_slow(2)));
}

// Guards against hosts that stay overloaded because those that have restarted are kept out: after most of the hosts had
// restarted cold, only the others served (a recorded run over sockets).
#[test]
fn cold_hosts_that_can_take_all_txns_come_in_together_before_they_are_warm() {
    expect![[r#"{"16400": 9}"#]].assert_eq(&format!("{:?}", restores_while_all_are_slow(9)));
}

// Guards against cold hosts that come in just before the others are overloaded: reports are late, and showed that only when
// they had failed (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn a_cold_host_stays_out_while_too_few_hosts_are_warm() {
    let mut fleet = Fleet::new(1, 8);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(4);
    (1..4).for_each(|host| fleet.list_host(host, Availability::Draining, None));
    let started = fleet.now;
    fleet.list_host(0, Availability::InService, Some(started));
    fleet.trace.clear();
    fleet.run(50);
    fleet.note("two of them stay after all");
    (1..3).for_each(|host| fleet.list_host(host, Availability::InService, None));
    fleet.catch_up(4);
    fleet.run(5);
    let lines = fleet.trace.lines().filter(|line| line.contains("restore") || line.contains("stay"));
    expect![[r#"
        11000 two of them stay after all
        11000 restore host1
        11000 restore host2
        11000 restore host0"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}

// Guards against hosts that are held back for no reason: proxies that come from another controller bring demand that the
// hosts have served all along (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn proxies_of_another_controller_that_join_hold_back_no_cold_host() {
    let mut fleet = Fleet::new(1, 8);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(4);
    let started = fleet.now;
    fleet.list_host(0, Availability::InService, Some(started));
    fleet.join_all(&[(4, false), (5, false), (6, false), (7, false)]);
    fleet.trace.clear();
    for _ in 0..4 {
        fleet.catch_up(8);
        fleet.run(5);
    }
    let restores: Vec<&str> = fleet.trace.lines().filter(|line| line.contains("restore")).collect();
    expect![[r#"["3600 restore host0"]"#]].assert_eq(&format!("{restores:?}"));
}

// Guards against a fleet that serves nothing after a restart of all its hosts: a new controller took the demand of the first
// proxies for the usual one and held all hosts back (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn a_fleet_that_restarts_whole_is_served_though_its_proxies_join_one_by_one() {
    let mut fleet = Fleet::new(1, 4);
    let started = fleet.now;
    (0..4).for_each(|host| fleet.list_host(host, Availability::InService, Some(started)));
    for proxy in 0..8 {
        fleet.join(proxy);
        fleet.catch_up(proxy + 1);
        fleet.run(1);
    }
    for _ in 0..4 {
        fleet.catch_up(8);
        fleet.run(5);
    }
    let restores: Vec<&str> = fleet.trace.lines().filter(|line| line.contains("restore")).collect();
    expect![[r#"["4400 restore host0", "4400 restore host1", "4400 restore host2", "4400 restore host3"]"#]]
        .assert_eq(&format!("{restores:?}"));
}

// Guards against a cold host that gets all txns of a class that stays in its zone: the first of a lost zone came in alone
// (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn the_first_hosts_of_a_zone_that_restarts_come_in_together_where_no_level_protects_them() {
    let confined = RequestClass { home_zone_only: true, ..product(Idempotency::NonIdempotent) };
    let mut fleet = Fleet::with(2, 12, vec![confined], LevelKind::Off);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.catch_up(4);
    fleet.run(10);
    let in_zone: Vec<u32> = (0..12).filter(|host| host % 2 == 0).collect();
    in_zone.iter().for_each(|host| fleet.list_host(*host, Availability::Draining, None));
    fleet.catch_up(4);
    fleet.run(5);
    fleet.trace.clear();
    fleet.note("the first is back");
    let started = fleet.now;
    fleet.list_host(0, Availability::InService, Some(started));
    fleet.run(20);
    fleet.note("all are back");
    let started = fleet.now;
    in_zone[1..].iter().for_each(|host| fleet.list_host(*host, Availability::InService, Some(started)));
    for _ in 0..10 {
        fleet.catch_up(4);
        fleet.run(5);
    }
    let lines = fleet.trace.lines().filter(|line| line.contains("restore") || line.contains("back"));
    expect![[r#"
        4000 the first is back
        8000 all are back
        10800 restore host0
        10800 restore host2
        10800 restore host4
        10800 restore host6
        10800 restore host8
        10800 restore host10"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}

// Guards against cold hosts that get the load of gated ones: after most hosts had restarted, a third of all hosts was as
// many as were warm, and all of these were gated (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn gates_leave_two_thirds_of_the_warm_hosts_beside_cold_ones() {
    let mut fleet = Fleet::new(1, 12);
    (0..4).for_each(|proxy| fleet.join(proxy));
    let started = fleet.now - 8_000.0;
    (8..12).for_each(|host| fleet.list_host(host, Availability::InService, Some(started)));
    fleet.run(10);
    fleet.catch_up(4);
    fleet.trace.clear();
    for _ in 0..6 {
        (0..12).for_each(|host| fleet.host_report(host, 0, 10, if host < 4 { 8 } else { 0 }, 100.0));
        fleet.run(5);
        fleet.catch_up(4);
    }
    let withdrawn = fleet.trace.lines().filter_map(|line| line.split_once("withdraw host"));
    let warm = withdrawn.filter(|(_, host)| host.parse::<u32>().is_ok_and(|host| host < 8));
    assert_eq!(warm.count(), 2, "{}", fleet.trace);
}

/// The times at which the host is restored while each report of the others says that so many of 20 tries failed. The last
/// `silent_s` seconds bring no report.
fn restores_of_cold_host(failed: u32, reported_s: u32, silent_s: u32) -> Vec<String> {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.list_host(1, Availability::InService, Some(fleet.now));
    fleet.trace.clear();
    for _ in 0..reported_s {
        (0..4).filter(|host| *host != 1).for_each(|host| fleet.host_report(host, 0, 20, failed, 100.0));
        fleet.run(5);
    }
    fleet.run(5 * silent_s);
    fleet.trace.lines().filter(|line| line.contains("restore host1")).map(String::from).collect()
}

// Guards against cold hosts that are let in beside hosts that fail: where all tries failed, the fleet did not count as
// overloaded (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn a_fleet_where_all_tries_fail_counts_as_overloaded() {
    let half_fail = restores_of_cold_host(10, 14, 0);
    assert_eq!(restores_of_cold_host(20, 14, 0), half_fail);
    assert_ne!(restores_of_cold_host(0, 14, 0), half_fail);
}

// Guards against cold hosts that are let in because no report arrives: while reports were late, the fleet did not count as
// overloaded (docs/incidents/cold-hosts-overloaded.md).
#[test]
fn an_overloaded_fleet_counts_as_such_until_reports_say_otherwise() {
    let all_reported = restores_of_cold_host(10, 14, 0);
    assert_eq!(restores_of_cold_host(10, 2, 12), all_reported);
}

/// Guards against gating a restarted host for old failures: tries that were in progress when the host died are reported
/// as failed seconds after its restart, and gated it again for eight seconds (the same recorded run).
#[test]
fn reports_from_before_a_restart_gate_no_host() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.probes(1, &[ProbeOutcome::Unreachable; 3]);
    fleet.list_host(1, Availability::InService, Some(fleet.now));
    fleet.trace.clear();
    for _ in 0..4 {
        (0..4).for_each(|host| fleet.host_report(host, 0, 6, if host == 1 { 6 } else { 0 }, 100.0));
        fleet.probes(1, &[ProbeOutcome::Answered]);
    }
    expect![[r#"
        5000 answered host1
        6000 answered host1
        6600 t0 host1 weight 0.25
        6600 restore host1
        6600 admit t0 for 1: 1 One
        7000 answered host1
        8000 answered host1
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against full weight for hosts whose restart is not listed yet: a zone was lost and returned cold, the list
/// reported the restarts one second late, and meanwhile all controllers gave the hosts their full weight. A quarter of
/// them failed (a run with several controllers).
#[test]
fn an_unreachable_host_returns_at_a_quarter_weight_before_the_list_reports_its_restart() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.probes(1, &[ProbeOutcome::Unreachable; 3]);
    fleet.trace.clear();
    fleet.probes(1, &[ProbeOutcome::Answered; 2]);
    let started = fleet.now - 300.0;
    fleet.note("host1 is listed with a new start");
    fleet.list_host(1, Availability::InService, Some(started));
    fleet.run(50);
    expect![[r#"
        5000 answered host1
        6000 answered host1
        6000 t0 host1 weight 0.25
        6000 restore host1
        6000 host1 is listed with a new start
        6000 admit t0 for 1: 1 One
        14600 t0 host1 weight 0.5
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against slow detection of a slow instance type: with several controllers the reports of one controller cover
/// each host so rarely that slow hosts were known individually only after half a minute, while all hosts of their type
/// together showed it in five seconds.
#[test]
fn a_slow_instance_type_gets_less_weight_before_its_hosts_are_known_individually() {
    // Each host is reported from 20 zones: with many pairs of host and zone, reports of one pair are rare.
    let host_reports = |fleet: &mut Fleet, slow: f64| {
        for (host, zone) in (0..8).flat_map(|host| (0..20).map(move |zone| (host, zone))) {
            fleet.host_report(host, zone, 1, 0, if host % 2 == 1 { slow } else { 200.0 });
        }
        fleet.run(5);
    };
    let mut fleet = Fleet::new(1, 8);
    fleet.join(0);
    fleet.run(2);
    fleet.trace.clear();
    for round in 0..4 {
        fleet.note(&format!("round {round}"));
        host_reports(&mut fleet, 400.0);
    }
    fleet.note("a new host of the slow kind");
    fleet.list_host(9, Availability::InService, None);
    fleet.run(5);
    expect![[r#"
        1400 round 0
        1600 t0 host1 weight 0.6
        1600 t0 host3 weight 0.6
        1600 t0 host5 weight 0.6
        1600 t0 host7 weight 0.6
        2400 round 1
        3400 round 2
        4400 round 3
        5200 t0 host1 weight 0.5
        5200 t0 host3 weight 0.5
        5200 t0 host5 weight 0.5
        5200 t0 host7 weight 0.5
        5400 a new host of the slow kind
        5400 t0 host9 weight 0.5
        5400 restore host9
    "#]]
    .assert_eq(&fleet.trace);

    // Listed weights that differ already state the capacity of an instance type.
    let mut fleet = Fleet::new(1, 8);
    fleet.join(0);
    let entry = HostEntry { weight: 2.0, ..fleet.entry(0) };
    fleet.send(&[Event::List { update: ListUpdate::Changes, entries: vec![entry] }]);
    fleet.run(2);
    fleet.trace.clear();
    (0..4).for_each(|_| host_reports(&mut fleet, 400.0));
    expect![[r#""#]].assert_eq(&fleet.trace);

    // Reports of each host are frequent enough, so the instance type is not used.
    let mut fleet = Fleet::new(1, 8);
    fleet.join(0);
    fleet.run(2);
    fleet.trace.clear();
    for _ in 0..4 {
        (0..8).for_each(|host| fleet.host_report(host, 0, 20, 0, if host % 2 == 1 { 400.0 } else { 200.0 }));
        fleet.run(5);
    }
    expect![[r#""#]].assert_eq(&fleet.trace);
}

/// Four ticks with reports of four hosts; all tries at host 1 failed.
fn failures_at_host1(fleet: &mut Fleet) {
    for _ in 0..4 {
        (0..4).for_each(|host| fleet.host_report(host, 0, 6, if host == 1 { 6 } else { 0 }, 100.0));
        fleet.run(1);
    }
}

/// Guards against gating hosts for old failures: with many pairs of host and zone a report covers a long time, so
/// reports contained tries from before a host was restored, and a quarter of the hosts that had just returned were
/// gated for eight seconds (the same run).
#[test]
fn reports_from_before_a_cold_host_was_restored_gate_no_host() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.probes(1, &[ProbeOutcome::Unreachable; 3]);
    fleet.list_host(1, Availability::InService, Some(fleet.now));
    fleet.probes(1, &[ProbeOutcome::Answered; 2]);
    fleet.run(10);
    fleet.trace.clear();
    fleet.note("sums of what was before");
    let span = fleet.span;
    fleet.span = 4_000.0;
    failures_at_host1(&mut fleet);
    fleet.run(30);
    fleet.note("sums of what is");
    fleet.span = span;
    failures_at_host1(&mut fleet);
    expect![[r#"
        8000 sums of what was before
        12800 t0 host1 weight 0.5
        14800 sums of what is
        15200 withdraw host1
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against binds that are applied too late: the backlog allowed 13 s of lines and routine orders kept half of it
/// full, so the binds that announce withdrawn hosts arrived after the grace period (a run with several controllers).
#[test]
fn routine_orders_wait_for_no_more_than_the_channel_sends_soon() {
    let mut fleet = Fleet::with_channel(1, 4, 60_000.0);
    let joined = |proxy| Event::ProxyJoined {
        proxy: ProxyId(proxy),
        zone: ZoneId(0),
        txns_per_s: 10.0,
        without_table: true,
    };
    fleet.send(&(0..200).map(joined).collect::<Vec<_>>());
    fleet.catch_up(200);
    fleet.trace.clear();
    fleet.note("more weight for each host in turn, 1,000 lines");
    for host in 0..4 {
        let entry = HostEntry { weight: 2.0 + f64::from(host), ..fleet.entry(host) };
        fleet.send(&[Event::List { update: ListUpdate::Changes, entries: vec![entry] }]);
        fleet.run(1);
    }
    fleet.note("a drain goes ahead of what was not written");
    fleet.list_host(3, Availability::Draining, None);
    expect![[r#"
        1000 more weight for each host in turn, 1,000 lines
        1000 t0 host0 weight 2
        1800 a drain goes ahead of what was not written
        1800 withdraw host3
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards the grace period of a drain, which is queued behind all lines written before it. A host restarts beside 200
/// proxies, at 1,000 lines per second, while other hosts drain. Restoring it alone would cost a message head for each
/// proxy, so while that much is queued it waits for the next drain and goes into the same messages.
#[test]
fn restoring_a_host_while_others_drain_delays_no_later_drain() {
    let mut fleet = Fleet::with_channel(1, 11, 60_000.0);
    let joined = |proxy| Event::ProxyJoined {
        proxy: ProxyId(proxy),
        zone: ZoneId(0),
        txns_per_s: 10.0,
        without_table: true,
    };
    fleet.send(&(0..200).map(joined).collect::<Vec<_>>());
    fleet.catch_up(200);
    fleet.trace.clear();
    fleet.list_host(7, Availability::Draining, None);
    fleet.list_host(6, Availability::Draining, None);
    fleet.note("no proxy answers; one starts anew, and is warm enough for a quarter");
    fleet.list_host(7, Availability::InService, Some(fleet.now - 3_000.0));
    fleet.run(3);
    fleet.note("another leaves");
    fleet.list_host(5, Availability::Draining, None);
    expect![[r#"
        1000 withdraw host7
        1000 withdraw host6
        1000 no proxy answers; one starts anew, and is warm enough for a quarter
        1600 another leaves
        1600 withdraw host5
        1600 t0 host7 weight 0.25
        1600 restore host7
    "#]]
    .assert_eq(&fleet.trace);
}

/// The number of binds at each time.
fn binds(fleet: &Fleet) -> String {
    let mut binds = std::collections::BTreeMap::new();
    let bound = fleet.trace.lines().filter(|line| line.contains(" bind "));
    bound.for_each(|line| *binds.entry(line.split(' ').next().unwrap_or_default()).or_insert(0) += 1);
    format!("{binds:?}")
}

/// Guards the backlog limit after the relay was unreachable. It was unreachable for six seconds and 860 orders
/// waited; then all proxies counted as having joined again and their old lines as gone, so 46,125 lines waited where
/// the limit is 38,400 (a run with several controllers).
#[test]
fn lines_that_wait_for_proxies_that_may_have_left_still_count() {
    let mut fleet = Fleet::new(1, 4);
    (0..14).for_each(|proxy| fleet.join(proxy));
    fleet.trace.clear();
    let joined = |proxy| Event::ProxyJoined {
        proxy: ProxyId(proxy),
        zone: ZoneId(0),
        txns_per_s: 10.0,
        without_table: false,
    };
    fleet.send(&(0..14).map(joined).collect::<Vec<_>>());
    fleet.run(4);
    expect![[r#"{"1000": 3, "1200": 6, "1400": 5}"#]].assert_eq(&binds(&fleet));

    // Once a later message is applied, all lines before it have been sent. Without this rule half of the proxies
    // stayed unbound for fifteen seconds in a slow run, and a host that was withdrawn before they joined received
    // their txns after the grace period.
    let mut fleet = Fleet::new(1, 4);
    (0..14).for_each(|proxy| fleet.join(proxy));
    fleet.trace.clear();
    fleet.send(&(0..14).map(joined).collect::<Vec<_>>());
    fleet.catch_up(14);
    expect![[r#"{"1000": 14}"#]].assert_eq(&binds(&fleet));
}

/// Guards the limits of lines and messages over sockets: each repeat of a call counts once more, so gates, and then
/// also drains, wait for room instead of exceeding a limit.
#[test]
fn repeated_calls_count_against_the_limits() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.send(&vec![Event::CallDuplicated { mark: MarkId(0) }; 24]);
    fleet.note("repeated 24 times");
    fleet.list_host(1, Availability::Draining, None);
    fleet.note("all has left the channel");
    fleet.catch_up(1);
    fleet.probes(0, &[ProbeOutcome::Unreachable, ProbeOutcome::Unreachable, ProbeOutcome::Unreachable]);
    fleet.run(50);
    expect![[r#"
        1000 repeated 24 times
        1000 all has left the channel
        1000 withdraw host1
        1000 t0 host1 weight 0
        2000 unreachable host0
        3000 unreachable host0
        4000 unreachable host0
        12000 withdraw host0
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against memory growth when hosts are replaced: a host that is gone is forgotten once no table names it and
/// all proxies are bound. A host that is listed again later is admitted, whatever withdrew it before.
#[test]
fn a_gone_host_is_forgotten_once_no_proxy_can_still_use_it() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.list_host(1, Availability::Removed, None);
    fleet.host_report(1, 0, 6, 6, 0.0);
    fleet.run(5);
    fleet.note("it is listed again");
    fleet.list_host(1, Availability::InService, None);
    fleet.run(5);
    expect![[r#"
        1000 withdraw host1
        1000 t0 host1 weight 0
        1000 forget host1
        2000 it is listed again
        2000 t0 host1 weight 1
        2000 restore host1
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against a failing host that keeps its weight: a slow host failed four of five tries for half a minute, with
/// too few successful tries for its weight to be reduced and too slow answers for it to be gated (a recorded run over
/// sockets).
#[test]
fn a_host_with_mostly_failed_tries_and_slow_answers_gets_less_weight() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.trace.clear();
    for _ in 0..9 {
        fleet.host_report(1, 0, 10, 8, 2_500.0);
        (0..4).filter(|host| *host != 1).for_each(|host| fleet.host_report(host, 0, 10, 0, 200.0));
        fleet.run(5);
        fleet.catch_up(1);
    }
    expect![[r#"
        1200 t0 host1 weight 0.5
        5200 t0 host1 weight 0.25
        9200 t0 host1 weight 0.125
    "#]]
    .assert_eq(&fleet.trace);
}

/// Traffic reports would show the overload two periods later. The weight rises again only by traffic reports.
#[test]
fn a_host_that_reports_twice_the_load_of_others_gets_less_weight_before_traffic_reports_arrive() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.run(5);
    fleet.trace.clear();
    for _ in 0..10 {
        fleet.load_reports(&[(0, 2.4), (1, 0.5), (2, 0.6), (3, 0.9)], 100.0, 1.0);
        fleet.run(5);
    }
    expect![[r#"
        2200 t0 host0 weight 0.75
        6200 t0 host0 weight 0.5625
        10200 t0 host0 weight 0.421875
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against acting on load reports without support: none of these reduces a weight, gates a host or lifts a gate.
#[test]
fn uncertain_old_superseded_or_equal_load_reports_change_nothing() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.run(5);
    fleet.probes(2, &[ProbeOutcome::Unreachable, ProbeOutcome::Unreachable, ProbeOutcome::Unreachable]);
    fleet.trace.clear();
    fleet.note("unsure");
    fleet.load_reports(&[(0, 9.0), (1, 0.5), (2, 0.5), (3, 0.5)], 100.0, 0.4);
    fleet.run(2);
    fleet.note("old");
    fleet.load_reports(&[(0, 9.0), (1, 0.5), (2, 0.5), (3, 0.5)], 2_100.0, 1.0);
    fleet.run(2);
    fleet.note("a probe came later");
    fleet.load_reports(&[(0, 9.0), (1, 0.5), (2, 0.5), (3, 0.5)], 100.0, 1.0);
    let (host, load) = (HostId(0), LoadReport::default());
    fleet.send(&[Event::ProbeResult { host, outcome: ProbeOutcome::Answered, duration: 2.0, load }]);
    fleet.run(2);
    fleet.note("a sum came later");
    fleet.load_reports(&[(0, 9.0), (1, 0.5), (2, 0.5), (3, 0.5)], 900.0, 1.0);
    fleet.host_report(0, 0, 10, 0, 100.0);
    fleet.run(2);
    fleet.note("all alike");
    fleet.load_reports(&[(0, 9.0), (1, 8.0), (2, 9.0), (3, 8.5)], 100.0, 1.0);
    fleet.run(2);
    fleet.note("a gated host says that it is idle");
    fleet.load_reports(&[(2, 0.0)], 0.0, 1.0);
    fleet.run(20);
    expect![[r#"
        5000 unsure
        5400 old
        5800 a probe came later
        6200 a sum came later
        6600 all alike
        7000 a gated host says that it is idle
    "#]]
    .assert_eq(&fleet.trace);
}

/// A level of reduced service is set from outside: the smaller of it and the module's own level is admitted.
#[test]
fn a_bound_holds_for_its_product_and_zone_and_waits_while_nothing_is_known() {
    let products = vec![product(Idempotency::Idempotent), product(Idempotency::NonIdempotent)];
    let mut fleet = Fleet::with(1, 4, products, LevelKind::Fraction);
    let (zone, max_tries) = (ZoneId(0), RetryPolicy::One);
    fleet.send(&[Event::LevelsUnknown { on: true }]);
    fleet.join(0);
    fleet.run(5);
    fleet.trace.clear();
    fleet.note("bounded, and waiting");
    fleet.send(&[Event::ServiceBound { zone, class: ClassId(0), max_share: 0.3, max_tries }]);
    fleet.run(2);
    fleet.note("known");
    fleet.send(&[Event::LevelsUnknown { on: false }]);
    fleet.run(2);
    fleet.note("nothing of it is let in");
    fleet.send(&[Event::ServiceBound { zone, class: ClassId(0), max_share: 0.0, max_tries }]);
    fleet.run(2);
    fleet.note("lifted");
    fleet.send(&[Event::ServiceBound {
        zone,
        class: ClassId(0),
        max_share: 1.0,
        max_tries: RetryPolicy::TwiceAfterAny,
    }]);
    fleet.run(2);
    expect![[r#"
        2000 bounded, and waiting
        2400 known
        2400 admit t0 for 1: 0.3 One
        2400 admit t0 for 10: 1 AfterProof
        2800 nothing of it is let in
        2800 admit t0 for 1: 0 One
        3200 lifted
        3200 admit t0 for 1: 1 AfterProof
    "#]]
    .assert_eq(&fleet.trace);
}

/// Hints carry over what an earlier controller learned. Two passed probes or a traffic report take precedence over
/// them.
#[test]
fn hints_of_an_earlier_controller_reduce_weights_and_gate_until_newer_evidence_arrives() {
    let mut fleet = Fleet::new(1, 4);
    let hint =
        |host, latency_factor, gated| Event::WarmStartHint { host: HostId(host), latency_factor, gated };
    fleet.trace.clear();
    fleet.send(&[hint(0, 0.5, false), hint(1, 1.0, true)]);
    fleet.join(0);
    fleet.run(3);
    fleet.probes(1, &[ProbeOutcome::Answered, ProbeOutcome::Answered]);
    fleet.host_report(2, 0, 10, 0, 100.0);
    fleet.run(1);
    fleet.note("a hint about what was seen");
    fleet.send(&[hint(2, 0.3, true)]);
    fleet.run(5);
    expect![[r#"
        1000 withdraw host1
        1000 t0 host0 weight 0.5
        1000 t0 host1 weight 1
        1000 t0 host2 weight 1
        1000 t0 host3 weight 1
        1000 admit t0 for 1: 1 AfterProof
        1000 bind proxy0 to t0 for 1
        2600 answered host1
        3600 answered host1
        3600 restore host1
        3800 a hint about what was seen
    "#]]
    .assert_eq(&fleet.trace);
}

/// Guards against a start at which no proxy is ever bound: proxies that join before the first host all count as using
/// it, and restoring it at each of them took more lines than the channel allows.
#[test]
fn proxies_that_join_before_the_list_are_bound_within_the_channel_limit() {
    let mut fleet = Fleet::with(1, 0, vec![product(Idempotency::Idempotent)], LevelKind::Off);
    (0..60).for_each(|proxy| fleet.join(proxy));
    fleet.run(10);
    assert!(!fleet.trace.contains("bind"), "nothing to bind to");
    fleet.trace.clear();
    let entries = (0..4).map(|host| fleet.entry(host)).collect();
    fleet.send(&[Event::List { update: ListUpdate::Changes, entries }]);
    for _ in 0..40 {
        fleet.run(1);
        fleet.catch_up(60);
    }
    let bound = fleet.trace.lines().filter(|line| line.contains("bind")).count();
    assert!(bound >= 60, "{bound} of 60 are bound");
}

/// Guards against proxies without a host that wait in a takeover: they were bound after all proxies that still have the
/// tables of the failed controller, in the order of their numbers.
#[test]
fn a_takeover_binds_proxies_without_a_host_first_and_the_rest_as_the_channel_has_room() {
    let mut fleet = Fleet::with_channel(1, 4, 60.0);
    fleet.trace.clear();
    let joined: Vec<(u16, bool)> = (0..8).map(|proxy| (proxy, proxy > 5)).collect();
    fleet.join_all(&joined);
    for _ in 0..3 {
        fleet.run(1);
        fleet.note("all answer");
        fleet.catch_up(8);
    }
    expect![[r#"
        1000 t0 host0 weight 1
        1000 t0 host1 weight 1
        1000 t0 host2 weight 1
        1000 t0 host3 weight 1
        1000 admit t0 for 1: 1 AfterProof
        1000 bind proxy6 to t0 for 1
        1000 bind proxy7 to t0 for 1
        1000 bind proxy0 to t0 for 1
        1200 all answer
        1200 bind proxy1 to t0 for 1
        1200 bind proxy2 to t0 for 1
        1200 bind proxy3 to t0 for 1
        1200 bind proxy4 to t0 for 1
        1200 bind proxy5 to t0 for 1
        1400 all answer
        1600 all answer
    "#]]
    .assert_eq(&fleet.take_trace());
}

/// Guards discovery against bursts of requests: five controllers that start in the same millisecond, and whose calls
/// fail at once, repeat them at different times, at growing intervals of at most six seconds. None asks again once it
/// got an answer.
#[test]
fn five_controllers_ask_a_failing_discovery_at_different_times_and_stop_once_answered() {
    let mut fleets: Vec<Fleet> = (1..=5).map(Fleet::one_of_five_controllers).collect();
    let mut asks: Vec<Vec<f64>> = vec![vec![]; fleets.len()];
    let asked = |fleet: &mut Fleet| fleet.take_trace().contains("watch true");
    for step in 0..4_000u32 {
        for (fleet, asks) in fleets.iter_mut().zip(&mut asks) {
            if step > 0 {
                fleet.now += 10.0;
                fleet.send(&[]);
            }
            if asked(fleet) {
                asks.push(fleet.now);
                let entries = vec![];
                // Discovery is down for thirty seconds.
                let update = if fleet.now < 31_000.0 { ListUpdate::Failed } else { ListUpdate::Whole };
                fleet.send(&[Event::List { update, entries }]);
            }
        }
    }
    let gaps = asks.iter().flat_map(|asks| asks.windows(2).map(|two| two[1] - two[0]));
    assert!(gaps.clone().all(|gap| (450.0..=6_010.0).contains(&gap)), "{:?}", gaps.collect::<Vec<_>>());
    let again: Vec<f64> = asks.iter().flat_map(|asks| asks[1..].to_vec()).collect();
    let busiest =
        again.iter().map(|at| again.iter().filter(|other| (*at..*at + 100.0).contains(*other)).count());
    // Of the five one in ten would be there by chance, while they wait 2.4 s.
    assert!(busiest.max() <= Some(3), "{asks:?}");
    assert!(asks.iter().all(|asks| asks.iter().filter(|at| **at >= 31_000.0).count() == 1), "{asks:?}");
}

/// Guards against gates that wait for the next timer tick: a series of failed probes led to a gate only on the next
/// tick, while each further failure of a host that was already gated was handled at once.
#[test]
fn a_gate_is_sent_in_the_reply_to_the_probe_that_triggers_it() {
    let mut fleet = Fleet::new(1, 4);
    fleet.join(0);
    fleet.run(5);
    fleet.trace.clear();
    let (host, load) = (HostId(1), LoadReport::default());
    let (duration, outcome) = (2.0, ProbeOutcome::Unreachable);
    for _ in 0..4 {
        fleet.now += 60.0;
        fleet.note("a probe fails");
        fleet.send_without_tick(&[Event::ProbeResult { host, outcome, duration, load }]);
    }
    expect![[r#"
        2060 a probe fails
        2120 a probe fails
        2180 a probe fails
        2180 withdraw host1
        2240 a probe fails
    "#]]
    .assert_eq(&fleet.take_trace());
}
