//! The leader's record of granted leases: which members may still act, and on which stage. The leader counts
//! each lease longer than its holder does.

use std::collections::{BTreeMap, BTreeSet};

use crate::ending::{remaining_ms, LeaseEnd, Transfer};
use crate::{
    AskLease, Base, Boot, Digest, Disk, Ends, Facts, Ms, Name, Revision, RevisionNo, StageNo, Term, Turned,
    Wait, WaitFor,
};

/// Number of former runs of a member that are remembered by their incarnation, to be refused when they send
/// again.
const MAX_FORMER_RUNS: usize = 8;

/// One run of a member's process that may hold a lease.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Run {
    boot: Boot,
    last_request: u64,
    last_contact: Ms,
    disk: Option<Disk>,
    /// The stage that the run reported last to act on.
    stage: StageNo,
    settled: bool,
    verdict: Option<(RevisionNo, Digest, Result<(), std::sync::Arc<str>>)>,
    /// The run has stated that it issues no orders any more; it gets no lease, whatever message of it still
    /// arrives.
    released: bool,
    /// The ends of its last lease.
    acts: Ms,
    knows: Ms,
    /// The `knows` end of the last lease that did not include the pending revision, or the time at which the
    /// run reported that it knows of that revision.
    unaware_until: Ms,
}

/// What the leader knows of the leases of one member, by run.
#[derive(Clone, Debug, Hash)]
struct Member {
    /// The latest ends of leases that this leader has not granted itself: leases of runs that it never heard
    /// of.
    acts: Ms,
    knows: Ms,
    current: Option<Run>,
    former: Vec<Run>,
}

/// The leases of all members, as counted by the leader.
#[derive(Clone, Debug, Hash)]
pub(crate) struct LeaseTable {
    /// The latest ends of leases that were granted before this leader was elected.
    acts: Ms,
    knows: Ms,
    members: BTreeMap<Name, Member>,
}

impl LeaseTable {
    /// Leases of earlier leaders are counted from the election on. A leader grants a lease only after a
    /// majority has confirmed its leadership, so no lease of an earlier leader was requested after this one
    /// was elected.
    pub fn new(elected: Ms, settings: &Facts, transfer: Option<Transfer>) -> LeaseTable {
        let acts = elected.plus(settings.granted_ms(settings.length.acts));
        let knows = elected.plus(settings.granted_ms(settings.length.knows));
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for LeaseEnd { name, boot, acts: a, knows: k, gone } in
            transfer.into_iter().flat_map(|transfer| transfer.ends)
        {
            let member_without_run = || Member { acts, knows, current: None, former: vec![] };
            let member = members.entry(name).or_insert_with(member_without_run);
            let (acts, knows) = (a.min(acts), k.min(knows));
            match boot {
                Some(boot) => {
                    let run =
                        Run { acts, knows, unaware_until: knows, released: gone, ..Run::new(boot, elected) };
                    member.former.extend(member.current.replace(run));
                }
                None => (member.acts, member.knows) = (acts, knows),
            }
        }
        LeaseTable { acts, knows, members }
    }

    /// The lease ends that are passed to the next leader: for each member all that may still have to be
    /// waited for, and the run heard last.
    pub fn export(&self, now: Ms, linger: f64) -> Vec<Ends> {
        let mut all = vec![];
        for (name, member) in &self.members {
            let mut add = |boot, acts, knows, gone| {
                let (acts, knows) = (remaining_ms(now, acts), remaining_ms(now, knows));
                all.push(Ends { name: name.clone(), boot, acts, knows, gone });
            };
            add(None, member.acts, member.knows, false);
            let waited = |run: &&Run| now < run.acts.max(run.knows).plus(linger);
            for run in member.former.iter().filter(waited).chain(&member.current) {
                add(Some(run.boot), run.acts, run.knows, run.released);
            }
        }
        all
    }

    pub fn forget_earlier(&mut self) {
        (self.acts, self.knows) = (Ms::LONG_AGO, Ms::LONG_AGO);
        for member in self.members.values_mut() {
            *member = Member { acts: self.acts, knows: self.knows, current: None, former: vec![] };
        }
    }

    /// For [`crate::Bug::LetGoReleasesOthers`].
    pub fn forget_member(&mut self, now: Ms, name: &Name) {
        let Some(member) = self.members.get_mut(name) else { return };
        (member.acts, member.knows) = (member.acts.min(now), member.knows.min(now));
        for run in member.current.iter_mut().chain(&mut member.former) {
            (run.acts, run.knows, run.unaware_until) =
                (run.acts.min(now), run.knows.min(now), run.unaware_until.min(now));
        }
    }

    /// Moves all lease ends by `ms`.
    pub fn postpone(&mut self, ms: f64) {
        let later = |end: &mut Ms| *end = end.plus(ms);
        [&mut self.acts, &mut self.knows].into_iter().for_each(later);
        for member in self.members.values_mut() {
            [&mut member.acts, &mut member.knows].into_iter().for_each(later);
            for run in member.current.iter_mut().chain(&mut member.former) {
                [&mut run.acts, &mut run.knows, &mut run.unaware_until].into_iter().for_each(later);
            }
        }
    }

    /// For [`crate::Fold`].
    pub fn normalize(&mut self, time: impl Fn(&mut Ms), asked: impl Fn(&Name, Boot, u64) -> u64) {
        [&mut self.acts, &mut self.knows].into_iter().for_each(&time);
        for (name, member) in &mut self.members {
            [&mut member.acts, &mut member.knows].into_iter().for_each(&time);
            for run in member.current.iter_mut().chain(&mut member.former) {
                run.last_request = asked(name, run.boot, run.last_request);
                [&mut run.last_contact, &mut run.acts, &mut run.knows, &mut run.unaware_until]
                    .into_iter()
                    .for_each(&time);
            }
        }
    }

    /// Sets the members. A removed member holds no lease, since it is removed only after its leases have
    /// ended.
    pub fn set_members(&mut self, committed: &Base) {
        let (acts, knows) = (self.acts, self.knows);
        self.members.retain(|name, _| committed.is_member(name));
        for name in committed.member_names() {
            let member_without_run = || Member { acts, knows, current: None, former: vec![] };
            self.members.entry(name.clone()).or_insert_with(member_without_run);
        }
    }

    pub fn disk(&self, name: &Name) -> Option<Disk> {
        self.members.get(name)?.current.as_ref()?.disk
    }

    /// Records a member's lease request. A request of a run that another run has replaced is refused.
    pub fn record_request(
        &mut self,
        now: Ms,
        from: &Name,
        request: &AskLease,
        committed: &Base,
        settings: &Facts,
    ) -> Result<(), Turned> {
        let not_member = || Turned::NotMember { name: from.clone() };
        let member = self.members.get_mut(from).ok_or_else(not_member)?;
        if let Some(place) = member.former.iter().position(|run| run.boot == request.boot) {
            let since = now.plus(-settings.granted_ms(settings.length.acts));
            if member.current.as_ref().is_some_and(|run| run.last_contact >= since) {
                return Err(Turned::NameTwice { name: from.clone() });
            }
            // The run that seemed to replace this one was an earlier run whose message arrived late: nothing
            // came after it.
            let run = member.former.remove(place);
            member.former.extend(member.current.replace(run));
        }
        let leased = if request.leased.is_finite() { request.leased.max(0.0) } else { 0.0 };
        if member.current.as_ref().is_none_or(|run| run.boot != request.boot) {
            // Leases that the run got from earlier leaders are among those counted from the election on.
            let (acts, knows) = match leased > 0.0 {
                true => (self.acts, self.knows),
                false => (Ms::LONG_AGO, Ms::LONG_AGO),
            };
            let run =
                Run { disk: request.disk, acts, knows, unaware_until: knows, ..Run::new(request.boot, now) };
            member.former.extend(member.current.replace(run));
            let excess = member.former.len().saturating_sub(MAX_FORMER_RUNS);
            for gone in member.former.drain(..excess) {
                (member.acts, member.knows) = (member.acts.max(gone.acts), member.knows.max(gone.knows));
            }
        }
        let Some(run) = &mut member.current else { return Ok(()) };
        if request.asked <= run.last_request {
            return Ok(());
        }
        if leased > 0.0 {
            // Earlier runs got their leases before this run's first one.
            let first = now.plus(-leased / (1.0 + settings.drift));
            member.acts = member.acts.min(first.plus(settings.granted_ms(settings.length.acts)));
            member.knows = member.knows.min(first.plus(settings.granted_ms(settings.length.knows)));
        }
        (run.last_request, run.last_contact) = (request.asked, now);
        run.disk = request.disk;
        // A stage that is not known here comes from another history of the fleet, or from a corrupted
        // message.
        let stage = if request.stage <= committed.stage.no { request.stage } else { StageNo(0) };
        if run.stage < committed.proposed && stage >= committed.proposed {
            // Until just now the run may have acted without knowing of the revision; the linger counts from
            // here on.
            run.unaware_until = run.unaware_until.min(now);
        }
        (run.stage, run.settled, run.verdict) = (stage, request.settled, request.verdict.clone());
        Ok(())
    }

    /// Grants a lease. The leader counts it from after the answer, the holder from before its request.
    pub fn grant(&mut self, now: Ms, to: &Name, boot: Boot, settings: &Facts) -> bool {
        let run = self.members.get_mut(to).and_then(|member| member.current.as_mut());
        let Some(run) = run.filter(|run| run.boot == boot && !run.released) else { return false };
        run.acts = run.acts.max(now.plus(settings.granted_ms(settings.length.acts)));
        run.knows = run.knows.max(now.plus(settings.granted_ms(settings.length.knows)));
        true
    }

    /// Whether that run has stated that it issues no orders any more.
    pub fn is_released(&self, name: &Name, boot: Boot) -> bool {
        let runs =
            self.members.get(name).into_iter().flat_map(|member| member.current.iter().chain(&member.former));
        runs.filter(|run| run.boot == boot).any(|run| run.released)
    }

    /// Records that a run issues no orders any more: its own leases end now, and no others. Returns false if
    /// the run has to repeat the statement for this leader's term.
    pub fn release(
        &mut self,
        now: Ms,
        from: &Name,
        request: &AskLease,
        (addressed_term, term): (Term, Term),
        committed: &Base,
        settings: &Facts,
    ) -> bool {
        let Some(member) = self.members.get(from) else { return true };
        let is = |run: &&Run| run.boot == request.boot;
        let known = member.current.iter().chain(&member.former).any(|run| is(&run));
        match &member.current {
            // A late message of a run that this leader never heard, after another run was heard: nothing is
            // needed of it.
            Some(_) if !known => return true,
            // What the run states about earlier runs is valid only at a leader that was elected before the
            // statement was made: since then leases come from this leader alone, so no later run has one that
            // this leader doesn't know.
            None if addressed_term != term => return false,
            // The run was replaced by another one or was released before: record only that it is over.
            Some(run) if !is(&run) || run.released => {}
            _ => drop(self.record_request(now, from, request, committed, settings)),
        }
        let Some(member) = self.members.get_mut(from) else { return true };
        for run in member.current.iter_mut().chain(&mut member.former).filter(|run| run.boot == request.boot)
        {
            run.released = true;
            (run.acts, run.knows) = (run.acts.min(now), run.knows.min(now));
            run.unaware_until = run.unaware_until.min(now);
        }
        true
    }

    /// Marks that a revision is staged from now on, which no lease granted so far includes.
    pub fn mark_proposed(&mut self) {
        for member in self.members.values_mut() {
            member.current.iter_mut().chain(&mut member.former).for_each(|run| run.unaware_until = run.knows);
        }
    }

    /// The members whose verdict on the staged revision is awaited: all that hold a running lease.
    pub fn awaited_verdicts(&self, now: Ms, revision: &Revision, leaving: &BTreeSet<Name>) -> Vec<Wait> {
        let mut waits = vec![];
        for (name, member) in self.members.iter().filter(|(name, _)| !leaving.contains(*name)) {
            let (boot, until) = match &member.current {
                Some(run) if run.verdict_on(revision).is_some() => continue,
                Some(run) => (Some(run.boot), run.acts),
                None => (None, member.acts),
            };
            if now < until {
                waits.push(Wait { name: name.clone(), boot, what: WaitFor::Verdict, until: until.0 });
            }
        }
        waits
    }

    /// A member that can't use the revision, and the reason.
    pub fn rejected_by(&self, revision: &Revision) -> Option<(&Name, &std::sync::Arc<str>)> {
        self.members.iter().find_map(|(name, member)| {
            Some((name, member.current.as_ref()?.verdict_on(revision)?.as_ref().err()?))
        })
    }

    /// The runs that may still act on what the joint stage forbids, or whose proxies may still use it.
    pub fn unsettled_runs(&self, now: Ms, joint: StageNo, proposed: StageNo, linger: f64) -> Vec<Wait> {
        let mut waits = vec![];
        let mut wait = |name: &Name, boot, what, end: Ms| {
            let until = end.plus(linger);
            if now < until {
                waits.push(Wait { name: name.clone(), boot, what, until: until.0 });
            }
        };
        for (name, member) in &self.members {
            wait(name, None, WaitFor::Knows, member.acts.max(member.knows));
            for run in member.current.iter().chain(&member.former) {
                if run.stage == joint && run.settled {
                    continue;
                }
                // Orders under a stage that included the revision satisfy the revision too.
                let knew = run.stage >= proposed;
                let what = if knew { WaitFor::Settled } else { WaitFor::Knows };
                wait(name, Some(run.boot), what, run.acts.max(run.unaware_until));
            }
        }
        waits
    }

    /// The wait until a member that is being removed can't hold a lease of any kind.
    pub fn leave_wait(&self, now: Ms, name: &Name, linger: f64) -> Option<Wait> {
        let member = self.members.get(name)?;
        let runs = member.current.iter().chain(&member.former);
        let end = runs.map(|run| run.acts.max(run.knows)).fold(member.acts.max(member.knows), Ms::max);
        let until = end.plus(linger);
        let wait = Wait { name: name.clone(), boot: None, what: WaitFor::Leave, until: until.0 };
        (now < until).then_some(wait)
    }
}

impl Run {
    fn new(boot: Boot, now: Ms) -> Run {
        Run {
            boot,
            last_request: 0,
            last_contact: now,
            disk: None,
            stage: StageNo(0),
            settled: false,
            verdict: None,
            released: false,
            acts: Ms::LONG_AGO,
            knows: Ms::LONG_AGO,
            unaware_until: Ms::LONG_AGO,
        }
    }

    fn verdict_on(&self, revision: &Revision) -> Option<&Result<(), std::sync::Arc<str>>> {
        let (no, digest, verdict) = self.verdict.as_ref()?;
        (*no == revision.no && *digest == revision.digest).then_some(verdict)
    }
}
