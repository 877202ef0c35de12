//! Counts of the requests that the stand-ins for upstreams received and ran.

use std::{collections::BTreeMap, net::SocketAddr};

use standin::StandinClient;

/// Counts of requests and of runs of prompts, each summed over several engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PromptRuns {
    /// Runs of all prompts.
    pub(crate) total: u32,
    /// Requests received, including refused ones.
    pub(crate) received: u32,
    /// Runs of a prompt beyond its first one.
    pub(crate) repeated: u32,
}

/// Counts the runs of prompts at engines. An engine that does not answer, for
/// example because it was killed, counts as zero.
pub(crate) async fn count_prompt_runs(engines: impl Iterator<Item = SocketAddr>) -> PromptRuns {
    let mut received = 0;
    let mut runs_by_prompt: BTreeMap<String, u32> = BTreeMap::new();
    for engine in engines {
        let Ok(runs) = StandinClient::new(engine).runs().await else {
            continue;
        };
        received += runs.received;
        for prompt in runs.prompts {
            *runs_by_prompt.entry(prompt.id).or_default() += prompt.runs;
        }
    }
    let total = runs_by_prompt.values().sum();
    let repeated = runs_by_prompt
        .values()
        .map(|runs| runs.saturating_sub(1))
        .sum();
    PromptRuns {
        total,
        received,
        repeated,
    }
}

/// Counts the runs of the call with this `id` at all the services.
///
/// # Errors
///
/// Returns a message if a service does not answer.
pub(crate) async fn count_call_runs(
    services: impl Iterator<Item = SocketAddr>,
    id: &str,
) -> Result<u32, String> {
    let mut count = 0;
    for service in services {
        let calls = StandinClient::new(service).calls().await;
        let calls = calls.map_err(|error| error.to_string())?.calls;
        let matching = calls.iter().filter(|call| call.id == id);
        count += matching.map(|call| call.runs).sum::<u32>();
    }
    Ok(count)
}
