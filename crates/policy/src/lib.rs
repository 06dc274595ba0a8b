//! amberarch's decisions. Make one [`Steward`] for each instance from its start facts, hand all events of
//! one moment to `decide`, and carry out the orders that come back, in their order. The design, and what
//! departs from it when, is told in docs/design.md; the departures also beside the code.

use amberarch_core::*;
use derive_more::{Add, AddAssign, Sum};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

#[derive(Clone, Copy, Default, Add, AddAssign, Sum)]
struct Tally {
    tries: f64,
    voided: f64,
    took: f64,
    over: f64,
}

impl Tally {
    fn new(tries: u32, voided: u32, mean: f64, over: f64) -> Tally {
        let (tries, voided) = (f64::from(tries), f64::from(voided));
        Tally { tries, voided, took: mean * (tries - voided), over }
    }
    fn voided_part(&self) -> f64 {
        self.voided / self.tries.max(1.0)
    }
    fn good(&self) -> f64 {
        self.tries - self.voided
    }
    fn rate(&self) -> f64 {
        1_000.0 * self.good() / self.over.max(1_000.0)
    }
    fn mean(&self) -> f64 {
        self.took / self.good().max(1.0)
    }
}

/// Finer than any sum comes; enough for 12 s, the longest look back.
const BUCKET: f64 = 500.0;
const BUCKETS: usize = 24;

#[derive(Default)]
struct Ring([(i64, Tally); BUCKETS]);

impl Ring {
    fn add(&mut self, now: f64, tally: Tally) {
        let number = (now / BUCKET) as i64;
        let slot = &mut self.0[number.rem_euclid(BUCKETS as i64) as usize];
        let sum = if slot.0 == number { slot.1 } else { Tally::default() };
        *slot = (number, sum + tally);
    }
    fn last(&self, now: f64, span: f64) -> Tally {
        let (newest, oldest) = ((now / BUCKET) as i64, ((now - span) / BUCKET) as i64);
        let within = self.0.iter().filter(|slot| slot.0 > oldest && slot.0 <= newest);
        within.map(|slot| slot.1).sum()
    }
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

/// The guide's examples: three failures in a row gate, two passes in a row lift.
const FAILS_TO_GATE: u32 = 3;
const PASSES_TO_LIFT: u32 = 2;
const PROBE_PERIOD: f64 = 1_000.0;

/// A light probe says that a process runs, no more: good real answers, late ones too, outrank one that
/// timed out (a busy host) or erred beside them, failing txns one that passed. None counts for neither run.
fn passes(outcome: Outcome, real: &Tally) -> Option<bool> {
    match outcome {
        Outcome::Answered if real.tries >= 4.0 && real.voided_part() > 0.5 => None,
        Outcome::Answered => Some(true),
        Outcome::TimedOut if real.good() >= 1.0 => None,
        Outcome::Errored if real.tries >= 4.0 && real.voided_part() < 0.3 => None,
        Outcome::Errored | Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset => Some(false),
        Outcome::Full | Outcome::Unknown => None,
    }
}

/// A window of late sums as one more probe. Only what stands out from the other hosts counts: what all
/// share is load, the path or the like. One slow beside what it voids is overrun: gating overruns the next.
fn fails_txns(real: &Tally, usual_part: f64, sla: f64) -> bool {
    let part = real.voided_part();
    let overrun = real.good() >= 1.0 && real.mean() > 0.7 * sla;
    real.tries >= 5.0 && part > 0.3 && part > usual_part + 0.25 && !overrun
}

#[derive(Default)]
struct Gate {
    fails: u32,
    passes: u32,
    shut: bool,
    until: f64,
}

impl Gate {
    fn count(&mut self, now: f64, pass: Option<bool>, weighing: u32, least: f64) {
        if let Some(pass) = pass {
            (self.fails, self.passes) = if pass { (0, self.passes + 1) } else { (self.fails + weighing, 0) };
        }
        if self.fails >= FAILS_TO_GATE && !self.shut {
            (self.shut, self.until) = (true, now + least);
        }
    }
}

/// Half as much waits as runs, and twice the median's load: of nine pairs on emulated days the best.
pub const FULL_LOAD: f64 = 1.5;
pub const BESIDE: f64 = 2.0;
/// So long a told load stands, and so surely it must be known.
const TOLD_FOR: f64 = 2_000.0;
const SURE: f64 = 0.5;

/// What a cold host can do when it may carry half: so much bears what strained proxies turn to it.
const HALF: f64 = 0.55;

/// The list told of a new start one to three seconds after the host answered again; that twice over.
const UNTOLD_FOR: f64 = 5_000.0;

struct Host {
    zone: ZoneId,
    kind: KindId,
    place: u32,
    weight: f64,
    standing: Standing,
    cold_since: Option<f64>,
    /// When it answered again after it was gone; infinity: it is gone. And when it was let in last.
    back_at: f64,
    let_in_at: f64,
    gate: Gate,
    met: BTreeMap<ZoneId, Ring>,
    summed: bool,
    busy: Option<f64>,
    /// The load that it is believed to have, and when that was observed.
    told: Option<(f64, f64)>,
    probed_at: f64,
    /// The part of its listed weight that its speed bears out, and when that was last changed.
    pace: f64,
    paced_at: f64,
    kept: f64, // Told last for a steward after this one.
}

impl Host {
    fn met(&self, now: f64, span: f64) -> Tally {
        self.met.values().map(|ring| ring.last(now, span)).sum()
    }

    /// The part of its listed weight that it may carry, in few steps below what it can; none: it stays out.
    fn part(&self, now: f64, warmup: &Warmup) -> Option<f64> {
        let able = self.able(now, warmup);
        let steps = [(1.0, 1.0), (0.75, 0.8), (0.5, HALF), (0.25, 0.3)];
        let step = steps.iter().find(|step| able >= step.1).map(|step| step.0);
        Some(step.or(self.untold(now).then_some(0.25))? * self.pace)
    }
    /// Guards against a list that tells of a new start too late: one back counts as cold until that is due.
    fn untold(&self, now: f64) -> bool {
        self.back_at <= now && now < self.back_at + UNTOLD_FOR
    }
    /// The part of its capacity that the slowest warming has brought it.
    fn able(&self, now: f64, warmup: &Warmup) -> f64 {
        let since = self.cold_since.or(Some(self.back_at).filter(|_| self.untold(now)));
        let age = since.map_or(2.0, |since| (now - since) / warmup.within);
        f64::min(1.0, warmup.from + (1.0 - warmup.from) * age)
    }

    /// Guards against hosts slower than listed: one whose good answers come late beside the others' carries
    /// less, in few sticky steps, each seen in later sums. One slow for other reasons loses traffic too.
    fn ease(&mut self, now: f64, real: &Tally, usual_mean: f64, sla: f64, every: f64) {
        let mean = real.mean();
        let overrun = real.tries >= 6.0 && real.voided_part() > 0.5 && mean > 0.7 * sla;
        let due = (real.good() >= 6.0 || overrun) && now >= self.paced_at + 2.0 * every + 2_000.0;
        if due && mean > 0.5 * sla && mean > 1.6 * usual_mean && self.pace > 0.15 {
            (self.pace, self.paced_at) = (self.pace * (1.6 * usual_mean / mean).clamp(0.5, 0.75), now);
        } else if due && self.pace < 1.0 && mean < 0.5 * usual_mean {
            (self.pace, self.paced_at) = (f64::min(1.0, self.pace / 0.6), now);
        }
    }

    /// Sums tell of a slow host two periods late: one that tells of its own load is eased by that. Back up it
    /// comes by sums alone, and no gate goes by it. A told load never outlives a probe or sum observed later.
    fn lighten(&mut self, now: f64, usual_load: f64, every: f64, warmup: &Warmup) {
        let Some((load, _)) = self.told.filter(|told| now < told.1 + TOLD_FOR) else { return };
        let due = now >= self.paced_at + 2.0 * every + 2_000.0 && self.able(now, warmup) >= 1.0;
        if due && load > FULL_LOAD && load > BESIDE * usual_load && self.pace > 0.15 {
            (self.pace, self.paced_at) = (self.pace * (BESIDE * usual_load / load).clamp(0.5, 0.75), now);
        }
    }
}

#[derive(Default)]
struct Proxy {
    zone: ZoneId,
    /// Its table in the tree of its zone's; zero: none yet.
    node: u32,
    joined_rate: f64,
    came: BTreeMap<ProductId, Ring>,
    messages: Ring,
}

impl Proxy {
    /// Txns a second of one of so many products: as summed of late, until then as told at joining.
    fn rate(&self, now: f64, span: f64, product: ProductId, products: usize) -> f64 {
        let sum = self.came.get(&product).map(|ring| ring.last(now, span)).unwrap_or_default();
        let told = if self.came.is_empty() { self.joined_rate / products as f64 } else { 0.0 };
        told + 1_000.0 * sum.tries / sum.over.max(1_000.0)
    }
}

/// Neighbours' hosts join where a zone's own carry more than the fleet's share; all, where none is left.
/// Costs crossings. Sticky quarters, lest small shifts write orders; finer where little of a zone's own is
/// open, lest the first cold hosts back get all of its demand by rounding.
fn spill(parts: &mut BTreeMap<(ZoneId, ZoneId), f64>, weights: &[f64], demands: &[f64], movable: f64) {
    let fair = demands.iter().sum::<f64>() / weights.iter().sum::<f64>().max(1e-9);
    let room: Vec<f64> = weights.iter().zip(demands).map(|(w, d)| (w * fair - d).max(0.0)).collect();
    let all_room = room.iter().sum::<f64>().max(1e-9);
    for (place, (weight, demand)) in weights.iter().zip(demands).enumerate() {
        let out = f64::min(0.99, (demand - weight * fair).max(0.0) / (movable * demand).max(1e-9));
        let little = weight * weights.len() as f64 / weights.iter().sum::<f64>().max(1e-9);
        let fine = 2f64.powf(little.clamp(0.01, 1.0).log2().ceil()) / 4.0;
        for other in (0..weights.len()).filter(|other| *other != place) {
            let flow = out * room[other] / all_room;
            let each = flow * weight / (1.0 - out) / weights[other].max(1e-9);
            let exact = if *weight > 0.0 { each } else { 1.0 };
            let part = parts.entry((ZoneId(place as u16), ZoneId(other as u16))).or_insert(0.0);
            let moves = (exact - *part).abs() > 0.8 * fine;
            *part = if moves { f64::min(1.0, (exact / fine).round() * fine) } else { *part };
        }
    }
}

/// A zone's tables are a tree: node 1 names all hosts; node b + r, b a power of two, every b-th from r.
fn breadth(node: u32) -> u32 {
    1 << node.ilog2()
}

/// What a zone asks of one product, by proxy and in all; the SLA time stands in for a txn's work.
struct Ask {
    id: ProductId,
    product: Product,
    rates: Vec<f64>,
    total: f64,
    work: f64,
}

/// Seats a zone's proxies: each at the smallest table of which it asks half the fair share at most, the least
/// loaded. It stays, as moves cost handshakes, until its rate fits no more or it evens out `gain` of load.
fn seat(proxies: &mut BTreeMap<ProxyId, Proxy>, zone: ZoneId, asks: &[Ask], open: &[f64], gain: f64) {
    let most = open.len() as u32;
    let groups = |node: u32| (node - breadth(node)..most).step_by(breadth(node) as usize);
    let sum = |of: &[f64], node: u32| groups(node).map(|group| of[group as usize]).sum::<f64>();
    let filled = |load: &[f64], node: u32, part: f64| {
        (part.max(1e-6) + sum(load, node)) * sum(open, 1) / sum(open, node).max(1e-9)
    };
    let mut load = vec![0.0; open.len()];
    let sit = |load: &mut [f64], node: u32, part: f64| {
        let per_weight = part / sum(open, node).max(1e-9);
        groups(node).for_each(|group| load[group as usize] += per_weight * open[group as usize]);
    };
    let all = asks.iter().map(|ask| ask.total).sum::<f64>().max(1e-9);
    let here = proxies.iter_mut().filter(|(_, proxy)| proxy.zone == zone).enumerate();
    let part = |at: usize| asks.iter().map(|ask| ask.rates[at]).sum::<f64>().max(1e-3 * all) / all;
    let mut seats: Vec<(f64, &mut Proxy)> = here.map(|(at, (_, proxy))| (part(at), proxy)).collect();
    seats.sort_by(|a, b| b.0.total_cmp(&a.0));
    seats.iter().filter(|(_, p)| p.node > 0).for_each(|(part, p)| sit(&mut load, p.node, *part));
    for (part, proxy) in seats {
        let asks = part * f64::from(breadth(proxy.node.max(1)));
        let narrow = breadth(proxy.node.max(1)) < most && asks <= 0.125;
        let fits = (1..2 * most).contains(&proxy.node) && (gain > 1.0 || asks <= 1.0 && !narrow);
        let mut wides = (0..=most.ilog2()).map(|bits| most >> bits);
        let free = wides.find(|wide| part * f64::from(*wide) <= 0.5).unwrap_or(1);
        let wide = if fits { breadth(proxy.node) } else { free };
        let full = |node: &u32| filled(&load, *node, part);
        let to = (wide..2 * wide).min_by(|a, b| full(a).total_cmp(&full(b))).unwrap_or(1);
        if !fits || filled(&load, proxy.node, 0.0) > full(&to) + gain {
            sit(&mut load, proxy.node.max(1), if proxy.node > 0 { -part } else { 0.0 });
            proxy.node = to;
            sit(&mut load, to, part);
        }
    }
}

struct Level {
    share: f64,
    judge_at: f64,
    pressed: bool,
}

impl Level {
    /// More asked than settled shows as slow good answers and as voided tries at all hosts alike.
    /// Then what is let in falls toward what gets settled, else it rises by the room that time leaves.
    fn judge(&mut self, now: f64, real: &Tally, settled: f64, asks: &[Ask], (every, cover): (f64, f64)) {
        if now < self.judge_at || real.tries < 5.0 {
            return;
        }
        let came = asks.iter().map(|ask| ask.total).sum::<f64>().max(1e-9);
        let sla = asks.iter().map(|ask| ask.work).sum::<f64>() / came;
        // Hosts whose good answers are quick have room: what is voided beside them is no load's doing.
        let mean = real.mean() / sla.max(1e-9);
        let slow = mean + if mean > 0.5 || real.good() < 1.0 { real.voided_part() } else { 0.0 };
        self.pressed = slow > 0.65;
        let cut = self.share.min(f64::max(settled / came, 0.75 * self.share)).max(0.3);
        let rise = f64::min(1.0, self.share * (1.45 - slow).max(1.0));
        self.share = if self.pressed { cut } else { rise };
        self.judge_at = now + if self.pressed { cover } else { every };
    }
}

fn even_rate(mut rates: Vec<f64>, share: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = share * rates.iter().sum::<f64>();
    for (place, rate) in rates.iter().enumerate() {
        let even = left / (rates.len() - place) as f64;
        if *rate >= even {
            // Steps of a quarter of an octave, so that small shifts write no orders.
            return 2f64.powf((even.max(0.05).log2() * 4.0).round() / 4.0);
        }
        left -= rate;
    }
    1e6
}

/// What part of backlog and messages drains may use, gates and bare proxies, the rest: that no more than
/// 1.5 s of the channel, as what is urgent later stands behind it.
const DRAIN: (f64, f64) = (0.95, 0.97);
const URGENT: (f64, f64) = (0.85, 0.83);
const ROUTINE: (f64, f64) = (0.5, 0.67);

struct Reply<'a> {
    now: f64,
    channel: &'a Channel,
    proxies: &'a BTreeMap<ProxyId, Proxy>,
    lines: BTreeMap<ProxyId, f64>,
    waiting: f64,
    orders: Vec<Order>,
}

impl Reply<'_> {
    /// Takes the orders in if backlog and message limit allow; `each` lines go to each of `whom`.
    fn take(&mut self, may: (f64, f64), whom: &[ProxyId], each: f64, orders: &[Order]) -> bool {
        let channel = self.channel;
        let span = channel.messages_over + 2.0 * BUCKET;
        let written = |id: &ProxyId| self.proxies[id].messages.last(self.now, span).tries;
        let mut fresh = whom.iter().filter(|id| !self.lines.contains_key(id));
        let cost = each * whom.len() as f64 + (channel.head + 1.0) * fresh.clone().count() as f64;
        let full = |id: &ProxyId| written(id) + 1.0 > may.1 * f64::from(channel.messages);
        let pace = if may == ROUTINE { 1.5 * channel.lines_per_s } else { f64::MAX };
        if channel.messages > 0 && fresh.any(full) || self.waiting + cost > pace.min(may.0 * channel.backlog)
        {
            return false;
        }
        self.waiting += cost;
        whom.iter().for_each(|proxy| *self.lines.entry(*proxy).or_insert(channel.head + 1.0) += each);
        self.orders.extend_from_slice(orders);
        true
    }
}

/// A table: its zone, whether for products confined to it, and its node in the zone's tree.
type Tbl = (ZoneId, bool, u32);

#[derive(Clone, Default)]
struct Plan {
    held: BTreeSet<HostId>,
    lines: BTreeMap<Tbl, BTreeMap<HostId, f64>>,
    binds: BTreeMap<(ProxyId, bool), Tbl>,
    levels: BTreeMap<(Tbl, Products), (f64, Tries)>,
}

pub struct Steward {
    post: Post,
    products: Vec<Product>,
    masks: [Products; 2],
    sla: f64,
    sidecars: Sidecars,
    warmup: Warmup,
    sums: Sums,
    roster: Roster,
    failures: i32,
    ask_at: f64,
    channel: Channel,
    /// What waits in the channel, at the most: an answer to a mark shows that all before it has left.
    sent: VecDeque<(MarkId, BTreeMap<ProxyId, f64>)>,
    lost: (f64, u16), // What waited for proxies that left: after a gap they may get it; the mark after it.
    marks: u16,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The part of its weight that a zone's host has in another zone's table, by (table, hosts).
    spill: BTreeMap<(ZoneId, ZoneId), f64>,
    levels: BTreeMap<ZoneId, Level>,
    /// What a level of reduced service lets in; until it is known what is in force, none is ordered.
    bounds: BTreeMap<(ZoneId, ProductId), (f64, Tries)>,
    awaits: bool,
    usual_voided: f64,
    best: f64,
    present: Plan,
    room: f64,
    strained: bool,
    /// The part of their listed weight that hosts of a kind carry, and when that was last changed.
    kinds: BTreeMap<KindId, (f64, f64)>,
    summed_at: f64,
    cover: f64,
    planned_at: f64,
    still_until: f64,
    urgent: bool,
    fresh: bool,
}

const TICK: f64 = PROBE_PERIOD / 5.0;

impl Decide for Steward {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut out = Vec::new();
        events.iter().for_each(|event| self.hear(now, event));
        let due = std::mem::take(&mut self.fresh) || events.iter().any(|e| matches!(e, Event::Due { .. }));
        out.extend(due.then_some(Order::Timer { after: TICK, timer: TimerId(0) }));
        // Where the list must be asked it is watched; after a failure asked again, ever more rarely.
        if self.roster.asked && now >= self.ask_at {
            self.ask_at = f64::MAX;
            out.push(Order::Watch { on: true });
        }
        // Guards CPU: plans go by the clock, at once only on news of list or gates. No slices decided yet.
        if self.post.slices == 0 && (due || self.urgent && now >= self.planned_at + TICK / 4.0) {
            self.judge(now, &mut out);
            let wanted = self.want(now);
            self.lost.0 = (self.lost.0 - (now - self.planned_at) * self.channel.lines_per_s / 2e3).max(0.0);
            (self.urgent, self.planned_at) = (false, now);
            self.publish(now, wanted, &mut out);
        }
        out
    }
}

impl Steward {
    #[rustfmt::skip]
    pub fn new(
        post: Post, products: Vec<Product>, channel: Channel, sidecars: Sidecars, warmup: Warmup,
        roster: Roster, sums: Sums,
    ) -> Self {
        let sla = products.iter().map(|product| product.sla).sum::<f64>() / products.len().max(1) as f64;
        let of = |own: bool| products.iter().enumerate().filter(move |(_, product)| product.own_zone == own);
        let masks = [false, true].map(|own| Products(of(own).fold(0, |mask, (at, _)| mask | (1 << at))));
        Steward {
            masks, post, products, sla, sidecars, warmup, sums, channel, roster,
            sent: VecDeque::new(), lost: (0.0, 0), marks: 0, cover: 0.0, best: 0.0, room: 0.0, failures: 0,
            ask_at: f64::MIN, spill: BTreeMap::new(), present: Plan::default(), fresh: true, urgent: false,
            levels: BTreeMap::new(), kinds: BTreeMap::new(), hosts: BTreeMap::new(), proxies: BTreeMap::new(),
            usual_voided: 0.0, bounds: BTreeMap::new(), awaits: false, summed_at: f64::MIN, strained: false,
            planned_at: f64::MIN, still_until: f64::MIN,
        }
    }

    fn hear(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { news: ListNews::Failed, .. } => {
                let hashed = BuildHasherDefault::<DefaultHasher>::default();
                let chance = 0.75 + (hashed.hash_one((self.post.seed, self.failures)) % 500) as f64 / 1e3;
                let wait = 600.0 * 2f64.powi(self.failures.min(3)) * chance;
                (self.failures, self.ask_at) = (self.failures + 1, now + wait);
            }
            Event::List { news, entries } => self.learn(now, *news, entries),
            Event::Joined { proxy, zone, txns_per_s: rate, .. } => {
                self.left(*proxy);
                self.proxies.insert(*proxy, Proxy { zone: *zone, joined_rate: *rate, ..Proxy::default() });
            }
            Event::Left { proxy } => self.left(*proxy),
            Event::Met { host, zone, tries, voided, mean, over, .. } => {
                let from = if *over > 1.5 * self.sums.every { now - over } else { now };
                let (out, warmup) = (self.present.held.contains(host), &self.warmup);
                let counts =
                    |host: &&mut Host| host.able(now, warmup) >= 1.0 || !out && from > host.let_in_at;
                if let Some(host) = self.hosts.get_mut(host).filter(counts) {
                    host.met.entry(*zone).or_default().add(now, Tally::new(*tries, *voided, *mean, *over));
                    (host.summed, self.summed_at) = (true, now);
                    host.told = host.told.filter(|told| told.1 > now - over / 2.0);
                }
            }
            Event::Came { proxy, product, txns, voided, over } => {
                let came = self.proxies.get_mut(proxy).map(|proxy| proxy.came.entry(*product).or_default());
                came.into_iter().for_each(|ring| ring.add(now, Tally::new(*txns, *voided, 0.0, *over)));
            }
            Event::Probed { host, outcome, report, .. } => {
                // Where sums are late altogether, the last that came still tell a busy host.
                let span = self.cover + BUCKET + now - self.summed_at;
                if let Some(host) = self.hosts.get_mut(host) {
                    // A host that errs is home and the rest must carry it: it may be the probes that err.
                    let shut = host.gate.shut;
                    let spared = *outcome == Outcome::Errored && !shut && host.weight > self.room;
                    let pass = passes(*outcome, &host.met(now, span)).filter(|_| !spared);
                    (host.busy, host.told) = (report.busy.or(host.busy), None);
                    host.gate.count(now, pass, 1, 0.0);
                    if host.gate.shut && matches!(outcome, Outcome::Unreachable | Outcome::Reset) {
                        host.back_at = f64::INFINITY;
                    } else if pass == Some(true) && host.back_at > now {
                        (host.back_at, host.met) = (now, BTreeMap::new());
                    }
                    self.room -= if host.gate.shut && !shut { host.weight } else { 0.0 };
                    self.urgent |= host.gate.shut && pass != Some(shut);
                    let soon = pass == Some(false) && !host.gate.shut; // A run shows in little over 1 s.
                    host.probed_at = if soon { now + TICK - PROBE_PERIOD } else { host.probed_at };
                }
            }
            Event::Load { host, load, age, sure } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let fits = |told: &(f64, f64)| *sure >= SURE && Some(told.1) > host.cold_since;
                    host.told = Some((*load, now - age)).filter(fits);
                    host.busy = host.told.map(|told| told.0).or(host.busy);
                }
            }
            // Hints save learning anew. Nothing that was seen yet is touched, and two passes lift the gate.
            Event::Hint { host, part, shut } => {
                if let Some(host) = self.hosts.get_mut(host).filter(|host| host.met.is_empty()) {
                    (host.pace, host.gate.shut) = (*part, host.gate.shut || *shut && host.gate.passes == 0);
                }
            }
            Event::Bound { zone, product, share, tries } => {
                self.bounds.insert((*zone, *product), (*share, *tries));
            }
            Event::Await { on } => self.awaits = *on,
            Event::Applied { proxy, mark, .. } => {
                if let Some(place) = self.sent.iter().position(|sent| sent.0 == *mark) {
                    let before = mark.0.wrapping_sub(self.lost.1) >= 1 << 15;
                    self.lost.0 = if before { self.lost.0 } else { 0.0 };
                    self.sent.drain(..place);
                    let copies = self.sent.iter_mut().take_while(|sent| sent.0 == *mark);
                    copies.for_each(|sent| sent.1.retain(|whom, _| whom != proxy));
                }
            }
            // Guards queue and messages where a call is repeated: each may have been carried out.
            Event::Again { mark } => {
                if let Some(place) = self.sent.iter().position(|sent| sent.0 == *mark) {
                    self.sent.insert(place, self.sent[place].clone());
                    self.wrote(now, place);
                }
            }
            _ => {}
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.present.binds.retain(|(bound, _), _| *bound != proxy);
        let lost = self.sent.iter().filter_map(|sent| sent.1.get(&proxy)).sum::<f64>();
        self.lost = (self.lost.0 + lost, if self.lost.0 > 0.0 { self.lost.1 } else { self.marks });
        self.sent.retain_mut(|sent| sent.1.remove(&proxy).is_none() || !sent.1.is_empty());
    }

    fn learn(&mut self, now: f64, news: ListNews, entries: &[Listed]) {
        (self.failures, self.urgent) = (0, true);
        // Before the first host nothing was ordered that could still hold one back.
        let first = self.hosts.is_empty();
        // Places are dealt by weight, the lowest free one first, so that tables of one size carry alike.
        let listed = self.hosts.values().filter(|host| host.standing != Standing::Gone);
        let mut taken: BTreeSet<(ZoneId, u32)> = listed.map(|host| (host.zone, host.place)).collect();
        let anew = self.hosts.values_mut().filter(|_| news != ListNews::Changes);
        anew.for_each(|host| host.standing = Standing::Gone);
        let mut entries: Vec<&Listed> = entries.iter().collect();
        entries.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.kind.cmp(&b.kind)));
        for entry in entries {
            let (zone, standing, kind) = (entry.zone, entry.standing, entry.kind);
            let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            // One that is new here may be one that was let go while shut out: it is let in like those.
            let new = news != ListNews::Restored && !first && !self.hosts.contains_key(&entry.host);
            self.present.held.extend(new.then_some(entry.host));
            let free = (0..).find(|place| !taken.contains(&(zone, *place))).unwrap_or(0);
            #[rustfmt::skip]
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone, place: free, weight, standing, kind, cold_since: None, gate: Gate::default(),
                pace: self.kinds.get(&kind).map_or(1.0, |kind| kind.0), paced_at: f64::MIN, kept: 1.0,
                met: BTreeMap::new(), summed: false, busy: None, told: None, probed_at: f64::MIN,
                back_at: f64::MIN, let_in_at: f64::MIN,
            });
            (host.zone, host.standing, host.weight) = (zone, standing, weight);
            taken.insert((zone, host.place));
            let known = host.cold_since.unwrap_or(now - self.warmup.within);
            if let Some(born) = entry.born.filter(|born| *born > known) {
                // What it did before it started anew says nothing.
                (host.gate, host.cold_since) = (Gate { shut: host.gate.shut, ..Gate::default() }, Some(born));
                (host.told, host.back_at) = (None, if host.back_at > now { f64::MIN } else { host.back_at });
                host.met.clear();
            }
        }
    }

    fn judge(&mut self, now: f64, out: &mut Vec<Order>) {
        // Where the lines of a period are more than are taken in, each waits its turn and covers longer.
        let pairs = self.hosts.values().map(|host| host.met.len()).sum::<usize>()
            + self.proxies.values().map(|proxy| proxy.came.len()).sum::<usize>();
        self.cover = (1_000.0 * pairs as f64 / self.sums.lines_per_s).min(10_000.0).max(self.sums.every);
        let (window, long, sla) = (self.cover + BUCKET, self.cover + 2_000.0, self.sla);
        let on = || self.hosts.values().filter(|host| host.standing == Standing::On);
        let tried = on().map(|host| host.met(now, window)).filter(|real| real.tries >= 3.0);
        self.usual_voided = 1.0 - median(tried.map(|real| 1.0 - real.voided_part()).collect());
        let means = on().map(|host| host.met(now, long)).filter(|real| real.good() >= 6.0);
        let usual_mean = median(means.map(|real| real.mean()).collect());
        // Voids everywhere beside quick answers: few connections are taken, those that stand are worth most.
        let scarce = self.usual_voided > 0.2 && usual_mean > 0.0 && usual_mean < 0.5 * sla;
        self.strained = (0.25..1.0).contains(&self.usual_voided) || usual_mean > 0.6 * sla;
        self.still_until = if scarce { now + 10_000.0 } else { self.still_until };
        // The rest must carry what is gated: a third of the fleet at the most, but for hosts that are gone.
        self.room = on().map(|host| host.weight * if host.gate.shut { -0.66 } else { 0.34 }).sum();
        // One probe to four txns at the most, each a second at least where something is amiss.
        let asked = self.proxies.values().map(|proxy| proxy.joined_rate).sum::<f64>().max(1.0);
        let calm = (4_000.0 * on().count() as f64 / asked).clamp(PROBE_PERIOD, 8.0 * PROBE_PERIOD);
        let told = |host: &Host| host.told.filter(|at| now < at.1 + TOLD_FOR).map(|at| at.0);
        let usual_load = median(on().filter_map(told).collect());
        self.pace_kinds(now);
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.standing == Standing::On) {
            let kind = self.kinds.get(&host.kind).filter(|(pace, at)| *at == now && host.pace > *pace);
            (host.pace, host.paced_at) = *kind.unwrap_or(&(host.pace, host.paced_at));
            host.lighten(now, usual_load, self.cover, &self.warmup);
            let period = if host.gate.shut || host.gate.fails > 0 { PROBE_PERIOD } else { calm };
            if self.post.may_probe && now >= host.probed_at + period - 1.0 {
                host.probed_at = now;
                out.push(Order::Probe { host: *id });
            }
            if std::mem::take(&mut host.summed) {
                let real = host.met(now, window);
                let amiss = real.voided_part() > self.usual_voided + 0.2;
                host.probed_at -= if amiss { calm - PROBE_PERIOD } else { 0.0 };
                host.ease(now, &host.met(now, long), usual_mean, sla, self.cover);
                if fails_txns(&real, self.usual_voided, sla) && (host.gate.shut || host.weight <= self.room) {
                    self.room -= if host.gate.shut { 0.0 } else { host.weight };
                    host.gate.count(now, Some(false), 1 + (self.cover / PROBE_PERIOD) as u32, 8_000.0);
                }
            }
            let learnt = host.pace != std::mem::replace(&mut host.kept, host.pace);
            out.extend(learnt.then_some(Order::Learnt { host: *id, part: host.pace }));
            host.gate.shut &= host.gate.passes < PASSES_TO_LIFT || now < host.gate.until;
        }
    }

    /// Guards against a slow kind of host at a quick one's weight, where none is listed and sums come rarely:
    /// all of a kind together show in one round what each shows in three. Up again each host comes by itself.
    fn pace_kinds(&mut self, now: f64) {
        let on = || self.hosts.values().filter(|host| host.standing == Standing::On && !host.gate.shut);
        let listed = on().zip(on().skip(1)).any(|(host, other)| host.weight != other.weight);
        let (mut met, rare) = (BTreeMap::<KindId, Tally>::new(), self.cover > 1.5 * self.sums.every);
        let told = |host: &&Host| rare && !listed && !self.strained && host.able(now, &self.warmup) >= 1.0;
        for host in on().filter(told) {
            *met.entry(host.kind).or_default() += host.met(now, self.cover + BUCKET);
        }
        met.retain(|_, real| real.good() >= 60.0);
        let quickest = met.values().map(Tally::mean).fold(f64::MAX, f64::min);
        met.retain(|_, real| real.mean() > f64::max(1.6 * quickest, 0.2 * self.sla));
        for (kind, real) in met {
            let (pace, at) = self.kinds.entry(kind).or_insert((1.0, f64::MIN));
            let to = f64::max(0.5, *pace * (1.2 * quickest / real.mean()).clamp(0.5, 0.75));
            let due = to < *pace && now >= *at + self.cover + 2_000.0;
            (*pace, *at) = if due { (to, now) } else { (*pace, *at) };
        }
    }

    fn asks(&self, now: f64, zone: ZoneId) -> Vec<Ask> {
        let (span, count) = (f64::max(5_000.0, self.cover + BUCKET), self.products.len());
        let ask = |(place, product): (usize, &Product)| {
            let id = ProductId(place as u16);
            let there = self.proxies.values().filter(|proxy| proxy.zone == zone);
            let rates: Vec<f64> = there.map(|proxy| proxy.rate(now, span, id, count)).collect();
            let total = rates.iter().sum::<f64>();
            Ask { id, product: product.clone(), rates, total, work: total * product.sla }
        };
        self.products.iter().enumerate().map(ask).collect()
    }

    fn want(&mut self, now: f64) -> Plan {
        let (mut plan, within) = (Plan::default(), self.warmup.within);
        let zones: Vec<ZoneId> = (0..self.post.zones).map(ZoneId).collect();
        let confined = self.masks[1] != Products::ALL;
        let on = self.hosts.iter().filter(|(_, host)| host.standing == Standing::On);
        let able = |(id, host): (&HostId, &'_ Host)| Some((*id, host.part(now, &self.warmup)?));
        let able: Vec<(HostId, f64)> = on.filter_map(able).collect();
        let able = || able.iter().map(|(id, part)| (*id, &self.hosts[id], *part));
        let none_open = able().all(|(_, host, _)| host.gate.shut);
        let warm = |host: &Host| host.cold_since.is_none_or(|at| now >= at + within);
        // Zones with most of their warm hosts' weight gated.
        let there = |zone: ZoneId| able().map(|able| able.1).filter(move |h| h.zone == zone && warm(h));
        let weigh = |host: &Host| if host.gate.shut { -host.weight } else { host.weight };
        let few = |zone: &ZoneId| there(*zone).map(weigh).sum::<f64>() < 0.0;
        let few: BTreeSet<ZoneId> = zones.iter().copied().filter(few).collect();
        plan.held = self.hosts.keys().copied().collect();
        for (id, host, _) in able() {
            // With every host gated, gates are ignored; so too, in a zone with few, where a product may not
            // leave it. Nor are cold ones let in there, or where tries fail at all: they would get all.
            let few = few.contains(&host.zone);
            let gated = host.gate.shut && !none_open && !(few && confined);
            let stands = host.able(now, &self.warmup) >= HALF;
            if !gated && (!few && (!self.strained || stands) || warm(host)) {
                plan.held.remove(&id);
            }
        }
        let asks: Vec<Vec<Ask>> = zones.iter().map(|zone| self.asks(now, *zone)).collect();
        let (held, shut) = (&plan.held, |host: &Host| host.gate.shut);
        let open = |zone| able().filter(move |(id, h, _)| h.zone == zone && !shut(h) && !held.contains(id));
        let weights: Vec<f64> = zones.iter().map(|z| open(*z).map(|(_, h, p)| h.weight * p).sum()).collect();
        let mut demands: Vec<f64> = asks.iter().map(|asks| asks.iter().map(|ask| ask.total).sum()).collect();
        let free = asks.iter().flatten().filter(|ask| !ask.product.own_zone);
        let movable = free.map(|ask| ask.total).sum::<f64>() / demands.iter().sum::<f64>().max(1e-9);
        if self.post.by_zone && self.post.stewards > 1 {
            // Other stewards' zones are as full as ours, or as their hosts say, at the median: some may lie.
            let busy = |zone: &ZoneId| median(open(*zone).filter_map(|(_, host, _)| host.busy).collect());
            let (home, busy) = (self.post.zone.0 as usize, zones.iter().map(busy).collect::<Vec<f64>>());
            let fair = demands[home] / weights[home].max(1e-9);
            for (place, demand) in demands.iter_mut().enumerate() {
                let beside = if busy[home] > 0.0 { busy[place] / busy[home] } else { 1.0 };
                *demand = demand.max(fair * beside * weights[place]);
            }
        }
        // Looked at every other tick: parts that followed each would chase their own effect.
        if self.urgent || (now / 400.0) as i64 != (self.planned_at / 400.0) as i64 {
            spill(&mut self.spill, &weights, &demands, movable);
        }
        let rings = self.hosts.values().flat_map(|host| host.met.values());
        let good: f64 = rings.map(|ring| ring.last(now, self.cover + BUCKET).rate()).sum();
        self.best = f64::max(self.best * 0.999, good / weights.iter().sum::<f64>().max(1e-9));
        let (mut usable, mut homes) = (BTreeMap::new(), Vec::new());
        let mut lines: BTreeMap<_, Vec<(u32, HostId, f64)>> = BTreeMap::new();
        for (zone, own) in zones.iter().flat_map(|zone| [(*zone, true), (*zone, false)]) {
            // The smallest tables have the size of those that proxies start with, or up to twice that.
            let listed = |host: &&Host| host.zone == zone && host.standing != Standing::Gone;
            let count = self.hosts.values().filter(listed).count() as u32;
            let most = 1 << (count / self.sidecars.standing.max(1)).max(1).ilog2();
            let mut open = vec![0.0; most];
            for (id, host, part) in able() {
                let joins = match self.spill.get(&(zone, host.zone)) {
                    Some(part) if !own => *part,
                    _ => f64::from(u8::from(host.zone == zone)),
                };
                let (weight, held) = (host.weight * part * joins, plan.held.contains(&id));
                if weight > 0.0 && (own || held || !host.gate.shut || none_open) {
                    lines.entry((zone, own)).or_default().push((host.place, id, weight));
                    open[host.place as usize % most] += if held { 0.0 } else { weight };
                }
            }
            usable.insert((zone, own), open.iter().sum::<f64>());
            if own {
                homes = open;
            } else {
                // Where a product may not leave, neighbours' hosts alone make no seat.
                let bare = homes.iter().map(|home| confined && *home <= 0.0);
                open.iter_mut().zip(bare).filter(|(_, bare)| *bare).for_each(|(open, _)| *open = 0.0);
                let gain = if now < self.still_until { 100.0 } else { 0.25 };
                seat(&mut self.proxies, zone, &asks[zone.0 as usize], &open, gain);
            }
        }
        let owns = [false, true].into_iter().filter(|own| self.masks[usize::from(*own)] != Products::ALL);
        for (id, proxy) in &self.proxies {
            plan.binds.extend(owns.clone().map(|own| ((*id, own), (proxy.zone, own, proxy.node))));
        }
        for (zone, own, node) in plan.binds.values().chain(self.present.lines.keys()).copied() {
            let there = lines.get(&(zone, own)).into_iter().flatten();
            let named = there.filter(|line| line.0 % breadth(node) == node - breadth(node));
            plan.lines.insert((zone, own, node), named.map(|(_, id, weight)| (*id, *weight)).collect());
        }
        // Guards a zone that comes back all cold: its budget, of the best rate of late, bounds levels.
        let cold: BTreeSet<ZoneId> = able().map(|able| able.1).filter(|h| !warm(h)).map(|h| h.zone).collect();
        for (zone, asks) in zones.iter().zip(asks) {
            let load = |own: bool| -> f64 {
                let asked = asks.iter().filter(|ask| ask.product.own_zone == own).map(|ask| ask.total);
                asked.sum::<f64>() / usable[&(*zone, own)].max(1e-9)
            };
            let budget = 0.4 * self.warmup.multiple * self.best / (load(false) + load(true)).max(1e-9);
            let most = if self.best > 0.0 { budget.min(1.0) } else { 1.0 };
            self.admit(now, *zone, asks, cold.contains(zone).then_some(most), &mut plan);
        }
        plan
    }

    /// Levels, zone by zone, from the zone's own figures: what its proxies met and what came.
    fn admit(&mut self, now: f64, zone: ZoneId, mut asks: Vec<Ask>, cold: Option<f64>, plan: &mut Plan) {
        let rings = self.hosts.values().filter(|host| !host.gate.shut).filter_map(|host| host.met.get(&zone));
        let met = rings.map(|ring| ring.last(now, self.cover + BUCKET));
        let met: Vec<Tally> = met.filter(|met| !fails_txns(met, self.usual_voided, self.sla)).collect();
        let settled = met.iter().map(Tally::rate).sum();
        let real = met.into_iter().sum();
        let judge_at = if self.sidecars.levels == LevelKind::Off { f64::MAX } else { f64::MIN };
        let level = self.levels.entry(zone).or_insert(Level { share: 1.0, judge_at, pressed: false });
        level.judge(now, &real, settled, &asks, (self.sums.every, self.cover));
        // Sheds the least revenue per work first, and leaves of each product a tenth, but by a cold budget.
        let pays = |ask: &Ask| ask.product.revenue / ask.product.sla;
        asks.sort_by(|a, b| pays(a).total_cmp(&pays(b)));
        let most = cold.unwrap_or(1.0);
        let mut shed = (1.0 - level.share.min(most)) * asks.iter().map(|ask| ask.work).sum::<f64>();
        // Another try would seek out the hosts with room: cold ones.
        let tries = if level.pressed || cold.is_some() { Tries::One } else { Tries::AfterProof };
        for ask in asks {
            let cut = f64::min(shed, f64::max(0.9, 1.0 - most) * ask.work);
            shed -= cut;
            let (bound, bound_tries) = self.bounds.get(&(zone, ask.id)).copied().unwrap_or((1.0, tries));
            let (share, tries) = (bound.min(1.0 - cut / ask.work.max(1e-9)), tries.min(bound_tries));
            let level = match self.sidecars.levels {
                LevelKind::Off => 1.0,
                LevelKind::Rate if share > 0.98 => 1e6,
                LevelKind::Rate => even_rate(ask.rates, share),
                LevelKind::Share => (share * 20.0).round() / 20.0,
            };
            let tbls = plan.lines.keys().filter(|tbl| (tbl.0, tbl.1) == (zone, ask.product.own_zone));
            plan.levels.extend(tbls.map(|tbl| ((*tbl, Products::one(ask.id)), (level, tries))));
        }
    }

    /// What differs from the present goes out, the urgent first; what the channel does not take now waits.
    fn publish(&mut self, now: f64, wanted: Plan, out: &mut Vec<Order>) {
        let (channel, proxies) = (&self.channel, &self.proxies);
        let waiting = self.sent.iter().flat_map(|sent| sent.1.values()).sum::<f64>() + self.lost.0;
        let mut reply = Reply { now, channel, proxies, lines: BTreeMap::new(), waiting, orders: vec![] };
        let present = &mut self.present;
        let number = |(zone, confined, node): Tbl| {
            TblId(zone.0 + self.post.zones * (2 * (node.max(1) as u16 - 1) + u16::from(confined)))
        };
        let mut users: BTreeMap<Tbl, Vec<ProxyId>> = BTreeMap::new();
        present.binds.iter().for_each(|((id, _), tbl)| users.entry(*tbl).or_default().push(*id));
        // Those that may hold a host: proxies at a table that names it, and those not bound yet.
        let holders = |present: &Plan, host: HostId| -> Vec<ProxyId> {
            let names = |tbl: &Tbl| present.lines.get(tbl).is_some_and(|lines| lines.contains_key(&host));
            let holds = |id: &&ProxyId| {
                let mut bound = present.binds.range((**id, false)..=(**id, true)).peekable();
                bound.peek().is_none() || bound.any(|(_, tbl)| names(tbl))
            };
            proxies.keys().filter(holds).copied().collect()
        };
        for host in wanted.held.difference(&present.held.clone()).copied() {
            let on = self.hosts.get(&host).is_some_and(|host| host.standing == Standing::On);
            let may = if on { URGENT } else { DRAIN };
            let taken = reply.take(may, &holders(present, host), 1.0, &[Order::Withdraw { host, out: true }]);
            present.held.extend(taken.then_some(host));
        }
        for (tbl, lines) in &wanted.lines {
            let whom = users.get(tbl).map_or(&[][..], Vec::as_slice);
            let standing = present.lines.entry(*tbl).or_default();
            // What goes is removed once all that comes back serves, or the rest would get it all, or none.
            let back = |id: &HostId| present.held.contains(id) && !wanted.held.contains(id);
            let serves = !lines.keys().any(back) && !lines.keys().all(|id| present.held.contains(id));
            // Where nothing serves nothing is lost: zones that all restarted waited for each other for good.
            let bare = standing.keys().all(|host| present.held.contains(host));
            let serves = serves || bare && !standing.is_empty() && !lines.is_empty();
            let gone = standing.keys().filter(|id| serves && !lines.contains_key(id)).map(|id| (*id, 0.0));
            let news = lines.iter().map(|(host, weight)| (*host, *weight)).filter(|(host, weight)| {
                // The weight of a host that is shut out can wait until it comes back.
                let waits = wanted.held.contains(host) && standing.contains_key(host);
                standing.get(host) != Some(weight) && !waits
            });
            let changes: Vec<(HostId, f64)> = gone.chain(news).collect();
            let share = |tbl: TblId| move |&(host, weight): &_| Order::Share { tbl, host, weight };
            let orders: Vec<Order> = changes.iter().map(share(number(*tbl))).collect();
            let usual = if changes.iter().any(|(host, _)| back(host)) { URGENT } else { ROUTINE };
            let may = if bare { DRAIN } else { usual };
            if !orders.is_empty() && reply.take(may, whom, orders.len() as f64, &orders) {
                standing.extend(changes);
                standing.retain(|_, weight| *weight > 0.0);
            }
        }
        // A host comes back once tables give it its weight, a cold one after the warm, lest it be alone.
        let cold = |id: &HostId| self.hosts.get(id).is_some_and(|host| host.cold_since.is_some());
        let back = present.held.difference(&wanted.held).map(|id| (*id, cold(id))).collect::<Vec<_>>();
        let all_cold = back.iter().all(|(_, cold)| *cold);
        for (host, cold) in back.into_iter().filter(|(_, cold)| all_cold || !cold) {
            let ready = users.keys().all(|tbl| {
                let weight = |plan: &Plan| plan.lines.get(tbl).and_then(|lines| lines.get(&host).copied());
                weight(present) == weight(&wanted) || weight(&wanted).is_none() && !cold
            });
            let order = [Order::Withdraw { host, out: false }];
            if ready && reply.take(URGENT, &holders(present, host), 1.0, &order) {
                present.held.remove(&host);
                self.hosts.entry(host).and_modify(|host| host.let_in_at = now);
            }
        }
        for (&(tbl, products), &(level, tries)) in wanted.levels.iter().filter(|_| !self.awaits) {
            let order = Order::Admit { tbl: number(tbl), products, level, tries };
            let differs = present.levels.get(&(tbl, products)) != Some(&(level, tries));
            let whom = users.get(&tbl).map_or(&[][..], Vec::as_slice);
            let taken = differs && reply.take(ROUTINE, whom, 1.0, &[order]);
            present.levels.extend(taken.then_some(((tbl, products), (level, tries))));
        }
        for (&(proxy, confined), &tbl) in &wanted.binds {
            let bound = present.binds.get(&(proxy, confined));
            let held = |tbl: &Tbl| present.lines[tbl].keys().all(|host| present.held.contains(host));
            let may = if bound.is_none_or(held) { URGENT } else { ROUTINE };
            // Nobody is moved to a table before something in it serves.
            let serves = !held(&tbl) || bound.is_some_and(held);
            let lines = present.lines.get(&tbl).map_or(0, BTreeMap::len) + self.products.len();
            let bind = Order::Bind { proxy, tbl: number(tbl), products: self.masks[usize::from(confined)] };
            if bound != Some(&tbl) && serves && reply.take(may, &[proxy], 2.0 * lines as f64 + 1.0, &[bind]) {
                present.binds.insert((proxy, confined), tbl);
            }
        }
        // One that is gone, in no table, and unknown to proxies not bound yet leaves nothing behind.
        let named = |id: &HostId| present.lines.values().any(|lines| lines.contains_key(id));
        let bound = |id: &ProxyId| present.binds.range((*id, false)..=(*id, true)).next().is_some();
        let gone = self.hosts.iter().filter(|(id, host)| host.standing == Standing::Gone && !named(id));
        let gone: Vec<HostId> = gone.map(|(id, _)| *id).filter(|_| proxies.keys().all(bound)).collect();
        self.hosts.retain(|id, _| !gone.contains(id));
        present.held.retain(|id| !gone.contains(id));
        reply.orders.extend(gone.into_iter().map(|host| Order::Forget { host }));
        out.extend(reply.orders);
        if !reply.lines.is_empty() {
            out.push(Order::Mark { mark: MarkId(self.marks), everyone: false });
            self.sent.push_back((MarkId(self.marks), reply.lines));
            self.marks = self.marks.wrapping_add(1);
            self.wrote(now, self.sent.len() - 1);
        }
    }

    fn wrote(&mut self, now: f64, place: usize) {
        let whom = self.proxies.iter_mut().filter(|(id, _)| self.sent[place].1.contains_key(id));
        whom.for_each(|(_, proxy)| proxy.messages.add(now, Tally::new(1, 0, 0.0, 0.0)));
    }
}
