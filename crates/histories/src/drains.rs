//! Checks that proxies stop sending to a draining host within the grace after the drain notice.

use std::collections::{BTreeMap, BTreeSet};

use crate::suspended::Suspended;
use crate::{HostState, Line, Rule, Verdict, What};

/// How long proxies may continue to send to a draining host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainBounds {
    /// The drain grace of the settings, ms.
    pub grace: f64,
    /// The additional time that the protocol page allows over sockets, ms.
    pub slack: f64,
}

/// Assumes that test doubles write `ListTold` when a controller counts as notified, `MaySend` whenever a
/// proxy's own tables and withdrawals change, and `LimitsWait` when a fault of a controller's relay suspends
/// time limits. A limit starts at the notice, or when the proxy joins if that is later; suspended time does
/// not count. Each pair of a proxy and a host is checked when the proxy stops sending to the host, when the
/// proxy leaves, when the host is ready again, and at the end.
pub struct Drains {
    bounds: DrainBounds,
    controllers: BTreeMap<String, Controller>,
    proxies: BTreeMap<String, Proxy>,
    verdict: Verdict,
    last: u64,
}

#[derive(Default)]
struct Controller {
    /// Hosts that are draining or gone, with the line that reported it.
    leaving: BTreeMap<String, Line>,
    suspended: Suspended,
}

#[derive(Default)]
struct Proxy {
    /// The controller that the proxy takes orders from, and the line in which it joined.
    follows: Option<(String, Line)>,
    /// The hosts that its tables allow it to send to.
    sends_to: BTreeSet<String>,
}

impl Drains {
    pub fn new(bounds: DrainBounds) -> Drains {
        Drains {
            bounds,
            controllers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            verdict: Verdict::default(),
            last: 0,
        }
    }

    /// Lines have to come in the order of `at`.
    pub fn feed(&mut self, line: &Line) {
        self.last = line.at;
        match &line.what {
            What::ListTold { host, state } => self.notified(line, host, *state),
            What::LimitsWait { until } => {
                self.controllers.entry(line.who.clone()).or_default().suspended.add(line.at, *until);
            }
            What::Joined { controller } => {
                self.leaves(line.at, &line.who);
                let proxy = self.proxies.entry(line.who.clone()).or_default();
                proxy.follows = Some((controller.clone(), line.clone()));
            }
            What::Left => {
                self.leaves(line.at, &line.who);
                self.proxies.entry(line.who.clone()).or_default().follows = None;
            }
            What::MaySend { hosts } => self.may_send(line, hosts),
            // A restarted process is notified again. Its proxies have left before.
            What::Died => {
                self.controllers.entry(line.who.clone()).or_default().leaving.clear();
            }
            _ => {}
        }
    }

    fn notified(&mut self, line: &Line, host: &str, state: HostState) {
        let controller = self.controllers.entry(line.who.clone()).or_default();
        if state != HostState::Ready {
            controller.leaving.entry(host.into()).or_insert_with(|| line.clone());
            return;
        }
        let sends = |proxy: &Proxy| proxy.sends_to.contains(host);
        let sending: Vec<String> =
            self.proxies.iter().filter(|(_, proxy)| sends(proxy)).map(|(name, _)| name.clone()).collect();
        for proxy in sending {
            self.check(line.at, &proxy, host);
        }
        if let Some(controller) = self.controllers.get_mut(&line.who) {
            controller.leaving.remove(host);
        }
    }

    fn may_send(&mut self, line: &Line, hosts: &[String]) {
        let sends_to: BTreeSet<String> = hosts.iter().cloned().collect();
        let before = self.proxies.entry(line.who.clone()).or_default().sends_to.clone();
        for host in before.difference(&sends_to) {
            self.check(line.at, &line.who, host);
        }
        self.proxies.entry(line.who.clone()).or_default().sends_to = sends_to;
    }

    fn leaves(&mut self, at: u64, proxy: &str) {
        let sends_to = self.proxies.get(proxy).map(|proxy| proxy.sends_to.clone()).unwrap_or_default();
        for host in sends_to {
            self.check(at, proxy, &host);
        }
    }

    /// Checks the period up to now in which the proxy could send to the draining host.
    fn check(&mut self, now: u64, proxy: &str, host: &str) {
        let Some((controller, joined)) = self.proxies.get(proxy).and_then(|proxy| proxy.follows.clone())
        else {
            return;
        };
        let Some(controller) = self.controllers.get(&controller) else { return };
        let Some(notified) = controller.leaving.get(host) else { return };
        self.verdict.looked += 1;
        let sent_for = controller.suspended.counted(notified.at.max(joined.at), now) as f64 / 1e6;
        let allowed = self.bounds.grace + self.bounds.slack;
        if sent_for > allowed {
            let says = format!(
                "{proxy} may send to {host} for {sent_for:.0} ms that count after the notice of its drain, \
                 {:.0} ms more than allowed",
                sent_for - allowed
            );
            let witness = vec![notified.clone(), joined];
            self.verdict.found(Rule::Drains, now, says, witness);
        }
    }

    pub fn finish(mut self) -> Verdict {
        let (last, proxies) = (self.last, self.proxies.keys().cloned().collect::<Vec<_>>());
        for proxy in proxies {
            self.leaves(last, &proxy);
        }
        self.verdict
    }
}
