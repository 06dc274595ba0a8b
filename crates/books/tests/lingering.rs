//! Which proxies get the entries of a table after a gap in the relay watch in which proxies may have left or
//! stayed.

use amberarch_books::{PublishedState, Reach, TableKey};
use amberarch_core::{ClassSet, ProxyId, ZoneId};

const ONE: ProxyId = ProxyId(1);
const OTHER: ProxyId = ProxyId(2);
const OLD: TableKey = (ZoneId(0), Reach::AnyZone, 1);
const NEW: TableKey = (ZoneId(0), Reach::AnyZone, 2);

/// Both proxies use the old table for two request classes; the first one left.
fn left() -> PublishedState {
    let mut state = PublishedState::new(1, ClassSet(0b11));
    state.bind(ONE, OLD, ClassSet(0b11));
    state.bind(OTHER, OLD, ClassSet(0b11));
    state.proxy_left(ONE);
    state
}

#[test]
fn a_proxy_that_rejoins_at_once_may_still_use_its_tables() {
    let mut state = left();
    assert_eq!(state.recipients(&OLD), [OTHER]);
    state.proxy_joined(ONE, false);
    state.finish_departures();
    assert_eq!(state.recipients(&OLD), [ONE, OTHER]);
    // By the published state it is bound to nothing.
    assert_eq!(state.users(&OLD), [OTHER]);
    assert_eq!(state.binds_of(ONE).count(), 0);
}

#[test]
fn a_proxy_that_restarted_or_rejoins_later_uses_nothing() {
    let mut restarted = left();
    restarted.proxy_joined(ONE, true);
    assert_eq!(restarted.recipients(&OLD), [OTHER]);
    let mut later = left();
    later.finish_departures();
    later.proxy_joined(ONE, false);
    assert_eq!(later.recipients(&OLD), [OTHER]);
}

#[test]
fn a_bind_ends_lingering_for_its_request_classes_only() {
    let mut state = left();
    state.proxy_joined(ONE, false);
    state.bind(ONE, NEW, ClassSet(0b01));
    assert_eq!(state.recipients(&OLD), [ONE, OTHER]);
    state.bind(ONE, NEW, ClassSet(0b10));
    assert_eq!((state.recipients(&OLD), state.recipients(&NEW)), (vec![OTHER], vec![ONE]));
}

#[test]
fn a_second_gap_before_the_bind_keeps_the_tables() {
    let mut state = left();
    for _ in 0..2 {
        state.proxy_joined(ONE, false);
        state.finish_departures();
        state.proxy_left(ONE);
    }
    assert_eq!(state.recipients(&OLD), [OTHER]);
    state.proxy_joined(ONE, false);
    assert_eq!(state.recipients(&OLD), [ONE, OTHER]);
    state.proxy_left(ONE);
    state.finish_departures();
    state.proxy_joined(ONE, false);
    assert_eq!(state.recipients(&OLD), [OTHER]);
}
