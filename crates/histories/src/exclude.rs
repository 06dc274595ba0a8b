//! Checks that no two controllers act at the same time under revisions that exclude each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::names::Names;
use crate::{Held, Line, Rule, Verdict, What};

/// Follows point 4 of the proof in `docs/fleet-policy.md`: a controller that acts on A alone stays within
/// {A}; one that acts on joint(A, B) stays within both A and B, written {A, B}; "nothing in force" counts as
/// a separate revision that permits everything. Controllers exclude each other if no single revision is in
/// the sets of all of them: A alone with B alone, A alone with joint(B, C), joint(A, B) with joint(C, D), and
/// also joint(A, B), joint(B, C) and joint(A, C) at once, where each pair alone would be compatible.
///
/// A controller acts from its `Holds` line until its next one, `LetGo`, `until` or `Died`, whichever is
/// first. This assumes that `until` is on the machine's clock and that the end of a killed process is
/// reported by `Died`. Two runs under one name are two controllers. Of lines at the same time, those that end
/// a hold are applied before those that start one.
#[derive(Default)]
pub struct Exclude {
    names: Names,
    now: u64,
    /// Lines with the time `now`; the order in which they were written is unknown.
    moment: Vec<Line>,
    acting: HashMap<Actor, ActiveHold>,
    kinds: BTreeMap<Within, BTreeSet<Actor>>,
    /// Whether one revision is in all of `kinds`; `None` until it is computed.
    compatible: Option<bool>,
    reported: BTreeSet<(Actor, Within, Actor, Within)>,
    verdict: Verdict,
}

/// A controller's name and run.
pub(crate) type Actor = (u32, u64);

struct ActiveHold {
    within: Within,
    until: u64,
    line: Line,
}

/// The revisions that the orders of a controller satisfy, lowest first; `None` stands for "nothing is in
/// force".
pub(crate) type Within = (Option<u64>, Option<u64>);

pub(crate) fn within(held: Held) -> Within {
    match held {
        Held::Nothing => (None, None),
        Held::Alone { no } => (Some(no), Some(no)),
        Held::Joint { old, new } => (old.min(Some(new)), old.max(Some(new))),
    }
}

pub(crate) fn has(within: Within, revision: Option<u64>) -> bool {
    within.0 == revision || within.1 == revision
}

fn overlap(a: Within, b: Within) -> bool {
    has(b, a.0) || has(b, a.1)
}

impl Exclude {
    pub fn feed(&mut self, line: &Line) {
        if line.at > self.now {
            self.process_moment();
            self.now = line.at;
        }
        if matches!(line.what, What::Holds { .. } | What::LetGo { .. } | What::Died) {
            self.moment.push(line.clone());
        }
    }

    pub fn finish(mut self) -> Verdict {
        self.process_moment();
        self.verdict
    }

    /// Applies the lines of the moment and checks whether all controllers acting from then on are compatible.
    fn process_moment(&mut self) {
        if self.moment.is_empty() {
            return;
        }
        for line in std::mem::take(&mut self.moment) {
            let who = self.names.of(&line.who);
            match line.what {
                What::Holds { boot, holds, until, .. } => self.acts((who, boot), within(holds), until, line),
                What::LetGo { boot } => self.end_hold((who, boot)),
                What::Died => {
                    let runs: Vec<Actor> = self.acting.keys().filter(|run| run.0 == who).copied().collect();
                    runs.into_iter().for_each(|run| self.end_hold(run));
                }
                _ => {}
            }
        }
        if self.all_compatible() {
            return;
        }
        // The conflict may come only from holds that have expired.
        let over = |acts: &ActiveHold| acts.until <= self.now;
        let gone: Vec<Actor> = self.acting.iter().filter(|(_, a)| over(a)).map(|(who, _)| *who).collect();
        gone.into_iter().for_each(|actor| self.end_hold(actor));
        if !self.all_compatible() {
            self.report();
        }
    }

    fn acts(&mut self, actor: Actor, within: Within, until: u64, line: Line) {
        self.verdict.looked += 1;
        let earlier = self.acting.insert(actor, ActiveHold { within, until, line }).map(|acts| acts.within);
        if earlier == Some(within) {
            return;
        }
        if let Some(earlier) = earlier {
            self.remove_from_kind(earlier, actor);
        }
        self.kinds.entry(within).or_default().insert(actor);
        self.compatible = None;
    }

    fn end_hold(&mut self, actor: Actor) {
        if let Some(acts) = self.acting.remove(&actor) {
            self.remove_from_kind(acts.within, actor);
        }
    }

    fn remove_from_kind(&mut self, kind: Within, actor: Actor) {
        let Some(actors) = self.kinds.get_mut(&kind) else { return };
        actors.remove(&actor);
        if actors.is_empty() {
            self.kinds.remove(&kind);
            self.compatible = None;
        }
    }

    fn all_compatible(&mut self) -> bool {
        let kinds = &self.kinds;
        *self.compatible.get_or_insert_with(|| {
            let all = |revision| kinds.keys().all(|kind| has(*kind, revision));
            kinds.keys().next().is_none_or(|first| all(first.0) || all(first.1))
        })
    }

    /// Reports each pair of incompatible kinds, by one controller of each; if every pair is compatible, all
    /// kinds together. Reports each pair of controllers once, since the conflict persists over later lines.
    fn report(&mut self) {
        let mut firsts = Vec::new();
        for (kind, actors) in &self.kinds {
            firsts.extend(actors.first().map(|actor| (*kind, *actor)));
        }
        let mut alone = true;
        for (place, (a, one)) in firsts.iter().enumerate() {
            for (b, other) in firsts[place + 1..].iter().filter(|(b, _)| !overlap(*a, *b)) {
                alone = false;
                if !self.reported.insert((*one, *a, *other, *b)) {
                    continue;
                }
                let (x, y) = (&self.acting[one].line, &self.acting[other].line);
                let says = format!(
                    "{} and {} act at the same time under revisions that exclude each other",
                    x.who, y.who
                );
                self.verdict.found(Rule::Exclude, self.now, says, vec![x.clone(), y.clone()]);
            }
        }
        let ((a, one), (b, other)) = (firsts[0], firsts[1]);
        if alone && self.reported.insert((one, a, other, b)) {
            let witness: Vec<Line> =
                firsts.iter().map(|(_, actor)| self.acting[actor].line.clone()).collect();
            let says = "no single revision permits what all of these controllers do at the same time".into();
            self.verdict.found(Rule::Exclude, self.now, says, witness);
        }
    }
}
