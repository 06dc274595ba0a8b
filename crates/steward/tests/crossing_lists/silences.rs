//! Watches that fall silent, and answers that come in the same instant as the end of the time for them.

use std::time::{Duration, Instant};

use crate::scene::{drain, with_length, Scene, AT_ONCE};
use crate::stand_in::{list, Exchange};

/// A watch that waits 0.5 s has 2 s more.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// Says that much of an answer and nothing more; gives the call that comes next, which has to come at once after the
/// daemon has given this one up.
fn silent_behind(scene: &Scene, mut call: Exchange, said: &[u8]) -> Exchange {
    let begun = Instant::now();
    call.connection.write(said);
    scene.discovery.closed(call.connection.number);
    let given_up = Instant::now();
    let took = given_up - begun;
    assert!(took >= SILENT_AFTER - Duration::from_millis(100), "given up after {took:?}");
    let again = scene.next_call();
    assert!(given_up.elapsed() < AT_ONCE, "asked again only after {:?}", given_up.elapsed());
    assert_eq!(again.line, call.line);
    again
}

/// The drain that may have been told meanwhile is told by the next answer, and is carried out.
fn a_drain_comes_through_behind(said: &[u8]) {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let again = silent_behind(&scene, scene.fresh_call(), said);
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against a drain that is late by a failure's pause on top of the silence: what discovery has to tell counts as
/// told once the time for its answer is over.
#[test]
fn a_watch_silent_before_its_head_is_not_asked_for_late() {
    a_drain_comes_through_behind(b"");
}

#[test]
fn a_watch_silent_in_its_head_is_not_asked_for_late() {
    a_drain_comes_through_behind(b"HTTP/1.1 200 OK\r\ncontent-");
}

#[test]
fn a_watch_silent_after_its_head_is_not_asked_for_late() {
    a_drain_comes_through_behind(b"HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n");
}

#[test]
fn a_watch_silent_in_its_body_is_not_asked_for_late() {
    let answer = with_length(&drain(2, "b"));
    a_drain_comes_through_behind(&answer[..answer.len() - 1]);
}

#[test]
fn a_watch_silent_between_two_chunks_is_not_asked_for_late() {
    a_drain_comes_through_behind(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\n{\"seq\":2\r\n");
}

/// Guards against a daemon that trusts a watch for having been good for long: the silence comes after thirty answers.
#[test]
fn a_watch_silent_after_many_answers_is_not_asked_for_late() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    for seq in 2..32 {
        let call = scene.next_call();
        assert!(call.line.contains(&format!("after={}&", seq - 1)), "{}", call.line);
        call.answer(200, &list(seq, false, &[]).to_string());
    }
    let said = b"HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n{\"seq\":32,";
    let again = silent_behind(&scene, scene.next_call(), said);
    assert!(again.line.contains("after=31&"), "{}", again.line);
    again.answer(200, &drain(32, "b"));
    scene.orders.withdrawn("b");
}

/// What of the answer comes in the last instant.
#[derive(Clone, Copy, Debug)]
enum Late {
    All,
    LastByte,
}

/// An answer of which something comes that long after the call; whether it was heard.
fn answered_after(late: Late, wait: Duration) -> bool {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let begun = Instant::now();
    let answer = with_length(&drain(2, "b"));
    let (first, last) = match late {
        Late::All => (&answer[..0], &answer[..]),
        Late::LastByte => answer.split_at(answer.len() - 1),
    };
    call.connection.write(first);
    std::thread::sleep(wait.saturating_sub(begun.elapsed()));
    call.connection.write(last);
    let next = scene.next_call();
    let heard = next.line.contains("after=2&");
    if heard {
        scene.orders.withdrawn("b");
        next.answer(200, &drain(3, "c"));
    } else {
        assert!(next.line.contains("after=1&"), "{}", next.line);
        assert_ne!(next.connection.number, call.connection.number, "a late answer may still come there");
        next.answer(200, &drain(2, "b"));
        scene.orders.withdrawn("b");
        scene.next_call().answer(200, &drain(3, "c"));
    }
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a"));
    heard
}

/// Guards against an answer that is half heard, or taken for the answer to the call after it: it comes in the same
/// instant as the end of its time. Heard or asked for again, the drain in it is carried out, and so is the next one.
#[test]
fn an_answer_in_the_same_instant_as_its_timeout_is_not_half_heard() {
    let waits = [2_480, 2_500, 2_504, 2_508, 2_530].map(Duration::from_millis);
    std::thread::scope(|scope| {
        for (late, wait) in waits.into_iter().flat_map(|wait| [(Late::All, wait), (Late::LastByte, wait)]) {
            scope.spawn(move || eprintln!("{late:?} after {wait:?}: heard {}", answered_after(late, wait)));
        }
    });
}
