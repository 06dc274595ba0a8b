//! The steward's address: each connection a task that reads lines and answers `PING`.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use crate::counters::Seldom;
use crate::desk::{Heard, Ties};
use crate::lines::{self, Ended, Lines, Said};

/// What stands idle is closed after about 10 s, as the relay of the protocol page does: strangers
/// who say nothing that can be read, and lines that do not end.
const IDLE: Duration = Duration::from_secs(10);

/// What each connection needs of the steward.
#[derive(Clone)]
pub struct Inside {
    pub ties: Ties,
    pub ready: watch::Receiver<bool>,
    pub skipped: Rc<Seldom>,
}

struct Guest {
    heard: Rc<Cell<Instant>>,
    task: AbortHandle,
}

/// Takes connections for good; of more than `most`, the one that was silent longest is closed.
pub async fn run(listener: TcpListener, most: usize, inside: Inside) {
    let mut guests: Vec<Guest> = Vec::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(inside.ties.log, "could not take a connection"; "why" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        inside.ties.counters.connections.one();
        guests.retain(|guest| !guest.task.is_finished());
        if guests.len() >= most {
            let silent = guests.iter().enumerate().min_by_key(|(_, guest)| guest.heard.get());
            let place = silent.map(|(place, _)| place).unwrap_or(0);
            guests.swap_remove(place).task.abort();
            inside.ties.counters.connections_shed.one();
        }
        let heard = Rc::new(Cell::new(Instant::now()));
        let task = tokio::task::spawn_local(connection(stream, heard.clone(), inside.clone()));
        guests.push(Guest { heard, task: task.abort_handle() });
    }
}

pub async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    heard: Rc<Cell<Instant>>,
    mut inside: Inside,
) {
    let (reading, mut writing) = tokio::io::split(stream);
    let mut lines = Lines::new(reading);
    let mut known = false;
    let ended = loop {
        let next = lines.next(IDLE);
        let line = match known {
            true => next.await,
            false => timeout(IDLE, next).await.unwrap_or(Err(Ended::Unfinished)),
        };
        let said = match line {
            Ok(line) => lines::read(line),
            Err(ended) => break ended,
        };
        match said {
            Ok(said) => {
                known = true;
                heard.set(Instant::now());
                inside.ties.counters.lines_taken.one();
                match said {
                    Said::Ping => {
                        inside.ties.counters.pings.one();
                        // Whoever is answered uses the steward: it answers once it can serve.
                        if inside.ready.wait_for(|ready| *ready).await.is_err() {
                            break Ended::Closed;
                        }
                        if !matches!(timeout(IDLE, writing.write_all(b"PONG\r\n")).await, Ok(Ok(()))) {
                            break Ended::Closed;
                        }
                    }
                    Said::Source { zone } => debug!(inside.ties.log, "a collector"; "zone" => zone),
                    sum => {
                        if inside.ties.desk.send(Heard::Sum(sum)).await.is_err() {
                            break Ended::Closed;
                        }
                    }
                }
            }
            Err(why) => {
                inside.ties.counters.lines_skipped.one();
                if let Some(hidden) = inside.skipped.pass() {
                    warn!(inside.ties.log, "skipped a line"; "why" => why, "hidden" => hidden);
                }
            }
        }
    };
    debug!(inside.ties.log, "a connection ended"; "why" => %ended);
}
