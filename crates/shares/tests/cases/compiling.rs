use std::time::Instant;

use expect_test::{expect, Expect};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome};
use proptest::prelude::*;

use super::*;

fn refused(text: &str, facts: &Facts) -> Unfit {
    match compile(&section(text), facts) {
        Ok(_) => panic!("the section is accepted"),
        Err(why) => why,
    }
}

fn shows(text: &str, facts: &Facts, expected: Expect) {
    let why = refused(text, facts);
    let faults: Vec<String> = why.faults(text).iter().map(ToString::to_string).collect();
    assert!(!why.spans().is_empty() && !why.advice().is_empty());
    expected.assert_eq(&faults.join("\n"));
}

#[test]
fn ten_tenants_may_use_one_zone_and_are_promised_more_than_it_has() {
    let mut text = HEAD.to_string();
    for at in 0..10 {
        text += &tenant(
            &format!("t{at}"),
            &format!("products = [\"p{at}\"]\nzones = [\"b\"]\nguarantee_per_s = {}", 15 + at),
        );
    }
    let facts = facts(&[1_000.0, 100.0, 1_000.0], 10);
    assert!(compile(&section(&text), &facts).is_ok(), "other zones may serve them");
    let facts = served_locally(facts);
    let why = refused(&text, &facts);
    let Unfit::Contradict { rules, promised, available, lost } = &why else { panic!("{why}") };
    // The four largest guarantees add up to 90, which fits into 100; the five largest don't fit.
    assert_eq!((rules.len(), *available, lost.len()), (5, 100.0, 0));
    assert!(*promised > 100.0);
    shows(
        &text,
        &facts,
        expect![[r#"
            32:19: these rules can't all hold: t5 is guaranteed 20/s; t6 is guaranteed 21/s; t7 is guaranteed 22/s; t8 is guaranteed 23/s; t9 is guaranteed 24/s; 110.0/s is guaranteed, but 100.0/s is available; lower one of the named guarantees, permit more zones, or lower survive.zones
            37:19: part of the same error: t6 is guaranteed 21/s
            42:19: part of the same error: t7 is guaranteed 22/s
            47:19: part of the same error: t8 is guaranteed 23/s
            52:19: part of the same error: t9 is guaranteed 24/s"#]],
    );
}

#[test]
fn a_zone_is_lost_and_the_rest_has_too_little() {
    let survive = HEAD.replace("[shares]\n", "[shares]\nsurvive = { zones = 1 }\n");
    let text = survive.clone() + &tenant("x", "guarantee_per_s = 350") + "weight = 2\n";
    assert!(compile(&section(&text), &facts(&[200.0, 200.0, 100.0], 1)).is_err());
    assert!(compile(&section(&text), &facts(&[200.0, 200.0, 200.0], 1)).is_ok());
    shows(
        &text,
        &facts(&[200.0, 200.0, 100.0], 1),
        expect![[r#"
            6:19: these rules can't all hold: x is guaranteed 350/s; the loss of 1 zones must be survived; 350.0/s is guaranteed, but 300.0/s is available without a; lower one of the named guarantees, permit more zones, or lower survive.zones
            2:11: part of the same error: the loss of 1 zones must be survived"#]],
    );
}

#[test]
fn names_are_missing_or_used_twice() {
    let facts = facts(&[100.0, 100.0], 2);
    let x = tenant("x", "products = [\"p0\"]");
    shows(
        &(HEAD.to_string() + &x + &x),
        &facts,
        expect![
            "7:8: tenant name x is used twice; give each tenant a unique name\n4:8: part of the same error"
        ],
    );
    shows(
        &(HEAD.to_string() + &tenant("x", "products = [\"p9\"]")),
        &facts,
        expect![
            "5:13: unknown product p9 (similar name: p1); use an existing name, or define this one first"
        ],
    );
    shows(
        &(HEAD.to_string() + &tenant("x", "parent = \"press\"")),
        &facts,
        expect!["5:10: unknown tenant press; use an existing name, or define this one first"],
    );
    shows(
        &(HEAD.to_string() + &tenant("x", "zones = [\"a\", \"zz\"]")),
        &facts,
        expect!["5:15: unknown zone zz; use an existing name, or define this one first"],
    );
    shows(
        &(HEAD.to_string()
            + &tenant("x", "guarantee_per_s = 1\nat_level = [{ level = \"leam\", part = 0.5 }]")),
        &facts,
        expect![
            "6:13: unknown level leam (similar name: lean); use an existing name, or define this one first"
        ],
    );
}

#[test]
fn parents_of_tenants_form_a_cycle() {
    let text = HEAD.to_string()
        + &tenant("x", "parent = \"z\"")
        + &tenant("y", "parent = \"x\"")
        + &tenant("z", "parent = \"y\"")
        + &tenant("w", "parent = \"x\"");
    shows(
        &text,
        &facts(&[100.0], 1),
        expect![[r#"
            5:10: cycle of parents among the tenants x, z, y; remove `parent` from one of them
            11:10: part of the same error
            8:10: part of the same error"#]],
    );
}

#[test]
fn rules_never_apply() {
    let facts = facts(&[100.0, 100.0], 2);
    for (rest, rule) in [
        ("borrows = false\nguarantee_per_s = 5\ngives_way = 3", "gives_way"),
        ("borrows = false\nguarantee_per_s = 5\nweight = 3", "weight"),
        ("lends = false", "lends = false"),
        ("borrows = false", "borrows = false"),
        ("back_within_ms = 9000", "back_within_ms"),
        ("at_level = [{ level = \"lean\", part = 0.5 }]", "at_level"),
        ("guarantee_per_s = 9\nat_level = [{ level = \"lean\", part = 0.5 }, { level = \"lean\", part = 0.2 }]", "at_level"),
        ("products = []", "products = []"),
        ("zones = []", "zones = []"),
        ("zones = [\"a\"]\nproxies = [{ zone = \"a\", from = 0, to = 4 }]", "proxies"),
    ] {
        let why = refused(&(HEAD.to_string() + &tenant("x", rest)), &facts);
        let Unfit::Dead { rule: found, .. } = &why else { panic!("{rest}: {why}") };
        assert_eq!(*found, rule, "{rest}");
    }
}

#[test]
fn values_are_out_of_range() {
    let facts = facts(&[100.0, 100.0], 2);
    for (rest, name) in [
        ("guarantee_per_s = -1", "guarantee_per_s"),
        ("guarantee_per_s = nan", "guarantee_per_s"),
        ("weight = 0", "weight"),
        ("ceiling_per_s = inf", "ceiling_per_s"),
        ("guarantee_per_s = 1\nback_within_ms = 0", "back_within_ms"),
        ("guarantee_per_s = 1\nat_level = [{ level = \"lean\", part = 1.0 }]", "part"),
        ("proxies = [{ zone = \"a\", from = 3, to = 100 }]", "proxies"),
    ] {
        let why = refused(&(HEAD.to_string() + &tenant("x", rest)), &facts);
        assert!(matches!(&why, Unfit::Figure { what, .. } if *what == name), "{rest}: {why}");
    }
    for head in ["floor = { part = 1.5, stewards = 4 }", "floor = { part = 0.5, stewards = 0 }"] {
        let why = refused(&format!("[shares]\n{head}\n"), &facts);
        assert!(matches!(why, Unfit::Figure { .. }), "{head}: {why}");
    }
    let why = refused(&HEAD.replace("[shares]", "[shares]\nsurvive = { zones = 2 }"), &facts);
    assert!(matches!(why, Unfit::Figure { what: "survive.zones", .. }), "{why}");
    assert!(toml::from_str::<File>(&(HEAD.to_string() + "flor = 1\n")).is_err(), "unknown keys are refused");
}

#[test]
fn two_tenants_own_the_same_txns_or_a_part_of_a_zone() {
    let facts = facts(&[100.0, 100.0], 2);
    let both = HEAD.to_string() + &tenant("x", "products = [\"p0\"]") + &tenant("y", "zones = [\"b\"]");
    shows(
        &both,
        &facts,
        expect![[r#"
            4:8: x and y both own product p0 in zone b; change the products or zones of one of them; each txn belongs to one tenant
            7:8: part of the same error"#]],
    );
    let part = tenant("x", "products = [\"p0\"]\nproxies = [{ zone = \"a\", from = 0, to = 49 }]");
    let rest = tenant("y", "products = [\"p0\"]\nproxies = [{ zone = \"a\", from = 50, to = 99 }]");
    shows(
        &(HEAD.to_string() + &part + &rest),
        &facts,
        expect![[r#"
            10:12: y has only some of zone a's proxies, and x owns product p0 there too; give it all of the zone's proxies, or a separate product there: limits apply to a zone and a product
            4:8: part of the same error"#]],
    );
    // Without the other tenant it owns the pair. Two overlapping ranges cover the whole zone.
    assert!(compile(&section(&(HEAD.to_string() + &part)), &facts).is_ok());
    let whole = "products = [\"p0\"]\nproxies = [{ zone = \"a\", from = 40, to = 99 }, { zone = \"a\", from = 0, to = 60 }]";
    let twice = HEAD.to_string() + &tenant("x", whole) + &tenant("y", "zones = [\"a\"]");
    assert!(matches!(refused(&twice, &facts), Unfit::Shared { .. }));
}

#[test]
fn parents_promise_or_allow_less_than_their_children_are_promised() {
    let facts = facts(&[1_000.0], 9);
    let child = |at: usize, rest: &str| {
        tenant(&format!("c{at}"), &format!("parent = \"x\"\nproducts = [\"p{at}\"]\n{rest}"))
    };
    let under = |rest: &str| {
        HEAD.to_string()
            + &tenant("x", rest)
            + &child(0, "guarantee_per_s = 40")
            + &child(1, "guarantee_per_s = 30")
            + &child(2, "guarantee_per_s = 70")
    };
    for (rest, rules) in [
        ("guarantee_per_s = 100", 3),
        ("ceiling_per_s = 60", 2),
        ("guarantee_per_s = 150\nceiling_per_s = 145", 2),
    ] {
        let why = refused(&under(rest), &facts);
        let Unfit::Contradict { rules: found, .. } = &why else { panic!("{why}") };
        assert_eq!(found.len(), rules, "{rest}: {why}");
    }
    assert!(compile(&section(&under("guarantee_per_s = 140\nceiling_per_s = 140")), &facts).is_ok());
    let inner = refused(&(under("products = [\"p7\"]")), &facts);
    assert!(matches!(inner, Unfit::Inner { what: "products", .. }), "{inner}");
}

#[test]
fn residency_leaves_no_zone_in_common_or_none_at_all() {
    let mut facts = facts(&[100.0, 100.0], 2);
    facts.permits.insert((ClassId(0), ZoneId(0)), Zones::one(ZoneId(0)));
    facts.permits.insert((ClassId(1), ZoneId(0)), Zones::one(ZoneId(1)));
    let text = HEAD.to_string() + &tenant("x", "");
    assert!(matches!(refused(&text, &facts), Unfit::NoZone { .. }));
    // Txns that residency rejects need no capacity, but a guarantee for them can't be kept.
    facts.permits.insert((ClassId(1), ZoneId(0)), Zones::NONE);
    let plan = compile(&section(&text), &facts).expect("it fits");
    assert_eq!(plan.owner(ZoneId(0), ClassId(1)), None);
    for zone in 0..2 {
        for product in 0..2 {
            facts.permits.insert((ClassId(product), ZoneId(zone)), Zones::NONE);
        }
    }
    assert_eq!(compile(&section(&text), &facts).expect("a plan without claims").claims().count(), 0);
    let promised = HEAD.to_string() + &tenant("x", "guarantee_per_s = 1");
    assert!(matches!(refused(&promised, &facts), Unfit::NoZone { .. }));
}

#[test]
fn a_guarantee_is_required_back_before_the_grant_of_a_silent_controller_expires() {
    let facts = facts(&[100.0], 1);
    let section = section(&(HEAD.to_string() + &tenant("x", "guarantee_per_s = 9\nback_within_ms = 4000")));
    let plan = compile(&section, &facts).expect("it fits");
    let lengths = |grant| Lengths::new(grant, 0.01, 500.0).expect("lengths");
    assert!(plan.fits(&section, lengths(3_000.0).longest()).is_ok());
    assert!(matches!(plan.fits(&section, lengths(3_500.0).longest()), Err(Unfit::Slow { .. })));
    assert!(Lengths::new(999.0, 0.01, 0.0).is_err() && Lengths::new(2e3, 1.0, 0.0).is_err());
    assert!(Lengths::new(2e3, 0.1, -1.0).is_err());
}

/// A hundred parents with a hundred tenants each, for a hundred products in a hundred zones.
pub fn many(guarantee: f64) -> (String, Facts) {
    let mut text = "[shares]\nsurvive = { zones = 1 }\nfloor = { part = 0.1, stewards = 500 }\n".to_string();
    for parent in 0..100 {
        text += &tenant(&format!("parent{parent}"), &format!("weight = {}", 1 + parent % 5));
        for child in 0..100 {
            let owned =
                format!("products = [\"p{child}\"]\nzones = [\"z{parent}\"]\nguarantee_per_s = {guarantee}");
            let rest = format!("parent = \"parent{parent}\"\nweight = {}\n{owned}", 1 + child % 7);
            text += &tenant(&format!("t{parent}x{child}"), &rest);
        }
    }
    let mut facts = facts(&[10_000.0; 1], 100);
    facts.zones = (0..100)
        .map(|at| ZoneFact { name: format!("z{at}"), proxies: 100, capacity_per_s: 10_000.0 })
        .collect();
    // The txns of a zone may be served by the ten zones of its group: ten zone sets in all.
    for zone in 0..100u16 {
        let ten = (0..10).map(|at| ZoneId(zone / 10 * 10 + at)).collect::<Zones>();
        (0..100).for_each(|product| {
            facts.permits.insert((ClassId(product), ZoneId(zone)), ten);
        });
    }
    (text, facts)
}

#[test]
fn ten_thousand_tenants_are_compiled_or_refused_in_seconds() {
    let (text, mut facts) = many(85.0);
    let begun = Instant::now();
    let section = section(&text);
    let plan = compile(&section, &facts).expect("it fits");
    assert_eq!((plan.tenants(), plan.claims().count()), (10_100, 10_000));
    facts.zones[42].capacity_per_s = 0.0;
    let Err(why) = compile(&section, &facts) else { panic!("two of ten zones are lost") };
    let Unfit::Contradict { rules, .. } = &why else { panic!("{why}") };
    // Of the 1,000 guarantees of 85 in that group, 941 fit into the eight remaining zones.
    assert_eq!(rules.len(), 942 + 1);
    // The limit allows for a debug build on a busy machine.
    assert!(begun.elapsed().as_secs() < 60, "{:?}", begun.elapsed());
}

/// Whether the guarantees fit, by a linear program.
fn fits(capacities: &[f64], reach: &[u8], guarantees: &[f64]) -> bool {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut loads = vec![vec![]; capacities.len()];
    for (reach, guarantee) in reach.iter().zip(guarantees) {
        let mut parts = vec![];
        for zone in (0..capacities.len()).filter(|zone| reach >> zone & 1 == 1) {
            let flow = problem.add_var(1.0, (0.0, f64::INFINITY));
            parts.push((flow, 1.0));
            loads[zone].push((flow, 1.0));
        }
        problem.add_constraint(parts, ComparisonOp::Le, *guarantee);
    }
    for (capacity, load) in capacities.iter().zip(loads) {
        problem.add_constraint(load, ComparisonOp::Le, *capacity);
    }
    let Ok(SolveOutcome::Solution(solution)) = problem.solve() else { panic!("the program has no solution") };
    solution.objective() >= guarantees.iter().sum::<f64>() - 1e-6
}

proptest! {
    /// Each tenant has one claim: one product in zone a, with its own zone set.
    #[test]
    fn a_refused_set_of_guarantees_does_not_fit_and_has_no_needless_rule(
        capacities in prop::collection::vec(0u32..60, 2..5),
        tenants in prop::collection::vec((1u8..16, 1u32..50), 1..8),
        survive in 0usize..2,
    ) {
        let capacities: Vec<f64> = capacities.into_iter().map(f64::from).collect();
        let all = (1u8 << capacities.len()) - 1;
        let reach: Vec<u8> = tenants.iter().map(|(reach, _)| if reach & all == 0 { all } else { reach & all }).collect();
        let guarantees: Vec<f64> = tenants.iter().map(|(_, guarantee)| f64::from(*guarantee)).collect();
        let mut facts = facts(&capacities, tenants.len());
        let mut text = HEAD.to_string();
        if survive > 0 {
            text = text.replace("[shares]\n", "[shares]\nsurvive = { zones = 1 }\n");
        }
        for (at, reach) in reach.iter().enumerate() {
            let zones = (0..capacities.len() as u16).filter(|zone| reach >> zone & 1 == 1).map(ZoneId).collect();
            facts.permits.insert((ClassId(at as u16), ZoneId(0)), zones);
            let rest = format!("products = [\"p{at}\"]\nzones = [\"a\"]\nguarantee_per_s = {}", guarantees[at]);
            text += &tenant(&format!("t{at}"), &rest);
        }
        let mut losses = vec![capacities.clone()];
        for lost in (0..capacities.len()).filter(|_| survive > 0) {
            let mut capacities = capacities.clone();
            capacities[lost] = 0.0;
            losses.push(capacities);
        }
        let possible = |guarantees: &[f64]| losses.iter().all(|capacities| fits(capacities, &reach, guarantees));
        match compile(&section(&text), &facts) {
            Ok(_) => prop_assert!(possible(&guarantees)),
            Err(Unfit::Contradict { rules, .. }) => {
                let conflicting: Vec<usize> =
                    (0..guarantees.len()).filter(|at| rules.iter().any(|rule| rule.text.starts_with(&format!("t{at} ")))).collect();
                let only = |keep: &dyn Fn(usize) -> bool| -> Vec<f64> {
                    guarantees.iter().enumerate().map(|(at, per_s)| if keep(at) { *per_s } else { 0.0 }).collect()
                };
                prop_assert!(!possible(&only(&|at| conflicting.contains(&at))), "the reported set of guarantees fits");
                // If any one of the set is left out, the rest fits under the same loss of zones.
                let lost_any = rules.len() > conflicting.len();
                let refused = losses.iter().filter(|capacities| !fits(capacities, &reach, &only(&|at| conflicting.contains(&at))));
                let needs_each = |capacities: &Vec<f64>| conflicting.iter().all(|gone| fits(capacities, &reach, &only(&|at| conflicting.contains(&at) && at != *gone)));
                prop_assert!(refused.clone().any(needs_each));
                prop_assert_eq!(lost_any, fits(&capacities, &reach, &guarantees));
            }
            Err(why) => prop_assert!(false, "{}", why),
        }
    }
}
