//! Simulates fleets of controllers that run the consensus, in virtual time. The input is a shape, a seed and the actions
//! and faults applied to the fleet; the output is the course of the run, its cost, and each breach of the guarantees in
//! `docs/fleet-policy.md`. Each controller is a complete [`amberarch_accord::Accord`] with a clock, a disk and proxies of
//! its own. The same seed gives the same run.
//!
//! The simulation never reads a real clock, opens a socket, or assists the consensus.

mod explore;
pub mod figures;
mod judge;
mod machine;
mod shape;
mod small;
mod storm;
mod world;

pub use explore::{explore, Choice, Explored, Plan, Small, Ways};
pub use judge::Breach;
pub use machine::DiskIs;
pub use shape::{Net, Shape};
pub use small::{begin, small_plans, SmallPlan};
pub use storm::{storm, Loses, Storm, Stormed};
pub use world::{Answered, Late, Talk, World};
