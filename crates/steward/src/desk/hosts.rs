//! Host membership in the event loop: turns rows of the list and the membership into host entries, and maps host names to
//! numbers.

use std::time::Duration;

use amberarch_core::{
    Availability, Event, HostEntry, HostId, InstanceTypeId, ListUpdate, PodId, ProbeOutcome, ZoneId,
};
use amberarch_intake_grpc::NamedHost;
use amberarch_roster::Hint;
use slog::info;
use tokio::time::Instant;

use super::{place, Desk, KnownHost};
use crate::heard::{Entry, Health, Listing, Probe, Row};
use crate::state;

/// After this time, ms, whatever discovery has to report counts as reported, by the protocol page.
const MAX_LIST_DELAY: f64 = 6_000.0;

impl Desk {
    /// Gives the policy lease the listed hosts of each zone.
    pub(super) fn update_zones(&mut self) {
        let now = self.now();
        let Some(policy_lease) = &mut self.policy_lease else { return };
        let mut zones = crate::fleet::Listed::default();
        for KnownHost { listed, lost, .. } in self.hosts.values() {
            if *lost {
                policy_lease.judge().lost(now, listed.host);
            } else {
                policy_lease.judge().listed(now, listed.host, listed.zone, listed.availability);
            }
            let in_service = listed.availability == Availability::InService;
            *zones.hosts.entry(listed.zone).or_default() += u32::from(in_service);
            *zones.weights.entry(listed.zone).or_default() += if in_service { listed.weight } else { 0.0 };
        }
        policy_lease.listed(zones);
    }

    pub(super) fn listed(&mut self, listing: Listing, update: ListUpdate) {
        if listing.whole {
            self.hosts.values_mut().for_each(|known| known.listed.availability = Availability::Removed);
        }
        let (mut entries, mut started) = (Vec::with_capacity(listing.hosts.len()), Vec::new());
        for row in &listing.hosts {
            let Some(entry) = self.entry(row) else {
                self.counters.list_skipped.one();
                match self.lost(row) {
                    Some(entry) => {
                        self.skip("host moved to an unknown zone; it counts as removed".into());
                        entries.push(entry);
                    }
                    None => self.skip("host of an unknown zone".into()),
                }
                continue;
            };
            let (born_ms, dial) = (row.born_ms, row.dial.parse().ok());
            let has_started =
                born_ms > 0.0 && self.hosts.get(&entry.host).map(|known| known.born_ms) != Some(born_ms);
            started.extend(has_started.then(|| entry.clone()));
            let known = KnownHost { listed: entry.clone(), born_ms, dial, lost: false };
            self.hosts.insert(entry.host, known);
            entries.push(entry);
        }
        self.list_confirmed_at = self.now();
        amberarch_residency::last_rows(&mut entries);
        let leaving = entries.iter().filter(|entry| entry.availability != Availability::InService).count();
        info!(self.log, "the list"; "seq" => listing.seq, "how" => ?update, "entries" => entries.len(),
            "leaving" => leaving);
        self.log_starts(&started);
        let list = Event::List { update, entries };
        self.notify_guard(&list);
        self.events.push(list);
        self.publish_list();
        self.update_zones();
    }

    /// Passes on hosts that the membership trusts and the controller does not know yet, with warm-start hints from former
    /// runs. With `always`, an empty list is passed on too.
    pub(super) fn emit_trusted(&mut self, update: ListUpdate, always: bool) {
        let now = self.unix.now_ms();
        let Some(host_state) = &mut self.host_state else { return };
        let rows = host_state.roster.emit(now);
        if rows.is_empty() && !always {
            return;
        }
        let hint = |(host, _): &(String, _)| Some((host.clone(), host_state.roster.hint(now, host)?));
        let hints: Vec<(String, Hint)> = rows.iter().filter_map(hint).collect();
        let seq = host_state.roster.seq();
        let hosts = rows.into_iter().map(|(host, row)| state::listed(host, row)).collect();
        self.listed(Listing { seq, whole: false, hosts }, update);
        for (host, Hint { part: latency_factor, shut: gated }) in hints {
            if let Some(host) = self.names.find(&host) {
                self.events.push(Event::WarmStartHint { host, latency_factor, gated });
            }
        }
    }

    /// Probes hosts that are not trusted yet, passes on those that are now, and hands changes to the writer of the state.
    pub(super) fn maintain_membership(&mut self) {
        /// The writer's own period is at least a tenth of this.
        const HAND_ON: Duration = Duration::from_millis(500);
        let now = self.unix.now_ms();
        let Some(host_state) = &mut self.host_state else { return };
        for (name, dial) in host_state.roster.to_probe(now) {
            let host = self.names.id(&name);
            let entry = dial.parse().ok().map(|dial| Entry { dial, born_ms: 0.0 });
            if entry.is_none_or(|entry| self.out.probes.try_send(Probe { host, entry }).is_err()) {
                self.counters.probes_unsent.one();
                host_state.roster.probed(now, &name, None);
            }
        }
        if self.handed_on_at.elapsed() >= HAND_ON {
            self.handed_on_at = Instant::now();
            host_state.writer.keep(host_state.roster.to_keep(), host_state.roster.stand());
        }
        self.emit_trusted(ListUpdate::Changes, false);
    }

    /// Whether the list has another process under that name by now. Otherwise a host that has just started could be gated
    /// or restored because of a probe of its predecessor.
    pub(super) fn replaced(&self, host: HostId, entry: Entry) -> bool {
        let known = self.hosts.get(&host);
        known.is_some_and(|known| known.entry().is_some_and(|now| now != entry))
    }

    pub(super) fn record_probe(&mut self, host: HostId, outcome: ProbeOutcome) {
        let now = self.unix.now_ms();
        let pass = match outcome {
            ProbeOutcome::Answered => Some(true),
            ProbeOutcome::Full | ProbeOutcome::Unknown => None,
            ProbeOutcome::Errored
            | ProbeOutcome::TimedOut
            | ProbeOutcome::Unreachable
            | ProbeOutcome::Reset => Some(false),
        };
        if let Some((host_state, name)) = self.host_state.as_mut().zip(self.names.name(host)) {
            host_state.roster.probed(now, name, pass);
        }
    }

    pub(super) fn record_success(&mut self, event: &Event) {
        let now = self.unix.now_ms();
        if let (Some(host_state), Event::HostReport { host, tries, failed, .. }) =
            (&mut self.host_state, event)
        {
            if let Some(name) = self.names.name(*host).filter(|_| tries > failed) {
                host_state.roster.met(now, name);
            }
        }
    }

    pub(super) fn learnt(&mut self, host: HostId, latency_factor: Option<f64>, gated: Option<bool>) {
        let now = self.unix.now_ms();
        if let Some((host_state, name)) = self.host_state.as_mut().zip(self.names.name(host)) {
            host_state.roster.learnt(now, name, latency_factor, gated);
        }
    }

    /// Gives the intake, where there is one, the listed hosts.
    pub(super) fn publish_list(&self) {
        let Some(witness) = &self.out.witness else { return };
        let listed = self.hosts.values().map(|known| &known.listed);
        let named = |listed: &HostEntry| {
            let (host, zone, born) = (listed.host, listed.zone, listed.started_at);
            Some(NamedHost { name: self.names.name(host)?.into(), host, zone, born })
        };
        witness.list(
            listed.filter(|listed| listed.availability != Availability::Removed).filter_map(named).collect(),
        );
    }

    pub(super) fn seen(&self, host: HostId, at: f64) {
        if let Some(witness) = &self.out.witness {
            witness.seen(host, at);
        }
    }

    pub(super) fn entry(&mut self, row: &Row) -> Option<HostEntry> {
        let zone = ZoneId(place(&self.labels.zones, &row.site)?);
        let kind = place(&self.labels.kinds, &row.class).unwrap_or(self.labels.kinds.len() as u16);
        let host = self.names.id(&row.host);
        // Converts the start from Unix time to the controller's clock, once for each start: two conversions differ
        // slightly, and a later time would count as another start.
        let known = self.hosts.get(&host);
        let started_at = match known {
            Some(known) if known.born_ms == row.born_ms => known.listed.started_at,
            _ => (row.born_ms > 0.0).then(|| self.now() - self.age(row, known.is_some())),
        };
        Some(HostEntry {
            host,
            weight: row.share,
            zone,
            pod: PodId(row.block),
            instance_type: InstanceTypeId(kind),
            started_at,
            availability: match row.health {
                Health::InService => Availability::InService,
                Health::Terminating => Availability::Draining,
                Health::Terminated => Availability::Removed,
            },
        })
    }

    /// How long ago a host started, ms, never negative. If the host was listed with another start before, the new start
    /// can't be older than the last list without it plus the maximum delay of a list. These bounds keep a wrong clock
    /// from making a cold host count as warm, or from keeping it cold for longer than its warm-up.
    fn age(&self, row: &Row, restarted: bool) -> f64 {
        let by_clock = (self.unix.now_ms() - row.born_ms).max(0.0);
        let unlisted = self.now() - self.list_confirmed_at + MAX_LIST_DELAY;
        if restarted {
            by_clock.min(unlisted)
        } else {
            by_clock
        }
    }

    /// Removes a known host whose row names an unknown zone, if a fleet policy is in force: left in its former zone, it
    /// would go on serving requests that only hosts of that zone may serve. Without a fleet policy the row is skipped
    /// like any unreadable one: one corrupted word in an otherwise valid list of changes must not take a host out of
    /// service. (A whole list that lacks a readable row for a host removes it in any case.)
    pub(super) fn lost(&mut self, row: &Row) -> Option<HostEntry> {
        self.policy_lease.as_ref()?;
        let known = self.hosts.get_mut(&self.names.find(&row.host)?)?;
        known.lost = true;
        known.listed.availability = Availability::Removed;
        Some(known.listed.clone())
    }
}
