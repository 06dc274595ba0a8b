//! CPU time of one decision, by its cause and the size of the fleet. Only the decision is timed, not the steps that
//! bring the fleet back to its previous state.

use std::time::{Duration, Instant};

use amberarch_core::*;
use amberarch_policy::Controller;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, SamplingMode};

const ZONES: u16 = 5;
const PRODUCTS: usize = 3;
/// CPU time of this thread: other processes on the machine do not affect it.
fn thread_cpu_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// A sample ends after this time, however many iterations were requested: bringing the fleet back takes longer than
/// the decision.
const SAMPLE_TIME: Duration = Duration::from_millis(100);

/// The state of a fleet between two decisions, and one controller with its share of the proxies.
struct Fixture {
    steward: Controller,
    now: f64,
    proxies: Vec<(ProxyId, ZoneId)>,
    hosts: Vec<u32>,
    /// The next new host, and a count of the hosts that failed.
    next_host: u32,
    failed_hosts: usize,
    marks: Vec<MarkId>,
}

fn listed(host: u32) -> HostEntry {
    let (zone, instance_type) = (ZoneId((host % u32::from(ZONES)) as u16), InstanceTypeId((host % 2) as u16));
    HostEntry {
        host: HostId(host),
        weight: 1.0,
        zone,
        pod: PodId(0),
        instance_type,
        started_at: None,
        availability: Availability::InService,
    }
}

/// Every tenth host has no traffic reports, so only its probes are evidence of its health.
fn without_reports(host: u32) -> bool {
    host.is_multiple_of(10)
}

impl Fixture {
    /// `proxies` and `hosts` are those of the fleet; the proxies are divided among the controllers by zone.
    fn new(proxies: u16, hosts: u32, controllers: u32, level_kind: LevelKind) -> Fixture {
        let zone = ZoneId(0);
        let post = InstanceSettings {
            seed: 1,
            zone,
            zone_count: ZONES,
            controllers,
            proxies_by_zone: true,
            slice_count: 0,
            may_probe: true,
        };
        let lines_per_s = 20.0 * f64::from(proxies);
        let (max_backlog, message_window, typical_transit, max_transit) = (lines_per_s, 1e4, 200.0, 500.0);
        let (message_overhead, max_messages) = (3.0, 1_000);
        let channel = Channel {
            lines_per_s,
            message_overhead,
            max_backlog,
            max_messages,
            message_window,
            typical_transit,
            max_transit,
        };
        let (proxy_count, default_tries) = (u32::from(proxies), RetryPolicy::AfterProof);
        let sidecars = ProxySettings {
            proxy_count,
            bootstrap_hosts: 12,
            max_time_without_host: 3e3,
            level_kind,
            default_tries,
            try_factor: 0.8,
        };
        let warmup = Warmup { initial_capacity: 0.2, duration: 2e4, failure_load: 3.0, failure_after: 2e3 };
        let roster = HostListSettings {
            on_request: false,
            request_within: 1e4,
            drain_grace: 2e3,
            removal_not_binding: false,
        };
        let sums = ReportSettings { interval: 1e3, max_lines_per_s: 1e6 };
        let (scope, home_zone_only, idempotency) = (DedupScope::All, false, Idempotency::Idempotent);
        let (latency_target, deadline, dedup_window, late_value_fraction) = (1e3, 3e3, 5e3, 0.2);
        let product = |place: usize| {
            let value = place as f64 + 1.0;
            RequestClass {
                latency_target,
                deadline,
                idempotency,
                scope,
                dedup_window,
                value,
                late_value_fraction,
                home_zone_only,
                writes: false,
            }
        };
        let products = (0..PRODUCTS).map(product).collect();
        let steward = Controller::new(post, products, channel, sidecars, warmup, roster, sums);
        let all = (0..proxies).map(|proxy| (ProxyId(proxy), ZoneId(proxy % ZONES)));
        let own_proxies = all.filter(|(_, zone)| u32::from(zone.0) % controllers == 0).collect();
        let (hosts, next_host) = ((0..hosts).collect(), hosts);
        let mut fixture = Fixture {
            steward,
            now: 1e3,
            proxies: own_proxies,
            hosts,
            next_host,
            failed_hosts: 0,
            marks: Vec::new(),
        };
        fixture.decide(&[fixture.list(ListUpdate::Restored)]);
        let joined = fixture.joined(0);
        fixture.decide(&joined);
        for _ in 0..4 {
            fixture.run_ticks(5);
            let reports = fixture.reports();
            fixture.decide(&reports);
        }
        fixture.run_ticks(10);
        fixture
    }

    fn list(&self, update: ListUpdate) -> Event {
        Event::List { update, entries: self.hosts.iter().map(|host| listed(*host)).collect() }
    }

    /// Joins of all proxies from this index on, with their rates of txns.
    fn joined(&self, from: usize) -> Vec<Event> {
        let rate = |proxy: ProxyId| 5.0 + f64::from(proxy.0 % 7);
        let joined = |&(proxy, zone): &(ProxyId, ZoneId)| Event::ProxyJoined {
            proxy,
            zone,
            txns_per_s: rate(proxy),
            without_table: false,
        };
        self.proxies[from..].iter().map(joined).collect()
    }

    /// One report of each proxy and request class, and of each host in each zone that has proxies here.
    fn reports(&self) -> Vec<Event> {
        let proxy_report = |(proxy, _): &(ProxyId, ZoneId)| {
            let (proxy, txns) = (*proxy, 2 + u32::from(proxy.0 % 3));
            (0..PRODUCTS as u16).map(ClassId).map(move |class| Event::ProxyReport {
                proxy,
                class,
                txns,
                failed: 0,
                covered: 1e3,
            })
        };
        let mut zones: Vec<ZoneId> = self.proxies.iter().map(|proxy| proxy.1).collect();
        zones.sort();
        zones.dedup();
        let load = LoadReport::default();
        let host_report = |host: &u32| {
            let host = *host;
            let (mean_latency, tries, covered) = (100.0 + f64::from(host % 17), 20 + host % 5, 1e3);
            let of = move |zone: ZoneId| (zone.0 == host as u16 % ZONES).then_some(zone);
            zones.iter().copied().filter_map(of).map(move |zone| Event::HostReport {
                host: HostId(host),
                zone,
                covered,
                tries,
                failed: 0,
                mean_latency,
                load,
            })
        };
        let host_reports = self.hosts.iter().filter(|host| !without_reports(**host)).flat_map(host_report);
        self.proxies.iter().flat_map(proxy_report).chain(host_reports).collect()
    }

    /// Passes the events to the controller; returns how long its decision takes.
    fn decide(&mut self, events: &[Event]) -> Duration {
        let start = thread_cpu_time();
        let orders = self.steward.decide(self.now, events);
        let took = thread_cpu_time() - start;
        let mark = |order: &Order| if let Order::Mark { mark, .. } = order { Some(*mark) } else { None };
        self.marks.extend(orders.iter().filter_map(mark));
        took
    }

    /// Lets so many ticks pass, in which all proxies answer all marks.
    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            let marks = std::mem::take(&mut self.marks);
            let answer = |mark| {
                self.proxies.iter().map(move |row| Event::MarkApplied { proxy: row.0, mark, duration: 9.0 })
            };
            let answers: Vec<Event> = marks.into_iter().flat_map(answer).collect();
            self.decide(&answers);
            self.tick();
        }
    }

    fn tick(&mut self) -> Duration {
        self.now += 200.0;
        self.decide(&[Event::TimerExpired { timer: TimerId(0) }])
    }

    fn probe(&mut self, host: u32, outcome: ProbeOutcome) -> Duration {
        self.decide(&[Event::ProbeResult {
            host: HostId(host),
            outcome,
            duration: 2.0,
            load: LoadReport::default(),
        }])
    }

    fn probe_due(&mut self, host: u32, outcome: ProbeOutcome) -> Duration {
        let (host, load) = (HostId(host), LoadReport::default());
        self.decide(&[
            Event::ProbeResult { host, outcome, duration: 2.0, load },
            Event::TimerExpired { timer: TimerId(0) },
        ])
    }

    fn gate(&mut self) -> Duration {
        let without_reports: Vec<u32> =
            self.hosts.iter().copied().filter(|host| without_reports(*host)).collect();
        let host = without_reports[self.failed_hosts % without_reports.len()];
        self.failed_hosts += 1;
        self.probe(host, ProbeOutcome::TimedOut);
        self.probe(host, ProbeOutcome::TimedOut);
        self.now += 200.0;
        let took = self.probe_due(host, ProbeOutcome::TimedOut);
        self.probe(host, ProbeOutcome::Answered);
        self.probe(host, ProbeOutcome::Answered);
        self.run_ticks(3);
        took
    }

    /// Replaces six in ten hosts.
    fn replace(&mut self) -> Duration {
        let replaced = self.hosts.len() * 6 / 10;
        self.hosts.drain(..replaced);
        let first = self.next_host;
        self.next_host += replaced as u32;
        self.hosts.extend(first..self.next_host);
        self.now += 200.0;
        let took = self.decide(&[self.list(ListUpdate::Whole), Event::TimerExpired { timer: TimerId(0) }]);
        self.run_ticks(8);
        took
    }

    /// All proxies of another controller join at once.
    fn takeover(&mut self, count: u16) -> Duration {
        let first_new = self.proxies.len();
        let new = (20_000..20_000 + count).map(|proxy| (ProxyId(proxy), ZoneId(1 + proxy % (ZONES - 1))));
        self.proxies.extend(new);
        let joined = self.joined(first_new);
        self.now += 200.0;
        let took = self.decide(&[&joined[..], &[Event::TimerExpired { timer: TimerId(0) }]].concat());
        let left = |row: (ProxyId, ZoneId)| Event::ProxyLeft { proxy: row.0 };
        let left: Vec<Event> = self.proxies.drain(first_new..).map(left).collect();
        self.decide(&left);
        self.run_ticks(2);
        took
    }

    fn report_round(&mut self) -> Duration {
        self.run_ticks(4);
        let reports = self.reports();
        self.now += 200.0;
        self.decide(&[&reports[..], &[Event::TimerExpired { timer: TimerId(0) }]].concat())
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.warm_up_time(Duration::from_millis(50)).measurement_time(Duration::from_millis(200));
    group.sample_size(10).sampling_mode(SamplingMode::Flat);
    type Scenario = fn(&mut Fixture, u16) -> Duration;
    let scenarios: [(&str, Scenario); 5] = [
        ("quiet-tick", |fixture, _| fixture.tick()),
        ("gate", |fixture, _| fixture.gate()),
        ("sums", |fixture, _| fixture.report_round()),
        ("takeover", |fixture, size| fixture.takeover(800.min(size * 8 / 10))),
        ("replaced", |fixture, _| fixture.replace()),
    ];
    let kinds = [(1, LevelKind::Off), (1, LevelKind::PerSecond), (5, LevelKind::Off)];
    for (proxies, hosts) in [(100, 30), (1_000, 300), (10_000, 3_000)] {
        for (stewards, levels) in kinds {
            let mut fixture = None;
            for (name, scenario) in scenarios {
                let size = format!("{proxies}-of-{stewards}-{levels:?}");
                group.bench_function(BenchmarkId::new(name, &size), |b| {
                    let fixture =
                        fixture.get_or_insert_with(|| Fixture::new(proxies, hosts, stewards, levels));
                    b.iter_custom(|requested| {
                        let (start, mut took, mut iterations) = (Instant::now(), Duration::ZERO, 0);
                        while iterations < requested && (iterations == 0 || start.elapsed() < SAMPLE_TIME) {
                            took += scenario(fixture, proxies);
                            iterations += 1;
                        }
                        took.mul_f64(requested as f64 / iterations as f64)
                    });
                });
            }
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
