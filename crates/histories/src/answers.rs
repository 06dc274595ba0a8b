//! Checks that each txn has exactly one final answer.

use std::collections::HashMap;

use crate::names::NumberSet;
use crate::report::ns;
use crate::{Line, Rule, Verdict, What};

/// Assumes that txn numbers are unique over the whole history, and that the same process writes `Asked` and
/// `Final` of a txn: a client that is killed (`Died`) leaves open txns, which are then not judged.
pub struct Answers {
    /// The longest time that a client waits for an answer, ns.
    longest: u64,
    waiting: HashMap<u64, Line>,
    asked: NumberSet,
    ended: NumberSet,
    end: u64,
    verdict: Verdict,
}

impl Answers {
    /// `longest` is the longest time that a client waits for an answer, in ms.
    pub fn new(longest: f64) -> Answers {
        Answers {
            longest: ns(longest),
            waiting: HashMap::new(),
            asked: NumberSet::default(),
            ended: NumberSet::default(),
            end: 0,
            verdict: Verdict::default(),
        }
    }

    pub fn feed(&mut self, line: &Line) {
        self.end = line.at;
        let mut found = |says: String, witness| self.verdict.found(Rule::Answers, line.at, says, witness);
        match &line.what {
            What::Asked { txn, .. } => {
                if !self.asked.add(*txn) {
                    let earlier = self.waiting.get(txn).into_iter().cloned();
                    let witness = earlier.chain([line.clone()]).collect();
                    found(format!("txn {txn} is requested a second time under the same number"), witness);
                }
                self.verdict.looked += 1;
                self.waiting.insert(*txn, line.clone());
            }
            What::Final { txn, .. } => {
                if !self.asked.has(*txn) {
                    found(format!("txn {txn} is answered but was never requested"), vec![line.clone()]);
                } else if !self.ended.add(*txn) {
                    found(format!("txn {txn} has a second final answer"), vec![line.clone()]);
                }
                self.waiting.remove(txn);
            }
            What::Served { txn, .. } if !self.asked.has(*txn) => {
                found(format!("txn {txn} is served but was never requested"), vec![line.clone()]);
            }
            What::Died => {
                let before = self.waiting.len();
                self.waiting.retain(|_, asked| asked.who != line.who);
                self.verdict.open += (before - self.waiting.len()) as u64;
            }
            _ => {}
        }
    }

    pub fn finish(mut self) -> Verdict {
        let (end, longest) = (self.end, self.longest);
        let over = |asked: &Line| end.saturating_sub(asked.at) > longest;
        self.verdict.open += self.waiting.values().filter(|asked| !over(asked)).count() as u64;
        let mut never: Vec<Line> = self.waiting.into_values().filter(|asked| over(asked)).collect();
        never.sort_by_key(|asked| asked.at);
        for asked in never {
            let waits = (end - asked.at) as f64 / 1e6;
            let says = format!("no answer in {waits:.0} ms, until the end of the history");
            self.verdict.found(Rule::Answers, asked.at, says, vec![asked]);
        }
        self.verdict
    }
}
