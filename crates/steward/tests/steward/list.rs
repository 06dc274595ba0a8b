use crate::peers::{feed, for_ms, moves, ties, Dialled, Peer, Then};
use amberarch_steward::heard::Ask;
use amberarch_steward::http::Kept;
use amberarch_steward::list::Discovery;
use amberarch_steward::spread::Spread;
use expect_test::expect;
use std::time::Duration;
use tokio::sync::mpsc;

use Then::*;

fn asked(ms: u64, script: &'static [Dialled], asks: &'static [(u64, Ask)]) -> String {
    asked_at(None, ms, script, asks)
}

fn asked_at(moved: Option<u64>, ms: u64, script: &'static [Dialled], asks: &'static [(u64, Ask)]) -> String {
    for_ms(ms, |trace| async move {
        let line = Kept::new(Peer::new(&trace, script), moves(moved), Duration::from_millis(250));
        let (to, from) = mpsc::channel(64);
        feed(asks.to_vec(), async move |ask| to.send(ask).await.unwrap());
        let wait = Duration::from_secs(5);
        Discovery { line, wait, spread: Spread::new(3), ties: ties(&trace) }.run(from, 41).await;
    })
}

const NOTHING: &str = "{\"seq\":41,\"whole\":false,\"hosts\":[]}";
const DRAIN: &str = "{\"seq\":43,\"whole\":false,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.1.0.1:3000\",\
    \"site\":\"a\",\"class\":\"m2\",\"block\":3,\"health\":\"terminating\",\"share\":1.0,\"born_ms\":0}]}";

/// Guards against a watch that lapses between two calls: the next call follows at once on the same connection.
#[test]
fn a_watch_goes_on_call_after_call() {
    let script = &[Dialled::Up(&[Answer(NOTHING), Wait(5_000), Answer(NOTHING), Answer(DRAIN), Silence])];
    expect![[r#"
        0 a connection
        0 GET /v1/servers?after=41&wait_ms=5000 
        0 -> Listed(Listing { seq: 41, whole: false, hosts: [] })
        5000 GET /v1/servers?after=41&wait_ms=5000 
        5000 -> ListUnchanged
        5000 GET /v1/servers?after=41&wait_ms=5000 
        5000 -> Listed(Listing { seq: 43, whole: false, hosts: [Row { host: "s-1", dial: "127.1.0.1:3000", site: "a", class: "m2", block: 3, health: Terminating, share: 1.0, born_ms: 0.0 }] })
        5100 GET /v1/servers?after=43&wait_ms=5000 
    "#]]
    .assert_eq(&asked(6_000, script, &[(0, Ask::Watch)]));
}

/// Guards against repeated failures while discovery is down or silent: the watch ends with one failure, and the next call
/// is made only on request.
#[test]
fn a_call_that_fails_is_told_once_and_not_repeated_by_itself() {
    let script = &[
        Dialled::Refused,
        Dialled::Up(&[Status(503, "")]),
        // Repeated once at once: the content of the answer counts as reported by now.
        Dialled::Up(&[Silence]),
        Dialled::Up(&[Silence]),
        Dialled::Up(&[Answer(DRAIN)]),
    ];
    let asks = &[(0, Ask::Watch), (100, Ask::Watch), (300, Ask::Watch), (16_000, Ask::Whole)];
    expect![[r#"
        0 -> ListFailed
        101 a connection
        101 GET /v1/servers?after=41&wait_ms=5000 
        101 -> ListFailed
        101 closed by the steward
        397 a connection
        397 GET /v1/servers?after=41&wait_ms=5000 
        7402 a connection
        7402 closed by the steward
        7402 GET /v1/servers?after=41&wait_ms=5000 
        14407 -> ListFailed
        14407 closed by the steward
        16022 a connection
        16022 GET /v1/servers 
        16022 -> Listed(Listing { seq: 43, whole: false, hosts: [Row { host: "s-1", dial: "127.1.0.1:3000", site: "a", class: "m2", block: 3, health: Terminating, share: 1.0, born_ms: 0.0 }] })
    "#]]
    .assert_eq(&asked(17_000, script, asks));
}

const GARBLED: &str = "{\"seq\":42,\"whole\":tr";

/// Guards against a late drain after an unreadable answer, whose content counts as reported: the call is repeated at once,
/// not after the backoff that spares a failed discovery. Two unreadable answers in a row are a failure like any other.
#[test]
fn a_garbled_answer_is_asked_for_again_at_once() {
    let script = &[
        Dialled::Up(&[Answer(NOTHING), Wait(1_000), Answer(GARBLED)]),
        Dialled::Up(&[Answer(DRAIN), Answer(GARBLED)]),
        Dialled::Up(&[Answer(GARBLED)]),
        Dialled::Up(&[Answer(GARBLED)]),
        Dialled::Up(&[Answer(NOTHING_NEWER), Silence]),
    ];
    expect![[r#"
        0 a connection
        0 GET /v1/servers?after=41&wait_ms=5000 
        0 -> Listed(Listing { seq: 41, whole: false, hosts: [] })
        1000 GET /v1/servers?after=41&wait_ms=5000 
        1000 a connection
        1000 closed by the steward
        1000 GET /v1/servers?after=41&wait_ms=5000 
        1000 -> Listed(Listing { seq: 43, whole: false, hosts: [Row { host: "s-1", dial: "127.1.0.1:3000", site: "a", class: "m2", block: 3, health: Terminating, share: 1.0, born_ms: 0.0 }] })
        1100 GET /v1/servers?after=43&wait_ms=5000 
        1100 closed by the steward
        1200 a connection
        1200 GET /v1/servers?after=43&wait_ms=5000 
        1200 -> ListFailed
        1200 closed by the steward
        3001 a connection
        3001 GET /v1/servers?after=43&wait_ms=5000 
        3001 closed by the steward
        3101 a connection
        3101 GET /v1/servers?after=43&wait_ms=5000 
        3101 -> Listed(Listing { seq: 44, whole: false, hosts: [] })
        3201 GET /v1/servers?after=44&wait_ms=5000 
    "#]].assert_eq(&asked(6_000, script, &[(0, Ask::Watch), (3_000, Ask::Watch)]));
}

/// Guards against using changes after discovery has restarted: changes to an older version are meaningless, so the whole
/// list is requested.
#[test]
fn a_version_that_goes_back_brings_the_whole_list() {
    let back = "{\"seq\":3,\"whole\":false,\"hosts\":[]}";
    let whole = "{\"seq\":3,\"whole\":true,\"hosts\":[]}";
    let steps: &'static [Then] = Box::leak(Box::new([Answer(back), Answer(whole), Answer(whole), Silence]));
    let script: &'static [Dialled] = Box::leak(Box::new([Dialled::Up(steps)]));
    expect![[r#"
        0 a connection
        0 GET /v1/servers?after=41&wait_ms=5000 
        100 GET /v1/servers 
        200 GET /v1/servers 
        200 -> Listed(Listing { seq: 3, whole: true, hosts: [] })
        300 GET /v1/servers?after=3&wait_ms=5000 
    "#]]
    .assert_eq(&asked(1_000, script, &[(0, Ask::Watch)]));
}

/// Guards against an outdated list after discovery has moved: the call in progress is repeated at the new address at once,
/// from the same version.
#[test]
fn a_watch_moves_with_discovery_from_its_version() {
    let script =
        &[Dialled::Up(&[Answer(DRAIN), Silence]), Dialled::Up(&[Wait(100), Answer(NOTHING_NEWER), Silence])];
    expect![[r#"
        0 a connection
        0 GET /v1/servers?after=41&wait_ms=5000 
        0 -> Listed(Listing { seq: 43, whole: false, hosts: [Row { host: "s-1", dial: "127.1.0.1:3000", site: "a", class: "m2", block: 3, health: Terminating, share: 1.0, born_ms: 0.0 }] })
        100 GET /v1/servers?after=43&wait_ms=5000 
        1005 a connection to 127.0.0.1:2
        1005 closed by the steward
        1105 GET /v1/servers?after=43&wait_ms=5000 
        1105 -> ListUnchanged
        1105 GET /v1/servers?after=44&wait_ms=5000 
    "#]].assert_eq(&asked_at(Some(1_000), 3_000, script, &[(0, Ask::Watch)]));
}

const NOTHING_NEWER: &str = "{\"seq\":44,\"whole\":false,\"hosts\":[]}";
