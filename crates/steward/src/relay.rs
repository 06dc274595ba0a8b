//! Calls to the relay, one at a time and strictly in order.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use amberarch_core::{MarkId, Order, ProxyId};
use amberarch_fleet::{machine_ns, Fence, History};
use bytes::Bytes;
use serde::Deserialize;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::Seldom;
use crate::heard::{Encoded, Heard, Reply, Ruled, Ties};
use crate::http::{post, Dial, Fault, Kept, Watch, Watched};
use crate::spread::Spread;

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

/// Looks at what holds directly before each write, so that what was decided under a lease that is over, or under an
/// older stage, does not leave. Without a fleet all may go out.
#[derive(Default)]
pub struct Gate {
    fence: Option<Arc<Fence>>,
    history: Option<Arc<History>>,
    ruled: Cell<Ruled>,
}

impl Gate {
    pub fn new(fence: Arc<Fence>, history: Option<Arc<History>>) -> Gate {
        Gate { fence: Some(fence), history, ..Gate::default() }
    }

    fn open(&self) -> bool {
        self.fence.as_ref().is_none_or(|fence| fence.open(self.ruled.get().under))
    }
}

impl Watch for Rc<Gate> {
    /// When the write began, where a history is kept.
    type Look = Option<u64>;
    fn look(&self) -> io::Result<Option<u64>> {
        let began = self.history.is_some().then(machine_ns);
        match self.open() {
            true => Ok(began),
            false => Err(io::Error::other("what it was decided under holds no more")),
        }
    }
    fn wrote(&self, began: Option<u64>, _: usize) {
        let stage = self.ruled.get().stage;
        if let Some(((history, stage), began)) = self.history.as_ref().zip(stage).zip(began) {
            history.wrote(stage, began);
        }
    }
}

/// Connections whose every write goes through the gate.
pub struct Gated<D> {
    pub dial: D,
    pub gate: Rc<Gate>,
}

impl<D: Dial> Dial for Gated<D> {
    type Stream = Watched<D::Stream, Rc<Gate>>;
    async fn dial(&self, to: SocketAddr) -> io::Result<Self::Stream> {
        Ok(Watched { stream: self.dial.dial(to).await?, watch: self.gate.clone() })
    }
}

pub struct Relay<D> {
    pub line: Kept<D>,
    pub gate: Rc<Gate>,
    /// Spreads the pauses between attempts.
    pub spread: Spread,
    pub ties: Ties,
}

impl<D: Dial> Relay<D> {
    /// Sends call after call, for good. All that waits goes as one call, up to its size: that is fewer
    /// messages than the module counted, so what piled up while the relay was out of reach breaks no
    /// limit when it leaves at once. Ahead of it the desk hears which replies go together, since a proxy's answer
    /// to a mark then says nothing of the other proxies' messages. An unsure call is repeated whole before anything later: orders set
    /// states, so a call that is carried out twice leaves what it left the first time. An answer may be
    /// spoilt: what it refuses is offered once more before it is given up, and the desk is told of that.
    ///
    /// With a fleet, what waits and was decided under what holds no more is dropped, and with it all that the same
    /// start of the decisions ordered and orders still: they start anew.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Reply>) {
        let mut queue = Queue::default();
        let mut refused = false;
        let seldom = Seldom::default();
        while let Some(reply) = replies.recv().await {
            self.take(&mut queue, reply).await;
            let mut pause = AGAIN;
            while !queue.waiting.is_empty() {
                while let Ok(reply) = replies.try_recv() {
                    self.take(&mut queue, reply).await;
                }
                if !self.gate.open() {
                    self.drop_waiting(&mut queue).await;
                    break;
                }
                let Queue { waiting, marks, .. } = &mut queue;
                let count = fitting(waiting);
                let together: Vec<MarkId> =
                    waiting.iter().take(count).filter_map(|order| order.mark).collect();
                if together.len() > 1 {
                    drop(self.ties.desk.send(Heard::Together { marks: together }).await);
                }
                let fault = match self.call(waiting, count).await {
                    Ok(()) => {
                        refused = false;
                        waiting.drain(..count);
                        self.again(marks, !waiting.is_empty()).await;
                        let place = self.gate.ruled.get().place;
                        if waiting.is_empty() && place > 0 {
                            drop(self.ties.desk.send(Heard::Answered { place }).await);
                        }
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
                        self.again(marks, !waiting.is_empty()).await;
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
                    CallFault::Road(Fault::NotSent(_) | Fault::InPart(_)) => {
                        self.ties.counters.calls_not_sent.one();
                        sleep(self.spread.of(ANSWER)).await;
                    }
                    CallFault::Road(Fault::Unsure(_) | Fault::CutOff(_) | Fault::Silent(_)) => {
                        self.ties.counters.calls_unsure.one();
                        sleep(self.spread.of(pause)).await;
                        pause = AGAIN_MOST.min(2 * pause);
                        self.again(marks, true).await;
                    }
                }
            }
            queue.marks.clear();
        }
    }

    /// One more reply. What waits and was decided under something else can't be written any more.
    async fn take(&self, queue: &mut Queue, reply: Reply) {
        let Reply { orders, mark, ruled } = reply;
        if !queue.waiting.is_empty() && self.gate.ruled.get().under != ruled.under {
            self.drop_waiting(queue).await;
        }
        if queue.over.is_some_and(|life| ruled.life <= life) {
            return self.fenced(ruled, orders.into_iter()).await;
        }
        self.gate.ruled.set(ruled);
        queue.waiting.extend(orders);
        queue.marks.extend(mark);
    }

    async fn drop_waiting(&self, queue: &mut Queue) {
        let ruled = self.gate.ruled.get();
        queue.over = queue.over.max(Some(ruled.life));
        queue.marks.clear();
        self.ties.counters.fenced_calls.one();
        self.fenced(ruled, queue.waiting.drain(..)).await;
    }

    /// Tells of what is not written, and then that nothing up to there will be: where no proxy is left to answer a
    /// mark, nobody else would know.
    async fn fenced(&self, ruled: Ruled, orders: impl Iterator<Item = Encoded>) {
        let orders: Vec<Order> = orders.filter_map(|order| order.order).collect();
        self.ties.counters.fenced_orders.more(orders.len());
        let Ruled { life, place, .. } = ruled;
        drop(self.ties.desk.send(Heard::Fenced { life, orders }).await);
        if place > 0 {
            drop(self.ties.desk.send(Heard::Answered { place }).await);
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
        let mut told: Vec<(Option<ProxyId>, Vec<Order>)> = Vec::new();
        for Encoded { binds, order, .. } in orders {
            self.ties.counters.orders_skipped.one();
            // Of those that bind nobody one is told for all.
            match told.last_mut().filter(|last| last.0 == binds) {
                Some((_, same)) => same.extend(order),
                None => told.push((binds, order.into_iter().collect())),
            }
        }
        for (binds, orders) in told {
            drop(self.ties.desk.send(Heard::NotTaken { binds, orders }).await);
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

/// What waits.
#[derive(Default)]
struct Queue {
    waiting: VecDeque<Encoded>,
    marks: Vec<MarkId>,
    /// The last start of the decisions of which something was dropped; the desk starts them anew.
    over: Option<u64>,
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
