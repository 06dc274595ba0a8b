//! The state that proxies hold, as far as orders were sent.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassSet, HostId, ProxyId, RetryPolicy, TableId, ZoneId};

use crate::{Bind, DesiredState, Proxy, Reach, ReachRules, TableKey};

/// Table ids from here on are allocated as tables come into use; a lower id follows from the position of the
/// table in its tree.
const FIRST_ALLOCATED_ID: u16 = 0x8000;

/// The withdrawn hosts, the entries of tables, which proxy uses which table for which request classes, and
/// the admission levels. The users of a table, the tables that name a host and the number of bound proxies
/// are indexed, because searching for them would scan the whole fleet.
#[derive(Clone, Default)]
pub struct PublishedState {
    pub withdrawn: BTreeSet<HostId>,
    pub levels: BTreeMap<(TableKey, ClassSet), (f64, RetryPolicy)>,
    tables: BTreeMap<TableKey, BTreeMap<HostId, f64>>,
    binds: BTreeMap<(ProxyId, TableKey), ClassSet>,
    /// By table that some proxy uses.
    users: BTreeMap<TableKey, BTreeSet<ProxyId>>,
    /// By host that some table names.
    tables_naming: BTreeMap<HostId, BTreeSet<TableKey>>,
    /// Tables that a proxy may still use: it left and joined again within one batch of events, so it may
    /// never have left. By proxy, and by table.
    lingering: BTreeMap<ProxyId, BTreeMap<TableKey, ClassSet>>,
    possible_users: BTreeMap<TableKey, BTreeSet<ProxyId>>,
    /// The tables that proxies which left in this batch of events used or may have used.
    just_left: BTreeMap<ProxyId, BTreeMap<TableKey, ClassSet>>,
    /// The number of bound proxies.
    bound_proxies: usize,
    zones: u16,
    /// One bit for each request class.
    class_bits: u64,
    allocated_ids: BTreeMap<TableKey, u16>,
    /// The next table id to try, counted from the first allocated one; none: no id was allocated yet.
    next_id: Option<u16>,
}

impl PublishedState {
    /// Nothing is published yet, in so many zones and for these request classes.
    pub fn new(zones: u16, classes: ClassSet) -> PublishedState {
        PublishedState { zones, class_bits: classes.0, ..PublishedState::default() }
    }

    /// The entries of each known table.
    pub fn tables(&self) -> &BTreeMap<TableKey, BTreeMap<HostId, f64>> {
        &self.tables
    }

    /// The largest number of groups of places in a tree. It keeps the ids that follow from a position below
    /// the allocated ones.
    pub fn max_groups(zones: u16) -> u32 {
        u32::from(FIRST_ALLOCATED_ID / 4 / zones.clamp(1, FIRST_ALLOCATED_ID / 4))
    }

    /// The id of the table. A table of a reach [`Reach::Only`] has none before
    /// [`PublishedState::ensure_table`].
    pub fn table_id(&self, table: TableKey) -> TableId {
        let ((ZoneId(zone), reach, node), zones) = (table, self.zones);
        let place = |own: u16| zone + zones * (2 * (node.max(1) as u16 - 1) + own);
        match reach {
            Reach::AnyZone => TableId(place(0)),
            Reach::HomeZone => TableId(place(1)),
            Reach::Only(_) => self.allocated_ids.get(&table).map_or(TableId::ALL, |id| TableId(*id)),
        }
    }

    /// Makes the table known; returns whether it got an allocated id, which another table may have had
    /// before. Ids are allocated in turn, so that an id is reused as late as possible, starting at one
    /// derived from the time: ids allocated by an earlier instance of this state may still be in use. Where
    /// no id is free the table stays unknown.
    pub fn ensure_table(&mut self, now: f64, table: TableKey) -> bool {
        let allocated = matches!(table.1, Reach::Only(_)) && !self.tables.contains_key(&table);
        if allocated {
            let all = u16::MAX - FIRST_ALLOCATED_ID;
            // States that are created 50 ms apart start a few thousand ids apart.
            let first = self.next_id.unwrap_or((now as u64 * 7_919 % u64::from(all)) as u16);
            let turn = |step: u16| {
                FIRST_ALLOCATED_ID + ((u32::from(first) + u32::from(step)) % u32::from(all)) as u16
            };
            let free = |id: &u16| !self.allocated_ids.values().any(|taken| taken == id);
            let Some(id) = (0..all).map(turn).find(free) else { return false };
            self.next_id = Some((id - FIRST_ALLOCATED_ID + 1) % all);
            self.allocated_ids.insert(table, id);
        }
        self.tables.entry(table).or_default();
        allocated
    }

    /// Drops the tables of a reach [`Reach::Only`] that no proxy uses now or in the desired state; returns
    /// their ids.
    pub fn remove_unused_tables(&mut self, desired: &DesiredState) -> Vec<TableId> {
        if self.allocated_ids.is_empty() {
            return vec![];
        }
        let used = desired.used_tables();
        let unused = |table: &&TableKey| !self.users.contains_key(*table) && !used.contains(*table);
        let unused: Vec<TableKey> = self.allocated_ids.keys().filter(unused).copied().collect();
        let ids = unused.iter().map(|table| self.table_id(*table)).collect();
        for table in &unused {
            for host in self.tables.remove(table).unwrap_or_default().into_keys() {
                self.remove_naming(*table, host);
            }
            self.allocated_ids.remove(table);
            self.levels.retain(|(of, _), _| of != table);
        }
        ids
    }

    fn remove_naming(&mut self, table: TableKey, host: HostId) {
        if let Some(naming) = self.tables_naming.get_mut(&host) {
            naming.remove(&table);
            if naming.is_empty() {
                self.tables_naming.remove(&host);
            }
        }
    }

    /// The tables that a proxy is bound to, and for which request classes.
    pub fn binds_of(&self, proxy: ProxyId) -> impl Iterator<Item = (TableKey, ClassSet)> + '_ {
        let first = (proxy, (ZoneId(0), Reach::AnyZone, 0));
        let own_binds = self.binds.range(first..).take_while(move |bind| bind.0 .0 == proxy);
        own_binds.map(|((_, table), classes)| (*table, *classes))
    }

    /// The request classes for which the proxy uses no table, by one bit each. For these it goes on with tables that
    /// this state does not know, and with the withdrawals that it knew of when it joined.
    pub fn unbound_class_bits(&self, proxy: ProxyId) -> u64 {
        let bound = self.binds_of(proxy).fold(0, |all, (_, classes)| all | classes.0);
        self.class_bits & !bound
    }

    /// Whether the proxy uses a table for each request class.
    pub fn is_bound(&self, proxy: ProxyId) -> bool {
        self.unbound_class_bits(proxy) == 0 && self.binds_of(proxy).next().is_some()
    }

    /// The tables that a proxy uses for these request classes.
    pub fn tables_used_for(&self, proxy: ProxyId, classes: ClassSet) -> Vec<TableKey> {
        self.binds_of(proxy)
            .filter(|(_, bound_classes)| bound_classes.0 & classes.0 != 0)
            .map(|bound| bound.0)
            .collect()
    }

    /// The desired binds that are not in force, each with those of its request classes for which the proxy
    /// uses another table or none.
    pub fn missing_binds(&self, desired: &DesiredState) -> Vec<Bind> {
        let (mut missing_binds, mut in_force) = (Vec::new(), self.binds.iter().peekable());
        for (key, classes) in &desired.binds {
            while in_force.peek().is_some_and(|has| has.0 < key) {
                in_force.next();
            }
            let has = in_force.peek().filter(|has| has.0 == key).map_or(0, |has| has.1 .0);
            if classes.0 & !has != 0 {
                missing_binds.push((*key, ClassSet(classes.0 & !has)));
            }
        }
        missing_binds
    }

    /// Sets entries of a table; a weight of zero removes one.
    pub fn set_entries(&mut self, table: TableKey, entries: Vec<(HostId, f64)>) {
        for (host, weight) in entries {
            if weight > 0.0 {
                self.tables.entry(table).or_default().insert(host, weight);
                self.tables_naming.entry(host).or_default().insert(table);
            } else if self.tables.entry(table).or_default().remove(&host).is_some() {
                self.remove_naming(table, host);
            }
        }
    }

    /// Forgets those of the hosts which left the list that no table names, once all proxies are bound;
    /// returns them.
    pub fn forget_hosts(
        &mut self,
        gone: impl Iterator<Item = HostId>,
        proxies: &BTreeMap<ProxyId, Proxy>,
    ) -> BTreeSet<HostId> {
        if self.bound_proxies < proxies.len() {
            return BTreeSet::new();
        }
        let gone: BTreeSet<HostId> = gone.filter(|id| !self.tables_naming.contains_key(id)).collect();
        self.withdrawn.retain(|id| !gone.contains(id));
        gone
    }

    /// Binds the proxy to the table for these request classes, instead of any other table.
    pub fn bind(&mut self, proxy: ProxyId, table: TableKey, classes: ClassSet) {
        let was_bound = self.is_bound(proxy);
        let had: Vec<(TableKey, ClassSet)> = self.binds_of(proxy).collect();
        for (other, had) in had.iter().filter(|bound| bound.0 != table) {
            match ClassSet(had.0 & !classes.0) {
                ClassSet(0) => self.unbind(proxy, *other),
                left => drop(self.binds.insert((proxy, *other), left)),
            }
        }
        self.end_lingering(proxy, classes);
        self.binds.entry((proxy, table)).or_insert(ClassSet(0)).0 |= classes.0;
        self.users.entry(table).or_default().insert(proxy);
        self.bound_proxies += usize::from(!was_bound && self.is_bound(proxy));
    }

    fn unbind(&mut self, proxy: ProxyId, table: TableKey) {
        self.binds.remove(&(proxy, table));
        if let Some(users) = self.users.get_mut(&table) {
            users.remove(&proxy);
            if users.is_empty() {
                self.users.remove(&table);
            }
        }
    }

    /// The proxy left: it holds nothing any more, unless it joins again within the same batch of events.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.bound_proxies -= usize::from(self.is_bound(proxy));
        let had: Vec<(TableKey, ClassSet)> = self.binds_of(proxy).collect();
        had.iter().for_each(|(table, _)| self.unbind(proxy, *table));
        let mut used = self.lingering.remove(&proxy).unwrap_or_default();
        for table in used.keys() {
            self.remove_possible_user(proxy, *table);
        }
        for (table, classes) in had {
            used.entry(table).or_insert(ClassSet(0)).0 |= classes.0;
        }
        if !used.is_empty() {
            self.just_left.insert(proxy, used);
        }
    }

    /// The proxy joins, or continues after a gap in the relay watch in which it may have left and joined
    /// again. Guards the channel's limit: entries of tables that it was bound to may still be sent to it,
    /// whatever it is bound to by new orders.
    pub fn proxy_joined(&mut self, proxy: ProxyId, without_table: bool) {
        let Some(used) = self.just_left.remove(&proxy).filter(|_| !without_table) else { return };
        for table in used.keys() {
            self.possible_users.entry(*table).or_default().insert(proxy);
        }
        self.lingering.insert(proxy, used);
    }

    /// Proxies that left in this batch of events and have not joined again are gone for good.
    pub fn finish_departures(&mut self) {
        self.just_left.clear();
    }

    /// The proxy uses another table for these request classes now.
    fn end_lingering(&mut self, proxy: ProxyId, classes: ClassSet) {
        let Some(mut used) = self.lingering.remove(&proxy) else { return };
        for (table, still_used) in &mut used {
            still_used.0 &= !classes.0;
            if still_used.0 == 0 {
                self.remove_possible_user(proxy, *table);
            }
        }
        used.retain(|_, still_used| still_used.0 != 0);
        if !used.is_empty() {
            self.lingering.insert(proxy, used);
        }
    }

    fn remove_possible_user(&mut self, proxy: ProxyId, table: TableKey) {
        if let Some(users) = self.possible_users.get_mut(&table) {
            users.remove(&proxy);
            if users.is_empty() {
                self.possible_users.remove(&table);
            }
        }
    }

    /// The proxies that get the entries of a table: those that use it and those that may still use it.
    pub fn recipients(&self, table: &TableKey) -> Vec<ProxyId> {
        let users = self.users.get(table).into_iter().flatten();
        let mut recipients: BTreeSet<ProxyId> = users.copied().collect();
        recipients.extend(self.possible_users.get(table).into_iter().flatten());
        recipients.into_iter().collect()
    }

    /// The proxies that use the table.
    pub fn users(&self, table: &TableKey) -> Vec<ProxyId> {
        self.users.get(table).into_iter().flatten().copied().collect()
    }

    /// The tables that some proxy uses.
    pub fn used_tables(&self) -> impl Iterator<Item = &TableKey> {
        self.users.keys()
    }

    /// Whether the table names the host.
    pub fn contains_host(&self, table: &TableKey, host: HostId) -> bool {
        self.tables.get(table).is_some_and(|entries| entries.contains_key(&host))
    }

    /// The weight of a host in a table that names it.
    pub fn weight(&self, table: &TableKey, host: HostId) -> Option<f64> {
        self.tables.get(table)?.get(&host).copied()
    }

    /// The hosts of the table that are not withdrawn.
    pub fn usable_hosts(&self, table: &TableKey) -> Vec<HostId> {
        let entries = self.tables.get(table).into_iter().flat_map(BTreeMap::keys);
        entries.filter(|host| !self.withdrawn.contains(host)).copied().collect()
    }

    /// Every host of the table is withdrawn, or it has none.
    pub fn lacks_usable_host(&self, table: &TableKey) -> bool {
        self.tables.get(table).is_none_or(|entries| entries.keys().all(|host| self.withdrawn.contains(host)))
    }

    /// Whether some table that the proxy uses for these request classes has no usable host; none: it uses no
    /// table for them.
    pub fn lacks_usable_host_for(&self, proxy: ProxyId, classes: ClassSet) -> Option<bool> {
        let tables = self.tables_used_for(proxy, classes);
        (!tables.is_empty()).then(|| tables.iter().any(|table| self.lacks_usable_host(table)))
    }

    /// Some proxy is not bound yet.
    pub fn has_unbound_proxies(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        self.bound_proxies < proxies.len()
    }

    /// The proxies that may hold a host: those that use a table which names it, and those not bound yet.
    /// Every bound proxy has joined.
    pub fn possible_holders(&self, host: HostId, proxies: &BTreeMap<ProxyId, Proxy>) -> Vec<ProxyId> {
        let tables = self.tables_naming.get(&host).into_iter().flatten();
        let mut possible_holders: BTreeSet<ProxyId> =
            tables.filter_map(|table| self.users.get(table)).flatten().copied().collect();
        if self.has_unbound_proxies(proxies) {
            possible_holders.extend(proxies.keys().filter(|id| !self.is_bound(**id)));
        }
        possible_holders.into_iter().collect()
    }

    /// Of the missing binds, those for request classes with a residency rule that may use a forbidden zone
    /// until the bind is applied. Proxies that are not bound yet may use one too.
    pub fn narrowing_binds(&self, desired: &DesiredState, rules: &ReachRules) -> Vec<Bind> {
        if rules.is_empty() {
            return vec![];
        }
        // A table in use whose reach is within the desired one names no forbidden host.
        let narrows = |((proxy, table), wanted_classes): Bind| {
            let keeps = self.binds_of(proxy).filter(|(has, _)| has.1.is_within(table.1, table.0));
            let keeps = keeps.fold(0, |all, (_, kept)| all | kept.0);
            let leaves = ClassSet(rules.governed(table.0, wanted_classes).0 & !keeps);
            (leaves.0 != 0 && table.1 != Reach::AnyZone).then_some(((proxy, table), leaves))
        };
        self.missing_binds(desired).into_iter().filter_map(narrows).collect()
    }

    /// Tables in use that name a host which is now in a zone outside their reach.
    pub fn tables_outside_reach(
        &self,
        rules: &ReachRules,
        zone: impl Fn(&HostId) -> Option<ZoneId>,
    ) -> BTreeSet<TableKey> {
        // Without residency rules only a table with an allocated id can name a host outside its reach.
        if rules.is_empty() && self.allocated_ids.is_empty() {
            return BTreeSet::new();
        }
        let outside = |table: &TableKey, id: &HostId| zone(id).is_some_and(|zone| rules.forbids(table, zone));
        let named = |table: &TableKey| self.tables.get(table).into_iter().flat_map(BTreeMap::keys);
        self.used_tables().filter(|table| named(table).any(|id| outside(table, id))).copied().collect()
    }

    /// Tables that proxies leave by these binds.
    pub fn tables_left_by(&self, binds: &[Bind]) -> BTreeSet<TableKey> {
        binds.iter().flat_map(|((proxy, _), classes)| self.tables_used_for(*proxy, *classes)).collect()
    }
}
