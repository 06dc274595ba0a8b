//! amberarch's decisions: which hosts the proxies' tables name, who is shut out, and when.
//!
//! How to call it: make one [`Steward`] for each instance from its start facts, then hand all
//! events of one moment to `decide` and carry out the orders that come back, in their order. The
//! interface (ids, facts, events, orders) is the crate `amberarch-core`.
//!
//! The design: every listed host is probed each period; a run of fails gates it and withdraws it;
//! a run of passes lifts the gate; tables are few and shared, at listed weight. What departs from
//! that, and when, is told in docs/design.md and beside the code that does it.

use amberarch_core::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

// ---------------------------------------------------------------- measures over time

#[derive(Clone, Copy, Default)]
struct Tally {
    tries: f64,
    voided: f64,
    /// Time of the good ones, summed.
    took: f64,
    over: f64,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        self.tries += other.tries;
        self.voided += other.voided;
        self.took += other.took;
        self.over += other.over;
    }
    fn voided_part(&self) -> f64 {
        self.voided / self.tries.max(1.0)
    }
    fn good(&self) -> f64 {
        self.tries - self.voided
    }
}

/// Half a second a bucket: finer than any sum comes; 24 of them hold the longest look back.
const BUCKET: f64 = 500.0;
const BUCKETS: usize = 24;

#[derive(Clone)]
struct Ring([(i64, Tally); BUCKETS]);

impl Default for Ring {
    fn default() -> Self {
        Ring([(i64::MIN, Tally::default()); BUCKETS])
    }
}

impl Ring {
    fn add(&mut self, now: f64, tally: &Tally) {
        let number = (now / BUCKET) as i64;
        let slot = &mut self.0[number.rem_euclid(BUCKETS as i64) as usize];
        if slot.0 != number {
            *slot = (number, Tally::default());
        }
        slot.1.add(tally);
    }
    fn last(&self, now: f64, span: f64) -> Tally {
        let (newest, oldest) = ((now / BUCKET) as i64, ((now - span) / BUCKET) as i64);
        let mut sum = Tally::default();
        let within = |slot: &&(i64, Tally)| slot.0 > oldest && slot.0 <= newest;
        self.0.iter().filter(within).for_each(|slot| sum.add(&slot.1));
        sum
    }
}

// ---------------------------------------------------------------- the gate

/// The guide's examples: three failures in a row gate, two passes in a row lift.
const FAILS_TO_GATE: u32 = 3;
const PASSES_TO_LIFT: u32 = 2;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Verdict {
    Pass,
    Fail,
    Neither,
}

#[derive(Default)]
struct Gate {
    fails: u32,
    passes: u32,
    shut: bool,
    shut_at: f64,
    /// Real txns failed, not probes: passing probes say little about the return.
    by_sums: bool,
    unreachable: bool,
    relapses: i32,
    trial_until: f64,
}

impl Gate {
    fn count(&mut self, now: f64, verdict: Verdict, weighing: u32, may_shut: bool) {
        match verdict {
            Verdict::Neither => {}
            Verdict::Pass => {
                self.fails = 0;
                self.passes += 1;
            }
            Verdict::Fail => {
                self.passes = 0;
                self.fails += weighing;
                if self.fails >= FAILS_TO_GATE && !self.shut && may_shut {
                    self.shut = true;
                    self.shut_at = now;
                    // A gate that shuts again this soon after a lift is a flapper's.
                    let soon = now < self.trial_until + 15_000.0;
                    self.relapses = if soon { self.relapses + 1 } else { 0 };
                }
            }
        }
    }

    /// Guards against a host that passes probes but fails txns, and against flapping: each relapse
    /// doubles the wait. It holds back a host that is well again by as much.
    fn lift(&mut self, now: f64, trial: f64) -> bool {
        let first = if self.by_sums { 8_000.0 } else { 0.0 };
        let again = if self.relapses > 0 { 4_000.0 * 2f64.powi(self.relapses.min(3)) } else { 0.0 };
        if !self.shut || self.passes < PASSES_TO_LIFT || now < self.shut_at + f64::max(first, again) {
            return false;
        }
        // At once to the listed weight, as designed; in part where passes have misled before.
        let in_part = self.by_sums || self.relapses > 0;
        self.trial_until = now + if in_part { trial } else { 0.0 };
        self.shut = false;
        self.by_sums = false;
        self.fails = 0;
        true
    }
}

/// A light probe says that a process runs, no more: good real answers outrank one that timed out
/// (a busy host), and failing real txns outrank one that passed (it errs or hangs beside it).
fn judge_probe(outcome: Outcome, real: &Tally) -> Verdict {
    let serves = real.good() >= 3.0 && real.voided_part() < 0.5;
    let errs = real.tries >= 4.0 && real.voided_part() > 0.5;
    match outcome {
        Outcome::Answered if errs => Verdict::Neither,
        Outcome::Answered => Verdict::Pass,
        Outcome::TimedOut if serves => Verdict::Neither,
        Outcome::Errored | Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset => Verdict::Fail,
        Outcome::Full | Outcome::Unknown => Verdict::Neither,
    }
}

/// A window of late sums as one more probe. Only what stands out from the other hosts counts: if
/// all worsen together it is load, the path or something shared.
fn judge_sums(real: &Tally, usual_part: f64) -> Verdict {
    if real.tries >= 5.0 && real.voided_part() > 0.3 && real.voided_part() > usual_part + 0.25 {
        Verdict::Fail
    } else {
        Verdict::Neither
    }
}

// ---------------------------------------------------------------- hosts

struct Host {
    zone: ZoneId,
    weight: f64,
    standing: Standing,
    cold_since: Option<f64>,
    gate: Gate,
    met: Ring,
    summed_at: f64,
    probed_at: f64,
}

impl Host {
    /// The part of its listed weight that a host may carry; none: it stays out. A cold host comes
    /// back in few steps, each below what the slowest warming allows at that age.
    fn part(&self, now: f64, warmup: &Warmup) -> Option<f64> {
        let cold = self.cold_since.map_or(1.0, |since| (now - since) / warmup.within);
        let step = match cold {
            age if age < 0.1 => return None,
            age if age < 0.4 => 0.25,
            age if age < 0.75 => 0.5,
            _ => 1.0,
        };
        let trial = if now < self.gate.trial_until { 0.25 } else { 1.0 };
        Some(f64::min(step, trial))
    }

    fn open(&self, now: f64, warmup: &Warmup) -> bool {
        self.standing == Standing::On && !self.gate.shut && self.part(now, warmup).is_some()
    }

    fn warm(&self, now: f64, warmup: &Warmup) -> bool {
        self.cold_since.is_none_or(|since| now - since >= warmup.within)
    }
}

struct Proxy {
    zone: ZoneId,
    joined_rate: f64,
    came: BTreeMap<ProductId, Ring>,
    messages: Ring,
}

// ---------------------------------------------------------------- the list

struct Watch {
    roster: Roster,
    asked_at: Option<f64>,
    failures: i32,
    watching: bool,
}

impl Watch {
    /// Where the list must be asked it is watched; after a failure asked again, ever more rarely.
    fn ask(&mut self, now: f64, chance: f64, out: &mut Vec<Order>) {
        let wait = 600.0 * 2f64.powi(self.failures.min(3)) * (0.75 + 0.5 * chance);
        let due = self.asked_at.is_none_or(|at| now >= at + wait);
        if self.roster.asked && !self.watching && due {
            self.asked_at = Some(now);
            self.watching = true;
            out.push(Order::Watch { on: true });
        }
    }
}

// ---------------------------------------------------------------- the channel

/// What waits in the channel, at the most: messages leave it one after another, so an answer to a
/// mark shows that all written before it have left. Holds whatever pace the channel has.
struct Queue {
    channel: Channel,
    sent: VecDeque<(MarkId, BTreeMap<ProxyId, f64>)>,
    marks: u16,
}

impl Queue {
    fn applied(&mut self, proxy: ProxyId, mark: MarkId) {
        if let Some(place) = self.sent.iter().position(|(sent, _)| *sent == mark) {
            self.sent.drain(..place);
            self.sent[0].1.remove(&proxy);
        }
    }
    fn left(&mut self, proxy: ProxyId) {
        for (_, lines) in &mut self.sent {
            lines.remove(&proxy);
        }
    }
    fn waiting(&self) -> f64 {
        self.sent.iter().flat_map(|(_, lines)| lines.values()).sum()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Haste {
    /// Drains, gates and bare proxies: may use nearly all of the limits.
    AtOnce,
    /// The rest leaves that reserve alone.
    Paced,
}

/// One reply as it is put together, with what it writes to each proxy.
struct Reply<'a> {
    now: f64,
    queue: &'a Queue,
    proxies: &'a BTreeMap<ProxyId, Proxy>,
    lines: BTreeMap<ProxyId, f64>,
    waiting: f64,
    orders: Vec<Order>,
}

impl Reply<'_> {
    /// Takes the orders in if backlog and message limits allow; `each` lines go to each of `whom`.
    fn take(&mut self, haste: Haste, whom: &[ProxyId], each: f64, orders: &[Order]) -> bool {
        let channel = &self.queue.channel;
        // Half the backlog and half the messages are kept for what cannot wait.
        let (part, spare) = match haste {
            Haste::AtOnce => (0.85, 3),
            Haste::Paced => (0.5, channel.messages / 2),
        };
        let most = f64::from(channel.messages.saturating_sub(spare).max(1));
        let mut cost = each * whom.len() as f64;
        for proxy in whom.iter().filter(|proxy| !self.lines.contains_key(proxy)) {
            cost += channel.head + 1.0;
            let span = channel.messages_over + 2.0 * BUCKET;
            let written = self.proxies.get(proxy).map_or(0.0, |p| p.messages.last(self.now, span).tries);
            if channel.messages > 0 && written + 1.0 > most {
                return false;
            }
        }
        if self.waiting + cost > part * channel.backlog {
            return false;
        }
        self.waiting += cost;
        for proxy in whom {
            *self.lines.entry(*proxy).or_insert(channel.head + 1.0) += each;
        }
        self.orders.extend_from_slice(orders);
        true
    }
}

// ---------------------------------------------------------------- wanted and present

/// Which of the two tables of a zone: for most products, or for those confined to their zone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    Any,
    OwnZone,
}

#[derive(Clone, Default)]
struct Plan {
    held: BTreeSet<HostId>,
    lines: BTreeMap<TblId, BTreeMap<HostId, f64>>,
    binds: BTreeMap<(ProxyId, Reach), TblId>,
    levels: BTreeMap<(TblId, Products), (f64, Tries)>,
}

pub struct Steward {
    post: Post,
    products: Vec<Product>,
    sidecars: Sidecars,
    warmup: Warmup,
    sums: Sums,
    watch: Watch,
    queue: Queue,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    spill: Spill,
    present: Plan,
    started: bool,
    draws: u64,
}

/// A fifth of the probe period: gates and returns are seen to at least so often.
const TICK: f64 = 200.0;
/// The design's start value, kept.
const PROBE_PERIOD: f64 = 1_000.0;

impl Decide for Steward {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut out = Vec::new();
        let mut ticked = !std::mem::replace(&mut self.started, true);
        for event in events {
            ticked |= matches!(event, Event::Due { .. });
            self.hear(now, event);
        }
        if ticked {
            out.push(Order::Timer { after: TICK, timer: TimerId(0) });
        }
        let chance = self.chance();
        self.watch.ask(now, chance, &mut out);
        // Slices are carried, not decided yet: no order that they would make illegal.
        if self.post.slices == 0 {
            self.probe(now, &mut out);
            self.judge(now);
            let wanted = self.want(now);
            self.publish(now, wanted, &mut out);
        }
        out
    }
}

impl Steward {
    pub fn new(
        post: Post,
        products: Vec<Product>,
        channel: Channel,
        sidecars: Sidecars,
        warmup: Warmup,
        roster: Roster,
        sums: Sums,
    ) -> Self {
        Steward {
            post,
            products,
            sidecars,
            warmup,
            sums,
            watch: Watch { roster, asked_at: None, failures: 0, watching: false },
            queue: Queue { channel, sent: VecDeque::new(), marks: 0 },
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            spill: Spill::default(),
            present: Plan::default(),
            started: false,
            draws: 0,
        }
    }

    /// Between 0 and 1, from the instance's seed and a counter.
    fn chance(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.post.seed, self.draws).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    fn hear(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { news: ListNews::Failed, .. } => {
                self.watch.watching = false;
                self.watch.failures += 1;
            }
            Event::List { news, entries } => self.learn(now, *news, entries),
            Event::Joined { proxy, zone, txns_per_s, .. } => {
                self.left(*proxy);
                let (came, messages) = (BTreeMap::new(), Ring::default());
                let joined = Proxy { zone: *zone, joined_rate: *txns_per_s, came, messages };
                self.proxies.insert(*proxy, joined);
            }
            Event::Left { proxy } => self.left(*proxy),
            Event::Met { host, tries, voided, mean, over, .. } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let (tries, voided) = (f64::from(*tries), f64::from(*voided));
                    let tally = Tally { tries, voided, took: mean * (tries - voided), over: *over };
                    host.met.add(now, &tally);
                    host.summed_at = now;
                }
            }
            Event::Came { proxy, product, txns, voided, over } => {
                if let Some(proxy) = self.proxies.get_mut(proxy) {
                    let (tries, voided) = (f64::from(*txns), f64::from(*voided));
                    let tally = Tally { tries, voided, took: 0.0, over: *over };
                    proxy.came.entry(*product).or_default().add(now, &tally);
                }
            }
            Event::Probed { host, outcome, .. } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let verdict = judge_probe(*outcome, &host.met.last(now, self.sums.every + BUCKET));
                    host.gate.count(now, verdict, 1, true);
                    // Silent and back: it may have started anew before the list knows.
                    let back = verdict == Verdict::Pass && host.gate.unreachable && host.gate.shut;
                    if back && host.cold_since.is_none_or(|since| since < host.gate.shut_at) {
                        host.cold_since = Some(now);
                    }
                    match outcome {
                        Outcome::Unreachable => host.gate.unreachable = true,
                        Outcome::Answered => host.gate.unreachable = false,
                        _ => {}
                    }
                }
            }
            Event::Applied { proxy, mark, .. } => self.queue.applied(*proxy, *mark),
            Event::Due { .. } | Event::Peer { .. } => {}
            Event::SliceGiven { .. } | Event::SliceLine { .. } | Event::SliceCame { .. } => {}
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.present.binds.retain(|(bound, _), _| *bound != proxy);
        self.queue.left(proxy);
    }

    fn learn(&mut self, now: f64, news: ListNews, entries: &[Listed]) {
        if news != ListNews::Restored {
            self.watch.failures = 0;
        }
        if news != ListNews::Changes {
            let listed: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
            let missing = self.hosts.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, host)| host.standing = Standing::Gone);
        }
        for entry in entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone: entry.zone,
                weight: entry.weight,
                standing: entry.standing,
                cold_since: None,
                gate: Gate::default(),
                met: Ring::default(),
                summed_at: 0.0,
                probed_at: f64::MIN,
            });
            host.zone = entry.zone;
            host.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            host.standing = entry.standing;
            if let Some(born) = entry.born.filter(|born| now - born < self.warmup.within) {
                host.cold_since = Some(host.cold_since.map_or(born, |since| since.max(born)));
            }
        }
    }

    fn probe(&mut self, now: f64, out: &mut Vec<Order>) {
        if !self.post.may_probe {
            return;
        }
        for (id, host) in &mut self.hosts {
            if host.standing == Standing::On && now >= host.probed_at + PROBE_PERIOD - 1.0 {
                host.probed_at = now;
                out.push(Order::Probe { host: *id });
            }
        }
    }

    fn judge(&mut self, now: f64) {
        let window = self.sums.every + BUCKET;
        let mut parts: Vec<f64> = Vec::new();
        for host in self.hosts.values().filter(|host| host.standing == Standing::On) {
            let real = host.met.last(now, window);
            if real.tries >= 3.0 {
                parts.push(real.voided_part());
            }
        }
        parts.sort_by(f64::total_cmp);
        let usual = parts.get(parts.len() / 2).copied().unwrap_or(0.0);
        let weight_of = |host: &Host| if host.standing == Standing::On { host.weight } else { 0.0 };
        let all: f64 = self.hosts.values().map(weight_of).sum();
        let mut shut: f64 = self.hosts.values().filter(|host| host.gate.shut).map(weight_of).sum();
        for host in self.hosts.values_mut().filter(|host| host.standing == Standing::On) {
            if host.summed_at == now {
                let verdict = judge_sums(&host.met.last(now, window), usual);
                // The rest must carry what is gated by sums: a third of the fleet at the most.
                let may = shut + host.weight <= 0.34 * all;
                let weighing = 1 + (self.sums.every / PROBE_PERIOD) as u32;
                let before = host.gate.shut;
                host.gate.count(now, verdict, weighing, may);
                if host.gate.shut && verdict == Verdict::Fail {
                    host.gate.by_sums = true;
                }
                if host.gate.shut && !before {
                    shut += host.weight;
                }
            }
            let trial = 2.0 * self.sums.every + 1_500.0;
            host.gate.lift(now, trial);
        }
    }

    // ------------------------------------------------------------ what is wanted

    fn tbl(&self, zone: ZoneId, reach: Reach) -> TblId {
        match reach {
            Reach::Any => TblId(zone.0),
            Reach::OwnZone => TblId(self.post.zones + zone.0),
        }
    }

    fn products_of(&self, reach: Reach) -> Products {
        let own = |product: &Product| product.own_zone == (reach == Reach::OwnZone);
        let places = self.products.iter().enumerate().filter(|(_, product)| own(product));
        Products(places.fold(0, |mask, (place, _)| mask | (1 << place)))
    }

    fn want(&mut self, now: f64) -> Plan {
        let mut plan = Plan::default();
        let warmup = &self.warmup;
        let zones: Vec<ZoneId> = (0..self.post.zones).map(ZoneId).collect();
        let any_open = self.hosts.values().any(|host| host.open(now, warmup));
        let confined = self.products.iter().any(|product| product.own_zone);
        for (id, host) in &self.hosts {
            let listed = host.standing == Standing::On;
            let zone_open = self.hosts.values().any(|h| h.zone == host.zone && h.open(now, warmup));
            // With every host gated, gates are ignored; so too where a product has no other zone.
            let gates_count = any_open && (zone_open || !confined);
            let gated = host.gate.shut && gates_count;
            if !listed || gated || host.part(now, warmup).is_none() {
                plan.held.insert(*id);
            }
        }
        self.spill.plan(now, &zones, &self.hosts, &self.proxies, warmup);
        for zone in &zones {
            let mut any = BTreeMap::new();
            let mut own = BTreeMap::new();
            for (id, host) in &self.hosts {
                if host.standing == Standing::Gone {
                    continue;
                }
                let part = match host.part(now, warmup) {
                    Some(part) => part,
                    None => continue,
                };
                let joins = if host.zone == *zone { 1.0 } else { self.spill.part(*zone, host.zone) };
                if host.zone == *zone {
                    own.insert(*id, host.weight * part);
                }
                if joins > 0.0 && (plan.held.contains(id) || !host.gate.shut || !any_open) {
                    any.insert(*id, host.weight * part * joins);
                }
            }
            plan.lines.insert(self.tbl(*zone, Reach::Any), any);
            if confined {
                plan.lines.insert(self.tbl(*zone, Reach::OwnZone), own);
            }
        }
        // A table with no host left to carry it: its proxies go to the one that has most.
        let usable = |lines: &BTreeMap<HostId, f64>| -> f64 {
            let open = lines.iter().filter(|(id, _)| !plan.held.contains(id));
            open.filter(|(id, _)| self.hosts[id].warm(now, warmup)).map(|(_, weight)| weight).sum()
        };
        let widest = zones.iter().map(|zone| self.tbl(*zone, Reach::Any));
        let widest = widest.max_by(|a, b| usable(&plan.lines[a]).total_cmp(&usable(&plan.lines[b])));
        let mut binds = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            let home = self.tbl(proxy.zone, Reach::Any);
            let bare = plan.lines.get(&home).is_none_or(|lines| usable(lines) == 0.0);
            let tbl = if bare { widest.unwrap_or(home) } else { home };
            binds.insert((*id, Reach::Any), tbl);
            if confined {
                binds.insert((*id, Reach::OwnZone), self.tbl(proxy.zone, Reach::OwnZone));
            }
        }
        plan.binds = binds;
        if self.sidecars.usual_tries != Tries::AfterProof {
            let tries = (1.0, Tries::AfterProof);
            plan.levels.insert((TblId::ALL, Products::ALL), self.open_level(tries));
        }
        plan
    }

    /// A level that lets all in, in the site's kind.
    fn open_level(&self, (share, tries): (f64, Tries)) -> (f64, Tries) {
        match self.sidecars.levels {
            LevelKind::Rate if share >= 1.0 => (1e6, tries),
            _ => (share, tries),
        }
    }

    // ------------------------------------------------------------ the difference, and its orders

    /// The one place that turns what is wanted into orders: what differs from the present goes out,
    /// the urgent first, as far as the channel takes it. What does not fit waits for the next call.
    fn publish(&mut self, now: f64, wanted: Plan, out: &mut Vec<Order>) {
        let everyone: Vec<ProxyId> = self.proxies.keys().copied().collect();
        let waiting = self.queue.waiting();
        let (queue, proxies) = (&self.queue, &self.proxies);
        let mut reply = Reply { now, queue, proxies, lines: BTreeMap::new(), waiting, orders: Vec::new() };
        let masks = [Reach::Any, Reach::OwnZone].map(|reach| self.products_of(reach));
        let present = &mut self.present;
        let users = |present: &Plan, tbl: TblId| -> Vec<ProxyId> {
            let bound = present.binds.iter().filter(|(_, bound)| **bound == tbl);
            let whom: BTreeSet<ProxyId> = bound.map(|((proxy, _), _)| *proxy).collect();
            whom.into_iter().collect()
        };
        for host in wanted.held.difference(&present.held.clone()) {
            let order = Order::Withdraw { host: *host, out: true };
            if reply.take(Haste::AtOnce, &everyone, 1.0, &[order]) {
                present.held.insert(*host);
            }
        }
        for (tbl, lines) in &wanted.lines {
            let now_there = present.lines.entry(*tbl).or_default().clone();
            let mut orders = Vec::new();
            for (host, weight) in lines {
                let settled = now_there.get(host) == Some(weight);
                let waits = wanted.held.contains(host) && now_there.contains_key(host);
                if !settled && !waits {
                    orders.push(Order::Share { tbl: *tbl, host: *host, weight: *weight });
                }
            }
            for host in now_there.keys().filter(|host| !lines.contains_key(host)) {
                orders.push(Order::Share { tbl: *tbl, host: *host, weight: 0.0 });
            }
            let whom = users(present, *tbl);
            if !orders.is_empty() && reply.take(Haste::Paced, &whom, orders.len() as f64, &orders) {
                let standing = present.lines.entry(*tbl).or_default();
                for order in orders {
                    match order {
                        Order::Share { host, weight: 0.0, .. } => standing.remove(&host),
                        Order::Share { host, weight, .. } => standing.insert(host, weight),
                        _ => None,
                    };
                }
            }
        }
        for host in present.held.clone().difference(&wanted.held) {
            let order = Order::Withdraw { host: *host, out: false };
            if reply.take(Haste::Paced, &everyone, 1.0, &[order]) {
                present.held.remove(host);
            }
        }
        for ((proxy, reach), tbl) in &wanted.binds {
            if present.binds.get(&(*proxy, *reach)) == Some(tbl) {
                continue;
            }
            let products = masks[*reach as usize];
            let lines = present.lines.get(tbl).map_or(0, BTreeMap::len) + present.levels.len();
            let order = Order::Bind { proxy: *proxy, tbl: *tbl, products };
            if reply.take(Haste::AtOnce, &[*proxy], 2.0 * lines as f64 + 1.0, &[order]) {
                present.binds.insert((*proxy, *reach), *tbl);
            }
        }
        for ((tbl, products), (level, tries)) in &wanted.levels {
            if present.levels.get(&(*tbl, *products)) == Some(&(*level, *tries)) {
                continue;
            }
            let whom = if *tbl == TblId::ALL { everyone.clone() } else { users(present, *tbl) };
            let (tbl, products, level, tries) = (*tbl, *products, *level, *tries);
            if reply.take(Haste::Paced, &whom, 1.0, &[Order::Admit { tbl, products, level, tries }]) {
                present.levels.insert((tbl, products), (level, tries));
            }
        }
        let Reply { lines, orders, .. } = reply;
        if lines.is_empty() {
            out.extend(orders);
            return;
        }
        let one = Tally { tries: 1.0, ..Tally::default() };
        for proxy in lines.keys() {
            if let Some(proxy) = self.proxies.get_mut(proxy) {
                proxy.messages.add(now, &one);
            }
        }
        let mark = MarkId(self.queue.marks);
        self.queue.marks = self.queue.marks.wrapping_add(1);
        self.queue.sent.push_back((mark, lines));
        out.extend(orders);
        out.push(Order::Mark { mark, everyone: false });
    }
}

// ---------------------------------------------------------------- neighbours' hosts

/// Which part of their weight a zone's hosts have in a neighbour's table: sticky, in quarters.
#[derive(Default)]
struct Spill {
    parts: BTreeMap<(ZoneId, ZoneId), f64>,
    planned_at: Option<f64>,
}

impl Spill {
    fn part(&self, zone: ZoneId, of: ZoneId) -> f64 {
        self.parts.get(&(zone, of)).copied().unwrap_or(0.0)
    }

    /// Neighbours' hosts join where a zone's own carry more than the fleet's share: levels out
    /// skewed demand and lost hosts alike. Costs crossings, as few as the excess asks for.
    fn plan(
        &mut self,
        now: f64,
        zones: &[ZoneId],
        hosts: &BTreeMap<HostId, Host>,
        proxies: &BTreeMap<ProxyId, Proxy>,
        warmup: &Warmup,
    ) {
        if self.planned_at.is_some_and(|at| now < at + 2_000.0) {
            return;
        }
        self.planned_at = Some(now);
        let weight = |zone: &ZoneId| -> f64 {
            let open = hosts.values().filter(|host| host.zone == *zone && host.open(now, warmup));
            open.map(|host| host.weight * host.part(now, warmup).unwrap_or(0.0)).sum()
        };
        let demand = |zone: &ZoneId| -> f64 {
            let there = proxies.values().filter(|proxy| proxy.zone == *zone);
            there.map(|proxy| proxy_rate(now, proxy)).sum()
        };
        let weights: Vec<f64> = zones.iter().map(weight).collect();
        let demands: Vec<f64> = zones.iter().map(demand).collect();
        let fair = demands.iter().sum::<f64>() / weights.iter().sum::<f64>().max(1e-9);
        let room: Vec<f64> = weights.iter().zip(&demands).map(|(w, d)| (w * fair - d).max(0.0)).collect();
        let all_room = room.iter().sum::<f64>().max(1e-9);
        for (place, zone) in zones.iter().enumerate() {
            let excess = (demands[place] - weights[place] * fair).max(0.0);
            let out = if demands[place] > 0.0 { excess / demands[place] } else { 0.0 };
            for (other, neighbour) in zones.iter().enumerate().filter(|(other, _)| *other != place) {
                let flow = out * room[other] / all_room;
                let exact = flow * weights[place] / (1.0 - out).max(0.05) / weights[other].max(1e-9);
                let part = self.parts.entry((*zone, *neighbour)).or_insert(0.0);
                if (exact - *part).abs() > 0.2 {
                    *part = (exact * 4.0).round().min(4.0) / 4.0;
                }
            }
        }
    }
}

fn proxy_rate(now: f64, proxy: &Proxy) -> f64 {
    let sums = proxy.came.values().map(|ring| ring.last(now, 8_000.0));
    // A product of which none came has no line: the longest time covered holds for all.
    let (tries, over) = sums.fold((0.0, 0.0), |(t, o), sum| (t + sum.tries, f64::max(o, sum.over)));
    if over > 0.0 {
        1_000.0 * tries / over
    } else {
        proxy.joined_rate
    }
}
