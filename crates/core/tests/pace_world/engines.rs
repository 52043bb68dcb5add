//! Simulated engines whose speed depends on their lasting pace and the momentary state of their machine.

use super::Scenario;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Pseudo-random numbers (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub fn unit_interval(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

const PREFILL_SECONDS_PER_TOKEN: f64 = 1.0 / 60_000.0;
const PREFILL_FIXED_SECONDS: f64 = 0.008;
const DECODE_SECONDS_PER_TOKEN: f64 = 0.0040;
const TOKENS_PER_EVENT: u32 = 14;
/// Fraction by which each concurrent output slows down the others.
const SLOWDOWN_PER_OUTPUT: f64 = 0.01;
const KV_TRANSFER_DURATION: Duration = Duration::from_millis(6);

#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    /// Factor by which all work takes longer.
    pub lasting: f64,
    engine_index: u64,
    slowdown: (f64, f64, u64),
    seed: u64,
    free_at: MonotonicTime,
    outputs: Vec<MonotonicTime>,
}

impl SimulatedEngine {
    pub fn new(lasting: f64, engine_index: u64, scenario: &Scenario) -> Self {
        Self {
            lasting,
            engine_index,
            slowdown: (scenario.slow_share, scenario.slow_factor, scenario.slow_millis),
            seed: scenario.seed,
            free_at: MonotonicTime::default(),
            outputs: Vec::new(),
        }
    }

    /// Momentary factor of the machine. Redrawn every `slow_millis`, with a different phase for each engine.
    pub fn momentary(&self, now: MonotonicTime) -> f64 {
        let (share, factor, millis) = self.slowdown;
        let phase = Rng(self.seed ^ self.engine_index).next() % (millis * 1_000);
        let interval = (now.0 + phase) / (millis * 1_000);
        let draw = Rng(self.seed ^ (self.engine_index << 40) ^ interval).unit_interval();
        if draw < share { factor } else { 1.0 }
    }

    fn factor(&self, now: MonotonicTime) -> f64 {
        self.lasting * self.momentary(now)
    }

    /// Queues a prefill behind the earlier ones. Returns when it completes.
    pub fn prefill(&mut self, tokens: u32, now: MonotonicTime) -> MonotonicTime {
        let started_at = now.max(self.free_at);
        let seconds = PREFILL_FIXED_SECONDS + PREFILL_SECONDS_PER_TOKEN * f64::from(tokens);
        self.free_at = started_at + Duration::from_secs_f64(seconds * self.factor(started_at));
        self.free_at
    }

    /// Decodes an output. Returns the times of the first event and of the end, and the maximum time between two events.
    pub fn decode(&mut self, tokens: u32, now: MonotonicTime) -> (MonotonicTime, MonotonicTime, Duration) {
        self.outputs.retain(|end| *end > now);
        let concurrency_factor = 1.0 + SLOWDOWN_PER_OUTPUT * self.outputs.len() as f64;
        let first = now + KV_TRANSFER_DURATION.mul_f64(self.factor(now));
        let mut at = first;
        let mut max_gap = Duration::ZERO;
        for _ in 0..tokens / TOKENS_PER_EVENT {
            let seconds =
                DECODE_SECONDS_PER_TOKEN * f64::from(TOKENS_PER_EVENT) * concurrency_factor * self.factor(at);
            let gap = Duration::from_secs_f64(seconds);
            max_gap = max_gap.max(gap);
            at = at + gap;
        }
        self.outputs.push(at);
        (first, at, max_gap)
    }
}
