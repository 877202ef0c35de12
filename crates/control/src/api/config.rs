//! Reading and replacing the configuration.

use std::sync::Arc;

use model::{ErrorKind, FleetConfig, parse_config};
use salvo::{Request, Response, handler, writing::Json};
use serde::Serialize;

use super::refusal::Refusal;
use crate::{
    config_status,
    config_store::{self, Change},
    node::Node,
};

/// Longest configuration document, bytes.
const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;
/// Header that names the operator.
const OPERATOR: &str = "redwingtack-operator";
/// Header that identifies the call, so that it can be repeated.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// `GET /v1/config`: the configuration in force here.
#[derive(Debug)]
pub(crate) struct Show {
    node: Arc<Node>,
}

/// `PUT /v1/config?replaces=N`: replaces the configuration.
#[derive(Debug)]
pub(crate) struct Apply {
    node: Arc<Node>,
}

/// `GET /v1/config/status`: who has which version in force.
#[derive(Debug)]
pub(crate) struct Status {
    node: Arc<Node>,
}

/// Answer to an accepted change.
#[derive(Debug, Serialize)]
struct Applied {
    version: u64,
    operation: String,
}

impl Show {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }
}

#[handler]
impl Show {
    fn handle(&self, res: &mut Response) {
        let config = self.node.config();
        res.render(Json(&*config));
    }
}

impl Apply {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }

    async fn apply(&self, req: &mut Request) -> Result<Applied, Refusal> {
        let config = read_document(req).await?;
        let operation = header(req, IDEMPOTENCY_KEY)
            .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        let change = Change {
            config,
            operation: operation.clone(),
            who: header(req, OPERATOR).unwrap_or_else(|| "unknown".to_owned()),
            replaces: replaces(req)?,
            changed_at_ms: self.node.now_ms(),
        };
        let who = change.who.clone();
        match config_store::apply(self.node.store(), change).await {
            Ok(config) => {
                let version = config.version;
                let who = process::quote(&who);
                log::info!("event=config_applied version={version} who={who}");
                self.node.adopt(config);
                Ok(Applied { version, operation })
            }
            Err(error) => {
                let who = process::quote(&who);
                let reason = process::quote(&error);
                log::warn!("event=config_refused who={who} reason={reason}");
                Err(Refusal::from(error).with_operation(operation))
            }
        }
    }
}

#[handler]
impl Apply {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.apply(req).await {
            Ok(applied) => res.render(Json(applied)),
            Err(refusal) => refusal.render(res),
        }
    }
}

impl Status {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }
}

#[handler]
impl Status {
    async fn handle(&self, res: &mut Response) {
        res.render(Json(config_status::fleet_status(&self.node).await));
    }
}

async fn read_document(req: &mut Request) -> Result<FleetConfig, Refusal> {
    let body = req.payload_with_max_size(DOCUMENT_MAX_BYTES).await;
    let body = body.map_err(|error| {
        let message = format!("the document cannot be read: {error}");
        Refusal::new(ErrorKind::BodyTooLarge, message)
    })?;
    let text = std::str::from_utf8(body)
        .map_err(|_| Refusal::new(ErrorKind::InvalidRequest, "the document is not UTF-8"))?;
    parse_config(text).map_err(Refusal::with_problems)
}

fn replaces(req: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = req.queries().get("replaces") else {
        return Ok(None);
    };
    let message = "replaces must be the version to be replaced";
    text.parse()
        .map(Some)
        .map_err(|_| Refusal::new(ErrorKind::InvalidRequest, message))
}

fn header(req: &Request, name: &str) -> Option<String> {
    let text = req.headers().get(name)?.to_str().ok()?;
    (!text.is_empty()).then(|| text.to_owned())
}
