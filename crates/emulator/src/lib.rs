//! A fleet in virtual time, small and by seeds only, under one steward or many. A shape, faults and a seed go in; what
//! became of the txns, and how tables dealt traffic over hosts, come out. It drives the decisions and the intake as a
//! front does, and decides nothing itself.

mod arrivals;
mod discovery;
mod governed;
mod host;
mod proxy;
mod relay;
mod rules;
mod standing;
mod world;

use amberarch_core::*;
use amberarch_policy::Controller;

pub use arrivals::{Arrivals, Spoilt, Trial};
pub use discovery::Asked;
pub use governed::{Care, Ruled};
pub use proxy::Proxy;
pub use relay::{Message, Over, Relay};
pub use rules::{Breach, Rule};
pub use standing::{some_reply, standing, standing_plain};
pub use world::{Fleet, Homes, Seen, SeenOf, World};

/// A txn of a day, counted from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnId(pub u32);

/// What goes wrong, and from when to when, in ms of the day.
#[derive(Clone, Debug)]
pub struct Fault {
    pub from: f64,
    pub until: f64,
    pub what: Trouble,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// The hosts work at this part of their speed.
    Slow { hosts: Vec<u32>, part: f64 },
    /// So many times the usual txns come.
    Burst { times: f64 },
    /// Probes, sums and reports of the zone do not reach the steward; what waits comes when it ends.
    Cut { zone: ZoneId },
    /// The hosts end when it begins and start cold when it ends.
    Restart { hosts: Vec<u32> },
    /// The hosts leave the fleet for good: their processes end, and discovery lists them as gone.
    Leave { hosts: Vec<u32> },
    /// The list names the hosts in these rows, zone and weight, one after the other; after that where they were.
    Relist { hosts: Vec<u32>, rows: Vec<(ZoneId, f64)> },
    /// The proxies neither send sums nor read orders.
    Stall { proxies: Vec<u16> },
    /// The stewards end when it begins, by whatever signal, and start anew, knowing nothing, when it ends.
    StewardsLost { stewards: Vec<u16> },
    /// Calls to discovery fail, and its watches end.
    DiscoveryDown,
    /// Each call to discovery takes so many times as long.
    DiscoverySlow { times: f64 },
    /// The zone's hosts and proxies are out of reach for these stewards alone: their probes there time out, and sums
    /// from there are lost.
    CutFor { zone: ZoneId, stewards: Vec<u16> },
    /// Tries at the hosts get nothing and probes no answer, as seen from these zones; none named: from everywhere.
    Bad { hosts: Vec<u32>, seen_from: Vec<ZoneId> },
    /// The hosts leave one after the other, and as many others start cold in their place.
    Replace { hosts: Vec<u32> },
    /// That part of these stewards' calls to the relay gets no answer; half of those were carried out.
    Unsure { stewards: Vec<u16>, part: f64 },
    /// These stewards' processes get a turn only that often, ms; longer than the fault lasts: they stand still.
    StewardsSlow { stewards: Vec<u16>, every: f64 },
    /// Sums reach these stewards so much later, ms, and tell of hosts as they were.
    SumsLate { stewards: Vec<u16>, by: f64 },
}

/// How hosts' own reports reach the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    Off,
    /// Through an intake with that budget for each host, in reports a second.
    On {
        each: f64,
    },
}

/// What a steward that starts anew finds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kept {
    /// How old the list on disk is, ms; none: there is no disk.
    pub list_age: Option<f64>,
    /// How young it has to be to serve before it is proven.
    pub confirmed_for: f64,
    /// What was learnt of hosts is kept too.
    pub hints: bool,
    /// Until discovery answers, ms.
    pub silent_for: f64,
    /// Proxies start anew with it and hold nothing.
    pub fresh_proxies: bool,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub zones: u16,
    pub hosts: u32,
    pub cores: u32,
    /// What may wait at a host.
    pub room: usize,
    pub proxies: u16,
    /// With each product: its part of the txns, and the mean work of one in ms of a core.
    pub products: Vec<(RequestClass, f64, f64)>,
    /// The part of the fleet's cores that the usual txns need.
    pub use_of_cores: f64,
    pub levels: LevelKind,
    pub lasts: f64,
    pub warmup: Warmup,
    pub sums: ReportSettings,
    /// From an order to the proxies.
    pub transit: f64,
    /// The part of those who are turned away or left without an answer that comes again, after that long, and
    /// so often at the most.
    pub again: (f64, f64, u8),
}

impl Shape {
    /// 24 hosts in three zones, 12 proxies, pages and submits, at 55 % of the cores.
    pub fn usual() -> Shape {
        let product = |idempotency, latency_target, value, writes| RequestClass {
            latency_target,
            deadline: 3.0 * latency_target,
            idempotency,
            scope: DedupScope::All,
            dedup_window: 5_000.0,
            value,
            late_value_fraction: 0.2,
            home_zone_only: false,
            writes,
        };
        let pages = product(Idempotency::Idempotent, 400.0, 1.0, false);
        let submits = product(Idempotency::NonIdempotent, 600.0, 3.0, true);
        Shape {
            zones: 3,
            hosts: 24,
            cores: 4,
            room: 40,
            proxies: 12,
            products: vec![(pages, 0.8, 60.0), (submits, 0.2, 90.0)],
            use_of_cores: 0.55,
            levels: LevelKind::Off,
            lasts: 90_000.0,
            warmup: Warmup {
                initial_capacity: 0.2,
                duration: 15_000.0,
                failure_load: 3.0,
                failure_after: 2_000.0,
            },
            sums: ReportSettings { interval: 2_000.0, max_lines_per_s: 1_000.0 },
            transit: 200.0,
            again: (0.0, 0.0, 0),
        }
    }

    /// An election night: detail pages, results pages and tally submits, clients that ask again, proxies that take
    /// levels.
    pub fn election() -> Shape {
        let usual = Shape::usual();
        let (pages, submits) = (usual.products[0].0.clone(), usual.products[1].0.clone());
        let details = RequestClass { value: 0.3, ..pages.clone() };
        Shape {
            products: vec![(details, 0.5, 60.0), (pages, 0.4, 60.0), (submits, 0.1, 90.0)],
            levels: LevelKind::Fraction,
            lasts: 240_000.0,
            again: (0.6, 2_000.0, 3),
            ..usual
        }
    }

    /// All txns a second.
    pub(crate) fn rate(&self) -> f64 {
        let work: f64 = self.products.iter().map(|(_, part, work)| part * work).sum();
        1_000.0 * f64::from(self.hosts * self.cores) * self.use_of_cores / work
    }

    fn steward(&self, seed: u64) -> Controller {
        let post = InstanceSettings {
            seed,
            zone: ZoneId(0),
            zone_count: self.zones,
            controllers: 1,
            proxies_by_zone: false,
            slice_count: 0,
            may_probe: true,
        };
        let channel = Channel {
            lines_per_s: 1_000.0 * f64::from(self.proxies),
            message_overhead: 3.0,
            max_backlog: 400.0 * f64::from(self.proxies),
            max_messages: 60,
            message_window: 10_000.0,
            typical_transit: self.transit,
            max_transit: 2.0 * self.transit,
        };
        self.steward_at(post, channel, false)
    }

    /// One with that post and channel; `asked`: it has to ask for the list.
    fn steward_at(&self, post: InstanceSettings, channel: Channel, on_request: bool) -> Controller {
        let sidecars = ProxySettings {
            proxy_count: u32::from(self.proxies),
            bootstrap_hosts: STANDING,
            max_time_without_host: BARE_FOR,
            level_kind: self.levels,
            default_tries: RetryPolicy::AfterProof,
            try_factor: 0.8,
        };
        let roster = HostListSettings {
            on_request,
            request_within: 1e4,
            drain_grace: GRACE,
            removal_not_binding: false,
        };
        let products = self.products.iter().map(|(product, ..)| product.clone()).collect();
        Controller::new(post, products, channel, sidecars, self.warmup.clone(), roster, self.sums.clone())
    }
}

/// Hosts in the table that a proxy starts with, and how long one may be without any, ms.
const STANDING: u32 = 6;
const BARE_FOR: f64 = 3_000.0;

/// What became of the txns of one product.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    pub came: u32,
    pub declined: u32,
    pub in_time: u32,
    pub late: u32,
    pub voided: u32,
    /// Ran more than once: never for one that may run once only.
    pub twice: u32,
}

/// The grace for what is gone, ms.
pub const GRACE: f64 = 2_000.0;

/// Of one product, what came in ten seconds, by when it came first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    pub offered: f64,
    pub earned: f64,
    /// Let in, and answered within the SLA time.
    pub let_in: u32,
    pub in_time: u32,
}

pub const WINDOW: f64 = 10_000.0;

#[derive(Clone, Debug, Default)]
pub struct Day {
    pub fates: Vec<Fate>,
    /// Ten seconds after ten seconds, by product.
    pub windows: Vec<Vec<Window>>,
    /// What the decisions had to say, and when.
    pub said: Vec<(f64, String)>,
    /// Lines of levels, counted at each proxy that they go to, and the most that one reply held.
    pub level_lines: u64,
    pub most_level_lines: u64,
    /// Of a governed day.
    pub ruled: Ruled,
    /// Of a day of many stewards.
    pub seen: Seen,
    /// Tries sent to hosts that had left more than the grace before.
    pub to_gone: u32,
    /// From a restart until every proxy has an open host for each product, ms.
    pub bare_for: Option<f64>,
    /// Revenue earned, and what all that came could have earned.
    pub earned: f64,
    pub offered: f64,
    /// Each second, the part of all txns that tables deal to each host.
    pub shares: Vec<Vec<f64>>,
    /// The same of each steward beside.
    pub beside: Vec<Vec<Vec<f64>>>,
    /// Reports taken in, and those that came.
    pub taken: u64,
    pub reports: u64,
}

impl Day {
    /// The part of what could be earned that was.
    pub fn service(&self) -> f64 {
        self.earned / self.offered.max(1e-9)
    }
}

/// How far two days' tables are apart: the part of the traffic that goes elsewhere, second by second.
pub fn apart(a: &[Vec<f64>], b: &[Vec<f64>]) -> Vec<f64> {
    let moved =
        |(a, b): (&Vec<f64>, &Vec<f64>)| 0.5 * a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>();
    a.iter().zip(b).map(moved).collect()
}
