//! Handler of `POST /v1/chat/completions`.

mod coalesce;
mod execution;
mod prompt;
mod request;
mod source;

use std::{convert::Infallible, sync::Arc};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use http::{HeaderValue, header};
use process::Refusal;
use salvo::{Request, Response, handler};
use uuid::Uuid;

pub(crate) use self::{
    coalesce::{Coalescer, TokenLogReader},
    source::{join_local_run, refused_end},
};
use self::{
    execution::{ChatEvent, ChatExecution},
    request::ParsedChat,
    source::ChatSource,
};
use crate::{
    caller::Caller,
    completion::{self, CompletionWriter},
    server::ServerState,
};

/// Handler of chat completion requests.
pub(crate) struct ChatHandler {
    pub(crate) state: Arc<ServerState>,
}

#[handler]
impl ChatHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = self.respond(req, res).await {
            refusal.render(res);
        }
    }
}

impl ChatHandler {
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        let caller = Caller::from_headers(req.headers())?;
        let body = self.state.read_body(req).await?;
        let parsed = ParsedChat::parse(&body)?;
        let view = self.state.confirmed_view().await?;
        let class = request::online_class(&view.config, &caller, &parsed)?;
        self.state.dispatcher.admit(&caller.customer, &class)?;
        let writer = CompletionWriter::new(
            format!("chatcmpl-{}", Uuid::new_v4().simple()),
            &parsed.request.model,
        );
        let is_streamed = parsed.is_streamed;
        let include_usage = parsed.include_usage;
        let state = &self.state;
        let source = match &caller.idempotency_key {
            Some(key) => {
                let key = Arc::from(format!("{}/{key}", caller.customer));
                ChatSource::coalesced(state, key, parsed.request, &class)?
            }
            None => ChatSource::direct(ChatExecution::new(
                Arc::clone(state),
                parsed.request,
                &class,
            )),
        };
        if is_streamed {
            respond_as_stream(source, writer, include_usage, res).await
        } else {
            respond_in_full(source, &writer, res).await
        }
    }
}

async fn respond_in_full(
    mut source: ChatSource,
    writer: &CompletionWriter,
    res: &mut Response,
) -> Result<(), Refusal> {
    let mut content = String::new();
    loop {
        match source.next().await? {
            ChatEvent::Text(text) => content.push_str(&text),
            ChatEvent::End {
                finish_reason,
                usage,
            } => {
                set_content_type(res, "application/json");
                res.body(writer.completion_json(&content, &finish_reason, usage));
                return Ok(());
            }
        }
    }
}

/// Waits for the first event before it sends the head of the response, so that a
/// refusal can still set the HTTP status.
async fn respond_as_stream(
    mut source: ChatSource,
    writer: CompletionWriter,
    include_usage: bool,
    res: &mut Response,
) -> Result<(), Refusal> {
    let first = source.next().await?;
    set_content_type(res, "text/event-stream; charset=utf-8");
    let headers = res.headers_mut();
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    res.stream(EventStream::new(source, writer, include_usage, first).into_stream());
    Ok(())
}

struct EventStream {
    source: ChatSource,
    writer: CompletionWriter,
    include_usage: bool,
    first: Option<ChatEvent>,
    is_ended: bool,
}

impl EventStream {
    fn new(
        source: ChatSource,
        writer: CompletionWriter,
        include_usage: bool,
        first: ChatEvent,
    ) -> Self {
        Self {
            source,
            writer,
            include_usage,
            first: Some(first),
            is_ended: false,
        }
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
        stream::unfold(self, |mut this| async move {
            let bytes = this.next().await?;
            Some((Ok(bytes), this))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.is_ended {
            return None;
        }
        let mut out = BytesMut::new();
        let event = match self.first.take() {
            Some(first) => {
                self.writer.write_role(&mut out);
                Ok(first)
            }
            None => self.source.next().await,
        };
        match event {
            Ok(ChatEvent::Text(text)) => self.writer.write_text(&mut out, &text),
            Ok(ChatEvent::End {
                finish_reason,
                usage,
            }) => {
                self.is_ended = true;
                self.writer.write_finish(&mut out, &finish_reason);
                if let Some(usage) = usage.filter(|_| self.include_usage) {
                    self.writer.write_usage(&mut out, usage);
                }
                completion::write_done(&mut out);
            }
            Err(refusal) => {
                self.is_ended = true;
                return Some(completion::error_event(&refusal));
            }
        }
        Some(out.freeze())
    }
}

fn set_content_type(res: &mut Response, value: &'static str) {
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(value));
}
