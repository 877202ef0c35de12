//! Tests of the list of versions that outlives all instances.

mod support;

use gateway::{
    FROM_THE_START_MS, ListedVersions, Listing, STREAM_LIFETIME_MS, UpstreamTable, VersionHistory,
};
use model::SoftwareVersion;
use support::{entry, locality, service};

const START_MS: u64 = 1_000_000;
/// Time after which no stream of a version that ended may be taken up.
const MEMORY_MS: u64 = 90_000;
/// Time for which an instance may act on an earlier list.
const STALE_MS: u64 = 30_000;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn list_of(versions: &[&str]) -> ListedVersions {
    let list = ListedVersions::default();
    let versions = versions.iter();
    versions.fold(list, |list, name| {
        list.with_version(&version(name), START_MS)
    })
}

/// Returns the history and the upstreams of an instance that has just started: only upstreams
/// of `v2` are registered.
fn started_with(list: &ListedVersions, now_ms: u64) -> (VersionHistory, UpstreamTable) {
    let mut history = VersionHistory::default();
    history.record_listed(&service(), list, now_ms);
    history.record_snapshot(1, FROM_THE_START_MS);
    let mut table = UpstreamTable::new(locality("i-0"), 1);
    let mut upstream = entry("u0", "north-a");
    upstream.version = version("v2");
    table.upsert(upstream, 0);
    (history, table)
}

#[test]
fn listing_of_missing_version() {
    let listing = list_of(&["v1"]).listing(&version("v2"), START_MS);
    assert_eq!(listing, Listing::Write);
}

#[test]
fn listing_of_version_just_listed() {
    let listing = list_of(&["v1"]).listing(&version("v1"), START_MS + STALE_MS - 1);
    assert_eq!(listing, Listing::ReadRegistrations);
}

#[test]
fn listing_of_version_listed_long_ago() {
    let listing = list_of(&["v1"]).listing(&version("v1"), START_MS + STALE_MS);
    assert_eq!(listing, Listing::Done);
}

#[test]
fn only_version_of_single_listed_version() {
    let (history, table) = started_with(&list_of(&["v2"]), START_MS + 1);
    let only = history.only_version(&service(), &table, START_MS + 1);
    assert_eq!(only, Some(version("v2")));
}

#[test]
fn only_version_of_several_listed_versions() {
    let (history, table) = started_with(&list_of(&["v1", "v2"]), START_MS);
    let only_at = |now_ms| history.only_version(&service(), &table, now_ms);
    assert_eq!(only_at(START_MS + MEMORY_MS - 1), None);
    assert_eq!(only_at(START_MS + MEMORY_MS), Some(version("v2")));
}

#[test]
fn unproven_time_after_several_listed_versions() {
    let (history, table) = started_with(&list_of(&["v1", "v2"]), START_MS);
    let left_ms = |now_ms| history.unproven_for_ms(&service(), &table, now_ms);
    assert_eq!(left_ms(START_MS), STREAM_LIFETIME_MS);
    assert_eq!(left_ms(START_MS + MEMORY_MS - 1), 1);
}

#[test]
fn only_version_while_lists_are_unread() {
    let history = VersionHistory::default();
    let (_, table) = started_with(&list_of(&[]), START_MS);
    assert_eq!(history.only_version(&service(), &table, START_MS), None);
}

#[test]
fn removal_of_unused_version() {
    let is_used = |used: &SoftwareVersion| *used == version("v2");
    let list = list_of(&["v1", "v2"]);
    let announced_at_ms = START_MS + MEMORY_MS;
    assert_eq!(list.without_unused(is_used, announced_at_ms - 1), None);
    let announced = list.without_unused(is_used, announced_at_ms).unwrap();
    assert_eq!(announced.versions.len(), 2);
    assert_eq!(announced.without_unused(is_used, announced_at_ms), None);
    let removed = announced.without_unused(is_used, announced_at_ms + STALE_MS);
    assert_eq!(removed, Some(list_of(&["v2"])));
}

/// An instance begins to use a version again whose removal was announced.
#[test]
fn removal_of_version_that_is_used_again() {
    let announced_at_ms = START_MS + MEMORY_MS;
    let announced = list_of(&["v1"]).without_unused(|_| false, announced_at_ms);
    let announced = announced.unwrap();
    let listing = announced.listing(&version("v1"), announced_at_ms);
    assert_eq!(listing, Listing::Write);
    let used = announced.with_version(&version("v1"), announced_at_ms);
    assert_eq!(
        used.without_unused(|_| false, announced_at_ms + STALE_MS),
        None
    );
}

/// Guards against a version that counts as the only one because another writer replaced the
/// list: the list in its place stands for versions that nobody knows.
#[test]
fn only_version_is_none_after_an_unreadable_list() {
    let list = ListedVersions::new_for_unreadable(START_MS);
    assert_eq!(list.listing(&version("v2"), START_MS), Listing::Write);
    let list = list.with_version(&version("v2"), START_MS);
    let (history, table) = started_with(&list, START_MS);
    let only = |now_ms| history.only_version(&service(), &table, now_ms);
    assert_eq!(only(START_MS + MEMORY_MS - 1), None);
    assert_eq!(only(START_MS + MEMORY_MS), Some(version("v2")));
}
