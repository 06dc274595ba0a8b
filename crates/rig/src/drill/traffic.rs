//! Synthetic traffic reports, computed as means without sending any request. They suffice for the controller to estimate
//! host speeds, move proxies between tables and gate failing hosts.

use std::rc::Rc;

use amberarch_core::{ClassId, ProxyId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::proxies::Proxies;
use super::requests::Requests;
use super::settings::{Settings, CLASSES};
use crate::hosts::Host;

/// Service time of a request at an idle host of speed 1, ms.
const SERVICE_MS: f64 = 180.0;
/// Total load on the hosts relative to the load of this controller's proxies.
const TOTAL_LOAD_FACTOR: f64 = 3.0;
/// Upper bound of the utilisation from which response times are computed.
const MAX_UTILISATION: f64 = 0.95;

/// Separates the random stream of the rates from all others.
const RATES: u64 = 0x7aff1c;

/// Report of the tries of a zone's proxies at one host over one period.
pub struct HostReport {
    pub zone: String,
    pub host: String,
    pub tries: u32,
    pub failed: u32,
    pub mean_ms: f64,
}

/// Report of the requests of one class at one proxy over one period.
pub struct ProxyReport {
    pub proxy: u16,
    pub class: &'static str,
    pub tries: u32,
}

/// Where the traffic reports come from.
pub enum ReportSource {
    Means(Box<Traffic>),
    Requests(Rc<Requests>),
}

impl ReportSource {
    /// The reports for a period of `seconds` that ends now.
    pub fn reports(&mut self, seconds: f64) -> (Vec<HostReport>, Vec<ProxyReport>) {
        match self {
            ReportSource::Means(traffic) => traffic.reports(seconds),
            ReportSource::Requests(requests) => requests.reports(),
        }
    }
}

pub struct Traffic {
    settings: Settings,
    hosts: Vec<Rc<Host>>,
    proxies: Rc<Proxies>,
    /// Requests a second, by proxy.
    rates: Vec<f64>,
    /// By host.
    speeds: Vec<f64>,
    failing: Vec<bool>,
    chance: ChaCha8Rng,
}

impl Traffic {
    pub fn new(settings: &Settings, hosts: &[Rc<Host>], proxies: Rc<Proxies>) -> Traffic {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed);
        let rates = Traffic::rates(settings);
        let speeds = hosts.iter().map(|_| chance.random_range(0.8..1.7)).collect();
        let failing = (0..hosts.len()).map(|host| settings.failing.contains(&host)).collect();
        Traffic { settings: settings.clone(), hosts: hosts.to_vec(), proxies, rates, speeds, failing, chance }
    }

    fn rates(settings: &Settings) -> Vec<f64> {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed ^ RATES);
        let rate = |_| settings.requests_per_s * chance.random_range(0.3f64..1.8);
        (0..settings.proxies).map(rate).collect()
    }

    /// Requests a second that a proxy receives.
    pub fn rate(settings: &Settings, proxy: u16) -> f64 {
        Traffic::rates(settings)[usize::from(proxy)]
    }

    fn varied(&mut self, mean: f64) -> f64 {
        mean * self.chance.random_range(0.7..1.3)
    }

    /// The reports for a period of `seconds`.
    pub fn reports(&mut self, seconds: f64) -> (Vec<HostReport>, Vec<ProxyReport>) {
        let zones = self.settings.zones.len();
        let mut tries = vec![vec![0.0; self.hosts.len()]; zones];
        let mut proxy_reports = Vec::new();
        for proxy in 0..self.settings.proxies {
            let zone = self.settings.zone_of(proxy);
            for (place, (class, _, fraction)) in CLASSES.iter().enumerate() {
                let asked = self.varied(self.rates[usize::from(proxy)] * fraction * seconds);
                proxy_reports.push(ProxyReport { proxy, class, tries: asked.round() as u32 });
                for (host, share) in self.proxies.traffic_split(ProxyId(proxy), ClassId(place as u16)) {
                    tries[zone][host.0 as usize] += asked * share;
                }
            }
        }
        let mut host_reports = Vec::new();
        for host in 0..self.hosts.len() {
            let all: f64 = tries.iter().map(|by_host| by_host[host]).sum();
            let capacity = 4.0 * self.speeds[host] * 1_000.0 / SERVICE_MS * seconds;
            let used = (TOTAL_LOAD_FACTOR * all / capacity).min(MAX_UTILISATION);
            let mean = SERVICE_MS / self.speeds[host] / (1.0 - used);
            for (zone, by_host) in tries.iter().enumerate().filter(|(_, by_host)| by_host[host] >= 0.5) {
                let tries = by_host[host].round() as u32;
                let failed = if self.failing[host] { (0.6 * by_host[host]).round() as u32 } else { 0 };
                let mean_ms = mean * self.chance.random_range(0.85..1.15);
                let (zone, host) = (self.settings.zones[zone].clone(), self.hosts[host].name.clone());
                host_reports.push(HostReport { zone, host, tries, failed, mean_ms });
            }
        }
        (host_reports, proxy_reports)
    }
}
