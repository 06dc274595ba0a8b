//! Operators' proposals: they are sent to the leader until it answers, and the leader decides on them by the
//! committed state.

use crate::facts::check_members;
use crate::{
    Accord, Boot, Digest, Entry, Ms, Name, Output, Outputs, Refusal, Revision, RevisionNo, Role, Said,
    StageNo, Term, Wish,
};

/// A text with 10,000 tenants has about 1 MB; a message has to hold three texts.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Limit of proposals of one member that wait at the leader.
const MAX_PROPOSALS_PER_MEMBER: usize = 16;
/// Number of answered proposals whose answer the leader keeps; more than arrive while a message is under way.
const MAX_ANSWERED_KEPT: usize = 256;

pub(crate) type Outcome = Result<StageNo, Refusal>;

/// A proposal made at this member and not answered yet.
#[derive(Clone, Debug, Hash)]
pub(crate) struct OwnProposal {
    wish: Wish,
    pub since: Ms,
    pub next_due: Ms,
}

/// A proposal that this leader has not answered yet.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingProposal {
    boot: Boot,
    wish: Wish,
}

/// What the leader does with a proposal now.
enum Decision {
    Wait,
    Append(Entry),
    Done(Result<StageNo, Refusal>),
}

fn check_proposal(wish: &Wish) -> Result<(), Refusal> {
    let misnamed = |why: String| Refusal::Misnamed { why: why.into() };
    match wish {
        Wish::Revision(Revision { no, text, .. }) if text.len() > MAX_TEXT_BYTES => {
            Err(Refusal::Huge { no: *no, bytes: text.len(), most: MAX_TEXT_BYTES })
        }
        Wish::Revision(Revision { no, text, digest }) if Digest::of(text) != *digest => {
            Err(Refusal::Spoilt { no: *no })
        }
        Wish::Members(wanted) => check_members(&wanted.voters, &wanted.followers)
            .map_err(|unfit| misnamed(format!("{unfit}; {}", unfit.advice()))),
        _ => Ok(()),
    }
}

impl Accord {
    pub(crate) fn propose(&mut self, id: u64, wish: Wish, out: &mut Outputs) {
        match check_proposal(&wish) {
            Ok(()) => {
                drop(self.own_proposals.insert(id, OwnProposal { wish, since: self.now, next_due: self.now }))
            }
            Err(why) => out.outputs.push(Output::Answer { id, outcome: Err(why) }),
        }
    }

    /// Timeout of a proposal, in ms: an accepted change completes within this time if a majority of voters is
    /// up.
    fn proposal_timeout(&self) -> f64 {
        let leases = 2.0 * (self.settings.granted_ms(self.settings.length.knows) + self.settings.linger);
        self.settings.check_within + leases + 4.0 * self.settings.election
    }

    pub(crate) fn send_proposals(&mut self, out: &mut Outputs) {
        if self.own_proposals.is_empty() {
            return;
        }
        let (now, expired, retry_at) =
            (self.now, self.now.plus(-self.proposal_timeout()), self.now.plus(self.retry_interval()));
        self.own_proposals.retain(|id, own| {
            if own.since <= expired {
                out.outputs.push(Output::Answer { id: *id, outcome: Err(Refusal::Unsure) });
            }
            own.since > expired
        });
        let Some(leader) = self.leader_to_ask() else {
            self.own_proposals.values_mut().for_each(|own| own.next_due = own.next_due.max(retry_at));
            return;
        };
        let term = self.leader_term();
        let mut messages = vec![];
        for (id, own) in self.own_proposals.iter_mut().filter(|(_, own)| own.next_due <= now) {
            own.next_due = retry_at;
            messages.push(Said::Wish { id: *id, boot: self.settings.boot, term, wish: own.wish.clone() });
        }
        messages.into_iter().for_each(|message| self.send(&leader, message, out));
    }

    pub(crate) fn proposals_due(&self) -> Ms {
        let waits = self.proposal_timeout();
        self.own_proposals
            .values()
            .map(|own| own.next_due.min(own.since.plus(waits)))
            .fold(Ms::NEVER, Ms::min)
    }

    pub(crate) fn on_proposal_result(
        &mut self,
        id: u64,
        boot: Boot,
        outcome: Result<StageNo, Refusal>,
        out: &mut Outputs,
    ) {
        if boot == self.settings.boot && self.own_proposals.remove(&id).is_some() {
            out.outputs.push(Output::Answer { id, outcome });
        }
    }

    pub(crate) fn on_proposal(
        &mut self,
        from: Name,
        (id, boot): (u64, Boot),
        term: Term,
        wish: Wish,
        out: &mut Outputs,
    ) {
        let accepting = self.first_entry_committed() && term == self.term;
        let Role::Leader(leader) = &mut self.role else { return };
        // The members are known once the first entry of the term is committed; the proposal is sent again. A
        // leader that is shutting down accepts no proposals.
        if !accepting || self.shutdown.is_some() {
            return;
        }
        let key = (from.clone(), boot, id);
        if let Some((_, outcome)) = leader.answered.iter().find(|(which, _)| *which == key) {
            let outcome = outcome.clone();
            return self.send(&from, Said::Answer { id, boot, outcome }, out);
        }
        if let Err(why) = check_proposal(&wish) {
            return self.finish_proposal(key, Err(why), out);
        }
        let waiting = leader.proposals.range((from.clone(), 0)..=(from.clone(), u64::MAX)).count();
        if waiting < MAX_PROPOSALS_PER_MEMBER || leader.proposals.contains_key(&(from.clone(), id)) {
            leader.proposals.insert((from, id), PendingProposal { boot, wish });
        }
    }

    /// Answers the proposals that are decided, and appends the entry that the first of the others needs.
    /// Returns whether an entry was appended.
    pub(crate) fn process_proposals(&mut self, out: &mut Outputs) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        if leader.proposals.is_empty() {
            return false;
        }
        let mut write = None;
        let mut ended = vec![];
        for ((from, id), proposal) in &leader.proposals {
            match self.decide(from, &proposal.wish) {
                Decision::Wait => {}
                // Membership is checked only here: the proposal may have been accepted while the sender was a
                // member, and be in progress.
                Decision::Append(_) if !self.committed.is_member(from) => {
                    let outcome = Err(Refusal::Outside { name: from.clone() });
                    ended.push(((from.clone(), proposal.boot, *id), outcome));
                }
                Decision::Append(entry) => drop(write.get_or_insert(entry)),
                Decision::Done(outcome) => ended.push(((from.clone(), proposal.boot, *id), outcome)),
            }
        }
        for (key, outcome) in ended {
            self.finish_proposal(key, outcome, out);
        }
        match write {
            Some(entry) => self.append_entry(entry, out),
            None => return false,
        }
        true
    }

    /// Answers a proposal, once per term: every later copy of it gets the same answer.
    fn finish_proposal(&mut self, key: (Name, Boot, u64), outcome: Outcome, out: &mut Outputs) {
        let Role::Leader(leader) = &mut self.role else { return };
        let (from, boot, id) = key.clone();
        leader.proposals.remove(&(from.clone(), id));
        leader.answered.push_back((key, outcome.clone()));
        let excess = leader.answered.len().saturating_sub(MAX_ANSWERED_KEPT);
        leader.answered.drain(..excess);
        self.send(&from, Said::Answer { id, boot, outcome }, out);
    }

    fn decide(&self, by: &Name, wish: &Wish) -> Decision {
        match wish {
            Wish::Revision(revision) => self.decide_revision(by, revision),
            Wish::Withdraw(no) => self.decide_withdrawal(*no),
            Wish::Members(wanted) if self.committed.wanted.as_ref() == Some(wanted) => {
                Decision::Done(Ok(self.committed.stage.no))
            }
            Wish::Members(wanted) => {
                let in_flight = |entry: &Entry| matches!(entry, Entry::Wanted(_));
                let after = self.log.after(self.commit_index, usize::MAX);
                match after.iter().any(|logged| in_flight(&logged.entry)) {
                    true => Decision::Wait,
                    false => Decision::Append(Entry::Wanted(wanted.clone())),
                }
            }
        }
    }

    fn decide_revision(&self, by: &Name, revision: &Revision) -> Decision {
        let Revision { no, digest, .. } = revision;
        if let Some(ended) = self.committed.outcome_of(*no, *digest) {
            return Decision::Done(ended.outcome.clone());
        }
        let known = self.committed.known;
        match self.committed.pending_revision() {
            Some(other) if (other.no, other.digest) == (*no, *digest) => Decision::Wait,
            Some(other) => Decision::Done(Err(Refusal::Taken { winner: other.no, digest: other.digest })),
            None if *no <= known => Decision::Done(Err(Refusal::NotAbove { asked: *no, known })),
            None if self.stage_entry_in_flight() => Decision::Wait,
            None => Decision::Append(Entry::Proposed { revision: revision.clone(), by: by.clone() }),
        }
    }

    fn decide_withdrawal(&self, no: RevisionNo) -> Decision {
        let is_pending = self.committed.pending_revision().is_some_and(|revision| revision.no == no);
        let ended = self.committed.ended.iter().rev().find(|ended| ended.no == no);
        match (is_pending, ended.map(|ended| &ended.outcome)) {
            (true, _) if self.stage_entry_in_flight() => Decision::Wait,
            (true, _) => Decision::Append(Entry::Withdrawn { no, why: Refusal::Withdrawn }),
            (false, Some(Err(_))) => Decision::Done(Ok(self.committed.stage.no)),
            (false, _) => Decision::Done(Err(Refusal::Past { no })),
        }
    }
}
