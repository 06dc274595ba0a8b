//! Peers that break the protocol: invalid input closes that one connection or is skipped, and is counted.
//! No other connection is affected.

use std::time::Instant;

use serde_json::{json, Value};

use crate::stand_in::{host, list, orders, refusing_address, take, Exchange, Peer, TEST_TIMEOUT};
use crate::{closed, healthy_host, logged, peak_memory, Site, HOST_REPORT};

/// Counters of invalid input of collectors and unidentified connections; a missing one counts as zero.
const INVALID_INPUT_COUNTERS: &[&str] =
    &["lines_skipped", "connections_refused", "connections_shed", "collectors_closed"];

fn invalid_inputs(site: &Site) -> u64 {
    site.daemon.counter("connections");
    let log = site.daemon.log();
    let line = log.iter().rev().find(|line| line.contains("counters: ")).expect("the counters");
    let words = line.split([' ', ',']).filter_map(|word| word.split_once('='));
    let found = words.filter(|(name, _)| INVALID_INPUT_COUNTERS.contains(name));
    found.map(|(_, value)| value.parse::<u64>().expect("a count")).sum()
}

/// Guards against one invalid report that closes the collector, or harms other connections or the daemon.
#[test]
fn a_spoilt_sum_is_skipped_and_counted_and_the_next_is_taken() {
    let site = Site::up();
    let mut collector = site.collector();
    let load = |words: &str| format!("LOAD zone=east server=s-1 {words}");
    let lines = [
        "LOAD zone=east".to_string(),
        load("tries=-1 failed=0 mean_ms=1 span_ms=1"),
        load("tries=2 failed=3 mean_ms=1 span_ms=1"),
        load("tries=2 failed=1 span_ms=1"),
        load("tries=2 failed=1 mean_ms=1 span_ms=inf"),
        load("tries=2 failed=1 mean_ms=nan span_ms=1"),
        load("tries=2 failed=1 mean_ms=1e300 span_ms=1"),
        load("tries=99999999999999999999 failed=1 mean_ms=1 span_ms=1"),
        load("tries=2 failed=1 mean_ms=1 span_ms=1 load=util:-0.1"),
        load("tries=2 failed=1 mean_ms=1 span_ms=1 load=util"),
        HOST_REPORT.trim_end().replace("zone=east", "zone=north"),
        HOST_REPORT.trim_end().replace("s-1", "s-2"),
        "RATE proxy=70000 class=look tries=1 failed=0 span_ms=1".into(),
        "RATE proxy=64 class=look tries=1 failed=0 span_ms=1".into(),
        "RATE proxy=1 class=unknown tries=1 failed=0 span_ms=1".into(),
        "RATE proxy=1 class=look tries=1 failed=0 span_ms=nan".into(),
    ];
    for line in lines {
        let before = site.daemon.counter("lines_skipped");
        collector.write(format!("{line}\r\n").as_bytes());
        let after = site.daemon.counter_reaches("lines_skipped", before + 1);
        assert_eq!(after, before + 1, "{line}");
        site.assert_still_serves(&mut collector);
    }
}

/// Lines that are not messages of the protocol.
const INVALID_LINES: [&[u8]; 6] =
    [b"", b"HELLO", b"load zone=east", b"{\"op\":\"clear\"}", b"RATE \xff\xfe", b"\0\0\0"];

/// Guards against input that is not a message affecting anyone but its sender: an unidentified connection
/// is answered and counted, a collector is closed, and the zone's other collector is still served.
#[test]
fn what_is_no_message_ends_that_connection_alone() {
    let site = Site::up();
    let mut bystander = site.collector();
    for bytes in INVALID_LINES {
        let before = site.daemon.counter("connections_refused");
        let mut unidentified = site.daemon.dial();
        unidentified.write(&[bytes, b"\r\n"].concat());
        assert_eq!(closed(&mut unidentified), "NACK\r\n", "{bytes:?}");
        assert_eq!(site.daemon.counter("connections_refused"), before + 1, "{bytes:?}");
        let mut collector = site.collector();
        collector.write(&[bytes, b"\r\n", HOST_REPORT.as_bytes()].concat());
        assert_eq!(closed(&mut collector), "", "{bytes:?}");
        site.assert_still_serves(&mut bystander);
    }
    assert!(logged(&site.daemon, "closed a connection") >= 1);
}

/// Guards against collectors that connect and are closed again and again without any counter showing it.
#[test]
fn a_collector_that_is_closed_for_what_it_sends_is_counted() {
    let site = Site::up();
    let too_long = [b'x'; (1 << 20) + 1];
    for bytes in INVALID_LINES.into_iter().chain([&too_long[..]]) {
        let before = invalid_inputs(&site);
        let mut collector = site.collector();
        collector.write(&[bytes, b"\r\n"].concat());
        assert_eq!(closed(&mut collector), "");
        let start = &bytes[..bytes.len().min(20)];
        assert!(invalid_inputs(&site) > before, "nothing counts a collector that sent {start:?}");
    }
}

/// Invalid lines of the relay watch.
fn invalid_watch_lines() -> Vec<String> {
    let joins = |object: Value| json!({"type": "SUBSCRIBE", "object": object}).to_string();
    let applied = |object: Value| json!({"type": "ACK", "object": object}).to_string();
    vec![
        joins(json!({"proxy": 64, "zone": "east", "weight": 1.0, "fresh": true})),
        joins(json!({"proxy": 70_000, "zone": "east", "weight": 1.0, "fresh": true})),
        joins(json!({"proxy": -1, "zone": "east", "weight": 1.0, "fresh": true})),
        joins(json!({"proxy": "1", "zone": "east", "weight": 1.0, "fresh": true})),
        joins(json!({"proxy": 1, "zone": "north", "weight": 1.0, "fresh": true})),
        joins(json!({"proxy": 1, "zone": "east", "weight": "1", "fresh": true})),
        joins(json!({"proxy": 1, "zone": "east", "weight": null, "fresh": true})),
        joins(json!({"proxy": 1, "zone": "east", "weight": 1.0})),
        r#"{"type":"SUBSCRIBE","object":{"proxy":1,"zone":"east","weight":1e999,"fresh":true}}"#.into(),
        applied(json!({"proxy": 0, "mark": 1, "took_ms": -1.0})),
        applied(json!({"proxy": 9, "mark": 1, "took_ms": 1.0})),
        applied(json!({"proxy": 0, "mark": 70_000, "took_ms": 1.0})),
        r#"{"type":"ACK","object":{"proxy":0,"mark":1,"took_ms":1e999}}"#.into(),
        json!({"type": "CLOSED", "object": {"proxy": 70_000}}).to_string(),
        json!({"type": "GONE", "object": {"proxy": 0}}).to_string(),
        "not JSON".into(),
        "[]".into(),
        "{}{}".into(),
        String::new(),
        "[".repeat(100_000),
    ]
}

/// Guards against an invalid line that ends the watch, or removes the proxies that it reported.
#[test]
fn spoilt_news_is_skipped_and_counted_and_the_next_is_heard() {
    let site = Site::up();
    let mut collector = site.collector();
    site.watch.joined(0, "east", true);
    site.daemon.counter_reaches("joined", 1);
    for (place, line) in (1..).zip(invalid_watch_lines()) {
        let start: String = line.chars().take(90).collect();
        let before = site.daemon.counter("news_skipped");
        site.watch.send_line(&line);
        site.watch.joined(place + 20, "east", true);
        site.daemon.counter_reaches("joined", u64::from(place) + 1);
        assert_eq!(site.daemon.counter("news_skipped"), before + 1, "{start}");
    }
    assert_eq!((site.daemon.counter("left"), site.daemon.counter("watches")), (0, 1));
    site.assert_still_serves(&mut collector);
}

/// Guards against not counting the leaving of a proxy whose number is out of range: it shows that settings
/// and relay do not match.
#[test]
fn the_leaving_of_a_proxy_that_is_not_known_is_counted() {
    let site = Site::up();
    site.watch.left(64);
    site.watch.joined(0, "east", true);
    site.daemon.counter_reaches("joined", 1);
    assert_eq!(site.daemon.counter("news_skipped"), 1);
}

/// Guards against counting a call as taken, or giving it up, because of an answer that is invalid.
#[test]
fn a_spoilt_answer_of_the_relay_is_counted_as_unsure_and_the_call_repeated() {
    let site = Site::up();
    let mut collector = site.collector();
    let answers = [
        (200, r#"{"taken":60000}"#),
        (200, r#"{"taken":-1}"#),
        (200, r#"{"taken":"2"}"#),
        (200, r#"{"taken":null}"#),
        (200, r#"{"taken":1e999}"#),
        (200, r#"{"taken":0.5}"#),
        (200, ""),
        (200, "taken"),
        (200, "[]"),
        (200, r#"{"error":"FROB"}"#),
        (500, "fault"),
        (500, ""),
    ];
    for (proxy, (status, body)) in (0..).zip(answers) {
        let before = site.daemon.counter("calls_unsure");
        site.watch.joined(proxy, "east", true);
        let call = site.relay.call_with(|order| order["op"] == "bind" && order["proxy"] == proxy);
        let first = orders(&call);
        call.answer(status, body);
        let repeat = site.relay.call();
        assert_eq!(orders(&repeat)[..first.len()], first, "{status} {body}");
        take(repeat);
        site.daemon.counter_reaches("calls_unsure", before + 1);
        site.assert_still_serves(&mut collector);
    }
    assert_eq!(site.daemon.counter("orders_skipped"), 0);
}

/// The next call for the list, which may be one after an invalid answer.
fn list_call(site: &Site) -> Exchange {
    site.discovery.request("GET /v1/servers")
}

/// Guards against an invalid answer of discovery that discards the current list: it is counted, requested
/// again, and the next valid answer is used.
#[test]
fn a_spoilt_list_is_counted_and_asked_for_again() {
    let site = Site::up();
    let mut collector = site.collector();
    let at = healthy_host();
    let invalid_row = |key: &str, value: Value| {
        let mut row = host("s-1", at, "east");
        row[key] = value;
        list(2, true, &[row]).to_string()
    };
    let rows = [
        "".to_string(),
        "no list".into(),
        "[]".into(),
        r#"{"seq":2,"whole":true,"hosts":[{"host":"s-1"}]}"#.into(),
        r#"{"seq":-2,"whole":true,"hosts":[]}"#.into(),
        r#"{"seq":1e999,"whole":true,"hosts":[]}"#.into(),
        r#"{"seq":2,"whole":"yes","hosts":[]}"#.into(),
        r#"{"seq":2,"whole":true,"hosts":{}}"#.into(),
        invalid_row("health", json!("asleep")),
        invalid_row("share", json!("1")),
        invalid_row("share", json!(null)),
        invalid_row("block", json!(-1)),
        invalid_row("dial", json!(7)),
    ];
    for body in rows {
        let before = site.daemon.counter("list_failures");
        list_call(&site).answer(200, &body);
        let again = list_call(&site);
        assert!(site.daemon.counter("list_failures") > before, "{body}");
        again.answer(200, &list(2, true, &[host("s-1", at, "east")]).to_string());
        site.assert_still_serves(&mut collector);
    }
    assert_eq!(site.daemon.counter("lines_skipped"), 0, "the host was gone for a while");
}

/// Guards against dropping a valid list because one row is invalid or names a host twice.
#[test]
fn a_list_with_a_row_that_cannot_be_used_is_used_without_it() {
    let site = Site::up();
    let mut collector = site.collector();
    let (at, good) = (healthy_host(), |name: &str| host(name, healthy_host(), "east"));
    let lists = [
        (vec![host("s-9", at, "north"), good("s-1")], 1),
        (vec![good("s-1"), host("s-9", at, "")], 1),
        (vec![good("s-1"), good("s-1")], 0),
        (vec![good("s-1"), host("s-1", refusing_address(), "west"), good("s-1")], 0),
    ];
    for (seq, (rows, skipped)) in (2..).zip(lists) {
        let before = site.daemon.counter("list_skipped");
        list_call(&site).answer(200, &list(seq, true, &rows).to_string());
        let next = list_call(&site);
        assert_eq!(site.daemon.counter("list_skipped"), before + skipped, "{rows:?}");
        site.assert_still_serves(&mut collector);
        next.answer(200, &list(seq, false, &[]).to_string());
    }
    assert_eq!(site.daemon.counter("lines_skipped"), 0);
}

/// Guards against orders that no relay can use, and against panics, where a peer sends numbers that are
/// well-formed and out of any plausible range: proxies that join later are bound to tables with valid
/// weights.
#[test]
fn figures_beyond_all_measure_break_no_order_and_no_decision() {
    let site = Site::up();
    let mut collector = site.collector();
    let row = |name: &str, key: &str, value: Value| {
        let mut row = host(name, healthy_host(), "east");
        row[key] = value;
        row
    };
    let rows = [
        row("s-1", "share", json!(1e308)),
        row("s-2", "share", json!(1e308)),
        row("s-3", "share", json!(-1.0)),
        row("s-4", "share", json!(5e-324)),
        row("s-5", "born_ms", json!(1e308)),
        row("s-6", "born_ms", json!(-1e308)),
        row("s-7", "block", json!(u32::MAX)),
    ];
    list_call(&site).answer(200, &list(u64::MAX, true, &rows).to_string());
    list_call(&site).answer(200, &list(u64::MAX, false, &[]).to_string());
    let weighs = |proxy: u16, weight: f64| {
        let object = json!({"proxy": proxy, "zone": "east", "weight": weight, "fresh": true});
        site.watch.send_line(&json!({"type": "SUBSCRIBE", "object": object}).to_string());
    };
    weighs(0, 1e308);
    weighs(1, 1e308);
    weighs(2, -1e308);
    let most = u32::MAX;
    for line in [
        format!("LOAD zone=east server=s-1 tries={most} failed={most} mean_ms=4260000 span_ms=4260000"),
        format!("LOAD zone=east server=s-1 tries={most} failed=0 mean_ms=0 span_ms=0"),
        format!("RATE proxy=0 class=look tries={most} failed={most} span_ms=0"),
        "LOAD zone=east server=s-1 tries=0 failed=0 mean_ms=0 span_ms=5e-324 load=util:1e308".into(),
    ] {
        collector.write(format!("{line}\r\n").as_bytes());
    }
    site.daemon.counter_reaches("lines_taken", 4);
    for proxy in 3..6 {
        site.watch.joined(proxy, "east", true);
        let mut bound = false;
        while !bound {
            let call = site.relay.call();
            let all = orders(&call);
            for share in all.iter().filter(|order| order["op"] == "share") {
                assert!(share["weight"].as_f64().is_some_and(|weight| weight >= 0.0), "{share}");
            }
            bound = all.iter().any(|order| order["op"] == "bind" && order["proxy"] == proxy);
            take(call);
        }
    }
    assert_eq!(site.daemon.counter("panics"), 0, "{}", site.daemon.log().join("\n"));
    site.assert_still_serves(&mut collector);
}

/// Guards against an invalid answer to a probe: that probe fails, and other probes continue.
#[test]
fn a_spoilt_answer_to_a_probe_is_counted_as_failed() {
    let probed = Peer::listening();
    let rows = [host("s-1", probed.address, "east")];
    let site = Site::with(|configuration| configuration.with_known_hosts(1, &rows));
    let mut collector = site.collector();
    site.watch.joined(0, "east", true);
    let answers: [&[u8]; 7] = [
        b"what is this\r\n\r\n",
        b"HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf",
        b"HTTP/1.1 99",
        b"",
    ];
    for answer in answers {
        let mut probe = probed.request("GET ");
        let before = site.daemon.counter("probes_failed");
        probe.connection.write(answer);
        probe.connection.close();
        site.daemon.counter_reaches("probes_failed", before + 1);
        assert_eq!(site.daemon.counter("probes_passed"), 0, "{answer:?}");
        site.assert_still_serves(&mut collector);
    }
    let begun = Instant::now();
    while site.daemon.counter("probes_passed") == 0 {
        probed.request("GET ").answer(200, "");
        assert!(begun.elapsed() < TEST_TIMEOUT, "no probe passes any more");
    }
}

/// Guards log and memory against a peer that sends only invalid input, as fast as it can.
#[test]
fn a_flood_of_spoilt_lines_fills_neither_log_nor_memory() {
    const LINES: u64 = 100_000;
    let site = Site::up();
    let mut collector = site.collector();
    site.assert_still_serves(&mut collector);
    let before = peak_memory(&site.daemon);
    let unknown = HOST_REPORT.replace("s-1", "s-2");
    let invalid_lines =
        format!("LOAD zone=east\r\n{unknown}RATE proxy=70000 class=a tries=1 failed=0 span_ms=1\r\n");
    let watch_lines =
        "not JSON\n{\"type\":\"ACK\",\"object\":{\"proxy\":9,\"mark\":1,\"took_ms\":-1.0}}\n".repeat(100);
    let watch_lines = format!("{:x}\r\n{watch_lines}\r\n", watch_lines.len());
    for (lines, most) in [(LINES / 10, 50), (LINES, 100)] {
        let skipped = site.daemon.counter("lines_skipped");
        collector.write(invalid_lines.repeat(lines as usize / 3).as_bytes());
        site.daemon.counter_reaches("lines_skipped", skipped + lines / 3 * 3);
        let skipped = site.daemon.counter("news_skipped");
        site.watch.write(watch_lines.repeat(lines as usize / 200).as_bytes());
        site.daemon.counter_reaches("news_skipped", skipped + lines);
        let logged_lines = logged(&site.daemon, "skipped ") + logged(&site.daemon, "skipped,");
        assert!(logged_lines < most, "{logged_lines} lines of the log");
        site.assert_still_serves(&mut collector);
    }
    let grown = peak_memory(&site.daemon) - before;
    assert!(grown < 16 << 20, "{grown} bytes more");
}
