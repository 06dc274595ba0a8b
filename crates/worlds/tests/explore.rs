//! Exhaustive exploration of fleets of three voters. They start with an elected leader and revision 1 in force, since
//! reaching that from empty disks would take more choices than can be explored.

use std::time::Instant;

use amberarch_accord::Bug;
use amberarch_worlds::{begin, explore, small_plans, Explored, Small, Ways};

const MOST: usize = 10_000;

fn begun(bug: Option<Bug>) -> (Small, usize) {
    begin(bug).expect("a small fleet comes together")
}

fn told(what: &str, small: &Small, most: usize) -> Explored {
    let start = Instant::now();
    let explored = explore(small, Ways::ALL, most);
    println!("{what}: {explored:?} in {:.2} s", start.elapsed().as_secs_f64());
    explored
}

/// Configurations that are explored completely in a few seconds; the lab explores more.
#[test]
fn some_order_of_few_choices_breaks_a_promise() {
    let (begun, _) = begun(None);
    for one in small_plans().into_iter().take(3) {
        let mut small = begun.clone();
        small.left = one.plan;
        let explored = told(one.what, &small, 100_000);
        assert_eq!((explored.breach, explored.whole), (None, true), "{}", one.what);
    }
}

#[test]
#[ignore = "minutes; the lab runs them side by side"]
fn a_crash_in_any_small_world_breaks_a_promise() {
    let (begun, _) = begun(None);
    for one in small_plans().into_iter().filter(|one| !one.plan.restarts.is_empty()) {
        let mut small = begun.clone();
        small.left = one.plan;
        assert_eq!(told(one.what, &small, one.most.unwrap_or(2_000_000)).breach, None, "{}", one.what);
    }
}

/// Merging equivalent states loses no state, and skipping equivalent orders misses no breach: with either switched off
/// there are more states and the same result.
#[test]
fn states_that_are_folded_or_left_out_hide_a_breach() {
    let (mut small, _) = begun(None);
    small.left = small_plans()[0].plan.clone();
    let folded = explore(&small, Ways::ALL, MOST);
    let every_order = explore(&small, Ways { orders: false, ..Ways::ALL }, MOST);
    assert!(folded.whole && every_order.whole && folded.states < every_order.states);
    assert_eq!((folded.breach, every_order.breach), (None, None));
    // Without relative times no state recurs, and the exploration does not end.
    let never_folded = explore(&small, Ways { folds: false, ..Ways::ALL }, MOST);
    assert!(!never_folded.whole);
}

#[cfg(feature = "seeded-bugs")]
mod seeded {
    use amberarch_worlds::{Choice, Plan};

    use super::*;

    fn found(bug: Bug, plan: Plan) {
        found_after(bug, (&[], Plan::default()), plan);
    }

    /// The first steps follow a fixed plan and are not searched; only the choices after them are the shortest.
    fn found_after(bug: Bug, (first, by): (&[Choice], Plan), plan: Plan) {
        let ((mut wrong, _), (mut clean, _)) = (begun(Some(bug)), begun(None));
        for small in [&mut wrong, &mut clean] {
            small.left = by.clone();
            first.iter().for_each(|choice| small.choose(*choice));
            assert_eq!(small.breach(), None);
            small.left = plan.clone();
        }
        let explored = told(&format!("{bug:?}"), &wrong, 400_000);
        let (trace, why) = explored.breach.expect("the seeded bug is found");
        // The same choices cause no breach with a controller without the bug, or are not available to it.
        for choice in trace {
            if !clean.choices().contains(&choice) {
                return;
            }
            clean.choose(choice);
        }
        assert_eq!(clean.breach(), None, "{why}");
    }

    fn coarse() -> Plan {
        Plan { terms: 4, calm: Some(360), ..Plan::default() }
    }

    #[test]
    fn a_steward_that_acts_after_its_lease_is_not_found() {
        found(Bug::ActsAfterLease, Plan { cuts: vec![0], ..coarse() });
    }

    #[test]
    fn a_chair_that_widens_too_early_is_not_found() {
        found(Bug::WidensBeforeAllNarrowed, Plan { cuts: vec![0], proposals: vec![(0, 2)], ..coarse() });
    }

    #[test]
    fn a_chair_that_forgets_earlier_leases_is_not_found() {
        found(Bug::ForgetsEarlierLeases, Plan { cuts: vec![0], proposals: vec![(1, 2), (2, 2)], ..coarse() });
    }

    #[test]
    fn a_voter_that_votes_twice_is_not_found() {
        found(Bug::VotesTwice, Plan { cuts: vec![0], terms: 1, ..Plan::default() });
    }

    #[test]
    #[cfg_attr(debug_assertions, ignore = "takes minutes without optimisation")]
    fn an_entry_of_an_earlier_term_that_stands_by_count_is_not_found() {
        use Choice::{Calm, Cut, Heal, Propose};
        // A leader that is cut off writes an entry; another leader is elected and writes a different entry at that place.
        let first = [Cut(0), Propose(0, 2), Calm, Heal, Cut(1), Propose(1, 3), Calm];
        let by = Plan { cuts: vec![0, 1], proposals: vec![(0, 2), (1, 3)], calm: Some(720), ..coarse() };
        let plan = Plan { cuts: vec![0], terms: 3, ..Plan::default() };
        found_after(Bug::CommitsEarlierTermByCount, (&first, by), plan);
    }

    #[test]
    #[cfg_attr(debug_assertions, ignore = "takes minutes without optimisation")]
    fn a_chair_that_gives_leases_without_its_majority_is_not_found() {
        found(
            Bug::GrantsWithoutMajority,
            Plan { cuts: vec![0], proposals: vec![(1, 2), (2, 2)], calm: Some(120), ..coarse() },
        );
    }
}
