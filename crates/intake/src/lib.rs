//! Takes in load reports of a fleet's hosts, and computes the estimated load of each host and how often
//! each is to report. There are no sockets and no clock: `now` is milliseconds since an arbitrary start.
//! Memory is bounded by one record per listed host and one per reporter, whatever is sent.
//!
//! Invariants: a report never counts as newer than its observation; a host never looks idle because it is
//! silent; a load is not given out once a probe or traffic report was observed later than it.

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

pub use belief::{freshness_limit, Ageing, Fresh, LoadEstimate, Silent};
pub use clock::{ObservationTime, RemoteClock};
pub use pace::{allocate_rates, rounded_interval, Priority, PRIORITIES};
pub use replay::ReplayWindow;
pub use report::{Batch, Boot, Echo, Load, Refusal, Report, ReporterId, Seq, REFUSALS};
pub use spread::Histogram;
pub use wheel::TimerWheel;

use belief::{Freshness, SmoothedLoad};
use pace::Pace;
use reporter::Reporter;

/// A host of the host list, as the intake needs it. Hosts that are gone are left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedHost {
    pub host: HostId,
    pub zone: ZoneId,
    /// Its last start on the local clock, if known.
    pub born: Option<f64>,
}

/// The load at which decisions about a host change: `load`, or `beside` times the median host's load where
/// that is higher. It is set by the module that makes the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub load: f64,
    pub beside: f64,
}

/// The outcome of a batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    pub taken: u32,
    /// Refused reports by kind, in the order of `REFUSALS`.
    pub refused: [u32; REFUSALS.len()],
    /// Milliseconds for which nothing more is to be read from this reporter.
    pub rest: f64,
}

/// A load estimate of one host for the decisions; `sure` is the confidence, 0 where there is no estimate
/// any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Believed {
    pub host: HostId,
    pub load: f64,
    pub age: f64,
    pub sure: f64,
    /// Milliseconds since its newest report was received.
    pub waited: f64,
}

/// A message for a reporter: the interval in milliseconds between two reports of each of these hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Paces {
    pub echo: Echo,
    pub every: Vec<(HostId, f64)>,
}

/// The reporter is rejected because the maximum number is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("as many reporters as there may be are connected")]
pub struct TooMany;

/// Counts of what the intake holds, for monitoring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    pub hosts: u32,
    pub fresh: u32,
    pub ageing: u32,
    pub silent: u32,
    pub reporters: u32,
    /// Most hosts that ever reported have stopped, so no estimates are given out.
    pub link_down: bool,
}

/// Identifies the clock of a timestamp. Only times of the same source can be ordered directly.
type ClockSource = (ReporterId, Boot, u32);

struct Record {
    host: HostId,
    zone: ZoneId,
    born: Option<f64>,
    smoothed: Option<(SmoothedLoad, ClockSource)>,
    /// The load with which the host is counted in its zone's histogram; only fresh hosts are counted.
    counted_load: Option<f64>,
    freshness: Freshness,
    /// When the last probe of the host, or traffic report about it, was observed.
    overtaken_at: f64,
    reporter_id: Option<ReporterId>,
    pace: Pace,
    emitted: Option<Believed>,
    emitted_at: f64,
    received_at: f64,
    /// Whether the index of the record is in `Intake::dirty`.
    dirty: bool,
}

/// Milliseconds after which an unchanged estimate is sent again. The decisions use data of the last two
/// seconds, so this is half of that.
const REPEAT_INTERVAL: f64 = 1_000.0;
/// Smaller changes than these do not affect any decision.
const MIN_LOAD_CHANGE: f64 = 0.03;
const MIN_CONFIDENCE_CHANGE: f64 = 0.25;
/// A host within this fraction of the line is near it; it stays near up to twice the distance.
const NEAR_LINE: f64 = 0.15;
/// A reported load that differs from the smoothed one by this fraction of the line shows that the host's
/// load is changing.
const MOVING_THRESHOLD: f64 = 0.15;
/// If fewer than this fraction of the hosts that ever reported are fresh, the path to the intake is taken
/// to have failed rather than the hosts.
const QUORUM: f64 = 0.5;

/// Holds the state of all hosts and reporters; see the module documentation.
pub struct Intake {
    budget: f64,
    line: Line,
    most_reporters: usize,
    records: Vec<Option<Record>>,
    /// Indices of unused records.
    free: Vec<u32>,
    index_by_host: BTreeMap<HostId, u32>,
    reporters: BTreeMap<ReporterId, Reporter>,
    timers: TimerWheel,
    zone_loads: BTreeMap<ZoneId, Histogram>,
    /// The last fleet median that a quorum of hosts supported.
    median: f64,
    /// Number of listed hosts that have reported.
    reported_hosts: u32,
    census: Census,
    priority_counts: [u32; PRIORITIES.len()],
    /// The report interval of each priority, in ms.
    intervals: [f64; PRIORITIES.len()],
    /// The hosts with reports since the last tick, and the ageing ones: only these are evaluated.
    dirty: Vec<u32>,
    ageing: BTreeSet<u32>,
    echo: u64,
}

impl Intake {
    /// `budget` is the number of reports per second to accept, `most_reporters` the maximum number of
    /// reporters. Echo numbers count up from `echo`, which has to be far above those of any earlier daemon.
    pub fn new(now: f64, budget: f64, most_reporters: usize, line: Line, echo: Echo) -> Intake {
        Intake {
            budget,
            line,
            most_reporters,
            records: Vec::new(),
            free: Vec::new(),
            index_by_host: BTreeMap::new(),
            reporters: BTreeMap::new(),
            timers: TimerWheel::new(now),
            zone_loads: BTreeMap::new(),
            median: 0.0,
            reported_hosts: 0,
            census: Census::default(),
            priority_counts: [0; PRIORITIES.len()],
            intervals: [rounded_interval(1.0); PRIORITIES.len()],
            dirty: Vec::new(),
            ageing: BTreeSet::new(),
            echo: echo.0,
        }
    }

    /// Replaces the host list. Hosts that are missing from it are removed; a host that has restarted has
    /// not reported yet.
    pub fn hosts(&mut self, now: f64, listed: &[ListedHost]) {
        let listed_hosts: BTreeSet<HostId> = listed.iter().map(|listed| listed.host).collect();
        let removed_hosts: Vec<HostId> =
            self.index_by_host.keys().filter(|host| !listed_hosts.contains(host)).copied().collect();
        removed_hosts.into_iter().for_each(|host| self.remove_host(host));
        for ListedHost { host, zone, born } in listed.iter().copied() {
            match self.index_by_host.get(&host).copied() {
                Some(index) => {
                    let record = self.records[index as usize].as_ref();
                    let known_start = record.and_then(|record| record.born);
                    if record.is_some_and(|record| record.zone != zone) || born > known_start {
                        self.reset(index);
                    }
                    if let Some(record) = &mut self.records[index as usize] {
                        (record.zone, record.born) = (zone, born);
                    }
                }
                None => self.add_host(now, host, zone, born),
            }
        }
        self.update_intervals();
    }

    fn add_host(&mut self, now: f64, host: HostId, zone: ZoneId, born: Option<f64>) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.records.push(None);
            self.records.len() as u32 - 1
        });
        let pace = Pace::new(now, self.intervals[Priority::Steady as usize]);
        self.records[index as usize] = Some(Record {
            host,
            zone,
            born,
            smoothed: None,
            counted_load: None,
            freshness: Freshness::Silent,
            overtaken_at: f64::NEG_INFINITY,
            reporter_id: None,
            pace,
            emitted: None,
            emitted_at: f64::NEG_INFINITY,
            received_at: now,
            dirty: false,
        });
        self.index_by_host.insert(host, index);
        self.priority_counts[Priority::Steady as usize] += 1;
    }

    fn remove_host(&mut self, host: HostId) {
        let Some(index) = self.index_by_host.remove(&host) else { return };
        self.reset(index);
        if let Some(record) = self.records[index as usize].take() {
            self.priority_counts[record.pace.priority as usize] -= 1;
            if let Some(reporter) =
                record.reporter_id.and_then(|reporter_id| self.reporters.get_mut(&reporter_id))
            {
                reporter.hosts.remove(&host);
            }
        }
        self.free.push(index);
    }

    /// Discards what a host has reported so far.
    fn reset(&mut self, index: u32) {
        self.timers.clear(index);
        self.ageing.remove(&index);
        let Some(record) = &mut self.records[index as usize] else { return };
        if let Some(counted) = record.counted_load.take() {
            self.zone_loads.entry(record.zone).or_default().remove(counted);
        }
        if record.smoothed.take().is_some() {
            self.reported_hosts -= 1;
        }
        (record.freshness, record.emitted) = (Freshness::Silent, None);
    }

    /// Records that a probe of the host, or a traffic report about it, was observed at `at`: nothing
    /// observed earlier is given out.
    pub fn seen(&mut self, host: HostId, at: f64) {
        if let Some(record) = record(&self.index_by_host, &mut self.records, host) {
            record.overtaken_at = record.overtaken_at.max(at);
            record.emitted = None;
        }
    }

    /// Registers a connected reporter and the hosts that it reports for. Returns the closed reporter that
    /// was evicted to make room, if any.
    ///
    /// # Errors
    /// The maximum number of reporters is connected.
    pub fn opened(
        &mut self,
        now: f64,
        from: ReporterId,
        hosts: &[HostId],
    ) -> Result<Option<ReporterId>, TooMany> {
        let mut evicted = None;
        if !self.reporters.contains_key(&from) && self.reporters.len() >= self.most_reporters {
            // Evicts the closed reporter that sent least recently; what its hosts reported is kept.
            let closed = self.reporters.iter().filter(|(_, reporter)| reporter.open == 0);
            let oldest = closed.min_by(|a, b| a.1.received_at.total_cmp(&b.1.received_at)).map(|(id, _)| *id);
            evicted = Some(oldest.ok_or(TooMany)?);
            evicted.map(|evicted| self.reporters.remove(&evicted));
        }
        let reporter = self.reporters.entry(from).or_insert_with(|| Reporter::new(now));
        reporter.open += 1;
        reporter.changed = true;
        for host in hosts {
            self.speaks_for(from, *host);
        }
        Ok(evicted)
    }

    pub fn closed(&mut self, from: ReporterId) {
        if let Some(reporter) = self.reporters.get_mut(&from) {
            reporter.open = reporter.open.saturating_sub(1);
        }
    }

    /// Assigns the host to the reporter, which from now on receives its report interval.
    pub fn speaks_for(&mut self, from: ReporterId, host: HostId) {
        let Some(record) = record(&self.index_by_host, &mut self.records, host) else { return };
        if record.reporter_id == Some(from) {
            return;
        }
        let previous = record.reporter_id.replace(from);
        // The new reporter does not know what was sent to the previous one.
        record.pace.sent = false;
        if let Some(previous) = previous.and_then(|previous| self.reporters.get_mut(&previous)) {
            previous.hosts.remove(&host);
        }
        if let Some(reporter) = self.reporters.get_mut(&from) {
            reporter.hosts.insert(host);
            reporter.changed = true;
        }
    }

    /// Processes a batch of a reporter. The newest reports are processed first, so that of those above a
    /// host's rate the oldest are dropped. Batches of reporters that were never opened are refused.
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
        let process = match reporter.accept_batch(now, batch) {
            Ok(process) => process,
            Err(why) => {
                taken.refused[why as usize] = all;
                return taken;
            }
        };
        let (mut accepted_loads, mut reassigned_hosts) = (Vec::new(), Vec::new());
        for report in batch.reports.iter().rev() {
            let validated = validate(now, from, process, batch.sent, report, |host| {
                let index = *self.index_by_host.get(&host)?;
                Some((index, self.records[index as usize].as_mut()?))
            });
            match validated {
                Ok((index, smoothed)) => {
                    taken.taken += 1;
                    accepted_loads.push((index, smoothed));
                    let record = self.records[index as usize].as_ref();
                    reassigned_hosts
                        .extend(record.filter(|record| record.reporter_id != Some(from)).map(|r| r.host));
                }
                Err(why) => taken.refused[why as usize] += 1,
            }
        }
        let more = [Refusal::OverPace, Refusal::Superseded, Refusal::Repeat];
        let over = more.iter().map(|why| taken.refused[*why as usize]).sum();
        taken.rest = reporter.read_pause(over, taken.taken);
        reassigned_hosts.into_iter().for_each(|host| self.speaks_for(from, host));
        accepted_loads.into_iter().for_each(|(index, smoothed)| self.store(now, index, smoothed));
        taken
    }

    fn store(&mut self, now: f64, index: u32, smoothed: (SmoothedLoad, ClockSource)) {
        let Some(record) = &mut self.records[index as usize] else { return };
        record.received_at = now;
        self.reported_hosts += u32::from(record.smoothed.replace(smoothed).is_none());
        if !std::mem::replace(&mut record.dirty, true) {
            self.dirty.push(index);
        }
        self.update_freshness(now, index);
    }

    /// Updates a host's freshness from its newest report, and sets its timer for the next change.
    fn update_freshness(&mut self, now: f64, index: u32) {
        let Some(record) = &mut self.records[index as usize] else { return };
        let Some((smoothed, _)) = &record.smoothed else { return };
        let (interval, zone) = (record.pace.interval(), self.zone_loads.entry(record.zone).or_default());
        record.freshness = smoothed.freshness(now, interval);
        if let Some(counted) = record.counted_load.take() {
            zone.remove(counted);
        }
        if record.freshness == Freshness::Fresh {
            zone.add(smoothed.load());
            record.counted_load = Some(smoothed.load());
        }
        match record.freshness {
            Freshness::Ageing => self.ageing.insert(index),
            Freshness::Fresh | Freshness::Silent => self.ageing.remove(&index),
        };
        match smoothed.next_transition(now, interval) {
            Some(due) => self.timers.set(index, due),
            None => self.timers.clear(index),
        }
    }

    /// Advances time: estimates without new reports age, priorities and intervals are updated, and the
    /// estimates that the decisions do not have yet are returned. At most `room` are returned; the rest
    /// follows with the next ticks.
    pub fn tick(&mut self, now: f64, room: usize) -> Vec<Believed> {
        let mut expired = Vec::new();
        self.timers.advance(now, |index| expired.push(index));
        for index in expired {
            self.update_freshness(now, index);
            self.mark_dirty(index);
        }
        let mut fleet = Histogram::default();
        self.zone_loads.values().for_each(|zone| fleet.merge(zone));
        let (fresh, ageing) = (fleet.total(), self.ageing.len() as u32);
        let quorum_fresh = f64::from(fresh) >= QUORUM * f64::from(self.reported_hosts) && fresh > 0;
        if let Some(median) = fleet.quantile(0.5).filter(|_| quorum_fresh) {
            self.median = median;
        }
        self.census = Census {
            hosts: self.index_by_host.len() as u32,
            fresh,
            ageing,
            silent: self.reported_hosts - fresh - ageing,
            reporters: self.reporters.len() as u32,
            link_down: !quorum_fresh && self.reported_hosts > 0,
        };
        let mut candidates = std::mem::take(&mut self.dirty);
        for index in &candidates {
            if let Some(record) = &mut self.records[*index as usize] {
                record.dirty = false;
            }
        }
        if self.census.link_down {
            // While most hosts are silent, the remaining reports are not acted on: all estimates that were
            // sent are withdrawn.
            candidates = (0..self.records.len() as u32).collect();
        } else {
            candidates.extend(&self.ageing);
        }
        candidates.iter().for_each(|index| self.update_priority(*index));
        self.update_intervals();
        self.emit_estimates(now, &candidates, room)
    }

    fn mark_dirty(&mut self, index: u32) {
        if let Some(record) = self.records[index as usize].as_mut().filter(|record| !record.dirty) {
            record.dirty = true;
            self.dirty.push(index);
        }
    }

    /// Updates the priority of a host: how much its next report can change.
    fn update_priority(&mut self, index: u32) {
        let Some(record) = &mut self.records[index as usize] else { return };
        let Some((smoothed, _)) = &record.smoothed else { return };
        let line = self.line.load.max(self.line.beside * self.median);
        let (load, away) = (smoothed.load(), (smoothed.load() - line).abs() / line.max(1e-9));
        let near = away <= if record.pace.priority == Priority::Near { 2.0 * NEAR_LINE } else { NEAR_LINE };
        let moves = smoothed.deviation() > MOVING_THRESHOLD * line
            || record.freshness == Freshness::Ageing && load > self.median;
        let priority = match (near, moves) {
            (true, _) => Priority::Near,
            (false, true) => Priority::Moving,
            (false, false) => Priority::Steady,
        };
        let previous = std::mem::replace(&mut record.pace.priority, priority);
        if previous != priority {
            self.priority_counts[previous as usize] -= 1;
            self.priority_counts[priority as usize] += 1;
            if let Some(reporter) =
                record.reporter_id.and_then(|reporter_id| self.reporters.get_mut(&reporter_id))
            {
                reporter.changed = true;
            }
        }
    }

    /// Distributes the budget over the hosts by their current priorities.
    fn update_intervals(&mut self) {
        let intervals = allocate_rates(self.budget, self.priority_counts).map(rounded_interval);
        if intervals != self.intervals {
            self.intervals = intervals;
            self.reporters.values_mut().for_each(|reporter| reporter.changed = true);
        }
    }

    /// Returns the estimates that differ from those last sent. This is the only place where estimates are
    /// emitted.
    fn emit_estimates(&mut self, now: f64, candidates: &[u32], room: usize) -> Vec<Believed> {
        let mut out = Vec::new();
        for index in candidates {
            let Some(record) = &mut self.records[*index as usize] else { continue };
            let Some((smoothed, _)) = &record.smoothed else { continue };
            let host = record.host;
            let (load, age, sure) = match smoothed.estimate(now, record.pace.interval(), self.median) {
                _ if self.census.link_down => (self.median, 0.0, 0.0),
                LoadEstimate::Fresh(Fresh { load, age }) => (load, age, 1.0),
                LoadEstimate::Ageing(Ageing { load, age, sure }) => (load, age, sure),
                LoadEstimate::Silent(Silent { median, age }) => (median, age, 0.0),
                LoadEstimate::Unknown => continue,
            };
            let emitted =
                record.emitted.unwrap_or(Believed { host, load: 0.0, age: 0.0, sure: 0.0, waited: 0.0 });
            let shifted = (load - emitted.load).abs() > MIN_LOAD_CHANGE && sure > 0.0;
            let surer =
                (sure - emitted.sure).abs() > MIN_CONFIDENCE_CHANGE || (sure > 0.0) != (emitted.sure > 0.0);
            let again = sure > 0.0 && now - record.emitted_at >= REPEAT_INTERVAL;
            let overtaken = sure > 0.0 && smoothed.observed.earliest < record.overtaken_at;
            if overtaken || !(shifted || surer || again) {
                continue;
            }
            if out.len() >= room {
                // Evaluated again at the next tick, even if no report arrives until then.
                if !std::mem::replace(&mut record.dirty, true) {
                    self.dirty.push(*index);
                }
                continue;
            }
            let believed = Believed { host, load, age, sure, waited: now - record.received_at };
            (record.emitted, record.emitted_at) = (Some(believed), now);
            out.push(believed);
        }
        out
    }

    /// The message for a reporter, if one is due: the intervals of its hosts that differ from those it was
    /// sent, and an echo number to repeat. This is the only place where intervals are emitted.
    pub fn paces(&mut self, now: f64, to: ReporterId) -> Option<Paces> {
        let reporter = self.reporters.get_mut(&to).filter(|reporter| reporter.message_due(now))?;
        let mut every = Vec::new();
        for host in &reporter.hosts {
            let Some(record) = record(&self.index_by_host, &mut self.records, *host) else { continue };
            let wanted = self.intervals[record.pace.priority as usize];
            if !record.pace.sent || record.pace.interval() != wanted {
                record.pace.set_interval(now, wanted);
                every.push((*host, wanted));
            }
        }
        self.echo += 1;
        let echo = Echo(self.echo);
        reporter.message_sent(now, echo);
        Some(Paces { echo, every })
    }

    /// The current estimate of a host's load.
    pub fn estimate(&self, now: f64, host: HostId) -> LoadEstimate {
        let record = self.index_by_host.get(&host).and_then(|index| self.records[*index as usize].as_ref());
        match record
            .and_then(|record| record.smoothed.as_ref().map(|smoothed| (smoothed, record.pace.interval())))
        {
            Some(((smoothed, _), interval)) => smoothed.estimate(now, interval, self.median),
            None => LoadEstimate::Unknown,
        }
    }

    /// The load below which the fraction `part` of the zone's fresh hosts lies; `None` if no host is fresh.
    pub fn zone_quantile(&self, zone: ZoneId, part: f64) -> Option<f64> {
        self.zone_loads.get(&zone)?.quantile(part)
    }

    pub fn census(&self) -> Census {
        self.census
    }
}

fn record<'a>(
    index_by_host: &BTreeMap<HostId, u32>,
    records: &'a mut [Option<Record>],
    host: HostId,
) -> Option<&'a mut Record> {
    index_by_host.get(&host).and_then(|index| records[*index as usize].as_mut())
}

/// Validates one report and computes the host's new smoothed load.
fn validate<'a>(
    now: f64,
    from: ReporterId,
    process: &mut reporter::ReporterProcess,
    sent: f64,
    report: &Report,
    find: impl FnOnce(HostId) -> Option<(u32, &'a mut Record)>,
) -> Result<(u32, (SmoothedLoad, ClockSource)), Refusal> {
    let load = Load::of(report.load)?;
    // A report has to be observed before it is sent. The comparison is negated so that NaN is refused too.
    if !(report.at <= sent && report.at.is_finite()) {
        return Err(Refusal::Unfit);
    }
    let (index, record) = find(report.host).ok_or(Refusal::UnknownHost)?;
    process.replay.accept(report.seq)?;
    let observed = process.clock.to_local(now, report.at).ok_or(Refusal::Unproven)?;
    if record.born.is_some_and(|born| observed.earliest < born) {
        return Err(Refusal::BeforeStart);
    }
    // A report that a queue delayed until after a probe is not counted, not even with a small weight.
    if observed.earliest < record.overtaken_at {
        return Err(Refusal::Overtaken);
    }
    let source = (from, process.boot, process.clock_epoch);
    let smoothed = match &record.smoothed {
        Some((smoothed, previous)) => {
            // The timestamps of one process order its own reports; those of two processes are ordered by
            // the local clock only.
            let same = *previous == source;
            let older =
                if same { report.at <= smoothed.at } else { observed.earliest <= smoothed.observed.latest };
            if older {
                return Err(Refusal::Superseded);
            }
            smoothed.update(load, observed, report.at)
        }
        None => SmoothedLoad::first(load, observed, report.at),
    };
    if smoothed.freshness(now, record.pace.interval()) == Freshness::Silent {
        return Err(Refusal::Stale);
    }
    if !record.pace.admits(observed.latest) {
        return Err(Refusal::OverPace);
    }
    Ok((index, (smoothed, source)))
}
