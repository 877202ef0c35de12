//! Handler of `ANY /services/{name}/{path}`: calls to plain services.

mod claim;
mod execution;
mod stored;

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use model::{Class, ClassTarget, CustomerId, ErrorKind, FleetConfig, Ran, ServiceTarget};
use process::Refusal;
use salvo::{Request, Response, handler};
use upstream::{ServiceAnswer, ServiceCall};
use xxhash_rust::xxh3::Xxh3;

pub(crate) use self::claim::ClaimStore;
use self::execution::ServiceExecution;
use crate::{
    caller::{self, Caller},
    server::ServerState,
};

/// Headers that are not forwarded: hop-by-hop headers and others that concern one
/// connection only, and the one that identifies the caller to this entry.
const UNFORWARDED_HEADERS: [HeaderName; 11] = [
    header::HOST,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Handler of calls to plain services.
pub(crate) struct ServicesHandler {
    pub(crate) state: Arc<ServerState>,
}

#[handler]
impl ServicesHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.call_service(req).await {
            Ok(answer) => render(answer, res),
            Err(refusal) => refusal.render(res),
        }
    }
}

impl ServicesHandler {
    async fn call_service(&self, req: &mut Request) -> Result<ServiceAnswer, Refusal> {
        let caller = Caller::from_headers(req.headers())?;
        let name: String = req.param("name").unwrap_or_default();
        let view = self.state.confirmed_view().await?;
        let class = service_class(&view.config, &caller, &name)?;
        let ClassTarget::Service(target) = class.target.clone() else {
            return Err(unknown_service(&name));
        };
        let body = self.state.read_body(req).await?;
        self.state.dispatcher.admit(&caller.customer, &class)?;
        let call = service_call(req, &name, body);
        let execution = ServiceExecution::new(Arc::clone(&self.state), call, &class, &target);
        match caller.idempotency_key {
            Some(key) if !target.idempotent => {
                self.run_once(execution, &caller.customer, &key, &target)
                    .await
            }
            _ => execution.run().await,
        }
    }

    /// Claims the idempotency key, then sends the call. The call runs to its end even
    /// if the caller disconnects, so that a resend gets its answer.
    async fn run_once(
        &self,
        execution: ServiceExecution,
        customer: &CustomerId,
        key: &str,
        target: &ServiceTarget,
    ) -> Result<ServiceAnswer, Refusal> {
        let digest = call_digest(execution.call());
        let claims = self.state.claims.clone();
        let row_key = claim::row_key(customer, key);
        log::debug!("event=claim service={} key={row_key}", target.service);
        let task = async move { claims.run_once(row_key, digest, execution).await };
        match self.state.tasks.spawn(task).await {
            Ok(answer) => answer,
            Err(error) => {
                log::error!("event=call_task_failed error={}", process::quote(&error));
                let message = "The call's task failed.";
                Err(Refusal::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }
}

fn service_class(config: &FleetConfig, caller: &Caller, name: &str) -> Result<Class, Refusal> {
    let default = config.service_class(name);
    let Some(default) = default else {
        return Err(unknown_service(name));
    };
    let Some(class_name) = &caller.class else {
        return Ok(default.clone());
    };
    let class = config
        .class(class_name)
        .filter(|class| match &class.target {
            ClassTarget::Service(target) => target.service.as_str() == name,
            ClassTarget::Online { .. } | ClassTarget::Batch { .. } => false,
        });
    class.cloned().ok_or_else(|| {
        let message = format!("There is no class {class_name:?} of the service {name:?}.");
        Refusal::new(ErrorKind::UnknownClass, message)
    })
}

fn unknown_service(name: &str) -> Refusal {
    let message = format!("The service {name:?} does not exist.");
    Refusal::new(ErrorKind::UnknownService, message)
}

fn service_call(req: &Request, name: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/services/{name}");
    let path = req.uri().path();
    let path = path.strip_prefix(prefix.as_str()).unwrap_or(path);
    let path = if path.is_empty() { "/" } else { path };
    let path_and_query = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let mut headers = forwarded_headers(req.headers());
    headers.remove(caller::CLASS_HEADER);
    ServiceCall {
        method: req.method().clone(),
        path_and_query,
        headers,
        body,
    }
}

fn render(answer: ServiceAnswer, res: &mut Response) {
    res.status_code(answer.status);
    *res.headers_mut() = forwarded_headers(&answer.headers);
    let ran = HeaderValue::from_static(Ran::Yes.as_str());
    res.headers_mut().insert(process::RAN_HEADER, ran);
    res.body(answer.body);
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &UNFORWARDED_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns a digest that distinguishes different calls under one key.
fn call_digest(call: &ServiceCall) -> String {
    let mut hash = Xxh3::new();
    for part in [
        call.method.as_str().as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}
