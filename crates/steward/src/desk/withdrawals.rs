//! Which hosts may be withdrawn at the relay, by the orders that were passed on to it and by those that it did not carry
//! out.

use std::collections::BTreeSet;

use amberarch_core::{HostId, Order};

/// The hosts that may be withdrawn at the relay, and those of them that the present decisions do not know to be withdrawn
/// and therefore never restore.
#[derive(Default)]
pub struct Withdrawals {
    withdrawn: BTreeSet<HostId>,
    /// A part of `withdrawn`: the event loop restores these itself, ahead of the next orders.
    to_restore: BTreeSet<HostId>,
}

impl Withdrawals {
    /// The hosts that may be withdrawn.
    pub fn hosts(&self) -> &BTreeSet<HostId> {
        &self.withdrawn
    }

    /// The order was passed on to the task that sends calls.
    pub fn passed_on(&mut self, order: &Order) {
        let Order::Withdraw { host, withdrawn } = order else { return };
        self.to_restore.remove(host);
        if *withdrawn {
            self.withdrawn.insert(*host);
        } else {
            self.withdrawn.remove(host);
        }
    }

    /// An order that restores the host was not carried out, or only maybe. It is made up for, unless a later order withdrew
    /// the host again.
    pub fn restore_not_carried_out(&mut self, host: HostId) {
        if self.withdrawn.insert(host) {
            self.to_restore.insert(host);
        }
    }

    /// New decisions begin, which know of no withdrawal.
    pub fn decisions_restarted(&mut self) {
        self.to_restore = self.withdrawn.clone();
    }

    /// Whether hosts are to be restored ahead of the next orders.
    pub fn restores_due(&self, in_service: impl Fn(&HostId) -> bool) -> bool {
        self.to_restore.iter().any(in_service)
    }

    /// The orders that restore these hosts. Those that are not in service wait until they are, or until the decisions
    /// withdraw them: let in ahead of the decisions, a host that drains would get new work until its withdrawal finds room
    /// in the channel.
    ///
    /// A host whose order is not passed on still counts as withdrawn, and is restored once the decisions start anew.
    pub fn take_restores(&mut self, in_service: impl Fn(&HostId) -> bool) -> Vec<Order> {
        let (due, waiting) = std::mem::take(&mut self.to_restore).into_iter().partition(in_service);
        self.to_restore = waiting;
        let due: BTreeSet<HostId> = due;
        due.into_iter().map(|host| Order::Withdraw { host, withdrawn: false }).collect()
    }

    /// The host left the list for good and is named in no order any more.
    pub fn forget(&mut self, host: HostId) {
        self.withdrawn.remove(&host);
        self.to_restore.remove(&host);
    }
}
