//! What any day of the emulator must show, whatever decides.

use amberarch_core::{LevelKind, ZoneId};
use amberarch_emulator::{apart, Day, Fault, Reports, Shape, Trouble, World};

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
    let levelled = play(Shape { levels: LevelKind::Share, ..short(1.6) }, vec![], Reports::Off, 1);
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
    // Orders have something to tell all day, so that who does not read them shows.
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
            // But for those under way when the day ends, one answer each.
            assert!(ended <= fate.came && fate.came - ended < 1_500, "{fate:?}");
        }
    }
}

/// What waited through a cut is tens of seconds old when it comes: no table follows it.
#[test]
fn reports_that_a_cut_held_back_move_no_table() {
    let faults = || vec![fault(6_000.0, 24_000.0, Trouble::Cut { zone: ZoneId(1) })];
    let shape = || Shape { use_of_cores: 0.3, ..short(0.3) };
    let day = World::new(shape(), faults(), Reports::On { each: 5.0 }, 6).beside(Reports::Off).play();
    let after: Vec<f64> = apart(&day.shares, &day.beside[0]).into_iter().skip(20).collect();
    assert!(after.iter().all(|part| *part < 1e-9), "{after:?}");
}
