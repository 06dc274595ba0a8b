//! Election nights on the emulator: compares no levels, the module's own levels and named levels.

use std::collections::BTreeMap;

use amberarch_core::{ClassId, LevelKind, RetryPolicy, ZoneId};
use amberarch_emulator::{Day, Fault as Gone, Reports, Shape, Trouble, World, WINDOW};
use amberarch_service_levels::{Condition, Keep, Ladder, Level, Signal};
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

/// Start and duration of the night's fault, ms.
const BEGINS: f64 = 40_000.0;
const LASTS: f64 = 80_000.0;
/// The strictest figures of the targets.
const SUBMITS: f64 = 0.99;
const LESS: f64 = 0.01;
const ENTER_WITHIN: f64 = 5_000.0;
const FULL_WITHIN: f64 = 90_000.0;

pub fn ladder(shape: &Shape) -> Ladder {
    let on = |signal, value, lasting| Condition { signal, value, lasting };
    let down_to = |shares: &[(u16, f64)]| -> BTreeMap<ClassId, Keep> {
        shares.iter().map(|(id, least)| (ClassId(*id), Keep { least: *least, most: 1.0 })).collect()
    };
    let level = |name: &str, keep, enter, leave, emergency| Level {
        name: name.into(),
        keep,
        tries: RetryPolicy::AfterProof,
        enter,
        leave,
        stay: 20_000.0,
        emergency,
        force: false,
    };
    let quiet = vec![on(Signal::Pressure, 0.45, 6_000.0), on(Signal::Voided, 0.05, 6_000.0)];
    let levels = vec![
        Level { tries: RetryPolicy::TwiceAfterAny, ..level("full", BTreeMap::new(), vec![], vec![], false) },
        level("no-extras", down_to(&[(0, 0.0)]), vec![on(Signal::Pressure, 0.8, 0.0)], quiet.clone(), false),
        level(
            "essentials",
            down_to(&[(0, 0.0), (1, 0.3)]),
            vec![on(Signal::Pressure, 1.2, 3_000.0), on(Signal::Voided, 0.15, 3_000.0)],
            quiet.clone(),
            false,
        ),
        level(
            "writes-only",
            down_to(&[(0, 0.0), (1, 0.0)]),
            vec![on(Signal::Voided, 0.5, 4_000.0)],
            quiet,
            true,
        ),
    ];
    let names = ["detail-page", "results-page", "tally-submit"];
    let products: Vec<_> =
        names.iter().map(|name| name.to_string()).zip(shape.products.iter().map(|p| p.0.clone())).collect();
    Ladder::new(levels, &products).expect("a ladder that can serve")
}

struct Night {
    name: &'static str,
    faults: Vec<Gone>,
    /// All traffic except what may be shed can be served, so submits must be.
    covered: bool,
    /// A step of load that has to raise the level and, after its end, to lower it again.
    step: bool,
}

fn nights() -> Vec<Night> {
    let gone = |from: f64, until: f64, what| Gone { from, until, what };
    let ends = BEGINS + LASTS;
    let waves = |every: f64| -> Vec<Gone> {
        let wave = |at: u32| {
            let from = BEGINS + every * f64::from(at);
            gone(from, from + every / 2.0, Trouble::Burst { times: 1.7 })
        };
        (0..(160_000.0 / every) as u32).map(wave).collect()
    };
    let all: Vec<u32> = (0..24).collect();
    let zone = |zone: u32| all.iter().copied().filter(|host| host % 3 == zone).collect::<Vec<u32>>();
    let night = |name, faults, covered, step| Night { name, faults, covered, step };
    vec![
        night("quiet", vec![], true, false),
        night("burst", vec![gone(BEGINS, ends, Trouble::Burst { times: 2.2 })], true, true),
        night("hovering", vec![gone(BEGINS, 200_000.0, Trouble::Burst { times: 1.5 })], true, false),
        night("waves-15-s", waves(15_000.0), true, false),
        night("waves-30-s", waves(30_000.0), true, false),
        night("waves-60-s", waves(60_000.0), true, false),
        night(
            "all-slow",
            vec![gone(BEGINS, ends, Trouble::Slow { hosts: all.clone(), part: 0.45 })],
            true,
            true,
        ),
        night(
            "zone-cut",
            vec![
                gone(BEGINS, ends, Trouble::Cut { zone: ZoneId(1) }),
                gone(BEGINS, ends, Trouble::Burst { times: 1.4 }),
            ],
            false,
            false,
        ),
        night(
            "stalled-and-slow",
            vec![
                gone(BEGINS, ends, Trouble::Stall { proxies: vec![0, 3] }),
                gone(BEGINS, ends, Trouble::Slow { hosts: all.clone(), part: 0.5 }),
            ],
            false,
            false,
        ),
        night(
            "mass-restart",
            vec![gone(BEGINS, BEGINS + 4_000.0, Trouble::Restart { hosts: [zone(0), zone(1)].concat() })],
            false,
            false,
        ),
    ]
}

#[derive(Serialize)]
struct Row {
    night: &'static str,
    /// Fraction of the value that could be earned.
    service_none: f64,
    service_own: f64,
    service_named: f64,
    /// Fraction of the submits' value earned in time, in the worst ten seconds and overall.
    submits_none: f64,
    submits_own: f64,
    submits_named: f64,
    submits_named_worst: f64,
    /// The same without the twenty seconds after each beginning and end of a fault.
    submits_named_settled: f64,
    /// The fraction of the ten-second windows in which 99 % of it was earned.
    submits_named_held: f64,
    changes: usize,
    /// The shortest time between two changes, s; none with fewer than two changes.
    closest_s: Option<f64>,
    entered_after_s: Option<f64>,
    full_after_s: Option<f64>,
}

fn play(night: &Night, seed: u64) -> [Day; 3] {
    let world =
        |levels| World::new(Shape { levels, ..Shape::election() }, night.faults.clone(), Reports::Off, seed);
    let ways: [&(dyn Fn() -> Day + Sync); 3] =
        [&|| world(LevelKind::Off).play(), &|| world(LevelKind::Fraction).play(), &|| {
            world(LevelKind::Fraction).levelled(ladder(&Shape::election()), true).play()
        }];
    std::thread::scope(|scope| {
        let each = ways.map(|day| scope.spawn(day));
        each.map(|day| day.join().expect("a night that does not panic"))
    })
}

/// The fraction of the submits' value that was earned in each ten seconds, without the last windows, which the end of
/// the day cuts short.
fn submits(day: &Day) -> Vec<f64> {
    let whole = day.windows.len().saturating_sub(2);
    let part = |window: &Vec<amberarch_emulator::Window>| window[2].earned / window[2].offered.max(1e-9);
    day.windows[..whole].iter().filter(|window| window[2].offered > 0.0).map(part).collect()
}

fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / (of.len() as f64).max(1.0)
}

/// The level changes that the log shows: when, to which level, and whether by an emergency.
fn taken_up(day: &Day) -> Vec<(f64, String, bool)> {
    let to = |text: &str| -> Option<String> {
        let rest = text.strip_prefix("level from=")?.split(" to=").nth(1)?;
        rest.split(' ').next().map(String::from)
    };
    let said = day.said.iter();
    said.filter_map(|(at, text)| Some((*at, to(text)?, text.contains("why=\"emergency")))).collect()
}

fn changes(day: &Day) -> Vec<(f64, String)> {
    taken_up(day).into_iter().map(|(at, to, _)| (at, to)).collect()
}

#[derive(Serialize)]
struct Large {
    proxies: u16,
    level_lines: u64,
    most_in_a_reply: u64,
    /// Capacity of the emulated site's channel, in lines.
    backlog: f64,
    changes: usize,
}

/// Measures what a change writes when many proxies have to receive it.
fn large(proxies: u16, seed: u64) -> Large {
    let shape = Shape { proxies, lasts: 70_000.0, ..Shape::election() };
    let burst = Gone { from: 20_000.0, until: 70_000.0, what: Trouble::Burst { times: 2.2 } };
    let day =
        World::new(shape.clone(), vec![burst], Reports::Off, seed).levelled(ladder(&shape), true).play();
    let backlog = 400.0 * f64::from(proxies);
    let (level_lines, most_in_a_reply) = (day.level_lines, day.most_level_lines);
    Large { proxies, level_lines, most_in_a_reply, backlog, changes: changes(&day).len() }
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let draws = if how.quick { 1 } else { 5 };
    let (mut rows, mut chart) = (Vec::new(), Vec::new());
    let (mut closest, mut slowest, mut longest) = (f64::INFINITY, 0.0f64, 0.0f64);
    let (mut worst_submits, mut lost) = (1.0f64, f64::MIN);
    for night in nights() {
        let played: Vec<[Day; 3]> = (0..draws).map(|draw| play(&night, how.seed * 1_000 + draw)).collect();
        let over = |of: &dyn Fn(&[Day; 3]) -> f64| mean(&played.iter().map(of).collect::<Vec<f64>>());
        let gaps = |day: &Day| {
            let all = taken_up(day);
            let plain = all.windows(2).filter(|pair| !pair[1].2);
            plain.map(|pair| pair[1].0 - pair[0].0).fold(f64::INFINITY, f64::min)
        };
        let gap = played.iter().map(|days| gaps(&days[2])).fold(f64::INFINITY, f64::min);
        let entered =
            |day: &Day| changes(day).iter().find(|(at, _)| *at >= BEGINS).map(|(at, _)| at - BEGINS);
        let full = |day: &Day| {
            changes(day).iter().rev().find(|(_, to)| to == "full").map(|(at, _)| at - BEGINS - LASTS)
        };
        let worst = |of: &dyn Fn(&Day) -> Option<f64>| {
            let each: Option<Vec<f64>> = played.iter().map(|days| of(&days[2])).collect();
            each.map(|each| each.into_iter().fold(f64::MIN, f64::max))
        };
        let least = played.iter().flat_map(|days| submits(&days[2])).fold(1.0, f64::min);
        let every: Vec<(usize, f64)> =
            played.iter().flat_map(|days| submits(&days[2]).into_iter().enumerate()).collect();
        let settled = |at: usize| {
            let (from, until) = (at as f64 * WINDOW, (at + 1) as f64 * WINDOW);
            let near = |moment: f64| until > moment && from < moment + 20_000.0;
            !night.faults.iter().any(|fault| near(fault.from) || near(fault.until))
        };
        let row = Row {
            night: night.name,
            service_none: over(&|days| days[0].service()),
            service_own: over(&|days| days[1].service()),
            service_named: over(&|days| days[2].service()),
            submits_none: over(&|days| mean(&submits(&days[0]))),
            submits_own: over(&|days| mean(&submits(&days[1]))),
            submits_named: over(&|days| mean(&submits(&days[2]))),
            submits_named_worst: least,
            submits_named_settled: every
                .iter()
                .filter(|one| settled(one.0))
                .map(|one| one.1)
                .fold(1.0, f64::min),
            submits_named_held: every.iter().filter(|one| one.1 >= SUBMITS).count() as f64
                / every.len().max(1) as f64,
            changes: played.iter().map(|days| changes(&days[2]).len()).max().unwrap_or(0),
            closest_s: gap.is_finite().then_some(gap / 1e3),
            entered_after_s: worst(&entered).filter(|_| night.step).map(|ms| ms / 1e3),
            full_after_s: worst(&full).filter(|_| night.step).map(|ms| ms / 1e3),
        };
        println!(
            "{:<17} service none {:.4} own {:.4} named {:.4}; submits none {:.4} own {:.4} named {:.4} (worst 10 s {:.4}, settled {:.4}, held in {:.2}); changes {} closest {:?} s, entered {:?} s, full {:?} s",
            row.night, row.service_none, row.service_own, row.service_named, row.submits_none, row.submits_own,
            row.submits_named, row.submits_named_worst, row.submits_named_settled, row.submits_named_held, row.changes, row.closest_s, row.entered_after_s, row.full_after_s
        );
        if !how.json {
            played[0][2].said.iter().for_each(|(at, text)| println!("    {:>6.1} s {text}", at / 1e3));
        }
        closest = closest.min(gap);
        lost = lost.max(row.service_own - row.service_named);
        if night.covered {
            worst_submits = worst_submits.min(least);
        }
        if night.step {
            slowest = slowest.max(row.entered_after_s.unwrap_or(f64::INFINITY) * 1e3);
            longest = longest.max(row.full_after_s.unwrap_or(f64::INFINITY) * 1e3);
        }
        if night.name == "burst" {
            chart = one_night(&played[0][2]);
        }
        rows.push(row);
    }
    if let Some(dir) = &how.out {
        keep(dir, "levels", "A burst, ten seconds after ten seconds", "s", "part", &chart)?;
    }
    let many: Vec<Large> = if how.quick {
        vec![large(1_000, how.seed)]
    } else {
        [1_000, 10_000].map(|n| large(n, how.seed)).into()
    };
    for Large { proxies, level_lines, most_in_a_reply, backlog, changes } in &many {
        println!("{proxies} proxies: {level_lines} lines of levels in 50 s of a burst, {most_in_a_reply} in one reply at the most, of a backlog of {backlog}; {changes} changes");
    }
    let share = many.iter().map(|large| large.most_in_a_reply as f64 / large.backlog).fold(0.0, f64::max);
    let bounds = [
        Bound::under("lines of levels in one reply, of what the channel holds", share, 0.5),
        Bound::over("least time between two changes without emergency, s", closest / 1e3, 30.0),
        Bound::over("submits earned in the worst ten seconds of covered nights", worst_submits, SUBMITS),
        Bound::under("service less than by the module's own levels, worst night", lost, LESS),
        Bound::under("time to enter after a step, s", slowest / 1e3, ENTER_WITHIN / 1e3),
        Bound::under("time to full service after its end, s", longest / 1e3, FULL_WITHIN / 1e3),
    ];
    close(how, serde_json::json!({"nights": rows, "large": many}), &bounds)
}

/// Load, level and value by request class.
fn one_night(day: &Day) -> Vec<Series> {
    let middle = |at: usize| (at as f64 + 0.5) * WINDOW / 1e3;
    let series = |name: &str, points: Vec<(f64, f64)>| Series { name: name.into(), points };
    let offered = |window: &[amberarch_emulator::Window]| window.iter().map(|of| of.offered).sum::<f64>();
    let most = day.windows.iter().map(|window| offered(window)).fold(1e-9, f64::max);
    let over = |of: &dyn Fn(&[amberarch_emulator::Window]) -> f64| -> Vec<(f64, f64)> {
        day.windows.iter().enumerate().map(|(at, window)| (middle(at), of(window))).collect()
    };
    let mut all = vec![series("what comes, of the most", over(&|window| offered(window) / most))];
    for (place, name) in
        ["detail pages earned", "results pages earned", "tally submits earned"].iter().enumerate()
    {
        all.push(series(name, over(&|window| window[place].earned / window[place].offered.max(1e-9))));
    }
    let depth =
        |name: &str| ["full", "no-extras", "essentials", "writes-only"].iter().position(|n| *n == name);
    let (mut level, mut steps) = (0.0, vec![(0.0, 0.0)]);
    for (at, to) in changes(day) {
        steps.push((at / 1e3, level));
        level = depth(&to).unwrap_or(0) as f64 / 3.0;
        steps.push((at / 1e3, level));
    }
    steps.push((day.windows.len() as f64 * WINDOW / 1e3, level));
    all.push(series("level, 1 is writes only", steps));
    all
}
