//! Residency check, independent of the decisions: no reply is written that could give a proxy a table
//! entry outside the reach.
//!
//! The check knows which orders were accepted and what proxies have confirmed, and nothing about why
//! orders were issued. Three rules keep it sound whatever the channel does:
//! - A proxy has applied its orders up to the last mark that it answered and may have applied any later
//!   ones, so every index from there on counts.
//! - A call may be retried until a later reply, which was never reported as retried, has been answered
//!   and [`TOLD_BY`] has passed since. Until then, what was set and unset in between may come back.
//! - A proxy that left keeps its state until its linger is over, and a proxy that joins may hold anything
//!   until it is bound and has answered.
//!
//! Orders that narrow (an entry removed, a table cleared, a host withdrawn) always pass. An entry that is
//! set again at another weight is checked as a new one. `TableId::ALL` is refused in entries and binds,
//! because the platform's specification has no such orders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;

use crate::model::{
    may_coincide, reopen, set, unset, Condition, Host, OrderIndex, Proxy, Span, Table, Use, OPEN,
};
use crate::reach::InUse;

/// Time in ms after which a retry would have been reported. The relay reports a retry once the answer's
/// time limit (50 ms) and the longest pause (1.5 s) are over; the rest allows for a busy process. A
/// caller that reports answers through [`Judge::answered`] does not wait for it.
pub const TOLD_BY: f64 = 2_000.0;
/// Number of replies whose marks are remembered: three minutes at twenty replies a second. An answer to
/// an older mark is of no use.
const MAX_MARKS: usize = 4_096;

/// How a proxy comes, or may have come, to hold an entry outside the reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum How {
    #[error("an entry is set in a table that it uses")]
    Line,
    #[error("it is bound to a table that names the host")]
    Bind,
    #[error("the host is let in")]
    LetIn,
    #[error("the order is for all tables")]
    AllTables,
    #[error("it has not joined")]
    NotJoined,
    #[error("it has not confirmed that it holds what was ordered here")]
    Unproven,
    #[error("it has not confirmed that it let go of it")]
    Held,
    #[error("it left less than the linger ago and may still hold it")]
    Left,
}

/// A proxy that may hold an entry outside the reach, and which one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "proxy {} in zone {}, product {}, table {:?}, host {:?} in zone {:?}: {how}",
    proxy.0, from.0, product.0, table_id.map(|table_id| table_id.0), host.map(|host| host.0), zone.map(|zone| zone.0)
)]
pub struct Witness {
    pub proxy: ProxyId,
    /// Its home zone.
    pub from: ZoneId,
    pub product: ClassId,
    pub table_id: Option<TableId>,
    pub host: Option<HostId>,
    /// Zone in which the host is listed; `None` if it was never listed.
    pub zone: Option<ZoneId>,
    pub how: How,
}

/// An order that must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("order {order} would break residency: {witness}")]
pub struct Breach {
    /// Its index in the reply.
    pub order: usize,
    pub witness: Witness,
}

impl Witness {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self.how {
            How::Line | How::Bind | How::LetIn | How::AllTables | How::NotJoined => {
                "nothing was written; report the order, as the decisions should not have ordered it"
            }
            How::Unproven | How::Held => {
                "wait; if it lasts, look whether the relay answers and the proxy reads"
            }
            How::Left => "wait for the linger",
        }
    }
}

impl Breach {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        self.witness.advice()
    }
}

/// A reply without the orders that would break residency.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sifted {
    pub orders: Vec<Order>,
    /// Refused orders. They have to be passed back to the decisions, which count them as ordered.
    pub refused: Vec<(Order, Breach)>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: OrderIndex,
    /// A retry of its call was reported.
    retried: bool,
    answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: f64,
    mark: MarkId,
    /// Its order index.
    to: OrderIndex,
    /// Number of accepted orders when the answer arrived.
    accepted: OrderIndex,
}

/// State that a retry may bring back; its span is closed once retries are ruled out.
#[derive(Clone, Copy, Debug)]
enum Repeatable {
    Entry(TableId, HostId),
    Use(ProxyId),
    Host(HostId),
}

/// How to undo an order of a refused reply.
enum Undo {
    Entry(TableId, HostId, Option<Vec<Span>>),
    Host(HostId, Vec<Span>),
    Uses(ProxyId, Vec<Use>),
}

pub struct Judge {
    /// Mask of all request classes.
    all_classes: u64,
    /// How long a host still counts for the zone in which it was listed before, in ms.
    grace: f64,
    reach: InUse,
    /// Cache: zones allowed to all classes of a mask at a home zone.
    allowed: BTreeMap<(ZoneId, u64), Zones>,
    tables: BTreeMap<TableId, Table>,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    unproven: BTreeMap<Pair, BTreeSet<ProxyId>>,
    /// Entries outside the reach that a proxy may hold; no other entry is.
    suspects: BTreeSet<(TableId, HostId)>,
    /// Proxies that left, and hosts that changed their zone, in order of time.
    departed: VecDeque<(f64, ProxyId)>,
    moved: VecDeque<(f64, HostId)>,
    at: OrderIndex,
    /// No call up to this index is retried.
    retry_horizon: OrderIndex,
    /// No call up to this index is retried, and none was carried out after the join of a proxy whose join
    /// has not been reported yet.
    join_horizon: OrderIndex,
    /// Times at which retries up to an index were first known to be ruled out. Once that is a linger ago,
    /// every proxy that joined before is known, and a bind that had not taken effect by then never will.
    /// Needed for proxies that have left, and for a controller without proxies that answer marks.
    horizon_times: VecDeque<(f64, OrderIndex)>,
    lingered_horizon: OrderIndex,
    /// Index of the last mark whose call was reported as retried.
    last_retried: OrderIndex,
    marks: BTreeMap<MarkId, Vec<Sent>>,
    remembered: VecDeque<MarkId>,
    /// Marks by the time of their first answer, with the number of accepted orders at that time.
    answers: VecDeque<Answer>,
    /// Index of the furthest mark that was answered and whose call was not reported as retried.
    last_confirmed_mark: OrderIndex,
    /// Uses of proxies that left which may be binds still in flight, and uses of proxies that joined
    /// again which a mark shows to have been carried out before the join, provided its call is not
    /// retried.
    in_flight_binds: BTreeSet<(OrderIndex, ProxyId)>,
    /// Proxies with a bind that was given up, and the number of accepted orders at that time.
    uncertain_binds: BTreeMap<ProxyId, OrderIndex>,
    repeatable: VecDeque<(OrderIndex, Repeatable)>,
    undo: Vec<Undo>,
}

type Pair = (ZoneId, ClassId);

impl Judge {
    /// `products` is the number of request classes; `grace` is the grace period of drains, in ms.
    pub fn new(products: u16, grace: f64) -> Judge {
        Judge {
            all_classes: if products >= 64 { u64::MAX } else { (1 << products) - 1 },
            grace,
            reach: InUse::new(),
            allowed: BTreeMap::new(),
            tables: BTreeMap::new(),
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            unproven: BTreeMap::new(),
            suspects: BTreeSet::new(),
            departed: VecDeque::new(),
            moved: VecDeque::new(),
            at: 0,
            retry_horizon: 0,
            join_horizon: 0,
            horizon_times: VecDeque::new(),
            lingered_horizon: 0,
            last_retried: 0,
            marks: BTreeMap::new(),
            remembered: VecDeque::new(),
            answers: VecDeque::new(),
            last_confirmed_mark: 0,
            in_flight_binds: BTreeSet::new(),
            uncertain_binds: BTreeMap::new(),
            repeatable: VecDeque::new(),
            undo: Vec::new(),
        }
    }

    /// The host list names a host in a zone. Its availability does not count here: the decisions withdraw
    /// a host that drains, and a removed host still has its zone.
    pub fn listed(&mut self, now: f64, host: HostId, zone: ZoneId, _standing: Availability) {
        self.advance(now);
        let known = self.hosts.entry(host).or_default();
        known.forgotten = false;
        // A host that was lost gets its zone back only here, even while the grace period of its last zone
        // is running.
        if known.places.last().is_some_and(|place| *place == (zone, f64::MAX)) {
            return;
        }
        let until = now + self.grace;
        known.places.retain(|place| place.0 != zone);
        known.places.iter_mut().for_each(|place| place.1 = place.1.min(until));
        if !known.places.is_empty() {
            self.moved.push_back((until, host));
        }
        known.places.push((zone, f64::MAX));
        for table_id in &known.tables {
            if let Some(table) = self.tables.get_mut(table_id) {
                table.entry_zones = None;
            }
        }
    }

    /// The host list names a known host in an unknown zone. As with a move, its former zone counts until
    /// the grace period of drains ends. After that it is in no zone and may serve no governed class.
    pub fn lost(&mut self, now: f64, host: HostId) {
        self.advance(now);
        let Some(known) = self.hosts.get_mut(&host) else { return };
        // A list that repeats this does not extend the grace period.
        if known.places.last().is_some_and(|place| place.1 == f64::MAX) {
            let until = now + self.grace;
            known.places.iter_mut().for_each(|place| place.1 = place.1.min(until));
            self.moved.push_back((until, host));
        }
    }

    /// No order will name the host again. It is dropped once no entry can name it.
    pub fn forgotten(&mut self, host: HostId) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.forgotten = true;
            if known.tables.is_empty() {
                self.hosts.remove(&host);
            }
        }
    }

    /// A proxy joined. Its state is unknown even when it is fresh, because a fresh proxy holds a
    /// bootstrap table that this controller did not order. Its earlier binds may still be in flight to
    /// it.
    pub fn joined(&mut self, now: f64, proxy: ProxyId, zone: ZoneId, _fresh: bool) {
        self.advance(now);
        self.end_uses_at_departure(proxy);
        let at = self.at;
        // Binds ahead of a mark that was answered before the join were carried out before the join.
        let uses = self.proxies.get(&proxy).into_iter().flat_map(|known| &known.uses);
        for held in uses.filter(|held| held.span.to == OPEN) {
            match held.span.from <= self.last_confirmed_mark {
                true => drop(self.in_flight_binds.insert((held.span.from, proxy))),
                false => drop(self.in_flight_binds.remove(&(held.span.from, proxy))),
            }
        }
        let new = Proxy { zone, uses: vec![], floor: at, joined: at, unproven: 0, left: None };
        let known = self.proxies.entry(proxy).or_insert(new);
        let (from, uses) = (known.zone, known.uses.clone());
        (known.zone, known.joined, known.left) = (zone, at, None);
        if from != zone {
            self.confirm_classes(proxy, from, self.all_classes);
            let widened = self.regroup(proxy, from, uses);
            widened.into_iter().for_each(|table_id| self.recheck_table(table_id));
        }
        let known = self.proxies.get_mut(&proxy).map(|known| &mut known.unproven);
        known.into_iter().for_each(|unproven| *unproven = self.all_classes);
        for class in classes_in(self.all_classes) {
            self.unproven.entry((zone, class)).or_default().insert(proxy);
        }
    }

    pub fn left(&mut self, now: f64, proxy: ProxyId) {
        self.advance(now);
        if let Some(known) = self.proxies.get_mut(&proxy).filter(|known| known.left.is_none()) {
            known.left = Some(now);
            self.departed.push_back((now, proxy));
            self.end_uses_at_departure(proxy);
        }
    }

    /// A proxy that left applies no later order, and its binds hold for its old state, not for the state
    /// in which it comes back. Only binds that may still be in flight can take effect after it comes
    /// back.
    fn end_uses_at_departure(&mut self, proxy: ProxyId) {
        let join_horizon = self.join_horizon;
        let Some(known) = self.proxies.get(&proxy) else { return };
        let open = known.uses.iter().filter(|held| held.span.to == OPEN && held.span.from > join_horizon);
        self.in_flight_binds.extend(open.map(|held| (held.span.from, proxy)));
        self.close_uses(proxy, |held| held.span.from <= join_horizon);
    }

    /// Ends these uses of the proxy: it applies no later order through them.
    fn close_uses(&mut self, proxy: ProxyId, which: impl Fn(&Use) -> bool) {
        let end = self.at + 1;
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (zone, before) = (known.zone, known.uses.clone());
        let open = known.uses.iter_mut().filter(|held| held.span.to == OPEN && which(held));
        open.for_each(|held| held.span.to = end);
        self.regroup(proxy, zone, before);
    }

    /// Events arrive in order, so the answer to a mark shows that every proxy that joined before the
    /// mark's call was carried out is known. Calls up to there that are not retried were therefore
    /// carried out before the joins that are not known yet.
    fn close_applied_uses(&mut self) {
        self.join_horizon = self.join_horizon.max(self.retry_horizon.min(self.last_confirmed_mark));
        while let Some((from, proxy)) =
            self.in_flight_binds.first().copied().filter(|bind| bind.0 <= self.join_horizon)
        {
            self.in_flight_binds.pop_first();
            self.close_uses(proxy, |held| held.span.from == from);
        }
    }

    /// The proxy has applied all orders up to the mark.
    pub fn applied(&mut self, now: f64, proxy: ProxyId, mark: MarkId) {
        self.advance(now);
        let Some(sent) = self.marks.get_mut(&mark) else { return };
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        // A restarted decision module numbers its marks from the start again, so an answer is taken for
        // the oldest mark that it can belong to.
        let Some(place) = sent.iter().position(|sent| sent.at > known.floor) else { return };
        if sent[..place].iter().any(|earlier| earlier.retried) {
            return;
        }
        let to = sent[place].at;
        let clean = !sent[place].retried;
        if !std::mem::replace(&mut sent[place].answered, true) && clean {
            self.answers.push_back(Answer { at: now, mark, to, accepted: self.at });
        }
        // This mark was accepted after the answer to the earlier one. It went out with a retry of the
        // earlier call, which would have been reported before, or with a later call; so the earlier call
        // was answered.
        let mut retry_horizon = 0;
        while let Some(earlier) = self.answers.front().copied().filter(|earlier| earlier.accepted < to) {
            self.answers.pop_front();
            retry_horizon =
                if self.is_clean(&earlier) { retry_horizon.max(earlier.to) } else { retry_horizon };
        }
        self.raise_retry_horizon(retry_horizon);
        self.last_confirmed_mark =
            if clean { self.last_confirmed_mark.max(to) } else { self.last_confirmed_mark };
        self.close_applied_uses();
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (from, zone) = (std::mem::replace(&mut known.floor, to), known.zone);
        let mut proven = 0;
        for held in &known.uses {
            let table = self.tables.entry(held.table_id).or_default();
            let key = (zone, held.mask);
            let group = table.groups.entry(key).or_default();
            if held.span.end() <= to {
                group.remove(proxy, &held.span, from);
                if group.is_empty() {
                    table.groups.remove(&key);
                }
            } else {
                group.raise_floor(proxy, &held.span, (from, to));
            }
            if held.span.from > known.joined && held.span.from <= to {
                proven |= held.mask;
            }
        }
        known.uses.retain(|held| held.span.end() > to);
        self.confirm_classes(proxy, zone, proven);
    }

    /// Whether no retry of the mark's call was reported.
    fn is_clean(&self, answer: &Answer) -> bool {
        let sent = self.marks.get(&answer.mark).into_iter().flatten().find(|sent| sent.at == answer.to);
        sent.is_some_and(|sent| !sent.retried)
    }

    /// Replaces the reach. What proxies already hold is not refused for it: see [`Judge::settled`].
    pub fn reach(&mut self, now: f64, reach: InUse) {
        self.advance(now);
        let before = std::mem::replace(&mut self.reach, reach);
        self.allowed.clear();
        let of = |all: &InUse, pair| all.get(pair).copied().unwrap_or(Zones::ALL);
        let pairs = before.keys().chain(self.reach.keys());
        let changed: BTreeSet<Pair> = pairs
            .filter(|pair| of(&before, pair) != of(&self.reach, pair))
            .map(|(class, zone)| (*zone, *class))
            .collect();
        let zones: BTreeSet<ZoneId> = changed.iter().map(|pair| pair.0).collect();
        let tables = self.tables.iter().filter(|(_, table)| {
            table.groups.keys().any(|(zone, mask)| {
                zones.contains(zone) && classes_in(*mask).any(|class| changed.contains(&(*zone, class)))
            })
        });
        for table_id in tables.map(|(table_id, _)| *table_id).collect::<Vec<_>>() {
            self.recheck_table(table_id);
        }
    }

    /// Checks a reply. An accepted reply counts as written; a refused one changes nothing.
    ///
    /// # Errors
    /// The first order that could give a proxy an entry outside the reach.
    pub fn judge(&mut self, now: f64, orders: &[Order]) -> Result<(), Breach> {
        self.advance(now);
        let (at, repeatable) = (self.at, self.repeatable.len());
        self.undo.clear();
        for (place, order) in orders.iter().enumerate() {
            if let Err(witness) = self.apply(order) {
                self.roll_back(0);
                self.repeatable.truncate(repeatable);
                self.at = at;
                return Err(Breach { order: place, witness });
            }
        }
        self.accept(orders);
        Ok(())
    }

    /// Checks a reply order by order: orders that break the reach are left out and the rest counts as
    /// written. This is safe for the reach alone; the decisions have to repair the loss of service once
    /// they receive the refused orders.
    pub fn sift(&mut self, now: f64, orders: Vec<Order>) -> Sifted {
        self.advance(now);
        self.undo.clear();
        let mut sifted = Sifted::default();
        for (place, order) in orders.into_iter().enumerate() {
            let (at, repeatable, undo) = (self.at, self.repeatable.len(), self.undo.len());
            match self.apply(&order) {
                Ok(()) => sifted.orders.push(order),
                Err(witness) => {
                    self.roll_back(undo);
                    self.repeatable.truncate(repeatable);
                    self.at = at;
                    sifted.refused.push((order, Breach { order: place, witness }));
                }
            }
        }
        self.accept(&sifted.orders);
        sifted
    }

    /// The call that carried this mark may have been carried out and may be retried.
    pub fn unsure(&mut self, mark: MarkId) {
        let mut answered = false;
        for sent in self.marks.get_mut(&mark).into_iter().flatten() {
            sent.retried = true;
            answered |= sent.answered;
            self.last_retried = self.last_retried.max(sent.at);
        }
        // The answer may belong to the first of two calls, so it proves nothing about proxies that joined
        // since.
        if answered {
            self.last_confirmed_mark = self.join_horizon;
            let gone = |proxy: &ProxyId| self.proxies.get(proxy).is_some_and(|known| known.left.is_some());
            self.in_flight_binds.retain(|(_, proxy)| gone(proxy));
        }
    }

    /// Number of accepted orders. A caller can keep it with a reply, for [`Judge::answered`].
    pub fn place(&self) -> u64 {
        self.at
    }

    /// The relay has answered for all orders up to that index, and none of them will be written again.
    /// Marks show this too, but later, and not where no proxy is there to answer one; a caller should
    /// call this whenever nothing is pending at its relay.
    pub fn answered(&mut self, place: u64) {
        // Where a retry was reported, an answer to a mark may belong to the first of two calls. So what a
        // retry may bring back counts until a later mark is answered: it ends at a new index of its own.
        if self.last_retried > self.retry_horizon && !self.repeatable.is_empty() {
            self.at += 1;
        }
        self.raise_retry_horizon(place);
        self.close_applied_uses();
    }

    /// The relay did not accept these orders. What they would have ended may continue, and what they
    /// would have begun may have begun nevertheless.
    pub fn gave_up(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *weight <= 0.0 => self.reopen_entry(*table, *host),
                Order::ClearTable { table } => {
                    let hosts = self.tables.get(table).map(|table| table.entries.keys().copied().collect());
                    let hosts: Vec<HostId> = hosts.unwrap_or_default();
                    hosts.into_iter().for_each(|host| self.reopen_entry(*table, host));
                }
                Order::Withdraw { host, withdrawn: true } => {
                    let Some(known) = self.hosts.get_mut(host) else { continue };
                    reopen(&mut known.admitted);
                    self.suspects.extend(known.tables.iter().map(|table_id| (*table_id, *host)));
                }
                Order::Bind { proxy, .. } => {
                    let Some(known) = self.proxies.get_mut(proxy) else { continue };
                    let (zone, before) = (known.zone, known.uses.clone());
                    known.uses.iter_mut().for_each(|held| held.span = Span::open(held.span.from));
                    self.uncertain_binds.insert(*proxy, self.at);
                    let widened = self.regroup(*proxy, zone, before);
                    widened.into_iter().for_each(|table_id| self.recheck_table(table_id));
                    // The proxy may not be bound at all.
                    if let Some(known) = self.proxies.get_mut(proxy) {
                        (known.unproven, known.joined) = (self.all_classes, self.at);
                    }
                    for class in classes_in(self.all_classes) {
                        self.unproven.entry((zone, class)).or_default().insert(*proxy);
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks that no proxy that is joined, or that left less than the linger ago, can hold an entry
    /// outside the reach in force.
    ///
    /// # Errors
    /// A proxy that can, or that may as far as is known.
    pub fn settled(&mut self, now: f64, linger: f64) -> Result<(), Witness> {
        self.advance(now);
        if self.horizon_times.back().map_or(self.lingered_horizon, |last| last.1) < self.retry_horizon {
            self.horizon_times.push_back((now, self.retry_horizon));
        }
        // No call up to that index has been in flight for a linger, so none of its binds can take effect
        // any more.
        while let Some((_, retry_horizon)) =
            self.horizon_times.front().copied().filter(|lingered_horizon| lingered_horizon.0 + linger <= now)
        {
            self.horizon_times.pop_front();
            self.lingered_horizon = retry_horizon;
        }
        let lingered_horizon = self.lingered_horizon;
        let mut kept = Vec::new();
        while let Some((left, proxy)) = self.departed.front().copied().filter(|left| left.0 + linger <= now) {
            self.departed.pop_front();
            if self.proxies.get(&proxy).is_some_and(|known| known.left == Some(left))
                && !self.release(proxy, lingered_horizon)
            {
                kept.push((left, proxy));
            }
        }
        kept.into_iter().rev().for_each(|departed| self.departed.push_front(departed));
        for ((class, zone), zones) in self.reach.iter().filter(|(_, zones)| **zones != Zones::ALL) {
            let unproven = self.unproven.get(&(*zone, *class)).and_then(BTreeSet::first);
            if let Some(proxy) = unproven.copied() {
                let how = if self.is_gone(proxy) { How::Left } else { How::Unproven };
                let (table_id, host, from, class) = (None, None, *zone, *class);
                let _ = zones;
                return Err(Witness { proxy, from, product: class, table_id, host, zone: None, how });
            }
        }
        while let Some((table_id, host)) = self.suspects.first().copied() {
            if let Some(witness) = self.find_holder(table_id, host) {
                return Err(witness);
            }
            self.suspects.pop_first();
        }
        Ok(())
    }

    /// Orders that remove entries which are still set and which a proxy may hold outside the reach: for a
    /// caller whose decisions have restarted and do not know of these entries.
    pub fn mends(&mut self, now: f64) -> Vec<Order> {
        self.advance(now);
        let mut orders = Vec::new();
        for (table, host) in self.suspects.iter().copied().collect::<Vec<_>>() {
            let spans = self.tables.get(&table).and_then(|table| table.entries.get(&host));
            let stands = spans.and_then(|spans| spans.last()).is_some_and(|last| last.to == OPEN);
            if stands && self.find_holder(table, host).is_some() {
                orders.push(Order::SetEntry { table, host, weight: 0.0 });
            }
        }
        orders
    }

    /// Number of proxies, tables, table entries and table uses kept.
    pub fn size(&self) -> [usize; 4] {
        let entries = self.tables.values().map(|table| table.entries.len()).sum();
        let uses = self.proxies.values().map(|proxy| proxy.uses.len()).sum();
        [self.proxies.len(), self.tables.len(), entries, uses]
    }

    fn is_gone(&self, proxy: ProxyId) -> bool {
        self.proxies.get(&proxy).is_none_or(|known| known.left.is_some())
    }

    /// Applies what is due by `now`: ends of grace periods and of the waits for retry reports.
    fn advance(&mut self, now: f64) {
        while let Some((_, host)) = self.moved.front().copied().filter(|moved| moved.0 <= now) {
            self.moved.pop_front();
            let Some(known) = self.hosts.get_mut(&host) else { continue };
            known.places.retain(|place| place.1 > now);
            // A host without a zone is in none of the zone sets cached for its tables.
            for table_id in known.tables.iter().filter(|_| known.places.is_empty()) {
                if let Some(table) = self.tables.get_mut(table_id) {
                    table.entry_zones = None;
                }
            }
            self.suspects.extend(known.tables.iter().map(|table_id| (*table_id, host)));
        }
        let mut retry_horizon = 0;
        while let Some(answer) = self.answers.front().copied().filter(|answer| answer.at + TOLD_BY <= now) {
            self.answers.pop_front();
            retry_horizon = if self.is_clean(&answer) { retry_horizon.max(answer.to) } else { retry_horizon };
        }
        self.raise_retry_horizon(retry_horizon);
        self.close_applied_uses();
    }

    /// No call up to that index is retried: what a retry could have brought back has ended by now.
    fn raise_retry_horizon(&mut self, retry_horizon: OrderIndex) {
        self.retry_horizon = self.retry_horizon.max(retry_horizon.min(self.at));
        self.uncertain_binds.retain(|_, at| *at > self.retry_horizon);
        let now = self.at;
        while let Some((at, what)) =
            self.repeatable.front().copied().filter(|repeatable| repeatable.0 <= self.retry_horizon)
        {
            self.repeatable.pop_front();
            let tighten = |span: &mut Span| {
                if span.repeatable && span.to == at {
                    (span.to, span.repeatable, span.end_delayed) = (now, false, true);
                }
            };
            match what {
                Repeatable::Entry(table_id, host) => {
                    let Some(table) = self.tables.get_mut(&table_id) else { continue };
                    let Some(spans) = table.entries.get_mut(&host) else { continue };
                    spans.iter_mut().for_each(tighten);
                    table.unset.push_back((now, host));
                }
                Repeatable::Host(host) => {
                    let spans = self.hosts.get_mut(&host).map(|host| &mut host.admitted);
                    spans.into_iter().flatten().for_each(tighten);
                }
                Repeatable::Use(proxy) => {
                    let Some(known) = self.proxies.get_mut(&proxy) else { continue };
                    let (zone, before) = (known.zone, known.uses.clone());
                    known.uses.iter_mut().map(|held| &mut held.span).for_each(tighten);
                    self.regroup(proxy, zone, before);
                }
            }
        }
    }

    fn accept(&mut self, orders: &[Order]) {
        let mut touched = BTreeSet::new();
        for undo in std::mem::take(&mut self.undo) {
            match undo {
                Undo::Entry(table_id, ..) => drop(touched.insert(table_id)),
                Undo::Uses(_, before) => touched.extend(before.into_iter().map(|held| held.table_id)),
                Undo::Host(..) => {}
            }
        }
        for table_id in touched {
            let gone = self
                .tables
                .get_mut(&table_id)
                .map(|table| table.prune(self.retry_horizon))
                .unwrap_or_default();
            for host in gone {
                let Some(known) = self.hosts.get_mut(&host) else { continue };
                known.tables.remove(&table_id);
                if known.forgotten {
                    self.forgotten(host);
                }
            }
        }
        for order in orders {
            match order {
                Order::Mark { mark, .. } => self.record_mark(*mark),
                Order::ForgetHost { host } => self.forgotten(*host),
                _ => {}
            }
        }
    }

    fn record_mark(&mut self, mark: MarkId) {
        let sent = Sent { at: self.at, retried: false, answered: false };
        self.marks.entry(mark).or_default().push(sent);
        self.remembered.push_back(mark);
        if self.remembered.len() > MAX_MARKS {
            if let Some(oldest) = self.remembered.pop_front() {
                let of = self.marks.entry(oldest).or_default();
                of.remove(0);
                if of.is_empty() {
                    self.marks.remove(&oldest);
                }
            }
        }
    }

    /// Applies one order and records how to undo it.
    fn apply(&mut self, order: &Order) -> Result<(), Witness> {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => self.set_entry(*table, *host),
            Order::SetEntry { table, host, .. } => {
                self.at += 1;
                self.unset_entry(*table, *host);
                Ok(())
            }
            Order::ClearTable { table } => {
                self.at += 1;
                let all = *table == TableId::ALL;
                let tables = self.tables.iter().filter(|(known, _)| all || *known == table);
                let entries = tables
                    .flat_map(|(table_id, table)| table.entries.keys().map(move |host| (*table_id, *host)));
                for (table_id, host) in entries.collect::<Vec<_>>() {
                    self.unset_entry(table_id, host);
                }
                Ok(())
            }
            Order::Withdraw { host, withdrawn: true } => {
                self.at += 1;
                let (at, retry_horizon) = (self.at, self.retry_horizon);
                let known = self.hosts.entry(*host).or_default();
                self.undo.push(Undo::Host(*host, known.admitted.clone()));
                if unset(&mut known.admitted, at, retry_horizon) == Some(true) {
                    self.repeatable.push_back((at, Repeatable::Host(*host)));
                }
                Ok(())
            }
            Order::Withdraw { host, withdrawn: false } => self.restore(*host),
            Order::Bind { proxy, table, classes } => self.bind(*proxy, *table, *classes),
            _ => Ok(()),
        }
    }

    fn set_entry(&mut self, table_id: TableId, host: HostId) -> Result<(), Witness> {
        self.at += 1;
        if table_id == TableId::ALL {
            let (proxy, from, class) = (ProxyId(0), ZoneId(0), ClassId(0));
            let (table_id, host, zone, how) = (Some(table_id), Some(host), None, How::AllTables);
            return Err(Witness { proxy, from, product: class, table_id, host, zone, how });
        }
        let at = self.at;
        self.hosts.entry(host).or_default();
        let table = self.tables.entry(table_id).or_default();
        let mut entry = table.entries.get(&host).cloned().unwrap_or_default();
        set(&mut entry, at);
        if self.hosts[&host].after(at) {
            let excluded_groups = self.excluded_groups(table_id, host);
            if !excluded_groups.is_empty() {
                let conditions =
                    [Condition::from_spans(&entry), Condition::from_spans(&self.hosts[&host].admitted)];
                self.check_groups(table_id, host, excluded_groups, &conditions, How::Line)?;
            }
        }
        let (Some(known), Some(table)) = (self.hosts.get_mut(&host), self.tables.get_mut(&table_id)) else {
            return Ok(());
        };
        self.undo.push(Undo::Entry(table_id, host, table.entries.insert(host, entry)));
        known.tables.insert(table_id);
        table.entry_zones = table.entry_zones.map(|entry_zones| {
            known.places.iter().fold(entry_zones, |all, place| all.union(Zones::one(place.0)))
        });
        // A host that is not listed, or in a zone beyond the capacity of `Zones`, is in no zone set.
        if known.places.is_empty() || known.places.iter().any(|place| place.0 .0 >= Zones::CAPACITY) {
            table.entry_zones = None;
        }
        Ok(())
    }

    fn unset_entry(&mut self, table_id: TableId, host: HostId) {
        let (at, retry_horizon) = (self.at, self.retry_horizon);
        let Some(table) = self.tables.get_mut(&table_id) else { return };
        let Some(spans) = table.entries.get_mut(&host) else { return };
        self.undo.push(Undo::Entry(table_id, host, Some(spans.clone())));
        if unset(spans, at, retry_horizon) == Some(true) {
            self.repeatable.push_back((at, Repeatable::Entry(table_id, host)));
        }
        table.unset.push_back((at, host));
    }

    fn restore(&mut self, host: HostId) -> Result<(), Witness> {
        self.at += 1;
        let at = self.at;
        let known = self.hosts.entry(host).or_default();
        let mut admitted = known.admitted.clone();
        set(&mut admitted, at);
        for table_id in known.tables.clone() {
            let spans = self.tables.get(&table_id).and_then(|table| table.entries.get(&host));
            let Some(spans) = spans.filter(|spans| spans.iter().any(|span| span.end() > at)) else {
                continue;
            };
            let conditions = [Condition::from_spans(spans), Condition::from_spans(&admitted)];
            let excluded_groups = self.excluded_groups(table_id, host);
            self.check_groups(table_id, host, excluded_groups, &conditions, How::LetIn)?;
        }
        let known = self.hosts.entry(host).or_default();
        self.undo.push(Undo::Host(host, std::mem::replace(&mut known.admitted, admitted)));
        Ok(())
    }

    fn bind(&mut self, proxy: ProxyId, table_id: TableId, products: ClassSet) -> Result<(), Witness> {
        self.at += 1;
        let (at, retry_horizon) = (self.at, self.retry_horizon);
        let mask = if products == ClassSet::ALL { self.all_classes } else { products.0 & self.all_classes };
        let joined = |known: &&Proxy| known.left.is_none() && table_id != TableId::ALL;
        let Some(known) = self.proxies.get(&proxy).filter(joined) else {
            let how = if table_id == TableId::ALL { How::AllTables } else { How::NotJoined };
            let (from, class, table_id) = (ZoneId(0), ClassId(0), Some(table_id));
            return Err(Witness { proxy, from, product: class, table_id, host: None, zone: None, how });
        };
        let (zone, before) = (known.zone, known.uses.clone());
        let allowed = self.allowed(zone, mask);
        let mut uses = Vec::with_capacity(before.len() + 1);
        for held in &before {
            let ends = held.mask & mask;
            if held.span.to != OPEN || ends == 0 {
                uses.push(*held);
                continue;
            }
            let stays = held.mask & !mask;
            if stays != 0 {
                uses.push(Use { mask: stays, ..*held });
            }
            let repeatable = held.span.from > retry_horizon;
            if repeatable {
                self.repeatable.push_back((at, Repeatable::Use(proxy)));
            }
            uses.push(Use { mask: ends, span: Span { to: at, repeatable, ..held.span }, ..*held });
        }
        uses.push(Use { table_id, mask, span: Span::open(at) });
        for host in self.excluded_hosts(table_id, allowed, at) {
            let entry = self.tables.get(&table_id).and_then(|table| table.entries.get(&host));
            let conditions = [
                Condition::from_spans(entry.map_or(&[], Vec::as_slice)),
                Condition::from_spans(&self.hosts[&host].admitted),
            ];
            if let Some(class) =
                self.first_coinciding_class(proxy, zone, &uses, (table_id, mask), host, &conditions)
            {
                let place = self.hosts[&host].zone();
                let (table_id, host) = (Some(table_id), Some(host));
                return Err(Witness {
                    proxy,
                    from: zone,
                    product: class,
                    table_id,
                    host,
                    zone: place,
                    how: How::Bind,
                });
            }
        }
        self.undo.push(Undo::Uses(proxy, before.clone()));
        self.proxies.entry(proxy).and_modify(|known| known.uses = uses);
        self.regroup(proxy, zone, before);
        Ok(())
    }

    fn roll_back(&mut self, to: usize) {
        while self.undo.len() > to {
            match self.undo.pop() {
                Some(Undo::Entry(table_id, host, spans)) => {
                    let Some(table) = self.tables.get_mut(&table_id) else { continue };
                    match spans {
                        Some(spans) => drop(table.entries.insert(host, spans)),
                        None => {
                            table.entries.remove(&host);
                            table.entry_zones = None;
                            self.hosts.get_mut(&host).map(|host| host.tables.remove(&table_id));
                        }
                    }
                }
                Some(Undo::Host(host, spans)) => self.hosts.entry(host).or_default().admitted = spans,
                Some(Undo::Uses(proxy, uses)) => {
                    let Some(known) = self.proxies.get_mut(&proxy) else { continue };
                    let (zone, before) = (known.zone, std::mem::replace(&mut known.uses, uses));
                    self.regroup(proxy, zone, before);
                }
                None => {}
            }
        }
    }

    /// Replaces the proxy's former uses, recorded under its former zone, with its current ones. Returns
    /// the tables that it uses newly or for longer.
    fn regroup(&mut self, proxy: ProxyId, zone: ZoneId, before: Vec<Use>) -> BTreeSet<TableId> {
        let mut widened = BTreeSet::new();
        let Some(known) = self.proxies.get(&proxy) else { return widened };
        let uses = |zone: ZoneId, uses: &[Use]| uses.iter().map(|held| (zone, *held)).collect::<Vec<_>>();
        let (old, new) = (uses(zone, &before), uses(known.zone, &known.uses));
        for (zone, held) in old.iter().filter(|held| !new.contains(held)) {
            let Some(table) = self.tables.get_mut(&held.table_id) else { continue };
            let group = table.groups.entry((*zone, held.mask)).or_default();
            group.remove(proxy, &held.span, known.floor);
            if group.is_empty() {
                table.groups.remove(&(*zone, held.mask));
            }
        }
        for (zone, held) in new.iter().filter(|held| !old.contains(held)) {
            let table = self.tables.entry(held.table_id).or_default();
            table.groups.entry((*zone, held.mask)).or_default().add(proxy, &held.span, known.floor);
            widened.insert(held.table_id);
        }
        widened
    }

    /// The proxy has confirmed the state ordered here for these classes.
    fn confirm_classes(&mut self, proxy: ProxyId, zone: ZoneId, mask: u64) {
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let newly = known.unproven & mask;
        known.unproven &= !mask;
        for class in classes_in(newly) {
            self.unproven.get_mut(&(zone, class)).map(|proxies| proxies.remove(&proxy));
        }
    }

    /// Drops the state of a proxy that left at least a linger ago. A bind that may still be in flight
    /// takes effect if the proxy comes back, so it is kept. Returns whether nothing is left.
    fn release(&mut self, proxy: ProxyId, lingered_horizon: OrderIndex) -> bool {
        let Some(known) = self.proxies.get_mut(&proxy) else { return true };
        let (zone, before, join_horizon) =
            (known.zone, known.uses.clone(), self.join_horizon.max(lingered_horizon));
        known.uses.retain(|held| held.span.set > join_horizon);
        let gone = known.uses.is_empty();
        self.regroup(proxy, zone, before);
        self.confirm_classes(proxy, zone, self.all_classes);
        if gone {
            self.proxies.remove(&proxy);
        }
        gone
    }

    fn reopen_entry(&mut self, table_id: TableId, host: HostId) {
        let spans = self.tables.get_mut(&table_id).and_then(|table| table.entries.get_mut(&host));
        if let Some(spans) = spans {
            reopen(spans);
            self.suspects.insert((table_id, host));
        }
    }

    fn allowed(&mut self, zone: ZoneId, mask: u64) -> Zones {
        let reach = &self.reach;
        let of = |class| reach.get(&(class, zone)).copied().unwrap_or(Zones::ALL);
        *self
            .allowed
            .entry((zone, mask))
            .or_insert_with(|| classes_in(mask).fold(Zones::ALL, |all, class| all.intersection(of(class))))
    }

    /// Groups of proxies that use the table now or may again, and that the host may not serve.
    fn excluded_groups(&mut self, table_id: TableId, host: HostId) -> Vec<(ZoneId, u64)> {
        let Some(table) = self.tables.get(&table_id) else { return vec![] };
        let live = table.groups.iter().filter(|(_, group)| group.after(self.at)).map(|(key, _)| *key);
        let mut live: Vec<(ZoneId, u64)> = live.collect();
        live.retain(|(zone, mask)| {
            let allowed = self.allowed(*zone, *mask);
            !self.hosts[&host].within(allowed)
        });
        live
    }

    /// Fails if a proxy of these groups may hold the entry, now or while a call is retried.
    fn check_groups(
        &self,
        table_id: TableId,
        host: HostId,
        excluded_groups: Vec<(ZoneId, u64)>,
        conditions: &[Condition; 2],
        how: How,
    ) -> Result<(), Witness> {
        for (from, mask) in excluded_groups {
            for (_, proxy, bound) in self.tables[&table_id].groups[&(from, mask)].before(OPEN) {
                let uses = self.proxies.get(&proxy).map_or(&[][..], |known| &known.uses);
                if !uses.iter().any(|held| held.span.from == bound && held.span.end() > self.at) {
                    continue;
                }
                if let Some(class) =
                    self.first_coinciding_class(proxy, from, uses, (table_id, mask), host, conditions)
                {
                    let zone = self.hosts[&host].zone();
                    let (table_id, host) = (Some(table_id), Some(host));
                    return Err(Witness { proxy, from, product: class, table_id, host, zone, how });
                }
            }
        }
        Ok(())
    }

    /// The first class of the mask for which the proxy, with these uses, may hold the entry while the
    /// host is outside the reach.
    fn first_coinciding_class(
        &self,
        proxy: ProxyId,
        zone: ZoneId,
        uses: &[Use],
        (table_id, mask): (TableId, u64),
        host: HostId,
        [entry, admitted]: &[Condition; 2],
    ) -> Option<ClassId> {
        let sure = !self.uncertain_binds.contains_key(&proxy);
        classes_in(mask).find(|class| {
            let zones = self.reach.get(&(*class, zone)).copied().unwrap_or(Zones::ALL);
            let using = Condition::bound(table_id, 1 << class.0, uses, sure);
            let conditions = [using, entry.clone(), admitted.clone()];
            !self.hosts[&host].within(zones) && may_coincide(&conditions, self.retry_horizon, self.at)
        })
    }

    /// Hosts that the table's entries may name after that index, that are not withdrawn then, and that
    /// are outside the allowed zones.
    fn excluded_hosts(&mut self, table_id: TableId, allowed: Zones, at: OrderIndex) -> Vec<HostId> {
        if allowed == Zones::ALL {
            return vec![];
        }
        let Some(table) = self.tables.get_mut(&table_id) else { return vec![] };
        let hosts = &self.hosts;
        let zones = |host: &HostId| {
            let places = hosts[host].places.iter();
            let nowhere = hosts[host].places.is_empty() || places.clone().any(|p| p.0 .0 >= Zones::CAPACITY);
            if nowhere {
                Zones::ALL
            } else {
                places.map(|place| place.0).collect()
            }
        };
        let entry_zones = table
            .entry_zones
            .unwrap_or_else(|| table.entries.keys().fold(Zones::NONE, |all, host| all.union(zones(host))));
        table.entry_zones = Some(entry_zones);
        if entry_zones.difference(allowed).is_empty() {
            return vec![];
        }
        let outside = table.entries.iter().filter(|(host, spans)| {
            let host = &hosts[host];
            !host.within(allowed) && host.after(at) && spans.iter().any(|span| span.end() > at)
        });
        outside.map(|(host, _)| *host).collect()
    }

    /// Queues the table's entries outside the reach for the next [`Judge::settled`].
    fn recheck_table(&mut self, table_id: TableId) {
        let Some(table) = self.tables.get(&table_id) else { return };
        let groups: Vec<(ZoneId, u64)> = table.groups.keys().copied().collect();
        let allowed: Vec<Zones> = groups.into_iter().map(|(zone, mask)| self.allowed(zone, mask)).collect();
        if allowed.iter().all(|zones| *zones == Zones::ALL) {
            return;
        }
        let entries = self.tables.get(&table_id).into_iter().flat_map(|table| table.entries.keys());
        let outside = |host: &&HostId| allowed.iter().any(|zones| !self.hosts[host].within(*zones));
        self.suspects.extend(entries.filter(outside).map(|host| (table_id, *host)));
    }

    /// A proxy that may hold the entry while it is outside the reach.
    fn find_holder(&mut self, table_id: TableId, host: HostId) -> Option<Witness> {
        let keys: Vec<(ZoneId, u64)> = self.tables.get(&table_id)?.groups.keys().copied().collect();
        for (zone, mask) in keys {
            let allowed = self.allowed(zone, mask);
            let (table, known) = (self.tables.get(&table_id)?, self.hosts.get(&host)?);
            if known.within(allowed) {
                continue;
            }
            for entry in table.entries.get(&host).into_iter().flatten() {
                for admitted in &known.admitted {
                    let (from, end) = (entry.from.max(admitted.from), entry.end().min(admitted.end()));
                    let uses = table.groups[&(zone, mask)].before(end);
                    let meets = |(low, proxy, bound): &(OrderIndex, ProxyId, OrderIndex)| {
                        let uses = self.proxies.get(proxy).into_iter().flat_map(|known| &known.uses);
                        let mut held =
                            uses.filter(|held| held.table_id == table_id && held.span.from == *bound);
                        held.any(|held| from.max(*low) < end.min(held.span.end()))
                    };
                    if let Some((_, proxy, _)) = uses.into_iter().find(meets) {
                        let (class, place) = (self.first_excluded_class(zone, mask, host), known.zone());
                        let how = if self.is_gone(proxy) { How::Left } else { How::Held };
                        let (table_id, host) = (Some(table_id), Some(host));
                        return Some(Witness {
                            proxy,
                            from: zone,
                            product: class,
                            table_id,
                            host,
                            zone: place,
                            how,
                        });
                    }
                }
            }
        }
        None
    }

    /// The first class of the mask that the host may not serve.
    fn first_excluded_class(&self, zone: ZoneId, mask: u64, host: HostId) -> ClassId {
        let within = |class: &ClassId| {
            let zones = self.reach.get(&(*class, zone)).copied().unwrap_or(Zones::ALL);
            self.hosts.get(&host).is_some_and(|host| host.within(zones))
        };
        classes_in(mask).find(|class| !within(class)).unwrap_or(ClassId(0))
    }
}

fn classes_in(mask: u64) -> impl Iterator<Item = ClassId> {
    (0..64).filter(move |place| mask & (1 << place) != 0).map(ClassId)
}
