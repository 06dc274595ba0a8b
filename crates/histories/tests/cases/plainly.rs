//! Compares the checks with straightforward reference implementations, on small histories of which about half
//! are correct.

use std::collections::BTreeSet;

use amberarch_histories::made::Chance;
use amberarch_histories::{plain, Exclude, Grants, Held, Line, Outcome, Register, What};
use proptest::prelude::*;

/// Distance between lines in ns, so that steps fit between them.
const LINE_DISTANCE: u64 = 10;

/// A register that takes random steps, and the lines that proposers and two controllers would write about it.
/// At most three proposals, so that all ways to place the steps can be tried.
struct RandomWalk {
    chance: Chance,
    lines: Vec<Line>,
    in_force: Option<u64>,
    before: Option<u64>,
    in_progress: Option<u64>,
    known: u64,
    /// Id, number, whether it was ever in progress, was put in force, was answered.
    asked: Vec<(u64, u64, bool, bool, bool)>,
    holds: Vec<(Held, u64)>,
}

fn admits(held: Held, no: Option<u64>) -> bool {
    match held {
        Held::Nothing => no.is_none(),
        Held::Alone { no: held } => no == Some(held),
        Held::Joint { old, new } => no == old || no == Some(new),
    }
}

impl RandomWalk {
    fn lines(seed: u64, max_lines: usize) -> Vec<Line> {
        let mut walk = RandomWalk {
            chance: Chance::new(seed),
            lines: Vec::new(),
            in_force: None,
            before: None,
            in_progress: None,
            known: 0,
            asked: Vec::new(),
            holds: vec![(Held::Nothing, 0); 2],
        };
        for _ in 0..200 {
            if walk.lines.len() < max_lines {
                walk.step();
            }
        }
        walk.lines
    }

    fn event(&mut self, who: &str, what: What) {
        let at = (self.lines.len() as u64 + 1) * LINE_DISTANCE;
        self.lines.push(Line { at, who: who.into(), what });
    }

    fn step(&mut self) {
        let now = self.lines.len() as u64 * LINE_DISTANCE + LINE_DISTANCE / 2;
        match self.chance.below(7) {
            0 if self.asked.len() < 3 => {
                let (id, no) = (self.asked.len() as u64, 1 + self.chance.below(3));
                // Sometimes the same text again.
                let digest = if self.chance.one_in(3) { "same".into() } else { format!("text {id}") };
                self.asked.push((id, no, false, false, false));
                self.event("op", What::Proposed { id, no, digest });
            }
            1 if self.in_progress.is_none() => {
                let known = self.known;
                let next = self.asked.iter_mut().find(|(_, no, .., answered)| *no > known && !answered);
                if let Some((_, no, in_progress, ..)) = next {
                    (*in_progress, self.known, self.in_progress) = (true, *no, Some(*no));
                }
            }
            2 if self.chance.one_in(2) => self.in_progress = None,
            3 => {
                let may =
                    |no| self.holds.iter().all(|(held, until)| *until <= now || admits(*held, Some(no)));
                if let Some(no) = self.in_progress.filter(|no| may(*no)) {
                    (self.before, self.in_force, self.in_progress) = (self.in_force, Some(no), None);
                    let first =
                        self.asked.iter_mut().find(|(_, of, in_progress, ..)| *of == no && *in_progress);
                    first.into_iter().for_each(|of| of.3 = true);
                }
            }
            4 | 5 => {
                let controller = self.chance.below(2) as usize;
                let alone = self.in_force.map_or(Held::Nothing, |no| Held::Alone { no });
                let holds = match (self.in_progress, self.in_force) {
                    (Some(new), old) if self.chance.one_in(2) => Held::Joint { old, new },
                    (None, Some(new)) if self.chance.one_in(3) => Held::Joint { old: self.before, new },
                    _ => alone,
                };
                let until = now + 1 + self.chance.below(5 * LINE_DISTANCE);
                self.holds[controller] = (holds, until);
                let name = format!("steward:{controller}");
                self.event(&name, What::Holds { boot: 1, stage: 1, holds, until });
            }
            _ => {
                let Some(place) = self.asked.iter().position(|(.., answered)| !answered) else { return };
                let (id, no, was_in_progress, in_force, _) = self.asked[place];
                let outcome = match (in_force, self.in_progress == Some(no)) {
                    _ if self.chance.one_in(6) => Outcome::Unsure,
                    (true, _) => Outcome::InForce,
                    (false, true) => return,
                    (false, false) => Outcome::Refused,
                };
                let other = self.in_progress.filter(|_| outcome == Outcome::Refused && !was_in_progress);
                self.asked[place].4 = true;
                self.event("op", What::Answered { id, no, outcome, winner: other });
            }
        }
    }
}

/// Changes one detail of one line.
fn corrupt(lines: &mut [Line], chance: &mut Chance) {
    if lines.is_empty() {
        return;
    }
    let place = chance.below(lines.len() as u64) as usize;
    let other = 1 + chance.below(3);
    match &mut lines[place].what {
        What::Holds { until, .. } if chance.one_in(2) => *until += 1 + chance.below(5 * LINE_DISTANCE),
        What::Holds { holds, .. } => {
            *holds = match *holds {
                Held::Alone { .. } if chance.one_in(2) => {
                    Held::Joint { old: Some(other), new: other % 3 + 1 }
                }
                Held::Joint { new, .. } if chance.one_in(2) => Held::Alone { no: new },
                _ => Held::Alone { no: other },
            }
        }
        What::Answered { outcome, winner, .. } => {
            (*outcome, *winner) = match chance.below(3) {
                0 => (Outcome::InForce, None),
                1 => (Outcome::Refused, None),
                _ => (Outcome::Refused, Some(other)),
            }
        }
        What::Proposed { no, .. } => *no = other,
        _ => {}
    }
}

type Revision = (u64, String);

#[derive(Clone, Copy, PartialEq)]
enum Step {
    Take,
    Withdraw,
    Force,
}

/// All steps so far: index of the line before which the step happens, kind of step, revision.
type Steps = Vec<(usize, Step, Revision)>;

/// Tries every way to place steps between the lines, and checks each rule separately by scanning all earlier
/// steps.
fn fits(lines: &[Line]) -> bool {
    place(lines, 0, &mut Steps::new())
}

fn place(lines: &[Line], at: usize, steps: &mut Steps) -> bool {
    if at == lines.len() {
        return true;
    }
    if line_fits(lines, at, steps) && place(lines, at + 1, steps) {
        return true;
    }
    let mut next: Vec<(Step, Revision)> = Vec::new();
    match in_progress(steps) {
        Some(revision) => {
            next.push((Step::Withdraw, revision.clone()));
            if held_before(lines, at).all(|held| admits(held, Some(revision.0))) {
                next.push((Step::Force, revision));
            }
        }
        None => {
            let known = steps.iter().map(|(_, _, (no, _))| *no).max().unwrap_or(0);
            let open = lines[..at].iter().filter_map(|line| match &line.what {
                What::Proposed { id, no, digest } => Some((*id, (*no, digest.clone()))),
                _ => None,
            });
            let answered = |id: u64| {
                let ends = |line: &Line| matches!(&line.what, What::Answered { id: of, outcome, .. } if *of == id && *outcome != Outcome::Unsure);
                lines[..at].iter().any(ends)
            };
            let open: BTreeSet<Revision> =
                open.filter(|(id, (no, _))| *no > known && !answered(*id)).map(|(_, of)| of).collect();
            next.extend(open.into_iter().map(|revision| (Step::Take, revision)));
        }
    }
    for (step, revision) in next {
        steps.push((at, step, revision));
        let fits = place(lines, at, steps);
        steps.pop();
        if fits {
            return true;
        }
    }
    false
}

fn in_progress(steps: &Steps) -> Option<Revision> {
    steps.last().filter(|(_, step, _)| *step == Step::Take).map(|(_, _, revision)| revision.clone())
}

fn in_force(steps: &[(usize, Step, Revision)]) -> Option<u64> {
    steps.iter().rev().find(|(_, step, _)| *step == Step::Force).map(|(_, _, (no, _))| *no)
}

/// What is held without interruption until the line: holds that have not ended by its time and are not
/// replaced by it.
fn held_before(lines: &[Line], at: usize) -> impl Iterator<Item = Held> + '_ {
    (0..2).filter_map(move |controller| {
        let who = format!("steward:{controller}");
        let last = lines[..at].iter().rev().find(|line| line.who == who)?;
        let What::Holds { holds, until, .. } = last.what else { return None };
        (until > lines[at].at && lines[at].who != who).then_some(holds)
    })
}

fn line_fits(lines: &[Line], at: usize, steps: &Steps) -> bool {
    match &lines[at].what {
        What::Holds { holds, .. } => match *holds {
            Held::Joint { old, new } => {
                let taken = steps.iter().position(|(_, step, (no, _))| *step == Step::Take && *no == new);
                let while_old = taken.is_some_and(|taken| in_force(&steps[..taken]) == old);
                while_old && admits(*holds, in_force(steps))
            }
            held => admits(held, in_force(steps)),
        },
        What::Answered { id, outcome, winner, .. } => {
            let proposals = || {
                lines[..at].iter().enumerate().filter_map(|(place, line)| match &line.what {
                    What::Proposed { id, no, digest } => Some((place, *id, (*no, digest.clone()))),
                    _ => None,
                })
            };
            let Some((asked, _, revision)) = proposals().find(|(_, of, _)| of == id) else { return false };
            let forced = steps.iter().any(|(_, step, of)| *step == Step::Force && *of == revision);
            let refused = |id: u64| {
                let no = |line: &Line| matches!(&line.what, What::Answered { id: of, outcome: Outcome::Refused, .. } if *of == id);
                lines[..at].iter().any(no)
            };
            let alone = proposals().filter(|(_, id, of)| *of == revision && !refused(*id)).count() == 1;
            match outcome {
                Outcome::Unsure => true,
                Outcome::InForce => forced,
                Outcome::Refused if alone && (forced || in_progress(steps) == Some(revision.clone())) => {
                    false
                }
                Outcome::Refused => winner.is_none_or(|winner| {
                    // In progress at some time since the proposal: taken, and not ended before it.
                    steps.iter().enumerate().any(|(place, (_, step, of))| {
                        let ended = steps.get(place + 1).is_some_and(|(before, ..)| *before <= asked);
                        let self_made = alone && *of == revision;
                        *step == Step::Take && of.0 == winner && !ended && !self_made
                    })
                }),
            }
        }
        _ => true,
    }
}

fn register(lines: &[Line]) -> bool {
    let mut register = Register::default();
    lines.iter().for_each(|line| register.feed(line));
    let verdict = register.finish();
    assert_eq!(verdict.open, 0, "the search gave up on a small history");
    verdict.count() == 0
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn the_register_search_agrees_with_trying_every_placement(seed: u64, corrupted: bool) {
        let mut lines = RandomWalk::lines(seed, 11);
        if corrupted {
            corrupt(&mut lines, &mut Chance::new(!seed));
        }
        let fits = fits(&lines);
        prop_assert!(corrupted || fits, "a random walk of the register is correct: {lines:#?}");
        prop_assert_eq!(register(&lines), fits, "{:#?}", lines);
    }

    #[test]
    fn the_sweep_over_holds_agrees_with_the_comparison_of_each_pair(
        holds in prop::collection::vec((0..3u64, 0..4u64, 0..4u64, 0..6u64), 0..12)
    ) {
        let mut lines = Vec::new();
        for (place, (controller, kind, no, long)) in holds.into_iter().enumerate() {
            let what = match kind {
                0 => What::LetGo { boot: 1 },
                1 => What::Died,
                2 => What::Holds { boot: 1, stage: 1, holds: Held::Joint { old: Some(no), new: no + 1 }, until: 0 },
                _ => What::Holds { boot: 1, stage: 1, holds: Held::Alone { no }, until: 0 },
            };
            let at = place as u64 * 2;
            let mut line = Line { at, who: format!("steward:{controller}"), what };
            if let What::Holds { until, .. } = &mut line.what {
                *until = at + long;
            }
            lines.push(line);
        }
        let mut sweep = Exclude::default();
        lines.iter().for_each(|line| sweep.feed(line));
        let sweep = sweep.finish();
        let pairs = sweep.violations.iter().filter(|violation| violation.witness.len() == 2).count();
        prop_assert_eq!(pairs > 0, plain::excluding(&lines) > 0, "{:#?}", lines);
    }

    #[test]
    fn the_sweep_over_grants_agrees_with_recomputed_sums(
        lines in prop::collection::vec((0..6u64, 0..2u64, 0..2u64, 0..6u64, 1..8u64), 0..24)
    ) {
        let (name, mut at, mut all) = (|no: u64| format!("n{no}"), 0, Vec::new());
        for (kind, who, tenant, rate, long) in lines {
            at += 1 + long % 3;
            let (tenant, zone) = (name(tenant), "z".to_owned());
            let what = match kind {
                0 => What::Capacity { zone, per_s: 2.0 * rate as f64 },
                1 | 2 => {
                    // One of the grants that this recipient received so far.
                    let untils: Vec<u64> = all.iter().filter_map(|line: &Line| match &line.what {
                        What::Granted { to, tenant: of, until, .. } if *to == name(who) && *of == tenant => Some(*until),
                        _ => None,
                    }).collect();
                    let Some(until) = untils.get(rate as usize % untils.len().max(1)) else { continue };
                    What::Took { tenant, zone, until: *until }
                }
                _ => What::Granted { to: name(who), tenant, zone, per_s: rate as f64, until: at + 2 * long },
            };
            let who = if let What::Took { .. } = what { name(who) } else { "chair".to_owned() };
            all.push(Line { at, who, what });
        }
        let mut sweep = Grants::new(0.0, f64::INFINITY);
        all.iter().for_each(|line| sweep.feed(line));
        prop_assert_eq!(sweep.finish().count(), over_granted(&all), "{:#?}", all);
    }
}

/// Number of lines at which a grant raises the sum above the capacity, with the sum recomputed each time from
/// all earlier lines.
fn over_granted(lines: &[Line]) -> u64 {
    let used = |upto: usize, at: u64| -> f64 {
        let mut sum = 0.0;
        for who in ["n0", "n1"] {
            for tenant in ["n0", "n1"] {
                let mut held: Vec<(f64, u64)> = Vec::new();
                for line in &lines[..upto] {
                    // Expired grants can no longer be in use.
                    held.retain(|(_, until)| *until > line.at);
                    match &line.what {
                        What::Granted { to, tenant: of, per_s, until, .. } if to == who && of == tenant => {
                            held.push((*per_s, *until));
                        }
                        What::Took { tenant: of, until, .. } if line.who == who && of == tenant => {
                            if let Some(place) = held.iter().rposition(|(_, end)| end == until) {
                                held.drain(..place);
                            }
                        }
                        _ => {}
                    }
                }
                sum +=
                    held.iter().filter(|(_, until)| *until > at).map(|(rate, _)| *rate).fold(0.0, f64::max);
            }
        }
        sum
    };
    let mut over = 0;
    for (place, line) in lines.iter().enumerate() {
        let capacity = lines[..place].iter().rev().find_map(|line| match line.what {
            What::Capacity { per_s, .. } => Some(per_s),
            _ => None,
        });
        let (What::Granted { .. }, Some(limit)) = (&line.what, capacity) else { continue };
        let (before, after) = (used(place, line.at), used(place + 1, line.at));
        over += u64::from(after > before && after > limit + 0.5);
    }
    over
}
