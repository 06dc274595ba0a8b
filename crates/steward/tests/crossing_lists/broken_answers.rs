//! Discovery's answers that fail: cut off anywhere, spoilt, declined, or never begun. Whatever was cut off may have told
//! of a drain, whose time runs from then on.

use std::net::TcpListener;
use std::time::Instant;

use crate::scene::{drain, in_chunks, with_length, write_and_end, End, Scene, AT_ONCE, PAUSE};
use crate::stand_in::{list, nobody, Configuration, Daemon, Exchange, Peer, Relay};

const BOTH: [End; 2] = [End::Fin, End::Rst];

/// An answer of which nothing is missing, up to just behind the given part of it.
fn cut_behind(whole: Vec<u8>, part: &str) -> Vec<u8> {
    let place = whole.windows(part.len()).position(|window| window == part.as_bytes());
    whole[..place.expect("that part") + part.len()].to_vec()
}

/// Spoils the answer to a watch; gives the call that comes next, which has to come at once, on a new connection, from the
/// same version.
fn asked_again(scene: &Scene, spoil: impl FnOnce(Exchange)) -> Exchange {
    let call = scene.next_call();
    let (line, number) = (call.line.clone(), call.connection.number);
    spoil(call);
    let broke = Instant::now();
    let again = scene.next_call();
    assert!(broke.elapsed() < AT_ONCE, "asked again only after {:?}", broke.elapsed());
    assert_eq!(again.line, line);
    assert_ne!(again.connection.number, number, "on the connection whose answer was spoilt");
    again
}

/// The drain that a spoilt answer may have told is told by the next one, and is carried out.
fn a_drain_comes_through(spoilt: &[u8], end: End) {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let again = asked_again(&scene, |call| write_and_end(call, spoilt, end));
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

fn cut_off(spoilt: &[u8]) {
    BOTH.into_iter().for_each(|end| a_drain_comes_through(spoilt, end));
}

/// Guards against a drain that is late by a failure's pause: the answer broke off in its first line.
#[test]
fn an_answer_cut_in_its_status_line_is_not_asked_for_late() {
    cut_off(b"HTTP/1.1 2");
}

/// Guards against the same where the headers break off.
#[test]
fn an_answer_cut_in_a_header_is_not_asked_for_late() {
    cut_off(&cut_behind(with_length(&drain(2, "b")), "content-le"));
}

/// Guards against the same where the size of a chunk is not whole: it must not be read as a smaller size.
#[test]
fn an_answer_cut_in_a_chunk_size_is_not_asked_for_late() {
    let body = drain(2, "b");
    assert!(body.len() > 0xf, "its size has more than one digit");
    let first_digit = &format!("{:x}", body.len())[..1];
    cut_off(&cut_behind(in_chunks(&body), &format!("\r\n\r\n{first_digit}")));
}

/// Guards against the same where a chunk is not whole.
#[test]
fn an_answer_cut_in_a_chunk_is_not_asked_for_late() {
    cut_off(&cut_behind(in_chunks(&drain(2, "b")), "\"hosts\":[{"));
}

/// Guards against the same where all of the list has come, and not the last chunk behind it.
#[test]
fn an_answer_cut_before_its_last_chunk_is_not_asked_for_late() {
    let body = drain(2, "b");
    cut_off(&cut_behind(in_chunks(&body), &format!("{body}\r\n")));
}

/// Guards against the same where fewer bytes come than the head stated.
#[test]
fn an_answer_short_of_its_length_is_not_asked_for_late() {
    let body = drain(2, "b");
    cut_off(&cut_behind(with_length(&body), &body[..body.len() - 1]));
}

/// Guards against the same where the answer is whole and is no JSON.
#[test]
fn a_spoilt_answer_is_not_asked_for_late() {
    let body = drain(2, "b").replace("\"whole\":false", "\"whole\":fal\0e");
    let scene = Scene::knowing(&["a", "b", "c"]);
    let again = asked_again(&scene, |call| drop(call.answer(200, &body)));
    again.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against a discovery that breaks every answer and is asked without a pause: the second failure in a row counts
/// as one, and a whole answer ends the row.
#[test]
fn a_second_broken_answer_is_not_asked_for_without_a_pause() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let cut = cut_behind(with_length(&drain(2, "b")), "\"hosts\":");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Fin));
    let broke = Instant::now();
    write_and_end(again, &cut, End::Rst);
    let after_pause = scene.next_call();
    assert!(broke.elapsed() >= PAUSE, "asked again after {:?}", broke.elapsed());
    after_pause.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Rst));
    again.answer(200, &drain(3, "c"));
    scene.orders.withdrawn("c");
}

/// Guards against a discovery that is down and is asked again and again without a pause; the drain that it tells of once
/// it is back is carried out.
fn asked_after_a_pause(fail: impl Fn(Exchange)) {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let call = scene.next_call();
    let (line, failed) = (call.line.clone(), Instant::now());
    fail(call);
    let again = scene.next_call();
    assert!(failed.elapsed() >= PAUSE, "asked again after {:?}", failed.elapsed());
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
    asked_after_a_pause(|mut call| call.connection.finish());
}

/// Guards against a broken answer that is followed by a discovery that is down, taken for a reason to ask on without a
/// pause.
#[test]
fn a_call_declined_after_a_broken_answer_is_not_made_again_without_a_pause() {
    let scene = Scene::knowing(&["a", "b", "c"]);
    let cut = cut_behind(with_length(&drain(2, "b")), "\"hosts\":");
    let again = asked_again(&scene, |call| write_and_end(call, &cut, End::Fin));
    let failed = Instant::now();
    again.answer(503, "");
    let after_pause = scene.next_call();
    assert!(failed.elapsed() >= PAUSE, "asked again after {:?}", failed.elapsed());
    after_pause.answer(200, &drain(2, "b"));
    scene.orders.withdrawn("b");
}

/// Guards against a daemon that never finds a discovery which comes up after it.
#[test]
fn a_discovery_that_refused_at_first_is_not_given_up() {
    let (relay, address) = (Relay::listening(), nobody());
    let daemon = Daemon::up(&Configuration::new(relay.address(), address));
    daemon.says_times("a call for the list failed", 2);
    let discovery = Peer::on(TcpListener::bind(address).expect("the address is free"));
    discovery.request("GET /v1/servers?after=0&").answer(200, &list(7, true, &[]).to_string());
    discovery.request("GET /v1/servers");
}
