//! What differs from the present goes out, the urgent first; what the channel does not take now waits.

use super::*;

impl Steward {
    pub(crate) fn publish(&mut self, now: f64, wanted: Plan, out: &mut Vec<Order>) {
        let present = std::mem::take(&mut self.present);
        let waiting = self.waiting.lines();
        let mut reply = Reply::new(now, self, present);
        reply.drain(&wanted);
        reply.narrow(&wanted);
        reply.bind_overdue(&wanted);
        reply.gate(&wanted);
        reply.fill_tables(ROUTINE, &wanted);
        let back = reply.let_in(&wanted);
        reply.set_levels(ROUTINE, &wanted);
        reply.bind(ROUTINE, &wanted);
        let probed = reply.probe(&wanted);
        let gone = reply.forget(&wanted);
        let to_all = reply.orders.iter().filter(|order| matches!(order, Order::Withdraw { .. })).count();
        out.append(&mut reply.orders);
        let Reply { present, lines, held_up, unbound, .. } = reply;
        self.present = present;
        if let Some((place, lines)) = probed {
            self.stall.probed(place, lines);
        }
        self.tell_held_up(held_up, waiting, out);
        let waits = self.bind_wait.look(now, &unbound, waiting);
        out.extend(waits.map(|text| Order::Log { text }));
        let back = self.hosts.iter_mut().filter(|(id, _)| back.contains(id));
        back.for_each(|(_, host)| host.let_in_at = now);
        self.hosts.retain(|id, _| !gone.contains(id));
        if !lines.is_empty() {
            self.stall.wrote(now);
            out.push(Order::Mark { mark: self.waiting.wrote(now, lines), everyone: false });
            self.waiting.reaches_all(to_all);
        }
    }

    /// Says when withdrawals begin to wait for room in the channel, and when they do not any more.
    fn tell_held_up(&mut self, held_up: usize, waiting: f64, out: &mut Vec<Order>) {
        let before = std::mem::replace(&mut self.held_up, held_up > 0);
        let text = match (before, self.held_up) {
            (false, true) => {
                format!("{held_up} withdrawals wait for the channel, in which {waiting:.0} lines may wait")
            }
            (true, false) => "no withdrawal waits for the channel any more".to_string(),
            _ => return,
        };
        out.push(Order::Log { text });
    }

    /// No governed product may use the table while it names the host.
    pub(crate) fn outside(&self, tbl: &Tbl, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| self.told.outside(tbl, host.zone))
    }
}

impl Reply<'_> {
    fn is_listed_on(&self, host: HostId) -> bool {
        self.steward.hosts.get(&host).is_some_and(|host| host.standing == Standing::On)
    }

    /// Drains, in the order of their hosts. One that has no room yet keeps its place: guards against a withdrawal from many
    /// proxies that waits for good while smaller orders take each piece of room that comes up.
    fn drain(&mut self, wanted: &Plan) {
        let leaving = wanted.held.difference(&self.present.held).filter(|host| !self.is_listed_on(**host));
        for host in leaving.copied().collect::<Vec<_>>() {
            let whom = self.present.holders(host, &self.steward.proxies);
            if self.withdraw(DRAIN, host, &whom) {
                continue;
            }
            self.held_up += 1;
            let cost = self.cost(&whom, 1.0);
            self.keep_place(DRAIN, cost);
        }
    }

    /// Gates, in the order of their hosts.
    fn gate(&mut self, wanted: &Plan) {
        if self.steward.waiting.is_behind() {
            return;
        }
        let gated = wanted.held.difference(&self.present.held).filter(|host| self.is_listed_on(**host));
        for host in gated.copied().collect::<Vec<_>>() {
            let whom = self.present.holders(host, &self.steward.proxies);
            self.held_up += usize::from(!self.withdraw(URGENT, host, &whom));
        }
    }

    fn withdraw(&mut self, may: Limits, host: HostId, whom: &[ProxyId]) -> bool {
        let taken = self.take(may, whom, 1.0, &[Order::Withdraw { host, out: true }]);
        self.present.held.extend(taken.then_some(host));
        taken
    }

    /// Residency stands before service: what leaves a reach goes ahead of the rest, whatever then serves.
    fn narrow(&mut self, wanted: &Plan) {
        let (told, hosts) = (&self.steward.told, &self.steward.hosts);
        let zone = |id: &HostId| hosts.get(id).map(|host| host.zone);
        let (binds, moved) = (self.present.narrowing(wanted, told), self.present.moved(told, zone));
        self.passed = &self.present.left_by(&binds) | &moved;
        let narrow = wanted.only(binds, &moved);
        self.fill_tables(DRAIN, &narrow);
        self.set_levels(DRAIN, &narrow);
        self.bind(DRAIN, &narrow);
        let (binds, moved) = (self.present.narrowing(wanted, told), self.present.moved(told, zone));
        self.passed = &self.present.left_by(&binds) | &moved;
    }

    fn fill_tables(&mut self, least: Limits, wanted: &Plan) {
        for (tbl, lines) in &wanted.lines {
            // Its number may have been another's, with lines that are still there.
            let anew = self.present.begin(self.now, *tbl);
            let number = self.present.number(*tbl);
            self.orders.extend(anew.then_some(Order::Clear { tbl: number }));
            let Some(standing) = self.present.lines().get(tbl) else { continue };
            let held = &self.present.held;
            // What goes is removed once all that comes back serves, or the rest would get it all, or none.
            let back = |id: &HostId| held.contains(id) && !wanted.held.contains(id);
            let serves = !lines.keys().any(back) && !lines.keys().all(|id| held.contains(id));
            // Where nothing serves nothing is lost: zones that all restarted waited for each other for good.
            let bare = self.present.bare(tbl);
            let serves = serves || bare && !standing.is_empty() && !lines.is_empty();
            let goes = |id: &&HostId| !lines.contains_key(id) && (serves || self.steward.outside(tbl, id));
            let gone = standing.keys().filter(goes).map(|id| (*id, 0.0));
            let news = lines.iter().map(|(host, weight)| (*host, *weight)).filter(|(host, weight)| {
                // The weight of a host that is shut out can wait until it comes back.
                let waits = wanted.held.contains(host) && standing.contains_key(host);
                standing.get(host) != Some(weight) && !waits && !self.passed.contains(tbl)
            });
            let changes: Vec<(HostId, f64)> = gone.chain(news).collect();
            let usual = if changes.iter().any(|(host, _)| back(host)) { BACK } else { least };
            let may = if bare || least == DRAIN { DRAIN } else { usual };
            let share = |&(host, weight): &_| Order::Share { tbl: number, host, weight };
            let orders: Vec<Order> = changes.iter().map(share).collect();
            if !orders.is_empty() && self.take(may, &self.present.reached(tbl), orders.len() as f64, &orders)
            {
                self.present.set(*tbl, changes);
            }
        }
    }

    /// A host comes back once tables give it its weight, a cold one after the warm, lest it be alone.
    fn let_in(&mut self, wanted: &Plan) -> Vec<HostId> {
        let cold = |id: &HostId| self.steward.hosts.get(id).is_some_and(|host| host.cold_since.is_some());
        let back = self.present.held.difference(&wanted.held).map(|id| (*id, cold(id))).collect::<Vec<_>>();
        let (all_cold, mut came) = (back.iter().all(|(_, cold)| *cold), Vec::new());
        for (host, cold) in back.into_iter().filter(|(_, cold)| all_cold || !cold) {
            let ready = self.present.used().all(|tbl| {
                let weight = wanted.weight(tbl, host);
                self.present.weight(tbl, host) == weight || weight.is_none() && !cold
            });
            let passed = self.passed.iter().any(|tbl| self.present.names(tbl, host));
            let whom = self.present.holders(host, &self.steward.proxies);
            let may = if self.ends_bareness(wanted, host) { DRAIN } else { BACK };
            if ready && !passed && self.take(may, &whom, 1.0, &[Order::Withdraw { host, out: false }]) {
                self.present.held.remove(&host);
                came.push(host);
            }
        }
        came
    }

    /// Nothing serves in some table that proxies use or are to use, and the host would. Guards against proxies without a host,
    /// or without a bind to such a table, while its first host waits like all that comes back.
    fn ends_bareness(&self, wanted: &Plan, host: HostId) -> bool {
        let wanted_tables = wanted.used();
        let mut tables = self.present.used().chain(&wanted_tables);
        tables.any(|tbl| self.present.names(tbl, host) && self.present.bare(tbl))
    }

    fn set_levels(&mut self, least: Limits, wanted: &Plan) {
        for (&(tbl, products), &(level, tries)) in wanted.levels.iter().filter(|_| !self.steward.awaits) {
            let differs = self.present.levels.get(&(tbl, products)) != Some(&(level, tries));
            let declined = level == 0.0 && self.steward.told.governs(tbl.0, products).0 != 0;
            let may = if declined && least == ROUTINE { URGENT } else { least };
            let order = Order::Admit { tbl: self.present.number(tbl), products, level, tries };
            let known = self.present.lines().contains_key(&tbl);
            let taken = differs && known && self.take(may, &self.present.reached(&tbl), 1.0, &[order]);
            self.present.levels.extend(taken.then_some(((tbl, products), (level, tries))));
        }
    }

    /// Of one that is gone, in no table, and unknown to proxies not bound yet nothing stays; so of idle tables.
    fn forget(&mut self, wanted: &Plan) -> BTreeSet<HostId> {
        self.orders.extend(self.present.drop_unused(wanted).into_iter().map(|tbl| Order::Clear { tbl }));
        let gone = self.steward.hosts.iter().filter(|(_, host)| host.standing == Standing::Gone);
        let gone = self.present.let_go(gone.map(|(id, _)| *id), &self.steward.proxies);
        self.orders.extend(gone.iter().map(|host| Order::Forget { host: *host }));
        gone
    }
}
