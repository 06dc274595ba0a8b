//! Discovery: the list of hosts with a version, and watches that wait for a later one.

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

use super::door::Door;
use super::settings::Addresses;
use super::{ListChange, ListHeld, Recorder, CONTROLLER};
use crate::address::Block;
use crate::hosts::Host;
use crate::serve::{full, serve_connection, Body};
use crate::Fault;

/// The version that controllers know from their configuration.
pub const FIRST_VERSION: u64 = 40;

pub struct Discovery {
    hosts: Vec<Rc<Host>>,
    /// The version that changed a host last, and its state since.
    states: RefCell<BTreeMap<usize, (u64, HostState)>>,
    version: watch::Sender<u64>,
    door: RefCell<Option<Door>>,
    held: watch::Sender<bool>,
    recorder: Recorder,
}

impl Discovery {
    /// # Errors
    /// Its address can't be listened at.
    pub async fn stand(
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
        discovery.moves(block.discovery_at(Addresses::First)).await?;
        Ok(discovery)
    }

    /// Listens there from now on, and leaves the address where it listened before.
    ///
    /// # Errors
    /// The address can't be listened at.
    pub async fn moves(self: &Rc<Discovery>, to: SocketAddr) -> Result<(), Fault> {
        let discovery = self.clone();
        let door = Door::open(to, move |stream, door| {
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

    /// A controller that starts has the list of its configuration, in which all are ready.
    pub fn known_lists_all(&self) {
        for host in &self.hosts {
            let (host, state) = (host.name.clone(), HostState::Ready);
            self.recorder.write(CONTROLLER, What::ListTold { host, state });
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
        let changed = |number: &usize| states.get(number).map_or(0, |state| state.0) > after.unwrap_or(0);
        let listed = |number: &usize| match after {
            Some(_) => changed(number),
            None => states.get(number).is_none_or(|state| state.1 != HostState::Gone),
        };
        let numbers: Vec<usize> = (0..self.hosts.len()).filter(listed).collect();
        let rows: Vec<Value> = numbers.iter().map(|number| self.row(*number, &states)).collect();
        for number in &numbers {
            let state = states.get(number).map_or(HostState::Ready, |state| state.1);
            let host = self.hosts[*number].name.clone();
            self.recorder.write(CONTROLLER, What::ListTold { host, state });
        }
        json!({"seq": *self.version.borrow(), "whole": after.is_none(), "hosts": rows})
    }

    fn row(&self, number: usize, states: &BTreeMap<usize, (u64, HostState)>) -> Value {
        let mut row = self.hosts[number].row();
        row["health"] = json!(match states.get(&number).map(|state| state.1) {
            None | Some(HostState::Ready) => "in_service",
            Some(HostState::Draining) => "terminating",
            Some(HostState::Gone) => "terminated",
        });
        row
    }

    /// Answers nothing by that plan.
    pub async fn hold(self: Rc<Discovery>, start: Instant, spans: Vec<ListHeld>) {
        for ListHeld { from, until } in spans {
            sleep_until(start + Duration::from_millis(from)).await;
            self.held.send_replace(true);
            sleep_until(start + Duration::from_millis(until)).await;
            self.held.send_replace(false);
        }
    }

    /// Changes the list by that plan.
    pub async fn change(self: Rc<Discovery>, start: Instant, changes: Vec<ListChange>) {
        for ListChange { at, hosts } in changes {
            sleep_until(start + Duration::from_millis(at)).await;
            let version = *self.version.borrow() + 1;
            for (number, state) in hosts {
                self.states.borrow_mut().insert(number, (version, state));
            }
            self.version.send_replace(version);
        }
    }
}
