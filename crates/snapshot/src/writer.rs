//! The thread that writes. Whoever hands members over leaves the newest of each and waits for nobody.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

use amberarch_roster::{Member, Stand, FORGOTTEN_AFTER};

use crate::store::{Fault, Store};

#[derive(Default)]
struct Waiting {
    members: BTreeMap<String, Arc<Member>>,
    stand: Stand,
    ended: bool,
}

/// Members on their way to the disk.
#[derive(Clone)]
pub struct Writer {
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Writer {
    /// Writes what waits once in `every`; tells each change between well and not.
    pub fn start(
        mut store: Store,
        every: Duration,
        mut tell: impl FnMut(Result<(), Fault>) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let waiting: Arc<(Mutex<Waiting>, Condvar)> = Arc::default();
        let theirs = waiting.clone();
        thread::Builder::new().name("state".into()).spawn(move || {
            let (mut well, mut ended, mut left) = (true, false, Vec::new());
            let mut last = Stand::default();
            while !ended {
                let (lock, changed) = &*theirs;
                let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
                let waited = changed.wait_timeout_while(guard, every, |waiting| !waiting.ended);
                let mut waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
                let (members, stand) = (std::mem::take(&mut waiting.members), waiting.stand);
                ended = waiting.ended;
                drop(waiting);
                left.extend(members.into_values());
                let news = std::mem::replace(&mut last, stand) != stand;
                if left.is_empty() && !news && well {
                    continue;
                }
                let now = unix_ms();
                store.drop_forgotten(|member| now - stand.confirmed(&member.told) > FORGOTTEN_AFTER);
                let kept = store.keep(now, std::mem::take(&mut left), stand);
                if kept.is_ok() != well {
                    well = !well;
                    tell(kept);
                }
            }
        })?;
        Ok(Writer { waiting })
    }

    pub fn keep(&self, members: Vec<Arc<Member>>, stand: Stand) {
        let mut waiting = self.waiting.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.stand = stand;
        waiting.members.extend(members.into_iter().map(|member| (member.host.clone(), member)));
    }

    /// Writes what waits and ends.
    pub fn end(&self) {
        self.waiting.0.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
        self.waiting.1.notify_all();
    }
}

fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
