//! What proxies may hold. Calls (one batch of orders each, which reaches a proxy as one message) stand in one line.
//! Each proxy passes through all of it in order, so a state that was judged when its call was is judged for all who
//! come to it later. What is left to look at are three kinds of doubt:
//! - *written*: a proxy may still be at any state that was the newest less than the worst transit ago. That counts for
//!   load, where what others hold at the same time matters, and not for bareness.
//! - *unsure*: calls that the relay has not answered for may be carried out again, in their order, from any of them
//!   on: a run of them over the newest state. Those states are reachable while any call is unsure.
//! - *given up*: a call that may never have been carried out. What it set may be missing until it is set anew.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;

use crate::facts::Facts;
use crate::look::Trial;
use crate::sums::Sums;
use crate::verdict::Breach;

/// By host.
pub(crate) type Parts = Vec<(HostId, f64)>;
/// A place in the line of calls.
pub type At = u64;

/// The relay tells of a repeat after the answer's time is over and the longest pause, 50 ms and 1.5 s; the rest is
/// left to a busy process. A call whose mark was answered so long ago is not carried out again. In ms.
const TOLD_BY: f64 = 2_000.0;
/// Marks that are remembered: at twenty calls a second, those of three minutes.
const MARKS: usize = 4_096;
/// Demand is counted by so much more than the last sum said: counts of some twenty txns differ by a fifth, and what
/// grew last time may grow as much again, up to twice.
const NOISE: f64 = 1.1;
const GROWTH: f64 = 2.0;
/// Of what a host did and what it did before: both halves, so that one lucky sum moves little.
const SMOOTH: f64 = 0.5;
/// No weight counts for more, so that sums of them stay numbers.
const MOST_WEIGHT: f64 = 1e100;
/// How often all proxies are looked through for one that is behind, ms.
const LOOK_THROUGH: f64 = 1_000.0;

/// What the guard found out about its own model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Finding {
    #[error("proxy {} has not answered a mark within the worst transit: what it holds is not known", .0.0)]
    Behind(ProxyId),
    #[error("proxy {} answered a mark that it had passed already: its orders did not come in order", .0.0)]
    OutOfOrder(ProxyId),
    #[error("proxy {} answered a mark that went to nobody", .0.0)]
    Unsent(ProxyId),
    #[error("proxy {} has joined and is in no table for longer than stated", .0.0)]
    Unbound(ProxyId),
}

/// What each host gets at most while something is unsure, whichever calls are carried out again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Doubt {
    /// All lines at the least weight that they may have.
    pub least: f64,
    /// The parts of hosts whose weight is unsure; by host.
    pub maybe: Parts,
}

#[derive(Clone, Debug)]
pub(crate) struct Old {
    pub until: f64,
    /// The call that ended it.
    pub at: At,
    /// The weight of all lines whose hosts were let in; and the weights of those whose part that call changed, as they
    /// were, shut out counting as none.
    pub sum: f64,
    pub changed: Vec<(HostId, f64)>,
    pub doubted: Option<Doubt>,
    /// The lines stand as they were, and the doubt is over but for copies on their way.
    pub again: bool,
}

/// What hosts had in a table for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    /// The calls that began and ended it.
    pub began: At,
    pub ended: At,
    pub part: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub lines: BTreeMap<HostId, f64>,
    /// Who is bound to it in the newest state, by home zone and products.
    pub groups: BTreeMap<(ZoneId, u64), BTreeSet<ProxyId>>,
    pub users: usize,
    /// Txns a second, at most, of those who are bound to it in the newest state.
    pub demand: f64,
    /// Of all lines whose hosts are let in.
    pub sums: Sums,
    pub doubted: Option<Doubt>,
    /// States before the newest that somebody may still hold.
    pub old: VecDeque<Old>,
    /// Calls that went to its users: all of the worst transit, and the last before.
    pub calls: VecDeque<(At, f64)>,
}

pub(crate) fn share(shares: &[(HostId, f64)], host: HostId) -> f64 {
    shares.binary_search_by_key(&host, |share| share.0).map_or(0.0, |place| shares[place].1)
}

/// The part of a table that a host of that weight gets.
fn part(weight: f64, sum: f64, doubted: &Option<Doubt>, host: HostId) -> f64 {
    let sum = match doubted {
        Some(Doubt { least, maybe }) => match maybe.binary_search_by_key(&host, |share| share.0) {
            Ok(place) => return maybe[place].1,
            Err(_) => *least,
        },
        None => sum,
    };
    if weight > 0.0 {
        (weight / sum).min(1.0)
    } else {
        0.0
    }
}

impl Table {
    /// What a host of that weight has had, newest first.
    pub fn spans(&self, host: HostId, weight: f64) -> impl Iterator<Item = Span> + '_ {
        // Where a doubt ended the lines went on: that began nothing.
        let ends = || self.old.iter().rev().filter(|old| !old.again).map(|old| old.at).chain([0]);
        let (mut weight, mut began) = (weight, ends());
        let newest = Span {
            began: began.next().unwrap_or(0),
            ended: At::MAX,
            part: part(weight, self.sums.all(), &self.doubted, host),
        };
        let mut since = newest.began;
        let old = self.old.iter().rev().map(move |old| {
            weight = old.changed.iter().find(|changed| changed.0 == host).map_or(weight, |was| was.1);
            if !old.again {
                since = began.next().unwrap_or(0);
            }
            Span { began: since, ended: old.at, part: part(weight, old.sum, &old.doubted, host) }
        });
        [newest].into_iter().chain(old)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub zone: ZoneId,
    pub weight: f64,
    pub standing: Availability,
    pub cold_since: Option<f64>,
    /// Since when it drains, or is gone.
    pub leaves: Option<f64>,
    /// Its last probe failed.
    pub failing: bool,
    /// Good answers a second to proxies of each zone, and when that was told.
    pub met: BTreeMap<ZoneId, (f64, f64)>,
}

impl Host {
    /// A line to it is of use.
    pub fn serves(&self) -> bool {
        self.standing != Availability::Removed && !self.failing
    }
    /// The part of its capacity that the slowest warming has brought it.
    pub fn able(&self, now: f64, warmup: &Warmup) -> f64 {
        let age = self.cold_since.map_or(1.0, |since| (now - since) / warmup.duration.max(1e-9));
        (warmup.initial_capacity + (1.0 - warmup.initial_capacity) * age.clamp(0.0, 1.0)).min(1.0)
    }
    pub fn warm(&self, now: f64, warmup: &Warmup) -> bool {
        self.cold_since.is_none_or(|since| now >= since + warmup.duration)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Use {
    pub tbl: TableId,
    pub mask: u64,
    /// What of it is counted in the table's demand.
    pub demand: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    pub uses: Vec<Use>,
    /// Txns a second, as it said when it joined; and by sums, the last and the one before.
    pub said: f64,
    pub came: BTreeMap<ClassId, (f64, Option<f64>)>,
    pub joined: f64,
    pub floor: At,
    pub bound: Option<(At, f64)>,
    /// Tables that it has left, and the call after which it is not there for certain once it has answered that.
    pub been: BTreeMap<TableId, At>,
    /// The call that first left none of its products to where others had bound it.
    pub whole: Option<At>,
    /// Once it has answered that call it is not behind.
    pub due: At,
    pub unbound_told: bool,
}

/// What a call sets, last of all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    pub clears: BTreeSet<TableId>,
    pub lines: BTreeMap<(TableId, HostId), f64>,
    /// Whether it is shut out.
    pub hosts: BTreeMap<HostId, bool>,
    pub binds: Vec<(ProxyId, TableId, u64)>,
}

impl Writes {
    pub fn is_empty(&self) -> bool {
        self.clears.is_empty() && self.lines.is_empty() && self.hosts.is_empty() && self.binds.is_empty()
    }
    pub fn line(&self, tbl: TableId, host: HostId) -> Option<f64> {
        self.lines.get(&(tbl, host)).copied().or(self.clears.contains(&tbl).then_some(0.0))
    }
    /// The table of a proxy's product.
    pub fn bound(&self, proxy: ProxyId, product: u64) -> Option<TableId> {
        let bind = self.binds.iter().rev().find(|bind| bind.0 == proxy && bind.2 & product != 0);
        bind.map(|bind| bind.1)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub at: At,
    pub mark: Option<MarkId>,
    /// The last call that went as one with it.
    pub end: At,
    /// A repeat of it was told, and when.
    pub again: Option<f64>,
    pub answered: Option<f64>,
    pub lines: f64,
    pub writes: Writes,
    /// What its binds ended.
    pub left: Vec<(ProxyId, TableId, u64)>,
}

/// A mark that went out.
#[derive(Clone, Copy, Debug)]
struct Marked {
    at: At,
    /// The last call that went as one with its call: who answers one of their marks answers all.
    end: At,
    /// A repeat was told, so that it may be answered once for each copy, late as the last may be.
    copied: bool,
}

/// A call that went to proxies, for their count of messages.
pub(crate) struct Message {
    pub when: f64,
    pub tables: BTreeSet<TableId>,
    pub proxies: BTreeSet<ProxyId>,
}

/// A proxy was bound, from one table to another, to where it was, or from nowhere that is known (`TblId::ALL`), and may
/// not know of it yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hop {
    pub until: f64,
    pub at: At,
    pub mask: u64,
    pub from: TableId,
}

pub struct Guard {
    pub(crate) facts: Facts,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Tables that name a host, or did in a state that somebody may still hold.
    pub(crate) named: BTreeMap<HostId, BTreeSet<TableId>>,
    pub(crate) out: BTreeSet<HostId>,
    /// Those that were not warm when it was last looked at: few, so that a change asks few.
    pub(crate) cold: BTreeSet<HostId>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) reach: BTreeMap<(ZoneId, ClassId), Zones>,
    /// By proxy, oldest first: one that moved twice may be at any of the three.
    pub(crate) hops: BTreeMap<ProxyId, Vec<Hop>>,
    /// All of them, oldest first.
    hops_end: VecDeque<(f64, At, ProxyId)>,
    pub(crate) loose: VecDeque<Call>,
    /// What was given up and not set anew since.
    pub(crate) missing: Writes,
    pub(crate) at: At,
    pub(crate) quiet: At,
    /// Up to here nothing is on its way any more either; and later calls, of which a copy may still be: until when, and
    /// the call that comes after all copies.
    pub(crate) sure: At,
    settling: VecDeque<(f64, At, At)>,
    /// Tables of calls that are not carried out again any more, whose doubts stand while others are.
    settled: BTreeSet<TableId>,
    marks: BTreeMap<MarkId, Marked>,
    remembered: VecDeque<MarkId>,
    /// Tables with states that end by time.
    ends: VecDeque<(f64, At, TableId)>,
    /// Lines in the channel, at most, and when that was counted.
    pub(crate) waiting: f64,
    waiting_at: f64,
    pub(crate) messages: VecDeque<Message>,
    /// Good answers a second of a warm host of weight 1, at the most that was seen.
    pub(crate) best: f64,
    rates: BTreeMap<HostId, f64>,
    /// What other stewards' proxies brought to each unit of weight, when last told.
    pub(crate) beside: f64,
    /// Proxies of which it is not known which of several states they hold.
    pub(crate) behind: BTreeSet<ProxyId>,
    /// Lines that ended, and the call that whoever has answered it holds them no more; as many as are kept, in their
    /// order; and that of the last that was dropped.
    pub(crate) ended: BTreeMap<(HostId, TableId), At>,
    pub(crate) ended_in_order: VecDeque<(At, HostId, TableId)>,
    pub(crate) forgotten: At,
    /// The most that cold hosts had in tables in states that are forgotten.
    pub(crate) tops: BTreeMap<(HostId, TableId), f64>,
    /// When a list first named a host.
    pub(crate) seen: BTreeMap<HostId, f64>,
    /// Up to here something that was given up was missing.
    pub(crate) missed: At,
    /// Of proxies of each zone with sums: all that came, and how many they are.
    known: BTreeMap<ZoneId, (f64, u32)>,
    looked: f64,
    findings: Vec<Finding>,
    listed: bool,
}

impl Guard {
    pub fn new(facts: Facts) -> Guard {
        Guard {
            facts,
            tables: BTreeMap::new(),
            hosts: BTreeMap::new(),
            named: BTreeMap::new(),
            out: BTreeSet::new(),
            cold: BTreeSet::new(),
            proxies: BTreeMap::new(),
            reach: BTreeMap::new(),
            hops: BTreeMap::new(),
            hops_end: VecDeque::new(),
            loose: VecDeque::new(),
            missing: Writes::default(),
            at: 0,
            quiet: 0,
            sure: 0,
            settling: VecDeque::new(),
            settled: BTreeSet::new(),
            marks: BTreeMap::new(),
            remembered: VecDeque::new(),
            ends: VecDeque::new(),
            waiting: 0.0,
            waiting_at: 0.0,
            messages: VecDeque::new(),
            best: 0.0,
            rates: BTreeMap::new(),
            beside: 0.0,
            behind: BTreeSet::new(),
            ended: BTreeMap::new(),
            ended_in_order: VecDeque::new(),
            forgotten: 0,
            tops: BTreeMap::new(),
            seen: BTreeMap::new(),
            missed: 0,
            known: BTreeMap::new(),
            looked: f64::MIN,
            findings: vec![],
            listed: false,
        }
    }

    /// What happened, as the decisions hear it.
    pub fn hear(&mut self, now: f64, event: &Event) {
        self.advance(now);
        match event {
            Event::List { update: ListUpdate::Failed, .. } => {}
            Event::List { update, entries } => self.learn(now, *update, entries),
            Event::ProxyJoined { proxy, zone, txns_per_s, .. } => {
                self.left(*proxy);
                let (zone, said, floor) = (*zone, txns_per_s.max(0.0), self.at);
                let (uses, came, joined, bound) = (vec![], BTreeMap::new(), now, None);
                let (been, whole, due, unbound_told) = (BTreeMap::new(), None, 0, false);
                let new =
                    Proxy { zone, uses, said, came, joined, floor, bound, been, whole, due, unbound_told };
                self.proxies.insert(*proxy, new);
            }
            Event::ProxyLeft { proxy } => self.left(*proxy),
            Event::HostReport { host, zone, tries, failed, covered, .. } if *covered > 0.0 => {
                self.met(
                    now,
                    *host,
                    *zone,
                    f64::from(tries.saturating_sub(*failed)) / covered * 1e3,
                    *covered,
                );
            }
            Event::ProxyReport { proxy, class, txns, covered, .. } if *covered > 0.0 => {
                self.came(*proxy, *class, f64::from(*txns) / covered * 1e3);
            }
            Event::ProbeResult { host, outcome, .. } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    match outcome {
                        ProbeOutcome::Answered => host.failing = false,
                        ProbeOutcome::Full | ProbeOutcome::Unknown => {}
                        _ => host.failing = true,
                    }
                }
            }
            Event::ReachRule { zone, class, allowed_zones } => {
                self.reach.insert((*zone, *class), *allowed_zones);
            }
            Event::MarkApplied { proxy, mark, .. } => self.applied(now, *proxy, *mark),
            Event::CallsMerged { first, last } => self.together(*first, *last),
            Event::CallDuplicated { mark } => {
                let mut lines = 0.0;
                if let Some(marked) = self.marks.get_mut(mark) {
                    marked.copied = true;
                }
                for call in self.loose.iter_mut().filter(|call| call.mark == Some(*mark)) {
                    call.again = Some(now);
                    lines += call.lines;
                }
                self.waiting += lines;
            }
            _ => {}
        }
    }

    fn learn(&mut self, now: f64, news: ListUpdate, entries: &[HostEntry]) {
        if news != ListUpdate::Changes {
            self.hosts.values_mut().for_each(|host| host.standing = Availability::Removed);
        }
        // What the first list names was there before; one that comes later without a start is taken for fresh.
        let first = !std::mem::replace(&mut self.listed, true) || news == ListUpdate::FromSnapshot;
        for entry in entries {
            self.seen.entry(entry.host).or_insert(now);
            let new = !self.hosts.contains_key(&entry.host);
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone: entry.zone,
                weight: 1.0,
                standing: entry.availability,
                cold_since: None,
                leaves: None,
                failing: false,
                met: BTreeMap::new(),
            });
            (host.zone, host.standing) = (entry.zone, entry.availability);
            host.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            host.leaves = (entry.availability != Availability::InService).then(|| host.leaves.unwrap_or(now));
            let since = entry.started_at.or((new && !first).then_some(now));
            if let Some(since) = since.filter(|since| host.cold_since.is_none_or(|known| *since > known)) {
                host.cold_since = Some(since);
                host.met.clear();
                // What it could do before it started anew says nothing.
                self.rates.remove(&entry.host);
            }
            if !host.warm(now, &self.facts.warmup) && self.cold.insert(entry.host) {
                self.grows_cold(entry.host);
            }
        }
    }

    fn met(&mut self, now: f64, host: HostId, zone: ZoneId, rate: f64, over: f64) {
        let ours: BTreeSet<ZoneId> = self.known.keys().copied().collect();
        let Some(known) = self.hosts.get_mut(&host) else { return };
        known.met.insert(zone, (now, rate));
        known.met.retain(|_, (at, _)| *at + 3.0 * over > now);
        if !known.warm(now, &self.facts.warmup) {
            return;
        }
        let all: f64 = known.met.values().map(|met| met.1).sum::<f64>() / known.weight;
        let smooth = self.rates.entry(host).or_insert(all);
        *smooth += SMOOTH * (all - *smooth);
        self.best = self.best.max(*smooth);
        if !self.facts.alone && !ours.is_empty() {
            let beside = |known: &Host| -> f64 {
                known.met.iter().filter(|(zone, _)| !ours.contains(zone)).map(|met| met.1 .1).sum()
            };
            let of = self.rates.keys().filter_map(|host| self.hosts.get(host));
            let (met, weight) =
                of.fold((0.0, 0.0), |(met, weight), host| (met + beside(host), weight + host.weight));
            self.beside = met / f64::max(weight, 1e-9);
        }
    }

    /// What other stewards' proxies may bring to a host: what they did, and where that is not known what they bring
    /// to others.
    pub(crate) fn others(&self, now: f64, host: &Host) -> f64 {
        if self.facts.alone {
            return 0.0;
        }
        let ours = |zone: &ZoneId| self.known.contains_key(zone);
        let met = host.met.iter().filter(|(zone, _)| !ours(zone)).map(|met| met.1 .1).sum::<f64>();
        NOISE * met.max(self.beside * host.weight * host.able(now, &self.facts.warmup))
    }

    fn came(&mut self, proxy: ProxyId, product: ClassId, rate: f64) {
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (before, first) = (known.came.get(&product).map(|came| came.0), known.came.is_empty());
        known.came.insert(product, (rate, before));
        let zone = self.known.entry(known.zone).or_default();
        *zone = (zone.0 + rate - before.unwrap_or(0.0), zone.1 + u32::from(first));
        self.recount(proxy);
    }

    /// Txns a second of these products that come to a proxy, at most.
    pub(crate) fn demand(&self, proxy: &Proxy, mask: u64) -> f64 {
        let each = |(product, (last, before)): (&ClassId, &(f64, Option<f64>))| {
            let growth = before.filter(|before| *before > 0.0).map_or(1.0, |before| last / before);
            (mask & ClassSet::one(*product).0 != 0).then(|| last * NOISE * growth.clamp(1.0, GROWTH))
        };
        let known: f64 = proxy.came.iter().filter_map(each).sum();
        let told = proxy.came.keys().fold(0, |all, product| all | ClassSet::one(*product).0);
        if mask & !told == 0 {
            return known;
        }
        // One that has told nothing yet may bring what it said, or what those beside it bring.
        let beside = self.known.get(&proxy.zone).map_or(0.0, |(all, count)| all / f64::from((*count).max(1)));
        f64::max(known, NOISE * f64::max(proxy.said, if proxy.came.is_empty() { beside } else { 0.0 }))
    }

    fn recount(&mut self, id: ProxyId) {
        let Some(proxy) = self.proxies.get(&id) else { return };
        let fresh: Vec<f64> = proxy.uses.iter().map(|held| self.demand(proxy, held.mask)).collect();
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        for (held, demand) in proxy.uses.iter_mut().zip(fresh) {
            if let Some(table) = self.tables.get_mut(&held.tbl) {
                table.demand = (table.demand + demand - held.demand).max(0.0);
            }
            held.demand = demand;
        }
    }

    fn left(&mut self, id: ProxyId) {
        let Some(proxy) = self.proxies.remove(&id) else { return };
        for held in &proxy.uses {
            self.ungroup(id, proxy.zone, held);
        }
        let told: f64 = proxy.came.values().map(|came| came.0).sum();
        if let Some(zone) = self.known.get_mut(&proxy.zone).filter(|_| !proxy.came.is_empty()) {
            *zone = ((zone.0 - told).max(0.0), zone.1.saturating_sub(1));
        }
        self.missing.binds.retain(|bind| bind.0 != id);
        self.hops.remove(&id);
        self.behind.remove(&id);
    }

    pub(crate) fn ungroup(&mut self, id: ProxyId, zone: ZoneId, held: &Use) {
        let Some(table) = self.tables.get_mut(&held.tbl) else { return };
        if let Some(group) = table.groups.get_mut(&(zone, held.mask)) {
            table.users -= usize::from(group.remove(&id));
            if group.is_empty() {
                table.groups.remove(&(zone, held.mask));
            }
        }
        table.demand = (table.demand - held.demand).max(0.0);
    }

    pub(crate) fn group(&mut self, id: ProxyId, zone: ZoneId, held: &Use) {
        let table = self.tables.entry(held.tbl).or_default();
        let new = table.groups.entry((zone, held.mask)).or_default().insert(id);
        table.users += usize::from(new);
        table.demand += held.demand;
    }

    fn applied(&mut self, now: f64, id: ProxyId, mark: MarkId) {
        let Some(Marked { at, end, copied }) = self.marks.get(&mark).copied() else {
            self.findings.push(Finding::Unsent(id));
            return;
        };
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        // Each copy of a call may be answered, and marks of one message come in any order: that finds nothing.
        if end < proxy.floor && !copied && self.loose.front().is_none_or(|call| call.at > at) {
            self.findings.push(Finding::OutOfOrder(id));
        }
        proxy.floor = proxy.floor.max(at);
        if let Some(call) = self.loose.iter_mut().find(|call| call.at == at) {
            call.answered = call.answered.or(Some(now));
        }
        let floor = proxy.floor;
        proxy.been.retain(|_, until| *until > floor);
        if floor >= proxy.due {
            self.behind.remove(&id);
        }
    }

    /// Calls that go as one message to each proxy. A call that is repeated may take up later ones.
    fn together(&mut self, first: MarkId, last: MarkId) {
        let place = |mark: &MarkId| self.marks.get(mark).map(|marked| marked.at);
        let (Some(from), Some(to)) = (place(&first), place(&last)) else { return };
        // Numbers of marks come round: calls are found by their places.
        for marked in self.marks.values_mut().filter(|marked| (from..=to).contains(&marked.at)) {
            marked.end = marked.end.max(to);
        }
        for call in self.loose.iter_mut().filter(|call| (from..=to).contains(&call.at)) {
            call.end = call.end.max(to);
        }
    }

    /// The relay has answered for all calls up to that place. Where a repeat was told a copy may still be on its way.
    pub fn answered(&mut self, now: f64, place: At) {
        self.advance(now);
        for call in self.loose.iter_mut().filter(|call| call.at <= place) {
            match call.again {
                None => call.answered = Some(f64::MIN),
                Some(_) => call.answered = call.answered.or(Some(now)),
            }
        }
        self.calm(now);
    }

    /// The relay did not take these: what they set may be missing, and what they ended may go on.
    pub fn gave_up(&mut self, orders: &[Order]) {
        self.missed = self.at + 1;
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                    self.missing.lines.insert((*table, *host), 0.0);
                }
                Order::Withdraw { host, withdrawn } => drop(self.missing.hosts.insert(*host, !withdrawn)),
                Order::Bind { proxy, table, .. } => {
                    let of = |call: &&Call| call.writes.binds.iter().any(|b| b.0 == *proxy && b.1 == *table);
                    let call = self.loose.iter().rev().find(of);
                    let left = call.into_iter().flat_map(|call| &call.left).filter(|left| left.0 == *proxy);
                    self.missing.binds.extend(left.copied().collect::<Vec<_>>());
                }
                _ => {}
            }
        }
    }

    /// All that a batch would begin to break, in the order in which rules go; nothing counts as written.
    pub fn breaches(&mut self, now: f64, orders: &[Order]) -> Vec<Breach> {
        self.advance(now);
        let mut breaches: Vec<Breach> =
            self.look(now, orders).into_iter().map(|found| found.breach).collect();
        breaches.sort_by_key(|breach| breach.rule);
        breaches
    }

    /// Txns a second that it counts with at most.
    pub fn expects(&self, proxy: ProxyId, product: ClassId) -> f64 {
        self.proxies.get(&proxy).map_or(0.0, |known| self.demand(known, ClassSet::one(product).0))
    }

    /// Txns a second that a host survives now; none: it is not judged by it.
    pub fn survives(&self, now: f64, host: HostId) -> Option<f64> {
        self.most(now, host)
    }

    /// How far the line of calls goes.
    pub fn place(&self) -> At {
        self.at
    }

    /// Whether it has not answered a mark in time.
    pub fn is_behind(&self, proxy: ProxyId) -> bool {
        self.behind.contains(&proxy)
    }

    /// What it found out about its own model since it was asked last.
    pub fn findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// How much is kept: proxies, tables, lines, states that somebody may still hold.
    pub fn size(&self) -> [usize; 4] {
        let lines = self.tables.values().map(|table| table.lines.len()).sum();
        let old = self.tables.values().map(|table| table.old.len()).sum();
        [self.proxies.len(), self.tables.len(), lines, old]
    }

    /// Lets a batch through: from now on it counts as written. Returns its place.
    pub fn commit(&mut self, now: f64, orders: &[Order]) -> At {
        self.advance(now);
        let lines = self.lines(orders);
        let trial = self.apply(now, orders);
        for tbl in trial.before.keys().copied() {
            self.ends.push_back((now + self.facts.channel.max_transit, self.at, tbl));
        }
        let Trial { writes, tables, left, .. } = trial;
        let bound = |proxy: ProxyId, mask: u64| writes.binds.iter().any(|b| b.0 == proxy && mask & !b.2 == 0);
        self.missing.binds.retain(|(proxy, _, mask)| !bound(*proxy, *mask));
        let worst = self.facts.channel.max_transit;
        for tbl in &tables {
            let Some(table) = self.tables.get_mut(tbl) else { continue };
            table.calls.push_back((self.at, now));
            while table.calls.len() > 1 && table.calls[1].1 + worst < now {
                table.calls.pop_front();
            }
        }
        if !self.missing.is_empty() {
            self.missed = self.at + 1;
        }
        let proxies: BTreeSet<ProxyId> = writes.binds.iter().map(|bind| bind.0).collect();
        for id in &proxies {
            if let Some(proxy) = self.proxies.get_mut(id) {
                proxy.bound = Some((self.at, now));
                let bound = proxy.uses.iter().fold(0, |all, held| all | held.mask);
                if proxy.whole.is_none() && bound == self.facts.all() {
                    proxy.whole = Some(self.at);
                }
                self.hops_end.push_back((now + worst, self.at, *id));
            }
        }
        if !tables.is_empty() || !proxies.is_empty() {
            self.messages.push_back(Message { when: now, tables, proxies });
        }
        self.waiting += lines;
        let mark = orders.iter().rev().find_map(|order| match order {
            Order::Mark { mark, .. } => Some(*mark),
            _ => None,
        });
        if let Some(mark) = mark {
            self.marks.insert(mark, Marked { at: self.at, end: self.at, copied: false });
            self.remembered.push_back(mark);
            if self.remembered.len() > MARKS {
                if let Some(oldest) = self.remembered.pop_front() {
                    if !self.remembered.contains(&oldest) {
                        self.marks.remove(&oldest);
                    }
                }
            }
        }
        let (again, answered, at) = (None, None, self.at);
        // What says nothing changes nothing when it is carried out again.
        if writes.is_empty() && mark.is_none() {
            self.at -= 1;
            return self.at;
        }
        #[cfg(debug_assertions)]
        for table in self.tables.values() {
            debug_assert_eq!(table.sums, Sums::anew(&table.lines, &self.out), "a sum fell out of step");
        }
        self.loose.push_back(Call { at, mark, end: at, again, answered, lines, writes, left });
        for order in orders {
            if let Order::ForgetHost { host } = order {
                if self.named.get(host).is_none_or(BTreeSet::is_empty) {
                    self.hosts.remove(host);
                    self.out.remove(host);
                }
            }
        }
        self.at
    }

    /// What is due by time.
    pub(crate) fn advance(&mut self, now: f64) {
        let gone = (now - self.waiting_at).max(0.0) * self.facts.channel.lines_per_s / 1e3;
        (self.waiting, self.waiting_at) = ((self.waiting - gone).max(0.0), self.waiting_at.max(now));
        let over = self.facts.channel.message_window;
        while self.messages.front().is_some_and(|message| message.when + over < now) {
            self.messages.pop_front();
        }
        self.calm(now);
        while let Some((until, at, tbl)) = self.ends.front().copied() {
            if until > now || at > self.quiet {
                break;
            }
            self.ends.pop_front();
            self.prune(tbl, now);
        }
        while let Some((until, at, id)) = self.hops_end.front().copied() {
            if until > now || at > self.sure {
                break;
            }
            self.hops_end.pop_front();
            let Some(hops) = self.hops.get_mut(&id) else { continue };
            if let Some(proxy) = self.proxies.get_mut(&id) {
                let over = hops.iter().filter(|hop| hop.at <= at && hop.from != TableId::ALL);
                proxy.been.extend(over.map(|hop| (hop.from, self.at + 1)));
            }
            hops.retain(|hop| hop.at > at);
            if hops.is_empty() {
                self.hops.remove(&id);
            }
        }
        if now >= self.looked + LOOK_THROUGH {
            self.looked = now;
            self.look_through(now);
        }
    }

    /// Calls that are not carried out again any more.
    fn calm(&mut self, now: f64) {
        let worst = self.facts.channel.max_transit;
        while self.settling.front().is_some_and(|settling| settling.0 <= now) {
            self.sure = self.settling.pop_front().map_or(self.sure, |settled| settled.1);
        }
        while let Some(call) = self.loose.front() {
            let last = call.again.unwrap_or(f64::MIN);
            // Where a repeat was told, an answer may be to the first copy: a later call has to be answered too, and
            // none that went as one with this one, whose mark is answered with this one's.
            let after = |later: &&Call| later.at > call.end && later.again.is_none();
            let later = self
                .loose
                .iter()
                .filter(after)
                .any(|later| later.answered.is_some_and(|at| at + TOLD_BY.max(worst) <= now));
            let quiet = match (call.again, call.answered) {
                (None, Some(at)) => at == f64::MIN || at + TOLD_BY <= now,
                (Some(_), Some(at)) => later || at.max(last) + TOLD_BY + worst <= now,
                (_, None) => later,
            };
            if !quiet {
                break;
            }
            self.quiet = call.at;
            if let Some(call) = self.loose.pop_front() {
                self.settling.push_back((now + worst, call.at, self.at + 1));
                self.settled.extend(call.writes.lines.keys().map(|line| line.0));
                self.settled.extend(call.writes.clears);
                let hosts = call.writes.hosts.keys().filter_map(|host| self.named.get(host));
                self.settled.extend(hosts.flatten());
            }
        }
        // Their shares were counted with doubts that are over now; what was carried out again is still on its way, to
        // those whom no later call finds there: a proxy comes to it first.
        if self.loose.is_empty() {
            for tbl in std::mem::take(&mut self.settled) {
                let (until, at) = (now + worst, self.at + 1);
                let fresh = self.doubts().then(|| self.doubt(tbl));
                let Some(table) = self.tables.get_mut(&tbl) else { continue };
                let (sum, changed) = (table.sums.all(), vec![]);
                let doubted = std::mem::replace(&mut table.doubted, fresh);
                if doubted.is_some() {
                    table.old.push_back(Old { until, at, sum, changed, doubted, again: true });
                    self.ends.push_back((until, self.quiet, tbl));
                }
            }
        }
    }

    fn prune(&mut self, tbl: TableId, now: f64) {
        self.keep_tops(tbl);
        let quiet = self.quiet;
        let Some(table) = self.tables.get_mut(&tbl) else { return };
        let mut gone = Vec::new();
        while table.old.front().is_some_and(|old| old.until <= now && (old.again || old.at <= quiet)) {
            gone.extend(table.old.pop_front());
        }
        let maybe = |old: &'_ Old| old.doubted.as_ref().map(|doubt| doubt.maybe.clone()).unwrap_or_default();
        let hosts = gone.iter().flat_map(|old| old.changed.iter().copied().chain(maybe(old)));
        let hosts: BTreeSet<HostId> = hosts.map(|host| host.0).collect();
        let ends = |host: &HostId| {
            !table.lines.contains_key(host) && table.spans(*host, 0.0).all(|span| span.part <= 0.0)
        };
        let ended: Vec<HostId> = hosts.into_iter().filter(ends).collect();
        for host in ended {
            if let Some(tables) = self.named.get_mut(&host) {
                tables.remove(&tbl);
                if tables.is_empty() {
                    self.named.remove(&host);
                }
                self.line_ended(host, tbl);
            }
        }
    }

    /// Who has not answered for what went to it longer than the worst transit ago, and who is in no table.
    fn look_through(&mut self, now: f64) {
        let facts = &self.facts;
        self.cold.retain(|host| self.hosts.get(host).is_some_and(|host| !host.warm(now, &facts.warmup)));
        self.tops.retain(|(host, _), _| self.cold.contains(host));
        let worst = self.facts.channel.max_transit;
        // What no mark went after nobody can answer for.
        let marked = self.remembered.back().and_then(|mark| self.marks.get(mark)).map_or(0, |mark| mark.at);
        let due = |(at, when): &(At, f64)| *at <= marked && when + worst + LOOK_THROUGH < now;
        let last = |table: &Table| table.calls.iter().rev().find(|call| due(call)).map_or(0, |call| call.0);
        let tables: BTreeMap<TableId, At> =
            self.tables.iter().map(|(tbl, table)| (*tbl, last(table))).collect();
        for (id, proxy) in &mut self.proxies {
            // What went to a table before the proxy came to it went to others.
            let since = proxy.bound.map_or(At::MAX, |bound| bound.0);
            let calls = proxy.uses.iter().filter_map(|held| tables.get(&held.tbl).copied());
            let own = proxy.bound.filter(|bound| due(bound)).map(|bound| bound.0);
            let due = calls.chain(own).filter(|at| *at >= since).max().unwrap_or(0);
            // One that is bound anew is behind still until it answers: it is at the same states, and more.
            if due > proxy.floor {
                proxy.due = due;
                if self.behind.insert(*id) {
                    self.findings.push(Finding::Behind(*id));
                }
            }
            if proxy.uses.is_empty() && now > proxy.joined + facts.bare_for && !proxy.unbound_told {
                proxy.unbound_told = true;
                self.findings.push(Finding::Unbound(*id));
            }
        }
    }

    pub(crate) fn weight(weight: f64) -> f64 {
        if weight > 0.0 {
            weight.min(MOST_WEIGHT)
        } else {
            0.0
        }
    }

    /// A call may bring proxies back to what it bound them to, over what stands there before this call.
    pub(crate) fn again_until(&self, call: At) -> Option<At> {
        if call > self.quiet {
            return Some(At::MAX);
        }
        let place = self.settling.binary_search_by_key(&call, |settling| settling.1).ok()?;
        Some(self.settling[place].2)
    }

    pub(crate) fn doubts(&self) -> bool {
        let Writes { lines, hosts, binds, .. } = &self.missing;
        !self.loose.is_empty() || !lines.is_empty() || !hosts.is_empty() || !binds.is_empty()
    }

    /// What a host has in a table, shut out counting as none.
    pub(crate) fn open_weight(&self, table: &Table, host: HostId) -> f64 {
        table.lines.get(&host).copied().filter(|_| !self.out.contains(&host)).unwrap_or(0.0)
    }

    /// The part of a table's demand that each host gets at most, whichever unsure calls are carried out again.
    pub(crate) fn shares(&self, tbl: TableId) -> Parts {
        let Some(table) = self.tables.get(&tbl) else { return vec![] };
        let doubted = if self.doubts() { Some(self.doubt(tbl)) } else { None };
        let open = table.lines.keys().filter(|host| !self.out.contains(host));
        let mut hosts: BTreeSet<HostId> = open.copied().collect();
        hosts.extend(doubted.iter().flat_map(|doubt| &doubt.maybe).map(|maybe| maybe.0));
        let all = table.sums.all();
        let part = |host| (host, part(self.open_weight(table, host), all, &doubted, host));
        hosts.into_iter().map(part).collect()
    }

    /// Each host at the most that it may have, beside the others at the least. It looks at what unsure calls set alone.
    pub(crate) fn doubt(&self, tbl: TableId) -> Doubt {
        let none = Table::default();
        let table = self.tables.get(&tbl).unwrap_or(&none);
        let mut hosts = BTreeSet::new();
        for writes in self.loose.iter().map(|call| &call.writes).chain([&self.missing]) {
            let of = writes.lines.range((tbl, HostId(0))..=(tbl, HostId(u32::MAX)));
            hosts.extend(of.map(|(line, _)| line.1));
            if writes.clears.contains(&tbl) {
                hosts.extend(table.lines.keys());
            }
            hosts.extend(writes.hosts.keys().filter(|host| table.lines.contains_key(host)));
        }
        let between = |host: HostId| (host, self.between(tbl, table, host));
        let each: Vec<(HostId, (f64, f64))> = hosts.into_iter().map(between).collect();
        let low = each.iter().map(|(host, (low, _))| (host.0, *low)).collect();
        let least = table.sums.with(&table.lines, &self.out, low);
        let most = |(host, (low, high)): &(HostId, (f64, f64))| {
            (*high > 0.0).then(|| (*host, high / (high + (least - low).max(0.0))))
        };
        Doubt { least, maybe: each.iter().filter_map(most).collect() }
    }

    /// The least and the most weight that a line may have, shut out counting as none.
    pub(crate) fn between(&self, tbl: TableId, table: &Table, host: HostId) -> (f64, f64) {
        let standing = table.lines.get(&host).copied().unwrap_or(0.0);
        let (mut low, mut high) = (standing, standing);
        let (mut maybe_in, mut maybe_out) = (!self.out.contains(&host), self.out.contains(&host));
        let written = self.loose.iter().map(|call| &call.writes).chain([&self.missing]);
        for writes in written {
            if let Some(weight) = writes.line(tbl, host) {
                (low, high) = (low.min(weight), high.max(weight));
            }
            if let Some(out) = writes.hosts.get(&host) {
                (maybe_in, maybe_out) = (maybe_in | !out, maybe_out | out);
            }
        }
        (if maybe_out { 0.0 } else { low }, if maybe_in { high } else { 0.0 })
    }

    /// Whether nothing in the table can serve, whichever calls are carried out again.
    pub(crate) fn surely_bare(&self, tbl: TableId) -> bool {
        let Some(table) = self.tables.get(&tbl) else { return true };
        let serves = |host: &HostId| self.hosts.get(host).is_some_and(Host::serves);
        let mut hosts: BTreeSet<HostId> = table.lines.keys().copied().collect();
        let written = self.loose.iter().flat_map(|call| call.writes.lines.keys());
        hosts.extend(written.filter(|line| line.0 == tbl).map(|line| line.1));
        !hosts.iter().any(|host| serves(host) && self.between(tbl, table, *host).1 > 0.0)
    }
}
