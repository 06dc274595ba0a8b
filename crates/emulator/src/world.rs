//! The emulated day: runs all actions in order of virtual time.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use amberarch_core::*;
use amberarch_intake as intake;
use amberarch_residency::{last_rows, Reach};
use amberarch_service_levels::{Ladder, Levelled, ServiceLevels};
use intake::{Batch, Boot, Echo, Intake, ListedHost, Report, ReporterId, Seq};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

mod fleet;

use crate::governed::Governed;
use crate::host::{Host, Offer};
use crate::proxy::Proxy;
use crate::{Care, Day, Fate, Fault, Kept, Reports, Shape, Trouble, TxnId, Window, GRACE, WINDOW};

pub use fleet::{Fleet, Homes, Seen, SeenOf};
use fleet::{Stations, Step};

/// One-way network latency between two machines, ms.
const PATH: f64 = 1.0;
const PROBE_LIMIT: f64 = 300.0;
/// Delay from the end of a report window until the controller receives the report, ms.
const REPORT_DELAY: f64 = 200.0;
const TICK: f64 = 200.0;

enum What {
    Arrive {
        proxy: u16,
        class: u16,
    },
    /// A client that got no answer retries.
    Again {
        proxy: ProxyId,
        class: ClassId,
        first: f64,
        work: f64,
        asked: u8,
    },
    Reach {
        txn: TxnId,
        host: HostId,
    },
    Done {
        txn: TxnId,
        host: HostId,
        starts: u32,
    },
    Expire {
        txn: TxnId,
    },
    Heard {
        front: usize,
        proxy: ProxyId,
        orders: Rc<Vec<Order>>,
    },
    Tell {
        front: usize,
        event: Event,
    },
    TellAll(Event),
    Sums,
    Reported {
        front: usize,
        host: HostId,
    },
    Reports {
        front: usize,
        host: HostId,
        sent: f64,
        echo: Option<Echo>,
        report: Option<Report>,
    },
    Tick,
    Sample,
    /// The first controller stops, and another starts in its place.
    RestartController,
    /// Discovery, or the check of the stored list, answers the restarted controller.
    Discovered,
    Fault {
        place: usize,
        begins: bool,
    },
    /// An action of a fleet with several controllers.
    Fleet(Step),
}

struct Txn {
    proxy: ProxyId,
    class: ClassId,
    came: f64,
    /// When its client first sent it, and how often it has retried.
    first: f64,
    asked: u8,
    work: f64,
    /// Random positions (0 to 1) in the table weights for its first and second try.
    chances: [f64; 2],
    tried: Option<HostId>,
    /// The host that currently has it.
    under_way: Option<HostId>,
    again: bool,
    ran: bool,
    open: bool,
}

/// State of a host's reporter, which has a clock of its own.
struct Reporter {
    skew: f64,
    seq: u32,
    every: f64,
    echo: Option<Echo>,
}

/// Txn counts of one report window.
#[derive(Clone, Copy, Default)]
struct ReportCounts {
    tries: u32,
    failed: u32,
    latency_sum: f64,
}

impl ReportCounts {
    fn host_report(self, zone: ZoneId, host: HostId, covered: f64) -> Event {
        let good = f64::from(self.tries.saturating_sub(self.failed));
        let (tries, failed, mean_latency) =
            (self.tries.max(self.failed), self.failed, self.latency_sum / good.max(1.0));
        Event::HostReport { host, zone, covered, tries, failed, mean_latency, load: LoadReport::default() }
    }

    fn proxy_report(self, proxy: ProxyId, class: ClassId, covered: f64) -> Event {
        Event::ProxyReport { proxy, class, txns: self.tries, failed: self.failed, covered }
    }
}

/// One controller with its proxies. The first one's tables route the day's traffic; the others receive the same events
/// and their tables are only recorded.
struct Front {
    controller: Box<dyn Decide>,
    intake: Option<Intake>,
    reporters: Vec<Reporter>,
    proxies: Vec<Proxy>,
    events: Vec<Event>,
    shares: Vec<Vec<f64>>,
    /// Stored warm-start hints: the latency factor of each host, and whether it is withdrawn.
    learnt: BTreeMap<HostId, (f64, bool)>,
    reports: u64,
    taken: u64,
}

pub struct World {
    shape: Shape,
    faults: Vec<Fault>,
    seed: u64,
    fronts: Vec<Front>,
    now: f64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    todo: BTreeMap<u64, What>,
    number: u64,
    hosts: Vec<Host>,
    txns: BTreeMap<TxnId, Txn>,
    next: u32,
    /// By the proxy's controller, the proxy's zone and the host.
    host_counts: BTreeMap<(usize, ZoneId, HostId), ReportCounts>,
    proxy_counts: BTreeMap<(u16, u16), ReportCounts>,
    /// Actions held back until the network cut of their zone ends.
    held: Vec<(ZoneId, What)>,
    /// Each proxy has one random source for arrivals and work and another for picks, with a fixed number of draws per
    /// txn whatever its outcome. So two days with different decisions get the same txns and differ only by the
    /// decisions.
    chances: Vec<ChaCha8Rng>,
    picks: Vec<ChaCha8Rng>,
    restart: Option<Kept>,
    restarted_at: Option<f64>,
    governed: Option<Governed>,
    stations: Option<Stations>,
    decisions: u64,
    day: Day,
}

impl Front {
    fn new(shape: &Shape, reports: Reports, seed: u64) -> Front {
        let each = shape.rate() / f64::from(shape.proxies);
        let rates: Vec<f64> = shape.products.iter().map(|(_, part, _)| part * each).collect();
        let proxy = |at| Proxy::new(ZoneId(at % shape.zones), rates.clone());
        let line = intake::Line {
            load: amberarch_policy::OVERLOAD_THRESHOLD,
            beside: amberarch_policy::OVERLOAD_RATIO_TO_MEDIAN,
        };
        let intake = match reports {
            Reports::Off => None,
            Reports::On { each } => {
                let budget = each * f64::from(shape.hosts);
                Some(Intake::new(0.0, budget, shape.hosts as usize, line, Echo(1)))
            }
        };
        let reporter =
            |number: u32| Reporter { skew: 1e5 * f64::from(number), seq: 0, every: 100.0, echo: None };
        Front {
            controller: Box::new(shape.controller(seed)),
            intake,
            reporters: (0..shape.hosts).map(reporter).collect(),
            proxies: (0..shape.proxies).map(proxy).collect(),
            events: Vec::new(),
            shares: Vec::new(),
            learnt: BTreeMap::new(),
            reports: 0,
            taken: 0,
        }
    }

    /// The fraction of all txns that the tables currently assign to each host.
    fn shares(&self, hosts: usize, all: f64) -> Vec<f64> {
        let mut shares = vec![0.0; hosts];
        for proxy in &self.proxies {
            for (class, rate) in (0..).map(ClassId).zip(&proxy.rates) {
                let sum: f64 = proxy.open(class).map(|(_, weight)| weight).sum();
                let each =
                    |(host, weight): (HostId, f64)| shares[host.0 as usize] += rate / all * weight / sum;
                proxy.open(class).for_each(each);
            }
        }
        shares
    }
}

impl World {
    pub fn new(shape: Shape, faults: Vec<Fault>, reports: Reports, seed: u64) -> World {
        let listed = |number: u32| HostEntry {
            host: HostId(number),
            weight: 1.0,
            zone: ZoneId((number % u32::from(shape.zones)) as u16),
            pod: PodId(0),
            instance_type: InstanceTypeId(0),
            started_at: None,
            availability: Availability::InService,
        };
        let source =
            |number: u64| ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
        World {
            fronts: vec![Front::new(&shape, reports, seed)],
            now: 0.0,
            agenda: BinaryHeap::new(),
            todo: BTreeMap::new(),
            number: 0,
            hosts: (0..shape.hosts).map(|at| Host::new(listed(at), shape.cores, shape.room)).collect(),
            txns: BTreeMap::new(),
            next: 0,
            host_counts: BTreeMap::new(),
            proxy_counts: BTreeMap::new(),
            held: Vec::new(),
            chances: (0..u64::from(shape.proxies)).map(source).collect(),
            picks: (0..u64::from(shape.proxies)).map(|at| source(at + (1 << 32))).collect(),
            day: Day { fates: vec![Fate::default(); shape.products.len()], ..Day::default() },
            restart: None,
            restarted_at: None,
            governed: None,
            stations: None,
            decisions: 0,
            faults,
            seed,
            shape,
        }
    }

    /// Adds named service levels to the first controller's decisions; with `acts` false they are only observed.
    pub fn levelled(mut self, ladder: Ladder, acts: bool) -> World {
        let products = self.shape.products.iter().map(|(class, ..)| class.clone()).collect();
        let levels = ServiceLevels::new(ladder, self.shape.zones, products, &self.shape.sums, acts);
        let inner = self.shape.controller(self.seed);
        self.fronts[0].controller = Box::new(Levelled::new(inner, Rc::new(RefCell::new(levels))));
        self
    }

    /// Wraps the first controller's decisions, for example with an adapter between them and the proxies.
    pub fn behind(mut self, wrap: impl FnOnce(Box<dyn Decide>) -> Box<dyn Decide>) -> World {
        self.fronts[0].controller = wrap(Box::new(self.shape.controller(self.seed)));
        self
    }

    /// Restricts the first controller to the rules in `plan`, each from its time on.
    pub fn governed(mut self, plan: Vec<(f64, Reach)>, care: Care) -> World {
        self.governed = Some(Governed::new(self.shape.products.len() as u16, plan, care));
        self
    }

    /// Sends an external event to the decisions at that time.
    pub fn told(mut self, at: f64, event: Event) -> World {
        self.at(at, What::TellAll(event));
        self
    }

    /// Passes the pending events to the judge, and adds events for changes of the rules.
    fn govern(&mut self) {
        let mut hosts = BTreeMap::new();
        let on = self.hosts.iter().map(|host| &host.listed);
        for listed in on.filter(|listed| listed.availability == Availability::InService) {
            *hosts.entry(listed.zone).or_default() += 1;
        }
        if let Some(governed) = &mut self.governed {
            let events = &mut self.fronts[0].events;
            governed.hear(self.now, events);
            let told = governed.turn(self.now, &hosts);
            events.extend(told);
        }
    }

    /// Stops the first controller at that time and starts another from the kept state.
    pub fn restarted(mut self, at: f64, kept: Kept) -> World {
        self.at(at, What::RestartController);
        self.restart = Some(kept);
        self
    }

    /// Adds a controller that receives the same events as the first, except for its own load reports, and routes no
    /// traffic. So the difference between the tables can be measured without their effect on the day.
    pub fn beside(mut self, reports: Reports) -> World {
        self.fronts.push(Front::new(&self.shape, reports, self.seed));
        self
    }

    /// The same txns with other random picks: shows how far two days differ when the decisions are the same.
    pub fn repicked(mut self, seed: u64) -> World {
        let source = |at| ChaCha8Rng::seed_from_u64(seed.wrapping_add(at));
        self.picks = (0..u64::from(self.shape.proxies)).map(source).collect();
        self
    }

    fn begin(&mut self) {
        match self.stations.is_some() {
            true => self.begin_fleet(),
            false => self.begin_one(),
        }
        self.list_reporters();
        let hosts = self.shape.hosts;
        for (front, host) in (0..self.fronts.len()).flat_map(|f| (0..hosts).map(move |h| (f, h))) {
            if let Some(intake) = &mut self.fronts[front].intake {
                let opened = intake.opened(0.0, ReporterId(host), &[HostId(host)]);
                assert_eq!(opened, Ok(None), "there is room for a reporter of each host");
            }
            // The first reports are spread over 100 ms.
            let first = 100.0 * f64::from(host) / f64::from(hosts);
            self.at(first, What::Reported { front, host: HostId(host) });
        }
        // Time for the proxies to receive tables before the first txns arrive.
        let settle = 2_000.0;
        for proxy in 0..self.shape.proxies {
            for class in 0..self.shape.products.len() as u16 {
                self.at(settle, What::Arrive { proxy, class });
            }
        }
        self.at(settle + self.shape.sums.interval, What::Sums);
        self.at(settle, What::Sample);
        self.at(TICK, What::Tick);
        let faults: Vec<(f64, f64)> = self.faults.iter().map(|fault| (fault.from, fault.until)).collect();
        for (place, (from, until)) in faults.into_iter().enumerate() {
            self.at(from, What::Fault { place, begins: true });
            self.at(until, What::Fault { place, begins: false });
        }
    }

    fn begin_one(&mut self) {
        let entries: Vec<HostEntry> = self.hosts.iter().map(|host| host.listed.clone()).collect();
        self.tell(Event::List { update: ListUpdate::Restored, entries });
        let zones: Vec<ZoneId> = self.proxies().iter().map(|proxy| proxy.zone).collect();
        let txns_per_s = self.shape.rate() / f64::from(self.shape.proxies);
        for (at, zone) in (0..).zip(zones) {
            self.tell(Event::ProxyJoined { proxy: ProxyId(at), zone, txns_per_s, without_table: true });
        }
    }

    fn list_reporters(&mut self) {
        let listed = self.hosts.iter().map(|host| &host.listed);
        let listed: Vec<ListedHost> =
            listed.map(|row| ListedHost { host: row.host, zone: row.zone, born: row.started_at }).collect();
        for intake in self.fronts.iter_mut().filter_map(|front| front.intake.as_mut()) {
            intake.hosts(self.now, &listed);
        }
    }

    /// Runs the day to its end.
    pub fn play(mut self) -> Day {
        self.begin();
        self.decide();
        while let Some(Reverse((at, number))) = self.agenda.pop() {
            self.now = at as f64 / 1e3;
            if self.now > self.shape.lasts {
                break;
            }
            if let Some(what) = self.todo.remove(&number) {
                self.happen(what);
            }
            self.decide();
        }
        let seen = self.fleet_seen();
        let mut fronts = self.fronts.into_iter();
        let first = fronts.next();
        let beside = fronts.map(|front| front.shares).collect();
        let (shares, reports, taken) =
            first.map_or_else(Default::default, |f| (f.shares, f.reports, f.taken));
        let ruled = self.governed.map(|governed| governed.ruled).unwrap_or_default();
        Day { shares, beside, reports, taken, ruled, seen, ..self.day }
    }

    fn at(&mut self, when: f64, what: What) {
        self.number += 1;
        self.agenda.push(Reverse(((when.max(self.now) * 1e3) as u64, self.number)));
        self.todo.insert(self.number, what);
    }

    /// The proxies whose tables route the day's traffic.
    fn proxies(&self) -> &[Proxy] {
        &self.fronts[0].proxies
    }

    fn tell(&mut self, event: Event) {
        self.fronts.iter_mut().for_each(|front| front.events.push(event.clone()));
    }

    /// Publishes list changes; in a fleet, controllers receive them through their discovery watches.
    fn list(&mut self, entries: Vec<HostEntry>) {
        match self.stations.is_some() {
            true => self.changed(entries),
            false => self.tell(Event::List { update: ListUpdate::Changes, entries }),
        }
    }

    fn faults_now(&self) -> impl Iterator<Item = &Trouble> {
        let now = self.now;
        self.faults
            .iter()
            .filter(move |fault| (fault.from..fault.until).contains(&now))
            .map(|fault| &fault.what)
    }

    fn cut(&self, zone: ZoneId) -> bool {
        self.faults_now().any(|trouble| matches!(trouble, Trouble::Cut { zone: cut } if *cut == zone))
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive { proxy, class } => self.arrive(proxy, class),
            What::Again { proxy, class, first, work, asked } => self.come(proxy, class, first, work, asked),
            What::Reach { txn, host } => self.reach(txn, host),
            What::Done { txn, host, starts } => self.done(txn, host, starts),
            What::Expire { txn } => self.end(txn, None),
            What::Heard { front, proxy, orders } => self.heard(front, proxy, &orders),
            What::Tell { front, event } => self.fronts[front].events.push(event),
            What::TellAll(event) => self.tell(event),
            What::Sums => self.sums(),
            What::Reported { front, host } => self.report(front, host),
            What::Reports { front, host, sent, echo, report } => {
                self.reported(front, host, sent, echo, report)
            }
            What::Tick => self.tick(),
            What::Sample => self.sample(),
            What::RestartController => self.restart_controller(),
            What::Discovered => self.discovered(),
            What::Fault { place, begins } => self.fault(place, begins),
            What::Fleet(step) => self.step(step),
        }
    }

    fn arrive(&mut self, proxy: u16, class: u16) {
        let times: f64 = self
            .faults_now()
            .map(|trouble| match trouble {
                Trouble::Burst { times } => *times,
                _ => 1.0,
            })
            .product();
        let work = Exp::new(1.0 / self.shape.products[usize::from(class)].2).expect("work of some length");
        let rate = times * self.proxies()[usize::from(proxy)].rates[usize::from(class)] / 1e3;
        let source = &mut self.chances[usize::from(proxy)];
        let wait = Exp::new(rate).expect("txns at some rate").sample(source);
        let work = work.sample(source);
        self.at(self.now + wait, What::Arrive { proxy, class });
        let (proxy, class) = (ProxyId(proxy), ClassId(class));
        let revenue = self.shape.products[usize::from(class.0)].0.value;
        self.day.offered += revenue;
        self.window(class, self.now).offered += revenue;
        self.fleet_earned(proxy, revenue, 0.0);
        self.come(proxy, class, self.now, work, 0);
    }

    fn window(&mut self, class: ClassId, first: f64) -> &mut Window {
        let (place, products) = ((first / WINDOW) as usize, self.shape.products.len());
        if self.day.windows.len() <= place {
            self.day.windows.resize(place + 1, vec![Window::default(); products]);
        }
        &mut self.day.windows[place][usize::from(class.0)]
    }

    fn come(&mut self, proxy: ProxyId, class: ClassId, first: f64, work: f64, asked: u8) {
        let picks = &mut self.picks[usize::from(proxy.0)];
        let (admitted, chances): (f64, [f64; 2]) = (picks.random(), [picks.random(), picks.random()]);
        let id = TxnId(self.next);
        self.next += 1;
        self.day.fates[usize::from(class.0)].came += 1;
        self.proxy_counts.entry((proxy.0, class.0)).or_default().tries += 1;
        let (level, _) = self.proxies()[usize::from(proxy.0)].level(class);
        // Rejected at the proxy: the client may retry, and no host is tried.
        if self.shape.levels == LevelKind::Fraction && admitted >= level {
            self.day.fates[usize::from(class.0)].declined += 1;
            return self.ask_again(proxy, class, first, work, asked);
        }
        let (came, tried, under_way) = (self.now, None, None);
        let (again, ran, open) = (false, false, true);
        let txn = Txn { proxy, class, came, first, asked, work, chances, tried, under_way, again, ran, open };
        self.txns.insert(id, txn);
        self.window(class, first).let_in += 1;
        let expiry = self.shape.products[usize::from(class.0)].0.deadline;
        self.at(self.now + expiry, What::Expire { txn: id });
        self.send(id);
    }

    /// Some of the clients without an answer retry. A non-idempotent txn that may have run is not retried.
    fn ask_again(&mut self, proxy: ProxyId, class: ClassId, first: f64, work: f64, asked: u8) {
        let (part, after, most) = self.shape.again;
        if asked < most && self.picks[usize::from(proxy.0)].random::<f64>() < part {
            let asked = asked + 1;
            self.at(self.now + after, What::Again { proxy, class, first, work, asked });
        }
    }

    fn send(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        let proxy = &self.fronts[0].proxies[usize::from(txn.proxy.0)];
        let chance = txn.chances[usize::from(txn.again)];
        let host = proxy.pick(txn.class, chance, txn.tried);
        (txn.tried, txn.under_way) = (host, host);
        match host {
            Some(host) => {
                let left = self.hosts[host.0 as usize].left;
                self.day.to_gone += u32::from(left.is_some_and(|left| self.now > left + GRACE));
                let (now, pair) = (self.now, (txn.class, proxy.zone));
                self.governed.iter_mut().for_each(|governed| governed.tried(now, pair, host));
                let (zone, proxy) = (proxy.zone, txn.proxy);
                let controller = self.controller_of(proxy);
                self.host_counts.entry((controller, zone, host)).or_default().tries += 1;
                self.fleet_tried(proxy, host);
                self.at(self.now + PATH, What::Reach { txn: id, host });
            }
            None => self.end(id, None),
        }
    }

    fn reach(&mut self, id: TxnId, to: HostId) {
        let Some(txn) = self.txns.get(&id) else { return };
        if self.stations.is_some() {
            let (zone, work) = (self.proxies()[usize::from(txn.proxy.0)].zone, txn.work);
            if self.loses(zone, to) {
                return self.end(id, None);
            }
            self.fleet_offered(to, work);
        }
        let Some(txn) = self.txns.get(&id) else { return };
        let (host, work) = (&mut self.hosts[to.0 as usize], txn.work);
        let offer = if host.up { host.offer(self.now, id, &self.shape.warmup) } else { Offer::Full };
        let starts = host.starts;
        match offer {
            Offer::Starts(longer) => {
                let after = (work + host.owed()) * longer;
                self.at(self.now + after, What::Done { txn: id, host: to, starts });
                self.ran(id);
            }
            Offer::Waits => {}
            Offer::Full => self.unworked(id, to),
        }
    }

    fn ran(&mut self, id: TxnId) {
        if let Some(txn) = self.txns.get_mut(&id) {
            self.day.fates[usize::from(txn.class.0)].twice += u32::from(txn.ran);
            let once =
                self.shape.products[usize::from(txn.class.0)].0.idempotency == Idempotency::NonIdempotent;
            if std::mem::replace(&mut txn.ran, true) && once {
                let proxy = txn.proxy;
                self.fleet_twice(proxy);
            }
        }
    }

    /// The host has proven that it did no work: if the table's retry policy allows it, another host is tried.
    fn unworked(&mut self, id: TxnId, host: HostId) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        let proxy = &self.fronts[0].proxies[usize::from(txn.proxy.0)];
        let controller = self.stations.as_ref().map_or(0, |stations| stations.controller_of(txn.proxy));
        self.host_counts.entry((controller, proxy.zone, host)).or_default().failed += 1;
        let allowed = proxy.level(txn.class).1 != RetryPolicy::One && !txn.again;
        (txn.again, txn.under_way) = (true, None);
        match allowed {
            true => self.send(id),
            false => self.end(id, None),
        }
    }

    fn done(&mut self, id: TxnId, at: HostId, starts: u32) {
        let host = &mut self.hosts[at.0 as usize];
        if host.starts != starts {
            return;
        }
        let next = host.done(self.now, &self.shape.warmup);
        if let Some((next, longer)) = next {
            // A txn whose client no longer waits is still processed, as real hosts do.
            let work = self.txns.get(&next).map_or(0.0, |txn| txn.work) + host.owed();
            self.at(self.now + work * longer, What::Done { txn: next, host: at, starts });
            self.ran(next);
        }
        if let Some(txn) = self.txns.get(&id).filter(|txn| txn.open) {
            let (zone, took) =
                (self.fronts[0].proxies[usize::from(txn.proxy.0)].zone, self.now - txn.came + PATH);
            let controller = self.controller_of(txn.proxy);
            self.host_counts.entry((controller, zone, at)).or_default().latency_sum += took;
            self.end(id, Some(took));
        }
        self.txns.remove(&id);
    }

    /// Ends a txn for its client, with or without an answer.
    fn end(&mut self, id: TxnId, took: Option<f64>) {
        let Some(txn) = self.txns.get_mut(&id).filter(|txn| txn.open) else { return };
        txn.open = false;
        let (proxy, class, first, asked, work) = (txn.proxy, txn.class, txn.first, txn.asked, txn.work);
        let (ran, under_way) = (txn.ran, txn.under_way);
        let of = self.shape.products[usize::from(class.0)].0.clone();
        let (earned, in_time) = match took {
            Some(took) if took <= of.latency_target => (of.value, 1),
            Some(_) => (of.value * of.late_value_fraction, 0),
            None => (0.0, 0),
        };
        let fate = &mut self.day.fates[usize::from(class.0)];
        fate.in_time += in_time;
        fate.late += u32::from(took.is_some()) - in_time;
        fate.voided += u32::from(took.is_none());
        self.day.earned += earned;
        self.fleet_earned(proxy, 0.0, earned);
        let window = self.window(class, first);
        (window.earned, window.in_time) = (window.earned + earned, window.in_time + in_time);
        if took.is_none() {
            let zone = self.proxies()[usize::from(proxy.0)].zone;
            self.proxy_counts.entry((proxy.0, class.0)).or_default().failed += 1;
            if let Some(host) = under_way {
                let controller = self.controller_of(proxy);
                self.host_counts.entry((controller, zone, host)).or_default().failed += 1;
            }
            if !(ran && of.idempotency == Idempotency::NonIdempotent) {
                self.ask_again(proxy, class, first, work, asked);
            }
        }
    }

    fn heard(&mut self, front: usize, to: ProxyId, orders: &[Order]) {
        let proxy = &mut self.fronts[front].proxies[usize::from(to.0)];
        if proxy.stalled {
            return proxy.unread.extend_from_slice(orders);
        }
        for order in orders {
            proxy.hear(to, order);
        }
        // In a fleet all proxies are stored in the first front, whichever controller they belong to.
        let answers_to = if self.stations.is_some() { self.controller_of(to) } else { front };
        for order in orders {
            if let Order::Mark { mark, .. } = order {
                let duration = self.shape.transit;
                self.fronts[answers_to].events.push(Event::MarkApplied { proxy: to, mark: *mark, duration });
            }
        }
        let proxies = &self.fronts[front].proxies;
        let serves =
            |proxy: &Proxy| (0..proxy.rates.len() as u16).all(|id| proxy.open(ClassId(id)).next().is_some());
        if let Some(begun) = self.restarted_at.filter(|_| front == 0 && self.day.bare_for.is_none()) {
            self.day.bare_for = proxies.iter().all(serves).then_some(self.now - begun);
        }
    }

    fn decide(&mut self) {
        if !self.fronts[0].events.is_empty() {
            self.govern();
        }
        for front in 0..self.fronts.len() {
            if self.fronts[front].events.is_empty() || self.stands_still(front) {
                continue;
            }
            let events = std::mem::take(&mut self.fronts[front].events);
            if !events.is_empty() {
                self.decisions += 1;
                let orders = self.fronts[front].controller.decide(self.now, &events);
                self.carry_out(front, orders);
            }
        }
    }

    fn carry_out(&mut self, front: usize, orders: Vec<Order>) {
        let mut sent = Vec::new();
        for order in orders {
            match order {
                Order::StartTimer { after, timer } => {
                    self.at(self.now + after, What::Tell { front, event: Event::TimerExpired { timer } });
                }
                Order::Probe { host } => self.probe(front, host),
                Order::StoreHint { host, latency_factor } => {
                    self.fronts[front].learnt.entry(host).or_insert((1.0, false)).0 = latency_factor;
                }
                Order::WatchList { on: true } | Order::FetchList if self.stations.is_some() => {
                    self.ask(front)
                }
                Order::WatchList { .. } | Order::FetchList | Order::ForgetHost { .. } => {}
                Order::Log { text } if front == 0 => self.day.said.push((self.now, text)),
                Order::Log { .. } | Order::LogHosts { .. } | Order::SendToPeer { .. } => {}
                order => sent.push(order),
            }
        }
        if self.stations.is_some() {
            return self.write(front, &sent);
        }
        for order in &sent {
            if let Order::Withdraw { host, withdrawn } = order {
                self.fronts[front].learnt.entry(*host).or_insert((1.0, false)).1 = *withdrawn;
            }
        }
        if front == 0 {
            let holders =
                |table: &TableId| self.proxies().iter().filter(|proxy| proxy.uses(*table)).count() as u64;
            let admits = sent.iter().filter_map(|order| match order {
                Order::Admit { table, .. } => Some(holders(table)),
                _ => None,
            });
            let lines = admits.sum::<u64>();
            self.day.level_lines += lines;
            self.day.most_level_lines = self.day.most_level_lines.max(lines);
        }
        if let Some(governed) = self.governed.as_mut().filter(|_| front == 0 && !sent.is_empty()) {
            sent = governed.sift(self.now, sent);
        }
        if !sent.is_empty() {
            let orders = Rc::new(sent);
            for proxy in (0..self.shape.proxies).map(ProxyId) {
                let orders = orders.clone();
                self.at(self.now + self.shape.transit, What::Heard { front, proxy, orders });
            }
        }
    }

    fn probe(&mut self, front: usize, host: HostId) {
        self.fleet_probe(front, host);
        let there = &self.hosts[host.0 as usize];
        let unseen = self.cut(there.listed.zone) || !self.sees(front, host);
        let (outcome, duration) = match (unseen, there.up) {
            (true, _) => (ProbeOutcome::TimedOut, PROBE_LIMIT),
            (false, true) => (ProbeOutcome::Answered, 2.0 * PATH),
            (false, false) => (ProbeOutcome::Unreachable, 2.0 * PATH),
        };
        let event = Event::ProbeResult { host, outcome, duration, load: LoadReport::default() };
        self.at(self.now + duration, What::Tell { front, event });
    }

    fn sums(&mut self) {
        let over = self.shape.sums.interval;
        if self.stations.is_some() {
            self.fleet_sums();
            return self.at(self.now + over, What::Sums);
        }
        let late = self.now + REPORT_DELAY;
        for ((_, zone, host), sum) in std::mem::take(&mut self.host_counts) {
            self.held_or_at(zone, late, What::TellAll(sum.host_report(zone, host, over)));
        }
        for ((proxy, class), sum) in std::mem::take(&mut self.proxy_counts) {
            let there = &self.proxies()[usize::from(proxy)];
            if there.stalled {
                continue;
            }
            let event = sum.proxy_report(ProxyId(proxy), ClassId(class), over);
            self.held_or_at(there.zone, late, What::TellAll(event));
        }
        self.at(self.now + over, What::Sums);
    }

    fn held_or_at(&mut self, zone: ZoneId, when: f64, what: What) {
        match self.cut(zone) {
            true => self.held.push((zone, what)),
            false => self.at(when, what),
        }
    }

    fn report(&mut self, front: usize, host: HostId) {
        let (now, there) = (self.now, &mut self.hosts[host.0 as usize]);
        let Front { intake: Some(_), reporters, .. } = &mut self.fronts[front] else { return };
        let reporter = &mut reporters[host.0 as usize];
        reporter.seq += 1;
        let (sent, seq, echo, every) =
            (now + reporter.skew, Seq(reporter.seq), reporter.echo, reporter.every);
        let (zone, up) = (there.listed.zone, there.up);
        let report = Some(Report { host, seq, at: sent, load: there.load(now) });
        if up {
            self.held_or_at(zone, now + PATH, What::Reports { front, host, sent, echo, report });
        }
        self.at(now + every, What::Reported { front, host });
    }

    fn reported(&mut self, at: usize, host: HostId, sent: f64, echo: Option<Echo>, report: Option<Report>) {
        let front = &mut self.fronts[at];
        let Some(intake) = &mut front.intake else { return };
        let boot = Boot(u64::from(self.hosts[host.0 as usize].starts));
        let batch = Batch { boot, sent, echo, reports: report.as_slice() };
        let taken = intake.take(self.now, ReporterId(host.0), &batch);
        front.reports += u64::from(report.is_some());
        front.taken += u64::from(taken.taken);
        self.paces(at, host);
    }

    fn paces(&mut self, front: usize, host: HostId) {
        let Front { intake: Some(intake), reporters, .. } = &mut self.fronts[front] else { return };
        if let Some(paces) = intake.paces(self.now, ReporterId(host.0)) {
            let reporter = &mut reporters[host.0 as usize];
            reporter.echo = Some(paces.echo);
            reporter.every = paces.every.first().map_or(reporter.every, |(_, every)| *every);
            // The reporter answers at once, which shows the offset of its clock.
            let (sent, echo) = (self.now + PATH + reporter.skew, reporter.echo);
            let answer = What::Reports { front, host, sent, echo, report: None };
            self.at(self.now + 2.0 * PATH, answer);
        }
    }

    fn tick(&mut self) {
        let hosts: Vec<HostId> = (0..self.shape.hosts).map(HostId).collect();
        for front in 0..self.fronts.len() {
            let Front { intake: Some(intake), events, .. } = &mut self.fronts[front] else { continue };
            let event = |told: intake::Believed| {
                let intake::Believed { host, load, age, sure: confidence, .. } = told;
                Event::LoadEstimate { host, load, age, confidence }
            };
            events.extend(intake.tick(self.now, usize::MAX).into_iter().map(event));
            for host in hosts.iter().copied() {
                if !self.cut(self.hosts[host.0 as usize].listed.zone) {
                    self.paces(front, host);
                }
            }
        }
        self.at(self.now + TICK, What::Tick);
    }

    fn sample(&mut self) {
        let (hosts, all) = (self.hosts.len(), self.shape.rate().max(1e-9));
        for front in &mut self.fronts {
            let shares = front.shares(hosts, all);
            front.shares.push(shares);
        }
        self.at(self.now + 1_000.0, What::Sample);
    }

    /// Restarts the first controller as a daemon starts from its disk: a fresh stored list is used at once, an old one
    /// after each host has passed two probes, and without a stored list it waits for discovery.
    fn restart_controller(&mut self) {
        let Some(kept) = self.restart else { return };
        self.fronts[0].controller = Box::new(self.shape.controller(self.seed + 1));
        // Timers and orders in transit of the stopped controller are dropped.
        self.todo
            .retain(|_, what| !matches!(what, What::Tell { front: 0, .. } | What::Heard { front: 0, .. }));
        self.fronts[0].proxies.iter_mut().for_each(Proxy::follow_next);
        if kept.fresh_proxies {
            for proxy in &mut self.fronts[0].proxies {
                *proxy = Proxy::new(proxy.zone, proxy.rates.clone());
            }
        }
        self.restarted_at = Some(self.now);
        let none = Event::List { update: ListUpdate::Restored, entries: vec![] };
        self.fronts[0].events = vec![none];
        for (at, zone) in (0..).zip(self.proxies().iter().map(|proxy| proxy.zone).collect::<Vec<_>>()) {
            let txns_per_s = self.shape.rate() / f64::from(self.shape.proxies);
            self.fronts[0].events.push(Event::ProxyJoined {
                proxy: ProxyId(at),
                zone,
                txns_per_s,
                without_table: kept.fresh_proxies,
            });
        }
        /// Time for two probes of each listed host, the second 0.2 s after the first, ms.
        const TWO_PASSES: f64 = 250.0;
        match kept.list_age {
            Some(age) if age < kept.confirmed_for => self.restore(kept),
            Some(_) => self.at(self.now + TWO_PASSES, What::Discovered),
            None => {}
        }
        self.at(self.now + kept.silent_for, What::Discovered);
    }

    /// The stored list is older than the latest changes: it still lists removed hosts as in service.
    fn restore(&mut self, kept: Kept) {
        let on = |host: &Host| HostEntry { availability: Availability::InService, ..host.listed.clone() };
        let entries = self.hosts.iter().map(on).collect();
        self.fronts[0].events.push(Event::List { update: ListUpdate::Restored, entries });
        self.hints(kept);
    }

    fn discovered(&mut self) {
        let Some(kept) = self.restart else { return };
        // Before discovery answers: the hosts that have passed two probes. Afterwards: all hosts that it lists.
        let answers = self.restarted_at.is_some_and(|begun| self.now >= begun + kept.silent_for);
        let listed = |host: &&Host| if answers { host.left.is_none() } else { host.up };
        let entries = self.hosts.iter().filter(listed).map(|host| host.listed.clone()).collect();
        let update = if answers { ListUpdate::Whole } else { ListUpdate::Changes };
        self.fronts[0].events.push(Event::List { update, entries });
        self.hints(kept);
    }

    fn hints(&mut self, kept: Kept) {
        if !kept.hints {
            return;
        }
        let learnt = std::mem::take(&mut self.fronts[0].learnt);
        let hint = |(host, (latency_factor, gated)): (HostId, (f64, bool))| Event::WarmStartHint {
            host,
            latency_factor,
            gated,
        };
        self.fronts[0].events.extend(learnt.into_iter().map(hint));
    }

    fn fault(&mut self, place: usize, begins: bool) {
        let now = self.now;
        let lasts = self.faults[place].until - self.faults[place].from;
        let what = self.faults[place].what.clone();
        if self.stations.is_some() {
            self.fleet_fault(&what, begins, lasts);
        }
        match what {
            // These concern fleets with several controllers only.
            Trouble::StewardsLost { .. } | Trouble::DiscoveryDown | Trouble::DiscoverySlow { .. } => {}
            Trouble::CutFor { .. } | Trouble::Bad { .. } | Trouble::Replace { .. } => {}
            Trouble::Unsure { .. } | Trouble::StewardsSlow { .. } | Trouble::SumsLate { .. } => {}
            Trouble::Slow { hosts, part } => {
                let part = if begins { part } else { 1.0 / part };
                hosts.iter().for_each(|host| self.hosts[*host as usize].speed *= part);
            }
            Trouble::Burst { .. } => {}
            Trouble::Cut { zone } if !begins => {
                let (free, held) =
                    std::mem::take(&mut self.held).into_iter().partition(|(at, _)| *at == zone);
                self.held = held;
                free.into_iter().for_each(|(_, what): (ZoneId, What)| self.at(now + PATH, what));
            }
            Trouble::Cut { .. } => {}
            Trouble::Restart { hosts } => {
                for host in hosts {
                    let there = &mut self.hosts[host as usize];
                    if begins {
                        there.fall(now);
                    } else {
                        there.start(now);
                        let entries = vec![there.listed.clone()];
                        self.list(entries);
                        let reporters = self.fronts.iter_mut();
                        for reporter in reporters.filter_map(|front| front.reporters.get_mut(host as usize)) {
                            (reporter.echo, reporter.skew) = (None, -reporter.skew);
                        }
                    }
                }
                self.list_reporters();
            }
            Trouble::Leave { hosts } => {
                for host in hosts.into_iter().filter(|_| begins) {
                    let there = &mut self.hosts[host as usize];
                    there.fall(now);
                    (there.left, there.listed.availability) = (Some(now), Availability::Removed);
                    let entries = vec![there.listed.clone()];
                    // A discovery that does not answer publishes no change.
                    let silent = self.restart.zip(self.restarted_at);
                    if silent.is_none_or(|(kept, begun)| now >= begun + kept.silent_for) {
                        self.list(entries);
                    }
                }
                self.list_reporters();
            }
            Trouble::Relist { hosts, rows } => {
                let mut entries = Vec::new();
                for host in hosts {
                    let was = vec![(ZoneId((host % u32::from(self.shape.zones)) as u16), 1.0)];
                    let there = &mut self.hosts[host as usize].listed;
                    let rows = if begins { rows.clone() } else { was };
                    let row = |(zone, weight)| HostEntry { zone, weight, ..there.clone() };
                    entries.extend(rows.into_iter().map(row));
                    *there = entries.last().unwrap_or(there).clone();
                }
                last_rows(&mut entries);
                self.tell(Event::List { update: ListUpdate::Changes, entries });
                self.list_reporters();
            }
            Trouble::Stall { proxies } => {
                // In a fleet all proxies are stored in the first front.
                let tables = if self.stations.is_some() { 1 } else { self.fronts.len() };
                for (front, at) in (0..tables).flat_map(|f| proxies.iter().map(move |at| (f, *at))) {
                    let proxy = &mut self.fronts[front].proxies[usize::from(at)];
                    proxy.stalled = begins;
                    let unread = std::mem::take(&mut proxy.unread);
                    self.heard(front, ProxyId(at), &unread);
                }
            }
        }
    }
}
