//! Faults put into the decisions' orders on purpose are caught.

use std::cell::RefCell;
use std::rc::Rc;

use amberarch_core::*;
use amberarch_guard::*;
use amberarch_policy::Controller;

use crate::help::*;

/// The decisions with a fault: each line of a table goes out one batch late, so that proxies are bound before anything
/// in their table serves.
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

fn steward() -> Controller {
    let post = InstanceSettings {
        seed: 1,
        zone: ZoneId(0),
        zone_count: 2,
        controllers: 1,
        proxies_by_zone: false,
        slice_count: 0,
        may_probe: true,
    };
    let product = RequestClass {
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
    let sidecars = ProxySettings {
        proxy_count: 6,
        bootstrap_hosts: 2,
        max_time_without_host: 3_000.0,
        level_kind: LevelKind::Off,
        default_tries: RetryPolicy::AfterProof,
        try_factor: 0.8,
    };
    let roster = HostListSettings {
        on_request: false,
        request_within: 1e4,
        drain_grace: 2_000.0,
        removal_not_binding: false,
    };
    let facts = facts(1, 0);
    let sums = ReportSettings { interval: 2_000.0, max_lines_per_s: 1_000.0 };
    Controller::new(post, vec![product], facts.channel, sidecars, facts.warmup, roster, sums)
}

/// What is found over ten seconds of decisions, behind a door that only watches.
fn found(decisions: impl Decide) -> Counts {
    let door = Rc::new(RefCell::new(Door::new(Guard::new(facts(1, 0)), Mode::Watch)));
    let mut guarded = Guarded::new(decisions, door.clone());
    let hosts = (0..6).map(|host| on(host, host as u16 % 2)).collect();
    let mut events = vec![Event::List { update: ListUpdate::FromSnapshot, entries: hosts }];
    events.extend((0..6).map(|proxy| joined(proxy, proxy % 2)));
    let mut marks = vec![];
    for tick in 0..50 {
        let now = 200.0 * f64::from(tick);
        // Half the fleet starts anew.
        if tick == 20 {
            let born = |host| HostEntry { started_at: Some(now), ..on(host, host as u16 % 2) };
            events.push(list((0..3).map(born).collect()));
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
    let seeded = found(BindsFirst { inner: steward(), late: vec![] });
    assert!(seeded.by_rule[Rule::Bare.place()] > 0, "{seeded:?}");
    let sound = found(steward());
    assert!(sound.batches > 0 && sound.by_rule == [0; 4], "{sound:?}");
}

#[test]
fn what_a_seeded_fault_would_leave_bare_is_lent_a_line() {
    let mut door = Door::new(Guard::new(facts(1, 0)), Mode::Enforce);
    door.hear(0.0, &list(vec![on(0, 0)]));
    door.hear(0.0, &joined(0, 0));
    let passed = door.pass(0.0, vec![bind(0, 0), mark(0)]);
    assert_eq!(passed.orders, [bind(0, 0), share(0, 0, 1.0), mark(0)]);
    let place = door.guard().place();
    door.guard().answered(10.0, place);
    // Its own line comes: what was lent goes back to what is wanted.
    assert_eq!(door.pass(200.0, vec![share(0, 0, 2.0)]).orders, [share(0, 0, 2.0)]);
    assert!(!door.waits());
}
