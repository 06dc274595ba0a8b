//! Probes that cross their timeout, the end of their connection, or the removal of their host from the
//! list.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::scene::{changed, healthy, passes_from_now_on, with_length, write_and_end, End, Scene};
use crate::stand_in::{host, Exchange, Peer};

pub const PROBE: &str = "GET /healthz";
/// Consecutive failures after which a host is withdrawn.
const FAILS: usize = 3;

/// Host a, whose probes the test answers, and b, c and d, which pass theirs.
pub struct Probed {
    pub scene: Scene,
    pub a: Peer,
    others: Vec<Value>,
}

impl Probed {
    pub fn new() -> Probed {
        let (scene, a) = (Scene::for_probes(), Peer::listening());
        let others = ["b", "c", "d"].map(|name| host(name, healthy(), "east")).to_vec();
        scene.answer_first_list(&[vec![host("a", a.address, "east")], others.clone()].concat());
        Probed { scene, a, others }
    }

    /// The list entry of host a.
    pub fn entry(&self) -> Value {
        host("a", self.a.address, "east")
    }

    /// The next probe of host a.
    pub fn probe(&self) -> Exchange {
        self.a.request(PROBE)
    }
}

/// Three consecutive probes of a end as given, and a is withdrawn for it.
fn assert_withdraws(spoil: impl Fn(&Peer, Exchange)) {
    let Probed { scene, a, .. } = Probed::new();
    for _ in 0..FAILS {
        assert!(!scene.withdrawn("a"), "withdrawn too soon");
        spoil(&a, a.request(PROBE));
    }
    scene.orders.withdrawn("a");
    passes_from_now_on(a);
    scene.orders.restored("a");
}

/// More probes of a end as given than failures would withdraw it, and a stays in service.
fn assert_stays_in_service(answer: impl Fn(&Peer, Exchange)) {
    let Probed { scene, a, .. } = Probed::new();
    (0..=FAILS).for_each(|_| answer(&a, a.request(PROBE)));
    passes_from_now_on(a);
    scene.drain(2, "d");
    assert!(!scene.withdrawn("a"), "its answers were not read");
}

/// Guards against an answer that counts although its probe had timed out when it was written, or that is
/// taken for the answer to the next probe.
#[test]
fn an_answer_behind_its_timeout_does_not_pass() {
    assert_withdraws(|a, probe| {
        a.closed(probe.connection.number);
        probe.answer(200, "");
    });
}

/// Guards against a probe that times out too early: the answer is sent after 0.2 s of the allowed 0.3 s.
#[test]
fn an_answer_ahead_of_its_timeout_does_not_fail() {
    assert_stays_in_service(|_, probe| {
        std::thread::sleep(Duration::from_millis(200));
        probe.answer(200, "");
    });
}

/// Guards against a probe without a result, or with two, where its answer and its timeout occur at the same
/// time. Such a probe passes or fails, the host is probed further, and is in service once it passes.
#[test]
fn an_answer_in_the_same_instant_as_its_timeout_does_not_end_the_probes() {
    let Probed { scene, a, .. } = Probed::new();
    for wait in [285, 300, 304, 308, 312, 330].map(Duration::from_millis) {
        let (probe, begun) = (a.request(PROBE), Instant::now());
        std::thread::sleep(wait.saturating_sub(begun.elapsed()));
        probe.answer(200, "");
    }
    for _ in 0..FAILS {
        a.request(PROBE).answer(200, "");
    }
    passes_from_now_on(a);
    if scene.withdrawn("a") {
        scene.orders.restored("a");
    }
    scene.drain(2, "d");
    let ended = scene.daemon.counter("probes_passed") + scene.daemon.counter("probes_failed");
    let begun = scene.daemon.counter("probes");
    // Each of the four hosts may have a probe in progress.
    assert!(ended <= begun && begun <= ended + 4, "{begun} probes, {ended} outcomes");
    assert_eq!(scene.daemon.counter("panics"), 0);
}

/// Guards against an answer that counts although its head broke off.
#[test]
fn an_answer_cut_in_its_head_does_not_pass() {
    assert_withdraws(|_, probe| write_and_end(probe, b"HTTP/1.1 200 OK\r\ncontent-", End::Fin));
    assert_withdraws(|_, probe| write_and_end(probe, b"HTTP/1.1 200 OK\r\ncontent-", End::Rst));
}

/// Guards against an answer that counts although its body broke off.
#[test]
fn an_answer_cut_in_its_body_does_not_pass() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"infl";
    assert_withdraws(|_, probe| write_and_end(probe, cut, End::Fin));
    assert_withdraws(|_, probe| write_and_end(probe, cut, End::Rst));
}

/// Guards against an answer that counts although its body never ends.
#[test]
fn an_answer_silent_in_its_body_does_not_pass() {
    assert_withdraws(|a, mut probe| {
        probe.connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"infl");
        a.closed(probe.connection.number);
    });
}

/// Guards against an answer that is lost because its connection ends directly after it.
#[test]
fn an_answer_right_ahead_of_its_connections_end_does_not_fail() {
    assert_stays_in_service(|_, probe| write_and_end(probe, &with_length("{}"), End::Fin));
    assert_stays_in_service(|_, probe| write_and_end(probe, &with_length("{}"), End::Rst));
}

/// How the list removes a host.
#[derive(Clone, Copy)]
enum Dropped {
    Change,
    WholeWithout,
}

/// Removes a from the list while its probe is open; the probe then ends as given. Its result is ignored,
/// and a is probed and restored when it is listed again.
fn ends_after_its_host_was_dropped(dropped: Dropped, end: impl FnOnce(&Probed, Exchange)) {
    let all = Probed::new();
    all.probe().answer(200, "");
    let (call, probe) = (all.scene.next_call(), all.probe());
    match dropped {
        Dropped::Change => {
            let gone = changed(all.entry(), "health", json!("terminated"));
            all.scene.answer(call, 2, false, &[gone]);
        }
        Dropped::WholeWithout => all.scene.answer(call, 2, true, &all.others),
    }
    all.scene.orders.withdrawn("a");
    end(&all, probe);
    all.scene.answer_next(3, false, &[all.entry()]);
    let Probed { scene, a, .. } = all;
    a.request(PROBE).answer(200, "");
    passes_from_now_on(a);
    scene.orders.restored("a");
    scene.drain(4, "d");
    assert!(!scene.withdrawn("b") && !scene.withdrawn("c"));
    assert_eq!(scene.daemon.counter("panics"), 0);
}

/// Guards against a panic from a probe that passes after its host was removed, and against never restoring
/// that host.
#[test]
fn a_probe_that_passes_after_its_host_was_dropped_is_no_trouble() {
    for dropped in [Dropped::Change, Dropped::WholeWithout] {
        ends_after_its_host_was_dropped(dropped, |all, probe| {
            let connection = probe.answer(200, "");
            all.a.closed(connection.number);
        });
    }
}

/// Guards against the same for a probe that fails: the host would stay withdrawn when it is listed again.
#[test]
fn a_probe_that_fails_after_its_host_was_dropped_is_no_trouble() {
    for dropped in [Dropped::Change, Dropped::WholeWithout] {
        ends_after_its_host_was_dropped(dropped, |all, probe| {
            probe.connection.reset();
            all.scene.daemon.counter_reaches("probes_failed", 1);
        });
    }
}
