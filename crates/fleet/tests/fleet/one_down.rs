//! How long a change waits for a stopped controller that never received it, and why, in virtual time.

use amberarch_accord::{Act, Holds, Length, RevisionNo};
use amberarch_worlds::{Shape, World};

/// Allowance for consensus rounds and confirmations of proxies, ms.
const ROUNDS: f64 = 300.0;

/// Five members with revision 1 in force, the leader, and one that is not the leader.
fn formed(seed: u64, length: Length, linger: f64) -> (World, usize, usize) {
    let shape = Shape { length, linger, ..Shape::of(3, 2) };
    let mut world = World::new(seed, shape);
    world.run_till("the fleet comes together", 20_000.0, World::all_on_one_stage).unwrap();
    world.propose(0, 1);
    let holds = |world: &World| world.act_is(0, RevisionNo(1)) && world.all_on_one_stage();
    // A new leader waits for leases that earlier ones may have granted.
    world.run_till("revision 1", 100_000.0, holds).unwrap();
    world.run_for(2.0 * length.knows);
    let chair = world.chair().expect("a chair");
    let other = (0..world.members()).rev().find(|member| *member != chair).expect("another");
    (world, chair, other)
}

trait Acts {
    fn act_is(&self, member: usize, no: RevisionNo) -> bool;
}

impl Acts for World {
    fn act_is(&self, member: usize, no: RevisionNo) -> bool {
        matches!(self.act(member), Act::On { stage, .. } if stage.holds == Holds::Alone(no))
    }
}

/// The longest time of a daemon between SIGTERM and its end, ms.
const ENDS_WITHIN: f64 = 450.0;
const DRAWS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    Killed,
    /// By SIGTERM.
    Planned,
}

fn goes_down(world: &mut World, member: usize, down: Down) {
    match down {
        Down::Killed => world.crash(member),
        Down::Planned => {
            world.end_in_order(member, ENDS_WITHIN, false);
            world.run_till("its end", ENDS_WITHIN + 1.0, |world| world.steward(member).is_none()).unwrap();
        }
    }
}

/// Durations of changes, ms, the shortest first, each proposed right after a controller was stopped.
fn changes(acts: f64, knows: f64, linger: f64, down: Down, chairs: bool) -> Vec<f64> {
    let took = |seed| {
        let (mut world, chair, other) = formed(seed, Length { acts, knows }, linger);
        goes_down(&mut world, if chairs { chair } else { other }, down);
        let (from, at) = (world.now(), if chairs { other } else { chair });
        let id = world.propose(at, 2);
        let all = |world: &World| world.answer(id).is_some() && world.all_on_one_stage();
        world.run_till("revision 2", 200_000.0, all).unwrap();
        assert!(world.act_is(at, RevisionNo(2)) && world.breaches().is_empty(), "{:?}", world.breaches());
        world.now() - from
    };
    let mut all: Vec<f64> = (0..DRAWS).map(took).collect();
    all.sort_by(f64::total_cmp);
    all
}

fn longest(acts: f64, knows: f64, linger: f64) -> f64 {
    changes(acts, knows, linger, Down::Killed, false).last().copied().unwrap_or_default()
}

/// Guards against a planned stop that delays a change as long as a crash does.
#[test]
fn with_a_steward_ended_in_good_order_a_change_waits_for_the_linger_alone() {
    let fleets = [(3_000.0, 30_000.0, 10_000.0), (3_000.0, 6_000.0, 1_000.0), (3_000.0, 3_050.0, 700.0)];
    println!(
        "who, acts, knows, linger: killed, least, half and most of 20; planned, the same, ms (simulated)"
    );
    for (acts, knows, linger) in fleets {
        for (chairs, who) in [(false, "a follower"), (true, "the chair")] {
            let [killed, planned] =
                [Down::Killed, Down::Planned].map(|down| changes(acts, knows, linger, down, chairs));
            let of =
                |all: &[f64]| format!("{:.0} {:.0} {:.0}", all[0], all[all.len() / 2], all[all.len() - 1]);
            println!("{who}, {acts} {knows} {linger}: {}; {}", of(&killed), of(&planned));
            let most = planned[planned.len() - 1];
            assert!(most <= 1.03 * linger + ROUNDS, "{who}, {acts} {knows} {linger}: {most}");
            assert!(most < killed[0], "{who}, {acts} {knows} {linger}: {most}, {killed:?}");
        }
    }
}

/// How long the fleet has no leader, ms, as seen by an observer of all members.
fn without_a_chair(seed: u64, down: Down) -> f64 {
    let (mut world, chair, _) = formed(seed, Length { acts: 3_000.0, knows: 6_000.0 }, 1_000.0);
    let from = world.now();
    match down {
        Down::Killed => world.crash(chair),
        // It accepts no proposal and grants no lease from now on.
        Down::Planned => world.end_in_order(chair, ENDS_WITHIN, false),
    }
    let another = |world: &World| world.chair().is_some_and(|now| now != chair);
    world.run_till("another chair", 20_000.0, another).unwrap();
    world.now() - from
}

/// Guards against a planned stop of the leader that costs an election timeout.
#[test]
fn a_chair_ended_in_good_order_leaves_the_fleet_no_election_to_wait_for() {
    let [killed, planned] = [Down::Killed, Down::Planned].map(|down| {
        let mut all: Vec<f64> = (0..DRAWS).map(|seed| without_a_chair(seed, down)).collect();
        all.sort_by(f64::total_cmp);
        all
    });
    println!("without a chair, ms (simulated, 20 draws): killed {killed:.0?}; planned {planned:.1?}");
    // Four message delays of at most 1.5 ms each.
    assert!(planned[planned.len() - 1] < 10.0, "{planned:?}");
    assert!(killed[0] > 300.0, "{killed:?}");
}

#[test]
fn with_a_steward_down_that_never_heard_of_it_a_change_waits_for_what_it_may_know_and_no_longer() {
    // The last two: the shortest durations that an operator's file allows, and the last with proxies that are bound
    // again within 0.7 s.
    let fleets = [
        (3_000.0, 30_000.0, 10_000.0),
        (3_000.0, 6_000.0, 1_000.0),
        (3_000.0, 3_050.0, 1_000.0),
        (3_000.0, 3_050.0, 700.0),
    ];
    let took = fleets.map(|(acts, knows, linger)| longest(acts, knows, linger));
    println!("acts, knows, linger, the longest of 20 changes, ms (simulated):");
    for ((acts, knows, linger), took) in fleets.into_iter().zip(took) {
        println!("{acts} {knows} {linger}: {took:.0}");
        // Drift, slack and clock error are those of [`Shape::of`].
        assert!(took <= 1.01 * (1.02 * knows + 50.0 + linger) + ROUNDS, "{acts} {knows} {linger}: {took}");
        assert!(took >= 0.99 * (knows - acts + linger), "{acts} {knows} {linger}: {took}");
    }
    // A lease and a second, if the linger is short enough to leave room for the margin by which a lease is counted
    // longer.
    assert!(took[3] < 4_000.0, "{took:?}");
}

/// Guards against waiting only for the lease: the controller may be partitioned and not stopped, and then it still uses
/// the old revision alone. A change therefore waits for `knows`, unless that is no longer than the lease.
#[test]
fn one_that_is_cut_off_still_goes_by_the_old_revision_after_its_lease_and_the_linger() {
    let (mut world, chair, other) = formed(7, Length { acts: 3_000.0, knows: 6_000.0 }, 1_000.0);
    world.isolate(&[other]);
    let id = world.propose(chair, 2);
    world.run_for(1.02 * 3_000.0 + 50.0 + 1_000.0);
    let old = |act: Act| match act {
        Act::Within { stage, .. } => stage.holds == Holds::Alone(RevisionNo(1)) && stage.staged.is_none(),
        _ => false,
    };
    assert!(old(world.act(other)), "{:?}", world.act(other));
    assert!(world.answer(id).is_none() && !world.act_is(chair, RevisionNo(2)));
    world.run_till("revision 2", 20_000.0, |world| world.act_is(chair, RevisionNo(2))).unwrap();
    assert_eq!(world.act(other), Act::Unknown);
    assert!(world.breaches().is_empty(), "{:?}", world.breaches());
}
