//! A voter's log: consecutive entries that follow a snapshot.

use crate::{Logged, Place, Term};

#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(crate) struct Log {
    snapshot: (Term, Place),
    /// The first entry has the index after the snapshot's.
    entries: Vec<Logged>,
}

impl Log {
    pub fn new(snapshot: (Term, Place), entries: Vec<Logged>) -> Log {
        Log { snapshot, entries }
    }

    pub fn snapshot_index(&self) -> Place {
        self.snapshot.1
    }

    pub fn last(&self) -> (Term, Place) {
        let place = Place(self.snapshot.1 .0 + self.entries.len() as u64);
        (self.entries.last().map_or(self.snapshot.0, |logged| logged.term), place)
    }

    fn index(&self, place: Place) -> Option<usize> {
        let index = place.0.checked_sub(self.snapshot.1 .0)?.checked_sub(1)?;
        usize::try_from(index).ok()
    }

    pub fn get(&self, place: Place) -> Option<&Logged> {
        self.entries.get(self.index(place)?)
    }

    /// The term of the entry at this index, or of the snapshot at its own index; `None` before the snapshot
    /// and after the last entry.
    pub fn term_at(&self, place: Place) -> Option<Term> {
        match place == self.snapshot.1 {
            true => Some(self.snapshot.0),
            false => self.get(place).map(|logged| logged.term),
        }
    }

    /// At most `limit` entries that follow an index, which must not be before the snapshot's.
    pub fn after(&self, place: Place, limit: usize) -> &[Logged] {
        let from = self.index(Place(place.0 + 1)).unwrap_or(0).min(self.entries.len());
        &self.entries[from..from.saturating_add(limit).min(self.entries.len())]
    }

    pub fn push(&mut self, logged: Logged) {
        self.entries.push(logged);
    }

    /// Removes all entries from this index on.
    pub fn truncate_from(&mut self, place: Place) {
        let keep = self.index(place).unwrap_or(0);
        self.entries.truncate(keep);
    }

    /// Replaces the log up to this index by a snapshot. Later entries stay only if the log has the snapshot's
    /// last entry, that is, the same term at its index.
    pub fn compact(&mut self, snapshot: (Term, Place)) {
        match (self.term_at(snapshot.1) == Some(snapshot.0), self.index(snapshot.1)) {
            (true, Some(index)) => drop(self.entries.drain(..=index)),
            (true, None) => {}
            (false, _) => self.entries.clear(),
        }
        self.snapshot = snapshot;
    }
}
