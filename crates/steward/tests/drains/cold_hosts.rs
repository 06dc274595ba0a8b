//! Replays the incident of `docs/incidents/cold-hosts-overloaded.md`: hosts are replaced in steps that overlap, until the
//! others are overloaded.

use super::*;

/// Seeds; each draws which hosts are replaced, when, how late the list is, and the load.
const SEEDS: std::ops::Range<u64> = 3..17;
const SEEDS_WITH_RESTART: std::ops::Range<u64> = 101..107;

/// The seeds to run: `AMBERARCH_ROLLING_SEEDS=A..B` names others.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("AMBERARCH_ROLLING_SEEDS") else { return usual };
    let (from, to) = range.split_once("..").expect("seeds as A..B");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Runs the drills and fails unless each keeps all rules.
fn assert_no_cold_host_overloaded(plans: &[DrillPlan]) {
    let mut failed = Vec::new();
    for (plan, drilled) in plans.iter().zip(run_all(plans)) {
        let (seed, outcome, verdicts) = (plan.settings.seed, outcome(&drilled), &drilled.verdicts);
        println!(
            "seed {seed}: {outcome:?}, {} cold hosts looked at, load {:.2} at most, {:.1} % of requests served",
            verdicts.cold_load.looked,
            verdicts.largest_cold_load,
            100.0 * drilled.served.fraction()
        );
        assert!(verdicts.cold_load.looked > 0, "no host started");
        assert!(drilled.log.contains("hosts are restored"), "the log does not tell when hosts are restored");
        if outcome != Outcome::Kept {
            print_details(plan, &drilled);
            failed.push((seed, outcome));
        }
    }
    assert!(failed.is_empty(), "{} of {} drills: {failed:#?}", failed.len(), plans.len());
}

// Guards against hosts that fail soon after their start: the others are overloaded, and their proxies turn to them.
#[test]
fn hosts_that_are_replaced_in_steps_are_not_overloaded_while_they_are_cold() {
    let plans: Vec<DrillPlan> = seeds(SEEDS).map(|seed| DrillPlan::rolling(Settings::usual(seed))).collect();
    assert_no_cold_host_overloaded(&plans);
}

// Guards against the same after a restart of the controller: it has forgotten that the fleet is overloaded.
#[test]
fn a_controller_that_restarts_while_hosts_are_replaced_overloads_no_cold_host() {
    let plan = |seed| DrillPlan::rolling_with_restart(Settings::usual(seed));
    let plans: Vec<DrillPlan> = seeds(SEEDS_WITH_RESTART).map(plan).collect();
    assert_no_cold_host_overloaded(&plans);
}
