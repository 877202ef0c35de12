//! Paths of the callers' API.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use job_api::JobApi;
use model::ErrorKind;
use process::Refusal;
use process::Shutdown;
use salvo::{Depot, FlowCtrl, Request, Response, Router, handler, writing::Json};

use crate::{
    caller::Caller, chat::Chat, clock, models::ModelList, server::Shared, service::Services,
};

/// Label of the routes of batches.
const JOBS_ROUTE: &str = "/v1/batches";
/// Label of the routes of files.
const FILES_ROUTE: &str = "/v1/files";
/// Longest rest of a body that is read to keep a connection.
const DRAIN_MAX_BYTES: usize = 64 * 1024;
/// Longest wait for the rest of a body.
const DRAIN_MS: u64 = 100;

/// Every route of the callers' API.
pub(crate) fn router(shared: &Arc<Shared>, shutdown: &Shutdown) -> Router {
    let chat = Chat {
        shared: Arc::clone(shared),
    };
    let measure = |route| Measure {
        shared: Arc::clone(shared),
        shutdown: shutdown.clone(),
        route,
    };
    let models = || Models {
        shared: Arc::clone(shared),
    };
    let v1 = Router::with_path("v1")
        .push(
            Router::with_path("chat/completions")
                .hoop(measure("/v1/chat/completions"))
                .post(chat),
        )
        .push(
            Router::with_path("models")
                .hoop(measure("/v1/models"))
                .get(models()),
        )
        .push(
            Router::with_path("models/{model}")
                .hoop(measure("/v1/models/{model}"))
                .get(models()),
        );
    let services = Router::with_path("services/{name}/{**path}")
        .hoop(measure("/services/{name}/{path}"))
        .goal(Services {
            shared: Arc::clone(shared),
        });
    let jobs = JobApi::new(
        shared.jobs.clone(),
        shared.view.clone(),
        shared.region.clone(),
        shared.peers.clone(),
    );
    let jobs = jobs.router().hoop(measure(JOBS_ROUTE));
    Router::new().push(v1.push(jobs)).push(services)
}

/// Answers requests that no route took, in the same form as other refusals.
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

/// Counts and times the requests of one route.
struct Measure {
    shared: Arc<Shared>,
    shutdown: Shutdown,
    route: &'static str,
}

#[handler]
impl Measure {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let began_us = clock::now_us();
        let active = self.shared.metrics.begin_request();
        ctrl.call_next(req, depot, res).await;
        drain(req).await;
        let status = res.status_code.unwrap_or(StatusCode::OK).as_u16();
        let took_us = clock::now_us().saturating_sub(began_us);
        let route = self.route_of(req);
        self.shared.metrics.on_answer(route, status, took_us);
        drop(active);
        if self.shutdown.is_stopping() {
            // The client's next request then goes to another instance.
            res.headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl Measure {
    /// The routes of jobs are mounted as one.
    fn route_of(&self, req: &Request) -> &'static str {
        if self.route == JOBS_ROUTE && req.uri().path().starts_with(FILES_ROUTE) {
            return FILES_ROUTE;
        }
        self.route
    }
}

/// Reads what a handler left of a short body. Otherwise the connection would be
/// closed behind the answer, and the client's next request with it.
async fn drain(req: &mut Request) {
    let body = req.take_body();
    if body.is_none() {
        return;
    }
    let rest = Limited::new(body, DRAIN_MAX_BYTES).collect();
    // What does not come in time costs the connection and nothing else.
    let _ = tokio::time::timeout(Duration::from_millis(DRAIN_MS), rest).await;
}

struct Models {
    shared: Arc<Shared>,
}

#[handler]
impl Models {
    fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = self.answer(req, res) {
            refusal.render(res);
        }
    }
}

impl Models {
    fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        Caller::from_headers(req.headers())?;
        let list = ModelList::new(&*self.shared.view()?);
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
