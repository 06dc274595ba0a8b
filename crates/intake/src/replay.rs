//! A replay window: the newest sequence number of a reporter, and a bitmap of the accepted numbers behind
//! it.
//!
//! Numbers are compared as in RFC 1982 (serial number arithmetic), so they may wrap around. The bitmap
//! slides one word at a time, as the anti-replay window of RFC 6479 does.

use crate::report::{Refusal, Seq};

/// Holds twice the largest batch that the front ends accept, so that a batch read from its newest end fits,
/// together with one that overtook it.
const WINDOW_WORDS: usize = 32;
const WINDOW_BITS: u32 = 64 * WINDOW_WORDS as u32;

/// Accepts each sequence number of a reporter process once.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    newest: Option<u32>,
    accepted: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// # Errors
    /// The number was accepted before, or is too far back to tell.
    pub fn accept(&mut self, Seq(seq): Seq) -> Result<(), Refusal> {
        let newest = *self.newest.get_or_insert(seq.wrapping_sub(1));
        let ahead = seq.wrapping_sub(newest);
        if (1..1 << 31).contains(&ahead) {
            self.slide(newest, ahead);
            self.newest = Some(seq);
        } else if newest.wrapping_sub(seq) >= WINDOW_BITS - 64 {
            // One word is reserved for sliding: it may hold numbers of two rounds, so it does not count as
            // part of the window.
            return Err(Refusal::TooFarBack);
        }
        let (word, bit) = position(seq);
        let is_new = self.accepted[word] & bit == 0;
        self.accepted[word] |= bit;
        is_new.then_some(()).ok_or(Refusal::Repeat)
    }

    /// Clears the words that the newest number moves into.
    fn slide(&mut self, newest: u32, ahead: u32) {
        let first = u64::from(newest) / 64 + 1;
        let last = (u64::from(newest) + u64::from(ahead)) / 64;
        for word in (first..=last).take(WINDOW_WORDS) {
            self.accepted[word as usize % WINDOW_WORDS] = 0;
        }
    }
}

fn position(seq: u32) -> (usize, u64) {
    ((seq / 64) as usize % WINDOW_WORDS, 1 << (seq % 64))
}
