//! The event loop: the one task that owns the controller, its clock, its timers and the numbers that hosts have in it.
//! It collects the messages of the other tasks, has the controller decide and hands out the orders. It does no I/O.

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
use crate::fleet::PolicyLease;
use crate::guard::Keeper;
use crate::heard::{Entry, Heard, Listing, Out};
use crate::lines::Message;
use crate::state::{self, HostState};

mod hosts;
mod proxies;
mod replies;
pub mod withdrawals;

use withdrawals::Withdrawals;

/// The names that the line protocol and host lists use, in the order of the settings.
pub struct Labels {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub products: Vec<String>,
    /// How many proxies there are.
    pub proxies: u32,
}

/// Makes a new controller from the bootstrap settings and a seed.
pub type Make = Box<dyn Fn(u64) -> Box<dyn Decide>>;

/// A host and its latest entry in the host list.
struct KnownHost {
    listed: HostEntry,
    /// Its last start, Unix time in ms.
    born_ms: f64,
    dial: Option<SocketAddr>,
    /// The list names an unknown zone for the host, so it counts as removed from its former zone.
    lost: bool,
}

impl KnownHost {
    /// Where the host is probed; `None` if its address can't be parsed.
    fn entry(&self) -> Option<Entry> {
        Some(Entry { dial: self.dial?, born_ms: self.born_ms })
    }
}

/// Distance between the first marks on the wire of two successive incarnations of the controller. Each incarnation
/// counts its marks from the first again. Without the offset an answer to a mark could belong to an earlier incarnation,
/// maybe to a call that was never written, and it would be unknown what a proxy has confirmed. With a restart every
/// second the numbers repeat after 16 s, when no answer is in transit any more.
const MARKS_PER_INCARNATION: u16 = 4_096;

#[derive(Clone, Copy)]
struct Joined {
    zone: ZoneId,
    txns_per_s: f64,
}

pub struct Desk {
    make: Make,
    seed: u64,
    controller: Box<dyn Decide>,
    labels: Labels,
    names: Names,
    hosts: BTreeMap<HostId, KnownHost>,
    joined: BTreeMap<ProxyId, Joined>,
    /// While a snapshot of the relay's proxies is read: joined proxies that it has not named yet.
    unseen: Option<BTreeSet<ProxyId>>,
    /// Proxies that the current snapshot names are bound again, as they may have left and returned.
    rebind: bool,
    timers: BinaryHeap<Reverse<(Instant, TimerId)>>,
    start: Instant,
    /// The controller is not called before this time.
    resume: Instant,
    /// Hosts that may be withdrawn at the relay.
    withdrawals: Withdrawals,
    /// When the list was last received or confirmed, on the controller's clock, ms.
    list_confirmed_at: f64,
    /// Unix time, independent of steps of the system clock.
    unix: UnixClock,
    events: Vec<Event>,
    out: Out,
    /// Host membership and its store on disk, where an operator's file configures one.
    host_state: Option<HostState>,
    /// When the state was last handed to its writer.
    handed_on_at: Instant,
    /// The policy in force, where this controller belongs to a fleet.
    policy_lease: Option<PolicyLease>,
    /// The controller was restarted: the next call starts by repairing what former incarnations left in tables.
    repairs_due: bool,
    /// The last check of outgoing orders, where an operator has enabled it.
    guard: Option<Keeper>,
    /// The fraction of its listed weight that each host was observed to carry, where it is known; grants are based on it.
    weight_fractions: BTreeMap<HostId, f64>,
    /// Counts the restarts of the controller.
    incarnation: u64,
    /// Added to the marks of this incarnation.
    first_mark: u16,
    /// Counts the marks that the event loop orders itself.
    poll_marks: u16,
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
            controller: make(seed),
            make,
            seed,
            labels,
            names: Names::default(),
            hosts: BTreeMap::new(),
            joined: BTreeMap::new(),
            unseen: None,
            rebind: false,
            timers: BinaryHeap::new(),
            start: Instant::now(),
            resume: Instant::now(),
            withdrawals: Withdrawals::default(),
            list_confirmed_at: 0.0,
            unix,
            events: Vec::new(),
            out,
            host_state: None,
            handed_on_at: Instant::now(),
            policy_lease: None,
            repairs_due: false,
            guard: None,
            weight_fractions: BTreeMap::new(),
            incarnation: 0,
            first_mark: 0,
            poll_marks: 0,
            counters,
            skipped: Seldom::default(),
            refused: Seldom::default(),
            full: Seldom::default(),
            log,
        };
        desk.listed(known, ListUpdate::Restored);
        desk
    }

    /// Puts the membership between the host list and the controller, which then receives only trusted hosts.
    pub fn keeping(mut self, host_state: HostState) -> Desk {
        self.host_state = Some(host_state);
        self.emit_trusted(ListUpdate::Restored, true);
        self
    }

    /// Lets the marks begin at a number that differs between processes. Otherwise a late answer to a mark of the former
    /// process of this name could be taken for an answer to the same number of this one.
    pub fn marks_drawn_from(mut self, seed: u64) -> Desk {
        self.first_mark = (seed ^ (seed >> 16) ^ (seed >> 32) ^ (seed >> 48)) as u16;
        self
    }

    /// Adds a fleet policy, against which each reply is checked.
    pub fn governed(mut self, policy_lease: PolicyLease) -> Desk {
        self.policy_lease = Some(policy_lease);
        self.update_zones();
        self
    }

    /// Puts a guard between the controller and the relay.
    pub fn guarded(mut self, guard: Keeper) -> Desk {
        self.guard = Some(guard);
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.notify_guard(&Event::List { update: ListUpdate::Restored, entries });
        self
    }

    fn notify_guard(&mut self, event: &Event) {
        let now = self.now();
        if let Some(guard) = &mut self.guard {
            guard.hear(now, event);
        }
    }

    /// Records orders that were not carried out, or only maybe.
    fn gave_up(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Withdraw { host, withdrawn: false } if self.hosts.contains_key(host) => {
                    self.withdrawals.restore_not_carried_out(*host);
                }
                _ => {}
            }
        }
        self.with_judge(|judge, _| judge.gave_up(orders));
        if let Some(guard) = &mut self.guard {
            guard.gave_up(orders);
        }
    }

    /// Runs until all senders of messages are gone.
    pub async fn run(mut self, mut heard: mpsc::Receiver<Heard>) {
        const MOST_AT_ONCE: usize = 1_024;
        const IDLE: Duration = Duration::from_secs(60);
        /// A policy change waits until the last controller reports that it is settled, so expired entries are checked for
        /// this often.
        const LOOK: Duration = Duration::from_millis(50);
        loop {
            let calls = self
                .policy_lease
                .as_ref()
                .is_some_and(|policy_lease| policy_lease.needs_decision(self.unix.now_ms()));
            // Events left by a start, a restart or a full queue are decided on without waiting for a message.
            let due = match self.timers.peek() {
                _ if !self.events.is_empty() || calls => self.resume,
                _ if self.policy_lease.is_some() => {
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
                    Some(news) => self.handle(news),
                    None => return,
                },
            }
            for _ in 0..MOST_AT_ONCE {
                match heard.try_recv() {
                    Ok(news) => self.handle(news),
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
            let calls = self
                .policy_lease
                .as_ref()
                .is_some_and(|policy_lease| policy_lease.needs_decision(self.unix.now_ms()));
            if (!self.events.is_empty() || calls) && now >= self.resume {
                self.decide();
            }
            let now = self.now();
            if let Some(policy_lease) = &mut self.policy_lease {
                policy_lease.settle(now);
                if policy_lease.mark_due(now) && Instant::now() >= self.resume && !self.joined.is_empty() {
                    self.ask_proxies();
                }
            }
            if let Some(policy_lease) = &mut self.policy_lease {
                policy_lease.sees(now, || {
                    in_service_weights(&self.hosts, self.withdrawals.hosts(), &self.weight_fractions)
                });
            }
        }
    }

    /// The zero of the controller's clock.
    pub fn start(&self) -> Instant {
        self.start
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Records that the reply with this mark takes, or may take, one more message to each of its proxies.
    fn duplicate_message(&mut self, mark: MarkId, event: fn(MarkId) -> Event) {
        self.with_judge(|judge, _| judge.unsure(mark));
        self.notify_guard(&Event::CallDuplicated { mark });
        self.events.extend(self.own(mark).map(event));
    }

    /// Turns a message into events for the controller; unknown names are skipped.
    fn handle(&mut self, heard: Heard) {
        match heard {
            Heard::Report(report) => match self.report_event(report) {
                Ok(event) => {
                    self.record_success(&event);
                    self.record_arrivals(&event);
                    self.events.push(event);
                }
                Err(why) => {
                    self.counters.lines_skipped.one();
                    self.skip(why);
                }
            },
            Heard::SnapshotBegins { rebind } => {
                // A snapshot that the former watch left incomplete keeps its `rebind`.
                self.rebind = rebind || self.unseen.is_some() && self.rebind;
                self.unseen = Some(self.joined.keys().copied().collect());
            }
            Heard::SnapshotEnds => {
                let unseen = self.unseen.take().unwrap_or_default();
                info!(self.log, "the snapshot of the relay's proxies is complete"; "joined" => self.joined.len() - unseen.len(),
                    "left" => unseen.len(), "bound_anew" => self.rebind);
                for proxy in unseen {
                    self.left(proxy);
                }
            }
            Heard::News(news) => self.relay_event(news),
            Heard::Listed(listing) if self.host_state.is_some() => {
                let now = self.unix.now_ms();
                let rows = listing.hosts.iter().map(|row| (row.host.clone(), state::kept(row))).collect();
                if let Some(host_state) = &mut self.host_state {
                    host_state.roster.listed(now, listing.seq, listing.whole, rows);
                }
                self.emit_trusted(ListUpdate::Changes, true);
            }
            Heard::ListUnchanged => {
                self.list_confirmed_at = self.now();
                let now = self.unix.now_ms();
                if let Some(host_state) = &mut self.host_state {
                    host_state.roster.stands(now);
                }
            }
            Heard::Listed(listing) => {
                let update = if listing.whole { ListUpdate::Whole } else { ListUpdate::Changes };
                self.listed(listing, update);
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
                self.record_probe(host, outcome);
                self.events.push(Event::ProbeResult { host, outcome, duration: 0.0, load });
            }
            Heard::Probed { host, outcome, took: duration, report: load, .. } => {
                self.record_probe(host, outcome);
                // A host that is probed on behalf of the membership is not known to the controller yet.
                if self.host_state.is_some() && !self.hosts.contains_key(&host) {
                    return;
                }
                self.seen(host, self.now());
                self.events.push(Event::ProbeResult { host, outcome, duration, load });
            }
            Heard::RelayDelayed { on } => self.events.push(Event::RelayDelayed { on }),
            Heard::Together { marks } => self.together(&marks),
            Heard::CallDuplicated { mark } => {
                self.duplicate_message(mark, |mark| Event::CallDuplicated { mark })
            }
            Heard::CallSplit { mark } => self.duplicate_message(mark, |mark| Event::CallSplit { mark }),
            Heard::Answered { place } => {
                self.with_judge(|judge, _| judge.answered(place));
                let now = self.now();
                self.guard.iter_mut().for_each(|guard| guard.answered(now, place));
            }
            Heard::Holds(holds) => {
                let unix = self.unix.now_ms();
                if let Some(policy_lease) = &mut self.policy_lease {
                    policy_lease.apply(unix, holds);
                }
            }
            Heard::Bound(bound) => {
                if let Some(policy_lease) = &mut self.policy_lease {
                    policy_lease.bound(bound);
                }
            }
            Heard::Fenced { incarnation, orders } => {
                self.gave_up(&orders);
                if incarnation == self.incarnation {
                    warn!(self.log, "orders were dropped because their lease or policy stage is no longer in force; \
                        the decisions start anew"; "orders" => orders.len(), "restores" => count_restores(&orders));
                    self.start_anew();
                }
            }
            // The proxy is not, or no longer, the one that was bound, so it is bound again. If a message about its
            // leaving is still in transit, that one takes effect last.
            Heard::OrdersRefused { binds: Some(proxy), orders } => {
                self.gave_up(&orders);
                if let Some(Joined { zone, txns_per_s }) = self.joined.get(&proxy).copied() {
                    self.events.push(Event::ProxyLeft { proxy });
                    self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table: false });
                }
            }
            Heard::OrdersRefused { binds: None, orders } => {
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

    fn record_arrivals(&mut self, event: &Event) {
        let (now, Event::ProxyReport { proxy, .. }) = (self.now(), event) else { return };
        if let Some((policy_lease, joined)) = self.policy_lease.as_mut().zip(self.joined.get(proxy)) {
            policy_lease.record_arrivals(now, joined.zone, event);
        }
    }

    fn with_judge(&mut self, tell: impl FnOnce(&mut Judge, f64)) {
        let now = self.now();
        if let Some(policy_lease) = &mut self.policy_lease {
            tell(policy_lease.judge(), now);
        }
    }

    fn report_event(&self, report: Message) -> Result<Event, String> {
        match report {
            Message::Load { zone, host, tries, failed, mean_latency, covered, report: load } => {
                let zone = place(&self.labels.zones, &zone).ok_or("unknown zone")?;
                let host = self.names.find(&host).ok_or("unknown host")?;
                // A report counts as observed in the middle of the time that it covers.
                self.seen(host, self.now() - covered / 2.0);
                Ok(Event::HostReport { host, zone: ZoneId(zone), covered, tries, failed, mean_latency, load })
            }
            Message::Rate { proxy, class, txns, failed, covered } => {
                let class = place(&self.labels.products, &class).ok_or("unknown request class")?;
                if u32::from(proxy) >= self.labels.proxies {
                    return Err("unknown proxy".into());
                }
                let (proxy, class) = (ProxyId(proxy), ClassId(class));
                Ok(Event::ProxyReport { proxy, class, txns, failed, covered })
            }
            Message::Ping | Message::Source { .. } => Err("not a traffic report".into()),
        }
    }

    fn decide(&mut self) {
        self.maintain_membership();
        let (now, unix) = (self.now(), self.unix.now_ms());
        // The policy in force comes first, as the other events are decided under it.
        let mut events =
            self.policy_lease.as_mut().map_or(vec![], |policy_lease| policy_lease.events(now, unix));
        events.append(&mut self.events);
        self.counters.batches.one();
        self.counters.events.more(events.len());
        if let Some(guard) = &mut self.guard {
            guard.see(now, &events);
        }
        let controller = &mut self.controller;
        match catch_unwind(AssertUnwindSafe(|| controller.decide(now, &events))) {
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

    /// Replaces the controller by a new one that is given the settings, the list and the joined proxies, which keep
    /// their tables. The new one does not know which hosts are withdrawn, so its first call restores all of them, ahead
    /// of its own orders and in the same message. A controller that fails repeatedly is restarted once a second.
    fn start_anew(&mut self) {
        self.resume = Instant::now().max(self.resume + Duration::from_secs(1));
        self.withdrawals.decisions_restarted();
        self.incarnation += 1;
        self.first_mark = self.first_mark.wrapping_add(MARKS_PER_INCARNATION);
        if let Some(policy_lease) = &mut self.policy_lease {
            policy_lease.restarted();
            self.repairs_due = true;
        }
        self.guard.iter_mut().for_each(Keeper::anew);
        self.seed = self.seed.wrapping_add(1);
        self.controller = (self.make)(self.seed);
        self.timers.clear();
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.events.push(Event::List { update: ListUpdate::Restored, entries });
        for (proxy, Joined { zone, txns_per_s }) in &self.joined {
            let (proxy, zone, txns_per_s) = (*proxy, *zone, *txns_per_s);
            self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table: false });
        }
    }

    /// The number that the current incarnation gave a mark; `None` if a former incarnation ordered it.
    fn own(&self, mark: MarkId) -> Option<MarkId> {
        let number = mark.0.wrapping_sub(self.first_mark);
        (number < u16::MAX / 2).then_some(MarkId(number))
    }
}

/// How many of the orders restore a host.
fn count_restores(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Withdraw { withdrawn: false, .. })).count()
}

/// The weight that the hosts of each zone carry that are in service and not withdrawn, in listed weights.
fn in_service_weights(
    hosts: &BTreeMap<HostId, KnownHost>,
    withdrawn_hosts: &BTreeSet<HostId>,
    weight_fractions: &BTreeMap<HostId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let mut zones = BTreeMap::new();
    for KnownHost { listed, .. } in hosts.values() {
        let in_service =
            listed.availability == Availability::InService && !withdrawn_hosts.contains(&listed.host);
        let carried = listed.weight * weight_fractions.get(&listed.host).copied().unwrap_or(1.0);
        *zones.entry(listed.zone).or_default() += if in_service { carried } else { 0.0 };
    }
    zones
}

/// The position of a name in the settings.
fn place(labels: &[String], label: &str) -> Option<u16> {
    labels.iter().position(|known| known == label).map(|place| place as u16)
}
