//! Identity of cached prompt prefixes: a chain of block hashes, salted with the tenant.
//!
//! The tokens of a prompt are its words, separated by white space. Each full block of [`BLOCK_TOKENS`] tokens has a hash
//! that also covers the preceding block, so equal hashes mean equal prompts up to the end of that block. The chain starts
//! from the tenant's salt, the model and the adapter: without the salt, another tenant's prefixes can't be computed or
//! recognised.

use crate::identity::{AdapterId, ModelId};
use sha2::{Digest, Sha256};

/// Tokens in one block. An incomplete block at the end of a prompt is not shared.
pub const BLOCK_TOKENS: usize = 16;

/// Terminates each word, so that `a b` and `ab` have different hashes. A word that contains this byte can collide only with
/// prompts of the same tenant.
const WORD_END: u8 = 0;

/// Properties that must match, in addition to the prompt, before two requests may share a KV cache.
#[derive(Clone, Copy, Debug)]
pub struct PrefixScope<'a> {
    /// Secret salt of the tenant.
    pub salt: &'a str,
    /// Model that computes the KV cache.
    pub model: &'a ModelId,
    /// Adapter applied to the model, if any.
    pub adapter: Option<&'a AdapterId>,
}

/// Token count and block hashes of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// Number of tokens in the prompt, including an incomplete last block.
    pub tokens: u32,
    /// Hash of each full block, from the start of the prompt.
    pub hashes: Vec<u64>,
}

impl PromptBlocks {
    /// Number of tokens in `blocks` full blocks.
    pub fn tokens_in(blocks: usize) -> u32 {
        u32::try_from(blocks.saturating_mul(BLOCK_TOKENS)).unwrap_or(u32::MAX)
    }
}

/// Counts the tokens of a text.
pub fn token_count(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Splits a prompt into blocks and hashes them.
pub fn hash_prompt(scope: &PrefixScope<'_>, prompt: &str) -> PromptBlocks {
    let mut previous = chain_start(scope);
    let mut hashes = Vec::new();
    let mut block = Sha256::new();
    let mut tokens_in_block = 0;
    let mut tokens: u32 = 0;
    for word in prompt.split_whitespace() {
        if tokens_in_block == 0 {
            block.update(previous);
        }
        block.update(word.as_bytes());
        block.update([WORD_END]);
        tokens = tokens.saturating_add(1);
        tokens_in_block += 1;
        if tokens_in_block == BLOCK_TOKENS {
            previous = block.finalize_reset().into();
            hashes.push(truncate_digest(&previous));
            tokens_in_block = 0;
        }
    }
    PromptBlocks { tokens, hashes }
}

/// Number of leading blocks of `wanted` for which `is_cached` returns true.
pub fn matching_blocks(wanted: &[u64], is_cached: impl Fn(u64) -> bool) -> usize {
    wanted.iter().take_while(|hash| is_cached(**hash)).count()
}

/// Digest that the hash of the first block includes in place of a preceding block.
fn chain_start(scope: &PrefixScope<'_>) -> [u8; 32] {
    let adapter = scope.adapter.map_or("", AdapterId::as_str);
    let mut start = Sha256::new();
    for field in [scope.salt, scope.model.as_str(), adapter] {
        start.update((field.len() as u64).to_le_bytes());
        start.update(field.as_bytes());
    }
    start.finalize().into()
}

/// Truncates a digest to its first eight bytes.
fn truncate_digest(digest: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}
