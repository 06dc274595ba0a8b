//! When answers to what was written do not come, and lines that count as waiting hold everything up.

/// How many times the longest transit passes without an answer before a probe is sent: one for the message, one for the
/// answer.
const TRANSITS: f64 = 2.0;
/// The wait doubles with each probe that gets no answer, so often at the most.
const DOUBLINGS: u32 = 3;
/// The part of the backlog that probes without an answer may use: what drains leave of it.
const PART: f64 = 0.05;

/// Answers may be lost with the watch that should have told them, or be owed for lines that never were in the channel. Then
/// nothing more is ever answered where all that is wanted waits for room. A probe is one small message that goes all the
/// same: a channel sends in order, so its answer shows that all before it has left.
#[derive(Default)]
pub struct Stall {
    /// When something was written or answered last.
    moved_at: f64,
    /// Probes since the last answer, and their lines.
    probes: u32,
    lines: f64,
    /// The place among the binds behind that of the last probe, so that each goes to another proxy.
    pub next: usize,
}

impl Stall {
    pub fn answered(&mut self, now: f64) {
        *self = Stall { moved_at: now, next: self.next, ..Stall::default() };
    }

    pub fn wrote(&mut self, now: f64) {
        self.moved_at = now;
    }

    pub fn probed(&mut self, place: usize, lines: f64) {
        self.probes += 1;
        self.lines += lines;
        self.next = place + 1;
    }

    /// How many lines a probe may have now; none: none is due.
    pub fn probe(&self, now: f64, transit_worst: f64, backlog: f64) -> Option<f64> {
        let wait = TRANSITS * transit_worst * f64::from(1u32 << self.probes.min(DOUBLINGS));
        let room = PART * backlog - self.lines;
        (now >= self.moved_at + wait && room > 0.0).then_some(room)
    }
}
