//! What the daemon reports to the intake. Only the newest of each item is kept, so the daemon never waits
//! and nothing accumulates.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use amberarch_core::{HostId, ZoneId};

/// A host of the host list with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedHost {
    pub name: String,
    pub host: HostId,
    pub zone: ZoneId,
    /// Time of its last start by the daemon's clock, where it is known.
    pub born: Option<f64>,
}

#[derive(Default)]
pub struct Told {
    pub list: Option<Vec<NamedHost>>,
    pub seen: BTreeMap<HostId, f64>,
}

#[derive(Clone, Default)]
pub struct Witness(Arc<Mutex<Told>>);

impl Witness {
    /// Replaces the host list; removed hosts are left out.
    pub fn list(&self, hosts: Vec<NamedHost>) {
        self.with(|told| told.list = Some(hosts));
    }

    /// Records that a probe of the host, or a host report about it, was observed at that time.
    pub fn seen(&self, host: HostId, at: f64) {
        self.with(|told| {
            let last = told.seen.entry(host).or_insert(at);
            *last = last.max(at);
        });
    }

    /// Takes what was reported since the last call.
    pub fn take(&self) -> Told {
        self.with(std::mem::take)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Told) -> T) -> T {
        // The content is consistent after each call, so a panic elsewhere leaves nothing half done.
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
