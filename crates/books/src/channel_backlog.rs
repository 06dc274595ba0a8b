//! An upper bound of what is queued in the channel to the proxies.

use std::collections::{BTreeMap, VecDeque};

use amberarch_core::{MarkId, ProxyId};

use crate::{SlidingWindow, TryStats};

/// The messages that were sent as one call: one to each of its proxies, in an unknown order among them.
#[derive(Clone)]
struct SentCall {
    mark: MarkId,
    lines: BTreeMap<ProxyId, f64>,
    /// Lines for proxies that left; after a gap in the relay watch they may still get them.
    departed_lines: f64,
    /// How many of its orders reach every proxy that is joined when they are carried out.
    broadcast_orders: f64,
}

impl SentCall {
    fn total_lines(&self) -> f64 {
        self.lines.values().sum::<f64>() + self.departed_lines
    }
}

/// Lines that were written and may not have left the channel yet, by the mark that was sent with them. A
/// channel sends in order, so a proxy's answer to a mark shows that all calls before that one have left it.
#[derive(Default)]
pub struct ChannelBacklog {
    calls: VecDeque<SentCall>,
    next_mark: u16,
    /// Each reply that writes to a proxy is one message to it.
    messages: BTreeMap<ProxyId, SlidingWindow>,
    /// Messages to proxies that left within the current batch of events.
    just_left: BTreeMap<ProxyId, SlidingWindow>,
    /// Calls do not reach the relay at present.
    delayed: bool,
}

impl ChannelBacklog {
    /// Lines that may still be queued.
    pub fn lines(&self) -> f64 {
        self.calls.iter().map(SentCall::total_lines).sum()
    }

    /// Messages written to the proxy within the last `window` ms.
    pub fn messages(&self, now: f64, window: f64, proxy: ProxyId) -> f64 {
        self.messages.get(&proxy).map_or(0.0, |recent| recent.sum_last(now, window).tries)
    }

    fn count_message(&mut self, now: f64, proxy: ProxyId) {
        self.messages.entry(proxy).or_default().add(now, TryStats::new(1, 0, 0.0, 0.0));
    }

    /// Records a call with the given lines for each proxy. Returns the mark that has to be sent after them.
    pub fn record_sent(&mut self, now: f64, lines: BTreeMap<ProxyId, f64>) -> MarkId {
        let mark = MarkId(self.next_mark);
        lines.keys().for_each(|proxy| self.count_message(now, *proxy));
        self.calls.push_back(SentCall { mark, lines, departed_lines: 0.0, broadcast_orders: 0.0 });
        self.next_mark = self.next_mark.wrapping_add(1);
        mark
    }

    /// Sets whether calls are delayed because they do not reach the relay.
    pub fn set_delayed(&mut self, on: bool) {
        self.delayed = on;
    }

    pub fn is_delayed(&self) -> bool {
        self.delayed
    }

    /// Records that so many orders of the last call reach every proxy that is joined when they are carried
    /// out.
    pub fn record_broadcasts(&mut self, orders: usize) {
        if let Some(last) = self.calls.back_mut() {
            last.broadcast_orders = orders as f64;
        }
    }

    /// Counts the delayed orders that also reach a proxy that joins now, in a message with `head` lines of
    /// overhead. Guards the channel's limit while calls do not reach the relay: orders to all proxies that
    /// are still to be delivered reach the new proxy as well.
    pub fn add_newcomer(&mut self, proxy: ProxyId, head: f64) {
        let broadcasts: f64 = self.calls.iter().map(|call| call.broadcast_orders).sum();
        let Some(last) = self.calls.back_mut().filter(|_| self.delayed && broadcasts > 0.0) else { return };
        *last.lines.entry(proxy).or_default() += broadcasts + head;
    }

    /// Records that everything sent with the marks from `first` to `last` was delivered as one call. An
    /// answer to one of these marks proves nothing about the other proxies: the first proxy to get its
    /// message answers all marks of the call while the messages to the others are still queued. Guards the
    /// channel's limit after the relay was unreachable: when such answers were counted one by one, 45,000
    /// lines counted as sent that were still queued.
    pub fn merge_calls(&mut self, first: MarkId, last: MarkId) {
        let within = |call: &SentCall| call.mark.0.wrapping_sub(first.0) <= last.0.wrapping_sub(first.0);
        let Some(index) = self.calls.iter().position(within) else { return };
        let count = self.calls.iter().skip(index).take_while(|call| within(call)).count();
        let mut merged =
            SentCall { mark: last, lines: BTreeMap::new(), departed_lines: 0.0, broadcast_orders: 0.0 };
        for call in self.calls.drain(index..index + count) {
            merged.departed_lines += call.departed_lines;
            merged.broadcast_orders += call.broadcast_orders;
            call.lines
                .into_iter()
                .for_each(|(proxy, lines)| *merged.lines.entry(proxy).or_default() += lines);
        }
        self.calls.insert(index, merged);
    }

    /// Records that what was sent with the mark may be on its way twice. Guards the limits of the channel's
    /// queue and of messages when a call is repeated: both copies may have been carried out.
    pub fn duplicate_call(&mut self, now: f64, mark: MarkId) {
        let Some(index) = self.calls.iter().position(|call| call.mark == mark) else { return };
        let duplicate = self.calls[index].clone();
        duplicate.lines.keys().for_each(|proxy| self.count_message(now, *proxy));
        self.calls.insert(index, duplicate);
    }

    /// Records that a part of what was sent with the mark was accepted and that the rest is sent as a call of
    /// its own: one more message to each proxy, with `head` lines of overhead. Each of its other lines is
    /// sent once, in one call or the other.
    pub fn split_call(&mut self, now: f64, mark: MarkId, head: f64) {
        let Some(index) = self.calls.iter().position(|call| call.mark == mark) else { return };
        let proxies: Vec<ProxyId> = self.calls[index].lines.keys().copied().collect();
        proxies.iter().for_each(|proxy| self.count_message(now, *proxy));
        self.calls[index].lines.values_mut().for_each(|lines| *lines += head);
    }

    /// The proxy has applied everything up to the mark. Returns false for an unknown mark, which changes
    /// nothing.
    pub fn acknowledge(&mut self, proxy: ProxyId, mark: MarkId) -> bool {
        let Some(index) = self.calls.iter().position(|call| call.mark == mark) else { return false };
        self.calls.drain(..index);
        for duplicate in self.calls.iter_mut().take_while(|call| call.mark == mark) {
            duplicate.lines.remove(&proxy);
        }
        true
    }

    /// Of the lines queued for proxies that left, so many more have certainly been sent, the earliest first.
    /// While calls do not reach the relay this is not certain, so nothing is removed.
    pub fn expire_departed(&mut self, mut lines: f64) {
        if self.delayed {
            lines = 0.0;
        }
        for call in &mut self.calls {
            let gone = call.departed_lines.min(lines);
            (call.departed_lines, lines) = (call.departed_lines - gone, lines - gone);
        }
        self.calls.retain(|call| call.departed_lines > 0.0 || !call.lines.is_empty());
    }

    /// The proxy joins, or continues after a gap in the relay watch in which it may have left and joined
    /// again. Messages that were written to it up to then still count, unless it joins `without_table` because
    /// it has restarted. Guards the limit of messages to a proxy that never left.
    pub fn proxy_joined(&mut self, proxy: ProxyId, without_table: bool) {
        let before = self.just_left.remove(&proxy).filter(|_| !without_table);
        self.messages.extend(before.map(|recent| (proxy, recent)));
    }

    /// Proxies that left in this batch of events and have not joined again are gone for good.
    pub fn finish_departures(&mut self) {
        self.just_left.clear();
    }

    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.just_left.extend(self.messages.remove(&proxy).map(|recent| (proxy, recent)));
        for call in &mut self.calls {
            call.departed_lines += call.lines.remove(&proxy).unwrap_or(0.0);
        }
    }
}
