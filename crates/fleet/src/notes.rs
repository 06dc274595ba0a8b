//! Records quota events in the history: the capacity, each tenant's guarantee, the grants that the leader issues and
//! those that this member uses. It only observes the messages of the quota state machines; no decision depends on it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amberarch_accord::Name;
use amberarch_core::{ZoneId, Zones};
use amberarch_shares::{self as shares, Claim, Grant, Plan, Said, Tenant, Zone};

use crate::clock::machine_ns;
use crate::history::History;

/// Identifies a grant in histories and is sent along with it: its expiry as the leader counts it, on the machine's
/// monotonic clock in ns, and the grants that it revokes. Only histories of one machine read it: such times mean
/// nothing on another machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryTag {
    pub until: u64,
    pub back: Vec<(Tenant, Zone)>,
}

type Key = (Tenant, Zone);
/// Time of the report, ms, and the host capacity of each zone, txns a second.
type Report = (f64, Vec<(Zone, f64)>);

pub struct QuotaRecorder {
    history: Arc<History>,
    me: Name,
    /// The longest time that the leader counts a grant, ms.
    longest: f64,
    /// One per plan that may be in force, the previous one first.
    records: Vec<PlanRecord>,
    /// The last report of each member.
    reports: BTreeMap<Name, Report>,
    /// On the leader: the term, and the plans for which the capacity was recorded.
    recorded_for: Option<(u64, Vec<u64>)>,
    /// The plan whose guarantees were recorded last.
    guarantees_of: Option<u64>,
    capacity: BTreeMap<String, f64>,
    last_expiry: u64,
}

/// What is recorded of one plan. Grants of two plans do not add up; each plan's are compared with the capacity.
struct PlanRecord {
    planned: Planned,
    /// Tenants and places whose floors were recorded.
    floors: BTreeSet<(String, String)>,
    /// On the leader: until when it counts each grant that it issued, ns.
    given: BTreeMap<(Name, Tenant, Zone), u64>,
    /// The grants last sent to this member, until it accepts them or newer ones arrive.
    offered: Option<Offered>,
    /// The term and keys of the grants that this member uses.
    taken: Option<(u64, BTreeSet<Key>)>,
    /// The term of this member's last report.
    said_in: Option<u64>,
}

struct Planned {
    no: u64,
    plan: Arc<Plan>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// By zone: the zones that share txns with it, directly or through others.
    parts: Vec<Zones>,
}

struct Offered {
    round: u64,
    term: u64,
    keys: BTreeSet<Key>,
    noted: HistoryTag,
}

impl Planned {
    fn tenant(&self, tenant: Tenant) -> String {
        self.tenants.get(tenant.0 as usize).cloned().unwrap_or_default()
    }

    fn zone(&self, zone: ZoneId) -> String {
        self.zones.get(usize::from(zone.0)).cloned().unwrap_or_default()
    }

    /// Name of the zones in which a grant counts: all that share txns with its own, since it is unknown which of them
    /// serves a txn.
    fn part(&self, zone: Zone) -> String {
        let part = self.parts.get(usize::from(zone.0)).copied().unwrap_or(Zones::one(ZoneId(zone.0)));
        part.iter().map(|zone| self.zone(zone)).collect::<Vec<_>>().join("+")
    }

    /// The name of the same zones in grants, with the plan's number. Grants of two plans do not add up, since under
    /// both a member uses the minimum.
    fn place(&self, zone: Zone) -> String {
        format!("{}@{}", self.part(zone), self.no)
    }

    fn keys(&self) -> BTreeSet<Key> {
        self.plan.claims().map(|(_, tenant, zone)| (tenant, zone)).collect()
    }

    fn floor(&self, tenant: Tenant, zone: Zone) -> f64 {
        self.plan.claim(tenant, zone).map_or(0.0, |claim| self.plan.floor(claim))
    }
}

/// Groups the zones that are connected by claims which may be served in several of them.
fn parts(plan: &Plan, zones: usize) -> Vec<Zones> {
    let mut parts: Vec<Zones> = (0..zones as u16).map(|zone| Zones::one(ZoneId(zone))).collect();
    for (claim, _, zone) in plan.claims() {
        // Txns received in one zone may be served only in others: they count where they are received and need hosts of
        // the others.
        let reach = plan.reach(claim).union(Zones::one(ZoneId(zone.0)));
        let bound = |part: &Zones| !part.intersection(reach).is_empty();
        let all = parts.iter().filter(|part| bound(part)).fold(Zones::NONE, |all, part| all.union(*part));
        parts.iter_mut().filter(|part| bound(part)).for_each(|part| *part = all);
    }
    parts
}

impl QuotaRecorder {
    pub fn new(history: Arc<History>, me: Name, longest: f64) -> QuotaRecorder {
        QuotaRecorder {
            history,
            me,
            longest,
            records: vec![],
            reports: BTreeMap::new(),
            recorded_for: None,
            guarantees_of: None,
            capacity: BTreeMap::new(),
            last_expiry: 0,
        }
    }

    /// Sets the plans that may be in force here, the previous one first; `tenants` are the tenant names of each.
    /// Without any plan nothing changes: issued grants run until they expire.
    pub fn plans(&mut self, plans: Vec<shares::Planned>, mut tenants: Vec<Vec<String>>, zones: &[String]) {
        tenants.resize(plans.len(), vec![]);
        let named = plans.into_iter().zip(tenants);
        let named = named.filter_map(|(plan, tenants)| plan.map(|(no, plan)| (no, plan, tenants)));
        let named: Vec<(u64, Arc<Plan>, Vec<String>)> = named.collect();
        if named.is_empty() {
            return;
        }
        let mut before = std::mem::take(&mut self.records);
        for (no, plan, tenants) in named {
            if let Some(known) = before.iter().position(|record| record.planned.no == no) {
                self.records.push(before.remove(known));
                continue;
            }
            let parts = parts(&plan, zones.len());
            let planned = Planned { no, plan, tenants, zones: zones.to_vec(), parts };
            let mut floors: BTreeMap<(String, String), f64> = BTreeMap::new();
            for (claim, tenant, zone) in planned.plan.claims() {
                *floors.entry((planned.tenant(tenant), planned.place(zone))).or_default() +=
                    planned.plan.floor(claim);
            }
            floors.retain(|_, per_s| *per_s > 0.0);
            self.floors(no, &floors);
            let floors = floors.into_keys().collect();
            let given = BTreeMap::new();
            self.records.push(PlanRecord {
                planned,
                floors,
                given,
                offered: None,
                taken: None,
                said_in: None,
            });
        }
        // The holder drops its grants of a plan that is no longer in force, and the leader stops counting them once it
        // is told so.
        for gone in before {
            // The expiry is in the future: a grant that has expired when its line is written would revoke nothing.
            let until = unique_expiry(&mut self.last_expiry, machine_ns() + (1e6 * self.longest) as u64);
            for key in gone.planned.keys() {
                self.record_returned(&gone.planned, key, until);
                self.record_taken(&gone.planned, key, until);
            }
            // The floors are revoked too, with the number after the one they were recorded with.
            let floors = gone.floors.into_iter().map(|key| (key, 0.0)).collect();
            self.floors(gone.planned.no + 1, &floors);
        }
    }

    /// Records floors. They need no grant and do not expire: each controller may admit its own as long as it uses the
    /// plan.
    fn floors(&self, no: u64, floors: &BTreeMap<(String, String), f64>) {
        const NEVER: u64 = u64::MAX / 2;
        let to = format!("floor:{}", self.me);
        for ((tenant, zone), per_s) in floors {
            self.history.granted(&to, tenant, zone, *per_s, NEVER + no);
            self.history.took(&to, tenant, zone, NEVER + no);
        }
    }

    /// Records a message that is about to be sent to a member, which may be this one. The result is sent along with it.
    pub fn sending(&mut self, now: f64, to: &Name, said: &Said) -> Option<HistoryTag> {
        match said {
            Said::Seen(seen) => {
                self.record_held_report(seen);
                if *to == self.me {
                    self.received(now, &self.me.clone(), said, None);
                }
                None
            }
            Said::Dealt { round, term, plan, grants, .. } => {
                let noted = self.record_issued(now, to, (*term, *plan), grants)?;
                if *to == self.me {
                    self.offer((*round, *term, *plan), grants, Some(noted.clone()));
                }
                Some(noted)
            }
            Said::Taken { round, term } => {
                // Round numbers are unique to a plan, so the round tells which plan is meant.
                let fits = |of: &mut Offered| (of.round, of.term) == (*round, *term);
                let mut found = self.records.iter_mut().enumerate();
                let found = found.find_map(|(place, record)| Some((place, record.offered.take_if(fits)?)));
                if let Some((place, offered)) = found {
                    self.record_accepted(place, offered);
                }
                None
            }
        }
    }

    /// Records a received message before it is passed to the quota state machine.
    pub fn received(&mut self, now: f64, from: &Name, said: &Said, noted: Option<HistoryTag>) {
        match said {
            Said::Seen(seen) => drop(self.reports.insert(from.clone(), (now, seen.capacity.clone()))),
            Said::Dealt { round, term, plan, grants, .. } => {
                self.offer((*round, *term, *plan), grants, noted)
            }
            Said::Taken { .. } => {}
        }
    }

    fn offer(&mut self, (round, term, plan): (u64, u64, u64), grants: &[Grant], noted: Option<HistoryTag>) {
        let keys = grants.iter().map(|grant| (grant.tenant, grant.zone)).collect();
        if let Some(record) = self.records.iter_mut().find(|record| record.planned.no == plan) {
            record.offered = noted.map(|noted| Offered { round, term, keys, noted });
        }
    }

    /// Records grants that this member issues as the leader, before they are sent.
    fn record_issued(
        &mut self,
        now: f64,
        to: &Name,
        (term, no): (u64, u64),
        grants: &[Grant],
    ) -> Option<HistoryTag> {
        // The leader counts a grant from before it sends it, so the recorded expiry must not be later than the leader's
        // own: what it grants again afterwards would be counted twice. This clock is read first for the same reason.
        let line_now = machine_ns();
        let until = unique_expiry(&mut self.last_expiry, line_now + (1e6 * self.longest) as u64);
        let place = self.records.iter().position(|record| record.planned.no == no)?;
        let told = (term, self.records.iter().map(|record| record.planned.no).collect());
        if self.recorded_for.as_ref() != Some(&told) {
            self.recorded_for = Some(told);
            self.capacity.clear();
        }
        // The guarantees are those of the previous plan until it is no longer in force.
        if place == 0 && self.guarantees_of.replace(no) != Some(no) {
            record_guarantees(&self.history, &self.records[0].planned);
        }
        self.reports.retain(|_, (at, _)| now - *at < self.longest);
        record_capacity(&self.history, &self.records, &self.reports, &mut self.capacity);
        let (history, record) = (&self.history, &mut self.records[place]);
        let planned = &record.planned;
        let who = format!("steward:{to}");
        for grant in grants {
            let lift = (grant.per_s - planned.floor(grant.tenant, grant.zone)).max(0.0);
            history.granted(&who, &planned.tenant(grant.tenant), &planned.place(grant.zone), lift, until);
        }
        record.given.retain(|_, ends| *ends > line_now);
        let now_given: BTreeSet<Key> = grants.iter().map(|grant| (grant.tenant, grant.zone)).collect();
        let mine = record.given.keys().filter(|(holder, ..)| holder == to);
        let back: Vec<Key> =
            mine.map(|(_, tenant, zone)| (*tenant, *zone)).filter(|key| !now_given.contains(key)).collect();
        for (tenant, zone) in &back {
            history.granted(&who, &planned.tenant(*tenant), &planned.place(*zone), 0.0, until);
        }
        record.given.extend(now_given.into_iter().map(|(tenant, zone)| ((to.clone(), tenant, zone), until)));
        Some(HistoryTag { until, back })
    }

    /// Records that this member now uses the offered grants and none of the earlier ones.
    fn record_accepted(&mut self, place: usize, offered: Offered) {
        let Offered { term, keys, noted, .. } = offered;
        let record = &self.records[place];
        let mut all = keys.clone();
        all.extend(&noted.back);
        let known = all.clone();
        match &record.taken {
            Some((of, before)) if *of == term => all.extend(before),
            // Grants of an earlier leader may never have arrived here, and the new leader can't know of them.
            _ => all.extend(record.planned.keys()),
        }
        for key in all {
            if !known.contains(&key) {
                self.record_returned(&record.planned, key, noted.until);
            }
            self.record_taken(&record.planned, key, noted.until);
        }
        self.records[place].taken = Some((term, keys));
    }

    /// This member is about to report its held grants, and a new leader counts only those of the earlier ones. Records
    /// the others as returned: grants that have expired by this clock, and grants of earlier leaders that never arrived
    /// here and won't be accepted any more.
    fn record_held_report(&mut self, seen: &shares::Seen) {
        let Some(place) = self.records.iter().position(|record| record.planned.no == seen.plan) else {
            return;
        };
        let record = &mut self.records[place];
        let first = record.said_in.replace(seen.term) != Some(seen.term);
        let mut gone = match &mut record.taken {
            _ if first => record.planned.keys(),
            Some((_, keys)) if seen.held.is_empty() => std::mem::take(keys),
            _ => return,
        };
        for (grant, _) in &seen.held {
            gone.remove(&(grant.tenant, grant.zone));
        }
        if gone.is_empty() {
            return;
        }
        let until = unique_expiry(&mut self.last_expiry, machine_ns() + (1e6 * self.longest) as u64);
        for key in gone {
            self.record_returned(&self.records[place].planned, key, until);
            self.record_taken(&self.records[place].planned, key, until);
        }
    }

    fn record_returned(&self, planned: &Planned, (tenant, zone): Key, until: u64) {
        let to = format!("steward:{}", self.me);
        self.history.granted(&to, &planned.tenant(tenant), &planned.place(zone), 0.0, until);
    }

    fn record_taken(&self, planned: &Planned, (tenant, zone): Key, until: u64) {
        let who = format!("steward:{}", self.me);
        self.history.took(&who, &planned.tenant(tenant), &planned.place(zone), until);
    }
}

/// Returns `wanted` or later, so that no two grants have the same expiry.
fn unique_expiry(last: &mut u64, wanted: u64) -> u64 {
    *last = wanted.max(*last + 1);
    *last
}

/// Records the plan's guarantees by tenant and zone of arrival.
fn record_guarantees(history: &History, planned: &Planned) {
    for (claim, tenant, zone) in planned.plan.claims() {
        let (per_s, within) = (planned.plan.guarantee(claim), planned.plan.back_within(tenant));
        if per_s > 0.0 && within.is_finite() {
            let zone = planned.zone(ZoneId(zone.0));
            history.guarantee(&planned.tenant(tenant), &zone, per_s, (1e6 * within) as u64);
        }
    }
}

/// Records the capacity where it has changed: the maximum of all recent reports, so that grants above it are too much
/// whichever report is right. For zones that share txns it is recorded for all of them together, and for each zone as
/// what the others' guarantees leave. Where two plans give a value for a zone, the larger one is recorded.
fn record_capacity(
    history: &History,
    records: &[PlanRecord],
    reports: &BTreeMap<Name, Report>,
    recorded: &mut BTreeMap<String, f64>,
) {
    let mut rooms: BTreeMap<ZoneId, f64> = BTreeMap::new();
    for (zone, per_s) in reports.values().flat_map(|(_, capacity)| capacity) {
        let room = rooms.entry(ZoneId(zone.0)).or_default();
        *room = room.max(*per_s);
    }
    let room = |zones: Zones| -> f64 { zones.iter().filter_map(|zone| rooms.get(&zone)).sum() };
    let mut found: BTreeMap<String, f64> = BTreeMap::new();
    let mut finds = |name: String, per_s: f64| {
        let known = found.entry(name).or_insert(per_s);
        *known = known.max(per_s);
    };
    for (planned, zone) in
        records.iter().flat_map(|record| rooms.keys().map(move |zone| (&record.planned, zone)))
    {
        let part = planned.parts.get(usize::from(zone.0)).copied().unwrap_or(Zones::one(*zone));
        finds(planned.part(Zone(zone.0)), room(part));
        if part != Zones::one(*zone) {
            finds(planned.zone(*zone), capacity_left(planned, *zone, part, room));
        }
    }
    for (name, per_s) in found {
        if recorded.insert(name.clone(), per_s) != Some(per_s) {
            history.capacity(&name, per_s);
        }
    }
}

/// Capacity left for txns received in the zone once all others have their guarantees: the minimum over each set of
/// zones that some claims are confined to, and over all zones together.
fn capacity_left(planned: &Planned, home: ZoneId, part: Zones, room: impl Fn(Zones) -> f64) -> f64 {
    let plan = &planned.plan;
    let claims: Vec<(Claim, Zone)> = plan.claims().map(|(claim, _, zone)| (claim, zone)).collect();
    let reaches: BTreeSet<u128> = claims.iter().map(|(claim, _)| plan.reach(*claim).0).collect();
    let pairs = reaches.iter().flat_map(|one| reaches.iter().map(move |other| one | other));
    let sets: BTreeSet<u128> = pairs.chain([part.0]).collect();
    let confined = |claim: &Claim, set: Zones| plan.reach(*claim).difference(set).is_empty();
    let mut least = f64::INFINITY;
    for set in sets.into_iter().map(Zones) {
        let inside: Vec<&(Claim, Zone)> = claims.iter().filter(|(claim, _)| confined(claim, set)).collect();
        let (own, others): (Vec<_>, Vec<_>) = inside.into_iter().partition(|(_, zone)| zone.0 == home.0);
        if !own.is_empty() {
            let promised: f64 = others.iter().map(|(claim, _)| plan.guarantee(*claim)).sum();
            least = least.min(room(set) - promised);
        }
    }
    if least.is_finite() {
        least.max(0.0)
    } else {
        room(part)
    }
}

#[cfg(test)]
mod tests {
    use amberarch_accord::Boot;
    use amberarch_histories::{judge, Bounds, Line, Rule, What};
    use amberarch_shares::{compile, Facts, Section, Seen, ZoneFact};

    use super::*;

    fn plan(x: u32) -> Arc<Plan> {
        let tenants = ["x", "y"].map(|name| {
            format!("[[tenant]]\nname = {name:?}\nproducts = [{name:?}]\nguarantee_per_s = {x}\nback_within_ms = 9000\n")
        });
        let text = "floor = { part = 0.1, stewards = 1 }\n".to_string() + &tenants.concat();
        let section: Section = toml::from_str(&text).expect("a section");
        let zone = ZoneFact { name: "east".into(), proxies: 9, capacity_per_s: 100.0 };
        let products = vec!["x".into(), "y".into()];
        let facts = Facts { zones: vec![zone], products, permits: Default::default(), levels: vec![] };
        Arc::new(compile(&section, &facts).expect("a plan"))
    }

    struct Recording {
        recorder: QuotaRecorder,
        dir: tempfile::TempDir,
    }

    impl Recording {
        fn new() -> Recording {
            let dir = tempfile::tempdir().expect("a folder");
            let name = Name::from("a");
            let history = History::open(&dir.path().join("history"), &name, Boot(1)).expect("a history");
            let mut recorder = QuotaRecorder::new(Arc::new(history), name, 1_000.0);
            recorder.plans(vec![Some((1, plan(20)))], vec![names()], &["east".into()]);
            Recording { recorder, dir }
        }

        fn joint(&mut self) {
            let plans = vec![Some((1, plan(20))), Some((2, plan(30)))];
            self.recorder.plans(plans, vec![names(), names()], &["east".into()]);
        }

        /// This member, as the leader, reports this capacity, grants itself this rate by the plan, and accepts the
        /// grant.
        fn deals(&mut self, (term, plan, round): (u64, u64, u64), room: f64, per_s: f64) {
            self.loses((term, plan, round), room, per_s);
            self.recorder.sending(0.0, &Name::from("a"), &Said::Taken { round, term });
        }

        /// The same, but the acceptance is lost.
        fn loses(&mut self, (term, plan, round): (u64, u64, u64), room: f64, per_s: f64) {
            let me = Name::from("a");
            let seen = Seen { capacity: vec![(Zone(0), room)], ..holds_nothing(plan) };
            self.recorder.received(0.0, &me, &Said::Seen(seen), None);
            let grants = vec![Grant { tenant: Tenant(0), zone: Zone(0), per_s }];
            self.recorder.sending(0.0, &me, &Said::Dealt { round, term, plan, grants, lasts: 900.0 });
        }

        fn lines(&self) -> Vec<Line> {
            let text = std::fs::read_to_string(self.dir.path().join("history")).expect("lines");
            text.lines().map(|line| serde_json::from_str(line).expect("a line")).collect()
        }
    }

    fn names() -> Vec<String> {
        vec!["x".into(), "y".into()]
    }

    fn holds_nothing(plan: u64) -> Seen {
        Seen { round: 9, term: 1, plan, lived: 1e6, demand: vec![], capacity: vec![], held: vec![] }
    }

    /// Guards against grants of a new plan that are not compared with the capacity while the old plan is in force too.
    #[test]
    fn grants_of_a_new_plan_above_the_capacity_are_found_while_two_plans_are_joint() {
        let found = |old: f64, new: f64| {
            let mut recording = Recording::new();
            recording.joint();
            recording.deals((1, 1, 5), 100.0, old);
            recording.deals((1, 2, 7), 100.0, new);
            let lines = recording.lines();
            let took = |line: &&Line| {
                let new = matches!(&line.what, What::Took { zone, .. } if zone == "east@2");
                new && line.who == "steward:a"
            };
            assert_eq!(lines.iter().filter(took).count(), 2, "of each tenant that may be given something");
            judge(lines, &Bounds::default()).found(Rule::Grants)
        };
        assert_eq!(found(90.0, 95.0), 0, "grants of two plans do not add up");
        assert!(found(90.0, 101.0) > 0 && found(101.0, 90.0) > 0, "each plan's are held to what there is");
    }

    /// Guards against counting a grant until its expiry on the old leader's clock although the holder has reported to a
    /// new leader that it is over. Found in a run of real processes on two cores (seed 29): a leader was killed, and
    /// the next one granted the same quota again.
    #[test]
    fn grants_reported_as_over_may_be_issued_again_by_the_next_leader() {
        let found = |comes: bool, says: bool| {
            let mut recording = Recording::new();
            recording.recorder.sending(0.0, &Name::from("b"), &Said::Seen(holds_nothing(1)));
            if comes {
                recording.deals((1, 1, 5), 100.0, 90.0);
            } else {
                recording.loses((1, 1, 5), 100.0, 90.0);
            }
            if says {
                let seen = Seen { term: 2, ..holds_nothing(1) };
                recording.recorder.sending(0.0, &Name::from("b"), &Said::Seen(seen));
            }
            // The next leader grants the same quota to another member.
            let grants = vec![Grant { tenant: Tenant(0), zone: Zone(0), per_s: 90.0 }];
            let said = Said::Dealt { round: 6, term: 2, plan: 1, grants, lasts: 900.0 };
            recording.recorder.sending(0.0, &Name::from("b"), &said);
            judge(recording.lines(), &Bounds::default()).found(Rule::Grants)
        };
        assert_eq!((found(true, true), found(true, false)), (0, 1));
        // A grant that never arrived is not accepted in a later term either.
        assert_eq!((found(false, true), found(false, false)), (0, 1));
    }
}
