//! Checks that a relay receives no call from a controller whose process has ended.

use std::collections::BTreeMap;

use crate::{Line, Rule, Verdict, What};

/// Assumes that test doubles write `Called` when they read a call, `Died` after they waited for the process,
/// and `Started` before its next start. Bytes written before the end may be read up to `read_within` later.
pub struct CallsAfterEnd {
    /// How long after the end of the process a call may still be read, ms.
    read_within: f64,
    /// Controllers whose process has ended, with the `Died` line.
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
