//! The amberarch binary with its guard, over sockets: discovery, hosts, and a relay that records the orders
//! it receives.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use amberarch_core::*;
use amberarch_operator::{Guard as Section, GuardMode};
use amberarch_steward::clock::UnixClock;
use amberarch_steward::config;
use amberarch_steward::counters::{Counters, Seldom};
use amberarch_steward::desk::{Desk, Make};
use amberarch_steward::guard::Keeper;
use amberarch_steward::heard::{Heard, Listing, News, Out, Ties};
use amberarch_steward::http::{Kept, Tcp};
use amberarch_steward::news::Follow;
use amberarch_steward::relay::{Gate, Gated, Relay};
use amberarch_steward::spread::Spread;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use tokio::sync::{mpsc, watch};

use daemon::Daemon;

mod daemon;

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    at
}

/// Answers each request according to its first line and body.
fn answer(stream: TcpStream, respond: impl Fn(&str, &[u8]) -> Option<String>) {
    let Ok(mut writing) = stream.try_clone() else { return };
    let mut reading = BufReader::new(stream);
    loop {
        let (mut first, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reading.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(bytes) = lower.strip_prefix("content-length:") {
                length = bytes.trim().parse().unwrap_or(0);
            }
            if first.is_empty() {
                first = line.clone();
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        if reading.read_exact(&mut body).is_err() {
            return;
        }
        let Some(body) = respond(&first, &body) else { return };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        if writing.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// The state of the proxies after the calls so far, and how many calls left a proxy without a usable host.
#[derive(Default)]
struct ProxyState {
    lines: BTreeMap<(u64, String), f64>,
    out: BTreeMap<String, bool>,
    binds: BTreeMap<u64, u64>,
    served: bool,
    without_host: u32,
}

impl ProxyState {
    fn call(&mut self, orders: &[Value]) {
        for order in orders {
            let host = || order["server"].as_str().unwrap_or_default().to_string();
            let table = order["table"].as_u64().unwrap_or_default();
            match order["op"].as_str() {
                Some("share") => {
                    let weight = order["weight"].as_f64().unwrap_or_default();
                    self.lines.insert((table, host()), weight);
                }
                Some("clear") => self.lines.retain(|line, _| line.0 != table),
                Some("withdraw") => drop(self.out.insert(host(), true)),
                Some("restore") => drop(self.out.insert(host(), false)),
                Some("bind") => drop(self.binds.insert(order["proxy"].as_u64().unwrap_or_default(), table)),
                _ => {}
            }
        }
        let open = |(of, host): &(u64, String), weight: &f64, table: u64| {
            *of == table && *weight > 0.0 && self.out.get(host) != Some(&true)
        };
        let serves = |table: &u64| self.lines.iter().any(|(line, weight)| open(line, weight, *table));
        let all = !self.binds.is_empty() && self.binds.values().all(serves);
        self.without_host += u32::from(self.served && !all);
        self.served |= all;
    }
}

struct Proxies {
    at: SocketAddr,
    held: Arc<Mutex<ProxyState>>,
}

/// A relay with two proxies, which apply each order at once.
fn relay() -> Proxies {
    let held: Arc<Mutex<ProxyState>> = Arc::default();
    let watchers: Arc<Mutex<Vec<Sender<String>>>> = Arc::default();
    let theirs = held.clone();
    let at = listen(move |mut stream| {
        let mut first = [0; 10];
        if stream.peek(&mut first).is_ok() && first.starts_with(b"GET /watch") {
            let (to, from) = channel();
            watchers.lock().expect("the watchers").push(to);
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let joined = |proxy: u16| {
                json!({"type": "SUBSCRIBE", "object": {"proxy": proxy, "zone": "east", "weight": 10.0, "fresh": true}}).to_string()
            };
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            let mut say = |line: &str| {
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                stream.write_all(chunk.as_bytes()).is_ok()
            };
            if !say(&joined(0)) || !say(&joined(1)) {
                return;
            }
            loop {
                let line: String =
                    from.recv_timeout(Duration::from_millis(500)).unwrap_or_else(|_| "{}".into());
                if !say(&line) {
                    return;
                }
            }
        }
        let (held, watchers) = (theirs.clone(), watchers.clone());
        answer(stream, move |_, body| {
            let call: Value = serde_json::from_slice(body).ok()?;
            let orders = call["changes"].as_array()?;
            held.lock().expect("the state of the proxies").call(orders);
            for mark in orders.iter().filter(|order| order["op"] == "mark") {
                for proxy in 0..2 {
                    let object = json!({"proxy": proxy, "mark": mark["nonce_out"], "took_ms": 1.0});
                    let line = json!({"type": "ACK", "object": object}).to_string();
                    watchers.lock().expect("the watchers").iter().for_each(|to| drop(to.send(line.clone())));
                }
            }
            Some(json!({"taken": orders.len()}).to_string())
        });
    });
    Proxies { at, held }
}

fn row(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "east", "class": "plain", "block": 0,
        "health": health, "share": 1.0, "born_ms": 1.0})
}

fn start(mode: &str, discovery: SocketAddr, relay: SocketAddr, dir: &Path) -> Daemon {
    let usual = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    let text = std::fs::read_to_string(usual).expect("the example's configuration");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["relay"]["address"] = json!(relay.to_string());
    std::fs::write(dir.join("config.json"), config.to_string()).expect("a file");
    std::fs::write(dir.join("operator.toml"), format!("[guard]\nmode = \"{mode}\"\n")).expect("a file");
    Daemon::start(dir, Path::new("config.json"), discovery)
}

/// The only host starts to drain in the same list that adds its successor. Returns how many calls left a
/// proxy without a usable host, and the log.
fn drained(mode: &str) -> (u32, String) {
    let dir = tempfile::tempdir().expect("a folder");
    let host = || listen(|stream| answer(stream, |_, _| Some("{}".into())));
    let (a, b) = (host(), host());
    let list = Arc::new(Mutex::new((1, vec![row("a", a, "in_service")])));
    let theirs = list.clone();
    let discovery = listen(move |stream| {
        let list = theirs.clone();
        answer(stream, move |_, _| {
            // Like a discovery without changes, it waits before it answers.
            std::thread::sleep(Duration::from_millis(50));
            let list = list.lock().expect("the list").clone();
            Some(json!({"seq": list.0, "whole": true, "hosts": list.1}).to_string())
        });
    });
    let relay = relay();
    let daemon = start(mode, discovery, relay.at, dir.path());
    daemon.wait("serves", || relay.held.lock().expect("the state of the proxies").served);
    *list.lock().expect("the list") = (2, vec![row("a", a, "terminating"), row("b", b, "in_service")]);
    let names = |host: &str| {
        let held = relay.held.lock().expect("the state of the proxies");
        let named = held.lines.iter().any(|(line, weight)| line.1 == host && *weight > 0.0);
        (named, held.out.get(host) == Some(&true))
    };
    daemon.wait("goes over to the other", || names("b") == (true, false) && names("a").1);
    // SIGUSR1 requests the counters.
    let pid = daemon.child.id().to_string();
    let sent = Command::new("kill").args(["-USR1", &pid]).status().expect("a signal");
    assert!(sent.success());
    if mode != "off" {
        daemon.wait("shows its counts", || daemon.log().contains("guard: batches="));
    }
    let without_host = relay.held.lock().expect("the state of the proxies").without_host;
    (without_host, daemon.log())
}

#[test]
fn the_only_host_drains_as_its_successor_is_listed_and_nobody_is_left_with_nothing() {
    let (without_host, log) = drained("enforce");
    assert_eq!(without_host, 0, "{log}");
    assert!(!log.contains("start anew"), "{log}");
}

#[test]
fn off_there_is_no_guard() {
    let (_, log) = drained("off");
    assert!(!log.contains("guard"), "{log}");
}

/// A faulty controller: half a second after the two proxies joined it withdraws the only host that serves,
/// and adds the other host another half second later.
struct WithdrawsTooEarly;

impl Decide for WithdrawsTooEarly {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let (table, number) = (TableId(0), |event: &Event| match event {
            Event::ProxyJoined { proxy, .. } => Some(u64::from(proxy.0)),
            Event::TimerExpired { timer } => Some(10 + timer.0),
            _ => None,
        });
        let orders = |number| match number {
            0 | 1 => vec![
                Order::SetEntry { table, host: HostId(0), weight: 1.0 },
                Order::Bind { proxy: ProxyId(number as u16), table, classes: ClassSet(0b11) },
                Order::StartTimer { after: 500.0, timer: TimerId(number) },
                Order::Mark { mark: MarkId(number as u16), all_proxies: false },
            ],
            11 => vec![
                Order::Withdraw { host: HostId(0), withdrawn: true },
                Order::StartTimer { after: 500.0, timer: TimerId(2) },
                Order::Mark { mark: MarkId(2), all_proxies: false },
            ],
            12 => vec![
                Order::SetEntry { table, host: HostId(1), weight: 1.0 },
                Order::Mark { mark: MarkId(3), all_proxies: false },
            ],
            _ => vec![],
        };
        events.iter().filter_map(number).flat_map(orders).collect()
    }
}

/// Returns how many calls left a proxy without a usable host, whether the host was withdrawn in the end,
/// and what the guard counted.
fn early_withdrawal(mode: GuardMode) -> (u32, bool, String) {
    let relay = relay();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let held = relay.held.clone();
    let shown = tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (counters, log) = (Rc::new(Counters::default()), Logger::root(Discard, o!()));
        let (desk, heard) = mpsc::channel(64);
        let (to_relay, replies) = mpsc::channel(64);
        let (list, _asks) = mpsc::channel(64);
        let (probes, _probed) = mpsc::channel(64);
        let (ready, _serves) = watch::channel(false);
        let (_moves, at) = watch::channel(relay.at);
        let ties = Ties { desk, counters: counters.clone(), signs: Rc::default(), log: log.clone() };
        let config =
            std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json"));
        let config =
            config::parse(&config.expect("the example's configuration"), |_| None).expect("a configuration");
        let settings = config.guard_facts().expect("settings");
        let rows =
            ["a", "b"].map(|host| serde_json::from_value(row(host, relay.at, "in_service")).expect("a row"));
        let known = Listing { seq: 1, whole: true, hosts: rows.into() };
        let out = Out { relay: to_relay, list, probes, witness: None };
        let keeper = Keeper::new(&Section { mode, txns_per_s_per_weight: None }, settings, &log);
        let shown = keeper.as_ref().map(Keeper::shown);
        let make: Make = Box::new(|_| Box::new(WithdrawsTooEarly));
        let mut event_loop =
            Desk::new((make, 1), config.labels, known, UnixClock::reading(1e12), out, counters, log);
        if let Some(keeper) = keeper {
            event_loop = event_loop.guarded(keeper);
        }
        let gate: Rc<Gate> = Rc::default();
        let line = Kept::new(Gated { dial: Tcp, gate: gate.clone() }, at.clone(), Duration::from_millis(250));
        let calls = Relay { line, gate, spread: Spread::new(1), ties: ties.clone() };
        let connect_within = Duration::from_millis(250);
        let relay_watch = Follow {
            dial: Tcp,
            peer: at,
            connect_within,
            ready,
            skipped: Seldom::default(),
            spread: Spread::new(2),
            ties,
        };
        tokio::task::spawn_local(event_loop.run(heard));
        tokio::task::spawn_local(calls.run(replies));
        tokio::task::spawn_local(relay_watch.run());
        let begun = Instant::now();
        let done =
            |held: &ProxyState| held.out.get("a") == Some(&true) && held.lines.contains_key(&(0, "b".into()));
        while !done(&held.lock().expect("the state of the proxies"))
            && begun.elapsed() < Duration::from_secs(10)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        shown.map_or(String::new(), |shown| shown.to_string())
    });
    let held = relay.held.lock().expect("the state of the proxies");
    (held.without_host, held.out.get("a") == Some(&true), shown)
}

#[test]
fn the_only_host_is_shut_out_ahead_of_its_successor_and_the_guard_holds_that_back() {
    let (without_host, out, counted) = early_withdrawal(GuardMode::Off);
    assert!(
        without_host > 0 && out && counted.is_empty(),
        "the unguarded fault has no effect: {without_host} {out}"
    );
    let (without_host, out, counted) = early_withdrawal(GuardMode::Watch);
    assert!(
        without_host > 0
            && out
            && counted.contains(" bare=1 ")
            && counted.contains("no proxy is left bare: proxy 0"),
        "{counted}"
    );
    let (without_host, out, counted) = early_withdrawal(GuardMode::Enforce);
    assert!(
        without_host == 0 && out && counted.contains(" bare=1 ") && counted.contains(" anew=0 "),
        "{without_host} {out} {counted}"
    );
}

/// A controller that binds each proxy as it joins, each time with another mark.
struct BindsEach(u16);

impl Decide for BindsEach {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let joined = |event: &Event| match event {
            Event::ProxyJoined { proxy, .. } => Some(*proxy),
            _ => None,
        };
        let (table, classes) = (TableId(0), ClassSet(0b11));
        let mut orders: Vec<Order> = events
            .iter()
            .filter_map(joined)
            .flat_map(|proxy| {
                let line = Order::SetEntry { table, host: HostId(0), weight: 1.0 };
                [line, Order::Bind { proxy, table, classes }]
            })
            .collect();
        if !orders.is_empty() {
            orders.push(Order::Mark { mark: MarkId(self.0), all_proxies: false });
            self.0 += 1;
        }
        orders
    }
}

/// Returns the guard's counts of errors in its own model, after a proxy acknowledged two marks, the later
/// one first.
fn two_marks_answered(as_one: bool) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (counters, log) = (Rc::new(Counters::default()), Logger::root(Discard, o!()));
        let (desk, heard) = mpsc::channel(64);
        let (to_relay, mut replies) = mpsc::channel(64);
        let (list, _asks) = mpsc::channel(64);
        let (probes, _probed) = mpsc::channel(64);
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
        let config = std::fs::read_to_string(example).expect("the example's configuration");
        let config = config::parse(&config, |_| None).expect("a configuration");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let host = serde_json::from_value(row("a", nowhere, "in_service")).expect("a row");
        let known = Listing { seq: 1, whole: true, hosts: vec![host] };
        let section = Section { mode: GuardMode::Watch, txns_per_s_per_weight: None };
        let keeper = Keeper::new(&section, config.guard_facts().expect("settings"), &log).expect("a guard");
        let shown = keeper.shown();
        let make: Make = Box::new(|_| Box::new(BindsEach(0)));
        let out = Out { relay: to_relay, list, probes, witness: None };
        let event_loop =
            Desk::new((make, 1), config.labels, known, UnixClock::reading(1e12), out, counters, log)
                .guarded(keeper);
        tokio::task::spawn_local(event_loop.run(heard));
        let joined = |proxy| News::Joined { proxy, zone: "east".into(), weight: 10.0, fresh: true };
        let tell = |heard| async { desk.send(heard).await.expect("the desk hears") };
        let mut reply = async || {
            let reply = tokio::time::timeout(Duration::from_secs(20), replies.recv()).await;
            reply.expect("a reply in time").expect("a reply")
        };
        let (mut marks, mut place) = (vec![], 0);
        for proxy in 0..2 {
            tell(Heard::News(joined(proxy))).await;
            let reply = reply().await;
            marks.extend(reply.mark);
            place = reply.ruled.place;
        }
        if as_one {
            tell(Heard::Together { marks: marks.clone() }).await;
        }
        tell(Heard::Answered { place }).await;
        for mark in marks.iter().rev() {
            tell(Heard::News(News::Applied { proxy: 0, mark: mark.0, took_ms: 1.0 })).await;
        }
        // The result is reported with the next reply.
        tell(Heard::News(joined(2))).await;
        reply().await;
        shown.to_string()
    })
}

#[test]
fn marks_that_went_as_one_are_answered_in_any_order() {
    let counted = two_marks_answered(true);
    assert!(counted.contains(" wrong=0"), "{counted}");
    let counted = two_marks_answered(false);
    assert!(counted.contains(" wrong=1"), "one by one they come in order: {counted}");
}
