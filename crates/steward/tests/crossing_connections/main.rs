//! Connections that break, and peers that flood, fall silent or break the protocol: pairs of events that
//! can cross, over real connections to the amberarch binary. `docs/crossing-events.md` has the table. Each
//! test forces the order of events by what its stand-ins send and withhold, or by stopping the daemon while
//! both events happen.

mod bad_configuration;
mod bad_input;
mod collectors;
mod relay_connections;
#[path = "../stand_in/mod.rs"]
mod stand_in;
mod strangers;

use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use stand_in::{host, Client, Configuration, Daemon, Peer, Relay, RelayWatch, TEST_TIMEOUT};

/// A host report for the one host that is listed.
const HOST_REPORT: &str = "LOAD zone=east server=s-1 tries=10 failed=0 mean_ms=20.0 span_ms=1000.0\r\n";

/// A daemon in service: the relay watch is open, and one healthy host is known. Discovery is connected and
/// answers only what the test says.
struct Site {
    daemon: Daemon,
    relay: Relay,
    watch: RelayWatch,
    discovery: Peer,
}

impl Site {
    fn up() -> Site {
        Site::with(|configuration| configuration)
    }

    fn with(change: impl FnOnce(Configuration) -> Configuration) -> Site {
        let (relay, discovery) = (Relay::listening(), Peer::listening());
        let configuration = Configuration::new(relay.address(), discovery.address)
            .with("/settings/familyInfo/agents", 64.into())
            .with_known_hosts(1, &[host("s-1", healthy_host(), "east")]);
        let daemon = Daemon::start_and_wait(&change(configuration));
        let watch = relay.watch();
        Site { daemon, relay, watch, discovery }
    }

    fn collector(&self) -> Client {
        let mut client = self.daemon.dial();
        client.write(b"SOURCE zone=east\r\n");
        client
    }

    /// Fails unless the `PING` of an unidentified connection is answered and a collector's line is
    /// accepted.
    fn assert_still_serves(&self, collector: &mut Client) {
        assert_eq!(ping(&mut self.daemon.dial()), "PONG\r\n");
        let before = self.daemon.counter("lines_taken");
        collector.write(HOST_REPORT.as_bytes());
        self.daemon.counter_reaches("lines_taken", before + 1);
    }
}

/// The address of a host that passes every probe.
fn healthy_host() -> SocketAddr {
    let peer = Peer::listening();
    let address = peer.address;
    std::thread::spawn(move || loop {
        if let Some(probe) = peer.request_within("GET ", TEST_TIMEOUT) {
            probe.answer(200, "");
        }
    });
    address
}

fn ping(client: &mut Client) -> String {
    client.write(b"PING\r\n");
    client.line().expect("an answer to PING")
}

/// Waits until the daemon has read what was written to it before: it answers two `PING`s of another
/// connection, so each of its tasks has run in between.
fn wait_until_read(bystander: &mut Client) {
    for _ in 0..2 {
        assert_eq!(ping(bystander), "PONG\r\n");
    }
}

/// Waits until the daemon has closed that connection; returns what was received before.
fn closed(client: &mut Client) -> String {
    let begun = Instant::now();
    let received = client.ended();
    assert!(begun.elapsed() < TEST_TIMEOUT - Duration::from_secs(1), "the connection is still open");
    received
}

/// Whether nothing from the daemon is waiting to be read.
fn nothing_received(client: &Client) -> bool {
    client.stream.set_nonblocking(true).expect("an option");
    let received = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).expect("an option");
    received.is_err_and(|why| why.kind() == std::io::ErrorKind::WouldBlock)
}

/// Closes the connection with an RST after what was written.
fn reset(client: Client) {
    let socket = socket2::SockRef::from(&client.stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
}

/// Runs `act` while the daemon is stopped (SIGSTOP). The daemon finds the results all at once, so both
/// events of a pair have happened before it acts on either.
fn while_stopped<T>(daemon: &Daemon, act: impl FnOnce() -> T) -> T {
    daemon.signal("-STOP");
    let (begun, state) = (Instant::now(), format!("/proc/{}/stat", daemon.id()));
    while !std::fs::read_to_string(&state).expect("its state").contains(") T ") {
        assert!(begun.elapsed() < TEST_TIMEOUT, "it does not stop");
        std::thread::sleep(Duration::from_millis(1));
    }
    let done = act();
    daemon.signal("-CONT");
    done
}

/// The daemon's peak memory so far, in bytes.
fn peak_memory(daemon: &Daemon) -> u64 {
    let mut status = String::new();
    let file = std::fs::File::open(format!("/proc/{}/status", daemon.id()));
    file.expect("its status").read_to_string(&mut status).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes * 1_024
}

/// How many lines of the log contain the text.
fn logged(daemon: &Daemon, what: &str) -> usize {
    daemon.log().iter().filter(|line| line.contains(what)).count()
}
