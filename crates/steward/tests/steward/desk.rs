use std::sync::Arc;

use amberarch_accord::StageNo;
use amberarch_core::*;
use amberarch_fleet::Sight;
use amberarch_intake::Believed;
use amberarch_intake_grpc::Witness;
use amberarch_residency::{Facts, Judge};
use amberarch_steward::clock::UnixClock;
use amberarch_steward::desk::{Desk, Labels, Make};
use amberarch_steward::fleet::{Caps, Tell, Ward};
use amberarch_steward::heard::{Entry, Health, Heard, Listing, News, Out, Row, Ties};
use amberarch_steward::lines::Said;
use expect_test::expect;
use tokio::sync::mpsc;

use crate::peers::{feed, for_ms, ties, Trace};

/// Notes what it is told, and orders as the number of the events says.
struct Noted(Trace, u64);

impl Decide for Noted {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let mut out = Vec::new();
        for event in events {
            self.0.note(&format!("seed {}: {event:?}", self.1));
            match event {
                Event::TimerExpired { timer: TimerId(7) } => panic!("as the test wants it"),
                Event::MarkApplied { .. } => {
                    let host = HostId(0);
                    out.extend([Order::Withdraw { host, withdrawn: true }, Order::ForgetHost { host }]);
                }
                Event::ProxyJoined { without_table: false, .. } if self.1 == 6 => {
                    out.push(Order::Withdraw { host: HostId(2), withdrawn: true });
                }
                Event::List { update: ListUpdate::Changes, .. } => {
                    let (table, host, proxy) = (TableId(4), HostId(0), ProxyId(1));
                    let classes = ClassSet::one(ClassId(1));
                    out.push(Order::SetEntry { table, host, weight: 1.5 });
                    out.push(Order::Withdraw { host, withdrawn: true });
                    out.push(Order::Withdraw { host: HostId(1), withdrawn: true });
                    out.push(Order::Withdraw { host, withdrawn: false });
                    out.push(Order::ClearTable { table });
                    out.push(Order::Bind { proxy, table, classes: ClassSet::ALL });
                    out.push(Order::Admit { table, classes, level: 0.9, tries: RetryPolicy::AfterProof });
                    let (table, classes) = (TableId::ALL, ClassSet::ALL);
                    out.push(Order::Admit { table, classes, level: 1.0, tries: RetryPolicy::One });
                    out.push(Order::Mark { mark: MarkId(905), all_proxies: true });
                    out.extend([Order::Probe { host }, Order::Probe { host: HostId(1) }]);
                    out.push(Order::WatchList { on: true });
                    out.push(Order::StartTimer { after: 1_500.5, timer: TimerId(7) });
                }
                _ => {}
            }
        }
        out
    }
}

fn row(host: &str, dial: &str, site: &str, health: Health, born_ms: f64) -> Row {
    let (host, dial, site) = (host.into(), dial.into(), site.into());
    Row { host, dial, site, class: "m2".into(), block: 3, health, share: 1.0, born_ms }
}

fn told(heard: Vec<(u64, Heard)>) -> String {
    told_beside(heard, None)
}

fn told_beside(heard: Vec<(u64, Heard)>, witness: Option<Witness>) -> String {
    told_under(heard, witness, false)
}

struct Unheard;

impl Tell for Unheard {
    fn settled(&self, _: StageNo, _: bool) {}
    fn sees(&self, _: Sight) {}
    fn level(&self, _: Option<usize>) {}
}

/// Under a policy that nobody has told yet: reads are declined.
fn ward(ties: &Ties) -> Ward {
    let names = |names: [&str; 2]| names.map(String::from).to_vec();
    let govern = [ClassId(0)].into();
    let facts = Facts { zones: names(["a", "b"]), products: names(["read", "write"]), govern };
    let (caps, counters) = (Caps::default(), ties.counters.clone());
    let judge = Judge::new(2, 1_000.0);
    Ward::new(Arc::new(facts), judge, 100.0, Box::new(Unheard), caps, counters, ties.log.clone())
}

fn told_under(heard: Vec<(u64, Heard)>, witness: Option<Witness>, governed: bool) -> String {
    for_ms(10_000, |trace| async move {
        let (relay, mut replies) = mpsc::channel(64);
        let (list, mut asks) = mpsc::channel(64);
        let (probes, mut probed) = mpsc::channel(64);
        let make: Make = {
            let trace = trace.clone();
            Box::new(move |seed| Box::new(Noted(trace.clone(), seed)))
        };
        let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
        let (zones, kinds, products) = (names(&["a", "b"]), names(&["m1", "m2"]), names(&["read", "write"]));
        let labels = Labels { zones, kinds, products, proxies: 20 };
        let whole = vec![
            row("s-0", "127.0.0.2:3000", "a", Health::InService, 0.0),
            row("s-x", "127.0.0.3:3000", "nowhere", Health::InService, 0.0),
        ];
        let known = Listing { seq: 41, whole: true, hosts: whole };
        let (out, ties) = (Out { relay, list, probes, witness }, ties(&trace));
        let desk = Desk::new(
            (make, 5),
            labels,
            known,
            UnixClock::reading(1e12),
            out,
            ties.counters.clone(),
            ties.log.clone(),
        );
        let desk = if governed { desk.governed(ward(&ties)) } else { desk };
        let (to, from) = mpsc::channel(64);
        let seen = trace.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::select! {
                    biased;
                    Some(reply) = replies.recv() => {
                        let orders: Vec<_> = reply.orders.iter().map(|o| String::from_utf8_lossy(&o.bytes).into_owned()).collect();
                        seen.note(&format!("reply {:?}\n{}", reply.mark, orders.join("\n")));
                    }
                    Some(ask) = asks.recv() => seen.note(&format!("ask {ask:?}")),
                    Some(probe) = probed.recv() => seen.note(&format!("probe {:?} at {}", probe.host, probe.entry.dial)),
                }
            }
        });
        feed(heard, async move |heard| to.send(heard).await.unwrap());
        desk.run(from).await;
    })
}

/// Guards against a host that goes on serving from a zone that the list no longer has it in: under a policy it is gone,
/// for the intake too, until it is listed where it is known. And against one spoilt word in a list of changes that
/// takes a host out of service where no policy asks for it; a host that was never known stays unknown.
#[test]
fn a_host_that_moves_to_a_zone_nobody_knows_is_gone_where_a_policy_governs() {
    let moved = |seq, site| {
        let row = |host| row(host, "127.0.0.2:3000", site, Health::InService, 0.0);
        Heard::Listed(Listing { seq, whole: false, hosts: vec![row("s-0"), row("s-y")] })
    };
    let told = |governed| {
        let witness = Witness::default();
        let heard = vec![(100, moved(42, "nowhere"))];
        let trace = told_under(heard, Some(witness.clone()), governed);
        let entries = trace.lines().find(|line| line.contains("Changes")).unwrap_or_default().to_string();
        let named: Vec<String> =
            witness.take().list.into_iter().flatten().map(|host| host.name.to_string()).collect();
        (entries, named)
    };
    let (entries, named) = told(true);
    expect!["100 seed 5: List { update: Changes, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: Removed }] }"].assert_eq(&entries);
    assert!(named.is_empty(), "{named:?}");
    let (entries, named) = told(false);
    expect!["100 seed 5: List { update: Changes, entries: [] }"].assert_eq(&entries);
    assert_eq!(named, ["s-0"]);
    let back = told_under(vec![(100, moved(42, "nowhere")), (200, moved(43, "b"))], None, true);
    let there = "Changes, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(1), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }";
    assert!(back.contains(there), "{back}");
}

fn joins(proxy: u16, fresh: bool) -> Heard {
    Heard::News(News::Joined { proxy, zone: "b".into(), weight: 2.0, fresh })
}

/// Guards against decisions that take the program with them: the module starts anew, told what stands.
#[test]
fn orders_go_where_they_belong_and_a_panic_starts_the_module_anew() {
    let hosts = vec![
        row("s-1", "127.0.0.4:3000", "b", Health::InService, 1e12 - 4_000.0),
        row("s-2", "no address", "b", Health::Terminated, 0.0),
    ];
    let listing = Listing { seq: 42, whole: false, hosts };
    let trace = told(vec![(100, joins(1, true)), (200, Heard::Listed(listing))]);
    expect![[r#"
        0 seed 5: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        100 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        200 seed 5: List { update: Changes, entries: [HostEntry { host: HostId(1), weight: 1.0, zone: ZoneId(1), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: Some(-4000.0), availability: InService }, HostEntry { host: HostId(2), weight: 1.0, zone: ZoneId(1), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: Removed }] }
        200 reply Some(MarkId(905))
        {"op":"share","server":"s-0","table":4,"weight":1.5}
        {"op":"withdraw","server":"s-0"}
        {"op":"withdraw","server":"s-1"}
        {"op":"restore","server":"s-0"}
        {"op":"clear","table":4}
        {"op":"bind","proxy":1,"table":4}
        {"admit":0.9,"op":"admit","policy":1,"routes":["write"],"table":4}
        {"admit":1.0,"op":"admit","policy":0}
        {"nonce_out":905,"on":1,"op":"mark"}
        200 ask Watch
        200 probe HostId(0) at 127.0.0.2:3000
        200 probe HostId(1) at 127.0.0.4:3000
        1701 seed 5: TimerExpired { timer: TimerId(7) }
        1701 seed 6: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }, HostEntry { host: HostId(1), weight: 1.0, zone: ZoneId(1), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: Some(-4000.0), availability: InService }, HostEntry { host: HostId(2), weight: 1.0, zone: ZoneId(1), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: Removed }] }
        1701 seed 6: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: false }
        1701 reply None
        {"op":"restore","server":"s-1"}
        {"op":"withdraw","server":"s-2"}
    "#]].assert_eq(&trace);
}

/// Guards against a cold host taken for warm, and a host kept cold for an hour, where a machine's wall clock is wrong: no start
/// lies ahead, and one that was listed with another start is as old as the list can be late at the most.
#[test]
fn a_wrong_clock_makes_no_restarted_host_warm_and_keeps_none_cold_for_longer_than_it_warms() {
    let started = |born_ms: f64| {
        let hosts = vec![row("s-0", "127.0.0.2:3000", "a", Health::InService, born_ms)];
        let trace = told(vec![
            (500, Heard::ListStands),
            (1_000, Heard::Listed(Listing { seq: 42, whole: false, hosts })),
        ]);
        let born = trace
            .split("started_at: Some(")
            .nth(1)
            .and_then(|rest| rest.split(')').next()?.parse::<f64>().ok());
        born.unwrap_or_else(|| panic!("no start in {trace}"))
    };
    const HOUR: f64 = 3.6e6;
    // By a clock that is right, 3 s before it is listed at 1 s.
    assert_eq!(started(1e12 - 2_000.0), -2_000.0);
    assert_eq!(started(1e12 + HOUR), 1_000.0);
    // The list stood at 0.5 s, and may be 6 s late.
    assert_eq!(started(1e12 - HOUR), -5_500.0);
}

/// Guards against what was missed while no news came: who is missing left, who is fresh came anew, and
/// after a long gap so may have all; an answer to an older watch is no join.
#[test]
fn what_stands_is_compared_with_what_was_known() {
    let left = Heard::News(News::Left { proxy: 4 });
    let trace = told(vec![
        (0, joins(1, true)),
        (0, joins(2, true)),
        (0, joins(3, true)),
        (0, joins(4, true)),
        (0, joins(21, true)),
        (100, Heard::Standing { anew: false }),
        (100, joins(1, false)),
        (100, joins(2, true)),
        (100, left),
        (100, joins(4, false)),
        (150, Heard::Stood),
        (180, Heard::Standing { anew: true }),
        (200, Heard::Standing { anew: false }),
        (200, joins(1, false)),
        (250, Heard::Stood),
    ]);
    expect![[r#"
        0 seed 5: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        0 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        0 seed 5: ProxyJoined { proxy: ProxyId(2), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        0 seed 5: ProxyJoined { proxy: ProxyId(3), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        0 seed 5: ProxyJoined { proxy: ProxyId(4), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        100 seed 5: ProxyLeft { proxy: ProxyId(2) }
        100 seed 5: ProxyJoined { proxy: ProxyId(2), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        100 seed 5: ProxyLeft { proxy: ProxyId(4) }
        100 seed 5: ProxyJoined { proxy: ProxyId(4), zone: ZoneId(1), txns_per_s: 2.0, without_table: false }
        150 seed 5: ProxyLeft { proxy: ProxyId(3) }
        200 seed 5: ProxyLeft { proxy: ProxyId(1) }
        200 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: false }
        250 seed 5: ProxyLeft { proxy: ProxyId(2) }
        250 seed 5: ProxyLeft { proxy: ProxyId(4) }
    "#]].assert_eq(&trace);
}

/// Guards against sums that name what is not known.
#[test]
fn sums_of_unknown_names_are_skipped() {
    let load = |zone: &str, host: &str| Said::Load {
        zone: zone.into(),
        host: host.into(),
        tries: 4,
        voided: 1,
        mean: 40.0,
        over: 1_000.0,
        report: LoadReport::default(),
    };
    let rate = |proxy, product: &str| Said::Rate {
        proxy,
        product: product.into(),
        txns: 3,
        voided: 1,
        over: 1_000.0,
    };
    let sums = [
        load("c", "s-0"),
        load("a", "s-9"),
        load("a", "s-0"),
        rate(1, "eat"),
        rate(20, "read"),
        rate(1, "write"),
    ];
    expect![[r#"
        0 seed 5: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        0 seed 5: HostReport { host: HostId(0), zone: ZoneId(0), covered: 1000.0, tries: 4, failed: 1, mean_latency: 40.0, load: LoadReport { in_flight: None, queued: None, utilization: None, latency: None } }
        0 seed 5: ProxyReport { proxy: ProxyId(1), class: ClassId(1), txns: 3, failed: 1, covered: 1000.0 }
    "#]].assert_eq(&told(sums.map(|sum| (0, Heard::Sum(sum))).into()));
}

/// Guards against a host that is listed again passing for one that started again: its start keeps the time it
/// was given on the module's clock, until the list tells of another.
#[test]
fn a_start_that_is_listed_again_is_no_new_start() {
    let listing = |seq, born_ms| {
        let hosts = vec![row("s-1", "127.0.0.4:3000", "b", Health::InService, born_ms)];
        Heard::Listed(Listing { seq, whole: true, hosts })
    };
    let trace = told(vec![
        (200, listing(42, 1e12 - 4_000.0)),
        (300, listing(43, 1e12 - 4_000.0)),
        (400, listing(44, 1e12 - 1_000.0)),
    ]);
    let born = trace.lines().filter(|line| line.contains("update: Full"));
    let born: Vec<&str> = born.filter_map(|line| line.split("started_at: ").nth(1)).collect();
    expect![[r#"
        Some(-4000.0), availability: InService }] }
        Some(-4000.0), availability: InService }] }
        Some(-1000.0), availability: InService }] }"#]]
    .assert_eq(&born.join("\n"));
}

/// Guards against a module that goes on as if a refused order held: a proxy whose bind was refused is bound
/// anew while it counts as joined, for any other order the module starts anew.
#[test]
fn what_the_relay_refused_is_made_good() {
    let applied = |proxy, took_ms| Heard::News(News::Applied { proxy, mark: 9, took_ms });
    let trace = told(vec![
        (0, joins(1, true)),
        (100, Heard::NotTaken { binds: Some(ProxyId(1)), orders: vec![] }),
        (200, Heard::NotTaken { binds: Some(ProxyId(2)), orders: vec![] }),
        (250, applied(1, 3.5)),
        (250, applied(2, 3.5)),
        (250, applied(1, -1.0)),
        (300, Heard::NotTaken { binds: None, orders: vec![] }),
    ]);
    expect![[r#"
        0 seed 5: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        0 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        100 seed 5: ProxyLeft { proxy: ProxyId(1) }
        100 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: false }
        250 seed 5: MarkApplied { proxy: ProxyId(1), mark: MarkId(9), duration: 3.5 }
        250 reply None
        {"op":"withdraw","server":"s-0"}
        1000 seed 6: List { update: FromSnapshot, entries: [] }
        1000 seed 6: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: false }
        1000 reply None

    "#]].assert_eq(&trace);
}

/// Guards memory where hosts are replaced for good, and a new host against what is late about an old one: a
/// forgotten host has no number any more, and listed again it gets another.
#[test]
fn a_forgotten_host_leaves_nothing_and_its_number_is_not_given_again() {
    let listing = |seq| {
        let hosts = vec![row("s-0", "127.0.0.2:3000", "a", Health::InService, 0.0)];
        Heard::Listed(Listing { seq, whole: true, hosts })
    };
    let (host, outcome, report) = (HostId(0), ProbeOutcome::Answered, LoadReport::default());
    let entry = Entry { dial: "127.0.0.2:3000".parse().unwrap(), born_ms: 0.0 };
    let sum = || {
        let (zone, host) = ("a".into(), "s-0".into());
        Heard::Sum(Said::Load { zone, host, tries: 4, voided: 1, mean: 40.0, over: 1e3, report })
    };
    let trace = told(vec![
        (0, joins(1, true)),
        (100, Heard::News(News::Applied { proxy: 1, mark: 9, took_ms: 1.0 })),
        (200, sum()),
        (300, listing(42)),
        (400, sum()),
        (500, Heard::Probed { host, entry, outcome, took: 1.0, report }),
    ]);
    expect![[r#"
        0 seed 5: List { update: FromSnapshot, entries: [HostEntry { host: HostId(0), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        0 seed 5: ProxyJoined { proxy: ProxyId(1), zone: ZoneId(1), txns_per_s: 2.0, without_table: true }
        100 seed 5: MarkApplied { proxy: ProxyId(1), mark: MarkId(9), duration: 1.0 }
        100 reply None
        {"op":"withdraw","server":"s-0"}
        300 seed 5: List { update: Full, entries: [HostEntry { host: HostId(1), weight: 1.0, zone: ZoneId(0), pod: PodId(3), instance_type: InstanceTypeId(1), started_at: None, availability: InService }] }
        400 seed 5: HostReport { host: HostId(1), zone: ZoneId(0), covered: 1000.0, tries: 4, failed: 1, mean_latency: 40.0, load: LoadReport { in_flight: None, queued: None, utilization: None, latency: None } }
        500 seed 5: ProbeResult { host: HostId(0), outcome: Answered, duration: 1.0, load: LoadReport { in_flight: None, queued: None, utilization: None, latency: None } }
    "#]].assert_eq(&trace);
}

/// The intake is told which hosts are listed, and when a probe or a sum was observed; what it believes becomes
/// events of the same moment.
#[test]
fn the_intake_hears_of_list_probes_and_sums_and_its_beliefs_are_decided_on() {
    let witness = Witness::default();
    let listing = Listing {
        seq: 42,
        whole: false,
        hosts: vec![
            row("s-1", "127.0.0.4:3000", "b", Health::InService, 1e12 - 4_000.0),
            row("s-2", "no address", "b", Health::Terminated, 0.0),
        ],
    };
    let probed = |outcome| {
        let (host, report) = (HostId(0), LoadReport::default());
        let entry = Entry { dial: "127.0.0.2:3000".parse().unwrap(), born_ms: 0.0 };
        Heard::Probed { host, entry, outcome, took: 2.0, report }
    };
    let met = Said::Load {
        zone: "b".into(),
        host: "s-1".into(),
        tries: 4,
        voided: 0,
        mean: 3.0,
        over: 100.0,
        report: LoadReport::default(),
    };
    let believed = Believed { host: HostId(1), load: 1.25, age: 80.0, sure: 1.0, waited: 40.0 };
    let trace = told_beside(
        vec![
            (100, Heard::Listed(listing)),
            (200, probed(ProbeOutcome::Answered)),
            (300, Heard::Sum(met)),
            (400, Heard::Loads(vec![believed])),
        ],
        Some(witness.clone()),
    );
    assert!(
        trace.contains("LoadEstimate { host: HostId(1), load: 1.25, age: 80.0, confidence: 1.0 }"),
        "{trace}"
    );
    let told = witness.take();
    let listed: Vec<String> =
        told.list.into_iter().flatten().map(|host| format!("{} {:?}", host.name, host.born)).collect();
    assert_eq!(listed, ["s-0 None", "s-1 Some(-4000.0)"]);
    // A sum stands for the middle of its time.
    assert_eq!(told.seen, [(HostId(0), 200.0), (HostId(1), 250.0)].into());
}
