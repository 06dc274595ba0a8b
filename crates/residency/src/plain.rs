//! Reference check: it keeps the state that the orders result in and checks all of it after each order.
//! [`crate::Judge`] is benchmarked and tested against it. It has no retries, marks or time, so on its own
//! it would let too much pass. For orders that are carried out once and in order it refuses exactly those
//! that break the reach.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, ClassSet, HostId, Order, ProxyId, TableId, ZoneId, Zones};

use crate::reach::InUse;

#[derive(Clone, Debug, Default)]
pub struct Plain {
    pub products: u16,
    pub reach: InUse,
    pub hosts: BTreeMap<HostId, ZoneId>,
    pub zones: BTreeMap<ProxyId, ZoneId>,
    pub tables: BTreeMap<TableId, BTreeSet<HostId>>,
    pub binds: BTreeMap<(ProxyId, ClassId), TableId>,
    pub out: BTreeSet<HostId>,
}

impl Plain {
    /// Carries the order out and returns whether it is one that can widen what proxies hold.
    pub fn carry_out(&mut self, order: &Order) -> bool {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                self.tables.entry(*table).or_default().insert(*host);
                true
            }
            Order::SetEntry { table, host, .. } => {
                self.tables.get_mut(table).map(|entries| entries.remove(host));
                false
            }
            Order::ClearTable { table } => {
                self.tables.remove(table);
                false
            }
            Order::Withdraw { host, withdrawn: true } => {
                self.out.insert(*host);
                false
            }
            Order::Withdraw { host, withdrawn: false } => {
                self.out.remove(host);
                true
            }
            Order::Bind { proxy, table, classes } => {
                let named = |id: &ClassId| *classes == ClassSet::ALL || classes.0 & ClassSet::one(*id).0 != 0;
                let ids = (0..self.products).map(ClassId).filter(named);
                self.binds.extend(ids.map(|id| ((*proxy, id), *table)));
                true
            }
            _ => false,
        }
    }

    /// A host outside the reach that a proxy may use for a class.
    pub fn outside(&self, proxy: ProxyId, class: ClassId, table_id: TableId) -> Option<HostId> {
        let zone = self.zones.get(&proxy)?;
        let allowed = self.reach.get(&(class, *zone)).copied().unwrap_or(Zones::ALL);
        let beyond = |host: &&HostId| {
            !self.out.contains(host)
                && allowed != Zones::ALL
                && !self.hosts.get(host).is_some_and(|zone| allowed.contains(*zone))
        };
        self.tables.get(&table_id)?.iter().find(beyond).copied()
    }

    /// The first binding that leads a proxy to a host outside the reach.
    pub fn all_outside(&self) -> Option<(ProxyId, ClassId, HostId)> {
        self.binds.iter().find_map(|((proxy, class), table_id)| {
            Some((*proxy, *class, self.outside(*proxy, *class, *table_id)?))
        })
    }

    /// Checks a reply, starting from a state within the reach; returns whether it was carried out.
    pub fn judge(&mut self, orders: &[Order]) -> bool {
        // Only what the reply names is saved for the rollback: a copy of the whole state costs more than
        // the check itself.
        let (mut entries, mut binds, mut out) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for order in orders {
            match order {
                Order::SetEntry { table, .. } | Order::ClearTable { table } => {
                    entries.entry(*table).or_insert_with(|| self.tables.get(table).cloned());
                }
                Order::Withdraw { host, .. } => {
                    out.entry(*host).or_insert_with(|| self.out.contains(host));
                }
                Order::Bind { proxy, .. } => {
                    for class in (0..self.products).map(ClassId) {
                        let key = (*proxy, class);
                        binds.entry(key).or_insert_with(|| self.binds.get(&key).copied());
                    }
                }
                _ => {}
            }
            if self.carry_out(order) && self.all_outside().is_some() {
                for (table_id, before) in entries {
                    match before {
                        Some(before) => drop(self.tables.insert(table_id, before)),
                        None => drop(self.tables.remove(&table_id)),
                    }
                }
                for (key, before) in binds {
                    match before {
                        Some(before) => drop(self.binds.insert(key, before)),
                        None => drop(self.binds.remove(&key)),
                    }
                }
                for (host, was_out) in out {
                    match was_out {
                        true => drop(self.out.insert(host)),
                        false => drop(self.out.remove(&host)),
                    }
                }
                return false;
            }
        }
        true
    }
}
