use crate::peers::{feed, for_ms, moves, ties, Dialled, Peer, Then};
use amberarch_core::{MarkId, ProxyId};
use amberarch_steward::heard::{DecidedUnder, Encoded, Reply};
use amberarch_steward::http::Kept;
use amberarch_steward::relay::Relay;
use amberarch_steward::spread::Spread;
use expect_test::expect;
use std::time::Duration;
use tokio::sync::mpsc;

use Then::*;

/// The calls that a relay with this script receives for the replies, each delivered at its time.
fn calls(script: &'static [Dialled], replies: &'static [(u64, &'static [&'static str])]) -> String {
    calls_to(None, script, replies)
}

fn calls_to(
    moved: Option<u64>,
    script: &'static [Dialled],
    replies: &'static [(u64, &'static [&'static str])],
) -> String {
    calls_with(moved, script, replies, &[])
}

/// What the watch reveals.
#[derive(Clone, Copy)]
enum Sign {
    Answered(u16),
    Silent,
    Speaks,
}

/// The same, with signs of the watch at given times.
fn calls_with(
    moved: Option<u64>,
    script: &'static [Dialled],
    replies: &'static [(u64, &'static [&'static str])],
    shown: &'static [(u64, Sign)],
) -> String {
    for_ms(20_000, |trace| async move {
        let line = Kept::new(Peer::new(&trace, script), moves(moved), Duration::from_millis(250));
        let (to, from) = mpsc::channel(64);
        let ties = ties(&trace);
        let signs = ties.signs.clone();
        feed(shown.to_vec(), async move |sign| match sign {
            Sign::Answered(mark) => signs.applied(MarkId(mark)),
            Sign::Silent => signs.mark_silent(),
            Sign::Speaks => signs.spoke(),
        });
        let relay = Relay { line, gate: Default::default(), spread: Spread::new(1), ties };
        let mut marks = 0..;
        feed(replies.to_vec(), async move |orders: &[&str]| {
            let mark = marks.next().map(MarkId);
            let encoded = |(place, order): (usize, &&str)| {
                let binds = (*order == "2").then_some(ProxyId(2));
                // As from the event loop: the mark is the last order of its reply.
                let mark = mark.filter(|_| place + 1 == orders.len());
                Encoded { bytes: order.to_string().into(), binds, mark, order: None }
            };
            let orders = orders.iter().enumerate().map(encoded).collect();
            to.send(Reply { orders, mark, ruled: DecidedUnder::default() }).await.unwrap();
        });
        relay.run(from).await;
    })
}

/// The relay's answer to a call without orders.
const NO_ORDERS: Then = Answer("{\"taken\":0}");

/// Guards against reordered orders after a lost answer: the call is repeated whole and first, together with later orders,
/// and the controller is told of the additional message.
#[test]
fn an_unsure_call_is_repeated_whole_before_any_later_one() {
    let script = &[
        Dialled::Up(&[Silence]),
        Dialled::Up(&[NO_ORDERS, Break]),
        Dialled::Up(&[NO_ORDERS, Answer("{\"taken\":3}")]),
    ];
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1,2]}
        55 -> RelayDelayed { on: true }
        55 closed by the steward
        546 a connection
        546 POST /txn {"changes":[]}
        546 -> CallDuplicated { mark: MarkId(0) }
        546 POST /txn {"changes":[1,2]}
        1478 a connection
        1478 POST /txn {"changes":[]}
        1478 -> CallDuplicated { mark: MarkId(0) }
        1478 -> Together { marks: [MarkId(0), MarkId(1)] }
        1478 POST /txn {"changes":[1,2,3]}
        1478 -> RelayDelayed { on: false }
    "#]]
    .assert_eq(&calls(script, &[(0, &["1", "2"]), (600, &["3"])]));
}

/// Guards against giving up a call, or counting it as sent twice, because the relay could not be reached: nothing was sent.
#[test]
fn a_call_waits_for_a_relay_that_refuses_hangs_or_is_busy() {
    let busy = Status(429, "{\"error\":\"BUSY\"}");
    let script: &'static [Dialled] = Box::leak(Box::new([
        Dialled::Refused,
        Dialled::Hangs,
        Dialled::Up(Box::leak(Box::new([busy, busy, Answer("{\"taken\":1}")]))),
    ]));
    expect![[r#"
        0 -> RelayDelayed { on: true }
        352 a connection
        352 POST /txn {"changes":[1]}
        402 POST /txn {"changes":[1]}
        452 POST /txn {"changes":[1]}
        452 -> RelayDelayed { on: false }
    "#]]
    .assert_eq(&calls(script, &[(0, &["1"])]));
}

/// Guards against an invalid order that holds up the others, against repeating a malformed call forever, and against a
/// controller that assumes either was carried out.
#[test]
fn an_order_refused_twice_is_given_up_told_and_the_rest_goes_on() {
    let (syntax, taken) = (Status(400, "{\"error\":\"SYNTAX\"}"), |text| Answer(text));
    let steps = vec![
        taken("{\"taken\":1}"),
        taken("{\"taken\":0}"),
        taken("{\"taken\":1}"),
        syntax,
        syntax,
        taken("{\"taken\":1}"),
    ];
    let script: &'static [Dialled] = Box::leak(Box::new([Dialled::Up(Box::leak(steps.into_boxed_slice()))]));
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1,2,3]}
        0 -> CallSplit { mark: MarkId(0) }
        0 POST /txn {"changes":[2,3]}
        0 -> OrdersRefused { binds: Some(ProxyId(2)), orders: [] }
        0 POST /txn {"changes":[3]}
        100 POST /txn {"changes":[4,5]}
        150 POST /txn {"changes":[4,5]}
        150 -> OrdersRefused { binds: None, orders: [] }
        300 POST /txn {"changes":[6]}
    "#]]
    .assert_eq(&calls(script, &[(0, &["1", "2", "3"]), (100, &["4", "5"]), (300, &["6"])]));
}

/// Guards against orders that are lost or count as carried out because of a corrupted answer: refused orders are sent once
/// more, and after an impossible answer the outcome of the call counts as unknown.
#[test]
fn a_spoilt_answer_loses_no_order() {
    let script: &'static [Dialled] = Box::leak(Box::new(
        [
            "{\"taken\":9}",
            "{\"taken\":-1}",
            "{\"taken\":\"2\"}",
            "{\"took\":2}",
            "{\"error\":\"FROB\"}",
            "{\"taken\":null}",
        ]
        .map(|spoilt| Dialled::Up(Box::leak(Box::new([NO_ORDERS, Answer(spoilt)])))),
    ));
    let first: &'static [Then] = Box::leak(Box::new([Answer("{\"taken\":3}")]));
    let last: &'static [Then] =
        Box::leak(Box::new([NO_ORDERS, Answer("{\"taken\":0}"), Answer("{\"taken\":2}")]));
    let script = [&[Dialled::Up(first)], script, &[Dialled::Up(last)]].concat();
    let script = Box::leak(script.into_boxed_slice());
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1,2]}
        0 -> RelayDelayed { on: true }
        0 closed by the steward
        491 a connection
        491 POST /txn {"changes":[]}
        491 -> CallDuplicated { mark: MarkId(0) }
        491 POST /txn {"changes":[1,2]}
        491 closed by the steward
        1423 a connection
        1423 POST /txn {"changes":[]}
        1423 -> CallDuplicated { mark: MarkId(0) }
        1423 POST /txn {"changes":[1,2]}
        1423 closed by the steward
        2871 a connection
        2871 POST /txn {"changes":[]}
        2871 -> CallDuplicated { mark: MarkId(0) }
        2871 POST /txn {"changes":[1,2]}
        2871 closed by the steward
        4248 a connection
        4248 POST /txn {"changes":[]}
        4248 -> CallDuplicated { mark: MarkId(0) }
        4248 POST /txn {"changes":[1,2]}
        4248 closed by the steward
        5486 a connection
        5486 POST /txn {"changes":[]}
        5486 -> CallDuplicated { mark: MarkId(0) }
        5486 POST /txn {"changes":[1,2]}
        5486 closed by the steward
        6912 a connection
        6912 POST /txn {"changes":[]}
        6912 -> CallDuplicated { mark: MarkId(0) }
        6912 POST /txn {"changes":[1,2]}
        6912 closed by the steward
        8348 a connection
        8348 POST /txn {"changes":[]}
        8348 -> CallDuplicated { mark: MarkId(0) }
        8348 POST /txn {"changes":[1,2]}
        8348 -> RelayDelayed { on: false }
        8348 POST /txn {"changes":[1,2]}
    "#]]
    .assert_eq(&calls(script, &[(0, &["1", "2"])]));
}

/// Guards against a copy of a call for each attempt while the relay is silent: inquiries without orders are sent instead,
/// with growing pauses, and the call once one of them is answered.
#[test]
fn a_silent_relay_gets_inquiries_and_no_copies_of_the_call() {
    let silent = Dialled::Up(&[Silence]);
    let script: &'static [Dialled] = Box::leak(Box::new([
        silent,
        silent,
        silent,
        Dialled::Refused,
        silent,
        Dialled::Up(&[NO_ORDERS, Answer("{\"taken\":2}")]),
    ]));
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1,2]}
        55 -> RelayDelayed { on: true }
        55 closed by the steward
        546 a connection
        546 POST /txn {"changes":[]}
        601 closed by the steward
        826 a connection
        826 POST /txn {"changes":[]}
        881 closed by the steward
        1307 a connection
        1307 POST /txn {"changes":[]}
        1362 closed by the steward
        1864 a connection
        1864 POST /txn {"changes":[]}
        1864 -> CallDuplicated { mark: MarkId(0) }
        1864 POST /txn {"changes":[1,2]}
        1864 -> RelayDelayed { on: false }
    "#]]
    .assert_eq(&calls(script, &[(0, &["1", "2"])]));
}

/// Guards against repeating a call that was carried out, and against taking an answer to an earlier mark as its proof: an
/// answer to the call's own mark completes it, and the next orders follow.
#[test]
fn a_call_whose_mark_is_answered_is_not_repeated() {
    let script = &[Dialled::Up(&[Answer("{\"taken\":1}"), Silence]), Dialled::Up(&[Answer("{\"taken\":1}")])];
    let replies: &'static [(u64, &[&str])] = &[(0, &["1"]), (100, &["2"]), (300, &["3"])];
    // Mark 0 is answered late, when the outcome of call 1 is already unknown; mark 1 is answered after that.
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1]}
        100 POST /txn {"changes":[2]}
        155 -> RelayDelayed { on: true }
        155 closed by the steward
        400 a connection
        400 -> RelayDelayed { on: false }
        400 POST /txn {"changes":[3]}
    "#]]
    .assert_eq(&calls_with(None, script, replies, &[(200, Sign::Answered(0)), (400, Sign::Answered(1))]));
}

/// Guards against calls of unknown outcome to an unreachable relay: while the watch is silent, inquiries are sent, also
/// before orders, until the watch receives something.
#[test]
fn while_the_watch_is_silent_no_call_goes_before_an_inquiry_is_answered() {
    let script = &[
        Dialled::Up(&[Answer("{\"taken\":1}"), Silence]),
        Dialled::Up(&[Silence]),
        Dialled::Up(&[NO_ORDERS, Answer("{\"taken\":1}"), Answer("{\"taken\":1}")]),
    ];
    let replies: &'static [(u64, &[&str])] = &[(0, &["1"]), (500, &["2"]), (2_500, &["3"])];
    let shown = &[(10, Sign::Answered(0)), (400, Sign::Silent), (1_000, Sign::Speaks)];
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1]}
        400 POST /txn {"changes":[]}
        455 closed by the steward
        500 a connection
        500 -> RelayDelayed { on: true }
        500 POST /txn {"changes":[]}
        555 closed by the steward
        780 a connection
        780 POST /txn {"changes":[]}
        780 POST /txn {"changes":[2]}
        780 -> RelayDelayed { on: false }
        780 POST /txn {"changes":[]}
        2500 POST /txn {"changes":[3]}
        2555 -> RelayDelayed { on: true }
        2555 closed by the steward
    "#]]
    .assert_eq(&calls_with(None, script, replies, shown));
}

/// Guards against taking the relay's closing of an idle connection for a failure.
#[test]
fn a_connection_closed_while_idle_is_dialled_anew_at_once() {
    let script =
        &[Dialled::Up(&[Answer("{\"taken\":1}"), Wait(900), Close]), Dialled::Up(&[Answer("{\"taken\":1}")])];
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1]}
        2000 a connection
        2000 POST /txn {"changes":[2]}
    "#]]
    .assert_eq(&calls(script, &[(0, &["1"]), (2_000, &["2"])]));
}

/// Guards against calls over the size limit of the relay, and against a burst of messages when it is back: the backlog is
/// sent in as few calls as possible.
#[test]
fn what_has_piled_up_goes_in_as_few_calls_as_its_size_allows() {
    let long: &'static str = Box::leak("9".repeat(35_000).into_boxed_str());
    let orders: &'static [&'static str] = Box::leak(Box::new([long]));
    let replies: &'static [(u64, &[&str])] =
        Box::leak(Box::new([(0, &["1"][..]), (10, &["2"]), (20, orders), (30, orders)]));
    let script = &[Dialled::Refused, Dialled::Up(&[Answer("{\"taken\":3}"), Answer("{\"taken\":1}")])];
    expect![[r#"
        0 -> RelayDelayed { on: true }
        50 a connection
        50 -> Together { marks: [MarkId(0), MarkId(1), MarkId(2)] }
        50 POST /txn 35018 bytes
        50 -> RelayDelayed { on: false }
        50 POST /txn 35014 bytes
    "#]]
    .assert_eq(&calls(script, replies));
}

/// Guards against lost or reordered orders when a new configuration changes the relay's address: a call of unknown outcome is
/// repeated first at the new address, and later calls go there too.
#[test]
fn calls_move_with_the_relay_and_stay_in_order() {
    let script = &[
        Dialled::Up(&[Answer("{\"taken\":1}"), Silence]),
        Dialled::Up(&[NO_ORDERS, Answer("{\"taken\":2}"), Answer("{\"taken\":1}")]),
    ];
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[1]}
        200 POST /txn {"changes":[2]}
        255 -> RelayDelayed { on: true }
        255 closed by the steward
        746 a connection to 127.0.0.1:2
        746 POST /txn {"changes":[]}
        746 -> CallDuplicated { mark: MarkId(1) }
        746 -> Together { marks: [MarkId(1), MarkId(2)] }
        746 POST /txn {"changes":[2,3]}
        746 -> RelayDelayed { on: false }
        900 POST /txn {"changes":[4]}
    "#]]
    .assert_eq(&calls_to(Some(300), script, &[(0, &["1"]), (200, &["2"]), (320, &["3"]), (900, &["4"])]));
}
