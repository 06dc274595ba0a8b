//! The model of what proxies may hold. Calls are numbered in the order of sending; a call is one batch of
//! orders, which reaches a proxy as one message. Each proxy passes through the states in this order, so a
//! state that was checked when its call was sent is valid for all proxies that reach it later. Three kinds of
//! uncertainty remain:
//! - *in transit*: a proxy may still be in any state that was the newest less than the maximum transit time
//!   ago. This matters for load, which depends on what other proxies hold at the same time, but not for whether
//!   a proxy has a usable host.
//! - *unconfirmed*: calls that the relay has not confirmed may be carried out again, in order: any contiguous
//!   range of them, on top of the newest state. These states are reachable while any call is unconfirmed.
//! - *abandoned*: a call that may never have been carried out. What it set may be missing until it is set
//!   again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;

use crate::facts::Facts;
use crate::look::Trial;
use crate::sums::WeightSums;
use crate::verdict::Breach;

/// Fractions of a table by host, in ascending order of hosts.
pub(crate) type HostFractions = Vec<(HostId, f64)>;
/// The number of a call, in the order of sending.
pub type CallIndex = u64;

/// The relay reports a repeat once the answer is overdue and the longest pause is over, after 50 ms and 1.5
/// s; the rest allows for a busy process. A call whose mark was answered this long ago is not carried out
/// again. In ms.
const REPEAT_REPORTED_WITHIN: f64 = 2_000.0;
/// The number of marks that are remembered: those of three minutes at twenty calls a second.
const MARKS: usize = 4_096;
/// Factors from the demand last reported to the maximum demand. `NOISE`: counts of some twenty txns vary by a
/// fifth. `GROWTH`: demand may grow again by as much as it grew in the last report, at most by this factor.
const NOISE: f64 = 1.1;
const GROWTH: f64 = 2.0;
/// The smoothing factor for a host's observed rate: old and new count equally, so that one exceptional report
/// has little effect.
const SMOOTHING: f64 = 0.5;
/// Weights are limited to this value, so that their sums stay finite.
const MAX_WEIGHT: f64 = 1e100;
/// The interval between two scans of all proxies for those that are behind, in ms.
const SCAN_INTERVAL: f64 = 1_000.0;

/// A discrepancy between the guard's model and what proxies answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Finding {
    #[error("proxy {} has not answered a mark within the maximum transit time: its state is not known", .0.0)]
    Behind(ProxyId),
    #[error("proxy {} answered a mark that it had already passed: its orders did not arrive in order", .0.0)]
    OutOfOrder(ProxyId),
    #[error("proxy {} answered a mark that was not sent", .0.0)]
    Unsent(ProxyId),
    #[error("proxy {} has joined and has had no table for longer than the configured time", .0.0)]
    Unbound(ProxyId),
}

/// Bounds on what hosts of a table get while some calls are uncertain, whichever of them are carried out
/// again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Uncertainty {
    /// The sum of all weights, each at its minimum.
    pub least: f64,
    /// The maximum fractions of the hosts whose weight is uncertain, by host.
    pub uncertain: HostFractions,
}

#[derive(Clone, Debug)]
pub(crate) struct PastState {
    pub until: f64,
    /// The call that ended this state.
    pub at: CallIndex,
    /// The total weight of the entries of open hosts, and the former weights of the hosts that the call
    /// changed, where a withdrawn host counts as zero.
    pub sum: f64,
    pub changed: Vec<(HostId, f64)>,
    pub uncertainty: Option<Uncertainty>,
    /// The entries are the same as in the next state: only the uncertainty ended, except for copies in
    /// transit.
    pub same_entries: bool,
}

/// The fraction of a table that a host had over a range of calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    /// The calls that began and ended the span.
    pub began: CallIndex,
    pub ended: CallIndex,
    pub fraction: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub lines: BTreeMap<HostId, f64>,
    /// The proxies bound to it in the newest state, by home zone and request classes.
    pub groups: BTreeMap<(ZoneId, u64), BTreeSet<ProxyId>>,
    pub users: usize,
    /// The maximum demand of the proxies bound to it in the newest state, in txns a second.
    pub demand: f64,
    /// The total weight of the entries whose hosts are not withdrawn.
    pub weight_sums: WeightSums,
    pub uncertainty: Option<Uncertainty>,
    /// States before the newest that a proxy may still hold.
    pub past: VecDeque<PastState>,
    /// Calls sent to its users, with their times: all within the maximum transit time, and the last one
    /// before.
    pub calls: VecDeque<(CallIndex, f64)>,
}

pub(crate) fn fraction_of(shares: &[(HostId, f64)], host: HostId) -> f64 {
    shares.binary_search_by_key(&host, |share| share.0).map_or(0.0, |place| shares[place].1)
}

/// The fraction of a table that a host of this weight gets.
fn fraction(weight: f64, sum: f64, uncertainty: &Option<Uncertainty>, host: HostId) -> f64 {
    let sum = match uncertainty {
        Some(Uncertainty { least, uncertain }) => {
            match uncertain.binary_search_by_key(&host, |share| share.0) {
                Ok(place) => return uncertain[place].1,
                Err(_) => *least,
            }
        }
        None => sum,
    };
    if weight > 0.0 {
        (weight / sum).min(1.0)
    } else {
        0.0
    }
}

impl Table {
    /// The fractions that a host, now of this weight, has had, newest first.
    pub fn spans(&self, host: HostId, weight: f64) -> impl Iterator<Item = Span> + '_ {
        // A state whose uncertainty ended did not change the entries, so no new span begins there.
        let ends = || self.past.iter().rev().filter(|old| !old.same_entries).map(|old| old.at).chain([0]);
        let (mut weight, mut began) = (weight, ends());
        let newest = Span {
            began: began.next().unwrap_or(0),
            ended: CallIndex::MAX,
            fraction: fraction(weight, self.weight_sums.all(), &self.uncertainty, host),
        };
        let mut since = newest.began;
        let old = self.past.iter().rev().map(move |old| {
            weight = old.changed.iter().find(|changed| changed.0 == host).map_or(weight, |was| was.1);
            if !old.same_entries {
                since = began.next().unwrap_or(0);
            }
            Span { began: since, ended: old.at, fraction: fraction(weight, old.sum, &old.uncertainty, host) }
        });
        [newest].into_iter().chain(old)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub zone: ZoneId,
    pub weight: f64,
    pub availability: Availability,
    pub cold_since: Option<f64>,
    /// When it began to drain or was removed.
    pub leaving_since: Option<f64>,
    /// Whether its last probe failed.
    pub failing: bool,
    /// Successful txns a second for proxies of each zone, with the time of the report.
    pub reported: BTreeMap<ZoneId, (f64, f64)>,
}

impl Host {
    /// Whether the host can answer txns.
    pub fn serves(&self) -> bool {
        self.availability != Availability::Removed && !self.failing
    }
    /// The fraction of its capacity that the host has reached at the slowest warm-up.
    pub fn warm_fraction(&self, now: f64, warmup: &Warmup) -> f64 {
        let age = self.cold_since.map_or(1.0, |since| (now - since) / warmup.duration.max(1e-9));
        (warmup.initial_capacity + (1.0 - warmup.initial_capacity) * age.clamp(0.0, 1.0)).min(1.0)
    }
    pub fn warm(&self, now: f64, warmup: &Warmup) -> bool {
        self.cold_since.is_none_or(|since| now >= since + warmup.duration)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Binding {
    pub table_id: TableId,
    pub mask: u64,
    /// The demand counted for this binding in the table's total.
    pub demand: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    pub bindings: Vec<Binding>,
    /// The demand in txns a second: as announced when the proxy joined, and by class as in the last report
    /// and the one before.
    pub announced_rate: f64,
    pub reported: BTreeMap<ClassId, (f64, Option<f64>)>,
    pub joined: f64,
    pub applied_up_to: CallIndex,
    pub bound: Option<(CallIndex, f64)>,
    /// Tables that the proxy has left, with the call whose answer shows that the proxy certainly no longer
    /// uses them.
    pub left_tables: BTreeMap<TableId, CallIndex>,
    /// The first call after which all its request classes are bound by this controller.
    pub fully_bound_at: Option<CallIndex>,
    /// The proxy is behind until it has answered this call.
    pub due: CallIndex,
    pub unbound_reported: bool,
}

/// What a call sets; if it sets something twice, the last value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    pub clears: BTreeSet<TableId>,
    pub lines: BTreeMap<(TableId, HostId), f64>,
    /// Whether each host is withdrawn.
    pub hosts: BTreeMap<HostId, bool>,
    pub binds: Vec<(ProxyId, TableId, u64)>,
}

impl Writes {
    pub fn is_empty(&self) -> bool {
        self.clears.is_empty() && self.lines.is_empty() && self.hosts.is_empty() && self.binds.is_empty()
    }
    pub fn line(&self, table_id: TableId, host: HostId) -> Option<f64> {
        self.lines.get(&(table_id, host)).copied().or(self.clears.contains(&table_id).then_some(0.0))
    }
    /// The table that a proxy's class is bound to.
    pub fn bound(&self, proxy: ProxyId, class: u64) -> Option<TableId> {
        let bind = self.binds.iter().rev().find(|bind| bind.0 == proxy && bind.2 & class != 0);
        bind.map(|bind| bind.1)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub at: CallIndex,
    pub mark: Option<MarkId>,
    /// The last call that was merged into the same message.
    pub end: CallIndex,
    /// When a repeat of the call was reported.
    pub repeated_at: Option<f64>,
    pub answered: Option<f64>,
    pub lines: f64,
    pub writes: Writes,
    /// Bindings that the call ends.
    pub left: Vec<(ProxyId, TableId, u64)>,
}

/// A mark that was sent.
#[derive(Clone, Copy, Debug)]
struct SentMark {
    at: CallIndex,
    /// The last call merged with the mark's call: an answer to one of their marks answers all.
    end: CallIndex,
    /// A repeat of the call was reported, so that its mark may be answered once for each copy, however late.
    copied: bool,
}

/// A call that was sent to proxies, for the limit on messages to each proxy.
pub(crate) struct Message {
    pub when: f64,
    pub tables: BTreeSet<TableId>,
    pub proxies: BTreeSet<ProxyId>,
}

/// A proxy was bound from one table to another, to the table it used already, or from an unknown one
/// (`TableId::ALL`), and may not have received this yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rebind {
    pub until: f64,
    pub at: CallIndex,
    pub mask: u64,
    pub from: TableId,
}

/// Checks batches of orders against the states that proxies may hold.
pub struct Guard {
    pub(crate) facts: Facts,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// The tables that name a host, now or in a state that a proxy may still hold.
    pub(crate) tables_of_host: BTreeMap<HostId, BTreeSet<TableId>>,
    pub(crate) withdrawn: BTreeSet<HostId>,
    /// Hosts that were not warm at the last scan. They are few, which keeps the check of a change cheap.
    pub(crate) cold: BTreeSet<HostId>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) reach: BTreeMap<(ZoneId, ClassId), Zones>,
    /// By proxy, oldest first: a proxy that was rebound twice may be in any of the three tables.
    pub(crate) rebinds: BTreeMap<ProxyId, Vec<Rebind>>,
    /// The rebinds of all proxies, oldest first.
    rebind_expiry: VecDeque<(f64, CallIndex, ProxyId)>,
    /// Calls that may be carried out again, oldest first.
    pub(crate) unconfirmed: VecDeque<Call>,
    /// What abandoned calls set and no later call has set again.
    pub(crate) missing: Writes,
    /// The number of the last call.
    pub(crate) at: CallIndex,
    /// Calls up to this one are confirmed and are not carried out again.
    pub(crate) confirmed: CallIndex,
    /// The last call of which no copy is in transit; and later confirmed calls of which one may be: until
    /// when, the call, and the first call after all its copies.
    pub(crate) delivered: CallIndex,
    in_flight: VecDeque<(f64, CallIndex, CallIndex)>,
    /// Tables of confirmed calls whose uncertainty lasts while other calls are unconfirmed.
    stale_tables: BTreeSet<TableId>,
    marks: BTreeMap<MarkId, SentMark>,
    mark_order: VecDeque<MarkId>,
    /// Tables with past states that expire with time.
    state_expiry: VecDeque<(f64, CallIndex, TableId)>,
    /// The maximum number of lines in the channel, and when it was computed.
    pub(crate) backlog: f64,
    backlog_at: f64,
    pub(crate) messages: VecDeque<Message>,
    /// The highest rate of successful txns a second observed for a warm host, for each unit of weight.
    pub(crate) best_rate: f64,
    rates: BTreeMap<HostId, f64>,
    /// The load in txns a second that proxies of other controllers send for each unit of weight, by the last
    /// reports.
    pub(crate) foreign_per_weight: f64,
    /// Proxies that have not answered in time, so that their state is one of several.
    pub(crate) behind: BTreeSet<ProxyId>,
    /// Removed entries, with the call whose answer shows that a proxy no longer holds the entry; the same in
    /// order of removal; and the call of the last one that was dropped for lack of space.
    pub(crate) removed_entries: BTreeMap<(HostId, TableId), CallIndex>,
    pub(crate) removed_in_order: VecDeque<(CallIndex, HostId, TableId)>,
    pub(crate) dropped_up_to: CallIndex,
    /// The largest fractions that cold hosts had in past states that were dropped.
    pub(crate) cold_peaks: BTreeMap<(HostId, TableId), f64>,
    /// When a host was first listed.
    pub(crate) first_listed: BTreeMap<HostId, f64>,
    /// The last call before which something abandoned was still missing.
    pub(crate) missing_until: CallIndex,
    /// By zone, for proxies with reports: their total demand in txns a second, and their number.
    demand_by_zone: BTreeMap<ZoneId, (f64, u32)>,
    last_scan: f64,
    findings: Vec<Finding>,
    listed: bool,
}

impl Guard {
    pub fn new(facts: Facts) -> Guard {
        Guard {
            facts,
            tables: BTreeMap::new(),
            hosts: BTreeMap::new(),
            tables_of_host: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            cold: BTreeSet::new(),
            proxies: BTreeMap::new(),
            reach: BTreeMap::new(),
            rebinds: BTreeMap::new(),
            rebind_expiry: VecDeque::new(),
            unconfirmed: VecDeque::new(),
            missing: Writes::default(),
            at: 0,
            confirmed: 0,
            delivered: 0,
            in_flight: VecDeque::new(),
            stale_tables: BTreeSet::new(),
            marks: BTreeMap::new(),
            mark_order: VecDeque::new(),
            state_expiry: VecDeque::new(),
            backlog: 0.0,
            backlog_at: 0.0,
            messages: VecDeque::new(),
            best_rate: 0.0,
            rates: BTreeMap::new(),
            foreign_per_weight: 0.0,
            behind: BTreeSet::new(),
            removed_entries: BTreeMap::new(),
            removed_in_order: VecDeque::new(),
            dropped_up_to: 0,
            cold_peaks: BTreeMap::new(),
            first_listed: BTreeMap::new(),
            missing_until: 0,
            demand_by_zone: BTreeMap::new(),
            last_scan: f64::MIN,
            findings: vec![],
            listed: false,
        }
    }

    /// Updates the model by an event that the decisions receive too.
    pub fn hear(&mut self, now: f64, event: &Event) {
        self.advance(now);
        match event {
            Event::List { update: ListUpdate::Failed, .. } => {}
            Event::List { update, entries } => self.update_hosts(now, *update, entries),
            Event::ProxyJoined { proxy, zone, txns_per_s, .. } => {
                self.remove_proxy(*proxy);
                let (zone, announced_rate, applied_up_to) = (*zone, txns_per_s.max(0.0), self.at);
                let (bindings, reported, joined, bound) = (vec![], BTreeMap::new(), now, None);
                let (left_tables, fully_bound_at, due, unbound_reported) = (BTreeMap::new(), None, 0, false);
                let new = Proxy {
                    zone,
                    bindings,
                    announced_rate,
                    reported,
                    joined,
                    applied_up_to,
                    bound,
                    left_tables,
                    fully_bound_at,
                    due,
                    unbound_reported,
                };
                self.proxies.insert(*proxy, new);
            }
            Event::ProxyLeft { proxy } => self.remove_proxy(*proxy),
            Event::HostReport { host, zone, tries, failed, covered, .. } if *covered > 0.0 => {
                self.on_host_report(
                    now,
                    *host,
                    *zone,
                    f64::from(tries.saturating_sub(*failed)) / covered * 1e3,
                    *covered,
                );
            }
            Event::ProxyReport { proxy, class, txns, covered, .. } if *covered > 0.0 => {
                self.on_proxy_report(*proxy, *class, f64::from(*txns) / covered * 1e3);
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
            Event::MarkApplied { proxy, mark, .. } => self.mark_applied(now, *proxy, *mark),
            Event::CallsMerged { first, last } => self.calls_merged(*first, *last),
            Event::CallDuplicated { mark } => {
                let mut lines = 0.0;
                if let Some(marked) = self.marks.get_mut(mark) {
                    marked.copied = true;
                }
                for call in self.unconfirmed.iter_mut().filter(|call| call.mark == Some(*mark)) {
                    call.repeated_at = Some(now);
                    lines += call.lines;
                }
                self.backlog += lines;
            }
            _ => {}
        }
    }

    fn update_hosts(&mut self, now: f64, update: ListUpdate, entries: &[HostEntry]) {
        if update != ListUpdate::Changes {
            self.hosts.values_mut().for_each(|host| host.availability = Availability::Removed);
        }
        // Hosts of the first list existed before it; a host that is listed later without a start time counts
        // as just started.
        let first = !std::mem::replace(&mut self.listed, true) || update == ListUpdate::Restored;
        for entry in entries {
            self.first_listed.entry(entry.host).or_insert(now);
            let new = !self.hosts.contains_key(&entry.host);
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone: entry.zone,
                weight: 1.0,
                availability: entry.availability,
                cold_since: None,
                leaving_since: None,
                failing: false,
                reported: BTreeMap::new(),
            });
            (host.zone, host.availability) = (entry.zone, entry.availability);
            host.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            host.leaving_since =
                (entry.availability != Availability::InService).then(|| host.leaving_since.unwrap_or(now));
            let since = entry.started_at.or((new && !first).then_some(now));
            if let Some(since) = since.filter(|since| host.cold_since.is_none_or(|known| *since > known)) {
                host.cold_since = Some(since);
                host.reported.clear();
                // The rate observed before a restart is not valid after it.
                self.rates.remove(&entry.host);
            }
            if !host.warm(now, &self.facts.warmup) && self.cold.insert(entry.host) {
                self.start_cold(entry.host);
            }
        }
    }

    fn on_host_report(&mut self, now: f64, host: HostId, zone: ZoneId, rate: f64, over: f64) {
        let ours: BTreeSet<ZoneId> = self.demand_by_zone.keys().copied().collect();
        let Some(known) = self.hosts.get_mut(&host) else { return };
        known.reported.insert(zone, (now, rate));
        known.reported.retain(|_, (at, _)| *at + 3.0 * over > now);
        if !known.warm(now, &self.facts.warmup) {
            return;
        }
        let all: f64 = known.reported.values().map(|reported| reported.1).sum::<f64>() / known.weight;
        let smooth = self.rates.entry(host).or_insert(all);
        *smooth += SMOOTHING * (all - *smooth);
        self.best_rate = self.best_rate.max(*smooth);
        if !self.facts.alone && !ours.is_empty() {
            let beside = |known: &Host| -> f64 {
                known
                    .reported
                    .iter()
                    .filter(|(zone, _)| !ours.contains(zone))
                    .map(|reported| reported.1 .1)
                    .sum()
            };
            let of = self.rates.keys().filter_map(|host| self.hosts.get(host));
            let (reported, weight) = of
                .fold((0.0, 0.0), |(reported, weight), host| (reported + beside(host), weight + host.weight));
            self.foreign_per_weight = reported / f64::max(weight, 1e-9);
        }
    }

    /// The maximum load from proxies of other controllers on a host: what was reported or, for a host without
    /// reports, what they send to other hosts of this weight.
    pub(crate) fn foreign_load(&self, now: f64, host: &Host) -> f64 {
        if self.facts.alone {
            return 0.0;
        }
        let ours = |zone: &ZoneId| self.demand_by_zone.contains_key(zone);
        let reported =
            host.reported.iter().filter(|(zone, _)| !ours(zone)).map(|reported| reported.1 .1).sum::<f64>();
        NOISE
            * reported
                .max(self.foreign_per_weight * host.weight * host.warm_fraction(now, &self.facts.warmup))
    }

    fn on_proxy_report(&mut self, proxy: ProxyId, class: ClassId, rate: f64) {
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (before, first) =
            (known.reported.get(&class).map(|reported| reported.0), known.reported.is_empty());
        known.reported.insert(class, (rate, before));
        let zone = self.demand_by_zone.entry(known.zone).or_default();
        *zone = (zone.0 + rate - before.unwrap_or(0.0), zone.1 + u32::from(first));
        self.recount(proxy);
    }

    /// The maximum demand of a proxy for these classes, in txns a second.
    pub(crate) fn demand(&self, proxy: &Proxy, mask: u64) -> f64 {
        let each = |(class, (last, before)): (&ClassId, &(f64, Option<f64>))| {
            let growth = before.filter(|before| *before > 0.0).map_or(1.0, |before| last / before);
            (mask & ClassSet::one(*class).0 != 0).then(|| last * NOISE * growth.clamp(1.0, GROWTH))
        };
        let known: f64 = proxy.reported.iter().filter_map(each).sum();
        let reported = proxy.reported.keys().fold(0, |all, class| all | ClassSet::one(*class).0);
        if mask & !reported == 0 {
            return known;
        }
        // A proxy without reports may send what it announced, or as much as the average proxy of its zone.
        let beside =
            self.demand_by_zone.get(&proxy.zone).map_or(0.0, |(all, count)| all / f64::from((*count).max(1)));
        f64::max(
            known,
            NOISE * f64::max(proxy.announced_rate, if proxy.reported.is_empty() { beside } else { 0.0 }),
        )
    }

    fn recount(&mut self, id: ProxyId) {
        let Some(proxy) = self.proxies.get(&id) else { return };
        let fresh: Vec<f64> = proxy.bindings.iter().map(|binding| self.demand(proxy, binding.mask)).collect();
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        for (binding, demand) in proxy.bindings.iter_mut().zip(fresh) {
            if let Some(table) = self.tables.get_mut(&binding.table_id) {
                table.demand = (table.demand + demand - binding.demand).max(0.0);
            }
            binding.demand = demand;
        }
    }

    fn remove_proxy(&mut self, id: ProxyId) {
        let Some(proxy) = self.proxies.remove(&id) else { return };
        for binding in &proxy.bindings {
            self.ungroup(id, proxy.zone, binding);
        }
        let reported: f64 = proxy.reported.values().map(|reported| reported.0).sum();
        if let Some(zone) = self.demand_by_zone.get_mut(&proxy.zone).filter(|_| !proxy.reported.is_empty()) {
            *zone = ((zone.0 - reported).max(0.0), zone.1.saturating_sub(1));
        }
        self.missing.binds.retain(|bind| bind.0 != id);
        self.rebinds.remove(&id);
        self.behind.remove(&id);
    }

    pub(crate) fn ungroup(&mut self, id: ProxyId, zone: ZoneId, binding: &Binding) {
        let Some(table) = self.tables.get_mut(&binding.table_id) else { return };
        if let Some(group) = table.groups.get_mut(&(zone, binding.mask)) {
            table.users -= usize::from(group.remove(&id));
            if group.is_empty() {
                table.groups.remove(&(zone, binding.mask));
            }
        }
        table.demand = (table.demand - binding.demand).max(0.0);
    }

    pub(crate) fn group(&mut self, id: ProxyId, zone: ZoneId, binding: &Binding) {
        let table = self.tables.entry(binding.table_id).or_default();
        let new = table.groups.entry((zone, binding.mask)).or_default().insert(id);
        table.users += usize::from(new);
        table.demand += binding.demand;
    }

    fn mark_applied(&mut self, now: f64, id: ProxyId, mark: MarkId) {
        let Some(SentMark { at, end, copied }) = self.marks.get(&mark).copied() else {
            self.findings.push(Finding::Unsent(id));
            return;
        };
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        // Each copy of a call may be answered, and marks of one message may be answered in any order; neither
        // is a finding.
        if end < proxy.applied_up_to && !copied && self.unconfirmed.front().is_none_or(|call| call.at > at) {
            self.findings.push(Finding::OutOfOrder(id));
        }
        proxy.applied_up_to = proxy.applied_up_to.max(at);
        if let Some(call) = self.unconfirmed.iter_mut().find(|call| call.at == at) {
            call.answered = call.answered.or(Some(now));
        }
        let applied_up_to = proxy.applied_up_to;
        proxy.left_tables.retain(|_, until| *until > applied_up_to);
        if applied_up_to >= proxy.due {
            self.behind.remove(&id);
        }
    }

    /// The relay merged these calls into one message to each proxy. A repeated call may be merged with later
    /// ones.
    fn calls_merged(&mut self, first: MarkId, last: MarkId) {
        let place = |mark: &MarkId| self.marks.get(mark).map(|marked| marked.at);
        let (Some(from), Some(to)) = (place(&first), place(&last)) else { return };
        // Mark ids wrap around, so calls are compared by their numbers.
        for marked in self.marks.values_mut().filter(|marked| (from..=to).contains(&marked.at)) {
            marked.end = marked.end.max(to);
        }
        for call in self.unconfirmed.iter_mut().filter(|call| (from..=to).contains(&call.at)) {
            call.end = call.end.max(to);
        }
    }

    /// The relay has confirmed all calls up to this number. Where a repeat was reported, a copy may still be
    /// in transit.
    pub fn answered(&mut self, now: f64, place: CallIndex) {
        self.advance(now);
        for call in self.unconfirmed.iter_mut().filter(|call| call.at <= place) {
            match call.repeated_at {
                None => call.answered = Some(f64::MIN),
                Some(_) => call.answered = call.answered.or(Some(now)),
            }
        }
        self.retire_confirmed(now);
    }

    /// The relay did not accept these orders: what they set may be missing, and what they ended may continue.
    pub fn gave_up(&mut self, orders: &[Order]) {
        self.missing_until = self.at + 1;
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                    self.missing.lines.insert((*table, *host), 0.0);
                }
                Order::Withdraw { host, withdrawn } => drop(self.missing.hosts.insert(*host, !withdrawn)),
                Order::Bind { proxy, table, .. } => {
                    let of = |call: &&Call| call.writes.binds.iter().any(|b| b.0 == *proxy && b.1 == *table);
                    let call = self.unconfirmed.iter().rev().find(of);
                    let left = call.into_iter().flat_map(|call| &call.left).filter(|left| left.0 == *proxy);
                    self.missing.binds.extend(left.copied().collect::<Vec<_>>());
                }
                _ => {}
            }
        }
    }

    /// All violations that a batch would begin, in the order of precedence of the rules. The batch does not
    /// count as sent.
    pub fn breaches(&mut self, now: f64, orders: &[Order]) -> Vec<Breach> {
        self.advance(now);
        let mut breaches: Vec<Breach> =
            self.check(now, orders).into_iter().map(|found| found.breach).collect();
        breaches.sort_by_key(|breach| breach.rule);
        breaches
    }

    /// The maximum demand of a proxy for a class that the guard assumes, in txns a second.
    pub fn expects(&self, proxy: ProxyId, class: ClassId) -> f64 {
        self.proxies.get(&proxy).map_or(0.0, |known| self.demand(known, ClassSet::one(class).0))
    }

    /// The load in txns a second that a host survives now; `None` if it is not checked.
    pub fn survives(&self, now: f64, host: HostId) -> Option<f64> {
        self.max_load(now, host)
    }

    /// The number of the last call.
    pub fn place(&self) -> CallIndex {
        self.at
    }

    /// Whether the proxy has not answered a mark in time.
    pub fn is_behind(&self, proxy: ProxyId) -> bool {
        self.behind.contains(&proxy)
    }

    /// Takes the findings since the last call.
    pub fn findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// The size of the model: proxies, tables, table entries, and past states that a proxy may still hold.
    pub fn size(&self) -> [usize; 4] {
        let lines = self.tables.values().map(|table| table.lines.len()).sum();
        let old = self.tables.values().map(|table| table.past.len()).sum();
        [self.proxies.len(), self.tables.len(), lines, old]
    }

    /// Records a batch as sent and returns its number.
    pub fn commit(&mut self, now: f64, orders: &[Order]) -> CallIndex {
        self.advance(now);
        let lines = self.lines(orders);
        let trial = self.apply(now, orders);
        for table_id in trial.before.keys().copied() {
            self.state_expiry.push_back((now + self.facts.channel.max_transit, self.at, table_id));
        }
        let Trial { writes, tables, left, .. } = trial;
        let bound = |proxy: ProxyId, mask: u64| writes.binds.iter().any(|b| b.0 == proxy && mask & !b.2 == 0);
        self.missing.binds.retain(|(proxy, _, mask)| !bound(*proxy, *mask));
        let worst = self.facts.channel.max_transit;
        for table_id in &tables {
            let Some(table) = self.tables.get_mut(table_id) else { continue };
            table.calls.push_back((self.at, now));
            while table.calls.len() > 1 && table.calls[1].1 + worst < now {
                table.calls.pop_front();
            }
        }
        if !self.missing.is_empty() {
            self.missing_until = self.at + 1;
        }
        let proxies: BTreeSet<ProxyId> = writes.binds.iter().map(|bind| bind.0).collect();
        for id in &proxies {
            if let Some(proxy) = self.proxies.get_mut(id) {
                proxy.bound = Some((self.at, now));
                let bound = proxy.bindings.iter().fold(0, |all, binding| all | binding.mask);
                if proxy.fully_bound_at.is_none() && bound == self.facts.all() {
                    proxy.fully_bound_at = Some(self.at);
                }
                self.rebind_expiry.push_back((now + worst, self.at, *id));
            }
        }
        if !tables.is_empty() || !proxies.is_empty() {
            self.messages.push_back(Message { when: now, tables, proxies });
        }
        self.backlog += lines;
        let mark = orders.iter().rev().find_map(|order| match order {
            Order::Mark { mark, .. } => Some(*mark),
            _ => None,
        });
        if let Some(mark) = mark {
            self.marks.insert(mark, SentMark { at: self.at, end: self.at, copied: false });
            self.mark_order.push_back(mark);
            if self.mark_order.len() > MARKS {
                if let Some(oldest) = self.mark_order.pop_front() {
                    if !self.mark_order.contains(&oldest) {
                        self.marks.remove(&oldest);
                    }
                }
            }
        }
        let (repeated_at, answered, at) = (None, None, self.at);
        // Carrying out a call again that sets nothing has no effect, so it is not kept.
        if writes.is_empty() && mark.is_none() {
            self.at -= 1;
            return self.at;
        }
        #[cfg(debug_assertions)]
        for table in self.tables.values() {
            debug_assert_eq!(
                table.weight_sums,
                WeightSums::recomputed(&table.lines, &self.withdrawn),
                "an incremental weight sum differs from the recomputed one"
            );
        }
        self.unconfirmed.push_back(Call { at, mark, end: at, repeated_at, answered, lines, writes, left });
        for order in orders {
            if let Order::ForgetHost { host } = order {
                if self.tables_of_host.get(host).is_none_or(BTreeSet::is_empty) {
                    self.hosts.remove(host);
                    self.withdrawn.remove(host);
                }
            }
        }
        self.at
    }

    /// Processes everything that is due at `now`.
    pub(crate) fn advance(&mut self, now: f64) {
        let gone = (now - self.backlog_at).max(0.0) * self.facts.channel.lines_per_s / 1e3;
        (self.backlog, self.backlog_at) = ((self.backlog - gone).max(0.0), self.backlog_at.max(now));
        let over = self.facts.channel.message_window;
        while self.messages.front().is_some_and(|message| message.when + over < now) {
            self.messages.pop_front();
        }
        self.retire_confirmed(now);
        while let Some((until, at, table_id)) = self.state_expiry.front().copied() {
            if until > now || at > self.confirmed {
                break;
            }
            self.state_expiry.pop_front();
            self.prune(table_id, now);
        }
        while let Some((until, at, id)) = self.rebind_expiry.front().copied() {
            if until > now || at > self.delivered {
                break;
            }
            self.rebind_expiry.pop_front();
            let Some(rebinds) = self.rebinds.get_mut(&id) else { continue };
            if let Some(proxy) = self.proxies.get_mut(&id) {
                let over = rebinds.iter().filter(|rebind| rebind.at <= at && rebind.from != TableId::ALL);
                proxy.left_tables.extend(over.map(|rebind| (rebind.from, self.at + 1)));
            }
            rebinds.retain(|rebind| rebind.at > at);
            if rebinds.is_empty() {
                self.rebinds.remove(&id);
            }
        }
        if now >= self.last_scan + SCAN_INTERVAL {
            self.last_scan = now;
            self.scan_proxies(now);
        }
    }

    /// Retires calls that cannot be carried out again any more.
    fn retire_confirmed(&mut self, now: f64) {
        let worst = self.facts.channel.max_transit;
        while self.in_flight.front().is_some_and(|in_flight| in_flight.0 <= now) {
            self.delivered = self.in_flight.pop_front().map_or(self.delivered, |settled| settled.1);
        }
        while let Some(call) = self.unconfirmed.front() {
            let last = call.repeated_at.unwrap_or(f64::MIN);
            // Where a repeat was reported, the answer may be to the first copy. Then a later call has to be
            // answered too, and it must not be merged with this one, since both marks would be answered
            // together.
            let after = |later: &&Call| later.at > call.end && later.repeated_at.is_none();
            let later =
                self.unconfirmed.iter().filter(after).any(|later| {
                    later.answered.is_some_and(|at| at + REPEAT_REPORTED_WITHIN.max(worst) <= now)
                });
            let confirmed = match (call.repeated_at, call.answered) {
                (None, Some(at)) => at == f64::MIN || at + REPEAT_REPORTED_WITHIN <= now,
                (Some(_), Some(at)) => later || at.max(last) + REPEAT_REPORTED_WITHIN + worst <= now,
                (_, None) => later,
            };
            if !confirmed {
                break;
            }
            self.confirmed = call.at;
            if let Some(call) = self.unconfirmed.pop_front() {
                self.in_flight.push_back((now + worst, call.at, self.at + 1));
                self.stale_tables.extend(call.writes.lines.keys().map(|line| line.0));
                self.stale_tables.extend(call.writes.clears);
                let hosts = call.writes.hosts.keys().filter_map(|host| self.tables_of_host.get(host));
                self.stale_tables.extend(hosts.flatten());
            }
        }
        // The tables' uncertainty is over now. What was carried out again may still be in transit to proxies
        // that no later call has reached yet: a proxy receives the repeat before the later call.
        if self.unconfirmed.is_empty() {
            for table_id in std::mem::take(&mut self.stale_tables) {
                let (until, at) = (now + worst, self.at + 1);
                let fresh = self.is_uncertain().then(|| self.uncertainty_of(table_id));
                let Some(table) = self.tables.get_mut(&table_id) else { continue };
                let (sum, changed) = (table.weight_sums.all(), vec![]);
                let uncertainty = std::mem::replace(&mut table.uncertainty, fresh);
                if uncertainty.is_some() {
                    table.past.push_back(PastState {
                        until,
                        at,
                        sum,
                        changed,
                        uncertainty,
                        same_entries: true,
                    });
                    self.state_expiry.push_back((until, self.confirmed, table_id));
                }
            }
        }
    }

    fn prune(&mut self, table_id: TableId, now: f64) {
        self.keep_cold_peaks(table_id);
        let confirmed = self.confirmed;
        let Some(table) = self.tables.get_mut(&table_id) else { return };
        let mut gone = Vec::new();
        while table
            .past
            .front()
            .is_some_and(|old| old.until <= now && (old.same_entries || old.at <= confirmed))
        {
            gone.extend(table.past.pop_front());
        }
        let uncertain = |old: &'_ PastState| {
            old.uncertainty.as_ref().map(|doubt| doubt.uncertain.clone()).unwrap_or_default()
        };
        let hosts = gone.iter().flat_map(|old| old.changed.iter().copied().chain(uncertain(old)));
        let hosts: BTreeSet<HostId> = hosts.map(|host| host.0).collect();
        let ends = |host: &HostId| {
            !table.lines.contains_key(host) && table.spans(*host, 0.0).all(|span| span.fraction <= 0.0)
        };
        let ended: Vec<HostId> = hosts.into_iter().filter(ends).collect();
        for host in ended {
            if let Some(tables) = self.tables_of_host.get_mut(&host) {
                tables.remove(&table_id);
                if tables.is_empty() {
                    self.tables_of_host.remove(&host);
                }
                self.entry_removed(host, table_id);
            }
        }
    }

    /// Finds proxies that have not answered for what was sent longer than the maximum transit time ago, and
    /// proxies without a table.
    fn scan_proxies(&mut self, now: f64) {
        let facts = &self.facts;
        self.cold.retain(|host| self.hosts.get(host).is_some_and(|host| !host.warm(now, &facts.warmup)));
        self.cold_peaks.retain(|(host, _), _| self.cold.contains(host));
        let worst = self.facts.channel.max_transit;
        // Calls after the last mark cannot be answered yet.
        let marked = self.mark_order.back().and_then(|mark| self.marks.get(mark)).map_or(0, |mark| mark.at);
        let due = |(at, when): &(CallIndex, f64)| *at <= marked && when + worst + SCAN_INTERVAL < now;
        let last = |table: &Table| table.calls.iter().rev().find(|call| due(call)).map_or(0, |call| call.0);
        let tables: BTreeMap<TableId, CallIndex> =
            self.tables.iter().map(|(table_id, table)| (*table_id, last(table))).collect();
        for (id, proxy) in &mut self.proxies {
            // Calls to a table before the proxy was bound to it did not go to this proxy.
            let since = proxy.bound.map_or(CallIndex::MAX, |bound| bound.0);
            let calls = proxy.bindings.iter().filter_map(|binding| tables.get(&binding.table_id).copied());
            let own = proxy.bound.filter(|bound| due(bound)).map(|bound| bound.0);
            let due = calls.chain(own).filter(|at| *at >= since).max().unwrap_or(0);
            // A proxy that is bound again stays behind until it answers: it may be in the same states as
            // before and in more.
            if due > proxy.applied_up_to {
                proxy.due = due;
                if self.behind.insert(*id) {
                    self.findings.push(Finding::Behind(*id));
                }
            }
            if proxy.bindings.is_empty() && now > proxy.joined + facts.bare_for && !proxy.unbound_reported {
                proxy.unbound_reported = true;
                self.findings.push(Finding::Unbound(*id));
            }
        }
    }

    pub(crate) fn weight(weight: f64) -> f64 {
        if weight > 0.0 {
            weight.min(MAX_WEIGHT)
        } else {
            0.0
        }
    }

    /// Until which call a repeat of this call may bring proxies back to the tables it bound them to, as these
    /// were before that call. `None` if it cannot be repeated.
    pub(crate) fn repeatable_until(&self, call: CallIndex) -> Option<CallIndex> {
        if call > self.confirmed {
            return Some(CallIndex::MAX);
        }
        let place = self.in_flight.binary_search_by_key(&call, |in_flight| in_flight.1).ok()?;
        Some(self.in_flight[place].2)
    }

    pub(crate) fn is_uncertain(&self) -> bool {
        let Writes { lines, hosts, binds, .. } = &self.missing;
        !self.unconfirmed.is_empty() || !lines.is_empty() || !hosts.is_empty() || !binds.is_empty()
    }

    /// The weight of a host in a table; a withdrawn host counts as zero.
    pub(crate) fn open_weight(&self, table: &Table, host: HostId) -> f64 {
        table.lines.get(&host).copied().filter(|_| !self.withdrawn.contains(&host)).unwrap_or(0.0)
    }

    /// The maximum fraction of a table's demand that each host gets, whichever unconfirmed calls are carried
    /// out again.
    pub(crate) fn max_fractions(&self, table_id: TableId) -> HostFractions {
        let Some(table) = self.tables.get(&table_id) else { return vec![] };
        let uncertainty = if self.is_uncertain() { Some(self.uncertainty_of(table_id)) } else { None };
        let open = table.lines.keys().filter(|host| !self.withdrawn.contains(host));
        let mut hosts: BTreeSet<HostId> = open.copied().collect();
        hosts.extend(uncertainty.iter().flat_map(|doubt| &doubt.uncertain).map(|uncertain| uncertain.0));
        let all = table.weight_sums.all();
        let fraction = |host| (host, fraction(self.open_weight(table, host), all, &uncertainty, host));
        hosts.into_iter().map(fraction).collect()
    }

    /// Computes for each host its maximum fraction: its maximum weight beside the others at their minimum.
    /// Only hosts that uncertain calls set are visited.
    pub(crate) fn uncertainty_of(&self, table_id: TableId) -> Uncertainty {
        let none = Table::default();
        let table = self.tables.get(&table_id).unwrap_or(&none);
        let mut hosts = BTreeSet::new();
        for writes in self.unconfirmed.iter().map(|call| &call.writes).chain([&self.missing]) {
            let of = writes.lines.range((table_id, HostId(0))..=(table_id, HostId(u32::MAX)));
            hosts.extend(of.map(|(line, _)| line.1));
            if writes.clears.contains(&table_id) {
                hosts.extend(table.lines.keys());
            }
            hosts.extend(writes.hosts.keys().filter(|host| table.lines.contains_key(host)));
        }
        let between = |host: HostId| (host, self.weight_bounds(table_id, table, host));
        let each: Vec<(HostId, (f64, f64))> = hosts.into_iter().map(between).collect();
        let low = each.iter().map(|(host, (low, _))| (host.0, *low)).collect();
        let least = table.weight_sums.total_with(&table.lines, &self.withdrawn, low);
        let most = |(host, (low, high)): &(HostId, (f64, f64))| {
            (*high > 0.0).then(|| (*host, high / (high + (least - low).max(0.0))))
        };
        Uncertainty { least, uncertain: each.iter().filter_map(most).collect() }
    }

    /// The minimum and maximum weight that an entry may have; a withdrawn host counts as zero.
    pub(crate) fn weight_bounds(&self, table_id: TableId, table: &Table, host: HostId) -> (f64, f64) {
        let standing = table.lines.get(&host).copied().unwrap_or(0.0);
        let (mut low, mut high) = (standing, standing);
        let (mut maybe_in, mut maybe_out) = (!self.withdrawn.contains(&host), self.withdrawn.contains(&host));
        let written = self.unconfirmed.iter().map(|call| &call.writes).chain([&self.missing]);
        for writes in written {
            if let Some(weight) = writes.line(table_id, host) {
                (low, high) = (low.min(weight), high.max(weight));
            }
            if let Some(out) = writes.hosts.get(&host) {
                (maybe_in, maybe_out) = (maybe_in | !out, maybe_out | out);
            }
        }
        (if maybe_out { 0.0 } else { low }, if maybe_in { high } else { 0.0 })
    }

    /// Whether the table certainly has no usable host, whichever calls are carried out again.
    pub(crate) fn surely_bare(&self, table_id: TableId) -> bool {
        let Some(table) = self.tables.get(&table_id) else { return true };
        let serves = |host: &HostId| self.hosts.get(host).is_some_and(Host::serves);
        let mut hosts: BTreeSet<HostId> = table.lines.keys().copied().collect();
        let written = self.unconfirmed.iter().flat_map(|call| call.writes.lines.keys());
        hosts.extend(written.filter(|line| line.0 == table_id).map(|line| line.1));
        !hosts.iter().any(|host| serves(host) && self.weight_bounds(table_id, table, *host).1 > 0.0)
    }
}
