//! Logs when all hosts in service of some table are cold: they get all txns of its proxies.

use super::*;

/// Interval at which a lasting state is logged again, in ms.
const LOG_INTERVAL_MS: f64 = 1_000.0;

/// The cold hosts that were alone in a table when that was logged last, and when that was.
#[derive(Default)]
pub struct ColdTableMonitor {
    hosts: BTreeSet<HostId>,
    logged_at: f64,
}

impl ColdTableMonitor {
    /// Returns the log message that is due, given the cold hosts that are alone in some table and how many proxies use
    /// such tables.
    fn check(&mut self, now: f64, hosts: BTreeSet<HostId>, proxies: usize) -> Option<Order> {
        let ended = hosts.is_empty() && !self.hosts.is_empty();
        let due = hosts != self.hosts
            && (self.hosts.is_empty() || hosts.is_empty() || now >= self.logged_at + LOG_INTERVAL_MS);
        if !due {
            return None;
        }
        self.hosts = hosts;
        self.logged_at = now;
        let text = if ended {
            "no table has only cold hosts in service any more".to_string()
        } else {
            format!("the tables of {proxies} proxies have only cold hosts in service")
        };
        Some(Order::LogHosts { text, hosts: self.hosts.iter().copied().collect() })
    }
}

impl Controller {
    /// Logs which cold hosts are alone in a table that proxies use.
    pub(crate) fn log_cold_tables(&mut self, now: f64, orders: &mut Vec<Order>) {
        let is_warm = |host: &HostId| self.hosts.get(host).is_none_or(|host| host.is_warm(now, &self.warmup));
        let (mut cold_hosts, mut proxies) = (BTreeSet::new(), 0);
        for table in self.published.used_tables() {
            let usable = self.published.usable_hosts(table);
            if usable.is_empty() || usable.iter().any(is_warm) {
                continue;
            }
            cold_hosts.extend(usable);
            proxies += self.published.users(table).len();
        }
        orders.extend(self.cold_table_monitor.check(now, cold_hosts, proxies));
    }
}
