//! Discovery client: watches the list of hosts by long polling on one persistent connection.

use std::time::Duration;

use hyper::StatusCode;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use crate::counters::Seldom;
use crate::heard::{Ask, Heard, Listing, Ties};
use crate::http::{get, timeout_with_final_poll, Dial, Fault, Kept};
use crate::spread::Spread;

/// By the protocol page the content of an answer counts as reported 2 s after the call's wait is over, or 6 s after a call
/// that does not wait.
const WAIT_MARGIN: Duration = Duration::from_secs(2);
const IMMEDIATE_TIMEOUT: Duration = Duration::from_secs(6);
/// Least time between the starts of two calls. By the protocol page a watch continues if the next call comes within
/// 200 ms; half of that protects discovery and this process from a list that answers immediately again and again.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Random delay, at most this, of the first call after a failure. The controller draws when to ask again but checks it in
/// steps of this length, so without the delay daemons that lost discovery together would return in the same step.
const RETRY_JITTER: Duration = Duration::from_millis(200);

pub struct Discovery<D> {
    pub line: Kept<D>,
    /// How long a call may wait at discovery for changes.
    pub wait: Duration,
    /// Spreads the calls that follow a failure.
    pub spread: Spread,
    pub ties: Ties,
}

impl<D: Dial> Discovery<D> {
    /// Calls discovery as requested in `asks`. A watch goes on call after call until one fails; the event loop decides when
    /// to ask again. `seq` is the version of the list that the daemon started with.
    pub async fn run(mut self, mut asks: mpsc::Receiver<Ask>, mut seq: u64) {
        let (mut watching, mut first) = (false, false);
        // The last answer was incomplete or unreadable, or was a whole list without hosts: it is requested once more.
        let (mut corrupted, mut empty) = (false, false);
        // The last call failed.
        let mut failed = false;
        let regressions = Seldom::default();
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
                sleep(self.spread.up_to(RETRY_JITTER)).await;
            }
            let (whole, begun) = (ask == Some(Ask::Whole), Instant::now());
            peer.mark_unchanged();
            let answer = {
                let mut fetch = std::pin::pin!(self.fetch((!whole).then_some(seq)));
                tokio::select! {
                    // An answer that has arrived counts as reported, so it is polled first.
                    biased;
                    answer = &mut fetch => answer,
                    Some(ask) = asks.recv() => {
                        // The call in progress is dropped together with its connection.
                        asked = Some(ask);
                        continue;
                    }
                    // Discovery has moved, so the same call is made at the new address; it returns everything newer than
                    // `seq`. An answer that has already arrived and is not read yet is still used: it counts as
                    // reported, and the new address may not answer.
                    Ok(()) = peer.changed() => match timeout_with_final_poll(Duration::ZERO, &mut fetch).await {
                        Some(Ok(listing)) => Ok(listing),
                        Some(Err(_)) | None => {
                            asked = ask;
                            continue;
                        }
                    },
                }
            };
            match answer {
                // A lower version belongs to another list, whose content only a whole list shows.
                Ok(listing) if !listing.whole && listing.seq < seq => {
                    if let Some(hidden) = regressions.pass() {
                        info!(self.ties.log, "the version of the host list decreased";
                            "from" => seq, "to" => listing.seq, "hidden" => hidden);
                    }
                    corrupted = false;
                    asked = Some(Ask::Whole);
                }
                // One corrupted answer, or a discovery that has just started, must not take all hosts out of service: an
                // empty list is used only if a second answer confirms it.
                Ok(listing) if listing.whole && listing.hosts.is_empty() && !empty => {
                    self.ties.counters.list_answers.one();
                    (corrupted, empty) = (false, true);
                    asked = Some(Ask::Whole);
                }
                Ok(listing) => {
                    self.ties.counters.list_answers.one();
                    (seq, corrupted, empty) = (listing.seq, false, false);
                    // The first answer is reported even if it is empty, as it shows that the watch is established.
                    if std::mem::take(&mut first) || listing.whole || !listing.hosts.is_empty() {
                        drop(self.ties.desk.send(Heard::Listed(listing)).await);
                    } else {
                        drop(self.ties.desk.send(Heard::ListUnchanged).await);
                    }
                }
                Err(error) => {
                    self.ties.counters.list_failures.one();
                    info!(self.ties.log, "a call for the list failed"; "how" => %error);
                    self.line.hang_up();
                    corrupted = error.may_have_delivered() && !corrupted;
                    if corrupted {
                        asked = ask;
                    } else {
                        (watching, failed) = (false, true);
                        drop(self.ties.desk.send(Heard::ListFailed).await);
                    }
                }
            }
            sleep_until(begun + MIN_CALL_INTERVAL).await;
        }
    }

    /// One call, for everything newer than a version or for the whole list.
    async fn fetch(&mut self, after: Option<u64>) -> Result<Listing, FetchError> {
        let (path, within) = match after {
            Some(seq) => {
                let wait = self.wait.as_millis();
                (format!("/v1/servers?after={seq}&wait_ms={wait}"), self.wait + WAIT_MARGIN)
            }
            None => ("/v1/servers".to_string(), IMMEDIATE_TIMEOUT),
        };
        self.ties.counters.list_asks.one();
        let (status, body) = self.line.exchange(|to| get(&path, to), within).await?;
        if !status.is_success() {
            return Err(FetchError::Status(status));
        }
        serde_json::from_slice(&body).map_err(|error| FetchError::Unreadable(error.to_string()))
    }
}

/// Why a call returned no list.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Transport(#[from] Fault),
    #[error("answered with status {0}")]
    Status(StatusCode),
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

impl FetchError {
    /// Whether discovery wrote an answer or its time is over, so that its content counts as reported. Such a call is
    /// repeated at once on a new connection and fails only if that returns nothing either. Otherwise drains would be late
    /// by the backoff that spares a failed discovery.
    fn may_have_delivered(&self) -> bool {
        match self {
            FetchError::Unreadable(_)
            | FetchError::Transport(Fault::AnswerTruncated(_) | Fault::Silent(_)) => true,
            FetchError::Transport(
                Fault::NotSent(_) | Fault::LocalFailure(_) | Fault::PartlySent(_) | Fault::Unsure(_),
            ) => false,
            FetchError::Status(_) => false,
        }
    }
}
