use std::collections::HashMap;

use amberarch_core::HostId;

/// An instance's own numbering of the hosts it has heard of.
#[derive(Default)]
pub struct Names {
    ids: HashMap<String, HostId>,
    names: Vec<String>,
}

impl Names {
    /// The number of a name, a new one where it is new.
    pub fn id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = HostId(self.names.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.names.push(name.to_string());
        id
    }

    pub fn find(&self, name: &str) -> Option<HostId> {
        self.ids.get(name).copied()
    }

    pub fn name(&self, host: HostId) -> &str {
        &self.names[host.0 as usize]
    }
}
