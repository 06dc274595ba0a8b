use amberarch_worlds::{storm, Shape, Storm, World};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, max_shrink_iters: 40, ..ProptestConfig::default() })]
    /// At most one leader per term, one log, stages in order, no two conflicting revisions acted on at once,
    /// and after the faults each change is applied everywhere or nowhere within a bound.
    #[test]
    fn any_faults_come_in_any_order(
        seed: u64,
        voters in 1usize..=5,
        followers in 0usize..4,
        faults_every in 300.0..4_000.0,
        linger in 100.0..3_000.0,
        knows in 3_000.0..12_000.0,
    ) {
        let mut shape = Shape::of(voters, followers);
        (shape.linger, shape.length.knows) = (linger, knows);
        let mut world = World::new(seed, shape);
        let outcome = storm(&mut world, &Storm { lasts: 30_000.0, faults_every, ..Storm::of(&shape) });
        prop_assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
        prop_assert!(outcome.ended.is_ok(), "{outcome:#?}\n{}", world.show());
    }
}

#[test]
fn the_same_seed_brings_the_same_world() {
    let run = |seed| {
        let mut world = World::new(seed, Shape::of(3, 2));
        let outcome = storm(&mut world, &Storm::of(&Shape::of(3, 2)));
        (format!("{outcome:?}"), world.talk().clone())
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12));
}
