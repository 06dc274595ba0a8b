//! The state of a member as it is shown to operators.

use std::collections::BTreeMap;

use crate::{Act, Boot, Disk, Name, Place, RevisionNo, Stage, Term};

/// The role of a member, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Learns what is in force with its leases; does not vote.
    Follower,
    Voter,
    /// A voter that is requesting votes.
    Candidate,
    Chair,
}

/// What the leader waits for at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitFor {
    /// Its verdict on the staged revision is missing.
    Verdict,
    /// Its proxies have to confirm the joint stage, or its lease and the linger have to end.
    Settled,
    /// The member has not been heard from, and may go on acting on what it knew (until `knows` ends).
    Knows,
    /// The member is being removed from the fleet; its leases have to end first.
    Leave,
}

/// A member that a change waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Wait {
    pub name: Name,
    /// The run; `None` for runs from before this leader's term.
    pub boot: Option<Boot>,
    pub what: WaitFor,
    /// The wait ends at this time of the leader's clock at the latest, even if the member stays silent.
    pub until: f64,
}

/// A member's view of the consensus, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub part: Part,
    pub term: Term,
    pub chair: Option<Name>,
    /// What this controller may act on.
    pub act: Act,
    /// The newest stage known here: a voter's from its log, a follower's from its lease.
    pub stage: Stage,
    /// The highest revision number ever proposed, as far as known here; zero on a follower without a lease.
    pub known: RevisionNo,
    /// On the leader: the members that a change waits for.
    pub waits: Vec<Wait>,
    /// The last index of a voter's log, and its commit index (`stands`).
    pub last: Place,
    pub stands: Place,
    pub voters: Vec<(Name, Option<Disk>)>,
    pub followers: usize,
    /// Number of refused messages, by cause.
    pub refused: BTreeMap<&'static str, u64>,
}
