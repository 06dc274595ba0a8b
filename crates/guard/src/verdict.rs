//! The result of checking a batch.

use amberarch_core::{ClassId, HostId, Order, ProxyId, TableId, ZoneId};

/// The rules in order of precedence: if not all of them can be kept, a rule is kept at the cost of those
/// after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Rule {
    #[error("draining hosts stay withdrawn")]
    Drain,
    #[error("no proxy is left bare")]
    Bare,
    #[error("no host gets more load than it survives")]
    Pushed,
    #[error("channel backlog and messages stay below their limits")]
    Queue,
}

impl Rule {
    pub const ALL: [Rule; 4] = [Rule::Drain, Rule::Bare, Rule::Pushed, Rule::Queue];
    pub fn place(self) -> usize {
        self as usize
    }
}

/// The host, proxy or channel affected by a violation and, where it depends on repeated calls, the calls that
/// have to be carried out again for it.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Witness {
    #[error("host {} drains or has been removed, and would be restored", host.0)]
    LetIn { host: HostId },
    #[error(
        "proxy {} in zone {}, class {}, table {}: no host serves{}, although host {} is ready",
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
    #[error("host {}: load of up to {load:.1} txns a second, limit {most:.1}", host.0)]
    Over { host: HostId, load: f64, most: f64 },
    #[error("{lines:.0} lines would wait in the channel, limit {most:.0}")]
    Backlog { lines: f64, most: f64 },
    #[error("proxy {} would get {messages} messages within the message window, limit {most}", proxy.0)]
    Messages { proxy: ProxyId, messages: u32, most: u32 },
}

/// A violated rule, with a witness.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{rule}: {witness}")]
pub struct Breach {
    pub rule: Rule,
    pub witness: Witness,
}

impl Breach {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self.witness {
            Witness::LetIn { .. } => {
                "no action needed: the host stays withdrawn; the decisions used an older host list"
            }
            Witness::Nothing { .. } => {
                "nothing of the batch was sent; if this lasts, check why no table there names the ready hosts"
            }
            Witness::Over { .. } => {
                "wait until the host is warm, or add hosts; check whether traffic reports still arrive"
            }
            Witness::Backlog { .. } | Witness::Messages { .. } => {
                "check whether the relay answers; waiting orders are sent as the channel empties"
            }
        }
    }
}

/// What may be sent of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Accepted,
    /// Nothing may be sent: no amended batch was found that keeps the rules.
    Refused(Breach),
    /// `orders` may be sent instead. `price` is the load in txns a second above what hosts survive that no
    /// amendment found avoids; zero means that all rules are kept.
    Mended {
        orders: Vec<Order>,
        why: Vec<Breach>,
        price: f64,
    },
}
