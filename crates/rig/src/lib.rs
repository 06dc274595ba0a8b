//! Fault-injection harness: runs controllers as real processes on loopback, beside stand-ins for everything that they
//! talk to, and injects faults. From a binary and a seed it produces a folder of histories (`amberarch-histories`), logs
//! and figures, which are checked afterwards.
//!
//! The harness observes the program under test only by its output, and leaves the verdict on a run to the checker.

mod address;
pub mod drill;
mod faults;
mod hosts;
mod member;
mod network;
mod pen;
mod policy;
mod proxies;
mod relay;
mod run;
mod serve;
mod steward_side;
mod wire;

pub use faults::{Kind, Plan};
pub use run::{run, until_said, Ran};

/// Why a run could not be made: a failure of the harness or of the machine, not of the program under test.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    #[error("no free block of loopback addresses for a run")]
    NoPlace,
    #[error("controller {who} did not start within {within_s} s; end of its log:\n{log}")]
    NotUp { who: String, within_s: u64, log: String },
    #[error("within {within_s} s not seen: {what}")]
    NotSeen { what: &'static str, within_s: u64 },
}
