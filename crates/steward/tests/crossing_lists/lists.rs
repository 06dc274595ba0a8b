//! Lists that differ from what was requested or known, and the rate of the calls for them.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::scene::{changed, drain, listed, Scene};
use crate::stand_in::list;

const WHOLE: &str = "GET /v1/servers";

/// Guards against hosts that stay in service although a full list lacks them, where changes were requested
/// and a full list was sent.
#[test]
fn a_whole_list_in_the_place_of_changes_is_not_taken_for_changes() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.answer_next(2, true, &[listed("a"), listed("c")]);
    scene.orders.withdrawn("b");
    let next = scene.next_call();
    assert!(next.line.contains("after=2&"), "{}", next.line);
    next.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a"));
}

/// Guards against one corrupted answer that takes every host out of service: an empty full list is
/// requested once more before it is believed.
#[test]
fn an_empty_list_that_the_next_answer_contradicts_takes_no_host_out() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.next_call().answer(200, &list(2, true, &[]).to_string());
    let again = scene.next_call();
    assert_eq!(again.line, WHOLE);
    scene.answer(again, 3, true, &["a", "b", "c"].map(listed));
    scene.drain(4, "c");
    assert!(!scene.withdrawn("a") && !scene.withdrawn("b"));
}

/// Guards against a daemon that never accepts that all hosts are gone.
#[test]
fn an_empty_list_that_the_next_answer_confirms_is_not_doubted_on() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.next_call().answer(200, &list(2, true, &[]).to_string());
    let again = scene.next_call();
    assert_eq!(again.line, WHOLE);
    again.answer(200, &list(2, true, &[]).to_string());
    ["a", "b", "c"].into_iter().for_each(|name| scene.orders.withdrawn(name));
    let next = scene.next_call();
    assert!(next.line.contains("after=2&"), "{}", next.line);
}

/// Guards against an empty list that is believed although the call that should confirm it fails.
#[test]
fn an_empty_list_whose_confirmation_fails_takes_no_host_out() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.next_call().answer(200, &list(2, true, &[]).to_string());
    let again = scene.next_call();
    assert_eq!(again.line, WHOLE);
    again.answer(503, "");
    let later = scene.next_call();
    assert!(later.line.contains("after=1&"), "{}", later.line);
    later.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a") && !scene.withdrawn("b"));
}

/// Guards against changes that are dropped because the version is unchanged.
#[test]
fn changes_without_a_newer_version_are_not_dropped() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.drain(1, "b");
    let next = scene.next_call();
    assert!(next.line.contains("after=1&"), "{}", next.line);
    next.answer(200, &drain(1, "c"));
    scene.orders.withdrawn("c");
}

/// Guards against changes to an older list that are applied to the current one, as after a restart of
/// discovery.
#[test]
fn changes_to_an_older_version_are_not_applied_to_this_one() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.next_call().answer(200, &list(40, false, &[]).to_string());
    scene.next_call().answer(200, &drain(3, "a"));
    let whole = scene.next_call();
    assert_eq!(whole.line, WHOLE);
    scene.answer(whole, 3, true, &[listed("a"), listed("c")]);
    scene.orders.withdrawn("b");
    let next = scene.next_call();
    assert!(next.line.contains("after=3&"), "{}", next.line);
    next.answer(200, &drain(4, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a"), "the changes to the older list were applied");
}

/// Guards against a full list that is dropped because its version is older: a full list is valid by itself.
#[test]
fn a_whole_list_of_an_older_version_is_not_dropped() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    scene.next_call().answer(200, &list(40, false, &[]).to_string());
    scene.answer_next(3, true, &[listed("a"), listed("c")]);
    scene.orders.withdrawn("b");
    let next = scene.next_call();
    assert!(next.line.contains("after=3&"), "{}", next.line);
}

/// Guards against missing a restart of a host that only its start time shows: the host was gone and back
/// between two answers. It is cold, so it has a quarter of its weight four seconds after its start.
#[test]
fn a_host_that_went_and_came_back_between_two_answers_does_not_count_as_warm() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let unix_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as f64;
    scene.answer_next(2, false, &[changed(listed("b"), "born_ms", json!(unix_ms - 4_000.0))]);
    let eased = |order: &serde_json::Value| {
        order["op"] == "share" && order["server"] == "b" && order["weight"] == 0.25
    };
    scene.orders.wait("a quarter for b", eased);
    scene.drain(3, "c");
    assert!(!scene.withdrawn("a"));
}

/// Guards against a watch that lapses between two calls, and against overloading discovery, when forty
/// answers arrive in a row. A call that is made more than 200 ms after the last answer begins a new watch,
/// and changes in between are lost.
#[test]
fn a_watch_does_not_lapse_between_two_calls() {
    const CALLS: u32 = 40;
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let (first, mut longest) = (Instant::now(), Duration::ZERO);
    for seq in 2..CALLS + 2 {
        let answered = Instant::now();
        call.answer(200, &list(seq.into(), false, &[]).to_string());
        call = scene.next_call();
        let idle = answered.elapsed();
        assert!(idle < Duration::from_millis(200), "the next call came {idle:?} after answer {seq}");
        longest = longest.max(idle);
    }
    // The first call may have been observed late, which shortens the measured total by as much.
    let least = Duration::from_millis(100) * CALLS - Duration::from_millis(50);
    assert!(first.elapsed() >= least, "{CALLS} calls in {:?}", first.elapsed());
    eprintln!("{CALLS} calls in {:?}, none later than {longest:?} after the last answer", first.elapsed());
}

/// Guards against a pause after an answer that discovery held for longer than the usual pause: there is
/// none in this case.
#[test]
fn a_watch_does_not_lapse_behind_an_answer_that_was_held() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    for seq in 2..8 {
        let call = scene.next_call();
        std::thread::sleep(Duration::from_millis(150));
        let answered = Instant::now();
        call.answer(200, &list(seq, false, &[]).to_string());
        let next = scene.discovery.request_within("GET /v1/servers", Duration::from_millis(200));
        let next = next.unwrap_or_else(|| panic!("no call within {:?}", answered.elapsed()));
        next.answer(200, &list(seq, false, &[]).to_string());
    }
}
