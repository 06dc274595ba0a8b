//! Tests of members on loopback connections, and of a voter's store.

mod loopback;
mod one_down;
mod peer;
mod stores;
mod turned_away;
