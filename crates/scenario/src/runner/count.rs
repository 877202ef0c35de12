//! Commands that count what upstreams have seen.

use std::{net::SocketAddr, time::Duration};

use standin::StandinClient;
use tokio::time::Instant;

use super::{Runner, pause_until};
use crate::{
    command::Command,
    process::within,
    upstreams::{self, Starts},
};

impl Runner {
    pub(super) async fn run_count_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Runs {
                at_least,
                within_ms,
            } => {
                let deadline = within(within_ms);
                while self.starts().await.all < at_least {
                    pause_until(deadline, "too few starts at engines in time").await?;
                }
                Ok(())
            }
            Command::Repeats { at_most } => {
                let starts = self.starts().await;
                println!("{starts:?}");
                if starts.repeated <= at_most {
                    return Ok(());
                }
                Err(format!("{starts:?}, expected at most {at_most} repeated"))
            }
            Command::Repeated {
                at_least,
                within_ms,
            } => {
                let started_at = Instant::now();
                let deadline = within(within_ms);
                while self.starts().await.repeated < at_least {
                    pause_until(deadline, "too few prompts started again in time").await?;
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
                Err(format!("{counts:?}"))
            }
            Command::Puts {
                contains,
                at_least,
                at_most,
                within_ms,
            } => {
                let platform = StandinClient::new(self.fleet.platform());
                let deadline = within(within_ms);
                loop {
                    let counts = platform.put_counts(&contains).await;
                    let counts = counts.map_err(|error| error.to_string())?;
                    if let Some(entry) = counts.iter().find(|(_, count)| **count > at_most) {
                        return Err(format!("put too often: {entry:?}"));
                    }
                    if counts.len() >= at_least {
                        return Ok(());
                    }
                    pause_until(deadline, &format!("too few puts: {counts:?}")).await?;
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
                let deadline = within(within_ms);
                loop {
                    let services = self.fleet.services(&service);
                    let count = upstreams::count_calls(services, &id).await?;
                    if count > at_most {
                        return Err(format!("call {id} ran {count} times"));
                    }
                    if count >= at_least {
                        return Ok(());
                    }
                    pause_until(deadline, &format!("call {id} ran {count} times")).await?;
                }
            }
            other => Err(format!("{other:?} counts nothing")),
        }
    }

    async fn starts(&self) -> Starts {
        upstreams::count_starts(self.fleet.engines()).await
    }
}

async fn expect_no_request(
    engines: &[SocketAddr],
    after_ms: u64,
    for_ms: u64,
) -> Result<(), String> {
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    let before = upstreams::count_starts(engines.iter().copied()).await;
    tokio::time::sleep(Duration::from_millis(for_ms)).await;
    let after = upstreams::count_starts(engines.iter().copied()).await;
    let count = after.received - before.received;
    if count == 0 {
        return Ok(());
    }
    Err(format!("{count} requests in {for_ms} ms"))
}
