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

/// While calls failed, twenty gates were decided behind a silence, and each counted for every proxy that was not bound; then answers
/// to marks of all proxies were lost for four seconds. The account of the channel stayed full ("withdrawals wait for the channel, in which
/// 4838 lines may wait") while nothing waited there, and binds of who had come meanwhile went six at a time. The build of 3c39b6b
/// failed in 5 plays of 5 and 13fb68e, by which gates wait while calls fail, in none of 5; binds that would be late go before gates since.
#[test]
fn a_watch_that_loses_all_answers_for_seconds_delays_no_drain() {
    assert_kept(&[DrillPlan::drawn(134, FAULTS)]);
}

/// Proxies that join in a silence of the relay, with tables of before, hold draining hosts in them. Once it was back, gates and
/// returns went out before their binds, each to all who were not bound, and took the room that answers gave: "proxies wait to be
/// bound for 11227 ms: 43 for room in the channel; 2511 lines may wait", while 0 to 1,400 waited there
/// (`docs/incidents/binds-behind-gates.md`).
///
/// Beside load it still fails at times, by 40 ms, for another cause: several replies went as one call, the relay refused a bind in it, and
/// the proxies of the part that was taken answered marks that the account did not know any more. "19 for room in the channel; 4095
/// lines may wait" stood for 1.9 s while none did, until a probe was answered.
#[test]
fn a_proxy_that_joins_in_a_silence_is_bound_within_the_grace_of_drains() {
    assert_kept(&[DrillPlan::drawn(126, FAULTS)]);
}

/// The same cause with fewer proxies, and two more: the account counted a reply whole again for each of its orders that was refused
/// ("4300 lines may wait" where 2,086 may), and the probe that ends such a standstill was never sent, as the proxy in turn was to be
/// bound to a table in which nothing served: "14 for room in the channel, 38 for a table in which a host serves; 3576 lines may wait",
/// each second to the end (`docs/incidents/probe-that-never-goes.md`).
#[test]
fn a_proxy_that_joins_beside_failing_calls_is_bound_within_the_grace_of_drains() {
    assert_kept(&[DrillPlan::drawn(412, FAULTS)]);
}
