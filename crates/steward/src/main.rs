//! Entry point of the daemon: starts its tasks, handles signals and shuts it down.

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use amberarch_intake_grpc::Witness;
use amberarch_steward::clock::UnixClock;
use amberarch_steward::command::{self, Command, Line, Read, Run};
use amberarch_steward::config::{self, Addresses, Config};
use amberarch_steward::counters::{Counters, Seldom};
use amberarch_steward::desk::Desk;
use amberarch_steward::guard::Keeper;
use amberarch_steward::heard::{Out, Ties};
use amberarch_steward::http::{Kept, Tcp};
use amberarch_steward::list::Discovery;
use amberarch_steward::listen::{self, ConnectionContext};
use amberarch_steward::news::Follow;
use amberarch_steward::probe::Prober;
use amberarch_steward::relay::{Gated, Relay};
use amberarch_steward::spread::Spread;
use amberarch_steward::{fleet, intake, levels, state};
use clap::Parser;
use slog::{error, info, o, warn, Drain, Logger};
use slog_async::OverflowStrategy;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// Capacity of the channels between tasks; a sender that finds one full waits.
const ROOM: usize = 1_024;
/// Capacity of the channel for probes. One decision may order a probe of every host at once, without waiting in between;
/// this is four times the hosts of the largest fleet that was measured.
const PROBES: usize = 12_288;

fn main() -> ExitCode {
    let run = match Line::parse().command() {
        Command::Run(run) => run,
        Command::Check { file, json } => return command::check(&file, json),
        Command::Levels { question, asked } => return command::levels(question, &asked),
        Command::State { act, folder, json } => return command::state(act, &folder, json),
    };
    // If the log is not read, lines are dropped; logging never blocks the program.
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain.fuse())
        .chan_size(ROOM)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(drain.fuse(), o!());
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(why) => return refuse(&format!("could not start the runtime: {why}")),
    };
    let signals = match runtime.block_on(async { Signals::install() }) {
        Ok(signals) => signals,
        Err(why) => return refuse(&format!("could not install signal handlers: {why}")),
    };
    let (config, read) = match config::read().and_then(|config| Ok((config, run.operator()?))) {
        Ok(both) => both,
        Err(why) => return refuse(&why),
    };
    let ended = LocalSet::new().block_on(&runtime, serve(config, (run, read), signals, log.clone()));
    if let Err(why) = &ended {
        error!(log, "ends"; "why" => why);
    }
    // Gives the log's thread a limited time to write its last lines.
    let (done, written) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(log);
        drop(guard);
        let _ = done.send(());
    });
    let _ = written.recv_timeout(Duration::from_millis(100));
    std::process::exit(if ended.is_ok() { 0 } else { 2 })
}

/// Prints why the program does not start. The exit code does not depend on whether the line could be written.
fn refuse(why: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "amberarch: {why}");
    ExitCode::from(2)
}

/// The signals that the program handles. Handlers are installed before the configuration is read, as each unhandled signal
/// would end the process.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
    usr1: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
            usr1: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Binds the listener. After a restart the former process may still hold the address for a while, so binding is retried.
async fn listen_at(address: SocketAddr, log: &Logger) -> Result<TcpListener, String> {
    /// By the service page nine in ten restarted processes are ready within 10 s; the former process is killed long before.
    const AT_MOST: Duration = Duration::from_secs(20);
    const PAUSE: Duration = Duration::from_millis(50);
    let begun = Instant::now();
    let mut told = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(why) if why.kind() == ErrorKind::AddrInUse && begun.elapsed() < AT_MOST => {
                if !std::mem::replace(&mut told, true) {
                    warn!(log, "the address is held by another process; it is tried again"; "address" => %address);
                }
                sleep(PAUSE).await;
            }
            Err(why) => {
                return Err(format!("{address}: {why}; listen at an address of this machine that is free"))
            }
        }
    }
}

/// Runs the daemon until a signal ends it.
async fn serve(
    config: Config,
    (run, read): (Run, Read),
    signals: Signals,
    log: Logger,
) -> Result<(), String> {
    let clock = UnixClock::read();
    let mut make = config.make();
    let facts = config.level_facts()?;
    let ladder = read.ladder(&facts.products)?;
    let governs = read.governs(&config.labels.zones, &config.labels.products, &config.name)?;
    let drain_grace = config.drain_grace()?;
    let guard_facts = config.guard_facts()?;
    let (operator, own_name) = (read.operator, config.name.clone());
    let Config { name, listen, discovery, relay, sockets, mut known, labels, .. } = config;
    let Config { connect_within, ask_within, load_reports, seed, .. } = config;
    let log = log.new(o!("steward" => name));
    let panics = log.clone();
    std::panic::set_hook(Box::new(move |panic| error!(panics, "panicked"; "what" => %panic)));
    let Signals { mut term, mut int, mut hup, mut usr1 } = signals;
    let listener = tokio::select! {
        biased;
        _ = term.recv() => return Ok(()),
        _ = int.recv() => return Ok(()),
        listener = listen_at(listen, &log) => listener?,
    };

    let counters = Rc::new(Counters::default());
    let mut fleet = None;
    if let (Some(section), Some(governed)) = (&operator.fleet, governs) {
        let caps = fleet::ShareLimits::default();
        make = fleet::limited_by_policy(make, caps.clone());
        let names = operator.levels.iter().flat_map(|levels| &levels.level);
        let names = names.map(|level| level.get_ref().name.clone()).collect();
        let context = fleet::CompileContext::of(section, governed, labels.proxies, names);
        let own = fleet::Identity { name: own_name, context, drain_grace, seed, clock };
        fleet = Some(fleet::start(section, own, caps, counters.clone(), &log)?);
    }
    let mut shown = None;
    if let Some((ladder, section)) = ladder.zip(operator.levels.clone()) {
        if section.act && !facts.taken {
            warn!(log, "proxies take no levels here: they are looked at and told, and nothing is bounded");
        }
        let before = levels::with_ladder(make, ladder, section.act, &facts);
        make = before.0;
        fleet = fleet.map(|fleet| fleet::Started {
            policy_lease: fleet.policy_lease.follows(before.1.clone()),
            ..fleet
        });
        shown = Some((before.1, section.socket));
    }

    // A controller that has not asked for `ask_within` counts as informed; half of it leaves time to ask again.
    let wait = ask_within / 2;
    let zones = labels.zones.clone().into();
    let path = if load_reports { "/load" } else { "/healthz" };
    let seq = known.seq;
    let (desk, heard) = mpsc::channel(ROOM);
    let (to_relay, replies) = mpsc::channel(ROOM);
    let (to_list, asks) = mpsc::channel(ROOM);
    let (to_probes, probes) = mpsc::channel(PROBES);
    let (to_ready, can_serve) = watch::channel(false);
    let witness = operator.intake.as_ref().map(|_| Witness::default());
    let out = Out { relay: to_relay, list: to_list, probes: to_probes, witness: witness.clone() };
    let host_state = match &operator.state {
        Some(section) => {
            let host_state =
                state::open(&section.folder, section.every.get_ref().0, &known, clock.now_ms(), &log)?;
            known.hosts.clear();
            Some(host_state)
        }
        None => None,
    };
    let state = host_state.as_ref().map(|host_state| host_state.writer.clone());
    let mut event_loop = Desk::new((make, seed), labels, known, clock, out, counters.clone(), log.clone())
        .marks_drawn_from(seed);
    if let Some(host_state) = host_state {
        event_loop = event_loop.keeping(host_state);
    }

    let keeper = operator.guard.as_ref().and_then(|section| Keeper::new(section, guard_facts, &log));
    let guard_shown = keeper.as_ref().map(Keeper::shown);
    if let Some(keeper) = keeper {
        event_loop = event_loop.guarded(keeper);
    }
    let ties = Ties { desk, counters: counters.clone(), signs: Rc::default(), log: log.clone() };
    let (mut handle, mut gate) = (None, Rc::default());
    if let Some(fleet) = fleet {
        event_loop = event_loop.governed(fleet.policy_lease);
        spawn_local(fleet.handle.clone().run(fleet.told, ties.clone()));
        fleet.handle.propose();
        (handle, gate) = (Some(fleet.handle), Rc::new(fleet.gate));
    }
    let loads = match operator.intake.zip(witness) {
        Some((section, witness)) => {
            Some(intake::start(&section, event_loop.start(), clock.now_ms(), witness, ties.clone())?)
        }
        None => None,
    };
    if let Some((levels, Some(socket))) = shown {
        let listener =
            levels::listen(&socket).map_err(|why| format!("[levels] socket: {}: {why}", socket.display()))?;
        spawn_local(levels::serve(listener, levels, Rc::new(facts), event_loop.start(), log.clone()));
    }
    let (to_discovery, at_discovery) = watch::channel(discovery);
    let (to_the_relay, at_the_relay) = watch::channel(relay);
    let line = |peer| Kept::new(Tcp, peer, connect_within);
    let gated = Gated { dial: Tcp, gate: gate.clone() };
    let gated = Kept::new(gated, at_the_relay.clone(), connect_within);
    let calls = Relay { line: gated, gate, spread: Spread::new(seed), ties: ties.clone() };
    let news = Follow {
        dial: Tcp,
        peer: at_the_relay,
        connect_within,
        ready: to_ready,
        skipped: Seldom::default(),
        spread: Spread::new(seed.wrapping_add(1)),
        ties: ties.clone(),
    };
    let list = Discovery {
        line: line(at_discovery),
        wait,
        spread: Spread::new(seed.wrapping_add(2)),
        ties: ties.clone(),
    };
    // A quarter of the descriptors is for probes, half for incoming connections.
    let prober = Prober { path, connect_within, most: sockets / 4, ties: ties.clone() };
    let context =
        ConnectionContext { ready: can_serve, zones, skipped: Rc::default(), closed: Rc::default(), ties };

    info!(log, "started"; "listen" => %listen, "relay" => %relay, "discovery" => %discovery);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn_local(event_loop.run(heard));
    tasks.spawn_local(calls.run(replies));
    tasks.spawn_local(news.run());
    tasks.spawn_local(list.run(asks, seq));
    tasks.spawn_local(prober.run(Rc::new(Tcp), probes));
    tasks.spawn_local(listen::run(listener, sockets / 2, context));
    let (shown, loads_shown, shown_handle) = (counters.clone(), loads.clone(), handle.clone());
    let usr1_log = log.clone();
    spawn_local(async move {
        while usr1.recv().await.is_some() {
            info!(usr1_log, "counters: {}", shown);
            if let Some(loads) = &loads_shown {
                info!(usr1_log, "intake: {}", loads);
            }
            guard_shown.iter().for_each(|shown| info!(usr1_log, "guard: {}", shown));
            shown_handle.iter().for_each(|handle| handle.show());
        }
    });
    let leaving = handle.clone();
    let (reloads, hup_log) = (counters.clone(), log.clone());
    spawn_local(async move {
        while hup.recv().await.is_some() {
            if let Some(handle) = &handle {
                match run.operator() {
                    Ok(read) => handle.reread(read.operator.fleet.as_ref()),
                    Err(why) => error!(hup_log, "the new operator's file can't be used"; "why" => why),
                }
                handle.propose();
            }
            match config::reread() {
                Ok(Addresses { discovery, relay }) => {
                    reloads.reloads.one();
                    info!(hup_log, "a new configuration"; "discovery" => %discovery, "relay" => %relay);
                    to_discovery.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
                    to_the_relay.send_if_modified(|at| std::mem::replace(at, relay) != relay);
                }
                Err(why) => {
                    reloads.reloads_failed.one();
                    error!(hup_log, "the new configuration can't be used, the old stays"; "why" => why);
                }
            }
        }
    });
    let ended = tokio::select! {
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
        ended = tasks.join_next() => Err(format!("a task ended unexpectedly: {ended:?}")),
    };
    if let (Some(handle), Ok(())) = (&leaving, &ended) {
        // The tasks that decide, write and listen are stopped first: their work no longer matters, and proxies look for
        // another controller from here on. A further signal ends the process at once.
        tasks.abort_all();
        tokio::select! {
            () = handle.let_go() => {}
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
    info!(log, "counters: {}", counters);
    if let Some(loads) = &loads {
        info!(log, "intake: {}", loads);
    }
    if let Some(state) = state {
        state.end();
    }
    ended
}
