//! Membership of the fleet. Inputs are host rows from discovery, from the configuration and from disk, probe results,
//! and successful answers seen in traffic reports. Outputs are the hosts that the decisions know, the hosts to probe
//! before they can be trusted, and the records to save on disk. The module does no I/O and reads no clock: `now` is
//! Unix time in ms, because this evidence outlives a process.
//!
//! Three guarantees: a host that is gone by the newest evidence is never emitted; a host whose row was not confirmed
//! recently is not emitted before it passed two probes, except when a start has no trusted host at all; and the
//! order in which evidence arrives does not change the result.

mod member;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use member::{Health, LearnedState, Member, Observations, Row, Source, Stand, Told, UnixMs};

/// How long a row counts as confirmed after discovery reported it, ms. The known discovery systems send a watched
/// list at least every ten minutes, and hosts are replaced within minutes.
pub const CONFIRMED_FOR: f64 = 120_000.0;
/// A row that was not confirmed for this long (ms) is not even probed: its name and address may belong to another
/// host by then.
pub const FORGOTTEN_AFTER: f64 = 7.0 * 24.0 * 3_600_000.0;
/// Consecutive passed probes after which a host with an old row is trusted; the same number lifts a gate.
const REQUIRED_PASSES: u32 = 2;
/// Interval between probes of a host that is not trusted yet, ms.
const PROBE_INTERVAL: f64 = 1_000.0;
/// Interval after a passed probe, ms: the second pass is requested soon.
const PROBE_INTERVAL_AFTER_PASS: f64 = 200.0;
/// If no host is trusted this long (ms) after the start, and discovery has not answered, the hosts with old rows are
/// emitted too. The instance itself may be cut off, and hosts that may be outdated are better than none.
const UNVERIFIED_FALLBACK_AFTER: f64 = 10_000.0;
/// A timestamp further in the future than this (ms) was written by a clock that has been set back since.
const MAX_CLOCK_LEAD: f64 = 5_000.0;
/// How long a gate of an earlier run counts as a hint, ms: as long as a probe takes to give newer evidence.
const GATE_HINT_FOR: f64 = 60_000.0;
/// Time constant with which an effective weight of an earlier run decays towards the full weight, ms.
const WEIGHT_HINT_DECAY: f64 = 600_000.0;

/// How far a host's row can be trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trust {
    /// Confirmed recently, or passed two probes since the start: it is passed on to the decisions.
    Trusted,
    /// Its row is too old to be used before two probes have passed.
    Unverified { passes: u32 },
    /// The newest evidence says that the host is gone.
    Gone,
    /// Not known, or not confirmed for longer than [`FORGOTTEN_AFTER`].
    Expired,
}

/// Probes of one host in this run.
#[derive(Clone, Debug, Default)]
struct ProbeHistory {
    /// Passes since the last failure.
    passes: u32,
    /// When the last probe was requested.
    requested_at: f64,
}

/// State learned before a restart that the decisions may start from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hint {
    /// Effective weight as a fraction of the listed weight.
    pub part: f64,
    /// The host was gated.
    pub shut: bool,
}

/// All known hosts with their evidence, and what of it the decisions and the disk have already received.
pub struct Roster {
    started_at: UnixMs,
    /// Shared with the thread that saves them: a host that changes is copied first.
    members: BTreeMap<String, Arc<Member>>,
    probes: BTreeMap<String, ProbeHistory>,
    /// The rows that the decisions know, by host name, as they were last emitted.
    emitted: BTreeMap<String, Row>,
    /// Hosts that changed since they were last passed on to be saved.
    unsaved: BTreeSet<String>,
    /// Hosts whose trust may have changed since they were last evaluated. With many hosts the rest is not touched.
    to_evaluate: BTreeSet<String>,
    evaluate_all: bool,
    unverified: BTreeSet<String>,
    list_confirmed: Stand,
    /// Discovery has answered in this run.
    discovery_answered: bool,
    /// Number of times that the list's `seq` has started over.
    epoch: u64,
    seq: u64,
}

impl Roster {
    pub fn new(now: UnixMs) -> Roster {
        Roster {
            started_at: now,
            members: BTreeMap::new(),
            probes: BTreeMap::new(),
            emitted: BTreeMap::new(),
            unsaved: BTreeSet::new(),
            to_evaluate: BTreeSet::new(),
            evaluate_all: true,
            unverified: BTreeSet::new(),
            list_confirmed: Stand::default(),
            discovery_answered: false,
            epoch: 0,
            seq: 0,
        }
    }

    /// Adds members from disk or from the configuration, in any order and before other evidence. Members of the first
    /// call are on disk already, so they are not saved again.
    pub fn restore(&mut self, members: impl IntoIterator<Item = impl Into<Arc<Member>>>) {
        let (epoch, seq) = (&mut self.epoch, &mut self.seq);
        let track_newest =
            |member: &Arc<Member>| (*epoch, *seq) = (*epoch, *seq).max((member.told.epoch, member.told.seq));
        let members = members.into_iter().map(Into::into).inspect(track_newest);
        if self.members.is_empty() {
            self.members = members.map(|member| (member.host.clone(), member)).collect();
            return;
        }
        let members: Vec<Arc<Member>> = members.collect();
        members.into_iter().for_each(|member| self.merge(Arc::unwrap_or_clone(member)));
    }

    /// Restores the version up to which the list was confirmed when the disk was last written.
    pub fn restore_stand(&mut self, stand: Stand) {
        self.list_confirmed = self.list_confirmed.merge(stand);
        (self.epoch, self.seq) = (self.epoch, self.seq).max((stand.epoch, stand.seq));
        self.evaluate_all = true;
    }

    fn merge(&mut self, member: Member) {
        let host = member.host.clone();
        let merged = match self.members.get(&host) {
            Some(before) => {
                let merged = Member::clone(before).merge(member);
                if **before == merged {
                    return;
                }
                if before.told.row.dial != merged.told.row.dial {
                    self.probes.remove(&host);
                }
                merged
            }
            None => member,
        };
        self.members.insert(host.clone(), Arc::new(merged));
        self.to_evaluate.insert(host.clone());
        self.unsaved.insert(host);
    }

    /// Applies an answer of discovery. A whole list confirms every host that it names and marks every other host as
    /// gone. An incremental update also confirms the rows that it does not name, because the watch would have reported
    /// a change of them.
    pub fn listed(&mut self, now: UnixMs, seq: u64, whole: bool, rows: Vec<(String, Row)>) {
        if whole && seq < self.seq {
            // A whole list with a lower version is a list that has started over.
            self.epoch += 1;
        } else if seq < self.seq {
            return;
        }
        (self.seq, self.discovery_answered) = (seq, true);
        let epoch = self.epoch;
        let told = |row: Row| Told { epoch, seq, at: now, source: Source::Discovery, row };
        let named: BTreeSet<String> = rows.iter().map(|(host, _)| host.clone()).collect();
        for (host, row) in rows {
            self.merge(Member::new(host, told(row)));
        }
        let not_named =
            |member: &&Arc<Member>| member.told.row.health != Health::Gone && !named.contains(&member.host);
        let removed: Vec<Member> = match whole {
            true => self.members.values().filter(not_named).map(|member| Member::clone(member)).collect(),
            // Rows from before this run are evaluated again below, with this confirmation.
            false => vec![],
        };
        for member in removed {
            let row = Row { health: Health::Gone, ..member.told.row.clone() };
            self.merge(Member { told: told(row), ..member });
        }
        self.list_confirmed = Stand { epoch, seq, at: now };
        self.to_evaluate.extend(self.unverified.iter().cloned());
    }

    /// Records that the list is unchanged: an open watch without updates, or an answer without changes, confirms all
    /// rows that discovery reported.
    pub fn stands(&mut self, now: UnixMs) {
        if self.discovery_answered {
            self.list_confirmed = Stand { at: now, ..self.list_confirmed };
            self.to_evaluate.extend(self.unverified.iter().cloned());
        }
    }

    /// The version up to which the list is confirmed, and when that was last known; to be saved beside the members.
    pub fn stand(&self) -> Stand {
        self.list_confirmed
    }

    /// Records the outcome of a probe; `None` is an outcome that shows nothing about the host.
    pub fn probed(&mut self, now: UnixMs, host: &str, pass: Option<bool>) {
        let Some(member) = self.members.get_mut(host).map(Arc::make_mut) else { return };
        let probes = self.probes.entry(host.to_string()).or_default();
        if self.unverified.contains(host) {
            self.to_evaluate.insert(host.to_string());
        }
        match pass {
            Some(true) => {
                probes.passes += 1;
                // A resolution of one second is enough for an age that is compared with minutes.
                let seen = member.current_mut();
                if now - seen.passed_at > 1_000.0 {
                    seen.passed_at = now;
                    self.unsaved.insert(host.to_string());
                }
            }
            Some(false) => probes.passes = 0,
            None => {}
        }
    }

    /// Records that a traffic report contains a successful answer of the host.
    pub fn met(&mut self, now: UnixMs, host: &str) {
        let seen = self.members.get_mut(host).map(|member| Arc::make_mut(member).current_mut());
        if let Some(seen) = seen.filter(|seen| now - seen.answered_at > 1_000.0) {
            seen.answered_at = now;
            self.unsaved.insert(host.to_string());
        }
    }

    /// Records the effective weight that the decisions learned for a host, or whether they gated it.
    pub fn learnt(&mut self, now: UnixMs, host: &str, part: Option<f64>, shut: Option<bool>) {
        let Some(member) = self.members.get_mut(host).map(Arc::make_mut) else { return };
        let seen = member.current_mut();
        let before = seen.learnt.unwrap_or(LearnedState { at: now, part: 1.0, shut: false });
        let learned =
            LearnedState { at: now, part: part.unwrap_or(before.part), shut: shut.unwrap_or(before.shut) };
        if seen.learnt.is_none_or(|before| (before.part, before.shut) != (learned.part, learned.shut)) {
            seen.learnt = Some(learned);
            self.unsaved.insert(host.to_string());
        }
    }

    /// How far a host can be trusted now.
    pub fn trust(&self, now: UnixMs, host: &str) -> Trust {
        let Some(member) = self.members.get(host) else { return Trust::Expired };
        if member.told.row.health == Health::Gone {
            return Trust::Gone;
        }
        let age = age(now, self.list_confirmed.confirmed(&member.told));
        // A host that passed two probes in this run exists, whatever the source of its row.
        let passes = self.probes.get(host).map_or(0, |probes| probes.passes);
        match () {
            _ if age < CONFIRMED_FOR || passes >= REQUIRED_PASSES => Trust::Trusted,
            _ if self.emitted.contains_key(host) => Trust::Trusted,
            _ if age < FORGOTTEN_AFTER => Trust::Unverified { passes },
            _ => Trust::Expired,
        }
    }

    /// Hosts that have to be probed now, before the decisions know them, with their addresses.
    pub fn to_probe(&mut self, now: UnixMs) -> Vec<(String, String)> {
        let mut out = Vec::new();
        for host in &self.unverified {
            let Some(member) = self.members.get(host) else { continue };
            let probes = self.probes.entry(host.clone()).or_default();
            let interval = if probes.passes > 0 { PROBE_INTERVAL_AFTER_PASS } else { PROBE_INTERVAL };
            if now - probes.requested_at >= interval {
                probes.requested_at = now;
                out.push((host.clone(), member.told.row.dial.clone()));
            }
        }
        out
    }

    /// Returns the rows that differ from what the decisions know; a host to be removed has the health `Gone`. Hosts
    /// reach the decisions only through this function. The first call returns all trusted hosts at once.
    pub fn emit(&mut self, now: UnixMs) -> Vec<(String, Row)> {
        let on = |row: &Row| row.health == Health::On;
        let emit_unverified = !self.discovery_answered
            && now - self.started_at >= UNVERIFIED_FALLBACK_AFTER
            && !self.emitted.values().any(on);
        if emit_unverified {
            self.to_evaluate.extend(self.unverified.iter().cloned());
        }
        let mut out = Vec::new();
        let to_evaluate = std::mem::take(&mut self.to_evaluate);
        let names: Vec<String> = match std::mem::take(&mut self.evaluate_all) {
            true => self.members.keys().cloned().collect(),
            false => to_evaluate.into_iter().collect(),
        };
        for host in names {
            let Some(member) = self.members.get(&host) else { continue };
            let row = &member.told.row;
            let trust = self.trust(now, &host);
            let usable = match trust {
                Trust::Trusted => true,
                // If no host is verified, hosts that may exist are better than none, as with gates when all hosts are
                // gated. A host known to be gone is never used.
                Trust::Unverified { .. } => emit_unverified,
                Trust::Gone | Trust::Expired => false,
            };
            match trust {
                Trust::Unverified { .. } if !usable => self.unverified.insert(host.clone()),
                _ => self.unverified.remove(&host),
            };
            match self.emitted.get(&host) {
                Some(emitted) if usable && emitted == row => {}
                Some(_) if !usable => {
                    self.emitted.remove(&host);
                    out.push((host, Row { health: Health::Gone, ..row.clone() }));
                }
                None if !usable => {}
                _ => {
                    self.emitted.insert(host.clone(), row.clone());
                    out.push((host, row.clone()));
                }
            }
        }
        out
    }

    /// What the decisions may use of the state learned before this run; it fades with its age.
    pub fn hint(&self, now: UnixMs, host: &str) -> Option<Hint> {
        let learned =
            self.members.get(host)?.current()?.learnt.filter(|learned| learned.at < self.started_at)?;
        let age = age(now, learned.at);
        let part = 1.0 - (1.0 - learned.part.clamp(0.05, 1.0)) * (-age / WEIGHT_HINT_DECAY).exp();
        let hint = Hint { part, shut: learned.shut && age < GATE_HINT_FOR };
        // A reduction smaller than the smallest weight step of the decisions has no effect.
        (hint.shut || hint.part < 0.95).then_some(hint)
    }

    /// Returns the members that changed since the last call, to be saved on disk.
    pub fn to_keep(&mut self) -> Vec<Arc<Member>> {
        let unsaved = std::mem::take(&mut self.unsaved);
        unsaved.into_iter().filter_map(|host| self.members.get(&host).cloned()).collect()
    }

    /// The newest list version received.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|member| &**member)
    }
}

/// Age of a timestamp, ms. A timestamp in the future was written by another clock, so its age is unknown: infinite.
fn age(now: UnixMs, at: UnixMs) -> f64 {
    match now - at {
        age if age >= -MAX_CLOCK_LEAD => age.max(0.0),
        _ => f64::INFINITY,
    }
}
