//! Checks that after faults end, a change is in force at every controller or at none.

use std::collections::BTreeMap;

use crate::report::ns;
use crate::{Held, Line, Outcome, Rule, Verdict, What};

/// Checks two moments: the one that follows the last disturbance by the bound (a disturbance is a fault, its
/// end, a proposal, or a controller seen for the first time or ended), and the end of the history if nothing
/// disturbed since and faults are `Healed`. At these moments every live controller holds the same single
/// revision alone, or nothing, under an unexpired lease, and none holds a lower revision than the highest
/// that was answered to be in force.
///
/// If the next disturbance or the end of the history comes before the bound has passed, the case passes if
/// all controllers hold the same by then; otherwise it stays open.
///
/// A controller is live from its first line until `Died`. Assumes that whoever stops the processes at the end
/// of a run writes `Fault` or `Died` before, or that the history ends before the controllers release their
/// leases.
pub struct Everywhere {
    bound: u64,
    live: BTreeMap<String, Option<(Held, u64, Line)>>,
    broken: bool,
    disturbed: u64,
    judged: bool,
    highest: Option<(u64, Line)>,
    end: u64,
    verdict: Verdict,
}

impl Everywhere {
    /// `bound` is the time within which all controllers have to hold the same, in ms.
    pub fn new(bound: f64) -> Everywhere {
        Everywhere {
            bound: ns(bound),
            live: BTreeMap::new(),
            broken: false,
            disturbed: 0,
            judged: false,
            highest: None,
            end: 0,
            verdict: Verdict::default(),
        }
    }

    pub fn feed(&mut self, line: &Line) {
        let due = self.disturbed + self.bound;
        if !self.broken && !self.judged && line.at > due {
            self.judged = true;
            self.check(due);
        }
        if self.disturbs(line) {
            self.ends_early(line.at);
            (self.disturbed, self.judged) = (line.at, false);
        }
        self.end = line.at;
        match &line.what {
            What::Fault { .. } => self.broken = true,
            What::Healed => self.broken = false,
            What::Answered { no, outcome: Outcome::InForce, .. } => {
                let earlier = self.highest.take().filter(|(highest, _)| highest >= no);
                self.highest = earlier.or_else(|| Some((*no, line.clone())));
            }
            _ => {}
        }
        if !is_controller(line) {
            return;
        }
        match &line.what {
            What::Died => drop(self.live.remove(&line.who)),
            What::Holds { holds, until, .. } => {
                self.live.insert(line.who.clone(), Some((*holds, *until, line.clone())));
            }
            What::LetGo { .. } => drop(self.live.insert(line.who.clone(), None)),
            _ if !self.live.contains_key(&line.who) => drop(self.live.insert(line.who.clone(), None)),
            _ => {}
        }
    }

    fn disturbs(&self, line: &Line) -> bool {
        match line.what {
            What::Fault { .. } | What::Healed | What::Proposed { .. } => true,
            What::Died => is_controller(line),
            _ => is_controller(line) && !self.live.contains_key(&line.who),
        }
    }

    /// Counts the case when a disturbance or the end of the history cuts the bound short.
    fn ends_early(&mut self, at: u64) {
        if self.broken || self.judged || self.live.is_empty() {
            return;
        }
        match self.problems(at).is_empty() {
            true => self.verdict.looked += 1,
            false => self.verdict.open += 1,
        }
    }

    fn check(&mut self, at: u64) {
        self.verdict.looked += 1;
        for (says, witness) in self.problems(at) {
            self.verdict.found(Rule::Everywhere, at, says, witness);
        }
    }

    fn problems(&self, at: u64) -> Vec<(String, Vec<Line>)> {
        let mut first: Option<(Held, &Line)> = None;
        let mut found = Vec::new();
        for (who, holds) in &self.live {
            let (held, line) = match holds {
                Some((held, until, line)) if *until > at => (*held, line),
                Some((_, _, line)) => {
                    found.push((format!("{who} holds nothing: its lease has expired"), vec![line.clone()]));
                    continue;
                }
                None => {
                    found.push((format!("{who} is running and holds nothing"), vec![]));
                    continue;
                }
            };
            let no = match held {
                Held::Joint { .. } => {
                    found.push((format!("{who} still holds two revisions jointly"), vec![line.clone()]));
                    continue;
                }
                Held::Alone { no } => Some(no),
                Held::Nothing => None,
            };
            if let Some((highest, answer)) = self.highest.as_ref().filter(|(highest, _)| no < Some(*highest))
            {
                let says =
                    format!("revision {highest} was answered to be in force and {who} holds an earlier one");
                found.push((says, vec![answer.clone(), line.clone()]));
            }
            match first {
                Some((same, _)) if same == held => {}
                Some((_, other)) => {
                    let says = format!("{} and {who} hold different revisions", other.who);
                    found.push((says, vec![other.clone(), line.clone()]));
                }
                None => first = Some((held, line)),
            }
        }
        found
    }

    pub fn finish(mut self) -> Verdict {
        let quiet = !self.broken && self.end >= self.disturbed + self.bound;
        match quiet {
            true => self.check(self.end),
            false => self.ends_early(self.end),
        }
        self.verdict
    }
}

fn is_controller(line: &Line) -> bool {
    line.who.starts_with("steward:")
}
