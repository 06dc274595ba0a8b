//! What the steward's parts say to each other: what they bring to the desk, and what the desk hands to them.
//! Stands below both, so that no part needs another.

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
use crate::lines::Said;
use crate::relay::RelaySigns;

/// What the other tasks bring.
#[derive(Debug)]
pub enum Heard {
    Sum(Said),
    /// What stands follows: who was known and is not in it has left. With `anew`, who is in it may have
    /// left and come back.
    Standing {
        anew: bool,
    },
    Stood,
    News(News),
    Listed(Listing),
    /// Discovery answered and had nothing new: what it told stands.
    ListStands,
    ListFailed,
    /// What is believed of hosts' own loads now.
    Loads(Vec<Believed>),
    Probed {
        host: HostId,
        entry: Entry,
        outcome: ProbeOutcome,
        took: f64,
        report: LoadReport,
    },
    /// Replies with these marks, in their order, go as one call; told before it is written.
    Together {
        marks: Vec<MarkId>,
    },
    /// The reply with this mark may have been carried out, and goes again whole.
    Again {
        mark: MarkId,
    },
    /// A part of the reply with this mark was taken, and the rest goes as a call of its own.
    Parted {
        mark: MarkId,
    },
    /// Calls do not get through to the relay, or do again.
    Behind {
        on: bool,
    },
    /// The relay refused an order for good; one that binds names its proxy.
    NotTaken {
        binds: Option<ProxyId>,
        orders: Vec<Order>,
    },
    /// These waited and were not written: what they were decided under holds no more. Those that went out already
    /// may have been carried out.
    Fenced {
        /// Of which start of the decisions.
        life: u64,
        orders: Vec<Order>,
    },
    /// The relay has answered for all that was judged up to there: none of it is written again.
    Answered {
        place: u64,
    },
    /// A policy holds, or none is known to.
    Holds(Holds),
    /// Grants let in that much of a product in a zone; none: all of everything.
    Bound(Option<Bound>),
}

/// What ties a part to the rest: the way to the desk, the counters and the log.
#[derive(Clone)]
pub struct Ties {
    pub desk: mpsc::Sender<Heard>,
    pub counters: Rc<Counters>,
    /// What the watch shows of the relay, for the calls.
    pub signs: Rc<RelaySigns>,
    pub log: Logger,
}

/// Where orders go.
pub struct Out {
    pub relay: mpsc::Sender<Reply>,
    pub list: mpsc::Sender<Ask>,
    pub probes: mpsc::Sender<Probe>,
    /// The intake's view of list, probes and sums, where an operator has switched the intake on.
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

/// The list, or what changed in it.
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

/// Which process a host's name stood for: at another address, or with another start, it is another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub dial: SocketAddr,
    /// Its start in Unix time.
    pub born_ms: f64,
}

/// A probe to be sent.
#[derive(Clone, Copy)]
pub struct Probe {
    pub host: HostId,
    pub entry: Entry,
}

/// What the module ordered at one time, and the number of the mark in it.
pub struct Reply {
    pub orders: Vec<Encoded>,
    pub mark: Option<MarkId>,
    pub ruled: Ruled,
}

/// By what a reply was decided: it is written under nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ruled {
    pub under: Under,
    /// The stage that it is written under, where one is known.
    pub stage: Option<StageNo>,
    /// Counts the starts of the decisions: what one of them ordered is of no use once a part of it was dropped.
    pub life: u64,
    /// How far the judge's line of orders goes with it; zero: nothing is judged.
    pub place: u64,
}

/// An order as the relay reads it, and the proxy that it binds.
pub struct Encoded {
    pub bytes: Bytes,
    pub binds: Option<ProxyId>,
    pub mark: Option<MarkId>,
    /// What it says, where somebody has to hear if it is not written.
    pub order: Option<Order>,
}
