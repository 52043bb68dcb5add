//! What the router is asked.

use crate::forwarding::PoolId;
use crate::identity::{EngineId, ZoneId};
use crate::membership::subject::mix;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One part of a prompt as the caller declares it; the same name stands for the same tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Number of the part's name.
    pub name: u64,
    /// Tokens.
    pub tokens: u32,
}

/// A declared prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Model that reads it.
    pub model: String,
    /// Parts in order; the last is the request's own or its session's.
    pub parts: Vec<PromptPart>,
    /// Tokens in all.
    pub tokens: u32,
    /// Most output tokens.
    pub output_tokens: u32,
}

/// A prefix of a prompt: every part up to one, with the tokens that this part adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the model and every part up to and including this one.
    pub hash: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

impl PromptShape {
    /// The prompt's prefixes, shortest first.
    pub fn prefixes(&self) -> Vec<PrefixBlock> {
        let mut hash = self
            .model
            .bytes()
            .fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        self.parts
            .iter()
            .map(|part| {
                hash = mix(hash ^ part.name ^ (u64::from(part.tokens) << 40));
                PrefixBlock {
                    hash,
                    tokens: part.tokens,
                }
            })
            .collect()
    }
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
    /// Engines that failed this request before.
    pub excluded: &'a [EngineId],
    /// Rank among requests, from [`super::rank_of`].
    pub rank: usize,
    /// Time left.
    pub remaining: Duration,
}
