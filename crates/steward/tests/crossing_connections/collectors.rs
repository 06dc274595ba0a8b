//! Collectors whose bytes arrive in pieces or all at once, and whose connections end meanwhile.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use crate::stand_in::{Client, TEST_TIMEOUT};
use crate::{closed, logged, ping, reset, wait_until_read, while_stopped, Site, HOST_REPORT};

/// The maximum length of a message by the protocol's documentation.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A report of that many bytes without its line end, padded with an unknown key.
fn report_line_of(bytes: usize) -> String {
    let start = format!("{} pad=", HOST_REPORT.trim_end());
    format!("{start}{}", "x".repeat(bytes - start.len()))
}

/// A collector that the daemon has accepted.
fn joined(site: &Site) -> Client {
    let before = site.daemon.counter("connections_joined");
    let collector = site.collector();
    site.daemon.counter_reaches("connections_joined", before + 1);
    collector
}

/// Guards against losing reports, or closing a collector, because more data arrives at once than socket and
/// buffers hold.
#[test]
fn four_mebibytes_of_sums_at_once_are_read_whole() {
    let site = Site::up();
    let mut collector = joined(&site);
    let lines = (4 << 20) / HOST_REPORT.len();
    collector.write(HOST_REPORT.repeat(lines).as_bytes());
    site.daemon.counter_reaches("lines_taken", lines as u64);
    assert_eq!(site.daemon.counter("lines_skipped"), 0);
    site.assert_still_serves(&mut collector);
}

/// Guards against answers that accumulate for a client that does not read them, and against delaying others
/// for it: the daemon closes such a client.
#[test]
fn a_client_that_never_reads_its_answers_is_closed_and_others_are_served() {
    let site = Site::up();
    let (mut bystander, mut flooding) = (joined(&site), joined(&site));
    socket2::SockRef::from(&flooding.stream).set_recv_buffer_size(4_096).expect("an option");
    let flood = std::thread::spawn(move || {
        let (begun, pings) = (Instant::now(), "PING\r\n".repeat(1_000));
        while flooding.stream.write_all(pings.as_bytes()).is_ok() {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it is still read");
        }
    });
    while !flood.is_finished() {
        assert_eq!(ping(&mut bystander), "PONG\r\n");
    }
    flood.join().expect("it is closed");
    site.assert_still_serves(&mut bystander);
}

/// Guards against refusing a message of the maximum length: CR and LF don't count towards it.
#[test]
fn a_message_of_just_one_mebibyte_is_taken() {
    let site = Site::up();
    let mut collector = joined(&site);
    for (taken, end) in [(1, "\r\n"), (2, "\n")] {
        collector.write(report_line_of(MAX_MESSAGE_BYTES).as_bytes());
        collector.write(end.as_bytes());
        site.daemon.counter_reaches("lines_taken", taken);
    }
    site.assert_still_serves(&mut collector);
}

/// Guards against accepting a message that exceeds the maximum length: its connection is closed, even
/// before the line end arrives, and no other is.
#[test]
fn one_byte_over_a_mebibyte_ends_that_connection_alone() {
    let site = Site::up();
    let mut bystander = joined(&site);
    for end in ["\r\n", "\n", ""] {
        let mut collector = joined(&site);
        let before = site.daemon.counter("lines_taken");
        collector.write(report_line_of(MAX_MESSAGE_BYTES + 1).as_bytes());
        collector.write(end.as_bytes());
        assert_eq!(closed(&mut collector), "");
        assert_eq!(site.daemon.counter("lines_taken"), before);
        site.assert_still_serves(&mut bystander);
    }
    assert!(logged(&site.daemon, "a line over 1048576 bytes") >= 1);
}

/// Guards against missing a line end, or reading an empty line, where CR and LF arrive in different reads;
/// and against refusing a message of the maximum length because its CR is read alone.
#[test]
fn cr_and_lf_in_different_reads_end_one_line() {
    let site = Site::up();
    let (mut bystander, mut collector) = (joined(&site), joined(&site));
    for (taken, line) in [(1, HOST_REPORT.trim_end().to_string()), (2, report_line_of(MAX_MESSAGE_BYTES))] {
        collector.write(line.as_bytes());
        wait_until_read(&mut bystander);
        collector.write(b"\r");
        wait_until_read(&mut bystander);
        assert_eq!(site.daemon.counter("lines_taken"), taken - 1);
        collector.write(b"\n");
        site.daemon.counter_reaches("lines_taken", taken);
    }
    assert_eq!(ping(&mut collector), "PONG\r\n");
    assert_eq!(site.daemon.counter("lines_taken"), 2);
    assert_eq!(site.daemon.counter("lines_skipped"), 0);
}

/// Guards against closing a collector, or counting a report twice, for line ends other than CRLF: LF alone
/// ends a line, CR alone does not.
#[test]
fn a_bare_lf_ends_a_line_and_a_bare_cr_does_not() {
    let site = Site::up();
    let mut collector = joined(&site);
    collector.write(HOST_REPORT.replace("\r\n", "\n").as_bytes());
    site.daemon.counter_reaches("lines_taken", 1);
    collector.write(format!("{}\r{HOST_REPORT}", HOST_REPORT.trim_end()).as_bytes());
    collector.write(b"PING\rPING\r\n");
    assert_eq!(collector.line().as_deref(), Some("PONG\r\n"));
    let lines = site.daemon.counter("lines_taken") + site.daemon.counter("lines_skipped");
    assert_eq!(lines, 2, "one line for a bare LF, one for all up to the CRLF");
    assert_eq!(site.daemon.counter("pings"), 1);
    site.assert_still_serves(&mut collector);
}

/// Guards against losing a report because the end of its connection is handled before the data ahead of it.
#[test]
fn a_sum_directly_before_fin_or_rst_counts() {
    let site = Site::up();
    for (taken, resets) in [(1, false), (2, true)] {
        let mut collector = joined(&site);
        while_stopped(&site.daemon, || {
            collector.write(HOST_REPORT.as_bytes());
            match resets {
                true => reset(collector),
                false => drop(collector),
            }
        });
        site.daemon.counter_reaches("lines_taken", taken);
    }
    site.assert_still_serves(&mut joined(&site));
}

/// Guards against counting an incomplete report because its connection ended: the rest may be missing.
#[test]
fn a_half_sum_before_fin_or_rst_does_not_count() {
    let site = Site::up();
    // Cut at a place where the first part is a valid report by itself.
    let half = HOST_REPORT.trim_end().trim_end_matches("0.0");
    for resets in [false, true] {
        let mut collector = joined(&site);
        while_stopped(&site.daemon, || {
            collector.write(half.as_bytes());
            match resets {
                true => reset(collector),
                false => drop(collector),
            }
        });
        wait_until_read(&mut joined(&site));
    }
    let lines = site.daemon.counter("lines_taken") + site.daemon.counter("lines_skipped");
    assert_eq!(lines, 0);
    site.assert_still_serves(&mut joined(&site));
}

/// Guards against dropping reports of a collector that has closed its sending direction, and against
/// keeping a connection on which nothing can arrive any more.
#[test]
fn a_half_closed_collector_is_heard_to_its_last_line_and_then_closed() {
    let site = Site::up();
    let mut collector = joined(&site);
    collector.write(HOST_REPORT.repeat(1_000).as_bytes());
    collector.write(b"PING\r\n");
    collector.stream.shutdown(Shutdown::Write).expect("half-closed");
    assert_eq!(collector.line().as_deref(), Some("PONG\r\n"));
    assert_eq!(closed(&mut collector), "");
    assert_eq!(site.daemon.counter("lines_taken"), 1_000);
}

/// Guards against reports without a line end: a collector that begins one and then sends nothing, or a byte
/// now and then, is closed within 6 s; one that is idle between its reports stays connected.
#[test]
fn a_collector_that_does_not_end_a_line_is_closed_and_an_idle_one_stays() {
    let site = Site::up();
    let (mut idle, mut stops, mut drips) = (joined(&site), joined(&site), site.daemon.dial());
    drips.write(b"SOURCE zone=west\r\n");
    site.daemon.counter_reaches("connections_joined", 3);
    stops.write(&HOST_REPORT.as_bytes()[..30]);
    let begun = Instant::now();
    let dripping = std::thread::spawn(move || {
        while drips.stream.write_all(b"L").is_ok() {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it is still open");
            std::thread::sleep(Duration::from_millis(100));
        }
        begun.elapsed()
    });
    assert_eq!(closed(&mut stops), "");
    let took = [begun.elapsed(), dripping.join().expect("it is closed")];
    assert!(took.iter().all(|took| *took < Duration::from_secs(6)), "{took:?}");
    site.assert_still_serves(&mut idle);
}
