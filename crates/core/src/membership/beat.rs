//! Beats: small, often replaced reports that age and need not arrive.

use super::aged::Beat;
use super::quantity::{from_byte, to_byte};
use super::subject::SubjectHandle;
use crate::engine::LoadReport;
use crate::identity::Generation;
use serde::{Deserialize, Serialize};

/// Every such beat of an engine or node is passed on in the whole region.
const REGION_EVERY: u32 = 4;

/// Every such beat of an engine or node is passed on everywhere.
const EVERYWHERE_EVERY: u32 = 16;

/// Cache use is told in parts of this.
const CACHE_PARTS: u64 = 255;

/// How far a beat travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Inside the subject's zone.
    Zone,
    /// Inside the subject's region.
    Region,
    /// To every node.
    Everywhere,
}

impl Reach {
    /// Reach of a beat by its position, so that it costs no byte of its own.
    pub fn of(sequence: u32) -> Self {
        if sequence.is_multiple_of(EVERYWHERE_EVERY) {
            return Self::Everywhere;
        }
        if sequence.is_multiple_of(REGION_EVERY) {
            return Self::Region;
        }
        Self::Zone
    }
}

/// Load of one engine in 15 to 20 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBeat {
    /// The engine.
    pub engine: SubjectHandle,
    /// Position among the engine's beats.
    pub sequence: u32,
    /// Time since the engine was asked, in tenths of a second.
    pub age_tenths: u16,
    /// Rounded load.
    pub load: CompactLoad,
}

/// A load report rounded by [`super::quantity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactLoad {
    requests_in_flight: u8,
    queued_prefill_tokens: u8,
    queued_decode_tokens: u8,
    active_sequences: u8,
    cache_share: u8,
    prefill_tokens_per_second: u8,
    decode_tokens_per_second: u8,
}

impl CompactLoad {
    /// Rounds a report; the cache's capacity is left to the fact.
    pub fn of(load: &LoadReport) -> Self {
        let used = load.cache_tokens_used.min(load.cache_tokens_capacity);
        let share = (used * CACHE_PARTS)
            .checked_div(load.cache_tokens_capacity)
            .unwrap_or(0);
        Self {
            requests_in_flight: to_byte(u64::from(load.requests_in_flight)),
            queued_prefill_tokens: to_byte(load.queued_prefill_tokens),
            queued_decode_tokens: to_byte(load.queued_decode_tokens),
            active_sequences: to_byte(u64::from(load.active_sequences)),
            cache_share: u8::try_from(share).unwrap_or(u8::MAX),
            prefill_tokens_per_second: to_byte(load.prefill_tokens_per_second),
            decode_tokens_per_second: to_byte(load.decode_tokens_per_second),
        }
    }

    /// The report again, within the rounding.
    pub fn report(&self, cache_tokens_capacity: u64) -> LoadReport {
        let small = |byte| u32::try_from(from_byte(byte)).unwrap_or(u32::MAX);
        LoadReport {
            requests_in_flight: small(self.requests_in_flight),
            queued_prefill_tokens: from_byte(self.queued_prefill_tokens),
            queued_decode_tokens: from_byte(self.queued_decode_tokens),
            active_sequences: small(self.active_sequences),
            cache_tokens_used: cache_tokens_capacity / CACHE_PARTS * u64::from(self.cache_share),
            cache_tokens_capacity,
            prefill_tokens_per_second: from_byte(self.prefill_tokens_per_second),
            decode_tokens_per_second: from_byte(self.decode_tokens_per_second),
        }
    }
}

/// Generation in force at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBeat {
    /// The node.
    pub node: SubjectHandle,
    /// Position among the node's beats.
    pub sequence: u32,
    /// Time since the node said so, in tenths of a second.
    pub age_tenths: u16,
    /// The generation.
    pub generation: Generation,
}

impl Beat for LoadBeat {
    fn sequence(&self) -> u32 {
        self.sequence
    }

    fn age_tenths(&self) -> u16 {
        self.age_tenths
    }
}

impl Beat for NodeBeat {
    fn sequence(&self) -> u32 {
        self.sequence
    }

    fn age_tenths(&self) -> u16 {
        self.age_tenths
    }
}
