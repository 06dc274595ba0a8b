//! The deployment of a drill and the configuration of its controller.

use std::net::SocketAddr;
use std::rc::Rc;

use amberarch_core::{Channel, Warmup};
use serde_json::{json, Value};

use crate::address::Block;
use crate::hosts::Host;

/// Extension of the time limits for drains and for proxies without a host when real sockets are used, ms.
pub const SLACK: f64 = 300.0;
/// How long a proxy may be without a host, ms.
pub const EMPTY_FOR: f64 = 6_800.0;
/// How hosts warm up, and what a cold one survives.
pub const WARMUP: Warmup =
    Warmup { initial_capacity: 0.17, duration: 17_000.0, failure_load: 4.0, failure_after: 2_000.0 };

/// The pair of addresses of discovery and the relay; a reload moves both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Addresses {
    First,
    Second,
}

impl Addresses {
    pub fn other(self) -> Addresses {
        match self {
            Addresses::First => Addresses::Second,
            Addresses::Second => Addresses::First,
        }
    }
}

impl Block {
    pub(super) fn discovery_at(&self, addresses: Addresses) -> SocketAddr {
        match addresses {
            Addresses::First => self.discovery(),
            Addresses::Second => self.second_discovery(),
        }
    }

    pub(super) fn relay_at(&self, addresses: Addresses) -> SocketAddr {
        match addresses {
            Addresses::First => self.relay(0),
            Addresses::Second => self.second_relay(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub zones: Vec<String>,
    /// Number of hosts, assigned to the zones in turn.
    pub hosts: usize,
    pub proxies: u16,
    /// Requests a second that a proxy receives.
    pub requests_per_s: f64,
    pub channel: Channel,
    /// How long a proxy may still send to a host after the host has left, ms.
    pub drain_grace: f64,
    /// Number of hosts in a proxy's bootstrap table.
    pub standing: usize,
    /// Hosts that fail most requests but pass probes.
    pub failing: Vec<usize>,
    pub seed: u64,
}

/// Request classes: name, effect, and fraction of all requests.
pub const CLASSES: [(&str, &str, f64); 3] =
    [("page", "free", 0.55), ("detail", "free", 0.25), ("submit", "single_shot", 0.2)];

impl Settings {
    /// 30 hosts in three zones, 80 proxies, and a channel whose backlog takes 2.6 s to send.
    pub fn usual(seed: u64) -> Settings {
        let channel = Channel {
            lines_per_s: 2_200.0,
            message_overhead: 6.0,
            max_backlog: 5_800.0,
            max_messages: 30,
            message_window: 10_000.0,
            typical_transit: 207.0,
            max_transit: 517.5,
        };
        Settings {
            zones: ["north", "middle", "south"].map(String::from).into(),
            hosts: 30,
            proxies: 80,
            requests_per_s: 1.7,
            channel,
            drain_grace: 3_900.0,
            standing: 5,
            failing: vec![],
            seed,
        }
    }

    pub(super) fn zone_of(&self, proxy: u16) -> usize {
        usize::from(proxy) % self.zones.len()
    }

    pub(super) fn configuration(&self, block: &Block, addresses: Addresses, hosts: &[Rc<Host>]) -> Value {
        let known: Vec<Value> = hosts.iter().map(|host| host.row()).collect();
        json!({
            "name": "n0",
            "listen": block.listens(0).to_string(),
            "discovery": block.discovery_at(addresses).to_string(),
            "relay": {"address": block.relay_at(addresses).to_string()},
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 0.2, "memory_mb": 48, "sockets": 384},
            "known": {"seq": super::discovery::FIRST_VERSION, "whole": true, "hosts": known},
            "settings": self.settings(),
        })
    }

    fn settings(&self) -> Value {
        let class = |(name, effect, _): &(&str, &str, f64)| {
            json!({"name": name, "effect": effect, "keyScope": "all", "goalTime": ns(800.0), "deadline": ns(2_500.0),
                "window": ns(5_000.0), "points": 1.0, "lateWorth": 0.1})
        };
        let classes: Vec<Value> = CLASSES.iter().map(class).collect();
        let none = vec![false; CLASSES.len()];
        let channel = &self.channel;
        json!({
            "az": 0,
            "balancers": 3,
            "dcs": self.zones,
            "kinds": ["plain"],
            "discovery": "on_request",
            "classes": classes,
            "familyInfo": {
                "agents": 3 * u32::from(self.proxies), "bootstrap": self.standing, "shards": 0, "zonal": false,
                "classOwnZone": none, "classWrites": none, "defaultRetry": 0, "tryFactor": 0.8, "levelKind": "off",
                "emptyFor": ns(EMPTY_FOR), "egressPerS": channel.lines_per_s, "backlog": channel.max_backlog,
                "overhead": channel.message_overhead, "reloadsMax": channel.max_messages, "messagesOver": ns(channel.message_window),
                "propagation": ns(channel.typical_transit), "worstTransit": ns(channel.max_transit),
                "reportEvery": ns(2_000.0), "reportsPerS": 120.0,
            },
            "loadInfo": {"how": "off", "columns": []},
            "policyLimits": {"connectTimeout": ns(250.0), "mayProbe": true},
            "rules": {
                "askWithin": ns(10_000.0), "drainGrace": ns(self.drain_grace), "coldFrom": WARMUP.initial_capacity,
                "warmWithin": ns(WARMUP.duration), "fallMultiple": WARMUP.failure_load,
                "overloadFor": ns(WARMUP.failure_after),
            },
        })
    }
}

fn ns(ms: f64) -> u64 {
    (ms * 1e6) as u64
}
