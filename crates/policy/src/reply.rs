//! A reply while it is made: its orders, and what they add to what waits in the channel.

use super::*;

/// Orders are taken in one after the other, as far as the channel's limits allow.
pub struct Reply<'a> {
    pub(crate) now: f64,
    pub(crate) steward: &'a Steward,
    pub(crate) present: Present,
    /// Tables that a product still uses whose reach they pass: nothing joins them.
    pub(crate) passed: BTreeSet<Tbl>,
    pub(crate) lines: BTreeMap<ProxyId, f64>,
    pub(crate) waiting: f64,
    pub(crate) leaving: bool,
    /// Withdrawals that have to wait.
    pub(crate) held_up: usize,
    /// Something found no room in the channel.
    pub(crate) refused: bool,
    /// How many proxies without a table of this controller are not bound now, and what holds them back.
    pub(crate) unbound: BTreeMap<Refusal, usize>,
    pub(crate) orders: Vec<Order>,
}

impl<'a> Reply<'a> {
    /// Nothing is ordered yet.
    pub(crate) fn new(now: f64, steward: &'a Steward, present: Present) -> Reply<'a> {
        Reply {
            now,
            steward,
            present,
            passed: BTreeSet::new(),
            lines: BTreeMap::new(),
            waiting: steward.waiting.lines(),
            leaving: steward.hosts.values().any(|host| host.standing != Standing::On),
            held_up: 0,
            refused: false,
            unbound: BTreeMap::new(),
            orders: Vec::new(),
        }
    }
}

impl Reply<'_> {
    /// What `each` lines to each of `whom` add to the channel.
    pub(crate) fn cost(&self, whom: &[ProxyId], each: f64) -> f64 {
        let fresh = whom.iter().filter(|id| !self.lines.contains_key(id)).count();
        each * whom.len() as f64 + (self.steward.channel.head + 1.0) * fresh as f64
    }

    /// Takes the orders in if backlog and message limit allow; `each` lines go to each of `whom`.
    pub(crate) fn take(&mut self, may: Limits, whom: &[ProxyId], each: f64, orders: &[Order]) -> bool {
        self.admit(may, whom, each, orders).is_ok()
    }

    /// The same, with what holds them back.
    #[rustfmt::skip]
    pub(crate) fn admit(
        &mut self, may: Limits, whom: &[ProxyId], each: f64, orders: &[Order],
    ) -> Result<(), Refusal> {
        let Steward { channel, waiting, .. } = self.steward;
        let (span, most) = (channel.messages_over + 2.0 * BUCKET, may.messages * f64::from(channel.messages));
        let full = |id: &ProxyId| channel.messages > 0 && waiting.messages(self.now, span, *id) + 1.0 > most;
        let fresh: Vec<&ProxyId> = whom.iter().filter(|id| !self.lines.contains_key(id)).collect();
        let cost = self.cost(whom, each);
        // What comes back rides on messages that go anyway, a drain's: it costs no head then.
        let rides = may == BACK && (fresh.is_empty() || self.waiting <= 0.0);
        let pace = channel.lines_per_s * if self.leaving && !rides { may.seconds_while_leaving } else { may.seconds };
        // What can wait is not decided ahead of a relay that calls do not get through to: who joins meanwhile gets it too.
        if waiting.is_behind() && (may == ROUTINE || may == BACK) {
            return Err(Refusal::CallsFail);
        }
        let fits = self.waiting + cost <= pace.min(may.backlog * channel.backlog);
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

    /// What found no room counts as if it waited, so that nothing after it takes the room that comes up; not where it will
    /// never fit.
    pub(crate) fn keep_place(&mut self, may: Limits, cost: f64) {
        if cost <= may.backlog * self.steward.channel.backlog {
            self.waiting += cost;
        }
    }
}
