//! Health of hosts: weighs probes and traffic reports, and closes and opens gates.

use super::*;

/// Three consecutive failures close a gate and two consecutive passes open it, as in the examples of
/// the routing guide that the design follows (docs/design.md).
const FAILURES_TO_GATE: u32 = 3;
const PASSES_TO_RESTORE: u32 = 2;
/// The shortest interval between regular probes of a host.
pub const PROBE_PERIOD_MS: f64 = 1_000.0;

/// A probe only shows that a process runs. Succeeded real txns, even slow ones, outrank a probe that timed
/// out (the host is busy) or that erred while real tries succeed; failing real txns outrank a probe that
/// passed. An outranked probe counts neither as a pass nor as a failure.
fn probe_verdict(outcome: ProbeOutcome, traffic: &TryStats) -> Option<bool> {
    match outcome {
        ProbeOutcome::Answered if traffic.tries >= 4.0 && traffic.failed_fraction() > 0.5 => None,
        ProbeOutcome::Answered => Some(true),
        ProbeOutcome::TimedOut if traffic.succeeded() >= 1.0 => None,
        ProbeOutcome::Errored if traffic.tries >= 4.0 && traffic.failed_fraction() < 0.3 => None,
        ProbeOutcome::Errored | ProbeOutcome::TimedOut | ProbeOutcome::Unreachable | ProbeOutcome::Reset => {
            Some(false)
        }
        ProbeOutcome::Full | ProbeOutcome::Unknown => None,
    }
}

/// Whether the traffic reports of a window count as failed probes. Only a failure fraction clearly above that
/// of the other hosts counts: what all hosts share has a common cause, such as load or the network path. A
/// host that is slow and fails tries is overloaded; gating it would overload the next one.
pub fn reports_failure(traffic: &TryStats, median_fraction: f64, latency_target: f64) -> bool {
    let failed_fraction = traffic.failed_fraction();
    let overrun = traffic.succeeded() >= 1.0 && traffic.mean_latency() > 0.7 * latency_target;
    traffic.tries >= 5.0 && failed_fraction > 0.3 && failed_fraction > median_fraction + 0.25 && !overrun
}

/// Counts consecutive probe results of a host; a closed gate withdraws the host.
#[derive(Default)]
pub struct Gate {
    pub consecutive_failures: u32,
    pub consecutive_passes: u32,
    pub closed: bool,
    /// The gate does not open before this time.
    pub closed_until: f64,
}

impl Gate {
    fn record(&mut self, now: f64, pass: Option<bool>, failure_weight: u32, min_closed_ms: f64) {
        if let Some(pass) = pass {
            (self.consecutive_failures, self.consecutive_passes) = if pass {
                (0, self.consecutive_passes + 1)
            } else {
                (self.consecutive_failures + failure_weight, 0)
            };
        }
        if self.consecutive_failures >= FAILURES_TO_GATE && !self.closed {
            (self.closed, self.closed_until) = (true, now + min_closed_ms);
        }
    }
}

impl Controller {
    pub(crate) fn handle_probe(
        &mut self,
        now: f64,
        host: HostId,
        outcome: ProbeOutcome,
        report: &LoadReport,
    ) {
        // When traffic reports are late, the last ones received still show that a host is busy.
        let window = self.report_cover + BUCKET_MS + now - self.last_report_at;
        let Some(host) = self.hosts.get_mut(&host) else { return };
        // A host whose probes err is not gated if the remaining hosts could not carry its load: the probes
        // themselves may be at fault.
        let was_closed = host.gate.closed;
        let exempt = outcome == ProbeOutcome::Errored && !was_closed && host.weight > self.gateable_weight;
        let pass = probe_verdict(outcome, &host.traffic(now, window)).filter(|_| !exempt);
        (host.utilization, host.observed_load) = (report.utilization.or(host.utilization), None);
        host.gate.record(now, pass, 1, 0.0);
        if host.gate.closed && matches!(outcome, ProbeOutcome::Unreachable | ProbeOutcome::Reset) {
            host.recovered_at = f64::INFINITY;
        } else if pass == Some(true) && host.recovered_at > now {
            (host.recovered_at, host.reports) = (now, BTreeMap::new());
        }
        self.gateable_weight -= if host.gate.closed && !was_closed { host.weight } else { 0.0 };
        self.plan_soon |= host.gate.closed && pass == Some(was_closed);
        // Failed probes are repeated soon, so that three failures are detected in little over 1 s.
        let probe_soon = pass == Some(false) && !host.gate.closed;
        host.probed_at = if probe_soon { now + TICK_MS - PROBE_PERIOD_MS } else { host.probed_at };
    }

    fn overload_message(&self, median_latency: f64) -> Order {
        let state =
            if self.overloaded { "the fleet is overloaded" } else { "the fleet is not overloaded any more" };
        let failed = 100.0 * self.median_failed_fraction;
        let text = format!(
            "{state}: at the median host {failed:.0} % of tries fail and the others take {median_latency:.0} ms"
        );
        Order::Log { text }
    }

    /// Evaluates the reports of all hosts: closes and opens gates, adjusts latency factors and orders probes.
    pub(crate) fn assess_hosts(&mut self, now: f64, orders: &mut Vec<Order>) {
        // Where a period has more report lines than are accepted per second, each report waits its turn and
        // covers a longer time.
        let report_lines = self.hosts.values().map(|host| host.reports.len()).sum::<usize>()
            + self.proxies.values().map(|proxy| proxy.demand.reported_classes()).sum::<usize>();
        self.report_cover = (1_000.0 * report_lines as f64 / self.report_settings.max_lines_per_s)
            .min(10_000.0)
            .max(self.report_settings.interval);
        let (window, long_window, latency_target) =
            (self.report_cover + BUCKET_MS, self.report_cover + 2_000.0, self.mean_latency_target);
        let listed_hosts = || self.hosts.values().filter(|host| host.standing == Availability::InService);
        let with_traffic =
            listed_hosts().map(|host| host.traffic(now, window)).filter(|traffic| traffic.tries >= 3.0);
        let succeeded_fractions: Vec<f64> =
            with_traffic.map(|traffic| 1.0 - traffic.failed_fraction()).collect();
        let has_traffic = !succeeded_fractions.is_empty();
        self.median_failed_fraction = 1.0 - median(succeeded_fractions);
        let with_successes = listed_hosts()
            .map(|host| host.traffic(now, long_window))
            .filter(|traffic| traffic.succeeded() >= 6.0);
        let median_latency = median(with_successes.map(|traffic| traffic.mean_latency()).collect());
        // Failures at all hosts while answers are quick: few connections are accepted, so existing ones are
        // worth most.
        let few_connections = self.median_failed_fraction > 0.2
            && median_latency > 0.0
            && median_latency < 0.5 * latency_target;
        // Missing reports say nothing: the last verdict stands.
        let was_overloaded = self.overloaded;
        if has_traffic {
            self.overloaded = self.median_failed_fraction >= 0.25 || median_latency > 0.6 * latency_target;
        }
        if self.overloaded != was_overloaded {
            orders.push(self.overload_message(median_latency));
        }
        self.hold_tables_until = if few_connections { now + 10_000.0 } else { self.hold_tables_until };
        // The remaining warm hosts must carry the load of the gated ones: at most a third of them may be gated,
        // not counting hosts that left the list. Where no host is warm the cold ones count.
        let is_warm = |host: &Host| host.is_warm(now, &self.warmup);
        let has_warm_host = listed_hosts().any(is_warm);
        let carriers = listed_hosts().filter(|host| !has_warm_host || is_warm(host));
        self.gateable_weight =
            carriers.map(|host| host.weight * if host.gate.closed { -0.66 } else { 0.34 }).sum();
        // At most one probe per four txns, but one per second for each host with a sign of trouble.
        let stated_rate = self.proxies.values().map(|proxy| proxy.demand.stated_rate).sum::<f64>().max(1.0);
        let regular_period = (4_000.0 * listed_hosts().count() as f64 / stated_rate)
            .clamp(PROBE_PERIOD_MS, 8.0 * PROBE_PERIOD_MS);
        let valid_load =
            |host: &Host| host.observed_load.filter(|load| now < load.1 + LOAD_VALID_MS).map(|load| load.0);
        let median_load = median(listed_hosts().filter_map(valid_load).collect());
        self.update_kind_factors(now);
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.standing == Availability::InService) {
            let kind_factor = self
                .kind_factors
                .get(&host.kind)
                .filter(|(latency_factor, at)| *at == now && host.latency_factor > *latency_factor);
            (host.latency_factor, host.latency_factor_at) =
                *kind_factor.unwrap_or(&(host.latency_factor, host.latency_factor_at));
            host.adjust_for_load(now, median_load, self.report_cover, &self.warmup);
            let period = if host.gate.closed || host.gate.consecutive_failures > 0 {
                PROBE_PERIOD_MS
            } else {
                regular_period
            };
            if self.instance.may_probe && now >= host.probed_at + period - 1.0 {
                host.probed_at = now;
                orders.push(Order::Probe { host: *id });
            }
            if std::mem::take(&mut host.has_new_report) {
                let traffic = host.traffic(now, window);
                let suspicious = traffic.failed_fraction() > self.median_failed_fraction + 0.2;
                host.probed_at -= if suspicious { regular_period - PROBE_PERIOD_MS } else { 0.0 };
                host.adjust_for_latency(
                    now,
                    &host.traffic(now, long_window),
                    median_latency,
                    latency_target,
                    self.report_cover,
                );
                if reports_failure(&traffic, self.median_failed_fraction, latency_target)
                    && (host.gate.closed || host.weight <= self.gateable_weight)
                {
                    self.gateable_weight -= if host.gate.closed { 0.0 } else { host.weight };
                    host.gate.record(
                        now,
                        Some(false),
                        1 + (self.report_cover / PROBE_PERIOD_MS) as u32,
                        8_000.0,
                    );
                }
            }
            let factor_changed =
                host.latency_factor != std::mem::replace(&mut host.reported_factor, host.latency_factor);
            orders.extend(
                factor_changed.then_some(Order::StoreHint { host: *id, latency_factor: host.latency_factor }),
            );
            host.gate.closed &=
                host.gate.consecutive_passes < PASSES_TO_RESTORE || now < host.gate.closed_until;
        }
    }
}
