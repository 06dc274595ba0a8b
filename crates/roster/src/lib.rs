//! Who belongs to the fleet. Rows of discovery, of the configuration and of the disk go in, with probes and sums;
//! which hosts the decisions are told of, which are to be probed before that, and what is to be kept on disk come
//! out. No I/O, no clock: `now` is Unix time in ms, because evidence outlives a process.
//!
//! What it never does: give a host that is gone by the newest evidence, give one whose row is older than its
//! confirmation without two passes, or let the order of arrival decide.

mod member;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use member::{Health, Learnt, Member, Row, Seen, Source, Stand, Told, UnixMs};

/// How long a row counts as confirmed after discovery told it: a list that is watched is told at least every ten
/// minutes by those known, and hosts are replaced in minutes.
pub const CONFIRMED_FOR: f64 = 120_000.0;
/// A row that nobody confirmed for so long is not even probed: names and addresses are given to others by then.
pub const FORGOTTEN_AFTER: f64 = 7.0 * 24.0 * 3_600_000.0;
/// As many passes as lift a gate.
const PASSES: u32 = 2;
const PROBE_EVERY: f64 = 1_000.0;
/// After a pass the second is asked for soon.
const AGAIN: f64 = 200.0;
/// A start at which nothing passes for so long is cut off itself: better hosts that may be old than none.
const BARE_FOR: f64 = 10_000.0;
/// A time that lies further ahead than this was written by a clock that has been set back since.
const AHEAD: f64 = 5_000.0;
/// Gates of a run before are hints for as long as a probe takes to show better, parts fade over ten minutes.
const SHUT_FOR: f64 = 60_000.0;
const PART_FADES: f64 = 600_000.0;

/// How a row stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trust {
    /// Confirmed of late, or by two passes since the start: the decisions know it.
    Given,
    /// Too old to be used before it has passed twice.
    Unproven {
        passes: u32,
    },
    Gone,
    /// Older than anything may be.
    Forgotten,
}

#[derive(Clone, Debug, Default)]
struct Proof {
    passes: u32,
    asked: f64,
}

/// What the decisions may take up again of what was learnt before a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hint {
    pub part: f64,
    pub shut: bool,
}

pub struct Roster {
    begun: UnixMs,
    /// Shared with whoever writes them down: a host that changes is made anew.
    members: BTreeMap<String, Arc<Member>>,
    proofs: BTreeMap<String, Proof>,
    /// Told to the decisions by name, as it was told.
    given: BTreeMap<String, Row>,
    /// What has changed since it was last handed to the disk.
    changed: BTreeSet<String>,
    /// Who may stand otherwise than when it was last looked at, and who is not trusted yet: with many hosts the rest
    /// is not touched.
    look: BTreeSet<String>,
    look_at_all: bool,
    unproven: BTreeSet<String>,
    stand: Stand,
    /// Discovery has answered in this run.
    confirmed: bool,
    epoch: u64,
    seq: u64,
}

impl Roster {
    pub fn new(now: UnixMs) -> Roster {
        Roster {
            begun: now,
            members: BTreeMap::new(),
            proofs: BTreeMap::new(),
            given: BTreeMap::new(),
            changed: BTreeSet::new(),
            look: BTreeSet::new(),
            look_at_all: true,
            unproven: BTreeSet::new(),
            stand: Stand::default(),
            confirmed: false,
            epoch: 0,
            seq: 0,
        }
    }

    /// What the disk holds, or the configuration: heard before anything else, in any order. What the first call
    /// brings is on disk already.
    pub fn restore(&mut self, members: impl IntoIterator<Item = impl Into<Arc<Member>>>) {
        let (epoch, seq) = (&mut self.epoch, &mut self.seq);
        let newest =
            |member: &Arc<Member>| (*epoch, *seq) = (*epoch, *seq).max((member.told.epoch, member.told.seq));
        let members = members.into_iter().map(Into::into).inspect(newest);
        if self.members.is_empty() {
            self.members = members.map(|member| (member.host.clone(), member)).collect();
            return;
        }
        let members: Vec<Arc<Member>> = members.collect();
        members.into_iter().for_each(|member| self.merge(Arc::unwrap_or_clone(member)));
    }

    /// Up to which version the list stood when the disk was last written.
    pub fn restore_stand(&mut self, stand: Stand) {
        self.stand = self.stand.merge(stand);
        (self.epoch, self.seq) = (self.epoch, self.seq).max((stand.epoch, stand.seq));
        self.look_at_all = true;
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
                    self.proofs.remove(&host);
                }
                merged
            }
            None => member,
        };
        self.members.insert(host.clone(), Arc::new(merged));
        self.look.insert(host.clone());
        self.changed.insert(host);
    }

    /// Discovery's answer. A whole list confirms all that it names and ends all that it does not; changes confirm the
    /// rest as they stand, because the watch would have told otherwise.
    pub fn listed(&mut self, now: UnixMs, seq: u64, whole: bool, rows: Vec<(String, Row)>) {
        if whole && seq < self.seq {
            // A version that goes back is another list.
            self.epoch += 1;
        } else if seq < self.seq {
            return;
        }
        (self.seq, self.confirmed) = (seq, true);
        let epoch = self.epoch;
        let told = |row: Row| Told { epoch, seq, at: now, source: Source::Discovery, row };
        let named: BTreeSet<String> = rows.iter().map(|(host, _)| host.clone()).collect();
        for (host, row) in rows {
            self.merge(Member::new(host, told(row)));
        }
        let ends =
            |member: &&Arc<Member>| member.told.row.health != Health::Gone && !named.contains(&member.host);
        let rest: Vec<Member> = match whole {
            true => self.members.values().filter(ends).map(|member| Member::clone(member)).collect(),
            // What was told before this run is looked at again with this confirmation.
            false => vec![],
        };
        for member in rest {
            let row = Row { health: Health::Gone, ..member.told.row.clone() };
            self.merge(Member { told: told(row), ..member });
        }
        self.stand = Stand { epoch, seq, at: now };
        self.look.extend(self.unproven.iter().cloned());
    }

    /// A watch that stands and says nothing confirms what it told, as does an answer without changes.
    pub fn stands(&mut self, now: UnixMs) {
        if self.confirmed {
            self.stand = Stand { at: now, ..self.stand };
            self.look.extend(self.unproven.iter().cloned());
        }
    }

    /// Up to which version the list stands, and since when that is known: to be kept beside the members.
    pub fn stand(&self) -> Stand {
        self.stand
    }

    /// A probe's outcome; `None` tells nothing.
    pub fn probed(&mut self, now: UnixMs, host: &str, pass: Option<bool>) {
        let Some(member) = self.members.get_mut(host).map(Arc::make_mut) else { return };
        let proof = self.proofs.entry(host.to_string()).or_default();
        if self.unproven.contains(host) {
            self.look.insert(host.to_string());
        }
        match pass {
            Some(true) => {
                proof.passes += 1;
                // To the second is enough for an age that is looked at in minutes.
                let seen = member.current_mut();
                if now - seen.passed > 1_000.0 {
                    seen.passed = now;
                    self.changed.insert(host.to_string());
                }
            }
            Some(false) => proof.passes = 0,
            None => {}
        }
    }

    /// A sum told of a good answer of the host.
    pub fn met(&mut self, now: UnixMs, host: &str) {
        let seen = self.members.get_mut(host).map(|member| Arc::make_mut(member).current_mut());
        if let Some(seen) = seen.filter(|seen| now - seen.met > 1_000.0) {
            seen.met = now;
            self.changed.insert(host.to_string());
        }
    }

    /// What decisions have learnt, or done.
    pub fn learnt(&mut self, now: UnixMs, host: &str, part: Option<f64>, shut: Option<bool>) {
        let Some(member) = self.members.get_mut(host).map(Arc::make_mut) else { return };
        let seen = member.current_mut();
        let before = seen.learnt.unwrap_or(Learnt { at: now, part: 1.0, shut: false });
        let learnt = Learnt { at: now, part: part.unwrap_or(before.part), shut: shut.unwrap_or(before.shut) };
        if seen.learnt.is_none_or(|before| (before.part, before.shut) != (learnt.part, learnt.shut)) {
            seen.learnt = Some(learnt);
            self.changed.insert(host.to_string());
        }
    }

    pub fn trust(&self, now: UnixMs, host: &str) -> Trust {
        let Some(member) = self.members.get(host) else { return Trust::Forgotten };
        if member.told.row.health == Health::Gone {
            return Trust::Gone;
        }
        let age = age(now, self.stand.confirmed(&member.told));
        // Passed twice in this run, it is there, whoever told of it.
        let passes = self.proofs.get(host).map_or(0, |proof| proof.passes);
        match () {
            _ if age < CONFIRMED_FOR || passes >= PASSES => Trust::Given,
            _ if self.given.contains_key(host) => Trust::Given,
            _ if age < FORGOTTEN_AFTER => Trust::Unproven { passes },
            _ => Trust::Forgotten,
        }
    }

    /// Hosts to be probed now, ahead of the decisions, with where.
    pub fn to_probe(&mut self, now: UnixMs) -> Vec<(String, String)> {
        let mut out = Vec::new();
        for host in &self.unproven {
            let Some(member) = self.members.get(host) else { continue };
            let proof = self.proofs.entry(host.clone()).or_default();
            let wait = if proof.passes > 0 { AGAIN } else { PROBE_EVERY };
            if now - proof.asked >= wait {
                proof.asked = now;
                out.push((host.clone(), member.told.row.dial.clone()));
            }
        }
        out
    }

    /// The one place where hosts go out: what differs from what the decisions were told, gone ones by their health.
    /// The first call brings all that is trusted at once.
    pub fn emit(&mut self, now: UnixMs) -> Vec<(String, Row)> {
        let on = |row: &Row| row.health == Health::On;
        let bare = !self.confirmed && now - self.begun >= BARE_FOR && !self.given.values().any(on);
        if bare {
            self.look.extend(self.unproven.iter().cloned());
        }
        let mut out = Vec::new();
        let look = std::mem::take(&mut self.look);
        let names: Vec<String> = match std::mem::take(&mut self.look_at_all) {
            true => self.members.keys().cloned().collect(),
            false => look.into_iter().collect(),
        };
        for host in names {
            let Some(member) = self.members.get(&host) else { continue };
            let row = &member.told.row;
            let trust = self.trust(now, &host);
            let given = match trust {
                Trust::Given => true,
                // All unproven and none passes: as with all gated, what may be there is better than nothing. Never
                // one that is known to be gone.
                Trust::Unproven { .. } => bare,
                Trust::Gone | Trust::Forgotten => false,
            };
            match trust {
                Trust::Unproven { .. } if !given => self.unproven.insert(host.clone()),
                _ => self.unproven.remove(&host),
            };
            match self.given.get(&host) {
                Some(told) if given && told == row => {}
                Some(_) if !given => {
                    self.given.remove(&host);
                    out.push((host, Row { health: Health::Gone, ..row.clone() }));
                }
                None if !given => {}
                _ => {
                    self.given.insert(host.clone(), row.clone());
                    out.push((host, row.clone()));
                }
            }
        }
        out
    }

    /// What decisions may take up of what was learnt before this run: it fades with its age.
    pub fn hint(&self, now: UnixMs, host: &str) -> Option<Hint> {
        let learnt = self.members.get(host)?.current()?.learnt.filter(|learnt| learnt.at < self.begun)?;
        let age = age(now, learnt.at);
        let part = 1.0 - (1.0 - learnt.part.clamp(0.05, 1.0)) * (-age / PART_FADES).exp();
        let hint = Hint { part, shut: learnt.shut && age < SHUT_FOR };
        // Less than the least step that decisions take is nothing.
        (hint.shut || hint.part < 0.95).then_some(hint)
    }

    /// Records that the disk does not hold yet.
    pub fn to_keep(&mut self) -> Vec<Arc<Member>> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|host| self.members.get(&host).cloned()).collect()
    }

    /// The version of the list that was heard last.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|member| &**member)
    }
}

/// How old something is; what lies ahead was written by another clock, and its age is not known.
fn age(now: UnixMs, at: UnixMs) -> f64 {
    match now - at {
        age if age >= -AHEAD => age.max(0.0),
        _ => f64::INFINITY,
    }
}
