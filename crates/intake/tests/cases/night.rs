//! Simulated reporters with their own clocks and connections, and an intake that receives them, in virtual
//! time.

use std::collections::{BTreeMap, VecDeque};

use amberarch_core::{HostId, ZoneId};
use amberarch_intake::*;

pub const STEP: f64 = 100.0;

pub fn host(number: u32, zone: u16) -> ListedHost {
    ListedHost { host: HostId(number), zone: ZoneId(zone), born: None }
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub boot: Boot,
    pub sent: f64,
    pub echo: Option<Echo>,
    pub reports: Vec<Report>,
}

/// A reporter that behaves correctly, apart from the faults that a test sets.
pub struct TestReporter {
    pub id: ReporterId,
    pub boot: Boot,
    /// Its clock minus the local one, in ms.
    pub skew: f64,
    pub seq: u32,
    pub echo: Option<Echo>,
    pub loads: BTreeMap<HostId, f64>,
    pub intervals: BTreeMap<HostId, f64>,
    due: BTreeMap<HostId, f64>,
    /// Its messages wait in `in_transit` while it is disconnected, or for `delay` ms.
    pub disconnected: bool,
    pub delay: f64,
    pub ignores_intervals: bool,
    pub in_transit: VecDeque<(f64, Sent)>,
    pub taken: Taken,
}

impl TestReporter {
    pub fn new(id: u32, hosts: std::ops::Range<u32>, load: f64) -> TestReporter {
        TestReporter {
            id: ReporterId(id),
            boot: Boot(u64::from(id) * 1_000),
            skew: 7e6 * f64::from(id + 1),
            seq: 0,
            echo: None,
            loads: hosts.map(|host| (HostId(host), load)).collect(),
            intervals: BTreeMap::new(),
            due: BTreeMap::new(),
            disconnected: false,
            delay: 0.0,
            ignores_intervals: false,
            in_transit: VecDeque::new(),
            taken: Taken::default(),
        }
    }

    /// Ends its process and starts another one with a clock of its own.
    pub fn restart(&mut self) {
        (self.boot, self.seq, self.echo) = (Boot(self.boot.0 + 1), 0, None);
        self.skew = -self.skew;
    }

    pub fn batch(&mut self, now: f64) -> Sent {
        let at = now + self.skew;
        let mut reports = Vec::new();
        for (host, load) in &self.loads {
            let due = self.due.entry(*host).or_insert(now);
            if now >= *due || self.ignores_intervals {
                let every = self.intervals.get(host).copied().unwrap_or(STEP);
                *due = (*due + every).max(now - every);
                self.seq = self.seq.wrapping_add(1);
                reports.push(Report { host: *host, seq: Seq(self.seq), at, load: *load });
            }
        }
        Sent { boot: self.boot, sent: at, echo: self.echo, reports }
    }
}

pub struct Simulation {
    pub intake: Intake,
    pub now: f64,
    pub estimates: BTreeMap<HostId, (f64, Believed)>,
    pub trace: String,
    traced_host: Option<HostId>,
}

impl Simulation {
    pub fn new(hosts: u32, budget: f64) -> Simulation {
        let line = Line { load: 0.9, beside: 1.3 };
        let now = 1e6;
        let intake = Intake::new(now, budget, 8, line, Echo(1 << 40));
        let mut sim =
            Simulation { intake, now, estimates: BTreeMap::new(), trace: String::new(), traced_host: None };
        sim.list(&(0..hosts).map(|number| host(number, (number % 3) as u16)).collect::<Vec<_>>());
        sim
    }

    pub fn trace_host(&mut self, host: u32) {
        self.traced_host = Some(HostId(host));
    }

    pub fn list(&mut self, hosts: &[ListedHost]) {
        self.intake.hosts(self.now, hosts);
    }

    pub fn open(&mut self, reporter: &TestReporter) {
        let hosts: Vec<HostId> = reporter.loads.keys().copied().collect();
        self.intake.opened(self.now, reporter.id, &hosts).expect("room for a reporter");
    }

    pub fn note(&mut self, text: &str) {
        self.trace += &format!("{} {text}\n", self.now - 1e6);
    }

    /// One step: reporters send what is due, arrived batches are processed, intervals are returned, and a
    /// tick emits the estimates.
    pub fn step(&mut self, reporters: &mut [TestReporter]) {
        self.now += STEP;
        for reporter in reporters.iter_mut() {
            let sent = reporter.batch(self.now);
            reporter.in_transit.push_back((self.now + reporter.delay, sent));
            if !reporter.disconnected {
                self.deliver(reporter);
                self.deliver_intervals(reporter);
            }
        }
        self.tick();
    }

    pub fn run(&mut self, ms: f64, reporters: &mut [TestReporter]) {
        for _ in 0..(ms / STEP) as u32 {
            self.step(reporters);
        }
    }

    pub fn deliver(&mut self, reporter: &mut TestReporter) {
        while reporter.in_transit.front().is_some_and(|(due, _)| *due <= self.now) {
            let Some((_, sent)) = reporter.in_transit.pop_front() else { break };
            let taken = self.take(reporter.id, &sent);
            reporter.taken.taken += taken.taken;
            reporter.taken.rest = reporter.taken.rest.max(taken.rest);
            reporter.taken.refused.iter_mut().zip(taken.refused).for_each(|(sum, one)| *sum += one);
        }
    }

    pub fn take(&mut self, from: ReporterId, sent: &Sent) -> Taken {
        let Sent { boot, sent, echo, reports } = sent;
        self.intake.take(self.now, from, &Batch { boot: *boot, sent: *sent, echo: *echo, reports })
    }

    /// Intervals reach a reporter, which answers at once.
    fn deliver_intervals(&mut self, reporter: &mut TestReporter) {
        while let Some(paces) = self.intake.paces(self.now, reporter.id) {
            reporter.echo = Some(paces.echo);
            if !reporter.ignores_intervals {
                reporter.intervals.extend(paces.every);
            }
            let sent = Sent {
                boot: reporter.boot,
                sent: self.now + reporter.skew,
                echo: reporter.echo,
                reports: vec![],
            };
            reporter.in_transit.push_back((self.now + reporter.delay, sent));
            self.deliver(reporter);
        }
    }

    pub fn tick(&mut self) {
        for believed in self.intake.tick(self.now, usize::MAX) {
            if self.traced_host == Some(believed.host) {
                let Believed { load, age, sure, .. } = believed;
                self.note(&format!("load {load:.2}, {age:.0} ms old, {:.0} % sure", 100.0 * sure));
            }
            self.estimates.insert(believed.host, (self.now, believed));
        }
    }

    /// The load that the decisions use for a host; `None` without an estimate.
    pub fn load(&self, host: u32) -> Option<f64> {
        let estimate = self.estimates.get(&HostId(host)).map(|estimate| estimate.1);
        estimate.filter(|estimate| estimate.sure > 0.0).map(|estimate| estimate.load)
    }
}

pub fn refused(reporter: &TestReporter, why: Refusal) -> u32 {
    reporter.taken.refused[why as usize]
}
