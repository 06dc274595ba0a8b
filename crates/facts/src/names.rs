use std::collections::{BTreeMap, HashMap};

use amberarch_core::HostId;

/// An instance's own numbering of the hosts it has heard of.
#[derive(Default)]
pub struct Names {
    ids: HashMap<String, HostId>,
    names: BTreeMap<HostId, String>,
    next: u32,
}

impl Names {
    /// The number of a name, a new one where it is new.
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

    /// Forgets a host. Its number is not given again, so that nothing late about it meets another.
    pub fn forget(&mut self, host: HostId) {
        if let Some(name) = self.names.remove(&host) {
            self.ids.remove(&name);
        }
    }
}
