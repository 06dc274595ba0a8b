//! Who gets the lines of a table after a gap in the news in which proxies may have left, or may have stayed.

use amberarch_books::{Present, Reach, Tbl};
use amberarch_core::{Products, ProxyId, ZoneId};

const ONE: ProxyId = ProxyId(1);
const OTHER: ProxyId = ProxyId(2);
const OLD: Tbl = (ZoneId(0), Reach::Free, 1);
const NEW: Tbl = (ZoneId(0), Reach::Free, 2);

/// Both use the old table for two products; the first left.
fn left() -> Present {
    let mut present = Present::new(1);
    present.bind(ONE, OLD, Products(0b11));
    present.bind(OTHER, OLD, Products(0b11));
    present.left(ONE);
    present
}

#[test]
fn who_joins_again_at_once_may_still_use_what_it_was_bound_to() {
    let mut present = left();
    assert_eq!(present.reached(&OLD), [OTHER]);
    present.joined(ONE, false);
    present.settle_departures();
    assert_eq!(present.reached(&OLD), [ONE, OTHER]);
    // By our orders it is bound to nothing.
    assert_eq!(present.users(&OLD), [OTHER]);
    assert_eq!(present.bound(ONE).count(), 0);
}

#[test]
fn who_began_anew_or_joins_later_uses_nothing() {
    let mut fresh = left();
    fresh.joined(ONE, true);
    assert_eq!(fresh.reached(&OLD), [OTHER]);
    let mut later = left();
    later.settle_departures();
    later.joined(ONE, false);
    assert_eq!(later.reached(&OLD), [OTHER]);
}

#[test]
fn a_bind_ends_it_for_its_products_alone() {
    let mut present = left();
    present.joined(ONE, false);
    present.bind(ONE, NEW, Products(0b01));
    assert_eq!(present.reached(&OLD), [ONE, OTHER]);
    present.bind(ONE, NEW, Products(0b10));
    assert_eq!((present.reached(&OLD), present.reached(&NEW)), (vec![OTHER], vec![ONE]));
}

#[test]
fn a_second_gap_before_the_bind_forgets_nothing() {
    let mut present = left();
    for _ in 0..2 {
        present.joined(ONE, false);
        present.settle_departures();
        present.left(ONE);
    }
    assert_eq!(present.reached(&OLD), [OTHER]);
    present.joined(ONE, false);
    assert_eq!(present.reached(&OLD), [ONE, OTHER]);
    present.left(ONE);
    present.settle_departures();
    present.joined(ONE, false);
    assert_eq!(present.reached(&OLD), [OTHER]);
}
