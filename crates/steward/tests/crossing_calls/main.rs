//! Calls to the relay beside answers that are lost, late or partial, and proxies that move between stewards: pairs of
//! events that can cross, on real connections against the program itself. `docs/crossing-events.md` has the table. Each
//! test forces its order by what its stand-ins say and withhold.

mod handovers;
mod retries;
#[path = "../stand_in/mod.rs"]
mod stand_in;

use std::net::SocketAddr;

use serde_json::{json, Value};
use stand_in::{host, nobody, orders, Configuration, Daemon, Exchange, Relay, RelayWatch};

/// One host in the zone of all proxies, which is never probed, and a discovery that refuses: no order comes up but for
/// proxies that join.
fn configuration(relay: SocketAddr) -> Configuration {
    Configuration::new(relay, nobody())
        .with("/settings/policyLimits/mayProbe", json!(false))
        .with("/settings/familyInfo/agents", json!(16))
        .knowing(1, &[host("h", nobody(), "east")])
}

/// A daemon with its relay; the watch stands and nobody has joined.
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
    let daemon = Daemon::up(&change(configuration(relay.address())));
    let watch = relay.watch();
    Scene { relay, daemon, watch }
}

impl Scene {
    /// Proxy 0 joins; gives the call that binds it, unanswered.
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

    /// Lets another proxy join and takes calls until that one is bound; gives the orders of all of them.
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

/// Whether an order binds that proxy.
fn binds(proxy: u16) -> impl Fn(&Value) -> bool {
    move |order| order["op"] == "bind" && order["proxy"] == proxy
}

/// The proxies that these orders bind, in their order.
fn bound(orders: &[Value]) -> Vec<u16> {
    let binds = orders.iter().filter(|order| order["op"] == "bind");
    binds.map(|order| order["proxy"].as_u64().expect("a proxy") as u16).collect()
}

/// The marks that these orders ask for, in their order.
fn marks(orders: &[Value]) -> Vec<u64> {
    let marks = orders.iter().filter(|order| order["op"] == "mark");
    marks.map(|order| order["nonce_out"].as_u64().expect("a mark")).collect()
}

/// Where in these orders that proxy is bound first.
fn place_of_bind(orders: &[Value], proxy: u16) -> usize {
    orders.iter().position(binds(proxy)).expect("a bind")
}

/// The relay takes the first orders of the call and refuses the next.
fn take_only(call: Exchange, count: usize) {
    call.answer(200, &json!({"taken": count}).to_string());
}

/// The relay turns the call back whole.
fn turn_back(call: Exchange, error: &str) {
    call.answer(409, &json!({"error": error}).to_string());
}
