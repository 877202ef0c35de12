//! A model server that discards the bodies of its requests and keeps their ids.

use std::{
    collections::BTreeSet,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    body::{Body, Frame, Incoming},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{TestCluster, complete_stream};

/// Number of requests that the server is registered to run at the same time.
const SLOTS: u32 = 64;
/// Requests whose path begins so are items of jobs.
const ITEM_PATH_PREFIX: &str = "/batch/";

/// A running server, which ends with the runtime of the test.
#[derive(Debug, Clone)]
pub struct DiscardingServer {
    pub address: SocketAddr,
    item_duration: Duration,
    /// Ids of the requests whose bodies arrived completely.
    runs: Arc<Mutex<BTreeSet<String>>>,
}

impl DiscardingServer {
    /// Starts a server that answers requests at once and items after `item_duration`.
    pub async fn start(item_duration: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            item_duration,
            runs: Arc::default(),
        };
        tokio::spawn(server.clone().accept(listener));
        server
    }

    /// Returns the ids of the requests that have run.
    pub fn runs(&self) -> BTreeSet<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Registers the server under `id`.
    pub async fn register(&self, cluster: &TestCluster, id: &str) {
        let registration = json!({
            "service": "oracle", "addr": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
        });
        cluster.put_row("servers", id, &registration).await;
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        // An error means that the other side closed the connection.
        let _ = Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<impl Body<Data = Bytes, Error = Infallible> + use<>>, hyper::Error> {
        let (parts, mut body) = request.into_parts();
        while let Some(frame) = body.frame().await {
            frame?;
        }
        let id = parts.headers.get("redwingtack-request-id");
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        self.runs.lock().unwrap().insert(id.clone());
        if parts.uri.path().starts_with(ITEM_PATH_PREFIX) {
            sleep(self.item_duration).await;
        }
        let events = Frame::data(Bytes::from(complete_stream(&id)));
        let response = Response::builder()
            .header("redwingtack-server-stamp", "stamp")
            .header("redwingtack-request-id", id)
            .header("content-type", "text/event-stream")
            .body(StreamBody::new(stream::iter([Ok(events)])));
        Ok(response.unwrap())
    }
}
