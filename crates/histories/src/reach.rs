//! Checks that hosts serve, and tables allow, only what the revisions permit.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::names::Names;
use crate::report::ns;
use crate::{Held, Line, Outcome, Permits, Rule, Verdict, What};

/// A revision counts as in force from the first line that proves it: a controller holds it alone, or as the
/// old revision of a joint stage (of two changes in quick succession no controller may have held the first
/// alone), or its proposal was answered to be in force. Before that line the previous revision counts: a
/// proxy that uses what only the new one permits does so under orders of a controller that already holds the
/// new one alone, and that controller wrote this down first. While the new revision may be in force but no
/// line proves it, what only the old one permits is accepted too, since the lines do not show when the
/// proxies narrowed their tables.
///
/// A host may start to serve up to the transit allowance after the proxy chose it, and a table may be late by
/// as much. So everything permitted at some time within the allowance before is accepted. A proxy that `Died`
/// has no table.
///
/// Assumes that `Revision` states what a revision permits before it is proposed, that a pair that it does not
/// name is not governed, and that names of classes, homes and zones are the same in all lines. A txn that is
/// served but was never requested is covered by [`crate::Answers`] and not judged here.
pub struct Reach {
    transit: u64,
    names: Names,
    permits: HashMap<u64, (HashMap<Pair, BTreeSet<u32>>, Line)>,
    proven: Option<u64>,
    /// Proven revisions with the time and line of the proof, oldest first, as far back as the allowance
    /// reaches.
    since: VecDeque<(u64, Option<u64>, Option<Line>)>,
    asked: HashMap<u64, Ask>,
    /// Answered txns with the time of the answer; removed after `REMEMBERED_MS`.
    ended: VecDeque<(u64, u64)>,
    tables: BTreeMap<(u32, Pair), Table>,
    /// Tables that have to be replaced: deadline, proxy and pair, and the time of the table line.
    due: VecDeque<(u64, (u32, Pair), u64)>,
    unknown: BTreeSet<u64>,
    now: u64,
    verdict: Verdict,
}

/// Request class and home zone.
type Pair = (u32, u32);

struct Ask {
    at: u64,
    who: u32,
    pair: Pair,
    tenant: Option<u32>,
    once_only: bool,
}

struct Table {
    zones: BTreeSet<u32>,
    line: Line,
}

/// How long an answered txn is remembered, ms. A host that serves a txn later than this was disconnected for
/// longer than any transit.
const REMEMBERED_MS: f64 = 60_000.0;

impl Reach {
    /// `transit` is the transit allowance in ms.
    pub fn new(transit: f64) -> Reach {
        Reach {
            transit: ns(transit),
            names: Names::default(),
            permits: HashMap::new(),
            proven: None,
            since: [(0, None, None)].into(),
            asked: HashMap::new(),
            ended: VecDeque::new(),
            tables: BTreeMap::new(),
            due: VecDeque::new(),
            unknown: BTreeSet::new(),
            now: 0,
            verdict: Verdict::default(),
        }
    }

    pub fn feed(&mut self, line: &Line) {
        self.advance(line.at);
        match &line.what {
            What::Revision { no, permits } => {
                let zones = permits.iter().map(|of| self.permit(of)).collect();
                self.permits.insert(*no, (zones, line.clone()));
            }
            What::Holds { holds: Held::Alone { no } | Held::Joint { old: Some(no), .. }, .. } => {
                self.prove(*no, line);
            }
            What::Answered { no, outcome: Outcome::InForce, .. } => self.prove(*no, line),
            What::Tables { product, home, zones } => {
                let pair = (self.names.of(product), self.names.of(home));
                let zones = zones.iter().map(|zone| self.names.of(zone)).collect();
                let who = self.names.of(&line.who);
                self.table(who, pair, Table { zones, line: line.clone() });
            }
            What::Asked { txn, product, home, tenant, once_only } => {
                let ask = Ask {
                    at: line.at,
                    who: self.names.of(&line.who),
                    pair: (self.names.of(product), self.names.of(home)),
                    tenant: tenant.as_ref().map(|tenant| self.names.of(tenant)),
                    once_only: *once_only,
                };
                self.asked.insert(*txn, ask);
            }
            What::Served { txn, zone } => {
                let zone = self.names.of(zone);
                self.served(line, *txn, zone);
            }
            What::Final { txn, .. } => self.ended.push_back((line.at, *txn)),
            What::Died => {
                let who = self.names.of(&line.who);
                self.tables.retain(|(proxy, _), _| *proxy != who);
            }
            _ => {}
        }
    }

    pub fn finish(mut self) -> Verdict {
        self.advance(self.now + 1);
        self.verdict.open += self.due.len() as u64;
        self.verdict
    }

    fn permit(&mut self, of: &Permits) -> (Pair, BTreeSet<u32>) {
        let pair = (self.names.of(&of.product), self.names.of(&of.home));
        (pair, of.zones.iter().map(|zone| self.names.of(zone)).collect())
    }

    fn advance(&mut self, to: u64) {
        self.now = to;
        while self.due.front().is_some_and(|(due, ..)| *due < to) {
            let Some((due, key, since)) = self.due.pop_front() else { break };
            let Some(table) = self.tables.get(&key).filter(|table| table.line.at == since) else { continue };
            if !self.permitted(key.1, &table.zones, due) {
                let witness = self.witness([table.line.clone()]);
                let says = format!("{} still uses a table that no revision in force permits", table.line.who);
                self.verdict.found(Rule::Reach, due, says, witness);
            }
        }
        // The revision that was in force at the start of the allowance stays.
        while self.since.get(1).is_some_and(|(from, ..)| from + self.transit < to) {
            self.since.pop_front();
        }
        while self.ended.front().is_some_and(|(at, _)| at + ns(REMEMBERED_MS) < to) {
            if let Some((_, txn)) = self.ended.pop_front() {
                self.asked.remove(&txn);
            }
        }
    }

    /// Whether one of the revisions in force within the allowance before `at` permits all of these zones.
    fn permitted(&self, pair: Pair, zones: &BTreeSet<u32>, at: u64) -> bool {
        let mut until = u64::MAX;
        self.since.iter().rev().any(|(from, no, _)| {
            let counts = until > at.saturating_sub(self.transit) && *from <= at;
            until = *from;
            counts && self.allows(*no, pair, |permits| zones.is_subset(permits))
        })
    }

    fn allows(&self, no: Option<u64>, pair: Pair, ask: impl Fn(&BTreeSet<u32>) -> bool) -> bool {
        let permits = no.and_then(|no| self.permits.get(&no)).and_then(|(permits, _)| permits.get(&pair));
        permits.is_none_or(ask)
    }

    /// The revisions that counted at that time with their proofs, followed by the given lines.
    fn witness(&self, lines: impl IntoIterator<Item = Line>) -> Vec<Line> {
        let mut all = Vec::new();
        for (_, no, proof) in &self.since {
            let text = no.and_then(|no| self.permits.get(&no)).map(|(_, line)| line);
            all.extend(text.into_iter().chain(proof).cloned());
        }
        all.extend(lines);
        all
    }

    fn prove(&mut self, no: u64, line: &Line) {
        // An answer may arrive after the next revision is in force. Numbers only rise.
        if self.proven >= Some(no) {
            return;
        }
        self.proven = Some(no);
        self.since.push_back((line.at, Some(no), Some(line.clone())));
        if !self.permits.contains_key(&no) && self.unknown.insert(no) {
            let says = format!("revision {no} is in force, but no line says what it permits");
            self.verdict.found(Rule::Reach, line.at, says, vec![line.clone()]);
        }
        let by = line.at + self.transit;
        let outside = |(key, table): &(&(u32, Pair), &Table)| {
            !self.allows(Some(no), key.1, |permits| table.zones.is_subset(permits))
        };
        let outside = self.tables.iter().filter(outside).map(|(key, table)| (by, *key, table.line.at));
        let outside: Vec<_> = outside.collect();
        self.due.extend(outside);
    }

    fn table(&mut self, who: u32, pair: Pair, table: Table) {
        self.verdict.looked += 1;
        let at = table.line.at;
        if !self.permitted(pair, &table.zones, at) {
            let witness = self.witness([table.line.clone()]);
            let says = format!("{} installs a table that no revision in force permits", table.line.who);
            self.verdict.found(Rule::Reach, at, says, witness);
        } else if !self.allows(self.proven, pair, |permits| table.zones.is_subset(permits)) {
            // Accepted for now, because of the allowance alone.
            let by = self.since.back().map_or(at, |(from, ..)| from + self.transit);
            self.due.push_back((by, (who, pair), at));
        }
        self.tables.insert((who, pair), table);
    }

    fn served(&mut self, line: &Line, txn: u64, zone: u32) {
        let Some(ask) = self.asked.get(&txn) else {
            self.verdict.open += 1;
            return;
        };
        self.verdict.looked += 1;
        if self.permitted(ask.pair, &[zone].into(), line.at) {
            return;
        }
        let name = |number: u32| self.names.name(number).to_owned();
        let what = What::Asked {
            txn,
            product: name(ask.pair.0),
            home: name(ask.pair.1),
            tenant: ask.tenant.map(name),
            once_only: ask.once_only,
        };
        let asked = Line { at: ask.at, who: name(ask.who), what };
        let witness = self.witness([asked, line.clone()]);
        let says = format!("{} serves txn {txn}, which no revision in force permits", line.who);
        self.verdict.found(Rule::Reach, line.at, says, witness);
    }
}
