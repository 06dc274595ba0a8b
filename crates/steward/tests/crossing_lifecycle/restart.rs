//! A start while the former process still runs, while signals arrive, and while discovery does not answer.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{
    address, list, orders, refusing_address, take, Client, Configuration, Daemon, Peer, Relay, TEST_TIMEOUT,
};
use crate::{
    assert_exits_cleanly, bound, closed, configuration, final_counter, serving, terminate_cleanly,
    while_stopped, with_bound_proxy, READY,
};

/// Makes opening a FIFO for writing fail until somebody has opened it for reading.
const O_NONBLOCK: i32 = 0o4_000;

/// A daemon that is reading its configuration from a FIFO, and the FIFO to write it to.
fn reading_its_configuration(configuration: &Configuration) -> (Daemon, File) {
    let daemon = Daemon::start_from(configuration, |path| {
        assert!(Command::new("mkfifo").arg(path).status().expect("a FIFO").success());
    });
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let opened = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(daemon.configuration());
        match opened {
            Ok(fifo) => return (daemon, fifo),
            Err(why) => assert!(Instant::now() < until, "nobody opened it for reading: {why}"),
        }
        std::thread::yield_now();
    }
}

/// Guards against a signal that kills a process which has not installed its handlers yet.
#[test]
fn a_sigterm_before_the_configuration_is_read_is_an_end_and_no_crash() {
    for signal in ["-TERM", "-INT"] {
        let configuration = configuration(refusing_address(), refusing_address());
        let (mut daemon, mut fifo) = reading_its_configuration(&configuration);
        daemon.signal(signal);
        // If the process has ended already, nobody reads this.
        let _ = fifo.write_all(configuration.text().as_bytes());
        drop(fifo);
        assert_exits_cleanly(&mut daemon);
    }
}

/// Guards against a reload signal that kills a starting process, or is forgotten.
#[test]
fn a_sighup_before_the_configuration_is_read_is_a_reload_after_the_start() {
    let (relay, first, second) = (Relay::listening(), Peer::listening(), Peer::listening());
    let configuration = configuration(relay.address(), first.address);
    let (mut daemon, mut fifo) = reading_its_configuration(&configuration);
    daemon.signal("-HUP");
    let moved = Configuration { discovery: second.address, ..configuration.clone() };
    daemon.rewrite(&moved.text());
    let _ = fifo.write_all(configuration.text().as_bytes());
    drop(fifo);
    daemon.wait_for_log(" started, ");
    daemon.wait_for_log("a new configuration");
    second.request("GET /v1/servers");
    terminate_cleanly(&mut daemon);
}

/// Guards against a restart that fails because the former process still listens at the address.
#[test]
fn a_process_whose_former_one_holds_the_address_is_ready_soon_after_its_end() {
    let discovery = Peer::listening();
    let (mut former, configuration, relay, _watch) = with_bound_proxy(&discovery);
    let new_relay = Relay::listening();
    let new = Daemon::start(&Configuration { relay: new_relay.address(), ..configuration });
    new.wait_for_log("is held by another process");
    // The former process is unaffected: it answers, and has lost neither its watch nor a proxy.
    former.ready();
    assert!(relay.peer.request_within("GET /watch", Duration::ZERO).is_none());
    assert_eq!(former.counter("left"), 0);
    let ended = Instant::now();
    terminate_cleanly(&mut former);
    let _new_watch = new_relay.watch();
    new.ready();
    println!("ready {:?} after the end of the former process", ended.elapsed());
    assert!(ended.elapsed() < Duration::from_secs(3), "{:?}", ended.elapsed());
}

/// Guards against a process that waits for its address and can't be ended.
#[test]
fn a_sigterm_while_another_process_holds_the_address_is_an_end_and_no_crash() {
    for signal in ["-TERM", "-INT"] {
        // Bound once and kept: a port that is released in between may be taken by another test.
        let held = TcpListener::bind((address::own(), 0)).expect("an address");
        let listen = held.local_addr().expect("its address");
        let configuration = Configuration { listen, ..configuration(refusing_address(), refusing_address()) };
        let mut daemon = Daemon::start(&configuration);
        daemon.wait_for_log("is held by another process");
        daemon.signal(signal);
        assert_exits_cleanly(&mut daemon);
    }
}

/// Guards against a reload that is lost, or ends the process, while it waits for its address.
#[test]
fn a_sighup_while_another_process_holds_the_address_is_a_reload_after_the_start() {
    let (relay, first, second) = (Relay::listening(), Peer::listening(), Peer::listening());
    let configuration = configuration(relay.address(), first.address);
    let held = TcpListener::bind(configuration.listen).expect("the address");
    let daemon = Daemon::start(&configuration);
    daemon.wait_for_log("is held by another process");
    daemon.rewrite(&Configuration { discovery: second.address, ..configuration }.text());
    daemon.signal("-HUP");
    drop(held);
    daemon.wait_for_log("a new configuration");
    second.request("GET /v1/servers");
}

/// Starts the daemon again at its address, and waits until it is ready.
fn ready_again(configuration: &Configuration, relay: &Relay) -> Daemon {
    let daemon = Daemon::start(configuration);
    let _watch = relay.watch();
    let took = daemon.ready();
    assert!(took < READY, "{took:?}");
    daemon
}

/// Guards against a start that fails because connections of the killed process are still open.
#[test]
fn a_kill_right_after_connections_were_taken_leaves_the_address_free() {
    let (daemon, configuration, relay, _watch) = with_bound_proxy(&Peer::listening());
    let mut clients: Vec<Client> = vec![daemon.dial()];
    daemon.counter_reaches("connections", 1);
    // This connection is accepted by the kernel only.
    daemon.signal("-STOP");
    clients.push(daemon.dial());
    drop(daemon);
    ready_again(&configuration, &relay);
    assert!(clients.iter_mut().all(|client| closed(client).is_empty()));
}

/// Guards against a start that repeats what the killed process had in progress, or is blocked by its calls.
#[test]
fn a_kill_right_after_a_call_was_written_leaves_the_address_free() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let configuration = configuration(relay.address(), discovery.address);
    let daemon = Daemon::start_and_wait(&configuration);
    let watch = relay.watch();
    watch.joined(0, "east", true);
    let call = relay.call();
    drop(daemon);
    assert_eq!(relay.peer.closed(call.connection.number), 0);
    ready_again(&configuration, &relay);
}

/// Guards against ignoring proxies that joined before there was a host to bind them to.
#[test]
fn proxies_that_join_before_the_first_list_are_bound_once_it_comes() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let configuration = Configuration::new(relay.address(), discovery.address)
        .with("/settings/policyLimits/mayProbe", json!(false));
    let daemon = Daemon::start_and_wait(&configuration);
    let asked = discovery.request("GET /v1/servers");
    let watch = relay.watch();
    watch.joined(0, "east", false);
    watch.joined(1, "east", true);
    daemon.counter_reaches("joined", 2);
    asked.answer(200, &list(8, true, &[serving("one")]).to_string());
    bound(&relay, &[0, 1], "one");
}

/// The number of the first mark in a call.
fn mark(orders: &[Value]) -> Option<u64> {
    orders.iter().find(|order| order["op"] == "mark")?["nonce_out"].as_u64()
}

/// The proxies that the orders bind.
fn binds(orders: &[Value]) -> Vec<u64> {
    orders.iter().filter(|order| order["op"] == "bind").filter_map(|order| order["proxy"].as_u64()).collect()
}

/// A channel so slow that its queue has room for the bind of one proxy only: the next bind waits for the
/// acknowledgement of a mark.
fn narrow_channel(relay: &Relay, discovery: &Peer, seed: &str) -> Configuration {
    configuration(relay.address(), discovery.address)
        .with("/seed", json!(seed))
        .with("/settings/familyInfo/egressPerS", json!(0.1))
        .with("/settings/familyInfo/backlog", json!(26.0))
}

/// Guards against acknowledgements for the former process that count for marks of this process with the
/// same numbers.
#[test]
fn answers_to_marks_of_the_former_process_change_nothing() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    // Both proxies join before the first of them is bound.
    let first_call = |configuration: &Configuration| {
        let daemon = Daemon::start_and_wait(configuration);
        let watch = relay.watch();
        while_stopped(&daemon, || {
            watch.joined(0, "east", true);
            watch.joined(1, "east", true);
        });
        let call = relay.call_with(|order| order["op"] == "bind");
        let all = orders(&call);
        take(call);
        (daemon, watch, all)
    };
    let configuration = narrow_channel(&relay, &discovery, "8c1f30d27a5be964");
    let (former, _watch, its_orders) = first_call(&configuration);
    drop(former);
    let configuration = narrow_channel(&relay, &discovery, "1d2e3f4051627384");
    let (daemon, watch, own_orders) = first_call(&configuration);
    let (foreign, own) = (mark(&its_orders).expect("a mark"), mark(&own_orders).expect("a mark"));
    assert_ne!(foreign, own);
    assert_eq!(binds(&own_orders).len(), 1, "{own_orders:?}");
    let bound = binds(&own_orders)[0] as u16;
    let calls = daemon.counter("calls");
    watch.applied(bound, foreign);
    daemon.counter_reaches("applied", 1);
    // Any order that resulted from that acknowledgement would have been sent by now.
    assert_eq!(daemon.counter("calls"), calls, "the queue counts as empty");
    assert!(relay.peer.request_within("POST /txn", Duration::ZERO).is_none());
    watch.applied(bound, own);
    take(relay.call_with(|order| order["op"] == "bind" && order["proxy"] == json!(1 - bound)));
}

/// Guards against a start that is ready only once it has the list.
#[test]
fn a_start_is_ready_whatever_discovery_says_and_withholds() {
    let ready_with = |how: &str, discovery: SocketAddr, then: &dyn Fn()| {
        let relay = Relay::listening();
        let daemon = Daemon::start(&configuration(relay.address(), discovery));
        let _watch = relay.watch();
        then();
        let took = daemon.ready();
        println!("ready {took:?} after its start beside a discovery that {how}");
        assert!(took < READY, "{how}: {took:?}");
        daemon
    };
    let silent = Peer::listening();
    drop(ready_with("accepts and says nothing", silent.address, &|| {
        silent.connected();
    }));
    drop(ready_with("refuses", refusing_address(), &|| {}));
    let errs = Peer::listening();
    let reject = || drop(errs.request("GET /v1/servers").answer(503, ""));
    drop(ready_with("answers 503", errs.address, &reject));
    // Half of the answer arrives before the daemon is ready, the rest afterwards.
    let slow = Peer::listening();
    let body = list(9, true, &[serving("one")]).to_string();
    let rest = std::cell::RefCell::new(None);
    let daemon = ready_with("is slow", slow.address, &|| {
        let mut asked = slow.request("GET /v1/servers");
        asked.connection.begin_chunked();
        asked.connection.chunk(&body[..body.len() / 2]);
        rest.replace(Some(asked.connection));
    });
    let mut connection = rest.take().expect("a connection");
    connection.chunk(&body[body.len() / 2..]);
    connection.write(b"0\r\n\r\n");
    daemon.wait_for_log("seq: 9");
}

/// Guards against long waits of some processes where many start at the same time beside one relay on one
/// machine.
#[test]
fn nine_in_ten_of_thirty_processes_that_start_at_once_are_ready_in_time() {
    const PROCESSES: usize = 30;
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let (at, lists) = (relay.address(), discovery.address);
    let starts = (0..PROCESSES).map(|_| {
        std::thread::spawn(move || {
            let daemon = Daemon::start(&configuration(at, lists));
            let took = daemon.ready();
            (daemon, took)
        })
    });
    let starts: Vec<_> = starts.collect();
    let _watches: Vec<_> = (0..PROCESSES).map(|_| relay.watch()).collect();
    let mut ready: Vec<_> = starts.into_iter().map(|start| start.join().expect("it is ready")).collect();
    ready.sort_by_key(|(_, took)| *took);
    println!("the slowest of {PROCESSES} processes was ready after {:?}", ready[PROCESSES - 1].1);
    assert!(ready[PROCESSES * 9 / 10 - 1].1 < READY, "{:?}", ready[PROCESSES * 9 / 10 - 1].1);
    let mut last = ready.pop().expect("thirty").0;
    terminate_cleanly(&mut last);
    assert_eq!(final_counter(&last, 0, "panics"), 0);
    assert!(TcpStream::connect(last.listen).is_err());
}
