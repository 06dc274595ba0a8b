//! Proxies that are behind bring only to hosts that they may have been sent to; and marks of copies and of calls that
//! went as one.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;

/// Each proxy brings 20 txns a second; a warm host of weight 1 does 10, and survives 6 to 30 while it is cold.
fn told(guard: &mut Guard, proxies: u16) {
    guard.hear(2.0, &met(2, 10));
    (0..proxies).for_each(|proxy| guard.hear(2.0, &came(proxy, 0, 20)));
}

fn starts(guard: &mut Guard, now: f64, host: u32) {
    guard.hear(now, &list(vec![HostEntry { started_at: Some(now), ..on(host, 0) }]));
}

/// Goes out whatever the guard says, and the relay answers; those proxies answer its mark.
fn goes_out(guard: &mut Guard, now: f64, orders: &[Order], number: u16, who: &[u16]) {
    let place = guard.commit(now, &[orders, &[mark(number)]].concat());
    guard.answered(now, place);
    who.iter().for_each(|proxy| guard.hear(now + 100.0, &applied(*proxy, number)));
}

/// All that is due by 5.1 s; proxy 1 is behind by then.
fn falls_behind(guard: &mut Guard) {
    guard.hear(4_000.0, &probed(0, ProbeOutcome::Answered));
    guard.hear(5_100.0, &probed(0, ProbeOutcome::Answered));
    assert_eq!(guard.findings(), [Finding::Behind(ProxyId(1))]);
}

/// All that proxies brought that were behind counted for every host: on the bench a host was held back 16 times that
/// none of them could know of.
#[test]
fn a_fresh_host_has_nothing_to_fear_from_who_is_behind_and_was_never_sent_it() {
    let mut guard = usual();
    told(&mut guard, 3);
    goes_out(&mut guard, 1_000.0, &[share(0, 0, 2.0)], 1, &[0]);
    falls_behind(&mut guard);
    starts(&mut guard, 5_200.0, 3);
    assert_eq!(rules(&mut guard, 5_200.0, &[share(1, 3, 0.05)]), []);
    // In the table that it uses it may get the line at once.
    assert_eq!(rules(&mut guard, 5_200.0, &[share(0, 3, 3.0)]), [Rule::Pushed]);
}

/// The line ended, and the proxy was bound elsewhere: it knows of neither.
#[test]
fn what_the_old_table_of_a_proxy_that_is_behind_named_still_counts() {
    for (weight, found) in [(100.0, vec![Rule::Pushed]), (0.01, vec![])] {
        let mut guard = usual();
        told(&mut guard, 3);
        starts(&mut guard, 1_000.0, 3);
        goes_out(&mut guard, 1_010.0, &[share(0, 3, weight)], 1, &[0]);
        goes_out(&mut guard, 1_500.0, &[share(0, 3, 0.0), bind(1, 1)], 2, &[0]);
        falls_behind(&mut guard);
        assert_eq!(rules(&mut guard, 5_200.0, &[share(1, 3, 0.05)]), found, "weight {weight}");
        guard.hear(5_300.0, &applied(1, 2));
        assert_eq!(rules(&mut guard, 5_300.0, &[share(1, 3, 0.05)]), []);
    }
}

/// It restarted: what part it had while it was warm was not kept, so that it may be all.
#[test]
fn a_host_that_restarts_is_still_known_to_who_is_behind() {
    let mut guard = usual();
    told(&mut guard, 3);
    goes_out(&mut guard, 1_000.0, &[share(0, 1, 0.0)], 1, &[0]);
    falls_behind(&mut guard);
    starts(&mut guard, 5_200.0, 1);
    assert_eq!(rules(&mut guard, 5_200.0, &[share(1, 1, 0.05)]), [Rule::Pushed]);
    guard.hear(5_300.0, &applied(1, 1));
    assert_eq!(rules(&mut guard, 5_300.0, &[share(1, 1, 0.05)]), []);
}

/// What another steward bound it to may name all that was listed by then.
#[test]
fn a_proxy_that_came_with_tables_of_another_may_know_all_hosts_that_were_listed() {
    let mut guard = usual();
    guard.hear(3.0, &list(vec![on(3, 0)]));
    guard.hear(900.0, &Event::ProxyLeft { proxy: ProxyId(1) });
    guard.hear(900.0, &joined(1, 0));
    told(&mut guard, 3);
    goes_out(&mut guard, 1_000.0, &[bind(1, 0)], 1, &[]);
    falls_behind(&mut guard);
    starts(&mut guard, 5_200.0, 3);
    starts(&mut guard, 5_200.0, 4);
    assert_eq!(rules(&mut guard, 5_200.0, &[share(1, 3, 0.05)]), [Rule::Pushed]);
    assert_eq!(rules(&mut guard, 5_200.0, &[share(1, 4, 0.05)]), []);
}

/// Told 779 times within three seconds on the bench, after calls whose answers were lost.
#[test]
fn answers_to_copies_and_to_marks_of_one_message_are_no_finding() {
    let mut guard = usual();
    for number in 1..=3 {
        guard.commit(1_000.0, &[share(0, 0, f64::from(number)), mark(number)]);
    }
    // The first two go as one; the second's mark is answered first.
    guard.hear(1_000.0, &Event::CallsMerged { first: MarkId(1), last: MarkId(2) });
    let place = guard.place();
    guard.answered(1_050.0, place);
    guard.hear(1_100.0, &applied(0, 2));
    guard.hear(1_100.0, &applied(0, 1));
    assert_eq!(guard.findings(), []);
    // One after that message was passed is one out of order.
    guard.hear(1_200.0, &applied(0, 3));
    guard.hear(1_300.0, &applied(0, 1));
    assert_eq!(guard.findings(), [Finding::OutOfOrder(ProxyId(0))]);
    // A repeat is told; the copy's answer comes long after all was answered for.
    guard.commit(2_000.0, &[share(0, 0, 1.5), mark(4)]);
    guard.hear(2_100.0, &Event::CallDuplicated { mark: MarkId(4) });
    guard.hear(2_200.0, &applied(0, 4));
    let place = guard.commit(2_300.0, &[share(0, 0, 1.0), mark(5)]);
    guard.answered(2_400.0, place);
    guard.hear(9_000.0, &applied(0, 5));
    guard.hear(9_100.0, &applied(0, 4));
    let late = |finding: &Finding| matches!(finding, Finding::Behind(_));
    assert!(guard.findings().iter().all(late), "proxies that answered nothing for seconds, and nothing else");
}

/// The repeat of a call that took up a later one is not over because that one's mark was answered: any proxy answers
/// both at once, and the call may be repeated for the others yet.
#[test]
fn a_call_does_not_stop_being_unsure_by_a_mark_that_went_with_it() {
    for (together, found) in [(true, vec![Rule::Bare]), (false, vec![])] {
        let mut guard = usual();
        // It shuts out one host, and the next call lets it in again.
        guard.commit(1_000.0, &[out(0), mark(1)]);
        guard.commit(1_100.0, &[back(0), mark(2)]);
        if together {
            guard.hear(1_150.0, &Event::CallsMerged { first: MarkId(1), last: MarkId(2) });
        }
        guard.hear(1_200.0, &Event::CallDuplicated { mark: MarkId(1) });
        guard.hear(1_300.0, &applied(0, 1));
        guard.hear(1_300.0, &applied(0, 2));
        // 2.1 s after the answer, and not yet 2.4 s: the first is unsure unless the second shows otherwise.
        assert_eq!(rules(&mut guard, 3_400.0, &[out(1)]), found, "together {together}");
        assert_eq!(rules(&mut guard, 4_000.0, &[out(1)]), []);
    }
}
