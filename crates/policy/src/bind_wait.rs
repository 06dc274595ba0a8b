//! Says why proxies that should be bound are not, where that lasts.

use std::collections::BTreeMap;

/// Waits shorter than this are what a full channel causes, ms.
const TOLD_AFTER: f64 = 1_000.0;
/// While the wait lasts it is told again each time so long after, ms.
const TOLD_EVERY: f64 = 1_000.0;

/// What holds an order back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Calls do not get through to the relay.
    CallsFail,
    /// The lines that may wait in the channel leave no room for it.
    ChannelFull,
    /// A proxy is at its limit of messages.
    MessageLimit,
    /// Nothing in the table serves.
    NothingServes,
    /// The table names a host outside the reach of its products.
    OutsideReach,
}

impl Refusal {
    fn says(self) -> &'static str {
        match self {
            Refusal::CallsFail => "for calls to get through",
            Refusal::ChannelFull => "for room in the channel",
            Refusal::MessageLimit => "for their limit of messages",
            Refusal::NothingServes => "for a table in which a host serves",
            Refusal::OutsideReach => "for a table within the reach",
        }
    }
}

/// Since when some proxy waits to be bound, and when that was told last.
#[derive(Default)]
pub struct BindWait {
    since: Option<f64>,
    told_at: Option<f64>,
}

impl BindWait {
    /// What is to be logged now that so many proxies without a table of this controller wait for these reasons.
    pub fn look(&mut self, now: f64, waiting: &BTreeMap<Refusal, usize>, lines: f64) -> Option<String> {
        if waiting.is_empty() {
            let since = self.since.take()?;
            self.told_at.take()?;
            return Some(format!("every proxy is bound, after {:.0} ms", now - since));
        }
        let since = *self.since.get_or_insert(now);
        let due = self.told_at.map_or(since + TOLD_AFTER, |told| told + TOLD_EVERY);
        if now < due {
            return None;
        }
        self.told_at = Some(now);
        let reasons: Vec<String> =
            waiting.iter().map(|(refusal, count)| format!("{count} {}", refusal.says())).collect();
        let waited = now - since;
        let reasons = reasons.join(", ");
        Some(format!("proxies wait to be bound for {waited:.0} ms: {reasons}; {lines:.0} lines may wait"))
    }
}
