//! The steward's address: each connection a task that reads lines and answers `PING`. A connection has
//! joined once it has named a zone that is known; until then its time is short and a bad word ends it.

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
use crate::lines::{self, Bad, Ended, Lines, Said};

/// The service page: what has not joined within 1 s of connecting may be closed, within 3 s it must be;
/// the protocol page: times are 300 ms longer on sockets.
const JOIN: Duration = Duration::from_millis(1_300);
/// A message that joins is a few words. So hundreds who say half of one fit into the memory.
const MOST_TO_JOIN: u64 = 4_096;
/// The service page: what goes on without end is closed within 6 s. A sum that has begun ends within half.
const UNFINISHED: Duration = Duration::from_secs(3);
/// The protocol page: each zone has one collector. A second connection may stand for a while when a
/// collector comes back that had fallen silent.
const A_ZONE: usize = 2;
/// The protocol page: times are 300 ms longer on sockets. As long may an answer take to be written.
const WRITE: Duration = Duration::from_millis(300);

/// What each connection needs of the steward.
#[derive(Clone)]
pub struct Inside {
    pub ties: Ties,
    pub ready: watch::Receiver<bool>,
    pub zones: Rc<[String]>,
    pub skipped: Rc<Seldom>,
    pub closed: Rc<Seldom>,
}

/// How far a connection has come, in the order in which they are closed where there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Silent,
    /// It waits for the answer to its `PING`.
    Pinged,
    /// It sends the sums of the zone of that place.
    Joined(usize),
}

/// What is seen of a connection from outside its task.
pub struct Seat {
    stage: Cell<Stage>,
    heard: Cell<Instant>,
}

impl Seat {
    pub fn new(stage: Stage) -> Rc<Seat> {
        Rc::new(Seat { stage: Cell::new(stage), heard: Cell::new(Instant::now()) })
    }
}

/// Those who are connected.
#[derive(Default)]
pub struct Guests(Vec<(Rc<Seat>, AbortHandle)>);

impl Guests {
    pub fn take(&mut self, seat: Rc<Seat>, task: AbortHandle) {
        self.0.push((seat, task));
    }

    /// Closes, where needed, one that stands for nobody: of those who have not joined, the one that has come
    /// least far and was silent longest; of the connections of one zone over two, the one silent longest.
    /// False where there is no room all the same: collectors are not closed for strangers.
    pub fn make_room(&mut self, most: usize, shed: &Count) -> bool {
        self.0.retain(|(_, task)| !task.is_finished());
        let stood =
            |seat: &Seat| self.0.iter().filter(|(other, _)| other.stage.get() == seat.stage.get()).count();
        let full = self.0.len() >= most;
        let may_go = |seat: &Seat| match seat.stage.get() {
            Stage::Joined(_) => stood(seat) > A_ZONE,
            _ => full,
        };
        let guests = self.0.iter().enumerate().filter(|(_, (seat, _))| may_go(seat));
        let first = guests.min_by_key(|(_, (seat, _))| (seat.stage.get(), seat.heard.get()));
        let first = first.map(|(place, _)| place);
        if let Some(place) = first {
            self.0.swap_remove(place).1.abort();
            shed.one();
        }
        first.is_some() || !full
    }
}

/// Takes connections for good, `most` at a time.
pub async fn run(listener: TcpListener, most: usize, inside: Inside) {
    let mut guests = Guests::default();
    let seldom = Seldom::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                inside.ties.counters.accepts_failed.one();
                if let Some(hidden) = seldom.pass() {
                    warn!(inside.ties.log, "could not take a connection"; "why" => %error, "hidden" => hidden);
                }
                // What ended with one connection, or a signal, says nothing of the next.
                let passing = matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted);
                if !passing {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                continue;
            }
        };
        inside.ties.counters.connections.one();
        if !guests.make_room(most, &inside.ties.counters.connections_shed) {
            inside.ties.counters.connections_shed.one();
            continue;
        }
        let seat = Seat::new(Stage::Silent);
        let task = tokio::task::spawn_local(connection(stream, seat.clone(), inside.clone()));
        guests.take(seat, task.abort_handle());
        // Its task has a turn before the next is taken. Guards against a collector whose first line has come with it and
        // that is closed as a stranger for those behind it.
        tokio::task::yield_now().await;
    }
}

/// One connection from its first byte to its end.
pub async fn connection(stream: impl AsyncRead + AsyncWrite + Unpin, seat: Rc<Seat>, mut inside: Inside) {
    let (reading, mut writing) = tokio::io::split(stream);
    let mut lines = Lines::new(reading);
    let ended = match join(&mut lines, &mut writing, &seat, &mut inside).await {
        Ok(zone) => {
            inside.ties.counters.connections_joined.one();
            debug!(inside.ties.log, "a collector"; "zone" => &inside.zones[zone]);
            seat.stage.set(Stage::Joined(zone));
            sums(&mut lines, &mut writing, &seat, &mut inside).await
        }
        Err(ended) => {
            inside.ties.counters.connections_refused.one();
            ended
        }
    };
    if !matches!(ended, Ended::Closed | Ended::Broken(_)) {
        if let Some(hidden) = inside.closed.pass() {
            warn!(inside.ties.log, "closed a connection"; "why" => %ended, "hidden" => hidden);
        }
        // Collectors are never written to; anyone else is told.
        if seat.stage.get() < Stage::Joined(0) {
            let _ = timeout(WRITE, writing.write_all(b"NACK\r\n")).await;
        } else {
            inside.ties.counters.collectors_closed.one();
        }
    }
}

/// Reads until the connection has joined; gives the place of its zone. A bad word ends it, and so does time,
/// counted from connecting; only where the steward itself kept it waiting from its answer to `PING`.
async fn join<S: AsyncRead + AsyncWrite + Unpin>(
    lines: &mut Lines<impl AsyncRead + Unpin>,
    writing: &mut WriteHalf<S>,
    seat: &Seat,
    inside: &mut Inside,
) -> Result<usize, Ended> {
    let mut until = Instant::now() + JOIN;
    loop {
        let next = timeout_at(until, lines.next(MOST_TO_JOIN, JOIN));
        let said = lines::read(next.await.map_err(|_| Ended::NotJoined)??);
        match said.map_err(|bad| Ended::Refused(bad.to_string()))? {
            Said::Ping => {
                seat.stage.set(Stage::Pinged);
                let waits = !*inside.ready.borrow();
                pong(writing, inside).await?;
                if waits {
                    until = Instant::now() + JOIN;
                }
                seat.stage.set(Stage::Silent);
            }
            Said::Source { zone } => {
                let zone = inside.zones.iter().position(|known| *known == zone);
                return zone.ok_or_else(|| Ended::Refused("a zone that is not known".into()));
            }
            Said::Load { .. } | Said::Rate { .. } => {
                return Err(Ended::Refused("a sum before its source".into()));
            }
        }
    }
}

/// Passes sums on until the connection ends. A spoilt one is skipped, what can't be read ends it.
async fn sums<S: AsyncRead + AsyncWrite + Unpin>(
    lines: &mut Lines<impl AsyncRead + Unpin>,
    writing: &mut WriteHalf<S>,
    seat: &Seat,
    inside: &mut Inside,
) -> Ended {
    loop {
        let said = match lines.next(lines::MOST_BYTES, UNFINISHED).await {
            Ok(line) => lines::read(line),
            Err(ended) => return ended,
        };
        seat.heard.set(Instant::now());
        let counters = &inside.ties.counters;
        match said {
            Ok(Said::Ping) => {
                if let Err(ended) = pong(writing, inside).await {
                    return ended;
                }
            }
            Ok(Said::Source { .. }) => counters.lines_taken.one(),
            Ok(sum) => {
                counters.lines_taken.one();
                if inside.ties.desk.send(Heard::Sum(sum)).await.is_err() {
                    return Ended::Closed;
                }
            }
            Err(Bad::Spoilt(why)) => {
                counters.lines_skipped.one();
                if let Some(hidden) = inside.skipped.pass() {
                    warn!(inside.ties.log, "skipped a line"; "why" => why, "hidden" => hidden);
                }
            }
            Err(unreadable) => return Ended::Unreadable(unreadable),
        }
    }
}

/// Whoever is answered uses the steward: it answers once it can serve.
async fn pong<S: AsyncWrite>(writing: &mut WriteHalf<S>, inside: &mut Inside) -> Result<(), Ended> {
    inside.ties.counters.pings.one();
    inside.ready.wait_for(|ready| *ready).await.map_err(|_| Ended::Closed)?;
    match timeout(WRITE, writing.write_all(b"PONG\r\n")).await {
        Ok(written) => written.map_err(Ended::Broken),
        Err(_) => Err(Ended::Unread),
    }
}
