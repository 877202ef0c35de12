//! Runs the commands that submit, cancel and check jobs.

use super::Runner;
use crate::{
    command::Command,
    jobs::{self, Job},
    process::deadline_after,
};

impl Runner {
    pub(super) async fn run_job_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Job {
                name,
                instances,
                class,
                items,
                key,
                customer,
                expected_outcome,
                resend_within_ms,
            } => {
                let entries = instances.iter().map(|instance| self.fleet.entry(instance));
                let entries: Vec<_> = entries.collect::<Result<_, _>>()?;
                let mut job = Job {
                    name: name.clone(),
                    class,
                    key,
                    customer,
                    items,
                    id: String::new(),
                    result_files: Vec::new(),
                };
                jobs::submit_to_entries(
                    &self.client,
                    &mut job,
                    &entries,
                    expected_outcome,
                    resend_within_ms,
                )
                .await?;
                self.jobs.insert(name, job);
                Ok(())
            }
            Command::Settled {
                job,
                instance,
                state,
                within_ms,
            } => {
                let entry = self.fleet.entry(&instance)?;
                let deadline = deadline_after(within_ms);
                jobs::wait_for_state(&self.client, self.job(&job)?, entry, &state, deadline).await
            }
            Command::Results {
                job,
                instance,
                completed,
                failed,
            } => {
                let entry = self.fleet.entry(&instance)?;
                let job = self.jobs.get_mut(&job).ok_or("no job has this name")?;
                jobs::check_results(&self.client, job, entry, completed, failed).await
            }
            Command::Cancel { job, instance } => {
                let entry = self.fleet.entry(&instance)?;
                jobs::cancel(&self.client, self.job(&job)?, entry).await
            }
            other => Err(format!("{other:?} is not a job command")),
        }
    }

    fn job(&self, name: &str) -> Result<&Job, String> {
        let job = self.jobs.get(name);
        job.ok_or_else(|| format!("no job is named {name}"))
    }
}
