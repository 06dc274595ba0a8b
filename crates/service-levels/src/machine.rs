//! State machine that decides which level is in force. One level is in force at a time. The levels are
//! totally ordered, so when several conditions hold at once the deepest requested level wins.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use amberarch_core::ZoneId;

use crate::ladder::{Condition, Ladder, Signal};
use crate::signals::ZoneStats;

/// Minimum time between two changes, in ms. One emergency may come earlier.
pub const MIN_CHANGE_INTERVAL: f64 = 30_000.0;
/// Report rounds that must confirm a condition, so that a single late or corrupted report enters no level.
/// A round covers half of all reports of a zone, so one round is enough where the value exceeds the
/// threshold by half (`CLEAR_EXCESS_FACTOR`).
const CONFIRMING_ROUNDS: u32 = 2;
const CLEAR_EXCESS_FACTOR: f64 = 1.5;
/// Milliseconds after which a condition with no new data no longer counts.
const CONDITION_TTL: f64 = 10_000.0;
/// A zone with a smaller fraction of the fleet's arrivals cannot make the fleet enter a level.
const MIN_TRAFFIC_FRACTION: f64 = 0.05;
/// Clients that retry refused requests inflate the arrivals, so the plan may never see enough capacity to
/// leave a level. Where a level admits all it may and its conditions to leave have held for this long, in
/// ms, the next level up is tried regardless. Before that point the plan finds out by admitting more. The
/// delay doubles after each trial that failed.
const MIN_TRIAL_DELAY: f64 = 60_000.0;
const MAX_TRIAL_DELAY: f64 = 600_000.0;
/// A trial has failed if a level is entered again within this time, in ms.
const TRIAL_FAILURE_WINDOW: f64 = 60_000.0;
const MAX_CHANGES: usize = 32;

/// Why the level changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeReason {
    /// A condition to enter holds in the zone, with this value.
    Entered(Condition, ZoneId, f64),
    Emergency(Condition, ZoneId, f64),
    /// The conditions to leave hold, and the plan has capacity for more.
    Left,
    /// The plan has no capacity for more, but the level admits all it may and the conditions to leave have
    /// held for a long time.
    Trial,
    /// Pinned by an operator until then, in ms.
    Pinned(f64),
    PinEnded,
    /// A restarted controller detected the level from the fraction of arrivals that proxies admit.
    Detected(f64),
}

impl fmt::Display for ChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeReason::Entered(condition, zone, value)
            | ChangeReason::Emergency(condition, zone, value) => {
                let prefix = if matches!(self, ChangeReason::Emergency(..)) { "emergency " } else { "" };
                write!(
                    f,
                    "{prefix}{} {value:.2} over {} in zone {}",
                    condition.signal, condition.value, zone.0
                )
            }
            ChangeReason::Left => f.write_str("what brought it has ended and there is room"),
            ChangeReason::Trial => f.write_str("nothing was wrong for long, more is tried"),
            ChangeReason::Pinned(until) => write!(f, "pinned until {:.0} s", until / 1e3),
            ChangeReason::PinEnded => f.write_str("the pin has ended"),
            ChangeReason::Detected(admitted_fraction) => {
                write!(f, "proxies let in {:.0} % of what comes", 100.0 * admitted_fraction)
            }
        }
    }
}

/// One change of the level; levels are indices into the ladder.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// When it happened, in ms.
    pub at: f64,
    pub from: usize,
    pub to: usize,
    pub why: ChangeReason,
}

/// How long, and in how many report rounds, a condition has held.
#[derive(Clone, Copy, Debug)]
struct ConditionState {
    since: f64,
    last_met_at: f64,
    rounds: u32,
    round: u64,
    /// Value in the last of the rounds.
    value: f64,
}

/// A level that an operator holds in force until `until`, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pin {
    level: usize,
    until: f64,
}

/// The level in force, the state of each condition, and the history of changes.
pub struct LevelMachine {
    level: usize,
    since: f64,
    changed_at: f64,
    /// The last change was an emergency before the minimum interval had passed; the next change has to
    /// wait.
    changed_early: bool,
    enter_states: BTreeMap<(usize, usize, ZoneId), ConditionState>,
    /// The last evaluated round of each zone. Between two rounds the figures mix reports of both, so they
    /// are not evaluated.
    evaluated_rounds: BTreeMap<ZoneId, u64>,
    /// For each level whose conditions to leave all hold: since when, in ms.
    leave_since: BTreeMap<usize, f64>,
    pin: Option<Pin>,
    trial_delay: f64,
    trial_at: f64,
    /// Since when the conditions to leave the level in force have been met for long enough, in ms.
    calm_since: Option<f64>,
    changes: VecDeque<Change>,
}

impl LevelMachine {
    pub fn new(now: f64, level: usize) -> LevelMachine {
        LevelMachine {
            level,
            since: now,
            changed_at: f64::NEG_INFINITY,
            changed_early: false,
            enter_states: BTreeMap::new(),
            evaluated_rounds: BTreeMap::new(),
            leave_since: BTreeMap::new(),
            pin: None,
            trial_delay: MIN_TRIAL_DELAY,
            trial_at: f64::NEG_INFINITY,
            calm_since: None,
            changes: VecDeque::new(),
        }
    }

    pub fn level(&self) -> usize {
        self.level
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

    /// Pins a level until `until` (ms). Emergencies that ask for a deeper level override the pin.
    pub fn pin(&mut self, now: f64, level: usize, until: f64) -> Option<Change> {
        self.pin = Some(Pin { level, until });
        (level != self.level).then(|| self.change(now, level, ChangeReason::Pinned(until)))
    }

    pub fn unpin(&mut self) {
        self.pin = None;
    }

    /// Sets the level that a restarted controller detected.
    pub fn detected(&mut self, now: f64, level: usize, admitted_fraction: f64) -> Option<Change> {
        (level != self.level).then(|| self.change(now, level, ChangeReason::Detected(admitted_fraction)))
    }

    /// Evaluates the current figures. `fits` tells whether the arrivals fit into a level by the plan,
    /// `at_max_shares` that the level in force admits all it may.
    pub fn step(
        &mut self,
        now: f64,
        ladder: &Ladder,
        stats: &BTreeMap<ZoneId, ZoneStats>,
        fits: impl Fn(usize) -> bool,
        at_max_shares: bool,
    ) -> Option<Change> {
        let total_arrivals: f64 = stats.values().flat_map(|stats| stats.arrival_rates.values()).sum();
        let significant = |stats: &ZoneStats| {
            stats.proxies > 0
                && (total_arrivals <= 0.0
                    || stats.arrival_rates.values().sum::<f64>() >= MIN_TRAFFIC_FRACTION * total_arrivals)
        };
        // `enter_zones` may cause a level to be entered; all `observed_zones` must satisfy the conditions
        // before one is left. A zone that has stopped reporting has no share of the arrivals, but is not
        // healthy for that.
        let enter_zones: Vec<(ZoneId, &ZoneStats)> = stats
            .iter()
            .filter(|(_, stats)| significant(stats))
            .map(|(zone, stats)| (*zone, stats))
            .collect();
        let observed_zones: Vec<&ZoneStats> = stats.values().filter(|stats| stats.proxies > 0).collect();
        self.update_conditions(now, ladder, &enter_zones, &observed_zones);
        let due = now - self.changed_at >= MIN_CHANGE_INTERVAL;
        let expired_pin = self.pin.filter(|pin| now >= pin.until);
        if expired_pin.is_some() {
            self.pin = None;
        }
        let floor = self.pin.map_or(self.level, |pin| pin.level);
        // The deepest level whose conditions are met; levels in between may be skipped.
        let requested = (floor.max(self.level) + 1..ladder.depth()).rev().find_map(|level| {
            let (condition, zone, state) = self.confirmed_condition(now, ladder, level)?;
            let emergency = ladder.levels()[level].emergency;
            let allowed = due && self.pin.is_none() || emergency && (due || !self.changed_early);
            allowed.then_some((level, condition, zone, state.value, emergency))
        });
        if let Some((level, condition, zone, value, emergency)) = requested {
            let early = !due;
            if now - self.trial_at < TRIAL_FAILURE_WINDOW {
                self.trial_delay = MAX_TRIAL_DELAY.min(2.0 * self.trial_delay);
            }
            let why = if emergency {
                ChangeReason::Emergency(condition, zone, value)
            } else {
                ChangeReason::Entered(condition, zone, value)
            };
            let change = self.change(now, level, why);
            self.changed_early = early;
            return Some(change);
        }
        if let Some(Pin { level, until }) = self.pin {
            // An emergency that overrode the pin ends like any level, and returns to the pinned level.
            let return_to_pin = self.level > level && due && self.leave_conditions_met(now, ladder);
            return return_to_pin.then(|| self.change(now, level, ChangeReason::Pinned(until)));
        }
        self.leave(now, ladder, due, expired_pin.is_some(), fits, at_max_shares)
    }

    fn leave(
        &mut self,
        now: f64,
        ladder: &Ladder,
        due: bool,
        pin_ended: bool,
        fits: impl Fn(usize) -> bool,
        at_max_shares: bool,
    ) -> Option<Change> {
        let calm = self.level > 0 && self.leave_conditions_met(now, ladder);
        self.calm_since = if calm { self.calm_since.or(Some(now)) } else { None };
        let stayed = now - self.since >= ladder.levels()[self.level].stay;
        if !(calm && stayed && due) {
            return None;
        }
        let to = self.level - 1;
        if fits(to) {
            if now - self.trial_at >= TRIAL_FAILURE_WINDOW {
                self.trial_delay = MIN_TRIAL_DELAY;
            }
            let why = if pin_ended { ChangeReason::PinEnded } else { ChangeReason::Left };
            return Some(self.change(now, to, why));
        }
        let quiet = self.calm_since.is_some_and(|since| now - since >= self.trial_delay);
        (quiet && at_max_shares).then(|| {
            self.trial_at = now;
            self.change(now, to, ChangeReason::Trial)
        })
    }

    fn change(&mut self, now: f64, to: usize, why: ChangeReason) -> Change {
        let change = Change { at: now, from: self.level, to, why };
        (self.level, self.since, self.changed_at, self.changed_early) = (to, now, now, false);
        // Observations made under another level say nothing about this one.
        self.leave_since.clear();
        self.calm_since = None;
        if to < change.from {
            self.enter_states.clear();
        }
        self.changes.push_back(change.clone());
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        change
    }

    /// Tracks for each condition how long and in how many rounds it has held.
    fn update_conditions(
        &mut self,
        now: f64,
        ladder: &Ladder,
        enter_zones: &[(ZoneId, &ZoneStats)],
        observed_zones: &[&ZoneStats],
    ) {
        for (level, definition) in ladder.levels().iter().enumerate().skip(1) {
            for (index, condition) in definition.enter.iter().enumerate() {
                let independent = independent_of_reports(condition.signal);
                let new_round =
                    |zone: &ZoneId, stats: &ZoneStats| self.evaluated_rounds.get(zone) != Some(&stats.round);
                for (zone, stats) in
                    enter_zones.iter().filter(|(zone, stats)| independent || new_round(zone, stats))
                {
                    let key = (level, index, *zone);
                    match stats.values.get(&condition.signal).copied() {
                        Some(value) if value > condition.value => {
                            let round = stats.round;
                            let first =
                                ConditionState { since: now, last_met_at: now, rounds: 1, round, value };
                            let state = self.enter_states.entry(key).or_insert(first);
                            state.rounds += u32::from(state.round != round);
                            (state.last_met_at, state.round, state.value) = (now, round, value);
                        }
                        Some(_) => drop(self.enter_states.remove(&key)),
                        None => {}
                    }
                }
            }
            let below = |condition: &Condition| {
                // Missing data does not satisfy a condition to leave, and neither does a fleet without any
                // reporting zone.
                let satisfied = |stats: &&ZoneStats| {
                    stats.values.get(&condition.signal).is_some_and(|value| *value < condition.value)
                };
                !observed_zones.is_empty() && observed_zones.iter().all(satisfied)
            };
            match definition.leave.iter().all(below) {
                true => drop(self.leave_since.entry(level).or_insert(now)),
                false => drop(self.leave_since.remove(&level)),
            }
        }
        self.evaluated_rounds.extend(enter_zones.iter().map(|(zone, stats)| (*zone, stats.round)));
        self.enter_states.retain(|_, state| now - state.last_met_at < CONDITION_TTL);
    }

    /// The first of a level's conditions to enter that is confirmed, if any.
    fn confirmed_condition(
        &self,
        now: f64,
        ladder: &Ladder,
        level: usize,
    ) -> Option<(Condition, ZoneId, ConditionState)> {
        let conditions = &ladder.levels()[level].enter;
        self.enter_states.range((level, 0, ZoneId(0))..(level + 1, 0, ZoneId(0))).find_map(
            |((_, index, zone), state)| {
                let condition = conditions[*index];
                // These signals do not depend on reports, so rounds do not count for them.
                let independent = matches!(condition.signal, Signal::Unseen | Signal::Out | Signal::Load);
                let known = independent
                    || state.rounds >= CONFIRMING_ROUNDS
                    || state.value >= CLEAR_EXCESS_FACTOR * condition.value;
                (known && now - state.since >= condition.lasting).then_some((condition, *zone, *state))
            },
        )
    }

    /// Whether all conditions to leave the level in force have held for as long as each requires.
    fn leave_conditions_met(&self, now: f64, ladder: &Ladder) -> bool {
        let longest =
            ladder.levels()[self.level].leave.iter().map(|condition| condition.lasting).fold(0.0, f64::max);
        self.leave_since.get(&self.level).is_some_and(|since| now - since >= longest)
    }
}

/// Whether the signal is observed without traffic reports.
fn independent_of_reports(signal: Signal) -> bool {
    matches!(signal, Signal::Unseen | Signal::Out | Signal::Load)
}
