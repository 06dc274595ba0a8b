//! Proxies that come back with tables of before, of which they were told no later withdrawal.

use amberarch_core::*;

use crate::fleet::{product, Fleet};

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
