//! Replays the incidents of `docs/incidents/drains-behind-unsure-calls.md`: the relay is silent for five
//! seconds while hosts continue to drain.

use amberarch_rig::drill::{SilenceEnds, SilentCalls};

use super::*;

/// The list changes of the first recorded incident, up to second 24.
fn list() -> Vec<ListChange> {
    changes(&[
        (3_728, &[0, 1], Draining),
        (10_328, &[2, 4], Draining),
        (12_657, &[0, 1], Gone),
        (13_433, &[0, 1], Ready),
        (14_209, &[3, 7], Draining),
        (15_763, &[5, 8], Ready),
        (19_257, &[2, 4], Gone),
        (19_645, &[6, 9], Draining),
        (20_032, &[2, 4], Ready),
    ])
}

fn plan(seed: u64, calls: SilentCalls, ends: SilenceEnds) -> DrillPlan {
    let silences = vec![Silence { from: 4_500, until: 9_535, calls, ends }];
    // The controller's zone is cut off from the other zones.
    let others = (0..30).filter(|host| host % 3 != 0).collect();
    let unreachable = vec![Unreachable { from: 4_500, until: 9_535, hosts: others }];
    let (settings, changes) = (Settings::usual(seed), list());
    DrillPlan { silences, unreachable, ..DrillPlan::calm(settings, changes, 25_000) }
}

/// Seeds; each draws the rates, latencies and initial tables of a fleet.
const SEEDS: std::ops::Range<u64> = 1..7;

fn assert_kept_by_all(ends: SilenceEnds, calls: &[SilentCalls]) {
    let plans = calls.iter().flat_map(|calls| SEEDS.map(|seed| plan(seed, *calls, ends)));
    assert_kept(&plans.collect::<Vec<_>>());
}

#[test]
fn a_relay_that_is_silent_and_then_resets_delays_no_drain() {
    assert_kept_by_all(
        SilenceEnds::Reset,
        &[SilentCalls::Lost, SilentCalls::CarriedOut, SilentCalls::InTurn],
    );
}

#[test]
fn a_relay_that_is_silent_and_then_goes_on_delays_no_drain() {
    assert_kept_by_all(SilenceEnds::Resume, &[SilentCalls::Lost, SilentCalls::CarriedOut]);
}
