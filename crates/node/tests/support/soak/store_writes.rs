//! Rows that the operator and the servers of a soak write, again until the store takes them.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::{
    plan::{Place, Shape},
    requests::ANSWER_TIMEOUT_MS,
};
use crate::support::{HOST, config, send_request};

/// Time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Services of the usual routes and of moved ones.
pub const USUAL_SERVICE: &str = "oracle";
pub const OTHER_SERVICE: &str = "reserve";
/// Slots of each server.
pub const SLOTS: u32 = 8;

/// Returns a transaction that writes a row.
pub fn put(table: &str, key: &str, value: &Value) -> Value {
    let value = BASE64.encode(value.to_string());
    json!({"puts": [{"table": table, "part": "", "key": key, "value": value}]})
}

/// Returns a transaction that removes a server's registration.
pub fn remove_server(id: &str) -> Value {
    json!({"remove": [{"table": "servers", "part": "", "key": id}]})
}

/// Returns whether the store has taken a transaction.
pub async fn transact(store: SocketAddr, transaction: &Value) -> bool {
    let body = transaction.to_string().into_bytes();
    post(store, "/standin/rows", body).await
}

/// Posts to a stand-in's own interface. Returns whether it has answered.
pub async fn post(standin: SocketAddr, path: &str, body: Vec<u8>) -> bool {
    let answer = send_request(standin, "POST", path, &[], body);
    let answer = timeout(WRITE_TIMEOUT, answer).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == StatusCode::OK))
}

/// Returns the registration of a server.
pub fn registration(address: SocketAddr, service: &str, state: &str, born_unix_ms: u64) -> Value {
    json!({
        "service": service, "addr": address.to_string(), "zone": "a", "version": "v1",
        "slots": SLOTS, "state": state, "cold_left_ms": 0, "seq": 1, "born": born_unix_ms
    })
}

/// Returns a configuration of this shape.
pub fn shaped_config(version: u64, shape: Shape) -> Value {
    let mut config = config(version, 0);
    config["services"] = json!([{"name": USUAL_SERVICE}, {"name": OTHER_SERVICE}]);
    let mut routes = Vec::new();
    for mut route in config["routes"].as_array().unwrap().clone() {
        let place = match route["name"].as_str().unwrap() {
            "batch" => shape.batch,
            "once" => shape.once,
            "long" => shape.long,
            _ => Place::Usual,
        };
        if route["kind"] == "stream" {
            route["timeout_ms"] = json!(shape.timeout_ms);
        }
        match place {
            Place::Usual => {}
            Place::Other => route["service"] = json!(OTHER_SERVICE),
            Place::Gone => continue,
        }
        routes.push(route);
    }
    routes.push(answer_route("lookup", "idempotent", 3));
    routes.push(answer_route("order", "non_idempotent", 1));
    if shape.has_cover {
        let mut cover = config["routes"][0].clone();
        cover["name"] = json!("cover");
        cover["path_prefix"] = json!("/");
        cover["service"] = json!(OTHER_SERVICE);
        routes.push(cover);
    }
    config["routes"] = json!(routes);
    config
}

/// Returns a route for answers in one piece.
fn answer_route(name: &str, kind: &str, attempts_max: u32) -> Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": ANSWER_TIMEOUT_MS, "goal_ms": 500, "priority": 0,
        "max_attempts": attempts_max, "service": USUAL_SERVICE
    })
}
