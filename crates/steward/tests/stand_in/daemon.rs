//! Starts the amberarch binary with a test configuration and gives access to its log, counters and exit
//! status.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::TEST_TIMEOUT;

/// The daemon's configuration: the example's configuration with the addresses of the test's stand-ins.
#[derive(Clone)]
pub struct Configuration {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub listen: SocketAddr,
    /// Overridden values by JSON pointer, such as `/settings/rules/askWithin`.
    pub overrides: Vec<(String, Value)>,
    /// The text of the operator's file.
    pub operator: String,
}

impl Configuration {
    pub fn new(relay: SocketAddr, discovery: SocketAddr) -> Configuration {
        let listener = std::net::TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address");
        let listen = listener.local_addr().expect("an address");
        Configuration { relay, discovery, listen, overrides: Vec::new(), operator: String::new() }
    }

    pub fn with(mut self, pointer: &str, value: Value) -> Configuration {
        self.overrides.push((pointer.into(), value));
        self
    }

    /// Sets the hosts that the daemon knows at its start.
    pub fn with_known_hosts(self, seq: u64, hosts: &[Value]) -> Configuration {
        self.with("/known", list(seq, true, hosts))
    }

    pub fn text(&self) -> String {
        let example = include_str!("../../../../examples/config.json");
        let mut all: Value = serde_json::from_str(example).expect("the example");
        all["relay"]["address"] = json!(self.relay.to_string());
        all["discovery"] = json!(self.discovery.to_string());
        all["listen"] = json!(self.listen.to_string());
        for (pointer, value) in &self.overrides {
            *all.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer} in the example")) =
                value.clone();
        }
        all.to_string()
    }
}

/// A host entry of discovery's list, in service since the epoch, so that slow start is over.
pub fn host(name: &str, at: SocketAddr, zone: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": zone, "class": "plain", "block": 0,
        "health": "in_service", "share": 1.0, "born_ms": 0})
}

/// The body of an answer of discovery: a full list if `whole`, otherwise changes.
pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// The binary under test: the one that was built with the tests, or another that the environment names,
/// such as an older build that a test has to fail against.
pub fn program() -> PathBuf {
    match std::env::var_os("AMBERARCH_UNDER_TEST") {
        Some(other) => other.into(),
        None => env!("CARGO_BIN_EXE_amberarch").into(),
    }
}

type Log = Arc<(Mutex<Vec<String>>, Condvar)>;

/// A running daemon, killed when it is dropped.
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

    /// Starts it with the configuration that `place` puts at that path, such as a FIFO.
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

    /// Starts it and waits until it handles signals.
    pub fn start_and_wait(configuration: &Configuration) -> Daemon {
        let daemon = Daemon::start(configuration);
        daemon.wait_for_log(" started, ");
        daemon
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The path of its configuration.
    pub fn configuration(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Replaces the configuration file atomically.
    pub fn rewrite(&self, text: &str) {
        let beside = self.folder.path().join("config.new");
        std::fs::write(&beside, text).expect("a file");
        std::fs::rename(beside, self.configuration()).expect("a file");
    }

    pub fn log(&self) -> Vec<String> {
        self.log.0.lock().expect("the log").clone()
    }

    /// Waits until the log contains the text; returns the line.
    pub fn wait_for_log(&self, what: &str) -> String {
        self.wait_for_log_count(what, 1)
    }

    /// Waits until that many lines of the log contain the text; returns the last of these lines.
    pub fn wait_for_log_count(&self, what: &str, times: usize) -> String {
        let (until, (lines, changed_log)) = (Instant::now() + TEST_TIMEOUT, &*self.log);
        let mut lines = lines.lock().expect("the log");
        loop {
            if let Some(line) = lines.iter().filter(|line| line.contains(what)).nth(times - 1) {
                return line.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            assert!(
                !left.is_zero(),
                "the log has not contained {what:?} {times} times:\n{}",
                lines.join("\n")
            );
            lines = changed_log.wait_timeout(lines, left).expect("the log").0;
        }
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.id().to_string()]).status().expect("a signal");
        assert!(sent.success(), "{signal} was not sent");
    }

    /// Requests the counters by SIGUSR1 and returns the named one.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log().iter().filter(|line| line.contains("counters: ")).count();
        self.signal("-USR1");
        let line = self.wait_for_log_count("counters: ", before + 1);
        let sample = format!(" {name}=");
        let value = line.split(&sample).nth(1).and_then(|rest| rest.split([' ', ',']).next());
        let value = value.unwrap_or_else(|| panic!("no counter {name} in {line}"));
        value.parse().expect("a count")
    }

    /// Waits until a counter has reached a value, by requesting the counters repeatedly.
    pub fn counter_reaches(&self, name: &str, least: u64) -> u64 {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let count = self.counter(name);
            if count >= least {
                return count;
            }
            assert!(Instant::now() < until, "{name} is {count}, not {least}:\n{}", self.log().join("\n"));
            // Polling without a pause would take CPU time from the stand-ins of tests that run
            // in parallel.
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the process has ended; returns its exit code (none if a signal ended it) and how
    /// long the wait took.
    pub fn ended(&mut self) -> (Option<i32>, Duration) {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its end") {
                return (status.code(), begun.elapsed());
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "the process has not ended:\n{}", self.log().join("\n"));
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }

    /// Sends SIGTERM; returns the exit code and how long the process took to end.
    pub fn terminate(&mut self) -> (Option<i32>, Duration) {
        self.signal("-TERM");
        self.ended()
    }

    /// Connects to its address; the daemon listens before it logs that it has started.
    pub fn dial(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        stream.set_nodelay(true).expect("an option");
        Client { reading: BufReader::new(stream.try_clone().expect("a descriptor")), stream }
    }

    /// Connects until the daemon answers a `PING`; returns how long after the start that was.
    pub fn ready(&self) -> Duration {
        loop {
            assert!(self.started.elapsed() < TEST_TIMEOUT, "not ready:\n{}", self.log().join("\n"));
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

/// A client connection to the daemon's address.
pub struct Client {
    pub stream: TcpStream,
    reading: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// The next line including its line end; none once the daemon has closed the connection or the read
    /// timed out.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reading.read_line(&mut line) {
            Ok(1..) => Some(line),
            _ => None,
        }
    }

    /// Waits until the daemon has closed or reset the connection; returns what was received before.
    pub fn ended(&mut self) -> String {
        let mut received = Vec::new();
        let _ = self.reading.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    }
}
