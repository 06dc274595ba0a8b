//! Decides when a revision moves to its next stage, and when it is withdrawn.

use crate::chair::Leader;
use crate::{Accord, Bug, Entry, Holds, Ms, Refusal, Wait};

/// At most this many members are listed when not all of them checked a revision in time.
const MAX_MISSING_LISTED: usize = 8;

impl Accord {
    /// The next stage entry that the leader appends; `None` while an earlier stage entry is not committed
    /// yet.
    pub(crate) fn next_stage_entry(&self, leader: &Leader) -> Option<Entry> {
        if self.stage_entry_in_flight() {
            return None;
        }
        let revision = self.committed.pending_revision()?;
        let no = revision.no;
        let withdraw = |why: Refusal| Some(Entry::Withdrawn { no, why });
        if let Some((by, why)) = leader.leases.rejected_by(revision) {
            return withdraw(Refusal::Unfit { by: by.clone(), why: why.clone() });
        }
        let waits = self.stage_waits(leader);
        match (self.committed.stage.staged, waits.is_empty()) {
            (Some(_), true) => Some(Entry::Joint(no)),
            (None, true) => Some(Entry::InForce(no)),
            (Some(_), false) if self.now >= leader.staged_at.plus(self.settings.check_within) => {
                let mut missing: Vec<&str> = waits.iter().map(|wait| &*wait.name.0).collect();
                let more = missing.len().saturating_sub(MAX_MISSING_LISTED);
                missing.truncate(MAX_MISSING_LISTED);
                let mut missing = missing.join(", ");
                if more > 0 {
                    missing.push_str(&format!(" and {more} more"));
                }
                withdraw(Refusal::Unchecked { missing: missing.into() })
            }
            _ => None,
        }
    }

    pub(crate) fn stage_entry_in_flight(&self) -> bool {
        self.log.after(self.commit_index, usize::MAX).iter().any(|logged| {
            matches!(
                logged.entry,
                Entry::Proposed { .. } | Entry::Joint(_) | Entry::InForce(_) | Entry::Withdrawn { .. }
            )
        })
    }

    /// The members that the pending revision waits for.
    pub(crate) fn stage_waits(&self, leader: &Leader) -> Vec<Wait> {
        let Some(revision) = self.committed.pending_revision() else { return vec![] };
        let (stage, leases) = (self.committed.stage, &leader.leases);
        match stage.holds {
            _ if stage.staged.is_some() => leases.awaited_verdicts(self.now, revision, &leader.leaving),
            Holds::Joint { .. } if !self.has_bug(Bug::WidensBeforeAllNarrowed) => leases.unsettled_runs(
                self.now,
                stage.no,
                self.committed.proposed,
                self.settings.linger_bound(),
            ),
            _ => vec![],
        }
    }

    /// The members that the pending revision or a membership change waits for.
    pub(crate) fn leader_waits(&self, leader: &Leader) -> Vec<Wait> {
        let mut waits = self.stage_waits(leader);
        waits.extend(self.leave_waits(leader));
        debug_assert!(waits.iter().all(|wait| Ms(wait.until) > self.now));
        waits
    }
}
