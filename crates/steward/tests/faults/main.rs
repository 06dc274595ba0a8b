//! Fleets of amberarch processes with faults drawn from fixed seeds: one run of each kind. The histories of
//! processes and stand-ins are checked afterwards.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use amberarch_rig::{until_said, Kind, Plan};

/// Runs sleep most of the time; with this many at a time, four cores are not the bottleneck of any run.
const AT_ONCE: usize = 5;

fn folder(seed: u64) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{}-{seed}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder for a run");
    folder
}

/// The result of a run.
enum RunResult {
    Passed,
    /// Each attempt was late because the machine was overloaded, so it neither passes nor fails.
    Starved(String),
    Failed(String),
}

/// The most runs that may be inconclusive for lack of CPU time; with more, the test fails for that reason.
const MAX_STARVED_RUNS: usize = 3;

/// Executes a run and reports its faults with its seed; the histories of a failed run are kept.
fn execute(plan: Plan) -> RunResult {
    let seed = plan.seed;
    let folder = folder(seed);
    let binary = Path::new(env!("CARGO_BIN_EXE_amberarch"));
    let (found, starved) = match until_said(binary, plan, &folder) {
        Err(why) => (vec![why.to_string()], false),
        Ok((ran, _)) => (ran.wrong(), ran.starved()),
    };
    if found.is_empty() {
        let _ = fs::remove_dir_all(&folder);
        return RunResult::Passed;
    }
    let text = format!("seed {seed}, {plan:?}, histories in {}:\n{}", folder.display(), found.join("\n"));
    if starved {
        RunResult::Starved(text)
    } else {
        RunResult::Failed(text)
    }
}

#[test]
fn no_fault_mixes_two_policies_or_keeps_a_change_from_its_end() {
    // The last kinds take longest and start first, so that none runs alone at the end.
    let left = AtomicUsize::new(Kind::ALL.len());
    let (faults, starved) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let one_less = |left: usize| left.checked_sub(1);
                let Ok(left) = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less) else {
                    return;
                };
                match execute(Plan::of(left as u64 - 1)) {
                    RunResult::Passed => {}
                    RunResult::Starved(text) => starved.lock().expect("the list").push(text),
                    RunResult::Failed(text) => faults.lock().expect("the list").push(text),
                }
            });
        }
    });
    let faults = faults.into_inner().expect("the list");
    assert!(faults.is_empty(), "{}", faults.join("\n\n"));
    let starved = starved.into_inner().expect("the list");
    assert!(
        starved.len() <= MAX_STARVED_RUNS,
        "the machine has no room for these:\n{}",
        starved.join("\n\n")
    );
}

/// Guards against stand-ins that produce no requests: no other run could then find a fault.
#[test]
fn without_a_fleet_the_stand_ins_txns_are_settled() {
    match execute(Plan::ungoverned(1_000)) {
        RunResult::Passed => {}
        RunResult::Starved(text) | RunResult::Failed(text) => panic!("{text}"),
    }
}
