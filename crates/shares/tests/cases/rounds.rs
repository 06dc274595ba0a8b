use std::collections::BTreeMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::fairness::{fits_capacity, plan_of, One};
use super::*;

fn equal_tenants(count: usize, rest: impl Fn(usize) -> String) -> String {
    let one =
        |at| tenant(&format!("t{at}"), &format!("products = [\"p{at}\"]\nzones = [\"a\"]\n{}", rest(at)));
    HEAD.to_string() + &(0..count).map(one).collect::<String>()
}

#[test]
fn a_guarantee_is_asked_for_again_and_the_fewest_give_way_in_the_stated_order() {
    let rest = |at| match at {
        0 => "guarantee_per_s = 60".into(),
        at => format!("gives_way = {}", if at == 7 { 1 } else { 2 }),
    };
    let plan = plan(&equal_tenants(9, rest), &facts(&[160.0], 9));
    let mut round = Round::new(plan);
    let mut demands = vec![20.0; 9];
    demands[0] = 0.0;
    round.deal(0.0, &demands, &[160.0], None);
    assert!(round.rates()[1..].iter().all(|rate| (rate - 20.0).abs() < 1e-6));
    demands[0] = 60.0;
    let dealt = round.deal(1_000.0, &demands, &[160.0], None);
    assert!((round.rates()[0] - 60.0).abs() < 1e-3, "the guarantee is met at once");
    // 60 are needed: the tenant that gives way first gives its 20, two more give theirs, and the rest keep theirs.
    assert_eq!(dealt.gave, vec![Tenant(7), Tenant(1), Tenant(2)]);
    assert_eq!(dealt.changed.len(), 4);
    // Then the others are reduced to their fair rates, once each.
    let mut reductions: BTreeMap<Tenant, usize> = BTreeMap::new();
    for second in 2..40 {
        let dealt = round.deal(f64::from(second) * 1_000.0, &demands, &[160.0], None);
        dealt.gave.iter().for_each(|tenant| *reductions.entry(*tenant).or_default() += 1);
        if second > 30 {
            assert!(dealt.changed.is_empty(), "{second}: {dealt:?}");
        }
    }
    assert!(reductions.values().all(|reductions| *reductions == 1), "{reductions:?}");
    assert!(round.rates()[1..].iter().all(|rate| (rate - 12.5).abs() < 0.07), "{:?}", round.rates());
}

#[test]
fn guarantees_come_back_one_after_the_other_and_none_gives_twice() {
    let rest = |at| if at < 3 { "guarantee_per_s = 30".into() } else { String::new() };
    let plan = plan(&equal_tenants(9, rest), &facts(&[120.0], 9));
    let mut round = Round::new(plan);
    let mut demands = vec![20.0; 9];
    demands[..3].fill(0.0);
    round.deal(0.0, &demands, &[120.0], None);
    let mut gave: Vec<Tenant> = vec![];
    for at in 0..3 {
        demands[at] = 30.0;
        let dealt = round.deal(1_000.0 * (at + 1) as f64, &demands, &[120.0], None);
        assert!((round.rates()[at] - 30.0).abs() < 1e-3, "{:?}", round.rates());
        assert!(dealt.gave.iter().all(|tenant| !gave.contains(tenant)), "{gave:?} {dealt:?}");
        gave.extend(dealt.gave);
    }
}

#[test]
fn a_tenant_appears_and_vanishes_each_round() {
    let plan = plan(
        &equal_tenants(5, |at| if at == 0 { "guarantee_per_s = 50".into() } else { String::new() }),
        &facts(&[100.0], 5),
    );
    let mut round = Round::new(plan);
    let mut gave = 0;
    for at in 0..100 {
        let mut demands = vec![40.0; 5];
        demands[0] = if at % 2 == 0 { 50.0 } else { 0.0 };
        gave += round.deal(200.0 * f64::from(at), &demands, &[100.0], None).gave.len();
        if at % 2 == 0 {
            assert!(round.rates()[0] > 49.9, "its guarantee is not met when it asks for it");
        }
        assert!(round.rates().iter().sum::<f64>() <= 100.0 + 1e-6);
    }
    // 50 are missing each time, and two of the four have them. At the leader, demand is held in bands and nobody gives way
    // again.
    assert!(gave <= 100, "gave way {gave} times");
}

/// Report number `at` of a controller's run to the leader of term 1, under plan 1. All hosts are in zone a.
fn report(from: u16, at: u64, demand: Vec<Grant>, capacity_per_s: f64) -> Input {
    let (round, capacity) = ((1 << 32) + at, vec![(Zone(0), capacity_per_s)]);
    let seen = Seen { round, term: 1, plan: 1, lived: 1e6, demand, capacity, held: vec![] };
    Input::Heard { from: Holder(from), said: Said::Seen(seen) }
}

/// Guards against grants that ignore the floors of tenants without demand. These floors are always in force.
#[test]
fn capacity_drops_below_the_guarantees_and_floors_of_tenants_without_demand_count_first() {
    let plan = plan(
        &equal_tenants(3, |at| format!("guarantee_per_s = {}", if at == 0 { 60 } else { 20 })),
        &facts(&[100.0], 3),
    );
    let lengths = Lengths::new(1_000.0, 0.0, 0.0).expect("lengths");
    let mut chair = Chair::new(0.0, 1, 1, plan.clone(), [Holder(0)].into(), lengths);
    for (at, capacity_per_s) in [(1u64, 100.0), (2, 15.0), (3, 15.0)] {
        let now = 2_000.0 + 200.0 * at as f64;
        let arrivals = |claim: u32| if claim == 0 { 0.0 } else { 100.0 };
        let demand =
            plan.claims().map(|(claim, tenant, zone)| Grant { tenant, zone, per_s: arrivals(claim.0) });
        chair.handle(now, report(0, at, demand.collect(), capacity_per_s));
        chair.handle(now + 150.0, Input::Stood { since: now + 50.0 });
        // The floors are 10, of which 6 belong to the tenant without demand.
        let taken = Said::Taken { round: (1 << 32) + at, term: 1 };
        chair.handle(now + 160.0, Input::Heard { from: Holder(0), said: taken });
        let in_force: f64 = chair.possible().values().sum();
        assert!(
            in_force <= capacity_per_s + 1e-4 && in_force > 0.97 * capacity_per_s,
            "{at}: {in_force} of {capacity_per_s}"
        );
    }
}

/// Guards against granting capacity that proxies still use (found by process runs with seeds 15 and 29 on an overloaded
/// machine): a leader was elected just after grants of the previous one had expired at their holders. The holders reported
/// no grants, and the new leader granted what proxies still acted on.
#[test]
fn a_grant_expires_at_its_holder_and_a_new_leader_counts_it_until_the_last_proxy_stops_using_it() {
    let plan = plan(&equal_tenants(1, |_| "guarantee_per_s = 40".into()), &facts(&[100.0], 1));
    let lengths = Lengths::new(1_000.0, 0.0, 1_500.0).expect("lengths");
    let mut held = Held::new(-1e6, 1, 1, plan.clone()).lingers(&lengths);
    held.handle(0.0, Heard::Came(vec![(ZoneId(0), ClassId(0), 100.0)]));
    held.handle(0.0, Heard::Capacity(vec![(ZoneId(0), 100.0)]));
    let said = super::stewards::round(&held.handle(0.0, Heard::Chair { term: 1 }));
    let grants = vec![Grant { tenant: Tenant(0), zone: Zone(0), per_s: 90.0 }];
    held.handle(100.0, Heard::From(Said::Dealt { round: said, term: 1, plan: 1, grants, lasts: 1_000.0 }));
    held.handle(1_000.0, Heard::Tick);
    assert!(!held.granted(1_000.0));
    // The next leader gets its report at once, and another controller asks for everything.
    let mut chair = Chair::new(1_000.0, 2, 1, plan.clone(), [Holder(0), Holder(1)].into(), lengths);
    let mut outputs = held.handle(1_010.0, Heard::Chair { term: 2 });
    let mut granted = vec![];
    for at in 1..=10u64 {
        let now = 1_000.0 + 200.0 * at as f64;
        for out in outputs.drain(..) {
            if let Out::Say(said) = out {
                chair.handle(now, Input::Heard { from: Holder(0), said });
            }
        }
        let demand = vec![Grant { tenant: Tenant(0), zone: Zone(0), per_s: 100.0 }];
        let capacity = vec![(Zone(0), 100.0)];
        let round = (7 << 32) + at;
        let seen = Seen { round, term: 2, plan: 1, lived: 1e6, demand, capacity, held: vec![] };
        chair.handle(now, Input::Heard { from: Holder(1), said: Said::Seen(seen) });
        for out in chair.handle(now + 60.0, Input::Stood { since: now + 50.0 }) {
            let Output::Send { to: Holder(1), said: Said::Dealt { grants, .. } } = out else { continue };
            granted.push((now, grants.iter().map(|grant| grant.per_s).sum::<f64>()));
        }
    }
    let end = 1_000.0 + lengths.slack;
    let while_lingering = granted.iter().filter(|of| of.0 < end).map(|of| of.1).fold(0.0, f64::max);
    assert!(while_lingering <= 10.0, "proxies of the first holder may still admit 90: {granted:?}");
    assert!(
        granted.iter().any(|of| of.0 > end && of.1 > 40.0),
        "it is not granted after that time: {granted:?}"
    );
}

/// Guards against a part of a guarantee that stays assigned to a failed controller although its proxies, and with them the
/// tenant's demand, have moved to other controllers.
#[test]
fn a_controller_fails_and_its_part_of_a_guarantee_follows_its_proxies() {
    let plan = plan(
        &equal_tenants(2, |at| format!("guarantee_per_s = {}", if at == 0 { 60 } else { 10 })),
        &facts(&[100.0], 2),
    );
    let lengths = Lengths::new(2_000.0, 0.0, 0.0).expect("lengths");
    let mut chair = Chair::new(0.0, 1, 1, plan.clone(), (0..3).map(Holder).collect(), lengths);
    let (fails_at, mut held) = (8_000.0, [0.0; 3]);
    for at in 1..=100u64 {
        let now = 4_000.0 + 200.0 * at as f64;
        let running: Vec<u16> = if now < fails_at { vec![0, 1, 2] } else { vec![0, 1] };
        for controller in &running {
            let arrivals = |claim: u32| [60.0, 150.0][claim as usize] / running.len() as f64;
            let demand =
                plan.claims().map(|(claim, tenant, zone)| Grant { tenant, zone, per_s: arrivals(claim.0) });
            chair.handle(now, report(*controller, at, demand.collect(), 100.0));
        }
        for out in chair.handle(now + 100.0, Input::Stood { since: now + 50.0 }) {
            let Output::Send { to, said: Said::Dealt { round, term, grants, .. } } = out else { continue };
            let of = grants.iter().filter(|grant| grant.tenant == Tenant(0)).map(|grant| grant.per_s);
            held[usize::from(to.0)] = of.sum();
            chair.handle(now + 150.0, Input::Heard { from: to, said: Said::Taken { round, term } });
        }
        // By then the grants of the failed controller have expired and two more reports have been sent. Floors of 1.5 each
        // are reserved for it and for a fourth controller.
        let back = held[0] + held[1];
        assert!(now < fails_at + lengths.longest() + 600.0 || back > 56.99, "{now}: {held:?}");
    }
}

/// Demand that appears and vanishes with each report. From its first appearance on it stays within its band at the leader.
#[test]
fn a_tenant_appears_and_vanishes_with_each_report_and_nobody_gives_way_again() {
    let rest = |at| if at == 0 { "guarantee_per_s = 50".into() } else { String::new() };
    let plan = plan(&equal_tenants(5, rest), &facts(&[100.0], 5));
    let lengths = Lengths::new(3_000.0, 0.0, 0.0).expect("lengths");
    let mut chair = Chair::new(0.0, 1, 1, plan.clone(), [Holder(0)].into(), lengths);
    let mut gave = 0;
    for at in 0..100u32 {
        let now = 4_000.0 + 200.0 * f64::from(at);
        let arrivals = |claim: u32| if claim > 0 { 40.0 } else { f64::from(at % 2) * 50.0 };
        let demand =
            plan.claims().map(|(claim, tenant, zone)| Grant { tenant, zone, per_s: arrivals(claim.0) });
        chair.handle(now, report(0, u64::from(at) + 1, demand.collect(), 100.0));
        for out in chair.handle(now + 100.0, Input::Stood { since: now + 50.0 }) {
            gave += if let Output::Gave(tenants) = out { tenants.len() } else { 0 };
        }
        let rates: Vec<f64> = chair.rates().map(|(_, rate)| rate).collect();
        assert!(at == 0 || rates[0] > 49.0, "{at}: {rates:?}");
    }
    assert!(gave <= 4, "gave way {gave} times");
}

/// Guards against grants that change minutes later: the first traffic report of a tenant was unusually low, so its band is
/// too low and is exceeded by chance.
#[test]
fn demands_are_steady_but_for_chance_and_no_share_changes_after_a_minute() {
    const CONTROLLERS: u16 = 5;
    /// The first report as a fraction of the mean. It leaves three standard deviations of the reports below the band that
    /// starts from it.
    const FIRST_REPORT: f64 = 0.87;
    let plan = plan(
        &equal_tenants(20, |at| format!("guarantee_per_s = 20\nweight = {}", 1 + at % 3)),
        &facts(&[3_000.0], 20),
    );
    let lengths = Lengths::new(3_000.0, 0.0, 0.0).expect("lengths");
    let holders = (0..CONTROLLERS).map(Holder).collect();
    let mut chair = Chair::new(0.0, 1, 1, plan.clone(), holders, lengths);
    let mut draws = 0u64;
    let mut random = || {
        draws += 1;
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        (hasher.hash_one((28u64, draws)) >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut before: Vec<f64> = vec![];
    for second in 0..200u64 {
        let sums: Vec<Vec<Grant>> = (0..CONTROLLERS)
            .map(|_| {
                let arrivals = plan.claims().map(|(claim, tenant, zone)| {
                    let mean = f64::from(30 + 3 * claim.0) / f64::from(CONTROLLERS);
                    let mean = if second == 0 { FIRST_REPORT * mean } else { mean };
                    // The sum of twelve uniform draws has a standard deviation of one.
                    let chance = (0..12).map(|_| random()).sum::<f64>() - 6.0;
                    Grant { tenant, zone, per_s: (mean + chance * mean.sqrt()).max(0.0) }
                });
                arrivals.collect()
            })
            .collect();
        for turn in 0..5u64 {
            let now = 4_000.0 + (1_000 * second + 200 * turn) as f64;
            for (at, demand) in sums.iter().enumerate() {
                let turn = 5 * second + turn + 1;
                chair.handle(now, report(at as u16, turn, demand.clone(), 3_000.0));
            }
            chair.handle(now + 100.0, Input::Stood { since: now + 50.0 });
        }
        let rates: Vec<f64> = chair.rates().map(|(_, rate)| rate).collect();
        let same = before.iter().zip(&rates).all(|(before, rate)| (before - rate).abs() < 1e-6);
        assert!(second < 60 || same, "{second}: {before:?} {rates:?}");
        before = rates;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    #[test]
    fn demand_and_capacity_jump_and_an_allocation_fits_converges_and_is_fair(
        capacities in prop::collection::vec(20u32..90, 2),
        ones in prop::collection::vec((1u8..4, 1u32..4, 0u32..12, prop::option::of(15u32..50)), 1..7),
        steps in prop::collection::vec((prop::collection::vec(0u32..70, 7), prop::collection::vec(1u32..11, 2), 0u32..3), 1..6),
    ) {
        let capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let ones: Vec<One> = ones.into_iter().map(|(reach, weight, guarantee, ceiling)| One {
            reach,
            demand: 0.0,
            weight: f64::from(weight),
            guarantee: f64::from(guarantee),
            ceiling: ceiling.map_or(f64::INFINITY, f64::from),
        }).collect();
        let Some(plan) = plan_of(&capacities, &ones) else { return Ok(()) };
        let mut round = Round::new(plan.clone());
        let reach: Vec<u8> = ones.iter().map(|one| one.reach).collect();
        let mut now = 0.0;
        let (mut demands, mut remaining) = (vec![], capacities.clone());
        for (demand, parts, wait) in steps {
            now += 1_000.0 * f64::from(wait) + 100.0;
            demands = ones.iter().zip(&demand).map(|(_, ask)| f64::from(*ask)).collect();
            remaining = capacities.iter().zip(&parts).map(|(capacity, part)| capacity * f64::from(*part) / 10.0).collect();
            let before = round.rates().to_vec();
            let fair = round.fair(&demands, &remaining, None).to_vec();
            let dealt = round.deal(now, &demands, &remaining, None);
            let rates = round.rates();
            prop_assert!(fits_capacity(&remaining, &reach, rates), "{rates:?} in {remaining:?}");
            for (at, one) in ones.iter().enumerate() {
                prop_assert!(rates[at] <= one.ceiling.min(demands[at]) + 1e-6);
                // Guarantees are met at once, as far as there is capacity.
                let promised = one.guarantee.min(demands[at]).min(fair[at]);
                prop_assert!(rates[at] >= promised * (1.0 - 1e-4) - 1e-6, "{at}: {rates:?} {fair:?}");
                // No tenant is reduced below its guarantee (checked above), and only tenants that are reported as reduced
                // have less than before.
                let gave = dealt.gave.contains(&plan.tenant(Claim(at as u32)));
                prop_assert!(gave || rates[at] >= before[at].min(demands[at]) - 1e-6, "{before:?} {rates:?}");
            }
        }
        // With constant demand and capacity, rates converge to fair ones, and then nothing changes.
        for _ in 0..60 {
            now += 1_000.0;
            round.deal(now, &demands, &remaining, None);
        }
        let fair = round.fair(&demands, &remaining, None).to_vec();
        for _ in 0..60 {
            now += 1_000.0;
            prop_assert!(round.deal(now, &demands, &remaining, None).changed.is_empty());
        }
        for (rate, fair) in round.rates().iter().zip(fair) {
            prop_assert!(*rate >= 0.99 * fair - 1e-3, "{:?}", round.rates());
        }
    }
}
