//! A controller that restarts at the peak load, with and without a snapshot, while discovery is silent for a while;
//! and the cost of keeping the membership.

use std::sync::Arc;
use std::time::Instant;

use amberarch_emulator::{Day, Fault as Gone, Kept, Reports, Shape, Trouble, World, WINDOW};
use amberarch_roster::{Health, Member, Roster, Row, Source, Told, CONFIRMED_FOR};
use amberarch_snapshot::{load, Store};
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

const PEAK: f64 = 60_000.0;

fn shape() -> Shape {
    Shape { use_of_cores: 0.62, lasts: 140_000.0, ..Shape::usual() }
}

fn world(seed: u64) -> World {
    // Slow hosts that the controller has learnt, and two that are down.
    let slow = Gone {
        from: 8_000.0,
        until: 140_000.0,
        what: Trouble::Slow { hosts: vec![0, 4, 8, 13], part: 0.45 },
    };
    let down = Gone { from: 30_000.0, until: 139_000.0, what: Trouble::Restart { hosts: vec![2, 3] } };
    // These hosts leave while the controller is down.
    let leave = Gone { from: PEAK + 50.0, until: 139_000.0, what: Trouble::Leave { hosts: vec![5, 11] } };
    World::new(shape(), vec![slow, down, leave], Reports::Off, seed)
}

/// The fraction earned of the value that was offered in the windows between `from` and `until`.
fn service(day: &Day, from: f64, until: f64) -> f64 {
    let range = (from / WINDOW) as usize..(until / WINDOW) as usize;
    let windows = || day.windows[range.clone()].iter().flatten();
    windows().map(|of| of.earned).sum::<f64>() / windows().map(|of| of.offered).sum::<f64>().max(1e-9)
}

#[derive(Serialize)]
struct Row4 {
    way: String,
    first_10_s: f64,
    first_60_s: f64,
    /// Tries per day sent to hosts that had left, after the grace; and the longest time until every proxy has a host,
    /// ms.
    to_gone: f64,
    bare_for_ms: Option<f64>,
}

#[derive(Serialize)]
struct Cost {
    hosts: u32,
    /// One period, in which a hundredth of the hosts change.
    kept_bytes: u64,
    hand_over_us_worst: f64,
    keep_ms: f64,
    start_ms: f64,
    /// Size after an hour of such periods, one per second, and that of the members alone.
    bytes_after_an_hour: u64,
    bytes_of_members: u64,
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let draws: u64 = if how.quick { 3 } else { 20 };
    let fresh = |list_age, hints, silent_for, fresh_proxies| Kept {
        list_age,
        confirmed_for: CONFIRMED_FOR,
        hints,
        silent_for,
        fresh_proxies,
    };
    let kept = |list_age, hints, silent_for| fresh(list_age, hints, silent_for, false);
    let (minute, hour, day) = (6e4, 3.6e6, 8.64e7);
    let mut ways: Vec<(String, Option<Kept>)> = vec![("no restart".into(), None)];
    for silent in [0.0, 10e3, 60e3] {
        let silence = format!("discovery silent {:.0} s", silent / 1e3);
        ways.push((format!("nothing kept, {silence}"), Some(kept(None, false, silent))));
        for (name, age) in [("1 min", minute), ("1 h", hour), ("1 day", day)] {
            ways.push((
                format!("list of {name}, {silence}"),
                Some(kept(Some(age), age < CONFIRMED_FOR * 5.0, silent)),
            ));
        }
    }
    for (name, age) in [("nothing kept", None), ("list of 1 min", Some(minute)), ("list of 1 day", Some(day))]
    {
        let way = format!("proxies anew too, {name}, discovery silent 10 s");
        ways.push((way, Some(fresh(age, age == Some(minute), 10e3, true))));
    }
    ways.push((
        "list of 1 min without hints, discovery silent 0 s".into(),
        Some(kept(Some(minute), false, 0.0)),
    ));
    let (mut rows, mut series) = (Vec::new(), Vec::new());
    for (way, kept) in ways {
        let days: Vec<Day> = std::thread::scope(|scope| {
            let play = |draw: u64| {
                let world = world(how.seed * 1_000 + draw);
                match kept {
                    Some(kept) => world.restarted(PEAK, kept).play(),
                    None => world.play(),
                }
            };
            let each: Vec<_> = (0..draws).map(|draw| scope.spawn(move || play(draw))).collect();
            each.into_iter().map(|day| day.join().expect("a day that does not panic")).collect()
        });
        let mean = |until: f64| {
            days.iter().map(|day| service(day, PEAK, PEAK + until)).sum::<f64>() / days.len() as f64
        };
        let row = Row4 {
            way: way.clone(),
            first_10_s: mean(10e3),
            first_60_s: mean(60e3),
            to_gone: days.iter().map(|day| f64::from(day.to_gone)).sum::<f64>() / days.len() as f64,
            bare_for_ms: days
                .iter()
                .map(|day| day.bare_for)
                .collect::<Option<Vec<f64>>>()
                .map(|all| all.into_iter().fold(0.0, f64::max))
                .filter(|_| kept.is_some()),
        };
        println!(
            "{way:<62} first 10 s {:.4}, first 60 s {:.4}, to gone hosts {:.1}, bare for {:?} ms",
            row.first_10_s, row.first_60_s, row.to_gone, row.bare_for_ms
        );
        let points = (0..13).map(|at| {
            let from = f64::from(at) * WINDOW;
            let all =
                days.iter().map(|day| service(day, from, from + WINDOW)).sum::<f64>() / days.len() as f64;
            (from / 1e3 + 5.0, all)
        });
        series.push(Series { name: way, points: points.collect() });
        rows.push(row);
    }
    let sizes: &[u32] = if how.quick { &[100, 1_000, 10_000] } else { &[100, 1_000, 10_000, 100_000] };
    let mut costs = Vec::new();
    for hosts in sizes {
        let cost = cost(*hosts, if how.quick { 300 } else { 3_600 })?;
        println!("{}", serde_json::to_string(&cost).map_err(|why| Fault::Other(why.to_string()))?);
        costs.push(cost);
    }
    if let Some(dir) = &how.out {
        let title = "Service before and after a restart at 60 s";
        let few: Vec<Series> = series
            .into_iter()
            .filter(|one| one.name.contains("60 s") || one.name == "no restart" || one.name.contains("hints"))
            .collect();
        keep(dir, "restart", title, "s", "of what could be earned", &few)?;
    }
    let first =
        |way: &str| rows.iter().find(|row| row.way.starts_with(way)).map_or(0.0, |row| row.first_10_s);
    let slowest = costs.iter().map(|cost| cost.hand_over_us_worst / 1e3).fold(0.0, f64::max);
    let start = costs.iter().map(|cost| cost.start_ms).fold(0.0, f64::max);
    let gone =
        rows.iter().filter(|row| row.way.contains("list of")).map(|row| row.to_gone).fold(0.0, f64::max);
    let bounds = [
        Bound::under("tries to hosts that have left, after the grace, with a list kept", gone, 0.5),
        Bound::under(
            "first ten seconds lost with a fresh snapshot",
            first("no restart") - first("list of 1 min, discovery silent 0 s"),
            0.02,
        ),
        Bound::under("longest stall of the desk by handing over, ms", slowest, 1.0),
        Bound::under("start from the largest folder, ms", start, 200.0),
    ];
    close(how, serde_json::json!({"restarts": rows, "costs": costs}), &bounds)
}

fn member(number: u32, round: u64) -> Member {
    let row = Row {
        dial: format!("10.0.{}.{}:3000", number / 256, number % 256),
        zone: "teika".into(),
        kind: "m2".into(),
        pod: number / 20,
        weight: 1.0,
        born: 1e12,
        health: Health::On,
    };
    let told = Told { epoch: 0, seq: round, at: 1e12 + round as f64, source: Source::Discovery, row };
    Member::new(format!("host-{number:06}"), told)
}

/// Stores a list in which one host in a hundred changes each period.
fn cost(hosts: u32, periods: u64) -> Result<Cost, Fault> {
    let fault = |why: amberarch_snapshot::Fault| Fault::Other(why.to_string());
    let dir = tempfile::tempdir().map_err(|why| Fault::Io("cannot create a folder", why))?;
    let (mut store, _) = Store::open(dir.path()).map_err(fault)?;
    let mut roster = Roster::new(1e12);
    roster.restore((0..hosts).map(|number| member(number, 0)));
    store
        .keep(1e12, (0..hosts).map(|number| Arc::new(member(number, 0))).collect(), roster.stand())
        .map_err(fault)?;
    let churn = (hosts / 100).max(1);
    let (mut worst, mut slowest, mut took, mut bytes) = (0.0f64, 0.0f64, 0.0, 0);
    for period in 1..=periods {
        let rows = (0..churn).map(|at| (u64::from(at) * 97 + period * 31) % u64::from(hosts));
        let rows = rows.map(|number| {
            let Member { host, told, .. } = member(number as u32, period);
            (host, Row { weight: 1.0 + (period % 7) as f64, ..told.row })
        });
        // Discovery's changes confirm no other hosts here, so that only churn is measured.
        for (host, row) in rows {
            let told =
                Told { epoch: 0, seq: period, at: 1e12 + period as f64, source: Source::Discovery, row };
            roster.restore([Member::new(host, told)]);
        }
        // The event loop does this once every half second.
        let at = Instant::now();
        let changed = roster.to_keep();
        worst = worst.max(at.elapsed().as_secs_f64() * 1e6);
        let before = store.bytes();
        let at = Instant::now();
        store.keep(1e12 + period as f64, changed, roster.stand()).map_err(fault)?;
        let ms = at.elapsed().as_secs_f64() * 1e3;
        (took, slowest) = (took + ms, slowest.max(ms));
        if period == 1 {
            bytes = store.bytes() - before;
        }
    }
    let (after, members) = (store.bytes(), store.members().len() as u64);
    drop(store);
    let at = Instant::now();
    let held = load(dir.path()).map_err(fault)?;
    let mut roster = Roster::new(1e12);
    roster.restore(held.members.into_values());
    roster.restore_stand(held.stand);
    let started = roster.emit(1e12).len();
    let start_ms = at.elapsed().as_secs_f64() * 1e3;
    if started as u64 != members {
        return Err(Fault::Other(format!("{started} of {members} hosts came back")));
    }
    let mut one = Vec::new();
    amberarch_snapshot::write(&amberarch_snapshot::Record::Member(Arc::new(member(1, 1))), &mut one)
        .map_err(|why| Fault::Other(why.to_string()))?;
    Ok(Cost {
        hosts,
        kept_bytes: bytes,
        hand_over_us_worst: worst,
        keep_ms: took / periods as f64,
        start_ms,
        bytes_after_an_hour: after,
        bytes_of_members: members * one.len() as u64,
    })
}
