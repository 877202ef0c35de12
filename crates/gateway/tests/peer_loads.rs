//! Incrementally updated sums of peer loads, compared with sums over all notices.

mod support;

use std::collections::BTreeMap;

use gateway::{InFlight, LoadNotice, UpstreamTable};
use model::UpstreamId;
use proptest::{collection::vec, prelude::*};
use support::{entry, locality, notice};

/// Time after which a silent peer is removed, milliseconds.
const PEER_EXPIRY_MS: u64 = 1_500;
const UPSTREAMS: [&str; 4] = ["u0", "u1", "u2", "u3"];

#[derive(Debug, Clone)]
enum Step {
    /// A peer sends a notice of its load at some upstreams. A notice with an
    /// old sequence number is ignored.
    Notice {
        peer: usize,
        sequence: u64,
        loads: Vec<(usize, u16, u16)>,
    },
    Upsert(usize),
    Remove(usize),
    /// Time passes.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let load = (0..UPSTREAMS.len(), 0..9_u16, 0..9_u16);
    prop_oneof![
        4 => (0..3_usize, 0..40_u64, vec(load, 0..4))
            .prop_map(|(peer, sequence, loads)| Step::Notice { peer, sequence, loads }),
        1 => (0..UPSTREAMS.len()).prop_map(Step::Upsert),
        1 => (0..UPSTREAMS.len()).prop_map(Step::Remove),
        1 => (0..PEER_EXPIRY_MS).prop_map(Step::Advance),
    ]
}

/// Reference model: the newest notice of each peer with the time of its
/// arrival.
#[derive(Debug, Default)]
struct Model {
    newest: BTreeMap<usize, (u64, LoadNotice)>,
}

impl Model {
    fn receive(&mut self, peer: usize, notice: &LoadNotice, now_ms: u64) {
        let is_outdated = |(_, known): &(u64, LoadNotice)| known.sequence >= notice.sequence;
        if !self.newest.get(&peer).is_some_and(is_outdated) {
            self.newest.insert(peer, (now_ms, notice.clone()));
        }
    }

    fn expected(&self, in_flight: &InFlight) -> (u32, u32) {
        let hash = gateway::upstream_hash(&in_flight.upstream);
        let loads = self.newest.values().map(|(_, notice)| notice.load(hash));
        loads.fold((0, 0), |(online, batch), load| {
            (
                online + u32::from(load.online),
                batch + u32::from(load.batch),
            )
        })
    }
}

proptest! {
    #[test]
    fn in_flight_is_sum_of_newest_notices(steps in vec(step(), 1..60)) {
        let mut table = UpstreamTable::new(locality("me"), 1);
        let mut model = Model::default();
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Notice { peer, sequence, loads } => {
                    let loads: BTreeMap<_, _> = loads
                        .into_iter()
                        .map(|(upstream, online, batch)| (UPSTREAMS[upstream], (online, batch)))
                        .collect();
                    let loads: Vec<_> = loads
                        .into_iter()
                        .map(|(id, (online, batch))| (id, online, batch))
                        .collect();
                    let notice = notice(&format!("peer{peer}"), sequence, &loads);
                    model.receive(peer, &notice, now_ms);
                    table.receive_notice(notice, now_ms);
                }
                Step::Upsert(index) => table.upsert(entry(UPSTREAMS[index], "north-a"), now_ms),
                Step::Remove(index) => {
                    table.remove(&UpstreamId::new(UPSTREAMS[index]), false, now_ms);
                }
                Step::Advance(elapsed_ms) => {
                    now_ms += elapsed_ms;
                    model.newest.retain(|_, (at_ms, _)| now_ms < *at_ms + PEER_EXPIRY_MS);
                    table.expire(now_ms);
                }
            }
            for in_flight in table.in_flight() {
                let sums = (in_flight.peers_online, in_flight.peers_batch);
                prop_assert_eq!(sums, model.expected(&in_flight));
            }
        }
    }
}
