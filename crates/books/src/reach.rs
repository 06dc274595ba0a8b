//! Which zones may serve a request class, and the tables that result from it.

use amberarch_core::{ZoneId, Zones};

use crate::Node;

/// The zones whose hosts may serve a request class, seen from the home zone of the proxies that receive its
/// txns. The request classes with the same reach in a home zone share one tree of tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// Hosts of every zone.
    AnyZone,
    /// The home zone alone.
    HomeZone,
    /// Hosts of these zones.
    Only(Zones),
}

impl Reach {
    /// The reach of a request class that arrives in the home zone, from the zones that a residency rule
    /// allows (none: no rule) and whether the class must stay in its zone at all; `all_zones` are all zones
    /// of the fleet. Each set of zones has exactly one representation.
    pub fn new(allowed: Option<Zones>, own_zone: bool, home: ZoneId, all_zones: Zones) -> Reach {
        let Some(allowed) = allowed else { return if own_zone { Reach::HomeZone } else { Reach::AnyZone } };
        let possible = if own_zone { Zones::one(home) } else { all_zones };
        match allowed.intersection(possible) {
            all if all == all_zones && !own_zone => Reach::AnyZone,
            own if own == Zones::one(home) => Reach::HomeZone,
            zones => Reach::Only(zones),
        }
    }

    /// Whether hosts of the zone belong to the reach.
    pub fn contains(self, home: ZoneId, zone: ZoneId) -> bool {
        match self {
            Reach::AnyZone => true,
            Reach::HomeZone => home == zone,
            Reach::Only(zones) => zones.contains(zone),
        }
    }

    /// Whether every zone of this reach is in the other one too.
    pub fn is_within(self, other: Reach, home: ZoneId) -> bool {
        let zones = |reach| match reach {
            Reach::AnyZone => Zones::ALL,
            Reach::HomeZone => Zones::one(home),
            Reach::Only(zones) => zones,
        };
        self == other || zones(self).difference(zones(other)).is_empty()
    }

    /// The tree whose table assignment is used: a request class that must not leave its zone uses the
    /// assignment of the unrestricted ones.
    pub fn tree(self) -> Reach {
        if self == Reach::HomeZone {
            Reach::AnyZone
        } else {
            self
        }
    }
}

/// Identifies a table: its home zone, the reach of the request classes that use it, and its node in their
/// tree.
pub type TableKey = (ZoneId, Reach, Node);
