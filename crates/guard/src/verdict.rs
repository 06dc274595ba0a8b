//! What is said of a batch.

use amberarch_core::{ClassId, HostId, Order, ProxyId, TableId, ZoneId};

/// In the order in which they go when nothing satisfies all: the first is kept at the cost of those after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Rule {
    #[error("drains are kept")]
    Drain,
    #[error("no proxy is left bare")]
    Bare,
    #[error("no host is pushed over")]
    Pushed,
    #[error("queue and messages stay under their limits")]
    Queue,
}

impl Rule {
    pub const ALL: [Rule; 4] = [Rule::Drain, Rule::Bare, Rule::Pushed, Rule::Queue];
    pub fn place(self) -> usize {
        self as usize
    }
}

/// Who would be hit, and after which of the calls that may still be carried out, or carried out again.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Witness {
    #[error("host {} drains or is gone, and would be let in", host.0)]
    LetIn { host: HostId },
    #[error(
        "proxy {} in zone {}, product {}, table {}: nothing serves{}, while host {} is ready",
        proxy.0, zone.0, product.0, tbl.0,
        again.map_or(String::new(), |(from, to)| format!(" once calls {from} to {to} are carried out again")),
        ready.0
    )]
    Nothing {
        proxy: ProxyId,
        zone: ZoneId,
        product: ClassId,
        tbl: TableId,
        again: Option<(u64, u64)>,
        ready: HostId,
    },
    #[error("host {}: up to {load:.1} txns a second, {most:.1} at most", host.0)]
    Over { host: HostId, load: f64, most: f64 },
    #[error("{lines:.0} lines would wait for the proxies, {most:.0} at most")]
    Backlog { lines: f64, most: f64 },
    #[error("proxy {} would get {messages} messages within the stated time, {most} at most", proxy.0)]
    Messages { proxy: ProxyId, messages: u32, most: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{rule}: {witness}")]
pub struct Breach {
    pub rule: Rule,
    pub witness: Witness,
}

impl Breach {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self.witness {
            Witness::LetIn { .. } => "nothing: the host stays out; the decisions went by an older list",
            Witness::Nothing { .. } => {
                "nothing was sent of it; if it lasts, look why the hosts that are ready are in no table there"
            }
            Witness::Over { .. } => "wait until the host is warm, or add hosts; look whether sums still come",
            Witness::Backlog { .. } | Witness::Messages { .. } => {
                "look whether the relay answers; what waits goes out as the channel empties"
            }
        }
    }
}

/// What may be sent of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Accepted,
    /// Nothing of it: no part was found that keeps the rules.
    Refused(Breach),
    /// These instead. `price` are the txns a second above what hosts survive that nothing found avoids; zero: all
    /// rules are kept.
    Mended {
        orders: Vec<Order>,
        why: Vec<Breach>,
        price: f64,
    },
}
