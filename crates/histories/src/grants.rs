//! Checks that grants in force never add up to more than the capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::RangeInclusive;

use crate::names::Names;
use crate::report::ns;
use crate::{Line, Rule, Verdict, What, ALL_ZONES};

/// Sweeps over time. For each recipient, tenant and zone, all grants that may be in force are tracked and the
/// largest counts, since a recipient uses one at a time. A grant may be in force from `Granted` until its
/// `until`, or until the recipient reports (`Took`) that it uses a later one. The grants of a recipient that
/// died still count, since its proxies continue to use them. When a grant raises the sum of a zone, the sum
/// must not exceed the zone's capacity, and likewise the sum over all zones their common capacity. When
/// capacity falls, earlier grants may run to their end; after the notice delay and the longest grant,
/// everything that counts has to fit again.
///
/// A zone name may end in `@` and a plan. Grants of two plans do not add up: while both plans may be held, a
/// recipient uses the minimum of both, and no recipient uses one plan alone while another uses the other
/// alone, which a separate check covers. So the grants of each plan are compared with the capacity
/// separately.
///
/// Assumes that `to` is the name under which the recipient writes `Took` (with or without `steward:`), that a
/// recipient never returns to an earlier grant, and that two grants to one recipient for the same tenant and
/// zone have different `until`. A zone without a `Capacity` line is not judged.
pub struct Grants {
    /// Notice delay: time until the lease holder that issues grants has received a new capacity, ns.
    notice_delay: u64,
    /// The longest time that a grant may be in force, ns.
    longest_grant: u64,
    capacity_falls: Vec<CapacityFall>,
    names: Names,
    held: BTreeMap<Key, VecDeque<HeldGrant>>,
    expiries: BinaryHeap<Reverse<(u64, Key)>>,
    /// By zone name as used in grants: the zone itself and the plan.
    places: BTreeMap<u32, (u32, u32)>,
    zones: BTreeMap<u32, Used>,
    /// Use of all zones together, by plan.
    all: BTreeMap<u32, Used>,
    capacity: BTreeMap<u32, Capacity>,
    capacity_all: Capacity,
    verdict: Verdict,
}

/// A fall of capacity: from `due` on, everything that counts has to fit.
struct CapacityFall {
    due: u64,
    /// `None`: all zones together.
    zone: Option<u32>,
    /// The highest capacity since the fall.
    limit: Rate,
    capacity_line: Line,
}

/// Zone, recipient, tenant.
type Key = (u32, u32, u32);

struct HeldGrant {
    rate: Rate,
    until: u64,
    line: Line,
}

/// Millionths of a txn per second. Sums of integers neither drift nor depend on their order.
type Rate = i64;

fn rate(per_s: f64) -> Rate {
    (per_s * 1e6).round() as Rate
}

#[derive(Clone, Copy, Default)]
struct Used {
    rate: Rate,
    counted: i64,
}

/// Capacities with their time, oldest first. Earlier ones are kept until the lease holder must have received
/// the replacement.
#[derive(Default)]
struct Capacity(VecDeque<(u64, Rate, Line)>);

/// Maximum number of grants listed in a violation: enough to add up, but still readable.
const MAX_WITNESS_GRANTS: usize = 200;

fn largest(held: &VecDeque<HeldGrant>) -> Rate {
    held.iter().map(|one| one.rate).max().unwrap_or(0)
}

impl Grants {
    /// `heard` is the time until the lease holder that issues grants has received a new capacity, and
    /// `runs_out` the longest time that a grant may be in force, both in ms.
    pub fn new(notice_delay: f64, longest_grant: f64) -> Grants {
        Grants {
            notice_delay: ns(notice_delay),
            longest_grant: ns(longest_grant),
            capacity_falls: Vec::new(),
            names: Names::default(),
            held: BTreeMap::new(),
            expiries: BinaryHeap::new(),
            places: BTreeMap::new(),
            zones: BTreeMap::new(),
            all: BTreeMap::new(),
            capacity: BTreeMap::new(),
            capacity_all: Capacity::default(),
            verdict: Verdict::default(),
        }
    }

    pub fn feed(&mut self, line: &Line) {
        self.check_falls(line.at);
        match &line.what {
            What::Capacity { zone, per_s } => {
                let zone = (zone != ALL_ZONES).then(|| self.names.of(zone));
                let of = match zone {
                    None => &mut self.capacity_all,
                    Some(zone) => self.capacity.entry(zone).or_default(),
                };
                let (now, before) = (rate(*per_s), of.0.back().map(|(_, rate, _)| *rate));
                of.0.push_back((line.at, now, line.clone()));
                let same = self.capacity_falls.iter_mut().filter(|fall| fall.zone == zone);
                same.for_each(|fall| fall.limit = fall.limit.max(now));
                if before.is_some_and(|before| now < before) {
                    let due = line.at.saturating_add(self.notice_delay).saturating_add(self.longest_grant);
                    self.capacity_falls.push(CapacityFall {
                        due,
                        zone,
                        limit: now,
                        capacity_line: line.clone(),
                    });
                }
            }
            What::Granted { to, tenant, zone, per_s, until } => {
                self.advance(line.at);
                let key = self.key(zone, to, tenant);
                self.granted(line, key, rate(*per_s), *until);
            }
            What::Took { tenant, zone, until } => {
                self.advance(line.at);
                let key = self.key(zone, &line.who, tenant);
                self.change(key, |held| {
                    let place = held.iter().rposition(|one| one.until == *until);
                    place.into_iter().for_each(|place| drop(held.drain(..place)));
                });
            }
            _ => {}
        }
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }

    /// Checks each fall of capacity that is due: grants that are renewed at the old rate never raise the sum,
    /// and still exceed the new capacity.
    fn check_falls(&mut self, now: u64) {
        while let Some(place) = self.capacity_falls.iter().position(|fall| fall.due < now) {
            let CapacityFall { due, zone, limit, capacity_line } = self.capacity_falls.swap_remove(place);
            self.advance(due);
            self.verdict.looked += 1;
            let all = self.all.iter().map(|(plan, used)| (None, *plan, *used));
            let zones = self.zones.iter().map(|(place, used)| {
                let (base, plan) = self.places[place];
                (Some((*place, base)), plan, *used)
            });
            let over = |used: &Used| used.rate > limit + used.counted + limit / 1_000_000_000;
            let fits = |of: &Option<(u32, u32)>| zone == of.map(|(_, base)| base);
            let found: Vec<_> = all.chain(zones).filter(|(of, _, used)| fits(of) && over(used)).collect();
            for (of, plan, used) in found {
                let line = Line { at: due, ..capacity_line.clone() };
                let over = Over { used: used.rate, limit, capacity_line: capacity_line.clone() };
                match of {
                    Some((place, _)) => {
                        let name = self.names.name(place).to_string();
                        let keys = (place, 0, 0)..=(place, u32::MAX, u32::MAX);
                        self.report(&line, &format!("{name} still, after it fell,"), plan, over, keys);
                    }
                    None => {
                        let keys = (0, 0, 0)..=(u32::MAX, u32::MAX, u32::MAX);
                        self.report(&line, "all zones together still, after they fell,", plan, over, keys);
                    }
                }
            }
        }
    }

    fn key(&mut self, zone: &str, taker: &str, tenant: &str) -> Key {
        let taker = taker.strip_prefix("steward:").unwrap_or(taker);
        let (base, plan) = zone.rsplit_once('@').unwrap_or((zone, ""));
        let (place, base, plan) = (self.names.of(zone), self.names.of(base), self.names.of(plan));
        self.places.insert(place, (base, plan));
        (place, self.names.of(taker), self.names.of(tenant))
    }

    fn advance(&mut self, to: u64) {
        while self.expiries.peek().is_some_and(|Reverse((until, _))| *until <= to) {
            let Some(Reverse((_, key))) = self.expiries.pop() else { break };
            self.change(key, |held| held.retain(|one| one.until > to));
        }
    }

    /// Changes the grants under the key and updates the sums of the zone and of all zones.
    fn change(&mut self, key: Key, by: impl FnOnce(&mut VecDeque<HeldGrant>)) {
        let held = self.held.entry(key).or_default();
        let (rate, count) = (largest(held), held.len());
        by(held);
        let (used, counted) = (largest(held) - rate, held.len() as i64 - count as i64);
        let plan = self.places[&key.0].1;
        for of in [self.zones.entry(key.0).or_default(), self.all.entry(plan).or_default()] {
            of.rate += used;
            of.counted += counted;
        }
        if held.is_empty() {
            self.held.remove(&key);
        }
    }

    fn granted(&mut self, line: &Line, key: Key, rate: Rate, until: u64) {
        if until <= line.at {
            return;
        }
        let (base, plan) = self.places[&key.0];
        let used = |grants: &Grants| {
            let of = |of: Option<&Used>| of.copied().unwrap_or_default();
            (of(grants.zones.get(&key.0)), of(grants.all.get(&plan)))
        };
        let before = used(self);
        self.change(key, |held| held.push_back(HeldGrant { rate, until, line: line.clone() }));
        self.expiries.push(Reverse((until, key)));
        let now = used(self);
        let zone = self.capacity.get_mut(&base);
        let zone = zone.and_then(|zone| zone.over((before.0, now.0), line.at, self.notice_delay));
        let all = self.capacity_all.over((before.1, now.1), line.at, self.notice_delay);
        self.verdict.looked += u64::from(zone.is_some() || all.is_some());
        let (first, last) = ((key.0, 0, 0), (key.0, u32::MAX, u32::MAX));
        if let Some(Some(over)) = zone {
            let place = self.names.name(key.0).to_string();
            self.report(line, &place, plan, over, first..=last);
        }
        if let Some(Some(over)) = all {
            self.report(line, "all zones together", plan, over, (0, 0, 0)..=(u32::MAX, u32::MAX, u32::MAX));
        }
    }

    fn report(&mut self, line: &Line, place: &str, plan: u32, over: Over, keys: RangeInclusive<Key>) {
        let Over { used, limit, capacity_line } = over;
        let mut witness = vec![capacity_line];
        let held = self.held.range(keys).filter(|(key, _)| self.places[&key.0].1 == plan);
        let held = held.filter_map(|(_, held)| held.iter().max_by_key(|one| one.rate));
        let mut counted: Vec<&Line> = held.filter(|one| one.rate > 0).map(|one| &one.line).collect();
        counted.sort_by_key(|line| line.at);
        witness.extend(counted.into_iter().rev().take(MAX_WITNESS_GRANTS).rev().cloned());
        let (used, limit) = (used as f64 / 1e6, limit as f64 / 1e6);
        let says = format!("{used:.3} txns per second are granted in {place}, of {limit:.3}");
        self.verdict.found(Rule::Grants, line.at, says, witness);
    }
}

/// The granted sum exceeds the capacity.
struct Over {
    used: Rate,
    limit: Rate,
    capacity_line: Line,
}

impl Capacity {
    /// `None` if no capacity is known; otherwise whether a grant raised the sum above the capacity. A
    /// capacity stops counting only once the lease holder must have received a later one.
    fn over(&mut self, (before, used): (Used, Used), now: u64, notice_delay: u64) -> Option<Option<Over>> {
        while self.0.get(1).is_some_and(|(from, ..)| from + notice_delay <= now) {
            self.0.pop_front();
        }
        let (_, limit, capacity_line) = self.0.iter().max_by_key(|(_, rate, _)| *rate)?;
        // Each rate is rounded to a millionth, and the issuer of the grants adds up in floating point.
        let rounding = used.counted + limit / 1_000_000_000;
        let over = used.rate > before.rate && used.rate > limit + rounding;
        Some(over.then(|| Over { used: used.rate, limit: *limit, capacity_line: capacity_line.clone() }))
    }
}
