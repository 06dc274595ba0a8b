//! What proxies are asked for.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{Product, ProductId, ProxyId, ZoneId};

use crate::ring::BUCKETS;
use crate::{Node, Reach, Ring, Tally, BUCKET};

/// As long as sums are kept at all.
const KEPT: f64 = (BUCKETS - 1) as f64 * BUCKET;

/// What came to one proxy: by late sums, until the first of them as told at joining.
#[derive(Default)]
pub struct Asked {
    pub zone: ZoneId,
    /// Txns a second of all products, as told at joining.
    pub told: f64,
    came: BTreeMap<ProductId, Ring>,
}

impl Asked {
    pub fn joined(zone: ZoneId, told: f64) -> Asked {
        Asked { zone, told, came: BTreeMap::new() }
    }

    pub fn came(&mut self, now: f64, product: ProductId, sum: Tally) {
        self.came.entry(product).or_default().add(now, sum);
    }

    /// How many products sums have told of.
    pub fn products(&self) -> usize {
        self.came.len()
    }

    /// Txns a second of one of so many products. Sums that are late or lost say nothing: where none came within the
    /// span, what came last is taken, and where all of that is too old, what was told at joining. Guards against proxies
    /// that seem to ask nothing while reports are rare: a table of one cold host seemed to have room for three of them.
    pub fn rate(&self, now: f64, span: f64, product: ProductId, products: usize) -> f64 {
        let heard_within = |span: f64| self.came.values().any(|ring| ring.last(now, span).over > 0.0);
        let span = if heard_within(span) { span } else { KEPT };
        if span == KEPT && !heard_within(span) {
            return self.told / products as f64;
        }
        let sum = self.came.get(&product).map(|ring| ring.last(now, span)).unwrap_or_default();
        1_000.0 * sum.tries / sum.over.max(1_000.0)
    }
}

/// A proxy that joined: what it is asked for, and its seat in each tree that it uses.
#[derive(Default)]
pub struct Proxy {
    pub asked: Asked,
    pub nodes: BTreeMap<Reach, Node>,
    /// It joined without a table that a steward ordered.
    pub fresh: bool,
    /// When it joined, ms by the clock of the decisions.
    pub joined_at: f64,
}

impl Proxy {
    pub fn joined(joined_at: f64, zone: ZoneId, told: f64, fresh: bool) -> Proxy {
        Proxy { asked: Asked::joined(zone, told), nodes: BTreeMap::new(), fresh, joined_at }
    }

    /// Lets go of its seats in all but these trees.
    pub fn keep(&mut self, trees: &BTreeSet<(ZoneId, Reach)>) {
        let home = self.asked.zone;
        self.nodes.retain(|tree, _| trees.contains(&(home, *tree)));
    }
}

#[derive(Clone)]
/// What a zone asks of one product, by proxy and in all; the SLA time stands in for a txn's work.
pub struct Ask {
    pub id: ProductId,
    pub product: Product,
    /// Txns a second, in the order of the proxies.
    pub rates: Vec<f64>,
    pub total: f64,
    pub work: f64,
}

impl Ask {
    /// Of each product in each zone, over the last `span` ms.
    pub fn each(
        products: &[Product],
        zones: impl Iterator<Item = ZoneId>,
        proxies: &BTreeMap<ProxyId, Proxy>,
        now: f64,
        span: f64,
    ) -> BTreeMap<ZoneId, Vec<Ask>> {
        let asks = |zone| {
            let there: Vec<&Asked> = proxies.values().map(|p| &p.asked).filter(|p| p.zone == zone).collect();
            let ask = |(place, product): (usize, &Product)| {
                let id = ProductId(place as u16);
                let rates = there.iter().map(|asked| asked.rate(now, span, id, products.len()));
                let rates: Vec<f64> = rates.collect();
                let total = rates.iter().sum::<f64>();
                Ask { id, product: product.clone(), rates, total, work: total * product.sla }
            };
            (zone, products.iter().enumerate().map(ask).collect())
        };
        zones.map(asks).collect()
    }
}

/// The cap under which rates add up to that part of what they add up to without; none where it caps nobody.
pub fn even(mut rates: Vec<f64>, part: f64) -> Option<f64> {
    rates.sort_by(f64::total_cmp);
    let mut left = part * rates.iter().sum::<f64>();
    for (place, rate) in rates.iter().enumerate() {
        let even = left / (rates.len() - place) as f64;
        if *rate >= even {
            return Some(even);
        }
        left -= rate;
    }
    None
}
