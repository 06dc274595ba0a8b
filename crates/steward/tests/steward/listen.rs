use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{HostId, ProbeOutcome};
use amberarch_steward::counters::Count;
use amberarch_steward::heard::{Entry, Probe};
use amberarch_steward::listen::{connection, ConnectionContext, ConnectionState, Connections, Stage};
use amberarch_steward::probe::Prober;
use expect_test::expect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::peers::{feed, for_ms, ties, Dialled, Peer, Then::*, HOME};

/// Writes pieces at given times. Returns the messages to the event loop, the answers to the peer and the end of the
/// connection. The daemon can serve after half a second.
fn guest(pieces: Vec<(u64, Vec<u8>)>) -> String {
    for_ms(60_000, |trace| async move {
        let (to_ready, ready) = watch::channel(false);
        let (ours, theirs) = tokio::io::duplex(4 << 20);
        let (mut answers, mut writing) = tokio::io::split(theirs);
        let ties = ties(&trace);
        let counters = ties.counters.clone();
        let zones = Rc::new(["a".to_string()]);
        let inside = ConnectionContext { ready, zones, skipped: Rc::default(), closed: Rc::default(), ties };
        let guest = trace.clone();
        feed(pieces, async move |piece: Vec<u8>| drop(writing.write_all(&piece).await));
        tokio::task::spawn_local(async move {
            let mut answer = vec![0; 64];
            while let Ok(count @ 1..) = answers.read(&mut answer).await {
                guest.note(&format!("answered {:?}", String::from_utf8_lossy(&answer[..count])));
            }
        });
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(500)).await;
            to_ready.send_replace(true);
            std::future::pending::<()>().await;
        });
        connection(ours, ConnectionState::new(Stage::Silent), inside).await;
        let counted = counters.to_string();
        let lines = counted
            .split(' ')
            .filter(|count| count.starts_with("lines") || count.starts_with("connections_"));
        trace.note(&format!("ended, {}", lines.collect::<Vec<_>>().join(" ")));
    })
}

/// Guards against being used before orders can reach proxies: the answer to PING is delayed until then, and the time to
/// join counts from it; a PING alone does not keep a connection open.
#[test]
fn ping_is_answered_once_the_steward_can_serve() {
    let pieces =
        vec![(0, b"PING\r\n".to_vec()), (700, b"PI".to_vec()), (900, b"NG\nPING extra=1\r\n".to_vec())];
    expect![[r#"
        500 answered "PONG\r\n"
        900 answered "PONG\r\nPONG\r\n"
        1800 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
    "#]].assert_eq(&guest(pieces));
}

/// Guards against losing valid reports because of a malformed one: it is skipped whole and counted, and the following ones
/// are used. A line that is no message ends the connection, since nothing after it can be used.
#[test]
fn sums_in_pieces_are_heard_spoilt_ones_skipped_and_noise_ends_it() {
    let load = "LOAD zone=a server=s-1 tries=21 failed=3 mean_ms=41.7 span_ms=1000.0 load=inflight:7,x:1\r\n";
    let (start, end) = load.as_bytes().split_at(30);
    let spoilt = "LOAD zone=a\r\nLOAD zone=a server=s-1 tries=-1 failed=0 mean_ms=1 span_ms=1\r\n\
        LOAD zone=a server=s-1 tries=2 failed=3 mean_ms=1 span_ms=1\r\n\
        LOAD zone=a server=s-1 tries=2 failed=1 span_ms=1\r\n\
        LOAD zone=a server=s-1 tries=2 failed=1 mean_ms=1 span_ms=inf\r\n\
        LOAD zone=a server=s-1 tries=2 failed=1 mean_ms=1 span_ms=1 load=util:-0.1\r\n\
        LOAD zone=a server=s-1 tries=2 failed=1 mean_ms=1e300 span_ms=1\r\n\
        RATE proxy=70000 class=b tries=1 failed=0 span_ms=1\r\nRATE proxy=1 class=b tries=1 failed=0 span_ms=nan\r\n";
    let pieces = vec![
        (0, [b"SOURCE zone=a\r\n", start].concat()),
        (400, [end, spoilt.as_bytes()].concat()),
        (500, b"RATE proxy=17 class=b tries=0 failed=2 span_ms=1000.0 new=1\r\n".to_vec()),
        (20_000, b"PING\r\n$-1\r\nRATE proxy=17 class=b tries=18 failed=0 span_ms=1000.0\r\n".to_vec()),
    ];
    expect![[r#"
        400 -> Report(Load { zone: "a", host: "s-1", tries: 21, failed: 3, mean_latency: 41.7, covered: 1000.0, report: LoadReport { in_flight: Some(7.0), queued: None, utilization: None, latency: None } })
        500 -> Report(Rate { proxy: 17, class: "b", txns: 0, failed: 2, covered: 1000.0 })
        20000 ended, connections_joined=1 connections_refused=0 connections_shed=0 lines_taken=2 lines_skipped=9
    "#]].assert_eq(&guest(pieces));
}

/// Guards against reports without an end, and against bytes among reports that are not text.
#[test]
fn a_collector_that_cannot_be_read_any_more_is_closed() {
    let source = b"SOURCE zone=a\r\n".to_vec();
    expect![[r#"
        8000 ended, connections_joined=1 connections_refused=0 connections_shed=0 lines_taken=0 lines_skipped=0
    "#]].assert_eq(&guest(vec![
        (10, source.clone()),
        (5_000, b"LOAD".to_vec()),
        (6_000, b" zone".to_vec()),
    ]));
    expect![[r#"
        20 ended, connections_joined=1 connections_refused=0 connections_shed=0 lines_taken=0 lines_skipped=0
    "#]]
    .assert_eq(&guest(vec![(10, source.clone()), (20, vec![b'x'; (1 << 20) + 1])]));
    expect![[r#"
        20 ended, connections_joined=1 connections_refused=0 connections_shed=0 lines_taken=0 lines_skipped=0
    "#]]
    .assert_eq(&guest(vec![(10, source), (20, b"RATE \xff\r\n".to_vec())]));
}

/// Guards descriptors and memory against unidentified connections that send nothing, half a message or an invalid one: each
/// is answered or closed within a time that counts from connecting.
#[test]
fn what_does_not_join_is_closed() {
    let mut told = guest(vec![]) + &guest(vec![(900, b"SOU".to_vec()), (1_200, b"RC".to_vec())]);
    for word in [
        "",
        "GET / HTTP/1.1",
        "SOURCE zone=b",
        "SOURCE",
        "LOAD zone=a server=s-1",
        "RATE proxy=1 class=b \
        tries=1 failed=0 span_ms=1",
        "{\"op\":\"clear\",\"table\":4}",
        "\u{1}\u{0}",
    ] {
        told += &guest(vec![(700, format!("{word}\r\n").into())]);
    }
    told += &guest(vec![(700, vec![b'x'; 5_000])]);
    let pings = (0..20).map(|at| (at * 300, b"PING\r\n".to_vec())).collect();
    told += &guest(pings);
    expect![[r#"
        1300 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        1300 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        700 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
        500 answered "PONG\r\nPONG\r\n"
        600 answered "PONG\r\n"
        900 answered "PONG\r\n"
        1200 answered "PONG\r\n"
        1500 answered "PONG\r\n"
        1800 ended, connections_joined=0 connections_refused=1 connections_shed=0 lines_taken=0 lines_skipped=0
    "#]].assert_eq(&told);
}

/// Guards collectors against hundreds of unidentified connections, and those that wait for a PONG against silent ones; a
/// collector that reconnects after a silence leaves no old connection behind.
#[test]
fn of_too_many_those_who_have_come_least_far_are_closed_first() {
    let told = for_ms(60_000, |trace| async move {
        let (mut guests, mut all, shed) = (Connections::default(), Vec::new(), Count::default());
        let (a, b) = (Stage::Joined(0), Stage::Joined(1));
        let (silent, pinged) = (Stage::Silent, Stage::Pinged);
        let four = [a, silent, pinged, silent, a, pinged, b, b, silent].map(|stage| (stage, 4));
        for (stage, most) in four.into_iter().chain([(a, 5), (silent, 9)]) {
            let room = guests.make_room(most, &shed);
            tokio::task::yield_now().await;
            all.retain(|(named, task): &(String, tokio::task::JoinHandle<()>)| {
                let ends = task.is_finished();
                if ends {
                    trace.note(&format!("closed {named}"));
                }
                !ends
            });
            let named = format!("{stage:?} of {}", all.len());
            trace.note(&format!("{named}: {}", if room { "taken" } else { "no room" }));
            if room {
                let task = tokio::task::spawn_local(std::future::pending());
                guests.take(ConnectionState::new(stage), task.abort_handle());
                all.push((named, task));
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    expect![[r#"
        0 Joined(0) of 0: taken
        1 Silent of 1: taken
        2 Pinged of 2: taken
        3 Silent of 3: taken
        4 closed Silent of 1
        4 Joined(0) of 3: taken
        5 closed Silent of 3
        5 Pinged of 3: taken
        6 closed Pinged of 2
        6 Joined(1) of 3: taken
        7 closed Pinged of 3
        7 Joined(1) of 3: taken
        8 Silent of 4: no room
        9 Joined(0) of 4: taken
        10 closed Joined(0) of 0
        10 Silent of 4: taken
    "#]]
    .assert_eq(&told);
}

/// Guards against a probe without a time-out, and against taking silence for an error.
#[test]
fn a_probe_tells_what_became_of_it_in_bounded_time() {
    let script: &[Dialled] = &[
        Dialled::Up(&[Answer("{\"inflight\":7,\"queue\":2,\"util\":0.61,\"new\":[]}")]),
        Dialled::Up(&[Answer("no report")]),
        Dialled::Up(&[Status(503, "")]),
        Dialled::Up(&[Break]),
        Dialled::Up(&[Silence]),
        Dialled::Refused,
        Dialled::Hangs,
    ];
    let trace = for_ms(10_000, |trace| async move {
        let dial = Peer::new(&trace, script);
        let connect_within = Duration::from_millis(250);
        let prober = Prober { path: "/load", connect_within, most: 1, ties: ties(&trace) };
        for host in 0..script.len() as u32 {
            let (outcome, report): (ProbeOutcome, _) = prober.probe(&dial, HOME).await;
            trace.note(&format!("{:?} {outcome:?} {:?}", HostId(host), report.utilization));
        }
    });
    let told: String =
        trace.lines().filter(|line| line.contains("HostId")).map(|line| format!("{line}\n")).collect();
    expect![[r#"
        0 HostId(0) Answered Some(0.61)
        0 HostId(1) Answered None
        0 HostId(2) Errored None
        0 HostId(3) Reset None
        305 HostId(4) TimedOut None
        305 HostId(5) Unreachable None
        560 HostId(6) Unreachable None
    "#]]
    .assert_eq(&told);
}

/// Guards the hosts at the end of a long list: with few probe slots and hosts that hang, each host gets its turn. A host that
/// is ordered again while it waits is not queued twice, so the queue is never longer than the list of hosts.
#[test]
fn of_more_hosts_than_places_each_is_probed_in_turn() {
    const HOSTS: u32 = 40;
    let told = for_ms(60_000, |trace| async move {
        let script: &[Dialled] = &[Dialled::Hangs; HOSTS as usize];
        let (connect_within, ties) = (Duration::from_millis(250), ties(&trace));
        let prober = Prober { path: "/load", connect_within, most: 4, ties: ties.clone() };
        let (order, probes) = tokio::sync::mpsc::channel(HOSTS as usize);
        tokio::task::spawn_local(prober.run(Rc::new(Peer::new(&trace, script)), probes));
        // Four probes at a time, a quarter of a second each: a round takes longer than the period.
        for _ in 0..2 {
            for host in (0..HOSTS).map(HostId) {
                order
                    .try_send(Probe { host, entry: Entry { dial: HOME, born_ms: 0.0 } })
                    .expect("room for a probe of each host");
            }
            sleep(Duration::from_secs(1)).await;
        }
        sleep(Duration::from_secs(10)).await;
        let count = |name: &str| {
            let told = ties.counters.to_string();
            told.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('=').map(String::from))
        };
        trace.note(&format!("probes {:?} merged {:?}", count("probes"), count("probes_merged")));
    });
    let of = |host: u32| told.matches(&format!("host: HostId({host}),")).count();
    assert!((0..HOSTS).all(|host| (1..=2).contains(&of(host))), "{told}");
    expect![[r#"12000 probes Some("56") merged Some("24")"#]].assert_eq(told.lines().last().unwrap_or(""));
}

/// Guards probes on an overloaded machine, where decisions take longer than the probe period: each decision orders a probe
/// of all hosts, and the prober runs only once between two decisions. Receiving 128 orders a run it fell behind forever,
/// and orders were rejected.
#[test]
fn a_prober_with_one_turn_between_two_decisions_takes_up_all_that_each_ordered() {
    const HOSTS: u32 = 600;
    let told = for_ms(60_000, |trace| async move {
        let (connect_within, ties) = (Duration::from_millis(250), ties(&trace));
        let prober = Prober { path: "/load", connect_within, most: 4, ties: ties.clone() };
        let (order, probes) = tokio::sync::mpsc::channel(3 * HOSTS as usize);
        let script: &[Dialled] = &[Dialled::Hangs; 8];
        tokio::task::spawn_local(prober.run(Rc::new(Peer::new(&trace, script)), probes));
        let mut unsent = 0;
        for _ in 0..40 {
            for host in (0..HOSTS).map(HostId) {
                unsent += u32::from(
                    order.try_send(Probe { host, entry: Entry { dial: HOME, born_ms: 0.0 } }).is_err(),
                );
            }
            tokio::task::yield_now().await;
        }
        trace.note(&format!("{unsent} turned away, {} merged", ties.counters.probes_merged.count()));
    });
    // All hosts without a slot wait, each once; the latest orders may not have been received yet.
    expect![[r#"0 0 turned away, 23396 merged"#]].assert_eq(told.lines().last().unwrap_or(""));
}

/// Guards the memory against an endless answer to a probe: the head of the answer shows that the host is up.
#[test]
fn of_an_answer_without_end_no_more_is_read_than_a_report_needs() {
    static LONG: std::sync::LazyLock<String> = std::sync::LazyLock::new(|| "x".repeat(40_000));
    let script: &'static [Dialled] =
        Box::leak(Box::new([Dialled::Up(Box::leak(Box::new([Observed, Say(&LONG), Wait(5_000)])))]));
    let told = for_ms(10_000, |trace| async move {
        let prober =
            Prober { path: "/load", connect_within: Duration::from_millis(250), most: 1, ties: ties(&trace) };
        let (outcome, report): (ProbeOutcome, _) = prober.probe(&Peer::new(&trace, script), HOME).await;
        trace.note(&format!("{outcome:?} {:?}", report.utilization));
    });
    assert!(told.ends_with("Answered None\n"), "{told}");
}
