//! The clock that every wait and age of the process is read from.
//!
//! `std::time::Instant` reads CLOCK_MONOTONIC, which stands still while the machine is suspended: a lease, a budget's window or
//! what was heard of another node would look as fresh after the suspension as before it, while everybody else's time went on.
//! CLOCK_BOOTTIME counts it. Waits in the kernel (condition variables, `poll`, socket time-outs) do not; whoever waits looks at
//! this clock when the wait is over.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::ops::Add;
use std::time::Duration;

/// An instant on the clock that counts the time for which the machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The present instant.
    pub fn now() -> Self {
        Self(read(ClockId::Boottime))
    }

    /// Time passed since then.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time passed since `earlier`; zero where that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// Notices that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    /// Longest time for which it can have been suspended, since it was started, at the last look.
    most_before: Duration,
}

impl SuspensionWatch {
    /// Begins now.
    pub fn start() -> Self {
        let mut watch = Self {
            most_before: Duration::MAX,
        };
        watch.look();
        watch
    }

    /// Time for which the machine was suspended since the last look, at least: this thread may have been held up between the
    /// readings of the two clocks.
    pub fn look(&mut self) -> Duration {
        let before = read(ClockId::Monotonic);
        let boot = read(ClockId::Boottime);
        let after = read(ClockId::Monotonic);
        let least = boot.saturating_sub(after);
        let lately = least.saturating_sub(self.most_before);
        self.most_before = boot.saturating_sub(before);
        lately
    }
}

fn read(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    // Neither clock is ever negative.
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}
