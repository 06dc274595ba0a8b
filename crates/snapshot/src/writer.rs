//! The thread that writes members to disk. Callers leave the newest state of each member and never wait for the disk.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

use amberarch_roster::{Member, Stand, FORGOTTEN_AFTER};

use crate::store::{Fault, Store};

/// What the next write will contain.
#[derive(Default)]
struct Pending {
    members: BTreeMap<String, Arc<Member>>,
    stand: Stand,
    stopping: bool,
}

/// Handle of the writer thread.
#[derive(Clone)]
pub struct Writer {
    shared: Arc<(Mutex<Pending>, Condvar)>,
}

impl Writer {
    /// Starts the thread, which writes pending members once per `every`. Calls `report` when writes start to fail and
    /// when they succeed again.
    pub fn start(
        mut store: Store,
        every: Duration,
        mut report: impl FnMut(Result<(), Fault>) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let shared: Arc<(Mutex<Pending>, Condvar)> = Arc::default();
        let of_thread = shared.clone();
        thread::Builder::new().name("state".into()).spawn(move || {
            let (mut healthy, mut stopping, mut unwritten) = (true, false, Vec::new());
            let mut last_stand = Stand::default();
            while !stopping {
                let (lock, changed) = &*of_thread;
                let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
                let waited = changed.wait_timeout_while(guard, every, |pending| !pending.stopping);
                let mut pending = waited.unwrap_or_else(PoisonError::into_inner).0;
                let (members, stand) = (std::mem::take(&mut pending.members), pending.stand);
                stopping = pending.stopping;
                drop(pending);
                unwritten.extend(members.into_values());
                let stand_changed = std::mem::replace(&mut last_stand, stand) != stand;
                if unwritten.is_empty() && !stand_changed && healthy {
                    continue;
                }
                let now = unix_ms();
                store.remove_expired(|member| now - stand.confirmed(&member.told) > FORGOTTEN_AFTER);
                let written = store.keep(now, std::mem::take(&mut unwritten), stand);
                if written.is_ok() != healthy {
                    healthy = !healthy;
                    report(written);
                }
            }
        })?;
        Ok(Writer { shared })
    }

    /// Leaves members and the list's confirmation to be written; a newer state of a member replaces a pending one.
    pub fn keep(&self, members: Vec<Arc<Member>>, stand: Stand) {
        let mut pending = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.stand = stand;
        pending.members.extend(members.into_iter().map(|member| (member.host.clone(), member)));
    }

    /// Asks the thread to write what is pending and to exit; does not wait for it.
    pub fn end(&self) {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner).stopping = true;
        self.shared.1.notify_all();
    }
}

fn unix_ms() -> f64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1e3)
}
