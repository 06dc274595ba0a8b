//! Shutdown, restart and reload while other events are in progress: pairs of events that can cross, over
//! real connections to the amberarch binary. `docs/crossing-events.md` has the table. Each test forces the
//! order of events by what its stand-ins send and withhold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use stand_in::{host, orders, take, Client, Configuration, Daemon, Peer, Relay, RelayWatch};

mod reload;
mod restart;
mod shutdown;
#[path = "../stand_in/mod.rs"]
mod stand_in;

/// The platform's time between SIGTERM and SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(700);
/// By the service's documentation, nine in ten restarted processes are ready within this time.
const READY: Duration = Duration::from_secs(10);

/// A host in service that nobody connects to in these tests.
fn serving(name: &str) -> Value {
    host(name, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)), "east")
}

fn terminating(name: &str) -> Value {
    let mut row = serving(name);
    row["health"] = json!("terminating");
    row
}

/// Two hosts are known from the start, in version 7 of the list, and are not probed.
fn configuration(relay: SocketAddr, discovery: SocketAddr) -> Configuration {
    Configuration::new(relay, discovery)
        .with("/settings/policyLimits/mayProbe", json!(false))
        .with_known_hosts(7, &[serving("one"), serving("two")])
}

/// A daemon whose proxy 0 is bound, its configuration, its relay, and the relay watch.
fn with_bound_proxy(discovery: &Peer) -> (Daemon, Configuration, Relay, RelayWatch) {
    let relay = Relay::listening();
    let configuration = configuration(relay.address(), discovery.address);
    let daemon = Daemon::start_and_wait(&configuration);
    let watch = relay.watch();
    watch.joined(0, "east", true);
    bound(&relay, &[0], "one");
    (daemon, configuration, relay, watch)
}

/// Accepts calls until each of these proxies is bound to a table that contains that host; returns the
/// orders of all these calls.
fn bound(relay: &Relay, proxies: &[u16], server: &str) -> Vec<Value> {
    let mut tables: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let (mut binds, mut seen) = (BTreeMap::new(), Vec::new());
    let holds = |table: Option<&u64>, tables: &BTreeMap<u64, BTreeSet<String>>| {
        table.and_then(|table| tables.get(table)).is_some_and(|hosts| hosts.contains(server))
    };
    while !proxies.iter().all(|proxy| holds(binds.get(proxy), &tables)) {
        let call = relay.call();
        for order in orders(&call) {
            let table = order["table"].as_u64();
            match (order["op"].as_str(), table) {
                (Some("clear"), Some(table)) => drop(tables.remove(&table)),
                (Some("clear"), None) => tables.clear(),
                (Some("share"), Some(table)) => {
                    let (hosts, name) = (tables.entry(table).or_default(), order["server"].as_str());
                    let name = name.expect("a host").to_string();
                    match order["weight"].as_f64() {
                        Some(weight) if weight > 0.0 => hosts.insert(name),
                        _ => hosts.remove(&name),
                    };
                }
                (Some("bind"), Some(table)) => {
                    let proxy = order["proxy"].as_u64().expect("a proxy");
                    binds.insert(proxy as u16, table);
                }
                _ => {}
            }
            seen.push(order);
        }
        take(call);
    }
    seen
}

/// Accepts calls until that host is withdrawn.
fn withdrawn(relay: &Relay, server: &str) {
    take(relay.call_with(|order| order["op"] == "withdraw" && order["server"] == server));
}

/// Checks that it ended by itself, with exit code 0 and before the platform would send SIGKILL.
fn assert_exits_cleanly(daemon: &mut Daemon) {
    let (code, took) = daemon.ended();
    assert_eq!(code, Some(0), "{}", daemon.log().join("\n"));
    assert!(took < TERM_TO_KILL, "{took:?}");
}

fn terminate_cleanly(daemon: &mut Daemon) {
    daemon.signal("-TERM");
    assert_exits_cleanly(daemon);
}

/// Stops the daemon (SIGSTOP) while `what` runs, so that it finds all the results at once.
fn while_stopped(daemon: &Daemon, what: impl FnOnce()) {
    daemon.signal("-STOP");
    let until = Instant::now() + stand_in::TEST_TIMEOUT;
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", daemon.id())).expect("its state");
        stat.rsplit(") ").next().and_then(|rest| rest.chars().next())
    };
    while state() != Some('T') {
        assert!(Instant::now() < until, "it does not stop");
        std::thread::yield_now();
    }
    what();
    daemon.signal("-CONT");
}

/// Waits until the daemon has closed the connection; returns what was received before.
fn closed(client: &mut Client) -> String {
    let begun = Instant::now();
    let received = client.ended();
    assert!(begun.elapsed() < stand_in::TEST_TIMEOUT, "the connection is still open");
    received
}

/// A counter of the line that is logged at the end; the counters were requested `asked` times before.
fn final_counter(daemon: &Daemon, asked: usize, name: &str) -> u64 {
    let line = daemon.wait_for_log_count("counters: ", asked + 1);
    let value = line.split(&format!(" {name}=")).nth(1).and_then(|rest| rest.split(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no counter {name} in {line}"))
}
