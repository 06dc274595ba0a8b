//! Discovery: the watch on the list of hosts, on one connection that is kept.

use std::time::Duration;

use hyper::StatusCode;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use crate::counters::Seldom;
use crate::heard::{Ask, Heard, Listing, Ties};
use crate::http::{get, limited, Dial, Fault, Kept};
use crate::spread::Spread;

/// The protocol page: what a call brings counts as told 2 s after its wait is over, or after 6 s
/// where it does not wait.
const AFTER_WAIT: Duration = Duration::from_secs(2);
const NO_WAIT: Duration = Duration::from_secs(6);
/// The protocol page: a watch goes on if the next call comes within 200 ms. Half of that between the starts of
/// two calls guards discovery and the core against a list that answers at once again and again.
const BETWEEN: Duration = Duration::from_millis(100);
/// When to ask again after a failure is drawn by the decisions and looked at in steps of this length. Guards against
/// daemons that lost discovery together and come back to it in the same step, whatever each of them drew.
const STEP: Duration = Duration::from_millis(200);

pub struct Discovery<D> {
    pub line: Kept<D>,
    /// How long a call may wait for news.
    pub wait: Duration,
    /// Spreads the calls that follow a failure.
    pub spread: Spread,
    pub ties: Ties,
}

impl<D: Dial> Discovery<D> {
    /// Asks as it is told to. A watch goes on call after call, until one fails: when to ask again is
    /// said from outside. `seq` is the version of the list that the steward started with.
    pub async fn run(mut self, mut asks: mpsc::Receiver<Ask>, mut seq: u64) {
        let (mut watching, mut first) = (false, false);
        // The last answer did not come whole, or was a whole list without hosts: it is asked for once more.
        let (mut spoilt, mut empty) = (false, false);
        // The last call failed.
        let mut failed = false;
        let went_back = Seldom::default();
        let mut asked = None;
        let mut peer = self.line.peer();
        loop {
            let ask = match asked.take() {
                Some(ask) => Some(ask),
                None if watching => None,
                None => match asks.recv().await {
                    Some(ask) => Some(ask),
                    None => return,
                },
            };
            if let Some(ask) = ask {
                watching = if ask == Ask::Whole { watching } else { ask == Ask::Watch };
                first = true;
                if ask == Ask::Unwatch {
                    continue;
                }
            }
            if std::mem::take(&mut failed) {
                sleep(self.spread.up_to(STEP)).await;
            }
            let (whole, begun) = (ask == Some(Ask::Whole), Instant::now());
            peer.mark_unchanged();
            let answer = {
                let mut fetch = std::pin::pin!(self.fetch((!whole).then_some(seq)));
                tokio::select! {
                    // What has come counts as told, so it is heard before anything else is looked at.
                    biased;
                    answer = &mut fetch => answer,
                    Some(ask) = asks.recv() => {
                        // What is under way is given up, and its connection with it.
                        asked = Some(ask);
                        continue;
                    }
                    // Discovery is elsewhere now; the same call goes there. What this one would have brought is newer
                    // than `seq`, so the next brings it. Guards against an answer that has arrived and is not read
                    // yet: it counts as told, and the new address may be dead.
                    Ok(()) = peer.changed() => match limited(Duration::ZERO, &mut fetch).await {
                        Some(Ok(listing)) => Ok(listing),
                        Some(Err(_)) | None => {
                            asked = ask;
                            continue;
                        }
                    },
                }
            };
            match answer {
                // A version that goes back is another list: only a whole one tells what it holds.
                Ok(listing) if !listing.whole && listing.seq < seq => {
                    if let Some(hidden) = went_back.pass() {
                        info!(self.ties.log, "the list's version went back";
                            "from" => seq, "to" => listing.seq, "hidden" => hidden);
                    }
                    spoilt = false;
                    asked = Some(Ask::Whole);
                }
                // Guards against one spoilt answer, or a discovery that has learnt nothing yet, that takes all hosts
                // out of service: what a second answer says too holds.
                Ok(listing) if listing.whole && listing.hosts.is_empty() && !empty => {
                    self.ties.counters.list_answers.one();
                    (spoilt, empty) = (false, true);
                    asked = Some(Ask::Whole);
                }
                Ok(listing) => {
                    self.ties.counters.list_answers.one();
                    (seq, spoilt, empty) = (listing.seq, false, false);
                    // The first answer is told even if it holds nothing: it shows that the watch stands.
                    if std::mem::take(&mut first) || listing.whole || !listing.hosts.is_empty() {
                        drop(self.ties.desk.send(Heard::Listed(listing)).await);
                    } else {
                        drop(self.ties.desk.send(Heard::ListStands).await);
                    }
                }
                Err(missed) => {
                    self.ties.counters.list_failures.one();
                    info!(self.ties.log, "a call for the list failed"; "how" => %missed);
                    self.line.hang_up();
                    spoilt = missed.may_be_told() && !spoilt;
                    if spoilt {
                        asked = ask;
                    } else {
                        (watching, failed) = (false, true);
                        drop(self.ties.desk.send(Heard::ListFailed).await);
                    }
                }
            }
            sleep_until(begun + BETWEEN).await;
        }
    }

    /// One call: for all that is newer than a version, or for the whole list.
    async fn fetch(&mut self, after: Option<u64>) -> Result<Listing, Missed> {
        let (path, within) = match after {
            Some(seq) => {
                let wait = self.wait.as_millis();
                (format!("/v1/servers?after={seq}&wait_ms={wait}"), self.wait + AFTER_WAIT)
            }
            None => ("/v1/servers".to_string(), NO_WAIT),
        };
        self.ties.counters.list_asks.one();
        let (status, body) = self.line.exchange(|to| get(&path, to), within).await?;
        if !status.is_success() {
            return Err(Missed::Declined(status));
        }
        serde_json::from_slice(&body).map_err(|error| Missed::Unreadable(error.to_string()))
    }
}

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum Missed {
    #[error(transparent)]
    Road(#[from] Fault),
    #[error("answered with {0}")]
    Declined(StatusCode),
    #[error("what can't be read: {0}")]
    Unreadable(String),
}

impl Missed {
    /// Discovery wrote an answer, or its time is over, so what it had to tell counts as told. Guards against drains
    /// that are late by the wait which spares a discovery that is down: it is asked for again at once, on a new
    /// connection, and is a failure only where that brings nothing either.
    fn may_be_told(&self) -> bool {
        match self {
            Missed::Unreadable(_) | Missed::Road(Fault::CutOff(_) | Fault::Silent(_)) => true,
            Missed::Road(Fault::NotSent(_) | Fault::NoMeans(_) | Fault::InPart(_) | Fault::Unsure(_)) => {
                false
            }
            Missed::Declined(_) => false,
        }
    }
}
