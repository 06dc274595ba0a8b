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

    fn proxy_joined(&mut self, proxy: u16, zone: &str, weight: f64, fresh: bool) {
        let zone = place(&self.labels.zones, zone).filter(|_| u32::from(proxy) < self.labels.proxies);
        let Some(zone) = zone.map(ZoneId) else {
            self.counters.news_skipped.one();
            return self.skip("a proxy that is not known, or of such a zone".into());
        };
        // In what stands, one that is known goes on; one that holds no ordered table came anew.
        let proxy = ProxyId(proxy);
        let goes_on = self.unseen.as_mut().is_some_and(|unseen| unseen.remove(&proxy));
        if goes_on && !fresh && !self.anew {
            return;
        }
        self.left(proxy);
        self.judged(|judge, now| judge.joined(now, proxy, zone, fresh));
        self.counters.joined.one();
        let txns_per_s = weight.max(0.0);
        self.joined.insert(proxy, Joined { zone, txns_per_s });
        self.guard_hears(&Event::Joined { proxy, zone, txns_per_s, fresh });
        self.events.push(Event::Joined { proxy, zone, txns_per_s, fresh });
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
            self.guard_hears(&Event::Left { proxy });
            self.counters.left.one();
            self.events.push(Event::Left { proxy });
        }
    }

    fn mark_applied(&mut self, proxy: ProxyId, mark: MarkId, took: f64) {
        // One that has left is answered for by nobody; an answer that names it is late or spoilt.
        if !self.joined.contains_key(&proxy) || took.is_nan() || took < 0.0 {
            self.counters.news_skipped.one();
            return self.skip("an answer to a mark that can't be".into());
        }
        self.counters.applied.one();
        self.judged(|judge, now| judge.applied(now, proxy, mark));
        self.guard_hears(&Event::Applied { proxy, mark, took });
        if let Some(mark) = self.own(mark) {
            self.events.push(Event::Applied { proxy, mark, took });
        }
    }

    /// Replies with these marks, in their order, went as one call.
    pub(super) fn together(&mut self, marks: &[MarkId]) {
        // The guard counts what earlier decisions wrote too.
        if let (Some(first), Some(last)) = (marks.first().copied(), marks.last().copied()) {
            self.guard_hears(&Event::Together { first, last });
        }
        // Of these decisions: what those before them wrote is not counted any more.
        let own: Vec<MarkId> = marks.iter().filter_map(|mark| self.own(*mark)).collect();
        if let (Some(first), Some(last)) = (own.first().copied(), own.last().copied()) {
            self.events.push(Event::Together { first, last });
        }
    }
}
