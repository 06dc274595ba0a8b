//! Admission levels: which fraction of its txns each request class may admit, by zone.

use super::*;

/// The admission level of a zone.
pub struct Level {
    admitted_fraction: f64,
    next_update_at: f64,
    /// At the last update demand exceeded what succeeds.
    overloaded: bool,
}

impl Level {
    /// If demand exceeds what succeeds, succeeded answers are slow and tries fail at all hosts alike. Then
    /// the admitted fraction falls toward what succeeds; otherwise it rises according to the latency
    /// headroom.
    fn update(
        &mut self,
        now: f64,
        traffic: &TryStats,
        goodput: f64,
        class_demands: &[ClassDemand],
        (report_period, report_cover): (f64, f64),
    ) {
        if now < self.next_update_at || traffic.tries < 5.0 {
            return;
        }
        let offered = class_demands.iter().map(|demand| demand.total).sum::<f64>().max(1e-9);
        let latency_target = class_demands.iter().map(|demand| demand.work).sum::<f64>() / offered;
        // Hosts with quick succeeded answers have spare capacity: failures beside them are not caused by
        // load.
        let relative_latency = traffic.mean_latency() / latency_target.max(1e-9);
        let pressure = relative_latency
            + if relative_latency > 0.5 || traffic.succeeded() < 1.0 {
                traffic.failed_fraction()
            } else {
                0.0
            };
        self.overloaded = pressure > 0.65;
        let cut =
            self.admitted_fraction.min(f64::max(goodput / offered, 0.75 * self.admitted_fraction)).max(0.3);
        let rise = f64::min(1.0, self.admitted_fraction * (1.45 - pressure).max(1.0));
        self.admitted_fraction = if self.overloaded { cut } else { rise };
        self.next_update_at = now + if self.overloaded { report_cover } else { report_period };
    }
}

/// Rounds to steps of a quarter of an octave, so that small shifts cause no orders.
fn rounded_rate_cap(rates: Vec<f64>, share: f64) -> f64 {
    rate_cap(rates, share).map_or(1e6, |cap| 2f64.powf((cap.max(0.05).log2() * 4.0).round() / 4.0))
}

impl Controller {
    /// Plans the admission levels of a zone from the zone's own figures: traffic at the hosts as reported by
    /// its proxies, and its demand.
    pub(crate) fn plan_levels(
        &mut self,
        now: f64,
        zone: ZoneId,
        view: &FleetView,
        desired: &mut DesiredState,
    ) {
        let (cold_budget, mut class_demands) =
            (self.cold_budget(zone, view), view.class_demands[&zone].clone());
        let windows =
            self.hosts.values().filter(|host| !host.gate.closed).filter_map(|host| host.reports.get(&zone));
        let reports = windows.map(|window| window.sum_last(now, self.report_cover + BUCKET_MS));
        let reports: Vec<TryStats> = reports
            .filter(|traffic| {
                !reports_failure(traffic, self.median_failed_fraction, self.mean_latency_target)
            })
            .collect();
        let goodput = reports.iter().map(TryStats::goodput).sum();
        let traffic = reports.into_iter().sum();
        let next_update_at =
            if self.proxy_settings.level_kind == LevelKind::Off { f64::MAX } else { f64::MIN };
        let level = self.levels.entry(zone).or_insert(Level {
            admitted_fraction: 1.0,
            next_update_at,
            overloaded: false,
        });
        level.update(
            now,
            &traffic,
            goodput,
            &class_demands,
            (self.report_settings.interval, self.report_cover),
        );
        // Sheds the txns with the least value per work first, and keeps a tenth of each request class unless
        // the budget of cold hosts requires less.
        let value_per_work = |demand: &ClassDemand| demand.class.value / demand.class.latency_target;
        class_demands.sort_by(|a, b| value_per_work(a).total_cmp(&value_per_work(b)));
        let max_fraction = cold_budget.unwrap_or(1.0);
        let mut shed = (1.0 - level.admitted_fraction.min(max_fraction))
            * class_demands.iter().map(|demand| demand.work).sum::<f64>();
        // A second try would be sent to the hosts with spare capacity, which are the cold ones.
        let tries = if level.overloaded || cold_budget.is_some() {
            RetryPolicy::One
        } else {
            RetryPolicy::AfterProof
        };
        for demand in class_demands {
            let cut = f64::min(shed, f64::max(0.9, 1.0 - max_fraction) * demand.work);
            shed -= cut;
            let (max_share, max_tries) =
                self.service_bounds.get(&(zone, demand.id)).copied().unwrap_or((1.0, tries));
            let (share, tries) = (max_share.min(1.0 - cut / demand.work.max(1e-9)), tries.min(max_tries));
            let (reach, class_set) = (self.reach_rules.reach(zone, demand.id), ClassSet::one(demand.id));
            // Residency takes precedence over service: a request class that no host may serve is rejected at
            // once.
            let open = view.entries[&(zone, reach)].iter().any(|entry| entry.open);
            let unservable = !open && self.reach_rules.governed(zone, class_set) == class_set;
            let level = match self.proxy_settings.level_kind {
                LevelKind::Off => 1.0,
                _ if unservable => 0.0,
                LevelKind::PerSecond if share > 0.98 => 1e6,
                LevelKind::PerSecond => rounded_rate_cap(demand.rates, share),
                LevelKind::Fraction => (share * 20.0).round() / 20.0,
            };
            let tables = desired.tables.keys().filter(|table| (table.0, table.1) == (zone, reach));
            desired.levels.extend(tables.map(|table| ((*table, class_set), (level, tries))));
        }
    }
}
