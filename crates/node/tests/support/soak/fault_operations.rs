//! Faults of the store and of the servers of a soak.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    history::{Deed, Part, Span},
    operator::{Operator, Write, server_registration},
    plan::{ServerFault, StoreFault},
    store_writes::{post, put, remove_server},
};
use crate::support::store_proxy::ProxyState;

/// Time for which a server goes on after it has said that it leaves, milliseconds.
const LEAVE_MS: u64 = 3_500;
/// Time for which a server that has left is down, milliseconds.
const RENEW_MS: u64 = 300;
/// Time within which the next stream of a server, which breaks, is sure to come, milliseconds.
const CUT_WITHIN_MS: u64 = 10_000;
/// Time after a fault of a stand-in in which calls that it has hit end, milliseconds.
const FAULT_MARGIN_MS: u64 = 200;
/// Calls to the store per second while it takes few.
const LIMITED_CALLS_PER_S: u32 = 3;

impl Operator {
    pub async fn disrupt_store(&mut self, fault: StoreFault, for_ms: u64) {
        let (name, kind, margin_ms) = match fault {
            StoreFault::Down => ("down", json!("down"), 0),
            StoreFault::Refuse => ("refuse", json!("refuse"), 0),
            StoreFault::Hang => ("hang", json!("hang"), 0),
            StoreFault::LoseAnswers => ("lost answers", json!("reset_after_body"), 0),
            StoreFault::LoseWithSilence => ("silence", json!("hang_after_body"), 0),
            StoreFault::Slow { delay_ms } => {
                ("slow", json!({"slow": {"delay_ms": delay_ms}}), delay_ms)
            }
            StoreFault::Limit => {
                let calls = LIMITED_CALLS_PER_S;
                let limit = json!({"limit": {"writes_per_s": calls, "reads_per_s": calls}});
                ("limit", limit, 0)
            }
        };
        let from_ms = self.now_ms();
        inject(self.cluster.store.address(), &kind, for_ms).await;
        let to_ms = from_ms + for_ms + margin_ms + FAULT_MARGIN_MS;
        self.record(Part::Store, Deed::Disrupt(name), Span::new(from_ms, to_ms));
    }

    /// Resets the connections of an instance to the store, or silences them.
    pub fn cut_off(&mut self, instance: usize, is_silent: bool, for_ms: u64) {
        let (name, state) = if is_silent {
            ("cut off silently", ProxyState::Silent)
        } else {
            ("cut off", ProxyState::Reset)
        };
        let from_ms = self.now_ms();
        let to_ms = from_ms + for_ms;
        self.store_paths[instance].set_state(state);
        self.cut_off.push((instance, to_ms));
        let span = Span::new(from_ms, to_ms + FAULT_MARGIN_MS);
        self.record(Part::Instance(instance), Deed::Disrupt(name), span);
    }

    pub fn end_cut_offs(&mut self) {
        let now_ms = self.now_ms();
        for (instance, _) in self.cut_off.extract_if(.., |(_, to_ms)| *to_ms <= now_ms) {
            self.store_paths[instance].set_state(ProxyState::Open);
        }
    }

    pub async fn disrupt_server(&mut self, server: usize, fault: ServerFault) {
        let now_ms = self.now_ms();
        let address = self.cluster.servers[server].standin.address();
        let (name, from_ms, for_ms) = match fault {
            ServerFault::Crash { for_ms } => {
                inject(address, &json!("down"), for_ms).await;
                ("crash", now_ms, for_ms)
            }
            ServerFault::Cut => {
                post(address, "/standin/cut?after=2", Vec::new()).await;
                ("cut", now_ms, CUT_WITHIN_MS)
            }
            ServerFault::LoseAnswers { for_ms } => {
                inject(address, &json!("reset_after_body"), for_ms).await;
                ("lost answers", now_ms, for_ms)
            }
            ServerFault::Refuse { for_ms } => {
                inject(address, &json!("refuse"), for_ms).await;
                ("refuse", now_ms, for_ms)
            }
            ServerFault::Release | ServerFault::Vanish => {
                self.renew(server, fault == ServerFault::Vanish);
                ("renewed", now_ms + LEAVE_MS, RENEW_MS)
            }
        };
        let to_ms = from_ms + for_ms + FAULT_MARGIN_MS;
        let span = Span::new(from_ms, to_ms);
        self.record(Part::Server(server), Deed::Disrupt(name), span);
    }

    /// Has a server say that it leaves, or its registration removed, and start again later.
    fn renew(&mut self, server: usize, is_silent: bool) {
        let id = self.cluster.servers[server].id.clone();
        let address = self.cluster.servers[server].standin.address();
        let leave = if is_silent {
            remove_server(&id)
        } else {
            put(
                "servers",
                &id,
                &server_registration(&self.cluster, server, "draining", 1),
            )
        };
        let back = server_registration(&self.cluster, server, "ready", unix_ms());
        let now_ms = self.now_ms();
        let writes = [
            (now_ms, leave),
            (now_ms + LEAVE_MS + RENEW_MS, put("servers", &id, &back)),
        ];
        for (due_ms, transaction) in writes {
            self.writes.push(Write {
                due_ms,
                transaction,
                is_config: false,
            });
        }
        tokio::spawn(async move {
            sleep(Duration::from_millis(LEAVE_MS)).await;
            inject(address, &json!("down"), RENEW_MS).await;
        });
    }
}

async fn inject(standin: SocketAddr, kind: &Value, for_ms: u64) {
    let fault = json!({"kind": kind, "for_ms": for_ms});
    post(standin, "/standin/faults", fault.to_string().into_bytes()).await;
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_millis()).unwrap()
}
