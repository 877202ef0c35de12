//! Reads and writes objects: segments and manifests of files, results and
//! partial results of chunks.

use std::{ops::Range, time::Duration};

use bytes::Bytes;
use jobs::{ChunkSpan, ItemRecord, Manifest, ObjectRef};
use store::Priority;

use crate::{JobStore, StoreError};

/// Delay before a failed object write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the object name of a segment of a file.
#[must_use]
pub fn segment_name(file: &str, index: u32) -> String {
    format!("file/{file}/segment/{index:06}")
}

/// Returns the object name of a file's manifest.
#[must_use]
pub fn manifest_name(file: &str) -> String {
    format!("file/{file}/manifest")
}

impl JobStore {
    /// Writes an object. No other writer may use `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or its answer is lost;
    /// the object may exist nevertheless.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        self.meter.record_object_write();
        let store = self.store(Priority::Commit);
        Ok(store.put_object(name, content).await?)
    }

    /// Writes an object and repeats the write until it succeeds, however long the
    /// platform is unavailable. No other writer may use `name`.
    pub async fn put_object_with_retry(&self, name: &str, content: Bytes) {
        loop {
            self.meter.record_object_write();
            let store = self.store(Priority::Commit);
            match store.put_object(name, content.clone()).await {
                Ok(()) => return,
                Err(error) => log::debug!("event=object_write_failed error={error:?}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Deletes an object that no row refers to. A failure is only logged and leaves
    /// the object behind as garbage.
    pub async fn delete_object(&self, name: &str) {
        if let Err(error) = self.store(Priority::Poll).delete_object(name).await {
            log::debug!("event=object_left name={name} error={error:?}");
        }
    }

    /// Reads a file's manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or the manifest is
    /// malformed.
    pub async fn manifest(&self, file: &str) -> Result<Manifest, StoreError> {
        let content = self.object(&manifest_name(file), None).await?;
        serde_json::from_slice(&content).map_err(malformed)
    }

    /// Reads the input lines of the chunk that covers `span`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or there is no such
    /// segment.
    pub async fn chunk_lines(&self, file: &str, span: ChunkSpan) -> Result<Bytes, StoreError> {
        let range = u64::from(span.start_byte)..u64::from(span.end_byte);
        self.object(&segment_name(file, span.segment), Some(range))
            .await
    }

    /// Reads the records of a partial result.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or the object is
    /// malformed.
    pub async fn partial_records(&self, name: &str) -> Result<Vec<ItemRecord>, StoreError> {
        let content = self.object(name, None).await?;
        serde_json::from_slice(&content).map_err(malformed)
    }

    /// Reads a whole object.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or there is no such
    /// object.
    pub async fn whole_object(&self, name: &str) -> Result<Bytes, StoreError> {
        self.object(name, None).await
    }

    /// Writes an object with one line per record and returns a reference to it,
    /// or `None` if there are no records. Repeats the write until it succeeds.
    pub async fn put_record_lines<'a>(
        &self,
        name: String,
        records: impl IntoIterator<Item = &'a ItemRecord>,
    ) -> Option<ObjectRef> {
        let mut content = Vec::new();
        for record in records {
            content.extend_from_slice(record.line.as_bytes());
            content.push(b'\n');
        }
        if content.is_empty() {
            return None;
        }
        let content_bytes = content.len() as u64;
        self.put_object_with_retry(&name, Bytes::from(content))
            .await;
        Some(ObjectRef {
            name,
            content_bytes,
        })
    }

    async fn object(&self, name: &str, range: Option<Range<u64>>) -> Result<Bytes, StoreError> {
        self.meter.record_object_read();
        let store = self.store(Priority::Claim);
        let content = store.object(name, range).await?;
        content.ok_or_else(|| missing(name))
    }
}

fn missing(name: &str) -> StoreError {
    StoreError::Malformed(format!("object {name:?} does not exist"))
}

fn malformed(error: impl std::fmt::Display) -> StoreError {
    StoreError::Malformed(error.to_string())
}
