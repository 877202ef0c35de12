//! Which prompt prefixes an upstream was sent lately.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes per block; an upstream's cache is thought of in such blocks.
const BLOCK_BYTES: usize = 256;
/// Leading blocks of a prompt that are remembered.
const MAX_BLOCKS: usize = 16;
/// Blocks remembered per upstream.
const MAX_ROWS: usize = 4_096;
/// Time after which a block is thought evicted, microseconds.
const FORGET_US: u64 = 60_000_000;

/// Hashes of the leading whole blocks of a prompt; each covers all before it.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Blocks sent to one upstream, sorted by hash.
#[derive(Debug, Default)]
pub struct PrefixTable {
    rows: Vec<(u64, u64)>,
}

impl PrefixTable {
    /// Number of leading blocks that the upstream may still have cached.
    pub fn matches(&self, hashes: &[u64], now_us: u64) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.contains(**hash, now_us))
            .count()
    }

    /// Remembers the blocks of a prompt that was sent.
    pub fn insert(&mut self, hashes: &[u64], now_us: u64) {
        for hash in hashes {
            match self.rows.binary_search_by_key(hash, |row| row.0) {
                Ok(index) => self.rows[index].1 = now_us,
                Err(index) => self.rows.insert(index, (*hash, now_us)),
            }
        }
        if self.rows.len() > MAX_ROWS {
            self.prune(now_us);
        }
    }

    fn contains(&self, hash: u64, now_us: u64) -> bool {
        self.rows
            .binary_search_by_key(&hash, |row| row.0)
            .is_ok_and(|index| now_us.saturating_sub(self.rows[index].1) < FORGET_US)
    }

    fn prune(&mut self, now_us: u64) {
        self.rows
            .retain(|row| now_us.saturating_sub(row.1) < FORGET_US);
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let mut times: Vec<u64> = self.rows.iter().map(|row| row.1).collect();
        let (_, median_us, _) = times.select_nth_unstable(MAX_ROWS / 2);
        let cut_us = *median_us;
        self.rows.retain(|row| row.1 > cut_us);
    }
}
