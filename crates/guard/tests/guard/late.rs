//! Proxies that are behind count only for hosts that they may have been sent. Also covers marks of copies and
//! of merged calls.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;

/// Each proxy has a demand of 20 txns a second. A warm host of weight 1 serves 10, and a cold one survives 6
/// to 30.
fn report_demand(guard: &mut Guard, proxies: u16) {
    guard.hear(2.0, &host_report(2, 10));
    (0..proxies).for_each(|proxy| guard.hear(2.0, &proxy_report(proxy, 0, 20)));
}

fn restart_host(guard: &mut Guard, now: f64, host: u32) {
    guard.hear(now, &list(vec![HostEntry { started_at: Some(now), ..in_service(host, 0) }]));
}

/// Sends a batch regardless of the guard's verdict; the relay confirms it, and these proxies answer its mark.
fn commit_and_answer(guard: &mut Guard, now: f64, orders: &[Order], number: u16, who: &[u16]) {
    let place = guard.commit(now, &[orders, &[mark(number)]].concat());
    guard.answered(now, place);
    who.iter().for_each(|proxy| guard.hear(now + 100.0, &applied(*proxy, number)));
}

/// Advances time to 5.1 s, by when proxy 1 is behind.
fn expect_proxy_1_behind(guard: &mut Guard) {
    guard.hear(4_000.0, &probed(0, ProbeOutcome::Answered));
    guard.hear(5_100.0, &probed(0, ProbeOutcome::Answered));
    assert_eq!(guard.findings(), [Finding::Behind(ProxyId(1))]);
}

/// Guards against counting the load of proxies that are behind for every host: in a test run a host was held
/// back 16 times although none of these proxies could hold it.
#[test]
fn a_proxy_that_is_behind_does_not_count_for_a_host_it_was_never_sent() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3);
    commit_and_answer(&mut guard, 1_000.0, &[set_entry(0, 0, 2.0)], 1, &[0]);
    expect_proxy_1_behind(&mut guard);
    restart_host(&mut guard, 5_200.0, 3);
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(1, 3, 0.05)]), []);
    // The proxy may receive an entry of its own table at once.
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(0, 3, 3.0)]), [Rule::Pushed]);
}

/// The entry was removed and the proxy bound to another table, but it may have received neither order.
#[test]
fn entries_of_the_former_table_of_a_proxy_that_is_behind_still_count() {
    for (weight, found) in [(100.0, vec![Rule::Pushed]), (0.01, vec![])] {
        let mut guard = small_fleet();
        report_demand(&mut guard, 3);
        restart_host(&mut guard, 1_000.0, 3);
        commit_and_answer(&mut guard, 1_010.0, &[set_entry(0, 3, weight)], 1, &[0]);
        commit_and_answer(&mut guard, 1_500.0, &[set_entry(0, 3, 0.0), bind(1, 1)], 2, &[0]);
        expect_proxy_1_behind(&mut guard);
        assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(1, 3, 0.05)]), found, "weight {weight}");
        guard.hear(5_300.0, &applied(1, 2));
        assert_eq!(rules(&mut guard, 5_300.0, &[set_entry(1, 3, 0.05)]), []);
    }
}

/// After the restart of a host its former fraction is not known, so that the whole table is assumed.
#[test]
fn a_proxy_that_is_behind_may_hold_the_former_entry_of_a_restarted_host() {
    let mut guard = small_fleet();
    report_demand(&mut guard, 3);
    commit_and_answer(&mut guard, 1_000.0, &[set_entry(0, 1, 0.0)], 1, &[0]);
    expect_proxy_1_behind(&mut guard);
    restart_host(&mut guard, 5_200.0, 1);
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(1, 1, 0.05)]), [Rule::Pushed]);
    guard.hear(5_300.0, &applied(1, 1));
    assert_eq!(rules(&mut guard, 5_300.0, &[set_entry(1, 1, 0.05)]), []);
}

/// The table that another controller bound the proxy to may name all hosts listed by then.
#[test]
fn a_proxy_bound_by_another_controller_may_hold_any_host_listed_by_then() {
    let mut guard = small_fleet();
    guard.hear(3.0, &list(vec![in_service(3, 0)]));
    guard.hear(900.0, &Event::ProxyLeft { proxy: ProxyId(1) });
    guard.hear(900.0, &joined(1, 0));
    report_demand(&mut guard, 3);
    commit_and_answer(&mut guard, 1_000.0, &[bind(1, 0)], 1, &[]);
    expect_proxy_1_behind(&mut guard);
    restart_host(&mut guard, 5_200.0, 3);
    restart_host(&mut guard, 5_200.0, 4);
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(1, 3, 0.05)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 5_200.0, &[set_entry(1, 4, 0.05)]), []);
}

/// In a test run this finding was reported 779 times within three seconds, after calls whose answers were
/// lost.
#[test]
fn answers_to_copies_and_to_marks_of_one_message_are_no_finding() {
    let mut guard = small_fleet();
    for number in 1..=3 {
        guard.commit(1_000.0, &[set_entry(0, 0, f64::from(number)), mark(number)]);
    }
    // The first two calls are merged, and the second mark is answered first.
    guard.hear(1_000.0, &Event::CallsMerged { first: MarkId(1), last: MarkId(2) });
    let place = guard.place();
    guard.answered(1_050.0, place);
    guard.hear(1_100.0, &applied(0, 2));
    guard.hear(1_100.0, &applied(0, 1));
    assert_eq!(guard.findings(), []);
    // An answer to an earlier mark after the next message is out of order.
    guard.hear(1_200.0, &applied(0, 3));
    guard.hear(1_300.0, &applied(0, 1));
    assert_eq!(guard.findings(), [Finding::OutOfOrder(ProxyId(0))]);
    // A call is repeated, and the copy is answered long after all calls were confirmed.
    guard.commit(2_000.0, &[set_entry(0, 0, 1.5), mark(4)]);
    guard.hear(2_100.0, &Event::CallDuplicated { mark: MarkId(4) });
    guard.hear(2_200.0, &applied(0, 4));
    let place = guard.commit(2_300.0, &[set_entry(0, 0, 1.0), mark(5)]);
    guard.answered(2_400.0, place);
    guard.hear(9_000.0, &applied(0, 5));
    guard.hear(9_100.0, &applied(0, 4));
    let late = |finding: &Finding| matches!(finding, Finding::Behind(_));
    assert!(guard.findings().iter().all(late), "only findings of proxies that did not answer for seconds");
}

/// A repeated call that was merged with a later one is not confirmed by the later mark: a proxy answers both
/// marks at once, and the call may still be repeated for other proxies.
#[test]
fn a_mark_merged_with_a_repeated_call_does_not_confirm_the_call() {
    for (merged, found) in [(true, vec![Rule::Bare]), (false, vec![])] {
        let mut guard = small_fleet();
        // Withdraws a host, and restores it with the next call.
        guard.commit(1_000.0, &[withdraw(0), mark(1)]);
        guard.commit(1_100.0, &[restore(0), mark(2)]);
        if merged {
            guard.hear(1_150.0, &Event::CallsMerged { first: MarkId(1), last: MarkId(2) });
        }
        guard.hear(1_200.0, &Event::CallDuplicated { mark: MarkId(1) });
        guard.hear(1_300.0, &applied(0, 1));
        guard.hear(1_300.0, &applied(0, 2));
        // More than 2.0 s and less than 2.4 s after the answers, the first call is unconfirmed unless the
        // second confirms it.
        assert_eq!(rules(&mut guard, 3_400.0, &[withdraw(1)]), found, "merged {merged}");
        assert_eq!(rules(&mut guard, 4_000.0, &[withdraw(1)]), []);
    }
}
