//! Tests of the intake: fault scenarios in virtual time, and property tests.

mod hard;
mod model;
mod night;
