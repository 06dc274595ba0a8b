//! Connections to the controllers' own addresses: liveness checks (`PING`) on behalf of the proxies, and the collectors'
//! traffic reports. A proxy whose controller does not answer, or whose relay is gone, moves to another controller.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::proxies::Deployment;
use crate::relay::Relay;

/// Interval of liveness checks, and their timeout (`ANSWER_TIMEOUT`). A proxy leaves a failed controller after at most the sum of
/// both.
const CHECK_EVERY: Duration = Duration::from_millis(60);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest and longest time until a proxy that left one controller joins another, ms.
const MOVE_MS: (u64, u64) = (20, 150);
const REPORT_EVERY: Duration = Duration::from_millis(400);

pub struct Connections {
    pub relays: Vec<Rc<Relay>>,
    alive: Vec<Cell<bool>>,
    /// Number of controllers that run from the start; all proxies belong to one of them.
    first: usize,
    deployment: Rc<Deployment>,
    chance: RefCell<ChaCha8Rng>,
    pub moved: Cell<u64>,
}

impl Connections {
    pub fn new(
        relays: Vec<Rc<Relay>>,
        first: usize,
        deployment: Rc<Deployment>,
        seed: u64,
    ) -> Rc<Connections> {
        let alive = relays.iter().map(|_| Cell::new(false)).collect();
        let chance = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
        let connections =
            Rc::new(Connections { relays, alive, first, deployment, chance, moved: Cell::new(0) });
        let to = connections.clone();
        *connections.deployment.applied.borrow_mut() =
            Some(Box::new(move |controller, proxy, mark, took| {
                to.relays[controller].applied(proxy, mark, took)
            }));
        connections
    }

    /// Checks a controller's liveness and sends it traffic reports, without end.
    pub fn watch(self: &Rc<Connections>, controller: usize, at: SocketAddr) {
        let (connections, mut up) = (self.clone(), self.relays[controller].up.subscribe());
        spawn_local(async move {
            loop {
                let relay_up = *up.borrow_and_update();
                if relay_up {
                    tokio::select! {
                        () = connections.check_liveness(controller, at) => {}
                        _ = up.wait_for(|up| !up) => {}
                    }
                }
                connections.mark_down(controller);
                sleep(CHECK_EVERY).await;
            }
        });
    }

    /// Returns when the controller no longer answers.
    async fn check_liveness(self: &Rc<Connections>, controller: usize, at: SocketAddr) {
        let Ok(Ok(stream)) = timeout(ANSWER_TIMEOUT, TcpStream::connect(at)).await else { return };
        let (reads, mut writes) = stream.into_split();
        let mut reads = BufReader::new(reads);
        let (mut answer, mut reported) = (String::new(), Instant::now());
        loop {
            answer.clear();
            if writes.write_all(b"PING\r\n").await.is_err() {
                return;
            }
            match timeout(ANSWER_TIMEOUT, reads.read_line(&mut answer)).await {
                Ok(Ok(6)) if answer == "PONG\r\n" => self.mark_up(controller),
                _ => return,
            }
            if reported.elapsed() > REPORT_EVERY {
                let lines = self.lines(controller);
                reported = Instant::now();
                if !matches!(timeout(ANSWER_TIMEOUT, writes.write_all(lines.as_bytes())).await, Ok(Ok(()))) {
                    return;
                }
            }
            sleep(CHECK_EVERY).await;
        }
    }

    /// The reports since the last ones that were sent, with the period that they cover.
    fn lines(&self, controller: usize) -> String {
        let reports = self.deployment.take_reports(controller);
        let over = reports.since.elapsed().as_secs_f64() * 1e3;
        let source = format!("SOURCE zone={}\r\n", self.deployment.zones[0]);
        let host_reports = reports.host_reports.iter().map(|((zone, host), totals)| {
            let (tries, failed) = (totals.tries, totals.failed);
            let mean = totals.took / f64::from((tries - failed).max(1));
            format!("LOAD zone={zone} server={host} tries={tries} failed={failed} mean_ms={mean:.1} span_ms={over:.1}\r\n")
        });
        let proxy_reports = reports.proxy_reports.iter().map(|((proxy, class), totals)| {
            let (tries, failed) = (totals.tries, totals.failed);
            format!("RATE proxy={proxy} class={class} tries={tries} failed={failed} span_ms={over:.1}\r\n")
        });
        [source].into_iter().chain(host_reports).chain(proxy_reports).collect()
    }

    pub fn is_up(&self, controller: usize) -> bool {
        self.alive[controller].get()
    }

    /// The controller has answered. If it was down before, the proxies assigned to it that have no controller join it.
    fn mark_up(&self, controller: usize) {
        if !self.alive[controller].replace(true) {
            for proxy in self.deployment.proxies().filter(|proxy| self.deployment.at(*proxy).is_none()) {
                if usize::from(proxy) % self.first == controller {
                    self.relays[controller].add_proxy(proxy);
                }
            }
        }
    }

    fn mark_down(self: &Rc<Connections>, controller: usize) {
        if self.alive[controller].replace(false) {
            for proxy in self.relays[controller].members() {
                self.move_proxy(proxy);
            }
        }
    }

    /// Makes a proxy leave its controller and join another one that is up.
    pub fn move_proxy(self: &Rc<Connections>, proxy: u16) {
        let before = self.deployment.at(proxy);
        if let Some(controller) = before {
            self.relays[controller].remove_proxy(proxy);
            self.moved.set(self.moved.get() + 1);
        }
        let connections = self.clone();
        let wait = self.chance.borrow_mut().random_range(MOVE_MS.0..MOVE_MS.1);
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(wait)).await;
                if connections.deployment.at(proxy).is_some() {
                    return;
                }
                let count = connections.relays.len();
                let from = before.unwrap_or(0);
                let next = (1..=count).map(|step| (from + step) % count).find(|one| connections.is_up(*one));
                if let Some(next) = next {
                    return connections.relays[next].add_proxy(proxy);
                }
            }
        });
    }
}
