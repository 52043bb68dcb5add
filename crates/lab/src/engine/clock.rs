//! Model time: real time, scaled, without the time that the engine was frozen.

use shelfjunction_core::time::MonotonicTime;
use std::time::{Duration, Instant};

/// Reads model time.
#[derive(Clone, Copy, Debug)]
pub struct ScaledClock {
    start: Instant,
    scale: f64,
    frozen: Duration,
    frozen_until: Option<Instant>,
}

impl ScaledClock {
    /// Starts at zero now; `scale` model seconds pass in one second.
    pub fn start(scale: f64) -> Self {
        Self {
            start: Instant::now(),
            scale,
            frozen: Duration::ZERO,
            frozen_until: None,
        }
    }

    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        let passed = self.start.elapsed().saturating_sub(self.frozen);
        MonotonicTime::default() + passed.mul_f64(self.scale)
    }

    /// Real time until an instant of model time.
    pub fn until(&self, at: MonotonicTime) -> Duration {
        at.since(self.now()).div_f64(self.scale)
    }

    /// Stops model time for some real time.
    pub fn freeze(&mut self, duration: Duration) {
        self.frozen += duration;
        self.frozen_until = Some(Instant::now() + duration);
    }

    /// Real time that the engine stays frozen; absent when it is not.
    pub fn frozen_for(&self) -> Option<Duration> {
        let left = self.frozen_until?.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }
}
