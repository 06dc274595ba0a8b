//! The one task that owns the decisions, the clock, the timers and the numbers of hosts. It gathers
//! what has come in, lets the module decide, and hands out the orders. No input or output here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::*;
use amberarch_facts::Names;
use amberarch_intake::Believed;
use amberarch_intake_grpc::NamedHost;
use amberarch_residency::Judge;
use amberarch_roster::Hint;
use slog::{error, info, warn, Logger};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::counters::{Counters, Seldom};
use crate::fleet::Ward;
use crate::guard::Keeper;
use crate::heard::{Ask, Encoded, Entry, Health, Heard, Listing, News, Out, Probe, Reply, Row, Ruled};
use crate::lines::Said;
use crate::orders;
use crate::state::{self, Rolls};

/// The names that lines and lists use, in the order of the settings.
pub struct Labels {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub products: Vec<String>,
    /// How many proxies there are.
    pub proxies: u32,
}

/// Makes the decisions anew, from the start facts and a seed.
pub type Make = Box<dyn Fn(u64) -> Box<dyn Decide>>;

/// A host as it was listed last.
struct Known {
    listed: Listed,
    /// Its last start in Unix time.
    born_ms: f64,
    dial: Option<SocketAddr>,
    /// The list has it in a zone that is not known, so it counts as gone from the one it was in.
    lost: bool,
}

impl Known {
    /// Where it is probed; none: its address can't be read.
    fn entry(&self) -> Option<Entry> {
        Some(Entry { dial: self.dial?, born_ms: self.born_ms })
    }
}

/// Decisions that start anew count their marks from the first again. Theirs on the wire begin so far after those of
/// the ones before them: else an answer to a mark could be one to an earlier mark, maybe of a call that was never
/// written, and what a proxy has confirmed would never be known. What starts anew once a second comes round after
/// 16 s, when no answer is on its way any more.
const MARKS_OF_A_LIFE: u16 = 4_096;

#[derive(Clone, Copy)]
struct Joined {
    zone: ZoneId,
    txns_per_s: f64,
}

pub struct Desk {
    make: Make,
    seed: u64,
    steward: Box<dyn Decide>,
    labels: Labels,
    names: Names,
    hosts: BTreeMap<HostId, Known>,
    joined: BTreeMap<ProxyId, Joined>,
    /// While what stands is read: who was joined and has not been named yet.
    unseen: Option<BTreeSet<ProxyId>>,
    anew: bool,
    timers: BinaryHeap<Reverse<(Instant, TimerId)>>,
    start: Instant,
    /// No decision before this time.
    resume: Instant,
    /// Who is shut out by the orders so far, and who the next call lets in again ahead of its orders.
    shut_out: BTreeSet<HostId>,
    let_in: BTreeSet<HostId>,
    /// Unix time in milliseconds, by the system's clock.
    unix: fn() -> f64,
    events: Vec<Event>,
    out: Out,
    /// The roster, where what it holds is kept on disk; and when that was last handed on.
    rolls: Option<Rolls>,
    kept_at: Instant,
    /// What holds, where this steward belongs to a fleet; and what of it a start anew has to take back.
    ward: Option<Ward>,
    mends: bool,
    /// The last look at what goes out, where an operator has switched it on.
    guard: Option<Keeper>,
    /// The part of its listed weight that each host was seen to carry, where it is known and shares are dealt by it.
    parts: BTreeMap<HostId, f64>,
    /// Counts the starts of the decisions.
    life: u64,
    /// What is added to the marks of these decisions.
    first_mark: u16,
    own_marks: u16,
    counters: Rc<Counters>,
    skipped: Seldom,
    refused: Seldom,
    full: Seldom,
    log: Logger,
}

impl Desk {
    pub fn new(
        (make, seed): (Make, u64),
        labels: Labels,
        known: Listing,
        unix: fn() -> f64,
        out: Out,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Desk {
        let mut desk = Desk {
            steward: make(seed),
            make,
            seed,
            labels,
            names: Names::default(),
            hosts: BTreeMap::new(),
            joined: BTreeMap::new(),
            unseen: None,
            anew: false,
            timers: BinaryHeap::new(),
            start: Instant::now(),
            resume: Instant::now(),
            shut_out: BTreeSet::new(),
            let_in: BTreeSet::new(),
            unix,
            events: Vec::new(),
            out,
            rolls: None,
            kept_at: Instant::now(),
            ward: None,
            mends: false,
            guard: None,
            parts: BTreeMap::new(),
            life: 0,
            first_mark: 0,
            own_marks: 0,
            counters,
            skipped: Seldom::default(),
            refused: Seldom::default(),
            full: Seldom::default(),
            log,
        };
        desk.listed(known, ListNews::Restored);
        desk
    }

    /// With a roster between the list and the decisions: they hear of what it trusts.
    pub fn keeping(mut self, rolls: Rolls) -> Desk {
        self.rolls = Some(rolls);
        self.roll_out(ListNews::Restored, true);
        self
    }

    /// With marks that begin elsewhere in each process. Guards against an answer to a mark of the former process of this
    /// name, which arrives late and would be taken for one to the same number of this one.
    pub fn marks_drawn_from(mut self, seed: u64) -> Desk {
        self.first_mark = (seed ^ (seed >> 16) ^ (seed >> 32) ^ (seed >> 48)) as u16;
        self
    }

    /// With a policy of the fleet, under which each reply is judged.
    pub fn governed(mut self, ward: Ward) -> Desk {
        self.ward = Some(ward);
        self.tell_zones();
        self
    }

    /// With a guard between the decisions and the relay.
    pub fn guarded(mut self, guard: Keeper) -> Desk {
        self.guard = Some(guard);
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.guard_hears(&Event::List { news: ListNews::Restored, entries });
        self
    }

    fn guard_hears(&mut self, event: &Event) {
        let now = self.now();
        if let Some(guard) = &mut self.guard {
            guard.hear(now, event);
        }
    }

    /// Orders that were not carried out.
    fn gave_up(&mut self, orders: &[Order]) {
        self.judged(|judge, _| judge.gave_up(orders));
        if let Some(guard) = &mut self.guard {
            guard.gave_up(orders);
        }
    }

    /// Tells what holds which hosts there are.
    fn tell_zones(&mut self) {
        let now = self.now();
        let Some(ward) = &mut self.ward else { return };
        let mut zones = crate::fleet::Listed::default();
        for Known { listed, lost, .. } in self.hosts.values() {
            if *lost {
                ward.judge().lost(now, listed.host);
            } else {
                ward.judge().listed(now, listed.host, listed.zone, listed.standing);
            }
            let on = listed.standing == Standing::On;
            *zones.hosts.entry(listed.zone).or_default() += u32::from(on);
            *zones.weights.entry(listed.zone).or_default() += if on { listed.weight } else { 0.0 };
        }
        ward.listed(zones);
    }

    /// Runs until nobody is left who could bring anything.
    pub async fn run(mut self, mut heard: mpsc::Receiver<Heard>) {
        const MOST_AT_ONCE: usize = 1_024;
        const IDLE: Duration = Duration::from_secs(60);
        /// A change waits for the last steward to say that it is settled; what is over by time is looked for as often.
        const LOOK: Duration = Duration::from_millis(50);
        loop {
            let calls = self.ward.as_ref().is_some_and(|ward| ward.calls((self.unix)()));
            // What a start, a start anew or a full queue left to decide on waits for nobody.
            let due = match self.timers.peek() {
                _ if !self.events.is_empty() || calls => self.resume,
                _ if self.ward.is_some() => {
                    let timer = self.timers.peek().map(|Reverse((at, _))| self.resume.max(*at));
                    timer.unwrap_or(Instant::now() + IDLE).min(Instant::now() + LOOK)
                }
                Some(Reverse((at, _))) => self.resume.max(*at),
                None => Instant::now() + IDLE,
            };
            tokio::select! {
                biased;
                () = sleep_until(due) => {}
                news = heard.recv() => match news {
                    Some(news) => self.hear(news),
                    None => return,
                },
            }
            for _ in 0..MOST_AT_ONCE {
                match heard.try_recv() {
                    Ok(news) => self.hear(news),
                    Err(_) => break,
                }
            }
            let now = Instant::now();
            while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
                if at > now {
                    break;
                }
                self.timers.pop();
                self.counters.timers.one();
                self.events.push(Event::Due { timer });
            }
            let calls = self.ward.as_ref().is_some_and(|ward| ward.calls((self.unix)()));
            if (!self.events.is_empty() || calls) && now >= self.resume {
                self.decide();
            }
            let now = self.now();
            if let Some(ward) = &mut self.ward {
                ward.settle(now);
                if ward.asks(now) && Instant::now() >= self.resume && !self.joined.is_empty() {
                    self.ask_proxies();
                }
            }
            if let Some(ward) = &mut self.ward {
                ward.sees(now, || open(&self.hosts, &self.shut_out, &self.parts));
            }
        }
    }

    /// When the clock of the decisions began.
    pub fn start(&self) -> Instant {
        self.start
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Turns what was heard into events; names that are not known are skipped.
    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Sum(sum) => match self.sum(sum) {
                Ok(event) => {
                    self.served(&event);
                    self.came(&event);
                    self.events.push(event);
                }
                Err(why) => {
                    self.counters.lines_skipped.one();
                    self.skip(why);
                }
            },
            Heard::Standing { anew } => {
                // What a watch before this one left open stays so.
                self.anew = anew || self.unseen.is_some() && self.anew;
                self.unseen = Some(self.joined.keys().copied().collect());
            }
            Heard::Stood => {
                for proxy in self.unseen.take().unwrap_or_default() {
                    self.left(proxy);
                }
            }
            Heard::News(News::Joined { proxy, zone, weight, fresh }) => {
                let zone =
                    place(&self.labels.zones, &zone).filter(|_| u32::from(proxy) < self.labels.proxies);
                let Some(zone) = zone.map(ZoneId) else {
                    self.counters.news_skipped.one();
                    return self.skip("a proxy that is not known, or of such a zone".into());
                };
                // In what stands, one that is known goes on; one that holds no ordered table came anew.
                let proxy = ProxyId(proxy);
                let goes_on = self.unseen.as_mut().is_some_and(|unseen| unseen.remove(&proxy));
                if goes_on && !fresh && !self.anew {
                    return;
                }
                self.left(proxy);
                self.judged(|judge, now| judge.joined(now, proxy, zone, fresh));
                self.counters.joined.one();
                let txns_per_s = weight.max(0.0);
                self.joined.insert(proxy, Joined { zone, txns_per_s });
                self.guard_hears(&Event::Joined { proxy, zone, txns_per_s, fresh });
                self.events.push(Event::Joined { proxy, zone, txns_per_s, fresh });
            }
            Heard::News(News::Left { proxy }) if u32::from(proxy) >= self.labels.proxies => {
                self.counters.news_skipped.one();
                self.skip("the leaving of a proxy that is not known".into());
            }
            Heard::News(News::Left { proxy }) => {
                if let Some(unseen) = &mut self.unseen {
                    unseen.remove(&ProxyId(proxy));
                }
                self.left(ProxyId(proxy));
            }
            Heard::News(News::Applied { proxy, mark, took_ms }) => {
                // One that has left is answered for by nobody; an answer that names it is late or spoilt.
                let (proxy, mark) = (ProxyId(proxy), MarkId(mark));
                if !self.joined.contains_key(&proxy) || took_ms.is_nan() || took_ms < 0.0 {
                    self.counters.news_skipped.one();
                    return self.skip("an answer to a mark that can't be".into());
                }
                self.counters.applied.one();
                self.judged(|judge, now| judge.applied(now, proxy, mark));
                self.guard_hears(&Event::Applied { proxy, mark, took: took_ms });
                if let Some(mark) = self.own(mark) {
                    self.events.push(Event::Applied { proxy, mark, took: took_ms });
                }
            }
            Heard::Listed(listing) if self.rolls.is_some() => {
                let now = (self.unix)();
                let rows = listing.hosts.iter().map(|row| (row.host.clone(), state::kept(row))).collect();
                if let Some(rolls) = &mut self.rolls {
                    rolls.roster.listed(now, listing.seq, listing.whole, rows);
                }
                self.roll_out(ListNews::Changes, true);
            }
            Heard::ListStands => {
                let now = (self.unix)();
                if let Some(rolls) = &mut self.rolls {
                    rolls.roster.stands(now);
                }
            }
            Heard::Listed(listing) => {
                let news = if listing.whole { ListNews::Whole } else { ListNews::Changes };
                self.listed(listing, news);
            }
            Heard::ListFailed => {
                self.events.push(Event::List { news: ListNews::Failed, entries: vec![] });
            }
            Heard::Loads(loads) => {
                let event = |Believed { host, load, age, sure, .. }| Event::Load { host, load, age, sure };
                self.events.extend(loads.into_iter().map(event));
            }
            Heard::Probed { host, entry, .. } if self.replaced(host, entry) => {
                let (outcome, report) = (Outcome::Unknown, LoadReport::default());
                self.proved(host, outcome);
                self.events.push(Event::Probed { host, outcome, took: 0.0, report });
            }
            Heard::Probed { host, outcome, took, report, .. } => {
                self.proved(host, outcome);
                // One that the roster has asked for ahead of the decisions is no host of theirs yet.
                if self.rolls.is_some() && !self.hosts.contains_key(&host) {
                    return;
                }
                self.seen(host, self.now());
                self.events.push(Event::Probed { host, outcome, took, report });
            }
            Heard::Together { marks } => {
                // The guard counts what earlier decisions wrote too.
                if let (Some(first), Some(last)) = (marks.first().copied(), marks.last().copied()) {
                    self.guard_hears(&Event::Together { first, last });
                }
                // Of these decisions: what those before them wrote is not counted any more.
                let own: Vec<MarkId> = marks.into_iter().filter_map(|mark| self.own(mark)).collect();
                if let (Some(first), Some(last)) = (own.first().copied(), own.last().copied()) {
                    self.events.push(Event::Together { first, last });
                }
            }
            Heard::Again { mark } => {
                self.judged(|judge, _| judge.unsure(mark));
                self.guard_hears(&Event::Again { mark });
                if let Some(mark) = self.own(mark) {
                    self.events.push(Event::Again { mark });
                }
            }
            Heard::Answered { place } => {
                self.judged(|judge, _| judge.answered(place));
                let now = self.now();
                self.guard.iter_mut().for_each(|guard| guard.answered(now, place));
            }
            Heard::Holds(holds) => {
                let unix = (self.unix)();
                if let Some(ward) = &mut self.ward {
                    ward.hold(unix, holds);
                }
            }
            Heard::Bound(bound) => {
                if let Some(ward) = &mut self.ward {
                    ward.bound(bound);
                }
            }
            Heard::Fenced { life, orders } => {
                self.gave_up(&orders);
                if life == self.life {
                    warn!(self.log, "orders waited until what they were decided under was over; \
                        the decisions start anew"; "orders" => orders.len());
                    self.start_anew();
                }
            }
            // The proxy is not, or not any more, the one that was bound: it is bound anew. News of its
            // leaving, where that is on its way, has the last word.
            Heard::NotTaken { binds: Some(proxy), orders } => {
                self.gave_up(&orders);
                if let Some(Joined { zone, txns_per_s }) = self.joined.get(&proxy).copied() {
                    self.events.push(Event::Left { proxy });
                    self.events.push(Event::Joined { proxy, zone, txns_per_s, fresh: false });
                }
            }
            Heard::NotTaken { binds: None, orders } => {
                self.gave_up(&orders);
                if let Some(hidden) = self.refused.pass() {
                    error!(self.log, "the relay refuses an order; the decisions start anew"; "hidden" => hidden);
                }
                self.start_anew();
            }
        }
    }

    fn skip(&self, what: String) {
        if let Some(hidden) = self.skipped.pass() {
            warn!(self.log, "skipped"; "what" => what, "hidden" => hidden);
        }
    }

    fn came(&mut self, event: &Event) {
        let (now, Event::Came { proxy, .. }) = (self.now(), event) else { return };
        if let Some((ward, joined)) = self.ward.as_mut().zip(self.joined.get(proxy)) {
            ward.came(now, joined.zone, event);
        }
    }

    fn judged(&mut self, tell: impl FnOnce(&mut Judge, f64)) {
        let now = self.now();
        if let Some(ward) = &mut self.ward {
            tell(ward.judge(), now);
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        if self.joined.remove(&proxy).is_some() {
            self.judged(|judge, now| judge.left(now, proxy));
            self.guard_hears(&Event::Left { proxy });
            self.counters.left.one();
            self.events.push(Event::Left { proxy });
        }
    }

    fn sum(&self, sum: Said) -> Result<Event, String> {
        match sum {
            Said::Load { zone, host, tries, voided, mean, over, report } => {
                let zone = place(&self.labels.zones, &zone).ok_or("a zone that is not known")?;
                let host = self.names.find(&host).ok_or("a host that is not known")?;
                // A sum stands for the middle of its time.
                self.seen(host, self.now() - over / 2.0);
                Ok(Event::Met { host, zone: ZoneId(zone), over, tries, voided, mean, report })
            }
            Said::Rate { proxy, product, txns, voided, over } => {
                let product = place(&self.labels.products, &product).ok_or("a product that is not known")?;
                if u32::from(proxy) >= self.labels.proxies {
                    return Err("a proxy that is not known".into());
                }
                let (proxy, product) = (ProxyId(proxy), ProductId(product));
                Ok(Event::Came { proxy, product, txns, voided, over })
            }
            Said::Ping | Said::Source { .. } => Err("no sum".into()),
        }
    }

    fn listed(&mut self, listing: Listing, news: ListNews) {
        if listing.whole {
            self.hosts.values_mut().for_each(|known| known.listed.standing = Standing::Gone);
        }
        let mut entries = Vec::with_capacity(listing.hosts.len());
        for row in &listing.hosts {
            let Some(entry) = self.entry(row) else {
                self.counters.list_skipped.one();
                match self.lost(row) {
                    Some(entry) => {
                        self.skip("a host that moved to a zone that is not known: it counts as gone".into());
                        entries.push(entry);
                    }
                    None => self.skip("a host of a zone that is not known".into()),
                }
                continue;
            };
            let (born_ms, dial) = (row.born_ms, row.dial.parse().ok());
            let known = Known { listed: entry.clone(), born_ms, dial, lost: false };
            self.hosts.insert(entry.host, known);
            entries.push(entry);
        }
        amberarch_residency::last_rows(&mut entries);
        info!(self.log, "the list"; "seq" => listing.seq, "how" => ?news, "entries" => entries.len());
        let list = Event::List { news, entries };
        self.guard_hears(&list);
        self.events.push(list);
        self.tell_list();
        self.tell_zones();
    }

    /// What the roster trusts and the decisions do not know yet, with hints of what was learnt before this run.
    fn roll_out(&mut self, news: ListNews, always: bool) {
        let now = (self.unix)();
        let Some(rolls) = &mut self.rolls else { return };
        let rows = rolls.roster.emit(now);
        if rows.is_empty() && !always {
            return;
        }
        let hint = |(host, _): &(String, _)| Some((host.clone(), rolls.roster.hint(now, host)?));
        let hints: Vec<(String, Hint)> = rows.iter().filter_map(hint).collect();
        let seq = rolls.roster.seq();
        let hosts = rows.into_iter().map(|(host, row)| state::listed(host, row)).collect();
        self.listed(Listing { seq, whole: false, hosts }, news);
        for (host, Hint { part, shut }) in hints {
            if let Some(host) = self.names.find(&host) {
                self.events.push(Event::Hint { host, part, shut });
            }
        }
    }

    /// Probes what is not trusted yet, lets in what has come to be, and hands on what the disk does not hold.
    fn tend(&mut self) {
        /// The writer's own period is no shorter than a tenth of this.
        const HAND_ON: Duration = Duration::from_millis(500);
        let now = (self.unix)();
        let Some(rolls) = &mut self.rolls else { return };
        for (name, dial) in rolls.roster.to_probe(now) {
            let host = self.names.id(&name);
            let entry = dial.parse().ok().map(|dial| Entry { dial, born_ms: 0.0 });
            if entry.is_none_or(|entry| self.out.probes.try_send(Probe { host, entry }).is_err()) {
                self.counters.probes_unsent.one();
                rolls.roster.probed(now, &name, None);
            }
        }
        if self.kept_at.elapsed() >= HAND_ON {
            self.kept_at = Instant::now();
            rolls.writer.keep(rolls.roster.to_keep(), rolls.roster.stand());
        }
        self.roll_out(ListNews::Changes, false);
    }

    /// Whether the list has another process under that name by now. Guards against gating a host that has just come, or
    /// letting it in, for what a probe of the one before it found.
    fn replaced(&self, host: HostId, entry: Entry) -> bool {
        let known = self.hosts.get(&host);
        known.is_some_and(|known| known.entry().is_some_and(|now| now != entry))
    }

    fn proved(&mut self, host: HostId, outcome: Outcome) {
        let now = (self.unix)();
        let pass = match outcome {
            Outcome::Answered => Some(true),
            Outcome::Full | Outcome::Unknown => None,
            Outcome::Errored | Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset => Some(false),
        };
        if let Some((rolls, name)) = self.rolls.as_mut().zip(self.names.name(host)) {
            rolls.roster.probed(now, name, pass);
        }
    }

    fn served(&mut self, event: &Event) {
        let now = (self.unix)();
        if let (Some(rolls), Event::Met { host, tries, voided, .. }) = (&mut self.rolls, event) {
            if let Some(name) = self.names.name(*host).filter(|_| tries > voided) {
                rolls.roster.met(now, name);
            }
        }
    }

    fn learnt(&mut self, host: HostId, part: Option<f64>, shut: Option<bool>) {
        let now = (self.unix)();
        if let Some((rolls, name)) = self.rolls.as_mut().zip(self.names.name(host)) {
            rolls.roster.learnt(now, name, part, shut);
        }
    }

    /// Tells the intake, where there is one, which hosts are listed.
    fn tell_list(&self) {
        let Some(witness) = &self.out.witness else { return };
        let listed = self.hosts.values().map(|known| &known.listed);
        let named = |listed: &Listed| {
            let (host, zone, born) = (listed.host, listed.zone, listed.born);
            Some(NamedHost { name: self.names.name(host)?.into(), host, zone, born })
        };
        witness.list(listed.filter(|listed| listed.standing != Standing::Gone).filter_map(named).collect());
    }

    fn seen(&self, host: HostId, at: f64) {
        if let Some(witness) = &self.out.witness {
            witness.seen(host, at);
        }
    }

    fn entry(&mut self, row: &Row) -> Option<Listed> {
        let zone = ZoneId(place(&self.labels.zones, &row.site)?);
        let kind = place(&self.labels.kinds, &row.class).unwrap_or(self.labels.kinds.len() as u16);
        let host = self.names.id(&row.host);
        // One clock is read by all machines; here its times become the module's. Once for each start:
        // two clocks read twice differ by a little, and a later time would be one more start.
        let same = self.hosts.get(&host).filter(|known| known.born_ms == row.born_ms);
        let age = || (self.unix)() - row.born_ms;
        let born =
            same.map_or_else(|| (row.born_ms > 0.0).then(|| self.now() - age()), |known| known.listed.born);
        Some(Listed {
            host,
            weight: row.share,
            zone,
            pod: PodId(row.block),
            kind: KindId(kind),
            born,
            standing: match row.health {
                Health::InService => Standing::On,
                Health::Terminating => Standing::Draining,
                Health::Terminated => Standing::Gone,
            },
        })
    }

    /// A known host that a row has in a zone nobody knows, where a policy of the fleet governs: left where it was, it
    /// would go on serving what only that zone may. Where none governs the row is skipped like any that can't be read:
    /// a spoilt word, alone in a good list of changes, must not take a host out of service. (A whole list without a
    /// host that can be read has it gone either way.)
    fn lost(&mut self, row: &Row) -> Option<Listed> {
        self.ward.as_ref()?;
        let known = self.hosts.get_mut(&self.names.find(&row.host)?)?;
        known.lost = true;
        known.listed.standing = Standing::Gone;
        Some(known.listed.clone())
    }

    fn decide(&mut self) {
        self.tend();
        let (now, unix) = (self.now(), (self.unix)());
        // What holds goes first: what else happened is decided under it.
        let mut events = self.ward.as_mut().map_or(vec![], |ward| ward.events(now, unix));
        events.append(&mut self.events);
        self.counters.batches.one();
        self.counters.events.more(events.len());
        if let Some(guard) = &mut self.guard {
            guard.see(now, &events);
        }
        let steward = &mut self.steward;
        match catch_unwind(AssertUnwindSafe(|| steward.decide(now, &events))) {
            Ok(orders) => self.hand_out(orders),
            Err(_) => {
                self.counters.panics.one();
                error!(
                    self.log,
                    "the decisions panicked; they start anew from the list and the joined proxies"
                );
                self.start_anew();
            }
        }
    }

    /// A new module from the facts, the list and the joined proxies, which keep what they hold. It knows
    /// of no host that is shut out: its first call lets them in, ahead of its own orders and in one message
    /// with them. One that fails again and again starts once a second.
    fn start_anew(&mut self) {
        self.resume = Instant::now().max(self.resume + Duration::from_secs(1));
        self.let_in.append(&mut self.shut_out);
        self.life += 1;
        self.first_mark = self.first_mark.wrapping_add(MARKS_OF_A_LIFE);
        if let Some(ward) = &mut self.ward {
            ward.anew();
            self.mends = true;
        }
        self.guard.iter_mut().for_each(Keeper::anew);
        self.seed = self.seed.wrapping_add(1);
        self.steward = (self.make)(self.seed);
        self.timers.clear();
        let entries = self.hosts.values().map(|known| known.listed.clone()).collect();
        self.events.push(Event::List { news: ListNews::Restored, entries });
        for (proxy, Joined { zone, txns_per_s }) in &self.joined {
            let (proxy, zone, txns_per_s) = (*proxy, *zone, *txns_per_s);
            self.events.push(Event::Joined { proxy, zone, txns_per_s, fresh: false });
        }
    }

    /// A mark by the number that these decisions gave it; none: it is of those before them.
    fn own(&self, mark: MarkId) -> Option<MarkId> {
        let number = mark.0.wrapping_sub(self.first_mark);
        (number < u16::MAX / 2).then_some(MarkId(number))
    }

    fn hand_out(&mut self, mut decided: Vec<Order>) {
        /// The wire page: 71 minutes at most.
        const LONGEST_TIMER: Duration = Duration::from_secs(71 * 60);
        let (mut calls, mut mark, mut gone) = (Vec::new(), None, Vec::new());
        for order in &mut decided {
            if let Order::Mark { mark, .. } = order {
                mark.0 = mark.0.wrapping_add(self.first_mark);
            }
        }
        for order in &decided {
            self.counters.orders.one();
            match order {
                Order::Timer { after, timer } => {
                    let after = Duration::try_from_secs_f64(after / 1e3).unwrap_or_default();
                    self.timers.push(Reverse((Instant::now() + after.min(LONGEST_TIMER), *timer)));
                }
                Order::Probe { host } => self.probe(*host),
                Order::Watch { on } => self.ask(if *on { Ask::Watch } else { Ask::Unwatch }),
                Order::Fetch => self.ask(Ask::Whole),
                Order::Forget { host } => gone.push(*host),
                Order::Learnt { host, part } => {
                    if self.ward.is_some() {
                        self.parts.insert(*host, *part);
                    }
                    self.learnt(*host, Some(*part), None);
                }
                Order::Log { text } => info!(self.log, "the decisions say"; "text" => text),
                Order::Tell { .. } => warn!(self.log, "stewards do not speak with each other on sockets"),
                order => {
                    if let Order::Withdraw { host, out } = order {
                        self.learnt(*host, None, Some(*out));
                    }
                    match order {
                        Order::Mark { mark: number, .. } => mark = Some(*number),
                        Order::Withdraw { host, out: true } => drop(self.shut_out.insert(*host)),
                        Order::Withdraw { host, out: false } => drop(self.shut_out.remove(host)),
                        _ => {}
                    }
                    calls.push(order);
                }
            }
        }
        let owes = self.guard.as_ref().is_some_and(Keeper::waits);
        if (!calls.is_empty() || owes) && !self.call(calls, mark) {
            return;
        }
        for host in gone {
            self.judged(|judge, _| judge.forgotten(host));
            self.names.forget(host);
            self.hosts.remove(&host);
            self.shut_out.remove(&host);
            self.parts.remove(&host);
        }
    }

    /// Orders a mark and nothing else, whose answers say what proxies hold. Its number is none that the decisions give:
    /// theirs count up from the first of their life, these down from it.
    fn ask_proxies(&mut self) {
        self.own_marks = (self.own_marks + 1) % (MARKS_OF_A_LIFE / 4);
        let mark = MarkId(self.first_mark.wrapping_sub(1 + self.own_marks));
        self.call(vec![&Order::Mark { mark, everyone: true }], Some(mark));
    }

    /// Hands a reply to the relay, after it was judged. False where the decisions start anew for it.
    fn call(&mut self, calls: Vec<&Order>, mark: Option<MarkId>) -> bool {
        let let_in = std::mem::take(&mut self.let_in).into_iter();
        let ahead: Vec<Order> = let_in.map(|host| Order::Withdraw { host, out: false }).collect();
        let now = self.now();
        // What an earlier start of the decisions left in tables, and this one knows nothing of, goes first.
        let mends = match &mut self.ward {
            Some(ward) if std::mem::take(&mut self.mends) => ward.judge().mends(now),
            _ => vec![],
        };
        let mut orders: Vec<Order> =
            mends.into_iter().chain(ahead).chain(calls.into_iter().cloned()).collect();
        let (mut place, mut anew) = (0, false);
        if let Some(guard) = &mut self.guard {
            (orders, place, anew) = guard.pass(now, orders);
        }
        let Some(ward) = &mut self.ward else {
            let ruled = Ruled { life: self.life, place, ..Ruled::default() };
            let sent = orders.is_empty() || self.send(orders.iter(), mark, ruled);
            if sent && anew {
                self.start_anew();
            }
            return sent && !anew;
        };
        let sifted = ward.sift(now, orders);
        let judged = ward.judge().place();
        let ruled = Ruled { under: ward.under(), stage: ward.stage(), life: self.life, place: judged };
        if let Some(guard) = &mut self.guard {
            let refused: Vec<Order> = sifted.refused.iter().map(|refused| refused.0.clone()).collect();
            guard.sifted(judged, &refused);
        }
        if !self.send(sifted.orders.iter(), mark, ruled) {
            return false;
        }
        if anew {
            self.start_anew();
            return false;
        }
        if !sifted.refused.is_empty() {
            error!(self.log, "a reply would have broken residency; the decisions start anew");
            self.start_anew();
            return false;
        }
        true
    }

    fn send<'a>(
        &mut self,
        orders: impl Iterator<Item = &'a Order>,
        mark: Option<MarkId>,
        ruled: Ruled,
    ) -> bool {
        let name = |host| self.names.name(host).map(String::from);
        let ward = self.ward.is_some() || self.guard.is_some();
        let encoded = |order: &Order| {
            let binds = match order {
                &Order::Bind { proxy, .. } => Some(proxy),
                _ => None,
            };
            let mark = match order {
                &Order::Mark { mark, .. } => Some(mark),
                _ => None,
            };
            let bytes = orders::encode(order, name, &self.labels.products)?;
            Some(Encoded { bytes, binds, mark, order: ward.then(|| order.clone()) })
        };
        let orders = orders.filter_map(encoded).collect();
        self.counters.replies.one();
        // The module's own count of what waits bounds this queue far below its size. The desk waits
        // for nobody: should it be full all the same, what is lost is made good by starting anew.
        if let Err(lost) = self.out.relay.try_send(Reply { orders, mark, ruled }) {
            self.counters.replies_lost.one();
            if let Some(hidden) = self.full.pass() {
                error!(self.log, "the relay's queue is full; the decisions start anew"; "hidden" => hidden);
            }
            let lost = lost.into_inner().orders.into_iter().filter_map(|order| order.order);
            let lost: Vec<Order> = lost.collect();
            self.gave_up(&lost);
            self.start_anew();
            return false;
        }
        true
    }

    fn ask(&mut self, ask: Ask) {
        if self.out.list.try_send(ask).is_err() {
            self.counters.list_asks_lost.one();
            self.events.push(Event::List { news: ListNews::Failed, entries: vec![] });
        }
    }

    fn probe(&mut self, host: HostId) {
        let entry = self.hosts.get(&host).and_then(Known::entry);
        let sent = entry.is_some_and(|entry| self.out.probes.try_send(Probe { host, entry }).is_ok());
        if !sent {
            self.counters.probes_unsent.one();
            let (outcome, report) = (Outcome::Unknown, LoadReport::default());
            self.events.push(Event::Probed { host, outcome, took: 0.0, report });
        }
    }
}

/// What the hosts of each zone that are let in carry, in listed weights.
fn open(
    hosts: &BTreeMap<HostId, Known>,
    shut_out: &BTreeSet<HostId>,
    parts: &BTreeMap<HostId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let mut zones = BTreeMap::new();
    for Known { listed, .. } in hosts.values() {
        let open = listed.standing == Standing::On && !shut_out.contains(&listed.host);
        let carries = listed.weight * parts.get(&listed.host).copied().unwrap_or(1.0);
        *zones.entry(listed.zone).or_default() += if open { carries } else { 0.0 };
    }
    zones
}

fn place(labels: &[String], label: &str) -> Option<u16> {
    labels.iter().position(|known| known == label).map(|place| place as u16)
}
