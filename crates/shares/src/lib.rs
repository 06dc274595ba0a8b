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
    GrantsBeforeRelease,
    ForgetsOldLeaders,
    UsesHolderClock,
    AnswersUnconfirmed,
    TrustsYoungRun,
    AcceptsOldTerms,
    AcceptsOldRounds,
    KeepsExpiredGrants,
}
pub use unfit::{Kind, Rule, Span, Unfit};
