//! Handlers that return and replace the configuration.

use std::sync::Arc;

use model::{ErrorKind, FleetConfig, parse_config};
use salvo::{Request, Response, handler, writing::Json};
use serde::Serialize;

use super::refusal::Refusal;
use crate::{
    config_status,
    config_store::{self, ConfigChange},
    node::Node,
};

/// Maximum length of a configuration document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;
/// Header that names the operator.
const OPERATOR_HEADER: &str = "redwingtack-operator";
/// Header with the idempotency key of the call, so that a call can be repeated
/// safely after a lost response.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// `GET /v1/config`: returns the configuration in force on this node.
#[derive(Debug)]
pub(crate) struct GetConfig {
    node: Arc<Node>,
}

/// `PUT /v1/config?replaces=N`: replaces the configuration, provided that
/// version `N` is in force.
#[derive(Debug)]
pub(crate) struct PutConfig {
    node: Arc<Node>,
}

/// `GET /v1/config/status`: returns which version is in force on which node.
#[derive(Debug)]
pub(crate) struct GetConfigStatus {
    node: Arc<Node>,
}

/// Response to an accepted change.
#[derive(Debug, Serialize)]
struct ConfigApplied {
    version: u64,
    /// Idempotency key of the call, generated if the call had none.
    operation: String,
}

impl GetConfig {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }
}

#[handler]
impl GetConfig {
    fn handle(&self, res: &mut Response) {
        let config = self.node.config();
        res.render(Json(&*config));
    }
}

impl PutConfig {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }

    async fn apply(&self, req: &mut Request) -> Result<ConfigApplied, Refusal> {
        let config = read_document(req).await?;
        let operation = header(req, IDEMPOTENCY_KEY_HEADER)
            .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        let change = ConfigChange {
            config,
            operation: operation.clone(),
            operator: header(req, OPERATOR_HEADER).unwrap_or_else(|| "unknown".to_owned()),
            expected_version: expected_version(req)?,
            changed_at_ms: self.node.now_ms(),
        };
        let operator = change.operator.clone();
        match config_store::apply(self.node.store(), change).await {
            Ok(config) => {
                let version = config.version;
                let operator = process::quote(&operator);
                log::info!("event=config_applied version={version} who={operator}");
                self.node.adopt_config(config);
                Ok(ConfigApplied { version, operation })
            }
            Err(error) => {
                let operator = process::quote(&operator);
                let reason = process::quote(&error);
                log::warn!("event=config_refused who={operator} reason={reason}");
                Err(Refusal::from(error).with_operation(operation))
            }
        }
    }
}

#[handler]
impl PutConfig {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.apply(req).await {
            Ok(applied) => res.render(Json(applied)),
            Err(refusal) => refusal.render(res),
        }
    }
}

impl GetConfigStatus {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        let node = Arc::clone(node);
        Self { node }
    }
}

#[handler]
impl GetConfigStatus {
    async fn handle(&self, res: &mut Response) {
        res.render(Json(config_status::fleet_status(&self.node).await));
    }
}

async fn read_document(req: &mut Request) -> Result<FleetConfig, Refusal> {
    let body = req.payload_with_max_size(MAX_DOCUMENT_BYTES).await;
    let body = body.map_err(|error| {
        let message = format!("the document cannot be read: {error}");
        Refusal::new(ErrorKind::BodyTooLarge, message)
    })?;
    let document = std::str::from_utf8(body)
        .map_err(|_| Refusal::new(ErrorKind::InvalidRequest, "the document is not UTF-8"))?;
    parse_config(document).map_err(Refusal::with_problems)
}

/// Parses the query parameter `replaces`; `None` if it is absent.
fn expected_version(req: &Request) -> Result<Option<u64>, Refusal> {
    let Some(version) = req.queries().get("replaces") else {
        return Ok(None);
    };
    let message = "query parameter replaces must be the number of the version to replace";
    version
        .parse()
        .map(Some)
        .map_err(|_| Refusal::new(ErrorKind::InvalidRequest, message))
}

/// Returns the value of a header; `None` if it is absent, empty or not text.
fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.to_owned())
}
