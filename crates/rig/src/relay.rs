//! A steward's relay: takes its calls of orders, carries them to the proxies that are joined, and tells the news.

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
use crate::proxies::World;
use crate::serve::{full, lines, serve, Body};
use crate::wire::{read_order, Names};
use crate::Fault;

pub struct Relay {
    world: Rc<World>,
    steward: usize,
    pub up: watch::Sender<bool>,
    /// Answers to marks are lost.
    pub loses_marks: Cell<bool>,
    readers: RefCell<Vec<mpsc::UnboundedSender<String>>>,
    tables: RefCell<BTreeMap<TableId, BTreeMap<HostId, f64>>>,
    out: RefCell<BTreeSet<HostId>>,
    levels: RefCell<Vec<Order>>,
    pub calls: Cell<u64>,
    /// What came and what was told, beside the histories: for whoever looks into a run.
    kept: RefCell<File>,
}

impl Relay {
    /// # Errors
    /// Its address can't be listened at.
    pub async fn stand(
        block: &Block,
        steward: usize,
        world: &Rc<World>,
        kept: &Path,
    ) -> Result<Rc<Relay>, Fault> {
        let kept = RefCell::new(File::create(kept).map_err(|why| Fault::Io("a relay's file", why))?);
        let relay = Rc::new(Relay {
            world: world.clone(),
            steward,
            up: watch::Sender::new(true),
            loses_marks: Cell::new(false),
            readers: RefCell::default(),
            tables: RefCell::default(),
            out: RefCell::default(),
            levels: RefCell::default(),
            calls: Cell::new(0),
            kept,
        });
        let answers = relay.clone();
        serve(block.relay(steward), relay.up.subscribe(), move |request| answers.clone().answer(request))
            .await?;
        let signs = relay.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                signs.say("{}".into());
            }
        });
        Ok(relay)
    }

    /// The steward starts anew: its tables are its own.
    pub fn forget(&self) {
        self.tables.borrow_mut().clear();
        self.out.borrow_mut().clear();
        self.levels.borrow_mut().clear();
    }

    fn say(&self, line: String) {
        if line != "{}" {
            let _ = writeln!(self.kept.borrow_mut(), "{{\"at\":{},\"told\":{line}}}", now_ns());
        }
        self.readers.borrow_mut().retain(|reader| reader.send(line.clone()).is_ok());
    }

    pub fn applied(&self, proxy: u16, mark: u16, took: f64) {
        if !self.loses_marks.get() {
            let object = json!({"proxy": proxy, "mark": mark, "took_ms": took});
            self.say(json!({"type": "ACK", "object": object}).to_string());
        }
    }

    fn joined(&self, proxy: u16, fresh: bool) -> String {
        let zone = self.world.zone(proxy);
        let object = json!({"proxy": proxy, "zone": zone, "weight": 20.0, "fresh": fresh});
        json!({"type": "SUBSCRIBE", "object": object}).to_string()
    }

    pub fn takes_in(&self, proxy: u16) {
        let fresh = self.world.fresh(proxy);
        self.world.joins(proxy, self.steward, &self.stands());
        self.say(self.joined(proxy, fresh));
    }

    pub fn lets_go(&self, proxy: u16) {
        self.world.leaves(proxy);
        self.say(json!({"type": "CLOSED", "object": {"proxy": proxy}}).to_string());
    }

    pub fn members(&self) -> Vec<u16> {
        self.world.proxies().filter(|proxy| self.world.at(*proxy) == Some(self.steward)).collect()
    }

    /// All orders that amount to what the relay holds.
    fn stands(&self) -> Vec<Order> {
        let tables = self.tables.borrow();
        let shares = tables.iter().flat_map(|(tbl, lines)| {
            lines.iter().map(|(host, weight)| Order::SetEntry { table: *tbl, host: *host, weight: *weight })
        });
        let out = self.out.borrow();
        // One that it let in again is let in at a proxy that comes from elsewhere too.
        let hosts = (0..self.world.hosts.len() as u32).map(HostId);
        let gates = hosts.map(|host| Order::Withdraw { host, withdrawn: out.contains(&host) });
        shares.chain(gates).chain(self.levels.borrow().iter().cloned()).collect()
    }

    async fn answer(self: Rc<Relay>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/watch" {
            let (to, from) = mpsc::unbounded_channel();
            for proxy in self.members() {
                let _ = to.send(self.joined(proxy, self.world.fresh(proxy)));
            }
            self.readers.borrow_mut().push(to);
            return lines(from);
        }
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let Ok(call) = serde_json::from_slice::<Value>(&body) else {
            return full(&json!({"error": "SYNTAX"}));
        };
        self.calls.set(self.calls.get() + 1);
        let _ = writeln!(self.kept.borrow_mut(), "{{\"at\":{},\"call\":{call}}}", now_ns());
        let changes = call["changes"].as_array().cloned().unwrap_or_default();
        let orders: Vec<Order> = changes.iter().map_while(|order| read_order(order, self.as_ref())).collect();
        let taken = orders.len();
        orders.iter().for_each(|order| self.keep(order));
        let orders = Rc::new(orders);
        self.members().into_iter().for_each(|proxy| self.world.sends(proxy, &orders));
        full(&json!({"taken": taken}))
    }

    fn keep(&self, order: &Order) {
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
            Order::Withdraw { host, withdrawn: true } => drop(self.out.borrow_mut().insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.out.borrow_mut().remove(host)),
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
        Some(HostId(self.world.hosts.iter().position(|host| host.name == name)? as u32))
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        Some(ClassId(self.world.products.iter().position(|product| product.name == name)? as u16))
    }

    fn joined(&self, proxy: ProxyId) -> bool {
        self.world.at(proxy.0) == Some(self.steward)
    }
}
