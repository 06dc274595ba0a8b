//! Runs drills (recorded fault-injection runs) with the binary under test and reports what is wrong with
//! each.

use std::sync::{Condvar, Mutex};

use amberarch_rig::drill::{drill, DrillPlan, Drilled};

/// How many drills run at a time, over all tests of the binary. With more, the drills' own event loops
/// stall beside other work, and a stalled drill is void.
const AT_ONCE: usize = 16;
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A slot for a running drill, freed when it is dropped.
struct Place;

impl Place {
    fn take() -> Place {
        let running = RUNNING.lock().expect("the count of drills");
        let mut running =
            ENDED.wait_while(running, |running| *running >= AT_ONCE).expect("the count of drills");
        *running += 1;
        Place
    }
}

impl Drop for Place {
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
const PLAYS_MOST: usize = 3;

/// Runs the drill until a run is not void; the last run is returned in any case.
pub fn play(plan: &DrillPlan) -> Drilled {
    let play_once = || {
        let _place = Place::take();
        let folder = tempfile::tempdir().expect("a folder");
        drill(&program(), plan, folder.path()).expect("a drill")
    };
    let mut drilled = play_once();
    for _ in 1..PLAYS_MOST {
        if !drilled.is_void() {
            break;
        }
        println!("seed {}: void, the drill stood still for {:?}", plan.settings.seed, drilled.lag);
        drilled = play_once();
    }
    drilled
}

/// Runs the drills in parallel.
pub fn play_all(plans: &[DrillPlan]) -> Vec<Drilled> {
    std::thread::scope(|scope| {
        let drills: Vec<_> = plans.iter().map(|plan| scope.spawn(|| play(plan))).collect();
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
const TOLD_MOST: usize = 3;

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
    wrong.extend(violations.iter().take(TOLD_MOST).map(|found| found.says.clone()));
    wrong.extend(passed.iter().take(TOLD_MOST).cloned());
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
const ACCOUNTS_MOST: usize = 8;

/// Prints everything that helps to find out why a drill broke a rule.
pub fn print_details(plan: &DrillPlan, drilled: &Drilled) {
    let Drilled { most_waiting, backlog, calls, log, lag, .. } = drilled;
    let seed = plan.settings.seed;
    println!("seed {seed}: {most_waiting:.0} of {backlog:.0} lines waited at most, lag {lag:?} at most");
    println!("{plan:?}\n{}\n{log}", calls.join("\n"));
    for found in drilled.verdicts.violations().take(ACCOUNTS_MOST) {
        println!("{}\n  {}", found.says, drilled.account(found).join("\n  "));
    }
}
