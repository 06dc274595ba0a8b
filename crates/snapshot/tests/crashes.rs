//! Files that are truncated, corrupted, removed or written by another version.

mod members;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amberarch_roster::{Member, Stand};
use amberarch_snapshot::*;
use members::member;

/// A folder with a base of four members and a log with two newer ones.
fn write_small(folder: &Path) -> BTreeMap<String, Arc<Member>> {
    let (mut store, held) = Store::open(folder).expect("a folder");
    assert!(held.members.is_empty() && !held.spoilt());
    store.keep(1.0, (0..4).map(|number| member(number, 1)).collect(), Stand::default()).expect("a base");
    store.keep(2.0, vec![member(1, 2), member(4, 2)], Stand::default()).expect("a log");
    store.members().clone()
}

fn was_written(found: &Arc<Member>) -> bool {
    let number: u32 = found.host[2..].parse().expect("a number");
    [1, 2].iter().any(|round| *found == member(number, *round))
}

#[test]
fn stored_members_are_loaded_by_the_next_process_and_a_second_process_is_refused() {
    let dir = tempfile::tempdir().expect("a folder");
    let kept = write_small(dir.path());
    let (store, held) = Store::open(dir.path()).expect("the folder again");
    assert_eq!(held.members, kept);
    assert!(!held.spoilt());
    let taken = Store::open(dir.path());
    assert!(matches!(taken, Err(Fault::Taken(_))));
    drop(store);
    assert!(Store::open(dir.path()).is_ok());
}

#[test]
fn a_file_cut_at_any_byte_yields_the_records_before_the_cut() {
    for name in ["base-1", "log-1"] {
        let dir = tempfile::tempdir().expect("a folder");
        let kept = write_small(dir.path());
        let path = dir.path().join(name);
        let whole = fs::read(&path).expect("the file");
        let mut before = 0;
        for length in 0..whole.len() {
            fs::write(&path, &whole[..length]).expect("the file");
            let held = load(dir.path()).expect("a readable folder");
            assert!(held.members.values().all(was_written), "{name} cut at {length}");
            // A cut between two records corrupts none of them; a base then lacks its end record.
            assert!(held.members != kept || name == "log-1" && length > 0, "{name} cut at {length}");
            let found = held.members.len() as u64 + held.members.values().map(|m| m.told.seq).sum::<u64>();
            assert!(found >= before, "{name} cut at {length}: a longer file yields at least as much");
            before = found;
            Store::open(dir.path()).expect("a start");
        }
    }
}

#[test]
fn every_flipped_bit_is_detected() {
    for name in ["base-1", "log-1"] {
        let dir = tempfile::tempdir().expect("a folder");
        write_small(dir.path());
        let path = dir.path().join(name);
        let whole = fs::read(&path).expect("the file");
        for bit in 0..8 * whole.len() {
            let mut corrupted = whole.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            fs::write(&path, &corrupted).expect("the file");
            let held = load(dir.path()).expect("a readable folder");
            assert!(held.spoilt(), "flipped bit {bit} of {name} is not detected");
            assert!(held.members.values().all(was_written), "flipped bit {bit} of {name} is used");
            if name == "log-1" {
                assert!(held.members.len() >= 4, "the base is still used");
            }
        }
    }
}

#[test]
fn a_corrupted_base_falls_back_to_the_generation_before_it() {
    let dir = tempfile::tempdir().expect("a folder");
    write_small(dir.path());
    let (mut store, _) = Store::open(dir.path()).expect("the folder");
    store.keep(3.0, vec![member(5, 3)], Stand::default()).expect("a second generation");
    drop(store);
    let path = dir.path().join("base-2");
    let mut bytes = fs::read(&path).expect("the second base");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&path, bytes).expect("the second base");
    let held = load(dir.path()).expect("a readable folder");
    assert_eq!((held.generation, held.members.len(), held.spoilt()), (1, 5, true));
    // The next start does not append to a corrupted generation.
    let (mut store, _) = Store::open(dir.path()).expect("the folder");
    store.keep(4.0, vec![member(6, 4)], Stand::default()).expect("a third generation");
    drop(store);
    let held = load(dir.path()).expect("a readable folder");
    assert_eq!((held.generation, held.members.len(), held.spoilt()), (3, 6, false));
}

#[test]
fn a_file_of_a_newer_version_is_not_read_and_not_written_over() {
    let dir = tempfile::tempdir().expect("a folder");
    fs::write(dir.path().join("base-7"), b"amberst\x02whatever comes").expect("a file");
    let (mut store, held) = Store::open(dir.path()).expect("the folder");
    assert!(held.members.is_empty());
    assert_eq!(held.found[0].spoilt, Some(Spoilt::Version));
    store.keep(1.0, vec![member(0, 1)], Stand::default()).expect("a generation of its own");
    assert!(dir.path().join("base-7").exists() && dir.path().join("base-8").exists());
}

#[test]
fn a_folder_that_disappears_while_running_is_reported_and_written_again_when_it_is_back() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = dir.path().join("state");
    let (mut store, _) = Store::open(&folder).expect("a folder");
    store.keep(1.0, vec![member(0, 1)], Stand::default()).expect("a base");
    fs::rename(&folder, dir.path().join("away")).expect("a move");
    // Writes to the open log still succeed; creating the next generation fails.
    let mut failed = false;
    for round in 2..4_000 {
        failed |= store
            .keep(2.0, (0..100).map(|number| member(number, round)).collect(), Stand::default())
            .is_err();
        if failed {
            break;
        }
    }
    assert!(failed, "no new generation can start in a folder that is missing");
    fs::create_dir(&folder).expect("a folder");
    store.keep(3.0, vec![member(200, 1)], Stand::default()).expect("all members in a new generation");
    drop(store);
    assert_eq!(load(&folder).expect("a folder").members.len(), 101);
}

#[test]
fn a_long_run_stays_as_large_as_its_members() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut store, _) = Store::open(dir.path()).expect("a folder");
    for round in 0..3_000 {
        store
            .keep(1.0, (0..20).map(|number| member(number, round)).collect(), Stand::default())
            .expect("room");
    }
    assert!(store.bytes() < 400 * 1_024, "{}", store.bytes());
    let files = fs::read_dir(dir.path()).expect("a folder").count();
    assert!(files <= 6, "two generations and a lock, not {files} files");
    drop(store);
    assert_eq!(load(dir.path()).expect("a folder").members[&"s-3".to_string()], member(3, 2_999));
}

#[test]
fn the_writer_keeps_the_newest_of_each_and_ends_with_all_written() {
    let dir = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(dir.path()).expect("a folder");
    let writer =
        Writer::start(store, Duration::from_millis(20), |result| panic!("{result:?}")).expect("a thread");
    for round in 0..200 {
        writer.keep((0..10).map(|number| member(number, round)).collect(), Stand::default());
        std::thread::sleep(Duration::from_millis(1));
    }
    writer.end();
    let until = Instant::now() + Duration::from_secs(5);
    let last = member(9, 199);
    while load(dir.path()).expect("a folder").members.get("s-9") != Some(&last) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(load(dir.path()).expect("a folder").members["s-9"], last);
}
