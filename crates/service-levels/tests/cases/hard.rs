use amberarch_core::{Event, HostId, Order, ProxyId, ZoneId};
use amberarch_service_levels::*;
use expect_test::expect;

use crate::night::Fleet;

/// Ten seconds of normal load, then twice as much traffic as the hosts can serve.
fn overloaded_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.run(10_000.0);
    fleet.note("load exceeds capacity twofold");
    fleet.rates = [160.0, 60.0, 20.0];
    fleet
}

#[test]
fn a_burst_takes_one_level_and_gives_it_back() {
    let mut fleet = overloaded_fleet();
    fleet.run(60_000.0);
    assert!(fleet.share(0, 0) < 0.5 && fleet.share(0, 1) == 1.0 && fleet.share(0, 2) == 1.0);
    fleet.note("load returns to normal");
    fleet.rates = [40.0, 30.0, 10.0];
    fleet.run(90_000.0);
    assert!(fleet.sent_shares.values().all(|share| *share == 1.0));
    expect![[r#"
        10.0 s load exceeds capacity twofold
        12.0 s level from=full to=no-extras why="pressure 2.90 over 0.8 in
        70.0 s load returns to normal
        72.0 s level from=no-extras to=full why="what brought it has ended and there is room"
    "#]]
    .assert_eq(&fleet.trace);
}

/// The pressure alternates between just above and just below the threshold for ten minutes.
#[test]
fn reports_that_hover_around_a_threshold_change_a_level_at_most_twice_a_minute() {
    let mut fleet = Fleet::new();
    fleet.run(10_000.0);
    let mut over = 0u32;
    for round in 0..300u32 {
        // A fixed pattern without a period of its own.
        let pressure = if (round * round / 7) % 3 == 0 { 0.75 } else { 0.85 };
        over += u32::from(pressure > 0.8);
        for _ in 0..5 {
            fleet.now += 400.0;
            fleet.evaluate();
        }
        for zone in 0..2 {
            fleet.report_zone(zone, [40.0, 30.0, 10.0], 80.0, 0.0, pressure);
        }
    }
    assert!(over > 150);
    let changes = fleet.levels.status().changes;
    assert!(changes.windows(2).all(|pair| pair[1].at - pair[0].at >= MIN_CHANGE_INTERVAL));
    // The pressure never falls below the value at which the level is left.
    assert_eq!(changes.len(), 1);
}

#[test]
fn waves_near_the_dwell_time_and_half_and_twice_of_it_do_not_flap() {
    for period in [15_000.0, 30_000.0, 60_000.0] {
        let mut fleet = Fleet::new();
        fleet.run(10_000.0);
        for wave in 0..(600_000.0 / period) as u32 * 2 {
            fleet.rates = if wave % 2 == 0 { [160.0, 60.0, 20.0] } else { [40.0, 30.0, 10.0] };
            fleet.run(period / 2.0);
        }
        let changes = fleet.levels.status().changes;
        assert!(
            changes.windows(2).all(|pair| pair[1].at - pair[0].at >= MIN_CHANGE_INTERVAL),
            "{period}: {changes:?}"
        );
        assert!(changes.len() <= 21, "{period}: {}", changes.len());
    }
}

/// The last report of a stalled proxy stays in use; its traffic does not count as zero.
#[test]
fn a_stalled_proxy_hides_no_load_and_overlapping_faults_lead_to_one_level() {
    let mut fleet = Fleet::new();
    fleet.run(10_000.0);
    fleet.stalled_proxies = vec![0];
    fleet.note("one proxy stalls, all hosts run at half capacity");
    fleet.capacity = [25_000.0; 2];
    fleet.run(20_000.0);
    let demand: f64 = fleet.levels.status().zones[&ZoneId(0)].arrival_rates.values().sum();
    assert!((demand - 80.0).abs() < 8.0, "{demand}");
    fleet.run(40_000.0);
    // One level is in force in both zones; how much is shed is decided per zone.
    assert_eq!(fleet.levels.status().shares.len(), 6);
    expect![[r#"
        10.0 s one proxy stalls, all hosts run at half capacity
        12.0 s level from=full to=no-extras why="pressure 2.76 over 0.8 in
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_zone_is_cut_while_a_burst_runs_and_the_rest_goes_on() {
    let mut fleet = overloaded_fleet();
    fleet.run(4_000.0);
    fleet.note("zone 1 is partitioned");
    fleet.partitioned_zones = vec![1];
    fleet.run(60_000.0);
    assert_ne!(fleet.level(), "full");
    fleet.note("the burst ends, the partition remains");
    fleet.rates = [40.0, 30.0, 10.0];
    fleet.run(60_000.0);
    // Nothing is known about zone 1, and missing data does not satisfy a condition to leave.
    assert_ne!(fleet.level(), "full");
    fleet.note("the partition ends");
    fleet.partitioned_zones.clear();
    fleet.run(90_000.0);
    assert_eq!(fleet.level(), "full");
    expect![[r#"
        10.0 s load exceeds capacity twofold
        12.0 s level from=full to=no-extras why="pressure 2.90 over 0.8 in
        14.0 s zone 1 is partitioned
        74.0 s the burst ends, the partition remains
        134.0 s the partition ends
        142.0 s level from=no-extras to=full why="what brought it has ended and there is room"
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn missing_reports_lift_no_level() {
    let mut fleet = overloaded_fleet();
    fleet.run(20_000.0);
    let at = fleet.level();
    assert_ne!(at, "full");
    let sent_shares = fleet.sent_shares.clone();
    fleet.partitioned_zones = vec![0, 1];
    fleet.rates = [40.0, 30.0, 10.0];
    fleet.run(300_000.0);
    assert_eq!(fleet.level(), at);
    // The old figures expire eventually; the bounds that were sent stay.
    assert_eq!(fleet.sent_shares, sent_shares);
}

#[test]
fn duplicate_or_reordered_reports_are_no_further_evidence() {
    let traces = [1, 3].map(|times| {
        let mut fleet = overloaded_fleet();
        fleet.report_copies = times;
        fleet.run(40_000.0);
        fleet.trace
    });
    assert_eq!(traces[0], traces[1]);
    // One round above the threshold, reported repeatedly, enters no level; nor do a few reports far above
    // it.
    let mut fleet = Fleet::new();
    fleet.run(10_000.0);
    fleet.report_zone(0, [40.0, 30.0, 10.0], 80.0, 0.1, 0.9);
    let (zone, covered, load) = (ZoneId(0), 2_000.0, amberarch_core::LoadReport::default());
    for host in [0, 2].map(HostId) {
        fleet.hear(Event::HostReport {
            host,
            zone,
            covered,
            tries: 100,
            failed: 100,
            mean_latency: 0.0,
            load,
        });
    }
    for _ in 0..40 {
        fleet.evaluate();
        fleet.now += 40.0;
    }
    fleet.run(10_000.0);
    assert_eq!(fleet.level(), "full", "{}", fleet.trace);
}

/// A level that works removes the pressure that caused it. It must stay in force while the full load would
/// not fit.
#[test]
fn the_level_itself_removes_the_pressure_and_is_not_lifted_for_that() {
    let mut fleet = overloaded_fleet();
    fleet.run(50_000.0);
    let status = fleet.levels.status();
    assert!(status.zones[&ZoneId(0)].values[&Signal::Pressure] < 0.8);
    assert_eq!(status.changes.len(), 1, "{}", fleet.trace);
}

/// Clients that retry refused requests inflate the arrivals. After a long time without overload, admitting
/// more is tried.
#[test]
fn refused_clients_that_retry_do_not_hold_a_level_for_good() {
    let mut fleet = Fleet::new();
    fleet.retry_fraction = 0.9;
    fleet.run(10_000.0);
    fleet.rates = [160.0, 60.0, 20.0];
    fleet.run(30_000.0);
    fleet.note("the burst ends, refused clients retry");
    fleet.rates = [45.0, 30.0, 10.0];
    fleet.run(400_000.0);
    assert_eq!(fleet.level(), "full", "{}", fleet.trace);
}

#[test]
fn a_trial_that_fails_is_repeated_less_and_less_often() {
    // A level that admits at most a fifth of the detail pages, under a load that never fits.
    let mut levels = crate::night::levels();
    levels[1].keep.insert(amberarch_core::ClassId(0), Keep { least: 0.0, most: 0.2 });
    let mut fleet = Fleet::with(levels, true);
    fleet.run(10_000.0);
    fleet.rates = [120.0, 30.0, 10.0];
    fleet.run(1_800_000.0);
    let trials: Vec<f64> = fleet
        .levels
        .status()
        .changes
        .iter()
        .filter(|change| change.why == ChangeReason::Trial)
        .map(|c| c.at)
        .collect();
    assert!((2..=8).contains(&trials.len()), "{trials:?} {}", fleet.trace);
    let gaps: Vec<f64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[1] >= pair[0] - 1_000.0), "{gaps:?}");
}

/// Restarts the controller at each step of a level change down and up. The new one must detect the bounds
/// that the proxies hold.
#[test]
fn a_restart_at_any_step_of_a_change_does_not_jump_to_full() {
    for step in 0..20 {
        let mut fleet = overloaded_fleet();
        fleet.run(2_000.0 * f64::from(step) + 400.0);
        let (prior_shares, shed) = (fleet.sent_shares.clone(), fleet.level() != "full");
        fleet.restart();
        assert!(!fleet.awaiting);
        // Nothing is ordered until the bounds that the proxies hold are known.
        while fleet.level() == "unknown" {
            assert_eq!(fleet.sent_shares, prior_shares, "step {step}");
            fleet.run(400.0);
        }
        assert!(!fleet.awaiting);
        if shed && fleet.sent_shares.values().any(|share| *share < 0.9) {
            assert_ne!(fleet.level(), "full", "step {step}: {}", fleet.trace);
        }
        fleet.run(30_000.0);
        let pressure = fleet.levels.status().zones[&ZoneId(0)].values[&Signal::Pressure];
        assert!(pressure < 1.0, "step {step}: {pressure}");
    }
}

/// Two controllers, each with the proxies of one zone: each detects its own level, and neither changes
/// level because of the other.
#[test]
fn two_controllers_with_different_zones_each_find_their_own_level() {
    let mut fleets = [Fleet::new(), Fleet::new()];
    for (own_zone, fleet) in fleets.iter_mut().enumerate() {
        // The proxies of the other controller never join here.
        for proxy in (0..4u16).filter(|proxy| usize::from(proxy % 2) != own_zone) {
            fleet.hear(Event::ProxyLeft { proxy: ProxyId(proxy) });
        }
        fleet.partitioned_zones = vec![1 - own_zone as u16];
        fleet.run(10_000.0);
        fleet.rates = if own_zone == 0 { [160.0, 60.0, 20.0] } else { [50.0, 30.0, 10.0] };
        fleet.run(120_000.0);
    }
    assert_eq!(
        (fleets[0].level(), fleets[1].level()),
        ("no-extras".into(), "full".into()),
        "{}{:?}",
        fleets[0].trace,
        fleets[0].levels.status()
    );
    assert!(fleets.iter().all(|fleet| fleet.levels.status().changes.len() <= 1));
}

#[test]
fn a_pinned_level_meets_an_emergency() {
    let mut fleet = Fleet::new();
    fleet.run(10_000.0);
    assert!(fleet.levels.pin(fleet.now, "nowhere", 1e9).unwrap_err().contains("no-extras"));
    fleet.levels.pin(fleet.now, "no-extras", fleet.now + 120_000.0).unwrap();
    fleet.run(10_000.0);
    assert_eq!(fleet.level(), "no-extras");
    fleet.note("most tries fail");
    fleet.capacity = [6_000.0; 2];
    fleet.run(20_000.0);
    assert_eq!(fleet.level(), "writes-only");
    fleet.note("capacity is restored");
    fleet.capacity = [60_000.0; 2];
    fleet.run(60_000.0);
    assert_eq!(fleet.level(), "no-extras", "the pin holds");
    fleet.run(60_000.0);
    assert_eq!(fleet.level(), "full");
    expect![[r#"
        10.4 s level pinned=no-extras for_s=120
        10.4 s level from=full to=no-extras why="pinned until 130 s"
        20.0 s most tries fail
        25.2 s level from=no-extras to=writes-only why="emergency voided 0.67 over 0.6 in
        40.0 s capacity is restored
        55.2 s level from=writes-only to=no-extras why="pinned until 130 s"
        130.0 s level from=no-extras to=full why="the pin has ended"
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn withdrawn_hosts_count_as_out_and_an_emergency_may_come_early_once() {
    let mut fleet = overloaded_fleet();
    fleet.run(12_000.0);
    assert_eq!(fleet.level(), "no-extras");
    fleet.note("most hosts of zone 0 fail");
    for host in [0, 2] {
        fleet.levels.record_order(&Order::Withdraw { host: HostId(host), withdrawn: true });
    }
    fleet.capacity[0] = 8_000.0;
    fleet.run(12_000.0);
    let status = fleet.levels.status();
    assert!((status.zones[&ZoneId(0)].values[&Signal::Out] - 2.0 / 3.0).abs() < 1e-9);
    assert_eq!(fleet.level(), "writes-only");
    let gap = status.changes[1].at - status.changes[0].at;
    assert!(
        gap < MIN_CHANGE_INTERVAL && matches!(status.changes[1].why, ChangeReason::Emergency(..)),
        "{:?}",
        status.changes
    );
}

#[test]
fn a_dry_run_evaluates_and_logs_but_sends_no_bounds() {
    let mut fleet = Fleet::new();
    let ladder = Ladder::new(crate::night::levels(), &crate::night::products()).unwrap();
    let sums = amberarch_core::ReportSettings { interval: crate::night::REPORT_PERIOD, max_lines_per_s: 1e3 };
    let products = crate::night::products().into_iter().map(|one| one.1).collect();
    fleet.levels = ServiceLevels::new(ladder, 2, products, &sums, false);
    // The new instance has received no events, so the host list and the proxies are sent again.
    let mut other = Fleet::new();
    std::mem::swap(&mut fleet.levels, &mut other.levels);
    other.reconnect();
    other.run(10_000.0);
    other.rates = [160.0, 60.0, 20.0];
    other.run(20_000.0);
    assert!(other.sent_shares.is_empty());
    assert!(other.trace.contains("from=full to=no-extras (not acted on)"), "{}", other.trace);
}
