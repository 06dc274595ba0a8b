//! Logs when all hosts in service of some table are cold: they get all txns of its proxies.

use super::*;

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
        let lasts = format!("the tables of {proxies} proxies have only cold hosts in service");
        let ended = "no table has only cold hosts in service any more";
        orders.extend(self.cold_table_monitor.check(now, cold_hosts, lasts, ended));
    }
}
