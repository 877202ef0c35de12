//! Stand-in for a model engine: the HTTP interface of
//! [`EngineCore`](crate::EngineCore).
//!
//! Markers in the prompt script the answer: `[[tokens=N]]` sets its length,
//! `[[fail]]` answers with a 500 status, `[[crash]]` closes the connection
//! without an answer, and `[[crash-after=N]]` breaks the first stream of the
//! prompt after token N.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use model::ModelName;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};
use upstream::{ChatRequest, LoadReport, Order, OrderAction, OrderAnswer, headers, paths};

use crate::{
    EngineParams, FaultScript, Standin, answer,
    engine_state::EngineState,
    engine_streams::{Answer, Progress},
    http::{self as server, Body, ConnectionDropped, Handler, Reply},
};

/// Maximum time between two calls of [`EngineState::tick`], which also drops
/// expired streams while no step runs.
const IDLE_TICK_MS: u64 = 100;
/// Delay before a scripted crash, in which the tokens before it are sent: the
/// HTTP server discards what it has not yet flushed when a body fails.
const CRASH_FLUSH_MS: u64 = 10;

/// Parameters of the stand-in engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Models that are loaded at the start.
    pub models: Vec<ModelName>,
    /// Step costs and limits of the simulated engine.
    pub params: EngineParams,
    /// Age of the state that load reports describe, in milliseconds.
    pub report_lag_ms: u64,
    /// Time for which a stream without a reader can be resumed, in milliseconds.
    pub resume_keep_ms: u64,
    /// Time to load a model, in milliseconds.
    pub load_model_ms: u64,
    /// Whether orders with an outdated fencing token are carried out rather than
    /// refused.
    pub ignore_fencing: bool,
}

/// How often each request ran, as read from `/standin/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// One count per attempt, sorted by attempt id.
    pub attempts: Vec<RunCount>,
    /// One count per prompt, sorted by its text.
    pub prompts: Vec<RunCount>,
    /// Number of chat requests received, including refused ones.
    pub received: u32,
}

/// How often one attempt or prompt ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Attempt id or text of the prompt.
    pub id: String,
    /// Number of runs that were started.
    pub runs: u32,
    /// Total number of tokens generated in all runs.
    pub tokens: u32,
}

/// Starts a stand-in engine in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_engine(settings: EngineSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let engine = Arc::new(Engine {
        faults: FaultScript::default(),
        state: Mutex::new(EngineState::new(settings.clone())),
        settings,
        wake: Notify::new(),
    });
    let handler = EngineHandler(Arc::clone(&engine));
    let standin = server::start(listen, Arc::new(handler)).await?;
    tokio::spawn(run_steps(engine, standin.stop_signal()));
    Ok(standin)
}

struct Engine {
    settings: EngineSettings,
    faults: FaultScript,
    state: Mutex<EngineState>,
    /// Wakes the task that runs steps when a request was submitted.
    wake: Notify,
}

struct EngineHandler(Arc<Engine>);

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: vec![ModelName::new("oraculo"), ModelName::new("platzbot")],
            params: EngineParams::default(),
            report_lag_ms: 500,
            resume_keep_ms: 5_000,
            load_model_ms: 200,
            ignore_fencing: false,
        }
    }
}

/// Advances the engine whenever a step ends or a request was submitted, until
/// the stand-in is stopped.
async fn run_steps(engine: Arc<Engine>, mut stop_signal: watch::Receiver<bool>) {
    loop {
        let step_ends_at = {
            let mut state = engine.lock();
            state.tick();
            state.next_step_end()
        };
        let idle_at = Instant::now() + Duration::from_millis(IDLE_TICK_MS);
        tokio::select! {
            () = tokio::time::sleep_until(step_ends_at.unwrap_or(idle_at).min(idle_at)) => {}
            () = engine.wake.notified() => {}
            _ = stop_signal.wait_for(|stopped| *stopped) => return,
        }
    }
}

impl Handler for EngineHandler {
    fn faults(&self) -> &FaultScript {
        &self.0.faults
    }

    fn handle_control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/runs") => server::json_response(&self.0.lock().run_counts()),
            (&Method::PUT, "/standin/leaving") => self.set_leaving(&request),
            _ => server::text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let is_leaving = self.0.lock().is_leaving;
        let mut response = self.route(request).await?;
        if is_leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(headers::LEAVING, value);
        }
        Ok(response)
    }
}

impl EngineHandler {
    async fn route(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if let Some(attempt_id) = path.strip_prefix(paths::STREAMS) {
            return Ok(self.handle_stream(&request, attempt_id));
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, paths::CHAT_COMPLETIONS) => self.handle_chat(request).await,
            (&Method::GET, paths::LOAD) => Ok(server::json_response(&self.0.load_report())),
            (&Method::POST, paths::ORDERS) => match server::decode_json::<Order>(&request) {
                Ok(order) => Ok(self.handle_order(order).await),
                Err(response) => Ok(response),
            },
            _ => Ok(server::text_response(
                StatusCode::NOT_FOUND,
                "no such path\n",
            )),
        }
    }

    fn set_leaving(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode_json::<bool>(request) {
            Ok(is_leaving) => {
                self.0.lock().is_leaving = is_leaving;
                server::text_response(StatusCode::OK, "set\n")
            }
            Err(response) => response,
        }
    }

    async fn handle_chat(&self, request: Request<Bytes>) -> Reply {
        let attempt_id = request
            .headers()
            .get(headers::ATTEMPT)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let chat_request = match server::decode_json::<ChatRequest>(&request) {
            Ok(chat_request) => chat_request,
            Err(response) => return Ok(response),
        };
        let answer = {
            let mut state = self.0.lock();
            state.received += 1;
            if state.is_leaving {
                return Ok(server::refusal(StatusCode::SERVICE_UNAVAILABLE));
            }
            if !state.serves(&chat_request.model) {
                return Ok(server::refusal(StatusCode::NOT_FOUND));
            }
            let prompt = answer::prompt_text(&chat_request);
            let attempt_id = attempt_id.unwrap_or_else(|| state.next_attempt_id());
            if prompt.contains("[[fail]]") {
                state.count_run(&attempt_id, &prompt);
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return Ok(server::text_response(
                    status,
                    "the prompt contains [[fail]]\n",
                ));
            }
            if prompt.contains("[[crash]]") {
                state.count_run(&attempt_id, &prompt);
                return Err(ConnectionDropped);
            }
            state.submit(&attempt_id, &chat_request)
        };
        self.0.wake.notify_one();
        let continued_tokens =
            u32::try_from(chat_request.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let reader = AnswerReader::attach(Arc::clone(&self.0), &answer.attempt_id);
        let reader = reader
            .ok_or(ConnectionDropped)?
            .starting_after(continued_tokens);
        if chat_request.stream {
            return Ok(event_stream(reader));
        }
        reader.read_to_end().await
    }

    fn handle_stream(&self, request: &Request<Bytes>, attempt_id: &str) -> Response<Body> {
        if request.method() == Method::DELETE {
            self.0.lock().cancel(attempt_id);
            return server::text_response(StatusCode::OK, "cancelled\n");
        }
        let after = server::query_parameter(request, "after").and_then(|after| after.parse().ok());
        match AnswerReader::attach(Arc::clone(&self.0), attempt_id) {
            Some(reader) => event_stream(reader.starting_after(after.unwrap_or(0))),
            None => server::refusal(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_order(&self, order: Order) -> Response<Body> {
        let is_new = match self.0.lock().accept_order(&order) {
            Ok(is_new) => is_new,
            Err(answer) => {
                let mut response = server::json_response(&answer);
                *response.status_mut() = StatusCode::CONFLICT;
                return response;
            }
        };
        if is_new && matches!(order.action, OrderAction::Load { .. }) {
            tokio::time::sleep(Duration::from_millis(self.0.settings.load_model_ms)).await;
        }
        let answer: OrderAnswer = self.0.lock().apply_order(&order.action, is_new);
        server::json_response(&answer)
    }
}

impl Engine {
    fn load_report(&self) -> LoadReport {
        self.lock().load_report()
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the tokens of one answer as they are generated.
struct AnswerReader {
    engine: Arc<Engine>,
    answer: Arc<Answer>,
    progress: watch::Receiver<Progress>,
    /// Index of the first token that this reader sends.
    first_token_index: u32,
    /// Index of the token sent last. Before the first one is sent, the index of the
    /// token before it.
    last_sent_index: u32,
    phase: ReadPhase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadPhase {
    /// The next event is a token or the final chunk.
    Tokens,
    /// The next event is `[DONE]`.
    DoneMarker,
    /// There is no further event.
    Finished,
}

impl AnswerReader {
    /// Starts to read an answer from its first token. Returns `None` if the
    /// attempt is unknown.
    fn attach(engine: Arc<Engine>, attempt_id: &str) -> Option<Self> {
        let (answer, progress) = engine.lock().attach_reader(attempt_id)?;
        Some(Self {
            engine,
            answer,
            progress,
            first_token_index: 1,
            last_sent_index: 0,
            phase: ReadPhase::Tokens,
        })
    }

    /// Skips the tokens up to and including `token_index`.
    fn starting_after(mut self, token_index: u32) -> Self {
        self.first_token_index = token_index + 1;
        self.last_sent_index = token_index;
        self
    }

    /// Returns the next server-sent event. An error closes the connection.
    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        match self.phase {
            ReadPhase::Tokens => Some(self.token_event().await),
            ReadPhase::DoneMarker => {
                self.phase = ReadPhase::Finished;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            ReadPhase::Finished => None,
        }
    }

    async fn token_event(&mut self) -> io::Result<Bytes> {
        if self.is_at_crash() && self.engine.lock().crash_once(&self.answer.prompt) {
            self.phase = ReadPhase::Finished;
            tokio::time::sleep(Duration::from_millis(CRASH_FLUSH_MS)).await;
            return Err(io::Error::other("the prompt contains [[crash-after=N]]"));
        }
        let next_index = self.last_sent_index + 1;
        if next_index > self.answer.last_token_index() {
            self.phase = ReadPhase::DoneMarker;
        } else {
            self.wait_for(next_index).await?;
            self.last_sent_index = next_index;
        }
        let chunk = serde_json::to_string(&self.answer.chunk(next_index))?;
        Ok(Bytes::from(format!("data: {chunk}\n\n")))
    }

    /// Returns whether the scripted crash is due. A stream that resumes right after
    /// the crash token does not break there.
    fn is_at_crash(&self) -> bool {
        let is_within_stream =
            self.last_sent_index >= self.first_token_index || self.last_sent_index == 0;
        is_within_stream && self.answer.crash_after_token == Some(self.last_sent_index)
    }

    /// Waits until a token has been generated.
    async fn wait_for(&mut self, token_index: u32) -> io::Result<()> {
        let reached_token = self
            .progress
            .wait_for(|progress| progress.is_cancelled || progress.last_token_index >= token_index);
        match reached_token.await {
            Ok(progress) if progress.last_token_index >= token_index => Ok(()),
            Ok(_) => Err(io::Error::other("sequence was cancelled")),
            Err(_) => Err(io::Error::other("stream was dropped")),
        }
    }

    /// Returns the whole answer as one response once all tokens are generated.
    async fn read_to_end(mut self) -> Reply {
        let last_token_index = self.answer.last_token_index();
        self.wait_for(last_token_index)
            .await
            .map_err(|_| ConnectionDropped)?;
        let answer = &self.answer;
        Ok(server::json_response(&serde_json::json!({
            "id": answer.attempt_id,
            "object": "chat.completion",
            "created": 0,
            "model": answer.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": answer.tokens.concat() },
                "finish_reason": answer.finish_reason,
            }],
            "usage": answer.usage(),
        })))
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.engine.lock().detach_reader(&self.answer.attempt_id);
    }
}

fn event_stream(reader: AnswerReader) -> Response<Body> {
    let attempt_id = HeaderValue::from_str(&reader.answer.attempt_id);
    let events = futures::stream::unfold(reader, async |mut reader| {
        let event = reader.next_event().await?;
        Some((event, reader))
    });
    let mut response = Response::new(server::stream_body(events));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    if let Ok(attempt_id) = attempt_id {
        response.headers_mut().insert(headers::ATTEMPT, attempt_id);
    }
    response
}
