//! Stand-ins for discovery, hosts and the relay: each sends and withholds what the test tells it to.

// Each test binary that includes this module uses a different part of it.
#![allow(dead_code, unused_imports)]

#[path = "../address/mod.rs"]
pub mod address;
mod daemon;
mod peer;
mod relay;

pub use daemon::{host, list, program, Client, Configuration, Daemon};
pub use peer::{refusing_address, Connection, Exchange, Peer, PeerEvent};
pub use relay::{orders, take, Relay, RelayWatch};

use std::time::Duration;

/// The limit for everything that a test waits for; generous, so that it holds on a busy machine too.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
