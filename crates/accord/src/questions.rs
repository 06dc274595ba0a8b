//! The leader's answers to lease requests. None is sent before a majority has confirmed, in a round begun
//! after the request, that this member is still the leader (dissertation, 6.4).

use crate::{
    Accord, AskLease, Boot, Bug, Digest, Disk, Name, Outputs, Revision, RevisionNo, Role, Said, Turned,
};

/// Limit of waiting requests per member: a member sends its request again if the round takes longer than its
/// retry interval.
const MAX_REQUESTS_PER_MEMBER: usize = 4;

/// A member's lease request that waits for a round to be confirmed.
#[derive(Clone, Debug, Hash)]
pub(crate) struct LeaseRequest {
    pub boot: Boot,
    /// The round that a majority has to answer before the request is answered.
    pub round: u64,
    barred: bool,
    has: Vec<(RevisionNo, Digest)>,
}

impl Accord {
    pub(crate) fn on_lease_request(&mut self, from: Name, request: AskLease, out: &mut Outputs) {
        let (asked, boot) = (request.asked, request.boot);
        let by_bug = self.has_bug(Bug::GrantsWithoutMajority);
        let first_committed = self.first_entry_committed();
        if !self.redirect_unless_leader(&from, asked, out) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        // A leader that is shutting down grants no leases any more: it passes on what it knows of leases.
        if self.shutdown.is_some() {
            return;
        }
        // A run that has released its lease gets no other: its requests arrived late.
        if leader.leases.is_released(&from, boot) {
            return self.refuse("let go");
        }
        if let Err(why) = self.settings.check_lengths(request.lengths) {
            self.refuse("other lengths");
            return self.send(&from, Said::Turned { asked, boot, why }, out);
        }
        let joined = leader.leases.disk(&from).is_none();
        match leader.leases.record_request(self.now, &from, &request, &self.committed, &self.settings) {
            // The members are known once the first entry of the term is committed; the member sends its
            // request again.
            Err(Turned::NotMember { .. }) if !first_committed => return,
            Err(why) => {
                self.refuse(match why {
                    Turned::NameTwice { .. } => "name twice",
                    _ => "not a member",
                });
                return self.send(&from, Said::Turned { asked, boot, why }, out);
            }
            Ok(()) => {}
        }
        let waiting = leader.lease_requests.range((from.clone(), 0)..=(from.clone(), u64::MAX)).count();
        if waiting < MAX_REQUESTS_PER_MEMBER {
            let round = if by_bug { 0 } else { leader.round + 1 };
            leader.lease_requests.insert(
                (from, asked),
                LeaseRequest { boot, round, barred: request.barred, has: request.has },
            );
        }
        if joined && request.disk.is_some() {
            self.update_peers();
        }
    }

    pub(crate) fn answer_lease_requests(&mut self, out: &mut Outputs) {
        if !self.first_entry_committed() {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        if leader.lease_requests.is_empty() {
            return;
        }
        let confirmed = self.confirmed_round();
        let Role::Leader(leader) = &mut self.role else { return };
        let mut ready = vec![];
        leader.lease_requests.retain(|by, request| {
            let wait = request.round > confirmed;
            if !wait {
                ready.push((by.clone(), request.clone()));
            }
            wait
        });
        for ((name, asked), request) in ready {
            self.answer_lease_request(name, asked, request, out);
        }
    }

    /// The last round that a quorum has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else { return 0 };
        let mut rounds: Vec<u64> = leader.peers.values().map(|peer| peer.answered_round).collect();
        rounds.push(leader.round);
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let has_quorum = |round: &u64| {
            self.has_quorum(|name| -> Option<Disk> {
                match *name == self.settings.me {
                    true => self.settings.disk,
                    false => {
                        leader.peers.get(name).filter(|peer| peer.answered_round >= *round)?.counted_disk()
                    }
                }
            })
        };
        rounds.into_iter().find(has_quorum).unwrap_or(0)
    }

    fn answer_lease_request(&mut self, name: Name, asked: u64, request: LeaseRequest, out: &mut Outputs) {
        let boot = request.boot;
        if !self.committed.is_member(&name) || self.committed.is_leaving(&name) {
            let why = Turned::NotMember { name: name.clone() };
            return self.send(&name, Said::Turned { asked, boot, why }, out);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if !request.barred && !leader.leases.grant(self.now, &name, boot, &self.settings) {
            return;
        }
        let lacks = |revision: &&Revision| !request.has.contains(&(revision.no, revision.digest));
        let lease = Said::Lease {
            asked,
            term: self.term,
            stage: self.committed.stage,
            length: self.settings.length,
            texts: self.committed.texts.iter().filter(lacks).cloned().collect(),
            voters: self.committed.voters.iter().map(|(name, _)| name.clone()).collect(),
        };
        self.send(&name, lease, out);
    }
}
