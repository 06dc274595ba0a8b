//! Drains are kept while the relay fails and the list changes: the program itself beside stand-ins on loopback, played in
//! real time and judged by its history (`amberarch_rig::drill`).

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

fn play(plan: &DrillPlan) -> Drilled {
    let folder = tempfile::tempdir().expect("a folder");
    drill(&program(), plan, folder.path()).expect("a drill")
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

/// No drain is late, the channel's limits are kept, and the drill had matter.
fn assert_kept(drilled: &Drilled) {
    let Drilled { drains, most_waiting, backlog, passed, calls, log, .. } = drilled;
    let seen = format!("{most_waiting:.0} of {backlog:.0} lines waited at most\n{}\n{log}", calls.join("\n"));
    let says: Vec<&str> = drains.violations.iter().map(|found| found.says.as_str()).take(5).collect();
    assert!(drains.looked > 0, "no drain was looked at:\n{seen}");
    assert!(drains.violations.is_empty(), "{} drains late: {says:#?}\n{seen}", drains.count());
    assert!(passed.is_empty(), "limits passed: {passed:#?}\n{seen}");
}
