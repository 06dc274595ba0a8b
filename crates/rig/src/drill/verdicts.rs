//! Results of the history checks of a drill, one per rule.

use amberarch_histories::{
    CallsAfterEnd, ColdLoad, ColdLoadBounds, DrainBounds, Drains, Line, NoHost, NoHostBounds, Readiness,
    Verdict, Violation,
};

use super::lag::LAG_MOST;
use super::settings::{Settings, EMPTY_FOR, SLACK, WARMUP};

/// Requirement: nine of ten restarted controllers are ready within 10 s.
const READY_WITHIN: f64 = 10_000.0;

pub struct Verdicts {
    /// Proxies that could send to hosts for too long after the hosts had left.
    pub drains: Verdict,
    /// Proxies without a host for too long.
    pub no_host: Verdict,
    /// Cold hosts that were sent more than they survive.
    pub cold_load: Verdict,
    /// The largest load of a cold host, as a multiple of its capacity.
    pub largest_cold_load: f64,
    /// Late restarts; they break the rule only if more than one in ten is late.
    pub restarts: Verdict,
    pub slowest_restart_ms: f64,
    /// Calls received after the end of the process.
    pub after_end: Verdict,
}

impl Verdicts {
    pub fn of(history: &[Line], settings: &Settings) -> Verdicts {
        let mut drains = Drains::new(DrainBounds { grace: settings.drain_grace, slack: SLACK });
        let mut no_host = NoHost::new(NoHostBounds { empty_for: EMPTY_FOR, slack: SLACK });
        let mut cold_load = ColdLoad::new(ColdLoadBounds {
            initial_capacity: WARMUP.initial_capacity,
            warmup: WARMUP.duration,
            failure_load: WARMUP.failure_load,
            failure_after: WARMUP.failure_after,
            grace: settings.drain_grace,
            slack: SLACK,
        });
        let mut restarts = Readiness::new(READY_WITHIN);
        // A drill whose own thread is delayed for longer is void.
        let mut after_end = CallsAfterEnd::new(LAG_MOST.as_secs_f64() * 1e3);
        for line in history {
            drains.feed(line);
            no_host.feed(line);
            cold_load.feed(line);
            restarts.feed(line);
            after_end.feed(line);
        }
        Verdicts {
            drains: drains.finish(),
            no_host: no_host.finish(),
            largest_cold_load: cold_load.largest(),
            cold_load: cold_load.finish(),
            slowest_restart_ms: restarts.slowest(),
            restarts: restarts.finish(),
            after_end: after_end.finish(),
        }
    }

    /// Violations of the rules that apply to a single drill.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        let verdicts = [&self.drains, &self.no_host, &self.cold_load, &self.after_end];
        verdicts.into_iter().flat_map(|verdict| &verdict.violations)
    }
}
