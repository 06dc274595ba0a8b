//! One controller with its clock, its disk and its proxies: the part of a front that surrounds the consensus.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amberarch_accord::{Accord, Disk, Kept, Lasting, Length, Logged, Place, StageNo};

/// The disk that a controller finds when it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskIs {
    Kept,
    Empty,
    /// The disk as it was when [`crate::World::copy_disk`] was called.
    Copy,
}

/// The revisions that an order has to satisfy all at once; 0 means that no policy applies.
pub(crate) type Bounds = Vec<u64>;

pub(crate) struct Machine {
    /// `None` while the controller is down.
    pub accord: Option<Accord>,
    pub boot: u64,
    /// Its clock is `offset + rate * true time`.
    pub rate: f64,
    pub offset: f64,
    pub kept: Kept,
    pub copy: Option<Kept>,
    /// Lease lengths from its own settings file, if they differ from the others'.
    pub length: Option<Length>,
    /// Every entry that it wrote and has not truncated since, including those compacted into a snapshot.
    pub written: BTreeMap<Place, Logged>,
    /// The process is paused until this true time.
    pub stopped: f64,
    /// Time of its next tick; earlier scheduled ticks are ignored.
    pub tick: f64,
    /// Set during a graceful shutdown; `true` if the process hangs and is killed only when its time is over.
    pub ending: Option<bool>,
    /// Number of outputs that are still carried out before it crashes.
    pub dies_after: Option<u64>,
    /// Revisions that fail its checks.
    pub cannot_use: BTreeSet<u64>,
    /// Its proxies never confirm orders.
    pub deaf_proxies: bool,
    /// The set of revisions its orders satisfy, and the stage since which they do.
    pub orders: Option<Bounds>,
    pub stage: StageNo,
    /// Sets of revisions that proxies may still use, with the true time at which this ends.
    pub lingers: Vec<(Bounds, f64)>,
}

impl Machine {
    pub fn new(rate: f64, offset: f64, disk: Option<Disk>) -> Machine {
        Machine {
            accord: None,
            boot: 0,
            rate,
            offset,
            kept: Kept { disk, ..Kept::default() },
            copy: None,
            length: None,
            written: BTreeMap::new(),
            stopped: 0.0,
            tick: f64::INFINITY,
            ending: None,
            dies_after: None,
            cannot_use: BTreeSet::new(),
            deaf_proxies: false,
            orders: None,
            stage: StageNo(0),
            lingers: vec![],
        }
    }

    pub fn local(&self, at: f64) -> f64 {
        self.offset + self.rate * at
    }

    /// The true time at which its clock shows `local`.
    pub fn true_time(&self, local: f64) -> f64 {
        (local - self.offset) / self.rate
    }

    pub fn checks(&self, no: u64) -> Result<(), Arc<str>> {
        match self.cannot_use.contains(&no) {
            true => Err("this world says so".into()),
            false => Ok(()),
        }
    }

    /// Applies a durable write, as a front's disk does.
    pub fn last(&mut self, lasting: &Lasting) {
        let kept = &mut self.kept;
        let base = kept.base.as_ref().map_or(0, |((_, place), _)| place.0);
        match lasting {
            Lasting::Vote { term, voted } => (kept.term, kept.voted) = (*term, voted.clone()),
            Lasting::Entries { from, entries } => {
                kept.entries.truncate((from.0 - base - 1) as usize);
                kept.entries.extend(entries.iter().cloned());
                drop(self.written.split_off(from));
                let places = (from.0..).map(Place);
                self.written.extend(places.zip(entries.iter().cloned()));
            }
            Lasting::Base { at, base: to } => {
                let gone = ((at.1 .0 - base) as usize).min(kept.entries.len());
                kept.entries.drain(..gone);
                if self.written.get(&at.1).is_none_or(|logged| logged.term != at.0) {
                    // A snapshot from another member: the entries written here up to it may differ from the committed ones.
                    self.written = self.written.split_off(&Place(at.1 .0 + 1));
                }
                kept.base = Some((*at, (**to).clone()));
            }
        }
    }
}
