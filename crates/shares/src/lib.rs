//! Divides the capacity of a fleet fairly among tenants. A tree of tenants is compiled into a [`Plan`]. In each round the
//! consensus leader takes demand and capacity and issues grants: the rates that each controller may admit, with an
//! expiry. The grants in force never add up to more than the capacity.
//!
//! This crate never ends a txn in progress, never grants capacity that has not been released yet, and never reads a
//! clock: the caller passes the time, in ms.

mod asked;
mod chair;
mod fair;
mod held;
mod joint;
mod ledger;
mod lesser;
mod plain;
mod plan;
mod pool;
mod round;
mod section;
mod types;
mod unfit;

pub use chair::{Chair, Input, Output};
pub use held::{Heard, Held, Out};
pub use joint::{Joint, Planned};
pub use ledger::{Lengths, Wrong};
pub use lesser::Lesser;
pub use plain::plainly;
pub use plan::{compile, Claim, Facts, Names, Plan, ZoneFact};
pub use round::{Dealt, Round};
pub use section::{AtLevel, Floor, Range, Section, Survive, TenantRule};
pub use types::*;

/// Deliberate defects for tests, one for each rule that keeps grants within the capacity.
#[cfg(feature = "seeded-bugs")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// The leader grants capacity before its holder has released it.
    GrantsBeforeRelease,
    /// A new leader ignores the grants of earlier leaders.
    ForgetsOldLeaders,
    /// The leader counts expiry without margins for clock drift and delay.
    UsesHolderClock,
    /// The leader answers a report without confirmation by a majority.
    AnswersUnconfirmed,
    /// A new leader trusts the report of a process that started recently.
    TrustsYoungRun,
    /// A holder accepts grants of an earlier term.
    AcceptsOldTerms,
    /// A holder accepts an answer to an earlier report than the last one applied.
    AcceptsOldRounds,
    /// A holder keeps using expired grants.
    KeepsExpiredGrants,
}
pub use unfit::{Kind, Rule, Span, Unfit};
