//! Small fleets with arbitrary batches, checked by the guard and by brute force side by side: three hosts,
//! three proxies, two request classes, two tables.

use std::collections::BTreeMap;

use amberarch_core::*;

use crate::facts::Facts;
use crate::model::Guard;
use crate::plain::{Fate, Plain};
use crate::verdict::{Rule, Verdict};

#[derive(Clone, Debug)]
pub enum Step {
    Batch(Vec<Order>),
    /// Time passes, in ms.
    Wait(f64),
    /// The relay confirms all calls so far.
    Answered,
}

/// The condition of a host of a small fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Warm,
    Cold,
    Failing,
    Draining,
}

#[derive(Clone, Debug)]
pub struct Small {
    pub hosts: [(Kind, ZoneId); 3],
    /// The home zones of the proxies.
    pub proxies: [ZoneId; 3],
    /// The mask of request classes that may not leave their zone.
    pub at_home: u64,
    pub steps: Vec<Step>,
    /// A proxy that answers the marks of this many calls and of none after them, while the others answer all.
    /// If `None`, no marks are sent.
    pub late: Option<(ProxyId, usize)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub judged: u64,
    pub wrong: u64,
    pub falsely_accepted: u64,
    pub falsely_refused: u64,
    pub mended: u64,
    pub refused: u64,
    /// Amended batches that still violate a rule without a price that accounts for it.
    pub falsely_mended: u64,
    /// Batches checked while a proxy was behind.
    pub late: u64,
}

impl Told {
    pub fn add(&mut self, other: Told) {
        self.judged += other.judged;
        self.wrong += other.wrong;
        self.falsely_accepted += other.falsely_accepted;
        self.falsely_refused += other.falsely_refused;
        self.mended += other.mended;
        self.refused += other.refused;
        self.falsely_mended += other.falsely_mended;
        self.late += other.late;
    }
}

/// A warm host outside the fleet, in a zone of its own, from which the guard learns what a warm host does.
const BESIDE: (HostId, ZoneId) = (HostId(9), ZoneId(7));

fn listed(host: HostId, zone: ZoneId) -> HostEntry {
    let (pod, instance_type, started_at, availability) =
        (PodId(0), InstanceTypeId(0), None, Availability::InService);
    HostEntry { host, weight: 1.0, zone, pod, instance_type, started_at, availability }
}

impl Small {
    fn fates(&self, guard: &Guard, now: f64) -> BTreeMap<HostId, Fate> {
        let fate = |(host, (kind, zone)): (u32, &(Kind, ZoneId))| {
            let (zone, serves, ready) = (*zone, *kind != Kind::Failing, *kind == Kind::Warm);
            let (leaving, most) = (*kind == Kind::Draining, guard.survives(now, HostId(host)));
            (HostId(host), Fate { zone, serves, ready, leaving, most })
        };
        (0..).zip(&self.hosts).map(fate).collect()
    }

    fn hear(&self, guard: &mut Guard) {
        let entries = (0..).map(HostId).zip(&self.hosts).map(|(host, (_, zone))| listed(host, *zone));
        let entries: Vec<HostEntry> = entries.chain([listed(BESIDE.0, BESIDE.1)]).collect();
        guard.hear(0.0, &Event::List { update: ListUpdate::Restored, entries: entries.clone() });
        let (host, zone, load) = (BESIDE.0, BESIDE.1, LoadReport::default());
        guard.hear(
            1.0,
            &Event::HostReport {
                host,
                zone,
                covered: 2_000.0,
                tries: 20,
                failed: 0,
                mean_latency: 1.0,
                load,
            },
        );
        for (entry, (kind, _)) in entries.into_iter().zip(&self.hosts) {
            let host = entry.host;
            let changes = |entry| Event::List { update: ListUpdate::Changes, entries: vec![entry] };
            match kind {
                Kind::Warm => {}
                Kind::Cold => guard.hear(2.0, &changes(HostEntry { started_at: Some(1.0), ..entry })),
                Kind::Failing => guard.hear(
                    2.0,
                    &Event::ProbeResult { host, outcome: ProbeOutcome::TimedOut, duration: 1.0, load },
                ),
                Kind::Draining => {
                    guard.hear(2.0, &changes(HostEntry { availability: Availability::Draining, ..entry }))
                }
            }
        }
        for (proxy, zone) in (0..).map(ProxyId).zip(self.proxies) {
            guard.hear(3.0, &Event::ProxyJoined { proxy, zone, txns_per_s: 10.0, without_table: true });
            for class in [ClassId(0), ClassId(1)] {
                let txns = 2 * (2 + u32::from(proxy.0));
                guard.hear(3.0, &Event::ProxyReport { proxy, class, txns, failed: 0, covered: 2_000.0 });
            }
        }
    }

    /// Runs all steps; `facts` are settings with two request classes.
    pub fn play(&self, facts: &Facts) -> Told {
        let mut guard = Guard::new(Facts { products: 2, at_home: self.at_home, ..facts.clone() });
        self.hear(&mut guard);
        let mut plain = Plain::new(2, self.at_home, facts.channel.max_transit);
        let beside = Fate { zone: BESIDE.1, serves: true, ready: true, leaving: false, most: None };
        plain.hosts.insert(BESIDE.0, beside);
        plain.proxies = (0..).map(ProxyId).zip(self.proxies).collect();
        for proxy in plain.proxies.keys().copied() {
            for class in [ClassId(0), ClassId(1)] {
                plain.demand.insert((proxy, class), guard.expects(proxy, class));
            }
        }
        let (mut now, mut told, mut floor) = (10.0, Told::default(), 0);
        for step in &self.steps {
            match step {
                Step::Wait(time) => {
                    // Marks end uncertainty with time, which the brute-force check does not model, so all
                    // calls are confirmed before time passes.
                    if self.late.is_some() {
                        guard.answered(now, guard.place());
                        plain.answered(now);
                    }
                    now += time;
                }
                Step::Answered => {
                    guard.answered(now, guard.place());
                    plain.answered(now);
                }
                Step::Batch(orders) => {
                    now += 10.0;
                    // The guard notices that a proxy is behind only when time advances.
                    guard.answered(now, 0);
                    plain.hosts.extend(self.fates(&guard, now));
                    let late = self.late.filter(|late| guard.is_behind(late.0));
                    plain.late = late.map(|late| (late.0, floor)).into_iter().collect();
                    told.late += u64::from(late.is_some());
                    if let Some(mut sent) = judged(&mut guard, &plain, now, orders, &mut told) {
                        let mark = MarkId(plain.calls() as u16);
                        sent.extend(self.late.map(|_| Order::Mark { mark, all_proxies: true }));
                        guard.commit(now, &sent);
                        plain.commit(now, &sent);
                        if let Some((proxy, most)) = self.late {
                            let answers = plain.calls() <= most;
                            floor = if answers { plain.calls() } else { floor };
                            let who = (0..).map(ProxyId).take(self.proxies.len());
                            for proxy in who.filter(|of| *of != proxy || answers) {
                                guard.hear(now, &Event::MarkApplied { proxy, mark, duration: 1.0 });
                            }
                        }
                    }
                }
            }
        }
        told
    }
}

/// Checks a batch with both implementations and returns what is sent of it.
fn judged(
    guard: &mut Guard,
    plain: &Plain,
    now: f64,
    orders: &[Order],
    told: &mut Told,
) -> Option<Vec<Order>> {
    let truth = plain.breaks(now, orders);
    let found = guard.breaches(now, orders);
    told.judged += 1;
    told.wrong += u64::from(!truth.is_empty());
    told.falsely_accepted += u64::from(found.is_empty() && !truth.is_empty());
    told.falsely_refused += u64::from(!found.is_empty() && truth.is_empty());
    match guard.judge(now, orders) {
        Verdict::Accepted => Some(orders.to_vec()),
        Verdict::Mended { orders, price, .. } => {
            let broken = plain.breaks(now, &orders);
            let kept = broken.is_empty() || price > 0.0 && broken.iter().all(|rule| *rule == Rule::Pushed);
            told.mended += 1;
            told.falsely_mended += u64::from(!kept);
            Some(orders)
        }
        Verdict::Refused(_) => {
            told.refused += 1;
            None
        }
    }
}
