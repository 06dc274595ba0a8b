//! The plan of a run: the kind of fault and its parameters, by seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::ZONE_PER_S;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Without `[fleet]` and without faults: shows that the stand-ins give a controller working traffic.
    Ungoverned,
    /// No fault.
    Calm,
    /// One voter is down while a change is made.
    OneDown,
    /// SIGKILL at a random time.
    Killed,
    /// SIGKILL before or after a message of a change is sent, or after it is received.
    KilledAtMessage,
    /// SIGKILL after the nth write to the disk.
    KilledAtWrite,
    /// SIGKILL of the first controller that reports the joint stage, or of the leader at that time.
    KilledAtJoint,
    /// SIGSTOP until well after the lease has expired, then SIGCONT.
    Paused,
    /// Restarts on a copy of its disk from before a change.
    OldDisk,
    EmptyDisk,
    /// A byte of each file is corrupted. The program may refuse to start; then it gets an empty disk.
    SpoiltDisk,
    /// No file can be written (`Member::full_disk` emulates this by a limit on file sizes).
    FullDisk,
    ChairInMinority,
    /// The voters are partitioned into two halves.
    EvenSplit,
    /// One controller's messages are not delivered, or none reach it.
    OneWayCut,
    /// Each connection has a delay of its own.
    Delays,
    Resets,
    /// A kill and a partition, or two kills, at once.
    TwoAtOnce,
    /// Two changes proposed at two controllers shortly after each other, and a kill.
    ChangeInMidst,
    /// One is down for the whole of two changes.
    DownForTwo,
    /// A controller's relay is unavailable while its lease expires.
    RelayAway,
    MarksLost,
    /// Proxies move to another controller during the joint stage.
    ProxiesMove,
    /// Two changes, the second as soon as the first is in force anywhere; one controller may be down.
    QuickSuccession,
    SwapsZones,
    PermitsNothing,
    /// The operators' files add a member, remove one, or replace one by another with an empty disk, while a change is in
    /// progress.
    Added,
    Removed,
    Replaced,
    /// A peer that sends replayed messages, messages of other fleets, corrupted and oversized ones, and random bytes.
    BadPeer,
    /// A tenant that sent no requests claims its guarantee again while it is lent out, often as the leader is killed.
    Lent,
    /// Within a second nine of ten hosts of each zone begin to reject all requests, during traffic and a change.
    Falls,
    /// A rolling restart of all controllers with SIGTERM, each after the previous one is back, while a change is proposed.
    Rolled,
    /// SIGTERM to the leader, before a change or during it.
    Ended,
    /// Two faults of [`Single`] at two controllers at once.
    Drawn,
}

/// A fault at one controller, drawn in pairs for [`Kind::Drawn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Single {
    Kill,
    Term,
    Stop,
    CutOff,
    NotHeard,
    HearsNothing,
    Delays,
    Resets,
    FullDisk,
    RelayAway,
    MarksLost,
    ProxiesMove,
    BadPeer,
}

impl Single {
    pub const ALL: [Single; 13] = [
        Single::Kill,
        Single::Term,
        Single::Stop,
        Single::CutOff,
        Single::NotHeard,
        Single::HearsNothing,
        Single::Delays,
        Single::Resets,
        Single::FullDisk,
        Single::RelayAway,
        Single::MarksLost,
        Single::ProxiesMove,
        Single::BadPeer,
    ];
}

impl Kind {
    pub const ALL: [Kind; 34] = [
        Kind::Calm,
        Kind::OneDown,
        Kind::Killed,
        Kind::KilledAtMessage,
        Kind::KilledAtWrite,
        Kind::KilledAtJoint,
        Kind::Paused,
        Kind::OldDisk,
        Kind::EmptyDisk,
        Kind::SpoiltDisk,
        Kind::FullDisk,
        Kind::ChairInMinority,
        Kind::EvenSplit,
        Kind::OneWayCut,
        Kind::Delays,
        Kind::Resets,
        Kind::TwoAtOnce,
        Kind::ChangeInMidst,
        Kind::DownForTwo,
        Kind::RelayAway,
        Kind::MarksLost,
        Kind::ProxiesMove,
        Kind::QuickSuccession,
        Kind::SwapsZones,
        Kind::PermitsNothing,
        Kind::Added,
        Kind::Removed,
        Kind::Replaced,
        Kind::BadPeer,
        Kind::Lent,
        Kind::Falls,
        Kind::Rolled,
        Kind::Ended,
        Kind::Drawn,
    ];

    /// Whether guarantees must hold during the fault too: no controller is partitioned, stopped or without a disk, so all
    /// that run receive their grants.
    pub fn keeps_guarantees(self) -> bool {
        use Kind::*;
        let killed =
            matches!(self, OneDown | Killed | KilledAtMessage | KilledAtWrite | KilledAtJoint | Ended);
        let changed = matches!(self, ChangeInMidst | DownForTwo | QuickSuccession | SwapsZones | ProxiesMove);
        killed || changed || matches!(self, Calm | Lent)
    }
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub kind: Kind,
    pub stewards: usize,
    /// The first `voters` controllers vote; the others are followers.
    pub voters: usize,
    /// Number of controllers that run from the start; one more may join later as voter or follower.
    pub first: usize,
    pub newcomer_votes: bool,
    /// Under every policy each zone's txns stay in that zone, so each zone's grants must fit its own hosts.
    pub own_zones: bool,
    pub proxies: u16,
    pub txns_per_s: f64,
    /// Factor on traffic, guarantees and capacity, relative to a usual run.
    pub size: f64,
    pub hosts_a_zone: usize,
}

impl Plan {
    /// Kinds with a fleet take turns by seed; all other parameters are random.
    pub fn of(seed: u64) -> Plan {
        let kind = Kind::ALL[(seed % Kind::ALL.len() as u64) as usize];
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (stewards, voters) = match kind {
            Kind::EvenSplit => (4, 4),
            Kind::TwoAtOnce => (5, 5),
            _ => [(3, 3), (3, 3), (4, 3), (5, 5), (5, 3), (7, 5)][chance.random_range(0..6)],
        };
        let first = stewards;
        let stewards = first + usize::from(matches!(kind, Kind::Added | Kind::Replaced));
        let newcomer_votes = chance.random();
        let own_zones = kind != Kind::SwapsZones && chance.random_bool(0.3);
        // This kind counts how much of a guarantee is admitted. Three times the txns keep random variation from deciding it.
        let size = if kind == Kind::Lent { 3.0 } else { 1.0 };
        let hosts_a_zone = if kind == Kind::Falls { 10 } else { 2 };
        let common = Plan::ungoverned(seed);
        let txns_per_s = size * common.txns_per_s;
        Plan {
            seed,
            kind,
            stewards,
            voters,
            first,
            newcomer_votes,
            own_zones,
            txns_per_s,
            size,
            hosts_a_zone,
            ..common
        }
    }

    /// Three controllers without a fleet.
    pub fn ungoverned(seed: u64) -> Plan {
        let (kind, stewards, voters, first) = (Kind::Ungoverned, 3, 3, 3);
        let (newcomer_votes, own_zones) = (false, false);
        let (proxies, txns_per_s) = (6, 24.0);
        let (size, hosts_a_zone) = (1.0, 2);
        Plan {
            seed,
            kind,
            stewards,
            voters,
            first,
            newcomer_votes,
            own_zones,
            proxies,
            txns_per_s,
            size,
            hosts_a_zone,
        }
    }

    /// Capacity of a zone's hosts, txns a second.
    pub fn zone_per_s(&self) -> f64 {
        self.size * ZONE_PER_S
    }

    /// Whether the member at that index votes.
    pub fn votes(&self, place: usize) -> bool {
        place < self.voters || (place >= self.first && self.newcomer_votes)
    }

    /// Members by their indexes without duplicates, each with whether it votes.
    pub fn members(&self, places: impl IntoIterator<Item = usize>) -> Vec<(usize, bool)> {
        let places: std::collections::BTreeSet<usize> = places.into_iter().collect();
        places.into_iter().map(|place| (place, self.votes(place))).collect()
    }

    pub fn chance(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed ^ 0x0a3b_e12f)
    }
}

/// A random time within a change, for faults that are not tied to an event.
pub fn moment(chance: &mut ChaCha8Rng, most_ms: u64) -> Duration {
    Duration::from_millis(chance.random_range(0..most_ms))
}
