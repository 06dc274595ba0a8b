//! A reply under construction: its orders, and the lines that they add to the channel backlog.

use super::*;

/// Collects orders one after the other, as far as the limits of the channel allow.
pub struct Reply<'a> {
    /// The time of the decision, in ms.
    pub(crate) now: f64,
    pub(crate) controller: &'a Controller,
    /// The published state with the orders of this reply applied.
    pub(crate) published: PublishedState,
    /// Tables that a request class still uses although they do not conform to its reach: no entries are added
    /// to them.
    pub(crate) nonconforming: BTreeSet<TableKey>,
    /// Lines of this reply for each proxy that gets a message.
    pub(crate) lines_by_proxy: BTreeMap<ProxyId, f64>,
    /// Lines that count as queued in the channel, including those of this reply.
    pub(crate) backlog_lines: f64,
    /// Some host is draining or has left the list.
    pub(crate) hosts_leaving: bool,
    /// Withdrawals that are delayed.
    pub(crate) delayed_withdrawals: usize,
    /// Some order found no room in the channel.
    pub(crate) channel_refused: bool,
    /// How many proxies without a table of this controller remain unbound, by what holds them back.
    pub(crate) unbound_proxies: BTreeMap<Refusal, usize>,
    pub(crate) orders: Vec<Order>,
}

impl<'a> Reply<'a> {
    /// Starts a reply without orders.
    pub(crate) fn new(now: f64, controller: &'a Controller, published: PublishedState) -> Reply<'a> {
        Reply {
            now,
            controller,
            published,
            nonconforming: BTreeSet::new(),
            lines_by_proxy: BTreeMap::new(),
            backlog_lines: controller.backlog.lines(),
            hosts_leaving: controller.hosts.values().any(|host| host.standing != Availability::InService),
            delayed_withdrawals: 0,
            channel_refused: false,
            unbound_proxies: BTreeMap::new(),
            orders: Vec::new(),
        }
    }
}

impl Reply<'_> {
    /// How many lines the channel gets if each recipient gets `lines_each` lines, with the overhead of new
    /// messages.
    pub(crate) fn cost(&self, recipients: &[ProxyId], lines_each: f64) -> f64 {
        let new_recipients = recipients.iter().filter(|id| !self.lines_by_proxy.contains_key(id)).count();
        lines_each * recipients.len() as f64
            + (self.controller.channel.message_overhead + 1.0) * new_recipients as f64
    }

    /// Adds the orders if backlog and message limit allow; each recipient gets `lines_each` lines. Returns
    /// whether they were added.
    pub(crate) fn try_enqueue(
        &mut self,
        limits: Limits,
        recipients: &[ProxyId],
        lines_each: f64,
        orders: &[Order],
    ) -> bool {
        self.enqueue(limits, recipients, lines_each, orders).is_ok()
    }

    /// Does the same as `try_enqueue`, and returns what holds the orders back.
    #[rustfmt::skip]
    pub(crate) fn enqueue(
        &mut self, limits: Limits, recipients: &[ProxyId], lines_each: f64, orders: &[Order],
    ) -> Result<(), Refusal> {
        let Controller { channel, backlog, .. } = self.controller;
        let (window, max_messages) =
            (channel.message_window + 2.0 * BUCKET_MS, limits.message_fraction * f64::from(channel.max_messages));
        let at_message_limit = |id: &ProxyId| {
            channel.max_messages > 0 && backlog.messages(self.now, window, *id) + 1.0 > max_messages
        };
        let new_recipients: Vec<&ProxyId> =
            recipients.iter().filter(|id| !self.lines_by_proxy.contains_key(id)).collect();
        let cost = self.cost(recipients, lines_each);
        // A restore that joins messages which are sent anyway, such as those of a drain, has no message
        // overhead; the lower limit while hosts leave does not apply to it.
        let joins_messages = limits == RESTORE && (new_recipients.is_empty() || self.backlog_lines <= 0.0);
        let max_lines = channel.lines_per_s
            * if self.hosts_leaving && !joins_messages {
                limits.queue_seconds_while_leaving
            } else {
                limits.queue_seconds
            };
        // Orders that can wait are not sent while calls do not reach the relay: proxies that join meanwhile
        // would get them too.
        if backlog.is_delayed() && (limits == ROUTINE || limits == RESTORE) {
            return Err(Refusal::RelayUnreachable);
        }
        let fits = self.backlog_lines + cost <= max_lines.min(limits.backlog_fraction * channel.max_backlog);
        self.channel_refused |= !fits;
        if !fits {
            return Err(Refusal::ChannelFull);
        }
        if new_recipients.into_iter().any(at_message_limit) {
            return Err(Refusal::MessageLimit);
        }
        self.backlog_lines += cost;
        recipients
            .iter()
            .for_each(|proxy| *self.lines_by_proxy.entry(*proxy).or_insert(channel.message_overhead + 1.0) += lines_each);
        self.orders.extend_from_slice(orders);
        Ok(())
    }

    /// Counts an order that found no room as queued, so that later orders do not use the room that becomes
    /// free; not where it can never fit.
    pub(crate) fn reserve_room(&mut self, limits: Limits, cost: f64) {
        if cost <= limits.backlog_fraction * self.controller.channel.max_backlog {
            self.backlog_lines += cost;
        }
    }
}
