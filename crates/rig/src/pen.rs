//! Writes the history of the stand-ins to a file.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::rc::Rc;

use amberarch_histories::{Line, What};
use rustix::time::{clock_gettime, ClockId};

use crate::Fault;

/// The machine's monotonic clock in ns, the same for all processes on it.
pub fn now_ns() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

#[derive(Clone)]
pub struct HistoryWriter {
    file: Rc<RefCell<BufWriter<File>>>,
}

impl HistoryWriter {
    /// # Errors
    /// Fails if the file can't be created.
    pub fn new(path: &Path) -> Result<HistoryWriter, Fault> {
        let file = File::create(path).map_err(|why| Fault::Io("a history", why))?;
        Ok(HistoryWriter { file: Rc::new(RefCell::new(BufWriter::new(file))) })
    }

    pub fn write(&self, who: impl Into<String>, what: What) {
        let line = Line { at: now_ns(), who: who.into(), what };
        let mut file = self.file.borrow_mut();
        // A history with gaps would be checked wrongly, and the harness's own disk is not part of the faults: panic.
        serde_json::to_writer(&mut *file, &line).expect("a line of a history");
        file.write_all(b"\n").expect("room for a history");
    }

    pub fn flush(&self) {
        self.file.borrow_mut().flush().expect("room for a history");
    }
}
