//! The replicated state machine: applies committed log entries one by one to a [`Base`]. The result is the
//! same on every voter, whatever order messages arrived in; an entry that is not valid in the current state
//! changes nothing.

use std::collections::BTreeSet;

use crate::{
    Base, Digest, Ended, Entry, Holds, MemberChange, Name, Place, Refusal, Revision, RevisionNo, StageNo,
};

/// Outcomes of this many ended revisions are kept: an operator repeats a proposal within minutes.
const MAX_ENDED_KEPT: usize = 32;

impl Base {
    pub(crate) fn revision(&self, no: RevisionNo) -> Option<&Revision> {
        self.texts.iter().find(|revision| revision.no == no)
    }

    /// The revision that is proposed, and neither in force nor withdrawn.
    pub(crate) fn pending_revision(&self) -> Option<&Revision> {
        let no = match (self.stage.staged, self.stage.holds) {
            (Some(no), _) | (None, Holds::Joint { new: no, .. }) => no,
            _ => return None,
        };
        self.revision(no)
    }

    pub(crate) fn member_names(&self) -> impl Iterator<Item = &Name> {
        self.voters.iter().map(|(name, _)| name).chain(&self.followers)
    }

    pub(crate) fn is_voter(&self, name: &Name) -> bool {
        self.voters.iter().any(|(voter, _)| voter == name)
    }

    pub(crate) fn is_member(&self, name: &Name) -> bool {
        self.member_names().any(|member| member == name)
    }

    /// Whether the operators' file does not name this member any more.
    pub(crate) fn is_leaving(&self, name: &Name) -> bool {
        self.wanted.as_ref().is_some_and(|wanted| !wanted.names().any(|kept| kept == name))
    }

    /// Whether the membership is the one that operators want.
    pub(crate) fn members_as_wanted(&self) -> bool {
        let Some(wanted) = &self.wanted else { return true };
        let voters: BTreeSet<&Name> = self.voters.iter().map(|(name, _)| name).collect();
        let followers: BTreeSet<&Name> = self.followers.iter().collect();
        voters == wanted.voters.iter().collect() && followers == wanted.followers.iter().collect()
    }

    pub(crate) fn outcome_of(&self, no: RevisionNo, digest: Digest) -> Option<&Ended> {
        self.ended.iter().rev().find(|ended| ended.no == no && ended.digest == digest)
    }

    /// Applies one entry; returns whether it changed the stage.
    pub(crate) fn apply(&mut self, place: Place, entry: &Entry) -> bool {
        let before = self.stage;
        match entry {
            Entry::Begun => {}
            Entry::Founded { voters, followers } => {
                self.voters = voters.iter().map(|name| (name.clone(), None)).collect();
                self.followers = followers.clone();
            }
            Entry::Proposed { revision, .. } => self.propose(revision),
            Entry::Joint(no) if self.stage.staged == Some(*no) => {
                let old = match self.stage.holds {
                    Holds::Alone(old) => Some(old),
                    _ => None,
                };
                self.stage.holds = Holds::Joint { old, new: *no };
                self.stage.staged = None;
            }
            Entry::InForce(no) if matches!(self.stage.holds, Holds::Joint { new, .. } if new == *no) => {
                self.stage.holds = Holds::Alone(*no);
                self.finish(*no, Ok(StageNo(place.0)));
            }
            Entry::Withdrawn { no, why } => self.withdraw(*no, why),
            Entry::Wanted(wanted) => self.wanted = Some(wanted.clone()),
            Entry::Members(change) => self.apply_member_change(change),
            // The revision was withdrawn before, or is in force already.
            Entry::Joint(_) | Entry::InForce(_) => {}
        }
        let changed = (before.holds, before.staged) != (self.stage.holds, self.stage.staged);
        if changed {
            self.stage.no = StageNo(place.0);
            if matches!(entry, Entry::Proposed { .. }) {
                self.proposed = self.stage.no;
            }
        }
        changed
    }

    fn propose(&mut self, revision: &Revision) {
        if self.pending_revision().is_some() || revision.no <= self.known {
            return;
        }
        self.known = revision.no;
        self.stage.staged = Some(revision.no);
        self.texts.push(revision.clone());
    }

    fn withdraw(&mut self, no: RevisionNo, why: &Refusal) {
        match self.stage.holds {
            _ if self.stage.staged == Some(no) => self.stage.staged = None,
            Holds::Joint { old, new } if new == no => {
                self.stage.holds = old.map_or(Holds::Nothing, Holds::Alone);
            }
            _ => return,
        }
        self.finish(no, Err(why.clone()));
    }

    fn finish(&mut self, no: RevisionNo, outcome: Result<StageNo, Refusal>) {
        if let Some(digest) = self.revision(no).map(|revision| revision.digest) {
            self.ended.push(Ended { no, digest, outcome });
            let excess = self.ended.len().saturating_sub(MAX_ENDED_KEPT);
            self.ended.drain(..excess);
        }
        let stage = self.stage;
        self.texts.retain(|revision| stage.speaks_of(revision.no));
    }

    pub(crate) fn apply_member_change(&mut self, change: &MemberChange) {
        let name = match change {
            MemberChange::Follows { name } | MemberChange::Leaves { name } => name,
            MemberChange::Votes { name, disk } => {
                self.followers.retain(|member| member != name);
                match self.voters.iter_mut().find(|(voter, _)| voter == name) {
                    Some((_, known)) => *known = Some(*disk),
                    None => self.voters.push((name.clone(), Some(*disk))),
                }
                return;
            }
        };
        // The last voter is never removed: without a voter a fleet could never change again.
        if self.voters.len() == 1 && self.is_voter(name) {
            return;
        }
        self.voters.retain(|(voter, _)| voter != name);
        self.followers.retain(|member| member != name);
        if matches!(change, MemberChange::Follows { .. }) {
            self.followers.push(name.clone());
        }
    }
}

impl crate::Stage {
    /// The revisions in force, and the staged one.
    pub fn revisions(&self) -> impl Iterator<Item = RevisionNo> {
        let (old, new) = match self.holds {
            Holds::Nothing => (None, None),
            Holds::Alone(no) => (None, Some(no)),
            Holds::Joint { old, new } => (old, Some(new)),
        };
        [old, new, self.staged].into_iter().flatten()
    }

    pub fn speaks_of(&self, no: RevisionNo) -> bool {
        self.revisions().any(|named| named == no)
    }
}
