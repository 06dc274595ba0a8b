//! Configurations that are invalid at the start, with a standard error that is read or not.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{refusing_address, Configuration, Peer, Relay, TEST_TIMEOUT};

/// Starts the binary with that configuration path and standard error, in an empty folder.
fn start(folder: &Path, path: Option<&Path>, standard_error: Stdio) -> Child {
    let mut command = Command::new(crate::stand_in::program());
    command.current_dir(folder).stderr(standard_error);
    for name in ["GW_CONFIG", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(name);
    }
    path.map(|path| command.env("GW_CONFIG", path));
    command.spawn().expect("the program starts")
}

/// Waits until the process has ended, within the time limit; returns its exit code.
fn ended(child: &mut Child) -> Option<i32> {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("its state") {
            return status.code();
        }
        if begun.elapsed() > TEST_TIMEOUT {
            let _ = child.kill();
            let _ = child.wait();
            panic!("the process has not ended");
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn usable() -> String {
    Configuration::new(refusing_address(), refusing_address()).text()
}

/// A valid configuration with one value changed or removed.
fn with(pointer: &str, value: Option<Value>) -> Vec<u8> {
    let mut all: Value = serde_json::from_str(&usable()).expect("JSON");
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = all.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
    match value {
        Some(value) => drop(parent.insert(key.into(), value)),
        None => drop(parent.remove(key).expect("a value")),
    }
    all.to_string().into_bytes()
}

/// Guards against refusing to start without a message on what to correct, or with a message of several
/// lines.
#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_with_one_line_and_two() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let half = usable().as_bytes()[..300].to_vec();
    let cases = [
        (None, vec!["GW_CONFIG", "config.json", "No such file"]),
        (Some(half), vec!["config.json", "line 1 column 300"]),
        (Some(b"".to_vec()), vec!["config.json", "EOF"]),
        (Some(b"\xff\xfe{}".to_vec()), vec!["config.json", "UTF-8"]),
        (
            Some(with("/listen", Some(json!("127.0.0.1")))),
            vec!["an address and port at /listen", "127.0.0.1"],
        ),
        (Some(with("/discovery", Some(json!("here")))), vec!["an address and port at /discovery", "here"]),
        (Some(with("/relay/address", Some(json!(7)))), vec!["expected a text at /relay/address"]),
        (Some(with("/settings", None)), vec!["expected settings"]),
        (Some(with("/settings/rules/askWithin", None)), vec!["rules.askWithin", "none"]),
        (Some(with("/seed", None)), vec!["expected a text at /seed"]),
        (Some(with("/limits/sockets", Some(json!(47)))), vec!["expected at least 48 at /limits/sockets"]),
        (Some(with("/listen", Some(json!("192.0.2.1:3000")))), vec!["192.0.2.1:3000", "this machine"]),
    ];
    for (content, expected) in cases {
        match content {
            Some(content) => std::fs::write(&path, content).expect("a file"),
            None => assert!(!path.exists()),
        }
        let mut child = start(folder.path(), Some(&path), Stdio::piped());
        let code = ended(&mut child);
        let mut output = String::new();
        child.stderr.take().expect("its log").read_to_string(&mut output).expect("text");
        assert_eq!((code, output.lines().count()), (Some(2), 1), "{expected:?}: {output}");
        assert!(expected.iter().all(|expected| output.contains(expected)), "{expected:?}: {output}");
    }
}

/// A standard error that nobody reads: its other end is closed before the start.
fn unread_stderr() -> Stdio {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    drop(ours);
    OwnedFd::from(theirs).into()
}

/// Guards against a panic, with its exit code, where the reason for refusing to start can't be written. The
/// service manager uses the exit code.
#[test]
fn a_start_that_is_refused_ends_with_two_also_when_its_reason_is_not_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    assert_eq!(ended(&mut start(folder.path(), None, unread_stderr())), Some(2));
    assert_eq!(ended(&mut start(folder.path(), Some(&path), unread_stderr())), Some(2));
    std::fs::write(&path, with("/listen", Some(json!("192.0.2.1:3000")))).expect("a file");
    assert_eq!(ended(&mut start(folder.path(), Some(&path), unread_stderr())), Some(2));
}

/// Guards against a daemon that ends or stops working because nobody reads its log.
#[test]
fn a_daemon_whose_log_is_not_read_serves_on() {
    let (relay, discovery) = (Relay::listening(), Peer::listening());
    let configuration = Configuration::new(relay.address(), discovery.address);
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, configuration.text()).expect("a file");
    let mut child = start(folder.path(), Some(&path), unread_stderr());
    let watch = relay.watch();
    for round in 0..200 {
        watch.send_line("not JSON");
        let mut stream = TcpStream::connect(configuration.listen).expect("it listens");
        stream.write_all(b"PING\r\n").expect("it is read");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        let mut output = [0; 6];
        stream.read_exact(&mut output).unwrap_or_else(|why| panic!("round {round}: {why}"));
        assert_eq!(&output, b"PONG\r\n");
    }
    let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().expect("a signal");
    assert!(sent.success());
    assert_eq!(ended(&mut child), Some(0));
}
