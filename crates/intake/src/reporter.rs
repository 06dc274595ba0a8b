//! State of one reporter: which of its processes is active, the offset of its clock, and which messages it
//! was sent.

use std::collections::{BTreeSet, VecDeque};

use amberarch_core::HostId;

use crate::clock::RemoteClock;
use crate::replay::ReplayWindow;
use crate::report::{Batch, Boot, Echo, Refusal};

/// State of one process of a reporter.
#[derive(Clone, Debug)]
pub struct ReporterProcess {
    pub boot: Boot,
    pub clock: RemoteClock,
    pub replay: ReplayWindow,
    /// Number of jumps of its clock; times before and after a jump are not ordered.
    pub clock_epoch: u32,
    received_at: f64,
}

impl ReporterProcess {
    fn new(boot: Boot, now: f64) -> ReporterProcess {
        ReporterProcess {
            boot,
            clock: RemoteClock::default(),
            replay: ReplayWindow::default(),
            clock_epoch: 0,
            received_at: now,
        }
    }
}

/// Milliseconds that the active process must be silent before a process that it replaced may take over
/// again. Otherwise two processes started under one name would alternate with every message.
const TAKEOVER_DELAY: f64 = 10_000.0;
/// Number of replaced processes that are remembered. Older ones count as new, but a new process has to
/// synchronize its clock first.
const MAX_RETIRED: usize = 4;
/// Number of sent messages that are remembered; echoes of older ones are of no use for the clock bounds.
const MAX_ECHOES: usize = 4;
/// A message of intervals is due this often, in ms, even without changes: it renews the clock bounds before
/// the clocks can drift apart by more than some milliseconds.
const RESYNC_INTERVAL: f64 = 30_000.0;
/// Minimum time between two messages to one reporter, in ms. A round trip synchronizes a clock, so a
/// shorter time is of no use.
const MIN_MESSAGE_INTERVAL: f64 = 500.0;
/// Milliseconds after which a message is sent again while the clock of the reporter is not synchronized.
const SYNC_RETRY_INTERVAL: f64 = 1_000.0;

#[derive(Debug)]
pub struct Reporter {
    /// Number of open connections.
    pub open: u32,
    pub received_at: f64,
    process: Option<ReporterProcess>,
    /// A process whose clock is not synchronized yet.
    candidate: Option<ReporterProcess>,
    retired: VecDeque<Boot>,
    echoes: VecDeque<(Echo, f64)>,
    pub hosts: BTreeSet<HostId>,
    /// An interval of its hosts differs from what was sent, or the reporter has just connected.
    pub changed: bool,
    /// Reports above the rates, less the accepted ones.
    excess: u32,
    /// Number of consecutive pauses; each doubles the next one.
    strikes: u32,
}

/// From this excess on, a reporter counts as ignoring its intervals.
const EXCESS_LIMIT: u32 = 16;
/// First pause of reading in ms; doubled each time, up to 1.6 s.
const BASE_PAUSE: f64 = 50.0;
const MAX_STRIKES: u32 = 6;

impl Reporter {
    pub fn new(now: f64) -> Reporter {
        Reporter {
            open: 0,
            received_at: now,
            process: None,
            candidate: None,
            retired: VecDeque::new(),
            echoes: VecDeque::new(),
            hosts: BTreeSet::new(),
            changed: true,
            excess: 0,
            strikes: 0,
        }
    }

    /// Returns the process that sent a batch if it is the active one, and updates its clock from the batch.
    ///
    /// # Errors
    /// `Retired` from a process that was replaced, `Unproven` while its clock is not synchronized.
    pub fn accept_batch(&mut self, now: f64, batch: &Batch) -> Result<&mut ReporterProcess, Refusal> {
        self.received_at = now;
        let sent_at = batch.echo.and_then(|echo| self.echo_sent_at(echo));
        if self.process.as_ref().is_none_or(|process| process.boot != batch.boot) {
            let quiet =
                self.process.as_ref().is_none_or(|process| now - process.received_at > TAKEOVER_DELAY);
            if self.retired.contains(&batch.boot) && !quiet {
                return Err(Refusal::Retired);
            }
            let candidate = self.candidate.take().filter(|candidate| candidate.boot == batch.boot);
            let mut candidate = candidate.unwrap_or_else(|| ReporterProcess::new(batch.boot, now));
            candidate.clock.update(now, batch.sent, sent_at);
            // Batches of an old process left in a queue do not synchronize its clock: they repeat no recent
            // message.
            if !candidate.clock.synchronized() {
                self.candidate = Some(candidate);
                return Err(Refusal::Unproven);
            }
            self.retired.retain(|boot| *boot != batch.boot);
            self.retired.extend(self.process.replace(candidate).map(|process| process.boot));
            if self.retired.len() > MAX_RETIRED {
                self.retired.pop_front();
            }
        } else if let Some(process) = &mut self.process {
            process.clock_epoch += u32::from(!process.clock.update(now, batch.sent, sent_at));
        }
        match &mut self.process {
            Some(process) if process.clock.synchronized() => {
                process.received_at = now;
                Ok(process)
            }
            _ => Err(Refusal::Unproven),
        }
    }

    /// Milliseconds for which the reporter is not to be read after a batch.
    pub fn read_pause(&mut self, excess: u32, taken: u32) -> f64 {
        self.excess = (self.excess + excess).saturating_sub(taken);
        self.strikes = if excess == 0 { 0 } else { self.strikes };
        if self.excess < EXCESS_LIMIT {
            return 0.0;
        }
        (self.excess, self.strikes) = (0, MAX_STRIKES.min(self.strikes + 1));
        BASE_PAUSE * f64::from(1 << (self.strikes - 1))
    }

    fn echo_sent_at(&self, echo: Echo) -> Option<f64> {
        self.echoes.iter().find(|(sent, _)| *sent == echo).map(|(_, sent_at)| *sent_at)
    }

    /// Whether a message of intervals is due.
    pub fn message_due(&self, now: f64) -> bool {
        let since = self.echoes.back().map_or(f64::INFINITY, |(_, sent_at)| now - sent_at);
        let unsynchronized = self.candidate.is_some()
            || !self.process.as_ref().is_some_and(|process| process.clock.synchronized());
        let wait = match (self.changed, unsynchronized) {
            (true, _) => MIN_MESSAGE_INTERVAL,
            (false, true) => SYNC_RETRY_INTERVAL,
            (false, false) => RESYNC_INTERVAL,
        };
        self.open > 0 && since >= wait
    }

    pub fn message_sent(&mut self, now: f64, echo: Echo) {
        self.changed = false;
        self.echoes.push_back((echo, now));
        if self.echoes.len() > MAX_ECHOES {
            self.echoes.pop_front();
        }
    }
}
