//! An allocation round at 10, 1,000 and 10,000 tenants, compared with the reference implementation; and the whole work of
//! the leader for one report of each of 5 and 500 controllers.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::hint::black_box;
use std::sync::Arc;

use amberarch_core::{ClassId, ZoneId, Zones};
use amberarch_shares::*;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    shares: Section,
}

/// Parents with ten tenants each (a hundred for the largest case). Each parent is in its own zone, whose txns a neighbour
/// zone may serve too. Two thirds of the demand fits.
fn plan(tenants: usize) -> (Arc<Plan>, Vec<f64>, Vec<f64>) {
    let each = if tenants >= 10_000 { 100 } else { 10 };
    let parents = tenants / each;
    let mut text = "[shares]\nfloor = { part = 0.1, stewards = 500 }\n".to_string();
    for parent in 0..parents {
        let _ = write!(text, "[[shares.tenant]]\nname = \"g{parent}\"\nweight = {}\n", 1 + parent % 3);
        for child in 0..each {
            let _ = write!(text, "[[shares.tenant]]\nname = \"t{parent}x{child}\"\nparent = \"g{parent}\"\n");
            let _ =
                write!(text, "products = [\"p{child}\"]\nzones = [\"z{parent}\"]\nguarantee_per_s = 20\n");
            let _ = writeln!(text, "weight = {}", 1 + child % 5);
        }
    }
    let name = |kind: &str, at: usize| format!("{kind}{at}");
    let zone = |at| ZoneFact { name: name("z", at), proxies: 9, capacity_per_s: 70.0 * each as f64 };
    let mut facts = Facts {
        zones: (0..parents).map(zone).collect(),
        products: (0..each).map(|at| name("p", at)).collect(),
        ..Facts::default()
    };
    for zone in 0..parents as u16 {
        let near = [zone, zone ^ 1].into_iter().filter(|at| usize::from(*at) < parents).map(ZoneId);
        let near: Zones = near.collect();
        (0..each as u16).for_each(|product| {
            facts.permits.insert((ClassId(product), ZoneId(zone)), near);
        });
    }
    let file: File = toml::from_str(&text).expect("a section");
    let plan = Arc::new(compile(&file.shares, &facts).expect("a plan"));
    let demands = (0..tenants).map(|at| 40.0 + (at * 7_919 % 121) as f64).collect();
    let capacities = facts.zones.iter().map(|zone| zone.capacity_per_s).collect();
    (plan, demands, capacities)
}

fn rounds(c: &mut Criterion) {
    for tenants in [10, 1_000, 10_000] {
        let (plan, demands, capacities) = plan(tenants);
        let mut round = Round::new(plan.clone());
        let mut turn = 0;
        c.bench_function(&format!("round, {tenants} tenants"), |b| {
            b.iter(|| {
                turn += 1;
                let demands: Vec<f64> = demands
                    .iter()
                    .enumerate()
                    .map(|(at, demand)| demand * (0.8 + ((at + turn) % 5) as f64 / 10.0))
                    .collect();
                black_box(round.deal(f64::from(turn as u32) * 100.0, &demands, &capacities, None))
            });
        });
        if tenants < 10_000 {
            c.bench_function(&format!("plain, {tenants} tenants"), |b| {
                b.iter(|| black_box(plainly(&plan, &demands, &capacities)));
            });
        }
        for controllers in [5, 500u16] {
            let seens: Vec<Seen> =
                (0..controllers).map(|at| seen(&plan, &demands, &capacities, at, controllers)).collect();
            let turn = |chair: &mut Chair, turn: u64| {
                let now = 200.0 * turn as f64;
                for (at, seen) in seens.iter().enumerate() {
                    let said = Said::Seen(Seen { round: (1 << 32) + turn, ..seen.clone() });
                    chair.handle(now, Input::Heard { from: Holder(at as u16), said });
                }
                chair.handle(now + 60.0, Input::Stood { since: now + 50.0 })
            };
            let holders: BTreeSet<Holder> = (0..controllers).map(Holder).collect();
            let lengths = Lengths::new(5_000.0, 0.01, 100.0).expect("lengths");
            // All controllers have reported before, as in continuous operation.
            let chair = || {
                let mut chair = Chair::new(0.0, 1, 1, plan.clone(), holders.clone(), lengths);
                turn(&mut chair, 1);
                chair
            };
            c.bench_function(&format!("turn, {tenants} tenants, {controllers} stewards"), |b| {
                b.iter_batched(chair, |mut chair| black_box(turn(&mut chair, 2)), BatchSize::LargeInput);
            });
        }
    }
}

/// A report. Txns of each tenant arrive at five of the controllers.
fn seen(plan: &Plan, demands: &[f64], capacities: &[f64], at: u16, controllers: u16) -> Seen {
    let arrives =
        |claim: u32| (0..5).any(|part| (claim * 13 + part * 101) % u32::from(controllers) == u32::from(at));
    let demand = plan.claims().filter(|(claim, ..)| arrives(claim.0)).map(|(claim, tenant, zone)| Grant {
        tenant,
        zone,
        per_s: demands[claim.0 as usize] / 5.0,
    });
    let capacity = capacities.iter().enumerate().map(|(zone, room)| (Zone(zone as u16), *room)).collect();
    Seen { round: 0, term: 1, plan: 1, lived: 1e6, demand: demand.collect(), capacity, held: vec![] }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(3));
    targets = rounds
}
criterion_main!(benches);
