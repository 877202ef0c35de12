//! Decides of which jobs an instance holds the bodies of the items in memory.
//!
//! The store has the bodies of all items. An instance holds those of the jobs that it owns as
//! long as they fit into a limit. Beyond it, a job is held without bodies, which are read
//! again when one of its items has a slot. Then the job whose items are started last makes
//! room.

/// Limit on the bodies that an instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRoom {
    bytes_max: usize,
}

/// Bodies of a job that are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBodies {
    /// Size of the bodies, bytes.
    pub bytes: usize,
    /// Position of the job's most urgent item among the items that wait for a slot; `None` if
    /// none of its items waits.
    pub position: Option<usize>,
}

impl BodyRoom {
    /// Creates a limit of `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max }
    }

    /// Returns whether bodies of `bytes` fit beside `held_bytes`.
    #[must_use]
    pub fn fits(self, held_bytes: usize, bytes: usize) -> bool {
        held_bytes.saturating_add(bytes) <= self.bytes_max
    }

    /// Returns the indices of the jobs in `held` whose bodies are dropped so that `bytes` fit:
    /// first those without a waiting item, then those whose items wait farthest behind. Bodies
    /// larger than the limit fit alone, or no item of such a job would ever start.
    #[must_use]
    pub fn drops_for(self, held: &[HeldBodies], bytes: usize) -> Vec<usize> {
        let mut held_bytes: usize = held.iter().map(|bodies| bodies.bytes).sum();
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

impl HeldBodies {
    /// Returns a rank that is higher the less the bodies are needed.
    fn drop_rank(&self) -> usize {
        self.position.unwrap_or(usize::MAX)
    }
}
