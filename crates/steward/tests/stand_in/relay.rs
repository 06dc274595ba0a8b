//! A stand-in for the relay: the test lets proxies join and leave, and answers calls at once or holds them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;

use crate::stand_in::{Connection, Exchange, Peer};

/// Shorter than the time after which the daemon takes the relay watch for silent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);

pub struct Relay {
    pub peer: Peer,
}

impl Relay {
    pub fn listening() -> Relay {
        Relay { peer: Peer::listening() }
    }

    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Accepts the next watch request and writes the head of its answer.
    pub fn watch(&self) -> RelayWatch {
        let mut exchange = self.peer.request("GET /watch");
        exchange.connection.begin_chunked();
        RelayWatch::new(exchange.connection)
    }

    /// The next call that carries orders, for the test to answer or not. Calls before it that carry no
    /// orders are answered.
    pub fn call(&self) -> Exchange {
        loop {
            let call = self.peer.request("POST /txn");
            if !orders(&call).is_empty() {
                return call;
            }
            take(call);
        }
    }

    /// Accepts calls until one carries a wanted order; returns that call unanswered.
    pub fn call_with(&self, wanted: impl Fn(&Value) -> bool) -> Exchange {
        loop {
            let call = self.call();
            if orders(&call).iter().any(&wanted) {
                return call;
            }
            take(call);
        }
    }
}

/// The orders that a call carries.
pub fn orders(call: &Exchange) -> Vec<Value> {
    let body: Value = serde_json::from_str(&call.body).expect("a call of JSON");
    body["changes"].as_array().expect("a list of orders").clone()
}

/// Answers a call as accepted, with all of its orders.
pub fn take(call: Exchange) -> Connection {
    let taken = orders(&call).len();
    call.answer(200, &format!("{{\"taken\":{taken}}}"))
}

/// An open watch that sends keepalives until it is dropped or told to stop.
pub struct RelayWatch {
    connection: Arc<Mutex<Connection>>,
    keepalives: Arc<AtomicBool>,
    pub number: usize,
}

impl RelayWatch {
    /// Wraps a connection on which the head of the answer has been written already.
    pub fn new(connection: Connection) -> RelayWatch {
        let number = connection.number;
        let (connection, keepalives) = (Arc::new(Mutex::new(connection)), Arc::new(AtomicBool::new(true)));
        let (shared, enabled) = (connection.clone(), keepalives.clone());
        std::thread::spawn(move || {
            while Arc::strong_count(&shared) > 1 {
                if enabled.load(Ordering::SeqCst) {
                    shared.lock().expect("a connection").chunk("{}\n");
                }
                std::thread::sleep(KEEPALIVE_INTERVAL);
            }
        });
        RelayWatch { connection, keepalives, number }
    }

    /// Stops the keepalives.
    pub fn stop_keepalives(&self) {
        self.keepalives.store(false, Ordering::SeqCst);
    }

    pub fn send_line(&self, line: &str) {
        self.connection.lock().expect("a connection").chunk(&format!("{line}\n"));
    }

    pub fn joined(&self, proxy: u16, zone: &str, fresh: bool) {
        self.send_line(&format!(
            r#"{{"type":"SUBSCRIBE","object":{{"proxy":{proxy},"zone":"{zone}","weight":20.0,"fresh":{fresh}}}}}"#
        ));
    }

    pub fn left(&self, proxy: u16) {
        self.send_line(&format!(r#"{{"type":"CLOSED","object":{{"proxy":{proxy}}}}}"#));
    }

    pub fn applied(&self, proxy: u16, mark: u64) {
        self.send_line(&format!(
            r#"{{"type":"ACK","object":{{"proxy":{proxy},"mark":{mark},"took_ms":200.0}}}}"#
        ));
    }

    /// Writes raw bytes to the connection.
    pub fn write(&self, bytes: &[u8]) {
        self.connection.lock().expect("a connection").write(bytes);
    }

    pub fn reset(self) {
        self.stop_keepalives();
        self.connection.lock().expect("a connection").duplicate().reset();
    }

    pub fn close(self) {
        self.stop_keepalives();
        self.connection.lock().expect("a connection").duplicate().close();
    }
}
