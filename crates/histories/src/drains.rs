//! Proxies that may still send to a host after the grace that follows the notice of its drain.

use std::collections::{BTreeMap, BTreeSet};

use crate::suspended::Suspended;
use crate::{HostState, Line, Rule, Verdict, What};

/// How long proxies may go on sending to a host that drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainBounds {
    /// The drain grace of the settings, ms.
    pub grace: f64,
    /// What the protocol page adds on sockets, ms.
    pub slack: f64,
}

/// Assumes that stand-ins write `ListTold` when a controller counts as told, `MaySend` whenever a proxy's own tables and
/// withdrawals change, and `LimitsWait` when a fault of a controller's relay suspends time limits. A limit runs from the
/// notice, or from the proxy's joining if that is later; suspended time does not count. Each pair of a proxy and a host is
/// looked at when the proxy stops sending there, when it leaves, when the host is ready again, and at the end.
pub struct Drains {
    bounds: DrainBounds,
    controllers: BTreeMap<String, Controller>,
    proxies: BTreeMap<String, Proxy>,
    verdict: Verdict,
    last: u64,
}

#[derive(Default)]
struct Controller {
    /// Hosts that are draining or gone, with the line that told so.
    leaving: BTreeMap<String, Line>,
    suspended: Suspended,
}

#[derive(Default)]
struct Proxy {
    /// The controller that it follows, and the line of its joining.
    follows: Option<(String, Line)>,
    /// Where its tables let it send.
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
            What::ListTold { host, state } => self.told(line, host, *state),
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
            // A process that starts again is told anew. Its proxies left before.
            What::Died => {
                self.controllers.entry(line.who.clone()).or_default().leaving.clear();
            }
            _ => {}
        }
    }

    fn told(&mut self, line: &Line, host: &str, state: HostState) {
        let controller = self.controllers.entry(line.who.clone()).or_default();
        if state != HostState::Ready {
            controller.leaving.entry(host.into()).or_insert_with(|| line.clone());
            return;
        }
        let sends = |proxy: &Proxy| proxy.sends_to.contains(host);
        let sending: Vec<String> =
            self.proxies.iter().filter(|(_, proxy)| sends(proxy)).map(|(name, _)| name.clone()).collect();
        for proxy in sending {
            self.look(line.at, &proxy, host);
        }
        if let Some(controller) = self.controllers.get_mut(&line.who) {
            controller.leaving.remove(host);
        }
    }

    fn may_send(&mut self, line: &Line, hosts: &[String]) {
        let sends_to: BTreeSet<String> = hosts.iter().cloned().collect();
        let before = self.proxies.entry(line.who.clone()).or_default().sends_to.clone();
        for host in before.difference(&sends_to) {
            self.look(line.at, &line.who, host);
        }
        self.proxies.entry(line.who.clone()).or_default().sends_to = sends_to;
    }

    fn leaves(&mut self, at: u64, proxy: &str) {
        let sends_to = self.proxies.get(proxy).map(|proxy| proxy.sends_to.clone()).unwrap_or_default();
        for host in sends_to {
            self.look(at, proxy, &host);
        }
    }

    /// The proxy could send to the host until now.
    fn look(&mut self, now: u64, proxy: &str, host: &str) {
        let Some((controller, joined)) = self.proxies.get(proxy).and_then(|proxy| proxy.follows.clone())
        else {
            return;
        };
        let Some(controller) = self.controllers.get(&controller) else { return };
        let Some(told) = controller.leaving.get(host) else { return };
        self.verdict.looked += 1;
        let sent_for = controller.suspended.counted(told.at.max(joined.at), now) as f64 / 1e6;
        let allowed = self.bounds.grace + self.bounds.slack;
        if sent_for > allowed {
            let says = format!(
                "{proxy} may send to {host} for {sent_for:.0} ms that count after the notice of its drain, \
                 {:.0} ms more than allowed",
                sent_for - allowed
            );
            let witness = vec![told.clone(), joined];
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
