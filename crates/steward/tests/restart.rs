//! The amberarch binary, killed and started again, with a discovery that falls silent and hosts that answer
//! probes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use amberarch_roster::Stand;
use amberarch_snapshot::{load, Store};

use daemon::Daemon;

mod daemon;

/// Answers every request with the current body; without one, closes the connection.
#[derive(Clone)]
struct Peer {
    at: SocketAddr,
    body: Arc<Mutex<Option<String>>>,
}

impl Peer {
    fn start(body: Option<String>) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = Peer { at: listener.local_addr().expect("an address"), body: Arc::new(Mutex::new(body)) };
        let theirs = peer.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let peer = theirs.clone();
                std::thread::spawn(move || peer.answer(stream));
            }
        });
        peer
    }

    fn answer(&self, stream: TcpStream) {
        let Ok(mut writing) = stream.try_clone() else { return };
        let mut reading = BufReader::new(stream);
        loop {
            let mut line = String::new();
            while line != "\r\n" {
                line.clear();
                if reading.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
            }
            let Some(body) = self.body.lock().expect("the body").clone() else { return };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if writing.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn set_body(&self, body: Option<String>) {
        *self.body.lock().expect("the body") = body;
    }
}

fn list(seq: u64, hosts: &[(&str, SocketAddr)]) -> String {
    let rows: Vec<String> = hosts
        .iter()
        .map(|(name, at)| {
            format!(
                r#"{{"host":"{name}","dial":"{at}","site":"east","class":"plain","block":0,"health":"in_service","share":1.0,"born_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, rows.join(","))
}

fn start(dir: &Path, discovery: SocketAddr) -> Daemon {
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    Daemon::start(dir, &config, discovery)
}

/// Waits until the log contains the text; returns how long that took.
fn wait_for_log(daemon: &Daemon, what: &str) -> Duration {
    daemon.wait(what, || daemon.log().contains(what))
}

fn folder() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("a folder");
    let state = dir.path().join("state");
    let operator = format!("[state]\nfolder = {state:?}\nevery = \"100ms\"\n");
    std::fs::write(dir.path().join("operator.toml"), operator).expect("a file");
    (dir, state)
}

/// Waits until the stored state has that many hosts with that health.
fn wait_for_stored(state: &Path, health: &str, count: usize) {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let held = load(state).map(|held| held.members).unwrap_or_default();
        let found = held.values().filter(|member| format!("{:?}", member.told.row.health) == health).count();
        if found == count {
            return;
        }
        assert!(Instant::now() < until, "{found} hosts {health}, not {count}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Makes the stored state older by that time.
fn age(state: &Path, ms: f64) {
    let (store, held) = Store::open(state).expect("the folder");
    let mut members: BTreeMap<_, _> = held.members;
    members.values_mut().for_each(|member| std::sync::Arc::make_mut(member).told.at -= ms);
    let stand = Stand { at: held.stand.at - ms, ..held.stand };
    // The stored time only moves forward, so an older state needs a new folder.
    drop(store);
    std::fs::remove_dir_all(state).expect("the folder");
    let (mut store, _) = Store::open(state).expect("the folder");
    store.keep(1.0, members.into_values().collect(), stand).expect("room");
}

#[test]
fn a_killed_daemon_starts_from_its_list_while_discovery_is_silent() {
    let (dir, state) = folder();
    let host = || Peer::start(Some("{}".into()));
    let (a, b) = (host(), host());
    // No probe is answered at this address.
    let dead = Peer::start(None);
    let discovery = Peer::start(Some(list(7, &[("a", a.at), ("b", b.at), ("dead", dead.at)])));
    let first = start(dir.path(), discovery.at);
    wait_for_log(&first, "how: Changes, seq: 7");
    wait_for_stored(&state, "On", 3);
    drop(first);

    // A recent list: all of its hosts serve at once.
    discovery.set_body(None);
    let fresh = start(dir.path(), discovery.at);
    wait_for_log(&fresh, "entries: 3, how: Restored");
    drop(fresh);

    // A list of the day before: only hosts that pass two probes serve.
    age(&state, 86_400_000.0);
    let old = start(dir.path(), discovery.at);
    wait_for_log(&old, "entries: 0, how: Restored");
    let passed = || {
        let log = old.log();
        let logged = |count: usize| log.matches(&format!("entries: {count}, how: Changes")).count();
        logged(1) + 2 * logged(2) + 3 * logged(3)
    };
    let until = Instant::now() + Duration::from_secs(10);
    while passed() < 2 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(passed(), 2, "{}", old.log());

    // Discovery comes back without one of the hosts: that host is gone for good.
    discovery.set_body(Some(list(9, &[("a", a.at)])));
    wait_for_stored(&state, "Gone", 2);
    drop(old);
    discovery.set_body(None);
    let last = start(dir.path(), discovery.at);
    wait_for_log(&last, "entries: 1, how: Restored");
}

#[test]
fn a_spoilt_file_is_told_in_one_line_and_the_start_goes_on() {
    let (dir, state) = folder();
    let peer = Peer::start(Some("{}".into()));
    let discovery = Peer::start(Some(list(7, &[("a", peer.at), ("b", peer.at)])));
    drop({
        let daemon = start(dir.path(), discovery.at);
        wait_for_log(&daemon, "how: Changes, seq: 7");
        wait_for_stored(&state, "On", 2);
        daemon
    });
    let amberarch = |args: &[&str]| {
        let out =
            Command::new(env!("CARGO_BIN_EXE_amberarch")).args(args).arg(&state).output().expect("a start");
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    assert_eq!(amberarch(&["state", "verify"]).0, Some(0));
    let (_, exported) = amberarch(&["state", "export"]);
    assert!(exported.contains(r#""host":"a""#) && exported.contains(r#""whole":true"#), "{exported}");
    // Cuts off the last bytes of every file.
    for entry in std::fs::read_dir(&state).expect("the folder").flatten() {
        let bytes = std::fs::read(entry.path()).expect("a file");
        let cut = bytes.len().saturating_sub(3);
        std::fs::write(entry.path(), &bytes[..cut]).expect("a file");
    }
    let (code, output) = amberarch(&["state", "verify"]);
    assert!(code == Some(1) && output.contains("cut off at byte"), "{output}");
    discovery.set_body(None);
    let daemon = start(dir.path(), discovery.at);
    wait_for_log(&daemon, "some of what was kept is spoilt");
    wait_for_log(&daemon, "how: Restored");
    let (code, output) = amberarch(&["state", "repair"]);
    assert!(code == Some(2) && output.contains("another daemon uses the folder"), "{output}");
    drop(daemon);
    let (code, output) = amberarch(&["state", "repair"]);
    assert!(code == Some(0) && output.contains("are in a new generation"), "{output}");
    assert_eq!(amberarch(&["state", "verify"]).0, Some(0));
    let (_, shown) = amberarch(&["state", "show"]);
    assert!(shown.contains("generation"), "{shown}");
}

/// Guards against starting without the state folder; /proc refuses to create one for any user, like a
/// read-only file system.
#[test]
fn a_folder_that_can_not_be_made_ends_the_start_with_its_name() {
    let (dir, _) = folder();
    std::fs::write(dir.path().join("operator.toml"), "[state]\nfolder = \"/proc/amberarch\"\n")
        .expect("a file");
    let mut daemon = start(dir.path(), Peer::start(None).at);
    wait_for_log(&daemon, "[state] folder: /proc/amberarch");
    assert_eq!(daemon.child.wait().expect("an end").code(), Some(2));
}
