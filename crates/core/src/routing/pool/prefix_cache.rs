//! Estimate of the prefix blocks in an engine's KV cache, with eviction of the least recently used.

use super::query::PrefixBlock;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, HashMap};

/// Share of an engine's KV cache that is available for prefix blocks while requests run.
const PREFIX_CACHE_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct HeldBlock {
    tokens: u32,
    last_use: (MonotonicTime, u64),
}

/// Prefix blocks that an engine is estimated to hold, limited to its KV cache capacity.
#[derive(Clone, Debug)]
pub struct PrefixCacheEstimate {
    capacity: u64,
    tokens: u64,
    use_count: u64,
    held: HashMap<u64, HeldBlock>,
    by_use: BTreeMap<(MonotonicTime, u64), u64>,
}

impl PrefixCacheEstimate {
    /// An empty estimate for an engine whose KV cache holds `cache_tokens` tokens.
    pub fn new(cache_tokens: u64) -> Self {
        Self {
            capacity: (cache_tokens as f64 * PREFIX_CACHE_SHARE) as u64,
            tokens: 0,
            use_count: 0,
            held: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Records that the engine prefilled a prompt with these blocks.
    pub fn record_prefill(&mut self, prefixes: &[PrefixBlock], now: MonotonicTime) {
        // Touched in reverse order, so that a block is evicted before the preceding blocks that it depends on.
        for block in prefixes.iter().rev() {
            self.touch(block, now);
        }
        while self.tokens > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(held) = self.held.remove(&oldest) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }

    /// Number of leading prompt tokens that are held.
    pub fn held_tokens(&self, prefixes: &[PrefixBlock]) -> u32 {
        prefixes
            .iter()
            .take_while(|block| self.held.contains_key(&block.hash))
            .map(|block| block.tokens)
            .sum()
    }

    /// Last use of the longest held prefix of the prompt; absent if none is held.
    pub fn last_use(&self, prefixes: &[PrefixBlock]) -> Option<MonotonicTime> {
        let held = prefixes.iter().map_while(|block| self.held.get(&block.hash));
        held.last().map(|held| held.last_use.0)
    }

    /// Last use of the last of the given blocks; absent unless all are held.
    pub fn last_use_of_all(&self, prefixes: &[PrefixBlock]) -> Option<MonotonicTime> {
        let mut held = prefixes.iter().map(|block| self.held.get(&block.hash));
        held.try_fold(None, |_, block| block.map(|block| Some(block.last_use.0)))?
    }

    /// Most recent use of any held block; absent if none is held.
    pub fn latest_use(&self) -> Option<MonotonicTime> {
        self.by_use.last_key_value().map(|((at, _), _)| *at)
    }

    /// Capacity for prefix blocks, in tokens.
    pub fn capacity_tokens(&self) -> f64 {
        self.capacity as f64
    }

    /// All held blocks, least recently used first.
    pub fn blocks(&self) -> Vec<PrefixBlock> {
        self.by_use
            .values()
            .filter_map(|hash| {
                let held = self.held.get(hash)?;
                Some(PrefixBlock {
                    hash: *hash,
                    tokens: held.tokens,
                })
            })
            .collect()
    }

    /// Removes all blocks, for an engine that has lost its KV cache.
    pub fn clear(&mut self) {
        self.tokens = 0;
        self.held.clear();
        self.by_use.clear();
    }

    /// Number of held blocks.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn touch(&mut self, block: &PrefixBlock, now: MonotonicTime) {
        self.use_count += 1;
        let last_use = (now, self.use_count);
        let held = HeldBlock {
            tokens: block.tokens,
            last_use,
        };
        match self.held.insert(block.hash, held) {
            Some(previous) => {
                self.by_use.remove(&previous.last_use);
            }
            None => self.tokens += u64::from(block.tokens),
        }
        self.by_use.insert(last_use, block.hash);
    }
}
