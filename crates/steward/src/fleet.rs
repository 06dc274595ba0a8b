//! Fleet policy in the daemon: compiles policies for the consensus thread, gives the event loop the policy in force, and
//! checks each reply against it before it goes to the relay. It makes no decisions itself.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amberarch_accord::{Act, Digest, FleetId, Holds as On, Name, Refusal, Revision, RevisionNo, StageNo};
use amberarch_core::*;
use amberarch_fleet::{self as fleet, Lengths, Member, Post, Sight, Steward, Talk, Under};
use amberarch_operator::fleet::{ms, Member as NamedMember};
use amberarch_operator::{Fault, Fleet as Section};
use amberarch_residency::{
    bare, difference, over, there, Compiled, Facts, Governed, InUse, Judge, Over, Reach, Sifted, Unfit,
};
use amberarch_shares::{Bound, Lesser, Plan, Planned};
use slog::{error, info, o, warn, Logger};
use tokio::sync::mpsc;

use crate::clock::UnixClock;
use crate::counters::{Counters, Seldom};
use crate::desk::Make;
use crate::heard::{Heard, Ties};
use crate::levels;
use crate::policy::Policy;
use crate::relay::Gate;

/// A compiled policy revision: its residency rules, whose reach changes with time, and its plan of quotas.
#[derive(Clone, Debug)]
pub struct Rules {
    residency: Arc<amberarch_residency::Section>,
    plan: Planned,
    /// Names of the plan's tenants, for recorded histories.
    tenants: Arc<[String]>,
}

/// The deployment and fleet that a policy is compiled for.
#[derive(Clone, Debug)]
pub struct CompileContext {
    pub facts: Facts,
    pub proxies: u32,
    /// Service levels, from full service down.
    pub levels: Vec<String>,
    /// How many members the fleet has.
    pub members: usize,
    /// How long a grant is valid at most, ms, or why grants can't be issued.
    pub longest: Result<f64, amberarch_shares::Wrong>,
    /// Requests a second that a host of weight 1 can serve.
    pub per_weight: Option<f64>,
}

impl CompileContext {
    /// For checking a policy without knowledge of a fleet.
    pub fn alone(facts: Facts, proxies: u32) -> CompileContext {
        CompileContext { facts, proxies, levels: vec![], members: 0, longest: Ok(0.0), per_weight: Some(1.0) }
    }

    /// For the section's fleet.
    pub fn of(section: &Section, facts: Facts, proxies: u32, levels: Vec<String>) -> CompileContext {
        CompileContext {
            facts,
            proxies,
            levels,
            members: section.member.len(),
            longest: lengths(section).of_grants().map(|lengths| lengths.longest()),
            per_weight: section.txns_per_s_per_weight.as_ref().map(|rate| *rate.get_ref()),
        }
    }
}

/// The policy that the event loop applies until it receives another.
#[derive(Clone, Debug)]
pub struct Holds {
    pub under: Under,
    /// `None`: the policy in force is unknown.
    pub stage: Option<StageNo>,
    /// All of these have to be satisfied at the same time.
    pub rules: Vec<Rules>,
    /// Request classes that are governed in the fleet but not named in the operator's file here. They are rejected while
    /// the policy in force is unknown.
    pub also: BTreeSet<ClassId>,
}

/// A policy that was parsed and compiled for the deployment.
#[derive(Clone, Debug)]
pub struct CompiledPolicy {
    pub no: u64,
    pub rules: Rules,
    pub compiled: Compiled,
}

/// Parses a policy and compiles it for the deployment. `capacity` is the capacity of the hosts of each zone in requests a
/// second; if it is unknown, no policy is refused for lack of capacity.
///
/// # Errors
/// The first fault, with its position.
pub fn fit(
    text: &str,
    context: &CompileContext,
    capacity: Option<&[f64]>,
    unix_ms: f64,
) -> Result<CompiledPolicy, Fault> {
    let policy = Policy::parse(text)?;
    let residency = Arc::new(policy.residency.clone().unwrap_or_default());
    let compiled = amberarch_residency::compile(&residency, &context.facts, unix_ms)
        .map_err(|unfit| Fault::at(text, unfit.span().start, format!("{unfit}; {}", unfit.advice())))?;
    let no = *policy.revision.get_ref();
    let plan = match &policy.shares {
        Some(section) => Some((no, Arc::new(plan(section, text, context, &compiled.reach, capacity)?))),
        None => None,
    };
    Ok(CompiledPolicy { no, rules: Rules { residency, plan, tenants: tenants(&policy) }, compiled })
}

fn tenants(policy: &Policy) -> Arc<[String]> {
    policy.shares.as_ref().map_or_else(Vec::new, |section| section.names().0).into()
}

/// Compiles the plan of quotas and verifies that it is feasible for the deployment.
fn plan(
    section: &amberarch_shares::Section,
    text: &str,
    context: &CompileContext,
    reach: &Reach,
    capacity: Option<&[f64]>,
) -> Result<Plan, Fault> {
    /// Stands for an unknown capacity: more than any guarantee, but finite, so that it can be summed.
    const PLENTY: f64 = 1e12;
    let whole = |what: String| Fault::at(text, section.floor.part.span().start, what);
    let longest = context.longest.map_err(|wrong| whole(format!("{wrong}; {}", wrong.advice())))?;
    if context.per_weight.is_none() {
        return Err(whole("[fleet] names no txns_per_s_per_weight, by which shares are dealt".into()));
    }
    let zone = |(place, name): (usize, &String)| amberarch_shares::ZoneFact {
        name: name.clone(),
        proxies: context.proxies,
        capacity_per_s: capacity.and_then(|all| all.get(place)).copied().unwrap_or(PLENTY),
    };
    let facts = amberarch_shares::Facts {
        zones: context.facts.zones.iter().enumerate().map(zone).collect(),
        products: context.facts.products.clone(),
        permits: reach.permits.iter().map(|(pair, permit)| (*pair, permit.all())).collect(),
        levels: context.levels.clone(),
    };
    // A contradiction among several rules has several positions: the first is the fault's, the others are listed below it.
    let unfit = |unfit: amberarch_shares::Unfit| {
        let faults = unfit.faults(text).into_iter();
        let joined = faults.reduce(|all, more| Fault { what: format!("{}\n  {more}", all.what), ..all });
        joined.unwrap_or_else(|| whole(unfit.to_string()))
    };
    let plan = amberarch_shares::compile(section, &facts).map_err(unfit)?;
    plan.fits(section, longest).map_err(unfit)?;
    // A controller that does not know the policy in force has no grants and rejects governed request classes. It would
    // admit all of any other class, on top of the grants of the rest of the fleet.
    let owned: BTreeSet<ClassId> = plan.owned().map(|(_, product, _)| product).collect();
    if let Some(product) = owned.difference(&context.facts.govern).next() {
        let product = name(&context.facts.products, product.0);
        return Err(whole(format!(
            "a tenant is told by {product}, which may not be governed; add it to `govern` at all members and start them \
             anew, or name the products of each tenant"
        )));
    }
    match plan.holds_for(&holders(context.members)) {
        true => Ok(plan),
        false => {
            let (found, at) = (section.floor.stewards.get_ref(), section.floor.stewards.span().start);
            let what = format!("floor.stewards = {found}: the fleet has {} members", context.members);
            Err(Fault::at(text, at, what))
        }
    }
}

/// The reach of rules that are already in force, and when the next exception ends, in Unix ms. Exceptions that have ended
/// are ignored.
fn reach(rules: &Rules, facts: &Facts, unix_ms: f64) -> Result<(Reach, Option<f64>), Unfit> {
    let mut left = amberarch_residency::Section::clone(&rules.residency);
    loop {
        match amberarch_residency::compile(&left, facts, unix_ms) {
            Ok(compiled) => return Ok((compiled.reach, compiled.until)),
            Err(Unfit::Ended { rule, .. }) => left.rule.retain(|one| *one.get_ref().name.get_ref() != rule),
            Err(unfit) => return Err(unfit),
        }
    }
}

/// The deployment settings that residency needs.
///
/// # Errors
/// The position of an unknown request class in `govern`.
pub fn facts(section: &Section, zones: &[String], products: &[String], text: &str) -> Result<Facts, Fault> {
    let mut govern = BTreeSet::new();
    for name in section.govern.get_ref() {
        let place = products.iter().position(|known| known == name.get_ref()).ok_or_else(|| {
            let known = products.join(", ");
            Fault::at(
                text,
                name.span().start,
                format!("no product is named {}; there are {known}", name.get_ref()),
            )
        })?;
        govern.insert(ClassId(place as u16));
    }
    Ok(Facts { zones: zones.to_vec(), products: products.to_vec(), govern })
}

/// All pairs of these request classes and the zones.
fn pairs(products: &BTreeSet<ClassId>, zones: usize) -> Vec<Governed> {
    let zones = 0..zones as u16;
    products.iter().flat_map(|product| zones.clone().map(|zone| (*product, ZoneId(zone)))).collect()
}

/// State shared by the daemon's thread and the consensus thread.
pub type Shared = Arc<Mutex<SharedState>>;

#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// The hosts that the list has in service.
    pub listed: Listed,
    /// Arriving traffic and the capacity of hosts that are not withdrawn, as last seen by the event loop; `None` if unknown.
    pub sight: Option<Sight>,
    /// How many members the operator's file names now; `None`: as many as at the start.
    pub members: Option<usize>,
    /// Plans of quotas that are in force.
    pub plans: Vec<Arc<Plan>>,
}

/// How many hosts of each zone are in service, and their weights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    pub hosts: BTreeMap<ZoneId, u32>,
    pub weights: BTreeMap<ZoneId, f64>,
}

fn lock(common: &Shared) -> MutexGuard<'_, SharedState> {
    common.lock().unwrap_or_else(PoisonError::into_inner)
}

fn holders(members: usize) -> BTreeSet<amberarch_shares::Holder> {
    (0..members as u16).map(amberarch_shares::Holder).collect()
}

/// Runs on the consensus thread and compiles the staged policies and those in force.
pub struct PolicyCompiler {
    context: CompileContext,
    common: Shared,
    clock: UnixClock,
    /// Compiled rules of recent stages, by digest.
    read: BTreeMap<Digest, Rules>,
    /// The rules in force, with which a staged revision is combined for its check.
    holding: Vec<Rules>,
    /// Request classes that the policy in force in the fleet governs and the operator's file here does not name.
    also: BTreeSet<ClassId>,
    /// What was reported last: the lease number, and whether the policy in force was known.
    told: (Under, bool),
    tell: mpsc::UnboundedSender<ConsensusMessage>,
    log: Logger,
}

/// Messages of the consensus thread to the daemon's thread.
pub enum ConsensusMessage {
    Holds(Holds),
    Bound(Option<Bound>),
    Answer(Revision, Result<StageNo, Refusal>),
}

impl PolicyCompiler {
    pub fn new(
        context: CompileContext,
        common: Shared,
        clock: UnixClock,
        tell: mpsc::UnboundedSender<ConsensusMessage>,
        log: Logger,
    ) -> PolicyCompiler {
        let (read, holding, also) = (BTreeMap::new(), vec![], BTreeSet::new());
        PolicyCompiler {
            context,
            common,
            clock,
            read,
            holding,
            also,
            told: (Under::default(), false),
            tell,
            log,
        }
    }

    fn rules(&mut self, revision: &Revision) -> Result<Rules, String> {
        if let Some(rules) = self.read.get(&revision.digest) {
            return Ok(rules.clone());
        }
        let policy = Policy::parse(&revision.text).map_err(|fault| fault.to_string())?;
        let residency = Arc::new(policy.residency.clone().unwrap_or_default());
        let mut rules = Rules { residency, plan: None, tenants: tenants(&policy) };
        let (now, _) =
            reach(&rules, &self.context.facts, self.clock.now_ms()).map_err(|unfit| unfit.to_string())?;
        if let Some(section) = &policy.shares {
            let plan = plan(section, &revision.text, &self.context, &now, None)
                .map_err(|fault| fault.to_string())?;
            rules.plan = Some((revision.no.0, Arc::new(plan)));
        }
        // Keeps the rules of a few stages; others are compiled again when they are needed.
        if self.read.len() >= 8 {
            self.read.clear();
        }
        self.read.insert(revision.digest, rules.clone());
        Ok(rules)
    }

    fn joint(&self, rules: &[Rules]) -> Result<Reach, Unfit> {
        let mut all = Reach::default();
        for (place, rules) in rules.iter().enumerate() {
            let (one, _) = reach(rules, &self.context.facts, self.clock.now_ms())?;
            all = if place == 0 { one } else { all.joint(&one) };
        }
        Ok(all)
    }
}

impl Steward for PolicyCompiler {
    fn check(&mut self, revision: &Revision, staged: bool) -> Result<(), Arc<str>> {
        if !staged {
            let read = self.rules(revision).map(|_| ());
            if read.is_err() {
                self.governs_too(&revision.text);
            }
            return Ok(read?);
        }
        // The operator's file may name other members now than at the start.
        let SharedState { listed, sight, members, .. } = lock(&self.common).clone();
        self.context.members = members.unwrap_or(self.context.members);
        let known = listed.hosts.values().any(|count| *count > 0);
        let per_weight = self.context.per_weight.unwrap_or_default();
        let capacity: Vec<f64> = (0..self.context.facts.zones.len() as u16)
            .map(|zone| listed.weights.get(&ZoneId(zone)).map_or(0.0, |weight| weight * per_weight))
            .collect();
        let fit = fit(&revision.text, &self.context, known.then_some(&capacity), self.clock.now_ms());
        let fit = fit.map_err(|fault| fault.to_string())?;
        if fit.no != revision.no.0 {
            return Err(format!("its text says revision {}", fit.no).into());
        }
        // A change is checked in its joint state: whatever both policies permit needs hosts, by the current list here.
        let rules: Vec<Rules> = self.holding.iter().cloned().chain([fit.rules]).collect();
        let joint = self.joint(&rules).map_err(|unfit| unfit.to_string())?;
        if known {
            let short = bare(&joint, &listed.hosts, &fit.compiled.meanwhile);
            short.map_err(|bare| {
                format!("{}: {bare}; {}", self.named(bare.product, bare.from), bare.advice())
            })?;
        }
        if let Some(sight) = sight.filter(|_| known) {
            let (there, holds) = (there(&listed.hosts), self.joint(&self.holding));
            let holds = holds.map_err(|unfit| unfit.to_string())?.in_use(there);
            self.carried(&sight, &holds, &joint.in_use(there), &fit.compiled.meanwhile)?;
        }
        Ok(())
    }

    fn act(&mut self, act: &Act, texts: &[Revision], under: Under) {
        let stage = match act {
            Act::On { stage, .. } => Some((*stage, stage.holds)),
            Act::Within { stage, .. } => Some((*stage, fleet::within(stage))),
            Act::Unknown => None,
        };
        let holds = stage.and_then(|(stage, holds)| match self.all(holds, texts) {
            Ok(rules) => Some((stage, rules)),
            // This member accepted each of them before, but the operator's file may have changed since.
            Err(why) => {
                error!(self.log, "the policy in force can't be used here: governed request classes are rejected"; "why" => why);
                texts.iter().for_each(|revision| self.governs(&revision.text));
                None
            }
        });
        let (stage, rules) = holds.map_or((None, vec![]), |(stage, rules)| (Some(stage.no), rules));
        self.holding = rules.clone();
        self.told = (under, stage.is_some());
        let plans = rules.iter().filter_map(|rules| rules.plan.as_ref());
        lock(&self.common).plans = plans.map(|(_, plan)| plan.clone()).collect();
        drop(self.tell.send(ConsensusMessage::Holds(Holds { under, stage, rules, also: self.also.clone() })));
    }

    fn plans(&mut self) -> Vec<Planned> {
        self.holding.iter().map(|rules| rules.plan.clone()).collect()
    }

    fn names(&self) -> (Vec<Vec<String>>, Vec<String>) {
        let tenants = self.holding.iter().map(|rules| rules.tenants.to_vec());
        (tenants.collect(), self.context.facts.zones.clone())
    }

    fn bound(&mut self, bound: Option<Bound>) {
        drop(self.tell.send(ConsensusMessage::Bound(bound)));
    }

    fn answer(&mut self, _id: u64, revision: &Revision, outcome: &Result<StageNo, Refusal>) {
        drop(self.tell.send(ConsensusMessage::Answer(revision.clone(), outcome.clone())));
    }
}

impl PolicyCompiler {
    fn all(&mut self, holds: On, texts: &[Revision]) -> Result<Vec<Rules>, String> {
        let numbers: Vec<RevisionNo> = match holds {
            On::Nothing => vec![],
            On::Alone(no) => vec![no],
            On::Joint { old, new } => old.into_iter().chain([new]).collect(),
        };
        let text = |no: RevisionNo| {
            texts.iter().find(|text| text.no == no).ok_or_else(|| format!("no text of revision {}", no.0))
        };
        numbers.into_iter().map(|no| self.rules(text(no)?)).collect()
    }

    /// Handles a policy that is in force in the fleet and can't be used here: what it governs is rejected from now on,
    /// whatever the operator's file here names, because other members serve it only where it is permitted.
    fn governs_too(&mut self, text: &str) {
        let before = self.also.len();
        self.governs(text);
        let (under, known) = self.told;
        // While an older policy is in force, this controller uses that one until its lease is over.
        if self.also.len() > before && !known {
            let holds = Holds { under, stage: None, rules: vec![], also: self.also.clone() };
            drop(self.tell.send(ConsensusMessage::Holds(holds)));
        }
    }

    fn governs(&mut self, text: &str) {
        let policy = Policy::parse(text).ok();
        let tenants =
            policy.as_ref().and_then(|policy| policy.shares.clone()).map_or(vec![], |section| section.tenant);
        let residency = policy.and_then(|policy| policy.residency).unwrap_or_default();
        let customers = residency.customers.values().flat_map(|customer| &customer.products);
        let rules = residency.rule.iter().filter_map(|rule| rule.get_ref().products.as_ref()).flatten();
        let Facts { products, govern, .. } = &self.context.facts;
        let shared = tenants.iter().filter_map(|tenant| tenant.products.as_ref()).flatten();
        let named = customers.chain(rules).chain(shared).filter_map(|name| {
            let place = products.iter().position(|known| known == name.get_ref())?;
            Some(ClassId(place as u16))
        });
        self.also.extend(named.filter(|product| !govern.contains(product)));
        // A tenant that names no request classes, and has no sub-tenants, is identified by all of them.
        let above = |name: &str| {
            tenants.iter().filter_map(|tenant| tenant.parent.as_ref()).any(|above| above.get_ref() == name)
        };
        if tenants.iter().any(|tenant| tenant.products.is_none() && !above(tenant.name.get_ref())) {
            let all = (0..products.len() as u16).map(ClassId);
            self.also.extend(all.filter(|product| !govern.contains(product)));
        }
    }

    /// Checks whether hosts can carry the traffic of this controller's own proxies while both policies are in force. If they
    /// can't carry it now either, a change is refused only if it increases the excess: it may be the change that fixes it.
    fn carried(
        &self,
        sight: &Sight,
        holds: &InUse,
        joint: &InUse,
        meanwhile: &BTreeSet<Governed>,
    ) -> Result<(), String> {
        /// A smaller increase than this factor is rounding.
        const MORE: f64 = 1.0 + 1e-9;
        let came = sight.came.iter().map(|(zone, product, per_s)| ((*product, *zone), *per_s));
        let demand: BTreeMap<Governed, f64> = came.filter(|(pair, _)| !meanwhile.contains(pair)).collect();
        let capacity: BTreeMap<ZoneId, f64> = sight.capacity.iter().copied().collect();
        // The traffic that no host can carry: the flow gives its amount, and the cut where it arises.
        let short = |over: &Over| over.demand - over.carries;
        let now = over(holds, &demand, &capacity).err().map_or(0.0, |over| short(&over));
        let Err(over) = over(joint, &demand, &capacity) else { return Ok(()) };
        if short(&over) <= now * MORE {
            return Ok(());
        }
        let pairs: Vec<String> = over.pairs.iter().map(|pair| self.named(pair.0, pair.1)).collect();
        let zones: Vec<&str> =
            over.zones.iter().map(|zone| name(&self.context.facts.zones, zone.0)).collect();
        Err(format!("{} in {}: {over}; {}", pairs.join(", "), zones.join(", "), over.advice()))
    }

    fn named(&self, product: ClassId, from: ZoneId) -> String {
        let Facts { products, zones, .. } = &self.context.facts;
        format!("{} from {}", name(products, product.0), name(zones, from.0))
    }
}

fn name(names: &[String], place: u16) -> &str {
    names.get(usize::from(place)).map_or("?", String::as_str)
}

/// Shares that the policy admits, in addition to the limits of service levels; the minimum of both applies.
pub type ShareLimits = Rc<RefCell<BTreeMap<(ZoneId, ClassId), f64>>>;

/// Wraps a controller that is given the minimum of two limits for each request class of a zone: that of the service levels
/// and that of the policy.
pub struct LimitedByPolicy<D> {
    inner: D,
    caps: ShareLimits,
    known: BTreeMap<(ZoneId, ClassId), f64>,
    lesser: Lesser,
}

impl<D: Decide> LimitedByPolicy<D> {
    pub fn new(inner: D, caps: ShareLimits) -> LimitedByPolicy<D> {
        LimitedByPolicy { inner, caps, known: BTreeMap::new(), lesser: Lesser::default() }
    }
}

impl<D: Decide> Decide for LimitedByPolicy<D> {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let caps = self.caps.borrow();
        let keys: BTreeSet<(ZoneId, ClassId)> = self.known.keys().chain(caps.keys()).copied().collect();
        let mut all = Vec::with_capacity(events.len());
        for (zone, product) in keys {
            let share = caps.get(&(zone, product)).copied().unwrap_or(1.0);
            if self.known.insert((zone, product), share).unwrap_or(1.0) != share {
                all.extend(self.lesser.share(Bound { zone, product, share }));
            }
        }
        drop(caps);
        all.extend(events.iter().cloned().filter_map(|event| self.lesser.level(event)));
        self.inner.decide(now, &all)
    }
}

/// Policy lease adapter of the event loop: passes the policy in force to the controller as events, and checks whether a reply
/// may be written under it.
pub struct PolicyLease {
    facts: Arc<Facts>,
    pairs: Vec<Governed>,
    holds: Holds,
    reach: Reach,
    /// When the next exception ends, Unix ms.
    until: Option<f64>,
    told: InUse,
    /// Something has changed since the events for the controller were last computed.
    stale: bool,
    common: Shared,
    caps: ShareLimits,
    /// The share of a request class in a zone that grants admit.
    granted: BTreeMap<(ZoneId, ClassId), f64>,
    /// Recent arrivals by proxy and class: the proxy's zone, requests a second, and until when the figure is valid.
    came: BTreeMap<(ProxyId, ClassId), (ZoneId, f64, f64)>,
    /// When the fleet view was last published.
    told_sight: f64,
    /// Requests a second that a host of weight 1 can serve; `None`: no grants are issued.
    per_weight: Option<f64>,
    /// The service levels here.
    levels: Option<levels::Shared>,
    /// The level that was last reported for issuing grants; `None`: full service.
    told_level: Option<usize>,
    judge: Judge,
    linger: f64,
    settled: Option<(StageNo, bool)>,
    /// While not settled: when proxies are asked again, and the pause after that.
    asks: Option<(f64, f64)>,
    seldom: Seldom,
    tell: Box<dyn Tell>,
    counters: Rc<Counters>,
    log: Logger,
}

/// Receives the event loop's reports for the consensus thread.
pub trait Tell {
    fn settled(&self, stage: StageNo, settled: bool);
    fn sees(&self, sight: Sight);
    fn level(&self, level: Option<usize>);
}

impl Tell for Talk {
    fn settled(&self, stage: StageNo, settled: bool) {
        Talk::settled(self, stage, settled);
    }
    fn sees(&self, sight: Sight) {
        Talk::sees(self, sight);
    }
    fn level(&self, level: Option<usize>) {
        Talk::level(self, level);
    }
}

impl PolicyLease {
    pub fn new(
        facts: Arc<Facts>,
        judge: Judge,
        linger: f64,
        tell: Box<dyn Tell>,
        caps: ShareLimits,
        counters: Rc<Counters>,
        log: Logger,
    ) -> PolicyLease {
        let pairs = pairs(&facts.govern, facts.zones.len());
        // Until a policy is received, none is known.
        let holds = Holds { under: Under::default(), stage: None, rules: vec![], also: BTreeSet::new() };
        PolicyLease {
            reach: Reach::declining(pairs.iter().copied()),
            facts,
            pairs,
            holds,
            until: None,
            told: InUse::new(),
            stale: true,
            common: Shared::default(),
            caps,
            granted: BTreeMap::new(),
            came: BTreeMap::new(),
            told_sight: 0.0,
            per_weight: None,
            levels: None,
            told_level: None,
            judge,
            linger,
            settled: None,
            asks: None,
            seldom: Seldom::default(),
            tell,
            counters,
            log,
        }
    }

    /// Makes the guarantees of tenants follow the service level in force here.
    pub fn follows(mut self, levels: levels::Shared) -> PolicyLease {
        self.levels = Some(levels);
        self
    }

    pub fn under(&self) -> Under {
        self.holds.under
    }

    pub fn stage(&self) -> Option<StageNo> {
        self.holds.stage
    }

    /// Applies another policy.
    pub fn apply(&mut self, unix_ms: f64, holds: Holds) {
        if holds.stage.is_none() {
            self.counters.declined_unknown.one();
            warn!(self.log, "the policy in force is unknown: governed request classes are rejected";
                "products" => self.facts.govern.len() + holds.also.len());
        }
        self.holds = holds;
        self.compile(unix_ms);
    }

    fn compile(&mut self, unix_ms: f64) {
        self.stale = true;
        self.until = None;
        let mut all: Option<Reach> = None;
        for rules in &self.holds.rules {
            match reach(rules, &self.facts, unix_ms) {
                Ok((one, until)) => {
                    all = Some(all.map_or_else(|| one.clone(), |all| all.joint(&one)));
                    self.until = [self.until, until].into_iter().flatten().reduce(f64::min);
                }
                Err(why) => {
                    error!(self.log, "the policy in force can't be used any more: governed request classes are rejected";
                        "why" => %why);
                    self.reach = self.declining();
                    return;
                }
            }
        }
        self.reach = match (self.holds.stage, all) {
            (None, _) => self.declining(),
            (Some(_), all) => all.unwrap_or_default(),
        };
    }

    fn declining(&self) -> Reach {
        let also = pairs(&self.holds.also, self.facts.zones.len());
        Reach::declining(self.pairs.iter().copied().chain(also))
    }

    /// Updates the hosts in service of each zone.
    pub fn listed(&mut self, listed: Listed) {
        let mut common = lock(&self.common);
        self.stale |= common.listed.hosts != listed.hosts;
        common.listed = listed;
    }

    /// Updates what grants admit; `None`: all of every class.
    pub fn bound(&mut self, bound: Option<Bound>) {
        match bound {
            Some(Bound { zone, product, share }) => drop(self.granted.insert((zone, product), share)),
            None => self.granted.clear(),
        }
        self.stale = true;
    }

    /// Records a report of the traffic that arrived at a proxy of the zone.
    pub fn record_arrivals(&mut self, now: f64, zone: ZoneId, event: &Event) {
        /// A report is valid until the next two of its kind could have arrived.
        const STANDS: f64 = 3.0;
        if let (Event::ProxyReport { proxy, class, txns, covered, .. }, true) =
            (event, self.per_weight.is_some())
        {
            if *covered > 0.0 {
                let per_s = f64::from(*txns) / covered * 1e3;
                self.came.insert((*proxy, *class), (zone, per_s, now + STANDS * covered));
            }
        }
    }

    /// Publishes recent arrivals and the capacity of hosts. `open` returns the weights of hosts that are not withdrawn, by
    /// what each was observed to carry.
    pub fn sees(&mut self, now: f64, open: impl FnOnce() -> BTreeMap<ZoneId, f64>) {
        /// The interval at which a member contacts the leader, ms.
        const EVERY: f64 = 200.0;
        let level = self.levels.as_ref().and_then(|levels| levels.borrow().level());
        if std::mem::replace(&mut self.told_level, level) != level {
            self.tell.level(level);
        }
        let Some(per_weight) = self.per_weight.filter(|_| now >= self.told_sight + EVERY) else { return };
        self.told_sight = now;
        self.came.retain(|_, (_, _, until)| *until > now);
        let mut came: BTreeMap<(ZoneId, ClassId), f64> = BTreeMap::new();
        for ((_, product), (zone, per_s, _)) in &self.came {
            *came.entry((*zone, *product)).or_default() += per_s;
        }
        let came = came.into_iter().map(|((zone, product), per_s)| (zone, product, per_s)).collect();
        let capacity = open().into_iter().map(|(zone, weight)| (zone, weight * per_weight)).collect();
        let sight = Sight { came, capacity };
        lock(&self.common).sight = Some(sight.clone());
        self.tell.sees(sight);
    }

    /// Whether the controller has to be called even without other events.
    pub fn needs_decision(&self, unix_ms: f64) -> bool {
        self.stale || self.until.is_some_and(|until| until <= unix_ms)
    }

    /// The events that update the controller to the policy in force. No other place passes the policy to it.
    pub fn events(&mut self, now: f64, unix_ms: f64) -> Vec<Event> {
        if self.until.is_some_and(|until| until <= unix_ms) {
            self.compile(unix_ms);
        }
        if !std::mem::take(&mut self.stale) {
            return vec![];
        }
        let there = there(&lock(&self.common).listed.hosts);
        let wanted = self.reach.in_use(there);
        // Where no permitted zone has a host, requests are rejected at once instead of being tried.
        let bare = wanted.iter().filter(|(_, zones)| zones.intersection(there).is_empty());
        let mut caps = self.granted.clone();
        caps.extend(bare.map(|((product, zone), _)| ((*zone, *product), 0.0)));
        *self.caps.borrow_mut() = caps;
        let events = difference(&self.told, &wanted);
        self.judge.reach(now, wanted.clone());
        self.told = wanted;
        events
    }

    /// Records a restart of the controller, which then knows of no policy.
    pub fn restarted(&mut self) {
        self.told = InUse::new();
        self.stale = true;
    }

    pub fn judge(&mut self) -> &mut Judge {
        &mut self.judge
    }

    /// Removes orders from a reply that may not be written; each is counted and logged with its reason.
    pub fn sift(&mut self, now: f64, orders: Vec<Order>) -> Sifted {
        let sifted = self.judge.sift(now, orders);
        for (order, breach) in &sifted.refused {
            self.counters.breaches.one();
            error!(self.log, "an order that would break residency is not sent"; "order" => ?order, "why" => %breach,
                "advice" => breach.advice(), "under" => self.holds.under.0);
        }
        sifted
    }

    /// Reports, when it changes, whether no proxy can hold anything that the stage does not permit.
    pub fn settle(&mut self, now: f64) {
        let Some(stage) = self.holds.stage.filter(|_| !self.stale) else { return };
        let settled = self.judge.settled(now, self.linger);
        let told = (stage, settled.is_ok());
        let news = self.settled.replace(told) != Some(told);
        match settled {
            Ok(()) => {
                self.asks = None;
                if news {
                    info!(self.log, "settled"; "stage" => stage.0);
                }
            }
            Err(witness) => {
                self.asks.get_or_insert((now + FIRST_ASK_PAUSE, FIRST_ASK_PAUSE));
                if let Some(hidden) = self.seldom.pass() {
                    info!(self.log, "not settled yet"; "stage" => stage.0, "waits_for" => %witness, "hidden" => hidden);
                }
            }
        }
        if news {
            self.tell.settled(told.0, told.1);
        }
    }

    /// Whether a mark has to be ordered to find out what proxies hold: an answer to a mark may be lost, and without other
    /// orders there would be no further mark to answer.
    pub fn mark_due(&mut self, now: f64) -> bool {
        let Some((at, pause)) = &mut self.asks else { return false };
        let due = now >= *at;
        if due {
            *pause = (2.0 * *pause).min(MAX_ASK_PAUSE);
            *at = now + *pause;
        }
        due
    }
}

/// First and longest pause before a mark is ordered alone, ms. An answer in transit takes a fraction of the first pause. Such
/// a mark costs each proxy a message, so the pause doubles each time.
const FIRST_ASK_PAUSE: f64 = 1_000.0;
const MAX_ASK_PAUSE: f64 = 8_000.0;

/// The members that a section names.
pub fn members(section: &Section) -> Vec<Member> {
    let member = |named: &NamedMember| Member {
        name: Name::from(named.name.get_ref().as_str()),
        at: *named.address.get_ref(),
        votes: named.votes,
    };
    section.member.iter().map(|named| member(named.get_ref())).collect()
}

fn lengths(section: &Section) -> Lengths {
    Lengths {
        acts: ms(&section.acts),
        knows: ms(&section.knows),
        drift: *section.drift.get_ref(),
        slack: ms(&section.slack),
        linger: ms(&section.linger),
        election: ms(&section.election),
        beat: ms(&section.beat),
        check_within: ms(&section.check_within),
        grant: ms(&section.grant),
    }
}

/// Wraps a controller factory so that the policy's limits apply, inside those of service levels.
pub fn limited_by_policy(make: Make, caps: ShareLimits) -> Make {
    Box::new(move |seed| Box::new(LimitedByPolicy::new(make(seed), caps.clone())))
}

/// The parts of a started fleet membership.
pub struct Started {
    pub handle: Rc<FleetHandle>,
    pub policy_lease: PolicyLease,
    pub gate: Gate,
    /// For [`Front::run`].
    pub told: mpsc::UnboundedReceiver<ConsensusMessage>,
}

/// The daemon's identity and settings in its fleet.
pub struct Identity {
    pub name: String,
    pub context: CompileContext,
    /// How long a host still counts for the zone that it was listed in before, ms.
    pub drain_grace: f64,
    pub seed: u64,
    pub clock: UnixClock,
}

/// Starts the communication with the fleet.
///
/// # Errors
/// A resource is missing, such as the address or the folder, with advice.
pub fn start(
    section: &Section,
    own: Identity,
    caps: ShareLimits,
    counters: Rc<Counters>,
    log: &Logger,
) -> Result<Started, String> {
    let log = log.new(o!("part" => "fleet"));
    let Identity { name, context, drain_grace, seed, clock } = own;
    let name = Name::from(section.name.as_ref().map_or(name.as_str(), |name| name.get_ref().as_str()));
    let common = Shared::default();
    let products = context.facts.products.len() as u16;
    let (tell, told) = mpsc::unbounded_channel();
    let compiler = PolicyCompiler::new(context.clone(), common.clone(), clock, tell, log.clone());
    let post = Post {
        fleet: FleetId(section.id.get_ref().as_str().into()),
        name: name.clone(),
        listen: section.listen,
        members: members(section),
        folder: section.folder.clone(),
        lengths: lengths(section),
        message_bytes: *section.most_message_bytes.get_ref() as usize,
        history: section.history.clone(),
        seed,
    };
    let talk = fleet::start(post, compiler, log.clone()).map_err(|why| format!("{why}; {}", why.advice()))?;
    info!(log, "this controller belongs to a fleet"; "as" => %name, "listen" => %talk.at,
        "fleet" => section.id.get_ref());
    let linger = section.linger.get_ref().0.as_secs_f64() * 1e3;
    let mut policy_lease = PolicyLease::new(
        Arc::new(context.facts.clone()),
        Judge::new(products, drain_grace),
        linger,
        Box::new(talk.clone()),
        caps,
        counters,
        log.clone(),
    );
    (policy_lease.common, policy_lease.per_weight) = (common.clone(), context.per_weight);
    let gate = Gate::new(talk.fence.clone(), talk.history.clone());
    let handle = FleetHandle {
        talk,
        policy: section.policy.get_ref().clone(),
        facts: context.facts.clone(),
        context: RefCell::new(context),
        common,
        clock,
        members: RefCell::new(members(section)),
        proposed: RefCell::default(),
        log,
    };
    Ok(Started { handle: Rc::new(handle), policy_lease, gate, told })
}

/// Time for leaving the fleet, of the 0.7 s that the platform allows between SIGTERM and SIGKILL; the rest is for state,
/// counters and the log.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(450);

/// Handle of `main` to the fleet: proposals, reloads and shutdown.
pub struct FleetHandle {
    talk: Talk,
    policy: PathBuf,
    context: RefCell<CompileContext>,
    facts: Facts,
    common: Shared,
    clock: UnixClock,
    members: RefCell<Vec<Member>>,
    /// The revision that was last proposed from the file.
    proposed: RefCell<Option<(RevisionNo, Digest)>>,
    log: Logger,
}

impl FleetHandle {
    /// Passes messages of the consensus thread to the event loop, and logs the outcome of proposals; never returns while that
    /// thread runs.
    pub async fn run(self: Rc<FleetHandle>, mut told: mpsc::UnboundedReceiver<ConsensusMessage>, ties: Ties) {
        while let Some(told) = told.recv().await {
            match told {
                ConsensusMessage::Holds(holds) => drop(ties.desk.send(Heard::Holds(holds)).await),
                ConsensusMessage::Bound(bound) => drop(ties.desk.send(Heard::Bound(bound)).await),
                ConsensusMessage::Answer(revision, outcome) => self.answered(revision, outcome),
            }
        }
    }

    /// Proposes the current policy file. If it is invalid, the policy in force stays.
    pub fn propose(&self) {
        match self.read() {
            Ok(revision) => {
                info!(self.log, "proposed"; "revision" => revision.no.0, "digest" => %revision.digest);
                *self.proposed.borrow_mut() = Some((revision.no, revision.digest));
                self.talk.propose(revision);
            }
            Err(why) => error!(self.log, "the policy file can't be used; the policy in force stays";
                "file" => %self.policy.display(), "why" => why,
                "advice" => "fix it, check it with `amberarch check`, and send SIGHUP"),
        }
    }

    fn read(&self) -> Result<Revision, String> {
        let text = std::fs::read_to_string(&self.policy).map_err(|why| why.to_string())?;
        let fit = fit(&text, &self.context.borrow(), None, self.clock.now_ms());
        let fit = fit.map_err(|fault| fault.to_string())?;
        let no = RevisionNo(fit.no);
        Ok(Revision { no, digest: Digest::of(&text), text: text.into() })
    }

    /// Handles the outcome of a proposal. The file is the desired state, so a proposal of unknown outcome is repeated unless
    /// the file has changed since.
    fn answered(&self, revision: Revision, outcome: Result<StageNo, Refusal>) {
        let (no, digest) = (revision.no, revision.digest);
        let log = &self.log;
        match outcome {
            Ok(stage) => info!(log, "in force"; "revision" => no.0, "digest" => %digest, "stage" => stage.0),
            Err(Refusal::Unsure) if *self.proposed.borrow() == Some((no, digest)) => {
                info!(log, "the outcome of a proposal is unknown; proposing it again"; "revision" => no.0);
                self.talk.propose(revision);
            }
            // Normal: each member proposes the same file when it starts.
            Err(Refusal::NotAbove { known, .. }) if known == no => {
                info!(log, "the revision is already known"; "revision" => no.0);
            }
            Err(why) => warn!(log, "a proposal was refused"; "revision" => no.0, "digest" => %digest,
                "why" => %why, "advice" => why.advice()),
        }
    }

    /// Applies a reloaded operator's file: if it names other members, the fleet is informed.
    pub fn reread(&self, section: Option<&Section>) {
        let Some(section) = section else {
            return warn!(
                self.log,
                "the operator's file has no [fleet] any more; this takes effect at the next start"
            );
        };
        let govern: BTreeSet<&str> =
            section.govern.get_ref().iter().map(|name| name.get_ref().as_str()).collect();
        let started: BTreeSet<&str> = {
            let Facts { products, govern, .. } = &self.facts;
            govern.iter().map(|product| name(products, product.0)).collect()
        };
        if govern != started {
            warn!(self.log, "the operator's file governs other products; this takes effect at the next start";
                "file" => ?govern, "here" => ?started, "advice" => "start the members anew one after the other, and \
                only then propose a revision that names a product more");
        }
        let named = members(section);
        if *self.members.borrow() != named {
            // Floors are admitted without a grant, so they have to be divided among all members beforehand.
            let mut common = lock(&self.common);
            if !common.plans.iter().all(|plan| plan.holds_for(&holders(named.len()))) {
                return error!(self.log, "the operator's file names more members than the plan that holds has floors \
                    for; the members are unchanged"; "members" => named.len(),
                    "advice" => "raise `floor.stewards` by a revision first, then send SIGHUP again");
            }
            common.members = Some(named.len());
            drop(common);
            self.context.borrow_mut().members = named.len();
            info!(self.log, "the operator's file names other members"; "members" => named.len());
            *self.members.borrow_mut() = named.clone();
            self.talk.members(named);
        }
    }

    /// Leaves the fleet on SIGTERM: no order is sent from here on, and the fleet is told, so nothing has to wait for this
    /// member. Returns once the leader has confirmed, and another leader is elected if this member was the leader; or when
    /// the time is over, and then the fleet waits for the lease to expire as if the process had been killed.
    pub async fn let_go(&self) {
        let begun = tokio::time::Instant::now();
        let heard = matches!(tokio::time::timeout(LEAVE_TIMEOUT, self.talk.let_go()).await, Ok(Ok(())));
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        match heard {
            true => info!(self.log, "let go"; "ms" => ms),
            false => warn!(self.log, "ends unheard: changes wait for this steward's lease"; "ms" => ms,
                "advice" => "check that a majority of voters is up and reaches this controller"),
        }
    }

    /// Ends the communication with the fleet.
    pub fn end(&self) {
        self.talk.end();
    }

    /// Writes the state of the current policy change to the log.
    pub fn show(&self) {
        self.talk.show();
    }
}
