//! Accounting that the decisions rest on. Its input is traffic reports, the orders that were written to
//! proxies and their acknowledgements. It provides sums over a sliding window ([`SlidingWindow`] of
//! [`TryStats`]), the demand per request class ([`ClassDemand`]), the load of the tables of a tree
//! ([`TableLoads`]), what proxies should hold and do hold ([`DesiredState`], [`PublishedState`]) and how many
//! lines may still be queued in a channel ([`ChannelBacklog`]).
//!
//! Plain data structures and arithmetic: this crate makes no decisions.

mod channel_backlog;
mod demand;
mod desired_state;
mod published_state;
mod reach;
mod reach_rules;
mod sliding_window;
mod table_tree;

pub use channel_backlog::ChannelBacklog;
pub use demand::{rate_cap, ClassDemand, Proxy, ProxyDemand};
pub use desired_state::{Bind, DesiredState, EntriesByReach};
pub use published_state::PublishedState;
pub use reach::{Reach, TableKey};
pub use reach_rules::ReachRules;
pub use sliding_window::{median, SlidingWindow, TryStats, BUCKET_MS};
pub use table_tree::{
    includes_place, open_weight_by_group, tables_at_level, Node, PlaceAllocator, TableEntry, TableLoads,
};
