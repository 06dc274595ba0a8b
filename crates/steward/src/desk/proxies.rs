//! What the relay's news says of proxies: who joins, who leaves, and which marks are answered.

use amberarch_core::{Event, MarkId, ProxyId, ZoneId};

use super::{place, Desk, Joined};
use crate::heard::News;

impl Desk {
    pub(super) fn news(&mut self, news: News) {
        match news {
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
            return self.skip("a proxy that is not known, or of such a zone".into());
        };
        // In what stands, one that is known goes on; one that holds no ordered table came anew.
        let proxy = ProxyId(proxy);
        let goes_on = self.unseen.as_mut().is_some_and(|unseen| unseen.remove(&proxy));
        if goes_on && !without_table && !self.anew {
            return;
        }
        self.left(proxy);
        self.judged(|judge, now| judge.joined(now, proxy, zone, without_table));
        self.counters.joined.one();
        let txns_per_s = weight.max(0.0);
        self.joined.insert(proxy, Joined { zone, txns_per_s });
        self.guard_hears(&Event::ProxyJoined { proxy, zone, txns_per_s, without_table });
        self.events.push(Event::ProxyJoined { proxy, zone, txns_per_s, without_table });
    }

    fn proxy_left(&mut self, proxy: u16) {
        if u32::from(proxy) >= self.labels.proxies {
            self.counters.news_skipped.one();
            return self.skip("the leaving of a proxy that is not known".into());
        }
        let proxy = ProxyId(proxy);
        if let Some(unseen) = &mut self.unseen {
            unseen.remove(&proxy);
        }
        self.left(proxy);
    }

    pub(super) fn left(&mut self, proxy: ProxyId) {
        if self.joined.remove(&proxy).is_some() {
            self.judged(|judge, now| judge.left(now, proxy));
            self.guard_hears(&Event::ProxyLeft { proxy });
            self.counters.left.one();
            self.events.push(Event::ProxyLeft { proxy });
        }
    }

    fn mark_applied(&mut self, proxy: ProxyId, mark: MarkId, duration: f64) {
        // One that has left is answered for by nobody; an answer that names it is late or spoilt.
        if !self.joined.contains_key(&proxy) || duration.is_nan() || duration < 0.0 {
            self.counters.news_skipped.one();
            return self.skip("an answer to a mark that can't be".into());
        }
        self.counters.applied.one();
        self.judged(|judge, now| judge.applied(now, proxy, mark));
        self.guard_hears(&Event::MarkApplied { proxy, mark, duration });
        if let Some(mark) = self.own(mark) {
            self.events.push(Event::MarkApplied { proxy, mark, duration });
        }
    }

    /// Replies with these marks, in their order, went as one call.
    pub(super) fn together(&mut self, marks: &[MarkId]) {
        // The guard counts what earlier decisions wrote too.
        if let (Some(first), Some(last)) = (marks.first().copied(), marks.last().copied()) {
            self.guard_hears(&Event::CallsMerged { first, last });
        }
        // Of these decisions: what those before them wrote is not counted any more.
        let own: Vec<MarkId> = marks.iter().filter_map(|mark| self.own(*mark)).collect();
        if let (Some(first), Some(last)) = (own.first().copied(), own.last().copied()) {
            self.events.push(Event::CallsMerged { first, last });
        }
    }
}
