//! A report and its parts, each checked once where it comes in.

use amberarch_core::HostId;

/// One who reports: a host for itself, or an agent that passes on the reports of many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReporterId(pub u32);

/// A reporter's start: a number drawn anew by each of its processes. Boots have no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Boot(pub u64);

/// A report's number, counted up by its reporter, round after 2^32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seq(pub u32);

/// The number of a message of paces. A reporter repeats the last that it has read, which shows that what it
/// says was said after that message had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Echo(pub u64);

/// How much of its capacity a host uses: 1 is full, more is what queues up.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Load(f64);

/// Fifty times full is no load that a host serves under; what says more is spoilt.
const MOST_LOAD: f64 = 50.0;

impl Load {
    /// # Errors
    /// A figure that is not a number, negative, infinite or out of range.
    pub fn of(figure: f64) -> Result<Load, Refusal> {
        // Written so that what is not a number fails too.
        let fits = (0.0..=MOST_LOAD).contains(&figure);
        fits.then_some(Load(figure)).ok_or(Refusal::Unfit)
    }

    pub fn figure(self) -> f64 {
        self.0
    }
}

/// What one host's load was at one moment of its reporter's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub host: HostId,
    pub seq: Seq,
    /// Milliseconds on the reporter's own clock, which only goes forward and starts anywhere.
    pub at: f64,
    pub load: f64,
}

/// Reports that were sent together, oldest first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch<'a> {
    pub boot: Boot,
    /// When it was put together, on the reporter's clock, in milliseconds.
    pub sent: f64,
    pub echo: Option<Echo>,
    pub reports: &'a [Report],
}

/// Why a report is not taken. Each kind is counted by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Refusal {
    #[error("a figure that can't be")]
    Unfit,
    #[error("a host that is not listed")]
    UnknownHost,
    #[error("more reports than its pace allows")]
    OverPace,
    #[error("a number that was taken before")]
    Repeat,
    #[error("a number from too far back to tell whether it was taken")]
    TooFarBack,
    #[error("older than what is known of its host")]
    Superseded,
    #[error("so old when it came that its host counts as silent by it")]
    Stale,
    #[error("observed before the last probe of its host, or sum about it")]
    Overtaken,
    #[error("observed before its host's last start")]
    BeforeStart,
    #[error("from a process of its reporter that another has followed")]
    Retired,
    #[error("from a clock that nothing is known of yet")]
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
