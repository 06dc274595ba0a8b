//! Benchmarks: the linear program beside the greedy rule, and one evaluation of the levels with many
//! proxies.

use std::hint::black_box;
use std::time::Duration;

use amberarch_core::*;
use amberarch_service_levels::*;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

/// Three zones, of which one is overloaded and one has spare capacity. One class in four may not leave its
/// zone.
fn demands(products: u16) -> (Demands, Capacities) {
    let (mut demands, mut capacities) = (Demands::new(), Capacities::new());
    for zone in (0..3).map(ZoneId) {
        let mut work = 0.0;
        for product in 0..products {
            // Deterministic spread, so that each run computes the same plan.
            let spread = f64::from((u32::from(product) * 37 + u32::from(zone.0) * 11) % 97) / 97.0;
            let demand = Demand {
                rate: 5.0 + 40.0 * spread,
                work: 100.0 + 500.0 * (1.0 - spread),
                value: 0.2 + 3.0 * f64::from(product % 7) / 7.0,
                least: 0.0,
                most: 1.0,
                own_zone: product % 4 == 0,
            };
            work += demand.rate * demand.work;
            demands.insert((zone, ClassId(product)), demand);
        }
        capacities.insert(zone, work * [0.5, 0.9, 1.3][usize::from(zone.0)]);
    }
    (demands, capacities)
}

fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plans");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    for products in [3, 30, 300] {
        let (demands, capacities) = demands(products);
        let value = |shares: &Shares| total_value(&demands, shares, &capacities);
        let (lp, plain) =
            (value(&optimal_shares(&demands, &capacities)), value(&greedy_shares(&demands, &capacities)));
        println!(
            "plans/{products}: value per second {lp:.1} by the linear program, {plain:.1} by the greedy rule"
        );
        group.bench_function(BenchmarkId::new("program", products), |b| {
            b.iter(|| black_box(optimal_shares(&demands, &capacities)));
        });
        group.bench_function(BenchmarkId::new("greedy", products), |b| {
            b.iter(|| black_box(greedy_shares(&demands, &capacities)));
        });
    }
    group.finish();
}

fn evaluations(c: &mut Criterion) {
    let mut group = c.benchmark_group("looks");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    let class = |idempotency, value| RequestClass {
        latency_target: 400.0,
        deadline: 1_200.0,
        idempotency,
        scope: DedupScope::All,
        dedup_window: 5_000.0,
        value,
        late_value_fraction: 0.2,
        home_zone_only: false,
        writes: false,
    };
    let names = ["detail-page", "results-page", "tally-submit"];
    let kinds =
        [(Idempotency::Idempotent, 0.3), (Idempotency::Idempotent, 1.0), (Idempotency::NonIdempotent, 3.0)];
    let products: Vec<(String, RequestClass)> = names
        .iter()
        .map(|name| name.to_string())
        .zip(kinds.map(|(idempotency, value)| class(idempotency, value)))
        .collect();
    let leave = vec![Condition { signal: Signal::Pressure, value: 0.6, lasting: 6_000.0 }];
    let level = |name: &str, least: &[(u16, f64)], over: Option<f64>| Level {
        name: name.into(),
        keep: least.iter().map(|(id, least)| (ClassId(*id), Keep { least: *least, most: 1.0 })).collect(),
        tries: RetryPolicy::AfterProof,
        enter: over
            .map(|value| Condition { signal: Signal::Pressure, value, lasting: 0.0 })
            .into_iter()
            .collect(),
        leave: if over.is_some() { leave.clone() } else { vec![] },
        stay: 20_000.0,
        emergency: false,
        force: false,
    };
    let levels = vec![level("full", &[], None), level("no-extras", &[(0, 0.0)], Some(0.8))];
    for proxies in [1_000u16, 10_000] {
        let ladder = Ladder::new(levels.clone(), &products).expect("a valid ladder");
        let sums = ReportSettings { interval: 2_000.0, max_lines_per_s: 1e6 };
        let classes = products.iter().map(|(_, class)| class.clone()).collect();
        let mut levels = ServiceLevels::new(ladder, 3, classes, &sums, true);
        let mut now = 0.0;
        for proxy in 0..proxies {
            let zone = ZoneId(proxy % 3);
            levels.hear(
                now,
                &Event::ProxyJoined { proxy: ProxyId(proxy), zone, txns_per_s: 10.0, without_table: true },
            );
        }
        group.bench_function(BenchmarkId::new("proxies", proxies), |b| {
            b.iter(|| {
                now += 400.0;
                // A fifth of the proxies reports in each evaluation, as they do over a report period.
                let part = (now / 400.0) as u16 % 5;
                for proxy in (0..proxies).filter(|proxy| proxy % 5 == part).map(ProxyId) {
                    for class in (0..3).map(ClassId) {
                        levels.hear(
                            now,
                            &Event::ProxyReport { proxy, class, txns: 10, failed: 0, covered: 2_000.0 },
                        );
                    }
                }
                black_box(levels.look(now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plans, evaluations);
criterion_main!(benches);
