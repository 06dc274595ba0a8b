//! Calls that a controller's relay got after the controller's end.

use std::collections::BTreeMap;

use crate::{Line, Rule, Verdict, What};

/// Assumes that stand-ins write `Called` as they read a call, `Died` once the process was waited for, and `Started` before its
/// next start. What was written before the end may be read so much later.
pub struct CallsAfterEnd {
    /// ms
    read_within: f64,
    /// Controllers whose process is gone, with the line of that.
    ended: BTreeMap<String, Line>,
    verdict: Verdict,
}

impl CallsAfterEnd {
    pub fn new(read_within: f64) -> CallsAfterEnd {
        CallsAfterEnd { read_within, ended: BTreeMap::new(), verdict: Verdict::default() }
    }

    /// Lines have to come in the order of `at`.
    pub fn feed(&mut self, line: &Line) {
        match line.what {
            What::Died => {
                self.ended.insert(line.who.clone(), line.clone());
            }
            What::Started => {
                self.ended.remove(&line.who);
            }
            What::Called => self.called(line),
            _ => {}
        }
    }

    fn called(&mut self, line: &Line) {
        self.verdict.looked += 1;
        let Some(died) = self.ended.get(&line.who) else { return };
        let after = (line.at - died.at) as f64 / 1e6;
        if after > self.read_within {
            let says = format!("a call of {} was read {after:.0} ms after its end", line.who);
            self.verdict.found(Rule::AfterEnd, line.at, says, vec![died.clone()]);
        }
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }
}
