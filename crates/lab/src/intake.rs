//! One daemon with stand-in reporters of 5,000 hosts: its intake rate, and the processor time and memory it needs.

use std::path::Path;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::chart::{keep, Series};
use crate::process::{beside, daemon, figure, free_port, Process};
use crate::{close, Bound, Fault, How};

const HOSTS: usize = 5_000;
const REPORTERS: usize = 250;
const CONNECTIONS: usize = 50;
/// The target is 50,000 per second; report rates come in quarter octaves, and the next one below 50,000 would miss it.
const BUDGET: u32 = 56_000;
const AIM: f64 = 50_000.0;

#[derive(Serialize)]
struct Figures {
    hosts: usize,
    reporters: usize,
    connections: usize,
    seconds: f64,
    reports_per_s: f64,
    taken_per_s: f64,
    /// Processor time as a fraction of one core, with the intake and, for comparison, with the same list and no intake.
    cores: f64,
    cores_without: f64,
    reporters_cores: f64,
    resident_kib: f64,
    resident_kib_without: f64,
    grown_kib: f64,
    to_belief_us: [f64; 2],
    to_decision_ms: [f64; 2],
    fresh: f64,
    refused: f64,
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let dir = tempfile::tempdir().map_err(|why| Fault::Io("cannot create a folder", why))?;
    let (settle, lasts) = if how.quick { (12.0, 18.0) } else { (120.0, 480.0) };
    let (cores_without, resident_kib_without) = without(dir.path())?;
    let port = free_port()?;
    let operator = format!("[intake]\nlisten = \"127.0.0.1:{port}\"\nreports_per_s = {BUDGET}\n");
    let mut controller = daemon(dir.path(), "with", HOSTS, &operator)?;
    sleep(Duration::from_millis(500));
    let mut crowd = Command::new(beside("amberarch-lab")?);
    crowd.arg("reporters").args(["--to", &format!("127.0.0.1:{port}")]);
    for (name, value) in
        [("--reporters", REPORTERS), ("--hosts-each", HOSTS / REPORTERS), ("--connections", CONNECTIONS)]
    {
        crowd.args([name, &value.to_string()]);
    }
    crowd.args(["--seconds", &format!("{}", settle + lasts + 60.0), "--seed", &how.seed.to_string()]);
    let crowd = Process::start(&mut crowd, dir.path().join("reporters.log"))?;

    let start = Instant::now();
    let mut memory = Vec::new();
    let mut watch = |until: f64, controller: &mut Process| -> Result<(), Fault> {
        while start.elapsed().as_secs_f64() < until {
            if controller.ended() {
                return Err(Fault::Other(format!("the daemon ended:\n{}", controller.log())));
            }
            memory.push((start.elapsed().as_secs_f64(), controller.resident_kib()));
            sleep(Duration::from_millis(500));
        }
        Ok(())
    };
    watch(settle, &mut controller)?;
    let (before, core, crowd_core, at) =
        (controller.asked("intake: ")?, controller.core_s(), crowd.core_s(), Instant::now());
    let resident_before = controller.resident_kib();
    watch(settle + lasts, &mut controller)?;
    let (after, seconds) = (controller.asked("intake: ")?, at.elapsed().as_secs_f64());
    let cores = (controller.core_s() - core) / seconds;
    let more = |name: &str| figure(&after, name, 0) - figure(&before, name, 0);
    let figures = Figures {
        hosts: HOSTS,
        reporters: REPORTERS,
        connections: CONNECTIONS,
        seconds,
        reports_per_s: more("reports") / seconds,
        taken_per_s: more("taken") / seconds,
        cores,
        cores_without,
        reporters_cores: (crowd.core_s() - crowd_core) / seconds,
        resident_kib: controller.resident_kib(),
        resident_kib_without,
        grown_kib: controller.resident_kib() - resident_before,
        to_belief_us: [0, 1].map(|place| figure(&after, "to_belief_us", place)),
        to_decision_ms: [0, 1].map(|place| figure(&after, "to_decision_us", place) / 1e3),
        fresh: figure(&after, "fresh", 0),
        refused: more("reports") - more("taken"),
    };
    println!("{after}");
    println!("{}", serde_json::to_string_pretty(&figures).map_err(|why| Fault::Other(why.to_string()))?);
    if let Some(dir) = &how.out {
        let points = memory.iter().map(|(at, kib)| (*at, kib / 1_024.0)).collect();
        let series = [Series { name: "resident".into(), points }];
        keep(dir, "intake", "Memory of the daemon at 50,000 reports a second", "s", "MiB", &series)?;
    }
    let bounds = [
        Bound::over("reports taken in a second", figures.taken_per_s, AIM),
        Bound::under("cores of the daemon", figures.cores, 1.0),
        Bound::under("memory grown after settling, KiB", figures.grown_kib, 1_024.0),
        Bound::over("hosts believed fresh", figures.fresh, HOSTS as f64),
    ];
    close(how, figures, &bounds)
}

/// Measures the same daemon and list with the intake off.
fn without(dir: &Path) -> Result<(f64, f64), Fault> {
    let controller = daemon(dir, "without", HOSTS, "")?;
    sleep(Duration::from_secs(2));
    let (core, at) = (controller.core_s(), Instant::now());
    sleep(Duration::from_secs(4));
    Ok(((controller.core_s() - core) / at.elapsed().as_secs_f64(), controller.resident_kib()))
}
