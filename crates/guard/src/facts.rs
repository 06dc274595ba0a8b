//! What the guard is told at its start.

use amberarch_core::{
    Channel, HostListSettings, InstanceSettings, ProxySettings, ReportSettings, RequestClass, Warmup,
};

#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// How many products there are, 64 at most, and which of them hosts of the proxy's own zone alone may serve.
    pub products: u16,
    pub at_home: u64,
    pub channel: Channel,
    pub warmup: Warmup,
    /// How long a host that drains may still be tried, ms.
    pub grace: f64,
    /// For how long a proxy may stay without any table, ms.
    pub bare_for: f64,
    /// From one sum to the next, ms.
    pub every: f64,
    /// Other stewards' proxies may send to the same hosts.
    pub alone: bool,
    /// Txns a second that a warm host of weight 1 is known to do; none: it is learnt from sums, as what was done at
    /// least, and then warm hosts are not judged by it.
    pub per_weight: Option<f64>,
}

impl Facts {
    pub fn new(
        post: &InstanceSettings,
        products: &[RequestClass],
        channel: Channel,
        sidecars: &ProxySettings,
        warmup: Warmup,
        roster: &HostListSettings,
        sums: &ReportSettings,
    ) -> Facts {
        let home = products.iter().take(64).enumerate().filter(|(_, product)| product.home_zone_only);
        Facts {
            products: products.len().min(64) as u16,
            at_home: home.fold(0, |all, (place, _)| all | 1 << place),
            channel,
            warmup,
            grace: roster.drain_grace,
            bare_for: sidecars.max_time_without_host,
            every: sums.interval,
            alone: post.controllers <= 1,
            per_weight: None,
        }
    }

    pub fn with_per_weight(self, per_weight: Option<f64>) -> Facts {
        Facts { per_weight, ..self }
    }

    /// The mask of all products.
    pub(crate) fn all(&self) -> u64 {
        if self.products >= 64 {
            u64::MAX
        } else {
            (1 << self.products) - 1
        }
    }
}
