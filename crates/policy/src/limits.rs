//! How much of the channel orders of each urgency may use.

/// The limits under which an order is sent, counting the lines that are queued already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The fraction of the backlog that may be used.
    pub backlog_fraction: f64,
    /// The fraction of the messages to one proxy that may be used.
    pub message_fraction: f64,
    /// How many seconds of channel throughput may be queued while hosts leave: the next drain is queued
    /// behind it, and its grace is already running.
    pub queue_seconds_while_leaving: f64,
    /// How many seconds of channel throughput may be queued at other times.
    pub queue_seconds: f64,
}

/// Drains, and orders of the same urgency.
pub const DRAIN: Limits = Limits {
    backlog_fraction: 0.95,
    message_fraction: 0.97,
    queue_seconds_while_leaving: f64::MAX,
    queue_seconds: f64::MAX,
};
/// Gates, and binds of proxies without a usable host.
pub const URGENT: Limits = Limits {
    backlog_fraction: 0.85,
    message_fraction: 0.83,
    queue_seconds_while_leaving: f64::MAX,
    queue_seconds: f64::MAX,
};
/// Restored hosts.
pub const RESTORE: Limits = Limits {
    backlog_fraction: 0.85,
    message_fraction: 0.83,
    queue_seconds_while_leaving: 1.25,
    queue_seconds: f64::MAX,
};
/// All other orders.
pub const ROUTINE: Limits = Limits {
    backlog_fraction: 0.5,
    message_fraction: 0.67,
    queue_seconds_while_leaving: 1.0,
    queue_seconds: 1.5,
};
/// A probe of the channel, sent whatever counts as queued; its size is bounded where it is sent.
pub const PROBE: Limits = Limits {
    backlog_fraction: f64::MAX,
    message_fraction: 0.97,
    queue_seconds_while_leaving: f64::MAX,
    queue_seconds: f64::MAX,
};
