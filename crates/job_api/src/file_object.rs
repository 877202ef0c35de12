//! JSON representation of files, as in the `OpenAI` API.

use jobs::{FileRow, JobRow};
use model::{CustomerId, ErrorKind, JobId};
use salvo::Request;
use serde_json::{Value, json};

use crate::{
    JobApi, Refusal,
    batch_object::{ResultFile, parse_result_file, unix_seconds},
    caller,
};

/// A file that a caller may read.
pub(crate) enum FoundFile {
    /// An uploaded file.
    Upload(Box<FileRow>),
    /// A result file of a job.
    Result(Box<JobRow>, ResultFile),
}

/// Handles `GET /v1/files/{file}`.
pub(crate) async fn retrieve(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let id = file_param(req);
    match find_file(api, &customer, &id).await? {
        FoundFile::Upload(row) => Ok(uploaded_file_json(&row)),
        FoundFile::Result(job, kind) => {
            let chunks = api.store.chunks(&job.job).await?;
            let tally = jobs::tally_chunks(chunks.iter().map(|(chunk, row)| (*chunk, row)));
            let objects = match kind {
                ResultFile::Output => tally.outputs,
                ResultFile::Errors => tally.errors,
            };
            let content_bytes: u64 = objects.iter().map(|object| object.content_bytes).sum();
            Ok(file_json(
                &id,
                "batch_output",
                &format!("{id}.jsonl"),
                content_bytes,
                job.created_at_ms,
            ))
        }
    }
}

/// Returns the file object of an uploaded file.
pub(crate) fn uploaded_file_json(row: &FileRow) -> Value {
    file_json(
        &row.file,
        &row.purpose,
        &row.file_name,
        row.content_bytes,
        row.created_at_ms,
    )
}

/// Finds a file of the customer. A file of another customer is reported as not
/// found.
pub(crate) async fn find_file(
    api: &JobApi,
    customer: &CustomerId,
    id: &str,
) -> Result<FoundFile, Refusal> {
    let found = if let Some((job, kind)) = parse_result_file(id) {
        let job = api.store.job(&JobId::new(job)).await?;
        job.filter(|(_, row)| row.customer == *customer)
            .map(|(_, row)| FoundFile::Result(Box::new(row), kind))
    } else {
        let file = api.store.file(id).await?;
        file.filter(|row| row.customer == *customer)
            .map(|row| FoundFile::Upload(Box::new(row)))
    };
    found.ok_or_else(|| {
        let message = format!("The file {id:?} does not exist.");
        Refusal::new(ErrorKind::NotFound, message)
    })
}

/// Returns the identifier of the file in the request path.
pub(crate) fn file_param(req: &Request) -> String {
    req.param("file").unwrap_or_default()
}

fn file_json(
    id: &str,
    purpose: &str,
    file_name: &str,
    content_bytes: u64,
    created_at_ms: u64,
) -> Value {
    json!({
        "id": id,
        "object": "file",
        "bytes": content_bytes,
        "created_at": unix_seconds(created_at_ms),
        "expires_at": null,
        "filename": file_name,
        "purpose": purpose,
        "status": "processed",
    })
}
