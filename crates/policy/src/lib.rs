//! amberarch's decisions. Make one [`Steward`] from its start facts, hand all events of one moment to `decide`,
//! and carry out the orders that come back, in their order. docs/design.md tells the design and its departures.

use amberarch_books::*;
use amberarch_core::*;
use std::collections::{BTreeMap, BTreeSet};

mod bind_wait;
mod binds;
mod health;
mod hear;
mod levels;
mod limits;
mod parts;
mod plan;
mod publish;
mod reply;
mod seats;
mod stall;

pub use parts::{BESIDE, FULL_LOAD};
use {bind_wait::*, health::*, levels::*, limits::*, parts::*, plan::*, reply::*, seats::*, stall::*};

pub struct Steward {
    post: Post,
    products: Vec<Product>,
    sla: f64,
    sidecars: Sidecars,
    warmup: Warmup,
    sums: Sums,
    roster: Roster,
    failures: i32,
    ask_at: f64,
    channel: Channel,
    waiting: Waiting,
    stall: Stall,
    /// A withdrawal waits for room in the channel.
    held_up: bool,
    bind_wait: BindWait,
    hosts: BTreeMap<HostId, Host>,
    proxies: BTreeMap<ProxyId, Proxy>,
    told: Told,
    spill: Spill,
    levels: BTreeMap<ZoneId, Level>,
    /// What a level of reduced service lets in; until it is known what is in force, none is ordered.
    bounds: BTreeMap<(ZoneId, ProductId), (f64, Tries)>,
    awaits: bool,
    usual_voided: f64,
    best: f64,
    present: Present,
    room: f64,
    strained: bool,
    /// The part of their listed weight that hosts of a kind carry, and when that was last changed.
    kinds: BTreeMap<KindId, (f64, f64)>,
    summed_at: f64,
    cover: f64,
    planned_at: f64,
    still_until: f64,
    urgent: bool,
    fresh: bool,
}

const TICK: f64 = PROBE_PERIOD / 5.0;

impl Decide for Steward {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        let mut out = Vec::new();
        events.iter().for_each(|event| self.hear(now, event));
        self.waiting.settle_departures();
        self.present.settle_departures();
        let due = std::mem::take(&mut self.fresh) || events.iter().any(|e| matches!(e, Event::Due { .. }));
        out.extend(due.then_some(Order::Timer { after: TICK, timer: TimerId(0) }));
        // Where the list must be asked it is watched; after a failure asked again, ever more rarely.
        if self.roster.asked && now >= self.ask_at {
            self.ask_at = f64::MAX;
            out.push(Order::Watch { on: true });
        }
        // Guards CPU: plans go by the clock, at once only on news of list or gates. No slices decided yet.
        if self.post.slices == 0 && (due || self.urgent && now >= self.planned_at + TICK / 4.0) {
            self.judge(now, &mut out);
            let wanted = self.want(now);
            self.waiting.fade((now - self.planned_at) * self.channel.lines_per_s / 2e3);
            (self.urgent, self.planned_at) = (false, now);
            self.publish(now, wanted, &mut out);
        }
        out
    }
}

impl Steward {
    #[rustfmt::skip]
    pub fn new(
        post: Post, products: Vec<Product>, channel: Channel, sidecars: Sidecars, warmup: Warmup,
        roster: Roster, sums: Sums,
    ) -> Self {
        let sla = products.iter().map(|product| product.sla).sum::<f64>() / products.len().max(1) as f64;
        let (told, present) = (Told::new(&products, post.zones), Present::new(post.zones));
        Steward {
            post, products, sla, sidecars, warmup, sums, channel, roster, waiting: Waiting::default(),
            stall: Stall::default(), held_up: false, bind_wait: BindWait::default(),
            cover: 0.0, best: 0.0, room: 0.0, failures: 0, ask_at: f64::MIN, spill: BTreeMap::new(), told,
            present, fresh: true, urgent: false, levels: BTreeMap::new(), kinds: BTreeMap::new(),
            hosts: BTreeMap::new(), proxies: BTreeMap::new(), usual_voided: 0.0, bounds: BTreeMap::new(),
            awaits: false, summed_at: f64::MIN, strained: false, planned_at: f64::MIN, still_until: f64::MIN,
        }
    }
}
