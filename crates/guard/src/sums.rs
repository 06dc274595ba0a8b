//! The total weight of a table's entries whose hosts are not withdrawn, updated incrementally. Weights are
//! summed in a tree of blocks of hosts; a change recomputes the blocks on its path from their children. The
//! total therefore does not depend on the order of earlier changes, and undoing a change restores it exactly.
//! A running total adjusted by differences would drift and would lose small weights beside huge ones.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::HostId;

/// Each block has 256 children. With 3,000 hosts a change then sums some hundred entries, about the cost of
/// looking up its place, and 32-bit ids need three levels.
const BITS: u32 = 8;
const LEVELS: usize = 3;

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct WeightSums {
    blocks: [BTreeMap<u32, f64>; LEVELS],
    all: f64,
}

/// The recomputed blocks of each level on the paths of some hosts, and the new total.
type PathSums = ([Vec<(u32, f64)>; LEVELS], f64);

/// Sums the weights in the order of ids, with those of `fresh` replacing the present ones.
fn sum(standing: impl Iterator<Item = (u32, f64)>, fresh: &[(u32, f64)]) -> f64 {
    let (mut all, mut fresh) = (0.0, fresh.iter().peekable());
    for (id, weight) in standing {
        while let Some(before) = fresh.next_if(|fresh| fresh.0 < id) {
            all += before.1;
        }
        all += fresh.next_if(|fresh| fresh.0 == id).map_or(weight, |same| same.1);
    }
    fresh.fold(all, |all, after| all + after.1)
}

impl WeightSums {
    pub fn all(&self) -> f64 {
        self.all
    }

    /// Recomputes the sums after the entries of these hosts, or their withdrawal, changed. Hosts come in
    /// ascending order.
    pub fn update(
        &mut self,
        lines: &BTreeMap<HostId, f64>,
        withdrawn: &BTreeSet<HostId>,
        changed: impl Iterator<Item = HostId>,
    ) {
        let open =
            |host: HostId| lines.get(&host).copied().filter(|_| !withdrawn.contains(&host)).unwrap_or(0.0);
        let fresh: Vec<(u32, f64)> = changed.map(|host| (host.0, open(host))).collect();
        let (levels, all) = self.paths(lines, withdrawn, fresh);
        for (blocks, fresh) in self.blocks.iter_mut().zip(levels) {
            for (block, weight) in fresh {
                match weight > 0.0 {
                    true => blocks.insert(block, weight),
                    false => blocks.remove(&block),
                };
            }
        }
        self.all = all;
    }

    /// The total if these hosts had these weights. Hosts come in ascending order.
    pub fn total_with(
        &self,
        lines: &BTreeMap<HostId, f64>,
        withdrawn: &BTreeSet<HostId>,
        weights: Vec<(u32, f64)>,
    ) -> f64 {
        if weights.is_empty() {
            return self.all;
        }
        self.paths(lines, withdrawn, weights).1
    }

    fn paths(
        &self,
        lines: &BTreeMap<HostId, f64>,
        withdrawn: &BTreeSet<HostId>,
        mut fresh: Vec<(u32, f64)>,
    ) -> PathSums {
        let mut levels: [Vec<(u32, f64)>; LEVELS] = Default::default();
        for (level, of_level) in levels.iter_mut().enumerate() {
            let mut blocks: Vec<(u32, f64)> = Vec::new();
            for of in fresh.chunk_by(|a, b| a.0 >> BITS == b.0 >> BITS) {
                let block = of[0].0 >> BITS;
                let (first, last) = (block << BITS, block << BITS | ((1 << BITS) - 1));
                let weight = match level {
                    0 => {
                        let there = lines.range(HostId(first)..=HostId(last));
                        let open = |(host, weight): (&HostId, &f64)| {
                            (host.0, if withdrawn.contains(host) { 0.0 } else { *weight })
                        };
                        sum(there.map(open), of)
                    }
                    _ => {
                        let there = self.blocks[level - 1].range(first..=last);
                        sum(there.map(|(block, weight)| (*block, *weight)), of)
                    }
                };
                blocks.push((block, weight));
            }
            *of_level = blocks.clone();
            fresh = blocks;
        }
        let all = sum(self.blocks[LEVELS - 1].iter().map(|(block, weight)| (*block, *weight)), &fresh);
        (levels, all)
    }

    /// Recomputes everything from the entries, for comparison.
    #[cfg(any(test, debug_assertions))]
    pub fn recomputed(lines: &BTreeMap<HostId, f64>, withdrawn: &BTreeSet<HostId>) -> WeightSums {
        let mut sums = WeightSums::default();
        sums.update(lines, withdrawn, lines.keys().copied());
        sums
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// An entry set or removed, or a host withdrawn or restored. Ids lie in the same and in distant blocks,
    /// and weights differ so much that one is lost when added to the other.
    fn change() -> impl Strategy<Value = (u32, Option<f64>, bool)> {
        let host = prop_oneof![0..40u32, 250..260u32, Just(70_000), Just(u32::MAX)];
        let weight = prop_oneof![Just(1e9), Just(1e-9), Just(0.1), Just(0.3), Just(1e100), Just(1e-300)];
        (host, prop::option::of(weight), any::<bool>())
    }

    proptest! {
        #[test]
        fn a_kept_sum_differs_from_one_counted_anew(changes in prop::collection::vec(change(), 1..60)) {
            let (mut lines, mut withdrawn, mut sums) = (BTreeMap::new(), BTreeSet::new(), WeightSums::default());
            for part in changes.chunks(3) {
                let (was, was_withdrawn) = (lines.clone(), withdrawn.clone());
                let mut hosts = BTreeSet::new();
                for (host, weight, gate) in part {
                    let host = HostId(*host);
                    hosts.insert(host);
                    match weight {
                        Some(weight) => drop(lines.insert(host, *weight)),
                        None if *gate => drop(lines.remove(&host)),
                        None => drop(withdrawn.remove(&host) || withdrawn.insert(host)),
                    }
                }
                let weights = hosts.iter().map(|host| {
                    let open = lines.get(host).copied().filter(|_| !withdrawn.contains(host));
                    (host.0, open.unwrap_or(0.0))
                });
                let would = sums.total_with(&was, &was_withdrawn, weights.collect());
                sums.update(&lines, &withdrawn, hosts.into_iter());
                prop_assert_eq!(&sums, &WeightSums::recomputed(&lines, &withdrawn));
                prop_assert_eq!(would, sums.all());
                let plain: f64 = lines.iter().filter(|line| !withdrawn.contains(line.0)).map(|line| line.1).sum();
                prop_assert!((sums.all() - plain).abs() <= 1e-12 * plain, "{} {}", sums.all(), plain);
            }
        }
    }
}
