//! Deployments and faults drawn by seed.

use super::*;

/// How long faults last in each, ms.
const FAULTS: u64 = 16_000;

/// Guards against drains that are late, or limits of the channel that are passed, under faults that nobody listed.
#[test]
fn drills_drawn_by_seed_keep_drains_and_limits() {
    let seeds = match std::env::var("AMBERARCH_DRILL_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("seeds as A..B");
            from.parse().expect("a seed")..to.parse().expect("a seed")
        }
        Err(_) => 1..13,
    };
    let plans: Vec<DrillPlan> = seeds.map(|seed| DrillPlan::drawn(seed, FAULTS)).collect();
    assert_kept(&plans);
}

/// Answers to marks of all proxies are lost for four seconds while the watch stands, between two silences: what waits can't be
/// told from what has left, and binds of who came meanwhile are late. The protocol page has no such fault; its answers are
/// spoilt one by one.
#[test]
fn a_watch_that_loses_all_answers_for_seconds_delays_no_drain() {
    assert_kept(&[DrillPlan::drawn(134, FAULTS)]);
}

/// Proxies that join while the relay is silent, most of them with tables of before, are bound late once it is back.
#[test]
fn a_proxy_that_joins_in_a_silence_is_bound_within_the_grace_of_drains() {
    assert_kept(&[DrillPlan::drawn(126, FAULTS)]);
}

/// The same with fewer proxies; at rest it fails at times.
#[test]
fn a_proxy_that_joins_beside_failing_calls_is_bound_within_the_grace_of_drains() {
    assert_kept(&[DrillPlan::drawn(412, FAULTS)]);
}
