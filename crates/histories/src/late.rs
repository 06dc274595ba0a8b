//! Detects calls with orders that were written after the end of the lease they rely on.

use std::collections::{BTreeMap, HashMap};

use crate::names::Names;
use crate::{Line, Rule, Verdict, What};

/// Assumes that a controller writes `Holds` with each lease that it acquires, before it writes a call under
/// it. A call that started before the end of the lease and finished after it is the case that
/// `docs/fleet-policy.md` says cannot be excluded. A call that started after the end means that the check
/// before it was missing, or that the process was paused between the check and the call. The message
/// distinguishes the two; both are counted as late calls, separately from the violations.
#[derive(Default)]
pub struct Late {
    names: Names,
    boots: HashMap<(u32, u64), Run>,
    verdict: Verdict,
}

#[derive(Default)]
struct Run {
    stages: BTreeMap<u64, Stage>,
    /// The `LetGo` line, until the next `Holds`.
    let_go: Option<Line>,
}

struct Stage {
    since: u64,
    until: u64,
    /// The last `Holds` line of the stage.
    line: Line,
}

/// Number of stages kept for each run. A call under an earlier stage is treated as one under a stage that was
/// never held.
const MAX_STAGES: usize = 64;

impl Late {
    pub fn feed(&mut self, line: &Line) {
        match &line.what {
            What::Holds { boot, stage, until, .. } => {
                let of = self.boots.entry((self.names.of(&line.who), *boot)).or_default();
                of.let_go = None;
                let since = of.stages.get(stage).map_or(line.at, |stage| stage.since);
                of.stages.insert(*stage, Stage { since, until: *until, line: line.clone() });
                if of.stages.len() > MAX_STAGES {
                    of.stages.pop_first();
                }
            }
            What::LetGo { boot } => {
                let of = self.boots.entry((self.names.of(&line.who), *boot)).or_default();
                of.let_go = Some(line.clone());
            }
            What::Wrote { boot, stage, from } => self.wrote(line, *boot, *stage, *from),
            _ => {}
        }
    }

    fn wrote(&mut self, line: &Line, boot: u64, stage: u64, from: u64) {
        self.verdict.looked += 1;
        let of = self.boots.entry((self.names.of(&line.who), boot)).or_default();
        let after = of.stages.range(stage + 1..).next().map(|(_, next)| next);
        let mut found = |says: String, other: Option<&Line>| {
            let witness = other.into_iter().chain([line]).cloned().collect();
            self.verdict.found(Rule::Late, line.at, says, witness);
        };
        let Some(Stage { until, line: held, .. }) = of.stages.get(&stage) else {
            found(format!("a call under stage {stage}, which this run never held"), None);
            return;
        };
        let ms = |later: u64, earlier: u64| later.saturating_sub(earlier) as f64 / 1e6;
        if from > *until {
            let over = ms(from, *until);
            found(format!("a call started {over:.3} ms after the end of its lease"), Some(held));
        } else if line.at > *until {
            let over = ms(line.at, *until);
            found(
                format!("a call started in time and completed {over:.3} ms after the end of its lease"),
                Some(held),
            );
        } else if let Some(next) = after.filter(|next| from > next.since) {
            let over = ms(from, next.since);
            found(
                format!("a call of stage {stage} started {over:.3} ms after a later stage was acquired"),
                Some(&next.line),
            );
        } else if let Some(gone) = of.let_go.as_ref().filter(|gone| from > gone.at) {
            let over = ms(from, gone.at);
            found(format!("a call started {over:.3} ms after the lease was released"), Some(gone));
        }
    }

    pub fn finish(self) -> Verdict {
        self.verdict
    }
}
