//! What the steward has seen of each zone, with how much of it is missing.
//!
//! Only the newest sum of each pair (host and zone, proxy and product) counts, so one that comes twice counts once.
//! A pair that falls silent keeps its last figure and is missed: hidden load does not count as none. A round of a
//! zone is over when half of its pairs have told anew; evidence is counted in rounds, never in sums.

use std::collections::BTreeMap;

use amberarch_core::*;

use crate::ladder::Signal;

/// A pair that told nothing for so many periods is missed, and for so many more its last figure stands.
const MISSED: f64 = 2.5;
const KEPT: f64 = 15.0;
/// Where more than this part of the pairs is missed, nothing is known of the zone.
const KNOWN: f64 = 0.5;
/// Believed loads older than this say nothing.
const LOAD_FOR: f64 = 3_000.0;
/// At so few tries a period nothing is slow or voided but by chance.
const LEAST_TRIES: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Met {
    at: f64,
    over: f64,
    tries: f64,
    voided: f64,
    mean: f64,
}

impl Met {
    fn good(&self) -> f64 {
        self.tries - self.voided
    }
}

#[derive(Clone, Copy, Debug)]
struct Came {
    at: f64,
    rate: f64,
}

#[derive(Debug)]
struct HostSeen {
    zone: ZoneId,
    weight: f64,
    standing: Standing,
    shut: bool,
    load: Option<(f64, f64)>,
}

/// One zone's figures of a round; what is not known is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Counts the rounds; the same number is the same evidence.
    pub round: u64,
    pub values: BTreeMap<Signal, f64>,
    /// Txns a second that come, by product, those that are turned away included.
    pub came: BTreeMap<ProductId, f64>,
    /// Good answers a second, and all tries.
    pub good: f64,
    pub tries: f64,
    pub proxies: usize,
    /// Listed weight of its hosts that are on and not shut out.
    pub open: f64,
}

pub struct Signals {
    every: f64,
    slas: Vec<f64>,
    zones: u16,
    hosts: BTreeMap<HostId, HostSeen>,
    proxies: BTreeMap<ProxyId, ZoneId>,
    met: BTreeMap<(ZoneId, HostId), Met>,
    came: BTreeMap<(ProxyId, ProductId), Came>,
    rounds: BTreeMap<ZoneId, (u64, f64)>,
}

impl Signals {
    pub fn new(zones: u16, sums: &Sums, products: &[Product]) -> Signals {
        Signals {
            every: sums.every,
            slas: products.iter().map(|product| product.sla).collect(),
            zones,
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            met: BTreeMap::new(),
            came: BTreeMap::new(),
            rounds: BTreeMap::new(),
        }
    }

    pub fn hear(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { news: ListNews::Failed, .. } => {}
            Event::List { news, entries } => {
                if *news != ListNews::Changes {
                    self.hosts.values_mut().for_each(|host| host.standing = Standing::Gone);
                }
                for Listed { host, weight, zone, standing, .. } in entries {
                    let shut = self.hosts.get(host).is_some_and(|host| host.shut);
                    let (zone, weight, standing) = (*zone, weight.max(1e-9), *standing);
                    self.hosts.insert(*host, HostSeen { zone, weight, standing, shut, load: None });
                }
                self.hosts.retain(|_, host| host.standing != Standing::Gone);
                let known = &self.hosts;
                self.met.retain(|(_, host), _| known.contains_key(host));
            }
            Event::Joined { proxy, zone, .. } => {
                self.left(*proxy);
                self.proxies.insert(*proxy, *zone);
            }
            Event::Left { proxy } => self.left(*proxy),
            Event::Met { host, zone, over, tries, voided, mean, .. } if self.hosts.contains_key(host) => {
                let (tries, voided) = (f64::from(*tries), f64::from(*voided).min(f64::from(*tries)));
                self.met.insert((*zone, *host), Met { at: now, over: *over, tries, voided, mean: *mean });
            }
            Event::Came { proxy, product, txns, over, .. } if self.proxies.contains_key(proxy) => {
                let rate = 1_000.0 * f64::from(*txns) / over.max(1.0);
                self.came.insert((*proxy, *product), Came { at: now, rate });
            }
            Event::Load { host, load, age, sure } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.load = Some((*load, now - age)).filter(|_| *sure > 0.5);
                }
            }
            _ => {}
        }
    }

    /// Orders tell who is shut out.
    pub fn ordered(&mut self, order: &Order) {
        match order {
            Order::Withdraw { host, out } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.shut = *out;
                }
            }
            Order::Forget { host } => drop(self.hosts.remove(host)),
            _ => {}
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.came.retain(|(other, _), _| *other != proxy);
    }

    /// The figures of all zones as they stand.
    pub fn read(&mut self, now: f64) -> BTreeMap<ZoneId, Seen> {
        let kept = now - KEPT * self.every;
        self.met.retain(|_, met| met.at > kept);
        self.came.retain(|_, came| came.at > kept);
        (0..self.zones).map(ZoneId).map(|zone| (zone, self.zone(now, zone))).collect()
    }

    fn zone(&mut self, now: f64, zone: ZoneId) -> Seen {
        let fresh = |at: f64| at > now - MISSED * self.every;
        let met: Vec<Met> = self.met.iter().filter(|((z, _), _)| *z == zone).map(|(_, met)| *met).collect();
        let came = || self.came.iter().filter(|((proxy, _), _)| self.proxies.get(proxy) == Some(&zone));
        let told = met.iter().map(|met| met.at).chain(came().map(|(_, came)| came.at));
        let told: Vec<f64> = told.collect();
        let (heard, pairs) = (told.iter().filter(|at| fresh(**at)).count() as f64, told.len() as f64);
        // Proxies that joined and never told a sum are missed too.
        let silent = self.proxies.iter().filter(|(proxy, z)| {
            **z == zone
                && self.came.range((**proxy, ProductId(0))..=(**proxy, ProductId(u16::MAX))).next().is_none()
        });
        let all = pairs + silent.count() as f64;
        let unseen = if all > 0.0 { 1.0 - heard / all } else { 1.0 };
        let (round, last) = self.rounds.get(&zone).copied().unwrap_or((0, f64::NEG_INFINITY));
        let anew = told.iter().filter(|at| **at > last).count() as f64;
        let over = anew > 0.0 && anew >= 0.5 * pairs && now - last >= 0.5 * self.every;
        let round = if over { (round + 1, now) } else { (round, last) };
        self.rounds.insert(zone, round);

        let proxies = self.proxies.values().filter(|z| **z == zone).count();
        let mut seen = Seen { round: round.0, proxies, ..Seen::default() };
        for ((_, product), Came { rate, .. }) in came() {
            *seen.came.entry(*product).or_default() += rate;
        }
        let listed = || self.hosts.values().filter(|host| host.zone == zone);
        let on = |host: &&HostSeen| host.standing == Standing::On && !host.shut;
        let all_weight = listed().map(|host| host.weight).sum::<f64>();
        seen.open = listed().filter(on).map(|host| host.weight).sum();
        if all_weight > 0.0 {
            seen.values.insert(Signal::Out, 1.0 - seen.open / all_weight);
        }
        seen.values.insert(Signal::Unseen, unseen);
        let mut loads: Vec<f64> = listed()
            .filter_map(|host| host.load.filter(|load| load.1 > now - LOAD_FOR))
            .map(|load| load.0)
            .collect();
        loads.sort_by(f64::total_cmp);
        if let Some(median) = loads.get(loads.len() / 2).filter(|_| 2 * loads.len() >= listed().count()) {
            seen.values.insert(Signal::Load, *median);
        }
        let met: Vec<Met> = met.into_iter().filter(|met| fresh(met.at)).collect();
        let sum = |of: &dyn Fn(&Met) -> f64| met.iter().map(of).sum::<f64>();
        let per_s =
            |of: &dyn Fn(&Met) -> f64| met.iter().map(|m| 1_000.0 * of(m) / m.over.max(1.0)).sum::<f64>();
        (seen.good, seen.tries) = (per_s(&|met| met.good()), per_s(&|met| met.tries));
        let (tries, good) = (sum(&|met| met.tries), sum(&|met| met.good()));
        if unseen <= KNOWN && tries >= LEAST_TRIES {
            let sla = self.sla(&seen.came);
            let (voided, mean) =
                (1.0 - good / tries, sum(&|met| met.good() * met.mean) / good.max(1.0) / sla);
            // Quick good answers beside voided ones are no load's doing.
            let slow = mean + if mean > 0.5 || good < 1.0 { voided } else { 0.0 };
            let late = sum(&|met| if met.mean > sla || met.good() < 1.0 { met.tries } else { 0.0 }) / tries;
            seen.values.extend([(Signal::Pressure, slow), (Signal::Voided, voided), (Signal::Late, late)]);
        }
        seen
    }

    /// The mean SLA time of what comes.
    fn sla(&self, came: &BTreeMap<ProductId, f64>) -> f64 {
        let all: f64 = came.values().sum();
        let sum: f64 =
            came.iter().filter_map(|(id, rate)| Some(rate * self.slas.get(usize::from(id.0))?)).sum();
        match all > 0.0 {
            true => sum / all,
            false => self.slas.iter().sum::<f64>() / (self.slas.len() as f64).max(1.0),
        }
        .max(1e-9)
    }
}
