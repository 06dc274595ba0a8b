//! Calls to the relay, one at a time and strictly in order.

use std::collections::VecDeque;
use std::time::Duration;

use amberarch_core::{MarkId, ProxyId};
use bytes::Bytes;
use serde::Deserialize;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::Seldom;
use crate::heard::{Encoded, Heard, Reply, Ties};
use crate::http::{post, Dial, Fault, Kept};

/// The protocol page: an answer comes within 50 ms or never. Between attempts as long is waited.
const ANSWER: Duration = Duration::from_millis(50);
/// The protocol page: a call carries at most 60,000 bytes of orders.
const MOST_BYTES: usize = 60_000;

/// The protocol page: time limits wait 0.5 s where the relay breaks a call, 1.5 s where it falls silent or
/// can't be read. So long a repeat can wait, that what the first may have put into the channel leaves.
const AGAIN: Duration = Duration::from_millis(500);
const AGAIN_MOST: Duration = Duration::from_millis(1_500);

/// What a call is answered; what has another type, or says neither, can't be read.
#[derive(Deserialize)]
struct Answer {
    taken: Option<usize>,
    error: Option<String>,
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
    #[error("refused whole")]
    Syntax,
}

pub struct Relay<D> {
    pub line: Kept<D>,
    pub ties: Ties,
}

impl<D: Dial> Relay<D> {
    /// Sends call after call, for good. All that waits goes as one call, up to its size: that is fewer
    /// messages than the module counted, so what piled up while the relay was out of reach breaks no
    /// limit when it leaves at once. An unsure call is repeated whole before anything later: orders set
    /// states, so a call that is carried out twice leaves what it left the first time. An answer may be
    /// spoilt: what it refuses is offered once more before it is given up, and the desk is told of that.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Reply>) {
        let mut waiting: VecDeque<Encoded> = VecDeque::new();
        let (mut marks, mut refused) = (Vec::new(), false);
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
                        refused = false;
                        waiting.drain(..count);
                        self.again(&marks, !waiting.is_empty()).await;
                        continue;
                    }
                    Err(fault) => fault,
                };
                if let Some(hidden) = seldom.pass() {
                    let at = match fault {
                        CallFault::RefusedAfter(taken) => waiting.get(taken),
                        CallFault::Syntax => waiting.front(),
                        _ => None,
                    };
                    let at = at.map(|order| String::from_utf8_lossy(&order.bytes));
                    warn!(self.ties.log, "a call failed"; "how" => %fault, "orders" => count,
                        "refused" => at.as_deref(), "hidden" => hidden);
                }
                match fault {
                    CallFault::RefusedAfter(taken) => {
                        self.ties.counters.calls_refused.one();
                        waiting.drain(..taken);
                        // Refused twice, each time as the first of what was left.
                        refused = !(refused && taken == 0);
                        if !refused {
                            self.give_up(waiting.drain(..1)).await;
                        }
                        self.again(&marks, !waiting.is_empty()).await;
                    }
                    CallFault::Syntax => {
                        self.ties.counters.calls_refused.one();
                        refused = !refused;
                        if !refused {
                            self.give_up(waiting.drain(..count)).await;
                        }
                        sleep(ANSWER).await;
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

    /// Tells of orders that are not carried out: otherwise the module goes on as if they had been.
    async fn give_up(&self, orders: impl Iterator<Item = Encoded>) {
        let mut binds: Vec<Option<ProxyId>> = orders.map(|order| order.binds).collect();
        self.ties.counters.orders_skipped.more(binds.len());
        // Of those that bind nobody one is told for all.
        binds.dedup();
        for binds in binds {
            drop(self.ties.desk.send(Heard::NotTaken { binds }).await);
        }
    }

    /// One call with the first orders that wait.
    async fn call(&mut self, orders: &VecDeque<Encoded>, count: usize) -> Result<(), CallFault> {
        let mut body = Vec::from(&b"{\"changes\":["[..]);
        for (place, order) in orders.iter().take(count).enumerate() {
            body.extend_from_slice(if place > 0 { b"," } else { b"" });
            body.extend_from_slice(&order.bytes);
        }
        body.extend_from_slice(b"]}");
        let body = Bytes::from(body);
        self.ties.counters.calls.one();
        let request = |to| post("/txn", to, body.clone());
        let (status, answer) = self.line.exchange(request, ANSWER).await?;
        let answer = serde_json::from_slice(&answer).unwrap_or(Answer { taken: None, error: None });
        match (answer.taken, answer.error.as_deref()) {
            (Some(taken), None) if taken == count => Ok(()),
            (Some(taken), _) if taken < count => Err(CallFault::RefusedAfter(taken)),
            (None, Some("BUSY")) => Err(CallFault::Busy),
            (None, Some("SYNTAX")) => Err(CallFault::Syntax),
            _ => {
                self.line.hang_up();
                Err(Fault::Unsure(format!("an answer that can't be read, {status}")).into())
            }
        }
    }
}

/// How many of the orders fit into one call; one always does.
fn fitting(orders: &VecDeque<Encoded>) -> usize {
    let mut bytes = 20;
    let sizes = orders.iter().map(|order| {
        bytes += order.bytes.len() + 1;
        bytes
    });
    sizes.take_while(|sum| *sum <= MOST_BYTES).count().max(1)
}
