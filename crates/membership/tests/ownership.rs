//! Ownership by rendezvous hashing: which instance owns a key, and which keys
//! move when an instance disappears.

use std::collections::BTreeSet;

use membership::{batch_window_owner, idempotency_key_home, order_issuer};
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, UpstreamEntry,
    UpstreamId, UpstreamKind, View,
};

fn instance(index: usize, role: InstanceRole, liveness: Liveness) -> InstanceEntry {
    InstanceEntry {
        id: InstanceId::from(format!("i-{index:03}")),
        role,
        peer_address: format!("10.0.0.{index}:7000"),
        region: Region::new(["lima", "cusco"][index % 2]),
        failure_domain: FailureDomain::new("a"),
        liveness,
        incarnation: 1,
    }
}

fn view(indices: impl Iterator<Item = usize>) -> View {
    let roles = [
        InstanceRole::Entry,
        InstanceRole::Batch,
        InstanceRole::Control,
    ];
    View {
        instances: indices
            .flat_map(|index| roles.map(|role| instance(index, role, Liveness::Live)))
            .collect(),
        ..View::default()
    }
}

fn upstream(index: usize, region: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::from(format!("engine-{index}")),
        address: "10.0.1.1:8000".to_owned(),
        kind: UpstreamKind::Engine { models: Vec::new() },
        region: Region::new(region),
        failure_domain: FailureDomain::new("a"),
        liveness: Liveness::Live,
    }
}

#[test]
fn batch_window_owner_is_a_batch_program_of_the_region() {
    let view = view(0..10);
    for index in 0..100 {
        let owner = batch_window_owner(&view, &upstream(index, "lima"))
            .expect("a batch program owns the window");
        assert_eq!(owner.role, InstanceRole::Batch);
        assert_eq!(owner.region.as_str(), "lima");
    }
    // An upstream in a region without batch programs is owned by a batch
    // program of another region.
    assert!(batch_window_owner(&view, &upstream(1, "arequipa")).is_some());
    assert!(batch_window_owner(&View::default(), &upstream(1, "lima")).is_none());
}

#[test]
fn batch_window_owner_changes_only_for_keys_of_removed_instance() {
    let (before, after) = (view(0..10), view((0..10).filter(|index| *index != 4)));
    for index in 0..300 {
        let upstream = upstream(index, "lima");
        let old = batch_window_owner(&before, &upstream).expect("a batch program owns the window");
        let new = batch_window_owner(&after, &upstream).expect("a batch program owns the window");
        assert!(old.id == new.id || old.id.as_str() == "i-004");
    }
}

#[test]
fn idempotency_key_home_spreads_keys_and_prefers_live_instances() {
    let mut view = view(0..20);
    let region = Region::new("lima");
    let homes: BTreeSet<_> = (0..500)
        .filter_map(|key| idempotency_key_home(&view, &region, &format!("customer/{key}")))
        .map(|entry| entry.id.clone())
        .collect();
    assert_eq!(homes.len(), 10);
    let home = idempotency_key_home(&view, &region, "customer/7")
        .expect("an entry program owns the key")
        .id
        .clone();
    for entry in &mut view.instances {
        if entry.id == home {
            entry.liveness = Liveness::Leaving;
        }
    }
    assert_ne!(
        idempotency_key_home(&view, &region, "customer/7")
            .expect("an entry program owns the key")
            .id,
        home
    );
    assert!(order_issuer(&view, &region).is_some_and(|entry| entry.region == region));
}
