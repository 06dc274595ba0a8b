//! The relay of a drill's controller: calls go into a channel that sends so many lines a second to the proxies, and the
//! watch tells of joins and marks; for stated spans all of it is silent towards the controller.

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

use super::door::{Door, DoorWatch};
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

/// The protocol page: how long time limits are suspended where the relay is silent to a call or what it answers can't be
/// read, where it breaks a call, and where it breaks off the only watch.
const CALL_SILENT: Duration = Duration::from_millis(1_500);
const CALL_BROKEN: Duration = Duration::from_millis(500);
/// An answer comes within 50 ms or never.
const LATE: Duration = Duration::from_millis(120);
const WATCH_BROKEN: Duration = Duration::from_secs(4);
const SIGN_OF_LIFE: Duration = Duration::from_secs(1);
/// Until the last proxy has joined.
const JOINS_WITHIN: Duration = Duration::from_millis(500);

/// What the relay is towards its controller.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Link {
    silent: Option<SilentCalls>,
    /// Connections of an earlier epoch are reset.
    epoch: u32,
}

pub struct Relay {
    settings: Settings,
    hosts: Vec<String>,
    channel: RefCell<Channel>,
    proxies: Rc<Proxies>,
    link: watch::Sender<Link>,
    readers: RefCell<Vec<mpsc::UnboundedSender<String>>>,
    joined: RefCell<Vec<ProxyId>>,
    /// With the stream of its proxy that each goes to: what is on its way to an earlier one is lost.
    on_the_way: RefCell<VecDeque<(u32, Message)>>,
    streams: RefCell<BTreeMap<ProxyId, u32>>,
    sent: Notify,
    start: Cell<Instant>,
    silent_calls: Cell<u64>,
    loses_marks: Cell<bool>,
    failing: Cell<Option<CallFault>>,
    orders: Cell<u64>,
    passed: RefCell<Vec<String>>,
    calls: RefCell<Vec<String>>,
    trace: RefCell<Trace>,
    door: RefCell<Option<Door>>,
    /// The controller's process is used: proxies follow it.
    is_followed: Cell<bool>,
    recorder: Recorder,
}

impl Relay {
    /// # Errors
    /// Its address can't be listened at.
    pub async fn stand(
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
            on_the_way: RefCell::default(),
            streams: RefCell::default(),
            sent: Notify::new(),
            start: Cell::new(Instant::now()),
            silent_calls: Cell::new(0),
            loses_marks: Cell::new(false),
            failing: Cell::new(None),
            orders: Cell::new(0),
            passed: RefCell::default(),
            calls: RefCell::default(),
            trace: RefCell::default(),
            door: RefCell::default(),
            is_followed: Cell::new(false),
            recorder,
        });
        relay.clone().moves_to(block.relay_at(Addresses::First)).await?;
        spawn_local(relay.clone().deliver());
        Ok(relay)
    }

    /// Listens there from now on, and leaves the address where it listened before.
    ///
    /// # Errors
    /// The address can't be listened at.
    pub async fn moves_to(self: Rc<Relay>, to: SocketAddr) -> Result<(), Fault> {
        let relay = self.clone();
        let door = Door::open(to, move |stream, door| {
            spawn_local(relay.clone().serve(stream, door));
        });
        let before = self.door.replace(Some(door.await?));
        if let Some(before) = before {
            before.leave().await;
        }
        Ok(())
    }

    /// The most lines that waited, the limits that were passed, and how many orders were taken.
    pub fn limits(&self) -> (f64, Vec<String>, u64) {
        (self.channel.borrow().most, self.passed.borrow().clone(), self.orders.get())
    }

    /// Each call: when it came, its orders by kind, and what the relay did with it.
    pub fn calls(&self) -> Vec<String> {
        self.calls.borrow().clone()
    }

    pub fn proxies(&self) -> Rc<Proxies> {
        self.proxies.clone()
    }

    /// What became of orders to single proxies.
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

    fn note_call(&self, body: &[u8], done: &str) {
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

    /// All proxies join within half a second, without a table that was ordered.
    pub fn join_all(self: &Rc<Relay>, start: Instant) {
        self.all_join(start, true);
    }

    /// All proxies join a process that started again, within half a second, with the tables that they hold.
    pub fn join_again(self: &Rc<Relay>, start: Instant) {
        let mut anew = Channel::new(self.settings.channel.clone(), CLASSES.len() as u16);
        anew.most = self.channel.borrow().most;
        self.channel.replace(anew);
        self.all_join(start, false);
    }

    fn all_join(self: &Rc<Relay>, start: Instant, fresh: bool) {
        self.is_followed.set(true);
        let (relay, count) = (self.clone(), self.settings.proxies);
        spawn_local(async move {
            for number in 0..count {
                sleep_until(start + JOINS_WITHIN * u32::from(number) / u32::from(count)).await;
                let proxy = ProxyId(number);
                if !fresh && !relay.joined.borrow().contains(&proxy) {
                    relay.proxies.comes_back(proxy, false);
                }
                relay.join(proxy, fresh);
            }
        });
    }

    /// The proxy joins, unless nobody is there to join or it has joined already.
    fn join(&self, proxy: ProxyId, fresh: bool) {
        if !self.is_followed.get() || self.joined.borrow().contains(&proxy) {
            return;
        }
        self.channel.borrow_mut().join(proxy);
        self.joined.borrow_mut().push(proxy);
        self.proxies.joins(proxy);
        self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Joined { fresh });
        self.say(self.joins(proxy, fresh));
    }

    /// The proxy leaves, if it has joined.
    fn leave(&self, proxy: ProxyId) -> bool {
        if !self.joined.borrow().contains(&proxy) {
            return false;
        }
        self.joined.borrow_mut().retain(|other| *other != proxy);
        self.channel.borrow_mut().leave(proxy);
        self.proxies.leaves(proxy);
        self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Left);
        *self.streams.borrow_mut().entry(proxy).or_default() += 1;
        self.say(json!({"type": "CLOSED", "object": {"proxy": proxy.0}}).to_string());
        true
    }

    /// The controller's process is gone: its proxies go elsewhere.
    pub fn process_ended(&self) {
        self.is_followed.set(false);
        let joined = self.joined.borrow().clone();
        joined.into_iter().for_each(|proxy| {
            self.leave(proxy);
        });
    }

    /// Is silent by that plan.
    pub async fn fail(self: Rc<Relay>, start: Instant, silences: Vec<Silence>) {
        for Silence { from, until, calls, ends } in silences {
            sleep_until(start + Duration::from_millis(from)).await;
            self.link.send_modify(|link| link.silent = Some(calls));
            sleep_until(start + Duration::from_millis(until)).await;
            if ends == SilenceEnds::Reset {
                // What waited for the readers is lost with their connections.
                self.readers.borrow_mut().clear();
                self.suspend_limits(WATCH_BROKEN);
            }
            self.link.send_modify(|link| {
                link.silent = None;
                link.epoch += u32::from(ends == SilenceEnds::Reset);
            });
        }
    }

    /// Tells of no mark by that plan.
    pub async fn lose_marks(self: Rc<Relay>, start: Instant, spans: Vec<LostMarks>) {
        for LostMarks { from, until } in spans {
            sleep_until(start + Duration::from_millis(from)).await;
            self.loses_marks.set(true);
            sleep_until(start + Duration::from_millis(until)).await;
            self.loses_marks.set(false);
        }
    }

    /// A proxy leaves and joins again by that plan. Where two plans name one proxy, who is there leaves, and who is not
    /// joins.
    pub async fn moves(self: Rc<Relay>, start: Instant, plan: Move) {
        let proxy = ProxyId(plan.proxy);
        sleep_until(start + Duration::from_millis(plan.leaves)).await;
        if !self.leave(proxy) {
            return;
        }
        sleep_until(start + Duration::from_millis(plan.joins)).await;
        if self.is_followed.get() && !self.joined.borrow().contains(&proxy) {
            self.proxies.comes_back(proxy, plan.fresh);
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

    fn say(&self, line: String) {
        self.readers.borrow_mut().retain(|reader| reader.send(line.clone()).is_ok());
    }

    fn joins(&self, proxy: ProxyId, fresh: bool) -> String {
        let zone = &self.settings.zones[self.settings.zone_of(proxy.0)];
        let weight = Traffic::rate(&self.settings, proxy.0);
        let object = json!({"proxy": proxy.0, "zone": zone, "weight": weight, "fresh": fresh});
        json!({"type": "SUBSCRIBE", "object": object}).to_string()
    }

    /// Serves a connection until it ends, belongs to an earlier epoch or is closed with its address.
    async fn serve(self: Rc<Relay>, stream: TcpStream, door: DoorWatch) {
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

    /// A call; none: nothing more is said on its connection.
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
            self.note_call(&request.body, if carried_out { "carried out, unanswered" } else { "lost" });
            if carried_out {
                self.carry_out(&request.body);
            }
            // Silent for good: the connection stays open until its client closes it.
            return std::future::pending().await;
        }
        let done = self.failing.get().map_or("answered".to_string(), |how| format!("{how:?}"));
        self.note_call(&request.body, &done);
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
                sleep(LATE).await;
                reply(writes, 200, &answer).await
            }
        }
    }

    /// Fails calls by that plan.
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
        let messages = messages.into_iter().map(|message| (self.stream(message.proxy), message));
        self.on_the_way.borrow_mut().extend(messages);
        self.sent.notify_one();
        json!({"taken": orders.len()})
    }

    /// Brings messages to the proxies when they are due; the channel sends in order.
    async fn deliver(self: Rc<Relay>) {
        loop {
            let next = self.on_the_way.borrow_mut().pop_front();
            let Some((stream, message)) = next else {
                self.sent.notified().await;
                continue;
            };
            let due = self.start.get() + Duration::from_secs_f64(message.at / 1e3);
            sleep_until(due).await;
            let Message { proxy, ref orders, .. } = message;
            if stream != self.stream(proxy) || !self.proxies.applies(proxy, orders) {
                self.trace.borrow_mut().record(self.now(), Some(proxy), Step::Undelivered);
                continue;
            }
            self.trace.borrow_mut().applied(self.now(), &message, due.elapsed().as_secs_f64() * 1e3);
            if self.loses_marks.get() {
                continue;
            }
            for order in orders {
                if let Order::Mark { mark, .. } = order {
                    let object = json!({"proxy": proxy.0, "mark": mark.0, "took_ms": 200.0});
                    self.say(json!({"type": "ACK", "object": object}).to_string());
                }
            }
        }
    }

    /// Tells what stands and then what happens, but for the time in which the relay is silent.
    async fn watch(&self, mut writes: OwnedWriteHalf) {
        let (to, mut from) = mpsc::unbounded_channel();
        let mut link = self.link.subscribe();
        if link.wait_for(|link| link.silent.is_none()).await.is_err() {
            return;
        }
        for proxy in self.joined.borrow().iter() {
            let _ = to.send(self.joins(*proxy, false));
        }
        self.readers.borrow_mut().push(to);
        if writes.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let mut signs = interval(SIGN_OF_LIFE);
        loop {
            let line = tokio::select! {
                biased;
                line = from.recv() => match line {
                    Some(line) => line,
                    None => return,
                },
                _ = signs.tick() => "{}".to_string(),
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
