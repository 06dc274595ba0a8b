//! Messages of the other tasks: what each of them changes in the event loop, and the events that the controller gets of it.

use amberarch_core::{
    ClassId, Event, HostId, ListUpdate, LoadReport, MarkId, Order, ProbeOutcome, ProxyId, ZoneId,
};
use amberarch_intake::Believed;
use slog::{error, info, warn};

use super::{place, Desk, Joined};
use crate::fleet::Holds;
use crate::heard::{Entry, Heard, Listing};
use crate::lines::Message;
use crate::state;

/// How a probe ended.
struct ProbeEnd {
    entry: Entry,
    outcome: ProbeOutcome,
    /// How long it took, ms.
    took: f64,
    report: LoadReport,
}

impl Desk {
    /// Turns a message into events for the controller; unknown names are skipped.
    pub(super) fn handle(&mut self, heard: Heard) {
        match heard {
            Heard::Report(report) => self.traffic_report(report),
            Heard::SnapshotBegins { rebind } => self.snapshot_begins(rebind),
            Heard::SnapshotEnds => self.snapshot_ends(),
            Heard::News(news) => self.relay_event(news),
            Heard::Listed(listing) => self.list_received(listing),
            Heard::ListUnchanged => self.list_unchanged(),
            Heard::ListFailed => {
                self.events.push(Event::List { update: ListUpdate::Failed, entries: vec![] });
            }
            Heard::Loads(loads) => self.load_estimates(loads),
            Heard::Probed { host, entry, outcome, took, report } => {
                self.probed(host, ProbeEnd { entry, outcome, took, report });
            }
            Heard::RelayDelayed { on } => self.events.push(Event::RelayDelayed { on }),
            Heard::Together { marks } => self.together(&marks),
            Heard::CallDuplicated { mark } => {
                self.duplicate_message(mark, |mark| Event::CallDuplicated { mark });
            }
            Heard::CallSplit { mark } => self.duplicate_message(mark, |mark| Event::CallSplit { mark }),
            Heard::Answered { place } => self.calls_answered(place),
            Heard::Holds(holds) => self.policy_changed(holds),
            Heard::Bound(bound) => {
                if let Some(policy_lease) = &mut self.policy_lease {
                    policy_lease.bound(bound);
                }
            }
            Heard::Fenced { incarnation, orders } => self.orders_dropped(incarnation, &orders),
            Heard::OrdersRefused { binds: Some(proxy), orders } => self.bind_refused(proxy, &orders),
            Heard::OrdersRefused { binds: None, orders } => self.orders_refused(&orders),
        }
    }

    fn traffic_report(&mut self, report: Message) {
        match self.report_event(report) {
            Ok(event) => {
                self.record_success(&event);
                self.record_arrivals(&event);
                self.events.push(event);
            }
            Err(why) => {
                self.counters.lines_skipped.one();
                self.skip(why);
            }
        }
    }

    fn report_event(&self, report: Message) -> Result<Event, String> {
        match report {
            Message::Load { zone, host, tries, failed, mean_latency, covered, report: load } => {
                let zone = place(&self.labels.zones, &zone).ok_or("unknown zone")?;
                let host = self.names.find(&host).ok_or("unknown host")?;
                // A report counts as observed in the middle of the time that it covers.
                self.seen(host, self.now() - covered / 2.0);
                Ok(Event::HostReport { host, zone: ZoneId(zone), covered, tries, failed, mean_latency, load })
            }
            Message::Rate { proxy, class, txns, failed, covered } => {
                let class = place(&self.labels.products, &class).ok_or("unknown request class")?;
                if u32::from(proxy) >= self.labels.proxies {
                    return Err("unknown proxy".into());
                }
                let (proxy, class) = (ProxyId(proxy), ClassId(class));
                Ok(Event::ProxyReport { proxy, class, txns, failed, covered })
            }
            Message::Ping | Message::Source { .. } => Err("not a traffic report".into()),
        }
    }

    fn record_arrivals(&mut self, event: &Event) {
        let (now, Event::ProxyReport { proxy, .. }) = (self.now(), event) else { return };
        if let Some((policy_lease, joined)) = self.policy_lease.as_mut().zip(self.joined.get(proxy)) {
            policy_lease.record_arrivals(now, joined.zone, event);
        }
    }

    fn snapshot_begins(&mut self, rebind: bool) {
        // A snapshot that the former watch left incomplete keeps its `rebind`.
        self.rebind = rebind || self.unseen.is_some() && self.rebind;
        self.unseen = Some(self.joined.keys().copied().collect());
    }

    fn snapshot_ends(&mut self) {
        let unseen = self.unseen.take().unwrap_or_default();
        info!(self.log, "the snapshot of the relay's proxies is complete"; "joined" => self.joined.len() - unseen.len(),
            "left" => unseen.len(), "bound_anew" => self.rebind);
        for proxy in unseen {
            self.left(proxy);
        }
    }

    /// Passes the list on, or gives it to the membership, which passes on the hosts that it trusts.
    fn list_received(&mut self, listing: Listing) {
        let now = self.unix.now_ms();
        let Some(host_state) = &mut self.host_state else {
            let update = if listing.whole { ListUpdate::Whole } else { ListUpdate::Changes };
            return self.listed(listing, update);
        };
        let rows = listing.hosts.iter().map(|row| (row.host.clone(), state::kept(row))).collect();
        host_state.roster.listed(now, listing.seq, listing.whole, rows);
        self.emit_trusted(ListUpdate::Changes, true);
    }

    fn list_unchanged(&mut self) {
        self.list_confirmed_at = self.now();
        let now = self.unix.now_ms();
        if let Some(host_state) = &mut self.host_state {
            host_state.roster.stands(now);
        }
    }

    fn load_estimates(&mut self, loads: Vec<Believed>) {
        let event = |Believed { host, load, age, sure: confidence, .. }| Event::LoadEstimate {
            host,
            load,
            age,
            confidence,
        };
        self.events.extend(loads.into_iter().map(event));
    }

    fn probed(&mut self, host: HostId, ProbeEnd { entry, outcome, took: duration, report: load }: ProbeEnd) {
        if self.replaced(host, entry) {
            let (outcome, load) = (ProbeOutcome::Unknown, LoadReport::default());
            self.record_probe(host, outcome);
            self.events.push(Event::ProbeResult { host, outcome, duration: 0.0, load });
            return;
        }
        self.record_probe(host, outcome);
        // A host that is probed on behalf of the membership is not known to the controller yet.
        if self.host_state.is_some() && !self.hosts.contains_key(&host) {
            return;
        }
        self.seen(host, self.now());
        self.events.push(Event::ProbeResult { host, outcome, duration, load });
    }

    /// Records that the reply with this mark takes, or may take, one more message to each of its proxies.
    fn duplicate_message(&mut self, mark: MarkId, event: fn(MarkId) -> Event) {
        self.with_judge(|judge, _| judge.unsure(mark));
        self.notify_guard(&Event::CallDuplicated { mark });
        self.events.extend(self.own(mark).map(event));
    }

    fn calls_answered(&mut self, place: u64) {
        self.with_judge(|judge, _| judge.answered(place));
        let now = self.now();
        self.guard.iter_mut().for_each(|guard| guard.answered(now, place));
    }

    fn policy_changed(&mut self, holds: Holds) {
        let unix = self.unix.now_ms();
        if let Some(policy_lease) = &mut self.policy_lease {
            policy_lease.apply(unix, holds);
        }
    }

    /// Orders were not written, as their lease or policy stage was no longer in force.
    fn orders_dropped(&mut self, incarnation: u64, orders: &[Order]) {
        self.gave_up(orders);
        if incarnation == self.incarnation {
            warn!(self.log, "orders were dropped because their lease or policy stage is no longer in force; \
                the decisions start anew"; "orders" => orders.len(), "restores" => count_restores(orders));
            self.start_anew();
        }
    }

    /// The proxy is not, or no longer, the one that was bound, so it is bound again. If a message about its leaving is
    /// still in transit, that one takes effect last.
    fn bind_refused(&mut self, proxy: ProxyId, orders: &[Order]) {
        self.gave_up(orders);
        if let Some(Joined { zone, txns_per_s }) = self.joined.get(&proxy).copied() {
            self.events.push(Event::ProxyLeft { proxy });
            self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table: false });
        }
    }

    fn orders_refused(&mut self, orders: &[Order]) {
        self.gave_up(orders);
        if let Some(hidden) = self.refused.pass() {
            error!(self.log, "the relay refuses an order; the decisions start anew"; "hidden" => hidden);
        }
        self.start_anew();
    }

    /// Records orders that were not carried out, or only maybe.
    pub(super) fn gave_up(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Withdraw { host, withdrawn: false } if self.hosts.contains_key(host) => {
                    self.withdrawals.restore_not_carried_out(*host);
                }
                _ => {}
            }
        }
        self.with_judge(|judge, _| judge.gave_up(orders));
        if let Some(guard) = &mut self.guard {
            guard.gave_up(orders);
        }
    }
}

/// How many of the orders restore a host.
fn count_restores(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Withdraw { withdrawn: false, .. })).count()
}
