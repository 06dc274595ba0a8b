//! The settings of a member at process start, and their validation.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use sha2::{Digest as _, Sha256};

use crate::{Boot, Disk, FleetId, Kept, Length, Lengths, Name, Turned, Wanted};

/// A limit on the number of voters: with few voters a majority answers quickly. Raft clusters have 3, 5 or 7.
pub const MOST_VOTERS: usize = 7;
/// The clocks of two working machines never drift apart by a tenth.
const MAX_DRIFT: f64 = 0.1;
/// One lost heartbeat must not cause an election.
const MIN_BEATS_PER_ELECTION: f64 = 3.0;
/// A missing leader is noticed after at most twice the election timeout, and the next one has to be elected
/// before the leases end.
const MIN_ELECTIONS_PER_LEASE: f64 = 2.5;

/// The settings of a member at process start.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    pub fleet: FleetId,
    pub me: Name,
    /// Drawn at random at each process start.
    pub boot: Boot,
    /// The ID of a voter's disk; drawn at random when its folder was empty, and kept in the folder from then
    /// on.
    pub disk: Option<Disk>,
    /// The initial voters. Once the fleet has been founded, the members are taken from the log.
    pub voters: Vec<Name>,
    pub followers: Vec<Name>,
    pub length: Length,
    /// The maximum relative drift between any two members' clocks, e.g. 0.02.
    pub drift: f64,
    /// ms added to the drift, for rounding and for the time that reading the clock takes.
    pub slack: f64,
    /// ms after the end of a lease until no proxy has any order issued under it.
    pub linger: f64,
    /// ms without contact from a leader after which a voter starts an election; each voter waits up to twice
    /// as long, at random.
    pub election: f64,
    /// ms between a leader's heartbeats.
    pub beat: f64,
    /// ms within which all running controllers have to have checked a revision.
    pub check_within: f64,
    /// Seed of the deterministic random generator.
    pub seed: u64,
}

/// Why settings or stored state are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("the fleet has no voter")]
    NoVoters,
    #[error("the fleet has {0} voters, more than {most}", most = MOST_VOTERS)]
    TooManyVoters(usize),
    #[error("this controller, {0}, is not among the members")]
    NotNamed(Name),
    #[error("a member has an empty name")]
    NoName,
    #[error("the member {0} is listed twice")]
    NamedTwice(Name),
    #[error("{0} is a voter without a disk")]
    NoDisk(Name),
    #[error("the disk is {found:?}, but its content was written on {kept:?}")]
    OtherDisk { found: Option<Disk>, kept: Disk },
    #[error("the log on the disk has a gap or a decreasing term at entry {0}")]
    Torn(u64),
    #[error("{what} is {value}, but has to be a number of at least {least}")]
    Number { what: &'static str, value: f64, least: f64 },
    #[error("drift is {0}, outside 0 to {most}", most = MAX_DRIFT)]
    Drift(f64),
    #[error("election is {election} ms, under {n} beats of {beat} ms", n = MIN_BEATS_PER_ELECTION)]
    ElectionShort { election: f64, beat: f64 },
    #[error("acts is {acts} ms, under {n} elections of {election} ms", n = MIN_ELECTIONS_PER_LEASE)]
    ActsShort { acts: f64, election: f64 },
    #[error("knows is {knows} ms, less than acts, {acts} ms")]
    KnowsShort { knows: f64, acts: f64 },
}

impl Unfit {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Unfit::NoVoters => "name 1, 3 or 5 voters",
            Unfit::TooManyVoters(_) => "make the others followers: they act on the policy as well",
            Unfit::NotNamed(_) => "add this controller to the voters or followers, or correct its name",
            Unfit::NoName => "give each member a name",
            Unfit::NamedTwice(_) => "give each member a name of its own, and list it once",
            Unfit::NoDisk(_) => "give the voter a folder that outlives its process, or make it a follower",
            Unfit::OtherDisk { .. } => {
                "give each voter a folder of its own; if this one was copied, empty it"
            }
            Unfit::Torn(_) => {
                "move the folder away and start with an empty one: the fleet admits the voter again"
            }
            Unfit::Number { .. } => "set it to a finite time of at least that value",
            Unfit::Drift(_) => {
                "set the largest drift between clocks, such as 0.02; repair clocks that need more"
            }
            Unfit::ElectionShort { .. } => "shorten the beat, or lengthen the election timeout",
            Unfit::ActsShort { .. } => "lengthen the leases, or shorten the election timeout",
            Unfit::KnowsShort { .. } => "make `knows` at least as long as `acts`",
        }
    }
}

/// Checks whether a fleet can have these members.
pub(crate) fn check_members(voters: &[Name], followers: &[Name]) -> Result<(), Unfit> {
    if voters.is_empty() {
        return Err(Unfit::NoVoters);
    }
    if voters.len() > MOST_VOTERS {
        return Err(Unfit::TooManyVoters(voters.len()));
    }
    let mut seen = BTreeSet::new();
    for name in voters.iter().chain(followers) {
        if name.0.is_empty() {
            return Err(Unfit::NoName);
        }
        if !seen.insert(name) {
            return Err(Unfit::NamedTwice(name.clone()));
        }
    }
    Ok(())
}

impl Facts {
    /// Checks the settings for values that are invalid or contradict each other.
    pub fn check(&self) -> Result<(), Unfit> {
        check_members(&self.voters, &self.followers)?;
        let voter = self.voters.contains(&self.me);
        if !voter && !self.followers.contains(&self.me) {
            return Err(Unfit::NotNamed(self.me.clone()));
        }
        if voter && self.disk.is_none_or(|disk| disk == Disk::NONE) {
            return Err(Unfit::NoDisk(self.me.clone()));
        }
        let Length { acts, knows } = self.length;
        for (what, value, least) in [
            ("acts", acts, 1.0),
            ("knows", knows, 1.0),
            ("slack", self.slack, 0.0),
            ("linger", self.linger, 0.0),
            ("election", self.election, 1.0),
            ("beat", self.beat, 1.0),
            ("check_within", self.check_within, 1.0),
        ] {
            if !value.is_finite() || value < least {
                return Err(Unfit::Number { what, value, least });
            }
        }
        if !(0.0..=MAX_DRIFT).contains(&self.drift) {
            return Err(Unfit::Drift(self.drift));
        }
        let (election, beat) = (self.election, self.beat);
        if election < MIN_BEATS_PER_ELECTION * beat {
            return Err(Unfit::ElectionShort { election, beat });
        }
        if acts < MIN_ELECTIONS_PER_LEASE * election {
            return Err(Unfit::ActsShort { acts, election });
        }
        match knows < acts {
            true => Err(Unfit::KnowsShort { knows, acts }),
            false => Ok(()),
        }
    }

    /// Checks the stored state: it has to be written on this disk, and its log has to have no gap and
    /// non-decreasing terms.
    pub(crate) fn check_stored(&self, stored: &Kept) -> Result<(), Unfit> {
        if let Some(written) = stored.disk {
            if self.disk != Some(written) {
                return Err(Unfit::OtherDisk { found: self.disk, kept: written });
            }
        }
        let mut term = stored.base.as_ref().map_or_else(Default::default, |((term, _), _)| *term);
        for (at, logged) in stored.entries.iter().enumerate() {
            if logged.term < term || logged.term > stored.term {
                return Err(Unfit::Torn(at as u64 + 1));
            }
            term = logged.term;
        }
        Ok(())
    }

    /// Checks whether a message's envelope names this fleet.
    pub fn same_fleet(&self, theirs: &FleetId) -> Result<(), Turned> {
        match *theirs == self.fleet {
            true => Ok(()),
            false => Err(Turned::OtherFleet { theirs: theirs.clone(), ours: self.fleet.clone() }),
        }
    }

    /// The digest of the lease settings that members compare; it is the same for the same numbers on every
    /// machine and in every version.
    pub fn lengths(&self) -> Lengths {
        let Length { acts, knows } = self.length;
        let mut all = Sha256::new();
        for part in [acts, knows, self.drift, self.slack, self.linger] {
            all.update(part.to_bits().to_be_bytes());
        }
        let digest: [u8; 32] = all.finalize().into();
        let first = digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Lengths(first.max(1))
    }

    /// Checks whether another member has the same lease settings.
    pub(crate) fn check_lengths(&self, theirs: Lengths) -> Result<(), Turned> {
        let ours = self.lengths();
        match theirs == ours {
            true => Ok(()),
            false => Err(Turned::OtherLengths { theirs, ours }),
        }
    }

    /// How long a leader waits for the linger, in ms of its clock, which may run fast.
    pub(crate) fn linger_bound(&self) -> f64 {
        self.linger * (1.0 + self.drift)
    }

    /// How long the leader counts a lease that its holder counts as `length` ms.
    pub(crate) fn granted_ms(&self, length: f64) -> f64 {
        length * (1.0 + self.drift) + self.slack
    }
}

impl Wanted {
    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.voters.iter().chain(&self.followers)
    }
}

/// The settings never change during a run, so the identity of the run stands for all of them.
impl Hash for Facts {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.me, self.boot, self.disk).hash(state);
    }
}
