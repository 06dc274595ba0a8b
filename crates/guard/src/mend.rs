//! Finds the smallest change to a batch that keeps the rules: an entry is kept until another host serves, a
//! withdrawal is deferred while the drain grace allows it, a step is split, or a weight is lowered. Each
//! round removes orders or lowers weights and checks the batch again. The number of rounds is limited, so
//! amending a batch always ends.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::least::{minimize_excess, HostLimit, TableDemand};
use crate::look::{each, Violation};
use crate::model::{fraction_of, Guard, Host};
use crate::verdict::{Rule, Verdict, Witness};

/// The maximum number of rounds: each rule may need two, and a fix for one may violate another once.
const ROUNDS: usize = 10;
/// A solution of the linear program lies exactly at the hosts' limits; this factor keeps it far enough below
/// them to pass the next check.
const SAFETY_FACTOR: f64 = 0.999;
/// With more variables the solver takes longer than a tick, so weights are lowered host by host instead.
const MAX_VARIABLES: usize = 400;
/// The smallest fraction of its weight that an entry keeps, so that the table still names the host.
const MIN_WEIGHT_FRACTION: f64 = 1e-6;

impl Guard {
    /// Checks a batch. It does not count as sent until it is committed.
    pub fn judge(&mut self, now: f64, orders: &[Order]) -> Verdict {
        self.advance(now);
        let (mut next, mut why, mut price) = (orders.to_vec(), Vec::new(), 0.0);
        for _ in 0..ROUNDS {
            let mut found = self.check(now, &next);
            found.sort_by_key(|found| found.breach.rule);
            // Load above the limits that no change found avoids is already accounted for in the price.
            let only_pushed = found.iter().all(|found| found.breach.rule == Rule::Pushed);
            if found.is_empty() || only_pushed && price > 0.0 {
                return match why.is_empty() {
                    true => Verdict::Accepted,
                    false => Verdict::Mended { orders: next, why, price },
                };
            }
            let Some(first) = found.first().copied() else { break };
            let same = |known: &crate::Breach| {
                std::mem::discriminant(&known.witness) == std::mem::discriminant(&first.breach.witness)
            };
            if !why.iter().any(same) {
                why.push(first.breach);
            }
            let of: Vec<Violation> =
                found.into_iter().filter(|one| one.breach.rule == first.breach.rule).collect();
            let mended = match first.breach.rule {
                Rule::Drain => Some(without_restores(&next, &of)),
                Rule::Bare => self.keep_serving(now, &next, &of),
                Rule::Pushed => {
                    let (orders, above) = self.reduce_load(now, &next, &of);
                    price = above;
                    Some(orders)
                }
                Rule::Queue => first_half(&next),
            };
            match mended {
                // An amendment that changes nothing ends the loop, unless it is the best solution above the
                // limits.
                Some(mended) if mended != next || price > 0.0 => next = mended,
                _ => break,
            }
        }
        match why.first() {
            Some(first) => Verdict::Refused(*first),
            None => Verdict::Accepted,
        }
    }

    /// Whether the withdrawal of the host may be deferred to a later batch.
    fn may_wait(&self, now: f64, host: &Host) -> bool {
        let transit = self.facts.channel.max_transit;
        let due = host.leaving_since.is_some_and(|since| now + 2.0 * transit >= since + self.facts.grace);
        host.serves() && !due
    }

    /// Amends tables without a usable host: keeps the entries of hosts that serve, leaves proxies where they
    /// are, or adds an entry for a ready host.
    fn keep_serving(&mut self, now: f64, orders: &[Order], found: &[Violation]) -> Option<Vec<Order>> {
        let mut next = orders.to_vec();
        let bare: BTreeSet<TableId> = found.iter().filter_map(|found| found.table_id).collect();
        for table_id in bare {
            let lines = |host: &HostId| {
                self.tables_of_host.get(host).is_some_and(|tables| tables.contains(&table_id))
            };
            let set = |host: &HostId| {
                let names = |order: &Order| matches!(order, Order::SetEntry { table: t, host: h, weight } if *t == table_id && h == host && *weight > 0.0);
                orders.iter().any(names)
            };
            // Defers the withdrawal of the serving host with the largest weight.
            let waits = next.iter().enumerate().filter_map(|(place, order)| {
                let Order::Withdraw { host, withdrawn: true } = order else { return None };
                let known = self.hosts.get(host)?;
                let may = (lines(host) || set(host)) && self.may_wait(now, known);
                may.then_some((place, known.availability == Availability::InService, known.weight))
            });
            let best = waits.max_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
            if let Some((place, ..)) = best {
                next.remove(place);
                continue;
            }
            let before = next.len();
            // Keeps the table's entries for hosts that serve.
            next.retain(|order| match order {
                Order::SetEntry { table: of, host, weight } => {
                    *of != table_id || *weight > 0.0 || !self.hosts.get(host).is_some_and(Host::serves)
                }
                Order::ClearTable { table: of } => *of != table_id,
                _ => true,
            });
            // Leaves proxies in their present tables.
            if next.len() == before {
                let elsewhere = |proxy: &ProxyId| {
                    let known = self.proxies.get(proxy);
                    known.is_some_and(|known| {
                        known.bindings.iter().any(|binding| binding.table_id != table_id)
                    })
                };
                next.retain(|order| {
                    !matches!(order, Order::Bind { proxy, table: of, .. }
                        if *of == table_id && elsewhere(proxy))
                });
            }
            if next.len() == before {
                let line = self.add_ready_host(now, table_id, found, orders)?;
                let place =
                    next.iter().position(|order| matches!(order, Order::Mark { .. })).unwrap_or(next.len());
                next.insert(place, line);
            }
        }
        Some(next)
    }

    /// An entry for a ready host that may serve all users of the table.
    fn add_ready_host(
        &self,
        now: f64,
        table: TableId,
        found: &[Violation],
        orders: &[Order],
    ) -> Option<Order> {
        let mut whom: BTreeSet<(ZoneId, ClassId)> = BTreeSet::new();
        let groups = self.tables.get(&table).map(|table| &table.groups);
        for (zone, mask) in groups.into_iter().flat_map(|groups| groups.keys()) {
            whom.extend(each(*mask).map(|class| (*zone, class)));
        }
        for order in orders {
            if let Order::Bind { proxy, table: of, classes } = order {
                let mask = if *classes == ClassSet::ALL { self.facts.all() } else { classes.0 };
                if let Some(known) = self.proxies.get(proxy).filter(|_| *of == table) {
                    whom.extend(each(mask).map(|class| (known.zone, class)));
                }
            }
        }
        for found in found.iter().filter(|found| found.table_id == Some(table)) {
            if let Witness::Nothing { zone, product: class, .. } = found.breach.witness {
                whom.insert((zone, class));
            }
        }
        let (gone, back) = orders.iter().fold((BTreeSet::new(), BTreeSet::new()), |mut all, order| {
            match order {
                Order::Withdraw { host, withdrawn: true } => drop(all.0.insert(*host)),
                Order::Withdraw { host, withdrawn: false } => drop(all.1.insert(*host)),
                _ => {}
            }
            all
        });
        let ready = |(id, host): &(&HostId, &Host)| {
            let open = !gone.contains(id) && (back.contains(id) || !self.withdrawn.contains(id));
            let on = host.availability == Availability::InService
                && !host.failing
                && host.warm(now, &self.facts.warmup);
            open && on && whom.iter().all(|(zone, class)| self.may_route(*zone, *class, host.zone))
        };
        let best = self.hosts.iter().filter(ready).max_by(|a, b| a.1.weight.total_cmp(&b.1.weight));
        best.map(|(host, known)| Order::SetEntry { table, host: *host, weight: known.weight })
    }

    /// Reduces the load of hosts that would get more than they survive: by lower weights, or if these do not
    /// suffice by deferring part of the batch. Returns the load that remains above the limits, in txns a
    /// second.
    fn reduce_load(&mut self, now: f64, orders: &[Order], found: &[Violation]) -> (Vec<Order>, f64) {
        let over: BTreeSet<HostId> = found
            .iter()
            .filter_map(|found| match found.breach.witness {
                Witness::Over { host, .. } => Some(host),
                _ => None,
            })
            .collect();
        let (weighed, price) = self.rebalance(now, orders, &over);
        if price <= SMALL && weighed != orders {
            return (weighed, 0.0);
        }
        for waits in [Deferred::Withdrawals, Deferred::Restores, Deferred::Binds] {
            let next = self.waiting_for(now, orders, &over, waits);
            if next != orders && self.check(now, &next).is_empty() {
                return (next, 0.0);
            }
        }
        // Nothing avoids the excess: the solution with the least excess is sent, with its price.
        let above = found.iter().map(|found| match found.breach.witness {
            Witness::Over { load, most, .. } => load - most,
            _ => 0.0,
        });
        let as_is = above.sum::<f64>();
        if price < as_is {
            (weighed, price.max(SMALL))
        } else {
            (orders.to_vec(), as_is.max(SMALL))
        }
    }

    fn waiting_for(
        &self,
        now: f64,
        orders: &[Order],
        over: &BTreeSet<HostId>,
        waits: Deferred,
    ) -> Vec<Order> {
        let tables: BTreeSet<TableId> =
            over.iter().filter_map(|host| self.tables_of_host.get(host)).flatten().copied().collect();
        let beside =
            |host: &HostId| self.tables_of_host.get(host).is_some_and(|named| !named.is_disjoint(&tables));
        let bound = |proxy: &ProxyId| self.proxies.get(proxy).is_some_and(|known| !known.bindings.is_empty());
        let goes = |order: &&Order| match (waits, order) {
            (Deferred::Withdrawals, Order::Withdraw { host, withdrawn: true }) => {
                !(beside(host) && self.hosts.get(host).is_some_and(|host| self.may_wait(now, host)))
            }
            (Deferred::Restores, Order::Withdraw { host, withdrawn: false }) => !over.contains(host),
            (Deferred::Restores, Order::SetEntry { host, weight, table }) => {
                let more = self
                    .tables
                    .get(table)
                    .and_then(|table| table.lines.get(host))
                    .is_none_or(|now| weight > now);
                !(over.contains(host) && more)
            }
            (Deferred::Binds, Order::Bind { proxy, .. }) => !bound(proxy),
            _ => true,
        };
        orders.iter().filter(goes).cloned().collect()
    }

    /// Sets weights by the linear program over the demand of the tables that name these hosts.
    fn rebalance(&mut self, now: f64, orders: &[Order], over: &BTreeSet<HostId>) -> (Vec<Order>, f64) {
        let trial = self.apply(now, orders);
        let bound = trial.writes.binds.iter().map(|bind| bind.1);
        let touched: BTreeSet<TableId> = trial.tables.iter().copied().chain(bound).collect();
        let judged = |host: &HostId| over.contains(host) || self.max_load(now, *host).is_some();
        let (mut tables, mut open, mut variables) = (Vec::new(), BTreeMap::new(), 0);
        for table_id in touched {
            let Some(table) = self.tables.get(&table_id).filter(|table| table.demand > 0.0) else { continue };
            let shares = self.max_fractions(table_id);
            if !shares.iter().any(|(host, fraction)| *fraction > 0.0 && over.contains(host)) {
                continue;
            }
            let (hosts, rest): (Vec<_>, Vec<_>) = shares.iter().partition(|share| judged(&share.0));
            let hosts: Vec<(HostId, f64)> =
                hosts.into_iter().map(|(host, fraction)| (host, fraction * table.demand)).collect();
            let weight = |host: &HostId| table.lines.get(host).copied().unwrap_or(0.0);
            let rest_weight: f64 = rest.iter().map(|share: &(HostId, f64)| weight(&share.0)).sum();
            let all: f64 = shares.iter().map(|share| weight(&share.0)).sum();
            variables += hosts.len();
            open.insert(table_id, (rest_weight, all));
            tables.push(TableDemand { table_id, demand: table.demand, rest: rest_weight > 0.0, hosts });
        }
        let hosts: BTreeSet<HostId> =
            tables.iter().flat_map(|table| &table.hosts).map(|host| host.0).collect();
        let limits = hosts.iter().filter_map(|host| {
            let here: f64 = tables.iter().map(|table| fraction_of(&table.hosts, *host)).sum();
            // Load from other tables, and from proxies that may still hold earlier states, cannot be changed
            // by this batch.
            let elsewhere = (self.load(now, *host) - here).max(0.0);
            Some(HostLimit { host: *host, limit: self.max_load(now, *host)? * SAFETY_FACTOR - elsewhere })
        });
        let limits: Vec<HostLimit> = limits.collect();
        self.roll_back(trial);
        let finite = limits.iter().all(|limit| limit.limit.is_finite())
            && tables.iter().all(|table| table.demand.is_finite());
        if tables.is_empty() || variables > MAX_VARIABLES || !finite {
            return self.scale_down(orders, &tables, &limits, &open);
        }
        let Some(allocation) = minimize_excess(&tables, &limits) else {
            return self.scale_down(orders, &tables, &limits, &open);
        };
        let mut weights = BTreeMap::new();
        for ((hosts, rest), table) in allocation.loads.iter().zip(&tables) {
            let (rest_weight, all) = open[&table.table_id];
            // The weight for each txn a second is that of the hosts without a limit or, if there are none,
            // that of the whole table.
            let per_txn = if *rest > 0.0 { rest_weight / rest } else { all / table.demand };
            for ((host, txns), (_, would)) in hosts.iter().zip(&table.hosts) {
                if (txns - would).abs() > SMALL || *rest > 0.0 {
                    weights.insert(
                        (table.table_id, *host),
                        (txns * per_txn)
                            .max(if *rest > 0.0 { rest_weight } else { all } * MIN_WEIGHT_FRACTION),
                    );
                }
            }
        }
        (self.with_weights(orders, &weights), if allocation.price > SMALL { allocation.price } else { 0.0 })
    }

    /// Lowers the weight of each host separately to what it survives. The next round checks the load that
    /// this moves to other hosts.
    fn scale_down(
        &self,
        orders: &[Order],
        tables: &[TableDemand],
        limits: &[HostLimit],
        open: &BTreeMap<TableId, (f64, f64)>,
    ) -> (Vec<Order>, f64) {
        let (mut weights, mut price) = (BTreeMap::new(), 0.0);
        for HostLimit { host, limit } in limits {
            let would: f64 = tables.iter().map(|table| fraction_of(&table.hosts, *host)).sum();
            if would <= *limit {
                continue;
            }
            price +=
                if *limit <= 0.0 || tables.iter().any(|table| !table.rest) { would - limit } else { 0.0 };
            let keep = (limit / would).clamp(0.0, 1.0);
            for table in tables.iter().filter(|table| table.rest) {
                let fraction = fraction_of(&table.hosts, *host) / table.demand;
                if fraction <= 0.0 {
                    continue;
                }
                let (_, all) = open[&table.table_id];
                let (weight, less) = (fraction * all, keep * fraction);
                let weight = weight * keep * (1.0 - fraction) / (1.0 - less).max(MIN_WEIGHT_FRACTION);
                weights.insert((table.table_id, *host), weight.max(all * MIN_WEIGHT_FRACTION));
            }
        }
        (self.with_weights(orders, &weights), price)
    }

    /// The batch with these weights: they replace those of its own orders, and the remaining ones are added
    /// before the mark.
    fn with_weights(&self, orders: &[Order], weights: &BTreeMap<(TableId, HostId), f64>) -> Vec<Order> {
        let mut left = weights.clone();
        let mut next: Vec<Order> = Vec::with_capacity(orders.len() + left.len());
        // If several orders set an entry, the last one takes effect.
        for order in orders.iter().rev() {
            let order = match order {
                Order::SetEntry { table, host, weight } if *weight > 0.0 => {
                    match left.remove(&(*table, *host)) {
                        Some(weight) => Order::SetEntry { table: *table, host: *host, weight },
                        None => order.clone(),
                    }
                }
                _ => order.clone(),
            };
            next.push(order);
        }
        next.reverse();
        let standing = |table: &TableId, host: &HostId| {
            self.tables.get(table).and_then(|table| table.lines.get(host)).copied()
        };
        let more = left.into_iter().filter(|((table, host), weight)| standing(table, host) != Some(*weight));
        let more = more.map(|((table, host), weight)| Order::SetEntry { table, host, weight });
        let place = next.iter().position(|order| matches!(order, Order::Mark { .. })).unwrap_or(next.len());
        next.splice(place..place, more);
        next
    }
}

/// Load differences below this, in txns a second, are treated as zero.
const SMALL: f64 = 1e-6;

#[derive(Clone, Copy)]
enum Deferred {
    /// Withdrawals of hosts.
    Withdrawals,
    /// Restored hosts, and entries whose weight grows.
    Restores,
    /// Binds of proxies that have a table already.
    Binds,
}

fn without_restores(orders: &[Order], found: &[Violation]) -> Vec<Order> {
    let leaves = |host: &HostId| {
        let of =
            |found: &Violation| matches!(found.breach.witness, Witness::LetIn { host: out } if out == *host);
        found.iter().any(of)
    };
    let stays = |order: &&Order| !matches!(order, Order::Withdraw { host, withdrawn: false } if leaves(host));
    orders.iter().filter(stays).cloned().collect()
}

/// Keeps the first half of the orders that can be deferred, and all others; withdrawals are never deferred.
fn first_half(orders: &[Order]) -> Option<Vec<Order>> {
    let waits = |order: &Order| {
        matches!(
            order,
            Order::SetEntry { .. }
                | Order::Bind { .. }
                | Order::Admit { .. }
                | Order::Withdraw { withdrawn: false, .. }
        )
    };
    let count = orders.iter().filter(|order| waits(order)).count();
    let (mut seen, keep) = (0, count / 2);
    let next = orders.iter().filter(|order| {
        seen += usize::from(waits(order));
        !waits(order) || seen <= keep
    });
    (count > 0).then(|| next.cloned().collect())
}
