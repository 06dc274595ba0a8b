//! Server side of the fleet protocol: receives the message streams of other members. A message that is not for this
//! member or is malformed is rejected with a status that tells the sender why.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use amberarch_accord::{Boot, FleetId, Name};
use prometheus_client::metrics::counter::Counter;
use slog::{warn, Logger};
use tokio::sync::mpsc;
use tonic::{Code, Request, Response, Status, Streaming};

use crate::codec::{unpack, Malformed, Said};
use crate::counts::Counts;
use crate::wire::fleet_server::Fleet;
use crate::wire::{Ended, Envelope};

/// Why a message was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("a message of fleet {fleet:?}; this is fleet {ours:?}")]
    OtherFleet { fleet: String, ours: String },
    #[error("a message for {to:?}; this is {ours:?}")]
    NotForMe { to: String, ours: String },
    #[error("a message from {from:?}, which is no member here")]
    NotAMember { from: String },
    #[error("another process speaks as {from:?}, which is this member's own name")]
    OwnName { from: String },
    #[error("two processes speak as {from:?}: incarnation {old:016x} sent a message after {new:016x} had replaced it")]
    NamedTwice { from: String, old: u64, new: u64 },
    #[error("a message from {from:?} can't be read: {what}")]
    Spoilt { from: String, what: Malformed },
    #[error("a message that is too large or is not of the protocol: {0}")]
    Huge(String),
}

impl Refused {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::OtherFleet { .. } => {
                "give both members the same `id`, or take the one out of the other's file"
            }
            Refused::NotForMe { .. } => "correct the address of that member in the sender's file",
            Refused::NotAMember { .. } => "add it to [[fleet.member]] here, or end it",
            Refused::OwnName { .. } | Refused::NamedTwice { .. } => {
                "two processes have one name: end one of them or give it a name of its own"
            }
            Refused::Spoilt { .. } => "bring both members to the same version; if they are, report it",
            Refused::Huge(_) => "raise `most_message_bytes` at all members, or make the policy smaller",
        }
    }
}

/// Checks received messages against the membership and the known incarnations of each sender.
pub struct Admission {
    pub fleet: FleetId,
    pub own: Name,
    runs: Mutex<Runs>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Runs {
    members: BTreeSet<Name>,
    /// The newest incarnation of each member, and those that it replaced.
    newest: BTreeMap<Name, (Boot, Vec<Boot>)>,
}

/// Number of replaced incarnations remembered per member. A member is not expected to restart more often while its
/// earlier incarnations still send.
const MAX_REPLACED: usize = 64;

impl Admission {
    pub fn new(fleet: FleetId, own: Name, members: BTreeSet<Name>, counts: Arc<Counts>) -> Admission {
        let runs = Mutex::new(Runs { members, newest: BTreeMap::new() });
        Admission { fleet, own, runs, counts }
    }

    pub fn members(&self, members: BTreeSet<Name>) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).members = members;
    }

    /// Checks a received message and returns its sender and contents.
    ///
    /// # Errors
    /// Why the message is rejected. Rejections are counted by reason.
    pub fn admit(&self, envelope: Envelope) -> Result<(Name, Said), Refused> {
        let passed = self.check(envelope);
        let counted = |count: &Counter| {
            count.inc();
        };
        match &passed {
            Ok(_) => counted(&self.counts.heard),
            Err(Refused::OtherFleet { .. }) => counted(&self.counts.other_fleet),
            Err(Refused::NotForMe { .. }) => counted(&self.counts.not_for_me),
            Err(Refused::NotAMember { .. }) => counted(&self.counts.not_a_member),
            Err(Refused::OwnName { .. }) => counted(&self.counts.own_name),
            Err(Refused::NamedTwice { .. }) => counted(&self.counts.named_twice),
            Err(Refused::Spoilt { .. }) => counted(&self.counts.spoilt),
            Err(Refused::Huge(_)) => counted(&self.counts.huge),
        }
        passed
    }

    fn check(&self, envelope: Envelope) -> Result<(Name, Said), Refused> {
        let Envelope { fleet, from, boot, to, said } = envelope;
        // Text sent by an unidentified peer is written to a log, so it is truncated.
        let short = |text: String| text.chars().take(64).collect::<String>();
        if fleet != *self.fleet.0 {
            let fleet = short(fleet);
            return Err(Refused::OtherFleet { fleet, ours: self.fleet.0.to_string() });
        }
        if to != *self.own.0 {
            return Err(Refused::NotForMe { to: short(to), ours: self.own.to_string() });
        }
        if from == *self.own.0 {
            return Err(Refused::OwnName { from });
        }
        let name = Name::from(from.as_str());
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if !runs.members.contains(&name) {
            return Err(Refused::NotAMember { from: short(from) });
        }
        let (newest, replaced) = runs.newest.entry(name.clone()).or_insert((Boot(boot), vec![]));
        if newest.0 != boot {
            if replaced.contains(&Boot(boot)) {
                return Err(Refused::NamedTwice { from, old: boot, new: newest.0 });
            }
            replaced.push(*newest);
            if replaced.len() > MAX_REPLACED {
                replaced.remove(0);
            }
            *newest = Boot(boot);
        }
        drop(runs);
        let malformed = |what| Refused::Spoilt { from: from.clone(), what };
        let said = said.ok_or(Malformed("kind")).and_then(unpack).map_err(malformed)?;
        Ok((name, said))
    }
}

pub struct Service {
    pub admission: Arc<Admission>,
    pub received: mpsc::Sender<(Name, Said)>,
    pub counts: Arc<Counts>,
    pub log: Logger,
    /// When a rejected message was last logged.
    pub last_logged: Mutex<Option<Instant>>,
}

impl Service {
    /// Builds the status of a rejected message. Logs at most once a second, so that a misbehaving peer does not fill
    /// the disk; every rejection is counted elsewhere.
    fn refuse(&self, refused: &Refused, peer: Option<SocketAddr>) -> Status {
        let now = Instant::now();
        let mut last_logged = self.last_logged.lock().unwrap_or_else(PoisonError::into_inner);
        if last_logged.is_none_or(|last| now.duration_since(last) > Duration::from_secs(1)) {
            *last_logged = Some(now);
            warn!(self.log, "turned away"; "what" => %refused, "at" => ?peer, "advice" => refused.advice());
        }
        Status::invalid_argument(refused.to_string())
    }
}

#[tonic::async_trait]
impl Fleet for Service {
    async fn talk(&self, request: Request<Streaming<Envelope>>) -> Result<Response<Ended>, Status> {
        let peer = request.remote_addr();
        let mut stream = request.into_inner();
        loop {
            let envelope = match stream.message().await {
                Ok(Some(envelope)) => envelope,
                Ok(None) => return Ok(Response::new(Ended {})),
                // The message exceeds the size limit or is not of the protocol; other codes mean a broken connection.
                Err(status)
                    if matches!(
                        status.code(),
                        Code::OutOfRange | Code::ResourceExhausted | Code::Internal
                    ) =>
                {
                    self.counts.huge.inc();
                    return Err(self.refuse(&Refused::Huge(status.message().to_string()), peer));
                }
                Err(status) => return Err(status),
            };
            let passed = self.admission.admit(envelope).map_err(|refused| self.refuse(&refused, peer))?;
            if self.received.send(passed).await.is_err() {
                return Err(Status::unavailable("this member is shutting down"));
            }
        }
    }
}
