//! Measures the checks, one of them against its reference implementation, and the reader.

use std::hint::black_box;
use std::io::{BufReader, Cursor};
use std::time::Duration;

use amberarch_histories::made::{renewals, Made};
use amberarch_histories::{plain, Exclude, Judge, Line, Reader};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};

/// Detecting controllers that exclude each other: one sweep against the comparison of each pair of holds.
fn holds(c: &mut Criterion) {
    let mut group = c.benchmark_group("holds");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1)).sample_size(10);
    for count in [1_000, 4_000, 16_000] {
        let lines = renewals(50, count);
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::new("sweep", count), |b| {
            b.iter(|| {
                let mut check = Exclude::default();
                lines.iter().for_each(|line| check.feed(line));
                black_box(check.finish().count())
            });
        });
        group.bench_function(BenchmarkId::new("each pair", count), |b| {
            b.iter(|| black_box(plain::excluding(&lines)));
        });
    }
    group.finish();
}

/// All checks over lines in memory, and reading the same lines.
fn whole(c: &mut Criterion) {
    const EVENTS: usize = 50_000;
    let mut group = c.benchmark_group("whole");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    group.throughput(Throughput::Elements(EVENTS as u64));
    let lines: Vec<Line> = Made::new(1, EVENTS).collect();
    group.bench_function("judge", |b| {
        b.iter(|| {
            let mut judge = Judge::new(&Made::bounds());
            lines.iter().for_each(|line| judge.feed(line));
            black_box(judge.finish(0).violations())
        });
    });
    let text: Vec<String> = lines.iter().filter_map(|line| serde_json::to_string(line).ok()).collect();
    let text = text.join("\n").into_bytes();
    group.bench_function("read", |b| {
        b.iter(|| {
            let from = Box::new(BufReader::new(Cursor::new(text.clone())));
            black_box(Reader::of(vec![("lines".into(), from)]).map(Iterator::count).ok())
        });
    });
    group.finish();
}

criterion_group!(benches, holds, whole);
criterion_main!(benches);
