//! What operators can look at: jobs, upstreams, instances, audit trail.

use std::sync::Arc;

use model::ErrorKind;
use salvo::{Request, Response, handler, writing::Json};
use serde::Serialize;
use serde_json::Value;
use store::{Row, StoreError};

use super::refusal::Refusal;
use crate::{config_store, node::Node};

/// Prefix of job rows in the table.
const JOB_PREFIX: &str = "job/";
/// Most rows of a page.
const PAGE_MAX: u32 = 1_000;
/// Rows of a page unless asked otherwise.
const PAGE: u32 = 100;

/// `GET /v1/jobs?after=ID&limit=N`: jobs in the order of their ids.
#[derive(Debug)]
pub(crate) struct Jobs {
    node: Arc<Node>,
}

/// `GET /v1/jobs/{id}`: one job.
#[derive(Debug)]
pub(crate) struct Job {
    node: Arc<Node>,
}

/// `GET /v1/upstreams`: upstreams in the view of this instance.
#[derive(Debug)]
pub(crate) struct Upstreams {
    node: Arc<Node>,
}

/// `GET /v1/instances`: instances in the view of this instance.
#[derive(Debug)]
pub(crate) struct Instances {
    node: Arc<Node>,
}

/// `GET /v1/audit?limit=N`: changes of the configuration, newest first.
#[derive(Debug)]
pub(crate) struct Audit {
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
    job: Value,
}

macro_rules! listing {
    ($name:ident) => {
        impl $name {
            pub(crate) fn new(node: &Arc<Node>) -> Self {
                let node = Arc::clone(node);
                Self { node }
            }
        }
    };
}

listing!(Jobs);
listing!(Job);
listing!(Upstreams);
listing!(Instances);
listing!(Audit);

#[handler]
impl Jobs {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let after = req.query::<String>("after");
        let after = after.map(|id| format!("{JOB_PREFIX}{id}"));
        let limit = req.query::<u32>("limit").unwrap_or(PAGE).clamp(1, PAGE_MAX);
        let store = self.node.store();
        match store.rows(JOB_PREFIX, after.as_deref(), limit).await {
            Ok(page) => res.render(Json(JobPage {
                jobs: page.rows.iter().map(job_row).collect(),
                more: page.has_more,
            })),
            Err(error) => unavailable(&error).render(res),
        }
    }
}

#[handler]
impl Job {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        match self.node.store().row(&format!("{JOB_PREFIX}{id}")).await {
            Ok(Some(row)) => res.render(Json(job_row(&row))),
            Ok(None) => {
                let message = format!("there is no job {id:?}");
                Refusal::new(ErrorKind::NotFound, message).render(res);
            }
            Err(error) => unavailable(&error).render(res),
        }
    }
}

#[handler]
impl Upstreams {
    fn handle(&self, res: &mut Response) {
        let published = self.node.published();
        let view = Arc::clone(&published.borrow().view);
        res.render(Json(&view.upstreams));
    }
}

#[handler]
impl Instances {
    fn handle(&self, res: &mut Response) {
        let published = self.node.published();
        let view = Arc::clone(&published.borrow().view);
        res.render(Json(&view.instances));
    }
}

#[handler]
impl Audit {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let limit = req.query::<u32>("limit").unwrap_or(PAGE).clamp(1, PAGE_MAX);
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

fn unavailable(error: &StoreError) -> Refusal {
    let message = format!("the table cannot be read: {error}");
    Refusal::new(ErrorKind::PlatformUnavailable, message)
}
