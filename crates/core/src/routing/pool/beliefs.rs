//! What other nodes say of their work, and how fast engines read prompts.

use super::query::PrefixBlock;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Ranks that are told apart in the work at an engine; all lesser ones count as the last.
pub const RANKS: usize = 4;

/// The rank under which a request's work is counted; zero goes first.
pub fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

/// Work of another node at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWork {
    /// Prompt tokens to read, by rank.
    pub prompt_tokens: [u32; RANKS],
    /// Requests.
    pub requests: u32,
    /// Tokens of KV cache that the requests hold or will hold.
    pub memory_tokens: u32,
    /// Tokens of KV cache that are on their way there.
    pub moving_tokens: u32,
}

/// Prefixes that an engine has come to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixNews {
    /// The engine.
    pub engine: SubjectHandle,
    /// The prefixes, shortest first.
    pub prefixes: Vec<PrefixBlock>,
    /// Whether the engine has just answered, so that it lives.
    pub just_answered: bool,
}

/// Share of an observation in the running mean.
const OBSERVATION_SHARE: f64 = 0.2;

/// Fewest tokens from which a speed is told.
const FEWEST_TOKENS: f64 = 1_500.0;

/// Part of an answer's time that no prompt reading explains: the way there and back, and the first step.
const FIXED_TIME: Duration = Duration::from_millis(20);

/// Prompt tokens that engines of a pool read in a second, learned from prompts that met an idle engine.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    tokens_per_second: f64,
}

impl SpeedEstimate {
    /// Begins with an assumption.
    pub fn assumed(tokens_per_second: f64) -> Self {
        Self { tokens_per_second }
    }

    /// The estimate, in tokens per second.
    pub fn tokens_per_second(&self) -> f64 {
        self.tokens_per_second
    }

    /// Takes the time that reading a prompt took at an engine that was idle when it came.
    pub fn observe(&mut self, tokens: f64, took: Duration) {
        if tokens < FEWEST_TOKENS {
            return;
        }
        let seconds = took.saturating_sub(FIXED_TIME).as_secs_f64().max(0.001);
        let observed = tokens / seconds;
        self.tokens_per_second += OBSERVATION_SHARE * (observed - self.tokens_per_second);
    }
}
