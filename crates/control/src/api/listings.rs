//! Handlers that return jobs, upstreams, instances and the audit trail.

use std::sync::Arc;

use model::ErrorKind;
use salvo::{Request, Response, handler, writing::Json};
use serde::Serialize;
use serde_json::Value;
use store::{Row, StoreError};

use super::refusal::Refusal;
use crate::{config_store, node::Node};

/// Prefix of the keys of job rows in the table.
const JOB_PREFIX: &str = "job/";
/// Maximum number of rows in a page.
const MAX_PAGE_ROWS: u32 = 1_000;
/// Number of rows in a page if the call has no valid `limit`.
const DEFAULT_PAGE_ROWS: u32 = 100;

/// `GET /v1/jobs?after=ID&limit=N`: returns a page of jobs, ordered by id.
#[derive(Debug)]
pub(crate) struct ListJobs {
    node: Arc<Node>,
}

/// `GET /v1/jobs/{id}`: returns one job.
#[derive(Debug)]
pub(crate) struct GetJob {
    node: Arc<Node>,
}

/// `GET /v1/upstreams`: returns the upstreams in this instance's view.
#[derive(Debug)]
pub(crate) struct ListUpstreams {
    node: Arc<Node>,
}

/// `GET /v1/instances`: returns the instances in this instance's view.
#[derive(Debug)]
pub(crate) struct ListInstances {
    node: Arc<Node>,
}

/// `GET /v1/audit?limit=N`: returns the newest changes of the configuration,
/// newest first.
#[derive(Debug)]
pub(crate) struct ListAuditRecords {
    node: Arc<Node>,
}

#[derive(Debug, Serialize)]
struct JobPage {
    jobs: Vec<JobRow>,
    more: bool,
}

#[derive(Debug, Serialize)]
struct JobRow {
    id: String,
    row_version: u64,
    /// The row's value as JSON, or as a string if it is not JSON.
    job: Value,
}

/// Implements the constructor of a handler.
macro_rules! constructor {
    ($name:ident) => {
        impl $name {
            pub(crate) fn new(node: &Arc<Node>) -> Self {
                let node = Arc::clone(node);
                Self { node }
            }
        }
    };
}

constructor!(ListJobs);
constructor!(GetJob);
constructor!(ListUpstreams);
constructor!(ListInstances);
constructor!(ListAuditRecords);

#[handler]
impl ListJobs {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let after = req.query::<String>("after");
        let after = after.map(|id| format!("{JOB_PREFIX}{id}"));
        let limit = req
            .query::<u32>("limit")
            .unwrap_or(DEFAULT_PAGE_ROWS)
            .clamp(1, MAX_PAGE_ROWS);
        let store = self.node.store();
        match store.rows(JOB_PREFIX, after.as_deref(), limit).await {
            Ok(page) => res.render(Json(JobPage {
                jobs: page.rows.iter().map(job_row).collect(),
                more: page.has_more,
            })),
            Err(error) => store_refusal(&error).render(res),
        }
    }
}

#[handler]
impl GetJob {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        match self.node.store().row(&format!("{JOB_PREFIX}{id}")).await {
            Ok(Some(row)) => res.render(Json(job_row(&row))),
            Ok(None) => {
                let message = format!("there is no job {id:?}");
                Refusal::new(ErrorKind::NotFound, message).render(res);
            }
            Err(error) => store_refusal(&error).render(res),
        }
    }
}

#[handler]
impl ListUpstreams {
    fn handle(&self, res: &mut Response) {
        let published = self.node.subscribe();
        let view = Arc::clone(&published.borrow().view);
        res.render(Json(&view.upstreams));
    }
}

#[handler]
impl ListInstances {
    fn handle(&self, res: &mut Response) {
        let published = self.node.subscribe();
        let view = Arc::clone(&published.borrow().view);
        res.render(Json(&view.instances));
    }
}

#[handler]
impl ListAuditRecords {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let limit = req
            .query::<u32>("limit")
            .unwrap_or(DEFAULT_PAGE_ROWS)
            .clamp(1, MAX_PAGE_ROWS);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        match config_store::audit_trail(self.node.store(), limit).await {
            Ok(records) => res.render(Json(records)),
            Err(error) => Refusal::from(error).render(res),
        }
    }
}

fn job_row(row: &Row) -> JobRow {
    let id = row.key.strip_prefix(JOB_PREFIX).unwrap_or(&row.key);
    JobRow {
        id: id.to_owned(),
        row_version: row.version,
        job: serde_json::from_slice(&row.value)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&row.value).into_owned())),
    }
}

fn store_refusal(error: &StoreError) -> Refusal {
    let message = format!("the table cannot be read: {error}");
    Refusal::new(ErrorKind::PlatformUnavailable, message)
}
