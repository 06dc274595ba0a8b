//! The smallest change that keeps the rules: a line is kept until another serves, a withdrawal waits while the grace
//! lets it, a step is split, a weight is lowered. Each round takes orders out or lowers weights and is judged anew, and
//! there are only so many rounds: a batch that is mended and found wrong again comes to an end.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::*;

use crate::least::{least, Dealt, Room};
use crate::look::{each, Found};
use crate::model::{share, Guard, Host};
use crate::verdict::{Rule, Verdict, Witness};

/// Rounds of mending: each rule may need two, and what mends one may break another once.
const ROUNDS: usize = 10;
/// A solution lies at the very edge of what hosts survive; so much below it the next look finds it good.
const BELOW: f64 = 0.999;
/// More variables cost the solver more than a tick; then weights are lowered host by host.
const MOST_PARTS: usize = 400;
/// A line keeps so much of its weight at the least, so that it still names the host.
const LEAST_PART: f64 = 1e-6;

impl Guard {
    /// Judges a batch. Nothing counts as written until it is committed.
    pub fn judge(&mut self, now: f64, orders: &[Order]) -> Verdict {
        self.advance(now);
        let (mut next, mut why, mut price) = (orders.to_vec(), Vec::new(), 0.0);
        for _ in 0..ROUNDS {
            let mut found = self.look(now, &next);
            found.sort_by_key(|found| found.breach.rule);
            // What is above for want of anything better was told with its price.
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
            let of: Vec<Found> =
                found.into_iter().filter(|one| one.breach.rule == first.breach.rule).collect();
            let mended = match first.breach.rule {
                Rule::Drain => Some(without_let_in(&next, &of)),
                Rule::Bare => self.keep_serving(now, &next, &of),
                Rule::Pushed => {
                    let (orders, above) = self.lower(now, &next, &of);
                    price = above;
                    Some(orders)
                }
                Rule::Queue => smaller(&next),
            };
            match mended {
                // A mend that changes nothing ends it, but for the least bad.
                Some(mended) if mended != next || price > 0.0 => next = mended,
                _ => break,
            }
        }
        match why.first() {
            Some(first) => Verdict::Refused(*first),
            None => Verdict::Accepted,
        }
    }

    /// Whether its withdrawal may wait for another look.
    fn may_wait(&self, now: f64, host: &Host) -> bool {
        let transit = self.facts.channel.max_transit;
        let due = host.leaves.is_some_and(|since| now + 2.0 * transit >= since + self.facts.grace);
        host.serves() && !due
    }

    /// Bare tables: who would serve stays, or nobody moves there, or a host that is ready comes in.
    fn keep_serving(&mut self, now: f64, orders: &[Order], found: &[Found]) -> Option<Vec<Order>> {
        let mut next = orders.to_vec();
        let bare: BTreeSet<TableId> = found.iter().filter_map(|found| found.tbl).collect();
        for tbl in bare {
            let lines = |host: &HostId| self.named.get(host).is_some_and(|tables| tables.contains(&tbl));
            let set = |host: &HostId| {
                let names = |order: &Order| matches!(order, Order::SetEntry { table: t, host: h, weight } if *t == tbl && h == host && *weight > 0.0);
                orders.iter().any(names)
            };
            // Its withdrawal waits: of those that serve the one that carries most.
            let waits = next.iter().enumerate().filter_map(|(place, order)| {
                let Order::Withdraw { host, withdrawn: true } = order else { return None };
                let known = self.hosts.get(host)?;
                let may = (lines(host) || set(host)) && self.may_wait(now, known);
                may.then_some((place, known.standing == Availability::InService, known.weight))
            });
            let best = waits.max_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
            if let Some((place, ..)) = best {
                next.remove(place);
                continue;
            }
            let before = next.len();
            // Its lines stay.
            next.retain(|order| match order {
                Order::SetEntry { table: of, host, weight } => {
                    *of != tbl || *weight > 0.0 || !self.hosts.get(host).is_some_and(Host::serves)
                }
                Order::ClearTable { table: of } => *of != tbl,
                _ => true,
            });
            // Who was elsewhere stays there.
            if next.len() == before {
                let elsewhere = |proxy: &ProxyId| {
                    let known = self.proxies.get(proxy);
                    known.is_some_and(|known| known.uses.iter().any(|held| held.tbl != tbl))
                };
                next.retain(|order| {
                    !matches!(order, Order::Bind { proxy, table: of, .. } if *of == tbl && elsewhere(proxy))
                });
            }
            if next.len() == before {
                let line = self.lend(now, tbl, found, orders)?;
                let place =
                    next.iter().position(|order| matches!(order, Order::Mark { .. })).unwrap_or(next.len());
                next.insert(place, line);
            }
        }
        Some(next)
    }

    /// A line to a host that is ready and may serve all who use the table.
    fn lend(&self, now: f64, table: TableId, found: &[Found], orders: &[Order]) -> Option<Order> {
        let mut whom: BTreeSet<(ZoneId, ClassId)> = BTreeSet::new();
        let groups = self.tables.get(&table).map(|table| &table.groups);
        for (zone, mask) in groups.into_iter().flat_map(|groups| groups.keys()) {
            whom.extend(each(*mask).map(|product| (*zone, product)));
        }
        for order in orders {
            if let Order::Bind { proxy, table: of, classes } = order {
                let mask = if *classes == ClassSet::ALL { self.facts.all() } else { classes.0 };
                if let Some(known) = self.proxies.get(proxy).filter(|_| *of == table) {
                    whom.extend(each(mask).map(|product| (known.zone, product)));
                }
            }
        }
        for found in found.iter().filter(|found| found.tbl == Some(table)) {
            if let Witness::Nothing { zone, product, .. } = found.breach.witness {
                whom.insert((zone, product));
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
            let open = !gone.contains(id) && (back.contains(id) || !self.out.contains(id));
            let on = host.standing == Availability::InService
                && !host.failing
                && host.warm(now, &self.facts.warmup);
            open && on && whom.iter().all(|(zone, product)| self.may(*zone, *product, host.zone))
        };
        let best = self.hosts.iter().filter(ready).max_by(|a, b| a.1.weight.total_cmp(&b.1.weight));
        best.map(|(host, known)| Order::SetEntry { table, host: *host, weight: known.weight })
    }

    /// Hosts that would get more than they survive get less: by a step that waits where that is enough, else by
    /// weights. Returns what lies above all the same, in txns a second.
    fn lower(&mut self, now: f64, orders: &[Order], found: &[Found]) -> (Vec<Order>, f64) {
        let over: BTreeSet<HostId> = found
            .iter()
            .filter_map(|found| match found.breach.witness {
                Witness::Over { host, .. } => Some(host),
                _ => None,
            })
            .collect();
        let (weighed, price) = self.weigh(now, orders, &over);
        if price <= SMALL && weighed != orders {
            return (weighed, 0.0);
        }
        for waits in [Wait::Out, Wait::In, Wait::Binds] {
            let next = self.waiting_for(now, orders, &over, waits);
            if next != orders && self.look(now, &next).is_empty() {
                return (next, 0.0);
            }
        }
        // Nothing avoids it: the least bad goes, at its price.
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

    fn waiting_for(&self, now: f64, orders: &[Order], over: &BTreeSet<HostId>, waits: Wait) -> Vec<Order> {
        let tables: BTreeSet<TableId> =
            over.iter().filter_map(|host| self.named.get(host)).flatten().copied().collect();
        let beside = |host: &HostId| self.named.get(host).is_some_and(|named| !named.is_disjoint(&tables));
        let bound = |proxy: &ProxyId| self.proxies.get(proxy).is_some_and(|known| !known.uses.is_empty());
        let goes = |order: &&Order| match (waits, order) {
            (Wait::Out, Order::Withdraw { host, withdrawn: true }) => {
                !(beside(host) && self.hosts.get(host).is_some_and(|host| self.may_wait(now, host)))
            }
            (Wait::In, Order::Withdraw { host, withdrawn: false }) => !over.contains(host),
            (Wait::In, Order::SetEntry { host, weight, table }) => {
                let more = self
                    .tables
                    .get(table)
                    .and_then(|table| table.lines.get(host))
                    .is_none_or(|now| weight > now);
                !(over.contains(host) && more)
            }
            (Wait::Binds, Order::Bind { proxy, .. }) => !bound(proxy),
            _ => true,
        };
        orders.iter().filter(goes).cloned().collect()
    }

    /// Weights by the least bad deal of what comes to the tables that name these hosts.
    fn weigh(&mut self, now: f64, orders: &[Order], over: &BTreeSet<HostId>) -> (Vec<Order>, f64) {
        let trial = self.apply(now, orders);
        let bound = trial.writes.binds.iter().map(|bind| bind.1);
        let touched: BTreeSet<TableId> = trial.tables.iter().copied().chain(bound).collect();
        let judged = |host: &HostId| over.contains(host) || self.most(now, *host).is_some();
        let (mut tables, mut open, mut parts) = (Vec::new(), BTreeMap::new(), 0);
        for tbl in touched {
            let Some(table) = self.tables.get(&tbl).filter(|table| table.demand > 0.0) else { continue };
            let shares = self.shares(tbl);
            if !shares.iter().any(|(host, part)| *part > 0.0 && over.contains(host)) {
                continue;
            }
            let (hosts, rest): (Vec<_>, Vec<_>) = shares.iter().partition(|share| judged(&share.0));
            let hosts: Vec<(HostId, f64)> =
                hosts.into_iter().map(|(host, part)| (host, part * table.demand)).collect();
            let weight = |host: &HostId| table.lines.get(host).copied().unwrap_or(0.0);
            let rest_weight: f64 = rest.iter().map(|share: &(HostId, f64)| weight(&share.0)).sum();
            let all: f64 = shares.iter().map(|share| weight(&share.0)).sum();
            parts += hosts.len();
            open.insert(tbl, (rest_weight, all));
            tables.push(Dealt { tbl, demand: table.demand, rest: rest_weight > 0.0, hosts });
        }
        let hosts: BTreeSet<HostId> =
            tables.iter().flat_map(|table| &table.hosts).map(|host| host.0).collect();
        let rooms = hosts.iter().filter_map(|host| {
            let here: f64 = tables.iter().map(|table| share(&table.hosts, *host)).sum();
            // What comes from elsewhere, and what those may hold who do not know yet, stays.
            let elsewhere = (self.load(now, *host) - here).max(0.0);
            Some(Room { host: *host, room: self.most(now, *host)? * BELOW - elsewhere })
        });
        let rooms: Vec<Room> = rooms.collect();
        self.roll_back(trial);
        let finite = rooms.iter().all(|room| room.room.is_finite())
            && tables.iter().all(|table| table.demand.is_finite());
        if tables.is_empty() || parts > MOST_PARTS || !finite {
            return self.cut(orders, &tables, &rooms, &open);
        }
        let Some(dealt) = least(&tables, &rooms) else { return self.cut(orders, &tables, &rooms, &open) };
        let mut weights = BTreeMap::new();
        for ((hosts, rest), table) in dealt.dealt.iter().zip(&tables) {
            let (rest_weight, all) = open[&table.tbl];
            // As much weight as what goes to the others stands for; where there are none, all that there was.
            let per_txn = if *rest > 0.0 { rest_weight / rest } else { all / table.demand };
            for ((host, txns), (_, would)) in hosts.iter().zip(&table.hosts) {
                if (txns - would).abs() > SMALL || *rest > 0.0 {
                    weights.insert(
                        (table.tbl, *host),
                        (txns * per_txn).max(if *rest > 0.0 { rest_weight } else { all } * LEAST_PART),
                    );
                }
            }
        }
        (self.with_weights(orders, &weights), if dealt.price > SMALL { dealt.price } else { 0.0 })
    }

    /// Each by itself to what it survives: what that brings to others the next look sees.
    fn cut(
        &self,
        orders: &[Order],
        tables: &[Dealt],
        rooms: &[Room],
        open: &BTreeMap<TableId, (f64, f64)>,
    ) -> (Vec<Order>, f64) {
        let (mut weights, mut price) = (BTreeMap::new(), 0.0);
        for Room { host, room } in rooms {
            let would: f64 = tables.iter().map(|table| share(&table.hosts, *host)).sum();
            if would <= *room {
                continue;
            }
            price += if *room <= 0.0 || tables.iter().any(|table| !table.rest) { would - room } else { 0.0 };
            let keep = (room / would).clamp(0.0, 1.0);
            for table in tables.iter().filter(|table| table.rest) {
                let part = share(&table.hosts, *host) / table.demand;
                if part <= 0.0 {
                    continue;
                }
                let (_, all) = open[&table.tbl];
                let (weight, less) = (part * all, keep * part);
                let weight = weight * keep * (1.0 - part) / (1.0 - less).max(LEAST_PART);
                weights.insert((table.tbl, *host), weight.max(all * LEAST_PART));
            }
        }
        (self.with_weights(orders, &weights), price)
    }

    /// The batch with these weights: in place of its own, or behind what it has.
    fn with_weights(&self, orders: &[Order], weights: &BTreeMap<(TableId, HostId), f64>) -> Vec<Order> {
        let mut left = weights.clone();
        let mut next: Vec<Order> = Vec::with_capacity(orders.len() + left.len());
        // The last order for a line is the one that holds.
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

/// Txns a second that are nothing.
const SMALL: f64 = 1e-6;

#[derive(Clone, Copy)]
enum Wait {
    /// Withdrawals.
    Out,
    /// What is let in, and lines that grow.
    In,
    /// Proxies that have a table already.
    Binds,
}

fn without_let_in(orders: &[Order], found: &[Found]) -> Vec<Order> {
    let leaves = |host: &HostId| {
        let of = |found: &Found| matches!(found.breach.witness, Witness::LetIn { host: out } if out == *host);
        found.iter().any(of)
    };
    let stays = |order: &&Order| !matches!(order, Order::Withdraw { host, withdrawn: false } if leaves(host));
    orders.iter().filter(stays).cloned().collect()
}

/// The latter half of what can wait goes later; what shuts out goes first.
fn smaller(orders: &[Order]) -> Option<Vec<Order>> {
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
