//! Which proxies are bound to their tables in a reply, in which order, and the bind that asks whether a channel stands still.

use super::*;

impl Reply<'_> {
    /// While hosts leave, a proxy that is not bound may hold them in a table of before, and has its grace from its joining
    /// alone. Those of whom one would be late if it waited any longer are bound now, as urgently as hosts drain. Guards
    /// against gates and returns that go first and, as each goes to all who are not bound, take the room for their binds.
    pub(crate) fn bind_overdue(&mut self, wanted: &Plan) {
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

    /// Those without a host come first; who was taken over with the tables of another steward can follow.
    pub(crate) fn bind(&mut self, least: Limits, wanted: &Plan) {
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

    fn bind_one(&mut self, may: Limits, proxy: ProxyId, tbl: Tbl, products: Products) -> Result<(), Refusal> {
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
    pub(crate) fn probe(&mut self, wanted: &Plan) -> Option<(usize, f64)> {
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
}
