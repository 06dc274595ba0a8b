//! How much of the channel orders of each urgency may use.

/// What may be used with an order, counting what waits already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The part of the backlog.
    pub backlog: f64,
    /// The part of the messages to one proxy.
    pub messages: f64,
    /// Seconds of what the channel sends, while hosts leave: the next drain stands behind what waits, and its grace runs.
    pub seconds_while_leaving: f64,
    /// Seconds of what the channel sends, at other times.
    pub seconds: f64,
}

/// Drains, and what is as urgent.
pub const DRAIN: Limits =
    Limits { backlog: 0.95, messages: 0.97, seconds_while_leaving: f64::MAX, seconds: f64::MAX };
/// Gates, and binds of proxies without a host.
pub const URGENT: Limits =
    Limits { backlog: 0.85, messages: 0.83, seconds_while_leaving: f64::MAX, seconds: f64::MAX };
/// What comes back.
pub const BACK: Limits =
    Limits { backlog: 0.85, messages: 0.83, seconds_while_leaving: 1.25, seconds: f64::MAX };
/// The rest.
pub const ROUTINE: Limits = Limits { backlog: 0.5, messages: 0.67, seconds_while_leaving: 1.0, seconds: 1.5 };
/// A message that goes whatever counts as waiting; its size is bounded where it is sent.
pub const PROBE: Limits =
    Limits { backlog: f64::MAX, messages: 0.97, seconds_while_leaving: f64::MAX, seconds: f64::MAX };
