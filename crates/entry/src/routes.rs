//! Routes of the callers' API.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use job_api::JobApi;
use model::ErrorKind;
use process::Refusal;
use process::Shutdown;
use salvo::{Depot, FlowCtrl, Request, Response, Router, handler, writing::Json};

use crate::{
    caller::Caller, chat::ChatHandler, clock, models::ModelList, server::ServerState,
    service::ServicesHandler,
};

/// Metric label of the batch routes.
const JOBS_ROUTE: &str = "/v1/batches";
/// Metric label of the file routes.
const FILES_ROUTE: &str = "/v1/files";
/// Maximum unread part of a request body that is read to keep the connection
/// open.
const DRAIN_BODY_MAX_BYTES: usize = 64 * 1024;
/// Maximum time to read the unread part of a request body, in milliseconds.
const DRAIN_BODY_TIMEOUT_MS: u64 = 100;

/// Returns the router with every route of the callers' API.
pub(crate) fn router(state: &Arc<ServerState>, shutdown: &Shutdown) -> Router {
    let chat = ChatHandler {
        state: Arc::clone(state),
    };
    let meter = |route| RequestMeter {
        state: Arc::clone(state),
        shutdown: shutdown.clone(),
        route,
    };
    let models = || ModelsHandler {
        state: Arc::clone(state),
    };
    let v1 = Router::with_path("v1")
        .push(
            Router::with_path("chat/completions")
                .hoop(meter("/v1/chat/completions"))
                .post(chat),
        )
        .push(
            Router::with_path("models")
                .hoop(meter("/v1/models"))
                .get(models()),
        )
        .push(
            Router::with_path("models/{model}")
                .hoop(meter("/v1/models/{model}"))
                .get(models()),
        );
    let services = Router::with_path("services/{name}/{**path}")
        .hoop(meter("/services/{name}/{path}"))
        .goal(ServicesHandler {
            state: Arc::clone(state),
        });
    let jobs = JobApi::new(
        state.jobs.clone(),
        state.view.clone(),
        state.region.clone(),
        state.peers.clone(),
    );
    let jobs = jobs.router().hoop(meter(JOBS_ROUTE));
    Router::new().push(v1.push(jobs)).push(services)
}

/// Refuses requests that match no route, in the format of all other refusals.
#[handler]
pub(crate) async fn refuse_unrouted(
    req: &mut Request,
    _depot: &mut Depot,
    res: &mut Response,
    _ctrl: &mut FlowCtrl,
) {
    let kind = match res.status_code {
        Some(StatusCode::NOT_FOUND) | None => ErrorKind::NotFound,
        Some(StatusCode::METHOD_NOT_ALLOWED) => ErrorKind::MethodNotAllowed,
        Some(status) if status.is_client_error() => ErrorKind::InvalidRequest,
        Some(_) => ErrorKind::Internal,
    };
    let message = format!("{} {} is not served here.", req.method(), req.uri().path());
    Refusal::new(kind, message).render(res);
}

/// Middleware that counts and times the requests of one route.
struct RequestMeter {
    state: Arc<ServerState>,
    shutdown: Shutdown,
    route: &'static str,
}

#[handler]
impl RequestMeter {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let started_at_us = clock::now_us();
        let active = self.state.metrics.begin_request();
        ctrl.call_next(req, depot, res).await;
        drain_body(req).await;
        let status = res.status_code.unwrap_or(StatusCode::OK).as_u16();
        let elapsed_us = clock::now_us().saturating_sub(started_at_us);
        let route = self.route_label(req);
        self.state.metrics.on_response(route, status, elapsed_us);
        drop(active);
        if self.shutdown.is_stopping() {
            // Makes the client open a new connection for its next request, which
            // the load balancer directs to another instance.
            res.headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl RequestMeter {
    /// Returns the metric label of the request's route. File and batch routes
    /// are mounted together, so the path tells them apart.
    fn route_label(&self, req: &Request) -> &'static str {
        if self.route == JOBS_ROUTE && req.uri().path().starts_with(FILES_ROUTE) {
            return FILES_ROUTE;
        }
        self.route
    }
}

/// Reads the unread part of a request body, if it is short. Otherwise the server
/// closes the connection after the response, and the client's next request on that
/// connection fails.
async fn drain_body(req: &mut Request) {
    let body = req.take_body();
    if body.is_none() {
        return;
    }
    let remaining_body = Limited::new(body, DRAIN_BODY_MAX_BYTES).collect();
    // If the body does not arrive in time, only the connection is lost.
    let _ =
        tokio::time::timeout(Duration::from_millis(DRAIN_BODY_TIMEOUT_MS), remaining_body).await;
}

struct ModelsHandler {
    state: Arc<ServerState>,
}

#[handler]
impl ModelsHandler {
    fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = self.respond(req, res) {
            refusal.render(res);
        }
    }
}

impl ModelsHandler {
    fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        Caller::from_headers(req.headers())?;
        let list = ModelList::new(&*self.state.view()?);
        let Some(name) = req.param::<String>("model") else {
            res.render(Json(list));
            return Ok(());
        };
        let object = list.find(&name).ok_or_else(|| {
            let message = format!("The model {name:?} does not exist.");
            Refusal::new(ErrorKind::UnknownModel, message).with_param("model")
        })?;
        res.render(Json(object));
        Ok(())
    }
}
