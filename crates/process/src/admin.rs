//! Admin endpoints of a program: `/healthz`, `/readyz` and `/metrics`.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use opentelemetry::global;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use salvo::{
    Response, Router, Server, conn::TcpListener, handler, http::StatusCode, prelude::Listener,
};

/// Readiness and metrics registry that a program shares with its admin
/// endpoints.
#[derive(Debug, Clone, Default)]
pub struct AdminState {
    is_ready: Arc<AtomicBool>,
    registry: Registry,
}

impl AdminState {
    /// Installs a global meter provider that exports to the returned state. The
    /// state begins as not ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics exporter cannot be built.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let state = Self::default();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(state.registry.clone())
            .build()?;
        global::set_meter_provider(SdkMeterProvider::builder().with_reader(exporter).build());
        Ok(state)
    }

    /// Sets whether `/readyz` responds with status 200 instead of 503.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Returns whether the program accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Returns the routes of the admin endpoints. A program can also include
    /// them in an HTTP server of its own.
    #[must_use]
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path("healthz").get(health))
            .push(Router::with_path("readyz").get(ReadinessHandler {
                state: self.clone(),
            }))
            .push(Router::with_path("metrics").get(MetricsHandler {
                state: self.clone(),
            }))
    }

    /// Returns all metrics in the Prometheus text format, or an empty string if
    /// they cannot be encoded.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

/// Serves the admin endpoints at `address` until the process ends.
pub async fn serve_admin(address: std::net::SocketAddr, state: AdminState) {
    let acceptor = TcpListener::new(address).bind().await;
    Server::new(acceptor).serve(state.router()).await;
}

#[handler]
fn health(res: &mut Response) {
    res.render("ok\n");
}

struct ReadinessHandler {
    state: AdminState,
}

#[handler]
impl ReadinessHandler {
    fn handle(&self, res: &mut Response) {
        if self.state.is_ready() {
            res.render("ready\n");
            return;
        }
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    }
}

struct MetricsHandler {
    state: AdminState,
}

#[handler]
impl MetricsHandler {
    fn handle(&self, res: &mut Response) {
        res.render(self.state.render());
    }
}
