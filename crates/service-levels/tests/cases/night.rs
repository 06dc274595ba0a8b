//! A simulated fleet of two zones. A simple model of its hosts turns the admitted traffic into the reports
//! that the service levels receive.

use std::collections::BTreeMap;

use amberarch_core::*;
use amberarch_service_levels::*;

pub const REPORT_PERIOD: f64 = 2_000.0;
const ZONES: u16 = 2;
const HOSTS: u32 = 6;
const PROXIES: u16 = 4;

pub fn product(idempotency: Idempotency, latency_target: f64, value: f64) -> RequestClass {
    RequestClass {
        latency_target,
        deadline: 3.0 * latency_target,
        idempotency,
        scope: DedupScope::All,
        dedup_window: 5_000.0,
        value,
        late_value_fraction: 0.2,
        home_zone_only: false,
        writes: idempotency != Idempotency::Idempotent,
    }
}

/// Three request classes: detail pages, results pages and tally submits.
pub fn products() -> Vec<(String, RequestClass)> {
    vec![
        ("detail-page".into(), product(Idempotency::Idempotent, 400.0, 0.3)),
        ("results-page".into(), product(Idempotency::Idempotent, 400.0, 1.0)),
        ("tally-submit".into(), product(Idempotency::NonIdempotent, 600.0, 3.0)),
    ]
}

pub fn on(signal: Signal, value: f64, lasting: f64) -> Condition {
    Condition { signal, value, lasting }
}

pub fn level(name: &str, least: &[f64], enter: &[Condition], leave: &[Condition]) -> Level {
    let keep = (0..).map(ClassId).zip(least).map(|(id, least)| (id, Keep { least: *least, most: 1.0 }));
    Level {
        name: name.into(),
        keep: keep.collect(),
        tries: RetryPolicy::AfterProof,
        enter: enter.to_vec(),
        leave: leave.to_vec(),
        stay: 20_000.0,
        emergency: false,
        force: false,
    }
}

/// Full service and three levels below it; the last one is an emergency level.
pub fn levels() -> Vec<Level> {
    let quiet = [on(Signal::Pressure, 0.6, 6_000.0), on(Signal::Voided, 0.05, 6_000.0)];
    vec![
        level("full", &[], &[], &[]),
        level("no-extras", &[0.0], &[on(Signal::Pressure, 0.8, 0.0)], &quiet),
        level("essentials", &[0.0, 0.3], &[on(Signal::Voided, 0.3, 3_000.0)], &quiet),
        Level {
            emergency: true,
            ..level("writes-only", &[0.0, 0.0], &[on(Signal::Voided, 0.6, 3_000.0)], &quiet)
        },
    ]
}

pub struct Fleet {
    pub levels: ServiceLevels,
    pub now: f64,
    pub trace: String,
    /// Txns per second of each request class in each zone.
    pub rates: [f64; 3],
    /// Work per second that a zone's hosts can do, in ms of latency target.
    pub capacity: [f64; 2],
    /// Fraction of the refused txns that are retried in the next round.
    pub retry_fraction: f64,
    /// Proxies that send no reports, and zones that send none at all.
    pub stalled_proxies: Vec<u16>,
    pub partitioned_zones: Vec<u16>,
    /// How many times each report is delivered.
    pub report_copies: u32,
    pub sent_shares: BTreeMap<(u16, u16), f64>,
    pub awaiting: bool,
    refused_rates: [[f64; 3]; 2],
    fresh: bool,
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::with(levels(), true)
    }

    /// Starts a controller; `fresh` if the proxies hold nothing of an earlier one.
    pub fn with(levels: Vec<Level>, fresh: bool) -> Fleet {
        let mut fleet = Fleet {
            levels: Fleet::service_levels(levels),
            now: 0.0,
            trace: String::new(),
            rates: [40.0, 30.0, 10.0],
            capacity: [60_000.0; 2],
            retry_fraction: 0.0,
            stalled_proxies: vec![],
            partitioned_zones: vec![],
            report_copies: 1,
            sent_shares: BTreeMap::new(),
            awaiting: false,
            refused_rates: [[0.0; 3]; 2],
            fresh,
        };
        fleet.connect();
        fleet
    }

    fn service_levels(levels: Vec<Level>) -> ServiceLevels {
        let ladder = Ladder::new(levels, &products()).expect("a valid ladder");
        let sums = ReportSettings { interval: REPORT_PERIOD, max_lines_per_s: 1_000.0 };
        ServiceLevels::new(ladder, ZONES, products().into_iter().map(|one| one.1).collect(), &sums, true)
    }

    /// Restarts the controller; the proxies keep the bounds they have received.
    pub fn restart(&mut self) {
        self.levels = Fleet::service_levels(levels());
        (self.fresh, self.awaiting) = (false, false);
        self.note("the controller restarts");
        self.connect();
    }

    /// Replaces the controller by one that has no state of the previous one.
    pub fn reconnect(&mut self) {
        self.connect();
    }

    fn connect(&mut self) {
        let entry = |host: u32| HostEntry {
            host: HostId(host),
            weight: 1.0,
            zone: ZoneId((host % u32::from(ZONES)) as u16),
            pod: PodId(0),
            instance_type: InstanceTypeId(0),
            started_at: None,
            availability: Availability::InService,
        };
        let entries = (0..HOSTS).map(entry).collect();
        self.hear(Event::List { update: ListUpdate::Restored, entries });
        for proxy in 0..PROXIES {
            let (zone, without_table) = (ZoneId(proxy % ZONES), self.fresh);
            self.hear(Event::ProxyJoined { proxy: ProxyId(proxy), zone, txns_per_s: 40.0, without_table });
        }
    }

    pub fn note(&mut self, text: &str) {
        self.trace += &format!("{:.1} s {text}\n", self.now / 1e3);
    }

    pub fn hear(&mut self, event: Event) {
        self.levels.hear(self.now, &event);
    }

    pub fn level(&self) -> String {
        self.levels.status().level.unwrap_or_else(|| "unknown".into())
    }

    pub fn share(&self, zone: u16, product: u16) -> f64 {
        self.sent_shares.get(&(zone, product)).copied().unwrap_or(1.0)
    }

    /// Runs for `ms`, with reports at the end of each period and evaluations in between.
    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 400.0;
            if self.now % REPORT_PERIOD < 400.0 {
                self.report_all_zones();
            }
            self.evaluate();
        }
    }

    pub fn evaluate(&mut self) {
        for event in self.levels.look(self.now) {
            match event {
                Event::ServiceBound { zone, class, max_share, .. } => {
                    self.sent_shares.insert((zone.0, class.0), max_share);
                }
                Event::LevelsUnknown { on } => self.awaiting = on,
                other => panic!("unexpected event from the service levels: {other:?}"),
            }
        }
        for line in self.levels.take_log_lines() {
            let line = line.split(" zone").next().unwrap_or("").to_string();
            self.note(&line);
        }
    }

    /// Reports what the zones' proxies observe in a period: traffic above the capacity fails, and near the
    /// capacity it is slow.
    pub fn report_all_zones(&mut self) {
        for zone in 0..ZONES {
            let mut arrival_rates = [0.0; 3];
            let mut work = 0.0;
            let mut admitted = 0.0;
            let refused = &mut self.refused_rates[usize::from(zone)];
            for (id, ((arrival_rate, refused), (_, product))) in
                (0..).zip(arrival_rates.iter_mut().zip(refused).zip(products()))
            {
                *arrival_rate = self.rates[usize::from(id)] + self.retry_fraction * *refused;
                let admitted_rate = *arrival_rate * self.sent_shares.get(&(zone, id)).copied().unwrap_or(1.0);
                *refused = *arrival_rate - admitted_rate;
                (work, admitted) = (work + admitted_rate * product.latency_target, admitted + admitted_rate);
            }
            let used = work / self.capacity[usize::from(zone)];
            let mean = (0.2 / (1.0 - used).max(0.05)).min(2.5);
            self.report_zone(zone, arrival_rates, admitted, (1.0 - 1.0 / used.max(1e-9)).max(0.0), mean);
        }
    }

    /// Sends one zone's reports of a period: arrivals by class, tries per second, failed fraction, and mean
    /// latency divided by the target.
    pub fn report_zone(&mut self, zone: u16, arrival_rates: [f64; 3], tries: f64, failed: f64, mean: f64) {
        if self.partitioned_zones.contains(&zone) {
            return;
        }
        let covered = REPORT_PERIOD;
        let count = |per_s: f64| (per_s * covered / 1e3).round() as u32;
        let zone_proxies: Vec<u16> = (0..PROXIES).filter(|proxy| proxy % ZONES == zone).collect();
        let reporting_fraction =
            zone_proxies.iter().filter(|proxy| !self.stalled_proxies.contains(proxy)).count() as f64
                / zone_proxies.len() as f64;
        let hosts: Vec<u32> = (0..HOSTS).filter(|host| host % u32::from(ZONES) == u32::from(zone)).collect();
        let all: f64 = arrival_rates.iter().sum();
        let sla =
            arrival_rates.iter().zip(products()).map(|(rate, one)| rate * one.1.latency_target).sum::<f64>()
                / all.max(1e-9);
        for _ in 0..self.report_copies {
            for host in &hosts {
                let tries = count(reporting_fraction * tries / hosts.len() as f64);
                let failed = (f64::from(tries) * failed).round() as u32;
                let (host, zone, load) = (HostId(*host), ZoneId(zone), LoadReport::default());
                self.hear(Event::HostReport {
                    host,
                    zone,
                    covered,
                    tries,
                    failed,
                    mean_latency: mean * sla,
                    load,
                });
            }
            for proxy in zone_proxies
                .iter()
                .filter(|proxy| !self.stalled_proxies.contains(proxy))
                .copied()
                .collect::<Vec<_>>()
            {
                for (class, rate) in (0..).map(ClassId).zip(arrival_rates) {
                    let txns = count(rate / zone_proxies.len() as f64);
                    self.hear(Event::ProxyReport { proxy: ProxyId(proxy), class, txns, failed: 0, covered });
                }
            }
        }
    }
}
