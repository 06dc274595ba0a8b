//! A look at what holds directly before each write.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use amberarch_fleet::{machine_ns, Fence, History};

use crate::heard::Ruled;
use crate::http::{Dial, Watch, Watched};

/// Looks at what holds directly before each write, so that what was decided under a lease that is over, or under an
/// older stage, does not leave. Without a fleet all may go out.
#[derive(Default)]
pub struct Gate {
    fence: Option<Arc<Fence>>,
    history: Option<Arc<History>>,
    pub(super) ruled: Cell<Ruled>,
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
    /// When the write began, where a history is kept.
    type Look = Option<u64>;
    fn look(&self) -> io::Result<Option<u64>> {
        let began = self.history.is_some().then(machine_ns);
        match self.open() {
            true => Ok(began),
            false => Err(io::Error::other("what it was decided under holds no more")),
        }
    }
    fn wrote(&self, began: Option<u64>, _: usize) {
        let stage = self.ruled.get().stage;
        if let Some(((history, stage), began)) = self.history.as_ref().zip(stage).zip(began) {
            history.wrote(stage, began);
        }
    }
}

/// Connections whose every write goes through the gate.
pub struct Gated<D> {
    pub dial: D,
    pub gate: Rc<Gate>,
}

impl<D: Dial> Dial for Gated<D> {
    type Stream = Watched<D::Stream, Rc<Gate>>;
    async fn dial(&self, to: SocketAddr) -> io::Result<Self::Stream> {
        Ok(Watched { stream: self.dial.dial(to).await?, watch: self.gate.clone() })
    }
}
