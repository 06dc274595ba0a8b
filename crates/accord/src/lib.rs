//! Consensus on the fleet's policy: a change of policy takes effect on every controller or on none. The crate
//! is sans-I/O: incoming messages and the time are passed in; records to persist, messages to send and what
//! this controller may act on are returned, to be carried out in that order. The protocol follows Raft
//! (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, and Ongaro's
//! dissertation for single-server membership changes), with staged changes and leases on top;
//! `docs/fleet-policy.md` has the proof.
//!
//! It never reads a clock, never touches a socket or a disk, and never lets a controller act past its lease.

mod bugs;
mod chair;
mod copying;
mod election;
mod ending;
mod facts;
mod folded;
mod grants;
mod holder;
mod log;
mod members;
mod questions;
mod stages;
mod standing;
mod status;
mod time;
mod types;
mod voters;
mod wishes;

use std::collections::{BTreeMap, VecDeque};

pub use bugs::Bug;
pub use facts::{Facts, Unfit, MOST_VOTERS};
pub use folded::Fold;
pub use status::{Part, Status, Wait, WaitFor};
pub use types::*;

use chair::Leader;
use ending::{Shutdown, Transfer};
use holder::LeaseHolder;
use log::Log;
use time::{random_fraction, Ms};
use voters::Voters;
use wishes::OwnProposal;

/// The consensus state machine of one member. It is deterministic: the same inputs at the same times give the
/// same outputs.
#[derive(Clone, Debug, Hash)]
pub struct Accord {
    settings: Facts,
    /// The latest time passed in; it never goes backwards.
    now: Ms,
    term: Term,
    voted_for: Option<Name>,
    log: Log,
    /// Index up to which the log is committed; `committed` is the state that results from applying the log up
    /// to this index.
    commit_index: Place,
    committed: Base,
    voters: Voters,
    role: Role,
    /// When a message of a leader last arrived. Initialized to the start time, since a leader may have sent
    /// one just before.
    last_leader_contact: Ms,
    /// When this voter starts an election unless a leader contacts it before.
    election_deadline: Ms,
    /// Number of random values drawn so far; input of the deterministic generator.
    random_draws: u64,
    /// Replaces each random value by the middle of its range.
    fixed_jitter: bool,
    lease_holder: LeaseHolder,
    own_proposals: BTreeMap<u64, OwnProposal>,
    refused: BTreeMap<&'static str, u64>,
    /// Set once and never cleared: this run is shutting down gracefully.
    shutdown: Option<Shutdown>,
    /// Received from a leader that asked this voter to take over leadership.
    transfer: Option<Transfer>,
    bug: Option<Bug>,
}

/// The Raft role of this member.
#[derive(Clone, Debug, Hash)]
enum Role {
    Follower { leader: Option<Name> },
    Candidate { trial: bool, votes: BTreeMap<Name, Disk> },
    Leader(Box<Leader>),
}

/// Outputs of one call, in order; messages of this member to itself are processed inside the call.
#[derive(Default)]
struct Outputs {
    outputs: Vec<Output>,
    to_self: VecDeque<Said>,
}

impl Accord {
    /// Creates the state machine at process start. `kept` is what the disk held if this member is or was a
    /// voter, `Kept::default()` otherwise.
    pub fn new(now: f64, facts: Facts, kept: Kept) -> Result<Accord, Unfit> {
        facts.check()?;
        facts.check_stored(&kept)?;
        let (base, committed) = kept.base.unwrap_or_else(|| {
            let voters = facts.voters.iter().map(|name| (name.clone(), None)).collect();
            let followers = facts.followers.clone();
            (Default::default(), Base { voters, followers, ..Base::default() })
        });
        let now = Ms(if now.is_finite() { now } else { 0.0 });
        let mut accord = Accord {
            now,
            term: kept.term.max(base.0),
            voted_for: kept.voted,
            log: Log::new(base, kept.entries),
            commit_index: base.1,
            committed,
            voters: Voters::default(),
            role: Role::Follower { leader: None },
            last_leader_contact: now,
            election_deadline: now,
            random_draws: 0,
            fixed_jitter: false,
            lease_holder: LeaseHolder::new(now, &facts),
            own_proposals: BTreeMap::new(),
            refused: BTreeMap::new(),
            shutdown: None,
            transfer: None,
            bug: None,
            settings: facts,
        };
        accord.recompute_voters();
        accord.reset_election_timer();
        Ok(accord)
    }

    #[cfg(feature = "seeded-bugs")]
    /// The same state machine with one seeded fault, for a test explorer to find.
    pub fn with_bug(mut self, bug: Bug) -> Accord {
        self.bug = Some(bug);
        self
    }

    /// The same state machine without randomness: each random value is the middle of its range. Used by the
    /// explorer, which itself tries timers that are due at the same time in every order.
    pub fn evenly(mut self) -> Accord {
        self.fixed_jitter = true;
        self.reset_election_timer();
        self
    }

    /// The leader that this voter follows, as long as nothing makes it start an election: its lease requests
    /// and proposals go to that leader.
    pub fn keeps_to(&self, now: f64) -> Option<&Name> {
        match &self.role {
            Role::Follower { leader }
                if Ms(now) < self.last_leader_contact.plus(self.settings.election)
                    && Ms(now) < self.election_deadline =>
            {
                leader.as_ref()
            }
            _ => None,
        }
    }

    /// Whether a fault is seeded; always false without the feature `seeded-bugs`.
    fn has_bug(&self, bug: Bug) -> bool {
        cfg!(feature = "seeded-bugs") && self.bug == Some(bug)
    }

    /// Processes one input. The outputs have to be carried out in their order: no message may be sent before
    /// the records ahead of it in the list are persisted.
    pub fn handle(&mut self, now: f64, input: Input) -> Vec<Output> {
        if now.is_finite() {
            let before = self.now;
            self.now = before.max(Ms(now));
            self.discount_clock_gap(before);
        }
        let mut out = Outputs::default();
        match input {
            Input::Tick => {}
            // A message from outside that carries this member's own name: another process under the same
            // name, or an echo.
            Input::Heard { from, .. } if from == self.settings.me => self.refuse("own name"),
            Input::Heard { from, said } => self.receive(from, said, &mut out),
            Input::Wish { id, wish } => self.propose(id, wish, &mut out),
            Input::Checked { no, digest, verdict } => self.on_checked(no, digest, verdict, &mut out),
            Input::Settled { stage, settled } => self.on_settled(stage, settled),
            Input::LetGo => self.begin_shutdown(&mut out),
        }
        self.advance(&mut out);
        while let Some(said) = out.to_self.pop_front() {
            self.receive(self.settings.me.clone(), said, &mut out);
            self.advance(&mut out);
        }
        self.report_act(&mut out);
        out.outputs
    }

    /// Performs everything that is due at the current time or because of a state change; does nothing
    /// otherwise.
    fn advance(&mut self, out: &mut Outputs) {
        self.check_election(out);
        self.run_leader(out);
        self.send_proposals(out);
        self.renew_lease(out);
    }

    fn receive(&mut self, from: Name, said: Said, out: &mut Outputs) {
        match said {
            Said::AskVote { term, last, trial, disk: _, lengths, told } => {
                if self.settings.check_lengths(lengths).is_err() {
                    return self.refuse("other lengths");
                }
                self.on_vote_request(from, term, last, (trial, told), out)
            }
            Said::Vote { term, given, trial, disk } => self.on_vote(from, term, given, trial, disk, out),
            Said::Append { term, round, after, entries, stands } => {
                self.on_append(from, (term, round), after, entries, stands, out)
            }
            Said::Appended { term, round, agrees, disk } => {
                self.on_appended(from, (term, round), agrees, disk, out)
            }
            Said::Base { term, round, at, base } => self.on_snapshot(from, (term, round), at, *base, out),
            Said::AskLease(question) => self.on_lease_request(from, question, out),
            Said::Lease { asked, term, stage, length, texts, voters } => {
                self.on_lease(from, (asked, term), stage, length, texts, voters, out)
            }
            Said::NotChair { asked, chair } => self.on_not_leader(from, asked, chair),
            Said::Turned { asked, boot, why } => self.on_lease_refused(asked, boot, why, out),
            Said::Heed { term, stage } => self.on_stage_notice(from, term, stage),
            Said::LetGo { term, last } => self.on_release(from, term, last, out),
            Said::LetGone { asked, boot, term, taken } if boot == self.settings.boot => {
                self.on_release_ack(from, (asked, term), taken, out)
            }
            Said::LetGone { .. } => self.refuse("old answer"),
            Said::Stand { term, leases } => self.on_transfer(from, term, leases, out),
            Said::Wish { id, boot, term, wish } => self.on_proposal(from, (id, boot), term, wish, out),
            Said::Answer { id, boot, outcome } => self.on_proposal_result(id, boot, outcome, out),
        }
    }

    /// When [`Input::Tick`] has to be passed in at the latest, in ms of this member's clock.
    pub fn due(&self) -> f64 {
        let election = match self.role {
            Role::Leader(_) => Ms::NEVER,
            _ if self.is_voting() && self.shutdown.is_none() => self.election_deadline,
            _ => Ms::NEVER,
        };
        election.min(self.leader_due()).min(self.lease_due()).min(self.proposals_due()).0
    }

    /// What this controller may act on at this time; checked before each order.
    pub fn act(&self, now: f64) -> Act {
        self.act_at(self.now.max(Ms(if now.is_nan() { f64::INFINITY } else { now })))
    }

    /// The settings that this member was created with.
    pub fn facts(&self) -> &Facts {
        &self.settings
    }

    /// The current term and the leader of that term, if this member knows it.
    pub fn chair(&self) -> (Term, Option<&Name>) {
        let leader = match &self.role {
            Role::Leader(_) => Some(&self.settings.me),
            Role::Follower { leader } => leader.as_ref(),
            Role::Candidate { .. } => None,
        };
        (self.term, leader)
    }

    /// The entry at `place` if it is committed and not yet compacted into the snapshot.
    pub fn stood(&self, place: Place) -> Option<&Logged> {
        self.log.get(place).filter(|_| place <= self.commit_index)
    }

    /// The commit index of this voter's log, and the committed state at that index.
    pub fn standing(&self) -> (Place, &Base) {
        (self.commit_index, &self.committed)
    }

    /// The state of this member at a time of its clock, for operators.
    pub fn status(&self, now: f64) -> Status {
        let part = match &self.role {
            Role::Leader(_) => Part::Chair,
            Role::Candidate { .. } => Part::Candidate,
            Role::Follower { .. } if self.is_voting() => Part::Voter,
            Role::Follower { .. } => Part::Follower,
        };
        let held = self.lease_holder.newest_stage();
        let logs = self.settings.disk.is_some();
        let waits = match &self.role {
            Role::Leader(leader) => self.leader_waits(leader),
            _ => vec![],
        };
        Status {
            part,
            term: self.term,
            chair: self.chair().1.or(self.lease_holder.leader()).cloned(),
            act: self.act(now),
            stage: if logs { self.committed.stage } else { held },
            known: match logs {
                true => self.committed.known,
                false => held.revisions().max().unwrap_or_default(),
            },
            waits,
            last: self.log.last().1,
            stands: self.commit_index,
            voters: self.committed.voters.clone(),
            followers: self.committed.followers.len(),
            refused: self.refused.clone(),
        }
    }

    /// Counts a refused message by its cause.
    fn refuse(&mut self, cause: &'static str) {
        *self.refused.entry(cause).or_default() += 1;
    }

    fn random_fraction(&mut self) -> f64 {
        if self.fixed_jitter {
            return 0.5;
        }
        self.random_draws += 1;
        random_fraction(self.settings.seed, &self.settings.me, self.random_draws)
    }

    /// Sends a message; a message to this member itself is processed within the same call.
    fn send(&self, to: &Name, said: Said, out: &mut Outputs) {
        match *to == self.settings.me {
            true => out.to_self.push_back(said),
            false => out.outputs.push(Output::Send { to: to.clone(), said }),
        }
    }
}
