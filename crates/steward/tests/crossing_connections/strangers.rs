//! Unidentified connections that flood, stay silent or stop half-way, beside connections that have to be
//! served.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::stand_in::{Client, Configuration, Daemon, Peer, Relay, TEST_TIMEOUT};
use crate::{closed, logged, nothing_received, ping, wait_until_read, Site, HOST_REPORT};

/// By the service's documentation a connection that has not identified itself is closed within 3 s;
/// timeouts are 300 ms longer on sockets. The limit leaves some seconds for a busy machine.
const CLOSED_WITHIN: Duration = Duration::from_secs(6);

/// Threads that repeat an action until told to end.
struct Flood {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    fn begin(threads: usize, at: SocketAddr, act: fn(SocketAddr)) -> Flood {
        let ends = Arc::new(AtomicBool::new(false));
        let flood = |_| {
            let ends = ends.clone();
            std::thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    act(at);
                }
            })
        };
        Flood { threads: (0..threads).map(flood).collect(), ends }
    }

    fn end(self) {
        self.ends.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a flooding thread"));
    }
}

fn dial(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(at).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
    Some(stream)
}

fn connects_and_leaves(at: SocketAddr) {
    drop(dial(at));
}

fn sends_noise(at: SocketAddr) {
    if let Some(mut stream) = dial(at) {
        let _ = stream.write_all("\u{1}what is this\r\nGET / HTTP/1.1\r\n\r\n".repeat(10).as_bytes());
    }
}

fn sends_pings_and_reads_nothing(at: SocketAddr) {
    if let Some(mut stream) = dial(at) {
        let _ = stream.write_all("PING\r\n".repeat(2_000).as_bytes());
    }
}

fn sends_a_long_line(at: SocketAddr) {
    if let Some(mut stream) = dial(at) {
        let _ = stream.write_all(&[b'x'; 100_000]);
    }
}

/// Sends reports of a collector, each followed by a `PING` that has to be answered.
fn assert_reports_read(site: &Site, collector: &mut Client, rounds: u64) {
    let before = site.daemon.counter("lines_taken");
    for _ in 0..rounds {
        collector.write(HOST_REPORT.as_bytes());
        assert_eq!(ping(collector), "PONG\r\n");
    }
    site.daemon.counter_reaches("lines_taken", before + rounds);
}

/// Guards a collector against any kind of flood of unidentified connections: its reports are read and its
/// `PING`s answered meanwhile, and the log does not fill up.
#[test]
fn a_flood_of_strangers_does_not_keep_a_collector_from_being_heard() {
    let site = Site::up();
    let mut collector = site.collector();
    assert_reports_read(&site, &mut collector, 1);
    let kinds: [fn(SocketAddr); 4] =
        [connects_and_leaves, sends_noise, sends_pings_and_reads_nothing, sends_a_long_line];
    for kind in kinds {
        let begun = Instant::now();
        let before = site.daemon.counter("connections");
        let flood = Flood::begin(2, site.daemon.listen, kind);
        site.daemon.counter_reaches("connections", before + 20);
        assert_reports_read(&site, &mut collector, 50);
        site.daemon.counter_reaches("connections", before + 200);
        flood.end();
        assert!(begun.elapsed() < TEST_TIMEOUT, "{:?}", begun.elapsed());
    }
    let (lines, seconds) =
        (logged(&site.daemon, "closed a connection"), site.daemon.started.elapsed().as_secs());
    assert!(lines as u64 <= seconds + 2, "{lines} lines in {seconds} s");
    site.assert_still_serves(&mut collector);
}

/// Guards against running out of descriptors: unidentified connections that are silent, or send a byte now
/// and then, are closed by their age, and a silent collector is not.
#[test]
fn strangers_that_are_silent_or_slow_are_closed_and_a_silent_collector_stays() {
    let site = Site::up();
    let mut collector = site.collector();
    site.daemon.counter_reaches("connections_joined", 1);
    let (mut silent, mut slow) = (site.daemon.dial(), dial(site.daemon.listen).expect("it listens"));
    let begun = Instant::now();
    let drips = std::thread::spawn(move || {
        // The daemon may have answered before it closed the connection, so writing fails only some
        // bytes later.
        while slow.write_all(b"P").is_ok() {
            assert!(begun.elapsed() < TEST_TIMEOUT, "a slow connection is still open");
            std::thread::sleep(Duration::from_millis(100));
        }
        begun.elapsed()
    });
    closed(&mut silent);
    assert!(begun.elapsed() < CLOSED_WITHIN, "{:?}", begun.elapsed());
    let took = drips.join().expect("it is closed");
    assert!(took < CLOSED_WITHIN, "{took:?}");
    site.daemon.counter_reaches("connections_refused", 2);
    site.assert_still_serves(&mut collector);
}

/// Guards against closing collectors in favour of unidentified connections when descriptors are few: the
/// unidentified ones are closed.
#[test]
fn more_strangers_than_descriptors_close_no_collector() {
    let site = Site::with(|configuration| configuration.with("/limits/sockets", 48.into()));
    let mut collector = site.collector();
    let mut other = site.daemon.dial();
    other.write(b"SOURCE zone=west\r\n");
    site.daemon.counter_reaches("connections_joined", 2);
    // Half of the descriptors are for new connections. All arrive while the daemon is stopped, so none
    // has been closed for its silence before the last has arrived.
    let dial_all = || (0..60).map(|_| dial(site.daemon.listen).expect("room in its queue")).collect();
    let unidentified: Vec<TcpStream> = crate::while_stopped(&site.daemon, dial_all);
    site.daemon.counter_reaches("connections", 62);
    assert!(site.daemon.counter("connections_shed") >= 60 - 24, "{:?}", site.daemon.log());
    assert_eq!(ping(&mut other), "PONG\r\n");
    assert_reports_read(&site, &mut collector, 10);
    drop(unidentified);
    site.assert_still_serves(&mut collector);
}

/// Guards against closing a collector among many unidentified connections because its first line has not
/// been read yet: it connects before, amid or after them, all before the daemon runs.
#[test]
fn a_collector_that_comes_with_more_strangers_than_descriptors_is_taken() {
    for (ahead, behind) in [(60, 0), (30, 30), (0, 60)] {
        let site = Site::with(|configuration| configuration.with("/limits/sockets", 48.into()));
        let unidentified =
            |count| -> Vec<_> { (0..count).map(|_| dial(site.daemon.listen).expect("room")).collect() };
        let (mut collector, _unidentified) = crate::while_stopped(&site.daemon, || {
            let first = unidentified(ahead);
            let collector = site.collector();
            (collector, (first, unidentified(behind)))
        });
        site.daemon.counter_reaches("connections", 61);
        collector.write(b"PING\r\n");
        let answer = collector.line();
        assert_eq!(answer.as_deref(), Some("PONG\r\n"), "{ahead} unidentified ahead of it, {behind} behind");
    }
}

/// Guards against missing a `PING` that arrives in pieces.
#[test]
fn a_ping_in_pieces_is_answered_once() {
    let site = Site::up();
    let mut bystander = site.collector();
    for joins in [false, true] {
        let mut client = if joins { site.collector() } else { site.daemon.dial() };
        for piece in ["P", "IN", "G", "\r", "\n"] {
            assert!(nothing_received(&client));
            client.write(piece.as_bytes());
            wait_until_read(&mut bystander);
        }
        assert_eq!(client.line().as_deref(), Some("PONG\r\n"));
        client.stream.shutdown(Shutdown::Write).expect("half-closed");
        assert_eq!(closed(&mut client), "");
    }
}

/// A daemon whose relay has accepted the connection and not answered the watch request, and that relay.
fn without_a_watch() -> (Daemon, Relay) {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    (Daemon::start_and_wait(&Configuration::new(relay.address(), discovery.address)), relay)
}

/// Answers every watch request: the daemon may have abandoned one that waited too long.
fn answer_watches(relay: Relay) {
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Some(mut watch) = relay.peer.request_within("GET /watch", TEST_TIMEOUT) {
            watch.connection.begin_chunked();
            watch.connection.chunk("{}\n");
            open.push(watch);
        }
    });
}

/// Guards against answering a `PING` before orders can reach proxies, and against forgetting whoever asked
/// before then, even one that has closed its sending direction meanwhile.
#[test]
fn pings_before_the_watch_stands_are_answered_once_it_does() {
    let (daemon, relay) = without_a_watch();
    let (mut whole, mut half_closed, mut collector) = (daemon.dial(), daemon.dial(), daemon.dial());
    whole.write(b"PING\r\n");
    half_closed.write(b"PING\r\n");
    half_closed.stream.shutdown(Shutdown::Write).expect("half-closed");
    collector.write(b"SOURCE zone=east\r\nPING\r\n");
    daemon.counter_reaches("pings", 3);
    assert!([&whole, &half_closed, &collector].into_iter().all(nothing_received));
    answer_watches(relay);
    for client in [&mut whole, &mut half_closed, &mut collector] {
        assert_eq!(client.line().as_deref(), Some("PONG\r\n"));
    }
    assert_eq!(closed(&mut half_closed), "");
    assert_eq!(ping(&mut whole), "PONG\r\n");
}

/// Guards against leaving a `PING` unanswered because the connection's end arrived with it.
#[test]
fn a_ping_directly_before_fin_is_answered() {
    let site = Site::up();
    let mut client = site.daemon.dial();
    crate::while_stopped(&site.daemon, || {
        client.write(b"PING\r\nPING\r\n");
        client.stream.shutdown(Shutdown::Write).expect("half-closed");
    });
    assert_eq!(closed(&mut client), "PONG\r\nPONG\r\n");
}

/// Guards against harm from a client that sent a `PING` before the watch was open and has reset its
/// connection since: its answer is discarded, and others get theirs.
#[test]
fn a_ping_whose_sender_is_gone_when_the_watch_stands_harms_nobody() {
    let (daemon, relay) = without_a_watch();
    let (mut gone, mut waits) = (daemon.dial(), daemon.dial());
    gone.write(b"PING\r\n");
    waits.write(b"PING\r\n");
    daemon.counter_reaches("pings", 2);
    crate::reset(gone);
    answer_watches(relay);
    assert_eq!(waits.line().as_deref(), Some("PONG\r\n"));
    assert_eq!(ping(&mut daemon.dial()), "PONG\r\n");
}
