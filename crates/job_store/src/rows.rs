//! Reads rows of jobs, files and chunks.

use jobs::{
    ChunkName, ChunkRow, FileRow, JobRow, OpenJob, RowValue, chunk_key, chunk_prefix, file_key,
    job_key,
};
use model::JobId;
use store::{Priority, Row, RowPage};

use crate::{JobStore, StoreError};

/// Maximum number of chunk rows in a page.
const PAGE_MAX_ROWS: u32 = 1_000;
/// Maximum number of open jobs in a page.
const OPEN_PAGE_MAX_ROWS: u32 = 64;

impl JobStore {
    /// Reads a job's row and returns it with its version, or `None` if the job does
    /// not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn job(&self, job: &JobId) -> Result<Option<(u64, JobRow)>, StoreError> {
        match self.row(&job_key(job), Priority::Control).await? {
            Some((version, RowValue::Job(row))) => Ok(Some((version, *row))),
            _ => Ok(None),
        }
    }

    /// Reads a file's row. Returns `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn file(&self, file: &str) -> Result<Option<FileRow>, StoreError> {
        match self.row(&file_key(file), Priority::Control).await? {
            Some((_, RowValue::File(row))) => Ok(Some(*row)),
            _ => Ok(None),
        }
    }

    /// Reads a chunk's row and returns it with its version, or `None` if the chunk
    /// has never been claimed.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn chunk(
        &self,
        job: &JobId,
        chunk: ChunkName,
    ) -> Result<Option<(u64, ChunkRow)>, StoreError> {
        match self.row(&chunk_key(job, chunk), Priority::Claim).await? {
            Some((version, RowValue::Chunk(row))) => Ok(Some((version, *row))),
            _ => Ok(None),
        }
    }

    /// Reads the rows of all chunks of a job that have ever been claimed, in the
    /// order of the input file.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn chunks(&self, job: &JobId) -> Result<Vec<(ChunkName, ChunkRow)>, StoreError> {
        let prefix = chunk_prefix(job);
        let mut chunks = Vec::new();
        let mut after = None;
        loop {
            let page = self
                .page(&prefix, after.as_deref(), PAGE_MAX_ROWS, Priority::Claim)
                .await?;
            after = page.rows.last().map(|row| row.key.to_string());
            for row in &page.rows {
                let name = row.key.strip_prefix(&prefix).unwrap_or_default();
                let name = name.parse().map_err(malformed)?;
                if let RowValue::Chunk(value) = decode(row)? {
                    chunks.push((name, *value));
                }
            }
            if !page.has_more || after.is_none() {
                return Ok(chunks);
            }
        }
    }

    /// Reads a page of the open jobs whose keys begin with `prefix`, starting
    /// after key `after`. Also returns the key after which the next page starts,
    /// if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn open_jobs(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<(Vec<OpenJob>, Option<String>), StoreError> {
        let page = self
            .page(prefix, after, OPEN_PAGE_MAX_ROWS, Priority::Poll)
            .await?;
        let last = page.rows.last().map(|row| row.key.to_string());
        let mut jobs = Vec::new();
        for row in page.rows {
            if let RowValue::Open(value) = decode(&row)? {
                jobs.push(OpenJob {
                    key: row.key.to_string(),
                    version: row.version,
                    row: *value,
                });
            }
        }
        Ok((jobs, last.filter(|_| page.has_more)))
    }

    /// Reads the row of an open job at `key`. Returns `None` if the job is no
    /// longer open.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn open_job(&self, key: &str) -> Result<Option<OpenJob>, StoreError> {
        let Some((version, RowValue::Open(row))) = self.row(key, Priority::Claim).await? else {
            return Ok(None);
        };
        Ok(Some(OpenJob {
            key: key.to_owned(),
            version,
            row: *row,
        }))
    }

    /// Reads a page of at most `limit` identifiers of a customer's jobs, newest
    /// first. `prefix` is the key prefix of the customer's job list; the page starts
    /// after key `after`. Also returns whether more jobs follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or a row is malformed.
    pub async fn job_ids(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<(Vec<JobId>, bool), StoreError> {
        let page = self.page(prefix, after, limit, Priority::Poll).await?;
        let mut ids = Vec::new();
        for row in &page.rows {
            if let RowValue::Listed(job) = decode(row)? {
                ids.push(job);
            }
        }
        Ok((ids, page.has_more))
    }

    async fn row(
        &self,
        key: &str,
        priority: Priority,
    ) -> Result<Option<(u64, RowValue)>, StoreError> {
        self.meter.record_table_read();
        let Some(row) = self.store(priority).row(key).await? else {
            return Ok(None);
        };
        Ok(Some((row.version, decode(&row)?)))
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
        priority: Priority,
    ) -> Result<RowPage, StoreError> {
        self.meter.record_table_read();
        let store = self.store(priority);
        Ok(store.rows(prefix, after, limit).await?)
    }
}

fn decode(row: &Row) -> Result<RowValue, StoreError> {
    RowValue::decode(&row.key, &row.value).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> StoreError {
    StoreError::Malformed(error.to_string())
}
