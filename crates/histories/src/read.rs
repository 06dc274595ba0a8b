//! Merges the lines of several files into one history in order of time, while it is being checked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use crate::Line;

/// Maximum line length in bytes. Real lines are far shorter; the limit keeps a file that is not a history
/// from filling the memory.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Errors that make a history unreadable. An incomplete last line is no error, since a killed process leaves
/// one.
#[derive(Debug, thiserror::Error)]
pub enum Spoilt {
    #[error("{file} can't be read: {why}")]
    Io { file: String, why: std::io::Error },
    #[error("{file}, line {line}: not an event of a history: {why}")]
    NoLine { file: String, line: u64, why: serde_json::Error },
    #[error("{file}, line {line}: longer than {MAX_LINE_BYTES} bytes")]
    TooLong { file: String, line: u64 },
    #[error("{file}, line {line}: at {at} ns, after a line at {before} ns")]
    Backwards { file: String, line: u64, at: u64, before: u64 },
}

impl Spoilt {
    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Spoilt::Io { .. } => "check that the file exists and is readable, then run the check again",
            Spoilt::NoLine { .. } => {
                "write each run of a process to a file of its own: a run that appends to an earlier file \
                 continues the incomplete line of a killed process; otherwise the file has another version or format"
            }
            Spoilt::TooLong { .. } => "pass only files that contain histories",
            Spoilt::Backwards { .. } => "the writer must read the clock while it holds the write lock",
        }
    }
}

struct Source {
    file: String,
    from: Box<dyn BufRead + Send>,
    read: u64,
    last: u64,
    next: Option<Line>,
}

/// Iterates over the lines of several files, ordered by `at`. Each file keeps its own order; of lines with
/// equal times, the file named first comes first. Only one line per file is held in memory.
pub struct Reader {
    files: Vec<Source>,
    order: BinaryHeap<Reverse<(u64, usize)>>,
    bytes: Vec<u8>,
    partial_lines: u64,
    failed: Option<Spoilt>,
}

impl Reader {
    pub fn open(paths: &[impl AsRef<Path>]) -> Result<Reader, Spoilt> {
        let mut named: Vec<(String, Box<dyn BufRead + Send>)> = Vec::new();
        for path in paths {
            let name = path.as_ref().display().to_string();
            match File::open(path) {
                Ok(file) => named.push((name, Box::new(BufReader::with_capacity(1 << 16, file)))),
                Err(why) => return Err(Spoilt::Io { file: name, why }),
            }
        }
        Reader::of(named)
    }

    /// Creates a reader from open sources, each with the name that error messages use.
    pub fn of(named: Vec<(String, Box<dyn BufRead + Send>)>) -> Result<Reader, Spoilt> {
        let files = named.into_iter().map(|(file, from)| Source { file, from, read: 0, last: 0, next: None });
        let mut reader = Reader {
            files: files.collect(),
            order: BinaryHeap::new(),
            bytes: Vec::new(),
            partial_lines: 0,
            failed: None,
        };
        for place in 0..reader.files.len() {
            reader.advance(place)?;
        }
        Ok(reader)
    }

    /// Number of incomplete last lines so far.
    pub fn half_lines(&self) -> u64 {
        self.partial_lines
    }

    fn advance(&mut self, place: usize) -> Result<(), Spoilt> {
        let source = &mut self.files[place];
        self.bytes.clear();
        let read = (&mut source.from).take(MAX_LINE_BYTES).read_until(b'\n', &mut self.bytes);
        let read = read.map_err(|why| Spoilt::Io { file: source.file.clone(), why })?;
        if read == 0 {
            return Ok(());
        }
        source.read += 1;
        let whole = self.bytes.last() == Some(&b'\n');
        if !whole && read as u64 == MAX_LINE_BYTES {
            return Err(Spoilt::TooLong { file: source.file.clone(), line: source.read });
        }
        match serde_json::from_slice::<Line>(&self.bytes) {
            Ok(line) if line.at < source.last => Err(Spoilt::Backwards {
                file: source.file.clone(),
                line: source.read,
                at: line.at,
                before: source.last,
            }),
            Ok(line) => {
                source.last = line.at;
                self.order.push(Reverse((line.at, place)));
                source.next = Some(line);
                Ok(())
            }
            Err(_) if !whole => {
                self.partial_lines += 1;
                Ok(())
            }
            Err(why) => Err(Spoilt::NoLine { file: source.file.clone(), line: source.read, why }),
        }
    }
}

impl Iterator for Reader {
    type Item = Result<Line, Spoilt>;

    fn next(&mut self) -> Option<Self::Item> {
        if let Some(why) = self.failed.take() {
            self.order.clear();
            return Some(Err(why));
        }
        let Reverse((_, place)) = self.order.pop()?;
        let line = self.files[place].next.take()?;
        // An error after this line must not suppress the line itself.
        self.failed = self.advance(place).err();
        Some(Ok(line))
    }
}
