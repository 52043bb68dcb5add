//! What other nodes say of their work.

use super::query::PrefixBlock;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// Ranks that are told apart in the work at an engine; the last is for what can't be in time.
pub const RANKS: usize = 4;

/// The rank under which the work of a request that can be in time is counted; zero goes first, all lesser ones count as
/// the last of them.
pub fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 2)
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
    /// Requests of which no prompt is left to read.
    pub outputs: u32,
    /// Tokens of KV cache of those requests.
    pub output_tokens: u32,
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
