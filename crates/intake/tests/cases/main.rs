//! The failures that the intake exists for, each caused here, in virtual time.

mod hard;
mod model;
mod night;
