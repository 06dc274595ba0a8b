//! Five amberarch processes on loopback in one fleet: how long a proposed change takes to be in force after
//! a process is ended by SIGTERM or killed.

mod address;

use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const MEMBERS: usize = 5;
const VOTERS: usize = 3;
const ACTS: Duration = Duration::from_millis(1_100);
const KNOWS: Duration = Duration::from_millis(2_700);
const LINGER: Duration = Duration::from_millis(300);
/// The limit for everything that a test waits for; generous, so that it holds on a busy machine too.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The platform's time between SIGTERM and SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(700);

/// The log lines of the processes of one member, with their times.
type TimedLog = Arc<(Mutex<Vec<(Instant, String)>>, Condvar)>;

struct Fleet {
    dir: tempfile::TempDir,
    up: Vec<Option<Child>>,
    log: Vec<TimedLog>,
    /// Accepts connections and never answers, so that no relay or discovery of another test is reached
    /// at its address.
    nobody: TcpListener,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.up.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn operator(own: usize, ports: &[SocketAddr]) -> String {
    let ms = |length: Duration| length.as_millis();
    let mut text = format!(
        "[fleet]\nname = \"m{own}\"\nid = \"ends\"\nlisten = \"{}\"\nfolder = \"disk\"\npolicy = \"policy.toml\"\n\
         govern = [\"look\"]\nacts = \"{}ms\"\nknows = \"{}ms\"\nslack = \"30ms\"\ndrift = 0.01\nlinger = \"{}ms\"\n\
         election = \"350ms\"\nbeat = \"60ms\"\n",
        ports[own],
        ms(ACTS),
        ms(KNOWS),
        ms(LINGER),
    );
    for (place, at) in ports.iter().enumerate() {
        let votes = place < VOTERS;
        write!(text, "\n[[fleet.member]]\nname = \"m{place}\"\naddress = \"{at}\"\nvotes = {votes}\n")
            .unwrap();
    }
    text
}

impl Fleet {
    /// Starts all members and waits until each acts on revision 1 alone, so that later changes wait
    /// only for current leases.
    fn start_all() -> Fleet {
        let nobody = TcpListener::bind("127.0.0.1:0").expect("an address");
        let held: Vec<TcpListener> =
            (0..MEMBERS).map(|_| TcpListener::bind((address::own(), 0)).expect("an address")).collect();
        let ports: Vec<SocketAddr> = held.iter().map(|held| held.local_addr().expect("a port")).collect();
        let dir = tempfile::tempdir().expect("a folder");
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
        let config = std::fs::read_to_string(example).expect("the example");
        let config = config.replace("127.0.0.1:6400", &nobody.local_addr().expect("a port").to_string());
        let mut fleet = Fleet {
            up: (0..MEMBERS).map(|_| None).collect(),
            log: (0..MEMBERS).map(|_| TimedLog::default()).collect(),
            nobody,
            dir,
        };
        drop(held);
        for place in 0..MEMBERS {
            std::fs::create_dir(fleet.folder(place)).expect("a folder");
            std::fs::write(fleet.folder(place).join("operator.toml"), operator(place, &ports))
                .expect("a file");
            std::fs::write(fleet.folder(place).join("config.json"), &config).expect("a file");
            fleet.policy(place, 1);
            fleet.start(place);
        }
        let begun = Instant::now();
        for place in 0..MEMBERS {
            fleet.wait_for_revision(place, 1, begun);
        }
        fleet
    }

    fn folder(&self, place: usize) -> PathBuf {
        self.dir.path().join(format!("m{place}"))
    }

    fn policy(&self, place: usize, no: u64) {
        let text = format!("revision = {no}\n");
        std::fs::write(self.folder(place).join("policy.toml"), text).expect("a file");
    }

    fn start(&mut self, place: usize) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_amberarch"))
            .args(["run", "--operator", "operator.toml"])
            .current_dir(self.folder(place))
            .env("GW_CONFIG", "config.json")
            .env("GW_LISTEN", "127.0.0.1:0")
            .env("GW_DISCOVERY", self.nobody.local_addr().expect("a port").to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (stderr, into) = (child.stderr.take().expect("its log"), self.log[place].clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                into.0.lock().expect("the log").push((Instant::now(), line));
                into.1.notify_all();
            }
        });
        let begun = Instant::now();
        self.up[place] = Some(child);
        // A signal that arrives before the handlers are installed would end the process.
        self.wait_for_log(place, begun, |line| line.contains(" started, "));
    }

    /// The time at which the member first logged a matching line after the given time.
    fn wait_for_log(&self, place: usize, after: Instant, what: impl Fn(&str) -> bool) -> Instant {
        let (lock, changed) = &*self.log[place];
        let (mut log, by) = (lock.lock().expect("the log"), Instant::now() + TEST_TIMEOUT);
        loop {
            if let Some((at, _)) = log.iter().find(|(at, line)| *at >= after && what(line)) {
                return *at;
            }
            let left = by.saturating_duration_since(Instant::now());
            let lines = || log.iter().map(|(_, line)| line.as_str()).collect::<Vec<_>>().join("\n");
            assert!(!left.is_zero(), "m{place} has not logged the expected line:\n{}", lines());
            log = changed.wait_timeout(log, left).expect("the log").0;
        }
    }

    fn wait_for_revision(&self, place: usize, no: u64, after: Instant) -> Instant {
        let alone = format!("holds: Alone(RevisionNo({no}))");
        self.wait_for_log(place, after, |line| line.contains("what holds here") && line.contains(&alone))
    }

    fn signal(&self, place: usize, signal: &str) {
        let pid = self.up[place].as_ref().expect("it is up").id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Sends SIGTERM; returns how long the process took to end.
    fn terminate(&mut self, place: usize) -> Duration {
        let begun = Instant::now();
        self.signal(place, "-TERM");
        let ended = self.up[place].take().expect("it is up").wait().expect("it ends");
        assert_eq!(ended.code(), Some(0));
        begun.elapsed()
    }

    fn kill(&mut self, place: usize) {
        let mut child = self.up[place].take().expect("it is up");
        child.kill().expect("killed");
        child.wait().expect("gone");
    }

    /// Proposes a revision at that member; returns how long it takes until all running members act on
    /// it alone.
    fn propose(&self, place: usize, no: u64) -> Duration {
        let begun = Instant::now();
        self.policy(place, no);
        self.signal(place, "-HUP");
        let up = (0..MEMBERS).filter(|place| self.up[*place].is_some());
        up.map(|place| self.wait_for_revision(place, no, begun)).max().expect("some are up") - begun
    }

    /// The leader in the view of a running member, once it is one that is running.
    fn leader(&self) -> usize {
        let up = (0..MEMBERS).find(|place| self.up[*place].is_some()).expect("one is up");
        loop {
            let asked = Instant::now();
            self.signal(up, "-USR1");
            let leader_in = |line: &str| {
                let leader = line.split(" chair=m").nth(1)?;
                leader.split(' ').next()?.parse::<usize>().ok().filter(|leader| self.up[*leader].is_some())
            };
            self.wait_for_log(up, asked, |line| line.contains("fleet: stage="));
            let log = self.log[up].0.lock().expect("the log");
            if let Some(leader) = log.iter().rev().find_map(|(_, line)| leader_in(line)) {
                return leader;
            }
        }
    }
}

/// Guards against a planned stop for which a change has to wait as long as after a kill.
#[test]
fn a_change_waits_less_for_a_steward_that_was_ended_than_for_one_that_was_killed() {
    let mut fleet = Fleet::start_all();
    let leader = fleet.leader();
    let other = (0..MEMBERS).rev().find(|place| *place != leader).expect("another");
    let lived = fleet.terminate(other);
    assert!(lived < TERM_TO_KILL, "{lived:?}");
    let after = Instant::now() - lived;
    fleet.wait_for_log(other, after, |line| line.contains("let go, ms"));
    let planned = fleet.propose(leader, 2);
    let begun = Instant::now();
    fleet.start(other);
    fleet.wait_for_revision(other, 2, begun);
    fleet.kill(other);
    let killed = fleet.propose(leader, 3);
    println!(
        "ended by SIGTERM in {lived:?}; in force {planned:?} after a planned stop, {killed:?} after a kill"
    );
    assert!(planned < KNOWS - ACTS, "{planned:?}");
    assert!(killed > KNOWS - ACTS, "{killed:?}");
}

/// Guards against a planned stop of the leader after which no member knows who may still act.
#[test]
fn a_change_is_proposed_right_after_the_chair_was_ended() {
    let mut fleet = Fleet::start_all();
    let leader = fleet.leader();
    let lived = fleet.terminate(leader);
    assert!(lived < TERM_TO_KILL, "{lived:?}");
    let at = (0..MEMBERS).find(|place| *place != leader).expect("another");
    let planned = fleet.propose(at, 2);
    println!("the leader ended by SIGTERM in {lived:?}; in force {planned:?} after it");
    assert!(planned < KNOWS - ACTS, "{planned:?}");
}

/// Guards against a rolling restart that blocks a change: the controllers are restarted one after the
/// other, and a change is proposed while the second is down.
#[test]
fn all_five_are_started_anew_one_after_the_other_while_a_change_is_proposed() {
    let mut fleet = Fleet::start_all();
    let (mut proposed, mut started) = (None, vec![]);
    for place in 0..MEMBERS {
        let lived = fleet.terminate(place);
        assert!(lived < TERM_TO_KILL, "m{place}: {lived:?}");
        if place == 1 {
            proposed = Some(Instant::now());
            fleet.policy(4, 2);
            fleet.signal(4, "-HUP");
        }
        let begun = Instant::now();
        fleet.start(place);
        fleet
            .wait_for_log(place, begun, |line| line.contains("what holds here") && line.contains("act: On("));
        started.push(begun);
    }
    let proposed = proposed.expect("proposed");
    let took =
        (0..MEMBERS).map(|place| fleet.wait_for_revision(place, 2, proposed)).max().expect("five") - proposed;
    println!("in force at all five {took:?} after it was proposed, during the rolling restart");
    // The last process of each member acts on it too.
    for (place, begun) in started.into_iter().enumerate() {
        fleet.wait_for_revision(place, 2, begun);
    }
}
