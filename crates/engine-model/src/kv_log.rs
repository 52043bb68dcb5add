//! Cache events as they can be read: late, and with gaps.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::engine::{KvChange, KvEvent};
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Events since the engine's start, the oldest dropped first.
#[derive(Clone, Debug)]
pub(crate) struct KvLog {
    events: VecDeque<(MonotonicTime, KvEvent)>,
    next_sequence: u64,
    capacity: usize,
}

impl KvLog {
    pub fn new(capacity: u32) -> Self {
        Self {
            events: VecDeque::new(),
            next_sequence: 1,
            capacity: capacity as usize,
        }
    }

    /// Records a change, or loses it with the given probability; a lost one still takes a sequence number.
    pub fn record(&mut self, at: MonotonicTime, change: KvChange, loss: f64, random: &mut ChaCha8Rng) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if loss > 0.0 && random.random_bool(loss.min(1.0)) {
            return;
        }
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back((at, KvEvent { sequence, change }));
    }

    /// Events after a sequence number that are at least `lag` old.
    pub fn after(&self, after: u64, now: MonotonicTime, lag: Duration) -> Vec<KvEvent> {
        let start = self.events.partition_point(|(_, event)| event.sequence <= after);
        self.events
            .range(start..)
            .take_while(|(at, _)| *at + lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
