//! The plain judge: what is to be held last, and all of it looked at after each order. [`crate::Judge`] is measured
//! and tested beside it. It knows no repeats, no marks and no time, so by itself it would let too much pass; of
//! orders that are carried out once and in their order it refuses exactly those that break the reach.

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
    /// Whether the order is one that can widen; it is carried out.
    pub fn carry_out(&mut self, order: &Order) -> bool {
        match order {
            Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                self.tables.entry(*table).or_default().insert(*host);
                true
            }
            Order::SetEntry { table, host, .. } => {
                self.tables.get_mut(table).map(|lines| lines.remove(host));
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

    /// The hosts outside the reach that a proxy may use for a product.
    pub fn outside(&self, proxy: ProxyId, product: ClassId, tbl: TableId) -> Option<HostId> {
        let zone = self.zones.get(&proxy)?;
        let allowed = self.reach.get(&(product, *zone)).copied().unwrap_or(Zones::ALL);
        let beyond = |host: &&HostId| {
            !self.out.contains(host)
                && allowed != Zones::ALL
                && !self.hosts.get(host).is_some_and(|zone| allowed.contains(*zone))
        };
        self.tables.get(&tbl)?.iter().find(beyond).copied()
    }

    /// All that is outside in anyone's hands.
    pub fn all_outside(&self) -> Option<(ProxyId, ClassId, HostId)> {
        self.binds.iter().find_map(|((proxy, product), tbl)| {
            Some((*proxy, *product, self.outside(*proxy, *product, *tbl)?))
        })
    }

    /// Judges a reply, starting from one that was within the reach; true: it was carried out.
    pub fn judge(&mut self, orders: &[Order]) -> bool {
        // Only what the reply names is put back: a copy of all would be dearer than the look itself.
        let (mut lines, mut binds, mut out) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for order in orders {
            match order {
                Order::SetEntry { table, .. } | Order::ClearTable { table } => {
                    lines.entry(*table).or_insert_with(|| self.tables.get(table).cloned());
                }
                Order::Withdraw { host, .. } => {
                    out.entry(*host).or_insert_with(|| self.out.contains(host));
                }
                Order::Bind { proxy, .. } => {
                    for product in (0..self.products).map(ClassId) {
                        let key = (*proxy, product);
                        binds.entry(key).or_insert_with(|| self.binds.get(&key).copied());
                    }
                }
                _ => {}
            }
            if self.carry_out(order) && self.all_outside().is_some() {
                for (tbl, before) in lines {
                    match before {
                        Some(before) => drop(self.tables.insert(tbl, before)),
                        None => drop(self.tables.remove(&tbl)),
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
