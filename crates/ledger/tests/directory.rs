//! Leases, orphaned jobs and who takes them over.

use std::sync::Arc;

use ledger::{Directory, Heartbeat, JobPhase, JobRecord, OwnerId, StoredJob};
use model::{InstanceId, JobId};

fn owner(name: &str, started_unix_ms: u64) -> OwnerId {
    OwnerId {
        instance: InstanceId::new(name),
        started_unix_ms,
    }
}

fn beat(owner: &OwnerId) -> Heartbeat {
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
        record: Arc::new(JobRecord {
            owner,
            phase: JobPhase::Open,
            host: "h".into(),
            path: "/b/1".into(),
            item_count: 1,
            accepted_unix_ms: 0,
            due_unix_ms: 0,
            give_up_unix_ms: 0,
            committed: Vec::new(),
            failures: Vec::new(),
        }),
        version,
    }
}

fn directory(me: &OwnerId, peers: &[&OwnerId]) -> Directory {
    let mut directory = Directory::new(me.clone());
    for (version, peer) in (1..).zip(peers) {
        directory.record_heartbeat(beat(peer), version, 0);
    }
    directory
}

#[test]
fn takeovers_of_a_live_owner_are_none() {
    let (me, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&me, &[&peer]);
    directory.record_job(job("j", Some(peer), 10));
    assert!(directory.due_takeovers(3_000).is_empty());
}

#[test]
fn takeovers_after_the_lease_ran_out() {
    let (me, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&me, &[&peer]);
    directory.record_job(job("j", Some(peer.clone()), 10));
    assert!(directory.due_takeovers(3_400).is_empty());
    assert_eq!(directory.due_takeovers(3_600), [JobId::new("j")]);
    directory.record_heartbeat(beat(&peer), 99, 3_700);
    assert!(
        directory.due_takeovers(3_700).is_empty(),
        "it lives after all"
    );
}

/// While the store was away, no heartbeat could be seen.
#[test]
fn takeovers_after_an_outage_wait_for_a_whole_lease() {
    let (me, peer) = (owner("me", 1), owner("peer", 1));
    let mut directory = directory(&me, &[&peer]);
    directory.record_job(job("j", Some(peer), 10));
    directory.renew_leases(60_000);
    assert!(directory.due_takeovers(63_000).is_empty());
    assert_eq!(directory.due_takeovers(64_000).len(), 1);
}

#[test]
fn takeovers_of_a_restarted_owner_come_at_once() {
    let (me, old, new) = (owner("me", 1), owner("peer", 1), owner("peer", 2));
    let mut directory = directory(&me, &[&new]);
    directory.record_job(job("j", Some(old), 10));
    let at_once = directory.due_takeovers(0).len() + directory.due_takeovers(600).len();
    assert!(at_once > 0);
}

/// News of a job may come before news of its owner.
#[test]
fn takeovers_of_an_owner_that_is_not_known_yet_wait() {
    let (me, old, new) = (owner("me", 1), owner("peer", 1), owner("peer", 2));
    for peers in [vec![], vec![&old]] {
        let mut directory = directory(&me, &peers);
        directory.record_job(job("j", Some(new.clone()), 10));
        assert!(directory.due_takeovers(0).is_empty());
        assert!(directory.due_takeovers(900).is_empty());
        assert_eq!(directory.due_takeovers(2_000).len(), 1);
    }
}

#[test]
fn takeovers_of_own_earlier_incarnation_come_at_once() {
    let me = owner("me", 2);
    let mut directory = directory(&me, &[]);
    directory.record_job(job("j", Some(owner("me", 1)), 10));
    directory.record_job(job("mine", Some(me), 11));
    assert_eq!(directory.due_takeovers(0), [JobId::new("j")]);
}

/// All live instances see a job that was handed back; they try one after the
/// other, in an order on which they agree.
#[test]
fn takeovers_of_a_job_without_owner_one_after_the_other() {
    let names = ["a", "b", "c", "d"];
    let owners: Vec<_> = names.iter().map(|name| owner(name, 1)).collect();
    let mut takers_at = Vec::new();
    for now_ms in [0, 500, 1_000, 1_500] {
        let mut takers = 0;
        for me in &owners {
            let peers: Vec<_> = owners.iter().collect();
            let mut directory = directory(me, &peers);
            directory.record_job(job("j", None, 10));
            directory.due_takeovers(0);
            takers += directory.due_takeovers(now_ms).len();
        }
        takers_at.push(takers);
    }
    assert_eq!(takers_at, [1, 2, 3, 4]);
}

#[test]
fn takeovers_skip_ended_jobs() {
    let me = owner("me", 1);
    let mut directory = directory(&me, &[]);
    let mut ended = job("j", None, 10);
    Arc::make_mut(&mut ended.record).phase = JobPhase::Ended;
    directory.record_job(ended);
    assert!(directory.due_takeovers(10_000).is_empty());
}

#[test]
fn job_seen_older_version_is_no_news() {
    let me = owner("me", 1);
    let mut directory = directory(&me, &[]);
    assert!(directory.record_job(job("j", Some(me.clone()), 10)));
    assert!(!directory.record_job(job("j", None, 9)));
    assert!(!directory.record_job(job("j", None, 10)));
    assert_eq!(directory.job(&JobId::new("j")).unwrap().version, 10);
}

#[test]
fn forgotten_nodes_after_many_leases() {
    let (me, peer) = (owner("me", 1), owner("peer", 1));
    let directory = directory(&me, &[&peer]);
    assert!(directory.expired_instances(30_000).is_empty());
    assert_eq!(directory.expired_instances(40_000), [(peer.instance, 1)]);
}

/// Where a job can be taken by an instance whose lease may have run out
/// meanwhile; rows of earlier programs do not say.
#[test]
fn callers_address_of_known_instances() {
    let me = owner("me", 1);
    let peer = owner("peer", 1);
    let mut directory = directory(&me, &[&peer]);
    let address = "127.0.0.1:2".parse().ok();
    assert_eq!(directory.callers_address(&peer.instance), address);
    assert_eq!(directory.callers_address(&InstanceId::new("other")), None);
    let mut row = serde_json::to_value(beat(&peer)).unwrap();
    row.as_object_mut().unwrap().remove("callers_address");
    let earlier: Heartbeat = serde_json::from_value(row).unwrap();
    directory.record_heartbeat(earlier, 99, 10);
    assert_eq!(directory.callers_address(&peer.instance), None);
}
