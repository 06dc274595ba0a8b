//! Stand-in proxies: each applies the tables and withdrawals it receives and records which hosts it may send to.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use amberarch_core::{ClassId, HostId, Order, ProxyId, ZoneId};
use amberarch_emulator::Proxy;
use amberarch_histories::What;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::settings::{Settings, CLASSES};
use super::{Recorder, CONTROLLER};
use crate::hosts::Host;

pub struct Proxies {
    hosts: Vec<String>,
    held: RefCell<Vec<Held>>,
    recorder: Recorder,
}

struct Held {
    proxy: Proxy,
    zone: ZoneId,
    /// The hosts of its bootstrap table.
    standing: Vec<HostId>,
    joined: bool,
    /// The hosts it may send to, as last recorded.
    sends_to: BTreeSet<HostId>,
    /// When the last message that it applied was sent, ns.
    ordered_at: Option<u64>,
}

impl Proxies {
    pub fn new(settings: &Settings, hosts: &[Rc<Host>], recorder: Recorder) -> Rc<Proxies> {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed);
        let held = (0..settings.proxies).map(|number| {
            let zone = settings.zone_of(number);
            let mut near: Vec<HostId> =
                (0..hosts.len()).filter(|host| host % settings.zones.len() == zone).map(id).collect();
            near.shuffle(&mut chance);
            near.truncate(settings.standing);
            let zone = ZoneId(zone as u16);
            let mut proxy = bootstrap_proxy(zone, &near);
            // The bootstrap table does not come from the controller.
            proxy.follow_next();
            Held { proxy, zone, standing: near, joined: false, sends_to: BTreeSet::new(), ordered_at: None }
        });
        let hosts = hosts.iter().map(|host| host.name.clone()).collect();
        Rc::new(Proxies { hosts, held: RefCell::new(held.collect()), recorder })
    }

    pub fn join(&self, number: ProxyId) {
        {
            let held = &mut self.held.borrow_mut()[usize::from(number.0)];
            (held.joined, held.ordered_at) = (true, None);
        }
        self.recorder.write(&name(number), What::Joined { controller: CONTROLLER.into() });
        self.record_targets(number);
    }

    pub fn leave(&self, number: ProxyId) {
        self.held.borrow_mut()[usize::from(number.0)].joined = false;
        self.recorder.write(&name(number), What::Left);
    }

    /// Prepares a proxy to join again: it keeps what it holds, or starts with its bootstrap table if `fresh`.
    pub fn prepare_rejoin(&self, number: ProxyId, fresh: bool) {
        let held = &mut self.held.borrow_mut()[usize::from(number.0)];
        if fresh {
            held.proxy = bootstrap_proxy(held.zone, &held.standing);
        }
        held.proxy.follow_next();
    }

    /// Applies a message that was sent at `sent_ns`. Returns false if the proxy no longer follows the controller.
    pub fn apply(&self, number: ProxyId, orders: &[Order], sent_ns: u64) -> bool {
        {
            let held = &mut self.held.borrow_mut()[usize::from(number.0)];
            if !held.joined {
                return false;
            }
            orders.iter().for_each(|order| held.proxy.hear(number, order));
            held.ordered_at = Some(sent_ns);
        }
        self.record_targets(number);
        true
    }

    /// The hosts that a proxy sends requests of the class to, each with its fraction of them.
    pub fn traffic_split(&self, number: ProxyId, class: ClassId) -> Vec<(HostId, f64)> {
        let held = self.held.borrow();
        let lines: Vec<(HostId, f64)> = held[usize::from(number.0)].proxy.open(class).collect();
        let all: f64 = lines.iter().map(|line| line.1).sum();
        lines.into_iter().map(|(host, weight)| (host, weight / all)).collect()
    }

    /// The hosts that a proxy may send requests of the class to, with their weights.
    pub fn usable_hosts(&self, number: ProxyId, class: ClassId) -> Vec<(HostId, f64)> {
        self.held.borrow()[usize::from(number.0)].proxy.open(class).collect()
    }

    /// When the last message was sent that the proxy applied since it joined, ns.
    pub fn ordered_at(&self, number: ProxyId) -> Option<u64> {
        self.held.borrow()[usize::from(number.0)].ordered_at
    }

    fn record_targets(&self, number: ProxyId) {
        let held = &mut self.held.borrow_mut()[usize::from(number.0)];
        let classes = (0..CLASSES.len() as u16).map(ClassId);
        let open = |class| held.proxy.open(class).map(|line| line.0).collect::<Vec<_>>();
        let sends_to: BTreeSet<HostId> = classes.flat_map(open).collect();
        if sends_to != held.sends_to {
            let hosts = sends_to.iter().map(|host| self.hosts[host.0 as usize].clone()).collect();
            held.sends_to = sends_to;
            self.recorder.write(&name(number), What::MaySend { hosts });
        }
    }
}

fn bootstrap_proxy(zone: ZoneId, hosts: &[HostId]) -> Proxy {
    let mut proxy = Proxy::new(zone, vec![1.0; CLASSES.len()]);
    proxy.start_with(hosts.iter().copied());
    proxy
}

fn id(number: usize) -> HostId {
    HostId(number as u32)
}

fn name(number: ProxyId) -> String {
    format!("proxy:{}", number.0)
}
