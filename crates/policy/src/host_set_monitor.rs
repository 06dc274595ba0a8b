//! Decides when a set of hosts in some lasting state is logged.

use super::*;

/// Interval at which a set that keeps changing is logged again, in ms.
const LOG_INTERVAL_MS: f64 = 1_000.0;

/// The set that was logged last, and when that was.
#[derive(Default)]
pub struct HostSetMonitor {
    hosts: BTreeSet<HostId>,
    logged_at: f64,
}

impl HostSetMonitor {
    /// Returns the log message that is due: when the state begins and ends, and on changes, at intervals.
    pub fn check(&mut self, now: f64, hosts: BTreeSet<HostId>, lasts: String, ended: &str) -> Option<Order> {
        let begins_or_ends = self.hosts.is_empty() || hosts.is_empty();
        let due = hosts != self.hosts && (begins_or_ends || now >= self.logged_at + LOG_INTERVAL_MS);
        if !due {
            return None;
        }
        self.hosts = hosts;
        self.logged_at = now;
        let text = if self.hosts.is_empty() { ended.to_string() } else { lasts };
        Some(Order::LogHosts { text, hosts: self.hosts.iter().copied().collect() })
    }
}
