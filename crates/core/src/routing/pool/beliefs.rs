//! Contents of the reports that nodes exchange about engines.

use super::query::PrefixBlock;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// Number of scheduling ranks for which the load of an engine is counted separately. The last is for requests that
/// can't meet their deadline.
pub const RANK_COUNT: usize = 4;

/// Scheduling rank of a request that can meet its deadline; zero is served first. Low priorities share the last such
/// rank.
pub fn rank_for_priority(priority: u8) -> usize {
    usize::from(priority).min(RANK_COUNT - 2)
}

/// Load of a peer at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Prompt tokens that wait for prefill, by rank.
    pub prompt_tokens: [u32; RANK_COUNT],
    /// Number of requests in flight.
    pub requests: u32,
    /// KV cache tokens that the requests hold or will hold.
    pub memory_tokens: u32,
    /// KV cache tokens in transfer to the engine.
    pub transfer_tokens: u32,
    /// Number of requests whose prefill is complete.
    pub outputs: u32,
    /// KV cache tokens of the requests whose prefill is complete.
    pub output_tokens: u32,
    /// Number of decoding requests that have an event gap limit and have not exceeded it.
    pub streams: u32,
    /// Smallest event gap limit of those streams, in milliseconds; zero if there is none.
    pub min_event_gap_limit_millis: u32,
}

/// Capability levels that an empty slice carries in its index; each includes the lower ones. At this level the sender
/// accepts sparse reports.
const SPARSE_REPORTS_LEVEL: u16 = 1;
/// Level at which the sender exchanges and respects engines' rate limits.
const RATE_LIMITS_LEVEL: u16 = 2;

/// The engines that one load report covers: slice `index` of `slice_count` slices of equal size.
///
/// A report replaces everything that its sender reported for the same slice before, so the next report about a slice
/// repairs the loss of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerLoadSlice {
    /// Index of the slice, from zero.
    pub index: u16,
    /// Number of slices; zero for the empty slice.
    pub slice_count: u16,
}

impl PeerLoadSlice {
    /// Covers all engines.
    pub const ALL: Self = Self {
        index: 0,
        slice_count: 1,
    };

    /// Covers no engine. The otherwise unused index carries the sender's capability level; builds that don't know it
    /// ignore it.
    pub const EMPTY: Self = Self {
        index: RATE_LIMITS_LEVEL,
        slice_count: 0,
    };

    /// Whether the slice covers no engine.
    pub fn is_empty(self) -> bool {
        self.slice_count == 0
    }

    /// Whether the sender accepts sparse reports from placers that are not its primary contact.
    pub fn accepts_sparse_reports(self) -> bool {
        self.slice_count == 0 && self.index >= SPARSE_REPORTS_LEVEL
    }

    /// Whether the sender exchanges engines' rate limits.
    pub fn reports_rate_limits(self) -> bool {
        self.slice_count == 0 && self.index >= RATE_LIMITS_LEVEL
    }

    /// Whether the slice covers an engine.
    pub fn includes(self, engine: SubjectHandle) -> bool {
        self.slice_count > 0 && engine.number() % u64::from(self.slice_count) == u64::from(self.index)
    }
}

/// Prefix blocks that an engine has added to its KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUpdate {
    /// Handle of the engine.
    pub engine: SubjectHandle,
    /// The blocks in prompt order.
    pub prefixes: Vec<PrefixBlock>,
    /// Whether the engine has just answered a request, which shows that it is alive.
    pub just_answered: bool,
}

/// Report of a placer that an engine did not answer a node in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredRequestReport {
    /// Handle of the engine.
    pub engine: SubjectHandle,
    /// Zone of the node that sent the request.
    pub from: ZoneId,
    /// Time since the request was sent to the engine, in milliseconds.
    pub sent_before_millis: u32,
}
