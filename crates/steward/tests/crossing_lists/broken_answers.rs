//! Answers of discovery that fail: cut off at any place, corrupted, rejected, or never begun. An answer
//! that was cut off may have carried a drain, so the time limit of that drain counts from then on.

use std::net::TcpListener;
use std::time::Instant;

use crate::scene::{drain, in_chunks, with_length, write_and_end, End, Scene, IMMEDIATE, RETRY_PAUSE};
use crate::stand_in::{list, refusing_address, Configuration, Daemon, Exchange, Peer, Relay};

const BOTH: [End; 2] = [End::Fin, End::Rst];

/// A complete answer, cut directly after the given part of it.
fn cut_after(whole: Vec<u8>, part: &str) -> Vec<u8> {
    let place = whole.windows(part.len()).position(|window| window == part.as_bytes());
    whole[..place.expect("that part") + part.len()].to_vec()
}

/// Breaks the answer to a watch. The next call has to be made immediately, on a new connection and from the
/// same version; returns that call.
fn asked_again(scene: &Scene, spoil: impl FnOnce(Exchange)) -> Exchange {
    let call = scene.next_call();
    let (line, number) = (call.line.clone(), call.connection.number);
    spoil(call);
    let broke = Instant::now();
    let again = scene.next_call();
    assert!(broke.elapsed() < IMMEDIATE, "requested again only after {:?}", broke.elapsed());
    assert_eq!(again.line, line);
    assert_ne!(again.connection.number, number, "on the connection whose answer was broken");
    again
}

/// The drain that the broken answer may have carried is in the next answer, and is carried out.
fn assert_drain_arrives(broken: &[u8], end: End) {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let again = asked_again(&scene, |call| write_and_end(call, broken, end));
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

fn cut_off(broken: &[u8]) {
    BOTH.into_iter().for_each(|end| assert_drain_arrives(broken, end));
}

/// Guards against a drain that is delayed by the pause after a failed call, where the answer breaks off in
/// its status line.
#[test]
fn an_answer_cut_in_its_status_line_is_not_asked_for_late() {
    cut_off(b"HTTP/1.1 2");
}

/// Guards against the same delay where the answer breaks off in its headers.
#[test]
fn an_answer_cut_in_a_header_is_not_asked_for_late() {
    cut_off(&cut_after(with_length(&drain(2, "b")), "content-le"));
}

/// Guards against the same delay where the answer breaks off in a chunk size, which must not be read as a
/// smaller size.
#[test]
fn an_answer_cut_in_a_chunk_size_is_not_asked_for_late() {
    let body = drain(2, "b");
    assert!(body.len() > 0xf, "its size has more than one digit");
    let first_digit = &format!("{:x}", body.len())[..1];
    cut_off(&cut_after(in_chunks(&body), &format!("\r\n\r\n{first_digit}")));
}

/// Guards against the same delay where the answer breaks off in a chunk.
#[test]
fn an_answer_cut_in_a_chunk_is_not_asked_for_late() {
    cut_off(&cut_after(in_chunks(&drain(2, "b")), "\"hosts\":[{"));
}

/// Guards against the same delay where the list is complete and the last chunk is missing.
#[test]
fn an_answer_cut_before_its_last_chunk_is_not_asked_for_late() {
    let body = drain(2, "b");
    cut_off(&cut_after(in_chunks(&body), &format!("{body}\r\n")));
}

/// Guards against the same delay where fewer bytes arrive than the head stated.
#[test]
fn an_answer_short_of_its_length_is_not_asked_for_late() {
    let body = drain(2, "b");
    cut_off(&cut_after(with_length(&body), &body[..body.len() - 1]));
}

/// Guards against the same delay where the answer is complete and is not JSON.
#[test]
fn a_spoilt_answer_is_not_asked_for_late() {
    let body = drain(2, "b").replace("\"whole\":false", "\"whole\":fal\0e");
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let again = asked_again(&scene, |call| drop(call.answer(200, &body)));
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against calls without a pause to a discovery whose every answer breaks off: the second broken
/// answer in a row counts as a failure, and a complete answer resets the row.
#[test]
fn a_second_broken_answer_is_not_asked_for_without_a_pause() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let cut = cut_after(with_length(&drain(2, "b")), "\"hosts\":");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Fin));
    let broke = Instant::now();
    write_and_end(again, &cut, End::Rst);
    let after_pause = scene.next_call();
    assert!(broke.elapsed() >= RETRY_PAUSE, "requested again after {:?}", broke.elapsed());
    after_pause.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Rst));
    again.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
}

/// Guards against calls without a pause to a discovery that is down; the drain that it reports once it is
/// back is carried out.
fn asked_after_a_pause(fail: impl Fn(Exchange)) {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let call = scene.next_call();
    let (line, failed) = (call.line.clone(), Instant::now());
    fail(call);
    let again = scene.next_call();
    assert!(failed.elapsed() >= RETRY_PAUSE, "requested again after {:?}", failed.elapsed());
    assert_eq!(again.line, line);
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

#[test]
fn a_declined_call_is_not_made_again_without_a_pause() {
    asked_after_a_pause(|call| drop(call.answer(503, "")));
}

#[test]
fn a_call_reset_before_any_byte_is_not_made_again_without_a_pause() {
    asked_after_a_pause(|call| call.connection.reset());
}

#[test]
fn a_call_closed_before_any_byte_is_not_made_again_without_a_pause() {
    asked_after_a_pause(|mut call| call.connection.half_close());
}

/// Guards against calls without a pause where a discovery that is down follows a broken answer.
#[test]
fn a_call_declined_after_a_broken_answer_is_not_made_again_without_a_pause() {
    let scene = Scene::with_hosts(&["a", "b", "c"]);
    let cut = cut_after(with_length(&drain(2, "b")), "\"hosts\":");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Fin));
    let failed = Instant::now();
    again.answer(503, "");
    let after_pause = scene.next_call();
    assert!(failed.elapsed() >= RETRY_PAUSE, "requested again after {:?}", failed.elapsed());
    after_pause.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against a daemon that never finds a discovery which starts after it.
#[test]
fn a_discovery_that_refused_at_first_is_not_given_up() {
    let (relay, address) = (Relay::listening(), refusing_address());
    let daemon = Daemon::start_and_wait(&Configuration::new(relay.address(), address));
    daemon.wait_for_log_count("a call for the list failed", 2);
    let discovery = Peer::from_listener(TcpListener::bind(address).expect("the address is free"));
    discovery.request("GET /v1/servers?after=0&").answer(200, &list(7, true, &[]).to_string());
    discovery.request("GET /v1/servers");
}
