//! Detects that answers to written messages do not arrive, so that lines counted as queued block all other
//! orders.

/// A probe is sent after this many times the longest transit without an answer: one transit for the message,
/// one for the answer.
const TRANSITS_BEFORE_PROBE: f64 = 2.0;
/// The wait doubles with each unanswered probe, at most this often.
const MAX_DOUBLINGS: u32 = 3;
/// The fraction of the backlog that unanswered probes may use: what drains leave of it.
const PROBE_BACKLOG_FRACTION: f64 = 0.05;

/// Answers may be lost together with the relay watch that would have delivered them, or be expected for lines
/// that never entered the channel. If everything desired then waits for room, no answer ever arrives. A probe
/// is one small message that is sent regardless: a channel sends in order, so its answer shows that
/// everything before it has left.
#[derive(Default)]
pub struct StallDetector {
    /// When something was last written or answered.
    last_progress_at: f64,
    /// Probes since the last answer, and their lines.
    unanswered_probes: u32,
    unanswered_lines: f64,
    /// The index among the binds after that of the last probe, so that each probe uses another proxy.
    pub next_bind: usize,
}

impl StallDetector {
    pub fn on_answer(&mut self, now: f64) {
        *self =
            StallDetector { last_progress_at: now, next_bind: self.next_bind, ..StallDetector::default() };
    }

    pub fn on_sent(&mut self, now: f64) {
        self.last_progress_at = now;
    }

    pub fn on_probe(&mut self, index: usize, lines: f64) {
        self.unanswered_probes += 1;
        self.unanswered_lines += lines;
        self.next_bind = index + 1;
    }

    /// How many lines a probe may have now; none: no probe is due.
    pub fn probe_budget(&self, now: f64, transit_worst: f64, backlog: f64) -> Option<f64> {
        let wait = TRANSITS_BEFORE_PROBE
            * transit_worst
            * f64::from(1u32 << self.unanswered_probes.min(MAX_DOUBLINGS));
        let room = PROBE_BACKLOG_FRACTION * backlog - self.unanswered_lines;
        (now >= self.last_progress_at + wait && room > 0.0).then_some(room)
    }
}
