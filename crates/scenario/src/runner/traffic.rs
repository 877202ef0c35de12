//! Runs the commands that send online requests.

use std::net::SocketAddr;

use super::Runner;
use crate::{
    command::{Command, Role},
    http_client::{HttpRequest, HttpResponse, SendError},
    load::{self, LoadPlan, LoadTarget},
    process::deadline_after,
};

impl Runner {
    pub(super) async fn run_traffic_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Load {
                name,
                instances,
                class,
                rate_per_s,
                for_ms,
                tokens,
                marker,
                prompts,
            } => {
                let targets = instances.iter().map(|instance| self.load_target(instance));
                let plan = LoadPlan {
                    name: name.clone(),
                    targets: targets.collect::<Result<_, _>>()?,
                    class,
                    rate_per_s,
                    for_ms,
                    tokens,
                    marker,
                    prompts,
                };
                let load = load::start_load(self.client.clone(), plan);
                self.loads.insert(name, load);
                Ok(())
            }
            Command::LoadEnd {
                name,
                cut,
                failed,
                refused,
                slowest_ms,
                within_ms,
            } => {
                let load = self.loads.remove(&name);
                let load = load.ok_or_else(|| format!("no load is named {name}"))?;
                let outcome = tokio::time::timeout_at(deadline_after(within_ms), load).await;
                let outcome =
                    outcome.map_err(|_| "the load has not ended within the time limit")?;
                let outcome = outcome.map_err(|error| error.to_string())?;
                println!("load {name}: {outcome:?}");
                let is_expected = outcome.wrong == 0
                    && outcome.cut <= cut
                    && outcome.failed <= failed
                    && outcome.refused <= refused
                    && outcome.slowest_ms <= slowest_ms
                    && outcome.correct > 0;
                is_expected.then_some(()).ok_or(format!(
                    "expected no wrong answer, a correct one and at most cut={cut} \
                     failed={failed} refused={refused} slowest_ms={slowest_ms}, \
                     got {outcome:?}"
                ))
            }
            Command::Call {
                instance,
                service,
                id,
                key,
                expected_status,
                expected_ran,
                in_background,
            } => {
                let entry = self.fleet.entry(&instance)?;
                let request = service_request(entry, &service, &id, key.as_deref());
                if in_background {
                    let client = self.client.clone();
                    tokio::spawn(async move { client.send(request).await });
                    return Ok(());
                }
                check_outcome(
                    &self.client.send(request).await,
                    &expected_status,
                    expected_ran.as_deref(),
                )
            }
            other => Err(format!("{other:?} is not a traffic command")),
        }
    }

    fn load_target(&self, instance: &str) -> Result<LoadTarget, String> {
        Ok(LoadTarget {
            entry: self.fleet.entry(instance)?,
            admin: self.fleet.admin(Role::Entry, instance)?,
        })
    }
}

fn service_request(entry: SocketAddr, service: &str, id: &str, key: Option<&str>) -> HttpRequest {
    let request = HttpRequest::post(entry, &format!("/services/{service}/book"))
        .with_customer("club")
        .with_header("x-call-id", id)
        .with_text(id.to_owned());
    match key {
        Some(key) => request.with_header("idempotency-key", key),
        None => request,
    }
}

/// Checks the outcome of a call of a plain service against the arguments of the
/// command `call`.
fn check_outcome(
    outcome: &Result<HttpResponse, SendError>,
    expected_status: &str,
    expected_ran: Option<&str>,
) -> Result<(), String> {
    let (status, ran, details) = match outcome {
        Ok(response) => (
            response.status.as_u16().to_string(),
            response.ran(),
            response.text(),
        ),
        Err(error) => ("lost".to_owned(), None, format!("{error:?}")),
    };
    let status_matches = expected_status == "any" || status == expected_status;
    let ran_matches = expected_ran.is_none() || expected_ran == ran;
    if status_matches && ran_matches {
        return Ok(());
    }
    Err(format!(
        "expected status={expected_status} ran={expected_ran:?}, \
         got status={status} ran={ran:?}: {details}"
    ))
}
