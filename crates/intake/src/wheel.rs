//! A hierarchical timing wheel: one deadline a key, moved in constant time.
//!
//! After Varghese and Lauck (1987), scheme 7: four rings of 64 slots, each slot of a ring as wide as the whole
//! ring below it. A key is a place in arrays and its slot a list linked through them, so that a report which
//! puts its host's deadline off touches three entries, and memory is one entry a key whatever happens.

const SLOTS: usize = 64;
const RINGS: usize = 4;
/// Fine beside the seconds after which a belief ages; four rings reach 64^4 of it, three days.
const TICK: f64 = 16.0;
const NONE: u32 = u32::MAX;
/// The slot of a key that has no deadline.
const OFF: u16 = u16::MAX;

#[derive(Clone, Copy)]
struct Entry {
    due: u64,
    slot: u16,
    next: u32,
    before: u32,
}

const IDLE: Entry = Entry { due: 0, slot: OFF, next: NONE, before: NONE };

#[derive(Default)]
pub struct Wheel {
    entries: Vec<Entry>,
    heads: Vec<u32>,
    /// All ticks up to this one have been told.
    told: u64,
    waiting: usize,
}

impl Wheel {
    /// A wheel whose time begins at `now`, in milliseconds.
    pub fn new(now: f64) -> Wheel {
        Wheel { entries: Vec::new(), heads: vec![NONE; SLOTS * RINGS], told: tick(now), waiting: 0 }
    }

    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Puts the key's deadline at `due` ms, whatever it was. One that has passed is told by the next `advance`.
    pub fn set(&mut self, key: u32, due: f64) {
        self.clear(key);
        if key as usize >= self.entries.len() {
            self.entries.resize(key as usize + 1, IDLE);
        }
        // Rounded up: never told before its time.
        self.link(key, tick(due).saturating_add(1).max(self.told + 1));
        self.waiting += 1;
    }

    pub fn clear(&mut self, key: u32) {
        if self.entries.get(key as usize).is_some_and(|entry| entry.slot != OFF) {
            self.unlink(key);
            self.waiting -= 1;
        }
    }

    /// Gives every key whose deadline has passed to `told`, once.
    pub fn advance(&mut self, now: f64, mut told: impl FnMut(u32)) {
        let until = tick(now);
        if self.waiting == 0 {
            self.told = self.told.max(until);
        }
        while self.told < until {
            self.told += 1;
            // Where a ring has gone round, the slot of the next wider one that begins now is dealt out below.
            let now = self.told;
            for ring in (1..RINGS).rev().filter(|ring| now.is_multiple_of(width(*ring))) {
                let slot = ring * SLOTS + (self.told / width(ring)) as usize % SLOTS;
                self.drain(slot, |wheel, key| wheel.link(key, wheel.entries[key as usize].due));
            }
            self.drain(self.told as usize % SLOTS, |wheel, key| {
                wheel.waiting -= 1;
                told(key);
            });
        }
    }

    fn drain(&mut self, slot: usize, mut each: impl FnMut(&mut Wheel, u32)) {
        while self.heads[slot] != NONE {
            let key = self.heads[slot];
            self.unlink(key);
            each(self, key);
        }
    }

    fn link(&mut self, key: u32, due: u64) {
        let left = due.saturating_sub(self.told);
        let ring = (0..RINGS).find(|ring| left < width(ring + 1)).unwrap_or(RINGS - 1);
        // What lies beyond the widest ring waits in its last slot and is dealt anew from there.
        let at = due.min(self.told + width(RINGS) - 1);
        let slot = ring * SLOTS + (at / width(ring)) as usize % SLOTS;
        let head = std::mem::replace(&mut self.heads[slot], key);
        if head != NONE {
            self.entries[head as usize].before = key;
        }
        self.entries[key as usize] = Entry { due, slot: slot as u16, next: head, before: NONE };
    }

    fn unlink(&mut self, key: u32) {
        let Entry { slot, next, before, .. } = self.entries[key as usize];
        match before {
            NONE => self.heads[usize::from(slot)] = next,
            before => self.entries[before as usize].next = next,
        }
        if next != NONE {
            self.entries[next as usize].before = before;
        }
        self.entries[key as usize].slot = OFF;
    }
}

fn tick(ms: f64) -> u64 {
    (ms / TICK).max(0.0) as u64
}

/// How many ticks a slot of the ring is wide.
fn width(ring: usize) -> u64 {
    1 << (6 * ring)
}
