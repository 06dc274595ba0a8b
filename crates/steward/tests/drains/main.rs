//! Drains are kept while the relay fails and the list changes: the program itself beside stand-ins on loopback, played in
//! real time and judged by its history (`amberarch_rig::drill`).

mod drawn;
mod incident;

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_rig::drill::{drill, DrillPlan, Drilled, ListChange, Settings, Silence, Unreachable};

/// The program under test: the one that was built with the tests, or another that the environment names.
fn program() -> std::path::PathBuf {
    match std::env::var_os("AMBERARCH_UNDER_TEST") {
        Some(other) => other.into(),
        None => env!("CARGO_BIN_EXE_amberarch").into(),
    }
}

/// A drill that stood still itself proves nothing, so it is played again, so often at the most.
const PLAYS_MOST: usize = 3;

/// Plays it until a play is not void; the last one is given back in any case.
fn play(plan: &DrillPlan) -> Drilled {
    let play_once = || {
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

/// Plays them side by side.
fn play_all(plans: &[DrillPlan]) -> Vec<Drilled> {
    std::thread::scope(|scope| {
        let drills: Vec<_> = plans.iter().map(|plan| scope.spawn(|| play(plan))).collect();
        drills.into_iter().map(|drill| drill.join().expect("a drill")).collect()
    })
}

/// Changes of the list: when, ms, and which hosts are in which state from then on.
fn changes(of: &[(u64, &[usize], HostState)]) -> Vec<ListChange> {
    let change = |(at, hosts, state): &(u64, &[usize], HostState)| ListChange {
        at: *at,
        hosts: hosts.iter().map(|host| (*host, *state)).collect(),
    };
    of.iter().map(change).collect()
}

/// What is wrong with a drill: drains that are late, limits of the channel that were passed, or nothing to look at.
fn wrong(drilled: &Drilled) -> Vec<String> {
    if drilled.is_void() {
        return vec![format!("no verdict: each play was void, the last stood still for {:?}", drilled.lag)];
    }
    let Drilled { drains, passed, .. } = drilled;
    let says = drains.violations.iter().map(|found| format!("{}: {:?}", found.says, found.witness)).take(3);
    let late = (drains.count() > 0).then(|| format!("{} drains late", drains.count()));
    let empty = (drains.looked == 0).then(|| "no drain was looked at".to_string());
    late.into_iter().chain(says).chain(empty).chain(passed.iter().take(3).cloned()).collect()
}

/// So many late drains are accounted for.
const ACCOUNTS_MOST: usize = 8;

/// Plays them side by side; nothing is wrong with any.
fn assert_kept(plans: &[DrillPlan]) {
    let mut failed = Vec::new();
    for (plan, drilled) in plans.iter().zip(play_all(plans)) {
        let wrong = wrong(&drilled);
        if !wrong.is_empty() {
            let Drilled { most_waiting, backlog, calls, log, lag, .. } = &drilled;
            let seed = plan.settings.seed;
            println!(
                "seed {seed}: {most_waiting:.0} of {backlog:.0} lines waited at most, lag {lag:?} at most"
            );
            println!("{plan:?}\n{}\n{log}", calls.join("\n"));
            for late in drilled.drains.violations.iter().take(ACCOUNTS_MOST) {
                println!("{}\n  {}", late.says, drilled.account(late).join("\n  "));
            }
            failed.push((plan.settings.seed, wrong));
        }
    }
    assert!(failed.is_empty(), "{} of {} drills: {failed:#?}", failed.len(), plans.len());
}
