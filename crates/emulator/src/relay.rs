//! The path from one controller to its proxies: the tables that the relay stores, the messages and lines that a reply
//! causes, and the channel that transmits them in order at a fixed number of lines per second.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_core::*;

/// Orders for one proxy, and their time of arrival.
pub struct Message {
    pub proxy: ProxyId,
    pub at: f64,
    pub orders: Vec<Order>,
}

/// A channel limit that was exceeded: the backlog in lines, or the messages to one proxy within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Over {
    Backlog(f64),
    Messages(ProxyId, usize),
}

pub struct Relay {
    channel: Channel,
    products: u16,
    tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    levels: BTreeMap<(TableId, ClassId), (f64, RetryPolicy)>,
    out: BTreeSet<HostId>,
    joined: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>>,
    users: BTreeMap<TableId, BTreeSet<ProxyId>>,
    unbound: BTreeSet<ProxyId>,
    /// When the channel has transmitted everything written so far.
    free_at: f64,
    written: BTreeMap<ProxyId, VecDeque<f64>>,
    /// Total lines so far, including message overhead and marks (`heads` counts these alone), and the maximum backlog
    /// (`most`).
    pub lines: f64,
    pub heads: f64,
    pub most: f64,
}

impl Relay {
    pub fn new(channel: Channel, products: u16) -> Relay {
        Relay {
            channel,
            products,
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            out: BTreeSet::new(),
            joined: BTreeMap::new(),
            users: BTreeMap::new(),
            unbound: BTreeSet::new(),
            free_at: 0.0,
            written: BTreeMap::new(),
            lines: 0.0,
            heads: 0.0,
            most: 0.0,
        }
    }

    pub fn join(&mut self, proxy: ProxyId) {
        self.leave(proxy);
        self.joined.insert(proxy, BTreeMap::new());
        self.unbound.insert(proxy);
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.joined.remove(&proxy);
        self.unbound.remove(&proxy);
        self.written.remove(&proxy);
        for users in self.users.values_mut() {
            users.remove(&proxy);
        }
    }

    pub fn joined(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.joined.keys().copied()
    }

    pub fn out(&self) -> &BTreeSet<HostId> {
        &self.out
    }

    pub fn waits(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0) * self.channel.lines_per_s / 1e3
    }

    /// Time, ms, that the channel needs to send the backlog and then a bind, with a table of `lines` lines, to every
    /// unbound proxy.
    pub fn time_to_bind(&self, now: f64, lines: f64) -> f64 {
        let each = self.channel.message_overhead + 2.0 * (lines + f64::from(self.products)) + 2.0;
        let left = self.waits(now) + each * self.unbound.len() as f64;
        self.channel.max_transit + 1e3 * left / self.channel.lines_per_s
    }

    fn masked(&self, products: ClassSet) -> impl Iterator<Item = ClassId> {
        let one = move |id: &ClassId| products == ClassSet::ALL || products.0 & ClassSet::one(*id).0 != 0;
        (0..self.products).map(ClassId).filter(one)
    }

    fn holders(&self, host: HostId) -> BTreeSet<ProxyId> {
        let naming = self.tables.iter().filter(|(_, lines)| lines.contains_key(&host));
        let users = naming.filter_map(|(table, _)| self.users.get(table)).flatten().copied();
        users.chain(self.unbound.iter().copied()).collect()
    }

    /// A table entry is sent with the withdrawal state of its host, which the proxy may not have received yet.
    fn line(&self, table: TableId, host: HostId, weight: f64) -> [Order; 2] {
        [
            Order::Withdraw { host, withdrawn: self.out.contains(&host) },
            Order::SetEntry { table, host, weight },
        ]
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet, to: &mut Mail) {
        let ids: Vec<ClassId> = self.masked(classes).collect();
        let Some(binds) = self.joined.get_mut(&proxy) else { return };
        let had: BTreeSet<TableId> = binds.values().copied().collect();
        binds.extend(ids.iter().map(|id| (*id, table)));
        let has: BTreeSet<TableId> = binds.values().copied().collect();
        for left in had.difference(&has) {
            self.users.entry(*left).or_default().remove(&proxy);
        }
        self.users.entry(table).or_default().insert(proxy);
        self.unbound.remove(&proxy);
        let mut orders = Vec::new();
        if !had.contains(&table) {
            orders.push(Order::ClearTable { table });
            for (host, weight) in self.tables.get(&table).into_iter().flatten() {
                orders.extend(self.line(table, *host, *weight));
            }
            let levels = self.levels.iter().filter(|((of, _), _)| *of == table || *of == TableId::ALL);
            orders.extend(levels.map(|(&(table, id), &(level, tries))| Order::Admit {
                table,
                classes: ClassSet::one(id),
                level,
                tries,
            }));
        }
        let lines =
            orders.iter().filter(|order| !matches!(order, Order::Withdraw { .. } | Order::ClearTable { .. }));
        let lines = 1.0 + lines.count() as f64;
        orders.push(Order::Bind { proxy, table, classes });
        to.put(proxy, lines, orders);
    }

    /// Returns the messages that a reply causes and the channel limits that they exceed.
    pub fn write(&mut self, now: f64, orders: &[Order]) -> (Vec<Message>, Vec<Over>) {
        let mut mail = Mail::default();
        for order in orders {
            match order {
                Order::SetEntry { table, host, weight } => {
                    let entries = self.tables.entry(*table).or_default();
                    match *weight > 0.0 {
                        true => drop(entries.insert(*host, *weight)),
                        false => drop(entries.remove(host)),
                    }
                    let line = self.line(*table, *host, *weight);
                    let users = self.users.get(table).into_iter().flatten();
                    users.for_each(|proxy| mail.put(*proxy, 1.0, line.iter().cloned()));
                }
                Order::ClearTable { table } => {
                    self.tables.remove(table);
                    let users = self.users.get(table).into_iter().flatten();
                    users.for_each(|proxy| mail.put(*proxy, 1.0, [order.clone()]));
                }
                Order::Withdraw { host, withdrawn } => {
                    match withdrawn {
                        true => drop(self.out.insert(*host)),
                        false => drop(self.out.remove(host)),
                    }
                    let holders = self.holders(*host);
                    holders.into_iter().for_each(|proxy| mail.put(proxy, 1.0, [order.clone()]));
                }
                Order::Bind { proxy, table, classes } => self.bind(*proxy, *table, *classes, &mut mail),
                Order::Admit { table, classes, level, tries } => {
                    let ids: Vec<ClassId> = self.masked(*classes).collect();
                    self.levels.extend(ids.into_iter().map(|id| ((*table, id), (*level, *tries))));
                    let all = self.joined.keys().filter(|_| *table == TableId::ALL);
                    let users = self.users.get(table).into_iter().flatten().chain(all);
                    users.for_each(|proxy| mail.put(*proxy, 1.0, [order.clone()]));
                }
                Order::Mark { all_proxies, .. } => {
                    let more: Vec<ProxyId> = self.joined.keys().filter(|_| *all_proxies).copied().collect();
                    let whom: BTreeSet<ProxyId> = mail.0.keys().copied().chain(more).collect();
                    whom.into_iter().for_each(|proxy| mail.put(proxy, 1.0, [order.clone()]));
                }
                _ => {}
            }
        }
        self.send(now, mail)
    }

    fn send(&mut self, now: f64, mail: Mail) -> (Vec<Message>, Vec<Over>) {
        let (mut sent, mut over) = (Vec::new(), Vec::new());
        for (proxy, (lines, orders)) in mail.0 {
            let lines = self.channel.message_overhead + lines;
            self.lines += lines;
            self.heads += self.channel.message_overhead + 1.0;
            self.free_at = self.free_at.max(now) + 1e3 * lines / self.channel.lines_per_s;
            sent.push(Message { proxy, at: self.free_at + self.channel.typical_transit, orders });
            let written = self.written.entry(proxy).or_default();
            written.push_back(now);
            while written.front().is_some_and(|at| *at <= now - self.channel.message_window) {
                written.pop_front();
            }
            if self.channel.max_messages > 0 && written.len() > self.channel.max_messages as usize {
                over.push(Over::Messages(proxy, written.len()));
            }
        }
        self.most = self.most.max(self.waits(now));
        if !sent.is_empty() && self.waits(now) > self.channel.max_backlog {
            over.push(Over::Backlog(self.waits(now)));
        }
        (sent, over)
    }
}

/// For each proxy, the number of lines without the message overhead, and the orders.
#[derive(Default)]
struct Mail(BTreeMap<ProxyId, (f64, Vec<Order>)>);

impl Mail {
    fn put(&mut self, proxy: ProxyId, lines: f64, orders: impl IntoIterator<Item = Order>) {
        let entry = self.0.entry(proxy).or_default();
        entry.0 += lines;
        entry.1.extend(orders);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn relay(max_backlog: f64, max_messages: u32) -> Relay {
        let channel = Channel {
            lines_per_s: 100.0,
            message_overhead: 3.0,
            max_backlog,
            max_messages,
            message_window: 10_000.0,
            typical_transit: 200.0,
            max_transit: 500.0,
        };
        let mut relay = Relay::new(channel, 2);
        (0..2).for_each(|proxy| relay.join(ProxyId(proxy)));
        relay
    }

    fn bind(proxy: u16) -> Order {
        Order::Bind { proxy: ProxyId(proxy), table: TableId(5), classes: ClassSet::ALL }
    }

    /// Three lines of message overhead, one table entry, one bind and one mark: six lines at 100 per second, plus the
    /// transit time.
    #[test]
    fn a_bind_brings_the_table_and_who_is_shut_out_and_takes_its_time_in_the_channel() {
        let mut relay = relay(1e3, 0);
        relay.write(0.0, &[Order::Withdraw { host: HostId(7), withdrawn: true }]);
        let share = Order::SetEntry { table: TableId(5), host: HostId(7), weight: 1.0 };
        let mark = Order::Mark { mark: MarkId(1), all_proxies: false };
        let (sent, over) = relay.write(10_000.0, &[share.clone(), bind(1), mark.clone()]);
        assert_eq!(over, vec![]);
        let out = Order::Withdraw { host: HostId(7), withdrawn: true };
        let orders = vec![Order::ClearTable { table: TableId(5) }, out, share, bind(1), mark];
        let [only] = &sent[..] else { panic!("one message, not {}", sent.len()) };
        assert_eq!((only.proxy, &only.orders), (ProxyId(1), &orders));
        assert!((only.at - 10_260.0).abs() < 1e-6, "{}", only.at);
    }

    #[test]
    fn more_lines_than_the_backlog_and_more_messages_than_allowed_are_told() {
        let withdraw = |withdrawn| [Order::Withdraw { host: HostId(7), withdrawn }];
        let (_, over) = relay(7.0, 0).write(0.0, &withdraw(true));
        assert_eq!(over, vec![Over::Backlog(8.0)]);
        let mut few = relay(1e3, 1);
        assert_eq!(few.write(0.0, &withdraw(true)).1, vec![]);
        let two = [Over::Messages(ProxyId(0), 2), Over::Messages(ProxyId(1), 2)];
        assert_eq!(few.write(5_000.0, &withdraw(false)).1, two);
        assert_eq!(few.write(15_000.0, &withdraw(true)).1, vec![]);
    }
}
