//! Validates every batch of orders before it is sent to the proxies, independently of the code that produced
//! it. From the events received and the orders already sent, the guard maintains a model of the state that
//! every joined proxy may hold. Each batch is accepted, amended by the smallest change found, or refused;
//! amendments and refusals name the violated rule and a witness.
//!
//! The guard never chooses a host for a txn, reads a clock, or performs I/O. All times are milliseconds of
//! one clock that the caller reads.

mod door;
mod facts;
mod late;
mod least;
mod look;
mod mend;
mod model;
mod plain;
mod standing;
mod sums;
mod trial;
mod verdict;

pub use door::{Counts, Door, Guarded, Mode, Passed};
pub use facts::Facts;
pub use model::{CallIndex, Finding, Guard};
pub use plain::{Fate, Plain};
pub use standing::{gate, standing, step, Anew};
pub use trial::{Kind, Small, Step, Told};
pub use verdict::{Breach, Rule, Verdict, Witness};
