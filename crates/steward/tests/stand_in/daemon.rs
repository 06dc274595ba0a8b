//! The program itself, started with a configuration of the test's, its log and its end.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::BOUND;

/// What the daemon is told: the example's configuration with the addresses of the test's stand-ins.
#[derive(Clone)]
pub struct Configuration {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub listen: SocketAddr,
    /// Further values by JSON pointer, such as `/settings/rules/askWithin`.
    pub changed: Vec<(String, Value)>,
    /// The operator's file.
    pub operator: String,
}

impl Configuration {
    pub fn new(relay: SocketAddr, discovery: SocketAddr) -> Configuration {
        let listener = std::net::TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address");
        let listen = listener.local_addr().expect("an address");
        Configuration { relay, discovery, listen, changed: Vec::new(), operator: String::new() }
    }

    pub fn with(mut self, pointer: &str, value: Value) -> Configuration {
        self.changed.push((pointer.into(), value));
        self
    }

    /// Hosts that the daemon knows of from its start.
    pub fn knowing(self, seq: u64, hosts: &[Value]) -> Configuration {
        self.with("/known", list(seq, true, hosts))
    }

    pub fn text(&self) -> String {
        let example = include_str!("../../../../examples/config.json");
        let mut all: Value = serde_json::from_str(example).expect("the example");
        all["relay"]["address"] = json!(self.relay.to_string());
        all["discovery"] = json!(self.discovery.to_string());
        all["listen"] = json!(self.listen.to_string());
        for (pointer, value) in &self.changed {
            *all.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer} in the example")) =
                value.clone();
        }
        all.to_string()
    }
}

/// A host as discovery lists it, in service for long.
pub fn host(name: &str, at: SocketAddr, zone: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": zone, "class": "plain", "block": 0,
        "health": "in_service", "share": 1.0, "born_ms": 0})
}

/// An answer of discovery.
pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// The program under test: the one that was built with the tests, or another that the environment names, such as an older
/// one that a test has to fail against.
pub fn program() -> PathBuf {
    match std::env::var_os("AMBERARCH_UNDER_TEST") {
        Some(other) => other.into(),
        None => env!("CARGO_BIN_EXE_amberarch").into(),
    }
}

type Log = Arc<(Mutex<Vec<String>>, Condvar)>;

/// Killed at the end of the test.
pub struct Daemon {
    child: Child,
    log: Log,
    folder: tempfile::TempDir,
    pub listen: SocketAddr,
    pub started: Instant,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    pub fn start(configuration: &Configuration) -> Daemon {
        let write = |path: &Path| std::fs::write(path, configuration.text()).expect("a file");
        Daemon::start_from(configuration, write)
    }

    /// Its configuration is what `place` puts at that path, such as a FIFO.
    pub fn start_from(configuration: &Configuration, place: impl FnOnce(&Path)) -> Daemon {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("operator.toml"), &configuration.operator).expect("a file");
        let path = folder.path().join("config.json");
        place(&path);
        let started = Instant::now();
        let mut child = Command::new(program())
            .args(["--operator", "operator.toml"])
            .current_dir(folder.path())
            .env("GW_CONFIG", &path)
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Log::default();
        let (lines, into) = (BufReader::new(child.stderr.take().expect("its log")), log.clone());
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                into.0.lock().expect("the log").push(line);
                into.1.notify_all();
            }
        });
        Daemon { child, log, folder, listen: configuration.listen, started }
    }

    /// Started, and far enough that it hears signals.
    pub fn up(configuration: &Configuration) -> Daemon {
        let daemon = Daemon::start(configuration);
        daemon.says(" started, ");
        daemon
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The path of its configuration.
    pub fn configuration(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Another configuration in the place of the one it started with, whole at once.
    pub fn rewrite(&self, text: &str) {
        let beside = self.folder.path().join("config.new");
        std::fs::write(&beside, text).expect("a file");
        std::fs::rename(beside, self.configuration()).expect("a file");
    }

    pub fn log(&self) -> Vec<String> {
        self.log.0.lock().expect("the log").clone()
    }

    /// Waits until its log holds that; gives the line.
    pub fn says(&self, what: &str) -> String {
        self.says_times(what, 1)
    }

    /// Waits until its log holds that so often; gives the last of these lines.
    pub fn says_times(&self, what: &str, times: usize) -> String {
        let (until, (lines, news)) = (Instant::now() + BOUND, &*self.log);
        let mut lines = lines.lock().expect("the log");
        loop {
            if let Some(line) = lines.iter().filter(|line| line.contains(what)).nth(times - 1) {
                return line.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "it has not said {what:?} {times} times:\n{}", lines.join("\n"));
            lines = news.wait_timeout(lines, left).expect("the log").0;
        }
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.id().to_string()]).status().expect("a signal");
        assert!(sent.success(), "{signal} was not sent");
    }

    /// Asks for the counters by SIGUSR1 and gives that one.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log().iter().filter(|line| line.contains("counters: ")).count();
        self.signal("-USR1");
        let line = self.says_times("counters: ", before + 1);
        let sample = format!(" {name}=");
        let value = line.split(&sample).nth(1).and_then(|rest| rest.split([' ', ',']).next());
        let value = value.unwrap_or_else(|| panic!("no counter {name} in {line}"));
        value.parse().expect("a count")
    }

    /// Waits until a counter is at least so high; asking is the only step, so nothing is slept for.
    pub fn counter_reaches(&self, name: &str, least: u64) -> u64 {
        let until = Instant::now() + BOUND;
        loop {
            let count = self.counter(name);
            if count >= least {
                return count;
            }
            assert!(Instant::now() < until, "{name} is {count}, not {least}:\n{}", self.log().join("\n"));
            // Asking without a pause would take the time that other tests' stand-ins have for their answers.
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for its end; gives its exit code (none: a signal ended it) and how long that took.
    pub fn ended(&mut self) -> (Option<i32>, Duration) {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its end") {
                return (status.code(), begun.elapsed());
            }
            assert!(begun.elapsed() < BOUND, "it lives on:\n{}", self.log().join("\n"));
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn is_up(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }

    /// SIGTERM, its exit code and how long it lived on.
    pub fn terminate(&mut self) -> (Option<i32>, Duration) {
        self.signal("-TERM");
        self.ended()
    }

    /// A connection to its address; it listens from before it says that it has started.
    pub fn dial(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("it listens");
        stream.set_read_timeout(Some(BOUND)).expect("a time limit");
        stream.set_nodelay(true).expect("an option");
        Client { reading: BufReader::new(stream.try_clone().expect("a descriptor")), stream }
    }

    /// Dials until the daemon answers a `PING`; gives how long after its start that was.
    pub fn ready(&self) -> Duration {
        loop {
            assert!(self.started.elapsed() < BOUND, "not ready:\n{}", self.log().join("\n"));
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a time limit");
                let reading = BufReader::new(stream.try_clone().expect("a descriptor"));
                let mut client = Client { reading, stream };
                client.write(b"PING\r\n");
                if client.line().as_deref() == Some("PONG\r\n") {
                    return self.started.elapsed();
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Someone who connects to the daemon's address.
pub struct Client {
    pub stream: TcpStream,
    reading: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// The next line with its end; none once the daemon has closed or the time is over.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reading.read_line(&mut line) {
            Ok(1..) => Some(line),
            _ => None,
        }
    }

    /// Waits until the daemon has closed or reset it; gives what it said before.
    pub fn ended(&mut self) -> String {
        let mut said = Vec::new();
        let _ = self.reading.read_to_end(&mut said);
        String::from_utf8_lossy(&said).into_owned()
    }
}
