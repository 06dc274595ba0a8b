//! Calls to the relay, one at a time and strictly in order.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use slog::{info, warn, Logger};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::{Counters, Seldom};
use crate::desk::Heard;
use crate::http::{post, Dial, Fault, Line};

/// The protocol page: an answer comes within 50 ms or never. Between attempts as long is waited.
const ANSWER: Duration = Duration::from_millis(50);
/// The protocol page: a call carries at most 60,000 bytes of orders.
const MOST_BYTES: usize = 60_000;

/// What the module ordered at one time, and the number of the mark in it.
pub struct Reply {
    pub orders: Vec<Bytes>,
    pub mark: Option<amberarch_core::MarkId>,
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
}

pub struct Relay<D> {
    pub dial: D,
    pub host: String,
    pub connect_within: Duration,
    pub desk: mpsc::Sender<Heard>,
    pub counters: Rc<Counters>,
    pub log: Logger,
}

impl<D: Dial> Relay<D> {
    /// All that waits goes as one call, up to its size: fewer messages than the module counted,
    /// so what piled up while the relay was out of reach breaks no limit when it leaves at once.
    pub async fn run(self, mut replies: mpsc::Receiver<Reply>) {
        let mut line = None;
        let mut waiting: VecDeque<Bytes> = VecDeque::new();
        let mut marks = Vec::new();
        let seldom = Seldom::default();
        while let Some(reply) = replies.recv().await {
            waiting.extend(reply.orders);
            marks.extend(reply.mark);
            let mut again = false;
            while !waiting.is_empty() {
                while let Ok(reply) = replies.try_recv() {
                    waiting.extend(reply.orders);
                    marks.extend(reply.mark);
                }
                if again {
                    self.counters.calls_again.one();
                    // A repeat may be a further message to each proxy, and so may a reply's second part.
                    for mark in &marks {
                        drop(self.desk.send(Heard::Again { mark: *mark }).await);
                    }
                }
                let count = fitting(&waiting);
                let (done, pause) = match self.call(&mut line, &waiting, count).await {
                    Ok(()) => (count, false),
                    Err(CallFault::RefusedAfter(taken)) => {
                        let order =
                            waiting.get(taken).map(|order| String::from_utf8_lossy(order).into_owned());
                        warn!(self.log, "the relay refused an order"; "order" => order);
                        self.counters.calls_refused.one();
                        self.counters.orders_skipped.one();
                        (taken + 1, false)
                    }
                    Err(fault) => {
                        match &fault {
                            CallFault::Busy => self.counters.calls_busy.one(),
                            CallFault::Road(Fault::Unsure(_)) => self.counters.calls_unsure.one(),
                            _ => self.counters.calls_not_sent.one(),
                        }
                        if let Some(hidden) = seldom.pass() {
                            info!(self.log, "a call failed"; "how" => %fault, "hidden" => hidden);
                        }
                        line = if matches!(fault, CallFault::Busy) { line } else { None };
                        again = matches!(fault, CallFault::Road(Fault::Unsure(_)));
                        (0, !again)
                    }
                };
                again = if done > 0 { done < waiting.len() } else { again };
                waiting.drain(..done.min(waiting.len()));
                if pause {
                    sleep(ANSWER).await;
                }
            }
            marks.clear();
        }
    }

    /// One call with the first orders that wait. A connection that was closed while it stood idle
    /// is no fault of the relay: then the call goes on a new one.
    async fn call(
        &self,
        line: &mut Option<Line>,
        orders: &VecDeque<Bytes>,
        count: usize,
    ) -> Result<(), CallFault> {
        if !line.as_ref().is_some_and(Line::stands) {
            *line = None;
            *line = Some(Line::open(&self.dial, self.connect_within).await?);
        }
        let open = line.as_mut().ok_or(Fault::NotSent(String::new()))?;
        let mut body = Vec::from(&b"{\"changes\":["[..]);
        for (place, order) in orders.iter().take(count).enumerate() {
            body.extend_from_slice(if place > 0 { b"," } else { b"" });
            body.extend_from_slice(order);
        }
        body.extend_from_slice(b"]}");
        self.counters.calls.one();
        let (status, answer) = open.exchange(post("/txn", &self.host, body.into()), ANSWER).await?;
        let unreadable = || {
            let start = String::from_utf8_lossy(&answer[..answer.len().min(100)]).into_owned();
            Fault::Unsure(format!("an answer that can't be read: {status} {start}"))
        };
        let answer: Value = serde_json::from_slice(&answer).map_err(|_| unreadable())?;
        match answer["taken"].as_u64() {
            Some(taken) if taken as usize >= count => Ok(()),
            Some(taken) => Err(CallFault::RefusedAfter(taken as usize)),
            None if answer.to_string().contains("BUSY") => Err(CallFault::Busy),
            None => Err(unreadable().into()),
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
