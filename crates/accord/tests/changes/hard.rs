use amberarch_accord::{Act, Holds, Part, Refusal, RevisionNo, Wish};
use amberarch_worlds::{Breach, DiskIs, Shape, World};

use crate::fleet::{
    acts_alone, alone, answer, assert_no_breach, change, formed, formed_of, holds, is_joint, stage,
    LEASES_OVER_MS, SHORT_WAIT_MS,
};

fn other_voter(leader: usize) -> usize {
    usize::from(leader == 0)
}

#[test]
fn a_change_goes_through_while_all_are_up() {
    for (voters, followers) in [(1, 0), (1, 3), (3, 0), (5, 0), (3, 47)] {
        let mut world = formed_of(voters, followers);
        let took = change(&mut world, voters - 1, 1, SHORT_WAIT_MS);
        assert!(took < SHORT_WAIT_MS, "{voters} and {followers}: {took}");
        assert_no_breach(world);
    }
}

#[test]
fn two_changes_in_quick_succession_swap_two_zones() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let ids: Vec<u64> = (2..6)
        .map(|no| {
            let id = world.propose(no % 5, no as u64);
            answer(&mut world, id, SHORT_WAIT_MS).unwrap();
            id
        })
        .collect();
    let stages: Vec<_> = ids.iter().map(|id| world.answer(*id).unwrap().outcome.clone().unwrap()).collect();
    assert!(stages.windows(2).all(|two| two[0] < two[1]));
    world.run_till("all act on the last", SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_no_breach(world);
}

#[test]
fn two_proposals_come_at_once_and_one_is_told_of_the_other() {
    let mut world = formed_of(3, 0);
    let (one, other) = (world.propose(0, 1), world.propose(1, 2));
    let outcomes = [answer(&mut world, one, SHORT_WAIT_MS), answer(&mut world, other, SHORT_WAIT_MS)];
    let held = outcomes.iter().position(Result::is_ok).unwrap();
    let Err(Refusal::Taken { winner, digest }) = &outcomes[1 - held] else { panic!("{outcomes:?}") };
    assert_eq!(*winner, RevisionNo(held as u64 + 1));
    assert_eq!(*digest, World::revision(winner.0).digest);
    assert_eq!(holds(&world), alone(winner.0));
    assert_no_breach(world);
}

#[test]
fn an_old_number_is_refused_and_a_retry_gets_the_first_answer() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 5, SHORT_WAIT_MS);
    let first = answer(&mut world, 1, SHORT_WAIT_MS);
    let again = world.propose(2, 5);
    assert_eq!(answer(&mut world, again, SHORT_WAIT_MS), first);
    let old = world.propose(1, 4);
    let refused = Refusal::NotAbove { asked: RevisionNo(4), known: RevisionNo(5) };
    assert_eq!(answer(&mut world, old, SHORT_WAIT_MS), Err(refused));
    // Also from a leader that has not answered it before, and after another change.
    change(&mut world, 0, 6, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    world.crash(leader);
    let again = world.propose(other_voter(leader), 5);
    assert_eq!(answer(&mut world, again, LEASES_OVER_MS), first);
    assert_no_breach(world);
}

#[test]
fn the_chair_dies_between_joint_and_in_force() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let asked = world.propose(3, 2);
    world.run_till("joint", SHORT_WAIT_MS, is_joint).unwrap();
    world.crash(leader);
    answer(&mut world, asked, LEASES_OVER_MS + 3_000.0).unwrap();
    assert_eq!(holds(&world), alone(2));
    world.start(leader, DiskIs::Kept);
    world.run_till("all act on it", 2.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_no_breach(world);
}

/// Crashes the leader at each point of a change: after each record that it persists and each message that it
/// sends.
#[test]
fn the_chair_dies_after_each_of_its_outputs() {
    for outputs in 0..90 {
        let mut world = formed(outputs, Shape::of(3, 1));
        change(&mut world, 0, 1, SHORT_WAIT_MS);
        let leader = world.chair().unwrap();
        world.die_after(leader, outputs);
        let asked = world.propose(other_voter(leader), 2);
        let ends = |world: &World| world.answer(asked).is_some() && world.steward(leader).is_none();
        world.run_till("an answer, and the crash", 25_000.0, ends).unwrap();
        world.heal();
        world.run_till("one stage", LEASES_OVER_MS, World::all_on_one_stage).unwrap();
        assert_eq!(holds(&world), alone(2), "after {outputs}");
        assert_no_breach(world);
    }
}

#[test]
fn the_chair_is_cut_off_with_a_minority() {
    let mut world = formed_of(5, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let with = (0..5).find(|voter| *voter != leader).unwrap();
    world.isolate(&[leader, with, 5]);
    let outside = (0..5).find(|voter| ![leader, with].contains(voter)).unwrap();
    let (theirs, ours) = (world.propose(with, 2), world.propose(outside, 3));
    answer(&mut world, ours, 2.0 * LEASES_OVER_MS).unwrap();
    // The members inside the partition acted until their leases ended, then within what they knew, and by now
    // act on nothing.
    assert_eq!([leader, with, 5].map(|member| world.act(member)), [const { Act::Unknown }; 3]);
    assert_ne!(world.status(leader).unwrap().part, Part::Chair);
    assert!(world.answer(theirs).is_none());
    world.mend();
    assert!(answer(&mut world, theirs, LEASES_OVER_MS).is_err());
    world.run_till("all act on one", SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_eq!(holds(&world), alone(3));
    assert_no_breach(world);
}

#[test]
fn a_cut_splits_the_voters_evenly_and_nothing_changes() {
    let mut world = formed_of(4, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.isolate(&[0, 1]);
    let (here, there) = (world.propose(0, 2), world.propose(3, 3));
    world.run_for(LEASES_OVER_MS);
    assert!((0..4).all(|member| world.act(member) == Act::Unknown));
    world.mend();
    let outcomes = [answer(&mut world, here, LEASES_OVER_MS), answer(&mut world, there, LEASES_OVER_MS)];
    assert!(outcomes.iter().any(Result::is_ok), "{outcomes:?}");
    assert_no_breach(world);
}

#[test]
fn a_chair_that_speaks_and_does_not_hear_is_replaced() {
    let mut world = formed_of(3, 0);
    let leader = world.chair().unwrap();
    (0..3).filter(|other| *other != leader).for_each(|other| world.cut(other, leader));
    let another = |world: &World| world.chair().is_some_and(|now| now != leader);
    world.run_till("another leader", 10.0 * SHORT_WAIT_MS, another).unwrap();
    assert_no_breach(world);
}

#[test]
fn a_voter_that_was_cut_off_comes_back_and_disturbs_nobody() {
    let mut world = formed_of(5, 0);
    let leader = world.chair().unwrap();
    let away = other_voter(leader);
    let term = world.status(leader).unwrap().term;
    world.isolate(&[away]);
    world.run_for(LEASES_OVER_MS);
    world.mend();
    world.run_for(5.0 * SHORT_WAIT_MS);
    assert_eq!(world.chair(), Some(leader));
    assert_eq!((0..5).map(|member| world.status(member).unwrap().term).max(), Some(term));
    assert!(world.all_on_one_stage());
}

#[test]
fn a_voter_is_a_thousand_revisions_behind() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let away = other_voter(world.chair().unwrap());
    world.crash(away);
    world.crash(3);
    world.run_for(LEASES_OVER_MS);
    let at = (0..3).find(|voter| *voter != away).unwrap();
    for no in 2..=1_001 {
        let id = world.propose(at, no);
        answer(&mut world, id, SHORT_WAIT_MS).unwrap();
    }
    world.start(away, DiskIs::Kept);
    world.start(3, DiskIs::Kept);
    world
        .run_till("all act on the last", SHORT_WAIT_MS, |world| {
            world.all_on_one_stage() && [away, 3].iter().all(|member| acts_alone(world, *member, 1_001))
        })
        .unwrap();
    let (commit_index, _) = world.steward(away).unwrap().standing();
    assert_eq!(commit_index, world.newest().unwrap().0);
    assert_no_breach(world);
}

#[test]
fn a_steward_is_down_for_two_whole_changes() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.crash(4);
    // The first change waits until the crashed controller could not act any more on what it knew, which did
    // not include this revision.
    let first = change(&mut world, 0, 2, LEASES_OVER_MS);
    assert!(first > 2_000.0, "{first}");
    let second = change(&mut world, 0, 3, SHORT_WAIT_MS);
    assert!(second < SHORT_WAIT_MS, "{second}");
    world.start(4, DiskIs::Kept);
    world.run_till("it acts on the third", SHORT_WAIT_MS, |world| acts_alone(world, 4, 3)).unwrap();
    assert_no_breach(world);
}

#[test]
fn a_steward_dies_that_knows_of_the_change_and_its_lease_is_all_that_is_waited_for() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let asked = world.propose(0, 2);
    let knows = |world: &World| matches!(world.act(4), Act::On { stage, .. } if stage.holds != alone(1));
    world.run_till("it acts on joint", SHORT_WAIT_MS, knows).unwrap();
    world.crash(4);
    let begun = world.now();
    answer(&mut world, asked, LEASES_OVER_MS).unwrap();
    let shape = world.shape;
    let bound = shape.length.acts * (1.0 + shape.drift) * (1.0 + shape.wander) + shape.slack + shape.linger;
    assert!(world.now() - begun < bound + SHORT_WAIT_MS, "{}", world.now() - begun);
    assert_no_breach(world);
}

#[test]
fn a_lease_ends_while_all_chairs_are_away() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    (0..3).for_each(|voter| world.crash(voter));
    let Act::On { stage: was, until } = world.act(3) else { panic!("{:?}", world.act(3)) };
    world.run_till("its lease is over", 3_100.0, |world| !matches!(world.act(3), Act::On { .. })).unwrap();
    let Act::Within { stage, until: knows } = world.act(3) else { panic!("{:?}", world.act(3)) };
    assert_eq!(stage, was);
    assert_eq!(knows - until, world.shape.length.knows - world.shape.length.acts);
    world.run_till("its `knows` time is over", 3_100.0, |world| world.act(3) == Act::Unknown).unwrap();
    // A restart keeps no lease ends: what it knew before is gone.
    world.crash(3);
    world.start(3, DiskIs::Kept);
    assert_eq!(world.act(3), Act::Unknown);
    world.heal();
    world.run_till("all act again", 10.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_no_breach(world);
}

#[test]
fn a_stopped_steward_finds_its_lease_over_before_it_orders_again() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.pause(3, 3_500.0);
    let asked = world.propose(0, 2);
    world.run_for(3_499.0);
    let accord = world.steward(3).unwrap().clone();
    // The check before an order, with no input handled since.
    let now = accord.status(0.0);
    let Act::On { until, .. } = now.act else { panic!("{:?}", now.act) };
    assert!(!matches!(accord.act(until), Act::On { .. }));
    answer(&mut world, asked, LEASES_OVER_MS).unwrap();
    world.run_till("it acts on the new", SHORT_WAIT_MS, |world| acts_alone(world, 3, 2)).unwrap();
    assert_no_breach(world);
}

/// The clocks of the leader and of lease holders run fast, slow, and both at once.
#[test]
fn clocks_run_one_percent_apart() {
    for (leader_rate, holder_rate) in [(1.01, 1.0), (1.0, 1.01), (1.01, 0.992), (0.992, 1.01)] {
        let mut world = formed_of(3, 2);
        let leader = world.chair().unwrap();
        (0..5).for_each(|member| {
            world.set_rate(member, if member == leader { leader_rate } else { holder_rate })
        });
        change(&mut world, 0, 1, SHORT_WAIT_MS);
        for no in 2..8 {
            // A partitioned controller goes on by its own clock for as long as its lease allows.
            world.isolate(&[4]);
            let asked = world.propose(0, no);
            answer(&mut world, asked, 2.0 * LEASES_OVER_MS).unwrap();
            world.mend();
            world.run_till("all act on it", 2.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
        }
        assert_no_breach(world);
    }
}

/// The counterpart of the test above: clocks outside the stated bound are seen to break the guarantee.
#[test]
fn clocks_beyond_the_stated_drift_are_seen_to_mix_revisions() {
    let mut world = formed_of(3, 2);
    let leader = world.chair().unwrap();
    world.set_rate(leader, 1.8);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.isolate(&[4]);
    let asked = world.propose(0, 2);
    answer(&mut world, asked, LEASES_OVER_MS).unwrap();
    world.run_for(SHORT_WAIT_MS / 10.0);
    assert!(matches!(world.breaches()[..], [Breach::Mixed { .. }, ..]), "{:?}", world.breaches());
}

#[test]
fn the_chairs_clock_jumps_ahead_in_the_midst_of_a_change() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.isolate(&[4]);
    let leader = world.chair().unwrap();
    let asked = world.propose(other_voter(leader), 2);
    world.run_till("joint", LEASES_OVER_MS, is_joint).unwrap();
    world.jump(leader, 60_000.0);
    answer(&mut world, asked, 2.0 * LEASES_OVER_MS).unwrap();
    assert_no_breach(world);
}

#[test]
fn a_steward_that_cannot_use_it_stops_the_change_with_its_reason() {
    let mut world = formed_of(3, 2);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    world.set_unusable(4, 2);
    let asked = world.propose(0, 2);
    let refused = answer(&mut world, asked, SHORT_WAIT_MS);
    assert!(matches!(&refused, Err(Refusal::Unfit { by, .. }) if *by == world.shape.name(4)), "{refused:?}");
    world.run_till("all act on the old", SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_eq!(holds(&world), alone(1));
    // A controller that was down while the revision came into force acts on nothing, and blocks no later
    // change.
    world.set_unusable(4, 3);
    world.crash(4);
    change(&mut world, 0, 3, 2.0 * LEASES_OVER_MS);
    world.start(4, DiskIs::Kept);
    world.run_for(5.0 * SHORT_WAIT_MS);
    assert_eq!(world.act(4), Act::Unknown);
    change(&mut world, 0, 4, LEASES_OVER_MS);
    world.run_till("it acts again", SHORT_WAIT_MS, |world| acts_alone(world, 4, 4)).unwrap();
    assert_no_breach(world);
}

#[test]
fn not_all_have_checked_it_in_time() {
    let mut shape = Shape::of(3, 1);
    shape.checks = 7_000.0;
    let mut world = formed(1, shape);
    let asked = world.propose(0, 1);
    let refused = answer(&mut world, asked, LEASES_OVER_MS);
    assert!(matches!(refused, Err(Refusal::Unchecked { .. })), "{refused:?}");
    assert_eq!(holds(&world), Holds::Nothing);
    assert_no_breach(world);
}

#[test]
fn an_operator_withdraws_while_proxies_never_confirm() {
    let mut world = formed_of(3, 1);
    for no in [1, 3] {
        world.set_deaf_proxies(3, true);
        let asked = world.propose(0, no);
        world.run_till("joint", SHORT_WAIT_MS, is_joint).unwrap();
        world.run_for(LEASES_OVER_MS);
        assert!(is_joint(&world), "continued without them");
        let leader = world.chair().unwrap();
        let waits = world.status(leader).unwrap().waits;
        assert!(waits.iter().all(|wait| wait.name == world.shape.name(3)) && !waits.is_empty(), "{waits:?}");
        let withdrawn = world.wish(2, Wish::Withdraw(RevisionNo(no)));
        answer(&mut world, withdrawn, SHORT_WAIT_MS).unwrap();
        assert_eq!(answer(&mut world, asked, SHORT_WAIT_MS), Err(Refusal::Withdrawn));
        world.set_deaf_proxies(3, false);
        // The first time nothing was in force before, the second time a revision was.
        change(&mut world, 0, no + 1, LEASES_OVER_MS);
    }
    let late = world.wish(1, Wish::Withdraw(RevisionNo(4)));
    assert_eq!(answer(&mut world, late, SHORT_WAIT_MS), Err(Refusal::Past { no: RevisionNo(4) }));
    assert_no_breach(world);
}

#[test]
fn a_proposal_at_a_steward_that_reaches_no_chair_ends_unsure() {
    let mut world = formed_of(3, 1);
    world.isolate(&[3]);
    let asked = world.propose(3, 1);
    assert_eq!(answer(&mut world, asked, 60_000.0), Err(Refusal::Unsure));
}

#[test]
fn the_whole_fleet_restarts_and_one_voter_stays_away() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    (0..4).for_each(|member| world.crash(member));
    world.run_for(SHORT_WAIT_MS);
    [0, 2, 3].into_iter().for_each(|member| world.start(member, DiskIs::Kept));
    world.run_till("they act again", 5.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_eq!(holds(&world), alone(1));
    change(&mut world, 3, 2, 2.0 * LEASES_OVER_MS);
    assert_no_breach(world);
}

#[test]
fn a_message_that_is_lost_now_and_then_costs_no_lease() {
    let mut shape = Shape::of(3, 3);
    shape.net.lost = 0.1;
    shape.net.twice = 0.1;
    shape.net.delay = (0.5, 60.0);
    let mut world = formed(3, shape);
    for no in 1..10 {
        let asked = world.propose(no as usize % 6, no);
        answer(&mut world, asked, 3.0 * SHORT_WAIT_MS).unwrap();
    }
    let acts = stage(&world).no;
    assert!(acts.0 > 0);
    assert_no_breach(world);
}
