//! Probes beside their time limit, the end of their connection, and the end of their host's entry in the list.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::scene::{changed, healthy, passes_from_now_on, with_length, write_and_end, End, Scene};
use crate::stand_in::{host, Exchange, Peer};

pub const PROBE: &str = "GET /healthz";
/// So many failures in a row shut a host out.
const FAILS: usize = 3;

/// Host a, whose probes are the test's to answer, and b, c and d, which pass theirs.
pub struct Probed {
    pub scene: Scene,
    pub a: Peer,
    others: Vec<Value>,
}

impl Probed {
    pub fn new() -> Probed {
        let (scene, a) = (Scene::of_probes(), Peer::listening());
        let others = ["b", "c", "d"].map(|name| host(name, healthy(), "east")).to_vec();
        scene.learn(&[vec![host("a", a.address, "east")], others.clone()].concat());
        Probed { scene, a, others }
    }

    /// The entry of a.
    pub fn entry(&self) -> Value {
        host("a", self.a.address, "east")
    }

    /// The next probe of a.
    pub fn probe(&self) -> Exchange {
        self.a.request(PROBE)
    }
}

/// Three probes of a come to that, one after another, and a is withdrawn for it.
fn shuts_out(spoil: impl Fn(&Peer, Exchange)) {
    let Probed { scene, a, .. } = Probed::new();
    for _ in 0..FAILS {
        assert!(!scene.withdrawn("a"), "withdrawn too soon");
        spoil(&a, a.request(PROBE));
    }
    scene.orders.withdrawn("a");
    passes_from_now_on(a);
    scene.orders.restored("a");
}

/// Probes of a come to that, more than would shut it out, and it stays in service.
fn stays_in(answer: impl Fn(&Peer, Exchange)) {
    let Probed { scene, a, .. } = Probed::new();
    (0..=FAILS).for_each(|_| answer(&a, a.request(PROBE)));
    passes_from_now_on(a);
    scene.drain(2, "d");
    assert!(!scene.withdrawn("a"), "its answers were not heard");
}

/// Guards against an answer that counts though its time was over when it was written, or that is taken for the answer to
/// the next probe.
#[test]
fn an_answer_behind_its_timeout_does_not_pass() {
    shuts_out(|a, probe| {
        a.closed(probe.connection.number);
        probe.answer(200, "");
    });
}

/// Guards against a probe that ends before its time: the answer comes 0.2 s after it, of 0.3 s.
#[test]
fn an_answer_ahead_of_its_timeout_does_not_fail() {
    stays_in(|_, probe| {
        std::thread::sleep(Duration::from_millis(200));
        probe.answer(200, "");
    });
}

/// Guards against a probe without an outcome, or with two, where its answer and its timeout come in the same instant:
/// such probes pass or fail, the host is probed on, and is in service once it passes.
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
    // Each of the hosts may have one under way.
    assert!(ended <= begun && begun <= ended + 4, "{begun} probes, {ended} outcomes");
    assert_eq!(scene.daemon.counter("panics"), 0);
}

/// Guards against a head that counts as an answer though it broke off.
#[test]
fn an_answer_cut_in_its_head_does_not_pass() {
    shuts_out(|_, probe| write_and_end(probe, b"HTTP/1.1 200 OK\r\ncontent-", End::Fin));
    shuts_out(|_, probe| write_and_end(probe, b"HTTP/1.1 200 OK\r\ncontent-", End::Rst));
}

/// Guards against a head that counts for a whole answer whose body broke off.
#[test]
fn an_answer_cut_in_its_body_does_not_pass() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"infl";
    shuts_out(|_, probe| write_and_end(probe, cut, End::Fin));
    shuts_out(|_, probe| write_and_end(probe, cut, End::Rst));
}

/// Guards against a head that counts for a whole answer whose body never ends.
#[test]
fn an_answer_silent_in_its_body_does_not_pass() {
    shuts_out(|a, mut probe| {
        probe.connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"infl");
        a.closed(probe.connection.number);
    });
}

/// Guards against an answer lost with its connection, which ends right behind it.
#[test]
fn an_answer_right_ahead_of_its_connections_end_does_not_fail() {
    stays_in(|_, probe| write_and_end(probe, &with_length("{}"), End::Fin));
    stays_in(|_, probe| write_and_end(probe, &with_length("{}"), End::Rst));
}

/// How the list drops a host.
#[derive(Clone, Copy)]
enum Dropped {
    Change,
    WholeWithout,
}

/// Drops a from the list while its probe is open, which then ends as told. Nothing comes of that; a is probed and let in
/// once more when it is listed again.
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
    all.scene.tell(3, false, &[all.entry()]);
    let Probed { scene, a, .. } = all;
    a.request(PROBE).answer(200, "");
    passes_from_now_on(a);
    scene.orders.restored("a");
    scene.drain(4, "d");
    assert!(!scene.withdrawn("b") && !scene.withdrawn("c"));
    assert_eq!(scene.daemon.counter("panics"), 0);
}

/// Guards against a daemon that trips over a probe which passes after its host was dropped, or never lets the host in
/// again.
#[test]
fn a_probe_that_passes_after_its_host_was_dropped_is_no_trouble() {
    for dropped in [Dropped::Change, Dropped::WholeWithout] {
        ends_after_its_host_was_dropped(dropped, |all, probe| {
            let connection = probe.answer(200, "");
            all.a.closed(connection.number);
        });
    }
}

/// Guards against the same for one that fails: the host would be kept out when it is listed again.
#[test]
fn a_probe_that_fails_after_its_host_was_dropped_is_no_trouble() {
    for dropped in [Dropped::Change, Dropped::WholeWithout] {
        ends_after_its_host_was_dropped(dropped, |all, probe| {
            probe.connection.reset();
            all.scene.daemon.counter_reaches("probes_failed", 1);
        });
    }
}
