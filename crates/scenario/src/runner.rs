//! Runs the commands of a scenario, one after another.

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
    command::{Command, FaultTarget, ProcessSignal, Role},
    fleet::Fleet,
    http_client::{HttpClient, HttpRequest},
    jobs::Job,
    load::{self, LoadOutcome},
    parser::parse_script,
    process::{ProcessTable, deadline_after},
};

/// Interval between two checks of a condition that a command waits for.
const POLL_INTERVAL_MS: u64 = 20;
/// Time limit for a stand-in to start, and for a killed process to end.
const PROCESS_TIMEOUT_MS: u64 = 30_000;

/// Runs a script. File names in the script are relative to `folder`; `name` names
/// the folder of the logs.
///
/// # Errors
///
/// Returns the first command that failed, with the last lines of all logs.
pub async fn run_script(name: &str, folder: PathBuf, script: Script) -> Result<(), ScenarioError> {
    let setup_error = |message| ScenarioError::Command { line: 0, message };
    let mut runner = Runner::new(name, folder).map_err(setup_error)?;
    for (line, command) in script.commands {
        if let Err(message) = runner.run_command(command).await {
            let tails = runner.processes.log_tails();
            let message = format!("{message}\n{tails}");
            return Err(ScenarioError::Command { line, message });
        }
    }
    Ok(())
}

struct Runner {
    folder: PathBuf,
    // Declared before the fleet so that the processes are dropped first: the fleet
    // reserves the addresses that they listen on.
    processes: ProcessTable,
    fleet: Fleet,
    client: HttpClient,
    jobs: BTreeMap<String, Job>,
    loads: BTreeMap<String, JoinHandle<LoadOutcome>>,
}

impl Runner {
    fn new(name: &str, folder: PathBuf) -> Result<Self, String> {
        Ok(Self {
            folder,
            fleet: Fleet::new()?,
            processes: ProcessTable::new(name)?,
            client: HttpClient::new(),
            jobs: BTreeMap::new(),
            loads: BTreeMap::new(),
        })
    }

    async fn run_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Platform { .. }
            | Command::Engine { .. }
            | Command::Service { .. }
            | Command::Instance { .. }
            | Command::Publish { .. }
            | Command::Leaving { .. } => self.run_setup_command(command).await,
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
            Command::Wait { duration_ms } => {
                tokio::time::sleep(Duration::from_millis(duration_ms)).await;
                Ok(())
            }
        }
    }

    async fn include(&mut self, file: &str) -> Result<(), String> {
        let path = self.folder.join(file);
        let text = fs::read_to_string(&path).map_err(|error| format!("{file}: {error}"))?;
        let script = parse_script(&text).map_err(|error| format!("{file}: {error}"))?;
        for (line, command) in script.commands {
            Box::pin(self.run_command(command))
                .await
                .map_err(|error| format!("{file}: line {line}: {error}"))?;
        }
        Ok(())
    }

    async fn run_setup_command(&mut self, command: Command) -> Result<(), String> {
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
                let result = StandinClient::new(address).set_leaving(true).await;
                result.map_err(|error| error.to_string())
            }
            other => Err(format!("{other:?} is not a setup command")),
        }
    }

    async fn publish(&self, listing: &InstanceListing) -> Result<(), String> {
        let platform = StandinClient::new(self.fleet.platform());
        let result = platform.set_instances(listing).await;
        result.map_err(|error| error.to_string())
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
        let deadline = deadline_after(PROCESS_TIMEOUT_MS);
        while self
            .client
            .send(HttpRequest::get(address, "/healthz"))
            .await
            .is_err()
        {
            self.processes.check_alive(role, name)?;
            sleep_or_fail(
                deadline,
                "the stand-in did not answer within the time limit",
            )
            .await?;
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
            } => self.poll_path(role, &instance, "/healthz", within_ms).await,
            Command::Ready {
                role,
                instance,
                within_ms,
            } => self.poll_path(role, &instance, "/readyz", within_ms).await,
            Command::Signal { signal, role, name } => {
                self.processes.signal(role, &name, signal)?;
                if signal == ProcessSignal::Kill {
                    let deadline = deadline_after(PROCESS_TIMEOUT_MS);
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
                    "expected a memory peak of at most {at_most_mb} MB, got {peak_mb} MB"
                ))
            }
            Command::Exited {
                role,
                name,
                code,
                within_ms,
            } => {
                let deadline = deadline_after(within_ms);
                match self.processes.wait(role, &name, deadline).await? {
                    Some(actual) if actual == code => Ok(()),
                    actual => Err(format!("expected exit code {code}, got {actual:?}")),
                }
            }
            other => Err(format!("{other:?} is not a process command")),
        }
    }

    /// Polls the health check of a program at `path` until the program answers with a
    /// success. Fails early if the process ends.
    async fn poll_path(
        &mut self,
        role: Role,
        instance: &str,
        path: &str,
        within_ms: u64,
    ) -> Result<(), String> {
        let admin = self.fleet.admin(role, instance)?;
        let deadline = deadline_after(within_ms);
        while !load::is_healthy(&self.client, admin, path).await {
            self.processes.check_alive(role, instance)?;
            sleep_or_fail(
                deadline,
                &format!("{path} did not answer with a success within the time limit"),
            )
            .await?;
        }
        Ok(())
    }

    async fn run_fault_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Fault { target, fault } => {
                let result = self.standin(&target)?.add_fault(&fault).await;
                result.map_err(|error| error.to_string())
            }
            Command::Clear { target } => {
                let result = self.standin(&target)?.clear_faults().await;
                result.map_err(|error| error.to_string())
            }
            Command::Met {
                target,
                count,
                within_ms,
            } => {
                let standin = self.standin(&target)?;
                let deadline = deadline_after(within_ms);
                while standin.faults_met().await.unwrap_or(0) < count {
                    sleep_or_fail(
                        deadline,
                        "too few requests were affected by faults within the time limit",
                    )
                    .await?;
                }
                Ok(())
            }
            other => Err(format!("{other:?} is not a fault command")),
        }
    }

    fn standin(&self, target: &FaultTarget) -> Result<StandinClient, String> {
        let address = match target {
            FaultTarget::Platform => self.fleet.platform(),
            FaultTarget::Upstream(name) => self.fleet.upstream(name)?.address,
        };
        Ok(StandinClient::new(address))
    }
}

/// Sleeps for one poll interval, or fails with `message` if `deadline` has passed.
async fn sleep_or_fail(deadline: Instant, message: &str) -> Result<(), String> {
    if Instant::now() >= deadline {
        return Err(message.to_owned());
    }
    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    Ok(())
}
