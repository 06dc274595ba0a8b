//! Shutdown, restart and reload beside what else is under way: pairs of events that can cross, on real connections
//! against the program itself. `docs/crossing-events.md` has the table. Each test forces its order by what its
//! stand-ins say and withhold.

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

/// Between SIGTERM and SIGKILL on the platform.
const TERM_TO_KILL: Duration = Duration::from_millis(700);
/// The service page: nine in ten restarted processes are ready within it.
const READY: Duration = Duration::from_secs(10);

/// A host in service that nobody dials in these tests.
fn serving(name: &str) -> Value {
    host(name, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)), "east")
}

fn terminating(name: &str) -> Value {
    let mut row = serving(name);
    row["health"] = json!("terminating");
    row
}

/// Two hosts are known from the start, in version 7 of the list, and nobody probes them.
fn configuration(relay: SocketAddr, discovery: SocketAddr) -> Configuration {
    Configuration::new(relay, discovery)
        .with("/settings/policyLimits/mayProbe", json!(false))
        .knowing(7, &[serving("one"), serving("two")])
}

/// A daemon whose proxy 0 is bound, its relay, and the relay's watch.
fn settled(discovery: &Peer) -> (Daemon, Configuration, Relay, RelayWatch) {
    let relay = Relay::listening();
    let configuration = configuration(relay.address(), discovery.address);
    let daemon = Daemon::up(&configuration);
    let watch = relay.watch();
    watch.joined(0, "east", true);
    bound(&relay, &[0], "one");
    (daemon, configuration, relay, watch)
}

/// Takes calls until each of these proxies is bound to a table that holds that host; gives the orders of all of them.
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

/// Takes calls until that host is shut out.
fn withdrawn(relay: &Relay, server: &str) {
    take(relay.call_with(|order| order["op"] == "withdraw" && order["server"] == server));
}

/// Ended by itself, with exit code 0 and before SIGKILL would come.
fn ended_well(daemon: &mut Daemon) {
    let (code, took) = daemon.ended();
    assert_eq!(code, Some(0), "{}", daemon.log().join("\n"));
    assert!(took < TERM_TO_KILL, "{took:?}");
}

fn terminated_well(daemon: &mut Daemon) {
    daemon.signal("-TERM");
    ended_well(daemon);
}

/// Holds the daemon still while `what` is done, so that it finds all of that at once.
fn at_once(daemon: &Daemon, what: impl FnOnce()) {
    daemon.signal("-STOP");
    let until = Instant::now() + stand_in::BOUND;
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", daemon.id())).expect("its state");
        stat.rsplit(") ").next().and_then(|rest| rest.chars().next())
    };
    while state() != Some('T') {
        assert!(Instant::now() < until, "it does not stand still");
        std::thread::yield_now();
    }
    what();
    daemon.signal("-CONT");
}

/// Waits until the daemon has closed it; gives what it said before.
fn closed(client: &mut Client) -> String {
    let begun = Instant::now();
    let said = client.ended();
    assert!(begun.elapsed() < stand_in::BOUND, "the connection still stands");
    said
}

/// A counter of the last line, after the end; `asked` times the counters were asked for before.
fn at_the_end(daemon: &Daemon, asked: usize, name: &str) -> u64 {
    let line = daemon.says_times("counters: ", asked + 1);
    let value = line.split(&format!(" {name}=")).nth(1).and_then(|rest| rest.split(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no counter {name} in {line}"))
}
