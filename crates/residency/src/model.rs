//! Model of the state that proxies may hold. Accepted orders form one numbered sequence. Each proxy has
//! applied all orders up to some index and may have applied any later ones. Something that is set and
//! unset again is therefore a span of indexes, and a proxy can hold two things at once only where their
//! spans overlap.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::{HostId, ProxyId, TableId, ZoneId, Zones};

/// Index in the sequence of accepted orders: the number of orders accepted so far.
pub type OrderIndex = u64;
pub const OPEN: OrderIndex = OrderIndex::MAX;

/// Range of order indexes from the order that set something to the order that unset it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: OrderIndex,
    /// The last order that set it, including orders that repeat a setting already in force.
    pub set: OrderIndex,
    pub to: OrderIndex,
    /// It was set and unset within calls that may still be retried, so a retry may bring it back after
    /// `to`.
    pub repeatable: bool,
    /// `to` is the index at which retries were ruled out, which is later than the order that unset it.
    pub end_delayed: bool,
}

impl Span {
    pub fn open(from: OrderIndex) -> Span {
        Span { from, set: from, to: OPEN, repeatable: false, end_delayed: false }
    }
    /// The index from which it has certainly ended; `OPEN` while a retry may bring it back.
    pub fn end(&self) -> OrderIndex {
        if self.repeatable {
            OPEN
        } else {
            self.to
        }
    }
}

/// Longer lists of spans are merged into fewer, longer spans. A merged span can refuse a valid order but
/// never lets an invalid one pass.
const MAX_SPANS: usize = 4;

/// Records that it is set from `at` on. A span that a retry may bring back stays a separate span;
/// [`may_coincide`] accounts for the gap between them.
pub fn set(spans: &mut Vec<Span>, at: OrderIndex) {
    match spans.last_mut() {
        Some(last) if last.to == OPEN => last.set = at,
        _ => spans.push(Span::open(at)),
    }
    if spans.len() > MAX_SPANS {
        spans[1].from = spans[0].from;
        spans.remove(0);
    }
}

/// Records that it is unset from `at` on; calls up to `retry_horizon` are not retried. Returns `None` if
/// it was not set, otherwise whether a retry may set it again.
pub fn unset(spans: &mut [Span], at: OrderIndex, retry_horizon: OrderIndex) -> Option<bool> {
    let last = spans.last_mut().filter(|last| last.to == OPEN)?;
    (last.to, last.repeatable) = (at, last.set > retry_horizon);
    Some(last.repeatable)
}

/// Treats all unset orders as not carried out: it stays set until it is unset again.
pub fn reopen(spans: &mut Vec<Span>) {
    if let Some(first) = spans.first().copied() {
        *spans = vec![Span::open(first.from)];
    }
}

/// One of the conditions that have to hold at the same time for a breach.
#[derive(Clone, Debug, Default)]
pub struct Condition {
    pub active: Vec<Span>,
    /// Orders that ended it, each with the index at which it was set again.
    pub ended: Vec<(OrderIndex, OrderIndex)>,
}

impl Condition {
    /// For a table entry, or for a host that is not withdrawn.
    pub fn from_spans(spans: &[Span]) -> Condition {
        let gaps = spans.windows(2).filter(|two| !two[0].end_delayed).map(|two| (two[0].to, two[1].from));
        Condition { active: spans.to_vec(), ended: gaps.collect() }
    }

    /// For a proxy bound to a table for a class. Where a bind may never have been carried out (`sure` is
    /// false), later binds are not counted as its end.
    pub fn bound(table_id: TableId, class: u64, uses: &[Use], sure: bool) -> Condition {
        let own = uses.iter().filter(|use_| use_.mask & class != 0);
        let (there, elsewhere): (Vec<&Use>, Vec<&Use>) = own.partition(|use_| use_.table_id == table_id);
        let off = elsewhere.into_iter().filter(|_| sure).map(|use_| (use_.span.from, use_.span.to));
        Condition { active: there.into_iter().map(|use_| use_.span).collect(), ended: off.collect() }
    }

    /// Whether it may hold at index `place` during a retry of the calls after `start`.
    fn holds(&self, start: OrderIndex, place: OrderIndex) -> bool {
        let ended = |(from, to): &(OrderIndex, OrderIndex)| start < *from && (*from..*to).contains(&place);
        let on = |span: &Span| span.to == OPEN || start < span.set && (span.from..span.to).contains(&place);
        !self.ended.iter().any(ended) && self.active.iter().any(on)
    }
}

/// Whether all conditions may hold at once, now or while calls after `retry_horizon` are retried. A retry
/// starts at some index and proceeds in order. During it, each condition is as the last order since that
/// index left it; a condition without such an order is in its final state. So a condition that is set and
/// unset within one call does not coincide with the final states of both, and an entry that was removed
/// and set again is absent until the retry reaches the order that sets it.
pub fn may_coincide(conditions: &[Condition; 3], retry_horizon: OrderIndex, at: OrderIndex) -> bool {
    let spans = || conditions.iter().flat_map(|condition| &condition.active);
    let set_again = conditions.iter().flat_map(|condition| condition.ended.iter().map(|off| off.1));
    let edges =
        spans().flat_map(|span| [span.from, span.set]).chain(set_again).chain([retry_horizon + 1, at]);
    let places: BTreeSet<OrderIndex> =
        edges.filter(|place| (retry_horizon + 1..=at).contains(place)).collect();
    let lasts: BTreeSet<OrderIndex> = spans().map(|span| span.set.saturating_sub(1)).collect();
    places.into_iter().any(|place| {
        let retry_starts = lasts.iter().copied().chain([place - 1]);
        let mut retry_starts = retry_starts.filter(|start| (retry_horizon..place).contains(start));
        retry_starts.any(|start| conditions.iter().all(|condition| condition.holds(start, place)))
    })
}

/// Some request classes of a proxy that are bound to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    pub table_id: TableId,
    pub mask: u64,
    pub span: Span,
}

/// Proxies of one zone that use a table for the same request classes.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Ordered by the first index at which the proxy may still use the table: that index, the proxy, and
    /// the index of the bind.
    low: BTreeSet<(OrderIndex, ProxyId, OrderIndex)>,
    /// Number of uses that no later order ends.
    open: usize,
    ended: BTreeSet<(OrderIndex, ProxyId, OrderIndex)>,
}

impl Group {
    pub fn add(&mut self, proxy: ProxyId, span: &Span, floor: OrderIndex) {
        self.low.insert((span.from.max(floor), proxy, span.from));
        match span.end() {
            OPEN => self.open += 1,
            end => drop(self.ended.insert((end, proxy, span.from))),
        }
    }
    pub fn remove(&mut self, proxy: ProxyId, span: &Span, floor: OrderIndex) {
        self.low.remove(&(span.from.max(floor), proxy, span.from));
        match span.end() {
            OPEN => self.open -= 1,
            end => drop(self.ended.remove(&(end, proxy, span.from))),
        }
    }
    /// Raises the proxy's floor, the index up to which it has applied all orders.
    pub fn raise_floor(&mut self, proxy: ProxyId, span: &Span, (from, to): (OrderIndex, OrderIndex)) {
        if span.from < to {
            self.low.remove(&(span.from.max(from), proxy, span.from));
            self.low.insert((span.from.max(to), proxy, span.from));
        }
    }
    /// Whether any proxy may use the table after that index.
    pub fn after(&self, at: OrderIndex) -> bool {
        self.open > 0 || self.ended.last().is_some_and(|last| last.0 > at)
    }
    pub fn is_empty(&self) -> bool {
        self.low.is_empty()
    }
    pub fn first(&self) -> OrderIndex {
        self.low.first().map_or(OPEN, |first| first.0)
    }
    /// All uses that begin before `end`, ordered by their first index.
    pub fn before(&self, end: OrderIndex) -> impl Iterator<Item = (OrderIndex, ProxyId, OrderIndex)> + '_ {
        self.low.iter().copied().take_while(move |use_| use_.0 < end)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub entries: BTreeMap<HostId, Vec<Span>>,
    /// The proxies that use the table, by home zone and class mask.
    pub groups: BTreeMap<(ZoneId, u64), Group>,
    /// A superset of the zones of all hosts that the entries may name; `None` if it has to be recomputed.
    pub entry_zones: Option<Zones>,
    /// Unset entries by order index, to be dropped once no proxy can hold them.
    pub unset: VecDeque<(OrderIndex, HostId)>,
}

impl Table {
    /// The first index at which any proxy may use the table.
    pub fn first(&self) -> OrderIndex {
        self.groups.values().map(Group::first).min().unwrap_or(OPEN)
    }

    /// Drops entries that no proxy can hold any more; returns their hosts.
    pub fn prune(&mut self, retry_horizon: OrderIndex) -> Vec<HostId> {
        let (first, mut gone) = (self.first().min(retry_horizon), Vec::new());
        while let Some((_, host)) = self.unset.front().copied().filter(|unset| unset.0 <= first) {
            self.unset.pop_front();
            let Some(spans) = self.entries.get_mut(&host) else { continue };
            spans.retain(|span| span.end() > first);
            if spans.is_empty() {
                self.entries.remove(&host);
                self.entry_zones = None;
                gone.push(host);
            }
        }
        gone
    }
}

#[derive(Clone, Debug)]
pub struct Host {
    /// Listed zones with the time (ms) until which each counts; the newest is last.
    pub places: Vec<(ZoneId, f64)>,
    /// Spans in which the host is not withdrawn. A host that was never withdrawn has one open span.
    pub admitted: Vec<Span>,
    /// Tables whose entries may name it.
    pub tables: BTreeSet<TableId>,
    pub forgotten: bool,
}

impl Default for Host {
    fn default() -> Host {
        Host { places: Vec::new(), admitted: vec![Span::open(0)], tables: BTreeSet::new(), forgotten: false }
    }
}

impl Host {
    /// Whether the host may serve where only these zones are allowed. A host that changed its zone counts
    /// for both until the grace period of the old one ends. A host that was never listed is in no zone.
    pub fn within(&self, zones: Zones) -> bool {
        zones == Zones::ALL || self.places.iter().any(|(zone, _)| zones.contains(*zone))
    }
    pub fn zone(&self) -> Option<ZoneId> {
        self.places.last().map(|place| place.0)
    }
    /// Whether the host may be in use (not withdrawn) after that index.
    pub fn after(&self, at: OrderIndex) -> bool {
        self.admitted.iter().any(|span| span.end() > at)
    }
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub uses: Vec<Use>,
    /// The proxy has applied all orders up to this index.
    pub floor: OrderIndex,
    /// Index of the last accepted order when it last joined.
    pub joined: OrderIndex,
    /// Class mask for which it may hold state that this controller did not order.
    pub unproven: u64,
    pub left: Option<f64>,
}
