//! Handles events: records them until the next plan.

use super::*;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

impl Steward {
    pub(crate) fn handle_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { news: ListNews::Failed, .. } => {
                let hashed = BuildHasherDefault::<DefaultHasher>::default();
                let jitter =
                    0.75 + (hashed.hash_one((self.instance.seed, self.list_failures)) % 500) as f64 / 1e3;
                let wait = 600.0 * 2f64.powi(self.list_failures.min(3)) * jitter;
                (self.list_failures, self.list_request_at) = (self.list_failures + 1, now + wait);
            }
            Event::List { news, entries } => self.update_hosts(now, *news, entries),
            Event::Joined { proxy, zone, txns_per_s: rate, fresh } => {
                self.remove_proxy(*proxy);
                self.backlog.proxy_joined(*proxy, *fresh);
                self.published.proxy_joined(*proxy, *fresh);
                self.backlog.add_newcomer(*proxy, self.channel.head + 1.0);
                self.proxies.insert(*proxy, Proxy::new(now, *zone, *rate, *fresh));
            }
            Event::Left { proxy } => self.remove_proxy(*proxy),
            Event::Met { host, zone, tries, voided, mean, over, .. } => {
                let covered_from = if *over > 1.5 * self.report_settings.every { now - over } else { now };
                let (withdrawn, warmup) = (self.published.withdrawn.contains(host), &self.warmup);
                let counts = |host: &&mut Host| {
                    host.capacity(now, warmup) >= 1.0 || !withdrawn && covered_from > host.restored_at
                };
                if let Some(host) = self.hosts.get_mut(host).filter(counts) {
                    host.reports
                        .entry(*zone)
                        .or_default()
                        .add(now, TryStats::new(*tries, *voided, *mean, *over));
                    (host.has_new_report, self.last_report_at) = (true, now);
                    host.observed_load = host.observed_load.filter(|observed| observed.1 > now - over / 2.0);
                }
            }
            Event::Came { proxy, product, txns, voided, over } => {
                let (proxy, report) =
                    (self.proxies.get_mut(proxy), TryStats::new(*txns, *voided, 0.0, *over));
                proxy.into_iter().for_each(|proxy| proxy.demand.add_report(now, *product, report));
            }
            Event::Probed { host, outcome, report, .. } => self.handle_probe(now, *host, *outcome, report),
            Event::Load { host, load, age, sure } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let usable = |observed: &(f64, f64)| {
                        *sure >= MIN_LOAD_CONFIDENCE && Some(observed.1) > host.cold_since
                    };
                    host.observed_load = Some((*load, now - age)).filter(usable);
                    host.utilization = host.observed_load.map(|observed| observed.0).or(host.utilization);
                }
            }
            // Hints avoid that latency factors have to be determined again. A host with reports is left
            // unchanged, and two passes open a gate closed by a hint.
            Event::Hint { host, part, shut } => {
                if let Some(host) = self.hosts.get_mut(host).filter(|host| host.reports.is_empty()) {
                    (host.latency_factor, host.gate.closed) =
                        (*part, host.gate.closed || *shut && host.gate.consecutive_passes == 0);
                }
            }
            Event::Bound { zone, product, share, tries } => {
                self.service_bounds.insert((*zone, *product), (*share, *tries));
            }
            Event::Reach { zone, product, zones } => {
                self.plan_soon |= self.reach_rules.set(*zone, *product, *zones)
            }
            Event::Await { on } => self.levels_unknown = *on,
            Event::Applied { proxy, mark, .. } => {
                let known = self.backlog.acknowledge(*proxy, *mark);
                known.then(|| self.stall_detector.on_answer(now));
            }
            Event::Together { first, last } => self.backlog.merge_calls(*first, *last),
            Event::Again { mark } => self.backlog.duplicate_call(now, *mark),
            Event::Parted { mark } => self.backlog.split_call(now, *mark, self.channel.head + 1.0),
            Event::Behind { on } => {
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

    fn update_hosts(&mut self, now: f64, update: ListNews, entries: &[Listed]) {
        (self.list_failures, self.plan_soon) = (0, true);
        // Before the first host no order was sent that could still hold one back.
        let first_list = self.hosts.is_empty();
        // Places are allocated in the order of weight, the lowest free one first, so that tables of one size
        // get similar total weights.
        let listed = self.hosts.values().filter(|host| host.standing != Standing::Gone);
        let mut taken: PlaceAllocator = listed.map(|host| (host.zone, host.place)).collect();
        let unlisted = self.hosts.values_mut().filter(|_| update != ListNews::Changes);
        unlisted.for_each(|host| host.standing = Standing::Gone);
        let mut entries: Vec<&Listed> = entries.iter().collect();
        entries.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.kind.cmp(&b.kind)));
        for entry in entries {
            let (zone, standing, kind) = (entry.zone, entry.standing, entry.kind);
            let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            // A host that is new here may have been forgotten while it was withdrawn: it is restored like a
            // withdrawn one.
            let is_new = update != ListNews::Restored && !first_list && !self.hosts.contains_key(&entry.host);
            self.published.withdrawn.extend(is_new.then_some(entry.host));
            let free_place = taken.lowest_free(zone);
            #[rustfmt::skip]
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone, place: free_place, weight, standing, kind, cold_since: None, gate: Gate::default(),
                latency_factor: self.kind_factors.get(&kind).map_or(1.0, |factor| factor.0),
                latency_factor_at: f64::MIN, reported_factor: 1.0, reports: BTreeMap::new(),
                has_new_report: false, utilization: None, observed_load: None, probed_at: f64::MIN,
                recovered_at: f64::MIN, restored_at: f64::MIN,
            });
            (host.zone, host.standing, host.weight) = (zone, standing, weight);
            taken.reserve(zone, host.place);
            let started_at = host.cold_since.unwrap_or(now - self.warmup.within);
            if let Some(born) = entry.born.filter(|born| *born > started_at) {
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
