//! Handler that streams the content of files.

use std::io;

use futures::{StreamExt, stream};
use job_store::segment_name;
use salvo::{
    Request, Response,
    http::{HeaderValue, header},
};

use crate::{
    JobApi, Refusal,
    batch_object::ResultFile,
    caller,
    file_object::{FoundFile, file_param, find_file},
};

/// Handles `GET /v1/files/{file}/content`.
pub(crate) async fn read(
    api: &JobApi,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let customer = caller::customer(req.headers())?;
    let id = file_param(req);
    let (names, content_bytes) = match find_file(api, &customer, &id).await? {
        FoundFile::Upload(row) => {
            let names = (0..row.segments).map(|index| segment_name(&row.file, index));
            (names.collect::<Vec<_>>(), row.content_bytes)
        }
        FoundFile::Result(job, kind) => {
            let chunks = api.store.chunks(&job.job).await?;
            let tally = jobs::tally_chunks(chunks.iter().map(|(chunk, row)| (*chunk, row)));
            let objects = match kind {
                ResultFile::Output => tally.outputs,
                ResultFile::Errors => tally.errors,
            };
            let content_bytes = objects.iter().map(|object| object.content_bytes).sum();
            let names = objects.into_iter().map(|object| object.name);
            (names.collect(), content_bytes)
        }
    };
    // The Content-Length header lets the caller detect a truncated answer.
    res.headers_mut()
        .insert(header::CONTENT_LENGTH, HeaderValue::from(content_bytes));
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/jsonl"),
    );
    let store = api.store.clone();
    let content = stream::iter(names).then(move |name| {
        let store = store.clone();
        async move { store.whole_object(&name).await.map_err(io::Error::other) }
    });
    res.stream(content);
    Ok(())
}
