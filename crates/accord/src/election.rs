//! Leader election. Raft's election with pre-votes, and with voters that refuse their vote while they have
//! contact with a leader (dissertation, 9.6 and 4.2.3), so that a member that returns from a partition
//! disturbs nobody.

use std::collections::BTreeMap;

use crate::{Accord, Bug, Disk, Lasting, Name, Output, Outputs, Place, Role, Said, Term};

/// Elections never reach a term this far above the own one: such a message is corrupted.
const MAX_TERMS_AHEAD: u64 = 1 << 32;

impl Accord {
    /// Whether this member votes: it is a voter according to its log and has a disk to store its votes on. A
    /// voter whose removal is not committed yet may still be needed as leader, since its log may be the
    /// longest (dissertation, 4.2.2).
    pub(crate) fn is_voting(&self) -> bool {
        let me = &self.settings.me;
        self.settings.disk.is_some() && (self.voters.contains(me) || self.committed.is_voter(me))
    }

    /// Restarts the election timeout. Each voter waits a different time, so that two rarely start an election
    /// at once.
    pub(crate) fn reset_election_timer(&mut self) {
        let random_fraction = self.random_fraction();
        self.election_deadline = self.now.plus(self.settings.election * (1.0 + random_fraction));
    }

    pub(crate) fn check_election(&mut self, out: &mut Outputs) {
        if self.now < self.election_deadline || matches!(self.role, Role::Leader(_)) || !self.is_voting() {
            return;
        }
        // A member that is shutting down would soon leave the fleet without a leader again.
        if self.shutdown.is_none() {
            self.request_votes(true, false, out);
        }
    }

    /// Requests votes. The first round is a pre-vote and binds nobody; the candidate starts a new term only
    /// if a quorum would vote for it.
    pub(crate) fn request_votes(&mut self, trial: bool, told: bool, out: &mut Outputs) {
        let Some(disk) = self.settings.disk else { return };
        self.reset_election_timer();
        let me = self.settings.me.clone();
        if !trial {
            self.term = Term(self.term.0 + 1);
            self.voted_for = Some(me.clone());
            self.persist_vote(out);
        }
        let term = Term(self.term.0 + u64::from(trial));
        let lengths = self.settings.lengths();
        let said = Said::AskVote { term, last: self.log.last(), trial, disk, lengths, told };
        self.role = Role::Candidate { trial, votes: BTreeMap::from([(me.clone(), disk)]) };
        for name in self.voters.everyone().filter(|name| **name != me) {
            self.send(name, said.clone(), out);
        }
        self.tally_votes(out);
    }

    fn tally_votes(&mut self, out: &mut Outputs) {
        match &self.role {
            Role::Candidate { trial, votes } if self.has_quorum(|name| votes.get(name).copied()) => {
                match trial {
                    true => self.request_votes(false, false, out),
                    false => self.become_leader(out),
                }
            }
            _ => {}
        }
    }

    pub(crate) fn persist_vote(&self, out: &mut Outputs) {
        out.outputs.push(Output::Last(Lasting::Vote { term: self.term, voted: self.voted_for.clone() }));
    }

    /// Moves to a higher term as follower, whatever this member's role was in its own term.
    pub(crate) fn adopt_term(&mut self, term: Term, out: &mut Outputs) {
        if term > self.term {
            (self.term, self.voted_for, self.transfer) = (term, None, None);
            self.persist_vote(out);
        }
        self.become_follower(None);
    }

    pub(crate) fn become_follower(&mut self, leader: Option<Name>) {
        if matches!(self.role, Role::Leader(_)) {
            self.reset_election_timer();
        }
        self.role = Role::Follower { leader };
    }

    pub(crate) fn is_plausible_term(&mut self, term: Term) -> bool {
        let within_range = term.0 < self.term.0.saturating_add(MAX_TERMS_AHEAD);
        if !within_range {
            self.refuse("term far ahead");
        }
        within_range
    }

    pub(crate) fn has_leader_contact(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.now < self.last_leader_contact.plus(self.settings.election)
    }

    pub(crate) fn on_vote_request(
        &mut self,
        from: Name,
        term: Term,
        last: (Term, Place),
        (trial, told): (bool, bool),
        out: &mut Outputs,
    ) {
        let Some(disk) = self.settings.disk else { return self.refuse("not a voter") };
        if !self.is_plausible_term(term) {
            return;
        }
        // A voter with contact with a leader grants no vote and keeps its term, so a candidate does not
        // replace a working leader, except for the candidate that the leader itself asked to take over.
        let told = told && !trial && term.0 == self.term.0.saturating_add(1);
        if term > self.term && self.has_leader_contact() && !told {
            return;
        }
        let log_is_current = last >= self.log.last();
        if trial {
            let given = term > self.term && log_is_current;
            let term = if given { term } else { self.term };
            return self.send(&from, Said::Vote { term, given, trial, disk }, out);
        }
        if term > self.term {
            self.adopt_term(term, out);
        }
        let vote_available =
            self.voted_for.as_ref().is_none_or(|voted| *voted == from) || self.has_bug(Bug::VotesTwice);
        let given =
            term == self.term && vote_available && log_is_current && !matches!(self.role, Role::Leader(_));
        if given {
            if self.voted_for.as_ref() != Some(&from) {
                self.voted_for = Some(from.clone());
                self.persist_vote(out);
            }
            self.reset_election_timer();
        }
        self.send(&from, Said::Vote { term: self.term, given, trial, disk }, out);
    }

    pub(crate) fn on_vote(
        &mut self,
        from: Name,
        term: Term,
        given: bool,
        trial: bool,
        disk: Disk,
        out: &mut Outputs,
    ) {
        if !self.is_plausible_term(term) {
            return;
        }
        if !given {
            if term > self.term {
                self.adopt_term(term, out);
            }
            return;
        }
        let asked_term = Term(self.term.0 + u64::from(trial));
        match &mut self.role {
            Role::Candidate { trial: asked_trial, votes } if *asked_trial == trial && term == asked_term => {
                votes.insert(from, disk);
            }
            _ => return,
        }
        self.tally_votes(out);
    }
}
