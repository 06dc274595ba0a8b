//! What goes into a steward's decisions and what comes out of them.
//!
//! A front (today the line protocol of `amberarch-wirehost`) turns what it hears into [`Event`]s
//! and carries out the [`Order`]s it is given. Times are milliseconds with fractions, counted
//! from a start that means nothing. Nothing here decides anything.

/// A host of the fleet; the front keeps the name that belongs to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u16);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TblId(pub u16);

impl TblId {
    /// For levels only: all joined proxies, whatever table they use.
    pub const ALL: TblId = TblId(u16::MAX);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProductId(pub u16);

/// The group of hosts inside which a referenced txn's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PodId(pub u32);

/// A kind of machine; it says which hosts are alike, nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MarkId(pub u16);

/// A set of products as a mask of their places; zero stands for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Products(pub u64);

impl Products {
    pub const ALL: Products = Products(0);

    pub fn one(product: ProductId) -> Products {
        Products(1 << product.0.min(63))
    }
}

/// A set of zones as a mask of their places; a deployment that is governed by residency has 128 at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zones(pub u128);

impl Zones {
    pub const NONE: Zones = Zones(0);
    pub const ALL: Zones = Zones(u128::MAX);
    /// How many zones a set can tell apart.
    pub const MOST: u16 = 128;

    pub fn one(zone: ZoneId) -> Zones {
        Zones(1u128.checked_shl(u32::from(zone.0)).unwrap_or(0))
    }
    pub fn has(self, zone: ZoneId) -> bool {
        self.0 & Zones::one(zone).0 != 0
    }
    pub fn and(self, other: Zones) -> Zones {
        Zones(self.0 & other.0)
    }
    pub fn or(self, other: Zones) -> Zones {
        Zones(self.0 | other.0)
    }
    pub fn less(self, other: Zones) -> Zones {
        Zones(self.0 & !other.0)
    }
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
    pub fn each(self) -> impl Iterator<Item = ZoneId> {
        (0..Zones::MOST).map(ZoneId).filter(move |zone| self.has(*zone))
    }
}

impl FromIterator<ZoneId> for Zones {
    fn from_iter<I: IntoIterator<Item = ZoneId>>(zones: I) -> Zones {
        zones.into_iter().fold(Zones::NONE, |all, zone| all.or(Zones::one(zone)))
    }
}

/// Where the instance stands and what the site lets it do.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    pub seed: u64,
    pub zone: ZoneId,
    pub zones: u16,
    /// How many stewards there are.
    pub stewards: u32,
    /// Proxies join a steward of their own zone, where there is one.
    pub by_zone: bool,
    pub slices: u32,
    pub may_probe: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    InquiryLike,
    /// Repeats are dropped by the hosts of the scope, within the window.
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Pod,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    pub sla: f64,
    pub expiry: f64,
    pub effect: Effect,
    pub scope: Scope,
    pub window: f64,
    pub revenue: f64,
    pub late_part: f64,
    pub own_zone: bool,
    pub writes: bool,
}

/// The way of orders from the instance to its proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Channel {
    pub lines_per_s: f64,
    pub head: f64,
    pub backlog: f64,
    /// Messages to one proxy within `messages_over`; zero: no such limit.
    pub messages: u32,
    pub messages_over: f64,
    pub transit: f64,
    pub transit_worst: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    Off,
    Share,
    Rate,
}

/// What the proxies are like.
#[derive(Clone, Debug, PartialEq)]
pub struct Sidecars {
    pub count: u32,
    /// Hosts at most in the table that a proxy starts with.
    pub standing: u32,
    pub bare_for: f64,
    pub levels: LevelKind,
    pub usual_tries: Tries,
    pub try_wait: f64,
}

/// How a fresh host warms and what it survives.
#[derive(Clone, Debug, PartialEq)]
pub struct Warmup {
    pub from: f64,
    pub within: f64,
    pub multiple: f64,
    pub fall_after: f64,
}

/// How the list is come by, and how soon its drains bind.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    pub asked: bool,
    pub ask_within: f64,
    pub grace: f64,
    pub removal_not_binding: bool,
}

/// The late sums.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    pub every: f64,
    pub lines_per_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tries {
    One,
    /// Another, at another host, once it is proven that the first never ran.
    AfterProof,
    AfterAny,
    TwiceAfterAny,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    On,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub host: HostId,
    pub weight: f64,
    pub zone: ZoneId,
    pub pod: PodId,
    pub kind: KindId,
    /// The last start, where it is known; none: long ago.
    pub born: Option<f64>,
    pub standing: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
    Changes,
    Whole,
    /// The whole list as the instance last had it, maybe old.
    Restored,
    /// A call failed or the watch broke; the old list stands.
    Failed,
}

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

/// What a host says of its own load; what it does not tell is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub in_hand: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub service: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        news: ListNews,
        entries: Vec<Listed>,
    },
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
        txns_per_s: f64,
        fresh: bool,
    },
    Left {
        proxy: ProxyId,
    },
    /// What the joined proxies of a zone met at a host.
    Met {
        host: HostId,
        zone: ZoneId,
        over: f64,
        tries: u32,
        voided: u32,
        mean: f64,
        report: LoadReport,
    },
    /// What came to a proxy; `voided` was let in and got no answer.
    Came {
        proxy: ProxyId,
        product: ProductId,
        txns: u32,
        voided: u32,
        over: f64,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        took: f64,
        report: LoadReport,
    },
    /// What is believed of a host's own load, after its reports were ordered and weighed; 1 is full.
    /// `age` is how long ago the newest of them was observed, `sure` from 0 (nothing is believed) to 1.
    Load {
        host: HostId,
        load: f64,
        age: f64,
        sure: f64,
    },
    /// What an earlier steward had learnt of a host, weighed by its age: the part of its listed weight that it
    /// carried, and whether it was shut out. It never outranks a probe or a sum.
    Hint {
        host: HostId,
        part: f64,
        shut: bool,
    },
    /// A level of reduced service holds in a zone: of the product no more than that share is let in, and tried no
    /// more often. It stands until the next for the same pair.
    Bound {
        zone: ZoneId,
        product: ProductId,
        share: f64,
        tries: Tries,
    },
    /// Txns of the product that come to proxies of the zone may be served by hosts in these zones alone; in none:
    /// nothing may serve them. It stands until the next for the same pair; [`Zones::ALL`] lifts it.
    Reach {
        zone: ZoneId,
        product: ProductId,
        zones: Zones,
    },
    /// What proxies hold of levels is not known yet: while it is on, no level is ordered.
    Await {
        on: bool,
    },
    Applied {
        proxy: ProxyId,
        mark: MarkId,
        took: f64,
    },
    /// All that went with marks from the first to the last went as one call, a message to each proxy with the marks in
    /// it: a proxy that answers one of them says nothing of the messages to others.
    Together {
        first: MarkId,
        last: MarkId,
    },
    /// What went with this mark may be on its way twice.
    Again {
        mark: MarkId,
    },
    /// A part of what went with this mark was taken; the rest goes as a call of its own, a message more to each of its
    /// proxies.
    Parted {
        mark: MarkId,
    },
    /// Calls do not get through, or do again: what is ordered meanwhile reaches the relay later, and whoever has joined
    /// by then.
    Behind {
        on: bool,
    },
    Due {
        timer: TimerId,
    },
    SliceGiven {
        slice: SliceId,
        ours: bool,
    },
    SliceLine {
        slice: SliceId,
        host: HostId,
        weight: f64,
    },
    SliceCame {
        slice: SliceId,
        product: ProductId,
        txns: u32,
        voided: u32,
        over: f64,
    },
    Peer {
        from: PeerId,
        blob: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sets one line of a table; a weight of zero removes it.
    Share {
        tbl: TblId,
        host: HostId,
        weight: f64,
    },
    Clear {
        tbl: TblId,
    },
    /// Shuts a host out of every table that joined proxies hold, or lets it in again.
    Withdraw {
        host: HostId,
        out: bool,
    },
    Bind {
        proxy: ProxyId,
        tbl: TblId,
        products: Products,
    },
    Admit {
        tbl: TblId,
        products: Products,
        level: f64,
        tries: Tries,
    },
    Mark {
        mark: MarkId,
        everyone: bool,
    },
    Probe {
        host: HostId,
    },
    /// The host carries another part of its listed weight, by what was seen of it: to be kept for a steward after
    /// this one.
    Learnt {
        host: HostId,
        part: f64,
    },
    /// No order will name this host again, unless the list does.
    Forget {
        host: HostId,
    },
    Watch {
        on: bool,
    },
    Fetch,
    Tell {
        peer: Option<PeerId>,
        blob: Vec<u8>,
    },
    Timer {
        after: f64,
        timer: TimerId,
    },
    Log {
        text: String,
    },
}

/// A steward's decisions: all that happened at one time goes in, all orders for it come out.
pub trait Decide {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order>;
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Order> {
        (**self).decide(now, events)
    }
}
