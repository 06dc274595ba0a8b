//! Combines the limits of service levels and of grants on a request class (`product`) in a zone: the minimum applies.

use std::collections::BTreeMap;

use amberarch_core::{ClassId, Event, RetryPolicy, ZoneId};

use crate::Bound;

/// The last limit of each source for every pair of zone and product, and the last combined limit that was emitted. A
/// source without a limit for a pair, or with a share of 1, does not limit it.
#[derive(Clone, Debug, Default)]
pub struct Lesser {
    levels: BTreeMap<(ZoneId, ClassId), (f64, RetryPolicy)>,
    shares: BTreeMap<(ZoneId, ClassId), f64>,
    sent: BTreeMap<(ZoneId, ClassId), (f64, RetryPolicy)>,
}

impl Lesser {
    /// Takes an event of the service levels on its way to the decisions. A limit is replaced by the minimum of both sources,
    /// or dropped if that has not changed; other events pass through.
    pub fn level(&mut self, event: Event) -> Option<Event> {
        let Event::ServiceBound { zone, class, max_share, max_tries } = event else { return Some(event) };
        self.levels.insert((zone, class), (max_share, max_tries));
        self.update(zone, class)
    }

    /// Takes a limit set by grants and returns the new combined limit if it has changed.
    pub fn share(&mut self, Bound { zone, product, share }: Bound) -> Option<Event> {
        self.shares.insert((zone, product), share);
        self.update(zone, product)
    }

    fn update(&mut self, zone: ZoneId, class: ClassId) -> Option<Event> {
        // Without a limit by level, tries are allowed as the decisions do by default.
        let (max_share, max_tries) =
            self.levels.get(&(zone, class)).copied().unwrap_or((1.0, RetryPolicy::TwiceAfterAny));
        let max_share = max_share.min(self.shares.get(&(zone, class)).copied().unwrap_or(1.0));
        let differs = self.sent.insert((zone, class), (max_share, max_tries)) != Some((max_share, max_tries));
        differs.then_some(Event::ServiceBound { zone, class, max_share, max_tries })
    }
}
