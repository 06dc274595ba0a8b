use amberarch_worlds::{storm, Loses, Shape, Storm, World};

/// Number of seeds in each CI run; the lab runs thousands.
const WORLDS: u64 = 120;

#[test]
fn nothing_is_mixed_in_any_storm_and_each_ends_in_one_stage() {
    let seeds = std::env::var("WORLDS").ok().and_then(|count| count.parse().ok()).unwrap_or(WORLDS);
    let from: u64 = std::env::var("WORLDS_FROM").ok().and_then(|count| count.parse().ok()).unwrap_or(0);
    let mut sum = (0, 0, 0, 0, 0);
    for seed in from..from + seeds {
        let shape = Shape::by_turns(seed);
        let mut world = World::new(seed, shape);
        let stormed = storm(&mut world, &Storm::of(&shape));
        assert!(stormed.breaches.is_empty(), "seed {seed}: {:#?}", stormed.breaches);
        if let Err(late) = &stormed.ended {
            panic!("seed {seed}: {late:?} {stormed:#?}\n{}", world.show());
        }
        // The randomized faults never restore an old copy of a disk.
        let went_back = world.logs().iter().find(|(_, _, line)| line.contains("older copy"));
        assert_eq!(went_back, None, "seed {seed}");
        sum.0 += stormed.proposed;
        sum.1 += stormed.in_force;
        sum.2 += stormed.refused;
        sum.3 += stormed.unsure;
        sum.4 += stormed.steps;
    }
    println!("{sum:?}");
    assert!(sum.1 > sum.0 / 10, "hardly any change came through: {sum:?}");
}

/// Guards against this failure: a controller learnt of the joint stage from an answer that arrived long after its lease
/// had ended. It reported the joint stage while its proxies still used its previous orders, sent under the second end of
/// the lease and the old revision alone.
#[test]
fn a_steward_hears_of_the_joint_stage_while_it_goes_on_with_the_old_alone() {
    let mut world = World::new(204_965, Shape::by_turns(204_965));
    // The random draws of the faults with which the failure was found.
    let as_found =
        Storm { bends_clocks: false, ends_in_order: false, ..Storm::of(&Shape::by_turns(204_965)) };
    let stormed = storm(&mut world, &as_found);
    assert!(stormed.breaches.is_empty(), "{:#?}", stormed.breaches);
}

/// However many disks are lost, a decision that no member remembers is not made again. Such a fleet may stop
/// permanently.
#[test]
fn more_disks_are_lost_than_any_fleet_gets_over_and_something_is_mixed() {
    let (mut lost, mut stands_still) = (0, 0);
    for seed in 0..WORLDS {
        let shape = Shape::by_turns(seed);
        let mut world = World::new(seed, shape);
        let storm_is = Storm { loses: Loses::Any, faults_every: 500.0, ..Storm::of(&shape) };
        let stormed = storm(&mut world, &storm_is);
        assert!(stormed.breaches.is_empty(), "seed {seed}: {:#?}", stormed.breaches);
        lost += stormed.faults.get("start on an empty disk").copied().unwrap_or(0);
        stands_still += u64::from(stormed.ended.is_err());
    }
    println!("{lost} disks lost, {stands_still} fleets stand still");
    assert!(lost > WORLDS && stands_still > 0);
}
