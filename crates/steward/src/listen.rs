//! The daemon's listener: each connection has a task that reads lines and answers `PING`. A connection is identified (it
//! has joined) once it has named a known zone; until then its time is limited and any invalid message closes it.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, WriteHalf};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

use crate::counters::{Count, Seldom};
use crate::heard::{Heard, Ties};
use crate::lines::{self, Ended, LineError, Lines, Message};

/// By the service page an unidentified connection may be closed 1 s after connecting and must be closed after 3 s; by the
/// protocol page times are 300 ms longer on sockets.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The longest message of an unidentified connection. The limit keeps the memory of hundreds of incomplete messages small.
const MAX_JOIN_BYTES: u64 = 4_096;
/// A report that has begun must end within this time: half of the 6 s after which, by the service page, an endless message
/// must be cut off.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most connections per zone. By the protocol page each zone has one collector; a second connection may stay open for
/// a while when a silent collector reconnects.
const MAX_PER_ZONE: usize = 2;
/// How long writing an answer may take: by the protocol page times are 300 ms longer on sockets.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// What each connection's task needs of the daemon.
#[derive(Clone)]
pub struct ConnectionContext {
    pub ties: Ties,
    pub ready: watch::Receiver<bool>,
    pub zones: Rc<[String]>,
    pub skipped: Rc<Seldom>,
    pub closed: Rc<Seldom>,
}

/// The progress of a connection. The order is that in which connections are closed when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Silent,
    /// It is waiting for the answer to its `PING`.
    Pinged,
    /// It sends the reports of the zone with this index.
    Joined(usize),
}

/// The state of a connection that is visible outside its task.
pub struct ConnectionState {
    stage: Cell<Stage>,
    last_received: Cell<Instant>,
}

impl ConnectionState {
    pub fn new(stage: Stage) -> Rc<ConnectionState> {
        Rc::new(ConnectionState { stage: Cell::new(stage), last_received: Cell::new(Instant::now()) })
    }
}

/// The open connections.
#[derive(Default)]
pub struct Connections(Vec<(Rc<ConnectionState>, AbortHandle)>);

impl Connections {
    pub fn take(&mut self, state: Rc<ConnectionState>, task: AbortHandle) {
        self.0.push((state, task));
    }

    /// Closes one connection if needed: of the unidentified ones, the one with the least progress that has been silent
    /// longest; of more than two connections of one zone, the one that has been silent longest. False if there is still no
    /// room: collectors are not closed for the sake of unidentified connections.
    pub fn make_room(&mut self, most: usize, shed: &Count) -> bool {
        self.0.retain(|(_, task)| !task.is_finished());
        let same_stage = |state: &ConnectionState| {
            self.0.iter().filter(|(other, _)| other.stage.get() == state.stage.get()).count()
        };
        let full = self.0.len() >= most;
        let may_go = |state: &ConnectionState| match state.stage.get() {
            Stage::Joined(_) => same_stage(state) > MAX_PER_ZONE,
            _ => full,
        };
        let connections = self.0.iter().enumerate().filter(|(_, (state, _))| may_go(state));
        let first = connections.min_by_key(|(_, (state, _))| (state.stage.get(), state.last_received.get()));
        let first = first.map(|(place, _)| place);
        if let Some(place) = first {
            self.0.swap_remove(place).1.abort();
            shed.one();
        }
        first.is_some() || !full
    }
}

/// Accepts connections, at most `most` at a time; never returns.
pub async fn run(listener: TcpListener, most: usize, context: ConnectionContext) {
    let mut connections = Connections::default();
    let seldom = Seldom::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                context.ties.counters.accepts_failed.one();
                if let Some(hidden) = seldom.pass() {
                    warn!(context.ties.log, "could not accept a connection"; "why" => %error, "hidden" => hidden);
                }
                // These errors concern one connection or a signal, not the next accept.
                let passing = matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted);
                if !passing {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                continue;
            }
        };
        context.ties.counters.connections.one();
        if !connections.make_room(most, &context.ties.counters.connections_shed) {
            context.ties.counters.connections_shed.one();
            continue;
        }
        let state = ConnectionState::new(Stage::Silent);
        let task = tokio::task::spawn_local(connection(stream, state.clone(), context.clone()));
        connections.take(state, task.abort_handle());
        // The new task runs before the next connection is accepted. Otherwise a collector whose first line has already
        // arrived could be closed as unidentified in favour of later connections.
        tokio::task::yield_now().await;
    }
}

/// Serves one connection until it ends.
pub async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    state: Rc<ConnectionState>,
    mut context: ConnectionContext,
) {
    let (reading, mut writing) = tokio::io::split(stream);
    let mut lines = Lines::new(reading);
    let ended = match join(&mut lines, &mut writing, &state, &mut context).await {
        Ok(zone) => {
            context.ties.counters.connections_joined.one();
            debug!(context.ties.log, "a collector"; "zone" => &context.zones[zone]);
            state.stage.set(Stage::Joined(zone));
            read_reports(&mut lines, &mut writing, &state, &mut context).await
        }
        Err(ended) => {
            context.ties.counters.connections_refused.one();
            ended
        }
    };
    if !matches!(ended, Ended::Closed | Ended::Broken(_)) {
        if let Some(hidden) = context.closed.pass() {
            warn!(context.ties.log, "closed a connection"; "why" => %ended, "hidden" => hidden);
        }
        // Only unidentified connections get a negative answer; collectors are never written to.
        if state.stage.get() < Stage::Joined(0) {
            let _ = timeout(WRITE_TIMEOUT, writing.write_all(b"NACK\r\n")).await;
        } else {
            context.ties.counters.collectors_closed.one();
        }
    }
}

/// Reads until the connection has joined and returns the index of its zone. An invalid message or the time-out ends it.
/// The time-out counts from connecting, or from the answer to a `PING` that the daemon itself delayed.
async fn join<S: AsyncRead + AsyncWrite + Unpin>(
    lines: &mut Lines<impl AsyncRead + Unpin>,
    writing: &mut WriteHalf<S>,
    state: &ConnectionState,
    context: &mut ConnectionContext,
) -> Result<usize, Ended> {
    let mut until = Instant::now() + JOIN_TIMEOUT;
    loop {
        let next = timeout_at(until, lines.next(MAX_JOIN_BYTES, JOIN_TIMEOUT));
        let message = lines::read(next.await.map_err(|_| Ended::NotJoined)??);
        match message.map_err(|bad| Ended::Refused(bad.to_string()))? {
            Message::Ping => {
                state.stage.set(Stage::Pinged);
                let waits = !*context.ready.borrow();
                answer_ping(writing, context).await?;
                if waits {
                    until = Instant::now() + JOIN_TIMEOUT;
                }
                state.stage.set(Stage::Silent);
            }
            Message::Source { zone } => {
                let zone = context.zones.iter().position(|known| *known == zone);
                return zone.ok_or_else(|| Ended::Refused("unknown zone".into()));
            }
            Message::Load { .. } | Message::Rate { .. } => {
                return Err(Ended::Refused("a report before SOURCE".into()));
            }
        }
    }
}

/// Passes reports on until the connection ends. Malformed reports are skipped; an unreadable line ends the connection.
async fn read_reports<S: AsyncRead + AsyncWrite + Unpin>(
    lines: &mut Lines<impl AsyncRead + Unpin>,
    writing: &mut WriteHalf<S>,
    state: &ConnectionState,
    context: &mut ConnectionContext,
) -> Ended {
    loop {
        let message = match lines.next(lines::MAX_LINE_BYTES, LINE_TIMEOUT).await {
            Ok(line) => lines::read(line),
            Err(ended) => return ended,
        };
        state.last_received.set(Instant::now());
        let counters = &context.ties.counters;
        match message {
            Ok(Message::Ping) => {
                if let Err(ended) = answer_ping(writing, context).await {
                    return ended;
                }
            }
            Ok(Message::Source { .. }) => counters.lines_taken.one(),
            Ok(report) => {
                counters.lines_taken.one();
                if context.ties.desk.send(Heard::Report(report)).await.is_err() {
                    return Ended::Closed;
                }
            }
            Err(LineError::Malformed(why)) => {
                counters.lines_skipped.one();
                if let Some(hidden) = context.skipped.pass() {
                    warn!(context.ties.log, "skipped a line"; "why" => why, "hidden" => hidden);
                }
            }
            Err(unreadable) => return Ended::Unreadable(unreadable),
        }
    }
}

/// Answers a `PING` once the daemon can serve, because whoever gets an answer starts to use it.
async fn answer_ping<S: AsyncWrite>(
    writing: &mut WriteHalf<S>,
    context: &mut ConnectionContext,
) -> Result<(), Ended> {
    context.ties.counters.pings.one();
    context.ready.wait_for(|ready| *ready).await.map_err(|_| Ended::Closed)?;
    match timeout(WRITE_TIMEOUT, writing.write_all(b"PONG\r\n")).await {
        Ok(written) => written.map_err(Ended::Broken),
        Err(_) => Err(Ended::Unread),
    }
}
