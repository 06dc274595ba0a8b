//! `amberarch-lab`: runs experiments and compares their figures with bounds. Prints text for people; `--json` adds
//! one JSON object as the last line for programs, and `--out` writes a table and a chart.

mod accord;
mod chart;
mod fleet;
mod guard;
mod histories;
mod intake;
mod intake_error;
mod levels;
mod process;
mod reporters;
mod residency;
mod resident;
mod restart;
mod rig;
mod shares;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use serde::Serialize;

#[derive(Parser)]
#[command(name = "amberarch-lab", version, about = "Experiments on amberarch")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists the experiments.
    List,
    /// Runs one experiment.
    Run {
        name: String,
        #[command(flatten)]
        how: How,
    },
    /// Repeats one run of `faults` by the seed that a failed run printed; keeps its histories in the given folder.
    Fault { seed: u64, folder: PathBuf },
    /// Checks the histories that processes and stand-ins wrote.
    Judge(histories::Files),
    /// Stand-in reporters in a separate process; started by the experiments.
    #[command(hide = true)]
    Reporters(reporters::Crowd),
}

#[derive(Args, Clone)]
pub struct How {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A shorter run, which ends within 40 s on four cores.
    #[arg(long)]
    pub quick: bool,
    /// Prints one JSON object as the last line.
    #[arg(long)]
    pub json: bool,
    /// Writes a table (CSV) and a chart (SVG) into this folder.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
}

/// A figure that an experiment measured, the bound on it, and whether the bound holds.
#[derive(Serialize)]
pub struct Bound {
    pub what: &'static str,
    pub found: f64,
    pub bound: f64,
    pub holds: bool,
}

impl Bound {
    pub fn under(what: &'static str, found: f64, bound: f64) -> Bound {
        Bound { what, found, bound, holds: found < bound }
    }
    pub fn over(what: &'static str, found: f64, bound: f64) -> Bound {
        Bound { what, found, bound, holds: found >= bound }
    }
}

/// The reason why an experiment ended early.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    #[error("cannot write the table: {0}")]
    Table(#[from] csv::Error),
    #[error("cannot draw the chart: {0}")]
    Chart(String),
    #[error("{0}")]
    Other(String),
}

const EXPERIMENTS: [(&str, &str); 12] = [
    ("accord", "the agreement on one revision, simulated: time to in force, talk at rest, replay, storms"),
    ("histories", "a million events read and judged: rate, memory; planted faults found, false alarms"),
    ("faults", "fleets of the program itself, with processes, disks and networks that fail by seed"),
    ("guard", "batches of orders judged beside brute force: false words, cost, days with faults"),
    ("fleet", "five stewards that each know a part, beside one that sees all: service, rules, takeovers"),
    ("intake", "reports of 5,000 hosts over loopback into one daemon: rate, core, memory, times"),
    ("intake-error", "tables and service on the emulator with full, sampled and no reports"),
    ("levels", "election nights on the emulator: no levels, the module's own, named levels"),
    ("shares", "rounds of fair shares: cost, distance from exact, guarantees back, rest at steady load"),
    ("residency", "replies judged against what proxies may hold: cost, false words, days under a change"),
    ("resident", "memory of one daemon with 1,600 proxies on loopback while its hosts are replaced"),
    ("restart", "a steward restarts at the peak, with and without a snapshot; what keeping one costs"),
];

fn main() -> ExitCode {
    let ended = match Line::parse().command {
        Command::List => {
            EXPERIMENTS.iter().for_each(|(name, what)| println!("{name:<14} {what}"));
            Ok(true)
        }
        Command::Run { name, how } => match name.as_str() {
            "accord" => accord::run(&how),
            "guard" => guard::run(&how),
            "histories" => histories::run(&how),
            "faults" => rig::run(&how),
            "fleet" => fleet::run(&how),
            "intake" => intake::run(&how),
            "intake-error" => intake_error::run(&how),
            "levels" => levels::run(&how),
            "residency" => residency::run(&how),
            "resident" => resident::run(&how),
            "restart" => restart::run(&how),
            "shares" => shares::run(&how),
            _ => Err(Fault::Other(format!("no experiment is named {name}; `amberarch-lab list` names them"))),
        },
        Command::Fault { seed, folder } => rig::alone(seed, &folder),
        Command::Judge(files) => histories::judge_left(&files),
        Command::Reporters(crowd) => reporters::run(crowd).map(|()| true),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("amberarch-lab: {why}");
            ExitCode::from(2)
        }
    }
}

/// Prints the bounds and, with `--json`, all figures as one object. Returns true if all bounds hold.
pub fn close(how: &How, figures: impl Serialize, bounds: &[Bound]) -> Result<bool, Fault> {
    let holds = bounds.iter().all(|bound| bound.holds);
    for Bound { what, found, bound, holds } in bounds {
        println!("{} {what}: {found:.4}, bound {bound}", if *holds { "holds" } else { "FAILS" });
    }
    if how.json {
        let all = serde_json::json!({"seed": how.seed, "quick": how.quick, "figures": figures, "bounds": bounds, "holds": holds});
        println!("{all}");
    }
    Ok(holds)
}
