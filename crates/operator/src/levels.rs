//! `[levels]`: named levels of reduced service. This module holds the keys of the file and their spans;
//! the ladder of levels is validated where it is built.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Levels {
    /// If false, levels are evaluated, published and logged, but limit nothing.
    #[serde(default = "yes")]
    pub act: bool,
    /// Unix socket that `amberarch levels` queries; `None`: it can't be queried.
    pub socket: Option<PathBuf>,
    /// Ordered from full service downwards.
    pub level: Vec<Spanned<Level>>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    pub name: String,
    /// Request classes by name; classes that are not named are not limited.
    #[serde(default)]
    pub keep: BTreeMap<Spanned<String>, Keep>,
    #[serde(default)]
    pub tries: Tries,
    #[serde(default)]
    pub enter: Vec<Enter>,
    #[serde(default)]
    pub leave: Vec<Leave>,
    #[serde(default, with = "humantime_serde")]
    pub stay: Duration,
    #[serde(default)]
    pub emergency: bool,
    #[serde(default)]
    pub force: bool,
}

/// Fraction of the txns to admit, from 0 to 1: a lower bound, or a lower and an upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Keep {
    Least(f64),
    Between { least: f64, most: f64 },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tries {
    One,
    #[default]
    AfterProof,
    AfterAny,
    TwiceAfterAny,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    Pressure,
    Voided,
    Late,
    Out,
    Unseen,
    Load,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Enter {
    pub signal: Signal,
    pub over: f64,
    #[serde(default, with = "humantime_serde")]
    pub lasting: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    pub signal: Signal,
    pub under: f64,
    #[serde(default, with = "humantime_serde")]
    pub lasting: Duration,
}

fn yes() -> bool {
    true
}
