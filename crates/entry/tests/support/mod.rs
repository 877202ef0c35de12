//! An entry that runs in the test's process, its configuration and view, and an
//! HTTP client.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use entry::{Entry, EntrySettings, ViewSource};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, ModelName, Region,
    ServiceName, UpstreamEntry, UpstreamId, UpstreamKind, View,
};
use process::{AdminState, NodeSettings, Shutdown};
use serde_json::Value;
use tokio::{sync::watch, task::JoinHandle};

/// Default time-out of a wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration of the tests.
pub const CONFIG: &str = r#"
[[class]]
name = "booking"
work = "service"
service = "courts"
answer_within_ms = 2000
idempotent = false

[[class]]
name = "brisk"
work = "online"
first_token_ms = 200
between_tokens_ms = 50

[[class]]
name = "bundle"
work = "batch"
complete_within_s = 600

[[class]]
name = "hint"
work = "online"
first_token_ms = 2000
between_tokens_ms = 100

[[class]]
name = "instant"
work = "online"
first_token_ms = 1
between_tokens_ms = 50

[[class]]
name = "limited"
work = "online"
first_token_ms = 2000
between_tokens_ms = 100
customer_requests_per_s = 1

[[class]]
name = "quick-booking"
work = "service"
service = "courts"
answer_within_ms = 100
idempotent = false

[[class]]
name = "lookup"
work = "service"
service = "courts"
answer_within_ms = 2000
idempotent = true

[[model]]
name = "oraculo"
online_class = "hint"
batch_class = "bundle"
"#;

/// A running entry whose view the test can replace.
pub struct TestEntry {
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    pub view: watch::Sender<Arc<View>>,
    pub shutdown: Shutdown,
    pub admin: AdminState,
    pub server_task: JoinHandle<()>,
}

/// An HTTP response that was received completely.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the code of the error object, or an empty string if there is none.
    pub fn error_code(&self) -> String {
        let json = self.json();
        json["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the data of each server-sent event.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the text of a streamed answer, which must end with `[DONE]`.
    pub fn streamed_text(&self) -> String {
        let events = self.events();
        assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
        events[..events.len() - 1]
            .iter()
            .fold(String::new(), |text, event| {
                let chunk: Value = serde_json::from_str(event).expect("an event is JSON");
                let content = chunk["choices"][0]["delta"]["content"].as_str();
                text + content.unwrap_or_default()
            })
    }
}

impl TestEntry {
    /// Starts an entry with these upstreams and the platform at `platform`.
    pub async fn start(upstreams: Vec<UpstreamEntry>, platform: SocketAddr) -> Self {
        Self::start_with(upstreams, platform, |_| {}).await
    }

    /// Like [`TestEntry::start`], with adjusted settings.
    pub async fn start_with(
        upstreams: Vec<UpstreamEntry>,
        platform: SocketAddr,
        adjust_settings: impl FnOnce(&mut EntrySettings),
    ) -> Self {
        let (view, receiver) = watch::channel(Arc::new(view_with_upstreams(upstreams)));
        Self::start_inner(
            ViewSource::from_receiver(receiver),
            view,
            platform,
            adjust_settings,
        )
        .await
    }

    /// Starts an entry that takes its views from `view_source`; the test cannot
    /// replace its view.
    pub async fn start_with_view_source(view_source: ViewSource, platform: SocketAddr) -> Self {
        let (view, _) = watch::channel(Arc::new(View::default()));
        Self::start_inner(view_source, view, platform, |_| {}).await
    }

    async fn start_inner(
        view_source: ViewSource,
        view: watch::Sender<Arc<View>>,
        platform: SocketAddr,
        adjust_settings: impl FnOnce(&mut EntrySettings),
    ) -> Self {
        let mut settings = EntrySettings {
            node: NodeSettings {
                peer_listen: any_port(),
                admin_listen: any_port(),
                platform,
                instance_id: InstanceId::new("entry-0"),
                region: Region::new("lima"),
                failure_domain: FailureDomain::new("lima-a"),
                log_level: String::new(),
            },
            listen: any_port(),
            control: any_port(),
            body_limit_bytes: 64 * 1024,
            drain_ms: 0,
            worker_threads: 2,
        };
        adjust_settings(&mut settings);
        let shutdown = Shutdown::new();
        let admin = AdminState::default();
        let entry = Entry::start_with_view_source(&settings, view_source, admin.clone(), &shutdown)
            .await
            .expect("the entry starts");
        let address = entry.address();
        let peer_address = entry.peer_address();
        let shutdown_signal = shutdown.clone();
        let server_task = tokio::spawn(async move { entry.run_until(&shutdown_signal).await });
        Self {
            address,
            peer_address,
            view,
            shutdown,
            admin,
            server_task,
        }
    }

    /// Sends a request with an API key.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response {
        let mut all_headers = vec![("authorization", "Bearer customer-1")];
        all_headers.extend_from_slice(headers);
        send(self.address, method, path, &all_headers, body.into()).await
    }

    /// Sends a chat request.
    pub async fn chat(&self, headers: &[(&str, &str)], body: Value) -> Response {
        let path = "/v1/chat/completions";
        self.send(Method::POST, path, headers, body.to_string())
            .await
    }

    /// Begins the graceful shutdown and waits for its end.
    pub async fn stop(self) {
        self.shutdown.begin();
        tokio::time::timeout(WAIT_TIMEOUT, self.server_task)
            .await
            .expect("the entry stops")
            .expect("the entry does not panic");
    }
}

/// Sends a request over a new connection.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Response {
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).expect("the request is valid");
    let send_and_receive = async {
        let response = client.request(request).await.expect("the entry answers");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("the response is complete");
        Response {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, send_and_receive)
        .await
        .expect("the entry answers in time")
}

/// Returns the body of a chat request for the model of the tests.
pub fn chat_body(prompt: &str, max_tokens: u32) -> Value {
    serde_json::json!({
        "model": "oraculo",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    })
}

/// Returns a view with these upstreams and without instances.
pub fn view_with_upstreams(mut upstreams: Vec<UpstreamEntry>) -> View {
    upstreams.sort_by(|left, right| left.id.cmp(&right.id));
    let mut config = model::parse_config(CONFIG).expect("the configuration is valid");
    config.version = 1;
    View {
        revision: 1,
        config,
        instances: Vec::new(),
        upstreams,
    }
}

pub fn engine_entry(id: &str, address: SocketAddr) -> UpstreamEntry {
    let kind = UpstreamKind::Engine {
        models: vec![ModelName::new("oraculo")],
    };
    upstream_entry(id, address, kind)
}

pub fn service_entry(id: &str, address: SocketAddr) -> UpstreamEntry {
    let kind = UpstreamKind::Service {
        service: ServiceName::new("courts"),
    };
    upstream_entry(id, address, kind)
}

/// Returns a loopback address with port 0, at which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address at which no server listens, so that connections to it are refused. The
/// port stays taken until the process ends, so that no other test listens there.
pub fn unused_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket can be opened");
    socket.bind(any_port()).expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    std::mem::forget(socket);
    address
}

fn upstream_entry(id: &str, address: SocketAddr, kind: UpstreamKind) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(id),
        address: address.to_string(),
        kind,
        region: Region::new("lima"),
        failure_domain: FailureDomain::new("lima-a"),
        liveness: Liveness::Live,
    }
}

/// Returns the instance entry that the program registers at the control program.
pub fn instance_entry(role: InstanceRole, liveness: Liveness) -> InstanceEntry {
    InstanceEntry {
        id: InstanceId::new("entry-0"),
        role,
        peer_address: "127.0.0.1:1".to_owned(),
        region: Region::new("lima"),
        failure_domain: FailureDomain::new("lima-a"),
        liveness,
        incarnation: 0,
    }
}
