//! Repeated calls, where answers are lost or late, connections close, and new orders arise meanwhile.

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use socket2::SockRef;

use crate::stand_in::{
    address, host, orders, refusing_address, take, Connection, Daemon, Exchange, Peer, Relay, RelayWatch,
};
use crate::{answer_taken_count, binds, bound, configuration, marks, reject_call, scene, scene_with, Scene};

/// Loses the answer to the first call; the call has to be repeated in whole and first, and counts as unsure
/// once.
fn assert_repeated_whole(lose: impl FnOnce(Exchange)) {
    let scene = scene();
    let first = scene.first_call();
    let (sent, number) = (orders(&first), first.connection.number);
    lose(first);
    let again = scene.call_beginning_with(&sent);
    assert_ne!(again.connection.number, number, "the connection of a lost answer is not used again");
    take(again);
    assert_eq!(scene.daemon.counter("calls_unsure"), 1);
    assert_eq!(scene.daemon.counter("calls_not_sent"), 0);
    scene.daemon.counter_reaches("messages_again", 1);
}

/// Guards against giving a call up, or counting it as carried out, where the relay reads it completely and
/// then resets the connection.
#[test]
fn a_call_that_was_read_and_reset_is_not_given_up() {
    assert_repeated_whole(|call| call.connection.reset());
}

/// Guards against the same where the relay closes the connection in order.
#[test]
fn a_call_that_was_read_and_closed_is_not_given_up() {
    assert_repeated_whole(|mut call| call.connection.half_close());
}

/// Guards against believing an incomplete answer that states how many orders were taken.
#[test]
fn an_answer_that_broke_off_is_not_believed() {
    assert_repeated_whole(|call| {
        let mut connection = call.connection;
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"taken\":9");
        connection.reset();
    });
}

/// Guards against waiting for ever for the end of an answer whose head arrived in time.
#[test]
fn an_answer_without_an_end_holds_no_call_up() {
    assert_repeated_whole(|call| {
        let mut connection = call.connection;
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n");
    });
}

/// Guards against taking an answer that arrives after the daemon abandoned its call for the answer to the
/// repeated call: the repeated call is refused, so its orders have to be sent once more.
#[test]
fn an_answer_that_is_late_for_the_call_does_not_answer_the_repeat() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    scene.relay.peer.closed(first.connection.number);
    take(first);
    answer_taken_count(scene.call_beginning_with(&sent), 0);
    take(scene.call_beginning_with(&sent));
}

/// Guards against the same where the late answer arrives while the repeated call is in progress: the
/// repeated call gets no answer, so it is sent once more.
#[test]
fn an_answer_that_comes_beside_the_repeat_does_not_answer_it() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let again = scene.call_beginning_with(&sent);
    assert_ne!(again.connection.number, first.connection.number);
    take(first);
    scene.relay.peer.closed(again.connection.number);
    take(scene.call_beginning_with(&sent));
    assert_eq!(scene.daemon.counter("calls_unsure"), 2);
}

/// Guards against losing the orders after a refused one, and against sending a refused order for ever.
#[test]
fn an_order_that_is_refused_does_not_take_along_what_follows_it() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let refused = sent.iter().position(binds(0)).expect("a bind");
    assert!(refused > 0 && refused + 1 < sent.len(), "orders on both sides of the bind: {sent:?}");
    answer_taken_count(first, refused);
    answer_taken_count(scene.call_beginning_with(&sent[refused..]), 0);
    take(scene.call_beginning_with(&sent[refused + 1..]));
    scene.daemon.counter_reaches("orders_skipped", 1);
    // The watch has not reported that the proxy left, so it is bound again, with another mark.
    let repeated = scene.relay.call_with(binds(0));
    assert_ne!(marks(&orders(&repeated)), marks(&sent));
    assert_eq!(scene.daemon.counter("orders_skipped"), 1);
}

/// Guards against giving an order up after only one refusal.
#[test]
fn an_order_that_is_refused_once_is_not_given_up() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    answer_taken_count(first, 1);
    take(scene.call_beginning_with(&sent[1..]));
    assert_eq!(bound(&scene.orders_until_bound(1)), [1], "what was taken does not go again");
    assert_eq!(scene.daemon.counter("orders_skipped"), 0);
}

/// Guards against sending accepted orders again, or losing the others, where the answer to the others is
/// lost.
#[test]
fn a_rest_whose_answer_is_lost_goes_again_alone() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    answer_taken_count(first, 1);
    scene.call_beginning_with(&sent[1..]).connection.reset();
    take(scene.call_beginning_with(&sent[1..]));
    assert_eq!(scene.daemon.counter("orders_skipped"), 0);
}

/// Guards against newer orders that overtake a repeated call: each attempt begins with all orders of the
/// attempt before it, however its answer was lost, and newer orders follow them.
#[test]
fn newer_orders_do_not_overtake_a_call_that_is_repeated() {
    let scene = scene();
    let mut call = scene.first_call();
    let mut proxies = vec![0];
    for attempt in 0.. {
        assert!(attempt < 12, "newer orders never came: {proxies:?}");
        let sent = orders(&call);
        if bound(&sent) == proxies {
            if proxies.len() == 4 {
                break;
            }
            let next = proxies.len() as u16;
            scene.watch.joined(next, "east", true);
            proxies.push(next);
        }
        match attempt % 3 {
            0 => call.connection.reset(),
            1 => call.connection.half_close(),
            _ => drop(call),
        }
        call = scene.call_beginning_with(&sent);
        assert!(proxies.starts_with(&bound(&orders(&call))), "{proxies:?}: {}", call.body);
    }
    take(call);
    assert_eq!(bound(&scene.orders_until_bound(9)), [9], "what was taken does not go again");
}

/// The times between the attempts of a call that nobody answers, by a daemon with that seed; each attempt
/// waits 50 ms for its answer.
fn between_attempts(seed: &str) -> Vec<Duration> {
    let scene = scene_with(|configuration| configuration.with("/seed", json!(seed)));
    drop(scene.first_call());
    let mut last = Instant::now();
    let mut attempt = || {
        drop(scene.relay.call());
        let now = Instant::now();
        now - std::mem::replace(&mut last, now)
    };
    (0..4).map(|_| attempt()).collect()
}

/// Guards against repeated calls without increasing pauses, or with ever longer ones, and against
/// controllers that lose a relay at the same time and retry in step.
#[test]
fn repeats_keep_their_pauses_and_are_not_in_step() {
    const ANSWER: Duration = Duration::from_millis(50);
    const BUSY_MACHINE: Duration = Duration::from_secs(1);
    let other = std::thread::spawn(|| between_attempts("602"));
    let rows = [between_attempts("8c1f30d27a5be964"), other.join().expect("its pauses")];
    for row in &rows {
        for (between, pause) in row.iter().zip([500, 1_000, 1_500, 1_500].map(Duration::from_millis)) {
            assert!(*between >= pause.mul_f64(0.8), "{rows:?}");
            assert!(*between <= pause + ANSWER + BUSY_MACHINE, "{rows:?}");
        }
    }
    let apart = rows[0].iter().zip(&rows[1]).map(|(one, other)| one.abs_diff(*other)).max();
    // With these seeds the fourth attempts are 295 ms apart.
    assert!(apart > Some(Duration::from_millis(150)), "in step: {rows:?}");
}

/// Closes a connection on which a call was answered, and waits until the daemon has seen that; the next
/// call is sent once, on another connection, and no failure is counted.
fn assert_sent_once_on_another_connection(close: impl FnOnce(Exchange)) {
    let scene = scene();
    let first = scene.first_call();
    let number = first.connection.number;
    close(first);
    scene.relay.peer.closed(number);
    scene.watch.joined(1, "east", true);
    let second = scene.relay.call();
    assert_eq!(bound(&orders(&second)), [1]);
    assert_ne!(second.connection.number, number);
    take(second);
    assert_eq!(bound(&scene.orders_until_bound(2)), [2], "it was sent twice");
    for counter in ["calls_unsure", "calls_not_sent", "messages_again"] {
        assert_eq!(scene.daemon.counter(counter), 0, "{counter}");
    }
}

/// Guards against a call that fails, or is sent twice, because its connection was closed while idle.
#[test]
fn a_connection_closed_while_idle_fails_no_call() {
    assert_sent_once_on_another_connection(|call| take(call).half_close());
}

/// Guards against the same where the connection is closed together with the answer.
#[test]
fn a_connection_closed_with_the_answer_fails_no_call() {
    assert_sent_once_on_another_connection(|call| {
        let body = json!({"taken": orders(&call).len()}).to_string();
        let mut connection = call.connection;
        let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write((head + &body).as_bytes());
        connection.half_close();
    });
}

/// Guards against repeating a call at once, as if it had not been carried out, where the relay read it on a
/// reused connection and then reset it: its result is unknown.
#[test]
fn a_kept_connection_closed_behind_a_call_does_not_count_as_idle() {
    let scene = scene();
    let number = take(scene.first_call()).number;
    scene.watch.joined(1, "east", true);
    let second = scene.relay.call();
    assert_eq!(second.connection.number, number, "the connection is kept");
    let (sent, arrived) = (orders(&second), Instant::now());
    second.connection.reset();
    let again = scene.call_beginning_with(&sent);
    // 0.8 times 500 ms, less an allowance for this machine's delays.
    assert!(arrived.elapsed() >= Duration::from_millis(350), "{:?}", arrived.elapsed());
    take(again);
    assert_eq!(scene.daemon.counter("calls_unsure"), 1);
    scene.daemon.counter_reaches("messages_again", 1);
}

/// Sets buffer sizes so that connections accepted from now on hold only a part of a call, or whole calls.
fn set_receive_buffer(listener: &TcpListener, bytes: usize, segment: u32) {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(bytes).expect("an option");
    // Small segments keep the sender's buffer small as well.
    socket.set_tcp_mss(segment).expect("an option");
}

/// Accepts a connection and reads the head of its request.
fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    // Reading frees buffer space for the sender, so nothing is read ahead.
    let mut stream = BufReader::with_capacity(64, listener.accept().expect("a connection").0);
    let mut line = String::new();
    while stream.read_line(&mut line).expect("a line") > 2 {
        line.clear();
    }
    stream
}

/// The relay reads a part of a call of 57 KB and ends it as given; the complete call is sent on another
/// connection.
fn assert_partly_sent_call_is_resent(end: impl FnOnce(BufReader<TcpStream>, &Daemon)) {
    let listener = TcpListener::bind((address::own(), 0)).expect("an address");
    set_receive_buffer(&listener, 2_304, 400);
    let at = refusing_address();
    let hosts: Vec<Value> = (0..160).map(|number| host(&format!("{number:0>300}"), at, "east")).collect();
    // One table contains all hosts.
    let configuration = configuration(listener.local_addr().expect("an address"))
        .with("/settings/familyInfo/bootstrap", json!(100_000))
        .with_known_hosts(1, &hosts);
    let daemon = Daemon::start_and_wait(&configuration);
    let mut watch = Connection::on(accept(&listener).into_inner(), 0);
    watch.begin_chunked();
    let watch = RelayWatch::new(watch);
    watch.joined(0, "east", true);
    let mut call = accept(&listener);
    set_receive_buffer(&listener, 1 << 20, 32_767);
    let relay = Relay { peer: Peer::from_listener(listener) };
    let mut part = [0; 100];
    call.read_exact(&mut part).expect("a part of the call");
    end(call, &daemon);
    let whole = relay.call();
    assert!(whole.body.as_bytes().starts_with(&part), "{}", &whole.body[..100]);
    assert_eq!(bound(&orders(&whole)), [0]);
    let lines = orders(&whole).iter().filter(|order| order["op"] == "share").count();
    assert_eq!(lines, hosts.len());
    take(whole);
    assert!(daemon.counter("calls_not_sent") >= 1);
    for counter in ["calls_unsure", "messages_again"] {
        assert_eq!(daemon.counter(counter), 0, "{counter}");
    }
}

/// Guards against counting a call as possibly carried out although the relay did not receive all of it.
#[test]
fn a_call_reset_half_way_does_not_count_as_unsure() {
    assert_partly_sent_call_is_resent(|call, _| {
        let stream = call.into_inner();
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    });
}

/// Guards against the same where the relay stops reading and sends nothing.
#[test]
fn a_call_that_is_not_read_to_its_end_does_not_count_as_unsure() {
    assert_partly_sent_call_is_resent(|call, daemon| {
        daemon.counter_reaches("calls_not_sent", 1);
        drop(call);
    });
}

/// Guards against losing an order, sending one twice, or closing the connection, where a relay is busy for
/// long.
#[test]
fn a_relay_that_is_busy_again_and_again_loses_no_order() {
    let scene = scene();
    let mut call = scene.first_call();
    let (number, mut sent) = (call.connection.number, orders(&call));
    for attempt in 1..=8 {
        if attempt == 4 {
            scene.watch.joined(1, "east", true);
        }
        reject_call(call, "BUSY");
        call = scene.call_beginning_with(&sent);
        sent = orders(&call);
        assert_eq!(call.connection.number, number, "the connection is kept");
    }
    take(call);
    assert_eq!(scene.daemon.counter("calls_busy"), 8);
    assert_eq!(scene.daemon.counter("messages_again"), 0, "a call that was turned back was not carried out");
    let later = scene.orders_until_bound(2);
    let all = [bound(&sent), bound(&later)].concat();
    assert_eq!(all, [0, 1, 2]);
}

/// Guards against repeating a call for ever that the relay rejects as malformed, and against losing its
/// orders without reporting that to the controller.
#[test]
fn a_call_that_is_no_call_twice_holds_nothing_up() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    reject_call(first, "SYNTAX");
    let again = scene.relay.call();
    assert_eq!(orders(&again), sent);
    reject_call(again, "SYNTAX");
    // The controller starts over: tables and binds are sent once more, with other marks.
    let repeated = orders(&scene.relay.call_with(binds(0)));
    assert!(repeated.iter().any(|order| order["op"] == "share"), "{repeated:?}");
    assert!(marks(&repeated).iter().all(|mark| !marks(&sent).contains(mark)), "{repeated:?}");
}

/// Guards against giving a call up after it was rejected as malformed only once.
#[test]
fn a_call_that_is_no_call_once_is_not_given_up() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    reject_call(first, "SYNTAX");
    take(scene.call_beginning_with(&sent));
    assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
    assert_eq!(scene.daemon.counter("orders_skipped"), 0);
}

/// Guards against orders that are lost, sent one by one, or out of order after the relay was down: what
/// waited is sent as one call in order.
#[test]
fn a_relay_that_was_down_gets_what_waited_in_one_call_and_in_order() {
    let Scene { mut relay, daemon, watch } = scene();
    watch.joined(0, "east", true);
    let mut kept = take(relay.call_with(binds(0)));
    let at = relay.address();
    relay.peer.refuse();
    kept.half_close();
    relay.peer.closed(kept.number);
    for proxy in 1..=3 {
        let replies = daemon.counter("replies");
        watch.joined(proxy, "east", true);
        daemon.counter_reaches("replies", replies + 1);
    }
    let failed = daemon.counter("calls_not_sent");
    daemon.counter_reaches("calls_not_sent", failed + 2);
    relay = Relay { peer: Peer::from_listener(TcpListener::bind(at).expect("its address")) };
    let call = relay.call();
    assert_eq!(bound(&orders(&call)), [1, 2, 3]);
    assert_eq!(marks(&orders(&call)).len(), 3, "all three replies: {}", call.body);
    take(call);
    for counter in ["calls_unsure", "messages_again"] {
        assert_eq!(daemon.counter(counter), 0, "{counter}");
    }
    watch.joined(4, "east", true);
    assert_eq!(bound(&orders(&relay.call())), [4], "what waited does not go again");
}
