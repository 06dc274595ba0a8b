//! Collectors whose bytes come in pieces or all at once, beside the end of their connection.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use crate::stand_in::{Client, BOUND};
use crate::{all_is_read, closed, logged, ping, reset, while_it_stands_still, Site, LOAD};

/// The protocol page: a message holds at most that.
const MOST_BYTES: usize = 1 << 20;

/// A sum of so many bytes without its end: an unknown word fills it up.
fn load_of(bytes: usize) -> String {
    let start = format!("{} pad=", LOAD.trim_end());
    format!("{start}{}", "x".repeat(bytes - start.len()))
}

/// A collector whose joining was heard.
fn joined(site: &Site) -> Client {
    let before = site.daemon.counter("connections_joined");
    let collector = site.collector();
    site.daemon.counter_reaches("connections_joined", before + 1);
    collector
}

/// Guards against sums that are lost or a collector that is closed because much comes at once, more than socket and
/// buffers hold: it is read on.
#[test]
fn four_mebibytes_of_sums_at_once_are_read_whole() {
    let site = Site::up();
    let mut collector = joined(&site);
    let lines = (4 << 20) / LOAD.len();
    collector.write(LOAD.repeat(lines).as_bytes());
    site.daemon.counter_reaches("lines_taken", lines as u64);
    assert_eq!(site.daemon.counter("lines_skipped"), 0);
    site.still_serves(&mut collector);
}

/// Guards against answers that pile up for somebody who does not read them, and against others waiting for that one:
/// whoever leaves answers unread is closed.
#[test]
fn a_client_that_never_reads_its_answers_is_closed_and_others_are_served() {
    let site = Site::up();
    let (mut bystander, mut flooding) = (joined(&site), joined(&site));
    socket2::SockRef::from(&flooding.stream).set_recv_buffer_size(4_096).expect("an option");
    let flood = std::thread::spawn(move || {
        let (begun, pings) = (Instant::now(), "PING\r\n".repeat(1_000));
        while flooding.stream.write_all(pings.as_bytes()).is_ok() {
            assert!(begun.elapsed() < BOUND, "it is still read");
        }
    });
    while !flood.is_finished() {
        assert_eq!(ping(&mut bystander), "PONG\r\n");
    }
    flood.join().expect("it is closed");
    site.still_serves(&mut bystander);
}

/// Guards against refusing the longest message that the protocol allows: CR and LF come on top of it.
#[test]
fn a_message_of_just_one_mebibyte_is_taken() {
    let site = Site::up();
    let mut collector = joined(&site);
    for (taken, end) in [(1, "\r\n"), (2, "\n")] {
        collector.write(load_of(MOST_BYTES).as_bytes());
        collector.write(end.as_bytes());
        site.daemon.counter_reaches("lines_taken", taken);
    }
    site.still_serves(&mut collector);
}

/// Guards against a message over the protocol's size that is kept all the same: the connection ends, also before the
/// end of the line has come, and no other does.
#[test]
fn one_byte_over_a_mebibyte_ends_that_connection_alone() {
    let site = Site::up();
    let mut bystander = joined(&site);
    for end in ["\r\n", "\n", ""] {
        let mut collector = joined(&site);
        let before = site.daemon.counter("lines_taken");
        collector.write(load_of(MOST_BYTES + 1).as_bytes());
        collector.write(end.as_bytes());
        assert_eq!(closed(&mut collector), "");
        assert_eq!(site.daemon.counter("lines_taken"), before);
        site.still_serves(&mut bystander);
    }
    assert!(logged(&site.daemon, "a line over 1048576 bytes") >= 1);
}

/// Guards against a line whose end is missed, or taken for an empty line, where CR and LF come in different reads; and
/// against a message of the longest size that is refused for its CR, read alone.
#[test]
fn cr_and_lf_in_different_reads_end_one_line() {
    let site = Site::up();
    let (mut bystander, mut collector) = (joined(&site), joined(&site));
    for (taken, line) in [(1, LOAD.trim_end().to_string()), (2, load_of(MOST_BYTES))] {
        collector.write(line.as_bytes());
        all_is_read(&mut bystander);
        collector.write(b"\r");
        all_is_read(&mut bystander);
        assert_eq!(site.daemon.counter("lines_taken"), taken - 1);
        collector.write(b"\n");
        site.daemon.counter_reaches("lines_taken", taken);
    }
    assert_eq!(ping(&mut collector), "PONG\r\n");
    assert_eq!(site.daemon.counter("lines_taken"), 2);
    assert_eq!(site.daemon.counter("lines_skipped"), 0);
}

/// Guards against a collector that is closed, or a sum that counts twice, for line ends other than CRLF: LF alone ends a
/// line, CR alone does not.
#[test]
fn a_bare_lf_ends_a_line_and_a_bare_cr_does_not() {
    let site = Site::up();
    let mut collector = joined(&site);
    collector.write(LOAD.replace("\r\n", "\n").as_bytes());
    site.daemon.counter_reaches("lines_taken", 1);
    collector.write(format!("{}\r{LOAD}", LOAD.trim_end()).as_bytes());
    collector.write(b"PING\rPING\r\n");
    assert_eq!(collector.line().as_deref(), Some("PONG\r\n"));
    let heard = site.daemon.counter("lines_taken") + site.daemon.counter("lines_skipped");
    assert_eq!(heard, 2, "one line for a bare LF, one for all up to the CRLF");
    assert_eq!(site.daemon.counter("pings"), 1);
    site.still_serves(&mut collector);
}

/// Guards against a sum that is lost because the end of the connection is looked at before what came ahead of it.
#[test]
fn a_sum_directly_before_fin_or_rst_counts() {
    let site = Site::up();
    for (taken, resets) in [(1, false), (2, true)] {
        let mut collector = joined(&site);
        while_it_stands_still(&site.daemon, || {
            collector.write(LOAD.as_bytes());
            match resets {
                true => reset(collector),
                false => drop(collector),
            }
        });
        site.daemon.counter_reaches("lines_taken", taken);
    }
    site.still_serves(&mut joined(&site));
}

/// Guards against a half sum that counts because its connection ended: nothing says that the rest was not to come.
#[test]
fn a_half_sum_before_fin_or_rst_does_not_count() {
    let site = Site::up();
    // Cut where what has come would read as a whole sum.
    let half = LOAD.trim_end().trim_end_matches("0.0");
    for resets in [false, true] {
        let mut collector = joined(&site);
        while_it_stands_still(&site.daemon, || {
            collector.write(half.as_bytes());
            match resets {
                true => reset(collector),
                false => drop(collector),
            }
        });
        all_is_read(&mut joined(&site));
    }
    let heard = site.daemon.counter("lines_taken") + site.daemon.counter("lines_skipped");
    assert_eq!(heard, 0);
    site.still_serves(&mut joined(&site));
}

/// Guards against a collector whose sums are dropped because it has closed its own direction, and against a connection
/// that is kept although nothing can come on it any more.
#[test]
fn a_half_closed_collector_is_heard_to_its_last_line_and_then_closed() {
    let site = Site::up();
    let mut collector = joined(&site);
    collector.write(LOAD.repeat(1_000).as_bytes());
    collector.write(b"PING\r\n");
    collector.stream.shutdown(Shutdown::Write).expect("half-closed");
    assert_eq!(collector.line().as_deref(), Some("PONG\r\n"));
    assert_eq!(closed(&mut collector), "");
    assert_eq!(site.daemon.counter("lines_taken"), 1_000);
}

/// Guards against sums without an end: a collector that begins one and says no more, or a byte now and then, is closed
/// within 6 s, one that says nothing at all between its sums stays.
#[test]
fn a_collector_that_does_not_end_a_line_is_closed_and_an_idle_one_stays() {
    let site = Site::up();
    let (mut idle, mut stops, mut drips) = (joined(&site), joined(&site), site.daemon.dial());
    drips.write(b"SOURCE zone=west\r\n");
    site.daemon.counter_reaches("connections_joined", 3);
    stops.write(&LOAD.as_bytes()[..30]);
    let begun = Instant::now();
    let dripping = std::thread::spawn(move || {
        while drips.stream.write_all(b"L").is_ok() {
            assert!(begun.elapsed() < BOUND, "it still stands");
            std::thread::sleep(Duration::from_millis(100));
        }
        begun.elapsed()
    });
    assert_eq!(closed(&mut stops), "");
    let took = [begun.elapsed(), dripping.join().expect("it is closed")];
    assert!(took.iter().all(|took| *took < Duration::from_secs(6)), "{took:?}");
    site.still_serves(&mut idle);
}
