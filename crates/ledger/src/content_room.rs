//! Decides of which jobs an instance holds the contents of the items in memory: their headers
//! and bodies.
//!
//! The store has the contents of all items. An instance holds those of the jobs that it owns as
//! long as they fit into a limit. Beyond it, a job is held without contents, which are read
//! again when one of its items has a slot. Then the job whose items are started last makes
//! room.

/// Limit on the contents that an instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentRoom {
    bytes_max: usize,
}

/// Contents of the items of a job that are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldContents {
    /// Size of the contents, bytes.
    pub bytes: usize,
    /// Position of the job's most urgent item among the items that wait for a slot; `None` if
    /// none of its items waits.
    pub position: Option<usize>,
}

impl ContentRoom {
    /// Creates a limit of `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max }
    }

    /// Returns whether contents of `bytes` fit beside `held_bytes`.
    #[must_use]
    pub fn fits(self, held_bytes: usize, bytes: usize) -> bool {
        held_bytes.saturating_add(bytes) <= self.bytes_max
    }

    /// Returns the indices of the jobs in `held` whose contents are dropped so that `bytes` fit:
    /// first those without a waiting item, then those whose items wait farthest behind. Contents
    /// larger than the limit fit alone, or no item of such a job would ever start.
    #[must_use]
    pub fn drops_for(self, held: &[HeldContents], bytes: usize) -> Vec<usize> {
        let mut held_bytes: usize = held.iter().map(|contents| contents.bytes).sum();
        let mut order: Vec<_> = (0..held.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(held[*index].drop_rank()));
        let mut drops = Vec::new();
        for index in order {
            if self.fits(held_bytes, bytes) {
                break;
            }
            held_bytes -= held[index].bytes;
            drops.push(index);
        }
        drops
    }
}

impl HeldContents {
    /// Returns a rank that is higher the less the contents are needed.
    fn drop_rank(&self) -> usize {
        self.position.unwrap_or(usize::MAX)
    }
}
