//! Reporters with clocks and ways of their own, and an intake that hears them, in virtual time.

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

/// A reporter that does as it should, but for what a test does to it.
pub struct Stand {
    pub id: ReporterId,
    pub boot: Boot,
    /// Its clock less ours, and how much faster it runs.
    pub skew: f64,
    pub seq: u32,
    pub echo: Option<Echo>,
    pub loads: BTreeMap<HostId, f64>,
    pub every: BTreeMap<HostId, f64>,
    due: BTreeMap<HostId, f64>,
    /// What it sends waits here while its way is cut, or for so long.
    pub cut: bool,
    pub delay: f64,
    pub heedless: bool,
    pub held: VecDeque<(f64, Sent)>,
    pub taken: Taken,
}

impl Stand {
    pub fn new(id: u32, hosts: std::ops::Range<u32>, load: f64) -> Stand {
        Stand {
            id: ReporterId(id),
            boot: Boot(u64::from(id) * 1_000),
            skew: 7e6 * f64::from(id + 1),
            seq: 0,
            echo: None,
            loads: hosts.map(|host| (HostId(host), load)).collect(),
            every: BTreeMap::new(),
            due: BTreeMap::new(),
            cut: false,
            delay: 0.0,
            heedless: false,
            held: VecDeque::new(),
            taken: Taken::default(),
        }
    }

    /// Its process ends and another begins, with a clock of its own.
    pub fn restart(&mut self) {
        (self.boot, self.seq, self.echo) = (Boot(self.boot.0 + 1), 0, None);
        self.skew = -self.skew;
    }

    pub fn batch(&mut self, now: f64) -> Sent {
        let at = now + self.skew;
        let mut reports = Vec::new();
        for (host, load) in &self.loads {
            let due = self.due.entry(*host).or_insert(now);
            if now >= *due || self.heedless {
                let every = self.every.get(host).copied().unwrap_or(STEP);
                *due = (*due + every).max(now - every);
                self.seq = self.seq.wrapping_add(1);
                reports.push(Report { host: *host, seq: Seq(self.seq), at, load: *load });
            }
        }
        Sent { boot: self.boot, sent: at, echo: self.echo, reports }
    }
}

pub struct Night {
    pub intake: Intake,
    pub now: f64,
    pub told: BTreeMap<HostId, (f64, Believed)>,
    pub trace: String,
    shown: Option<HostId>,
}

impl Night {
    pub fn new(hosts: u32, budget: f64) -> Night {
        let line = Line { load: 0.9, beside: 1.3 };
        let now = 1e6;
        let intake = Intake::new(now, budget, 8, line, Echo(1 << 40));
        let mut night = Night { intake, now, told: BTreeMap::new(), trace: String::new(), shown: None };
        night.list(&(0..hosts).map(|number| host(number, (number % 3) as u16)).collect::<Vec<_>>());
        night
    }

    pub fn show(&mut self, host: u32) {
        self.shown = Some(HostId(host));
    }

    pub fn list(&mut self, hosts: &[ListedHost]) {
        self.intake.hosts(self.now, hosts);
    }

    pub fn open(&mut self, stand: &Stand) {
        let hosts: Vec<HostId> = stand.loads.keys().copied().collect();
        self.intake.opened(self.now, stand.id, &hosts).expect("room for a reporter");
    }

    pub fn note(&mut self, text: &str) {
        self.trace += &format!("{} {text}\n", self.now - 1e6);
    }

    /// All send what is due, what has arrived is taken, paces go back, a tick tells.
    pub fn step(&mut self, stands: &mut [Stand]) {
        self.now += STEP;
        for stand in stands.iter_mut() {
            let sent = stand.batch(self.now);
            stand.held.push_back((self.now + stand.delay, sent));
            if !stand.cut {
                self.deliver(stand);
                self.answer(stand);
            }
        }
        self.tick();
    }

    pub fn run(&mut self, ms: f64, stands: &mut [Stand]) {
        for _ in 0..(ms / STEP) as u32 {
            self.step(stands);
        }
    }

    pub fn deliver(&mut self, stand: &mut Stand) {
        while stand.held.front().is_some_and(|(due, _)| *due <= self.now) {
            let Some((_, sent)) = stand.held.pop_front() else { break };
            let taken = self.take(stand.id, &sent);
            stand.taken.taken += taken.taken;
            stand.taken.rest = stand.taken.rest.max(taken.rest);
            stand.taken.refused.iter_mut().zip(taken.refused).for_each(|(sum, one)| *sum += one);
        }
    }

    pub fn take(&mut self, from: ReporterId, sent: &Sent) -> Taken {
        let Sent { boot, sent, echo, reports } = sent;
        self.intake.take(self.now, from, &Batch { boot: *boot, sent: *sent, echo: *echo, reports })
    }

    /// Paces reach a reporter, which answers at once.
    fn answer(&mut self, stand: &mut Stand) {
        while let Some(paces) = self.intake.paces(self.now, stand.id) {
            stand.echo = Some(paces.echo);
            if !stand.heedless {
                stand.every.extend(paces.every);
            }
            let sent =
                Sent { boot: stand.boot, sent: self.now + stand.skew, echo: stand.echo, reports: vec![] };
            stand.held.push_back((self.now + stand.delay, sent));
            self.deliver(stand);
        }
    }

    pub fn tick(&mut self) {
        for believed in self.intake.tick(self.now, usize::MAX) {
            if self.shown == Some(believed.host) {
                let Believed { load, age, sure, .. } = believed;
                self.note(&format!("load {load:.2}, {age:.0} ms old, {:.0} % sure", 100.0 * sure));
            }
            self.told.insert(believed.host, (self.now, believed));
        }
    }

    /// What the decisions go by for a host: the figure, where anything is believed.
    pub fn known(&self, host: u32) -> Option<f64> {
        let told = self.told.get(&HostId(host)).map(|told| told.1);
        told.filter(|told| told.sure > 0.0).map(|told| told.load)
    }
}

pub fn refused(stand: &Stand, why: Refusal) -> u32 {
    stand.taken.refused[why as usize]
}
