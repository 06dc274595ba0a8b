//! Messages between the event loop and the other tasks, in both directions. The modules of the tasks depend on this one
//! and not on each other.

use std::net::SocketAddr;
use std::rc::Rc;

use amberarch_accord::StageNo;
use amberarch_core::{HostId, LoadReport, MarkId, Order, ProbeOutcome, ProxyId};
use amberarch_fleet::Under;
use amberarch_intake::Believed;
use amberarch_intake_grpc::Witness;
use amberarch_shares::Bound;
use bytes::Bytes;
use serde::Deserialize;
use slog::Logger;
use tokio::sync::mpsc;

use crate::counters::Counters;
use crate::fleet::Holds;
use crate::lines::Message;
use crate::relay::RelaySigns;

/// Messages to the event loop.
#[derive(Debug)]
pub enum Heard {
    Report(Message),
    /// A snapshot of the relay's proxies follows: known proxies that it does not name have left. With `rebind`, proxies
    /// that it names may have left and returned.
    SnapshotBegins {
        rebind: bool,
    },
    SnapshotEnds,
    News(News),
    Listed(Listing),
    /// Discovery answered without changes, which confirms the list.
    ListUnchanged,
    ListFailed,
    /// Current estimates of hosts' load.
    Loads(Vec<Believed>),
    Probed {
        host: HostId,
        entry: Entry,
        outcome: ProbeOutcome,
        took: f64,
        report: LoadReport,
    },
    /// The replies with these marks, in this order, go as one call; sent before the call is written.
    Together {
        marks: Vec<MarkId>,
    },
    /// The reply with this mark may have been carried out and is sent again whole.
    CallDuplicated {
        mark: MarkId,
    },
    /// A part of the reply with this mark was taken, and the rest is sent as a call of its own.
    CallSplit {
        mark: MarkId,
    },
    /// Calls do not reach the relay, or (`on` is false) do so again.
    RelayDelayed {
        on: bool,
    },
    /// The relay refused orders for good; for orders that bind, their proxy is named.
    OrdersRefused {
        binds: Option<ProxyId>,
        orders: Vec<Order>,
    },
    /// These orders waited and were not written, as the lease or stage that they were decided under is no longer in force.
    /// Orders that were sent before may have been carried out.
    Fenced {
        /// The incarnation of the controller that ordered them.
        incarnation: u64,
        orders: Vec<Order>,
    },
    /// The relay has answered everything that was checked up to this place: none of it is written again.
    Answered {
        place: u64,
    },
    /// The policy in force changed, or became unknown.
    Holds(Holds),
    /// The share of a request class in a zone that grants admit; `None`: all of every class.
    Bound(Option<Bound>),
}

/// What connects a task with the rest of the daemon: the channel to the event loop, the counters and the log.
#[derive(Clone)]
pub struct Ties {
    pub desk: mpsc::Sender<Heard>,
    pub counters: Rc<Counters>,
    /// What the watch reveals about the relay, for the task that sends calls.
    pub signs: Rc<RelaySigns>,
    pub log: Logger,
}

/// Channels from the event loop to the tasks that carry out orders.
pub struct Out {
    pub relay: mpsc::Sender<Reply>,
    pub list: mpsc::Sender<Ask>,
    pub probes: mpsc::Sender<Probe>,
    /// The intake's view of list, probes and reports, where an operator has enabled the intake.
    pub witness: Option<Witness>,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", content = "object")]
pub enum News {
    #[serde(rename = "SUBSCRIBE")]
    Joined { proxy: u16, zone: String, weight: f64, fresh: bool },
    #[serde(rename = "CLOSED")]
    Left { proxy: u16 },
    #[serde(rename = "ACK")]
    Applied { proxy: u16, mark: u16, took_ms: f64 },
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    pub host: String,
    pub dial: String,
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u32,
    pub health: Health,
    #[serde(default)]
    pub share: f64,
    #[serde(default)]
    pub born_ms: f64,
}

/// The whole host list, or changes in it.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Row>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    Watch,
    Unwatch,
    Whole,
}

/// Identifies the process behind a host's name: another address or start means another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub dial: SocketAddr,
    /// Its start, Unix time in ms.
    pub born_ms: f64,
}

/// A probe to be sent.
#[derive(Clone, Copy)]
pub struct Probe {
    pub host: HostId,
    pub entry: Entry,
}

/// The orders of one decision for the relay, and the number of the mark among them.
pub struct Reply {
    pub orders: Vec<Encoded>,
    pub mark: Option<MarkId>,
    pub ruled: DecidedUnder,
}

/// The lease and stage that a reply was decided under; it is written only while these are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecidedUnder {
    pub under: Under,
    /// The policy stage, where one is known.
    pub stage: Option<StageNo>,
    /// Counts the restarts of the controller: once a part of an incarnation's orders was dropped, the rest is useless.
    pub incarnation: u64,
    /// The judge's position in its sequence of checked orders after this reply; zero if nothing is checked.
    pub place: u64,
}

/// An order encoded for the relay, and the proxy that it binds, if any.
pub struct Encoded {
    pub bytes: Bytes,
    pub binds: Option<ProxyId>,
    pub mark: Option<MarkId>,
    /// The order itself, kept where the event loop has to make up for it if it is not written.
    pub order: Option<Order>,
}
