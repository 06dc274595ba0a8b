//! Checks that proposals, their answers and what controllers hold are consistent with one order of changes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::exclude::{has, within, Actor};
use crate::names::Names;
use crate::{Held, Line, Outcome, Rule, Verdict, What};

/// The model is a register of revisions: one revision, or none, is in force, at most one is in progress, and
/// each number that is taken is higher than all before it. Its steps are *take* (a proposed revision is in
/// progress), *force* (the revision in progress is in force) and *withdraw*. A history is correct if steps
/// can be placed in time so that
///
/// - a revision is taken after it was proposed, and before the answer that it is in force, if there is one;
/// - an answer "in force" comes after the revision was put in force; an answer "refused" comes while the
///   revision is not in progress and was never in force (unless by another proposal of the same text that was
///   not refused); an answer "unsure" restricts nothing, neither then nor later;
/// - an answer that names a winner belongs to a proposal during which the winner was in progress;
/// - while a controller holds A alone, A is in force all the time; while it holds joint(A, B), A or B is in
///   force, and B was taken while A was in force; while it holds nothing, nothing is in force.
///
/// The search is that of Wing and Gong (1993), breadth first over the lines with the "just in time"
/// linearization of Lowe (2017): for each line it keeps the set of states that the register may be in, and a
/// step is taken only where a line requires it. That loses no solution, since whether a step is allowed
/// depends on what is held at that time and not on when the register reached its state. Only a refusal leaves
/// two possibilities: the revision may have been joint before it or not, and cannot be taken after it. Memory
/// holds only states and what is still open, so histories may have any length.
///
/// Assumes that each revision is proposed within the history, and makes the assumptions of [`crate::Exclude`]
/// about times.
#[derive(Default)]
pub struct Register {
    names: Names,
    now: u64,
    moment: Vec<Line>,
    /// Numbers of the proposed texts, to distinguish two texts proposed under one revision number.
    texts: HashMap<String, u32>,
    ops: Vec<Op>,
    /// Proposals without an answer, by controller and id.
    asking: BTreeMap<(u32, u64), usize>,
    /// Revisions that may still be taken, with how many proposals ask for each.
    proposed: BTreeMap<Revision, Proposed>,
    holding: HashMap<Actor, Holding>,
    states: Vec<State>,
    gave_up: bool,
    verdict: Verdict,
}

/// A revision number and the number of its text.
type Revision = (u64, u32);

struct Op {
    revision: Revision,
    line: Line,
}

#[derive(Default)]
struct Proposed {
    open: u32,
    /// Proposals of the revision so far that were not refused.
    unrefused: u32,
}

struct Holding {
    held: Held,
    until: u64,
    line: Line,
}

/// A possible state of the register, with the parts of its past that later lines can refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct State {
    in_force: Option<u64>,
    /// The revision that was in force before `in_force`.
    before: Option<u64>,
    in_progress: Option<Revision>,
    /// The highest number ever taken.
    known: u64,
    /// Numbers taken since `in_force` came into force.
    beside: BTreeSet<u64>,
    /// All revisions that were ever put in force.
    forced: BTreeSet<Revision>,
    /// For each proposal without an answer: the revisions that were in progress while it waited.
    seen: BTreeMap<usize, BTreeSet<Revision>>,
}

/// What a line requires of the state.
enum Need {
    Forced(Revision),
    /// The revision is not in progress by this proposal and was not put in force by it. `alone`: no other
    /// proposal of the same revision is unrefused.
    Refused {
        op: usize,
        revision: Revision,
        alone: bool,
        winner: Option<u64>,
    },
    Holds(Held),
}

impl Need {
    fn satisfied(&self, state: &State) -> bool {
        match self {
            Need::Forced(revision) => state.forced.contains(revision),
            Need::Refused { op, revision, alone, winner } => {
                let of_it = state.in_progress == Some(*revision) || state.forced.contains(revision);
                let of_winner = |no: &u64| {
                    let other = |seen: &Revision| seen.0 == *no && !(*alone && seen == revision);
                    state.seen.get(op).is_some_and(|seen| seen.iter().any(other))
                };
                !(*alone && of_it) && winner.as_ref().is_none_or(of_winner)
            }
            Need::Holds(Held::Nothing) => state.in_force.is_none(),
            Need::Holds(Held::Alone { no }) => state.in_force == Some(*no),
            Need::Holds(Held::Joint { old, new }) => match state.in_force {
                Some(no) if no == *new => state.before == *old,
                no => no == *old && state.beside.contains(new),
            },
        }
    }
}

/// Limit of states, above what any real history leaves open. Beyond it the search gives up and all later
/// cases count as not judged: continuing with a part of the states could report a correct line as wrong.
const MAX_STATES: usize = 20_000;

impl Register {
    pub fn feed(&mut self, line: &Line) {
        if line.at > self.now {
            self.process_moment();
            self.now = line.at;
        }
        if self.gave_up {
            let case = matches!(line.what, What::Proposed { .. } | What::Holds { .. });
            self.verdict.open += u64::from(case);
            return;
        }
        let relevant = matches!(
            line.what,
            What::Proposed { .. }
                | What::Answered { .. }
                | What::Holds { .. }
                | What::LetGo { .. }
                | What::Died
        );
        if relevant {
            self.moment.push(line.clone());
        }
    }

    pub fn finish(mut self) -> Verdict {
        self.process_moment();
        self.verdict
    }

    /// Of lines at the same time, proposals are applied first, then the ends of holds, then new holds, and
    /// answers last. This order accepts the most histories.
    fn process_moment(&mut self) {
        if self.moment.is_empty() {
            return;
        }
        if self.states.is_empty() {
            self.states.push(State::default());
        }
        let lines = std::mem::take(&mut self.moment);
        for line in &lines {
            if let What::Proposed { id, no, digest } = &line.what {
                self.add_proposal(line, *id, *no, digest);
            }
        }
        let mut begun: Vec<(Actor, Held, u64, &Line)> = Vec::new();
        for line in &lines {
            let who = self.names.of(&line.who);
            match line.what {
                What::LetGo { boot } => drop(self.holding.remove(&(who, boot))),
                What::Died => self.died(who),
                What::Holds { boot, holds, until, .. } => {
                    self.verdict.looked += 1;
                    let actor = (who, boot);
                    begun.retain(|(other, ..)| *other != actor);
                    match self.holding.get_mut(&actor) {
                        // A hold that has expired proves nothing about the time in between.
                        Some(same) if same.held == holds && same.until > self.now => same.until = until,
                        _ => {
                            self.holding.remove(&actor);
                            begun.push((actor, holds, until, line));
                        }
                    }
                }
                _ => {}
            }
        }
        for (actor, held, until, line) in begun {
            self.require(&Need::Holds(held), line);
            self.holding.insert(actor, Holding { held, until, line: line.clone() });
        }
        for line in &lines {
            if let What::Answered { id, outcome, winner, .. } = &line.what {
                self.add_answer(line, *id, *outcome, *winner);
            }
        }
    }

    fn add_proposal(&mut self, line: &Line, id: u64, no: u64, digest: &str) {
        self.verdict.looked += 1;
        let texts = self.texts.len() as u32;
        let text = *self.texts.entry(digest.into()).or_insert(texts);
        let (op, revision) = (self.ops.len(), (no, text));
        self.ops.push(Op { revision, line: line.clone() });
        let of = self.proposed.entry(revision).or_default();
        of.open += 1;
        of.unrefused += 1;
        // A run that restarts its ids never answers the proposals of an earlier run.
        if let Some(earlier) = self.asking.insert((self.names.of(&line.who), id), op) {
            self.drop_proposal(earlier);
        }
        for state in &mut self.states {
            state.seen.insert(op, state.in_progress.into_iter().collect());
        }
    }

    fn died(&mut self, who: u32) {
        self.holding.retain(|actor, _| actor.0 != who);
        let gone: Vec<(u32, u64)> =
            self.asking.range((who, 0)..=(who, u64::MAX)).map(|(key, _)| *key).collect();
        for key in gone {
            let op = self.asking.remove(&key);
            op.into_iter().for_each(|op| self.drop_proposal(op));
        }
    }

    /// Drops a proposal that can no longer be answered.
    fn drop_proposal(&mut self, op: usize) {
        self.states.iter_mut().for_each(|state| drop(state.seen.remove(&op)));
        self.dedup_states();
    }

    fn add_answer(&mut self, line: &Line, id: u64, outcome: Outcome, winner: Option<u64>) {
        let key = (self.names.of(&line.who), id);
        let Some(op) = self.asking.get(&key).copied() else {
            let says = format!("an answer to proposal {id}, which was never made");
            return self.verdict.found(Rule::Register, line.at, says, vec![line.clone()]);
        };
        let revision = self.ops[op].revision;
        let alone = self.proposed[&revision].unrefused == 1;
        match outcome {
            Outcome::Unsure => {}
            Outcome::InForce => self.require(&Need::Forced(revision), line),
            Outcome::Refused => {
                let need = Need::Refused { op, revision, alone, winner };
                self.require(&need, line);
                self.add_states_taken_before(revision, &need);
            }
        }
        self.asking.remove(&key);
        if outcome != Outcome::Unsure {
            if let Some(of) = self.proposed.get_mut(&revision) {
                of.open -= 1;
                of.unrefused -= u32::from(outcome == Outcome::Refused);
            }
        }
        self.drop_proposal(op);
    }

    /// Continues with the states in which the line is possible, reached by as few steps as needed.
    fn require(&mut self, need: &Need, line: &Line) {
        if self.gave_up || self.states.iter().all(|state| need.satisfied(state)) {
            return;
        }
        let mut satisfied = BTreeSet::new();
        let mut known: HashSet<State> = self.states.iter().cloned().collect();
        let mut next = std::mem::take(&mut self.states);
        let from = next.clone();
        while let Some(state) = next.pop() {
            if need.satisfied(&state) {
                satisfied.insert(state);
                continue;
            }
            for after in self.steps(&state, need) {
                if !known.contains(&after) {
                    known.insert(after.clone());
                    next.push(after);
                }
            }
            if known.len() > MAX_STATES {
                self.gave_up = true;
                self.verdict.open += 1;
                self.states = from;
                return;
            }
        }
        if satisfied.is_empty() {
            self.report(need, line);
            satisfied = from.iter().map(|state| force_to_satisfy(state, need)).collect();
            self.drop_conflicting_holds(need);
        }
        self.states = satisfied.into_iter().collect();
    }

    /// Adds the states in which the refused revision was taken and withdrawn before the refusal: it cannot be
    /// taken afterwards.
    fn add_states_taken_before(&mut self, revision: Revision, need: &Need) {
        let mut known: HashSet<State> = self.states.iter().cloned().collect();
        let mut next = self.states.clone();
        let toward = Need::Holds(Held::Alone { no: revision.0 });
        while let Some(state) = next.pop() {
            if state.in_progress != Some(revision) && state.known >= revision.0 {
                if need.satisfied(&state) && !self.states.contains(&state) {
                    self.states.push(state);
                }
                continue;
            }
            for after in self.steps(&state, &toward) {
                if known.len() < MAX_STATES && known.insert(after.clone()) {
                    next.push(after);
                }
            }
        }
        self.dedup_states();
    }

    /// All states that the register may reach in one step.
    fn steps(&self, state: &State, need: &Need) -> Vec<State> {
        let mut after = Vec::new();
        let Some(revision) = state.in_progress else {
            let above = (state.known + 1, 0);
            // Taking a higher number than the required one never leads to it.
            let most = match need {
                Need::Forced(revision) => revision.0,
                Need::Holds(Held::Alone { no }) | Need::Holds(Held::Joint { new: no, .. }) => *no,
                Need::Refused { winner: Some(no), .. } => *no,
                Need::Refused { .. } | Need::Holds(Held::Nothing) => return after,
            };
            for (revision, _) in self.proposed.range(above..).filter(|(_, of)| of.open > 0) {
                if revision.0 > most {
                    break;
                }
                let mut state = state.clone();
                state.in_progress = Some(*revision);
                state.known = revision.0;
                state.beside.insert(revision.0);
                state.seen.values_mut().for_each(|seen| seen.extend([*revision]));
                after.push(state);
            }
            return after;
        };
        let mut withdrawn = state.clone();
        withdrawn.in_progress = None;
        after.push(withdrawn);
        if !self.holding.values().any(|of| of.until > self.now && !has(within(of.held), Some(revision.0))) {
            after.push(force(state, revision));
        }
        after
    }

    /// Merges equal states.
    fn dedup_states(&mut self) {
        if self.states.len() > 1 {
            self.states.sort();
            self.states.dedup();
        }
    }

    fn report(&mut self, need: &Need, line: &Line) {
        let (says, wanted) = match need {
            Need::Forced((no, _)) => (format!("revision {no} can't have been in force by then"), *no),
            Need::Refused { revision: (no, _), winner: Some(winner), .. } => {
                (format!("revision {no} was refused for {winner}, which can't be in progress"), *winner)
            }
            Need::Refused { revision: (no, _), .. } => {
                (format!("revision {no} was refused and was put in force"), *no)
            }
            Need::Holds(Held::Nothing) => ("nothing is held while a revision must be in force".into(), 0),
            Need::Holds(Held::Alone { no }) => (format!("revision {no} is held and can't be in force"), *no),
            Need::Holds(Held::Joint { old, new }) => {
                let old = old.map_or("nothing".into(), |old| old.to_string());
                (format!("joint of {old} and {new} is held and can't be in progress"), *new)
            }
        };
        let mut witness: Vec<Line> =
            self.ops.iter().filter(|op| op.revision.0 == wanted).map(|op| op.line.clone()).collect();
        let mut held: Vec<&Holding> = self.holding.values().filter(|of| of.until > self.now).collect();
        held.retain(|of| !matches!(need, Need::Holds(held) if *held == of.held));
        held.retain(|of| !has(within(of.held), Some(wanted)));
        held.sort_by_key(|of| of.line.at);
        witness.extend(held.into_iter().map(|of| of.line.clone()));
        witness.push(line.clone());
        self.verdict.found(Rule::Register, line.at, says, witness);
    }

    /// Drops the holds that contradict a line already reported as impossible, so that not all later lines are
    /// reported as wrong too.
    fn drop_conflicting_holds(&mut self, need: &Need) {
        let no = match need {
            Need::Forced((no, _)) | Need::Holds(Held::Alone { no }) => Some(*no),
            Need::Holds(Held::Joint { old, .. }) => *old,
            Need::Holds(Held::Nothing) => None,
            Need::Refused { .. } => return,
        };
        self.holding.retain(|_, of| has(within(of.held), no));
    }
}

fn force(state: &State, revision: Revision) -> State {
    let mut state = state.clone();
    state.before = state.in_force;
    state.in_force = Some(revision.0);
    state.in_progress = None;
    state.beside.clear();
    state.forced.insert(revision);
    state
}

/// The closest state in which the line is possible.
fn force_to_satisfy(state: &State, need: &Need) -> State {
    if need.satisfied(state) {
        return state.clone();
    }
    let mut state = state.clone();
    match need {
        Need::Forced(revision) => {
            state = force(&state, *revision);
            state.known = state.known.max(revision.0);
        }
        Need::Refused { revision, .. } => {
            state.forced.remove(revision);
            if state.in_progress == Some(*revision) {
                state.in_progress = None;
            }
        }
        Need::Holds(Held::Nothing) => state.in_force = None,
        Need::Holds(Held::Alone { no }) => {
            state.before = state.in_force;
            state.in_force = Some(*no);
            state.known = state.known.max(*no);
            state.in_progress = None;
            state.beside.clear();
        }
        Need::Holds(Held::Joint { old, new }) => {
            state.in_force = *old;
            state.known = state.known.max(*new);
            state.beside.insert(*new);
        }
    }
    state
}
