//! Membership changes: members are added and removed, and voters with a new disk are admitted, after Ongaro's
//! dissertation, chapter 4. There is one change at a time, and none before the first entry of the leader's
//! term is committed.

use crate::chair::Leader;
use crate::copying::Peer;
use crate::{Accord, Disk, Entry, MemberChange, Name, Wait};

impl Accord {
    /// The next membership change towards the membership that operators want; `None` while an earlier change
    /// is not committed yet.
    pub(crate) fn next_member_change(&self, leader: &Leader) -> Option<Entry> {
        let in_flight = |entry: &Entry| matches!(entry, Entry::Members(_) | Entry::Founded { .. });
        if self.log.after(self.commit_index, usize::MAX).iter().any(|logged| in_flight(&logged.entry)) {
            return None;
        }
        self.rolled_back_voter(leader)
            .or_else(|| self.voter_to_admit(leader))
            .or_else(|| self.change_toward_wanted(leader))
            .map(Entry::Members)
    }

    /// A voter whose log is shorter than what it acknowledged before. The change makes every member ignore
    /// its acknowledgements, so that it is admitted like a voter with a new disk.
    fn rolled_back_voter(&self, leader: &Leader) -> Option<MemberChange> {
        let rolled_back = |(name, known): &&(Name, Option<Disk>)| {
            *known != Some(Disk::NONE) && leader.peers.get(name).is_some_and(|peer| peer.rolled_back)
        };
        let (name, _) = self.committed.voters.iter().find(rolled_back)?;
        Some(MemberChange::Votes { name: name.clone(), disk: Disk::NONE })
    }

    /// A voter on an unknown disk: when the fleet starts, or after it lost the known disk. It has to have
    /// caught up, and the run that requests leases has to use the same disk, so that two processes under one
    /// name don't replace each other in turns.
    fn voter_to_admit(&self, leader: &Leader) -> Option<MemberChange> {
        let voters = self.committed.voters.iter();
        voters.filter_map(|(name, known)| self.admit_if_caught_up(leader, name, *known)).next()
    }

    fn admit_if_caught_up(&self, leader: &Leader, name: &Name, known: Option<Disk>) -> Option<MemberChange> {
        let disk = match *name == self.settings.me {
            true => self.settings.disk,
            false => {
                let peer = leader
                    .peers
                    .get(name)
                    .filter(|peer| !peer.rolled_back && peer.match_index >= self.commit_index)?;
                peer.disk.filter(|disk| leader.leases.disk(name) == Some(*disk))
            }
        }?;
        (known != Some(disk)).then(|| MemberChange::Votes { name: name.clone(), disk })
    }

    fn change_toward_wanted(&self, leader: &Leader) -> Option<MemberChange> {
        let committed = &self.committed;
        let wanted = committed.wanted.as_ref().filter(|_| !leader.members_as_wanted)?;
        let follows = |name: &Name| MemberChange::Follows { name: name.clone() };
        // A member that is to vote is added as a follower first, and then receives the log.
        if let Some(name) = wanted.names().find(|name| !committed.is_member(name)) {
            return Some(follows(name));
        }
        let votes = wanted.voters.iter().filter(|name| !committed.is_voter(name));
        if let Some(change) = votes.filter_map(|name| self.admit_if_caught_up(leader, name, None)).next() {
            return Some(change);
        }
        // New voters are added before others are removed; this leader is removed last.
        if !wanted.voters.iter().all(|name| committed.is_voter(name)) {
            return None;
        }
        let demotable = |name: &&Name| {
            wanted.followers.contains(name)
                && committed.is_voter(name)
                && self.keeps_quorum_without(leader, name)
        };
        if let Some(name) = self.leader_last(committed.member_names().filter(demotable)) {
            return Some(follows(name));
        }
        let removable = |name: &&Name| {
            leader.leaving.contains(*name)
                && leader.leases.leave_wait(self.now, name, self.settings.linger_bound()).is_none()
                && self.keeps_quorum_without(leader, name)
        };
        let name = self.leader_last(committed.member_names().filter(removable))?;
        let others_leave = *name == self.settings.me && leader.leaving.iter().any(|other| other != name);
        (!others_leave).then(|| MemberChange::Leaves { name: name.clone() })
    }

    /// A voter is removed only while a majority of the remaining voters is reachable, on known disks. The
    /// change counts from the moment it is appended: if one of two remaining voters were on a new disk, no
    /// leader could ever be elected again.
    fn keeps_quorum_without(&self, leader: &Leader, name: &Name) -> bool {
        let left = self.committed.voters.iter().filter(|(voter, _)| voter != name);
        let reachable = |(voter, known): &&(Name, Option<Disk>)| {
            let disk = match *voter == self.settings.me {
                true => self.settings.disk,
                false => leader
                    .peers
                    .get(voter)
                    .filter(|peer| peer.last_contact >= self.recent_contact_cutoff())
                    .and_then(Peer::counted_disk),
            };
            known.is_some() && disk == *known
        };
        !self.committed.is_voter(name) || 2 * left.clone().filter(reachable).count() > left.count()
    }

    fn leader_last<'a>(&self, names: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
        names.min_by_key(|name| **name == self.settings.me)
    }

    pub(crate) fn leave_waits(&self, leader: &Leader) -> Vec<Wait> {
        leader
            .leaving
            .iter()
            .filter_map(|name| leader.leases.leave_wait(self.now, name, self.settings.linger_bound()))
            .collect()
    }
}
