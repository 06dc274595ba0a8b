//! Sends orders to the relay as HTTP calls, one at a time and strictly in order.

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
use crate::heard::{DecidedUnder, Encoded, Heard, Reply, Ties};
use crate::http::{post, Dial, Fault, Kept};
use crate::spread::Spread;

pub use fence::{Gate, Gated};
use queue::{BlockedBy, Queue};
pub use signs::RelaySigns;

/// By the protocol page an answer comes within this time or never. It is also the pause between attempts.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// The body of an inquiry: a call without orders, which writes to no proxy.
const NO_ORDERS: &[u8] = b"{\"changes\":[]}";

/// First and longest pause before a call of unknown outcome is repeated. The protocol page's time limits allow 0.5 s where
/// the relay breaks a call off, and 1.5 s where it falls silent or its answer can't be read. During the pause the messages
/// that the first attempt may have put into the channel leave it.
const REPEAT_DELAY: Duration = Duration::from_millis(500);
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(1_500);
/// First and longest pause between inquiries: below what the time limits allow for an unanswered call, and long enough
/// that a relay which holds 32 connections of a controller has room for those that a silence of 20 s leaves open.
const FIRST_INQUIRY_INTERVAL: Duration = Duration::from_millis(300);
const MAX_INQUIRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The answer to a call; one of another type, or with neither field, counts as unreadable.
#[derive(Deserialize)]
struct Answer {
    taken: Option<usize>,
    error: Option<String>,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum CallFault {
    #[error(transparent)]
    Transport(#[from] Fault),
    #[error("the relay is busy")]
    Busy,
    #[error("refused after {0} orders")]
    RefusedAfter(usize),
    #[error("refused as a whole")]
    Syntax,
}

/// Result of one step of resolving a call of unknown outcome.
enum Resolution {
    /// Nothing is known yet.
    Pending,
    /// The relay answers inquiries: the call is sent again.
    Repeat,
    /// A proxy answered the call's mark, so the call was carried out.
    CarriedOut,
}

/// Backoff between attempts while no call is answered.
struct Backoff {
    /// The pause of the next repeat before an inquiry is sent.
    pause: Option<Duration>,
    next_pause: Duration,
    inquiry: Duration,
    /// When the outcome of the call became unknown.
    since: Instant,
    seldom: Seldom,
}

impl Default for Backoff {
    fn default() -> Backoff {
        let (since, seldom) = (Instant::now(), Seldom::default());
        Backoff { pause: None, next_pause: REPEAT_DELAY, inquiry: FIRST_INQUIRY_INTERVAL, since, seldom }
    }
}

impl Backoff {
    fn failed(&mut self) {
        self.pause = Some(self.next_pause);
        self.next_pause = MAX_REPEAT_DELAY.min(2 * self.next_pause);
        self.inquiry = FIRST_INQUIRY_INTERVAL;
        self.since = Instant::now();
    }

    fn tell(&self, ties: &Ties, what: &'static str) {
        if let Some(hidden) = self.seldom.pass() {
            let after = self.since.elapsed().as_millis() as u64;
            info!(ties.log, "{what}", what = what; "after_ms" => after, "hidden" => hidden);
        }
    }

    fn next_inquiry(&mut self) -> Duration {
        let next = MAX_INQUIRY_INTERVAL.min(self.inquiry.mul_f64(1.5));
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
    /// Sends calls until the event loop ends. All waiting orders go as one call, up to the size limit of a call. That is
    /// fewer messages than the controller counted, so a backlog from the time when the relay was unreachable breaks no
    /// limit when it is sent at once. Before the call the event loop is told which replies are merged in it, since a
    /// proxy's answer to a mark then says nothing about the other proxies' messages.
    ///
    /// A call of unknown outcome is repeated whole before any later call. Orders are idempotent: carrying a call out
    /// twice has the same result as once. It is repeated once the relay answers an inquiry, and not at all if a proxy
    /// answers its mark. As an answer may be corrupted, a refused order is sent once more before it is given up, and the
    /// event loop is told if it is.
    ///
    /// With a fleet, waiting orders that were decided under a lease or stage that is no longer in force are dropped,
    /// together with all other orders of the same incarnation of the controller, which is restarted.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Reply>) {
        let mut queue = Queue::default();
        while let Some(reply) = self.next_reply(&mut replies).await {
            self.take(&mut queue, reply).await;
            let mut backoff = Backoff::default();
            if self.ties.signs.is_silent() {
                self.ties.signs.await_mark(None);
                queue.blocked_by = Some(BlockedBy::Silent);
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
                if let Some(blocked_by) = queue.blocked_by {
                    let resolution = self.resolve(&mut backoff).await;
                    self.apply_resolution(&mut queue, blocked_by, resolution, &backoff).await;
                } else {
                    self.send_next_call(&mut queue, &mut backoff).await;
                }
            }
            // Also reached when the waiting orders were given up or dropped.
            self.behind(&mut queue, false).await;
        }
    }

    /// Sends as many waiting orders as fit into a call.
    async fn send_next_call(&mut self, queue: &mut Queue, backoff: &mut Backoff) {
        let count = queue.fitting();
        let together: Vec<MarkId> = queue.waiting.iter().take(count).filter_map(|order| order.mark).collect();
        if together.len() > 1 {
            drop(self.ties.desk.send(Heard::Together { marks: together }).await);
        }
        self.ties.signs.await_mark(queue.proof(count));
        match self.call(&queue.waiting, count).await {
            Ok(()) => {
                queue.refused_once = false;
                self.carried_out(queue, count).await;
            }
            Err(fault) => {
                let is_refusal = matches!(fault, CallFault::RefusedAfter(_) | CallFault::Syntax);
                self.behind(queue, !is_refusal).await;
                self.log_fault(queue, count, &fault);
                self.handle_fault(queue, count, fault, backoff).await;
            }
        }
    }

    fn log_fault(&self, queue: &Queue, count: usize, fault: &CallFault) {
        let Some(hidden) = queue.faults_logged.pass() else { return };
        let refused = match fault {
            CallFault::RefusedAfter(taken) => queue.waiting.get(*taken),
            CallFault::Syntax => queue.waiting.front(),
            _ => None,
        };
        let refused = refused.map(|order| String::from_utf8_lossy(&order.bytes));
        warn!(self.ties.log, "a call to the relay failed"; "how" => %fault, "orders" => count,
            "refused" => refused.as_deref(), "hidden" => hidden);
    }

    /// Gives up what the relay has refused twice, and waits before the next attempt where that is due.
    async fn handle_fault(
        &mut self,
        queue: &mut Queue,
        count: usize,
        fault: CallFault,
        backoff: &mut Backoff,
    ) {
        match fault {
            CallFault::RefusedAfter(taken) => {
                self.ties.counters.calls_refused.one();
                queue.taken(taken);
                // Refused twice, each time as the first order that was left.
                queue.refused_once = !(queue.refused_once && taken == 0);
                if !queue.refused_once {
                    self.give_up(queue.given_up(1)).await;
                }
                if taken > 0 {
                    self.parted(queue).await;
                }
            }
            CallFault::Syntax => {
                self.ties.counters.calls_refused.one();
                queue.refused_once = !queue.refused_once;
                if !queue.refused_once {
                    self.give_up(queue.given_up(count)).await;
                }
                sleep(ANSWER_TIMEOUT).await;
            }
            CallFault::Busy => {
                self.ties.counters.calls_busy.one();
                sleep(ANSWER_TIMEOUT).await;
            }
            CallFault::Transport(Fault::NotSent(_) | Fault::LocalFailure(_) | Fault::PartlySent(_)) => {
                self.ties.counters.calls_not_sent.one();
                sleep(self.spread.of(ANSWER_TIMEOUT)).await;
            }
            CallFault::Transport(Fault::Unsure(_) | Fault::AnswerTruncated(_) | Fault::Silent(_)) => {
                self.ties.counters.calls_unsure.one();
                queue.blocked_by = Some(BlockedBy::Unsure(count));
                backoff.failed();
            }
        }
    }

    /// The controller's next reply. While there is none and the watch is silent, inquiries are sent until the relay answers.
    async fn next_reply(&mut self, replies: &mut mpsc::Receiver<Reply>) -> Option<Reply> {
        let signs = self.ties.signs.clone();
        let mut pace = Backoff::default();
        loop {
            tokio::select! {
                biased;
                reply = replies.recv() => return reply,
                () = signs.silence() => {}
            }
            // A reply that arrives meanwhile has to wait for an answer in any case.
            let answered = self.inquire().await.is_ok();
            let wait = if answered { MAX_INQUIRY_INTERVAL } else { pace.next_inquiry() };
            tokio::select! {
                biased;
                reply = replies.recv() => return reply,
                () = sleep(self.spread.of(wait)) => {}
                () = signs.speaks() => {}
            }
        }
    }

    /// Applies the result of a step to whatever held back the next call.
    async fn apply_resolution(
        &self,
        queue: &mut Queue,
        blocked_by: BlockedBy,
        resolution: Resolution,
        backoff: &Backoff,
    ) {
        match (blocked_by, resolution) {
            (_, Resolution::Pending) => {}
            (BlockedBy::Unsure(count), Resolution::CarriedOut) => {
                self.ties.counters.calls_proven.one();
                backoff
                    .tell(&self.ties, "a proxy answered the mark of the unsure call, so it was carried out");
                self.carried_out(queue, count).await;
            }
            (BlockedBy::Unsure(count), Resolution::Repeat) => {
                backoff.tell(&self.ties, "the relay answers inquiries; repeating the unsure call");
                self.again(&queue.marks(count)).await;
                queue.blocked_by = None;
            }
            (BlockedBy::Silent, Resolution::CarriedOut | Resolution::Repeat) => queue.blocked_by = None,
        }
    }

    /// Records that the first orders were carried out.
    async fn carried_out(&self, queue: &mut Queue, count: usize) {
        queue.blocked_by = None;
        queue.taken(count);
        self.behind(queue, false).await;
        self.parted(queue).await;
        let place = self.gate.ruled.get().place;
        if queue.waiting.is_empty() && place > 0 {
            drop(self.ties.desk.send(Heard::Answered { place }).await);
        }
    }

    /// Reports to the event loop when it changes whether calls reach the relay.
    async fn behind(&self, queue: &mut Queue, on: bool) {
        if std::mem::replace(&mut queue.behind, on) != on {
            drop(self.ties.desk.send(Heard::RelayDelayed { on }).await);
        }
    }

    /// One step of resolving a call of unknown outcome: the pause before its repeat, then an inquiry whether the relay
    /// answers at all. Without inquiries each attempt while the relay is silent would be another copy of the call. Each
    /// copy may be carried out and counts as waiting lines; drains were delayed behind them for ten seconds after the
    /// relay was back.
    async fn resolve(&mut self, backoff: &mut Backoff) -> Resolution {
        let signs = self.ties.signs.clone();
        let inquired = async {
            if let Some(pause) = backoff.pause.take() {
                sleep(self.spread.of(pause)).await;
            }
            let asked = Instant::now();
            let wait = match self.inquire().await {
                Ok(()) => return Resolution::Repeat,
                // The inquiry left nothing at the relay.
                Err(Fault::NotSent(_) | Fault::LocalFailure(_)) => ANSWER_TIMEOUT,
                Err(_) => backoff.next_inquiry(),
            };
            let wait = self.spread.of(wait);
            tokio::select! {
                () = sleep_until(asked + wait) => {}
                () = signs.speaks() => sleep_until(asked + ANSWER_TIMEOUT).await,
            }
            Resolution::Pending
        };
        tokio::select! {
            biased;
            () = signs.mark_answered() => Resolution::CarriedOut,
            resolution = inquired => resolution,
        }
    }

    /// Sends a call without orders; any answer of the relay will do.
    async fn inquire(&mut self) -> Result<(), Fault> {
        self.ties.counters.inquiries.one();
        let request = |to| post("/txn", to, Bytes::from_static(NO_ORDERS));
        self.line.exchange(request, ANSWER_TIMEOUT).await.map(drop)
    }

    /// Adds a reply to the queue. Waiting orders that were decided under another lease can no longer be written.
    async fn take(&self, queue: &mut Queue, reply: Reply) {
        let Reply { orders, ruled, .. } = reply;
        if !queue.waiting.is_empty() && self.gate.ruled.get().under != ruled.under {
            self.drop_waiting(queue).await;
        }
        if queue.dropped_incarnation.is_some_and(|incarnation| ruled.incarnation <= incarnation) {
            return self.fenced(ruled, orders.into_iter()).await;
        }
        self.gate.ruled.set(ruled);
        queue.waiting.extend(orders);
    }

    async fn drop_waiting(&self, queue: &mut Queue) {
        let ruled = self.gate.ruled.get();
        queue.dropped_incarnation = queue.dropped_incarnation.max(Some(ruled.incarnation));
        self.ties.counters.fenced_calls.one();
        self.fenced(ruled, queue.dropped().into_iter()).await;
    }

    /// Reports orders that are not written, and then that nothing up to that place will be written: where no proxy is left
    /// to answer a mark, nothing else would show it.
    async fn fenced(&self, ruled: DecidedUnder, orders: impl Iterator<Item = Encoded>) {
        let orders: Vec<Order> = orders.filter_map(|order| order.order).collect();
        self.ties.counters.fenced_orders.more(orders.len());
        let DecidedUnder { incarnation, place, .. } = ruled;
        drop(self.ties.desk.send(Heard::Fenced { incarnation, orders }).await);
        if place > 0 {
            drop(self.ties.desk.send(Heard::Answered { place }).await);
        }
    }

    /// Reports that a reply of which a part was taken needs one more message to its proxies. If each refused order counted
    /// as a copy of the whole reply, lines that are sent once would count twice: 4,477 lines were then assumed to wait in
    /// a channel that holds 2,086, and nothing was sent until an answer came.
    async fn parted(&self, queue: &Queue) {
        if let Some(mark) = queue.straddling() {
            self.ties.counters.messages_again.one();
            drop(self.ties.desk.send(Heard::CallSplit { mark }).await);
        }
    }

    /// Reports replies that may have been carried out and are sent again.
    async fn again(&self, marks: &[MarkId]) {
        for mark in marks {
            self.ties.counters.messages_again.one();
            drop(self.ties.desk.send(Heard::CallDuplicated { mark: *mark }).await);
        }
    }

    /// Reports orders that are not carried out; otherwise the controller would assume that they were.
    async fn give_up(&self, orders: Vec<Encoded>) {
        let mut told: Vec<(Option<ProxyId>, Vec<Order>)> = Vec::new();
        for Encoded { binds, order, .. } in orders {
            self.ties.counters.orders_skipped.one();
            // Successive orders for the same proxy, or without one, are reported together.
            match told.last_mut().filter(|last| last.0 == binds) {
                Some((_, same)) => same.extend(order),
                None => told.push((binds, order.into_iter().collect())),
            }
        }
        for (binds, orders) in told {
            drop(self.ties.desk.send(Heard::OrdersRefused { binds, orders }).await);
        }
    }

    /// Sends one call with the first `count` waiting orders.
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
        let (status, answer) = self.line.exchange(request, ANSWER_TIMEOUT).await?;
        let answer = serde_json::from_slice(&answer).unwrap_or(Answer { taken: None, error: None });
        match (answer.taken, answer.error.as_deref()) {
            (Some(taken), None) if taken == count => Ok(()),
            (Some(taken), _) if taken < count => Err(CallFault::RefusedAfter(taken)),
            (None, Some("BUSY")) => Err(CallFault::Busy),
            (None, Some("SYNTAX")) => Err(CallFault::Syntax),
            _ => {
                self.line.hang_up();
                Err(Fault::Unsure(format!("unreadable answer with status {status}")).into())
            }
        }
    }
}
