//! Normalizes states that differ only in when they occur, for the test explorer, which need not continue from
//! both of two such states. Each time becomes its distance from now, each request or round number its
//! distance from the newest one.
//!
//! Two states with the same normal form behave alike, because nothing in this crate depends on an absolute
//! time, on an absolute count, or on how long ago something was that is over by every bound: all such ends
//! become one value.

use std::collections::BTreeMap;

use crate::holder::MAX_REDIRECTS;
use crate::{Accord, Boot, Ms, Name, Role, Said, Term};

/// The normalized value of the newest count.
const NEWEST_COUNT: u64 = 1 << 20;
/// A count this far behind the newest has the same effect as none, for every message that is under way and
/// every request that waits: a leader that hears no majority steps down within a few rounds.
const MAX_BEHIND: u64 = 64;
/// The next voter to ask is chosen by a remainder modulo 1 to 6 other voters, and 60 is a multiple of each of
/// them.
const TURN_PERIOD: usize = 60;

/// The reference points of the normalization of one simulated fleet.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    now: f64,
    /// The last request number of each member's present run, and the last round of each term's leader.
    requests: BTreeMap<Name, (Boot, u64)>,
    rounds: BTreeMap<Term, u64>,
}

/// The normalized count: its distance from the newest as far as that matters; zero stays zero.
fn distance(count: u64, newest: u64) -> u64 {
    match newest.saturating_sub(count) {
        _ if count == 0 => 0,
        behind if behind > MAX_BEHIND => 0,
        _ => (NEWEST_COUNT + count).saturating_sub(newest),
    }
}

impl std::hash::Hash for Fold {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (self.now.to_bits(), &self.requests, &self.rounds).hash(state);
    }
}

impl Fold {
    /// Takes the reference points from the members of one simulated fleet, whose clocks all show `now` ms.
    pub fn of<'a>(now: f64, members: impl Iterator<Item = &'a Accord>) -> Fold {
        let mut fold = Fold { now, ..Fold::default() };
        for member in members {
            let settings = &member.settings;
            fold.requests.insert(settings.me.clone(), (settings.boot, member.lease_holder.request_no));
            if let Role::Leader(leader) = &member.role {
                fold.rounds.insert(member.term, leader.round);
            }
        }
        fold
    }

    fn request_no(&self, by: &Name, asked: u64) -> u64 {
        self.requests.get(by).map_or(asked, |(_, newest)| distance(asked, *newest))
    }

    fn round(&self, term: Term, round: u64) -> u64 {
        self.rounds.get(&term).map_or(round, |newest| distance(round, *newest))
    }

    /// Replaces a time by its distance from now; all times further back than `matters` ms become one value.
    fn ms(&self, at: &mut Ms, matters: f64) {
        let distance = at.0 - self.now;
        // Rounding: sums of such times differ in their last bits depending on how long the simulation has
        // run.
        *at = if distance < -matters { Ms::LONG_AGO } else { Ms((distance * 1024.0).round() / 1024.0) };
    }

    /// Normalizes a message that is under way from one member to another.
    pub fn said(&self, from: &Name, to: &Name, said: &Said) -> Said {
        let mut said = said.clone();
        match &mut said {
            Said::Append { term, round, .. }
            | Said::Appended { term, round, .. }
            | Said::Base { term, round, .. } => *round = self.round(*term, *round),
            Said::AskLease(question)
                if self.requests.get(from).is_some_and(|(boot, _)| *boot == question.boot) =>
            {
                question.asked = self.request_no(from, question.asked);
            }
            Said::LetGo { last, .. }
                if self.requests.get(from).is_some_and(|(boot, _)| *boot == last.boot) =>
            {
                last.asked = self.request_no(from, last.asked);
            }
            Said::LetGone { asked, .. } => *asked = self.request_no(to, *asked),
            Said::Lease { asked, .. } | Said::NotChair { asked, .. } | Said::Turned { asked, .. } => {
                *asked = self.request_no(to, *asked);
            }
            _ => {}
        }
        said
    }

    pub fn accord(&self, accord: &Accord) -> Accord {
        let mut to = accord.clone();
        let settings = &accord.settings;
        // Ends further back than this are not waited for: neither a lease nor the linger after it.
        let lease_horizon = settings.granted_ms(settings.length.knows) + settings.linger_bound();
        (to.random_draws, to.refused) = (0, BTreeMap::new());
        self.ms(&mut to.now, f64::INFINITY);
        self.ms(&mut to.last_leader_contact, settings.election);
        self.ms(&mut to.election_deadline, 0.0);
        let holder = &mut to.lease_holder;
        holder.request_no = self.request_no(&settings.me, holder.request_no);
        holder.open_requests = std::mem::take(&mut holder.open_requests)
            .into_iter()
            .map(|(no, at)| (self.request_no(&settings.me, no), at))
            .collect();
        holder.open_requests.values_mut().flatten().for_each(|at| self.ms(at, lease_horizon));
        self.ms(&mut holder.last_sent, settings.beat);
        self.ms(&mut holder.next_due, 0.0);
        holder.next_voter %= TURN_PERIOD;
        holder.redirects = holder.redirects.min(MAX_REDIRECTS + 1);
        for held in holder.active.iter_mut().chain(&mut holder.pending) {
            self.ms(&mut held.acts_until, 0.0);
            self.ms(&mut held.knows_until, 0.0);
        }
        if let Some((_, _, until)) = &mut holder.reported {
            self.ms(until, 0.0);
        }
        // The time of the first lease matters only as long as an earlier run's lease may still run.
        holder.first_lease_at.iter_mut().for_each(|first| self.ms(first, lease_horizon));
        for own in to.own_proposals.values_mut() {
            self.ms(&mut own.since, f64::INFINITY);
            self.ms(&mut own.next_due, 0.0);
        }
        let next_try = to.shutdown.iter_mut().flat_map(|shutdown| &mut shutdown.next_try);
        next_try.for_each(|next| self.ms(next, 0.0));
        let ends = to.transfer.iter_mut().flat_map(|transfer| &mut transfer.ends);
        ends.flat_map(|end| [&mut end.acts, &mut end.knows]).for_each(|end| self.ms(end, lease_horizon));
        match &mut to.role {
            Role::Leader(leader) => {
                let term = accord.term;
                leader.round = self.round(term, leader.round);
                self.ms(&mut leader.round_started, settings.beat);
                self.ms(&mut leader.staged_at, settings.check_within);
                for peer in leader.peers.values_mut() {
                    (peer.answered_round, peer.matched_in_round) =
                        (self.round(term, peer.answered_round), self.round(term, peer.matched_in_round));
                    self.ms(&mut peer.last_contact, 4.0 * settings.election);
                }
                leader.lease_requests = std::mem::take(&mut leader.lease_requests)
                    .into_iter()
                    .map(|((by, asked), mut request)| {
                        request.round = self.round(term, request.round);
                        ((by.clone(), self.request_no(&by, asked)), request)
                    })
                    .collect();
                leader.leases.normalize(
                    |at| self.ms(at, lease_horizon),
                    |by, boot, asked| match self.requests.get(by) {
                        Some((now, newest)) if *now == boot => distance(asked, *newest),
                        _ => asked,
                    },
                );
            }
            // Only a leader checks for gaps of its clock.
            _ => to.now = Ms(0.0),
        }
        to
    }
}
