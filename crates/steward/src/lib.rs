//! The daemon: adapters that connect amberarch's controller with sockets, disks and clocks, one task per file.

pub mod clock;
pub mod command;
pub mod config;
pub mod counters;
pub mod desk;
pub mod fleet;
pub mod guard;
pub mod heard;
pub mod http;
pub mod intake;
pub mod levels;
pub mod lines;
pub mod list;
pub mod listen;
pub mod news;
pub mod orders;
pub mod policy;
pub mod probe;
pub mod relay;
pub mod spread;
pub mod state;
