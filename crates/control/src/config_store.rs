//! The configuration row and its audit trail in the platform's table.
//!
//! Changes use optimistic concurrency: a transaction replaces the row only if it
//! still has the version that was read.

use std::time::Duration;

use bytes::Bytes;
use model::FleetConfig;
use serde::{Deserialize, Serialize};
use store::{RateLimitedStore, Row, StoreError, TransactOutcome, Transaction};
use thiserror::Error;
use tokio::time::Instant;

/// Key of the configuration row.
const CONFIG_KEY: &str = "config/current";
/// Prefix of the keys of audit records.
const AUDIT_PREFIX: &str = "audit/";
/// Time-out of an operator's change, including the check of its outcome.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of audit records read in one page.
const AUDIT_PAGE_ROWS: u32 = 500;

/// The configuration as stored, with the version of its row.
#[derive(Debug, Clone)]
pub(crate) struct StoredConfig {
    pub(crate) config: FleetConfig,
    row_version: u64,
}

/// Record of one change of the configuration, stored in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Idempotency key of the operator's call. It shows whether a change was
    /// made whose response was lost.
    pub operation: String,
    /// Name of the operator.
    pub who: String,
    /// Time of the change, Unix milliseconds.
    pub changed_at_ms: u64,
    /// Version that was replaced.
    pub from_version: u64,
    /// New version.
    pub to_version: u64,
    /// Outcome of the change.
    pub outcome: AuditOutcome,
    /// Summary of the new configuration.
    pub config: ConfigSummary,
}

/// Outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// The new version was accepted.
    Applied,
}

/// Names that a configuration contains, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// Names of the classes, sorted.
    pub classes: Vec<String>,
    /// Names of the models with defaults, sorted.
    pub models: Vec<String>,
}

/// A change of the configuration that an operator requests.
#[derive(Debug, Clone)]
pub(crate) struct ConfigChange {
    pub(crate) config: FleetConfig,
    /// Idempotency key of the operator's call.
    pub(crate) operation: String,
    pub(crate) operator: String,
    /// Version that must be in force for the change to be made. `None` replaces
    /// any version.
    pub(crate) expected_version: Option<u64>,
    pub(crate) changed_at_ms: u64,
}

/// Why a change was not made.
#[derive(Debug, Error)]
pub(crate) enum ApplyError {
    /// Another operator changed the configuration first, so the version to be
    /// replaced is no longer in force.
    #[error("version {version} is in force, not the version to be replaced")]
    Conflict {
        /// Version in force.
        version: u64,
        /// The change that made this version, if its record could be found.
        winner: Option<Box<AuditRecord>>,
    },
    /// The platform cannot be reached; the configuration was not changed.
    #[error("the platform cannot be reached, nothing was changed: {0}")]
    Unavailable(StoreError),
    /// The outcome is unknown; the change may have been made.
    #[error("the platform did not answer, the change may have been made: {0}")]
    Unknown(StoreError),
    /// A row cannot be decoded or encoded.
    #[error("a row of the table is malformed: {0}")]
    Malformed(String),
}

/// Reads the configuration row. Returns `None` if no configuration was ever
/// stored.
pub(crate) async fn read_current(
    store: &RateLimitedStore,
) -> Result<Option<StoredConfig>, ApplyError> {
    let row = store.row(CONFIG_KEY).await;
    let Some(row) = row.map_err(ApplyError::Unavailable)? else {
        return Ok(None);
    };
    Ok(Some(StoredConfig {
        config: decode_row(&row)?,
        row_version: row.version,
    }))
}

/// Replaces the configuration by compare-and-set and writes the audit record in
/// the same transaction. Returns the configuration with its new version.
pub(crate) async fn apply(
    store: &RateLimitedStore,
    change: ConfigChange,
) -> Result<FleetConfig, ApplyError> {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let current = read_current(store).await?;
    let from_version = current.as_ref().map_or(0, |current| current.config.version);
    if let Some(expected_version) = change.expected_version
        && expected_version != from_version
    {
        return resolve_version_mismatch(store, &change, expected_version, from_version).await;
    }
    let mut config = change.config.clone();
    config.version = from_version + 1;
    let request = build_transaction(&change, &config, current.map(|current| current.row_version))?;
    let marker = audit_key(config.version);
    let outcome = store.transact_resolved(&request, &marker, deadline).await;
    match outcome {
        Ok(TransactOutcome::Committed { .. }) => Ok(config),
        Ok(TransactOutcome::Conflict { .. }) => {
            let winner = read_audit_record(store, config.version).await?;
            Err(ApplyError::Conflict {
                version: config.version,
                winner: winner.map(Box::new),
            })
        }
        Err(error) if error.is_not_done() => Err(ApplyError::Unavailable(error)),
        Err(error) => Err(ApplyError::Unknown(error)),
    }
}

/// Reads the newest `limit` records of the audit trail, newest first.
pub(crate) async fn audit_trail(
    store: &RateLimitedStore,
    limit: usize,
) -> Result<Vec<AuditRecord>, ApplyError> {
    let newest = read_current(store)
        .await?
        .map_or(0, |current| current.config.version);
    let last_excluded_version = newest.saturating_sub(u64::try_from(limit).unwrap_or(u64::MAX));
    let mut after = audit_key(last_excluded_version);
    let mut records = Vec::new();
    loop {
        let page = store
            .rows(AUDIT_PREFIX, Some(&after), AUDIT_PAGE_ROWS)
            .await
            .map_err(ApplyError::Unavailable)?;
        for row in &page.rows {
            records.push(decode_row(row)?);
        }
        match page.rows.last() {
            Some(last) if page.has_more => last.key.as_ref().clone_into(&mut after),
            _ => break,
        }
    }
    records.reverse();
    Ok(records)
}

/// Handles a change whose expected version is not in force. If the call is a
/// repetition after a lost response and the change was already made, returns
/// the configuration that it made; otherwise returns a conflict.
async fn resolve_version_mismatch(
    store: &RateLimitedStore,
    change: &ConfigChange,
    expected_version: u64,
    from_version: u64,
) -> Result<FleetConfig, ApplyError> {
    if let Some(record) = read_audit_record(store, expected_version + 1).await?
        && record.operation == change.operation
    {
        let mut config = change.config.clone();
        config.version = record.to_version;
        return Ok(config);
    }
    let winner = read_audit_record(store, from_version).await?;
    Err(ApplyError::Conflict {
        version: from_version,
        winner: winner.map(Box::new),
    })
}

async fn read_audit_record(
    store: &RateLimitedStore,
    version: u64,
) -> Result<Option<AuditRecord>, ApplyError> {
    let row = store.row(&audit_key(version)).await;
    match row.map_err(ApplyError::Unavailable)? {
        Some(row) => decode_row(&row).map(Some),
        None => Ok(None),
    }
}

fn build_transaction(
    change: &ConfigChange,
    config: &FleetConfig,
    row_version: Option<u64>,
) -> Result<Transaction, ApplyError> {
    let record = AuditRecord {
        operation: change.operation.clone(),
        who: change.operator.clone(),
        changed_at_ms: change.changed_at_ms,
        from_version: config.version - 1,
        to_version: config.version,
        outcome: AuditOutcome::Applied,
        config: summarize(config),
    };
    let config_row = store::row_id(CONFIG_KEY);
    let audit_row = store::row_id(&audit_key(config.version));
    Ok(Transaction {
        conditions: vec![
            config_row.clone().at_version(row_version.unwrap_or(0)),
            audit_row.clone().at_version(0),
        ],
        puts: vec![
            config_row.with_value(encode(config)?),
            audit_row.with_value(encode(&record)?),
        ],
        ..Transaction::default()
    })
}

fn summarize(config: &FleetConfig) -> ConfigSummary {
    let classes = config.classes.iter();
    let models = config.models.iter();
    ConfigSummary {
        classes: classes.map(|class| class.name.to_string()).collect(),
        models: models.map(|entry| entry.model.to_string()).collect(),
    }
}

fn audit_key(version: u64) -> String {
    format!("{AUDIT_PREFIX}{version:020}")
}

fn encode(value: &impl Serialize) -> Result<Bytes, ApplyError> {
    let encoded = serde_json::to_vec(value).map(Bytes::from);
    encoded.map_err(|error| ApplyError::Malformed(error.to_string()))
}

fn decode_row<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, ApplyError> {
    serde_json::from_slice(&row.value)
        .map_err(|error| ApplyError::Malformed(format!("{}: {error}", row.key)))
}
