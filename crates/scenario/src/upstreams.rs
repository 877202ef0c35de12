//! What the stand-ins of upstreams have seen.

use std::{collections::BTreeMap, net::SocketAddr};

use standin::StandinClient;

/// Starts at engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Starts {
    /// All of them.
    pub(crate) all: u32,
    /// Requests that came, refused ones included.
    pub(crate) received: u32,
    /// Starts of a prompt beyond its first one.
    pub(crate) repeated: u32,
}

/// Counts the starts at engines. Those that are gone count as zero.
pub(crate) async fn count_starts(engines: impl Iterator<Item = SocketAddr>) -> Starts {
    let mut received = 0;
    let mut by_prompt: BTreeMap<String, u32> = BTreeMap::new();
    for engine in engines {
        let Ok(runs) = StandinClient::new(engine).runs().await else {
            continue;
        };
        received += runs.received;
        for prompt in runs.prompts {
            *by_prompt.entry(prompt.id).or_default() += prompt.runs;
        }
    }
    let all = by_prompt.values().sum();
    let repeated = by_prompt.values().map(|runs| runs.saturating_sub(1)).sum();
    Starts {
        all,
        received,
        repeated,
    }
}

/// Counts the runs of one call at the services.
pub(crate) async fn count_calls(
    services: impl Iterator<Item = SocketAddr>,
    id: &str,
) -> Result<u32, String> {
    let mut count = 0;
    for service in services {
        let calls = StandinClient::new(service).calls().await;
        let calls = calls.map_err(|error| error.to_string())?.calls;
        let same = calls.iter().filter(|call| call.id == id);
        count += same.map(|call| call.runs).sum::<u32>();
    }
    Ok(count)
}
