//! What the watch shows of the relay while a call is unsure: that the relay says something, and that proxies answered the
//! call's mark, so that it was carried out.

use std::cell::Cell;

use amberarch_core::MarkId;
use tokio::sync::{watch, Notify};

/// Shared by the task that follows the watch and the one that sends calls.
#[derive(Default)]
pub struct RelaySigns {
    awaited: Cell<Option<MarkId>>,
    proven: Cell<bool>,
    answered: Notify,
    heard: Notify,
    /// The watch gives no sign of life.
    silent: watch::Sender<bool>,
}

impl RelaySigns {
    /// From here on an answer to this mark counts, and none to an earlier one.
    pub fn await_mark(&self, mark: Option<MarkId>) {
        self.awaited.set(mark);
        self.proven.set(false);
    }

    /// A proxy has applied all up to the mark.
    pub fn applied(&self, mark: MarkId) {
        if self.awaited.get() == Some(mark) {
            self.proven.set(true);
            self.answered.notify_waiters();
        }
    }

    /// Something came on the watch.
    pub fn spoke(&self) {
        self.silent.send_if_modified(std::mem::take);
        self.heard.notify_waiters();
    }

    /// The watch gives no sign of life.
    pub fn fell_silent(&self) {
        self.silent.send_replace(true);
    }

    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Waits until the watch gives no sign of life.
    pub async fn silence(&self) {
        // It lasts as long as this does.
        let _ = self.silent.subscribe().wait_for(|silent| *silent).await;
    }

    /// Waits until the awaited mark is answered.
    pub async fn mark_answered(&self) {
        let answered = self.answered.notified();
        if !self.proven.get() {
            answered.await;
        }
    }

    /// Waits until something comes on the watch.
    pub async fn speaks(&self) {
        self.heard.notified().await;
    }
}
