//! What is wanted, step by step: who can carry what, whom to hold back, which neighbours join, which lines
//! each table in use has and who sits there, and how much is let in.

use super::*;

/// What a plan goes by.
#[derive(Default)]
pub struct Sight {
    /// Hosts that may carry something, and what part of their listed weight.
    able: Vec<(HostId, f64)>,
    none_open: bool,
    /// Reaches, by home zone, with most of their warm hosts' weight gated; not that of all hosts.
    short: BTreeSet<(ZoneId, Reach)>,
    held: BTreeSet<HostId>,
    pub asks: BTreeMap<ZoneId, Vec<Ask>>,
    pub lines: Lines,
    /// Zones with hosts that are not warm yet.
    cold: BTreeSet<ZoneId>,
}

impl Steward {
    pub(crate) fn want(&mut self, now: f64) -> Plan {
        let mut sight = self.see(now);
        sight.held = self.hold(now, &sight);
        self.even_out(now, &sight);
        sight.lines = self.lines(&sight);
        let trees = self.told.trees();
        self.proxies.values_mut().for_each(|proxy| proxy.keep(&trees));
        trees.into_iter().for_each(|tree| self.seat_tree(now, tree, &sight));
        let mut plan = Plan::holding(sight.held.clone());
        plan.seat(&self.proxies, &self.told, &sight.lines, &self.present);
        self.told.zones().for_each(|zone| self.admit(now, zone, &sight, &mut plan));
        plan
    }

    fn see(&self, now: f64) -> Sight {
        let on = self.hosts.iter().filter(|(_, host)| host.standing == Standing::On);
        let able = on.filter_map(|(id, host)| Some((*id, host.part(now, &self.warmup)?))).collect();
        let span = f64::max(5_000.0, self.cover + BUCKET);
        let asks = Ask::each(&self.products, self.told.zones(), &self.proxies, now, span);
        let mut sight = Sight { able, asks, none_open: true, ..Sight::default() };
        let mut open = BTreeMap::new();
        for host in sight.able.iter().map(|(id, _)| &self.hosts[id]) {
            let weight = if host.gate.shut { -host.weight } else { host.weight };
            sight.none_open &= host.gate.shut;
            match host.warm(now, &self.warmup) {
                true => *open.entry(host.zone).or_insert(0.0) += weight,
                false => drop(sight.cold.insert(host.zone)),
            }
        }
        let few = |(home, reach): &(ZoneId, Reach)| {
            let there = open.iter().filter(|(zone, _)| reach.holds(*home, **zone)).map(|(_, open)| *open);
            *reach != Reach::Free && there.sum::<f64>() < 0.0
        };
        sight.short = self.told.reaches().into_iter().filter(few).collect();
        sight
    }

    fn able<'a>(&'a self, sight: &'a Sight) -> impl Iterator<Item = (HostId, &'a Host, f64)> {
        sight.able.iter().map(|(id, part)| (*id, &self.hosts[id], *part))
    }

    /// With every host gated, gates are ignored; so too within a reach that is short, where a product may not
    /// leave it. Nor are cold ones let in there, or where tries fail at all: they would get all.
    fn hold(&self, now: f64, sight: &Sight) -> BTreeSet<HostId> {
        let used = |(home, reach): &&(ZoneId, Reach)| self.told.classes(*home).contains_key(reach);
        let bound: Vec<&(ZoneId, Reach)> = sight.short.iter().filter(used).collect();
        let goes = |(_, host, _): &(HostId, &Host, f64)| {
            let few = sight.short.contains(&(host.zone, Reach::Own));
            let bound = || bound.iter().any(|(home, reach)| reach.holds(*home, host.zone));
            let gated = host.gate.shut && !sight.none_open && !bound();
            let stands = !self.strained || host.able(now, &self.warmup) >= HALF;
            !gated && (!few && stands || host.warm(now, &self.warmup))
        };
        let goes: BTreeSet<HostId> = self.able(sight).filter(goes).map(|able| able.0).collect();
        self.hosts.keys().filter(|id| !goes.contains(id)).copied().collect()
    }

    /// Moves the parts that neighbours' hosts have in a zone's tables.
    fn even_out(&mut self, now: f64, sight: &Sight) {
        let zones = usize::from(self.post.zones);
        let (mut weights, mut busy) = (vec![0.0; zones], vec![Vec::new(); zones]);
        let open = |(id, host, _): &(HostId, &Host, f64)| !host.gate.shut && !sight.held.contains(id);
        for (_, host, part) in self.able(sight).filter(open).filter(|able| able.1.zone.0 < self.post.zones) {
            weights[host.zone.0 as usize] += host.weight * part;
            busy[host.zone.0 as usize].extend(host.busy);
        }
        let (mut demands, movable) = self.told.demands(&sight.asks, &weights);
        if self.post.by_zone && self.post.stewards > 1 {
            // Other stewards' zones are as full as ours, or as their hosts say, at the median: some may lie.
            let busy: Vec<f64> = busy.into_iter().map(median).collect();
            let home = self.post.zone.0 as usize;
            let fair = demands[home] / weights[home].max(1e-9);
            for (place, demand) in demands.iter_mut().enumerate() {
                let beside = if busy[home] > 0.0 { busy[place] / busy[home] } else { 1.0 };
                *demand = demand.max(fair * beside * weights[place]);
            }
        }
        // Looked at every other tick: parts that followed each would chase their own effect.
        if self.urgent || (now / 400.0) as i64 != (self.planned_at / 400.0) as i64 {
            spill(&mut self.spill, &self.told, (&weights, &demands), movable);
        }
        let rings = self.hosts.values().flat_map(|host| host.met.values());
        let good: f64 = rings.map(|ring| ring.last(now, self.cover + BUCKET).rate()).sum();
        self.best = f64::max(self.best * 0.999, good / weights.iter().sum::<f64>().max(1e-9));
    }

    /// Gated hosts keep the lines that they have, shut out, so that their return costs one order.
    fn lines(&self, sight: &Sight) -> Lines {
        let mut lines: Lines = self.told.reaches().into_iter().map(|of| (of, vec![])).collect();
        for (id, host, part) in self.able(sight) {
            let (place, open) = (host.place, !sight.held.contains(&id));
            for (of, lines) in &mut lines {
                let own = f64::from(host.zone == of.0);
                let joins = self.spill.get(&(of.0, of.1, host.zone)).copied().unwrap_or(own);
                let weight = host.weight * part * if of.1.holds(of.0, host.zone) { joins } else { 0.0 };
                let may = !open || !host.gate.shut || sight.none_open || sight.short.contains(of);
                lines.extend((weight > 0.0 && may).then_some(Line { host: id, place, weight, open }));
            }
        }
        lines
    }

    /// A class with a reach of its own has seats of its own.
    fn seat_tree(&mut self, now: f64, (zone, tree): (ZoneId, Reach), sight: &Sight) {
        // The smallest tables have the size of those that proxies start with, or up to twice that.
        let goes = !tree.holds(zone, zone);
        let there = |host: &Host| host.zone == zone || goes && tree.holds(zone, host.zone);
        let listed = |host: &&Host| there(host) && host.standing != Standing::Gone;
        let count = self.hosts.values().filter(listed).count() as u32 / self.sidecars.standing.max(1);
        let most = 1 << count.clamp(1, Present::most_groups(self.post.zones)).ilog2();
        let mut open = groups(&sight.lines[&(zone, tree)], most);
        // Where a product may not leave, neighbours' hosts alone make no seat.
        if tree == Reach::Free && self.told.classes(zone).contains_key(&Reach::Own) {
            let homes = groups(&sight.lines[&(zone, Reach::Own)], most);
            open.iter_mut().zip(homes).filter(|(_, home)| *home <= 0.0).for_each(|(open, _)| *open = 0.0);
        }
        let gain = if now < self.still_until { self.warmup.multiple } else { 0.25 }; // Cold hosts bear no more.
        let sits = |ask: &&Ask| self.told.reach(zone, ask.id).tree() == tree;
        let asks: Vec<&Ask> = sight.asks[&zone].iter().filter(sits).collect();
        seat(&mut self.proxies, (zone, tree), &asks, &open, gain);
    }

    /// Guards zones that come back all cold: their budget, of the best rate of late, bounds levels.
    pub(crate) fn budget(&self, zone: ZoneId, sight: &Sight) -> Option<f64> {
        let classes = self.told.classes(zone);
        // Products that must leave the zone meet what is cold there.
        let goes = |reach: &Reach, to: &ZoneId| !reach.holds(zone, zone) && reach.holds(zone, *to);
        let cold = |to: &ZoneId| *to == zone || classes.keys().any(|reach| goes(reach, to));
        let load = |reach: &Reach| {
            let asks = sight.asks[&zone].iter().filter(|ask| self.told.reach(zone, ask.id) == *reach);
            asks.map(|ask| ask.total).sum::<f64>() / groups(&sight.lines[&(zone, *reach)], 1)[0].max(1e-9)
        };
        let best = if self.best > 0.0 { self.best } else { f64::INFINITY };
        let budget = 0.4 * self.warmup.multiple * best / classes.keys().map(load).sum::<f64>().max(1e-9);
        sight.cold.iter().any(cold).then_some(budget.min(1.0))
    }
}
