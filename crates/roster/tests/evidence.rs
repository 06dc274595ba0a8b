//! Evidence about hosts merged in any order, and restarts with saved lists of different ages.

use amberarch_roster::*;
use expect_test::expect;
use proptest::collection::vec;
use proptest::prelude::*;

const NOW: f64 = 1e12;
const MINUTE: f64 = 60_000.0;
const DAY: f64 = 24.0 * 60.0 * MINUTE;

fn row(dial: &str, health: Health) -> Row {
    let (dial, zone, kind) = (dial.into(), "teika".into(), "m2".into());
    Row { dial, zone, kind, pod: 1, weight: 1.0, born: 0.0, health }
}

fn member(host: &str, dial: &str, health: Health, seq: u64, age: f64) -> Member {
    let told = Told { epoch: 0, seq, at: NOW - age, source: Source::Discovery, row: row(dial, health) };
    Member::new(host.into(), told)
}

fn roster(members: &[Member]) -> Roster {
    let mut roster = Roster::new(NOW);
    roster.restore(members.to_vec());
    roster
}

fn emitted(roster: &mut Roster, now: f64) -> String {
    let rows = roster.emit(now);
    let text: Vec<String> =
        rows.iter().map(|(host, row)| format!("{host} {:?} at {}", row.health, row.dial)).collect();
    text.join(", ")
}

#[test]
fn a_list_of_a_minute_serves_at_once_and_one_of_a_day_only_after_two_passes() {
    let mut fresh =
        roster(&[member("a", "1:1", Health::On, 5, MINUTE), member("b", "1:2", Health::Draining, 5, MINUTE)]);
    assert_eq!(emitted(&mut fresh, NOW), "a On at 1:1, b Draining at 1:2");
    assert!(fresh.to_probe(NOW).is_empty());
    let mut old = roster(&[member("a", "1:1", Health::On, 5, DAY), member("b", "1:2", Health::On, 5, DAY)]);
    assert_eq!(emitted(&mut old, NOW), "");
    assert_eq!(old.to_probe(NOW).len(), 2);
    old.probed(NOW + 5.0, "a", Some(true));
    old.probed(NOW + 5.0, "b", Some(false));
    assert_eq!(emitted(&mut old, NOW + 10.0), "");
    assert_eq!(old.to_probe(NOW + 210.0), [("a".to_string(), "1:1".to_string())]);
    old.probed(NOW + 215.0, "a", Some(true));
    assert_eq!(emitted(&mut old, NOW + 220.0), "a On at 1:1");
    assert_eq!(emitted(&mut old, NOW + 400.0), "", "each change is emitted once");
}

/// The saved list names a host that is gone, and one whose address belongs to another host now.
#[test]
fn a_list_of_yesterday_sends_nothing_to_hosts_that_are_gone() {
    let mut old = roster(&[
        member("gone", "1:1", Health::On, 5, DAY),
        member("moved", "1:2", Health::On, 5, DAY),
        member("dead", "1:3", Health::Gone, 5, DAY),
    ]);
    // The process that now has the address answers the probes; discovery does not answer.
    for at in [0.0, 300.0] {
        old.probed(NOW + at, "moved", Some(true));
    }
    assert_eq!(emitted(&mut old, NOW + 400.0), "moved On at 1:2");
    // Discovery answers again: hosts that it does not name are removed at once, hosts with a new address move.
    old.listed(
        NOW + 1_000.0,
        9,
        true,
        vec![("moved".into(), row("1:9", Health::On)), ("new".into(), row("1:2", Health::On))],
    );
    assert_eq!(emitted(&mut old, NOW + 1_000.0), "moved On at 1:9, new On at 1:2");
    assert_eq!(old.trust(NOW + 1_000.0, "gone"), Trust::Gone);
    for host in ["gone", "dead"] {
        for _ in 0..5 {
            old.probed(NOW + 2_000.0, host, Some(true));
        }
    }
    assert_eq!(emitted(&mut old, NOW + 3_000.0), "", "passed probes do not bring back a host that is gone");
}

#[test]
fn when_all_probes_fail_old_hosts_are_used_but_never_one_known_to_be_gone() {
    let mut old = roster(&[
        member("a", "1:1", Health::On, 5, DAY),
        member("b", "1:2", Health::Gone, 5, DAY),
        member("c", "1:3", Health::On, 5, 8.0 * DAY),
    ]);
    for second in 0..10 {
        old.probed(NOW + 1e3 * f64::from(second), "a", Some(false));
        assert_eq!(emitted(&mut old, NOW + 1e3 * f64::from(second)), "");
    }
    assert_eq!(emitted(&mut old, NOW + 10_000.0), "a On at 1:1");
    assert_eq!(old.trust(NOW, "c"), Trust::Expired);
    // Once discovery has answered, only its list counts.
    old.listed(NOW + 11_000.0, 6, true, vec![]);
    assert_eq!(emitted(&mut old, NOW + 11_000.0), "a Gone at 1:1");
}

#[test]
fn discovery_comes_back_with_an_older_version() {
    let mut roster =
        roster(&[member("a", "1:1", Health::Gone, 50, MINUTE), member("b", "1:2", Health::On, 50, MINUTE)]);
    // An incremental update with a lower version is older than the rows on disk.
    roster.listed(NOW, 40, false, vec![("a".into(), row("1:1", Health::On))]);
    assert_eq!(emitted(&mut roster, NOW), "b On at 1:2");
    // A whole list with a lower version has started over: it replaces the rows on disk.
    roster.listed(NOW + 10.0, 3, true, vec![("a".into(), row("1:1", Health::On))]);
    assert_eq!(emitted(&mut roster, NOW + 10.0), "a On at 1:1, b Gone at 1:2");
    roster.listed(NOW + 20.0, 4, false, vec![("b".into(), row("1:2", Health::On))]);
    assert_eq!(emitted(&mut roster, NOW + 20.0), "b On at 1:2");
}

#[test]
fn a_row_restored_as_draining_is_on_again_with_a_new_start() {
    let mut roster = roster(&[member("a", "1:1", Health::Draining, 5, MINUTE)]);
    assert_eq!(emitted(&mut roster, NOW), "a Draining at 1:1");
    let restarted = Row { born: NOW + 500.0, ..row("1:1", Health::On) };
    roster.listed(NOW + 1_000.0, 6, false, vec![("a".into(), restarted)]);
    assert_eq!(emitted(&mut roster, NOW + 1_000.0), "a On at 1:1");
}

#[test]
fn a_clock_set_back_a_day_makes_nothing_look_fresh() {
    let mut ahead = roster(&[member("a", "1:1", Health::On, 5, -DAY)]);
    assert_eq!(emitted(&mut ahead, NOW), "");
    // The age of its row is unknown, so it counts as expired until discovery names it.
    assert_eq!(ahead.trust(NOW, "a"), Trust::Expired);
    ahead.listed(NOW + 10.0, 6, true, vec![("a".into(), row("1:1", Health::On))]);
    assert_eq!(emitted(&mut ahead, NOW + 10.0), "a On at 1:1");
}

/// All hosts were replaced while the daemon was down.
#[test]
fn an_open_watch_confirms_its_list_and_a_mass_replacement_removes_all_old_hosts() {
    let mut roster = roster(
        &(0..50).map(|n| member(&format!("old-{n}"), "1:1", Health::On, 5, MINUTE)).collect::<Vec<_>>(),
    );
    assert_eq!(roster.emit(NOW).len(), 50);
    let rows = (0..50).map(|n| (format!("new-{n}"), row("1:2", Health::On))).collect();
    roster.listed(NOW + 500.0, 6, true, rows);
    let all = roster.emit(NOW + 500.0);
    let count = |health| all.iter().filter(|(_, row)| row.health == health).count();
    assert_eq!((count(Health::On), count(Health::Gone)), (50, 50));
    let kept = roster.to_keep();
    assert_eq!(kept.len(), 100);
    let kept: Vec<Member> = kept.iter().map(|member| Member::clone(member)).collect();
    // After an hour of answers without changes the saved rows are as recent as the last answer.
    roster.stands(NOW + 60.0 * MINUTE);
    assert!(roster.to_keep().is_empty(), "one record confirms all rows");
    let (kept, stand) = (kept, roster.stand());
    assert_eq!(stand.at, NOW + 60.0 * MINUTE);
    let mut next = Roster::new(NOW + 61.0 * MINUTE);
    next.restore(kept);
    next.restore_stand(stand);
    assert_eq!(next.emit(NOW + 61.0 * MINUTE).len(), 50);
}

#[test]
fn hints_fade_and_end_with_the_process_that_they_tell_of() {
    let hint = |age: f64| {
        let mut one = member("a", "1:1", Health::On, 5, MINUTE);
        one.seen.learnt = Some(LearnedState { at: NOW - age, part: 0.5, shut: true });
        let roster = roster(&[one]);
        roster.hint(NOW, "a").map(|hint| format!("{:.2} {}", hint.part, hint.shut))
    };
    let ages = [1_000.0, MINUTE, 10.0 * MINUTE, 60.0 * MINUTE, DAY];
    let hints: Vec<String> = ages.iter().map(|age| format!("{:?}", hint(*age))).collect();
    expect![[r#"
        Some("0.50 true")
        Some("0.55 false")
        Some("0.82 false")
        None
        None"#]]
    .assert_eq(&hints.join("\n"));
    let mut one = member("a", "1:1", Health::On, 5, MINUTE);
    one.seen.learnt = Some(LearnedState { at: NOW - 1e3, part: 0.5, shut: true });
    let mut roster = roster(&[one]);
    roster.listed(NOW, 6, true, vec![("a".into(), Row { born: NOW - 10.0, ..row("1:1", Health::On) })]);
    assert_eq!(roster.hint(NOW, "a"), None);
    // State learned in this run is not a hint.
    roster.learnt(NOW + 5.0, "a", Some(0.3), None);
    assert_eq!(roster.hint(NOW + 10.0, "a"), None);
}

fn any_member() -> impl Strategy<Value = Member> {
    let health = prop_oneof![Just(Health::On), Just(Health::Draining), Just(Health::Gone)];
    let source = prop_oneof![Just(Source::Given), Just(Source::Discovery)];
    (health, source, 0u64..3, 0u64..4, 0u8..4, 0u8..2, 0u8..3, proptest::option::of((0u8..4, any::<bool>())))
        .prop_map(|(health, source, epoch, seq, at, dial, born, learnt)| {
            let row = Row { born: f64::from(born), ..row(&format!("1:{dial}"), health) };
            let told = Told { epoch, seq, at: f64::from(at), source, row };
            let mut member = Member::new("a".into(), told);
            member.seen.passed_at = f64::from(at * 3 % 4);
            member.seen.learnt = learnt.map(|(at, shut)| LearnedState { at: f64::from(at), part: 0.5, shut });
            member
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn evidence_merges_in_any_order_any_number_of_times(a in any_member(), b in any_member(), c in any_member()) {
        let merge = |a: &Member, b: &Member| a.clone().merge(b.clone());
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
        prop_assert_eq!(merge(&a, &a), a.clone());
        prop_assert_eq!(merge(&merge(&a, &b), &b), merge(&a, &b));
        // Merging never goes back to an older version.
        let both = merge(&a, &b);
        let version = |member: &Member| (member.told.epoch, member.told.seq);
        prop_assert!(version(&both) >= version(&a) && version(&both) >= version(&b));
    }

    /// Whatever evidence arrives: a host that is gone by the newest evidence is never emitted as present, and no row is
    /// emitted twice.
    #[test]
    fn a_host_that_is_gone_is_never_emitted(
        acts in vec((0u8..5, 0u8..4, 1u64..6, 0u8..3, 0.0f64..5_000.0), 1..60),
    ) {
        let mut roster = roster(&[member("h0", "1:0", Health::On, 2, DAY), member("h1", "1:1", Health::On, 2, MINUTE)]);
        let mut now = NOW;
        let mut known = std::collections::BTreeMap::new();
        for (act, host, seq, health, wait) in acts {
            now += wait;
            let name = format!("h{host}");
            let health = [Health::On, Health::Draining, Health::Gone][usize::from(health)];
            match act {
                0 => roster.listed(now, seq, true, vec![(name, row("1:1", health))]),
                1 => roster.listed(now, seq, false, vec![(name, row("1:1", health))]),
                2 => roster.probed(now, &name, Some(true)),
                3 => roster.probed(now, &name, Some(false)),
                _ => roster.stands(now),
            }
            for (host, row) in roster.emit(now) {
                prop_assert!(known.get(&host) != Some(&row), "{host} is emitted twice");
                known.insert(host, row);
            }
            for (host, row) in &known {
                let gone = roster.trust(now, host) == Trust::Gone;
                prop_assert!(!gone || row.health == Health::Gone, "{host} is gone and still emitted as present");
            }
            prop_assert!(roster.emit(now).is_empty());
        }
    }
}
