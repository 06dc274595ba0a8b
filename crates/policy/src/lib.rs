//! amberarch's decisions. Create one [`Controller`] from the bootstrap settings, pass all events of one moment
//! to `decide`, and carry out the returned orders in their order. docs/design.md describes the design and
//! where it departs from its source.

use amberarch_books::*;
use amberarch_core::*;
use std::collections::{BTreeMap, BTreeSet};

mod bind_wait;
mod binds;
mod cold_admission;
mod cold_tables;
mod health;
mod hear;
mod host_set_monitor;
mod levels;
mod limits;
mod parts;
mod plan;
mod publish;
mod reply;
mod seats;
mod stall;
mod usual_load;

pub use parts::{OVERLOAD_RATIO_TO_MEDIAN, OVERLOAD_THRESHOLD};
use {
    bind_wait::*, health::*, host_set_monitor::*, levels::*, limits::*, parts::*, plan::*, reply::*,
    seats::*, stall::*, usual_load::*,
};

/// The controller: it receives all events and decides on the orders to the proxies.
pub struct Controller {
    instance: InstanceSettings,
    /// The request classes, in the order of their ids.
    classes: Vec<RequestClass>,
    /// The mean latency target of all request classes, in ms.
    mean_latency_target: f64,
    proxy_settings: ProxySettings,
    warmup: Warmup,
    report_settings: ReportSettings,
    list_settings: HostListSettings,
    /// Failed requests for the host list since the last success, and when to request it again.
    list_failures: i32,
    list_request_at: f64,
    channel: Channel,
    /// What may still be queued in the channel to the proxies.
    backlog: ChannelBacklog,
    stall_detector: StallDetector,
    /// Withdrawals are delayed until the channel has room.
    withdrawals_delayed: bool,
    unbound_monitor: UnboundProxyMonitor,
    cold_table_monitor: HostSetMonitor,
    /// The cold hosts that the last plan held back.
    hosts_held_back: BTreeSet<HostId>,
    held_back_monitor: HostSetMonitor,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Which zones may serve each request class.
    reach_rules: ReachRules,
    /// The fractions of weight that hosts have in other zones' tables.
    spillover: Spillover,
    levels: BTreeMap<ZoneId, Level>,
    /// Upper bounds on admission from reduced service levels.
    service_bounds: BTreeMap<(ZoneId, ClassId), (f64, RetryPolicy)>,
    /// The levels in force at proxies are not known yet: none is ordered.
    levels_unknown: bool,
    /// The median over all hosts of the fraction of tries that fail.
    median_failed_fraction: f64,
    /// The best recent goodput per weight.
    best_goodput: f64,
    /// What the fleet usually serves.
    usual_load: UsualLoad,
    /// The state that proxies hold, as far as orders were sent.
    published: PublishedState,
    /// How much weight may still be gated: the remaining hosts must carry it.
    gateable_weight: f64,
    /// Tries fail or are slow across the fleet.
    overloaded: bool,
    /// The latency factor of each instance type, and when it was last changed.
    kind_factors: BTreeMap<InstanceTypeId, (f64, f64)>,
    /// When the last host report arrived.
    last_report_at: f64,
    /// The time that one traffic report covers, in ms.
    report_cover: f64,
    planned_at: f64,
    /// Until then proxies keep their tables, because few new connections are accepted.
    hold_tables_until: f64,
    /// Something urgent changed: the next plan does not wait for the timer.
    plan_soon: bool,
    first_decision: bool,
}

/// The interval between plans.
const TICK_MS: f64 = PROBE_PERIOD_MS / 5.0;

impl Decide for Controller {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut orders = Vec::new();
        events.iter().for_each(|event| self.handle_event(now, event));
        self.backlog.finish_departures();
        self.published.finish_departures();
        let due = std::mem::take(&mut self.first_decision)
            || events.iter().any(|e| matches!(e, Event::TimerExpired { .. }));
        orders.extend(due.then_some(Order::StartTimer { after: TICK_MS, timer: TimerId(0) }));
        // Where the host list has to be requested, it is watched; after a failure it is requested again at
        // growing intervals.
        if self.list_settings.on_request && now >= self.list_request_at {
            self.list_request_at = f64::MAX;
            orders.push(Order::WatchList { on: true });
        }
        // Limits the use of CPU: the state is planned on the timer, and earlier only after a change of the
        // list or of gates. Instances with slices make no decisions yet.
        if self.instance.slice_count == 0 && (due || self.plan_soon && now >= self.planned_at + TICK_MS / 4.0)
        {
            self.assess_hosts(now, &mut orders);
            let desired = self.desired_state(now);
            self.backlog.expire_departed((now - self.planned_at) * self.channel.lines_per_s / 2e3);
            (self.plan_soon, self.planned_at) = (false, now);
            self.publish(now, desired, &mut orders);
        }
        orders
    }
}

impl Controller {
    /// Creates a controller without hosts and proxies.
    #[rustfmt::skip]
    pub fn new(
        instance: InstanceSettings, classes: Vec<RequestClass>, channel: Channel, proxy_settings: ProxySettings, warmup: Warmup,
        list_settings: HostListSettings, report_settings: ReportSettings,
    ) -> Self {
        let mean_latency_target =
            classes.iter().map(|class| class.latency_target).sum::<f64>() / classes.len().max(1) as f64;
        let reach_rules = ReachRules::new(&classes, instance.zone_count);
        let published = PublishedState::new(instance.zone_count, reach_rules.all_classes());
        Controller {
            instance, classes, mean_latency_target, proxy_settings, warmup, report_settings, channel,
            list_settings, backlog: ChannelBacklog::default(), stall_detector: StallDetector::default(),
            withdrawals_delayed: false, unbound_monitor: UnboundProxyMonitor::default(), report_cover: 0.0,
            cold_table_monitor: HostSetMonitor::default(), hosts_held_back: BTreeSet::new(),
            held_back_monitor: HostSetMonitor::default(),
            usual_load: UsualLoad::default(), best_goodput: 0.0, gateable_weight: 0.0, list_failures: 0, list_request_at: f64::MIN,
            spillover: BTreeMap::new(), reach_rules, published, first_decision: true, plan_soon: false,
            levels: BTreeMap::new(), kind_factors: BTreeMap::new(), hosts: BTreeMap::new(),
            proxies: BTreeMap::new(), median_failed_fraction: 0.0, service_bounds: BTreeMap::new(),
            levels_unknown: false, last_report_at: f64::MIN, overloaded: false, planned_at: f64::MIN,
            hold_tables_until: f64::MIN,
        }
    }
}
