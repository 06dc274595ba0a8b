//! What the decisions order, handed on: replies to the relay, calls for the list, probes and timers.

use std::cmp::Reverse;
use std::time::Duration;

use amberarch_core::{Event, HostId, ListUpdate, LoadReport, MarkId, Order, ProbeOutcome};
use slog::{error, info, warn};
use tokio::time::Instant;

use super::{Desk, Known, MARKS_OF_A_LIFE};
use crate::guard::Keeper;
use crate::heard::{Ask, Encoded, Probe, Reply, Ruled};
use crate::orders;

impl Desk {
    pub(super) fn hand_out(&mut self, mut decided: Vec<Order>) {
        /// The wire page: 71 minutes at most.
        const LONGEST_TIMER: Duration = Duration::from_secs(71 * 60);
        let (mut calls, mut mark, mut gone) = (Vec::new(), None, Vec::new());
        for order in &mut decided {
            if let Order::Mark { mark, .. } = order {
                mark.0 = mark.0.wrapping_add(self.first_mark);
            }
        }
        for order in &decided {
            self.counters.orders.one();
            match order {
                Order::StartTimer { after, timer } => {
                    let after = Duration::try_from_secs_f64(after / 1e3).unwrap_or_default();
                    self.timers.push(Reverse((Instant::now() + after.min(LONGEST_TIMER), *timer)));
                }
                Order::Probe { host } => self.probe(*host),
                Order::WatchList { on } => self.ask(if *on { Ask::Watch } else { Ask::Unwatch }),
                Order::FetchList => self.ask(Ask::Whole),
                Order::ForgetHost { host } => gone.push(*host),
                Order::StoreHint { host, latency_factor } => {
                    if self.ward.is_some() {
                        self.parts.insert(*host, *latency_factor);
                    }
                    self.learnt(*host, Some(*latency_factor), None);
                }
                Order::Log { text } => info!(self.log, "the decisions say"; "text" => text),
                Order::SendToPeer { .. } => {
                    warn!(self.log, "stewards do not speak with each other on sockets")
                }
                order => {
                    if let Order::Withdraw { host, withdrawn } = order {
                        self.learnt(*host, None, Some(*withdrawn));
                    }
                    match order {
                        Order::Mark { mark: number, .. } => mark = Some(*number),
                        Order::Withdraw { host, withdrawn: true } => drop(self.shut_out.insert(*host)),
                        Order::Withdraw { host, withdrawn: false } => drop(self.shut_out.remove(host)),
                        _ => {}
                    }
                    calls.push(order);
                }
            }
        }
        let owes = self.guard.as_ref().is_some_and(Keeper::waits);
        if (!calls.is_empty() || owes) && !self.call(calls, mark) {
            return;
        }
        for host in gone {
            self.judged(|judge, _| judge.forgotten(host));
            self.names.forget(host);
            self.hosts.remove(&host);
            self.shut_out.remove(&host);
            self.parts.remove(&host);
        }
    }

    /// Orders a mark and nothing else, whose answers say what proxies hold. Its number is none that the decisions give:
    /// theirs count up from the first of their life, these down from it.
    pub(super) fn ask_proxies(&mut self) {
        self.own_marks = (self.own_marks + 1) % (MARKS_OF_A_LIFE / 4);
        let mark = MarkId(self.first_mark.wrapping_sub(1 + self.own_marks));
        self.call(vec![&Order::Mark { mark, all_proxies: true }], Some(mark));
    }

    /// Hands a reply to the relay, after it was judged. False where the decisions start anew for it.
    pub(super) fn call(&mut self, calls: Vec<&Order>, mark: Option<MarkId>) -> bool {
        let let_in = std::mem::take(&mut self.let_in).into_iter();
        let ahead: Vec<Order> = let_in.map(|host| Order::Withdraw { host, withdrawn: false }).collect();
        let now = self.now();
        // What an earlier start of the decisions left in tables, and this one knows nothing of, goes first.
        let mends = match &mut self.ward {
            Some(ward) if std::mem::take(&mut self.mends) => ward.judge().mends(now),
            _ => vec![],
        };
        let mut orders: Vec<Order> =
            mends.into_iter().chain(ahead).chain(calls.into_iter().cloned()).collect();
        let (mut place, mut anew) = (0, false);
        if let Some(guard) = &mut self.guard {
            (orders, place, anew) = guard.pass(now, orders);
        }
        let Some(ward) = &mut self.ward else {
            let ruled = Ruled { life: self.life, place, ..Ruled::default() };
            let sent = orders.is_empty() || self.send(orders.iter(), mark, ruled);
            if sent && anew {
                self.start_anew();
            }
            return sent && !anew;
        };
        let sifted = ward.sift(now, orders);
        let judged = ward.judge().place();
        let ruled = Ruled { under: ward.under(), stage: ward.stage(), life: self.life, place: judged };
        if let Some(guard) = &mut self.guard {
            let refused: Vec<Order> = sifted.refused.iter().map(|refused| refused.0.clone()).collect();
            guard.sifted(judged, &refused);
        }
        if !self.send(sifted.orders.iter(), mark, ruled) {
            return false;
        }
        if anew {
            self.start_anew();
            return false;
        }
        if !sifted.refused.is_empty() {
            error!(self.log, "a reply would have broken residency; the decisions start anew");
            self.start_anew();
            return false;
        }
        true
    }

    pub(super) fn send<'a>(
        &mut self,
        orders: impl Iterator<Item = &'a Order>,
        mark: Option<MarkId>,
        ruled: Ruled,
    ) -> bool {
        let name = |host| self.names.name(host).map(String::from);
        let ward = self.ward.is_some() || self.guard.is_some();
        let encoded = |order: &Order| {
            let binds = match order {
                &Order::Bind { proxy, .. } => Some(proxy),
                _ => None,
            };
            let mark = match order {
                &Order::Mark { mark, .. } => Some(mark),
                _ => None,
            };
            let bytes = orders::encode(order, name, &self.labels.products)?;
            Some(Encoded { bytes, binds, mark, order: ward.then(|| order.clone()) })
        };
        let orders = orders.filter_map(encoded).collect();
        self.counters.replies.one();
        // The module's own count of what waits bounds this queue far below its size. The desk waits
        // for nobody: should it be full all the same, what is lost is made good by starting anew.
        if let Err(lost) = self.out.relay.try_send(Reply { orders, mark, ruled }) {
            self.counters.replies_lost.one();
            if let Some(hidden) = self.full.pass() {
                error!(self.log, "the relay's queue is full; the decisions start anew"; "hidden" => hidden);
            }
            let lost = lost.into_inner().orders.into_iter().filter_map(|order| order.order);
            let lost: Vec<Order> = lost.collect();
            self.gave_up(&lost);
            self.start_anew();
            return false;
        }
        true
    }

    pub(super) fn ask(&mut self, ask: Ask) {
        if self.out.list.try_send(ask).is_err() {
            self.counters.list_asks_lost.one();
            self.events.push(Event::List { update: ListUpdate::Failed, entries: vec![] });
        }
    }

    pub(super) fn probe(&mut self, host: HostId) {
        let entry = self.hosts.get(&host).and_then(Known::entry);
        let sent = entry.is_some_and(|entry| self.out.probes.try_send(Probe { host, entry }).is_ok());
        if !sent {
            self.counters.probes_unsent.one();
            let (outcome, load) = (ProbeOutcome::Unknown, LoadReport::default());
            self.events.push(Event::ProbeResult { host, outcome, duration: 0.0, load });
        }
    }
}
