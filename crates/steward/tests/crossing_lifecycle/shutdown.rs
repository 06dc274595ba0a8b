//! SIGTERM while other events are in progress.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::stand_in::{
    address, host, list, refusing_address, take, Client, Configuration, Connection, Daemon, Peer, Relay,
    RelayWatch, TEST_TIMEOUT,
};
use crate::{
    assert_exits_cleanly, closed, configuration, final_counter, serving, terminate_cleanly, while_stopped,
    with_bound_proxy,
};

/// Reads the watch request on that connection, and writes the head of its answer.
fn watch_on(mut stream: TcpStream) -> RelayWatch {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        head.extend(byte);
    }
    let mut connection = Connection::on(stream, 0);
    connection.begin_chunked();
    RelayWatch::new(connection)
}

/// Guards against a shutdown that waits for an answer.
#[test]
fn a_call_that_was_written_and_is_unanswered_holds_no_end_up() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let mut daemon = Daemon::start_and_wait(&configuration(relay.address(), discovery.address));
    let watch = relay.watch();
    watch.joined(0, "east", true);
    let call = relay.call();
    terminate_cleanly(&mut daemon);
    assert_eq!(relay.peer.closed(call.connection.number), 0);
}

/// Guards against a shutdown that first reads what has arrived, or repeats a call that was answered.
#[test]
fn a_call_that_was_answered_and_is_unread_holds_no_end_up() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let mut daemon = Daemon::start_and_wait(&configuration(relay.address(), discovery.address));
    let watch = relay.watch();
    watch.joined(0, "east", true);
    let call = relay.call();
    let number = call.connection.number;
    while_stopped(&daemon, || {
        take(call);
        daemon.signal("-TERM");
    });
    assert_exits_cleanly(&mut daemon);
    assert_eq!(relay.peer.closed(number), 0);
}

/// Guards against a shutdown that retries until the relay accepts the call.
#[test]
fn a_call_that_the_relay_refuses_to_connect_for_holds_no_end_up() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let mut daemon = Daemon::start_and_wait(&configuration(relay.address(), discovery.address));
    let watch = relay.watch();
    relay.peer.refuse();
    watch.joined(0, "east", true);
    daemon.wait_for_log("how: not sent");
    terminate_cleanly(&mut daemon);
    assert_eq!(final_counter(&daemon, 0, "calls_unsure"), 0);
}

/// Guards against a shutdown that waits until a connection is established.
#[test]
fn a_call_that_the_relay_takes_no_connection_for_holds_no_end_up() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((address::own(), 0)).into()).expect("an address");
    socket.listen(0).expect("it listens");
    let listening = TcpListener::from(socket);
    let at = listening.local_addr().expect("an address");
    let mut daemon = Daemon::start_and_wait(&configuration(at, Peer::listening().address));
    let watch = watch_on(listening.accept().expect("a watch").0);
    // This connection is never accepted, so the listener's queue has no room for another.
    let _waiting = TcpStream::connect(at).expect("room for one");
    watch.joined(0, "east", true);
    daemon.wait_for_log("the connection did not come up");
    terminate_cleanly(&mut daemon);
    assert_eq!(final_counter(&daemon, 0, "calls_unsure"), 0);
}

/// A relay with an open watch that reports one joined proxy. It reads no call, and its window and segments
/// are so small that a long call does not fit into the kernel buffers of both sides, so the daemon can't
/// write all of it. The connections that carry calls are sent to the channel.
fn narrow_relay() -> (SocketAddr, Receiver<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(1).expect("an option");
    socket.set_tcp_mss(88).expect("an option");
    socket.bind(&SocketAddr::from((address::own(), 0)).into()).expect("an address");
    socket.listen(64).expect("it listens");
    let listening = TcpListener::from(socket);
    let at = listening.local_addr().expect("an address");
    let (sender, calls) = channel();
    std::thread::spawn(move || {
        let mut watches = Vec::new();
        for stream in listening.incoming().flatten() {
            let mut first = [0; 4];
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
            while matches!(stream.peek(&mut first), Ok(1..4)) {
                std::thread::yield_now();
            }
            if &first == b"GET " {
                let watch = watch_on(stream);
                watch.joined(0, "east", true);
                watches.push(watch);
            } else if sender.send(stream).is_err() {
                return;
            }
        }
    });
    (at, calls)
}

/// The length that the head of a request states, and how much of its body arrived before the end of the
/// connection.
fn stated_and_received(mut stream: TcpStream) -> (usize, usize) {
    let mut came = Vec::new();
    let _ = stream.read_to_end(&mut came);
    let head = came.windows(4).position(|four| four == b"\r\n\r\n").map_or(came.len(), |at| at + 4);
    let text = String::from_utf8_lossy(&came[..head]).to_ascii_lowercase();
    let length = text.split("content-length:").nth(1).and_then(|rest| rest.lines().next());
    let stated = length.and_then(|length| length.trim().parse().ok());
    (stated.expect("a length"), came.len() - head)
}

/// Guards against a shutdown that keeps writing until the relay reads, and against closing an incomplete
/// call as if it were complete.
#[test]
fn a_call_that_is_half_written_holds_no_end_up_and_never_becomes_whole() {
    let (at, calls) = narrow_relay();
    let hosts: Vec<Value> =
        (0..12).map(|place| host(&format!("{place:08000}"), refusing_address(), "east")).collect();
    let configuration = configuration(at, Peer::listening().address).with_known_hosts(7, &hosts);
    let mut daemon = Daemon::start_and_wait(&configuration);
    let first = calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    terminate_cleanly(&mut daemon);
    for call in std::iter::once(first).chain(calls.try_iter()) {
        let (stated, came) = stated_and_received(call);
        assert!(stated > 30_000, "the call is small, {stated}");
        assert!(came < stated, "all {came} of {stated} bytes came");
    }
}

/// Guards against accepting an incomplete line when its connection ends with the process.
#[test]
fn half_a_line_of_a_collector_holds_no_end_up_and_is_not_taken() {
    let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
    let mut collector = daemon.dial();
    collector.write(b"SOURCE zone=east\r\nRATE proxy=0 class=look tries=19 failed=0 span_ms=10");
    // The incomplete line arrived together with the line that identified the collector.
    daemon.counter_reaches("connections_joined", 1);
    let asked = daemon.log().iter().filter(|line| line.contains("counters: ")).count();
    terminate_cleanly(&mut daemon);
    assert_eq!(closed(&mut collector), "");
    assert_eq!(final_counter(&daemon, asked, "lines_taken"), 0);
    assert_eq!(final_counter(&daemon, asked, "lines_skipped"), 0);
}

/// Guards against an incomplete answer, and against a shutdown that waits for the client.
#[test]
fn a_ping_in_the_instant_of_the_end_is_answered_whole_or_not_at_all() {
    for ping_first in [true, false] {
        let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
        let mut client = daemon.dial();
        client.write(b"PING\r\n");
        assert_eq!(client.line().as_deref(), Some("PONG\r\n"));
        while_stopped(&daemon, || {
            if ping_first {
                client.write(b"PING\r\n");
            }
            daemon.signal("-TERM");
            if !ping_first {
                client.write(b"PING\r\n");
            }
        });
        assert_exits_cleanly(&mut daemon);
        let received = closed(&mut client);
        assert!(received.is_empty() || received == "PONG\r\n", "{received:?}");
    }
}

/// Guards against connections that hang because the process ended before it accepted them.
#[test]
fn connections_that_were_not_taken_yet_end_with_the_program() {
    let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
    let mut clients: Vec<Client> = Vec::new();
    while_stopped(&daemon, || {
        clients = (0..100).map(|_| daemon.dial()).collect();
        clients.iter_mut().for_each(|client| client.write(b"SOURCE zone=east\r\n"));
        daemon.signal("-TERM");
    });
    assert_exits_cleanly(&mut daemon);
    assert!(clients.iter_mut().all(|client| closed(client).is_empty()));
}

/// Guards against a start that can't be ended before it is complete, and against a `PONG` from a process
/// that never was ready.
#[test]
fn a_first_list_and_a_watch_that_do_not_come_hold_no_end_up() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let mut daemon = Daemon::start_and_wait(&Configuration::new(relay.address(), discovery.address));
    let watch = relay.peer.request("GET /watch");
    let asked = discovery.request("GET /v1/servers");
    let mut client = daemon.dial();
    client.write(b"PING\r\n");
    daemon.counter_reaches("pings", 1);
    terminate_cleanly(&mut daemon);
    assert_eq!(closed(&mut client), "");
    assert_eq!(relay.peer.closed(watch.connection.number), 0);
    assert_eq!(discovery.closed(asked.connection.number), 0);
}

/// Guards against using an incomplete list when the process ends.
#[test]
fn half_an_answer_of_discovery_holds_no_end_up_and_is_not_taken() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let mut daemon = Daemon::start_and_wait(&Configuration::new(relay.address(), discovery.address));
    let mut asked = discovery.request("GET /v1/servers");
    let body = list(9, true, &[serving("one")]).to_string();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    asked.connection.write((head + &body[..body.len() / 2]).as_bytes());
    // What arrived before this signal was available when the daemon polled its connections.
    daemon.counter("list_asks");
    terminate_cleanly(&mut daemon);
    assert_eq!(discovery.closed(asked.connection.number), 0);
    assert_eq!(final_counter(&daemon, 1, "list_answers"), 0);
}

/// Sends two signals in one of the possible timings.
type SignalOrder = fn(&Daemon, &dyn Fn(&Daemon, &str, &str));

/// Guards against a reload that blocks the shutdown, and against a SIGHUP during shutdown that kills the
/// process.
#[test]
fn a_reload_beside_the_end_does_not_change_it() {
    let both = |daemon: &Daemon, first: &str, second: &str| {
        daemon.signal(first);
        daemon.signal(second);
    };
    let each: [SignalOrder; 4] = [
        |daemon, both| while_stopped(daemon, || both(daemon, "-HUP", "-TERM")),
        |daemon, both| both(daemon, "-HUP", "-TERM"),
        |daemon, both| both(daemon, "-TERM", "-HUP"),
        |daemon, _| {
            daemon.signal("-HUP");
            daemon.wait_for_log("a new configuration");
            daemon.signal("-TERM");
        },
    ];
    for how in each {
        let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
        how(&daemon, &both);
        assert_exits_cleanly(&mut daemon);
    }
}

/// Guards against a second signal that ends the process as if it had crashed.
#[test]
fn a_second_signal_to_end_does_not_change_the_first() {
    for second in ["-TERM", "-INT"] {
        let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
        daemon.signal("-TERM");
        daemon.signal(second);
        assert_exits_cleanly(&mut daemon);
        let (mut daemon, ..) = with_bound_proxy(&Peer::listening());
        while_stopped(&daemon, || {
            daemon.signal("-TERM");
            daemon.signal(second);
        });
        assert_exits_cleanly(&mut daemon);
    }
}

fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|data| data.len()).sum()
}

/// Guards against a shutdown in the middle of a write that leaves unreadable state.
#[test]
fn state_that_is_being_written_at_the_end_can_be_read_after_it() {
    let parent = tempfile::tempdir().expect("a folder");
    let state: PathBuf = parent.path().join("state");
    for life in 1..=5 {
        let (relay, discovery) = (Relay::listening(), Peer::listening());
        let mut configuration = configuration(relay.address(), discovery.address);
        configuration.operator = format!("[state]\nfolder = {state:?}\nevery = \"100ms\"\n");
        let mut daemon = Daemon::start_and_wait(&configuration);
        let hosts: Vec<Value> =
            (0..3_000).map(|place| serving(&format!("life-{life}-host-{place}"))).collect();
        let before = bytes_in(&state);
        discovery.request("GET /v1/servers").answer(200, &list(7 + life, true, &hosts).to_string());
        let until = Instant::now() + TEST_TIMEOUT;
        while bytes_in(&state) == before {
            assert!(Instant::now() < until, "nothing is stored");
        }
        terminate_cleanly(&mut daemon);
        let mut verify = Command::new(crate::stand_in::program());
        let verified = verify.args(["state", "verify"]).arg(&state).output().expect("a start");
        assert_eq!(verified.status.code(), Some(0), "{verified:?}");
        assert!(!daemon.log().iter().any(|line| line.contains("spoilt")));
    }
}

/// Guards against a second SIGTERM that is ignored, or counts as a crash, while the first one is being
/// announced to the fleet.
#[test]
fn a_second_sigterm_while_the_fleet_is_told_ends_the_program_at_once() {
    let parent = tempfile::tempdir().expect("a folder");
    let policy = parent.path().join("policy.toml");
    std::fs::write(&policy, "revision = 1\n").expect("a file");
    // Neither of its two voters is up.
    let members: Vec<SocketAddr> = (0..3).map(|_| refusing_address()).collect();
    let mut operator = format!(
        "[fleet]\nname = \"m0\"\nid = \"ends\"\nlisten = \"{}\"\nfolder = {:?}\npolicy = {policy:?}\n\
         govern = [\"look\"]\nacts = \"1100ms\"\nknows = \"2700ms\"\nslack = \"30ms\"\ndrift = 0.01\n\
         linger = \"300ms\"\nelection = \"350ms\"\nbeat = \"60ms\"\n",
        members[0],
        parent.path().join("disk"),
    );
    for (place, at) in members.iter().enumerate() {
        let votes = place > 0;
        let member =
            format!("\n[[fleet.member]]\nname = \"m{place}\"\naddress = \"{at}\"\nvotes = {votes}\n");
        operator.push_str(&member);
    }
    let mut configuration = configuration(Relay::listening().address(), Peer::listening().address);
    configuration.operator = operator;
    let mut daemon = Daemon::start_and_wait(&configuration);
    daemon.signal("-TERM");
    daemon.wait_for_log("this steward lets go");
    let second = Instant::now();
    daemon.signal("-TERM");
    assert_exits_cleanly(&mut daemon);
    assert!(second.elapsed() < Duration::from_millis(400), "{:?}", second.elapsed());
    daemon.wait_for_log("counters: ");
    assert!(!daemon.log().iter().any(|line| line.contains("ends unheard")), "{}", daemon.log().join("\n"));
}
