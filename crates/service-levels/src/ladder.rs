//! The levels that an operator names, from full service down, and what makes a ladder that can't serve.

use std::collections::BTreeMap;
use std::fmt;

use amberarch_core::{Effect, Product, ProductId, Tries};

/// What is seen of a zone, each figure from 0 (nothing wrong).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Mean good answer over its SLA time, plus the voided part of tries where answers are slow or none is good.
    Pressure,
    /// The voided part of tries.
    Voided,
    /// The part of tries at hosts whose mean good answer is over its SLA time.
    Late,
    /// The part of the listed weight that is shut out or gone.
    Out,
    /// The part of what should tell of the zone that has fallen silent.
    Unseen,
    /// Median believed load of its hosts; only where loads are told.
    Load,
}

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

/// A signal over (to enter) or under (to leave) a value, for so long, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    pub signal: Signal,
    pub value: f64,
    pub lasting: f64,
}

/// How much of a product a level may shed, and must.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keep {
    /// At least this share is let in.
    pub least: f64,
    /// At most this share is let in, whatever room there is.
    pub most: f64,
}

impl Keep {
    pub const WHOLE: Keep = Keep { least: 1.0, most: 1.0 };
}

#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    pub name: String,
    /// Products that are not named are kept whole.
    pub keep: BTreeMap<ProductId, Keep>,
    pub tries: Tries,
    /// Entered when any of these holds in a zone that matters.
    pub enter: Vec<Condition>,
    /// Left when all of these hold in all zones.
    pub leave: Vec<Condition>,
    /// It lasts at least so long, in ms.
    pub stay: f64,
    /// Its entry may come before 30 s have passed since the last change.
    pub emergency: bool,
    /// It may shed a once-only product before a less worthy one.
    pub force: bool,
}

impl Level {
    pub fn keep(&self, product: ProductId) -> Keep {
        self.keep.get(&product).copied().unwrap_or(Keep::WHOLE)
    }
}

/// What is wrong with a ladder, and at which level, counted from full service.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("a ladder has full service and at least one level below it")]
    TooShort,
    #[error("the first level is full service: nothing is shed in it and nothing enters it")]
    NotFull,
    #[error("two levels are named {1}")]
    Twice(usize, String),
    #[error("level {1} keeps {2} to {3} of a product; expected 0 to 1, the lesser first")]
    Shares(usize, String, f64, f64),
    #[error("level {1} can't be entered: it has no condition to enter")]
    NoWayIn(usize, String),
    #[error("level {1} can't be left: it has no condition to leave")]
    NoWayOut(usize, String),
    #[error("level {1} is left at {2} = {4} and entered at {3}: it would be left while it is entered")]
    Overlap(usize, String, Signal, f64, f64),
    #[error("level {1} is entered by {2} and not left by it: what enters must be seen to end")]
    NotSeenToEnd(usize, String, Signal),
    #[error("level {1} is never in force: {2} is entered by the same or less")]
    Unreachable(usize, String, String),
    #[error("level {1} keeps more of a product than {2} above it")]
    NotDeeper(usize, String, String),
    #[error(
        "level {1} sheds the once-only product {2} before the inquiry-like product {3}, which earns less for its \
         work; force = true if that is meant"
    )]
    OnceOnlyFirst(usize, String, String, String),
}

impl Unfit {
    /// The level that is wrong.
    pub fn level(&self) -> usize {
        match self {
            Unfit::TooShort | Unfit::NotFull => 0,
            Unfit::Twice(at, ..)
            | Unfit::Shares(at, ..)
            | Unfit::NoWayIn(at, ..)
            | Unfit::NoWayOut(at, ..)
            | Unfit::Overlap(at, ..)
            | Unfit::NotSeenToEnd(at, ..)
            | Unfit::Unreachable(at, ..)
            | Unfit::NotDeeper(at, ..)
            | Unfit::OnceOnlyFirst(at, ..) => *at,
        }
    }
}

/// Levels that can serve, from full service down.
#[derive(Clone, Debug, PartialEq)]
pub struct Ladder(Vec<Level>);

/// What a product earns for its work; the SLA time stands in for the work of one.
pub fn worth(product: &Product) -> f64 {
    product.revenue / product.sla.max(1e-9)
}

impl Ladder {
    /// # Errors
    /// The first thing that would leave the ladder with a gap, an overlap, a level that is never in force, or a
    /// once-only product that goes before a less worthy one.
    pub fn new(levels: Vec<Level>, products: &[(String, Product)]) -> Result<Ladder, Unfit> {
        let Some(full) = levels.first().filter(|_| levels.len() > 1) else { return Err(Unfit::TooShort) };
        if !full.keep.is_empty() || !full.enter.is_empty() || !full.leave.is_empty() {
            return Err(Unfit::NotFull);
        }
        for (at, level) in levels.iter().enumerate().skip(1) {
            let above = &levels[at - 1];
            let name = || level.name.clone();
            if levels[..at].iter().any(|other| other.name == level.name) {
                return Err(Unfit::Twice(at, name()));
            }
            for Keep { least, most } in level.keep.values().copied() {
                // Written so that what is not a number fails too.
                if !(0.0 <= least && least <= most && most <= 1.0) {
                    return Err(Unfit::Shares(at, name(), least, most));
                }
            }
            if level.enter.is_empty() {
                return Err(Unfit::NoWayIn(at, name()));
            }
            if level.leave.is_empty() {
                return Err(Unfit::NoWayOut(at, name()));
            }
            for enter in &level.enter {
                let out = level.leave.iter().find(|leave| leave.signal == enter.signal);
                let Some(out) = out else { return Err(Unfit::NotSeenToEnd(at, name(), enter.signal)) };
                // What is not a number fails too.
                if out.value.partial_cmp(&enter.value) != Some(std::cmp::Ordering::Less) {
                    return Err(Unfit::Overlap(at, name(), enter.signal, enter.value, out.value));
                }
            }
            // A deeper one that is entered by no more than every way into this one is always taken instead.
            let hidden = levels[at + 1..].iter().find(|deeper| {
                let easier = |way: &Condition| {
                    deeper.enter.iter().any(|other| {
                        other.signal == way.signal && other.value <= way.value && other.lasting <= way.lasting
                    })
                };
                level.enter.iter().all(easier)
            });
            if let Some(deeper) = hidden {
                return Err(Unfit::Unreachable(at, name(), deeper.name.clone()));
            }
            let ids = (0..products.len() as u16).map(ProductId);
            if ids.clone().any(|id| level.keep(id).least > above.keep(id).least) {
                return Err(Unfit::NotDeeper(at, name(), above.name.clone()));
            }
            if let Some((first, less)) = level.wrong_way_round(products).filter(|_| !level.force) {
                return Err(Unfit::OnceOnlyFirst(at, name(), first, less));
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
    /// A once-only product that may be shed further than an inquiry-like one of less worth.
    fn wrong_way_round(&self, products: &[(String, Product)]) -> Option<(String, String)> {
        let each = || (0..).map(ProductId).zip(products);
        each().filter(|(_, (_, product))| product.effect == Effect::OnceOnly).find_map(
            |(id, (name, once))| {
                let less = each().find(|(other, (_, product))| {
                    product.effect == Effect::InquiryLike
                        && worth(product) < worth(once)
                        && (self.keep(*other).least > self.keep(id).least
                            || self.keep(*other).most > self.keep(id).most)
                });
                less.map(|(_, (less, _))| (name.clone(), less.clone()))
            },
        )
    }
}
