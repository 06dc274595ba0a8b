//! A brute-force implementation of the same rules for small fleets: it enumerates every state that any proxy
//! may be in and checks each one completely. It shares no data structure with the guard, so that comparing
//! both reveals errors of the guard.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::verdict::Rule;

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    pub zone: ZoneId,
    /// `serves`: the host can answer txns. `ready`: it is in service, warm and answers probes. `leaving`: it
    /// drains or has been removed.
    pub serves: bool,
    pub ready: bool,
    pub leaving: bool,
    /// The load in txns a second that the host survives; `None` if it is not checked.
    pub most: Option<f64>,
}

#[derive(Clone, Debug)]
struct Call {
    when: f64,
    orders: Vec<Order>,
    /// The index of the first call that was unconfirmed when this one was sent.
    unsure: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    lines: BTreeMap<(TableId, HostId), f64>,
    withdrawn: BTreeSet<HostId>,
    bindings: BTreeMap<(ProxyId, ClassId), TableId>,
}

#[derive(Clone, Debug, Default)]
pub struct Plain {
    pub products: u16,
    pub at_home: u64,
    pub transit_worst: f64,
    pub hosts: BTreeMap<HostId, Fate>,
    pub proxies: BTreeMap<ProxyId, ZoneId>,
    /// The maximum demand in txns a second.
    pub demand: BTreeMap<(ProxyId, ClassId), f64>,
    /// Proxies that are behind, with the number of calls that each has certainly carried out.
    pub late: BTreeMap<ProxyId, usize>,
    calls: Vec<Call>,
    /// Calls before this index are not carried out again.
    confirmed: usize,
    /// When which number of calls was confirmed. The last copies of these calls arrive within the maximum
    /// transit time after it.
    answers: Vec<(f64, usize)>,
}

/// A range of calls (first and last index) that is carried out again.
type Run = Option<(usize, usize)>;

impl State {
    fn carry_out(&mut self, plain: &Plain, orders: &[Order]) {
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                    self.lines.insert((*table, *host), *weight);
                }
                Order::SetEntry { table, host, .. } => drop(self.lines.remove(&(*table, *host))),
                Order::ClearTable { table } => self.lines.retain(|line, _| line.0 != *table),
                Order::Withdraw { host, withdrawn: true } => drop(self.withdrawn.insert(*host)),
                Order::Withdraw { host, withdrawn: false } => drop(self.withdrawn.remove(host)),
                Order::Bind { proxy, table, classes } if plain.proxies.contains_key(proxy) => {
                    let of = (0..plain.products).map(ClassId);
                    let of =
                        of.filter(|id| *classes == ClassSet::ALL || classes.0 & ClassSet::one(*id).0 != 0);
                    self.bindings.extend(of.map(|class| ((*proxy, class), *table)));
                }
                _ => {}
            }
        }
    }

    fn bare(&self, plain: &Plain, of: (ProxyId, ClassId)) -> bool {
        let serves = |host: &HostId| {
            !self.withdrawn.contains(host) && plain.hosts.get(host).is_some_and(|host| host.serves)
        };
        let Some(table_id) = self.bindings.get(&of) else { return false };
        !self.lines.keys().any(|(of, host)| of == table_id && serves(host))
    }

    fn share(&self, of: (ProxyId, ClassId), host: HostId) -> f64 {
        let Some(table_id) = self.bindings.get(&of) else { return 0.0 };
        let open =
            self.lines.iter().filter(|((of, host), _)| of == table_id && !self.withdrawn.contains(host));
        let sum: f64 = open.map(|line| *line.1).sum();
        let own = self.lines.get(&(*table_id, host)).filter(|_| !self.withdrawn.contains(&host));
        own.map_or(0.0, |weight| weight / sum)
    }
}

impl Plain {
    pub fn new(products: u16, at_home: u64, transit_worst: f64) -> Plain {
        Plain { products, at_home, transit_worst, ..Plain::default() }
    }

    /// The states that a proxy may be in after `count` calls: the state as ordered, and the states after any
    /// range of the unconfirmed calls is carried out again.
    fn states(&self, calls: &[Call], count: usize, unsure: usize) -> BTreeMap<Run, State> {
        let mut base = State::default();
        calls[..count].iter().for_each(|call| base.carry_out(self, &call.orders));
        let mut all = BTreeMap::from([(None, base.clone())]);
        for from in unsure..count {
            let mut state = base.clone();
            for (to, call) in calls.iter().enumerate().take(count).skip(from) {
                state.carry_out(self, &call.orders);
                all.insert(Some((from, to)), state.clone());
            }
        }
        all
    }

    /// The maximum load of a host.
    fn load(&self, now: f64, calls: &[Call], host: HostId) -> f64 {
        let still = |count: &usize| {
            calls
                .get(*count)
                .is_none_or(|next| next.when + self.transit_worst > now || *count >= self.confirmed)
        };
        let counts: BTreeSet<usize> = (0..=calls.len()).filter(still).collect();
        // An answer shows that a call was carried out at that time or before, so its last copy arrives within
        // the maximum transit time after the answer.
        let there = self.answers.iter().filter(|(when, _)| when + self.transit_worst <= now);
        let there = there.map(|(_, count)| *count).max().unwrap_or(0);
        let unsure = |count: usize| count.checked_sub(1).map_or(0, |last| calls[last].unsure.max(there));
        let states =
            counts.into_iter().flat_map(|count| self.states(calls, count, unsure(count)).into_values());
        let states: Vec<State> = states.collect();
        // A proxy that is behind may be in each state since its last answer, with all calls that were
        // unconfirmed by then carried out again.
        let first = |count: usize| count.checked_sub(1).map_or(0, |last| calls[last].unsure);
        let since = |from: usize| {
            let after = (from..=calls.len())
                .flat_map(move |count| self.states(calls, count, first(count)).into_values());
            after.collect::<Vec<State>>()
        };
        let late: BTreeMap<ProxyId, Vec<State>> =
            self.late.iter().map(|(proxy, from)| (*proxy, since(*from))).collect();
        let part = |of: &(ProxyId, ClassId)| {
            let states = states.iter().chain(late.get(&of.0).into_iter().flatten());
            states.map(|state| state.share(*of, host)).fold(0.0, f64::max)
        };
        self.demand.iter().map(|(of, demand)| demand * part(of)).sum()
    }

    /// The rules that a batch would newly violate.
    pub fn breaks(&self, now: f64, orders: &[Order]) -> BTreeSet<Rule> {
        let mut broken = BTreeSet::new();
        let mut next = self.calls.clone();
        next.push(Call { when: now, orders: orders.to_vec(), unsure: self.confirmed });
        let (before, after) = (
            self.states(&self.calls, self.calls.len(), self.confirmed),
            self.states(&next, next.len(), self.confirmed),
        );
        let (was, is) = (&before[&None].withdrawn, &after[&None].withdrawn);
        if was.iter().any(|host| !is.contains(host) && self.hosts.get(host).is_some_and(|host| host.leaving))
        {
            broken.insert(Rule::Drain);
        }
        for (proxy, zone) in &self.proxies {
            for class in (0..self.products).map(ClassId) {
                let (of, home) = ((*proxy, class), self.at_home & ClassSet::one(class).0 != 0);
                let ready = |(id, host): (&HostId, &Fate)| {
                    host.ready && !(was.contains(id) && is.contains(id)) && (!home || host.zone == *zone)
                };
                // Compares with the same repeated calls without the batch. If the proxy had no usable host
                // there already, because no host was ready or it had no entries, the batch is not at fault:
                // it may restore the ready host, or be unrelated.
                let last = self.calls.len();
                let without = |run: Run| match run {
                    Some((from, to)) if to == last => (from < last).then(|| (from, last - 1)),
                    run => run,
                };
                let begins = after.iter().any(|(run, state)| {
                    state.bare(self, of) && !before.get(&without(*run)).is_some_and(|was| was.bare(self, of))
                });
                if begins && self.hosts.iter().any(ready) {
                    broken.insert(Rule::Bare);
                }
            }
        }
        for (host, fate) in &self.hosts {
            let Some(most) = fate.most else { continue };
            let (load, had) = (self.load(now, &next, *host), self.load(now, &self.calls, *host));
            if load > most * (1.0 + 1e-6) && load > had * (1.0 + 1e-6) + 1e-6 {
                broken.insert(Rule::Pushed);
            }
        }
        broken
    }

    /// Records a batch as sent.
    pub fn commit(&mut self, now: f64, orders: &[Order]) {
        self.calls.push(Call { when: now, orders: orders.to_vec(), unsure: self.confirmed });
    }

    /// The number of batches sent.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// The relay has confirmed all calls so far.
    pub fn answered(&mut self, now: f64) {
        self.confirmed = self.calls.len();
        self.answers.push((now, self.confirmed));
    }

    /// Proxies and classes without a usable host in the newest state although a host is ready for them.
    pub fn bare_now(&self) -> Vec<(ProxyId, ClassId)> {
        let state = &self.states(&self.calls, self.calls.len(), self.calls.len())[&None];
        let mut bare = Vec::new();
        for (proxy, zone) in &self.proxies {
            for class in (0..self.products).map(ClassId) {
                let home = self.at_home & ClassSet::one(class).0 != 0;
                let ready = self.hosts.iter().any(|(id, host)| {
                    host.ready && !state.withdrawn.contains(id) && (!home || host.zone == *zone)
                });
                if ready && state.bare(self, (*proxy, class)) {
                    bare.push((*proxy, class));
                }
            }
        }
        bare
    }
}
