//! Checks that proxies are not without a usable host for too long while their controller lists a host as
//! ready.

use std::collections::{BTreeMap, BTreeSet};

use crate::suspended::Suspended;
use crate::{HostState, Line, Rule, Verdict, What};

/// How long a proxy may be without a usable host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoHostBounds {
    /// The setting `emptyFor`, ms.
    pub empty_for: f64,
    /// The additional time that the protocol page allows over sockets, ms.
    pub slack: f64,
}

/// Makes the assumptions of [`crate::Drains`], and assumes that the start of a controller is followed by a
/// `ListTold` for each host that it then knows. A limit runs while three conditions hold together: the proxy
/// takes orders from the controller, it may send to no host, and the controller lists some host as ready.
/// Suspended time does not count.
pub struct NoHost {
    bounds: NoHostBounds,
    controllers: BTreeMap<String, Controller>,
    proxies: BTreeMap<String, Proxy>,
    verdict: Verdict,
    last: u64,
}

#[derive(Default)]
struct Controller {
    ready: BTreeSet<String>,
    suspended: Suspended,
}

#[derive(Default)]
struct Proxy {
    /// The controller that the proxy takes orders from.
    follows: Option<String>,
    sends_to: BTreeSet<String>,
    /// Set while the proxy has no host although its controller lists one as ready.
    without: Option<Without>,
}

struct Without {
    controller: String,
    /// The line that started the period.
    since: Line,
}

impl NoHost {
    pub fn new(bounds: NoHostBounds) -> NoHost {
        let (controllers, proxies) = (BTreeMap::new(), BTreeMap::new());
        NoHost { bounds, controllers, proxies, verdict: Verdict::default(), last: 0 }
    }

    /// Lines have to come in the order of `at`.
    pub fn feed(&mut self, line: &Line) {
        self.last = line.at;
        match &line.what {
            What::ListTold { host, state } => {
                let controller = self.controllers.entry(line.who.clone()).or_default();
                match state {
                    HostState::Ready => controller.ready.insert(host.clone()),
                    HostState::Draining | HostState::Gone => controller.ready.remove(host),
                };
                self.check_all(line);
            }
            What::Died => {
                self.controllers.entry(line.who.clone()).or_default().ready.clear();
                self.check_all(line);
            }
            What::LimitsWait { until } => {
                self.controllers.entry(line.who.clone()).or_default().suspended.add(line.at, *until);
            }
            What::Joined { controller } => {
                self.change(line, |proxy| proxy.follows = Some(controller.clone()));
            }
            What::Left => self.change(line, |proxy| proxy.follows = None),
            What::MaySend { hosts } => {
                self.change(line, |proxy| proxy.sends_to = hosts.iter().cloned().collect());
            }
            _ => {}
        }
    }

    fn change(&mut self, line: &Line, change: impl FnOnce(&mut Proxy)) {
        change(self.proxies.entry(line.who.clone()).or_default());
        self.check(line, &line.who);
    }

    fn check_all(&mut self, line: &Line) {
        let names: Vec<String> = self.proxies.keys().cloned().collect();
        names.iter().for_each(|name| self.check(line, name));
    }

    /// Starts or ends a period without a host, as of this line.
    fn check(&mut self, line: &Line, name: &str) {
        let Some(proxy) = self.proxies.get_mut(name) else { return };
        let lists_a_host = |controller: &&String| {
            self.controllers.get(*controller).is_some_and(|controller| !controller.ready.is_empty())
        };
        let controller = proxy.follows.as_ref().filter(|_| proxy.sends_to.is_empty()).filter(lists_a_host);
        match (controller, &proxy.without) {
            (Some(controller), None) => {
                let controller = controller.clone();
                proxy.without = Some(Without { controller, since: line.clone() });
            }
            (None, Some(_)) => self.end_period(name, line.at),
            _ => {}
        }
    }

    /// Ends the period in which the proxy has no host, if there is one.
    fn end_period(&mut self, name: &str, now: u64) {
        let Some(without) = self.proxies.get_mut(name).and_then(|proxy| proxy.without.take()) else { return };
        self.verdict.looked += 1;
        let Without { controller, since } = without;
        let suspended = &self.controllers.entry(controller).or_default().suspended;
        let lasted = suspended.counted(since.at, now) as f64 / 1e6;
        let allowed = self.bounds.empty_for + self.bounds.slack;
        if lasted > allowed {
            let over = lasted - allowed;
            let says =
                format!("{name} has no host for {lasted:.0} ms that count, {over:.0} ms more than allowed");
            self.verdict.found(Rule::NoHost, now, says, vec![since]);
        }
    }

    pub fn finish(mut self) -> Verdict {
        let names: Vec<String> = self.proxies.keys().cloned().collect();
        for name in names {
            self.end_period(&name, self.last);
        }
        self.verdict
    }
}
