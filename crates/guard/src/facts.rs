//! Settings that the guard is created with.

use amberarch_core::{
    Channel, HostListSettings, InstanceSettings, ProxySettings, ReportSettings, RequestClass, Warmup,
};

#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// The number of request classes (64 at most), and a mask of those that only hosts of the proxy's home
    /// zone may serve.
    pub products: u16,
    pub at_home: u64,
    pub channel: Channel,
    pub warmup: Warmup,
    /// How long a draining host may still be tried, in ms.
    pub grace: f64,
    /// How long a proxy may stay without any table, in ms.
    pub bare_for: f64,
    /// The interval between two traffic reports, in ms.
    pub every: f64,
    /// True if no proxies of other controllers send to the same hosts.
    pub alone: bool,
    /// The known capacity of a warm host of weight 1, in txns a second. If `None`, it is learnt from host
    /// reports; these give only a lower bound, so warm hosts are not checked against it.
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
        let home = products.iter().take(64).enumerate().filter(|(_, class)| class.home_zone_only);
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

    /// The mask of all request classes.
    pub(crate) fn all(&self) -> u64 {
        if self.products >= 64 {
            u64::MAX
        } else {
            (1 << self.products) - 1
        }
    }
}
