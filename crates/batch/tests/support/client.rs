//! A client of the `OpenAI` API for files and batches.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

use super::{WAIT_TIMEOUT, eventually_within};

const BOUNDARY: &str = "test-boundary";
type Body = BoxBody<Bytes, Infallible>;

/// A client of one entry.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Body>,
    address: SocketAddr,
    api_key: String,
}

/// An HTTP response that was received completely.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub text: String,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text)
            .unwrap_or_else(|_| panic!("the body is not JSON: {self:?}"))
    }

    /// Returns the code of the error object, or an empty string if there is none.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn id(&self) -> String {
        self.json()["id"].as_str().unwrap_or_default().to_owned()
    }

    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: legacy::Client::builder(TokioExecutor::new()).build_http(),
            address,
            api_key: "club".to_owned(),
        }
    }

    pub fn with_api_key(mut self, api_key: &str) -> Self {
        api_key.clone_into(&mut self.api_key);
        self
    }

    /// Uploads a file whose content is the concatenation of `parts`.
    pub async fn upload_parts<S>(&self, parts: S) -> Response
    where
        S: IntoIterator<Item = Bytes>,
        S::IntoIter: Send + Sync + 'static,
    {
        let head = format!(
            "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
             filename=\"input.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n"
        );
        let tail = format!("\r\n--{BOUNDARY}--\r\n");
        let parts = stream::iter([Bytes::from(head)])
            .chain(stream::iter(parts))
            .chain(stream::iter([Bytes::from(tail)]));
        let frames = parts.map(|part| Ok::<_, Infallible>(http_body::Frame::data(part)));
        let request = self
            .request(Method::POST, "/v1/files")
            .header(
                "content-type",
                format!("multipart/form-data; boundary={BOUNDARY}"),
            )
            .body(BoxBody::new(StreamBody::new(frames)))
            .unwrap();
        self.send(request).await
    }

    /// Uploads a file with this content.
    pub async fn upload(&self, content: &str) -> Response {
        self.upload_parts([Bytes::from(content.to_owned())]).await
    }

    /// Creates a batch from an uploaded file, for the chat endpoint.
    pub async fn create(&self, file: &str, headers: &[(&str, &str)]) -> Response {
        self.create_for(file, "/v1/chat/completions", headers).await
    }

    /// Creates a batch from an uploaded file, for `endpoint`.
    pub async fn create_for(
        &self,
        file: &str,
        endpoint: &str,
        headers: &[(&str, &str)],
    ) -> Response {
        let body = json!({
            "input_file_id": file,
            "endpoint": endpoint,
            "completion_window": "24h",
        });
        let mut request = self
            .request(Method::POST, "/v1/batches")
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(full_body(body.to_string())).unwrap();
        self.send(request).await
    }

    /// Uploads a file, creates a batch from it and returns the identifier of the batch.
    pub async fn submit(&self, content: &str) -> String {
        let file = self.upload(content).await;
        assert_eq!(file.status, StatusCode::OK, "{file:?}");
        let batch = self.create(&file.id(), &[]).await;
        assert_eq!(batch.status, StatusCode::OK, "{batch:?}");
        batch.id()
    }

    pub async fn get(&self, path: &str) -> Response {
        let request = self.request(Method::GET, path).body(full_body("")).unwrap();
        self.send(request).await
    }

    pub async fn post(&self, path: &str) -> Response {
        let request = self
            .request(Method::POST, path)
            .body(full_body(""))
            .unwrap();
        self.send(request).await
    }

    pub async fn batch(&self, id: &str) -> Value {
        self.get(&format!("/v1/batches/{id}")).await.json()
    }

    pub async fn cancel(&self, id: &str) -> Response {
        self.post(&format!("/v1/batches/{id}/cancel")).await
    }

    /// Waits until a batch is completed. Panics after [`WAIT_TIMEOUT`].
    pub async fn wait_until_completed(&self, id: &str) -> Value {
        self.wait_until_completed_within(id, WAIT_TIMEOUT).await
    }

    /// Waits until a batch is completed. Panics after `timeout`.
    pub async fn wait_until_completed_within(&self, id: &str, timeout: Duration) -> Value {
        let probe = async || {
            let batch = self.batch(id).await;
            (batch["status"] == "completed").then_some(batch)
        };
        eventually_within(timeout, probe).await
    }

    /// Returns the lines of a result file; `kind` is `output` or `errors`.
    pub async fn results(&self, id: &str, kind: &str) -> Vec<Value> {
        let answer = self.get(&format!("/v1/files/{id}_{kind}/content")).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let lines = answer.text.lines();
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.api_key))
    }

    async fn send(&self, request: Request<Body>) -> Response {
        let response = self.http.request(request).await.unwrap();
        let (parts, body) = response.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        Response {
            status: parts.status,
            headers: parts.headers,
            text: String::from_utf8(body.to_vec()).unwrap(),
        }
    }
}

fn full_body(text: impl Into<Bytes>) -> Body {
    let frame = http_body::Frame::data(text.into());
    BoxBody::new(StreamBody::new(stream::iter([Ok(frame)])))
}

/// Returns the `custom_id` of each result line, sorted.
pub fn custom_ids(lines: &[Value]) -> Vec<String> {
    let mut ids: Vec<String> = lines
        .iter()
        .map(|line| line["custom_id"].as_str().unwrap().to_owned())
        .collect();
    ids.sort();
    ids
}
