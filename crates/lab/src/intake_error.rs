//! The same days with full, sampled and no reports: how far the tables differ, and the service they give.

use amberarch_core::ZoneId;
use amberarch_emulator::{apart, Day, Fault as Gone, Reports, Shape, Trouble, World};
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

/// Reports per second from each host; sampling keeps a tenth of them.
const FULL: f64 = 10.0;
const SAMPLED: f64 = 1.0;
/// The target that the issue sets: a fraction of the traffic, over time and hosts.
const AIM: f64 = 0.02;

#[derive(Serialize)]
struct Row {
    day: &'static str,
    reports_full: u64,
    reports_sampled: u64,
    /// The fraction of the traffic that tables assign otherwise than with full intake, where both see the same day.
    decided_sampled: f64,
    decided_none: f64,
    /// The same where each steers its own day, and the mean of two days of full intake that differ only in the random
    /// draws.
    played_sampled: f64,
    played_none: f64,
    played_by_chance: f64,
    service_full: f64,
    service_sampled: f64,
    service_none: f64,
}

fn days() -> Vec<(&'static str, Vec<Gone>)> {
    let gone = |from: f64, until: f64, what| Gone { from: 1e3 * from, until: 1e3 * until, what };
    let zone = |zone: u32, part: f64| Trouble::Slow {
        hosts: (0..24).filter(|host| host % 3 == zone).collect(),
        part,
    };
    let few = Trouble::Slow { hosts: vec![1, 5, 9], part: 0.5 };
    vec![
        ("steady", vec![]),
        (
            "bursty",
            (0..4)
                .map(|at| {
                    let from = 15.0 + 18.0 * f64::from(at);
                    gone(from, from + 6.0, Trouble::Burst { times: 1.6 })
                })
                .collect(),
        ),
        ("one-zone-slow", vec![gone(20.0, 70.0, zone(1, 0.6))]),
        ("few-hosts-slow", vec![gone(20.0, 70.0, few.clone())]),
        ("partition", vec![gone(20.0, 70.0, few), gone(30.0, 60.0, Trouble::Cut { zone: ZoneId(1) })]),
    ]
}

/// The same day four times: full intake with the others beside it, sampled, none, and full with other random draws.
fn play(faults: &[Gone], seed: u64) -> [Day; 4] {
    let (full, sampled) = (Reports::On { each: FULL }, Reports::On { each: SAMPLED });
    let world = |reports| World::new(Shape::usual(), faults.to_vec(), reports, seed);
    let ways: [&(dyn Fn() -> Day + Sync); 4] = [
        &|| world(full).beside(sampled).beside(Reports::Off).play(),
        &|| world(sampled).play(),
        &|| world(Reports::Off).play(),
        &|| world(full).repicked(!seed).play(),
    ];
    std::thread::scope(|scope| {
        let each = ways.map(|day| scope.spawn(day));
        each.map(|day| day.join().expect("a day that does not panic"))
    })
}

fn mean(of: impl IntoIterator<Item = f64>) -> f64 {
    let (sum, count) = of.into_iter().fold((0.0, 0.0), |(sum, count), one| (sum + one, count + 1.0));
    sum / f64::max(count, 1.0)
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let draws = if how.quick { 3 } else { 20 };
    let (mut rows, mut series) = (Vec::new(), Vec::new());
    for (day, faults) in days() {
        let played: Vec<[Day; 4]> = (0..draws).map(|draw| play(&faults, how.seed * 1_000 + draw)).collect();
        let over = |of: &dyn Fn(&[Day; 4]) -> f64| mean(played.iter().map(of));
        let row = Row {
            day,
            reports_full: played.iter().map(|days| days[0].taken).sum(),
            reports_sampled: played.iter().map(|days| days[1].taken).sum(),
            decided_sampled: over(&|days| mean(apart(&days[0].shares, &days[0].beside[0]))),
            decided_none: over(&|days| mean(apart(&days[0].shares, &days[0].beside[1]))),
            played_sampled: over(&|days| mean(apart(&days[0].shares, &days[1].shares))),
            played_none: over(&|days| mean(apart(&days[0].shares, &days[2].shares))),
            played_by_chance: over(&|days| mean(apart(&days[0].shares, &days[3].shares))),
            service_full: over(&|days| days[0].service()),
            service_sampled: over(&|days| days[1].service()),
            service_none: over(&|days| days[2].service()),
        };
        println!(
            "{day:<15} tables apart, same day: sampled {:.4} none {:.4}; days of their own: sampled {:.4} none {:.4} chance {:.4}",
            row.decided_sampled, row.decided_none, row.played_sampled, row.played_none, row.played_by_chance
        );
        println!(
            "{:<15} service full {:.4} sampled {:.4} none {:.4}; reports taken {} and {}",
            "",
            row.service_full,
            row.service_sampled,
            row.service_none,
            row.reports_full,
            row.reports_sampled
        );
        for (beside, name) in ["sampled", "none"].into_iter().enumerate() {
            let points = apart(&played[0][0].shares, &played[0][0].beside[beside]);
            let points = (2..).map(f64::from).zip(points).collect();
            series.push(Series { name: format!("{day}, {name}"), points });
        }
        rows.push(row);
    }
    if let Some(dir) = &how.out {
        let title = "Traffic dealt otherwise than with full intake, same day";
        keep(dir, "intake-error", title, "s", "part of the traffic", &series)?;
    }
    let worst = rows.iter().map(|row| row.decided_sampled).fold(0.0, f64::max);
    let reports = |of: fn(&Row) -> u64| rows.iter().map(of).sum::<u64>() as f64;
    let part = reports(|row| row.reports_sampled) / reports(|row| row.reports_full);
    let lost = rows.iter().map(|row| row.service_none - row.service_sampled).fold(f64::MIN, f64::max);
    let bounds = [
        Bound::under(
            "traffic dealt otherwise, mean over the days",
            mean(rows.iter().map(|row| row.decided_sampled)),
            AIM,
        ),
        Bound::under("traffic dealt otherwise, worst day", worst, AIM),
        Bound::under("reports sampled of full", part, 0.12),
        Bound::under("service lost beside no reports, worst day", lost, 0.01),
    ];
    close(how, rows, &bounds)
}
