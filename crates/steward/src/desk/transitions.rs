//! Log lines and counters for hosts that start, are withdrawn and are restored.

use std::collections::BTreeMap;

use amberarch_core::{Availability, HostEntry, HostId, Order};
use slog::info;

use super::Desk;

/// The most hosts that one log line names.
const MAX_NAMED_HOSTS: usize = 16;

/// The weight that each host was given last, in the table that names it with the most.
#[derive(Default)]
pub struct EntryWeights(BTreeMap<HostId, f64>);

impl EntryWeights {
    /// Takes in the entries that a reply sets.
    fn set<'a>(&mut self, orders: impl Iterator<Item = &'a Order>) {
        let mut in_reply = BTreeMap::<HostId, f64>::new();
        for order in orders {
            if let Order::SetEntry { host, weight, .. } = order {
                let heaviest = in_reply.entry(*host).or_insert(*weight);
                *heaviest = heaviest.max(*weight);
            }
        }
        self.0.extend(in_reply);
    }

    pub fn forget(&mut self, host: HostId) {
        self.0.remove(&host);
    }
}

impl Desk {
    /// Logs which hosts a reply withdraws and restores, once it is passed on.
    pub(super) fn log_withdrawals(&mut self, sent: &[&Order]) {
        self.entry_weights.set(sent.iter().copied());
        let with_state = |withdrawn: bool| {
            let changed = sent.iter().filter_map(move |order| match order {
                Order::Withdraw { host, withdrawn: state } if *state == withdrawn => Some(*host),
                _ => None,
            });
            changed.collect::<Vec<HostId>>()
        };
        let (withdrawn, restored) = (with_state(true), with_state(false));
        if !withdrawn.is_empty() {
            self.counters.hosts_withdrawn.more(withdrawn.len());
            let hosts = self.named(&withdrawn, |desk, host| desk.withdrawal_reason(host).to_string());
            info!(self.log, "hosts are withdrawn"; "hosts" => hosts);
        }
        if !restored.is_empty() {
            self.counters.hosts_restored.more(restored.len());
            let hosts = self.named(&restored, Desk::warmup_progress);
            info!(self.log, "hosts are restored"; "hosts" => hosts);
        }
    }

    /// Logs the hosts whose start the list reports for the first time.
    pub(super) fn log_starts(&self, started: &[HostEntry]) {
        if started.is_empty() {
            return;
        }
        self.counters.hosts_started.more(started.len());
        let started: Vec<HostId> = started.iter().map(|entry| entry.host).collect();
        let hosts = self.named(&started, |desk, host| {
            desk.age_s(host).map_or(String::new(), |age| format!("{age:.1} s ago"))
        });
        info!(self.log, "hosts have started"; "hosts" => hosts);
    }

    /// The hosts by name, each followed by a description.
    pub(super) fn named(&self, hosts: &[HostId], describe: impl Fn(&Desk, HostId) -> String) -> String {
        let named = |host: &HostId| {
            let name = self.names.name(*host).unwrap_or("?");
            format!("{name} {}", describe(self, *host)).trim_end().to_string()
        };
        let mut texts: Vec<String> = hosts.iter().take(MAX_NAMED_HOSTS).map(named).collect();
        let unnamed = hosts.len().saturating_sub(MAX_NAMED_HOSTS);
        texts.extend((unnamed > 0).then(|| format!("{unnamed} more")));
        texts.join(", ")
    }

    /// Why a host is withdrawn, by its state in the list.
    fn withdrawal_reason(&self, host: HostId) -> &'static str {
        match self.hosts.get(&host).map(|known| known.listed.availability) {
            Some(Availability::InService) => "gated or too cold",
            Some(Availability::Draining) => "draining",
            Some(Availability::Removed) | None => "removed",
        }
    }

    /// The weight of a host and how long ago it started.
    fn warmup_progress(&self, host: HostId) -> String {
        let weight =
            self.entry_weights.0.get(&host).map_or(String::new(), |weight| format!("weight {weight:.2} "));
        let age = self.age_s(host).map_or(String::new(), |age| format!("{age:.1} s after its start"));
        weight + &age
    }

    /// Seconds since the listed start of a host; none if it started long ago.
    fn age_s(&self, host: HostId) -> Option<f64> {
        let started_at = self.hosts.get(&host)?.listed.started_at?;
        Some((self.now() - started_at) / 1e3)
    }
}
