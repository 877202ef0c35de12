//! Rate-limited calls on the rows of one table by key, and on objects.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use bytes::Bytes;
use platform::{Row, RowId, RowPage, RowRange, Store, StoreError, TransactOutcome, Transaction};
use tokio::time::Instant;

use crate::{
    CallLimiter, INSTANCES_TABLE, InstanceListing, Operation, Priority, instances::decode_instance,
    shared_limiter::SharedLimiter,
};

/// Table of the rows that are written through this crate. They share one
/// partition, so that any of them can be changed in one transaction.
pub const PROGRAMS_TABLE: &str = "redwingtack";
/// Default time-out of one call, milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Client of the platform's store. Clones share its connections and its call
/// limiter.
#[derive(Debug, Clone)]
pub struct RateLimitedStore {
    store: Store,
    call_timeout_ms: u64,
    limiter: Option<Arc<SharedLimiter>>,
    priority: Priority,
}

/// Returns the id of the row of [`PROGRAMS_TABLE`] with this key.
#[must_use]
pub fn row_id(key: &str) -> RowId {
    RowId::new(PROGRAMS_TABLE, "", key)
}

impl RateLimitedStore {
    /// Creates a client of the store at `address`, without a call limiter. Nothing
    /// is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            store: Store::new(address).with_call_timeout_ms(CALL_TIMEOUT_MS),
            call_timeout_ms: CALL_TIMEOUT_MS,
            limiter: None,
            priority: Priority::Control,
        }
    }

    /// Sets the time-out of each call, milliseconds.
    #[must_use]
    pub fn with_call_timeout_ms(mut self, call_timeout_ms: u64) -> Self {
        self.store = self.store.with_call_timeout_ms(call_timeout_ms);
        self.call_timeout_ms = call_timeout_ms;
        self
    }

    /// Limits the calls of this handle and of its clones. Calls wait for admission
    /// within their time-out, and fail at once with [`StoreError::NotDone`] if
    /// they cannot be admitted before it.
    #[must_use]
    pub fn with_limiter(mut self, limiter: CallLimiter) -> Self {
        self.limiter = Some(Arc::new(SharedLimiter::new(limiter)));
        self
    }

    /// Returns a handle whose calls have `priority`; the call limiter stays
    /// shared.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the number of live instances among which the fleet's call rates are
    /// divided.
    pub fn set_live_instances(&self, instances: u32) {
        if let Some(limiter) = &self.limiter {
            limiter.set_live_instances(instances);
        }
    }

    /// Sends a transaction once. After [`StoreError::Unknown`] the outcome has to
    /// be resolved; see [`RateLimitedStore::transact_resolved`].
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn transact(&self, transaction: &Transaction) -> Result<TransactOutcome, StoreError> {
        let call = self.store.transact(transaction);
        self.admit_and_record(Operation::Write, call).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let page = self.page(&RowRange::of_row(&row_id(key))).await?;
        Ok(page.rows.into_iter().next())
    }

    /// Reads up to `limit` rows whose keys begin with `prefix` and follow
    /// `after`, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn rows(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<RowPage, StoreError> {
        let table_range = RowRange::new(PROGRAMS_TABLE, "");
        let range = match after {
            Some(after) if after >= prefix => table_range.with_keys_after(after),
            _ => table_range.with_from_key(prefix.to_owned()),
        };
        let range = RowRange {
            to_key: prefix_end(prefix),
            limit: Some(limit),
            ..range
        };
        self.page(&range).await
    }

    /// Writes an object atomically: readers see all of it or nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let call = self.store.put_object(name, content);
        self.admit_and_record(Operation::Write, call).await
    }

    /// Reads an object, or the bytes of it in `range`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived or the answer was truncated.
    pub async fn object(
        &self,
        name: &str,
        range: Option<Range<u64>>,
    ) -> Result<Option<Bytes>, StoreError> {
        let content = self
            .admit_and_record(Operation::Read, self.store.object(name))
            .await?;
        Ok(content.map(|content| match range {
            Some(range) => slice_clamped(&content, &range),
            None => content,
        }))
    }

    /// Removes an object; succeeds if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn delete_object(&self, name: &str) -> Result<(), StoreError> {
        let call = self.store.remove_object(name);
        self.admit_and_record(Operation::Write, call).await
    }

    /// Reads the platform's list of instances, which lags behind the running
    /// ones. Malformed rows are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn instances(&self) -> Result<InstanceListing, StoreError> {
        let mut next_range = Some(RowRange::new(INSTANCES_TABLE, ""));
        let mut instances = Vec::new();
        while let Some(range) = next_range {
            let page = self.page(&range).await?;
            instances.extend(page.rows.iter().filter_map(decode_instance));
            next_range = range.after(&page);
        }
        Ok(InstanceListing { instances })
    }

    async fn page(&self, range: &RowRange) -> Result<RowPage, StoreError> {
        self.admit_and_record(Operation::Read, self.store.rows(range))
            .await
    }

    /// Waits until the call limiter admits `call`, runs it and records its result.
    async fn admit_and_record<T>(
        &self,
        operation: Operation,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let Some(limiter) = &self.limiter else {
            return call.await;
        };
        let deadline = Instant::now() + Duration::from_millis(self.call_timeout_ms);
        limiter.admit(self.priority, operation, deadline).await?;
        let result = call.await;
        limiter.record(&result);
        result
    }
}

/// Returns the first key after all keys that begin with `prefix`, if there is
/// one.
fn prefix_end(prefix: &str) -> Option<String> {
    let last_char = prefix.chars().next_back()?;
    let head = &prefix[..prefix.len() - last_char.len_utf8()];
    let next_char = char::from_u32(u32::from(last_char) + 1)?;
    Some(format!("{head}{next_char}"))
}

/// Returns the part of `content` in `range`, clamped to its length.
fn slice_clamped(content: &Bytes, range: &Range<u64>) -> Bytes {
    let clamp =
        |offset: u64| usize::try_from(offset).map_or(content.len(), |at| at.min(content.len()));
    let end = clamp(range.end);
    content.slice(clamp(range.start).min(end)..end)
}
