//! Simulated days of five controllers that each have a partial view, compared with one controller that has the full
//! view: each single fault of a fleet, and two at once. The rules are checked from outside, for the fleet as a whole.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use amberarch_core::ZoneId;
use amberarch_emulator::{Day, Fault as Gone, Fleet, Reports, Rule, Seen, Shape, Trouble, World, WINDOW};
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

const FROM: f64 = 15_000.0;
const LASTS: f64 = 50_000.0;
const STEWARDS: u16 = 5;
const ONES: u64 = 3;
const RULES: [Rule; 5] = [Rule::Bare, Rule::Twice, Rule::Drains, Rule::PushedOver, Rule::Queue];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Calm,
    Killed,
    AllButOneKilled,
    RestartedInTurn,
    DiscoveryDownAtARelease,
    DiscoveryLateAtARelease,
    ZoneBackCold,
    ZoneCutForTwo,
    MostReplaced,
    Slow,
    Failing,
    TwoAtOnce,
    CallsUnsure,
    SumsLate,
    StewardsStand,
    AllAtOnce,
}

use Kind::*;
const SINGLE: [Kind; 10] = [
    Killed,
    AllButOneKilled,
    RestartedInTurn,
    DiscoveryDownAtARelease,
    DiscoveryLateAtARelease,
    ZoneBackCold,
    ZoneCutForTwo,
    MostReplaced,
    Slow,
    Failing,
];

/// Faults of calls, traffic reports and processes, and all controllers acting at the same moment.
const FURTHER: [Kind; 4] = [CallsUnsure, SumsLate, StewardsStand, AllAtOnce];

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Calm => "no fault",
            Killed => "a steward killed",
            AllButOneKilled => "all but one killed",
            RestartedInTurn => "all restarted in turn",
            DiscoveryDownAtARelease => "release, discovery down",
            DiscoveryLateAtARelease => "release, discovery late",
            ZoneBackCold => "a zone lost, back cold",
            ZoneCutForTwo => "a zone cut for two stewards",
            MostReplaced => "six in ten hosts replaced",
            Slow => "several hosts slow",
            Failing => "several hosts failing",
            TwoAtOnce => "two of these at once",
            CallsUnsure => "release, calls unsure",
            SumsLate => "hosts restart, sums late",
            StewardsStand => "release, two stewards still",
            AllAtOnce => "all begin anew, a zone cold",
        }
    }

    /// The faults of this kind of day for a draw. With `one` there are no faults of controllers, since the one with the
    /// full view has to stay up.
    fn faults(self, shape: &Shape, draw: u64, one: bool) -> Vec<Gone> {
        let fault =
            |from: f64, lasts: f64, what| Gone { from: FROM + from, until: FROM + from + lasts, what };
        let place = (draw % u64::from(STEWARDS)) as u16;
        let hosts =
            |goes: &dyn Fn(u32) -> bool| (0..shape.hosts).filter(|host| goes(*host)).collect::<Vec<_>>();
        let some = |many: u32| {
            let step = 2 * shape.hosts / (2 * many) + 1;
            (0..many).map(|at| (draw as u32 + at * step) % shape.hosts).collect::<Vec<_>>()
        };
        let release = |lasts| fault(0.0, lasts, Trouble::Replace { hosts: hosts(&|host| host % 10 < 6) });
        let lost = |from, lasts, stewards: Vec<u16>| fault(from, lasts, Trouble::StewardsLost { stewards });
        match self {
            Calm => vec![],
            Killed | AllButOneKilled | RestartedInTurn if one => vec![],
            Killed => vec![lost(0.0, 1e9, vec![place])],
            AllButOneKilled => vec![lost(0.0, 1e9, (0..STEWARDS).filter(|at| *at != place).collect())],
            RestartedInTurn => {
                (0..STEWARDS).map(|at| lost(4_000.0 * f64::from(at), 1_500.0, vec![at])).collect()
            }
            DiscoveryDownAtARelease => {
                vec![release(20_000.0), fault(-1_000.0, 10_000.0, Trouble::DiscoveryDown)]
            }
            DiscoveryLateAtARelease => {
                vec![release(20_000.0), fault(-1_000.0, 25_000.0, Trouble::DiscoverySlow { times: 20.0 })]
            }
            ZoneBackCold => {
                let zone = u32::from(place);
                vec![fault(0.0, 6_000.0, Trouble::Restart { hosts: hosts(&|host| host % 5 == zone) })]
            }
            ZoneCutForTwo => {
                let stewards = vec![(place + 1) % STEWARDS, (place + 2) % STEWARDS];
                vec![fault(0.0, 10_000.0, Trouble::CutFor { zone: ZoneId(place), stewards })]
            }
            MostReplaced => vec![release(8_000.0)],
            Slow => vec![fault(0.0, 15_000.0, Trouble::Slow { hosts: some(6), part: 0.3 })],
            Failing => {
                vec![fault(0.0, 15_000.0, Trouble::Bad { hosts: some(6), seen_from: vec![] })]
            }
            CallsUnsure => {
                let unsure = Trouble::Unsure { stewards: (0..STEWARDS).collect(), part: 0.2 };
                vec![release(20_000.0), fault(-1_000.0, 25_000.0, unsure)]
            }
            SumsLate => {
                let late = Trouble::SumsLate { stewards: (0..STEWARDS).collect(), by: 6_000.0 };
                vec![
                    fault(0.0, 5_000.0, Trouble::Restart { hosts: hosts(&|host| host % 5 == host / 5 % 5) }),
                    fault(-4_000.0, 20_000.0, late),
                ]
            }
            StewardsStand => {
                let stewards = vec![(place + 1) % STEWARDS, (place + 2) % STEWARDS];
                let still = fault(2_000.0, 6_000.0, Trouble::StewardsSlow { stewards, every: 1e9 });
                let still = Some(still).filter(|_| !one);
                [release(20_000.0)].into_iter().chain(still).collect()
            }
            // All controllers query, bind and admit the zone at the same moment.
            AllAtOnce => {
                let zone = u32::from(place);
                let cold =
                    fault(-5_000.0, 6_000.0, Trouble::Restart { hosts: hosts(&|host| host % 5 == zone) });
                let ends = Some(lost(500.0, 500.0, (0..STEWARDS).collect())).filter(|_| !one);
                [cold].into_iter().chain(ends).collect()
            }
            TwoAtOnce => {
                let (first, second) = (draw as usize % 10, (draw as usize * 3 + 1) % 10);
                // Two faults that hit controllers could leave none running.
                let second = if first == second || first < 3 && second < 3 { first + 3 } else { second };
                let mut both = SINGLE[first].faults(shape, draw, one);
                both.extend(SINGLE[second].faults(shape, draw, one));
                both
            }
        }
    }
}

fn shape(zones: u16, hosts: u32, proxies: u16) -> Shape {
    let mut shape = Shape { zones, hosts, proxies, lasts: LASTS, ..Shape::usual() };
    // One round of a controller's traffic reports takes at least four seconds at this rate.
    shape.sums.max_lines_per_s = 0.125 * f64::from(proxies);
    shape
}

fn play(shape: &Shape, kind: Kind, one: bool, draw: u64) -> Day {
    let fleet = Fleet::usual(shape, STEWARDS);
    let back_within = if kind == AllAtOnce { 1.0 } else { fleet.back_within };
    let fleet = Fleet { back_within, ..if one { fleet.seeing_all() } else { fleet } };
    let faults = kind.faults(shape, draw, one);
    World::new(shape.clone(), faults, Reports::Off, draw).fleet(fleet).play()
}

#[derive(Serialize)]
struct Row {
    day: &'static str,
    service: f64,
    service_worst: f64,
    /// Service over the first draws only, with five controllers and with the one that has the full view.
    service_beside: f64,
    service_one_sees_all: f64,
    /// Days on which a rule was broken, and violations, each counted once per controller, proxy and host.
    days_with_a_break: usize,
    bare: usize,
    twice: usize,
    drains: usize,
    pushed_over: usize,
    queue: usize,
    /// Violations with the one controller that has the full view.
    breaks_one_sees_all: usize,
    settled_s_median: Option<f64>,
    settled_s_worst: Option<f64>,
    never_settled: usize,
    calls_worst_second: u32,
    calls: f64,
    probes_host_second: f64,
    probes_worst: u32,
    /// Lines per controller and day, and the longest queue as a fraction of the backlog.
    lines: f64,
    lines_worst_steward: f64,
    waiting_worst: f64,
    serving_ms_p50: Option<f64>,
    serving_ms_p99: Option<f64>,
    bound_ms_p50: Option<f64>,
    bound_ms_p99: Option<f64>,
    never_bound: usize,
    /// The highest load offered to a cold host, as a multiple of its capacity, and the hosts that overload ended.
    cold_most: f64,
    fallen: u32,
    /// Calls to relays that got no answer.
    unsure: f64,
    first_break: Option<String>,
}

#[derive(Serialize)]
struct Size {
    stewards: u16,
    proxies: u16,
    hosts: u32,
    txns: u64,
    decisions: u64,
    /// Wall time on this machine, including the effect of other work on it.
    wall_s_of_a_minute: f64,
    service: f64,
    service_one_sees_all: Option<f64>,
    bare: usize,
    twice: usize,
    drains: usize,
    pushed_over: usize,
    queue: usize,
    settled_s: Option<f64>,
    bound_ms_p50: Option<f64>,
    bound_ms_p99: Option<f64>,
    calls_worst_second: u32,
    calls: u32,
    probes_host_second: f64,
    lines_worst_steward: f64,
    cold_most: f64,
}

fn quantile(mut all: Vec<f64>, part: f64) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1))).copied()
}

fn mean(all: impl Iterator<Item = f64>) -> f64 {
    let (sum, many) = all.fold((0.0, 0.0), |(sum, many), one| (sum + one, many + 1.0));
    sum / f64::max(many, 1.0)
}

fn row(kind: Kind, days: &[&Day], ones: &[&Day]) -> Row {
    let seen = || days.iter().map(|day| &day.seen);
    let broke = |rule| seen().map(|seen| seen.broke(rule)).sum::<usize>();
    let settled: Vec<f64> = seen().filter_map(|seen| Some(seen.settled_after? / 1e3)).collect();
    let of = || seen().flat_map(|seen| &seen.stewards);
    let serving = || seen().flat_map(|seen| seen.serving_after.clone()).collect::<Vec<f64>>();
    let bound = || seen().flat_map(|seen| seen.bound_after.clone()).collect::<Vec<f64>>();
    let first = seen().flat_map(|seen| seen.breaches.first()).next();
    let [bare, twice, drains, pushed_over, queue] = RULES.map(broke);
    Row {
        day: kind.name(),
        service: mean(days.iter().map(|day| day.service())),
        service_worst: days.iter().map(|day| day.service()).fold(1.0, f64::min),
        service_beside: mean(days.iter().take(ones.len()).map(|day| day.service())),
        service_one_sees_all: mean(ones.iter().map(|day| day.service())),
        days_with_a_break: seen().filter(|seen| !seen.breaches.is_empty()).count(),
        bare,
        twice,
        drains,
        pushed_over,
        queue,
        breaks_one_sees_all: ones.iter().map(|day| day.seen.breaches.len()).sum(),
        settled_s_median: quantile(settled.clone(), 0.5),
        settled_s_worst: settled.iter().copied().reduce(f64::max),
        never_settled: days.len() - settled.len(),
        calls_worst_second: seen().map(|seen| seen.calls.0).max().unwrap_or(0),
        calls: mean(seen().map(|seen| f64::from(seen.calls.1))),
        probes_host_second: mean(seen().map(|seen| seen.probes.0)),
        probes_worst: seen().map(|seen| seen.probes.1).max().unwrap_or(0),
        lines: mean(of().map(|of| of.lines)),
        lines_worst_steward: of().map(|of| of.lines).fold(0.0, f64::max),
        waiting_worst: of().map(|of| of.most_waiting).fold(0.0, f64::max),
        serving_ms_p50: quantile(serving(), 0.5),
        serving_ms_p99: quantile(serving(), 0.99),
        bound_ms_p50: quantile(bound(), 0.5),
        bound_ms_p99: quantile(bound(), 0.99),
        never_bound: seen().map(|seen| seen.never_bound).sum(),
        cold_most: seen().map(|seen| seen.cold_most).fold(0.0, f64::max),
        fallen: seen().map(|seen| seen.fallen).sum(),
        unsure: mean(seen().map(|seen| f64::from(seen.unsure))),
        first_break: first.map(|breach| format!("{breach:?}")),
    }
}

/// One day of the given size in which a controller is lost and a tenth of the hosts are replaced.
fn size(stewards: u16, proxies: u16, hosts: u32, seed: u64, beside: bool) -> Size {
    // The txns per proxy are kept low, so that the controllers' work dominates as the size grows.
    let use_of_cores = (0.55 * 120.0 / f64::from(hosts)).min(0.55);
    let shape = Shape { use_of_cores, lasts: 40_000.0, ..shape(stewards.max(2), hosts, proxies) };
    let replaced = (0..hosts).filter(|host| host % 10 == 3).collect();
    let day = |one: bool| {
        let lost = Gone { from: FROM, until: 1e9, what: Trouble::StewardsLost { stewards: vec![0] } };
        let release = Gone {
            from: FROM,
            until: FROM + 8_000.0,
            what: Trouble::Replace { hosts: Vec::clone(&replaced) },
        };
        let lost = Some(lost).filter(|_| stewards > 1 && !one);
        let fleet = Fleet::usual(&shape, stewards);
        let fleet = if one { fleet.seeing_all() } else { fleet };
        let faults = [release].into_iter().chain(lost).collect();
        World::new(shape.clone(), faults, Reports::Off, seed).fleet(fleet).play()
    };
    let begun = Instant::now();
    let seen_in_part = day(false);
    let wall = begun.elapsed().as_secs_f64();
    let Seen { decisions, calls, probes, .. } = seen_in_part.seen;
    let seen = &seen_in_part.seen;
    let [bare, twice, drains, pushed_over, queue] = RULES.map(|rule| seen.broke(rule));
    Size {
        stewards,
        proxies,
        hosts,
        txns: seen_in_part.fates.iter().map(|fate| u64::from(fate.came)).sum(),
        decisions,
        wall_s_of_a_minute: 6e4 / shape.lasts * wall,
        service: seen_in_part.service(),
        service_one_sees_all: beside.then(|| day(true).service()),
        bare,
        twice,
        drains,
        pushed_over,
        queue,
        settled_s: seen.settled_after.map(|after| after / 1e3),
        bound_ms_p50: quantile(seen.bound_after.clone(), 0.5),
        bound_ms_p99: quantile(seen.bound_after.clone(), 0.99),
        calls_worst_second: calls.0,
        calls: calls.1,
        probes_host_second: probes.0,
        lines_worst_steward: seen.stewards.iter().map(|of| of.lines).fold(0.0, f64::max),
        cold_most: seen.cold_most,
    }
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let (draws, shape) = if how.quick { (2, shape(5, 60, 400)) } else { (10, shape(5, 120, 1_600)) };
    let kinds: Vec<Kind> = [Calm].into_iter().chain(SINGLE).chain([TwoAtOnce]).chain(FURTHER).collect();
    let jobs: Vec<(Kind, bool, u64)> = kinds
        .iter()
        .flat_map(|kind| (0..draws).flat_map(move |draw| [(*kind, false, draw), (*kind, true, draw)]))
        // The controller with the full view plays only the first draws: its results differ little between draws.
        .filter(|(_, one, draw)| !one || *draw < ONES)
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(4, |many| many.get().min(6));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some((kind, one, draw)) = jobs.get(at).copied() else { return };
                let day = play(&shape, kind, one, how.seed * 1_000 + draw);
                done.lock().expect("no day panics").push((at, day));
            });
        }
    });
    let mut days = done.into_inner().map_err(|_| Fault::Other("a day panicked".into()))?;
    days.sort_by_key(|(at, _)| *at);
    let of = |kind: Kind, one: bool| -> Vec<&Day> {
        let goes = |at: &usize| jobs[*at].0 == kind && jobs[*at].1 == one;
        days.iter().filter(|(at, _)| goes(at)).map(|(_, day)| day).collect()
    };
    let rows: Vec<Row> = kinds.iter().map(|kind| row(*kind, &of(*kind, false), &of(*kind, true))).collect();
    for row in &rows {
        println!(
            "{:<28} service {:.4} (worst {:.4}), one that sees all {:.4}; breaks: bare {}, twice {}, drains {}, pushed over {}, queue {} on {} days (one: {}); cold {:.2} of 3, fell {}; settled {:?} s at worst, never {}; bound p99 {:?} ms",
            row.day, row.service, row.service_worst, row.service_one_sees_all, row.bare, row.twice, row.drains,
            row.pushed_over, row.queue, row.days_with_a_break, row.breaks_one_sees_all, row.cold_most, row.fallen,
            row.settled_s_worst,
            row.never_settled, row.bound_ms_p99,
        );
        row.first_break.iter().for_each(|first| println!("    first: {first}"));
    }
    let sizes: &[(u16, u16, u32)] = if how.quick {
        &[(1, 100, 30), (5, 400, 60)]
    } else {
        &[(1, 100, 30), (5, 1_600, 120), (20, 10_000, 3_000)]
    };
    let sizes: Vec<Size> = sizes
        .iter()
        .map(|(stewards, proxies, hosts)| size(*stewards, *proxies, *hosts, how.seed, !how.quick))
        .collect();
    for size in &sizes {
        let Size { stewards, proxies, hosts, wall_s_of_a_minute, .. } = size;
        println!(
            "{stewards} stewards, {proxies} proxies, {hosts} hosts: a minute in {wall_s_of_a_minute:.1} s, service {:.4} (one: {:?}), breaks: bare {}, drains {}, pushed over {}, queue {}; settled {:?} s, bound p99 {:?} ms",
            size.service, size.service_one_sees_all, size.bare, size.drains, size.pushed_over, size.queue,
            size.settled_s, size.bound_ms_p99,
        );
    }
    let apart = |row: &Row| row.service_one_sees_all - row.service_beside;
    let breaks: usize =
        rows.iter().map(|row| row.bare + row.twice + row.drains + row.pushed_over + row.queue).sum();
    let bounds = [
        Bound::under("rules broken, all days", breaks as f64, 1.0),
        Bound::under(
            "service below one that sees all, mean of the kinds",
            mean(rows.iter().map(apart)),
            0.05,
        ),
        Bound::under(
            "service below one that sees all, worst kind",
            rows.iter().map(apart).fold(f64::MIN, f64::max),
            0.10,
        ),
        Bound::under(
            "proxies never bound",
            rows.iter().map(|row| row.never_bound).sum::<usize>() as f64,
            1.0,
        ),
    ];
    if let Some(dir) = &how.out {
        let series = kinds.iter().map(|kind| {
            let days = of(*kind, false);
            let points = (0..(LASTS / WINDOW) as usize).map(|at| {
                let windows = || days.iter().filter_map(|day| day.windows.get(at)).flatten();
                let earned = windows().map(|of| of.earned).sum::<f64>();
                let offered = windows().map(|of| of.offered).sum::<f64>();
                ((at as f64 + 0.5) * WINDOW / 1e3, earned / offered.max(1e-9))
            });
            Series { name: kind.name().into(), points: points.collect() }
        });
        let title = "Five stewards, simulated: service by kind of day";
        keep(dir, "fleet", title, "s of the day", "service", &series.collect::<Vec<_>>())?;
        let mut table = csv::Writer::from_path(dir.join("fleet-days.csv"))?;
        rows.iter().try_for_each(|row| table.serialize(row))?;
        table.flush().map_err(|why| Fault::Io("cannot write the table", why))?;
        let mut table = csv::Writer::from_path(dir.join("fleet-sizes.csv"))?;
        sizes.iter().try_for_each(|row| table.serialize(row))?;
        table.flush().map_err(|why| Fault::Io("cannot write the table", why))?;
    }
    close(how, serde_json::json!({"days": rows, "sizes": sizes}), &bounds)
}
