//! The queue of orders for the relay.

use std::collections::VecDeque;

use amberarch_core::MarkId;

use crate::counters::Seldom;
use crate::heard::Encoded;

/// The most bytes of orders in a call, by the protocol page.
const MAX_CALL_BYTES: usize = 60_000;
/// Bytes of a call's body beside its orders.
const ENVELOPE_BYTES: usize = 20;

/// Why no call is sent before the relay has answered an inquiry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BlockedBy {
    /// This many orders at the head of the queue were sent as a call whose outcome is unknown.
    Unsure(usize),
    /// The watch is silent: the relay may be unreachable, and the outcome of a call would be unknown.
    Silent,
}

/// Orders that wait. Each reply of the controller that writes to proxies ends with its mark.
#[derive(Default)]
pub struct Queue {
    pub waiting: VecDeque<Encoded>,
    /// What holds back the next call, if anything.
    pub blocked_by: Option<BlockedBy>,
    /// The relay has already taken some orders of the first reply in the queue.
    partly_taken: bool,
    /// Calls do not reach the relay.
    pub behind: bool,
    /// The relay has refused the first order that waits, or the first call, once.
    pub refused_once: bool,
    pub faults_logged: Seldom,
    /// The last incarnation of the controller of which orders were dropped; the event loop restarts the controller.
    pub dropped_incarnation: Option<u64>,
}

impl Queue {
    /// How many orders fit into one call; at least one.
    pub fn fitting(&self) -> usize {
        let mut bytes = ENVELOPE_BYTES;
        let sizes = self.waiting.iter().map(|order| {
            bytes += order.bytes.len() + 1;
            bytes
        });
        sizes.take_while(|sum| *sum <= MAX_CALL_BYTES).count().max(1)
    }

    /// Removes the first orders, which the relay has taken.
    pub fn taken(&mut self, count: usize) {
        if let Some(last) = self.waiting.drain(..count).next_back() {
            self.partly_taken = last.mark.is_none();
        }
    }

    /// Removes the first orders, which are given up.
    pub fn given_up(&mut self, count: usize) -> Vec<Encoded> {
        let orders: Vec<Encoded> = self.waiting.drain(..count).collect();
        // The rest of a reply whose mark is given up is sent with the next reply.
        self.partly_taken &= orders.iter().all(|order| order.mark.is_none());
        orders
    }

    /// Empties the queue without sending.
    pub fn dropped(&mut self) -> Vec<Encoded> {
        (self.blocked_by, self.partly_taken) = (None, false);
        self.waiting.drain(..).collect()
    }

    /// The marks of the replies that the first orders belong to.
    pub fn marks(&self, count: usize) -> Vec<MarkId> {
        let mut marks: Vec<MarkId> = self.waiting.iter().take(count).filter_map(|order| order.mark).collect();
        let ends = count.checked_sub(1).and_then(|last| self.waiting.get(last));
        if ends.is_some_and(|order| order.mark.is_none()) {
            // The last of these replies continues after the call.
            marks.extend(self.waiting.iter().skip(count).find_map(|order| order.mark));
        }
        marks
    }

    /// The mark of the reply of which a part was taken and the rest still waits.
    pub fn straddling(&self) -> Option<MarkId> {
        self.waiting.iter().find_map(|order| order.mark).filter(|_| self.partly_taken)
    }

    /// The mark whose answer proves that a call of the first orders was carried out whole; it must be the call's last order.
    pub fn proof(&self, count: usize) -> Option<MarkId> {
        self.waiting.get(count.checked_sub(1)?)?.mark
    }
}
