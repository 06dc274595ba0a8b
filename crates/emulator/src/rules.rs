//! Checks five safety rules for the whole fleet from outside: by the tables that proxies hold, the load that hosts are
//! offered and the lines that channels carry, never by a controller's own view. Each breach names where it was seen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::{HostId, ProxyId, Warmup};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    Bare,
    Twice,
    Drains,
    PushedOver,
    Queue,
}

/// A broken rule and when it was first seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    /// The controller whose orders applied; `None` if the proxy had none, or if all controllers together caused it.
    pub steward: Option<usize>,
    pub proxy: Option<ProxyId>,
    pub host: Option<HostId>,
    pub what: String,
}

type Whose = (Option<usize>, Option<ProxyId>, Option<HostId>);

/// Work recently offered to a cold host, in core-ms.
#[derive(Default)]
struct Offered {
    tries: VecDeque<(f64, f64)>,
    work: f64,
}

#[derive(Default)]
pub struct Checker {
    /// The first breach for each combination of rule, controller, proxy and host.
    pub breaches: Vec<Breach>,
    known: BTreeSet<(Rule, Whose)>,
    bare: BTreeMap<ProxyId, f64>,
    cold: BTreeMap<HostId, Offered>,
    /// The maximum load offered to a cold host, as a multiple of its capacity.
    pub most: f64,
}

impl Checker {
    pub fn broke(&mut self, breach: Breach) {
        if self.known.insert((breach.rule, (breach.steward, breach.proxy, breach.host))) {
            self.breaches.push(breach);
        }
    }

    /// Records whether the proxy has a usable host for each request class now; a breach once it has been without for
    /// longer than `bare_for`.
    pub fn serves(&mut self, now: f64, proxy: ProxyId, steward: Option<usize>, open: bool, bare_for: f64) {
        if open {
            self.bare.remove(&proxy);
            return;
        }
        let since = *self.bare.entry(proxy).or_insert(now);
        if now > since + bare_for {
            let what = format!("without a usable host since {since:.0} ms");
            self.broke(Breach { rule: Rule::Bare, at: now, steward, proxy: Some(proxy), host: None, what });
        }
    }

    /// The proxy cannot receive orders for `long` ms: its time limit is extended by that.
    pub fn waits(&mut self, proxy: ProxyId, long: f64) {
        self.bare.entry(proxy).and_modify(|since| *since += long);
    }

    /// The host stopped: work offered before no longer counts.
    pub fn fell(&mut self, host: HostId) {
        self.cold.remove(&host);
    }

    /// Offers `work` core-ms to a cold host with a capacity of `able` core-ms per ms. Returns true if the host is
    /// overloaded enough to fail.
    pub fn offered(&mut self, now: f64, host: HostId, work: f64, able: f64, warmup: &Warmup) -> bool {
        let offered = self.cold.entry(host).or_default();
        offered.tries.push_back((now, work));
        offered.work += work;
        while offered.tries.front().is_some_and(|(at, _)| *at <= now - warmup.failure_after) {
            offered.work -= offered.tries.pop_front().map_or(0.0, |(_, work)| work);
        }
        let times = offered.work / (able * warmup.failure_after).max(1e-9);
        self.most = self.most.max(times);
        if times > warmup.failure_load {
            let what = format!("offered {times:.1} times its capacity over {} ms", warmup.failure_after);
            let (steward, proxy, host) = (None, None, Some(host));
            self.broke(Breach { rule: Rule::PushedOver, at: now, steward, proxy, host, what });
        }
        times > warmup.failure_load
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WARMUP: Warmup =
        Warmup { initial_capacity: 0.2, duration: 15_000.0, failure_load: 3.0, failure_after: 2_000.0 };

    #[test]
    fn a_proxy_without_a_line_for_too_long_is_told_once_and_one_that_had_one_between_is_not() {
        let mut checker = Checker::default();
        for at in [0.0, 2_000.0, 3_000.0, 3_200.0, 5_000.0] {
            checker.serves(at, ProxyId(1), Some(2), false, 3_000.0);
            checker.serves(at, ProxyId(3), None, at == 2_000.0, 3_000.0);
        }
        let found: Vec<_> =
            checker.breaches.iter().map(|it| (it.rule, it.at, it.proxy, it.steward)).collect();
        assert_eq!(found, [(Rule::Bare, 3_200.0, Some(ProxyId(1)), Some(2))]);
    }

    #[test]
    fn a_cold_host_under_three_times_its_work_for_two_seconds_is_pushed_over_and_a_peak_is_not() {
        let mut checker = Checker::default();
        // 2.9 ms of work in each ms, for a host that can do one; then 3.2.
        (0..4_000).for_each(|at| assert!(!checker.offered(f64::from(at), HostId(1), 2.9, 1.0, &WARMUP)));
        assert!(!checker.offered(4_000.0, HostId(2), 5_000.0, 1.0, &WARMUP));
        assert_eq!(checker.breaches, vec![]);
        let over = |at| checker.offered(f64::from(at), HostId(1), 3.2, 1.0, &WARMUP);
        assert!((4_000..8_000).map(over).filter(|over| *over).count() > 1_000);
        assert_eq!(checker.breaches.len(), 1);
        assert_eq!((checker.breaches[0].rule, checker.breaches[0].host), (Rule::PushedOver, Some(HostId(1))));
    }
}
