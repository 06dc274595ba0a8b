use std::time::Duration;

use amberarch_core::ProbeOutcome;
use amberarch_steward::probe::Prober;

use crate::peers::{for_ms, ties, Dialled, Peer, HOME};

/// errno(3) on Linux.
const EINTR: i32 = 4;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const ECONNREFUSED: i32 = 111;
const EHOSTUNREACH: i32 = 113;

fn outcome(errno: i32) -> String {
    for_ms(1_000, move |trace| async move {
        let script: &'static [Dialled] = Box::leak(Box::new([Dialled::Fails(errno)]));
        let (path, connect_within) = ("/healthz", Duration::from_millis(250));
        let prober = Prober { path, connect_within, most: 1, ties: ties(&trace) };
        let (outcome, _) = prober.probe(&Peer::new(&trace, script), HOME).await;
        trace.note(&format!("{outcome:?}"));
        std::future::pending::<()>().await;
    })
}

/// Guards against gating hosts because this machine lacks resources, and against never gating hosts that are gone.
#[test]
fn a_dial_that_fails_for_want_of_something_here_says_nothing_of_the_host() {
    for errno in [EINTR, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS] {
        assert_eq!(outcome(errno), format!("0 {:?}\n", ProbeOutcome::Unknown), "errno {errno}");
    }
    for errno in [ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH] {
        assert_eq!(outcome(errno), format!("0 {:?}\n", ProbeOutcome::Unreachable), "errno {errno}");
    }
}
