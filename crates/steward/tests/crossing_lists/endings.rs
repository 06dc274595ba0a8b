//! Complete answers of discovery whose connection ends, resets or carries further bytes at the same time,
//! and complete answers that arrive in an unusual way.

use std::time::{Duration, Instant};

use crate::scene::{
    drain, in_chunks, listed, until_close, with_length, write_and_end, End, Scene, IMMEDIATE,
};
use crate::stand_in::list;

/// The answer is used although its connection ends with it, and the next call is made immediately, on a new
/// connection.
fn assert_used_although_connection_ends(answer: &[u8], end: End) {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    // The next call is made no sooner than 0.1 s after this one, so the daemon sees the connection's
    // end before it.
    let call = scene.fresh_call();
    let number = call.connection.number;
    write_and_end(call, answer, end);
    let ended = Instant::now();
    let next = scene.next_call();
    assert!(ended.elapsed() < IMMEDIATE, "the next call came after {:?}", ended.elapsed());
    assert!(next.line.contains("after=2&"), "{}", next.line);
    assert_ne!(next.connection.number, number, "on a connection that was closed");
    scene.orders.withdrawn("b");
}

/// Guards against an answer that is lost with its connection: a FIN follows directly after its last byte.
#[test]
fn an_answer_of_stated_length_is_not_lost_with_its_connection() {
    assert_used_although_connection_ends(&with_length(&drain(2, "b")), End::Fin);
}

/// Guards against the same loss with an RST, which the daemon sees in the same poll as the answer.
#[test]
fn an_answer_of_stated_length_is_not_lost_to_a_reset_behind_it() {
    assert_used_although_connection_ends(&with_length(&drain(2, "b")), End::Rst);
}

#[test]
fn an_answer_in_chunks_is_not_lost_with_its_connection() {
    assert_used_although_connection_ends(&in_chunks(&drain(2, "b")), End::Fin);
    assert_used_although_connection_ends(&in_chunks(&drain(2, "b")), End::Rst);
}

/// Guards against a daemon that keeps waiting for an answer that is delimited by the close of its
/// connection.
#[test]
fn an_answer_that_ends_with_its_connection_is_not_lost() {
    assert_used_although_connection_ends(&until_close(&drain(2, "b")), End::Fin);
}

/// Guards against taking a reset for the end of such an answer: it may be incomplete, so it is requested
/// again.
#[test]
fn a_reset_is_not_taken_for_the_end_of_an_answer() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    // What was received is valid JSON, and would take a and b out of service.
    let came = list(2, true, &[listed("c")]).to_string();
    write_and_end(scene.fresh_call(), &until_close(&came), End::Rst);
    let broke = Instant::now();
    let again = scene.next_call();
    assert!(broke.elapsed() < IMMEDIATE, "requested again only after {:?}", broke.elapsed());
    assert!(again.line.contains("after=1&"), "{}", again.line);
    again.answer(200, &drain(2, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a") && !scene.withdrawn("b"));
}

/// An answer and surplus bytes after it, which read as a further answer.
fn surplus(body: &str) -> (Vec<u8>, Vec<u8>) {
    (with_length(body), with_length(&drain(9, "a")))
}

/// Guards against surplus bytes being taken for the answer to the next call, where they arrive together
/// with the answer.
#[test]
fn surplus_bytes_in_one_piece_with_an_answer_are_not_the_next_answer() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let (answer, more) = surplus(&drain(2, "b"));
    call.connection.write(&[answer, more].concat());
    scene.orders.withdrawn("b");
    scene.drain(3, "c");
    assert!(!scene.withdrawn("a"), "the surplus was read");
}

/// Guards against the same where the surplus arrives after the daemon has read the answer, while the
/// connection is idle.
#[test]
fn surplus_bytes_on_an_idle_connection_are_not_the_next_answer() {
    const TRIES: usize = 5;
    let came_first = (0..TRIES).any(|_| surplus_arrives_before_next_call());
    assert!(came_first, "the surplus never came before the next call");
}

/// Returns whether the surplus arrived before the next call; otherwise it can't be told from an answer to
/// that call.
fn surplus_arrives_before_next_call() -> bool {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let (answer, more) = surplus(&drain(2, "b"));
    call.connection.write(&answer);
    scene.wait_for_version(2);
    call.connection.write(&more);
    let next = scene.next_call();
    if next.connection.number == call.connection.number {
        return false;
    }
    next.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a"), "the surplus was read");
    true
}

/// Guards against a daemon that reads only answers that arrive in one piece.
#[test]
fn an_answer_in_single_bytes_is_not_lost() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    for (seq, name, answer) in [(2, "b", with_length(&drain(2, "b"))), (3, "c", in_chunks(&drain(3, "c")))] {
        let mut call = scene.next_call();
        for byte in answer {
            call.connection.write(&[byte]);
            std::thread::sleep(Duration::from_micros(200));
        }
        scene.wait_for_version(seq);
        scene.orders.withdrawn(name);
    }
}
