//! Host lists, revisions and proxies that change at the same time: a simulated run with each, and the
//! judges of two controllers.

use amberarch_core::*;
use amberarch_emulator::{Care, Day, Fault, Reports, Shape, Trouble, World};
use amberarch_residency::{last_rows, there, Judge, Permit, Reach};

const SUBMITS: usize = 1;

/// Submits from any zone are served in these zones alone; pages may be served anywhere.
fn submits(zones: &[u16]) -> Reach {
    let zones: Zones = zones.iter().copied().map(ZoneId).collect();
    let tiers = if zones.is_empty() { vec![] } else { vec![zones] };
    let pair = |from| ((ClassId(SUBMITS as u16), ZoneId(from)), Permit { tiers: tiers.clone() });
    Reach { permits: (0..4).map(pair).collect(), parts: vec![] }
}

/// Hosts of a zone: the index in the list modulo four.
fn hosts_of(zone: u32) -> Vec<u32> {
    (0..24).filter(|host| host % 4 == zone).collect()
}

fn fault(from: f64, until: f64, what: Trouble) -> Fault {
    Fault { from: 1e3 * from, until: 1e3 * until, what }
}

fn relist(hosts: Vec<u32>, rows: &[(u16, f64)]) -> Trouble {
    Trouble::Relist { hosts, rows: rows.iter().map(|(zone, weight)| (ZoneId(*zone), *weight)).collect() }
}

/// Ninety seconds, four zones of six hosts; each reach applies from its second on.
fn day(faults: Vec<Fault>, plan: &[(f64, Reach)]) -> Day {
    let shape = Shape { zones: 4, use_of_cores: 0.4, ..Shape::usual() };
    let plan = plan.iter().map(|(from, reach)| (1e3 * from, reach.clone())).collect();
    let care = Care { judged: true, joint: true, deaf: false };
    let day = World::new(shape, faults, Reports::Off, 28).governed(plan, care).play();
    assert_eq!(day.ruled.outside, 0, "{:?}", day.ruled);
    day
}

/// Fraction of the submits that arrived between these seconds and were served in time.
fn served(day: &Day, from: usize, until: usize) -> f64 {
    let windows = &day.windows[from / 10..until / 10];
    let (earned, offered) = windows
        .iter()
        .map(|window| &window[SUBMITS])
        .fold((0.0, 0.0), |sum, window| (sum.0 + window.earned, sum.1 + window.offered));
    earned / offered
}

#[test]
fn a_host_is_listed_twice_in_two_zones_and_decisions_and_judge_disagree_on_which() {
    // Decisions sort rows by weight: without `last_rows` they would use the lighter row, in a permitted
    // zone, as the last.
    for rows in [[(1, 0.5), (2, 1.0)], [(2, 1.0), (1, 0.5)], [(1, 1.0), (2, 0.5)]] {
        let twice = fault(30.0, 70.0, relist(vec![1, 5], &rows));
        let day = day(vec![twice], &[(0.0, submits(&[1]))]);
        assert_eq!(day.ruled.refused, 0, "{rows:?}: {:?}", day.ruled);
        assert!(served(&day, 10, 90) > 0.95, "{rows:?}: {}", served(&day, 10, 90));
    }
    let row = |host, zone| HostEntry {
        host: HostId(host),
        weight: 1.0,
        zone: ZoneId(zone),
        pod: PodId(0),
        instance_type: InstanceTypeId(0),
        started_at: None,
        availability: Availability::InService,
    };
    let mut rows = vec![row(1, 0), row(2, 0), row(1, 1), row(3, 2), row(1, 2), row(2, 0)];
    last_rows(&mut rows);
    assert_eq!(rows, [row(3, 2), row(1, 2), row(2, 0)]);
}

/// The fourth zone has no hosts at first; the second zone, or a part of it, moves there.
fn empty_fourth() -> Fault {
    fault(0.0, 100.0, relist(hosts_of(3), &[(0, 1.0)]))
}

#[test]
fn a_zone_is_split_and_its_other_half_serves_once_it_is_permitted() {
    let split = fault(30.0, 100.0, relist(vec![1, 5, 9], &[(3, 1.0)]));
    let plan = [(0.0, submits(&[1])), (60.0, submits(&[1, 3]))];
    let day = day(vec![empty_fourth(), split], &plan);
    assert_eq!((day.ruled.refused, day.ruled.in_force), (0, 2), "{:?}", day.ruled);
    // The entries of hosts that moved out of the zone are gone by the end of the grace period.
    assert!(day.ruled.settled_after.iter().all(|after| *after < 2_500.0), "{:?}", day.ruled);
    assert!(served(&day, 10, 30) > 0.95 && served(&day, 70, 90) > 0.95, "{:?}", day.windows);
}

#[test]
fn a_zone_is_renamed_and_its_submits_are_turned_away_until_the_policy_has_the_new_name() {
    let renamed = || fault(40.0, 100.0, relist(hosts_of(1), &[(3, 1.0)]));
    let plan = [(0.0, submits(&[1])), (60.0, submits(&[3]))];
    let late = day(vec![empty_fourth(), renamed()], &plan);
    assert!(served(&late, 10, 40) > 0.95 && served(&late, 70, 90) > 0.95, "{:?}", late.windows);
    assert!(served(&late, 50, 60) == 0.0, "{}", served(&late, 50, 60));
    // If both names are permitted before the change and the old one is removed afterwards, nothing is
    // lost.
    let plan = [(0.0, submits(&[1])), (20.0, submits(&[1, 3])), (60.0, submits(&[3]))];
    let ahead = day(vec![empty_fourth(), renamed()], &plan);
    assert!(served(&ahead, 10, 90) > 0.95, "{:?}", ahead.windows);
    assert_eq!((late.ruled.in_force, ahead.ruled.in_force), (2, 3));
}

#[test]
fn hosts_change_their_zone_while_a_change_is_joint_and_proxies_do_not_read() {
    // The joint reach permits the third zone alone, and lasts until the stalled proxies read again.
    let faults = vec![
        fault(38.0, 60.0, Trouble::Stall { proxies: vec![0, 5] }),
        fault(44.0, 100.0, relist(vec![2, 6], &[(1, 1.0)])),
        fault(46.0, 100.0, relist(vec![1, 5], &[(2, 1.0)])),
    ];
    let day = day(faults, &[(0.0, submits(&[1, 2])), (40.0, submits(&[2, 3]))]);
    assert_eq!(day.ruled.in_force, 2, "{:?}", day.ruled);
    assert!(day.ruled.settled_after.iter().any(|after| *after > 19_000.0), "{:?}", day.ruled);
    assert!(served(&day, 70, 90) > 0.95, "{}", served(&day, 70, 90));
}

#[test]
fn a_revision_permits_nothing_and_what_comes_is_turned_away_at_once() {
    let day = day(vec![], &[(0.0, submits(&[1, 2])), (40.0, submits(&[]))]);
    assert_eq!((day.ruled.in_force, day.ruled.refused), (2, 0), "{:?}", day.ruled);
    assert!(served(&day, 10, 40) > 0.95 && served(&day, 50, 90) == 0.0, "{:?}", day.windows);
    let fate = day.fates[SUBMITS];
    assert!(fate.late < fate.came / 100 && fate.twice == 0, "{fate:?}");
    let pages = day.fates[0];
    assert!(pages.in_time > pages.came * 95 / 100, "{pages:?}");
}

#[test]
fn a_revision_swaps_two_zones_and_nothing_serves_only_while_both_hold() {
    let day = day(vec![], &[(0.0, submits(&[1])), (40.0, submits(&[2]))]);
    assert_eq!((day.ruled.in_force, day.ruled.refused), (2, 0), "{:?}", day.ruled);
    assert!(day.ruled.settled_after.iter().all(|after| *after < 1_000.0), "{:?}", day.ruled);
    assert!(served(&day, 10, 40) > 0.95 && served(&day, 50, 90) > 0.95, "{:?}", day.windows);
    assert!(served(&day, 40, 50) > 0.85, "{}", served(&day, 40, 50));
}

const LINGER: f64 = 5_000.0;
const CLASS: ClassId = ClassId(SUBMITS as u16);
const HOME: ZoneId = ZoneId(0);
const P: ProxyId = ProxyId(0);
const TABLE: TableId = TableId(0);

/// A controller's judge, with hosts 1 and 2 in the zones of their numbers.
fn judge(proxies: &[ProxyId], reach: &Reach) -> Judge {
    let mut judge = Judge::new(2, 1_000.0);
    (1..3).for_each(|at| judge.listed(0.0, HostId(at), ZoneId(at as u16), Availability::InService));
    set_reach(&mut judge, 0.0, reach);
    for proxy in proxies {
        judge.joined(0.0, *proxy, HOME, true);
    }
    judge
}

fn set_reach(judge: &mut Judge, now: f64, reach: &Reach) {
    let hosts = (1..3).map(|at| (ZoneId(at), 1)).collect();
    judge.reach(now, reach.in_use(there(&hosts)));
}

fn entry(host: u32, weight: f64) -> Order {
    Order::SetEntry { table: TABLE, host: HostId(host), weight }
}
fn bind(proxy: ProxyId) -> Order {
    Order::Bind { proxy, table: TABLE, classes: ClassSet::one(CLASS) }
}
fn mark(mark: u16) -> Order {
    Order::Mark { mark: MarkId(mark), all_proxies: true }
}

/// The change waits for all controllers: the state that a proxy has from the controller that it left
/// counts at one of them at all times.
#[test]
fn a_proxy_moves_between_stewards_in_the_midst_of_joint() {
    let (old, new) = (submits(&[1]), submits(&[1, 2]));
    let joint = old.joint(&submits(&[2]));
    let mut first = judge(&[P], &old);
    first.judge(0.0, &[entry(1, 1.0), bind(P), mark(0)]).expect("within");
    first.applied(100.0, P, MarkId(0));
    let mut second = judge(&[], &old);
    second.judge(0.0, &[entry(1, 1.0), mark(0)]).expect("nobody is there");
    for judge in [&mut first, &mut second] {
        judge.answered(judge.place());
        assert_eq!(judge.settled(200.0, LINGER), Ok(()));
        set_reach(judge, 300.0, &joint);
        assert_eq!(
            judge.settled(300.0, LINGER).is_ok(),
            judge.size()[0] == 0,
            "the line is outside of joint"
        );
    }
    // It leaves before it has read the removal of the entry, and the second controller learns of it only
    // later.
    first.left(400.0, P);
    first.judge(450.0, &[entry(1, 0.0), mark(1)]).expect("it narrows");
    first.answered(first.place());
    let settled = |judges: [&mut Judge; 2], now| judges.map(|judge| judge.settled(now, LINGER).is_ok());
    assert_eq!(settled([&mut first, &mut second], 500.0), [false, true], "it holds the line still");
    second.joined(2_000.0, P, HOME, false);
    assert_eq!(settled([&mut first, &mut second], 2_000.0), [false, false]);
    assert!(second.judge(2_000.0, &[bind(P)]).is_err(), "the line there is outside of joint too");
    second.judge(2_100.0, &[entry(1, 0.0), bind(P), mark(1)]).expect("in this order");
    assert_eq!(settled([&mut first, &mut second], 400.0 + LINGER), [true, false], "it has not read on");
    second.applied(6_000.0, P, MarkId(1));
    assert_eq!(settled([&mut first, &mut second], 6_000.0), [true, true]);
    // It comes back to the first controller once the new reach is in force, with an entry of the second's
    // that is within it.
    set_reach(&mut first, 7_000.0, &new);
    first.joined(8_000.0, P, HOME, false);
    assert!(first.settled(8_000.0, LINGER).is_err());
    first.judge(8_000.0, &[entry(2, 1.0), bind(P), mark(2)]).expect("within");
    first.applied(8_100.0, P, MarkId(2));
    assert_eq!(first.settled(8_100.0, LINGER), Ok(()));
}

#[test]
fn marks_of_joint_are_lost_and_it_lasts_until_a_later_one_is_answered() {
    let old = submits(&[1]);
    let all = [P, ProxyId(1)];
    let mut judge = judge(&all, &old);
    judge.judge(0.0, &[entry(1, 1.0), bind(P), bind(ProxyId(1)), mark(0)]).expect("within");
    all.iter().for_each(|proxy| judge.applied(100.0, *proxy, MarkId(0)));
    judge.answered(judge.place());
    set_reach(&mut judge, 300.0, &old.joint(&submits(&[2])));
    for number in 1..40 {
        let now = 300.0 + 50.0 * f64::from(number);
        judge.judge(now, &[entry(1, 0.0), mark(number)]).expect("it narrows");
        judge.answered(judge.place());
        // All answers of one proxy, and every second answer of the other, are lost.
        if number % 2 == 0 {
            judge.applied(now, P, MarkId(number));
        }
        assert_eq!(
            judge.settled(now, LINGER).expect_err("one has not answered").proxy,
            ProxyId(u16::from(number > 1))
        );
    }
    judge.judge(60_000.0, &[entry(1, 0.0), mark(40)]).expect("it narrows");
    assert!(judge.settled(60_000.0, LINGER).is_err(), "silence proves nothing");
    judge.applied(60_100.0, ProxyId(1), MarkId(40));
    assert_eq!(judge.settled(60_100.0, LINGER), Ok(()));
}
