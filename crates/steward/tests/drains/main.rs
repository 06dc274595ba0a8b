//! Drains are kept while the relay fails and the list changes: the program itself beside stand-ins on loopback, played in
//! real time and judged by its history (`amberarch_rig::drill`).

mod drawn;
#[path = "../drill/mod.rs"]
mod drill;
mod incident;

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_rig::drill::{DrillPlan, ListChange, Settings, Silence, Unreachable};
use drill::{outcome, play_all, print_details, Outcome};

/// Changes of the list: when, ms, and which hosts are in which state from then on.
fn changes(of: &[(u64, &[usize], HostState)]) -> Vec<ListChange> {
    let change = |(at, hosts, state): &(u64, &[usize], HostState)| ListChange {
        at: *at,
        hosts: hosts.iter().map(|host| (*host, *state)).collect(),
    };
    of.iter().map(change).collect()
}

/// Plays them side by side; nothing is wrong with any.
fn assert_kept(plans: &[DrillPlan]) {
    let mut failed = Vec::new();
    for (plan, drilled) in plans.iter().zip(play_all(plans)) {
        let outcome = outcome(&drilled);
        if outcome != Outcome::Kept {
            print_details(plan, &drilled);
            failed.push((plan.settings.seed, outcome));
        }
    }
    assert!(failed.is_empty(), "{} of {} drills: {failed:#?}", failed.len(), plans.len());
}
