//! The controller's own lease: it is requested at regular intervals, counted from before the request was
//! sent, and over at the first check after its end.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::{
    Accord, Act, AskLease, Boot, Bug, Digest, Facts, Length, Ms, Name, Output, Outputs, Revision, RevisionNo,
    Role, Said, Stage, StageNo, Term, Turned,
};

/// Requests per lease length: two of them may be lost and the lease still does not run out.
const REQUESTS_PER_LEASE: f64 = 3.0;
/// Each interval is shortened by up to this fraction, at random, so that hundreds of controllers don't send
/// their requests at once.
const RENEWAL_JITTER: f64 = 0.2;
/// A request without an answer after this fraction of a lease is sent again, to another voter if need be.
const RETRY_FRACTION: f64 = 1.0 / 12.0;
/// Number of unanswered requests that are remembered; an answer to an older one is ignored.
const MAX_OPEN_REQUESTS: usize = 8;
/// A presumed leader is given up after this many requests without an answer.
const MAX_UNANSWERED: u32 = 2;
/// Number of redirects that are followed without a pause, since voters may name each other as leader.
pub(crate) const MAX_REDIRECTS: u32 = 3;

/// The state of this controller's own lease and of its requests to renew it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct LeaseHolder {
    pub request_no: u64,
    /// When each request that may still be answered was sent; `None` for a request that asked for no lease.
    pub open_requests: BTreeMap<u64, Option<Ms>>,
    pub last_sent: Ms,
    pub next_due: Ms,
    /// The presumed leader; `unanswered` counts the requests that it did not answer.
    pub leader: Option<Name>,
    /// The term of the leader that granted the last lease.
    pub term: Term,
    pub unanswered: u32,
    pub redirects: u32,
    /// The voters to ask in turn if no leader is known.
    voters: Vec<Name>,
    pub next_voter: usize,
    pub active: Option<HeldLease>,
    /// A lease for a newer stage than the one acted on: the texts of its revisions are still being checked.
    pub pending: Option<HeldLease>,
    pub first_lease_at: Option<Ms>,
    texts: BTreeMap<RevisionNo, CheckedText>,
    settled: Option<StageNo>,
    /// A stage that the leader announced and that no answer has brought yet; an answer that is under way may
    /// be older than it.
    announced_stage: Option<StageNo>,
    last_refusal: Option<Turned>,
    pub reported: Option<(u8, Stage, Ms)>,
}

/// A lease that this controller was granted, with its ends by its own clock.
#[derive(Clone, Debug, Hash)]
pub(crate) struct HeldLease {
    stage: Stage,
    pub acts_until: Ms,
    pub knows_until: Ms,
}

/// The text of a revision, and the result of its check once there is one.
#[derive(Clone, Debug, Hash)]
struct CheckedText {
    revision: Revision,
    verdict: Option<Result<(), Arc<str>>>,
}

/// Each run counts its requests from a different number, so that a late answer to a request of the previous
/// run matches no request of this run. Otherwise a lease would be counted from the send time of a request
/// that the leader never received.
fn first_request_no(boot: Boot) -> u64 {
    let mut hasher = DefaultHasher::new();
    boot.hash(&mut hasher);
    hasher.finish() >> 1
}

impl LeaseHolder {
    pub fn new(now: Ms, settings: &Facts) -> LeaseHolder {
        LeaseHolder {
            request_no: first_request_no(settings.boot),
            open_requests: BTreeMap::new(),
            last_sent: Ms::LONG_AGO,
            next_due: now,
            leader: None,
            term: Term(0),
            unanswered: 0,
            redirects: 0,
            voters: settings.voters.clone(),
            next_voter: 0,
            active: None,
            pending: None,
            first_lease_at: None,
            texts: BTreeMap::new(),
            settled: None,
            announced_stage: None,
            last_refusal: None,
            reported: None,
        }
    }

    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    pub fn newest_stage(&self) -> Stage {
        self.pending.as_ref().or(self.active.as_ref()).map_or_else(Stage::default, |held| held.stage)
    }

    fn usable(&self, no: RevisionNo) -> bool {
        self.texts.get(&no).is_some_and(|text| text.verdict == Some(Ok(())))
    }

    /// Whether the texts of all revisions in force under the stage are here and passed their check.
    fn can_act_on(&self, stage: &Stage) -> bool {
        stage.revisions().filter(|no| Some(*no) != stage.staged).all(|no| self.usable(no))
    }

    /// Whether a revision in force failed its check here.
    fn has_unusable_stage(&self) -> bool {
        let stage = self.newest_stage();
        stage
            .revisions()
            .filter(|no| Some(*no) != stage.staged)
            .any(|no| self.texts.get(&no).is_some_and(|text| matches!(text.verdict, Some(Err(_)))))
    }

    /// Activates the pending lease if its stage can be acted on; returns whether the stage acted on has
    /// changed.
    fn activate_pending(&mut self) -> bool {
        if !self.pending.as_ref().is_some_and(|pending| self.can_act_on(&pending.stage)) {
            return false;
        }
        let before = self.active.as_ref().map(|active| active.stage);
        self.active = self.pending.take();
        before != self.active.as_ref().map(|active| active.stage)
    }

    /// Forgets the oldest unanswered requests above the limit.
    pub fn trim_open_requests(&mut self) {
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_first();
        }
    }

    pub fn lease_request(&self, now: Ms, settings: &Facts) -> AskLease {
        let active = self.active.as_ref().map_or_else(Stage::default, |active| active.stage);
        let newest = self.newest_stage();
        let pending_no = newest.staged.or(match newest.holds {
            crate::Holds::Joint { new, .. } => Some(new),
            _ => None,
        });
        let verdict = pending_no
            .and_then(|no| self.texts.get(&no))
            .and_then(|text| Some((text.revision.no, text.revision.digest, text.verdict.clone()?)));
        AskLease {
            asked: self.request_no,
            boot: settings.boot,
            disk: settings.disk,
            stage: active.no,
            settled: self.active.is_some() && self.settled == Some(active.no),
            verdict,
            barred: self.has_unusable_stage(),
            has: self.texts.values().map(|text| (text.revision.no, text.revision.digest)).collect(),
            leased: self.first_lease_at.map_or(0.0, |first| now.0 - first.0),
            lengths: settings.lengths(),
        }
    }
}

impl Accord {
    fn renewal_interval(&self) -> f64 {
        self.settings.length.acts / REQUESTS_PER_LEASE
    }

    pub(crate) fn retry_interval(&self) -> f64 {
        (self.settings.length.acts * RETRY_FRACTION).max(self.settings.beat)
    }

    /// The leader that a lease request or a proposal would be sent to now.
    pub(crate) fn leader_to_ask(&self) -> Option<Name> {
        match &self.role {
            Role::Leader(_) => Some(self.settings.me.clone()),
            // A member that does not vote any more learns of no new leader from the log.
            Role::Follower { leader: Some(leader) } if self.has_leader_contact() => Some(leader.clone()),
            _ => self.lease_holder.leader.clone().filter(|leader| *leader != self.settings.me),
        }
    }

    /// The term that a proposal to this leader is addressed to.
    pub(crate) fn leader_term(&self) -> Term {
        match &self.role {
            Role::Leader(_) => self.term,
            Role::Follower { leader: Some(_) } if self.has_leader_contact() => self.term,
            _ => self.lease_holder.term,
        }
    }

    pub(crate) fn renew_lease(&mut self, out: &mut Outputs) {
        if self.now < self.lease_holder.next_due {
            return;
        }
        if self.shutdown.is_some() {
            return self.send_release(out);
        }
        self.lease_holder.next_due = self.now.plus(self.retry_interval());
        let Some(target) = self.next_target() else { return };
        let holder = &mut self.lease_holder;
        let stage_unusable = holder.has_unusable_stage();
        holder.open_requests.insert(holder.request_no, (!stage_unusable).then_some(self.now));
        holder.trim_open_requests();
        let request = holder.lease_request(self.now, &self.settings);
        self.send(&target, Said::AskLease(request), out);
    }

    /// Chooses the member to ask, and counts one more request.
    pub(crate) fn next_target(&mut self) -> Option<Name> {
        let target = self.leader_to_ask().or_else(|| {
            let others: Vec<&Name> =
                self.lease_holder.voters.iter().filter(|name| **name != self.settings.me).collect();
            others.get(self.lease_holder.next_voter % others.len().max(1)).map(|name| Name::clone(name))
        });
        let target = target?;
        let holder = &mut self.lease_holder;
        holder.unanswered += 1;
        if holder.unanswered > MAX_UNANSWERED {
            // This request still goes to it; the next one goes to another member.
            (holder.leader, holder.unanswered) = (None, 0);
            holder.next_voter = holder.next_voter.wrapping_add(1);
        }
        holder.request_no += 1;
        holder.last_sent = self.now;
        Some(target)
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn on_lease(
        &mut self,
        from: Name,
        (asked, term): (u64, Term),
        stage: Stage,
        length: Length,
        texts: Vec<Revision>,
        voters: Vec<Name>,
        out: &mut Outputs,
    ) {
        let sane = length.acts >= 0.0 && length.knows >= length.acts && length.knows.is_finite();
        let corrupted = texts.iter().any(|text| Digest::of(&text.text) != text.digest);
        if !sane || corrupted {
            return self.refuse("spoilt");
        }
        // Only requests sent after the last answered one are open, so a late answer does not bring an old
        // stage back.
        let Some(since) = self.lease_holder.open_requests.remove(&asked) else {
            return self.refuse("old answer");
        };
        let random_fraction = self.random_fraction();
        let interval = self.renewal_interval() * (1.0 - RENEWAL_JITTER * random_fraction);
        let holder = &mut self.lease_holder;
        holder.open_requests.retain(|request, _| *request > asked);
        holder.first_lease_at.get_or_insert(self.now);
        if holder.leader.as_ref() != Some(&from) || holder.term != term {
            self.own_proposals.values_mut().for_each(|own| own.next_due = own.next_due.min(self.now));
        }
        (holder.leader, holder.unanswered, holder.redirects, holder.last_refusal) = (Some(from), 0, 0, None);
        holder.term = term;
        if !voters.is_empty() {
            holder.voters = voters;
        }
        for revision in texts.into_iter().filter(|text| stage.speaks_of(text.no)) {
            let known = holder.texts.get(&revision.no);
            if known.is_none_or(|text| text.revision.digest != revision.digest) {
                out.outputs.push(Output::Check(revision.clone()));
                holder.texts.insert(revision.no, CheckedText { revision, verdict: None });
            }
        }
        let end = |length: f64| since.map_or(Ms::LONG_AGO, |since| since.plus(length));
        holder.pending =
            Some(HeldLease { stage, acts_until: end(length.acts), knows_until: end(length.knows) });
        holder.next_due = self.now.plus(interval);
        // The stage has changed and a lease for it is needed, or the leader has announced a later stage than
        // this one: request again at once (once for an announcement).
        let newer_announced = holder.announced_stage.take().is_some_and(|announced| announced > stage.no);
        if newer_announced || (since.is_none() && !holder.has_unusable_stage()) {
            holder.next_due = self.now;
        }
        self.activate_lease();
    }

    /// Activates the newest lease if its stage can be acted on, and reports that to the leader at once.
    fn activate_lease(&mut self) {
        let holder = &mut self.lease_holder;
        if holder.activate_pending() {
            holder.next_due = self.now;
        }
        let (active, pending) = (holder.active.as_ref(), holder.pending.as_ref());
        let named = |no: &RevisionNo| active.iter().chain(&pending).any(|held| held.stage.speaks_of(*no));
        holder.texts.retain(|no, _| named(no));
    }

    pub(crate) fn on_checked(
        &mut self,
        no: RevisionNo,
        digest: Digest,
        verdict: Result<(), Arc<str>>,
        out: &mut Outputs,
    ) {
        let text = self.lease_holder.texts.get_mut(&no).filter(|text| text.revision.digest == digest);
        let Some(text) = text else { return };
        if text.verdict.as_ref() == Some(&verdict) {
            return;
        }
        if let Err(why) = &verdict {
            out.outputs.push(Output::Log(format!(
                "revision {} can't be used on this controller: {why}; requests of governed classes are \
                 rejected under it until it is replaced or becomes usable",
                no.0
            )));
        }
        text.verdict = Some(verdict);
        self.lease_holder.next_due = self.now;
        self.activate_lease();
    }

    pub(crate) fn on_settled(&mut self, stage: StageNo, settled: bool) {
        // A late confirmation of an earlier stage is ignored.
        if self.lease_holder.active.as_ref().is_none_or(|active| active.stage.no != stage) {
            return;
        }
        let confirmed = settled.then_some(stage);
        if confirmed != std::mem::replace(&mut self.lease_holder.settled, confirmed) {
            self.lease_holder.next_due = self.now;
        }
    }

    pub(crate) fn on_not_leader(&mut self, from: Name, asked: u64, leader: Option<Name>) {
        let holder = &mut self.lease_holder;
        if holder.open_requests.remove(&asked).is_none() || asked != holder.request_no {
            return;
        }
        match leader.filter(|leader| *leader != from && *leader != self.settings.me) {
            Some(leader) => {
                (holder.leader, holder.unanswered) = (Some(leader), 0);
                holder.redirects += 1;
                if holder.redirects <= MAX_REDIRECTS {
                    holder.next_due = self.now;
                }
            }
            None => {
                holder.leader = None;
                holder.next_voter = holder.next_voter.wrapping_add(1);
            }
        }
    }

    pub(crate) fn on_lease_refused(&mut self, asked: u64, boot: Boot, why: Turned, out: &mut Outputs) {
        if boot != self.settings.boot || self.lease_holder.open_requests.remove(&asked).is_none() {
            return;
        }
        self.lease_holder.next_due = self.now.plus(self.renewal_interval());
        self.refuse("turned away");
        if self.lease_holder.last_refusal.as_ref() != Some(&why) {
            out.outputs.push(Output::Log(format!(
                "the leader refuses a lease to this controller: {why}; {}",
                why.advice()
            )));
            self.lease_holder.last_refusal = Some(why);
        }
    }

    pub(crate) fn on_stage_notice(&mut self, from: Name, term: Term, stage: StageNo) {
        let holder = &mut self.lease_holder;
        // The sender is a leader of a later term than the one that granted the last lease; the earlier leader
        // was stopped and won't answer.
        let later = term > holder.term && holder.leader.as_ref() != Some(&from);
        if later {
            (holder.leader, holder.unanswered) = (Some(from.clone()), 0);
        }
        if stage > holder.newest_stage().no {
            holder.announced_stage = Some(stage);
        } else if !later {
            return;
        }
        // Repeated announcements cause at most one request per quarter of a heartbeat interval.
        let soon = self.now.max(self.lease_holder.last_sent.plus(self.settings.beat / 4.0));
        self.lease_holder.next_due = self.lease_holder.next_due.min(soon);
        if self.lease_holder.leader.is_none() {
            self.lease_holder.leader = Some(from);
        }
    }

    pub(crate) fn act_at(&self, now: Ms) -> Act {
        let held = self.lease_holder.active.as_ref().filter(|_| self.may_order());
        let Some(held) = held else { return Act::Unknown };
        let stage = held.stage;
        if now < held.acts_until || self.has_bug(Bug::ActsAfterLease) {
            return Act::On { stage, until: held.acts_until.0 };
        }
        let knows_staged = stage.staged.is_none_or(|no| self.lease_holder.usable(no));
        match now < held.knows_until && knows_staged {
            true => Act::Within { stage, until: held.knows_until.0 },
            false => Act::Unknown,
        }
    }

    /// Returns an [`Output::Act`] if what this controller may act on has changed since the last report.
    pub(crate) fn report_act(&mut self, out: &mut Outputs) {
        let act = self.act_at(self.now);
        let reported = match &act {
            Act::On { stage, until } => (0, *stage, Ms(*until)),
            Act::Within { stage, until } => (1, *stage, Ms(*until)),
            Act::Unknown => (2, Stage::default(), Ms::NEVER),
        };
        if self.lease_holder.reported == Some(reported) {
            return;
        }
        let texts = self.lease_holder.texts.values().filter(|text| reported.1.speaks_of(text.revision.no));
        let texts = texts.map(|text| text.revision.clone()).collect();
        self.lease_holder.reported = Some(reported);
        out.outputs.push(Output::Act { act, texts });
    }

    pub(crate) fn lease_due(&self) -> Ms {
        if self.shutdown.is_some() {
            return self.lease_holder.next_due;
        }
        let ends = self.lease_holder.active.iter().flat_map(|held| [held.acts_until, held.knows_until]);
        ends.filter(|end| *end > self.now).fold(self.lease_holder.next_due, Ms::min)
    }
}
