//! Graceful shutdown of a run. The run fences itself first, then repeats its release to the leader until the
//! leader acknowledges it. A leader transfers leadership before that, so that the fleet need not go without
//! one (Ongaro's dissertation, 3.10).
//!
//! A release stays true for all time, so a copy that arrives late, not at all or twice does no harm. It
//! concerns only the run that sends it, so it ends no lease of another run.

use std::collections::BTreeSet;

use crate::{Accord, AskLease, Boot, Bug, Ends, Facts, Ms, Name, Output, Outputs, Role, Said, Term};

/// The release is repeated after this fraction of a heartbeat interval: a handful of times within the half
/// second that the embedding process waits.
const RETRY_BEATS: f64 = 0.5;
/// A voter that was asked to take over has started an election within this many heartbeat intervals; after
/// that another voter is asked.
const TAKEOVER_BEATS: f64 = 2.0;
/// Lease ends that lie further back than a day are of no use, and are reported as one day.
const MIN_REMAINING_MS: f64 = -86_400_000.0;

/// The progress of a graceful shutdown.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Shutdown {
    pub finished: bool,
    /// The voters that this leader asked to take over, the last one asked, and when the next one may be
    /// asked.
    tried: BTreeSet<Name>,
    pub successor: Option<Name>,
    pub next_try: Option<Ms>,
}

/// The lease ends that the leader of a term passed to the voter that it asked to take over. They are valid
/// for the very next term only: in a later term another leader may have granted leases in between.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Transfer {
    by: Term,
    pub ends: Vec<LeaseEnd>,
}

/// An [`Ends`] record converted to this member's clock.
#[derive(Clone, Debug, Hash)]
pub(crate) struct LeaseEnd {
    pub name: Name,
    pub boot: Option<Boot>,
    pub acts: Ms,
    pub knows: Ms,
    pub gone: bool,
}

impl Transfer {
    fn new(now: Ms, by: Term, leases: Vec<Ends>, settings: &Facts) -> Transfer {
        // Remaining times are counted longer and past times shorter, whichever of the two clocks is the
        // faster one.
        let end = |ms: f64| match ms > 0.0 {
            true => now.plus(settings.granted_ms(ms)),
            false => now.plus(ms / (1.0 + settings.drift)),
        };
        let valid = leases.into_iter().filter(|ends| !ends.acts.is_nan() && !ends.knows.is_nan());
        let ends = valid.map(|Ends { name, boot, acts, knows, gone }| LeaseEnd {
            name,
            boot,
            acts: end(acts),
            knows: end(knows),
            gone,
        });
        Transfer { by, ends: ends.collect() }
    }
}

/// A lease end as it is passed to another leader: ms from now, negative if it is over.
pub(crate) fn remaining_ms(now: Ms, end: Ms) -> f64 {
    (end.0 - now.0).max(MIN_REMAINING_MS)
}

impl Accord {
    /// Starts the graceful shutdown. The embedding process has fenced this run: it issues no orders any more.
    pub(crate) fn begin_shutdown(&mut self, out: &mut Outputs) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(Shutdown::default());
        let holder = &mut self.lease_holder;
        // An answer that is still under way matches no open request, so the lease in it never takes effect.
        holder.open_requests.clear();
        (holder.next_due, holder.unanswered, holder.redirects) = (self.now, 0, 0);
        if matches!(self.role, Role::Candidate { .. }) {
            self.role = Role::Follower { leader: None };
        }
        let last = self.lease_holder.lease_request(self.now, &self.settings);
        let (term, me) = (self.term, self.settings.me.clone());
        let Role::Leader(leader) = &mut self.role else { return };
        // The lease ends are passed on as they are now, so the leader grants no leases from here on.
        leader.leases.release(self.now, &me, &last, (term, term), &self.committed, &self.settings);
        leader.lease_requests.clear();
        leader.proposals.clear();
        self.begin_round(out);
    }

    /// Whether this run may still issue orders.
    pub(crate) fn may_order(&self) -> bool {
        self.shutdown.is_none() || self.has_bug(Bug::LetsGoUnfenced)
    }

    /// Sends the release to the leader, and again until the leader acknowledges it.
    pub(crate) fn send_release(&mut self, out: &mut Outputs) {
        let finished = self.shutdown.as_ref().is_some_and(|shutdown| shutdown.finished);
        self.lease_holder.next_due =
            if finished { Ms::NEVER } else { self.now.plus(RETRY_BEATS * self.settings.beat) };
        if finished || matches!(self.role, Role::Leader(_)) {
            return;
        }
        let Some(target) = self.next_target() else { return };
        self.lease_holder.open_requests.insert(self.lease_holder.request_no, None);
        self.lease_holder.trim_open_requests();
        let last = self.lease_holder.lease_request(self.now, &self.settings);
        self.send(&target, Said::LetGo { term: self.leader_term(), last }, out);
    }

    pub(crate) fn on_release_ack(
        &mut self,
        from: Name,
        (asked, term): (u64, Term),
        taken: bool,
        out: &mut Outputs,
    ) {
        let open = self.lease_holder.open_requests.remove(&asked).is_some();
        let Some(shutdown) = self.shutdown.as_mut().filter(|_| open) else {
            return self.refuse("old answer");
        };
        if taken {
            self.lease_holder.next_due = Ms::NEVER;
            if !std::mem::replace(&mut shutdown.finished, true) {
                out.outputs.push(Output::Gone);
            }
            return;
        }
        let soon = self.lease_holder.last_sent.plus(RETRY_BEATS * self.settings.beat);
        let holder = &mut self.lease_holder;
        (holder.leader, holder.term, holder.unanswered) = (Some(from), term, 0);
        holder.next_due = holder.next_due.min(soon);
    }

    /// At the leader: a run that has released its lease is waited for no longer than the linger.
    pub(crate) fn on_release(&mut self, from: Name, term: Term, last: AskLease, out: &mut Outputs) {
        let (asked, boot) = (last.asked, last.boot);
        if !self.redirect_unless_leader(&from, asked, out) {
            return;
        }
        if self.settings.check_lengths(last.lengths).is_err() {
            return self.refuse("other lengths");
        }
        // The members are known once the first entry of the term is committed; the run sends the release
        // again.
        if !self.first_entry_committed() {
            return;
        }
        let (own, by_bug) = (self.term, self.has_bug(Bug::LetGoReleasesOthers));
        let Role::Leader(leader) = &mut self.role else { return };
        let taken =
            leader.leases.release(self.now, &from, &last, (term, own), &self.committed, &self.settings);
        if by_bug {
            leader.leases.forget_member(self.now, &from);
        }
        leader.lease_requests.retain(|(name, _), question| *name != from || question.boot != boot);
        self.send(&from, Said::LetGone { asked, boot, term: own, taken }, out);
    }

    /// Returns whether this member is the leader and may answer the request; otherwise it sends the requester
    /// the name of the leader, if known.
    pub(crate) fn redirect_unless_leader(&mut self, from: &Name, asked: u64, out: &mut Outputs) -> bool {
        let chair = match (&self.role, &self.shutdown) {
            // The voter asked to take over is the next leader; before one is asked there is nobody to name.
            (Role::Leader(_), Some(Shutdown { successor: Some(successor), .. })) => Some(successor.clone()),
            (Role::Leader(_), _) => return true,
            (Role::Follower { leader }, _) => leader.clone(),
            (Role::Candidate { .. }, _) => None,
        };
        self.send(from, Said::NotChair { asked, chair }, out);
        false
    }

    /// At a leader that is shutting down: asks a voter that has the complete log to take over.
    pub(crate) fn transfer_leadership(&mut self, out: &mut Outputs) {
        let last = self.log.last().1;
        let (Role::Leader(leader), Some(shutdown)) = (&self.role, &mut self.shutdown) else { return };
        if shutdown.next_try.is_some_and(|next| self.now < next) {
            return;
        }
        let is_other_voter = |name: &Name| self.voters.contains(name) && *name != self.settings.me;
        if !self.voters.everyone().any(is_other_voter) {
            // There is no other voter, so nobody can take over.
            if !std::mem::replace(&mut shutdown.finished, true) {
                out.outputs.push(Output::Gone);
            }
            return;
        }
        let ready = |(name, peer): &(&Name, &crate::copying::Peer)| {
            is_other_voter(name)
                && peer.counted_disk().is_some()
                && peer.match_index == last
                && !shutdown.tried.contains(*name)
        };
        let most_recent = |a: (Name, Ms), b: (Name, Ms)| if b.1 > a.1 { b } else { a };
        let candidates =
            leader.peers.iter().filter(ready).map(|(name, peer)| (name.clone(), peer.last_contact));
        let Some((name, _)) = candidates.reduce(most_recent) else {
            // All voters were asked and none took over: start again with the first one.
            return shutdown.tried.clear();
        };
        shutdown.tried.insert(name.clone());
        shutdown.successor = Some(name.clone());
        shutdown.next_try = Some(self.now.plus(TAKEOVER_BEATS * self.settings.beat));
        let leases = leader.leases.export(self.now, self.settings.linger_bound());
        self.send(&name, Said::Stand { term: self.term, leases }, out);
    }

    /// Handles the request of a leader that is shutting down to take over.
    pub(crate) fn on_transfer(&mut self, from: Name, term: Term, leases: Vec<Ends>, out: &mut Outputs) {
        let follows_sender = matches!(&self.role, Role::Follower { leader: Some(leader) } if *leader == from);
        if term != self.term || !follows_sender || !self.is_voting() || self.shutdown.is_some() {
            return self.refuse("not to stand");
        }
        self.transfer = Some(Transfer::new(self.now, term, leases, &self.settings));
        self.request_votes(false, true, out);
    }

    /// The lease ends received for exactly this term, if any.
    pub(crate) fn take_transfer(&mut self) -> Option<Transfer> {
        self.transfer.take().filter(|transfer| transfer.by.0.checked_add(1) == Some(self.term.0))
    }
}
