//! Many daemons that use one discovery which fails and comes back.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::stand_in::{list, refusing_address, Configuration, Daemon, Exchange, Peer};

const DAEMONS: usize = 10;
/// How many calls may arrive within `SHORT`.
const FEW: usize = 4;
const SHORT: Duration = Duration::from_millis(20);

fn started_at_once(discovery: &Peer) -> Vec<Daemon> {
    std::thread::scope(|scope| {
        let starts: Vec<_> = (0..DAEMONS)
            .map(|number| {
                let configuration = Configuration::new(refusing_address(), discovery.address)
                    .with("/seed", json!(format!("8c1f30d27a5be9{number:02x}")));
                scope.spawn(move || Daemon::start_and_wait(&configuration))
            })
            .collect();
        starts.into_iter().map(|start| start.join().expect("a daemon")).collect()
    })
}

/// One call of each daemon, and its arrival times.
fn one_of_each(discovery: &Peer) -> (Vec<Exchange>, Vec<Instant>) {
    (0..DAEMONS).map(|_| (discovery.request("GET /v1/servers"), Instant::now())).unzip()
}

/// The largest number of calls that arrived within `SHORT`.
fn crowd(times: &[Instant]) -> usize {
    let within = |first: &Instant| times.iter().filter(|at| **at >= *first && **at - *first < SHORT).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against daemons that lose discovery at the same time and retry in step: discovery processes calls
/// in turn, so the last of a burst would wait. All calls fail at once, three times in a row, and are then
/// answered.
#[test]
fn daemons_that_lost_discovery_together_do_not_come_back_in_step() {
    let discovery = Peer::listening();
    let _daemons = started_at_once(&discovery);
    let (mut calls, _) = one_of_each(&discovery);
    let mut crowds = vec![];
    for failure in 1..=3 {
        let failed = Instant::now();
        calls.into_iter().for_each(|call| call.connection.reset());
        let (again, times) = one_of_each(&discovery);
        let after: Vec<u128> = times.iter().map(|at| (*at - failed).as_millis()).collect();
        eprintln!("failure {failure}: calls after {after:?} ms, {} of them within {SHORT:?}", crowd(&times));
        crowds.push(crowd(&times));
        calls = again;
    }
    for call in calls {
        call.answer(200, &list(1, false, &[]).to_string());
    }
    // All have recovered: each continues with its watch.
    one_of_each(&discovery);
    // Daemons in step send bursts after each failure; a stall of the machine bunches only the calls
    // after one failure.
    let in_step = crowds.iter().filter(|crowd| **crowd > FEW).count();
    assert!(in_step < 2, "in step: {crowds:?}");
}
