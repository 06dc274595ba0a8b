//! Difficult cases, each caused explicitly.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;

/// Reports a rate of 10 txns a second for a warm host, and this demand for each proxy.
fn report_demand(guard: &mut Guard, proxies: u16, rate: u32) {
    guard.hear(2.0, &host_report(2, 10));
    (0..proxies).for_each(|proxy| guard.hear(2.0, &proxy_report(proxy, 0, rate)));
}

/// The host restarts at this time.
fn restart_host(guard: &mut Guard, now: f64, host: u32) {
    guard.hear(now, &list(vec![HostEntry { started_at: Some(now), ..in_service(host, 0) }]));
}

#[test]
fn the_last_host_of_each_zone_and_class_is_kept() {
    let (zones, classes, hosts) = (3u16, 2u16, 9u32);
    for (zone, class, left) in
        (0..zones).flat_map(|z| (0..classes).flat_map(move |p| (0..hosts).map(move |h| (z, p, h))))
    {
        // The second class may not leave its zone.
        let mut guard = Guard::new(facts(classes, 0b10));
        guard.hear(0.0, &list((0..hosts).map(|host| in_service(host, (host % 3) as u16)).collect()));
        guard.hear(0.0, &joined(0, zone));
        let tables = |host: u32| if (host % 3) as u16 == zone { vec![0, 1] } else { vec![0] };
        let lines = (0..hosts)
            .flat_map(|host| tables(host).into_iter().map(move |table| set_entry(table, host, 1.0)));
        let binds = (0..classes).map(|p| Order::Bind {
            proxy: ProxyId(0),
            table: TableId(p),
            classes: ClassSet::one(ClassId(p)),
        });
        commit_accepted(&mut guard, 0.0, &lines.chain(binds).collect::<Vec<_>>());
        let serves = |host: u32| class == 0 || (host % 3) as u16 == zone;
        if !serves(left) {
            continue;
        }
        // All other hosts that may serve the class fail probes and are withdrawn; the rest stay.
        let others: Vec<u32> = (0..hosts).filter(|host| *host != left && serves(*host)).collect();
        for host in &others {
            guard.hear(10.0, &probed(*host, ProbeOutcome::TimedOut));
        }
        let withdrawals: Vec<Order> = others.iter().map(|host| withdraw(*host)).collect();
        commit_accepted(&mut guard, 10.0, &withdrawals);
        assert_eq!(rules(&mut guard, 20.0, &[withdraw(left)]), [Rule::Bare], "{zone} {class} {left}");
        assert_eq!(rules(&mut guard, 20.0, &[Order::ClearTable { table: TableId(class) }]), [Rule::Bare]);
        assert_eq!(rules(&mut guard, 20.0, &[set_entry(class, left, 0.0)]), [Rule::Bare]);
        // The host may be withdrawn once another one serves.
        let Some(other) = others.into_iter().find(|host| (host % 3) as u16 == zone) else { continue };
        guard.hear(30.0, &probed(other, ProbeOutcome::Answered));
        assert_eq!(rules(&mut guard, 30.0, &[restore(other), withdraw(left)]), []);
    }
}

#[test]
fn with_only_cold_hosts_left_the_least_excess_is_sent_with_its_price() {
    let mut guard = Guard::new(facts(1, 0));
    let cold = |host: u32| HostEntry { started_at: Some(-1_000.0), ..in_service(host, 1) };
    guard.hear(0.0, &list((0..2).map(|host| in_service(host, 0)).chain((2..4).map(cold)).collect()));
    (0..2).for_each(|proxy| guard.hear(0.0, &joined(proxy, 0)));
    let lines: Vec<Order> = (0..4).map(|host| set_entry(0, host, if host < 2 { 1.0 } else { 0.1 })).collect();
    commit_accepted(&mut guard, 0.0, &[lines, vec![bind(0, 0), bind(1, 0)]].concat());
    guard.hear(1.0, &host_report(0, 10));
    (0..2).for_each(|proxy| guard.hear(2.0, &proxy_report(proxy, 0, 60)));
    // The hosts of zone 0 become unreachable and drain.
    for host in 0..2 {
        guard.hear(500.0, &probed(host, ProbeOutcome::Unreachable));
        guard.hear(
            500.0,
            &list(vec![HostEntry { availability: Availability::Draining, ..in_service(host, 0) }]),
        );
    }
    let (orders, price) = mended(&mut guard, 3_000.0, &[withdraw(0), withdraw(1)]);
    assert!(
        orders.contains(&withdraw(0)) && orders.contains(&withdraw(1)),
        "draining hosts are withdrawn: {orders:?}"
    );
    // Demand is up to 132 txns a second; the two cold hosts survive about 3 x 10 x 1/3 each.
    assert!((80.0..125.0).contains(&price), "{price}");
    // Once the remaining hosts are warm the same batch violates nothing.
    assert_eq!(rules(&mut guard, 20_000.0, &[withdraw(0), withdraw(1)]), []);
}

#[test]
fn a_class_that_may_not_leave_its_zone_keeps_its_only_warm_host() {
    let mut guard = Guard::new(facts(1, 1));
    guard.hear(0.0, &list(vec![in_service(0, 0), in_service(1, 1), in_service(2, 1)]));
    guard.hear(0.0, &joined(0, 0));
    commit_accepted(&mut guard, 0.0, &[set_entry(0, 0, 1.0), bind(0, 0)]);
    let (orders, price) = mended(&mut guard, 10.0, &[withdraw(0), mark(1)]);
    assert_eq!((orders, price), (vec![mark(1)], 0.0));
    // A ready host of another zone may not serve the class.
    assert_eq!(rules(&mut guard, 10.0, &[set_entry(0, 1, 0.0), withdraw(0)]), [Rule::Bare]);
}

#[test]
fn a_bind_is_held_back_while_the_entry_that_it_needs_may_be_missing() {
    let mut guard = small_fleet();
    // The relay gave the call up, so it may never have been carried out.
    let orders = [set_entry(2, 0, 1.0)];
    assert_eq!(guard.judge(100.0, &orders), Verdict::Accepted);
    guard.commit(100.0, &orders);
    guard.gave_up(&orders);
    assert_eq!(rules(&mut guard, 110.0, &[bind(0, 2)]), [Rule::Bare]);
    // The bind passes together with a new order for the entry.
    commit_accepted(&mut guard, 120.0, &[set_entry(2, 0, 1.0), bind(0, 2)]);
}

#[test]
fn a_withdrawal_and_a_restore_in_flight_leave_no_table_without_a_host() {
    let mut guard = small_fleet();
    guard.judge(100.0, &[withdraw(0)]);
    guard.commit(100.0, &[withdraw(0), mark(1)]);
    // The withdrawal is unconfirmed: if it is carried out again after this batch, no host is left.
    let swap = [restore(0), withdraw(1)];
    assert_eq!(rules(&mut guard, 110.0, &swap), [Rule::Bare]);
    guard.answered(120.0, guard.place());
    assert_eq!(rules(&mut guard, 130.0, &swap), []);
}

#[test]
fn a_repeated_call_stays_unconfirmed_until_a_later_one_is_answered() {
    let mut guard = small_fleet();
    guard.commit(100.0, &[withdraw(0), mark(1)]);
    guard.hear(150.0, &Event::CallDuplicated { mark: MarkId(1) });
    guard.hear(200.0, &applied(0, 1));
    guard.commit(210.0, &[restore(0), mark(2)]);
    // The call was repeated, so the answer may be to its first copy.
    assert_eq!(rules(&mut guard, 2_000.0, &[withdraw(1)]), [Rule::Bare]);
    guard.hear(2_100.0, &applied(0, 2));
    assert_eq!(rules(&mut guard, 2_200.0, &[withdraw(1)]), [Rule::Bare]);
    assert_eq!(rules(&mut guard, 4_200.0, &[withdraw(1)]), []);
}

#[test]
fn a_proxy_that_rejoins_with_old_tables_is_bound_to_a_table_that_serves() {
    let mut guard = small_fleet();
    guard.hear(100.0, &Event::ProxyLeft { proxy: ProxyId(2) });
    // No proxy uses table 1, so its entry may be removed.
    commit_accepted(&mut guard, 110.0, &[set_entry(1, 2, 0.0)]);
    guard.hear(
        200.0,
        &Event::ProxyJoined { proxy: ProxyId(2), zone: ZoneId(0), txns_per_s: 1.0, without_table: false },
    );
    // The proxy's state is unknown: a bind to a table without hosts may take a usable host from it.
    assert_eq!(rules(&mut guard, 210.0, &[bind(2, 1)]), [Rule::Bare]);
    commit_accepted(&mut guard, 210.0, &[bind(2, 0)]);
    // A proxy without a table for longer than configured is reported.
    guard.hear(
        300.0,
        &Event::ProxyJoined { proxy: ProxyId(2), zone: ZoneId(0), txns_per_s: 1.0, without_table: false },
    );
    assert_eq!(rules(&mut guard, 4_000.0, &[]), []);
    assert!(guard.findings().contains(&Finding::Unbound(ProxyId(2))));
}

#[test]
fn a_call_whose_mark_is_lost_stays_unconfirmed_until_a_later_mark_is_answered() {
    let mut guard = small_fleet();
    guard.commit(100.0, &[withdraw(0), mark(1)]);
    guard.commit(200.0, &[restore(0), mark(2)]);
    // Without any answer the first call may still be carried out again.
    assert_eq!(rules(&mut guard, 60_000.0, &[withdraw(1)]), [Rule::Bare]);
    guard.commit(60_100.0, &[mark(3)]);
    guard.hear(60_200.0, &applied(0, 3));
    assert_eq!(rules(&mut guard, 62_300.0, &[withdraw(1)]), []);
}

#[test]
fn a_proxy_without_reports_counts_with_the_average_demand_of_its_zone() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3, 10);
    restart_host(&mut guard, 10.0, 1);
    // Host 1 survives 3 x 10 x 0.2 txns a second; half of the demand of two proxies is more, so its weight is
    // lower.
    commit_accepted(&mut guard, 10.0, &[set_entry(0, 1, 0.2)]);
    guard.hear(
        20.0,
        &Event::ProxyJoined { proxy: ProxyId(3), zone: ZoneId(0), txns_per_s: 0.0, without_table: true },
    );
    assert!(guard.expects(ProxyId(3), ClassId(0)) >= 10.0);
    let eight = (4..12).map(|proxy| Event::ProxyJoined {
        proxy: ProxyId(proxy),
        zone: ZoneId(0),
        txns_per_s: 0.0,
        without_table: true,
    });
    eight.for_each(|event| guard.hear(20.0, &event));
    let binds: Vec<Order> = (3..12).map(|proxy| bind(proxy, 0)).collect();
    assert_eq!(rules(&mut guard, 600.0, &binds), [Rule::Pushed]);
    // The proxies are bound, and the cold host gets a smaller weight.
    let (orders, price) = mended(&mut guard, 600.0, &binds);
    assert_eq!((orders.len(), price), (10, 0.0), "{orders:?}");
}

#[test]
fn demand_that_doubles_within_one_report_period_is_taken_to_double_again() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3, 10);
    assert_eq!(guard.expects(ProxyId(0), ClassId(0)), 11.0);
    restart_host(&mut guard, 10.0, 1);
    // A fraction of 0.25 / 1.25 of 22 txns a second, for a host that survives 6.
    let raised = [set_entry(0, 1, 0.25)];
    assert_eq!(rules(&mut guard, 10.0, &raised), []);
    (0..2).for_each(|proxy| guard.hear(20.0, &proxy_report(proxy, 0, 20)));
    assert_eq!(guard.expects(ProxyId(0), ClassId(0)), 44.0);
    assert_eq!(rules(&mut guard, 20.0, &raised), []);
    // A batch that does not raise the host's fraction of one half is accepted; one that raises it is not.
    commit_accepted(&mut guard, 20.0, &[set_entry(0, 1, 0.01)]);
    assert_eq!(rules(&mut guard, 2_000.0, &raised), [Rule::Pushed]);
}

#[test]
fn zero_tiny_and_huge_weights_are_checked_by_the_load_they_cause() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3, 10);
    restart_host(&mut guard, 10.0, 1);
    // Alone in the table, a host with a tiny weight gets all load; beside a huge weight it gets none.
    assert_eq!(rules(&mut guard, 10.0, &[set_entry(0, 1, 1e-300), withdraw(0)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 10.0, &[set_entry(0, 1, 1e-300)]), []);
    assert_eq!(rules(&mut guard, 10.0, &[set_entry(0, 1, f64::INFINITY)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 10.0, &[set_entry(0, 0, f64::INFINITY)]), []);
    for none in [0.0, -1.0, f64::NAN] {
        assert_eq!(
            rules(&mut guard, 10.0, &[set_entry(0, 0, none), set_entry(0, 1, none)]),
            [Rule::Bare],
            "{none}"
        );
    }
    for weight in [1e-300, 1.0] {
        let (orders, price) = mended(&mut guard, 10.0, &[set_entry(0, 1, 1e300), set_entry(0, 0, weight)]);
        assert!(price == 0.0 && rules(&mut guard, 10.0, &orders).is_empty(), "{orders:?}");
    }
}

#[test]
fn a_cold_host_gets_less_weight_when_thousands_of_proxies_move_at_once() {
    let mut guard = Guard::new(facts(1, 0));
    guard.hear(0.0, &list((0..4).map(|host| in_service(host, 0)).collect()));
    (0..5_000).for_each(|proxy| guard.hear(0.0, &joined(proxy, 0)));
    let lines = vec![set_entry(0, 0, 1.0), set_entry(0, 1, 1.0), set_entry(1, 2, 1.0), set_entry(1, 3, 0.05)];
    commit_accepted(&mut guard, 0.0, &[lines, (0..5_000).map(|proxy| bind(proxy, 0)).collect()].concat());
    guard.hear(
        1.0,
        &Event::HostReport {
            host: HostId(0),
            zone: ZoneId(0),
            covered: 2_000.0,
            tries: 50_000,
            failed: 0,
            mean_latency: 1.0,
            load: LoadReport::default(),
        },
    );
    (0..5_000).for_each(|proxy| guard.hear(2.0, &proxy_report(proxy, 0, 10)));
    restart_host(&mut guard, 10.0, 3);
    // All proxies move to the table of a cold host that survives 3 x 25,000 x 0.2 txns a second.
    let moves: Vec<Order> = (0..5_000).map(|proxy| bind(proxy, 1)).chain([set_entry(1, 3, 1.0)]).collect();
    assert_eq!(rules(&mut guard, 20.0, &moves), [Rule::Pushed]);
    let (orders, price) = mended(&mut guard, 20.0, &moves);
    assert_eq!((orders.len(), price), (moves.len(), 0.0));
    assert!(
        matches!(orders.last(), Some(Order::SetEntry { weight, .. }) if *weight < 0.6),
        "{:?}",
        orders.last()
    );
    assert_eq!(rules(&mut guard, 20.0, &orders), []);
}

#[test]
fn orders_that_stay_refused_are_reported_once_and_discarded() {
    // A refused order stays pending and is retried with each batch, until it passes or is discarded and
    // reported.
    let mut door = Door::new(small_fleet(), Mode::Enforce);
    let mut anew = 0;
    for step in 0..1_000u32 {
        let now = 100.0 + 100.0 * f64::from(step);
        let passed = door.pass(now, if step == 0 { vec![withdraw(0), withdraw(1), mark(1)] } else { vec![] });
        anew += u32::from(passed.anew);
        assert!(door.owes() <= 2);
    }
    assert_eq!((anew, door.owes()), (1, 0));
    let counts = door.counts();
    assert_eq!(
        (counts.mended + counts.refused, counts.by_rule),
        (1, [0, 1, 0, 0]),
        "the violation is reported once"
    );
}

#[test]
fn a_pending_order_is_sent_once_allowed_and_not_if_it_was_reversed() {
    let mut door = Door::new(small_fleet(), Mode::Enforce);
    assert_eq!(door.pass(100.0, vec![withdraw(2)]).orders, []);
    assert!(door.waits());
    let place = door.guard().place();
    door.guard().answered(110.0, place);
    // Another host begins to serve the table.
    assert_eq!(door.pass(200.0, vec![set_entry(1, 0, 1.0)]).orders, [withdraw(2), set_entry(1, 0, 1.0)]);
    let place = door.guard().place();
    door.guard().answered(210.0, place);
    assert_eq!(door.pass(300.0, vec![withdraw(0)]).orders, []);
    assert_eq!(door.pass(400.0, vec![restore(0)]).orders, [restore(0)]);
    assert!(!door.waits());
}

#[test]
fn marks_reveal_a_proxy_whose_state_differs_from_the_model() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3, 10);
    commit_accepted(&mut guard, 1_000.0, &[set_entry(0, 0, 2.0), set_entry(0, 1, 0.5), mark(1)]);
    guard.hear(1_100.0, &applied(0, 1));
    guard.hear(4_000.0, &proxy_report(0, 0, 10));
    guard.hear(5_100.0, &proxy_report(0, 0, 10));
    assert_eq!(guard.findings(), [Finding::Behind(ProxyId(1))]);
    // The load of a proxy that is behind may go to any host.
    restart_host(&mut guard, 5_200.0, 1);
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(0, 1, 0.55)]), [Rule::Pushed]);
    guard.hear(5_300.0, &applied(1, 1));
    assert_eq!(guard.findings(), []);
    assert_eq!(rules(&mut guard, 5_300.0, &[set_entry(0, 1, 0.55)]), []);
    guard.hear(5_400.0, &applied(1, 0));
    guard.hear(5_400.0, &applied(1, 77));
    assert_eq!(guard.findings(), [Finding::OutOfOrder(ProxyId(1)), Finding::Unsent(ProxyId(1))]);
}

#[test]
fn conflicting_rules_are_kept_in_order_of_precedence() {
    // A drain that is due leaves only a cold host to the proxy. The drain has precedence, then the proxy
    // keeps a host, and the load limit of the host comes last, at its price.
    let mut guard = Guard::new(facts(1, 0));
    guard.hear(0.0, &list(vec![in_service(0, 0), HostEntry { started_at: Some(0.0), ..in_service(1, 0) }]));
    guard.hear(0.0, &joined(0, 0));
    commit_accepted(&mut guard, 0.0, &[set_entry(0, 0, 1.0), set_entry(0, 1, 0.01), bind(0, 0)]);
    guard.hear(1.0, &host_report(0, 10));
    guard.hear(2.0, &proxy_report(0, 0, 50));
    guard.hear(100.0, &list(vec![HostEntry { availability: Availability::Draining, ..in_service(0, 0) }]));
    // The drain is deferred while its grace time lasts.
    let (orders, price) = mended(&mut guard, 200.0, &[withdraw(0), mark(1)]);
    assert_eq!((orders, price), (vec![mark(1)], 0.0));
    let (orders, price) = mended(&mut guard, 2_000.0, &[withdraw(0), mark(1)]);
    assert_eq!(orders, [withdraw(0), mark(1)]);
    assert!(price > 40.0 && price < 50.0, "{price}");
    // A draining host is not restored, even if the decisions order it.
    guard.commit(3_000.0, &[withdraw(0)]);
    guard.answered(3_000.0, guard.place());
    assert_eq!(mended(&mut guard, 3_100.0, &[restore(0), mark(2)]), (vec![mark(2)], 0.0));
}

#[test]
fn a_full_channel_takes_withdrawals_and_defers_other_orders() {
    let mut facts = facts(1, 0);
    (facts.channel.max_backlog, facts.channel.lines_per_s, facts.channel.max_messages) = (30.0, 1.0, 3);
    let mut guard = Guard::new(facts);
    guard.hear(0.0, &list((0..3).map(|host| in_service(host, 0)).collect()));
    guard.hear(0.0, &joined(0, 0));
    commit_accepted(&mut guard, 0.0, &[set_entry(0, 0, 1.0), set_entry(0, 1, 1.0), bind(0, 0)]);
    let many: Vec<Order> =
        (1..30).map(|weight| set_entry(0, 1, f64::from(weight))).chain([withdraw(1)]).collect();
    assert_eq!(rules(&mut guard, 10.0, &many), [Rule::Queue]);
    let (orders, _) = mended(&mut guard, 10.0, &many);
    assert!(orders.contains(&withdraw(1)) && orders.len() < many.len());
    commit_accepted(&mut guard, 20.0, &[set_entry(0, 1, 2.0)]);
    commit_accepted(&mut guard, 30.0, &[set_entry(0, 1, 3.0)]);
    let witness = guard.breaches(40.0, &[withdraw(1)])[0].witness;
    assert!(matches!(witness, Witness::Messages { messages: 4, most: 3, .. }), "{witness}");
    // Messages are no longer counted after ten seconds.
    assert_eq!(rules(&mut guard, 10_100.0, &[withdraw(1)]), []);
}

/// Calls are confirmed one after the other: uncertainty in a table of the first must end with the last, even
/// if no later call touches that table.
#[test]
fn uncertainty_ends_when_the_last_of_several_calls_is_confirmed() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3, 20);
    restart_host(&mut guard, 900.0, 1);
    guard.commit(1_000.0, &[set_entry(0, 1, 5.0)]);
    let first = guard.commit(1_010.0, &[set_entry(0, 1, 0.05)]);
    let last = guard.commit(1_020.0, &[set_entry(1, 2, 2.0)]);
    assert_eq!(rules(&mut guard, 1_030.0, &[set_entry(0, 1, 0.06)]), [Rule::Pushed]);
    guard.answered(1_100.0, first);
    guard.answered(1_200.0, last);
    // A copy may be in transit for another maximum transit time.
    assert_eq!(rules(&mut guard, 1_300.0, &[set_entry(0, 1, 0.06)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 2_500.0, &[set_entry(0, 1, 0.06)]), []);
}
