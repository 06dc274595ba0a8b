//! What processes and stand-ins wrote down, judged afterwards. Lines of JSON go in, verdicts with witnesses come out.
//! It knows nothing of the code under test: it imports neither decisions nor fronts.
//!
//! ```no_run
//! # use amberarch_histories::{judge_files, Bounds};
//! let report = judge_files(&["steward-a.jsonl", "rig.jsonl"], &Bounds::default())?;
//! assert!(report.clean(), "{report}");
//! # Ok::<(), amberarch_histories::Spoilt>(())
//! ```
//!
//! Each check is a struct with `feed` and `finish`, reads the merged lines once, in order, and says in its own
//! documentation what it assumes. None of them reports what may be right: where the lines leave several courses of
//! events open, one that is right is enough. What a check could not look at is counted, so that a history without
//! matter is not taken for a good one.

mod after_end;
mod answers;
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
