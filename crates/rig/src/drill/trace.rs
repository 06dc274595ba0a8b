//! Trace of the orders to individual proxies, to show where the time of a late drain was spent.

use std::fmt;

use amberarch_core::{HostId, Order, ProxyId, TableId};
use amberarch_emulator::Message;

/// An event in the life of an order or its proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Joined {
        fresh: bool,
    },
    Left,
    /// A call binds the proxy; `outcome` is how the relay handled the call.
    BindCalled {
        table: TableId,
        outcome: String,
    },
    /// A call withdraws the host.
    WithdrawCalled {
        host: HostId,
        outcome: String,
    },
    /// The proxy applied a message with these orders.
    Applied {
        bound_to: Option<TableId>,
        withdrawn: Vec<HostId>,
        /// Delay of the delivery after its due time, ms.
        lag: f64,
    },
    /// The message was in flight when the proxy left.
    Undelivered,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Time since the start of the drill, ms.
    at: f64,
    /// `None`: concerns all proxies.
    proxy: Option<ProxyId>,
    step: Step,
}

impl fmt::Display for Entry {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:.0} ms: {:?}", self.at, self.step)
    }
}

/// All events in the order in which they happened.
#[derive(Default)]
pub struct Trace(Vec<Entry>);

impl Trace {
    pub fn record(&mut self, at: f64, proxy: Option<ProxyId>, step: Step) {
        self.0.push(Entry { at, proxy, step });
    }

    /// The proxy applied a message, `lag` ms after it was due.
    pub fn applied(&mut self, at: f64, message: &Message, lag: f64) {
        let mut bound_to = None;
        let mut withdrawn = Vec::new();
        for order in &message.orders {
            match order {
                Order::Bind { table, .. } => bound_to = Some(*table),
                Order::Withdraw { host, withdrawn: true } => withdrawn.push(*host),
                _ => {}
            }
        }
        self.record(at, Some(message.proxy), Step::Applied { bound_to, withdrawn, lag });
    }

    /// Entries that concern the proxy, and withdrawals of the host.
    pub fn about(&self, proxy: ProxyId, host: HostId) -> Vec<String> {
        let concerns = |entry: &&Entry| match &entry.step {
            Step::WithdrawCalled { host: withdrawn, .. } => *withdrawn == host,
            _ => entry.proxy == Some(proxy),
        };
        self.0.iter().filter(concerns).map(Entry::to_string).collect()
    }
}
