//! Queries to the pool router.

use crate::forwarding::PoolId;
use crate::identity::{EngineId, RegionId, ZoneId};
use crate::membership::subject::{SubjectHandle, mix};
use crate::streams::StreamOrigin;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One part of a prompt as declared by the caller; parts with the same name contain the same tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Numeric form of the part's name.
    pub name: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prompt as declared by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// Model that processes the prompt.
    pub model: String,
    /// Parts in order; the last is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// The caller's estimate of the number of output tokens; absent if it gave none.
    pub output_estimate: Option<u32>,
}

/// One block of a prompt in the KV cache of an engine. It is usable only if the engine holds all preceding blocks too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the model's name and the part's name.
    pub hash: u64,
    /// Length of the block in tokens.
    pub tokens: u32,
}

impl PrefixBlock {
    /// The block for one part of a prompt to the given model.
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
    /// Expected size of the request's KV cache at its end, in tokens.
    pub fn memory_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.expected_output_tokens())
    }

    /// Expected number of output tokens: the caller's estimate, or the maximum if it gave none.
    pub fn expected_output_tokens(&self) -> u32 {
        let output = self.output_estimate.unwrap_or(self.output_tokens);
        output.min(self.output_tokens)
    }

    /// Parts that other requests may hold too: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Blocks of the prompt in order.
    pub fn prefixes(&self) -> Vec<PrefixBlock> {
        self.parts
            .iter()
            .map(|part| PrefixBlock::of(&self.model, part))
            .collect()
    }
}

/// Constraints of a request that affect the selection of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestConstraints {
    /// Tenant that sent the request; absent if callers need no key.
    pub tenant: Option<SubjectHandle>,
    /// Longest acceptable gap between two events of the answer; absent if the route sets no limit.
    pub max_event_gap: Option<Duration>,
    /// Whether the request may run on one engine only, so that it is lost if that engine fails.
    pub single_try: bool,
    /// Priority of the request's kind among the routes of its pool; zero is the most urgent.
    pub kind_rank: u8,
}

/// One request that needs an engine, with the limits for the selection.
#[derive(Clone, Debug)]
pub struct PoolQuery<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolId,
    /// Prompt of the request; absent if the pool has no model.
    pub prompt: Option<&'a PromptShape>,
    /// Blocks of the prompt, from [`PromptShape::prefixes`].
    pub prefixes: &'a [PrefixBlock],
    /// Zone of the node that sends the request.
    pub zone: &'a ZoneId,
    /// Region whose engines may be selected; absent if those of all regions may. Placers know the load of the engines of their
    /// own region only.
    pub region: Option<&'a RegionId>,
    /// Whether this node sends the request and must respect the backoff that engines requested from it. If the request
    /// belongs to a peer, the peer excludes the engines that requested backoff from it.
    pub from_this_node: bool,
    /// Engines that already failed this request.
    pub excluded: &'a [EngineId],
    /// Whether temporarily avoided engines are allowed because no other is available: engines in backoff or slow start,
    /// cordoned without force, or behind a suspected path.
    pub last_resort: bool,
    /// Where the stream began that the request continues; absent if the caller has no event yet. Only engines that may continue it
    /// are selected.
    pub origin: Option<&'a StreamOrigin>,
    /// Constraints of the request.
    pub constraints: RequestConstraints,
    /// Scheduling rank, from [`super::rank_for_priority`].
    pub rank: usize,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Longest wait for a slot at an engine with a rate limit, from [`crate::rate_limit::max_wait`].
    pub slot_max_wait: Duration,
    /// Random number of the request; distributes the selections that nodes make at the same time.
    pub draw: u64,
}
