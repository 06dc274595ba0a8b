//! What differs from the present goes out, the urgent first; what the channel does not take now waits.

use super::*;

/// What part of backlog and messages drains may use, gates and bare proxies, what comes back, the rest; then
/// how many seconds of the channel while hosts leave (the next drain stands behind what waits and has but its
/// grace: of ten pairs on fleet days the best), and else, as what is urgent later stands behind it.
const DRAIN: (f64, f64, f64, f64) = (0.95, 0.97, f64::MAX, f64::MAX);
const URGENT: (f64, f64, f64, f64) = (0.85, 0.83, f64::MAX, f64::MAX);
const BACK: (f64, f64, f64, f64) = (0.85, 0.83, 1.25, f64::MAX);
const ROUTINE: (f64, f64, f64, f64) = (0.5, 0.67, 1.0, 1.5);

/// A message that goes whatever counts as waiting; its size is bounded where it is sent.
const PROBE: (f64, f64, f64, f64) = (f64::MAX, 0.97, f64::MAX, f64::MAX);

struct Reply<'a> {
    now: f64,
    steward: &'a Steward,
    present: Present,
    /// Tables that a product still uses whose reach they pass: nothing joins them.
    passed: BTreeSet<Tbl>,
    lines: BTreeMap<ProxyId, f64>,
    waiting: f64,
    leaving: bool,
    /// Withdrawals that have to wait.
    held_up: usize,
    /// Something found no room in the channel.
    refused: bool,
    /// How many proxies without a table of this controller are not bound now, and what holds them back.
    unbound: BTreeMap<Refusal, usize>,
    orders: Vec<Order>,
}

impl Steward {
    pub(crate) fn publish(&mut self, now: f64, wanted: Plan, out: &mut Vec<Order>) {
        let (present, waiting) = (std::mem::take(&mut self.present), self.waiting.lines());
        let (passed, lines, orders) = (BTreeSet::new(), BTreeMap::new(), Vec::new());
        let leaving = self.hosts.values().any(|host| host.standing != Standing::On);
        let (held_up, refused, unbound) = (0, false, BTreeMap::new());
        #[rustfmt::skip]
        let mut reply = Reply {
            now, steward: self, present, passed, lines, waiting, leaving, held_up, refused, unbound, orders,
        };
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
    fn outside(&self, tbl: &Tbl, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| self.told.outside(tbl, host.zone))
    }
}

impl Reply<'_> {
    /// What `each` lines to each of `whom` add to the channel.
    fn cost(&self, whom: &[ProxyId], each: f64) -> f64 {
        let fresh = whom.iter().filter(|id| !self.lines.contains_key(id)).count();
        each * whom.len() as f64 + (self.steward.channel.head + 1.0) * fresh as f64
    }

    /// Takes the orders in if backlog and message limit allow; `each` lines go to each of `whom`.
    fn take(&mut self, may: (f64, f64, f64, f64), whom: &[ProxyId], each: f64, orders: &[Order]) -> bool {
        self.admit(may, whom, each, orders).is_ok()
    }

    /// The same, with what holds them back.
    #[rustfmt::skip]
    fn admit(
        &mut self, may: (f64, f64, f64, f64), whom: &[ProxyId], each: f64, orders: &[Order],
    ) -> Result<(), Refusal> {
        let Steward { channel, waiting, .. } = self.steward;
        let (span, most) = (channel.messages_over + 2.0 * BUCKET, may.1 * f64::from(channel.messages));
        let full = |id: &ProxyId| channel.messages > 0 && waiting.messages(self.now, span, *id) + 1.0 > most;
        let fresh: Vec<&ProxyId> = whom.iter().filter(|id| !self.lines.contains_key(id)).collect();
        let cost = self.cost(whom, each);
        // What comes back rides on messages that go anyway, a drain's: it costs no head then.
        let rides = may == BACK && (fresh.is_empty() || self.waiting <= 0.0);
        let pace = channel.lines_per_s * if self.leaving && !rides { may.2 } else { may.3 };
        // What can wait is not decided ahead of a relay that calls do not get through to: who joins meanwhile gets it too.
        if waiting.is_behind() && (may == ROUTINE || may == BACK) {
            return Err(Refusal::CallsFail);
        }
        let fits = self.waiting + cost <= pace.min(may.0 * channel.backlog);
        self.refused |= !fits;
        if !fits {
            return Err(Refusal::ChannelFull);
        }
        if fresh.into_iter().any(full) {
            return Err(Refusal::MessageLimit);
        }
        self.waiting += cost;
        whom.iter().for_each(|proxy| *self.lines.entry(*proxy).or_insert(channel.head + 1.0) += each);
        self.orders.extend_from_slice(orders);
        Ok(())
    }

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

    fn withdraw(&mut self, may: (f64, f64, f64, f64), host: HostId, whom: &[ProxyId]) -> bool {
        let taken = self.take(may, whom, 1.0, &[Order::Withdraw { host, out: true }]);
        self.present.held.extend(taken.then_some(host));
        taken
    }

    /// What found no room counts as if it waited, so that nothing after it takes the room that comes up; not where it will
    /// never fit.
    fn keep_place(&mut self, may: (f64, f64, f64, f64), cost: f64) {
        if cost <= may.0 * self.steward.channel.backlog {
            self.waiting += cost;
        }
    }

    /// While hosts leave, a proxy that is not bound may hold them in a table of before, and has its grace from its joining
    /// alone. Those of whom one would be late if it waited any longer are bound now, as urgently as hosts drain. Guards
    /// against gates and returns that go first and, as each goes to all who are not bound, take the room for their binds.
    fn bind_overdue(&mut self, wanted: &Plan) {
        if !self.leaving || !self.present.lacks_binds(&self.steward.proxies) {
            return;
        }
        let unbound = self.unbound_in_turn(wanted);
        let overdue = self.overdue(&unbound);
        for ((proxy, tbl), products) in unbound.into_iter().take(overdue) {
            if self.present.bare(&tbl) {
                continue;
            }
            if self.bind_one(DRAIN, proxy, tbl, products) == Err(Refusal::ChannelFull) {
                let cost = self.cost(&[proxy], self.bind_lines(&tbl));
                self.keep_place(DRAIN, cost);
            }
        }
    }

    /// The binds of proxies without a table of this controller: those that hold no ordered table at all first, then in the
    /// order of their joining.
    fn unbound_in_turn(&self, wanted: &Plan) -> Vec<Bind> {
        let mut unbound = self.present.lacking(wanted);
        unbound.retain(|((proxy, _), _)| self.present.bound(*proxy).next().is_none());
        unbound.sort_by(|((a, _), _), ((b, _), _)| {
            let (a, b) = (&self.steward.proxies[a], &self.steward.proxies[b]);
            b.fresh.cmp(&a.fresh).then(a.joined_at.total_cmp(&b.joined_at))
        });
        unbound
    }

    /// How many of these binds, in their order, have to go now if none is to be applied after the grace of its proxy.
    fn overdue(&self, binds: &[Bind]) -> usize {
        let Steward { proxies, channel, roster, .. } = self.steward;
        let mut ahead = self.waiting;
        let mut overdue = 0;
        for (place, ((proxy, tbl), _)) in binds.iter().enumerate() {
            ahead += self.cost(&[*proxy], self.bind_lines(tbl));
            let sent_at = self.now + TICK + 1e3 * ahead / channel.lines_per_s;
            let applied_at = sent_at + channel.transit_worst;
            if applied_at >= proxies[proxy].joined_at + roster.grace {
                overdue = place + 1;
            }
        }
        overdue
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

    fn fill_tables(&mut self, least: (f64, f64, f64, f64), wanted: &Plan) {
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

    fn set_levels(&mut self, least: (f64, f64, f64, f64), wanted: &Plan) {
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

    /// Those without a host come first; who was taken over with the tables of another steward can follow.
    fn bind(&mut self, least: (f64, f64, f64, f64), wanted: &Plan) {
        let (present, proxies) = (&self.present, &self.steward.proxies);
        let mut lacking = present.lacking(wanted);
        lacking.sort_by_key(|((id, _), of)| !present.bare_for(*id, *of).unwrap_or(proxies[id].fresh));
        for ((proxy, tbl), products) in lacking {
            let bare = self.present.bare_for(proxy, products);
            let may = if least == DRAIN || bare == Some(false) { least } else { URGENT };
            // Nobody is moved to a table before something in it serves.
            let serves = bare == Some(true) || least == DRAIN || !self.present.bare(&tbl);
            let bound =
                if serves { self.bind_one(may, proxy, tbl, products) } else { Err(Refusal::NothingServes) };
            if let (Err(refusal), None) = (bound, bare) {
                *self.unbound.entry(refusal).or_default() += 1;
            }
        }
    }

    fn bind_one(
        &mut self,
        may: (f64, f64, f64, f64),
        proxy: ProxyId,
        tbl: Tbl,
        products: Products,
    ) -> Result<(), Refusal> {
        let steward = self.steward;
        let lines = self.present.lines().get(&tbl);
        let clean = lines.is_some_and(|lines| !lines.keys().any(|id| steward.outside(&tbl, id)));
        let each = self.bind_lines(&tbl);
        let bind = Order::Bind { proxy, tbl: self.present.number(tbl), products };
        if !clean {
            return Err(Refusal::OutsideReach);
        }
        self.admit(may, &[proxy], each, &[bind])?;
        self.present.bind(proxy, tbl, products);
        Ok(())
    }

    /// What a bind to the table costs beside the message's head, at the most.
    fn bind_lines(&self, tbl: &Tbl) -> f64 {
        let lines = self.present.lines().get(tbl).map_or(0, BTreeMap::len);
        2.0 * (lines + self.steward.products.len()) as f64 + 1.0
    }

    /// Where what is wanted finds no room and no answer comes, one proxy is bound, anew where it is bound already,
    /// whatever counts as waiting. Gives the probe's place among the wanted binds and its lines.
    ///
    /// The first that can be bound is taken. Guards against a probe that is never sent, as the proxy in turn would be bound to
    /// a table in which nothing serves: its hosts could not be let in before an answer came.
    fn probe(&mut self, wanted: &Plan) -> Option<(usize, f64)> {
        let Steward { channel, stall, .. } = self.steward;
        if !self.refused || !self.lines.is_empty() {
            return None;
        }
        let room = stall.probe(self.now, channel.transit_worst, channel.backlog)?;
        let count = wanted.binds.len();
        let first = stall.next.checked_rem(count)?;
        (first..first + count).map(|place| place % count).find_map(|place| {
            let ((proxy, tbl), products) = wanted.binds[place];
            let lines = self.cost(&[proxy], self.bind_lines(&tbl));
            let stays = self.present.using(proxy, products) == [tbl];
            let serves = stays || !self.present.bare(&tbl);
            let fits = lines <= room && serves && !self.passed.contains(&tbl);
            let bound = fits && self.bind_one(PROBE, proxy, tbl, products).is_ok();
            bound.then_some((place, lines))
        })
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
