mod fleet;
mod model;
mod reach;
mod rejoins;
mod stalls;
mod traces;
