//! Log replication from the leader to the voters: Raft's log matching, snapshots for voters that are far
//! behind, and the commit index.

use crate::{
    Accord, Base, Bug, Disk, Entry, Lasting, Logged, Ms, Name, Output, Outputs, Place, Role, Said, Term,
    Voters,
};

/// Limits of entries and of text bytes per message: they keep a message under gRPC's default limit of 4 MiB.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
const MAX_TEXT_PER_MESSAGE: usize = 1 << 20;
/// The committed log is compacted into a snapshot from this many entries or text bytes on, so that a restart
/// reads it within milliseconds.
const COMPACTION_ENTRIES: usize = 1_000;
const COMPACTION_TEXT_BYTES: usize = 4 << 20;

/// The leader's view of the log of another voter, or of a member that is to become a voter.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Peer {
    /// The next index to send, on the assumption that everything sent before has arrived.
    pub next_index: Place,
    pub match_index: Place,
    /// The last round begun when `match_index` was received. A message of a later round was sent after the
    /// voter had matched.
    pub matched_in_round: u64,
    /// The last round that it answered.
    pub answered_round: u64,
    pub disk: Option<Disk>,
    /// The voter has fewer entries than it acknowledged before: an older copy of its disk was restored.
    pub rolled_back: bool,
    pub last_contact: Ms,
}

impl Peer {
    pub fn new(next_index: Place, disk: Option<Disk>, last_contact: Ms) -> Peer {
        Peer {
            next_index,
            match_index: Place(0),
            matched_in_round: 0,
            answered_round: 0,
            disk,
            rolled_back: false,
            last_contact,
        }
    }

    /// The disk whose acknowledgements count; `None` for a voter whose disk was rolled back.
    pub fn counted_disk(&self) -> Option<Disk> {
        self.disk.filter(|_| !self.rolled_back)
    }
}

fn text_bytes(logged: &Logged) -> usize {
    match &logged.entry {
        Entry::Proposed { revision, .. } => revision.text.len(),
        _ => 0,
    }
}

fn changes_members(entry: &Entry) -> bool {
    matches!(entry, Entry::Members(_) | Entry::Founded { .. })
}

impl Accord {
    pub(crate) fn recompute_voters(&mut self) {
        let after = self.log.after(self.commit_index, usize::MAX).iter().map(|logged| &logged.entry);
        self.voters = Voters::new(&self.committed, after);
    }

    pub(crate) fn has_quorum(&self, confirmed_on: impl Fn(&Name) -> Option<Disk>) -> bool {
        self.voters.has_quorum(&confirmed_on)
            || (self.has_bug(Bug::CountsLostDisks) && self.voters.is_unanimous(confirmed_on))
    }

    /// Sends a peer the next entries or a snapshot; without new entries the message is a heartbeat.
    pub(crate) fn replicate_to(&mut self, name: &Name, out: &mut Outputs) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(name) else { return };
        let (term, round) = (self.term, leader.round);
        let after = Place(peer.next_index.0.saturating_sub(1));
        let said = match self.log.term_at(after) {
            Some(before) => {
                let mut room = MAX_TEXT_PER_MESSAGE;
                let fits = |logged: &&Logged| {
                    let fits = room > 0;
                    room = room.saturating_sub(text_bytes(logged));
                    fits
                };
                let entries = self.log.after(after, MAX_ENTRIES_PER_MESSAGE);
                let entries: Vec<Logged> = entries.iter().take_while(fits).cloned().collect();
                peer.next_index = Place(after.0 + entries.len() as u64 + 1);
                Said::Append { term, round, after: (before, after), entries, stands: self.commit_index }
            }
            None => {
                let at = (self.log.term_at(self.commit_index).unwrap_or_default(), self.commit_index);
                peer.next_index = Place(self.commit_index.0 + 1);
                Said::Base { term, round, at, base: Box::new(self.committed.clone()) }
            }
        };
        self.send(name, said, out);
    }

    /// Accepts the sender as leader of the term, since only a leader sends entries. Returns false if nothing
    /// in the message may be used.
    fn accept_leader(&mut self, from: &Name, term: Term, out: &mut Outputs) -> bool {
        if term < self.term || !self.is_plausible_term(term) {
            return false;
        }
        let other_leader = match &self.role {
            Role::Leader(_) => true,
            Role::Follower { leader: Some(leader) } => leader != from,
            _ => false,
        };
        if term == self.term && other_leader {
            self.refuse("second chair");
            // Logged once only; the counter goes on.
            if self.refused.get("second chair") > Some(&1) {
                return false;
            }
            out.outputs.push(Output::Log(format!(
                "{from} claims to be leader of term {}, but another member is: give each controller a \
                 disk of its own",
                term.0
            )));
            return false;
        }
        if term > self.term {
            self.adopt_term(term, out);
        }
        self.become_follower(Some(from.clone()));
        if self.voted_for.is_none() {
            // After the loss of its disk this member may have voted for this leader without knowing it, so it
            // has no vote left in the term.
            self.voted_for = Some(from.clone());
            self.persist_vote(out);
        }
        self.last_leader_contact = self.now;
        self.reset_election_timer();
        true
    }

    fn send_appended(&self, to: &Name, round: u64, agrees: Result<Place, Place>, out: &mut Outputs) {
        if let Some(disk) = self.settings.disk {
            self.send(to, Said::Appended { term: self.term, round, agrees, disk }, out);
        }
    }

    pub(crate) fn on_append(
        &mut self,
        from: Name,
        (term, round): (Term, u64),
        after: (Term, Place),
        mut entries: Vec<Logged>,
        leader_commit: Place,
        out: &mut Outputs,
    ) {
        if self.settings.disk.is_none() {
            return self.refuse("not a voter");
        }
        let mut before = after.0;
        let in_order = |logged: &Logged| {
            let in_order = logged.term >= before && logged.term <= term;
            before = logged.term;
            in_order
        };
        if !entries.iter().all(in_order) || after.1 .0.checked_add(entries.len() as u64).is_none() {
            return self.refuse("spoilt");
        }
        if !self.accept_leader(&from, term, out) {
            return self.send_appended(&from, 0, Err(self.log.last().1), out);
        }
        // Entries committed here are the same in the leader's log.
        let mut at = after.1;
        if at < self.commit_index {
            let known = usize::try_from(self.commit_index.0 - at.0).unwrap_or(usize::MAX).min(entries.len());
            entries.drain(..known);
            if at.0 + (known as u64) < self.commit_index.0 {
                return self.send_appended(&from, round, Ok(self.commit_index), out);
            }
            at = self.commit_index;
        } else if self.log.term_at(at) != Some(after.0) {
            let agrees = self.retry_index(at);
            return self.send_appended(&from, round, Err(agrees), out);
        }
        let mut members = false;
        let agrees = Place(at.0 + entries.len() as u64);
        let matching = (entries.iter().zip(at.0 + 1..))
            .take_while(|(logged, place)| self.log.term_at(Place(*place)) == Some(logged.term))
            .count();
        let new_entries = entries.split_off(matching);
        if !new_entries.is_empty() {
            let from = Place(at.0 + matching as u64 + 1);
            let removed = self.log.after(Place(from.0 - 1), usize::MAX);
            members = removed.iter().chain(&new_entries).any(|logged| changes_members(&logged.entry));
            self.log.truncate_from(from);
            new_entries.iter().cloned().for_each(|logged| self.log.push(logged));
            out.outputs.push(Output::Last(Lasting::Entries { from, entries: new_entries }));
        }
        if members {
            self.recompute_voters();
        }
        self.commit_to(leader_commit.min(agrees), out);
        self.send_appended(&from, round, Ok(agrees), out);
    }

    /// The index to retry at. It is never below the commit index, which this voter acknowledged; so the
    /// leader notices a voter that was rolled back. Few entries mismatch, since a leader appends little
    /// beyond what is committed, so stepping back by one entry per message ends soon.
    fn retry_index(&self, at: Place) -> Place {
        Place(at.0.saturating_sub(1)).min(self.log.last().1).max(self.commit_index)
    }

    pub(crate) fn on_snapshot(
        &mut self,
        from: Name,
        (term, round): (Term, u64),
        at: (Term, Place),
        base: Base,
        out: &mut Outputs,
    ) {
        if self.settings.disk.is_none() {
            return self.refuse("not a voter");
        }
        if at.0 > term {
            return self.refuse("spoilt");
        }
        if !self.accept_leader(&from, term, out) {
            return self.send_appended(&from, 0, Err(self.log.last().1), out);
        }
        if at.1 > self.commit_index {
            // First remove the entries that do not follow the snapshot, so that the disk never holds them
            // after it.
            if self.log.term_at(at.1) != Some(at.0) && self.log.last().1 > at.1 {
                let from = Place(at.1 .0 + 1);
                out.outputs.push(Output::Last(Lasting::Entries { from, entries: vec![] }));
            }
            self.log.compact(at);
            (self.commit_index, self.committed) = (at.1, base.clone());
            out.outputs.push(Output::Last(Lasting::Base { at, base: Box::new(base) }));
            self.recompute_voters();
        }
        self.send_appended(&from, round, Ok(self.commit_index), out);
    }

    pub(crate) fn on_appended(
        &mut self,
        from: Name,
        (term, round): (Term, u64),
        agrees: Result<Place, Place>,
        disk: Disk,
        out: &mut Outputs,
    ) {
        if !self.is_plausible_term(term) {
            return;
        }
        if term > self.term {
            return self.adopt_term(term, out);
        }
        let (now, last) = (self.now, self.log.last().1);
        let Role::Leader(leader) = &mut self.role else { return };
        if term < self.term {
            return;
        }
        let (current_round, peer) = (leader.round, leader.peers.get_mut(&from));
        let Some(peer) = peer else { return };
        if round > current_round || agrees.is_ok_and(|place| place > last) {
            return self.refuse("spoilt");
        }
        peer.last_contact = now;
        if peer.disk != Some(disk) {
            // Entries stored on the lost disk do not count any more.
            *peer = Peer::new(peer.next_index, Some(disk), now);
        }
        peer.answered_round = peer.answered_round.max(round);
        let more = match agrees {
            Ok(place) => {
                if place >= peer.match_index {
                    (peer.match_index, peer.matched_in_round) = (place, current_round);
                }
                peer.next_index = peer.next_index.max(Place(place.0 + 1));
                peer.next_index <= last
            }
            Err(hint) => {
                if hint < peer.match_index && round > peer.matched_in_round {
                    // Within one term a voter never removes an entry that it acknowledged.
                    (peer.rolled_back, peer.match_index) = (true, Place(0));
                    let (had, has) = (peer.matched_in_round, hint.0);
                    out.outputs.push(Output::Log(format!(
                        "{from} lost log entries that it had acknowledged by round {had}: an older copy of \
                         its folder was restored (up to index {has}); its votes count again once it has been \
                         admitted again"
                    )));
                }
                let (least, most) = (peer.match_index.0 + 1, last.0 + 1);
                peer.next_index = Place((hint.0.saturating_add(1)).clamp(least.min(most), most));
                true
            }
        };
        if more {
            self.replicate_to(&from, out);
        }
    }

    /// Advances the commit index to the last entry of this term that a quorum has. Entries of earlier terms
    /// are not counted themselves; they are committed with the first entry of this term.
    pub(crate) fn advance_commit(&mut self, out: &mut Outputs) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let (me, disk) = (&self.settings.me, self.settings.disk);
        let mut places: Vec<Place> = leader.peers.values().map(|peer| peer.match_index).collect();
        places.push(self.log.last().1);
        places.sort_unstable_by(|a, b| b.cmp(a));
        let commit_index = places.into_iter().take_while(|place| *place > self.commit_index).find(|place| {
            let has = |name: &Name| match name == me {
                true => disk,
                false => leader.peers.get(name).filter(|peer| peer.match_index >= *place)?.counted_disk(),
            };
            let own = self.log.term_at(*place) == Some(self.term);
            (own || self.has_bug(Bug::CommitsEarlierTermByCount)) && self.has_quorum(has)
        });
        match commit_index {
            Some(place) => self.commit_to(place, out),
            None => return false,
        }
        true
    }

    /// Commits and applies all entries up to this index.
    fn commit_to(&mut self, place: Place, out: &mut Outputs) {
        let (mut members, mut wanted, mut stage, mut text) = (false, false, false, false);
        while self.commit_index < place {
            let next = Place(self.commit_index.0 + 1);
            let Some(logged) = self.log.get(next) else { break };
            let changed = self.committed.apply(next, &logged.entry);
            let proposed = matches!(logged.entry, Entry::Proposed { .. });
            members |= changes_members(&logged.entry);
            wanted |= matches!(logged.entry, Entry::Wanted(_));
            (stage, text) = (stage | changed, text | proposed);
            self.commit_index = next;
            if let (true, true, Role::Leader(leader)) = (changed, proposed, &mut self.role) {
                leader.leases.mark_proposed();
                leader.staged_at = self.now;
            }
        }
        if members {
            self.recompute_voters();
        }
        if members || wanted {
            self.update_peers();
        }
        if stage {
            self.announce_stage(out);
        }
        let kept = usize::try_from(self.commit_index.0 - self.log.snapshot_index().0).unwrap_or(usize::MAX);
        // The known disks have to survive a restart: a voter that does not know them needs every single voter
        // for an election, so a membership change is always followed by a snapshot.
        let texts_too_large = || {
            self.log.after(self.log.snapshot_index(), kept).iter().map(text_bytes).sum::<usize>()
                > COMPACTION_TEXT_BYTES
        };
        if members || kept >= COMPACTION_ENTRIES || (text && texts_too_large()) {
            let at = (self.log.term_at(self.commit_index).unwrap_or_default(), self.commit_index);
            self.log.compact(at);
            let base = Box::new(self.committed.clone());
            out.outputs.push(Output::Last(Lasting::Base { at, base }));
        }
    }
}
