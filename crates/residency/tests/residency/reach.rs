//! Tests of joint reach, tiers in use, and changes that are refused in advance.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, Event, ZoneId, Zones};
use amberarch_residency::{bare, difference, over, there, Governed, InUse, Permit, Reach};
use proptest::prelude::*;

fn zones(zones: &[u16]) -> Zones {
    zones.iter().copied().map(ZoneId).collect()
}

const PAIR: Governed = (ClassId(0), ZoneId(0));

fn reach(tiers: &[&[u16]]) -> Reach {
    let permit = Permit { tiers: tiers.iter().map(|tier| zones(tier)).collect() };
    Reach { permits: BTreeMap::from([(PAIR, permit)]), parts: vec![] }
}

#[test]
fn two_zones_are_swapped_and_nothing_may_serve_meanwhile() {
    let joint = reach(&[&[1]]).joint(&reach(&[&[2]]));
    assert_eq!(joint.in_use(zones(&[1, 2]))[&PAIR], Zones::NONE);
    let hosts = BTreeMap::from([(ZoneId(1), 3), (ZoneId(2), 3)]);
    let told = bare(&joint, &hosts, &BTreeSet::new()).expect_err("nothing is left");
    assert_eq!((told.product, told.from, told.zones), (ClassId(0), ZoneId(0), Zones::NONE));
    assert!(!told.advice().is_empty());
    assert_eq!(
        bare(&joint, &hosts, &BTreeSet::from([PAIR])),
        Ok(()),
        "the revision says that it is declined"
    );
}

#[test]
fn a_fallback_of_one_is_shut_while_the_others_first_zone_has_hosts() {
    // The old reach serves in 1, and in 2 only while 1 has no host; the new one serves in 2 alone.
    let joint = reach(&[&[1], &[2]]).joint(&reach(&[&[2]]));
    assert_eq!(joint.in_use(zones(&[1, 2]))[&PAIR], Zones::NONE);
    assert_eq!(joint.in_use(zones(&[2]))[&PAIR], zones(&[2]));
}

#[test]
fn a_permitted_zone_is_lost_and_comes_back() {
    let reach = reach(&[&[1], &[2]]);
    let with = |hosts: &[(u16, u32)]| {
        let hosts = hosts.iter().map(|(zone, count)| (ZoneId(*zone), *count)).collect();
        reach.in_use(there(&hosts))
    };
    let all = with(&[(1, 2), (2, 2)]);
    let lost = with(&[(1, 0), (2, 2)]);
    let told = |allowed_zones| vec![Event::ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones }];
    assert_eq!(difference(&InUse::new(), &all), told(zones(&[1])));
    assert_eq!(difference(&all, &lost), told(zones(&[2])));
    // Another host in the zone, or one fewer, changes nothing.
    assert_eq!(difference(&all, &with(&[(1, 1), (2, 9)])), []);
    // Without any host the first tier is used again and nothing serves: txns are rejected, not served
    // elsewhere.
    assert_eq!(with(&[(1, 0), (2, 0)])[&PAIR], zones(&[1]));
    assert_eq!(difference(&lost, &InUse::new()), told(Zones::ALL));
}

#[test]
fn what_can_not_be_known_is_declined_at_once() {
    let unknown = Reach::declining([PAIR]);
    assert_eq!(unknown.in_use(Zones::ALL)[&PAIR], Zones::NONE);
    assert_eq!(unknown.zones((ClassId(1), ZoneId(0))), Zones::ALL);
}

#[test]
fn more_comes_for_two_zones_than_they_carry() {
    let pair = |product| (ClassId(product), ZoneId(0));
    let in_use = InUse::from([(pair(0), zones(&[0])), (pair(1), zones(&[0, 1])), (pair(2), Zones::NONE)]);
    let capacity = BTreeMap::from([(ZoneId(0), 100.0), (ZoneId(1), 100.0), (ZoneId(2), 1_000.0)]);
    let demand = |rates: [f64; 4]| (0..4).map(pair).zip(rates).collect::<BTreeMap<_, _>>();
    assert_eq!(over(&in_use, &demand([90.0, 105.0, 1e9, 900.0]), &capacity), Ok(()));
    let told = over(&in_use, &demand([90.0, 120.0, 0.0, 10.0]), &capacity).expect_err("210 for 200");
    assert_eq!((told.zones, told.pairs.clone()), (zones(&[0, 1]), vec![pair(0), pair(1)]));
    assert!((told.demand - 210.0).abs() < 1e-6 && (told.carries - 200.0).abs() < 1e-6, "{told:?}");
    assert!(!told.advice().is_empty());
    let told = over(&in_use, &demand([101.0, 0.0, 0.0, 0.0]), &capacity).expect_err("101 for 100");
    assert_eq!(told.zones, zones(&[0]));
}

fn drawn() -> impl Strategy<Value = Reach> {
    let permit = prop::collection::vec(0..16u128, 0..3).prop_map(|sets| {
        let mut left = Zones(15);
        let tier = |set| {
            let tier = Zones(set).intersection(left);
            left = left.difference(tier);
            tier
        };
        Permit { tiers: sets.into_iter().map(tier).filter(|tier| !tier.is_empty()).collect() }
    });
    prop::collection::btree_map((0..2u16, 0..2u16), permit, 0..4).prop_map(|permits| Reach {
        permits: permits.into_iter().map(|((p, z), permit)| ((ClassId(p), ZoneId(z)), permit)).collect(),
        parts: vec![],
    })
}

proptest! {
    /// Whichever zones have hosts, joint stays within both reaches as each would be used alone.
    #[test]
    fn joint_is_within_both(a in drawn(), b in drawn(), there in 0..16u128) {
        let (joint, there) = (a.joint(&b), Zones(there));
        let of = |reach: &Reach, pair| reach.in_use(there).get(&pair).copied().unwrap_or(Zones::ALL);
        for pair in (0..2).flat_map(|p| (0..2).map(move |z| (ClassId(p), ZoneId(z)))) {
            prop_assert_eq!(of(&joint, pair), of(&a, pair).intersection(of(&b, pair)));
            prop_assert!(of(&joint, pair).difference(joint.zones(pair)).is_empty());
        }
    }

    /// Compares the flow with every set of zones (Hall's condition): demand is refused if some set is
    /// overloaded, and the error then names such a set.
    #[test]
    fn over_is_what_some_set_of_zones_can_not_carry(
        sets in prop::collection::vec((1..16u128, 0..50u32), 1..5),
        rooms in prop::collection::vec(0..60u32, 4),
    ) {
        let pair = |at: usize| (ClassId(at as u16), ZoneId(0));
        let in_use: InUse = sets.iter().enumerate().map(|(at, (set, _))| (pair(at), Zones(*set))).collect();
        let demand = sets.iter().enumerate().map(|(at, (_, rate))| (pair(at), f64::from(*rate))).collect();
        let capacity = (0..4).map(|zone| (ZoneId(zone), f64::from(rooms[usize::from(zone)]))).collect();
        let confined = |within: u128| -> f64 {
            sets.iter().filter(|(set, _)| set & !within == 0).map(|(_, rate)| f64::from(*rate)).sum()
        };
        let carries = |within: u128| -> f64 {
            (0..4).filter(|zone| within & (1 << zone) != 0).map(|zone| f64::from(rooms[zone as usize])).sum()
        };
        let worst = (0..16u128).any(|within| confined(within) > carries(within));
        match over(&in_use, &demand, &capacity) {
            Ok(()) => prop_assert!(!worst),
            Err(told) => {
                prop_assert!(told.demand > told.carries);
                prop_assert!((confined(told.zones.0) - told.demand).abs() < 1e-6, "{:?}", told);
                prop_assert!((carries(told.zones.0) - told.carries).abs() < 1e-6, "{:?}", told);
            }
        }
    }
}
