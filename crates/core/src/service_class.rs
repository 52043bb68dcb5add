//! Classes of service: what a request's caller is waiting for.

use serde::{Deserialize, Serialize};

/// Class of a request; a lower number is served before a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceClass {
    /// A person waits for the first words: counter replies, on-air work.
    Interactive,
    /// Ordinary work.
    #[default]
    Standard,
    /// Work with a distant deadline: summaries, whole transcripts.
    Batch,
}

impl ServiceClass {
    /// Every class, the most urgent first.
    pub const ALL: [ServiceClass; 3] = [
        ServiceClass::Interactive,
        ServiceClass::Standard,
        ServiceClass::Batch,
    ];

    /// Position in [`Self::ALL`].
    pub const fn index(self) -> usize {
        match self {
            ServiceClass::Interactive => 0,
            ServiceClass::Standard => 1,
            ServiceClass::Batch => 2,
        }
    }
}

/// Limits within which a finished request of one class counts as goodput.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// Longest time to the first token, in milliseconds.
    pub first_token_millis: u64,
    /// Longest mean time between tokens, in milliseconds.
    pub between_tokens_millis: u64,
    /// Longest time to the last token, in milliseconds.
    pub deadline_millis: u64,
}
