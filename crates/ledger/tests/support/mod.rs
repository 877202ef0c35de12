//! Record of a job for the tests.

use ledger::{JobPhase, JobRecord, OwnerId};

/// Returns the record of an admitted open job with one item. It was accepted at 0 ms, was due
/// and given up then, and has no results.
pub fn record(owner: Option<OwnerId>) -> JobRecord {
    JobRecord {
        owner,
        phase: JobPhase::Open,
        host: "h".into(),
        path: "/b/1".into(),
        route: "b".into(),
        customer: None,
        unfinished_tokens: 0,
        is_admitted: true,
        item_count: 1,
        accepted_at_ms: 0,
        due_at_ms: 0,
        give_up_at_ms: 0,
        committed: Vec::new(),
        failures: Vec::new(),
    }
}
