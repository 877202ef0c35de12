//! Validates an uploaded file while it is received and splits it into segments
//! and chunks.
//!
//! A segment is one object in the object store. A chunk is a run of complete
//! lines within a segment and the unit of claiming. Memory is bounded by one
//! segment, one line and a fixed-size hash per item.

use std::{borrow::Cow, mem};

use model::{ErrorKind, ModelName};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Maximum length of a line, in bytes.
pub const ITEM_MAX_BYTES: usize = 1 << 20;
/// Maximum length of a file, in bytes.
pub const FILE_MAX_BYTES: u64 = 512 << 20;
/// Maximum number of items in a file.
pub const ITEMS_MAX: u32 = 200_000;
/// Maximum number of items in a chunk.
pub const CHUNK_MAX_ITEMS: u32 = 200;
/// Length at which a chunk is complete and no further line is added to it, in
/// bytes.
pub const CHUNK_MAX_BYTES: u32 = 1 << 20;
/// Length at which a segment is complete and no further line is added to it, in
/// bytes. Reading a chunk requires reading its entire segment, because the object
/// store has no range reads.
const SEGMENT_BYTES: usize = 256 << 10;
/// Maximum number of distinct models in a file.
const MODELS_MAX: usize = 16;

/// Location of a chunk: a run of complete lines of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSpan {
    /// Index of the segment.
    pub segment: u32,
    /// Offset of the first byte in the segment.
    pub start_byte: u32,
    /// Offset after the last byte in the segment.
    pub end_byte: u32,
    /// Number of items in the chunk.
    pub items: u32,
}

/// Chunks of a file, in input order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Locations of the chunks.
    pub chunks: Vec<ChunkSpan>,
}

/// A complete segment.
#[derive(Debug, PartialEq, Eq)]
pub struct Segment {
    /// Index of the segment in the file.
    pub index: u32,
    /// Content of the segment.
    pub content: Vec<u8>,
}

/// Summary of a complete, valid file.
#[derive(Debug, PartialEq, Eq)]
pub struct FileSummary {
    /// Segments that [`InputSplitter::take_segments`] has not returned, in order.
    /// The last one may be incomplete.
    pub remaining_segments: Vec<Segment>,
    /// Chunks of the file.
    pub manifest: Manifest,
    /// Number of segments, including the last.
    pub segments: u32,
    /// Number of items.
    pub items: u32,
    /// Length of the file, in bytes.
    pub content_bytes: u64,
    /// Models named by the items, sorted.
    pub models: Vec<ModelName>,
}

/// Reason why a file is rejected. Line numbers start at one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InputError {
    /// The file contains no items.
    #[error("the file contains no items")]
    Empty,
    /// A line is not a valid JSON object or has no `custom_id`.
    #[error("line {line}: {message}")]
    Malformed {
        /// Number of the line.
        line: u32,
        /// Description of the fault.
        message: String,
    },
    /// Two lines have the same `custom_id`.
    #[error("lines {first} and {second} have the same custom_id")]
    Duplicate {
        /// Number of the earlier line.
        first: u32,
        /// Number of the later line.
        second: u32,
    },
    /// A line exceeds [`ITEM_MAX_BYTES`].
    #[error("line {line} is longer than {ITEM_MAX_BYTES} bytes")]
    LineTooLong {
        /// Number of the line.
        line: u32,
    },
    /// The file exceeds [`FILE_MAX_BYTES`] or [`ITEMS_MAX`].
    #[error("the file has more than {FILE_MAX_BYTES} bytes or {ITEMS_MAX} items")]
    FileTooLarge,
    /// The file names too many distinct models.
    #[error("the file names more than {MODELS_MAX} distinct models")]
    TooManyModels,
}

/// Validates a file and splits it into segments and chunks.
#[derive(Debug)]
pub struct InputSplitter {
    /// Seed of the hashes of `custom_id`s.
    seed: u64,
    /// Content of the segment in progress.
    segment: Vec<u8>,
    /// Offset of the incomplete line in the segment.
    line_start: usize,
    /// The chunk in progress.
    chunk: ChunkSpan,
    complete_segments: Vec<Segment>,
    manifest: Manifest,
    /// Hash of the `custom_id` and line number of each item.
    id_hashes: Vec<(u128, u32)>,
    models: Vec<ModelName>,
    /// Number of complete lines.
    line_count: u32,
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
    /// Returns the error kind that is reported to the caller.
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
    /// Creates a splitter for one file. `seed` must be unpredictable, so that
    /// callers cannot construct `custom_id`s whose hashes collide.
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
            complete_segments: Vec::new(),
            manifest: Manifest { chunks: Vec::new() },
            id_hashes: Vec::new(),
            models: Vec::new(),
            line_count: 0,
            items: 0,
            content_bytes: 0,
        }
    }

    /// Processes the next bytes of the file.
    ///
    /// # Errors
    ///
    /// Returns the first reason to reject the file.
    pub fn push(&mut self, mut content: &[u8]) -> Result<(), InputError> {
        self.content_bytes += content.len() as u64;
        if self.content_bytes > FILE_MAX_BYTES {
            return Err(InputError::FileTooLarge);
        }
        while let Some(end) = content.iter().position(|byte| *byte == b'\n') {
            self.append_to_line(&content[..=end])?;
            self.end_line()?;
            content = &content[end + 1..];
        }
        self.append_to_line(content)
    }

    /// Returns the segments that became complete since the last call.
    pub fn take_segments(&mut self) -> Vec<Segment> {
        mem::take(&mut self.complete_segments)
    }

    /// Ends the file and returns its summary.
    ///
    /// # Errors
    ///
    /// Returns the reason to reject the file.
    pub fn finish(mut self) -> Result<FileSummary, InputError> {
        if self.line_start < self.segment.len() {
            self.end_line()?;
        }
        if self.items == 0 {
            return Err(InputError::Empty);
        }
        self.reject_duplicates()?;
        self.end_chunk();
        let mut segments = self.chunk.segment;
        let mut remaining_segments = mem::take(&mut self.complete_segments);
        if !self.segment.is_empty() {
            segments += 1;
            remaining_segments.push(Segment {
                index: self.chunk.segment,
                content: mem::take(&mut self.segment),
            });
        }
        Ok(FileSummary {
            remaining_segments,
            segments,
            manifest: self.manifest,
            items: self.items,
            content_bytes: self.content_bytes,
            models: self.models,
        })
    }

    fn append_to_line(&mut self, content: &[u8]) -> Result<(), InputError> {
        if self.segment.capacity() == 0 && !content.is_empty() {
            self.segment.reserve(SEGMENT_BYTES);
        }
        self.segment.extend_from_slice(content);
        if self.segment.len() - self.line_start > ITEM_MAX_BYTES {
            return Err(InputError::LineTooLong {
                line: self.line_count + 1,
            });
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), InputError> {
        self.line_count += 1;
        let line = &self.segment[self.line_start..];
        let is_blank = line.iter().all(u8::is_ascii_whitespace);
        if !is_blank {
            let header = parse_line(line, self.line_count)?;
            let id_hash = xxh3_128_with_seed(header.custom_id.as_bytes(), self.seed);
            let model = header.model.map(|model| ModelName::new(&model));
            self.id_hashes.push((id_hash, self.line_count));
            self.add_model(model)?;
            self.items += 1;
            self.chunk.items += 1;
            if self.items > ITEMS_MAX {
                return Err(InputError::FileTooLarge);
            }
        }
        self.line_start = self.segment.len();
        self.end_full_chunk_and_segment();
        Ok(())
    }

    fn end_full_chunk_and_segment(&mut self) {
        // The conversion cannot fail: a segment ends with the line that reaches
        // its length limit, and a line is much shorter than 4 GiB.
        self.chunk.end_byte = u32::try_from(self.segment.len()).unwrap_or(u32::MAX);
        let chunk_bytes = self.chunk.end_byte - self.chunk.start_byte;
        if self.chunk.items >= CHUNK_MAX_ITEMS || chunk_bytes >= CHUNK_MAX_BYTES {
            self.end_chunk();
        }
        if self.segment.len() < SEGMENT_BYTES {
            return;
        }
        self.end_chunk();
        self.complete_segments.push(Segment {
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

    fn reject_duplicates(&mut self) -> Result<(), InputError> {
        self.id_hashes.sort_unstable();
        let duplicate = self
            .id_hashes
            .windows(2)
            .find(|pair| pair[0].0 == pair[1].0);
        match duplicate {
            Some(pair) => Err(InputError::Duplicate {
                first: pair[0].1,
                second: pair[1].1,
            }),
            None => Ok(()),
        }
    }
}

/// Fields of an item on which the validity of the file depends.
struct ItemHeader<'a> {
    custom_id: Cow<'a, str>,
    model: Option<Cow<'a, str>>,
}

/// Parses the fields on which the validity of the file depends. A body that is
/// not an object does not make the file invalid: only its own item fails.
fn parse_line(line: &[u8], line_number: u32) -> Result<ItemHeader<'_>, InputError> {
    let malformed = |message: String| InputError::Malformed {
        line: line_number,
        message,
    };
    let parsed: Line<'_> =
        serde_json::from_slice(line).map_err(|error| malformed(error.to_string()))?;
    let custom_id = match parsed.custom_id {
        Some(custom_id) if !custom_id.is_empty() => custom_id,
        _ => return Err(malformed("custom_id is missing or empty".to_owned())),
    };
    let body = parsed
        .body
        .and_then(|body| serde_json::from_str::<Body<'_>>(body.get()).ok());
    Ok(ItemHeader {
        custom_id,
        model: body.and_then(|body| body.model),
    })
}
