//! The cost of checking one batch by what it affects, compared with evaluating the whole fleet.

use std::hint::black_box;
use std::time::Duration;

use amberarch_guard::{gate, standing, step, Anew};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

fn batches(c: &mut Criterion) {
    let mut group = c.benchmark_group("batch");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    for (proxies, hosts) in [(100, 30), (1_000, 300), (10_000, 3_000)] {
        let size = format!("{proxies}-proxies-{hosts}-hosts");
        for (name, gates) in [("gate", true), ("weights-and-binds", false)] {
            let batch = |number| if gates { gate(hosts, number) } else { step(proxies, hosts, number) };
            let mut guard = standing(proxies, hosts);
            let mut number = 0;
            group.bench_function(BenchmarkId::new(format!("{name}/by-what-it-touches"), &size), |b| {
                b.iter(|| {
                    number += 1;
                    let (now, orders) = (1_000.0 + 50.0 * f64::from(number), batch(number));
                    let verdict = guard.judge(now, &orders);
                    let place = guard.commit(now, &orders);
                    guard.answered(now, place);
                    black_box(verdict)
                });
            });
            let mut anew = Anew::standing(proxies, hosts);
            let mut number = 0;
            group.bench_function(BenchmarkId::new(format!("{name}/all-anew"), &size), |b| {
                b.iter(|| {
                    number += 1;
                    black_box(anew.judge(&batch(number)))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, batches);
criterion_main!(benches);
