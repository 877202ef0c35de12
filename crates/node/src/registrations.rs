//! Applies registrations of upstreams to what this instance knows of them.

use std::rc::Rc;

use gateway::{FROM_THE_START_MS, UpstreamEntry};
use model::UpstreamId;
use platform::{FeedPage, FieldProblem, Row, SERVERS_TABLE, ServerRow, StoreError, decode_server};

use crate::{feeds::Feed, node::Node, stream_versions, version_lists};

/// Time within which servers register again after the store has recovered, if
/// their registrations lapsed while it was unreachable, milliseconds.
const REGISTRATION_RECOVERY_MS: u64 = 2_000;

/// Handles the end of a snapshot that began at `version` of the store: removes the upstreams
/// that have no row.
pub(crate) fn complete_snapshot(node: &Node, rows: &[Row], version: u64) {
    let registered: Vec<_> = rows.iter().map(|row| UpstreamId::new(&row.key)).collect();
    let now_ms = node.now_ms();
    let may_have_lapsed = may_have_lapsed(node, now_ms);
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.retain_registered(&registered, may_have_lapsed, now_ms);
    node.has_read_servers.set(true);
    node.servers_fed_version.set(version);
    let mut history = node.version_history.borrow_mut();
    history.record_snapshot(version, FROM_THE_START_MS);
    node.update_initial_state();
    log::info!("event=servers_read count={}", upstreams.ready_count());
}

/// Records that all changes of registrations are known up to those of a page.
pub(crate) fn record_fed(node: &Node, page: &FeedPage) {
    let known_version = node.servers_fed_version.get();
    node.servers_fed_version
        .set(known_version.max(page.store_version));
    node.version_history
        .borrow_mut()
        .record_changes(page.store_version);
    stream_versions::send_records(node);
}

/// Records that the registration of an upstream, if there is one, ends or is replaced.
fn record_registration_end(node: &Node, id: &UpstreamId) {
    let store_now_ms = node.store_now_ms();
    let upstreams = node.upstreams.borrow();
    let mut history = node.version_history.borrow_mut();
    match upstreams.entry(id) {
        Some(entry) => history.record_vanished(&entry.service, &entry.version, store_now_ms),
        None => history.record_unseen(store_now_ms),
    }
}

/// Decodes the row of one upstream. One whose version could not be listed must not be used.
fn decode_usable_server(node: &Node, row: &Row) -> ServerRow {
    match decode_server(row) {
        ServerRow::Listed(entry) if node.version_lists.is_unlisted(&entry) => {
            ServerRow::Unreadable {
                id: entry.id,
                problems: vec![FieldProblem {
                    field: "version".to_owned(),
                    message: "no room in the list of versions".to_owned(),
                }],
            }
        }
        server => server,
    }
}

/// Applies the row of one upstream.
pub(crate) fn apply_row(node: &Node, row: &Row) {
    let now_ms = node.now_ms();
    let server = decode_usable_server(node, row);
    match &server {
        ServerRow::Listed(entry) if node.upstreams.borrow().entry(&entry.id).is_none() => {}
        ServerRow::Listed(UpstreamEntry { id, .. })
        | ServerRow::Removed(id)
        | ServerRow::Unreadable { id, .. } => record_registration_end(node, id),
    }
    let mut upstreams = node.upstreams.borrow_mut();
    match server {
        ServerRow::Listed(entry) => {
            log::info!(
                "event=server_listed upstream={} service={} version={} state={:?} slots={}",
                entry.id,
                entry.service,
                process::quote(&entry.version),
                entry.state,
                entry.slots
            );
            upstreams.upsert(entry, now_ms);
        }
        ServerRow::Removed(id) => {
            let may_have_lapsed = may_have_lapsed(node, now_ms);
            log::info!("event=server_removed upstream={id} may_have_lapsed={may_have_lapsed}");
            upstreams.remove(&id, may_have_lapsed, now_ms);
        }
        ServerRow::Unreadable { id, problems } => {
            for problem in problems {
                log::warn!(
                    "event=server_unreadable upstream={id} problem={}",
                    process::quote(&problem)
                );
            }
            upstreams.remove(&id, false, now_ms);
        }
    }
    node.batch_state_changed.notify_one();
}

/// Reads the changes of registrations that the store has now.
///
/// # Errors
///
/// Returns an error if the store did not return changes.
pub(crate) async fn read_changes(node: &Rc<Node>) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let version = node.servers_fed_version.get();
    match node.store.feed(SERVERS_TABLE, version, 0).await {
        Ok(page) => {
            node.record_store_answer(SERVERS_TABLE);
            if !version_lists::new_versions(node, &page.rows).is_empty() {
                return Err(StoreError::NotDone(
                    "a version is not listed yet".to_owned(),
                ));
            }
            Feed::Servers.apply_page(node, &page);
            Ok(())
        }
        Err(error) => {
            if error != StoreError::HistoryGone {
                node.record_store_failure(SERVERS_TABLE, began_ms, &error);
            }
            Err(error)
        }
    }
}

/// Returns whether the registration of a working server may have lapsed because the
/// store was unreachable.
fn may_have_lapsed(node: &Node, now_ms: u64) -> bool {
    let since_ms = now_ms.saturating_sub(REGISTRATION_RECOVERY_MS);
    node.store_health.was_unreachable_since(since_ms)
}
