//! Generates a history of a million events, reads it from files and checks it: rate and memory. Also counts the planted
//! faults that are found and the alarms on good histories, and compares the sweep over holds with the plain check of
//! each pair.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Instant;

use amberarch_histories::made::{renewals, Chance, Made, SPOILS};
use amberarch_histories::{judge, judge_files, plain, Bounds, Exclude, Judge, Line, Reader, Spoilt};
use clap::Args;
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

const SIZES: [usize; 3] = [10_000, 100_000, 1_000_000];
/// The history that a ten-minute run of the fault-injection harness writes must be checked while someone waits.
const LEAST_RATE: f64 = 100_000.0;
/// Memory that a CI machine can spare for the history checker, MB.
const MOST_MB: f64 = 256.0;
const SPOILT: usize = 40_000;
const HELD: [usize; 4] = [2_000, 4_000, 8_000, 16_000];
const STEWARDS: usize = 50;

#[derive(Serialize)]
struct Size {
    events: usize,
    bytes: u64,
    /// Events per second: read and checked, only read, only checked.
    per_s: f64,
    read_per_s: f64,
    judged_per_s: f64,
    peak_mb: f64,
    /// The part of it that the history checker added.
    rise_mb: f64,
    violations: u64,
}

#[derive(Serialize)]
struct Held {
    lines: usize,
    sweep_ms: f64,
    plain_ms: f64,
}

#[derive(Serialize, Default)]
struct Planted {
    planted: u64,
    found: u64,
}

/// History files of one run, one for each process.
#[derive(Args)]
pub struct Files {
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Bound on the time from the end of the faults until all controllers hold the same, ms.
    #[arg(long, default_value_t = Bounds::default().everywhere)]
    everywhere: f64,
    /// Bound on the time from a proxy's choice of a host until the host begins to serve, ms.
    #[arg(long, default_value_t = Bounds::default().transit)]
    transit: f64,
    /// Bound on the time that a client waits for an answer, ms.
    #[arg(long, default_value_t = Bounds::default().answer)]
    answer: f64,
    /// Prints the report as one JSON object.
    #[arg(long)]
    json: bool,
}

fn spoilt(why: Spoilt) -> Fault {
    Fault::Other(format!("{why}; {}", why.advice()))
}

/// Prints what the checks find. Returns true if they find nothing.
pub fn judge_left(of: &Files) -> Result<bool, Fault> {
    let Files { everywhere, transit, answer, .. } = *of;
    let bounds = Bounds { everywhere, transit, answer, ..Bounds::default() };
    let report = judge_files(&of.files, &bounds).map_err(spoilt)?;
    match of.json {
        true => println!("{}", serde_json::json!(report)),
        false => print!("{report}"),
    }
    Ok(report.clean())
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> Fault {
    move |why| Fault::Io(what, why)
}

/// Writes one file for each writer, as processes and stand-ins do.
fn write(dir: &Path, seed: u64, events: usize) -> Result<(Vec<PathBuf>, u64), Fault> {
    let mut files: BTreeMap<String, BufWriter<File>> = BTreeMap::new();
    let mut bytes = 0;
    for line in Made::new(seed, events) {
        let name = format!("{}.jsonl", line.who.replace(':', "-"));
        let file = match files.entry(name) {
            std::collections::btree_map::Entry::Occupied(held) => held.into_mut(),
            std::collections::btree_map::Entry::Vacant(room) => {
                let file = File::create(dir.join(room.key())).map_err(io("a history"))?;
                room.insert(BufWriter::new(file))
            }
        };
        let text = serde_json::to_string(&line).map_err(|why| Fault::Other(why.to_string()))?;
        bytes += text.len() as u64 + 1;
        writeln!(file, "{text}").map_err(io("a history"))?;
    }
    let paths = files.keys().map(|name| dir.join(name)).collect();
    files.into_values().try_for_each(|mut file| file.flush()).map_err(io("a history"))?;
    Ok((paths, bytes))
}

/// A value from this process's memory status, MB.
fn memory(of: &str) -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(of));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse::<f64>().ok());
    kb.unwrap_or(f64::NAN) / 1024.0
}

fn size(seed: u64, events: usize) -> Result<Size, Fault> {
    let dir = tempfile::tempdir().map_err(io("a folder for histories"))?;
    let (paths, bytes) = write(dir.path(), seed, events)?;
    // proc(5): writing 5 resets the peak to the current use.
    fs::write("/proc/self/clear_refs", "5").map_err(io("the peak of memory"))?;
    let before = memory("VmRSS");
    let began = Instant::now();
    let report = judge_files(&paths, &Made::bounds()).map_err(spoilt)?;
    let whole = began.elapsed().as_secs_f64();
    let peak = memory("VmHWM");
    let began = Instant::now();
    for line in Reader::open(&paths).map_err(spoilt)? {
        line.map_err(spoilt)?;
    }
    let read = began.elapsed().as_secs_f64();
    let lines: Vec<Line> = Made::new(seed, events).collect();
    let began = Instant::now();
    let mut judge = Judge::new(&Made::bounds());
    lines.iter().for_each(|line| judge.feed(line));
    judge.finish(0);
    let judged = began.elapsed().as_secs_f64();
    Ok(Size {
        events,
        bytes,
        per_s: events as f64 / whole,
        read_per_s: events as f64 / read,
        judged_per_s: events as f64 / judged,
        peak_mb: peak,
        rise_mb: peak - before,
        violations: report.violations() + report.late_calls(),
    })
}

/// The faults planted in the history of the seed and those found, and the alarms that the good history raises.
fn spoil(seed: u64) -> (BTreeMap<&'static str, Planted>, u64) {
    let good: Vec<Line> = Made::new(seed, SPOILT).collect();
    let report = judge(good.iter().cloned(), &Made::bounds());
    let alarms = report.violations() + report.late_calls();
    let mut all: BTreeMap<&str, Planted> = BTreeMap::new();
    for (number, spoil) in SPOILS.iter().enumerate() {
        let mut lines = good.clone();
        let of = all.entry(spoil.name).or_default();
        if spoil.plant(&mut lines, &mut Chance::new(seed * 1_000 + number as u64)) {
            of.planted += 1;
            of.found += u64::from(judge(lines, &Made::bounds()).found(spoil.rule) > 0);
        }
    }
    (all, alarms)
}

fn held(lines: usize) -> Held {
    let all = renewals(STEWARDS, lines);
    let began = Instant::now();
    let mut sweep = Exclude::default();
    all.iter().for_each(|line| sweep.feed(line));
    let found = sweep.finish().count();
    let sweep_ms = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    let same = plain::excluding(&all) == found;
    let plain_ms = began.elapsed().as_secs_f64() * 1e3;
    Held { lines, sweep_ms, plain_ms: if same { plain_ms } else { f64::NAN } }
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let mut sizes = Vec::new();
    for events in SIZES {
        let size = size(how.seed, events)?;
        let Size { per_s, read_per_s, judged_per_s, peak_mb, rise_mb, .. } = &size;
        println!(
            "{events:>8} events: {per_s:.0} a second ({read_per_s:.0} read, {judged_per_s:.0} judged), peak {peak_mb:.1} MB, of it {rise_mb:.1} MB for the judge"
        );
        sizes.push(size);
    }
    let helds: Vec<Held> = HELD.into_iter().map(held).collect();
    for Held { lines, sweep_ms, plain_ms } in &helds {
        println!("{lines:>8} holds: sweep {sweep_ms:.2} ms, each pair {plain_ms:.2} ms");
    }
    let seeds: Vec<u64> = (0..if how.quick { 8 } else { 96 }).map(|of| how.seed * 1_000 + of).collect();
    let hands = thread::available_parallelism().map_or(1, usize::from).min(seeds.len());
    let found: Vec<(BTreeMap<&str, Planted>, u64)> = thread::scope(|scope| {
        let share = |hand| seeds.iter().skip(hand).step_by(hands).copied().collect::<Vec<u64>>();
        let hands: Vec<_> = (0..hands)
            .map(|hand| scope.spawn(move || share(hand).into_iter().map(spoil).collect::<Vec<_>>()))
            .collect();
        hands.into_iter().flat_map(|hand| hand.join().unwrap_or_default()).collect()
    });
    let alarms: u64 = found.iter().map(|(_, alarms)| alarms).sum();
    let mut faults: BTreeMap<&str, Planted> = BTreeMap::new();
    for (name, of) in found.into_iter().flat_map(|(all, _)| all) {
        let sum = faults.entry(name).or_default();
        (sum.planted, sum.found) = (sum.planted + of.planted, sum.found + of.found);
    }
    for (name, Planted { planted, found }) in &faults {
        println!("{name:<45} planted {planted:>3}, found {found:>3}");
    }
    if let Some(dir) = &how.out {
        let points =
            |of: &dyn Fn(&Held) -> f64| helds.iter().map(|held| (held.lines as f64, of(held))).collect();
        let series = [
            Series { name: "sweep".into(), points: points(&|held| held.sweep_ms) },
            Series { name: "each pair".into(), points: points(&|held| held.plain_ms) },
        ];
        keep(dir, "histories", "Who acts beside whom: a sweep, and each pair", "holds", "ms", &series)?;
    }
    let least_planted = faults.values().map(|of| of.planted).min().unwrap_or(0);
    let missed: u64 = faults.values().map(|of| of.planted - of.found).sum();
    let million = &sizes[sizes.len() - 1];
    let judged: u64 = sizes.iter().map(|size| size.violations).sum();
    let last = &helds[helds.len() - 1];
    let bounds = [
        Bound::over("events a second, of a million, read and judged", million.per_s, LEAST_RATE),
        Bound::under("peak of memory at a million events, MB", million.peak_mb, MOST_MB),
        Bound::over("histories that each fault was planted in, the fewest", least_planted as f64, 1.0),
        Bound::under("planted faults that were not found", missed as f64, 0.5),
        Bound::under("alarms of good histories", (alarms + judged) as f64, 0.5),
        Bound::over("times that the sweep is faster than each pair", last.plain_ms / last.sweep_ms, 1.0),
    ];
    let figures = serde_json::json!({
        "sizes": sizes, "holds": helds, "faults": faults, "good_histories": seeds.len() + SIZES.len(), "alarms": alarms + judged,
    });
    close(how, figures, &bounds)
}
