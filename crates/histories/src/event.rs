//! One line of a history. `at` is the machine's monotonic clock in ns, the same for all processes on it; so are
//! `until` and `from`, and `back_within` is a span in ns. A line is written once what it says has happened, but
//! `Proposed` and `Asked` before anything is sent, and `Granted` before the grant is.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: u64,
    /// `steward:a`, `proxy:3`, `host:h1`, `client`, `rig`.
    pub who: String,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// The rig says what a revision permits, in its own words, before it is ever proposed. A pair that is not named
    /// is not governed.
    Revision {
        no: u64,
        permits: Vec<Permits>,
    },
    /// An operator proposes at a steward; `answered` has the same id.
    Proposed {
        id: u64,
        no: u64,
        digest: String,
    },
    Answered {
        id: u64,
        no: u64,
        outcome: Outcome,
        winner: Option<u64>,
    },
    /// A steward acts on this from here on, until that time at the latest.
    Holds {
        boot: u64,
        stage: u64,
        holds: Held,
        until: u64,
    },
    /// It no longer acts on anything: governed products are declined.
    LetGo {
        boot: u64,
    },
    /// It wrote a call of orders under that stage; `at` is after the last byte, `from` before the first.
    Wrote {
        boot: u64,
        stage: u64,
        from: u64,
    },
    /// A proxy's tables let txns of the product go to hosts of these zones, from here on.
    Tables {
        product: String,
        home: String,
        zones: Vec<String>,
    },
    /// A client's txn comes to a proxy.
    Asked {
        txn: u64,
        product: String,
        home: String,
        tenant: Option<String>,
        once_only: bool,
    },
    /// A host begins to serve it.
    Served {
        txn: u64,
        zone: String,
    },
    /// The client has its answer.
    Final {
        txn: u64,
        end: End,
    },
    /// The chair gives a steward a rate for a tenant in a zone until then; a rate of 0 takes it back. The zone's name may
    /// end in `@` and the plan that is dealt by.
    Granted {
        to: String,
        tenant: String,
        zone: String,
        per_s: f64,
        until: u64,
    },
    /// From here on no more than this may be granted in the zone, or in all of them together ([`ALL_ZONES`]).
    Capacity {
        zone: String,
        per_s: f64,
    },
    /// What the policy promises a tenant while it asks for as much, and how long it may be without.
    Guarantee {
        tenant: String,
        zone: String,
        per_s: f64,
        back_within: u64,
    },
    /// The taker (the `to` of the grant) goes by the grant with that `until`, and by nothing it had before for the
    /// tenant in the zone.
    Took {
        tenant: String,
        zone: String,
        until: u64,
    },
    /// The controller `who` counts as told that the host is in this state.
    ListTold {
        host: String,
        state: HostState,
    },
    /// The relay of the controller `who` failed, and time limits of its proxies are suspended until then.
    LimitsWait {
        until: u64,
    },
    /// The proxy `who` follows that controller from here on.
    Joined {
        controller: String,
    },
    /// The proxy `who` follows no controller.
    Left,
    /// The tables and withdrawals of the proxy `who` let it send to these hosts and no others.
    MaySend {
        hosts: Vec<String>,
    },
    /// The controller `who` is started as a process.
    Started,
    /// It answers a sign of life for the first time since it was started, and is used from here on.
    Ready,
    /// Its relay got a call of orders.
    Called,
    /// The process `who` is gone; written by the rig in its name, once it was waited for. What it held, its tables
    /// too, ends here. Any later line of that name is of a new run.
    Died,
    /// The rig broke or mended something.
    Fault {
        kind: String,
        of: Vec<String>,
    },
    /// Nothing is broken any more.
    Healed,
}

/// In the place of a zone in `Capacity`: all zones together. Where one zone's hosts serve what comes in at another, a
/// zone's grants may exceed its own hosts, and the sum of all is what has to fit whatever goes where.
pub const ALL_ZONES: &str = "*";

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    pub product: String,
    pub home: String,
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    InForce,
    Refused,
    /// No answer came: it may have been taken or not.
    Unsure,
}

/// A host's state in the list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// What a steward acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Held {
    Nothing,
    Alone { no: u64 },
    Joint { old: Option<u64>, new: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    Settled,
    Declined,
    Voided,
}
