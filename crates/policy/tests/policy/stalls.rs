//! What counts as waiting in the channel, and the orders that have to wait for it.

use amberarch_core::*;

use crate::fleet::Fleet;

const PROXIES: u16 = 24;

impl Fleet {
    /// The proxy answers the last mark.
    fn answers(&mut self, proxy: u16) {
        let applied = Event::Applied { proxy: ProxyId(proxy), mark: self.mark, took: 300.0 };
        self.say(&[applied]);
    }

    /// Runs until something is traced that holds that; gives how long it took in ms.
    fn until(&mut self, what: &str, most: f64) -> f64 {
        let begun = self.now;
        while !self.trace.contains(what) {
            assert!(self.now < begun + most, "no {what} in {most} ms:\n{}", self.trace);
            self.run(1);
        }
        self.now - begun
    }
}

/// All proxies are bound and none has answered; a host drains and its withdrawal finds no room.
fn filled() -> Fleet {
    let mut fleet = Fleet::with_channel(1, 6, 420.0);
    (0..PROXIES).for_each(|proxy| fleet.join(proxy));
    fleet.run(1);
    fleet.trace.clear();
    fleet.list(0, Standing::Draining, None);
    assert!(!fleet.trace.contains("withdraw"), "{}", fleet.trace);
    fleet
}

/// Guards against drains that wait for good behind lines whose answers were lost: one proxy is bound again, and its answer
/// shows that all before it has left.
#[test]
fn a_drain_behind_answers_that_were_lost_goes_once_a_probe_is_answered() {
    let mut fleet = filled();
    let waited = fleet.until("bind", 3_000.0);
    // Twice the longest transit after the last message, which was written one tick before the drain.
    assert!((800.0..=1_000.0).contains(&waited), "{waited}");
    assert_eq!(fleet.trace.lines().count(), 1, "{}", fleet.trace);
    let bound: u16 =
        fleet.trace.split("proxy").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    fleet.answers(bound);
    assert!(fleet.until("withdraw host0", 3_000.0) <= 400.0);
}

/// Guards against probes that fill the channel they ask about: each waits twice as long as the one before, goes to another
/// proxy, and all of them together use what drains leave of the backlog.
#[test]
fn probes_without_an_answer_are_few_and_go_to_different_proxies() {
    let mut fleet = filled();
    fleet.run(300);
    let bound: Vec<&str> = fleet.trace.lines().filter(|line| line.contains(" bind ")).collect();
    assert_eq!(fleet.trace.lines().count(), bound.len(), "nothing but probes:\n{}", fleet.trace);
    assert!((1..=3).contains(&bound.len()), "{bound:#?}");
    let whom: std::collections::BTreeSet<&str> =
        bound.iter().filter_map(|line| line.split(' ').nth(2)).collect();
    assert_eq!(whom.len(), bound.len());
}

/// Guards against probes where the channel moves: answers come, late as they may be.
#[test]
fn a_channel_that_is_slow_and_answers_gets_no_probe() {
    let mut fleet = filled();
    fleet.trace.clear();
    let mark = fleet.mark;
    for proxy in 0..PROXIES / 2 {
        fleet.run(2);
        let applied = Event::Applied { proxy: ProxyId(proxy), mark, took: 300.0 };
        fleet.say(&[applied]);
        if fleet.trace.contains("withdraw host0") {
            break;
        }
        assert!(!fleet.trace.contains(" bind "), "{}", fleet.trace);
    }
}

/// Guards against a withdrawal from many proxies that finds no room while binds, smaller each, take every piece that comes
/// up: it keeps its place ahead of them.
#[test]
fn a_drain_for_many_is_not_overtaken_by_binds_that_fit() {
    let mut fleet = filled();
    // As many again come from elsewhere and are not bound yet.
    let more: Vec<(u16, bool)> = (PROXIES..2 * PROXIES).map(|proxy| (proxy, false)).collect();
    fleet.trace.clear();
    fleet.join_all(&more);
    let first = fleet.mark;
    for proxy in 0..PROXIES {
        fleet.now += 50.0;
        let applied = Event::Applied { proxy: ProxyId(proxy), mark: first, took: 300.0 };
        fleet.say(&[applied]);
        if fleet.trace.contains("withdraw host0") {
            return;
        }
        assert!(!fleet.trace.contains(" bind "), "overtaken:\n{}", fleet.trace);
    }
    fleet.until("withdraw host0", 1_000.0);
}

/// Guards against orders that pile up for a relay which calls do not get through to, and that reach more proxies than there
/// were when they were decided: gates and routine wait, drains and binds of who is not bound do not.
#[test]
fn while_calls_do_not_get_through_only_what_a_rule_needs_is_decided() {
    let mut fleet = Fleet::new(1, 6);
    (0..2).for_each(|proxy| fleet.join(proxy));
    fleet.run(1);
    fleet.catch_up(2);
    fleet.trace.clear();
    fleet.say(&[Event::Behind { on: true }]);
    fleet.probes(1, &[Outcome::Unreachable; 3]);
    assert!(!fleet.trace.contains("withdraw"), "{}", fleet.trace);
    fleet.list(0, Standing::Draining, None);
    fleet.join(2);
    fleet.run(1);
    assert!(fleet.trace.contains("withdraw host0"), "{}", fleet.trace);
    assert!(fleet.trace.contains("bind proxy2"), "{}", fleet.trace);
    assert!(!fleet.trace.contains("withdraw host1"), "{}", fleet.trace);
    fleet.hear(&[Event::Behind { on: false }]);
    fleet.until("withdraw host1", 300.0);
}

/// 24 proxies at a table of six hosts of which five are gated, and none has answered.
fn with_one_host(backlog: f64) -> Fleet {
    let mut fleet = Fleet::with_channel(1, 6, backlog);
    (0..2).for_each(|proxy| fleet.join(proxy));
    fleet.run(1);
    for host in 1..6 {
        fleet.probes(host, &[Outcome::Unreachable; 3]);
    }
    fleet.catch_up(2);
    let more: Vec<(u16, bool)> = (2..PROXIES).map(|proxy| (proxy, true)).collect();
    fleet.join_all(&more);
    fleet.run(1);
    fleet.trace.clear();
    fleet
}

/// Guards against proxies that have no host while the first that could serve waits like all that comes back: it has the part of
/// the backlog that drains have.
#[test]
fn the_first_host_of_a_table_in_which_nothing_serves_comes_back_as_urgently_as_a_drain_goes() {
    let mut fleet = with_one_host(640.0);
    // The last that served: gates count for nothing now. 562 lines may wait with what goes, and each return takes 24 more.
    fleet.list(0, Standing::Draining, None);
    assert!(fleet.trace.contains("withdraw host0"), "{}", fleet.trace);
    assert!(fleet.trace.contains("restore host1"), "{}", fleet.trace);
    assert!(!fleet.trace.contains("restore host2"), "more than the first:\n{}", fleet.trace);
}

/// Seed 412 of the drills: proxies waited "for a table in which a host serves" for good while nothing waited in the channel,
/// as answers had been lost and no probe was sent. The probe in turn was a bind to a table in which nothing serves; its hosts
/// could be let in only once an answer had come.
#[test]
fn where_no_table_serves_a_probe_goes_all_the_same() {
    let mut fleet = with_one_host(605.0);
    // The last host that served: gates count for nothing now, and what is to be let in finds no room.
    fleet.list(0, Standing::Draining, None);
    assert!(fleet.trace.contains("withdraw host0"), "{}", fleet.trace);
    assert!(!fleet.trace.contains("restore"), "{}", fleet.trace);
    fleet.trace.clear();
    fleet.until(" bind ", 3_000.0);
    let bound: u16 =
        fleet.trace.split("proxy").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    fleet.answers(bound);
    fleet.until("restore host1", 1_000.0);
}

/// Seed 126 of the drills: while hosts drained, 60 to 100 proxies waited 11 s "for room in the channel" to be bound. Calls of
/// gates and returns went first, each to all who were not bound, though a channel that carries 3,800 lines a second needed one
/// second for all binds.
#[test]
fn while_hosts_leave_a_proxy_whose_grace_ends_is_bound_before_gates_go() {
    let mut fleet = Fleet::with_channel(1, 6, 200.0);
    (0..2).for_each(|proxy| fleet.join(proxy));
    fleet.run(1);
    fleet.catch_up(2);
    fleet.list(0, Standing::Draining, None);
    fleet.catch_up(2);
    let more: Vec<(u16, bool)> = (2..PROXIES).map(|proxy| (proxy, false)).collect();
    fleet.trace.clear();
    fleet.join_all(&more);
    fleet.probes(1, &[Outcome::Unreachable; 3]);
    fleet.probes(2, &[Outcome::Unreachable; 3]);
    for _ in 0..10 {
        let applied = |proxy| Event::Applied { proxy: ProxyId(proxy), mark: fleet.mark, took: 300.0 };
        let applied: Vec<Event> = (0..PROXIES).map(applied).collect();
        fleet.say(&applied);
        fleet.run(1);
    }
    let (before, _) = fleet.trace.split_once("withdraw host1").expect("a gate in the end");
    let bound = more.iter().filter(|(proxy, _)| before.contains(&format!("bind proxy{proxy} ")));
    assert_eq!(bound.count(), more.len(), "{}", fleet.trace);
}
