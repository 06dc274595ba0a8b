//! A folder that holds the members: `base-N` with all of them, `log-N` with what changed since, and the generation
//! before, until the next is safe. One process at a time, by a lock on the file `lock`.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use amberarch_roster::{Member, Stand, UnixMs};

use crate::record::{read, write, Record, Spoilt, MAGIC};

/// A log that is larger than this part of its base, and than this at all, is folded into the next base: a start reads
/// both.
const PART: u64 = 2;
const LEAST_LOG: u64 = 256 * 1_024;

/// How far something came.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("another daemon uses the folder {0}")]
    Taken(PathBuf),
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("a member that can't be written: {0}")]
    Member(postcard::Error),
}

/// What was found wrong with a file, and how much of it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub file: String,
    pub records: usize,
    pub bytes: u64,
    pub spoilt: Option<Spoilt>,
}

/// All that a folder holds.
#[derive(Debug, Default)]
pub struct Held {
    pub members: BTreeMap<String, Arc<Member>>,
    pub stand: Stand,
    pub generation: u64,
    /// Each file that was looked at, newest first.
    pub found: Vec<Found>,
}

impl Held {
    /// Something was spoilt, or an older generation had to serve.
    pub fn spoilt(&self) -> bool {
        self.found.iter().any(|found| found.spoilt.is_some())
    }
}

/// Reads a folder without changing it. The newest finished base serves, with the good part of its log; a base that is
/// not whole is passed over for the one before it, whose log then holds the same changes.
pub fn load(folder: &Path) -> Result<Held, Fault> {
    let (mut held, mut prefix) = (Held::default(), Vec::new());
    for generation in generations(folder)?.into_iter().rev() {
        let (base, found) = file(folder, "base", generation)?;
        let whole = matches!(base.last(), Some(Record::End { members }) if *members as usize + 3 == base.len())
            && matches!(base.first(), Some(Record::Head { generation: head, .. }) if *head == generation);
        held.found.push(found);
        if !whole {
            // Where nothing better is found, what stands before the spoilt place still does.
            if prefix.is_empty() {
                prefix = base;
            }
            continue;
        }
        let (log, found) = file(folder, "log", generation)?;
        held.found.push(found);
        held.generation = generation;
        prefix = base.into_iter().chain(log).collect();
        break;
    }
    for record in prefix {
        match record {
            Record::Member(member) => drop(held.members.insert(member.host.clone(), member)),
            Record::Stand(stand) => held.stand = held.stand.merge(stand),
            Record::Head { .. } | Record::End { .. } => {}
        }
    }
    Ok(held)
}

fn generations(folder: &Path) -> Result<Vec<u64>, Fault> {
    let fault = |why| Fault::Io(folder.to_path_buf(), why);
    let mut all = Vec::new();
    for entry in fs::read_dir(folder).map_err(fault)? {
        let name = entry.map_err(fault)?.file_name();
        let number: Option<u64> = name.to_str().and_then(|name| name.strip_prefix("base-")?.parse().ok());
        all.extend(number);
    }
    all.sort_unstable();
    Ok(all)
}

fn file(folder: &Path, kind: &str, generation: u64) -> Result<(Vec<Record>, Found), Fault> {
    let name = format!("{kind}-{generation}");
    let bytes = match fs::read(folder.join(&name)) {
        Ok(bytes) => bytes,
        // A log is begun after its base is safe: one that is not there yet holds nothing.
        Err(why) if why.kind() == io::ErrorKind::NotFound && kind == "log" => MAGIC.to_vec(),
        Err(why) => return Err(Fault::Io(folder.join(name), why)),
    };
    let (records, good, spoilt) = read(&bytes);
    let found = Found { file: name, records: records.len(), bytes: good, spoilt };
    Ok((records, found))
}

pub struct Store {
    folder: PathBuf,
    _lock: File,
    generation: u64,
    log: Option<File>,
    log_bytes: u64,
    base_bytes: u64,
    members: BTreeMap<String, Arc<Member>>,
    stand: Stand,
}

impl Store {
    /// Takes the folder, and gives back what it held. What was spoilt is not written on: a new generation begins.
    ///
    /// # Errors
    /// Another daemon has it, or it can't be read.
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

    /// Keeps these members durably. What fails is kept in memory and goes with the next call, as a new generation.
    ///
    /// # Errors
    /// The folder can't be written: full, gone, read-only.
    pub fn keep(&mut self, now: UnixMs, changed: Vec<Arc<Member>>, stand: Stand) -> Result<(), Fault> {
        let grown = self.log_bytes > LEAST_LOG.max(self.base_bytes / PART);
        let mut bytes = Vec::new();
        for member in &changed {
            write(&Record::Member(member.clone()), &mut bytes).map_err(Fault::Member)?;
        }
        if stand != self.stand {
            self.stand = self.stand.merge(stand);
            write(&Record::Stand(self.stand), &mut bytes).map_err(Fault::Member)?;
        }
        self.members.extend(changed.into_iter().map(|member| (member.host.clone(), member)));
        let appended = match (&mut self.log, grown) {
            (Some(log), false) => append(log, &bytes),
            _ => return self.begin(now),
        };
        if let Err(why) = appended {
            // Half a record may stand at its end: nothing more goes behind it.
            self.log = None;
            return Err(Fault::Io(self.folder.clone(), why));
        }
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// A new generation: all members in a base that has its name only once it is whole and safe, and an empty log.
    fn begin(&mut self, now: UnixMs) -> Result<(), Fault> {
        self.log = None;
        let generation = self.generation + 1;
        let mut bytes = MAGIC.to_vec();
        let mut record = |record: &Record| write(record, &mut bytes).map_err(Fault::Member);
        record(&Record::Head { generation, at: now })?;
        record(&Record::Stand(self.stand))?;
        for member in self.members.values() {
            record(&Record::Member(member.clone()))?;
        }
        record(&Record::End { members: self.members.len() as u64 })?;
        let fault = |why| Fault::Io(self.folder.clone(), why);
        let (new, base) = (self.folder.join("new"), self.folder.join(format!("base-{generation}")));
        let mut file = File::create(&new).map_err(fault)?;
        append(&mut file, &bytes).map_err(fault)?;
        fs::rename(&new, base).map_err(fault)?;
        let mut log = File::create(self.folder.join(format!("log-{generation}"))).map_err(fault)?;
        append(&mut log, &MAGIC).map_err(fault)?;
        // The names are safe only with the folder.
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(fault)?;
        (self.generation, self.log, self.log_bytes) = (generation, Some(log), 0);
        self.base_bytes = bytes.len() as u64;
        // The one before stays until this one is followed; what can't be removed is looked at again next time.
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

    /// What the files of this generation hold, in bytes.
    pub fn bytes(&self) -> u64 {
        self.base_bytes + self.log_bytes
    }

    /// Lets a member go; gone from the next generation on.
    pub fn drop_forgotten(&mut self, forgotten: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| !forgotten(member));
    }
}

fn append(file: &mut File, bytes: &[u8]) -> io::Result<()> {
    file.write_all(bytes)?;
    file.sync_data()
}
