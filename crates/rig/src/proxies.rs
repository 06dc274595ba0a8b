//! Emulated proxies, whose tables come from their controller's relay, the clients behind them, and the traffic reports of
//! both.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::*;
use amberarch_emulator::Proxy;
use amberarch_histories::{End, What};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use crate::hosts::Host;
use crate::pen::HistoryWriter;

/// A request class that clients send.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: &'static str,
    pub once_only: bool,
    /// The tenant of its txns, used by policies with quotas.
    pub tenant: Option<&'static str>,
}

/// A message from a relay to a proxy.
pub struct Message {
    pub due: Instant,
    pub orders: Rc<Vec<Order>>,
    /// The proxy's turn when it was sent. A proxy that has moved since ignores the message.
    turn: u32,
}

struct ProxyState {
    proxy: RefCell<Proxy>,
    zone: String,
    at: Cell<Option<usize>>,
    /// Raised whenever the proxy leaves or joins a controller.
    turn: Cell<u32>,
    last: Cell<Instant>,
    sender: mpsc::UnboundedSender<Message>,
    /// Zones by class, as last recorded in the history.
    recorded: RefCell<BTreeMap<u16, BTreeSet<String>>>,
}

#[derive(Clone, Copy, Default)]
pub struct Totals {
    pub tries: u32,
    pub failed: u32,
    pub took: f64,
}

/// Traffic totals since they were last taken.
#[derive(Clone)]
pub struct TrafficReports {
    pub since: Instant,
    pub host_reports: BTreeMap<(String, String), Totals>,
    pub proxy_reports: BTreeMap<(u16, &'static str), Totals>,
}

impl TrafficReports {
    fn begin() -> TrafficReports {
        TrafficReports {
            since: Instant::now(),
            host_reports: BTreeMap::new(),
            proxy_reports: BTreeMap::new(),
        }
    }
}

pub struct Deployment {
    pub zones: Vec<String>,
    pub classes: Vec<RequestClass>,
    pub hosts: Vec<Rc<Host>>,
    pub history: HistoryWriter,
    /// Shortest and longest transit time of a message to a proxy.
    pub transit: (Duration, Duration),
    states: Vec<Rc<ProxyState>>,
    /// One per controller, since every controller receives reports of all traffic.
    reports: RefCell<Vec<TrafficReports>>,
    chance: RefCell<ChaCha8Rng>,
    txns: Cell<u64>,
    pub ends: Cell<bool>,
    /// Index of the only class that clients currently request. `None`: all classes are equally likely.
    pub wanted: Cell<Option<usize>>,
    pub succeeded: Cell<u64>,
    pub asked: Cell<u64>,
    /// Callback for marks that proxies acknowledge.
    pub applied: RefCell<Option<Applied>>,
}

/// Called with controller, proxy, mark and duration in ms when a proxy has applied all orders up to the mark.
pub type Applied = Box<dyn Fn(usize, u16, u16, f64)>;

impl Deployment {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        zones: &[&str],
        classes: Vec<RequestClass>,
        hosts: Vec<Rc<Host>>,
        proxies: u16,
        controllers: usize,
        transit: (Duration, Duration),
        history: HistoryWriter,
        seed: u64,
    ) -> Rc<Deployment> {
        let (mut states, mut queues) = (Vec::new(), Vec::new());
        for number in 0..proxies {
            let (sender, queue) = mpsc::unbounded_channel();
            let place = usize::from(number) % zones.len();
            let proxy = Proxy::new(ZoneId(place as u16), vec![1.0; classes.len()]);
            states.push(Rc::new(ProxyState {
                proxy: RefCell::new(proxy),
                zone: zones[place].into(),
                at: Cell::new(None),
                turn: Cell::new(0),
                last: Cell::new(Instant::now()),
                sender,
                recorded: RefCell::default(),
            }));
            queues.push(queue);
        }
        let deployment = Rc::new(Deployment {
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            classes,
            hosts,
            history,
            transit,
            states,
            reports: RefCell::new(vec![TrafficReports::begin(); controllers]),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            txns: Cell::new(0),
            ends: Cell::new(false),
            wanted: Cell::new(None),
            succeeded: Cell::new(0),
            asked: Cell::new(0),
            applied: RefCell::new(None),
        });
        for (number, queue) in queues.into_iter().enumerate() {
            spawn_local(deployment.clone().receive(number as u16, queue));
        }
        deployment
    }

    pub fn proxies(&self) -> std::ops::Range<u16> {
        0..self.states.len() as u16
    }

    pub fn zone(&self, proxy: u16) -> &str {
        &self.states[usize::from(proxy)].zone
    }

    pub fn at(&self, proxy: u16) -> Option<usize> {
        self.states.get(usize::from(proxy)).and_then(|state| state.at.get())
    }

    /// Whether the proxy holds no ordered table.
    pub fn fresh(&self, proxy: u16) -> bool {
        let state = self.states[usize::from(proxy)].proxy.borrow();
        (0..self.classes.len() as u16).all(|id| state.open(ClassId(id)).next().is_none())
    }

    pub fn leave(&self, proxy: u16) {
        let state = &self.states[usize::from(proxy)];
        state.at.set(None);
        state.turn.set(state.turn.get() + 1);
    }

    /// The proxy follows the controller and receives the relay's current state, without being bound to a table.
    pub fn join(&self, proxy: u16, controller: usize, current_orders: &[Order]) {
        let state = &self.states[usize::from(proxy)];
        state.at.set(Some(controller));
        state.turn.set(state.turn.get() + 1);
        let mut held = state.proxy.borrow_mut();
        held.follow_next();
        current_orders.iter().for_each(|order| held.hear(ProxyId(proxy), order));
    }

    /// Sends a relay's message to a proxy, with a random transit time.
    pub fn send(&self, proxy: u16, orders: &Rc<Vec<Order>>) {
        let state = &self.states[usize::from(proxy)];
        let (least, most) = self.transit;
        let late = self.chance.borrow_mut().random_range(least..most);
        // Messages are delivered in the order in which they were sent.
        let due = (Instant::now() + late).max(state.last.get());
        state.last.set(due);
        let _ = state.sender.send(Message { due, orders: orders.clone(), turn: state.turn.get() });
    }

    async fn receive(self: Rc<Deployment>, me: u16, mut queue: mpsc::UnboundedReceiver<Message>) {
        let state = self.states[usize::from(me)].clone();
        while let Some(Message { due, orders, turn }) = queue.recv().await {
            let sent = Instant::now();
            sleep_until(due).await;
            if turn != state.turn.get() {
                continue;
            }
            orders.iter().for_each(|order| state.proxy.borrow_mut().hear(ProxyId(me), order));
            self.record_zones(me, &state);
            let marks = orders.iter().filter_map(|order| match order {
                Order::Mark { mark, .. } => Some(mark.0),
                _ => None,
            });
            for (mark, controller) in marks.filter_map(|mark| Some((mark, state.at.get()?))) {
                if let Some(applied) = self.applied.borrow().as_ref() {
                    applied(controller, me, mark, sent.elapsed().as_secs_f64() * 1e3);
                }
            }
        }
    }

    /// Records the zones to which the proxy's tables now send txns, where they changed.
    fn record_zones(&self, me: u16, state: &ProxyState) {
        let proxy = state.proxy.borrow();
        for (place, product) in self.classes.iter().enumerate() {
            let id = ClassId(place as u16);
            let open = proxy.open(id).filter(|_| proxy.level(id).0 > 0.0);
            let zones: BTreeSet<String> =
                open.map(|(host, _)| self.hosts[host.0 as usize].zone.clone()).collect();
            let before = state.recorded.borrow_mut().insert(id.0, zones.clone());
            if before.unwrap_or_default() != zones {
                let (product, home) = (product.name.to_string(), state.zone.clone());
                let zones = zones.into_iter().collect();
                self.history.write(format!("proxy:{me}"), What::Tables { product, home, zones });
            }
        }
    }

    /// Starts clients that send `per_s` txns a second to each proxy until the run ends.
    pub fn clients(self: &Rc<Deployment>, per_s: f64) {
        for me in self.proxies() {
            let deployment = self.clone();
            let mut chance = ChaCha8Rng::seed_from_u64(self.chance.borrow_mut().random());
            let gap = Exp::new(per_s).expect("a rate over zero");
            spawn_local(async move {
                while !deployment.ends.get() {
                    sleep(Duration::from_secs_f64(gap.sample(&mut chance).min(1.0))).await;
                    let seed = chance.random();
                    spawn_local(deployment.clone().txn(me, ChaCha8Rng::seed_from_u64(seed)));
                }
            });
        }
    }

    async fn txn(self: Rc<Deployment>, me: u16, mut chance: ChaCha8Rng) {
        let state = self.states[usize::from(me)].clone();
        let txn = self.txns.get();
        self.txns.set(txn + 1);
        self.asked.set(self.asked.get() + 1);
        let place = chance.random_range(0..self.classes.len());
        let place = self.wanted.get().unwrap_or(place);
        let (id, RequestClass { name, once_only, tenant }) =
            (ClassId(place as u16), self.classes[place].clone());
        let home = state.zone.clone();
        let product = name.to_string();
        let tenant = tenant.map(String::from);
        self.history.write("client", What::Asked { txn, product, home, tenant, once_only });
        let (share, tries) = state.proxy.borrow().level(id);
        let (mut end, mut last) = (End::Declined, None);
        let admitted = chance.random::<f64>() < share;
        for retries in 0..if admitted { 3 } else { 0 } {
            let Some(host) = state.proxy.borrow().pick(id, chance.random(), last) else { break };
            last = Some(host);
            let host = &self.hosts[host.0 as usize];
            let began = Instant::now();
            let ran = host.serve(txn, &self.history);
            if ran {
                sleep(Duration::from_millis(chance.random_range(3..15))).await;
            }
            // A few responses are lost after the host has served the txn.
            let answered = ran && chance.random::<f64>() > 0.02;
            self.record_try(me, &state.zone, &host.name, answered, began);
            end = if answered { End::Settled } else { End::Voided };
            let more = match (ran, tries) {
                _ if answered => false,
                (_, RetryPolicy::One) => false,
                (false, RetryPolicy::AfterProof | RetryPolicy::AfterAny) => retries < 1,
                (true, RetryPolicy::AfterProof) => false,
                (true, RetryPolicy::AfterAny) => retries < 1 && !once_only,
                (ran, RetryPolicy::TwiceAfterAny) => !(ran && once_only),
            };
            if !more {
                break;
            }
        }
        for reports in self.reports.borrow_mut().iter_mut() {
            let proxy_reports = reports.proxy_reports.entry((me, name)).or_default();
            proxy_reports.tries += 1;
            proxy_reports.failed += u32::from(end == End::Voided);
        }
        self.succeeded.set(self.succeeded.get() + u64::from(end == End::Settled));
        self.history.write("client", What::Final { txn, end });
    }

    fn record_try(&self, _me: u16, zone: &str, host: &str, answered: bool, began: Instant) {
        for reports in self.reports.borrow_mut().iter_mut() {
            let host_reports = reports.host_reports.entry((zone.into(), host.into())).or_default();
            host_reports.tries += 1;
            host_reports.failed += u32::from(!answered);
            host_reports.took += if answered { began.elapsed().as_secs_f64() * 1e3 } else { 0.0 };
        }
    }

    /// Takes the traffic totals to report to one controller.
    pub fn take_reports(&self, controller: usize) -> TrafficReports {
        std::mem::replace(&mut self.reports.borrow_mut()[controller], TrafficReports::begin())
    }
}
