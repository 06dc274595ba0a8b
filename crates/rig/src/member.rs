//! A controller as a process of the real binary: its folder, its disk, its signals and its output.

use std::cell::{Cell, RefCell};
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amberarch_histories::{Held, Line, What};
use rustix::fs::{mkfifoat, Mode, CWD};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use tokio::sync::watch;

use crate::Fault;

/// The last line of a history, written by the harness to end the reader.
const END: &str = "\"end\"";

/// Output of a controller so far: history and log lines.
#[derive(Default)]
struct Output {
    lines: Vec<Line>,
    log: Vec<String>,
}

pub struct Member {
    pub name: String,
    pub dir: PathBuf,
    binary: PathBuf,
    child: RefCell<Option<Child>>,
    output: Arc<Mutex<Output>>,
    /// Raised with each line of output.
    activity: watch::Sender<u64>,
    /// Number of log lines at the last start.
    log_lines_before: Cell<usize>,
    /// Number of history lines at the last start.
    lines_before: Cell<usize>,
    reader: RefCell<Option<std::thread::JoinHandle<()>>>,
}

impl Member {
    /// Creates the folder of the process. The history goes through a pipe, so that the limit on file sizes that emulates a
    /// full disk does not cause gaps in it.
    ///
    /// # Errors
    /// Fails if a file can't be created.
    pub fn new(
        dir: PathBuf,
        name: &str,
        binary: &Path,
        activity: watch::Sender<u64>,
    ) -> Result<Member, Fault> {
        let io = |why| Fault::Io("a controller's folder", why);
        fs::create_dir_all(&dir).map_err(io)?;
        let pipe = dir.join("history.pipe");
        mkfifoat(CWD, &pipe, Mode::RUSR | Mode::WUSR).map_err(|why| io(why.into()))?;
        // Opened for reading and writing, the pipe neither blocks until the process opens it nor ends with the process.
        let source = OpenOptions::new().read(true).write(true).open(&pipe).map_err(io)?;
        let mut kept = File::create(dir.join("history.jsonl")).map_err(io)?;
        let output = Arc::new(Mutex::new(Output::default()));
        let (into, notify) = (output.clone(), activity.clone());
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(source).lines().map_while(Result::ok) {
                if line == END {
                    return;
                }
                if line.is_empty() {
                    continue;
                }
                let _ = writeln!(kept, "{line}");
                if let Ok(line) = serde_json::from_str(&line) {
                    into.lock().expect("its lines").lines.push(line);
                }
                notify.send_modify(|count| *count += 1);
            }
        });
        let (child, reader) = (RefCell::new(None), RefCell::new(Some(reader)));
        Ok(Member {
            name: name.into(),
            dir,
            binary: binary.into(),
            child,
            output,
            activity,
            log_lines_before: Cell::new(0),
            lines_before: Cell::new(0),
            reader,
        })
    }

    pub fn write(&self, file: &str, text: &str) -> Result<(), Fault> {
        fs::write(self.dir.join(file), text).map_err(|why| Fault::Io("a controller's file", why))
    }

    /// The folder of the controller's durable state.
    pub fn disk(&self) -> PathBuf {
        self.dir.join("disk")
    }

    /// Starts the process. SIGXFSZ is ignored, so that a write beyond the limit on file sizes fails as on a full disk.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn start(&self) -> Result<(), Fault> {
        self.kill();
        {
            let output = self.output.lock().expect("its log");
            self.log_lines_before.set(output.log.len());
            self.lines_before.set(output.lines.len());
        }
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(&self.binary);
        command.args(["run", "--operator", "operator.toml"]).current_dir(&self.dir);
        command.env("GW_CONFIG", "config.json").env_remove("GW_LISTEN").env_remove("GW_DISCOVERY");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|why| Fault::Io("a controller", why))?;
        let log = OpenOptions::new().create(true).append(true).open(self.dir.join("log"));
        let mut log = log.map_err(|why| Fault::Io("a log", why))?;
        let (into, notify) = (self.output.clone(), self.activity.clone());
        if let Some(stderr) = child.stderr.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = writeln!(log, "{line}");
                    into.lock().expect("its log").log.push(line);
                    notify.send_modify(|count| *count += 1);
                }
            });
        }
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    fn pid(&self) -> Option<Pid> {
        self.child.borrow().as_ref().map(Pid::from_child)
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process handles signals by now; an earlier signal would end it.
    pub fn started(&self) -> bool {
        self.last_log_line(" started, ").is_some_and(|(at, _)| at >= self.log_lines_before.get())
    }

    /// Time that each thread has been runnable without a core since it began, ms (proc(5), schedstat).
    pub fn waited(&self) -> Vec<(String, f64)> {
        let Some(pid) = self.pid() else { return vec![] };
        let tasks =
            fs::read_dir(format!("/proc/{}/task", pid.as_raw_nonzero())).into_iter().flatten().flatten();
        let of = |task: fs::DirEntry| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            let waited: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
            Some((task.path().display().to_string(), waited / 1e6))
        };
        tasks.filter_map(of).collect()
    }

    /// Kills the process with SIGKILL, also when it is stopped.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the exit. Returns false if the process does not exit in time.
    pub async fn term(&self, within: Duration) -> bool {
        self.signal(Signal::TERM);
        seen(&self.activity, within, "the exit after SIGTERM", || self.ended()).await.is_ok()
    }

    /// Whether the process has exited or does not exist.
    pub fn ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Emulates a full disk by a limit on file sizes, or lifts the limit.
    pub fn full_disk(&self, full: bool) {
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        if let Some(pid) = self.pid() {
            let _ = prlimit(Some(pid), Resource::Fsize, limit);
        }
    }

    pub fn empty_disk(&self) {
        let _ = fs::remove_dir_all(self.disk());
    }

    pub fn copy_disk(&self, to: &str) -> Result<(), Fault> {
        copy(&self.disk(), &self.dir.join(to))
    }

    pub fn restore_disk(&self, from: &str) -> Result<(), Fault> {
        self.empty_disk();
        copy(&self.dir.join(from), &self.disk())
    }

    /// Corrupts one byte of each file, at the given fraction of its length.
    pub fn corrupt_disk(&self, part: f64) {
        for file in files(&self.disk()) {
            if let Ok(mut bytes) = fs::read(&file) {
                let at = (bytes.len() as f64 * part) as usize;
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 0x5a;
                    let _ = fs::write(&file, bytes);
                }
            }
        }
    }

    /// Total size of the files on its disk, and the time of the last write.
    pub fn disk_writes(&self) -> (u64, Option<std::time::SystemTime>) {
        let all = files(&self.disk()).into_iter().filter_map(|file| fs::metadata(file).ok());
        all.fold((0, None), |(sum, last), file| (sum + file.len(), last.max(file.modified().ok())))
    }

    /// The revision state that the controller last reported, with the incarnation that reported it.
    pub fn holds(&self) -> Option<(u64, Held)> {
        let output = self.output.lock().expect("its lines");
        output.lines.iter().rev().find_map(|line| match &line.what {
            What::Holds { boot, holds, .. } => Some((*boot, *holds)),
            What::LetGo { boot } => Some((*boot, Held::Nothing)),
            _ => None,
        })
    }

    /// Whether the running incarnation has a revision in force.
    pub fn holds_something(&self) -> bool {
        let output = self.output.lock().expect("its lines");
        let last = output.lines[self.lines_before.get()..].iter().rev();
        last.filter(|line| matches!(line.what, What::Holds { .. } | What::LetGo { .. })).take(1).any(|line| {
            matches!(line.what, What::Holds { holds: Held::Alone { .. } | Held::Joint { .. }, .. })
        })
    }

    /// Number of history lines.
    pub fn count(&self) -> usize {
        self.output.lock().expect("its lines").lines.len()
    }

    /// Whether a history line after the first `after` lines matches.
    pub fn wrote(&self, after: usize, like: impl Fn(&What) -> bool) -> bool {
        let output = self.output.lock().expect("its lines");
        output.lines.iter().skip(after).any(|line| like(&line.what))
    }

    /// Time of the first matching history line at or after `from`.
    pub fn when(&self, from: u64, like: impl Fn(&What) -> bool) -> Option<u64> {
        let output = self.output.lock().expect("its lines");
        output.lines.iter().find(|line| line.at >= from && like(&line.what)).map(|line| line.at)
    }

    /// Number and text of the last log line that contains `word`.
    pub fn last_log_line(&self, word: &str) -> Option<(usize, String)> {
        let output = self.output.lock().expect("its log");
        let found = output.log.iter().enumerate().rev().find(|(_, line)| line.contains(word));
        found.map(|(at, line)| (at, line.clone()))
    }

    pub fn log_end(&self, lines: usize) -> String {
        let output = self.output.lock().expect("its log");
        output.log[output.log.len().saturating_sub(lines)..].join("\n")
    }

    /// Ends the process and reads the rest of what it wrote.
    pub fn close(&self) {
        self.kill();
        if let Some(reader) = self.reader.borrow_mut().take() {
            // The newline ends a line that the kill may have cut off.
            let pipe = OpenOptions::new().write(true).open(self.dir.join("history.pipe"));
            let ended = pipe.and_then(|mut pipe| writeln!(pipe, "\n{END}"));
            if ended.is_ok() {
                let _ = reader.join();
            }
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.close();
    }
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).into_iter().flatten().flatten();
    entries.map(|entry| entry.path()).filter(|path| path.is_file()).collect()
}

fn copy(from: &Path, to: &Path) -> Result<(), Fault> {
    let io = |why| Fault::Io("a copy of a disk", why);
    fs::create_dir_all(to).map_err(io)?;
    for file in files(from) {
        if let Some(name) = file.file_name() {
            fs::copy(&file, to.join(name)).map_err(io)?;
        }
    }
    Ok(())
}

/// Waits until `holds` is true. Checks it at each line of output of a process, and at least every 20 ms.
pub async fn seen(
    activity: &watch::Sender<u64>,
    within: Duration,
    what: &'static str,
    holds: impl Fn() -> bool,
) -> Result<(), Fault> {
    /// Changes at the stand-ins are not signalled; they are found by polling at this interval.
    const POLL_EVERY: Duration = Duration::from_millis(20);
    let mut changes = activity.subscribe();
    let until = tokio::time::Instant::now() + within;
    loop {
        if holds() {
            return Ok(());
        }
        if tokio::time::Instant::now() > until {
            return Err(Fault::NotSeen { what, within_s: within.as_secs() });
        }
        let _ = tokio::time::timeout(POLL_EVERY, changes.changed()).await;
    }
}
