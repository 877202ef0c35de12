//! Runs the commands that apply and check the configuration.

use std::{fs, time::Duration};

use http::Method;
use tokio::time::Instant;

use super::{POLL_INTERVAL_MS, Runner, sleep_or_fail};
use crate::{
    command::Command,
    http_client::{HttpRequest, HttpResponse},
    process::deadline_after,
};

impl Runner {
    pub(super) async fn run_config_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Apply {
                instance,
                file,
                operator,
                replaces,
                expected_status,
            } => {
                let response = self.apply(&instance, &file, &operator, replaces).await?;
                if response.status.as_u16() == expected_status {
                    return Ok(());
                }
                Err(format!(
                    "expected status {expected_status}, got {}",
                    response.text()
                ))
            }
            Command::Race {
                instances: [first_instance, second_instance],
                file,
                replaces,
            } => {
                let (first_response, second_response) = tokio::join!(
                    self.apply(&first_instance, &file, "one", Some(replaces)),
                    self.apply(&second_instance, &file, "other", Some(replaces)),
                );
                let (first_response, second_response) = (first_response?, second_response?);
                let mut statuses = [
                    first_response.status.as_u16(),
                    second_response.status.as_u16(),
                ];
                statuses.sort_unstable();
                if statuses == [200, 409] {
                    return Ok(());
                }
                Err(format!(
                    "expected one status 200 and one status 409, got {} / {}",
                    first_response.text(),
                    second_response.text()
                ))
            }
            Command::InForce {
                version,
                instances,
                within_ms,
            } => {
                let deadline = deadline_after(within_ms);
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
                let deadline = deadline_after(for_ms);
                while Instant::now() < deadline {
                    for instance in &instances {
                        self.expect_no_older_version(instance, version).await?;
                    }
                    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                }
                Ok(())
            }
            other => Err(format!("{other:?} is not a configuration command")),
        }
    }

    async fn apply(
        &self,
        instance: &str,
        file: &str,
        operator: &str,
        replaces: Option<u64>,
    ) -> Result<HttpResponse, String> {
        let path = self.folder.join(file);
        let document = fs::read_to_string(&path).map_err(|error| format!("{file}: {error}"))?;
        let query = replaces.map_or_else(String::new, |version| format!("?replaces={version}"));
        let address = self.fleet.control(instance)?;
        let request = HttpRequest::new(Method::PUT, address, &format!("/v1/config{query}"))
            .with_header("redwingtack-operator", operator)
            .with_text(document);
        let response = self.client.send(request).await;
        response.map_err(|error| format!("no complete response: {error:?}"))
    }

    /// Waits until an instance has this or a higher version in force.
    async fn wait_in_force(
        &self,
        instance: &str,
        version: u64,
        deadline: Instant,
    ) -> Result<(), String> {
        loop {
            let seen = self.version_in_force(instance).await?;
            if seen.is_some_and(|seen| seen >= version) {
                return Ok(());
            }
            let message =
                format!("{instance} has version {seen:?} in force, expected {version} or higher");
            sleep_or_fail(deadline, &message).await?;
        }
    }

    /// Checks that an instance does not report an older version than `version`. An
    /// instance that does not answer passes.
    async fn expect_no_older_version(&self, instance: &str, version: u64) -> Result<(), String> {
        match self.version_in_force(instance).await? {
            Some(seen) if seen < version => Err(format!(
                "{instance} went back to version {seen}, older than {version}"
            )),
            _ => Ok(()),
        }
    }

    /// Returns the version in force at an instance, or `None` if the instance
    /// does not answer or has no configuration.
    async fn version_in_force(&self, instance: &str) -> Result<Option<u64>, String> {
        let address = self.fleet.control(instance)?;
        let response = self
            .client
            .send(HttpRequest::get(address, "/v1/config"))
            .await;
        let config = response.ok().and_then(|response| response.json().ok());
        Ok(config.and_then(|config| config["version"].as_u64()))
    }
}
