//! Hosts that the relay keeps withdrawn although the decisions in force don't know of it, after replies were dropped or
//! refused.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use amberarch_accord::StageNo;
use amberarch_core::*;
use amberarch_fleet::Sight;
use amberarch_intake::Believed;
use amberarch_residency::{Facts, Judge};
use amberarch_steward::clock::UnixClock;
use amberarch_steward::desk::{Desk, Labels, Make};
use amberarch_steward::fleet::{PolicyLease, ShareLimits, Tell};
use amberarch_steward::heard::{Health, Heard, Listing, Out, Reply, Row, Ties};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::peers::{for_ms, ties};

const HOSTS: u32 = 4;
/// Longer than the pause before decisions that failed once start anew.
const RESTART: Duration = Duration::from_millis(1_100);
const DECISION: Duration = Duration::from_millis(5);

type HostSet = Rc<RefCell<BTreeSet<HostId>>>;

/// Withdraws a host with a load of one and restores it with a load of zero. It shares which hosts it has withdrawn; a new
/// one has withdrawn none.
struct ByLoad(HostSet);

impl Decide for ByLoad {
    fn decide(&mut self, _: f64, events: &[Event]) -> Vec<Order> {
        let mut orders = vec![Order::StartTimer { after: 100.0, timer: TimerId(0) }];
        for event in events {
            let Event::LoadEstimate { host, load, .. } = event else { continue };
            let (host, withdrawn) = (*host, *load >= 1.0);
            let mut held = self.0.borrow_mut();
            let changes = if withdrawn { held.insert(host) } else { held.remove(&host) };
            orders.extend(changes.then_some(Order::Withdraw { host, withdrawn }));
        }
        orders
    }
}

struct Untold;

impl Tell for Untold {
    fn settled(&self, _: StageNo, _: bool) {}
    fn sees(&self, _: Sight) {}
    fn level(&self, _: Option<usize>) {}
}

fn policy_lease(ties: &Ties) -> PolicyLease {
    let facts = Facts { zones: vec!["a".into()], products: vec!["read".into()], govern: [ClassId(0)].into() };
    let (limits, counters) = (ShareLimits::default(), ties.counters.clone());
    let judge = Judge::new(1, 1_000.0);
    PolicyLease::new(Arc::new(facts), judge, 100.0, Box::new(Untold), limits, counters, ties.log.clone())
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The decisions withdraw the host, or restore it.
    Order(u32, bool),
    /// The list has the host draining, or in service again.
    Drain(u32, bool),
    /// The relay carries out the replies that wait.
    CarryOut,
    /// The lease ends: the replies that wait are dropped, with all that their decisions order later.
    Drop,
    /// The relay refuses the orders of the first reply that waits.
    Refuse,
    /// The event loop is told of one reply that was dropped or refused.
    Report,
    /// It is told of all of them.
    ReportAll,
    /// Decisions that failed start anew.
    Restart,
}

/// The task that sends calls, and the relay. What it reports is delivered by a step of its own.
struct FakeRelay {
    replies: mpsc::Receiver<Reply>,
    desk: mpsc::Sender<Heard>,
    withdrawn: BTreeSet<HostId>,
    dropped_incarnation: Option<u64>,
    reports: VecDeque<Heard>,
}

impl FakeRelay {
    fn carry_out_waiting(&mut self) {
        while let Ok(reply) = self.replies.try_recv() {
            if self.dropped_incarnation >= Some(reply.ruled.incarnation) {
                self.drop_reply(reply);
            } else {
                reply.orders.iter().for_each(|order| self.carry_out(&order.bytes));
            }
        }
    }

    fn carry_out(&mut self, order: &[u8]) {
        let order: serde_json::Value = serde_json::from_slice(order).expect("an order");
        let Some(host) = order["server"].as_str() else { return };
        let host = HostId(host.trim_start_matches("s-").parse().expect("a host"));
        match order["op"].as_str() {
            Some("withdraw") => drop(self.withdrawn.insert(host)),
            Some("restore") => drop(self.withdrawn.remove(&host)),
            _ => {}
        }
    }

    fn drop_reply(&mut self, reply: Reply) {
        let incarnation = reply.ruled.incarnation;
        let orders = reply.orders.into_iter().filter_map(|order| order.order).collect();
        self.reports.push_back(Heard::Fenced { incarnation, orders });
    }

    fn drop_waiting(&mut self) {
        while let Ok(reply) = self.replies.try_recv() {
            self.dropped_incarnation = self.dropped_incarnation.max(Some(reply.ruled.incarnation));
            self.drop_reply(reply);
        }
    }

    fn refuse_first(&mut self) {
        let Ok(reply) = self.replies.try_recv() else { return };
        let orders = reply.orders.into_iter().filter_map(|order| order.order).collect();
        self.reports.push_back(Heard::OrdersRefused { binds: None, orders });
    }

    async fn report(&mut self, count: usize) {
        let count = count.min(self.reports.len());
        for report in self.reports.drain(..count) {
            self.desk.send(report).await.expect("the event loop runs");
        }
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Order(host, withdrawn) => {
                let load = f64::from(u8::from(withdrawn));
                let believed = Believed { host: HostId(host), load, age: 0.0, sure: 1.0, waited: 0.0 };
                self.desk.send(Heard::Loads(vec![believed])).await.expect("the event loop runs");
            }
            Step::Drain(host, drains) => {
                let health = if drains { Health::Terminating } else { Health::InService };
                let listing = Listing { seq: 2, whole: false, hosts: vec![row(host, health)] };
                self.desk.send(Heard::Listed(listing)).await.expect("the event loop runs");
            }
            Step::CarryOut => self.carry_out_waiting(),
            Step::Drop => self.drop_waiting(),
            Step::Refuse => self.refuse_first(),
            Step::Report => self.report(1).await,
            Step::ReportAll => self.report(self.reports.len()).await,
            Step::Restart => sleep(RESTART).await,
        }
        sleep(DECISION).await;
    }
}

fn row(host: u32, health: Health) -> Row {
    Row {
        host: format!("s-{host}"),
        dial: "127.0.0.2:3000".into(),
        site: "a".into(),
        class: "m1".into(),
        block: 1,
        health,
        share: 1.0,
        born_ms: 0.0,
    }
}

/// Plays the steps, and then lets everything get through for a while. Returns the hosts that are withdrawn at the relay
/// and those that the decisions in force have withdrawn.
fn withdrawn_after(steps: &[Step], has_lease: bool, queue: usize) -> (BTreeSet<HostId>, BTreeSet<HostId>) {
    let outcome = Rc::new(RefCell::new(None));
    let played = outcome.clone();
    for_ms(1_000_000, |trace| async move {
        let (relay, replies) = mpsc::channel(queue);
        let (list, _asks) = mpsc::channel(64);
        let (probes, _probed) = mpsc::channel(64);
        let held = HostSet::default();
        let shared = held.clone();
        let make: Make = Box::new(move |_| {
            shared.borrow_mut().clear();
            Box::new(ByLoad(shared.clone()))
        });
        let (zones, kinds, products) = (vec!["a".into()], vec!["m1".into()], vec!["read".into()]);
        let labels = Labels { zones, kinds, products, proxies: 4 };
        let hosts = (0..HOSTS).map(|host| row(host, Health::InService)).collect();
        let known = Listing { seq: 1, whole: true, hosts };
        let (out, ties) = (Out { relay, list, probes, witness: None }, ties(&trace));
        let (counters, log) = (ties.counters.clone(), ties.log.clone());
        let desk = Desk::new((make, 5), labels, known, UnixClock::reading(1e12), out, counters, log);
        let desk = if has_lease { desk.governed(policy_lease(&ties)) } else { desk };
        let (to, from) = mpsc::channel(64);
        spawn_local(desk.run(from));
        let (withdrawn, reports) = (BTreeSet::new(), VecDeque::new());
        let mut relay = FakeRelay { replies, desk: to, withdrawn, dropped_incarnation: None, reports };
        for step in steps {
            relay.take(*step).await;
        }
        for _ in 0..4 {
            for step in [Step::CarryOut, Step::ReportAll, Step::Restart] {
                relay.take(step).await;
            }
        }
        *played.borrow_mut() = Some((relay.withdrawn, held.borrow().clone()));
    });
    outcome.take().expect("all steps were played")
}

/// After the steps no host is withdrawn at the relay without the decisions knowing of it, with a lease and without.
fn assert_nothing_stays_withdrawn(steps: &[Step]) {
    for has_lease in [true, false] {
        let (at_relay, by_decisions) = withdrawn_after(steps, has_lease, 64);
        assert_eq!(at_relay, by_decisions, "with a lease: {has_lease}");
    }
}

/// Guards against a host that stays withdrawn for good: its restore was dropped as the lease had ended, and counted as
/// carried out.
#[test]
fn a_restore_that_was_dropped_with_its_lease_is_ordered_again() {
    use Step::*;
    assert_nothing_stays_withdrawn(&[Order(1, true), CarryOut, Order(1, false), Drop, Report]);
}

/// Guards against losing what new decisions have to restore when the reply that restores it is dropped in its turn.
#[test]
fn a_restore_ahead_of_new_decisions_that_is_dropped_too_is_ordered_again() {
    use Step::*;
    let withdrawn = [Order(1, true), CarryOut];
    let new_decisions_dropped = [Order(2, true), Drop, Report, Restart];
    assert_nothing_stays_withdrawn(
        &[&withdrawn[..], &new_decisions_dropped, &new_decisions_dropped].concat(),
    );
}

/// Guards against losing a restore of former decisions that is reported as dropped when new ones have already given orders:
/// they know of no withdrawal.
#[test]
fn a_dropped_restore_that_is_reported_late_is_ordered_beside_the_new_decisions() {
    use Step::*;
    assert_nothing_stays_withdrawn(&[
        Order(1, true),
        CarryOut,
        Order(2, true),
        Order(1, false),
        Drop,
        // Of the two replies that were dropped, the first starts the decisions anew.
        Report,
        Order(3, true),
        CarryOut,
        Report,
    ]);
}

/// Guards against a host that stays withdrawn because its restore was refused with the other orders of a call.
#[test]
fn a_restore_that_the_relay_refused_is_ordered_again() {
    use Step::*;
    assert_nothing_stays_withdrawn(&[Order(1, true), CarryOut, Order(1, false), Refuse, Report]);
}

/// Guards against a withdrawal of the new decisions that is undone by a restore of the former ones.
#[test]
fn a_late_report_of_a_dropped_restore_undoes_no_later_withdrawal() {
    use Step::*;
    let steps = [
        Order(1, true),
        CarryOut,
        Order(1, false),
        Order(2, true),
        Drop,
        Report,
        Order(1, true),
        CarryOut,
        Report,
    ];
    let (at_relay, by_decisions) = withdrawn_after(&steps, true, 64);
    assert_eq!(by_decisions, [HostId(1)].into());
    assert_eq!(at_relay, by_decisions);
}

/// Guards against a host that gets new work while it drains: new decisions know of no withdrawal, and theirs may have to
/// wait for room in the channel. It is restored once it is in service again.
#[test]
fn new_decisions_do_not_restore_a_host_that_drains() {
    use Step::*;
    let new_start =
        [Order(1, true), Order(2, true), CarryOut, Drain(1, true), Order(3, true), Refuse, Report];
    for has_lease in [true, false] {
        let (at_relay, _) = withdrawn_after(&new_start, has_lease, 64);
        assert_eq!(at_relay, [HostId(1)].into(), "with a lease: {has_lease}");
    }
    assert_nothing_stays_withdrawn(&[&new_start[..], &[Restart, CarryOut, Drain(1, false)]].concat());
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..HOSTS, any::<bool>()).prop_map(|(host, withdrawn)| Step::Order(host, withdrawn)),
        1 => (0..HOSTS, any::<bool>()).prop_map(|(host, drains)| Step::Drain(host, drains)),
        2 => Just(Step::CarryOut),
        1 => Just(Step::Drop),
        1 => Just(Step::Refuse),
        2 => Just(Step::Report),
        1 => Just(Step::ReportAll),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 400, rng_seed: RngSeed::Fixed(54), ..ProptestConfig::default()
    })]
    /// Guards against hosts that stay withdrawn after replies that were dropped, refused or lost in a full queue, in any
    /// order, once all hosts are in service.
    #[test]
    fn once_replies_get_through_the_relay_withdraws_what_the_decisions_do(
        steps in prop::collection::vec(step(), 1..40), has_lease: bool, queue in 1_usize..6,
    ) {
        let in_service = (0..HOSTS).map(|host| Step::Drain(host, false));
        let steps: Vec<Step> = steps.into_iter().chain(in_service).collect();
        let (at_relay, by_decisions) = withdrawn_after(&steps, has_lease, queue);
        prop_assert_eq!(at_relay, by_decisions);
    }
}
