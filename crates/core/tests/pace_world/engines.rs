//! Engines that take as long as their own speed and the state of their machine make it.

use super::World;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Numbers from a seed (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// From zero to below one.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

const READ_SECONDS_PER_TOKEN: f64 = 1.0 / 60_000.0;
const READ_FIXED_SECONDS: f64 = 0.008;
const TOKEN_SECONDS: f64 = 0.0040;
const TOKENS_IN_PIECE: u32 = 14;
/// Part by which each further output makes all of them slower.
const EACH_OUTPUT: f64 = 0.01;
const HAND_OVER: Duration = Duration::from_millis(6);

/// One engine.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    /// Factor of its own speed.
    pub lasting: f64,
    number: u64,
    slow: (f64, f64, u64),
    seed: u64,
    free_at: MonotonicTime,
    outputs: Vec<MonotonicTime>,
}

impl SimulatedEngine {
    pub fn new(lasting: f64, number: u64, world: &World) -> Self {
        Self {
            lasting,
            number,
            slow: (world.slow_share, world.slow_factor, world.slow_millis),
            seed: world.seed,
            free_at: MonotonicTime::default(),
            outputs: Vec::new(),
        }
    }

    /// How its machine stands; drawn anew each time after `slow_millis`, at its own phase.
    pub fn momentary(&self, now: MonotonicTime) -> f64 {
        let (share, factor, millis) = self.slow;
        let phase = Rng(self.seed ^ self.number).next() % (millis * 1_000);
        let interval = (now.0 + phase) / (millis * 1_000);
        let drawn = Rng(self.seed ^ (self.number << 40) ^ interval).part();
        if drawn < share { factor } else { 1.0 }
    }

    fn factor(&self, now: MonotonicTime) -> f64 {
        self.lasting * self.momentary(now)
    }

    /// Reads a prompt after those that came before it; when it was read.
    pub fn read(&mut self, tokens: u32, now: MonotonicTime) -> MonotonicTime {
        let begins = now.max(self.free_at);
        let seconds = READ_FIXED_SECONDS + READ_SECONDS_PER_TOKEN * f64::from(tokens);
        self.free_at = begins + Duration::from_secs_f64(seconds * self.factor(begins));
        self.free_at
    }

    /// Runs an output; its first event, its end and its longest pause.
    pub fn run(&mut self, tokens: u32, now: MonotonicTime) -> (MonotonicTime, MonotonicTime, Duration) {
        self.outputs.retain(|end| *end > now);
        let beside = 1.0 + EACH_OUTPUT * self.outputs.len() as f64;
        let first = now + HAND_OVER.mul_f64(self.factor(now));
        let mut at = first;
        let mut longest = Duration::ZERO;
        for _ in 0..tokens / TOKENS_IN_PIECE {
            let seconds = TOKEN_SECONDS * f64::from(TOKENS_IN_PIECE) * beside * self.factor(at);
            let pause = Duration::from_secs_f64(seconds);
            longest = longest.max(pause);
            at = at + pause;
        }
        self.outputs.push(at);
        (first, at, longest)
    }
}
