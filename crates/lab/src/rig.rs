//! Runs fleets of real daemons under faults drawn by seed, and checks each run by its histories.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use amberarch_rig::{Kind, Plan, Ran};
use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::chart::{keep, Series};
use crate::process::beside;
use crate::{close, Bound, Fault, How};

/// Many runs go at once, since each sleeps most of the time.
const AT_ONCE: usize = 6;
const RUNS: u64 = 200;
const RUNS_QUICK: u64 = 12;
/// Number of runs between two progress lines.
const PROGRESS_EVERY: u64 = 20;

/// With a larger fraction of inconclusive runs than this, the machine is unsuitable for the experiment.
const MOST_INCONCLUSIVE: f64 = 0.05;

/// Totals over all runs.
#[derive(Default)]
struct Found {
    runs: u64,
    thrown: BTreeMap<String, u64>,
    /// Violations found, cases checked, and cases not judged.
    by_check: BTreeMap<String, (u64, u64, u64)>,
    late: u64,
    missed: u64,
    failed: u64,
    /// Runs that were inconclusive for lack of cores; they were played again.
    starved: Vec<u64>,
    /// Runs that were inconclusive each time; they are counted nowhere else.
    unsaid: Vec<u64>,
    /// Times until a lent guarantee was restored, ms.
    back: Vec<f64>,
    no_core: f64,
    stalled: f64,
    /// Time from the proposal until it is in force at all running controllers, by whether all were up.
    took: BTreeMap<&'static str, Vec<f64>>,
    asked: u64,
    settled: u64,
    moved: u64,
    calls: u64,
    lines: u64,
}

impl Found {
    fn add(&mut self, ran: &Ran) {
        self.runs += 1;
        ran.thrown.iter().for_each(|(kind, count)| *self.thrown.entry(kind.clone()).or_default() += count);
        self.missed += ran.missed.len() as u64;
        self.failed += ran.failed.len() as u64;
        self.back.extend(&ran.back);
        self.no_core = self.no_core.max(ran.no_core);
        self.stalled = self.stalled.max(ran.stalled);
        for (down, ms) in &ran.took {
            let whom = match (down, ran.plan.kind) {
                (0, Kind::Calm | Kind::SwapsZones | Kind::PermitsNothing) => "all up",
                (0, _) => "all up, right after faults",
                (_, Kind::Ended) => "the chair ended in good order",
                _ => "one down",
            };
            self.took.entry(whom).or_default().push(*ms);
        }
        self.asked += ran.asked;
        self.settled += ran.settled;
        self.moved += ran.moved;
        self.calls += ran.calls;
        self.lines += ran.report.events;
        self.late += ran.report.late_calls();
        for (rule, verdict) in &ran.report.verdicts {
            let of = self.by_check.entry(format!("{rule:?}")).or_default();
            *of = (of.0 + verdict.count(), of.1 + verdict.looked, of.2 + verdict.open);
        }
    }
}

fn quantiles(times: &[f64]) -> Result<Value, Fault> {
    let fault = |why: String| Fault::Other(why);
    let mut all = Histogram::<u64>::new(3).map_err(|why| fault(why.to_string()))?;
    for ms in times {
        all.record((ms * 1e3) as u64).map_err(|why| fault(why.to_string()))?;
    }
    let at = |part| all.value_at_quantile(part) as f64 / 1e3;
    Ok(json!({"changes": times.len(), "p50_ms": at(0.5), "p99_ms": at(0.99)}))
}

/// The distribution of the changes: each at its rank.
fn curve(whom: &str, times: &[f64]) -> Series {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let part = |place: usize| 100.0 * (place + 1) as f64 / sorted.len() as f64;
    let points = sorted.iter().enumerate().map(|(place, ms)| (part(place), *ms)).collect();
    Series { name: whom.into(), points }
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let runs = if how.quick { RUNS_QUICK } else { RUNS };
    let binary = beside("amberarch")?;
    let next = AtomicU64::new(0);
    let (found, faults) = (Mutex::new(Found::default()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= runs {
                    return;
                }
                let plan = Plan::of(how.seed * 1_000 + number);
                let Err(why) = one(&binary, plan, &found) else { continue };
                println!("seed {} {:?}: {why}", plan.seed, plan.kind);
                faults.lock().expect("the list").push(json!({"seed": plan.seed, "why": why}));
            });
        }
    });
    let found = found.into_inner().expect("the sums");
    let faults = faults.into_inner().expect("the list");
    let mut took = BTreeMap::new();
    for (whom, times) in &found.took {
        let row = quantiles(times)?;
        println!("from proposal to in force, {whom}: {row}");
        took.insert(*whom, row);
    }
    println!(
        "{} runs, {} txns asked, {} settled, {} proxies moved, {} calls of orders, {} lines of histories",
        found.runs, found.asked, found.settled, found.moved, found.calls, found.lines
    );
    println!("thrown: {:?}; violations by check: {:?}", found.thrown, found.by_check);
    let broken: u64 =
        found.by_check.iter().filter(|(rule, _)| *rule != "Late").map(|(_, (found, ..))| found).sum();
    let outside = found.by_check.get("Reach").map_or(0, |of| of.0);
    println!("calls written past the lease: {}; served or held outside reach: {outside}", found.late);
    if let Some(dir) = &how.out {
        let series: Vec<Series> = found.took.iter().map(|(whom, times)| curve(whom, times)).collect();
        keep(dir, "faults", "From proposal to in force, processes", "part of changes, %", "ms", &series)?;
    }
    let back = quantiles(&found.back)?;
    println!("until a lent guarantee was back: {back}");
    println!("nothing could be said of, for want of room on the machine: {:?}", found.unsaid);
    println!(
        "longest that a thread had no core in a quarter of a second: {:.0} ms, that the rig or the disk stood still: {:.0} ms; \
         played again for want of them: {:?}",
        found.no_core, found.stalled, found.starved
    );
    let bounds = [
        Bound::over("runs made", (found.runs + found.unsaid.len() as u64) as f64, runs as f64),
        Bound::under(
            "part of runs of which nothing could be said",
            found.unsaid.len() as f64 / runs as f64,
            MOST_INCONCLUSIVE,
        ),
        Bound::under("violations", broken as f64, 1.0),
        Bound::under("bounds missed", found.missed as f64, 1.0),
        Bound::under("ended by themselves, or faults that did nothing", found.failed as f64, 1.0),
    ];
    let figures = json!({"runs": found.runs, "thrown": found.thrown, "violations": found.by_check,
        "missed": found.missed, "failed": found.failed, "played_again": found.starved, "unsaid": found.unsaid, "no_core_ms": found.no_core, "stalled_ms": found.stalled,
        "guarantee_back": back, "calls_past_the_lease": found.late, "outside_reach": outside, "in_force": took, "asked": found.asked, "settled": found.settled,
        "proxies_moved": found.moved, "calls": found.calls, "lines": found.lines, "faults": faults});
    close(how, figures, &bounds)
}

/// Plays one run by its seed and prints the result.
pub fn alone(seed: u64, folder: &std::path::Path) -> Result<bool, Fault> {
    std::fs::create_dir_all(folder).map_err(|why| Fault::Io("cannot create a folder", why))?;
    let plan = Plan::of(seed);
    println!("{plan:?}");
    let ran = amberarch_rig::run(&beside("amberarch")?, plan, folder);
    let ran = ran.map_err(|why| Fault::Other(why.to_string()))?;
    println!("{}", ran.report);
    println!(
        "no core for {:.0} ms, stalled for {:.0} ms, a guarantee back after {:?} ms",
        ran.no_core, ran.stalled, ran.back
    );
    println!("thrown {:?}, from proposal to in force {:?}", ran.thrown, ran.took);
    ran.missed.iter().chain(&ran.failed).for_each(|what| println!("{what}"));
    Ok(ran.wrong().is_empty())
}

/// Plays one run; returns what is wrong with it and where its histories are kept.
fn one(binary: &std::path::Path, plan: Plan, found: &Mutex<Found>) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|why| why.to_string())?;
    let ran = amberarch_rig::until_said(binary, plan, dir.path()).map_err(|why| why.to_string());
    let wrong = match ran {
        Ok((ran, made)) => {
            let mut found = found.lock().expect("the sums");
            if made > 1 {
                println!("seed {} {:?}: the machine had no room, made {made} times", plan.seed, plan.kind);
                found.starved.push(plan.seed);
            }
            if ran.starved() {
                found.unsaid.push(plan.seed);
                return Ok(());
            }
            found.add(&ran);
            if found.runs.is_multiple_of(PROGRESS_EVERY) {
                println!("{} runs", found.runs);
            }
            ran.wrong()
        }
        Err(why) => vec![why],
    };
    if wrong.is_empty() {
        return Ok(());
    }
    Err(format!("{} (kept in {})", wrong.join("; "), dir.keep().display()))
}
