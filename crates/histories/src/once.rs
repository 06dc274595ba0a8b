//! Checks that each non-idempotent txn is served at most once.

use std::collections::HashMap;

use crate::names::Names;
use crate::{Line, Rule, Verdict, What};

/// Assumes that a client writes `Asked` before it sends, so that a host's `Served` of a non-idempotent txn
/// comes after it. Keeps the first `Served` of each such txn until the end, since a second host may serve
/// late.
#[derive(Default)]
pub struct OnceOnly {
    names: Names,
    /// Non-idempotent txns by number.
    asked: HashMap<u64, FirstServed>,
    verdict: Verdict,
}

struct FirstServed {
    /// The first `Served`: time, host and zone.
    first: Option<(u64, u32, u32)>,
}

impl OnceOnly {
    pub fn feed(&mut self, line: &Line) {
        match &line.what {
            What::Asked { txn, once_only: true, .. } => {
                self.verdict.looked += 1;
                self.asked.entry(*txn).or_insert(FirstServed { first: None });
            }
            What::Served { txn, zone } => {
                let Some(of) = self.asked.get_mut(txn) else { return };
                let Some((at, who, first)) = of.first else {
                    of.first = Some((line.at, self.names.of(&line.who), self.names.of(zone)));
                    return;
                };
                let name = |number| self.names.name(number).to_owned();
                let what = What::Served { txn: *txn, zone: name(first) };
                let first = Line { at, who: name(who), what };
                let says =
                    format!("once-only txn {txn} is served by {} and again by {}", first.who, line.who);
                self.verdict.found(Rule::OnceOnly, line.at, says, vec![first, line.clone()]);
            }
            _ => {}
        }
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }
}
