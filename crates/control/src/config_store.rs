//! The configuration row and its audit trail in the platform's table.

use std::time::Duration;

use bytes::Bytes;
use model::FleetConfig;
use serde::{Deserialize, Serialize};
use store::{RateLimitedStore, Row, StoreError, TransactOutcome, Transaction};
use thiserror::Error;
use tokio::time::Instant;

/// Key of the configuration row.
const CONFIG_KEY: &str = "config/current";
/// Prefix of the audit records.
const AUDIT_PREFIX: &str = "audit/";
/// Time within which an operator is answered.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// Most records in one page of the audit trail.
const AUDIT_PAGE: u32 = 500;

/// The configuration row.
#[derive(Debug, Clone)]
pub(crate) struct Current {
    pub(crate) config: FleetConfig,
    row_version: u64,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Unique to the operator's call, so that a lost answer can be settled.
    pub operation: String,
    /// Operator.
    pub who: String,
    /// Unix time of the change, milliseconds.
    pub changed_at_ms: u64,
    /// Version replaced.
    pub from_version: u64,
    /// New version.
    pub to_version: u64,
    /// What came of it.
    pub outcome: AuditOutcome,
    /// The new configuration.
    pub config: ConfigSummary,
}

/// What came of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// The version was accepted.
    Applied,
}

/// Names in a configuration, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// Classes, sorted.
    pub classes: Vec<String>,
    /// Models with defaults, sorted.
    pub models: Vec<String>,
}

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub(crate) config: FleetConfig,
    pub(crate) operation: String,
    pub(crate) who: String,
    /// Version that the operator means to replace; any if `None`.
    pub(crate) replaces: Option<u64>,
    pub(crate) changed_at_ms: u64,
}

/// Why a change was not made.
#[derive(Debug, Error)]
pub(crate) enum ApplyError {
    /// Another operator was faster.
    #[error("version {version} is in force")]
    Conflict {
        version: u64,
        winner: Option<Box<AuditRecord>>,
    },
    /// Nothing was changed.
    #[error("the platform cannot be reached, nothing was changed: {0}")]
    Unavailable(StoreError),
    /// The change may have been made.
    #[error("the platform did not answer, the change may have been made: {0}")]
    Unknown(StoreError),
    /// A row does not hold what this program writes.
    #[error("a row of the table is malformed: {0}")]
    Malformed(String),
}

/// Reads the configuration row.
pub(crate) async fn read(store: &RateLimitedStore) -> Result<Option<Current>, ApplyError> {
    let row = store.row(CONFIG_KEY).await;
    let Some(row) = row.map_err(ApplyError::Unavailable)? else {
        return Ok(None);
    };
    Ok(Some(Current {
        config: parse(&row)?,
        row_version: row.version,
    }))
}

/// Replaces the configuration by compare-and-set, with the audit record in the
/// same transaction. Returns the configuration with its new version.
pub(crate) async fn apply(
    store: &RateLimitedStore,
    change: Change,
) -> Result<FleetConfig, ApplyError> {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let current = read(store).await?;
    let from_version = current.as_ref().map_or(0, |current| current.config.version);
    if let Some(replaces) = change.replaces
        && replaces != from_version
    {
        return resume_or_refuse(store, &change, replaces, from_version).await;
    }
    let mut config = change.config.clone();
    config.version = from_version + 1;
    let request = transaction(&change, &config, current.map(|current| current.row_version))?;
    let marker = audit_key(config.version);
    let outcome = store.transact_resolved(&request, &marker, deadline).await;
    match outcome {
        Ok(TransactOutcome::Committed { .. }) => Ok(config),
        Ok(TransactOutcome::Conflict { .. }) => {
            let winner = read_audit(store, config.version).await?;
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
    let newest = read(store)
        .await?
        .map_or(0, |current| current.config.version);
    let before = newest.saturating_sub(u64::try_from(limit).unwrap_or(u64::MAX));
    let mut after = audit_key(before);
    let mut records = Vec::new();
    loop {
        let page = store
            .rows(AUDIT_PREFIX, Some(&after), AUDIT_PAGE)
            .await
            .map_err(ApplyError::Unavailable)?;
        for row in &page.rows {
            records.push(parse(row)?);
        }
        match page.rows.last() {
            Some(last) if page.has_more => last.key.as_ref().clone_into(&mut after),
            _ => break,
        }
    }
    records.reverse();
    Ok(records)
}

/// The operator's version is not in force. If the change is the operator's own,
/// repeated after a lost answer, it was made already.
async fn resume_or_refuse(
    store: &RateLimitedStore,
    change: &Change,
    replaces: u64,
    from_version: u64,
) -> Result<FleetConfig, ApplyError> {
    if let Some(record) = read_audit(store, replaces + 1).await?
        && record.operation == change.operation
    {
        let mut config = change.config.clone();
        config.version = record.to_version;
        return Ok(config);
    }
    let winner = read_audit(store, from_version).await?;
    Err(ApplyError::Conflict {
        version: from_version,
        winner: winner.map(Box::new),
    })
}

async fn read_audit(
    store: &RateLimitedStore,
    version: u64,
) -> Result<Option<AuditRecord>, ApplyError> {
    let row = store.row(&audit_key(version)).await;
    match row.map_err(ApplyError::Unavailable)? {
        Some(row) => parse(&row).map(Some),
        None => Ok(None),
    }
}

fn transaction(
    change: &Change,
    config: &FleetConfig,
    row_version: Option<u64>,
) -> Result<Transaction, ApplyError> {
    let record = AuditRecord {
        operation: change.operation.clone(),
        who: change.who.clone(),
        changed_at_ms: change.changed_at_ms,
        from_version: config.version - 1,
        to_version: config.version,
        outcome: AuditOutcome::Applied,
        config: summarize(config),
    };
    let current = store::row_id(CONFIG_KEY);
    let audit = store::row_id(&audit_key(config.version));
    Ok(Transaction {
        conditions: vec![
            current.clone().at_version(row_version.unwrap_or(0)),
            audit.clone().at_version(0),
        ],
        puts: vec![
            current.with_value(encode(config)?),
            audit.with_value(encode(&record)?),
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

fn parse<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, ApplyError> {
    serde_json::from_slice(&row.value)
        .map_err(|error| ApplyError::Malformed(format!("{}: {error}", row.key)))
}
