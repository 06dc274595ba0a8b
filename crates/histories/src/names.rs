//! Interned names: each distinct name is stored once and referred to by a small number, which keeps memory
//! small for histories with millions of lines.

use std::collections::HashMap;

#[derive(Default)]
pub(crate) struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    pub fn of(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.into(), number);
        self.names.push(name.into());
        number
    }

    pub fn name(&self, number: u32) -> &str {
        &self.names[number as usize]
    }
}

/// A set of numbers, one bit per number in 64-bit words. Compact where numbers are close together, as those
/// of a counter are.
#[derive(Default)]
pub(crate) struct NumberSet {
    words: HashMap<u64, u64>,
}

impl NumberSet {
    /// Adds the number; true if it was not in the set.
    pub fn add(&mut self, number: u64) -> bool {
        let word = self.words.entry(number >> 6).or_default();
        let bit = 1 << (number & 63);
        let new = *word & bit == 0;
        *word |= bit;
        new
    }

    pub fn has(&self, number: u64) -> bool {
        self.words.get(&(number >> 6)).is_some_and(|word| word & (1 << (number & 63)) != 0)
    }
}
