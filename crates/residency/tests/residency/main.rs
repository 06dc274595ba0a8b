//! Tests of rules, reach and judge in the situations in which a fleet could break residency.

mod arrivals;
mod judge;
mod midst;
mod reach;
mod rules;
