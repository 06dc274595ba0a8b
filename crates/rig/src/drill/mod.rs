//! A drill runs one controller as a real process on loopback, beside stand-ins for discovery, the relay with its channel
//! to the proxies, the proxies, the hosts and a collector. A plan schedules relay failures, changes of the host list and
//! other faults. The stand-ins record what they observe as a history (`amberarch-histories`), which is checked afterwards.
//!
//! The channel and the proxies are those of `amberarch-emulator`; here they run in real time behind real sockets.

mod collector;
mod crowd;
mod discovery;
mod door;
mod drawn;
mod host_restarts;
mod http;
mod lag;
mod lifecycle;
mod proxies;
mod relay;
mod requests;
mod rolling;
mod settings;
mod soak;
mod trace;
mod traffic;
mod verdicts;

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{HostId, ProxyId};
use amberarch_histories::{HostState, Line, Violation, What};
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::address::Block;
use crate::hosts::Host;
use crate::member::{seen, Member};
use crate::pen::now_ns;
use crate::Fault;

pub use crowd::{Crowd, CrowdKind};
use discovery::Discovery;
use host_restarts::HostRestarts;
use lag::{Lag, LAG_MOST};
pub use lifecycle::{Action, Scheduled};
use lifecycle::{Environment, Operator};
use proxies::Proxies;
use relay::Relay;
use requests::Requests;
pub use requests::{Pick, RequestLoad, Served};
use settings::Addresses;
pub use settings::Settings;
use trace::Trace;
use traffic::{ReportSource, Traffic};
pub use verdicts::Verdicts;

/// Upper bound for a process start on a loaded machine.
const START_WITHIN: Duration = Duration::from_secs(30);
const COUNTERS_WITHIN: Duration = Duration::from_secs(5);

/// A change of the host list.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// Time since the start of the drill, ms.
    pub at: u64,
    /// Hosts by number, with their new state.
    pub hosts: Vec<(usize, HostState)>,
}

/// How a silent relay handles the calls that reach it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SilentCalls {
    CarriedOut,
    Lost,
    /// Calls are carried out and lost alternately, starting with one carried out.
    InTurn,
}

/// How a call to a relay that is not silent fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    /// The connection is reset before or after the call is carried out.
    Reset { carried_out: bool },
    /// The call is carried out and its response is cut off.
    HalfAnswered,
    /// The call is carried out and its response is invalid.
    Garbled,
    /// The call is carried out and its response is sent after the time limit.
    Late,
    /// The call is rejected as busy (HTTP 409) and not carried out.
    Busy,
}

/// A period in which every call fails in the given way.
#[derive(Clone, Copy, Debug)]
pub struct FailedCalls {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
    pub how: CallFault,
}

/// A period in which the controller process is stopped (SIGSTOP, then SIGCONT).
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
}

/// A period in which discovery holds back its responses; they are sent at its end.
#[derive(Clone, Copy, Debug)]
pub struct ListHeld {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
}

/// How the end of a relay's silence affects open connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SilenceEnds {
    /// They are reset, and data queued on them is lost.
    Reset,
    /// They stay open, and data queued on them is delivered.
    Resume,
}

/// A period in which the relay accepts connections but sends nothing on any of them.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
    pub calls: SilentCalls,
    pub ends: SilenceEnds,
}

/// A period in which connections to these hosts are reset, so the controller's probes of them fail.
#[derive(Clone, Debug)]
pub struct Unreachable {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
    pub hosts: Vec<usize>,
}

/// A restart of host processes: connections to them are reset in between.
#[derive(Clone, Debug)]
pub struct HostRestart {
    /// When the processes end, in ms since the start of the drill; `up` is when they start again.
    pub down: u64,
    pub up: u64,
    pub hosts: Vec<usize>,
}

/// A period in which the relay watch reports no acknowledged marks.
#[derive(Clone, Copy, Debug)]
pub struct LostMarks {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
}

/// A proxy that leaves the controller and joins it again.
#[derive(Clone, Copy, Debug)]
pub struct Move {
    pub proxy: u16,
    /// When it leaves, in ms since the start of the drill; `joins` is when it joins again.
    pub leaves: u64,
    pub joins: u64,
    /// The proxy restarts in between and loses the tables it held.
    pub fresh: bool,
}

/// Settings and scheduled faults of one drill.
#[derive(Clone, Debug)]
pub struct DrillPlan {
    pub settings: Settings,
    pub changes: Vec<ListChange>,
    pub silences: Vec<Silence>,
    pub unreachable: Vec<Unreachable>,
    pub host_restarts: Vec<HostRestart>,
    /// The requests, if they are drawn one by one; otherwise reports show means.
    pub requests: Option<RequestLoad>,
    pub lost_marks: Vec<LostMarks>,
    pub moves: Vec<Move>,
    pub failed_calls: Vec<FailedCalls>,
    pub stopped: Vec<Stopped>,
    pub list_held: Vec<ListHeld>,
    /// Operator actions on the process, carried out one after the other.
    pub actions: Vec<Scheduled>,
    pub crowds: Vec<Crowd>,
    /// Duration of the drill, ms.
    pub lasts: u64,
}

impl DrillPlan {
    /// A plan without faults.
    pub fn calm(settings: Settings, changes: Vec<ListChange>, lasts: u64) -> DrillPlan {
        DrillPlan {
            settings,
            changes,
            silences: vec![],
            unreachable: vec![],
            host_restarts: vec![],
            requests: None,
            lost_marks: vec![],
            moves: vec![],
            failed_calls: vec![],
            stopped: vec![],
            list_held: vec![],
            actions: vec![],
            crowds: vec![],
            lasts,
        }
    }
}

/// Result of a drill.
pub struct Drilled {
    pub history: Vec<Line>,
    pub verdicts: Verdicts,
    /// The process exited although the drill had not ended it.
    pub crashed: bool,
    /// The largest number of lines queued in the channel at once.
    pub most_waiting: f64,
    /// How many lines the channel may hold.
    pub backlog: f64,
    /// Descriptions of the channel limits that were exceeded.
    pub passed: Vec<String>,
    /// Number of orders that the relay accepted.
    pub orders: u64,
    /// The requests, if they were drawn one by one.
    pub served: Served,
    pub log: String,
    /// One description per call: its time, how the relay handled it, the lines queued then, and its orders by kind.
    pub calls: Vec<String>,
    /// The longest delay of the drill's own thread.
    pub lag: Duration,
    trace: Trace,
    /// Start of the relay's clock, on the clock of the history, ns.
    start_ns: u64,
}

impl Drilled {
    /// The drill's own thread was delayed for so long that its history proves nothing.
    pub fn is_void(&self) -> bool {
        self.lag > LAG_MOST
    }

    /// Describes what happened to the orders that would have completed a late drain in time. Empty if the violation names
    /// no proxy.
    pub fn account(&self, late: &Violation) -> Vec<String> {
        let [listed, joined] = &late.witness[..] else { return vec![] };
        let What::ListTold { host, .. } = &listed.what else { return vec![] };
        let proxy = joined.who.strip_prefix("proxy:").and_then(|number| number.parse().ok());
        let host = host.strip_prefix('h').and_then(|number| number.parse().ok());
        let (Some(proxy), Some(host)) = (proxy, host) else { return vec![] };
        let since_start = |at: u64| at.saturating_sub(self.start_ns) as f64 / 1e6;
        let (listed_at, joined_at, ended_at) =
            (since_start(listed.at), since_start(joined.at), since_start(late.at));
        let mut account = vec![format!(
            "listed at {listed_at:.0} ms, joined at {joined_at:.0} ms, could send until {ended_at:.0} ms"
        )];
        let steps = self.trace.about(ProxyId(proxy), HostId(host));
        account.extend(steps);
        account
    }
}

/// In-memory history to which all stand-ins write.
#[derive(Clone, Default)]
pub struct Recorder(Rc<RefCell<Vec<Line>>>);

impl Recorder {
    pub fn write(&self, who: &str, what: What) {
        self.0.borrow_mut().push(Line { at: now_ns(), who: who.into(), what });
    }
}

/// The controller's name in histories.
pub(crate) const CONTROLLER: &str = "controller:n0";

/// Runs a drill of the program at `binary`, with its files in `folder`, which must exist.
///
/// # Errors
/// Fails if the machine lacks what the drill needs, or the program does not start.
pub fn drill(binary: &Path, plan: &DrillPlan, folder: &Path) -> Result<Drilled, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| Fault::Io("a runtime", why))?;
    let block = Rc::new(Block::take()?);
    let tasks = tokio::task::LocalSet::new();
    let drilled = tasks.block_on(&runtime, play(binary, plan, folder, block.clone()));
    // Listeners close with their tasks; only then may another drill take the addresses.
    drop(tasks);
    drop(runtime);
    drop(block);
    drilled
}

async fn play(binary: &Path, plan: &DrillPlan, folder: &Path, block: Rc<Block>) -> Result<Drilled, Fault> {
    let recorder = Recorder::default();
    let settings = &plan.settings;
    let start_ns = now_ns();
    let (environment, reachable) = start_stand_ins(block, settings, &recorder).await?;
    let environment = Rc::new(environment);
    let Environment { relay, discovery, block, .. } = &*environment;
    let (activity, _) = watch::channel(0);
    let member = Rc::new(start(binary, &environment, folder, &activity).await?);
    collector::until_ready(block.listens(0)).await?;
    recorder.write(CONTROLLER, What::Ready);
    let operator = Operator::new(member.clone(), environment.clone());
    let start = Instant::now();
    let lag = Lag::start();
    relay.join_all(start);
    let requests =
        plan.requests.map(|load| Requests::new(settings, load, relay.proxies(), recorder.clone(), start));
    let traffic = match &requests {
        Some(requests) => {
            spawn_local(requests.clone().run());
            ReportSource::Requests(requests.clone())
        }
        None => ReportSource::Means(Box::new(Traffic::new(settings, &environment.hosts, relay.proxies()))),
    };
    let restarts = HostRestarts::new(&environment, reachable.clone(), requests.clone());
    spawn_local(restarts.run(start, plan.host_restarts.clone()));
    spawn_local(collector::report(block.listens(0), settings.clone(), traffic));
    spawn_local(relay.clone().fail(start, plan.silences.clone()));
    for span in &plan.unreachable {
        spawn_local(make_unreachable(start, reachable.clone(), span.clone()));
    }
    spawn_local(relay.clone().drop_acks(start, plan.lost_marks.clone()));
    for one in &plan.moves {
        spawn_local(relay.clone().move_proxy(start, *one));
    }
    for crowd in &plan.crowds {
        spawn_local(crowd::gather(block.listens(0), start, *crowd));
    }
    spawn_local(relay.clone().fail_calls(start, plan.failed_calls.clone()));
    spawn_local(discovery.clone().hold(start, plan.list_held.clone()));
    spawn_local(stop(start, member.clone(), plan.stopped.clone()));
    spawn_local(discovery.clone().change(start, plan.changes.clone()));
    let acted = spawn_local(operator.clone().run(start, plan.actions.clone()));
    sleep_until(start + Duration::from_millis(plan.lasts)).await;
    let _ = acted.await;
    if let Some(why) = operator.fault() {
        return Err(why);
    }
    let crashed = member.ended();
    if !crashed {
        last_counters(&member, &activity).await?;
    }
    let log = member.log_end(usize::MAX);
    member.close();
    let history = recorder.0.take();
    let verdicts = Verdicts::of(&history, settings);
    let (most_waiting, passed, orders) = relay.limits();
    let (calls, backlog) = (relay.calls(), settings.channel.max_backlog);
    let (lag, trace) = (lag.longest(), relay.take_trace());
    Ok(Drilled {
        history,
        verdicts,
        crashed,
        most_waiting,
        backlog,
        passed,
        orders,
        served: requests.map_or(Served::default(), |requests| requests.served()),
        log,
        calls,
        lag,
        trace,
        start_ns,
    })
}

/// Makes the controller write its counters as the last line of its log.
async fn last_counters(member: &Member, activity: &watch::Sender<u64>) -> Result<(), Fault> {
    let last = || member.last_log_line("counters: ").map(|line| line.0);
    let before = last();
    member.signal(Signal::USR1);
    seen(activity, COUNTERS_WITHIN, "the controller's counters", || last() > before).await
}

/// Starts all stand-ins around the controller process.
async fn start_stand_ins(
    block: Rc<Block>,
    settings: &Settings,
    recorder: &Recorder,
) -> Result<(Environment, Rc<Reachable>), Fault> {
    let Hosts { all: hosts, reachable } = start_hosts(&block, settings).await?;
    let proxies = Proxies::new(settings, &hosts, recorder.clone());
    let discovery = Discovery::start(&block, &hosts, recorder.clone()).await?;
    let relay = Relay::start(&block, settings, &hosts, proxies, recorder.clone()).await?;
    let (settings, recorder) = (settings.clone(), recorder.clone());
    Ok((Environment { block, settings, hosts, discovery, relay, recorder }, Rc::new(reachable)))
}

/// Reachability switch of each host, by its number.
type Reachable = Vec<watch::Sender<bool>>;

/// The host stand-ins and their reachability switches.
struct Hosts {
    all: Vec<Rc<Host>>,
    reachable: Reachable,
}

async fn start_hosts(block: &Block, settings: &Settings) -> Result<Hosts, Fault> {
    let (mut all, mut reachable) = (Vec::new(), Vec::new());
    for number in 0..settings.hosts {
        let zone = &settings.zones[number % settings.zones.len()];
        let up = watch::Sender::new(true);
        all.push(Host::start(block, number, zone, up.subscribe()).await?);
        reachable.push(up);
    }
    Ok(Hosts { all, reachable })
}

/// Stops and continues the controller process during the planned periods.
async fn stop(start: Instant, member: Rc<Member>, spans: Vec<Stopped>) {
    for Stopped { from, until } in spans {
        for (at, signal) in [(from, Signal::STOP), (until, Signal::CONT)] {
            sleep_until(start + Duration::from_millis(at)).await;
            member.signal(signal);
        }
    }
}

/// Makes hosts unreachable and reachable again as planned.
async fn make_unreachable(start: Instant, reachable: Rc<Reachable>, plan: Unreachable) {
    for (at, up) in [(plan.from, false), (plan.until, true)] {
        sleep_until(start + Duration::from_millis(at)).await;
        for host in &plan.hosts {
            reachable[*host].send_replace(up);
        }
    }
}

async fn start(
    binary: &Path,
    environment: &Environment,
    folder: &Path,
    activity: &watch::Sender<u64>,
) -> Result<Member, Fault> {
    let member = Member::new(folder.join("n0"), "n0", binary, activity.clone())?;
    let configuration =
        environment.settings.configuration(&environment.block, Addresses::First, &environment.hosts);
    member.write("config.json", &configuration.to_string())?;
    member.write("operator.toml", "")?;
    environment.recorder.write(CONTROLLER, What::Started);
    environment.discovery.record_initial_list();
    member.start()?;
    seen(activity, START_WITHIN, "the controller's start", || member.started()).await?;
    Ok(member)
}
