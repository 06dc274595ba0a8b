//! Compares the table guard's verdicts on batches with brute force, and measures its cost and what it holds back on
//! emulated days, with unmodified decisions and with faults injected into them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use amberarch_core::*;
use amberarch_emulator::{Day, Fault as Gone, Reports, Shape, Trouble, World, GRACE};
use amberarch_guard::{
    gate, standing, step, Anew, Counts, Door, Facts, Guard, Guarded, Kind, Mode, Rule, Small, Step, Told,
    Verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

/// Targets that the issue sets.
const BATCH_MS: f64 = 1.0;
const FALSELY_REFUSED: f64 = 0.01;
const LOST: f64 = 0.002;

#[derive(Serialize)]
struct Words {
    fleets: u64,
    judged: u64,
    /// Found by brute force.
    wrong: u64,
    falsely_accepted: u64,
    falsely_refused: u64,
    mended: u64,
    falsely_mended: u64,
    refused: u64,
    /// Judged while a proxy was behind.
    late: u64,
}

fn small(chance: &mut StdRng) -> Small {
    let zone = |chance: &mut StdRng| ZoneId(chance.random_range(0..2));
    let kinds = [Kind::Warm, Kind::Warm, Kind::Cold, Kind::Failing, Kind::Draining];
    let hosts = std::array::from_fn(|_| (kinds[chance.random_range(0..kinds.len())], zone(chance)));
    let proxies = std::array::from_fn(|_| zone(chance));
    let steps = (0..chance.random_range(1..7)).map(|_| match chance.random_range(0..7) {
        0 => Step::Wait([50.0, 450.0][chance.random_range(0..2)]),
        1 | 2 => Step::Answered,
        _ => Step::Batch((0..chance.random_range(1..5)).map(|_| order(chance)).collect()),
    });
    let steps = steps.collect();
    Small { hosts, proxies, at_home: chance.random_range(0..4), steps, late: None }
}

/// All proxies are bound at first and answer; then one stops answering.
fn late(chance: &mut StdRng) -> Small {
    let small = small(chance);
    let lines: Vec<Order> = (0..chance.random_range(2..6))
        .map(|_| {
            let (host, table) = (HostId(chance.random_range(0..3)), TableId(chance.random_range(0..2)));
            Order::SetEntry { table, host, weight: 1.0 }
        })
        .collect();
    let binds: Vec<Order> = (0..3)
        .map(|proxy| {
            let table = TableId(chance.random_range(0..2));
            Order::Bind { proxy: ProxyId(proxy), table, classes: ClassSet::ALL }
        })
        .collect();
    let mut steps = vec![Step::Batch([lines, binds].concat()), Step::Answered];
    steps.extend((0..chance.random_range(3..11)).map(|_| match chance.random_range(0..8) {
        0 | 1 => Step::Wait([50.0, 450.0, 2_600.0, 2_600.0][chance.random_range(0..4)]),
        2 | 3 => Step::Answered,
        _ => Step::Batch((0..chance.random_range(1..4)).map(|_| order(chance)).collect()),
    }));
    let late = Some((ProxyId(chance.random_range(0..3)), chance.random_range(1..4)));
    Small { steps, late, ..small }
}

fn order(chance: &mut StdRng) -> Order {
    let (host, table) = (HostId(chance.random_range(0..3)), TableId(chance.random_range(0..2)));
    match chance.random_range(0..11) {
        0..=3 => {
            let weight = [0.0, 0.0, 1.0, 1.0, 1.0, 1e-9, 1e9, 3.0, 3.0][chance.random_range(0..9)];
            Order::SetEntry { table, host, weight }
        }
        4 | 5 => Order::Withdraw { host, withdrawn: true },
        6 | 7 => Order::Withdraw { host, withdrawn: false },
        8 | 9 => {
            let proxy = ProxyId(chance.random_range(0..3));
            Order::Bind { proxy, table, classes: ClassSet(chance.random_range(0..3)) }
        }
        _ => Order::ClearTable { table },
    }
}

fn facts(shape: &Shape) -> Facts {
    Facts {
        products: shape.products.len() as u16,
        at_home: 0,
        channel: Channel {
            lines_per_s: 1_000.0 * f64::from(shape.proxies),
            message_overhead: 3.0,
            max_backlog: 400.0 * f64::from(shape.proxies),
            max_messages: 60,
            message_window: 10_000.0,
            typical_transit: shape.transit,
            max_transit: 2.0 * shape.transit,
        },
        warmup: shape.warmup.clone(),
        grace: GRACE,
        bare_for: 3_000.0,
        every: shape.sums.interval,
        alone: true,
        per_weight: None,
    }
}

/// Runs fleets by seed on four threads until the given number of batches has been judged.
fn words(seed: u64, most: u64, draw: fn(&mut StdRng) -> Small) -> Words {
    let open = Facts {
        channel: Channel { max_backlog: 1e9, max_messages: 0, ..facts(&Shape::usual()).channel },
        ..facts(&Shape::usual())
    };
    let part = |thread: u64| {
        let mut chance = StdRng::seed_from_u64(seed * 4 + thread);
        let (mut told, mut fleets) = (Told::default(), 0u64);
        while told.judged < most / 4 {
            told.add(draw(&mut chance).play(&open));
            fleets += 1;
        }
        (told, fleets)
    };
    let parts: Vec<(Told, u64)> = std::thread::scope(|scope| {
        let part = &part;
        let each: Vec<_> = (0..4).map(|thread| scope.spawn(move || part(thread))).collect();
        each.into_iter().map(|thread| thread.join().expect("a run that does not panic")).collect()
    });
    let mut told = Told::default();
    parts.iter().for_each(|part| told.add(part.0));
    let Told { judged, wrong, falsely_accepted, falsely_refused, mended, refused, falsely_mended, late } =
        told;
    let fleets = parts.iter().map(|part| part.1).sum();
    Words { fleets, judged, wrong, falsely_accepted, falsely_refused, mended, falsely_mended, refused, late }
}

/// Tries every zone, request class and last remaining host in fleets of two to four zones: the host has to stay in
/// service whichever way it would be removed, and may be removed once another host serves. Returns the number of cases
/// and of those that were judged otherwise.
fn single_hosts() -> (u32, u32) {
    let (mut cases, mut otherwise) = (0, 0);
    for zones in 2..=4u16 {
        let hosts = 3 * u32::from(zones);
        let zone_of = |host: u32| (host % u32::from(zones)) as u16;
        for (home, class, left) in
            (0..zones).flat_map(|z| (0..3u16).flat_map(move |p| (0..hosts).map(move |h| (z, p, h))))
        {
            // The third request class stays at home.
            let serves = |host: u32| class < 2 || zone_of(host) == home;
            if !serves(left) {
                continue;
            }
            let mut guard = Guard::new(Facts { products: 3, at_home: 0b100, ..facts(&Shape::usual()) });
            let listed = |host: u32| HostEntry {
                host: HostId(host),
                weight: 1.0,
                zone: ZoneId(zone_of(host)),
                pod: PodId(0),
                instance_type: InstanceTypeId(0),
                started_at: None,
                availability: Availability::InService,
            };
            let entries = (0..hosts).map(listed).collect();
            guard.hear(0.0, &Event::List { update: ListUpdate::Restored, entries });
            let (proxy, zone, txns_per_s) = (ProxyId(0), ZoneId(home), 1.0);
            guard.hear(0.0, &Event::ProxyJoined { proxy, zone, txns_per_s, without_table: true });
            let (table, share) =
                (TableId(0), |host, weight| Order::SetEntry { table: TableId(0), host, weight });
            let lines = (0..hosts).filter(|host| serves(*host)).map(|host| share(HostId(host), 1.0));
            let bind = Order::Bind { proxy, table, classes: ClassSet::one(ClassId(class)) };
            let place = guard.commit(0.0, &lines.chain([bind]).collect::<Vec<_>>());
            guard.answered(0.0, place);
            let gate = |host, withdrawn| Order::Withdraw { host: HostId(host), withdrawn };
            let others: Vec<u32> = (0..hosts).filter(|host| *host != left && serves(*host)).collect();
            for host in &others {
                let (host, load) = (HostId(*host), LoadReport::default());
                guard.hear(
                    1.0,
                    &Event::ProbeResult { host, outcome: ProbeOutcome::TimedOut, duration: 1.0, load },
                );
            }
            let shut: Vec<Order> = others.iter().map(|host| gate(*host, true)).collect();
            let mut expect = |guard: &mut Guard, orders: &[Order], good: bool| {
                cases += 1;
                otherwise += u32::from(guard.breaches(2.0, orders).is_empty() != good);
            };
            expect(&mut guard, &shut, true);
            let place = guard.commit(2.0, &shut);
            guard.answered(2.0, place);
            expect(&mut guard, &[gate(left, true)], false);
            expect(&mut guard, &[share(HostId(left), 0.0)], false);
            expect(&mut guard, &[Order::ClearTable { table }], false);
            expect(&mut guard, &[Order::Bind { proxy, table: TableId(1), classes: ClassSet::ALL }], false);
            if let Some(other) = others.first() {
                let (host, load) = (HostId(*other), LoadReport::default());
                guard.hear(
                    3.0,
                    &Event::ProbeResult { host, outcome: ProbeOutcome::Answered, duration: 1.0, load },
                );
                expect(&mut guard, &[gate(*other, false), gate(left, true)], true);
            }
        }
    }
    (cases, otherwise)
}

#[derive(Serialize)]
struct Cost {
    proxies: u16,
    hosts: u32,
    what: &'static str,
    batches: u32,
    judge_ms_median: f64,
    judge_ms_p99: f64,
    commit_ms_median: f64,
    anew_ms_median: f64,
    tables: usize,
    lines: usize,
}

fn median(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * part) as usize]
}

fn cost(proxies: u16, hosts: u32, gates: bool, quick: bool) -> Cost {
    let mut guard = standing(proxies, hosts);
    let batch = |number| if gates { gate(hosts, number) } else { step(proxies, hosts, number) };
    let batches = if quick { 400 } else { 4_000 };
    let (mut judged, mut committed) = (Vec::new(), Vec::new());
    for number in 1..=batches {
        let (now, orders) = (1_000.0 + 50.0 * f64::from(number), batch(number));
        let begun = Instant::now();
        let verdict = guard.judge(now, &orders);
        judged.push(begun.elapsed().as_secs_f64() * 1e3);
        if matches!(verdict, Verdict::Refused(_)) {
            continue;
        }
        let begun = Instant::now();
        let place = guard.commit(now, &orders);
        guard.answered(now, place);
        committed.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    let mut plain = Anew::standing(proxies, hosts);
    let looks = if quick { 20 } else { 200 };
    let mut anew: Vec<f64> = (1..=looks)
        .map(|number| {
            let orders = batch(number);
            let begun = Instant::now();
            std::hint::black_box(plain.judge(&orders));
            begun.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    let [_, tables, lines, _] = guard.size();
    Cost {
        proxies,
        hosts,
        what: if gates { "gate" } else { "weights and binds" },
        batches,
        judge_ms_median: median(&mut judged, 0.5),
        judge_ms_p99: median(&mut judged, 0.99),
        commit_ms_median: median(&mut committed, 0.5),
        anew_ms_median: median(&mut anew, 0.5),
        tables,
        lines,
    }
}

/// Resident memory of this process, in bytes.
fn bytes_a_proxy() -> f64 {
    let resident = || {
        let pages = std::fs::read_to_string("/proc/self/statm").ok();
        let pages = pages.and_then(|text| text.split_whitespace().nth(1)?.parse::<f64>().ok());
        pages.unwrap_or(0.0) * rustix::param::page_size() as f64
    };
    let start = resident();
    let few = standing(100, 300);
    let least = resident();
    let many = standing(10_000, 300);
    let most = resident();
    drop((few, many));
    ((most - least) - (least - start)) / 9_900.0
}

/// The actual state of the proxies, one transit after each order, and the rules that it breaks, derived from what the
/// emulator knows and the decisions don't.
struct Truth {
    shape: Shape,
    faults: Vec<Gone>,
    hosts: BTreeMap<HostId, HostEntry>,
    failing: BTreeSet<HostId>,
    zones: BTreeMap<ProxyId, ZoneId>,
    on_the_way: VecDeque<(f64, Vec<Order>)>,
    lines: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    out: BTreeSet<HostId>,
    uses: BTreeMap<(ProxyId, ClassId), TableId>,
    looked: f64,
    over_since: BTreeMap<HostId, f64>,
    /// Proxies and request classes without a usable host now, and whether an order caused it.
    bare: BTreeMap<(ProxyId, ClassId), bool>,
    seen: Broken,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Broken {
    /// Seconds, summed over proxies and request classes, with a table that has no usable host while a warm host that
    /// answers exists.
    bare_s: f64,
    /// The part of these seconds that an order caused, and not a host that ended.
    ordered_s: f64,
    /// Cold hosts whose load was above what they survive, for longer than they survive it.
    pushed: u32,
}

impl Truth {
    fn new(shape: &Shape, faults: &[Gone]) -> Truth {
        Truth {
            shape: shape.clone(),
            faults: faults.to_vec(),
            hosts: BTreeMap::new(),
            failing: BTreeSet::new(),
            zones: BTreeMap::new(),
            on_the_way: VecDeque::new(),
            lines: BTreeMap::new(),
            out: BTreeSet::new(),
            uses: BTreeMap::new(),
            looked: 0.0,
            over_since: BTreeMap::new(),
            bare: BTreeMap::new(),
            seen: Broken::default(),
        }
    }

    fn hear(&mut self, event: &Event) {
        match event {
            Event::List { entries, .. } => {
                self.hosts.extend(entries.iter().map(|entry| (entry.host, entry.clone())));
            }
            Event::ProxyJoined { proxy, zone, .. } => drop(self.zones.insert(*proxy, *zone)),
            Event::ProbeResult { host, outcome: ProbeOutcome::Answered, .. } => {
                self.failing.remove(host);
            }
            Event::ProbeResult { host, .. } => drop(self.failing.insert(*host)),
            _ => {}
        }
    }

    fn carry_out(&mut self, order: &Order) {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                self.lines.entry(*table).or_default().insert(*host, *weight);
            }
            Order::SetEntry { table, host, .. } => drop(self.lines.entry(*table).or_default().remove(host)),
            Order::ClearTable { table } => drop(self.lines.remove(table)),
            Order::Withdraw { host, withdrawn: true } => drop(self.out.insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.out.remove(host)),
            Order::Bind { proxy, table, classes } => {
                let of = (0..self.shape.products.len() as u16).map(ClassId);
                let of = of.filter(|id| *classes == ClassSet::ALL || classes.0 & ClassSet::one(*id).0 != 0);
                self.uses.extend(of.map(|class| ((*proxy, class), *table)));
            }
            _ => {}
        }
    }

    /// Finds the proxies and request classes without a usable host now; for new ones records whether orders caused it.
    fn find_bare(&mut self, now: f64, ordered: bool) {
        let warmup = self.shape.warmup.clone();
        let on = |listed: &&HostEntry| listed.availability == Availability::InService;
        let warm = |listed: &HostEntry| {
            listed.started_at.is_none_or(|started_at| now >= started_at + warmup.duration)
        };
        let ready = self.hosts.values().filter(on).any(|listed| {
            warm(listed) && !self.out.contains(&listed.host) && !self.failing.contains(&listed.host)
        });
        let serves = |host: &HostId| !self.out.contains(host) && !self.failing.contains(host);
        let bare = |table: &TableId| {
            ready && !self.lines.get(table).into_iter().flatten().any(|line| serves(line.0))
        };
        let of = self.uses.iter().filter(|used| bare(used.1)).map(|used| *used.0);
        let before = |who: &(ProxyId, ClassId)| self.bare.get(who).copied().unwrap_or(ordered);
        self.bare = of.map(|who| (who, before(&who))).collect();
    }

    /// Adds up the violations since the last check.
    fn look(&mut self, now: f64) {
        let since = std::mem::replace(&mut self.looked, now);
        let warmup = self.shape.warmup.clone();
        let on = |listed: &&HostEntry| listed.availability == Availability::InService;
        let warm = |listed: &HostEntry| {
            listed.started_at.is_none_or(|started_at| now >= started_at + warmup.duration)
        };
        let times: f64 = self
            .faults
            .iter()
            .filter(|fault| (fault.from..fault.until).contains(&now))
            .map(|fault| if let Trouble::Burst { times } = fault.what { times } else { 1.0 })
            .product();
        let work: f64 = self.shape.products.iter().map(|(_, part, work)| part * work).sum();
        let (cores, hosts) = (f64::from(self.shape.cores), f64::from(self.shape.hosts));
        let each = 1_000.0 * cores / work;
        let proxy = each * hosts * self.shape.use_of_cores * times / f64::from(self.shape.proxies);
        let mut load = BTreeMap::<HostId, f64>::new();
        for ((_, class), table) in &self.uses {
            let rate = proxy * self.shape.products[usize::from(class.0)].1;
            let lines = self.lines.get(table).into_iter().flatten();
            let open: Vec<(&HostId, &f64)> = lines.filter(|line| !self.out.contains(line.0)).collect();
            let sum: f64 = open.iter().map(|line| line.1).sum();
            open.iter().for_each(|(host, weight)| *load.entry(**host).or_default() += rate * **weight / sum);
        }
        self.seen.bare_s += self.bare.len() as f64 * (now - since) / 1e3;
        self.seen.ordered_s += self.bare.values().filter(|by| **by).count() as f64 * (now - since) / 1e3;
        for listed in self.hosts.values().filter(on).filter(|listed| !warm(listed)) {
            let age = (now - listed.started_at.unwrap_or(now)) / warmup.duration;
            let able = warmup.initial_capacity + (1.0 - warmup.initial_capacity) * age.clamp(0.0, 1.0);
            let most = warmup.failure_load * each * listed.weight * able;
            if load.get(&listed.host).is_none_or(|load| *load <= most) {
                self.over_since.remove(&listed.host);
                continue;
            }
            let over = self.over_since.entry(listed.host).or_insert(now);
            if *over >= 0.0 && now >= *over + warmup.failure_after {
                // Counted once for each time that the load exceeds the limit.
                *over = f64::MIN;
                self.seen.pushed += 1;
            }
        }
    }
}

/// Decisions whose orders are checked as they reach the proxies.
struct Seen {
    inner: Box<dyn Decide>,
    truth: Rc<RefCell<Truth>>,
}

impl Decide for Seen {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut truth = self.truth.borrow_mut();
        while truth.on_the_way.front().is_some_and(|next| next.0 <= now) {
            let next = truth.on_the_way.pop_front();
            next.into_iter().flat_map(|next| next.1).for_each(|order| truth.carry_out(&order));
        }
        truth.find_bare(now, true);
        truth.look(now);
        events.iter().for_each(|event| truth.hear(event));
        truth.find_bare(now, false);
        let orders = self.inner.decide(now, events);
        let at = now + truth.shape.transit;
        truth.on_the_way.push_back((at, orders.clone()));
        orders
    }
}

/// A fault injected into the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
enum Seeded {
    None,
    /// The rule that nobody is moved before a host serves is disabled: lines arrive half a second late.
    BindsFirst,
    /// Hosts that have just started get six times their proper weight.
    Heavy,
}

struct Corrupted {
    inner: Box<dyn Decide>,
    how: Seeded,
    late: VecDeque<(f64, Vec<Order>)>,
    started_at: BTreeMap<HostId, f64>,
}

impl Decide for Corrupted {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        for event in events {
            if let Event::List { entries, .. } = event {
                self.started_at
                    .extend(entries.iter().filter_map(|entry| Some((entry.host, entry.started_at?))));
            }
        }
        let mut orders = self.inner.decide(now, events);
        match self.how {
            Seeded::None => {}
            Seeded::BindsFirst => {
                let lines = |order: &Order| matches!(order, Order::SetEntry { weight, .. } if *weight > 0.0);
                let (late, on_time) = orders.into_iter().partition(lines);
                self.late.push_back((now + 500.0, late));
                orders = on_time;
                while self.late.front().is_some_and(|late| late.0 <= now) {
                    orders.splice(0..0, self.late.pop_front().into_iter().flat_map(|late| late.1));
                }
            }
            Seeded::Heavy => {
                for order in &mut orders {
                    if let Order::SetEntry { host, weight, .. } = order {
                        let fresh =
                            self.started_at.get(host).is_some_and(|started_at| now < started_at + 15_000.0);
                        *weight *= if fresh { 6.0 } else { 1.0 };
                    }
                }
            }
        }
        orders
    }
}

#[derive(Serialize)]
struct Row {
    day: &'static str,
    seeded: Seeded,
    service: [f64; 3],
    broken: [Broken; 3],
    /// What `watch` would have held back, and what `enforce` did hold back.
    watched: [u64; 4],
    held_back: [u64; 4],
    batches: u64,
    least_bad: u64,
    anew: u64,
}

fn days() -> Vec<(&'static str, Vec<Gone>)> {
    let gone = |from: f64, until: f64, what| Gone { from: 1e3 * from, until: 1e3 * until, what };
    let zone = |zone: u32| (0..24).filter(|host| host % 3 == zone).collect::<Vec<u32>>();
    let burst = |from, until| gone(from, until, Trouble::Burst { times: 1.4 });
    vec![
        ("steady", vec![]),
        ("bursty", vec![burst(20.0, 26.0), burst(45.0, 51.0)]),
        ("zone-lost", vec![gone(30.0, 80.0, Trouble::Leave { hosts: zone(1) })]),
        ("zone-restarts", vec![gone(38.0, 44.0, Trouble::Restart { hosts: zone(2) })]),
        (
            "two-zones-restart",
            vec![gone(38.0, 44.0, Trouble::Restart { hosts: [zone(1), zone(2)].concat() })],
        ),
        ("all-but-two-restart", vec![gone(38.0, 42.0, Trouble::Restart { hosts: (2..24).collect() })]),
        ("cut", vec![gone(35.0, 60.0, Trouble::Cut { zone: ZoneId(1) })]),
        ("proxies-stall", vec![gone(38.0, 50.0, Trouble::Stall { proxies: vec![0, 4, 8] })]),
        ("hosts-slow", vec![gone(30.0, 70.0, Trouble::Slow { hosts: vec![1, 5, 9], part: 0.5 })]),
    ]
}

fn play(faults: &[Gone], seeded: Seeded, mode: Mode, seed: u64) -> (Day, Broken, Counts) {
    let shape = Shape::usual();
    let door = Rc::new(RefCell::new(Door::new(Guard::new(facts(&shape)), mode)));
    let truth = Rc::new(RefCell::new(Truth::new(&shape, faults)));
    let (inside, seen) = (door.clone(), truth.clone());
    let world = World::new(shape, faults.to_vec(), Reports::Off, seed).behind(|inner| {
        let spoilt = Corrupted { inner, how: seeded, late: VecDeque::new(), started_at: BTreeMap::new() };
        Box::new(Seen { inner: Box::new(Guarded::new(spoilt, inside)), truth: seen })
    });
    let day = world.play();
    let (broken, counts) = (truth.borrow().seen, door.borrow().counts());
    (day, broken, counts)
}

fn guarded(how: &How) -> Vec<Row> {
    let draws = if how.quick { 1 } else { 10 };
    let all = days().into_iter().flat_map(|(day, faults)| {
        let sound = (day, faults.clone(), Seeded::None);
        let spoilt = match day {
            "steady" | "zone-lost" => Some((day, faults, Seeded::BindsFirst)),
            "two-zones-restart" => Some((day, faults, Seeded::Heavy)),
            _ => None,
        };
        [Some(sound), spoilt].into_iter().flatten()
    });
    let mut rows = Vec::new();
    for (day, faults, seeded) in all {
        let mut row = Row {
            day,
            seeded,
            service: [0.0; 3],
            broken: [Broken::default(); 3],
            watched: [0; 4],
            held_back: [0; 4],
            batches: 0,
            least_bad: 0,
            anew: 0,
        };
        for draw in 0..draws {
            let seed = how.seed * 1_000 + draw;
            let each = std::thread::scope(|scope| {
                let faults = &faults;
                let modes = [Mode::Off, Mode::Watch, Mode::Enforce];
                let days = modes.map(|mode| scope.spawn(move || play(faults, seeded, mode, seed)));
                days.map(|day| day.join().expect("a day that does not panic"))
            });
            for (place, (day, broken, counts)) in each.into_iter().enumerate() {
                row.service[place] += day.service() / draws as f64;
                row.broken[place].bare_s += broken.bare_s;
                row.broken[place].ordered_s += broken.ordered_s;
                row.broken[place].pushed += broken.pushed;
                let into = match place {
                    0 => continue,
                    1 => &mut row.watched,
                    _ => &mut row.held_back,
                };
                into.iter_mut().zip(counts.by_rule).for_each(|(sum, more)| *sum += more);
                if place == 2 {
                    row.batches += counts.batches;
                    row.least_bad += counts.least_bad;
                    row.anew += counts.anew;
                }
            }
        }
        println!(
            "{day:<20} {seeded:?}: service off {:.4} watch {:.4} enforce {:.4}; bare s {:.1} {:.1} {:.1} (by orders {:.1} {:.1} {:.1}), pushed {} {} {}",
            row.service[0], row.service[1], row.service[2],
            row.broken[0].bare_s, row.broken[1].bare_s, row.broken[2].bare_s,
            row.broken[0].ordered_s, row.broken[1].ordered_s, row.broken[2].ordered_s,
            row.broken[0].pushed, row.broken[1].pushed, row.broken[2].pushed
        );
        println!(
            "{:<20} held back of {} batches, by rule: watched {:?}, enforced {:?}; least bad {}, anew {}",
            "", row.batches, row.watched, row.held_back, row.least_bad, row.anew
        );
        rows.push(row);
    }
    rows
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let bytes = bytes_a_proxy();
    println!("a proxy takes {bytes:.0} bytes");
    let sizes = [(100, 30), (1_000, 300), (10_000, 3_000)];
    let costs: Vec<Cost> = sizes
        .iter()
        .flat_map(|(proxies, hosts)| [true, false].map(|gates| cost(*proxies, *hosts, gates, how.quick)))
        .collect();
    for row in &costs {
        println!(
            "{:>6} proxies {:>5} hosts, {}: judged in {:.4} ms (p99 {:.4}), committed {:.4}, anew {:.3}",
            row.proxies,
            row.hosts,
            row.what,
            row.judge_ms_median,
            row.judge_ms_p99,
            row.commit_ms_median,
            row.anew_ms_median
        );
    }
    let most = if how.quick { 60_000 } else { 1_000_000 };
    let behind = words(how.seed, most / 2, late);
    println!(
        "{} batches, {} of them while a proxy was behind, {} wrong: falsely accepted {}, falsely refused {}; mended {} (falsely {})",
        behind.judged, behind.late, behind.wrong, behind.falsely_accepted, behind.falsely_refused,
        behind.mended, behind.falsely_mended
    );
    let words = words(how.seed, most, small);
    println!(
        "{} batches of {} fleets, {} wrong: falsely accepted {}, falsely refused {}; mended {} (falsely {}), refused {}",
        words.judged, words.fleets, words.wrong, words.falsely_accepted, words.falsely_refused, words.mended,
        words.falsely_mended, words.refused
    );
    let (cases, otherwise) = single_hosts();
    println!("{cases} cases of a single host left, {otherwise} judged otherwise");
    if let Some(dir) = &how.out {
        let series = |name: &str, what: &str, of: fn(&Cost) -> f64| Series {
            name: name.into(),
            points: costs
                .iter()
                .filter(|row| row.what == what)
                .map(|row| (f64::from(row.proxies).log10(), of(row).max(1e-6).log10()))
                .collect(),
        };
        let all = [
            series("a gate, judged", "gate", |row| row.judge_ms_median),
            series("a gate, p99", "gate", |row| row.judge_ms_p99),
            series("weights and binds, judged", "weights and binds", |row| row.judge_ms_median),
            series("all anew", "gate", |row| row.anew_ms_median),
        ];
        keep(dir, "guard", "Judging one batch", "proxies, log 10", "ms, log 10", &all)?;
    }
    let rows = guarded(how);
    let calm: Vec<&Row> = rows
        .iter()
        .filter(|row| matches!(row.day, "steady" | "bursty") && row.seeded == Seeded::None)
        .collect();
    let lost = calm.iter().map(|row| row.service[0] - row.service[2]).fold(f64::MIN, f64::max);
    let watched = calm.iter().flat_map(|row| row.watched).sum::<u64>() as f64;
    let gates = costs.iter().filter(|row| row.what == "gate" && row.proxies == 10_000);
    let gate = gates.map(|row| row.judge_ms_median).fold(0.0, f64::max);
    let broken = |place: usize, seeded: bool| {
        let of = rows.iter().filter(|row| (row.seeded != Seeded::None) == seeded);
        of.fold((0.0, 0.0), |(bare, pushed), row| {
            (bare + row.broken[place].bare_s, pushed + f64::from(row.broken[place].pushed))
        })
    };
    let ((off, pushed_off), (enforced, pushed_enforced)) = (broken(0, true), broken(2, true));
    let ((sound_off, _), (sound, _)) = (broken(0, false), broken(2, false));
    let caught: u64 = rows
        .iter()
        .filter(|row| row.seeded == Seeded::BindsFirst)
        .map(|row| row.watched[Rule::Bare.place()])
        .sum();
    let bounds = [
        Bound::under("batches accepted that some interleaving breaks", words.falsely_accepted as f64, 1.0),
        Bound::under("mended batches that some interleaving breaks", words.falsely_mended as f64, 1.0),
        Bound::under(
            "batches passed that break something while a proxy is behind",
            (behind.falsely_accepted + behind.falsely_mended) as f64,
            1.0,
        ),
        Bound::under(
            "part of batches refused that nothing breaks",
            words.falsely_refused as f64 / words.judged as f64,
            FALSELY_REFUSED,
        ),
        Bound::under("single hosts left, judged otherwise", f64::from(otherwise), 1.0),
        Bound::under("a gate at 10,000 proxies judged, median, ms", gate, BATCH_MS),
        Bound::under("service lost to it, days without trouble", lost, LOST),
        Bound::under("held back by watch, days without trouble", watched, 1.0),
        Bound::over("seeded binds ahead of lines found by watch", caught as f64, 1.0),
        Bound::under("seeded faults: bare seconds, enforced beside off", enforced, off.max(1e-9)),
        Bound::under(
            "seeded faults: hosts pushed over, enforced beside off",
            pushed_enforced,
            pushed_off + 1.0,
        ),
        Bound::under("sound decisions: bare seconds, enforced beside off", sound, sound_off + 0.5),
    ];
    let figures = serde_json::json!({"bytes_a_proxy": bytes, "costs": costs, "words": words, "behind": behind,
        "single_hosts": {"cases": cases, "otherwise": otherwise}, "days": rows});
    close(how, figures, &bounds)
}
