//! Identity of cached prompt prefixes: a chain of block hashes, salted with the tenant.
//!
//! A prompt's tokens are its white-space separated words. Each full block of [`BLOCK_TOKENS`] tokens gets a hash
//! that covers the block before it, so equal hashes mean equal prompts up to the end of that block. The chain
//! starts from the tenant's salt, the model and the adapter: without the salt nobody can compute, hit or
//! recognise another tenant's prefix.

use crate::identity::{AdapterId, ModelId};
use sha2::{Digest, Sha256};

/// Tokens in one block; a shorter rest at a prompt's end is not shared.
pub const BLOCK_TOKENS: usize = 16;

/// Ends each word, so that the words `a b` and `ab` give different hashes; not white space, yet a word that held it
/// could only meet its own tenant's hashes.
const WORD_END: u8 = 0;

/// Everything besides the prompt that decides whether a KV cache may be shared.
#[derive(Clone, Copy, Debug)]
pub struct PrefixScope<'a> {
    /// Secret salt of the tenant.
    pub salt: &'a str,
    /// The model that computes the cache.
    pub model: &'a ModelId,
    /// The adapter on top of it.
    pub adapter: Option<&'a AdapterId>,
}

/// A prompt as the caches see it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// Tokens in the whole prompt.
    pub tokens: u32,
    /// Hash of each full block, in order.
    pub hashes: Vec<u64>,
}

impl PromptBlocks {
    /// Tokens that the first `blocks` blocks cover.
    pub fn tokens_in(blocks: usize) -> u32 {
        u32::try_from(blocks.saturating_mul(BLOCK_TOKENS)).unwrap_or(u32::MAX)
    }
}

/// Counts a text's tokens.
pub fn token_count(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Splits a prompt into blocks and hashes them.
pub fn hash_prompt(scope: &PrefixScope<'_>, prompt: &str) -> PromptBlocks {
    let mut previous = chain_start(scope);
    let mut hashes = Vec::new();
    let mut block = Sha256::new();
    let mut in_block = 0;
    let mut tokens: u32 = 0;
    for word in prompt.split_whitespace() {
        if in_block == 0 {
            block.update(previous);
        }
        block.update(word.as_bytes());
        block.update([WORD_END]);
        tokens = tokens.saturating_add(1);
        in_block += 1;
        if in_block == BLOCK_TOKENS {
            previous = block.finalize_reset().into();
            hashes.push(shorten(&previous));
            in_block = 0;
        }
    }
    PromptBlocks { tokens, hashes }
}

/// Blocks at the start of `wanted` that `held` has, in order.
pub fn matching_blocks(wanted: &[u64], held: impl Fn(u64) -> bool) -> usize {
    wanted.iter().take_while(|hash| held(**hash)).count()
}

/// Digest that stands before the first block.
fn chain_start(scope: &PrefixScope<'_>) -> [u8; 32] {
    let adapter = scope.adapter.map_or("", AdapterId::as_str);
    let mut start = Sha256::new();
    for field in [scope.salt, scope.model.as_str(), adapter] {
        start.update((field.len() as u64).to_le_bytes());
        start.update(field.as_bytes());
    }
    start.finalize().into()
}

/// The first eight bytes of a digest.
fn shorten(digest: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}
