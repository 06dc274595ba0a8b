//! Figures of each zone, computed from the reports, with the fraction of reports that is missing.
//!
//! Only the newest report of each pair (host and zone, proxy and request class) counts, so a duplicate
//! counts once. A pair that stops reporting keeps its last figure and counts as missing, so that unreported
//! load does not count as no load. A round of a zone is complete when half of its pairs have reported
//! again; evidence is counted in rounds, never in reports.

use std::collections::BTreeMap;

use amberarch_core::*;

use crate::ladder::Signal;

/// A pair counts as missing after `MISSED_PERIODS` report periods without a report; its last figure is used
/// until `RETAINED_PERIODS` have passed.
const MISSED_PERIODS: f64 = 2.5;
const RETAINED_PERIODS: f64 = 15.0;
/// Where a greater fraction of the pairs is missing, the traffic signals of the zone are unknown.
const MAX_MISSING_FRACTION: f64 = 0.5;
/// Milliseconds after which a load estimate is no longer used.
const LOAD_MAX_AGE: f64 = 3_000.0;
/// With fewer tries in a period, slow or failed answers are due to chance.
const MIN_TRIES: f64 = 5.0;

/// Newest traffic report about a host from the proxies of one zone.
#[derive(Clone, Copy, Debug)]
struct HostReport {
    at: f64,
    span: f64,
    tries: f64,
    failed: f64,
    mean: f64,
}

impl HostReport {
    fn succeeded(&self) -> f64 {
        self.tries - self.failed
    }
}

/// Newest traffic report of a proxy about a request class.
#[derive(Clone, Copy, Debug)]
struct ProxyReport {
    at: f64,
    rate: f64,
}

#[derive(Debug)]
struct HostState {
    zone: ZoneId,
    weight: f64,
    standing: Availability,
    withdrawn: bool,
    /// Estimated load and the time of the estimate, in ms.
    load: Option<(f64, f64)>,
}

/// The figures of one zone in a report round; unknown signals are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneStats {
    /// Number of the report round; an unchanged number means that there is no new evidence.
    pub round: u64,
    pub values: BTreeMap<Signal, f64>,
    /// Arriving txns per second by request class, including those that are refused.
    pub arrival_rates: BTreeMap<ClassId, f64>,
    /// Successful answers per second, and all tries per second.
    pub successes_per_s: f64,
    pub tries_per_s: f64,
    pub proxies: usize,
    /// Listed weight of the zone's hosts that are in service and not withdrawn.
    pub available_weight: f64,
}

/// Keeps the newest reports and computes the signals of each zone from them.
pub struct Signals {
    period: f64,
    latency_targets: Vec<f64>,
    zones: u16,
    hosts: BTreeMap<HostId, HostState>,
    proxies: BTreeMap<ProxyId, ZoneId>,
    host_reports: BTreeMap<(ZoneId, HostId), HostReport>,
    proxy_reports: BTreeMap<(ProxyId, ClassId), ProxyReport>,
    /// Number and end, in ms, of each zone's last complete report round.
    rounds: BTreeMap<ZoneId, (u64, f64)>,
}

impl Signals {
    pub fn new(zones: u16, sums: &ReportSettings, classes: &[RequestClass]) -> Signals {
        Signals {
            period: sums.interval,
            latency_targets: classes.iter().map(|class| class.latency_target).collect(),
            zones,
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            host_reports: BTreeMap::new(),
            proxy_reports: BTreeMap::new(),
            rounds: BTreeMap::new(),
        }
    }

    pub fn handle_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { update: ListUpdate::Failed, .. } => {}
            Event::List { update, entries } => {
                if *update != ListUpdate::Changes {
                    self.hosts.values_mut().for_each(|host| host.standing = Availability::Removed);
                }
                for HostEntry { host, weight, zone, availability, .. } in entries {
                    let withdrawn = self.hosts.get(host).is_some_and(|host| host.withdrawn);
                    let (zone, weight, standing) = (*zone, weight.max(1e-9), *availability);
                    self.hosts.insert(*host, HostState { zone, weight, standing, withdrawn, load: None });
                }
                self.hosts.retain(|_, host| host.standing != Availability::Removed);
                let known = &self.hosts;
                self.host_reports.retain(|(_, host), _| known.contains_key(host));
            }
            Event::ProxyJoined { proxy, zone, .. } => {
                self.remove_proxy(*proxy);
                self.proxies.insert(*proxy, *zone);
            }
            Event::ProxyLeft { proxy } => self.remove_proxy(*proxy),
            Event::HostReport { host, zone, covered, tries, failed, mean_latency, .. }
                if self.hosts.contains_key(host) =>
            {
                let (tries, failed) = (f64::from(*tries), f64::from(*failed).min(f64::from(*tries)));
                self.host_reports.insert(
                    (*zone, *host),
                    HostReport { at: now, span: *covered, tries, failed, mean: *mean_latency },
                );
            }
            Event::ProxyReport { proxy, class, txns, covered, .. } if self.proxies.contains_key(proxy) => {
                let rate = 1_000.0 * f64::from(*txns) / covered.max(1.0);
                self.proxy_reports.insert((*proxy, *class), ProxyReport { at: now, rate });
            }
            Event::LoadEstimate { host, load, age, confidence } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.load = Some((*load, now - age)).filter(|_| *confidence > 0.5);
                }
            }
            _ => {}
        }
    }

    /// Records which hosts an order withdraws.
    pub fn record_order(&mut self, order: &Order) {
        match order {
            Order::Withdraw { host, withdrawn } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.withdrawn = *withdrawn;
                }
            }
            Order::ForgetHost { host } => drop(self.hosts.remove(host)),
            _ => {}
        }
    }

    fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.proxy_reports.retain(|(other, _), _| *other != proxy);
    }

    /// Computes the current figures of all zones.
    pub fn evaluate(&mut self, now: f64) -> BTreeMap<ZoneId, ZoneStats> {
        let oldest = now - RETAINED_PERIODS * self.period;
        self.host_reports.retain(|_, report| report.at > oldest);
        self.proxy_reports.retain(|_, report| report.at > oldest);
        (0..self.zones).map(ZoneId).map(|zone| (zone, self.zone_stats(now, zone))).collect()
    }

    fn zone_stats(&mut self, now: f64, zone: ZoneId) -> ZoneStats {
        let fresh = |at: f64| at > now - MISSED_PERIODS * self.period;
        let reports: Vec<HostReport> =
            self.host_reports.iter().filter(|((z, _), _)| *z == zone).map(|(_, report)| *report).collect();
        let class_reports =
            || self.proxy_reports.iter().filter(|((proxy, _), _)| self.proxies.get(proxy) == Some(&zone));
        let report_times =
            reports.iter().map(|report| report.at).chain(class_reports().map(|(_, report)| report.at));
        let report_times: Vec<f64> = report_times.collect();
        let (fresh_reports, pairs) =
            (report_times.iter().filter(|at| fresh(**at)).count() as f64, report_times.len() as f64);
        // Proxies that joined and never sent a report count as missing too.
        let silent = self.proxies.iter().filter(|(proxy, z)| {
            **z == zone
                && self
                    .proxy_reports
                    .range((**proxy, ClassId(0))..=(**proxy, ClassId(u16::MAX)))
                    .next()
                    .is_none()
        });
        let expected_pairs = pairs + silent.count() as f64;
        let missing_fraction = if expected_pairs > 0.0 { 1.0 - fresh_reports / expected_pairs } else { 1.0 };
        let (round, last) = self.rounds.get(&zone).copied().unwrap_or((0, f64::NEG_INFINITY));
        let new_reports = report_times.iter().filter(|at| **at > last).count() as f64;
        let round_complete =
            new_reports > 0.0 && new_reports >= 0.5 * pairs && now - last >= 0.5 * self.period;
        let round = if round_complete { (round + 1, now) } else { (round, last) };
        self.rounds.insert(zone, round);

        let proxies = self.proxies.values().filter(|z| **z == zone).count();
        let mut stats = ZoneStats { round: round.0, proxies, ..ZoneStats::default() };
        for ((_, product), ProxyReport { rate, .. }) in class_reports() {
            *stats.arrival_rates.entry(*product).or_default() += rate;
        }
        let listed = || self.hosts.values().filter(|host| host.zone == zone);
        let available = |host: &&HostState| host.standing == Availability::InService && !host.withdrawn;
        let all_weight = listed().map(|host| host.weight).sum::<f64>();
        stats.available_weight = listed().filter(available).map(|host| host.weight).sum();
        if all_weight > 0.0 {
            stats.values.insert(Signal::Out, 1.0 - stats.available_weight / all_weight);
        }
        stats.values.insert(Signal::Unseen, missing_fraction);
        let mut loads: Vec<f64> = listed()
            .filter_map(|host| host.load.filter(|load| load.1 > now - LOAD_MAX_AGE))
            .map(|load| load.0)
            .collect();
        loads.sort_by(f64::total_cmp);
        if let Some(median) = loads.get(loads.len() / 2).filter(|_| 2 * loads.len() >= listed().count()) {
            stats.values.insert(Signal::Load, *median);
        }
        let reports: Vec<HostReport> = reports.into_iter().filter(|report| fresh(report.at)).collect();
        let sum = |of: &dyn Fn(&HostReport) -> f64| reports.iter().map(of).sum::<f64>();
        let per_s = |of: &dyn Fn(&HostReport) -> f64| {
            reports.iter().map(|m| 1_000.0 * of(m) / m.span.max(1.0)).sum::<f64>()
        };
        (stats.successes_per_s, stats.tries_per_s) =
            (per_s(&|report| report.succeeded()), per_s(&|report| report.tries));
        let (tries, succeeded) = (sum(&|report| report.tries), sum(&|report| report.succeeded()));
        if missing_fraction <= MAX_MISSING_FRACTION && tries >= MIN_TRIES {
            let latency_target = self.mean_latency_target(&stats.arrival_rates);
            let (failed_fraction, mean) = (
                1.0 - succeeded / tries,
                sum(&|report| report.succeeded() * report.mean) / succeeded.max(1.0) / latency_target,
            );
            // Failures beside fast successful answers are not caused by load.
            let pressure = mean + if mean > 0.5 || succeeded < 1.0 { failed_fraction } else { 0.0 };
            let late_fraction = sum(&|report| {
                if report.mean > latency_target || report.succeeded() < 1.0 {
                    report.tries
                } else {
                    0.0
                }
            }) / tries;
            stats.values.extend([
                (Signal::Pressure, pressure),
                (Signal::Voided, failed_fraction),
                (Signal::Late, late_fraction),
            ]);
        }
        stats
    }

    /// The mean latency target of the arrivals, in ms.
    fn mean_latency_target(&self, arrival_rates: &BTreeMap<ClassId, f64>) -> f64 {
        let all: f64 = arrival_rates.values().sum();
        let sum: f64 = arrival_rates
            .iter()
            .filter_map(|(id, rate)| Some(rate * self.latency_targets.get(usize::from(id.0))?))
            .sum();
        match all > 0.0 {
            true => sum / all,
            false => self.latency_targets.iter().sum::<f64>() / (self.latency_targets.len() as f64).max(1.0),
        }
        .max(1e-9)
    }
}
