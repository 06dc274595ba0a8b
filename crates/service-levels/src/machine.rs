//! Which level is in force, and why. One at a time; the order of the ladder is total, so overlapping troubles come
//! to the deepest level that any of them asks for.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use amberarch_core::ZoneId;

use crate::ladder::{Condition, Ladder, Signal};
use crate::signals::Seen;

/// At most one change in so long, but for one emergency.
pub const BETWEEN: f64 = 30_000.0;
/// So many rounds must bear a condition out: one sum that is late or spoilt enters nothing. A round is half of all
/// that tells of a zone, so one is enough where it is over by half of the value again.
const ROUNDS: u32 = 2;
const FAR: f64 = 1.5;
/// What is not known for so long bears nothing out any more.
const FORGET: f64 = 10_000.0;
/// A zone with less of all that comes cannot bring the fleet down a level.
const MATTERS: f64 = 0.05;
/// Clients that ask again for what they were refused make more come than there is. Where a level lets in all that
/// it may and nothing is wrong for so long, the next is tried although the plan sees no room for it. Below that
/// the plan finds out by letting in more. Doubled after each try that failed.
const TRIAL: f64 = 60_000.0;
const LONGEST_TRIAL: f64 = 600_000.0;
/// A try has failed if the level is back within so long.
const FAILED: f64 = 60_000.0;
const REMEMBERED: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    Entered(Condition, ZoneId, f64),
    Emergency(Condition, ZoneId, f64),
    /// All that brought it has ended, and the plan has room for more.
    Left,
    /// The plan sees no room, but all that may be is let in and nothing has been wrong for a long time.
    Tried,
    Pinned(f64),
    PinEnded,
    /// A steward that started anew found it at the proxies: they let in that part of what comes.
    Found(f64),
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Entered(on, zone, value) | Why::Emergency(on, zone, value) => {
                let how = if matches!(self, Why::Emergency(..)) { "emergency " } else { "" };
                write!(f, "{how}{} {value:.2} over {} in zone {}", on.signal, on.value, zone.0)
            }
            Why::Left => f.write_str("what brought it has ended and there is room"),
            Why::Tried => f.write_str("nothing was wrong for long, more is tried"),
            Why::Pinned(until) => write!(f, "pinned until {:.0} s", until / 1e3),
            Why::PinEnded => f.write_str("the pin has ended"),
            Why::Found(part) => write!(f, "proxies let in {:.0} % of what comes", 100.0 * part),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub from: usize,
    pub to: usize,
    pub why: Why,
}

/// For how long, and in how many rounds, something has held.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: f64,
    last: f64,
    rounds: u32,
    round: u64,
    /// In the last of them.
    value: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Pin {
    level: usize,
    until: f64,
}

pub struct Machine {
    at: usize,
    since: f64,
    changed: f64,
    /// An emergency has come before its time; the next change waits for its own.
    pre_empted: bool,
    entering: BTreeMap<(usize, usize, ZoneId), Held>,
    /// The round of each zone that was looked at last: between two, figures are of one and the other.
    rounds: BTreeMap<ZoneId, u64>,
    leaving: BTreeMap<usize, f64>,
    pin: Option<Pin>,
    trial: f64,
    tried_at: f64,
    quiet_since: Option<f64>,
    changes: VecDeque<Change>,
}

impl Machine {
    pub fn new(now: f64, at: usize) -> Machine {
        Machine {
            at,
            since: now,
            changed: f64::NEG_INFINITY,
            pre_empted: false,
            entering: BTreeMap::new(),
            rounds: BTreeMap::new(),
            leaving: BTreeMap::new(),
            pin: None,
            trial: TRIAL,
            tried_at: f64::NEG_INFINITY,
            quiet_since: None,
            changes: VecDeque::new(),
        }
    }

    pub fn at(&self) -> usize {
        self.at
    }

    pub fn since(&self) -> f64 {
        self.since
    }

    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    pub fn pinned(&self) -> Option<(usize, f64)> {
        self.pin.map(|pin| (pin.level, pin.until))
    }

    /// An operator's word: that level until then, in ms. Deeper emergencies go before it.
    pub fn pin(&mut self, now: f64, level: usize, until: f64) -> Option<Change> {
        self.pin = Some(Pin { level, until });
        (level != self.at).then(|| self.change(now, level, Why::Pinned(until)))
    }

    pub fn unpin(&mut self) {
        self.pin = None;
    }

    /// What a steward that started anew found in force.
    pub fn found(&mut self, now: f64, level: usize, part: f64) -> Option<Change> {
        (level != self.at).then(|| self.change(now, level, Why::Found(part)))
    }

    /// Looks at what is seen now. `fits` tells whether what comes would fit into a level by the plan, `spent` that
    /// the level in force lets in all that it may.
    pub fn step(
        &mut self,
        now: f64,
        ladder: &Ladder,
        seen: &BTreeMap<ZoneId, Seen>,
        fits: impl Fn(usize) -> bool,
        spent: bool,
    ) -> Option<Change> {
        let all: f64 = seen.values().flat_map(|seen| seen.came.values()).sum();
        let matters = |seen: &Seen| {
            seen.proxies > 0 && (all <= 0.0 || seen.came.values().sum::<f64>() >= MATTERS * all)
        };
        // Whose figures may bring a level, and whose must be well before one is left: a zone that is not seen any
        // more has no share of what comes, and is not well for that.
        let bring: Vec<(ZoneId, &Seen)> =
            seen.iter().filter(|(_, seen)| matters(seen)).map(|(zone, seen)| (*zone, seen)).collect();
        let keep: Vec<&Seen> = seen.values().filter(|seen| seen.proxies > 0).collect();
        self.gather(now, ladder, &bring, &keep);
        let due = now - self.changed >= BETWEEN;
        let ended = self.pin.filter(|pin| now >= pin.until);
        if ended.is_some() {
            self.pin = None;
        }
        let floor = self.pin.map_or(self.at, |pin| pin.level);
        // The deepest that anything asks for; levels between may be passed over.
        let asked = (floor.max(self.at) + 1..ladder.depth()).rev().find_map(|level| {
            let (on, zone, held) = self.borne_out(now, ladder, level)?;
            let emergency = ladder.levels()[level].emergency;
            let may = due && self.pin.is_none() || emergency && (due || !self.pre_empted);
            may.then_some((level, on, zone, held.value, emergency))
        });
        if let Some((level, on, zone, value, emergency)) = asked {
            let early = !due;
            if now - self.tried_at < FAILED {
                self.trial = LONGEST_TRIAL.min(2.0 * self.trial);
            }
            let why = if emergency { Why::Emergency(on, zone, value) } else { Why::Entered(on, zone, value) };
            let change = self.change(now, level, why);
            self.pre_empted = early;
            return Some(change);
        }
        if let Some(Pin { level, until }) = self.pin {
            // An emergency that went before the pin ends like any level, down to where the pin holds.
            let back = self.at > level && due && self.calm(now, ladder);
            return back.then(|| self.change(now, level, Why::Pinned(until)));
        }
        self.leave(now, ladder, due, ended.is_some(), fits, spent)
    }

    fn leave(
        &mut self,
        now: f64,
        ladder: &Ladder,
        due: bool,
        pin_ended: bool,
        fits: impl Fn(usize) -> bool,
        spent: bool,
    ) -> Option<Change> {
        let calm = self.at > 0 && self.calm(now, ladder);
        self.quiet_since = if calm { self.quiet_since.or(Some(now)) } else { None };
        let stayed = now - self.since >= ladder.levels()[self.at].stay;
        if !(calm && stayed && due) {
            return None;
        }
        let to = self.at - 1;
        if fits(to) {
            if now - self.tried_at >= FAILED {
                self.trial = TRIAL;
            }
            let why = if pin_ended { Why::PinEnded } else { Why::Left };
            return Some(self.change(now, to, why));
        }
        let quiet = self.quiet_since.is_some_and(|since| now - since >= self.trial);
        (quiet && spent).then(|| {
            self.tried_at = now;
            self.change(now, to, Why::Tried)
        })
    }

    fn change(&mut self, now: f64, to: usize, why: Why) -> Change {
        let change = Change { at: now, from: self.at, to, why };
        (self.at, self.since, self.changed, self.pre_empted) = (to, now, now, false);
        // What was seen under another level says nothing of this one.
        self.leaving.clear();
        self.quiet_since = None;
        if to < change.from {
            self.entering.clear();
        }
        self.changes.push_back(change.clone());
        if self.changes.len() > REMEMBERED {
            self.changes.pop_front();
        }
        change
    }

    /// Counts, condition by condition, for how long each has held and in how many rounds.
    fn gather(&mut self, now: f64, ladder: &Ladder, bring: &[(ZoneId, &Seen)], keep: &[&Seen]) {
        for (level, of) in ladder.levels().iter().enumerate().skip(1) {
            for (place, on) in of.enter.iter().enumerate() {
                let plain = seen_without_sums(on.signal);
                let whole = |zone: &ZoneId, seen: &Seen| self.rounds.get(zone) != Some(&seen.round);
                for (zone, seen) in bring.iter().filter(|(zone, seen)| plain || whole(zone, seen)) {
                    let key = (level, place, *zone);
                    match seen.values.get(&on.signal).copied() {
                        Some(value) if value > on.value => {
                            let round = seen.round;
                            let first = Held { since: now, last: now, rounds: 1, round, value };
                            let held = self.entering.entry(key).or_insert(first);
                            held.rounds += u32::from(held.round != round);
                            (held.last, held.round, held.value) = (now, round, value);
                        }
                        Some(_) => drop(self.entering.remove(&key)),
                        None => {}
                    }
                }
            }
            let over = |on: &Condition| {
                // Unknown is not good, and a fleet of which nothing is seen is not either.
                let fine = |seen: &&Seen| seen.values.get(&on.signal).is_some_and(|value| *value < on.value);
                !keep.is_empty() && keep.iter().all(fine)
            };
            match of.leave.iter().all(over) {
                true => drop(self.leaving.entry(level).or_insert(now)),
                false => drop(self.leaving.remove(&level)),
            }
        }
        self.rounds.extend(bring.iter().map(|(zone, seen)| (*zone, seen.round)));
        self.entering.retain(|_, held| now - held.last < FORGET);
    }

    /// The first of a level's conditions to enter that holds, where one does.
    fn borne_out(&self, now: f64, ladder: &Ladder, level: usize) -> Option<(Condition, ZoneId, Held)> {
        let conditions = &ladder.levels()[level].enter;
        self.entering.range((level, 0, ZoneId(0))..(level + 1, 0, ZoneId(0))).find_map(
            |((_, place, zone), held)| {
                let on = conditions[*place];
                // These are seen without sums, so rounds tell nothing of them.
                let plain = matches!(on.signal, Signal::Unseen | Signal::Out | Signal::Load);
                let known = plain || held.rounds >= ROUNDS || held.value >= FAR * on.value;
                (known && now - held.since >= on.lasting).then_some((on, *zone, *held))
            },
        )
    }

    /// All conditions to leave the level in force have held for as long as each asks.
    fn calm(&self, now: f64, ladder: &Ladder) -> bool {
        let longest = ladder.levels()[self.at].leave.iter().map(|on| on.lasting).fold(0.0, f64::max);
        self.leaving.get(&self.at).is_some_and(|since| now - since >= longest)
    }
}

/// Rounds of sums tell nothing of these.
fn seen_without_sums(signal: Signal) -> bool {
    matches!(signal, Signal::Unseen | Signal::Out | Signal::Load)
}
