//! Handles events: records them until the next plan.

use super::*;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

impl Controller {
    pub(crate) fn handle_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { update: ListUpdate::Failed, .. } => {
                let hashed = BuildHasherDefault::<DefaultHasher>::default();
                let jitter =
                    0.75 + (hashed.hash_one((self.instance.seed, self.list_failures)) % 500) as f64 / 1e3;
                let wait = 600.0 * 2f64.powi(self.list_failures.min(3)) * jitter;
                (self.list_failures, self.list_request_at) = (self.list_failures + 1, now + wait);
            }
            Event::List { update, entries } => self.update_hosts(now, *update, entries),
            Event::ProxyJoined { proxy, zone, txns_per_s: rate, without_table } => {
                self.remove_proxy(*proxy);
                self.backlog.proxy_joined(*proxy, *without_table);
                self.published.proxy_joined(*proxy, *without_table);
                self.backlog.add_newcomer(*proxy, self.channel.message_overhead + 1.0);
                self.proxies.insert(*proxy, Proxy::new(now, *zone, *rate, *without_table));
            }
            Event::ProxyLeft { proxy } => self.remove_proxy(*proxy),
            Event::HostReport { host, zone, tries, failed, mean_latency, covered, .. } => {
                let covered_from =
                    if *covered > 1.5 * self.report_settings.interval { now - covered } else { now };
                let (withdrawn, warmup) = (self.published.withdrawn.contains(host), &self.warmup);
                let counts = |host: &&mut Host| {
                    host.capacity(now, warmup) >= 1.0 || !withdrawn && covered_from > host.restored_at
                };
                if let Some(host) = self.hosts.get_mut(host).filter(counts) {
                    host.reports
                        .entry(*zone)
                        .or_default()
                        .add(now, TryStats::new(*tries, *failed, *mean_latency, *covered));
                    (host.has_new_report, self.last_report_at) = (true, now);
                    host.observed_load =
                        host.observed_load.filter(|observed| observed.1 > now - covered / 2.0);
                }
            }
            Event::ProxyReport { proxy, class, txns, failed, covered } => {
                let (proxy, report) =
                    (self.proxies.get_mut(proxy), TryStats::new(*txns, *failed, 0.0, *covered));
                proxy.into_iter().for_each(|proxy| proxy.demand.add_report(now, *class, report));
            }
            Event::ProbeResult { host, outcome, load, .. } => self.handle_probe(now, *host, *outcome, load),
            Event::LoadEstimate { host, load, age, confidence } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let usable = |observed: &(f64, f64)| {
                        *confidence >= MIN_LOAD_CONFIDENCE && Some(observed.1) > host.cold_since
                    };
                    host.observed_load = Some((*load, now - age)).filter(usable);
                    host.utilization = host.observed_load.map(|observed| observed.0).or(host.utilization);
                }
            }
            // Hints avoid that latency factors have to be determined again. A host with reports is left
            // unchanged, and two passes open a gate closed by a hint.
            Event::WarmStartHint { host, latency_factor, gated } => {
                if let Some(host) = self.hosts.get_mut(host).filter(|host| host.reports.is_empty()) {
                    (host.latency_factor, host.gate.closed) =
                        (*latency_factor, host.gate.closed || *gated && host.gate.consecutive_passes == 0);
                }
            }
            Event::ServiceBound { zone, class, max_share, max_tries } => {
                self.service_bounds.insert((*zone, *class), (*max_share, *max_tries));
            }
            Event::ReachRule { zone, class, allowed_zones } => {
                self.plan_soon |= self.reach_rules.set(*zone, *class, *allowed_zones)
            }
            Event::LevelsUnknown { on } => self.levels_unknown = *on,
            Event::MarkApplied { proxy, mark, .. } => {
                let known = self.backlog.acknowledge(*proxy, *mark);
                known.then(|| self.stall_detector.on_answer(now));
            }
            Event::CallsMerged { first, last } => self.backlog.merge_calls(*first, *last),
            Event::CallDuplicated { mark } => self.backlog.duplicate_call(now, *mark),
            Event::CallSplit { mark } => {
                self.backlog.split_call(now, *mark, self.channel.message_overhead + 1.0)
            }
            Event::RelayDelayed { on } => {
                self.backlog.set_delayed(*on);
                self.plan_soon |= !*on;
            }
            _ => {}
        }
    }

    fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.published.proxy_left(proxy);
        self.backlog.proxy_left(proxy);
    }

    fn update_hosts(&mut self, now: f64, update: ListUpdate, entries: &[HostEntry]) {
        (self.list_failures, self.plan_soon) = (0, true);
        // Before the first host no order was sent that could still hold one back.
        let first_list = self.hosts.is_empty();
        // Places are allocated in the order of weight, the lowest free one first, so that tables of one size
        // get similar total weights.
        let listed = self.hosts.values().filter(|host| host.standing != Availability::Removed);
        let mut taken: PlaceAllocator = listed.map(|host| (host.zone, host.place)).collect();
        let unlisted = self.hosts.values_mut().filter(|_| update != ListUpdate::Changes);
        unlisted.for_each(|host| host.standing = Availability::Removed);
        let mut entries: Vec<&HostEntry> = entries.iter().collect();
        entries.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.instance_type.cmp(&b.instance_type)));
        for entry in entries {
            let (zone, standing, kind) = (entry.zone, entry.availability, entry.instance_type);
            let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            // A host that is new here may have been forgotten while it was withdrawn: it is restored like a
            // withdrawn one.
            let is_new =
                update != ListUpdate::Restored && !first_list && !self.hosts.contains_key(&entry.host);
            self.published.withdrawn.extend(is_new.then_some(entry.host));
            let free_place = taken.lowest_free(zone);
            #[rustfmt::skip]
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone, place: free_place, weight, standing, kind, cold_since: None, gate: Gate::default(),
                latency_factor: self.kind_factors.get(&kind).map_or(1.0, |factor| factor.0),
                latency_factor_at: f64::MIN, reported_factor: 1.0, reports: BTreeMap::new(),
                has_new_report: false, utilization: None, observed_load: None, probed_at: f64::MIN,
                recovered_at: f64::MIN, restored_at: f64::MIN, held_back_until: f64::MIN,
            });
            (host.zone, host.standing, host.weight) = (zone, standing, weight);
            taken.reserve(zone, host.place);
            let started_at = host.cold_since.unwrap_or(now - self.warmup.duration);
            if let Some(born) = entry.started_at.filter(|born| *born > started_at) {
                // Records from before the restart no longer apply.
                (host.gate, host.cold_since) =
                    (Gate { closed: host.gate.closed, ..Gate::default() }, Some(born));
                (host.observed_load, host.recovered_at) =
                    (None, if host.recovered_at > now { f64::MIN } else { host.recovered_at });
                host.reports.clear();
            }
        }
    }
}
