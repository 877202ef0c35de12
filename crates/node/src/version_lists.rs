//! Reads and writes the lists of software versions in the store. The decisions are in
//! [`gateway::ListedVersions`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use gateway::{ListedVersions, Listing, ServiceVersion, UpstreamEntry, versions_to_list};
use model::{ServiceName, UpstreamId};
use platform::{
    Row, RowId, RowRange, ServerRow, StoreError, TransactOutcome, Transaction, decode_server,
};

use crate::{feeds, node::Node, registrations};

/// Table of the lists, keyed by service. A service is a partition of its own.
const VERSIONS_TABLE: &str = "redwingtack_versions";
/// Time for which a version counts as looked up, milliseconds. Registrations are read again
/// meanwhile.
const LOOKED_UP_MS: u64 = 10_000;

/// Time after which versions for which there was no room are looked up again, milliseconds.
const UNLISTED_RETRY_MS: u64 = 30_000;

/// The lists as this instance has read them.
#[derive(Debug, Default)]
pub(crate) struct VersionLists {
    lists: RefCell<Vec<KnownList>>,
    looked_up: RefCell<Vec<LookedUp>>,
    /// Versions for which there is no room in the list of their service. Their upstreams are
    /// not used.
    unlisted: RefCell<Vec<ServiceVersion>>,
    /// When all registrations are read again, to list these versions.
    retry_at_ms: Cell<Option<u64>>,
}

#[derive(Debug, Clone)]
struct KnownList {
    service: ServiceName,
    list: ListedVersions,
    /// Version of the row; 0 if there is none.
    row_version: u64,
}

#[derive(Debug)]
struct LookedUp {
    version: ServiceVersion,
    until_ms: u64,
}

impl VersionLists {
    /// Forgets which versions were looked up, since all registrations are read anew.
    pub(crate) fn forget(&self) {
        self.looked_up.borrow_mut().clear();
        self.unlisted.borrow_mut().clear();
        self.retry_at_ms.set(None);
    }

    /// Returns whether the version of an upstream could not be listed, so that it must not be
    /// used.
    pub(crate) fn is_unlisted(&self, entry: &UpstreamEntry) -> bool {
        let unlisted = self.unlisted.borrow();
        unlisted
            .iter()
            .any(|known| known.service == entry.service && known.version == entry.version)
    }

    /// Returns whether it is time to try again to list versions for which there was no room.
    pub(crate) fn is_retry_due(&self, now_ms: u64) -> bool {
        self.retry_at_ms
            .get()
            .is_some_and(|retry_at_ms| retry_at_ms <= now_ms)
    }

    fn record_unlisted(&self, version: &ServiceVersion, now_ms: u64) {
        self.retry_at_ms.set(Some(now_ms + UNLISTED_RETRY_MS));
        let mut unlisted = self.unlisted.borrow_mut();
        if !unlisted.contains(version) {
            unlisted.push(version.clone());
        }
    }

    fn record_looked_up(&self, version: &ServiceVersion, now_ms: u64) {
        let mut looked_up = self.looked_up.borrow_mut();
        looked_up.retain(|known| now_ms < known.until_ms && known.version != *version);
        looked_up.push(LookedUp {
            version: version.clone(),
            until_ms: now_ms + LOOKED_UP_MS,
        });
    }

    fn is_looked_up(&self, entry: &UpstreamEntry, now_ms: u64) -> bool {
        self.looked_up.borrow().iter().any(|known| {
            let ServiceVersion { service, version } = &known.version;
            *service == entry.service && *version == entry.version && now_ms < known.until_ms
        })
    }

    fn record_list(&self, known: KnownList) {
        let mut lists = self.lists.borrow_mut();
        lists.retain(|other| other.service != known.service);
        lists.push(known);
    }
}

/// Returns the versions of all registrations that have to be looked up after they were read
/// as a whole.
pub(crate) fn unknown_versions(node: &Node, rows: &[Row]) -> Vec<ServiceVersion> {
    let now_ms = node.now_ms();
    versions_to_list(&registered(rows), |entry| {
        node.version_lists.is_looked_up(entry, now_ms)
    })
}

/// Returns the versions of changed registrations that have to be looked up.
pub(crate) fn new_versions(node: &Node, rows: &[Row]) -> Vec<ServiceVersion> {
    let now_ms = node.now_ms();
    let changed: Vec<_> = rows.iter().map(|row| UpstreamId::new(&row.key)).collect();
    let upstreams = node.upstreams.borrow();
    versions_to_list(&registered(rows), |entry| {
        node.version_lists.is_looked_up(entry, now_ms)
            || upstreams.has_version(&entry.service, &entry.version, &changed)
    })
}

/// Looks up versions, and writes those that are missing into their lists. Returns whether
/// the registrations must be read again before they are used.
///
/// # Errors
///
/// Returns an error if the store did not confirm that all of them are listed.
pub(crate) async fn look_up(node: &Node, versions: &[ServiceVersion]) -> Result<bool, StoreError> {
    let mut must_read_again = false;
    for version in versions {
        must_read_again |= look_up_version(node, version).await?;
        let now_ms = node.now_ms();
        node.version_lists.record_looked_up(version, now_ms);
    }
    Ok(must_read_again)
}

async fn look_up_version(node: &Node, wanted: &ServiceVersion) -> Result<bool, StoreError> {
    let ServiceVersion { service, version } = wanted;
    loop {
        let known = read_list(node, service).await?;
        let now_ms = node.store_now_ms();
        let listing = known.list.listing(version, now_ms);
        record_list(node, &known, now_ms);
        if listing != Listing::Write {
            return Ok(listing == Listing::ReadRegistrations);
        }
        let next = known.list.with_version(version, now_ms);
        if encode(&next).len() > node.settings().store_limits.row_max_bytes {
            log::warn!(
                "event=version_not_listed service={service} version={} listed={}",
                process::quote(version),
                next.versions.len() - 1
            );
            node.version_lists.record_unlisted(wanted, now_ms);
            return Ok(false);
        }
        if write_list(node, service, &next, known.row_version).await? {
            log::info!(
                "event=version_listed service={service} version={}",
                process::quote(version)
            );
            return Ok(true);
        }
    }
}

/// Records that streams may have begun at the versions of a list.
fn record_list(node: &Node, known: &KnownList, now_ms: u64) {
    let mut history = node.version_history.borrow_mut();
    history.record_listed(&known.service, &known.list, now_ms);
    node.version_lists.record_list(known.clone());
}

/// Takes the next step to remove versions that are used no more from the lists. Instances
/// share this work: each takes a random turn.
pub(crate) async fn remove_unused(node: &Rc<Node>) {
    let instances = feeds::live_instance_count(node);
    if node.store_health.is_unreachable() || rand::random_range(0..instances) != 0 {
        return;
    }
    let lists = node.version_lists.lists.borrow().clone();
    for known in lists {
        if next_list(node, &known).is_none() {
            continue;
        }
        if let Err(error) = remove_unused_of(node, &known.service).await {
            log::warn!(
                "event=version_list_failed service={} error={}",
                known.service,
                process::quote(&error)
            );
        }
    }
}

async fn remove_unused_of(node: &Rc<Node>, service: &ServiceName) -> Result<(), StoreError> {
    let known = read_list(node, service).await?;
    node.version_lists.record_list(known.clone());
    // Versions that were registered meanwhile are still used.
    registrations::read_changes(node).await?;
    let Some(next) = next_list(node, &known) else {
        return Ok(());
    };
    if write_list(node, service, &next, known.row_version).await? {
        log::info!(
            "event=versions_unlisted service={service} listed={}",
            next.versions.len()
        );
    }
    Ok(())
}

fn next_list(node: &Node, known: &KnownList) -> Option<ListedVersions> {
    let now_ms = node.store_now_ms();
    let upstreams = node.upstreams.borrow();
    let history = node.version_history.borrow();
    let is_used = |version: &_| {
        upstreams.has_version(&known.service, version, &[])
            || history.has_vanished_lately(&known.service, version, now_ms)
    };
    known.list.without_unused(is_used, now_ms)
}

fn registered(rows: &[Row]) -> Vec<UpstreamEntry> {
    let decoded = rows.iter().map(decode_server);
    let entries = decoded.filter_map(|row| match row {
        ServerRow::Listed(entry) => Some(entry),
        ServerRow::Removed(_) | ServerRow::Unreadable { .. } => None,
    });
    entries.collect()
}

async fn read_list(node: &Node, service: &ServiceName) -> Result<KnownList, StoreError> {
    let page = node.read_rows(&RowRange::of_row(&row_id(service))).await?;
    let row = page.rows.first();
    let list = match row.map(|row| serde_json::from_slice(&row.value)) {
        None => ListedVersions::default(),
        Some(Ok(list)) => list,
        Some(Err(error)) => {
            log::warn!(
                "event=version_list_unreadable service={service} error={}",
                process::quote(&error)
            );
            ListedVersions::new_for_unreadable(node.store_now_ms())
        }
    };
    Ok(KnownList {
        service: service.clone(),
        list,
        row_version: row.map_or(0, |row| row.version),
    })
}

/// Writes a list if its row still has a version. Returns whether it was written.
async fn write_list(
    node: &Node,
    service: &ServiceName,
    list: &ListedVersions,
    row_version: u64,
) -> Result<bool, StoreError> {
    let row = row_id(service);
    let transaction = Transaction {
        conditions: vec![row.clone().at_version(row_version)],
        puts: vec![row.with_value(Bytes::from(encode(list)))],
        ..Transaction::default()
    };
    let outcome = node.transact(&transaction, 0).await?;
    Ok(matches!(outcome, TransactOutcome::Committed { .. }))
}

fn encode(list: &ListedVersions) -> Vec<u8> {
    // Serializing strings and numbers cannot fail.
    serde_json::to_vec(list).unwrap_or_default()
}

fn row_id(service: &ServiceName) -> RowId {
    RowId::new(VERSIONS_TABLE, service.as_str(), service.as_str())
}
