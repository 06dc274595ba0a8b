//! Orders that wait for the relay, in their order.

use std::collections::VecDeque;

use amberarch_core::MarkId;

use crate::heard::Encoded;

/// The protocol page: a call carries at most 60,000 bytes of orders.
const MOST_BYTES: usize = 60_000;
/// What stands round the orders of a call.
const ENVELOPE: usize = 20;

/// Why no call is sent before the relay has answered an inquiry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doubt {
    /// So many orders, the first that wait, were sent as a call whose fate is not known.
    Unsure(usize),
    /// The watch is silent: a call may meet a relay that is out of reach, and would be unsure.
    Silent,
}

/// What waits. Each reply of the decisions that writes to proxies ends with its mark.
#[derive(Default)]
pub struct Queue {
    pub waiting: VecDeque<Encoded>,
    /// What stands between the orders that wait and the next call.
    pub doubt: Option<Doubt>,
    /// Orders of the reply that is first in line have been taken already.
    begun: bool,
    /// Calls do not get through.
    pub behind: bool,
    /// The last start of the decisions of which something was dropped; the event loop starts them anew.
    pub over: Option<u64>,
}

impl Queue {
    /// How many of the orders fit into one call; one always does.
    pub fn fitting(&self) -> usize {
        let mut bytes = ENVELOPE;
        let sizes = self.waiting.iter().map(|order| {
            bytes += order.bytes.len() + 1;
            bytes
        });
        sizes.take_while(|sum| *sum <= MOST_BYTES).count().max(1)
    }

    /// The relay has taken the first orders.
    pub fn taken(&mut self, count: usize) {
        if let Some(last) = self.waiting.drain(..count).next_back() {
            self.begun = last.mark.is_none();
        }
    }

    /// The first orders are given up.
    pub fn given_up(&mut self, count: usize) -> Vec<Encoded> {
        let orders: Vec<Encoded> = self.waiting.drain(..count).collect();
        // The rest of a reply whose mark is gone goes with the next one.
        self.begun &= orders.iter().all(|order| order.mark.is_none());
        orders
    }

    /// Nothing that waits is sent any more.
    pub fn dropped(&mut self) -> Vec<Encoded> {
        (self.doubt, self.begun) = (None, false);
        self.waiting.drain(..).collect()
    }

    /// The replies that the first orders belong to.
    pub fn marks(&self, count: usize) -> Vec<MarkId> {
        let mut marks: Vec<MarkId> = self.waiting.iter().take(count).filter_map(|order| order.mark).collect();
        let ends = count.checked_sub(1).and_then(|last| self.waiting.get(last));
        if ends.is_some_and(|order| order.mark.is_none()) {
            // The last of them goes on behind the call.
            marks.extend(self.waiting.iter().skip(count).find_map(|order| order.mark));
        }
        marks
    }

    /// The reply of which a part was taken and the rest still waits.
    pub fn straddling(&self) -> Option<MarkId> {
        self.waiting.iter().find_map(|order| order.mark).filter(|_| self.begun)
    }

    /// The mark whose answer shows that a call of the first orders was carried out whole: its last order.
    pub fn proof(&self, count: usize) -> Option<MarkId> {
        self.waiting.get(count.checked_sub(1)?)?.mark
    }
}
