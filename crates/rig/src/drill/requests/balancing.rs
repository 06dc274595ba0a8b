//! How a proxy picks a host among those of its table, and which hosts it avoids because of its own failures.

use std::collections::BTreeMap;

use amberarch_core::{HostId, ProxyId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How a proxy picks a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    /// At random by weight.
    Weighted,
    /// Of two drawn by weight, the one with fewer of the proxy's own requests in flight.
    LessLoadedOfTwo,
}

/// A proxy avoids a host after this many of its own tries in a row failed there.
const FAILURES_TO_EJECT: u32 = 3;

/// What one proxy knows of one host by its own tries.
#[derive(Default)]
struct Link {
    in_flight: u32,
    failures_in_row: u32,
    ejected_until: f64,
}

pub struct Balancing {
    pick: Pick,
    /// How long a proxy avoids a host, ms.
    ejected_for: f64,
    links: BTreeMap<(ProxyId, HostId), Link>,
}

impl Balancing {
    pub fn new(pick: Pick, ejected_for: f64) -> Balancing {
        Balancing { pick, ejected_for, links: BTreeMap::new() }
    }

    /// Picks a host for a request. If the proxy avoids all hosts of its table, it uses them all the same.
    pub fn pick(
        &self,
        now: f64,
        proxy: ProxyId,
        usable: &[(HostId, f64)],
        chance: &mut ChaCha8Rng,
    ) -> Option<HostId> {
        let ejected_until = |host| self.links.get(&(proxy, host)).map_or(f64::MIN, |link| link.ejected_until);
        let not_ejected: Vec<(HostId, f64)> =
            usable.iter().filter(|(host, _)| ejected_until(*host) <= now).copied().collect();
        let candidates = if not_ejected.is_empty() { usable } else { &not_ejected };
        let first = draw(candidates, chance)?;
        if self.pick == Pick::Weighted {
            return Some(first);
        }
        let second = draw(candidates, chance)?;
        let in_flight = |host| self.links.get(&(proxy, host)).map_or(0, |link| link.in_flight);
        Some(if in_flight(second) < in_flight(first) { second } else { first })
    }

    pub fn sent(&mut self, proxy: ProxyId, host: HostId) {
        self.links.entry((proxy, host)).or_default().in_flight += 1;
    }

    pub fn ended(&mut self, now: f64, proxy: ProxyId, host: HostId, succeeded: bool) {
        let link = self.links.entry((proxy, host)).or_default();
        link.in_flight = link.in_flight.saturating_sub(1);
        link.failures_in_row = if succeeded { 0 } else { link.failures_in_row + 1 };
        if link.failures_in_row >= FAILURES_TO_EJECT {
            (link.failures_in_row, link.ejected_until) = (0, now + self.ejected_for);
        }
    }
}

/// Draws a host by weight.
fn draw(candidates: &[(HostId, f64)], chance: &mut ChaCha8Rng) -> Option<HostId> {
    let all: f64 = candidates.iter().map(|(_, weight)| weight).sum();
    let mut left = all * chance.random::<f64>();
    let found = candidates.iter().find(|(_, weight)| {
        left -= weight;
        left <= 0.0
    });
    found.or(candidates.last()).map(|(host, _)| *host)
}
