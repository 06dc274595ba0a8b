//! Drains are carried out in time while the relay fails and the list changes. Runs the amberarch binary
//! beside stand-ins on loopback in real time, and checks the recorded history (`amberarch_rig::drill`).

mod cold_hosts;
mod drawn;
#[path = "../drill/mod.rs"]
mod drill;
mod incident;

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_rig::drill::{DrillPlan, ListChange, Settings, Silence, Unreachable};
use drill::{outcome, print_details, run_all, Outcome};

/// Changes of the list: the time in ms, and which hosts have which state from then on.
fn changes(of: &[(u64, &[usize], HostState)]) -> Vec<ListChange> {
    let change = |(at, hosts, state): &(u64, &[usize], HostState)| ListChange {
        at: *at,
        hosts: hosts.iter().map(|host| (*host, *state)).collect(),
    };
    of.iter().map(change).collect()
}

/// Runs the drills in parallel and fails unless each keeps all rules.
fn assert_kept(plans: &[DrillPlan]) {
    let mut failed = Vec::new();
    for (plan, drilled) in plans.iter().zip(run_all(plans)) {
        let outcome = outcome(&drilled);
        if outcome != Outcome::Kept {
            print_details(plan, &drilled);
            failed.push((plan.settings.seed, outcome));
        }
    }
    assert!(failed.is_empty(), "{} of {} drills: {failed:#?}", failed.len(), plans.len());
}
