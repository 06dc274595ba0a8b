//! Soak drills: random drills with additional sequences of signals and unidentified connections to the controller.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::drawn::CALM;
use super::{Action, Crowd, CrowdKind, DrillPlan, Scheduled};

/// Separates this random stream from that of the drill itself.
const SOAK: u64 = 0x50a4;
/// Upper bound on clients. File descriptors are limited to 384, so clients that hold their connections must stay below.
const MAX_CLIENTS: u16 = 150;
/// The longest pause between the exit of a process and its next start, ms.
const MAX_PAUSE: u64 = 1_500;

/// A sequence of signals.
#[derive(Clone, Copy)]
enum Series {
    /// A reload, a restart soon after, and another reload as soon as one is allowed.
    ReloadRestartReload,
    /// Two SIGTERMs.
    TwoTerms,
    /// A reload while discovery holds back the host list.
    ReloadWhileListHeld,
}

impl DrillPlan {
    /// The plan of a seed, with faults over `faults` ms.
    pub fn soak(seed: u64, faults: u64) -> DrillPlan {
        let mut plan = DrillPlan::drawn(seed, faults);
        let mut chance = ChaCha8Rng::seed_from_u64(seed ^ SOAK);
        let until = CALM + faults;
        plan.actions = actions(&mut chance, &plan, until);
        plan.crowds = crowds(&mut chance, until);
        plan
    }
}

fn actions(chance: &mut ChaCha8Rng, plan: &DrillPlan, until: u64) -> Vec<Scheduled> {
    let mut actions = Vec::new();
    for _ in 0..chance.random_range(1..3) {
        let at = chance.random_range(CALM..until);
        let restart = |second_term: Option<u64>, pause: u64| Action::Restart { second_term, pause };
        let pause = chance.random_range(0..MAX_PAUSE);
        let kinds = [Series::ReloadRestartReload, Series::TwoTerms, Series::ReloadWhileListHeld];
        match kinds[chance.random_range(0..kinds.len())] {
            Series::ReloadRestartReload => {
                let restart_at = at + chance.random_range(30..800);
                actions.push(Scheduled { at, action: Action::Reload });
                actions.push(Scheduled { at: restart_at, action: restart(None, pause) });
                actions.push(Scheduled { at: restart_at, action: Action::Reload });
            }
            Series::TwoTerms => {
                let second_term = Some(chance.random_range(1..600));
                actions.push(Scheduled { at, action: restart(second_term, pause) });
            }
            Series::ReloadWhileListHeld => {
                let held = plan
                    .list_held
                    .first()
                    .map_or(at..at + 1, |held| held.from..held.until.max(held.from + 1));
                actions.push(Scheduled { at: chance.random_range(held), action: Action::Reload });
            }
        }
    }
    // The sort is stable, so each series keeps its order.
    actions.sort_by_key(|action| action.at);
    actions
}

/// Half of the drills have a group of unidentified connections.
fn crowds(chance: &mut ChaCha8Rng, until: u64) -> Vec<Crowd> {
    if chance.random_bool(0.5) {
        return vec![];
    }
    let kinds = [CrowdKind::Silent, CrowdKind::Flood, CrowdKind::Slow];
    let kind = kinds[chance.random_range(0..kinds.len())];
    let from = chance.random_range(CALM..until);
    let lasts = chance.random_range(500..8_000);
    let clients = chance.random_range(10..MAX_CLIENTS);
    vec![Crowd { from, until: until.min(from + lasts), kind, clients }]
}
