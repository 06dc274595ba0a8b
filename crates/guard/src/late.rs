//! Proxies that are behind: they have not answered a mark within the maximum transit time and one second.
//! Such a proxy may be in any state since its last answered mark, so it may hold each table that it was bound
//! to since then, with each entry that the table had in that time. It cannot hold an entry that was in none
//! of these tables.

use std::collections::BTreeMap;

use amberarch_core::*;

use crate::model::{CallIndex, Guard, Proxy};

/// Removed entries are remembered for the proxies that may still hold them, up to this number, at 16 to 24
/// bytes each.
const MAX_REMOVED: usize = 65_536;

impl Guard {
    /// The load in txns a second that proxies that are behind may send to a host, beyond the load already
    /// counted for them there.
    pub(crate) fn lagging_load(&self, host: HostId) -> f64 {
        if self.behind.is_empty() {
            return 0.0;
        }
        // By table: the call whose answer shows that a proxy no longer holds the entry, and the largest
        // fraction that the host had.
        let (mut tables, mut counted) =
            (BTreeMap::<TableId, (CallIndex, f64)>::new(), BTreeMap::<TableId, f64>::new());
        let cold = self.cold.contains(&host);
        let most = |table_id: TableId| match cold {
            true => self.cold_peaks.get(&(host, table_id)).copied().unwrap_or(0.0),
            false => 1.0,
        };
        for ((_, table_id), until) in
            self.removed_entries.range((host, TableId(0))..=(host, TableId(u16::MAX)))
        {
            tables.insert(*table_id, (*until, most(*table_id)));
        }
        for table_id in self.tables_of_host.get(&host).into_iter().flatten() {
            let peak = self.peak(*table_id, host);
            tables.insert(*table_id, (CallIndex::MAX, most(*table_id).max(peak)));
            counted.insert(*table_id, peak);
        }
        let seen = self.first_listed.get(&host).copied().unwrap_or(f64::MIN);
        let of = self.behind.iter().filter_map(|id| Some((id, self.proxies.get(id)?)));
        let above = of.map(|(id, proxy)| {
            let rebinds = self.rebinds.get(id).map_or(&[][..], Vec::as_slice);
            let there = proxy
                .bindings
                .iter()
                .map(|binding| binding.table_id)
                .chain(rebinds.iter().map(|rebind| rebind.from));
            let there =
                there.chain(proxy.left_tables.keys().copied()).filter_map(|table_id| tables.get(&table_id));
            let mut fraction =
                there.filter(|line| line.0 > proxy.applied_up_to).map(|line| line.1).fold(0.0, f64::max);
            // The proxy may still hold tables that another controller sent; these may name any host that was
            // listed by then.
            let strange = !proxy.is_known() && seen <= proxy.joined + self.facts.channel.max_transit;
            // Removed entries that the proxy may hold were dropped, or other entries of the table may be missing
            // because a call was abandoned, which makes this host's fraction larger.
            if strange
                || proxy.applied_up_to < self.dropped_up_to
                || fraction > 0.0 && proxy.applied_up_to < self.missing_until
            {
                fraction = 1.0;
            }
            let all: f64 = proxy.bindings.iter().map(|binding| binding.demand).sum();
            // A proxy that was rebound lately is counted through its rebinds.
            let stays = proxy.bindings.iter().filter(|_| rebinds.is_empty());
            let had: f64 = stays
                .map(|binding| binding.demand * counted.get(&binding.table_id).copied().unwrap_or(0.0))
                .sum();
            (all * fraction - had).max(0.0)
        });
        above.sum()
    }

    /// The largest fraction of a table that a host has in any state that a proxy that is not behind may hold.
    fn peak(&self, table_id: TableId, host: HostId) -> f64 {
        self.tables.get(&table_id).map_or(0.0, |table| {
            let spans = table.spans(host, self.open_weight(table, host));
            spans.map(|span| span.fraction).fold(0.0, f64::max)
        })
    }

    /// Records the largest fractions of cold hosts in a table before past states of the table are dropped.
    pub(crate) fn keep_cold_peaks(&mut self, table_id: TableId) {
        let there =
            |host: &&HostId| self.tables_of_host.get(host).is_some_and(|tables| tables.contains(&table_id));
        let peaks: Vec<(HostId, f64)> =
            self.cold.iter().filter(there).map(|host| (*host, self.peak(table_id, *host))).collect();
        for (host, peak) in peaks {
            let top = self.cold_peaks.entry((host, table_id)).or_insert(0.0);
            *top = top.max(peak);
        }
    }

    /// Called when a host becomes cold. Its earlier fractions were not recorded, so the whole table is
    /// assumed.
    pub(crate) fn start_cold(&mut self, host: HostId) {
        let ended =
            self.removed_entries.range((host, TableId(0))..=(host, TableId(u16::MAX))).map(|line| line.0 .1);
        let named = self.tables_of_host.get(&host).into_iter().flatten().copied();
        let tables: Vec<TableId> = ended.chain(named).collect();
        self.cold_peaks.extend(tables.into_iter().map(|table_id| ((host, table_id), 1.0)));
    }

    /// Records that a proxy that is not behind can no longer hold the entry. A copy of an earlier call may
    /// still arrive after the newest call, but not after the next one.
    pub(crate) fn entry_removed(&mut self, host: HostId, table_id: TableId) {
        let at = self.at + 1;
        self.removed_entries.insert((host, table_id), at);
        self.removed_in_order.push_back((at, host, table_id));
        if self.removed_in_order.len() > MAX_REMOVED {
            if let Some((at, host, table_id)) = self.removed_in_order.pop_front() {
                self.dropped_up_to = at;
                if self.removed_entries.get(&(host, table_id)) == Some(&at) {
                    self.removed_entries.remove(&(host, table_id));
                }
            }
        }
    }
}

impl Proxy {
    /// Whether the proxy has answered for a state in which all its request classes are bound to tables of
    /// this controller.
    fn is_known(&self) -> bool {
        self.fully_bound_at.is_some_and(|fully_bound_at| fully_bound_at <= self.applied_up_to)
    }
}
