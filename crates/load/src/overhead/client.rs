//! HTTP client that sends streamed chat requests and measures their latencies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::Instant;

const END_OF_STREAM: &[u8] = b"data: [DONE]";

/// Client of engines and entries, which accept the same requests.
#[derive(Debug, Clone)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Latencies of one answer, from the time at which its request was due.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time to the first bytes of the answer body, microseconds.
    pub first_token_us: u64,
    /// Time to the end of the answer body, microseconds.
    pub total_us: u64,
}

impl LoadClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends one request. Returns `None` unless its answer is complete.
    pub async fn chat(
        &self,
        address: SocketAddr,
        tokens: u32,
        index: u32,
        due_at: Instant,
    ) -> Option<Timing> {
        let mut ignore_chunk = |_: Instant| {};
        self.stream(address, tokens, index, due_at, &mut ignore_chunk)
            .await
    }

    /// Sends one request like [`LoadClient::chat`], and calls `on_chunk` with
    /// the arrival time of each chunk of the answer.
    pub async fn stream(
        &self,
        address: SocketAddr,
        tokens: u32,
        index: u32,
        due_at: Instant,
        on_chunk: &mut (impl FnMut(Instant) + Send),
    ) -> Option<Timing> {
        let response = self.client.request(request(address, tokens, index)?).await;
        let response = response.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut body = response.into_body();
        let mut first_token_us = None;
        let mut is_complete = false;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            let now = Instant::now();
            on_chunk(now);
            first_token_us.get_or_insert(elapsed_us(now, due_at));
            is_complete |= contains(&data, END_OF_STREAM);
        }
        is_complete.then_some(Timing {
            first_token_us: first_token_us?,
            total_us: elapsed_us(Instant::now(), due_at),
        })
    }
}

fn request(address: SocketAddr, tokens: u32, index: u32) -> Option<Request<Full<Bytes>>> {
    let body = format!(
        r#"{{"model":"oraculo","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"Team {index} asks where the third key lies. [[tokens={tokens}]]"}}]}}"#
    );
    Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, "Bearer load")
        .body(Full::new(Bytes::from(body)))
        .ok()
}

fn elapsed_us(later: Instant, earlier: Instant) -> u64 {
    let elapsed = later.saturating_duration_since(earlier);
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn contains(data: &[u8], needle: &[u8]) -> bool {
    data.windows(needle.len()).any(|window| window == needle)
}
