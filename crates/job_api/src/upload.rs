//! Handler of file uploads. The file is validated, split into segments and stored
//! while it is being received. The file's row is written last, so a refused or
//! interrupted upload leaves nothing that a caller could use.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};
use job_store::{JobStore, StoreError, manifest_name, segment_name, unix_ms};
use jobs::{
    ConditionalWrite, FileRow, FileSummary, InputSplitter, RowValue, Segment, Transaction, file_key,
};
use model::{CustomerId, ErrorKind};
use multra::{Field, Multipart};
use salvo::{Request, http::header};
use serde_json::Value;
use sha2::{Digest, Sha256};
use store::Priority;
use tokio::{task::JoinSet, time::Instant};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::{JobApi, Refusal, caller, check, file_object};

/// Maximum number of segment writes in flight.
const SEGMENTS_IN_FLIGHT: usize = 3;
/// Value of `purpose` for input files of batches.
const BATCH_PURPOSE: &str = "batch";
/// Maximum size of a form field other than the file, in bytes.
const FORM_FIELD_MAX_BYTES: usize = 1_024;
/// Time-out of writing the file's row.
const FILE_ROW_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles `POST /v1/files`.
pub(crate) async fn create_file(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let view = api.view()?;
    let multipart_boundary = multipart_boundary(req)?;
    let body = req.take_body();
    let parts = body.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default()));
    let mut form = Multipart::new(parts.map_err(std::io::Error::other), multipart_boundary);
    let mut purpose = None;
    let mut upload = None;
    while let Some(mut field) = form
        .next_field()
        .await
        .map_err(|error| malformed_form(&error))?
    {
        match field.name() {
            Some("purpose") => purpose = Some(read_field(&mut field).await?),
            Some("file") if upload.is_none() => {
                upload = Some(read_file(&api.store, &mut field).await?);
            }
            _ => {}
        }
    }
    let Some(upload) = upload else {
        return Err(Refusal::invalid_param(
            "file",
            "The form has no field `file`.",
        ));
    };
    let checked = match purpose.as_deref() {
        Some(BATCH_PURPOSE) => check::models(&view, &upload.summary.models),
        _ => Err(Refusal::invalid_param(
            "purpose",
            "`purpose` must be \"batch\".",
        )),
    };
    if let Err(refusal) = checked {
        upload.objects.discard();
        return Err(refusal);
    }
    let row = upload.into_row(customer, &api.store);
    insert_file_row(&api.store, &row).await?;
    log::info!(
        "event=file_accepted file={} items={} bytes={}",
        row.file,
        row.items,
        row.content_bytes
    );
    Ok(file_object::uploaded_file_json(&row))
}

/// An uploaded file whose segments and manifest are stored but whose row is not.
struct Upload {
    file: Arc<str>,
    file_name: String,
    digest: String,
    summary: FileSummary,
    objects: StoredObjects,
}

/// Names of the objects stored for an upload. A refused upload must call
/// [`StoredObjects::discard`] to delete them.
struct StoredObjects {
    store: JobStore,
    names: Vec<String>,
}

impl StoredObjects {
    /// Deletes the objects in the background.
    fn discard(self) {
        tokio::spawn(async move {
            for name in &self.names {
                self.store.delete_object(name).await;
            }
        });
    }
}

impl Upload {
    fn into_row(self, customer: CustomerId, store: &JobStore) -> FileRow {
        FileRow {
            file: self.file,
            customer,
            file_name: self.file_name,
            purpose: BATCH_PURPOSE.to_owned(),
            digest: self.digest,
            content_bytes: self.summary.content_bytes,
            segments: self.summary.segments,
            items: self.summary.items,
            chunks: u32::try_from(self.summary.manifest.chunks.len()).unwrap_or(u32::MAX),
            models: self.summary.models,
            created_at_ms: unix_ms(),
            op: store.next_op_id(),
        }
    }
}

async fn read_file(store: &JobStore, field: &mut Field<'_>) -> Result<Upload, Refusal> {
    let id = Uuid::new_v4();
    let file: Arc<str> = Arc::from(format!("file-{}", id.simple()));
    let file_name = field.file_name().unwrap_or("upload.jsonl").to_owned();
    let mut writer = SegmentWriter {
        file: Arc::clone(&file),
        objects: StoredObjects {
            store: store.clone(),
            names: Vec::new(),
        },
        tasks: JoinSet::new(),
    };
    let result = stream_file(field, &mut writer, xxh3_64(id.as_bytes())).await;
    match result {
        Ok((digest, summary)) => Ok(Upload {
            file,
            file_name,
            digest,
            summary,
            objects: writer.objects,
        }),
        Err(refusal) => {
            writer.tasks.shutdown().await;
            writer.objects.discard();
            Err(refusal)
        }
    }
}

async fn stream_file(
    field: &mut Field<'_>,
    writer: &mut SegmentWriter,
    seed: u64,
) -> Result<(String, FileSummary), Refusal> {
    let mut splitter = InputSplitter::new(seed);
    let mut hash = Sha256::new();
    while let Some(part) = field
        .chunk()
        .await
        .map_err(|error| malformed_form(&error))?
    {
        hash.update(&part);
        splitter.push(&part)?;
        for segment in splitter.take_segments() {
            writer.put(segment).await?;
        }
    }
    let mut summary = splitter.finish()?;
    for segment in summary.remaining_segments.drain(..) {
        writer.put(segment).await?;
    }
    writer.finish().await?;
    let manifest = serde_json::to_vec(&summary.manifest)
        .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
    let name = manifest_name(&writer.file);
    writer.objects.names.push(name.clone());
    let store = &writer.objects.store;
    store.put_object(&name, Bytes::from(manifest)).await?;
    Ok((hex(&hash.finalize()), summary))
}

/// Writes segments to the object store, with a limited number in flight.
struct SegmentWriter {
    file: Arc<str>,
    objects: StoredObjects,
    tasks: JoinSet<Result<(), StoreError>>,
}

impl SegmentWriter {
    async fn put(&mut self, segment: Segment) -> Result<(), Refusal> {
        while self.tasks.len() >= SEGMENTS_IN_FLIGHT {
            self.join_next_write().await?;
        }
        let name = segment_name(&self.file, segment.index);
        self.objects.names.push(name.clone());
        let store = self.objects.store.clone();
        let content = Bytes::from(segment.content);
        self.tasks
            .spawn(async move { store.put_object(&name, content).await });
        Ok(())
    }

    async fn finish(&mut self) -> Result<(), Refusal> {
        while !self.tasks.is_empty() {
            self.join_next_write().await?;
        }
        Ok(())
    }

    async fn join_next_write(&mut self) -> Result<(), Refusal> {
        match self.tasks.join_next().await {
            Some(Ok(result)) => Ok(result?),
            Some(Err(error)) => Err(Refusal::new(ErrorKind::Internal, error.to_string())),
            None => Ok(()),
        }
    }
}

async fn insert_file_row(store: &JobStore, row: &FileRow) -> Result<(), Refusal> {
    let key = file_key(&row.file);
    let transaction = Transaction::new()
        .require_absent(&key)
        .with_put(&key, RowValue::File(Box::new(row.clone())));
    let write = ConditionalWrite::new(transaction, &key, row.op);
    let deadline = Instant::now() + FILE_ROW_TIMEOUT;
    // The file identifier is new, so the condition that its row is absent holds.
    store
        .write_resolved_before(write, Priority::Commit, deadline)
        .await?;
    Ok(())
}

async fn read_field(field: &mut Field<'_>) -> Result<String, Refusal> {
    let mut value = Vec::new();
    while let Some(part) = field
        .chunk()
        .await
        .map_err(|error| malformed_form(&error))?
    {
        value.extend_from_slice(&part);
        if value.len() > FORM_FIELD_MAX_BYTES {
            return Err(Refusal::invalid_param(
                "purpose",
                "`purpose` exceeds 1024 bytes; it must be \"batch\".",
            ));
        }
    }
    Ok(String::from_utf8_lossy(&value).into_owned())
}

fn multipart_boundary(req: &Request) -> Result<String, Refusal> {
    let content_type = req.headers().get(header::CONTENT_TYPE);
    content_type
        .and_then(|value| value.to_str().ok())
        .and_then(|value| multra::parse_boundary(value).ok())
        .ok_or_else(|| {
            let message = "The body must be multipart/form-data with `purpose` and `file`.";
            Refusal::new(ErrorKind::InvalidRequest, message)
        })
}

fn malformed_form(error: &multra::Error) -> Refusal {
    let message = format!("The form cannot be read: {error}");
    Refusal::new(ErrorKind::InvalidRequest, message)
}

/// Returns the bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    let mut value = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(value, "{byte:02x}");
    }
    value
}
