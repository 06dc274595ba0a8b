//! Starts the amberarch binary and collects its log.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A running daemon, killed when it is dropped.
pub struct Daemon {
    pub child: Child,
    log: Arc<Mutex<String>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts it in a folder that contains its `operator.toml`.
    pub fn start(dir: &Path, config: &Path, discovery: SocketAddr) -> Daemon {
        let mut child = Command::new(env!("CARGO_BIN_EXE_amberarch"))
            .args(["--operator", "operator.toml"])
            .current_dir(dir)
            .env("GW_CONFIG", config)
            .env("GW_LISTEN", "127.0.0.1:0")
            .env("GW_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (mut stderr, into) = (child.stderr.take().expect("its log"), log.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while let Ok(count @ 1..) = stderr.read(&mut buffer) {
                into.lock().expect("the log").push_str(&String::from_utf8_lossy(&buffer[..count]));
            }
        });
        Daemon { child, log }
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("the log").clone()
    }

    /// Waits until the condition holds; returns how long that took.
    pub fn wait(&self, what: &str, until: impl Fn() -> bool) -> Duration {
        let start = Instant::now();
        while !until() {
            assert!(start.elapsed() < Duration::from_secs(20), "never {what}:\n{}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
        start.elapsed()
    }
}
