//! Runs drills (recorded fault-injection runs) with the binary under test and reports what is wrong with
//! each.

use std::sync::{Condvar, Mutex};

use amberarch_rig::drill::{drill, DrillPlan, Drilled};

/// How many drills run at a time, over all tests of the binary. With more, the drills' own event loops
/// stall beside other work, and a stalled drill is void.
const MAX_CONCURRENT: usize = 16;
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A slot for a running drill, freed when it is dropped.
struct RunSlot;

impl RunSlot {
    fn take() -> RunSlot {
        let running = RUNNING.lock().expect("the count of drills");
        let mut running =
            ENDED.wait_while(running, |running| *running >= MAX_CONCURRENT).expect("the count of drills");
        *running += 1;
        RunSlot
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        if let Ok(mut running) = RUNNING.lock() {
            *running -= 1;
        }
        ENDED.notify_one();
    }
}

/// The binary under test: the one that was built with the tests, or another that the environment names.
fn program() -> std::path::PathBuf {
    match std::env::var_os("AMBERARCH_UNDER_TEST") {
        Some(other) => other.into(),
        None => env!("CARGO_BIN_EXE_amberarch").into(),
    }
}

/// How often a drill is run at most. A drill that stalled itself proves nothing and is run again.
const MAX_RUNS: usize = 3;

/// Runs the drill until a run is not void; the last run is returned in any case.
pub fn run_drill(plan: &DrillPlan) -> Drilled {
    let run_once = || {
        let _slot = RunSlot::take();
        let folder = tempfile::tempdir().expect("a folder");
        drill(&program(), plan, folder.path()).expect("a drill")
    };
    let mut drilled = run_once();
    for _ in 1..MAX_RUNS {
        if !drilled.is_void() {
            break;
        }
        println!("seed {}: void, the drill stood still for {:?}", plan.settings.seed, drilled.lag);
        drilled = run_once();
    }
    drilled
}

/// Runs the drills in parallel.
pub fn run_all(plans: &[DrillPlan]) -> Vec<Drilled> {
    std::thread::scope(|scope| {
        let drills: Vec<_> = plans.iter().map(|plan| scope.spawn(|| run_drill(plan))).collect();
        drills.into_iter().map(|drill| drill.join().expect("a drill")).collect()
    })
}

/// The result of a drill.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Kept,
    /// The first few faults that were found.
    Broken(Vec<String>),
    /// The drill stalled itself in each run, so that none counts.
    Void,
}

/// How many faults of a kind are reported.
const MAX_REPORTED: usize = 3;

/// Checks a drill for broken rules, exceeded channel limits, a crash, and a history without any drain to
/// check.
pub fn outcome(drilled: &Drilled) -> Outcome {
    if drilled.is_void() {
        return Outcome::Void;
    }
    let Drilled { verdicts, passed, crashed, .. } = drilled;
    let mut wrong = Vec::new();
    let violations: Vec<_> = verdicts.violations().collect();
    if !violations.is_empty() {
        wrong.push(format!("{} violations", violations.len()));
    }
    if *crashed {
        wrong.push("the controller ended by itself".to_string());
    }
    wrong.extend(violations.iter().take(MAX_REPORTED).map(|found| found.says.clone()));
    wrong.extend(passed.iter().take(MAX_REPORTED).cloned());
    if verdicts.drains.looked == 0 {
        wrong.push("no drain was looked at".to_string());
    }
    if wrong.is_empty() {
        Outcome::Kept
    } else {
        Outcome::Broken(wrong)
    }
}

/// For how many violations the details are printed.
const MAX_DETAILS: usize = 8;

/// Prints everything that helps to find out why a drill broke a rule.
pub fn print_details(plan: &DrillPlan, drilled: &Drilled) {
    let Drilled { most_waiting, backlog, calls, log, lag, .. } = drilled;
    let seed = plan.settings.seed;
    println!("seed {seed}: {most_waiting:.0} of {backlog:.0} lines waited at most, lag {lag:?} at most");
    println!("{plan:?}\n{}\n{log}", calls.join("\n"));
    for found in drilled.verdicts.violations().take(MAX_DETAILS) {
        println!("{}\n  {}", found.says, drilled.account(found).join("\n  "));
    }
}
