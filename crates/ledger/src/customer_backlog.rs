//! How much of a customer's work is due before a job.
//!
//! Load pattern: one customer submits hundreds of jobs at once. By due time alone, the job that
//! another customer submits a second later waits until all of them are done. Every instance
//! reads all job records, so each can tell how many items of the same customer are in front of
//! a job, without a message.

use model::JobId;

use crate::{directory::Directory, record::JobRecord};

impl Directory {
    /// Returns the number of unfinished items in open jobs of the same customer that are due
    /// before this job. 0 if the job belongs to no customer.
    #[must_use]
    pub fn items_ahead(&self, id: &JobId, record: &JobRecord) -> u64 {
        if record.customer.is_none() {
            return 0;
        }
        let is_ahead = |other: &JobRecord, other_id: &JobId| {
            other.is_open()
                && other.customer == record.customer
                && (other.due_at_ms, other_id) < (record.due_at_ms, id)
        };
        let ahead = self.jobs().filter(|job| is_ahead(&job.record, &job.id));
        ahead.map(|job| job.record.unfinished_items()).sum()
    }
}
