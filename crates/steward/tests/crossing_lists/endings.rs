//! Discovery's answers that are whole while something else happens to their connection in the same instant, and whole
//! ones that come in an unusual way.

use std::time::{Duration, Instant};

use crate::scene::{
    drain, in_chunks, listed, until_the_end, with_length, write_and_end, End, Scene, AT_ONCE,
};
use crate::stand_in::list;

/// The answer is heard though its connection ends with it, and the next call comes at once, on a new connection.
fn heard_though_its_connection_ends(answer: &[u8], end: End) {
    let scene = Scene::knowing(&["a", "b", "c"]);
    // The next call comes 0.1 s after this one at the soonest, so the connection's end is there before it.
    let call = scene.fresh_call();
    let number = call.connection.number;
    write_and_end(call, answer, end);
    let ended = Instant::now();
    let next = scene.next_call();
    assert!(ended.elapsed() < AT_ONCE, "the next call came after {:?}", ended.elapsed());
    assert!(next.line.contains("after=2&"), "{}", next.line);
    assert_ne!(next.connection.number, number, "on a connection that was closed");
    scene.orders.withdrawn("b");
}

/// Guards against an answer lost with its connection: FIN right behind its last byte.
#[test]
fn an_answer_of_stated_length_is_not_lost_with_its_connection() {
    heard_though_its_connection_ends(&with_length(&drain(2, "b")), End::Fin);
}

/// Guards against the same with an RST, which the daemon sees in the same look as the answer.
#[test]
fn an_answer_of_stated_length_is_not_lost_to_a_reset_behind_it() {
    heard_though_its_connection_ends(&with_length(&drain(2, "b")), End::Rst);
}

#[test]
fn an_answer_in_chunks_is_not_lost_with_its_connection() {
    heard_though_its_connection_ends(&in_chunks(&drain(2, "b")), End::Fin);
    heard_though_its_connection_ends(&in_chunks(&drain(2, "b")), End::Rst);
}

/// Guards against a daemon that waits on for an answer whose end is that of its connection.
#[test]
fn an_answer_that_ends_with_its_connection_is_not_lost() {
    heard_though_its_connection_ends(&until_the_end(&drain(2, "b")), End::Fin);
}

/// Guards against taking a reset for the end of such an answer: what came may be a part of it, so it is asked for again.
#[test]
fn a_reset_is_not_taken_for_the_end_of_an_answer() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    // What has come can be read, and would take a and b out of service.
    let came = list(2, true, &[listed("c")]).to_string();
    write_and_end(scene.fresh_call(), &until_the_end(&came), End::Rst);
    let broke = Instant::now();
    let again = scene.next_call();
    assert!(broke.elapsed() < AT_ONCE, "asked again only after {:?}", broke.elapsed());
    assert!(again.line.contains("after=1&"), "{}", again.line);
    again.answer(200, &drain(2, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a") && !scene.withdrawn("b"));
}

/// An answer with more bytes than it stated, which read as an answer of their own.
fn surplus(body: &str) -> (Vec<u8>, Vec<u8>) {
    (with_length(body), with_length(&drain(9, "a")))
}

/// Guards against surplus bytes that are taken for the answer to the next call: they come with the answer before.
#[test]
fn surplus_bytes_in_one_piece_with_an_answer_are_not_the_next_answer() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let (answer, more) = surplus(&drain(2, "b"));
    call.connection.write(&[answer, more].concat());
    scene.orders.withdrawn("b");
    scene.drain(3, "c");
    assert!(!scene.withdrawn("a"), "the surplus was heard");
}

/// Guards against the same where the surplus comes once the daemon has heard the answer, while its connection is idle.
#[test]
fn surplus_bytes_on_an_idle_connection_are_not_the_next_answer() {
    const TRIES: usize = 5;
    let came_first = (0..TRIES).any(|_| surplus_behind_an_answer_is_not_heard());
    assert!(came_first, "the surplus never came before the next call");
}

/// Whether the surplus came before the next call; nothing tells it from an answer to that call otherwise.
fn surplus_behind_an_answer_is_not_heard() -> bool {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let mut call = scene.fresh_call();
    let (answer, more) = surplus(&drain(2, "b"));
    call.connection.write(&answer);
    scene.heard_of(2);
    call.connection.write(&more);
    let next = scene.next_call();
    if next.connection.number == call.connection.number {
        return false;
    }
    next.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
    assert!(!scene.withdrawn("a"), "the surplus was heard");
    true
}

/// Guards against a daemon that reads only what comes in one piece.
#[test]
fn an_answer_in_single_bytes_is_not_lost() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    for (seq, name, answer) in [(2, "b", with_length(&drain(2, "b"))), (3, "c", in_chunks(&drain(3, "c")))] {
        let mut call = scene.next_call();
        for byte in answer {
            call.connection.write(&[byte]);
            std::thread::sleep(Duration::from_micros(200));
        }
        scene.heard_of(seq);
        scene.orders.withdrawn(name);
    }
}
