//! Which proxies a reply binds to their tables, in which order, and the bind that probes a stalled channel.

use super::*;

impl Reply<'_> {
    /// A proxy holds what it had before it joined until it is bound, and was told of no earlier withdrawal, while its
    /// grace runs from its joining. While hosts leave, this binds, with the urgency of drains, the proxies up to the
    /// last one that would be late if it waited any longer. Guards against gates and restores, which are sent first to
    /// all unbound proxies and take the room needed for their binds.
    ///
    /// A proxy is also bound to a table without a usable host, as those that stayed joined are left without one, unless
    /// a warm host could serve it. Guards against a proxy that goes on sending to hosts that leave, or to cold ones,
    /// because all hosts of its table are withdrawn. Before a host is known, none is withdrawn.
    pub(crate) fn bind_overdue(&mut self, desired: &DesiredState) {
        let Controller { hosts, proxies, .. } = self.controller;
        if hosts.is_empty() || !self.published.has_unbound_proxies(proxies) {
            return;
        }
        let unbound = self.unbound_by_priority(desired);
        let overdue = self.count_overdue(&unbound);
        for ((proxy, table), classes) in unbound.into_iter().take(overdue) {
            let is_due = if self.published.lacks_usable_host(&table) {
                !self.has_warm_host_in_reach(&table)
            } else {
                self.hosts_leaving
            };
            if is_due && self.bind_proxy(DRAIN, proxy, table, classes) == Err(Refusal::ChannelFull) {
                let cost = self.cost(&[proxy], self.bind_cost(&table));
                self.reserve_room(DRAIN, cost);
            }
        }
    }

    /// Whether a warm host is in service that the request classes of the table may use.
    fn has_warm_host_in_reach(&self, (home, reach, _): &TableKey) -> bool {
        let Controller { hosts, warmup, .. } = self.controller;
        let in_reach = hosts.values().filter(|host| reach.contains(*home, host.zone));
        in_reach
            .filter(|host| host.standing == Availability::InService)
            .any(|host| host.is_warm(self.now, warmup))
    }

    /// The binds of proxies for request classes for which they use no table of this controller: first those of
    /// proxies that hold no ordered table at all, then in the order of joining.
    fn unbound_by_priority(&self, desired: &DesiredState) -> Vec<Bind> {
        let of_unbound_classes = |(key, classes): Bind| {
            let (proxy, _) = key;
            let unbound = ClassSet(classes.0 & self.published.unbound_class_bits(proxy));
            (unbound.0 != 0).then_some((key, unbound))
        };
        let missing_binds = self.published.missing_binds(desired).into_iter();
        let mut unbound: Vec<Bind> = missing_binds.filter_map(of_unbound_classes).collect();
        unbound.sort_by(|((a, _), _), ((b, _), _)| {
            let (a, b) = (&self.controller.proxies[a], &self.controller.proxies[b]);
            b.without_table.cmp(&a.without_table).then(a.joined_at.total_cmp(&b.joined_at))
        });
        unbound
    }

    /// How many of these binds, in their order, have to be sent now so that none is applied after the grace
    /// of its proxy.
    fn count_overdue(&self, binds: &[Bind]) -> usize {
        let Controller { proxies, channel, list_settings, .. } = self.controller;
        let mut lines_ahead = self.backlog_lines;
        let mut overdue = 0;
        for (index, ((proxy, table), _)) in binds.iter().enumerate() {
            lines_ahead += self.cost(&[*proxy], self.bind_cost(table));
            let sent_at = self.now + TICK_MS + 1e3 * lines_ahead / channel.lines_per_s;
            let applied_at = sent_at + channel.max_transit;
            if applied_at >= proxies[proxy].joined_at + list_settings.drain_grace {
                overdue = index + 1;
            }
        }
        overdue
    }

    /// Binds proxies to their tables. Proxies without a usable host come first; those taken over with the
    /// tables of another controller can follow.
    pub(crate) fn bind_proxies(&mut self, base_limits: Limits, desired: &DesiredState) {
        let (published, proxies) = (&self.published, &self.controller.proxies);
        let mut missing_binds = published.missing_binds(desired);
        missing_binds.sort_by_key(|((id, _), of)| {
            !published.lacks_usable_host_for(*id, *of).unwrap_or(proxies[id].without_table)
        });
        for ((proxy, table), classes) in missing_binds {
            let lacks_usable_host = self.published.lacks_usable_host_for(proxy, classes);
            let limits =
                if base_limits == DRAIN || lacks_usable_host == Some(false) { base_limits } else { URGENT };
            // No proxy is moved to a table before a host in it is usable.
            let serves = lacks_usable_host == Some(true)
                || base_limits == DRAIN
                || !self.published.lacks_usable_host(&table);
            let bound = if serves {
                self.bind_proxy(limits, proxy, table, classes)
            } else {
                Err(Refusal::NoUsableHost)
            };
            if let (Err(refusal), None) = (bound, lacks_usable_host) {
                *self.unbound_proxies.entry(refusal).or_default() += 1;
            }
        }
    }

    fn bind_proxy(
        &mut self,
        limits: Limits,
        proxy: ProxyId,
        table: TableKey,
        classes: ClassSet,
    ) -> Result<(), Refusal> {
        let controller = self.controller;
        let entries = self.published.tables().get(&table);
        let conforms =
            entries.is_some_and(|entries| !entries.keys().any(|id| controller.is_outside_reach(&table, id)));
        let lines_each = self.bind_cost(&table);
        let bind = Order::Bind { proxy, table: self.published.table_id(table), classes };
        if !conforms {
            return Err(Refusal::OutsideReach);
        }
        self.enqueue(limits, &[proxy], lines_each, &[bind])?;
        self.published.bind(proxy, table, classes);
        Ok(())
    }

    /// Upper bound of the lines of a bind to the table, without the message overhead.
    fn bind_cost(&self, table: &TableKey) -> f64 {
        let entries = self.published.tables().get(table).map_or(0, BTreeMap::len);
        2.0 * (entries + self.controller.classes.len()) as f64 + 1.0
    }

    /// Where a desired order finds no room and no answer arrives, one proxy is bound regardless of what
    /// counts as queued, again if it is bound already. Returns the index of the probe among the desired binds
    /// and its lines. The first bind that is possible is used. Guards against a probe that is never sent
    /// because the next proxy's table has no usable host: its hosts could not be restored before an answer
    /// arrived.
    pub(crate) fn probe_channel(&mut self, desired: &DesiredState) -> Option<(usize, f64)> {
        let Controller { channel, stall_detector, .. } = self.controller;
        if !self.channel_refused || !self.lines_by_proxy.is_empty() {
            return None;
        }
        let room = stall_detector.probe_budget(self.now, channel.max_transit, channel.max_backlog)?;
        let count = desired.binds.len();
        let first = stall_detector.next_bind.checked_rem(count)?;
        (first..first + count).map(|index| index % count).find_map(|index| {
            let ((proxy, table), classes) = desired.binds[index];
            let lines = self.cost(&[proxy], self.bind_cost(&table));
            let stays = self.published.tables_used_for(proxy, classes) == [table];
            let serves = stays || !self.published.lacks_usable_host(&table);
            let fits = lines <= room && serves && !self.nonconforming.contains(&table);
            let bound = fits && self.bind_proxy(PROBE, proxy, table, classes).is_ok();
            bound.then_some((index, lines))
        })
    }
}
