//! Checks that hosts which have just started are not sent more than they survive.

use std::collections::{BTreeMap, VecDeque};

use crate::suspended::Suspended;
use crate::{Line, Rule, Verdict, What};

/// A fall counts if at least this fraction of the work came from proxies that knew of the start.
const MIN_KNOWING_FRACTION: f64 = 2.0 / 3.0;

/// What a cold host survives, and when a proxy counts as knowing that it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLoadBounds {
    /// The fraction of its capacity that a host has right after its start.
    pub initial_capacity: f64,
    /// Time from its start to its full capacity, ms.
    pub warmup: f64,
    /// The multiple of its present capacity at which a host fails.
    pub failure_load: f64,
    /// How long such a load lasts until the host fails, ms.
    pub failure_after: f64,
    /// A proxy counts as knowing of a start this long after its controller was notified, ms, if no message reached it
    /// before.
    pub grace: f64,
    /// The additional time that the protocol page allows over sockets, ms.
    pub slack: f64,
}

/// Assumes that test doubles write `HostStarted` when a host starts, `StartTold` when a controller counts as notified of
/// that start, and `Offered` for each txn that is sent to a host from its start to the end of its warm-up. A host that
/// failed is not judged again before its next start.
pub struct ColdLoad {
    bounds: ColdLoadBounds,
    cold: BTreeMap<String, ColdHost>,
    proxies: BTreeMap<String, Proxy>,
    suspended: BTreeMap<String, Suspended>,
    verdict: Verdict,
    /// The largest load of a cold host from proxies that knew of its start, as a multiple of its capacity.
    largest: f64,
}

struct ColdHost {
    started: Line,
    capacity: f64,
    /// When each controller was notified of the start.
    notified: BTreeMap<String, u64>,
    recent: VecDeque<Work>,
}

/// A txn that was sent to a cold host.
struct Work {
    at: u64,
    ms: f64,
    /// It came from a proxy that knew of the start.
    knowing: bool,
}

#[derive(Default)]
struct Proxy {
    follows: Option<String>,
}

impl ColdLoad {
    pub fn new(bounds: ColdLoadBounds) -> ColdLoad {
        ColdLoad {
            bounds,
            cold: BTreeMap::new(),
            proxies: BTreeMap::new(),
            suspended: BTreeMap::new(),
            verdict: Verdict::default(),
            largest: 0.0,
        }
    }

    /// Lines have to come in the order of `at`.
    pub fn feed(&mut self, line: &Line) {
        match &line.what {
            What::HostStarted { capacity } => self.host_started(line, *capacity),
            What::StartTold { host } => {
                if let Some(host) = self.cold.get_mut(host) {
                    host.notified.entry(line.who.clone()).or_insert(line.at);
                }
            }
            What::Offered { host, work_ms, ordered_at } => self.offered(line, host, *work_ms, *ordered_at),
            What::Joined { controller } => {
                self.proxies.entry(line.who.clone()).or_default().follows = Some(controller.clone());
            }
            What::Left => self.proxies.entry(line.who.clone()).or_default().follows = None,
            What::LimitsWait { until } => {
                self.suspended.entry(line.who.clone()).or_default().add(line.at, *until);
            }
            // A restarted process is notified again.
            What::Died => {
                for host in self.cold.values_mut() {
                    host.notified.remove(&line.who);
                }
            }
            _ => {}
        }
    }

    fn host_started(&mut self, line: &Line, capacity: f64) {
        self.verdict.looked += 1;
        let host = line.who.strip_prefix("host:").unwrap_or(&line.who).to_string();
        let (notified, recent) = (BTreeMap::new(), VecDeque::new());
        self.cold.insert(host, ColdHost { started: line.clone(), capacity, notified, recent });
    }

    fn offered(&mut self, line: &Line, name: &str, ms: f64, ordered_at: Option<u64>) {
        let knowing = self.is_knowing(line, name, ordered_at);
        let bounds = self.bounds;
        let Some(host) = self.cold.get_mut(name) else { return };
        let age_ms = (line.at - host.started.at) as f64 / 1e6;
        if age_ms >= bounds.warmup {
            self.cold.remove(name);
            return;
        }
        host.recent.push_back(Work { at: line.at, ms, knowing });
        let window_ns = (bounds.failure_after * 1e6) as u64;
        while host.recent.front().is_some_and(|work| work.at + window_ns <= line.at) {
            host.recent.pop_front();
        }
        let all: f64 = host.recent.iter().map(|work| work.ms).sum();
        let from_knowing: f64 = host.recent.iter().filter(|work| work.knowing).map(|work| work.ms).sum();
        let present = bounds.initial_capacity + (1.0 - bounds.initial_capacity) * age_ms / bounds.warmup;
        let load = all / (present * host.capacity * bounds.failure_after);
        let counts = from_knowing >= MIN_KNOWING_FRACTION * all;
        if counts {
            self.largest = self.largest.max(load);
        }
        if load <= bounds.failure_load {
            return;
        }
        let failed = self.cold.remove(name);
        if let Some(host) = failed.filter(|_| counts) {
            let says = format!(
                "{name} fails {age_ms:.0} ms after its start: within {:.0} ms it was sent {load:.1} times its present \
                 capacity",
                bounds.failure_after
            );
            self.verdict.found(Rule::ColdLoad, line.at, says, vec![host.started]);
        }
    }

    /// Whether the proxy knows that the host is cold: the last message that it applied was sent after its controller was
    /// notified, or the grace is over.
    fn is_knowing(&self, line: &Line, host: &str, ordered_at: Option<u64>) -> bool {
        let controller = self.proxies.get(&line.who).and_then(|proxy| proxy.follows.as_ref());
        let notified = |controller: &String| self.cold.get(host)?.notified.get(controller).copied();
        let Some((controller, notified)) = controller.and_then(|one| Some((one, notified(one)?))) else {
            return false;
        };
        let counted_ns = match self.suspended.get(controller) {
            Some(suspended) => suspended.counted(notified, line.at),
            None => line.at.saturating_sub(notified),
        };
        let grace_over = counted_ns as f64 / 1e6 >= self.bounds.grace + self.bounds.slack;
        grace_over || ordered_at.is_some_and(|sent| sent >= notified)
    }

    /// The largest load that a cold host got, as a multiple of its capacity, where it came from proxies that knew of its
    /// start.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }
}
