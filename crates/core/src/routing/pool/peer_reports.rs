//! What other nodes say of their work.

use super::query::PrefixBlock;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// Ranks that are told apart in the work at an engine; the last is for what can't be in time.
pub const RANK_COUNT: usize = 4;

/// The rank under which the work of a request that can be in time is counted; zero goes first, all lesser ones count as
/// the last of them.
pub fn rank_for_priority(priority: u8) -> usize {
    usize::from(priority).min(RANK_COUNT - 2)
}

/// Work of another node at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Prompt tokens to read, by rank.
    pub prompt_tokens: [u32; RANK_COUNT],
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
    /// Those of them whose route names the longest harmless pause, and that have kept to it so far.
    pub streams: u32,
    /// Shortest of the longest harmless pauses of those streams, in milliseconds.
    pub min_event_gap_limit_millis: u32,
}

/// What the number of a slice without engines says; each says what the lower ones do as well.
const SPARSE_REPORTS_LEVEL: u16 = 1;
/// The sender speaks of engines' rate limits, and keeps to them.
const RATE_LIMITS_LEVEL: u16 = 2;

/// The engines that one message about work is about: of `of` equal parts the one numbered `index`.
///
/// What a message says of its slice replaces what its sender said of it before, so that a lost message is made good by
/// the next one about the same engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerLoadSlice {
    /// Number of the part, from zero.
    pub index: u16,
    /// Parts.
    pub slice_count: u16,
}

impl PeerLoadSlice {
    /// All engines.
    pub const ALL: Self = Self {
        index: 0,
        slice_count: 1,
    };

    /// No engine. The number of the part, which means nothing here, says that the sender takes sparse words from far
    /// placers, and speaks of rate limits: builds that don't know it pass it over.
    pub const EMPTY: Self = Self {
        index: RATE_LIMITS_LEVEL,
        slice_count: 0,
    };

    /// Whether the slice is about no engine.
    pub fn is_empty(self) -> bool {
        self.slice_count == 0
    }

    /// Whether the sender takes sparse words from far placers.
    pub fn accepts_sparse_reports(self) -> bool {
        self.slice_count == 0 && self.index >= SPARSE_REPORTS_LEVEL
    }

    /// Whether the sender speaks of engines' rate limits.
    pub fn reports_rate_limits(self) -> bool {
        self.slice_count == 0 && self.index >= RATE_LIMITS_LEVEL
    }

    /// Whether the slice is about an engine.
    pub fn includes(self, engine: SubjectHandle) -> bool {
        self.slice_count > 0 && engine.number() % u64::from(self.slice_count) == u64::from(self.index)
    }
}

/// Prefixes that an engine has come to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUpdate {
    /// The engine.
    pub engine: SubjectHandle,
    /// The prefixes, shortest first.
    pub prefixes: Vec<PrefixBlock>,
    /// Whether the engine has just answered, so that it lives.
    pub just_answered: bool,
}

/// An engine that said nothing for too long to a node, as a placer tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// The engine.
    pub engine: SubjectHandle,
    /// Zone of the node.
    pub from: ZoneId,
    /// Milliseconds since the node's request was sent there.
    pub sent_before_millis: u32,
}
