//! Explores small fleets exhaustively, breadth first: in each state every choice of what happens next is tried, and a
//! state that was seen before is not explored again. So the first breach found has the fewest choices.
//!
//! All members share one clock, random draws are fixed, revisions are checked and proxies confirm at once, and each link
//! keeps the order of its messages. Time advances when no message is in transit and no timer is due, so a message takes
//! no time unless it is lost or its receiver is paused. `docs/fleet-policy.md` describes how equivalent states are merged
//! and which orders of choices are skipped, and why this misses no breach.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use amberarch_accord::{
    Accord, Act, Bug, Disk, Fold, Input, Kept, Output, Place, RevisionNo, Said, Term, Wish,
};

use crate::judge::bounds_of;
use crate::machine::{Bounds, Machine};
use crate::{Shape, World};

/// One step that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The oldest message from the first to the second member arrives.
    Deliver(usize, usize),
    /// The oldest message of the link is lost.
    Lose(usize, usize),
    /// The oldest message of the link is delayed: later messages on the link, and time, may overtake it.
    Late(usize, usize),
    /// A delayed message arrives.
    Comes(usize, usize),
    /// A timer of this member expires.
    Tick(usize),
    /// No message is in transit, and time advances to the next timer.
    Time,
    /// For a fixed time all messages arrive at once in one order, unless a network cut stops them.
    Calm,
    Restart(usize),
    /// All messages to and from this member are lost.
    Cut(usize),
    Heal,
    /// The member is paused for longer than a lease.
    Pause(usize),
    /// The revision with this number is proposed at this member.
    Propose(usize, u64),
}

/// The actions and faults that may still happen, and at which members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Plan {
    /// Each of these members crashes once and restarts at once with its disk.
    pub restarts: Vec<usize>,
    /// Members that are cut off one after the other, in this order, when no message is in transit, each for any time.
    pub cuts: Vec<usize>,
    pub pauses: Vec<usize>,
    /// One message of each of these links is lost.
    pub losses: Vec<(usize, usize)>,
    /// One message of each of these links is delayed by any time.
    pub lates: Vec<(usize, usize)>,
    /// Proposals: at which member, and the revision number.
    pub proposals: Vec<(usize, u64)>,
    /// Number of terms after the first; states that would reach a further term are not explored.
    pub terms: u64,
    /// Time advances in calm steps of this many ms, and the actions above happen between them. `None`: each message and
    /// each timer is a choice of its own.
    pub calm: Option<u16>,
}

/// Which reductions of the state space are active; each can be switched off to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ways {
    /// States that differ only in absolute times and counts are merged.
    pub folds: bool,
    /// Orders of choices that lead to the same state are tried only once.
    pub orders: bool,
}

impl Ways {
    pub const ALL: Ways = Ways { folds: true, orders: true };
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Explored {
    pub states: usize,
    /// All states reached by fewer choices than this were explored further.
    pub depth: usize,
    /// Every state that the plan allows was explored.
    pub whole: bool,
    /// The shortest sequence of choices to a breach, and the breach.
    pub breach: Option<(Vec<Choice>, &'static str)>,
}

/// Step limit: more than three times what a calm second takes.
const STEPS_CALM: u32 = 10_000;

/// Complete state of one small fleet.
#[derive(Clone)]
pub struct Small {
    shape: Shape,
    #[cfg_attr(not(feature = "seeded-bugs"), expect(dead_code))]
    bug: Option<Bug>,
    now: f64,
    members: Vec<Arc<Member>>,
    net: BTreeMap<(usize, usize), VecDeque<Said>>,
    held_up: BTreeMap<(usize, usize), VecDeque<Said>>,
    cut: Option<usize>,
    pub left: Plan,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<Place, u64>,
    breach: Option<&'static str>,
}

#[derive(Clone)]
struct Member {
    accord: Accord,
    kept: Kept,
    boot: u64,
    stopped: f64,
    cached_hash: CachedHash,
}

/// Cached hash of one member, valid until the member changes. Most steps change one member, and rehashing all of them took
/// more than half of the time. The first number is the hash; the second is the hash combined with the values it is
/// relative to, so that a value half written by another thread is recognized.
#[derive(Default)]
struct CachedHash(AtomicU64, AtomicU64);

impl Clone for CachedHash {
    /// A copy starts without a cached hash, since copies are made to be changed.
    fn clone(&self) -> CachedHash {
        CachedHash::default()
    }
}

impl CachedHash {
    fn get(&self, relative_to: u64, anew: impl FnOnce() -> u64) -> u64 {
        let (hash, check) = (self.0.load(Ordering::Relaxed), self.1.load(Ordering::Relaxed));
        if check != 0 && hash ^ check == relative_to {
            return hash;
        }
        let hash = anew();
        self.0.store(hash, Ordering::Relaxed);
        self.1.store(hash ^ relative_to, Ordering::Relaxed);
        hash
    }
}

fn hash_of(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

fn take<T: PartialEq>(from: &mut Vec<T>, what: &T) {
    if let Some(place) = from.iter().position(|one| one == what) {
        from.remove(place);
    }
}

impl Small {
    /// All members start at once on empty disks. `None` if the shape is invalid.
    pub fn new(shape: Shape, bug: Option<Bug>) -> Option<Small> {
        let mut small = Small {
            shape,
            bug,
            now: 0.0,
            members: vec![],
            net: BTreeMap::new(),
            held_up: BTreeMap::new(),
            cut: None,
            left: Plan::default(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            breach: None,
        };
        for member in 0..shape.members() {
            let disk = (member < shape.voters).then_some(Disk(member as u64 + 1));
            let kept = Kept { disk, ..Kept::default() };
            let accord = small.started(member, 0, &kept)?;
            small.members.push(Arc::new(Member {
                accord,
                kept,
                boot: 0,
                stopped: 0.0,
                cached_hash: CachedHash::default(),
            }));
        }
        Some(small)
    }

    fn started(&self, member: usize, boot: u64, kept: &Kept) -> Option<Accord> {
        let facts = self.shape.facts(member, boot, kept.disk, 0);
        let accord = Accord::new(self.now, facts, kept.clone()).ok()?.evenly();
        #[cfg(feature = "seeded-bugs")]
        if let Some(bug) = self.bug {
            return Some(accord.with_bug(bug));
        }
        Some(accord)
    }

    fn term(&self) -> Term {
        self.members.iter().map(|one| one.accord.chair().0).max().unwrap_or_default()
    }

    /// The controller that considers itself the leader, in the highest term.
    pub fn chair(&self) -> Option<usize> {
        let leaders = (0..self.members.len()).filter_map(|member| {
            let (term, chair) = self.members[member].accord.chair();
            (chair == Some(&self.shape.name(member))).then_some((term, member))
        });
        leaders.max().map(|(_, member)| member)
    }

    /// The broken guarantee, if any.
    pub fn breach(&self) -> Option<&'static str> {
        self.breach
    }

    fn up(&self, member: usize) -> bool {
        self.members[member].stopped <= self.now
    }

    fn due(&self, member: usize) -> bool {
        self.up(member) && self.members[member].accord.due() <= self.now
    }

    fn feed(&mut self, member: usize, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let one = Arc::make_mut(&mut self.members[member]);
            one.cached_hash = CachedHash::default();
            for output in one.accord.handle(self.now, input) {
                match output {
                    Output::Last(lasting) => {
                        let mut disk = Machine::new(1.0, 0.0, None);
                        std::mem::swap(&mut disk.kept, &mut one.kept);
                        disk.last(&lasting);
                        one.kept = disk.kept;
                    }
                    Output::Send { to, said } => {
                        let to = (0..self.shape.members()).find(|other| self.shape.name(*other) == to);
                        if let Some(to) = to.filter(|to| self.cut != Some(*to) && self.cut != Some(member)) {
                            self.net.entry((member, to)).or_default().push_back(said);
                        }
                    }
                    Output::Check(revision) => {
                        let (no, digest) = (revision.no, revision.digest);
                        inputs.push_back(Input::Checked { no, digest, verdict: Ok(()) });
                    }
                    Output::Act { act: Act::On { stage, .. }, .. } => {
                        inputs.push_back(Input::Settled { stage: stage.no, settled: true });
                    }
                    Output::Act { .. } | Output::Answer { .. } | Output::Log(_) | Output::Gone => {}
                }
            }
        }
        self.look_at(member);
        self.check_all();
    }

    /// The set of revisions that a member's orders satisfy, if it sends orders.
    fn bounds(&self, member: usize) -> Option<Bounds> {
        let one = &self.members[member];
        match one.accord.act(self.now) {
            _ if one.stopped > self.now => None,
            Act::On { stage, .. } => Some(bounds_of(stage.holds, None)),
            Act::Within { stage, .. } => Some(bounds_of(stage.holds, stage.staged)),
            Act::Unknown => None,
        }
    }

    /// Checks the guarantees of a member after its step.
    fn look_at(&mut self, member: usize) {
        let one = &self.members[member];
        if let (term, Some(chair)) = one.accord.chair() {
            let mine = *chair == one.accord.facts().me;
            if mine && *self.leaders.entry(term).or_insert(member) != member {
                self.breach = Some("two leaders in one term");
            }
        }
        let (stands, _) = one.accord.standing();
        for place in (1..=stands.0).map(Place) {
            let Some(logged) = one.accord.stood(place) else { continue };
            let logged = hash_of(logged);
            if *self.committed.entry(place).or_insert(logged) != logged {
                self.breach = Some("logs differ in what stands");
            }
        }
    }

    /// Checks the guarantees across all members, in every state.
    fn check_all(&mut self) {
        for one in self.members.iter().filter(|one| one.stopped <= self.now) {
            if matches!(one.accord.act(self.now), Act::On { until, .. } if until <= self.now) {
                self.breach = Some("a steward acts after its lease");
            }
        }
        let orders: Vec<Bounds> = (0..self.members.len()).filter_map(|member| self.bounds(member)).collect();
        let apart = |one: &Bounds, other: &Bounds| !one.iter().any(|no| other.contains(no));
        if orders.iter().any(|one| orders.iter().any(|other| apart(one, other))) {
            self.breach = Some("two stewards act on what nothing satisfies together");
        }
    }

    fn pop(&mut self, from: usize, to: usize) -> Option<Said> {
        let queue = self.net.get_mut(&(from, to))?;
        let said = queue.pop_front();
        if queue.is_empty() {
            self.net.remove(&(from, to));
        }
        said
    }

    fn deliver(&mut self, from: usize, to: usize) {
        if let Some(said) = self.pop(from, to) {
            self.feed(to, Input::Heard { from: self.shape.name(from), said });
        }
    }

    fn next_due(&self) -> f64 {
        let due = |one: &Arc<Member>| one.accord.due().max(one.stopped);
        self.members.iter().map(due).fold(f64::INFINITY, f64::min)
    }

    /// Whether no message is in transit to a running member and no timer is due.
    fn quiet(&self) -> bool {
        !self.net.keys().any(|(_, to)| self.up(*to))
            && !(0..self.members.len()).any(|member| self.due(member))
    }

    /// Delivers all messages at once, runs timers one after the other, and advances time by this long.
    pub fn calm(&mut self, ms: f64) {
        let until = self.now + ms;
        let mut steps = 0;
        while self.breach.is_none() {
            steps += 1;
            if steps > STEPS_CALM {
                self.breach = Some("members talk without an end");
            }
            let next = self.net.keys().find(|(_, to)| self.up(*to)).copied();
            let due = (0..self.members.len()).find(|member| self.due(*member));
            match (next, due) {
                (Some((from, to)), _) => self.deliver(from, to),
                (None, Some(member)) => self.feed(member, Input::Tick),
                (None, None) if self.next_due() <= until => self.time(self.next_due()),
                (None, None) => break,
            }
        }
        self.time(until);
    }

    fn time(&mut self, to: f64) {
        self.now = self.now.max(to);
        self.check_all();
    }

    /// Choices of this member that need no other member.
    fn choices_of(&self, member: usize) -> Vec<Choice> {
        let (mut all, left) = (vec![], &self.left);
        if !self.up(member) {
            return all;
        }
        if left.calm.is_none() {
            for (from, to) in self.net.keys().copied().filter(|(_, to)| *to == member) {
                all.push(Choice::Deliver(from, to));
                all.extend(left.losses.contains(&(from, to)).then_some(Choice::Lose(from, to)));
                all.extend(left.lates.contains(&(from, to)).then_some(Choice::Late(from, to)));
            }
            let held_up = self.held_up.keys().filter(|(_, to)| *to == member);
            all.extend(held_up.map(|(from, to)| Choice::Comes(*from, *to)));
            all.extend(self.due(member).then_some(Choice::Tick(member)));
        }
        all.extend(left.restarts.contains(&member).then_some(Choice::Restart(member)));
        all.extend(left.pauses.contains(&member).then_some(Choice::Pause(member)));
        let proposals = left.proposals.iter().filter(|(at, _)| *at == member);
        all.extend(proposals.map(|(_, no)| Choice::Propose(member, *no)));
        all
    }

    pub fn choices(&self) -> Vec<Choice> {
        let mut all: Vec<Choice> =
            (0..self.members.len()).flat_map(|member| self.choices_of(member)).collect();
        let calm = self.left.calm.is_some();
        if calm || self.quiet() {
            all.push(if calm { Choice::Calm } else { Choice::Time });
            match self.cut {
                Some(_) => all.push(Choice::Heal),
                None => all.extend(self.left.cuts.first().map(|member| Choice::Cut(*member))),
            }
        }
        all
    }

    /// All choices of one member to which no other member can add before one of them is made. Trying only these first
    /// therefore skips no distinct outcome.
    fn first_alone(&self) -> Option<Vec<Choice>> {
        let term = self.term();
        let steady = self.net.values().chain(self.held_up.values()).flatten().all(|said| match said {
            Said::AskVote { .. } | Said::Vote { .. } => false,
            Said::Append { term: of, .. } | Said::Appended { term: of, .. } | Said::Base { term: of, .. } => {
                *of <= term
            }
            _ => true,
        });
        let chair = self.chair().filter(|_| steady)?;
        let all = 0..self.members.len();
        // It sends nothing to that member for now: it follows its leader, sends only to it, and starts no election.
        let mute = |by: usize, to: usize| {
            by != chair
                && to != chair
                && self.members[by].accord.chair().0 == term
                && self.members[by].accord.keeps_to(self.now) == Some(&self.shape.name(chair))
                && !self.left.restarts.contains(&by)
        };
        let silent = |by: usize| !self.up(by) || self.cut == Some(by);
        all.clone().find_map(|member| {
            let choices = self.choices_of(member);
            let others = all.clone().filter(|other| *other != member);
            let alone = || others.clone().all(|other| self.choices_of(other).is_empty());
            let closed = || {
                others.clone().all(|other| {
                    self.net.contains_key(&(other, member)) || silent(other) || mute(other, member)
                })
            };
            // Without one of these, time may advance before any of them.
            let must = |choice: &Choice| matches!(choice, Choice::Deliver(..) | Choice::Tick(_));
            (choices.iter().any(must) && (self.cut == Some(member) || closed() || alone())).then_some(choices)
        })
    }

    pub fn choose(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver(from, to) => self.deliver(from, to),
            Choice::Lose(from, to) => {
                take(&mut self.left.losses, &(from, to));
                drop(self.pop(from, to));
            }
            Choice::Late(from, to) => {
                take(&mut self.left.lates, &(from, to));
                let said = self.pop(from, to);
                self.held_up.entry((from, to)).or_default().extend(said);
            }
            Choice::Comes(from, to) => {
                let queue = self.held_up.get_mut(&(from, to));
                let (said, empty) = queue.map_or((None, true), |queue| (queue.pop_front(), queue.is_empty()));
                if empty {
                    self.held_up.remove(&(from, to));
                }
                if let Some(said) = said {
                    self.feed(to, Input::Heard { from: self.shape.name(from), said });
                }
            }
            Choice::Tick(member) => self.feed(member, Input::Tick),
            Choice::Time => self.time(self.next_due()),
            Choice::Calm => self.calm(f64::from(self.left.calm.unwrap_or(0))),
            Choice::Restart(member) => {
                take(&mut self.left.restarts, &member);
                let (boot, kept) = (self.members[member].boot + 1, self.members[member].kept.clone());
                match self.started(member, boot, &kept) {
                    // Messages in transit to it are kept, since send queues outlive a peer. So its restart commutes
                    // with deliveries at other members.
                    Some(accord) => {
                        self.members[member] = Arc::new(Member {
                            accord,
                            kept,
                            boot,
                            stopped: 0.0,
                            cached_hash: CachedHash::default(),
                        })
                    }
                    None => self.breach = Some("a steward can't start on its own disk"),
                }
            }
            Choice::Cut(member) => {
                take(&mut self.left.cuts, &member);
                self.cut = Some(member);
                self.net.retain(|(from, to), _| *from != member && *to != member);
            }
            Choice::Heal => self.cut = None,
            Choice::Pause(member) => {
                take(&mut self.left.pauses, &member);
                let until = self.now + 1.5 * self.shape.length.acts;
                let one = Arc::make_mut(&mut self.members[member]);
                (one.stopped, one.cached_hash) = (until, CachedHash::default());
            }
            Choice::Propose(member, no) => {
                take(&mut self.left.proposals, &(member, no));
                self.feed(member, Input::Wish { id: no, wish: Wish::Revision(World::revision(no)) });
            }
        }
    }

    /// The single revision that all members act on, if there is one.
    pub fn all_on(&self) -> Option<RevisionNo> {
        let mut on = self.members.iter().map(|one| match one.accord.act(self.now) {
            Act::On { stage, .. } if stage.staged.is_none() => match stage.holds {
                amberarch_accord::Holds::Alone(no) => Some(no),
                _ => None,
            },
            _ => None,
        });
        let first = on.next()?;
        on.all(|other| other == first).then_some(first?)
    }

    fn key(&self, folds: bool) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.cut, &self.left, &self.leaders, &self.committed).hash(&mut hasher);
        if !folds {
            self.now.to_bits().hash(&mut hasher);
        }
        let fold = Fold::of(self.now, self.members.iter().map(|one| &one.accord));
        let relative_to = hash_of(&(&fold, folds));
        for one in &self.members {
            let anew = || {
                let stopped = if folds { one.stopped.max(self.now) - self.now } else { one.stopped };
                let kept = (one.boot, stopped.to_bits(), one.kept.term, &one.kept.voted);
                let all = (kept, &one.kept.base, &one.kept.entries);
                match folds {
                    true => hash_of(&(all, fold.accord(&one.accord))),
                    false => hash_of(&(all, &one.accord)),
                }
            };
            one.cached_hash.get(relative_to, anew).hash(&mut hasher);
        }
        self.net.len().hash(&mut hasher);
        for ((from, to), queue) in self.net.iter().chain(&self.held_up) {
            let (by, at) = (self.shape.name(*from), self.shape.name(*to));
            (from, to, queue.len()).hash(&mut hasher);
            for said in queue {
                let folded = if folds { fold.said(&by, &at, said) } else { said.clone() };
                // A message that cannot be encoded would be confused with others; there are no such messages.
                postcard::to_stdvec(&folded).unwrap_or_default().hash(&mut hasher);
            }
        }
        hasher.finish()
    }

    /// The possible next states.
    fn next(&self, orders: bool) -> Vec<(Choice, Small)> {
        let after = |choices: Vec<Choice>| {
            let chosen = choices.into_iter().map(|choice| {
                let mut next = self.clone();
                next.choose(choice);
                (choice, next)
            });
            chosen.collect::<Vec<_>>()
        };
        if let Some(choices) = self.first_alone().filter(|_| orders && self.left.calm.is_none()) {
            let next = after(choices);
            // Its orders are compared with the orders of others, so the order of choices matters.
            let seen = |(_, next): &(Choice, Small)| {
                (0..self.members.len()).any(|member| next.bounds(member) != self.bounds(member))
            };
            if !next.iter().any(seen) {
                return next;
            }
        }
        after(self.choices())
    }
}

/// Explores breadth first from this state, up to a maximum number of states. States are identified by a 64-bit hash: among
/// ten million states, the probability that two different ones collide is 3 in a million.
pub fn explore(from: &Small, ways: Ways, most: usize) -> Explored {
    let last = Term(from.term().0 + from.left.terms);
    let mut seen = HashSet::from([from.key(ways.folds)]);
    let mut came: Vec<Option<(usize, Choice)>> = vec![None];
    let mut rim = VecDeque::from([(0, 0, from.clone())]);
    let trace = |came: &[Option<(usize, Choice)>], mut at: usize| {
        let mut trace = vec![];
        while let Some((before, choice)) = came[at] {
            trace.push(choice);
            at = before;
        }
        trace.reverse();
        trace
    };
    let mut depth = 0;
    while let Some((at, deep, small)) = rim.pop_front() {
        depth = deep;
        for (choice, next) in small.next(ways.orders) {
            if !seen.insert(next.key(ways.folds)) {
                continue;
            }
            came.push(Some((at, choice)));
            if let Some(why) = next.breach {
                let breach = Some((trace(&came, came.len() - 1), why));
                return Explored { states: seen.len(), depth, whole: false, breach };
            }
            if seen.len() >= most {
                return Explored { states: seen.len(), depth, whole: false, breach: None };
            }
            if next.term() <= last {
                rim.push_back((came.len() - 1, deep + 1, next));
            }
        }
    }
    Explored { states: seen.len(), depth, whole: true, breach: None }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a fault of the order reduction: it tried an action first that may happen at any time, so proposals
    /// were only ever made at once. A quarter of the states of one proposal were seen, and the exploration was reported
    /// as complete.
    #[test]
    fn whoever_goes_first_keeps_time_from_going_on_before_a_proposal() {
        let (mut small, chair) = crate::begin(None).expect("a small fleet comes together");
        small.left = Plan { terms: 1, proposals: vec![(chair, 2)], ..Plan::default() };
        assert!(small.quiet());
        let next: Vec<Choice> = small.next(true).into_iter().map(|(choice, _)| choice).collect();
        assert_eq!(next, vec![Choice::Propose(chair, 2), Choice::Time]);
    }
}
