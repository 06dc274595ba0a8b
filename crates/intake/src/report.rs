//! Reports and their parts, validated once on arrival.

use amberarch_core::HostId;

/// A reporter: a host that reports for itself, or an agent that forwards the reports of many hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReporterId(pub u32);

/// Incarnation of a reporter: a random number drawn by each of its processes. Incarnations are not ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Boot(pub u64);

/// Sequence number of a report, counted up by its reporter; it wraps around after 2^32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seq(pub u32);

/// Number of a message of report intervals. A reporter repeats the last number that it has read, which
/// proves that its batch was sent after that message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Echo(pub u64);

/// The fraction of its capacity that a host uses: 1 is full, and above 1 work queues up.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Load(f64);

/// No host serves under fifty times its capacity; higher values are corrupted.
const MAX_LOAD: f64 = 50.0;

impl Load {
    /// # Errors
    /// The value is NaN, negative, infinite or out of range.
    pub fn of(value: f64) -> Result<Load, Refusal> {
        // A range check, so that NaN is refused too.
        let valid = (0.0..=MAX_LOAD).contains(&value);
        valid.then_some(Load(value)).ok_or(Refusal::Unfit)
    }

    pub fn value(self) -> f64 {
        self.0
    }
}

/// The load of one host at one moment of its reporter's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub host: HostId,
    pub seq: Seq,
    /// Milliseconds on the reporter's own clock, which is monotonic and starts anywhere.
    pub at: f64,
    pub load: f64,
}

/// Reports that were sent together, oldest first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch<'a> {
    pub boot: Boot,
    /// When the batch was assembled, on the reporter's clock, in milliseconds.
    pub sent: f64,
    pub echo: Option<Echo>,
    pub reports: &'a [Report],
}

/// Why a report is refused. Each kind is counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Refusal {
    #[error("the load or a time is out of range or not a number")]
    Unfit,
    #[error("the host is not listed")]
    UnknownHost,
    #[error("the host's report rate is exceeded")]
    OverPace,
    #[error("the sequence number was accepted before")]
    Repeat,
    #[error("the sequence number is too far back to tell whether it was accepted")]
    TooFarBack,
    #[error("older than the newest report of its host")]
    Superseded,
    #[error("so old on arrival that its host would count as silent")]
    Stale,
    #[error("observed before the last probe of its host or traffic report about it")]
    Overtaken,
    #[error("observed before the last start of its host")]
    BeforeStart,
    #[error("from a process of its reporter that a newer one has replaced")]
    Retired,
    #[error("the clock of the reporter is not synchronized yet")]
    Unproven,
}

/// All kinds, in the order in which they are counted.
pub const REFUSALS: [Refusal; 11] = [
    Refusal::Unfit,
    Refusal::UnknownHost,
    Refusal::OverPace,
    Refusal::Repeat,
    Refusal::TooFarBack,
    Refusal::Superseded,
    Refusal::Stale,
    Refusal::Overtaken,
    Refusal::BeforeStart,
    Refusal::Retired,
    Refusal::Unproven,
];
