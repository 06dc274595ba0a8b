mod fleet;
mod model;
mod reach;
mod stalls;
mod traces;
