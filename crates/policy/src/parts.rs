//! The effective weight of a host as a fraction of its listed weight: lower for cold hosts, slow hosts and
//! slow instance types.

use super::*;

/// A host counts as overloaded by its reported load if that is above `OVERLOAD_THRESHOLD` (half as many txns wait as
/// run) and above `OVERLOAD_RATIO_TO_MEDIAN` times the median of the hosts.
pub const OVERLOAD_THRESHOLD: f64 = 1.5;
pub const OVERLOAD_RATIO_TO_MEDIAN: f64 = 2.0;
/// How long a reported load is used, in ms, and the least confidence it must have.
pub const LOAD_VALID_MS: f64 = 2_000.0;
pub const MIN_LOAD_CONFIDENCE: f64 = 0.5;

/// The capacity that a cold host must have to get half of its weight.
pub const HALF_WEIGHT_CAPACITY: f64 = 0.55;

/// The host list reports a restart one to three seconds after the host answered again; this is about twice
/// that, in ms.
const UNLISTED_RESTART_MS: f64 = 5_000.0;

/// What is known of a host, and its state of health.
pub struct Host {
    pub zone: ZoneId,
    pub kind: InstanceTypeId,
    /// Its position among the hosts of its zone; it determines the tables that name the host.
    pub place: u32,
    pub weight: f64,
    pub standing: Availability,
    /// When it last started, as far as it is known to be recent.
    pub cold_since: Option<f64>,
    /// When it answered again after it was gone (infinity: it is still gone), and when it was last restored.
    pub recovered_at: f64,
    pub restored_at: f64,
    /// While it is cold it is not restored before this time: it was held back again.
    pub held_back_until: f64,
    pub gate: Gate,
    /// Host reports, by the zone of the reporting proxies.
    pub reports: BTreeMap<ZoneId, SlidingWindow>,
    /// A report has arrived since the last evaluation.
    pub has_new_report: bool,
    /// The load that the host reported last, for the comparison of zones.
    pub utilization: Option<f64>,
    /// The load that it is believed to have, and when that was observed.
    pub observed_load: Option<(f64, f64)>,
    pub probed_at: f64,
    /// The fraction of its listed weight that its measured speed justifies, and when that was last changed.
    pub latency_factor: f64,
    pub latency_factor_at: f64,
    /// The latency factor as last reported, for a later controller.
    pub reported_factor: f64,
}

impl Host {
    /// Tries at the host within the last `window` ms, over all zones.
    pub fn traffic(&self, now: f64, window: f64) -> TryStats {
        self.reports.values().map(|reports| reports.sum_last(now, window)).sum()
    }

    /// The fraction of its listed weight that it may carry, in few steps below its capacity; none: it stays
    /// withdrawn.
    pub fn weight_fraction(&self, now: f64, warmup: &Warmup) -> Option<f64> {
        let capacity = self.capacity(now, warmup);
        let steps = [(1.0, 1.0), (0.75, 0.8), (0.5, HALF_WEIGHT_CAPACITY), (0.25, 0.3)];
        let step = steps.iter().find(|step| capacity >= step.1).map(|step| step.0);
        Some(step.or(self.restart_unlisted(now).then_some(0.25))? * self.latency_factor)
    }
    /// Guards against a host list that reports a restart too late: a host that answers again counts as cold
    /// until the list must have reported it.
    fn restart_unlisted(&self, now: f64) -> bool {
        self.recovered_at <= now && now < self.recovered_at + UNLISTED_RESTART_MS
    }
    /// Whether the configured warm-up time since its listed start is over.
    pub fn is_warm(&self, now: f64, warmup: &Warmup) -> bool {
        self.cold_since.is_none_or(|at| now >= at + warmup.duration)
    }
    /// The fraction of its full capacity that even the slowest warm-up has reached.
    pub fn capacity(&self, now: f64, warmup: &Warmup) -> f64 {
        let since = self.cold_since.or(Some(self.recovered_at).filter(|_| self.restart_unlisted(now)));
        let age = since.map_or(2.0, |since| (now - since) / warmup.duration);
        f64::min(1.0, warmup.initial_capacity + (1.0 - warmup.initial_capacity) * age)
    }

    /// Guards against hosts that are slower than listed: one whose succeeded answers are late compared with
    /// the other hosts' carries less weight. The factor changes in few steps, each confirmed by later
    /// reports. A host that is slow for other reasons loses traffic too.
    pub fn adjust_for_latency(
        &mut self,
        now: f64,
        traffic: &TryStats,
        median_latency: f64,
        latency_target: f64,
        report_cover: f64,
    ) {
        let latency = traffic.mean_latency();
        let overrun =
            traffic.tries >= 6.0 && traffic.failed_fraction() > 0.5 && latency > 0.7 * latency_target;
        let due = (traffic.succeeded() >= 6.0 || overrun)
            && now >= self.latency_factor_at + 2.0 * report_cover + 2_000.0;
        if due
            && latency > 0.5 * latency_target
            && latency > 1.6 * median_latency
            && self.latency_factor > 0.15
        {
            (self.latency_factor, self.latency_factor_at) =
                (self.latency_factor * (1.6 * median_latency / latency).clamp(0.5, 0.75), now);
        } else if due && self.latency_factor < 1.0 && latency < 0.5 * median_latency {
            (self.latency_factor, self.latency_factor_at) = (f64::min(1.0, self.latency_factor / 0.6), now);
        }
    }

    /// Traffic reports show a slow host two periods late: a host that reports its own load gets less weight
    /// by that load. Only traffic reports raise the weight again, and no gate depends on the reported load. A
    /// reported load is dropped once a probe or traffic report was observed later.
    pub fn adjust_for_load(&mut self, now: f64, median_load: f64, report_cover: f64, warmup: &Warmup) {
        let Some((load, _)) = self.observed_load.filter(|seen| now < seen.1 + LOAD_VALID_MS) else { return };
        let due =
            now >= self.latency_factor_at + 2.0 * report_cover + 2_000.0 && self.capacity(now, warmup) >= 1.0;
        if due
            && load > OVERLOAD_THRESHOLD
            && load > OVERLOAD_RATIO_TO_MEDIAN * median_load
            && self.latency_factor > 0.15
        {
            (self.latency_factor, self.latency_factor_at) =
                (self.latency_factor * (OVERLOAD_RATIO_TO_MEDIAN * median_load / load).clamp(0.5, 0.75), now);
        }
    }
}

impl Controller {
    /// Guards against a slow instance type that carries a quick one's weight where listed weights are all
    /// equal and reports are rare: the hosts of one type together show in one report period what a single
    /// host shows in three. Each host raises its factor again on its own.
    pub(crate) fn update_kind_factors(&mut self, now: f64) {
        let open_hosts = || {
            self.hosts.values().filter(|host| host.standing == Availability::InService && !host.gate.closed)
        };
        let weights_differ =
            open_hosts().zip(open_hosts().skip(1)).any(|(host, other)| host.weight != other.weight);
        let (mut traffic_by_kind, reports_rare) = (
            BTreeMap::<InstanceTypeId, TryStats>::new(),
            self.report_cover > 1.5 * self.report_settings.interval,
        );
        let included = |host: &&Host| {
            reports_rare && !weights_differ && !self.overloaded && host.capacity(now, &self.warmup) >= 1.0
        };
        for host in open_hosts().filter(included) {
            *traffic_by_kind.entry(host.kind).or_default() +=
                host.traffic(now, self.report_cover + BUCKET_MS);
        }
        traffic_by_kind.retain(|_, traffic| traffic.succeeded() >= 60.0);
        let quickest = traffic_by_kind.values().map(TryStats::mean_latency).fold(f64::MAX, f64::min);
        traffic_by_kind.retain(|_, traffic| {
            traffic.mean_latency() > f64::max(1.6 * quickest, 0.2 * self.mean_latency_target)
        });
        for (kind, traffic) in traffic_by_kind {
            let (latency_factor, changed_at) = self.kind_factors.entry(kind).or_insert((1.0, f64::MIN));
            let target =
                f64::max(0.5, *latency_factor * (1.2 * quickest / traffic.mean_latency()).clamp(0.5, 0.75));
            let due = target < *latency_factor && now >= *changed_at + self.report_cover + 2_000.0;
            (*latency_factor, *changed_at) = if due { (target, now) } else { (*latency_factor, *changed_at) };
        }
    }
}
