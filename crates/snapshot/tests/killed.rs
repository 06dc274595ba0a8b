//! Processes that are killed while they write. This is a test binary of its own, because a forked child shares open
//! locks until it executes its program: no other test may open a folder at the same time.

mod members;

use std::fs;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use amberarch_roster::Stand;
use amberarch_snapshot::*;
use members::member;

/// Environment variable with the folder for the process that is to be killed.
const FOLDER: &str = "AMBERARCH_TEST_FOLDER";

/// Not a test by itself: the process that the next test kills. It prints each round to standard output once that round
/// is durable.
#[test]
fn writes_until_it_is_killed() {
    let Ok(folder) = std::env::var(FOLDER) else { return };
    let (mut store, held) = Store::open(Path::new(&folder)).expect("a folder");
    let first = held.members.values().map(|member| member.told.seq).max().unwrap_or(0) + 1;
    for round in first.. {
        // Each member carries the number of its round, so a partially written round is visible.
        store
            .keep(round as f64, (0..8).map(|number| member(number, round)).collect(), Stand::default())
            .expect("room");
        use std::io::Write;
        let mut out = std::io::stdout();
        let _ = writeln!(out, "safe {round}").and_then(|()| out.flush());
    }
}

#[test]
fn a_process_killed_at_any_moment_leaves_what_was_safe() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut safe = 0u64;
    for round in 0..200u64 {
        let out = dir.path().join("out");
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["--exact", "writes_until_it_is_killed", "--nocapture"])
            .env(FOLDER, dir.path().join("state"))
            .stdout(fs::File::create(&out).expect("a file"))
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        // Once it has started to write, kill it at a moment that differs between rounds and is the same in each run.
        let until = Instant::now() + Duration::from_secs(20);
        while fs::metadata(&out).expect("a file").len() < 200 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_micros(round * 7_919 % 9_000));
        child.kill().expect("a kill");
        child.wait().expect("an end");
        let output = fs::read_to_string(&out).expect("its output");
        let durable = output.lines().filter_map(|line| line.strip_prefix("safe ")?.parse::<u64>().ok()).max();
        safe = safe.max(durable.unwrap_or(0));
        let held = match load(&dir.path().join("state")) {
            Ok(held) => held,
            Err(_) => continue,
        };
        for (host, found) in &held.members {
            assert!(found.told.seq >= safe, "round {round}: {host} at {}, {safe} was safe", found.told.seq);
            let number: u32 = host[2..].parse().expect("a number");
            assert_eq!(*found, member(number, found.told.seq), "round {round}");
        }
        assert!(safe == 0 || held.members.len() == 8, "round {round}: {}", held.members.len());
        // Rounds are written in order, so the members come from at most two of them.
        let rounds: std::collections::BTreeSet<u64> = held.members.values().map(|m| m.told.seq).collect();
        assert!(rounds.len() <= 2, "round {round}: {rounds:?}");
    }
    assert!(safe > 50, "{safe} rounds were safe");
}
