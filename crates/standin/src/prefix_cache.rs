//! Bounded cache of prompt prefixes with least-recently-used (LRU) eviction.

/// Cached prompt blocks, identified by their chained hashes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    /// Number of the last use by block.
    last_uses: std::collections::BTreeMap<u64, u64>,
    /// Block by the number of its last use; the first entry is evicted first.
    blocks_by_use: std::collections::BTreeMap<u64, u64>,
    /// Number of uses so far.
    use_count: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            last_uses: std::collections::BTreeMap::new(),
            blocks_by_use: std::collections::BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Returns the number of leading blocks that are cached and marks them as used.
    pub(crate) fn lookup(&mut self, blocks: &[u64]) -> usize {
        let count = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count();
        self.insert(&blocks[..count]);
        count
    }

    /// Caches blocks and marks them as used. The later blocks of a prompt are
    /// evicted first, because they are of no use without the earlier ones.
    pub(crate) fn insert(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(previous_use) = self.last_uses.insert(*block, self.use_count) {
                self.blocks_by_use.remove(&previous_use);
            }
            self.blocks_by_use.insert(self.use_count, *block);
        }
        while self.last_uses.len() > self.capacity_blocks {
            let Some((_, block)) = self.blocks_by_use.pop_first() else {
                return;
            };
            self.last_uses.remove(&block);
        }
    }
}
