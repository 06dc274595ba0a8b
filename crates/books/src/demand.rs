//! The demand of proxies: how many txns per second of each request class arrive at them.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, ProxyId, RequestClass, ZoneId};

use crate::sliding_window::BUCKET_COUNT;
use crate::{Node, Reach, SlidingWindow, TryStats, BUCKET_MS};

/// The longest window that traffic reports are kept for.
const MAX_WINDOW: f64 = (BUCKET_COUNT - 1) as f64 * BUCKET_MS;

/// The demand at one proxy: from its traffic reports, and before the first of them from the rate stated when
/// it joined.
#[derive(Default)]
pub struct ProxyDemand {
    pub zone: ZoneId,
    /// Txns per second of all request classes, as stated when the proxy joined.
    pub stated_rate: f64,
    reports: BTreeMap<ClassId, SlidingWindow>,
}

impl ProxyDemand {
    /// `stated_rate` is the rate stated at joining, in txns per second.
    pub fn new(zone: ZoneId, stated_rate: f64) -> ProxyDemand {
        ProxyDemand { zone, stated_rate, reports: BTreeMap::new() }
    }

    pub fn add_report(&mut self, now: f64, class: ClassId, report: TryStats) {
        self.reports.entry(class).or_default().add(now, report);
    }

    /// The number of request classes that reports have arrived for.
    pub fn reported_classes(&self) -> usize {
        self.reports.len()
    }

    /// Txns per second of one of so many request classes. A late or lost report carries no information: where
    /// none arrived within the window, the longest window is used, and where all reports are older than that,
    /// the rate stated at joining. Guards against proxies that seem to have no demand while reports are rare:
    /// a table of one cold host then seemed to have room for three of them.
    pub fn rate(&self, now: f64, window: f64, class: ClassId, classes: usize) -> f64 {
        let reported_within =
            |window: f64| self.reports.values().any(|recent| recent.sum_last(now, window).covered > 0.0);
        let window = if reported_within(window) { window } else { MAX_WINDOW };
        if window == MAX_WINDOW && !reported_within(window) {
            return self.stated_rate / classes as f64;
        }
        let sum = self.reports.get(&class).map(|recent| recent.sum_last(now, window)).unwrap_or_default();
        1_000.0 * sum.tries / sum.covered.max(1_000.0)
    }
}

/// A joined proxy: its demand, and the table assigned to it in each tree that it uses.
#[derive(Default)]
pub struct Proxy {
    pub demand: ProxyDemand,
    pub nodes: BTreeMap<Reach, Node>,
    /// It joined without a table that a controller ordered.
    pub without_table: bool,
    /// When it joined, in ms on the clock of the decisions.
    pub joined_at: f64,
}

impl Proxy {
    pub fn new(joined_at: f64, zone: ZoneId, stated_rate: f64, without_table: bool) -> Proxy {
        Proxy {
            demand: ProxyDemand::new(zone, stated_rate),
            nodes: BTreeMap::new(),
            without_table,
            joined_at,
        }
    }

    /// Drops its table assignments in all trees but these.
    pub fn keep(&mut self, trees: &BTreeSet<(ZoneId, Reach)>) {
        let home = self.demand.zone;
        self.nodes.retain(|tree, _| trees.contains(&(home, *tree)));
    }
}

#[derive(Clone)]
/// The demand of a zone for one request class, by proxy and in total; the latency target stands for the work
/// of a txn.
pub struct ClassDemand {
    pub id: ClassId,
    pub class: RequestClass,
    /// Txns per second, in the order of the proxies.
    pub rates: Vec<f64>,
    pub total: f64,
    pub work: f64,
}

impl ClassDemand {
    /// The demand for each request class in each zone, over the last `window` ms.
    pub fn by_zone(
        classes: &[RequestClass],
        zones: impl Iterator<Item = ZoneId>,
        proxies: &BTreeMap<ProxyId, Proxy>,
        now: f64,
        window: f64,
    ) -> BTreeMap<ZoneId, Vec<ClassDemand>> {
        let class_demands = |zone| {
            let in_zone: Vec<&ProxyDemand> =
                proxies.values().map(|p| &p.demand).filter(|p| p.zone == zone).collect();
            let class_demand = |(place, class): (usize, &RequestClass)| {
                let id = ClassId(place as u16);
                let rates = in_zone.iter().map(|demand| demand.rate(now, window, id, classes.len()));
                let rates: Vec<f64> = rates.collect();
                let total = rates.iter().sum::<f64>();
                ClassDemand { id, class: class.clone(), rates, total, work: total * class.latency_target }
            };
            (zone, classes.iter().enumerate().map(class_demand).collect())
        };
        zones.map(class_demands).collect()
    }
}

/// The cap per proxy under which the rates add up to this fraction of their sum; none where it caps no proxy.
pub fn rate_cap(mut rates: Vec<f64>, fraction: f64) -> Option<f64> {
    rates.sort_by(f64::total_cmp);
    let mut remaining = fraction * rates.iter().sum::<f64>();
    for (place, rate) in rates.iter().enumerate() {
        let cap = remaining / (rates.len() - place) as f64;
        if *rate >= cap {
            return Some(cap);
        }
        remaining -= rate;
    }
    None
}
