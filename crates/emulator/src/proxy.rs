//! An emulated proxy: the tables it holds, and how it selects a host for a txn.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

/// A table of one controller run: the number of the run, and the table.
type TableKey = (u32, TableId);

#[derive(Default)]
pub struct Proxy {
    pub zone: ZoneId,
    /// Txns per second of each request class.
    pub rates: Vec<f64>,
    tables: BTreeMap<TableKey, BTreeMap<HostId, f64>>,
    out: BTreeSet<HostId>,
    binds: BTreeMap<ClassId, TableKey>,
    levels: BTreeMap<(TableKey, ClassId), (f64, RetryPolicy)>,
    /// Number of the controller run it belongs to. Each run has its own tables; a proxy keeps using those it holds
    /// until the next run binds it to one of its own.
    run: u32,
    /// The proxy does not read orders; they are collected in `unread`.
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

    /// Its controller restarts, without tables.
    pub fn follow_next(&mut self) {
        self.run += 1;
    }

    /// Assigns the proxy to a controller run.
    pub fn follow(&mut self, run: u32) {
        self.run = run;
    }

    /// Binds the proxy to a bootstrap table with these hosts at equal weights.
    pub fn start_with(&mut self, hosts: impl Iterator<Item = HostId>) {
        let key = (self.run, TableId::ALL);
        self.tables.insert(key, hosts.map(|host| (host, 1.0)).collect());
        self.binds.extend((0..self.rates.len() as u16).map(|id| (ClassId(id), key)));
    }

    /// Drops tables of earlier controller runs that no request class uses any more.
    pub fn tidy(&mut self) {
        let (now, binds) = (self.run, &self.binds);
        let keeps = |key: &TableKey| key.0 == now || binds.values().any(|bound| bound == key);
        self.tables.retain(|key, _| keeps(key));
        self.levels.retain(|(key, _), _| keeps(&(key.0, key.1)) || key.1 == TableId::ALL);
    }

    /// Whether every request class uses a table of the controller run that the proxy belongs to.
    pub fn bound_by_its_controller(&self) -> bool {
        !self.binds.is_empty() && self.binds.values().all(|bound| bound.0 == self.run)
    }

    pub fn hear(&mut self, me: ProxyId, order: &Order) {
        let now = self.run;
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

    /// Hosts of the class's table that are not withdrawn, with their weights.
    pub fn open(&self, class: ClassId) -> impl Iterator<Item = (HostId, f64)> + '_ {
        let table = self.binds.get(&class).and_then(|key| self.tables.get(key));
        let lines = table.into_iter().flatten().map(|(host, weight)| (*host, *weight));
        lines.filter(|(host, _)| !self.out.contains(host))
    }

    pub fn level(&self, class: ClassId) -> (f64, RetryPolicy) {
        let key = self.binds.get(&class);
        let found = key.and_then(|key| {
            self.levels.get(&(*key, class)).or(self.levels.get(&((key.0, TableId::ALL), class)))
        });
        found.copied().unwrap_or((1.0, RetryPolicy::AfterProof))
    }

    pub fn uses(&self, table: TableId) -> bool {
        self.binds.values().any(|bound| *bound == (self.run, table))
    }

    /// Selects the host at position `chance` (0 to 1) of the cumulative weights, leaving out the host tried before.
    pub fn pick(&self, class: ClassId, chance: f64, not: Option<HostId>) -> Option<HostId> {
        let lines: Vec<(HostId, f64)> = self.open(class).filter(|(host, _)| Some(*host) != not).collect();
        let mut left = chance * lines.iter().map(|(_, weight)| weight).sum::<f64>();
        let found = lines.iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        found.or(lines.last()).map(|(host, _)| *host)
    }
}
