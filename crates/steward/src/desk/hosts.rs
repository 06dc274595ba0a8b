//! Which hosts there are: the list and the roster turned into entries, and what each host's name stands for.

use std::time::Duration;

use amberarch_core::{
    Availability, Event, HostEntry, HostId, InstanceTypeId, ListUpdate, PodId, ProbeOutcome, ZoneId,
};
use amberarch_intake_grpc::NamedHost;
use amberarch_roster::Hint;
use slog::info;
use tokio::time::Instant;

use super::{place, Desk, Known};
use crate::heard::{Entry, Health, Listing, Probe, Row};
use crate::state;

/// The protocol page: what discovery has to tell counts as told 6 s later at the latest.
const LIST_LATE: f64 = 6_000.0;

impl Desk {
    /// Tells what holds which hosts there are.
    pub(super) fn tell_zones(&mut self) {
        let now = self.now();
        let Some(ward) = &mut self.ward else { return };
        let mut zones = crate::fleet::Listed::default();
        for Known { listed, lost, .. } in self.hosts.values() {
            if *lost {
                ward.judge().lost(now, listed.host);
            } else {
                ward.judge().listed(now, listed.host, listed.zone, listed.availability);
            }
            let on = listed.availability == Availability::InService;
            *zones.hosts.entry(listed.zone).or_default() += u32::from(on);
            *zones.weights.entry(listed.zone).or_default() += if on { listed.weight } else { 0.0 };
        }
        ward.listed(zones);
    }

    pub(super) fn listed(&mut self, listing: Listing, update: ListUpdate) {
        if listing.whole {
            self.hosts.values_mut().for_each(|known| known.listed.availability = Availability::Removed);
        }
        let mut entries = Vec::with_capacity(listing.hosts.len());
        for row in &listing.hosts {
            let Some(entry) = self.entry(row) else {
                self.counters.list_skipped.one();
                match self.lost(row) {
                    Some(entry) => {
                        self.skip("a host that moved to a zone that is not known: it counts as gone".into());
                        entries.push(entry);
                    }
                    None => self.skip("a host of a zone that is not known".into()),
                }
                continue;
            };
            let (born_ms, dial) = (row.born_ms, row.dial.parse().ok());
            let known = Known { listed: entry.clone(), born_ms, dial, lost: false };
            self.hosts.insert(entry.host, known);
            entries.push(entry);
        }
        self.list_heard_at = self.now();
        amberarch_residency::last_rows(&mut entries);
        let leaving = entries.iter().filter(|entry| entry.availability != Availability::InService).count();
        info!(self.log, "the list"; "seq" => listing.seq, "how" => ?update, "entries" => entries.len(),
            "leaving" => leaving);
        let list = Event::List { update, entries };
        self.guard_hears(&list);
        self.events.push(list);
        self.tell_list();
        self.tell_zones();
    }

    /// What the roster trusts and the decisions do not know yet, with hints of what was learnt before this run.
    pub(super) fn roll_out(&mut self, news: ListUpdate, always: bool) {
        let now = self.unix.now_ms();
        let Some(rolls) = &mut self.rolls else { return };
        let rows = rolls.roster.emit(now);
        if rows.is_empty() && !always {
            return;
        }
        let hint = |(host, _): &(String, _)| Some((host.clone(), rolls.roster.hint(now, host)?));
        let hints: Vec<(String, Hint)> = rows.iter().filter_map(hint).collect();
        let seq = rolls.roster.seq();
        let hosts = rows.into_iter().map(|(host, row)| state::listed(host, row)).collect();
        self.listed(Listing { seq, whole: false, hosts }, news);
        for (host, Hint { part: latency_factor, shut: gated }) in hints {
            if let Some(host) = self.names.find(&host) {
                self.events.push(Event::WarmStartHint { host, latency_factor, gated });
            }
        }
    }

    /// Probes what is not trusted yet, lets in what has come to be, and hands on what the disk does not hold.
    pub(super) fn tend(&mut self) {
        /// The writer's own period is no shorter than a tenth of this.
        const HAND_ON: Duration = Duration::from_millis(500);
        let now = self.unix.now_ms();
        let Some(rolls) = &mut self.rolls else { return };
        for (name, dial) in rolls.roster.to_probe(now) {
            let host = self.names.id(&name);
            let entry = dial.parse().ok().map(|dial| Entry { dial, born_ms: 0.0 });
            if entry.is_none_or(|entry| self.out.probes.try_send(Probe { host, entry }).is_err()) {
                self.counters.probes_unsent.one();
                rolls.roster.probed(now, &name, None);
            }
        }
        if self.kept_at.elapsed() >= HAND_ON {
            self.kept_at = Instant::now();
            rolls.writer.keep(rolls.roster.to_keep(), rolls.roster.stand());
        }
        self.roll_out(ListUpdate::Changes, false);
    }

    /// Whether the list has another process under that name by now. Guards against gating a host that has just come, or
    /// letting it in, for what a probe of the one before it found.
    pub(super) fn replaced(&self, host: HostId, entry: Entry) -> bool {
        let known = self.hosts.get(&host);
        known.is_some_and(|known| known.entry().is_some_and(|now| now != entry))
    }

    pub(super) fn proved(&mut self, host: HostId, outcome: ProbeOutcome) {
        let now = self.unix.now_ms();
        let pass = match outcome {
            ProbeOutcome::Answered => Some(true),
            ProbeOutcome::Full | ProbeOutcome::Unknown => None,
            ProbeOutcome::Errored
            | ProbeOutcome::TimedOut
            | ProbeOutcome::Unreachable
            | ProbeOutcome::Reset => Some(false),
        };
        if let Some((rolls, name)) = self.rolls.as_mut().zip(self.names.name(host)) {
            rolls.roster.probed(now, name, pass);
        }
    }

    pub(super) fn served(&mut self, event: &Event) {
        let now = self.unix.now_ms();
        if let (Some(rolls), Event::HostReport { host, tries, failed, .. }) = (&mut self.rolls, event) {
            if let Some(name) = self.names.name(*host).filter(|_| tries > failed) {
                rolls.roster.met(now, name);
            }
        }
    }

    pub(super) fn learnt(&mut self, host: HostId, part: Option<f64>, shut: Option<bool>) {
        let now = self.unix.now_ms();
        if let Some((rolls, name)) = self.rolls.as_mut().zip(self.names.name(host)) {
            rolls.roster.learnt(now, name, part, shut);
        }
    }

    /// Tells the intake, where there is one, which hosts are listed.
    pub(super) fn tell_list(&self) {
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
        // One clock is read by all machines; here its times become the module's. Once for each start:
        // two clocks read twice differ by a little, and a later time would be one more start.
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

    /// How long ago a host started, ms. No start lies ahead, and one of a host that was listed with another start is no
    /// older than the last list that did not have it, and what a list may be late by: so far a wrong clock can't make a
    /// cold host warm, nor keep it cold for longer than it warms.
    fn age(&self, row: &Row, restarted: bool) -> f64 {
        let by_clock = (self.unix.now_ms() - row.born_ms).max(0.0);
        let unlisted = self.now() - self.list_heard_at + LIST_LATE;
        if restarted {
            by_clock.min(unlisted)
        } else {
            by_clock
        }
    }

    /// A known host that a row has in a zone nobody knows, where a policy of the fleet governs: left where it was, it
    /// would go on serving what only that zone may. Where none governs the row is skipped like any that can't be read:
    /// a spoilt word, alone in a good list of changes, must not take a host out of service. (A whole list without a
    /// host that can be read has it gone either way.)
    pub(super) fn lost(&mut self, row: &Row) -> Option<HostEntry> {
        self.ward.as_ref()?;
        let known = self.hosts.get_mut(&self.names.find(&row.host)?)?;
        known.lost = true;
        known.listed.availability = Availability::Removed;
        Some(known.listed.clone())
    }
}
