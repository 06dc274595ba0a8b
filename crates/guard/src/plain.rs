//! The same rules by brute force, for sizes that allow it: every state that any proxy may be in is written out, and
//! each is looked at whole. It shares no structure with the guard; it is there to find the guard wrong.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::verdict::Rule;

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    pub zone: ZoneId,
    /// A line to it is of use; it is on, warm and answers; it drains or is gone.
    pub serves: bool,
    pub ready: bool,
    pub leaves: bool,
    /// Txns a second that it survives, where it is judged.
    pub most: Option<f64>,
}

#[derive(Clone, Debug)]
struct Call {
    when: f64,
    orders: Vec<Order>,
    /// The first call that was unsure when this one was written.
    unsure: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    lines: BTreeMap<(TableId, HostId), f64>,
    out: BTreeSet<HostId>,
    uses: BTreeMap<(ProxyId, ClassId), TableId>,
}

#[derive(Clone, Debug, Default)]
pub struct Plain {
    pub products: u16,
    pub at_home: u64,
    pub transit_worst: f64,
    pub hosts: BTreeMap<HostId, Fate>,
    pub proxies: BTreeMap<ProxyId, ZoneId>,
    /// Txns a second, at most.
    pub demand: BTreeMap<(ProxyId, ClassId), f64>,
    /// Those that are behind, and how many calls they have carried out for certain.
    pub late: BTreeMap<ProxyId, usize>,
    calls: Vec<Call>,
    /// Calls before this one are not carried out again.
    quiet: usize,
    /// When that was so for how many: a copy is there within the worst transit after.
    answers: Vec<(f64, usize)>,
}

/// Calls carried out again, from one to another.
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
                Order::Withdraw { host, withdrawn: true } => drop(self.out.insert(*host)),
                Order::Withdraw { host, withdrawn: false } => drop(self.out.remove(host)),
                Order::Bind { proxy, table, classes } if plain.proxies.contains_key(proxy) => {
                    let of = (0..plain.products).map(ClassId);
                    let of =
                        of.filter(|id| *classes == ClassSet::ALL || classes.0 & ClassSet::one(*id).0 != 0);
                    self.uses.extend(of.map(|product| ((*proxy, product), *table)));
                }
                _ => {}
            }
        }
    }

    fn bare(&self, plain: &Plain, of: (ProxyId, ClassId)) -> bool {
        let serves =
            |host: &HostId| !self.out.contains(host) && plain.hosts.get(host).is_some_and(|host| host.serves);
        let Some(tbl) = self.uses.get(&of) else { return false };
        !self.lines.keys().any(|(of, host)| of == tbl && serves(host))
    }

    fn share(&self, of: (ProxyId, ClassId), host: HostId) -> f64 {
        let Some(tbl) = self.uses.get(&of) else { return 0.0 };
        let open = self.lines.iter().filter(|((of, host), _)| of == tbl && !self.out.contains(host));
        let sum: f64 = open.map(|line| *line.1).sum();
        let own = self.lines.get(&(*tbl, host)).filter(|_| !self.out.contains(&host));
        own.map_or(0.0, |weight| weight / sum)
    }
}

impl Plain {
    pub fn new(products: u16, at_home: u64, transit_worst: f64) -> Plain {
        Plain { products, at_home, transit_worst, ..Plain::default() }
    }

    /// The states of a proxy that has carried out so many calls: as they are, and with any run of the unsure ones
    /// carried out again.
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

    /// The most that may come to a host.
    fn load(&self, now: f64, calls: &[Call], host: HostId) -> f64 {
        let still = |count: &usize| {
            calls.get(*count).is_none_or(|next| next.when + self.transit_worst > now || *count >= self.quiet)
        };
        let counts: BTreeSet<usize> = (0..=calls.len()).filter(still).collect();
        // An answer says that a call was carried out then, or before: its last copy is not on its way for good.
        let there = self.answers.iter().filter(|(when, _)| when + self.transit_worst <= now);
        let there = there.map(|(_, count)| *count).max().unwrap_or(0);
        let unsure = |count: usize| count.checked_sub(1).map_or(0, |last| calls[last].unsure.max(there));
        let states =
            counts.into_iter().flat_map(|count| self.states(calls, count, unsure(count)).into_values());
        let states: Vec<State> = states.collect();
        // Who is behind may be at each state since, with all that was unsure by then carried out again.
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

    /// The rules that a batch would begin to break.
    pub fn breaks(&self, now: f64, orders: &[Order]) -> BTreeSet<Rule> {
        let mut broken = BTreeSet::new();
        let mut next = self.calls.clone();
        next.push(Call { when: now, orders: orders.to_vec(), unsure: self.quiet });
        let (before, after) = (
            self.states(&self.calls, self.calls.len(), self.quiet),
            self.states(&next, next.len(), self.quiet),
        );
        let (was, is) = (&before[&None].out, &after[&None].out);
        if was.iter().any(|host| !is.contains(host) && self.hosts.get(host).is_some_and(|host| host.leaves)) {
            broken.insert(Rule::Drain);
        }
        for (proxy, zone) in &self.proxies {
            for product in (0..self.products).map(ClassId) {
                let (of, home) = ((*proxy, product), self.at_home & ClassSet::one(product).0 != 0);
                let ready = |(id, host): (&HostId, &Fate)| {
                    host.ready && !(was.contains(id) && is.contains(id)) && (!home || host.zone == *zone)
                };
                // The same doubt before it: without the batch. What was bare there already, while nobody was ready or
                // it had nothing, is not what this batch makes reachable: it may let in who is ready, or have
                // nothing to do with it.
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

    /// A batch that goes out.
    pub fn commit(&mut self, now: f64, orders: &[Order]) {
        self.calls.push(Call { when: now, orders: orders.to_vec(), unsure: self.quiet });
    }

    /// How many went out.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// All calls so far are answered for.
    pub fn answered(&mut self, now: f64) {
        self.quiet = self.calls.len();
        self.answers.push((now, self.quiet));
    }

    /// Proxies that have nothing in the newest state, while a host is ready for them.
    pub fn bare_now(&self) -> Vec<(ProxyId, ClassId)> {
        let state = &self.states(&self.calls, self.calls.len(), self.calls.len())[&None];
        let mut bare = Vec::new();
        for (proxy, zone) in &self.proxies {
            for product in (0..self.products).map(ClassId) {
                let home = self.at_home & ClassSet::one(product).0 != 0;
                let ready = self
                    .hosts
                    .iter()
                    .any(|(id, host)| host.ready && !state.out.contains(id) && (!home || host.zone == *zone));
                if ready && state.bare(self, (*proxy, product)) {
                    bare.push((*proxy, product));
                }
            }
        }
        bare
    }
}
