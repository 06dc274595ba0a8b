//! The types of the protocol: members, revisions, stages, leases, and every message between members.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A member's name from the operator's file; it is the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(pub Arc<str>);

/// The fleet that a member belongs to. Messages of another fleet are refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FleetId(pub Arc<str>);

/// Identifies one run of a member's process (its incarnation); drawn at random at process start.
/// Distinguishes two processes that run under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Boot(pub u64);

/// Identifies a voter's disk; drawn at random when its empty folder is first used. A voter on a disk other
/// than the one the fleet knows has lost the votes and entries that it acknowledged: it may not vote until a
/// membership change admits the new disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Disk(pub u64);

impl Disk {
    /// A value that is never drawn. The fleet records it for a voter whose disk was rolled back to an older
    /// copy, until that voter is admitted again.
    pub const NONE: Disk = Disk(0);
}

/// A Raft term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// An index in the log, starting at 1; 0 is the position before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place(pub u64);

/// The number that an operator assigns to a revision; it must be higher than every number proposed before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNo(pub u64);

/// SHA-256 over a revision's text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    pub fn of(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(name: &str) -> Name {
        Name(name.into())
    }
}

/// One complete policy as it was proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    pub no: RevisionNo,
    pub digest: Digest,
    pub text: Arc<str>,
}

/// Number of a stage: the log index of the entry that created it. Zero means that nothing was ever staged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageNo(pub u64);

/// The revisions that every controller with a lease under this stage has to comply with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Holds {
    /// No revision was ever in force: nothing is governed.
    #[default]
    Nothing,
    Alone(RevisionNo),
    /// Orders have to satisfy both revisions; if there is no old one, only the new one.
    Joint {
        old: Option<RevisionNo>,
        new: RevisionNo,
    },
}

/// The revisions in force in the fleet, and the one proposed next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stage {
    pub no: StageNo,
    pub holds: Holds,
    /// Proposed and not joint yet. While a lease of this stage runs it may become joint, but it does not come
    /// into force alone.
    pub staged: Option<RevisionNo>,
}

/// Length of a lease: how long a controller may act on a stage after it requested the lease, in ms of its own
/// clock. `knows` is the longer period: until it ends the fleet goes no further than this stage and the
/// revision staged in it, so orders that satisfy both are still safe.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Length {
    pub acts: f64,
    pub knows: f64,
}

/// Why a proposal was refused, or a revision withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    #[error("the number of revision {asked:?} is not above the last known one, {known:?}")]
    NotAbove { asked: RevisionNo, known: RevisionNo },
    #[error("another change is in progress: revision {winner:?} ({digest})")]
    Taken { winner: RevisionNo, digest: Digest },
    #[error("controller {by} can't use the revision: {why}")]
    Unfit { by: Name, why: Arc<str> },
    #[error("not all controllers checked the revision in time; missing: {missing}")]
    Unchecked { missing: Arc<str> },
    #[error("no leader could be reached in time; the proposal may still be accepted")]
    Unsure,
    #[error("an operator withdrew the revision")]
    Withdrawn,
    #[error("revision {no:?} is not in progress, or is already in force")]
    Past { no: RevisionNo },
    #[error("the text of revision {no:?} does not match its digest")]
    Spoilt { no: RevisionNo },
    #[error("the text of revision {no:?} has {bytes} bytes, more than the limit of {most}")]
    Huge { no: RevisionNo, bytes: usize, most: usize },
    #[error("invalid list of fleet members: {why}")]
    Misnamed { why: Arc<str> },
    #[error("{name} is not a member of the fleet")]
    Outside { name: Name },
}

impl Refusal {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Refusal::NotAbove { .. } => "propose it again under a number above the last known one",
            Refusal::Taken { .. } => "wait until that change is in force or withdrawn, then propose again",
            Refusal::Unfit { .. } => "fix what the controller reports; `amberarch check` finds the place",
            Refusal::Unchecked { .. } => {
                "start or remove the controllers listed as missing, then propose it again"
            }
            Refusal::Unsure => "check the stage in the counters before proposing it again",
            Refusal::Withdrawn => "propose it again under a higher number if it is still wanted",
            Refusal::Past { .. } => {
                "check the stage in the counters; to go back, propose the old policy under a new number"
            }
            Refusal::Spoilt { .. } => {
                "propose it again; if the error repeats, check the network between the controllers"
            }
            Refusal::Huge { .. } => "shorten the policy: name groups instead of individual entries",
            Refusal::Misnamed { .. } => "correct the members in the operator's file, then reload it",
            Refusal::Outside { .. } => {
                "add this controller to the fleet's members, in the file of a controller that is a member"
            }
        }
    }
}

/// A digest of all settings from which the end of a lease is computed: `acts`, `knows`, drift, slack and
/// linger. Members with different settings can't rely on each other's lease ends. Zero is never a valid
/// digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lengths(pub u64);

impl fmt::Display for Lengths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why a controller is refused a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Turned {
    #[error("{name} is not a member of the fleet, or is being removed from it")]
    NotMember { name: Name },
    #[error("another process under the name {name} has sent messages since this one")]
    NameTwice { name: Name },
    #[error("it belongs to the fleet {theirs:?}, but this fleet is {ours:?}")]
    OtherFleet { theirs: FleetId, ours: FleetId },
    #[error("its lease settings ({theirs}) differ from the leader's ({ours})")]
    OtherLengths { theirs: Lengths, ours: Lengths },
}

impl Turned {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Turned::NotMember { .. } => "add it to the fleet's members and reload that file, or stop it",
            Turned::NameTwice { .. } => {
                "two controllers run under one name: stop one, or give it a name of its own"
            }
            Turned::OtherFleet { .. } => {
                "set the same fleet in both files, or remove the peer's address from one of them"
            }
            Turned::OtherLengths { .. } => {
                "set the same lease, drift, slack and linger in all members' files, and make no change \
                 until the longer leases have ended"
            }
        }
    }
}

/// An entry of the Raft log; it takes effect once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// The first entry of the log: the initial members, from the settings of the first leader. Their disks
    /// are not known yet, so all voters have to acknowledge the entry.
    Founded {
        voters: Vec<Name>,
        followers: Vec<Name>,
    },
    /// The no-op entry at the start of a leader's term; committing it commits the entries of earlier terms
    /// too.
    Begun,
    /// A revision is proposed; every controller is asked for its verdict.
    Proposed {
        revision: Revision,
        by: Name,
    },
    /// All controllers that hold a lease have received the revision and can use it.
    Joint(RevisionNo),
    /// No controller can act on the old revision alone any more.
    InForce(RevisionNo),
    Withdrawn {
        no: RevisionNo,
        why: Refusal,
    },
    /// The membership that an operator wants; the leader reaches it by one membership change after the other.
    Wanted(Wanted),
    /// One member is added, removed, or changes between voter and follower; never more than one member at a
    /// time.
    Members(MemberChange),
}

/// The members named in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wanted {
    pub voters: Vec<Name>,
    pub followers: Vec<Name>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberChange {
    /// The member holds leases and does not vote; a member that is to become a voter also receives the log.
    Follows {
        name: Name,
    },
    /// The member has caught up and votes from now on, with this disk.
    Votes {
        name: Name,
        disk: Disk,
    },
    Leaves {
        name: Name,
    },
}

/// A log entry with the term of the leader that appended it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Logged {
    pub term: Term,
    pub entry: Entry,
}

/// A message from one member to another. The sender (`from`) and the fleet are part of the envelope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// A request for a vote. With `trial` it is a pre-vote: it asks whether a vote would be granted and binds
    /// nobody, so a member that was partitioned does not disturb a working leader.
    AskVote {
        term: Term,
        last: (Term, Place),
        trial: bool,
        disk: Disk,
        /// A voter refuses its vote to a candidate whose lease settings differ from its own.
        lengths: Lengths,
        /// The leader of the previous term asked the candidate to take over: voters that still have contact
        /// with that leader grant their vote all the same.
        told: bool,
    },
    Vote {
        term: Term,
        given: bool,
        trial: bool,
        disk: Disk,
    },
    /// Log entries that follow `after`; without entries it serves as a heartbeat.
    Append {
        term: Term,
        round: u64,
        after: (Term, Place),
        entries: Vec<Logged>,
        stands: Place,
    },
    /// Answer to `Append` and `Base`: the index up to which the logs match, or on a mismatch the index to
    /// retry at.
    Appended {
        term: Term,
        round: u64,
        agrees: Result<Place, Place>,
        /// An acknowledgement from a disk other than the known one counts only if all voters acknowledge.
        disk: Disk,
    },
    /// The committed state at an index (a snapshot), for a member whose log is too far behind.
    Base {
        term: Term,
        round: u64,
        at: (Term, Place),
        base: Box<Base>,
    },
    /// A controller requests a lease; it reports the stage it acts on, whether its proxies have confirmed
    /// that stage, and its verdict on the staged revision.
    AskLease(AskLease),
    Lease {
        asked: u64,
        term: Term,
        stage: Stage,
        length: Length,
        /// Texts of revisions of the stage that the requester does not have.
        texts: Vec<Revision>,
        /// The voters, to be asked if this leader does not answer any more.
        voters: Vec<Name>,
    },
    /// The receiver of a request is not the leader; it names the leader it knows.
    NotChair {
        asked: u64,
        chair: Option<Name>,
    },
    /// The request is refused: this run gets no lease.
    Turned {
        asked: u64,
        boot: Boot,
        why: Turned,
    },
    /// The stage has changed: request a lease now instead of at the next regular time.
    Heed {
        term: Term,
        stage: StageNo,
    },
    /// This run is shutting down gracefully: it issues no orders any more and never will again. Addressed to
    /// the leader of that term only: what a run states about earlier runs is valid only at a leader that was
    /// elected before the statement was made.
    LetGo {
        term: Term,
        /// The same data as in a lease request, from the same counter; `stage` and `settled` are those of the
        /// run's last order.
        last: AskLease,
    },
    /// Answer to `LetGo`. With `taken` false the leader is of another term, and the run has to send it again
    /// for that term.
    LetGone {
        asked: u64,
        boot: Boot,
        term: Term,
        taken: bool,
    },
    /// The leader of this term is shutting down gracefully and grants no leases any more; the receiver, whose
    /// log is complete, has to start an election at once (Raft's leadership transfer; dissertation, 3.10).
    Stand {
        term: Term,
        /// The members that may still hold a lease, of all leases granted until this leader stopped granting.
        leases: Vec<Ends>,
    },
    /// An operator's proposal, forwarded to the leader by the controller that received it; `id` counts the
    /// proposals of this run. Addressed to the leader of that term only: a proposal that was already answered
    /// and arrives again late, or at another leader, must not be taken for a new one.
    Wish {
        id: u64,
        boot: Boot,
        term: Term,
        wish: Wish,
    },
    Answer {
        id: u64,
        boot: Boot,
        outcome: Result<StageNo, Refusal>,
    },
}

/// When the leader considers the leases of one run of a member to be over, in ms from now by its own clock;
/// negative if they are over already. Each member has one record without a run, which covers all runs that
/// the leader has received nothing from. The run heard last comes last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    pub name: Name,
    pub boot: Option<Boot>,
    pub acts: f64,
    pub knows: f64,
    /// The run has stated that it issues no orders any more.
    pub gone: bool,
}

/// A proposal of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Wish {
    Revision(Revision),
    /// Withdraws a revision that is not in force yet.
    Withdraw(RevisionNo),
    Members(Wanted),
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AskLease {
    /// Counts the requests of this run; an answer carries the number of the request that it answers.
    pub asked: u64,
    pub boot: Boot,
    pub disk: Option<Disk>,
    /// The stage that the requester acts on.
    pub stage: StageNo,
    /// True if no proxy has any order of this run that the stage forbids, and no proxy that may have had one
    /// left this controller less than the linger ago.
    pub settled: bool,
    pub verdict: Option<(RevisionNo, Digest, Result<(), Arc<str>>)>,
    /// The requester can't use a revision in force, so it acts on nothing. It asks for the stage only and
    /// gets no lease: with a lease, every change would wait for it to settle on a stage that it can't use.
    pub barred: bool,
    /// The revisions whose text the requester already has.
    pub has: Vec<(RevisionNo, Digest)>,
    /// How long ago, in ms, this run got its first lease; zero if it never had one. Earlier runs of the
    /// member had ended by then, so a new leader counts their leases from that time at the latest.
    pub leased: f64,
    pub lengths: Lengths,
}

/// The state that results from applying the log up to an index; the content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Base {
    pub stage: Stage,
    /// The highest revision number ever proposed.
    pub known: RevisionNo,
    /// The revisions that the stage refers to.
    pub texts: Vec<Revision>,
    pub voters: Vec<(Name, Option<Disk>)>,
    pub followers: Vec<Name>,
    pub wanted: Option<Wanted>,
    /// The stage at which the pending revision, or else the last one, was proposed. A controller that has
    /// taken up this stage or a later one knows of that revision.
    pub proposed: StageNo,
    /// Outcomes of the last revisions, oldest first, for an operator that sends a proposal again.
    pub ended: Vec<Ended>,
}

/// The outcome of a revision: the stage at which it came into force, or why it did not.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    pub no: RevisionNo,
    pub digest: Digest,
    pub outcome: Result<StageNo, Refusal>,
}

/// A record that the embedding process has to persist, in order, before it carries out any output after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Lasting {
    /// The current term and the candidate that this voter voted for in it.
    Vote { term: Term, voted: Option<Name> },
    /// Log entries from this index on; they replace any entries from there on.
    Entries { from: Place, entries: Vec<Logged> },
    /// A snapshot that replaces the log up to this index.
    Base { at: (Term, Place), base: Box<Base> },
}

/// The persisted state that a voter's disk held at process start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    pub disk: Option<Disk>,
    pub term: Term,
    pub voted: Option<Name>,
    pub base: Option<((Term, Place), Base)>,
    pub entries: Vec<Logged>,
}

/// What a controller may act on right now.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Act on this stage, until that time of its own clock.
    On { stage: Stage, until: f64 },
    /// The lease is over, but what may be in force is still known: until that time, orders have to satisfy
    /// every revision of the stage.
    Within { stage: Stage, until: f64 },
    /// It is not known what is in force: requests of governed request classes are rejected at once.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Heard {
        from: Name,
        said: Said,
    },
    /// Only time has passed; to be passed in when [`crate::Accord::due`] says so.
    Tick,
    /// An operator's proposal made at this member: a revision, a withdrawal, or a membership. It is answered
    /// under the same `id`, at the latest when its outcome can't be determined any more.
    Wish {
        id: u64,
        wish: Wish,
    },
    /// The embedding process has checked the revision of an [`Output::Check`].
    Checked {
        no: RevisionNo,
        digest: Digest,
        verdict: Result<(), Arc<str>>,
    },
    /// Whether all proxies have confirmed that they hold nothing outside this stage; passed in when it
    /// changes.
    Settled {
        stage: StageNo,
        settled: bool,
    },
    /// The process is shutting down gracefully, and the embedding process guarantees that no order leaves any
    /// more; only then may this be passed in. Answered by [`Output::Gone`] once nothing waits for this run; a
    /// process that can't wait for that exits all the same.
    LetGo,
}

/// The outputs have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Last(Lasting),
    Send {
        to: Name,
        said: Said,
    },
    /// Compile the revision and report the result with [`Input::Checked`].
    Check(Revision),
    /// What this controller may act on has changed. `texts` has the revisions that the stage refers to.
    Act {
        act: Act,
        texts: Vec<Revision>,
    },
    /// The outcome of a proposal made at this member: success, or the reason why it was refused.
    Answer {
        id: u64,
        outcome: Result<StageNo, Refusal>,
    },
    /// Follows [`Input::LetGo`]: the leader has acknowledged it, or leadership was handed over if this member
    /// was the leader.
    Gone,
    /// A line for the operators' log.
    Log(String),
}
