//! Tests of compilation, allocation and grants. Each test is named after the failure that it covers.

mod compiling;
mod fairness;
mod grants;
mod hard;
mod joint;
mod rounds;
mod stewards;

use std::sync::Arc;

use amberarch_core::{ClassId, ZoneId, Zones};
use amberarch_shares::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    shares: Section,
}

const HEAD: &str = "[shares]\nfloor = { part = 0.1, stewards = 4 }\n";

fn section(text: &str) -> Section {
    match toml::from_str::<File>(text) {
        Ok(file) => file.shares,
        Err(why) => panic!("{why}\n{text}"),
    }
}

/// Zones a, b, c ... with these capacities, and products p0, p1 ...
fn facts(capacities: &[f64], products: usize) -> Facts {
    let zone = |(at, capacity): (usize, &f64)| ZoneFact {
        name: char::from(b'a' + at as u8).to_string(),
        proxies: 100,
        capacity_per_s: *capacity,
    };
    Facts {
        zones: capacities.iter().enumerate().map(zone).collect(),
        products: (0..products).map(|at| format!("p{at}")).collect(),
        permits: Default::default(),
        levels: vec!["full".into(), "lean".into()],
    }
}

/// Restricts residency: txns are served only in the zone where they arrive.
fn served_locally(mut facts: Facts) -> Facts {
    for zone in 0..facts.zones.len() as u16 {
        for product in 0..facts.products.len() as u16 {
            facts.permits.insert((ClassId(product), ZoneId(zone)), Zones::one(ZoneId(zone)));
        }
    }
    facts
}

fn plan(text: &str, facts: &Facts) -> Arc<Plan> {
    match compile(&section(text), facts) {
        Ok(plan) => Arc::new(plan),
        Err(why) => panic!("{why}; {}", why.advice()),
    }
}

fn tenant(name: &str, rest: &str) -> String {
    format!("[[shares.tenant]]\nname = \"{name}\"\n{rest}\n")
}
