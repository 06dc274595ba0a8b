//! What the watch reveals about the relay while a call's outcome is unknown: whether the relay sends anything, and whether
//! a proxy answered the call's mark, which proves that the call was carried out.

use std::cell::Cell;

use amberarch_core::MarkId;
use tokio::sync::{watch, Notify};

/// Shared by the task that reads the watch and the task that sends calls.
#[derive(Default)]
pub struct RelaySigns {
    awaited: Cell<Option<MarkId>>,
    proven: Cell<bool>,
    answered: Notify,
    received: Notify,
    /// The watch has sent nothing, not even a heartbeat, for too long.
    silent: watch::Sender<bool>,
}

impl RelaySigns {
    /// Waits for answers to this mark from now on, and for no other.
    pub fn await_mark(&self, mark: Option<MarkId>) {
        self.awaited.set(mark);
        self.proven.set(false);
    }

    /// Records that a proxy has applied everything up to the mark.
    pub fn applied(&self, mark: MarkId) {
        if self.awaited.get() == Some(mark) {
            self.proven.set(true);
            self.answered.notify_waiters();
        }
    }

    /// Records that the watch received something.
    pub fn spoke(&self) {
        self.silent.send_if_modified(std::mem::take);
        self.received.notify_waiters();
    }

    /// Records that the watch has been silent for too long.
    pub fn mark_silent(&self) {
        self.silent.send_replace(true);
    }

    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Waits until the watch is silent.
    pub async fn silence(&self) {
        // The sender is never dropped while `self` is borrowed.
        let _ = self.silent.subscribe().wait_for(|silent| *silent).await;
    }

    /// Waits until the awaited mark is answered.
    pub async fn mark_answered(&self) {
        let answered = self.answered.notified();
        if !self.proven.get() {
            answered.await;
        }
    }

    /// Waits until the watch receives something.
    pub async fn speaks(&self) {
        self.received.notified().await;
    }
}
