//! JSON representation of batches, as in the `OpenAI` API.

use jobs::{JobRow, JobState, JobTally};
use serde_json::{Map, Value, json};

const OUTPUT_SUFFIX: &str = "_output";
const ERRORS_SUFFIX: &str = "_errors";

/// The result files of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResultFile {
    /// Answers of the items that succeeded.
    Output,
    /// Error records of the items that failed.
    Errors,
}

/// Splits the identifier of a result file into the job and the kind of file.
/// Returns `None` for any other identifier.
pub(crate) fn parse_result_file(file: &str) -> Option<(&str, ResultFile)> {
    let output = file
        .strip_suffix(OUTPUT_SUFFIX)
        .map(|job| (job, ResultFile::Output));
    let errors = || {
        file.strip_suffix(ERRORS_SUFFIX)
            .map(|job| (job, ResultFile::Errors))
    };
    output.or_else(errors)
}

/// Returns the batch object of a job.
pub(crate) fn batch_object(job: &JobRow, tally: &JobTally) -> Value {
    let (status, ended_at_ms) = match &job.state {
        JobState::Open => ("in_progress", None),
        JobState::Completed { at_ms, .. } => ("completed", Some(*at_ms)),
        JobState::Cancelled { at_ms, .. } => ("cancelled", Some(*at_ms)),
    };
    let ended_at = ended_at_ms.map(unix_seconds);
    let file_id = |is_present: bool, suffix: &str| {
        (is_present && ended_at.is_some()).then(|| format!("{}{suffix}", job.job))
    };
    let metadata: Map<String, Value> = job
        .metadata
        .iter()
        .map(|(name, value)| (name.clone(), Value::from(value.as_str())))
        .collect();
    json!({
        "id": job.job,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": null,
        "input_file_id": job.input_file,
        "completion_window": job.completion_window,
        "status": status,
        "output_file_id": file_id(tally.completed > 0, OUTPUT_SUFFIX),
        "error_file_id": file_id(tally.failed > 0, ERRORS_SUFFIX),
        "created_at": unix_seconds(job.created_at_ms),
        "in_progress_at": unix_seconds(job.created_at_ms),
        "expires_at": unix_seconds(job.deadline_ms),
        "finalizing_at": null,
        "completed_at": ended_at.filter(|_| status == "completed"),
        "failed_at": null,
        "expired_at": null,
        "cancelling_at": ended_at.filter(|_| status == "cancelled"),
        "cancelled_at": ended_at.filter(|_| status == "cancelled"),
        "request_counts": {
            "total": job.items,
            "completed": tally.completed,
            "failed": tally.failed,
        },
        "metadata": metadata,
        "class": job.class,
    })
}

/// Converts Unix time from milliseconds to whole seconds.
pub(crate) fn unix_seconds(at_ms: u64) -> u64 {
    at_ms / 1_000
}
