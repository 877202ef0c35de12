//! Commands that concern the configuration.

use std::{fs, time::Duration};

use http::Method;
use tokio::time::Instant;

use super::{POLL_MS, Runner, pause_until};
use crate::{
    caller::{Call, Reply},
    command::Command,
    process::within,
};

impl Runner {
    pub(super) async fn run_config_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Apply {
                instance,
                file,
                operator,
                replaces,
                status,
            } => {
                let reply = self.apply(&instance, &file, &operator, replaces).await?;
                if reply.status.as_u16() == status {
                    return Ok(());
                }
                Err(format!("expected status {status}, got {}", reply.text()))
            }
            Command::Race {
                instances: [one, other],
                file,
                replaces,
            } => {
                let (first, second) = tokio::join!(
                    self.apply(&one, &file, "one", Some(replaces)),
                    self.apply(&other, &file, "other", Some(replaces)),
                );
                let (first, second) = (first?, second?);
                let mut seen = [first.status.as_u16(), second.status.as_u16()];
                seen.sort_unstable();
                if seen == [200, 409] {
                    return Ok(());
                }
                Err(format!("{} / {}", first.text(), second.text()))
            }
            Command::InForce {
                version,
                instances,
                within_ms,
            } => {
                let deadline = within(within_ms);
                for instance in instances {
                    self.wait_in_force(&instance, version, deadline).await?;
                }
                Ok(())
            }
            Command::Keeps {
                version,
                instances,
                for_ms,
            } => {
                let deadline = within(for_ms);
                while Instant::now() < deadline {
                    for instance in &instances {
                        self.expect_version(instance, version).await?;
                    }
                    tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
                }
                Ok(())
            }
            other => Err(format!("{other:?} concerns no configuration")),
        }
    }

    async fn apply(
        &self,
        instance: &str,
        file: &str,
        operator: &str,
        replaces: Option<u64>,
    ) -> Result<Reply, String> {
        let path = self.folder.join(file);
        let document = fs::read_to_string(&path).map_err(|error| format!("{file}: {error}"))?;
        let query = replaces.map_or_else(String::new, |version| format!("?replaces={version}"));
        let address = self.fleet.control(instance)?;
        let call = Call::new(Method::PUT, address, &format!("/v1/config{query}"))
            .with_header("redwingtack-operator", operator)
            .with_text(document);
        let reply = self.caller.send(call).await;
        reply.map_err(|error| format!("no answer: {error:?}"))
    }

    /// Waits for a version at one instance; a higher one counts too.
    async fn wait_in_force(
        &self,
        instance: &str,
        version: u64,
        deadline: Instant,
    ) -> Result<(), String> {
        loop {
            let seen = self.version(instance).await?;
            if seen.is_some_and(|seen| seen >= version) {
                return Ok(());
            }
            let message = format!("{instance} has version {seen:?} in force, not {version}");
            pause_until(deadline, &message).await?;
        }
    }

    async fn expect_version(&self, instance: &str, version: u64) -> Result<(), String> {
        match self.version(instance).await? {
            Some(seen) if seen < version => Err(format!("{instance} went back to version {seen}")),
            _ => Ok(()),
        }
    }

    /// The version in force at an instance, if it answers.
    async fn version(&self, instance: &str) -> Result<Option<u64>, String> {
        let address = self.fleet.control(instance)?;
        let reply = self.caller.send(Call::get(address, "/v1/config")).await;
        let config = reply.ok().and_then(|reply| reply.json().ok());
        Ok(config.and_then(|config| config["version"].as_u64()))
    }
}
