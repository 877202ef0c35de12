//! Bounded cache of prompt prefixes, least recently used block first out.

/// Cached blocks, most recently used last.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    blocks: std::collections::BTreeMap<u64, u64>,
    by_use: std::collections::BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            blocks: std::collections::BTreeMap::new(),
            by_use: std::collections::BTreeMap::new(),
            uses: 0,
        }
    }

    /// Number of leading blocks that are cached; marks them as used.
    pub(crate) fn hit(&mut self, blocks: &[u64]) -> usize {
        let count = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        self.insert(&blocks[..count]);
        count
    }

    /// Caches blocks. Later blocks of a prompt go out first.
    pub(crate) fn insert(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.uses += 1;
            if let Some(use_number) = self.blocks.insert(*block, self.uses) {
                self.by_use.remove(&use_number);
            }
            self.by_use.insert(self.uses, *block);
        }
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&block);
        }
    }
}
