//! The relay watch: a stream of events that tells which proxies joined, which left and which marks were applied.

use std::net::SocketAddr;
use std::time::Duration;

use amberarch_core::MarkId;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::counters::Seldom;
use crate::heard::{Heard, News, Ties};
use crate::http::{get, timeout_with_final_poll, Dial, Fault, Line, PeerAddress};
use crate::spread::Spread;

/// A watch that is silent for this long counts as failed. By the protocol page the relay sends a heartbeat every second, and
/// times are 300 ms longer on sockets.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Pause between attempts to dial. By the protocol page an answer comes within 50 ms or never.
const DIAL_INTERVAL: Duration = Duration::from_millis(50);
/// A silence of this length ends the snapshot at the start of a watch. By the protocol page times are 300 ms longer on
/// sockets, and bytes come in pieces.
const SNAPSHOT_SILENCE: Duration = Duration::from_millis(300);
/// In this time without an established watch a proxy may have left and joined again, which a snapshot does not show: the
/// proxy has to dial, and times are 300 ms longer on sockets. A watch that is redialled at once takes a sixth of it.
const MAX_UNWATCHED: Duration = Duration::from_millis(300);
/// The longest message, 1 MiB, by the protocol page.
const MAX_LINE_BYTES: usize = 1 << 20;

/// An established watch.
struct Watch {
    at: SocketAddr,
    body: Incoming,
    unread: BytesMut,
    /// This many of the unread bytes contain no line end, so a long line is not searched again from its start for each of
    /// its pieces.
    searched: usize,
    _line: Line,
}

impl Watch {
    /// Reads the next line. It is cancel safe: bytes that were received stay in the buffer.
    async fn line(&mut self) -> Result<BytesMut, String> {
        loop {
            if let Some(end) = self.unread[self.searched..].iter().position(|byte| *byte == b'\n') {
                let end = self.searched + end;
                self.searched = 0;
                return Ok(self.unread.split_to(end + 1));
            }
            self.searched = self.unread.len();
            if self.unread.len() > MAX_LINE_BYTES {
                return Err("a line over 1 MiB".into());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.unread.extend(frame.into_data()),
                Some(Err(error)) => return Err(error.to_string()),
                None => return Err("the relay closed the watch".into()),
            }
        }
    }
}

pub struct Follow<D> {
    pub dial: D,
    pub peer: PeerAddress,
    pub connect_within: Duration,
    pub ties: Ties,
    /// Set once the daemon can serve: orders reach proxies, and joins are received.
    pub ready: watch::Sender<bool>,
    pub skipped: Seldom,
    /// Spreads the pauses between dials.
    pub spread: Spread,
}

impl<D: Dial> Follow<D> {
    /// Follows the relay's events on one watch after another; never returns.
    pub async fn run(self) {
        let log_limit = Seldom::default();
        let mut watch = self.dial_until_up(&log_limit).await;
        loop {
            let begun = Instant::now();
            let heard = self.read_snapshot(&mut watch).await;
            let WatchEnd { next, heard, unheard_since } = self.follow(&mut watch, heard, &log_limit).await;
            watch = match next {
                Next::Beside(other) => other,
                Next::Broken(why) => {
                    if let Some(hidden) = log_limit.pass() {
                        warn!(self.ties.log, "the news broke off"; "why" => why, "hidden" => hidden);
                    }
                    drop(watch);
                    // Limits the rate of dials if the relay breaks every watch at once.
                    sleep_until(begun + DIAL_INTERVAL).await;
                    self.dial_until_up(&log_limit).await
                }
            };
            // A proxy that left and returned in a gap between two watches must not be taken for one that stayed: it is no
            // longer bound to a table of this controller, and no drain would reach it. What a broken watch had not
            // delivered is lost, so its gap begins when it was last received from.
            let rebind = unheard_since.elapsed() >= MAX_UNWATCHED || heard.elapsed() > HEARTBEAT_TIMEOUT;
            self.send(Heard::SnapshotBegins { rebind }).await;
        }
    }

    /// Reads the snapshot at the start of a watch. It has no end marker: a silence or a heartbeat ends it. A watch that
    /// breaks or sends nothing before that does not show which proxies left. Returns when the watch last received anything.
    async fn read_snapshot(&self, watch: &mut Watch) -> Instant {
        let (mut heard, mut within) = (Instant::now(), HEARTBEAT_TIMEOUT);
        loop {
            match timeout_with_final_poll(within, watch.line()).await {
                Some(Ok(line)) => {
                    (heard, within) = (Instant::now(), SNAPSHOT_SILENCE);
                    if self.pass_on(&line).await {
                        continue;
                    }
                }
                Some(Err(_)) => return heard,
                None if within == HEARTBEAT_TIMEOUT => return heard,
                None => {}
            }
            self.send(Heard::SnapshotEnds).await;
            return heard;
        }
    }

    /// Passes events on until the watch breaks, or until it is silent and another watch is established.
    async fn follow(&self, watch: &mut Watch, heard: Instant, log_limit: &Seldom) -> WatchEnd {
        let mut progress = WatchProgress::since(heard);
        loop {
            let heard = progress.heard;
            let (mut peer, at) = (self.peer.clone(), watch.at);
            let moved = async {
                // If no configuration can change it any more, the relay's address stays.
                if peer.wait_for(|to| *to != at).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            let line = tokio::select! {
                biased;
                () = moved => {
                    info!(self.ties.log, "the relay's address changed; dialling a second watch");
                    return self.drain_while_dialling(watch, heard, log_limit).await;
                }
                line = timeout_at(heard + HEARTBEAT_TIMEOUT, watch.line()) => line,
            };
            let line = match line {
                Ok(line) => line,
                Err(_) => {
                    warn!(self.ties.log, "the relay watch is silent; dialling a second one");
                    self.ties.signs.mark_silent();
                    tokio::select! {
                        biased;
                        line = watch.line() => line,
                        other = self.dial_until_up(log_limit) => {
                            return WatchEnd { next: Next::Beside(other), heard, unheard_since: heard };
                        }
                    }
                }
            };
            match line {
                Ok(line) => self.pass_on(&line).await,
                Err(why) => {
                    let unheard_since = progress.complete_until();
                    return WatchEnd { next: Next::Broken(why), heard, unheard_since };
                }
            };
            progress.line();
        }
    }

    /// Dials another watch and passes on the old one's events until then. Both are open for a moment, so no event is missed
    /// between them.
    async fn drain_while_dialling(
        &self,
        old: &mut Watch,
        mut heard: Instant,
        log_limit: &Seldom,
    ) -> WatchEnd {
        let mut other = std::pin::pin!(self.dial_until_up(log_limit));
        loop {
            tokio::select! {
                biased;
                line = old.line() => match line {
                    Ok(line) => {
                        self.pass_on(&line).await;
                        heard = Instant::now();
                    }
                    Err(_) => {
                        let unheard_since = Instant::now();
                        return WatchEnd { next: Next::Beside(other.await), heard, unheard_since };
                    }
                },
                other = &mut other => {
                    return WatchEnd { next: Next::Beside(other), heard, unheard_since: Instant::now() };
                }
            }
        }
    }

    /// Passes on one line; false if it was a heartbeat.
    async fn pass_on(&self, line: &[u8]) -> bool {
        self.ties.signs.spoke();
        if line.trim_ascii() == b"{}" {
            self.ties.counters.signs.one();
            return false;
        }
        self.ties.counters.news_lines.one();
        match serde_json::from_slice(line) {
            Ok(news) => {
                if let News::Applied { mark, .. } = &news {
                    self.ties.signs.applied(MarkId(*mark));
                }
                self.send(Heard::News(news)).await;
            }
            Err(error) => {
                self.ties.counters.news_skipped.one();
                if let Some(hidden) = self.skipped.pass() {
                    warn!(self.ties.log, "skipped an unreadable relay event"; "why" => %error, "hidden" => hidden);
                }
            }
        }
        true
    }

    async fn send(&self, heard: Heard) {
        // The event loop ends last; once it is gone there is no receiver.
        drop(self.ties.desk.send(heard).await);
    }

    async fn dial_until_up(&self, log_limit: &Seldom) -> Watch {
        loop {
            match self.open().await {
                Ok(watch) => return watch,
                Err(fault) => {
                    if let Some(hidden) = log_limit.pass() {
                        info!(self.ties.log, "no news yet"; "why" => %fault, "hidden" => hidden);
                    }
                    sleep(self.spread.of(DIAL_INTERVAL)).await;
                }
            }
        }
    }

    /// Opens a watch; gives up if the relay's address changes meanwhile. Otherwise events would be delayed by the time-out
    /// of a silent relay that a configuration named only briefly.
    async fn open(&self) -> Result<Watch, Fault> {
        let mut peer = self.peer.clone();
        let at = *peer.borrow_and_update();
        tokio::select! {
            biased;
            opened = self.open_at(at) => opened,
            Ok(()) = peer.changed() => Err(Fault::NotSent("the relay's address changed".into())),
        }
    }

    async fn open_at(&self, at: SocketAddr) -> Result<Watch, Fault> {
        let mut line = Line::open(&self.dial, at, self.connect_within).await?;
        let answer = line.ask(get("/watch", at), HEARTBEAT_TIMEOUT).await?;
        if answer.status() != StatusCode::OK {
            return Err(Fault::Unsure(format!("the watch was answered with {}", answer.status())));
        }
        self.ties.counters.watches.one();
        self.ties.signs.spoke();
        self.ready.send_replace(true);
        Ok(Watch { at, body: answer.into_body(), unread: BytesMut::new(), searched: 0, _line: line })
    }
}

/// Up to when the events of a watch are known to be complete.
struct WatchProgress {
    /// When the watch last received anything.
    heard: Instant,
    /// After a silence: since when it sends again, and when it last sent before the silence.
    again: Option<(Instant, Instant)>,
}

impl WatchProgress {
    fn since(heard: Instant) -> WatchProgress {
        WatchProgress { heard, again: None }
    }

    fn line(&mut self) {
        let now = Instant::now();
        if now > self.heard + HEARTBEAT_TIMEOUT {
            self.again = self.again.map(|(_, before)| (now, before)).or(Some((now, self.heard)));
        }
        if self.again.is_some_and(|(since, _)| now > since + HEARTBEAT_TIMEOUT) {
            self.again = None;
        }
        self.heard = now;
    }

    /// The time up to which no event is missing. A watch that was silent may deliver the first of its delayed events and
    /// then break. The rest is lost, and a proxy that left and returned in the silence would seem to have stayed.
    fn complete_until(&self) -> Instant {
        self.again.map_or(self.heard, |(_, before)| before)
    }
}

/// How reading a watch ended.
struct WatchEnd {
    next: Next,
    /// When the watch last received anything.
    heard: Instant,
    /// Since when events may have been missed.
    unheard_since: Instant,
}

enum Next {
    Beside(Watch),
    Broken(String),
}
