//! Strangers who flood, say nothing or stop half-way, beside those who have to be served.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::stand_in::{Client, Configuration, Daemon, Peer, Relay, BOUND};
use crate::{all_is_read, closed, has_said_nothing, logged, ping, Site, LOAD};

/// The service page: who has not joined is closed within 3 s; times are 300 ms longer on sockets. A machine with much else
/// to do may take longer by some seconds.
const CLOSED_WITHIN: Duration = Duration::from_secs(6);

/// Somebody who does the same again and again until told to end.
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
        self.threads.into_iter().for_each(|thread| thread.join().expect("a stranger"));
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

/// Sums of a collector, each followed by a `PING` that has to be answered.
fn is_heard(site: &Site, collector: &mut Client, rounds: u64) {
    let before = site.daemon.counter("lines_taken");
    for _ in 0..rounds {
        collector.write(LOAD.as_bytes());
        assert_eq!(ping(collector), "PONG\r\n");
    }
    site.daemon.counter_reaches("lines_taken", before + rounds);
}

/// Guards a collector against strangers who come without end, whatever they send: its sums are heard and its `PING`s
/// answered while the flood goes on, and the log does not fill up.
#[test]
fn a_flood_of_strangers_does_not_keep_a_collector_from_being_heard() {
    let site = Site::up();
    let mut collector = site.collector();
    is_heard(&site, &mut collector, 1);
    let kinds: [fn(SocketAddr); 4] =
        [connects_and_leaves, sends_noise, sends_pings_and_reads_nothing, sends_a_long_line];
    for kind in kinds {
        let begun = Instant::now();
        let before = site.daemon.counter("connections");
        let flood = Flood::begin(2, site.daemon.listen, kind);
        site.daemon.counter_reaches("connections", before + 20);
        is_heard(&site, &mut collector, 50);
        site.daemon.counter_reaches("connections", before + 200);
        flood.end();
        assert!(begun.elapsed() < BOUND, "{:?}", begun.elapsed());
    }
    let (lines, seconds) =
        (logged(&site.daemon, "closed a connection"), site.daemon.started.elapsed().as_secs());
    assert!(lines as u64 <= seconds + 2, "{lines} lines in {seconds} s");
    site.still_serves(&mut collector);
}

/// Guards descriptors against strangers who say nothing and those who say a byte now and then: both are closed, counted
/// from connecting, and a collector that says nothing meanwhile is not.
#[test]
fn strangers_that_are_silent_or_slow_are_closed_and_a_silent_collector_stays() {
    let site = Site::up();
    let mut collector = site.collector();
    site.daemon.counter_reaches("connections_joined", 1);
    let (mut silent, mut slow) = (site.daemon.dial(), dial(site.daemon.listen).expect("it listens"));
    let begun = Instant::now();
    let drips = std::thread::spawn(move || {
        // An answer may have come before the end, so writing fails only some bytes after it.
        while slow.write_all(b"P").is_ok() {
            assert!(begun.elapsed() < BOUND, "a slow stranger still stands");
            std::thread::sleep(Duration::from_millis(100));
        }
        begun.elapsed()
    });
    closed(&mut silent);
    assert!(begun.elapsed() < CLOSED_WITHIN, "{:?}", begun.elapsed());
    let took = drips.join().expect("it is closed");
    assert!(took < CLOSED_WITHIN, "{took:?}");
    site.daemon.counter_reaches("connections_refused", 2);
    site.still_serves(&mut collector);
}

/// Guards collectors against being closed for strangers where descriptors are few: the strangers give way.
#[test]
fn more_strangers_than_descriptors_close_no_collector() {
    let site = Site::with(|configuration| configuration.with("/limits/sockets", 48.into()));
    let mut collector = site.collector();
    let mut other = site.daemon.dial();
    other.write(b"SOURCE zone=west\r\n");
    site.daemon.counter_reaches("connections_joined", 2);
    // Half of the descriptors are for those who connect. All come while the daemon takes nobody in, so that none of them
    // has been closed for saying nothing before the last is there.
    let dial_all = || (0..60).map(|_| dial(site.daemon.listen).expect("room in its queue")).collect();
    let strangers: Vec<TcpStream> = crate::while_it_stands_still(&site.daemon, dial_all);
    site.daemon.counter_reaches("connections", 62);
    assert!(site.daemon.counter("connections_shed") >= 60 - 24, "{:?}", site.daemon.log());
    assert_eq!(ping(&mut other), "PONG\r\n");
    is_heard(&site, &mut collector, 10);
    drop(strangers);
    site.still_serves(&mut collector);
}

/// Guards against a collector that is closed for strangers because it has not been read yet: it comes ahead of them, in
/// their midst or behind them, all before the daemon looks.
#[test]
fn a_collector_that_comes_with_more_strangers_than_descriptors_is_taken() {
    for (ahead, behind) in [(60, 0), (30, 30), (0, 60)] {
        let site = Site::with(|configuration| configuration.with("/limits/sockets", 48.into()));
        let strangers =
            |count| -> Vec<_> { (0..count).map(|_| dial(site.daemon.listen).expect("room")).collect() };
        let (mut collector, _strangers) = crate::while_it_stands_still(&site.daemon, || {
            let first = strangers(ahead);
            let collector = site.collector();
            (collector, (first, strangers(behind)))
        });
        site.daemon.counter_reaches("connections", 61);
        collector.write(b"PING\r\n");
        let answer = collector.line();
        assert_eq!(answer.as_deref(), Some("PONG\r\n"), "{ahead} strangers ahead of it, {behind} behind");
    }
}

/// Guards against a `PING` that is missed because it comes in pieces.
#[test]
fn a_ping_in_pieces_is_answered_once() {
    let site = Site::up();
    let mut bystander = site.collector();
    for joins in [false, true] {
        let mut client = if joins { site.collector() } else { site.daemon.dial() };
        for piece in ["P", "IN", "G", "\r", "\n"] {
            assert!(has_said_nothing(&client));
            client.write(piece.as_bytes());
            all_is_read(&mut bystander);
        }
        assert_eq!(client.line().as_deref(), Some("PONG\r\n"));
        client.stream.shutdown(Shutdown::Write).expect("half-closed");
        assert_eq!(closed(&mut client), "");
    }
}

/// A daemon whose relay is connected and has not answered for the watch, and that relay.
fn without_a_watch() -> (Daemon, Relay) {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    (Daemon::up(&Configuration::new(relay.address(), discovery.address)), relay)
}

/// Answers watch after watch: one that waited too long has been given up by the daemon.
fn answer_watches(relay: Relay) {
    std::thread::spawn(move || {
        let mut stand = Vec::new();
        while let Some(mut watch) = relay.peer.request_within("GET /watch", BOUND) {
            watch.connection.begin_chunked();
            watch.connection.chunk("{}\n");
            stand.push(watch);
        }
    });
}

/// Guards against being used before orders can reach anyone, and against whoever asked before then and is forgotten: also
/// one that has closed its own direction meanwhile.
#[test]
fn pings_before_the_watch_stands_are_answered_once_it_does() {
    let (daemon, relay) = without_a_watch();
    let (mut whole, mut half_closed, mut collector) = (daemon.dial(), daemon.dial(), daemon.dial());
    whole.write(b"PING\r\n");
    half_closed.write(b"PING\r\n");
    half_closed.stream.shutdown(Shutdown::Write).expect("half-closed");
    collector.write(b"SOURCE zone=east\r\nPING\r\n");
    daemon.counter_reaches("pings", 3);
    assert!([&whole, &half_closed, &collector].into_iter().all(has_said_nothing));
    answer_watches(relay);
    for client in [&mut whole, &mut half_closed, &mut collector] {
        assert_eq!(client.line().as_deref(), Some("PONG\r\n"));
    }
    assert_eq!(closed(&mut half_closed), "");
    assert_eq!(ping(&mut whole), "PONG\r\n");
}

/// Guards against an answer that is withheld because the end of the connection came with the question.
#[test]
fn a_ping_directly_before_fin_is_answered() {
    let site = Site::up();
    let mut client = site.daemon.dial();
    crate::while_it_stands_still(&site.daemon, || {
        client.write(b"PING\r\nPING\r\n");
        client.stream.shutdown(Shutdown::Write).expect("half-closed");
    });
    assert_eq!(closed(&mut client), "PONG\r\nPONG\r\n");
}

/// Guards the daemon against somebody who asked before the watch stood and reset the connection since: the answer finds
/// nobody, and others get theirs.
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
