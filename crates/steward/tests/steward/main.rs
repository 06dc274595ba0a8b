//! Tests of the daemon's tasks against in-memory peers, on a paused clock.

#[path = "../address/mod.rs"]
mod address;
mod checks;
mod clock;
mod counters;
mod desk;
mod governed;
mod list;
mod listen;
mod news;
mod peers;
mod probes;
mod relay;
mod start;
mod withdrawals;
