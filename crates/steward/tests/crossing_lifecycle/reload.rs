//! SIGHUP while lists, calls and watch lines are in progress.

use std::net::TcpListener;
use std::time::Instant;

use serde_json::{json, Value};

use crate::stand_in::{
    list, orders, refusing_address, take, Configuration, Connection, Daemon, Exchange, Peer, Relay,
    RelayWatch,
};
use crate::{closed, configuration, serving, terminating, while_stopped, with_bound_proxy, withdrawn};

/// Answers a list watch with the drain of that host.
fn drain(exchange: Exchange, seq: u64, host: &str) -> Connection {
    exchange.answer(200, &list(seq, false, &[terminating(host)]).to_string())
}

fn reload(daemon: &Daemon, configuration: &Configuration) {
    daemon.rewrite(&configuration.text());
    daemon.signal("-HUP");
}

fn moved(configuration: &Configuration, discovery: &Peer) -> Configuration {
    Configuration { discovery: discovery.address, ..configuration.clone() }
}

/// Reports a proxy as part of the watch's initial state, before any keepalive.
fn report_connected(watch: &mut Connection, proxy: u16) {
    let object = json!({"proxy": proxy, "zone": "east", "weight": 20.0, "fresh": false});
    watch.chunk(&format!("{}\n", json!({"type": "SUBSCRIBE", "object": object})));
}

fn listening_at(address: std::net::SocketAddr) -> Peer {
    Peer::from_listener(TcpListener::bind(address).expect("the address is free"))
}

/// Guards against requesting the list from a new discovery late, ignoring its first answer, or keeping a
/// watch on the old one open.
#[test]
fn a_drain_that_the_new_discovery_tells_at_once_is_carried_out() {
    let (old, new) = (Peer::listening(), Peer::listening());
    let (daemon, configuration, relay, _watch) = with_bound_proxy(&old);
    let asked = old.request("GET /v1/servers?after=7&");
    reload(&daemon, &moved(&configuration, &new));
    drain(new.request("GET /v1/servers?after=7&"), 8, "one");
    withdrawn(&relay, "one");
    assert_eq!(old.closed(asked.connection.number), 0);
    new.request("GET /v1/servers?after=8&");
}

/// Runs two reloads of a daemon, each by a call, in one of the possible timings.
type TwoReloads = fn(&Daemon, &dyn Fn(), &dyn Fn());

/// Guards against a reload that is lost, or undone by the one before it, where two follow in quick
/// succession.
#[test]
fn the_last_of_two_reloads_holds() {
    let both: [TwoReloads; 3] = [
        |_, first, second| {
            first();
            second();
        },
        |daemon, first, second| {
            first();
            daemon.wait_for_log("a new configuration");
            second();
        },
        |daemon, first, second| {
            while_stopped(daemon, || {
                first();
                second();
            })
        },
    ];
    for how in both {
        let (old, first, last) = (Peer::listening(), Peer::listening(), Peer::listening());
        let (daemon, configuration, relay, _watch) = with_bound_proxy(&old);
        let asked = old.request("GET /v1/servers?after=7&");
        let to = |discovery: &Peer| reload(&daemon, &moved(&configuration, discovery));
        how(&daemon, &|| to(&first), &|| to(&last));
        drain(last.request("GET /v1/servers?after=7&"), 8, "one");
        withdrawn(&relay, "one");
        assert_eq!(old.closed(asked.connection.number), 0);
        // If the daemon connected to the discovery in between at all, that connection is closed.
        if let Some(asked) = first.request_within("GET", std::time::Duration::ZERO) {
            first.closed(asked.connection.number);
        }
        last.request("GET /v1/servers?after=8&");
    }
}

/// Guards against an invalid file that ends the process, changes an address, or floods the log.
#[test]
fn a_file_that_can_not_be_used_leaves_the_old_one_in_force() {
    let discovery = Peer::listening();
    let (daemon, configuration, relay, watch) = with_bound_proxy(&discovery);
    let asked = discovery.request("GET /v1/servers?after=7&");
    let text = moved(&configuration, &Peer::listening()).text();
    let mut lacking: Value = serde_json::from_str(&text).expect("JSON");
    lacking["settings"]["rules"].as_object_mut().expect("rules").remove("askWithin");
    let invalid = [None, Some(&text[..text.len() / 2]), Some("")];
    let lacking = lacking.to_string();
    for (place, text) in invalid.into_iter().chain([Some(&*lacking)]).enumerate() {
        match text {
            Some(text) => daemon.rewrite(text),
            None => std::fs::remove_file(daemon.configuration()).expect("a file"),
        }
        daemon.signal("-HUP");
        daemon.wait_for_log_count("the new configuration can't be used, the old stays", place + 1);
        assert_eq!(daemon.counter("reloads_failed"), place as u64 + 1);
        let lines = daemon.log().into_iter().filter(|line| line.contains("the new configuration"));
        assert_eq!(lines.count(), place + 1);
    }
    assert_eq!(daemon.counter("reloads"), 0);
    // The former connections are still in use.
    drain(asked, 8, "one");
    withdrawn(&relay, "one");
    watch.joined(1, "east", true);
    accept_until_bound(&relay, 1);
}

/// Accepts calls until that proxy is bound; its table was filled before.
fn accept_until_bound(relay: &Relay, proxy: u16) -> Vec<Value> {
    let call = relay.call_with(|order| order["op"] == "bind" && order["proxy"] == json!(proxy));
    let all = orders(&call);
    take(call);
    all
}

/// Guards against losing orders, or sending later ones first, when the relay that they were written to is
/// replaced.
#[test]
fn a_call_that_is_open_when_the_relay_moves_is_repeated_at_the_new_one() {
    let discovery = Peer::listening();
    let (old, new) = (Relay::listening(), Relay::listening());
    let configuration = configuration(old.address(), discovery.address);
    let daemon = Daemon::start_and_wait(&configuration);
    let watch = old.watch();
    watch.joined(0, "east", true);
    let open = old.call();
    reload(&daemon, &Configuration { relay: new.address(), ..configuration });
    daemon.wait_for_log("a new configuration");
    let new_watch = new.watch();
    new_watch.joined(0, "east", false);
    let again = new.call();
    assert!(orders(&again).starts_with(&orders(&open)), "{} after {}", again.body, open.body);
    take(again);
    assert_eq!(old.peer.closed(open.connection.number), 0);
    old.peer.closed(watch.number);
}

/// Guards against losing watch events between two relays, and against counting proxies as left because the
/// watch moved.
#[test]
fn the_watch_on_the_old_relay_is_heard_until_the_new_one_stands() {
    let (daemon, configuration, old, watch) = with_bound_proxy(&Peer::listening());
    let new = Relay::listening();
    reload(&daemon, &Configuration { relay: new.address(), ..configuration });
    // The new relay is connected and has not answered: the old one's watch is in force, and orders go
    // to the new one.
    let mut dialled = new.peer.request("GET /watch");
    watch.joined(1, "east", true);
    accept_until_bound(&new, 1);
    dialled.connection.begin_chunked();
    for proxy in [0, 1] {
        let joined = json!({"type": "SUBSCRIBE", "object": {"proxy": proxy, "zone": "east", "weight": 20.0, "fresh": false}});
        dialled.connection.chunk(&format!("{joined}\n"));
    }
    old.peer.closed(watch.number);
    dialled.connection.chunk("{}\n");
    dialled.connection.chunk(
        "{\"type\":\"SUBSCRIBE\",\"object\":{\"proxy\":2,\"zone\":\"east\",\"weight\":20.0,\"fresh\":true}}\n",
    );
    accept_until_bound(&new, 2);
    assert_eq!(daemon.counter("left"), 0);
}

/// Guards against staying with a relay that was configured for a moment and never answers.
#[test]
fn a_relay_that_is_named_for_a_moment_and_is_silent_keeps_nobody_from_the_last() {
    let (daemon, configuration, old, watch) = with_bound_proxy(&Peer::listening());
    let (silent, last) = (Relay::listening(), Relay::listening());
    reload(&daemon, &Configuration { relay: silent.address(), ..configuration.clone() });
    let dialled = silent.peer.request("GET /watch");
    reload(&daemon, &Configuration { relay: last.address(), ..configuration });
    daemon.wait_for_log_count("a new configuration", 2);
    let configured = Instant::now();
    // Until then the watch of the first relay is in force, and orders go to the last.
    watch.joined(1, "east", true);
    accept_until_bound(&last, 1);
    let last_watch = last.watch();
    println!("the last relay's watch was requested {:?} after it was configured", configured.elapsed());
    last_watch.joined(2, "east", true);
    accept_until_bound(&last, 2);
    old.peer.closed(watch.number);
    silent.peer.closed(dialled.connection.number);
}

/// Guards against waiting for the old relay's watch, which has broken, before the new one's is used.
#[test]
fn the_news_of_the_new_relay_is_taken_where_the_old_one_breaks_meanwhile() {
    let (daemon, configuration, _old, watch) = with_bound_proxy(&Peer::listening());
    let new = Relay::listening();
    reload(&daemon, &Configuration { relay: new.address(), ..configuration });
    let mut dialled = new.peer.request("GET /watch");
    watch.reset();
    dialled.connection.begin_chunked();
    report_connected(&mut dialled.connection, 1);
    accept_until_bound(&new, 1);
}

/// Guards against losing an answer because discovery moved before it was read: discovery counts it as
/// delivered, and the new address may never repeat it.
#[test]
fn an_answer_that_was_written_before_discovery_moved_is_heard() {
    let (old, new) = (Peer::listening(), Peer::listening());
    let (daemon, configuration, relay, _watch) = with_bound_proxy(&old);
    let asked = old.request("GET /v1/servers?after=7&");
    let number = asked.connection.number;
    while_stopped(&daemon, || {
        drain(asked, 8, "one");
        reload(&daemon, &moved(&configuration, &new));
    });
    withdrawn(&relay, "one");
    assert_eq!(old.closed(number), 0);
    // What was received is not requested again.
    new.request("GET /v1/servers?after=8&");
    assert_eq!(daemon.counter("list_answers"), 1);
}

/// Guards against using the old discovery beside the new one, and applying a change twice.
#[test]
fn an_answer_that_the_old_discovery_writes_after_the_move_is_not_heard() {
    let (old, new) = (Peer::listening(), Peer::listening());
    let (daemon, configuration, relay, _watch) = with_bound_proxy(&old);
    let asked = old.request("GET /v1/servers?after=7&");
    let number = asked.connection.number;
    reload(&daemon, &moved(&configuration, &new));
    let asked_new = new.request("GET /v1/servers?after=7&");
    assert_eq!(old.closed(number), 0);
    drain(asked, 9, "two");
    drain(asked_new, 8, "one");
    withdrawn(&relay, "one");
    new.request("GET /v1/servers?after=8&");
    assert_eq!(daemon.counter("list_answers"), 1);
}

/// Guards against using an incomplete answer, or its version, because discovery moved before the rest
/// arrived.
#[test]
fn half_an_answer_of_the_old_discovery_is_asked_for_at_the_new_one() {
    let (old, new) = (Peer::listening(), Peer::listening());
    let (daemon, configuration, relay, _watch) = with_bound_proxy(&old);
    let mut asked = old.request("GET /v1/servers?after=7&");
    let body = list(8, false, &[terminating("one")]).to_string();
    asked.connection.begin_chunked();
    asked.connection.chunk(&body[..body.len() / 2]);
    // What arrived before this signal was available when the daemon polled its connections.
    daemon.counter("list_asks");
    reload(&daemon, &moved(&configuration, &new));
    let asked_new = new.request("GET /v1/servers?after=7&");
    assert_eq!(old.closed(asked.connection.number), 0);
    drain(asked_new, 8, "one");
    withdrawn(&relay, "one");
}

/// Guards against discarding the list because the new discovery is down, and against not requesting it
/// again.
#[test]
fn the_old_list_stands_while_the_new_discovery_is_dead() {
    let old = Peer::listening();
    let (daemon, configuration, relay, watch) = with_bound_proxy(&old);
    old.request("GET /v1/servers?after=7&");
    let dead = refusing_address();
    reload(&daemon, &Configuration { discovery: dead, ..configuration });
    daemon.wait_for_log_count("a call for the list failed", 2);
    watch.joined(1, "east", true);
    accept_until_bound(&relay, 1);
    let new = listening_at(dead);
    drain(new.request("GET /v1/servers?after=7&"), 8, "one");
    withdrawn(&relay, "one");
}

/// Guards against missing watch events and losing orders while the new relay is down.
#[test]
fn orders_wait_and_the_old_news_is_heard_while_the_new_relay_is_dead() {
    let (daemon, configuration, old, watch) = with_bound_proxy(&Peer::listening());
    let dead = refusing_address();
    reload(&daemon, &Configuration { relay: dead, ..configuration });
    daemon.wait_for_log("no news yet");
    watch.joined(1, "east", true);
    daemon.wait_for_log("how: not sent");
    let new = Relay { peer: listening_at(dead) };
    accept_until_bound(&new, 1);
    let new_watch: RelayWatch = new.watch();
    new_watch.joined(0, "east", false);
    new_watch.joined(1, "east", false);
    old.peer.closed(watch.number);
    new_watch.joined(2, "east", true);
    accept_until_bound(&new, 2);
}

/// Guards against a reload that applies a part of another deployment: names that reports, lists and orders
/// use.
#[test]
fn a_reload_takes_over_the_two_addresses_alone() {
    let (old, new) = (Peer::listening(), Peer::listening());
    let (daemon, configuration, relay, watch) = with_bound_proxy(&old);
    let mut other = moved(&configuration, &new)
        .with("/name", json!("another"))
        .with("/settings/dcs", json!(["north", "south"]))
        .with("/settings/kinds", json!(["other"]))
        .with("/settings/classes/0/name", json!("browse"))
        .with("/settings/classes/1/name", json!("buy"))
        .with("/settings/familyInfo/agents", json!(1))
        .with("/settings/rules/askWithin", json!(4_000_000_000_u64))
        .with("/known", list(90, true, &[]));
    other.listen = refusing_address();
    reload(&daemon, &other);
    // The version of the list and the wait time are those of the old file.
    let asked = new.request("GET /v1/servers?after=7&wait_ms=5000");
    let mut collector = daemon.dial();
    collector.write(b"SOURCE zone=east\r\nRATE proxy=0 class=look tries=19 failed=0 span_ms=1000.0\r\n");
    daemon.counter_reaches("lines_taken", 1);
    let mut unidentified = daemon.dial();
    unidentified.write(b"SOURCE zone=north\r\n");
    assert_eq!(closed(&mut unidentified), "NACK\r\n");
    asked.answer(200, &list(8, false, &[serving("three")]).to_string());
    watch.joined(1, "east", true);
    let orders = accept_until_bound(&relay, 1);
    assert!(!orders.iter().any(|order| order.to_string().contains("browse")), "{orders:?}");
    assert_eq!(daemon.counter("lines_skipped"), 0);
    assert_eq!(daemon.counter("news_skipped"), 0);
    assert_eq!(daemon.counter("list_skipped"), 0);
    assert!(std::net::TcpStream::connect(other.listen).is_err());
}
