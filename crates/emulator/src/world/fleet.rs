//! Several controllers active in one fleet. Each has its own proxies, channel, probes and traffic reports, and its view of
//! the shared discovery; hosts receive the load and the probes of all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use super::*;
use crate::discovery::{Asked, Call, Discovery, Up};
use crate::relay::{Over, Relay};
use crate::rules::{Breach, Checker, Rule};

/// Interval of the checks of the whole fleet, ms.
const CHECK_INTERVAL: f64 = 200.0;
/// A call to the relay without an answer within `CALL_TIMEOUT` is repeated, first after `RETRY_PAUSE`; the pause
/// doubles up to `MAX_RETRY_PAUSE`. All in ms.
const CALL_TIMEOUT: f64 = 50.0;
const RETRY_PAUSE: f64 = 500.0;
const MAX_RETRY_PAUSE: f64 = 1_500.0;
/// Time that a replaced host keeps working after it left the list, ms.
const REPLACED_HOST_RUNS_FOR: f64 = 4_000.0;
/// Run number of the bootstrap tables, which come from no controller run.
const NO_RUN: u32 = 0;

/// Which controller each proxy belongs to while all controllers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Homes {
    /// The controller of its zone; zones are distributed over the controllers in turn.
    ByZone,
    /// In turn, independent of the zone.
    Dealt,
    /// All proxies belong to this controller; the others have none.
    AllAt(u16),
}

#[derive(Clone, Debug)]
pub struct Fleet {
    pub stewards: u16,
    pub homes: Homes,
    /// The channel of each controller.
    pub channel: Channel,
    pub discovery: Asked,
    /// Time within which its proxies return to a restarted controller, ms.
    pub back_within: f64,
    /// Controllers start with the current host list; otherwise with none, and all request it at once.
    pub list_known: bool,
    /// A cold host that is overloaded fails and restarts after this time, ms; `None`: it keeps working.
    pub falls_for: Option<f64>,
    /// Work of answering a probe, core-ms.
    pub probe_work: f64,
}

impl Fleet {
    /// The usual channel: 1.75 lines per second and a backlog of 24 lines for each proxy of the whole fleet.
    pub fn usual(shape: &Shape, stewards: u16) -> Fleet {
        let proxies = f64::from(shape.proxies);
        let channel = Channel {
            lines_per_s: 1.75 * proxies,
            message_overhead: 6.0,
            max_backlog: 24.0 * proxies,
            max_messages: 30,
            message_window: 10_000.0,
            typical_transit: shape.transit,
            max_transit: 2.5 * shape.transit,
        };
        let discovery = Asked { calls_per_s: 20.0, patience: 1_000.0, ages: vec![] };
        Fleet {
            stewards,
            homes: Homes::ByZone,
            channel,
            discovery,
            back_within: 2_000.0,
            list_known: false,
            falls_for: Some(5_000.0),
            probe_work: 1.0,
        }
    }

    /// A single controller with the combined channel capacity of all, which sees the whole fleet.
    pub fn seeing_all(&self) -> Fleet {
        let times = f64::from(self.stewards);
        let Channel { lines_per_s, max_backlog, .. } = self.channel;
        let channel = Channel {
            lines_per_s: times * lines_per_s,
            max_backlog: times * max_backlog,
            ..self.channel.clone()
        };
        Fleet { stewards: 1, homes: Homes::Dealt, channel, ..self.clone() }
    }
}

/// Results of a day with several controllers.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub breaches: Vec<Breach>,
    /// From the end of the last fault until the tables settled, ms; `None` if they had not by the end of the day.
    pub settled_after: Option<f64>,
    /// The last reason seen why the tables were not settled.
    pub unsettled: String,
    /// Calls to discovery: the maximum in one second, and the total.
    pub calls: (u32, u32),
    /// Probes per host and second: the mean, and the maximum for one host.
    pub probes: (f64, u32),
    pub stewards: Vec<SeenOf>,
    /// Per proxy whose controller stopped: time until it had a working host for each request class, and until a
    /// controller had bound it for all classes, ms. Proxies that had not reached this by the end of the day are counted
    /// in `never_bound` instead.
    pub serving_after: Vec<f64>,
    pub bound_after: Vec<f64>,
    pub never_bound: usize,
    /// Number of decisions of all controllers.
    pub decisions: u64,
    /// Cold hosts that failed from overload, and the maximum load offered to one, as a multiple of its capacity.
    pub fallen: u32,
    pub cold_most: f64,
    /// Relay calls without an answer.
    pub unsure: u32,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct SeenOf {
    pub lines: f64,
    /// Maximum number of waiting lines, as a fraction of the backlog limit.
    pub most_waiting: f64,
    pub probes: u64,
    pub calls: u32,
    /// Value of the txns that arrived at its proxies.
    pub offered: f64,
    pub earned: f64,
}

impl Seen {
    pub fn broke(&self, rule: Rule) -> usize {
        self.breaches.iter().filter(|breach| breach.rule == rule).count()
    }
}

pub(super) enum Step {
    Join {
        proxy: ProxyId,
        session: u32,
    },
    Message {
        front: usize,
        run: u32,
        proxy: ProxyId,
        session: u32,
        orders: Vec<Order>,
    },
    /// Discovery answers its call.
    Turn {
        front: usize,
        up: Up,
    },
    Refused {
        front: usize,
        run: u32,
    },
    Changed {
        front: usize,
        up: Up,
    },
    /// Repeats a call that got no answer, together with the orders queued since.
    Again {
        front: usize,
        run: u32,
    },
    /// A paused controller process runs.
    Turned,
    /// A failed host restarts.
    Rises {
        host: HostId,
    },
    Replace {
        host: u32,
    },
    /// The process of a host that was replaced ends.
    Ends {
        host: u32,
    },
    Check,
}

struct Station {
    up: bool,
    run: u32,
    relay: Relay,
    /// When this run learnt that a host is draining or removed.
    gone: BTreeMap<HostId, f64>,
    seen: SeenOf,
    /// Orders not yet acknowledged by the relay; since when a call is unanswered and the next retry pause, ms; and the
    /// number of calls made.
    waiting: Vec<Order>,
    unsure: Option<(f64, f64)>,
    calls: u32,
    /// Where the next round of traffic reports starts, and when each pair was last reported.
    turn: usize,
    told: BTreeMap<Pair, f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Pair {
    Met(ZoneId, HostId),
    Came(u16, u16),
}

#[derive(Clone, Default)]
struct Home {
    at: Option<usize>,
    /// Number of joins and losses. Messages sent before the last one are dropped.
    session: u32,
    /// Drains known to its controller apply to it only from this time on.
    drains_from: f64,
    /// When its controller stopped, and whether it has had a working host, and a bind, since.
    lost: Option<(f64, bool, bool)>,
}

pub(super) struct Stations {
    pub fleet: Fleet,
    all: Vec<Station>,
    homes: Vec<Home>,
    discovery: Discovery,
    checker: Checker,
    runs: u32,
    probes: BTreeMap<(u64, HostId), u32>,
    /// Scheduled turns of paused controllers, by time.
    turns: BTreeSet<(usize, u64)>,
    seen: Seen,
    unsettled_at: f64,
}

impl Stations {
    /// The controller that receives a proxy's traffic reports; the first one if the proxy has none.
    pub fn controller_of(&self, proxy: ProxyId) -> usize {
        self.homes[usize::from(proxy.0)].at.unwrap_or(0)
    }
}

impl World {
    /// Runs the day with several controllers. Controller and discovery faults have an effect only here.
    pub fn fleet(mut self, fleet: Fleet) -> World {
        let products = self.shape.products.len() as u16;
        let hosts = self.hosts.iter().map(|host| host.listed.clone());
        self.stations = Some(Stations {
            discovery: Discovery::new(fleet.discovery.clone(), hosts),
            all: (0..fleet.stewards)
                .map(|_| Station {
                    up: false,
                    run: NO_RUN,
                    relay: Relay::new(fleet.channel.clone(), products),
                    gone: BTreeMap::new(),
                    waiting: Vec::new(),
                    unsure: None,
                    calls: 0,
                    seen: SeenOf::default(),
                    turn: 0,
                    told: BTreeMap::new(),
                })
                .collect(),
            homes: vec![Home::default(); usize::from(self.shape.proxies)],
            checker: Checker::default(),
            runs: NO_RUN,
            probes: BTreeMap::new(),
            turns: BTreeSet::new(),
            seen: Seen::default(),
            unsettled_at: 0.0,
            fleet,
        });
        let stations = self.stations.as_ref().map_or(1, |stations| stations.all.len());
        self.fronts.resize_with(stations, || Front::new(&self.shape, Reports::Off, 0));
        self.fronts.iter_mut().skip(1).for_each(|front| front.proxies.clear());
        self
    }

    /// Starts the proxies with a few hosts of their zone, and all controllers at the same time.
    pub(super) fn begin_fleet(&mut self) {
        let bootstrap_hosts = crate::BOOTSTRAP_HOSTS as usize;
        for at in 0..self.fronts[0].proxies.len() {
            let zone = self.fronts[0].proxies[at].zone;
            let there: Vec<HostId> = self
                .hosts
                .iter()
                .map(|host| &host.listed)
                .filter(|row| row.zone == zone)
                .map(|row| row.host)
                .collect();
            let first = self.hashed((at, "standing")) as usize;
            let given = (0..bootstrap_hosts.min(there.len())).map(|step| there[(first + step) % there.len()]);
            self.fronts[0].proxies[at].start_with(given);
        }
        for front in 0..self.fronts.len() {
            self.start_controller(front);
        }
        for proxy in 0..self.shape.proxies {
            self.join(ProxyId(proxy));
        }
        self.at(CHECK_INTERVAL, What::Fleet(Step::Check));
    }

    /// A pseudo-random value that depends on the seed and on `about` only.
    fn hashed(&self, about: impl std::hash::Hash) -> u64 {
        let hashed = BuildHasherDefault::<DefaultHasher>::default();
        hashed.hash_one((self.seed, about)) >> 8
    }

    fn stations(&mut self) -> &mut Stations {
        self.stations.as_mut().expect("only a fleet gets here")
    }

    pub(super) fn controller_of(&self, proxy: ProxyId) -> usize {
        self.stations.as_ref().map_or(0, |stations| stations.controller_of(proxy))
    }

    fn zone_of(&self, front: usize) -> ZoneId {
        ZoneId(front as u16 % self.shape.zones)
    }

    pub(super) fn start_controller(&mut self, front: usize) {
        let Some(stations) = &mut self.stations else { return };
        let station = &mut stations.all[front];
        if station.up {
            return;
        }
        stations.runs += 1;
        (station.up, station.run) = (true, stations.runs);
        station.relay = Relay::new(stations.fleet.channel.clone(), self.shape.products.len() as u16);
        station.gone.clear();
        station.told.clear();
        station.waiting.clear();
        station.unsure = None;
        let proxies_by_zone = stations.fleet.homes == Homes::ByZone;
        let (all, run) = (stations.all.len() as u32, stations.runs);
        let (channel, known) = (stations.fleet.channel.clone(), stations.fleet.list_known);
        let instance = InstanceSettings {
            seed: self.hashed((front, run)),
            zone: self.zone_of(front),
            zone_count: self.shape.zones,
            controllers: all,
            proxies_by_zone,
            slice_count: 0,
            may_probe: true,
        };
        self.fronts[front].controller = Box::new(self.shape.controller_at(instance, channel, true));
        let on = self
            .hosts
            .iter()
            .map(|host| &host.listed)
            .filter(|row| row.availability == Availability::InService);
        let entries = if known { on.cloned().collect() } else { vec![] };
        self.fronts[front].events = vec![Event::List { update: ListUpdate::Restored, entries }];
        // Proxies without a controller join at once; its own proxies when they notice that it is back.
        for at in 0..self.shape.proxies {
            let within = self.stations().fleet.back_within;
            let home = self.stations().homes[usize::from(at)].clone();
            let wait = within * (self.hashed((at, run, "back")) % 1_000) as f64 / 1e3;
            let wait = if home.at.is_none() { PATH } else { wait };
            if self.now > 0.0 && (home.at.is_none() || self.home(ProxyId(at)) == Some(front)) {
                self.at(
                    self.now + wait,
                    What::Fleet(Step::Join { proxy: ProxyId(at), session: home.session }),
                );
            }
        }
    }

    /// The controller that a proxy joins now: its home, or another that is running.
    fn home(&self, proxy: ProxyId) -> Option<usize> {
        let stations = self.stations.as_ref()?;
        let home = match stations.fleet.homes {
            Homes::ByZone => usize::from(self.fronts[0].proxies[usize::from(proxy.0)].zone.0),
            Homes::Dealt => usize::from(proxy.0),
            Homes::AllAt(steward) => usize::from(steward),
        } % stations.all.len();
        let up: Vec<usize> = (0..stations.all.len()).filter(|at| stations.all[*at].up).collect();
        let other = || (!up.is_empty()).then(|| up[self.hashed((proxy.0, up.len())) as usize % up.len()]);
        Some(home).filter(|home| stations.all[*home].up).or_else(other)
    }

    fn join(&mut self, proxy: ProxyId) {
        let place = usize::from(proxy.0);
        let to = self.home(proxy);
        let now = self.now;
        let from = self.stations().homes[place].at;
        if let Some(from) = from.filter(|from| Some(*from) != to && self.stations().all[*from].up) {
            self.stations().all[from].relay.leave(proxy);
            self.fronts[from].events.push(Event::ProxyLeft { proxy });
        }
        let lines = self.hosts.iter().filter(|host| host.left.is_none()).count() as f64;
        let lines = lines / f64::from(self.shape.zones);
        let stations = self.stations();
        let home = &mut stations.homes[place];
        (home.at, home.session) = (to, home.session + 1);
        let Some(to) = to else { return };
        let station = &mut stations.all[to];
        station.relay.join(proxy);
        home.drains_from = now + station.relay.time_to_bind(now, lines);
        let run = station.run;
        let held = &mut self.fronts[0].proxies[place];
        held.follow(run);
        (held.stalled, held.unread) = (held.stalled, vec![]);
        let (zone, txns_per_s) = (held.zone, self.shape.rate() / f64::from(self.shape.proxies));
        self.fronts[to].events.push(Event::ProxyJoined {
            proxy,
            zone,
            txns_per_s,
            without_table: now <= 0.0,
        });
    }

    /// Stops a controller: its channel, calls and state are lost, and its proxies move to the others at once.
    fn lose(&mut self, front: usize) {
        let now = self.now;
        if !std::mem::take(&mut self.stations().all[front].up) {
            return;
        }
        self.fronts[front].events.clear();
        self.todo.retain(|_, what| !matches!(what, What::Tell { front: of, .. } if *of == front));
        self.host_counts.retain(|(of, ..), _| *of != front);
        let stations = self.stations();
        stations.discovery.lose(front);
        let (lines, most) = (stations.all[front].relay.lines, stations.all[front].relay.most);
        stations.all[front].close(lines, most, stations.fleet.channel.max_backlog);
        let left: Vec<ProxyId> = stations.all[front].relay.joined().collect();
        for proxy in left {
            let home = &mut self.stations().homes[usize::from(proxy.0)];
            (home.at, home.session, home.lost) = (None, home.session + 1, Some((now, false, false)));
            let session = home.session;
            self.at(now + PATH, What::Fleet(Step::Join { proxy, session }));
        }
    }

    pub(super) fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Join { proxy, session } => {
                if self.stations().homes[usize::from(proxy.0)].session == session {
                    self.join(proxy);
                }
            }
            Step::Message { front, run, proxy, session, orders } => {
                let home = &self.stations().homes[usize::from(proxy.0)];
                if home.at == Some(front) && home.session == session && self.stations().all[front].run == run
                {
                    self.heard(0, proxy, &orders);
                    self.fronts[0].proxies[usize::from(proxy.0)].tidy();
                }
            }
            Step::Turn { front, up } => self.turn(front, up),
            Step::Refused { front, run } => {
                if self.stations().all[front].up && self.stations().all[front].run == run {
                    self.list_fails(front);
                }
            }
            Step::Changed { front, up } => {
                let Some((rows, next)) = self.stations().discovery.tell(now, front, up) else { return };
                self.tell_list(front, ListUpdate::Changes, rows);
                next.into_iter().for_each(|at| self.at(at + PATH, What::Fleet(Step::Changed { front, up })));
            }
            Step::Again { front, run } => {
                if self.stations().all[front].up && self.stations().all[front].run == run {
                    self.call_again(front);
                }
            }
            // Pending events are decided on after each step.
            Step::Turned => {}
            Step::Rises { host } => self.rise(host),
            Step::Replace { host } => self.replace(host),
            Step::Ends { host } => self.hosts[host as usize].fall(now),
            Step::Check => {
                self.check();
                self.at(now + CHECK_INTERVAL, What::Fleet(Step::Check));
            }
        }
    }

    fn list_fails(&mut self, front: usize) {
        self.fronts[front].events.push(Event::List { update: ListUpdate::Failed, entries: vec![] });
    }

    pub(super) fn ask(&mut self, front: usize) {
        let now = self.now;
        let stations = self.stations();
        stations.all[front].seen.calls += 1;
        let run = stations.all[front].run;
        match stations.discovery.ask(now, front) {
            Call::Turn(at, up) => self.at(at + PATH, What::Fleet(Step::Turn { front, up })),
            Call::Fails(at) => self.at(at + 2.0 * PATH, What::Fleet(Step::Refused { front, run })),
        }
    }

    fn turn(&mut self, front: usize, up: Up) {
        let now = self.now;
        let Some((whole, next)) = self.stations().discovery.answer(now, front, up) else { return };
        self.tell_list(front, ListUpdate::Whole, whole);
        next.into_iter().for_each(|at| self.at(at + PATH, What::Fleet(Step::Changed { front, up })));
    }

    fn tell_list(&mut self, front: usize, update: ListUpdate, entries: Vec<HostEntry>) {
        // A paused controller learns of it when its process runs.
        let now = self.turn_at(front);
        let named: BTreeMap<HostId, Availability> =
            entries.iter().map(|row| (row.host, row.availability)).collect();
        let all: Vec<HostId> = self.hosts.iter().map(|host| host.listed.host).collect();
        let gone = &mut self.stations().all[front].gone;
        for host in all {
            match named.get(&host) {
                Some(Availability::InService) => drop(gone.remove(&host)),
                Some(_) => drop(gone.entry(host).or_insert(now)),
                None if update == ListUpdate::Whole => drop(gone.entry(host).or_insert(now)),
                None => {}
            }
        }
        self.fronts[front].events.push(Event::List { update, entries });
    }

    /// Publishes list changes through discovery.
    pub(super) fn changed(&mut self, rows: Vec<HostEntry>) {
        let now = self.now;
        let discovery = &mut self.stations().discovery;
        let (hear, up) = (discovery.change(now, &rows), discovery.up());
        for (front, at) in hear {
            self.at(at + PATH, What::Fleet(Step::Changed { front, up }));
        }
    }

    /// Removes a host and starts a new cold one in its place.
    fn replace(&mut self, host: u32) {
        let (now, cores, room) = (self.now, self.shape.cores, self.shape.room);
        let old = &mut self.hosts[host as usize];
        if old.left.is_some() {
            return;
        }
        (old.left, old.listed.availability) = (Some(now), Availability::Removed);
        let gone = old.listed.clone();
        let number = self.hosts.len() as u32;
        let fresh = HostEntry { host: HostId(number), availability: Availability::InService, ..gone.clone() };
        let mut new = Host::new(fresh, cores, room);
        new.start(now);
        let listed = new.listed.clone();
        self.hosts.push(new);
        self.changed(vec![gone, listed]);
        self.at(now + REPLACED_HOST_RUNS_FOR, What::Fleet(Step::Ends { host }));
    }

    pub(super) fn fleet_fault(&mut self, trouble: &Trouble, begins: bool, lasts: f64) {
        let now = self.now;
        match trouble {
            Trouble::StewardsLost { stewards } => {
                for front in stewards.iter().map(|steward| usize::from(*steward)) {
                    match begins {
                        true => self.lose(front),
                        false => self.start_controller(front),
                    }
                }
            }
            // A stalled proxy receives no orders: drains apply to it from the time it reads again.
            Trouble::Stall { proxies } if !begins => {
                for proxy in proxies {
                    let home = &mut self.stations().homes[usize::from(*proxy)];
                    home.drains_from = home.drains_from.max(now);
                }
            }
            Trouble::DiscoveryDown if begins => {
                let broke = self.stations().discovery.fall();
                for front in broke {
                    let run = self.stations().all[front].run;
                    self.at(self.now + PATH, What::Fleet(Step::Refused { front, run }));
                }
            }
            Trouble::DiscoveryDown => self.stations().discovery.rise(),
            Trouble::DiscoverySlow { times } => {
                self.stations().discovery.slow(if begins { *times } else { 1.0 });
            }
            Trouble::Replace { hosts } if begins => {
                for (place, host) in hosts.iter().enumerate() {
                    let after = lasts * place as f64 / hosts.len() as f64;
                    self.at(self.now + after, What::Fleet(Step::Replace { host: *host }));
                }
            }
            _ => {}
        }
    }

    /// Whether this controller's probes and its proxies' reports about the host reach it.
    pub(super) fn sees(&self, front: usize, host: HostId) -> bool {
        let (at, own) = (self.hosts[host.0 as usize].listed.zone, self.zone_of(front));
        !self.faults_now().any(|trouble| match trouble {
            Trouble::CutFor { zone, stewards } => *zone == at && stewards.contains(&(front as u16)),
            Trouble::Bad { hosts, seen_from } => {
                hosts.contains(&host.0) && (seen_from.is_empty() || seen_from.contains(&own))
            }
            _ => false,
        })
    }

    /// Whether a try from that zone is lost at the host.
    pub(super) fn loses(&self, from: ZoneId, host: HostId) -> bool {
        self.faults_now().any(|trouble| match trouble {
            Trouble::Bad { hosts, seen_from } => {
                hosts.contains(&host.0) && (seen_from.is_empty() || seen_from.contains(&from))
            }
            _ => false,
        })
    }

    pub(super) fn fleet_probe(&mut self, front: usize, host: HostId) {
        let second = (self.now / 1e3) as u64;
        if let Some(stations) = &mut self.stations {
            *stations.probes.entry((second, host)).or_default() += 1;
            stations.all[front].seen.probes += 1;
            let work = stations.fleet.probe_work;
            if self.hosts[host.0 as usize].up && self.sees(front, host) {
                self.hosts[host.0 as usize].probed(work);
                self.fleet_offered(host, work);
            }
        }
    }

    /// Sends a controller's orders to its proxies through its own channel: at once, or after a call that is still
    /// unanswered.
    pub(super) fn write(&mut self, front: usize, orders: &[Order]) {
        let station = &mut self.stations().all[front];
        station.waiting.extend_from_slice(orders);
        if station.unsure.is_none() && !station.waiting.is_empty() {
            self.call(front);
        }
    }

    /// Sends all waiting orders as one call. A call without an answer may have been carried out.
    fn call(&mut self, front: usize) {
        let (now, part) = (self.now, self.unsure_part(front));
        let station = &mut self.stations().all[front];
        station.calls += 1;
        let (run, calls) = (station.run, station.calls);
        let chance = |what: &str| (self.hashed((front, run, calls, what)) % 1_000) as f64 / 1e3;
        let (answered, carried) = (chance("answered") >= part, chance("carried out") < 0.5);
        if !answered {
            let stations = self.stations();
            stations.seen.unsure += 1;
            let station = &mut stations.all[front];
            let (since, pause) = station.unsure.unwrap_or((now, RETRY_PAUSE));
            station.unsure = Some((since, MAX_RETRY_PAUSE.min(2.0 * pause)));
            self.at(now + CALL_TIMEOUT + pause, What::Fleet(Step::Again { front, run }));
        } else {
            self.answered(front);
        }
        if answered || carried {
            let station = &mut self.stations().all[front];
            let orders =
                if answered { std::mem::take(&mut station.waiting) } else { station.waiting.clone() };
            self.carried_out(front, &orders);
        }
    }

    /// Time limits are suspended while a call is unanswered: earlier drain times move by the time it took.
    fn answered(&mut self, front: usize) {
        let now = self.now;
        let station = &mut self.stations().all[front];
        let Some((since, _)) = station.unsure.take() else { return };
        for told in station.gone.values_mut().filter(|told| **told + GRACE > since) {
            *told += (now - since.max(*told)).max(0.0);
        }
    }

    /// Repeats a call, and tells the controller that the messages of its marks may arrive twice.
    fn call_again(&mut self, front: usize) {
        let marks = self.stations().all[front].waiting.iter().filter_map(|order| match order {
            Order::Mark { mark, .. } => Some(Event::CallDuplicated { mark: *mark }),
            _ => None,
        });
        let marks: Vec<Event> = marks.collect();
        self.fronts[front].events.extend(marks);
        self.call(front);
    }

    fn unsure_part(&self, front: usize) -> f64 {
        let of = |trouble: &Trouble| match trouble {
            Trouble::Unsure { stewards, part } if stewards.contains(&(front as u16)) => *part,
            _ => 0.0,
        };
        self.faults_now().map(of).fold(0.0, f64::max)
    }

    /// When the controller's process runs next: now, unless a fault pauses it.
    fn turn_at(&self, front: usize) -> f64 {
        let now = self.now;
        let turn = |fault: &Fault| match &fault.what {
            Trouble::StewardsSlow { stewards, every } if stewards.contains(&(front as u16)) => {
                // Times are whole microseconds: a turn within one microsecond counts as now.
                let turns = ((now - fault.from) / every - 1e-3 / every).ceil();
                (fault.from + turns.max(0.0) * every).min(fault.until)
            }
            _ => now,
        };
        let held = self.faults.iter().filter(|fault| (fault.from..fault.until).contains(&now));
        held.map(turn).fold(now, f64::max)
    }

    /// Whether the controller's process is paused now; its events wait until it runs.
    pub(super) fn stands_still(&mut self, front: usize) -> bool {
        let (now, turn) = (self.now, self.turn_at(front));
        if self.stations.is_none() || turn <= now + 1e-3 {
            return false;
        }
        if self.stations().turns.insert((front, turn.to_bits())) {
            self.at(turn + 1e-3, What::Fleet(Step::Turned));
        }
        true
    }

    fn carried_out(&mut self, front: usize, orders: &[Order]) {
        let now = self.now;
        let stations = self.stations();
        let station = &mut stations.all[front];
        let run = station.run;
        let (sent, over) = station.relay.write(now, orders);
        for over in over {
            let (proxy, what) = match over {
                Over::Backlog(lines) => (None, format!("{lines:.0} lines wait")),
                Over::Messages(proxy, many) => (Some(proxy), format!("{many} messages")),
            };
            let (rule, steward, host) = (Rule::Queue, Some(front), None);
            stations.checker.broke(Breach { rule, at: now, steward, proxy, host, what });
        }
        for message in sent {
            let session = self.stations().homes[usize::from(message.proxy.0)].session;
            let (proxy, orders) = (message.proxy, message.orders);
            self.at(message.at, What::Fleet(Step::Message { front, run, proxy, session, orders }));
        }
    }

    /// A round of traffic reports. A controller accepts a limited number of lines per second, so pairs take turns.
    pub(super) fn fleet_sums(&mut self) {
        let (now, every) = (self.now, self.shape.sums.interval);
        let most = (self.shape.sums.max_lines_per_s * every / 1e3) as usize;
        let mut pairs: Vec<Vec<Pair>> = vec![Vec::new(); self.fronts.len()];
        for (front, zone, host) in self.host_counts.keys() {
            pairs[*front].push(Pair::Met(*zone, *host));
        }
        for (proxy, class) in self.proxy_counts.keys().copied() {
            let there = &self.fronts[0].proxies[usize::from(proxy)];
            let home = self.stations.as_ref().and_then(|stations| stations.homes[usize::from(proxy)].at);
            if let Some(front) = home.filter(|_| !there.stalled) {
                pairs[front].push(Pair::Came(proxy, class));
            }
        }
        for (front, mut pairs) in pairs.into_iter().enumerate() {
            let all = pairs.len();
            if all == 0 || !self.stations().all[front].up {
                continue;
            }
            let first = self.stations().all[front].turn % all;
            pairs.rotate_left(first);
            self.stations().all[front].turn = if all > most { first + most } else { 0 };
            for pair in pairs.into_iter().take(most) {
                let over = now - self.stations().all[front].told.insert(pair, now).unwrap_or(now - every);
                let (event, seen) = match pair {
                    Pair::Met(zone, host) => {
                        let sum = self.host_counts.remove(&(front, zone, host)).unwrap_or_default();
                        (sum.host_report(zone, host, over), !self.cut(zone) && !self.cut_for(front, zone))
                    }
                    Pair::Came(proxy, class) => {
                        let sum = self.proxy_counts.remove(&(proxy, class)).unwrap_or_default();
                        let zone = self.fronts[0].proxies[usize::from(proxy)].zone;
                        let seen = !self.cut(zone) && !self.cut_for(front, zone);
                        (sum.proxy_report(ProxyId(proxy), ClassId(class), over), seen)
                    }
                };
                // Reports held back by a network cut are dropped here; later reports replace them.
                if seen {
                    self.at(now + REPORT_DELAY + self.late_by(front), What::Tell { front, event });
                }
            }
        }
    }

    fn cut_for(&self, front: usize, zone: ZoneId) -> bool {
        let cut = |trouble: &Trouble| matches!(trouble, Trouble::CutFor { zone: at, stewards } if *at == zone && stewards.contains(&(front as u16)));
        self.faults_now().any(cut)
    }

    fn late_by(&self, front: usize) -> f64 {
        let of = |trouble: &Trouble| match trouble {
            Trouble::SumsLate { stewards, by } if stewards.contains(&(front as u16)) => *by,
            _ => 0.0,
        };
        self.faults_now().map(of).fold(0.0, f64::max)
    }

    pub(super) fn fleet_tried(&mut self, proxy: ProxyId, host: HostId) {
        let now = self.now;
        let stalled = self.fronts[0].proxies[usize::from(proxy.0)].stalled;
        let Some(stations) = self.stations.as_mut().filter(|_| !stalled) else { return };
        let home = &stations.homes[usize::from(proxy.0)];
        let Some(front) = home.at else { return };
        if stations.all[front].unsure.is_some() {
            return;
        }
        let Some(told) = stations.all[front].gone.get(&host) else { return };
        let from = told.max(home.drains_from) + GRACE;
        if now > from {
            let what = format!(
                "a try {:.0} ms after the list change, {:.0} ms after the grace",
                now - told,
                now - from
            );
            let (rule, steward, proxy, host) = (Rule::Drains, Some(front), Some(proxy), Some(host));
            stations.checker.broke(Breach { rule, at: now, steward, proxy, host, what });
        }
    }

    pub(super) fn fleet_offered(&mut self, to: HostId, work: f64) {
        let (now, host) = (self.now, &self.hosts[to.0 as usize]);
        let warmup = &self.shape.warmup;
        let cold = host.cold_since.is_some_and(|since| now < since + warmup.duration);
        if let Some(stations) = self.stations.as_mut().filter(|_| cold && host.up) {
            let able = f64::from(host.cores) * host.pace(now, warmup);
            let over = stations.checker.offered(now, to, work, able, warmup);
            if let Some(falls_for) = stations.fleet.falls_for.filter(|_| over) {
                stations.checker.fell(to);
                stations.seen.fallen += 1;
                self.hosts[to.0 as usize].fall(now);
                self.at(now + falls_for, What::Fleet(Step::Rises { host: to }));
            }
        }
    }

    /// Restarts a failed host, cold, unless something else stopped or started it meanwhile.
    fn rise(&mut self, host: HostId) {
        let now = self.now;
        let down =
            |trouble: &Trouble| matches!(trouble, Trouble::Restart { hosts } if hosts.contains(&host.0));
        let held = self.faults_now().any(down);
        let there = &mut self.hosts[host.0 as usize];
        if !there.up && there.left.is_none() && !held {
            there.start(now);
            let row = there.listed.clone();
            self.changed(vec![row]);
        }
    }

    pub(super) fn fleet_twice(&mut self, proxy: ProxyId) {
        let now = self.now;
        if let Some(stations) = &mut self.stations {
            let steward = stations.homes[usize::from(proxy.0)].at;
            let what = "a non-idempotent txn ran more than once".into();
            let (rule, proxy, host) = (Rule::Twice, Some(proxy), None);
            stations.checker.broke(Breach { rule, at: now, steward, proxy, host, what });
        }
    }

    pub(super) fn fleet_earned(&mut self, proxy: ProxyId, offered: f64, earned: f64) {
        let Some(stations) = &mut self.stations else { return };
        let home = stations.homes[usize::from(proxy.0)].at;
        if let Some(front) = home {
            let seen = &mut stations.all[front].seen;
            (seen.offered, seen.earned) = (seen.offered + offered, seen.earned + earned);
        }
    }

    /// Checks the state of all proxies, hosts and controllers.
    fn check(&mut self) {
        let (now, bare_for) = (self.now, crate::MAX_TIME_WITHOUT_HOST);
        let products = self.shape.products.len() as u16;
        // A controller that runs within a second counts as slow, not as paused.
        let held: Vec<bool> = (0..self.fronts.len()).map(|front| self.turn_at(front) > now + 1e3).collect();
        let Some(stations) = &mut self.stations else { return };
        let hosts = &self.hosts;
        let up = |host: HostId| hosts[host.0 as usize].up && hosts[host.0 as usize].left.is_none();
        let mut unsettled = None;
        for (at, proxy) in self.fronts[0].proxies.iter().enumerate() {
            let home = &mut stations.homes[at];
            let id = ProxyId(at as u16);
            let open = (0..products).all(|id| proxy.open(ClassId(id)).next().is_some());
            // Nothing can be sent to the proxy now, so its time limit is suspended.
            if home.at.is_some_and(|front| held[front] || stations.all[front].unsure.is_some()) {
                stations.checker.waits(id, CHECK_INTERVAL);
            }
            stations.checker.serves(now, id, home.at, open, bare_for);
            let bound = home.at.is_some() && proxy.bound_by_its_controller();
            if let Some((since, serving, was_bound)) = &mut home.lost {
                let serves = (0..products).all(|id| proxy.open(ClassId(id)).any(|(host, _)| up(host)));
                if serves && !std::mem::replace(serving, true) {
                    stations.seen.serving_after.push(now - *since);
                }
                if bound && !std::mem::replace(was_bound, true) {
                    stations.seen.bound_after.push(now - *since);
                }
                if *serving && *was_bound {
                    home.lost = None;
                }
            }
            if unsettled.is_none() {
                let dead =
                    || (0..products).flat_map(|id| proxy.open(ClassId(id))).find(|(host, _)| !up(*host));
                unsettled = match (bound, dead()) {
                    (false, _) => Some(format!("proxy {at} is not bound by controller {:?}", home.at)),
                    (_, Some((host, _))) => Some(format!("proxy {at} uses host {} that is down", host.0)),
                    _ => None,
                };
            }
        }
        for host in hosts.iter().filter(|host| up(host.listed.host)) {
            let warm = host.cold_since.is_none_or(|since| now >= since + self.shape.warmup.duration);
            let well = warm && (host.speed - 1.0).abs() < 1e-6;
            let shut = |front: &usize| {
                let station = &stations.all[*front];
                station.up && station.relay.out().contains(&host.listed.host)
            };
            if unsettled.is_none() && well {
                let front = (0..stations.all.len()).find(shut);
                let text =
                    |front| format!("healthy host {} is withdrawn by controller {front}", host.listed.host.0);
                unsettled = front.map(text);
            }
        }
        if let Some(why) = unsettled {
            (stations.unsettled_at, stations.seen.unsettled) = (now, why);
        }
    }

    /// Collects the results of the day.
    pub(super) fn fleet_seen(&mut self) -> Seen {
        let (lasts, faults) = (self.shape.lasts, &self.faults);
        let ends = faults.iter().map(|fault| if fault.until < lasts { fault.until } else { fault.from });
        let last = ends.fold(0.0, f64::max);
        let (now, hosts) = (self.now.min(lasts), f64::from(self.shape.hosts));
        let Some(mut stations) = self.stations.take() else { return Seen::default() };
        let mut seen = std::mem::take(&mut stations.seen);
        let settled = stations.unsettled_at + 2.0 * CHECK_INTERVAL < now;
        seen.settled_after = settled.then_some((stations.unsettled_at - last).max(0.0));
        seen.breaches = stations.checker.breaches;
        seen.cold_most = stations.checker.most;
        seen.calls = stations.discovery.calls();
        let probes: u64 = stations.all.iter().map(|station| station.seen.probes).sum();
        let most = stations.probes.values().copied().max().unwrap_or(0);
        seen.probes = (probes as f64 / hosts / (now / 1e3), most);
        seen.never_bound = stations.homes.iter().filter(|home| home.lost.is_some()).count();
        let backlog = stations.fleet.channel.max_backlog;
        let close = |station: &mut Station| {
            let (lines, most) = (station.relay.lines, station.relay.most);
            station.close(if station.up { lines } else { 0.0 }, most, backlog);
            station.seen
        };
        seen.stewards = stations.all.iter_mut().map(close).collect();
        seen.decisions = self.decisions;
        seen
    }
}

impl Station {
    /// Adds the channel figures of a controller run.
    fn close(&mut self, lines: f64, most: f64, backlog: f64) {
        self.seen.lines += lines;
        self.seen.most_waiting = self.seen.most_waiting.max(most / backlog);
    }
}
