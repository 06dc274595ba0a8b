//! Calls to the relay, one at a time and strictly in order.

use std::collections::VecDeque;
use std::time::Duration;

use amberarch_core::MarkId;
use bytes::Bytes;
use serde_json::Value;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::Seldom;
use crate::desk::{Heard, Ties};
use crate::http::{post, Dial, Fault, Kept};

/// The protocol page: an answer comes within 50 ms or never. Between attempts as long is waited.
const ANSWER: Duration = Duration::from_millis(50);
/// The protocol page: a call carries at most 60,000 bytes of orders.
const MOST_BYTES: usize = 60_000;

/// The protocol page: time limits wait 0.5 s where the relay breaks a call, 1.5 s where it falls silent or
/// can't be read. So long a repeat can wait, that what the first may have put into the channel leaves.
const AGAIN: Duration = Duration::from_millis(500);
const AGAIN_MOST: Duration = Duration::from_millis(1_500);

/// What the module ordered at one time, and the number of the mark in it.
pub struct Reply {
    pub orders: Vec<Bytes>,
    pub mark: Option<MarkId>,
}

/// How far a call came.
#[derive(Debug, thiserror::Error)]
enum CallFault {
    #[error(transparent)]
    Road(#[from] Fault),
    #[error("turned back for now")]
    Busy,
    #[error("refused after {0}")]
    RefusedAfter(usize),
    #[error("refused whole: {0}")]
    Refused(String),
}

pub struct Relay<D> {
    pub line: Kept<D>,
    pub ties: Ties,
}

impl<D: Dial> Relay<D> {
    /// Sends call after call, for good. All that waits goes as one call, up to its size: that is fewer
    /// messages than the module counted, so what piled up while the relay was out of reach breaks no
    /// limit when it leaves at once. An unsure call is repeated whole before anything later: orders set
    /// states, so a call that is carried out twice leaves what it left the first time.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Reply>) {
        let mut waiting: VecDeque<Bytes> = VecDeque::new();
        let mut marks = Vec::new();
        let seldom = Seldom::default();
        while let Some(reply) = replies.recv().await {
            waiting.extend(reply.orders);
            marks.extend(reply.mark);
            let mut pause = AGAIN;
            while !waiting.is_empty() {
                while let Ok(reply) = replies.try_recv() {
                    waiting.extend(reply.orders);
                    marks.extend(reply.mark);
                }
                let count = fitting(&waiting);
                let fault = match self.call(&waiting, count).await {
                    Ok(()) => {
                        waiting.drain(..count);
                        self.again(&marks, !waiting.is_empty()).await;
                        continue;
                    }
                    Err(fault) => fault,
                };
                if let Some(hidden) = seldom.pass() {
                    let refused = match fault {
                        CallFault::RefusedAfter(taken) => waiting.get(taken),
                        CallFault::Refused(_) => waiting.front(),
                        _ => None,
                    };
                    let refused = refused.map(|order| String::from_utf8_lossy(order));
                    warn!(self.ties.log, "a call failed"; "how" => %fault, "orders" => count,
                        "refused" => refused.as_deref(), "hidden" => hidden);
                }
                match fault {
                    CallFault::RefusedAfter(taken) => {
                        self.ties.counters.calls_refused.one();
                        self.ties.counters.orders_skipped.one();
                        waiting.drain(..=taken);
                        self.again(&marks, !waiting.is_empty()).await;
                    }
                    CallFault::Refused(_) => {
                        self.ties.counters.calls_refused.one();
                        self.ties.counters.orders_skipped.more(count);
                        waiting.drain(..count);
                    }
                    CallFault::Busy => {
                        self.ties.counters.calls_busy.one();
                        sleep(ANSWER).await;
                    }
                    CallFault::Road(Fault::Unsure(_)) => {
                        self.ties.counters.calls_unsure.one();
                        sleep(pause).await;
                        pause = AGAIN_MOST.min(2 * pause);
                        self.again(&marks, true).await;
                    }
                    CallFault::Road(Fault::NotSent(_) | Fault::InPart(_)) => {
                        self.ties.counters.calls_not_sent.one();
                        sleep(ANSWER).await;
                    }
                }
            }
            marks.clear();
        }
    }

    /// Tells of a further message to the proxies of these replies: a repeat, or the rest of a reply.
    async fn again(&self, marks: &[MarkId], needed: bool) {
        for mark in marks.iter().filter(|_| needed) {
            self.ties.counters.messages_again.one();
            drop(self.ties.desk.send(Heard::Again { mark: *mark }).await);
        }
    }

    /// One call with the first orders that wait.
    async fn call(&mut self, orders: &VecDeque<Bytes>, count: usize) -> Result<(), CallFault> {
        let mut body = Vec::from(&b"{\"changes\":["[..]);
        for (place, order) in orders.iter().take(count).enumerate() {
            body.extend_from_slice(if place > 0 { b"," } else { b"" });
            body.extend_from_slice(order);
        }
        body.extend_from_slice(b"]}");
        let body = Bytes::from(body);
        self.ties.counters.calls.one();
        let request = |to| post("/txn", to, body.clone());
        let (status, answer) = self.line.exchange(request, ANSWER).await?;
        let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
        match (answer["taken"].as_u64(), answer["error"].as_str()) {
            (Some(taken), _) if taken as usize >= count => Ok(()),
            (Some(taken), _) => Err(CallFault::RefusedAfter(taken as usize)),
            (None, Some("BUSY")) => Err(CallFault::Busy),
            (None, Some(error)) => Err(CallFault::Refused(error.to_string())),
            (None, None) => {
                self.line.hang_up();
                Err(Fault::Unsure(format!("an answer that can't be read, {status}")).into())
            }
        }
    }
}

/// How many of the orders fit into one call; one always does.
fn fitting(orders: &VecDeque<Bytes>) -> usize {
    let mut bytes = 20;
    let sizes = orders.iter().map(|order| {
        bytes += order.len() + 1;
        bytes
    });
    sizes.take_while(|sum| *sum <= MOST_BYTES).count().max(1)
}
