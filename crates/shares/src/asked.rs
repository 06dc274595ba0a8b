//! The demand reported by each controller, held in bands so that fluctuating demand yields a constant value, and the
//! capacity of the zones as the majority of controllers sees it.

use std::collections::BTreeMap;

use crate::{Claim, Holder, Plan};

/// A demand value that stays constant while the observed rate stays below it, but not far below. The headroom above the
/// observed rate is a small fraction, for growth between two reports, plus some standard deviations of the arrivals in one
/// second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Band {
    value: f64,
    /// The highest rate observed since `since`.
    high: f64,
    since: f64,
    /// Since when the observed rate slightly exceeds the band; `None` if the last one did not.
    exceeded_since: Option<f64>,
    /// Mean of the recently observed rates, the time it covers in ms, and the time of the last update.
    mean: f64,
    mean_span_ms: f64,
    updated_at: f64,
}

/// Factor of the headroom above the observed rate, without the standard deviations.
const HEADROOM_FACTOR: f64 = 1.05;

/// How far a band lies above the observed rate, and when it is lowered.
struct BandKind {
    /// Headroom in standard deviations.
    deviations: f64,
    /// The band is lowered if for five seconds (five traffic reports) less than this fraction of it would have been
    /// enough. The fraction is low enough that chance alone does not cause it.
    lower_below: f64,
}

/// By chance, three standard deviations are exceeded once in twelve minutes, and by two successive traffic reports once a
/// week. So a rate that exceeds the band slightly must be confirmed by a second report; meanwhile txns of at most two
/// standard deviations are rejected, for one second. A rate that exceeds the band by more than this many deviations (five
/// in total, once in forty days by chance) moves the band at once, since a burst can't wait.
const IMMEDIATE_DEVIATIONS: f64 = 2.0;
/// Time after which an excess counts as confirmed, ms: longer than one traffic report is repeated, shorter than two.
const CONFIRM_AFTER_MS: f64 = 1_300.0;
/// The mean of 45 traffic reports fluctuates by a tenth of a standard deviation. A band that is too low by less than this
/// many deviations is not moved.
const MEAN_TOLERANCE: f64 = 0.5;
/// Band of a claim's total demand. Its headroom is capacity that others do not get, so it is kept small.
const TOTAL_BAND: BandKind = BandKind { deviations: 3.0, lower_below: 0.6 };
/// Band of the demand at one controller. It only divides a grant and reserves no capacity, and there are many, so it has
/// more headroom and is lowered later.
const CONTROLLER_BAND: BandKind = BandKind { deviations: 5.0, lower_below: 0.4 };
/// Time after which a band that is too high is lowered, ms.
const LOWER_AFTER_MS: f64 = 5_000.0;
/// Window of the mean, ms: 45 one-second traffic reports. A band that started from an unusually low report is too low:
/// chance would exceed it minutes later and all shares would be computed again. So if the band has less than its headroom
/// above the mean, it is raised to one standard deviation more. That is ten times the fluctuation of a mean of 45 reports.
/// While the mean covers fewer reports, the band is kept closer to that higher value.
const MEAN_WINDOW_MS: f64 = 45_000.0;

impl Band {
    fn with_headroom(observed: f64, deviations: f64) -> f64 {
        HEADROOM_FACTOR * observed + deviations * observed.sqrt()
    }

    /// Updates the band with an observed rate. Returns whether the band has moved.
    fn update(&mut self, now: f64, observed: f64, kind: &BandKind) -> bool {
        let before = self.value;
        let elapsed = if self.value > 0.0 { now - self.updated_at } else { 0.0 };
        self.updated_at = now;
        self.mean_span_ms = (self.mean_span_ms + elapsed).min(MEAN_WINDOW_MS);
        self.mean = match self.mean_span_ms > 0.0 {
            true => self.mean + (observed - self.mean) * elapsed / self.mean_span_ms,
            false => observed,
        };
        self.high = self.high.max(observed);
        let (max_deviations, mean_coverage) = (kind.deviations + 1.0, self.mean_span_ms / MEAN_WINDOW_MS);
        self.exceeded_since = self.exceeded_since.filter(|_| observed > self.value);
        let exceeds = observed > self.value && {
            let since = *self.exceeded_since.get_or_insert(now);
            // A band that was at zero needs no confirmation.
            let immediate = before == 0.0 || observed > self.value + IMMEDIATE_DEVIATIONS * observed.sqrt();
            immediate || now - since >= CONFIRM_AFTER_MS
        };
        if exceeds {
            (self.value, self.high, self.since) =
                (Band::with_headroom(observed, kind.deviations), observed, now);
        } else if Band::with_headroom(self.mean, max_deviations - (1.0 + MEAN_TOLERANCE) * mean_coverage)
            > self.value
        {
            (self.value, self.high, self.since) =
                (Band::with_headroom(self.mean, max_deviations), observed, now);
        } else if now - self.since >= LOWER_AFTER_MS {
            let high = Band::with_headroom(self.high, kind.deviations);
            if high < kind.lower_below * self.value {
                // The mean from before the drop does not apply any more.
                (self.value, self.mean, self.mean_span_ms) = (high, self.high, 0.0);
            }
            (self.high, self.since) = (observed, now);
        }
        self.value != before
    }
}

/// Demand for a claim at one controller: as reported, and as counted in the total.
#[derive(Clone, Copy, Debug, Default)]
struct ControllerDemand {
    arrivals: f64,
    counted: f64,
    band: Band,
}

/// The last report of one controller.
#[derive(Clone, Debug)]
struct ControllerState {
    last_report_at: f64,
    silent: bool,
    /// All its grants have expired.
    lapsed: bool,
    /// By claim, in order.
    demands: Vec<(u32, ControllerDemand)>,
    /// By zone; NaN if not reported.
    capacities: Vec<f64>,
}

/// Demand for a claim at all controllers.
#[derive(Clone, Copy, Debug, Default)]
struct TotalDemand {
    sum: f64,
    band: Band,
    /// Sum of the bands of all controllers.
    band_sum: f64,
    controllers: u32,
}

/// Demand and capacity as reported by all controllers.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTracker {
    controllers: BTreeMap<Holder, ControllerState>,
    /// By claim.
    totals: Vec<TotalDemand>,
    /// By zone: the capacity that grants are issued for.
    capacities: Vec<f64>,
    /// Whether any band or capacity has changed since the last round.
    pub changed: bool,
}

impl DemandTracker {
    pub fn new(plan: &Plan) -> DemandTracker {
        let totals = vec![TotalDemand::default(); plan.claims.len()];
        DemandTracker { totals, capacities: vec![0.0; plan.zone_count], ..DemandTracker::default() }
    }

    pub fn retain(&mut self, holder: impl Fn(&Holder) -> bool) {
        let removed: Vec<Holder> = self.controllers.keys().filter(|known| !holder(known)).copied().collect();
        for removed in removed {
            self.changed = true;
            for (claim, demand) in
                self.controllers.remove(&removed).into_iter().flat_map(|controller| controller.demands)
            {
                self.totals[claim as usize].remove(&demand);
            }
        }
    }

    /// Takes a report. `arrivals` has rates in txns per second, sorted by claim; a claim that is not listed had none.
    pub fn record_report(
        &mut self,
        now: f64,
        holder: Holder,
        arrivals: &[(u32, f64)],
        capacities: &[(u16, f64)],
    ) {
        let new = ControllerState {
            last_report_at: now,
            silent: false,
            lapsed: false,
            demands: vec![],
            capacities: vec![],
        };
        let controller = self.controllers.entry(holder).or_insert(new);
        (controller.last_report_at, controller.silent, controller.lapsed) = (now, false, false);
        controller.capacities.clear();
        controller.capacities.resize(self.capacities.len(), f64::NAN);
        for (zone, capacity) in capacities.iter().filter(|capacity| capacity.1.is_finite()) {
            if let Some(known) = controller.capacities.get_mut(usize::from(*zone)) {
                *known = *capacity;
            }
        }
        let mut known = std::mem::take(&mut controller.demands).into_iter().peekable();
        let mut arrivals = arrivals.iter().copied().peekable();
        while let Some(claim) =
            known.peek().map(|of| of.0).into_iter().chain(arrivals.peek().map(|of| of.0)).min()
        {
            let (mut demand, arrivals) =
                (known.next_if(|of| of.0 == claim), arrivals.next_if(|of| of.0 == claim).map(|of| of.1));
            let total = &mut self.totals[claim as usize];
            let demand = &mut demand.get_or_insert_with(|| {
                total.controllers += 1;
                (claim, ControllerDemand::default())
            });
            let (arrivals, before) =
                (arrivals.filter(|arrivals| arrivals.is_finite()).unwrap_or(0.0), demand.1);
            demand.1.band.update(now, arrivals, &CONTROLLER_BAND);
            (demand.1.arrivals, demand.1.counted) = (arrivals, arrivals);
            total.sum = (total.sum + arrivals - before.counted).max(0.0);
            total.band_sum = (total.band_sum + demand.1.band.value - before.band.value).max(0.0);
            self.changed |= total.band.update(now, total.sum, &TOTAL_BAND);
            match demand.1.band.value > 0.0 {
                true => controller.demands.push(**demand),
                false => total.remove(&demand.1),
            }
        }
    }

    /// Reduces the demand of controllers that have been silent for `silent_after` to at most their fraction of the
    /// guarantee. Once all grants of a silent controller have expired it gets no fraction of new grants: nobody could use
    /// them, and if it died, its proxies are served by other controllers.
    pub fn expire_silent(&mut self, now: f64, plan: &Plan, longest: f64) {
        let totals = &mut self.totals;
        for controller in self.controllers.values_mut() {
            if !controller.lapsed && now - controller.last_report_at >= longest {
                controller.lapsed = true;
                for (claim, demand) in &mut controller.demands {
                    let total = &mut totals[*claim as usize];
                    total.band_sum = (total.band_sum - std::mem::take(&mut demand.band).value).max(0.0);
                }
            }
            if controller.silent || now - controller.last_report_at < plan.silent_after {
                continue;
            }
            controller.silent = true;
            for (claim, demand) in &mut controller.demands {
                let total = &mut totals[*claim as usize];
                let guarantee =
                    plan.guarantee(Claim(*claim)) * (demand.arrivals / total.sum.max(1e-9)).min(1.0);
                let counted = demand.arrivals.min(guarantee);
                total.sum = (total.sum + counted - demand.counted).max(0.0);
                demand.counted = counted;
                self.changed |= total.band.update(now, total.sum, &TOTAL_BAND);
            }
        }
    }

    /// Demand by claim, floors included.
    pub fn demands(&self, plan: &Plan) -> Vec<f64> {
        let demand = |(claim, total): (usize, &TotalDemand)| {
            let floor = plan.floor(Claim(claim as u32));
            let excess = (total.band.value - f64::from(total.controllers) * floor).max(0.0);
            f64::from(plan.controllers) * floor + excess
        };
        self.totals.iter().enumerate().map(demand).collect()
    }

    /// The claims with arrivals at that controller, with its fraction of each.
    pub fn fractions(&self, holder: Holder) -> impl Iterator<Item = (u32, f64)> + '_ {
        let demands = self.controllers.get(&holder).into_iter().flat_map(|controller| &controller.demands);
        demands.map(|(claim, demand)| {
            (*claim, (demand.band.value / self.totals[*claim as usize].band_sum.max(1e-12)).min(1.0))
        })
    }

    /// Limits the capacity of the zone in all earlier reports to this value.
    pub fn limit_capacity(&mut self, zone: u16, per_s: f64) {
        for controller in self.controllers.values_mut() {
            controller.capacities.get_mut(usize::from(zone)).into_iter().for_each(|capacity| {
                if *capacity > per_s {
                    *capacity = per_s;
                }
            });
        }
        if let Some(capacity) =
            self.capacities.get_mut(usize::from(zone)).filter(|capacity| **capacity > per_s)
        {
            *capacity = CAPACITY_FRACTION * per_s;
            self.changed = true;
        }
    }

    /// Capacity by zone: the lower median of what controllers report, less a margin. Drops apply at once, increases only
    /// from `CAPACITY_RISE` on.
    pub fn capacities(&mut self) -> Vec<f64> {
        let mut observed = Vec::with_capacity(self.controllers.len());
        for zone in 0..self.capacities.len() {
            let heard = self.controllers.values().filter(|controller| !controller.silent);
            observed.clear();
            observed.extend(
                heard
                    .filter_map(|controller| controller.capacities.get(zone).copied())
                    .filter(|capacity| !capacity.is_nan()),
            );
            if observed.is_empty() {
                continue;
            }
            let median_at = (observed.len() - 1) / 2;
            let observed = *observed.select_nth_unstable_by(median_at, f64::total_cmp).1;
            let capacity = &mut self.capacities[zone];
            if *capacity > observed || observed > CAPACITY_RISE * *capacity {
                let next = CAPACITY_FRACTION * observed.max(0.0);
                self.changed |= next != *capacity;
                *capacity = next;
            }
        }
        self.capacities.clone()
    }
}

impl TotalDemand {
    fn remove(&mut self, demand: &ControllerDemand) {
        self.sum = (self.sum - demand.counted).max(0.0);
        self.band_sum = (self.band_sum - demand.band.value).max(0.0);
        self.controllers -= 1;
        if self.controllers == 0 {
            (self.sum, self.band_sum) = (0.0, 0.0);
        }
    }
}

/// Grants are issued for this fraction of the reported capacity, and follow an increase only once the reported capacity is
/// `CAPACITY_RISE` times the value in use.
const CAPACITY_FRACTION: f64 = 0.98;
const CAPACITY_RISE: f64 = 1.05;
