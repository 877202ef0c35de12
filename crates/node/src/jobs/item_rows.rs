//! Reads and writes the rows of the items of jobs. Those of a large job are encoded one
//! transaction after the other, so that they are never in memory all at once.

use std::slice;

use bytes::{Buf, Bytes, BytesMut};
use ledger::{JobItem, PartialOutput, StoredItems};
use model::JobId;
use platform::{RowChange, StoreError};

use super::{
    partial_codec::decode_partial,
    storage::{
        ITEMS_TABLE, JobRows, PARTIALS_TABLE, TRANSACTION_MAX_BYTES, TRANSACTION_MAX_ROWS, decode,
        encode, payload_row,
    },
};

/// Prefix of the keys of the rows that hold the tokens of the items. It sorts after the
/// rows of the items.
const TOKENS_KEY_PREFIX: &str = "tokens/";

/// Rows of the items of a job, encoded as they are asked for. They are the rows of the encoded
/// list of the items.
#[derive(Debug)]
struct ItemRows<'a> {
    id: &'a JobId,
    items: slice::Iter<'a, JobItem>,
    part_bytes: usize,
    /// Encoded bytes that are in no row yet.
    encoded: BytesMut,
    next_index: usize,
}

impl<'a> ItemRows<'a> {
    fn new(id: &'a JobId, items: &'a [JobItem], part_bytes: usize) -> Result<Self, StoreError> {
        // A list begins with its length.
        let length = encode(&items.len())?;
        Ok(Self {
            id,
            items: items.iter(),
            part_bytes,
            encoded: BytesMut::from(&*length),
            next_index: 0,
        })
    }

    /// Returns the next row, or `None` after the last one.
    fn next_row(&mut self) -> Result<Option<RowChange>, StoreError> {
        while self.encoded.len() <= self.part_bytes {
            let Some(item) = self.items.next() else { break };
            self.encoded.extend_from_slice(&encode(item)?);
        }
        if self.encoded.is_empty() {
            return Ok(None);
        }
        let length = self.encoded.len().min(self.part_bytes);
        let is_last = length == self.encoded.len();
        let part = &self.encoded[..length];
        let row = payload_row(ITEMS_TABLE, self.id, "", self.next_index, part, is_last);
        self.encoded.advance(length);
        self.next_index += 1;
        Ok(Some(row))
    }
}

impl JobRows<'_> {
    /// Writes the rows of the items of a job and of their tokens, but for the last ones, which
    /// fit into one transaction with the record. Returns these.
    pub(super) async fn put_items(
        &self,
        id: &JobId,
        items: &StoredItems,
    ) -> Result<Vec<RowChange>, StoreError> {
        let mut item_rows = ItemRows::new(id, &items.items, self.part_bytes())?;
        let tokens = encode(&items.item_tokens)?;
        let token_rows = self.split_into_rows(ITEMS_TABLE, id, TOKENS_KEY_PREFIX, &tokens);
        let mut token_rows = token_rows.into_iter();
        let mut puts = Vec::new();
        let mut put_bytes = 0;
        while let Some(row) = item_rows.next_row()?.or_else(|| token_rows.next()) {
            let bytes = row.value.as_ref().map_or(0, Bytes::len);
            let is_full = put_bytes + bytes > TRANSACTION_MAX_BYTES;
            if !puts.is_empty() && (is_full || puts.len() >= TRANSACTION_MAX_ROWS) {
                self.put_rows(std::mem::take(&mut puts)).await?;
                put_bytes = 0;
            }
            put_bytes += bytes;
            puts.push(row);
        }
        if puts.len() >= TRANSACTION_MAX_ROWS {
            self.put_rows(std::mem::take(&mut puts)).await?;
        }
        Ok(puts)
    }

    /// Reads the items of a job and the partial outputs that earlier owners saved.
    pub(crate) async fn read_items(&self, id: &JobId) -> Result<StoredItems, StoreError> {
        let payloads = self.read_item_payloads(id, 2).await?;
        let items = decode(payloads.first().unwrap_or(&Bytes::new()))?;
        // Jobs that were stored by earlier versions of the program have no tokens.
        let item_tokens = payloads.get(1).map(decode).transpose()?;
        drop(payloads);
        Ok(StoredItems {
            items,
            item_tokens: item_tokens.unwrap_or_default(),
            partials: self.read_partials(id).await?,
        })
    }

    /// Reads the items of a job without what was saved beside them.
    pub(super) async fn read_contents(&self, id: &JobId) -> Result<Vec<JobItem>, StoreError> {
        let payloads = self.read_item_payloads(id, 1).await?;
        decode(payloads.first().unwrap_or(&Bytes::new()))
    }

    async fn read_item_payloads(&self, id: &JobId, count: usize) -> Result<Vec<Bytes>, StoreError> {
        let mut payloads = Vec::new();
        self.read_payloads(ITEMS_TABLE, id, format!("{id}/"), |payload| {
            payloads.push(payload);
            payloads.len() < count
        })
        .await?;
        Ok(payloads)
    }

    async fn read_partials(&self, id: &JobId) -> Result<Vec<PartialOutput>, StoreError> {
        let mut partials = Vec::new();
        self.read_payloads(PARTIALS_TABLE, id, format!("{id}/"), |payload| {
            partials.push(payload);
            true
        })
        .await?;
        // A payload that is shorter than the one before may be followed by a rest of that.
        let partials = partials.iter().filter_map(|payload| {
            decode_partial(payload)
                .inspect_err(|error| {
                    log::warn!(
                        "event=partial_unreadable job={id} error={}",
                        process::quote(error)
                    );
                })
                .ok()
        });
        Ok(partials.collect())
    }
}
