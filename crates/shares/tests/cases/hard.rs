//! Loss of zones, ranges of proxies, and limits of service levels combined with grants, compared with simple models.

use std::collections::BTreeMap;

use amberarch_core::{Event, RetryPolicy};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::fairness::{allocate_by_programs, fits_capacity, One};
use super::*;

const ONE_LOST: &str = "[shares]\nsurvive = { zones = 1 }\nfloor = { part = 0.1, stewards = 4 }\n";

/// Tenants whose txns arrive in the zones in turn, each with its own product, zone set and guarantee.
fn spread(
    head: &str,
    capacities: &[f64],
    tenants: &[(u8, f64)],
    place: impl Fn(&str) -> String,
) -> Option<Plan> {
    let mut facts = facts(capacities, tenants.len());
    let mut text = head.to_string();
    for (at, (reach, guarantee)) in tenants.iter().enumerate() {
        let home = at % capacities.len();
        let zones = (0..capacities.len() as u16).filter(|zone| reach >> zone & 1 == 1).map(ZoneId).collect();
        facts.permits.insert((ClassId(at as u16), ZoneId(home as u16)), zones);
        let place = place(&facts.zones[home].name);
        let rest = format!("products = [\"p{at}\"]\n{place}\nguarantee_per_s = {guarantee}");
        text += &tenant(&format!("t{at}"), &rest);
    }
    compile(&section(&text), &facts).ok()
}

fn in_zone(zone: &str) -> String {
    format!("zones = [\"{zone}\"]")
}

fn tenants() -> impl Strategy<Value = Vec<(u8, u32, u32)>> {
    prop::collection::vec((1u8..8, 0u32..25, 0u32..90), 1..7)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// Under a plan that survives the loss of one zone, all guarantees are met as soon as any zone is lost, whatever was
    /// lent before.
    #[test]
    fn a_zone_is_lost_and_every_guarantee_is_there_in_the_same_round(
        capacities in prop::collection::vec(30u32..120, 3),
        tenants in tenants(),
        before in prop::collection::vec(0u32..150, 7),
        lost in 0usize..3,
    ) {
        let mut capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let guarantees: Vec<(u8, f64)> = tenants.iter().map(|one| (one.0, f64::from(one.1))).collect();
        let Some(plan) = spread(ONE_LOST, &capacities, &guarantees, in_zone) else { return Ok(()) };
        let mut round = Round::new(Arc::new(plan));
        let demands: Vec<f64> = before.iter().take(tenants.len()).map(|demand| f64::from(*demand)).collect();
        for second in 0..3 {
            round.deal(1_000.0 * f64::from(second), &demands, &capacities, None);
        }
        capacities[lost] = 0.0;
        let demands: Vec<f64> = tenants.iter().map(|one| f64::from(one.2)).collect();
        let dealt = round.deal(3_000.0, &demands, &capacities, None);
        let reach: Vec<u8> = tenants.iter().map(|one| one.0).collect();
        prop_assert!(fits_capacity(&capacities, &reach, round.rates()), "{:?} in {capacities:?}", round.rates());
        prop_assert!(!dealt.short);
        for (at, (rate, demand)) in round.rates().iter().zip(&demands).enumerate() {
            prop_assert!(*rate >= guarantees[at].1.min(*demand) * (1.0 - 1e-4) - 1e-6, "{at}: {:?}", round.rates());
        }
    }

    /// A range of proxies whose pair has no other owner owns the whole pair: it is allocated the same as a tenant of the
    /// whole zone, and the same as by linear programs.
    #[test]
    fn a_tenant_is_a_range_of_proxies_and_is_allocated_as_one_of_the_whole_zone(
        capacities in prop::collection::vec(1u32..80, 3),
        tenants in tenants(),
        (from, to) in (0u32..50, 50u32..100),
    ) {
        let capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let guarantees: Vec<(u8, f64)> = tenants.iter().map(|one| (one.0, f64::from(one.1))).collect();
        let range = |zone: &str| format!("proxies = [{{ zone = \"{zone}\", from = {from}, to = {to} }}]");
        let by_range = spread(HEAD, &capacities, &guarantees, range);
        let by_zone = spread(HEAD, &capacities, &guarantees, in_zone);
        prop_assert_eq!(by_range.is_some(), by_zone.is_some());
        let (Some(by_range), Some(by_zone)) = (by_range, by_zone) else { return Ok(()) };
        prop_assert!(by_range.owned().eq(by_zone.owned()));
        let demands: Vec<f64> = tenants.iter().map(|one| f64::from(one.2)).collect();
        let found = Round::new(Arc::new(by_range)).fair(&demands, &capacities, None).to_vec();
        let tenants: Vec<One> = tenants.iter().map(|(reach, guarantee, demand)| One {
            reach: *reach,
            demand: f64::from(*demand),
            weight: 1.0,
            guarantee: f64::from(*guarantee),
            ceiling: f64::INFINITY,
        }).collect();
        let expected = allocate_by_programs(&capacities, &tenants);
        let close = |(found, expected): (&f64, &f64)| (found - expected).abs() <= 1e-3 * expected.max(1.0);
        prop_assert!(found.iter().zip(&expected).all(close), "{found:?} {expected:?}");
    }

    /// Limits of levels and grants come in any order. The emitted limit has the smaller share and the tries of the level,
    /// and is emitted only when it changes.
    #[test]
    fn levels_and_grants_bound_the_same_products_in_any_order_and_the_lesser_holds(
        limits in prop::collection::vec((any::<bool>(), 0u16..2, 0u16..2, 0u32..11, any::<bool>()), 1..60),
    ) {
        type Side = BTreeMap<(u16, u16), (f64, RetryPolicy)>;
        let mut lesser = Lesser::default();
        let (mut levels, mut grants, mut emitted): (Side, Side, Side) = Default::default();
        for (level, zone, class, max_share, one) in limits {
            let (pair, max_share) = ((zone, class), f64::from(max_share) / 10.0);
            let (zone, class) = (ZoneId(zone), ClassId(class));
            // Grants do not limit tries; without a limit by level tries are as without any limit.
            let max_tries = if one { RetryPolicy::One } else { RetryPolicy::AfterAny };
            let out = if level {
                levels.insert(pair, (max_share, max_tries));
                lesser.level(Event::ServiceBound { zone, class, max_share, max_tries })
            } else {
                grants.insert(pair, (max_share, max_tries));
                lesser.share(Bound { zone, product: class, share: max_share })
            };
            let of = |side: &Side| side.get(&pair).copied();
            let max_tries = of(&levels).map_or(RetryPolicy::TwiceAfterAny, |level| level.1);
            let max_share = f64::min(of(&levels).map_or(1.0, |level| level.0), of(&grants).map_or(1.0, |grant| grant.0));
            let before = emitted.insert(pair, (max_share, max_tries));
            let expected =
                (before != Some((max_share, max_tries))).then_some(Event::ServiceBound { zone, class, max_share, max_tries });
            prop_assert_eq!(out, expected);
        }
    }
}

/// A zone is lost after a report arrived and before the leader is confirmed. Guards against grants for the capacity of
/// that zone.
#[test]
fn a_zone_is_lost_between_a_report_and_its_answer_and_none_of_it_is_granted() {
    let capacities = [100.0, 100.0, 100.0];
    let plan =
        Arc::new(spread(ONE_LOST, &capacities, &[(7, 60.0), (7, 50.0), (7, 40.0)], in_zone).expect("a plan"));
    let lengths = Lengths::new(1_000.0, 0.0, 0.0).expect("lengths");
    let mut chair = Chair::new(0.0, 1, 1, plan.clone(), [Holder(0)].into(), lengths);
    for (at, zone_is_lost) in [(1u64, false), (2, false), (3, true)] {
        let now = 2_000.0 + 200.0 * at as f64;
        let demand = plan.claims().map(|(_, tenant, zone)| Grant { tenant, zone, per_s: 200.0 });
        let capacity = (0..3).map(|zone| (Zone(zone), 100.0)).collect();
        let round = (1 << 32) + at;
        let seen =
            Seen { round, term: 1, plan: 1, lived: 1e6, demand: demand.collect(), capacity, held: vec![] };
        chair.handle(now, Input::Heard { from: Holder(0), said: Said::Seen(seen) });
        if zone_is_lost {
            chair.handle(now + 40.0, Input::Fell { zone: Zone(1), per_s: 0.0 });
        }
        let out = chair.handle(now + 150.0, Input::Stood { since: now + 50.0 });
        let granted = |output: &Output| match output {
            Output::Send { said: Said::Dealt { grants, .. }, .. } => grants.clone(),
            _ => vec![],
        };
        let grants: Vec<Grant> = out.iter().flat_map(granted).collect();
        let sum: f64 = grants.iter().map(|grant| grant.per_s).sum();
        // The floors of three absent controllers are reserved.
        let available = if zone_is_lost { 200.0 } else { 300.0 };
        assert!(sum <= available && sum > 0.9 * available, "{at}: {grants:?}");
        for (grant, guarantee) in grants.iter().zip([60.0, 50.0, 40.0]) {
            assert!(grant.per_s >= guarantee * 0.925 - 1e-6, "{at}: {grants:?}");
        }
        chair.handle(now + 160.0, Input::Heard { from: Holder(0), said: Said::Taken { round, term: 1 } });
    }
}
