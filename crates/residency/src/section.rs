//! The `[residency]` section of the policy file: its keys, with the span of each value.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use toml::value::Datetime;
use toml::Spanned;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Names of sets of zones.
    #[serde(default)]
    pub labels: BTreeMap<Spanned<String>, Vec<Spanned<String>>>,
    #[serde(default)]
    pub customers: BTreeMap<Spanned<String>, Customer>,
    #[serde(default)]
    pub rule: Vec<Spanned<Rule>>,
    /// Bound of the clock skew of controllers: an exception ends this long before its `until`.
    #[serde(default = "second", with = "humantime_serde")]
    pub clock_skew: Duration,
}

/// A customer, identified by its request classes and by the zones at which its txns arrive.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub products: Vec<Spanned<String>>,
    /// Zones or labels; `None` means all zones.
    pub from: Option<Vec<Spanned<String>>>,
}

/// A rule: whose txns it governs, and where those may be served. Zones may be named by label.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub name: Spanned<String>,
    /// Exactly one of `customer` and `products` is set.
    pub customer: Option<Spanned<String>>,
    pub products: Option<Vec<Spanned<String>>>,
    /// Home zones of the proxies whose txns it governs; `None` means all zones, or all zones of the
    /// customer.
    pub from: Option<Vec<Spanned<String>>>,
    /// `None` means all zones.
    pub permit: Option<Vec<Spanned<String>>>,
    #[serde(default)]
    pub forbid: Vec<Spanned<String>>,
    /// Later tiers, each used only while no earlier one has a host.
    #[serde(default)]
    pub fallback: Vec<Vec<Spanned<String>>>,
    /// No fallback, even if another rule has one.
    #[serde(default)]
    pub never: bool,
    /// End of an exception, which until then replaces what rules without an end permit.
    pub until: Option<Spanned<Datetime>>,
    /// Its txns may be rejected while a change is in progress, and for as long as no zone is permitted to
    /// them.
    #[serde(default)]
    pub declined: bool,
}

fn second() -> Duration {
    Duration::from_secs(1)
}

impl Default for Section {
    fn default() -> Section {
        Section {
            labels: BTreeMap::new(),
            customers: BTreeMap::new(),
            rule: Vec::new(),
            clock_skew: second(),
        }
    }
}
