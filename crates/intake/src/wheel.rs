//! A hierarchical timing wheel: one deadline per key, moved in constant time.
//!
//! After Varghese and Lauck (1987), scheme 7: four rings of 64 slots, where each slot of a ring is as wide
//! as the whole ring below it. A key is an index into arrays, and a slot is a list linked through them. A
//! report that postpones its host's deadline touches three entries, and memory is one entry per key.

const SLOTS: usize = 64;
const RINGS: usize = 4;
/// Milliseconds per tick, short compared with the seconds after which an estimate ages. Four rings cover
/// 64^4 ticks, three days.
const TICK: f64 = 16.0;
const NONE: u32 = u32::MAX;
/// Marks a key without a deadline.
const NO_SLOT: u16 = u16::MAX;

#[derive(Clone, Copy)]
struct Entry {
    due: u64,
    slot: u16,
    next: u32,
    previous: u32,
}

const IDLE: Entry = Entry { due: 0, slot: NO_SLOT, next: NONE, previous: NONE };

/// Deadlines of keys, in slots of increasing width.
#[derive(Default)]
pub struct TimerWheel {
    entries: Vec<Entry>,
    slot_heads: Vec<u32>,
    /// All ticks up to this one have been processed.
    processed_tick: u64,
    armed: usize,
}

impl TimerWheel {
    /// Creates a wheel whose time begins at `now`, in milliseconds.
    pub fn new(now: f64) -> TimerWheel {
        TimerWheel {
            entries: Vec::new(),
            slot_heads: vec![NONE; SLOTS * RINGS],
            processed_tick: to_ticks(now),
            armed: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.armed
    }

    pub fn is_empty(&self) -> bool {
        self.armed == 0
    }

    /// Sets the key's deadline to `due` ms, replacing any previous one. A deadline in the past fires at the
    /// next `advance`.
    pub fn set(&mut self, key: u32, due: f64) {
        self.clear(key);
        if key as usize >= self.entries.len() {
            self.entries.resize(key as usize + 1, IDLE);
        }
        // Rounded up, so that a deadline never fires early.
        self.insert(key, to_ticks(due).saturating_add(1).max(self.processed_tick + 1));
        self.armed += 1;
    }

    pub fn clear(&mut self, key: u32) {
        if self.entries.get(key as usize).is_some_and(|entry| entry.slot != NO_SLOT) {
            self.remove(key);
            self.armed -= 1;
        }
    }

    /// Calls `on_due` once for each key whose deadline has passed.
    pub fn advance(&mut self, now: f64, mut on_due: impl FnMut(u32)) {
        let until = to_ticks(now);
        if self.armed == 0 {
            self.processed_tick = self.processed_tick.max(until);
        }
        while self.processed_tick < until {
            self.processed_tick += 1;
            // When a ring has completed a turn, the next slot of the wider ring is distributed over the
            // rings below.
            let now = self.processed_tick;
            for ring in (1..RINGS).rev().filter(|ring| now.is_multiple_of(slot_width(*ring))) {
                let slot = ring * SLOTS + (self.processed_tick / slot_width(ring)) as usize % SLOTS;
                self.drain(slot, |wheel, key| wheel.insert(key, wheel.entries[key as usize].due));
            }
            self.drain(self.processed_tick as usize % SLOTS, |wheel, key| {
                wheel.armed -= 1;
                on_due(key);
            });
        }
    }

    fn drain(&mut self, slot: usize, mut visit: impl FnMut(&mut TimerWheel, u32)) {
        while self.slot_heads[slot] != NONE {
            let key = self.slot_heads[slot];
            self.remove(key);
            visit(self, key);
        }
    }

    fn insert(&mut self, key: u32, due: u64) {
        let remaining = due.saturating_sub(self.processed_tick);
        let ring = (0..RINGS).find(|ring| remaining < slot_width(ring + 1)).unwrap_or(RINGS - 1);
        // Deadlines beyond the widest ring wait in its last slot and are inserted again from there.
        let slot_tick = due.min(self.processed_tick + slot_width(RINGS) - 1);
        let slot = ring * SLOTS + (slot_tick / slot_width(ring)) as usize % SLOTS;
        let head = std::mem::replace(&mut self.slot_heads[slot], key);
        if head != NONE {
            self.entries[head as usize].previous = key;
        }
        self.entries[key as usize] = Entry { due, slot: slot as u16, next: head, previous: NONE };
    }

    fn remove(&mut self, key: u32) {
        let Entry { slot, next, previous, .. } = self.entries[key as usize];
        match previous {
            NONE => self.slot_heads[usize::from(slot)] = next,
            previous => self.entries[previous as usize].next = next,
        }
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        self.entries[key as usize].slot = NO_SLOT;
    }
}

fn to_ticks(ms: f64) -> u64 {
    (ms / TICK).max(0.0) as u64
}

/// Number of ticks that a slot of the ring covers.
fn slot_width(ring: usize) -> u64 {
    1 << (6 * ring)
}
