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
use amberarch_residency::Judge;
use slog::{error, warn, Logger};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::clock::UnixClock;
use crate::counters::{Counters, Seldom};
use crate::fleet::PolicyLease;
use crate::guard::Keeper;
use crate::heard::{Entry, Heard, Listing, Out};
use crate::state::HostState;

mod hosts;
mod messages;
mod proxies;
mod replies;
mod transitions;
pub mod withdrawals;

use transitions::EntryWeights;
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
    /// The weight that each host was given last.
    entry_weights: EntryWeights,
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
            entry_weights: EntryWeights::default(),
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

    /// Runs until all senders of messages are gone.
    pub async fn run(mut self, mut heard: mpsc::Receiver<Heard>) {
        const MAX_MESSAGES_AT_ONCE: usize = 1_024;
        loop {
            tokio::select! {
                biased;
                () = sleep_until(self.wakes_at()) => {}
                message = heard.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
            for _ in 0..MAX_MESSAGES_AT_ONCE {
                match heard.try_recv() {
                    Ok(message) => self.handle(message),
                    Err(_) => break,
                }
            }
            self.expire_timers();
            if self.is_decision_pending() && Instant::now() >= self.resume {
                self.decide();
            }
            self.check_policy();
        }
    }

    /// Events wait for a decision, or the policy in force has changed.
    fn is_decision_pending(&self) -> bool {
        let has_changed = |policy_lease: &PolicyLease| policy_lease.needs_decision(self.unix.now_ms());
        !self.events.is_empty() || self.policy_lease.as_ref().is_some_and(has_changed)
    }

    /// When the event loop goes on if no message arrives. Events left by a start, a restart or a full queue are decided on
    /// without waiting for a message.
    fn wakes_at(&self) -> Instant {
        const IDLE: Duration = Duration::from_secs(60);
        /// A policy change waits until the last controller reports that it is settled, so expired entries are checked for
        /// this often.
        const POLICY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
        if self.is_decision_pending() {
            return self.resume;
        }
        let now = Instant::now();
        let timer = self.timers.peek().map(|Reverse((at, _))| self.resume.max(*at));
        let wakes_at = timer.unwrap_or(now + IDLE);
        if self.policy_lease.is_some() {
            wakes_at.min(now + POLICY_CHECK_INTERVAL)
        } else {
            wakes_at
        }
    }

    fn expire_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.counters.timers.one();
            self.events.push(Event::TimerExpired { timer });
        }
    }

    /// Reports whether the policy in force is settled, and asks the proxies what they hold where that is due.
    fn check_policy(&mut self) {
        let now = self.now();
        let Some(policy_lease) = &mut self.policy_lease else { return };
        policy_lease.settle(now);
        if policy_lease.mark_due(now) && Instant::now() >= self.resume && !self.joined.is_empty() {
            self.ask_proxies();
        }
        let Some(policy_lease) = &mut self.policy_lease else { return };
        policy_lease
            .sees(now, || in_service_weights(&self.hosts, self.withdrawals.hosts(), &self.weight_fractions));
    }

    /// The zero of the controller's clock.
    pub fn start(&self) -> Instant {
        self.start
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    fn skip(&self, what: String) {
        if let Some(hidden) = self.skipped.pass() {
            warn!(self.log, "skipped"; "what" => what, "hidden" => hidden);
        }
    }

    fn with_judge(&mut self, tell: impl FnOnce(&mut Judge, f64)) {
        let now = self.now();
        if let Some(policy_lease) = &mut self.policy_lease {
            tell(policy_lease.judge(), now);
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

/// Whether the list has the host in service.
fn is_in_service(hosts: &BTreeMap<HostId, KnownHost>, host: &HostId) -> bool {
    hosts.get(host).is_some_and(|known| known.listed.availability == Availability::InService)
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
