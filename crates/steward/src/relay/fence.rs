//! Fencing: checks directly before each write that the lease it was decided under is still in force.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use amberarch_fleet::{machine_ns, Fence, History};

use crate::heard::DecidedUnder;
use crate::http::{Dial, Observed, Watch};

/// Refuses writes of orders that were decided under an expired lease or an older policy stage. Without a fleet every
/// write is allowed.
#[derive(Default)]
pub struct Gate {
    fence: Option<Arc<Fence>>,
    history: Option<Arc<History>>,
    pub(super) ruled: Cell<DecidedUnder>,
}

impl Gate {
    pub fn new(fence: Arc<Fence>, history: Option<Arc<History>>) -> Gate {
        Gate { fence: Some(fence), history, ..Gate::default() }
    }

    pub(super) fn open(&self) -> bool {
        self.fence.as_ref().is_none_or(|fence| fence.open(self.ruled.get().under))
    }
}

impl Watch for Rc<Gate> {
    /// When the write began, where a history is recorded.
    type Token = Option<u64>;
    fn look(&self) -> io::Result<Option<u64>> {
        let began = self.history.is_some().then(machine_ns);
        match self.open() {
            true => Ok(began),
            false => Err(io::Error::other(
                "write refused: the lease or policy stage of its orders is no longer in force",
            )),
        }
    }
    fn wrote(&self, began: Option<u64>, _: usize) {
        let stage = self.ruled.get().stage;
        if let Some(((history, stage), began)) = self.history.as_ref().zip(stage).zip(began) {
            history.wrote(stage, began);
        }
    }
}

/// Opens connections whose every write passes the gate.
pub struct Gated<D> {
    pub dial: D,
    pub gate: Rc<Gate>,
}

impl<D: Dial> Dial for Gated<D> {
    type Stream = Observed<D::Stream, Rc<Gate>>;
    async fn dial(&self, to: SocketAddr) -> io::Result<Self::Stream> {
        Ok(Observed { stream: self.dial.dial(to).await?, watch: self.gate.clone() })
    }
}
