//! Numbers for host names.

use std::collections::{BTreeMap, HashMap};

use amberarch_core::HostId;

/// Maps the names of the known hosts to numbers and back. Each instance numbers hosts for itself.
#[derive(Default)]
pub struct Names {
    ids: HashMap<String, HostId>,
    names: BTreeMap<HostId, String>,
    next: u32,
}

impl Names {
    /// Returns the number of a name and assigns one if the name is new.
    pub fn id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = HostId(self.next);
        self.next += 1;
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    pub fn find(&self, name: &str) -> Option<HostId> {
        self.ids.get(name).copied()
    }

    pub fn name(&self, host: HostId) -> Option<&str> {
        self.names.get(&host).map(String::as_str)
    }

    /// Removes a host. Its number is not assigned again, so a late event for it never applies to another host.
    pub fn forget(&mut self, host: HostId) {
        if let Some(name) = self.names.remove(&host) {
            self.ids.remove(&name);
        }
    }
}
