//! Load reports of a fleet's hosts go in, as they come; what is believed of each host's load comes out, and how
//! often each is to report. No sockets, no clock of its own: `now` is milliseconds from a start that means
//! nothing. Memory is one record a listed host and a reporter, whatever is sent.
//!
//! What it never does: take a report for newer than it was observed, let a host look idle because it is silent,
//! or give out a figure that a probe or a sum observed later has overtaken.

mod belief;
mod clock;
mod pace;
mod replay;
mod report;
mod reporter;
mod spread;
mod wheel;

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{HostId, ZoneId};

pub use belief::{fresh_for, Ageing, Belief, Fresh, Silent};
pub use clock::{Clock, Observed};
pub use pace::{deal, interval, Need, NEEDS};
pub use replay::Replay;
pub use report::{Batch, Boot, Echo, Load, Refusal, Report, ReporterId, Seq, REFUSALS};
pub use spread::Spread;
pub use wheel::Wheel;

use belief::{Known, Stage};
use pace::Pace;
use reporter::Reporter;

/// A host as it is listed, for the intake: hosts that are gone are left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedHost {
    pub host: HostId,
    pub zone: ZoneId,
    /// Its last start by our clock, where it is known.
    pub born: Option<f64>,
}

/// Where decisions change with a host's load: at `load`, once that is `beside` times the median host's.
/// The module that decides says so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub load: f64,
    pub beside: f64,
}

/// What became of a batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    pub taken: u32,
    /// By kind, in the order of `REFUSALS`.
    pub refused: [u32; REFUSALS.len()],
    /// Nothing more is to be read from this reporter for so many milliseconds.
    pub rest: f64,
}

/// What the decisions are told of one host; `sure` is 0 where nothing is believed any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Believed {
    pub host: HostId,
    pub load: f64,
    pub age: f64,
    pub sure: f64,
    /// How long ago its newest report came in.
    pub waited: f64,
}

/// A message for a reporter: how many milliseconds each of these hosts is to leave between two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Paces {
    pub echo: Echo,
    pub every: Vec<(HostId, f64)>,
}

/// A reporter that can't be listened to: as many as there may be are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many reporters as there may be are connected")]
pub struct TooMany;

/// What the intake holds, for those who look after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    pub hosts: u32,
    pub fresh: u32,
    pub ageing: u32,
    pub silent: u32,
    pub reporters: u32,
    pub link_down: bool,
}

/// Whose clock a time is by: the times of one source have an order of their own.
type Source = (ReporterId, Boot, u32);

struct Record {
    host: HostId,
    zone: ZoneId,
    born: Option<f64>,
    known: Option<(Known, Source)>,
    /// The figure by which it counts in its zone's spread; only fresh ones do.
    counted: Option<f64>,
    stage: Stage,
    /// When the last probe or sum about it was observed.
    overtaken: f64,
    by: Option<ReporterId>,
    pace: Pace,
    told: Option<Believed>,
    told_at: f64,
    heard_at: f64,
    touched: bool,
}

/// The module's own look goes back two seconds, so what stands is told anew within half of that.
const TELL_AGAIN: f64 = 1_000.0;
/// Smaller shifts than these change no decision.
const LOAD_SHIFT: f64 = 0.03;
const SURE_SHIFT: f64 = 0.25;
/// As far as this from the line, in parts of it, a host is near it; it stays near to twice that.
const NEARBY: f64 = 0.15;
/// A figure that far from the smoothed one says that the host's load moves.
const MOVES: f64 = 0.15;
/// Where more than half of the hosts that ever reported have stopped, it is the way here that failed.
const QUORUM: f64 = 0.5;
pub struct Intake {
    budget: f64,
    line: Line,
    most_reporters: usize,
    slots: Vec<Option<Record>>,
    free: Vec<u32>,
    places: BTreeMap<HostId, u32>,
    reporters: BTreeMap<ReporterId, Reporter>,
    wheel: Wheel,
    zones: BTreeMap<ZoneId, Spread>,
    /// The last median that enough hosts bore out.
    median: f64,
    ever: u32,
    census: Census,
    needs: [u32; NEEDS.len()],
    /// The interval of each class of need.
    every: [f64; NEEDS.len()],
    /// Who was heard of since the last tick, and who ages: these alone are looked at.
    touched: Vec<u32>,
    ageing: BTreeSet<u32>,
    echo: u64,
}

impl Intake {
    /// Takes in `budget` reports a second, of `most_reporters` at the most. Echoes count up from `echo`, a
    /// number that no daemon before this one has come near.
    pub fn new(now: f64, budget: f64, most_reporters: usize, line: Line, echo: Echo) -> Intake {
        Intake {
            budget,
            line,
            most_reporters,
            slots: Vec::new(),
            free: Vec::new(),
            places: BTreeMap::new(),
            reporters: BTreeMap::new(),
            wheel: Wheel::new(now),
            zones: BTreeMap::new(),
            median: 0.0,
            ever: 0,
            census: Census::default(),
            needs: [0; NEEDS.len()],
            every: [interval(1.0); NEEDS.len()],
            touched: Vec::new(),
            ageing: BTreeSet::new(),
            echo: echo.0,
        }
    }

    /// The whole list. Hosts that are not in it are forgotten; one that has started anew has said nothing yet.
    pub fn hosts(&mut self, now: f64, listed: &[ListedHost]) {
        let stay: BTreeSet<HostId> = listed.iter().map(|listed| listed.host).collect();
        let gone: Vec<HostId> = self.places.keys().filter(|host| !stay.contains(host)).copied().collect();
        gone.into_iter().for_each(|host| self.forget(host));
        for ListedHost { host, zone, born } in listed.iter().copied() {
            match self.places.get(&host).copied() {
                Some(place) => {
                    let record = self.slots[place as usize].as_ref();
                    let known = record.and_then(|record| record.born);
                    if record.is_some_and(|record| record.zone != zone) || born > known {
                        self.unknow(place);
                    }
                    if let Some(record) = &mut self.slots[place as usize] {
                        (record.zone, record.born) = (zone, born);
                    }
                }
                None => self.admit(now, host, zone, born),
            }
        }
        self.deal();
    }

    fn admit(&mut self, now: f64, host: HostId, zone: ZoneId, born: Option<f64>) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() as u32 - 1
        });
        let pace = Pace::new(now, self.every[Need::Steady as usize]);
        self.slots[place as usize] = Some(Record {
            host,
            zone,
            born,
            known: None,
            counted: None,
            stage: Stage::Silent,
            overtaken: f64::NEG_INFINITY,
            by: None,
            pace,
            told: None,
            told_at: f64::NEG_INFINITY,
            heard_at: now,
            touched: false,
        });
        self.places.insert(host, place);
        self.needs[Need::Steady as usize] += 1;
    }

    fn forget(&mut self, host: HostId) {
        let Some(place) = self.places.remove(&host) else { return };
        self.unknow(place);
        if let Some(record) = self.slots[place as usize].take() {
            self.needs[record.pace.need as usize] -= 1;
            if let Some(reporter) = record.by.and_then(|by| self.reporters.get_mut(&by)) {
                reporter.hosts.remove(&host);
            }
        }
        self.free.push(place);
    }

    /// What a host has said so far no longer speaks for it.
    fn unknow(&mut self, place: u32) {
        self.wheel.clear(place);
        self.ageing.remove(&place);
        let Some(record) = &mut self.slots[place as usize] else { return };
        if let Some(figure) = record.counted.take() {
            self.zones.entry(record.zone).or_default().remove(figure);
        }
        if record.known.take().is_some() {
            self.ever -= 1;
        }
        (record.stage, record.told) = (Stage::Silent, None);
    }

    /// A probe of the host, or a sum about it, was observed then: nothing observed before it is given out.
    pub fn seen(&mut self, host: HostId, at: f64) {
        if let Some(record) = record(&self.places, &mut self.slots, host) {
            record.overtaken = record.overtaken.max(at);
            record.told = None;
        }
    }

    /// A reporter has connected and names the hosts that it speaks for. Gives back one that was let go for it.
    ///
    /// # Errors
    /// As many reporters as there may be are connected.
    pub fn opened(
        &mut self,
        now: f64,
        from: ReporterId,
        hosts: &[HostId],
    ) -> Result<Option<ReporterId>, TooMany> {
        let mut left = None;
        if !self.reporters.contains_key(&from) && self.reporters.len() >= self.most_reporters {
            // One that went leaves first, the one heard least lately; what its hosts said stays.
            let closed = self.reporters.iter().filter(|(_, reporter)| reporter.open == 0);
            let first = closed.min_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(id, _)| *id);
            left = Some(first.ok_or(TooMany)?);
            left.map(|left| self.reporters.remove(&left));
        }
        let reporter = self.reporters.entry(from).or_insert_with(|| Reporter::new(now));
        reporter.open += 1;
        reporter.changed = true;
        for host in hosts {
            self.speaks_for(from, *host);
        }
        Ok(left)
    }

    pub fn closed(&mut self, from: ReporterId) {
        if let Some(reporter) = self.reporters.get_mut(&from) {
            reporter.open = reporter.open.saturating_sub(1);
        }
    }

    /// Who last spoke for a host is told its pace.
    pub fn speaks_for(&mut self, from: ReporterId, host: HostId) {
        let Some(record) = record(&self.places, &mut self.slots, host) else { return };
        if record.by == Some(from) {
            return;
        }
        let before = record.by.replace(from);
        // What was told to the one before it does not know.
        record.pace.known = false;
        if let Some(before) = before.and_then(|before| self.reporters.get_mut(&before)) {
            before.hosts.remove(&host);
        }
        if let Some(reporter) = self.reporters.get_mut(&from) {
            reporter.hosts.insert(host);
            reporter.changed = true;
        }
    }

    /// Takes in what one reporter has sent. The newest are looked at first: of what is over a host's pace the
    /// oldest is dropped. A reporter that was never opened is not listened to.
    pub fn take(&mut self, now: f64, from: ReporterId, batch: &Batch) -> Taken {
        let mut taken = Taken::default();
        let all = batch.reports.len() as u32;
        let Some(reporter) = self.reporters.get_mut(&from) else {
            taken.refused[Refusal::Unproven as usize] = all;
            return taken;
        };
        if !batch.sent.is_finite() {
            taken.refused[Refusal::Unfit as usize] = all;
            return taken;
        }
        let run = match reporter.run(now, batch) {
            Ok(run) => run,
            Err(why) => {
                taken.refused[why as usize] = all;
                return taken;
            }
        };
        let (mut news, mut strangers) = (Vec::new(), Vec::new());
        for report in batch.reports.iter().rev() {
            let judged = judge(now, from, run, batch.sent, report, |host| {
                let place = *self.places.get(&host)?;
                Some((place, self.slots[place as usize].as_mut()?))
            });
            match judged {
                Ok((place, known)) => {
                    taken.taken += 1;
                    news.push((place, known));
                    let record = self.slots[place as usize].as_ref();
                    strangers.extend(record.filter(|record| record.by != Some(from)).map(|r| r.host));
                }
                Err(why) => taken.refused[why as usize] += 1,
            }
        }
        let more = [Refusal::OverPace, Refusal::Superseded, Refusal::Repeat];
        let over = more.iter().map(|why| taken.refused[*why as usize]).sum();
        taken.rest = reporter.rest(over, taken.taken);
        strangers.into_iter().for_each(|host| self.speaks_for(from, host));
        news.into_iter().for_each(|(place, known)| self.learn(now, place, known));
        taken
    }

    fn learn(&mut self, now: f64, place: u32, known: (Known, Source)) {
        let Some(record) = &mut self.slots[place as usize] else { return };
        record.heard_at = now;
        self.ever += u32::from(record.known.replace(known).is_none());
        if !std::mem::replace(&mut record.touched, true) {
            self.touched.push(place);
        }
        self.turn(now, place);
    }

    /// Puts a host into the stage that its newest figure is in, and its next turn on the wheel.
    fn turn(&mut self, now: f64, place: u32) {
        let Some(record) = &mut self.slots[place as usize] else { return };
        let Some((known, _)) = &record.known else { return };
        let (every, zone) = (record.pace.every(), self.zones.entry(record.zone).or_default());
        record.stage = known.stage(now, every);
        if let Some(figure) = record.counted.take() {
            zone.remove(figure);
        }
        if record.stage == Stage::Fresh {
            zone.add(known.load());
            record.counted = Some(known.load());
        }
        match record.stage {
            Stage::Ageing => self.ageing.insert(place),
            Stage::Fresh | Stage::Silent => self.ageing.remove(&place),
        };
        match known.turns(now, every) {
            Some(due) => self.wheel.set(place, due),
            None => self.wheel.clear(place),
        }
    }

    /// Lets time pass: what was not renewed ages, needs and paces follow, and what the decisions do not know
    /// yet comes back. `room` bounds how many; the rest comes with the next ticks.
    pub fn tick(&mut self, now: f64, room: usize) -> Vec<Believed> {
        let mut turned = Vec::new();
        self.wheel.advance(now, |place| turned.push(place));
        for place in turned {
            self.turn(now, place);
            self.touch(place);
        }
        let mut fleet = Spread::default();
        self.zones.values().for_each(|zone| fleet.merge(zone));
        let (fresh, ageing) = (fleet.total(), self.ageing.len() as u32);
        let speak = f64::from(fresh) >= QUORUM * f64::from(self.ever) && fresh > 0;
        if let Some(median) = fleet.quantile(0.5).filter(|_| speak) {
            self.median = median;
        }
        self.census = Census {
            hosts: self.places.len() as u32,
            fresh,
            ageing,
            silent: self.ever - fresh - ageing,
            reporters: self.reporters.len() as u32,
            link_down: !speak && self.ever > 0,
        };
        let mut look = std::mem::take(&mut self.touched);
        for place in &look {
            if let Some(record) = &mut self.slots[*place as usize] {
                record.touched = false;
            }
        }
        if self.census.link_down {
            // Nothing is done by what few still say while most say nothing: all that was told is taken back.
            look = (0..self.slots.len() as u32).collect();
        } else {
            look.extend(&self.ageing);
        }
        look.iter().for_each(|place| self.weigh(*place));
        self.deal();
        self.emit(now, &look, room)
    }

    fn touch(&mut self, place: u32) {
        if let Some(record) = self.slots[place as usize].as_mut().filter(|record| !record.touched) {
            record.touched = true;
            self.touched.push(place);
        }
    }

    /// How much a host's next report can change.
    fn weigh(&mut self, place: u32) {
        let Some(record) = &mut self.slots[place as usize] else { return };
        let Some((known, _)) = &record.known else { return };
        let line = self.line.load.max(self.line.beside * self.median);
        let (load, away) = (known.load(), (known.load() - line).abs() / line.max(1e-9));
        let near = away <= if record.pace.need == Need::Near { 2.0 * NEARBY } else { NEARBY };
        let moves = known.moved() > MOVES * line || record.stage == Stage::Ageing && load > self.median;
        let need = match (near, moves) {
            (true, _) => Need::Near,
            (false, true) => Need::Moving,
            (false, false) => Need::Steady,
        };
        let before = std::mem::replace(&mut record.pace.need, need);
        if before != need {
            self.needs[before as usize] -= 1;
            self.needs[need as usize] += 1;
            if let Some(reporter) = record.by.and_then(|by| self.reporters.get_mut(&by)) {
                reporter.changed = true;
            }
        }
    }

    /// Deals the budget over the hosts as they stand.
    fn deal(&mut self) {
        let every = deal(self.budget, self.needs).map(interval);
        if every != self.every {
            self.every = every;
            self.reporters.values_mut().for_each(|reporter| reporter.changed = true);
        }
    }

    /// The one place where what is believed goes out: what differs from what was told last.
    fn emit(&mut self, now: f64, look: &[u32], room: usize) -> Vec<Believed> {
        let mut out = Vec::new();
        for place in look {
            let Some(record) = &mut self.slots[*place as usize] else { continue };
            let Some((known, _)) = &record.known else { continue };
            let host = record.host;
            let (load, age, sure) = match known.belief(now, record.pace.every(), self.median) {
                _ if self.census.link_down => (self.median, 0.0, 0.0),
                Belief::Fresh(Fresh { load, age }) => (load, age, 1.0),
                Belief::Ageing(Ageing { load, age, sure }) => (load, age, sure),
                Belief::Silent(Silent { median, age }) => (median, age, 0.0),
                Belief::Unknown => continue,
            };
            let told = record.told.unwrap_or(Believed { host, load: 0.0, age: 0.0, sure: 0.0, waited: 0.0 });
            let shifted = (load - told.load).abs() > LOAD_SHIFT && sure > 0.0;
            let surer = (sure - told.sure).abs() > SURE_SHIFT || (sure > 0.0) != (told.sure > 0.0);
            let again = sure > 0.0 && now - record.told_at >= TELL_AGAIN;
            let overtaken = sure > 0.0 && known.seen.earliest < record.overtaken;
            if overtaken || !(shifted || surer || again) {
                continue;
            }
            if out.len() >= room {
                // Looked at again next time, whether or not it is heard of until then.
                if !std::mem::replace(&mut record.touched, true) {
                    self.touched.push(*place);
                }
                continue;
            }
            let believed = Believed { host, load, age, sure, waited: now - record.heard_at };
            (record.told, record.told_at) = (Some(believed), now);
            out.push(believed);
        }
        out
    }

    /// What to tell a reporter, where something is due: the paces of its hosts that differ from what it knows,
    /// and a number for it to repeat. The one place where paces go out.
    pub fn paces(&mut self, now: f64, to: ReporterId) -> Option<Paces> {
        let reporter = self.reporters.get_mut(&to).filter(|reporter| reporter.due(now))?;
        let mut every = Vec::new();
        for host in &reporter.hosts {
            let Some(record) = record(&self.places, &mut self.slots, *host) else { continue };
            let wanted = self.every[record.pace.need as usize];
            if !record.pace.known || record.pace.every() != wanted {
                record.pace.tell(now, wanted);
                every.push((*host, wanted));
            }
        }
        self.echo += 1;
        let echo = Echo(self.echo);
        reporter.told(now, echo);
        Some(Paces { echo, every })
    }

    /// What is believed of a host now.
    pub fn belief(&self, now: f64, host: HostId) -> Belief {
        let place = self.places.get(&host).and_then(|place| self.slots[*place as usize].as_ref());
        match place.and_then(|record| record.known.as_ref().map(|known| (known, record.pace.every()))) {
            Some(((known, _), every)) => known.belief(now, every, self.median),
            None => Belief::Unknown,
        }
    }

    /// The load below which that part of the fresh hosts of a zone is; `None` where none reports.
    pub fn zone_quantile(&self, zone: ZoneId, part: f64) -> Option<f64> {
        self.zones.get(&zone)?.quantile(part)
    }

    pub fn census(&self) -> Census {
        self.census
    }
}

fn record<'a>(
    places: &BTreeMap<HostId, u32>,
    slots: &'a mut [Option<Record>],
    host: HostId,
) -> Option<&'a mut Record> {
    places.get(&host).and_then(|place| slots[*place as usize].as_mut())
}

/// Whether one report is taken, and what its host is known by then.
fn judge<'a>(
    now: f64,
    from: ReporterId,
    run: &mut reporter::Run,
    sent: f64,
    report: &Report,
    find: impl FnOnce(HostId) -> Option<(u32, &'a mut Record)>,
) -> Result<(u32, (Known, Source)), Refusal> {
    let load = Load::of(report.load)?;
    // Observed before it was sent; written so that what is not a number fails too.
    if !(report.at <= sent && report.at.is_finite()) {
        return Err(Refusal::Unfit);
    }
    let (place, record) = find(report.host).ok_or(Refusal::UnknownHost)?;
    run.replay.take(report.seq)?;
    let seen = run.clock.ours(now, report.at).ok_or(Refusal::Unproven)?;
    if record.born.is_some_and(|born| seen.earliest < born) {
        return Err(Refusal::BeforeStart);
    }
    // What a queue held back until after a probe does not even count in part.
    if seen.earliest < record.overtaken {
        return Err(Refusal::Overtaken);
    }
    let source = (from, run.boot, run.era);
    let known = match &record.known {
        Some((known, before)) => {
            // One process orders its own reports; between two of them only our clock does.
            let same = *before == source;
            let older = if same { report.at <= known.at } else { seen.earliest <= known.seen.latest };
            if older {
                return Err(Refusal::Superseded);
            }
            known.then(load, seen, report.at)
        }
        None => Known::first(load, seen, report.at),
    };
    if known.stage(now, record.pace.every()) == Stage::Silent {
        return Err(Refusal::Stale);
    }
    if !record.pace.pass(seen.latest) {
        return Err(Refusal::OverPace);
    }
    Ok((place, (known, source)))
}
