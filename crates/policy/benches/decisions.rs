//! CPU time of one decision, by its cause and the size of the fleet. Only the decision is timed, not the steps that
//! bring the fleet back to its previous state.

use std::time::{Duration, Instant};

use amberarch_core::*;
use amberarch_policy::Steward;
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
    steward: Steward,
    now: f64,
    proxies: Vec<(ProxyId, ZoneId)>,
    hosts: Vec<u32>,
    /// The next new host, and a count of the hosts that failed.
    next_host: u32,
    failed_hosts: usize,
    marks: Vec<MarkId>,
}

fn listed(host: u32) -> Listed {
    let (zone, kind) = (ZoneId((host % u32::from(ZONES)) as u16), KindId((host % 2) as u16));
    Listed { host: HostId(host), weight: 1.0, zone, pod: PodId(0), kind, born: None, standing: Standing::On }
}

/// Every tenth host has no traffic reports, so only its probes are evidence of its health.
fn without_reports(host: u32) -> bool {
    host.is_multiple_of(10)
}

impl Fixture {
    /// `proxies` and `hosts` are those of the fleet; the proxies are divided among the controllers by zone.
    fn new(proxies: u16, hosts: u32, stewards: u32, levels: LevelKind) -> Fixture {
        let zone = ZoneId(0);
        let post = Post { seed: 1, zone, zones: ZONES, stewards, by_zone: true, slices: 0, may_probe: true };
        let lines_per_s = 20.0 * f64::from(proxies);
        let (backlog, messages_over, transit, transit_worst) = (lines_per_s, 1e4, 200.0, 500.0);
        let (head, messages) = (3.0, 1_000);
        let channel = Channel { lines_per_s, head, backlog, messages, messages_over, transit, transit_worst };
        let (count, usual_tries) = (u32::from(proxies), Tries::AfterProof);
        let sidecars = Sidecars { count, standing: 12, bare_for: 3e3, levels, usual_tries, try_wait: 0.8 };
        let warmup = Warmup { from: 0.2, within: 2e4, multiple: 3.0, fall_after: 2e3 };
        let roster = Roster { asked: false, ask_within: 1e4, grace: 2e3, removal_not_binding: false };
        let sums = Sums { every: 1e3, lines_per_s: 1e6 };
        let (scope, own_zone, effect) = (Scope::All, false, Effect::InquiryLike);
        let (sla, expiry, window, late_part) = (1e3, 3e3, 5e3, 0.2);
        let product = |place: usize| {
            let revenue = place as f64 + 1.0;
            Product { sla, expiry, effect, scope, window, revenue, late_part, own_zone, writes: false }
        };
        let products = (0..PRODUCTS).map(product).collect();
        let steward = Steward::new(post, products, channel, sidecars, warmup, roster, sums);
        let all = (0..proxies).map(|proxy| (ProxyId(proxy), ZoneId(proxy % ZONES)));
        let own_proxies = all.filter(|(_, zone)| u32::from(zone.0) % stewards == 0).collect();
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
        fixture.decide(&[fixture.list(ListNews::Restored)]);
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

    fn list(&self, news: ListNews) -> Event {
        Event::List { news, entries: self.hosts.iter().map(|host| listed(*host)).collect() }
    }

    /// Joins of all proxies from this index on, with their rates of txns.
    fn joined(&self, from: usize) -> Vec<Event> {
        let rate = |proxy: ProxyId| 5.0 + f64::from(proxy.0 % 7);
        let joined = |&(proxy, zone): &(ProxyId, ZoneId)| Event::Joined {
            proxy,
            zone,
            txns_per_s: rate(proxy),
            fresh: false,
        };
        self.proxies[from..].iter().map(joined).collect()
    }

    /// One report of each proxy and request class, and of each host in each zone that has proxies here.
    fn reports(&self) -> Vec<Event> {
        let proxy_report = |(proxy, _): &(ProxyId, ZoneId)| {
            let (proxy, txns) = (*proxy, 2 + u32::from(proxy.0 % 3));
            (0..PRODUCTS as u16).map(ProductId).map(move |product| Event::Came {
                proxy,
                product,
                txns,
                voided: 0,
                over: 1e3,
            })
        };
        let mut zones: Vec<ZoneId> = self.proxies.iter().map(|proxy| proxy.1).collect();
        zones.sort();
        zones.dedup();
        let report = LoadReport::default();
        let host_report = |host: &u32| {
            let host = *host;
            let (mean, tries, over) = (100.0 + f64::from(host % 17), 20 + host % 5, 1e3);
            let of = move |zone: ZoneId| (zone.0 == host as u16 % ZONES).then_some(zone);
            zones.iter().copied().filter_map(of).map(move |zone| Event::Met {
                host: HostId(host),
                zone,
                over,
                tries,
                voided: 0,
                mean,
                report,
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
            let answer =
                |mark| self.proxies.iter().map(move |row| Event::Applied { proxy: row.0, mark, took: 9.0 });
            let answers: Vec<Event> = marks.into_iter().flat_map(answer).collect();
            self.decide(&answers);
            self.tick();
        }
    }

    fn tick(&mut self) -> Duration {
        self.now += 200.0;
        self.decide(&[Event::Due { timer: TimerId(0) }])
    }

    fn probe(&mut self, host: u32, outcome: Outcome) -> Duration {
        self.decide(&[Event::Probed {
            host: HostId(host),
            outcome,
            took: 2.0,
            report: LoadReport::default(),
        }])
    }

    fn probe_due(&mut self, host: u32, outcome: Outcome) -> Duration {
        let (host, report) = (HostId(host), LoadReport::default());
        self.decide(&[Event::Probed { host, outcome, took: 2.0, report }, Event::Due { timer: TimerId(0) }])
    }

    fn gate(&mut self) -> Duration {
        let without_reports: Vec<u32> =
            self.hosts.iter().copied().filter(|host| without_reports(*host)).collect();
        let host = without_reports[self.failed_hosts % without_reports.len()];
        self.failed_hosts += 1;
        self.probe(host, Outcome::TimedOut);
        self.probe(host, Outcome::TimedOut);
        self.now += 200.0;
        let took = self.probe_due(host, Outcome::TimedOut);
        self.probe(host, Outcome::Answered);
        self.probe(host, Outcome::Answered);
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
        let took = self.decide(&[self.list(ListNews::Whole), Event::Due { timer: TimerId(0) }]);
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
        let took = self.decide(&[&joined[..], &[Event::Due { timer: TimerId(0) }]].concat());
        let left = |row: (ProxyId, ZoneId)| Event::Left { proxy: row.0 };
        let left: Vec<Event> = self.proxies.drain(first_new..).map(left).collect();
        self.decide(&left);
        self.run_ticks(2);
        took
    }

    fn report_round(&mut self) -> Duration {
        self.run_ticks(4);
        let reports = self.reports();
        self.now += 200.0;
        self.decide(&[&reports[..], &[Event::Due { timer: TimerId(0) }]].concat())
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
    let kinds = [(1, LevelKind::Off), (1, LevelKind::Rate), (5, LevelKind::Off)];
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
