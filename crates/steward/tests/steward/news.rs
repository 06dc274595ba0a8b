use crate::peers::{for_ms, moves, ties, Dialled, Peer, Then};
use amberarch_steward::counters::Seldom;
use amberarch_steward::news::Follow;
use amberarch_steward::spread::Spread;
use expect_test::expect;
use std::time::Duration;
use tokio::sync::watch;

use Then::*;

fn heard(ms: u64, script: &'static [Dialled]) -> String {
    heard_at(None, ms, script)
}

fn heard_at(moved: Option<u64>, ms: u64, script: &'static [Dialled]) -> String {
    for_ms(ms, |trace| async move {
        let (ready, mut can_serve) = watch::channel(false);
        let seen = trace.clone();
        tokio::task::spawn_local(async move {
            let _ = can_serve.wait_for(|ready| *ready).await;
            seen.note("ready");
        });
        let (dial, ties) = (Peer::new(&trace, script), ties(&trace));
        let connect_within = Duration::from_millis(250);
        let peer = moves(moved);
        Follow {
            dial,
            peer,
            connect_within,
            ready,
            skipped: Seldom::default(),
            spread: Spread::new(2),
            ties,
        }
        .run()
        .await;
    })
}

const JOINS: Then = Say(
    "{\"type\":\"SUBSCRIBE\",\"object\":{\"proxy\":1,\"zone\":\"a\",\"weight\":2.5,\"fresh\":true,\"new\":1}}\n",
);
const SIGN: Then = Say("{}\n");

/// Guards against losing events of the relay that come in pieces or follow unreadable ones.
#[test]
fn news_in_pieces_is_heard_and_what_cannot_be_read_is_skipped() {
    let script = &[
        Dialled::Refused,
        Dialled::Up(&[
            Observed,
            JOINS,
            SIGN,
            Wait(400),
            Say("{\"type\":\"ACK\",\"o"),
            Wait(300),
            Say("bject\":{\"proxy\":1,\"mark\":9,\"took_ms\":310.5}}\nnons"),
            Say("ense\n"),
            Wait(100),
            Say("{\"type\":\"CLOSED\",\"object\":{\"proxy\":1}}\n"),
            Wait(60_000),
        ]),
    ];
    expect![[r#"
        50 a connection
        50 GET /watch 
        50 ready
        50 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        50 -> SnapshotEnds
        750 -> News(Applied { proxy: 1, mark: 9, took_ms: 310.5 })
        850 -> News(Left { proxy: 1 })
    "#]]
    .assert_eq(&heard(1_000, script));
}

/// Guards against an open but silent watch: a second one is dialled, and the first that sends is followed.
#[test]
fn silent_news_is_dialled_beside_and_the_first_that_speaks_goes_on() {
    let script = &[
        Dialled::Up(&[Observed, JOINS, SIGN, Wait(1_500), SIGN, Wait(60_000)]),
        Dialled::Hangs,
        Dialled::Refused,
        Dialled::Hangs,
        Dialled::Up(&[Observed, JOINS, Wait(60_000)]),
    ];
    expect![[r#"
        0 a connection
        0 GET /watch 
        0 ready
        0 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        0 -> SnapshotEnds
        3154 a connection
        3154 GET /watch 
        3154 -> SnapshotBegins { rebind: true }
        3154 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        3459 -> SnapshotEnds
    "#]]
    .assert_eq(&heard(4_000, script));
}

/// Guards against a relay that breaks its watches before the snapshot is complete: dialling goes on at a limited rate, and
/// no proxy counts as having left.
#[test]
fn watches_that_break_at_once_are_dialled_at_a_pace() {
    let script = &[
        Dialled::Up(&[Observed, Close]),
        Dialled::Up(&[Observed, JOINS, Close]),
        Dialled::Up(&[Observed, JOINS, SIGN]),
    ];
    expect![[r#"
        0 a connection
        0 GET /watch 
        0 ready
        50 a connection
        50 GET /watch 
        50 -> SnapshotBegins { rebind: false }
        50 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        100 a connection
        100 GET /watch 
        100 -> SnapshotBegins { rebind: false }
        100 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        100 -> SnapshotEnds
    "#]]
    .assert_eq(&heard(500, script));
}

/// Guards against events that were missed between two watches: the new watch begins with a snapshot.
#[test]
fn a_watch_that_breaks_is_dialled_anew_and_what_stands_is_told() {
    let script =
        &[Dialled::Up(&[Observed, JOINS, Wait(200), Close]), Dialled::Up(&[Observed, JOINS, Wait(60_000)])];
    expect![[r#"
        0 a connection
        0 GET /watch 
        0 ready
        0 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        200 a connection
        200 GET /watch 
        200 -> SnapshotBegins { rebind: false }
        200 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        505 -> SnapshotEnds
    "#]]
    .assert_eq(&heard(1_000, script));
}

/// Guards against missing that a proxy left and returned while the watch was silent: after the silence only the first of
/// the delayed events arrived, and the rest was lost with the connection, so proxies in the snapshot may have joined
/// again. If the connection breaks some time after the silence, nothing was lost.
#[test]
fn a_watch_that_breaks_as_it_speaks_again_is_not_taken_for_whole() {
    let after = |script: &'static [Then]| {
        let script: &'static [Dialled] = Box::leak(Box::new([
            Dialled::Up(script),
            Dialled::Hangs,
            Dialled::Hangs,
            Dialled::Up(&[Observed, JOINS, SIGN, Wait(60_000)]),
        ]));
        let heard = heard(8_000, script);
        heard
            .lines()
            .filter(|line| line.contains("SnapshotBegins"))
            .map(String::from)
            .collect::<Vec<_>>()
            .join("\n")
    };
    expect!["1900 -> SnapshotBegins { rebind: true }"].assert_eq(&after(&[
        Observed,
        JOINS,
        SIGN,
        Wait(1_800),
        SIGN,
        Wait(100),
        JOINS,
        Close,
    ]));
    expect!["3600 -> SnapshotBegins { rebind: false }"].assert_eq(&after(&[
        Observed,
        JOINS,
        SIGN,
        Wait(1_800),
        SIGN,
        Wait(900),
        SIGN,
        Wait(900),
        SIGN,
        Close,
    ]));
}

/// Guards against events that a broken watch had not delivered: its gap begins when it was last received from.
#[test]
fn a_watch_that_breaks_some_time_after_it_was_heard_is_not_taken_for_whole() {
    let script = &[
        Dialled::Up(&[Observed, JOINS, SIGN, Wait(400), Close]),
        Dialled::Up(&[Observed, JOINS, SIGN, Wait(60_000)]),
    ];
    let heard = heard(1_000, script);
    assert!(heard.contains("400 -> SnapshotBegins { rebind: true }"), "{heard}");
}

/// Guards against missed events, or proxies counted as having left, when a new configuration changes the relay's address:
/// the old watch is read until another is established.
#[test]
fn news_moves_with_the_relay_and_the_old_is_heard_until_then() {
    let script = &[
        Dialled::Up(&[Observed, JOINS, SIGN, Wait(370), JOINS, Wait(60_000)]),
        Dialled::Refused,
        Dialled::Refused,
        Dialled::Up(&[Observed, JOINS, SIGN, Wait(60_000)]),
    ];
    expect![[r#"
        0 a connection
        0 GET /watch 
        0 ready
        0 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        0 -> SnapshotEnds
        370 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        399 a connection to 127.0.0.1:2
        399 GET /watch 
        399 -> SnapshotBegins { rebind: false }
        399 -> News(Joined { proxy: 1, zone: "a", weight: 2.5, fresh: true })
        399 -> SnapshotEnds
    "#]]
    .assert_eq(&heard_at(Some(300), 1_000, script));
}
