//! The second line of defence: no reply is written that could put a line outside the reach into a proxy's hands.
//!
//! It knows which orders were accepted and what proxies have confirmed, and nothing of why. Three rules make it
//! sound whatever the channel does:
//! - a proxy has applied its orders up to the last mark that it answered, and may have applied any further ones, so
//!   each place from there on counts;
//! - a call may be carried out again until a later reply, of which no repeat was ever told, has been answered and
//!   stayed so for [`TOLD_BY`]: until then what was set and unset in between may come back;
//! - a proxy that left is as it was until the linger after it is over, and one that joins may hold anything until it
//!   is bound and has answered.
//!
//! Orders that narrow (a line taken out, a table cleared, a host shut out) always pass. A line that is set again at
//! another weight is judged as a new one. `TblId::ALL` is refused in lines and binds: the platform's page knows no
//! such thing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;

use crate::model::{meet, reopen, set, unset, At, Host, Part, Proxy, Span, Table, Use, OPEN};
use crate::reach::InUse;

/// The relay tells of a repeat after the answer's time is over and the longest pause: 50 ms and 1.5 s. The rest is
/// left to a busy process. In ms; a front that tells what was answered is not held up by it.
pub const TOLD_BY: f64 = 2_000.0;
/// Replies whose marks are remembered: at twenty a second, those of three minutes. An answer to an older one is of
/// no use.
const MARKS: usize = 4_096;

/// How something outside the reach comes, or may have come, into a proxy's hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum How {
    #[error("a line is set in a table that it uses")]
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

/// Who may hold what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "proxy {} in zone {}, product {}, table {:?}, host {:?} in zone {:?}: {how}",
    proxy.0, from.0, product.0, tbl.map(|tbl| tbl.0), host.map(|host| host.0), zone.map(|zone| zone.0)
)]
pub struct Witness {
    pub proxy: ProxyId,
    /// Its home zone.
    pub from: ZoneId,
    pub product: ClassId,
    pub tbl: Option<TableId>,
    pub host: Option<HostId>,
    /// Where the host is listed; none: it never was.
    pub zone: Option<ZoneId>,
    pub how: How,
}

/// An order that can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("order {order} would break residency: {witness}")]
pub struct Breach {
    /// Its place in the reply.
    pub order: usize,
    pub witness: Witness,
}

impl Witness {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self.how {
            How::Line | How::Bind | How::LetIn | How::AllTables | How::NotJoined => {
                "nothing was written; report the line, as the decisions should not have ordered it"
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

/// A reply without what would break residency.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sifted {
    pub orders: Vec<Order>,
    /// What was left out: the decisions have to hear of it, since they count it as ordered.
    pub refused: Vec<(Order, Breach)>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: At,
    /// A repeat of it was told.
    again: bool,
    answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: f64,
    mark: MarkId,
    /// Its place.
    to: At,
    /// Accepted orders when it was heard.
    line: At,
}

/// What may come back once a repeat ends, so that it can be bounded then.
#[derive(Clone, Copy, Debug)]
enum Loose {
    Line(TableId, HostId),
    Use(ProxyId),
    Host(HostId),
}

/// How to undo an order of a reply that is refused.
enum Undo {
    Line(TableId, HostId, Option<Vec<Span>>),
    Host(HostId, Vec<Span>),
    Uses(ProxyId, Vec<Use>),
}

pub struct Judge {
    /// The mask of all products.
    products: u64,
    /// How long a host counts for the zone that it was listed in before, ms.
    grace: f64,
    reach: InUse,
    /// What holds for products of a mask that come to a zone.
    allowed: BTreeMap<(ZoneId, u64), Zones>,
    tables: BTreeMap<TableId, Table>,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    unproven: BTreeMap<Pair, BTreeSet<ProxyId>>,
    /// Lines that may be outside the reach in a proxy's hands; no other is.
    suspects: BTreeSet<(TableId, HostId)>,
    /// Who left, and which hosts changed their zone, in order of time.
    departed: VecDeque<(f64, ProxyId)>,
    moved: VecDeque<(f64, HostId)>,
    at: At,
    /// No call up to here is carried out again.
    quiet: At,
    /// Nor was any call up to here carried out after somebody had joined of whom nothing is known yet.
    heard: At,
    /// Since when no call up to there is carried out again: once that is a linger ago, who joined before its end is
    /// known, and what did not take hold by then never will. For proxies that have left, and a steward that has none
    /// to answer a mark.
    stills: VecDeque<(f64, At)>,
    still: At,
    /// The last mark of which a repeat was told.
    again_at: At,
    marks: BTreeMap<MarkId, Vec<Sent>>,
    remembered: VecDeque<MarkId>,
    /// Marks by the time of their first answer, and how far the line went then.
    answers: VecDeque<Answer>,
    /// The furthest mark that was answered and of which no repeat was told.
    read: At,
    /// Uses of proxies that left that may be binds on their way still, and of those that joined again since, which a
    /// mark shows to have been carried out before, if it is not repeated.
    parting: BTreeSet<(At, ProxyId)>,
    /// Proxies of whose binds up to there one was given up.
    doubts: BTreeMap<ProxyId, At>,
    loose: VecDeque<(At, Loose)>,
    undo: Vec<Undo>,
}

type Pair = (ZoneId, ClassId);

impl Judge {
    /// For so many products. `grace` is that of the drain, in ms.
    pub fn new(products: u16, grace: f64) -> Judge {
        Judge {
            products: if products >= 64 { u64::MAX } else { (1 << products) - 1 },
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
            quiet: 0,
            heard: 0,
            stills: VecDeque::new(),
            still: 0,
            again_at: 0,
            marks: BTreeMap::new(),
            remembered: VecDeque::new(),
            answers: VecDeque::new(),
            read: 0,
            parting: BTreeSet::new(),
            doubts: BTreeMap::new(),
            loose: VecDeque::new(),
            undo: Vec::new(),
        }
    }

    /// The list names a host in a zone. Standing does not count here: a host that drains is shut out by the
    /// decisions, and one that is gone still has its place.
    pub fn listed(&mut self, now: f64, host: HostId, zone: ZoneId, _standing: Availability) {
        self.advance(now);
        let known = self.hosts.entry(host).or_default();
        known.forgotten = false;
        // One that was lost is there again only by this, though the grace of its place is not over.
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
        for tbl in &known.tables {
            if let Some(table) = self.tables.get_mut(tbl) {
                table.named = None;
            }
        }
    }

    /// The list names a known host in a zone that nobody knows. Where it is counts as it would had it moved, until the
    /// drain's grace ends; then it is in no zone, and no governed product may be served by it.
    pub fn lost(&mut self, now: f64, host: HostId) {
        self.advance(now);
        let Some(known) = self.hosts.get_mut(&host) else { return };
        // A list that says so again does not lengthen the grace.
        if known.places.last().is_some_and(|place| place.1 == f64::MAX) {
            let until = now + self.grace;
            known.places.iter_mut().for_each(|place| place.1 = place.1.min(until));
            self.moved.push_back((until, host));
        }
    }

    /// No order will name the host again: it is let go once no line can.
    pub fn forgotten(&mut self, host: HostId) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.forgotten = true;
            if known.tables.is_empty() {
                self.hosts.remove(&host);
            }
        }
    }

    /// What it holds is not known, fresh or not: a fresh one holds a standing table that nobody here ordered. What
    /// it was bound to before may still be on its way to it.
    pub fn joined(&mut self, now: f64, proxy: ProxyId, zone: ZoneId, _fresh: bool) {
        self.advance(now);
        self.part(proxy);
        let at = self.at;
        // What a mark that was answered before it came has behind it was carried out before it came.
        let uses = self.proxies.get(&proxy).into_iter().flat_map(|known| &known.uses);
        for held in uses.filter(|held| held.span.to == OPEN) {
            match held.span.from <= self.read {
                true => drop(self.parting.insert((held.span.from, proxy))),
                false => drop(self.parting.remove(&(held.span.from, proxy))),
            }
        }
        let new = Proxy { zone, uses: vec![], floor: at, joined: at, unproven: 0, left: None };
        let known = self.proxies.entry(proxy).or_insert(new);
        let (from, uses) = (known.zone, known.uses.clone());
        (known.zone, known.joined, known.left) = (zone, at, None);
        if from != zone {
            self.prove(proxy, from, self.products);
            let widened = self.regroup(proxy, from, uses);
            widened.into_iter().for_each(|tbl| self.suspect(tbl));
        }
        let known = self.proxies.get_mut(&proxy).map(|known| &mut known.unproven);
        known.into_iter().for_each(|unproven| *unproven = self.products);
        for product in each(self.products) {
            self.unproven.entry((zone, product)).or_default().insert(proxy);
        }
    }

    pub fn left(&mut self, now: f64, proxy: ProxyId) {
        self.advance(now);
        if let Some(known) = self.proxies.get_mut(&proxy).filter(|known| known.left.is_none()) {
            known.left = Some(now);
            self.departed.push_back((now, proxy));
            self.part(proxy);
        }
    }

    /// One that has gone reads no later order, and a bind that it had holds for what it was, not for what it is when
    /// it comes back. Only one that may be on its way still takes hold then.
    fn part(&mut self, proxy: ProxyId) {
        let heard = self.heard;
        let Some(known) = self.proxies.get(&proxy) else { return };
        let open = known.uses.iter().filter(|held| held.span.to == OPEN && held.span.from > heard);
        self.parting.extend(open.map(|held| (held.span.from, proxy)));
        self.close(proxy, |held| held.span.from <= heard);
    }

    /// No later order is read through these uses of the proxy.
    fn close(&mut self, proxy: ProxyId, which: impl Fn(&Use) -> bool) {
        let end = self.at + 1;
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (zone, before) = (known.zone, known.uses.clone());
        let open = known.uses.iter_mut().filter(|held| held.span.to == OPEN && which(held));
        open.for_each(|held| held.span.to = end);
        self.regroup(proxy, zone, before);
    }

    /// Who joined before the call of a mark was carried out is known by its answer: news comes in order. So calls up
    /// to there that are not carried out again were carried out before whatever is not known yet.
    fn depart(&mut self) {
        self.heard = self.heard.max(self.quiet.min(self.read));
        while let Some((from, proxy)) = self.parting.first().copied().filter(|bind| bind.0 <= self.heard) {
            self.parting.pop_first();
            self.close(proxy, |held| held.span.from == from);
        }
    }

    /// The proxy has applied all up to the mark.
    pub fn applied(&mut self, now: f64, proxy: ProxyId, mark: MarkId) {
        self.advance(now);
        let Some(sent) = self.marks.get_mut(&mark) else { return };
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        // Decisions that start anew count their marks anew: an answer is taken for the oldest that it may be.
        let Some(place) = sent.iter().position(|sent| sent.at > known.floor) else { return };
        if sent[..place].iter().any(|earlier| earlier.again) {
            return;
        }
        let to = sent[place].at;
        let clean = !sent[place].again;
        if !std::mem::replace(&mut sent[place].answered, true) && clean {
            self.answers.push_back(Answer { at: now, mark, to, line: self.at });
        }
        // A mark that was accepted only after the answer to another: it went with a repeat of the other's call, which
        // would have been told before, or with a later call, so the other's was answered.
        let mut quiet = 0;
        while let Some(earlier) = self.answers.front().copied().filter(|earlier| earlier.line < to) {
            self.answers.pop_front();
            quiet = if self.is_clean(&earlier) { quiet.max(earlier.to) } else { quiet };
        }
        self.calm(quiet);
        self.read = if clean { self.read.max(to) } else { self.read };
        self.depart();
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let (from, zone) = (std::mem::replace(&mut known.floor, to), known.zone);
        let mut proven = 0;
        for held in &known.uses {
            let table = self.tables.entry(held.tbl).or_default();
            let key = (zone, held.mask);
            let group = table.groups.entry(key).or_default();
            if held.span.end() <= to {
                group.remove(proxy, &held.span, from);
                if group.is_empty() {
                    table.groups.remove(&key);
                }
            } else {
                group.lift(proxy, &held.span, (from, to));
            }
            if held.span.from > known.joined && held.span.from <= to {
                proven |= held.mask;
            }
        }
        known.uses.retain(|held| held.span.end() > to);
        self.prove(proxy, zone, proven);
    }

    /// No repeat of the mark's call was told.
    fn is_clean(&self, answer: &Answer) -> bool {
        let sent = self.marks.get(&answer.mark).into_iter().flatten().find(|sent| sent.at == answer.to);
        sent.is_some_and(|sent| !sent.again)
    }

    /// What holds from now on. What proxies hold already is not refused for it: see [`Judge::settled`].
    pub fn reach(&mut self, now: f64, reach: InUse) {
        self.advance(now);
        let before = std::mem::replace(&mut self.reach, reach);
        self.allowed.clear();
        let of = |all: &InUse, pair| all.get(pair).copied().unwrap_or(Zones::ALL);
        let pairs = before.keys().chain(self.reach.keys());
        let changed: BTreeSet<Pair> = pairs
            .filter(|pair| of(&before, pair) != of(&self.reach, pair))
            .map(|(product, zone)| (*zone, *product))
            .collect();
        let zones: BTreeSet<ZoneId> = changed.iter().map(|pair| pair.0).collect();
        let tables = self.tables.iter().filter(|(_, table)| {
            table.groups.keys().any(|(zone, mask)| {
                zones.contains(zone) && each(*mask).any(|product| changed.contains(&(*zone, product)))
            })
        });
        for tbl in tables.map(|(tbl, _)| *tbl).collect::<Vec<_>>() {
            self.suspect(tbl);
        }
    }

    /// Judges a reply. Accepted, it counts as written; refused, nothing has changed.
    ///
    /// # Errors
    /// The first order that could put a line outside the reach into a proxy's hands.
    pub fn judge(&mut self, now: f64, orders: &[Order]) -> Result<(), Breach> {
        self.advance(now);
        let (at, loose) = (self.at, self.loose.len());
        self.undo.clear();
        for (place, order) in orders.iter().enumerate() {
            if let Err(witness) = self.take(order) {
                self.roll_back(0);
                self.loose.truncate(loose);
                self.at = at;
                return Err(Breach { order: place, witness });
            }
        }
        self.accept(orders);
        Ok(())
    }

    /// Judges a reply order by order: what breaks the reach is left out, the rest counts as written. That is safe
    /// for the reach alone; what it costs in service is for the decisions to mend, once they have heard of it.
    pub fn sift(&mut self, now: f64, orders: Vec<Order>) -> Sifted {
        self.advance(now);
        self.undo.clear();
        let mut sifted = Sifted::default();
        for (place, order) in orders.into_iter().enumerate() {
            let (at, loose, undo) = (self.at, self.loose.len(), self.undo.len());
            match self.take(&order) {
                Ok(()) => sifted.orders.push(order),
                Err(witness) => {
                    self.roll_back(undo);
                    self.loose.truncate(loose);
                    self.at = at;
                    sifted.refused.push((order, Breach { order: place, witness }));
                }
            }
        }
        self.accept(&sifted.orders);
        sifted
    }

    /// What went with this mark may have been carried out and may be again.
    pub fn unsure(&mut self, mark: MarkId) {
        let mut answered = false;
        for sent in self.marks.get_mut(&mark).into_iter().flatten() {
            sent.again = true;
            answered |= sent.answered;
            self.again_at = self.again_at.max(sent.at);
        }
        // Its answer may be to the first of two calls: it proves nothing of those that came since.
        if answered {
            self.read = self.heard;
            let gone = |proxy: &ProxyId| self.proxies.get(proxy).is_some_and(|known| known.left.is_some());
            self.parting.retain(|(_, proxy)| gone(proxy));
        }
    }

    /// How far the line of accepted orders goes. The front can hold on to it with a reply, for [`Judge::answered`].
    pub fn place(&self) -> u64 {
        self.at
    }

    /// The relay has answered for all orders up to that place, and nothing of them will be written again. It is
    /// found out by marks too, but later, and not where no proxy is there to answer one: a front should tell it
    /// whenever nothing waits at its relay.
    pub fn answered(&mut self, place: u64) {
        // Where a repeat was told, an answer to a mark may be to the first of two calls. So what was loose counts
        // until an answer to a later mark: it ends at a place of its own.
        if self.again_at > self.quiet && !self.loose.is_empty() {
            self.at += 1;
        }
        self.calm(place);
        self.depart();
    }

    /// The relay did not take these: what they would have ended may go on, and what they would have begun may have
    /// begun all the same.
    pub fn gave_up(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *weight <= 0.0 => self.reopen_line(*table, *host),
                Order::ClearTable { table } => {
                    let hosts = self.tables.get(table).map(|table| table.lines.keys().copied().collect());
                    let hosts: Vec<HostId> = hosts.unwrap_or_default();
                    hosts.into_iter().for_each(|host| self.reopen_line(*table, host));
                }
                Order::Withdraw { host, withdrawn: true } => {
                    let Some(known) = self.hosts.get_mut(host) else { continue };
                    reopen(&mut known.inside);
                    self.suspects.extend(known.tables.iter().map(|tbl| (*tbl, *host)));
                }
                Order::Bind { proxy, .. } => {
                    let Some(known) = self.proxies.get_mut(proxy) else { continue };
                    let (zone, before) = (known.zone, known.uses.clone());
                    known.uses.iter_mut().for_each(|held| held.span = Span::open(held.span.from));
                    self.doubts.insert(*proxy, self.at);
                    let widened = self.regroup(*proxy, zone, before);
                    widened.into_iter().for_each(|tbl| self.suspect(tbl));
                    // It may not be bound at all.
                    if let Some(known) = self.proxies.get_mut(proxy) {
                        (known.unproven, known.joined) = (self.products, self.at);
                    }
                    for product in each(self.products) {
                        self.unproven.entry((zone, product)).or_default().insert(*proxy);
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether no proxy that is joined, and none that left less than the linger ago, can hold a line outside the
    /// reach that holds now.
    ///
    /// # Errors
    /// One that can, or may for all that is known.
    pub fn settled(&mut self, now: f64, linger: f64) -> Result<(), Witness> {
        self.advance(now);
        if self.stills.back().map_or(self.still, |last| last.1) < self.quiet {
            self.stills.push_back((now, self.quiet));
        }
        // Nothing up to there has been on its way for as long as a linger: no bind of it can take hold any more.
        while let Some((_, quiet)) = self.stills.front().copied().filter(|still| still.0 + linger <= now) {
            self.stills.pop_front();
            self.still = quiet;
        }
        let still = self.still;
        let mut kept = Vec::new();
        while let Some((left, proxy)) = self.departed.front().copied().filter(|left| left.0 + linger <= now) {
            self.departed.pop_front();
            if self.proxies.get(&proxy).is_some_and(|known| known.left == Some(left))
                && !self.let_go(proxy, still)
            {
                kept.push((left, proxy));
            }
        }
        kept.into_iter().rev().for_each(|departed| self.departed.push_front(departed));
        for ((product, zone), zones) in self.reach.iter().filter(|(_, zones)| **zones != Zones::ALL) {
            let unproven = self.unproven.get(&(*zone, *product)).and_then(BTreeSet::first);
            if let Some(proxy) = unproven.copied() {
                let how = if self.is_gone(proxy) { How::Left } else { How::Unproven };
                let (tbl, host, from, product) = (None, None, *zone, *product);
                let _ = zones;
                return Err(Witness { proxy, from, product, tbl, host, zone: None, how });
            }
        }
        while let Some((tbl, host)) = self.suspects.first().copied() {
            if let Some(witness) = self.held(tbl, host) {
                return Err(witness);
            }
            self.suspects.pop_first();
        }
        Ok(())
    }

    /// Orders that take out what nobody has taken out and a proxy may hold outside the reach: for a front whose
    /// decisions have started anew and know of no such line.
    pub fn mends(&mut self, now: f64) -> Vec<Order> {
        self.advance(now);
        let mut orders = Vec::new();
        for (table, host) in self.suspects.iter().copied().collect::<Vec<_>>() {
            let spans = self.tables.get(&table).and_then(|table| table.lines.get(&host));
            let stands = spans.and_then(|spans| spans.last()).is_some_and(|last| last.to == OPEN);
            if stands && self.held(table, host).is_some() {
                orders.push(Order::SetEntry { table, host, weight: 0.0 });
            }
        }
        orders
    }

    /// How much is kept: proxies, tables, lines in tables, uses of tables.
    pub fn size(&self) -> [usize; 4] {
        let lines = self.tables.values().map(|table| table.lines.len()).sum();
        let uses = self.proxies.values().map(|proxy| proxy.uses.len()).sum();
        [self.proxies.len(), self.tables.len(), lines, uses]
    }

    fn is_gone(&self, proxy: ProxyId) -> bool {
        self.proxies.get(&proxy).is_none_or(|known| known.left.is_some())
    }

    /// What is due by time.
    fn advance(&mut self, now: f64) {
        while let Some((_, host)) = self.moved.front().copied().filter(|moved| moved.0 <= now) {
            self.moved.pop_front();
            let Some(known) = self.hosts.get_mut(&host) else { continue };
            known.places.retain(|place| place.1 > now);
            // One that is nowhere by now is in no set of zones that was kept for its tables.
            for tbl in known.tables.iter().filter(|_| known.places.is_empty()) {
                if let Some(table) = self.tables.get_mut(tbl) {
                    table.named = None;
                }
            }
            self.suspects.extend(known.tables.iter().map(|tbl| (*tbl, host)));
        }
        let mut quiet = 0;
        while let Some(answer) = self.answers.front().copied().filter(|answer| answer.at + TOLD_BY <= now) {
            self.answers.pop_front();
            quiet = if self.is_clean(&answer) { quiet.max(answer.to) } else { quiet };
        }
        self.calm(quiet);
        self.depart();
    }

    /// No call up to there is carried out again: what was loose is over by now.
    fn calm(&mut self, quiet: At) {
        self.quiet = self.quiet.max(quiet.min(self.at));
        self.doubts.retain(|_, at| *at > self.quiet);
        let now = self.at;
        while let Some((at, what)) = self.loose.front().copied().filter(|loose| loose.0 <= self.quiet) {
            self.loose.pop_front();
            let tighten = |span: &mut Span| {
                if span.loose && span.to == at {
                    (span.to, span.loose, span.late) = (now, false, true);
                }
            };
            match what {
                Loose::Line(tbl, host) => {
                    let Some(table) = self.tables.get_mut(&tbl) else { continue };
                    let Some(spans) = table.lines.get_mut(&host) else { continue };
                    spans.iter_mut().for_each(tighten);
                    table.unset.push_back((now, host));
                }
                Loose::Host(host) => {
                    let spans = self.hosts.get_mut(&host).map(|host| &mut host.inside);
                    spans.into_iter().flatten().for_each(tighten);
                }
                Loose::Use(proxy) => {
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
                Undo::Line(tbl, ..) => drop(touched.insert(tbl)),
                Undo::Uses(_, before) => touched.extend(before.into_iter().map(|held| held.tbl)),
                Undo::Host(..) => {}
            }
        }
        for tbl in touched {
            let gone = self.tables.get_mut(&tbl).map(|table| table.prune(self.quiet)).unwrap_or_default();
            for host in gone {
                let Some(known) = self.hosts.get_mut(&host) else { continue };
                known.tables.remove(&tbl);
                if known.forgotten {
                    self.forgotten(host);
                }
            }
        }
        for order in orders {
            match order {
                Order::Mark { mark, .. } => self.sent(*mark),
                Order::ForgetHost { host } => self.forgotten(*host),
                _ => {}
            }
        }
    }

    fn sent(&mut self, mark: MarkId) {
        let sent = Sent { at: self.at, again: false, answered: false };
        self.marks.entry(mark).or_default().push(sent);
        self.remembered.push_back(mark);
        if self.remembered.len() > MARKS {
            if let Some(oldest) = self.remembered.pop_front() {
                let of = self.marks.entry(oldest).or_default();
                of.remove(0);
                if of.is_empty() {
                    self.marks.remove(&oldest);
                }
            }
        }
    }

    /// Takes one order up, with how to undo it.
    fn take(&mut self, order: &Order) -> Result<(), Witness> {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => self.line(*table, *host),
            Order::SetEntry { table, host, .. } => {
                self.at += 1;
                self.unset_line(*table, *host);
                Ok(())
            }
            Order::ClearTable { table } => {
                self.at += 1;
                let all = *table == TableId::ALL;
                let tables = self.tables.iter().filter(|(known, _)| all || *known == table);
                let lines = tables.flat_map(|(tbl, table)| table.lines.keys().map(move |host| (*tbl, *host)));
                for (tbl, host) in lines.collect::<Vec<_>>() {
                    self.unset_line(tbl, host);
                }
                Ok(())
            }
            Order::Withdraw { host, withdrawn: true } => {
                self.at += 1;
                let (at, quiet) = (self.at, self.quiet);
                let known = self.hosts.entry(*host).or_default();
                self.undo.push(Undo::Host(*host, known.inside.clone()));
                if unset(&mut known.inside, at, quiet) == Some(true) {
                    self.loose.push_back((at, Loose::Host(*host)));
                }
                Ok(())
            }
            Order::Withdraw { host, withdrawn: false } => self.let_in(*host),
            Order::Bind { proxy, table, classes } => self.bind(*proxy, *table, *classes),
            _ => Ok(()),
        }
    }

    fn line(&mut self, tbl: TableId, host: HostId) -> Result<(), Witness> {
        self.at += 1;
        if tbl == TableId::ALL {
            let (proxy, from, product) = (ProxyId(0), ZoneId(0), ClassId(0));
            let (tbl, host, zone, how) = (Some(tbl), Some(host), None, How::AllTables);
            return Err(Witness { proxy, from, product, tbl, host, zone, how });
        }
        let at = self.at;
        self.hosts.entry(host).or_default();
        let table = self.tables.entry(tbl).or_default();
        let mut line = table.lines.get(&host).cloned().unwrap_or_default();
        set(&mut line, at);
        if self.hosts[&host].after(at) {
            let strangers = self.strangers(tbl, host);
            if !strangers.is_empty() {
                let parts = [Part::of(&line), Part::of(&self.hosts[&host].inside)];
                self.outside(tbl, host, strangers, &parts, How::Line)?;
            }
        }
        let (Some(known), Some(table)) = (self.hosts.get_mut(&host), self.tables.get_mut(&tbl)) else {
            return Ok(());
        };
        self.undo.push(Undo::Line(tbl, host, table.lines.insert(host, line)));
        known.tables.insert(tbl);
        table.named = table
            .named
            .map(|named| known.places.iter().fold(named, |all, place| all.union(Zones::one(place.0))));
        // What is not listed, or in a zone that no set can tell apart, is in no set.
        if known.places.is_empty() || known.places.iter().any(|place| place.0 .0 >= Zones::CAPACITY) {
            table.named = None;
        }
        Ok(())
    }

    fn unset_line(&mut self, tbl: TableId, host: HostId) {
        let (at, quiet) = (self.at, self.quiet);
        let Some(table) = self.tables.get_mut(&tbl) else { return };
        let Some(spans) = table.lines.get_mut(&host) else { return };
        self.undo.push(Undo::Line(tbl, host, Some(spans.clone())));
        if unset(spans, at, quiet) == Some(true) {
            self.loose.push_back((at, Loose::Line(tbl, host)));
        }
        table.unset.push_back((at, host));
    }

    fn let_in(&mut self, host: HostId) -> Result<(), Witness> {
        self.at += 1;
        let at = self.at;
        let known = self.hosts.entry(host).or_default();
        let mut inside = known.inside.clone();
        set(&mut inside, at);
        for tbl in known.tables.clone() {
            let spans = self.tables.get(&tbl).and_then(|table| table.lines.get(&host));
            let Some(spans) = spans.filter(|spans| spans.iter().any(|span| span.end() > at)) else {
                continue;
            };
            let parts = [Part::of(spans), Part::of(&inside)];
            let strangers = self.strangers(tbl, host);
            self.outside(tbl, host, strangers, &parts, How::LetIn)?;
        }
        let known = self.hosts.entry(host).or_default();
        self.undo.push(Undo::Host(host, std::mem::replace(&mut known.inside, inside)));
        Ok(())
    }

    fn bind(&mut self, proxy: ProxyId, tbl: TableId, products: ClassSet) -> Result<(), Witness> {
        self.at += 1;
        let (at, quiet) = (self.at, self.quiet);
        let mask = if products == ClassSet::ALL { self.products } else { products.0 & self.products };
        let joined = |known: &&Proxy| known.left.is_none() && tbl != TableId::ALL;
        let Some(known) = self.proxies.get(&proxy).filter(joined) else {
            let how = if tbl == TableId::ALL { How::AllTables } else { How::NotJoined };
            let (from, product, tbl) = (ZoneId(0), ClassId(0), Some(tbl));
            return Err(Witness { proxy, from, product, tbl, host: None, zone: None, how });
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
            let loose = held.span.from > quiet;
            if loose {
                self.loose.push_back((at, Loose::Use(proxy)));
            }
            uses.push(Use { mask: ends, span: Span { to: at, loose, ..held.span }, ..*held });
        }
        uses.push(Use { tbl, mask, span: Span::open(at) });
        for host in self.named_outside(tbl, allowed, at) {
            let line = self.tables.get(&tbl).and_then(|table| table.lines.get(&host));
            let parts = [Part::of(line.map_or(&[], Vec::as_slice)), Part::of(&self.hosts[&host].inside)];
            if let Some(product) = self.meet(proxy, zone, &uses, (tbl, mask), host, &parts) {
                let place = self.hosts[&host].zone();
                let (tbl, host) = (Some(tbl), Some(host));
                return Err(Witness { proxy, from: zone, product, tbl, host, zone: place, how: How::Bind });
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
                Some(Undo::Line(tbl, host, spans)) => {
                    let Some(table) = self.tables.get_mut(&tbl) else { continue };
                    match spans {
                        Some(spans) => drop(table.lines.insert(host, spans)),
                        None => {
                            table.lines.remove(&host);
                            table.named = None;
                            self.hosts.get_mut(&host).map(|host| host.tables.remove(&tbl));
                        }
                    }
                }
                Some(Undo::Host(host, spans)) => self.hosts.entry(host).or_default().inside = spans,
                Some(Undo::Uses(proxy, uses)) => {
                    let Some(known) = self.proxies.get_mut(&proxy) else { continue };
                    let (zone, before) = (known.zone, std::mem::replace(&mut known.uses, uses));
                    self.regroup(proxy, zone, before);
                }
                None => {}
            }
        }
    }

    /// What a proxy used, of a zone that it was in, gives way to what it uses now. Returns the tables that it is
    /// in anew, or for longer.
    fn regroup(&mut self, proxy: ProxyId, zone: ZoneId, before: Vec<Use>) -> BTreeSet<TableId> {
        let mut widened = BTreeSet::new();
        let Some(known) = self.proxies.get(&proxy) else { return widened };
        let uses = |zone: ZoneId, uses: &[Use]| uses.iter().map(|held| (zone, *held)).collect::<Vec<_>>();
        let (old, new) = (uses(zone, &before), uses(known.zone, &known.uses));
        for (zone, held) in old.iter().filter(|held| !new.contains(held)) {
            let Some(table) = self.tables.get_mut(&held.tbl) else { continue };
            let group = table.groups.entry((*zone, held.mask)).or_default();
            group.remove(proxy, &held.span, known.floor);
            if group.is_empty() {
                table.groups.remove(&(*zone, held.mask));
            }
        }
        for (zone, held) in new.iter().filter(|held| !old.contains(held)) {
            let table = self.tables.entry(held.tbl).or_default();
            table.groups.entry((*zone, held.mask)).or_default().add(proxy, &held.span, known.floor);
            widened.insert(held.tbl);
        }
        widened
    }

    /// The proxy holds what was ordered here, for these products.
    fn prove(&mut self, proxy: ProxyId, zone: ZoneId, mask: u64) {
        let Some(known) = self.proxies.get_mut(&proxy) else { return };
        let newly = known.unproven & mask;
        known.unproven &= !mask;
        for product in each(newly) {
            self.unproven.get_mut(&(zone, product)).map(|proxies| proxies.remove(&proxy));
        }
    }

    /// What it held is somebody else's by now. A bind that may still be on its way takes hold if it comes back, so
    /// that is kept; true: nothing is left.
    fn let_go(&mut self, proxy: ProxyId, still: At) -> bool {
        let Some(known) = self.proxies.get_mut(&proxy) else { return true };
        let (zone, before, heard) = (known.zone, known.uses.clone(), self.heard.max(still));
        known.uses.retain(|held| held.span.set > heard);
        let gone = known.uses.is_empty();
        self.regroup(proxy, zone, before);
        self.prove(proxy, zone, self.products);
        if gone {
            self.proxies.remove(&proxy);
        }
        gone
    }

    fn reopen_line(&mut self, tbl: TableId, host: HostId) {
        let spans = self.tables.get_mut(&tbl).and_then(|table| table.lines.get_mut(&host));
        if let Some(spans) = spans {
            reopen(spans);
            self.suspects.insert((tbl, host));
        }
    }

    fn allowed(&mut self, zone: ZoneId, mask: u64) -> Zones {
        let reach = &self.reach;
        let of = |product| reach.get(&(product, zone)).copied().unwrap_or(Zones::ALL);
        *self
            .allowed
            .entry((zone, mask))
            .or_insert_with(|| each(mask).fold(Zones::ALL, |all, product| all.intersection(of(product))))
    }

    /// Those who use the table now or may again, and may not be served by the host.
    fn strangers(&mut self, tbl: TableId, host: HostId) -> Vec<(ZoneId, u64)> {
        let Some(table) = self.tables.get(&tbl) else { return vec![] };
        let live = table.groups.iter().filter(|(_, group)| group.after(self.at)).map(|(key, _)| *key);
        let mut live: Vec<(ZoneId, u64)> = live.collect();
        live.retain(|(zone, mask)| {
            let allowed = self.allowed(*zone, *mask);
            !self.hosts[&host].within(allowed)
        });
        live
    }

    /// Whether one of them may hold the line, now or while a call is carried out again.
    fn outside(
        &self,
        tbl: TableId,
        host: HostId,
        strangers: Vec<(ZoneId, u64)>,
        parts: &[Part; 2],
        how: How,
    ) -> Result<(), Witness> {
        for (from, mask) in strangers {
            for (_, proxy, bound) in self.tables[&tbl].groups[&(from, mask)].before(OPEN) {
                let uses = self.proxies.get(&proxy).map_or(&[][..], |known| &known.uses);
                if !uses.iter().any(|held| held.span.from == bound && held.span.end() > self.at) {
                    continue;
                }
                if let Some(product) = self.meet(proxy, from, uses, (tbl, mask), host, parts) {
                    let zone = self.hosts[&host].zone();
                    let (tbl, host) = (Some(tbl), Some(host));
                    return Err(Witness { proxy, from, product, tbl, host, zone, how });
                }
            }
        }
        Ok(())
    }

    /// The first of these products for which the proxy, by these uses, may hold the line while it lies outside.
    fn meet(
        &self,
        proxy: ProxyId,
        zone: ZoneId,
        uses: &[Use],
        (tbl, mask): (TableId, u64),
        host: HostId,
        [line, inside]: &[Part; 2],
    ) -> Option<ClassId> {
        let sure = !self.doubts.contains_key(&proxy);
        each(mask).find(|product| {
            let zones = self.reach.get(&(*product, zone)).copied().unwrap_or(Zones::ALL);
            let using = Part::at(tbl, 1 << product.0, uses, sure);
            let parts = [using, line.clone(), inside.clone()];
            !self.hosts[&host].within(zones) && meet(&parts, self.quiet, self.at)
        })
    }

    /// Hosts that the table's lines name at that place or later, that are let in then, and lie outside.
    fn named_outside(&mut self, tbl: TableId, allowed: Zones, at: At) -> Vec<HostId> {
        if allowed == Zones::ALL {
            return vec![];
        }
        let Some(table) = self.tables.get_mut(&tbl) else { return vec![] };
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
        let named = table
            .named
            .unwrap_or_else(|| table.lines.keys().fold(Zones::NONE, |all, host| all.union(zones(host))));
        table.named = Some(named);
        if named.difference(allowed).is_empty() {
            return vec![];
        }
        let outside = table.lines.iter().filter(|(host, spans)| {
            let host = &hosts[host];
            !host.within(allowed) && host.after(at) && spans.iter().any(|span| span.end() > at)
        });
        outside.map(|(host, _)| *host).collect()
    }

    /// Looks at all lines of a table again, before it is said that all is settled.
    fn suspect(&mut self, tbl: TableId) {
        let Some(table) = self.tables.get(&tbl) else { return };
        let groups: Vec<(ZoneId, u64)> = table.groups.keys().copied().collect();
        let allowed: Vec<Zones> = groups.into_iter().map(|(zone, mask)| self.allowed(zone, mask)).collect();
        if allowed.iter().all(|zones| *zones == Zones::ALL) {
            return;
        }
        let lines = self.tables.get(&tbl).into_iter().flat_map(|table| table.lines.keys());
        let outside = |host: &&HostId| allowed.iter().any(|zones| !self.hosts[host].within(*zones));
        self.suspects.extend(lines.filter(outside).map(|host| (tbl, *host)));
    }

    /// Who may hold the line while it lies outside.
    fn held(&mut self, tbl: TableId, host: HostId) -> Option<Witness> {
        let keys: Vec<(ZoneId, u64)> = self.tables.get(&tbl)?.groups.keys().copied().collect();
        for (zone, mask) in keys {
            let allowed = self.allowed(zone, mask);
            let (table, known) = (self.tables.get(&tbl)?, self.hosts.get(&host)?);
            if known.within(allowed) {
                continue;
            }
            for line in table.lines.get(&host).into_iter().flatten() {
                for inside in &known.inside {
                    let (from, end) = (line.from.max(inside.from), line.end().min(inside.end()));
                    let uses = table.groups[&(zone, mask)].before(end);
                    let meets = |(low, proxy, bound): &(At, ProxyId, At)| {
                        let uses = self.proxies.get(proxy).into_iter().flat_map(|known| &known.uses);
                        let mut held = uses.filter(|held| held.tbl == tbl && held.span.from == *bound);
                        held.any(|held| from.max(*low) < end.min(held.span.end()))
                    };
                    if let Some((_, proxy, _)) = uses.into_iter().find(meets) {
                        let (product, place) = (self.product(zone, mask, host), known.zone());
                        let how = if self.is_gone(proxy) { How::Left } else { How::Held };
                        let (tbl, host) = (Some(tbl), Some(host));
                        return Some(Witness { proxy, from: zone, product, tbl, host, zone: place, how });
                    }
                }
            }
        }
        None
    }

    /// The first product of the mask that the host may not serve.
    fn product(&self, zone: ZoneId, mask: u64, host: HostId) -> ClassId {
        let within = |product: &ClassId| {
            let zones = self.reach.get(&(*product, zone)).copied().unwrap_or(Zones::ALL);
            self.hosts.get(&host).is_some_and(|host| host.within(zones))
        };
        each(mask).find(|product| !within(product)).unwrap_or(ClassId(0))
    }
}

fn each(mask: u64) -> impl Iterator<Item = ClassId> {
    (0..64).filter(move |place| mask & (1 << place) != 0).map(ClassId)
}
