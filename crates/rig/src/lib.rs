//! Stewards as processes, with all that stands round them on loopback, and what goes wrong there. A binary and a seed
//! go in; a folder of histories (`amberarch-histories`), logs and figures comes out, to be judged afterwards.
//!
//! What it never does: look into the program under test other than by what it writes, or decide whether a run was
//! good: the checker does.

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

/// Why a run could not be made; a fault of the rig or of the machine, not of what is tested.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    #[error("the machine has no place for a run on loopback")]
    NoPlace,
    #[error("steward {who} did not come up in {within_s} s; the end of its log:\n{log}")]
    NotUp { who: String, within_s: u64, log: String },
    #[error("within {within_s} s not seen: {what}")]
    NotSeen { what: &'static str, within_s: u64 },
}
