//! What proxies may have in their hands. Orders stand in one line, numbered as they are accepted; each proxy has
//! applied all up to some place in it and may have applied anything after. So a thing that is set and unset again
//! is a span of places, and two things can be in a proxy's hands at once only where their spans meet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::{HostId, ProxyId, TableId, ZoneId, Zones};

/// A place in the line of orders: what stands after so many of them.
pub type At = u64;
pub const OPEN: At = At::MAX;

/// From the order that set it to the one that unset it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: At,
    /// The last order that set it, again where it stood already.
    pub set: At,
    pub to: At,
    /// It was set and unset within calls that may be carried out again: then it may come back after `to`.
    pub loose: bool,
    /// `to` is where that was over, not where it was unset.
    pub late: bool,
}

impl Span {
    pub fn open(from: At) -> Span {
        Span { from, set: from, to: OPEN, loose: false, late: false }
    }
    /// Where it is over for certain.
    pub fn end(&self) -> At {
        if self.loose {
            OPEN
        } else {
            self.to
        }
    }
}

/// More than so many are kept as fewer, longer ones: that refuses too much rather than too little.
const MOST_SPANS: usize = 4;

/// Sets from `at` on. What may come back stays a span of its own: see [`meet`] for what lies between.
pub fn set(spans: &mut Vec<Span>, at: At) {
    match spans.last_mut() {
        Some(last) if last.to == OPEN => last.set = at,
        _ => spans.push(Span::open(at)),
    }
    if spans.len() > MOST_SPANS {
        spans[1].from = spans[0].from;
        spans.remove(0);
    }
}

/// Unsets from `at` on; calls up to `quiet` are not carried out again. None: it was not set; else whether it is loose.
pub fn unset(spans: &mut [Span], at: At, quiet: At) -> Option<bool> {
    let last = spans.last_mut().filter(|last| last.to == OPEN)?;
    (last.to, last.loose) = (at, last.set > quiet);
    Some(last.loose)
}

/// What was unset may never have been: it stands until it is unset anew.
pub fn reopen(spans: &mut Vec<Span>) {
    if let Some(first) = spans.first().copied() {
        *spans = vec![Span::open(first.from)];
    }
}

/// One of the things that have to be held at once for a breach.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub on: Vec<Span>,
    /// Orders that ended it, and where it was set anew after each.
    pub off: Vec<(At, At)>,
}

impl Part {
    /// Of a line, or of a host's being let in.
    pub fn of(spans: &[Span]) -> Part {
        let gaps = spans.windows(2).filter(|two| !two[0].late).map(|two| (two[0].to, two[1].from));
        Part { on: spans.to_vec(), off: gaps.collect() }
    }

    /// Of a proxy's being at a table for a product. Where a bind may never have been carried out, it ended nothing.
    pub fn at(tbl: TableId, product: u64, uses: &[Use], sure: bool) -> Part {
        let own = uses.iter().filter(|held| held.mask & product != 0);
        let (there, elsewhere): (Vec<&Use>, Vec<&Use>) = own.partition(|held| held.tbl == tbl);
        let off = elsewhere.into_iter().filter(|_| sure).map(|held| (held.span.from, held.span.to));
        Part { on: there.into_iter().map(|held| held.span).collect(), off: off.collect() }
    }

    /// Whether it may be held at a place of a call that is carried out again from after `start`.
    fn holds(&self, start: At, place: At) -> bool {
        let ended = |(from, to): &(At, At)| start < *from && (*from..*to).contains(&place);
        let on = |span: &Span| span.to == OPEN || start < span.set && (span.from..span.to).contains(&place);
        !self.off.iter().any(ended) && self.on.iter().any(on)
    }
}

/// Whether all may be held at once, now or while calls from `quiet` on are carried out again. A call is carried out
/// again from some place on and in order. Midway a thing is as it was ordered last since that place, and what was not
/// ordered since is as it is by the end: so what flips twice in a call is not there together with all that its ends
/// are, and a line that was taken out and set anew is out again until the repeat comes to where it is set.
pub fn meet(parts: &[Part; 3], quiet: At, at: At) -> bool {
    let spans = || parts.iter().flat_map(|part| &part.on);
    let anew = parts.iter().flat_map(|part| part.off.iter().map(|off| off.1));
    let edges = spans().flat_map(|span| [span.from, span.set]).chain(anew).chain([quiet + 1, at]);
    let places: BTreeSet<At> = edges.filter(|place| (quiet + 1..=at).contains(place)).collect();
    let lasts: BTreeSet<At> = spans().map(|span| span.set.saturating_sub(1)).collect();
    places.into_iter().any(|place| {
        let starts = lasts.iter().copied().chain([place - 1]);
        let mut starts = starts.filter(|start| (quiet..place).contains(start));
        starts.any(|start| parts.iter().all(|part| part.holds(start, place)))
    })
}

/// Some products of a proxy at a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    pub tbl: TableId,
    pub mask: u64,
    pub span: Span,
}

/// Proxies of one zone that use a table for the same products.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// By the first place at which it may still be in use, the proxy, and the place of the bind.
    low: BTreeSet<(At, ProxyId, At)>,
    /// Those that no later order ends.
    open: usize,
    ended: BTreeSet<(At, ProxyId, At)>,
}

impl Group {
    pub fn add(&mut self, proxy: ProxyId, span: &Span, floor: At) {
        self.low.insert((span.from.max(floor), proxy, span.from));
        match span.end() {
            OPEN => self.open += 1,
            end => drop(self.ended.insert((end, proxy, span.from))),
        }
    }
    pub fn remove(&mut self, proxy: ProxyId, span: &Span, floor: At) {
        self.low.remove(&(span.from.max(floor), proxy, span.from));
        match span.end() {
            OPEN => self.open -= 1,
            end => drop(self.ended.remove(&(end, proxy, span.from))),
        }
    }
    /// A proxy's floor rises.
    pub fn lift(&mut self, proxy: ProxyId, span: &Span, (from, to): (At, At)) {
        if span.from < to {
            self.low.remove(&(span.from.max(from), proxy, span.from));
            self.low.insert((span.from.max(to), proxy, span.from));
        }
    }
    /// Whether any uses it at that place or later.
    pub fn after(&self, at: At) -> bool {
        self.open > 0 || self.ended.last().is_some_and(|last| last.0 > at)
    }
    pub fn is_empty(&self) -> bool {
        self.low.is_empty()
    }
    pub fn first(&self) -> At {
        self.low.first().map_or(OPEN, |first| first.0)
    }
    /// By the first place, all that begin before `end`.
    pub fn before(&self, end: At) -> impl Iterator<Item = (At, ProxyId, At)> + '_ {
        self.low.iter().copied().take_while(move |use_| use_.0 < end)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: BTreeMap<HostId, Vec<Span>>,
    /// Home zone and products, and who uses it so.
    pub groups: BTreeMap<(ZoneId, u64), Group>,
    /// At least the zones of all hosts that its lines may name; none: to be counted anew.
    pub named: Option<Zones>,
    /// Lines that were unset, by place: to be let go once nobody can hold them.
    pub unset: VecDeque<(At, HostId)>,
}

impl Table {
    /// The first place at which anyone may use it.
    pub fn first(&self) -> At {
        self.groups.values().map(Group::first).min().unwrap_or(OPEN)
    }

    /// Lets go of lines that nobody can hold any more; returns their hosts.
    pub fn prune(&mut self, quiet: At) -> Vec<HostId> {
        let (first, mut gone) = (self.first().min(quiet), Vec::new());
        while let Some((_, host)) = self.unset.front().copied().filter(|unset| unset.0 <= first) {
            self.unset.pop_front();
            let Some(spans) = self.lines.get_mut(&host) else { continue };
            spans.retain(|span| span.end() > first);
            if spans.is_empty() {
                self.lines.remove(&host);
                self.named = None;
                gone.push(host);
            }
        }
        gone
    }
}

#[derive(Clone, Debug)]
pub struct Host {
    /// Newest last; those before it count until their end.
    pub places: Vec<(ZoneId, f64)>,
    /// While it is let in. One that was never shut out is.
    pub inside: Vec<Span>,
    /// Tables whose lines may name it.
    pub tables: BTreeSet<TableId>,
    pub forgotten: bool,
}

impl Default for Host {
    fn default() -> Host {
        Host { places: Vec::new(), inside: vec![Span::open(0)], tables: BTreeSet::new(), forgotten: false }
    }
}

impl Host {
    /// Whether it may serve where only these zones may: a host that changed its zone counts for both, until the
    /// grace of the old one ends. One that was never listed is nowhere.
    pub fn within(&self, zones: Zones) -> bool {
        zones == Zones::ALL || self.places.iter().any(|(zone, _)| zones.contains(*zone))
    }
    pub fn zone(&self) -> Option<ZoneId> {
        self.places.last().map(|place| place.0)
    }
    /// Whether it may be let in at that place or later.
    pub fn after(&self, at: At) -> bool {
        self.inside.iter().any(|span| span.end() > at)
    }
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub uses: Vec<Use>,
    /// All orders up to here it has applied.
    pub floor: At,
    /// Where the line stood when it joined last.
    pub joined: At,
    /// Products for which it may hold what nobody here ordered.
    pub unproven: u64,
    pub left: Option<f64>,
}
