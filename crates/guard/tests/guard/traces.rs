//! The smallest worlds in which the guard and brute force have disagreed, one for each cause, and orders as few as
//! still did it.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;
use Kind::*;
use Step::{Answered, Wait};

fn bind_of(proxy: u16, tbl: u16, products: u64) -> Order {
    Order::Bind { proxy: ProxyId(proxy), table: TableId(tbl), classes: ClassSet(products) }
}
fn clear(tbl: u16) -> Order {
    Order::ClearTable { table: TableId(tbl) }
}
fn batch<const N: usize>(orders: [Order; N]) -> Step {
    Step::Batch(orders.to_vec())
}

/// Hosts with their zones, zones of the proxies, products that stay at home.
fn play(hosts: [(Kind, u16); 3], proxies: [u16; 3], at_home: u64, steps: Vec<Step>) -> Told {
    let hosts = hosts.map(|(kind, zone)| (kind, ZoneId(zone)));
    let small = Small { hosts, proxies: proxies.map(ZoneId), at_home, steps, late: None };
    small.play(&facts(2, 0))
}

fn agree(told: Told) {
    assert_eq!((told.falsely_accepted, told.falsely_mended), (0, 0), "{told:?}");
}

/// Proxies that could hold nothing, once a call is carried out again, while nobody was ready: brute force blamed that on
/// whatever was ordered after a host came back, a line in another table too. No order since had made it so.
#[test]
fn a_later_batch_is_blamed_for_what_nobody_was_ready_for_before_it() {
    let (all, near) = ([(Warm, 0), (Warm, 1), (Warm, 0)], [0, 1, 0]);
    agree(play(
        all,
        near,
        3,
        vec![
            batch([share(0, 1, 1.0), out(1)]),
            batch([bind(1, 0)]),
            batch([back(1)]),
            batch([share(1, 1, 1.0)]),
        ],
    ));
    agree(play(
        all,
        near,
        3,
        vec![
            batch([out(1), share(0, 2, 1.0), bind(1, 0)]),
            batch([out(2)]),
            batch([back(1), share(0, 1, 1.0)]),
            batch([clear(0)]),
        ],
    ));
    agree(play(
        all,
        [1, 0, 0],
        3,
        vec![
            batch([out(1), share(1, 1, 1.0)]),
            batch([bind(0, 1)]),
            batch([back(1)]),
            batch([share(0, 0, 1.0)]),
        ],
    ));
    agree(play(
        all,
        [1, 0, 0],
        3,
        vec![batch([out(1)]), batch([share(1, 1, 1.0), bind(0, 1)]), batch([back(1)]), batch([bind(0, 0)])],
    ));
    agree(play(
        [(Warm, 0), (Draining, 0), (Warm, 1)],
        [0; 3],
        1,
        vec![
            batch([out(0)]),
            batch([bind_of(2, 0, 1), share(0, 0, 1.0)]),
            batch([back(0)]),
            batch([share(1, 0, 1.0)]),
        ],
    ));
    agree(play(
        [(Draining, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        3,
        vec![
            batch([out(2), share(0, 2, 1.0), bind(1, 1), share(1, 0, 1.0)]),
            batch([bind(2, 0)]),
            batch([back(2)]),
            batch([out(0)]),
        ],
    ));
    agree(play(
        [(Warm, 1), (Warm, 1), (Warm, 0)],
        [0; 3],
        3,
        vec![
            batch([out(2)]),
            batch([bind(0, 1)]),
            batch([back(2)]),
            batch([share(1, 2, 1.0)]),
            batch([out(0)]),
        ],
    ));
    agree(play(
        [(Warm, 1), (Warm, 0), (Warm, 0)],
        [1, 0, 0],
        2,
        vec![
            batch([out(2), out(1), share(0, 2, 1.0)]),
            batch([bind_of(1, 0, 2), bind(0, 1)]),
            batch([back(2)]),
            batch([out(0)]),
        ],
    ));
}

/// The same, blamed on the very batch that lets in who is ready.
#[test]
fn letting_in_who_is_ready_is_blamed_for_a_proxy_that_has_nothing() {
    agree(play(
        [(Warm, 1), (Warm, 0), (Warm, 0)],
        [1, 0, 0],
        3,
        vec![
            batch([out(0)]),
            batch([bind(0, 0)]),
            batch([share(0, 2, 1.0)]),
            batch([clear(0)]),
            batch([back(0)]),
        ],
    ));
    agree(play(
        [(Warm, 0), (Warm, 0), (Warm, 1)],
        [1, 0, 0],
        3,
        vec![batch([out(2), share(0, 1, 0.0)]), batch([share(0, 1, 1.0), bind(0, 0)]), batch([back(2)])],
    ));
    agree(play(
        [(Cold, 0), (Warm, 0), (Warm, 1)],
        [0; 3],
        3,
        vec![
            batch([share(0, 2, 1.0), out(1), bind_of(1, 0, 2)]),
            batch([share(0, 0, 0.0), out(2)]),
            batch([back(1)]),
            batch([share(0, 0, 1.0)]),
            batch([share(0, 1, 0.0)]),
        ],
    ));
    agree(play(
        [(Warm, 1), (Warm, 0), (Cold, 0)],
        [0; 3],
        2,
        vec![
            batch([share(1, 2, 1.0), out(1)]),
            batch([back(2)]),
            batch([out(2), bind_of(0, 1, 2)]),
            batch([back(1)]),
        ],
    ));
}

/// A call that has been answered for is carried out, or was; its last copy is there within the worst transit. Brute force
/// let it come for as long as no further call went out.
#[test]
fn an_answered_call_is_carried_out_again_long_after() {
    agree(play(
        [(Cold, 0), (Warm, 1), (Warm, 1)],
        [0; 3],
        1,
        vec![
            batch([share(0, 0, 1.0)]),
            batch([bind(2, 0)]),
            batch([bind_of(2, 1, 1)]),
            Answered,
            Wait(450.0),
            batch([bind_of(0, 0, 1), share(1, 0, 1.0)]),
        ],
    ));
    agree(play(
        [(Warm, 0), (Warm, 0), (Cold, 0)],
        [0; 3],
        0,
        vec![
            batch([bind(0, 0), bind_of(1, 1, 1), share(0, 2, 1.0)]),
            batch([share(0, 0, 1e-9)]),
            batch([bind(1, 0)]),
            Answered,
            Wait(450.0),
            batch([bind_of(2, 1, 2), share(1, 2, 1.0)]),
        ],
    ));
}

/// Where a proxy was before its last move is not to be weighed against what its last table is to others.
#[test]
fn a_proxy_that_moved_twice_is_still_at_the_first() {
    // Host 1 survives 6 or so; proxy 2 brings 8.8, proxy 0 brings 4.4.
    let told = play(
        [(Warm, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        0,
        vec![
            batch([share(0, 0, 1.0), share(0, 1, 1.0), share(1, 0, 1.0), bind(2, 0), bind(0, 1)]),
            Answered,
            batch([bind(2, 1)]),
            Answered,
            batch([share(0, 1, 0.0), bind(2, 0)]),
            Answered,
            batch([share(1, 1, 1.0), share(1, 0, 0.0)]),
        ],
    );
    agree(told);
    assert_eq!((told.judged, told.wrong), (4, 1), "the last is wrong: {told:?}");
}

/// The guard's own: with the answer it took a proxy for where it was bound last, while a copy of the call before may
/// have brought it back just then.
#[test]
fn a_bind_carried_out_again_just_before_the_answer_counts_for_a_transit_more() {
    // Proxy 0 brings 4.4 to host 1 where it was, 2.2 where it is; proxy 1 brings 3.3.
    let steps = |wait| {
        vec![
            batch([share(0, 1, 1.0), share(1, 0, 1.0), bind(1, 1)]),
            Answered,
            batch([bind(0, 0)]),
            batch([bind(0, 1)]),
            Wait(450.0),
            Answered,
            Wait(wait),
            batch([share(1, 1, 1.0)]),
        ]
    };
    for (wait, wrong) in [(0.0, 1), (450.0, 0)] {
        let told = play([(Warm, 0), (Cold, 0), (Warm, 0)], [0; 3], 0, steps(wait));
        agree(told);
        assert_eq!((told.judged, told.wrong, told.falsely_refused), (4, wrong, 0), "{told:?}");
    }
}

/// It may be brought back to a table over what stood there when the bind was answered for, and it may not have left
/// yet what stands there since.
#[test]
fn a_proxy_lags_behind_in_a_table_whose_bind_has_just_been_answered() {
    for answered in [true, false] {
        let mut steps = vec![
            batch([bind(2, 0), share(1, 2, 1.0)]),
            Answered,
            batch([share(0, 1, 0.5), share(0, 0, 0.5)]),
            Answered,
            batch([bind(2, 1)]),
            Answered,
            batch([bind(1, 0)]),
            batch([share(0, 0, 0.0)]),
        ];
        steps.retain(|step| answered || !matches!(step, Answered));
        agree(play([(Warm, 0), (Cold, 0), (Warm, 0)], [0; 3], 0, steps));
    }
    agree(play(
        [(Warm, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        0,
        vec![
            batch([bind(2, 0), share(1, 2, 1.0)]),
            Answered,
            batch([share(0, 1, 1.0)]),
            batch([bind(1, 0), bind(2, 1)]),
        ],
    ));
}
