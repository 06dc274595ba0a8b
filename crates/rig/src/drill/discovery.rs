//! Stand-in for discovery: serves the versioned host list, and long polls that wait for a later version.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use amberarch_histories::{HostState, What};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::{json, Value};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use super::door::Endpoint;
use super::settings::Addresses;
use super::{ListChange, ListHeld, Recorder, CONTROLLER};
use crate::address::Block;
use crate::hosts::Host;
use crate::serve::{full, serve_connection, Body};
use crate::Fault;

/// Version of the host list in the controller's configuration.
pub const FIRST_VERSION: u64 = 40;

pub struct Discovery {
    hosts: Vec<Rc<Host>>,
    /// The last change of each changed host.
    states: RefCell<BTreeMap<usize, Listed>>,
    version: watch::Sender<u64>,
    door: RefCell<Option<Endpoint>>,
    held: watch::Sender<bool>,
    recorder: Recorder,
}

/// A host as it is listed since its last change.
#[derive(Clone, Copy)]
struct Listed {
    version: u64,
    state: HostState,
    born_ms: u64,
}

impl Discovery {
    /// # Errors
    /// Fails if it can't listen on its address.
    pub async fn start(
        block: &Block,
        hosts: &[Rc<Host>],
        recorder: Recorder,
    ) -> Result<Rc<Discovery>, Fault> {
        let discovery = Rc::new(Discovery {
            hosts: hosts.to_vec(),
            states: RefCell::default(),
            version: watch::Sender::new(FIRST_VERSION),
            door: RefCell::default(),
            held: watch::Sender::new(false),
            recorder,
        });
        discovery.move_to(block.discovery_at(Addresses::First)).await?;
        Ok(discovery)
    }

    /// Listens at `to` from now on and leaves the former address.
    ///
    /// # Errors
    /// Fails if it can't listen on the address.
    pub async fn move_to(self: &Rc<Discovery>, to: SocketAddr) -> Result<(), Fault> {
        let discovery = self.clone();
        let door = Endpoint::open(to, move |stream, door| {
            let discovery = discovery.clone();
            spawn_local(async move {
                let answer = |request| discovery.clone().answer_request(request);
                serve_connection(stream, answer, door.closes()).await;
            });
        });
        let before = self.door.replace(Some(door.await?));
        if let Some(before) = before {
            before.leave().await;
        }
        Ok(())
    }

    /// Records the host list that a starting controller has from its configuration, in which all hosts are ready.
    pub fn record_initial_list(&self) {
        for host in &self.hosts {
            let (host, state) = (host.name.clone(), HostState::Ready);
            self.recorder.write(CONTROLLER, What::ListTold { host: host.clone(), state });
            self.record_start(&host, |one| one.born_ms.get());
        }
    }

    /// Records that the controller is notified of the latest start of a host, if that is the listed one.
    fn record_start(&self, name: &str, listed_ms: impl Fn(&Host) -> u64) {
        let Some(host) = self.hosts.iter().find(|host| host.name == name) else { return };
        let born_ms = host.born_ms.get();
        if born_ms > 0 && listed_ms(host) == born_ms {
            self.recorder.write(CONTROLLER, What::StartTold { host: name.into() });
        }
    }

    async fn answer_request(self: Rc<Discovery>, request: Request<Incoming>) -> Response<Body> {
        full(&self.answer(request.uri().query().unwrap_or("")).await)
    }

    async fn answer(&self, query: &str) -> Value {
        let parameter = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse().ok());
        let (after, wait): (Option<u64>, Option<u64>) = (parameter("after="), parameter("wait_ms="));
        let mut version = self.version.subscribe();
        if let Some(after) = after {
            let wait = Duration::from_millis(wait.unwrap_or(0));
            let _ = tokio::time::timeout(wait, version.wait_for(|version| *version > after)).await;
        }
        let _ = self.held.subscribe().wait_for(|held| !held).await;
        let states = self.states.borrow();
        let changed =
            |number: &usize| states.get(number).map_or(0, |listed| listed.version) > after.unwrap_or(0);
        let listed = |number: &usize| match after {
            Some(_) => changed(number),
            None => states.get(number).is_none_or(|listed| listed.state != HostState::Gone),
        };
        let numbers: Vec<usize> = (0..self.hosts.len()).filter(listed).collect();
        let rows: Vec<Value> = numbers.iter().map(|number| self.row(*number, &states)).collect();
        for number in &numbers {
            let (state, born_ms) =
                states.get(number).map_or((HostState::Ready, 0), |listed| (listed.state, listed.born_ms));
            let host = self.hosts[*number].name.clone();
            self.recorder.write(CONTROLLER, What::ListTold { host: host.clone(), state });
            if state == HostState::Ready {
                self.record_start(&host, |_| born_ms);
            }
        }
        json!({"seq": *self.version.borrow(), "whole": after.is_none(), "hosts": rows})
    }

    fn row(&self, number: usize, states: &BTreeMap<usize, Listed>) -> Value {
        let mut row = self.hosts[number].row();
        row["born_ms"] = json!(states.get(&number).map_or(0, |listed| listed.born_ms));
        row["health"] = json!(match states.get(&number).map(|listed| listed.state) {
            None | Some(HostState::Ready) => "in_service",
            Some(HostState::Draining) => "terminating",
            Some(HostState::Gone) => "terminated",
        });
        row
    }

    /// Holds back responses during the planned periods.
    pub async fn hold(self: Rc<Discovery>, start: Instant, spans: Vec<ListHeld>) {
        for ListHeld { from, until } in spans {
            sleep_until(start + Duration::from_millis(from)).await;
            self.held.send_replace(true);
            sleep_until(start + Duration::from_millis(until)).await;
            self.held.send_replace(false);
        }
    }

    /// Changes the list as planned.
    pub async fn change(self: Rc<Discovery>, start: Instant, changes: Vec<ListChange>) {
        for ListChange { at, hosts } in changes {
            sleep_until(start + Duration::from_millis(at)).await;
            let version = *self.version.borrow() + 1;
            for (number, state) in hosts {
                let before_ms = self.states.borrow().get(&number).map_or(0, |listed| listed.born_ms);
                // A host that leaves is listed with the start that it was listed with before.
                let is_ready = state == HostState::Ready;
                let born_ms = if is_ready { self.hosts[number].born_ms.get() } else { before_ms };
                self.states.borrow_mut().insert(number, Listed { version, state, born_ms });
            }
            self.version.send_replace(version);
        }
    }
}
