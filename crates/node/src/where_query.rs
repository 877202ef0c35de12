//! Answers operators who ask where a given request or item would go now, and why.
//!
//! The question comes to the listener for readiness checks, which callers do not reach. It is
//! decided on copies and changes no state.

use std::fmt::Write;

use gateway::{
    CustomerTable, Placement, PlacementRequest, Preview, QuarantineCheck, RequestContent,
    RequestFingerprint, Route, RouteKind, UpstreamPreview, Urgency, WorkKind,
};
use http::{StatusCode, Uri};
use model::{CustomerName, PromptPart, ServiceName, shared_parts};

use crate::node::Node;

/// Path of the question.
pub(crate) const WHERE_PATH: &str = "/where";

/// A request or job that is asked about.
#[derive(Debug, Default)]
struct Question {
    host: String,
    path: String,
    request_id: String,
    customer: Option<CustomerName>,
    prompt: Vec<PromptPart>,
}

/// Answers a question: a status and lines of text.
pub(crate) fn answer(node: &Node, uri: &Uri) -> (StatusCode, String) {
    let question = match Question::parse(uri.query().unwrap_or_default()) {
        Ok(question) => question,
        Err(problem) => return (StatusCode::BAD_REQUEST, format!("{problem}\n")),
    };
    let Some(routes) = node.routes() else {
        let text = "decision=refused reason=no_configuration\n";
        return (StatusCode::OK, text.to_owned());
    };
    let mut text = format!(
        "config_version={} store_age_ms={}\n",
        routes.version,
        node.store_health.time_since_answer_ms(node.now_ms())
    );
    match routes.find(&question.host, &question.path) {
        None => text.push_str("decision=refused reason=no_route\n"),
        Some(route) => describe_route(
            node,
            &question,
            route,
            routes.customers.as_deref(),
            &mut text,
        ),
    }
    (StatusCode::OK, text)
}

fn describe_route(
    node: &Node,
    question: &Question,
    route: &Route,
    customers: Option<&CustomerTable>,
    text: &mut String,
) {
    let name = question.customer.as_ref();
    let customer = name.and_then(|name| customers?.customer(name));
    if customers.is_some() && !route.is_public && customer.is_none() {
        text.push_str("decision=refused reason=unknown_customer\n");
        return;
    }
    let Some(service) = route.service_for(&question.request_id) else {
        text.push_str("decision=refused reason=no_service\n");
        return;
    };
    let priority = customer.and_then(|customer| customer.priority);
    let priority = priority.unwrap_or(route.priority);
    line(
        text,
        &format!("route={} service={service} priority={priority}", route.name),
    );
    if let Some(quota) = customer.and_then(|customer| customer.quota) {
        let per_s = quota.requests_per_s;
        line(text, &format!("quota_per_s={per_s} burst={}", quota.burst));
    }
    if let RouteKind::Batch(terms) = route.kind {
        describe_item(node, service, terms.due_after_ms, text);
        return;
    }
    if let Some(refusal) = quarantine_refusal(node, question) {
        line(text, &refusal);
        return;
    }
    let prompt: &[PromptPart] = if route.names_prompt_parts {
        &question.prompt
    } else {
        &[]
    };
    let request = PlacementRequest {
        service,
        prompt_parts: prompt,
        tried: &[],
        goal_ms: route.goal_ms,
        waited_ms: 0,
        version: None,
        weights: None,
        may_refuse: true,
    };
    let preview = node.upstreams.borrow().preview(&request, node.now_ms());
    describe_preview(&preview, route, text);
}

/// Tells where the first item of a job that is submitted here would start.
fn describe_item(node: &Node, service: &ServiceName, due_after_ms: u64, text: &mut String) {
    let store_now_ms = node.store_now_ms();
    let urgency = Urgency::new(store_now_ms + due_after_ms, 0, store_now_ms);
    let upstreams = node.upstreams.borrow();
    match upstreams.preview_item(service, urgency, node.now_ms()) {
        Some(target) => line(
            text,
            &format!("decision=sent item=first upstream={}", target.upstream),
        ),
        None => text.push_str("decision=waits item=first reason=no_free_slot\n"),
    }
}

/// Returns why a request with these parts is refused, if one of them is in quarantine.
fn quarantine_refusal(node: &Node, question: &Question) -> Option<String> {
    let content = RequestContent {
        fingerprint: RequestFingerprint::new("", "", &question.request_id, &[]),
        shared_parts: shared_parts(&question.prompt),
    };
    let quarantine = node.quarantine.borrow();
    let upstreams = node.upstreams.borrow();
    match quarantine.check(&content, WorkKind::Online, &upstreams, node.store_now_ms()) {
        QuarantineCheck::Refused {
            cause,
            retry_after_ms,
        } => Some(format!(
            "decision=refused reason=quarantined {cause} retry_after_ms={retry_after_ms}"
        )),
        QuarantineCheck::Allowed | QuarantineCheck::Trial { .. } => None,
    }
}

fn describe_preview(preview: &Preview, route: &Route, text: &mut String) {
    let decision = match &preview.placement {
        Placement::Send {
            target,
            expected_ms,
            load,
            kept_tokens,
            ..
        } => format!(
            "decision=sent upstream={} version={} expected_ms={expected_ms} load={load} kept_tokens={kept_tokens}",
            target.upstream,
            process::quote(&target.version)
        ),
        Placement::Refuse {
            reason,
            retry_after_ms,
            expected_ms,
        } => format!(
            "decision=refused reason={} expected_ms={expected_ms} retry_after_ms={retry_after_ms}",
            reason.as_str()
        ),
    };
    let goal_ms = route.goal_ms;
    let age_ms = preview.peer_load_age_ms;
    line(
        text,
        &format!("{decision} goal_ms={goal_ms} peer_load_age_ms={age_ms}"),
    );
    for upstream in &preview.upstreams {
        line(text, &describe_upstream(upstream));
    }
}

fn describe_upstream(preview: &UpstreamPreview) -> String {
    let UpstreamPreview {
        upstream,
        load,
        slots,
        weighing,
    } = preview;
    match weighing {
        Ok(weighing) => format!(
            "upstream={upstream} load={load} slots={slots} expected_ms={} cost_ms={} kept_tokens={} saved_ms={}",
            weighing.expected_ms, weighing.cost_ms, weighing.kept_tokens, weighing.saved_ms
        ),
        Err(exclusion) => format!(
            "upstream={upstream} load={load} slots={slots} left_out={}",
            exclusion.as_str()
        ),
    }
}

fn line(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}

impl Question {
    /// Parses the query of a question, whose values are not encoded.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn parse(query: &str) -> Result<Self, String> {
        let mut question = Self::default();
        for field in query.split('&') {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            match name {
                "host" => value.clone_into(&mut question.host),
                "path" => value.clone_into(&mut question.path),
                "request" => value.clone_into(&mut question.request_id),
                "customer" => question.customer = Some(CustomerName::new(value)),
                "prompt" => {
                    let parts = platform::parse_prompt_parts(value);
                    question.prompt = parts.ok_or("prompt: expected ID:TOKENS,...")?;
                }
                _ => return Err(format!("unknown field {name:?}")),
            }
        }
        if question.host.is_empty() || question.path.is_empty() {
            return Err("host and path are required".to_owned());
        }
        Ok(question)
    }
}
