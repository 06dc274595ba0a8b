//! Which numbers of a reporter were taken: the newest, and a bitmap of those behind it.
//!
//! Numbers compare as in RFC 1982 (serial number arithmetic), so they may go round; the bitmap slides as the
//! anti-replay window of RFC 6479 does, a word at a time.

use crate::report::{Refusal, Seq};

/// Twice the largest batch that fronts take, so that one read from its newest end fits, and one that
/// overtook it.
const WORDS: usize = 32;
const BITS: u32 = 64 * WORDS as u32;

#[derive(Clone, Debug, Default)]
pub struct Replay {
    newest: Option<u32>,
    taken: [u64; WORDS],
}

impl Replay {
    /// # Errors
    /// A number that was taken before, or one so far back that nobody knows.
    pub fn take(&mut self, Seq(seq): Seq) -> Result<(), Refusal> {
        let newest = *self.newest.get_or_insert(seq.wrapping_sub(1));
        let ahead = seq.wrapping_sub(newest);
        if (1..1 << 31).contains(&ahead) {
            self.slide(newest, ahead);
            self.newest = Some(seq);
        } else if newest.wrapping_sub(seq) >= BITS - 64 {
            // The word that slides holds numbers of two rounds, so its width is not told.
            return Err(Refusal::TooFarBack);
        }
        let (word, bit) = place(seq);
        let fresh = self.taken[word] & bit == 0;
        self.taken[word] |= bit;
        fresh.then_some(()).ok_or(Refusal::Repeat)
    }

    /// Clears the words that the newest number moves into.
    fn slide(&mut self, newest: u32, ahead: u32) {
        let first = u64::from(newest) / 64 + 1;
        let last = (u64::from(newest) + u64::from(ahead)) / 64;
        for word in (first..=last).take(WORDS) {
            self.taken[word as usize % WORDS] = 0;
        }
    }
}

fn place(seq: u32) -> (usize, u64) {
    ((seq / 64) as usize % WORDS, 1 << (seq % 64))
}
