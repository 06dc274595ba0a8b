//! A straightforward reference implementation of a check: quadratic and entirely in memory. Tests compare its
//! verdicts with those of the fast check, and benches its run time.

use std::collections::HashMap;

use crate::exclude::{has, within, Within};
use crate::{Line, What};

/// A period in which a controller acts: its name and run, the revisions, start and end in ns.
struct ActivePeriod<'a> {
    who: &'a str,
    boot: u64,
    within: Within,
    from: u64,
    until: u64,
}

/// Counts how often two controllers act at the same time under orders that share no revision, by comparing
/// each pair of holds. Conflicts that only show among three controllers are not detected.
pub fn excluding(lines: &[Line]) -> u64 {
    let mut all: Vec<ActivePeriod> = Vec::new();
    let mut last: HashMap<(&str, u64), usize> = HashMap::new();
    for line in lines {
        let who = line.who.as_str();
        let ended: Vec<u64> = match line.what {
            What::Holds { boot, .. } | What::LetGo { boot } => vec![boot],
            What::Died => last.keys().filter(|(of, _)| *of == who).map(|(_, boot)| *boot).collect(),
            _ => continue,
        };
        for place in ended.into_iter().filter_map(|boot| last.remove(&(who, boot))) {
            all[place].until = all[place].until.min(line.at);
        }
        if let What::Holds { boot, holds, until, .. } = line.what {
            last.insert((who, boot), all.len());
            all.push(ActivePeriod { who, boot, within: within(holds), from: line.at, until });
        }
    }
    let excludes = |a: &ActivePeriod, b: &ActivePeriod| {
        let apart = !has(b.within, a.within.0) && !has(b.within, a.within.1);
        apart && (a.who, a.boot) != (b.who, b.boot) && a.from.max(b.from) < a.until.min(b.until)
    };
    let mut found = 0;
    for (place, a) in all.iter().enumerate() {
        found += all[place + 1..].iter().filter(|b| excludes(a, b)).count() as u64;
    }
    found
}
