//! Benchmarks: the data structures of the intake beside the standard ones that they replace.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::hint::black_box;
use std::time::Duration;

use amberarch_intake::{Histogram, TimerWheel};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use rand::{rngs::StdRng, RngExt, SeedableRng};
use sketches_ddsketch::{Config, DDSketch};

const HOSTS: [u32; 3] = [1_000, 10_000, 100_000];
/// Reports of a tenth of a second at the full rate.
const REPORTS: usize = 5_000;
/// Milliseconds by which each report postpones its host's deadline.
const FRESH: f64 = 1_650.0;

fn hosts(count: u32) -> Vec<u32> {
    let mut random = StdRng::seed_from_u64(7);
    (0..REPORTS).map(|_| random.random_range(0..count)).collect()
}

/// Each report postpones a deadline; then the deadlines that passed within a tenth of a second fire.
fn deadlines(c: &mut Criterion) {
    let mut group = c.benchmark_group("deadlines");
    group.warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2)).sample_size(20);
    group.throughput(Throughput::Elements(REPORTS as u64));
    for count in HOSTS {
        let reports = hosts(count);
        let first = |host: u32| 1e3 + FRESH * f64::from(host) / f64::from(count);
        group.bench_function(BenchmarkId::new("wheel", count), |b| {
            let (mut wheel, mut now) = (TimerWheel::new(0.0), 1e3);
            (0..count).for_each(|host| wheel.set(host, first(host)));
            b.iter(|| {
                now += 100.0;
                reports.iter().for_each(|host| wheel.set(*host, now + FRESH));
                wheel.advance(now, |host| {
                    black_box(host);
                });
            });
        });
        group.bench_function(BenchmarkId::new("btreemap", count), |b| {
            let (mut due, mut order, mut now) = (vec![0u64; count as usize], BTreeSet::new(), 1e3);
            for host in 0..count {
                due[host as usize] = first(host) as u64;
                order.insert((due[host as usize], host));
            }
            b.iter(|| {
                now += 100.0;
                for host in &reports {
                    order.remove(&(due[*host as usize], *host));
                    due[*host as usize] = (now + FRESH) as u64;
                    order.insert((due[*host as usize], *host));
                }
                while order.first().is_some_and(|(at, _)| *at <= now as u64) {
                    black_box(order.pop_first());
                }
            });
        });
        // A heap cannot postpone: it holds every deadline ever set until it passes, and skips the outdated
        // ones.
        group.bench_function(BenchmarkId::new("heap", count), |b| {
            let (mut due, mut heap, mut now) = (vec![0u64; count as usize], BinaryHeap::new(), 1e3);
            for host in 0..count {
                due[host as usize] = first(host) as u64;
                heap.push(Reverse((due[host as usize], host)));
            }
            b.iter(|| {
                now += 100.0;
                for host in &reports {
                    due[*host as usize] = (now + FRESH) as u64;
                    heap.push(Reverse((due[*host as usize], *host)));
                }
                while heap.peek().is_some_and(|Reverse((at, _))| *at <= now as u64) {
                    if let Some(Reverse((at, host))) = heap.pop() {
                        black_box(due[host as usize] == at);
                    }
                }
            });
        });
    }
    group.finish();
}

/// Each report replaces its host's value; then the median over all hosts is computed.
fn medians(c: &mut Criterion) {
    let mut group = c.benchmark_group("medians");
    group.warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2)).sample_size(20);
    group.throughput(Throughput::Elements(REPORTS as u64));
    for count in HOSTS {
        let reports = hosts(count);
        let mut random = StdRng::seed_from_u64(9);
        let mut load = move || random.random_range(0.2..1.2);
        let loads: Vec<f64> = (0..count).map(|_| load()).collect();
        group.bench_function(BenchmarkId::new("spread", count), |b| {
            let (mut values, mut histogram) = (loads.clone(), Histogram::default());
            values.iter().for_each(|load| histogram.add(*load));
            b.iter(|| {
                for host in &reports {
                    let value = &mut values[*host as usize];
                    histogram.remove(*value);
                    *value = (*value * 1.01) % 1.2 + 0.01;
                    histogram.add(*value);
                }
                black_box(histogram.quantile(0.5))
            });
        });
        group.bench_function(BenchmarkId::new("sorted-vector", count), |b| {
            let mut values = loads.clone();
            let mut sorted = values.clone();
            b.iter(|| {
                for host in &reports {
                    let value = &mut values[*host as usize];
                    *value = (*value * 1.01) % 1.2 + 0.01;
                }
                // The simple way sorts all values for each query.
                sorted.clone_from(&values);
                sorted.sort_unstable_by(f64::total_cmp);
                black_box(sorted[sorted.len() / 2])
            });
        });
        // The published sketch supports only additions, so it is rebuilt from all hosts each time.
        group.bench_function(BenchmarkId::new("ddsketch", count), |b| {
            let mut values = loads.clone();
            b.iter(|| {
                for host in &reports {
                    let value = &mut values[*host as usize];
                    *value = (*value * 1.01) % 1.2 + 0.01;
                }
                let mut sketch = DDSketch::new(Config::defaults());
                values.iter().for_each(|load| sketch.add(*load));
                black_box(sketch.quantile(0.5))
            });
        });
    }
    group.finish();
}

/// Looks up hosts by number in the map type that the intake uses.
fn lookups(c: &mut Criterion) {
    let mut group = c.benchmark_group("places");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1)).sample_size(20);
    for count in HOSTS {
        let (tree, reports): (BTreeMap<u32, u32>, _) =
            ((0..count).map(|host| (host, host)).collect(), hosts(count));
        group.bench_function(BenchmarkId::new("btreemap", count), |b| {
            b.iter(|| {
                reports.iter().filter_map(|host| tree.get(host)).map(|index| u64::from(*index)).sum::<u64>()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, deadlines, medians, lookups);
criterion_main!(benches);
