//! Errors in the `[shares]` section: the reason, the position in the policy file, and advice for the operator.

use std::fmt;
use std::ops::Range;

use amberarch_operator::Fault;

/// Byte range in the policy file.
pub type Span = Range<usize>;

/// Kind of a name that could not be resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Tenant,
    Product,
    Zone,
    Level,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Tenant => "tenant",
            Kind::Product => "product",
            Kind::Zone => "zone",
            Kind::Level => "level",
        })
    }
}

/// One of several rules that can't all hold, with its position and a description.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub at: Span,
    pub text: String,
}

/// Why a section can't be compiled into a plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("tenant name {name} is used twice")]
    Twice { name: String, at: Span, first: Span },
    #[error("unknown {kind} {name}{}", similar.as_ref().map_or(String::new(), |similar| format!(" (similar name: {similar})")))]
    Unknown { kind: Kind, name: String, similar: Option<String>, at: Span },
    #[error("cycle of parents among the tenants {}", names.join(", "))]
    Circle { names: Vec<String>, at: Vec<Span> },
    #[error("{what} = {found}: expected {expected}")]
    Figure { what: &'static str, found: String, expected: &'static str, at: Span },
    #[error("{tenant} has child tenants and also sets {what}")]
    Inner { tenant: String, what: &'static str, at: Span },
    #[error("{first} and {second} both own product {product} in zone {zone}")]
    Shared { first: String, second: String, product: String, zone: String, at: Vec<Span> },
    #[error("{tenant} has only some of zone {zone}'s proxies, and {other} owns product {product} there too")]
    PartOfZone { tenant: String, other: String, product: String, zone: String, at: Vec<Span> },
    #[error("{tenant}: {rule} has no effect: {why}")]
    Dead { tenant: String, rule: &'static str, why: &'static str, at: Span },
    #[error("{tenant}: residency permits no common zone for its products that arrive in zone {zone}")]
    NoZone { tenant: String, zone: String, at: Span },
    #[error("{}", contradiction(rules, *promised, *available, lost))]
    Contradict { rules: Vec<Rule>, promised: f64, available: f64, lost: Vec<String> },
    #[error("{tenant} requires its guarantee back within {wanted} ms, but a silent controller's grant lasts up to {longest} ms")]
    Slow { tenant: String, wanted: f64, longest: f64, at: Span },
    #[error("more than {most} {what}")]
    TooMany { what: &'static str, most: usize, at: Span },
}

fn contradiction(rules: &[Rule], promised: f64, available: f64, lost: &[String]) -> String {
    let texts: Vec<&str> = rules.iter().map(|rule| rule.text.as_str()).collect();
    let without = if lost.is_empty() { String::new() } else { format!(" without {}", lost.join(", ")) };
    format!(
        "these rules can't all hold: {}; {promised:.1}/s is guaranteed, but {available:.1}/s is available{without}",
        texts.join("; ")
    )
}

impl Unfit {
    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Unfit::Twice { .. } => "give each tenant a unique name",
            Unfit::Unknown { .. } => "use an existing name, or define this one first",
            Unfit::Circle { .. } => "remove `parent` from one of them",
            Unfit::Figure { .. } => "set a value in the expected range",
            Unfit::Inner { .. } => "move products, zones and proxies to its child tenants",
            Unfit::Shared { .. } => "change the products or zones of one of them; each txn belongs to one tenant",
            Unfit::PartOfZone { .. } => {
                "give it all of the zone's proxies, or a separate product there: limits apply to a zone and a product"
            }
            Unfit::Dead { .. } => "remove this rule, or the one that disables it",
            Unfit::NoZone { .. } => "permit a zone under residency, or split the tenant by product",
            Unfit::Contradict { .. } => "lower one of the named guarantees, permit more zones, or lower survive.zones",
            Unfit::Slow { .. } => "allow a longer time, or shorten the grant duration in the operator's file",
            Unfit::TooMany { .. } => "split the fleet, or merge tenants that are treated alike",
        }
    }

    /// Positions in the file, the main one first.
    pub fn spans(&self) -> Vec<Span> {
        match self {
            Unfit::Twice { at, first, .. } => vec![at.clone(), first.clone()],
            Unfit::Circle { at, .. } => at.clone(),
            Unfit::Shared { at, .. } | Unfit::PartOfZone { at, .. } => at.clone(),
            Unfit::Contradict { rules, .. } => rules.iter().map(|rule| rule.at.clone()).collect(),
            Unfit::Unknown { at, .. }
            | Unfit::Figure { at, .. }
            | Unfit::Inner { at, .. }
            | Unfit::Dead { at, .. }
            | Unfit::NoZone { at, .. }
            | Unfit::Slow { at, .. }
            | Unfit::TooMany { at, .. } => vec![at.clone()],
        }
    }

    /// The error as faults with line and column, one for each position. Conflicting rules are each reported at their own
    /// position.
    pub fn faults(&self, text: &str) -> Vec<Fault> {
        let text_at = |at: usize| match self {
            Unfit::Contradict { rules, .. } if at > 0 => {
                format!("part of the same error: {}", rules[at].text)
            }
            _ if at > 0 => "part of the same error".into(),
            _ => format!("{self}; {}", self.advice()),
        };
        let spans = self.spans().into_iter().enumerate();
        spans.map(|(at, span)| Fault::at(text, span.start, text_at(at))).collect()
    }
}
