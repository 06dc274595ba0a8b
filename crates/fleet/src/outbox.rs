//! Bounded queue of messages to one peer. A newer message that carries a state replaces queued ones of its kind, so a
//! peer that was unreachable receives the current state and not the whole history. Messages may be dropped: consensus
//! relies on no single message and sends again what is still needed.

use std::collections::VecDeque;
use std::mem::discriminant;
use std::sync::{Mutex, PoisonError};

use amberarch_accord as accord;
use amberarch_shares as shares;
use tokio::sync::Notify;

use crate::codec::Said;

/// Room for a few rounds of all kinds of messages.
const CAPACITY: usize = 64;

#[derive(Default)]
pub struct Outbox {
    queue: Mutex<VecDeque<Said>>,
    pushed: Notify,
}

impl Outbox {
    /// Queues a message. Returns false if the queue was full and the oldest message was dropped.
    pub fn push(&self, said: Said) -> bool {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if is_state(&said) {
            queue.retain(|other| !replaces(&said, other));
        }
        let room = queue.len() < CAPACITY;
        if !room {
            queue.pop_front();
        }
        queue.push_back(said);
        drop(queue);
        self.pushed.notify_one();
        room
    }

    pub async fn next(&self) -> Said {
        loop {
            let next = self.queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            match next {
                Some(said) => return said,
                None => self.pushed.notified().await,
            }
        }
    }

    /// Waits until the queue is not empty.
    pub async fn wait_nonempty(&self) {
        while self.queue.lock().unwrap_or_else(PoisonError::into_inner).is_empty() {
            self.pushed.notified().await;
        }
    }
}

/// Whether the newest message of this kind makes older ones obsolete.
fn is_state(said: &Said) -> bool {
    match said {
        Said::Accord(said) => match said {
            accord::Said::Heed { .. }
            | accord::Said::AskLease(_)
            | accord::Said::Lease { .. }
            | accord::Said::LetGo { .. }
            | accord::Said::LetGone { .. }
            | accord::Said::NotChair { .. }
            | accord::Said::Turned { .. } => true,
            accord::Said::Append { entries, .. } => entries.is_empty(),
            _ => false,
        },
        Said::Shares(..) => true,
    }
}

fn replaces(new: &Said, old: &Said) -> bool {
    match (new, old) {
        (Said::Accord(new), Said::Accord(old)) => {
            let carries = matches!(old, accord::Said::Append { entries, .. } if !entries.is_empty());
            // A lease carries the texts of its stage; one with fewer texts must not replace one with more.
            let texts = matches!((new, old), (accord::Said::Lease { texts: new, .. }, accord::Said::Lease { texts: old, .. })
                if new.len() < old.len());
            discriminant(new) == discriminant(old) && !carries && !texts
        }
        (Said::Shares(new, _), Said::Shares(old, _)) => match (new, old) {
            // Messages of different terms or plans do not replace each other. The upper half of a round number is
            // unique to the plan, so it tells the rounds of two plans apart.
            (shares::Said::Seen(new), shares::Said::Seen(old)) => new.plan == old.plan,
            (
                shares::Said::Dealt { term: new, plan, .. },
                shares::Said::Dealt { term: old, plan: before, .. },
            ) => (new, plan) == (old, before),
            (shares::Said::Taken { round, term: new }, shares::Said::Taken { round: before, term: old }) => {
                (new, round >> 32) == (old, before >> 32)
            }
            _ => false,
        },
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use amberarch_accord::{Logged, Place, Term};

    fn append(round: u64, entries: usize) -> Said {
        let entry = Logged { term: Term(1), entry: accord::Entry::Begun };
        let (term, after, stands) = (Term(1), (Term(0), Place(0)), Place(0));
        Said::Accord(accord::Said::Append { term, round, after, entries: vec![entry; entries], stands })
    }

    fn queue_length(outbox: &Outbox) -> usize {
        outbox.queue.lock().unwrap().len()
    }

    #[test]
    fn an_unreachable_peer_later_gets_the_newest_heartbeat_and_all_entries() {
        let outbox = Outbox::default();
        for round in 0..10 {
            assert!(outbox.push(append(round, 0)));
        }
        assert_eq!(queue_length(&outbox), 1);
        outbox.push(append(10, 2));
        outbox.push(append(11, 0));
        outbox.push(append(12, 0));
        let left: Vec<Said> = outbox.queue.lock().unwrap().drain(..).collect();
        assert_eq!(left, [append(10, 2), append(12, 0)]);
    }

    #[test]
    fn messages_of_one_plan_do_not_replace_those_of_another() {
        let dealt = |round: u64, plan| {
            Said::Shares(shares::Said::Dealt { round, term: 1, plan, grants: vec![], lasts: 1.0 }, None)
        };
        let taken = |round: u64| Said::Shares(shares::Said::Taken { round, term: 1 }, None);
        let outbox = Outbox::default();
        let (one, other) = (1 << 32, 2 << 32);
        for said in
            [dealt(one, 1), dealt(other, 2), taken(one), taken(other), dealt(one + 1, 1), taken(one + 1)]
        {
            outbox.push(said);
        }
        let left: Vec<Said> = outbox.queue.lock().unwrap().drain(..).collect();
        assert_eq!(left, [dealt(other, 2), taken(other), dealt(one + 1, 1), taken(one + 1)]);
    }

    #[test]
    fn a_queue_that_is_not_drained_stays_within_its_capacity() {
        let outbox = Outbox::default();
        let lost = (0..1_000).filter(|round| !outbox.push(append(*round, 1))).count();
        assert_eq!((queue_length(&outbox), lost), (CAPACITY, 1_000 - CAPACITY));
    }
}
