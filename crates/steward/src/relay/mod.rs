//! Calls to the relay, one at a time and strictly in order.

mod fence;
mod queue;
mod signs;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{MarkId, Order, ProxyId};
use bytes::Bytes;
use serde::Deserialize;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use crate::counters::Seldom;
use crate::heard::{Encoded, Heard, Reply, Ruled, Ties};
use crate::http::{post, Dial, Fault, Kept};
use crate::spread::Spread;

pub use fence::{Gate, Gated};
use queue::{Doubt, Queue};
pub use signs::RelaySigns;

/// The protocol page: an answer comes within 50 ms or never. Between attempts as long is waited.
const ANSWER: Duration = Duration::from_millis(50);
/// A call that orders nothing: it writes to no proxy.
const NO_ORDERS: &[u8] = b"{\"changes\":[]}";

/// The protocol page: time limits wait 0.5 s where the relay breaks a call, 1.5 s where it falls silent or
/// can't be read. So long a repeat can wait, that what the first may have put into the channel leaves.
const AGAIN: Duration = Duration::from_millis(500);
const AGAIN_MOST: Duration = Duration::from_millis(1_500);
/// Between inquiries, at first and at the most: below what time limits wait for a call that nobody answers, and few enough
/// that a relay which holds 32 connections of a controller has room for those that a silence of 20 s leaves.
const INQUIRY: Duration = Duration::from_millis(300);
const INQUIRY_MOST: Duration = Duration::from_millis(1_000);

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

/// What came of a step towards the end of an unsure call.
enum Settled {
    /// Nothing is known yet.
    Open,
    /// The relay answers: the call goes again.
    Repeat,
    /// A proxy answered the call's mark.
    CarriedOut,
}

/// The pace of attempts while no call is answered.
struct Repeats {
    /// What the next repeat waits for before the relay is asked whether it answers.
    pause: Option<Duration>,
    next_pause: Duration,
    inquiry: Duration,
    /// When the call became unsure.
    since: Instant,
    seldom: Seldom,
}

impl Default for Repeats {
    fn default() -> Repeats {
        let (since, seldom) = (Instant::now(), Seldom::default());
        Repeats { pause: None, next_pause: AGAIN, inquiry: INQUIRY, since, seldom }
    }
}

impl Repeats {
    fn failed(&mut self) {
        self.pause = Some(self.next_pause);
        self.next_pause = AGAIN_MOST.min(2 * self.next_pause);
        self.inquiry = INQUIRY;
        self.since = Instant::now();
    }

    fn tell(&self, ties: &Ties, what: &'static str) {
        if let Some(hidden) = self.seldom.pass() {
            let after = self.since.elapsed().as_millis() as u64;
            info!(ties.log, "{what}", what = what; "after_ms" => after, "hidden" => hidden);
        }
    }

    fn next_inquiry(&mut self) -> Duration {
        let next = INQUIRY_MOST.min(self.inquiry.mul_f64(1.5));
        std::mem::replace(&mut self.inquiry, next)
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
    /// states, so a call that is carried out twice leaves what it left the first time. It is repeated once the relay
    /// answers an inquiry, and not at all where a proxy answers its mark. An answer may be
    /// spoilt: what it refuses is offered once more before it is given up, and the desk is told of that.
    ///
    /// With a fleet, what waits and was decided under what holds no more is dropped, and with it all that the same
    /// start of the decisions ordered and orders still: they start anew.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Reply>) {
        let mut queue = Queue::default();
        let mut refused = false;
        let seldom = Seldom::default();
        while let Some(reply) = self.next_reply(&mut replies).await {
            self.take(&mut queue, reply).await;
            let mut repeats = Repeats::default();
            if self.ties.signs.is_silent() {
                self.ties.signs.await_mark(None);
                queue.doubt = Some(Doubt::Silent);
                self.behind(&mut queue, true).await;
            }
            while !queue.waiting.is_empty() {
                while let Ok(reply) = replies.try_recv() {
                    self.take(&mut queue, reply).await;
                }
                if !self.gate.open() {
                    self.drop_waiting(&mut queue).await;
                    break;
                }
                if let Some(doubt) = queue.doubt {
                    let settled = self.settle(&mut repeats).await;
                    self.clear_up(&mut queue, doubt, settled, &repeats).await;
                    continue;
                }
                let count = queue.fitting();
                let together: Vec<MarkId> =
                    queue.waiting.iter().take(count).filter_map(|order| order.mark).collect();
                if together.len() > 1 {
                    drop(self.ties.desk.send(Heard::Together { marks: together }).await);
                }
                self.ties.signs.await_mark(queue.proof(count));
                let fault = match self.call(&queue.waiting, count).await {
                    Ok(()) => {
                        refused = false;
                        self.carried_out(&mut queue, count).await;
                        continue;
                    }
                    Err(fault) => fault,
                };
                let refused_it = matches!(fault, CallFault::RefusedAfter(_) | CallFault::Syntax);
                self.behind(&mut queue, !refused_it).await;
                if let Some(hidden) = seldom.pass() {
                    let at = match fault {
                        CallFault::RefusedAfter(taken) => queue.waiting.get(taken),
                        CallFault::Syntax => queue.waiting.front(),
                        _ => None,
                    };
                    let at = at.map(|order| String::from_utf8_lossy(&order.bytes));
                    warn!(self.ties.log, "a call failed"; "how" => %fault, "orders" => count,
                        "refused" => at.as_deref(), "hidden" => hidden);
                }
                match fault {
                    CallFault::RefusedAfter(taken) => {
                        self.ties.counters.calls_refused.one();
                        queue.taken(taken);
                        // Refused twice, each time as the first of what was left.
                        refused = !(refused && taken == 0);
                        if !refused {
                            self.give_up(queue.given_up(1)).await;
                        }
                        if taken > 0 {
                            self.parted(&queue).await;
                        }
                    }
                    CallFault::Syntax => {
                        self.ties.counters.calls_refused.one();
                        refused = !refused;
                        if !refused {
                            self.give_up(queue.given_up(count)).await;
                        }
                        sleep(ANSWER).await;
                    }
                    CallFault::Busy => {
                        self.ties.counters.calls_busy.one();
                        sleep(ANSWER).await;
                    }
                    CallFault::Road(Fault::NotSent(_) | Fault::NoMeans(_) | Fault::InPart(_)) => {
                        self.ties.counters.calls_not_sent.one();
                        sleep(self.spread.of(ANSWER)).await;
                    }
                    CallFault::Road(Fault::Unsure(_) | Fault::CutOff(_) | Fault::Silent(_)) => {
                        self.ties.counters.calls_unsure.one();
                        queue.doubt = Some(Doubt::Unsure(count));
                        repeats.failed();
                    }
                }
            }
            // Also where what waited was given up or dropped.
            self.behind(&mut queue, false).await;
        }
    }

    /// The next reply of the decisions. While none comes and the watch is silent, the relay is asked whether it answers
    /// calls, until it does.
    async fn next_reply(&mut self, replies: &mut mpsc::Receiver<Reply>) -> Option<Reply> {
        let signs = self.ties.signs.clone();
        let mut pace = Repeats::default();
        loop {
            tokio::select! {
                biased;
                reply = replies.recv() => return reply,
                () = signs.silence() => {}
            }
            // A reply that comes meanwhile waits for an answer in any case.
            let answered = self.inquire().await.is_ok();
            let wait = if answered { INQUIRY_MOST } else { pace.next_inquiry() };
            tokio::select! {
                biased;
                reply = replies.recv() => return reply,
                () = sleep(self.spread.of(wait)) => {}
                () = signs.speaks() => {}
            }
        }
    }

    /// What became of the doubt that kept the next call back.
    async fn clear_up(&self, queue: &mut Queue, doubt: Doubt, settled: Settled, repeats: &Repeats) {
        match (doubt, settled) {
            (_, Settled::Open) => {}
            (Doubt::Unsure(count), Settled::CarriedOut) => {
                self.ties.counters.calls_proven.one();
                repeats.tell(&self.ties, "a proxy answered the unsure call's mark");
                self.carried_out(queue, count).await;
            }
            (Doubt::Unsure(count), Settled::Repeat) => {
                repeats.tell(&self.ties, "the relay answers, the unsure call goes again");
                self.again(&queue.marks(count)).await;
                queue.doubt = None;
            }
            (Doubt::Silent, Settled::CarriedOut | Settled::Repeat) => queue.doubt = None,
        }
    }

    /// The first orders were carried out.
    async fn carried_out(&self, queue: &mut Queue, count: usize) {
        queue.doubt = None;
        queue.taken(count);
        self.behind(queue, false).await;
        self.parted(queue).await;
        let place = self.gate.ruled.get().place;
        if queue.waiting.is_empty() && place > 0 {
            drop(self.ties.desk.send(Heard::Answered { place }).await);
        }
    }

    /// Tells, where it changes, whether calls get through.
    async fn behind(&self, queue: &mut Queue, on: bool) {
        if std::mem::replace(&mut queue.behind, on) != on {
            drop(self.ties.desk.send(Heard::Behind { on }).await);
        }
    }

    /// One step towards knowing what to do about an unsure call: the pause before its repeat, or an inquiry whether the relay
    /// answers at all. Guards against a copy of the call for each attempt while the relay is silent: each may be carried
    /// out, so each counts as lines that wait, and drains stood behind them for ten seconds after the relay was back.
    async fn settle(&mut self, repeats: &mut Repeats) -> Settled {
        let signs = self.ties.signs.clone();
        let inquired = async {
            if let Some(pause) = repeats.pause.take() {
                sleep(self.spread.of(pause)).await;
            }
            let asked = Instant::now();
            let wait = match self.inquire().await {
                Ok(()) => return Settled::Repeat,
                // Nothing of it is left at the relay.
                Err(Fault::NotSent(_) | Fault::NoMeans(_)) => ANSWER,
                Err(_) => repeats.next_inquiry(),
            };
            let wait = self.spread.of(wait);
            tokio::select! {
                () = sleep_until(asked + wait) => {}
                () = signs.speaks() => sleep_until(asked + ANSWER).await,
            }
            Settled::Open
        };
        tokio::select! {
            biased;
            () = signs.mark_answered() => Settled::CarriedOut,
            settled = inquired => settled,
        }
    }

    /// Sends a call that orders nothing; the relay answers it, whatever it says.
    async fn inquire(&mut self) -> Result<(), Fault> {
        self.ties.counters.inquiries.one();
        let request = |to| post("/txn", to, Bytes::from_static(NO_ORDERS));
        self.line.exchange(request, ANSWER).await.map(drop)
    }

    /// One more reply. What waits and was decided under something else can't be written any more.
    async fn take(&self, queue: &mut Queue, reply: Reply) {
        let Reply { orders, ruled, .. } = reply;
        if !queue.waiting.is_empty() && self.gate.ruled.get().under != ruled.under {
            self.drop_waiting(queue).await;
        }
        if queue.over.is_some_and(|life| ruled.life <= life) {
            return self.fenced(ruled, orders.into_iter()).await;
        }
        self.gate.ruled.set(ruled);
        queue.waiting.extend(orders);
    }

    async fn drop_waiting(&self, queue: &mut Queue) {
        let ruled = self.gate.ruled.get();
        queue.over = queue.over.max(Some(ruled.life));
        self.ties.counters.fenced_calls.one();
        self.fenced(ruled, queue.dropped().into_iter()).await;
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

    /// Tells of a further message to the proxies of the reply of which a part was taken. Guards against lines that count twice
    /// where they go once: with a copy of the whole reply for each order that was refused, 4,477 lines were taken to wait in a
    /// channel that holds 2,086, and nothing was sent until an answer came.
    async fn parted(&self, queue: &Queue) {
        if let Some(mark) = queue.straddling() {
            self.ties.counters.messages_again.one();
            drop(self.ties.desk.send(Heard::Parted { mark }).await);
        }
    }

    /// Tells of replies that may have been carried out and go again.
    async fn again(&self, marks: &[MarkId]) {
        for mark in marks {
            self.ties.counters.messages_again.one();
            drop(self.ties.desk.send(Heard::Again { mark: *mark }).await);
        }
    }

    /// Tells of orders that are not carried out: otherwise the module goes on as if they had been.
    async fn give_up(&self, orders: Vec<Encoded>) {
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
