//! Fleet policy: the events that the controller receives, orders that are removed from replies, and calls that are fenced.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use amberarch_accord::StageNo;
use amberarch_core::*;
use amberarch_fleet::{Clock, Fence, Sight, Under};
use amberarch_residency::{Facts, Judge};
use amberarch_service_levels::{Condition, Ladder, Level, ServiceLevels, Signal};
use amberarch_shares::Bound;
use amberarch_steward::clock::UnixClock;
use amberarch_steward::desk::{Desk, Labels, Make};
use amberarch_steward::fleet::{
    fit, limited_by_policy, CompileContext, Holds, PolicyLease, ShareLimits, Tell,
};
use amberarch_steward::heard::{DecidedUnder, Encoded, Health, Heard, Listing, News, Out, Reply, Row};
use amberarch_steward::http::Kept;
use amberarch_steward::relay::{Gate, Gated, Relay};
use amberarch_steward::spread::Spread;
use expect_test::expect;
use tokio::sync::mpsc;

use crate::peers::{feed, for_ms, moves, ties, Dialled, Peer, Then, Trace};

/// A controller that orders the host of zone a for the proxy of zone b as soon as it joins, and again after each restart.
/// It records the events about the policy.
struct Widens(Trace, u64);

impl Decide for Widens {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::ReachRule { .. } | Event::ServiceBound { .. } => {
                    self.0.note(&format!("seed {}: {event:?}", self.1))
                }
                Event::ProxyJoined { proxy, .. } => {
                    let (table, host) = (TableId(4), HostId(0));
                    out.push(Order::SetEntry { table, host, weight: 1.0 });
                    out.push(Order::Bind { proxy: *proxy, table, classes: ClassSet::one(ClassId(1)) });
                    out.push(Order::Bind { proxy: *proxy, table, classes: ClassSet::one(ClassId(0)) });
                    out.push(Order::Mark { mark: MarkId(7), all_proxies: true });
                }
                _ => {}
            }
        }
        out
    }
}

/// Records the reports to the consensus thread.
struct Noted(Trace);

impl Tell for Noted {
    fn settled(&self, stage: StageNo, settled: bool) {
        self.0.note(&format!("stage {} settled: {settled}", stage.0));
    }
    fn sees(&self, _: Sight) {}
    fn level(&self, level: Option<usize>) {
        self.0.note(&format!("level {level:?}"));
    }
}

fn facts() -> Facts {
    let names = |names: [&str; 2]| names.map(String::from).to_vec();
    Facts { zones: names(["a", "b"]), products: names(["read", "write"]), govern: [ClassId(0)].into() }
}

fn holds(under: u64, text: &str) -> Heard {
    let fit = fit(text, &CompileContext::alone(facts(), 20), None, 1e12).expect("a policy");
    let (under, stage, also) = (Under(under), Some(StageNo(under)), Default::default());
    Heard::Holds(Holds { under, stage, rules: vec![fit.rules], also })
}

const AT_HOME: &str =
    "revision = 1\n[[residency.rule]]\nname = \"home\"\nproducts = [\"read\"]\nfrom = [\"b\"]\npermit = [\"b\"]\n";
const ANYWHERE: &str =
    "revision = 2\n[[residency.rule]]\nname = \"any\"\nproducts = [\"read\"]\nfrom = [\"b\"]\npermit = [\"a\"]\n";

fn told(heard: Vec<(u64, Heard)>) -> String {
    told_by(|trace, seed| Box::new(Widens(trace, seed)), heard)
}

fn told_by(decisions: fn(Trace, u64) -> Box<dyn Decide>, heard: Vec<(u64, Heard)>) -> String {
    for_ms(3_900, |trace| async move {
        let (relay, mut replies) = mpsc::channel(64);
        let (list, _asks) = mpsc::channel(64);
        let (probes, _probed) = mpsc::channel(64);
        let make: Make = {
            let trace = trace.clone();
            Box::new(move |seed| decisions(trace.clone(), seed))
        };
        let caps = ShareLimits::default();
        let Facts { zones, products, .. } = facts();
        let labels = Labels { zones, kinds: vec!["m1".into()], products, proxies: 20 };
        let row = |host: &str, site: &str| Row {
            host: host.into(),
            dial: "127.0.0.2:3000".into(),
            site: site.into(),
            class: "m1".into(),
            block: 1,
            health: Health::InService,
            share: 1.0,
            born_ms: 0.0,
        };
        let known = Listing { seq: 1, whole: true, hosts: vec![row("s-a", "a"), row("s-b", "b")] };
        let (out, ties) = (Out { relay, list, probes, witness: None }, ties(&trace));
        let policy_lease = PolicyLease::new(
            Arc::new(facts()),
            Judge::new(2, 1_000.0),
            100.0,
            Box::new(Noted(trace.clone())),
            caps.clone(),
            ties.counters.clone(),
            ties.log.clone(),
        );
        let make = (limited_by_policy(make, caps), 5);
        let counters = ties.counters.clone();
        let desk =
            Desk::new(make, labels, known, UnixClock::reading(1e12), out, counters.clone(), ties.log.clone())
                .governed(policy_lease);
        let (to, from) = mpsc::channel(64);
        let seen = trace.clone();
        tokio::task::spawn_local(async move {
            while let Some(reply) = replies.recv().await {
                let text = |order: &Encoded| String::from_utf8_lossy(&order.bytes).into_owned();
                let orders: Vec<String> = reply.orders.iter().map(text).collect();
                seen.note(&format!(
                    "reply under {} of life {}\n{}",
                    reply.ruled.under.0,
                    reply.ruled.incarnation,
                    orders.join("\n")
                ));
            }
        });
        feed(heard, async move |heard| to.send(heard).await.unwrap());
        let last = trace.clone();
        feed(vec![(3_500, ())], async move |()| {
            last.note(&format!("breaches {}", counters.breaches.count()))
        });
        desk.run(from).await;
    })
}

fn joins(proxy: u16) -> Heard {
    Heard::News(News::Joined { proxy, zone: "b".into(), weight: 2.0, fresh: false })
}

/// Guards against sending orders that the policy forbids: these are left out, all others are sent, and the controller is
/// restarted and given the policy in force.
#[test]
fn a_reply_that_would_break_residency_is_sent_without_that_and_the_decisions_start_anew() {
    expect![[r#"
        0 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(0) }
        0 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(0) }
        100 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(340282366920938463463374607431768211455) }
        100 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(2) }
        100 stage 1 settled: true
        200 reply under 1 of life 0
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"nonce_out":7,"on":1,"op":"mark"}
        1000 seed 6: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(2) }
        1000 reply under 1 of life 1
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"nonce_out":4103,"on":1,"op":"mark"}
        2000 seed 7: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(2) }
        2000 reply under 1 of life 2
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"nonce_out":8199,"on":1,"op":"mark"}
        3000 seed 8: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(2) }
        3000 reply under 1 of life 3
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"nonce_out":12295,"on":1,"op":"mark"}
        3500 breaches 4
    "#]].assert_eq(&told(vec![(100, holds(1, AT_HOME)), (200, joins(1))]));
}

/// A controller whose first incarnation orders a withdrawn host of zone a for the proxy of zone b as it joins, and restores
/// the host at the proxy's answer.
struct RestoresOutside(bool);

impl Decide for RestoresOutside {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let (table, host) = (TableId(4), HostId(0));
        let mut out = Vec::new();
        for event in events.iter().filter(|_| self.0) {
            match event {
                Event::ProxyJoined { proxy, .. } => {
                    out.push(Order::Withdraw { host, withdrawn: true });
                    out.push(Order::SetEntry { table, host, weight: 1.0 });
                    out.push(Order::Bind { proxy: *proxy, table, classes: ClassSet::ALL });
                    out.push(Order::Mark { mark: MarkId(7), all_proxies: true });
                }
                Event::MarkApplied { .. } => out.push(Order::Withdraw { host, withdrawn: false }),
                _ => {}
            }
        }
        out
    }
}

/// Guards against decisions that start anew every second: new ones restore what former ones withdrew, and where the policy
/// refuses just that the host stays withdrawn.
#[test]
fn a_restore_ahead_of_new_decisions_that_would_break_residency_does_not_start_them_anew() {
    let applied = Heard::News(News::Applied { proxy: 1, mark: 7, took_ms: 20.0 });
    let heard = vec![(100, holds(1, AT_HOME)), (200, joins(1)), (300, applied)];
    let told = told_by(|_, seed| Box::new(RestoresOutside(seed == 5)), heard);
    let from = told.find("200 ").unwrap_or(0);
    expect![[r#"
        200 stage 1 settled: false
        200 reply under 1 of life 0
        {"op":"withdraw","server":"s-a"}
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"table":4}
        {"nonce_out":7,"on":1,"op":"mark"}
        300 reply under 1 of life 0

        1000 stage 1 settled: true
        1000 reply under 1 of life 1
        {"nonce_out":4094,"on":0,"op":"mark"}
        3500 breaches 2
    "#]]
    .assert_eq(&told[from..]);
}

/// Guards against serving a request class that the fleet governs and the file here does not name: it is rejected like all
/// others while this controller can't use the policy in force.
#[test]
fn what_the_fleet_governs_beside_the_file_is_declined_while_it_can_not_be_known_what_holds() {
    let also = Holds { under: Under(1), stage: None, rules: vec![], also: [ClassId(1)].into() };
    expect![[r#"
        0 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(0) }
        0 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(0) }
        100 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(1), max_share: 0.0, max_tries: TwiceAfterAny }
        100 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(1), max_share: 0.0, max_tries: TwiceAfterAny }
        100 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(1), allowed_zones: Zones(0) }
        100 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(1), allowed_zones: Zones(0) }
        3500 breaches 0
    "#]]
    .assert_eq(&told(vec![(100, Heard::Holds(also))]));
}

/// Guards against a stage that counts as settled while a proxy may still have a table that it forbids.
#[test]
fn a_change_is_settled_only_once_the_proxies_have_answered() {
    let applied = Heard::News(News::Applied { proxy: 1, mark: 7, took_ms: 20.0 });
    expect![[r#"
        0 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(0) }
        0 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(0) }
        100 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(340282366920938463463374607431768211455) }
        100 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(1) }
        100 stage 1 settled: true
        200 stage 1 settled: false
        200 reply under 1 of life 0
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"op":"bind","proxy":1,"routes":["read"],"table":4}
        {"nonce_out":7,"on":1,"op":"mark"}
        300 stage 1 settled: true
        3500 breaches 0
    "#]].assert_eq(&told(vec![(100, holds(1, ANYWHERE)), (200, joins(1)), (300, applied)]));
}

/// Guards against taking an answer for one to a call that was never written: a restarted controller counts its marks from
/// the first again, and a change would wait forever.
#[test]
fn a_call_that_was_never_written_does_not_keep_a_change_from_being_settled() {
    let fenced = Heard::Fenced { incarnation: 0, orders: vec![] };
    let applied = Heard::News(News::Applied { proxy: 1, mark: 4_103, took_ms: 20.0 });
    let told = told(vec![(100, holds(1, ANYWHERE)), (200, joins(1)), (250, fenced), (2_000, applied)]);
    let settled: Vec<&str> = told.lines().filter(|line| line.contains("settled")).collect();
    expect![[r#"
        100 stage 1 settled: true
        200 stage 1 settled: false
        2000 stage 1 settled: true"#]]
    .assert_eq(&settled.join("\n"));
}

/// Guards against a change that waits forever for a lost answer while nothing else is ordered.
#[test]
fn an_answer_that_is_lost_is_asked_for_again() {
    let applied = Heard::News(News::Applied { proxy: 1, mark: 65_534, took_ms: 20.0 });
    let told = told(vec![(100, holds(1, ANYWHERE)), (200, joins(1)), (1_900, applied)]);
    let from = told.find("200 stage").unwrap_or(0);
    expect![[r#"
        200 stage 1 settled: false
        200 reply under 1 of life 0
        {"op":"share","server":"s-a","table":4,"weight":1.0}
        {"op":"bind","proxy":1,"routes":["write"],"table":4}
        {"op":"bind","proxy":1,"routes":["read"],"table":4}
        {"nonce_out":7,"on":1,"op":"mark"}
        1200 reply under 1 of life 0
        {"nonce_out":65534,"on":1,"op":"mark"}
        1900 stage 1 settled: true
        3500 breaches 0
    "#]]
    .assert_eq(&told[from..]);
}

/// Guards against a change that counts as settled with the first proxy's answer: one controller may have all proxies, and
/// any other none, which is settled at once.
#[test]
fn a_steward_with_all_proxies_is_settled_with_the_last_of_them_and_one_without_any_at_once() {
    let applied = |proxy| Heard::News(News::Applied { proxy, mark: 7, took_ms: 20.0 });
    let settled = |heard| {
        let told = told(heard);
        let lines = told.lines().filter(|line| line.contains("settled"));
        lines.map(|line| format!("{line}\n")).collect::<String>()
    };
    let all = (1..20).map(|proxy| (200, joins(proxy)));
    let answers = (1..20).map(|proxy| (300 + u64::from(proxy), applied(proxy)));
    expect![[r#"
        100 stage 1 settled: true
        200 stage 1 settled: false
        319 stage 1 settled: true
    "#]]
    .assert_eq(&settled([(100, holds(1, ANYWHERE))].into_iter().chain(all).chain(answers).collect()));
    expect![[r#"
        100 stage 1 settled: true
        900 stage 2 settled: true
    "#]]
    .assert_eq(&settled(vec![(100, holds(1, ANYWHERE)), (900, holds(2, AT_HOME))]));
}

/// Guards against losing a limit of the policy at a restart of the controller.
#[test]
fn what_grants_let_in_is_told_with_the_lesser_of_both_and_lifted_with_them() {
    let bound = |share| Heard::Bound(Some(Bound { zone: ZoneId(1), product: ClassId(1), share }));
    let heard =
        vec![(100, holds(1, ANYWHERE)), (200, bound(0.4)), (300, bound(0.3)), (400, Heard::Bound(None))];
    expect![[r#"
        0 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 0.0, max_tries: TwiceAfterAny }
        0 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(0) }
        0 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(0) }
        100 seed 5: ServiceBound { zone: ZoneId(0), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(0), max_share: 1.0, max_tries: TwiceAfterAny }
        100 seed 5: ReachRule { zone: ZoneId(0), class: ClassId(0), allowed_zones: Zones(340282366920938463463374607431768211455) }
        100 seed 5: ReachRule { zone: ZoneId(1), class: ClassId(0), allowed_zones: Zones(1) }
        100 stage 1 settled: true
        200 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(1), max_share: 0.4, max_tries: TwiceAfterAny }
        300 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(1), max_share: 0.3, max_tries: TwiceAfterAny }
        400 seed 5: ServiceBound { zone: ZoneId(1), class: ClassId(1), max_share: 1.0, max_tries: TwiceAfterAny }
        3500 breaches 0
    "#]].assert_eq(&told(heard));
}

/// Guards against issuing grants without knowing the service level in force: the fractions of guarantees that apply under
/// that level would not be used.
#[test]
fn a_level_comes_into_force_and_the_dealing_is_told_when_it_changes() {
    let told = |acts: bool| {
        for_ms(1_000, |trace| async move {
            let on = |value| vec![Condition { signal: Signal::Pressure, value, lasting: 0.0 }];
            let level = |name: &str, enter, leave| Level {
                name: name.into(),
                keep: Default::default(),
                tries: RetryPolicy::AfterAny,
                enter,
                leave,
                stay: 0.0,
                emergency: false,
                force: false,
            };
            let ladder = vec![level("full", vec![], vec![]), level("lean", on(0.9), on(0.5))];
            let ladder = Ladder::new(ladder, &[]).expect("a ladder");
            let sums = ReportSettings { interval: 1_000.0, max_lines_per_s: 0.0 };
            let levels = Rc::new(RefCell::new(ServiceLevels::new(ladder, 2, vec![], &sums, acts)));
            let ties = ties(&trace);
            let (tell, counters) = (Box::new(Noted(trace.clone())), ties.counters.clone());
            let judge = Judge::new(2, 1_000.0);
            let policy_lease = PolicyLease::new(
                Arc::new(facts()),
                judge,
                100.0,
                tell,
                ShareLimits::default(),
                counters,
                ties.log,
            );
            let mut policy_lease = policy_lease.follows(levels.clone());
            // No level is reported by a proxy.
            levels.borrow_mut().hear(0.0, &Event::ProxyLeft { proxy: ProxyId(0) });
            for now in [0.0, 2_000.0, 3_000.0] {
                levels.borrow_mut().look(now);
                policy_lease.sees(now, Default::default);
            }
            for (name, now) in [("lean", 4_000.0), ("lean", 5_000.0), ("full", 6_000.0)] {
                levels.borrow_mut().pin(now, name, 9_000.0).expect("a level");
                policy_lease.sees(now, Default::default);
                policy_lease.sees(now + 500.0, Default::default);
            }
        })
    };
    expect![[r#"
        0 level Some(0)
        0 level Some(1)
        0 level Some(0)
    "#]]
    .assert_eq(&told(true));
    assert_eq!(told(false), "", "where levels are only looked at none is in force");
}

/// What a relay task writes for these replies, each delivered at its time with the lease that it was decided under. The
/// fence is open for the second lease from the beginning and closes for all just before 500 ms.
fn written(script: &'static [Dialled], replies: Vec<(u64, DecidedUnder)>) -> String {
    fenced(script, replies, vec![(499, None)])
}

/// The same, with the fence opened for another lease or closed at the given times.
fn fenced(
    script: &'static [Dialled],
    replies: Vec<(u64, DecidedUnder)>,
    open: Vec<(u64, Option<u64>)>,
) -> String {
    for_ms(3_000, |trace| async move {
        let fence = Arc::new(Fence::new(Clock::new()));
        fence.set(Under(2), f64::INFINITY);
        let gate = Rc::new(Gate::new(fence.clone(), None));
        let dial = Gated { dial: Peer::new(&trace, script), gate: gate.clone() };
        let line = Kept::new(dial, moves(None), Duration::from_millis(250));
        let (to, from) = mpsc::channel(64);
        let ties = ties(&trace);
        let fenced = ties.counters.clone();
        feed(open, async move |under| match under {
            Some(under) => fence.set(Under(under), f64::INFINITY),
            None => fence.set(Under(2), 0.0),
        });
        let mut places = 0..;
        feed(replies, async move |ruled| {
            let place: u16 = places.next().unwrap();
            let order = Order::ClearTable { table: TableId(place) };
            let bytes = format!("{place}").into();
            let orders = vec![Encoded { bytes, binds: None, mark: None, order: Some(order) }];
            to.send(Reply { orders, mark: None, ruled }).await.unwrap();
        });
        let last = trace.clone();
        let run = Relay { line, gate, spread: Spread::new(1), ties }.run(from);
        let _ = tokio::time::timeout(Duration::from_millis(2_500), run).await;
        last.note(&format!("fenced calls {}", fenced.fenced_calls.count()));
    })
}

fn ruled(under: u64, incarnation: u64) -> DecidedUnder {
    DecidedUnder { under: Under(under), incarnation, ..DecidedUnder::default() }
}

/// Guards against sending orders under an expired lease or the former stage: they are dropped together with all later
/// orders of the same incarnation of the controller, and each is reported to the event loop.
#[test]
fn what_waited_under_something_older_or_past_the_lease_is_not_written() {
    const OK: Then = Then::Answer("{\"taken\":1}");
    let script = &[Dialled::Up(&[OK, OK, OK])];
    let replies = vec![
        (0, ruled(2, 0)),
        (100, ruled(1, 0)),
        (200, ruled(2, 0)),
        (300, ruled(2, 1)),
        (500, ruled(2, 1)),
        (600, ruled(2, 2)),
    ];
    expect![[r#"
        0 a connection
        0 POST /txn {"changes":[0]}
        100 -> Fenced { incarnation: 0, orders: [ClearTable { table: TableId(1) }] }
        200 -> Fenced { incarnation: 0, orders: [ClearTable { table: TableId(2) }] }
        300 POST /txn {"changes":[3]}
        500 -> Fenced { incarnation: 1, orders: [ClearTable { table: TableId(4) }] }
        600 -> Fenced { incarnation: 2, orders: [ClearTable { table: TableId(5) }] }
        2500 fenced calls 3
    "#]]
    .assert_eq(&written(script, replies));
}

/// Guards against a check of the lease that was made before the connection was established: it is checked directly before
/// the write.
#[test]
fn a_lease_that_ends_while_the_connection_comes_up_keeps_the_call_from_leaving() {
    let script =
        &[Dialled::Refused, Dialled::Refused, Dialled::Up(&[Then::Silence]), Dialled::Up(&[Then::Silence])];
    let replies = vec![(470, ruled(2, 0)), (510, ruled(2, 0))];
    expect![[r#"
        470 -> RelayDelayed { on: true }
        520 -> Fenced { incarnation: 0, orders: [ClearTable { table: TableId(0) }, ClearTable { table: TableId(1) }] }
        520 -> RelayDelayed { on: false }
        2500 fenced calls 1
    "#]]
    .assert_eq(&written(script, replies));
}

/// Guards against sending orders of an expired lease to a relay that was unreachable when the lease ended.
#[test]
fn what_waited_for_a_relay_that_was_away_while_the_lease_ended_is_not_written_when_it_is_back() {
    const OK: Then = Then::Answer("{\"taken\":1}");
    // Unreachable for ten attempts: from the first reply until after the next lease.
    const AWAY: Dialled = Dialled::Refused;
    let script = &[AWAY, AWAY, AWAY, AWAY, AWAY, AWAY, AWAY, AWAY, AWAY, AWAY, Dialled::Up(&[OK, OK])];
    // The event loop restarts the controller when it is told of the dropped orders, and has a new lease by then.
    let replies = vec![(300, ruled(2, 0)), (400, ruled(2, 0)), (700, ruled(3, 1)), (800, ruled(3, 1))];
    expect![[r#"
        300 -> RelayDelayed { on: true }
        534 -> Fenced { incarnation: 0, orders: [ClearTable { table: TableId(0) }, ClearTable { table: TableId(1) }] }
        534 -> RelayDelayed { on: false }
        700 -> RelayDelayed { on: true }
        925 a connection
        925 POST /txn {"changes":[2,3]}
        925 -> RelayDelayed { on: false }
        925 POST /txn {"changes":[3]}
        2500 fenced calls 1
    "#]]
    .assert_eq(&fenced(script, replies, vec![(499, None), (600, Some(3))]));
}
