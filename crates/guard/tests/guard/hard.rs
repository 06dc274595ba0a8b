//! The hard cases, each caused.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;

/// Warm hosts have shown what they do: 10 txns a second each. Proxies bring that.
fn told(guard: &mut Guard, proxies: u16, rate: u32) {
    guard.hear(2.0, &met(2, 10));
    (0..proxies).for_each(|proxy| guard.hear(2.0, &came(proxy, 0, rate)));
}

/// The host has just started.
fn starts(guard: &mut Guard, now: f64, host: u32) {
    guard.hear(now, &list(vec![HostEntry { started_at: Some(now), ..on(host, 0) }]));
}

#[test]
fn each_single_host_left_for_every_zone_and_product() {
    let (zones, products, hosts) = (3u16, 2u16, 9u32);
    for (zone, product, left) in
        (0..zones).flat_map(|z| (0..products).flat_map(move |p| (0..hosts).map(move |h| (z, p, h))))
    {
        // The second product may not leave its zone.
        let mut guard = Guard::new(facts(products, 0b10));
        guard.hear(0.0, &list((0..hosts).map(|host| on(host, (host % 3) as u16)).collect()));
        guard.hear(0.0, &joined(0, zone));
        let tables = |host: u32| if (host % 3) as u16 == zone { vec![0, 1] } else { vec![0] };
        let lines =
            (0..hosts).flat_map(|host| tables(host).into_iter().map(move |tbl| share(tbl, host, 1.0)));
        let binds = (0..products).map(|p| Order::Bind {
            proxy: ProxyId(0),
            table: TableId(p),
            classes: ClassSet::one(ClassId(p)),
        });
        let_through(&mut guard, 0.0, &lines.chain(binds).collect::<Vec<_>>());
        let serves = |host: u32| product == 0 || (host % 3) as u16 == zone;
        if !serves(left) {
            continue;
        }
        // All others that serve it answer no probe and are shut out; those that do not serve it stay.
        let others: Vec<u32> = (0..hosts).filter(|host| *host != left && serves(*host)).collect();
        for host in &others {
            guard.hear(10.0, &probed(*host, ProbeOutcome::TimedOut));
        }
        let shut: Vec<Order> = others.iter().map(|host| out(*host)).collect();
        let_through(&mut guard, 10.0, &shut);
        assert_eq!(rules(&mut guard, 20.0, &[out(left)]), [Rule::Bare], "{zone} {product} {left}");
        assert_eq!(rules(&mut guard, 20.0, &[Order::ClearTable { table: TableId(product) }]), [Rule::Bare]);
        assert_eq!(rules(&mut guard, 20.0, &[share(product, left, 0.0)]), [Rule::Bare]);
        // It goes once another serves.
        let Some(other) = others.into_iter().find(|host| (host % 3) as u16 == zone) else { continue };
        guard.hear(30.0, &probed(other, ProbeOutcome::Answered));
        assert_eq!(rules(&mut guard, 30.0, &[back(other), out(left)]), []);
    }
}

#[test]
fn a_zone_cut_off_and_the_survivors_cold_get_the_least_bad_with_its_price() {
    let mut guard = Guard::new(facts(1, 0));
    let cold = |host: u32| HostEntry { started_at: Some(-1_000.0), ..on(host, 1) };
    guard.hear(0.0, &list((0..2).map(|host| on(host, 0)).chain((2..4).map(cold)).collect()));
    (0..2).for_each(|proxy| guard.hear(0.0, &joined(proxy, 0)));
    let lines: Vec<Order> = (0..4).map(|host| share(0, host, if host < 2 { 1.0 } else { 0.1 })).collect();
    let_through(&mut guard, 0.0, &[lines, vec![bind(0, 0), bind(1, 0)]].concat());
    guard.hear(1.0, &met(0, 10));
    (0..2).for_each(|proxy| guard.hear(2.0, &came(proxy, 0, 60)));
    // The zone's hosts answer no more, and drain.
    for host in 0..2 {
        guard.hear(500.0, &probed(host, ProbeOutcome::Unreachable));
        guard.hear(500.0, &list(vec![HostEntry { availability: Availability::Draining, ..on(host, 0) }]));
    }
    let (orders, price) = mended(&mut guard, 3_000.0, &[out(0), out(1)]);
    assert!(orders.contains(&out(0)) && orders.contains(&out(1)), "drains are kept: {orders:?}");
    // Up to 132 come, and the two survive 3 x 10 x a third each, or so.
    assert!((80.0..125.0).contains(&price), "{price}");
    // Once the survivors are warm nothing is wrong with the same.
    assert_eq!(rules(&mut guard, 20_000.0, &[out(0), out(1)]), []);
}

#[test]
fn a_product_that_may_not_leave_its_zone_with_one_warm_host_keeps_it() {
    let mut guard = Guard::new(facts(1, 1));
    guard.hear(0.0, &list(vec![on(0, 0), on(1, 1), on(2, 1)]));
    guard.hear(0.0, &joined(0, 0));
    let_through(&mut guard, 0.0, &[share(0, 0, 1.0), bind(0, 0)]);
    let (orders, price) = mended(&mut guard, 10.0, &[out(0), mark(1)]);
    assert_eq!((orders, price), (vec![mark(1)], 0.0));
    // A host of another zone is no help, though it is ready.
    assert_eq!(rules(&mut guard, 10.0, &[share(0, 1, 0.0), out(0)]), [Rule::Bare]);
}

#[test]
fn a_bind_that_overtakes_a_line_is_held_back_until_the_line_is_sure() {
    let mut guard = usual();
    // The line was given up by the relay, and may never have been carried out.
    let orders = [share(2, 0, 1.0)];
    assert_eq!(guard.judge(100.0, &orders), Verdict::Accepted);
    guard.commit(100.0, &orders);
    guard.gave_up(&orders);
    assert_eq!(rules(&mut guard, 110.0, &[bind(0, 2)]), [Rule::Bare]);
    // Ordered anew with it the bind passes.
    let_through(&mut guard, 120.0, &[share(2, 0, 1.0), bind(0, 2)]);
}

#[test]
fn a_withdrawal_and_a_return_in_flight_together_leave_nothing_bare() {
    let mut guard = usual();
    guard.judge(100.0, &[out(0)]);
    guard.commit(100.0, &[out(0), mark(1)]);
    // Nobody has answered for it: carried out again after this one it would leave nothing.
    let swap = [back(0), out(1)];
    assert_eq!(rules(&mut guard, 110.0, &swap), [Rule::Bare]);
    guard.answered(120.0, guard.place());
    assert_eq!(rules(&mut guard, 130.0, &swap), []);
}

#[test]
fn an_unsure_call_that_may_have_been_carried_out_counts_until_a_later_one_is_answered() {
    let mut guard = usual();
    guard.commit(100.0, &[out(0), mark(1)]);
    guard.hear(150.0, &Event::CallDuplicated { mark: MarkId(1) });
    guard.hear(200.0, &applied(0, 1));
    guard.commit(210.0, &[back(0), mark(2)]);
    // Told of as repeated, the answer may be to the first copy.
    assert_eq!(rules(&mut guard, 2_000.0, &[out(1)]), [Rule::Bare]);
    guard.hear(2_100.0, &applied(0, 2));
    assert_eq!(rules(&mut guard, 2_200.0, &[out(1)]), [Rule::Bare]);
    assert_eq!(rules(&mut guard, 4_200.0, &[out(1)]), []);
}

#[test]
fn a_proxy_that_left_and_came_back_with_old_tables_is_bound_to_what_serves() {
    let mut guard = usual();
    guard.hear(100.0, &Event::ProxyLeft { proxy: ProxyId(2) });
    // Nobody uses table 1: its line may go.
    let_through(&mut guard, 110.0, &[share(1, 2, 0.0)]);
    guard.hear(
        200.0,
        &Event::ProxyJoined { proxy: ProxyId(2), zone: ZoneId(0), txns_per_s: 1.0, without_table: false },
    );
    // What it holds is not known; bound to what serves nothing it would lose it.
    assert_eq!(rules(&mut guard, 210.0, &[bind(2, 1)]), [Rule::Bare]);
    let_through(&mut guard, 210.0, &[bind(2, 0)]);
    // In no table for longer than stated it is told of.
    guard.hear(
        300.0,
        &Event::ProxyJoined { proxy: ProxyId(2), zone: ZoneId(0), txns_per_s: 1.0, without_table: false },
    );
    assert_eq!(rules(&mut guard, 4_000.0, &[]), []);
    assert!(guard.findings().contains(&Finding::Unbound(ProxyId(2))));
}

#[test]
fn marks_that_are_lost_end_no_doubt_until_a_later_one_comes() {
    let mut guard = usual();
    guard.commit(100.0, &[out(0), mark(1)]);
    guard.commit(200.0, &[back(0), mark(2)]);
    // No answer at all: the first may still be carried out again.
    assert_eq!(rules(&mut guard, 60_000.0, &[out(1)]), [Rule::Bare]);
    guard.commit(60_100.0, &[mark(3)]);
    guard.hear(60_200.0, &applied(0, 3));
    assert_eq!(rules(&mut guard, 62_300.0, &[out(1)]), []);
}

#[test]
fn demand_unknown_for_a_new_proxy_counts_as_that_of_those_beside_it() {
    let mut guard = usual();
    told(&mut guard, 3, 10);
    starts(&mut guard, 10.0, 1);
    // Host 1 survives 3 x 10 x 0.2; half of what two proxies bring is more, so it gets less.
    let_through(&mut guard, 10.0, &[share(0, 1, 0.2)]);
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
    // They are bound all the same, and the cold host gets less of it.
    let (orders, price) = mended(&mut guard, 600.0, &binds);
    assert_eq!((orders.len(), price), (10, 0.0), "{orders:?}");
}

#[test]
fn demand_that_doubles_within_one_report_period_is_taken_to_double_again() {
    let mut guard = usual();
    told(&mut guard, 3, 10);
    assert_eq!(guard.expects(ProxyId(0), ClassId(0)), 11.0);
    starts(&mut guard, 10.0, 1);
    // A third of 22 for a host that survives 6.
    let let_in = [share(0, 1, 0.25)];
    assert_eq!(rules(&mut guard, 10.0, &let_in), []);
    (0..2).for_each(|proxy| guard.hear(20.0, &came(proxy, 0, 20)));
    assert_eq!(guard.expects(ProxyId(0), ClassId(0)), 44.0);
    assert_eq!(rules(&mut guard, 20.0, &let_in), []);
    // Nothing that the batch raises: it had half. One that raises it is found.
    let_through(&mut guard, 20.0, &[share(0, 1, 0.01)]);
    assert_eq!(rules(&mut guard, 2_000.0, &let_in), [Rule::Pushed]);
}

#[test]
fn weights_of_nothing_tiny_and_huge_are_judged_by_what_they_deal() {
    let mut guard = usual();
    told(&mut guard, 3, 10);
    starts(&mut guard, 10.0, 1);
    // A host with a tiny weight alone gets all; beside a huge one nothing.
    assert_eq!(rules(&mut guard, 10.0, &[share(0, 1, 1e-300), out(0)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 10.0, &[share(0, 1, 1e-300)]), []);
    assert_eq!(rules(&mut guard, 10.0, &[share(0, 1, f64::INFINITY)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 10.0, &[share(0, 0, f64::INFINITY)]), []);
    for none in [0.0, -1.0, f64::NAN] {
        assert_eq!(rules(&mut guard, 10.0, &[share(0, 0, none), share(0, 1, none)]), [Rule::Bare], "{none}");
    }
    for weight in [1e-300, 1.0] {
        let (orders, price) = mended(&mut guard, 10.0, &[share(0, 1, 1e300), share(0, 0, weight)]);
        assert!(price == 0.0 && rules(&mut guard, 10.0, &orders).is_empty(), "{orders:?}");
    }
}

#[test]
fn thousands_of_proxies_that_move_at_once_are_dealt_with_in_steps() {
    let mut guard = Guard::new(facts(1, 0));
    guard.hear(0.0, &list((0..4).map(|host| on(host, 0)).collect()));
    (0..5_000).for_each(|proxy| guard.hear(0.0, &joined(proxy, 0)));
    let lines = vec![share(0, 0, 1.0), share(0, 1, 1.0), share(1, 2, 1.0), share(1, 3, 0.05)];
    let_through(&mut guard, 0.0, &[lines, (0..5_000).map(|proxy| bind(proxy, 0)).collect()].concat());
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
    (0..5_000).for_each(|proxy| guard.hear(2.0, &came(proxy, 0, 10)));
    starts(&mut guard, 10.0, 3);
    // All of them with a host that survives 3 x 25,000 x 0.2.
    let move_: Vec<Order> = (0..5_000).map(|proxy| bind(proxy, 1)).chain([share(1, 3, 1.0)]).collect();
    assert_eq!(rules(&mut guard, 20.0, &move_), [Rule::Pushed]);
    let (orders, price) = mended(&mut guard, 20.0, &move_);
    assert_eq!((orders.len(), price), (move_.len(), 0.0));
    assert!(
        matches!(orders.last(), Some(Order::SetEntry { weight, .. }) if *weight < 0.6),
        "{:?}",
        orders.last()
    );
    assert_eq!(rules(&mut guard, 20.0, &orders), []);
}

#[test]
fn a_mended_batch_refused_again_ends() {
    // Whatever is refused, what is owed is tried with each batch, and goes or is told of.
    let mut door = Door::new(usual(), Mode::Enforce);
    let mut anew = 0;
    for step in 0..1_000u32 {
        let now = 100.0 + 100.0 * f64::from(step);
        let passed = door.pass(now, if step == 0 { vec![out(0), out(1), mark(1)] } else { vec![] });
        anew += u32::from(passed.anew);
        assert!(door.owes() <= 2);
    }
    assert_eq!((anew, door.owes()), (1, 0));
    let counts = door.counts();
    assert_eq!((counts.mended + counts.refused, counts.by_rule), (1, [0, 1, 0, 0]), "it is told once");
}

#[test]
fn what_is_owed_goes_out_once_it_may_and_not_if_it_was_taken_back() {
    let mut door = Door::new(usual(), Mode::Enforce);
    assert_eq!(door.pass(100.0, vec![out(2)]).orders, []);
    assert!(door.waits());
    let place = door.guard().place();
    door.guard().answered(110.0, place);
    // Another comes to serve there.
    assert_eq!(door.pass(200.0, vec![share(1, 0, 1.0)]).orders, [out(2), share(1, 0, 1.0)]);
    let place = door.guard().place();
    door.guard().answered(210.0, place);
    assert_eq!(door.pass(300.0, vec![out(0)]).orders, []);
    assert_eq!(door.pass(400.0, vec![back(0)]).orders, [back(0)]);
    assert!(!door.waits());
}

#[test]
fn the_guards_own_model_wrong_about_one_proxy_is_found_out_by_marks_and_told() {
    let mut guard = usual();
    told(&mut guard, 3, 10);
    let_through(&mut guard, 1_000.0, &[share(0, 0, 2.0), share(0, 1, 0.5), mark(1)]);
    guard.hear(1_100.0, &applied(0, 1));
    guard.hear(4_000.0, &came(0, 0, 10));
    guard.hear(5_100.0, &came(0, 0, 10));
    assert_eq!(guard.findings(), [Finding::Behind(ProxyId(1))]);
    // What it brings may come to any host.
    starts(&mut guard, 5_200.0, 1);
    assert_eq!(rules(&mut guard, 5_200.0, &[share(0, 1, 0.55)]), [Rule::Pushed]);
    guard.hear(5_300.0, &applied(1, 1));
    assert_eq!(guard.findings(), []);
    assert_eq!(rules(&mut guard, 5_300.0, &[share(0, 1, 0.55)]), []);
    guard.hear(5_400.0, &applied(1, 0));
    guard.hear(5_400.0, &applied(1, 77));
    assert_eq!(guard.findings(), [Finding::OutOfOrder(ProxyId(1)), Finding::Unsent(ProxyId(1))]);
}

#[test]
fn limits_that_contradict_each_other_are_kept_in_the_stated_order() {
    // A drain that is due leaves a proxy nothing but a cold host: the drain goes first, then the proxy has something,
    // and what the host survives goes last, at its price.
    let mut guard = Guard::new(facts(1, 0));
    guard.hear(0.0, &list(vec![on(0, 0), HostEntry { started_at: Some(0.0), ..on(1, 0) }]));
    guard.hear(0.0, &joined(0, 0));
    let_through(&mut guard, 0.0, &[share(0, 0, 1.0), share(0, 1, 0.01), bind(0, 0)]);
    guard.hear(1.0, &met(0, 10));
    guard.hear(2.0, &came(0, 0, 50));
    guard.hear(100.0, &list(vec![HostEntry { availability: Availability::Draining, ..on(0, 0) }]));
    // While the grace lets it the drain waits.
    let (orders, price) = mended(&mut guard, 200.0, &[out(0), mark(1)]);
    assert_eq!((orders, price), (vec![mark(1)], 0.0));
    let (orders, price) = mended(&mut guard, 2_000.0, &[out(0), mark(1)]);
    assert_eq!(orders, [out(0), mark(1)]);
    assert!(price > 40.0 && price < 50.0, "{price}");
    // A host that drains is not let in again, whoever says so.
    guard.commit(3_000.0, &[out(0)]);
    guard.answered(3_000.0, guard.place());
    assert_eq!(mended(&mut guard, 3_100.0, &[back(0), mark(2)]), (vec![mark(2)], 0.0));
}

#[test]
fn a_queue_without_room_takes_what_shuts_out_and_leaves_the_rest_for_later() {
    let mut facts = facts(1, 0);
    (facts.channel.max_backlog, facts.channel.lines_per_s, facts.channel.max_messages) = (30.0, 1.0, 3);
    let mut guard = Guard::new(facts);
    guard.hear(0.0, &list((0..3).map(|host| on(host, 0)).collect()));
    guard.hear(0.0, &joined(0, 0));
    let_through(&mut guard, 0.0, &[share(0, 0, 1.0), share(0, 1, 1.0), bind(0, 0)]);
    let many: Vec<Order> = (1..30).map(|weight| share(0, 1, f64::from(weight))).chain([out(1)]).collect();
    assert_eq!(rules(&mut guard, 10.0, &many), [Rule::Queue]);
    let (orders, _) = mended(&mut guard, 10.0, &many);
    assert!(orders.contains(&out(1)) && orders.len() < many.len());
    let_through(&mut guard, 20.0, &[share(0, 1, 2.0)]);
    let_through(&mut guard, 30.0, &[share(0, 1, 3.0)]);
    let witness = guard.breaches(40.0, &[out(1)])[0].witness;
    assert!(matches!(witness, Witness::Messages { messages: 4, most: 3, .. }), "{witness}");
    // Ten seconds later they are forgotten.
    assert_eq!(rules(&mut guard, 10_100.0, &[out(1)]), []);
}

/// Calls are answered one after the other: what was unsure in a table of the first ends with the last, though no call
/// touches that table any more.
#[test]
fn doubts_of_calls_that_are_answered_one_after_the_other_end() {
    let mut guard = usual();
    told(&mut guard, 3, 20);
    starts(&mut guard, 900.0, 1);
    guard.commit(1_000.0, &[share(0, 1, 5.0)]);
    let first = guard.commit(1_010.0, &[share(0, 1, 0.05)]);
    let last = guard.commit(1_020.0, &[share(1, 2, 2.0)]);
    assert_eq!(rules(&mut guard, 1_030.0, &[share(0, 1, 0.06)]), [Rule::Pushed]);
    guard.answered(1_100.0, first);
    guard.answered(1_200.0, last);
    // A copy may be on its way for a worst transit more.
    assert_eq!(rules(&mut guard, 1_300.0, &[share(0, 1, 0.06)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 2_500.0, &[share(0, 1, 0.06)]), []);
}
