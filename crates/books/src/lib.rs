//! Accounting that the decisions rest on. Its input is traffic reports, the orders that were written to
//! proxies and their acknowledgements. It provides sums over a sliding window ([`SlidingWindow`] of
//! [`TryStats`]), the demand per request class ([`ClassDemand`]), the load of the tables of a tree
//! ([`TableLoads`]), what proxies should hold and do hold ([`DesiredState`], [`PublishedState`]) and how many
//! lines may still be queued in a channel ([`ChannelBacklog`]).
//!
//! Plain data structures and arithmetic: this crate makes no decisions.

mod asked;
mod plan;
mod present;
mod reach;
mod ring;
mod told;
mod tree;
mod waiting;

pub use asked::{rate_cap, ClassDemand, Proxy, ProxyDemand};
pub use plan::{Bind, DesiredState, EntriesByReach};
pub use present::PublishedState;
pub use reach::{Reach, TableKey};
pub use ring::{median, SlidingWindow, TryStats, BUCKET_MS};
pub use told::ReachRules;
pub use tree::{
    includes_place, open_weight_by_group, tables_at_level, Node, PlaceAllocator, TableEntry, TableLoads,
};
pub use waiting::ChannelBacklog;
