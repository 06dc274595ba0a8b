//! Cost of merging one change into the membership, compared with rebuilding the whole list for it.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use amberarch_roster::{Health, Member, Roster, Row, Source, Told};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

const NOW: f64 = 1e12;

fn row(number: u32, weight: f64) -> Row {
    let (zone, kind, health) = ("teika".into(), "m2".into(), Health::On);
    Row { dial: format!("10.0.0.1:{number}"), zone, kind, pod: 1, weight, born: NOW, health }
}

fn member(number: u32, seq: u64) -> Member {
    let told = Told { epoch: 0, seq, at: NOW, source: Source::Discovery, row: row(number, seq as f64) };
    Member::new(format!("host-{number:06}"), told)
}

fn merges(c: &mut Criterion) {
    let mut group = c.benchmark_group("merge");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(2)).sample_size(10);
    for hosts in [1_000u32, 10_000, 100_000] {
        let all: Vec<Member> = (0..hosts).map(|number| member(number, 1)).collect();
        group.bench_function(BenchmarkId::new("one-change", hosts), |b| {
            let mut roster = Roster::new(NOW);
            roster.restore(all.clone());
            roster.to_keep();
            let mut seq = 1;
            b.iter(|| {
                seq += 1;
                roster.restore([member(seq as u32 * 31 % hosts, seq)]);
                black_box(roster.to_keep())
            });
        });
        group.bench_function(BenchmarkId::new("whole-list-anew", hosts), |b| {
            b.iter(|| {
                let built: BTreeMap<String, Member> =
                    all.iter().map(|member| (member.host.clone(), member.clone())).collect();
                black_box(built.len())
            });
        });
        group.bench_function(BenchmarkId::new("emit-nothing-new", hosts), |b| {
            let mut roster = Roster::new(NOW);
            roster.restore(all.clone());
            roster.emit(NOW);
            b.iter(|| black_box(roster.emit(NOW)));
        });
    }
    group.finish();
}

criterion_group!(benches, merges);
criterion_main!(benches);
