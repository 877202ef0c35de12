//! Bodies of the items of an owned job, which may be dropped from memory while only the store
//! holds them.

use std::sync::Arc;

use super::OwnedJob;
use crate::item::JobItem;

impl OwnedJob {
    /// Returns the size of the bodies of all items, in bytes, whether they are held or not.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns whether the bodies of the items are held. No item starts without them.
    #[must_use]
    pub fn has_bodies(&self) -> bool {
        self.has_bodies
    }

    /// Drops the bodies of all items. Running items have their own.
    pub fn drop_bodies(&mut self) {
        if self.body_bytes == 0 {
            return;
        }
        let empty = Arc::<[u8]>::default();
        for row in &mut self.items {
            row.item.body = Arc::clone(&empty);
        }
        self.has_bodies = false;
    }

    /// Takes the bodies of `stored`, the items as the store has them. Returns whether these
    /// are the items of the job; otherwise nothing changes.
    pub fn restore_bodies(&mut self, stored: Vec<JobItem>) -> bool {
        let is_same = |(row, item): (&super::ItemRow, &JobItem)| row.item.id == item.id;
        if stored.len() != self.items.len() || !self.items.iter().zip(&stored).all(is_same) {
            return false;
        }
        for (row, item) in self.items.iter_mut().zip(stored) {
            row.item.body = item.body;
        }
        self.has_bodies = true;
        true
    }
}
