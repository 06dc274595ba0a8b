//! Health probes: each is one light request to a host on a connection of its own.

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

/// Time for a host to answer a probe, by the design page.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A host's load report has some dozen words; the body is read up to this size.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Hosts waiting for a free probe slot, each once. All get their turn in order: with too few slots the period between the
/// probes of a host grows, but no host is left out.
#[derive(Default)]
struct Waiting {
    turns: VecDeque<HostId>,
    entries: BTreeMap<HostId, Entry>,
}

impl Waiting {
    /// Queues a probe; false if one of the same host is already waiting, with which it is merged.
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
    /// The most probes in progress at a time.
    pub most: usize,
    pub ties: Ties,
}

impl Prober {
    pub async fn run(self, dial: Rc<impl Dial + 'static>, mut probes: mpsc::Receiver<Probe>) {
        /// One decision orders a probe of every host. Received one by one, this task would take only 128 before it has to
        /// yield: where decisions take longer than the probe period, more would be ordered in each round than received.
        const MAX_RECEIVED_AT_ONCE: usize = 4_096;
        let (places, mut waiting) = (Arc::new(Semaphore::new(self.most)), Waiting::default());
        let mut received = Vec::new();
        loop {
            let place = tokio::select! {
                // Orders are received first: a host that is ordered again keeps its position in the queue.
                biased;
                many = probes.recv_many(&mut received, MAX_RECEIVED_AT_ONCE) => {
                    if many == 0 {
                        return;
                    }
                    for probe in received.drain(..) {
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
            // Each probe ends within its time limits and frees its slot.
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
            // A failure of this machine must not gate the host.
            Err(Fault::LocalFailure(_)) => return (ProbeOutcome::Unknown, none),
            Err(_) => return (ProbeOutcome::Unreachable, none),
        };
        let sent = Instant::now();
        let (status, body) = match line.glance(get(self.path, to), ANSWER_TIMEOUT, MAX_BODY_BYTES).await {
            Ok(answer) => answer,
            Err(_) if sent.elapsed() >= ANSWER_TIMEOUT => return (ProbeOutcome::TimedOut, none),
            Err(_) => return (ProbeOutcome::Reset, none),
        };
        debug!(self.ties.log, "probed"; "status" => %status);
        match status {
            StatusCode::OK => (ProbeOutcome::Answered, report(&body)),
            _ => (ProbeOutcome::Errored, none),
        }
    }
}

/// Parses a host's load report; unreadable values are left out.
fn report(body: &[u8]) -> LoadReport {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let part = |name: &str| body.get(name).and_then(Value::as_f64);
    LoadReport {
        in_flight: part("inflight"),
        queued: part("queue"),
        utilization: part("util"),
        latency: part("latency_ms"),
    }
}
