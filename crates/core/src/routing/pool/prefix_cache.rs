//! Prompt prefixes that an engine is believed to hold, least recently used first out.

use super::query::PrefixBlock;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, HashMap};

/// Part of an engine's memory that is believed to be left for prefixes beside running requests.
const PREFIX_CACHE_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    used: (MonotonicTime, u64),
}

/// Bounded by the engine's memory, so that it never grows without end.
#[derive(Clone, Debug)]
pub struct PrefixCacheEstimate {
    capacity: u64,
    tokens: u64,
    uses: u64,
    held: HashMap<u64, Held>,
    by_use: BTreeMap<(MonotonicTime, u64), u64>,
}

impl PrefixCacheEstimate {
    /// Nothing is held yet; `cache_tokens` fit into the engine's memory.
    pub fn new(cache_tokens: u64) -> Self {
        Self {
            capacity: (cache_tokens as f64 * PREFIX_CACHE_SHARE) as u64,
            tokens: 0,
            uses: 0,
            held: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Notes that a prompt with these prefixes was read.
    pub fn record_prefill(&mut self, prefixes: &[PrefixBlock], now: MonotonicTime) {
        // Longer prefixes give way before the shorter ones that they need.
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

    /// Tokens of the prompt that are held, counted from its beginning.
    pub fn held_tokens(&self, prefixes: &[PrefixBlock]) -> u32 {
        prefixes
            .iter()
            .take_while(|block| self.held.contains_key(&block.hash))
            .map(|block| block.tokens)
            .sum()
    }

    /// When the longest held prefix of the prompt was last used; absent where nothing is held.
    pub fn last_use(&self, prefixes: &[PrefixBlock]) -> Option<MonotonicTime> {
        let held = prefixes.iter().map_while(|block| self.held.get(&block.hash));
        held.last().map(|held| held.used.0)
    }

    /// When anything that is held was last used; absent where nothing is.
    pub fn latest_use(&self) -> Option<MonotonicTime> {
        self.by_use.last_key_value().map(|((at, _), _)| *at)
    }

    /// Tokens that fit beside running requests.
    pub fn capacity_tokens(&self) -> f64 {
        self.capacity as f64
    }

    /// Everything that is believed to be held, least recently used first.
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.tokens = 0;
        self.held.clear();
        self.by_use.clear();
    }

    /// Number of prefixes believed to be held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is believed to be held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn touch(&mut self, block: &PrefixBlock, now: MonotonicTime) {
        self.uses += 1;
        let used = (now, self.uses);
        let held = Held {
            tokens: block.tokens,
            used,
        };
        match self.held.insert(block.hash, held) {
            Some(before) => {
                self.by_use.remove(&before.used);
            }
            None => self.tokens += u64::from(block.tokens),
        }
        self.by_use.insert(used, block.hash);
    }
}
