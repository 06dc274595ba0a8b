//! Test driver: a small fleet of hosts and proxies with a simulated clock. It passes events to the decisions and keeps
//! their orders as a trace of short lines.

use amberarch_core::*;
use amberarch_policy::Controller;

pub struct Fleet {
    pub controller: Controller,
    /// Orders and notes, one per line with the time in ms.
    pub trace: String,
    /// ms
    pub now: f64,
    /// The last mark that was ordered.
    pub mark: MarkId,
    zones: u16,
    /// The time that a host report covers, ms.
    pub span: f64,
    /// Reports that are sent with the next events.
    reports: Vec<Event>,
}

/// A request class that may be served in all zones.
pub fn product(idempotency: Idempotency) -> RequestClass {
    let (scope, home_zone_only, writes) = (DedupScope::All, false, idempotency != Idempotency::Idempotent);
    let (latency_target, deadline, dedup_window, value, late_value_fraction) =
        (1_000.0, 3_000.0, 5_000.0, 1.0, 0.2);
    RequestClass {
        latency_target,
        deadline,
        idempotency,
        scope,
        dedup_window,
        value,
        late_value_fraction,
        home_zone_only,
        writes,
    }
}

impl Fleet {
    /// A fleet with one request class and without admission levels. Host h is in zone h modulo `zones`.
    pub fn new(zones: u16, hosts: u32) -> Fleet {
        Fleet::with(zones, hosts, vec![product(Idempotency::Idempotent)], LevelKind::Off)
    }

    /// The host list is sent only when the controller asks for it.
    pub fn with_list_on_request(zones: u16, hosts: u32) -> Fleet {
        Fleet::build(zones, hosts, vec![product(Idempotency::Idempotent)], LevelKind::Off, (true, 1), 300.0)
    }

    /// One of two controllers, each with the proxies of its zone.
    pub fn one_of_two_controllers(zones: u16, hosts: u32) -> Fleet {
        Fleet::build(zones, hosts, vec![product(Idempotency::Idempotent)], LevelKind::Off, (false, 2), 300.0)
    }

    pub fn with(zones: u16, hosts: u32, products: Vec<RequestClass>, levels: LevelKind) -> Fleet {
        Fleet::build(zones, hosts, products, levels, (false, 1), 300.0)
    }

    /// A channel that sends 1,000 lines per second and lets `backlog` lines wait.
    pub fn with_channel(zones: u16, hosts: u32, backlog: f64) -> Fleet {
        let products = vec![product(Idempotency::Idempotent)];
        Fleet::build(zones, hosts, products, LevelKind::Off, (false, 1), backlog)
    }

    fn build(
        zones: u16,
        hosts: u32,
        products: Vec<RequestClass>,
        levels: LevelKind,
        (asked, stewards): (bool, u32),
        backlog: f64,
    ) -> Fleet {
        Fleet::build_with_seed(1, (zones, hosts), products, levels, (asked, stewards), backlog)
    }

    /// One of five controllers that differ only in their seed. The host list is sent only when a controller asks for
    /// it.
    pub fn one_of_five_controllers(seed: u64) -> Fleet {
        Fleet::build_with_seed(
            seed,
            (1, 2),
            vec![product(Idempotency::Idempotent)],
            LevelKind::Off,
            (true, 5),
            300.0,
        )
    }

    fn build_with_seed(
        seed: u64,
        (zone_count, hosts): (u16, u32),
        products: Vec<RequestClass>,
        level_kind: LevelKind,
        (on_request, controllers): (bool, u32),
        max_backlog: f64,
    ) -> Fleet {
        let zone = ZoneId(0);
        let post = InstanceSettings {
            seed,
            zone,
            zone_count,
            controllers,
            proxies_by_zone: true,
            slice_count: 0,
            may_probe: true,
        };
        let channel = Channel {
            lines_per_s: 1_000.0,
            message_overhead: 3.0,
            max_backlog,
            max_messages: 30,
            message_window: 10_000.0,
            typical_transit: 200.0,
            max_transit: 500.0,
        };
        let default_tries = RetryPolicy::AfterProof;
        let sidecars = ProxySettings {
            proxy_count: 4,
            bootstrap_hosts: 6,
            max_time_without_host: 3_000.0,
            level_kind,
            default_tries,
            try_factor: 0.8,
        };
        let warmup =
            Warmup { initial_capacity: 0.2, duration: 20_000.0, failure_load: 3.0, failure_after: 2_000.0 };
        let roster = HostListSettings {
            on_request,
            request_within: 1e4,
            drain_grace: 2e3,
            removal_not_binding: false,
        };
        let sums = ReportSettings { interval: 1_000.0, max_lines_per_s: 100.0 };
        let controller = Controller::new(post, products, channel, sidecars, warmup, roster, sums);
        let (mark, trace) = (MarkId(0), String::new());
        let mut fleet = Fleet {
            controller,
            trace,
            now: 1_000.0,
            mark,
            zones: zone_count,
            span: 1_000.0,
            reports: vec![],
        };
        let entries = (0..hosts).map(|host| fleet.entry(host)).collect();
        fleet.send(&[Event::List { update: ListUpdate::Restored, entries }]);
        fleet
    }

    /// The list entry of a host with the default weight and zone.
    pub fn entry(&self, host: u32) -> HostEntry {
        HostEntry {
            host: HostId(host),
            weight: 1.0,
            zone: ZoneId((host % u32::from(self.zones)) as u16),
            pod: PodId(0),
            instance_type: InstanceTypeId((host % 2) as u16),
            started_at: None,
            availability: Availability::InService,
        }
    }

    /// Sends a list update for one host.
    pub fn list_host(&mut self, host: u32, availability: Availability, started_at: Option<f64>) {
        let entry = HostEntry { availability, started_at, ..self.entry(host) };
        self.send(&[Event::List { update: ListUpdate::Changes, entries: vec![entry] }]);
    }

    pub fn join(&mut self, proxy: u16) {
        self.join_all(&[(proxy, true)]);
    }

    /// Proxies that join at the same time, each fresh or still with the tables of another controller.
    pub fn join_all(&mut self, proxies: &[(u16, bool)]) {
        let joined = |&(proxy, without_table): &(u16, bool)| {
            let zone = ZoneId(proxy % self.zones);
            Event::ProxyJoined { proxy: ProxyId(proxy), zone, txns_per_s: 10.0, without_table }
        };
        let joined: Vec<Event> = proxies.iter().map(joined).collect();
        self.send(&joined);
    }

    /// Sends probe outcomes of one host, one per second.
    pub fn probes(&mut self, host: u32, outcomes: &[ProbeOutcome]) {
        for outcome in outcomes {
            self.run(5);
            self.note(&format!("{outcome:?} host{host}").to_lowercase());
            let (host, load) = (HostId(host), LoadReport::default());
            self.send(&[Event::ProbeResult { host, outcome: *outcome, duration: 2.0, load }]);
        }
    }

    /// A host report: the tries from a zone to a host. It is sent with the next events.
    pub fn host_report(&mut self, host: u32, zone: u16, tries: u32, failed: u32, mean_latency: f64) {
        let (host, zone, load) = (HostId(host), ZoneId(zone), LoadReport::default());
        self.reports.push(Event::HostReport {
            host,
            zone,
            covered: self.span,
            tries,
            failed,
            mean_latency,
            load,
        });
    }

    /// A proxy report: the requests of one class at a proxy. It is sent with the next events.
    pub fn proxy_report(&mut self, proxy: u16, class: u16, txns: u32) {
        let (proxy, class) = (ProxyId(proxy), ClassId(class));
        self.reports.push(Event::ProxyReport { proxy, class, txns, failed: 0, covered: 1_000.0 });
    }

    /// Requests of the class that arrive in `zone` may be served only by hosts of `zones`.
    pub fn set_reach(&mut self, zone: u16, class: u16, allowed_zones: &[u16]) {
        let text = format!("reach of product{class} from zone{zone}: {allowed_zones:?}");
        self.note(&text);
        let (zone, class) = (ZoneId(zone), ClassId(class));
        let allowed_zones = allowed_zones.iter().copied().map(ZoneId).collect();
        self.send(&[Event::ReachRule { zone, class, allowed_zones }]);
    }

    /// Four hosts serve well for four seconds, then the given hosts restart at the same time. The proxies go on
    /// receiving requests for the given number of seconds.
    pub fn restart(&mut self, hosts: &[u32], proxies: u16, seconds: u32) {
        for _ in 0..4 {
            self.run(5);
            (0..4).for_each(|host| self.host_report(host, 0, 5, 0, 100.0));
            (0..proxies).for_each(|proxy| self.proxy_report(proxy, 0, 10));
        }
        self.trace.clear();
        let born = Some(self.now);
        hosts.iter().for_each(|host| self.list_host(*host, Availability::InService, born));
        for _ in 0..seconds {
            self.run(5);
            (0..proxies).for_each(|proxy| self.proxy_report(proxy, 0, 10));
        }
    }

    /// Returns the trace since the last call and clears it.
    pub fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }

    /// Load estimates of hosts, observed `age` ms ago, with a confidence of `sure`. They are sent with the next events.
    pub fn load_reports(&mut self, loads: &[(u32, f64)], age: f64, confidence: f64) {
        let load = |(host, load): &(u32, f64)| Event::LoadEstimate {
            host: HostId(*host),
            load: *load,
            age,
            confidence,
        };
        self.reports.extend(loads.iter().map(load));
    }

    /// The first `proxies` proxies acknowledge all marks so far.
    pub fn catch_up(&mut self, proxies: u16) {
        for mark in 0..40 {
            let applied =
                |proxy| Event::MarkApplied { proxy: ProxyId(proxy), mark: MarkId(mark), duration: 300.0 };
            self.send(&(0..proxies).map(applied).collect::<Vec<_>>());
        }
    }

    /// Advances the clock by a number of ticks of 200 ms.
    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += 200.0;
            self.send(&[]);
        }
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: &str) {
        self.trace += &format!("{} {text}\n", self.now);
    }

    /// Sends events with a timer tick, so the trace also shows the orders that are decided on ticks.
    pub fn send(&mut self, events: &[Event]) {
        let due = Event::TimerExpired { timer: TimerId(0) };
        let reports = std::mem::take(&mut self.reports);
        let events: Vec<Event> = reports.into_iter().chain(events.iter().cloned()).chain([due]).collect();
        self.send_without_tick(&events);
    }

    /// Sends events that arrive between two timer ticks.
    pub fn send_without_tick(&mut self, events: &[Event]) {
        for order in self.controller.decide(self.now, events) {
            let text = match order {
                Order::SetEntry { table, host, weight } => {
                    format!("t{} host{} weight {weight}", table.0, host.0)
                }
                Order::Withdraw { host, withdrawn: true } => format!("withdraw host{}", host.0),
                Order::Withdraw { host, withdrawn: false } => format!("restore host{}", host.0),
                Order::Bind { proxy, table, classes } => {
                    format!("bind proxy{} to t{} for {:b}", proxy.0, table.0, classes.0)
                }
                Order::Admit { table, classes, level, tries } => {
                    format!("admit t{} for {:b}: {level} {tries:?}", table.0, classes.0)
                }
                Order::WatchList { on } => format!("watch {on}"),
                Order::ClearTable { table } => format!("clear t{}", table.0),
                Order::ForgetHost { host } => format!("forget host{}", host.0),
                Order::Mark { mark, .. } => {
                    self.mark = mark;
                    continue;
                }
                _ => continue,
            };
            self.note(&text);
        }
    }
}
