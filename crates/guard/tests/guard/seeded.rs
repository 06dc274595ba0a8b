//! Faults injected into the decisions' orders are detected.

use std::cell::RefCell;
use std::rc::Rc;

use amberarch_core::*;
use amberarch_guard::*;
use amberarch_policy::Controller;

use crate::help::*;

/// Decisions with a fault: each table entry is sent one batch late, so proxies are bound before any host of
/// their table serves.
struct BindsFirst {
    inner: Controller,
    late: Vec<Order>,
}

impl Decide for BindsFirst {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let (lines, mut orders): (Vec<Order>, Vec<Order>) = self
            .inner
            .decide(now, events)
            .into_iter()
            .partition(|order| matches!(order, Order::SetEntry { .. }));
        orders.extend(std::mem::replace(&mut self.late, lines));
        orders
    }
}

fn controller() -> Controller {
    let instance = InstanceSettings {
        seed: 1,
        zone: ZoneId(0),
        zone_count: 2,
        controllers: 1,
        proxies_by_zone: false,
        slice_count: 0,
        may_probe: true,
    };
    let class = RequestClass {
        latency_target: 400.0,
        deadline: 1_200.0,
        idempotency: Idempotency::Idempotent,
        scope: DedupScope::All,
        dedup_window: 5_000.0,
        value: 1.0,
        late_value_fraction: 0.2,
        home_zone_only: false,
        writes: false,
    };
    let proxies = ProxySettings {
        proxy_count: 6,
        bootstrap_hosts: 2,
        max_time_without_host: 3_000.0,
        level_kind: LevelKind::Off,
        default_tries: RetryPolicy::AfterProof,
        try_factor: 0.8,
    };
    let host_list = HostListSettings {
        on_request: false,
        request_within: 1e4,
        drain_grace: 2_000.0,
        removal_not_binding: false,
    };
    let facts = facts(1, 0);
    let reports = ReportSettings { interval: 2_000.0, max_lines_per_s: 1_000.0 };
    Controller::new(instance, vec![class], facts.channel, proxies, facts.warmup, host_list, reports)
}

/// The violations in ten seconds of decisions, counted by a door that only watches.
fn found(decisions: impl Decide) -> Counts {
    let door = Rc::new(RefCell::new(Door::new(Guard::new(facts(1, 0)), Mode::Watch)));
    let mut guarded = Guarded::new(decisions, door.clone());
    let hosts = (0..6).map(|host| in_service(host, host as u16 % 2)).collect();
    let mut events = vec![Event::List { update: ListUpdate::Restored, entries: hosts }];
    events.extend((0..6).map(|proxy| joined(proxy, proxy % 2)));
    let mut marks = vec![];
    for tick in 0..50 {
        let now = 200.0 * f64::from(tick);
        // Half of the hosts restart.
        if tick == 20 {
            let restarted = |host| HostEntry { started_at: Some(now), ..in_service(host, host as u16 % 2) };
            events.push(list((0..3).map(restarted).collect()));
        }
        let orders = guarded.decide(now, &events);
        events = vec![Event::TimerExpired { timer: TimerId(0) }];
        for order in &orders {
            match order {
                Order::Probe { host } => events.push(probed(host.0, ProbeOutcome::Answered)),
                Order::Mark { mark, .. } => marks.push(*mark),
                _ => {}
            }
        }
        let answers = marks.drain(..).flat_map(|mark| (0..6).map(move |proxy| applied(proxy, mark.0)));
        events.extend(answers);
    }
    let counts = door.borrow().counts();
    counts
}

#[test]
fn decisions_that_bind_before_anything_serves_are_caught() {
    let seeded = found(BindsFirst { inner: controller(), late: vec![] });
    assert!(seeded.by_rule[Rule::Bare.place()] > 0, "{seeded:?}");
    let sound = found(controller());
    assert!(sound.batches > 0 && sound.by_rule == [0; 4], "{sound:?}");
}

#[test]
fn a_bind_to_a_table_without_hosts_gets_an_entry_for_a_ready_host() {
    let mut door = Door::new(Guard::new(facts(1, 0)), Mode::Enforce);
    door.hear(0.0, &list(vec![in_service(0, 0)]));
    door.hear(0.0, &joined(0, 0));
    let passed = door.pass(0.0, vec![bind(0, 0), mark(0)]);
    assert_eq!(passed.orders, [bind(0, 0), set_entry(0, 0, 1.0), mark(0)]);
    let place = door.guard().place();
    door.guard().answered(10.0, place);
    // The entry that the decisions order replaces the added one.
    assert_eq!(door.pass(200.0, vec![set_entry(0, 0, 2.0)]).orders, [set_entry(0, 0, 2.0)]);
    assert!(!door.waits());
}
