//! Changes of policy in whole simulated fleets, in virtual time; each test is named after the failure that it
//! covers.

mod bugs;
mod ending;
mod fleet;
mod hard;
mod members;
mod refusals;
mod spoilt;
mod storms;
