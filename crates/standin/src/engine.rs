//! Stand-in of a model engine: the HTTP front of [`EngineCore`].

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
    http::{self as server, Body, Dropped, Handler, Reply},
};

/// Longest wait of the driver while nothing happens.
const IDLE_TICK_MS: u64 = 100;
/// Time for the tokens before a scripted crash to leave.
const FLUSH_MS: u64 = 10;

/// Parameters of the stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Models loaded at start.
    pub models: Vec<ModelName>,
    /// Cost of a step and limits.
    pub params: EngineParams,
    /// How far load reports lag behind, milliseconds.
    pub report_lag_ms: u64,
    /// How long an unread stream is kept to be resumed, milliseconds.
    pub resume_keep_ms: u64,
    /// Time to load a model, milliseconds.
    pub load_model_ms: u64,
    /// Whether orders with an old fencing number are obeyed.
    pub ignore_fencing: bool,
}

/// How often requests ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// By attempt id, sorted.
    pub attempts: Vec<RunCount>,
    /// By text of the prompt, sorted.
    pub prompts: Vec<RunCount>,
    /// Chat requests received, refused ones included.
    pub received: u32,
}

/// How often one request ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Attempt id or prompt.
    pub id: String,
    /// Times that it started.
    pub runs: u32,
    /// Tokens generated for it in all.
    pub tokens: u32,
}

/// Starts an engine in this process.
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
    let handler = Front(Arc::clone(&engine));
    let standin = server::start(listen, Arc::new(handler)).await?;
    tokio::spawn(drive(engine, standin.stop_signal()));
    Ok(standin)
}

struct Engine {
    settings: EngineSettings,
    faults: FaultScript,
    state: Mutex<EngineState>,
    wake: Notify,
}

struct Front(Arc<Engine>);

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

/// Advances the core whenever a step ends or a request came.
async fn drive(engine: Arc<Engine>, mut stopped: watch::Receiver<bool>) {
    loop {
        let wake_at = {
            let mut state = engine.lock();
            state.tick();
            state.next_event_at()
        };
        let idle_at = Instant::now() + Duration::from_millis(IDLE_TICK_MS);
        tokio::select! {
            () = tokio::time::sleep_until(wake_at.unwrap_or(idle_at).min(idle_at)) => {}
            () = engine.wake.notified() => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

impl Handler for Front {
    fn faults(&self) -> &FaultScript {
        &self.0.faults
    }

    fn control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/runs") => server::json(&self.0.lock().run_counts()),
            (&Method::PUT, "/standin/leaving") => self.set_leaving(&request),
            _ => server::text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let leaving = self.0.lock().leaving;
        let mut response = self.route(request).await?;
        if leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(headers::LEAVING, value);
        }
        Ok(response)
    }
}

impl Front {
    async fn route(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        if let Some(attempt_id) = path.strip_prefix(paths::STREAMS) {
            return Ok(self.stream(&request, attempt_id));
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, paths::CHAT_COMPLETIONS) => self.chat(request).await,
            (&Method::GET, paths::LOAD) => Ok(server::json(&self.0.load_report())),
            (&Method::POST, paths::ORDERS) => match server::decode::<Order>(&request) {
                Ok(order) => Ok(self.order(order).await),
                Err(answer) => Ok(answer),
            },
            _ => Ok(server::text(StatusCode::NOT_FOUND, "no such path\n")),
        }
    }

    fn set_leaving(&self, request: &Request<Bytes>) -> Response<Body> {
        match server::decode::<bool>(request) {
            Ok(leaving) => {
                self.0.lock().leaving = leaving;
                server::text(StatusCode::OK, "set\n")
            }
            Err(answer) => answer,
        }
    }

    async fn chat(&self, request: Request<Bytes>) -> Reply {
        let attempt_id = request
            .headers()
            .get(headers::ATTEMPT)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let message = match server::decode::<ChatRequest>(&request) {
            Ok(message) => message,
            Err(answer) => return Ok(answer),
        };
        let answer = {
            let mut state = self.0.lock();
            state.received += 1;
            if state.leaving {
                return Ok(server::refused(StatusCode::SERVICE_UNAVAILABLE));
            }
            if !state.serves(&message.model) {
                return Ok(server::refused(StatusCode::NOT_FOUND));
            }
            let prompt = answer::prompt_text(&message);
            let attempt_id = attempt_id.unwrap_or_else(|| state.fresh_attempt_id());
            if prompt.contains("[[fail]]") {
                state.count_run(&attempt_id, &prompt);
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return Ok(server::text(status, "the prompt asks to fail\n"));
            }
            if prompt.contains("[[crash]]") {
                state.count_run(&attempt_id, &prompt);
                return Err(Dropped);
            }
            state.submit(&attempt_id, &message)
        };
        self.0.wake.notify_one();
        let first_index = u32::try_from(message.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let reader = Reader::attach(Arc::clone(&self.0), &answer.attempt_id);
        let reader = reader.ok_or(Dropped)?.after(first_index);
        if message.stream {
            return Ok(event_stream(reader));
        }
        reader.whole().await
    }

    fn stream(&self, request: &Request<Bytes>, attempt_id: &str) -> Response<Body> {
        if request.method() == Method::DELETE {
            self.0.lock().cancel(attempt_id);
            return server::text(StatusCode::OK, "cancelled\n");
        }
        let after = server::query(request, "after").and_then(|after| after.parse().ok());
        match Reader::attach(Arc::clone(&self.0), attempt_id) {
            Some(reader) => event_stream(reader.after(after.unwrap_or(0))),
            None => server::refused(StatusCode::NOT_FOUND),
        }
    }

    async fn order(&self, order: Order) -> Response<Body> {
        let is_new = match self.0.lock().accept_order(&order) {
            Ok(is_new) => is_new,
            Err(answer) => {
                let mut response = server::json(&answer);
                *response.status_mut() = StatusCode::CONFLICT;
                return response;
            }
        };
        if is_new && matches!(order.action, OrderAction::Load { .. }) {
            tokio::time::sleep(Duration::from_millis(self.0.settings.load_model_ms)).await;
        }
        let answer: OrderAnswer = self.0.lock().apply_order(&order.action, is_new);
        server::json(&answer)
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

/// Reads the tokens of one sequence as they come.
struct Reader {
    engine: Arc<Engine>,
    answer: Arc<Answer>,
    progress: watch::Receiver<Progress>,
    first_token_index: u32,
    last_token_index: u32,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Tokens,
    EndMark,
    Over,
}

impl Reader {
    fn attach(engine: Arc<Engine>, attempt_id: &str) -> Option<Self> {
        let (answer, progress) = engine.lock().attach(attempt_id)?;
        Some(Self {
            engine,
            answer,
            progress,
            first_token_index: 1,
            last_token_index: 0,
            phase: Phase::Tokens,
        })
    }

    fn after(mut self, last_token_index: u32) -> Self {
        self.first_token_index = last_token_index + 1;
        self.last_token_index = last_token_index;
        self
    }

    /// The next event; an error closes the connection.
    async fn event(&mut self) -> Option<io::Result<Bytes>> {
        match self.phase {
            Phase::Tokens => Some(self.token_event().await),
            Phase::EndMark => {
                self.phase = Phase::Over;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            Phase::Over => None,
        }
    }

    async fn token_event(&mut self) -> io::Result<Bytes> {
        if self.is_at_crash() && self.engine.lock().crash_once(&self.answer.prompt) {
            self.phase = Phase::Over;
            // The server drops what it has not yet flushed when a body fails.
            tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
            return Err(io::Error::other("the prompt asks to crash"));
        }
        let next_index = self.last_token_index + 1;
        if next_index > self.answer.last_index() {
            self.phase = Phase::EndMark;
        } else {
            self.wait_for(next_index).await?;
            self.last_token_index = next_index;
        }
        let chunk = serde_json::to_string(&self.answer.chunk(next_index))?;
        Ok(Bytes::from(format!("data: {chunk}\n\n")))
    }

    /// A stream that continues after the crash point does not break there.
    fn is_at_crash(&self) -> bool {
        let is_own = self.last_token_index >= self.first_token_index || self.last_token_index == 0;
        is_own && self.answer.crash_after == Some(self.last_token_index)
    }

    async fn wait_for(&mut self, token_index: u32) -> io::Result<()> {
        let reached = self
            .progress
            .wait_for(|progress| progress.is_cancelled || progress.last_token_index >= token_index);
        match reached.await {
            Ok(progress) if progress.last_token_index >= token_index => Ok(()),
            Ok(_) => Err(io::Error::other("cancelled")),
            Err(_) => Err(io::Error::other("forgotten")),
        }
    }

    /// Answers in one piece once the sequence is complete.
    async fn whole(mut self) -> Reply {
        let last_index = self.answer.last_index();
        self.wait_for(last_index).await.map_err(|_| Dropped)?;
        let answer = &self.answer;
        Ok(server::json(&serde_json::json!({
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

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.lock().detach(&self.answer.attempt_id);
    }
}

fn event_stream(reader: Reader) -> Response<Body> {
    let attempt_id = HeaderValue::from_str(&reader.answer.attempt_id);
    let events = futures::stream::unfold(reader, async |mut reader| {
        let event = reader.event().await?;
        Some((event, reader))
    });
    let mut response = Response::new(server::streamed(events));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    if let Ok(attempt_id) = attempt_id {
        response.headers_mut().insert(headers::ATTEMPT, attempt_id);
    }
    response
}
