//! Durable store of a voter: a log of records, and a seal file with the log length that was synced when the voter last
//! made a promise (a vote or an acknowledged entry) based on it. A lock on the file `lock` admits one process at a
//! time.
//!
//! `log-N` is appended and synced, then `sealed` is overwritten with N and the log's length, and synced. Messages are
//! sent only afterwards. Corrupted data beyond the sealed length was therefore never promised and is truncated;
//! corrupted data before it may have been, so such a folder is refused.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use amberarch_accord::{Base, Disk, Kept, Lasting, Logged, Place, Term};
use amberarch_snapshot::{frame, frames};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"amberfl\x01";
/// Largest record, bytes. A record holds an entry or a snapshot, and messages between members are limited to 64 MiB.
const MAX_RECORD_BYTES: usize = 128 << 20;
const SEAL: &[u8; 8] = b"amberse\x01";

#[derive(Serialize, Deserialize)]
enum Record {
    /// First record of a file: the voter's disk id, and the number of the log.
    Head {
        disk: Disk,
        number: u64,
    },
    Lasting(Lasting),
    /// Initial contents of a log that replaces another after compaction.
    Begin(Box<Begin>),
}

#[derive(Serialize, Deserialize)]
struct Begin {
    term: Term,
    voted: Option<amberarch_accord::Name>,
    base: Option<((Term, Place), Base)>,
    entries: Vec<Logged>,
}

/// Why the store can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("another process uses the folder {0}")]
    InUse(PathBuf),
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("{0} is corrupted at byte {1}, and the voter may have promised its contents up to byte {2}")]
    Lost(PathBuf, u64, u64),
    #[error("{0} has no seal file or a corrupted one: how much the voter has promised is unknown")]
    Unsealed(PathBuf),
    #[error("a record that can't be written: {0}")]
    Record(postcard::Error),
    #[error(
        "an earlier write failed; the voter makes no more promises on this folder until it is restarted"
    )]
    Stopped,
}

impl Fault {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::InUse(_) => "end the other process, or give this member a folder of its own",
            Fault::Io(..) => "repair the disk (space, permissions, mount) and start the member again; the others go on",
            Fault::Lost(..) | Fault::Unsealed(_) => {
                "don't vote on it: take the member out of the file at the others, empty the folder, start it, and \
                 put it back as a voter once it has caught up"
            }
            Fault::Record(_) => "this is a defect: keep the log and the folder, and report it",
            Fault::Stopped => "repair what the log reported first, then start the member again",
        }
    }
}

pub struct Store {
    folder: PathBuf,
    _lock: File,
    seal: File,
    log: File,
    number: u64,
    bytes: u64,
    kept: Kept,
    disk: Disk,
    stopped: bool,
}

/// State of the folder at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// The folder was empty: a new disk id was written.
    New,
    Whole,
    /// This many bytes beyond the sealed length were partly written and never promised; they were truncated.
    Cut(u64),
}

impl Store {
    /// Locks and reads the folder. An empty folder gets the disk id `fresh`.
    ///
    /// # Errors
    /// Another process uses it, it can't be read or written, or data that may have been promised is corrupted.
    pub fn open(folder: &Path, fresh: Disk) -> Result<(Store, Found), Fault> {
        let io = |why| Fault::Io(folder.to_path_buf(), why);
        fs::create_dir_all(folder).map_err(io)?;
        let lock = folder.join("lock");
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(lock).map_err(io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Fault::InUse(folder.to_path_buf())),
            Err(TryLockError::Error(why)) => return Err(io(why)),
        }
        let path = folder.join("sealed");
        let sealed = match fs::read(&path) {
            Ok(bytes) => Some(unseal(&bytes).ok_or_else(|| Fault::Unsealed(folder.to_path_buf()))?),
            Err(why) if why.kind() == io::ErrorKind::NotFound => None,
            Err(why) => return Err(Fault::Io(path, why)),
        };
        let Some((number, length)) = sealed else {
            // A first start that ended before the seal file was renamed into place has promised nothing and left at
            // most one log.
            let logs = logs(folder)?;
            let begun = logs.iter().all(|number| *number == 1)
                && fs::metadata(name(folder, 1)).map_or(true, |log| log.len() <= 64);
            return match begun {
                true => Store::begin(folder, lock, fresh).map(|store| (store, Found::New)),
                false => Err(Fault::Unsealed(folder.to_path_buf())),
            };
        };
        let path = name(folder, number);
        let bytes = fs::read(&path).map_err(|why| match why.kind() {
            io::ErrorKind::NotFound => Fault::Lost(path.clone(), 0, length),
            _ => Fault::Io(path.clone(), why),
        })?;
        let (records, good, _) = frames::<Record>(&bytes, MAGIC, MAX_RECORD_BYTES);
        let lost = || Fault::Lost(path.clone(), good, length);
        if good < length {
            return Err(lost());
        }
        let mut records = records.into_iter();
        let disk = match records.next() {
            Some(Record::Head { disk, number: head }) if head == number => disk,
            _ => return Err(lost()),
        };
        let mut kept = Kept { disk: Some(disk), ..Kept::default() };
        records.for_each(|record| match record {
            Record::Lasting(lasting) => apply(&mut kept, lasting),
            Record::Begin(begin) => {
                let Begin { term, voted, base, entries } = *begin;
                kept = Kept { disk: Some(disk), term, voted, base, entries };
            }
            Record::Head { .. } => {}
        });
        let cut = bytes.len() as u64 - good;
        let mut log = OpenOptions::new().write(true).open(&path).map_err(io)?;
        if cut > 0 {
            log.set_len(good).and_then(|()| log.sync_all()).map_err(io)?;
        }
        log.seek(SeekFrom::Start(good)).map_err(io)?;
        let seal = OpenOptions::new().write(true).open(folder.join("sealed")).map_err(io)?;
        let (folder, stopped) = (folder.to_path_buf(), false);
        let mut store = Store { folder, _lock: lock, seal, log, number, bytes: good, kept, disk, stopped };
        // Intact records beyond the seal are used from now on, so they are sealed like promised ones.
        store.seal()?;
        store.clear();
        Ok((store, if cut > 0 { Found::Cut(cut) } else { Found::Whole }))
    }

    fn begin(folder: &Path, lock: File, disk: Disk) -> Result<Store, Fault> {
        let io = |why| Fault::Io(folder.to_path_buf(), why);
        let (log, bytes) = create(folder, 1, &[Record::Head { disk, number: 1 }])?;
        // The seal file is renamed into place once it is complete; from then on the folder is initialized.
        let new = folder.join("sealed.new");
        let mut seal = File::create(&new).map_err(io)?;
        seal.write_all(&sealed(1, bytes)).and_then(|()| seal.sync_all()).map_err(io)?;
        fs::rename(&new, folder.join("sealed")).map_err(io)?;
        sync(folder)?;
        let kept = Kept { disk: Some(disk), ..Kept::default() };
        let folder = folder.to_path_buf();
        Ok(Store { folder, _lock: lock, seal, log, number: 1, bytes, kept, disk, stopped: false })
    }

    /// The durable state so far, with the disk id.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn disk(&self) -> Disk {
        self.disk
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes the records durably: they are synced when this returns. After a failure nothing more is written: the
    /// contents of the disk are unknown, so only the next start may make promises based on them.
    ///
    /// # Errors
    /// The folder can't be written: it is full, missing or read-only.
    pub fn last(&mut self, lasting: &[Lasting]) -> Result<(), Fault> {
        if self.stopped {
            return Err(Fault::Stopped);
        }
        let done = self.write(lasting);
        self.stopped = done.is_err();
        done
    }

    fn write(&mut self, lasting: &[Lasting]) -> Result<(), Fault> {
        lasting.iter().for_each(|lasting| apply(&mut self.kept, lasting.clone()));
        // A snapshot makes the entries before it obsolete, so a new log is begun with it.
        if lasting.iter().any(|lasting| matches!(lasting, Lasting::Base { .. })) {
            return self.rotate();
        }
        let mut bytes = Vec::new();
        for lasting in lasting {
            frame(&Record::Lasting(lasting.clone()), &mut bytes).map_err(Fault::Record)?;
        }
        let io = |why| Fault::Io(name(&self.folder, self.number), why);
        self.log.write_all(&bytes).and_then(|()| self.log.sync_data()).map_err(io)?;
        self.bytes += bytes.len() as u64;
        self.seal()
    }

    /// Starts the next log. It is complete and synced before the seal refers to it.
    fn rotate(&mut self) -> Result<(), Fault> {
        let Kept { term, voted, base, entries, .. } = self.kept.clone();
        let (disk, number) = (self.disk, self.number + 1);
        let records =
            [Record::Head { disk, number }, Record::Begin(Box::new(Begin { term, voted, base, entries }))];
        let (log, bytes) = create(&self.folder, number, &records)?;
        (self.log, self.bytes, self.number) = (log, bytes, number);
        self.seal()?;
        self.clear();
        Ok(())
    }

    /// Overwrites the seal in place: a disk writes a sector completely or not at all, and a corrupted seal is refused.
    fn seal(&mut self) -> Result<(), Fault> {
        let io = |why| Fault::Io(self.folder.join("sealed"), why);
        self.seal.seek(SeekFrom::Start(0)).map_err(io)?;
        self.seal.write_all(&sealed(self.number, self.bytes)).map_err(io)?;
        self.seal.sync_data().map_err(io)
    }

    /// Removes other logs; a failed removal is tried again next time.
    fn clear(&self) {
        for other in logs(&self.folder).unwrap_or_default() {
            if other != self.number {
                let _ = fs::remove_file(name(&self.folder, other));
            }
        }
    }
}

/// Applies a record to the durable state, with the same rules as consensus applies its log.
fn apply(kept: &mut Kept, lasting: Lasting) {
    let before = kept.base.as_ref().map_or(0, |((_, place), _)| place.0);
    match lasting {
        Lasting::Vote { term, voted } => (kept.term, kept.voted) = (term, voted),
        Lasting::Entries { from, entries } => {
            kept.entries.truncate(from.0.saturating_sub(before + 1) as usize);
            kept.entries.extend(entries);
        }
        Lasting::Base { at, base } => {
            // Raft, figure 13: entries after the snapshot are kept if the log agrees with it at its index.
            let upto = at.1 .0.saturating_sub(before) as usize;
            let agrees = match upto.checked_sub(1) {
                Some(index) => kept.entries.get(index).is_some_and(|logged| logged.term == at.0),
                None => kept.base.as_ref().map_or((Term(0), Place(0)), |(base, _)| *base) == at,
            };
            if agrees {
                kept.entries.drain(..upto);
            } else {
                kept.entries.clear();
            }
            kept.base = Some((at, *base));
        }
    }
}

fn name(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number}"))
}

fn logs(folder: &Path) -> Result<Vec<u64>, Fault> {
    let io = |why| Fault::Io(folder.to_path_buf(), why);
    let mut all = Vec::new();
    for entry in fs::read_dir(folder).map_err(io)? {
        let name = entry.map_err(io)?.file_name();
        all.extend(name.to_str().and_then(|name| name.strip_prefix("log-")?.parse::<u64>().ok()));
    }
    Ok(all)
}

fn create(folder: &Path, number: u64, records: &[Record]) -> Result<(File, u64), Fault> {
    let path = name(folder, number);
    let io = |why| Fault::Io(path.clone(), why);
    let mut bytes = MAGIC.to_vec();
    for record in records {
        frame(record, &mut bytes).map_err(Fault::Record)?;
    }
    let mut log = File::create(&path).map_err(io)?;
    log.write_all(&bytes).and_then(|()| log.sync_all()).map_err(io)?;
    sync(folder)?;
    Ok((log, bytes.len() as u64))
}

/// Syncs the folder: the names of new files are durable only after that.
fn sync(folder: &Path) -> Result<(), Fault> {
    let synced = File::open(folder).and_then(|folder| folder.sync_all());
    synced.map_err(|why| Fault::Io(folder.to_path_buf(), why))
}

fn sealed(number: u64, length: u64) -> [u8; 28] {
    let mut bytes = [0; 28];
    bytes[..8].copy_from_slice(SEAL);
    bytes[8..16].copy_from_slice(&number.to_le_bytes());
    bytes[16..24].copy_from_slice(&length.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..24]);
    bytes[24..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn unseal(bytes: &[u8]) -> Option<(u64, u64)> {
    let bytes: &[u8; 28] = bytes.try_into().ok()?;
    let word = |from: usize| Some(u64::from_le_bytes(bytes[from..from + 8].try_into().ok()?));
    let (number, length) = (word(8)?, word(16)?);
    (sealed(number, length) == *bytes).then_some((number, length))
}
