//! Proxies that come back with tables of before, of which they were told no later withdrawal.

use amberarch_core::*;

use crate::fleet::{product, Fleet};

/// The drain grace of [`Fleet`], and its longest transit, in ms.
const DRAIN_GRACE: f64 = 2_000.0;
const MAX_TRANSIT: f64 = 500.0;
/// The bind of the proxy that comes back, for the class that stays in its zone.
const BIND: &str = "bind proxy1 to t3 for 10";

/// Two zones with two hosts and two proxies each, and a class that may leave its zone beside one that may not. The first
/// proxy of the second zone has left.
fn with_a_proxy_away() -> Fleet {
    let stays = RequestClass { home_zone_only: true, ..product(Idempotency::Idempotent) };
    let mut fleet = Fleet::with(2, 4, vec![product(Idempotency::Idempotent), stays], LevelKind::Off);
    (0..4).for_each(|proxy| fleet.join(proxy));
    fleet.run(5);
    fleet.catch_up(4);
    assert!(fleet.take_trace().contains(BIND));
    fleet.send(&[Event::ProxyLeft { proxy: ProxyId(1) }]);
    fleet
}

/// The proxy comes back. Returns how long it takes until it is bound for the class that stays in its zone, in ms.
fn bound_after_coming_back(fleet: &mut Fleet) -> f64 {
    let joined_at = fleet.now;
    fleet.trace.clear();
    fleet.join_all(&[(1, false)]);
    while !fleet.trace.contains(BIND) {
        assert!(fleet.now < joined_at + 10_000.0, "not bound:\n{}", fleet.trace);
        fleet.run(1);
        fleet.catch_up(4);
    }
    fleet.now - joined_at
}

fn assert_bound_within_its_grace(fleet: &mut Fleet) {
    let waited = bound_after_coming_back(fleet);
    assert!(waited + MAX_TRANSIT <= DRAIN_GRACE, "bound after {waited} ms:\n{}", fleet.trace);
    assert!(!fleet.trace.contains("restore"), "{}", fleet.trace);
}

/// Guards against a proxy that sends to draining hosts past its grace: its table of before names them, and it was not bound
/// while no host of its own table could be used.
#[test]
fn a_proxy_that_comes_back_while_all_hosts_of_its_zone_drain_is_bound_within_its_grace() {
    let mut fleet = with_a_proxy_away();
    [1, 3].iter().for_each(|host| fleet.list_host(*host, Availability::Draining, None));
    assert_bound_within_its_grace(&mut fleet);
}

/// Guards against the same with hosts that are gone by then.
#[test]
fn a_proxy_that_comes_back_after_all_hosts_of_its_zone_left_is_bound_within_its_grace() {
    let mut fleet = with_a_proxy_away();
    [1, 3].iter().for_each(|host| fleet.list_host(*host, Availability::Removed, None));
    fleet.run(10);
    fleet.catch_up(4);
    assert_bound_within_its_grace(&mut fleet);
}

/// Guards against a proxy that alone goes on sending to hosts that have just started and are withdrawn for all others.
#[test]
fn a_proxy_that_comes_back_while_all_hosts_of_its_zone_are_cold_is_bound_within_its_grace() {
    let mut fleet = with_a_proxy_away();
    let started_at = Some(fleet.now);
    [1, 3].iter().for_each(|host| fleet.list_host(*host, Availability::InService, started_at));
    assert_bound_within_its_grace(&mut fleet);
}

/// Guards against a proxy that counts as bound with the first of its classes: a host is then forgotten that it may still
/// hold for another class.
#[test]
fn no_host_is_forgotten_while_a_proxy_is_bound_for_one_class_alone() {
    let mut fleet = with_a_proxy_away();
    let started_at = Some(fleet.now);
    [1, 3].iter().for_each(|host| fleet.list_host(*host, Availability::InService, started_at));
    fleet.trace.clear();
    fleet.join_all(&[(1, false)]);
    fleet.run(1);
    fleet.catch_up(4);
    assert!(fleet.trace.contains("bind proxy1 to t1 for 1\n"), "{}", fleet.trace);
    assert!(!fleet.trace.contains(BIND), "{}", fleet.trace);
    // A host that no table of this controller names for the proxy: it may still hold it for the other class.
    fleet.list_host(0, Availability::Removed, None);
    fleet.run(1);
    fleet.catch_up(4);
    assert!(!fleet.trace.contains("forget host0"), "{}", fleet.trace);
}

/// Guards against a proxy that is left without a host although a warm one could serve it: the bind waits until the host is
/// restored, however little room the channel has.
#[test]
fn a_proxy_whose_warm_host_waits_to_be_restored_is_not_bound_before() {
    const PROXIES: u16 = 24;
    let mut waited = 0;
    for backlog in 60..260 {
        let mut fleet = Fleet::with_channel(1, 2, f64::from(backlog));
        for proxy in 0..PROXIES {
            fleet.join(proxy);
            fleet.catch_up(proxy + 1);
        }
        fleet.probes(1, &[ProbeOutcome::Unreachable; 3]);
        fleet.catch_up(PROXIES);
        fleet.send(&[Event::ProxyLeft { proxy: ProxyId(0) }]);
        if !fleet.take_trace().contains("withdraw host1") {
            // There was no room for the gate.
            continue;
        }
        // No mark is answered from here on. The last host that is not gated drains, so gates are ignored.
        fleet.list_host(0, Availability::Draining, None);
        fleet.join_all(&[(0, false)]);
        fleet.run(10);
        let before_bind = fleet.trace.split("bind proxy0").next().unwrap_or_default();
        let is_bound = before_bind.len() < fleet.trace.len();
        assert!(!is_bound || before_bind.contains("restore host1"), "backlog {backlog}:\n{}", fleet.trace);
        waited += u32::from(!is_bound);
    }
    assert!(waited > 0, "the channel always had room");
}
