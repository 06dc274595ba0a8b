//! Discovery's list and the probes of hosts, in pairs of events that can cross, over real connections to
//! the amberarch binary. `docs/crossing-events.md` has the table. Each test forces the order of events by
//! what its stand-ins send and withhold.

mod broken_answers;
mod endings;
mod lists;
mod probes;
mod replaced_hosts;
mod scene;
mod silences;
#[path = "../stand_in/mod.rs"]
mod stand_in;
mod together;
