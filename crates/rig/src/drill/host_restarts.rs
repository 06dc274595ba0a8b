//! Restarts of host processes as planned. A restarted host is cold.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amberarch_core::HostId;
use amberarch_histories::What;
use tokio::time::{sleep_until, Instant};

use super::lifecycle::Environment;
use super::requests::Requests;
use super::{HostRestart, Reachable, Recorder};
use crate::hosts::Host;

pub struct HostRestarts {
    hosts: Vec<Rc<Host>>,
    reachable: Rc<Reachable>,
    requests: Option<Rc<Requests>>,
    recorder: Recorder,
}

impl HostRestarts {
    pub fn new(
        environment: &Environment,
        reachable: Rc<Reachable>,
        requests: Option<Rc<Requests>>,
    ) -> HostRestarts {
        let (hosts, recorder) = (environment.hosts.clone(), environment.recorder.clone());
        HostRestarts { hosts, reachable, requests, recorder }
    }

    /// Ends and starts the processes.
    pub async fn run(self, start: Instant, restarts: Vec<HostRestart>) {
        let mut steps: Vec<(u64, bool, usize)> = Vec::new();
        for HostRestart { down, up, hosts } in restarts {
            steps.extend(hosts.iter().flat_map(|host| [(down, false, *host), (up, true, *host)]));
        }
        steps.sort_unstable();
        for (at, up, host) in steps {
            sleep_until(start + Duration::from_millis(at)).await;
            if up {
                self.start(host);
            } else if let Some(requests) = &self.requests {
                requests.host_ended(HostId(host as u32));
            }
            self.reachable[host].send_replace(up);
        }
    }

    fn start(&self, number: usize) {
        let host = &self.hosts[number];
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        host.born_ms.set(now_ms);
        if let Some(requests) = &self.requests {
            let capacity = requests.host_started(HostId(number as u32));
            self.recorder.write(&format!("host:{}", host.name), What::HostStarted { capacity });
        }
    }
}
