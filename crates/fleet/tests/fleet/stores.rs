//! Stores whose files are truncated, corrupted, missing or used by two processes.

use std::fs;
use std::path::{Path, PathBuf};

use amberarch_accord::{Base, Disk, Entry, Kept, Lasting, Logged, Name, Place, Stage, StageNo, Term};
use amberarch_fleet::{Found, Store, StoreFault};

fn vote(term: u64) -> Lasting {
    Lasting::Vote { term: Term(term), voted: Some(Name::from("m1")) }
}

fn entries(from: u64, count: u64, term: u64) -> Lasting {
    let logged = Logged { term: Term(term), entry: Entry::Begun };
    Lasting::Entries { from: Place(from), entries: vec![logged; count as usize] }
}

fn base(term: u64, place: u64) -> Lasting {
    let stage = Stage { no: StageNo(place), ..Stage::default() };
    Lasting::Base { at: (Term(term), Place(place)), base: Box::new(Base { stage, ..Base::default() }) }
}

fn open(folder: &Path) -> Result<(Store, Found), StoreFault> {
    Store::open(folder, Disk(7))
}

fn log(folder: &Path) -> PathBuf {
    let mut logs = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    logs.find(|path| path.file_name().unwrap().to_str().unwrap().starts_with("log-")).unwrap()
}

/// Records of all kinds, to be written one after the other.
fn steps() -> Vec<Lasting> {
    vec![vote(1), entries(1, 3, 1), vote(2), entries(3, 4, 2), base(2, 5), entries(8, 1, 3), vote(4)]
}

fn written(folder: &Path) -> Vec<Kept> {
    let (mut store, found) = open(folder).unwrap();
    assert_eq!(found, Found::New);
    let mut all = vec![store.kept().clone()];
    for step in steps() {
        store.last(&[step]).unwrap();
        all.push(store.kept().clone());
    }
    all
}

#[test]
fn what_was_made_to_last_is_kept_with_its_disk() {
    let dir = tempfile::tempdir().unwrap();
    let all = written(dir.path());
    let (store, found) = Store::open(dir.path(), Disk(8)).unwrap();
    assert_eq!((store.disk(), found), (Disk(7), Found::Whole));
    assert_eq!(store.kept(), all.last().unwrap());
    assert_eq!(store.kept().term, Term(4));
    // Six entries were logged, five of them are covered by the snapshot, and one was appended after it.
    assert_eq!((store.kept().entries.len(), store.kept().base.as_ref().unwrap().0 .1), (2, Place(5)));
    assert!(matches!(open(dir.path()), Err(StoreFault::InUse(_))));
}

/// A process that is killed during a write leaves a partial record after the promised ones.
#[test]
fn half_a_record_behind_the_seal_is_cut_off() {
    let dir = tempfile::tempdir().unwrap();
    let all = written(dir.path());
    let path = log(dir.path());
    let whole = fs::read(&path).unwrap();
    let tails: [&[u8]; 3] = [&[1], &[200, 0, 0, 0, 1, 2, 3, 4, 5], &[3, 0, 0, 0, 9, 9, 9, 9, 1, 2, 3]];
    for tail in tails {
        fs::write(&path, [&whole, tail].concat()).unwrap();
        let (store, found) = open(dir.path()).unwrap();
        assert_eq!((store.kept(), found), (all.last().unwrap(), Found::Cut(tail.len() as u64)));
    }
    let (mut store, found) = open(dir.path()).unwrap();
    assert_eq!(found, Found::Whole);
    store.last(&[vote(9)]).unwrap();
    drop(store);
    assert_eq!(open(dir.path()).unwrap().0.kept().term, Term(9));
}

/// Guards against a vote that is granted, lost and granted again to another candidate: every corrupted byte before the
/// seal must be detected.
#[test]
fn a_byte_that_changes_or_is_cut_before_the_seal_is_never_passed_over() {
    let dir = tempfile::tempdir().unwrap();
    written(dir.path());
    let (log, sealed) = (log(dir.path()), dir.path().join("sealed"));
    for path in [&log, &sealed] {
        let whole = fs::read(path).unwrap();
        for at in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x5a;
            fs::write(path, &bytes).unwrap();
            let opened = open(dir.path()).map(|(store, found)| (store.kept().clone(), found));
            assert!(opened.is_err(), "{} with byte {at} flipped: {opened:?}", path.display());
            fs::write(path, &whole[..at]).unwrap();
            assert!(open(dir.path()).is_err(), "{} cut at {at}", path.display());
        }
        fs::remove_file(path).unwrap();
        let lost = open(dir.path()).err().expect("a file that was taken away is missed");
        assert!(matches!(lost, StoreFault::Lost(..) | StoreFault::Unsealed(_)), "{lost}");
        fs::write(path, &whole).unwrap();
    }
    assert!(open(dir.path()).is_ok());
}

/// Guards against a first start that is interrupted before any promise and then can't be repeated.
#[test]
fn a_first_start_that_was_cut_short_begins_anew() {
    let dir = tempfile::tempdir().unwrap();
    drop(open(dir.path()).unwrap());
    fs::remove_file(dir.path().join("sealed")).unwrap();
    let (store, found) = Store::open(dir.path(), Disk(9)).unwrap();
    assert_eq!((store.disk(), found), (Disk(9), Found::New));
}

/// A crash between writing the next log and sealing it leaves both logs; the seal tells which one is valid.
#[test]
fn a_log_that_no_seal_names_yet_counts_for_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let all = written(dir.path());
    let next = dir.path().join("log-9");
    fs::write(&next, b"half of the next log").unwrap();
    let (store, _) = open(dir.path()).unwrap();
    assert_eq!(store.kept(), all.last().unwrap());
    assert!(!next.exists());
}

/// After a failed write the contents of the disk are unknown: this process must make no more promises based on them.
#[test]
fn a_write_that_failed_is_the_last_one() {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, _) = open(dir.path()).unwrap();
    store.last(&[vote(1)]).unwrap();
    // The next log can't be created: a folder has its name.
    fs::create_dir(dir.path().join("log-2")).unwrap();
    assert!(matches!(store.last(&[base(1, 0)]), Err(StoreFault::Io(..))));
    assert!(matches!(store.last(&[vote(2)]), Err(StoreFault::Stopped)));
    drop(store);
    fs::remove_dir(dir.path().join("log-2")).unwrap();
    let (store, _) = open(dir.path()).unwrap();
    assert_eq!(store.kept().term, Term(1));
}
