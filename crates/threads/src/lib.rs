//! What every threaded part shares: the clock, a signal that ends waiting threads, and a lock that outlives a panic.

mod boot_clock;
mod stop;

pub use boot_clock::{BootInstant, SuspensionWatch};
pub use stop::StopSignal;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a thread that panicked while holding it leaves values that are whole, so its mark is ignored.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
