//! One reporter: which of its processes speaks, how its clock stands to ours, and what it was told.

use std::collections::{BTreeSet, VecDeque};

use amberarch_core::HostId;

use crate::clock::Clock;
use crate::replay::Replay;
use crate::report::{Batch, Boot, Echo, Refusal};

/// What one process of a reporter has sent.
#[derive(Clone, Debug)]
pub struct Run {
    pub boot: Boot,
    pub clock: Clock,
    pub replay: Replay,
    /// Counts the jumps of its clock: times of before and after one have no order.
    pub era: u32,
    heard_at: f64,
}

impl Run {
    fn new(boot: Boot, now: f64) -> Run {
        Run { boot, clock: Clock::default(), replay: Replay::default(), era: 0, heard_at: now }
    }
}

/// A process that another has followed may speak again only after the other was quiet for so long: else two
/// that were started by mistake would take turns with every message.
const QUIET: f64 = 10_000.0;
/// More processes than these in a row are not told apart from new ones; a new one still has to prove itself.
const RETIRED: usize = 4;
/// Echoes older than these prove nothing anyway.
const ECHOES: usize = 4;
/// A new message of paces is due this often even where nothing has changed: it shows how the clocks stand
/// before they can have drifted apart by more than some milliseconds.
const PROVE_AGAIN: f64 = 30_000.0;
/// Between two messages to one reporter. A round trip proves a clock, so that need not be sooner.
const BETWEEN: f64 = 500.0;
/// A message that told nothing of its reports' clock is asked for again this soon.
const PROVE_SOON: f64 = 1_000.0;

#[derive(Debug)]
pub struct Reporter {
    pub open: u32,
    pub heard_at: f64,
    run: Option<Run>,
    /// A process that has not shown yet how its clock stands.
    candidate: Option<Run>,
    retired: VecDeque<Boot>,
    echoes: VecDeque<(Echo, f64)>,
    pub hosts: BTreeSet<HostId>,
    /// Some pace of its hosts differs from what it was told, or it has just come.
    pub changed: bool,
    /// What it sent over its paces, less what was taken of it.
    over: u32,
    strikes: u32,
}

/// So many over show a reporter that does not heed its paces.
const HEEDLESS: u32 = 16;
/// For so long it is not read at first; doubled each time, up to 1.6 s.
const REST: f64 = 50.0;
const MOST_STRIKES: u32 = 6;

impl Reporter {
    pub fn new(now: f64) -> Reporter {
        Reporter {
            open: 0,
            heard_at: now,
            run: None,
            candidate: None,
            retired: VecDeque::new(),
            echoes: VecDeque::new(),
            hosts: BTreeSet::new(),
            changed: true,
            over: 0,
            strikes: 0,
        }
    }

    /// The process that a batch comes from, if it is the one that is listened to; its clock has heard the batch.
    ///
    /// # Errors
    /// `Retired` from a process that another has followed, `Unproven` while nothing is known of its clock.
    pub fn run(&mut self, now: f64, batch: &Batch) -> Result<&mut Run, Refusal> {
        self.heard_at = now;
        let left = batch.echo.and_then(|echo| self.left(echo));
        if self.run.as_ref().is_none_or(|run| run.boot != batch.boot) {
            let quiet = self.run.as_ref().is_none_or(|run| now - run.heard_at > QUIET);
            if self.retired.contains(&batch.boot) && !quiet {
                return Err(Refusal::Retired);
            }
            let candidate = self.candidate.take().filter(|candidate| candidate.boot == batch.boot);
            let mut candidate = candidate.unwrap_or_else(|| Run::new(batch.boot, now));
            candidate.clock.heard(now, batch.sent, left);
            // What an old process left in a queue proves nothing: it repeats no message that left of late.
            if !candidate.clock.proven() {
                self.candidate = Some(candidate);
                return Err(Refusal::Unproven);
            }
            self.retired.retain(|boot| *boot != batch.boot);
            self.retired.extend(self.run.replace(candidate).map(|run| run.boot));
            if self.retired.len() > RETIRED {
                self.retired.pop_front();
            }
        } else if let Some(run) = &mut self.run {
            run.era += u32::from(!run.clock.heard(now, batch.sent, left));
        }
        match &mut self.run {
            Some(run) if run.clock.proven() => {
                run.heard_at = now;
                Ok(run)
            }
            _ => Err(Refusal::Unproven),
        }
    }

    /// For how long it is not to be read after a batch.
    pub fn rest(&mut self, over: u32, taken: u32) -> f64 {
        self.over = (self.over + over).saturating_sub(taken);
        self.strikes = if over == 0 { 0 } else { self.strikes };
        if self.over < HEEDLESS {
            return 0.0;
        }
        (self.over, self.strikes) = (0, MOST_STRIKES.min(self.strikes + 1));
        REST * f64::from(1 << (self.strikes - 1))
    }

    fn left(&self, echo: Echo) -> Option<f64> {
        self.echoes.iter().find(|(sent, _)| *sent == echo).map(|(_, left)| *left)
    }

    /// Whether a message of paces is due.
    pub fn due(&self, now: f64) -> bool {
        let since = self.echoes.back().map_or(f64::INFINITY, |(_, left)| now - left);
        let unproven = self.candidate.is_some() || !self.run.as_ref().is_some_and(|run| run.clock.proven());
        let wait = match (self.changed, unproven) {
            (true, _) => BETWEEN,
            (false, true) => PROVE_SOON,
            (false, false) => PROVE_AGAIN,
        };
        self.open > 0 && since >= wait
    }

    pub fn told(&mut self, now: f64, echo: Echo) {
        self.changed = false;
        self.echoes.push_back((echo, now));
        if self.echoes.len() > ECHOES {
            self.echoes.pop_front();
        }
    }
}
