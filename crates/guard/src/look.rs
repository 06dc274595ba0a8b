//! One batch tried on the model: carried out, looked at by what it touches, taken back.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::model::{At, Call, Doubt, Guard, Hop, Host, Old, Span, Table, Use, Writes};
use crate::verdict::{Breach, Rule, Witness};

/// Shares and loads that differ by less are the same: sums of fractions.
const SAME: f64 = 1e-9;

/// A relay that is asked five times a second and is silent for four seconds: 210 runs.
const MOST_UNSURE: usize = 20;

enum Undo {
    Line(TableId, HostId, Option<f64>, bool),
    Out(HostId, bool),
    Uses(ProxyId, Vec<Use>, Vec<(TableId, f64)>),
    Hops(ProxyId, usize),
    MissingLine(TableId, HostId, f64),
    MissingHost(HostId, bool),
}

/// What a batch did to the model.
#[derive(Default)]
pub(crate) struct Trial {
    undo: Vec<Undo>,
    /// Tables whose shares changed: what was unsure, as it was.
    pub before: BTreeMap<TableId, Option<Doubt>>,
    /// What hosts had in tables before it changed that.
    had: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    /// Tables whose lines, or whose hosts' gates, it writes.
    pub tables: BTreeSet<TableId>,
    pub writes: Writes,
    /// What its binds ended.
    pub left: Vec<(ProxyId, TableId, u64)>,
    /// What those whom it binds used before it.
    used: BTreeMap<ProxyId, Vec<Use>>,
    let_in: Vec<HostId>,
}

/// A run of unsure calls, by their places among those, carried out again over the newest state.
type Run = Option<(usize, usize)>;

/// What is wrong with a batch, and where.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    pub breach: Breach,
    /// The table that is left bare.
    pub tbl: Option<TableId>,
}

impl Guard {
    /// Carries the batch out on the model.
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
                    for tbl in of {
                        let lines = self.tables.get(&tbl).map(|table| table.lines.keys().copied().collect());
                        let hosts: Vec<HostId> = lines.unwrap_or_default();
                        hosts.into_iter().for_each(|host| self.set_line(&mut trial, tbl, host, 0.0));
                        trial.writes.lines.retain(|line, _| line.0 != tbl);
                        trial.writes.clears.insert(tbl);
                        trial.tables.insert(tbl);
                    }
                }
                Order::Withdraw { host, withdrawn } => {
                    for tbl in self.named.get(host).into_iter().flatten() {
                        let weight = self.tables.get(tbl).map_or(0.0, |table| self.open_weight(table, *host));
                        trial.had.entry(*tbl).or_default().entry(*host).or_insert(weight);
                    }
                    let was = match withdrawn {
                        true => !self.out.insert(*host),
                        false => self.out.remove(host),
                    };
                    trial.undo.push(Undo::Out(*host, was));
                    // Set anew it is missing no more.
                    if let Some(missing) = self.missing.hosts.remove(host) {
                        trial.undo.push(Undo::MissingHost(*host, missing));
                    }
                    trial.let_in.extend((was && !withdrawn).then_some(*host));
                    trial.writes.hosts.insert(*host, *withdrawn);
                    trial.tables.extend(self.named.get(host).into_iter().flatten());
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
        let (until, at, doubts) = (now + self.facts.channel.max_transit, self.at, self.doubts());
        for tbl in &trial.tables {
            let changed: Vec<(HostId, f64)> = trial.had.remove(tbl).unwrap_or_default().into_iter().collect();
            let Some(table) = self.tables.get_mut(tbl) else { continue };
            let sum = table.sums.all();
            table.sums.update(&table.lines, &self.out, changed.iter().map(|had| had.0));
            let doubted = doubts.then(|| self.doubt(*tbl));
            let Some(table) = self.tables.get_mut(tbl) else { continue };
            if changed.is_empty() && table.doubted == doubted {
                continue;
            }
            let doubted = std::mem::replace(&mut table.doubted, doubted);
            trial.before.insert(*tbl, doubted.clone());
            table.old.push_back(Old { until, at, sum, changed, doubted, again: false });
        }
        trial
    }

    pub(crate) fn roll_back(&mut self, trial: Trial) {
        let mut changed = Vec::new();
        for (tbl, doubted) in trial.before {
            let Some(table) = self.tables.get_mut(&tbl) else { continue };
            table.doubted = doubted;
            changed.extend(table.old.pop_back().map(|old| (tbl, old.changed)));
        }
        for undo in trial.undo.into_iter().rev() {
            match undo {
                Undo::Line(tbl, host, before, named) => {
                    let Some(table) = self.tables.get_mut(&tbl) else { continue };
                    match before {
                        Some(weight) => drop(table.lines.insert(host, weight)),
                        None => drop(table.lines.remove(&host)),
                    }
                    if named {
                        self.named.get_mut(&host).map(|tables| tables.remove(&tbl));
                    }
                }
                Undo::MissingLine(tbl, host, weight) => drop(self.missing.lines.insert((tbl, host), weight)),
                Undo::MissingHost(host, out) => drop(self.missing.hosts.insert(host, out)),
                Undo::Out(host, true) => drop(self.out.insert(host)),
                Undo::Out(host, false) => drop(self.out.remove(&host)),
                Undo::Uses(id, before, demands) => {
                    let Some(proxy) = self.proxies.get_mut(&id) else { continue };
                    let (zone, now) = (proxy.zone, std::mem::replace(&mut proxy.uses, before.clone()));
                    now.iter().for_each(|held| self.ungroup(id, zone, held));
                    before.iter().for_each(|held| self.group(id, zone, held));
                    // Sums of fractions do not come back to what they were by themselves.
                    for (tbl, demand) in demands {
                        self.tables.entry(tbl).or_default().demand = demand;
                    }
                }
                Undo::Hops(id, before) => {
                    if let Some(hops) = self.hops.get_mut(&id) {
                        hops.truncate(before);
                        if hops.is_empty() {
                            self.hops.remove(&id);
                        }
                    }
                }
            }
        }
        for (tbl, changed) in changed {
            let Some(table) = self.tables.get_mut(&tbl) else { continue };
            table.sums.update(&table.lines, &self.out, changed.iter().map(|had| had.0));
        }
        self.at -= 1;
    }

    fn set_line(&mut self, trial: &mut Trial, tbl: TableId, host: HostId, weight: f64) {
        let had = self.tables.get(&tbl).map_or(0.0, |table| self.open_weight(table, host));
        trial.had.entry(tbl).or_default().entry(host).or_insert(had);
        let table = self.tables.entry(tbl).or_default();
        let before = match weight > 0.0 {
            true => table.lines.insert(host, weight),
            false => table.lines.remove(&host),
        };
        let named = weight > 0.0 && self.named.entry(host).or_default().insert(tbl);
        trial.undo.push(Undo::Line(tbl, host, before, named));
        if let Some(missing) = self.missing.lines.remove(&(tbl, host)) {
            trial.undo.push(Undo::MissingLine(tbl, host, missing));
        }
        trial.writes.lines.insert((tbl, host), weight);
        trial.tables.insert(tbl);
    }

    fn bind(&mut self, now: f64, trial: &mut Trial, id: ProxyId, tbl: TableId, mask: u64) {
        let Some(proxy) = self.proxies.get(&id).filter(|_| mask != 0) else { return };
        let (zone, before) = (proxy.zone, proxy.uses.clone());
        let mut uses: Vec<Use> = Vec::with_capacity(before.len() + 1);
        let until = now + self.facts.channel.max_transit;
        let mut all = mask;
        let (mut left, mut stays_here) = (Vec::new(), 0);
        for held in &before {
            if held.tbl == tbl {
                all |= held.mask;
                // A call that binds it where it is may be carried out again, and bring it back here.
                stays_here = held.mask & mask;
            } else {
                let (stays, ends) = (held.mask & !mask, held.mask & mask);
                if stays != 0 {
                    uses.push(Use { mask: stays, demand: self.demand(proxy, stays), ..*held });
                }
                if ends != 0 {
                    left.push((held.tbl, ends));
                }
            }
        }
        uses.push(Use { tbl, mask: all, demand: self.demand(proxy, all) });
        let known = before.iter().fold(0, |known, held| known | held.mask);
        if mask & !known != 0 {
            left.push((TableId::ALL, mask & !known));
        }
        let of = before.iter().chain(&uses).map(|held| held.tbl).collect::<BTreeSet<_>>();
        let demands = of.into_iter().map(|tbl| (tbl, self.tables.get(&tbl).map_or(0.0, |t| t.demand)));
        trial.undo.push(Undo::Uses(id, before.clone(), demands.collect()));
        trial.used.entry(id).or_insert_with(|| before.clone());
        if let Some(proxy) = self.proxies.get_mut(&id) {
            proxy.uses = uses.clone();
        }
        before.iter().for_each(|held| self.ungroup(id, zone, held));
        uses.iter().for_each(|held| self.group(id, zone, held));
        let at = self.at;
        let hops = self.hops.entry(id).or_default();
        trial.undo.push(Undo::Hops(id, hops.len()));
        for (from, mask) in left.into_iter().chain((stays_here != 0).then_some((tbl, stays_here))) {
            hops.push(Hop { until, at, mask, from });
            if from != TableId::ALL && from != tbl {
                trial.left.push((id, from, mask));
            }
        }
        trial.writes.binds.push((id, tbl, mask));
    }

    /// All that is wrong with the batch; the model is as it was.
    pub(crate) fn look(&mut self, now: f64, orders: &[Order]) -> Vec<Found> {
        let mut found = Vec::new();
        let trial = self.apply(now, orders);
        let listed =
            |host: &HostId| self.hosts.get(host).filter(|known| known.standing != Availability::InService);
        for host in trial.let_in.iter().filter(|host| listed(host).is_some() && !self.out.contains(host)) {
            let witness = Witness::LetIn { host: *host };
            found.push(Found { breach: Breach { rule: Rule::Drain, witness }, tbl: None });
        }
        let bare = self.bare(&trial);
        let over = self.over(now, &trial);
        let from: BTreeSet<TableId> = trial.used.values().flatten().map(|held| held.tbl).collect();
        self.roll_back(trial);
        // Only what the batch begins is its fault: who had nothing for certain loses nothing, and a host that had too
        // much is not worse off with as much.
        if !bare.is_empty() {
            let tables = bare.iter().map(|bare| bare.0).chain(from);
            let before: BTreeSet<TableId> = tables.filter(|tbl| self.surely_bare(*tbl)).collect();
            let out = self.out.clone();
            let trial = self.apply(now, orders);
            for (tbl, run) in bare {
                if let Some(witness) = self.nothing(now, &trial, (tbl, run), &before, &out) {
                    found.push(Found { breach: Breach { rule: Rule::Bare, witness }, tbl: Some(tbl) });
                }
            }
            self.roll_back(trial);
        }
        for (host, load, most) in over {
            if !self.exact(host) || load > self.load(now, host) * (1.0 + SAME) + SAME {
                let witness = Witness::Over { host, load, most };
                found.push(Found { breach: Breach { rule: Rule::Pushed, witness }, tbl: None });
            }
        }
        found.extend(self.too_much(now, orders).map(|breach| Found { breach, tbl: None }));
        found
    }

    /// All runs of unsure calls. Those that set nothing begin and end none.
    fn runs(&self) -> impl Iterator<Item = Run> + '_ {
        let writes = move |place: &usize| !self.loose[*place].writes.is_empty();
        let calls = self.loose.len();
        let from = (0..calls).filter(writes);
        let runs = from.flat_map(move |from| (from..calls).filter(writes).map(move |to| Some((from, to))));
        [None].into_iter().chain(runs)
    }

    /// More unsure calls than that are not looked at run by run, but all at once, any of them: that refuses more.
    fn is_vague(&self) -> bool {
        self.loose.iter().filter(|call| !call.writes.is_empty()).count() > MOST_UNSURE
    }

    fn calls(&self, run: Run) -> impl DoubleEndedIterator<Item = &Call> {
        let (from, to) = run.map_or((1, 0), |run| run);
        (from..=to).filter(move |_| run.is_some()).filter_map(|place| self.loose.get(place))
    }

    fn line_serves(&self, tbl: TableId, table: &Table, host: HostId, run: Run) -> bool {
        let written = self.calls(run).rev().find_map(|call| call.writes.line(tbl, host));
        let stands = || table.lines.contains_key(&host) && self.missing.line(tbl, host) != Some(0.0);
        if !written.map_or_else(stands, |weight| weight > 0.0) {
            return false;
        }
        let gate = self.calls(run).rev().find_map(|call| call.writes.hosts.get(&host).copied());
        let out = || self.out.contains(&host) || self.missing.hosts.get(&host) == Some(&true);
        !gate.unwrap_or_else(out) && self.hosts.get(&host).is_some_and(Host::serves)
    }

    fn nothing_serves(&self, tbl: TableId, run: Run) -> bool {
        let Some(table) = self.tables.get(&tbl) else { return true };
        let standing = table.lines.keys().any(|host| self.line_serves(tbl, table, *host, run));
        let again = || {
            let mut lines = self.calls(run).flat_map(|call| call.writes.lines.keys());
            lines.any(|line| line.0 == tbl && self.line_serves(tbl, table, line.1, run))
        };
        !standing && !again()
    }

    /// Tables that it touches in which nothing serves, with the first run that makes it so.
    fn bare(&self, trial: &Trial) -> Vec<(TableId, Run)> {
        let bound = trial.writes.binds.iter().map(|bind| bind.1);
        let tables: BTreeSet<TableId> = trial.tables.iter().copied().chain(bound).collect();
        let mut bare = Vec::new();
        if self.is_vague() {
            let all = Some((0, self.loose.len() - 1));
            let surely = |tbl: &TableId| {
                self.tables.get(tbl).is_some_and(|table| {
                    let serves = |host: &HostId| self.hosts.get(host).is_some_and(Host::serves);
                    let mut hosts = table.lines.keys().filter(|host| serves(host));
                    hosts.any(|host| self.between(*tbl, table, *host).0 > 0.0)
                })
            };
            let unsure = tables.into_iter().filter(|tbl| !surely(tbl) && self.anyone(*tbl, all));
            return unsure.map(|tbl| (tbl, all)).collect();
        }
        for tbl in tables {
            // Who is there by a call that is carried out again is there in that run alone.
            let runs = self.runs().filter(|run| self.nothing_serves(tbl, *run) && self.anyone(tbl, *run));
            bare.extend(runs.map(|run| (tbl, run)));
        }
        bare
    }

    fn anyone(&self, tbl: TableId, run: Run) -> bool {
        let bound = |writes: &Writes| writes.binds.iter().any(|bind| bind.1 == tbl);
        let missing = self.missing.binds.iter().any(|bind| bind.1 == tbl);
        self.tables.get(&tbl).is_some_and(|table| table.users > 0)
            || missing
            || self.calls(run).any(|call| bound(&call.writes))
    }

    /// Who is left with nothing in that table, that had something and for whom a host is ready.
    fn nothing(
        &self,
        now: f64,
        trial: &Trial,
        (tbl, run): (TableId, Run),
        before: &BTreeSet<TableId>,
        out: &BTreeSet<HostId>,
    ) -> Option<Witness> {
        let mut ready: BTreeMap<(ZoneId, ClassId), Option<HostId>> = BTreeMap::new();
        let vague = self.is_vague();
        let mut witness = |proxy: ProxyId, zone: ZoneId, mask: u64| {
            for product in each(mask) {
                let bit = ClassSet::one(product).0;
                let again = self.calls(run).rev().find_map(|call| call.writes.bound(proxy, bit));
                if again.is_some_and(|again| again != tbl) && !vague {
                    continue;
                }
                // Bound for the first time: nobody knows what it held.
                let had = match trial.used.get(&proxy) {
                    Some(used) => {
                        let held = used.iter().find(|held| held.mask & bit != 0);
                        held.is_none_or(|held| !before.contains(&held.tbl))
                    }
                    None => !before.contains(&tbl),
                };
                if !had {
                    continue;
                }
                let host =
                    *ready.entry((zone, product)).or_insert_with(|| self.ready(now, zone, product, out));
                if let Some(ready) = host {
                    let place = |at: usize| self.loose.get(at).map_or(0, |call| call.at);
                    let again = run.map(|(from, to)| (place(from), place(to)));
                    return Some(Witness::Nothing { proxy, zone, product, tbl, again, ready });
                }
            }
            None
        };
        let groups = self.tables.get(&tbl).map(|table| &table.groups);
        for ((zone, mask), proxies) in groups.into_iter().flatten() {
            // Proxies that the batch does not bind fare alike: the first of them speaks for all. Those whom a run binds
            // elsewhere are not here in it.
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
        let again = again.filter(|bind| bind.1 == tbl).filter_map(|bind| {
            let proxy = self.proxies.get(&bind.0)?;
            Some((bind.0, proxy.zone, bind.2))
        });
        again.into_iter().find_map(|(proxy, zone, mask)| witness(proxy, zone, mask))
    }

    /// A host that is in the list, warm, answers probes, was not shut out before or is let in, and may serve them.
    pub(crate) fn ready(
        &self,
        now: f64,
        zone: ZoneId,
        product: ClassId,
        out: &BTreeSet<HostId>,
    ) -> Option<HostId> {
        let ready = |(id, host): &(&HostId, &Host)| {
            let open = !(out.contains(id) && self.out.contains(id));
            let on = host.standing == Availability::InService && !host.failing;
            on && open && host.warm(now, &self.facts.warmup) && self.may(zone, product, host.zone)
        };
        self.hosts.iter().find(ready).map(|found| *found.0)
    }

    pub(crate) fn may(&self, zone: ZoneId, product: ClassId, to: ZoneId) -> bool {
        let home = self.facts.at_home & ClassSet::one(product).0 != 0;
        let reach = self.reach.get(&(zone, product)).copied().unwrap_or(Zones::ALL);
        (!home || zone == to) && (reach == Zones::ALL || reach.contains(to))
    }

    /// Txns a second that a host survives; none: it is not judged.
    pub(crate) fn most(&self, now: f64, host: HostId) -> Option<f64> {
        let known = self.hosts.get(&host)?;
        let each = match self.facts.per_weight {
            Some(each) => each,
            // What was done is what can be done at the least: enough to judge a cold host by beside the warm ones,
            // and too little to tell a warm one that it can't do more.
            None if !known.warm(now, &self.facts.warmup) && self.best > 0.0 => self.best,
            None => return None,
        };
        Some(self.facts.warmup.failure_load * each * known.weight * known.able(now, &self.facts.warmup))
    }

    /// Txns a second that may come to a host, at the most, over all states that proxies may hold.
    pub(crate) fn load(&self, now: f64, host: HostId) -> f64 {
        let Some(known) = self.hosts.get(&host) else { return 0.0 };
        let mut load = self.others(now, known) + self.of_late(host);
        let mut spans: BTreeMap<TableId, (f64, Vec<Span>)> = BTreeMap::new();
        for tbl in self.named.get(&host).into_iter().flatten() {
            let Some(table) = self.tables.get(tbl) else { continue };
            let each: Vec<Span> = table.spans(host, self.open_weight(table, host)).collect();
            let peak = each.iter().map(|span| span.part).fold(0.0, f64::max);
            load += table.demand * peak;
            if peak > 0.0 {
                spans.insert(*tbl, (peak, each));
            }
        }
        if spans.is_empty() {
            return load.max(0.0);
        }
        // Who came to a table does not hold what it was before, and may hold what those were where it has been.
        for (id, hops) in &self.hops {
            let Some(proxy) = self.proxies.get(id) else { continue };
            let there = |tbl: &TableId| spans.contains_key(tbl);
            if !proxy.uses.iter().map(|held| &held.tbl).chain(hops.iter().map(|hop| &hop.from)).any(there) {
                continue;
            }
            for held in &proxy.uses {
                let peak = spans.get(&held.tbl).map_or(0.0, |there| there.0);
                let (mut left, mut all, mut most) = (held.mask, 0.0, 0.0f64);
                while left != 0 {
                    let first = left & left.wrapping_neg();
                    // Products that went together.
                    let same = |mask: u64| if mask & first != 0 { mask } else { !mask };
                    let group = hops.iter().fold(left, |group, hop| group & same(hop.mask));
                    let part = self.most_of(now, held.tbl, hops, first, &spans);
                    all += self.demand(proxy, group) * part;
                    most = most.max(part);
                    left &= !group;
                }
                load += all.min(held.demand * most) - held.demand * peak;
            }
        }
        load.max(0.0)
    }

    /// The largest part of a proxy's product that a host may get, wherever the proxy may be: in the table where it is
    /// since it came there; where it has been, as that was then; and where an unsure call would bring it, as that
    /// may be since.
    fn most_of(
        &self,
        now: f64,
        tbl: TableId,
        hops: &[Hop],
        product: u64,
        spans: &BTreeMap<TableId, (f64, Vec<Span>)>,
    ) -> f64 {
        let (mut most, mut came) = (0.0f64, 0);
        let mut see = |tbl: TableId, since: At, until: At| {
            let spans = spans.get(&tbl).into_iter().flat_map(|there| &there.1);
            let held = spans.filter(|span| span.ended > since && span.began < until);
            most = held.map(|span| span.part).fold(most, f64::max);
        };
        for hop in hops.iter().filter(|hop| hop.mask & product != 0) {
            let since = std::mem::replace(&mut came, hop.at);
            let still = hop.until > now || hop.at > self.quiet;
            let until = self.again_until(since).unwrap_or(0).max(if still { hop.at } else { 0 });
            see(hop.from, since, until);
        }
        see(tbl, came, At::MAX);
        most
    }

    /// What a host gets was counted without any doubt, so that two counts can be compared.
    fn exact(&self, host: HostId) -> bool {
        let sure = |tbl: &TableId| {
            let vague =
                |table: &Table| table.doubted.is_some() || table.old.iter().any(|old| old.doubted.is_some());
            !self.tables.get(tbl).is_some_and(vague)
        };
        let tables = || self.named.get(&host).into_iter().flatten();
        let here = |tbl: &TableId| self.named.get(&host).is_some_and(|named| named.contains(tbl));
        let moves = self.hops.iter().any(|(id, hops)| {
            let uses = self.proxies.get(id).into_iter().flat_map(|proxy| &proxy.uses);
            uses.map(|held| &held.tbl).chain(hops.iter().map(|hop| &hop.from)).any(here)
        });
        // Nor can two counts of what those may bring who are behind.
        !self.doubts() && !moves && tables().all(sure) && self.of_late(host) <= 0.0
    }

    /// Hosts that get more of a table than before, or of a table that got more, and more than they survive.
    fn over(&self, now: f64, trial: &Trial) -> Vec<(HostId, f64, f64)> {
        // Few are cold, and tables name many.
        let judged = |tbl: &TableId| -> Vec<HostId> {
            let lines = self.tables.get(tbl).map(|table| &table.lines);
            let named = |host: &&HostId| lines.is_some_and(|lines| lines.contains_key(host));
            match self.facts.per_weight {
                Some(_) => lines.into_iter().flat_map(|lines| lines.keys()).copied().collect(),
                None => self.cold.iter().filter(named).copied().collect(),
            }
        };
        let mut raised = BTreeSet::new();
        for tbl in trial.before.keys() {
            let Some(table) = self.tables.get(tbl) else { continue };
            raised.extend(judged(tbl).into_iter().filter(|host| {
                let mut spans = table.spans(*host, self.open_weight(table, *host)).map(|span| span.part);
                let (is, was) = (spans.next().unwrap_or(0.0), spans.next().unwrap_or(0.0));
                is > was
            }));
        }
        if self.doubts() {
            let judges = |host: &HostId| self.facts.per_weight.is_some() || self.cold.contains(host);
            for tbl in trial.tables.iter().copied().chain(trial.writes.binds.iter().map(|bind| bind.1)) {
                let Some(doubt) = self.tables.get(&tbl).and_then(|table| table.doubted.as_ref()) else {
                    continue;
                };
                raised.extend(judged(&tbl));
                raised.extend(doubt.maybe.iter().map(|maybe| maybe.0).filter(judges));
            }
        }
        raised.extend(
            trial.writes.binds.iter().map(|bind| bind.1).collect::<BTreeSet<_>>().iter().flat_map(judged),
        );
        let over = raised.into_iter().filter_map(|host| {
            let (load, most) = (self.load(now, host), self.most(now, host)?);
            (load > most * (1.0 + SAME)).then_some((host, load, most))
        });
        over.collect()
    }

    /// Proxies that an order goes to.
    fn users(&self, tables: &BTreeSet<TableId>) -> BTreeSet<ProxyId> {
        let tables = tables.iter().filter_map(|tbl| self.tables.get(tbl));
        tables.flat_map(|table| table.groups.values().flatten()).copied().collect()
    }

    /// Lines that a batch puts into the channel, at the most.
    pub(crate) fn lines(&self, orders: &[Order]) -> f64 {
        let users = |tbl: &TableId| self.tables.get(tbl).map_or(0, |table| table.users);
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
                    // One that uses two of its tables gets it once: no more than all.
                    let tables = self.named.get(host).into_iter().flatten();
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

    fn too_much(&self, now: f64, orders: &[Order]) -> Option<Breach> {
        let lines = self.lines(orders);
        let most = self.facts.channel.max_backlog;
        if lines > 0.0 && self.waiting + lines > most {
            let witness = Witness::Backlog { lines: self.waiting + lines, most };
            return Some(Breach { rule: Rule::Queue, witness });
        }
        let most = self.facts.channel.max_messages;
        if lines <= 0.0 || most == 0 || (self.messages.len() as u32) < most {
            return None;
        }
        // Who gets one more, and how many it had: by what it uses now, counted once for each kind of use.
        let mut tables = BTreeSet::new();
        let mut whom = BTreeSet::new();
        for order in orders {
            match order {
                Order::SetEntry { table, .. } | Order::Admit { table, .. } | Order::ClearTable { table } => {
                    tables.insert(*table);
                }
                Order::Withdraw { host, .. } => tables.extend(self.named.get(host).into_iter().flatten()),
                Order::Bind { proxy, .. } => drop(whom.insert(*proxy)),
                _ => {}
            }
        }
        whom.extend(self.users(&tables));
        let mut counted: BTreeMap<Vec<TableId>, u32> = BTreeMap::new();
        let over = self.facts.channel.message_window;
        let recent = || self.messages.iter().filter(|message| message.when + over >= now);
        whom.into_iter().find_map(|id| {
            let proxy = self.proxies.get(&id)?;
            let uses: Vec<TableId> = proxy.uses.iter().map(|held| held.tbl).collect();
            let at_tables = *counted.entry(uses).or_insert_with_key(|uses| {
                recent().filter(|message| uses.iter().any(|tbl| message.tables.contains(tbl))).count() as u32
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
