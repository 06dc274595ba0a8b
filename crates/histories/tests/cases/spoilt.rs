use std::collections::BTreeMap;
use std::thread;

use amberarch_histories::made::{Chance, Made, SPOILS};
use amberarch_histories::{judge, Line, Rule};

/// How often each fault could be inserted into the history of a seed. Each inserted fault has to be found.
fn insert_and_find_faults(seed: u64) -> BTreeMap<&'static str, u64> {
    let mut planted = BTreeMap::new();
    let good: Vec<Line> = Made::new(seed, 40_000).collect();
    for (number, spoil) in SPOILS.iter().enumerate() {
        let mut lines = good.clone();
        if !spoil.plant(&mut lines, &mut Chance::new(seed * 1_000 + number as u64)) {
            continue;
        }
        *planted.entry(spoil.name).or_default() += 1;
        let report = judge(lines.iter().cloned(), &Made::bounds());
        assert!(report.found(spoil.rule) > 0, "seed {seed}: {} is not found: {report}", spoil.name);
        for violation in &report.verdicts[&spoil.rule].violations {
            let here = |line: &Line| lines.binary_search_by_key(&line.at, |line| line.at).is_ok();
            assert!(violation.witness.iter().all(here), "{}: {violation:?}", spoil.name);
        }
    }
    planted
}

#[test]
fn each_inserted_fault_is_found_by_its_check_and_proven_by_lines_of_the_history() {
    let mut planted: BTreeMap<&str, u64> = BTreeMap::new();
    thread::scope(|scope| {
        let seeds: Vec<_> = (0..3).map(|seed| scope.spawn(move || insert_and_find_faults(seed))).collect();
        for of_seed in seeds {
            let of_seed = of_seed.join().expect("an inserted fault is not found");
            of_seed.into_iter().for_each(|(name, times)| *planted.entry(name).or_default() += times);
        }
    });
    for spoil in SPOILS {
        let times = planted.get(spoil.name).copied().unwrap_or(0);
        assert!(times > 0, "{} had no place in any history", spoil.name);
    }
}

#[test]
fn every_rule_has_at_least_two_corruptions() {
    for rule in Rule::ALL {
        assert!(SPOILS.iter().filter(|spoil| spoil.rule == rule).count() >= 2, "{rule:?}");
    }
}
