//! Events of the relay about proxies: joins, leaves and answered marks.

use amberarch_core::{Event, MarkId, ProxyId, ZoneId};

use super::{place, Desk, Joined};
use crate::heard::News;

impl Desk {
    pub(super) fn relay_event(&mut self, event: News) {
        match event {
            News::Joined { proxy, zone, weight, fresh } => self.proxy_joined(proxy, &zone, weight, fresh),
            News::Left { proxy } => self.proxy_left(proxy),
            News::Applied { proxy, mark, took_ms } => {
                self.mark_applied(ProxyId(proxy), MarkId(mark), took_ms);
            }
        }
    }

    fn proxy_joined(&mut self, proxy: u16, zone: &str, weight: f64, without_table: bool) {
        let zone = place(&self.labels.zones, zone).filter(|_| u32::from(proxy) < self.labels.proxies);
        let Some(zone) = zone.map(ZoneId) else {
            self.counters.news_skipped.one();
            return self.skip("unknown proxy, or proxy of an unknown zone".into());
        };
        // In a snapshot, a known proxy goes on; one without an ordered table has joined again.
        let proxy = ProxyId(proxy);
        let goes_on = self.unseen.as_mut().is_some_and(|unseen| unseen.remove(&proxy));
        if goes_on && !without_table && !self.rebind {
            return;
        }
        self.left(proxy);
        self.with_judge(|judge, now| judge.joined(now, proxy, zone, without_table));
        self.counters.joined.one();
        let txns_per_s = weight.max(0.0);
        self.joined.insert(proxy, Joined { zone, txns_per_s });
        self.notify_guard(&Event::ProxyJoined { proxy, zone, txns_per_s, without_table });
        self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table });
    }

    fn proxy_left(&mut self, proxy: u16) {
        if u32::from(proxy) >= self.labels.proxies {
            self.counters.news_skipped.one();
            return self.skip("leave event of an unknown proxy".into());
        }
        let proxy = ProxyId(proxy);
        if let Some(unseen) = &mut self.unseen {
            unseen.remove(&proxy);
        }
        self.left(proxy);
    }

    pub(super) fn left(&mut self, proxy: ProxyId) {
        if self.joined.remove(&proxy).is_some() {
            self.with_judge(|judge, now| judge.left(now, proxy));
            self.notify_guard(&Event::ProxyLeft { proxy });
            self.counters.left.one();
            self.events.push(Event::ProxyLeft { proxy });
        }
    }

    fn mark_applied(&mut self, proxy: ProxyId, mark: MarkId, duration: f64) {
        // A proxy that has left answers nothing; an answer that names it is late or corrupted.
        if !self.joined.contains_key(&proxy) || duration.is_nan() || duration < 0.0 {
            self.counters.news_skipped.one();
            return self.skip("impossible answer to a mark".into());
        }
        self.counters.applied.one();
        self.with_judge(|judge, now| judge.applied(now, proxy, mark));
        self.notify_guard(&Event::MarkApplied { proxy, mark, duration });
        if let Some(mark) = self.own(mark) {
            self.events.push(Event::MarkApplied { proxy, mark, duration });
        }
    }

    /// Records that the replies with these marks, in this order, went as one call.
    pub(super) fn together(&mut self, marks: &[MarkId]) {
        // The guard also counts what earlier incarnations wrote.
        if let (Some(first), Some(last)) = (marks.first().copied(), marks.last().copied()) {
            self.notify_guard(&Event::CallsMerged { first, last });
        }
        // The controller counts only what its own incarnation wrote.
        let own: Vec<MarkId> = marks.iter().filter_map(|mark| self.own(*mark)).collect();
        if let (Some(first), Some(last)) = (own.first().copied(), own.last().copied()) {
            self.events.push(Event::CallsMerged { first, last });
        }
    }
}
