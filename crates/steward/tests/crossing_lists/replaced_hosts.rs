//! Probes of a former entry of a host that end after the list has a new one, with another start time at the
//! same address or at another address. Their results must not count for the host that is listed now.

use serde_json::{json, Value};

use crate::probes::{Probed, PROBE};
use crate::scene::{changed, healthy, passes_from_now_on};
use crate::stand_in::{host, Exchange, Peer};

/// The entry with a start time of four seconds ago.
fn restarted(entry: Value) -> Value {
    let unix_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as f64;
    changed(entry, "born_ms", json!(unix_ms - 4_000.0))
}

/// Replaces the entry of a while a probe of it is open; returns that probe, unanswered.
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

/// Guards against a host that is withdrawn for failures of the process before it: three failures of the old
/// entry, the last of them after the host is listed at another address.
#[test]
fn a_late_failure_at_the_old_address_does_not_shut_the_new_one_out() {
    let all = Probed::new();
    (0..2).for_each(|_| fails(all.probe()));
    let probe = replaced_under_a_probe(&all, host("a", healthy(), "east"));
    fails(probe);
    all.scene.daemon.counter_reaches("probes_failed", 3);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"), "withdrawn for a probe of its old address");
}

/// Guards against the same where the probe of the old address is never answered and fails by its timeout.
#[test]
fn a_late_timeout_at_the_old_address_does_not_shut_the_new_one_out() {
    let all = Probed::new();
    (0..2).for_each(|_| fails(all.probe()));
    let probe = replaced_under_a_probe(&all, host("a", healthy(), "east"));
    all.a.closed(probe.connection.number);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"), "withdrawn for a probe of its old address");
}

/// Guards against the same at one address: the old process fails its probe after the list reported the new
/// one, which fails two of its own and passes from then on. Two failures in a row withdraw no host.
#[test]
fn a_late_failure_of_the_old_process_does_not_count_for_the_new_one() {
    let all = Probed::new();
    passes(all.probe());
    let probe = replaced_under_a_probe(&all, restarted(all.entry()));
    fails(probe);
    all.scene.daemon.counter_reaches("probes_failed", 1);
    (0..2).for_each(|_| fails(all.probe()));
    passes(all.probe());
    passes(all.probe());
    let Probed { scene, a, .. } = all;
    passes_from_now_on(a);
    scene.drain(3, "d");
    assert!(!scene.withdrawn("a"), "withdrawn for a probe of the process before it");
}

/// Guards against a host that is restored for results of the process before it: a is withdrawn, a probe of
/// its old address passes late, and the new address passes one, fails one and passes two. Only the last two
/// restore it.
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
    assert!(
        !all.scene.orders.any(|order| order["op"] == "restore"),
        "restored for a probe of its old address"
    );
    passes(probe);
    passes(moved.request(PROBE));
    passes_from_now_on(moved);
    all.scene.orders.restored("a");
}

/// Guards against probing the old address of a host that is listed as gone and then at another address.
#[test]
fn a_host_that_is_back_elsewhere_is_not_probed_where_it_was() {
    let (all, moved) = (Probed::new(), Peer::listening());
    passes(all.probe());
    all.scene.answer_next(2, false, &[changed(all.entry(), "health", json!("terminated"))]);
    all.scene.orders.withdrawn("a");
    all.scene.answer_next(3, false, &[host("a", moved.address, "east")]);
    (0..3).for_each(|_| passes(moved.request(PROBE)));
    assert!(all.a.request_within(PROBE, std::time::Duration::ZERO).is_none(), "probed where it was");
    passes_from_now_on(moved);
    all.scene.orders.restored("a");
}

/// Guards against the same where the list never reported the host as gone.
#[test]
fn a_host_that_moved_is_not_probed_where_it_was() {
    let (all, moved) = (Probed::new(), Peer::listening());
    passes(all.probe());
    all.scene.answer_next(2, false, &[host("a", moved.address, "east")]);
    (0..3).for_each(|_| passes(moved.request(PROBE)));
    assert!(all.a.request_within(PROBE, std::time::Duration::ZERO).is_none(), "probed where it was");
    passes_from_now_on(moved);
    all.scene.drain(3, "d");
    assert!(!all.scene.withdrawn("a"));
}
