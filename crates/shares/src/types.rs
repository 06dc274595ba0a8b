//! Types of the grant protocol and its messages between members. Rates are in txns per second, times in ms.

use amberarch_core::{ClassId, ZoneId};
use serde::{Deserialize, Serialize};

/// A tenant, by its index in the section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tenant(pub u32);

/// A controller that holds grants and admits txns, by its index among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder(pub u16);

/// A zone index as sent on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

impl From<ZoneId> for Zone {
    fn from(zone: ZoneId) -> Zone {
        Zone(zone.0)
    }
}

/// The rate that a holder may admit for a tenant in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub tenant: Tenant,
    pub zone: Zone,
    pub per_s: f64,
}

/// Report of one controller: its demand, the capacity that it sees, and the grants that it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Number of the report, which tells old reports from new ones. The upper 32 bits are a random number drawn when the
    /// process starts, the lower 32 bits count its reports.
    pub round: u64,
    /// The highest leader term that the controller knows. It no longer accepts grants of earlier terms.
    pub term: u64,
    /// The policy revision that the tenant indices refer to.
    pub plan: u64,
    /// How long this process has been running, ms. Proxies may still act on grants of a process before it.
    pub lived: f64,
    /// Rate of txns that arrived for each tenant at each zone's proxies, admitted or not.
    pub demand: Vec<Grant>,
    /// Rate that the open, warm hosts of each zone can serve, as this controller sees it.
    pub capacity: Vec<(Zone, f64)>,
    /// The grants in force at this controller, each with the remaining time in ms.
    pub held: Vec<(Grant, f64)>,
}

/// Messages between members about grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    Seen(Seen),
    /// Answers report `round` with all grants of the holder, which last for `lasts` ms from the time it sent that
    /// report. A grant that is not listed is revoked. `term` is the leader's term, `plan` the policy revision that the
    /// tenant indices refer to.
    Dealt {
        round: u64,
        term: u64,
        plan: u64,
        grants: Vec<Grant>,
        lasts: f64,
    },
    /// The holder has applied the grants of that answer and no longer admits more than they allow.
    Taken {
        round: u64,
        term: u64,
    },
}

/// Limit that a controller enforces: of the request class (`product`) in the zone at most this fraction of the arriving
/// txns is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub zone: ZoneId,
    pub product: ClassId,
    pub share: f64,
}
