//! One fault at a time: which orders the judge passes and refuses, and when it reports the reach as
//! settled.

use amberarch_core::*;
use amberarch_residency::{How, InUse, Judge};

const GRACE: f64 = 1_000.0;
const LINGER: f64 = 5_000.0;

const A: ZoneId = ZoneId(0);
const B: ZoneId = ZoneId(1);
/// One host in each zone, and one that was never listed.
const IN_A: HostId = HostId(0);
const IN_B: HostId = HostId(1);
const NOWHERE: HostId = HostId(9);
const P: ProxyId = ProxyId(0);
const Q: ProxyId = ProxyId(1);
const TABLE: TableId = TableId(0);
const OTHER: TableId = TableId(1);

fn entry(table: TableId, host: HostId) -> Order {
    Order::SetEntry { table, host, weight: 1.0 }
}
fn removal(table: TableId, host: HostId) -> Order {
    Order::SetEntry { table, host, weight: 0.0 }
}
fn bind(proxy: ProxyId, table: TableId) -> Order {
    Order::Bind { proxy, table, classes: ClassSet::ALL }
}
fn withdrawal(host: HostId, withdrawn: bool) -> Order {
    Order::Withdraw { host, withdrawn }
}
fn mark(mark: u16) -> Order {
    Order::Mark { mark: MarkId(mark), all_proxies: false }
}

/// Only class 0 from zone A is governed; it may be served in these zones alone.
fn within(zones: &[ZoneId]) -> InUse {
    InUse::from([((ClassId(0), A), zones.iter().copied().collect())])
}

/// Two proxies in zone A that hold nothing ordered here yet.
fn judge(zones: &[ZoneId]) -> Judge {
    let mut judge = Judge::new(2, GRACE);
    judge.listed(0.0, IN_A, A, Availability::InService);
    judge.listed(0.0, IN_B, B, Availability::InService);
    judge.reach(0.0, within(zones));
    [P, Q].into_iter().for_each(|proxy| judge.joined(0.0, proxy, A, true));
    judge
}

/// Both proxies are bound to the table, which names the host in A, and have answered.
fn steady(zones: &[ZoneId]) -> Judge {
    let mut judge = judge(zones);
    judge.judge(0.0, &[entry(TABLE, IN_A), bind(P, TABLE), bind(Q, TABLE), mark(0)]).expect("within");
    [P, Q].into_iter().for_each(|proxy| judge.applied(100.0, proxy, MarkId(0)));
    judge.answered(judge.place());
    assert_eq!(judge.settled(100.0, LINGER), Ok(()));
    judge
}

fn how(judge: &mut Judge, orders: &[Order]) -> Option<How> {
    let place = judge.place();
    let refused = judge.judge(200.0, orders).err();
    assert!(refused.is_none() || judge.place() == place, "a refusal changed something");
    refused.map(|breach| breach.witness.how)
}

fn unsettled(judge: &mut Judge, now: f64) -> Option<How> {
    judge.settled(now, LINGER).err().map(|witness| witness.how)
}

#[test]
fn a_line_a_bind_and_a_return_are_refused_each_with_its_witness() {
    let mut judge = steady(&[A]);
    let breach =
        judge.judge(200.0, &[entry(OTHER, IN_A), entry(TABLE, IN_B)]).expect_err("B is not permitted");
    assert_eq!((breach.order, breach.witness.how), (1, How::Line));
    let witness = breach.witness;
    assert_eq!((witness.proxy, witness.from, witness.product), (P, A, ClassId(0)));
    assert_eq!((witness.table_id, witness.host, witness.zone), (Some(TABLE), Some(IN_B), Some(B)));
    assert!(witness.to_string().contains("proxy 0") && !breach.advice().is_empty());
    // The entry is allowed in a table that no proxy uses; then no proxy may be bound to that table.
    assert_eq!(how(&mut judge, &[entry(OTHER, IN_B)]), None);
    assert_eq!(how(&mut judge, &[bind(P, OTHER)]), Some(How::Bind));
    // While the host is withdrawn no proxy uses it, and it may not be restored.
    assert_eq!(how(&mut judge, &[withdrawal(IN_B, true), bind(P, OTHER)]), None);
    assert_eq!(how(&mut judge, &[withdrawal(IN_B, false)]), Some(How::LetIn));
    assert_eq!(how(&mut judge, &[entry(TABLE, NOWHERE)]), Some(How::Line), "it was never listed");
    assert_eq!(how(&mut judge, &[bind(ProxyId(7), TABLE)]), Some(How::NotJoined));
    assert_eq!(how(&mut judge, &[entry(TableId::ALL, IN_A)]), Some(How::AllTables));
}

#[test]
fn what_is_not_governed_and_what_narrows_passes() {
    let mut judge = steady(&[A]);
    let second = Order::Bind { proxy: P, table: OTHER, classes: ClassSet::one(ClassId(1)) };
    assert_eq!(how(&mut judge, &[entry(OTHER, IN_B), second]), None, "the second product is not governed");
    judge.reach(300.0, within(&[]));
    assert_eq!(
        how(&mut judge, &[withdrawal(IN_B, true), removal(TABLE, IN_A), Order::ClearTable { table: TABLE }]),
        None
    );
    assert_eq!(how(&mut judge, &[entry(TABLE, IN_A)]), Some(How::Line));
}

#[test]
fn a_revision_permits_nothing_and_proxies_let_go_one_by_one() {
    let mut judge = steady(&[A]);
    judge.reach(300.0, within(&[]));
    assert_eq!(unsettled(&mut judge, 300.0), Some(How::Held));
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    assert_eq!(unsettled(&mut judge, 310.0), Some(How::Held));
    judge.applied(400.0, P, MarkId(1));
    assert_eq!(judge.settled(400.0, LINGER).expect_err("one has not answered").proxy, Q);
    judge.applied(500.0, Q, MarkId(1));
    assert_eq!(unsettled(&mut judge, 500.0), None);
}

#[test]
fn two_zones_are_swapped_through_joint() {
    let mut judge = steady(&[A]);
    judge.reach(300.0, within(&[]));
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    [P, Q].into_iter().for_each(|proxy| judge.applied(400.0, proxy, MarkId(1)));
    assert_eq!(unsettled(&mut judge, 400.0), None);
    assert_eq!(how(&mut judge, &[entry(TABLE, IN_B)]), Some(How::Line), "not before the new one holds");
    judge.reach(4_000.0, within(&[B]));
    judge.judge(4_000.0, &[entry(TABLE, IN_B), mark(2)]).expect("the new one holds");
    assert_eq!(unsettled(&mut judge, 4_000.0), None);
}

#[test]
fn a_mark_is_lost_and_a_later_one_answers_for_it() {
    let mut judge = steady(&[A]);
    judge.reach(300.0, within(&[]));
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    judge.applied(400.0, Q, MarkId(1));
    assert_eq!(unsettled(&mut judge, 60_000.0), Some(How::Held), "silence proves nothing, however long");
    judge.judge(60_000.0, &[entry(OTHER, IN_A), mark(2)]).expect("nobody is there");
    judge.applied(60_100.0, P, MarkId(2));
    assert_eq!(unsettled(&mut judge, 60_100.0), None);
}

#[test]
fn a_bind_overtakes_the_line_that_is_taken_out_at_another_proxy() {
    // A proxy that has not read this far still holds the entry; a proxy bound afterwards never does.
    let mut judge = steady(&[A, B]);
    judge.judge(200.0, &[entry(OTHER, IN_B), bind(Q, OTHER), mark(1)]).expect("within");
    judge.applied(300.0, Q, MarkId(1));
    judge.answered(judge.place());
    judge.reach(400.0, within(&[A]));
    assert_eq!(how(&mut judge, &[bind(P, OTHER)]), Some(How::Bind));
    judge
        .judge(400.0, &[removal(OTHER, IN_B), entry(OTHER, IN_A), bind(P, OTHER), mark(2)])
        .expect("in this order");
    judge.applied(500.0, P, MarkId(2));
    assert_eq!(judge.settled(500.0, LINGER).expect_err("it has not read on").proxy, Q);
    judge.applied(600.0, Q, MarkId(2));
    assert_eq!(unsettled(&mut judge, 600.0), None);
}

#[test]
fn a_line_comes_and_goes_in_a_call_that_is_carried_out_again() {
    let mut judge = steady(&[A]);
    // No proxy uses the other table while the entry is set, and the entry is removed before one does.
    // When the call is retried, it sets the entry while the proxy is bound already.
    let orders = [entry(OTHER, IN_B), removal(OTHER, IN_B), bind(P, OTHER), mark(1)];
    assert_eq!(how(&mut judge, &orders), Some(How::Bind));
    judge.judge(200.0, &[entry(OTHER, IN_B), removal(OTHER, IN_B), mark(1)]).expect("nobody is there");
    judge.unsure(MarkId(1));
    judge.applied(300.0, P, MarkId(1));
    assert!(judge.judge(9_000.0, &[bind(P, OTHER)]).is_err(), "an answer may be to the first of two calls");
    // A later reply that is never reported as retried, answered and followed by the waiting time, ends
    // it.
    judge.judge(9_000.0, &[entry(TABLE, IN_A), mark(2)]).expect("within");
    judge.applied(9_100.0, P, MarkId(2));
    assert!(judge.judge(10_000.0, &[bind(P, OTHER)]).is_err(), "a retry may still be reported");
    assert!(judge.judge(11_100.0, &[bind(P, OTHER)]).is_ok());
}

#[test]
fn a_withdrawal_and_a_return_are_in_flight_together() {
    let mut judge = steady(&[A, B]);
    judge.judge(200.0, &[withdrawal(IN_B, true), entry(TABLE, IN_B), mark(1)]).expect("within");
    judge.judge(210.0, &[withdrawal(IN_B, false), mark(2)]).expect("within");
    judge.reach(220.0, within(&[A]));
    judge.judge(230.0, &[withdrawal(IN_B, true), mark(3)]).expect("it narrows");
    for (at, number) in [(300.0, 1), (310.0, 2)] {
        [P, Q].into_iter().for_each(|proxy| judge.applied(at, proxy, MarkId(number)));
        assert_eq!(unsettled(&mut judge, at), Some(How::Held));
    }
    [P, Q].into_iter().for_each(|proxy| judge.applied(320.0, proxy, MarkId(3)));
    // The restore was set and unset within calls that may be retried; a later answer without a retry ends
    // that.
    assert_eq!(unsettled(&mut judge, 320.0), Some(How::Held));
    judge.judge(400.0, &[removal(TABLE, IN_B), mark(4)]).expect("it narrows");
    [P, Q].into_iter().for_each(|proxy| judge.applied(500.0, proxy, MarkId(4)));
    judge.judge(600.0, &[entry(TABLE, IN_A), mark(5)]).expect("within");
    [P, Q].into_iter().for_each(|proxy| judge.applied(700.0, proxy, MarkId(5)));
    judge.judge(4_000.0, &[entry(TABLE, IN_A), mark(6)]).expect("within");
    [P, Q].into_iter().for_each(|proxy| judge.applied(4_100.0, proxy, MarkId(6)));
    assert_eq!(unsettled(&mut judge, 4_200.0), None);
}

#[test]
fn a_proxy_moves_between_stewards_in_the_midst() {
    let mut judge = steady(&[A]);
    judge.reach(300.0, within(&[B]));
    judge.left(310.0, P);
    judge.judge(320.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    judge.applied(400.0, Q, MarkId(1));
    assert_eq!(unsettled(&mut judge, 500.0), Some(How::Left), "it left with the line");
    assert_eq!(unsettled(&mut judge, 310.0 + LINGER), None, "another has bound it by now");
    // It comes back with whatever the other controller ordered, and counts until it is bound and has
    // answered.
    judge.joined(9_000.0, P, A, false);
    assert_eq!(unsettled(&mut judge, 9_000.0), Some(How::Unproven));
    judge.judge(9_000.0, &[bind(P, TABLE), mark(2)]).expect("the table is empty");
    assert_eq!(unsettled(&mut judge, 60_000.0), Some(How::Unproven));
    judge.applied(60_000.0, P, MarkId(2));
    assert_eq!(unsettled(&mut judge, 60_000.0), None);
}

#[test]
fn a_proxy_comes_back_and_an_old_bind_reaches_it() {
    let mut judge = steady(&[A]);
    judge.judge(200.0, &[entry(OTHER, IN_A), bind(P, OTHER), mark(1)]).expect("within");
    judge.left(210.0, P);
    assert_eq!(unsettled(&mut judge, 210.0 + 2.0 * LINGER), None);
    judge.joined(20_000.0, P, A, true);
    // The bind still waits at the relay.
    assert_eq!(how(&mut judge, &[entry(OTHER, IN_B)]), Some(How::Line));
}

#[test]
fn the_decisions_start_anew_and_count_marks_from_zero() {
    let mut judge = steady(&[A]);
    judge.judge(200.0, &[entry(TABLE, IN_A), mark(1)]).expect("within");
    judge.answered(judge.place());
    judge.reach(300.0, within(&[]));
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    // Their answers to the first of the two marks may be late.
    [P, Q].into_iter().for_each(|proxy| judge.applied(400.0, proxy, MarkId(1)));
    assert_eq!(unsettled(&mut judge, 400.0), Some(How::Held));
    [P, Q].into_iter().for_each(|proxy| judge.applied(500.0, proxy, MarkId(1)));
    assert_eq!(unsettled(&mut judge, 500.0), None);
}

#[test]
fn a_host_changes_its_zone_and_counts_for_both_until_the_grace_ends() {
    let mut judge = steady(&[A]);
    judge.listed(1_000.0, IN_A, B, Availability::InService);
    assert_eq!(unsettled(&mut judge, 1_000.0 + GRACE - 1.0), None);
    assert_eq!(unsettled(&mut judge, 1_000.0 + GRACE), Some(How::Held));
    assert!(judge.judge(2_100.0, &[entry(TABLE, IN_A)]).is_err());
    // Listed repeatedly in both zones: it counts for both all the time.
    let mut judge = steady(&[A]);
    for round in 0..10 {
        let now = 1_000.0 + 500.0 * f64::from(round);
        judge.listed(now, IN_A, B, Availability::InService);
        judge.listed(now, IN_A, A, Availability::InService);
        assert_eq!(unsettled(&mut judge, now), None);
    }
}

/// Guards against a host that keeps counting for its former zone although its zone is unknown by now, and
/// against a host that is listed again and loses its zone when the grace period of the loss ends.
#[test]
fn a_host_that_is_lost_is_nowhere_once_the_grace_ends_and_there_again_once_listed() {
    let mut judge = steady(&[A]);
    judge.judge(900.0, &[bind(Q, OTHER)]).expect("within");
    for now in [1_000.0, 1_500.0] {
        judge.lost(now, IN_A);
    }
    assert_eq!(unsettled(&mut judge, 1_000.0 + GRACE - 1.0), None);
    assert_eq!(unsettled(&mut judge, 1_000.0 + GRACE), Some(How::Held));
    let refused = |judge: &mut Judge, order| judge.judge(2_100.0, &[order]).err().map(|no| no.witness.how);
    assert_eq!(refused(&mut judge, entry(OTHER, IN_A)), Some(How::Line));
    assert_eq!(refused(&mut judge, bind(Q, TABLE)), Some(How::Bind));
    judge.listed(2_200.0, IN_A, A, Availability::InService);
    assert_eq!(unsettled(&mut judge, 2_200.0), None);
    // Within the grace period.
    judge.lost(3_000.0, IN_A);
    judge.listed(3_500.0, IN_A, A, Availability::InService);
    assert_eq!(unsettled(&mut judge, 3_000.0 + 2.0 * GRACE), None);
}

#[test]
fn the_relay_gives_up_a_line_that_was_to_go() {
    let mut judge = steady(&[A]);
    judge.reach(300.0, within(&[]));
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    judge.gave_up(&[removal(TABLE, IN_A)]);
    [P, Q].into_iter().for_each(|proxy| judge.applied(400.0, proxy, MarkId(1)));
    assert_eq!(unsettled(&mut judge, 400.0), Some(How::Held));
    assert_eq!(judge.mends(400.0), [removal(TABLE, IN_A)]);
    judge.judge(400.0, &[removal(TABLE, IN_A), mark(2)]).expect("it narrows");
    [P, Q].into_iter().for_each(|proxy| judge.applied(500.0, proxy, MarkId(2)));
    assert_eq!(unsettled(&mut judge, 500.0), None);
}

#[test]
fn a_host_is_forgotten_and_its_last_line_goes_later() {
    let mut judge = steady(&[A]);
    judge.forgotten(IN_A);
    assert_eq!(how(&mut judge, &[entry(OTHER, IN_A), removal(OTHER, IN_A)]), None, "a line still names it");
    judge.judge(300.0, &[removal(TABLE, IN_A), mark(1)]).expect("it narrows");
    judge.answered(judge.place());
    [P, Q].into_iter().for_each(|proxy| judge.applied(400.0, proxy, MarkId(1)));
    judge.judge(500.0, &[removal(TABLE, IN_A), removal(OTHER, IN_A), mark(2)]).expect("it narrows");
    assert_eq!(how(&mut judge, &[entry(TABLE, IN_A)]), Some(How::Line), "nothing is known of it any more");
}

#[test]
fn a_reply_is_sifted_and_the_rest_is_written() {
    let mut judge = steady(&[A]);
    let orders = vec![entry(TABLE, IN_B), withdrawal(IN_A, true), mark(1)];
    let sifted = judge.sift(200.0, orders.clone());
    assert_eq!(sifted.orders, orders[1..]);
    let [(order, breach)] = &sifted.refused[..] else { panic!("{sifted:?}") };
    assert_eq!((order, breach.order, breach.witness.how), (&orders[0], 0, How::Line));
    // What was left out stands nowhere, what passed does.
    judge.reach(300.0, within(&[]));
    assert_eq!(unsettled(&mut judge, 300.0), Some(How::Held));
    judge.applied(400.0, P, MarkId(1));
    judge.applied(400.0, Q, MarkId(1));
    assert_eq!(unsettled(&mut judge, 400.0), None);
}

#[test]
fn a_steward_with_no_proxies_is_settled_and_one_with_all_waits_for_the_last() {
    let mut judge = Judge::new(2, GRACE);
    judge.reach(0.0, within(&[]));
    assert_eq!(judge.settled(0.0, LINGER), Ok(()));
    let all: Vec<ProxyId> = (0..200).map(ProxyId).collect();
    all.iter().for_each(|proxy| judge.joined(0.0, *proxy, A, true));
    let binds: Vec<Order> = all.iter().map(|proxy| bind(*proxy, TABLE)).chain([mark(0)]).collect();
    judge.judge(0.0, &binds).expect("the table is empty");
    for proxy in &all {
        assert_eq!(unsettled(&mut judge, 100.0), Some(How::Unproven));
        judge.applied(100.0, *proxy, MarkId(0));
    }
    assert_eq!(judge.settled(100.0, LINGER), Ok(()));
}

/// A call waited until its lease expired and was given up; no proxy is left to answer a mark.
#[test]
fn all_proxies_leave_while_a_bind_was_never_written_and_a_linger_settles_it() {
    let mut judge = steady(&[A, B]);
    let orders = [entry(OTHER, IN_A), bind(P, OTHER), bind(Q, OTHER), mark(1)];
    judge.judge(200.0, &orders).expect("within");
    judge.gave_up(&orders);
    [P, Q].into_iter().for_each(|proxy| judge.left(300.0, proxy));
    judge.reach(400.0, within(&[B]));
    assert_eq!(unsettled(&mut judge, 400.0 + LINGER), Some(How::Left), "it may be written yet");
    judge.answered(judge.place());
    assert_eq!(unsettled(&mut judge, 500.0 + LINGER), Some(How::Left), "it may be on its way");
    assert_eq!(unsettled(&mut judge, 499.0 + 2.0 * LINGER), Some(How::Left));
    assert_eq!(unsettled(&mut judge, 500.0 + 2.0 * LINGER), None);
}

/// Guards against a bind of a departed proxy that blocks the settling of a new reach for as long as any
/// calls go to other proxies.
#[test]
fn a_proxy_left_with_its_bind_under_way_is_let_go_of_while_calls_to_others_go_on() {
    let mut judge = steady(&[A, B]);
    judge.judge(200.0, &[entry(OTHER, IN_B), bind(P, OTHER), mark(1)]).expect("within");
    judge.left(210.0, P);
    judge.answered(judge.place());
    judge.reach(300.0, within(&[A]));
    assert_eq!(unsettled(&mut judge, 300.0), Some(How::Left));
    let mut freed = None;
    for second in 1..30 {
        let now = 1_000.0 * f64::from(second);
        judge.judge(now, &[entry(TABLE, IN_A)]).expect("it is there already");
        judge.answered(judge.place());
        if freed.is_none() && unsettled(&mut judge, now).is_none() {
            freed = Some(now);
        }
    }
    assert_eq!(freed, Some(6_000.0), "a linger after the call with the bind was answered");
}
