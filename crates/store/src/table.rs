//! Paced calls: rows of one table by their keys, and objects.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use bytes::Bytes;
use platform::{Row, RowId, RowPage, RowRange, Store, StoreError, TransactOutcome, Transaction};
use tokio::time::Instant;

use crate::{
    CallLimiter, INSTANCES_TABLE, InstanceListing, Operation, Priority, instances::decode_instance,
    shared_limiter::SharedLimiter,
};

/// Table of all rows of the own interface's programs. They share one partition,
/// so that any of them can change together.
pub const PROGRAMS_TABLE: &str = "redwingtack";
/// Default time limit of one call, milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Handle to the store; clones share connections.
#[derive(Debug, Clone)]
pub struct RateLimitedStore {
    store: Store,
    call_timeout_ms: u64,
    limiter: Option<Arc<SharedLimiter>>,
    priority: Priority,
}

/// Names the row with a key.
#[must_use]
pub fn row_id(key: &str) -> RowId {
    RowId::new(PROGRAMS_TABLE, "", key)
}

impl RateLimitedStore {
    /// A client of the store at `address`. Nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            store: Store::new(address).with_call_timeout_ms(CALL_TIMEOUT_MS),
            call_timeout_ms: CALL_TIMEOUT_MS,
            limiter: None,
            priority: Priority::Control,
        }
    }

    /// Replaces the time limit of each call.
    #[must_use]
    pub fn with_call_timeout_ms(mut self, call_timeout_ms: u64) -> Self {
        self.store = self.store.with_call_timeout_ms(call_timeout_ms);
        self.call_timeout_ms = call_timeout_ms;
        self
    }

    /// Paces the calls of this handle and of its clones. Calls wait for their
    /// turn within their time limit, and fail as not done if it cannot come.
    #[must_use]
    pub fn with_limiter(mut self, limiter: CallLimiter) -> Self {
        self.limiter = Some(Arc::new(SharedLimiter::new(limiter)));
        self
    }

    /// A handle whose calls have this priority; the budget stays shared.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Divides the fleet's budget among this many live instances.
    pub fn set_live_instances(&self, instances: u32) {
        if let Some(limiter) = &self.limiter {
            limiter.set_live_instances(instances);
        }
    }

    /// Applies a transaction once. An [`StoreError::Unknown`] outcome has to be
    /// settled; see [`RateLimitedStore::transact_resolved`].
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn transact(&self, transaction: &Transaction) -> Result<TransactOutcome, StoreError> {
        let call = self.store.transact(transaction);
        self.paced(Operation::Write, call).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let page = self.page(&RowRange::of_row(&row_id(key))).await?;
        Ok(page.rows.into_iter().next())
    }

    /// Reads up to `limit` rows whose keys begin with `prefix` and follow
    /// `after`, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn rows(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<RowPage, StoreError> {
        let all = RowRange::new(PROGRAMS_TABLE, "");
        let range = match after {
            Some(after) if after >= prefix => all.with_keys_after(after),
            _ => all.with_from_key(prefix.to_owned()),
        };
        let range = RowRange {
            to_key: prefix_end(prefix),
            limit: Some(limit),
            ..range
        };
        self.page(&range).await
    }

    /// Writes an object. It appears whole or not at all.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let call = self.store.put_object(name, content);
        self.paced(Operation::Write, call).await
    }

    /// Reads an object, or the bytes of it in `range`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the answer was cut.
    pub async fn object(
        &self,
        name: &str,
        range: Option<Range<u64>>,
    ) -> Result<Option<Bytes>, StoreError> {
        let content = self.paced(Operation::Read, self.store.object(name)).await?;
        Ok(content.map(|content| match range {
            Some(range) => slice(&content, &range),
            None => content,
        }))
    }

    /// Removes an object; removing an absent one succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn delete_object(&self, name: &str) -> Result<(), StoreError> {
        let call = self.store.remove_object(name);
        self.paced(Operation::Write, call).await
    }

    /// Reads the lagging list of instances.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn instances(&self) -> Result<InstanceListing, StoreError> {
        let mut rest = Some(RowRange::new(INSTANCES_TABLE, ""));
        let mut instances = Vec::new();
        while let Some(range) = rest {
            let page = self.page(&range).await?;
            instances.extend(page.rows.iter().filter_map(decode_instance));
            rest = range.after(&page);
        }
        Ok(InstanceListing { instances })
    }

    async fn page(&self, range: &RowRange) -> Result<RowPage, StoreError> {
        self.paced(Operation::Read, self.store.rows(range)).await
    }

    async fn paced<T>(
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

/// The first key after all that begin with `prefix`, if there is one.
fn prefix_end(prefix: &str) -> Option<String> {
    let last = prefix.chars().next_back()?;
    let rest = &prefix[..prefix.len() - last.len_utf8()];
    let next = char::from_u32(u32::from(last) + 1)?;
    Some(format!("{rest}{next}"))
}

fn slice(content: &Bytes, range: &Range<u64>) -> Bytes {
    let at =
        |position: u64| usize::try_from(position).map_or(content.len(), |at| at.min(content.len()));
    let end = at(range.end);
    content.slice(at(range.start).min(end)..end)
}
