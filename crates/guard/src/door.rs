//! The one door to the proxies: what decisions order goes through it, and what is held back is owed. Decisions count
//! all that they ordered as sent; so what they want stands, and what the guard did not let through is tried again with
//! each batch, until it passes, or a later order says otherwise. Nothing is lost by it, and nothing goes round: what
//! is owed for too long makes the decisions start anew, once.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use amberarch_core::*;

use crate::model::{Finding, Guard};
use crate::verdict::{Breach, Rule, Verdict};

/// What is owed for so long is told to the decisions: longer than a cold host needs for a step, and than a drain's
/// grace. In ms.
const OWED_FOR: f64 = 20_000.0;
/// The last refusals that are kept for those who ask.
const KEPT: usize = 32;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Off,
    /// Counts and tells what it would hold back, and lets all through.
    Watch,
    Enforce,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub batches: u64,
    pub mended: u64,
    pub refused: u64,
    /// By rule, in their order.
    pub by_rule: [u64; 4],
    /// Batches that went out above what hosts survive, since nothing better was found.
    pub least_bad: u64,
    /// What decisions heard of, as it was owed for too long.
    pub anew: u64,
    /// Proxies that were found not to be where they were thought to be.
    pub wrong: u64,
}

/// What goes to the relay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passed {
    pub orders: Vec<Order>,
    /// What was found wrong with the batch, and was not with the one before.
    pub why: Vec<Breach>,
    pub price: f64,
    pub findings: Vec<Finding>,
    /// The decisions have to plan anew: what they count as ordered won't be.
    pub anew: bool,
}

/// What an order is about; a later one of the same replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum About {
    Line(TableId, HostId),
    Table(TableId),
    Host(HostId),
    Use(ProxyId, ClassId),
    Level(TableId, ClassSet),
}

pub struct Door {
    guard: Guard,
    mode: Mode,
    owed: Vec<(f64, Order)>,
    /// Told already, so that what is owed is told once.
    told: BTreeSet<(Rule, u64)>,
    counts: Counts,
    last: VecDeque<(f64, Breach)>,
}

impl Door {
    pub fn new(guard: Guard, mode: Mode) -> Door {
        let (owed, told, counts, last) = (vec![], BTreeSet::new(), Counts::default(), VecDeque::new());
        Door { guard, mode, owed, told, counts, last }
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }
    pub fn counts(&self) -> Counts {
        self.counts
    }
    /// The last ones, and when.
    pub fn last(&self) -> impl Iterator<Item = &(f64, Breach)> {
        self.last.iter()
    }
    pub fn guard(&mut self) -> &mut Guard {
        &mut self.guard
    }
    pub fn owes(&self) -> usize {
        self.owed.len()
    }

    pub fn hear(&mut self, now: f64, event: &Event) {
        if self.mode == Mode::Off {
            return;
        }
        self.guard.hear(now, event);
        // One that left, or joined anew, is bound anew by the decisions.
        if let Event::ProxyLeft { proxy } | Event::ProxyJoined { proxy, .. } = event {
            self.owed.retain(|(_, order)| !matches!(order, Order::Bind { proxy: of, .. } if of == proxy));
        }
    }

    /// Decisions that start anew owe nothing: they order all anew.
    pub fn anew(&mut self) {
        self.owed.clear();
    }

    /// Whether something is owed, which has to be tried though nothing was decided.
    pub fn waits(&self) -> bool {
        !self.owed.is_empty()
    }

    /// A batch, and what may go out.
    pub fn pass(&mut self, now: f64, orders: Vec<Order>) -> Passed {
        if self.mode == Mode::Off {
            return Passed { orders, ..Passed::default() };
        }
        let about: BTreeSet<About> = orders.iter().flat_map(|order| self.about(order)).collect();
        let cleared = |tbl: &TableId| {
            about.contains(&About::Table(*tbl)) || about.contains(&About::Table(TableId::ALL))
        };
        let mut owed = std::mem::take(&mut self.owed);
        owed.retain_mut(|(_, order)| match order {
            Order::SetEntry { table, host, .. } => {
                !about.contains(&About::Line(*table, *host)) && !cleared(table)
            }
            Order::Bind { proxy, classes, .. } => {
                let all = self.guard.facts.all();
                let mask = if *classes == ClassSet::ALL { all } else { classes.0 };
                let stays = |product: &ClassId| !about.contains(&About::Use(*proxy, *product));
                let left = crate::look::each(mask)
                    .filter(stays)
                    .fold(0, |all, product| all | ClassSet::one(product).0);
                *classes = ClassSet(left);
                left != 0
            }
            order => !about_of(order).iter().any(|one| about.contains(one)),
        });
        let since: BTreeMap<About, f64> = owed
            .iter()
            .flat_map(|(at, order)| self.about(order).into_iter().map(move |one| (one, *at)))
            .collect();
        let wanted: Vec<Order> = owed.into_iter().map(|owed| owed.1).chain(orders).collect();
        if wanted.is_empty() {
            let findings = self.found();
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
            // Its mark says how far proxies have come, and is nobody's harm.
            Verdict::Refused(breach) => {
                let mark = |order: &&Order| matches!(order, Order::Mark { .. } | Order::ForgetHost { .. });
                (wanted.iter().filter(mark).cloned().collect(), vec![breach])
            }
        };
        let refused = !why.is_empty() && out.iter().all(|order| matches!(order, Order::Mark { .. }));
        passed.why = self.tell(now, why, refused, passed.price);
        passed.orders = if self.mode == Mode::Enforce { out } else { wanted.clone() };
        if self.mode == Mode::Enforce {
            self.owe(now, &wanted, &passed.orders, &since);
            if self.owed.iter().any(|owed| owed.0 + OWED_FOR < now) {
                self.counts.anew += 1;
                self.owed.clear();
                passed.anew = true;
            }
        }
        self.guard.commit(now, &passed.orders);
        passed.findings = self.found();
        passed
    }

    /// What was wanted and did not go out; and what went out and was not wanted is to be taken back.
    fn owe(&mut self, now: f64, wanted: &[Order], out: &[Order], since: &BTreeMap<About, f64>) {
        let at =
            |order: &Order| about_of(order).iter().find_map(|one| since.get(one)).copied().unwrap_or(now);
        let mut left: Vec<&Order> = out.iter().collect();
        for order in wanted {
            if let Some(place) = left.iter().position(|one| *one == order) {
                left.remove(place);
            } else if !matches!(order, Order::Mark { .. } | Order::ForgetHost { .. }) {
                self.owed.push((at(order), order.clone()));
            }
        }
        for order in left {
            if let Order::SetEntry { table, host, .. } = order {
                let known =
                    self.owed.iter().any(|(_, one)| about_of(one).contains(&About::Line(*table, *host)));
                let before = self.guard.tables.get(table).and_then(|table| table.lines.get(host)).copied();
                if !known {
                    let weight = before.unwrap_or(0.0);
                    self.owed.push((now, Order::SetEntry { table: *table, host: *host, weight }));
                }
            }
        }
    }

    /// Counts what was found, and gives what is new of it.
    fn tell(&mut self, now: f64, why: Vec<Breach>, refused: bool, price: f64) -> Vec<Breach> {
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
        let new: Vec<Breach> = why.into_iter().filter(|breach| !self.told.contains(&key(breach))).collect();
        self.told = keys;
        if !new.is_empty() {
            *(if refused { &mut self.counts.refused } else { &mut self.counts.mended }) += 1;
            self.counts.least_bad += u64::from(price > 0.0);
        }
        for breach in &new {
            self.counts.by_rule[breach.rule.place()] += 1;
            self.last.push_back((now, *breach));
            if self.last.len() > KEPT {
                self.last.pop_front();
            }
        }
        new
    }

    fn found(&mut self) -> Vec<Finding> {
        let findings = self.guard.findings();
        self.counts.wrong += findings.len() as u64;
        findings
    }

    fn about(&self, order: &Order) -> Vec<About> {
        match order {
            Order::Bind { proxy, classes, .. } if *classes == ClassSet::ALL => {
                crate::look::each(self.guard.facts.all()).map(|product| About::Use(*proxy, product)).collect()
            }
            order => about_of(order),
        }
    }
}

fn about_of(order: &Order) -> Vec<About> {
    match order {
        Order::SetEntry { table, host, .. } => vec![About::Line(*table, *host)],
        Order::ClearTable { table } => vec![About::Table(*table)],
        Order::Withdraw { host, .. } => vec![About::Host(*host)],
        Order::Bind { proxy, classes, .. } => {
            crate::look::each(classes.0).map(|product| About::Use(*proxy, product)).collect()
        }
        Order::Admit { table, classes, .. } => vec![About::Level(*table, *classes)],
        _ => vec![],
    }
}

/// Decisions behind the door, where nothing stands between them and the proxies that would have to hear of it.
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
            )
        };
        let (mut out, calls): (Vec<Order>, Vec<Order>) =
            self.inner.decide(now, events).into_iter().partition(stays);
        out.extend(door.pass(now, calls).orders);
        // Nothing here is written twice.
        let place = door.guard().place();
        door.guard().answered(now, place);
        out
    }
}
