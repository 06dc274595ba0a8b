//! The operator's file, `deploy/amberarch.toml`, with one section per subsystem; an absent section
//! switches its subsystem off. Parsing takes the text and returns checked sections, or the first error
//! with its line and column. This crate opens no file and takes no decisions: the use of each value is
//! documented with its subsystem.

pub mod fleet;
pub mod guard;
mod intake;
pub mod levels;
pub mod state;

use std::fmt;

use serde::Deserialize;
use toml::Spanned;

pub use fleet::Fleet;
pub use guard::{Guard, GuardMode};
pub use intake::Intake;
pub use levels::Levels;
pub use state::State;

/// The sections present in the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    pub fleet: Option<Fleet>,
    pub guard: Option<Guard>,
    pub intake: Option<Intake>,
    pub levels: Option<Levels>,
    pub state: Option<State>,
}

/// An error in the file, with its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    pub line: usize,
    /// Counted in characters, from 1.
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

impl Fault {
    /// An error at that byte offset of the file.
    pub fn at(text: &str, offset: usize, what: impl Into<String>) -> Fault {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Fault { line, column, what: what.into() }
    }
}

/// A value out of range, found after parsing: the byte span of the value, and the message.
type Unfit = (std::ops::Range<usize>, String);

impl Operator {
    /// Parses and checks the file.
    ///
    /// # Errors
    /// The first error: text that is not TOML, an unknown or missing setting, or a value out of range.
    pub fn parse(text: &str) -> Result<Operator, Fault> {
        let operator: Operator = read(text)?;
        let intake = operator.intake.as_ref().map_or(Ok(()), Intake::check);
        let state = || operator.state.as_ref().map_or(Ok(()), State::check);
        let fleet = || operator.fleet.as_ref().map_or(Ok(()), Fleet::check);
        let guard = || operator.guard.as_ref().map_or(Ok(()), Guard::check);
        let found = intake.and_then(|()| state()).and_then(|()| fleet()).and_then(|()| guard());
        found.map_err(|(span, what)| Fault::at(text, span.start, what))?;
        Ok(operator)
    }

    /// Names of the sections present.
    pub fn sections(&self) -> Vec<&'static str> {
        let on = [
            (self.fleet.is_some(), "fleet"),
            (self.guard.is_some(), "guard"),
            (self.intake.is_some(), "intake"),
            (self.levels.is_some(), "levels"),
            (self.state.is_some(), "state"),
        ];
        on.into_iter().filter(|(on, _)| *on).map(|(_, name)| name).collect()
    }
}

/// Parses a TOML text into a value of the type.
///
/// # Errors
/// The first error: text that is not TOML or does not fit the type, with its place.
pub fn read<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Fault> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        Fault::at(text, offset, error.message())
    })
}

/// Checks that the value lies in the range, ends included.
fn between<T: PartialOrd + fmt::Display + Copy>(
    name: &str,
    value: &Spanned<T>,
    least: T,
    most: T,
) -> Result<(), Unfit> {
    let found = *value.get_ref();
    match least <= found && found <= most {
        true => Ok(()),
        false => Err((value.span(), format!("{name} = {found}: expected {least} to {most}"))),
    }
}
