//! Contents of the items of an owned job, their headers and bodies, which may be dropped from
//! memory while only the store holds them.

use std::sync::Arc;

use super::OwnedJob;
use crate::item::JobItem;

impl OwnedJob {
    /// Returns the size of the contents of all items, in bytes, whether they are held or not.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.content_bytes
    }

    /// Returns whether the contents of the items are held. No item starts without them.
    #[must_use]
    pub fn has_contents(&self) -> bool {
        self.has_contents
    }

    /// Drops the contents of all items. Running items have their own.
    pub fn drop_contents(&mut self) {
        if self.content_bytes == 0 {
            return;
        }
        let empty = Arc::<[u8]>::default();
        for row in &mut self.items {
            row.item.headers = Vec::new();
            row.item.body = Arc::clone(&empty);
        }
        self.has_contents = false;
    }

    /// Takes the contents of `stored`, the items as the store has them. Returns whether these
    /// are the items of the job; otherwise nothing changes.
    pub fn restore_contents(&mut self, stored: Vec<JobItem>) -> bool {
        let is_same = |(row, item): (&super::ItemRow, &JobItem)| row.item.id == item.id;
        if stored.len() != self.items.len() || !self.items.iter().zip(&stored).all(is_same) {
            return false;
        }
        for (row, item) in self.items.iter_mut().zip(stored) {
            row.item.headers = item.headers;
            row.item.body = item.body;
        }
        self.has_contents = true;
        true
    }
}
