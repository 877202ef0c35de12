//! Runs the commands that check how many requests upstreams and the platform
//! received.

use std::{net::SocketAddr, time::Duration};

use standin::StandinClient;
use tokio::time::Instant;

use super::{Runner, sleep_or_fail};
use crate::{
    command::Command,
    process::deadline_after,
    upstreams::{self, PromptRuns},
};

impl Runner {
    pub(super) async fn run_count_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Runs {
                at_least,
                within_ms,
            } => {
                let deadline = deadline_after(within_ms);
                while self.prompt_runs().await.total < at_least {
                    sleep_or_fail(deadline, "engines started too few prompts in time").await?;
                }
                Ok(())
            }
            Command::Repeats { at_most } => {
                let prompt_runs = self.prompt_runs().await;
                println!("{prompt_runs:?}");
                if prompt_runs.repeated <= at_most {
                    return Ok(());
                }
                Err(format!("expected repeated <= {at_most}: {prompt_runs:?}"))
            }
            Command::Repeated {
                at_least,
                within_ms,
            } => {
                let started_at = Instant::now();
                let deadline = deadline_after(within_ms);
                while self.prompt_runs().await.repeated < at_least {
                    sleep_or_fail(deadline, "engines repeated too few prompts in time").await?;
                }
                println!("repeated after {} ms", started_at.elapsed().as_millis());
                Ok(())
            }
            Command::Costs { writes, reads } => {
                let platform = StandinClient::new(self.fleet.platform());
                let counts = platform.counts().await;
                let counts = counts.map_err(|error| error.to_string())?;
                println!("{counts:?}");
                if counts.table_writes <= writes && counts.table_reads <= reads {
                    return Ok(());
                }
                Err(format!(
                    "expected at most {writes} writes and {reads} reads, got {counts:?}"
                ))
            }
            Command::Puts {
                contains,
                at_least,
                at_most,
                within_ms,
            } => {
                let platform = StandinClient::new(self.fleet.platform());
                let deadline = deadline_after(within_ms);
                loop {
                    let counts = platform.put_counts(&contains).await;
                    let counts = counts.map_err(|error| error.to_string())?;
                    if let Some(entry) = counts.iter().find(|(_, count)| **count > at_most) {
                        return Err(format!("key put more than {at_most} times: {entry:?}"));
                    }
                    if counts.len() >= at_least {
                        return Ok(());
                    }
                    sleep_or_fail(deadline, &format!("too few keys put: {counts:?}")).await?;
                }
            }
            Command::Quiet { after_ms, for_ms } => {
                let engines: Vec<_> = self.fleet.engines().collect();
                expect_no_request(&engines, after_ms, for_ms).await
            }
            Command::Idle {
                upstream,
                after_ms,
                for_ms,
            } => {
                let address = self.fleet.upstream(&upstream)?.address;
                expect_no_request(&[address], after_ms, for_ms).await
            }
            Command::Calls {
                service,
                id,
                at_least,
                at_most,
                within_ms,
            } => {
                let deadline = deadline_after(within_ms);
                loop {
                    let services = self.fleet.services(&service);
                    let count = upstreams::count_call_runs(services, &id).await?;
                    if count > at_most {
                        return Err(format!("call {id} ran {count} times, more than {at_most}"));
                    }
                    if count >= at_least {
                        return Ok(());
                    }
                    sleep_or_fail(deadline, &format!("call {id} ran only {count} times")).await?;
                }
            }
            other => Err(format!("{other:?} is not a count command")),
        }
    }

    async fn prompt_runs(&self) -> PromptRuns {
        upstreams::count_prompt_runs(self.fleet.engines()).await
    }
}

/// Waits for `after_ms`, then checks that the engines receive no request for
/// `for_ms`.
async fn expect_no_request(
    engines: &[SocketAddr],
    after_ms: u64,
    for_ms: u64,
) -> Result<(), String> {
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    let before = upstreams::count_prompt_runs(engines.iter().copied()).await;
    tokio::time::sleep(Duration::from_millis(for_ms)).await;
    let after = upstreams::count_prompt_runs(engines.iter().copied()).await;
    let count = after.received - before.received;
    if count == 0 {
        return Ok(());
    }
    Err(format!("expected no requests, got {count} in {for_ms} ms"))
}
