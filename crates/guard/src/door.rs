//! All orders to the proxies pass through the `Door`. The decisions assume that everything they ordered was
//! sent, so orders that the guard held back stay pending: they are retried with each batch until they pass or
//! a later order replaces them. If an order stays pending for too long, the decisions are told once to plan
//! afresh.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use amberarch_core::*;

use crate::model::{Finding, Guard};
use crate::verdict::{Breach, Rule, Verdict};

/// After this time in ms pending orders are discarded and the decisions plan afresh. It is longer than a cold
/// host needs for a warm-up step and longer than the grace time of a drain.
const MAX_PENDING: f64 = 20_000.0;
/// The number of recent violations kept for inspection.
const KEPT_BREACHES: usize = 32;

/// What a door does with the guard's verdicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Off,
    /// Counts and reports what would be held back, but lets everything through.
    Watch,
    Enforce,
}

/// Counters for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub batches: u64,
    pub mended: u64,
    pub refused: u64,
    /// Violations by rule, in the order of `Rule::ALL`.
    pub by_rule: [u64; 4],
    /// Batches sent with load above what hosts survive, since nothing better was found.
    pub least_bad: u64,
    /// How often the decisions had to plan afresh because orders were pending for too long.
    pub anew: u64,
    /// Findings about the guard's own model: proxies that were not in the state assumed for them.
    pub wrong: u64,
}

/// The outcome of a batch: the orders to send to the relay, and why they differ.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passed {
    pub orders: Vec<Order>,
    /// Violations of this batch that the previous batch did not have.
    pub why: Vec<Breach>,
    pub price: f64,
    pub findings: Vec<Finding>,
    /// The decisions have to plan afresh: pending orders that they count as sent were discarded.
    pub anew: bool,
}

/// What an order sets; a later order with the same subject replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Line(TableId, HostId),
    Table(TableId),
    Host(HostId),
    Binding(ProxyId, ClassId),
    Level(TableId, ClassSet),
}

/// A guard together with the orders that it held back.
pub struct Door {
    guard: Guard,
    mode: Mode,
    pending: Vec<(f64, Order)>,
    /// Violations of the previous batch, so that a lasting one is reported only once.
    reported: BTreeSet<(Rule, u64)>,
    counts: Counts,
    last: VecDeque<(f64, Breach)>,
}

impl Door {
    pub fn new(guard: Guard, mode: Mode) -> Door {
        let (pending, reported, counts, last) = (vec![], BTreeSet::new(), Counts::default(), VecDeque::new());
        Door { guard, mode, pending, reported, counts, last }
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }
    pub fn counts(&self) -> Counts {
        self.counts
    }
    /// The most recent violations with their times, oldest first.
    pub fn last(&self) -> impl Iterator<Item = &(f64, Breach)> {
        self.last.iter()
    }
    pub fn guard(&mut self) -> &mut Guard {
        &mut self.guard
    }
    pub fn owes(&self) -> usize {
        self.pending.len()
    }

    pub fn hear(&mut self, now: f64, event: &Event) {
        if self.mode == Mode::Off {
            return;
        }
        self.guard.hear(now, event);
        // The decisions bind a proxy again that left or joined again.
        if let Event::ProxyLeft { proxy } | Event::ProxyJoined { proxy, .. } = event {
            self.pending.retain(|(_, order)| !matches!(order, Order::Bind { proxy: of, .. } if of == proxy));
        }
    }

    /// Discards the pending orders, since decisions that plan afresh order everything again.
    pub fn anew(&mut self) {
        self.pending.clear();
    }

    /// Whether orders are pending, which have to be retried even if nothing new was decided.
    pub fn waits(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Checks a batch together with the pending orders, and returns what may be sent.
    pub fn pass(&mut self, now: f64, orders: Vec<Order>) -> Passed {
        if self.mode == Mode::Off {
            return Passed { orders, ..Passed::default() };
        }
        let subjects: BTreeSet<Subject> = orders.iter().flat_map(|order| self.subjects(order)).collect();
        let cleared = |table_id: &TableId| {
            subjects.contains(&Subject::Table(*table_id)) || subjects.contains(&Subject::Table(TableId::ALL))
        };
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain_mut(|(_, order)| match order {
            Order::SetEntry { table, host, .. } => {
                !subjects.contains(&Subject::Line(*table, *host)) && !cleared(table)
            }
            Order::Bind { proxy, classes, .. } => {
                let all = self.guard.facts.all();
                let mask = if *classes == ClassSet::ALL { all } else { classes.0 };
                let stays = |class: &ClassId| !subjects.contains(&Subject::Binding(*proxy, *class));
                let left =
                    crate::look::each(mask).filter(stays).fold(0, |all, class| all | ClassSet::one(class).0);
                *classes = ClassSet(left);
                left != 0
            }
            order => !subjects_of(order).iter().any(|one| subjects.contains(one)),
        });
        let since: BTreeMap<Subject, f64> = pending
            .iter()
            .flat_map(|(at, order)| self.subjects(order).into_iter().map(move |one| (one, *at)))
            .collect();
        let wanted: Vec<Order> = pending.into_iter().map(|pending| pending.1).chain(orders).collect();
        if wanted.is_empty() {
            let findings = self.take_findings();
            return Passed { findings, ..Passed::default() };
        }
        self.counts.batches += 1;
        let verdict = self.guard.judge(now, &wanted);
        let mut passed = Passed::default();
        let (out, why) = match verdict {
            Verdict::Accepted => (wanted.clone(), vec![]),
            Verdict::Mended { orders, why, price } => {
                passed.price = price;
                (orders, why)
            }
            // Marks only measure the progress of proxies and are harmless, so they are sent anyway.
            Verdict::Refused(breach) => {
                let mark = |order: &&Order| matches!(order, Order::Mark { .. } | Order::ForgetHost { .. });
                (wanted.iter().filter(mark).cloned().collect(), vec![breach])
            }
        };
        let refused = !why.is_empty() && out.iter().all(|order| matches!(order, Order::Mark { .. }));
        passed.why = self.record(now, why, refused, passed.price);
        passed.orders = if self.mode == Mode::Enforce { out } else { wanted.clone() };
        if self.mode == Mode::Enforce {
            self.keep_pending(now, &wanted, &passed.orders, &since);
            if self.pending.iter().any(|pending| pending.0 + MAX_PENDING < now) {
                self.counts.anew += 1;
                self.pending.clear();
                passed.anew = true;
            }
        }
        self.guard.commit(now, &passed.orders);
        passed.findings = self.take_findings();
        passed
    }

    /// Makes pending what was wanted and not sent, and the reversal of what was sent and not wanted.
    fn keep_pending(&mut self, now: f64, wanted: &[Order], out: &[Order], since: &BTreeMap<Subject, f64>) {
        let at =
            |order: &Order| subjects_of(order).iter().find_map(|one| since.get(one)).copied().unwrap_or(now);
        let mut left: Vec<&Order> = out.iter().collect();
        for order in wanted {
            if let Some(place) = left.iter().position(|one| *one == order) {
                left.remove(place);
            } else if !matches!(order, Order::Mark { .. } | Order::ForgetHost { .. }) {
                self.pending.push((at(order), order.clone()));
            }
        }
        for order in left {
            if let Order::SetEntry { table, host, .. } = order {
                let known = self
                    .pending
                    .iter()
                    .any(|(_, one)| subjects_of(one).contains(&Subject::Line(*table, *host)));
                let before = self.guard.tables.get(table).and_then(|table| table.lines.get(host)).copied();
                if !known {
                    let weight = before.unwrap_or(0.0);
                    self.pending.push((now, Order::SetEntry { table: *table, host: *host, weight }));
                }
            }
        }
    }

    /// Counts the violations and returns those that are new.
    fn record(&mut self, now: f64, why: Vec<Breach>, refused: bool, price: f64) -> Vec<Breach> {
        let key = |breach: &Breach| {
            use crate::verdict::Witness::*;
            let number = match breach.witness {
                LetIn { host } | Over { host, .. } => u64::from(host.0),
                Nothing { tbl, .. } => u64::from(tbl.0),
                Backlog { .. } => 0,
                Messages { proxy, .. } => u64::from(proxy.0),
            };
            (breach.rule, number)
        };
        let keys: BTreeSet<(Rule, u64)> = why.iter().map(key).collect();
        let new: Vec<Breach> =
            why.into_iter().filter(|breach| !self.reported.contains(&key(breach))).collect();
        self.reported = keys;
        if !new.is_empty() {
            *(if refused { &mut self.counts.refused } else { &mut self.counts.mended }) += 1;
            self.counts.least_bad += u64::from(price > 0.0);
        }
        for breach in &new {
            self.counts.by_rule[breach.rule.place()] += 1;
            self.last.push_back((now, *breach));
            if self.last.len() > KEPT_BREACHES {
                self.last.pop_front();
            }
        }
        new
    }

    fn take_findings(&mut self) -> Vec<Finding> {
        let findings = self.guard.findings();
        self.counts.wrong += findings.len() as u64;
        findings
    }

    fn subjects(&self, order: &Order) -> Vec<Subject> {
        match order {
            Order::Bind { proxy, classes, .. } if *classes == ClassSet::ALL => {
                crate::look::each(self.guard.facts.all())
                    .map(|class| Subject::Binding(*proxy, class))
                    .collect()
            }
            order => subjects_of(order),
        }
    }
}

fn subjects_of(order: &Order) -> Vec<Subject> {
    match order {
        Order::SetEntry { table, host, .. } => vec![Subject::Line(*table, *host)],
        Order::ClearTable { table } => vec![Subject::Table(*table)],
        Order::Withdraw { host, .. } => vec![Subject::Host(*host)],
        Order::Bind { proxy, classes, .. } => {
            crate::look::each(classes.0).map(|class| Subject::Binding(*proxy, class)).collect()
        }
        Order::Admit { table, classes, .. } => vec![Subject::Level(*table, *classes)],
        _ => vec![],
    }
}

/// Decisions whose orders pass through a `Door`, where no other component has to learn what the door held back.
pub struct Guarded<D> {
    inner: D,
    door: Rc<RefCell<Door>>,
}

impl<D: Decide> Guarded<D> {
    pub fn new(inner: D, door: Rc<RefCell<Door>>) -> Guarded<D> {
        Guarded { inner, door }
    }
}

impl<D: Decide> Decide for Guarded<D> {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut door = self.door.borrow_mut();
        events.iter().for_each(|event| door.hear(now, event));
        let stays = |order: &Order| {
            use Order::*;
            matches!(
                order,
                Probe { .. }
                    | StoreHint { .. }
                    | WatchList { .. }
                    | FetchList
                    | SendToPeer { .. }
                    | StartTimer { .. }
                    | Log { .. }
                    | LogHosts { .. }
            )
        };
        let (mut out, calls): (Vec<Order>, Vec<Order>) =
            self.inner.decide(now, events).into_iter().partition(stays);
        out.extend(door.pass(now, calls).orders);
        // No call is written twice here, so each counts as answered at once.
        let place = door.guard().place();
        door.guard().answered(now, place);
        out
    }
}
