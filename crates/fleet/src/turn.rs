//! Event loop around the consensus state machine: handles one input at a time and carries out its outputs in order.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use amberarch_accord::{
    Accord, Act, Boot, Disk, Facts, Holds, Input, Kept, Lasting, Length, Name, Output, Place, Refusal,
    Revision, Stage, StageNo, Unfit, Wanted, Wish,
};
use slog::{error, info, warn, Logger};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::codec::Said;
use crate::counts::Counts;
use crate::dealing::{Action, Quota};
use crate::fence::Under;
use crate::notes::QuotaRecorder;
use crate::outbox::Outbox;
use crate::peer::{PeerConnection, Timeouts};
use crate::service::Admission;
use crate::store::Store;
use crate::{random_id, Member, Post, Request, Steward, Talk};

pub struct EventLoop<S: Steward> {
    settings: Post,
    boot: Arc<AtomicU64>,
    admission: Arc<Admission>,
    consensus: Accord,
    /// `None` if the grant duration is too short to issue grants.
    quota: Option<Quota>,
    /// `None` if no history is recorded.
    recorder: Option<QuotaRecorder>,
    store: Option<Store>,
    steward: S,
    talk: Talk,
    peers: BTreeMap<Name, (Member, Arc<Outbox>, AbortHandle)>,
    /// Whether this member's grants limit admission under every plan that may be in force.
    ready: bool,
    /// The daemon's last report on its proxies: the stage, and whether all of them are within it.
    settled: Option<(StageNo, bool)>,
    /// The members that may hold grants.
    holders: Vec<Name>,
    /// The commit index at which `holders` was last evaluated.
    place: Place,
    /// The act that the daemon was last notified of, and its fence number.
    last_act: Option<ActKind>,
    under: Under,
    /// Completed once no change waits for this incarnation any more.
    release_done: Option<oneshot::Sender<()>>,
    /// Proposals made through this member without an outcome yet, by id.
    proposed: BTreeMap<u64, Revision>,
    log: Logger,
}

/// Placeholder voter of a fleet whose only voter has lost its disk, so that no leader can be elected.
const NO_VOTER: &str = "no voter";

/// An act without its expiry: two acts that differ in the expiry alone are the same to the daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ActKind {
    On(Stage),
    Within(Stage),
    Unknown,
}

impl<S: Steward> EventLoop<S> {
    pub fn new(
        settings: Post,
        boot: Boot,
        admission: Arc<Admission>,
        store: Option<Store>,
        steward: S,
        talk: Talk,
        log: Logger,
    ) -> Result<EventLoop<S>, Unfit> {
        let (mut store, now) = (store, talk.fence.clock().now());
        let begin = |store: &Option<Store>| {
            let kept = store.as_ref().map(|store| store.kept().clone()).unwrap_or_default();
            Accord::new(now, bootstrap(&settings, boot, kept.disk), kept)
        };
        let consensus = match begin(&store) {
            // The folder is readable, but its contents can't have been written by this voter.
            Err(why @ (Unfit::Torn(_) | Unfit::OtherDisk { .. })) => {
                votes_no_more(&why, why.advice(), &talk.counts, &log);
                store = None;
                begin(&store)?
            }
            consensus => consensus?,
        };
        let boot = Arc::new(AtomicU64::new(boot.0));
        let names = possible_holders(&settings, &consensus);
        let place = consensus.standing().0;
        let lengths = settings.lengths.of_grants().ok();
        let recorder = talk.history.clone().zip(lengths);
        let recorder =
            recorder.map(|(history, of)| QuotaRecorder::new(history, settings.name.clone(), of.longest()));
        let quota = lengths.map(|lengths| Quota::new(now, settings.name.clone(), lengths, names.clone()));
        let (peers, proposed) = (BTreeMap::new(), BTreeMap::new());
        let under = Under::default();
        Ok(EventLoop {
            settings,
            boot,
            admission,
            consensus,
            quota,
            recorder,
            store,
            steward,
            talk,
            peers,
            ready: true,
            settled: None,
            holders: names,
            place,
            last_act: None,
            under,
            release_done: None,
            proposed,
            log,
        })
    }

    fn now(&self) -> f64 {
        self.talk.fence.clock().now()
    }

    pub async fn run(
        mut self,
        mut received: mpsc::Receiver<(Name, Said)>,
        mut requests: mpsc::UnboundedReceiver<Request>,
    ) {
        /// Bounds of the wait, ms. The lower bound keeps a timer that is always due from starving other tasks of the
        /// thread.
        const MIN_WAIT: f64 = 1.0;
        const MAX_WAIT: f64 = 60_000.0;
        self.connect_peers();
        loop {
            let due = self.quota.as_ref().map_or(f64::INFINITY, Quota::due).min(self.consensus.due());
            let wait = (due - self.now()).clamp(MIN_WAIT, MAX_WAIT);
            tokio::select! {
                request = requests.recv() => match request {
                    Some(Request::End) | None => return,
                    Some(request) => self.request(request),
                },
                message = received.recv() => match message {
                    Some((from, Said::Accord(said))) => self.take(Input::Heard { from, said }),
                    Some((from, Said::Shares(said, noted))) => {
                        let now = self.now();
                        self.recorder.iter_mut().for_each(|recorder| recorder.received(now, &from, &said, noted.clone()));
                        self.with_quota(|quota, now| quota.received(now, &from, said));
                    }
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_secs_f64(wait / 1e3)) => {}
            }
            // Due timers are handled after each input too, so that a flood of messages can't delay them.
            if self.consensus.due() <= self.now() {
                self.take(Input::Tick);
            }
            if self.quota.as_ref().is_some_and(|quota| quota.due() <= self.now()) {
                self.with_quota(Quota::tick);
            }
            self.update_ready();
        }
    }

    /// A joint stage counts as settled here only once grants of the new plan limit admission too: from then on no txn
    /// is admitted outside it.
    fn update_ready(&mut self) {
        let ready = self.quota.as_ref().is_none_or(Quota::ready);
        if std::mem::replace(&mut self.ready, ready) == ready {
            return;
        }
        if let Some((stage, settled)) = self.settled {
            self.take(Input::Settled { stage, settled: settled && ready });
        }
    }

    fn with_quota(&mut self, with: impl FnOnce(&mut Quota, f64) -> Vec<Action>) {
        let now = self.now();
        let Some(quota) = &mut self.quota else { return };
        for action in with(quota, now) {
            match action {
                Action::Send(to, said) => {
                    let noted = self.recorder.as_mut().and_then(|recorder| recorder.sending(now, &to, &said));
                    self.send(&to, Said::Shares(said, noted));
                }
                Action::Local(said) => {
                    let own = &self.settings.name;
                    self.recorder.iter_mut().for_each(|recorder| drop(recorder.sending(now, own, &said)));
                }
                Action::Bound(bound) => self.steward.bound(Some(bound)),
                Action::Lift => self.steward.bound(None),
                Action::Log(text) => info!(self.log, "{}", text),
            }
        }
    }

    fn request(&mut self, request: Request) {
        match request {
            Request::Propose(id, revision) => {
                self.proposed.insert(id, revision.clone());
                self.take(Input::Wish { id, wish: Wish::Revision(revision) });
            }
            Request::End => {}
            Request::Release(gone) => self.release(gone),
            Request::Measured(sight) => self.with_quota(|quota, now| quota.measured(now, sight)),
            Request::Level(level) => self.with_quota(|quota, now| quota.level(now, level)),
            Request::Settled(stage, settled) => {
                self.settled = Some((stage, settled));
                self.ready = self.quota.as_ref().is_none_or(Quota::ready);
                self.take(Input::Settled { stage, settled: settled && self.ready });
            }
            Request::Members(members) => {
                self.settings.members = members;
                self.admission
                    .members(self.settings.members.iter().map(|member| member.name.clone()).collect());
                self.update_holders();
                self.connect_peers();
                self.propose_members();
            }
            Request::Show => {
                info!(self.log, "fleet: {}", self.status_line(); "under" => self.under.0);
                info!(self.log, "fleet talk: {}", self.talk.counts);
            }
        }
    }

    /// Status line for operators: the stage, and the members that a change waits for with the longest remaining wait.
    fn status_line(&self) -> String {
        let now = self.now();
        let status = self.consensus.status(now);
        let name = |name: &Option<Name>| name.as_ref().map_or("none".into(), Name::to_string);
        let waits: Vec<String> = status
            .waits
            .iter()
            .map(|wait| {
                format!(
                    "{} ({:?}, {:.1} s at the most)",
                    wait.name,
                    wait.what,
                    (wait.until - now).max(0.0) / 1e3
                )
            })
            .collect();
        let waits = if waits.is_empty() { "nobody".into() } else { waits.join(", ") };
        let votes = match self.talk.counts.without_disk.get() {
            0 => "",
            _ => "; does not vote: its folder is lost or corrupted, see the log",
        };
        let act = match &status.act {
            Act::On { stage, until } => format!("acts on {:?} for {:.1} s", stage.holds, (until - now) / 1e3),
            Act::Within { stage, until } => {
                format!("acts within {:?} for {:.1} s", within(stage), (until - now) / 1e3)
            }
            Act::Unknown => "rejects governed classes: no policy is known to be in force".into(),
        };
        format!(
            "stage={} holds={:?} staged={:?} known={} part={:?} term={} chair={} log={}/{} waits_for={waits}; {act}; refused={:?}{votes}",
            status.stage.no.0, status.stage.holds, status.stage.staged, status.known.0, status.part,
            status.term.0, name(&status.chair), status.stands.0, status.last.0, status.refused,
        )
    }

    /// Updates the quota state machine if the set of members that may hold grants has changed.
    fn update_holders(&mut self) {
        let names = possible_holders(&self.settings, &self.consensus);
        if names == self.holders {
            return;
        }
        if let Some(quota) = &mut self.quota {
            quota.members(self.talk.fence.clock().now(), names.clone());
        }
        self.holders = names;
    }

    /// Proposes the member list of the operator's file to consensus.
    fn propose_members(&mut self) {
        let named = |votes: bool| -> Vec<Name> {
            let of = self.settings.members.iter().filter(|member| member.votes == votes);
            of.map(|member| member.name.clone()).collect()
        };
        let wanted = Wanted { voters: named(true), followers: named(false) };
        self.talk.counts.proposals.inc();
        let id = self.talk.next_id();
        self.take(Input::Wish { id, wish: Wish::Members(wanted) });
    }

    /// Opens a connection to each other member and closes those to members that left or changed their address.
    fn connect_peers(&mut self) {
        let wanted: BTreeMap<Name, Member> =
            self.settings.members.iter().map(|member| (member.name.clone(), member.clone())).collect();
        self.peers.retain(|name, (member, _, connection)| {
            let stays = wanted.get(name).is_some_and(|wanted| wanted.at == member.at);
            if !stays {
                connection.abort();
            }
            stays
        });
        let lengths = self.settings.lengths;
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        // The maximum backoff is the election timeout, so that a peer that comes back is reconnected within about one
        // election. A peer that is silent for half a lease (the renewal interval) is reconnected.
        let timeouts = Timeouts {
            min_backoff: ms(lengths.beat),
            max_backoff: ms(lengths.election),
            dead_after: ms(lengths.acts / 2.0),
        };
        for (name, member) in wanted {
            if name == self.settings.name || self.peers.contains_key(&name) {
                continue;
            }
            let outbox = Arc::new(Outbox::default());
            let connection = PeerConnection {
                fleet: self.settings.fleet.0.to_string(),
                from: self.settings.name.to_string(),
                boot: self.boot.clone(),
                to: name.to_string(),
                at: member.at,
            };
            let seed = random_id() ^ self.settings.seed;
            let counts = self.talk.counts.clone();
            let run = connection.run(outbox.clone(), timeouts, seed, counts, self.log.clone());
            self.peers.insert(name, (member, outbox, tokio::spawn(run).abort_handle()));
        }
    }

    /// Handles one input and the inputs that follow from it. Durable writes are on disk before any later output is
    /// carried out.
    fn take(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now = self.now();
            let mut writes: Vec<Lasting> = Vec::new();
            let outputs = self.consensus.handle(now, input);
            let (place, base) = self.consensus.standing();
            let followed = self.quota.iter_mut();
            followed.for_each(|quota| quota.follow(now, place, base, |at| self.consensus.stood(at)));
            for output in outputs {
                if let Output::Last(last) = output {
                    writes.push(last);
                    continue;
                }
                if !self.write_durably(std::mem::take(&mut writes)) {
                    return;
                }
                match output {
                    Output::Last(_) => {}
                    Output::Send { to, said } => self.send(&to, Said::Accord(said)),
                    Output::Check(revision) => {
                        let staged = self.consensus.status(now).stage.staged == Some(revision.no);
                        let verdict = self.steward.check(&revision, staged);
                        if let Err(why) = &verdict {
                            error!(self.log, "this member can't use a revision"; "revision" => revision.no.0,
                                "digest" => %revision.digest, "why" => %why);
                        }
                        let (no, digest) = (revision.no, revision.digest);
                        inputs.push(Input::Checked { no, digest, verdict });
                    }
                    Output::Act { act, texts } => self.act(&act, &texts),
                    Output::Answer { id, outcome } => {
                        if let Err(why) = &outcome {
                            self.talk.counts.refused_proposals.inc();
                            warn!(self.log, "proposal refused"; "why" => %why, "advice" => why.advice());
                        }
                        self.answer(id, &outcome);
                    }
                    Output::Gone => self.released(),
                    Output::Log(text) => info!(self.log, "{}", text),
                }
            }
            if !self.write_durably(writes) {
                return;
            }
        }
        if std::mem::replace(&mut self.place, self.consensus.standing().0) != self.consensus.standing().0 {
            self.update_holders();
        }
        let (term, leader) = self.consensus.chair();
        let (term, leader) = (term.0, leader.cloned());
        self.with_quota(|quota, now| quota.leader_changed(now, term, leader.as_ref()));
    }

    fn answer(&mut self, id: u64, outcome: &Result<StageNo, Refusal>) {
        let Some(revision) = self.proposed.remove(&id) else { return };
        if let Some(history) = &self.talk.history {
            history.answered(id, revision.no, outcome);
        }
        self.steward.answer(id, &revision, outcome);
    }

    fn send(&mut self, to: &Name, said: Said) {
        if let Some((_, outbox, _)) = self.peers.get(to) {
            self.talk.counts.said.inc();
            if !outbox.push(said) {
                self.talk.counts.lost.inc();
            }
        }
    }

    /// Announces an orderly shutdown. The fence is closed already, so no order decided earlier can still be sent, and
    /// the other members may be told that this incarnation sends no more orders.
    fn release(&mut self, gone: oneshot::Sender<()>) {
        if self.talk.fence.open(self.under) {
            return error!(self.log, "leases not released on shutdown: the fence is still open";
                "advice" => "this is a defect: keep the log and report it; changes wait until this member's lease expires");
        }
        info!(self.log, "this steward lets go");
        self.talk.counts.let_go.inc();
        self.release_done = Some(gone);
        self.take(Input::LetGo);
    }

    fn released(&mut self) {
        self.talk.counts.let_gone.inc();
        info!(self.log, "leases released: no change waits for this member any more");
        if let Some(gone) = self.release_done.take() {
            let _ = gone.send(());
        }
    }

    /// Writes the records durably. Returns false if that fails: then no later output may be carried out, and this
    /// member stops voting. It goes on as a follower with a new incarnation, which is not bound by promises of the old
    /// one.
    fn write_durably(&mut self, lasting: Vec<Lasting>) -> bool {
        let Some(store) = self.store.as_mut().filter(|_| !lasting.is_empty()) else { return true };
        match store.last(&lasting) {
            Ok(()) => {
                self.talk.counts.lasted.inc_by(lasting.len() as u64);
                true
            }
            Err(fault) => {
                self.talk.counts.last_failed.inc();
                error!(self.log, "durable write failed; this member does not vote until it is restarted";
                    "why" => %fault, "advice" => fault.advice());
                self.store = None;
                self.talk.counts.without_disk.inc();
                let boot = Boot(random_id());
                self.boot.store(boot.0, Relaxed);
                let now = self.now();
                match Accord::new(now, bootstrap(&self.settings, boot, None), Kept::default()) {
                    Ok(consensus) => self.consensus = consensus,
                    Err(why) => {
                        error!(self.log, "consensus can't be restarted without the disk"; "why" => %why)
                    }
                }
                if self.release_done.is_some() {
                    // Otherwise this incarnation would request leases that it can't use, and changes would wait for
                    // them.
                    drop(self.consensus.handle(now, Input::LetGo));
                }
                self.act(&Act::Unknown, &[]);
                // The incarnation that held the proposals is gone, and no outcome would ever be reported.
                let asked: Vec<u64> = self.proposed.keys().copied().collect();
                asked.into_iter().for_each(|id| self.answer(id, &Err(Refusal::Unsure)));
                false
            }
        }
    }

    /// Applies an act. Moves the fence first, so that no order decided under the previous act is sent once the daemon
    /// or a peer knows of the new one.
    fn act(&mut self, act: &Act, texts: &[Revision]) {
        let (kind, until) = match act {
            Act::On { stage, until } => (ActKind::On(*stage), *until),
            Act::Within { stage, until } => (ActKind::Within(*stage), *until),
            Act::Unknown => (ActKind::Unknown, f64::INFINITY),
        };
        let changed = self.last_act.replace(kind) != Some(kind);
        if changed {
            self.under = Under(self.under.0 + 1);
        }
        self.talk.fence.set(self.under, until);
        if let Some(history) = &self.talk.history {
            let until = self.talk.fence.clock().machine_ns(until.min(1e15));
            match act {
                Act::On { stage, .. } => history.holds(stage.no, stage.holds, until),
                Act::Within { stage, .. } => history.holds(stage.no, within(stage), until),
                Act::Unknown => {
                    if changed {
                        history.let_go();
                    }
                }
            }
        }
        if changed {
            info!(self.log, "what holds here"; "act" => ?kind, "under" => self.under.0);
            self.steward.act(act, texts, self.under);
            let plans = self.steward.plans();
            if let Some(recorder) = &mut self.recorder {
                let (tenants, zones) = self.steward.names();
                recorder.plans(plans.clone(), tenants, &zones);
            }
            self.with_quota(|quota, now| quota.plans(now, plans));
        }
        // A leader grants leases to itself as to any other member: only after a majority has confirmed its leadership
        // in a round begun after the lease request. A lease counts from its request, so leadership was confirmed since
        // then.
        if let Act::On { until, .. } = act {
            let since = until - self.settings.lengths.acts;
            self.with_quota(|quota, now| quota.leadership_confirmed(now, since));
        }
    }
}

/// The members in the operator's file and those still in the consensus membership. Without the latter, a leader started
/// after the files had changed would not know of a member that is being removed, and would grant to others the quota
/// that this member may still admit. Consensus removes a member only once neither it nor its proxies can act on
/// anything, so none of its grants is in use afterwards.
fn possible_holders(settings: &Post, consensus: &Accord) -> Vec<Name> {
    let named = settings.members.iter().map(|member| &member.name);
    let base = consensus.standing().1;
    let members = base.voters.iter().map(|(name, _)| name).chain(&base.followers);
    let mut all: Vec<Name> = named.cloned().collect();
    for name in members {
        if !all.contains(name) && name.0.as_ref() != NO_VOTER {
            all.push(name.clone());
        }
    }
    all
}

/// However the loop ends, the last act is revoked: without consensus nothing would report its expiry.
impl<S: Steward> Drop for EventLoop<S> {
    fn drop(&mut self) {
        self.act(&Act::Unknown, &[]);
    }
}

/// Logs and counts that this incarnation does not vote.
pub fn votes_no_more(why: &dyn std::fmt::Display, advice: &str, counts: &Counts, log: &Logger) {
    counts.without_disk.inc();
    error!(log, "the folder can't be voted on: this member directs traffic and follows, and does not vote until it is \
        restarted with an intact one"; "why" => %why, "advice" => advice);
}

/// The policy that satisfies both the stage and the stage that may follow it (the staged revision joint with it).
pub fn within(stage: &Stage) -> Holds {
    match (stage.holds, stage.staged) {
        (Holds::Nothing, Some(new)) => Holds::Joint { old: None, new },
        (Holds::Alone(old), Some(new)) => Holds::Joint { old: Some(old), new },
        (holds, _) => holds,
    }
}

/// Bootstrap settings of consensus. A voter without a disk starts as a follower: it requests leases but takes part in
/// no vote.
pub fn bootstrap(settings: &Post, boot: Boot, disk: Option<Disk>) -> Facts {
    let without = |member: &Member| member.name == settings.name && disk.is_none();
    let (voters, followers): (Vec<&Member>, Vec<&Member>) =
        settings.members.iter().partition(|member| member.votes && !without(member));
    let names = |of: Vec<&Member>| of.into_iter().map(|member| member.name.clone()).collect::<Vec<_>>();
    let mut voters = names(voters);
    if voters.is_empty() && settings.members.iter().any(|member| member.votes) {
        // The only voter has lost its disk: no quorum is left, and governed request classes are rejected.
        voters.push(Name::from(NO_VOTER));
    }
    let crate::Lengths { acts, knows, drift, slack, linger, election, beat, check_within, .. } =
        settings.lengths;
    Facts {
        fleet: settings.fleet.clone(),
        me: settings.name.clone(),
        boot,
        disk,
        voters,
        followers: names(followers),
        length: Length { acts, knows },
        drift,
        slack,
        linger,
        election,
        beat,
        check_within,
        seed: settings.seed ^ boot.0,
    }
}

#[cfg(test)]
mod tests {
    use amberarch_accord::{Base, FleetId, Term};

    use super::*;
    use crate::Lengths;

    /// Guards against a leader, started after the files had changed, that grants the quota which a member being removed
    /// may still admit.
    #[test]
    fn a_member_being_removed_counts_as_a_holder_for_a_leader_whose_file_lacks_it() {
        let [a, b, c] = ["a", "b", "c"].map(Name::from);
        let at = "127.0.0.1:1".parse().unwrap();
        let member = |name: &Name| Member { name: name.clone(), at, votes: true };
        let settings = Post {
            fleet: FleetId("test".into()),
            name: a.clone(),
            listen: at,
            members: vec![member(&a), member(&b)],
            folder: None,
            lengths: Lengths {
                acts: 900.0,
                knows: 2_000.0,
                drift: 0.01,
                slack: 20.0,
                linger: 50.0,
                election: 200.0,
                beat: 30.0,
                check_within: 5_000.0,
                grant: 1_200.0,
            },
            message_bytes: 1 << 20,
            history: None,
            seed: 1,
        };
        let begun = |voters: Vec<(Name, Option<Disk>)>| {
            let base = Base { voters, ..Base::default() };
            let base = Some(((Term(1), Place(4)), base));
            let kept = Kept { disk: Some(Disk(1)), term: Term(1), base, ..Kept::default() };
            Accord::new(0.0, bootstrap(&settings, Boot(1), kept.disk), kept).unwrap()
        };
        let still = begun([&a, &b, &c].map(|name| (name.clone(), Some(Disk(1)))).to_vec());
        assert_eq!(possible_holders(&settings, &still), [a.clone(), b.clone(), c]);
        let out = begun([&a, &b].map(|name| (name.clone(), Some(Disk(1)))).to_vec());
        assert_eq!(possible_holders(&settings, &out), [a, b]);
    }
}
