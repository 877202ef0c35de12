//! Tracks which prompt prefixes an upstream was sent recently, as an estimate of
//! the contents of its prefix cache.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes per block, the unit in which an upstream's prefix cache is
/// modelled.
const BLOCK_BYTES: usize = 256;
/// Number of leading blocks of a prompt that are tracked.
const MAX_PROMPT_BLOCKS: usize = 16;
/// Number of blocks tracked per upstream.
const MAX_TRACKED_BLOCKS: usize = 4_096;
/// Time after which a block is assumed to be evicted, microseconds.
const BLOCK_TTL_US: u64 = 60_000_000;

/// Returns hashes of the leading complete blocks of a prompt. Each hash covers
/// its block and all blocks before it.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Blocks sent to one upstream: hash and time of the last send (microseconds),
/// sorted by hash.
#[derive(Debug, Default)]
pub struct PrefixTable {
    rows: Vec<(u64, u64)>,
}

impl PrefixTable {
    /// Returns the number of leading blocks that the upstream may still have
    /// cached.
    pub fn cached_blocks(&self, hashes: &[u64], now_us: u64) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.contains(**hash, now_us))
            .count()
    }

    /// Records that a prompt with these blocks was sent.
    pub fn insert(&mut self, hashes: &[u64], now_us: u64) {
        for hash in hashes {
            match self.rows.binary_search_by_key(hash, |row| row.0) {
                Ok(index) => self.rows[index].1 = now_us,
                Err(index) => self.rows.insert(index, (*hash, now_us)),
            }
        }
        if self.rows.len() > MAX_TRACKED_BLOCKS {
            self.prune(now_us);
        }
    }

    fn contains(&self, hash: u64, now_us: u64) -> bool {
        self.rows
            .binary_search_by_key(&hash, |row| row.0)
            .is_ok_and(|index| now_us.saturating_sub(self.rows[index].1) < BLOCK_TTL_US)
    }

    /// Removes expired blocks. If too many blocks remain, also removes those that
    /// were sent least recently.
    fn prune(&mut self, now_us: u64) {
        self.rows
            .retain(|row| now_us.saturating_sub(row.1) < BLOCK_TTL_US);
        if self.rows.len() <= MAX_TRACKED_BLOCKS {
            return;
        }
        let mut times: Vec<u64> = self.rows.iter().map(|row| row.1).collect();
        let (_, median_us, _) = times.select_nth_unstable(MAX_TRACKED_BLOCKS / 2);
        let cutoff_us = *median_us;
        self.rows.retain(|row| row.1 > cutoff_us);
    }
}
