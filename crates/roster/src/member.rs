//! Evidence about one host and its source. Two records of one host merge into one, in any order and any number of
//! times, so discovery, the disk and the configuration can be read in any order.

use serde::{Deserialize, Serialize};

/// Milliseconds since 1970, by the clock of the machine that wrote it.
pub type UnixMs = f64;

/// Source of a row, less trusted ones first: of two rows with the same version and time the one with the later
/// variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The configuration that the daemon was started with.
    Given,
    /// Discovery, in this run or, for a row from disk, in an earlier run.
    Discovery,
}

/// Lifecycle state of a host as its list states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    On,
    Draining,
    Gone,
}

/// A host as a list states it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Address to connect to.
    pub dial: String,
    pub zone: String,
    /// Instance type.
    pub kind: String,
    pub pod: u32,
    pub weight: f64,
    /// Time of its last start; 0 if unknown.
    pub born: UnixMs,
    pub health: Health,
}

/// A row as a source reported it, with its version and the time when it was last confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Counts how often the list's `seq` has started over; within one list `seq` only grows.
    pub epoch: u64,
    /// Version of the list.
    pub seq: u64,
    pub at: UnixMs,
    pub source: Source,
    pub row: Row,
}

/// State that the decisions learned about a host; after a restart it serves as a hint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub at: UnixMs,
    /// Effective weight as a fraction of the listed weight.
    pub part: f64,
    /// The host was gated.
    pub shut: bool,
}

/// Observations of one process of a host, which is identified by its start time and its address.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    pub born: UnixMs,
    pub dial: String,
    /// Time of the last passed probe; 0 for never.
    pub passed_at: UnixMs,
    /// Time of the last traffic report with a successful answer; 0 for never.
    pub answered_at: UnixMs,
    pub learnt: Option<LearnedState>,
}

/// Confirmation of the whole list: at time `at` the list was valid up to version `seq`, so each of its rows that no
/// newer evidence has replaced was confirmed then. One record covers all rows, so a list without changes costs nothing
/// to store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stand {
    pub epoch: u64,
    pub seq: u64,
    pub at: UnixMs,
}

impl Stand {
    /// Keeps the record of the newer list, or the later one of the same list.
    pub fn merge(self, other: Stand) -> Stand {
        let rank = |stand: &Stand| (stand.epoch, TotalF64(stand.at), stand.seq);
        if rank(&self) >= rank(&other) {
            self
        } else {
            other
        }
    }

    /// When a row was last confirmed: by itself or, if it belongs to this list, by the list's confirmation.
    pub fn confirmed(&self, told: &Told) -> UnixMs {
        let covered = told.source == Source::Discovery && told.epoch == self.epoch && told.seq <= self.seq;
        if covered {
            told.at.max(self.at)
        } else {
            told.at
        }
    }
}

/// All evidence about one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub host: String,
    pub told: Told,
    pub seen: Observations,
}

impl Told {
    /// Order of precedence: the list version, then the time of confirmation, then the source. Remaining ties are
    /// decided by the row's contents, so the result does not depend on the order of arrival.
    fn rank(&self) -> impl Ord + '_ {
        let Row { dial, zone, kind, pod, weight, born, health } = &self.row;
        let bits = |figure: f64| figure.to_bits() as i64;
        let row = (*health, dial, zone, kind, *pod, bits(*weight), bits(*born));
        ((self.epoch, self.seq), TotalF64(self.at), self.source, row)
    }
}

/// A float with a total order.
#[derive(PartialEq)]
struct TotalF64(f64);

impl Eq for TotalF64 {}

impl PartialOrd for TotalF64 {
    fn partial_cmp(&self, other: &TotalF64) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalF64 {
    fn cmp(&self, other: &TotalF64) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Observations {
    /// No observations yet of the process that a row describes.
    pub fn none_of(row: &Row) -> Observations {
        Observations { born: row.born, dial: row.dial.clone(), ..Observations::default() }
    }

    /// Observations of a later start replace all of an earlier one; for the same start the newest of each kind is
    /// kept.
    fn merge(self, other: Observations) -> Observations {
        let process = |seen: &Observations| (TotalF64(seen.born), seen.dial.clone());
        match process(&self).cmp(&process(&other)) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal => {
                let rank = |learned: &Option<LearnedState>| {
                    learned.map(|l| (TotalF64(l.at), TotalF64(l.part), l.shut))
                };
                let self_is_newer = rank(&self.learnt) >= rank(&other.learnt);
                let learnt = if self_is_newer { self.learnt } else { other.learnt };
                let (passed_at, answered_at) =
                    (self.passed_at.max(other.passed_at), self.answered_at.max(other.answered_at));
                Observations { passed_at, answered_at, learnt, ..self }
            }
        }
    }
}

impl Member {
    pub fn new(host: String, told: Told) -> Member {
        let seen = Observations::none_of(&told.row);
        Member { host, told, seen }
    }

    /// Combines two records of one host.
    pub fn merge(self, other: Member) -> Member {
        let self_is_newer = self.told.rank() >= other.told.rank();
        let told = if self_is_newer { self.told } else { other.told };
        Member { host: self.host, told, seen: self.seen.merge(other.seen) }
    }

    /// Observations of the process that the row describes, or none if they belong to another process.
    pub fn current(&self) -> Option<&Observations> {
        let row = &self.told.row;
        Some(&self.seen).filter(|seen| seen.born == row.born && seen.dial == row.dial)
    }

    pub(crate) fn current_mut(&mut self) -> &mut Observations {
        if self.current().is_none() {
            self.seen = Observations::none_of(&self.told.row);
        }
        &mut self.seen
    }
}
