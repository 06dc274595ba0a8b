//! Probes of a former entry of a host, which end after the list has another one: with another start at the same address,
//! or at another address. What they found says nothing of the host that is listed now.

use serde_json::{json, Value};

use crate::probes::{Probed, PROBE};
use crate::scene::{changed, healthy, passes_from_now_on};
use crate::stand_in::{host, Exchange, Peer};

/// The entry with a start of some seconds ago.
fn started_anew(entry: Value) -> Value {
    let unix_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as f64;
    changed(entry, "born_ms", json!(unix_ms - 4_000.0))
}

/// While a probe of a is open, tells of another entry of a; gives the probe, which has found nothing yet.
fn replaced_under_a_probe(all: &Probed, entry: Value) -> Exchange {
    let (call, probe) = (all.scene.next_call(), all.probe());
    all.scene.answer(call, 2, false, &[entry]);
    probe
}

fn passes(probe: Exchange) {
    probe.answer(200, "");
}

fn fails(probe: Exchange) {
    probe.connection.reset();
}

/// Guards against a host that is shut out by what was found of the process before it: three failures of the old entry,
/// of which the last comes once the host is listed at another address.
#[test]
fn a_late_failure_at_the_old_address_does_not_shut_the_new_one_out() {
    let all = Probed::new();
    (0..2).for_each(|_| fails(all.probe()));
    let probe = replaced_under_a_probe(&all, host("a", healthy(), "east"));
    fails(probe);
    all.scene.daemon.counter_reaches("probes_failed", 3);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"), "shut out by a probe of its old address");
}

/// Guards against the same where the probe of the old address is never answered: it fails by its timeout.
#[test]
fn a_late_timeout_at_the_old_address_does_not_shut_the_new_one_out() {
    let all = Probed::new();
    (0..2).for_each(|_| fails(all.probe()));
    let probe = replaced_under_a_probe(&all, host("a", healthy(), "east"));
    all.a.closed(probe.connection.number);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"), "shut out by a probe of its old address");
}

/// Guards against the same at one address: the old process fails its probe after the list has told of the new one, which
/// fails two of its own and passes from then on. Two in a row shut nobody out.
#[test]
fn a_late_failure_of_the_old_process_does_not_count_for_the_new_one() {
    let all = Probed::new();
    passes(all.probe());
    let probe = replaced_under_a_probe(&all, started_anew(all.entry()));
    fails(probe);
    all.scene.daemon.counter_reaches("probes_failed", 1);
    (0..2).for_each(|_| fails(all.probe()));
    passes(all.probe());
    passes(all.probe());
    let Probed { scene, a, .. } = all;
    passes_from_now_on(a);
    scene.drain(3, "d");
    assert!(!scene.withdrawn("a"), "shut out by a probe of the process before it");
}

/// Guards against a host that is let in by what was found of the process before it: a is shut out, a probe of its old
/// address passes late, the new address passes one, fails one, and passes two. Only the two let it in.
#[test]
fn a_late_pass_at_the_old_address_does_not_let_the_new_one_in() {
    let (all, moved) = (Probed::new(), Peer::listening());
    (0..3).for_each(|_| fails(all.probe()));
    all.scene.orders.withdrawn("a");
    let probe = replaced_under_a_probe(&all, host("a", moved.address, "east"));
    let number = probe.connection.number;
    passes(probe);
    all.a.closed(number);
    passes(moved.request(PROBE));
    fails(moved.request(PROBE));
    let probe = moved.request(PROBE);
    all.scene.drain(3, "d");
    assert!(!all.scene.orders.any(|order| order["op"] == "restore"), "let in by a probe of its old address");
    passes(probe);
    passes(moved.request(PROBE));
    passes_from_now_on(moved);
    all.scene.orders.restored("a");
}

/// Guards against probes that stay at the address where a host was: it is listed as gone, and then elsewhere.
#[test]
fn a_host_that_is_back_elsewhere_is_not_probed_where_it_was() {
    let (all, moved) = (Probed::new(), Peer::listening());
    passes(all.probe());
    all.scene.tell(2, false, &[changed(all.entry(), "health", json!("terminated"))]);
    all.scene.orders.withdrawn("a");
    all.scene.tell(3, false, &[host("a", moved.address, "east")]);
    (0..3).for_each(|_| passes(moved.request(PROBE)));
    assert!(all.a.request_within(PROBE, std::time::Duration::ZERO).is_none(), "probed where it was");
    passes_from_now_on(moved);
    all.scene.orders.restored("a");
}

/// Guards against the same where the list tells nothing of its having been gone.
#[test]
fn a_host_that_moved_is_not_probed_where_it_was() {
    let (all, moved) = (Probed::new(), Peer::listening());
    passes(all.probe());
    all.scene.tell(2, false, &[host("a", moved.address, "east")]);
    (0..3).for_each(|_| passes(moved.request(PROBE)));
    assert!(all.a.request_within(PROBE, std::time::Duration::ZERO).is_none(), "probed where it was");
    passes_from_now_on(moved);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"));
}
