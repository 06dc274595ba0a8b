//! List watches that stay silent, and answers that arrive at the same time as their timeout.

use std::time::{Duration, Instant};

use crate::scene::{drain, with_length, Scene, IMMEDIATE};
use crate::stand_in::{list, Exchange};

/// A watch that waits 0.5 s is allowed 2 s more.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// Writes these bytes of an answer and nothing more. Once the daemon has abandoned that call, the next one
/// has to be made immediately; returns it.
fn silent_after(scene: &Scene, mut call: Exchange, sent: &[u8]) -> Exchange {
    let begun = Instant::now();
    call.connection.write(sent);
    scene.discovery.closed(call.connection.number);
    let abandoned = Instant::now();
    let took = abandoned - begun;
    assert!(took >= SILENT_AFTER - Duration::from_millis(100), "abandoned after {took:?}");
    let again = scene.next_call();
    assert!(abandoned.elapsed() < IMMEDIATE, "requested again only after {:?}", abandoned.elapsed());
    assert_eq!(again.line, call.line);
    again
}

/// The drain that the silent answer may have carried is in the next answer, and is carried out.
fn assert_drain_arrives_after(sent: &[u8]) {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let again = silent_after(&scene, scene.fresh_call(), sent);
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against a drain that is delayed by the pause after a failed call on top of the timeout: a drain
/// counts as reported once the time for the answer is over.
#[test]
fn a_watch_silent_before_its_head_is_not_asked_for_late() {
    assert_drain_arrives_after(b"");
}

#[test]
fn a_watch_silent_in_its_head_is_not_asked_for_late() {
    assert_drain_arrives_after(b"HTTP/1.1 200 OK\r\ncontent-");
}

#[test]
fn a_watch_silent_after_its_head_is_not_asked_for_late() {
    assert_drain_arrives_after(b"HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n");
}

#[test]
fn a_watch_silent_in_its_body_is_not_asked_for_late() {
    let answer = with_length(&drain(2, "b"));
    assert_drain_arrives_after(&answer[..answer.len() - 1]);
}

#[test]
fn a_watch_silent_between_two_chunks_is_not_asked_for_late() {
    assert_drain_arrives_after(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\n{\"seq\":2\r\n");
}

/// Guards against a daemon that waits longer on a watch that worked so far: the silence begins after thirty
/// answers.
#[test]
fn a_watch_silent_after_many_answers_is_not_asked_for_late() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    for seq in 2..32 {
        let call = scene.next_call();
        assert!(call.line.contains(&format!("after={}&", seq - 1)), "{}", call.line);
        call.answer(200, &list(seq, false, &[]).to_string());
    }
    let sent = b"HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n{\"seq\":32,";
    let again = silent_after(&scene, scene.next_call(), sent);
    assert!(again.line.contains("after=31&"), "{}", again.line);
    again.answer(200, &drain(32, "b"));
    scene.orders.withdrawn("b");
}

/// Which part of the answer arrives at the timeout.
#[derive(Clone, Copy, Debug)]
enum Late {
    All,
    LastByte,
}

/// Completes an answer that long after the call; returns whether it was received.
fn answered_after(late: Late, wait: Duration) -> bool {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
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
    let received = next.line.contains("after=2&");
    if received {
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
    received
}

/// Guards against an answer that is used in part, or taken for the answer to the next call, where it
/// arrives at the same time as its timeout. Whether it is received or requested again, its drain is carried
/// out, and so is the next one.
#[test]
fn an_answer_in_the_same_instant_as_its_timeout_is_not_half_heard() {
    let waits = [2_480, 2_500, 2_504, 2_508, 2_530].map(Duration::from_millis);
    std::thread::scope(|scope| {
        for (late, wait) in waits.into_iter().flat_map(|wait| [(Late::All, wait), (Late::LastByte, wait)]) {
            scope
                .spawn(move || eprintln!("{late:?} after {wait:?}: received {}", answered_after(late, wait)));
        }
    });
}
