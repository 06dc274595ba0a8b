//! Probes: one light request to a host each, on a connection of its own.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use amberarch_core::{HostId, LoadReport, ProbeOutcome};
use hyper::StatusCode;
use serde_json::Value;
use slog::debug;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::Instant;

use crate::heard::{Entry, Heard, Probe, Ties};
use crate::http::{get, Dial, Fault, Line};

/// The design page: a probe has 0.3 s to be answered.
const ANSWER: Duration = Duration::from_millis(300);
/// A host says how busy it is in some dozen words; what comes after so many bytes is not read.
const MOST_BYTES: usize = 16 << 10;

/// Who is to be probed and has no place yet, each host once. All come to their turn, however few places there are: then
/// it is the period that grows, and no host is left out.
#[derive(Default)]
struct Waiting {
    turns: VecDeque<HostId>,
    entries: BTreeMap<HostId, Entry>,
}

impl Waiting {
    /// False where the host's last probe still waits: this one gives way to it.
    fn take(&mut self, Probe { host, entry }: Probe) -> bool {
        let new = self.entries.insert(host, entry).is_none();
        self.turns.extend(new.then_some(host));
        new
    }

    fn next(&mut self) -> Option<Probe> {
        let host = self.turns.pop_front()?;
        self.entries.remove(&host).map(|entry| Probe { host, entry })
    }
}

#[derive(Clone)]
pub struct Prober {
    pub path: &'static str,
    pub connect_within: Duration,
    /// So many are under way at the most.
    pub most: usize,
    pub ties: Ties,
}

impl Prober {
    pub async fn run(self, dial: Rc<impl Dial + 'static>, mut probes: mpsc::Receiver<Probe>) {
        /// One decision orders as many as there are hosts. One by one this task would take 128 before the others have
        /// their turn: where decisions take longer than the period, more are ordered in each round than are taken up.
        const AT_ONCE: usize = 4_096;
        let (places, mut waiting) = (Arc::new(Semaphore::new(self.most)), Waiting::default());
        let mut come = Vec::new();
        loop {
            let place = tokio::select! {
                // What has come is looked at first: a host that is ordered again has its place in the line already.
                biased;
                many = probes.recv_many(&mut come, AT_ONCE) => {
                    if many == 0 {
                        return;
                    }
                    for probe in come.drain(..) {
                        if !waiting.take(probe) {
                            self.ties.counters.probes_merged.one();
                        }
                    }
                    continue;
                }
                place = places.clone().acquire_owned(), if !waiting.turns.is_empty() => place,
            };
            let (Ok(place), Some(Probe { host, entry })) = (place, waiting.next()) else { return };
            let (prober, dial) = (self.clone(), dial.clone());
            // Each ends by itself within its time limits, and frees its place.
            tokio::task::spawn_local(async move {
                let _place = place;
                let sent = Instant::now();
                let (outcome, report) = prober.probe(&*dial, entry.dial).await;
                let took = sent.elapsed().as_secs_f64() * 1e3;
                drop(prober.ties.desk.send(Heard::Probed { host, entry, outcome, took, report }).await);
            });
        }
    }

    pub async fn probe(&self, dial: &impl Dial, to: SocketAddr) -> (ProbeOutcome, LoadReport) {
        self.ties.counters.probes.one();
        let found = self.ask(dial, to).await;
        match found.0 {
            ProbeOutcome::Answered => self.ties.counters.probes_passed.one(),
            ProbeOutcome::Unknown => self.ties.counters.probes_unsent.one(),
            _ => self.ties.counters.probes_failed.one(),
        }
        found
    }

    async fn ask(&self, dial: &impl Dial, to: SocketAddr) -> (ProbeOutcome, LoadReport) {
        let none = LoadReport::default();
        let mut line = match Line::open(dial, to, self.connect_within).await {
            Ok(line) => line,
            // Guards against hosts that are gated for what this machine lacks.
            Err(Fault::NoMeans(_)) => return (ProbeOutcome::Unknown, none),
            Err(_) => return (ProbeOutcome::Unreachable, none),
        };
        let sent = Instant::now();
        let (status, body) = match line.glance(get(self.path, to), ANSWER, MOST_BYTES).await {
            Ok(answer) => answer,
            Err(_) if sent.elapsed() >= ANSWER => return (ProbeOutcome::TimedOut, none),
            Err(_) => return (ProbeOutcome::Reset, none),
        };
        debug!(self.ties.log, "probed"; "status" => %status);
        match status {
            StatusCode::OK => (ProbeOutcome::Answered, report(&body)),
            _ => (ProbeOutcome::Errored, none),
        }
    }
}

/// What a host says of its load; what can't be read is not said.
fn report(body: &[u8]) -> LoadReport {
    let said: Value = serde_json::from_slice(body).unwrap_or_default();
    let part = |name: &str| said.get(name).and_then(Value::as_f64);
    LoadReport {
        in_flight: part("inflight"),
        queued: part("queue"),
        utilization: part("util"),
        latency: part("latency_ms"),
    }
}
