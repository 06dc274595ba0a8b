//! The leader: appends entries, advances the commit index, and confirms its leadership by rounds of messages
//! to its voters.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::copying::Peer;
use crate::grants::LeaseTable;
use crate::questions::LeaseRequest;
use crate::wishes::{Outcome, PendingProposal};
use crate::{Accord, Boot, Bug, Disk, Entry, Lasting, Logged, Ms, Name, Output, Outputs, Place, Role, Said};

/// In units of the minimum election timeout: a leader without contact with a majority for this long has
/// perhaps been replaced. It steps down, so that members partitioned with it are told so instead of waiting
/// for answers.
const QUORUM_CONTACT_ELECTIONS: f64 = 2.0;
/// Fraction of a heartbeat interval within which lease requests share a round.
const ROUND_BATCH_BEATS: f64 = 0.1;
/// In heartbeat intervals: a leader, which is called once per interval, takes a larger gap as a sign that the
/// process was stopped or its clock jumped.
const MAX_GAP_BEATS: f64 = 2.0;

/// The state that only a leader has.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Leader {
    /// Index of the first entry of the leader's term. Until it is committed, the leader does not know which
    /// earlier entries are.
    pub first_index: Place,
    pub peers: BTreeMap<Name, Peer>,
    /// The number of the last round begun, and when it began.
    pub round: u64,
    pub round_started: Ms,
    /// By the requesting member and its request number.
    pub lease_requests: BTreeMap<(Name, u64), LeaseRequest>,
    pub leases: LeaseTable,
    /// The members that operators want removed, and whether the membership is as operators want it. Both are
    /// recomputed when the membership or the wanted one changes, since there may be hundreds of members and
    /// thousands of messages.
    pub leaving: BTreeSet<Name>,
    pub members_as_wanted: bool,
    pub proposals: BTreeMap<(Name, u64), PendingProposal>,
    /// Answered proposals, by member, run and proposal ID: a copy of one may arrive later.
    pub answered: VecDeque<((Name, Boot, u64), Outcome)>,
    /// When the staged revision began to wait for verdicts at this leader.
    pub staged_at: Ms,
}

impl Accord {
    pub(crate) fn become_leader(&mut self, out: &mut Outputs) {
        if !matches!(self.role, Role::Candidate { .. }) {
            return;
        }
        let transfer = self.take_transfer();
        let was_transferred = transfer.is_some();
        let Role::Candidate { votes, .. } = &self.role else { return };
        let last = self.log.last().1;
        let peer = |name: &Name| Peer::new(Place(last.0 + 1), votes.get(name).copied(), self.now);
        let peers = self.voters.everyone().filter(|name| **name != self.settings.me);
        let leader = Leader {
            first_index: Place(last.0 + 1),
            peers: peers.map(|name| (name.clone(), peer(name))).collect(),
            round: 0,
            round_started: self.now,
            lease_requests: BTreeMap::new(),
            leases: LeaseTable::new(self.now, &self.settings, transfer),
            leaving: BTreeSet::new(),
            members_as_wanted: false,
            proposals: BTreeMap::new(),
            answered: VecDeque::new(),
            staged_at: self.now,
        };
        self.role = Role::Leader(Box::new(leader));
        self.update_peers();
        if let (true, Role::Leader(leader)) = (self.has_bug(Bug::ForgetsEarlierLeases), &mut self.role) {
            leader.leases.forget_earlier();
        }
        let entry = match last {
            Place(0) => Entry::Founded {
                voters: self.settings.voters.clone(),
                followers: self.settings.followers.clone(),
            },
            _ if self.has_bug(Bug::CommitsEarlierTermByCount) => return self.begin_round(out),
            _ => Entry::Begun,
        };
        self.append_entry(entry, out);
        if was_transferred {
            // The leader that the members know is shutting down, and would not answer their requests.
            self.announce_stage(out);
        }
    }

    /// Appends an entry to the log and starts replicating it.
    pub(crate) fn append_entry(&mut self, entry: Entry, out: &mut Outputs) {
        let members = matches!(entry, Entry::Members(_) | Entry::Founded { .. });
        let logged = Logged { term: self.term, entry };
        self.log.push(logged.clone());
        let from = self.log.last().1;
        out.outputs.push(Output::Last(Lasting::Entries { from, entries: vec![logged] }));
        if members {
            self.recompute_voters();
            self.update_peers();
        }
        self.begin_round(out);
    }

    /// Updates the set of members that receive the log: the voters, and the members that are to become
    /// voters.
    pub(crate) fn update_peers(&mut self) {
        let last = self.log.last().1;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.leases.set_members(&self.committed);
        leader.leaving =
            self.committed.member_names().filter(|name| self.committed.is_leaving(name)).cloned().collect();
        leader.members_as_wanted = self.committed.members_as_wanted();
        let joining = |name: &&Name| leader.leases.disk(name).is_some() && !self.voters.contains(name);
        let wanted = self.committed.wanted.iter().flat_map(|wanted| &wanted.voters).filter(joining);
        let replicated: Vec<Name> =
            self.voters.everyone().chain(wanted).filter(|name| **name != self.settings.me).cloned().collect();
        leader.peers.retain(|name, _| replicated.contains(name));
        let peer = Peer::new(Place(last.0 + 1), None, self.now);
        for (name, known) in &self.committed.voters {
            // It is committed that no disk of this voter is trusted, so its acknowledgements do not count
            // anyway.
            if let (Some(Disk::NONE), Some(peer)) = (known, leader.peers.get_mut(name)) {
                peer.rolled_back = false;
            }
        }
        for name in replicated {
            leader.peers.entry(name).or_insert_with(|| peer.clone());
        }
    }

    pub(crate) fn begin_round(&mut self, out: &mut Outputs) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.round_started = self.now;
        let names: Vec<Name> = leader.peers.keys().cloned().collect();
        names.iter().for_each(|name| self.replicate_to(name, out));
    }

    /// Announces a new stage: every member has to request a lease for it now.
    pub(crate) fn announce_stage(&mut self, out: &mut Outputs) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        let said = Said::Heed { term: self.term, stage: self.committed.stage.no };
        self.committed.member_names().for_each(|name| self.send(name, said.clone(), out));
    }

    /// A member that was last heard before this time may have heard of another leader since.
    pub(crate) fn recent_contact_cutoff(&self) -> Ms {
        self.now.plus(-QUORUM_CONTACT_ELECTIONS * self.settings.election)
    }

    /// Whether a majority of voters has been heard recently, and this member is still a voter.
    fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let since = self.recent_contact_cutoff();
        let heard = |name: &&Name| {
            **name == self.settings.me
                || leader.peers.get(*name).is_some_and(|peer| peer.last_contact >= since)
        };
        let voters = self.voters.names().count();
        let removed = self.commit_index >= leader.first_index && !self.committed.is_voter(&self.settings.me);
        2 * self.voters.names().filter(heard).count() > voters && !removed
    }

    /// Everything that a leader does on its own initiative.
    pub(crate) fn run_leader(&mut self, out: &mut Outputs) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        if !self.has_quorum_contact() {
            return self.become_follower(None);
        }
        if self.shutdown.is_some() {
            // A leader that is shutting down starts nothing new; entries that it has appended may still be
            // committed.
            while self.advance_commit(out) {}
            self.transfer_leadership(out);
            let Role::Leader(leader) = &self.role else { return };
            if self.now >= self.round_due(leader) {
                self.begin_round(out);
            }
            return;
        }
        // If this is the only voter, each entry is committed at once and may lead to the next one.
        loop {
            let committed = self.advance_commit(out);
            let appended =
                self.first_entry_committed() && (self.process_proposals(out) || self.append_next(out));
            if !committed && !appended {
                break;
            }
        }
        self.answer_lease_requests(out);
        let Role::Leader(leader) = &self.role else { return };
        if self.now >= self.round_due(leader) {
            self.begin_round(out);
            self.answer_lease_requests(out);
        }
    }

    pub(crate) fn first_entry_committed(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit_index >= leader.first_index)
            || self.has_bug(Bug::CommitsEarlierTermByCount)
    }

    /// Appends the next entry, if one is due: stage changes first, then membership changes.
    fn append_next(&mut self, out: &mut Outputs) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        match self.next_stage_entry(leader).or_else(|| self.next_member_change(leader)) {
            Some(entry) => self.append_entry(entry, out),
            None => return false,
        }
        true
    }

    fn round_due(&self, leader: &Leader) -> Ms {
        let asked = leader.lease_requests.values().any(|request| request.round > leader.round);
        leader.round_started.plus(if asked { ROUND_BATCH_BEATS } else { 1.0 } * self.settings.beat)
    }

    /// Postpones all lease ends by a gap of this leader's clock: leases held by others run no faster because
    /// this clock jumped ahead, so time in which the leader was not running does not count.
    pub(crate) fn discount_clock_gap(&mut self, before: Ms) {
        let (gap, beat) = (self.now.0 - before.0, self.settings.beat);
        match &mut self.role {
            Role::Leader(leader) if gap > MAX_GAP_BEATS * beat => {
                leader.leases.postpone(gap - beat);
                leader.staged_at = leader.staged_at.plus(gap - beat);
            }
            // The lease ends received from the previous leader are counted from their arrival, by a clock
            // that may have jumped since.
            Role::Follower { .. } | Role::Candidate { .. } if gap > MAX_GAP_BEATS * beat => {
                self.transfer = None
            }
            _ => {}
        }
    }

    pub(crate) fn leader_due(&self) -> Ms {
        let Role::Leader(leader) = &self.role else { return Ms::NEVER };
        let checked = match self.committed.stage.staged {
            Some(_) => leader.staged_at.plus(self.settings.check_within),
            None => Ms::NEVER,
        };
        let waits = self.leader_waits(leader).into_iter().map(|wait| Ms(wait.until));
        waits.chain([checked]).filter(|due| *due > self.now).fold(self.round_due(leader), Ms::min)
    }
}
