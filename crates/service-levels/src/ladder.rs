//! The ladder of service levels that an operator configures, from full service down, and its validation.

use std::collections::BTreeMap;
use std::fmt;

use amberarch_core::{ClassId, Idempotency, RequestClass, RetryPolicy};

/// A measured property of a zone; 0 means that nothing is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Mean latency of successful answers divided by their latency target. The failed fraction of tries is
    /// added where answers are slow or none succeeds.
    Pressure,
    /// Fraction of tries that failed.
    Voided,
    /// Fraction of tries sent to hosts whose mean latency exceeds the latency target.
    Late,
    /// Fraction of the listed weight that is withdrawn or gone.
    Out,
    /// Fraction of the expected reports about the zone that are missing.
    Unseen,
    /// Median estimated load of the zone's hosts; present only where hosts report loads.
    Load,
}

/// The names of the signals in settings and logs.
pub const SIGNALS: [(Signal, &str); 6] = [
    (Signal::Pressure, "pressure"),
    (Signal::Voided, "voided"),
    (Signal::Late, "late"),
    (Signal::Out, "out"),
    (Signal::Unseen, "unseen"),
    (Signal::Load, "load"),
];

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = SIGNALS.iter().find(|(signal, _)| signal == self);
        f.write_str(found.map_or("", |(_, name)| name))
    }
}

/// A signal that is above (to enter) or below (to leave) `value` for `lasting` milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    pub signal: Signal,
    pub value: f64,
    pub lasting: f64,
}

/// Bounds on the share of a request class that a level admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keep {
    /// At least this share is admitted.
    pub least: f64,
    /// At most this share is admitted, even if there is capacity for more.
    pub most: f64,
}

impl Keep {
    pub const ALL: Keep = Keep { least: 1.0, most: 1.0 };
}

/// A named level of reduced service.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    pub name: String,
    /// Request classes that are not named are admitted in full.
    pub keep: BTreeMap<ClassId, Keep>,
    pub tries: RetryPolicy,
    /// The level is entered when any of these holds in a zone with a significant part of the traffic.
    pub enter: Vec<Condition>,
    /// The level is left when all of these hold in all zones.
    pub leave: Vec<Condition>,
    /// Minimum time in this level, in ms.
    pub stay: f64,
    /// The level may be entered before 30 s have passed since the last change.
    pub emergency: bool,
    /// The level may shed a non-idempotent class before an idempotent class of lower value density.
    pub force: bool,
}

impl Level {
    pub fn keep(&self, class: ClassId) -> Keep {
        self.keep.get(&class).copied().unwrap_or(Keep::ALL)
    }
}

/// Why a ladder is invalid. The first field is the index of the level, counted from full service.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LadderError {
    #[error("a ladder has full service and at least one level below it")]
    TooShort,
    #[error("the first level must be full service: it sheds nothing and has no conditions")]
    FirstLevelNotFull,
    #[error("two levels are named {1}")]
    DuplicateName(usize, String),
    #[error("level {1} keeps {2} to {3} of a product; expected 0 to 1, the lesser first")]
    InvalidShares(usize, String, f64, f64),
    #[error("level {1} can't be entered: it has no condition to enter")]
    NoEnterCondition(usize, String),
    #[error("level {1} can't be left: it has no condition to leave")]
    NoLeaveCondition(usize, String),
    #[error("level {1} is left at {2} = {4} and entered at {3}: it would be left while it is entered")]
    OverlappingThresholds(usize, String, Signal, f64, f64),
    #[error("level {1} has {2} as a condition to enter but not as one to leave: each signal that enters a level must also end it")]
    MissingLeaveSignal(usize, String, Signal),
    #[error("level {1} is unreachable: {2} is entered under the same or weaker conditions")]
    Unreachable(usize, String, String),
    #[error("level {1} keeps more of a request class than {2} above it")]
    KeepsMoreThanPrevious(usize, String, String),
    #[error(
        "level {1} sheds the once-only product {2} before the inquiry-like product {3}, which earns less for its \
         work; force = true if that is meant"
    )]
    NonIdempotentShedFirst(usize, String, String, String),
}

impl LadderError {
    /// Index of the invalid level.
    pub fn level(&self) -> usize {
        match self {
            LadderError::TooShort | LadderError::FirstLevelNotFull => 0,
            LadderError::DuplicateName(index, ..)
            | LadderError::InvalidShares(index, ..)
            | LadderError::NoEnterCondition(index, ..)
            | LadderError::NoLeaveCondition(index, ..)
            | LadderError::OverlappingThresholds(index, ..)
            | LadderError::MissingLeaveSignal(index, ..)
            | LadderError::Unreachable(index, ..)
            | LadderError::KeepsMoreThanPrevious(index, ..)
            | LadderError::NonIdempotentShedFirst(index, ..) => *index,
        }
    }
}

/// A validated list of levels, from full service down.
#[derive(Clone, Debug, PartialEq)]
pub struct Ladder(Vec<Level>);

/// Value per unit of work of a request class; the latency target stands in for the work of one request.
pub fn value_density(class: &RequestClass) -> f64 {
    class.value / class.latency_target.max(1e-9)
}

impl Ladder {
    /// # Errors
    /// The first fault found: a ladder with a missing or overlapping condition, an unreachable level, or a
    /// non-idempotent class that is shed before one of lower value density.
    pub fn new(levels: Vec<Level>, classes: &[(String, RequestClass)]) -> Result<Ladder, LadderError> {
        let Some(full) = levels.first().filter(|_| levels.len() > 1) else {
            return Err(LadderError::TooShort);
        };
        if !full.keep.is_empty() || !full.enter.is_empty() || !full.leave.is_empty() {
            return Err(LadderError::FirstLevelNotFull);
        }
        for (index, level) in levels.iter().enumerate().skip(1) {
            let above = &levels[index - 1];
            let name = || level.name.clone();
            if levels[..index].iter().any(|other| other.name == level.name) {
                return Err(LadderError::DuplicateName(index, name()));
            }
            for Keep { least, most } in level.keep.values().copied() {
                // The comparison is negated so that NaN is rejected too.
                if !(0.0 <= least && least <= most && most <= 1.0) {
                    return Err(LadderError::InvalidShares(index, name(), least, most));
                }
            }
            if level.enter.is_empty() {
                return Err(LadderError::NoEnterCondition(index, name()));
            }
            if level.leave.is_empty() {
                return Err(LadderError::NoLeaveCondition(index, name()));
            }
            for enter in &level.enter {
                let leave = level.leave.iter().find(|leave| leave.signal == enter.signal);
                let Some(leave) = leave else {
                    return Err(LadderError::MissingLeaveSignal(index, name(), enter.signal));
                };
                // `partial_cmp` returns `None` for NaN, which is rejected too.
                if leave.value.partial_cmp(&enter.value) != Some(std::cmp::Ordering::Less) {
                    return Err(LadderError::OverlappingThresholds(
                        index,
                        name(),
                        enter.signal,
                        enter.value,
                        leave.value,
                    ));
                }
            }
            // If a deeper level is entered by conditions at most as strict as each of this level's, it is
            // always chosen instead.
            let unreachable_by = levels[index + 1..].iter().find(|deeper| {
                let weaker = |condition: &Condition| {
                    deeper.enter.iter().any(|other| {
                        other.signal == condition.signal
                            && other.value <= condition.value
                            && other.lasting <= condition.lasting
                    })
                };
                level.enter.iter().all(weaker)
            });
            if let Some(deeper) = unreachable_by {
                return Err(LadderError::Unreachable(index, name(), deeper.name.clone()));
            }
            let ids = (0..classes.len() as u16).map(ClassId);
            if ids.clone().any(|id| level.keep(id).least > above.keep(id).least) {
                return Err(LadderError::KeepsMoreThanPrevious(index, name(), above.name.clone()));
            }
            if let Some((first, less)) = level.misordered_classes(classes).filter(|_| !level.force) {
                return Err(LadderError::NonIdempotentShedFirst(index, name(), first, less));
            }
        }
        Ok(Ladder(levels))
    }

    pub fn levels(&self) -> &[Level] {
        &self.0
    }

    pub fn depth(&self) -> usize {
        self.0.len()
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|level| level.name == name)
    }
}

impl Level {
    /// Finds a non-idempotent class that may be shed further than an idempotent class of lower value
    /// density.
    fn misordered_classes(&self, classes: &[(String, RequestClass)]) -> Option<(String, String)> {
        let each = || (0..).map(ClassId).zip(classes);
        each().filter(|(_, (_, class))| class.idempotency == Idempotency::NonIdempotent).find_map(
            |(id, (name, once))| {
                let less = each().find(|(other, (_, class))| {
                    class.idempotency == Idempotency::Idempotent
                        && value_density(class) < value_density(once)
                        && (self.keep(*other).least > self.keep(id).least
                            || self.keep(*other).most > self.keep(id).most)
                });
                less.map(|(_, (less, _))| (name.clone(), less.clone()))
            },
        )
    }
}
