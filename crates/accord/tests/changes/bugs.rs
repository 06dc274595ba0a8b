//! Checks that the simulation detects seeded faults; otherwise its verdicts on the correct code would mean
//! nothing.

use amberarch_accord::Bug;
use amberarch_worlds::{storm, Breach, Loses, Shape, Storm, World};

/// The first seed at which randomized faults lead to a breach.
fn first_breach(bug: Bug, shape: Shape, faults: Storm, seeds: u64) -> Option<(u64, Breach)> {
    (0..seeds).find_map(|seed| {
        let mut world = World::with_bug(seed, shape, bug);
        let outcome = storm(&mut world, &faults);
        Some((seed, outcome.breaches.into_iter().next()?))
    })
}

fn assert_found(bug: Bug, shape: Shape, faults_every: f64, seeds: u64) {
    // Without graceful shutdowns, which make these faults rarer.
    let faults = Storm { faults_every, ends_in_order: false, ..Storm::of(&shape) };
    let found = first_breach(bug, shape, faults, seeds);
    assert!(found.is_some(), "{bug:?} was not seen in {seeds} runs with randomized faults");
}

#[test]
fn a_voter_votes_twice() {
    let mut shape = Shape::of(4, 0);
    // Delays that make elections often overlap.
    shape.net.delay = (20.0, 300.0);
    assert_found(Bug::VotesTwice, shape, 500.0, 200);
}

#[test]
fn a_chair_counts_entries_of_earlier_terms() {
    let mut shape = Shape::of(5, 0);
    shape.net.delay = (1.0, 100.0);
    assert_found(Bug::CommitsEarlierTermByCount, shape, 400.0, 400);
}

#[test]
fn a_steward_acts_after_its_lease() {
    assert_found(Bug::ActsAfterLease, Shape::of(3, 2), 1_500.0, 100);
}

#[test]
fn a_chair_widens_before_all_have_narrowed() {
    assert_found(Bug::WidensBeforeAllNarrowed, Shape::of(3, 2), 1_500.0, 100);
}

#[test]
fn a_chair_gives_leases_without_its_majority() {
    // The leader steps down soon after the partition, so the lease that it still grants has to end just after
    // the time that its follower counts on.
    let mut shape = Shape::of(5, 1);
    (shape.linger, shape.length.knows) = (shape.transit, shape.length.acts);
    let found = (0..100).find(|seed| {
        let mut world = World::with_bug(*seed, shape, Bug::GrantsWithoutMajority);
        world.run_till("the fleet is formed", 10_000.0, World::all_on_one_stage).unwrap();
        world.run_for(4_000.0);
        let leader = world.chair().unwrap();
        world.isolate(&[leader, 5]);
        world.run_for(1_500.0);
        world.propose((leader + 1) % 5, 1);
        world.run_for(10_000.0);
        !world.breaches().is_empty()
    });
    assert!(found.is_some(), "not seen in 100 partitions");
}

#[test]
fn a_new_chair_forgets_what_an_earlier_one_gave() {
    assert_found(Bug::ForgetsEarlierLeases, Shape::of(3, 2), 1_500.0, 200);
}

#[test]
fn a_voter_counts_one_that_lost_its_disk() {
    // Two voters, or a third one that fails and returns: with half of them lost, the remaining ones use the
    // rule that all voters acknowledge.
    let shape = Shape::of(3, 0);
    let faults = Storm { faults_every: 400.0, loses: Loses::Any, ..Storm::of(&shape) };
    let found = first_breach(Bug::CountsLostDisks, shape, faults, 200);
    assert!(found.is_some(), "not seen in 200 runs with randomized faults");
    println!("{found:?}");
}
