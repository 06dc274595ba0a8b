//! A daemon with one joined proxy, a discovery whose answers are the test's, and a relay that takes every order.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{
    host, list, nobody, orders, take, Configuration, Daemon, Exchange, Peer, Relay, RelayWatch, BOUND,
};

/// After a failure the list is asked for again 450 ms later at the soonest, so what comes sooner was asked at once.
pub const AT_ONCE: Duration = Duration::from_millis(400);
/// A failed call is followed by the next no sooner than that.
pub const PAUSE: Duration = Duration::from_millis(430);

pub struct Scene {
    pub daemon: Daemon,
    pub discovery: Peer,
    pub orders: Orders,
    _watch: RelayWatch,
}

impl Drop for Scene {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the daemon said:\n{}", self.daemon.log().join("\n"));
        }
    }
}

impl Scene {
    /// Watches wait for 0.5 s and count as silent after 2.5 s; no host is probed.
    pub fn of_lists() -> Scene {
        Scene::start(|configuration| {
            configuration
                .with("/settings/rules/askWithin", json!(1_000_000_000_u64))
                .with("/settings/policyLimits/mayProbe", json!(false))
        })
    }

    /// The hosts are probed each second; no watch counts as silent before 32 s are over.
    pub fn of_probes() -> Scene {
        Scene::start(|configuration| {
            configuration.with("/settings/rules/askWithin", json!(60_000_000_000_u64))
        })
    }

    fn start(change: impl FnOnce(Configuration) -> Configuration) -> Scene {
        let (relay, discovery) = (Relay::listening(), Peer::listening());
        let daemon = Daemon::up(&change(Configuration::new(relay.address(), discovery.address)));
        let watch = relay.watch();
        watch.joined(0, "east", true);
        Scene { daemon, discovery, orders: Orders::taken_at(relay), _watch: watch }
    }

    /// The lists' scene, where version 1 holds these hosts and the proxy is bound to their table.
    pub fn knowing(names: &[&str]) -> Scene {
        let scene = Scene::of_lists();
        scene.learn(&names.iter().map(|name| listed(name)).collect::<Vec<_>>());
        scene
    }

    /// Tells version 1 and waits until the proxy is bound.
    pub fn learn(&self, hosts: &[Value]) {
        self.next_call().answer(200, &list(1, true, hosts).to_string());
        self.orders.wait("a bind", |order| order["op"] == "bind");
    }

    /// The next call for the list, of whichever kind.
    pub fn next_call(&self) -> Exchange {
        self.discovery.request("GET /v1/servers")
    }

    /// A call of the lists' scene that has just begun: the one that is under way is answered without news.
    pub fn fresh_call(&self) -> Exchange {
        self.next_call().answer(200, &list(1, false, &[]).to_string());
        self.next_call()
    }

    /// Answers the next call, and waits until the daemon's decisions have heard of that version.
    pub fn tell(&self, seq: u64, whole: bool, hosts: &[Value]) {
        let call = self.next_call();
        self.answer(call, seq, whole, hosts);
    }

    /// Answers a call that was held, and waits until the daemon's decisions have heard of that version.
    pub fn answer(&self, call: Exchange, seq: u64, whole: bool, hosts: &[Value]) {
        call.answer(200, &list(seq, whole, hosts).to_string());
        self.heard_of(seq);
    }

    /// Waits until the daemon's decisions have heard of that version.
    pub fn heard_of(&self, seq: u64) {
        self.daemon.says(&format!("seq: {seq},"));
    }

    /// Answers the next call with the drain of a host, and waits until that host is withdrawn at the relay. Whatever
    /// was ordered before it has then been seen.
    pub fn drain(&self, seq: u64, name: &str) {
        self.next_call().answer(200, &drain(seq, name));
        self.orders.withdrawn(name);
    }

    pub fn withdrawn(&self, name: &str) -> bool {
        self.orders.any(|order| names(order, "withdraw", name))
    }
}

/// A host in service that nobody probes.
pub fn listed(name: &str) -> Value {
    host(name, nobody(), "east")
}

/// That host once more, with what is changed.
pub fn changed(mut host: Value, field: &str, to: Value) -> Value {
    host[field] = to;
    host
}

/// An answer with changes: one host is to be drained.
pub fn drain(seq: u64, name: &str) -> String {
    list(seq, false, &[changed(listed(name), "health", json!("terminating"))]).to_string()
}

/// A whole answer, byte by byte, with its length stated.
pub fn with_length(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A whole answer in one chunk.
pub fn in_chunks(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
        .into_bytes()
}

/// A whole answer that ends with its connection.
pub fn until_the_end(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").into_bytes()
}

/// How a stand-in ends a connection right behind what it wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Fin,
    Rst,
}

/// Writes that much of an answer and ends the connection.
pub fn write_and_end(mut call: Exchange, bytes: &[u8], end: End) {
    call.connection.write(bytes);
    match end {
        End::Fin => call.connection.finish(),
        End::Rst => call.connection.reset(),
    }
}

/// A host that passes every probe, for as long as the test runs.
pub fn healthy() -> SocketAddr {
    let peer = Peer::listening();
    let address = peer.address;
    passes_from_now_on(peer);
    address
}

pub fn passes_from_now_on(peer: Peer) {
    std::thread::spawn(move || loop {
        if let Some(probe) = peer.request_within("GET /healthz", BOUND) {
            probe.answer(200, "");
        }
    });
}

pub fn names(order: &Value, op: &str, server: &str) -> bool {
    order["op"] == op && order["server"] == server
}

/// What the relay was ordered. It takes each call at once.
pub struct Orders {
    taken: Arc<(Mutex<Vec<Value>>, Condvar)>,
}

impl Orders {
    fn taken_at(relay: Relay) -> Orders {
        let taken: Arc<(Mutex<Vec<Value>>, Condvar)> = Arc::default();
        let into = Arc::downgrade(&taken);
        std::thread::spawn(move || {
            while let Some(into) = into.upgrade() {
                if let Some(call) = relay.peer.request_within("POST /txn", Duration::from_millis(100)) {
                    let new = orders(&call);
                    take(call);
                    into.0.lock().expect("the orders").extend(new);
                    into.1.notify_all();
                }
            }
        });
        Orders { taken }
    }

    /// Waits for the first order that is wanted.
    pub fn wait(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let (until, (taken, news)) = (Instant::now() + BOUND, &*self.taken);
        let mut taken = taken.lock().expect("the orders");
        loop {
            if let Some(order) = taken.iter().find(|order| wanted(order)) {
                return order.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no order came for {what}: {taken:?}");
            taken = news.wait_timeout(taken, left).expect("the orders").0;
        }
    }

    pub fn withdrawn(&self, name: &str) {
        self.wait(&format!("withdraw {name}"), |order| names(order, "withdraw", name));
    }

    pub fn restored(&self, name: &str) {
        self.wait(&format!("restore {name}"), |order| names(order, "restore", name));
    }

    /// Whether such an order has come so far.
    pub fn any(&self, wanted: impl Fn(&Value) -> bool) -> bool {
        self.taken.0.lock().expect("the orders").iter().any(wanted)
    }
}
