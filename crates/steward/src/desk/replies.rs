//! Dispatches the controller's orders: replies to the relay, requests for the list, probes and timers.

use std::cmp::Reverse;
use std::time::Duration;

use amberarch_core::{Event, HostId, ListUpdate, LoadReport, MarkId, Order, ProbeOutcome, TimerId};
use slog::{error, info, warn};
use tokio::time::Instant;

use super::{is_in_service, Desk, KnownHost, MARKS_PER_INCARNATION};
use crate::guard::Keeper;
use crate::heard::{Ask, DecidedUnder, Encoded, Probe, Reply};
use crate::orders;

/// What is left of a decision once its orders for other tasks are handed out.
#[derive(Default)]
struct RelayOrders {
    orders: Vec<Order>,
    mark: Option<MarkId>,
    /// Hosts that the decisions do not know any more once the orders are passed on.
    forgotten_hosts: Vec<HostId>,
}

impl Desk {
    /// Hands out the orders of a decision.
    pub(super) fn hand_out(&mut self, decided: Vec<Order>) {
        let mut for_relay = RelayOrders::default();
        for order in decided {
            self.counters.orders.one();
            self.dispatch(order, &mut for_relay);
        }
        let RelayOrders { orders, mark, forgotten_hosts } = for_relay;
        let guard_holds_back = self.guard.as_ref().is_some_and(Keeper::waits);
        let sent = if !orders.is_empty() || guard_holds_back {
            self.call(orders, mark)
        } else if self.withdrawals.restores_due(|host| is_in_service(&self.hosts, host)) {
            self.call_with_own_mark(false)
        } else {
            true
        };
        if sent {
            forgotten_hosts.into_iter().for_each(|host| self.forget(host));
        }
    }

    /// Hands an order to the task that carries it out, or adds it to the orders for the relay.
    fn dispatch(&mut self, order: Order, for_relay: &mut RelayOrders) {
        match order {
            Order::StartTimer { after, timer } => self.start_timer(after, timer),
            Order::Probe { host } => self.probe(host),
            Order::WatchList { on } => self.ask(if on { Ask::Watch } else { Ask::Unwatch }),
            Order::FetchList => self.ask(Ask::Whole),
            Order::ForgetHost { host } => for_relay.forgotten_hosts.push(host),
            Order::StoreHint { host, latency_factor } => {
                if self.policy_lease.is_some() {
                    self.weight_fractions.insert(host, latency_factor);
                }
                self.learnt(host, Some(latency_factor), None);
            }
            Order::Log { text } => info!(self.log, "message of the controller"; "text" => text),
            Order::LogHosts { text, hosts } => {
                let hosts = self.named(&hosts, |_, _| String::new());
                info!(self.log, "message of the controller"; "text" => text, "hosts" => hosts);
            }
            Order::SendToPeer { .. } => {
                warn!(self.log, "messages between controllers are not supported on sockets")
            }
            Order::Mark { mark, all_proxies } => {
                let mark = MarkId(mark.0.wrapping_add(self.first_mark));
                for_relay.mark = Some(mark);
                for_relay.orders.push(Order::Mark { mark, all_proxies });
            }
            Order::Withdraw { host, withdrawn } => {
                self.learnt(host, None, Some(withdrawn));
                for_relay.orders.push(order);
            }
            order => for_relay.orders.push(order),
        }
    }

    fn start_timer(&mut self, after: f64, timer: TimerId) {
        /// The wire page allows 71 minutes at most.
        const LONGEST_TIMER: Duration = Duration::from_secs(71 * 60);
        let after = Duration::try_from_secs_f64(after / 1e3).unwrap_or_default();
        self.timers.push(Reverse((Instant::now() + after.min(LONGEST_TIMER), timer)));
    }

    fn forget(&mut self, host: HostId) {
        self.with_judge(|judge, _| judge.forgotten(host));
        self.names.forget(host);
        self.hosts.remove(&host);
        self.withdrawals.forget(host);
        self.weight_fractions.remove(&host);
        self.entry_weights.forget(host);
    }

    /// Orders a mark alone, whose answers show what proxies hold.
    pub(super) fn ask_proxies(&mut self) {
        self.call_with_own_mark(true);
    }

    /// A call without orders of the controller. Its mark can't be one of the controller's: those count up from the first of
    /// the incarnation, these count down from it.
    fn call_with_own_mark(&mut self, all_proxies: bool) -> bool {
        self.poll_marks = (self.poll_marks + 1) % (MARKS_PER_INCARNATION / 4);
        let mark = MarkId(self.first_mark.wrapping_sub(1 + self.poll_marks));
        self.call(vec![Order::Mark { mark, all_proxies }], Some(mark))
    }

    /// Checks a reply against the policy and hands it to the relay. False if the controller was restarted because of it.
    pub(super) fn call(&mut self, decided: Vec<Order>, mark: Option<MarkId>) -> bool {
        let restores = self.withdrawals.take_restores(|host| is_in_service(&self.hosts, host));
        if !restores.is_empty() {
            info!(self.log, "hosts that former decisions withdrew are restored"; "hosts" => restores.len());
        }
        let now = self.now();
        // First repairs what an earlier incarnation left in tables and this one does not know of.
        let repairs = match &mut self.policy_lease {
            Some(policy_lease) if std::mem::take(&mut self.repairs_due) => policy_lease.judge().mends(now),
            _ => vec![],
        };
        let mut orders: Vec<Order> =
            repairs.into_iter().chain(restores.iter().cloned()).chain(decided).collect();
        let (mut place, mut restart) = (0, false);
        if let Some(guard) = &mut self.guard {
            (orders, place, restart) = guard.pass(now, orders);
        }
        let Some(policy_lease) = &mut self.policy_lease else {
            let ruled = DecidedUnder { incarnation: self.incarnation, place, ..DecidedUnder::default() };
            let sent = orders.is_empty() || self.send(orders.iter(), mark, ruled);
            if sent && restart {
                self.start_anew();
            }
            return sent && !restart;
        };
        let sifted = policy_lease.sift(now, orders);
        let judged_up_to = policy_lease.judge().place();
        let ruled = DecidedUnder {
            under: policy_lease.under(),
            stage: policy_lease.stage(),
            incarnation: self.incarnation,
            place: judged_up_to,
        };
        if let Some(guard) = &mut self.guard {
            let refused: Vec<Order> = sifted.refused.iter().map(|refused| refused.0.clone()).collect();
            guard.sifted(judged_up_to, &refused);
        }
        if !self.send(sifted.orders.iter(), mark, ruled) {
            return false;
        }
        if restart {
            self.start_anew();
            return false;
        }
        // New decisions could not restore a host either that the policy keeps out.
        if sifted.refused.iter().any(|(order, _)| !restores.contains(order)) {
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
        ruled: DecidedUnder,
    ) -> bool {
        let name = |host| self.names.name(host).map(String::from);
        let is_checked = self.policy_lease.is_some() || self.guard.is_some();
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
            let keep_order = is_checked || matches!(order, Order::Withdraw { .. });
            Some(Encoded { bytes, binds, mark, order: keep_order.then(|| order.clone()) })
        };
        let (sent, orders): (Vec<&Order>, Vec<Encoded>) =
            orders.filter_map(|order| Some((order, encoded(order)?))).unzip();
        self.counters.replies.one();
        // The controller's own count of waiting messages keeps this queue far below its size. The event loop never
        // blocks: should the queue be full nevertheless, a restart of the controller replaces the lost reply.
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
        sent.iter().for_each(|order| self.withdrawals.passed_on(order));
        self.log_withdrawals(&sent);
        true
    }

    pub(super) fn ask(&mut self, ask: Ask) {
        if self.out.list.try_send(ask).is_err() {
            self.counters.list_asks_lost.one();
            self.events.push(Event::List { update: ListUpdate::Failed, entries: vec![] });
        }
    }

    pub(super) fn probe(&mut self, host: HostId) {
        let entry = self.hosts.get(&host).and_then(KnownHost::entry);
        let sent = entry.is_some_and(|entry| self.out.probes.try_send(Probe { host, entry }).is_ok());
        if !sent {
            self.counters.probes_unsent.one();
            let (outcome, load) = (ProbeOutcome::Unknown, LoadReport::default());
            self.events.push(Event::ProbeResult { host, outcome, duration: 0.0, load });
        }
    }
}
