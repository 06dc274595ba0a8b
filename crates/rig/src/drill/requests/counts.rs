//! What the proxies count of their requests for the next traffic reports.

use std::collections::BTreeMap;

use amberarch_core::{ClassId, HostId, ProxyId};

use super::super::settings::{Settings, CLASSES};
use super::super::traffic::{HostReport, ProxyReport};

#[derive(Clone, Copy, Default)]
struct Tries {
    tries: u32,
    failed: u32,
    /// Total time of the succeeded ones, ms.
    succeeded_ms: f64,
}

pub struct Counts {
    settings: Settings,
    /// By zone of the proxy, and by host.
    tries: Vec<Vec<Tries>>,
    arrived: BTreeMap<(ProxyId, ClassId), u32>,
}

impl Counts {
    pub fn new(settings: &Settings, hosts: usize) -> Counts {
        let tries = vec![vec![Tries::default(); hosts]; settings.zones.len()];
        Counts { settings: settings.clone(), tries, arrived: BTreeMap::new() }
    }

    pub fn arrived(&mut self, proxy: ProxyId, class: ClassId) {
        *self.arrived.entry((proxy, class)).or_default() += 1;
    }

    /// A try ended; `took` is how long a succeeded one took, ms.
    pub fn ended(&mut self, proxy: ProxyId, host: HostId, took: Option<f64>) {
        let tries = &mut self.tries[self.settings.zone_of(proxy.0)][host.0 as usize];
        tries.tries += 1;
        tries.failed += u32::from(took.is_none());
        tries.succeeded_ms += took.unwrap_or(0.0);
    }

    /// The reports of the period that ends now.
    pub fn take(&mut self, host_names: &[String]) -> (Vec<HostReport>, Vec<ProxyReport>) {
        let mut host_reports = Vec::new();
        for (zone, by_host) in self.tries.iter_mut().enumerate() {
            for (name, tries) in host_names.iter().zip(by_host) {
                let Tries { tries, failed, succeeded_ms } = std::mem::take(tries);
                if tries == 0 {
                    continue;
                }
                let mean_ms = succeeded_ms / f64::from((tries - failed).max(1));
                let (zone, host) = (self.settings.zones[zone].clone(), name.clone());
                host_reports.push(HostReport { zone, host, tries, failed, mean_ms });
            }
        }
        let arrived = std::mem::take(&mut self.arrived);
        let report = |((proxy, class), tries): ((ProxyId, ClassId), u32)| ProxyReport {
            proxy: proxy.0,
            class: CLASSES[usize::from(class.0)].0,
            tries,
        };
        (host_reports, arrived.into_iter().map(report).collect())
    }
}
