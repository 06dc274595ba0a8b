//! The one owner of the intake on its thread: streams bring batches, a clock's tick gives out what is believed
//! and which paces are due. Held by one stream at a time, never across a wait.

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

/// As often as the decisions look.
const TICK: Duration = Duration::from_millis(200);
/// Told to the decisions at one tick, at the most; what stands over comes with the next ones.
const ROOM: usize = 4_096;

/// Where messages to a reporter go: one that does not read finds its newest paces waiting, not a queue of them.
pub type ToReporter = mpsc::Sender<Result<wire::Paces, Status>>;

/// One stream of a reporter, as long as it stands.
pub struct Seat {
    pub id: ReporterId,
    number: u64,
    boot: Boot,
    names: Vec<String>,
    /// By place in `names`; none where the host is not listed.
    hosts: Vec<Option<HostId>>,
    list: u64,
}

struct Open {
    number: u64,
    to: ToReporter,
    places: BTreeMap<HostId, u32>,
}

struct Inner {
    intake: Intake,
    start: Instant,
    ids: HashMap<String, ReporterId>,
    next: u32,
    /// The newest stream of each reporter: paces go there.
    open: BTreeMap<ReporterId, Open>,
    streams: u64,
    names: HashMap<String, HostId>,
    list: u64,
}

#[derive(Clone)]
pub struct Desk {
    inner: Arc<Mutex<Inner>>,
    counts: Arc<Counts>,
}

impl Desk {
    pub fn new(bounds: Bounds, basis: Basis, counts: Arc<Counts>) -> Desk {
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
        Desk { inner: Arc::new(Mutex::new(inner)), counts }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        // A stream that panicked took its batch with it; what the intake holds is whole after each report.
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A stream whose reporter has said who it is.
    ///
    /// # Errors
    /// As many reporters as there may be are connected.
    pub fn opened(&self, hello: wire::Hello, to: ToReporter) -> Result<Seat, TooMany> {
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
            inner.open.insert(id, Open { number, to, places: places(&hosts) });
            let (boot, names, list) = (Boot(hello.boot), hello.hosts, inner.list);
            inner.tell(id, &self.counts);
            Ok(Seat { id, number, boot, names, hosts, list })
        })
    }

    pub fn refused(&self) {
        self.counts.streams_refused.one();
    }

    pub fn closed(&self, seat: &Seat) {
        self.with(|inner| {
            inner.intake.closed(seat.id);
            if inner.open.get(&seat.id).is_some_and(|open| open.number == seat.number) {
                inner.open.remove(&seat.id);
            }
        });
    }

    /// Takes a batch in; tells how long to wait before the next is read.
    pub fn take(&self, seat: &mut Seat, batch: &wire::Batch) -> Duration {
        let arrived = Instant::now();
        let taken = self.with(|inner| {
            if seat.list != inner.list {
                inner.name_anew(seat);
            }
            let mut strangers = 0;
            let reports: Vec<Report> = batch
                .reports
                .iter()
                .filter_map(|report| {
                    let host = seat.hosts.get(report.host as usize).copied().flatten();
                    strangers += u32::from(host.is_none());
                    Some(Report { host: host?, seq: Seq(report.seq), at: report.at_ms, load: load(report) })
                })
                .collect();
            let echo = Some(Echo(batch.echo)).filter(|echo| echo.0 > 0);
            let now = inner.now();
            let batch = Batch { boot: seat.boot, sent: batch.sent_ms, echo, reports: &reports };
            let mut taken: Taken = inner.intake.take(now, seat.id, &batch);
            taken.refused[Refusal::UnknownHost as usize] += strangers;
            inner.tell(seat.id, &self.counts);
            taken
        });
        self.counts.batch(batch.reports.len(), &taken, arrived.elapsed().as_secs_f64() * 1e6);
        Duration::from_secs_f64(taken.rest / 1e3)
    }

    /// Ticks for good.
    pub async fn run(self, witness: Witness, out: mpsc::Sender<Vec<Believed>>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // What the decisions have no room for now is not lost: it is believed, and told at a later tick.
            let permit = out.try_reserve().ok();
            let told = self.with(|inner| {
                inner.heed(&witness);
                let now = inner.now();
                let told = inner.intake.tick(now, if permit.is_some() { ROOM } else { 0 });
                let open: Vec<ReporterId> = inner.open.keys().copied().collect();
                open.into_iter().for_each(|id| inner.tell(id, &self.counts));
                self.counts.stands(inner.intake.census());
                told
            });
            told.iter().for_each(|told| self.counts.told(told.waited));
            if let Some(permit) = permit.filter(|_| !told.is_empty()) {
                permit.send(told);
            }
        }
    }
}

impl Inner {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    fn heed(&mut self, witness: &Witness) {
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

    /// Hands a reporter its newest paces if it has room for a message.
    fn tell(&mut self, id: ReporterId, counts: &Counts) {
        let (now, Some(open)) = (self.now(), self.open.get(&id)) else { return };
        let Ok(permit) = open.to.try_reserve() else { return };
        let Some(paces) = self.intake.paces(now, id) else { return };
        let pace = |(host, every_ms): (HostId, f64)| {
            open.places.get(&host).map(|place| wire::Pace { host: *place, every_ms })
        };
        let told: Vec<wire::Pace> = paces.every.into_iter().filter_map(pace).collect();
        counts.messages_of_paces.one();
        counts.paces.more(told.len() as u64);
        permit.send(Ok(wire::Paces { echo: paces.echo.0, paces: told }));
    }

    /// The list has changed since the stream's hosts were looked up.
    fn name_anew(&mut self, seat: &mut Seat) {
        seat.hosts = seat.names.iter().map(|name| self.names.get(name).copied()).collect();
        seat.list = self.list;
        for host in seat.hosts.iter().flatten() {
            self.intake.speaks_for(seat.id, *host);
        }
        if let Some(open) = self.open.get_mut(&seat.id).filter(|open| open.number == seat.number) {
            open.places = places(&seat.hosts);
        }
    }
}

fn places(hosts: &[Option<HostId>]) -> BTreeMap<HostId, u32> {
    hosts.iter().enumerate().filter_map(|(place, host)| Some(((*host)?, place as u32))).collect()
}

/// gRFC A58 (weighted round robin): the application's own measure goes first where it is told. A report
/// without a load says what can't be.
fn load(report: &wire::Report) -> f64 {
    match &report.load {
        Some(load) if load.application_utilization != 0.0 => load.application_utilization,
        Some(load) => load.cpu_utilization,
        None => f64::NAN,
    }
}
