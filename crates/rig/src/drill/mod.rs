//! A drill: one controller as a real process on loopback, beside stand-ins for discovery, its relay with the channel to
//! the proxies, the proxies, the hosts and a collector, while the relay fails by a plan and the list changes by another.
//! What the stand-ins saw is written down as a history (`amberarch-histories`) and judged afterwards.
//!
//! The channel and the proxies are those of `amberarch-emulator`; here they run in real time behind real sockets.

mod collector;
mod crowd;
mod discovery;
mod door;
mod drawn;
mod http;
mod lag;
mod lifecycle;
mod proxies;
mod relay;
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
use lag::{Lag, LAG_MOST};
pub use lifecycle::{Action, Scheduled};
use lifecycle::{Operator, Scene};
use proxies::Proxies;
use relay::Relay;
use settings::Addresses;
pub use settings::Settings;
use trace::Trace;
use traffic::Traffic;
pub use verdicts::Verdicts;

/// A machine with other work to do may take so long to start a process.
const START_WITHIN: Duration = Duration::from_secs(30);
const COUNTERS_WITHIN: Duration = Duration::from_secs(5);

/// A change of the list of hosts.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// From the start of the drill, ms.
    pub at: u64,
    /// Hosts by number, with their new state.
    pub hosts: Vec<(usize, HostState)>,
}

/// What becomes of the calls that reach a silent relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SilentCalls {
    CarriedOut,
    Lost,
    /// One carried out and one lost in turn, the first carried out.
    InTurn,
}

/// What becomes of a call that reaches a relay which is not silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    /// The connection is reset before the call is carried out, or after.
    Reset { carried_out: bool },
    /// It is carried out, and its answer breaks off.
    HalfAnswered,
    /// It is carried out, and its answer can't be read.
    Garbled,
    /// It is carried out, and its answer comes too late.
    Late,
    /// It is turned back.
    Busy,
}

/// For that time each call fails so.
#[derive(Clone, Copy, Debug)]
pub struct FailedCalls {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
    pub how: CallFault,
}

/// For that time the controller's process is stopped (SIGSTOP, then SIGCONT).
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
}

/// For that time discovery answers nothing; what it has to say is written at the end.
#[derive(Clone, Copy, Debug)]
pub struct ListHeld {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
}

/// How a relay's silence ends for the connections that stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SilenceEnds {
    /// They are reset, and what waited on them is lost.
    Reset,
    /// They go on, and what waited on them comes.
    Resume,
}

/// For that time connections to the relay come up, and nothing is said on any of them.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
    pub calls: SilentCalls,
    pub ends: SilenceEnds,
}

/// For that time connections to these hosts are reset, so the controller's probes of them fail.
#[derive(Clone, Debug)]
pub struct Unreachable {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
    pub hosts: Vec<usize>,
}

/// For that time the watch tells of no mark.
#[derive(Clone, Copy, Debug)]
pub struct LostMarks {
    /// From the start of the drill, ms.
    pub from: u64,
    pub until: u64,
}

/// A proxy leaves the controller and joins it again.
#[derive(Clone, Copy, Debug)]
pub struct Move {
    pub proxy: u16,
    /// From the start of the drill, ms.
    pub leaves: u64,
    pub joins: u64,
    /// It starts anew in between.
    pub fresh: bool,
}

/// What a drill plays.
#[derive(Clone, Debug)]
pub struct DrillPlan {
    pub settings: Settings,
    pub changes: Vec<ListChange>,
    pub silences: Vec<Silence>,
    pub unreachable: Vec<Unreachable>,
    pub lost_marks: Vec<LostMarks>,
    pub moves: Vec<Move>,
    pub failed_calls: Vec<FailedCalls>,
    pub stopped: Vec<Stopped>,
    pub list_held: Vec<ListHeld>,
    /// What operators do to the process, one after the other.
    pub actions: Vec<Scheduled>,
    pub crowds: Vec<Crowd>,
    /// How long it lasts, ms.
    pub lasts: u64,
}

impl DrillPlan {
    /// Without any fault.
    pub fn calm(settings: Settings, changes: Vec<ListChange>, lasts: u64) -> DrillPlan {
        DrillPlan {
            settings,
            changes,
            silences: vec![],
            unreachable: vec![],
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

/// What a drill left.
pub struct Drilled {
    pub history: Vec<Line>,
    pub verdicts: Verdicts,
    /// The process ended and nobody had ended it.
    pub crashed: bool,
    /// The most lines that waited in the channel at once, and how many it may hold.
    pub most_waiting: f64,
    pub backlog: f64,
    /// Limits of the channel that were passed, in words.
    pub passed: Vec<String>,
    /// How many orders the relay took.
    pub orders: u64,
    pub log: String,
    /// Each call of orders: when it came, what the relay did with it, how many lines waited, and its orders by kind.
    pub calls: Vec<String>,
    /// The longest time that the drill itself stood still.
    pub lag: Duration,
    trace: Trace,
    /// When the relay's clock began, by the clock of the history, ns.
    start_ns: u64,
}

impl Drilled {
    /// The drill stood still for so long that it proves nothing, whatever its history says.
    pub fn is_void(&self) -> bool {
        self.lag > LAG_MOST
    }

    /// What became of the orders that would have kept a late drain, in words; nothing where the violation names no proxy.
    pub fn account(&self, late: &Violation) -> Vec<String> {
        let [told, joined] = &late.witness[..] else { return vec![] };
        let What::ListTold { host, .. } = &told.what else { return vec![] };
        let proxy = joined.who.strip_prefix("proxy:").and_then(|number| number.parse().ok());
        let host = host.strip_prefix('h').and_then(|number| number.parse().ok());
        let (Some(proxy), Some(host)) = (proxy, host) else { return vec![] };
        let since_start = |at: u64| at.saturating_sub(self.start_ns) as f64 / 1e6;
        let (told_at, joined_at, ended_at) =
            (since_start(told.at), since_start(joined.at), since_start(late.at));
        let mut account = vec![format!(
            "told at {told_at:.0} ms, joined at {joined_at:.0} ms, could send until {ended_at:.0} ms"
        )];
        let steps = self.trace.about(ProxyId(proxy), HostId(host));
        account.extend(steps);
        account
    }
}

/// Where the stand-ins write what they see.
#[derive(Clone, Default)]
pub struct Recorder(Rc<RefCell<Vec<Line>>>);

impl Recorder {
    pub fn write(&self, who: &str, what: What) {
        self.0.borrow_mut().push(Line { at: now_ns(), who: who.into(), what });
    }
}

/// The controller's name in histories.
pub(crate) const CONTROLLER: &str = "controller:n0";

/// Plays a drill with that program in a folder that is there.
///
/// # Errors
/// The machine does not give what the drill needs, or the program does not start.
pub fn drill(binary: &Path, plan: &DrillPlan, folder: &Path) -> Result<Drilled, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| Fault::Io("a runtime", why))?;
    let block = Rc::new(Block::take()?);
    let tasks = tokio::task::LocalSet::new();
    let drilled = tasks.block_on(&runtime, play(binary, plan, folder, block.clone()));
    // Listeners end with their tasks. Another drill may have the addresses only after that.
    drop(tasks);
    drop(runtime);
    drop(block);
    drilled
}

async fn play(binary: &Path, plan: &DrillPlan, folder: &Path, block: Rc<Block>) -> Result<Drilled, Fault> {
    let recorder = Recorder::default();
    let settings = &plan.settings;
    let start_ns = now_ns();
    let (scene, reachable) = stand(block, settings, &recorder).await?;
    let scene = Rc::new(scene);
    let Scene { relay, discovery, block, .. } = &*scene;
    let (news, _) = watch::channel(0);
    let member = Rc::new(start(binary, &scene, folder, &news).await?);
    collector::until_ready(block.listens(0)).await?;
    recorder.write(CONTROLLER, What::Ready);
    let operator = Operator::new(member.clone(), scene.clone());
    let start = Instant::now();
    let lag = Lag::measured();
    relay.join_all(start);
    let traffic = Traffic::new(settings, &scene.hosts, relay.proxies());
    spawn_local(collector::report(block.listens(0), settings.clone(), traffic));
    spawn_local(relay.clone().fail(start, plan.silences.clone()));
    for span in &plan.unreachable {
        spawn_local(out_of_reach(start, reachable.clone(), span.clone()));
    }
    spawn_local(relay.clone().lose_marks(start, plan.lost_marks.clone()));
    for one in &plan.moves {
        spawn_local(relay.clone().moves(start, *one));
    }
    for crowd in &plan.crowds {
        spawn_local(crowd::gather(block.listens(0), start, *crowd));
    }
    spawn_local(relay.clone().fail_calls(start, plan.failed_calls.clone()));
    spawn_local(discovery.clone().hold(start, plan.list_held.clone()));
    spawn_local(stop(start, member.clone(), plan.stopped.clone()));
    spawn_local(discovery.clone().change(start, plan.changes.clone()));
    let acted = spawn_local(operator.clone().work(start, plan.actions.clone()));
    sleep_until(start + Duration::from_millis(plan.lasts)).await;
    let _ = acted.await;
    if let Some(why) = operator.fault() {
        return Err(why);
    }
    let crashed = member.ended();
    if !crashed {
        last_counters(&member, &news).await?;
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
        log,
        calls,
        lag,
        trace,
        start_ns,
    })
}

/// Has the controller write its counters as the last line of its log.
async fn last_counters(member: &Member, news: &watch::Sender<u64>) -> Result<(), Fault> {
    let last = || member.said("counters: ").map(|line| line.0);
    let before = last();
    member.signal(Signal::USR1);
    seen(news, COUNTERS_WITHIN, "the controller's counters", || last() > before).await
}

/// All that stands round the process.
async fn stand(
    block: Rc<Block>,
    settings: &Settings,
    recorder: &Recorder,
) -> Result<(Scene, Rc<Reachable>), Fault> {
    let Hosts { all: hosts, reachable } = stand_hosts(&block, settings).await?;
    let proxies = Proxies::new(settings, &hosts, recorder.clone());
    let discovery = Discovery::stand(&block, &hosts, recorder.clone()).await?;
    let relay = Relay::stand(&block, settings, &hosts, proxies, recorder.clone()).await?;
    let (settings, recorder) = (settings.clone(), recorder.clone());
    Ok((Scene { block, settings, hosts, discovery, relay, recorder }, Rc::new(reachable)))
}

/// Says of each host whether it can be reached.
type Reachable = Vec<watch::Sender<bool>>;

/// The hosts, and what says of each whether it can be reached.
struct Hosts {
    all: Vec<Rc<Host>>,
    reachable: Reachable,
}

async fn stand_hosts(block: &Block, settings: &Settings) -> Result<Hosts, Fault> {
    let (mut all, mut reachable) = (Vec::new(), Vec::new());
    for number in 0..settings.hosts {
        let zone = &settings.zones[number % settings.zones.len()];
        let up = watch::Sender::new(true);
        all.push(Host::stand(block, number, zone, up.subscribe()).await?);
        reachable.push(up);
    }
    Ok(Hosts { all, reachable })
}

/// Stops the controller's process by that plan.
async fn stop(start: Instant, member: Rc<Member>, spans: Vec<Stopped>) {
    for Stopped { from, until } in spans {
        for (at, signal) in [(from, Signal::STOP), (until, Signal::CONT)] {
            sleep_until(start + Duration::from_millis(at)).await;
            member.signal(signal);
        }
    }
}

/// Takes hosts out of reach and back by that plan.
async fn out_of_reach(start: Instant, reachable: Rc<Reachable>, plan: Unreachable) {
    for (at, up) in [(plan.from, false), (plan.until, true)] {
        sleep_until(start + Duration::from_millis(at)).await;
        for host in &plan.hosts {
            reachable[*host].send_replace(up);
        }
    }
}

async fn start(
    binary: &Path,
    scene: &Scene,
    folder: &Path,
    news: &watch::Sender<u64>,
) -> Result<Member, Fault> {
    let member = Member::new(folder.join("n0"), "n0", binary, news.clone())?;
    let configuration = scene.settings.configuration(&scene.block, Addresses::First, &scene.hosts);
    member.write("config.json", &configuration.to_string())?;
    member.write("operator.toml", "")?;
    scene.recorder.write(CONTROLLER, What::Started);
    scene.discovery.known_lists_all();
    member.start()?;
    seen(news, START_WITHIN, "the controller's start", || member.started()).await?;
    Ok(member)
}
