//! Compiles rules into a permit for each request class and home zone, or reports the first error in them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use amberarch_core::{ClassId, ZoneId, Zones};
use toml::Spanned;

use crate::reach::{Governed, Permit, Reach};
use crate::section::{Rule, Section};

/// Names of the deployment; the index in each list is the id that decisions use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    pub zones: Vec<String>,
    pub products: Vec<String>,
    /// Classes that may be governed, by the operator's file.
    pub govern: BTreeSet<ClassId>,
}

/// The rules in force at the time for which they were compiled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Compiled {
    pub reach: Reach,
    /// Pairs whose txns the revision allows to be rejected while it is being put in force.
    pub meanwhile: BTreeSet<Governed>,
    /// Unix time in ms at which an exception ends, earlier than its stated end by the bound of clock
    /// skew. From then on the rules have to be compiled again.
    pub until: Option<f64>,
}

type Span = Range<usize>;

/// Why rules can't be used, each with its span in the file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("{count} zones: residency can tell {} apart", Zones::CAPACITY)]
    TooManyZones { count: usize },
    #[error("`{name}` is no zone and no label")]
    UnknownZone { name: String, span: Span },
    #[error("`{name}` is no product")]
    UnknownProduct { name: String, span: Span },
    #[error("`{name}` is no customer")]
    UnknownCustomer { name: String, span: Span },
    #[error("product `{product}` may not be governed")]
    NotGoverned { product: String, span: Span },
    #[error("`{name}` stands for two things")]
    SameName { name: String, span: Span },
    #[error("rule `{rule}` names both a customer and products, or neither")]
    Subject { rule: String, span: Span },
    #[error("rule `{rule}` has a fallback and says that there is none")]
    NeverFallback { rule: String, span: Span },
    #[error("rules `{rule}` and `{other}` leave no zone to `{product}` from zone `{from}`")]
    Contradiction { rule: String, other: String, product: String, from: String, span: Span },
    #[error("rule `{rule}` leaves no zone to `{product}` from zone `{from}`")]
    Nowhere { rule: String, product: String, from: String, span: Span },
    #[error("rule `{rule}` never applies: {why}")]
    Shadowed { rule: String, why: String, span: Span },
    #[error("rule `{rule}` ended before now, by its end less the bound of the clocks")]
    Ended { rule: String, span: Span },
    #[error("rule `{rule}`: an end is a date and a time in UTC, as 2026-12-31T06:00:00Z")]
    NoTime { rule: String, span: Span },
}

impl Unfit {
    /// Byte span in the file; `0..0` if the error concerns the whole file.
    pub fn span(&self) -> Span {
        match self {
            Unfit::TooManyZones { .. } => 0..0,
            Unfit::UnknownZone { span, .. }
            | Unfit::UnknownProduct { span, .. }
            | Unfit::UnknownCustomer { span, .. }
            | Unfit::NotGoverned { span, .. }
            | Unfit::SameName { span, .. }
            | Unfit::Subject { span, .. }
            | Unfit::NeverFallback { span, .. }
            | Unfit::Contradiction { span, .. }
            | Unfit::Nowhere { span, .. }
            | Unfit::Shadowed { span, .. }
            | Unfit::Ended { span, .. }
            | Unfit::NoTime { span, .. } => span.clone(),
        }
    }

    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Unfit::TooManyZones { .. } => "govern a deployment with fewer zones, or leave `[residency]` out",
            Unfit::UnknownZone { .. } => "name a zone of the configuration, or add the label under `labels`",
            Unfit::UnknownProduct { .. } => "name a product of the configuration",
            Unfit::UnknownCustomer { .. } => "add the customer under `customers`, or name its products instead",
            Unfit::NotGoverned { .. } => {
                "add the product to `govern` in every steward's operator's file first, then propose this again"
            }
            Unfit::SameName { .. } => "give each zone, label and rule a name of its own",
            Unfit::Subject { .. } => "name a `customer` or `products`, one of the two",
            Unfit::NeverFallback { .. } => "take out `never` or the `fallback`",
            Unfit::Contradiction { .. } => {
                "let the two rules share a zone, or say `declined = true` where nothing shall serve it"
            }
            Unfit::Nowhere { .. } => {
                "permit a zone that is not forbidden, or say `declined = true` where nothing shall serve it"
            }
            Unfit::Shadowed { .. } => "take the rule out, or mend the one that takes its place",
            Unfit::Ended { .. } => "take the exception out, or give it a later end",
            Unfit::NoTime { .. } => "write the end with date, time and Z",
        }
    }
}

/// A rule with its names resolved to ids.
struct ResolvedRule<'a> {
    name: &'a str,
    span: Span,
    pairs: BTreeSet<Governed>,
    permit: Option<Zones>,
    forbid: Zones,
    fallback: Vec<Zones>,
    never: bool,
    /// Unix time in ms at which it ends.
    ends: Option<f64>,
    declined: bool,
}

impl ResolvedRule<'_> {
    /// The permit of this rule alone, without what other rules forbid.
    fn permit(&self, all: Zones) -> Permit {
        let mut left = all.difference(self.forbid);
        let tiers = std::iter::once(self.permit.unwrap_or(all)).chain(self.fallback.iter().copied());
        let tiers = tiers.map(|tier| {
            let tier = tier.intersection(left);
            left = left.difference(tier);
            tier
        });
        Permit { tiers: tiers.filter(|tier| !tier.is_empty()).collect() }
    }
}

/// Compiles the rules in force at that Unix time.
///
/// # Errors
/// The first error: an unknown name, rules that contradict each other or never apply, a class left
/// without a zone, an end in the past.
pub fn compile(section: &Section, facts: &Facts, unix_ms: f64) -> Result<Compiled, Unfit> {
    if facts.zones.len() > usize::from(Zones::CAPACITY) {
        return Err(Unfit::TooManyZones { count: facts.zones.len() });
    }
    let names = Names::new(section, facts)?;
    let mut rules = Vec::new();
    for rule in &section.rule {
        let resolved = names.resolve(section, rule, unix_ms)?;
        if rules.iter().any(|other: &ResolvedRule| other.name == resolved.name) {
            return Err(Unfit::SameName { name: resolved.name.into(), span: rule.get_ref().name.span() });
        }
        rules.push(resolved);
    }
    // Rules are checked as of now and after each end: a rule that takes effect only then is not shadowed.
    let ends: BTreeSet<u64> = rules.iter().filter_map(|rule| rule.ends).map(|end| end as u64).collect();
    let times: Vec<f64> = std::iter::once(unix_ms).chain(ends.iter().map(|end| *end as f64)).collect();
    let at = |time: f64, without: Option<usize>| -> Vec<&ResolvedRule> {
        let holds = |rule: &ResolvedRule| rule.ends.is_none_or(|end| time < end);
        let all = rules.iter().enumerate().filter(|(place, _)| Some(*place) != without);
        all.map(|(_, rule)| rule).filter(|rule| holds(rule)).collect()
    };
    let mut compiled = Compiled { until: ends.first().map(|end| *end as f64), ..Compiled::default() };
    for (place, time) in times.iter().enumerate() {
        let holding = at(*time, None);
        let pairs: BTreeSet<Governed> = holding.iter().flat_map(|rule| rule.pairs.iter().copied()).collect();
        for pair in pairs {
            let permit = names.permit(&holding, pair)?;
            if place == 0 {
                compiled.reach.permits.insert(pair, permit);
            }
        }
    }
    let declined = at(unix_ms, None).into_iter().filter(|rule| rule.declined);
    compiled.meanwhile = declined.flat_map(|rule| rule.pairs.iter().copied()).collect();
    for (place, rule) in rules.iter().enumerate() {
        let shadowed = |why: String| Unfit::Shadowed { rule: rule.name.into(), why, span: rule.span.clone() };
        if rule.pairs.is_empty() {
            return Err(shadowed("no txn comes to it".into()));
        }
        let has_effect = |time: &f64| {
            let (with, without) = (at(*time, None), at(*time, Some(place)));
            let differs = |pair: &Governed| {
                let governed = without.iter().any(|rule| rule.pairs.contains(pair));
                !governed || names.permit(&with, *pair).ok() != names.permit(&without, *pair).ok()
            };
            rule.ends.is_none_or(|end| *time < end) && rule.pairs.iter().any(differs)
        };
        if !rule.declined && !times.iter().any(has_effect) {
            let other =
                |other: &&ResolvedRule| other.name != rule.name && !other.pairs.is_disjoint(&rule.pairs);
            let by = rules.iter().find(other).map_or("nothing", |other| other.name);
            return Err(shadowed(format!("`{by}` leaves it nothing to change")));
        }
    }
    Ok(compiled)
}

/// Resolves names of zones, labels and classes.
struct Names<'a> {
    facts: &'a Facts,
    labels: BTreeMap<&'a str, Zones>,
    all: Zones,
}

impl<'a> Names<'a> {
    fn new(section: &'a Section, facts: &'a Facts) -> Result<Names<'a>, Unfit> {
        let all = (0..facts.zones.len() as u16).map(ZoneId).collect();
        let mut names = Names { facts, labels: BTreeMap::new(), all };
        let mut labels = BTreeMap::new();
        for (name, zones) in &section.labels {
            if facts.zones.contains(name.get_ref()) {
                return Err(Unfit::SameName { name: name.get_ref().clone(), span: name.span() });
            }
            // A label names zones only; labels of labels could form a cycle.
            labels.insert(name.get_ref().as_str(), names.zones(zones)?);
        }
        names.labels = labels;
        Ok(names)
    }

    fn zones(&self, named: &[Spanned<String>]) -> Result<Zones, Unfit> {
        let one = |name: &Spanned<String>| {
            let label = self.labels.get(name.get_ref().as_str()).copied();
            let place = self.facts.zones.iter().position(|zone| zone == name.get_ref());
            let found = label.or(place.map(|place| Zones::one(ZoneId(place as u16))));
            found.ok_or_else(|| Unfit::UnknownZone { name: name.get_ref().clone(), span: name.span() })
        };
        named.iter().try_fold(Zones::NONE, |all, name| Ok(all.union(one(name)?)))
    }

    fn products(&self, named: &[Spanned<String>]) -> Result<Vec<ClassId>, Unfit> {
        let one = |name: &Spanned<String>| {
            let (product, span) = (name.get_ref().clone(), name.span());
            let place = self.facts.products.iter().position(|known| *known == product);
            let Some(place) = place else { return Err(Unfit::UnknownProduct { name: product, span }) };
            let id = ClassId(place as u16);
            match self.facts.govern.contains(&id) {
                true => Ok(id),
                false => Err(Unfit::NotGoverned { product, span }),
            }
        };
        named.iter().map(one).collect()
    }

    fn resolve(
        &self,
        section: &Section,
        rule: &'a Spanned<Rule>,
        unix_ms: f64,
    ) -> Result<ResolvedRule<'a>, Unfit> {
        let (whole, rule) = (rule.span(), rule.get_ref());
        let (name, span) = (rule.name.get_ref().as_str(), rule.name.span());
        let from = |from: &Option<Vec<Spanned<String>>>| match from {
            Some(zones) => self.zones(zones),
            None => Ok(self.all),
        };
        let (products, arrives_at) = match (&rule.customer, &rule.products) {
            (Some(customer), None) => {
                let known = section.customers.iter().find(|(name, _)| name.get_ref() == customer.get_ref());
                let (name, span) = (customer.get_ref().clone(), customer.span());
                let Some((_, known)) = known else { return Err(Unfit::UnknownCustomer { name, span }) };
                (self.products(&known.products)?, from(&known.from)?)
            }
            (None, Some(products)) => (self.products(products)?, self.all),
            _ => return Err(Unfit::Subject { rule: name.into(), span: whole }),
        };
        let from = from(&rule.from)?.intersection(arrives_at);
        if rule.never && !rule.fallback.is_empty() {
            return Err(Unfit::NeverFallback { rule: name.into(), span });
        }
        let permit = rule.permit.as_ref().map(|zones| self.zones(zones)).transpose()?;
        let fallback = rule.fallback.iter().map(|zones| self.zones(zones)).collect::<Result<_, _>>()?;
        let ends = match &rule.until {
            None => None,
            Some(until) => {
                let time = humantime::parse_rfc3339(&until.get_ref().to_string());
                let since = time.ok().and_then(|time| time.duration_since(std::time::UNIX_EPOCH).ok());
                let end =
                    since.ok_or_else(|| Unfit::NoTime { rule: name.into(), span: until.span() })?.as_millis();
                // A clock that is behind by the bound still ends it in time.
                let end = end as f64 - section.clock_skew.as_millis() as f64;
                if end <= unix_ms {
                    return Err(Unfit::Ended { rule: name.into(), span: until.span() });
                }
                Some(end)
            }
        };
        let pairs = products.iter().flat_map(|product| from.iter().map(move |zone| (*product, zone)));
        let resolved = ResolvedRule {
            name,
            span,
            pairs: pairs.collect(),
            permit,
            forbid: self.zones(&rule.forbid)?,
            fallback,
            never: rule.never,
            ends,
            declined: rule.declined,
        };
        if resolved.permit(self.all).tiers.is_empty() && !resolved.declined {
            if let Some(pair) = resolved.pairs.first() {
                let (product, from) = self.names_of(*pair);
                return Err(Unfit::Nowhere { rule: name.into(), product, from, span: resolved.span });
            }
        }
        Ok(resolved)
    }

    fn names_of(&self, (product, zone): Governed) -> (String, String) {
        let name = |names: &[String], at: u16| names.get(usize::from(at)).cloned().unwrap_or_default();
        (name(&self.facts.products, product.0), name(&self.facts.zones, zone.0))
    }

    /// The permit that all rules of the pair leave. A zone that any rule forbids is forbidden, and if any
    /// rule says `never`, only the remainder of the first tiers is left.
    fn permit(&self, holding: &[&ResolvedRule], pair: Governed) -> Result<Permit, Unfit> {
        let of: Vec<&ResolvedRule> =
            holding.iter().copied().filter(|rule| rule.pairs.contains(&pair)).collect();
        // An exception replaces what rules without an end permit.
        let excepted = of.iter().any(|rule| rule.ends.is_some());
        let mut left = Permit { tiers: vec![self.all] };
        let mut last: Option<&ResolvedRule> = None;
        let declined = of.iter().any(|rule| rule.declined);
        // Rules that only forbid, and rules that say `never`, are applied last so that the error names
        // them beside the rule whose zones they remove.
        let permitting = of.iter().filter(|rule| !excepted || rule.ends.is_some());
        let steps = permitting.map(|rule| (*rule, rule.permit(self.all)));
        let forbidding = of.iter().filter(|rule| !rule.forbid.is_empty());
        let forbids =
            forbidding.map(|rule| (*rule, Permit { tiers: vec![self.all.difference(rule.forbid)] }));
        let mut steps: Vec<(&ResolvedRule, Option<Permit>)> =
            steps.chain(forbids).map(|(rule, permit)| (rule, Some(permit))).collect();
        steps.extend(of.iter().filter(|rule| rule.never).map(|rule| (*rule, None)));
        for (rule, permit) in steps {
            let before = left;
            left = match &permit {
                Some(permit) => before.within(permit),
                // `never`: the zones that all rules have in their first tier.
                None => {
                    let firsts = of.iter().filter(|rule| !excepted || rule.ends.is_some());
                    let first = firsts.fold(self.all, |all, rule| {
                        all.intersection(rule.permit(self.all).tiers.first().copied().unwrap_or_default())
                    });
                    let tier = first.intersection(before.all());
                    Permit { tiers: Some(tier).filter(|tier| !tier.is_empty()).into_iter().collect() }
                }
            };
            if left.tiers.is_empty() && !declined {
                let (product, from) = self.names_of(pair);
                let (rule, span) = (rule.name.to_string(), rule.span.clone());
                let clash = |other: &&&ResolvedRule| {
                    other.name != rule
                        && permit.as_ref().is_none_or(|permit| {
                            permit.all().intersection(other.permit(self.all).all()).is_empty()
                        })
                };
                let other = of.iter().find(clash).copied().or(last.filter(|last| last.name != rule));
                return Err(match other {
                    Some(other) => {
                        Unfit::Contradiction { rule, other: other.name.into(), product, from, span }
                    }
                    None => Unfit::Nowhere { rule, product, from, span },
                });
            }
            last = Some(rule);
        }
        Ok(left)
    }
}
