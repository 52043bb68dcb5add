//! Prefix cache: blocks in order of last use, within a memory shared with running sequences.

use lru::LruCache;
use std::hash::{BuildHasher, Hasher};

/// Cached blocks; the one unused for longest goes first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: LruCache<u64, (), BlockHashBuilder>,
}

impl PrefixCache {
    pub fn new() -> Self {
        Self {
            blocks: LruCache::unbounded_with_hasher(BlockHashBuilder),
        }
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Blocks at the start of `wanted` that are held; they count as used now.
    pub fn touch(&mut self, wanted: &[u64]) -> usize {
        wanted
            .iter()
            .take_while(|block| self.blocks.get(*block).is_some())
            .count()
    }

    /// Holds all of `blocks` and gives those that are new.
    pub fn store(&mut self, blocks: &[u64]) -> Vec<u64> {
        let mut stored = Vec::new();
        for block in blocks {
            if self.blocks.put(*block, ()).is_none() {
                stored.push(*block);
            }
        }
        stored
    }

    /// Drops the `count` blocks unused for longest.
    pub fn evict(&mut self, count: usize) -> Vec<u64> {
        (0..count)
            .map_while(|_| self.blocks.pop_lru())
            .map(|(block, ())| block)
            .collect()
    }

    /// Drops everything; tells whether anything was held.
    pub fn clear(&mut self) -> bool {
        let held = !self.blocks.is_empty();
        self.blocks.clear();
        held
    }
}

/// Block hashes are uniform already, so they hash to themselves.
#[derive(Clone, Copy, Debug, Default)]
struct BlockHashBuilder;

impl BuildHasher for BlockHashBuilder {
    type Hasher = BlockHasher;

    fn build_hasher(&self) -> BlockHasher {
        BlockHasher(0)
    }
}

struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, block: u64) {
        self.0 = block;
    }
}
