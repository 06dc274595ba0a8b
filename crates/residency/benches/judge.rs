//! Benchmark: checking a reply by what it changes, compared with the reference check of the whole state
//! after each order.

use std::hint::black_box;
use std::time::Duration;

use amberarch_core::{MarkId, ProxyId};
use amberarch_emulator::{some_reply, standing, standing_plain};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

fn replies(c: &mut Criterion) {
    let mut group = c.benchmark_group("reply");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    for (proxies, hosts) in [(100, 30), (1_000, 300), (10_000, 3_000)] {
        let size = format!("{proxies}-proxies-{hosts}-hosts");
        let (mut judge, mut reference) = (standing(proxies, hosts), standing_plain(proxies, hosts));
        let mut number = 0;
        group.bench_function(BenchmarkId::new("by-what-changed", &size), |b| {
            b.iter(|| {
                number += 1;
                let now = 50.0 * f64::from(number);
                let accepted = judge.judge(now, &some_reply(proxies, hosts, number));
                // Twenty replies a second, each acknowledged by the proxy that it concerns.
                let proxy = (number % u32::from(proxies)) as u16;
                judge.applied(now, ProxyId(proxy), MarkId(number as u16));
                black_box(accepted)
            });
        });
        let mut number = 0;
        group.bench_function(BenchmarkId::new("all-anew", &size), |b| {
            b.iter(|| {
                number += 1;
                black_box(reference.judge(&some_reply(proxies, hosts, number)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, replies);
criterion_main!(benches);
