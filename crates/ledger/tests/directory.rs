//! Leases of instances, orphaned jobs and the order of takeovers.

mod support;

use std::sync::Arc;

use ledger::{Directory, Heartbeat, JobPhase, JobRecord, OwnerId, StoredJob};
use model::{CustomerName, InstanceId, JobId};

fn owner(name: &str, started_unix_ms: u64) -> OwnerId {
    OwnerId {
        instance: InstanceId::new(name),
        started_unix_ms,
    }
}

fn heartbeat(owner: &OwnerId) -> Heartbeat {
    Heartbeat {
        owner: owner.clone(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        callers_address: Some("127.0.0.1:2".parse().unwrap()),
        region: "r".into(),
        interval_ms: 1_000,
        is_stopping: false,
    }
}

fn job(id: &str, owner: Option<OwnerId>, version: u64) -> StoredJob {
    StoredJob {
        id: JobId::new(id),
        record: Arc::new(support::record(owner)),
        version,
    }
}

fn directory(local: &OwnerId, peers: &[&OwnerId]) -> Directory {
    let mut directory = Directory::new(local.clone());
    for (version, peer) in (1..).zip(peers) {
        directory.record_heartbeat(heartbeat(peer), version, 0);
    }
    directory
}

#[test]
fn due_takeovers_skip_jobs_of_live_owner() {
    let (local, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&local, &[&peer]);
    directory.record_job(job("j", Some(peer), 10), 0);
    assert!(directory.due_takeovers(3_000).is_empty());
}

#[test]
fn due_takeovers_after_lease_expired() {
    let (local, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&local, &[&peer]);
    directory.record_job(job("j", Some(peer.clone()), 10), 0);
    assert!(directory.due_takeovers(3_400).is_empty());
    assert_eq!(directory.due_takeovers(3_600), [JobId::new("j")]);
    directory.record_heartbeat(heartbeat(&peer), 99, 3_700);
    assert!(
        directory.due_takeovers(3_700).is_empty(),
        "the owner is live again"
    );
}

/// During an outage of the store no heartbeat can be seen. Owners must not count
/// as failed until a full lease has passed since the outage.
#[test]
fn due_takeovers_after_outage_wait_for_full_lease() {
    let (local, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&local, &[&peer]);
    directory.record_job(job("j", Some(peer), 10), 0);
    directory.renew_leases(60_000);
    assert!(directory.due_takeovers(63_000).is_empty());
    assert_eq!(directory.due_takeovers(64_000).len(), 1);
}

#[test]
fn due_takeovers_of_restarted_owner_do_not_wait_for_lease() {
    let (local, old_owner, new_owner) = (owner("me", 1), owner("peer", 1), owner("peer", 2));
    let mut directory = directory(&local, &[&new_owner]);
    directory.record_job(job("j", Some(old_owner), 10), 0);
    let takeovers = directory.due_takeovers(0).len() + directory.due_takeovers(600).len();
    assert!(takeovers > 0);
}

/// The record of a job may be seen before the heartbeat of its owner. The job
/// must not count as orphaned for that reason.
#[test]
fn due_takeovers_of_unknown_owner_wait() {
    let (local, old_owner, new_owner) = (owner("me", 1), owner("peer", 1), owner("peer", 2));
    for peers in [vec![], vec![&old_owner]] {
        let mut directory = directory(&local, &peers);
        directory.record_job(job("j", Some(new_owner.clone()), 10), 0);
        assert!(directory.due_takeovers(0).is_empty());
        assert!(directory.due_takeovers(900).is_empty());
        assert_eq!(directory.due_takeovers(2_000).len(), 1);
    }
}

#[test]
fn due_takeovers_of_own_earlier_incarnation_are_immediate() {
    let local = owner("me", 2);
    let mut directory = directory(&local, &[]);
    directory.record_job(job("j", Some(owner("me", 1)), 10), 0);
    directory.record_job(job("mine", Some(local), 11), 0);
    assert_eq!(directory.due_takeovers(0), [JobId::new("j")]);
}

/// All live instances see a job that its owner released. They must try to take it
/// over one after the other, in an order on which they agree.
#[test]
fn due_takeovers_of_released_job_are_staggered() {
    let names = ["a", "b", "c", "d"];
    let owners: Vec<_> = names.iter().map(|name| owner(name, 1)).collect();
    let mut attempt_counts = Vec::new();
    for now_ms in [0, 500, 1_000, 1_500] {
        let mut attempts = 0;
        for local in &owners {
            let peers: Vec<_> = owners.iter().collect();
            let mut directory = directory(local, &peers);
            directory.record_job(job("j", None, 10), 0);
            directory.due_takeovers(0);
            attempts += directory.due_takeovers(now_ms).len();
        }
        attempt_counts.push(attempts);
    }
    assert_eq!(attempt_counts, [1, 2, 3, 4]);
}

#[test]
fn due_takeovers_skip_ended_jobs() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    let mut ended_job = job("j", None, 10);
    Arc::make_mut(&mut ended_job.record).phase = JobPhase::Ended;
    directory.record_job(ended_job, 0);
    assert!(directory.due_takeovers(10_000).is_empty());
}

#[test]
fn record_job_ignores_older_version() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    assert!(directory.record_job(job("j", Some(local.clone()), 10), 0));
    assert!(!directory.record_job(job("j", None, 9), 0));
    assert!(!directory.record_job(job("j", None, 10), 0));
    assert_eq!(directory.job(&JobId::new("j")).unwrap().version, 10);
}

/// An answer of the store to a write of the job may come after the change feed has delivered
/// the removal of the job.
#[test]
fn record_job_ignores_state_from_before_a_removal() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    directory.record_job(job("j", Some(local.clone()), 10), 0);
    directory.remove_job(&JobId::new("j"), 12, 0);
    directory.record_known_version(12);
    assert!(!directory.record_job(job("j", Some(local.clone()), 10), 0));
    assert!(directory.record_job(job("j", Some(local), 13), 0));
}

/// A late answer may say that a job was removed, which was stored again since.
#[test]
fn remove_job_keeps_job_that_was_stored_again() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    directory.record_job(job("j", None, 20), 0);
    assert!(!directory.remove_job(&JobId::new("j"), 15, 0));
    assert_eq!(directory.job(&JobId::new("j")).unwrap().version, 20);
    assert!(directory.remove_job(&JobId::new("j"), 20, 0));
}

#[test]
fn expired_instances_after_many_leases() {
    let (local, peer) = (owner("me", 1), owner("peer", 1));
    let directory = directory(&local, &[&peer]);
    assert!(directory.expired_instances(30_000).is_empty());
    assert_eq!(directory.expired_instances(40_000), [(peer.instance, 1)]);
}

/// The address of an instance is returned even if its lease has expired. Rows
/// written by earlier versions of the program do not contain it.
#[test]
fn callers_address_of_known_instances() {
    let local = owner("me", 1);
    let peer = owner("peer", 1);
    let mut directory = directory(&local, &[&peer]);
    let expected = "127.0.0.1:2".parse().ok();
    assert_eq!(directory.callers_address(&peer.instance), expected);
    assert_eq!(directory.callers_address(&InstanceId::new("other")), None);
    let mut document = serde_json::to_value(heartbeat(&peer)).unwrap();
    document.as_object_mut().unwrap().remove("callers_address");
    let without_address: Heartbeat = serde_json::from_value(document).unwrap();
    directory.record_heartbeat(without_address, 99, 10);
    assert_eq!(directory.callers_address(&peer.instance), None);
}

/// The feed of changes may have gaps, after which the whole table is read again. Jobs
/// that were removed meanwhile must not stay.
#[test]
fn retain_stored_jobs_removes_jobs_that_are_gone() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    for (id, version) in [("gone", 10), ("stored", 11), ("newer", 21)] {
        directory.record_job(job(id, Some(local.clone()), version), 0);
    }
    let gone = directory.retain_stored_jobs(&[JobId::new("stored")], 20, 0);
    assert_eq!(gone, [JobId::new("gone")]);
    let ids: Vec<_> = directory.jobs().map(|job| job.id.clone()).collect();
    assert_eq!(ids, [JobId::new("newer"), JobId::new("stored")]);
}

/// Only unfinished items of open jobs of the same customer that are due earlier count.
#[test]
fn items_ahead_counts_the_customers_earlier_jobs() {
    let local = owner("me", 1);
    let mut directory = directory(&local, &[]);
    let of = |customer: &str, due_at_ms, items, phase| JobRecord {
        customer: Some(CustomerName::new(customer)),
        due_at_ms,
        item_count: items,
        phase,
        ..JobRecord::clone(&job("x", None, 1).record)
    };
    let records = [
        ("a", of("one", 10, 7, JobPhase::Open)),
        ("b", of("one", 11, 5, JobPhase::Ended)),
        ("c", of("two", 12, 3, JobPhase::Open)),
        ("d", of("one", 20, 2, JobPhase::Open)),
        ("e", of("one", 30, 9, JobPhase::Open)),
    ];
    for (id, record) in &records {
        let stored = StoredJob {
            record: Arc::new(record.clone()),
            ..job(id, None, 1)
        };
        directory.record_job(stored, 0);
    }
    let ahead = |index: usize| {
        let (id, record) = &records[index];
        directory.items_ahead(&JobId::new(id), record)
    };
    assert_eq!([ahead(0), ahead(2), ahead(3), ahead(4)], [0, 0, 7, 9]);
    let mut without_customer = records[4].1.clone();
    without_customer.customer = None;
    assert_eq!(
        directory.items_ahead(&JobId::new("e"), &without_customer),
        0
    );
}

/// Guards against rows of another writer that name a time or a port with which no peer can
/// work.
#[test]
fn is_plausible_within_limits() {
    let owner = owner("a", 1);
    assert!(heartbeat(&owner).is_plausible());
    for interval_ms in [0, 600_001, u64::MAX] {
        let odd = Heartbeat {
            interval_ms,
            ..heartbeat(&owner)
        };
        assert!(!odd.is_plausible(), "{interval_ms} ms");
    }
    for address in ["127.0.0.1:0", "127.0.0.1:65521", "127.0.0.1:65535"] {
        let odd = Heartbeat {
            peer_address: address.parse().unwrap(),
            ..heartbeat(&owner)
        };
        assert!(!odd.is_plausible(), "{address}");
    }
}
