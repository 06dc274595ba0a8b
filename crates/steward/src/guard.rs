//! The guard in the daemon: it hears what the desk hears, and looks at each reply before it goes to the relay. No
//! choice here.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

use amberarch_core::{Event, Order};
use amberarch_guard::{Breach, Counts, Door, Facts, Guard, Mode};
use amberarch_operator::{Guard as Section, GuardMode};
use slog::{error, warn, Logger};

use crate::counters::Seldom;

/// What is told on SIGUSR1: counts, and the last that was held back.
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

/// The door of this run, where the section has one.
pub struct Keeper {
    door: Door,
    /// How far the guard's line of calls went when residency's was so far.
    places: VecDeque<(u64, u64)>,
    /// Residency's judge is there too, and the relay answers by its places.
    beside: bool,
    seldom: Seldom,
    shown: Rc<Shown>,
    log: Logger,
}

impl Keeper {
    /// None where it is off.
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

    /// What happened, as it happened.
    pub fn hear(&mut self, now: f64, event: &Event) {
        self.door.hear(now, event);
    }

    /// Of what the decisions are about to hear, that of which they hear alone. Who joined or left, the list and marks
    /// were told when they came: decisions that start anew hear of those again.
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

    /// What of a reply goes out, how far the line of calls goes with it, and whether the decisions have to plan anew.
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
                warn!(self.log, "the guard's picture was wrong"; "what" => %finding, "hidden" => hidden);
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

    /// Residency's judge took that reply in up to that place of its own, and left these out.
    pub fn sifted(&mut self, judged: u64, refused: &[Order]) {
        self.beside = true;
        self.door.guard().gave_up(refused);
        self.places.push_back((judged, self.door.guard().place()));
    }

    /// The relay has answered for all up to that place.
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

    /// The decisions start anew.
    pub fn anew(&mut self) {
        self.door.anew();
    }
}
