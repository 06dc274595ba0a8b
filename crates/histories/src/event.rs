//! The events of a history, one per line. `at` is the machine's monotonic clock in ns, shared by all
//! processes on the machine; `until` and `from` are on the same clock, and `back_within` is a duration in ns.
//! A line is written after the event it describes, except that `Proposed` and `Asked` are written before
//! anything is sent, and `Granted` before the grant is sent.

use serde::{Deserialize, Serialize};

/// One event: when it happened, which process wrote it, and what happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: u64,
    /// The process that wrote the line: `steward:a`, `proxy:3`, `host:h1`, `client`, `rig`.
    pub who: String,
    #[serde(flatten)]
    pub what: What,
}

/// The kinds of events, tagged by `what` in the JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// The fault-injection harness states what a revision permits, before the revision is first proposed. A
    /// pair of request class and home that is not listed is not governed.
    Revision {
        no: u64,
        permits: Vec<Permits>,
    },
    /// An operator proposes a revision at a controller. The matching `Answered` has the same id.
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
    /// From now on, and until `until` at the latest, the controller acts on these revisions.
    Holds {
        boot: u64,
        stage: u64,
        holds: Held,
        until: u64,
    },
    /// The controller no longer acts on any revision: requests of governed classes are rejected.
    LetGo {
        boot: u64,
    },
    /// The controller wrote a call with orders under that stage. `at` is taken after the last byte, `from`
    /// before the first.
    Wrote {
        boot: u64,
        stage: u64,
        from: u64,
    },
    /// From now on, a proxy's tables route txns of the class to hosts in these zones.
    Tables {
        product: String,
        home: String,
        zones: Vec<String>,
    },
    /// A proxy receives a client's txn. `once_only` marks a non-idempotent txn.
    Asked {
        txn: u64,
        product: String,
        home: String,
        tenant: Option<String>,
        once_only: bool,
    },
    /// A host starts to serve the txn.
    Served {
        txn: u64,
        zone: String,
    },
    /// The client receives the final answer.
    Final {
        txn: u64,
        end: End,
    },
    /// The lease holder grants a controller a rate for a tenant in a zone until `until`; a rate of 0 revokes
    /// the grant. The zone name may end in `@` and the plan that the grant was computed from.
    Granted {
        to: String,
        tenant: String,
        zone: String,
        per_s: f64,
        until: u64,
    },
    /// From now on, at most this rate may be granted in the zone, or in all zones together ([`ALL_ZONES`]).
    Capacity {
        zone: String,
        per_s: f64,
    },
    /// The rate that the policy guarantees a tenant while its demand is at least that high, and how long the
    /// tenant may get less.
    Guarantee {
        tenant: String,
        zone: String,
        per_s: f64,
        back_within: u64,
    },
    /// The recipient (the `to` of the grant) now uses the grant with that `until`, and no earlier grant for
    /// the tenant in the zone.
    Took {
        tenant: String,
        zone: String,
        until: u64,
    },
    /// The controller `who` counts as notified that the host is in this state.
    ListTold {
        host: String,
        state: HostState,
    },
    /// The relay of the controller `who` failed; the time limits of its proxies are suspended until `until`.
    LimitsWait {
        until: u64,
    },
    /// From now on, the proxy `who` takes orders from that controller.
    Joined {
        controller: String,
    },
    /// The proxy `who` has no controller.
    Left,
    /// The tables and withdrawals of the proxy `who` allow it to send to exactly these hosts.
    MaySend {
        hosts: Vec<String>,
    },
    /// The proxy `who` sends a txn with this much work to a cold host. `ordered_at` is when the last message that the
    /// proxy applied was sent.
    Offered {
        host: String,
        work_ms: f64,
        ordered_at: Option<u64>,
    },
    /// The process of the host `who` starts. Once it is warm, it does so many ms of work per ms.
    HostStarted {
        capacity: f64,
    },
    /// The controller `who` counts as notified of the latest start of the host.
    StartTold {
        host: String,
    },
    /// The process of the controller `who` is started.
    Started,
    /// The controller answers a health check for the first time since its start and is used from now on.
    Ready,
    /// The relay of the controller received a call with orders.
    Called,
    /// The process `who` has ended. The harness writes this in its name after waiting for the process.
    /// Everything that the process held, including its tables, ends here. Any later line under that name
    /// belongs to a new run.
    Died,
    /// The harness injected or removed a fault.
    Fault {
        kind: String,
        of: Vec<String>,
    },
    /// All faults have been removed.
    Healed,
}

/// Stands for all zones together in `Capacity`. If hosts of one zone serve requests that arrive in another, a
/// zone's grants may exceed the capacity of its own hosts; only the sum over all zones has to fit.
pub const ALL_ZONES: &str = "*";

/// The zones that a revision permits for one request class and home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    pub product: String,
    pub home: String,
    pub zones: Vec<String>,
}

/// The answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    InForce,
    Refused,
    /// No answer arrived; the proposal may or may not have been accepted.
    Unsure,
}

/// A host's state in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// The revisions that a controller acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Held {
    Nothing,
    Alone { no: u64 },
    Joint { old: Option<u64>, new: u64 },
}

/// The final answer to a txn: succeeded, rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    Settled,
    Declined,
    Voided,
}
