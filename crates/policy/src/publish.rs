//! Sends orders for the differences between desired and published state, the urgent ones first; orders that
//! the channel cannot accept now wait for a later reply.

use super::*;

impl Controller {
    /// Sends what the channel accepts of the differences between desired and published state.
    pub(crate) fn publish(&mut self, now: f64, desired: DesiredState, orders: &mut Vec<Order>) {
        let published = std::mem::take(&mut self.published);
        let backlog_lines = self.backlog.lines();
        let mut reply = Reply::new(now, self, published);
        reply.drain(&desired);
        reply.apply_narrowed_reach(&desired);
        reply.bind_overdue(&desired);
        reply.gate(&desired);
        reply.update_tables(ROUTINE, &desired);
        let restored = reply.restore_hosts(&desired);
        reply.set_levels(ROUTINE, &desired);
        reply.bind_proxies(ROUTINE, &desired);
        let probed = reply.probe_channel(&desired);
        let gone = reply.forget_unlisted_hosts(&desired);
        let broadcasts = reply.orders.iter().filter(|order| matches!(order, Order::Withdraw { .. })).count();
        orders.append(&mut reply.orders);
        let Reply { published, lines_by_proxy, delayed_withdrawals, unbound_proxies, .. } = reply;
        self.published = published;
        if let Some((index, lines)) = probed {
            self.stall_detector.on_probe(index, lines);
        }
        self.log_delayed_withdrawals(delayed_withdrawals, backlog_lines, orders);
        let log = self.unbound_monitor.check(now, &unbound_proxies, backlog_lines);
        orders.extend(log.map(|text| Order::Log { text }));
        self.log_cold_tables(now, orders);
        self.log_hosts_held_back(now, orders);
        let restored = self.hosts.iter_mut().filter(|(id, _)| restored.contains(id));
        restored.for_each(|(_, host)| host.restored_at = now);
        self.hosts.retain(|id, _| !gone.contains(id));
        if !lines_by_proxy.is_empty() {
            self.stall_detector.on_sent(now);
            orders.push(Order::Mark {
                mark: self.backlog.record_sent(now, lines_by_proxy),
                all_proxies: false,
            });
            self.backlog.record_broadcasts(broadcasts);
        }
    }

    /// Logs when withdrawals begin to wait for room in the channel, and when none waits any more.
    fn log_delayed_withdrawals(&mut self, delayed: usize, backlog_lines: f64, orders: &mut Vec<Order>) {
        let before = std::mem::replace(&mut self.withdrawals_delayed, delayed > 0);
        let text = match (before, self.withdrawals_delayed) {
            (false, true) => {
                format!(
                    "{delayed} withdrawals wait for the channel, \
                     where up to {backlog_lines:.0} lines are queued"
                )
            }
            (true, false) => "no withdrawal waits for the channel any more".to_string(),
            _ => return,
        };
        orders.push(Order::Log { text });
    }

    /// Whether the table must not name the host, because a request class with a residency rule may use it.
    pub(crate) fn is_outside_reach(&self, table: &TableKey, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| self.reach_rules.forbids(table, host.zone))
    }
}

impl Reply<'_> {
    fn is_listed_on(&self, host: HostId) -> bool {
        self.controller.hosts.get(&host).is_some_and(|host| host.standing == Availability::InService)
    }

    /// Drains, in the order of their hosts. A drain that finds no room yet keeps its position: guards against
    /// a withdrawal from many proxies that never gets room because smaller orders take each piece that
    /// becomes free.
    fn drain(&mut self, desired: &DesiredState) {
        let leaving =
            desired.withdrawn.difference(&self.published.withdrawn).filter(|host| !self.is_listed_on(**host));
        for host in leaving.copied().collect::<Vec<_>>() {
            let recipients = self.published.possible_holders(host, &self.controller.proxies);
            if self.withdraw(DRAIN, host, &recipients) {
                continue;
            }
            self.delayed_withdrawals += 1;
            let cost = self.cost(&recipients, 1.0);
            self.reserve_room(DRAIN, cost);
        }
    }

    /// Gates, in the order of their hosts.
    fn gate(&mut self, desired: &DesiredState) {
        if self.controller.backlog.is_delayed() {
            return;
        }
        let gated =
            desired.withdrawn.difference(&self.published.withdrawn).filter(|host| self.is_listed_on(**host));
        for host in gated.copied().collect::<Vec<_>>() {
            let recipients = self.published.possible_holders(host, &self.controller.proxies);
            self.delayed_withdrawals += usize::from(!self.withdraw(URGENT, host, &recipients));
        }
    }

    /// Withdraws the host from the recipients; returns whether the channel accepted the order.
    fn withdraw(&mut self, limits: Limits, host: HostId, recipients: &[ProxyId]) -> bool {
        let taken = self.try_enqueue(limits, recipients, 1.0, &[Order::Withdraw { host, withdrawn: true }]);
        self.published.withdrawn.extend(taken.then_some(host));
        taken
    }

    /// Residency takes precedence over service: changes that restrict the zones of a request class are sent
    /// ahead of all others, even if no usable host remains.
    fn apply_narrowed_reach(&mut self, desired: &DesiredState) {
        let (rules, hosts) = (&self.controller.reach_rules, &self.controller.hosts);
        let zone = |id: &HostId| hosts.get(id).map(|host| host.zone);
        let (binds, outside_reach) = (
            self.published.narrowing_binds(desired, rules),
            self.published.tables_outside_reach(rules, zone),
        );
        self.nonconforming = &self.published.tables_left_by(&binds) | &outside_reach;
        let restricted = desired.restricted_to(binds, &outside_reach);
        self.update_tables(DRAIN, &restricted);
        self.set_levels(DRAIN, &restricted);
        self.bind_proxies(DRAIN, &restricted);
        let (binds, outside_reach) = (
            self.published.narrowing_binds(desired, rules),
            self.published.tables_outside_reach(rules, zone),
        );
        self.nonconforming = &self.published.tables_left_by(&binds) | &outside_reach;
    }

    /// Sends the differences between desired and published table entries.
    fn update_tables(&mut self, base_limits: Limits, desired: &DesiredState) {
        for (table, entries) in &desired.tables {
            // Another table may have had its id before, and proxies may still hold its entries.
            let new_id = self.published.ensure_table(self.now, *table);
            let id = self.published.table_id(*table);
            self.orders.extend(new_id.then_some(Order::ClearTable { table: id }));
            let Some(in_force) = self.published.tables().get(table) else { continue };
            let withdrawn = &self.published.withdrawn;
            // Entries are removed once all restored hosts are in service. Otherwise the remaining hosts would
            // get all traffic, or no host would be left.
            let restored = |id: &HostId| withdrawn.contains(id) && !desired.withdrawn.contains(id);
            let can_remove =
                !entries.keys().any(restored) && !entries.keys().all(|id| withdrawn.contains(id));
            // In a table without a usable host nothing can get worse. Without this rule, zones that had all
            // restarted waited for each other forever.
            let lacks_usable_host = self.published.lacks_usable_host(table);
            let can_remove = can_remove || lacks_usable_host && !in_force.is_empty() && !entries.is_empty();
            let is_removed = |id: &&HostId| {
                !entries.contains_key(id) && (can_remove || self.controller.is_outside_reach(table, id))
            };
            let removed = in_force.keys().filter(is_removed).map(|id| (*id, 0.0));
            let updates = entries.iter().map(|(host, weight)| (*host, *weight)).filter(|(host, weight)| {
                // The new weight of a withdrawn host can wait until it is restored.
                let can_wait = desired.withdrawn.contains(host) && in_force.contains_key(host);
                in_force.get(host) != Some(weight) && !can_wait && !self.nonconforming.contains(table)
            });
            let changes: Vec<(HostId, f64)> = removed.chain(updates).collect();
            let default_limits =
                if changes.iter().any(|(host, _)| restored(host)) { RESTORE } else { base_limits };
            let limits = if lacks_usable_host || base_limits == DRAIN { DRAIN } else { default_limits };
            let set_entry = |&(host, weight): &_| Order::SetEntry { table: id, host, weight };
            let orders: Vec<Order> = changes.iter().map(set_entry).collect();
            if !orders.is_empty()
                && self.try_enqueue(limits, &self.published.recipients(table), orders.len() as f64, &orders)
            {
                self.published.set_entries(*table, changes);
            }
        }
    }

    /// Restores hosts once tables give them their weights. Cold hosts follow the warm ones, because a cold
    /// host alone would get all traffic.
    fn restore_hosts(&mut self, desired: &DesiredState) -> Vec<HostId> {
        let cold = |id: &HostId| self.controller.hosts.get(id).is_some_and(|host| host.cold_since.is_some());
        let returning = self
            .published
            .withdrawn
            .difference(&desired.withdrawn)
            .map(|id| (*id, cold(id)))
            .collect::<Vec<_>>();
        let (all_cold, mut restored) = (returning.iter().all(|(_, cold)| *cold), Vec::new());
        for (host, cold) in returning.into_iter().filter(|(_, cold)| all_cold || !cold) {
            let ready = self.published.used_tables().all(|table| {
                let weight = desired.weight(table, host);
                self.published.weight(table, host) == weight || weight.is_none() && !cold
            });
            let in_nonconforming =
                self.nonconforming.iter().any(|table| self.published.contains_host(table, host));
            let recipients = self.published.possible_holders(host, &self.controller.proxies);
            let limits = if self.gives_first_usable_host(desired, host) { DRAIN } else { RESTORE };
            if ready
                && !in_nonconforming
                && self.try_enqueue(limits, &recipients, 1.0, &[Order::Withdraw { host, withdrawn: false }])
            {
                self.published.withdrawn.remove(&host);
                restored.push(host);
            }
        }
        restored
    }

    /// Whether some table that proxies use or should use has no usable host and would get one by this host.
    /// Guards against proxies that stay without a host, or unbound, while the first host of their table waits
    /// like every other restore.
    fn gives_first_usable_host(&self, desired: &DesiredState, host: HostId) -> bool {
        let desired_tables = desired.used_tables();
        let mut tables = self.published.used_tables().chain(&desired_tables);
        tables
            .any(|table| self.published.contains_host(table, host) && self.published.lacks_usable_host(table))
    }

    /// Sends admission levels that differ from the published ones.
    fn set_levels(&mut self, base_limits: Limits, desired: &DesiredState) {
        for (&(table, classes), &(level, tries)) in
            desired.levels.iter().filter(|_| !self.controller.levels_unknown)
        {
            let differs = self.published.levels.get(&(table, classes)) != Some(&(level, tries));
            let rejected = level == 0.0 && self.controller.reach_rules.governed(table.0, classes).0 != 0;
            let limits = if rejected && base_limits == ROUTINE { URGENT } else { base_limits };
            let order = Order::Admit { table: self.published.table_id(table), classes, level, tries };
            let known = self.published.tables().contains_key(&table);
            let taken = differs
                && known
                && self.try_enqueue(limits, &self.published.recipients(&table), 1.0, &[order]);
            self.published.levels.extend(taken.then_some(((table, classes), (level, tries))));
        }
    }

    /// Forgets hosts that left the list, are in no table and are unknown to proxies that are not bound yet;
    /// clears unused tables.
    fn forget_unlisted_hosts(&mut self, desired: &DesiredState) -> BTreeSet<HostId> {
        self.orders.extend(
            self.published.remove_unused_tables(desired).into_iter().map(|table| Order::ClearTable { table }),
        );
        let gone = self.controller.hosts.iter().filter(|(_, host)| host.standing == Availability::Removed);
        let gone = self.published.forget_hosts(gone.map(|(id, _)| *id), &self.controller.proxies);
        self.orders.extend(gone.iter().map(|host| Order::ForgetHost { host: *host }));
        gone
    }
}
