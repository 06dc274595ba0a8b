//! Stand-in hosts: each answers probes at its own address and serves txns from proxies. Also their discovery.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use amberarch_histories::What;
use hyper::StatusCode;
use serde_json::{json, Value};
use tokio::sync::watch;

use crate::address::Block;
use crate::pen::HistoryWriter;
use crate::serve::{full, serve};
use crate::Fault;

pub struct Host {
    pub name: String,
    pub zone: String,
    /// The host rejects every request, which proves that the request did not run.
    pub down: Cell<bool>,
    /// When its process last started, Unix time in ms; 0: long ago.
    pub born_ms: Cell<u64>,
    dial: std::net::SocketAddr,
}

impl Host {
    /// # Errors
    /// Fails if it can't listen on its address.
    pub async fn start(
        block: &Block,
        number: usize,
        zone: &str,
        up: watch::Receiver<bool>,
    ) -> Result<Rc<Host>, Fault> {
        let dial = block.host(number);
        let host = Rc::new(Host {
            name: format!("h{number}"),
            zone: zone.into(),
            down: Cell::new(false),
            born_ms: Cell::new(0),
            dial,
        });
        let probed = host.clone();
        serve(dial, up, move |_| {
            let mut answer = full(&json!({"inflight": 1, "queue": 0, "util": 0.2}));
            if probed.down.get() {
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            async move { answer }
        })
        .await?;
        Ok(host)
    }

    /// Records that a txn is served. Returns false if the host is down.
    pub fn serve(&self, txn: u64, history: &HistoryWriter) -> bool {
        if !self.down.get() {
            history.write(format!("host:{}", self.name), What::Served { txn, zone: self.zone.clone() });
        }
        !self.down.get()
    }

    pub fn row(&self) -> Value {
        json!({"host": self.name, "dial": self.dial.to_string(), "site": self.zone, "class": "plain", "block": 0,
            "health": "in_service", "share": 1.0, "born_ms": self.born_ms.get()})
    }
}

/// Discovery stand-in: lists the hosts that are not down. A long poll waits for a list later than the one it names or for
/// its timeout. `version` counts the lists.
///
/// # Errors
/// Fails if it can't listen on its address.
pub async fn discovery(
    block: &Block,
    hosts: &[Rc<Host>],
    up: watch::Receiver<bool>,
    version: watch::Receiver<u64>,
) -> Result<(), Fault> {
    let hosts: Rc<Vec<Rc<Host>>> = Rc::new(hosts.to_vec());
    serve(block.discovery(), up, move |request| {
        let (hosts, mut version) = (hosts.clone(), version.clone());
        async move {
            let query = request.uri().query().unwrap_or("").to_string();
            let word = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse().ok());
            let (after, wait): (Option<u64>, Option<u64>) = (word("after="), word("wait_ms="));
            if let Some(after) = after {
                let wait = Duration::from_millis(wait.unwrap_or(0));
                let newer = tokio::time::timeout(wait, version.wait_for(|seq| *seq > after)).await;
                if !matches!(newer, Ok(Ok(_))) {
                    return full(&json!({"seq": after, "whole": false, "hosts": []}));
                }
            }
            let seq = *version.borrow();
            let rows: Vec<Value> =
                hosts.iter().filter(|host| !host.down.get()).map(|host| host.row()).collect();
            full(&json!({"seq": seq, "whole": true, "hosts": rows}))
        }
    })
    .await
}
