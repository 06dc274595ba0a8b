//! The stand-ins that a test drives: each says and withholds what the test tells it to.

// Each test binary that includes this module uses another part of it.
#![allow(dead_code, unused_imports)]

#[path = "../address/mod.rs"]
pub mod address;
mod daemon;
mod peer;
mod relay;

pub use daemon::{host, list, program, Client, Configuration, Daemon};
pub use peer::{nobody, Connection, Exchange, Peer, Seen};
pub use relay::{orders, take, Relay, RelayWatch};

use std::time::Duration;

/// Nothing that a test waits for takes so long; also on a machine with much else to do.
pub const BOUND: Duration = Duration::from_secs(20);
