//! Proxies that hold tables by what their steward's relay carries to them, the clients behind them, and the sums of
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
use crate::pen::Pen;

/// A product that clients ask for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub name: &'static str,
    pub once_only: bool,
    /// Whose txns they are, where a policy has shares.
    pub tenant: Option<&'static str>,
}

/// What a proxy is told by its steward's relay.
pub struct Message {
    pub due: Instant,
    pub orders: Rc<Vec<Order>>,
    /// Whose: a proxy that has gone elsewhere meanwhile hears no more of it.
    turn: u32,
}

struct Seat {
    proxy: RefCell<Proxy>,
    zone: String,
    at: Cell<Option<usize>>,
    turn: Cell<u32>,
    last: Cell<Instant>,
    to: mpsc::UnboundedSender<Message>,
    /// Zones by product, as the history has them.
    told: RefCell<BTreeMap<u16, BTreeSet<String>>>,
}

#[derive(Clone, Copy, Default)]
pub struct Sum {
    pub tries: u32,
    pub voided: u32,
    pub took: f64,
}

/// Sums since they were last taken.
#[derive(Clone)]
pub struct Sums {
    pub since: Instant,
    pub met: BTreeMap<(String, String), Sum>,
    pub came: BTreeMap<(u16, &'static str), Sum>,
}

impl Sums {
    fn begin() -> Sums {
        Sums { since: Instant::now(), met: BTreeMap::new(), came: BTreeMap::new() }
    }
}

pub struct World {
    pub zones: Vec<String>,
    pub products: Vec<Asked>,
    pub hosts: Vec<Rc<Host>>,
    pub pen: Pen,
    /// Shortest and longest time in which a message reaches a proxy.
    pub transit: (Duration, Duration),
    seats: Vec<Rc<Seat>>,
    /// One for each steward, since each is told of all.
    sums: RefCell<Vec<Sums>>,
    chance: RefCell<ChaCha8Rng>,
    txns: Cell<u64>,
    pub ends: Cell<bool>,
    /// The one product that clients want for now, by its place; none: each as likely.
    pub wanted: Cell<Option<usize>>,
    pub settled: Cell<u64>,
    pub asked: Cell<u64>,
    /// What the relays say of proxies: who confirms a mark, and to which steward.
    pub applied: RefCell<Option<Applied>>,
}

/// Takes note that a proxy has applied all up to a mark of a steward.
pub type Applied = Box<dyn Fn(usize, u16, u16, f64)>;

impl World {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        zones: &[&str],
        products: Vec<Asked>,
        hosts: Vec<Rc<Host>>,
        proxies: u16,
        stewards: usize,
        transit: (Duration, Duration),
        pen: Pen,
        seed: u64,
    ) -> Rc<World> {
        let (mut seats, mut queues) = (Vec::new(), Vec::new());
        for number in 0..proxies {
            let (to, queue) = mpsc::unbounded_channel();
            let place = usize::from(number) % zones.len();
            let proxy = Proxy::new(ZoneId(place as u16), vec![1.0; products.len()]);
            seats.push(Rc::new(Seat {
                proxy: RefCell::new(proxy),
                zone: zones[place].into(),
                at: Cell::new(None),
                turn: Cell::new(0),
                last: Cell::new(Instant::now()),
                to,
                told: RefCell::default(),
            }));
            queues.push(queue);
        }
        let world = Rc::new(World {
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            products,
            hosts,
            pen,
            transit,
            seats,
            sums: RefCell::new(vec![Sums::begin(); stewards]),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            txns: Cell::new(0),
            ends: Cell::new(false),
            wanted: Cell::new(None),
            settled: Cell::new(0),
            asked: Cell::new(0),
            applied: RefCell::new(None),
        });
        for (number, queue) in queues.into_iter().enumerate() {
            spawn_local(world.clone().hears(number as u16, queue));
        }
        world
    }

    pub fn proxies(&self) -> std::ops::Range<u16> {
        0..self.seats.len() as u16
    }

    pub fn zone(&self, proxy: u16) -> &str {
        &self.seats[usize::from(proxy)].zone
    }

    pub fn at(&self, proxy: u16) -> Option<usize> {
        self.seats.get(usize::from(proxy)).and_then(|seat| seat.at.get())
    }

    /// True where it holds nothing that was ordered.
    pub fn fresh(&self, proxy: u16) -> bool {
        let seat = self.seats[usize::from(proxy)].proxy.borrow();
        (0..self.products.len() as u16).all(|id| seat.open(ClassId(id)).next().is_none())
    }

    pub fn leaves(&self, proxy: u16) {
        let seat = &self.seats[usize::from(proxy)];
        seat.at.set(None);
        seat.turn.set(seat.turn.get() + 1);
    }

    /// It follows that steward, and knows what the relay there holds, without being bound to any of it.
    pub fn joins(&self, proxy: u16, steward: usize, stands: &[Order]) {
        let seat = &self.seats[usize::from(proxy)];
        seat.at.set(Some(steward));
        seat.turn.set(seat.turn.get() + 1);
        let mut held = seat.proxy.borrow_mut();
        held.follow_next();
        stands.iter().for_each(|order| held.hear(ProxyId(proxy), order));
    }

    /// A message of a relay is on its way.
    pub fn sends(&self, proxy: u16, orders: &Rc<Vec<Order>>) {
        let seat = &self.seats[usize::from(proxy)];
        let (least, most) = self.transit;
        let late = self.chance.borrow_mut().random_range(least..most);
        // In the order in which they were sent.
        let due = (Instant::now() + late).max(seat.last.get());
        seat.last.set(due);
        let _ = seat.to.send(Message { due, orders: orders.clone(), turn: seat.turn.get() });
    }

    async fn hears(self: Rc<World>, me: u16, mut queue: mpsc::UnboundedReceiver<Message>) {
        let seat = self.seats[usize::from(me)].clone();
        while let Some(Message { due, orders, turn }) = queue.recv().await {
            let sent = Instant::now();
            sleep_until(due).await;
            if turn != seat.turn.get() {
                continue;
            }
            orders.iter().for_each(|order| seat.proxy.borrow_mut().hear(ProxyId(me), order));
            self.tells(me, &seat);
            let marks = orders.iter().filter_map(|order| match order {
                Order::Mark { mark, .. } => Some(mark.0),
                _ => None,
            });
            for (mark, steward) in marks.filter_map(|mark| Some((mark, seat.at.get()?))) {
                if let Some(applied) = self.applied.borrow().as_ref() {
                    applied(steward, me, mark, sent.elapsed().as_secs_f64() * 1e3);
                }
            }
        }
    }

    /// Writes down where its tables now let txns go.
    fn tells(&self, me: u16, seat: &Seat) {
        let proxy = seat.proxy.borrow();
        for (place, product) in self.products.iter().enumerate() {
            let id = ClassId(place as u16);
            let open = proxy.open(id).filter(|_| proxy.level(id).0 > 0.0);
            let zones: BTreeSet<String> =
                open.map(|(host, _)| self.hosts[host.0 as usize].zone.clone()).collect();
            let before = seat.told.borrow_mut().insert(id.0, zones.clone());
            if before.unwrap_or_default() != zones {
                let (product, home) = (product.name.to_string(), seat.zone.clone());
                let zones = zones.into_iter().collect();
                self.pen.write(format!("proxy:{me}"), What::Tables { product, home, zones });
            }
        }
    }

    /// Clients come to each proxy, so many txns a second, until the world ends.
    pub fn clients(self: &Rc<World>, per_s: f64) {
        for me in self.proxies() {
            let world = self.clone();
            let mut chance = ChaCha8Rng::seed_from_u64(self.chance.borrow_mut().random());
            let gap = Exp::new(per_s).expect("a rate over zero");
            spawn_local(async move {
                while !world.ends.get() {
                    sleep(Duration::from_secs_f64(gap.sample(&mut chance).min(1.0))).await;
                    let seed = chance.random();
                    spawn_local(world.clone().txn(me, ChaCha8Rng::seed_from_u64(seed)));
                }
            });
        }
    }

    async fn txn(self: Rc<World>, me: u16, mut chance: ChaCha8Rng) {
        let seat = self.seats[usize::from(me)].clone();
        let txn = self.txns.get();
        self.txns.set(txn + 1);
        self.asked.set(self.asked.get() + 1);
        let place = chance.random_range(0..self.products.len());
        let place = self.wanted.get().unwrap_or(place);
        let (id, Asked { name, once_only, tenant }) = (ClassId(place as u16), self.products[place].clone());
        let home = seat.zone.clone();
        let product = name.to_string();
        let tenant = tenant.map(String::from);
        self.pen.write("client", What::Asked { txn, product, home, tenant, once_only });
        let (share, tries) = seat.proxy.borrow().level(id);
        let (mut end, mut last) = (End::Declined, None);
        let let_in = chance.random::<f64>() < share;
        for again in 0..if let_in { 3 } else { 0 } {
            let Some(host) = seat.proxy.borrow().pick(id, chance.random(), last) else { break };
            last = Some(host);
            let host = &self.hosts[host.0 as usize];
            let began = Instant::now();
            let ran = host.serves(txn, &self.pen);
            if ran {
                sleep(Duration::from_millis(chance.random_range(3..15))).await;
            }
            // Now and then an answer is lost after the host has served.
            let answered = ran && chance.random::<f64>() > 0.02;
            self.sum(me, &seat.zone, &host.name, answered, began);
            end = if answered { End::Settled } else { End::Voided };
            let more = match (ran, tries) {
                _ if answered => false,
                (_, RetryPolicy::One) => false,
                (false, RetryPolicy::AfterProof | RetryPolicy::AfterAny) => again < 1,
                (true, RetryPolicy::AfterProof) => false,
                (true, RetryPolicy::AfterAny) => again < 1 && !once_only,
                (ran, RetryPolicy::TwiceAfterAny) => !(ran && once_only),
            };
            if !more {
                break;
            }
        }
        for sums in self.sums.borrow_mut().iter_mut() {
            let came = sums.came.entry((me, name)).or_default();
            came.tries += 1;
            came.voided += u32::from(end == End::Voided);
        }
        self.settled.set(self.settled.get() + u64::from(end == End::Settled));
        self.pen.write("client", What::Final { txn, end });
    }

    fn sum(&self, _me: u16, zone: &str, host: &str, answered: bool, began: Instant) {
        for sums in self.sums.borrow_mut().iter_mut() {
            let met = sums.met.entry((zone.into(), host.into())).or_default();
            met.tries += 1;
            met.voided += u32::from(!answered);
            met.took += if answered { began.elapsed().as_secs_f64() * 1e3 } else { 0.0 };
        }
    }

    /// What is to be told to one steward.
    pub fn take_sums(&self, steward: usize) -> Sums {
        std::mem::replace(&mut self.sums.borrow_mut()[steward], Sums::begin())
    }
}
