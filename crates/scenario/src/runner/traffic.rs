//! Commands that send online requests.

use std::net::SocketAddr;

use super::Runner;
use crate::{
    caller::{Call, CallError, Reply},
    command::{Command, Role},
    load::{self, LoadPlan, LoadTarget},
    process::within,
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
                let load = load::start_load(self.caller.clone(), plan);
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
                let load = load.ok_or_else(|| format!("no load is called {name}"))?;
                let outcome = tokio::time::timeout_at(within(within_ms), load).await;
                let outcome = outcome.map_err(|_| "the load has not ended in time")?;
                let outcome = outcome.map_err(|error| error.to_string())?;
                println!("load {name}: {outcome:?}");
                let is_good = outcome.wrong == 0
                    && outcome.cut <= cut
                    && outcome.failed <= failed
                    && outcome.refused <= refused
                    && outcome.slowest_ms <= slowest_ms
                    && outcome.whole > 0;
                is_good.then_some(()).ok_or(format!("{outcome:?}"))
            }
            Command::Call {
                instance,
                service,
                id,
                key,
                status,
                ran,
                in_background,
            } => {
                let entry = self.fleet.entry(&instance)?;
                let call = service_call(entry, &service, &id, key.as_deref());
                if in_background {
                    let caller = self.caller.clone();
                    tokio::spawn(async move { caller.send(call).await });
                    return Ok(());
                }
                check_call(&self.caller.send(call).await, &status, ran.as_deref())
            }
            other => Err(format!("{other:?} sends nothing")),
        }
    }

    fn load_target(&self, instance: &str) -> Result<LoadTarget, String> {
        Ok(LoadTarget {
            entry: self.fleet.entry(instance)?,
            admin: self.fleet.admin(Role::Entry, instance)?,
        })
    }
}

fn service_call(entry: SocketAddr, service: &str, id: &str, key: Option<&str>) -> Call {
    let call = Call::post(entry, &format!("/services/{service}/book"))
        .with_customer("club")
        .with_header("x-call-id", id)
        .with_text(id.to_owned());
    match key {
        Some(key) => call.with_header("idempotency-key", key),
        None => call,
    }
}

fn check_call(
    outcome: &Result<Reply, CallError>,
    status: &str,
    ran: Option<&str>,
) -> Result<(), String> {
    let (seen, seen_ran, text) = match outcome {
        Ok(reply) => (reply.status.as_u16().to_string(), reply.ran(), reply.text()),
        Err(error) => ("lost".to_owned(), None, format!("{error:?}")),
    };
    let is_status = status == "any" || seen == status;
    let is_ran = ran.is_none() || ran == seen_ran;
    if is_status && is_ran {
        return Ok(());
    }
    Err(format!(
        "expected status={status} ran={ran:?}, got status={seen} ran={seen_ran:?}: {text}"
    ))
}
