//! The machine list, whose changes can be read only after a lag.

use shelfjunction_core::machine::Machine;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// The list that is read now and the changes that will follow.
#[derive(Clone, Debug)]
pub(super) struct LaggingMachines {
    lag: Duration,
    visible: Vec<Machine>,
    pending: Vec<PendingList>,
}

#[derive(Clone, Debug)]
struct PendingList {
    visible_at: MonotonicTime,
    machines: Vec<Machine>,
}

impl LaggingMachines {
    /// A list that is visible from the start.
    pub(super) fn new(lag: Duration, machines: Vec<Machine>) -> Self {
        Self {
            lag,
            visible: machines,
            pending: Vec::new(),
        }
    }

    /// Replaces the list; readers see it after the lag. The first list is seen at once.
    pub(super) fn replace(&mut self, machines: Vec<Machine>, now: MonotonicTime) {
        if self.visible.is_empty() && self.pending.is_empty() {
            self.visible = machines;
            return;
        }
        self.pending.push(PendingList {
            visible_at: now + self.lag,
            machines,
        });
    }

    /// The list as a reader sees it.
    pub(super) fn read(&mut self, now: MonotonicTime) -> Vec<Machine> {
        while self.pending.first().is_some_and(|list| list.visible_at <= now) {
            self.visible = self.pending.remove(0).machines;
        }
        self.visible.clone()
    }
}
