//! Property tests: the data structures against simple models, under random inputs.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::HostId;
use amberarch_intake::*;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::night::{Sent, Simulation};

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_timer_wheel_fires_each_deadline_once_and_never_early(
        actions in vec((0u32..40, 0u8..4, 0.0f64..600_000.0), 1..200),
    ) {
        let (mut wheel, mut expected) = (TimerWheel::new(1_000.0), BTreeMap::new());
        let mut now = 1_000.0;
        for (key, action, ms) in actions {
            match action {
                0 | 1 => {
                    // Includes distant deadlines, over several rounds of the widest ring in use.
                    let due = now + if action == 0 { ms / 100.0 } else { ms * 50.0 };
                    wheel.set(key, due);
                    expected.insert(key, due);
                }
                2 => {
                    wheel.clear(key);
                    expected.remove(&key);
                }
                _ => {
                    now += ms / 10.0;
                    let mut fired = BTreeSet::new();
                    wheel.advance(now, |key| assert!(fired.insert(key), "{key} fired twice"));
                    for key in &fired {
                        let due = expected.remove(key);
                        prop_assert!(due.is_some_and(|due| due <= now), "{key} due {due:?} fired at {now}");
                    }
                    // A deadline is rounded up to the next tick, never further.
                    let late = expected.iter().find(|(_, due)| **due < now - 32.0);
                    prop_assert!(late.is_none(), "{late:?} not fired at {now}");
                }
            }
            prop_assert_eq!(wheel.len(), expected.len());
        }
    }

    #[test]
    fn the_histogram_is_within_one_percent_and_removes_exactly(
        zones in vec(vec(0.0f64..50.0, 1..60), 1..4),
        part in 0.0f64..1.0,
    ) {
        let mut fleet = Histogram::default();
        for zone in &zones {
            let mut histogram = Histogram::default();
            zone.iter().for_each(|load| histogram.add(*load));
            // Values that were replaced leave no trace.
            zone.iter().for_each(|load| histogram.add(load / 2.0));
            zone.iter().for_each(|load| histogram.remove(load / 2.0));
            fleet.merge(&histogram);
        }
        let mut sorted: Vec<f64> = zones.concat();
        sorted.sort_by(f64::total_cmp);
        let exact = sorted[(part * (sorted.len() - 1) as f64) as usize];
        let found = fleet.quantile(part).expect("something was added");
        prop_assert!((found - exact).abs() <= 0.0101 * exact + 1e-3, "{found} for {exact}");
    }

    #[test]
    fn the_replay_window_takes_each_number_once(start in any::<u32>(), steps in vec(-2_100i64..2_100, 1..300)) {
        let (mut window, mut taken) = (ReplayWindow::default(), BTreeSet::new());
        let (mut newest, mut at) = (None, i64::from(start));
        for step in steps {
            at += step;
            // Numbers before the first received one are within the window as far as it reaches.
            let outcome = window.accept(Seq(at as u32));
            match outcome {
                Ok(()) => prop_assert!(taken.insert(at), "{at} taken twice"),
                Err(Refusal::Repeat) => prop_assert!(taken.contains(&at), "{at} never taken"),
                Err(Refusal::TooFarBack) => prop_assert!(newest.is_some_and(|newest| at <= newest - 1_984)),
                Err(other) => prop_assert!(false, "{other:?}"),
            }
            newest = newest.max(Some(at));
        }
    }

    #[test]
    fn rates_keep_the_budget_and_a_higher_priority_never_gets_less(
        budget in 1.0f64..1e6,
        counts in (0u32..20_000, 0u32..20_000, 0u32..20_000),
    ) {
        let counts = [counts.0, counts.1, counts.2];
        let rates = allocate_rates(budget, counts);
        let sum: f64 = rates.iter().zip(counts).map(|(rate, hosts)| rate * f64::from(hosts)).sum();
        prop_assert!(sum <= budget * 1.000_001, "{sum} of {budget}");
        prop_assert!(rates.windows(2).all(|pair| pair[0] <= pair[1]), "{rates:?}");
        let rounded_sum: f64 = rates.iter().zip(counts).map(|(rate, hosts)| 1e3 / rounded_interval(*rate) * f64::from(hosts)).sum();
        prop_assert!(rounded_sum <= budget * 1.000_001);
        // The whole budget is used where a host could use it.
        let most = rates.iter().zip(counts).all(|(rate, hosts)| hosts == 0 || *rate >= 19.999);
        prop_assert!(most || counts.iter().all(|hosts| *hosts == 0) || sum >= budget * 0.999, "{sum} of {budget}");
    }

    /// With delays of any size in either direction, the true time of an observation lies between the two
    /// bounds.
    #[test]
    fn a_remote_clock_never_dates_an_old_observation_as_new(
        skew in -1e9f64..1e9,
        drift in -1e-4f64..1e-4,
        trips in vec((0.0f64..3_000.0, 0.0f64..400.0, 0.0f64..400.0, 0.0f64..5_000.0), 1..60),
    ) {
        let (mut clock, mut now) = (RemoteClock::default(), 1e6);
        for (pause, there, back, old) in trips {
            now += pause;
            let sent_at = now;
            now += there + back;
            let theirs = |ours: f64| ours + skew + drift * ours;
            let sent = theirs(sent_at + there);
            prop_assert!(clock.update(now, sent, Some(sent_at)), "a drifting clock is not taken for one that jumped");
            let observed = sent_at + there - old;
            if let Some(seen) = clock.to_local(now, theirs(observed)) {
                // The drift within five seconds is half a millisecond.
                prop_assert!(seen.earliest <= observed + 1.0, "{seen:?} for {observed}");
                prop_assert!(seen.latest >= observed - 1.0, "{seen:?} for {observed}");
                prop_assert!(seen.latest - seen.earliest <= 500.0);
            }
        }
    }

    /// Whatever arrives from whichever reporter, the state stays bounded and the estimates valid.
    #[test]
    fn any_input_leaves_the_intake_consistent(
        actions in vec((0u8..6, 0u32..12, 0u64..3, any::<u32>(), -1.0f64..60.0, -5_000.0f64..5_000.0), 1..150),
    ) {
        let mut sim = Simulation::new(8, 50.0);
        let mut echo = None;
        for (action, number, boot, seq, load, ms) in actions {
            let id = ReporterId(number % 5);
            sim.now += ms.abs() / 10.0;
            let now = sim.now;
            match action {
                0 => drop(sim.intake.opened(now, id, &[HostId(number)])),
                1 => sim.intake.closed(id),
                2 => {
                    let hosts: Vec<ListedHost> = (0..number).map(|n| crate::night::host(n, 0)).collect();
                    sim.list(&hosts);
                }
                3 => echo = sim.intake.paces(now, id).map(|paces| paces.echo).or(echo),
                4 => sim.intake.seen(HostId(number), now + ms),
                _ => {
                    let report = |step: u32| Report {
                        host: HostId((number + step) % 14),
                        seq: Seq(seq.wrapping_add(step)),
                        at: now - ms.abs() * f64::from(step),
                        load,
                    };
                    let reports = (0..6).rev().map(report).collect();
                    let sent = Sent { boot: Boot(boot), sent: now, echo, reports };
                    let taken = sim.take(id, &sent);
                    let refused: u32 = taken.refused.iter().sum();
                    prop_assert_eq!(taken.taken + refused, 6);
                }
            }
            sim.tick();
            for (at, estimate) in sim.estimates.values() {
                // A median is exact to 1 %.
                prop_assert!((0.0..=50.5).contains(&estimate.load) && (0.0..=1.0).contains(&estimate.sure), "{estimate:?}");
                prop_assert!(estimate.age >= 0.0 && *at <= now);
            }
            let counts = sim.intake.census();
            prop_assert!(counts.reporters <= 8 && counts.fresh + counts.ageing + counts.silent <= counts.hosts);
        }
    }

    /// Silence moves the estimate toward the fleet's median and never past it.
    #[test]
    fn an_estimate_only_moves_toward_the_median(load in 0.0f64..5.0, others in 0.0f64..5.0) {
        let mut sim = Simulation::new(9, 90.0);
        let mut reporters = [crate::night::TestReporter::new(0, 0..1, load), crate::night::TestReporter::new(1, 1..9, others)];
        reporters.iter().for_each(|reporter| sim.open(reporter));
        sim.run(8_000.0, &mut reporters);
        reporters[0].disconnected = true;
        let mut last = (load - others).abs() + 0.1;
        for _ in 0..100 {
            sim.step(&mut reporters);
            let believed = match sim.intake.estimate(sim.now, HostId(0)) {
                LoadEstimate::Fresh(fresh) => fresh.load,
                LoadEstimate::Ageing(ageing) => ageing.load,
                LoadEstimate::Silent(silent) => silent.median,
                LoadEstimate::Unknown => load,
            };
            let (low, high) = (load.min(others), load.max(others));
            prop_assert!(believed >= 0.985 * low - 0.002 && believed <= 1.015 * high + 0.002);
            let away = (believed - others).abs();
            prop_assert!(away <= last + 0.02 * others + 1e-3, "{away} after {last}");
            last = away;
        }
    }
}
