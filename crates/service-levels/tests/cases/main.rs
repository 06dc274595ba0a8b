//! Tests of the service levels: overload and fault scenarios, invalid ladders, and property tests.

mod hard;
mod ladders;
mod model;
mod night;
