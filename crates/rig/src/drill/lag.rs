//! Measures delays of the drill itself: the stand-ins share one thread, which a loaded machine may not schedule in time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Interval between two measurements.
const MEASURE_EVERY: Duration = Duration::from_millis(5);
/// The protocol requires a relay to answer within 50 ms. A drill that was delayed for longer broke that itself and proves
/// nothing.
pub const LAG_MOST: Duration = Duration::from_millis(50);

/// The longest delay measured so far.
#[derive(Default)]
pub struct Lag(Cell<Duration>);

impl Lag {
    /// Measures from now on, for as long as the drill's tasks run.
    pub fn start() -> Rc<Lag> {
        let lag = Rc::new(Lag::default());
        let measure = lag.clone();
        spawn_local(async move {
            loop {
                let due = Instant::now() + MEASURE_EVERY;
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
