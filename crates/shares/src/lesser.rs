//! Combines the limits of service levels and of grants on a request class (`product`) in a zone: the minimum applies.

use std::collections::BTreeMap;

use amberarch_core::{Event, ProductId, Tries, ZoneId};

use crate::Bound;

/// The last limit of each source for every pair of zone and product, and the last combined limit that was emitted. A
/// source without a limit for a pair, or with a share of 1, does not limit it.
#[derive(Clone, Debug, Default)]
pub struct Lesser {
    levels: BTreeMap<(ZoneId, ProductId), (f64, Tries)>,
    shares: BTreeMap<(ZoneId, ProductId), f64>,
    sent: BTreeMap<(ZoneId, ProductId), (f64, Tries)>,
}

impl Lesser {
    /// Takes an event of the service levels on its way to the decisions. A limit is replaced by the minimum of both sources,
    /// or dropped if that has not changed; other events pass through.
    pub fn level(&mut self, event: Event) -> Option<Event> {
        let Event::Bound { zone, product, share, tries } = event else { return Some(event) };
        self.levels.insert((zone, product), (share, tries));
        self.update(zone, product)
    }

    /// Takes a limit set by grants and returns the new combined limit if it has changed.
    pub fn share(&mut self, Bound { zone, product, share }: Bound) -> Option<Event> {
        self.shares.insert((zone, product), share);
        self.update(zone, product)
    }

    fn update(&mut self, zone: ZoneId, product: ProductId) -> Option<Event> {
        // Without a limit by level, tries are allowed as the decisions do by default.
        let (share, tries) =
            self.levels.get(&(zone, product)).copied().unwrap_or((1.0, Tries::TwiceAfterAny));
        let share = share.min(self.shares.get(&(zone, product)).copied().unwrap_or(1.0));
        let differs = self.sent.insert((zone, product), (share, tries)) != Some((share, tries));
        differs.then_some(Event::Bound { zone, product, share, tries })
    }
}
