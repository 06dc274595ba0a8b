//! A governed day: what is permitted when, the stages of a change, and the judge between the decisions and their
//! proxies. What a steward under agreement does, with nobody to agree with.

use std::collections::{BTreeMap, VecDeque};

use amberarch_core::*;
use amberarch_residency::{difference, there, InUse, Judge, Reach};

use crate::GRACE;

/// How much of it is done, to tell what each part costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Care {
    /// Replies are judged.
    pub judged: bool,
    /// A change goes through what satisfies both; else the new one holds at once.
    pub joint: bool,
    /// The decisions hear nothing of it: all that keeps to it is the judge.
    pub deaf: bool,
}

/// What became of a governed day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ruled {
    /// Orders that were judged, and those that were left out.
    pub orders: u64,
    pub refused: u64,
    /// Tries at hosts outside what held, once the judge had said that it is settled.
    pub outside: u64,
    /// The same before that: proxies still had what was permitted until then.
    pub before_settled: u64,
    /// From each change of what may serve until it was settled, ms.
    pub settled_after: Vec<f64>,
    /// Changes of revision that came to hold.
    pub in_force: u32,
}

pub(crate) struct Governed {
    judge: Judge,
    care: Care,
    /// Zones that each host counts for, by the list alone, and until when.
    places: BTreeMap<HostId, Vec<(ZoneId, f64)>>,
    /// What is to hold, and from when.
    plan: VecDeque<(f64, Reach)>,
    holds: Reach,
    /// While a change is under way: what holds alone once all is settled.
    next: Option<Reach>,
    in_use: InUse,
    /// Since when what may serve has not been settled.
    unsettled: Option<f64>,
    pub ruled: Ruled,
}

/// As long as another steward needs to bind what a lost one had.
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

    /// The judge hears what the decisions hear.
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

    /// What is due: returns what the decisions have to hear. `hosts` are those in service, by zone.
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
                // Where nothing held yet there is nothing to give way.
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

    /// What goes out of a reply.
    pub fn sift(&mut self, now: f64, orders: Vec<Order>) -> Vec<Order> {
        self.ruled.orders += orders.len() as u64;
        // Where it is not heeded it is told all the same, so that what it would have left out is counted.
        let all = (!self.care.judged).then(|| orders.clone());
        let sifted = self.judge.sift(now, orders);
        // The emulator's channel takes each reply once.
        self.judge.answered(self.judge.place());
        self.ruled.refused += sifted.refused.len() as u64;
        all.unwrap_or(sifted.orders)
    }

    /// A try at a host. One that has changed its zone in the list counts for both while a drain's grace lasts.
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
