//! What the daemon tells the intake, held as the newest of each: it never waits and nothing piles up.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use amberarch_core::{HostId, ZoneId};

/// A host of the list by its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedHost {
    pub name: String,
    pub host: HostId,
    pub zone: ZoneId,
    /// Its last start by the daemon's clock, where it is known.
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
    /// The whole list, without hosts that are gone.
    pub fn list(&self, hosts: Vec<NamedHost>) {
        self.with(|told| told.list = Some(hosts));
    }

    /// A probe of the host, or a sum about it, was observed then.
    pub fn seen(&self, host: HostId, at: f64) {
        self.with(|told| {
            let last = told.seen.entry(host).or_insert(at);
            *last = last.max(at);
        });
    }

    /// Takes what was told since the last call.
    pub fn take(&self) -> Told {
        self.with(std::mem::take)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Told) -> T) -> T {
        // What is told is whole after each call, so a panic elsewhere leaves nothing half done.
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
