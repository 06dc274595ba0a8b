//! Calls to the relay whose answers are lost, late or partial, and proxies that move between controllers:
//! pairs of events that can cross, over real connections to the amberarch binary. `docs/crossing-events.md`
//! has the table. Each test forces the order of events by what its stand-ins send and withhold.

mod handovers;
mod retries;
#[path = "../stand_in/mod.rs"]
mod stand_in;

use std::net::SocketAddr;

use serde_json::{json, Value};
use stand_in::{host, orders, refusing_address, Configuration, Daemon, Exchange, Relay, RelayWatch};

/// One host in the zone of all proxies, which is never probed, and a discovery that refuses connections:
/// orders result only from proxies that join.
fn configuration(relay: SocketAddr) -> Configuration {
    Configuration::new(relay, refusing_address())
        .with("/settings/policyLimits/mayProbe", json!(false))
        .with("/settings/familyInfo/agents", json!(16))
        .with_known_hosts(1, &[host("h", refusing_address(), "east")])
}

/// A daemon with its relay; the watch is open and no proxy has joined.
struct Scene {
    relay: Relay,
    daemon: Daemon,
    watch: RelayWatch,
}

fn scene() -> Scene {
    scene_with(|configuration| configuration)
}

fn scene_with(change: impl FnOnce(Configuration) -> Configuration) -> Scene {
    let relay = Relay::listening();
    let daemon = Daemon::start_and_wait(&change(configuration(relay.address())));
    let watch = relay.watch();
    Scene { relay, daemon, watch }
}

impl Scene {
    /// Lets proxy 0 join; returns the call that binds it, unanswered.
    fn first_call(&self) -> Exchange {
        self.watch.joined(0, "east", true);
        self.relay.call_with(binds(0))
    }

    /// The next call, which has to begin with these orders.
    fn call_beginning_with(&self, expected: &[Value]) -> Exchange {
        let call = self.relay.call();
        assert_begins(&orders(&call), expected);
        call
    }

    /// Lets another proxy join and accepts calls until it is bound; returns the orders of all these
    /// calls.
    fn orders_until_bound(&self, other: u16) -> Vec<Value> {
        self.watch.joined(other, "east", true);
        let mut seen = Vec::new();
        loop {
            let call = self.relay.call();
            seen.extend(orders(&call));
            let done = bound(&orders(&call)).contains(&other);
            stand_in::take(call);
            if done {
                return seen;
            }
        }
    }
}

fn assert_begins(found: &[Value], expected: &[Value]) {
    assert!(found.starts_with(expected), "expected a call that begins with\n{expected:?}\nfound\n{found:?}");
}

/// Returns a predicate: whether an order binds that proxy.
fn binds(proxy: u16) -> impl Fn(&Value) -> bool {
    move |order| order["op"] == "bind" && order["proxy"] == proxy
}

/// The proxies that these orders bind, in order.
fn bound(orders: &[Value]) -> Vec<u16> {
    let binds = orders.iter().filter(|order| order["op"] == "bind");
    binds.map(|order| order["proxy"].as_u64().expect("a proxy") as u16).collect()
}

/// The marks that these orders request, in order.
fn marks(orders: &[Value]) -> Vec<u64> {
    let marks = orders.iter().filter(|order| order["op"] == "mark");
    marks.map(|order| order["nonce_out"].as_u64().expect("a mark")).collect()
}

/// The position of the first order that binds that proxy.
fn place_of_bind(orders: &[Value], proxy: u16) -> usize {
    orders.iter().position(binds(proxy)).expect("a bind")
}

/// Answers a call with its first `count` orders accepted and the next one refused.
fn answer_taken_count(call: Exchange, count: usize) {
    call.answer(200, &json!({"taken": count}).to_string());
}

/// Answers a call as rejected in whole, with that error.
fn reject_call(call: Exchange, error: &str) {
    call.answer(409, &json!({"error": error}).to_string());
}
