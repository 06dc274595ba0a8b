//! Properties that every emulated day must have, whatever makes the decisions.

use amberarch_core::{ClassId, LevelKind, RetryPolicy, ZoneId};
use amberarch_emulator::{apart, Day, Fault, Reports, Shape, Trouble, World};
use amberarch_service_levels::{Condition, Keep, Ladder, Level, Signal};

fn short(use_of_cores: f64) -> Shape {
    Shape { use_of_cores, lasts: 30_000.0, ..Shape::usual() }
}

fn fault(from: f64, until: f64, what: Trouble) -> Fault {
    Fault { from, until, what }
}

fn play(shape: Shape, faults: Vec<Fault>, reports: Reports, seed: u64) -> Day {
    World::new(shape, faults, reports, seed).play()
}

#[test]
fn a_day_is_its_seed_alone() {
    let day = |seed| play(short(0.5), vec![], Reports::On { each: 2.0 }, seed);
    let (one, again, other) = (day(3), day(3), day(4));
    assert_eq!((&one.fates, &one.shares, one.taken), (&again.fates, &again.shares, again.taken));
    assert_ne!(one.fates, other.fates);
}

#[test]
fn a_steward_beside_changes_nothing_and_agrees_where_it_hears_the_same() {
    let faults = || vec![fault(8_000.0, 20_000.0, Trouble::Slow { hosts: vec![1, 2], part: 0.3 })];
    let reports = Reports::On { each: 5.0 };
    let alone = play(short(0.6), faults(), reports, 5);
    let beside = World::new(short(0.6), faults(), reports, 5).beside(reports).beside(Reports::Off).play();
    assert_eq!(alone.fates, beside.fates);
    assert!(apart(&beside.shares, &beside.beside[0]).iter().all(|part| *part < 1e-9));
    assert!(apart(&beside.shares, &beside.beside[1]).iter().any(|part| *part > 0.01));
}

#[test]
fn more_work_than_cores_is_felt_and_levels_keep_what_earns_more() {
    let calm = play(short(0.5), vec![], Reports::Off, 1);
    assert!(calm.service() > 0.98, "{}", calm.service());
    let over = play(short(1.6), vec![], Reports::Off, 1);
    assert!(over.service() < 0.5, "{}", over.service());
    let levelled = play(Shape { levels: LevelKind::Fraction, ..short(1.6) }, vec![], Reports::Off, 1);
    assert!(levelled.service() > over.service() + 0.1, "{} and {}", levelled.service(), over.service());
    let kept = |product: usize| {
        let fate = levelled.fates[product];
        1.0 - f64::from(fate.declined) / f64::from(fate.came)
    };
    assert!(kept(1) > kept(0), "submits {} beside pages {}", kept(1), kept(0));
}

#[test]
fn each_trouble_is_felt_and_a_once_only_txn_never_runs_twice() {
    let zone = |zone: u32| (0..24).filter(|host| host % 3 == zone).collect::<Vec<u32>>();
    let troubles = [
        Trouble::Slow { hosts: zone(1), part: 0.3 },
        Trouble::Burst { times: 2.2 },
        Trouble::Restart { hosts: zone(2) },
        Trouble::Cut { zone: ZoneId(0) },
        Trouble::Stall { proxies: (0..12).collect() },
    ];
    // There are orders throughout the day, so a proxy that does not read them is noticed.
    let slow = || fault(4_000.0, 30_000.0, Trouble::Slow { hosts: vec![0, 4, 8], part: 0.4 });
    let calm = play(short(0.6), vec![slow()], Reports::On { each: 2.0 }, 2);
    for trouble in troubles {
        let day = play(
            short(0.6),
            vec![slow(), fault(8_000.0, 16_000.0, trouble.clone())],
            Reports::On { each: 2.0 },
            2,
        );
        let felt = day.service() < calm.service() - 0.005 || day.shares != calm.shares;
        assert!(felt, "{trouble:?}: {} beside {}", day.service(), calm.service());
        assert_eq!(day.fates[1].twice, 0, "{trouble:?}");
        for fate in &day.fates {
            let ended = fate.declined + fate.in_time + fate.late + fate.voided;
            // Each txn has exactly one outcome, except for those in progress when the day ends.
            assert!(ended <= fate.came && fate.came - ended < 1_500, "{fate:?}");
        }
    }
}

/// Reports held back by a network cut are tens of seconds old when they arrive: no table follows them.
#[test]
fn reports_that_a_cut_held_back_move_no_table() {
    let faults = || vec![fault(6_000.0, 24_000.0, Trouble::Cut { zone: ZoneId(1) })];
    let shape = || Shape { use_of_cores: 0.3, ..short(0.3) };
    let day = World::new(shape(), faults(), Reports::On { each: 5.0 }, 6).beside(Reports::Off).play();
    let after: Vec<f64> = apart(&day.shares, &day.beside[0]).into_iter().skip(20).collect();
    assert!(after.iter().all(|part| *part < 1e-9), "{after:?}");
}

/// Levels: full service, one that sheds details, and one for emergencies that sheds pages too.
fn ladder(shape: &Shape) -> Ladder {
    let on = |signal, value, lasting| Condition { signal, value, lasting };
    let quiet = vec![on(Signal::Pressure, 0.45, 6_000.0), on(Signal::Voided, 0.05, 6_000.0)];
    let level = |name: &str, least: &[f64], enter: Vec<Condition>, emergency| Level {
        name: name.into(),
        keep: (0..)
            .map(ClassId)
            .zip(least)
            .map(|(id, least)| (id, Keep { least: *least, most: 1.0 }))
            .collect(),
        tries: RetryPolicy::AfterProof,
        leave: if enter.is_empty() { vec![] } else { quiet.clone() },
        enter,
        stay: 20_000.0,
        emergency,
        force: false,
    };
    let levels = vec![
        level("full", &[], vec![], false),
        level("no-extras", &[0.0], vec![on(Signal::Pressure, 0.8, 0.0)], false),
        level("writes-only", &[0.0, 0.0], vec![on(Signal::Voided, 0.5, 4_000.0)], true),
    ];
    let names = ["detail-page", "results-page", "tally-submit"].map(String::from);
    let products: Vec<_> = names.into_iter().zip(shape.products.iter().map(|one| one.0.clone())).collect();
    Ladder::new(levels, &products).expect("a ladder that can serve")
}

/// A night without and with named levels, and when each level started and whether as an emergency.
fn night(shape: &Shape, faults: &[Fault]) -> (Day, Day, Vec<(f64, String, bool)>) {
    let own = World::new(shape.clone(), faults.to_vec(), Reports::Off, 9).play();
    let named =
        World::new(shape.clone(), faults.to_vec(), Reports::Off, 9).levelled(ladder(shape), true).play();
    let to = |text: &str| text.split(" to=").nth(1).and_then(|rest| rest.split(' ').next()).map(String::from);
    let changes =
        named.said.iter().filter_map(|(at, text)| Some((*at, to(text)?, text.contains("\"emergency"))));
    let changes: Vec<_> = changes.collect();
    for pair in changes.windows(2) {
        assert!(pair[1].2 || pair[1].0 - pair[0].0 >= 30_000.0 - 1e-6, "{changes:?}");
    }
    (own, named, changes)
}

/// Also guards against a permanent outage: with every zone down, tables held the neighbours' hosts. Their entries were
/// removed only once all returning hosts served, while cold hosts were restored only once those entries were removed.
#[test]
fn all_hosts_restart_at_once_and_levels_end_at_full_service() {
    let shape = Shape { lasts: 150_000.0, ..Shape::election() };
    let restart = fault(20_000.0, 24_000.0, Trouble::Restart { hosts: (0..24).collect() });
    let (own, named, changes) = night(&shape, &[restart]);
    assert!(own.windows[10].iter().all(|of| of.earned > 0.8 * of.offered), "{:?}", own.windows[10]);
    assert!(!changes.is_empty());
    assert_eq!(changes.last().map(|change| change.1.as_str()), Some("full"), "{changes:?}");
    assert!(named.service() > own.service() - 0.02, "{} and {}", named.service(), own.service());
    assert_eq!(named.fates[2].twice, 0);
}

/// Orders take longer than a report interval: levels take effect late, and must not be raised further before they do.
#[test]
fn a_channel_that_is_too_slow_for_a_change_brings_no_flapping() {
    let shape = Shape { lasts: 150_000.0, transit: 5_000.0, ..Shape::election() };
    let burst = fault(30_000.0, 90_000.0, Trouble::Burst { times: 2.2 });
    let (own, named, changes) = night(&shape, &[burst]);
    assert!((1..=5).contains(&changes.len()), "{changes:?}");
    assert!(named.service() > own.service() - 0.02, "{} and {}", named.service(), own.service());
}
