//! Soak test: drills drawn from seeds, with series of signals and bursts of joining proxies, checked for
//! drains, the channel's limits, proxies without a host, restarts, and calls after the end. Runs a few
//! fixed seeds; `AMBERARCH_SOAK_SEEDS=A..B` runs others, in groups.

#[path = "../drill/mod.rs"]
mod drill;

use std::ops::Range;

use amberarch_rig::drill::{DrillPlan, Drilled};
use drill::{outcome, print_details, run_all, Outcome};

/// How long the faults of a drill last, ms.
const FAULTS: u64 = 16_000;
const SEEDS: Range<u64> = 1..9;
/// How many drills run at a time.
const SIDE_BY_SIDE: usize = 8;

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("AMBERARCH_SOAK_SEEDS") else { return SEEDS };
    let (from, to) = range.split_once("..").expect("seeds as A..B");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// The number of reloads in a drill; each process logs its counters as it ends.
fn reloads(log: &str) -> u64 {
    let counted = log.split(" reloads=").skip(1).filter_map(|rest| rest.split(' ').next());
    counted.filter_map(|count| count.parse::<u64>().ok()).sum()
}

/// The combined results of all drills.
#[derive(Default)]
struct SoakResults {
    kept: usize,
    broken: Vec<(u64, Vec<String>)>,
    void: Vec<u64>,
    restarts: u64,
    late_restarts: u64,
    /// Checked spans without a host at a proxy, and checked calls.
    spans_without_host: u64,
    calls: u64,
    /// Reloads that moved discovery and the relay, as counted by the controllers.
    reloads: u64,
}

impl SoakResults {
    fn add(&mut self, plan: &DrillPlan, drilled: &Drilled) {
        let seed = plan.settings.seed;
        let outcome = outcome(drilled);
        let slowest = drilled.verdicts.slowest_restart_ms;
        println!("seed {seed}: {outcome:?}, lag {:?}, slowest restart {slowest:.0} ms", drilled.lag);
        println!("  {:?}, {:?}", plan.actions, plan.crowds);
        if outcome == Outcome::Void {
            self.void.push(seed);
            return;
        }
        self.restarts += drilled.verdicts.restarts.looked;
        self.late_restarts += drilled.verdicts.restarts.count();
        self.spans_without_host += drilled.verdicts.no_host.looked;
        self.calls += drilled.verdicts.after_end.looked;
        self.reloads += reloads(&drilled.log);
        match outcome {
            Outcome::Broken(wrong) => {
                print_details(plan, drilled);
                self.broken.push((seed, wrong));
            }
            Outcome::Kept | Outcome::Void => self.kept += 1,
        }
    }

    fn assert_kept(&self) {
        let SoakResults { kept, broken, void, restarts, late_restarts, .. } = self;
        let SoakResults { spans_without_host, calls, reloads, .. } = self;
        println!(
            "{kept} kept, {} broken, {} void {void:?}, {late_restarts} of {restarts} restarts late",
            broken.len(),
            void.len()
        );
        println!("{reloads} reloads, {calls} calls and {spans_without_host} spans without a host looked at");
        assert!(broken.is_empty(), "{broken:#?}");
        assert!(late_restarts * 10 <= *restarts, "{late_restarts} of {restarts} restarts late");
        assert!(kept > &void.len(), "most drills were void: {void:?}");
        // A soak without any of these events checks nothing about them.
        assert!(
            *restarts > 0 && *reloads > 0 && *calls > 0,
            "{restarts} restarts, {reloads} reloads, {calls} calls"
        );
    }
}

/// Guards against broken rules under combinations of faults that no other test lists: they are drawn from
/// seeds.
#[test]
fn drills_with_signals_and_crowds_keep_the_rules() {
    let seeds: Vec<u64> = seeds().collect();
    let mut results = SoakResults::default();
    for group in seeds.chunks(SIDE_BY_SIDE) {
        let plans: Vec<DrillPlan> = group.iter().map(|seed| DrillPlan::soak(*seed, FAULTS)).collect();
        let drilled = run_all(&plans);
        plans.iter().zip(&drilled).for_each(|(plan, drilled)| results.add(plan, drilled));
    }
    results.assert_kept();
}
