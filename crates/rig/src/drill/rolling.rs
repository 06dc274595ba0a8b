//! Rolling replacements: hosts drain, end and start again under their names, in steps that overlap.

use amberarch_histories::HostState;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::drawn::CALM;
use super::{Action, DrillPlan, HostRestart, ListChange, Pick, RequestLoad, Scheduled, Settings};

/// Separates this random stream from that of the drill itself.
const ROLLING: u64 = 0x0110;
const ROLLING_WITH_RESTART: u64 = 0x0111;
/// Time from the drain of a host to its end, both as listed, ms.
const DRAINS_FOR: std::ops::Range<u64> = 6_800..7_400;
/// How long the process of a host is down, ms.
const DOWN_FOR: std::ops::Range<u64> = 400..1_050;
/// How late the list is, ms.
const LIST_DELAY: std::ops::Range<u64> = 800..4_400;
/// Time between two steps, ms.
const STEP_EVERY: std::ops::Range<u64> = 2_600..3_400;
/// Hosts that one step replaces.
const HOSTS_PER_STEP: std::ops::Range<usize> = 5..7;
/// Fraction of the hosts that are replaced.
const REPLACED_FRACTION: f64 = 0.6;
const UTILIZATION: std::ops::Range<f64> = 0.46..0.6;
/// How long a proxy avoids a host at which its own tries failed, ms.
const EJECTED_FOR: std::ops::Range<f64> = 2_300.0..7_800.0;
/// After this time a proxy gives a try up, ms.
const TRY_TIMEOUT: std::ops::Range<f64> = 1_000.0..2_500.0;
/// Time that the drill runs after the last start, ms.
const AFTER: u64 = 11_000;
/// How long the controller process is down, ms.
const CONTROLLER_DOWN_FOR: u64 = 460;

impl DrillPlan {
    /// Replaces hosts of this deployment in steps; the seed draws which ones and when.
    pub fn rolling(settings: Settings) -> DrillPlan {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed ^ ROLLING);
        let mut hosts: Vec<usize> = (0..settings.hosts).collect();
        hosts.shuffle(&mut chance);
        hosts.truncate((REPLACED_FRACTION * settings.hosts as f64) as usize);
        let list_delay = chance.random_range(LIST_DELAY);
        let (mut changes, mut restarts) = (Vec::new(), Vec::new());
        // Discovery reports a drain late, but the end of the process no earlier than the drain.
        let mut at = CALM + list_delay;
        while !hosts.is_empty() {
            let count = chance.random_range(HOSTS_PER_STEP).min(hosts.len());
            let step: Vec<usize> = hosts.drain(..count).collect();
            let gone = at + chance.random_range(DRAINS_FOR);
            let ready = gone + chance.random_range(DOWN_FOR);
            let listed =
                |at, state| ListChange { at, hosts: step.iter().map(|host| (*host, state)).collect() };
            changes.push(listed(at, HostState::Draining));
            changes.push(listed(gone, HostState::Gone));
            changes.push(listed(ready, HostState::Ready));
            let (down, up) = (gone - list_delay, ready - list_delay);
            restarts.push(HostRestart { down, up, hosts: step });
            at += chance.random_range(STEP_EVERY);
        }
        changes.sort_by_key(|change| change.at);
        let lasts = changes.last().map_or(CALM, |change| change.at) + AFTER;
        let picks = [Pick::Weighted, Pick::LessLoadedOfTwo];
        let requests = RequestLoad {
            utilization: chance.random_range(UTILIZATION),
            pick: picks[chance.random_range(0..picks.len())],
            ejected_for: chance.random_range(EJECTED_FOR),
            try_timeout: chance.random_range(TRY_TIMEOUT),
            client_retries: chance.random_range(0..2),
        };
        let requests = Some(requests);
        DrillPlan { host_restarts: restarts, requests, ..DrillPlan::calm(settings, changes, lasts) }
    }

    /// The same with a restart of the controller while hosts are being replaced: the new process knows nothing of the load
    /// from before.
    pub fn rolling_with_restart(settings: Settings) -> DrillPlan {
        let mut chance = ChaCha8Rng::seed_from_u64(settings.seed ^ ROLLING_WITH_RESTART);
        let plan = DrillPlan::rolling(settings);
        let starts = || plan.host_restarts.iter().map(|restart| restart.up);
        let (first, last) = (starts().min().unwrap_or(CALM), starts().max().unwrap_or(CALM));
        let at = chance.random_range(first - DRAINS_FOR.end..=last);
        let action = Action::Restart { second_term: None, pause: CONTROLLER_DOWN_FOR };
        DrillPlan { actions: vec![Scheduled { at, action }], ..plan }
    }
}
