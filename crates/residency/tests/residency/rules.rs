//! Tests of the rule language: what compiles, and what is refused with its place in the file.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{ClassId, ZoneId, Zones};
use amberarch_operator::Fault;
use amberarch_residency::{compile, Compiled, Facts, Section, Unfit};
use proptest::prelude::*;

/// 2026-06-01T00:00:00Z.
const NOW: f64 = 1_780_272_000_000.0;

fn facts() -> Facts {
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Facts {
        zones: names(&["teika", "purvs", "imanta", "berga"]),
        products: names(&["pages", "submits", "exports"]),
        govern: BTreeSet::from([ClassId(0), ClassId(1)]),
    }
}

#[derive(serde::Deserialize)]
struct File {
    residency: Section,
}

fn compiled(text: &str) -> Result<Compiled, Unfit> {
    let file: File = toml::from_str(text).expect("the file can be read");
    compile(&file.residency, &facts(), NOW)
}

fn zones(zones: &[u16]) -> Zones {
    zones.iter().copied().map(ZoneId).collect()
}

fn tiers(compiled: &Compiled, product: u16, home: u16) -> Vec<Zones> {
    compiled.reach.permits[&(ClassId(product), ZoneId(home))].tiers.clone()
}

const HEAD: &str = r#"
[residency.labels]
left-bank = ["imanta"]
right-bank = ["teika", "purvs"]
[residency.customers.council]
products = ["submits"]
from = ["right-bank"]
"#;

#[test]
fn rules_by_customer_label_and_fallback_come_to_few_classes() {
    let text = format!(
        "{HEAD}
[[residency.rule]]
name = \"council\"
customer = \"council\"
permit = [\"right-bank\"]
forbid = [\"purvs\"]
fallback = [[\"left-bank\"], [\"berga\", \"purvs\"]]
[[residency.rule]]
name = \"pages stay off berga\"
products = [\"pages\"]
forbid = [\"berga\"]
"
    );
    let found = compiled(&text).expect("it fits");
    assert_eq!(tiers(&found, 1, 0), [zones(&[0]), zones(&[2]), zones(&[3])]);
    assert!(!found.reach.permits.contains_key(&(ClassId(1), ZoneId(2))), "the council's come from two zones");
    assert_eq!(tiers(&found, 0, 3), [zones(&[0, 1, 2])]);
    assert_eq!(found.reach.classes().len(), 2);
    assert_eq!(found.until, None);
}

#[test]
fn never_has_no_fallback_whatever_another_rule_says() {
    let text = r#"
[[residency.rule]]
name = "near"
products = ["pages"]
permit = ["teika", "purvs"]
fallback = [["imanta"]]
[[residency.rule]]
name = "hard"
products = ["pages"]
from = ["teika"]
never = true
"#;
    let found = compiled(text).expect("it fits");
    assert_eq!(tiers(&found, 0, 0), [zones(&[0, 1])]);
    assert_eq!(tiers(&found, 0, 1), [zones(&[0, 1]), zones(&[2])]);
}

#[test]
fn an_exception_ends_before_its_end_by_what_clocks_may_be_off() {
    let text = r#"
residency.clock_skew = "30s"
[[residency.rule]]
name = "at home"
products = ["pages"]
permit = ["teika"]
[[residency.rule]]
name = "while teika is rebuilt"
products = ["pages"]
permit = ["purvs"]
until = 2026-06-02T00:00:00Z
"#;
    let file: File = toml::from_str(text).expect("the file can be read");
    let end = NOW + 86_400_000.0 - 30_000.0;
    let before = compile(&file.residency, &facts(), end - 1.0).expect("it fits");
    assert_eq!((tiers(&before, 0, 2), before.until), (vec![zones(&[1])], Some(end)));
    let after = compile(&file.residency, &facts(), end);
    assert!(matches!(after, Err(Unfit::Ended { .. })), "{after:?}");
}

#[test]
fn a_revision_that_permits_nothing_says_so_or_is_refused() {
    let rule = |more: &str| {
        format!("[[residency.rule]]\nname = \"none\"\nproducts = [\"pages\"]\npermit = []\n{more}\n")
    };
    assert!(matches!(compiled(&rule("")), Err(Unfit::Nowhere { .. })));
    let found = compiled(&rule("declined = true")).expect("it fits");
    assert_eq!(tiers(&found, 0, 0), []);
    assert_eq!(found.meanwhile.len(), 4);
}

/// Each possible error, and the place reported for it.
#[test]
fn each_fault_has_its_place_and_something_to_do() {
    let cases: [(&str, &str, (usize, usize)); 17] = [
        ("UnknownZone", "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"riga\"]", (4, 11)),
        ("UnknownZone", "[residency.labels]\nnear = [\"teika\", \"riga\"]", (2, 18)),
        ("UnknownProduct", "[[residency.rule]]\nname = \"a\"\nproducts = [\"pagez\"]", (3, 13)),
        ("UnknownCustomer", "[[residency.rule]]\nname = \"a\"\ncustomer = \"who\"", (3, 12)),
        ("NotGoverned", "[[residency.rule]]\nname = \"a\"\nproducts = [\"exports\"]", (3, 13)),
        ("SameName", "[residency.labels]\nteika = [\"purvs\"]", (2, 1)),
        (
            "SameName",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\n[[residency.rule]]\n\
             name = \"a\"\nproducts = [\"submits\"]\npermit = [\"teika\"]",
            (6, 8),
        ),
        ("Subject", "[[residency.rule]]\nname = \"a\"\npermit = [\"teika\"]", (1, 1)),
        (
            "NeverFallback",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\nnever = true\nfallback = [[\"teika\"]]",
            (2, 8),
        ),
        (
            "Contradiction",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\n[[residency.rule]]\n\
             name = \"b\"\nproducts = [\"pages\"]\npermit = [\"purvs\"]",
            (6, 8),
        ),
        (
            "Contradiction",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\n[[residency.rule]]\n\
             name = \"b\"\nproducts = [\"pages\"]\nforbid = [\"teika\"]",
            (6, 8),
        ),
        (
            "Nowhere",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\nforbid = [\"teika\"]",
            (2, 8),
        ),
        (
            "Shadowed",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\n[[residency.rule]]\n\
             name = \"b\"\nproducts = [\"pages\"]\npermit = [\"teika\", \"purvs\"]",
            (6, 8),
        ),
        (
            "Shadowed",
            "[residency.customers.c]\nproducts = [\"pages\"]\nfrom = [\"teika\"]\n[[residency.rule]]\nname = \"a\"\n\
             customer = \"c\"\nfrom = [\"purvs\"]\npermit = [\"teika\"]",
            (5, 8),
        ),
        (
            "Ended",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\nuntil = 2026-01-01T00:00:00Z",
            (4, 9),
        ),
        (
            "NoTime",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\nuntil = 2026-12-01T00:00:00+02:00",
            (4, 9),
        ),
        (
            "NoTime",
            "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\nuntil = 2026-12-01",
            (4, 9),
        ),
    ];
    let mut seen = BTreeSet::new();
    for (name, text, at) in cases {
        let unfit = compiled(text).expect_err(text);
        let fault = Fault::at(text, unfit.span().start, unfit.to_string());
        assert!(format!("{unfit:?}").starts_with(name), "{unfit:?} for {text}");
        assert_eq!((fault.line, fault.column), at, "{fault} for {text}");
        assert!(!unfit.advice().is_empty());
        seen.insert(name);
    }
    let many = Facts { zones: (0..129).map(|zone| format!("z{zone}")).collect(), ..facts() };
    let unfit = compile(&Section::default(), &many, NOW).expect_err("129 zones");
    assert!(matches!(unfit, Unfit::TooManyZones { count: 129 }) && !unfit.advice().is_empty());
    seen.insert("TooManyZones");
    // A new variant does not compile here until it has a case above.
    let name = |unfit: &Unfit| match unfit {
        Unfit::TooManyZones { .. } => "TooManyZones",
        Unfit::UnknownZone { .. } => "UnknownZone",
        Unfit::UnknownProduct { .. } => "UnknownProduct",
        Unfit::UnknownCustomer { .. } => "UnknownCustomer",
        Unfit::NotGoverned { .. } => "NotGoverned",
        Unfit::SameName { .. } => "SameName",
        Unfit::Subject { .. } => "Subject",
        Unfit::NeverFallback { .. } => "NeverFallback",
        Unfit::Contradiction { .. } => "Contradiction",
        Unfit::Nowhere { .. } => "Nowhere",
        Unfit::Shadowed { .. } => "Shadowed",
        Unfit::Ended { .. } => "Ended",
        Unfit::NoTime { .. } => "NoTime",
    };
    assert_eq!((seen.len(), name(&unfit)), (13, "TooManyZones"), "a variant that no case causes");
    // Two rules that contradict each other are both named.
    let text = "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermit = [\"teika\"]\n[[residency.rule]]\n\
                name = \"b\"\nproducts = [\"pages\"]\nforbid = [\"teika\"]";
    let told = compiled(text).expect_err("they contradict").to_string();
    assert!(told.contains("`a`") && told.contains("`b`"), "{told}");
}

#[test]
fn a_word_that_is_no_setting_is_refused() {
    let text = "[[residency.rule]]\nname = \"a\"\nproducts = [\"pages\"]\npermits = [\"teika\"]";
    assert!(toml::from_str::<File>(text).is_err());
}

#[derive(Clone, Debug)]
struct Drawn {
    products: BTreeSet<u16>,
    from: BTreeSet<u16>,
    permit: Option<BTreeSet<u16>>,
    forbid: BTreeSet<u16>,
    fallback: Vec<BTreeSet<u16>>,
    never: bool,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let set = |least| prop::collection::btree_set(0..4u16, least..4);
    let products = prop::collection::btree_set(0..2u16, 1..3);
    let permit = prop::option::of(set(1));
    let fallback = prop::collection::vec(set(1), 0..3);
    (products, set(1), permit, set(0), fallback, prop::bool::weighted(0.2)).prop_map(
        |(products, from, permit, forbid, fallback, never)| Drawn {
            products,
            from,
            permit,
            forbid,
            fallback: if never { vec![] } else { fallback },
            never,
        },
    )
}

proptest! {
    /// The compiled reach keeps to each rule: no zone that a rule forbids or does not permit, and no tier
    /// past the first where a rule says `never`.
    #[test]
    fn what_compiles_keeps_to_each_rule(rules in prop::collection::vec(drawn(), 1..5)) {
        let facts = facts();
        let names = |set: &BTreeSet<u16>, of: &[String]| {
            let names: Vec<String> = set.iter().map(|at| format!("{:?}", of[usize::from(*at)])).collect();
            format!("[{}]", names.join(", "))
        };
        let mut text = String::from("residency.clock_skew = \"1s\"\n");
        for (at, rule) in rules.iter().enumerate() {
            text += &format!("[[residency.rule]]\nname = \"r{at}\"\nnever = {}\n", rule.never);
            text += &format!("products = {}\n", names(&rule.products, &facts.products));
            text += &format!("from = {}\n", names(&rule.from, &facts.zones));
            if let Some(permit) = &rule.permit {
                text += &format!("permit = {}\n", names(permit, &facts.zones));
            }
            text += &format!("forbid = {}\n", names(&rule.forbid, &facts.zones));
            let fallback: Vec<String> = rule.fallback.iter().map(|tier| names(tier, &facts.zones)).collect();
            text += &format!("fallback = [{}]\n", fallback.join(", "));
        }
        if let Ok(found) = compiled(&text) {
            let mut by_pair: BTreeMap<(u16, u16), Vec<&Drawn>> = BTreeMap::new();
            for rule in &rules {
                for (product, zone) in rule.products.iter().flat_map(|p| rule.from.iter().map(move |z| (*p, *z))) {
                    by_pair.entry((product, zone)).or_default().push(rule);
                }
            }
            prop_assert_eq!(found.reach.permits.len(), by_pair.len());
            for ((product, zone), rules) in by_pair {
                let permit = &found.reach.permits[&(ClassId(product), ZoneId(zone))];
                prop_assert!(!permit.tiers.is_empty());
                for rule in rules {
                    let first = rule.permit.clone().unwrap_or_else(|| (0..4).collect());
                    let ever: BTreeSet<u16> = rule.fallback.iter().flatten().chain(&first).copied().collect();
                    for zone in permit.all().iter() {
                        prop_assert!(ever.contains(&zone.0) && !rule.forbid.contains(&zone.0));
                        prop_assert!(!rule.never || first.contains(&zone.0));
                    }
                    prop_assert!(!rule.never || permit.tiers.len() == 1);
                }
            }
        }
    }
}
