//! A signal that ends every waiting thread at once.

use crate::{BootInstant, lock};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Set once; threads wait on it in place of sleeping.
#[derive(Debug, Default)]
pub struct StopSignal {
    set: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    /// Sets the signal and wakes every waiter.
    pub fn set(&self) {
        *lock(&self.set) = true;
        self.changed.notify_all();
    }

    /// Whether the signal is set.
    pub fn is_set(&self) -> bool {
        *lock(&self.set)
    }

    /// Waits until the signal is set or the time has passed; true when it is set.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = BootInstant::now() + timeout;
        let mut set = lock(&self.set);
        while !*set {
            let left = deadline.since(BootInstant::now());
            if left.is_zero() {
                return false;
            }
            set = self
                .changed
                .wait_timeout(set, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }
}
