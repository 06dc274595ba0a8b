//! Discovery's list and the probes of hosts beside what can happen to them: pairs of events that can cross, on real
//! connections against the program itself. `docs/crossing-events.md` has the table. Each test forces its order by what
//! its stand-ins say and withhold.

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
