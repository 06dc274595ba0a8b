//! Checks a batch: applies it to the model, evaluates the tables and hosts that it affects, and rolls it
//! back.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::model::{
    Binding, Call, CallIndex, Guard, Host, PastState, Rebind, Span, Table, Uncertainty, Writes,
};
use crate::verdict::{Breach, Rule, Witness};

/// Fractions and loads that differ by less count as equal, because of rounding in sums.
const SAME: f64 = 1e-9;

/// The number of unconfirmed calls up to which each range of repeated calls is checked separately. It covers
/// a relay that gets five calls a second and is silent for four seconds, which makes 210 ranges.
const MAX_UNCONFIRMED: usize = 20;

enum Undo {
    Line(TableId, HostId, Option<f64>, bool),
    Out(HostId, bool),
    Bindings(ProxyId, Vec<Binding>, Vec<(TableId, f64)>),
    Rebinds(ProxyId, usize),
    MissingLine(TableId, HostId, f64),
    MissingHost(HostId, bool),
}

/// The effects of a batch on the model.
#[derive(Default)]
pub(crate) struct Trial {
    undo: Vec<Undo>,
    /// Tables in which hosts' fractions changed, with the uncertainty before the batch.
    pub before: BTreeMap<TableId, Option<Uncertainty>>,
    /// The weights of hosts in tables before the batch changed them.
    had: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    /// Tables for which the batch changes entries or withdrawals of hosts named there.
    pub tables: BTreeSet<TableId>,
    pub writes: Writes,
    /// Bindings that the batch ends.
    pub left: Vec<(ProxyId, TableId, u64)>,
    /// The bindings before the batch of the proxies that it binds.
    used: BTreeMap<ProxyId, Vec<Binding>>,
    restored: Vec<HostId>,
}

/// A range of unconfirmed calls (first and last index) that is carried out again on top of the newest state.
type Run = Option<(usize, usize)>;

/// A violation by a batch, and where it occurs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Violation {
    pub breach: Breach,
    /// The table that is left without a usable host.
    pub table_id: Option<TableId>,
}

impl Guard {
    /// Applies the batch to the model.
    pub(crate) fn apply(&mut self, now: f64, orders: &[Order]) -> Trial {
        self.at += 1;
        let mut trial = Trial::default();
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } if *table != TableId::ALL => {
                    self.set_line(&mut trial, *table, *host, Guard::weight(*weight));
                }
                Order::ClearTable { table } => {
                    let all = *table == TableId::ALL;
                    let of: Vec<TableId> = match all {
                        true => self.tables.keys().copied().collect(),
                        false => vec![*table],
                    };
                    for table_id in of {
                        let lines =
                            self.tables.get(&table_id).map(|table| table.lines.keys().copied().collect());
                        let hosts: Vec<HostId> = lines.unwrap_or_default();
                        hosts.into_iter().for_each(|host| self.set_line(&mut trial, table_id, host, 0.0));
                        trial.writes.lines.retain(|line, _| line.0 != table_id);
                        trial.writes.clears.insert(table_id);
                        trial.tables.insert(table_id);
                    }
                }
                Order::Withdraw { host, withdrawn } => {
                    for table_id in self.tables_of_host.get(host).into_iter().flatten() {
                        let weight =
                            self.tables.get(table_id).map_or(0.0, |table| self.open_weight(table, *host));
                        trial.had.entry(*table_id).or_default().entry(*host).or_insert(weight);
                    }
                    let was = match withdrawn {
                        true => !self.withdrawn.insert(*host),
                        false => self.withdrawn.remove(host),
                    };
                    trial.undo.push(Undo::Out(*host, was));
                    // Once set again the host's withdrawal is no longer missing.
                    if let Some(missing) = self.missing.hosts.remove(host) {
                        trial.undo.push(Undo::MissingHost(*host, missing));
                    }
                    trial.restored.extend((was && !withdrawn).then_some(*host));
                    trial.writes.hosts.insert(*host, *withdrawn);
                    trial.tables.extend(self.tables_of_host.get(host).into_iter().flatten());
                }
                Order::Admit { table, .. } if *table != TableId::ALL && self.tables.contains_key(table) => {
                    trial.tables.insert(*table);
                }
                Order::Bind { proxy, table, classes } if *table != TableId::ALL => {
                    let all = self.facts.all();
                    let mask = if *classes == ClassSet::ALL { all } else { classes.0 & all };
                    self.bind(now, &mut trial, *proxy, *table, mask);
                }
                _ => {}
            }
        }
        let (until, at, is_uncertain) = (now + self.facts.channel.max_transit, self.at, self.is_uncertain());
        for table_id in &trial.tables {
            let changed: Vec<(HostId, f64)> =
                trial.had.remove(table_id).unwrap_or_default().into_iter().collect();
            let Some(table) = self.tables.get_mut(table_id) else { continue };
            let sum = table.weight_sums.all();
            table.weight_sums.update(&table.lines, &self.withdrawn, changed.iter().map(|had| had.0));
            let uncertainty = is_uncertain.then(|| self.uncertainty_of(*table_id));
            let Some(table) = self.tables.get_mut(table_id) else { continue };
            if changed.is_empty() && table.uncertainty == uncertainty {
                continue;
            }
            let uncertainty = std::mem::replace(&mut table.uncertainty, uncertainty);
            trial.before.insert(*table_id, uncertainty.clone());
            table.past.push_back(PastState { until, at, sum, changed, uncertainty, same_entries: false });
        }
        trial
    }

    pub(crate) fn roll_back(&mut self, trial: Trial) {
        let mut changed = Vec::new();
        for (table_id, uncertainty) in trial.before {
            let Some(table) = self.tables.get_mut(&table_id) else { continue };
            table.uncertainty = uncertainty;
            changed.extend(table.past.pop_back().map(|old| (table_id, old.changed)));
        }
        for undo in trial.undo.into_iter().rev() {
            match undo {
                Undo::Line(table_id, host, before, named) => {
                    let Some(table) = self.tables.get_mut(&table_id) else { continue };
                    match before {
                        Some(weight) => drop(table.lines.insert(host, weight)),
                        None => drop(table.lines.remove(&host)),
                    }
                    if named {
                        self.tables_of_host.get_mut(&host).map(|tables| tables.remove(&table_id));
                    }
                }
                Undo::MissingLine(id, host, weight) => drop(self.missing.lines.insert((id, host), weight)),
                Undo::MissingHost(host, out) => drop(self.missing.hosts.insert(host, out)),
                Undo::Out(host, true) => drop(self.withdrawn.insert(host)),
                Undo::Out(host, false) => drop(self.withdrawn.remove(&host)),
                Undo::Bindings(id, before, demands) => {
                    let Some(proxy) = self.proxies.get_mut(&id) else { continue };
                    let (zone, now) = (proxy.zone, std::mem::replace(&mut proxy.bindings, before.clone()));
                    now.iter().for_each(|binding| self.ungroup(id, zone, binding));
                    before.iter().for_each(|binding| self.group(id, zone, binding));
                    // Subtracting what was added does not restore a floating-point sum exactly, so the
                    // earlier values are put back.
                    for (table_id, demand) in demands {
                        self.tables.entry(table_id).or_default().demand = demand;
                    }
                }
                Undo::Rebinds(id, before) => {
                    if let Some(rebinds) = self.rebinds.get_mut(&id) {
                        rebinds.truncate(before);
                        if rebinds.is_empty() {
                            self.rebinds.remove(&id);
                        }
                    }
                }
            }
        }
        for (table_id, changed) in changed {
            let Some(table) = self.tables.get_mut(&table_id) else { continue };
            table.weight_sums.update(&table.lines, &self.withdrawn, changed.iter().map(|had| had.0));
        }
        self.at -= 1;
    }

    fn set_line(&mut self, trial: &mut Trial, table_id: TableId, host: HostId, weight: f64) {
        let had = self.tables.get(&table_id).map_or(0.0, |table| self.open_weight(table, host));
        trial.had.entry(table_id).or_default().entry(host).or_insert(had);
        let table = self.tables.entry(table_id).or_default();
        let before = match weight > 0.0 {
            true => table.lines.insert(host, weight),
            false => table.lines.remove(&host),
        };
        let named = weight > 0.0 && self.tables_of_host.entry(host).or_default().insert(table_id);
        trial.undo.push(Undo::Line(table_id, host, before, named));
        if let Some(missing) = self.missing.lines.remove(&(table_id, host)) {
            trial.undo.push(Undo::MissingLine(table_id, host, missing));
        }
        trial.writes.lines.insert((table_id, host), weight);
        trial.tables.insert(table_id);
    }

    fn bind(&mut self, now: f64, trial: &mut Trial, id: ProxyId, table_id: TableId, mask: u64) {
        let Some(proxy) = self.proxies.get(&id).filter(|_| mask != 0) else { return };
        let (zone, before) = (proxy.zone, proxy.bindings.clone());
        let mut bindings: Vec<Binding> = Vec::with_capacity(before.len() + 1);
        let until = now + self.facts.channel.max_transit;
        let mut all = mask;
        let (mut left, mut unchanged) = (Vec::new(), 0);
        for binding in &before {
            if binding.table_id == table_id {
                all |= binding.mask;
                // If the call that binds the proxy to its present table is carried out again, it may bring
                // the proxy back here.
                unchanged = binding.mask & mask;
            } else {
                let (stays, ends) = (binding.mask & !mask, binding.mask & mask);
                if stays != 0 {
                    bindings.push(Binding { mask: stays, demand: self.demand(proxy, stays), ..*binding });
                }
                if ends != 0 {
                    left.push((binding.table_id, ends));
                }
            }
        }
        bindings.push(Binding { table_id, mask: all, demand: self.demand(proxy, all) });
        let known = before.iter().fold(0, |known, binding| known | binding.mask);
        if mask & !known != 0 {
            left.push((TableId::ALL, mask & !known));
        }
        let of = before.iter().chain(&bindings).map(|binding| binding.table_id).collect::<BTreeSet<_>>();
        let demands =
            of.into_iter().map(|table_id| (table_id, self.tables.get(&table_id).map_or(0.0, |t| t.demand)));
        trial.undo.push(Undo::Bindings(id, before.clone(), demands.collect()));
        trial.used.entry(id).or_insert_with(|| before.clone());
        if let Some(proxy) = self.proxies.get_mut(&id) {
            proxy.bindings = bindings.clone();
        }
        before.iter().for_each(|binding| self.ungroup(id, zone, binding));
        bindings.iter().for_each(|binding| self.group(id, zone, binding));
        let at = self.at;
        let rebinds = self.rebinds.entry(id).or_default();
        trial.undo.push(Undo::Rebinds(id, rebinds.len()));
        for (from, mask) in left.into_iter().chain((unchanged != 0).then_some((table_id, unchanged))) {
            rebinds.push(Rebind { until, at, mask, from });
            if from != TableId::ALL && from != table_id {
                trial.left.push((id, from, mask));
            }
        }
        trial.writes.binds.push((id, table_id, mask));
    }

    /// All violations by the batch; the model is left unchanged.
    pub(crate) fn check(&mut self, now: f64, orders: &[Order]) -> Vec<Violation> {
        let mut found = Vec::new();
        let trial = self.apply(now, orders);
        let listed = |host: &HostId| {
            self.hosts.get(host).filter(|known| known.availability != Availability::InService)
        };
        for host in
            trial.restored.iter().filter(|host| listed(host).is_some() && !self.withdrawn.contains(host))
        {
            let witness = Witness::LetIn { host: *host };
            found.push(Violation { breach: Breach { rule: Rule::Drain, witness }, table_id: None });
        }
        let bare = self.unserved_tables(&trial);
        let over = self.overloaded_hosts(now, &trial);
        let from: BTreeSet<TableId> = trial.used.values().flatten().map(|binding| binding.table_id).collect();
        self.roll_back(trial);
        // Reports only violations that the batch begins: a proxy that certainly had no usable host loses
        // nothing, and a host with too much load is not worse off with the same load.
        if !bare.is_empty() {
            let tables = bare.iter().map(|bare| bare.0).chain(from);
            let before: BTreeSet<TableId> = tables.filter(|table_id| self.surely_bare(*table_id)).collect();
            let out = self.withdrawn.clone();
            let trial = self.apply(now, orders);
            for (table_id, run) in bare {
                if let Some(witness) = self.find_unserved(now, &trial, (table_id, run), &before, &out) {
                    found.push(Violation {
                        breach: Breach { rule: Rule::Bare, witness },
                        table_id: Some(table_id),
                    });
                }
            }
            self.roll_back(trial);
        }
        for (host, load, most) in over {
            if !self.is_exact(host) || load > self.load(now, host) * (1.0 + SAME) + SAME {
                let witness = Witness::Over { host, load, most };
                found.push(Violation { breach: Breach { rule: Rule::Pushed, witness }, table_id: None });
            }
        }
        found
            .extend(self.over_channel_limits(now, orders).map(|breach| Violation { breach, table_id: None }));
        found
    }

    /// All ranges of unconfirmed calls. A call that sets nothing neither begins nor ends one.
    fn runs(&self) -> impl Iterator<Item = Run> + '_ {
        let writes = move |place: &usize| !self.unconfirmed[*place].writes.is_empty();
        let calls = self.unconfirmed.len();
        let from = (0..calls).filter(writes);
        let runs = from.flat_map(move |from| (from..calls).filter(writes).map(move |to| Some((from, to))));
        [None].into_iter().chain(runs)
    }

    /// With more unconfirmed calls the ranges are not checked one by one; instead any of the calls may be
    /// repeated, which refuses more batches.
    fn too_many_unconfirmed(&self) -> bool {
        self.unconfirmed.iter().filter(|call| !call.writes.is_empty()).count() > MAX_UNCONFIRMED
    }

    fn calls(&self, run: Run) -> impl DoubleEndedIterator<Item = &Call> {
        let (from, to) = run.map_or((1, 0), |run| run);
        (from..=to).filter(move |_| run.is_some()).filter_map(|place| self.unconfirmed.get(place))
    }

    fn line_serves(&self, table_id: TableId, table: &Table, host: HostId, run: Run) -> bool {
        let written = self.calls(run).rev().find_map(|call| call.writes.line(table_id, host));
        let stands = || table.lines.contains_key(&host) && self.missing.line(table_id, host) != Some(0.0);
        if !written.map_or_else(stands, |weight| weight > 0.0) {
            return false;
        }
        let gate = self.calls(run).rev().find_map(|call| call.writes.hosts.get(&host).copied());
        let out = || self.withdrawn.contains(&host) || self.missing.hosts.get(&host) == Some(&true);
        !gate.unwrap_or_else(out) && self.hosts.get(&host).is_some_and(Host::serves)
    }

    fn nothing_serves(&self, table_id: TableId, run: Run) -> bool {
        let Some(table) = self.tables.get(&table_id) else { return true };
        let standing = table.lines.keys().any(|host| self.line_serves(table_id, table, *host, run));
        let again = || {
            let mut lines = self.calls(run).flat_map(|call| call.writes.lines.keys());
            lines.any(|line| line.0 == table_id && self.line_serves(table_id, table, line.1, run))
        };
        !standing && !again()
    }

    /// Affected tables without a usable host, with the ranges of repeated calls that lead to it.
    fn unserved_tables(&self, trial: &Trial) -> Vec<(TableId, Run)> {
        let bound = trial.writes.binds.iter().map(|bind| bind.1);
        let tables: BTreeSet<TableId> = trial.tables.iter().copied().chain(bound).collect();
        let mut bare = Vec::new();
        if self.too_many_unconfirmed() {
            let all = Some((0, self.unconfirmed.len() - 1));
            let surely = |table_id: &TableId| {
                self.tables.get(table_id).is_some_and(|table| {
                    let serves = |host: &HostId| self.hosts.get(host).is_some_and(Host::serves);
                    let mut hosts = table.lines.keys().filter(|host| serves(host));
                    hosts.any(|host| self.weight_bounds(*table_id, table, *host).0 > 0.0)
                })
            };
            let unsure =
                tables.into_iter().filter(|table_id| !surely(table_id) && self.has_users(*table_id, all));
            return unsure.map(|table_id| (table_id, all)).collect();
        }
        for table_id in tables {
            // A proxy that is in the table only because a call is carried out again is there in that range
            // alone.
            let runs = self
                .runs()
                .filter(|run| self.nothing_serves(table_id, *run) && self.has_users(table_id, *run));
            bare.extend(runs.map(|run| (table_id, run)));
        }
        bare
    }

    fn has_users(&self, table_id: TableId, run: Run) -> bool {
        let bound = |writes: &Writes| writes.binds.iter().any(|bind| bind.1 == table_id);
        let missing = self.missing.binds.iter().any(|bind| bind.1 == table_id);
        self.tables.get(&table_id).is_some_and(|table| table.users > 0)
            || missing
            || self.calls(run).any(|call| bound(&call.writes))
    }

    /// A proxy that is left without a usable host in that table, had one before, and for which a host is
    /// ready.
    fn find_unserved(
        &self,
        now: f64,
        trial: &Trial,
        (table_id, run): (TableId, Run),
        before: &BTreeSet<TableId>,
        out: &BTreeSet<HostId>,
    ) -> Option<Witness> {
        let mut ready: BTreeMap<(ZoneId, ClassId), Option<HostId>> = BTreeMap::new();
        let any_repeated = self.too_many_unconfirmed();
        let mut witness = |proxy: ProxyId, zone: ZoneId, mask: u64| {
            for class in each(mask) {
                let bit = ClassSet::one(class).0;
                let again = self.calls(run).rev().find_map(|call| call.writes.bound(proxy, bit));
                if again.is_some_and(|again| again != table_id) && !any_repeated {
                    continue;
                }
                // The state before the first bind is unknown, so the proxy may have had a usable host.
                let had = match trial.used.get(&proxy) {
                    Some(used) => {
                        let binding = used.iter().find(|binding| binding.mask & bit != 0);
                        binding.is_none_or(|binding| !before.contains(&binding.table_id))
                    }
                    None => !before.contains(&table_id),
                };
                if !had {
                    continue;
                }
                let host = *ready.entry((zone, class)).or_insert_with(|| self.ready(now, zone, class, out));
                if let Some(ready) = host {
                    let place = |at: usize| self.unconfirmed.get(at).map_or(0, |call| call.at);
                    let again = run.map(|(from, to)| (place(from), place(to)));
                    return Some(Witness::Nothing {
                        proxy,
                        zone,
                        product: class,
                        tbl: table_id,
                        again,
                        ready,
                    });
                }
            }
            None
        };
        let groups = self.tables.get(&table_id).map(|table| &table.groups);
        for ((zone, mask), proxies) in groups.into_iter().flatten() {
            // Proxies of a group that neither the batch nor the repeated calls bind are equivalent, so only
            // the first of them is checked. Proxies that the repeated calls bind elsewhere are not in this
            // table.
            let binds = |proxy: &ProxyId, call: &Call| call.writes.binds.iter().any(|bind| bind.0 == *proxy);
            let moved = |proxy: &&ProxyId| {
                trial.used.contains_key(*proxy) || self.calls(run).any(|call| binds(proxy, call))
            };
            let still = proxies.iter().find(|proxy| !moved(proxy));
            let found = still
                .into_iter()
                .chain(proxies.iter().filter(moved))
                .find_map(|proxy| witness(*proxy, *zone, *mask));
            if found.is_some() {
                return found;
            }
        }
        let again = self.calls(run).flat_map(|call| &call.writes.binds).chain(&self.missing.binds);
        let again = again.filter(|bind| bind.1 == table_id).filter_map(|bind| {
            let proxy = self.proxies.get(&bind.0)?;
            Some((bind.0, proxy.zone, bind.2))
        });
        again.into_iter().find_map(|(proxy, zone, mask)| witness(proxy, zone, mask))
    }

    /// A host that is in service, warm, answers probes, was open before or is restored by the batch, and may
    /// serve this zone and class.
    pub(crate) fn ready(
        &self,
        now: f64,
        zone: ZoneId,
        class: ClassId,
        out: &BTreeSet<HostId>,
    ) -> Option<HostId> {
        let ready = |(id, host): &(&HostId, &Host)| {
            let open = !(out.contains(id) && self.withdrawn.contains(id));
            let on = host.availability == Availability::InService && !host.failing;
            on && open && host.warm(now, &self.facts.warmup) && self.may_route(zone, class, host.zone)
        };
        self.hosts.iter().find(ready).map(|found| *found.0)
    }

    pub(crate) fn may_route(&self, zone: ZoneId, class: ClassId, to: ZoneId) -> bool {
        let home = self.facts.at_home & ClassSet::one(class).0 != 0;
        let reach = self.reach.get(&(zone, class)).copied().unwrap_or(Zones::ALL);
        (!home || zone == to) && (reach == Zones::ALL || reach.contains(to))
    }

    /// The load in txns a second that a host survives; `None` if the host is not checked.
    pub(crate) fn max_load(&self, now: f64, host: HostId) -> Option<f64> {
        let known = self.hosts.get(&host)?;
        let each = match self.facts.per_weight {
            Some(each) => each,
            // Observed rates are only a lower bound of the capacity: enough to limit a cold host relative to
            // warm ones, but too low to limit a warm host.
            None if !known.warm(now, &self.facts.warmup) && self.best_rate > 0.0 => self.best_rate,
            None => return None,
        };
        Some(
            self.facts.warmup.failure_load
                * each
                * known.weight
                * known.warm_fraction(now, &self.facts.warmup),
        )
    }

    /// The maximum load of a host in txns a second, over all states that proxies may hold.
    pub(crate) fn load(&self, now: f64, host: HostId) -> f64 {
        let Some(known) = self.hosts.get(&host) else { return 0.0 };
        let mut load = self.foreign_load(now, known) + self.lagging_load(host);
        let mut spans: BTreeMap<TableId, (f64, Vec<Span>)> = BTreeMap::new();
        for table_id in self.tables_of_host.get(&host).into_iter().flatten() {
            let Some(table) = self.tables.get(table_id) else { continue };
            let each: Vec<Span> = table.spans(host, self.open_weight(table, host)).collect();
            let peak = each.iter().map(|span| span.fraction).fold(0.0, f64::max);
            load += table.demand * peak;
            if peak > 0.0 {
                spans.insert(*table_id, (peak, each));
            }
        }
        if spans.is_empty() {
            return load.max(0.0);
        }
        // A proxy that came to a table cannot hold the table's earlier states, but may hold states of its
        // former tables from the time it used them.
        for (id, rebinds) in &self.rebinds {
            let Some(proxy) = self.proxies.get(id) else { continue };
            let there = |table_id: &TableId| spans.contains_key(table_id);
            if !proxy
                .bindings
                .iter()
                .map(|binding| &binding.table_id)
                .chain(rebinds.iter().map(|rebind| &rebind.from))
                .any(there)
            {
                continue;
            }
            for binding in &proxy.bindings {
                let peak = spans.get(&binding.table_id).map_or(0.0, |there| there.0);
                let (mut left, mut all, mut most) = (binding.mask, 0.0, 0.0f64);
                while left != 0 {
                    let first = left & left.wrapping_neg();
                    // Request classes that were always rebound together.
                    let same = |mask: u64| if mask & first != 0 { mask } else { !mask };
                    let group = rebinds.iter().fold(left, |group, rebind| group & same(rebind.mask));
                    let fraction = self.max_fraction_of(now, binding.table_id, rebinds, first, &spans);
                    all += self.demand(proxy, group) * fraction;
                    most = most.max(fraction);
                    left &= !group;
                }
                load += all.min(binding.demand * most) - binding.demand * peak;
            }
        }
        load.max(0.0)
    }

    /// The largest fraction of a proxy's class that a host may get in any table that the proxy may use: the
    /// present table in its states since the proxy was bound to it, former tables in their states of that
    /// time, and tables that an unconfirmed call would bring it back to, in their states since.
    fn max_fraction_of(
        &self,
        now: f64,
        table_id: TableId,
        rebinds: &[Rebind],
        class: u64,
        spans: &BTreeMap<TableId, (f64, Vec<Span>)>,
    ) -> f64 {
        let (mut most, mut bound_at) = (0.0f64, 0);
        let mut see = |table_id: TableId, since: CallIndex, until: CallIndex| {
            let spans = spans.get(&table_id).into_iter().flat_map(|there| &there.1);
            let overlapping = spans.filter(|span| span.ended > since && span.began < until);
            most = overlapping.map(|span| span.fraction).fold(most, f64::max);
        };
        for rebind in rebinds.iter().filter(|rebind| rebind.mask & class != 0) {
            let since = std::mem::replace(&mut bound_at, rebind.at);
            let still = rebind.until > now || rebind.at > self.confirmed;
            let until = self.repeatable_until(since).unwrap_or(0).max(if still { rebind.at } else { 0 });
            see(rebind.from, since, until);
        }
        see(table_id, bound_at, CallIndex::MAX);
        most
    }

    /// Whether the host's load is computed without uncertainty, so that two loads can be compared.
    fn is_exact(&self, host: HostId) -> bool {
        let sure = |table_id: &TableId| {
            let any_repeated = |table: &Table| {
                table.uncertainty.is_some() || table.past.iter().any(|old| old.uncertainty.is_some())
            };
            !self.tables.get(table_id).is_some_and(any_repeated)
        };
        let tables = || self.tables_of_host.get(&host).into_iter().flatten();
        let here =
            |table_id: &TableId| self.tables_of_host.get(&host).is_some_and(|named| named.contains(table_id));
        let moves = self.rebinds.iter().any(|(id, rebinds)| {
            let bindings = self.proxies.get(id).into_iter().flat_map(|proxy| &proxy.bindings);
            bindings
                .map(|binding| &binding.table_id)
                .chain(rebinds.iter().map(|rebind| &rebind.from))
                .any(here)
        });
        // The load from proxies that are behind is an upper bound, so two such loads cannot be compared
        // either.
        !self.is_uncertain() && !moves && tables().all(sure) && self.lagging_load(host) <= 0.0
    }

    /// Hosts whose fraction of a table grew, or whose table got more demand, and that now get more than they
    /// survive.
    fn overloaded_hosts(&self, now: f64, trial: &Trial) -> Vec<(HostId, f64, f64)> {
        // Few hosts are cold and tables name many, so the cold hosts are iterated.
        let judged = |table_id: &TableId| -> Vec<HostId> {
            let lines = self.tables.get(table_id).map(|table| &table.lines);
            let named = |host: &&HostId| lines.is_some_and(|lines| lines.contains_key(host));
            match self.facts.per_weight {
                Some(_) => lines.into_iter().flat_map(|lines| lines.keys()).copied().collect(),
                None => self.cold.iter().filter(named).copied().collect(),
            }
        };
        let mut raised = BTreeSet::new();
        for table_id in trial.before.keys() {
            let Some(table) = self.tables.get(table_id) else { continue };
            raised.extend(judged(table_id).into_iter().filter(|host| {
                let mut spans = table.spans(*host, self.open_weight(table, *host)).map(|span| span.fraction);
                let (is, was) = (spans.next().unwrap_or(0.0), spans.next().unwrap_or(0.0));
                is > was
            }));
        }
        if self.is_uncertain() {
            let judges = |host: &HostId| self.facts.per_weight.is_some() || self.cold.contains(host);
            for table_id in trial.tables.iter().copied().chain(trial.writes.binds.iter().map(|bind| bind.1)) {
                let Some(doubt) = self.tables.get(&table_id).and_then(|table| table.uncertainty.as_ref())
                else {
                    continue;
                };
                raised.extend(judged(&table_id));
                raised.extend(doubt.uncertain.iter().map(|uncertain| uncertain.0).filter(judges));
            }
        }
        raised.extend(
            trial.writes.binds.iter().map(|bind| bind.1).collect::<BTreeSet<_>>().iter().flat_map(judged),
        );
        let over = raised.into_iter().filter_map(|host| {
            let (load, most) = (self.load(now, host), self.max_load(now, host)?);
            (load > most * (1.0 + SAME)).then_some((host, load, most))
        });
        over.collect()
    }

    /// The proxies that use any of these tables.
    fn users_of(&self, tables: &BTreeSet<TableId>) -> BTreeSet<ProxyId> {
        let tables = tables.iter().filter_map(|table_id| self.tables.get(table_id));
        tables.flat_map(|table| table.groups.values().flatten()).copied().collect()
    }

    /// The maximum number of lines that a batch adds to the relay's channel.
    pub(crate) fn lines(&self, orders: &[Order]) -> f64 {
        let users = |table_id: &TableId| self.tables.get(table_id).map_or(0, |table| table.users);
        let (mut lines, mut whom, mut named) = (0, 0, BTreeMap::<TableId, usize>::new());
        for order in orders {
            match order {
                Order::SetEntry { table, .. } | Order::Admit { table, .. } => {
                    let count = if *table == TableId::ALL { self.proxies.len() } else { users(table) };
                    lines += count;
                    *named.entry(*table).or_default() = count;
                }
                Order::ClearTable { table } => lines += users(table),
                Order::Withdraw { host, .. } => {
                    // A proxy that uses two of the host's tables gets the line once, so the count is at most
                    // the number of proxies.
                    let tables = self.tables_of_host.get(host).into_iter().flatten();
                    let count = tables.map(users).sum::<usize>().min(self.proxies.len());
                    lines += count;
                    whom = whom.max(count);
                }
                Order::Bind { table, .. } => {
                    let there = self.tables.get(table).map_or(0, |table| table.lines.len());
                    lines += 2 * (there + usize::from(self.facts.products)) + 1;
                    whom += 1;
                }
                _ => {}
            }
        }
        whom = (whom + named.values().sum::<usize>()).min(self.proxies.len());
        lines as f64 + whom as f64 * (self.facts.channel.message_overhead + 1.0)
    }

    fn over_channel_limits(&self, now: f64, orders: &[Order]) -> Option<Breach> {
        let lines = self.lines(orders);
        let most = self.facts.channel.max_backlog;
        if lines > 0.0 && self.backlog + lines > most {
            let witness = Witness::Backlog { lines: self.backlog + lines, most };
            return Some(Breach { rule: Rule::Queue, witness });
        }
        let most = self.facts.channel.max_messages;
        if lines <= 0.0 || most == 0 || (self.messages.len() as u32) < most {
            return None;
        }
        // Counts the recent messages of each affected proxy, by the tables that it uses now; proxies with the
        // same tables share the count.
        let mut tables = BTreeSet::new();
        let mut whom = BTreeSet::new();
        for order in orders {
            match order {
                Order::SetEntry { table, .. } | Order::Admit { table, .. } | Order::ClearTable { table } => {
                    tables.insert(*table);
                }
                Order::Withdraw { host, .. } => {
                    tables.extend(self.tables_of_host.get(host).into_iter().flatten())
                }
                Order::Bind { proxy, .. } => drop(whom.insert(*proxy)),
                _ => {}
            }
        }
        whom.extend(self.users_of(&tables));
        let mut counted: BTreeMap<Vec<TableId>, u32> = BTreeMap::new();
        let over = self.facts.channel.message_window;
        let recent = || self.messages.iter().filter(|message| message.when + over >= now);
        whom.into_iter().find_map(|id| {
            let proxy = self.proxies.get(&id)?;
            let bindings: Vec<TableId> = proxy.bindings.iter().map(|binding| binding.table_id).collect();
            let at_tables = *counted.entry(bindings).or_insert_with_key(|bindings| {
                recent()
                    .filter(|message| bindings.iter().any(|table_id| message.tables.contains(table_id)))
                    .count() as u32
            });
            let own = recent().filter(|message| message.proxies.contains(&id)).count() as u32;
            let messages = at_tables.max(own) + 1;
            let witness = Witness::Messages { proxy: id, messages, most };
            (messages > most).then_some(Breach { rule: Rule::Queue, witness })
        })
    }
}

pub(crate) fn each(mask: u64) -> impl Iterator<Item = ClassId> {
    (0..64).filter(move |place| mask & (1 << place) != 0).map(ClassId)
}
