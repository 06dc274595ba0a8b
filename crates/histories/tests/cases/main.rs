//! Checks of generated histories and of hand-written ones.

mod cold_load;
mod drains;
mod good;
mod hand;
mod lifecycle;
mod no_host;
mod plainly;
mod reading;
mod spoilt;
