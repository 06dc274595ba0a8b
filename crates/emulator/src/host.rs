//! A host: cores that work, a queue before them, and how full it was of late.

use std::collections::VecDeque;

use amberarch_core::{HostEntry, Warmup};

use crate::TxnId;

/// A host's own figure looks back about a second, as a machine's load does.
const LOAD_LOOK_BACK: f64 = 1_000.0;

pub struct Host {
    pub listed: HostEntry,
    pub cores: u32,
    /// Times the speed that its weight promises; faults turn it down.
    pub speed: f64,
    pub up: bool,
    /// When it left the fleet for good.
    pub left: Option<f64>,
    pub cold_since: Option<f64>,
    pub room: usize,
    working: u32,
    queue: VecDeque<TxnId>,
    /// Work that probes brought while all cores were busy, in ms of one: the next txn waits for it.
    owes: f64,
    load: f64,
    load_at: f64,
    /// Counts its starts: what was under way before the last is lost.
    pub starts: u32,
}

pub enum Offer {
    /// Works at once, and needs that many times the work at full speed.
    Starts(f64),
    Waits,
    /// Turned away unworked.
    Full,
}

impl Host {
    pub fn new(listed: HostEntry, cores: u32, room: usize) -> Host {
        let (speed, up, queue, cold_since) = (1.0, true, VecDeque::new(), None);
        Host {
            listed,
            cores,
            speed,
            up,
            left: None,
            cold_since,
            room,
            working: 0,
            queue,
            owes: 0.0,
            load: 0.0,
            load_at: 0.0,
            starts: 0,
        }
    }

    pub fn offer(&mut self, now: f64, txn: TxnId, warmup: &Warmup) -> Offer {
        self.age(now);
        if self.working < self.cores {
            self.working += 1;
            return Offer::Starts(1.0 / self.pace(now, warmup));
        }
        if self.queue.len() >= self.room {
            return Offer::Full;
        }
        self.queue.push_back(txn);
        Offer::Waits
    }

    /// One is done; gives the next that starts and how much longer than at full speed it takes.
    pub fn done(&mut self, now: f64, warmup: &Warmup) -> Option<(TxnId, f64)> {
        self.age(now);
        let next = self.queue.pop_front();
        self.working -= u32::from(next.is_none());
        next.map(|txn| (txn, 1.0 / self.pace(now, warmup)))
    }

    /// A probe takes its answer's work from a core that is idle; where none is, from the txns.
    pub fn probed(&mut self, work: f64) {
        self.owes += if self.up && self.working >= self.cores { work } else { 0.0 };
    }

    pub fn owed(&mut self) -> f64 {
        std::mem::take(&mut self.owes)
    }

    /// Its process ends: what it had is lost, and its clients wait until they give up.
    pub fn fall(&mut self, now: f64) {
        self.age(now);
        (self.up, self.working, self.starts, self.owes) = (false, 0, self.starts + 1, 0.0);
        self.queue.clear();
    }

    pub fn start(&mut self, now: f64) {
        (self.up, self.cold_since, self.load, self.load_at) = (true, Some(now), 0.0, now);
        self.listed.started_at = Some(now);
    }

    /// The part of the speed that its weight promises.
    pub fn pace(&self, now: f64, warmup: &Warmup) -> f64 {
        let age = self.cold_since.map_or(1.0, |since| ((now - since) / warmup.duration).min(1.0));
        self.speed * (warmup.initial_capacity + (1.0 - warmup.initial_capacity) * age)
    }

    fn in_hand(&self) -> f64 {
        f64::from(self.working) + self.queue.len() as f64
    }

    fn age(&mut self, now: f64) {
        let stays = (-(now - self.load_at).max(0.0) / LOAD_LOOK_BACK).exp();
        self.load = stays * self.load + (1.0 - stays) * self.in_hand() / f64::from(self.cores);
        self.load_at = now;
    }

    /// What it reports: what it has in hand over its cores, of late; over 1 work waits.
    pub fn load(&mut self, now: f64) -> f64 {
        self.age(now);
        self.load
    }
}
