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
pub struct TableId(pub u16);

impl TableId {
    /// For admission levels only: all joined proxies, whatever table they use.
    pub const ALL: TableId = TableId(u16::MAX);
}

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// The group of hosts within which a repeated txn is deduplicated by its key, where the scope is
/// [`DedupScope::Pod`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PodId(pub u32);

/// An instance type; it only states which hosts are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceTypeId(pub u16);

/// A slice of the fleet that one controller at a time decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceId(pub u16);

/// Another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u16);

/// Identifies a timer that was started by [`Order::StartTimer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Identifies a mark: a proxy answers it once it has applied all orders sent before it. Ids wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MarkId(pub u16);

/// A set of request classes as a bit mask of their ids; zero stands for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassSet(pub u64);

impl ClassSet {
    pub const ALL: ClassSet = ClassSet(0);

    /// The set of one request class.
    pub fn one(class: ClassId) -> ClassSet {
        ClassSet(1 << class.0.min(63))
    }
}

/// A set of zones as a bit mask of their ids; a deployment with residency rules has 128 zones at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zones(pub u128);

impl Zones {
    pub const NONE: Zones = Zones(0);
    pub const ALL: Zones = Zones(u128::MAX);
    /// The number of zones that a set can hold.
    pub const CAPACITY: u16 = 128;

    /// The set of one zone; empty for a zone that a set cannot hold.
    pub fn one(zone: ZoneId) -> Zones {
        Zones(1u128.checked_shl(u32::from(zone.0)).unwrap_or(0))
    }
    /// Whether the zone is in the set.
    pub fn contains(self, zone: ZoneId) -> bool {
        self.0 & Zones::one(zone).0 != 0
    }
    /// The zones in both sets.
    pub fn intersection(self, other: Zones) -> Zones {
        Zones(self.0 & other.0)
    }
    /// The zones in either set.
    pub fn union(self, other: Zones) -> Zones {
        Zones(self.0 | other.0)
    }
    /// The zones of this set that are not in the other.
    pub fn difference(self, other: Zones) -> Zones {
        Zones(self.0 & !other.0)
    }
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
    /// The zones of the set, in the order of their ids.
    pub fn iter(self) -> impl Iterator<Item = ZoneId> {
        (0..Zones::CAPACITY).map(ZoneId).filter(move |zone| self.contains(*zone))
    }
}

impl FromIterator<ZoneId> for Zones {
    fn from_iter<I: IntoIterator<Item = ZoneId>>(zones: I) -> Zones {
        zones.into_iter().fold(Zones::NONE, |all, zone| all.union(Zones::one(zone)))
    }
}

/// Settings of one controller instance: its place in the fleet and what the site permits it to do.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Seed of everything random.
    pub seed: u64,
    pub zone: ZoneId,
    /// The number of zones.
    pub zone_count: u16,
    /// The number of controllers.
    pub controllers: u32,
    /// Proxies join a controller of their own zone, where there is one.
    pub proxies_by_zone: bool,
    /// The number of slices that the fleet is divided into; zero: none.
    pub slice_count: u32,
    /// Whether the controller may probe hosts.
    pub may_probe: bool,
}

/// Whether a txn of a request class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: repeats do no harm.
    Idempotent,
    /// A repeated txn is deduplicated by its key at the hosts of the scope, within the window.
    Deduplicated,
    /// Not idempotent: it must be executed once at the most.
    NonIdempotent,
}

/// The hosts that deduplicate the repeats of a txn together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Pod,
}

/// Settings of a request class. Times are in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency target.
    pub latency_target: f64,
    /// Deadline: a later answer has no value.
    pub deadline: f64,
    pub idempotency: Idempotency,
    pub scope: DedupScope,
    /// How long hosts remember the key of a txn for deduplication.
    pub dedup_window: f64,
    /// Value of a txn that is answered within the latency target.
    pub value: f64,
    /// The fraction of the value of a txn that is answered after the latency target, but by the deadline.
    pub late_value_fraction: f64,
    /// Txns must be served in the zone where they arrive.
    pub home_zone_only: bool,
    /// Txns write data.
    pub writes: bool,
}

/// The limits of the channel that carries orders from the controller to its proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Channel {
    /// Lines that the channel sends per second.
    pub lines_per_s: f64,
    /// Overhead of a message, in lines.
    pub message_overhead: f64,
    /// The most lines that may be queued.
    pub max_backlog: f64,
    /// The most messages to one proxy within `message_window`; zero: no such limit.
    pub max_messages: u32,
    /// The window in ms that `max_messages` limits.
    pub message_window: f64,
    /// Usual time in ms from the channel to a proxy.
    pub typical_transit: f64,
    /// Longest time in ms from the channel to a proxy.
    pub max_transit: f64,
}

/// The kind of admission level that proxies accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    /// No admission levels.
    Off,
    /// The fraction of txns to admit.
    Fraction,
    /// The number of txns to admit per second.
    PerSecond,
}

/// Settings of the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// The number of proxies, over all controllers.
    pub proxy_count: u32,
    /// The most hosts in the table that a proxy starts with.
    pub bootstrap_hosts: u32,
    /// The time in ms that a proxy may be without a usable host while its controller lists a ready one.
    pub max_time_without_host: f64,
    pub level_kind: LevelKind,
    /// How often a proxy tries a txn if no level states it.
    pub default_tries: RetryPolicy,
    pub try_factor: f64,
}

/// How a newly started host warms up, and which overload it survives.
#[derive(Clone, Debug, PartialEq)]
pub struct Warmup {
    /// The fraction of its capacity that a host has right after its start.
    pub initial_capacity: f64,
    /// The time in ms after which a host has its full capacity.
    pub duration: f64,
    /// The multiple of its capacity at which a host fails if the load lasts.
    pub failure_load: f64,
    /// How long in ms such a load lasts until the host fails.
    pub failure_after: f64,
}

/// How the host list is obtained, and how soon its drains have to be in force.
#[derive(Clone, Debug, PartialEq)]
pub struct HostListSettings {
    /// The list has to be requested; otherwise it is pushed.
    pub on_request: bool,
    /// The time in ms after which a controller that has not requested the list counts as informed.
    pub request_within: f64,
    /// The time in ms within which a drain has to be in force at a proxy.
    pub drain_grace: f64,
    /// The removal of a host from the list alone does not require that it is drained.
    pub removal_not_binding: bool,
}

/// Settings of the traffic reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportSettings {
    /// The interval of the reports, in ms.
    pub interval: f64,
    /// How many report lines are accepted per second.
    pub max_lines_per_s: f64,
}

/// How often a proxy may try a txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
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
pub enum Availability {
    InService,
    /// It must get no new txns.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    pub weight: f64,
    pub zone: ZoneId,
    pub pod: PodId,
    pub instance_type: InstanceTypeId,
    /// When the host last started, if known; none: long ago.
    pub started_at: Option<f64>,
    pub availability: Availability,
}

/// What a host list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
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
pub enum ProbeOutcome {
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
    pub in_flight: Option<f64>,
    /// Txns in the queue of the host.
    pub queued: Option<f64>,
    /// Utilization.
    pub utilization: Option<f64>,
    /// Latency in ms.
    pub latency: Option<f64>,
}

/// Input of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The host list, or changes of it.
    List { update: ListUpdate, entries: Vec<HostEntry> },
    /// A proxy joined this controller. `txns_per_s` is its rate of txns; `without_table`: it holds no table that a
    /// controller ordered.
    ProxyJoined { proxy: ProxyId, zone: ZoneId, txns_per_s: f64, without_table: bool },
    /// A proxy left this controller.
    ProxyLeft { proxy: ProxyId },
    /// Host report: tries of the joined proxies of a zone at a host.
    HostReport {
        host: HostId,
        zone: ZoneId,
        covered: f64,
        tries: u32,
        failed: u32,
        mean_latency: f64,
        load: LoadReport,
    },
    /// Proxy report: txns that arrived at a proxy; `failed` counts those that were admitted and failed.
    ProxyReport { proxy: ProxyId, class: ClassId, txns: u32, failed: u32, covered: f64 },
    /// The result of a probe; `duration` is its duration in ms.
    ProbeResult { host: HostId, outcome: ProbeOutcome, duration: f64, load: LoadReport },
    /// The estimated load of a host from its own reports, after these were ordered and weighed; 1 is full.
    /// `age` is the time in ms since the newest of them was observed, `confidence` the confidence from 0 (no
    /// estimate) to 1.
    LoadEstimate { host: HostId, load: f64, age: f64, confidence: f64 },
    /// Warm-start hint: what an earlier controller learned about a host, weighed by its age: the fraction of
    /// its listed weight that it carried, and whether it was gated. It never outranks a probe or a traffic
    /// report.
    WarmStartHint { host: HostId, latency_factor: f64, gated: bool },
    /// A reduced service level is in force in a zone: at most this share of the request class is admitted,
    /// with at most these tries. It is in force until the next event for the same pair.
    ServiceBound { zone: ZoneId, class: ClassId, max_share: f64, max_tries: RetryPolicy },
    /// Txns of the request class that arrive at proxies of the zone may be served only by hosts in these
    /// zones; with no zone, nothing may serve them. It is in force until the next event for the same pair;
    /// [`Zones::ALL`] lifts it.
    ReachRule { zone: ZoneId, class: ClassId, allowed_zones: Zones },
    /// While this is on, the levels in force at the proxies are not known yet, and no level is ordered.
    LevelsUnknown { on: bool },
    /// A proxy has applied everything up to the mark; `duration` is the time in ms that this took.
    MarkApplied { proxy: ProxyId, mark: MarkId, duration: f64 },
    /// Everything sent with the marks from the first to the last was delivered as one call, as one message to
    /// each proxy with the marks in it: the answer of one proxy proves nothing about the messages to others.
    CallsMerged { first: MarkId, last: MarkId },
    /// The call with this mark may have been delivered twice.
    CallDuplicated { mark: MarkId },
    /// A part of the call with this mark was accepted; the rest is sent as a call of its own, with one more
    /// message to each of its proxies.
    CallSplit { mark: MarkId },
    /// Calls do not reach the relay, or do so again: orders made meanwhile reach the relay later, and also
    /// the proxies that have joined by then.
    RelayDelayed { on: bool },
    /// A timer has expired.
    TimerExpired { timer: TimerId },
    /// A slice was assigned to this controller, or taken from it.
    SliceAssigned { slice: SliceId, owned: bool },
    /// A table entry of the slice that is in force.
    SliceEntry { slice: SliceId, host: HostId, weight: f64 },
    /// Txns of a request class that arrived in a slice; `covered` is the covered time in ms.
    SliceReport { slice: SliceId, class: ClassId, txns: u32, failed: u32, covered: f64 },
    /// A message from another controller.
    PeerMessage { from: PeerId, payload: Vec<u8> },
}

/// Output of the decisions; orders are carried out in sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sets one entry of a table; a weight of zero removes it.
    SetEntry { table: TableId, host: HostId, weight: f64 },
    /// Removes all entries of a table.
    ClearTable { table: TableId },
    /// Withdraws a host from every table that joined proxies hold, or restores it.
    Withdraw { host: HostId, withdrawn: bool },
    /// Makes a proxy use the table for these request classes.
    Bind { proxy: ProxyId, table: TableId, classes: ClassSet },
    /// Sets the admission level and the tries of request classes for the users of a table.
    Admit { table: TableId, classes: ClassSet, level: f64, tries: RetryPolicy },
    /// Asks proxies for an answer once all orders before it are applied: those that got orders of this reply,
    /// or all joined proxies if `all_proxies` is set.
    Mark { mark: MarkId, all_proxies: bool },
    /// Sends a probe to the host.
    Probe { host: HostId },
    /// The host now carries another fraction of its listed weight, because of its measured speed; to be
    /// stored as a hint for a later controller.
    StoreHint { host: HostId, latency_factor: f64 },
    /// No order will name this host again, unless the host list does.
    ForgetHost { host: HostId },
    /// Starts or stops the watch of the host list.
    WatchList { on: bool },
    /// Requests the whole host list once.
    FetchList,
    /// Sends a message to another controller, or to all.
    SendToPeer { peer: Option<PeerId>, payload: Vec<u8> },
    /// Starts a timer that expires after so many ms.
    StartTimer { after: f64, timer: TimerId },
    /// Writes a line to the log.
    Log { text: String },
    /// Writes a line to the log, with the names of the hosts that it is about.
    LogHosts { text: String, hosts: Vec<HostId> },
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
