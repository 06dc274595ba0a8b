//! Emulates a small fleet in virtual time, deterministically by seed, under one controller or many. The input is a
//! shape, a list of faults and a seed; the output is the outcome of the txns and how the tables distributed traffic
//! over hosts. The emulator drives the decisions and the report intake as a front does, and makes no decisions itself.

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
pub use host::{Host, Offer};
pub use proxy::Proxy;
pub use relay::{Message, Over, Relay};
pub use rules::{Breach, Rule};
pub use standing::{some_reply, standing, standing_plain};
pub use world::{Fleet, Homes, Seen, SeenOf, World};

/// A txn of an emulated day, numbered from the start of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnId(pub u32);

/// A fault and the time it is active, in ms from the start of the day.
#[derive(Clone, Debug)]
pub struct Fault {
    pub from: f64,
    pub until: f64,
    pub what: Trouble,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// The hosts work at this fraction of their speed.
    Slow { hosts: Vec<u32>, part: f64 },
    /// The arrival rate of txns is multiplied by `times`.
    Burst { times: f64 },
    /// Probes, traffic reports and load reports of the zone do not reach the controller. Reports held back meanwhile
    /// are delivered when the fault ends.
    Cut { zone: ZoneId },
    /// The hosts stop when the fault begins and start cold when it ends.
    Restart { hosts: Vec<u32> },
    /// The hosts leave the fleet permanently: their processes end, and discovery lists them as removed.
    Leave { hosts: Vec<u32> },
    /// The host list names the hosts in these rows (zone and weight), one after the other; when the fault ends they
    /// are listed in their original zone again.
    Relist { hosts: Vec<u32>, rows: Vec<(ZoneId, f64)> },
    /// The proxies neither send traffic reports nor read orders.
    Stall { proxies: Vec<u16> },
    /// The controllers stop when the fault begins and start again without any state when it ends.
    StewardsLost { stewards: Vec<u16> },
    /// Calls to discovery fail and its watches end.
    DiscoveryDown,
    /// Each call to discovery takes `times` as long.
    DiscoverySlow { times: f64 },
    /// The zone's hosts and proxies are unreachable for these controllers only: their probes there time out, and
    /// traffic reports from there are lost.
    CutFor { zone: ZoneId, stewards: Vec<u16> },
    /// Tries at the hosts and probes get no answer from these zones; an empty list means from everywhere.
    Bad { hosts: Vec<u32>, seen_from: Vec<ZoneId> },
    /// The hosts leave one after the other, and the same number of new hosts start cold in their place.
    Replace { hosts: Vec<u32> },
    /// This fraction of these controllers' calls to the relay gets no answer; half of those calls were carried out.
    Unsure { stewards: Vec<u16>, part: f64 },
    /// These controllers' processes run only once every `every` ms. If that is longer than the fault lasts, they are
    /// paused for its whole duration.
    StewardsSlow { stewards: Vec<u16>, every: f64 },
    /// Traffic reports reach these controllers `by` ms later and describe hosts as they were then.
    SumsLate { stewards: Vec<u16>, by: f64 },
}

/// Whether hosts' load reports reach the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    Off,
    /// Through an intake with a budget of `each` reports per second and host.
    On {
        each: f64,
    },
}

/// The state that is available to a restarted controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kept {
    /// Age of the host list on disk, ms; `None` if there is no stored list.
    pub list_age: Option<f64>,
    /// Maximum age, ms, at which the stored list is used before probes confirm its hosts.
    pub confirmed_for: f64,
    /// Warm-start hints about hosts are stored too.
    pub hints: bool,
    /// Time until discovery answers, ms.
    pub silent_for: f64,
    /// The proxies restart together with the controller and hold no tables.
    pub fresh_proxies: bool,
}

/// Size, load and settings of an emulated fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    pub zones: u16,
    pub hosts: u32,
    pub cores: u32,
    /// Queue limit of a host, in txns.
    pub room: usize,
    pub proxies: u16,
    /// Each request class, its fraction of the txns, and the mean work of one txn in core-ms.
    pub products: Vec<(RequestClass, f64, f64)>,
    /// Fraction of the fleet's cores that the normal load needs.
    pub use_of_cores: f64,
    pub levels: LevelKind,
    pub lasts: f64,
    pub warmup: Warmup,
    pub sums: ReportSettings,
    /// Time from an order until the proxies receive it, ms.
    pub transit: f64,
    /// Client retries: the fraction of rejected or unanswered clients that ask again, the delay before they do, ms,
    /// and the maximum number of retries.
    pub again: (f64, f64, u8),
}

impl Shape {
    /// 24 hosts in three zones, 12 proxies, the request classes pages and submits, at 55 % utilization.
    pub fn usual() -> Shape {
        let class = |idempotency, latency_target, value, writes| RequestClass {
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
        let pages = class(Idempotency::Idempotent, 400.0, 1.0, false);
        let submits = class(Idempotency::NonIdempotent, 600.0, 3.0, true);
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

    /// An election night: detail pages, results pages and tally submits, with clients that retry and proxies that
    /// apply admission levels.
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

    /// Txns per second over all proxies and request classes.
    pub(crate) fn rate(&self) -> f64 {
        let work: f64 = self.products.iter().map(|(_, part, work)| part * work).sum();
        1_000.0 * f64::from(self.hosts * self.cores) * self.use_of_cores / work
    }

    fn controller(&self, seed: u64) -> Controller {
        let instance = InstanceSettings {
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
        self.controller_at(instance, channel, false)
    }

    /// A controller with these instance settings and channel. With `on_request` it has to request the host list.
    fn controller_at(&self, instance: InstanceSettings, channel: Channel, on_request: bool) -> Controller {
        let proxies = ProxySettings {
            proxy_count: u32::from(self.proxies),
            bootstrap_hosts: BOOTSTRAP_HOSTS,
            max_time_without_host: MAX_TIME_WITHOUT_HOST,
            level_kind: self.levels,
            default_tries: RetryPolicy::AfterProof,
            try_factor: 0.8,
        };
        let host_list = HostListSettings {
            on_request,
            request_within: 1e4,
            drain_grace: GRACE,
            removal_not_binding: false,
        };
        let classes = self.products.iter().map(|(class, ..)| class.clone()).collect();
        Controller::new(
            instance,
            classes,
            channel,
            proxies,
            self.warmup.clone(),
            host_list,
            self.sums.clone(),
        )
    }
}

/// Number of hosts in the table that a proxy starts with.
const BOOTSTRAP_HOSTS: u32 = 6;
/// How long a proxy may be without a usable host, ms.
const MAX_TIME_WITHOUT_HOST: f64 = 3_000.0;

/// Outcomes of the txns of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    pub came: u32,
    pub declined: u32,
    pub in_time: u32,
    pub late: u32,
    pub voided: u32,
    /// Txns that ran more than once. This must stay 0 for a non-idempotent class.
    pub twice: u32,
}

/// Drain grace: time, ms, that a removed host may still receive tries.
pub const GRACE: f64 = 2_000.0;

/// Figures of one request class over ten seconds; a retried txn counts at its first arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    pub offered: f64,
    pub earned: f64,
    /// Txns admitted, and of those the ones answered within the latency target (`in_time`).
    pub let_in: u32,
    pub in_time: u32,
}

/// Length of a `Window`, ms.
pub const WINDOW: f64 = 10_000.0;

/// The result of an emulated day.
#[derive(Clone, Debug, Default)]
pub struct Day {
    pub fates: Vec<Fate>,
    /// Consecutive ten-second windows, each by request class.
    pub windows: Vec<Vec<Window>>,
    /// Log texts of the decisions, with their time.
    pub said: Vec<(f64, String)>,
    /// Admission-level lines, counted once per proxy that receives them, and the maximum in one reply.
    pub level_lines: u64,
    pub most_level_lines: u64,
    /// Results of a governed day.
    pub ruled: Ruled,
    /// Results of a day with several controllers.
    pub seen: Seen,
    /// Tries sent to hosts that had left longer ago than the drain grace.
    pub to_gone: u32,
    /// Time from a restart until every proxy has a usable host for each request class, ms.
    pub bare_for: Option<f64>,
    /// Value earned, and the value that all txns that arrived could have earned.
    pub earned: f64,
    pub offered: f64,
    /// For each second, the fraction of all txns that the tables assign to each host.
    pub shares: Vec<Vec<f64>>,
    /// The same for each controller that only observes the day (`World::beside`).
    pub beside: Vec<Vec<Vec<f64>>>,
    /// Load reports accepted by the intake, and those that arrived.
    pub taken: u64,
    pub reports: u64,
}

impl Day {
    /// Earned value as a fraction of the offered value.
    pub fn service(&self) -> f64 {
        self.earned / self.offered.max(1e-9)
    }
}

/// Distance between the tables of two days: the fraction of traffic assigned to different hosts, for each second.
pub fn apart(a: &[Vec<f64>], b: &[Vec<f64>]) -> Vec<f64> {
    let moved =
        |(a, b): (&Vec<f64>, &Vec<f64>)| 0.5 * a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>();
    a.iter().zip(b).map(moved).collect()
}
