//! `[guard]`: the check between the decisions and the proxies.

use serde::Deserialize;
use toml::Spanned;

use crate::{between, Unfit};

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guard {
    pub mode: GuardMode,
    /// Capacity of a warm host of weight 1, in txns per second. `None`: it is estimated, and warm hosts
    /// are not checked against it.
    pub txns_per_s_per_weight: Option<Spanned<f64>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GuardMode {
    Off,
    /// Breaches are counted and logged; all orders are sent.
    Watch,
    /// Orders that would break a rule are withheld.
    Enforce,
}

impl Guard {
    pub(crate) fn check(&self) -> Result<(), Unfit> {
        let each = self.txns_per_s_per_weight.as_ref();
        each.map_or(Ok(()), |each| between("txns_per_s_per_weight", each, 0.001, 1e9))
    }
}
