//! Stores the members in a folder: `base-N` contains all of them, `log-N` the changes since. The previous generation
//! stays until the next one is durable. A lock on the file `lock` admits one process at a time.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use amberarch_roster::{Member, Stand, UnixMs};

use crate::record::{read, write, Record, Spoilt, MAGIC};

/// The log is compacted into a new base once it is larger than the base divided by this and larger than
/// `MIN_LOG_BYTES`, because a start has to read both files.
const BASE_TO_LOG_RATIO: u64 = 2;
const MIN_LOG_BYTES: u64 = 256 * 1_024;

/// Why the folder could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("another daemon uses the folder {0}")]
    Taken(PathBuf),
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("cannot encode a membership record: {0}")]
    Member(postcard::Error),
}

/// How much of a file is valid, and what is wrong with the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileContents {
    pub file: String,
    /// Number of valid records.
    pub records: usize,
    /// Number of valid bytes.
    pub bytes: u64,
    pub spoilt: Option<Spoilt>,
}

/// Contents of a folder.
#[derive(Debug, Default)]
pub struct Held {
    pub members: BTreeMap<String, Arc<Member>>,
    pub stand: Stand,
    pub generation: u64,
    /// Every file that was read, newest first.
    pub found: Vec<FileContents>,
}

impl Held {
    /// Whether any file that was read is corrupted. A base that was cut exactly between two records does not count
    /// here: it is incomplete and skipped.
    pub fn spoilt(&self) -> bool {
        self.found.iter().any(|file| file.spoilt.is_some())
    }
}

/// Reads a folder without changing it. Uses the newest complete base with the valid part of its log. A base that is
/// incomplete is skipped in favour of the previous one, whose log contains the same changes.
pub fn load(folder: &Path) -> Result<Held, Fault> {
    let (mut held, mut to_apply) = (Held::default(), Vec::new());
    for generation in generations(folder)?.into_iter().rev() {
        let (base, contents) = read_file(folder, "base", generation)?;
        let complete = matches!(base.last(), Some(Record::End { members }) if *members as usize + 3 == base.len())
            && matches!(base.first(), Some(Record::Head { generation: named, .. }) if *named == generation);
        held.found.push(contents);
        if !complete {
            // If no complete base is found, the records before the corrupted place of the newest base are used.
            if to_apply.is_empty() {
                to_apply = base;
            }
            continue;
        }
        let (log, contents) = read_file(folder, "log", generation)?;
        held.found.push(contents);
        held.generation = generation;
        to_apply = base.into_iter().chain(log).collect();
        break;
    }
    for record in to_apply {
        match record {
            Record::Member(member) => drop(held.members.insert(member.host.clone(), member)),
            Record::Stand(stand) => held.stand = held.stand.merge(stand),
            Record::Head { .. } | Record::End { .. } => {}
        }
    }
    Ok(held)
}

/// Numbers of all base files of a folder, in ascending order.
fn generations(folder: &Path) -> Result<Vec<u64>, Fault> {
    let fault = |why| Fault::Io(folder.to_path_buf(), why);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(fault)? {
        let name = entry.map_err(fault)?.file_name();
        let number: Option<u64> = name.to_str().and_then(|name| name.strip_prefix("base-")?.parse().ok());
        found.extend(number);
    }
    found.sort_unstable();
    Ok(found)
}

fn read_file(folder: &Path, kind: &str, generation: u64) -> Result<(Vec<Record>, FileContents), Fault> {
    let name = format!("{kind}-{generation}");
    let bytes = match fs::read(folder.join(&name)) {
        Ok(bytes) => bytes,
        // A log is created after its base is durable, so a missing log counts as empty.
        Err(why) if why.kind() == io::ErrorKind::NotFound && kind == "log" => MAGIC.to_vec(),
        Err(why) => return Err(Fault::Io(folder.join(name), why)),
    };
    let (records, valid, spoilt) = read(&bytes);
    let contents = FileContents { file: name, records: records.len(), bytes: valid, spoilt };
    Ok((records, contents))
}

/// The open folder, with all members in memory.
pub struct Store {
    folder: PathBuf,
    _lock: File,
    generation: u64,
    /// The log that changes are appended to; none until a base is written, and after a failed write.
    log: Option<File>,
    log_bytes: u64,
    base_bytes: u64,
    members: BTreeMap<String, Arc<Member>>,
    stand: Stand,
}

impl Store {
    /// Locks the folder and returns its contents. Nothing is appended to the files that are there: the first write
    /// starts a new generation.
    ///
    /// # Errors
    /// Another daemon uses the folder, or it can't be read.
    pub fn open(folder: &Path) -> Result<(Store, Held), Fault> {
        let fault = |why| Fault::Io(folder.to_path_buf(), why);
        fs::create_dir_all(folder).map_err(fault)?;
        let path = folder.join("lock");
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(fault)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Fault::Taken(folder.to_path_buf())),
            Err(TryLockError::Error(why)) => return Err(fault(why)),
        }
        let held = load(folder)?;
        let newest = generations(folder)?.last().copied().unwrap_or(0).max(held.generation);
        let store = Store {
            folder: folder.to_path_buf(),
            _lock: lock,
            generation: newest,
            log: None,
            log_bytes: 0,
            base_bytes: 0,
            members: held.members.clone(),
            stand: held.stand,
        };
        Ok((store, held))
    }

    /// Stores these members durably. After a failed write they stay in memory, and the next call writes them with a new
    /// generation.
    ///
    /// # Errors
    /// The folder can't be written: the disk is full, or the folder is missing or read-only.
    pub fn keep(&mut self, now: UnixMs, changed: Vec<Arc<Member>>, stand: Stand) -> Result<(), Fault> {
        let compact = self.log_bytes > MIN_LOG_BYTES.max(self.base_bytes / BASE_TO_LOG_RATIO);
        let mut bytes = Vec::new();
        for member in &changed {
            write(&Record::Member(member.clone()), &mut bytes).map_err(Fault::Member)?;
        }
        if stand != self.stand {
            self.stand = self.stand.merge(stand);
            write(&Record::Stand(self.stand), &mut bytes).map_err(Fault::Member)?;
        }
        self.members.extend(changed.into_iter().map(|member| (member.host.clone(), member)));
        let appended = match (&mut self.log, compact) {
            (Some(log), false) => append(log, &bytes),
            _ => return self.start_generation(now),
        };
        if let Err(why) = appended {
            // The log may end with a partial record, so nothing more is appended to it.
            self.log = None;
            return Err(Fault::Io(self.folder.clone(), why));
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new generation: a base with all members, which gets its name only once it is complete and durable, and
    /// an empty log.
    fn start_generation(&mut self, now: UnixMs) -> Result<(), Fault> {
        self.log = None;
        let generation = self.generation + 1;
        let mut bytes = MAGIC.to_vec();
        let mut append_record = |record: &Record| write(record, &mut bytes).map_err(Fault::Member);
        append_record(&Record::Head { generation, at: now })?;
        append_record(&Record::Stand(self.stand))?;
        for member in self.members.values() {
            append_record(&Record::Member(member.clone()))?;
        }
        append_record(&Record::End { members: self.members.len() as u64 })?;
        let fault = |why| Fault::Io(self.folder.clone(), why);
        let (new, base) = (self.folder.join("new"), self.folder.join(format!("base-{generation}")));
        let mut file = File::create(&new).map_err(fault)?;
        append(&mut file, &bytes).map_err(fault)?;
        fs::rename(&new, base).map_err(fault)?;
        let mut log = File::create(self.folder.join(format!("log-{generation}"))).map_err(fault)?;
        append(&mut log, &MAGIC).map_err(fault)?;
        // New file names are durable only once the folder is synced.
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(fault)?;
        (self.generation, self.log, self.log_bytes) = (generation, Some(log), 0);
        self.base_bytes = bytes.len() as u64;
        // The previous generation stays until the next one is complete. Files that can't be removed are tried again
        // with the next generation.
        for old in generations(&self.folder)?.into_iter().filter(|old| old + 1 < generation) {
            for kind in ["base", "log"] {
                let _ = fs::remove_file(self.folder.join(format!("{kind}-{old}")));
            }
        }
        Ok(())
    }

    pub fn members(&self) -> &BTreeMap<String, Arc<Member>> {
        &self.members
    }

    /// Size of the files of this generation, in bytes.
    pub fn bytes(&self) -> u64 {
        self.base_bytes + self.log_bytes
    }

    /// Removes expired members from memory; the next generation no longer contains them.
    pub fn remove_expired(&mut self, expired: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| !expired(member));
    }
}

fn append(file: &mut File, bytes: &[u8]) -> io::Result<()> {
    file.write_all(bytes)?;
    file.sync_data()
}
