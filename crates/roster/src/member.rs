//! What is known of one host, and by whom. Two such records of one host merge into one, in any order and any
//! number of times, so that a list, the disk and the configuration need not be heard in turn.

use serde::{Deserialize, Serialize};

/// Milliseconds since 1970, by the clock of the machine that wrote it.
pub type UnixMs = f64;

/// Who told of a row, the less trusted first: at the same version and time the later goes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The configuration that the daemon was started with.
    Given,
    /// Discovery, in this run or, on disk, in one before it.
    Discovery,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    On,
    Draining,
    Gone,
}

/// A row of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub dial: String,
    pub zone: String,
    pub kind: String,
    pub pod: u32,
    pub weight: f64,
    /// Its last start, 0 where it is not known.
    pub born: UnixMs,
    pub health: Health,
}

/// A row as it was told, and when that was last confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Of the list; one list only counts up. A list that has started over is told apart by `epoch`.
    pub epoch: u64,
    pub seq: u64,
    pub at: UnixMs,
    pub source: Source,
    pub row: Row,
}

/// What decisions had learnt of it, a hint for those after them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learnt {
    pub at: UnixMs,
    /// The part of its listed weight that it carried.
    pub part: f64,
    pub shut: bool,
}

/// What was seen of one process of a host; the start and the address say which.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub born: UnixMs,
    pub dial: String,
    /// When a probe of it last passed, and when a sum last told of a good answer; 0 for never.
    pub passed: UnixMs,
    pub met: UnixMs,
    pub learnt: Option<Learnt>,
}

/// A list up to that version stood at that time: every row of it that nothing newer has replaced was confirmed
/// then. One such record speaks for all rows, so that a list in which nothing happens costs nothing to keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stand {
    pub epoch: u64,
    pub seq: u64,
    pub at: UnixMs,
}

impl Stand {
    /// The newer list, and of one list the later time.
    pub fn merge(self, other: Stand) -> Stand {
        let rank = |stand: &Stand| (stand.epoch, Key(stand.at), stand.seq);
        if rank(&self) >= rank(&other) {
            self
        } else {
            other
        }
    }

    /// When a row was last confirmed.
    pub fn confirmed(&self, told: &Told) -> UnixMs {
        let same = told.source == Source::Discovery && told.epoch == self.epoch && told.seq <= self.seq;
        if same {
            told.at.max(self.at)
        } else {
            told.at
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub host: String,
    pub told: Told,
    pub seen: Seen,
}

impl Told {
    /// Newer goes before: by the list's own count, then by when it was confirmed, then by who told it. What is left
    /// is settled by the rows themselves, so that the order in which two came never shows.
    fn rank(&self) -> impl Ord + '_ {
        let Row { dial, zone, kind, pod, weight, born, health } = &self.row;
        let plain = |figure: f64| figure.to_bits() as i64;
        let row = (*health, dial, zone, kind, *pod, plain(*weight), plain(*born));
        ((self.epoch, self.seq), Key(self.at), self.source, row)
    }
}

/// Times in an order that is total.
#[derive(PartialEq)]
struct Key(f64);

impl Eq for Key {}

impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Key) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Key {
    fn cmp(&self, other: &Key) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Seen {
    /// Nothing yet of the process that a row tells of.
    pub fn of(row: &Row) -> Seen {
        Seen { born: row.born, dial: row.dial.clone(), ..Seen::default() }
    }

    /// A later start outdates all that was seen of one before it; of one start all that is newer counts.
    fn merge(self, other: Seen) -> Seen {
        let which = |seen: &Seen| (Key(seen.born), seen.dial.clone());
        match which(&self).cmp(&which(&other)) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal => {
                let rank = |learnt: &Option<Learnt>| learnt.map(|l| (Key(l.at), Key(l.part), l.shut));
                let first = rank(&self.learnt) >= rank(&other.learnt);
                let learnt = if first { self.learnt } else { other.learnt };
                let (passed, met) = (self.passed.max(other.passed), self.met.max(other.met));
                Seen { passed, met, learnt, ..self }
            }
        }
    }
}

impl Member {
    pub fn new(host: String, told: Told) -> Member {
        let seen = Seen::of(&told.row);
        Member { host, told, seen }
    }

    /// Both records of one host as one.
    pub fn merge(self, other: Member) -> Member {
        let first = self.told.rank() >= other.told.rank();
        let told = if first { self.told } else { other.told };
        Member { host: self.host, told, seen: self.seen.merge(other.seen) }
    }

    /// What was seen of the process that the row tells of.
    pub fn current(&self) -> Option<&Seen> {
        let row = &self.told.row;
        Some(&self.seen).filter(|seen| seen.born == row.born && seen.dial == row.dial)
    }

    pub(crate) fn current_mut(&mut self) -> &mut Seen {
        if self.current().is_none() {
            self.seen = Seen::of(&self.told.row);
        }
        &mut self.seen
    }
}
