//! Applies the configuration that the store returns, and renews the lease on accepting the keys
//! of its customers.

use std::rc::Rc;

use gateway::{ConfigAnswer, ConfigConfirmation, PeerNews};
use platform::{CONFIG_KEY, CONFIG_TABLE, Row, RowRange, StoreError, decode_config};
use tokio::task::spawn_local;

use crate::{
    clock::boot_ms,
    freshness_check::{self, Subject},
    node::Node,
    quotas,
};

/// Applies a row of the table unless a newer configuration is in force.
pub(crate) fn apply_row(node: &Node, row: &Row) {
    if *row.key != *CONFIG_KEY || row.is_removed || row.version < node.config_row_version.get() {
        return;
    }
    node.config_row_version.set(row.version);
    let table = match decode_config(&row.value) {
        Ok(table) => table,
        Err(problems) => {
            for problem in problems {
                log::error!("event=config_refused problem={}", process::quote(&problem));
            }
            node.key_lease.borrow_mut().record_superseded();
            return;
        }
    };
    let version = table.version;
    let routes = table.routes().len();
    let prompt_memory = table.prompt_memory.clone();
    let customers = table.customers.clone();
    let customer_count = customers
        .as_ref()
        .map_or(0, |table| table.customers().len());
    let old_customers = node.routes().and_then(|old| old.customers.clone());
    if !node.apply_routes(table) {
        return;
    }
    node.upstreams
        .borrow_mut()
        .set_prompt_memory(&prompt_memory);
    node.key_lease.borrow_mut().record_version(version);
    node.unknown_keys.borrow_mut().record_version(
        old_customers.as_deref(),
        customers.as_deref(),
        version,
    );
    quotas::set_customers(node, customers.as_deref());
    node.update_initial_state();
    log::info!(
        "event=config_applied config_version={version} routes={routes} customers={customer_count}"
    );
    node.batch_state_changed.notify_one();
}

/// Records that the store has returned all changes of the configuration up to `fed_version`, in
/// answer to a call that began at `began_ms` since the start of the machine. `store_ms` is what
/// the store's clock read then.
pub(crate) fn record_answer(node: &Node, fed_version: u64, began_ms: u64, store_ms: Option<u64>) {
    let known_version = node.config_fed_version.get();
    node.config_fed_version.set(known_version.max(fed_version));
    let answer = ConfigAnswer {
        began_ms,
        arrived_ms: boot_ms(),
        store_ms,
    };
    node.key_lease.borrow_mut().record_answer(&answer);
}

/// Returns for how long a feed call may wait for changes, at most `wait_ms` milliseconds.
pub(crate) fn wait_ms(node: &Node, wait_ms: u64) -> u64 {
    node.key_lease.borrow().renewal_wait_ms(wait_ms, boot_ms())
}

/// Reads the changes of the configuration that the store has now.
///
/// # Errors
///
/// Returns an error if the store did not return them.
pub(crate) async fn read_changes(node: &Rc<Node>) -> Result<(), StoreError> {
    let began_ms = boot_ms();
    let version = node.config_fed_version.get();
    let (rows, fed_version, store_ms) = match node.store.feed(CONFIG_TABLE, version, 0).await {
        Ok(page) => (page.rows, page.store_version, page.store_now_ms),
        Err(StoreError::HistoryGone) => {
            let page = node.store.rows(&RowRange::new(CONFIG_TABLE, "")).await?;
            (page.rows, page.store_version, page.store_now_ms)
        }
        Err(error) => return Err(error),
    };
    node.record_store_time(store_ms);
    for row in &rows {
        apply_row(node, row);
    }
    record_answer(node, fed_version, began_ms, store_ms);
    Ok(())
}

/// Records what a peer says about the configuration, and reads the newest one if the peer has a
/// newer one. Returns whether the peer is to be told what this instance knows.
pub(crate) fn receive(node: &Rc<Node>, confirmation: &ConfigConfirmation) -> bool {
    let news = node
        .key_lease
        .borrow_mut()
        .record_peer(confirmation, boot_ms());
    if news == PeerNews::NewerVersion {
        let node = Rc::clone(node);
        spawn_local(async move { freshness_check::confirm(&node, Subject::Config).await });
        return false;
    }
    node.key_lease.borrow().is_news_to(confirmation)
}
