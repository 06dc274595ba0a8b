//! Compares the guard with the brute-force check on small fleets with random batches.

use amberarch_core::*;
use amberarch_guard::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::help::*;

fn order() -> impl Strategy<Value = Order> {
    let weight = prop_oneof![2 => Just(0.0), 3 => Just(1.0), 1 => Just(1e-9), 1 => Just(1e9), 2 => Just(3.0)];
    let classes = prop_oneof![Just(ClassSet::ALL), Just(ClassSet(1)), Just(ClassSet(2))];
    prop_oneof![
        4 => (0..2u16, 0..3u32, weight).prop_map(|(table, host, weight)| set_entry(table, host, weight)),
        2 => (0..3u32).prop_map(withdraw),
        2 => (0..3u32).prop_map(restore),
        2 => (0..3u16, 0..2u16, classes)
            .prop_map(|(p, t, classes)| Order::Bind { proxy: ProxyId(p), table: TableId(t), classes }),
        1 => (0..2u16).prop_map(|table| Order::ClearTable { table: TableId(table) }),
    ]
}

fn small() -> impl Strategy<Value = Small> {
    let step = prop_oneof![
        4 => prop::collection::vec(order(), 1..5).prop_map(Step::Batch),
        1 => prop_oneof![Just(50.0), Just(450.0)].prop_map(Step::Wait),
        2 => Just(Step::Answered),
    ];
    let kind = prop_oneof![2 => Just(Kind::Warm), 1 => Just(Kind::Cold), 1 => Just(Kind::Failing), 1 => Just(Kind::Draining)];
    let zone = || (0..2u16).prop_map(ZoneId);
    let hosts = prop::array::uniform3((kind, zone()));
    let proxies = prop::array::uniform3(zone());
    (hosts, proxies, 0..4u64, prop::collection::vec(step, 1..7))
        .prop_map(|(hosts, proxies, at_home, steps)| Small { hosts, proxies, at_home, steps, late: None })
}

/// All proxies are bound and answer at first; then one stops answering.
fn late() -> impl Strategy<Value = Small> {
    let tables = prop::array::uniform3(0..2u16);
    let lines = prop::collection::vec((0..2u16, 0..3u32), 2..6);
    let wait = prop_oneof![Just(50.0), Just(450.0), Just(2_600.0), Just(2_600.0), Just(2_600.0)]
        .prop_map(Step::Wait);
    let step = prop_oneof![
        4 => prop::collection::vec(order(), 1..4).prop_map(Step::Batch),
        2 => wait,
        2 => Just(Step::Answered),
    ];
    let steps = prop::collection::vec(step, 3..11);
    (small(), (0..3u16, 1..4usize), tables, lines, steps).prop_map(|(small, who, tables, lines, steps)| {
        let lines = lines.into_iter().map(|(table, host)| set_entry(table, host, 1.0));
        let binds = (0..).zip(tables).map(|(proxy, table)| bind(proxy, table));
        let first = [Step::Batch(lines.chain(binds).collect()), Step::Answered];
        let steps = first.into_iter().chain(steps).collect();
        Small { steps, late: Some((ProxyId(who.0), who.1)), ..small }
    })
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..Config::default() })]

    #[test]
    fn no_batch_passes_that_any_interleaving_breaks(small in small()) {
        let told = small.play(&facts(2, 0));
        prop_assert_eq!((told.falsely_accepted, told.falsely_mended), (0, 0));
    }

    #[test]
    fn no_batch_passes_that_a_proxy_behind_would_push_a_host_over_by(late in late()) {
        let told = late.play(&facts(2, 0));
        prop_assert_eq!((told.falsely_accepted, told.falsely_mended), (0, 0));
    }
}

#[test]
fn few_harmless_batches_are_refused() {
    let mut runner = TestRunner::new(Config { rng_seed: RngSeed::Fixed(20), ..Config::default() });
    let mut told = Told::default();
    for _ in 0..1_000 {
        told.add(small().new_tree(&mut runner).expect("a value").current().play(&facts(2, 0)));
    }
    assert!(
        told.wrong > 500 && told.judged > 2 * told.wrong,
        "some batches violate a rule, not all: {told:?}"
    );
    assert!(told.falsely_refused * 100 < told.judged, "{told:?}");
}

#[test]
fn few_harmless_batches_are_refused_because_of_a_proxy_behind() {
    let mut runner = TestRunner::new(Config { rng_seed: RngSeed::Fixed(21), ..Config::default() });
    let mut told = Told::default();
    for _ in 0..1_000 {
        told.add(late().new_tree(&mut runner).expect("a value").current().play(&facts(2, 0)));
    }
    assert!(
        told.late > 200 && told.wrong > 500,
        "some batches are checked while a proxy is behind: {told:?}"
    );
    assert!(told.falsely_refused * 20 < told.judged, "{told:?}");
}
