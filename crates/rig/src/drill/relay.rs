//! Stand-in for the relay of a drill's controller. Orders from calls go into a channel that sends a limited number of
//! lines a second to the proxies, and the watch reports joins and acknowledged marks. During planned periods the relay is
//! silent towards the controller or fails its calls.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{ClassId, HostId, Order, ProxyId};
use amberarch_emulator::{Message, Relay as Channel};
use amberarch_histories::What;
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, Instant};

use super::door::{Endpoint, EndpointWatch};
use super::http::{read, reply, Request};
use super::proxies::Proxies;
use super::settings::{Addresses, Settings, CLASSES};
use super::trace::{Step, Trace};
use super::traffic::Traffic;
use super::{
    CallFault, FailedCalls, LostMarks, Move, Recorder, Silence, SilenceEnds, SilentCalls, CONTROLLER,
};
use crate::address::Block;
use crate::hosts::Host;
use crate::pen::now_ns;
use crate::wire::{read_order, Names};
use crate::Fault;

/// The protocol suspends time limits for this long after the relay leaves a call unanswered or answers it with an invalid
/// response (`CALL_SILENT`), breaks off a call (`CALL_BROKEN`), or breaks off the only watch (`WATCH_BROKEN`).
const CALL_SILENT: Duration = Duration::from_millis(1_500);
const CALL_BROKEN: Duration = Duration::from_millis(500);
/// Delay of a late response; the protocol allows 50 ms.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(120);
const WATCH_BROKEN: Duration = Duration::from_secs(4);
const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// All proxies join within this time.
const JOINS_WITHIN: Duration = Duration::from_millis(500);

/// State of the relay's connections to its controller.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Link {
    /// Set while the relay is silent.
    silent: Option<SilentCalls>,
    /// Connections of an earlier epoch are reset.
    epoch: u32,
}

/// A message on its way to a proxy.
struct InFlight {
    /// The number of the proxy's stream that it was sent on. A message for an earlier stream is lost.
    stream: u32,
    message: Message,
    /// When the call that caused it was carried out.
    sent_ns: u64,
}

pub struct Relay {
    settings: Settings,
    hosts: Vec<String>,
    channel: RefCell<Channel>,
    proxies: Rc<Proxies>,
    link: watch::Sender<Link>,
    readers: RefCell<Vec<mpsc::UnboundedSender<String>>>,
    joined: RefCell<Vec<ProxyId>>,
    in_flight: RefCell<VecDeque<InFlight>>,
    streams: RefCell<BTreeMap<ProxyId, u32>>,
    sent: Notify,
    start: Cell<Instant>,
    silent_calls: Cell<u64>,
    drops_acks: Cell<bool>,
    failing: Cell<Option<CallFault>>,
    orders: Cell<u64>,
    passed: RefCell<Vec<String>>,
    calls: RefCell<Vec<String>>,
    trace: RefCell<Trace>,
    door: RefCell<Option<Endpoint>>,
    /// The controller process runs and proxies may join it.
    has_controller: Cell<bool>,
    recorder: Recorder,
}

impl Relay {
    /// # Errors
    /// Fails if it can't listen on its address.
    pub async fn start(
        block: &Block,
        settings: &Settings,
        hosts: &[Rc<Host>],
        proxies: Rc<Proxies>,
        recorder: Recorder,
    ) -> Result<Rc<Relay>, Fault> {
        let relay = Rc::new(Relay {
            settings: settings.clone(),
            hosts: hosts.iter().map(|host| host.name.clone()).collect(),
            channel: RefCell::new(Channel::new(settings.channel.clone(), CLASSES.len() as u16)),
            proxies,
            link: watch::Sender::new(Link { silent: None, epoch: 0 }),
            readers: RefCell::default(),
            joined: RefCell::default(),
            in_flight: RefCell::default(),
            streams: RefCell::default(),
            sent: Notify::new(),
            start: Cell::new(Instant::now()),
            silent_calls: Cell::new(0),
            drops_acks: Cell::new(false),
            failing: Cell::new(None),
            orders: Cell::new(0),
            passed: RefCell::default(),
            calls: RefCell::default(),
            trace: RefCell::default(),
            door: RefCell::default(),
            has_controller: Cell::new(false),
            recorder,
        });
        relay.clone().move_to(block.relay_at(Addresses::First)).await?;
        spawn_local(relay.clone().deliver());
        Ok(relay)
    }

    /// Listens at `to` from now on and leaves the former address.
    ///
    /// # Errors
    /// Fails if it can't listen on the address.
    pub async fn move_to(self: Rc<Relay>, to: SocketAddr) -> Result<(), Fault> {
        let relay = self.clone();
        let door = Endpoint::open(to, move |stream, door| {
            spawn_local(relay.clone().serve(stream, door));
        });
        let before = self.door.replace(Some(door.await?));
        if let Some(before) = before {
            before.leave().await;
        }
        Ok(())
    }

    /// The largest number of queued lines, the exceeded channel limits, and the number of accepted orders.
    pub fn limits(&self) -> (f64, Vec<String>, u64) {
        (self.channel.borrow().most, self.passed.borrow().clone(), self.orders.get())
    }

    /// One description per call: its time, its orders by kind, and how the relay handled it.
    pub fn calls(&self) -> Vec<String> {
        self.calls.borrow().clone()
    }

    pub fn proxies(&self) -> Rc<Proxies> {
        self.proxies.clone()
    }

    /// The trace of orders and proxies.
    pub fn take_trace(&self) -> Trace {
        self.trace.take()
    }

    fn trace_call(&self, order: &Value, outcome: &str) {
        let at = self.now();
        let outcome = outcome.to_string();
        match read_order(order, self) {
            Some(Order::Bind { proxy, table, .. }) => {
                self.trace.borrow_mut().record(at, Some(proxy), Step::BindCalled { table, outcome });
            }
            Some(Order::Withdraw { host, withdrawn: true }) => {
                self.trace.borrow_mut().record(at, None, Step::WithdrawCalled { host, outcome });
            }
            _ => {}
        }
    }

    fn record_call(&self, body: &[u8], done: &str) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return };
        let mut kinds = BTreeMap::<String, usize>::new();
        let changes = call["changes"].as_array().cloned().unwrap_or_default();
        for order in &changes {
            self.trace_call(order, done);
            let op = order["op"].as_str().unwrap_or("?");
            let host = order["server"].as_str().filter(|_| op == "withdraw" || op == "restore").unwrap_or("");
            *kinds.entry(format!("{op} {host}")).or_default() += 1;
        }
        let waits = self.channel.borrow().waits(self.now());
        let line = format!("{:.0} ms: {done}, {waits:.0} lines wait, {kinds:?}", self.now());
        self.calls.borrow_mut().push(line);
    }

    /// All proxies join within half a second, without any ordered table.
    pub fn join_all(self: &Rc<Relay>, start: Instant) {
        self.all_join(start, true);
    }

    /// All proxies join a restarted process within half a second, with the tables that they hold.
    pub fn join_again(self: &Rc<Relay>, start: Instant) {
        let mut channel = Channel::new(self.settings.channel.clone(), CLASSES.len() as u16);
        channel.most = self.channel.borrow().most;
        self.channel.replace(channel);
        self.all_join(start, false);
    }

    fn all_join(self: &Rc<Relay>, start: Instant, fresh: bool) {
        self.has_controller.set(true);
        let (relay, count) = (self.clone(), self.settings.proxies);
        spawn_local(async move {
            for number in 0..count {
                sleep_until(start + JOINS_WITHIN * u32::from(number) / u32::from(count)).await;
                let proxy = ProxyId(number);
                if !fresh && !relay.joined.borrow().contains(&proxy) {
                    relay.proxies.prepare_rejoin(proxy, false);
                }
                relay.join(proxy, fresh);
            }
        });
    }

    /// The proxy joins, unless there is no controller or it has joined already.
    fn join(&self, proxy: ProxyId, fresh: bool) {
        if !self.has_controller.get() || self.joined.borrow().contains(&proxy) {
            return;
        }
        self.channel.borrow_mut().join(proxy);
        self.joined.borrow_mut().push(proxy);
        self.proxies.join(proxy);
        self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Joined { fresh });
        self.broadcast(self.subscribe_line(proxy, fresh));
    }

    /// The proxy leaves. Returns false if it had not joined.
    fn leave(&self, proxy: ProxyId) -> bool {
        if !self.joined.borrow().contains(&proxy) {
            return false;
        }
        self.joined.borrow_mut().retain(|other| *other != proxy);
        self.channel.borrow_mut().leave(proxy);
        self.proxies.leave(proxy);
        self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Left);
        *self.streams.borrow_mut().entry(proxy).or_default() += 1;
        self.broadcast(json!({"type": "CLOSED", "object": {"proxy": proxy.0}}).to_string());
        true
    }

    /// The controller process has ended: all its proxies leave.
    pub fn process_ended(&self) {
        self.has_controller.set(false);
        let joined = self.joined.borrow().clone();
        joined.into_iter().for_each(|proxy| {
            self.leave(proxy);
        });
    }

    /// Is silent during the planned periods.
    pub async fn fail(self: Rc<Relay>, start: Instant, silences: Vec<Silence>) {
        for Silence { from, until, calls, ends } in silences {
            sleep_until(start + Duration::from_millis(from)).await;
            self.link.send_modify(|link| link.silent = Some(calls));
            sleep_until(start + Duration::from_millis(until)).await;
            if ends == SilenceEnds::Reset {
                // Lines queued for the watches are lost with their connections.
                self.readers.borrow_mut().clear();
                self.suspend_limits(WATCH_BROKEN);
            }
            self.link.send_modify(|link| {
                link.silent = None;
                link.epoch += u32::from(ends == SilenceEnds::Reset);
            });
        }
    }

    /// Drops acknowledgements of marks during the planned periods.
    pub async fn drop_acks(self: Rc<Relay>, start: Instant, spans: Vec<LostMarks>) {
        for LostMarks { from, until } in spans {
            sleep_until(start + Duration::from_millis(from)).await;
            self.drops_acks.set(true);
            sleep_until(start + Duration::from_millis(until)).await;
            self.drops_acks.set(false);
        }
    }

    /// Makes a proxy leave and join again as planned. If two plans name the same proxy, it leaves only if it has joined
    /// and joins only if it has left.
    pub async fn move_proxy(self: Rc<Relay>, start: Instant, plan: Move) {
        let proxy = ProxyId(plan.proxy);
        sleep_until(start + Duration::from_millis(plan.leaves)).await;
        if !self.leave(proxy) {
            return;
        }
        sleep_until(start + Duration::from_millis(plan.joins)).await;
        if self.has_controller.get() && !self.joined.borrow().contains(&proxy) {
            self.proxies.prepare_rejoin(proxy, plan.fresh);
            self.join(proxy, plan.fresh);
        }
    }

    fn suspend_limits(&self, span: Duration) {
        let until = now_ns() + span.as_nanos() as u64;
        self.recorder.write(CONTROLLER, What::LimitsWait { until });
    }

    fn stream(&self, proxy: ProxyId) -> u32 {
        self.streams.borrow().get(&proxy).copied().unwrap_or(0)
    }

    fn now(&self) -> f64 {
        self.start.get().elapsed().as_secs_f64() * 1e3
    }

    fn broadcast(&self, line: String) {
        self.readers.borrow_mut().retain(|reader| reader.send(line.clone()).is_ok());
    }

    fn subscribe_line(&self, proxy: ProxyId, fresh: bool) -> String {
        let zone = &self.settings.zones[self.settings.zone_of(proxy.0)];
        let weight = Traffic::rate(&self.settings, proxy.0);
        let object = json!({"proxy": proxy.0, "zone": zone, "weight": weight, "fresh": fresh});
        json!({"type": "SUBSCRIBE", "object": object}).to_string()
    }

    /// Serves a connection until it ends, a new epoch begins or its address is closed.
    async fn serve(self: Rc<Relay>, stream: TcpStream, door: EndpointWatch) {
        let mut link = self.link.subscribe();
        let mine = link.borrow_and_update().epoch;
        let served = async {
            let _ = stream.set_nodelay(true);
            let (reads, mut writes) = stream.into_split();
            let mut reads = BufReader::new(reads);
            while let Some(request) = read(&mut reads).await {
                if request.line.starts_with("GET /watch") {
                    return self.watch(writes).await;
                }
                if self.answer(&request, &mut writes).await.is_none() {
                    return;
                }
            }
        };
        tokio::select! {
            () = served => {}
            _ = link.wait_for(|link| link.epoch != mine) => {}
            () = door.closes() => {}
        }
    }

    /// Answers a call. `None`: nothing more is sent on this connection.
    async fn answer(&self, request: &Request, writes: &mut OwnedWriteHalf) -> Option<()> {
        self.recorder.write(CONTROLLER, What::Called);
        let silent = self.link.borrow().silent;
        if let Some(calls) = silent {
            self.suspend_limits(CALL_SILENT);
            let count = self.silent_calls.replace(self.silent_calls.get() + 1);
            let carried_out = match calls {
                SilentCalls::CarriedOut => true,
                SilentCalls::Lost => false,
                SilentCalls::InTurn => count.is_multiple_of(2),
            };
            self.record_call(&request.body, if carried_out { "carried out, unanswered" } else { "lost" });
            if carried_out {
                self.carry_out(&request.body);
            }
            // Never answers; the connection stays open until the client closes it.
            return std::future::pending().await;
        }
        let done = self.failing.get().map_or("answered".to_string(), |how| format!("{how:?}"));
        self.record_call(&request.body, &done);
        match self.failing.get() {
            Some(how) => self.fail_call(how, request, writes).await,
            None => {
                let answer = self.carry_out(&request.body).to_string();
                reply(writes, 200, &answer).await
            }
        }
    }

    async fn fail_call(&self, how: CallFault, request: &Request, writes: &mut OwnedWriteHalf) -> Option<()> {
        let carried_out = !matches!(how, CallFault::Reset { carried_out: false } | CallFault::Busy);
        let answer = if carried_out { self.carry_out(&request.body).to_string() } else { String::new() };
        match how {
            CallFault::Busy => reply(writes, 409, "{\"error\":\"BUSY\"}").await,
            CallFault::Reset { .. } => {
                self.suspend_limits(CALL_BROKEN);
                None
            }
            CallFault::HalfAnswered => {
                self.suspend_limits(CALL_BROKEN);
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{{", answer.len());
                writes.write_all(head.as_bytes()).await.ok()?;
                None
            }
            CallFault::Garbled => {
                self.suspend_limits(CALL_SILENT);
                reply(writes, 200, "{\"taken\":-1}").await
            }
            CallFault::Late => {
                self.suspend_limits(CALL_SILENT);
                sleep(LATE_RESPONSE_DELAY).await;
                reply(writes, 200, &answer).await
            }
        }
    }

    /// Fails calls during the planned periods.
    pub async fn fail_calls(self: Rc<Relay>, start: Instant, spans: Vec<FailedCalls>) {
        for FailedCalls { from, until, how } in spans {
            sleep_until(start + Duration::from_millis(from)).await;
            self.failing.set(Some(how));
            sleep_until(start + Duration::from_millis(until)).await;
            self.failing.set(None);
        }
    }

    fn carry_out(&self, body: &[u8]) -> Value {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return json!({"error": "SYNTAX"}) };
        let changes = call["changes"].as_array().cloned().unwrap_or_default();
        let orders: Vec<Order> = changes.iter().map_while(|order| read_order(order, self)).collect();
        self.orders.set(self.orders.get() + orders.len() as u64);
        let (messages, passed) = self.channel.borrow_mut().write(self.now(), &orders);
        let now = self.now();
        self.passed.borrow_mut().extend(passed.iter().map(|over| format!("{now:.0} ms: {over:?}")));
        let sent_ns = now_ns();
        let in_flight = |message: Message| InFlight { stream: self.stream(message.proxy), message, sent_ns };
        let messages = messages.into_iter().map(in_flight);
        self.in_flight.borrow_mut().extend(messages);
        self.sent.notify_one();
        json!({"taken": orders.len()})
    }

    /// Delivers messages to the proxies when they are due. The channel sends them in order.
    async fn deliver(self: Rc<Relay>) {
        loop {
            let next = self.in_flight.borrow_mut().pop_front();
            let Some(InFlight { stream, message, sent_ns }) = next else {
                self.sent.notified().await;
                continue;
            };
            let due = self.start.get() + Duration::from_secs_f64(message.at / 1e3);
            sleep_until(due).await;
            let Message { proxy, ref orders, .. } = message;
            if stream != self.stream(proxy) || !self.proxies.apply(proxy, orders, sent_ns) {
                self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Undelivered);
                continue;
            }
            self.trace.borrow_mut().applied(self.now(), &message, due.elapsed().as_secs_f64() * 1e3);
            if self.drops_acks.get() {
                continue;
            }
            for order in orders {
                if let Order::Mark { mark, .. } = order {
                    let object = json!({"proxy": proxy.0, "mark": mark.0, "took_ms": 200.0});
                    self.broadcast(json!({"type": "ACK", "object": object}).to_string());
                }
            }
        }
    }

    /// Sends the proxies that have joined and then each event, except while the relay is silent.
    async fn watch(&self, mut writes: OwnedWriteHalf) {
        let (to, mut from) = mpsc::unbounded_channel();
        let mut link = self.link.subscribe();
        if link.wait_for(|link| link.silent.is_none()).await.is_err() {
            return;
        }
        for proxy in self.joined.borrow().iter() {
            let _ = to.send(self.subscribe_line(*proxy, false));
        }
        self.readers.borrow_mut().push(to);
        if writes.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let mut heartbeats = interval(HEARTBEAT_EVERY);
        loop {
            let line = tokio::select! {
                biased;
                line = from.recv() => match line {
                    Some(line) => line,
                    None => return,
                },
                _ = heartbeats.tick() => "{}".to_string(),
            };
            if link.wait_for(|link| link.silent.is_none()).await.is_err() {
                return;
            }
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if writes.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

impl Names for Relay {
    fn host(&self, name: &str) -> Option<HostId> {
        Some(HostId(self.hosts.iter().position(|host| host == name)? as u32))
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        Some(ClassId(CLASSES.iter().position(|class| class.0 == name)? as u16))
    }

    fn joined(&self, proxy: ProxyId) -> bool {
        self.joined.borrow().contains(&proxy)
    }
}
