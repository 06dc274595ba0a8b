//! Each test causes the situation that it is named after.

mod brute;
mod hard;
mod help;
mod late;
mod seeded;
mod traces;
