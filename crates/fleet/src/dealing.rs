//! Fair shares on the loop: this steward's own grants, and the dealing where it is the chair. What the two say to each
//! other under one roof does not leave it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_accord::{Base, Entry, Logged, MemberChange, Name, Place};
use amberarch_core::{ClassId, ZoneId};
use amberarch_shares::{Bound, Chair, Heard, Holder, Input, Joint, Lengths, Out, Output, Planned, Said};

use crate::drawn;

/// To be carried out by the loop.
#[derive(Debug)]
pub enum Do {
    Say(Name, Said),
    /// This went from one side to the other under this roof: for histories alone.
    Own(Said),
    Bound(Bound),
    /// Nothing is bounded any more: no plan holds.
    Lift,
    Log(String),
}

/// What one steward sees of late.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// Txns a second, let in or not, by the zone whose proxies they came to.
    pub came: Vec<(ZoneId, ClassId, f64)>,
    /// What the open hosts of each zone can do, txns a second.
    pub capacity: Vec<(ZoneId, f64)>,
}

pub struct Dealing {
    me: Name,
    lengths: Lengths,
    /// All that may hold, the one that held before first.
    plans: Vec<Planned>,
    joint: Joint,
    /// The term that this member chairs or chaired last, and the dealing of each plan in it. One whose plan is not
    /// known to hold for a while stays: in the same term what it dealt counts on.
    chairs: (u64, BTreeMap<u64, Chair>),
    /// The term, and who chairs it.
    led: (u64, Option<Name>),
    /// The level of service in force, by its place.
    level: Option<usize>,
    /// A member's number as long as this run lives.
    holders: BTreeMap<Name, Holder>,
    /// To whom is dealt: whom the log names, and before anything stands the operator's file.
    members: BTreeSet<Name>,
    /// How far the log was followed.
    followed: Place,
    /// As the chair of a new term: until when those that were taken out count as members, ms. What an earlier chair gave
    /// them is not known here, and they won't say; so nothing more is dealt until it must be over.
    gone_until: f64,
    /// Until when somebody may hold a grant whom this run never knew as a member, ms.
    strangers_until: f64,
}

/// In place of members that this run never knew: it never says what it holds.
const STRANGER: Holder = Holder(u16::MAX);

impl Dealing {
    pub fn new(now: f64, me: Name, lengths: Lengths, members: Vec<Name>) -> Dealing {
        let mut dealing = Dealing {
            me,
            lengths,
            plans: vec![],
            joint: Joint::new(now, &lengths),
            chairs: (0, BTreeMap::new()),
            led: (0, None),
            level: None,
            holders: BTreeMap::new(),
            members: BTreeSet::new(),
            followed: Place(0),
            gone_until: f64::NEG_INFINITY,
            strangers_until: f64::NEG_INFINITY,
        };
        dealing.know(&[dealing.me.clone()]);
        dealing.members(now, members);
        dealing
    }

    /// Whom the operator's file names. Where a log stands it says who the members are: files change at one member before
    /// another, and a chair that went by its own would deal out what one holds whom only an earlier chair's named.
    pub fn members(&mut self, now: f64, members: Vec<Name>) {
        self.know(&members);
        if self.followed == Place(0) {
            self.deals_to(now, members.into_iter().collect());
        }
    }

    /// How far the log stands, what it amounts to, and its entries that are not folded into that. All that chairs ever
    /// dealt to were members by what stood then, and a chair deals only once all that stood before it stands here.
    pub fn follow<'a>(
        &mut self,
        now: f64,
        place: Place,
        base: &Base,
        stood: impl Fn(Place) -> Option<&'a Logged>,
    ) {
        if place == self.followed {
            return;
        }
        for at in self.followed.0 + 1..=place.0 {
            match stood(Place(at)).map(|logged| &logged.entry) {
                Some(Entry::Founded { voters, followers }) => {
                    self.know(voters);
                    self.know(followers);
                }
                Some(Entry::Members(change)) => {
                    let (MemberChange::Follows { name }
                    | MemberChange::Votes { name, .. }
                    | MemberChange::Leaves { name }) = change;
                    self.know(std::slice::from_ref(name));
                }
                Some(_) => {}
                // Somebody may have come and gone in what was folded: its last grant was dealt before that stood.
                None => {
                    self.strangers_until = now + self.lengths.longest();
                    break;
                }
            }
        }
        self.followed = place;
        let members: BTreeSet<Name> =
            base.voters.iter().map(|(name, _)| name).chain(&base.followers).cloned().collect();
        if !members.is_empty() {
            self.know(&members.iter().cloned().collect::<Vec<_>>());
            self.deals_to(now, members);
        }
    }

    fn know(&mut self, names: &[Name]) {
        for name in names {
            let next = Holder(self.holders.len() as u16);
            self.holders.entry(name.clone()).or_insert(next);
        }
    }

    fn deals_to(&mut self, now: f64, members: BTreeSet<Name>) {
        self.members = members;
        let holders = self.all(now);
        self.chairs.1.values_mut().for_each(|chair| drop(chair.handle(now, Input::Holders(holders.clone()))));
    }

    /// Who may hold grants. This member itself always: whatever a run before it left counts until this one is old enough.
    fn all(&self, now: f64) -> BTreeSet<Holder> {
        let gone = now < self.gone_until;
        let counts = |name: &Name| gone || *name == self.me || self.members.contains(name);
        let known = self.holders.iter().filter(|(name, _)| counts(name)).map(|(_, holder)| *holder);
        known.chain((now < self.strangers_until).then_some(STRANGER)).collect()
    }

    /// The plans of all revisions that may hold, the one that held before first; none of a revision that deals nothing.
    /// Without any revision nothing is known to hold.
    pub fn plans(&mut self, now: f64, plans: Vec<Planned>) -> Vec<Do> {
        let number = |planned: &Planned| planned.as_ref().map(|(no, _)| *no);
        if plans.iter().map(number).eq(self.plans.iter().map(number)) {
            return vec![];
        }
        self.plans = plans;
        // What no longer may hold never does again.
        let least = self.plans.iter().filter_map(number).min();
        let gone = |no: &u64| least.is_some_and(|least| *no < least);
        self.chairs.1.retain(|no, _| !gone(no));
        let said = self.joint.plans(now, &self.plans, || drawn() as u32);
        let mut out = self.lead(now);
        if least.is_none() {
            out.push(Do::Lift);
            return out;
        }
        out.extend(self.carry(now, said));
        out
    }

    /// Whether what is let in here satisfies each of the plans; until then it is not settled.
    pub fn ready(&self) -> bool {
        self.joint.ready()
    }

    /// The level of service in force here, by its place in the operator's file; none: full service.
    pub fn level(&mut self, now: f64, level: Option<usize>) -> Vec<Do> {
        self.level = level;
        self.chaired(now, &Input::Level(level))
    }

    /// Who the chair is, as this member knows it.
    pub fn led(&mut self, now: f64, term: u64, chair: Option<&Name>) -> Vec<Do> {
        if (term, chair) == (self.led.0, self.led.1.as_ref()) {
            return vec![];
        }
        self.led = (term, chair.cloned());
        let mut out = self.lead(now);
        if self.led.1.is_some() {
            out.extend(self.holds(now, &Heard::Chair { term }));
        }
        out
    }

    /// Deals where this member is the chair, and nowhere else.
    fn lead(&mut self, now: f64) -> Vec<Do> {
        let term = self.led.0;
        if self.chairs.0 != term {
            self.chairs = (term, BTreeMap::new());
        }
        if self.led.1.as_ref() != Some(&self.me) {
            return vec![];
        }
        let mut out = Vec::new();
        for (no, plan) in self.plans.iter().flatten() {
            if self.chairs.1.contains_key(no) {
                continue;
            }
            if self.chairs.1.is_empty() {
                self.gone_until = now + self.lengths.longest();
            }
            let holders = self.all(now);
            let mut chair = Chair::new(now, term, *no, plan.clone(), holders.clone(), self.lengths);
            chair.handle(now, Input::Level(self.level));
            self.chairs.1.insert(*no, chair);
            out.push(Do::Log(format!("deals fair shares in term {term} by revision {no}")));
        }
        out
    }

    /// Whether this member deals by that plan: it chairs, and the plan may hold.
    fn deals(&self, no: u64) -> bool {
        let mine = self.led.1.as_ref() == Some(&self.me) && self.chairs.0 == self.led.0;
        mine && self.plans.iter().flatten().any(|planned| planned.0 == no)
    }

    fn chair(&mut self, no: u64) -> Option<&mut Chair> {
        let deals = self.deals(no);
        self.chairs.1.get_mut(&no).filter(|_| deals)
    }

    /// A majority has said, in a round that began then, that this is the chair.
    pub fn stood(&mut self, now: f64, since: f64) -> Vec<Do> {
        self.chaired(now, &Input::Stood { since })
    }

    pub fn heard(&mut self, now: f64, from: &Name, said: Said) -> Vec<Do> {
        match said {
            Said::Dealt { .. } => self.holds(now, &Heard::From(said)),
            said => {
                let member = self.members.contains(from);
                let Some(from) = self.holders.get(from).copied().filter(|_| member) else { return vec![] };
                let outputs = self.hears(now, from, said);
                self.deal(now, outputs)
            }
        }
    }

    pub fn sees(&mut self, now: f64, sight: Sight) -> Vec<Do> {
        // What others said before is older than this: no dealing goes on by it.
        let fell = self.joint.fallen(&sight.capacity);
        let mut out = Vec::new();
        for (zone, per_s) in fell {
            out.extend(self.chaired(now, &Input::Fell { zone: zone.into(), per_s }));
        }
        out.extend(self.holds(now, &Heard::Came(sight.came)));
        out.extend(self.holds(now, &Heard::Capacity(sight.capacity)));
        out
    }

    pub fn tick(&mut self, now: f64) -> Vec<Do> {
        let mut over = false;
        for until in [&mut self.gone_until, &mut self.strangers_until] {
            if until.is_finite() && now >= *until {
                (*until, over) = (f64::NEG_INFINITY, true);
            }
        }
        if over {
            self.deals_to(now, self.members.clone());
        }
        let mut out = self.holds(now, &Heard::Tick);
        out.extend(self.chaired(now, &Input::Tick));
        out
    }

    pub fn due(&self) -> f64 {
        let chairs = self.chairs.1.iter().filter(|(no, _)| self.deals(**no));
        let counted = [self.gone_until, self.strangers_until].into_iter().filter(|until| until.is_finite());
        chairs.map(|(_, chair)| chair.due()).chain(counted).fold(self.joint.due(), f64::min)
    }

    fn holds(&mut self, now: f64, heard: &Heard) -> Vec<Do> {
        let out = self.joint.handle(now, heard);
        self.carry(now, out)
    }

    /// To the dealing of each plan that may hold.
    fn chaired(&mut self, now: f64, input: &Input) -> Vec<Do> {
        let numbers: Vec<u64> = self.chairs.1.keys().copied().collect();
        let mut outputs = Vec::new();
        for no in numbers {
            outputs.extend(self.chair(no).map_or(vec![], |chair| chair.handle(now, input.clone())));
        }
        self.deal(now, outputs)
    }

    /// A holder's word goes to the dealing that it names, or whose round it names: no two plans have the same runs.
    fn hears(&mut self, now: f64, from: Holder, said: Said) -> Vec<Output> {
        let numbers: Vec<u64> = match &said {
            Said::Seen(seen) => vec![seen.plan],
            _ => self.chairs.1.keys().copied().collect(),
        };
        let mut outputs = Vec::new();
        for no in numbers {
            let said = said.clone();
            let chair = self.chair(no);
            outputs.extend(chair.map_or(vec![], |chair| chair.handle(now, Input::Heard { from, said })));
        }
        outputs
    }

    /// What this steward's own side says goes to the chair, which may be here.
    fn carry(&mut self, now: f64, outs: Vec<Out>) -> Vec<Do> {
        let mut out = Vec::new();
        let mut left: VecDeque<Out> = outs.into();
        while let Some(one) = left.pop_front() {
            match (one, &self.led.1) {
                (Out::Bound(bound), _) => out.push(Do::Bound(bound)),
                (Out::Say(said), Some(chair)) if *chair == self.me => {
                    let Some(from) = self.holders.get(&self.me).copied() else { continue };
                    out.push(Do::Own(said.clone()));
                    for output in self.hears(now, from, said) {
                        match output {
                            Output::Send { to, said } if to == from => {
                                out.push(Do::Own(said.clone()));
                                left.extend(self.joint.handle(now, &Heard::From(said)));
                            }
                            other => out.extend(self.told(other)),
                        }
                    }
                }
                (Out::Say(said), Some(chair)) => out.push(Do::Say(chair.clone(), said)),
                (Out::Say(_), None) => {}
            }
        }
        out
    }

    /// What the chair deals goes to the holders, of whom one is here.
    fn deal(&mut self, now: f64, outputs: Vec<Output>) -> Vec<Do> {
        let mut out = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, said } if self.holders.get(&self.me) == Some(&to) => {
                    out.push(Do::Own(said.clone()));
                    out.extend(self.holds(now, &Heard::From(said)));
                }
                other => out.extend(self.told(other)),
            }
        }
        out
    }

    fn told(&self, output: Output) -> Option<Do> {
        match output {
            Output::Send { to, said } => {
                let name = self.holders.iter().find(|(_, holder)| **holder == to)?.0;
                Some(Do::Say(name.clone(), said))
            }
            Output::Gave(tenants) => Some(Do::Log(format!("{} tenants give way", tenants.len()))),
            Output::Short(true) => Some(Do::Log("less room than is guaranteed".into())),
            Output::Short(false) => Some(Do::Log("all that is guaranteed has room again".into())),
        }
    }
}

#[cfg(test)]
mod tests;
