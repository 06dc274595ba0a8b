mod ladder;
mod machine;
mod plan;
mod signals;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use amberarch_core::*;

pub use ladder::{value_density, Condition, Keep, Ladder, LadderError, Level, Signal, SIGNALS};
pub use machine::{Change, ChangeReason, LevelMachine, MIN_CHANGE_INTERVAL};
pub use plan::{greedy_shares, optimal_shares, total_value, Capacities, Demand, Demands, Shares};
pub use signals::{Signals, ZoneStats};

/// Milliseconds between two evaluations of the levels. Small beside the report period, so that it adds
/// little delay to the reports.
const EVALUATION_INTERVAL: f64 = 400.0;
/// Smallest change of a share that produces an order.
const MIN_SHARE_CHANGE: f64 = 0.04;
/// After a restart of the controller, proxies may still apply bounds of the previous one. This many report
/// rounds are enough to see how much they admit.
const ROUNDS_TO_DETECT: u64 = 2;
/// Milliseconds after a start within which proxies that hold earlier bounds join; nothing is ordered before
/// it has passed.
const JOIN_WINDOW: f64 = 1_500.0;
/// From this admitted fraction of the arrivals on, a zone counts as shedding nothing.
const FULL_ADMISSION: f64 = 0.93;
/// Work is planned up to this fraction of a zone's observed capacity.
const TARGET_UTILIZATION: f64 = 0.85;
/// From `SATURATED_PRESSURE` on, the completed work is taken for all that the zone can do; below
/// `LOW_PRESSURE` the zone may be able to do more. Where the level in force names a pressure at which it is
/// left, that value replaces `LOW_PRESSURE`: with a lower value the estimate would stop growing although
/// the condition to leave holds, and the level would stay for good.
const SATURATED_PRESSURE: f64 = 0.65;
const LOW_PRESSURE: f64 = 0.45;
/// The capacity estimate falls to the completed work, but by at most a quarter in a round. It grows by the
/// difference between the pressure and the lower threshold, so that an estimate learnt while hosts failed
/// recovers soon.
const MIN_DECREASE_FACTOR: f64 = 0.75;
/// From this fraction of the planned work on, the plan counts as used up.
const PLAN_USED_FRACTION: f64 = 0.85;

/// Work per second that a zone's hosts can do per unit of available weight, as far as it has been observed.
#[derive(Clone, Copy, Debug, Default)]
struct CapacityEstimate {
    per_weight: Option<f64>,
    round: u64,
}

/// The state of the levels as shown to operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// `None` while a restarted controller detects the level in force.
    pub level: Option<String>,
    /// When the level was entered, in ms.
    pub since: f64,
    /// Whether bounds are sent to the proxies.
    pub acts: bool,
    pub pinned: Option<(String, f64)>,
    pub last: Option<Change>,
    pub changes: Vec<Change>,
    /// Conditions that have to hold before the next level up is restored.
    pub lifts: Vec<Condition>,
    pub zones: BTreeMap<ZoneId, ZoneStats>,
    pub shares: BTreeMap<(ZoneId, ClassId), f64>,
}

/// Evaluates the ladder of levels against the signals of the zones and emits the resulting bounds.
pub struct ServiceLevels {
    ladder: Ladder,
    classes: Vec<RequestClass>,
    /// If false, levels are evaluated, reported and logged, but no bounds are sent.
    acts: bool,
    signals: Signals,
    machine: Option<LevelMachine>,
    capacity_estimates: BTreeMap<ZoneId, CapacityEstimate>,
    zone_stats: BTreeMap<ZoneId, ZoneStats>,
    shares: Shares,
    /// Level and sum of the report rounds for which `shares` was computed.
    planned_for: Option<(usize, u64)>,
    sent_bounds: BTreeMap<(ZoneId, ClassId), (f64, RetryPolicy)>,
    /// The decisions were told to wait until the level in force is detected.
    await_sent: bool,
    started_at: Option<f64>,
    /// A proxy joined that still holds tables of an earlier controller.
    prior_state_found: bool,
    evaluated_at: f64,
    log_lines: Vec<String>,
}

impl ServiceLevels {
    pub fn new(
        ladder: Ladder,
        zones: u16,
        classes: Vec<RequestClass>,
        sums: &ReportSettings,
        acts: bool,
    ) -> ServiceLevels {
        ServiceLevels {
            ladder,
            signals: Signals::new(zones, sums, &classes),
            classes,
            acts,
            machine: None,
            capacity_estimates: BTreeMap::new(),
            zone_stats: BTreeMap::new(),
            shares: Shares::new(),
            planned_for: None,
            sent_bounds: BTreeMap::new(),
            await_sent: false,
            started_at: None,
            prior_state_found: false,
            evaluated_at: f64::NEG_INFINITY,
            log_lines: Vec::new(),
        }
    }

    pub fn hear(&mut self, now: f64, event: &Event) {
        self.started_at.get_or_insert(now);
        if let Event::ProxyJoined { without_table: false, .. } = event {
            // Proxies that join later come from another controller and bring its level; this controller's
            // bounds are sent to them again.
            self.prior_state_found |= self.machine.is_none();
        }
        self.signals.handle_event(now, event);
    }

    pub fn record_order(&mut self, order: &Order) {
        self.signals.record_order(order);
    }

    /// Evaluates the levels if an evaluation is due, and returns the events for the decisions.
    pub fn look(&mut self, now: f64) -> Vec<Event> {
        if now - self.evaluated_at < EVALUATION_INTERVAL {
            return vec![];
        }
        self.evaluated_at = now;
        self.zone_stats = self.signals.evaluate(now);
        self.update_capacity_estimates();
        if self.machine.is_none() {
            return self.detect_level(now);
        }
        let change = self.machine.take().and_then(|mut machine| {
            let fits = |level: usize| fits_capacity(&self.demands(level), &self.capacities());
            let level = &self.ladder.levels()[machine.level()];
            let at_max_share = |((_, id), share): (&(ZoneId, ClassId), &f64)| {
                *share >= level.keep(*id).most - MIN_SHARE_CHANGE
            };
            let at_max_shares = self.shares.iter().all(at_max_share);
            let change = machine.step(now, &self.ladder, &self.zone_stats, fits, at_max_shares);
            self.machine = Some(machine);
            change
        });
        if let Some(change) = &change {
            self.log_change(change);
        }
        self.update_shares();
        self.emit_bounds()
    }

    /// Pins a level until `until` (ms). Afterwards the level follows the conditions again.
    ///
    /// # Errors
    /// No level has that name, or the level in force is not known yet.
    pub fn pin(&mut self, now: f64, name: &str, until: f64) -> Result<(), String> {
        let level = self.ladder.find(name).ok_or_else(|| {
            let names: Vec<&str> = self.ladder.levels().iter().map(|level| level.name.as_str()).collect();
            format!("no level is named {name}; there are {}", names.join(", "))
        })?;
        let machine = self.machine.as_mut().ok_or("the level in force is not known yet")?;
        let change = machine.pin(now, level, until);
        self.log_lines.push(format!("level pinned={name} for_s={:.0}", (until - now) / 1e3));
        if let Some(change) = change {
            self.log_change(&change);
        }
        self.evaluated_at = f64::NEG_INFINITY;
        Ok(())
    }

    pub fn unpin(&mut self) {
        if let Some(machine) = self.machine.as_mut().filter(|machine| machine.pinned().is_some()) {
            machine.unpin();
            self.log_lines.push("level unpinned".into());
        }
    }

    /// Log lines since the last call: one per change, with the signals that led to it.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Index of the level in force; `None` while it is not known, or where levels are not acted on.
    pub fn level(&self) -> Option<usize> {
        self.machine.as_ref().filter(|_| self.acts).map(LevelMachine::level)
    }

    pub fn status(&self) -> Status {
        let name = |level: usize| self.ladder.levels()[level].name.clone();
        let machine = self.machine.as_ref();
        let current = machine.map_or(0, LevelMachine::level);
        Status {
            level: machine.map(|machine| name(machine.level())),
            since: machine.map_or(self.started_at.unwrap_or(0.0), LevelMachine::since),
            acts: self.acts,
            pinned: machine.and_then(LevelMachine::pinned).map(|(level, until)| (name(level), until)),
            last: machine.and_then(|machine| machine.changes().last().cloned()),
            changes: machine.map_or(vec![], |machine| machine.changes().cloned().collect()),
            lifts: self.ladder.levels()[current].leave.clone(),
            zones: self.zone_stats.clone(),
            shares: self.shares.clone(),
        }
    }

    pub fn ladder(&self) -> &Ladder {
        &self.ladder
    }

    fn log_change(&mut self, Change { from, to, why, .. }: &Change) {
        let name = |level: &usize| &self.ladder.levels()[*level].name;
        let shown: Vec<String> = self
            .zone_stats
            .iter()
            .filter(|(_, stats)| stats.proxies > 0)
            .map(|(zone, stats)| {
                let values: Vec<String> =
                    stats.values.iter().map(|(signal, value)| format!("{signal}:{value:.2}")).collect();
                format!("zone{}={}", zone.0, values.join(","))
            })
            .collect();
        let acts = if self.acts { "" } else { " (not acted on)" };
        let line =
            format!("level from={} to={}{acts} why=\"{why}\" {}", name(from), name(to), shown.join(" "));
        self.log_lines.push(line);
    }

    /// After a restart: detects the level in force from what the proxies admit. Until it is known, nothing
    /// is ordered and no level is left.
    fn detect_level(&mut self, now: f64) -> Vec<Event> {
        let started_at = self.started_at.unwrap_or(now);
        if now - started_at < JOIN_WINDOW {
            return vec![];
        }
        if !self.prior_state_found {
            self.machine = Some(LevelMachine::new(now, 0));
            return vec![];
        }
        let active_zones = || self.zone_stats.values().filter(|stats| stats.proxies > 0);
        if active_zones().any(|stats| stats.round < ROUNDS_TO_DETECT || stats.arrival_rates.is_empty()) {
            let first = !std::mem::replace(&mut self.await_sent, self.acts);
            return if first && self.acts { vec![Event::LevelsUnknown { on: true }] } else { vec![] };
        }
        // The ratio of tries to arrivals shows how much of a zone's traffic was admitted.
        let (mut detected, mut admitted) = (0, 1.0);
        for stats in active_zones() {
            let arrivals: f64 = stats.arrival_rates.values().sum();
            let admitted_fraction = stats.tries_per_s / arrivals.max(1e-9);
            let min_admitted = |level: &Level| {
                stats.arrival_rates.iter().map(|(id, rate)| rate * level.keep(*id).least).sum::<f64>()
                    / arrivals.max(1e-9)
            };
            let levels = self.ladder.levels();
            let level = match admitted_fraction >= FULL_ADMISSION {
                true => 0,
                // The shallowest level that may shed this much; if there is none, the deepest level.
                false => levels
                    .iter()
                    .position(|level| min_admitted(level) <= admitted_fraction + 0.05)
                    .unwrap_or(levels.len() - 1),
            };
            if level > detected {
                (detected, admitted) = (level, admitted_fraction);
            }
        }
        let mut machine = LevelMachine::new(now, 0);
        let change = machine.detected(now, detected, admitted);
        self.machine = Some(machine);
        if let Some(change) = change {
            self.log_change(&change);
        }
        self.update_shares();
        let mut events = self.emit_bounds();
        if std::mem::take(&mut self.await_sent) {
            events.push(Event::LevelsUnknown { on: false });
        }
        events
    }

    /// Updates the estimate of each zone's capacity from the last report round.
    fn update_capacity_estimates(&mut self) {
        let current = self.machine.as_ref().map_or(0, LevelMachine::level);
        let mut leave = self.ladder.levels()[current].leave.iter().filter(|on| on.signal == Signal::Pressure);
        let low_pressure = leave.next().map_or(LOW_PRESSURE, |on| on.value);
        let saturated_pressure = SATURATED_PRESSURE.max(low_pressure + 0.05);
        for (zone, stats) in &self.zone_stats {
            let estimate = self.capacity_estimates.entry(*zone).or_default();
            if stats.round == estimate.round || stats.available_weight <= 0.0 {
                continue;
            }
            estimate.round = stats.round;
            let Some(pressure) = stats.values.get(&Signal::Pressure).copied() else { continue };
            let admitted_fraction = |id: &ClassId| self.shares.get(&(*zone, *id)).copied().unwrap_or(1.0);
            let (mut rate, mut work) = (1e-9, 0.0);
            for (id, arrivals) in &stats.arrival_rates {
                let sla = self.classes.get(usize::from(id.0)).map_or(0.0, |class| class.latency_target);
                rate += arrivals * admitted_fraction(id);
                work += arrivals * admitted_fraction(id) * sla;
            }
            let completed = stats.successes_per_s * work / rate / stats.available_weight;
            let shed = stats.arrival_rates.keys().any(|id| admitted_fraction(id) < 1.0);
            estimate.per_weight = match estimate.per_weight {
                None if pressure >= saturated_pressure => Some(completed),
                Some(known) if pressure >= saturated_pressure => {
                    Some(known.min(completed.max(MIN_DECREASE_FACTOR * known)))
                }
                // Work done at low pressure fits. The estimate grows beyond it only where the estimate is
                // what limits the traffic: an estimate that the traffic does not reach is not confirmed
                // (RFC 7661 has the same rule for congestion windows).
                Some(known) if pressure < low_pressure => {
                    let used = completed >= PLAN_USED_FRACTION * TARGET_UTILIZATION * known;
                    let growth = if shed && used { 1.0 + low_pressure - pressure } else { 1.0 };
                    Some(f64::max(completed / TARGET_UTILIZATION, growth * known))
                }
                other => other,
            };
        }
    }

    fn capacities(&self) -> Capacities {
        let capacity = |(zone, stats): (&ZoneId, &ZoneStats)| {
            let known = self.capacity_estimates.get(zone).and_then(|estimate| estimate.per_weight);
            // A zone that was never saturated has no known limit, so nothing is cut there.
            (*zone, known.map_or(f64::INFINITY, |known| TARGET_UTILIZATION * known * stats.available_weight))
        };
        self.zone_stats.iter().map(capacity).collect()
    }

    fn demands(&self, level: usize) -> Demands {
        let level = &self.ladder.levels()[level];
        let mut demands = Demands::new();
        for (zone, stats) in &self.zone_stats {
            for (id, rate) in &stats.arrival_rates {
                let Some(class) = self.classes.get(usize::from(id.0)) else { continue };
                let Keep { least, most } = level.keep(*id);
                let (rate, work, value, own_zone) =
                    (*rate, class.latency_target, class.value, class.home_zone_only);
                demands.insert((*zone, *id), Demand { rate, work, value, least, most, own_zone });
            }
        }
        demands
    }

    /// Recomputes the shares only when a report round is complete or the level has changed: a linear
    /// program over hundreds of classes takes tens of milliseconds.
    fn update_shares(&mut self) {
        let current = self.machine.as_ref().map_or(0, LevelMachine::level);
        let basis = (current, self.zone_stats.values().map(|stats| stats.round).sum());
        if self.planned_for.replace(basis) == Some(basis) {
            return;
        }
        self.shares = match current {
            0 => self.demands(0).into_keys().map(|key| (key, 1.0)).collect(),
            current => optimal_shares(&self.demands(current), &self.capacities()),
        };
    }

    /// Emits the bounds that differ from those last sent. This is the only place where bounds are emitted.
    fn emit_bounds(&mut self) -> Vec<Event> {
        if !self.acts {
            return vec![];
        }
        let current = self.machine.as_ref().map_or(0, LevelMachine::level);
        let max_tries = self.ladder.levels()[current].tries;
        let mut events = Vec::new();
        for (&(zone, class), &max_share) in &self.shares {
            let wanted = (max_share, max_tries);
            let sent =
                self.sent_bounds.get(&(zone, class)).copied().unwrap_or((1.0, RetryPolicy::TwiceAfterAny));
            // Changes to or from 0 and 1 are always sent, so that no class stays shed because of rounding.
            let end = (max_share >= 1.0) != (sent.0 >= 1.0) || (max_share <= 0.0) != (sent.0 <= 0.0);
            if (max_share - sent.0).abs() >= MIN_SHARE_CHANGE || end || sent.1 != max_tries {
                self.sent_bounds.insert((zone, class), wanted);
                events.push(Event::ServiceBound { zone, class, max_share, max_tries });
            }
        }
        events
    }
}

/// Whether the capacities can carry the minimum share of every class at a level.
fn fits_capacity(demands: &Demands, capacities: &Capacities) -> bool {
    let mut remaining = capacities.clone();
    let mut movable_work = 0.0;
    for ((zone, _), demand) in demands {
        let work = demand.least * demand.rate * demand.work;
        let Some(remaining) = remaining.get_mut(zone) else { continue };
        match demand.own_zone {
            true => *remaining -= work,
            // A zone that was never saturated serves its own traffic; the traffic of other zones is not
            // counted on it.
            false if remaining.is_finite() => movable_work += work,
            false => {}
        }
    }
    let limited = remaining.values().filter(|remaining| remaining.is_finite());
    remaining.values().all(|remaining| *remaining >= 0.0) && limited.sum::<f64>() >= movable_work
}

/// Wraps the decisions: passes their events and orders to the levels, and the levels' bounds to them.
pub struct Levelled<D> {
    inner: D,
    levels: Rc<RefCell<ServiceLevels>>,
}

impl<D: Decide> Levelled<D> {
    pub fn new(inner: D, levels: Rc<RefCell<ServiceLevels>>) -> Levelled<D> {
        Levelled { inner, levels }
    }
}

impl<D: Decide> Decide for Levelled<D> {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut levels = self.levels.borrow_mut();
        events.iter().for_each(|event| levels.hear(now, event));
        let bounds = levels.look(now);
        let mut orders = match bounds.is_empty() {
            true => self.inner.decide(now, events),
            false => self.inner.decide(now, &[&bounds, events].concat()),
        };
        orders.iter().for_each(|order| levels.record_order(order));
        orders.extend(levels.take_log_lines().into_iter().map(|text| Order::Log { text }));
        orders
    }
}
