//! Histories made up from a seed, and ones written down by hand.

mod drains;
mod good;
mod hand;
mod lifecycle;
mod no_host;
mod plainly;
mod reading;
mod spoilt;
