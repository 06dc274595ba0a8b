//! The state that proxies should hold.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassSet, HostId, ProxyId, RetryPolicy, ZoneId};

use crate::{tables_at_level, Proxy, PublishedState, Reach, ReachRules, TableEntry, TableKey};

/// The entries that the tables of each reach may have, by home zone.
pub type EntriesByReach = BTreeMap<(ZoneId, Reach), Vec<TableEntry>>;

/// Binds a proxy to a table for a set of request classes.
pub type Bind = ((ProxyId, TableKey), ClassSet);

/// The withdrawn hosts, the entries of tables, which proxy uses which table for which request classes, and
/// the admission levels.
#[derive(Clone, Default)]
pub struct DesiredState {
    pub withdrawn: BTreeSet<HostId>,
    pub tables: BTreeMap<TableKey, BTreeMap<HostId, f64>>,
    /// In the order of proxies and tables.
    pub binds: Vec<Bind>,
    /// By table and request classes: the admission level and how often a txn may be tried.
    pub levels: BTreeMap<(TableKey, ClassSet), (f64, RetryPolicy)>,
}

impl DesiredState {
    /// Nothing is desired but that these hosts are withdrawn.
    pub fn with_withdrawn(withdrawn: BTreeSet<HostId>) -> DesiredState {
        DesiredState { withdrawn, ..DesiredState::default() }
    }

    /// The weight of a host in a table that names it.
    pub fn weight(&self, table: &TableKey, host: HostId) -> Option<f64> {
        self.tables.get(table)?.get(&host).copied()
    }

    /// The tables that some proxy should use.
    pub fn used_tables(&self) -> BTreeSet<TableKey> {
        self.binds.iter().map(|bind| bind.0 .1).collect()
    }

    /// Binds each proxy to the tables assigned to it, and sets the entries of those tables and of all
    /// published ones.
    pub fn assign(
        &mut self,
        proxies: &BTreeMap<ProxyId, Proxy>,
        rules: &ReachRules,
        entries: &EntriesByReach,
        published: &PublishedState,
    ) {
        let classes_by_zone: BTreeMap<ZoneId, _> =
            rules.zones().map(|zone| (zone, rules.classes_by_reach(zone))).collect();
        let mut used: BTreeSet<TableKey> = published.tables().keys().copied().collect();
        let mut last = None;
        for (id, proxy) in proxies {
            let zone = proxy.demand.zone;
            for (reach, classes) in classes_by_zone.get(&zone).into_iter().flatten() {
                let node = proxy.nodes.get(&reach.tree()).copied().unwrap_or(1);
                let table = (zone, *reach, node);
                self.binds.push(((*id, table), *classes));
                if last.replace(table) != Some(table) {
                    used.insert(table);
                }
            }
        }
        // The table of each size that names an entry follows from the entry's place, so no table searches the
        // entries of others.
        let mut named: BTreeMap<TableKey, Vec<(HostId, f64)>> =
            used.iter().map(|table| (*table, vec![])).collect();
        let sizes: BTreeSet<(ZoneId, Reach, u32)> =
            used.iter().map(|(zone, reach, node)| (*zone, *reach, tables_at_level(*node))).collect();
        for (zone, reach, size) in sizes {
            for entry in entries.get(&(zone, reach)).into_iter().flatten() {
                let node = size + entry.place % size;
                if let Some(named) = named.get_mut(&(zone, reach, node)) {
                    named.push((entry.host, entry.weight));
                }
            }
        }
        self.tables.extend(named.into_iter().map(|(table, named)| (table, named.into_iter().collect())));
    }

    /// The part of the desired state that concerns only these binds, their tables and the given tables.
    pub fn restricted_to(&self, binds: Vec<Bind>, extra: &BTreeSet<TableKey>) -> DesiredState {
        let mut restricted =
            DesiredState { withdrawn: self.withdrawn.clone(), binds, ..DesiredState::default() };
        let used = restricted.used_tables();
        let tables = self.tables.iter().filter(|(table, _)| used.contains(table) || extra.contains(table));
        restricted.tables = tables.map(|(table, entries)| (*table, entries.clone())).collect();
        let levels = self.levels.iter().filter(|level| restricted.tables.contains_key(&level.0 .0));
        restricted.levels = levels.map(|(key, level)| (*key, *level)).collect();
        restricted
    }
}
