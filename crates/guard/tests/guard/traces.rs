//! The smallest fleets in which the guard and the brute-force check have disagreed, one for each cause,
//! reduced to the fewest orders that still show the disagreement.

use amberarch_core::*;
use amberarch_guard::*;

use crate::help::*;
use Kind::*;
use Step::{Answered, Wait};

fn bind_of(proxy: u16, table: u16, classes: u64) -> Order {
    Order::Bind { proxy: ProxyId(proxy), table: TableId(table), classes: ClassSet(classes) }
}
fn clear(table: u16) -> Order {
    Order::ClearTable { table: TableId(table) }
}
fn batch<const N: usize>(orders: [Order; N]) -> Step {
    Step::Batch(orders.to_vec())
}

/// Runs a fleet: hosts with their zones, home zones of the proxies, and the mask of classes that stay in
/// their zone.
fn run(hosts: [(Kind, u16); 3], proxies: [u16; 3], at_home: u64, steps: Vec<Step>) -> Told {
    let hosts = hosts.map(|(kind, zone)| (kind, ZoneId(zone)));
    let small = Small { hosts, proxies: proxies.map(ZoneId), at_home, steps, late: None };
    small.play(&facts(2, 0))
}

fn assert_agreement(told: Told) {
    assert_eq!((told.falsely_accepted, told.falsely_mended), (0, 0), "{told:?}");
}

/// Fault of the brute-force check: repeated calls could leave proxies without a host while no host was ready.
/// This was blamed on any batch after a host became ready, even on an entry in another table.
#[test]
fn a_later_batch_is_blamed_for_a_table_that_had_no_ready_host_before() {
    let (all, near) = ([(Warm, 0), (Warm, 1), (Warm, 0)], [0, 1, 0]);
    assert_agreement(run(
        all,
        near,
        3,
        vec![
            batch([set_entry(0, 1, 1.0), withdraw(1)]),
            batch([bind(1, 0)]),
            batch([restore(1)]),
            batch([set_entry(1, 1, 1.0)]),
        ],
    ));
    assert_agreement(run(
        all,
        near,
        3,
        vec![
            batch([withdraw(1), set_entry(0, 2, 1.0), bind(1, 0)]),
            batch([withdraw(2)]),
            batch([restore(1), set_entry(0, 1, 1.0)]),
            batch([clear(0)]),
        ],
    ));
    assert_agreement(run(
        all,
        [1, 0, 0],
        3,
        vec![
            batch([withdraw(1), set_entry(1, 1, 1.0)]),
            batch([bind(0, 1)]),
            batch([restore(1)]),
            batch([set_entry(0, 0, 1.0)]),
        ],
    ));
    assert_agreement(run(
        all,
        [1, 0, 0],
        3,
        vec![
            batch([withdraw(1)]),
            batch([set_entry(1, 1, 1.0), bind(0, 1)]),
            batch([restore(1)]),
            batch([bind(0, 0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 0), (Draining, 0), (Warm, 1)],
        [0; 3],
        1,
        vec![
            batch([withdraw(0)]),
            batch([bind_of(2, 0, 1), set_entry(0, 0, 1.0)]),
            batch([restore(0)]),
            batch([set_entry(1, 0, 1.0)]),
        ],
    ));
    assert_agreement(run(
        [(Draining, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        3,
        vec![
            batch([withdraw(2), set_entry(0, 2, 1.0), bind(1, 1), set_entry(1, 0, 1.0)]),
            batch([bind(2, 0)]),
            batch([restore(2)]),
            batch([withdraw(0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 1), (Warm, 1), (Warm, 0)],
        [0; 3],
        3,
        vec![
            batch([withdraw(2)]),
            batch([bind(0, 1)]),
            batch([restore(2)]),
            batch([set_entry(1, 2, 1.0)]),
            batch([withdraw(0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 1), (Warm, 0), (Warm, 0)],
        [1, 0, 0],
        2,
        vec![
            batch([withdraw(2), withdraw(1), set_entry(0, 2, 1.0)]),
            batch([bind_of(1, 0, 2), bind(0, 1)]),
            batch([restore(2)]),
            batch([withdraw(0)]),
        ],
    ));
}

/// The same fault, blamed on the batch that restores the ready host.
#[test]
fn restoring_a_ready_host_is_blamed_for_a_proxy_without_a_host() {
    assert_agreement(run(
        [(Warm, 1), (Warm, 0), (Warm, 0)],
        [1, 0, 0],
        3,
        vec![
            batch([withdraw(0)]),
            batch([bind(0, 0)]),
            batch([set_entry(0, 2, 1.0)]),
            batch([clear(0)]),
            batch([restore(0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 0), (Warm, 0), (Warm, 1)],
        [1, 0, 0],
        3,
        vec![
            batch([withdraw(2), set_entry(0, 1, 0.0)]),
            batch([set_entry(0, 1, 1.0), bind(0, 0)]),
            batch([restore(2)]),
        ],
    ));
    assert_agreement(run(
        [(Cold, 0), (Warm, 0), (Warm, 1)],
        [0; 3],
        3,
        vec![
            batch([set_entry(0, 2, 1.0), withdraw(1), bind_of(1, 0, 2)]),
            batch([set_entry(0, 0, 0.0), withdraw(2)]),
            batch([restore(1)]),
            batch([set_entry(0, 0, 1.0)]),
            batch([set_entry(0, 1, 0.0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 1), (Warm, 0), (Cold, 0)],
        [0; 3],
        2,
        vec![
            batch([set_entry(1, 2, 1.0), withdraw(1)]),
            batch([restore(2)]),
            batch([withdraw(2), bind_of(0, 1, 2)]),
            batch([restore(1)]),
        ],
    ));
}

/// Fault of the brute-force check: the last copy of an answered call arrives within the maximum transit time,
/// but was assumed to arrive at any time until the next call.
#[test]
fn an_answered_call_is_carried_out_again_long_after() {
    assert_agreement(run(
        [(Cold, 0), (Warm, 1), (Warm, 1)],
        [0; 3],
        1,
        vec![
            batch([set_entry(0, 0, 1.0)]),
            batch([bind(2, 0)]),
            batch([bind_of(2, 1, 1)]),
            Answered,
            Wait(450.0),
            batch([bind_of(0, 0, 1), set_entry(1, 0, 1.0)]),
        ],
    ));
    assert_agreement(run(
        [(Warm, 0), (Warm, 0), (Cold, 0)],
        [0; 3],
        0,
        vec![
            batch([bind(0, 0), bind_of(1, 1, 1), set_entry(0, 2, 1.0)]),
            batch([set_entry(0, 0, 1e-9)]),
            batch([bind(1, 0)]),
            Answered,
            Wait(450.0),
            batch([bind_of(2, 1, 2), set_entry(1, 2, 1.0)]),
        ],
    ));
}

/// The load from a table that a proxy used before its last rebind must not be offset against the load of its
/// present table.
#[test]
fn a_proxy_that_moved_twice_is_still_at_the_first() {
    // Host 1 survives about 6 txns a second; the demand of proxy 2 is 8.8, that of proxy 0 is 4.4.
    let told = run(
        [(Warm, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        0,
        vec![
            batch([set_entry(0, 0, 1.0), set_entry(0, 1, 1.0), set_entry(1, 0, 1.0), bind(2, 0), bind(0, 1)]),
            Answered,
            batch([bind(2, 1)]),
            Answered,
            batch([set_entry(0, 1, 0.0), bind(2, 0)]),
            Answered,
            batch([set_entry(1, 1, 1.0), set_entry(1, 0, 0.0)]),
        ],
    );
    assert_agreement(told);
    assert_eq!((told.judged, told.wrong), (4, 1), "only the last batch violates a rule: {told:?}");
}

/// Fault of the guard: once the relay had answered, the proxy was assumed to be in the table it was bound to
/// last, although a copy of the call before may just have brought it back.
#[test]
fn a_bind_carried_out_again_just_before_the_answer_counts_for_a_transit_more() {
    // Proxy 0 sends 4.4 txns a second to host 1 in its former table and 2.2 in its present one; proxy 1 sends
    // 3.3.
    let steps = |wait| {
        vec![
            batch([set_entry(0, 1, 1.0), set_entry(1, 0, 1.0), bind(1, 1)]),
            Answered,
            batch([bind(0, 0)]),
            batch([bind(0, 1)]),
            Wait(450.0),
            Answered,
            Wait(wait),
            batch([set_entry(1, 1, 1.0)]),
        ]
    };
    for (wait, wrong) in [(0.0, 1), (450.0, 0)] {
        let told = run([(Warm, 0), (Cold, 0), (Warm, 0)], [0; 3], 0, steps(wait));
        assert_agreement(told);
        assert_eq!((told.judged, told.wrong, told.falsely_refused), (4, wrong, 0), "{told:?}");
    }
}

/// A repeat may bring the proxy back to a table as it was when the bind was answered, and the proxy may not
/// have left the table's state of that time yet.
#[test]
fn a_proxy_lags_behind_in_a_table_whose_bind_has_just_been_answered() {
    for answered in [true, false] {
        let mut steps = vec![
            batch([bind(2, 0), set_entry(1, 2, 1.0)]),
            Answered,
            batch([set_entry(0, 1, 0.5), set_entry(0, 0, 0.5)]),
            Answered,
            batch([bind(2, 1)]),
            Answered,
            batch([bind(1, 0)]),
            batch([set_entry(0, 0, 0.0)]),
        ];
        steps.retain(|step| answered || !matches!(step, Answered));
        assert_agreement(run([(Warm, 0), (Cold, 0), (Warm, 0)], [0; 3], 0, steps));
    }
    assert_agreement(run(
        [(Warm, 0), (Cold, 0), (Warm, 0)],
        [0; 3],
        0,
        vec![
            batch([bind(2, 0), set_entry(1, 2, 1.0)]),
            Answered,
            batch([set_entry(0, 1, 1.0)]),
            batch([bind(1, 0), bind(2, 1)]),
        ],
    ));
}
