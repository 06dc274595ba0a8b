//! A daemon with one joined proxy, a discovery whose answers the test writes, and a relay that accepts
//! every order.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{
    host, list, orders, refusing_address, take, Configuration, Daemon, Exchange, Peer, Relay, RelayWatch,
    TEST_TIMEOUT,
};

/// After a failure the list is requested again no sooner than 450 ms later, so a call within this time was
/// made without a pause.
pub const IMMEDIATE: Duration = Duration::from_millis(400);
/// The shortest time between a failed call and the next one.
pub const RETRY_PAUSE: Duration = Duration::from_millis(430);

pub struct Scene {
    pub daemon: Daemon,
    pub discovery: Peer,
    pub orders: Orders,
    _watch: RelayWatch,
}

impl Drop for Scene {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the daemon's log:\n{}", self.daemon.log().join("\n"));
        }
    }
}

impl Scene {
    /// A daemon whose list watches wait for 0.5 s and count as silent after 2.5 s, and which probes no
    /// host.
    pub fn for_lists() -> Scene {
        Scene::start(|configuration| {
            configuration
                .with("/settings/rules/askWithin", json!(1_000_000_000_u64))
                .with("/settings/policyLimits/mayProbe", json!(false))
        })
    }

    /// A daemon that probes its hosts each second and whose list watch counts as silent only after 32
    /// s.
    pub fn for_probes() -> Scene {
        Scene::start(|configuration| {
            configuration.with("/settings/rules/askWithin", json!(60_000_000_000_u64))
        })
    }

    fn start(change: impl FnOnce(Configuration) -> Configuration) -> Scene {
        let (relay, discovery) = (Relay::listening(), Peer::listening());
        let daemon = Daemon::start_and_wait(&change(Configuration::new(relay.address(), discovery.address)));
        let watch = relay.watch();
        watch.joined(0, "east", true);
        Scene { daemon, discovery, orders: Orders::taken_at(relay), _watch: watch }
    }

    /// A scene for lists, where version 1 has these hosts and the proxy is bound to their table.
    pub fn with_hosts(names: &[&str]) -> Scene {
        let scene = Scene::for_lists();
        scene.answer_first_list(&names.iter().map(|name| listed(name)).collect::<Vec<_>>());
        scene
    }

    /// Answers with version 1 of the list and waits until the proxy is bound.
    pub fn answer_first_list(&self, hosts: &[Value]) {
        self.next_call().answer(200, &list(1, true, hosts).to_string());
        self.orders.wait("a bind", |order| order["op"] == "bind");
    }

    /// The next call for the list, full or for changes.
    pub fn next_call(&self) -> Exchange {
        self.discovery.request("GET /v1/servers")
    }

    /// A call that has just begun: the one in progress is answered with no changes.
    pub fn fresh_call(&self) -> Exchange {
        self.next_call().answer(200, &list(1, false, &[]).to_string());
        self.next_call()
    }

    /// Answers the next call, and waits until the controller has received that version.
    pub fn answer_next(&self, seq: u64, whole: bool, hosts: &[Value]) {
        let call = self.next_call();
        self.answer(call, seq, whole, hosts);
    }

    /// Answers a held call, and waits until the controller has received that version.
    pub fn answer(&self, call: Exchange, seq: u64, whole: bool, hosts: &[Value]) {
        call.answer(200, &list(seq, whole, hosts).to_string());
        self.wait_for_version(seq);
    }

    /// Waits until the controller has received that version.
    pub fn wait_for_version(&self, seq: u64) {
        self.daemon.wait_for_log(&format!("seq: {seq},"));
    }

    /// Answers the next call with the drain of a host, and waits until the relay receives its
    /// withdrawal. All orders before it have then been received too.
    pub fn drain(&self, seq: u64, name: &str) {
        self.next_call().answer(200, &drain(seq, name));
        self.orders.withdrawn(name);
    }

    pub fn withdrawn(&self, name: &str) -> bool {
        self.orders.any(|order| is_order_for(order, "withdraw", name))
    }
}

/// A host in service at an address that refuses connections.
pub fn listed(name: &str) -> Value {
    host(name, refusing_address(), "east")
}

/// The host entry with one field changed.
pub fn changed(mut host: Value, field: &str, to: Value) -> Value {
    host[field] = to;
    host
}

/// An answer with one change: the host is draining.
pub fn drain(seq: u64, name: &str) -> String {
    list(seq, false, &[changed(listed(name), "health", json!("terminating"))]).to_string()
}

/// A complete answer with its length stated.
pub fn with_length(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A complete answer in one chunk.
pub fn in_chunks(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
        .into_bytes()
}

/// A complete answer that is delimited by the close of its connection.
pub fn until_close(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").into_bytes()
}

/// How a stand-in ends a connection directly after what it wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Fin,
    Rst,
}

/// Writes these bytes of an answer and ends the connection.
pub fn write_and_end(mut call: Exchange, bytes: &[u8], end: End) {
    call.connection.write(bytes);
    match end {
        End::Fin => call.connection.half_close(),
        End::Rst => call.connection.reset(),
    }
}

/// The address of a host that passes every probe for the rest of the test.
pub fn healthy() -> SocketAddr {
    let peer = Peer::listening();
    let address = peer.address;
    passes_from_now_on(peer);
    address
}

pub fn passes_from_now_on(peer: Peer) {
    std::thread::spawn(move || loop {
        if let Some(probe) = peer.request_within("GET /healthz", TEST_TIMEOUT) {
            probe.answer(200, "");
        }
    });
}

pub fn is_order_for(order: &Value, op: &str, server: &str) -> bool {
    order["op"] == op && order["server"] == server
}

/// The orders that the relay received. It accepts each call at once.
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

    /// Waits for the first order that matches.
    pub fn wait(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let (until, (taken, changed)) = (Instant::now() + TEST_TIMEOUT, &*self.taken);
        let mut taken = taken.lock().expect("the orders");
        loop {
            if let Some(order) = taken.iter().find(|order| wanted(order)) {
                return order.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no order came for {what}: {taken:?}");
            taken = changed.wait_timeout(taken, left).expect("the orders").0;
        }
    }

    pub fn withdrawn(&self, name: &str) {
        self.wait(&format!("withdraw {name}"), |order| is_order_for(order, "withdraw", name));
    }

    pub fn restored(&self, name: &str) {
        self.wait(&format!("restore {name}"), |order| is_order_for(order, "restore", name));
    }

    /// Whether a matching order was received so far.
    pub fn any(&self, wanted: impl Fn(&Value) -> bool) -> bool {
        self.taken.0.lock().expect("the orders").iter().any(wanted)
    }
}
