//! The `[shares]` section of the policy file, with the position of each value. `compile` makes a plan of it.

use serde::Deserialize;
use toml::Spanned;

use crate::{Names, Tenant};

/// The `[shares]` section.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// The guarantees must hold when this many zones lose all of their hosts.
    pub survive: Option<Spanned<Survive>>,
    /// The rate that a controller without a grant admits.
    pub floor: Floor,
    /// Minimum time between two reductions of a tenant's share in favour of others.
    #[serde(default = "default_gives_way_again_after")]
    pub gives_way_again_after_ms: Spanned<f64>,
    /// How long the last demand of a silent controller is kept. After that it counts with at most its fraction of the
    /// guarantees.
    #[serde(default = "default_silent_for")]
    pub silent_for_ms: Spanned<f64>,
    #[serde(default)]
    pub tenant: Vec<TenantRule>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Survive {
    pub zones: usize,
}

/// The fraction `part` of each guarantee is admitted without a grant, divided evenly among `stewards` controllers. The
/// fleet may not have more controllers than that.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floor {
    pub part: Spanned<f64>,
    pub stewards: Spanned<u16>,
}

/// One `[[shares.tenant]]` entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    pub name: Spanned<String>,
    /// The tenant whose guarantee, weight and ceiling it shares with its siblings.
    pub parent: Option<Spanned<String>>,
    /// The products whose txns belong to the tenant; all of them if not set. Only for tenants without children.
    pub products: Option<Vec<Spanned<String>>>,
    /// The zones whose proxies receive these txns; all of them if not set.
    pub zones: Option<Vec<Spanned<String>>>,
    /// Ranges of a zone's proxies that receive these txns, instead of whole zones.
    #[serde(default)]
    pub proxies: Vec<Spanned<Range>>,
    /// Rate that the tenant gets whenever it asks for it, in txns per second.
    pub guarantee_per_s: Option<Spanned<f64>>,
    /// Weight by which its siblings and it divide capacity beyond their guarantees.
    pub weight: Option<Spanned<f64>>,
    /// Rate that it never exceeds, in txns per second.
    pub ceiling_per_s: Option<Spanned<f64>>,
    /// Whether other tenants may use the part of its guarantee that it does not ask for.
    pub lends: Option<Spanned<bool>>,
    /// Whether it may have more than its guarantee.
    pub borrows: Option<Spanned<bool>>,
    /// Priority at which it is reduced in favour of others: lower values first.
    pub gives_way: Option<Spanned<u32>>,
    /// The longest time from asking for its guarantee until the tenant has it back.
    pub back_within_ms: Option<Spanned<f64>>,
    /// Levels of service under which only a fraction of the guarantee holds.
    #[serde(default)]
    pub at_level: Vec<Spanned<AtLevel>>,
}

/// Proxies of a zone by their index in it, `from` and `to` included.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    pub zone: String,
    pub from: u32,
    pub to: u32,
}

/// The fraction of the guarantee that holds under a level of service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AtLevel {
    pub level: String,
    pub part: f64,
}

// Defaults. Traffic reports cover one second: ten of them show the effect of one reduction before the next, and three
// allow for one lost and one late report.
fn default_gives_way_again_after() -> Spanned<f64> {
    Spanned::new(0..0, 10_000.0)
}
fn default_silent_for() -> Spanned<f64> {
    Spanned::new(0..0, 3_000.0)
}

impl Section {
    /// Tenant names by index, for log lines.
    pub fn names(&self) -> Names {
        Names(self.tenant.iter().map(|tenant| tenant.name.get_ref().clone()).collect())
    }

    /// The tenant with that name.
    pub fn find(&self, name: &str) -> Option<Tenant> {
        let at = self.tenant.iter().position(|tenant| tenant.name.get_ref() == name)?;
        Some(Tenant(at as u32))
    }
}
