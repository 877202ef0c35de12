//! Routes for files and batches.

use std::sync::Arc;

use job_store::JobStore;
use model::{ErrorKind, Region, View};
use peer::PeerClient;
use salvo::{Request, Response, Router, handler, writing::Json};
use serde_json::Value;
use tokio::sync::watch;

use crate::{Refusal, batch, content, file_object, upload};

/// HTTP interface for files and batches. Clones share all state.
#[derive(Debug, Clone)]
pub struct JobApi {
    /// Rows and objects of jobs and files.
    pub(crate) store: JobStore,
    /// Region whose instances run accepted jobs.
    pub(crate) region: Region,
    /// Client that notifies lease holders of cancelled jobs.
    pub(crate) peers: PeerClient,
    view: watch::Receiver<Arc<View>>,
}

impl JobApi {
    /// Creates an interface that stores jobs in `store` and checks requests against
    /// the latest `view`. Accepted jobs are assigned to `region`.
    #[must_use]
    pub fn new(
        store: JobStore,
        view: watch::Receiver<Arc<View>>,
        region: Region,
        peers: PeerClient,
    ) -> Self {
        Self {
            store,
            region,
            peers,
            view,
        }
    }

    /// Returns the routes, relative to `/v1`.
    #[must_use]
    pub fn router(&self) -> Router {
        let files = Router::with_path("files")
            .post(self.endpoint(Operation::CreateFile))
            .push(
                Router::with_path("{file}")
                    .get(self.endpoint(Operation::RetrieveFile))
                    .push(Router::with_path("content").get(self.endpoint(Operation::ReadContent))),
            );
        let batches = Router::with_path("batches")
            .post(self.endpoint(Operation::CreateBatch))
            .get(self.endpoint(Operation::ListBatches))
            .push(
                Router::with_path("{batch}")
                    .get(self.endpoint(Operation::RetrieveBatch))
                    .push(Router::with_path("cancel").post(self.endpoint(Operation::CancelBatch))),
            );
        Router::new().push(files).push(batches)
    }

    /// Returns the current view, or a `NotReady` refusal while it holds no
    /// configuration.
    pub(crate) fn view(&self) -> Result<Arc<View>, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        if view.config.version == 0 {
            let message = "This instance has no configuration yet.";
            return Err(Refusal::new(ErrorKind::NotReady, message));
        }
        Ok(view)
    }

    fn endpoint(&self, operation: Operation) -> Endpoint {
        Endpoint {
            api: self.clone(),
            operation,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Operation {
    CreateFile,
    RetrieveFile,
    ReadContent,
    CreateBatch,
    RetrieveBatch,
    ListBatches,
    CancelBatch,
}

struct Endpoint {
    api: JobApi,
    operation: Operation,
}

#[handler]
impl Endpoint {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.answer(req, res).await {
            Ok(Some(object)) => res.render(Json(object)),
            Ok(None) => {}
            Err(refusal) => {
                log::info!(
                    "event=job_request_refused code={} message={:?}",
                    refusal.kind().answer().code,
                    refusal.to_string()
                );
                refusal.render(res);
            }
        }
    }
}

impl Endpoint {
    async fn answer(
        &self,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<Option<Value>, Refusal> {
        let api = &self.api;
        let object = match self.operation {
            Operation::CreateFile => upload::create_file(api, req).await?,
            Operation::RetrieveFile => file_object::retrieve(api, req).await?,
            Operation::ReadContent => {
                content::read(api, req, res).await?;
                return Ok(None);
            }
            Operation::CreateBatch => batch::create(api, req).await?,
            Operation::RetrieveBatch => batch::retrieve(api, req).await?,
            Operation::ListBatches => batch::list(api, req).await?,
            Operation::CancelBatch => batch::cancel(api, req).await?,
        };
        Ok(Some(object))
    }
}
