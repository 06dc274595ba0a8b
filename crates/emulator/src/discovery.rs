//! A discovery service shared by all controllers. It handles calls one at a time, callers time out while they wait,
//! watches end when it goes down, and the host list it reports is older for some controllers than for others.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{Availability, HostEntry};

/// Capacity of the discovery service, and the age of the list that each controller receives.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Calls per second, handled one after the other.
    pub calls_per_s: f64,
    /// Caller time-out, ms. A timed-out call still takes up its handling time.
    pub patience: f64,
    /// Age of the list that each controller receives, ms; a controller that is not named gets the current list.
    pub ages: Vec<f64>,
}

/// Number of outages so far. Answers that were pending at an outage are never delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Up(u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// The call is answered at that time, unless an outage happens before.
    Turn(f64, Up),
    /// The call fails, and the caller notices at that time.
    Fails(f64),
}

pub struct Discovery {
    asked: Asked,
    /// All list entries ever published, with their time, and how many of them each watch has received.
    log: Vec<(f64, HostEntry)>,
    heard: BTreeMap<usize, usize>,
    /// Watches with a scheduled delivery.
    due: BTreeSet<usize>,
    /// Controllers waiting for an answer, and controllers with a watch.
    waiting: BTreeSet<usize>,
    watches: BTreeSet<usize>,
    free_at: f64,
    down: bool,
    /// Factor on the normal duration of a call.
    slow: f64,
    up: Up,
    calls: BTreeMap<u64, u32>,
}

impl Discovery {
    pub fn new(asked: Asked, listed: impl Iterator<Item = HostEntry>) -> Discovery {
        let log = listed.map(|row| (f64::MIN, row)).collect();
        let (waiting, watches, due, heard) =
            (BTreeSet::new(), BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        let (free_at, down, slow, up, calls) = (0.0, false, 1.0, Up(0), BTreeMap::new());
        Discovery { asked, log, heard, due, waiting, watches, free_at, down, slow, up, calls }
    }

    fn age(&self, controller: usize) -> f64 {
        self.asked.ages.get(controller).copied().unwrap_or(0.0)
    }

    pub fn ask(&mut self, now: f64, controller: usize) -> Call {
        *self.calls.entry((now / 1e3) as u64).or_default() += 1;
        self.watches.remove(&controller);
        self.due.remove(&controller);
        if self.down {
            return Call::Fails(now);
        }
        self.free_at = self.free_at.max(now) + self.slow * 1e3 / self.asked.calls_per_s;
        if self.free_at > now + self.asked.patience {
            return Call::Fails(now + self.asked.patience);
        }
        self.waiting.insert(controller);
        Call::Turn(self.free_at, self.up)
    }

    /// Answers a call: the full list at the age configured for this controller, and the time of the next delivery.
    /// `None` if discovery went down since the call or the caller is gone.
    pub fn answer(&mut self, now: f64, controller: usize, up: Up) -> Option<(Vec<HostEntry>, Option<f64>)> {
        if self.up != up || !self.waiting.remove(&controller) {
            return None;
        }
        self.watches.insert(controller);
        self.due.remove(&controller);
        self.heard.insert(controller, 0);
        let mut whole = BTreeMap::new();
        for row in self.news(now, controller) {
            whole.insert(row.host, row);
        }
        let whole = whole.into_values().filter(|row| row.availability != Availability::Removed).collect();
        Some((whole, self.next(now, controller)))
    }

    /// Entries that the watch has not received yet and that are old enough for this controller.
    fn news(&mut self, now: f64, controller: usize) -> Vec<HostEntry> {
        let from = self.heard.get(&controller).copied().unwrap_or(0);
        let until = now - self.age(controller);
        let fresh: Vec<HostEntry> =
            self.log[from..].iter().take_while(|row| row.0 <= until).map(|row| row.1.clone()).collect();
        self.heard.insert(controller, from + fresh.len());
        fresh
    }

    /// Schedules the next delivery of the watch if there are entries that it has not received.
    fn next(&mut self, now: f64, controller: usize) -> Option<f64> {
        let heard = self.heard.get(&controller).copied().unwrap_or(0);
        let first = self.log.get(heard)?.0 + self.age(controller);
        if !self.watches.contains(&controller) || !self.due.insert(controller) {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.slow * 1e3 / self.asked.calls_per_s;
        Some(self.free_at.max(first))
    }

    /// Delivers to a watch all changes since the last delivery, with the time of the next one. `None` if the watch has
    /// ended.
    pub fn tell(&mut self, now: f64, controller: usize, up: Up) -> Option<(Vec<HostEntry>, Option<f64>)> {
        if self.up != up || !self.watches.contains(&controller) || !self.due.remove(&controller) {
            return None;
        }
        let news = self.news(now, controller);
        Some((news, self.next(now, controller)))
    }

    /// Publishes list changes and returns the watches that receive them, with their delivery times. A delivery takes as
    /// long as a call, so a slow discovery delivers late.
    pub fn change(&mut self, now: f64, rows: &[HostEntry]) -> Vec<(usize, f64)> {
        self.log.extend(rows.iter().map(|row| (now, row.clone())));
        let watches: Vec<usize> = self.watches.iter().copied().collect();
        watches.into_iter().filter_map(|controller| Some((controller, self.next(now, controller)?))).collect()
    }

    pub fn up(&self) -> Up {
        self.up
    }

    /// Starts an outage and returns the controllers whose call or watch broke.
    pub fn fall(&mut self) -> BTreeSet<usize> {
        (self.down, self.up, self.free_at) = (true, Up(self.up.0 + 1), 0.0);
        let mut all = std::mem::take(&mut self.waiting);
        all.append(&mut self.watches);
        self.due.clear();
        all
    }

    pub fn rise(&mut self) {
        self.down = false;
    }

    /// Multiplies the duration of calls by `times` from now on.
    pub fn slow(&mut self, times: f64) {
        self.slow = times;
    }

    /// Drops the calls and the watch of a controller that stopped.
    pub fn lose(&mut self, controller: usize) {
        self.waiting.remove(&controller);
        self.watches.remove(&controller);
        self.due.remove(&controller);
    }

    /// The maximum number of calls in one second, and the total.
    pub fn calls(&self) -> (u32, u32) {
        (self.calls.values().copied().max().unwrap_or(0), self.calls.values().sum())
    }
}
