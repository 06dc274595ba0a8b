//! Guard adapter: passes the event loop's events to the guard and has it check each reply before it goes to the relay. It
//! makes no decisions itself.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

use amberarch_core::{Event, Order};
use amberarch_guard::{Breach, Counts, Door, Facts, Guard, Mode};
use amberarch_operator::{Guard as Section, GuardMode};
use slog::{error, warn, Logger};

use crate::counters::Seldom;

/// Shown on SIGUSR1: counters, and the latest orders that were held back.
#[derive(Default)]
pub struct Shown {
    counts: Cell<Counts>,
    last: RefCell<VecDeque<(f64, Breach)>>,
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { batches, mended, refused, by_rule, least_bad, anew, wrong } = self.counts.get();
        let [drain, bare, pushed, queue] = by_rule;
        write!(
            f,
            "batches={batches} mended={mended} refused={refused} drain={drain} bare={bare} pushed={pushed} "
        )?;
        write!(f, "queue={queue} least_bad={least_bad} anew={anew} wrong={wrong}")?;
        for (at, breach) in self.last.borrow().iter() {
            write!(f, "\n  {:.1} s after the start: {breach}", at / 1e3)?;
        }
        Ok(())
    }
}

/// The guard of this daemon.
pub struct Keeper {
    door: Door,
    /// Positions in the residency judge's sequence of calls, each with the guard's own position at that time.
    places: VecDeque<(u64, u64)>,
    /// The residency judge is in use too, and the relay's answers count by its positions.
    beside: bool,
    seldom: Seldom,
    shown: Rc<Shown>,
    log: Logger,
}

impl Keeper {
    /// `None` if the guard is off.
    pub fn new(section: &Section, facts: Facts, log: &Logger) -> Option<Keeper> {
        let mode = match section.mode {
            GuardMode::Off => return None,
            GuardMode::Watch => Mode::Watch,
            GuardMode::Enforce => Mode::Enforce,
        };
        let each = section.txns_per_s_per_weight.as_ref().map(|each| *each.get_ref());
        let door = Door::new(Guard::new(facts.with_per_weight(each)), mode);
        let (places, seldom, shown) = (VecDeque::new(), Seldom::default(), Rc::default());
        Some(Keeper { door, places, beside: false, seldom, shown, log: log.clone() })
    }

    pub fn shown(&self) -> Rc<Shown> {
        self.shown.clone()
    }

    /// Passes on an event when it happens.
    pub fn hear(&mut self, now: f64, event: &Event) {
        self.door.hear(now, event);
    }

    /// Passes on those events of a decision that [`hear`](Self::hear) did not receive: reports, probe results and reach
    /// rules. Joins, leaves, the list and marks were passed on when they arrived; a restarted controller receives them
    /// again.
    pub fn see(&mut self, now: f64, events: &[Event]) {
        let seen = |event: &&Event| {
            matches!(
                event,
                Event::HostReport { .. }
                    | Event::ProxyReport { .. }
                    | Event::ProbeResult { .. }
                    | Event::ReachRule { .. }
            )
        };
        events.iter().filter(seen).for_each(|event| self.door.hear(now, event));
    }

    /// Checks a reply. Returns the orders to send, the position in the sequence of calls after them, and whether the
    /// controller has to be restarted.
    pub fn pass(&mut self, now: f64, orders: Vec<Order>) -> (Vec<Order>, u64, bool) {
        let passed = self.door.pass(now, orders);
        let enforced = self.door.mode() == Mode::Enforce;
        for breach in &passed.why {
            if let Some(hidden) = self.seldom.pass() {
                warn!(self.log, "the guard"; "holds back" => enforced, "why" => %breach, "price" => passed.price,
                    "advice" => breach.advice(), "hidden" => hidden);
            }
        }
        for finding in &passed.findings {
            if let Some(hidden) = self.seldom.pass() {
                warn!(self.log, "the guard's model was wrong"; "what" => %finding, "hidden" => hidden);
            }
        }
        if passed.anew {
            error!(self.log, "orders were held back for too long; the decisions start anew");
        }
        self.shown.counts.set(self.door.counts());
        if !passed.why.is_empty() {
            *self.shown.last.borrow_mut() = self.door.last().copied().collect();
        }
        (passed.orders, self.door.guard().place(), passed.anew)
    }

    /// Records the residency judge's position after a reply, and the orders that it refused.
    pub fn sifted(&mut self, judged: u64, refused: &[Order]) {
        self.beside = true;
        self.door.guard().gave_up(refused);
        self.places.push_back((judged, self.door.guard().place()));
    }

    /// Records that the relay has answered everything up to this position.
    pub fn answered(&mut self, now: f64, place: u64) {
        let mut own = if self.beside { 0 } else { place };
        while let Some((_, here)) = self.places.front().copied().filter(|judged| judged.0 <= place) {
            self.places.pop_front();
            own = here;
        }
        self.door.guard().answered(now, own);
    }

    pub fn gave_up(&mut self, orders: &[Order]) {
        self.door.guard().gave_up(orders);
    }

    pub fn waits(&self) -> bool {
        self.door.waits()
    }

    /// Records a restart of the controller.
    pub fn anew(&mut self) {
        self.door.anew();
    }
}
