//! Simulated fleets to inject failures into, and helpers for the tests.

use amberarch_accord::{Act, Holds, Refusal, RevisionNo, Stage, StageNo};
use amberarch_worlds::{Shape, World};

/// Longer than anything takes that does not wait for a lease, a linger or `knows`.
pub const SHORT_WAIT_MS: f64 = 1_000.0;
/// Longer than all leases, the time for which `knows` extends them, and the linger.
pub const LEASES_OVER_MS: f64 = 10_000.0;

pub fn formed(seed: u64, shape: Shape) -> World {
    let mut world = World::new(seed, shape);
    world.run_till("the fleet is formed", 10_000.0, World::all_on_one_stage).unwrap();
    // Until then its leader assumes that leases from before its election may still run.
    world.run_for(LEASES_OVER_MS);
    world
}

pub fn formed_of(voters: usize, followers: usize) -> World {
    formed(7, Shape::of(voters, followers))
}

pub fn holds(world: &World) -> Holds {
    world.newest().map_or(Holds::Nothing, |(_, base)| base.stage.holds)
}

pub fn stage(world: &World) -> Stage {
    world.newest().map_or_else(Stage::default, |(_, base)| base.stage)
}

pub fn alone(no: u64) -> Holds {
    Holds::Alone(RevisionNo(no))
}

pub fn acts_alone(world: &World, member: usize, no: u64) -> bool {
    matches!(world.act(member), Act::On { stage, .. } if stage.holds == alone(no))
}

pub fn is_joint(world: &World) -> bool {
    matches!(holds(world), Holds::Joint { .. })
}

/// The answer to a proposal, which has to arrive within that time.
pub fn answer(world: &mut World, id: u64, within: f64) -> Result<StageNo, Refusal> {
    world.run_till("an answer", within, |world| world.answer(id).is_some()).unwrap();
    world.answer(id).unwrap().outcome.clone()
}

/// Proposes a revision, waits until it is in force everywhere, and returns how long that took.
pub fn change(world: &mut World, at: usize, no: u64, within: f64) -> f64 {
    let begun = world.now();
    let id = world.propose(at, no);
    answer(world, id, within).unwrap();
    world.run_till("all act on it", SHORT_WAIT_MS, World::all_on_one_stage).unwrap();
    assert_eq!(holds(world), alone(no));
    world.now() - begun
}

pub fn assert_no_breach(mut world: World) {
    world.close();
    assert!(world.breaches().is_empty(), "{:#?}\n{}", world.breaches(), world.show());
}
