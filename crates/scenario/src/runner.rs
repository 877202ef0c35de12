//! Runs the commands of a scenario in order.

mod config;
mod count;
mod job;
mod traffic;

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration};

use standin::StandinClient;
use store::InstanceListing;
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    ScenarioError, Script,
    caller::{Call, Caller},
    command::{Command, FaultTarget, ProcessSignal, Role},
    fleet::Fleet,
    jobs::Job,
    load::{self, LoadOutcome},
    parser::parse_script,
    process::{ProcessTable, within},
};

/// Wait between two looks.
const POLL_MS: u64 = 20;
/// Time limit for a stand-in to start.
const STANDIN_START_MS: u64 = 30_000;

/// Runs a script; `folder` holds the files that it names.
///
/// # Errors
///
/// Returns the first command that failed, with the ends of all logs.
pub async fn run_script(name: &str, folder: PathBuf, script: Script) -> Result<(), ScenarioError> {
    let start = |message| ScenarioError::Command { line: 0, message };
    let mut runner = Runner::new(name, folder).map_err(start)?;
    for (line, command) in script.commands {
        if let Err(message) = runner.run(command).await {
            let tails = runner.processes.log_tails();
            let message = format!("{message}\n{tails}");
            return Err(ScenarioError::Command { line, message });
        }
    }
    Ok(())
}

struct Runner {
    folder: PathBuf,
    // Dropped before the fleet, which holds the addresses that they listen at.
    processes: ProcessTable,
    fleet: Fleet,
    caller: Caller,
    jobs: BTreeMap<String, Job>,
    loads: BTreeMap<String, JoinHandle<LoadOutcome>>,
}

impl Runner {
    fn new(name: &str, folder: PathBuf) -> Result<Self, String> {
        Ok(Self {
            folder,
            fleet: Fleet::new()?,
            processes: ProcessTable::new(name)?,
            caller: Caller::new(),
            jobs: BTreeMap::new(),
            loads: BTreeMap::new(),
        })
    }

    async fn run(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Platform { .. }
            | Command::Engine { .. }
            | Command::Service { .. }
            | Command::Instance { .. }
            | Command::Publish { .. }
            | Command::Leaving { .. } => self.declare(command).await,
            Command::Start { .. }
            | Command::Up { .. }
            | Command::Ready { .. }
            | Command::Memory { .. }
            | Command::Signal { .. }
            | Command::Exited { .. } => self.run_process_command(command).await,
            Command::Apply { .. }
            | Command::Race { .. }
            | Command::InForce { .. }
            | Command::Keeps { .. } => self.run_config_command(command).await,
            Command::Fault { .. } | Command::Clear { .. } | Command::Met { .. } => {
                self.run_fault_command(command).await
            }
            Command::Job { .. }
            | Command::Settled { .. }
            | Command::Results { .. }
            | Command::Cancel { .. } => self.run_job_command(command).await,
            Command::Runs { .. }
            | Command::Repeats { .. }
            | Command::Repeated { .. }
            | Command::Costs { .. }
            | Command::Puts { .. }
            | Command::Quiet { .. }
            | Command::Idle { .. }
            | Command::Calls { .. } => self.run_count_command(command).await,
            Command::Load { .. } | Command::LoadEnd { .. } | Command::Call { .. } => {
                self.run_traffic_command(command).await
            }
            Command::Include { file } => self.include(&file).await,
            Command::Wait { span_ms } => {
                tokio::time::sleep(Duration::from_millis(span_ms)).await;
                Ok(())
            }
        }
    }

    async fn include(&mut self, file: &str) -> Result<(), String> {
        let path = self.folder.join(file);
        let text = fs::read_to_string(&path).map_err(|error| format!("{file}: {error}"))?;
        let script = parse_script(&text).map_err(|error| format!("{file}: {error}"))?;
        for (line, command) in script.commands {
            Box::pin(self.run(command))
                .await
                .map_err(|error| format!("{file}: line {line}: {error}"))?;
        }
        Ok(())
    }

    async fn declare(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Platform { lag_ms } => {
                let flags = format!("--instances-lag-ms {lag_ms}");
                let address = self.fleet.platform();
                self.start_standin("platform", "platform", address, &flags)
                    .await
            }
            Command::Engine {
                name,
                domain,
                flags,
            } => {
                let address = self.fleet.add_upstream(name.clone(), None, domain);
                self.start_standin("engine", &name, address, &flags).await
            }
            Command::Service {
                name,
                service,
                domain,
                flags,
            } => {
                let address = self.fleet.add_upstream(name.clone(), Some(service), domain);
                self.start_standin("service", &name, address, &flags).await
            }
            Command::Instance { name, domain } => {
                self.fleet.add_instance(name, domain);
                Ok(())
            }
            Command::Publish { without, leaving } => {
                self.publish(&self.fleet.listing(&without, &leaving)).await
            }
            Command::Leaving { upstream } => {
                let address = self.fleet.upstream(&upstream)?.address;
                let set = StandinClient::new(address).set_leaving(true).await;
                set.map_err(|error| error.to_string())
            }
            other => Err(format!("{other:?} declares nothing")),
        }
    }

    async fn publish(&self, listing: &InstanceListing) -> Result<(), String> {
        let platform = StandinClient::new(self.fleet.platform());
        let set = platform.set_instances(listing).await;
        set.map_err(|error| error.to_string())
    }

    async fn start_standin(
        &mut self,
        kind: &str,
        name: &str,
        address: SocketAddr,
        flags: &str,
    ) -> Result<(), String> {
        let mut arguments = vec![kind.to_owned(), format!("--listen={address}")];
        arguments.extend(flags.split_whitespace().map(str::to_owned));
        let role = Role::Upstream;
        self.processes
            .start(role, name, "redwingtack-standin", &arguments)?;
        let deadline = within(STANDIN_START_MS);
        while self
            .caller
            .send(Call::get(address, "/healthz"))
            .await
            .is_err()
        {
            self.processes.check_alive(role, name)?;
            pause_until(deadline, "the stand-in does not answer").await?;
        }
        Ok(())
    }

    async fn run_process_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Start {
                role,
                instance,
                flags,
            } => {
                let (program, mut arguments) = self.fleet.command_line(role, &instance)?;
                arguments.extend(flags.split_whitespace().map(str::to_owned));
                self.processes.start(role, &instance, program, &arguments)
            }
            Command::Up {
                role,
                instance,
                within_ms,
            } => self.wait_for(role, &instance, "/healthz", within_ms).await,
            Command::Ready {
                role,
                instance,
                within_ms,
            } => self.wait_for(role, &instance, "/readyz", within_ms).await,
            Command::Signal { signal, role, name } => {
                self.processes.signal(role, &name, signal)?;
                if signal == ProcessSignal::Kill {
                    let deadline = within(STANDIN_START_MS);
                    self.processes.wait(role, &name, deadline).await?;
                }
                Ok(())
            }
            Command::Memory {
                role,
                name,
                at_most_mb,
            } => {
                let peak_mb = self.processes.memory_peak_mb(role, &name)?;
                println!("memory of {role:?} {name}: peak {peak_mb} MB");
                if peak_mb <= at_most_mb {
                    return Ok(());
                }
                Err(format!(
                    "peak of {peak_mb} MB, at most {at_most_mb} MB expected"
                ))
            }
            Command::Exited {
                role,
                name,
                code,
                within_ms,
            } => {
                let deadline = within(within_ms);
                match self.processes.wait(role, &name, deadline).await? {
                    Some(seen) if seen == code => Ok(()),
                    seen => Err(format!("expected exit code {code}, got {seen:?}")),
                }
            }
            other => Err(format!("{other:?} concerns no process")),
        }
    }

    /// Waits until a health check of a program succeeds.
    async fn wait_for(
        &mut self,
        role: Role,
        instance: &str,
        path: &str,
        within_ms: u64,
    ) -> Result<(), String> {
        let admin = self.fleet.admin(role, instance)?;
        let deadline = within(within_ms);
        while !load::answers(&self.caller, admin, path).await {
            self.processes.check_alive(role, instance)?;
            pause_until(deadline, &format!("no success from {path} in time")).await?;
        }
        Ok(())
    }

    async fn run_fault_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Fault { target, fault } => {
                let added = self.remote(&target)?.add_fault(&fault).await;
                added.map_err(|error| error.to_string())
            }
            Command::Clear { target } => {
                let cleared = self.remote(&target)?.clear_faults().await;
                cleared.map_err(|error| error.to_string())
            }
            Command::Met {
                target,
                count,
                within_ms,
            } => {
                let remote = self.remote(&target)?;
                let deadline = within(within_ms);
                while remote.faults_met().await.unwrap_or(0) < count {
                    pause_until(deadline, "the fault has not struck in time").await?;
                }
                Ok(())
            }
            other => Err(format!("{other:?} concerns no fault")),
        }
    }

    fn remote(&self, target: &FaultTarget) -> Result<StandinClient, String> {
        let address = match target {
            FaultTarget::Platform => self.fleet.platform(),
            FaultTarget::Upstream(name) => self.fleet.upstream(name)?.address,
        };
        Ok(StandinClient::new(address))
    }
}

/// Waits a little, or fails with `message` once `deadline` has passed.
async fn pause_until(deadline: Instant, message: &str) -> Result<(), String> {
    if Instant::now() >= deadline {
        return Err(message.to_owned());
    }
    tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    Ok(())
}
