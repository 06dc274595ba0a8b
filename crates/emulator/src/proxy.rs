//! A proxy: what it holds of tables, and which host a txn goes to by them.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

/// A table of one of the stewards.
type Tbl = (u32, TableId);

#[derive(Default)]
pub struct Proxy {
    pub zone: ZoneId,
    /// Txns a second of each product.
    pub rates: Vec<f64>,
    tables: BTreeMap<Tbl, BTreeMap<HostId, f64>>,
    out: BTreeSet<HostId>,
    binds: BTreeMap<ClassId, Tbl>,
    levels: BTreeMap<(Tbl, ClassId), (f64, RetryPolicy)>,
    /// Counts the stewards that it has followed: tables are each one's own, and a proxy goes on with those that it
    /// holds until it is bound to one of the next.
    steward: u32,
    /// It holds what it has heard, and reads on only later.
    pub stalled: bool,
    pub unread: Vec<Order>,
}

impl Proxy {
    pub fn new(zone: ZoneId, rates: Vec<f64>) -> Proxy {
        Proxy { zone, rates, ..Proxy::default() }
    }

    fn masked(&self, products: ClassSet) -> impl Iterator<Item = ClassId> + use<> {
        let all = 0..self.rates.len() as u16;
        all.map(ClassId).filter(move |id| products == ClassSet::ALL || products.0 & ClassSet::one(*id).0 != 0)
    }

    /// Its steward starts anew, with no tables.
    pub fn follow_next(&mut self) {
        self.steward += 1;
    }

    /// It belongs to that run of a steward now.
    pub fn follow(&mut self, run: u32) {
        self.steward = run;
    }

    /// A table from before any steward, with these hosts alike.
    pub fn start_with(&mut self, hosts: impl Iterator<Item = HostId>) {
        let tbl = (self.steward, TableId::ALL);
        self.tables.insert(tbl, hosts.map(|host| (host, 1.0)).collect());
        self.binds.extend((0..self.rates.len() as u16).map(|id| (ClassId(id), tbl)));
    }

    /// Lets go of tables of earlier stewards that no product uses any more.
    pub fn tidy(&mut self) {
        let (now, binds) = (self.steward, &self.binds);
        let keeps = |tbl: &Tbl| tbl.0 == now || binds.values().any(|bound| bound == tbl);
        self.tables.retain(|tbl, _| keeps(tbl));
        self.levels.retain(|(tbl, _), _| keeps(&(tbl.0, tbl.1)) || tbl.1 == TableId::ALL);
    }

    /// Every product goes by a table of the steward that it belongs to.
    pub fn bound_by_its_steward(&self) -> bool {
        !self.binds.is_empty() && self.binds.values().all(|bound| bound.0 == self.steward)
    }

    pub fn hear(&mut self, me: ProxyId, order: &Order) {
        let now = self.steward;
        match order {
            Order::SetEntry { table, host, weight } => {
                let table = self.tables.entry((now, *table)).or_default();
                match *weight > 0.0 {
                    true => drop(table.insert(*host, *weight)),
                    false => drop(table.remove(host)),
                }
            }
            Order::ClearTable { table } => drop(self.tables.remove(&(now, *table))),
            Order::Withdraw { host, withdrawn: true } => drop(self.out.insert(*host)),
            Order::Withdraw { host, withdrawn: false } => drop(self.out.remove(host)),
            Order::Bind { proxy, table, classes } if *proxy == me => {
                self.binds.extend(self.masked(*classes).map(|id| (id, (now, *table))));
            }
            Order::Admit { table, classes, level, tries } => {
                let ids: Vec<ClassId> = self.masked(*classes).collect();
                self.levels.extend(ids.into_iter().map(|id| (((now, *table), id), (*level, *tries))));
            }
            _ => {}
        }
    }

    /// Open hosts of a product's table, with their weights.
    pub fn open(&self, product: ClassId) -> impl Iterator<Item = (HostId, f64)> + '_ {
        let table = self.binds.get(&product).and_then(|tbl| self.tables.get(tbl));
        let lines = table.into_iter().flatten().map(|(host, weight)| (*host, *weight));
        lines.filter(|(host, _)| !self.out.contains(host))
    }

    pub fn level(&self, product: ClassId) -> (f64, RetryPolicy) {
        let tbl = self.binds.get(&product);
        let found = tbl.and_then(|tbl| {
            self.levels.get(&(*tbl, product)).or(self.levels.get(&((tbl.0, TableId::ALL), product)))
        });
        found.copied().unwrap_or((1.0, RetryPolicy::AfterProof))
    }

    pub fn uses(&self, tbl: TableId) -> bool {
        self.binds.values().any(|bound| *bound == (self.steward, tbl))
    }

    /// The host that lies at `chance`, from 0 to 1, of the weights; one that was tried before is left out.
    pub fn pick(&self, product: ClassId, chance: f64, not: Option<HostId>) -> Option<HostId> {
        let lines: Vec<(HostId, f64)> = self.open(product).filter(|(host, _)| Some(*host) != not).collect();
        let mut left = chance * lines.iter().map(|(_, weight)| weight).sum::<f64>();
        let found = lines.iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        found.or(lines.last()).map(|(host, _)| *host)
    }
}
