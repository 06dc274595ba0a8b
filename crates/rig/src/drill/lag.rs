//! How long the drill itself stood still: the stand-ins share one thread, and a machine with other work may keep it back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Between two looks at the clock.
const LOOK: Duration = Duration::from_millis(5);
/// The protocol page: a relay answers within 50 ms. A drill that stood still for longer broke that itself and proves nothing.
pub const LAG_MOST: Duration = Duration::from_millis(50);

/// The longest time that the drill stood still.
#[derive(Default)]
pub struct Lag(Cell<Duration>);

impl Lag {
    /// Measures from now on, for as long as the drill's tasks run.
    pub fn measured() -> Rc<Lag> {
        let lag = Rc::new(Lag::default());
        let measure = lag.clone();
        spawn_local(async move {
            loop {
                let due = Instant::now() + LOOK;
                sleep_until(due).await;
                measure.note(due.elapsed());
            }
        });
        lag
    }

    fn note(&self, late: Duration) {
        self.0.set(self.0.get().max(late));
    }

    pub fn longest(&self) -> Duration {
        self.0.get()
    }
}
