//! What waits in the channel to the proxies, at the most.

use std::collections::{BTreeMap, VecDeque};

use amberarch_core::{MarkId, ProxyId};

use crate::{Ring, Tally};

/// What went as one call: a message to each of its proxies, in no order among them that is known.
#[derive(Clone)]
struct Sent {
    mark: MarkId,
    lines: BTreeMap<ProxyId, f64>,
    /// Lines for proxies that left; after a gap in the news they may get them all the same.
    lost: f64,
    /// How many of its orders reach whoever is joined when they are carried out.
    to_all: f64,
}

impl Sent {
    fn all(&self) -> f64 {
        self.lines.values().sum::<f64>() + self.lost
    }
}

/// Lines that were written and may not have left yet, by the mark that went with them. A channel sends in order, so a
/// proxy's answer to a mark shows that all calls before that one have left.
#[derive(Default)]
pub struct Waiting {
    sent: VecDeque<Sent>,
    marks: u16,
    /// Each reply that writes to a proxy is one message to it.
    messages: BTreeMap<ProxyId, Ring>,
    /// Messages to proxies that left a moment ago.
    left_now: BTreeMap<ProxyId, Ring>,
    /// Calls do not get through.
    behind: bool,
}

impl Waiting {
    pub fn lines(&self) -> f64 {
        self.sent.iter().map(Sent::all).sum()
    }

    /// Messages written to the proxy within the last `span` ms.
    pub fn messages(&self, now: f64, span: f64, proxy: ProxyId) -> f64 {
        self.messages.get(&proxy).map_or(0.0, |ring| ring.last(now, span).tries)
    }

    fn count(&mut self, now: f64, proxy: ProxyId) {
        self.messages.entry(proxy).or_default().add(now, Tally::new(1, 0, 0.0, 0.0));
    }

    /// So many lines go to each; the mark that has to go after them.
    pub fn wrote(&mut self, now: f64, lines: BTreeMap<ProxyId, f64>) -> MarkId {
        let mark = MarkId(self.marks);
        lines.keys().for_each(|proxy| self.count(now, *proxy));
        self.sent.push_back(Sent { mark, lines, lost: 0.0, to_all: 0.0 });
        self.marks = self.marks.wrapping_add(1);
        mark
    }

    /// Calls get through from here on, or do not.
    pub fn behind(&mut self, on: bool) {
        self.behind = on;
    }

    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// So many orders of the last message reach whoever is joined when they are carried out.
    pub fn reaches_all(&mut self, orders: usize) {
        if let Some(last) = self.sent.back_mut() {
            last.to_all = orders as f64;
        }
    }

    /// The proxy joined. Guards the queue's limit where calls do not get through: orders to all that wait for the relay
    /// reach it as well, in a message with a head of so many lines.
    pub fn newcomer(&mut self, proxy: ProxyId, head: f64) {
        let to_all: f64 = self.sent.iter().map(|sent| sent.to_all).sum();
        let Some(last) = self.sent.back_mut().filter(|_| self.behind && to_all > 0.0) else { return };
        *last.lines.entry(proxy).or_default() += to_all + head;
    }

    /// What went with these marks, the first to the last, went as one call. An answer to any of them says nothing of the
    /// others' proxies: the first of them to get its message answers all marks of the call, and what the others are to
    /// get still waits. Guards the queue's limit after a time in which the relay was away: taken one by one, such
    /// answers had 45,000 lines count as gone that were still there.
    pub fn together(&mut self, first: MarkId, last: MarkId) {
        let within = |sent: &Sent| sent.mark.0.wrapping_sub(first.0) <= last.0.wrapping_sub(first.0);
        let Some(place) = self.sent.iter().position(within) else { return };
        let count = self.sent.iter().skip(place).take_while(|sent| within(sent)).count();
        let mut one = Sent { mark: last, lines: BTreeMap::new(), lost: 0.0, to_all: 0.0 };
        for sent in self.sent.drain(place..place + count) {
            one.lost += sent.lost;
            one.to_all += sent.to_all;
            sent.lines.into_iter().for_each(|(proxy, lines)| *one.lines.entry(proxy).or_default() += lines);
        }
        self.sent.insert(place, one);
    }

    /// What went with the mark may be on its way twice. Guards queue and messages where a call is repeated: each may
    /// have been carried out.
    pub fn again(&mut self, now: f64, mark: MarkId) {
        let Some(place) = self.sent.iter().position(|sent| sent.mark == mark) else { return };
        let copy = self.sent[place].clone();
        copy.lines.keys().for_each(|proxy| self.count(now, *proxy));
        self.sent.insert(place, copy);
    }

    /// A part of what went with the mark was taken and the rest goes as a call of its own: one message more to each proxy,
    /// with a head of so many lines. Its other lines go once, in one call or the other.
    pub fn parted(&mut self, now: f64, mark: MarkId, head: f64) {
        let Some(place) = self.sent.iter().position(|sent| sent.mark == mark) else { return };
        let proxies: Vec<ProxyId> = self.sent[place].lines.keys().copied().collect();
        proxies.iter().for_each(|proxy| self.count(now, *proxy));
        self.sent[place].lines.values_mut().for_each(|lines| *lines += head);
    }

    /// The proxy has applied all up to the mark. False: the mark is not known and says nothing.
    pub fn answered(&mut self, proxy: ProxyId, mark: MarkId) -> bool {
        let Some(place) = self.sent.iter().position(|sent| sent.mark == mark) else { return false };
        self.sent.drain(..place);
        for copy in self.sent.iter_mut().take_while(|sent| sent.mark == mark) {
            copy.lines.remove(&proxy);
        }
        true
    }

    /// Of the lines that waited for proxies that left, so many more have surely gone, the earliest first.
    /// While calls do not get through nothing of the sort is sure.
    pub fn fade(&mut self, mut lines: f64) {
        if self.behind {
            lines = 0.0;
        }
        for sent in &mut self.sent {
            let gone = sent.lost.min(lines);
            (sent.lost, lines) = (sent.lost - gone, lines - gone);
        }
        self.sent.retain(|sent| sent.lost > 0.0 || !sent.lines.is_empty());
    }

    /// The proxy joins, or goes on after a gap in the news in which it may have left and joined again. Messages that it was
    /// written until a moment ago count on, unless it began anew. Guards the limit of messages to a proxy that was there
    /// all the time.
    pub fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let before = self.left_now.remove(&proxy).filter(|_| !fresh);
        self.messages.extend(before.map(|ring| (proxy, ring)));
    }

    /// Who left up to now and has not joined again has left for good.
    pub fn settle_departures(&mut self) {
        self.left_now.clear();
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.left_now.extend(self.messages.remove(&proxy).map(|ring| (proxy, ring)));
        for sent in &mut self.sent {
            sent.lost += sent.lines.remove(&proxy).unwrap_or(0.0);
        }
    }
}
