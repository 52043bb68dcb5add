//! The signal that ends background threads, and the lock that every module shares.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Set once; threads wait on it in place of sleeping.
#[derive(Debug, Default)]
pub(crate) struct StopSignal {
    set: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    /// Sets the signal and wakes every waiter.
    pub(crate) fn set(&self) {
        *lock(&self.set) = true;
        self.changed.notify_all();
    }

    /// Whether the signal is set.
    pub(crate) fn is_set(&self) -> bool {
        *lock(&self.set)
    }

    /// Waits until the signal is set or the time has passed; true when it is set.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut set = lock(&self.set);
        while !*set {
            let left = deadline.saturating_duration_since(Instant::now());
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

/// Locks a mutex; a thread that panicked while holding it leaves values that are whole, so its mark is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
