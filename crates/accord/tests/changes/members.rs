use amberarch_accord::{Act, Disk, Length, Refusal, RevisionNo, Turned};
use amberarch_worlds::{DiskIs, World};

use crate::fleet::{
    alone, answer, assert_no_breach, change, formed, formed_of, holds, stage, LEASES_OVER_MS, SHORT_WAIT_MS,
};

fn voters(world: &World) -> Vec<String> {
    let names = world.newest().unwrap().1.voters.iter().map(|(name, _)| name.to_string());
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

#[test]
fn a_voter_that_lost_its_disk_is_no_help_until_it_is_taken_in() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    world.crash(lost);
    world.crash(leader);
    world.start(lost, DiskIs::Empty);
    // Two of three are up, and one of them does not know what it voted and stored before.
    world.run_for(LEASES_OVER_MS);
    assert_eq!(world.chair(), None);
    world.start(leader, DiskIs::Kept);
    world.run_till("all act again", 10.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    let admitted = |world: &World| {
        let known = &world.newest().unwrap().1.voters;
        let disk = world.steward(lost).unwrap().facts().disk;
        known.iter().any(|(name, known)| *name == world.shape.name(lost) && *known == disk)
    };
    world.run_till("it is admitted", 5.0 * SHORT_WAIT_MS, admitted).unwrap();
    world.run_for(SHORT_WAIT_MS);
    // The new disk is admitted: while the other voter is down, these two are a majority.
    world.crash(other);
    change(&mut world, lost, 2, 2.0 * LEASES_OVER_MS);
    assert_no_breach(world);
}

#[test]
fn a_steward_is_added_follows_and_then_votes() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let added = world.add(true);
    world.run_for(3.0 * SHORT_WAIT_MS);
    assert_eq!(world.act(added), Act::Unknown);
    let turned = Turned::NotMember { name: world.shape.name(added) }.to_string();
    assert!(
        world.logs().iter().any(|(_, by, line)| *by == added && line.contains(&turned)),
        "{:?}",
        world.logs()
    );
    let wanted = world.want(0, &[0, 1, 2], &[added]);
    answer(&mut world, wanted, SHORT_WAIT_MS).unwrap();
    world
        .run_till("it acts", 3.0 * SHORT_WAIT_MS, |world| matches!(world.act(added), Act::On { .. }))
        .unwrap();
    world.want(1, &[0, 1, 2, added], &[]);
    world.run_till("it votes", 5.0 * SHORT_WAIT_MS, |world| voters(world).len() == 4).unwrap();
    change(&mut world, added, 2, SHORT_WAIT_MS);
    assert_no_breach(world);
}

#[test]
fn a_dead_voter_is_replaced_by_another() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let dead = (world.chair().unwrap() + 1) % 3;
    world.crash(dead);
    let added = world.add(true);
    let mut stay: Vec<usize> = (0..3).filter(|voter| *voter != dead).collect();
    stay.push(added);
    world.want(stay[0], &stay, &[]);
    let replaced = |world: &World| {
        voters(world).len() == 3 && voters(world).contains(&world.shape.name(added).to_string())
    };
    world.run_till("it is replaced", 3.0 * LEASES_OVER_MS, replaced).unwrap();
    // The crashed voter returns and is told that it has been removed.
    world.start(dead, DiskIs::Kept);
    world.run_for(3.0 * SHORT_WAIT_MS);
    assert_eq!(world.act(dead), Act::Unknown);
    assert!(world.status(dead).unwrap().refused.contains_key("turned away"), "{:?}", world.status(dead));
    change(&mut world, added, 2, LEASES_OVER_MS);
    assert_no_breach(world);
}

#[test]
fn the_chair_is_taken_out_of_the_fleet() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let stay: Vec<usize> = (0..3).filter(|voter| *voter != leader).collect();
    world.want(leader, &stay, &[3]);
    let out = |world: &World| voters(world).len() == 2 && world.chair().is_some_and(|now| now != leader);
    world.run_till("it is out", 3.0 * LEASES_OVER_MS, out).unwrap();
    let asked = world.propose(stay[0], 2);
    answer(&mut world, asked, 2.0 * LEASES_OVER_MS).unwrap();
    assert_eq!(holds(&world), alone(2));
    assert_eq!(world.act(leader), Act::Unknown);
    let outside = world.propose(leader, 3);
    let refused = answer(&mut world, outside, 60_000.0);
    assert!(matches!(refused, Err(Refusal::Outside { .. } | Refusal::Unsure)), "{refused:?}");
    assert_no_breach(world);
}

#[test]
fn members_that_cannot_be_are_refused() {
    let mut world = formed_of(3, 0);
    for (voters, followers) in [(vec![], vec![0]), (vec![0, 1, 1], vec![2]), ((0..8).collect(), vec![])] {
        let asked = world.want(0, &voters, &followers);
        let refused = answer(&mut world, asked, SHORT_WAIT_MS);
        assert!(matches!(refused, Err(Refusal::Misnamed { .. })), "{refused:?}");
    }
}

#[test]
fn all_disks_but_a_minority_stay_and_the_fleet_comes_together_without_the_rest() {
    for seed in 0..5 {
        let mut world = formed(seed, amberarch_worlds::Shape::of(5, 0));
        change(&mut world, 0, 1, SHORT_WAIT_MS);
        let leader = world.chair().unwrap();
        (0..5).for_each(|member| world.crash(member));
        let lost: Vec<usize> = (0..5).filter(|member| *member != leader).take(2).collect();
        for member in 0..5 {
            world.start(member, if lost.contains(&member) { DiskIs::Empty } else { DiskIs::Kept });
        }
        world.run_till("all act again", 10.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
        assert_eq!(holds(&world), alone(1));
        change(&mut world, 4, 2, 2.0 * LEASES_OVER_MS);
        assert_no_breach(world);
    }
}

#[test]
fn an_older_copy_of_a_folder_is_put_back() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let (back, other) = ((leader + 1) % 3, (leader + 2) % 3);
    world.copy_disk(back);
    change(&mut world, 0, 2, SHORT_WAIT_MS);
    world.crash(back);
    world.start(back, DiskIs::Copy);
    let disk_is_untrusted = |world: &World| {
        let known = &world.newest().unwrap().1.voters;
        known.iter().any(|(name, disk)| *name == world.shape.name(back) && *disk == Some(Disk::NONE))
    };
    world.run_till("its disk is no longer trusted", SHORT_WAIT_MS, disk_is_untrusted).unwrap();
    assert!(world.logs().iter().any(|(_, by, line)| *by == leader && line.contains("older copy")));
    world.run_till("it is admitted again", SHORT_WAIT_MS, |world| !disk_is_untrusted(world)).unwrap();
    world.run_for(SHORT_WAIT_MS);
    world.crash(other);
    change(&mut world, back, 3, 2.0 * LEASES_OVER_MS);
    assert_no_breach(world);
}

#[test]
fn a_member_counts_leases_by_other_lengths() {
    let mut world = formed_of(3, 1);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let (voter, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let shorter = Length { acts: 2_000.0, ..world.shape.length };
    for member in [voter, 3] {
        world.crash(member);
        world.set_length(member, Some(shorter));
        world.start(member, DiskIs::Kept);
        world.run_for(3.0 * SHORT_WAIT_MS);
        assert_eq!(world.act(member), Act::Unknown);
        let told = |(_, by, line): &(f64, usize, String)| {
            *by == member
                && line.contains("its lease settings")
                && line.contains("differ from the leader's")
                && line.contains("in all members' files")
        };
        assert!(world.logs().iter().any(told), "{:?}", world.logs());
    }
    let asked = world.propose(other, 2);
    answer(&mut world, asked, 2.0 * LEASES_OVER_MS).unwrap();
    // No voter elects it: by its shorter settings it would take leases of the others to be over too soon.
    world.crash(leader);
    world.run_for(LEASES_OVER_MS);
    assert_eq!(world.chair(), None);
    assert!(world.status(other).unwrap().refused.contains_key("other lengths"), "{}", world.show());
    for member in [voter, 3] {
        world.crash(member);
        world.set_length(member, None);
        world.start(member, DiskIs::Kept);
    }
    let acts =
        |world: &World| [voter, other, 3].iter().all(|member| matches!(world.act(*member), Act::On { .. }));
    world.run_till("all act again", LEASES_OVER_MS, acts).unwrap();
    assert_no_breach(world);
}

/// Found with seed 2003684 of the randomized faults. Of two voters, the leader and a newly added third one
/// stored an entry that the other voter missed; then the leader's disk was lost. The three-voter
/// configuration leaves one intact voter. The other voter, which still had the two-voter configuration,
/// counted the empty disk as the second vote that it needed.
#[test]
fn a_voter_that_missed_a_third_elects_itself_with_the_other_s_empty_disk() {
    let mut world = formed_of(2, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let behind = 1 - leader;
    let added = world.add(true);
    let follows = world.want(leader, &[0, 1], &[added]);
    answer(&mut world, follows, SHORT_WAIT_MS).unwrap();
    world
        .run_till("it acts", 3.0 * SHORT_WAIT_MS, |world| matches!(world.act(added), Act::On { .. }))
        .unwrap();
    let votes = world.want(leader, &[0, 1, added], &[]);
    let wanted = |world: &World| {
        let wanted = &world.newest().unwrap().1.wanted;
        wanted.as_ref().is_some_and(|wanted| wanted.voters.len() == 3)
    };
    world.run_till("they are wanted", SHORT_WAIT_MS, wanted).unwrap();
    world.isolate(&[behind]);
    world.run_till("the third votes", SHORT_WAIT_MS, |world| voters(world).len() == 3).unwrap();
    assert!(world.answer(votes).is_some());
    assert!(world.status(behind).unwrap().voters.len() == 2, "{}", world.show());
    // A majority of the three stores the entry.
    world.propose(leader, 2);
    world
        .run_till("it is staged", SHORT_WAIT_MS, |world| stage(world).staged == Some(RevisionNo(2)))
        .unwrap();
    world.crash(leader);
    world.crash(added);
    world.mend();
    world.start(leader, DiskIs::Empty);
    world.run_for(LEASES_OVER_MS);
    assert_eq!(world.chair(), None, "{}", world.show());
    // Together with the third voter, on its known disk, there is a majority, which then admits the new disk.
    world.start(added, DiskIs::Kept);
    world.run_till("all act again", 10.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    let admitted = |world: &World| {
        let disk = world.steward(leader).unwrap().facts().disk;
        let known = &world.newest().unwrap().1.voters;
        known.iter().any(|(name, known)| *name == world.shape.name(leader) && *known == disk)
    };
    world.run_till("it is admitted", 5.0 * SHORT_WAIT_MS, admitted).unwrap();
    change(&mut world, behind, 3, LEASES_OVER_MS);
    assert_no_breach(world);
}

/// Two of three voters lose their disks. The third can't know whether they had stored more entries without
/// it, so the fleet stops changing rather than lose a committed entry.
#[test]
fn two_empty_disks_and_one_voter_go_on_without_what_the_two_had() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    world.isolate(&[behind]);
    world.propose(leader, 2);
    world
        .run_till("it is staged", SHORT_WAIT_MS, |world| stage(world).staged == Some(RevisionNo(2)))
        .unwrap();
    for lost in [leader, other] {
        world.crash(lost);
        world.start(lost, DiskIs::Empty);
    }
    world.mend();
    world.run_for(2.0 * LEASES_OVER_MS);
    assert_eq!(world.chair(), None, "{}", world.show());
    assert!((0..3).all(|member| world.act(member) == Act::Unknown), "{}", world.show());
    assert_no_breach(world);
}

/// While a fleet is founded it knows few disks, or none. Losing a disk then must not block it for good.
#[test]
fn a_disk_is_lost_while_the_fleet_is_founded_and_it_stands_still_for_good() {
    for known in 0..3 {
        let mut world = World::new(known as u64, amberarch_worlds::Shape::of(3, 0));
        let enough_disks = |world: &World| {
            let voters = world.newest().map(|(_, base)| base.voters.clone()).unwrap_or_default();
            voters.iter().filter(|(_, disk)| disk.is_some()).count() >= known && world.chair().is_some()
        };
        world.run_till("so many disks are known", 20.0 * SHORT_WAIT_MS, enough_disks).unwrap();
        let lost = (world.chair().unwrap() + 1) % 3;
        world.crash(lost);
        world.start(lost, DiskIs::Empty);
        world.run_till("all act", 20.0 * SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
        change(&mut world, lost, 1, 2.0 * LEASES_OVER_MS);
        assert_no_breach(world);
    }
}

/// Found with seeds 2000372, 2000384 and 2000536 of the randomized faults: one of three voters was to become
/// a follower while another was on an empty disk. The change was appended, and the acknowledgements of one of
/// the two remaining voters did not count.
#[test]
fn a_voter_is_to_follow_while_another_has_lost_its_disk_and_two_are_too_few() {
    let mut world = formed_of(3, 0);
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    let leader = world.chair().unwrap();
    let (lost, demoted) = ((leader + 1) % 3, (leader + 2) % 3);
    world.crash(lost);
    // Until then the leader has to assume that it may be up.
    world.run_for(3.0 * SHORT_WAIT_MS);
    world.want(leader, &[leader, lost], &[demoted]);
    world.run_for(LEASES_OVER_MS);
    assert_eq!(voters(&world).len(), 3, "{}", world.show());
    world.start(lost, DiskIs::Empty);
    world.run_till("it follows", 5.0 * SHORT_WAIT_MS, |world| voters(world).len() == 2).unwrap();
    change(&mut world, lost, 2, 2.0 * LEASES_OVER_MS);
    assert_no_breach(world);
}
