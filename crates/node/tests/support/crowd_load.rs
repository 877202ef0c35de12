//! What the clients of a crowd send.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;

use super::HOST;

/// Size of the writes of clients that send as fast as they can, bytes.
const WRITE_BYTES: usize = 65_536;
/// Between the id of a job and the number of an item, in the id of the item.
pub const ITEM_SEPARATOR: &str = "-item-";
/// Time that a client waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Path of the items of jobs.
const ITEM_PATH: &str = "/batch/x/0";
/// Bytes that begin and end the JSON document of a job.
const JOB_START: &str = "{\"items\":[";
const JOB_END: &str = "]}";

/// The requests of one client.
#[derive(Debug, Clone)]
pub struct Load {
    path: &'static str,
    body: Body,
    /// Pause after each write.
    pub pause: Duration,
    /// Number of requests, sent one after the other.
    pub requests: usize,
    /// Whether the bodies exceed the limit, so that each must be refused.
    pub is_over_limit: bool,
}

#[derive(Debug, Clone)]
enum Body {
    /// A body with a length, sent in writes of the same size up to `sent_bytes`.
    Length {
        length_bytes: usize,
        sent_bytes: usize,
        write: Bytes,
    },
    /// A chunked body, of which each write holds whole chunks.
    Chunks {
        write: Bytes,
        writes: usize,
        has_end: bool,
    },
    /// A job, whose items all have the same content.
    Job { items: usize, content: Bytes },
}

impl Load {
    /// A body with a length that stops `missing_bytes` before its end.
    pub fn unfinished(length_bytes: usize, missing_bytes: usize) -> Self {
        Self::new(Body::Length {
            length_bytes,
            sent_bytes: length_bytes - missing_bytes,
            write: filler(WRITE_BYTES),
        })
    }

    /// A whole body with a length.
    pub fn whole(length_bytes: usize) -> Self {
        Self::unfinished(length_bytes, 0)
    }

    /// A chunked body without its end.
    pub fn unfinished_chunks(chunk_bytes: usize, chunks_per_write: usize, writes: usize) -> Self {
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        Self::new(Body::Chunks {
            write: chunk.repeat(chunks_per_write).into(),
            writes,
            has_end: false,
        })
    }

    /// A chunked body.
    pub fn whole_chunks(chunk_bytes: usize, chunks_per_write: usize, writes: usize) -> Self {
        let mut load = Self::unfinished_chunks(chunk_bytes, chunks_per_write, writes);
        if let Body::Chunks { has_end, .. } = &mut load.body {
            *has_end = true;
        }
        load
    }

    /// Jobs of items with a content of this size.
    pub fn jobs(items: usize, content_bytes: usize) -> Self {
        let content = BASE64.encode(filler(content_bytes));
        Self::new(Body::Job {
            items,
            content: content.into(),
        })
        .with_path("/batch/x")
    }

    fn new(body: Body) -> Self {
        Self {
            path: "/long/x",
            body,
            pause: Duration::ZERO,
            requests: 1,
            is_over_limit: false,
        }
    }

    #[must_use]
    pub fn with_path(mut self, path: &'static str) -> Self {
        self.path = path;
        self
    }

    #[must_use]
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    #[must_use]
    pub fn with_requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }

    /// States that the bodies exceed the limit.
    #[must_use]
    pub fn over_limit(mut self) -> Self {
        self.is_over_limit = true;
        self
    }

    /// Sets the size of the writes of a body with a length.
    #[must_use]
    pub fn with_write_bytes(mut self, write_bytes: usize) -> Self {
        if let Body::Length { write, .. } = &mut self.body {
            *write = filler(write_bytes);
        }
        self
    }

    /// Returns whether the bodies come to their end.
    pub fn is_whole(&self) -> bool {
        match self.body {
            Body::Length {
                length_bytes,
                sent_bytes,
                ..
            } => length_bytes == sent_bytes,
            Body::Chunks { has_end, .. } => has_end,
            Body::Job { .. } => true,
        }
    }

    /// Returns how long a client waits for the answers to all of its requests.
    pub fn timeout(&self) -> Duration {
        REQUEST_TIMEOUT * u32::try_from(self.requests).unwrap()
    }

    /// Returns whether the heads of the requests announce bodies over the limit.
    pub fn announces_too_much(&self) -> bool {
        self.is_over_limit && matches!(self.body, Body::Length { .. })
    }

    /// Returns the id of the last item of a job.
    pub fn last_item_id(&self, job: &str) -> String {
        item_id(job, self.write_count() - 1)
    }

    /// Returns the content of each item of a job.
    pub fn item_content(&self) -> Bytes {
        match &self.body {
            Body::Job { content, .. } => BASE64.decode(content).unwrap().into(),
            _ => Bytes::new(),
        }
    }

    /// Returns the status of a successful answer.
    pub fn success(&self) -> u16 {
        match self.body {
            Body::Job { .. } => 202,
            _ => 200,
        }
    }

    /// Returns the size of the body of the request `id`, bytes.
    pub fn body_bytes(&self, id: &str) -> usize {
        let writes = (0..self.write_count()).flat_map(|index| self.write(id, index));
        writes.map(|bytes| bytes.len()).sum()
    }

    pub fn head(&self, id: &str) -> String {
        let framing = match &self.body {
            Body::Length { length_bytes, .. } => format!("Content-Length: {length_bytes}"),
            Body::Chunks { .. } => "Transfer-Encoding: chunked".to_owned(),
            Body::Job { .. } => format!("Content-Length: {}", self.body_bytes(id)),
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nRedwingtack-Request-Id: {id}\r\n\
             Redwingtack-Deadline-Ms: {}\r\nConnection: close\r\n{framing}\r\n\r\n",
            self.path,
            REQUEST_TIMEOUT.as_millis()
        )
    }

    pub fn write_count(&self) -> usize {
        match &self.body {
            Body::Length {
                sent_bytes, write, ..
            } => sent_bytes.div_ceil(write.len()),
            Body::Chunks {
                writes, has_end, ..
            } => writes + usize::from(*has_end),
            Body::Job { items, .. } => *items,
        }
    }

    /// Returns the parts of a write of the request `id`.
    pub fn write(&self, id: &str, index: usize) -> Vec<Bytes> {
        match &self.body {
            Body::Length {
                sent_bytes, write, ..
            } => {
                let left_bytes = sent_bytes - index * write.len();
                vec![write.slice(..left_bytes.min(write.len()))]
            }
            Body::Chunks { write, writes, .. } if index < *writes => vec![write.clone()],
            Body::Chunks { .. } => vec![Bytes::from_static(b"0\r\n\r\n")],
            Body::Job { items, content } => item(id, index, *items, content),
        }
    }
}

/// Returns the id of an item of a job.
fn item_id(job: &str, index: usize) -> String {
    format!("{job}{ITEM_SEPARATOR}{index:03}")
}

fn item(job: &str, index: usize, items: usize, content: &Bytes) -> Vec<Bytes> {
    let start = if index == 0 { JOB_START } else { "," };
    let end = if index + 1 == items { JOB_END } else { "" };
    let id = item_id(job, index);
    let start = format!(
        "{start}{{\"id\":\"{id}\",\"path\":\"{ITEM_PATH}\",\"headers\":{{}},\"tokens\":9,\"body\":\""
    );
    vec![start.into(), content.clone(), format!("\"}}{end}").into()]
}

/// Returns the content of all bodies and items.
pub fn filler(size_bytes: usize) -> Bytes {
    vec![b'x'; size_bytes].into()
}
