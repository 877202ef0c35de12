//! `POST /v1/chat/completions`.

mod coalesce;
mod flow;
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
    coalesce::{Coalescer, LogReader},
    source::{join_here, refused},
};
use self::{
    flow::{ChatEvent, ChatFlow},
    request::ParsedChat,
    source::ChatSource,
};
use crate::{
    answer::{self, AnswerHead},
    caller::Caller,
    server::Shared,
};

/// Handler of chat completions.
pub(crate) struct Chat {
    pub(crate) shared: Arc<Shared>,
}

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = self.answer(req, res).await {
            refusal.render(res);
        }
    }
}

impl Chat {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        let caller = Caller::from_headers(req.headers())?;
        let body = self.shared.read_body(req).await?;
        let parsed = ParsedChat::parse(&body)?;
        let view = self.shared.confirmed_view().await?;
        let class = request::online_class(&view.config, &caller, &parsed)?;
        self.shared.dispatcher.admit(&caller.customer, &class)?;
        let head = AnswerHead::new(
            format!("chatcmpl-{}", Uuid::new_v4().simple()),
            &parsed.request.model,
        );
        let stream = parsed.stream;
        let include_usage = parsed.include_usage;
        let shared = &self.shared;
        let source = match &caller.idempotency_key {
            Some(key) => {
                let key = Arc::from(format!("{}/{key}", caller.customer));
                ChatSource::coalesced(shared, key, parsed.request, &class)?
            }
            None => ChatSource::own(ChatFlow::new(Arc::clone(shared), parsed.request, &class)),
        };
        if stream {
            stream_answer(source, head, include_usage, res).await
        } else {
            whole_answer(source, &head, res).await
        }
    }
}

async fn whole_answer(
    mut source: ChatSource,
    head: &AnswerHead,
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
                res.body(head.completion(&content, &finish_reason, usage));
                return Ok(());
            }
        }
    }
}

/// Waits for the first event, so that a refusal still has a status of its own.
async fn stream_answer(
    mut source: ChatSource,
    head: AnswerHead,
    include_usage: bool,
    res: &mut Response,
) -> Result<(), Refusal> {
    let first = source.next().await?;
    set_content_type(res, "text/event-stream; charset=utf-8");
    let headers = res.headers_mut();
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    res.stream(EventStream::new(source, head, include_usage, first).into_stream());
    Ok(())
}

struct EventStream {
    source: ChatSource,
    head: AnswerHead,
    include_usage: bool,
    first: Option<ChatEvent>,
    ended: bool,
}

impl EventStream {
    fn new(source: ChatSource, head: AnswerHead, include_usage: bool, first: ChatEvent) -> Self {
        Self {
            source,
            head,
            include_usage,
            first: Some(first),
            ended: false,
        }
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
        stream::unfold(self, |mut this| async move {
            let bytes = this.next().await?;
            Some((Ok(bytes), this))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let mut out = BytesMut::new();
        let event = match self.first.take() {
            Some(first) => {
                self.head.write_role(&mut out);
                Ok(first)
            }
            None => self.source.next().await,
        };
        match event {
            Ok(ChatEvent::Text(text)) => self.head.write_text(&mut out, &text),
            Ok(ChatEvent::End {
                finish_reason,
                usage,
            }) => {
                self.ended = true;
                self.head.write_finish(&mut out, &finish_reason);
                if let Some(usage) = usage.filter(|_| self.include_usage) {
                    self.head.write_usage(&mut out, usage);
                }
                answer::write_done(&mut out);
            }
            Err(refusal) => {
                self.ended = true;
                return Some(answer::error_event(&refusal));
            }
        }
        Some(out.freeze())
    }
}

fn set_content_type(res: &mut Response, value: &'static str) {
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(value));
}
