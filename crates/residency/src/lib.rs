//! Data residency: which zones may serve which txns. The rules of a policy are compiled into a [`Reach`],
//! and the [`Judge`] checks each reply of orders before it is written, against every state that each
//! proxy may be in.
//!
//! This crate never chooses a host, never widens a rule, and never takes an acknowledgement as proof of
//! more than it confirms.

mod compile;
mod judge;
mod model;
mod plain;
mod reach;
mod section;

pub use compile::{compile, Compiled, Facts, Unfit};
pub use judge::{Breach, How, Judge, Sifted, Witness};
pub use plain::Plain;
pub use reach::{bare, difference, last_rows, over, there, Bare, Governed, InUse, Over, Permit, Reach};
pub use section::{Customer, Rule, Section};
