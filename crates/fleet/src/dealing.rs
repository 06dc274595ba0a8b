//! Quota on the event loop: the grants that this controller holds, and the issuing of grants while it is the leader.
//! Messages between the two sides of the same member are delivered locally.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberarch_accord::{Base, Entry, Logged, MemberChange, Name, Place};
use amberarch_core::{ClassId, ZoneId};
use amberarch_shares::{Bound, Chair, Heard, Holder, Input, Joint, Lengths, Out, Output, Planned, Said};

use crate::random_id;

/// Output to be carried out by the event loop.
#[derive(Debug)]
pub enum Action {
    Send(Name, Said),
    /// A message that was delivered within this member; only recorded in the history.
    Local(Said),
    Bound(Bound),
    /// Removes all limits: no plan is in force.
    Lift,
    Log(String),
}

/// Recent measurements of one controller.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// Demand, txns a second, admitted or not, by the zone whose proxies received them.
    pub came: Vec<(ZoneId, ClassId, f64)>,
    /// Capacity of the open hosts of each zone, txns a second.
    pub capacity: Vec<(ZoneId, f64)>,
}

pub struct Quota {
    me: Name,
    lengths: Lengths,
    /// All plans that may be in force, the previous one first.
    plans: Vec<Planned>,
    joint: Joint,
    /// The term in which this member leads or led last, and the quota leader of each plan in it. A quota leader is kept
    /// while its plan is not known to be in force: grants that it issued in the same term still count.
    leaders: (u64, BTreeMap<u64, Chair>),
    /// The current term and its leader.
    leader: (u64, Option<Name>),
    /// The service level in force, by its index.
    level: Option<usize>,
    /// Holder number of each member that this incarnation knows.
    holders: BTreeMap<Name, Holder>,
    /// Members that grants are issued to: those of the consensus log, or of the operator's file while nothing is
    /// committed.
    members: BTreeSet<Name>,
    /// The commit index up to which the log was read.
    followed_to: Place,
    /// On the leader of a new term: until when removed members still count as members, ms. Their grants from an earlier
    /// leader are unknown here and they no longer report, so their quota is not granted again until it must have
    /// expired.
    removed_until: f64,
    /// Until when a member unknown to this incarnation may hold a grant, ms.
    unknown_until: f64,
}

/// Stands for members that this incarnation never knew; it never reports its held grants.
const UNKNOWN_HOLDER: Holder = Holder(u16::MAX);

impl Quota {
    pub fn new(now: f64, me: Name, lengths: Lengths, members: Vec<Name>) -> Quota {
        let mut quota = Quota {
            me,
            lengths,
            plans: vec![],
            joint: Joint::new(now, &lengths),
            leaders: (0, BTreeMap::new()),
            leader: (0, None),
            level: None,
            holders: BTreeMap::new(),
            members: BTreeSet::new(),
            followed_to: Place(0),
            removed_until: f64::NEG_INFINITY,
            unknown_until: f64::NEG_INFINITY,
        };
        quota.register(&[quota.me.clone()]);
        quota.members(now, members);
        quota
    }

    /// Applies the member list of the operator's file. Once the log has committed entries it defines the members
    /// instead: files change at different times on different members, and a leader that used its own file would grant
    /// again what is held by a member that only an earlier leader's file listed.
    pub fn members(&mut self, now: f64, members: Vec<Name>) {
        self.register(&members);
        if self.followed_to == Place(0) {
            self.set_members(now, members.into_iter().collect());
        }
    }

    /// Follows the log up to the commit index `place`; `base` is the state there, and `committed` returns committed
    /// entries that are not compacted. All holders of grants were members by the entries committed at the time, and a
    /// leader issues grants only once all earlier committed entries are committed here too.
    pub fn follow<'a>(
        &mut self,
        now: f64,
        place: Place,
        base: &Base,
        committed: impl Fn(Place) -> Option<&'a Logged>,
    ) {
        if place == self.followed_to {
            return;
        }
        for at in self.followed_to.0 + 1..=place.0 {
            match committed(Place(at)).map(|logged| &logged.entry) {
                Some(Entry::Founded { voters, followers }) => {
                    self.register(voters);
                    self.register(followers);
                }
                Some(Entry::Members(change)) => {
                    let (MemberChange::Follows { name }
                    | MemberChange::Votes { name, .. }
                    | MemberChange::Leaves { name }) = change;
                    self.register(std::slice::from_ref(name));
                }
                Some(_) => {}
                // A member may have joined and left in the compacted entries. Its last grant was issued before they
                // were committed.
                None => {
                    self.unknown_until = now + self.lengths.longest();
                    break;
                }
            }
        }
        self.followed_to = place;
        let members: BTreeSet<Name> =
            base.voters.iter().map(|(name, _)| name).chain(&base.followers).cloned().collect();
        if !members.is_empty() {
            self.register(&members.iter().cloned().collect::<Vec<_>>());
            self.set_members(now, members);
        }
    }

    fn register(&mut self, names: &[Name]) {
        for name in names {
            let next = Holder(self.holders.len() as u16);
            self.holders.entry(name.clone()).or_insert(next);
        }
    }

    fn set_members(&mut self, now: f64, members: BTreeSet<Name>) {
        self.members = members;
        let holders = self.current_holders(now);
        self.leaders
            .1
            .values_mut()
            .for_each(|leader| drop(leader.handle(now, Input::Holders(holders.clone()))));
    }

    /// The holders that may have grants. This member is always one: grants of its previous incarnation count until this
    /// one has run long enough.
    fn current_holders(&self, now: f64) -> BTreeSet<Holder> {
        let gone = now < self.removed_until;
        let counts = |name: &Name| gone || *name == self.me || self.members.contains(name);
        let known = self.holders.iter().filter(|(name, _)| counts(name)).map(|(_, holder)| *holder);
        known.chain((now < self.unknown_until).then_some(UNKNOWN_HOLDER)).collect()
    }

    /// Sets the plans of all revisions that may be in force, the previous one first; `None` for a revision without
    /// quotas. An empty list means that no revision is known to be in force.
    pub fn plans(&mut self, now: f64, plans: Vec<Planned>) -> Vec<Action> {
        let number = |planned: &Planned| planned.as_ref().map(|(no, _)| *no);
        if plans.iter().map(number).eq(self.plans.iter().map(number)) {
            return vec![];
        }
        self.plans = plans;
        // A plan that can no longer be in force never is again.
        let least = self.plans.iter().filter_map(number).min();
        let gone = |no: &u64| least.is_some_and(|least| *no < least);
        self.leaders.1.retain(|no, _| !gone(no));
        let said = self.joint.plans(now, &self.plans, || random_id() as u32);
        let mut out = self.start_leading(now);
        if least.is_none() {
            out.push(Action::Lift);
            return out;
        }
        out.extend(self.deliver_to_leader(now, said));
        out
    }

    /// Whether admission here satisfies every plan; the stage counts as settled only then.
    pub fn ready(&self) -> bool {
        self.joint.ready()
    }

    /// Sets the service level in force here, by its index in the operator's file; `None`: full service.
    pub fn level(&mut self, now: f64, level: Option<usize>) -> Vec<Action> {
        self.level = level;
        self.notify_leaders(now, &Input::Level(level))
    }

    /// Sets the term and the leader, as known to this member.
    pub fn leader_changed(&mut self, now: f64, term: u64, leader: Option<&Name>) -> Vec<Action> {
        if (term, leader) == (self.leader.0, self.leader.1.as_ref()) {
            return vec![];
        }
        self.leader = (term, leader.cloned());
        let mut out = self.start_leading(now);
        if self.leader.1.is_some() {
            out.extend(self.notify_holder(now, &Heard::Chair { term }));
        }
        out
    }

    /// Starts a quota leader for each plan if this member is the leader.
    fn start_leading(&mut self, now: f64) -> Vec<Action> {
        let term = self.leader.0;
        if self.leaders.0 != term {
            self.leaders = (term, BTreeMap::new());
        }
        if self.leader.1.as_ref() != Some(&self.me) {
            return vec![];
        }
        let mut out = Vec::new();
        for (no, plan) in self.plans.iter().flatten() {
            if self.leaders.1.contains_key(no) {
                continue;
            }
            if self.leaders.1.is_empty() {
                self.removed_until = now + self.lengths.longest();
            }
            let holders = self.current_holders(now);
            let mut leader = Chair::new(now, term, *no, plan.clone(), holders.clone(), self.lengths);
            leader.handle(now, Input::Level(self.level));
            self.leaders.1.insert(*no, leader);
            out.push(Action::Log(format!("issuing quota grants in term {term} for revision {no}")));
        }
        out
    }

    /// Whether this member issues grants of that plan: it is the leader, and the plan may be in force.
    fn issues_grants_of(&self, no: u64) -> bool {
        let mine = self.leader.1.as_ref() == Some(&self.me) && self.leaders.0 == self.leader.0;
        mine && self.plans.iter().flatten().any(|planned| planned.0 == no)
    }

    fn quota_leader(&mut self, no: u64) -> Option<&mut Chair> {
        let deals = self.issues_grants_of(no);
        self.leaders.1.get_mut(&no).filter(|_| deals)
    }

    /// A majority has confirmed, in a round begun at `since`, that this member is the leader.
    pub fn leadership_confirmed(&mut self, now: f64, since: f64) -> Vec<Action> {
        self.notify_leaders(now, &Input::Stood { since })
    }

    pub fn received(&mut self, now: f64, from: &Name, said: Said) -> Vec<Action> {
        match said {
            Said::Dealt { .. } => self.notify_holder(now, &Heard::From(said)),
            said => {
                let member = self.members.contains(from);
                let Some(from) = self.holders.get(from).copied().filter(|_| member) else { return vec![] };
                let outputs = self.notify_named_leader(now, from, said);
                self.deliver_to_holders(now, outputs)
            }
        }
    }

    pub fn measured(&mut self, now: f64, sight: Sight) -> Vec<Action> {
        // Reports of other members are older than this loss of capacity, so grants must not be based on them.
        let reduced = self.joint.fallen(&sight.capacity);
        let mut out = Vec::new();
        for (zone, per_s) in reduced {
            out.extend(self.notify_leaders(now, &Input::Fell { zone: zone.into(), per_s }));
        }
        out.extend(self.notify_holder(now, &Heard::Came(sight.came)));
        out.extend(self.notify_holder(now, &Heard::Capacity(sight.capacity)));
        out
    }

    pub fn tick(&mut self, now: f64) -> Vec<Action> {
        let mut over = false;
        for until in [&mut self.removed_until, &mut self.unknown_until] {
            if until.is_finite() && now >= *until {
                (*until, over) = (f64::NEG_INFINITY, true);
            }
        }
        if over {
            self.set_members(now, self.members.clone());
        }
        let mut out = self.notify_holder(now, &Heard::Tick);
        out.extend(self.notify_leaders(now, &Input::Tick));
        out
    }

    pub fn due(&self) -> f64 {
        let leaders = self.leaders.1.iter().filter(|(no, _)| self.issues_grants_of(**no));
        let counted = [self.removed_until, self.unknown_until].into_iter().filter(|until| until.is_finite());
        leaders.map(|(_, leader)| leader.due()).chain(counted).fold(self.joint.due(), f64::min)
    }

    fn notify_holder(&mut self, now: f64, heard: &Heard) -> Vec<Action> {
        let out = self.joint.handle(now, heard);
        self.deliver_to_leader(now, out)
    }

    /// Passes an input to the quota leader of each plan that may be in force.
    fn notify_leaders(&mut self, now: f64, input: &Input) -> Vec<Action> {
        let numbers: Vec<u64> = self.leaders.1.keys().copied().collect();
        let mut outputs = Vec::new();
        for no in numbers {
            outputs.extend(self.quota_leader(no).map_or(vec![], |leader| leader.handle(now, input.clone())));
        }
        self.deliver_to_holders(now, outputs)
    }

    /// Passes a holder's message to the quota leader of the plan that it names. Other messages go to all of them, and
    /// the round number tells which one they are for: it is unique to the plan.
    fn notify_named_leader(&mut self, now: f64, from: Holder, said: Said) -> Vec<Output> {
        let numbers: Vec<u64> = match &said {
            Said::Seen(seen) => vec![seen.plan],
            _ => self.leaders.1.keys().copied().collect(),
        };
        let mut outputs = Vec::new();
        for no in numbers {
            let said = said.clone();
            let leader = self.quota_leader(no);
            outputs.extend(leader.map_or(vec![], |leader| leader.handle(now, Input::Heard { from, said })));
        }
        outputs
    }

    /// Delivers messages of this member's holder side to the leader, which may be this member.
    fn deliver_to_leader(&mut self, now: f64, outs: Vec<Out>) -> Vec<Action> {
        let mut out = Vec::new();
        let mut left: VecDeque<Out> = outs.into();
        while let Some(one) = left.pop_front() {
            match (one, &self.leader.1) {
                (Out::Bound(bound), _) => out.push(Action::Bound(bound)),
                (Out::Say(said), Some(leader)) if *leader == self.me => {
                    let Some(from) = self.holders.get(&self.me).copied() else { continue };
                    out.push(Action::Local(said.clone()));
                    for output in self.notify_named_leader(now, from, said) {
                        match output {
                            Output::Send { to, said } if to == from => {
                                out.push(Action::Local(said.clone()));
                                left.extend(self.joint.handle(now, &Heard::From(said)));
                            }
                            other => out.extend(self.remote_action(other)),
                        }
                    }
                }
                (Out::Say(said), Some(leader)) => out.push(Action::Send(leader.clone(), said)),
                (Out::Say(_), None) => {}
            }
        }
        out
    }

    /// Delivers messages of the quota leader to the holders, one of which is this member.
    fn deliver_to_holders(&mut self, now: f64, outputs: Vec<Output>) -> Vec<Action> {
        let mut out = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, said } if self.holders.get(&self.me) == Some(&to) => {
                    out.push(Action::Local(said.clone()));
                    out.extend(self.notify_holder(now, &Heard::From(said)));
                }
                other => out.extend(self.remote_action(other)),
            }
        }
        out
    }

    fn remote_action(&self, output: Output) -> Option<Action> {
        match output {
            Output::Send { to, said } => {
                let name = self.holders.iter().find(|(_, holder)| **holder == to)?.0;
                Some(Action::Send(name.clone(), said))
            }
            Output::Gave(tenants) => Some(Action::Log(format!(
                "{} tenants reduced to their guarantee or fair rate",
                tenants.len()
            ))),
            Output::Short(true) => Some(Action::Log("capacity is below the sum of the guarantees".into())),
            Output::Short(false) => Some(Action::Log("capacity covers all guarantees again".into())),
        }
    }
}

#[cfg(test)]
mod tests;
