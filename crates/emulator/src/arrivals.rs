//! Tests a judge against the delivery of its orders: a relay that fails and repeats calls, proxies that read at their own
//! pace, join and leave, and answers that are late or lost. The model is small, so that at any moment it knows what every
//! proxy holds, and what it may hold next, and can check this against what the judge has accepted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;
use amberarch_residency::{How, InUse, Judge, Plain};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: u32 = 3;
const PROXIES: u16 = 3;
const PRODUCTS: u16 = 2;
const ZONES: u16 = 2;
const TABLES: u16 = 3;
const GRACE: f64 = 500.0;
const LINGER: f64 = 4_000.0;

/// Deliberate faults of the judge; the trial has to detect each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    No,
    /// The judge is not told about repeated calls, and calls count as answered at once.
    NoRepeats,
    /// One proxy's answer counts for all.
    OneForAll,
    /// Proxies that have left are not waited for.
    NoLinger,
    /// Orders that the relay dropped count as carried out.
    NoGivingUp,
    /// The plain judge, which knows only the latest ordered state.
    Plain,
}

/// Counts of what a run did and found.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    pub replies: u64,
    pub refused: u64,
    /// Refused, although the reply would have broken nothing if carried out once and in order.
    pub refused_falsely: u64,
    /// Of those, the ones because of proxies that had left, or rejoined since they were bound, while a bind or a report
    /// of it was in transit. All others are because of calls that were then not repeated.
    pub for_gone: u64,
    /// Accepted orders that let a proxy hold a host outside the reach.
    pub outside: u64,
    /// Reported as settled.
    pub settled: u64,
    /// Reported as settled while a proxy held a host outside the reach.
    pub settled_falsely: u64,
    pub repeats: u64,
}

impl Trial {
    pub fn add(&mut self, other: Trial) {
        self.replies += other.replies;
        self.refused += other.refused;
        self.refused_falsely += other.refused_falsely;
        self.for_gone += other.for_gone;
        self.outside += other.outside;
        self.settled += other.settled;
        self.settled_falsely += other.settled_falsely;
        self.repeats += other.repeats;
    }
}

#[derive(Clone, Default)]
struct Stand {
    tables: BTreeMap<TableId, BTreeSet<HostId>>,
    out: BTreeSet<HostId>,
    /// By proxy, the session in which the bind was made, and request class.
    binds: BTreeMap<(ProxyId, u32, ClassId), TableId>,
}

#[derive(Clone, Default)]
struct Held {
    zone: ZoneId,
    session: u32,
    joined: bool,
    /// How many of the carried-out orders it has read.
    read: usize,
    /// Hosts it holds from earlier controllers or sessions, until it is bound.
    before: BTreeMap<ClassId, BTreeSet<HostId>>,
    left: f64,
}

enum News {
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
        fresh: bool,
    },
    Left {
        proxy: ProxyId,
    },
    Answered {
        proxy: ProxyId,
        mark: MarkId,
    },
    Again {
        mark: MarkId,
    },
    NotTaken {
        order: Order,
    },
    /// Everything accepted up to that place is answered.
    Done {
        place: u64,
    },
}

/// State of the relay's current call.
enum Call {
    Idle,
    /// At time `tell` the call is reported as unsure, and is repeated afterwards.
    Unsure {
        tell: f64,
        told: bool,
    },
}

pub struct Arrivals {
    chance: ChaCha8Rng,
    spoilt: Spoilt,
    calm: bool,
    /// In how many of ten cases the front reports that all calls are answered.
    tells: u8,
    now: f64,
    judge: Judge,
    plain: Plain,
    /// Whether the plain judge is a valid reference. It knows only the latest ordered state, so it is not after the reach
    /// or the host list changed.
    plain_fits: bool,
    reach: InUse,
    /// Zone of each host, its previous zone, and until when that one counts too.
    places: BTreeMap<HostId, (ZoneId, ZoneId, f64)>,
    waiting: VecDeque<Order>,
    marks: Vec<MarkId>,
    call: Call,
    /// Orders carried out, with the state after each.
    line: Vec<(Order, Stand)>,
    proxies: BTreeMap<ProxyId, Held>,
    /// Events of the proxies, with their time.
    news: VecDeque<(f64, News)>,
    /// Proxies that are joined according to the events delivered so far.
    heard: BTreeSet<ProxyId>,
    relay_news: VecDeque<News>,
    next_mark: u16,
    /// While true, no proxy may hold a host outside the reach.
    holds: bool,
    found: Trial,
}

impl Arrivals {
    pub fn new(seed: u64, spoilt: Spoilt) -> Arrivals {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let places: BTreeMap<HostId, (ZoneId, ZoneId, f64)> = (0..HOSTS)
            .map(|host| {
                let zone = ZoneId(chance.random_range(0..ZONES));
                (HostId(host), (zone, zone, 0.0))
            })
            .collect();
        let mut judge = Judge::new(PRODUCTS, GRACE);
        let mut plain = Plain { products: PRODUCTS, ..Plain::default() };
        for (host, (zone, ..)) in &places {
            judge.listed(0.0, *host, *zone, Availability::InService);
            plain.hosts.insert(*host, *zone);
        }
        let mut world = Arrivals {
            chance,
            spoilt,
            calm: false,
            tells: 3,
            now: 0.0,
            judge,
            plain,
            plain_fits: true,
            reach: InUse::new(),
            places,
            waiting: VecDeque::new(),
            marks: Vec::new(),
            call: Call::Idle,
            line: Vec::new(),
            proxies: BTreeMap::new(),
            news: VecDeque::new(),
            heard: BTreeSet::new(),
            relay_news: VecDeque::new(),
            next_mark: 0,
            holds: true,
            found: Trial::default(),
        };
        let reach = world.some_reach();
        world.judge.reach(0.0, reach.clone());
        world.plain.reach = reach.clone();
        world.reach = reach;
        for proxy in (0..PROXIES).map(ProxyId) {
            world.join(proxy);
        }
        world
    }

    /// Calls are answered at once and no mark is lost.
    pub fn calm(mut self) -> Arrivals {
        self.calm = true;
        self
    }

    /// The front reports every time that its relay has nothing waiting, and checks at each step whether all is settled,
    /// as a controller's front does.
    pub fn told(mut self) -> Arrivals {
        self.tells = 10;
        self
    }

    fn some_reach(&mut self) -> InUse {
        let mut reach = InUse::new();
        for product in (0..PRODUCTS).map(ClassId) {
            for zone in (0..ZONES).map(ZoneId) {
                // No zone, either zone, both zones, or no rule.
                let zones = Zones(self.chance.random_range(0..1 << ZONES));
                if self.chance.random::<f64>() < 0.8 {
                    reach.insert((product, zone), zones);
                }
            }
        }
        reach
    }

    fn one_of(&mut self, count: u16) -> u16 {
        self.chance.random_range(0..count)
    }

    /// Runs `steps` steps; with `changes`, the reach changes at random steps.
    pub fn play(mut self, steps: u32, changes: bool) -> Trial {
        for _ in 0..steps {
            self.now +=
                self.chance.random::<f64>() * if self.chance.random::<f64>() < 0.1 { 4e3 } else { 100.0 };
            // Pending relay events are delivered first, as to an event loop that was itself paused.
            self.tell();
            // No event is delayed as long as the linger: the judge assumes that proxies that joined before that are known.
            while self.news.front().is_some_and(|news| news.0 + LINGER / 2.0 < self.now) {
                self.hear_one();
            }
            match self.chance.random_range(0..100) {
                0..30 => self.reply(),
                30..50 => self.call(),
                50..68 => self.read(),
                68..88 => self.hear(),
                88..92 => {
                    let proxy = ProxyId(self.one_of(PROXIES));
                    match self.proxies.get(&proxy).is_some_and(|held| held.joined) {
                        true => self.leave(proxy),
                        false => self.join(proxy),
                    }
                }
                92..94 if changes => {
                    self.reach = self.some_reach();
                    self.judge.reach(self.now, self.reach.clone());
                    (self.holds, self.plain_fits) = (false, false);
                }
                94..95 if changes => self.relocate(),
                _ => self.settle(),
            }
            self.tell();
            if self.tells == 10 {
                self.settle();
            }
            self.check();
        }
        self.found
    }

    /// Whether the host counts as being in one of these zones now.
    fn within(&self, host: HostId, zones: Zones) -> bool {
        self.places.get(&host).is_some_and(|(zone, before, until)| {
            zones == Zones::ALL || zones.contains(*zone) || self.now < *until && zones.contains(*before)
        })
    }

    fn relocate(&mut self) {
        let host = HostId(u32::from(self.one_of(HOSTS as u16)));
        // The zone after the last one is unknown to the judge.
        let zone = ZoneId(self.one_of(ZONES + 1));
        let Some(place) = self.places.get_mut(&host) else { return };
        // One move at a time: a host counts for at most two zones at once.
        if place.0 != zone && self.now >= place.2 {
            *place = (zone, place.0, self.now + GRACE);
            match zone.0 < ZONES {
                true => self.judge.listed(self.now, host, zone, Availability::InService),
                false => self.judge.lost(self.now, host),
            }
            (self.holds, self.plain_fits) = (false, false);
        }
    }

    /// A reply of random orders.
    fn reply(&mut self) {
        let mut orders = Vec::new();
        for _ in 0..self.chance.random_range(1..4) {
            let (table, host) = (TableId(self.one_of(TABLES)), HostId(u32::from(self.one_of(HOSTS as u16))));
            orders.push(match self.chance.random_range(0..10) {
                0..3 => Order::SetEntry { table, host, weight: 1.0 },
                3..5 => Order::SetEntry { table, host, weight: 0.0 },
                5 => Order::Withdraw { host, withdrawn: true },
                6 => Order::Withdraw { host, withdrawn: false },
                7 if self.chance.random::<f64>() < 0.3 => Order::ClearTable { table },
                _ => {
                    // The decisions receive the same events as the judge and bind only proxies that have joined by them.
                    let proxy = ProxyId(self.one_of(PROXIES));
                    if !self.heard.contains(&proxy) {
                        continue;
                    }
                    let masks = [ClassSet::ALL, ClassSet(1), ClassSet(2)];
                    Order::Bind { proxy, table, classes: masks[usize::from(self.one_of(3))] }
                }
            });
        }
        let mark = MarkId(self.next_mark);
        self.next_mark = self.next_mark.wrapping_add(1);
        let marked = self.chance.random::<f64>() < 0.85;
        if marked {
            orders.push(Order::Mark { mark, all_proxies: true });
        }
        self.found.replies += 1;
        let fine = self.plain_fits && self.plain.clone().judge(&orders);
        let breach = match self.spoilt {
            Spoilt::Plain => None,
            _ => self.judge.judge(self.now, &orders).err(),
        };
        if breach.is_some() || self.spoilt == Spoilt::Plain && !fine {
            let gone = breach.map(|breach| breach.witness).is_some_and(|known| {
                known.how != How::Bind && !self.plain.binds.contains_key(&(known.proxy, known.product))
            });
            self.found.refused += 1;
            self.found.refused_falsely += u64::from(fine);
            self.found.for_gone += u64::from(fine && gone);
            return;
        }
        for order in &orders {
            self.plain.carry_out(order);
        }
        self.waiting.extend(orders);
        self.marks.extend(marked.then_some(mark));
        if self.spoilt == Spoilt::NoRepeats {
            self.judge.answered(self.judge.place());
        }
    }

    fn call(&mut self) {
        if self.waiting.is_empty() || matches!(self.call, Call::Unsure { told: false, .. }) {
            return;
        }
        let count = self.waiting.len();
        match if self.calm { 9 } else { self.chance.random_range(0..10) } {
            0 => {}
            refused if refused <= if self.spoilt == Spoilt::NoGivingUp { 4 } else { 1 } => {
                let taken = self.chance.random_range(0..count);
                self.carry_out(taken);
                self.waiting.drain(..taken);
                // An order that is refused twice, by its own fault or because of a corrupted answer, is dropped.
                if self.chance.random::<f64>() < 0.5 {
                    if let Some(order) = self.waiting.pop_front() {
                        // Later accepted orders relied on it, so nothing is guaranteed until the state is settled again.
                        (self.holds, self.plain_fits) = (false, false);
                        self.relay_news.push_back(News::NotTaken { order });
                    }
                }
                self.call = Call::Idle;
                self.again();
            }
            ..5 => {
                if self.chance.random::<f64>() < 0.7 {
                    self.carry_out(count);
                }
                let pause = 50.0 + self.chance.random::<f64>() * 1_500.0;
                self.call = Call::Unsure { tell: self.now + pause, told: false };
                self.found.repeats += 1;
            }
            _ => {
                self.carry_out(count);
                self.waiting.clear();
                self.call = Call::Idle;
                // Some fronts report it, some do not.
                if self.chance.random_range(0..10) < self.tells {
                    self.relay_news.push_back(News::Done { place: self.judge.place() });
                }
            }
        }
        if self.waiting.is_empty() {
            self.marks.clear();
        }
    }

    fn again(&mut self) {
        if !self.waiting.is_empty() {
            self.relay_news.extend(self.marks.iter().map(|mark| News::Again { mark: *mark }));
        }
    }

    /// Delivers the relay's events: unsure calls at their time, dropped orders at once. They are not reordered with the
    /// events of proxies.
    fn tell(&mut self) {
        if let Call::Unsure { tell, told } = &mut self.call {
            if !*told && self.now >= *tell {
                *told = true;
                self.again();
            }
        }
        while let Some(news) = self.relay_news.pop_front() {
            match news {
                News::Again { mark } if self.spoilt != Spoilt::NoRepeats => self.judge.unsure(mark),
                News::NotTaken { order } if self.spoilt != Spoilt::NoGivingUp => self.judge.gave_up(&[order]),
                News::Done { place } => self.judge.answered(place),
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, count: usize) {
        let orders: Vec<Order> = self.waiting.iter().take(count).cloned().collect();
        for order in orders {
            let mut stand = self.line.last().map_or_else(Stand::default, |last| last.1.clone());
            match &order {
                Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                    stand.tables.entry(*table).or_default().insert(*host);
                }
                Order::SetEntry { table, host, .. } => {
                    stand.tables.entry(*table).or_default().remove(host);
                }
                Order::ClearTable { table } => drop(stand.tables.remove(table)),
                Order::Withdraw { host, withdrawn: true } => {
                    stand.out.insert(*host);
                }
                Order::Withdraw { host, withdrawn: false } => {
                    stand.out.remove(host);
                }
                Order::Bind { proxy, table, classes } => {
                    // A proxy that is not joined is not bound; the relay carries out the other orders.
                    if let Some(held) = self.proxies.get(proxy).filter(|held| held.joined) {
                        for id in (0..PRODUCTS).map(ClassId) {
                            if *classes == ClassSet::ALL || classes.0 & ClassSet::one(id).0 != 0 {
                                stand.binds.insert((*proxy, held.session, id), *table);
                            }
                        }
                    }
                }
                _ => {}
            }
            self.line.push((order, stand));
        }
    }

    /// A proxy reads some of the carried-out orders and answers their marks.
    fn read(&mut self) {
        let proxy = ProxyId(self.one_of(PROXIES));
        let line = self.line.len();
        let steps = self.chance.random_range(1..8);
        let lost = self.chance.random::<f64>() < 0.05 && !self.calm;
        let Some(held) = self.proxies.get_mut(&proxy).filter(|held| held.joined) else { return };
        let to = line.min(held.read + steps);
        for (order, _) in &self.line[held.read..to] {
            if let (Order::Mark { mark, .. }, false) = (order, lost) {
                self.news.push_back((self.now, News::Answered { proxy, mark: *mark }));
            }
        }
        held.read = to;
    }

    fn hear(&mut self) {
        for _ in 0..self.chance.random_range(1..6) {
            self.hear_one();
        }
    }

    fn hear_one(&mut self) {
        match self.news.pop_front().map(|news| news.1) {
            Some(News::Joined { proxy, zone, fresh }) => {
                self.heard.insert(proxy);
                self.judge.joined(self.now, proxy, zone, fresh)
            }
            Some(News::Left { proxy }) => {
                self.heard.remove(&proxy);
                self.judge.left(self.now, proxy)
            }
            Some(News::Answered { proxy, mark }) => {
                let all = (0..PROXIES).map(ProxyId);
                let whom = |one: &ProxyId| *one == proxy || self.spoilt == Spoilt::OneForAll;
                all.filter(whom).for_each(|one| self.judge.applied(self.now, one, mark));
            }
            Some(_) | None => {}
        }
    }

    fn join(&mut self, proxy: ProxyId) {
        let fresh = self.chance.random::<f64>() < 0.5;
        let zone = ZoneId(proxy.0 % ZONES);
        let line = self.line.len();
        let first = !self.proxies.contains_key(&proxy);
        let held = self.proxies.entry(proxy).or_default();
        (held.zone, held.joined, held.read, held.session) = (zone, true, line, held.session + 1);
        if fresh || first {
            // A bootstrap table, or one of another controller.
            let all: BTreeSet<HostId> = (0..HOSTS).map(HostId).collect();
            held.before = (0..PRODUCTS).map(|id| (ClassId(id), all.clone())).collect();
        }
        self.plain.zones.insert(proxy, zone);
        self.news.push_back((self.now, News::Joined { proxy, zone, fresh }));
    }

    fn leave(&mut self, proxy: ProxyId) {
        let Some(held) = self.proxies.get(&proxy) else { return };
        let mut before = held.before.clone();
        for id in (0..PRODUCTS).map(ClassId) {
            if let Some(hosts) = self.bound(proxy, held, held.read, id) {
                before.insert(id, hosts);
            }
        }
        if let Some(held) = self.proxies.get_mut(&proxy) {
            (held.before, held.joined, held.left) = (before, false, self.now);
        }
        self.plain.binds.retain(|(bound, _), _| *bound != proxy);
        self.news.push_back((self.now, News::Left { proxy }));
    }

    /// The hosts that the proxy may use after reading that many orders; `None` if it is not bound.
    fn bound(&self, proxy: ProxyId, held: &Held, read: usize, id: ClassId) -> Option<BTreeSet<HostId>> {
        let stand = &self.line[..read].last()?.1;
        let table = stand.binds.get(&(proxy, held.session, id))?;
        let lines = stand.tables.get(table).cloned().unwrap_or_default();
        Some(lines.into_iter().filter(|host| !stand.out.contains(host)).collect())
    }

    fn breaks(&self, zone: ZoneId, id: ClassId, hosts: &BTreeSet<HostId>) -> bool {
        let zones = self.reach.get(&(id, zone)).copied().unwrap_or(Zones::ALL);
        hosts.iter().any(|host| !self.within(*host, zones))
    }

    /// Checks that no proxy can hold a host outside the reach, however far it has read the carried-out orders.
    fn check(&mut self) {
        // When a drain grace ends, an existing table entry can become invalid by time alone.
        for place in self.places.values_mut().filter(|place| place.0 != place.1 && self.now >= place.2) {
            place.1 = place.0;
            self.holds = false;
        }
        if !self.holds {
            return;
        }
        let mut outside = false;
        for (proxy, held) in self.proxies.iter().filter(|(_, held)| held.joined) {
            for read in held.read..=self.line.len() {
                for id in (0..PRODUCTS).map(ClassId) {
                    let hosts = self.bound(*proxy, held, read, id);
                    outside |= hosts.is_some_and(|hosts| self.breaks(held.zone, id, &hosts));
                }
            }
        }
        if outside {
            self.found.outside += 1;
            // Consequences of the same breach are not counted again.
            self.holds = false;
        }
    }

    fn settle(&mut self) {
        let linger = if self.spoilt == Spoilt::NoLinger { 0.0 } else { LINGER };
        if self.spoilt == Spoilt::Plain || self.judge.settled(self.now, linger).is_err() {
            return;
        }
        let mut falsely = false;
        for (proxy, held) in &self.proxies {
            // A proxy whose join is not yet known belongs to another controller, and so does one that left long ago.
            let unheard =
                |news: &(f64, News)| matches!(&news.1, News::Joined { proxy: of, .. } if of == proxy);
            if self.news.iter().any(unheard) || !held.joined && self.now >= held.left + LINGER {
                continue;
            }
            let reads = if held.joined { held.read..=self.line.len() } else { held.read..=held.read };
            for read in reads {
                for id in (0..PRODUCTS).map(ClassId) {
                    let bound = held.joined.then(|| self.bound(*proxy, held, read, id)).flatten();
                    let hosts = bound.or(held.before.get(&id).cloned()).unwrap_or_default();
                    falsely |= self.breaks(held.zone, id, &hosts);
                }
            }
        }
        self.found.settled += 1;
        self.found.settled_falsely += u64::from(falsely);
        self.holds = !falsely;
    }
}
