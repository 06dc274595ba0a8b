//! `[state]`: where the state that a restart needs is stored.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::Unfit;
use toml::Spanned;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// A folder used by the daemon alone, on a disk that outlives it.
    pub folder: PathBuf,
    /// Interval at which changed state is written.
    #[serde(default = "every")]
    pub every: Spanned<Period>,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Period(#[serde(with = "humantime_serde")] pub Duration);

fn every() -> Spanned<Period> {
    Spanned::new(0..0, Period(Duration::from_secs(1)))
}

impl State {
    pub(crate) fn check(&self) -> Result<(), Unfit> {
        let Period(every) = *self.every.get_ref();
        match (Duration::from_millis(100)..=Duration::from_secs(60)).contains(&every) {
            true => Ok(()),
            false => Err((self.every.span(), format!("every = {every:?}: expected 100ms to 1m"))),
        }
    }
}
