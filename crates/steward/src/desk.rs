//! The one task that owns the decisions, the clock, the timers and the numbers of hosts. It gathers
//! what has come in, lets the module decide, and hands out the orders. No input or output here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::*;
use amberarch_facts::Names;
use amberarch_intake::Believed;
use amberarch_residency::Judge;
use slog::{error, info, warn, Logger};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::clock::UnixClock;
use crate::counters::{Counters, Seldom};
use crate::fleet::Ward;
use crate::guard::Keeper;
use crate::heard::{Entry, Heard, Listing, Out};
use crate::lines::Said;
use crate::state::{self, Rolls};

mod hosts;
mod proxies;
mod replies;

/// The names that lines and lists use, in the order of the settings.
pub struct Labels {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub products: Vec<String>,
    /// How many proxies there are.
    pub proxies: u32,
}

/// Makes the decisions anew, from the start facts and a seed.
pub type Make = Box<dyn Fn(u64) -> Box<dyn Decide>>;

/// A host as it was listed last.
struct Known {
    listed: HostEntry,
    /// Its last start in Unix time.
    born_ms: f64,
    dial: Option<SocketAddr>,
    /// The list has it in a zone that is not known, so it counts as gone from the one it was in.
    lost: bool,
}

impl Known {
    /// Where it is probed; none: its address can't be read.
    fn entry(&self) -> Option<Entry> {
        Some(Entry { dial: self.dial?, born_ms: self.born_ms })
    }
}

/// Decisions that start anew count their marks from the first again. Theirs on the wire begin so far after those of
/// the ones before them: else an answer to a mark could be one to an earlier mark, maybe of a call that was never
/// written, and what a proxy has confirmed would never be known. What starts anew once a second comes round after
/// 16 s, when no answer is on its way any more.
const MARKS_OF_A_LIFE: u16 = 4_096;

#[derive(Clone, Copy)]
struct Joined {
    zone: ZoneId,
    txns_per_s: f64,
}

pub struct Desk {
    make: Make,
    seed: u64,
    steward: Box<dyn Decide>,
    labels: Labels,
    names: Names,
    hosts: BTreeMap<HostId, Known>,
    joined: BTreeMap<ProxyId, Joined>,
    /// While what stands is read: who was joined and has not been named yet.
    unseen: Option<BTreeSet<ProxyId>>,
    anew: bool,
    timers: BinaryHeap<Reverse<(Instant, TimerId)>>,
    start: Instant,
    /// No decision before this time.
    resume: Instant,
    /// Who is shut out by the orders so far, and who the next call lets in again ahead of its orders.
    shut_out: BTreeSet<HostId>,
    let_in: BTreeSet<HostId>,
    /// When the list was last told or confirmed, by the clock of the decisions.
    list_heard_at: f64,
    /// Unix time, whatever becomes of the system's clock.
    unix: UnixClock,
    events: Vec<Event>,
    out: Out,
    /// The roster, where what it holds is kept on disk; and when that was last handed on.
    rolls: Option<Rolls>,
    kept_at: Instant,
    /// What holds, where this steward belongs to a fleet; and what of it a start anew has to take back.
    ward: Option<Ward>,
    mends: bool,
    /// The last look at what goes out, where an operator has switched it on.
    guard: Option<Keeper>,
    /// The part of its listed weight that each host was seen to carry, where it is known and shares are dealt by it.
    parts: BTreeMap<HostId, f64>,
    /// Counts the starts of the decisions.
    life: u64,
    /// What is added to the marks of these decisions.
    first_mark: u16,
    own_marks: u16,
    counters: Rc<Counters>,
    skipped: Seldom,
    refused: Seldom,
    full: Seldom,
    log: Logger,
}

impl Desk {
    pub fn new(
        (make, seed): (Make, u64),
        labels: Labels,
        known: Listing,
        unix: UnixClock,
        out: Out,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Desk {
        let mut desk = Desk {
            steward: make(seed),
            make,
            seed,
            labels,
            names: Names::default(),
            hosts: BTreeMap::new(),
            joined: BTreeMap::new(),
            unseen: None,
            anew: false,
            timers: BinaryHeap::new(),
            start: Instant::now(),
            resume: Instant::now(),
            shut_out: BTreeSet::new(),
            let_in: BTreeSet::new(),
            list_heard_at: 0.0,
            unix,
            events: Vec::new(),
            out,
            rolls: None,
            kept_at: Instant::now(),
            ward: None,
            mends: false,
            guard: None,
            parts: BTreeMap::new(),
            life: 0,
            first_mark: 0,
            own_marks: 0,
            counters,
            skipped: Seldom::default(),
            refused: Seldom::default(),
            full: Seldom::default(),
            log,
        };
        desk.listed(known, ListUpdate::FromSnapshot);
        desk
    }

    /// With a roster between the list and the decisions: they hear of what it trusts.
    pub fn keeping(mut self, rolls: Rolls) -> Desk {
        self.rolls = Some(rolls);
        self.roll_out(ListUpdate::FromSnapshot, true);
        self
    }

    /// With marks that begin elsewhere in each process. Guards against an answer to a mark of the former process of this
    /// name, which arrives late and would be taken for one to the same number of this one.
    pub fn marks_drawn_from(mut self, seed: u64) -> Desk {
        self.first_mark = (seed ^ (seed >> 16) ^ (seed >> 32) ^ (seed >> 48)) as u16;
        self
    }

    /// With a policy of the fleet, under which each reply is judged.
    pub fn governed(mut self, ward: Ward) -> Desk {
        self.ward = Some(ward);
        self.tell_zones();
        self
    }

    /// With a guard between the decisions and the relay.
    pub fn guarded(mut self, guard: Keeper) -> Desk {
        self.guard = Some(guard);
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.guard_hears(&Event::List { update: ListUpdate::FromSnapshot, entries });
        self
    }

    fn guard_hears(&mut self, event: &Event) {
        let now = self.now();
        if let Some(guard) = &mut self.guard {
            guard.hear(now, event);
        }
    }

    /// Orders that were not carried out.
    fn gave_up(&mut self, orders: &[Order]) {
        self.judged(|judge, _| judge.gave_up(orders));
        if let Some(guard) = &mut self.guard {
            guard.gave_up(orders);
        }
    }

    /// Runs until nobody is left who could bring anything.
    pub async fn run(mut self, mut heard: mpsc::Receiver<Heard>) {
        const MOST_AT_ONCE: usize = 1_024;
        const IDLE: Duration = Duration::from_secs(60);
        /// A change waits for the last steward to say that it is settled; what is over by time is looked for as often.
        const LOOK: Duration = Duration::from_millis(50);
        loop {
            let calls = self.ward.as_ref().is_some_and(|ward| ward.calls(self.unix.now_ms()));
            // What a start, a start anew or a full queue left to decide on waits for nobody.
            let due = match self.timers.peek() {
                _ if !self.events.is_empty() || calls => self.resume,
                _ if self.ward.is_some() => {
                    let timer = self.timers.peek().map(|Reverse((at, _))| self.resume.max(*at));
                    timer.unwrap_or(Instant::now() + IDLE).min(Instant::now() + LOOK)
                }
                Some(Reverse((at, _))) => self.resume.max(*at),
                None => Instant::now() + IDLE,
            };
            tokio::select! {
                biased;
                () = sleep_until(due) => {}
                news = heard.recv() => match news {
                    Some(news) => self.hear(news),
                    None => return,
                },
            }
            for _ in 0..MOST_AT_ONCE {
                match heard.try_recv() {
                    Ok(news) => self.hear(news),
                    Err(_) => break,
                }
            }
            let now = Instant::now();
            while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
                if at > now {
                    break;
                }
                self.timers.pop();
                self.counters.timers.one();
                self.events.push(Event::TimerExpired { timer });
            }
            let calls = self.ward.as_ref().is_some_and(|ward| ward.calls(self.unix.now_ms()));
            if (!self.events.is_empty() || calls) && now >= self.resume {
                self.decide();
            }
            let now = self.now();
            if let Some(ward) = &mut self.ward {
                ward.settle(now);
                if ward.asks(now) && Instant::now() >= self.resume && !self.joined.is_empty() {
                    self.ask_proxies();
                }
            }
            if let Some(ward) = &mut self.ward {
                ward.sees(now, || open(&self.hosts, &self.shut_out, &self.parts));
            }
        }
    }

    /// When the clock of the decisions began.
    pub fn start(&self) -> Instant {
        self.start
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// The reply with the mark takes one message more to each of its proxies, or may.
    fn another_message(&mut self, mark: MarkId, event: fn(MarkId) -> Event) {
        self.judged(|judge, _| judge.unsure(mark));
        self.guard_hears(&Event::CallDuplicated { mark });
        self.events.extend(self.own(mark).map(event));
    }

    /// Turns what was heard into events; names that are not known are skipped.
    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Sum(sum) => match self.sum(sum) {
                Ok(event) => {
                    self.served(&event);
                    self.came(&event);
                    self.events.push(event);
                }
                Err(why) => {
                    self.counters.lines_skipped.one();
                    self.skip(why);
                }
            },
            Heard::Standing { anew } => {
                // What a watch before this one left open stays so.
                self.anew = anew || self.unseen.is_some() && self.anew;
                self.unseen = Some(self.joined.keys().copied().collect());
            }
            Heard::Stood => {
                let unseen = self.unseen.take().unwrap_or_default();
                info!(self.log, "the relay's proxies are known"; "joined" => self.joined.len() - unseen.len(),
                    "left" => unseen.len(), "bound_anew" => self.anew);
                for proxy in unseen {
                    self.left(proxy);
                }
            }
            Heard::News(news) => self.news(news),
            Heard::Listed(listing) if self.rolls.is_some() => {
                let now = self.unix.now_ms();
                let rows = listing.hosts.iter().map(|row| (row.host.clone(), state::kept(row))).collect();
                if let Some(rolls) = &mut self.rolls {
                    rolls.roster.listed(now, listing.seq, listing.whole, rows);
                }
                self.roll_out(ListUpdate::Changes, true);
            }
            Heard::ListStands => {
                self.list_heard_at = self.now();
                let now = self.unix.now_ms();
                if let Some(rolls) = &mut self.rolls {
                    rolls.roster.stands(now);
                }
            }
            Heard::Listed(listing) => {
                let news = if listing.whole { ListUpdate::Full } else { ListUpdate::Changes };
                self.listed(listing, news);
            }
            Heard::ListFailed => {
                self.events.push(Event::List { update: ListUpdate::Failed, entries: vec![] });
            }
            Heard::Loads(loads) => {
                let event = |Believed { host, load, age, sure: confidence, .. }| Event::LoadEstimate {
                    host,
                    load,
                    age,
                    confidence,
                };
                self.events.extend(loads.into_iter().map(event));
            }
            Heard::Probed { host, entry, .. } if self.replaced(host, entry) => {
                let (outcome, load) = (ProbeOutcome::Unknown, LoadReport::default());
                self.proved(host, outcome);
                self.events.push(Event::ProbeResult { host, outcome, duration: 0.0, load });
            }
            Heard::Probed { host, outcome, took: duration, report: load, .. } => {
                self.proved(host, outcome);
                // One that the roster has asked for ahead of the decisions is no host of theirs yet.
                if self.rolls.is_some() && !self.hosts.contains_key(&host) {
                    return;
                }
                self.seen(host, self.now());
                self.events.push(Event::ProbeResult { host, outcome, duration, load });
            }
            Heard::Behind { on } => self.events.push(Event::RelayDelayed { on }),
            Heard::Together { marks } => self.together(&marks),
            Heard::Again { mark } => self.another_message(mark, |mark| Event::CallDuplicated { mark }),
            Heard::Parted { mark } => self.another_message(mark, |mark| Event::CallSplit { mark }),
            Heard::Answered { place } => {
                self.judged(|judge, _| judge.answered(place));
                let now = self.now();
                self.guard.iter_mut().for_each(|guard| guard.answered(now, place));
            }
            Heard::Holds(holds) => {
                let unix = self.unix.now_ms();
                if let Some(ward) = &mut self.ward {
                    ward.hold(unix, holds);
                }
            }
            Heard::Bound(bound) => {
                if let Some(ward) = &mut self.ward {
                    ward.bound(bound);
                }
            }
            Heard::Fenced { life, orders } => {
                self.gave_up(&orders);
                if life == self.life {
                    warn!(self.log, "orders waited until what they were decided under was over; \
                        the decisions start anew"; "orders" => orders.len());
                    self.start_anew();
                }
            }
            // The proxy is not, or not any more, the one that was bound: it is bound anew. News of its
            // leaving, where that is on its way, has the last word.
            Heard::NotTaken { binds: Some(proxy), orders } => {
                self.gave_up(&orders);
                if let Some(Joined { zone, txns_per_s }) = self.joined.get(&proxy).copied() {
                    self.events.push(Event::ProxyLeft { proxy });
                    self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table: false });
                }
            }
            Heard::NotTaken { binds: None, orders } => {
                self.gave_up(&orders);
                if let Some(hidden) = self.refused.pass() {
                    error!(self.log, "the relay refuses an order; the decisions start anew"; "hidden" => hidden);
                }
                self.start_anew();
            }
        }
    }

    fn skip(&self, what: String) {
        if let Some(hidden) = self.skipped.pass() {
            warn!(self.log, "skipped"; "what" => what, "hidden" => hidden);
        }
    }

    fn came(&mut self, event: &Event) {
        let (now, Event::ProxyReport { proxy, .. }) = (self.now(), event) else { return };
        if let Some((ward, joined)) = self.ward.as_mut().zip(self.joined.get(proxy)) {
            ward.came(now, joined.zone, event);
        }
    }

    fn judged(&mut self, tell: impl FnOnce(&mut Judge, f64)) {
        let now = self.now();
        if let Some(ward) = &mut self.ward {
            tell(ward.judge(), now);
        }
    }

    fn sum(&self, sum: Said) -> Result<Event, String> {
        match sum {
            Said::Load {
                zone,
                host,
                tries,
                voided: failed,
                mean: mean_latency,
                over: covered,
                report: load,
            } => {
                let zone = place(&self.labels.zones, &zone).ok_or("a zone that is not known")?;
                let host = self.names.find(&host).ok_or("a host that is not known")?;
                // A sum stands for the middle of its time.
                self.seen(host, self.now() - covered / 2.0);
                Ok(Event::HostReport { host, zone: ZoneId(zone), covered, tries, failed, mean_latency, load })
            }
            Said::Rate { proxy, product: class, txns, voided: failed, over: covered } => {
                let class = place(&self.labels.products, &class).ok_or("a product that is not known")?;
                if u32::from(proxy) >= self.labels.proxies {
                    return Err("a proxy that is not known".into());
                }
                let (proxy, class) = (ProxyId(proxy), ClassId(class));
                Ok(Event::ProxyReport { proxy, class, txns, failed, covered })
            }
            Said::Ping | Said::Source { .. } => Err("no sum".into()),
        }
    }

    fn decide(&mut self) {
        self.tend();
        let (now, unix) = (self.now(), self.unix.now_ms());
        // What holds goes first: what else happened is decided under it.
        let mut events = self.ward.as_mut().map_or(vec![], |ward| ward.events(now, unix));
        events.append(&mut self.events);
        self.counters.batches.one();
        self.counters.events.more(events.len());
        if let Some(guard) = &mut self.guard {
            guard.see(now, &events);
        }
        let steward = &mut self.steward;
        match catch_unwind(AssertUnwindSafe(|| steward.decide(now, &events))) {
            Ok(orders) => self.hand_out(orders),
            Err(_) => {
                self.counters.panics.one();
                error!(
                    self.log,
                    "the decisions panicked; they start anew from the list and the joined proxies"
                );
                self.start_anew();
            }
        }
    }

    /// A new module from the facts, the list and the joined proxies, which keep what they hold. It knows
    /// of no host that is shut out: its first call lets them in, ahead of its own orders and in one message
    /// with them. One that fails again and again starts once a second.
    fn start_anew(&mut self) {
        self.resume = Instant::now().max(self.resume + Duration::from_secs(1));
        self.let_in.append(&mut self.shut_out);
        self.life += 1;
        self.first_mark = self.first_mark.wrapping_add(MARKS_OF_A_LIFE);
        if let Some(ward) = &mut self.ward {
            ward.anew();
            self.mends = true;
        }
        self.guard.iter_mut().for_each(Keeper::anew);
        self.seed = self.seed.wrapping_add(1);
        self.steward = (self.make)(self.seed);
        self.timers.clear();
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.events.push(Event::List { update: ListUpdate::FromSnapshot, entries });
        for (proxy, Joined { zone, txns_per_s }) in &self.joined {
            let (proxy, zone, txns_per_s) = (*proxy, *zone, *txns_per_s);
            self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table: false });
        }
    }

    /// A mark by the number that these decisions gave it; none: it is of those before them.
    fn own(&self, mark: MarkId) -> Option<MarkId> {
        let number = mark.0.wrapping_sub(self.first_mark);
        (number < u16::MAX / 2).then_some(MarkId(number))
    }
}

/// What the hosts of each zone that are let in carry, in listed weights.
fn open(
    hosts: &BTreeMap<HostId, Known>,
    shut_out: &BTreeSet<HostId>,
    parts: &BTreeMap<HostId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let mut zones = BTreeMap::new();
    for Known { listed, .. } in hosts.values() {
        let open = listed.availability == Availability::InService && !shut_out.contains(&listed.host);
        let carries = listed.weight * parts.get(&listed.host).copied().unwrap_or(1.0);
        *zones.entry(listed.zone).or_default() += if open { carries } else { 0.0 };
    }
    zones
}

fn place(labels: &[String], label: &str) -> Option<u16> {
    labels.iter().position(|known| known == label).map(|place| place as u16)
}
