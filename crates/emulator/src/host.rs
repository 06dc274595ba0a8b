//! An emulated host: its cores, the queue in front of them, and its recent load.

use std::collections::VecDeque;

use amberarch_core::{HostEntry, Warmup};

use crate::TxnId;

/// Time constant of a host's reported load, ms: about a second, like a machine's load average.
const LOAD_LOOK_BACK: f64 = 1_000.0;

pub struct Host {
    pub listed: HostEntry,
    pub cores: u32,
    /// Factor on the nominal speed; faults reduce it.
    pub speed: f64,
    pub up: bool,
    /// When it left the fleet permanently.
    pub left: Option<f64>,
    pub cold_since: Option<f64>,
    pub room: usize,
    working: u32,
    queue: VecDeque<TxnId>,
    /// Work from probes that arrived while all cores were busy, in core-ms; it delays the next txn.
    owes: f64,
    load: f64,
    load_at: f64,
    /// Number of restarts. Work in progress before the last one is lost.
    pub starts: u32,
}

/// The response of a host to a txn.
pub enum Offer {
    /// The txn starts at once and takes this many times as long as at full speed.
    Starts(f64),
    Waits,
    /// The queue is full; the txn is rejected without any work done.
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

    /// Ends a txn and returns the next one that starts, with how many times as long as at full speed it takes.
    pub fn done(&mut self, now: f64, warmup: &Warmup) -> Option<(TxnId, f64)> {
        self.age(now);
        let next = self.queue.pop_front();
        self.working -= u32::from(next.is_none());
        next.map(|txn| (txn, 1.0 / self.pace(now, warmup)))
    }

    /// The work of answering a probe uses an idle core; if there is none, it delays the next txn.
    pub fn probed(&mut self, work: f64) {
        self.owes += if self.up && self.working >= self.cores { work } else { 0.0 };
    }

    pub fn owed(&mut self) -> f64 {
        std::mem::take(&mut self.owes)
    }

    /// The process ends: its txns are lost, and their clients wait until the deadline.
    pub fn fall(&mut self, now: f64) {
        self.age(now);
        (self.up, self.working, self.starts, self.owes) = (false, 0, self.starts + 1, 0.0);
        self.queue.clear();
    }

    pub fn start(&mut self, now: f64) {
        (self.up, self.cold_since, self.load, self.load_at) = (true, Some(now), 0.0, now);
        self.listed.started_at = Some(now);
    }

    /// Current speed as a fraction of the nominal speed.
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

    /// The reported load: recent txns in progress and queued per core. Above 1, txns are queued.
    pub fn load(&mut self, now: f64) -> f64 {
        self.age(now);
        self.load
    }
}
