//! The events that go into the decisions of a controller, and the orders that come out.
//!
//! A front end (the simulator adapter `amberarch-wirehost`, or the event loop of `amberarch-steward`)
//! translates its input into [`Event`]s and carries out the [`Order`]s that it gets. Times are milliseconds
//! with fractions, measured from an arbitrary origin. This crate makes no decisions.

/// A host of the fleet; the front end keeps the name that belongs to the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A proxy of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u16);

/// A zone: a failure domain of hosts and proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// The id of a routing table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TblId(pub u16);

impl TblId {
    /// For admission levels only: all joined proxies, whatever table they use.
    pub const ALL: TblId = TblId(u16::MAX);
}

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProductId(pub u16);

/// The group of hosts within which a repeated txn is deduplicated by its key, where the scope is
/// [`Scope::Pod`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PodId(pub u32);

/// An instance type; it only states which hosts are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

/// A slice of the fleet that one controller at a time decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceId(pub u16);

/// Another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u16);

/// Identifies a timer that was started by [`Order::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Identifies a mark: a proxy answers it once it has applied all orders sent before it. Ids wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MarkId(pub u16);

/// A set of request classes as a bit mask of their ids; zero stands for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Products(pub u64);

impl Products {
    pub const ALL: Products = Products(0);

    /// The set of one request class.
    pub fn one(product: ProductId) -> Products {
        Products(1 << product.0.min(63))
    }
}

/// A set of zones as a bit mask of their ids; a deployment with residency rules has 128 zones at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zones(pub u128);

impl Zones {
    pub const NONE: Zones = Zones(0);
    pub const ALL: Zones = Zones(u128::MAX);
    /// The number of zones that a set can hold.
    pub const MOST: u16 = 128;

    /// The set of one zone; empty for a zone that a set cannot hold.
    pub fn one(zone: ZoneId) -> Zones {
        Zones(1u128.checked_shl(u32::from(zone.0)).unwrap_or(0))
    }
    /// Whether the zone is in the set.
    pub fn has(self, zone: ZoneId) -> bool {
        self.0 & Zones::one(zone).0 != 0
    }
    /// The zones in both sets.
    pub fn and(self, other: Zones) -> Zones {
        Zones(self.0 & other.0)
    }
    /// The zones in either set.
    pub fn or(self, other: Zones) -> Zones {
        Zones(self.0 | other.0)
    }
    /// The zones of this set that are not in the other.
    pub fn less(self, other: Zones) -> Zones {
        Zones(self.0 & !other.0)
    }
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
    /// The zones of the set, in the order of their ids.
    pub fn each(self) -> impl Iterator<Item = ZoneId> {
        (0..Zones::MOST).map(ZoneId).filter(move |zone| self.has(*zone))
    }
}

impl FromIterator<ZoneId> for Zones {
    fn from_iter<I: IntoIterator<Item = ZoneId>>(zones: I) -> Zones {
        zones.into_iter().fold(Zones::NONE, |all, zone| all.or(Zones::one(zone)))
    }
}

/// Settings of one controller instance: its place in the fleet and what the site permits it to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// Seed of everything random.
    pub seed: u64,
    pub zone: ZoneId,
    /// The number of zones.
    pub zones: u16,
    /// The number of controllers.
    pub stewards: u32,
    /// Proxies join a controller of their own zone, where there is one.
    pub by_zone: bool,
    /// The number of slices that the fleet is divided into; zero: none.
    pub slices: u32,
    /// Whether the controller may probe hosts.
    pub may_probe: bool,
}

/// Whether a txn of a request class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: repeats do no harm.
    InquiryLike,
    /// A repeated txn is deduplicated by its key at the hosts of the scope, within the window.
    Referenced,
    /// Not idempotent: it must be executed once at the most.
    OnceOnly,
}

/// The hosts that deduplicate the repeats of a txn together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Pod,
}

/// Settings of a request class. Times are in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    /// Latency target.
    pub sla: f64,
    /// Deadline: a later answer has no value.
    pub expiry: f64,
    pub effect: Effect,
    pub scope: Scope,
    /// How long hosts remember the key of a txn for deduplication.
    pub window: f64,
    /// Value of a txn that is answered within the latency target.
    pub revenue: f64,
    /// The fraction of the value of a txn that is answered after the latency target, but by the deadline.
    pub late_part: f64,
    /// Txns must be served in the zone where they arrive.
    pub own_zone: bool,
    /// Txns write data.
    pub writes: bool,
}

/// The limits of the channel that carries orders from the controller to its proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Channel {
    /// Lines that the channel sends per second.
    pub lines_per_s: f64,
    /// Overhead of a message, in lines.
    pub head: f64,
    /// The most lines that may be queued.
    pub backlog: f64,
    /// The most messages to one proxy within `messages_over`; zero: no such limit.
    pub messages: u32,
    /// The window in ms that `messages` limits.
    pub messages_over: f64,
    /// Usual time in ms from the channel to a proxy.
    pub transit: f64,
    /// Longest time in ms from the channel to a proxy.
    pub transit_worst: f64,
}

/// The kind of admission level that proxies accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    /// No admission levels.
    Off,
    /// The fraction of txns to admit.
    Share,
    /// The number of txns to admit per second.
    Rate,
}

/// Settings of the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Sidecars {
    /// The number of proxies, over all controllers.
    pub count: u32,
    /// The most hosts in the table that a proxy starts with.
    pub standing: u32,
    /// The time in ms that a proxy may be without a usable host while its controller lists a ready one.
    pub bare_for: f64,
    pub levels: LevelKind,
    /// How often a proxy tries a txn if no level states it.
    pub usual_tries: Tries,
    pub try_wait: f64,
}

/// How a newly started host warms up, and which overload it survives.
#[derive(Clone, Debug, PartialEq)]
pub struct Warmup {
    /// The fraction of its capacity that a host has right after its start.
    pub from: f64,
    /// The time in ms after which a host has its full capacity.
    pub within: f64,
    /// The multiple of its capacity at which a host fails if the load lasts.
    pub multiple: f64,
    /// How long in ms such a load lasts until the host fails.
    pub fall_after: f64,
}

/// How the host list is obtained, and how soon its drains have to be in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// The list has to be requested; otherwise it is pushed.
    pub asked: bool,
    /// The time in ms after which a controller that has not requested the list counts as informed.
    pub ask_within: f64,
    /// The time in ms within which a drain has to be in force at a proxy.
    pub grace: f64,
    /// The removal of a host from the list alone does not require that it is drained.
    pub removal_not_binding: bool,
}

/// Settings of the traffic reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    /// The interval of the reports, in ms.
    pub every: f64,
    /// How many report lines are accepted per second.
    pub lines_per_s: f64,
}

/// How often a proxy may try a txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tries {
    One,
    /// A second try at another host, once it is proven that the first one was never executed.
    AfterProof,
    /// A second try after any failure.
    AfterAny,
    /// Up to two more tries after any failure.
    TwiceAfterAny,
}

/// The state of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    On,
    /// It must get no new txns.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub host: HostId,
    pub weight: f64,
    pub zone: ZoneId,
    pub pod: PodId,
    pub kind: KindId,
    /// When the host last started, if known; none: long ago.
    pub born: Option<f64>,
    pub standing: Standing,
}

/// What a host list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
    /// Only the entries that changed.
    Changes,
    /// The whole list: hosts that it lacks have left it.
    Whole,
    /// The whole list as the instance last had it, possibly out of date.
    Restored,
    /// A call failed or the watch broke; the previous list stays in force.
    Failed,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Answered,
    Errored,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Unknown,
}

/// The load that a host reports about itself; values that it does not report are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Txns being processed.
    pub in_hand: Option<f64>,
    /// Txns in the queue of the host.
    pub waiting: Option<f64>,
    /// Utilization.
    pub busy: Option<f64>,
    /// Latency in ms.
    pub service: Option<f64>,
}

/// Input of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The host list, or changes of it.
    List { news: ListNews, entries: Vec<Listed> },
    /// A proxy joined this controller. `txns_per_s` is its rate of txns; `fresh`: it holds no table that a
    /// controller ordered.
    Joined { proxy: ProxyId, zone: ZoneId, txns_per_s: f64, fresh: bool },
    /// A proxy left this controller.
    Left { proxy: ProxyId },
    /// Host report: tries of the joined proxies of a zone at a host.
    Met { host: HostId, zone: ZoneId, over: f64, tries: u32, voided: u32, mean: f64, report: LoadReport },
    /// Proxy report: txns that arrived at a proxy; `voided` counts those that were admitted and failed.
    Came { proxy: ProxyId, product: ProductId, txns: u32, voided: u32, over: f64 },
    /// The result of a probe; `took` is its duration in ms.
    Probed { host: HostId, outcome: Outcome, took: f64, report: LoadReport },
    /// The estimated load of a host from its own reports, after these were ordered and weighed; 1 is full.
    /// `age` is the time in ms since the newest of them was observed, `sure` the confidence from 0 (no
    /// estimate) to 1.
    Load { host: HostId, load: f64, age: f64, sure: f64 },
    /// Warm-start hint: what an earlier controller learned about a host, weighed by its age: the fraction of
    /// its listed weight that it carried, and whether it was gated. It never outranks a probe or a traffic
    /// report.
    Hint { host: HostId, part: f64, shut: bool },
    /// A reduced service level is in force in a zone: at most this share of the request class is admitted,
    /// with at most these tries. It is in force until the next event for the same pair.
    Bound { zone: ZoneId, product: ProductId, share: f64, tries: Tries },
    /// Txns of the request class that arrive at proxies of the zone may be served only by hosts in these
    /// zones; with no zone, nothing may serve them. It is in force until the next event for the same pair;
    /// [`Zones::ALL`] lifts it.
    Reach { zone: ZoneId, product: ProductId, zones: Zones },
    /// While this is on, the levels in force at the proxies are not known yet, and no level is ordered.
    Await { on: bool },
    /// A proxy has applied everything up to the mark; `took` is the time in ms that this took.
    Applied { proxy: ProxyId, mark: MarkId, took: f64 },
    /// Everything sent with the marks from the first to the last was delivered as one call, as one message to
    /// each proxy with the marks in it: the answer of one proxy proves nothing about the messages to others.
    Together { first: MarkId, last: MarkId },
    /// The call with this mark may have been delivered twice.
    Again { mark: MarkId },
    /// A part of the call with this mark was accepted; the rest is sent as a call of its own, with one more
    /// message to each of its proxies.
    Parted { mark: MarkId },
    /// Calls do not reach the relay, or do so again: orders made meanwhile reach the relay later, and also
    /// the proxies that have joined by then.
    Behind { on: bool },
    /// A timer has expired.
    Due { timer: TimerId },
    /// A slice was assigned to this controller, or taken from it.
    SliceGiven { slice: SliceId, ours: bool },
    /// A table entry of the slice that is in force.
    SliceLine { slice: SliceId, host: HostId, weight: f64 },
    /// Txns of a request class that arrived in a slice; `over` is the covered time in ms.
    SliceCame { slice: SliceId, product: ProductId, txns: u32, voided: u32, over: f64 },
    /// A message from another controller.
    Peer { from: PeerId, blob: Vec<u8> },
}

/// Output of the decisions; orders are carried out in sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sets one entry of a table; a weight of zero removes it.
    Share { tbl: TblId, host: HostId, weight: f64 },
    /// Removes all entries of a table.
    Clear { tbl: TblId },
    /// Withdraws a host from every table that joined proxies hold, or restores it.
    Withdraw { host: HostId, out: bool },
    /// Makes a proxy use the table for these request classes.
    Bind { proxy: ProxyId, tbl: TblId, products: Products },
    /// Sets the admission level and the tries of request classes for the users of a table.
    Admit { tbl: TblId, products: Products, level: f64, tries: Tries },
    /// Asks proxies for an answer once all orders before it are applied: those that got orders of this reply,
    /// or all joined proxies if `everyone` is set.
    Mark { mark: MarkId, everyone: bool },
    /// Sends a probe to the host.
    Probe { host: HostId },
    /// The host now carries another fraction of its listed weight, because of its measured speed; to be
    /// stored as a hint for a later controller.
    Learnt { host: HostId, part: f64 },
    /// No order will name this host again, unless the host list does.
    Forget { host: HostId },
    /// Starts or stops the watch of the host list.
    Watch { on: bool },
    /// Requests the whole host list once.
    Fetch,
    /// Sends a message to another controller, or to all.
    Tell { peer: Option<PeerId>, blob: Vec<u8> },
    /// Starts a timer that expires after so many ms.
    Timer { after: f64, timer: TimerId },
    /// Writes a line to the log.
    Log { text: String },
}

/// The decisions of a controller: all events of one moment go in, all orders for that moment come out.
pub trait Decide {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order>;
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        (**self).decide(now, events)
    }
}
