//! A controller under two plans.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::stewards::{grant, limits, round, seen};
use super::*;

const LENGTHS: Lengths = Lengths { grant: 2_000.0, drift: 0.0, slack: 0.0 };

fn one(guarantee: u32) -> Arc<Plan> {
    let rest = format!("products = [\"p0\"]\nguarantee_per_s = {guarantee}");
    plan(&(HEAD.to_string() + &tenant("x", &rest)), &facts(&[200.0], 1))
}

fn arrivals(per_s: f64) -> Heard {
    Heard::Came(vec![(ZoneId(0), ClassId(0), per_s)])
}

/// Brings a controller that started at `-RUNNING_MS` to time 0 with a grant by the leader of term 5 under plan 1: 60 of 100
/// arriving txns per second.
fn granted(joint: &mut Joint) {
    joint.handle(-100.0, &arrivals(100.0));
    joint.handle(-100.0, &Heard::Chair { term: 5 });
    let out = joint.plans(-100.0, &[Some((1, one(80)))], || 1);
    assert_eq!(limits(&joint.handle(0.0, &grant(round(&out), 5, 1, 60.0))), vec![(0, 0.55)]);
}

const RUNNING_MS: f64 = 60_000.0;

fn controller() -> Joint {
    Joint::new(-RUNNING_MS, &LENGTHS)
}

/// Adds plan 2 at time 10. Returns the number of its first report under plan 2.
fn under_both(joint: &mut Joint) -> u64 {
    let out = joint.plans(10.0, &[Some((1, one(80))), Some((2, one(40)))], || 2);
    assert_eq!(limits(&out), vec![], "the floors of the new plan apply before its first grants");
    assert!(!joint.ready());
    round(&out)
}

#[test]
fn a_plan_is_added_and_the_smaller_share_is_admitted() {
    let mut joint = controller();
    granted(&mut joint);
    let said = under_both(&mut joint);
    assert_eq!(joint.may(20.0, ZoneId(0), ClassId(0)), 60.0);
    // The new plan grants more than the old one, so the old one's limit applies.
    assert_eq!(limits(&joint.handle(20.0, &grant(said, 5, 2, 90.0))), vec![]);
    assert!(joint.ready() && joint.may(20.0, ZoneId(0), ClassId(0)) == 60.0);
}

#[test]
fn the_new_plan_grants_less_and_the_old_one_more() {
    let mut joint = controller();
    granted(&mut joint);
    let said = under_both(&mut joint);
    assert_eq!(limits(&joint.handle(20.0, &grant(said, 5, 2, 30.0))), vec![(0, 0.25)]);
    assert!(joint.ready() && joint.may(20.0, ZoneId(0), ClassId(0)) == 30.0);
    // The new plan is withdrawn, and the grant of the old plan is admitted again.
    assert_eq!(limits(&joint.plans(30.0, &[Some((1, one(80)))], || 3)), vec![(0, 0.55)]);
}

#[test]
fn the_new_plan_never_gets_grants_and_its_floors_apply_in_the_end() {
    let mut joint = controller();
    granted(&mut joint);
    under_both(&mut joint);
    let until = 10.0 + LENGTHS.longest() + 1_000.0;
    joint.handle(until - 1.0, &Heard::Tick);
    assert!(!joint.ready() && joint.due() <= until);
    joint.handle(until, &Heard::Tick);
    // The floor is a tenth of 40, divided among four controllers.
    assert!(joint.ready() && joint.may(until, ZoneId(0), ClassId(0)) == 1.0);
}

#[test]
fn the_plan_in_force_is_unknown_for_a_while_and_then_both_limit_at_once() {
    let mut joint = controller();
    granted(&mut joint);
    assert_eq!(
        limits(&joint.plans(10.0, &[], || 2)),
        vec![(0, 1.0)],
        "limits are lifted; residency rejects all txns instead"
    );
    let out = joint.plans(20.0, &[Some((1, one(80))), Some((2, one(40)))], || 3);
    assert!(joint.ready() && joint.may(20.0, ZoneId(0), ClassId(0)) == 1.0);
    // Proxies may still act on its grants of plan 1; it never had any of plan 2.
    let lived: Vec<(u64, f64)> = seen(&out).map(|seen| (seen.plan, seen.lived)).collect();
    assert_eq!(lived, vec![(1, 10.0), (2, RUNNING_MS + 20.0)]);
}

#[test]
fn a_first_plan_is_added_and_nothing_is_limited_before_its_first_grants() {
    let mut joint = controller();
    joint.handle(0.0, &arrivals(100.0));
    joint.handle(0.0, &Heard::Chair { term: 5 });
    joint.plans(0.0, &[None], || 1);
    let out = joint.plans(10.0, &[None, Some((2, one(40)))], || 2);
    assert!(limits(&out).is_empty() && !joint.ready());
    assert_eq!(limits(&joint.handle(20.0, &grant(round(&out), 5, 2, 30.0))), vec![(0, 0.25)]);
    assert!(joint.ready());
    assert_eq!(
        limits(&joint.plans(30.0, &[None], || 3)),
        vec![(0, 1.0)],
        "the limit is lifted with the plan"
    );
}

#[test]
fn all_hosts_of_a_zone_are_lost_and_it_is_reported_at_once() {
    let mut joint = controller();
    joint.handle(-100.0, &Heard::Capacity(vec![(ZoneId(0), 200.0), (ZoneId(1), 50.0)]));
    granted(&mut joint);
    let report = |joint: &mut Joint, now, capacity: &[(u16, f64)]| -> Vec<Vec<(Zone, f64)>> {
        let capacity = capacity.iter().map(|(zone, per_s)| (ZoneId(*zone), *per_s)).collect();
        seen(&joint.handle(now, &Heard::Capacity(capacity))).map(|seen| seen.capacity.clone()).collect()
    };
    assert_eq!(
        report(&mut joint, 50.0, &[(0, 190.0), (1, 50.0)]),
        Vec::<Vec<_>>::new(),
        "a small change is reported with the next regular report"
    );
    let lost = vec![(Zone(0), 190.0), (Zone(1), 0.0)];
    assert_eq!(report(&mut joint, 60.0, &[(0, 190.0)]), vec![lost], "a zone that is not listed has no hosts");
}

#[derive(Clone, Debug)]
enum Message {
    Came(f64),
    Tick,
    /// Grants under one of the plans: which plan, how many reports ago they answer, and the rate.
    Dealt(usize, usize, f64),
    Chair(u64),
}

fn messages() -> impl Strategy<Value = Vec<(f64, Message)>> {
    let message = prop_oneof![
        (0.0f64..200.0).prop_map(Message::Came),
        Just(Message::Tick),
        (0usize..2, 0usize..3, 0.0f64..150.0).prop_map(|(plan, ago, per_s)| Message::Dealt(plan, ago, per_s)),
        (1u64..4).prop_map(Message::Chair),
    ];
    prop::collection::vec((0.0f64..600.0, message), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// Compared with two controllers that know one plan each: from the first grants of the new plan on the smaller of
    /// their shares applies, before that the one of the old plan.
    #[test]
    fn messages_of_two_plans_come_in_any_order_and_the_smaller_share_applies(messages in messages(), guarantee in 20u32..100) {
        let plans = [one(80), one(guarantee)];
        let both = [Some((1, plans[0].clone())), Some((2, plans[1].clone()))];
        let mut joint = Joint::new(0.0, &LENGTHS);
        let mut alone: Vec<Held> =
            (0..2).map(|at| Held::new(0.0, at as u32 + 1, at as u64 + 1, plans[at].clone())).collect();
        joint.plans(0.0, &both[..1], || 1);
        let mut run = 1;
        joint.plans(0.0, &both, || { run += 1; run });
        let (mut now, mut inactive, mut emitted, mut shares) = (0.0, true, 1.0, [1.0, 1.0]);
        let mut rounds: [Vec<u64>; 2] = Default::default();
        for (delay, message) in messages {
            now += delay;
            let heard = match message {
                Message::Came(per_s) => arrivals(per_s),
                Message::Tick => Heard::Tick,
                Message::Chair(term) => Heard::Chair { term },
                Message::Dealt(at, ago, per_s) => {
                    let Some(said) = rounds[at].iter().rev().nth(ago) else { continue };
                    grant(*said, 3, at as u64 + 1, per_s)
                }
            };
            for (at, held) in alone.iter_mut().enumerate() {
                let other = matches!(&heard, Heard::From(Said::Dealt { plan, .. }) if *plan != at as u64 + 1);
                let out = held.handle(now, if other { Heard::Tick } else { heard.clone() });
                rounds[at].extend(seen(&out).map(|seen| seen.round));
                limits(&out).into_iter().for_each(|(_, share)| shares[at] = share);
            }
            inactive &= !alone[1].granted(now) && now < LENGTHS.longest() + 1_000.0;
            limits(&joint.handle(now, &heard)).into_iter().for_each(|(_, share)| emitted = share);
            prop_assert_eq!(joint.ready(), !inactive);
            let least = if inactive { shares[0] } else { f64::min(shares[0], shares[1]) };
            prop_assert_eq!(emitted, least);
            let may = alone.iter().take(if inactive { 1 } else { 2 }).map(|held| held.may(now, Claim(0)));
            prop_assert_eq!(joint.may(now, ZoneId(0), ClassId(0)), may.fold(f64::INFINITY, f64::min));
        }
    }
}
