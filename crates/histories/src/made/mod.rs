//! Generates histories from a seed: correct ones, as a fleet that keeps every rule would write them, and
//! corrupted ones. Tests, benches and experiments run the checks on them. The generator simulates a fleet
//! from outside, with one lease holder that sees everything; it shares only the line types with the checks.

mod spoil;

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

pub use spoil::{Spoil, SPOILS};

use crate::{Bounds, End, Held, Line, Outcome, Permits, What};

/// Pseudo-random numbers from a seed and a counter.
#[derive(Clone, Debug)]
pub struct Chance {
    seed: u64,
    drawn: u64,
}

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance { seed, drawn: 0 }
    }

    /// A number below `most`, which has to be above zero.
    pub fn below(&mut self, most: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        self.drawn += 1;
        hasher.finish() % most
    }

    pub fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}

const MS: u64 = 1_000_000;
const TICK: u64 = 5 * MS;
const LEASE: u64 = 1_000 * MS;
const RENEW: u64 = 300 * MS;
/// Time until the proxies of a lost controller have joined another, and all its orders have arrived.
const LINGER: u64 = 400 * MS;
/// Grants last as long as leases; this long after it was issued, a grant has surely ended.
const GRANT_END_DELAY: u64 = 1_300 * MS;
const CONTROLLERS: usize = 5;
const ZONES: u64 = 4;
/// The last request class is never governed.
const CLASSES: u64 = 4;
const UNGOVERNED: u64 = CLASSES - 1;
const PROXIES: usize = 8;
const CAPACITY: f64 = 1_000.0;
/// Length of a period without faults, at the end and now and then: longer than the bound within which all
/// controllers have to hold the same.
const QUIET_PERIOD: u64 = 7_000 * MS;
const FAULT_PERIOD: u64 = 9_000 * MS;

fn zone(number: u64) -> String {
    format!("z{number}")
}

fn class_name(number: u64) -> String {
    format!("p{number}")
}

fn controller_name(number: usize) -> String {
    format!("steward:{number}")
}

struct Controller {
    boot: u64,
    up: bool,
    cut: bool,
    /// Stage, what it holds, and the end of the lease.
    lease: Option<(u64, Held, u64)>,
    /// End of the last lease of this controller, including its earlier runs.
    last_lease_end: u64,
    renew: u64,
    wrote: u64,
    /// End of its last grants in each zone.
    granted: [u64; ZONES as usize],
}

struct Proxy {
    home: u64,
    controller: usize,
    /// The stage that its tables are based on; `None`: the tables have to be rebuilt.
    table_stage: Option<u64>,
    tables: BTreeMap<u64, BTreeSet<u64>>,
}

/// An event scheduled for later.
enum Scheduled {
    Line(String, What),
    Tables(usize),
    Answer { controller: usize, boot: u64, what: What },
    Joins(usize),
    Back(usize),
}

enum Phase {
    Idle,
    Staged { until: u64 },
    Joint { until: u64 },
}

struct Change {
    controller: usize,
    boot: u64,
    id: u64,
    no: u64,
    withdrawn: bool,
    answered: bool,
}

struct ZoneGrants {
    capacity: f64,
    /// No increases before this time: grants of a greater capacity may still be in force.
    no_increase_until: u64,
    weights: [f64; CONTROLLERS],
    /// The controllers from which and to which half a weight moves, and when the receiver gets it.
    moving: Option<(usize, usize, u64)>,
}

/// Iterator over a correct history.
pub struct Made {
    chance: Chance,
    now: u64,
    remaining: usize,
    /// Txns per tick.
    txns_per_tick: u64,
    out: VecDeque<Line>,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    count: u64,
    controllers: Vec<Controller>,
    proxies: Vec<Proxy>,
    permits: BTreeMap<u64, BTreeMap<(u64, u64), BTreeSet<u64>>>,
    stage: u64,
    held: Held,
    phase: Phase,
    change: Option<Change>,
    highest_no: u64,
    broken: u64,
    faults_until: u64,
    zone_grants: Vec<ZoneGrants>,
    last_granted: u64,
    /// The tenant's txns are rejected until the first time; no new such period starts before the second.
    rejecting: (u64, u64),
}

impl Made {
    /// A history of `events` lines, of a fleet of five controllers, with four txns per tick, or ten in long
    /// histories.
    pub fn new(seed: u64, events: usize) -> Made {
        let mut made = Made {
            chance: Chance::new(seed),
            now: 1_000 * MS,
            remaining: events,
            txns_per_tick: if events > 300_000 { 10 } else { 4 },
            out: VecDeque::new(),
            scheduled: BTreeMap::new(),
            count: 0,
            controllers: Vec::new(),
            proxies: Vec::new(),
            permits: BTreeMap::new(),
            stage: 1,
            held: Held::Nothing,
            phase: Phase::Idle,
            change: None,
            highest_no: 0,
            broken: 0,
            faults_until: 0,
            zone_grants: Vec::new(),
            last_granted: 0,
            rejecting: (0, 0),
        };
        made.start();
        made
    }

    /// The bounds that the generated fleet keeps.
    pub fn bounds() -> Bounds {
        Bounds {
            everywhere: 4_000.0,
            transit: 50.0,
            answer: 2_000.0,
            heard: 0.0,
            runs_out: (GRANT_END_DELAY / MS) as f64,
            guarantees_in_faults: false,
        }
    }

    fn start(&mut self) {
        for number in 0..CONTROLLERS {
            let renew = self.now + self.chance.below(RENEW);
            self.controllers.push(Controller {
                boot: 100 + number as u64,
                up: true,
                cut: false,
                lease: None,
                last_lease_end: self.now,
                renew,
                wrote: 0,
                granted: [0; ZONES as usize],
            });
        }
        for number in 0..PROXIES {
            self.proxies.push(Proxy {
                home: number as u64 % ZONES,
                controller: number % CONTROLLERS,
                table_stage: None,
                // Before a controller has a lease, it rejects requests of classes that may be governed.
                tables: (0..CLASSES)
                    .map(|of| (of, (0..ZONES).filter(|_| of == UNGOVERNED).collect()))
                    .collect(),
            });
        }
        for number in 0..ZONES {
            self.emit("rig", What::Capacity { zone: zone(number), per_s: CAPACITY });
            self.zone_grants.push(ZoneGrants {
                capacity: CAPACITY,
                no_increase_until: 0,
                weights: [1.0; CONTROLLERS],
                moving: None,
            });
        }
        let per_s = self.guaranteed();
        let within = 1_000 * MS;
        self.emit("rig", What::Guarantee { tenant: "t0".into(), zone: zone(0), per_s, back_within: within });
        self.faults_until = self.now + FAULT_PERIOD;
    }

    /// The guaranteed rate: a third of the demand of the first tenant.
    fn guaranteed(&self) -> f64 {
        10.0 * self.txns_per_tick as f64
    }

    fn emit(&mut self, who: &str, what: What) {
        self.now += 1 + self.chance.below(400);
        self.out.push_back(Line { at: self.now, who: who.into(), what });
    }

    fn schedule(&mut self, after: u64, scheduled: Scheduled) {
        self.count += 1;
        self.scheduled.insert((self.now + after, self.count), scheduled);
    }

    fn tick(&mut self) {
        let next = self.now - self.now % TICK + TICK;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 < next) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = self.now.max(at);
            self.apply(scheduled);
        }
        self.now = self.now.max(next);
        let per_s = 200 * (3 * self.txns_per_tick + 2) as usize;
        let last = self.remaining < per_s * (QUIET_PERIOD / 1_000 / MS) as usize;
        if self.now > self.faults_until + QUIET_PERIOD && !last {
            self.faults_until = self.now + FAULT_PERIOD;
        }
        let faults_allowed = self.now < self.faults_until && !last;
        self.advance_change(faults_allowed);
        self.leases();
        self.grants(faults_allowed);
        if faults_allowed {
            self.inject_fault();
        }
        for _ in 0..self.txns_per_tick {
            self.txn();
        }
    }

    fn apply(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Line(who, what) => self.emit(&who, what),
            Scheduled::Tables(proxy) => self.tables(proxy),
            Scheduled::Answer { controller: number, boot, what } => {
                let of = &self.controllers[number];
                if of.up && of.boot == boot {
                    self.emit(&controller_name(number), what);
                }
            }
            Scheduled::Joins(proxy) => self.join_proxy(proxy),
            Scheduled::Back(number) => {
                let boot = 1_000 + self.count;
                let of = &mut self.controllers[number];
                (of.cut, of.renew) = (false, 0);
                if !of.up {
                    (of.up, of.boot) = (true, boot);
                }
                self.broken -= 1;
                if self.broken == 0 {
                    self.emit("rig", What::Healed);
                }
            }
        }
    }

    /// The zones permitted by all revisions that the held state stays within.
    fn zones(&self, held: Held, of: u64, home: u64) -> BTreeSet<u64> {
        let revisions = match held {
            Held::Nothing => [None, None],
            Held::Alone { no } => [Some(no), None],
            Held::Joint { old, new } => [old, Some(new)],
        };
        let mut zones: BTreeSet<u64> = (0..ZONES).collect();
        for no in revisions.into_iter().flatten() {
            if let Some(permits) = self.permits[&no].get(&(of, home)) {
                zones.retain(|zone| permits.contains(zone));
            }
        }
        zones
    }

    fn tables(&mut self, number: usize) {
        let proxy = &self.proxies[number];
        let (home, by) = (proxy.home, &self.controllers[proxy.controller]);
        if !by.up {
            return;
        }
        let lease = by.lease;
        for of in 0..CLASSES {
            let mut zones = match lease {
                Some((_, held, _)) => self.zones(held, of, home),
                None if of == UNGOVERNED => (0..ZONES).collect(),
                None => BTreeSet::new(),
            };
            // A table may use fewer zones than permitted.
            if zones.len() > 2 && self.chance.one_in(3) {
                zones.pop_first();
            }
            if self.proxies[number].tables[&of] != zones {
                let names = zones.iter().map(|number| zone(*number)).collect();
                let what = What::Tables { product: class_name(of), home: zone(home), zones: names };
                self.emit(&format!("proxy:{number}"), what);
                self.proxies[number].tables.insert(of, zones);
            }
        }
        self.proxies[number].table_stage = lease.map(|(stage, ..)| stage);
    }

    fn join_proxy(&mut self, number: usize) {
        let lives: Vec<usize> = (0..CONTROLLERS).filter(|of| self.controllers[*of].lease.is_some()).collect();
        if lives.is_empty() {
            return self.schedule(5 * MS, Scheduled::Joins(number));
        }
        let to = lives[self.chance.below(lives.len() as u64) as usize];
        self.proxies[number].controller = to;
        self.proxies[number].table_stage = None;
        self.schedule(MS, Scheduled::Tables(number));
    }

    /// Schedules new tables for the proxies of the controller after a change of what it holds.
    fn notify_proxies(&mut self, number: usize) {
        for proxy in 0..PROXIES {
            if self.proxies[proxy].controller == number {
                self.proxies[proxy].table_stage = None;
                let after = MS + self.chance.below(20 * MS);
                self.schedule(after, Scheduled::Tables(proxy));
            }
        }
    }

    fn leases(&mut self) {
        for number in 0..CONTROLLERS {
            let of = &self.controllers[number];
            let (boot, asked) = (of.boot, self.now);
            if !of.up {
                continue;
            }
            if of.lease.is_some_and(|(.., until)| until <= asked + TICK) {
                // The controller is disconnected and releases its lease before its end.
                self.controllers[number].lease = None;
                self.emit(&controller_name(number), What::LetGo { boot });
                self.notify_proxies(number);
                continue;
            }
            if !of.cut && of.renew <= asked {
                let (stage, holds, until) = (self.stage, self.held, asked + LEASE);
                let same = of.lease.is_some_and(|(before, ..)| before == stage);
                let of = &mut self.controllers[number];
                (of.lease, of.renew, of.last_lease_end) = (Some((stage, holds, until)), asked + RENEW, until);
                self.emit(&controller_name(number), What::Holds { boot, stage, holds, until });
                if !same {
                    self.notify_proxies(number);
                }
            }
            let of = &mut self.controllers[number];
            if let Some((stage, ..)) = of.lease.filter(|_| of.wrote + 50 * MS < asked) {
                of.wrote = asked;
                let from = self.now;
                self.now += MS / 10;
                self.emit(&controller_name(number), What::Wrote { boot, stage, from });
            }
        }
    }

    /// Whether every controller acts on the stage and its proxies use it, or its last lease ended more than
    /// `LINGER` ago.
    fn all_use(&self, stage: u64) -> bool {
        self.controllers.iter().enumerate().all(|(number, of)| {
            let has = of.lease.is_some_and(|(no, ..)| no == stage);
            let mut own = self.proxies.iter().filter(|proxy| proxy.controller == number);
            has && own.all(|proxy| proxy.table_stage == Some(stage))
                || of.lease.is_none() && of.last_lease_end + LINGER < self.now
        })
    }

    fn in_force(&self) -> Option<u64> {
        match self.held {
            Held::Alone { no } => Some(no),
            Held::Joint { old, .. } => old,
            Held::Nothing => None,
        }
    }

    fn advance_change(&mut self, faults_allowed: bool) {
        if faults_allowed && self.chance.one_in(if self.change.is_some() { 150 } else { 60 }) {
            self.propose();
        }
        let Some(change) = &self.change else { return };
        let (no, withdrawn) = (change.no, change.withdrawn);
        match self.phase {
            Phase::Staged { until } if until <= self.now => {
                if withdrawn && self.chance.one_in(2) {
                    return self.finish_change(Outcome::Refused);
                }
                self.stage += 1;
                self.held = Held::Joint { old: self.in_force(), new: no };
                let until = self.now + 20 * MS + self.chance.below(300 * MS);
                self.phase = Phase::Joint { until };
            }
            Phase::Joint { until } if withdrawn && until <= self.now => {
                self.stage += 1;
                self.held = self.in_force().map_or(Held::Nothing, |no| Held::Alone { no });
                self.finish_change(Outcome::Refused);
            }
            Phase::Joint { .. } if !withdrawn && self.all_use(self.stage) => {
                self.stage += 1;
                self.held = Held::Alone { no };
                self.finish_change(Outcome::InForce);
            }
            _ => {}
        }
    }

    fn finish_change(&mut self, outcome: Outcome) {
        self.phase = Phase::Idle;
        let Some(Change { controller, boot, id, no, answered: false, .. }) = self.change.take() else {
            return;
        };
        let what = What::Answered { id, no, outcome, winner: None };
        let after = MS + self.chance.below(10 * MS);
        self.schedule(after, Scheduled::Answer { controller, boot, what });
    }

    fn propose(&mut self) {
        let number = self.chance.below(CONTROLLERS as u64) as usize;
        if !self.controllers[number].up || self.controllers[number].cut {
            return;
        }
        self.count += 1;
        let (id, boot, digest) = (self.count, self.controllers[number].boot, format!("text {}", self.count));
        let after = 2 * MS + self.chance.below(8 * MS);
        let answer = |no, outcome, winner| Scheduled::Answer {
            controller: number,
            boot,
            what: What::Answered { id, no, outcome, winner },
        };
        if let Some(winner) = self.change.as_ref().map(|change| change.no) {
            let no = self.highest_no + self.chance.below(3);
            self.emit(&controller_name(number), What::Proposed { id, no, digest });
            return self.schedule(after, answer(no, Outcome::Refused, Some(winner)));
        }
        if self.highest_no > 0 && self.chance.one_in(8) {
            let no = 1 + self.chance.below(self.highest_no);
            self.emit(&controller_name(number), What::Proposed { id, no, digest });
            return self.schedule(after, answer(no, Outcome::Refused, None));
        }
        let no = self.highest_no + 1 + self.chance.below(3);
        self.highest_no = no;
        self.revision(no);
        self.emit(&controller_name(number), What::Proposed { id, no, digest });
        let answered = self.chance.one_in(10);
        if answered {
            self.schedule(after, answer(no, Outcome::Unsure, None));
        }
        let withdrawn = self.chance.one_in(4);
        self.change = Some(Change { controller: number, boot, id, no, withdrawn, answered });
        self.phase = Phase::Staged { until: self.now + 30 * MS + self.chance.below(150 * MS) };
    }

    /// Creates a revision that shares a zone with the one in force for each pair, except for pairs that are
    /// rejected.
    fn revision(&mut self, no: u64) {
        let mut permits = BTreeMap::new();
        for of in 0..UNGOVERNED {
            for home in 0..ZONES {
                if self.chance.one_in(6) {
                    continue;
                }
                let old: Vec<u64> = self.zones(self.held, of, home).into_iter().collect();
                let mut zones: BTreeSet<u64> = (0..ZONES).filter(|_| self.chance.one_in(2)).collect();
                if !old.is_empty() {
                    zones.insert(old[self.chance.below(old.len() as u64) as usize]);
                }
                if self.chance.one_in(20) {
                    zones.clear();
                }
                permits.insert((of, home), zones);
            }
        }
        let named = permits.iter().map(|((of, home), zones)| Permits {
            product: class_name(*of),
            home: zone(*home),
            zones: zones.iter().map(|number| zone(*number)).collect(),
        });
        let permits_line = named.collect();
        self.permits.insert(no, permits);
        self.emit("rig", What::Revision { no, permits: permits_line });
    }

    fn inject_fault(&mut self) {
        if self.broken >= 2 || !self.chance.one_in(300) {
            return;
        }
        let number = self.chance.below(CONTROLLERS as u64) as usize;
        if !self.controllers[number].up || self.controllers[number].cut {
            return;
        }
        self.broken += 1;
        let kill = self.chance.one_in(2);
        let kind = if kill { "kill" } else { "cut" }.into();
        self.emit("rig", What::Fault { kind, of: vec![controller_name(number)] });
        let after = 300 * MS + self.chance.below(2_500 * MS);
        self.schedule(after, Scheduled::Back(number));
        if !kill {
            self.controllers[number].cut = true;
            return;
        }
        let of = &mut self.controllers[number];
        (of.up, of.lease, of.granted) = (false, None, [0; ZONES as usize]);
        self.emit(&controller_name(number), What::Died);
        for proxy in 0..PROXIES {
            if self.proxies[proxy].controller == number {
                let after = 50 * MS + self.chance.below(100 * MS);
                self.schedule(after, Scheduled::Joins(proxy));
            }
        }
    }

    fn grants(&mut self, faults_allowed: bool) {
        if faults_allowed && self.chance.one_in(400) {
            let place = self.chance.below(ZONES);
            let zone_grants = &mut self.zone_grants[place as usize];
            let per_s = [1.0, 0.6, 0.01][self.chance.below(3) as usize] * CAPACITY;
            if zone_grants.no_increase_until < self.now && per_s != zone_grants.capacity {
                zone_grants.capacity = per_s;
                zone_grants.no_increase_until = self.now + GRANT_END_DELAY;
                self.emit("rig", What::Capacity { zone: zone(place), per_s });
            }
        }
        if self.last_granted + 250 * MS > self.now {
            return;
        }
        self.last_granted = self.now;
        for place in 0..ZONES {
            self.move_weight(place as usize);
            let ZoneGrants { capacity, no_increase_until, weights, .. } = self.zone_grants[place as usize];
            for (number, weight) in weights.into_iter().enumerate() {
                let of = &self.controllers[number];
                if !of.up || of.cut || no_increase_until > self.now && of.granted[place as usize] <= self.now
                {
                    continue;
                }
                let until = self.now + LEASE;
                for (tenant, part) in [("t0", 0.3), ("t1", 0.7)] {
                    let per_s = capacity * part * weight / CONTROLLERS as f64;
                    // Less than the full quota may be granted at any time; before `no_increase_until`, surely
                    // less than the controller has.
                    let per_s = match no_increase_until > self.now {
                        true => per_s * 0.25,
                        false if self.chance.one_in(4) => per_s * 0.5,
                        false => per_s,
                    };
                    let (tenant, zone) = (tenant.to_owned(), zone(place));
                    let what = What::Granted {
                        to: controller_name(number),
                        tenant: tenant.clone(),
                        zone: zone.clone(),
                        per_s,
                        until,
                    };
                    self.emit("steward:0", what);
                    let took = Scheduled::Answer {
                        controller: number,
                        boot: self.controllers[number].boot,
                        what: What::Took { tenant, zone, until },
                    };
                    let after = MS + self.chance.below(10 * MS);
                    self.schedule(after, took);
                }
                self.controllers[number].granted[place as usize] = until;
            }
        }
    }

    /// Moves half a weight from one controller to another: the old grant is reduced first, and the new one
    /// issued when the old one has surely ended.
    fn move_weight(&mut self, place: usize) {
        let zone_grants = &mut self.zone_grants[place];
        if zone_grants.no_increase_until > self.now {
            return;
        }
        match zone_grants.moving {
            Some((_, to, at)) if at <= self.now => {
                zone_grants.weights[to] += 0.5;
                zone_grants.moving = None;
            }
            None if self.chance.one_in(8) => {
                let from = self.chance.below(CONTROLLERS as u64) as usize;
                let to = self.chance.below(CONTROLLERS as u64) as usize;
                if zone_grants.weights[from] > 0.6 {
                    zone_grants.weights[from] -= 0.5;
                    zone_grants.moving = Some((from, to, self.now + GRANT_END_DELAY));
                }
            }
            _ => {}
        }
    }

    fn txn(&mut self) {
        self.count += 1;
        let txn = self.count;
        let tenant = self.chance.below(100) < 15;
        let of = if tenant { UNGOVERNED } else { self.chance.below(CLASSES) };
        let mut number = self.chance.below(PROXIES as u64) as usize;
        if tenant {
            number -= number % ZONES as usize;
        }
        let proxy = &self.proxies[number];
        let (home, zones) = (proxy.home, proxy.tables[&of].iter().copied().collect::<Vec<u64>>());
        let once_only = of == 2 && self.chance.one_in(2);
        let tenant = tenant.then(|| "t0".to_owned());
        let rejected = tenant.is_some() && self.rejected();
        self.emit(
            "client",
            What::Asked { txn, product: class_name(of), home: zone(home), tenant, once_only },
        );
        let answer_delay = 12 * MS + self.chance.below(30 * MS);
        let client = "client".to_owned();
        if zones.is_empty() || rejected {
            let declined = What::Final { txn, end: End::Declined };
            return self.schedule(MS + answer_delay / 10, Scheduled::Line(client, declined));
        }
        let voided = self.chance.one_in(60);
        let end = if voided { End::Voided } else { End::Settled };
        self.schedule(answer_delay, Scheduled::Line(client, What::Final { txn, end }));
        if voided && self.chance.one_in(2) {
            return;
        }
        let again = !once_only && !voided && self.chance.one_in(20);
        for _ in 0..if again { 2 } else { 1 } {
            let at = zones[self.chance.below(zones.len() as u64) as usize];
            let host = format!("host:{}-{}", zone(at), self.chance.below(5));
            // A host may start after the client has timed out.
            let after = if voided { answer_delay + MS } else { MS + self.chance.below(8 * MS) };
            self.schedule(after, Scheduled::Line(host, What::Served { txn, zone: zone(at) }));
        }
    }

    /// Whether the tenant's txn is rejected: now and then, for less than the time within which a guarantee
    /// has to be restored, and while the capacity is below the guarantee.
    fn rejected(&mut self) -> bool {
        if self.now > self.rejecting.1 && self.chance.one_in(100) {
            self.rejecting = (self.now + 600 * MS, self.now + 4_000 * MS);
        }
        self.now < self.rejecting.0 || self.zone_grants[0].capacity < self.guaranteed()
    }
}

impl Iterator for Made {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        if self.remaining == 0 {
            return None;
        }
        while self.out.is_empty() {
            self.tick();
        }
        self.remaining -= 1;
        self.out.pop_front()
    }
}

/// Generates `lines` lines of leases only: controllers renew one revision and change it together every
/// thousand rounds. Such lines are the bulk of what the checks of holds process.
pub fn renewals(controllers: usize, lines: usize) -> Vec<Line> {
    let mut made = Vec::with_capacity(lines);
    for place in 0..lines {
        let (number, round) = (place % controllers, (place / controllers) as u64);
        let (no, joint) = (1 + round / 1_000, round % 1_000 >= 999);
        let holds = if joint { Held::Joint { old: Some(no), new: no + 1 } } else { Held::Alone { no } };
        // All lines of a round fall within its first half.
        let at = round * RENEW + number as u64 * (RENEW / 2 / controllers as u64);
        let stage = 2 * no + u64::from(joint);
        let what = What::Holds { boot: number as u64, stage, holds, until: at + LEASE };
        made.push(Line { at, who: controller_name(number), what });
    }
    made
}
