//! Text of answers: a fixed function of model, adapter, prompt and offset, so that an oracle can check every token.

use sha2::{Digest, Sha256};
use shelfjunction_core::identity::{AdapterId, ModelId};

/// An answer is this part of the most tokens allowed shorter at most.
const SHORTEST_SHARE: u32 = 4;

/// Tokens of an application's receipt at most.
const RECEIPT_TOKENS: u32 = 4;

/// Odd constants of the splitmix64 generator.
const MIX: [u64; 3] = [
    0x9e37_79b9_7f4a_7c15,
    0xbf58_476d_1ce4_e5b9,
    0x94d0_49bb_1331_11eb,
];

/// What decides the text of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSeed(pub u64);

impl AnswerSeed {
    /// The seed of the answer to a prompt.
    pub fn new(model: &ModelId, adapter: Option<&AdapterId>, prompt: &str) -> Self {
        let mut digest = Sha256::new();
        for field in [model.as_str(), adapter.map_or("", AdapterId::as_str), prompt] {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field.as_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&digest.finalize()[..8]);
        Self(u64::from_le_bytes(first))
    }

    /// Output tokens of the whole answer when at most `maximum` are allowed; at least one.
    pub fn length(self, maximum: u32) -> u32 {
        let shorter = mix(self.0) % u64::from(maximum / SHORTEST_SHARE + 1);
        let shorter = u32::try_from(shorter).unwrap_or(0);
        maximum.saturating_sub(shorter).max(1)
    }

    /// Text of the token at an offset, with the space that ends it.
    pub fn token(self, offset: u32) -> String {
        let word = mix(self.0 ^ mix(u64::from(offset))) >> 40;
        format!("{word:06x} ")
    }
}

/// Output tokens of an application's receipt when at most `maximum` are allowed.
pub fn receipt_length(maximum: u32) -> u32 {
    maximum.clamp(1, RECEIPT_TOKENS)
}

/// One output of splitmix64.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(MIX[0]);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(MIX[1]);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX[2]);
    mixed ^ (mixed >> 31)
}
