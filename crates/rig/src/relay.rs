//! Stand-in for a controller's relay: accepts calls with orders, delivers them to the joined proxies, and reports events
//! on its watch.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::{json, Value};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::address::Block;
use crate::pen::now_ns;
use crate::proxies::Deployment;
use crate::serve::{full, lines, serve, Body};
use crate::wire::{read_order, Names};
use crate::Fault;

pub struct Relay {
    deployment: Rc<Deployment>,
    controller: usize,
    pub up: watch::Sender<bool>,
    /// Acknowledgements of marks are dropped.
    pub drops_acks: Cell<bool>,
    readers: RefCell<Vec<mpsc::UnboundedSender<String>>>,
    tables: RefCell<BTreeMap<TableId, BTreeMap<HostId, f64>>>,
    gated: RefCell<BTreeSet<HostId>>,
    levels: RefCell<Vec<Order>>,
    pub calls: Cell<u64>,
    /// Log of calls and watch events, to analyse a run; not part of the histories.
    log: RefCell<File>,
}

impl Relay {
    /// # Errors
    /// Fails if it can't listen on its address.
    pub async fn start(
        block: &Block,
        controller: usize,
        deployment: &Rc<Deployment>,
        log: &Path,
    ) -> Result<Rc<Relay>, Fault> {
        let log = RefCell::new(File::create(log).map_err(|why| Fault::Io("a relay's file", why))?);
        let relay = Rc::new(Relay {
            deployment: deployment.clone(),
            controller,
            up: watch::Sender::new(true),
            drops_acks: Cell::new(false),
            readers: RefCell::default(),
            tables: RefCell::default(),
            gated: RefCell::default(),
            levels: RefCell::default(),
            calls: Cell::new(0),
            log,
        });
        let answers = relay.clone();
        serve(block.relay(controller), relay.up.subscribe(), move |request| answers.clone().answer(request))
            .await?;
        let heartbeats = relay.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                heartbeats.broadcast("{}".into());
            }
        });
        Ok(relay)
    }

    /// Drops all tables, for a controller that restarts.
    pub fn forget(&self) {
        self.tables.borrow_mut().clear();
        self.gated.borrow_mut().clear();
        self.levels.borrow_mut().clear();
    }

    fn broadcast(&self, line: String) {
        if line != "{}" {
            let _ = writeln!(self.log.borrow_mut(), "{{\"at\":{},\"told\":{line}}}", now_ns());
        }
        self.readers.borrow_mut().retain(|reader| reader.send(line.clone()).is_ok());
    }

    pub fn applied(&self, proxy: u16, mark: u16, took: f64) {
        if !self.drops_acks.get() {
            let object = json!({"proxy": proxy, "mark": mark, "took_ms": took});
            self.broadcast(json!({"type": "ACK", "object": object}).to_string());
        }
    }

    fn joined(&self, proxy: u16, fresh: bool) -> String {
        let zone = self.deployment.zone(proxy);
        let object = json!({"proxy": proxy, "zone": zone, "weight": 20.0, "fresh": fresh});
        json!({"type": "SUBSCRIBE", "object": object}).to_string()
    }

    pub fn add_proxy(&self, proxy: u16) {
        let fresh = self.deployment.fresh(proxy);
        self.deployment.join(proxy, self.controller, &self.current_orders());
        self.broadcast(self.joined(proxy, fresh));
    }

    pub fn remove_proxy(&self, proxy: u16) {
        self.deployment.leave(proxy);
        self.broadcast(json!({"type": "CLOSED", "object": {"proxy": proxy}}).to_string());
    }

    pub fn members(&self) -> Vec<u16> {
        self.deployment
            .proxies()
            .filter(|proxy| self.deployment.at(*proxy) == Some(self.controller))
            .collect()
    }

    /// Orders that reproduce the relay's current state.
    fn current_orders(&self) -> Vec<Order> {
        let tables = self.tables.borrow();
        let shares = tables.iter().flat_map(|(table, lines)| {
            lines.iter().map(|(host, weight)| Order::SetEntry { table: *table, host: *host, weight: *weight })
        });
        let gated = self.gated.borrow();
        // Restored hosts are included: a proxy that comes from another controller may still have them withdrawn.
        let hosts = (0..self.deployment.hosts.len() as u32).map(HostId);
        let gates = hosts.map(|host| Order::Withdraw { host, withdrawn: gated.contains(&host) });
        shares.chain(gates).chain(self.levels.borrow().iter().cloned()).collect()
    }

    async fn answer(self: Rc<Relay>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/watch" {
            let (to, from) = mpsc::unbounded_channel();
            for proxy in self.members() {
                let _ = to.send(self.joined(proxy, self.deployment.fresh(proxy)));
            }
            self.readers.borrow_mut().push(to);
            return lines(from);
        }
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let Ok(call) = serde_json::from_slice::<Value>(&body) else {
            return full(&json!({"error": "SYNTAX"}));
        };
        self.calls.set(self.calls.get() + 1);
        let _ = writeln!(self.log.borrow_mut(), "{{\"at\":{},\"call\":{call}}}", now_ns());
        let changes = call["changes"].as_array().cloned().unwrap_or_default();
        let orders: Vec<Order> = changes.iter().map_while(|order| read_order(order, self.as_ref())).collect();
        let taken = orders.len();
        orders.iter().for_each(|order| self.store(order));
        let orders = Rc::new(orders);
        self.members().into_iter().for_each(|proxy| self.deployment.send(proxy, &orders));
        full(&json!({"taken": taken}))
    }

    fn store(&self, order: &Order) {
        match order {
            Order::SetEntry { table, host, weight } => {
                let mut tables = self.tables.borrow_mut();
                let table = tables.entry(*table).or_default();
                match *weight > 0.0 {
                    true => drop(table.insert(*host, *weight)),
                    false => drop(table.remove(host)),
                }
            }
            Order::ClearTable { table } => drop(self.tables.borrow_mut().remove(table)),
            Order::Withdraw { host, withdrawn: true } => drop(self.gated.borrow_mut().insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.gated.borrow_mut().remove(host)),
            Order::Admit { table, classes, .. } => {
                let mut levels = self.levels.borrow_mut();
                let same = |other: &Order| matches!(other, Order::Admit { table: t, classes: p, .. } if t == table && p == classes);
                levels.retain(|other| !same(other));
                levels.push(order.clone());
            }
            _ => {}
        }
    }
}

impl Names for Relay {
    fn host(&self, name: &str) -> Option<HostId> {
        Some(HostId(self.deployment.hosts.iter().position(|host| host.name == name)? as u32))
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        Some(ClassId(self.deployment.classes.iter().position(|class| class.name == name)? as u16))
    }

    fn joined(&self, proxy: ProxyId) -> bool {
        self.deployment.at(proxy.0) == Some(self.controller)
    }
}
