//! Proxies that are behind: they have not answered a mark within the worst transit and a second. One of them may be at
//! any state since its last answered mark, so it may hold each table that it was bound to since, with each line that the
//! table had since. What was never in one of those was never sent to it.

use std::collections::BTreeMap;

use amberarch_core::*;

use crate::model::{At, Guard, Proxy};

/// Lines that ended are remembered for those who may hold them still: so many, at 16 to 24 bytes each.
const ENDED: usize = 65_536;

impl Guard {
    /// Txns a second that proxies that are behind may bring to a host above what they are counted for there.
    pub(crate) fn of_late(&self, host: HostId) -> f64 {
        if self.behind.is_empty() {
            return 0.0;
        }
        // By table: the call after which nobody holds the line who has answered it, and the most that it was.
        let (mut tables, mut counted) =
            (BTreeMap::<TableId, (At, f64)>::new(), BTreeMap::<TableId, f64>::new());
        let cold = self.cold.contains(&host);
        let most = |tbl: TableId| match cold {
            true => self.tops.get(&(host, tbl)).copied().unwrap_or(0.0),
            false => 1.0,
        };
        for ((_, tbl), until) in self.ended.range((host, TableId(0))..=(host, TableId(u16::MAX))) {
            tables.insert(*tbl, (*until, most(*tbl)));
        }
        for tbl in self.named.get(&host).into_iter().flatten() {
            let peak = self.peak(*tbl, host);
            tables.insert(*tbl, (At::MAX, most(*tbl).max(peak)));
            counted.insert(*tbl, peak);
        }
        let seen = self.seen.get(&host).copied().unwrap_or(f64::MIN);
        let of = self.behind.iter().filter_map(|id| Some((id, self.proxies.get(id)?)));
        let above = of.map(|(id, proxy)| {
            let hops = self.hops.get(id).map_or(&[][..], Vec::as_slice);
            let there = proxy.uses.iter().map(|held| held.tbl).chain(hops.iter().map(|hop| hop.from));
            let there = there.chain(proxy.been.keys().copied()).filter_map(|tbl| tables.get(&tbl));
            let mut part = there.filter(|line| line.0 > proxy.floor).map(|line| line.1).fold(0.0, f64::max);
            // What was lost track of, and what another steward gave it out of its list.
            let strange = !proxy.known() && seen <= proxy.joined + self.facts.channel.max_transit;
            // What was given up may be missing beside it, which makes its part larger.
            if strange || proxy.floor < self.forgotten || part > 0.0 && proxy.floor < self.missed {
                part = 1.0;
            }
            let all: f64 = proxy.uses.iter().map(|held| held.demand).sum();
            // One that moved lately is counted by where it has been.
            let stays = proxy.uses.iter().filter(|_| hops.is_empty());
            let had: f64 =
                stays.map(|held| held.demand * counted.get(&held.tbl).copied().unwrap_or(0.0)).sum();
            (all * part - had).max(0.0)
        });
        above.sum()
    }

    /// The largest part of a table that a host has in states that somebody may still hold who is not behind.
    fn peak(&self, tbl: TableId, host: HostId) -> f64 {
        self.tables.get(&tbl).map_or(0.0, |table| {
            let spans = table.spans(host, self.open_weight(table, host));
            spans.map(|span| span.part).fold(0.0, f64::max)
        })
    }

    /// States of the table are about to be forgotten: what cold hosts had in them stays known.
    pub(crate) fn keep_tops(&mut self, tbl: TableId) {
        let there = |host: &&HostId| self.named.get(host).is_some_and(|tables| tables.contains(&tbl));
        let peaks: Vec<(HostId, f64)> =
            self.cold.iter().filter(there).map(|host| (*host, self.peak(tbl, *host))).collect();
        for (host, peak) in peaks {
            let top = self.tops.entry((host, tbl)).or_insert(0.0);
            *top = top.max(peak);
        }
    }

    /// The host begins to be cold: what it had before in tables was not kept.
    pub(crate) fn grows_cold(&mut self, host: HostId) {
        let ended = self.ended.range((host, TableId(0))..=(host, TableId(u16::MAX))).map(|line| line.0 .1);
        let named = self.named.get(&host).into_iter().flatten().copied();
        let tables: Vec<TableId> = ended.chain(named).collect();
        self.tops.extend(tables.into_iter().map(|tbl| ((host, tbl), 1.0)));
    }

    /// The line is in no state any more that somebody may hold who is not behind. A copy of an earlier call may come
    /// after the newest call yet, and not after the next.
    pub(crate) fn line_ended(&mut self, host: HostId, tbl: TableId) {
        let at = self.at + 1;
        self.ended.insert((host, tbl), at);
        self.ended_in_order.push_back((at, host, tbl));
        if self.ended_in_order.len() > ENDED {
            if let Some((at, host, tbl)) = self.ended_in_order.pop_front() {
                self.forgotten = at;
                if self.ended.get(&(host, tbl)) == Some(&at) {
                    self.ended.remove(&(host, tbl));
                }
            }
        }
    }
}

impl Proxy {
    /// It has answered for a state in which all its products are in tables of ours.
    fn known(&self) -> bool {
        self.whole.is_some_and(|whole| whole <= self.floor)
    }
}
