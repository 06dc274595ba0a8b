//! Checks histories after a run. Processes and test doubles write events as lines of JSON; the checks return
//! verdicts with the lines that prove each violation. The crate is independent of the code under test: it
//! imports neither the decision logic nor the network front ends.
//!
//! ```no_run
//! # use amberarch_histories::{judge_files, Bounds};
//! let report = judge_files(&["steward-a.jsonl", "rig.jsonl"], &Bounds::default())?;
//! assert!(report.clean(), "{report}");
//! # Ok::<(), amberarch_histories::Spoilt>(())
//! ```
//!
//! Each check is a struct with `feed` and `finish`. It reads the merged lines once, in order of time, and
//! documents its assumptions. No check reports something that may be correct: if the lines allow several
//! orders of events, one correct order is enough. Cases that a check examined or could not judge are counted,
//! so that a history without relevant events does not pass for a correct one.

mod after_end;
mod answers;
mod cold_load;
mod drains;
mod event;
mod everywhere;
mod exclude;
mod grants;
mod guarantee;
mod late;
pub mod made;
mod names;
mod no_host;
mod once;
pub mod plain;
mod reach;
mod read;
mod ready;
mod register;
mod report;
mod suspended;

pub use after_end::CallsAfterEnd;
pub use answers::Answers;
pub use cold_load::{ColdLoad, ColdLoadBounds};
pub use drains::{DrainBounds, Drains};
pub use event::*;
pub use everywhere::Everywhere;
pub use exclude::Exclude;
pub use grants::Grants;
pub use guarantee::Guarantees;
pub use late::Late;
pub use no_host::{NoHost, NoHostBounds};
pub use once::OnceOnly;
pub use reach::Reach;
pub use read::{Reader, Spoilt};
pub use ready::Readiness;
pub use register::Register;
pub use report::{judge, judge_files, Bounds, Judge, Report, Rule, Verdict, Violation};
