//! A discovery that all stewards share: it works through calls in turn, callers lose patience while they wait, watches
//! end when it goes down, and what it tells is older at one steward than at another.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{Availability, HostEntry};

/// What it can do, and for whom how late.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Calls a second that it works through, one after the other.
    pub calls_per_s: f64,
    /// So long a caller waits, ms. Its call is worked through all the same, for nobody.
    pub patience: f64,
    /// How old the list is that each steward hears, ms; none named: not at all.
    pub ages: Vec<f64>,
}

/// Counts how often it went down: what was on its way then never comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Up(u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// It is this one's turn at that time, if it stays up.
    Turn(f64, Up),
    /// Nothing will come; the caller knows at that time.
    Fails(f64),
}

pub struct Discovery {
    asked: Asked,
    /// All that was ever listed, by when it was, and how far each watch has heard it.
    log: Vec<(f64, HostEntry)>,
    heard: BTreeMap<usize, usize>,
    /// Watches that are told at their turn.
    due: BTreeSet<usize>,
    /// Who waits for an answer, and who watches.
    waiting: BTreeSet<usize>,
    watches: BTreeSet<usize>,
    free_at: f64,
    down: bool,
    /// Times the usual length of a call.
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

    fn age(&self, steward: usize) -> f64 {
        self.asked.ages.get(steward).copied().unwrap_or(0.0)
    }

    pub fn ask(&mut self, now: f64, steward: usize) -> Call {
        *self.calls.entry((now / 1e3) as u64).or_default() += 1;
        self.watches.remove(&steward);
        self.due.remove(&steward);
        if self.down {
            return Call::Fails(now);
        }
        self.free_at = self.free_at.max(now) + self.slow * 1e3 / self.asked.calls_per_s;
        if self.free_at > now + self.asked.patience {
            return Call::Fails(now + self.asked.patience);
        }
        self.waiting.insert(steward);
        Call::Turn(self.free_at, self.up)
    }

    /// It is the caller's turn: the whole list, as old as this steward gets it, and when it hears more. None: it went
    /// down since, or the caller is gone.
    pub fn answer(&mut self, now: f64, steward: usize, up: Up) -> Option<(Vec<HostEntry>, Option<f64>)> {
        if self.up != up || !self.waiting.remove(&steward) {
            return None;
        }
        self.watches.insert(steward);
        self.due.remove(&steward);
        self.heard.insert(steward, 0);
        let mut whole = BTreeMap::new();
        for row in self.news(now, steward) {
            whole.insert(row.host, row);
        }
        let whole = whole.into_values().filter(|row| row.availability != Availability::Removed).collect();
        Some((whole, self.next(now, steward)))
    }

    /// What the watch has not heard yet, as far as its age lets it.
    fn news(&mut self, now: f64, steward: usize) -> Vec<HostEntry> {
        let from = self.heard.get(&steward).copied().unwrap_or(0);
        let until = now - self.age(steward);
        let fresh: Vec<HostEntry> =
            self.log[from..].iter().take_while(|row| row.0 <= until).map(|row| row.1.clone()).collect();
        self.heard.insert(steward, from + fresh.len());
        fresh
    }

    /// Its next turn, where there is something that it has not heard.
    fn next(&mut self, now: f64, steward: usize) -> Option<f64> {
        let heard = self.heard.get(&steward).copied().unwrap_or(0);
        let first = self.log.get(heard)?.0 + self.age(steward);
        if !self.watches.contains(&steward) || !self.due.insert(steward) {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.slow * 1e3 / self.asked.calls_per_s;
        Some(self.free_at.max(first))
    }

    /// It is the watch's turn: what has changed since, all together, and its next turn. None: it ended.
    pub fn tell(&mut self, now: f64, steward: usize, up: Up) -> Option<(Vec<HostEntry>, Option<f64>)> {
        if self.up != up || !self.watches.contains(&steward) || !self.due.remove(&steward) {
            return None;
        }
        let news = self.news(now, steward);
        Some((news, self.next(now, steward)))
    }

    /// The list changes: which watches hear of it, and when. That is work like a call is, so a discovery that is slow
    /// tells them late.
    pub fn change(&mut self, now: f64, rows: &[HostEntry]) -> Vec<(usize, f64)> {
        self.log.extend(rows.iter().map(|row| (now, row.clone())));
        let watches: Vec<usize> = self.watches.iter().copied().collect();
        watches.into_iter().filter_map(|steward| Some((steward, self.next(now, steward)?))).collect()
    }

    pub fn up(&self) -> Up {
        self.up
    }

    /// Who hears that its call or watch broke.
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

    /// Calls take so many times as long from now on.
    pub fn slow(&mut self, times: f64) {
        self.slow = times;
    }

    /// The steward is gone, with its calls.
    pub fn lose(&mut self, steward: usize) {
        self.waiting.remove(&steward);
        self.watches.remove(&steward);
        self.due.remove(&steward);
    }

    /// The most calls in one second, and all.
    pub fn calls(&self) -> (u32, u32) {
        (self.calls.values().copied().max().unwrap_or(0), self.calls.values().sum())
    }
}
