//! Network and disk front of the consensus and quota state machines of a fleet of controllers. An event loop passes
//! messages of peers to the state machines and carries out their outputs in order: durable writes, then messages,
//! then calls into the controller. It takes no decision of its own.
//!
//! The loop runs on its own thread, so that a slow fsync does not delay routing decisions.

mod clock;
mod codec;
mod counts;
mod dealing;
mod fence;
mod history;
mod notes;
mod outbox;
mod peer;
mod service;
mod store;
mod turn;
mod wire;

use std::collections::BTreeSet;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use amberarch_accord::{Act, Boot, Disk, FleetId, Name, Refusal, Revision, StageNo, Unfit};
use amberarch_shares::{Bound, Planned};
use slog::{error, info, Logger};
use tokio::sync::{mpsc, oneshot};
use tonic::transport::Server;

pub use clock::{machine_ns, Clock};
pub use codec::{Malformed, Said};
pub use counts::Counts;
pub use dealing::Sight;
pub use fence::{Fence, Under};
pub use history::History;
pub use notes::HistoryTag;
pub use service::{Admission, Refused};
pub use store::{Fault as StoreFault, Found, Store};
pub use turn::within;
pub use wire::{fleet_client, Envelope};

use wire::fleet_server::FleetServer;

/// One member, as configured in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: Name,
    pub at: SocketAddr,
    pub votes: bool,
}

/// Settings of this member: its identity, its peers, its storage folder and its timings.
#[derive(Clone, Debug)]
pub struct Post {
    pub fleet: FleetId,
    pub name: Name,
    pub listen: SocketAddr,
    pub members: Vec<Member>,
    /// Durable store; required for a voter.
    pub folder: Option<PathBuf>,
    pub lengths: Lengths,
    /// Largest message accepted from a peer.
    pub message_bytes: usize,
    /// Path of the history file, for tests and audits.
    pub history: Option<PathBuf>,
    pub seed: u64,
}

/// Durations of the operator's file, in ms; `drift` is a fraction (the maximum relative drift between two members'
/// clocks).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lengths {
    /// How long a member may act on a stage after it requested the lease.
    pub acts: f64,
    /// How long after that request the fleet goes no further than the stage and the revision staged in it.
    pub knows: f64,
    pub drift: f64,
    /// Added to the drift, for rounding and the time that reading the clock takes.
    pub slack: f64,
    /// From the end of a lease until no proxy has any order issued under it.
    pub linger: f64,
    /// Election timeout.
    pub election: f64,
    /// Heartbeat interval of the leader.
    pub beat: f64,
    /// Time within which all running controllers have to have checked a revision.
    pub check_within: f64,
    /// Duration of quota grants.
    pub grant: f64,
}

impl Lengths {
    /// The durations of quota grants. The slack includes the linger, because a proxy may still admit txns for that long
    /// after its controller's grant has expired.
    ///
    /// # Errors
    /// The grant duration is too short to issue grants.
    pub fn of_grants(&self) -> Result<amberarch_shares::Lengths, amberarch_shares::Wrong> {
        amberarch_shares::Lengths::new(self.grant, self.drift, self.slack + self.linger)
    }
}

/// Callbacks of the daemon, called on the fleet thread. None of them may block.
pub trait Steward: Send + 'static {
    /// Checks whether this controller can use the revision; the error is the reason shown to operators. A revision that
    /// is no longer staged is already in force: reject it only if this controller can't use it at all.
    fn check(&mut self, revision: &Revision, staged: bool) -> Result<(), Arc<str>>;
    /// Applies `act` from now on. Orders decided under it are sent only under this fence number.
    fn act(&mut self, act: &Act, texts: &[Revision], under: Under);
    /// The quota plans of all revisions that may be in force after the last [`Steward::act`], the previous one first;
    /// `None` for a revision without quotas.
    fn plans(&mut self) -> Vec<Planned>;
    /// Names used in histories: the tenants of each of those plans, and the zones, both by index.
    fn names(&self) -> (Vec<Vec<String>>, Vec<String>);
    /// Sets the admitted share of a request class in a zone; `None` removes all limits.
    fn bound(&mut self, bound: Option<Bound>);
    /// Reports the outcome of a proposal made through this member.
    fn answer(&mut self, id: u64, revision: &Revision, outcome: &Result<StageNo, Refusal>);
}

/// Why the fleet connection could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("[fleet] listen: {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("[fleet] no thread: {0}")]
    Thread(std::io::Error),
    #[error("[fleet] folder: {0}")]
    Store(#[from] StoreFault),
    #[error("[fleet] history: {0}: {1}")]
    History(PathBuf, std::io::Error),
    #[error("[fleet] {0} votes and has no folder for what has to last")]
    NoFolder(Name),
    #[error("[fleet] no member is named {0}, as this steward is")]
    NotAMember(Name),
    #[error("[fleet] {0}")]
    Unfit(#[from] Unfit),
}

impl Fault {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Listen(..) => "free the address, or give `listen` another one and tell the other members",
            Fault::Thread(_) => "raise the limit on threads or memory, and start again",
            Fault::Store(fault) => fault.advice(),
            Fault::History(..) => "mend the path, or take `history` out: it is for tests and audits",
            Fault::NoFolder(_) => "name a `folder` on a disk that outlives the daemon, or let it not vote",
            Fault::Unfit(unfit) => unfit.advice(),
            Fault::NotAMember(_) => "add it to [[fleet.member]], or give `name` the member's name",
        }
    }
}

/// Requests of the daemon to the fleet thread.
enum Request {
    Propose(u64, Revision),
    Settled(StageNo, bool),
    Members(Vec<Member>),
    Measured(Sight),
    Level(Option<usize>),
    Show,
    Release(oneshot::Sender<()>),
    End,
}

/// The daemon's handle to the fleet thread. Clones refer to the same thread.
#[derive(Clone)]
pub struct Talk {
    pub at: SocketAddr,
    pub fence: Arc<Fence>,
    pub counts: Arc<Counts>,
    pub history: Option<Arc<History>>,
    requests: mpsc::UnboundedSender<Request>,
    proposals: Arc<AtomicU64>,
}

impl Talk {
    /// Proposes the revision; the outcome is passed to [`Steward::answer`] under the returned id.
    pub fn propose(&self, revision: Revision) -> u64 {
        let id = self.next_id();
        self.counts.proposals.inc();
        if let Some(history) = &self.history {
            history.proposed(id, revision.no, revision.digest);
        }
        let _ = self.requests.send(Request::Propose(id, revision));
        id
    }

    fn next_id(&self) -> u64 {
        self.proposals.fetch_add(1, Relaxed) + 1
    }

    /// Reports whether all proxies are within that stage: none can still use a policy outside it.
    pub fn settled(&self, stage: StageNo, settled: bool) {
        let _ = self.requests.send(Request::Settled(stage, settled));
    }

    /// Reports the recent demand and the capacity of the hosts.
    pub fn sees(&self, sight: Sight) {
        let _ = self.requests.send(Request::Measured(sight));
    }

    /// Sets the service level in force, by its index in the operator's file; `None`: full service.
    pub fn level(&self, level: Option<usize>) {
        let _ = self.requests.send(Request::Level(level));
    }

    /// Applies a changed member list of the operator's file.
    pub fn members(&self, members: Vec<Member>) {
        let _ = self.requests.send(Request::Members(members));
    }

    /// Releases the leases of this process before an orderly shutdown. Closes the fence for good on the calling thread
    /// (the one that writes orders) before the other members are notified. The receiver completes once no change waits
    /// for this incarnation any more. It never completes if no leader receives the release, so the caller needs a
    /// timeout.
    pub fn let_go(&self) -> oneshot::Receiver<()> {
        self.fence.shut();
        let (done, released) = oneshot::channel();
        let _ = self.requests.send(Request::Release(done));
        released
    }

    /// Stops the fleet thread. What this member acts on expires with its lease.
    pub fn end(&self) {
        let _ = self.requests.send(Request::End);
    }

    /// Writes the stage and the members that a change waits for to the log.
    pub fn show(&self) {
        let _ = self.requests.send(Request::Show);
    }
}

/// Returns a random number that is unique to this incarnation. The keys of the standard hasher are seeded from the
/// operating system's randomness.
fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Bound of the queue of received messages: about one message of each kind from each peer.
const INBOX_CAPACITY: usize = 1_024;

/// Binds the listening address and locks the folder, then runs the event loop on its own thread for the lifetime of
/// the process.
///
/// # Errors
/// The address, the folder or the thread is unavailable, or the settings are invalid. A corrupted folder is not an
/// error: the member then runs without voting.
pub fn start(post: Post, steward: impl Steward, log: Logger) -> Result<Talk, Fault> {
    let own = post.members.iter().find(|member| member.name == post.name);
    let votes = own.ok_or_else(|| Fault::NotAMember(post.name.clone()))?.votes;
    if votes && post.folder.is_none() {
        return Err(Fault::NoFolder(post.name.clone()));
    }
    let counts: Arc<Counts> = Arc::default();
    let store = match post.folder.as_ref().map(|folder| (folder, Store::open(folder, Disk(random_id())))) {
        Some((folder, Ok((store, found)))) => {
            info!(log, "opened the consensus store"; "folder" => %folder.display(), "found" => ?found, "bytes" => store.bytes());
            Some(store)
        }
        // Another running process may be this same member.
        Some((_, Err(fault @ StoreFault::InUse(_)))) => return Err(fault.into()),
        // Traffic is still directed. The promises (votes, log entries) of earlier incarnations are unknown, so this
        // incarnation does not vote.
        Some((_, Err(fault))) => {
            turn::votes_no_more(&fault, fault.advice(), &counts, &log);
            None
        }
        None => None,
    };
    let boot = Boot(random_id());
    let history = match &post.history {
        Some(path) => {
            let opened = History::open(path, &post.name, boot);
            Some(Arc::new(opened.map_err(|why| Fault::History(path.clone(), why))?))
        }
        None => None,
    };
    let listen = |why| Fault::Listen(post.listen, why);
    let listener = TcpListener::bind(post.listen).map_err(listen)?;
    listener.set_nonblocking(true).map_err(listen)?;
    let at = listener.local_addr().map_err(listen)?;
    let clock = Clock::new();
    let (requests, request_queue) = mpsc::unbounded_channel();
    let talk =
        Talk { at, fence: Arc::new(Fence::new(clock)), counts, history, requests, proposals: Arc::default() };
    let names: BTreeSet<Name> = post.members.iter().map(|member| member.name.clone()).collect();
    let admission = Admission::new(post.fleet.clone(), post.name.clone(), names, talk.counts.clone());
    let (counts, thread_log) = (talk.counts.clone(), log.clone());
    let admission = Arc::new(admission);
    let message_bytes = post.message_bytes;
    let event_loop =
        turn::EventLoop::new(post, boot, admission.clone(), store, steward, talk.clone(), log.clone())?;
    let run = move || {
        let log = thread_log;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let ended = match runtime {
            Ok(runtime) => runtime.block_on(async {
                let (inbox, received) = mpsc::channel(INBOX_CAPACITY);
                tokio::spawn(serve(listener, admission, inbox, message_bytes, counts, log.clone()));
                event_loop.run(received, request_queue).await;
                Ok(())
            }),
            Err(why) => Err(why),
        };
        // The daemon goes on: without this thread its lease expires, and governed request classes are rejected.
        match ended {
            Ok(()) => info!(log, "fleet thread ended"),
            Err(why) => error!(log, "fleet thread failed"; "why" => %why),
        }
    };
    std::thread::Builder::new().name("fleet".into()).spawn(run).map_err(Fault::Thread)?;
    Ok(talk)
}

async fn serve(
    listener: TcpListener,
    admission: Arc<Admission>,
    received: mpsc::Sender<(Name, Said)>,
    message_bytes: usize,
    counts: Arc<Counts>,
    log: Logger,
) {
    /// A peer that does not answer a keep-alive PING within this time is considered gone. Its next incarnation opens a
    /// new stream.
    const PING_EVERY: Duration = Duration::from_secs(10);
    const PING_ANSWER: Duration = Duration::from_secs(5);
    let served = async {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let incoming = tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = service::Service {
            admission,
            received,
            counts,
            log: log.clone(),
            last_logged: Default::default(),
        };
        let service = FleetServer::new(service).max_decoding_message_size(message_bytes);
        let server = Server::builder()
            .http2_keepalive_interval(Some(PING_EVERY))
            .http2_keepalive_timeout(Some(PING_ANSWER))
            .add_service(service)
            .serve_with_incoming(incoming);
        server.await.map_err(std::io::Error::other)
    };
    if let Err(why) = served.await {
        error!(log, "the fleet listener failed; messages of other members are no longer received"; "why" => %why);
    }
}
