//! Requests of a drill: each is drawn, sent to a host by the proxy's table and served by a model of the host, in real time.
//! What the proxies see of it goes into the traffic reports; what cold hosts are sent goes into the history.

mod balancing;
mod counts;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{Availability, ClassId, HostEntry, HostId, InstanceTypeId, PodId, ProxyId, ZoneId};
use amberarch_emulator::{Host as HostModel, Offer, TxnId};
use amberarch_histories::What;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::time::{interval, Instant};

use balancing::Balancing;
pub use balancing::Pick;
use counts::Counts;

use super::proxies::Proxies;
use super::settings::{Settings, CLASSES, WARMUP};
use super::traffic::{HostReport, ProxyReport, Traffic};
use super::Recorder;

/// How many requests clients sent and how many of them got an answer, repeats not counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub requests: u64,
    pub succeeded: u64,
}

impl Served {
    pub fn fraction(&self) -> f64 {
        self.succeeded as f64 / self.requests.max(1) as f64
    }
}

/// The load of a drill whose requests are drawn one by one.
#[derive(Clone, Copy, Debug)]
pub struct RequestLoad {
    /// The work of all requests relative to what all hosts can do.
    pub utilization: f64,
    pub pick: Pick,
    /// How long a proxy avoids a host at which its own tries failed, ms.
    pub ejected_for: f64,
    /// After this time a proxy gives a try up, ms.
    pub try_timeout: f64,
    /// How often a client repeats a failed request at once.
    pub client_retries: u32,
}

/// Mean work of a request, in ms of a core of speed 1, and its coefficient of variation.
const MEAN_WORK_MS: f64 = 185.0;
const WORK_VARIATION: f64 = 0.7;
/// Requests that wait at a host at most, per core.
const QUEUE_PER_CORE: usize = 12;
/// The instance types: cores and the range of speeds.
const TYPES: [(u32, std::ops::Range<f64>); 2] = [(4, 1.3..1.7), (3, 0.85..1.1)];
const TICK: Duration = Duration::from_millis(2);
/// Separates this random stream from those of the deployment.
const REQUESTS: u64 = 0x0e90;

struct Txn {
    proxy: ProxyId,
    class: ClassId,
    host: HostId,
    work_ms: f64,
    sent_at: f64,
    /// How often the client may still repeat it.
    retries_left: u32,
}

enum Due {
    Arrival(ProxyId),
    /// A core has done the work, unless the host has restarted since.
    Done {
        host: HostId,
        starts: u32,
        txn: TxnId,
    },
    TimedOut {
        txn: TxnId,
    },
}

struct Event {
    at: f64,
    place: u64,
    due: Due,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    /// The earliest event is the greatest, so that a heap returns it first.
    fn cmp(&self, other: &Event) -> Ordering {
        other.at.total_cmp(&self.at).then(other.place.cmp(&self.place))
    }
}

struct State {
    chance: ChaCha8Rng,
    hosts: Vec<HostModel>,
    balancing: Balancing,
    counts: Counts,
    events: BinaryHeap<Event>,
    next_event: u64,
    /// Txns that their proxies wait for. Hosts may still work on others.
    open: BTreeMap<TxnId, Txn>,
    /// Work of all txns that hosts may still do.
    work: BTreeMap<TxnId, f64>,
    next_txn: u32,
    served: Served,
}

pub struct Requests {
    load: RequestLoad,
    proxies: Rc<Proxies>,
    /// Requests a second, by proxy.
    rates: Vec<f64>,
    host_names: Vec<String>,
    state: RefCell<State>,
    recorder: Recorder,
    start: Instant,
}

impl Requests {
    pub fn new(
        settings: &Settings,
        load: RequestLoad,
        proxies: Rc<Proxies>,
        recorder: Recorder,
        start: Instant,
    ) -> Rc<Requests> {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed ^ REQUESTS);
        let hosts: Vec<HostModel> =
            (0..settings.hosts).map(|number| host_model(settings, number, &mut chance)).collect();
        let capacity: f64 = hosts.iter().map(capacity).sum();
        let per_s = load.utilization * capacity * 1e3 / MEAN_WORK_MS;
        let rates: Vec<f64> = (0..settings.proxies).map(|proxy| Traffic::rate(settings, proxy)).collect();
        let all: f64 = rates.iter().sum();
        let rates = rates.into_iter().map(|rate| rate * per_s / all).collect();
        let counts = Counts::new(settings, hosts.len());
        let balancing = Balancing::new(load.pick, load.ejected_for);
        let (open, work) = (BTreeMap::new(), BTreeMap::new());
        let (events, next_event, next_txn, served) = (BinaryHeap::new(), 0, 0, Served::default());
        let state =
            State { chance, hosts, balancing, counts, events, next_event, open, work, next_txn, served };
        let host_names = (0..settings.hosts).map(|number| format!("h{number}")).collect();
        let state = RefCell::new(state);
        let requests = Requests { load, proxies, rates, host_names, state, recorder, start };
        for proxy in (0..settings.proxies).map(ProxyId) {
            requests.state.borrow_mut().schedule_arrival(0.0, proxy, requests.rates[usize::from(proxy.0)]);
        }
        Rc::new(requests)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Plays all requests in real time, without end.
    pub async fn run(self: Rc<Requests>) {
        let mut ticks = interval(TICK);
        loop {
            ticks.tick().await;
            self.play_until(self.now());
        }
    }

    fn play_until(&self, now: f64) {
        loop {
            let event = {
                let events = &mut self.state.borrow_mut().events;
                match events.peek() {
                    Some(event) if event.at <= now => events.pop(),
                    _ => return,
                }
            };
            let Some(Event { at, due, .. }) = event else { return };
            match due {
                Due::Arrival(proxy) => self.arrive(at, proxy),
                Due::Done { host, starts, txn } => self.done(at, host, starts, txn),
                Due::TimedOut { txn } => self.ended(at, txn, false),
            }
        }
    }

    fn arrive(&self, now: f64, proxy: ProxyId) {
        let (class, work_ms) = {
            let state = &mut *self.state.borrow_mut();
            state.schedule_arrival(now, proxy, self.rates[usize::from(proxy.0)]);
            state.served.requests += 1;
            let class = draw_class(&mut state.chance);
            (class, draw_work(&mut state.chance))
        };
        self.send(now, proxy, class, work_ms, self.load.client_retries);
    }

    fn send(&self, now: f64, proxy: ProxyId, class: ClassId, work_ms: f64, retries_left: u32) {
        let usable = self.proxies.usable_hosts(proxy, class);
        let state = &mut *self.state.borrow_mut();
        state.counts.arrived(proxy, class);
        let Some(host) = state.balancing.pick(now, proxy, &usable, &mut state.chance) else {
            return;
        };
        let id = TxnId(state.next_txn);
        state.next_txn += 1;
        state.balancing.sent(proxy, host);
        state.open.insert(id, Txn { proxy, class, host, work_ms, sent_at: now, retries_left });
        state.work.insert(id, work_ms);
        let model = &mut state.hosts[host.0 as usize];
        let refused = !model.up || {
            if model.pace(now, &WARMUP) < model.speed {
                let what = What::Offered {
                    host: self.host_names[host.0 as usize].clone(),
                    work_ms,
                    ordered_at: self.proxies.ordered_at(proxy),
                };
                self.recorder.write(&format!("proxy:{}", proxy.0), what);
            }
            match model.offer(now, id, &WARMUP) {
                Offer::Starts(factor) => {
                    let starts = model.starts;
                    state.schedule(now + work_ms * factor, Due::Done { host, starts, txn: id });
                    false
                }
                Offer::Waits => false,
                Offer::Full => true,
            }
        };
        let at = if refused { now } else { now + self.load.try_timeout };
        state.schedule(at, Due::TimedOut { txn: id });
    }

    fn done(&self, now: f64, host: HostId, starts: u32, txn: TxnId) {
        {
            let state = &mut *self.state.borrow_mut();
            let model = &mut state.hosts[host.0 as usize];
            if !model.up || model.starts != starts {
                return;
            }
            if let Some((next, factor)) = model.done(now, &WARMUP) {
                let work_ms = state.work.get(&next).copied().unwrap_or(0.0);
                state.schedule(now + work_ms * factor, Due::Done { host, starts, txn: next });
            }
            state.work.remove(&txn);
        }
        self.ended(now, txn, true);
    }

    /// The proxy gets an answer, or gives the try up.
    fn ended(&self, now: f64, txn: TxnId, succeeded: bool) {
        let Some(Txn { proxy, class, host, work_ms, sent_at, retries_left }) =
            self.state.borrow_mut().open.remove(&txn)
        else {
            return;
        };
        {
            let state = &mut *self.state.borrow_mut();
            state.balancing.ended(now, proxy, host, succeeded);
            state.counts.ended(proxy, host, succeeded.then_some(now - sent_at));
            state.served.succeeded += u64::from(succeeded);
        }
        if !succeeded && retries_left > 0 {
            self.send(now, proxy, class, work_ms, retries_left - 1);
        }
    }

    /// The process of a host ends: what it works on fails.
    pub fn host_ended(&self, host: HostId) {
        let now = self.now();
        let lost: Vec<TxnId> = {
            let state = &mut *self.state.borrow_mut();
            state.hosts[host.0 as usize].fall(now);
            state.open.iter().filter(|(_, txn)| txn.host == host).map(|(id, _)| *id).collect()
        };
        lost.into_iter().for_each(|txn| self.ended(now, txn, false));
    }

    /// The process of a host starts. Returns how many ms of work it does per ms once it is warm.
    pub fn host_started(&self, host: HostId) -> f64 {
        let model = &mut self.state.borrow_mut().hosts[host.0 as usize];
        model.start(self.now());
        capacity(model)
    }

    pub fn served(&self) -> Served {
        self.state.borrow().served
    }

    /// The reports since the last call.
    pub fn reports(&self) -> (Vec<HostReport>, Vec<ProxyReport>) {
        self.state.borrow_mut().counts.take(&self.host_names)
    }
}

impl State {
    fn schedule(&mut self, at: f64, due: Due) {
        self.next_event += 1;
        self.events.push(Event { at, place: self.next_event, due });
    }

    fn schedule_arrival(&mut self, now: f64, proxy: ProxyId, per_s: f64) {
        let gap_s = Exp::new(per_s.max(1e-6)).map_or(f64::MAX, |gaps| gaps.sample(&mut self.chance));
        self.schedule(now + 1e3 * gap_s, Due::Arrival(proxy));
    }
}

fn host_model(settings: &Settings, number: usize, chance: &mut ChaCha8Rng) -> HostModel {
    let (cores, speeds) = &TYPES[chance.random_range(0..TYPES.len())];
    let listed = HostEntry {
        host: HostId(number as u32),
        weight: 1.0,
        zone: ZoneId((number % settings.zones.len()) as u16),
        pod: PodId(0),
        instance_type: InstanceTypeId(0),
        started_at: None,
        availability: Availability::InService,
    };
    let mut model = HostModel::new(listed, *cores, QUEUE_PER_CORE * *cores as usize);
    model.speed = chance.random_range(speeds.clone());
    model
}

/// Ms of work that a warm host does per ms.
fn capacity(model: &HostModel) -> f64 {
    f64::from(model.cores) * model.speed
}

fn draw_class(chance: &mut ChaCha8Rng) -> ClassId {
    let mut left = chance.random::<f64>();
    let place = CLASSES.iter().position(|(_, _, fraction)| {
        left -= fraction;
        left <= 0.0
    });
    ClassId(place.unwrap_or(0) as u16)
}

fn draw_work(chance: &mut ChaCha8Rng) -> f64 {
    LogNormal::from_mean_cv(MEAN_WORK_MS, WORK_VARIATION).map_or(MEAN_WORK_MS, |works| works.sample(chance))
}
