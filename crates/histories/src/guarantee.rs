//! Checks that a tenant gets its guaranteed rate back in time.

use std::collections::{BTreeMap, HashMap};

use crate::names::Names;
use crate::report::ns;
use crate::{End, Line, Rule, Verdict, What};

/// Divides time into slots. In a slot a tenant is below its guarantee in a zone if its demand there was at
/// least the guarantee (`Asked` with that home) and fewer txns were admitted (first `Served`, or `Final` with
/// `Voided`, a failed txn). It is below for too long if so many consecutive slots are below that the time
/// must exceed `back_within`, wherever in the first and the last slot it started and ended. Slots count only
/// while the last `Capacity` of the zone is at least the sum of all guarantees of the zone and, unless the
/// caller includes faults, while no fault is active.
///
/// Assumes that `Asked` names the tenant, and that the zone of the guarantee is the home of the proxies that
/// receive the tenant's requests. The check does not detect:
/// - a shortfall of less than a fifth, since arrivals are random and txns in flight at the end of a slot are
///   served in the next;
/// - a shortfall of less than a fifth plus three standard deviations over all consecutive slots (half of the
///   guaranteed txns where these are 80, a third at 300);
/// - a shortfall that ends within one or two slots after `back_within`.
pub struct Guarantees {
    in_faults: bool,
    names: Names,
    /// Guarantees by zone and tenant.
    of: BTreeMap<(u32, u32), Tracker>,
    capacity: HashMap<u32, f64>,
    waiting: HashMap<u64, (u32, u32)>,
    broken: bool,
    verdict: Verdict,
}

struct Tracker {
    per_s: f64,
    within: u64,
    slot: u64,
    /// Start of the current slot, ns.
    from: u64,
    asked: u64,
    admitted: u64,
    /// Whether the current slot counts.
    counts: bool,
    /// Of the consecutive slots below the guarantee: start of the first, number of slots, and txns admitted
    /// in them.
    below: Option<(u64, u64, u64)>,
    reported: bool,
    line: Line,
    capacity: Option<Line>,
}

/// Number of slots in `back_within`. More slots detect a shortfall sooner, but make the result of each slot
/// less certain.
const SLOTS_PER_LIMIT: u64 = 8;
/// Minimum number of guaranteed txns for which a slot lasts: with fewer, random arrivals alone make a slot
/// fall short.
const MIN_TXNS_PER_SLOT: f64 = 20.0;
/// Fraction of the guarantee that counts as met; the rest covers txns in flight and random arrivals.
const ADMITTED_FRACTION: f64 = 0.8;
/// Standard deviations of the txns admitted over all consecutive slots that are attributed to chance. With a
/// tenant that gets exactly its guarantee, less the losses from quota steps and txns in flight, four
/// consecutive slots are below by chance once in a hundred runs.
const CHANCE_DEVIATIONS: f64 = 3.0;

impl Guarantees {
    /// `in_faults`: whether slots during faults count too.
    pub fn new(in_faults: bool) -> Guarantees {
        Guarantees {
            in_faults,
            names: Names::default(),
            of: BTreeMap::new(),
            capacity: HashMap::new(),
            waiting: HashMap::new(),
            broken: false,
            verdict: Verdict::default(),
        }
    }

    pub fn feed(&mut self, line: &Line) {
        match &line.what {
            What::Guarantee { tenant, zone, per_s, back_within } => {
                let key = (self.names.of(zone), self.names.of(tenant));
                self.add_guarantee(key, *per_s, *back_within, line);
                self.update_counting(line);
            }
            What::Capacity { zone, per_s } => {
                let zone = self.names.of(zone);
                self.capacity.insert(zone, *per_s);
                for (_, of) in self.of.range_mut((zone, 0)..=(zone, u32::MAX)) {
                    of.capacity = Some(line.clone());
                }
                self.update_counting(line);
            }
            What::Fault { .. } | What::Healed => {
                self.broken = matches!(line.what, What::Fault { .. });
                self.update_counting(line);
            }
            What::Asked { txn, home, tenant: Some(tenant), .. } => {
                let key = (self.names.of(home), self.names.of(tenant));
                let Some(of) = self.of.get_mut(&key) else { return };
                of.advance(line.at, &mut self.verdict);
                of.asked += 1;
                self.waiting.insert(*txn, key);
            }
            What::Served { txn, .. } => self.admitted(*txn, line.at),
            What::Final { txn, end: End::Voided } => self.admitted(*txn, line.at),
            What::Final { txn, .. } => drop(self.waiting.remove(txn)),
            _ => {}
        }
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }

    fn add_guarantee(&mut self, key: (u32, u32), per_s: f64, within: u64, line: &Line) {
        let slot = (within / SLOTS_PER_LIMIT).max(ns(1e3 * MIN_TXNS_PER_SLOT / per_s.max(1e-3))).max(1);
        let of = Tracker {
            per_s,
            within,
            slot,
            from: line.at,
            asked: 0,
            admitted: 0,
            counts: false,
            below: None,
            reported: false,
            line: line.clone(),
            capacity: None,
        };
        match per_s > 0.0 {
            true => self.of.insert(key, of),
            false => self.of.remove(&key),
        };
    }

    /// Updates whether slots count. Where that changes, the current slots are discarded.
    fn update_counting(&mut self, line: &Line) {
        let mut promised: BTreeMap<u32, f64> = BTreeMap::new();
        self.of.iter().for_each(|((zone, _), of)| *promised.entry(*zone).or_default() += of.per_s);
        for ((zone, _), of) in &mut self.of {
            of.advance(line.at, &mut self.verdict);
            let stands = self.capacity.get(zone).is_none_or(|capacity| *capacity >= promised[zone]);
            let counts = stands && (self.in_faults || !self.broken);
            if counts != of.counts {
                of.restart(line.at, counts);
            }
        }
    }

    fn admitted(&mut self, txn: u64, at: u64) {
        let of = self.waiting.remove(&txn).and_then(|key| self.of.get_mut(&key));
        if let Some(of) = of {
            of.advance(at, &mut self.verdict);
            of.admitted += 1;
        }
    }
}

impl Tracker {
    fn restart(&mut self, at: u64, counts: bool) {
        (self.from, self.counts) = (at, counts);
        (self.asked, self.admitted, self.below, self.reported) = (0, 0, None, false);
    }

    /// Ends the slots that have passed by `to`.
    fn advance(&mut self, to: u64, verdict: &mut Verdict) {
        if !self.counts {
            self.from = to;
            (self.asked, self.admitted) = (0, 0);
            return;
        }
        while self.from + self.slot <= to {
            self.end_slot(verdict);
            self.from += self.slot;
            (self.asked, self.admitted) = (0, 0);
            // There was no demand since, so no later slot up to now can be below.
            let empty = (to - self.from) / self.slot;
            if empty > 0 {
                (self.from, self.below) = (self.from + empty * self.slot, None);
            }
        }
    }

    fn end_slot(&mut self, verdict: &mut Verdict) {
        let due = self.per_s * self.slot as f64 / 1e9;
        if (self.asked as f64) < due {
            self.below = None;
            return;
        }
        verdict.looked += 1;
        if self.admitted as f64 >= ADMITTED_FRACTION * due {
            (self.below, self.reported) = (None, false);
            return;
        }
        let (since, slots, admitted) = self.below.unwrap_or((self.from, 0, 0));
        let admitted = admitted + self.admitted;
        self.below = Some((since, slots + 1, admitted));
        // The first and the last slot may be below for a part of their length only.
        let certainly_below = slots.saturating_sub(1) * self.slot;
        let enough = ADMITTED_FRACTION * due * (slots + 1) as f64;
        let by_chance = admitted as f64 > enough - CHANCE_DEVIATIONS * enough.sqrt();
        if certainly_below <= self.within || by_chance || self.reported {
            return;
        }
        self.reported = true;
        let (tenant, zone) = guaranteed(&self.line);
        let now = self.from + self.slot;
        let says = format!(
            "{tenant} is below its guarantee in {zone} for {:.0} ms: {} of {} admitted in the last {:.0} ms",
            (now - since) as f64 / 1e6,
            self.admitted,
            self.asked,
            self.slot as f64 / 1e6
        );
        let witness = self.capacity.iter().chain([&self.line]).cloned().collect();
        verdict.found(Rule::Guarantee, now, says, witness);
    }
}

/// The tenant and the zone of a `Guarantee` line.
fn guaranteed(line: &Line) -> (&str, &str) {
    match &line.what {
        What::Guarantee { tenant, zone, .. } => (tenant, zone),
        _ => ("", ""),
    }
}
