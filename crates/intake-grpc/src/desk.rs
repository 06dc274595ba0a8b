//! The only owner of the intake, on the service's thread: streams bring batches, and a timer publishes
//! believed loads and sends the paces that are due. One stream at a time holds the lock, never across an
//! await.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use amberarch_core::HostId;
use amberarch_intake::{
    Batch, Believed, Boot, Echo, Intake, ListedHost, Refusal, Report, ReporterId, Seq, Taken, TooMany,
};
use tokio::sync::mpsc;
use tonic::Status;

use crate::counts::Counts;
use crate::wire;
use crate::witness::Witness;
use crate::{Basis, Bounds};

/// Matches the interval of the decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of believed loads sent to the decisions per tick; the remainder follows at later ticks.
const MAX_BELIEFS_PER_TICK: usize = 4_096;

/// Channel for messages to a reporter. A reporter that does not read finds only its newest paces waiting,
/// not a queue of them.
pub type ToReporter = mpsc::Sender<Result<wire::Paces, Status>>;

/// An open stream of a reporter.
pub struct ReporterStream {
    pub id: ReporterId,
    number: u64,
    boot: Boot,
    names: Vec<String>,
    /// Same index as `names`; `None` where the host is not listed.
    hosts: Vec<Option<HostId>>,
    list: u64,
}

struct OpenStream {
    number: u64,
    to: ToReporter,
    indexes: BTreeMap<HostId, u32>,
}

struct Inner {
    intake: Intake,
    start: Instant,
    ids: HashMap<String, ReporterId>,
    next: u32,
    /// The newest stream of each reporter, to which its paces are sent.
    open: BTreeMap<ReporterId, OpenStream>,
    streams: u64,
    names: HashMap<String, HostId>,
    list: u64,
}

#[derive(Clone)]
pub struct SharedIntake {
    inner: Arc<Mutex<Inner>>,
    counts: Arc<Counts>,
}

impl SharedIntake {
    pub fn new(bounds: Bounds, basis: Basis, counts: Arc<Counts>) -> SharedIntake {
        let now = basis.start.elapsed().as_secs_f64() * 1e3;
        let intake = Intake::new(now, basis.reports_per_s, bounds.reporters, basis.line, basis.echo);
        let inner = Inner {
            intake,
            start: basis.start,
            ids: HashMap::new(),
            next: 0,
            open: BTreeMap::new(),
            streams: 0,
            names: HashMap::new(),
            list: 1,
        };
        SharedIntake { inner: Arc::new(Mutex::new(inner)), counts }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        // A stream that panicked lost its batch, but the intake is consistent after each report.
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers a stream whose reporter has sent its hello.
    ///
    /// # Errors
    /// The limit of connected reporters is reached.
    pub fn opened(&self, hello: wire::Hello, to: ToReporter) -> Result<ReporterStream, TooMany> {
        self.with(|inner| {
            let (now, known) = (inner.now(), inner.ids.get(&hello.reporter).copied());
            let id = known.unwrap_or(ReporterId(inner.next));
            let hosts: Vec<Option<HostId>> =
                hello.hosts.iter().map(|name| inner.names.get(name).copied()).collect();
            let listed: Vec<HostId> = hosts.iter().flatten().copied().collect();
            if let Some(left) = inner.intake.opened(now, id, &listed)? {
                inner.ids.retain(|_, known| *known != left);
            }
            if known.is_none() {
                inner.ids.insert(hello.reporter, id);
                inner.next += 1;
            }
            inner.streams += 1;
            self.counts.streams.one();
            let number = inner.streams;
            inner.open.insert(id, OpenStream { number, to, indexes: indexes(&hosts) });
            let (boot, names, list) = (Boot(hello.boot), hello.hosts, inner.list);
            inner.send_paces(id, &self.counts);
            Ok(ReporterStream { id, number, boot, names, hosts, list })
        })
    }

    pub fn refused(&self) {
        self.counts.streams_refused.one();
    }

    pub fn closed(&self, stream: &ReporterStream) {
        self.with(|inner| {
            inner.intake.closed(stream.id);
            if inner.open.get(&stream.id).is_some_and(|open| open.number == stream.number) {
                inner.open.remove(&stream.id);
            }
        });
    }

    /// Accepts a batch; returns how long to wait before reading the next one.
    pub fn take(&self, stream: &mut ReporterStream, batch: &wire::Batch) -> Duration {
        let arrived = Instant::now();
        let taken = self.with(|inner| {
            if stream.list != inner.list {
                inner.look_up_hosts(stream);
            }
            let mut unknown_hosts = 0;
            let reports: Vec<Report> = batch
                .reports
                .iter()
                .filter_map(|report| {
                    let host = stream.hosts.get(report.host as usize).copied().flatten();
                    unknown_hosts += u32::from(host.is_none());
                    Some(Report { host: host?, seq: Seq(report.seq), at: report.at_ms, load: load(report) })
                })
                .collect();
            let echo = Some(Echo(batch.echo)).filter(|echo| echo.0 > 0);
            let now = inner.now();
            let batch = Batch { boot: stream.boot, sent: batch.sent_ms, echo, reports: &reports };
            let mut taken: Taken = inner.intake.take(now, stream.id, &batch);
            taken.refused[Refusal::UnknownHost as usize] += unknown_hosts;
            inner.send_paces(stream.id, &self.counts);
            taken
        });
        self.counts.batch(batch.reports.len(), &taken, arrived.elapsed().as_secs_f64() * 1e6);
        Duration::from_secs_f64(taken.rest / 1e3)
    }

    /// Runs the timer for the lifetime of the service.
    pub async fn run(self, witness: Witness, out: mpsc::Sender<Vec<Believed>>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // What the decisions have no room for now is kept and sent at a later tick.
            let permit = out.try_reserve().ok();
            let beliefs = self.with(|inner| {
                inner.apply_observations(&witness);
                let now = inner.now();
                let beliefs = inner.intake.tick(now, if permit.is_some() { MAX_BELIEFS_PER_TICK } else { 0 });
                let open: Vec<ReporterId> = inner.open.keys().copied().collect();
                open.into_iter().for_each(|id| inner.send_paces(id, &self.counts));
                self.counts.set_census(inner.intake.census());
                beliefs
            });
            beliefs.iter().for_each(|belief| self.counts.told(belief.waited));
            if let Some(permit) = permit.filter(|_| !beliefs.is_empty()) {
                permit.send(beliefs);
            }
        }
    }
}

impl Inner {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    fn apply_observations(&mut self, witness: &Witness) {
        let (now, told) = (self.now(), witness.take());
        if let Some(list) = told.list {
            let listed: Vec<ListedHost> = list
                .iter()
                .map(|named| ListedHost { host: named.host, zone: named.zone, born: named.born })
                .collect();
            self.intake.hosts(now, &listed);
            self.names = list.into_iter().map(|named| (named.name, named.host)).collect();
            self.list += 1;
        }
        told.seen.into_iter().for_each(|(host, at)| self.intake.seen(host, at));
    }

    /// Sends a reporter its newest paces if its channel has room for a message.
    fn send_paces(&mut self, id: ReporterId, counts: &Counts) {
        let (now, Some(open)) = (self.now(), self.open.get(&id)) else { return };
        let Ok(permit) = open.to.try_reserve() else { return };
        let Some(paces) = self.intake.paces(now, id) else { return };
        let pace = |(host, every_ms): (HostId, f64)| {
            open.indexes.get(&host).map(|index| wire::Pace { host: *index, every_ms })
        };
        let told: Vec<wire::Pace> = paces.every.into_iter().filter_map(pace).collect();
        counts.messages_of_paces.one();
        counts.paces.more(told.len() as u64);
        permit.send(Ok(wire::Paces { echo: paces.echo.0, paces: told }));
    }

    /// Looks up the stream's hosts again after the host list has changed.
    fn look_up_hosts(&mut self, stream: &mut ReporterStream) {
        stream.hosts = stream.names.iter().map(|name| self.names.get(name).copied()).collect();
        stream.list = self.list;
        for host in stream.hosts.iter().flatten() {
            self.intake.speaks_for(stream.id, *host);
        }
        if let Some(open) = self.open.get_mut(&stream.id).filter(|open| open.number == stream.number) {
            open.indexes = indexes(&stream.hosts);
        }
    }
}

fn indexes(hosts: &[Option<HostId>]) -> BTreeMap<HostId, u32> {
    hosts.iter().enumerate().filter_map(|(index, host)| Some(((*host)?, index as u32))).collect()
}

/// gRFC A58 (weighted round robin): the application's own utilization takes precedence where it is set. A
/// report without a load gives NaN, which is refused as impossible.
fn load(report: &wire::Report) -> f64 {
    match &report.load {
        Some(load) if load.application_utilization != 0.0 => load.application_utilization,
        Some(load) => load.cpu_utilization,
        None => f64::NAN,
    }
}
