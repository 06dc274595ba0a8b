//! The service on loopback with clients that follow the protocol and clients that violate it.

mod peer;

use std::time::Duration;

use amberarch_core::HostId;
use amberarch_intake_grpc::wire::{Batch, Load};
use amberarch_intake_grpc::Bounds;
use peer::{hello, stand, Reporter, BOUNDS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use tonic::Code;

#[tokio::test]
async fn a_report_becomes_a_belief_and_paces_come_back() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut client = stood.client().await;
    let mut reporter = Reporter::open(&mut client, hello("agent", 3)).await.unwrap();
    let paces = reporter.answer().await;
    assert_eq!(paces.paces.iter().map(|pace| pace.host).collect::<Vec<_>>(), [0, 1, 2]);
    let report = reporter.report(1, 0.75);
    reporter.send(vec![report]).await;
    let believed = stood.believed(1).await.expect("a belief");
    assert!((believed.load - 0.75).abs() < 1e-9 && believed.sure == 1.0 && believed.age < 2_000.0);
    // The application's own utilization takes precedence where it is set (as in the published report).
    let mut report = reporter.report(2, 0.1);
    report.load = Some(Load { application_utilization: 1.25, ..report.load.unwrap() });
    reporter.send(vec![report]).await;
    assert!((stood.believed(2).await.expect("a belief").load - 1.25).abs() < 1e-9);
}

#[tokio::test]
async fn a_probe_overtakes_reports_that_come_after_it() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut reporter = Reporter::proven(&mut stood.client().await, "agent", 1).await;
    let late = reporter.report(0, 9.0);
    sleep(Duration::from_millis(700)).await;
    stood.witness.seen(HostId(0), stood.start.elapsed().as_secs_f64() * 1e3);
    sleep(Duration::from_millis(300)).await;
    reporter.send(vec![late]).await;
    let fresh = reporter.report(0, 0.2);
    reporter.send(vec![fresh]).await;
    assert!((stood.believed(0).await.expect("a belief").load - 0.2).abs() < 1e-9);
    assert!(stood.counts.to_string().contains("Overtaken=1 "), "{}", stood.counts);
}

#[tokio::test]
async fn spoilt_figures_and_strange_hosts_are_refused_and_the_stream_goes_on() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut reporter = Reporter::proven(&mut stood.client().await, "agent", 12).await;
    let mut reports = Vec::new();
    for load in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        reports.push(reporter.report(0, load));
    }
    let mut without = reporter.report(0, 0.5);
    without.load = None;
    reports.push(without);
    // s-10 and s-11 are not listed; index 99 was never named.
    reports.extend([reporter.report(11, 0.5), reporter.report(99, 0.5), reporter.report(3, 0.5)]);
    reporter.send(reports).await;
    assert!(stood.believed(3).await.is_some());
    let counts = stood.counts.to_string();
    assert!(counts.contains("Unfit=5 UnknownHost=2 "), "{counts}");
    // Once listed, it is known at once.
    stood.list(12);
    sleep(Duration::from_millis(300)).await;
    let report = reporter.report(11, 0.5);
    reporter.send(vec![report]).await;
    assert!(stood.believed(11).await.is_some());
}

#[tokio::test]
async fn messages_that_break_a_bound_end_their_stream_and_no_other() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut client = stood.client().await;
    let mut good = Reporter::proven(&mut client, "good", 1).await;
    let ends = |batch: Batch| {
        let mut client = client.clone();
        async move {
            let mut reporter = Reporter::open(&mut client, batch).await.expect("a stream");
            let status = timeout(Duration::from_secs(5), reporter.ended()).await.expect("an end");
            (status.code(), status.message().to_string())
        }
    };
    let bare = Batch { hello: None, ..hello("x", 0) };
    assert_eq!(ends(bare).await, (Code::InvalidArgument, "the first message has no hello".into()));
    let (code, why) = ends(hello("many", 21)).await;
    assert_eq!((code, why.as_str()), (Code::InvalidArgument, "21 hosts of one reporter, 20 at most"));
    let (code, _) = ends(hello("", 1)).await;
    assert_eq!(code, Code::InvalidArgument);
    let mut large = Reporter::proven(&mut client, "large", 1).await;
    let reports = (0..51).map(|_| large.report(0, 0.5)).collect();
    large.send(reports).await;
    let status = timeout(Duration::from_secs(5), large.ended()).await.expect("an end");
    assert_eq!(status.message(), "51 reports in a batch, 50 at most");
    let mut huge = Reporter::proven(&mut client, "huge", 1).await;
    let reports = (0..2_000).map(|_| huge.report(0, 0.5)).collect();
    huge.send(reports).await;
    let status = timeout(Duration::from_secs(5), huge.ended()).await.expect("an end");
    assert_eq!(status.code(), Code::OutOfRange, "{status:?}");
    let mut twice = Reporter::proven(&mut client, "twice", 1).await;
    twice.to.send(hello("twice", 1)).await.unwrap();
    assert_eq!(twice.ended().await.message(), "a second hello");
    let report = good.report(0, 0.5);
    good.send(vec![report]).await;
    assert!(stood.believed(0).await.is_some());
}

#[tokio::test]
async fn connections_and_reporters_over_the_number_are_told_so() {
    let bounds = Bounds { connections: 2, reporters: 3, ..BOUNDS };
    let stood = stand(bounds);
    let mut clients = [stood.client().await, stood.client().await];
    let mut held = Vec::new();
    for (number, client) in [0, 1, 0].into_iter().enumerate() {
        held.push(Reporter::proven(&mut clients[client], &format!("agent-{number}"), 1).await);
    }
    let mut fourth = Reporter::open(&mut clients[1], hello("agent-4", 1)).await.unwrap();
    let status = timeout(Duration::from_secs(5), fourth.ended()).await.expect("an end");
    assert_eq!(status.code(), Code::ResourceExhausted);
    // A third connection is closed at once.
    let mut stranger = TcpStream::connect(stood.at).await.unwrap();
    let read = timeout(Duration::from_secs(5), stranger.read(&mut [0; 16])).await.expect("a close");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    // A connection that ends frees its permit and its reporter's.
    drop(held.remove(0));
    sleep(Duration::from_millis(300)).await;
    drop(Reporter::proven(&mut clients[0], "agent-5", 1).await);
}

/// Guards against a queue that grows for each reporter that does not read.
#[tokio::test]
async fn a_reader_that_does_not_read_its_paces_finds_the_newest() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut reporter = Reporter::proven(&mut stood.client().await, "agent", 10).await;
    let before = stood.counts.messages_of_paces.get();
    // Every change of the list changes all paces.
    for hosts in (1..=10).cycle().take(20) {
        stood.list(hosts);
        let report = reporter.report(0, 0.5);
        reporter.send(vec![report]).await;
        sleep(Duration::from_millis(150)).await;
    }
    assert!(stood.counts.messages_of_paces.get() - before <= 8, "{}", stood.counts);
    assert!(stood.believed(0).await.is_some(), "its reports are read all the same");
}

/// Guards the CPU against a client that sends as fast as it can: it is read less and less often.
#[tokio::test]
async fn a_flood_is_slowed_down_by_not_being_read() {
    let mut stood = stand(BOUNDS);
    sleep(Duration::from_millis(300)).await;
    let mut client = stood.client().await;
    let mut good = Reporter::proven(&mut client, "good", 2).await;
    let mut flood = Reporter::proven(&mut stood.client().await, "flood", 1).await;
    let (start, mut sent) = (Instant::now(), 0u64);
    while start.elapsed() < Duration::from_secs(3) {
        let reports: Vec<_> = (0..50).map(|_| flood.report(0, 0.5)).collect();
        let batch = Batch { hello: None, sent_ms: flood.clock(), echo: flood.echo, reports };
        // Where there is no room it waits a little; the total that it could send is checked below.
        if flood.to.try_send(batch).is_ok() {
            sent += 50;
        }
        sleep(Duration::from_micros(200)).await;
    }
    let read = stood.counts.reports.get();
    assert!(stood.counts.rests.get() >= 4, "{}", stood.counts);
    assert!(read < 2_000 && sent < 40_000, "{read} read of {sent} sent");
    let report = good.report(1, 0.5);
    good.send(vec![report]).await;
    assert!(stood.believed(1).await.is_some());
}

/// A connection that never finishes its first frame holds a permit for 20 s at most.
#[tokio::test]
async fn half_a_frame_is_closed_in_time_and_strangers_at_once() {
    let stood = stand(BOUNDS);
    let mut half = TcpStream::connect(stood.at).await.unwrap();
    half.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00").await.unwrap();
    let mut stranger = TcpStream::connect(stood.at).await.unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut all = Vec::new();
    let ended = timeout(Duration::from_secs(5), stranger.read_to_end(&mut all)).await;
    assert!(ended.is_ok(), "a stranger is closed");
    let start = Instant::now();
    let ended = timeout(Duration::from_secs(30), half.read_to_end(&mut all)).await;
    assert!(ended.is_ok(), "half a frame is closed, after {:?}", start.elapsed());
}
