//! A governed day: a plan of which hosts are permitted when, the stages of a change, and the judge between the decisions
//! and their proxies. It does what a controller under consensus does, without other voters.

use std::collections::{BTreeMap, VecDeque};

use amberarch_core::*;
use amberarch_residency::{difference, there, InUse, Judge, Reach};

use crate::GRACE;

/// Which parts of the governing are active, to measure the cost of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Care {
    /// Replies are judged.
    pub judged: bool,
    /// A change goes through a joint stage that satisfies both the old and the new rule; otherwise the new rule is in
    /// force at once.
    pub joint: bool,
    /// The decisions are not told about the rules; only the judge enforces them.
    pub deaf: bool,
}

/// Results of a governed day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ruled {
    /// Orders judged, and those refused.
    pub orders: u64,
    pub refused: u64,
    /// Tries at hosts outside the rule in force after the judge had reported it as settled.
    pub outside: u64,
    /// The same before the rule was settled: proxies still held tables that were permitted until then.
    pub before_settled: u64,
    /// For each change of the permitted hosts, the time until it was settled, ms.
    pub settled_after: Vec<f64>,
    /// Number of rule changes that came into force.
    pub in_force: u32,
}

pub(crate) struct Governed {
    judge: Judge,
    care: Care,
    /// Zones that each host counts for according to the host list, and until when.
    places: BTreeMap<HostId, Vec<(ZoneId, f64)>>,
    /// Rules, with the time from which each applies.
    plan: VecDeque<(f64, Reach)>,
    holds: Reach,
    /// During a change: the rule that is in force alone once the joint stage is settled.
    next: Option<Reach>,
    in_use: InUse,
    /// Since when the permitted hosts have been unsettled.
    unsettled: Option<f64>,
    pub ruled: Ruled,
}

/// Time that another controller needs to bind the proxies of a stopped one, ms.
const LINGER: f64 = 3_000.0;

impl Governed {
    pub fn new(products: u16, plan: Vec<(f64, Reach)>, care: Care) -> Governed {
        Governed {
            judge: Judge::new(products, GRACE),
            care,
            places: BTreeMap::new(),
            plan: plan.into(),
            holds: Reach::default(),
            next: None,
            in_use: InUse::new(),
            unsettled: None,
            ruled: Ruled::default(),
        }
    }

    /// Passes the events for the decisions to the judge.
    pub fn hear(&mut self, now: f64, events: &[Event]) {
        for event in events {
            match event {
                Event::List { entries, .. } => {
                    for HostEntry { host, zone, availability, .. } in entries {
                        self.judge.listed(now, *host, *zone, *availability);
                        let places = self.places.entry(*host).or_default();
                        places.retain(|place| place.0 != *zone && place.1 > now);
                        places.iter_mut().for_each(|place| place.1 = place.1.min(now + GRACE));
                        places.push((*zone, f64::MAX));
                    }
                }
                Event::ProxyJoined { proxy, zone, without_table, .. } => {
                    self.judge.joined(now, *proxy, *zone, *without_table)
                }
                Event::ProxyLeft { proxy } => self.judge.left(now, *proxy),
                Event::MarkApplied { proxy, mark, .. } => self.judge.applied(now, *proxy, *mark),
                Event::CallDuplicated { mark } => self.judge.unsure(*mark),
                _ => {}
            }
        }
    }

    /// Applies what is due and returns the events for the decisions. `hosts` counts the hosts in service by zone.
    pub fn turn(&mut self, now: f64, hosts: &BTreeMap<ZoneId, u32>) -> Vec<Event> {
        let settled = self.judge.settled(now, LINGER).is_ok();
        if let Some(since) = self.unsettled.take_if(|_| settled) {
            self.ruled.settled_after.push(now - since);
        }
        if let Some(next) = self.next.take_if(|_| settled) {
            self.holds = next;
            self.ruled.in_force += 1;
        }
        if self.next.is_none() && self.plan.front().is_some_and(|(at, _)| now >= *at) {
            if let Some((_, reach)) = self.plan.pop_front() {
                // If no rule is in force yet, no joint stage is needed.
                let first = self.holds == Reach::default();
                if self.care.joint && !first {
                    (self.holds, self.next) = (self.holds.joint(&reach), Some(reach));
                } else {
                    (self.holds, self.ruled.in_force) = (reach, self.ruled.in_force + 1);
                }
            }
        }
        let in_use = self.holds.in_use(there(hosts));
        if in_use == self.in_use {
            return vec![];
        }
        self.judge.reach(now, in_use.clone());
        let told = difference(&self.in_use, &in_use);
        self.in_use = in_use;
        self.unsettled = self.unsettled.or(Some(now));
        if self.care.deaf {
            vec![]
        } else {
            told
        }
    }

    /// Returns the orders of a reply that are sent.
    pub fn sift(&mut self, now: f64, orders: Vec<Order>) -> Vec<Order> {
        self.ruled.orders += orders.len() as u64;
        // If its verdict is not applied, the judge still gets the orders, so that refusals are counted.
        let all = (!self.care.judged).then(|| orders.clone());
        let sifted = self.judge.sift(now, orders);
        // The emulator's channel takes each reply once.
        self.judge.answered(self.judge.place());
        self.ruled.refused += sifted.refused.len() as u64;
        all.unwrap_or(sifted.orders)
    }

    /// Records a try at a host. A host whose zone changed in the list counts for both zones during the drain grace.
    pub fn tried(&mut self, now: f64, pair: (ClassId, ZoneId), host: HostId) {
        let zones = self.in_use.get(&pair).copied().unwrap_or(Zones::ALL);
        let places = self.places.get(&host).into_iter().flatten();
        let within = places.filter(|place| now < place.1).any(|place| zones.contains(place.0));
        if zones != Zones::ALL && !within {
            match self.unsettled {
                None => self.ruled.outside += 1,
                Some(_) => self.ruled.before_settled += 1,
            }
        }
    }
}
