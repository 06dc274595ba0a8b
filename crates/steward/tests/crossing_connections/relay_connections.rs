//! The relay's connections: calls and watch lines, and the end of the connection that carries them.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::stand_in::{orders, take, Connection, Exchange, Relay, TEST_TIMEOUT};
use crate::{logged, ping, while_stopped, Site};

/// The maximum length of a message by the protocol's documentation.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The shortest pause before a call with an unknown result is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(400);

fn binds(order: &Value, proxy: u16) -> bool {
    order["op"] == "bind" && order["proxy"] == proxy
}

/// The next call that binds that proxy, unanswered; calls before it are accepted.
fn call_that_binds(relay: &Relay, proxy: u16) -> Exchange {
    relay.call_with(|order| binds(order, proxy))
}

/// Lets the next proxy join and accepts all calls until it is bound; fails if one of them binds the former
/// proxy once more.
fn bind_next_without_rebinding(site: &Site, former: u16, next: u16) -> Connection {
    site.watch.joined(next, "east", true);
    loop {
        let call = site.relay.call();
        let (bound, all) = (orders(&call).iter().any(|order| binds(order, next)), orders(&call));
        assert!(!all.iter().any(|order| binds(order, former)), "proxy {former} is bound once more: {all:?}");
        let connection = take(call);
        if bound {
            return connection;
        }
    }
}

/// Guards against losing an order, sending it twice, or counting it as unsure, because the relay closed an
/// idle connection, whether the daemon notices that before it has something to send or only then.
#[test]
fn a_call_on_a_connection_that_the_relay_closed_goes_on_a_new_one_once() {
    let site = Site::up();
    let mut idle = bind_next_without_rebinding(&site, 63, 0);
    for (former, next, known) in [(0, 1, true), (1, 2, false), (2, 3, true), (3, 4, false)] {
        let number = idle.number;
        if known {
            idle.half_close();
            assert_eq!(site.relay.peer.closed(number), 0);
            idle = bind_next_without_rebinding(&site, former, next);
        } else {
            while_stopped(&site.daemon, || {
                site.watch.joined(next, "east", true);
                idle.half_close();
            });
            idle = bind_next_without_rebinding(&site, former, next);
            assert_eq!(site.relay.peer.closed(number), 0, "it was written on the closed connection");
        }
        assert_ne!(idle.number, number);
    }
    bind_next_without_rebinding(&site, 4, 5);
    assert_eq!(site.daemon.counter("messages_again"), 0);
}

/// The bytes of answers that break off; `N` stands for the number of orders.
const TRUNCATED_ANSWERS: &[&str] = &[
    "",
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r\ncontent-le",
    "HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n{\"taken\":N}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n20\r\n{\"taken\":N}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nSIZE\r\n{\"taken\":N}\r\n",
];

/// Guards against counting orders as taken, or dropping them, because an answer began: the relay may or may
/// not have carried them out, so the call is repeated in whole, after the pause, on a new connection.
#[test]
fn an_answer_that_breaks_off_leaves_the_call_unsure_and_it_is_repeated() {
    let site = Site::up();
    let ways = TRUNCATED_ANSWERS.iter().flat_map(|answer| [(answer, false), (answer, true)]);
    for (proxy, (answer, resets)) in (0..).zip(ways) {
        let before = site.daemon.counter("calls_unsure");
        site.watch.joined(proxy, "east", true);
        let mut call = call_that_binds(&site.relay, proxy);
        let (first, number) = (orders(&call), call.connection.number);
        let body = format!("{{\"taken\":{}}}", first.len());
        let answer =
            answer.replace("SIZE", &format!("{:x}", body.len())).replace("N", &first.len().to_string());
        let begun = Instant::now();
        call.connection.write(answer.as_bytes());
        match resets {
            true => call.connection.reset(),
            false => call.connection.close(),
        }
        let repeat = site.relay.call();
        assert!(begun.elapsed() >= REPEAT_PAUSE, "{answer:?}: repeated after {:?}", begun.elapsed());
        assert_ne!(repeat.connection.number, number, "{answer:?}");
        assert_eq!(orders(&repeat)[..first.len()], first, "{answer:?}: it is repeated in whole and first");
        take(repeat);
        site.daemon.counter_reaches("calls_unsure", before + 1);
    }
    assert_eq!(ping(&mut site.daemon.dial()), "PONG\r\n");
}

/// Guards against repeating a call that was answered, where the answer arrives in single bytes.
#[test]
fn an_answer_in_single_bytes_is_an_answer() {
    let site = Site::up();
    site.watch.joined(0, "east", true);
    let mut call = call_that_binds(&site.relay, 0);
    let number = call.connection.number;
    let body = format!("{{\"taken\":{}}}", orders(&call).len());
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    for byte in answer.as_bytes() {
        call.connection.write(&[*byte]);
    }
    let next = bind_next_without_rebinding(&site, 0, 1);
    assert_eq!(next.number, number, "the connection is kept");
}

/// Guards against taking bytes that a relay writes beyond the stated length for the answer to the next
/// call, whether they arrive with the answer or while the connection is idle.
#[test]
fn bytes_beyond_an_answer_do_not_answer_the_next_call() {
    let site = Site::up();
    for (proxy, with_the_answer) in [(0, true), (2, false), (4, true), (6, false)] {
        site.watch.joined(proxy, "east", true);
        let call = call_that_binds(&site.relay, proxy);
        let body = format!("{{\"taken\":{}}}", orders(&call).len());
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"taken\":1}".repeat(2);
        let mut connection = call.connection;
        if with_the_answer {
            while_stopped(&site.daemon, || {
                site.watch.joined(proxy + 1, "east", true);
                connection.write(format!("{answer}{surplus}").as_bytes());
            });
        } else {
            connection.write(answer.as_bytes());
            while_stopped(&site.daemon, || {
                site.watch.joined(proxy + 1, "east", true);
                connection.write(surplus.as_bytes());
            });
        }
        // The call gets no answer of its own, so it has to be repeated, in whole.
        let unanswered = call_that_binds(&site.relay, proxy + 1);
        let first = orders(&unanswered);
        unanswered.connection.close();
        let repeat = site.relay.call();
        assert_eq!(orders(&repeat)[..first.len()], first, "something else was taken for its answer");
        take(repeat);
    }
    assert_eq!(site.daemon.counter("calls_refused"), 0);
}

/// Guards against a proxy without a table after the watch broke between its leaving and its joining again:
/// it is bound again whichever of these the daemon has received.
#[test]
fn a_watch_that_breaks_between_leaving_and_joining_binds_the_proxy_again() {
    for (leaving_received, fresh) in [(true, false), (false, false), (false, true)] {
        let site = Site::up();
        site.watch.joined(0, "east", true);
        take(call_that_binds(&site.relay, 0));
        let Site { daemon, relay, watch, discovery: _discovery } = site;
        if leaving_received {
            watch.left(0);
            daemon.counter_reaches("left", 1);
            watch.close();
        } else {
            while_stopped(&daemon, || {
                watch.left(0);
                watch.close();
            });
        }
        let again = relay.watch();
        again.joined(0, "east", fresh);
        take(call_that_binds(&relay, 0));
        assert_eq!(daemon.counter("left"), 1);
    }
}

/// Guards against using an incomplete line, or joining it to the first line of the next watch, where the
/// watch breaks within a line.
#[test]
fn a_watch_that_breaks_in_a_line_tells_nothing_of_it() {
    let line = r#"{"type":"SUBSCRIBE","object":{"proxy":1,"zone":"east","weight":20.0,"fresh":true}}"#;
    for end in [40, line.len()] {
        let site = Site::up();
        site.watch.joined(0, "east", true);
        take(call_that_binds(&site.relay, 0));
        let Site { daemon, relay, watch, discovery: _discovery } = site;
        let part = &line[..end];
        watch.stop_keepalives();
        watch.write(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
        watch.close();
        let again = relay.watch();
        assert_eq!(daemon.counter("joined"), 1, "half a line was used");
        again.joined(0, "east", false);
        again.joined(1, "east", true);
        take(call_that_binds(&relay, 1));
        assert_eq!(daemon.counter("news_skipped"), 0);
    }
}

/// A line of that many bytes that reports a joining proxy, without its line end, padded with an unknown
/// key.
fn joined_line_of(bytes: usize, proxy: u16) -> String {
    let start = format!(
        r#"{{"type":"SUBSCRIBE","object":{{"proxy":{proxy},"zone":"east","weight":20.0,"fresh":true}},"pad":""#
    );
    format!("{start}{}\"}}", "x".repeat(bytes - start.len() - 2))
}

/// Guards against quadratic cost of long lines: a line of nearly the maximum length, whose last quarter
/// arrives in chunks of one byte, is read within the time limit, and others are served meanwhile.
#[test]
fn a_news_line_of_nearly_a_mebibyte_in_single_bytes_holds_nobody_up() {
    let site = Site::up();
    let line = joined_line_of(MAX_MESSAGE_BYTES - 100, 0);
    let (start, rest) = line.split_at(line.len() / 4 * 3);
    let single = |byte: u8| [b'1', b'\r', b'\n', byte, b'\r', b'\n'];
    let mut chunks = format!("{:x}\r\n{start}\r\n", start.len()).into_bytes();
    chunks.extend(rest.bytes().chain([b'\n']).flat_map(single));
    let begun = Instant::now();
    std::thread::scope(|threads| {
        let writing = threads.spawn(|| site.watch.write(&chunks));
        while !writing.is_finished() {
            assert_eq!(ping(&mut site.daemon.dial()), "PONG\r\n");
            if begun.elapsed() > TEST_TIMEOUT {
                // Otherwise the writing thread would delay the end of the test.
                site.daemon.signal("-KILL");
                panic!("it is still being read");
            }
        }
    });
    take(call_that_binds(&site.relay, 0));
    assert!(begun.elapsed() < TEST_TIMEOUT, "{:?}", begun.elapsed());
    assert_eq!(site.daemon.counter("news_skipped"), 0);
}

/// Guards against a line without an end that fills the memory, and against having no watch after it: a line
/// over the maximum length ends the watch, and another is opened.
#[test]
fn a_news_line_over_a_mebibyte_ends_the_watch_and_another_is_dialled() {
    let Site { daemon, relay, mut watch, discovery: _discovery } = Site::up();
    for (proxy, ends) in [(0, true), (1, false)] {
        let line = joined_line_of(MAX_MESSAGE_BYTES + 200_000, 63);
        let text = if ends { format!("{line}\n") } else { line };
        watch.stop_keepalives();
        // Written in pieces: in one piece, the line end would arrive with the beginning.
        for piece in text.as_bytes().chunks(10_000) {
            let piece = std::str::from_utf8(piece).expect("text");
            watch.write(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes());
        }
        watch = relay.watch();
        watch.joined(proxy, "east", true);
        take(call_that_binds(&relay, proxy));
        assert_eq!(daemon.counter("joined"), u64::from(proxy) + 1, "a line that is too long was used");
    }
    assert!(logged(&daemon, "a line over 1 MiB") >= 1);
}
