//! What the router is asked.

use crate::forwarding::PoolId;
use crate::identity::{EngineId, ZoneId};
use crate::membership::subject::{SubjectHandle, mix};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One part of a prompt as the caller declares it; the same name stands for the same tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Number of the part's name.
    pub name: u64,
    /// Tokens.
    pub tokens: u32,
}

/// A declared prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// Model that reads it.
    pub model: String,
    /// Parts in order; the last is the request's own or its session's.
    pub parts: Vec<PromptPart>,
    /// Tokens in all.
    pub tokens: u32,
    /// Most output tokens.
    pub output_tokens: u32,
    /// The caller's estimate of the output tokens, where it gives one.
    pub output_estimate: Option<u32>,
}

/// One part of a prompt as engines keep it: it counts as held only where every part before it is held too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the model's and the part's name.
    pub hash: u64,
    /// Tokens.
    pub tokens: u32,
}

impl PrefixBlock {
    /// The block of one part for one model.
    pub fn of(model: &str, part: &PromptPart) -> Self {
        Self {
            hash: mix(model_hash(model) ^ part.name),
            tokens: part.tokens,
        }
    }
}

fn model_hash(model: &str) -> u64 {
    model.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

impl PromptShape {
    /// Tokens of KV cache that the request is expected to hold at its end.
    pub fn memory_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.expected_output_tokens())
    }

    /// Output tokens that are expected.
    pub fn expected_output_tokens(&self) -> u32 {
        let output = self.output_estimate.unwrap_or(self.output_tokens);
        output.min(self.output_tokens)
    }

    /// The prompt's blocks in order.
    pub fn prefixes(&self) -> Vec<PrefixBlock> {
        self.parts
            .iter()
            .map(|part| PrefixBlock::of(&self.model, part))
            .collect()
    }
}

/// What a request is owed beside its answer, as far as it decides where it goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestConstraints {
    /// The tenant whose request it is; absent where callers need no key.
    pub tenant: Option<SubjectHandle>,
    /// Longest pause between two events of its answer that is harmless; absent where the route names none.
    pub max_event_gap: Option<Duration>,
    /// Whether it may run on one engine only: one that ends under it can't be made good.
    pub single_try: bool,
    /// Rank of its kind among the routes of its pool; zero is the most urgent.
    pub kind_rank: u8,
}

/// One request that needs an engine.
#[derive(Clone, Debug)]
pub struct PoolQuery<'a> {
    /// Pool that serves it.
    pub pool: &'a PoolId,
    /// Its prompt; absent where the pool's engines run no model.
    pub prompt: Option<&'a PromptShape>,
    /// Prefixes of the prompt, from [`PromptShape::prefixes`].
    pub prefixes: &'a [PrefixBlock],
    /// Zone of this node.
    pub zone: &'a ZoneId,
    /// Whether this node sends it, so that it does not go to engines that asked this node to back off. Another node, for which
    /// this one only chooses, leaves out those that asked it.
    pub from_this_node: bool,
    /// Engines that failed this request before.
    pub excluded: &'a [EngineId],
    /// Whether nothing else is left, so that engines may be chosen that are left alone for a while: paused, cordoned without
    /// force, beyond a suspected path, or with load that returns step by step.
    pub last_resort: bool,
    /// What it is owed.
    pub constraints: RequestConstraints,
    /// Rank among requests, from [`super::rank_for_priority`].
    pub rank: usize,
    /// Time left.
    pub remaining: Duration,
    /// Longest wait for a slot at an engine that names a rate limit, from [`crate::rate_limit::max_wait`].
    pub slot_max_wait: Duration,
    /// Number drawn for the request; spreads requests that different nodes choose for at the same moment.
    pub draw: u64,
}
