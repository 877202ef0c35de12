//! Checks an uploaded file while it streams in and cuts it into segments and
//! chunks.
//!
//! A segment is one object of the object store; a chunk is a run of whole
//! lines within a segment and the unit of claiming. Memory is bounded by one
//! segment, one line and a fixed-size hash per item.

use std::{borrow::Cow, mem};

use model::{ErrorKind, ModelName};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Longest line, bytes.
pub const ITEM_MAX_BYTES: usize = 1 << 20;
/// Largest file, bytes.
pub const FILE_MAX_BYTES: u64 = 512 << 20;
/// Most items in a file.
pub const ITEMS_MAX: u32 = 200_000;
/// Most items in a chunk.
pub const CHUNK_MAX_ITEMS: u32 = 200;
/// Length at which a chunk takes no further line, bytes.
pub const CHUNK_MAX_BYTES: u32 = 1 << 20;
/// Length at which a segment ends, bytes. A chunk is read with its whole
/// segment, as the store knows no ranges.
const SEGMENT_BYTES: usize = 256 << 10;
/// Most different models in a file.
const MODELS_MAX: usize = 16;

/// A run of lines of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSpan {
    /// Index of the segment.
    pub segment: u32,
    /// First byte in the segment.
    pub start_byte: u32,
    /// Byte after the last.
    pub end_byte: u32,
    /// Items in it.
    pub items: u32,
}

/// Chunks of a file, in the order of its lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The chunks.
    pub chunks: Vec<ChunkSpan>,
}

/// A finished segment.
#[derive(Debug, PartialEq, Eq)]
pub struct Segment {
    /// Index in the file.
    pub index: u32,
    /// Content.
    pub content: Vec<u8>,
}

/// What a whole file turned out to be.
#[derive(Debug, PartialEq, Eq)]
pub struct FileSummary {
    /// Last segment, not yet taken.
    pub last_segment: Option<Segment>,
    /// Chunks.
    pub manifest: Manifest,
    /// Number of segments.
    pub segments: u32,
    /// Items.
    pub items: u32,
    /// Length, bytes.
    pub content_bytes: u64,
    /// Models that items name, sorted.
    pub models: Vec<ModelName>,
}

/// Why a file is refused as a whole. Lines are counted from one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InputError {
    /// No line holds an item.
    #[error("the file holds no item")]
    Empty,
    /// A line cannot be parsed, or names no item.
    #[error("line {line}: {message}")]
    Malformed {
        /// The line.
        line: u32,
        /// What is wrong.
        message: String,
    },
    /// Two lines carry the same `custom_id`.
    #[error("lines {first} and {second} have the same custom_id")]
    Duplicate {
        /// The earlier line.
        first: u32,
        /// The later line.
        second: u32,
    },
    /// A line is too long.
    #[error("line {line} is longer than {ITEM_MAX_BYTES} bytes")]
    LineTooLong {
        /// The line.
        line: u32,
    },
    /// The file is too long.
    #[error("the file is larger than {FILE_MAX_BYTES} bytes or {ITEMS_MAX} items")]
    FileTooLarge,
    /// The file names too many models.
    #[error("the file names more than {MODELS_MAX} models")]
    TooManyModels,
}

/// Cuts and checks a file.
#[derive(Debug)]
pub struct InputSplitter {
    seed: u64,
    segment: Vec<u8>,
    /// Start of the line that is not complete yet.
    line_start: usize,
    chunk: ChunkSpan,
    ready: Vec<Segment>,
    manifest: Manifest,
    ids: Vec<(u128, u32)>,
    models: Vec<ModelName>,
    line: u32,
    items: u32,
    content_bytes: u64,
}

#[derive(Debug, Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    custom_id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    body: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
}

impl InputError {
    /// The kind that a caller is told.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Empty | Self::Malformed { .. } | Self::Duplicate { .. } | Self::TooManyModels => {
                ErrorKind::InvalidRequest
            }
            Self::LineTooLong { .. } | Self::FileTooLarge => ErrorKind::BodyTooLarge,
        }
    }
}

impl InputSplitter {
    /// Starts a file. `seed` keeps callers from constructing `custom_id`s
    /// whose hashes collide.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            segment: Vec::new(),
            line_start: 0,
            chunk: ChunkSpan {
                segment: 0,
                start_byte: 0,
                end_byte: 0,
                items: 0,
            },
            ready: Vec::new(),
            manifest: Manifest { chunks: Vec::new() },
            ids: Vec::new(),
            models: Vec::new(),
            line: 0,
            items: 0,
            content_bytes: 0,
        }
    }

    /// Takes the next bytes of the file.
    ///
    /// # Errors
    ///
    /// Returns the first reason to refuse the file.
    pub fn push(&mut self, mut content: &[u8]) -> Result<(), InputError> {
        self.content_bytes += content.len() as u64;
        if self.content_bytes > FILE_MAX_BYTES {
            return Err(InputError::FileTooLarge);
        }
        while let Some(end) = content.iter().position(|byte| *byte == b'\n') {
            self.extend(&content[..=end])?;
            self.end_line()?;
            content = &content[end + 1..];
        }
        self.extend(content)
    }

    /// Segments that became complete since the last call.
    pub fn take_segments(&mut self) -> Vec<Segment> {
        mem::take(&mut self.ready)
    }

    /// Ends the file.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the file.
    pub fn finish(mut self) -> Result<FileSummary, InputError> {
        if self.line_start < self.segment.len() {
            self.end_line()?;
        }
        if self.items == 0 {
            return Err(InputError::Empty);
        }
        self.refuse_duplicates()?;
        self.end_chunk();
        let last_segment = (!self.segment.is_empty()).then(|| Segment {
            index: self.chunk.segment,
            content: mem::take(&mut self.segment),
        });
        Ok(FileSummary {
            segments: self.chunk.segment + u32::from(last_segment.is_some()),
            last_segment,
            manifest: self.manifest,
            items: self.items,
            content_bytes: self.content_bytes,
            models: self.models,
        })
    }

    fn extend(&mut self, content: &[u8]) -> Result<(), InputError> {
        if self.segment.capacity() == 0 && !content.is_empty() {
            self.segment.reserve(SEGMENT_BYTES);
        }
        self.segment.extend_from_slice(content);
        if self.segment.len() - self.line_start > ITEM_MAX_BYTES {
            return Err(InputError::LineTooLong {
                line: self.line + 1,
            });
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), InputError> {
        self.line += 1;
        let line = &self.segment[self.line_start..];
        let is_blank = line.iter().all(u8::is_ascii_whitespace);
        if !is_blank {
            let head = parse_line(line, self.line)?;
            let id = xxh3_128_with_seed(head.custom_id.as_bytes(), self.seed);
            let model = head.model.map(|model| ModelName::new(&model));
            self.ids.push((id, self.line));
            self.add_model(model)?;
            self.items += 1;
            self.chunk.items += 1;
            if self.items > ITEMS_MAX {
                return Err(InputError::FileTooLarge);
            }
        }
        self.line_start = self.segment.len();
        self.cut();
        Ok(())
    }

    fn cut(&mut self) {
        // A line is shorter than 4 GiB and a segment ends soon after its length.
        self.chunk.end_byte = u32::try_from(self.segment.len()).unwrap_or(u32::MAX);
        let chunk_bytes = self.chunk.end_byte - self.chunk.start_byte;
        if self.chunk.items >= CHUNK_MAX_ITEMS || chunk_bytes >= CHUNK_MAX_BYTES {
            self.end_chunk();
        }
        if self.segment.len() < SEGMENT_BYTES {
            return;
        }
        self.end_chunk();
        self.ready.push(Segment {
            index: self.chunk.segment,
            content: mem::take(&mut self.segment),
        });
        self.line_start = 0;
        self.chunk = ChunkSpan {
            segment: self.chunk.segment + 1,
            start_byte: 0,
            end_byte: 0,
            items: 0,
        };
    }

    fn end_chunk(&mut self) {
        if self.chunk.items > 0 {
            self.manifest.chunks.push(self.chunk);
        }
        self.chunk.start_byte = self.chunk.end_byte;
        self.chunk.items = 0;
    }

    fn add_model(&mut self, model: Option<ModelName>) -> Result<(), InputError> {
        let Some(model) = model else {
            return Ok(());
        };
        let Err(index) = self.models.binary_search(&model) else {
            return Ok(());
        };
        if self.models.len() == MODELS_MAX {
            return Err(InputError::TooManyModels);
        }
        self.models.insert(index, model);
        Ok(())
    }

    fn refuse_duplicates(&mut self) -> Result<(), InputError> {
        self.ids.sort_unstable();
        let twin = self.ids.windows(2).find(|pair| pair[0].0 == pair[1].0);
        match twin {
            Some(pair) => Err(InputError::Duplicate {
                first: pair[0].1,
                second: pair[1].1,
            }),
            None => Ok(()),
        }
    }
}

struct Head<'a> {
    custom_id: Cow<'a, str>,
    model: Option<Cow<'a, str>>,
}

/// Finds what the file as a whole depends on. A body that is no object is a
/// matter of its own item.
fn parse_line(line: &[u8], number: u32) -> Result<Head<'_>, InputError> {
    let malformed = |message: String| InputError::Malformed {
        line: number,
        message,
    };
    let parsed: Line<'_> =
        serde_json::from_slice(line).map_err(|error| malformed(error.to_string()))?;
    let custom_id = match parsed.custom_id {
        Some(custom_id) if !custom_id.is_empty() => custom_id,
        _ => return Err(malformed("custom_id is missing".to_owned())),
    };
    let body = parsed
        .body
        .and_then(|body| serde_json::from_str::<Body<'_>>(body.get()).ok());
    Ok(Head {
        custom_id,
        model: body.and_then(|body| body.model),
    })
}
